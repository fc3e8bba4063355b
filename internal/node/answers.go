package node

// Answers: reads the bytes of servers and matches answers with the attempts that wait for them.

import (
	"errors"
	"io"
	"time"

	"lapisshelf/decide/admit"
	"lapisshelf/decide/safety"
	"lapisshelf/policy"
)

// updateBuffered updates the node's count of the bytes buffered for incomplete answers.
func (l *serverConn) updateBuffered() {
	held := cap(l.input)
	if l.body != nil {
		held += cap(l.body.buffered)
	}
	l.pool.node.responseBytes += held - l.accountedBytes
	l.accountedBytes = held
}

// End implements loop.Handler. An answer without a stated length ends with the stream, if the server has closed that; a connection that
// was reset, or broke otherwise, ends none.
func (l *serverConn) End(err error) {
	l.retiring = true
	if errors.Is(err, io.EOF) && l.body == nil && len(l.attempts) > 0 && l.attempts[0] != nil && len(l.input) > 0 {
		if a, used, err := l.pool.proto.parseAnswer(l.input, l.attempts[0], l.pool.node.maxResponseSize(), true); err == nil && used > 0 && a.longSize == 0 {
			t := l.attempts[0]
			l.attempts = l.attempts[1:]
			l.finishAttempt(t, a)
		}
	}
	l.closeAndFail()
}

// Data implements loop.Handler.
func (l *serverConn) Data(data []byte) {
	l.lastReceived = l.pool.node.loop.Now()
	l.pool.lastReceived = l.lastReceived
	begins := len(l.input) == 0 // data begins an answer
	if !begins {
		l.input = append(l.input, data...)
		data = l.input
	}
	for more := true; more && len(data) > 0 && !l.closed; begins = true {
		if l.body != nil {
			data = l.continueBody(data)
		} else {
			data, more = l.handleAnswer(data, begins)
		}
	}
	if !l.closed {
		l.keepInput(data)
	}
}

// continueBody handles the part of data that belongs to a long value, and returns the rest.
func (l *serverConn) continueBody(data []byte) (rest []byte) {
	used, ok := l.body.consume(data)
	switch {
	case l.closed: // passing the value on has closed the client's connection and cancelled the attempt
		return nil
	case !ok:
		l.closeMalformed("long value does not end where it should")
		return nil
	}
	if rest = data[used:]; l.body.complete() {
		l.finishBody(len(rest) == 0)
	}
	return rest
}

// handleAnswer handles the answer at the beginning of data, and returns the rest. more is false if the answer is incomplete, or if the
// connection has been closed. begins reports that nothing of the answer was received before.
func (l *serverConn) handleAnswer(data []byte, begins bool) (rest []byte, more bool) {
	if len(l.attempts) == 0 {
		// Bytes after a valid answer do not invalidate it, but must never be taken as the answer to the next request.
		l.pool.noteSurplus()
		l.closeAndFail()
		return nil, false
	}
	t, maxValue := l.attempts[0], l.pool.node.maxResponseSize()
	a, used, err := l.pool.proto.parseAnswer(data, t, maxValue, false)
	if err != nil || used == 0 && len(data) > maxValue+maxAnswerOverhead {
		l.closeMalformed("malformed answer")
		return nil, false
	}
	if a.longSize > 0 && t != nil && len(data)-used < minBodyPrefix {
		used = 0 // wait for more before the request is bound to this value
	}
	if used > 0 && l.upload != nil {
		l.finishUnreadUpload(t, a)
		return nil, false
	}
	if begins && !a.named && l.precedesRequest(t) {
		l.pool.noteSurplus()
		l.pool.node.reportViolation("reuse", safety.Unsettled, t.request.id, l.pool.id)
		l.closeMalformed("answer before its request")
		return nil, false
	}
	if used > 0 && t != nil && t.endOffset > l.conn.Written() {
		l.closeMalformed("answer before the end of its request")
		return nil, false
	}
	if used == 0 {
		if t != nil {
			t.announced = max(a.announced, a.longSize)
		}
		return data, false
	}
	return data[used:], l.acceptAnswer(t, a, len(data) == used)
}

// finishUnreadUpload ends the attempt of a long write that is answered before the server has the whole value, so that nothing has run.
func (l *serverConn) finishUnreadUpload(t *attempt, a response) {
	if a.outcome != policy.Full {
		a.outcome = policy.ConnectFailed
	}
	l.attempts = l.attempts[1:]
	l.close()
	l.finishAttempt(t, response{outcome: a.outcome})
}

// acceptAnswer handles the answer to an attempt, or the beginning of one that brings a long value. last reports that no bytes follow. It
// reports whether the connection is open.
func (l *serverConn) acceptAnswer(t *attempt, a response, last bool) bool {
	a = l.checkRefusal(t, a)
	if !l.provesEnd(t, a) {
		l.closeUnproven(t, a)
		return false
	}
	l.noteAnswer(t, a)
	if a.longSize > 0 {
		l.input = nil
		l.receiveBody(t, a)
		return !l.closed
	}
	l.attempts = l.attempts[1:]
	l.retiring = l.retiring || a.close
	if last {
		l.input = nil
		if !a.close { // before the policy is notified of the answer, so that the next attempt can use the connection
			l.markIdle()
		}
	}
	if t != nil {
		l.finishAttempt(t, a)
	}
	if a.close {
		l.closeAndFail()
	}
	return !l.closed
}

// keepInput keeps the beginning of an answer that is not complete, and settles what becomes of the connection until more arrives.
func (l *serverConn) keepInput(data []byte) {
	switch {
	case len(data) == 0:
		l.input = nil
	case len(l.input) > 0:
		l.input = l.input[:copy(l.input, data)]
	default:
		l.input = append([]byte(nil), data...)
	}
	l.updateBuffered()
	if n := l.pool.node; n.responseBytes > n.maxHeldBytes() {
		n.loop.Defer(n.relieveResponses)
	}
	if len(l.input) > 0 && l.body == nil {
		l.awaitRest()
	}
	if len(l.attempts) > 0 && !l.hasOutstanding() && l.body == nil { // guards against keeping a descriptor for answers that nobody waits for
		l.closeAndFail()
	}
	l.markIdle()
}

// precedesRequest reports whether the server sent the bytes just received before it had any of an attempt's request: it acknowledges
// the request with its answer at the latest. Such bytes belong to an earlier request on the connection.
func (l *serverConn) precedesRequest(t *attempt) bool {
	return t != nil && l.hasAnswered && l.upload == nil && l.conn.Acknowledged() <= t.startOffset
}

// checkRefusal returns the answer to an attempt, without the promise that the request has not run if that may be a copy of an earlier
// refusal on the connection.
func (l *serverConn) checkRefusal(t *attempt, a response) response {
	if t == nil || a.outcome != policy.Full || a.named {
		return a
	}
	if !safety.TrustRefusal(t.request.class.effect, l.unnamedSeen, t.startedAt-l.unnamedAt, l.pool.node.settleTime()) {
		a.outcome = policy.Errored
	}
	return a
}

// provesEnd reports whether the attempt has ended whose answer has been received. Guards against an attempt at another server beside one
// that is still running here: closing the connection ends that.
func (l *serverConn) provesEnd(t *attempt, a response) bool {
	p := l.pool
	if t == nil || a.named || !p.proto.namesRequests() || t.request.class.effect == safety.Safe && p.node.cfg.Settings.Parallel {
		return true
	}
	return safety.ProvesEnd(l.unnamedSeen, p.sendsSurplus(), t.startedAt-l.unnamedAt, p.node.settleTime())
}

// closeUnproven closes the connection after an answer that may be a copy of an earlier one, and then ends the attempt with that answer.
func (l *serverConn) closeUnproven(t *attempt, a response) {
	n := l.pool.node
	now := n.loop.Now()
	n.count.answersUnproven++
	n.logRequest("event=answer_unproven id=%s server=%s attempt=%d after=%s earlier=%s", t.request.id, l.pool.id, t.number, now-t.startedAt, t.startedAt-l.unnamedAt)
	l.attempts = l.attempts[1:]
	l.closeAndFail()
	l.finishAttempt(t, a)
}

// noteAnswer notes whether an answer named its request. That to an aborted attempt is not compared with the request's id.
func (l *serverConn) noteAnswer(t *attempt, a response) {
	l.hasAnswered = true
	l.lastNamed = a.named && t != nil
	if !l.lastNamed {
		l.unnamedSeen, l.unnamedAt = true, l.lastReceived
	}
}

// finishBody ends the attempt whose long value has been received completely. last reports that no bytes follow the value.
func (l *serverConn) finishBody(last bool) {
	b := l.body
	l.body = nil
	b.stallTimer.Stop()
	l.conn.SetPaused(false)
	l.conn.SetReadLimit(admit.LargePiece)
	l.readPaused = false
	t := l.attempts[0]
	l.attempts = l.attempts[1:]
	l.retiring = l.retiring || b.close
	if last && !b.close {
		l.markIdle()
	}
	if t != nil {
		l.finishAttempt(t, response{outcome: policy.OK, discarded: b.state == bodyDiscarded})
	}
	if b.close {
		l.closeAndFail()
	}
}

// awaitRest has the policy say how long the rest of an answer is waited for, once a part of it has arrived. Without that an answer that is
// shorter than the length it states would last as long as its client waits, since its connection stays open and silent.
func (l *serverConn) awaitRest() {
	t := l.attempts[0]
	if t == nil || t.answering || l.upload != nil { // a long write has no time of its own before it is complete
		return
	}
	t.answering = true
	n := l.pool.node
	var wait time.Duration
	n.guard("answer", func() { wait = n.policy.AnswerBegun(n.loop.Now(), t.request.id, t.number) })
	if wait > 0 {
		t.timer.Stop()
		t.timer = n.loop.After(wait, func() { l.giveUpAnswer(t) })
	}
}

// giveUpAnswer ends an attempt whose answer has begun and is not complete in time.
func (l *serverConn) giveUpAnswer(t *attempt) {
	if t.done || t.link != l || l.closed {
		return
	}
	n := l.pool.node
	now := n.loop.Now()
	n.logRequest("event=answer_given_up id=%s server=%s attempt=%d bytes=%d of=%d idle=%s left=%s", t.request.id, l.pool.id, t.number, len(l.input), t.announced,
		now-l.lastReceived, t.request.remaining(now))
	l.closeMalformed("incomplete answer makes no progress")
}

// finishAttempt ends an attempt with the answer received on this connection.
func (l *serverConn) finishAttempt(t *attempt, a response) {
	t.link = nil
	l.pool.node.attemptFinished(t, a)
}

// closeMalformed closes a connection after a malformed answer: later bytes cannot be attributed to requests any more.
func (l *serverConn) closeMalformed(why string) {
	l.pool.node.count.badAnswers++
	l.pool.node.logRequest("event=bad_answer server=%s why=%q", l.pool.id, why)
	l.closeAndFail()
}
