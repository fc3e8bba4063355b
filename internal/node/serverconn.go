package node

// One connection to a server: the requests written on it, and its end.

import (
	"slices"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/internal/loop"
	"lapisshelf/policy"
)

// serverConn is one connection to a server. Only close releases it.
type serverConn struct {
	pool           *pool
	conn           *loop.Conn
	attempts       []*attempt // in the order of their requests; nil for an aborted attempt whose answer is still to come
	input          []byte
	accountedBytes int         // buffered bytes that are included in the count for the node
	timer          *loop.Timer // connect timeout or idle timeout
	idleSince      time.Duration
	connected      bool
	closed         bool
	hasAnswered    bool          // an answer has been received on it
	lastNamed      bool          // the last answer named its request; true before the first one
	unnamedSeen    bool          // an answer has not named its request
	unnamedAt      time.Duration // when the last such answer was received
	lastReceived   time.Duration // when bytes were last received on it
	body           *body         // long value being received
	upload         *upload       // long value being sent
	readPaused     bool          // backpressure: the client of the long value does not read
	retiring       bool          // the server has moved or the connection is ending: it gets no new attempts
}

// drain ends a connection that is still being established, and withdraws the attempts on an established one of which nothing has
// been written.
func (l *serverConn) drain() {
	if !l.connected {
		l.closeAndFail()
	}
	l.withdrawUnwritten()
	l.markIdle()
}

// limitWriteDelay withdraws an attempt that stays in the write buffer for longer than maxWriteDelay. Guards against a server that
// stops reading and resumes later: it would work for a client that has stopped waiting.
func (l *serverConn) limitWriteDelay(t *attempt) {
	if l.connected && !t.written && t.request.upload == nil {
		t.writeTimer = l.pool.node.loop.After(maxWriteDelay, func() {
			if !t.done && t.link == l {
				l.withdrawAttempt(t, policy.ConnectFailed)
			}
		})
	}
}

// writeRequest writes an attempt's request, which states how long the node waits for the answer.
func (l *serverConn) writeRequest(t *attempt, wait time.Duration) {
	text := l.pool.proto.appendRequest(nil, t, wait)
	t.startOffset = l.conn.WriteOffset()
	t.endOffset = t.startOffset + int64(len(text)) // set before Write, so that bytes discarded by a broken connection count as unwritten
	l.conn.Write(text)
	t.queued = l.conn.Written() <= t.startOffset
}

// remainingWait returns how long the node still waits for an attempt that was queued earlier. A planned shutdown may have shortened it.
func (t *attempt) remainingWait(now time.Duration) time.Duration {
	return min(t.timeout-(now-t.startedAt), t.request.attemptsUntil-now)
}

// rewriteRequests replaces the requests that were queued while the connection was being established by ones that state the time
// that remains now: with the old timeouts the server would work for clients that have stopped waiting. Requests that may not be
// sent any more are dropped.
func (l *serverConn) rewriteRequests() {
	now, oldEnd := l.pool.node.loop.Now(), l.conn.WriteOffset()
	if len(l.attempts) == 0 {
		return
	}
	if t := l.attempts[0]; t != nil && t.request.upload != nil { // it has the connection to itself
		l.rewriteLongWrite(t)
		return
	}
	l.attempts = slices.DeleteFunc(l.attempts, func(t *attempt) bool {
		if t == nil {
			return true
		}
		why := l.pool.node.maySend(t, t.remainingWait(now), t.request.client == nil)
		if why != safety.Allowed {
			t.link = nil
			l.pool.node.refuseSend(t, why)
		}
		return why != safety.Allowed
	})
	for _, t := range l.attempts {
		l.writeRequest(t, t.remainingWait(now))
		t.startOffset, t.endOffset = t.startOffset-oldEnd, t.endOffset-oldEnd
	}
	l.conn.CancelWrite(0, oldEnd) // nothing has been passed to the kernel yet
}

// rewriteLongWrite replaces only what precedes the value: of the value, the connection's write buffer may hold the only copy.
func (l *serverConn) rewriteLongWrite(t *attempt) {
	n := l.pool.node
	wait := t.remainingWait(n.loop.Now())
	if why := n.maySend(t, wait, t.request.client == nil); why != safety.Allowed {
		l.conn.CancelWrite(0, l.conn.WriteOffset())
		t.link, l.upload, l.attempts = nil, nil, nil
		t.request.upload.attemptDone(t)
		n.refuseSend(t, why)
		return
	}
	head := l.pool.proto.appendRequest(nil, t, wait)
	if l.conn.ReplaceWrite(t.startOffset, t.endOffset-t.bodyBytes(), head) {
		t.endOffset = t.startOffset + int64(len(head)) + t.bodyBytes()
	}
}

// bodyBytes returns the number of bytes that follow the head of a long write.
func (t *attempt) bodyBytes() int64 {
	return int64(t.request.command.LongSize + len(t.pool.proto.bodySuffix()))
}

// withdrawUnwritten withdraws the attempts of which no byte has been written.
func (l *serverConn) withdrawUnwritten() {
	for i := len(l.attempts) - 1; i >= 0 && !l.closed; i-- {
		if t := l.attempts[i]; t != nil && !l.withdrawAttempt(t, policy.ConnectFailed) {
			break
		}
	}
}

// withdrawAttempt removes an attempt and its request from the connection if no byte of the request has been passed to the kernel:
// the attempt has never run. It reports whether it did so.
func (l *serverConn) withdrawAttempt(t *attempt, o policy.Outcome) bool {
	end := t.endOffset
	if t.request.upload != nil { // it has the connection to itself, and its value may be incomplete
		end = l.conn.WriteOffset()
	}
	i := slices.Index(l.attempts, t)
	if i < 0 || l.closed || !l.conn.CancelWrite(t.startOffset, end) {
		return false
	}
	for _, x := range l.attempts[i+1:] {
		if x != nil {
			x.startOffset, x.endOffset = x.startOffset-(end-t.startOffset), x.endOffset-(end-t.startOffset)
		}
	}
	t.link, l.upload, l.attempts = nil, nil, slices.Delete(l.attempts, i, i+1)
	l.pool.node.attemptFinished(t, response{outcome: o})
	return true
}

// markWritten marks and counts the attempts whose requests have been written completely.
func (l *serverConn) markWritten() {
	for i := len(l.attempts) - 1; i >= 0; i-- {
		if t := l.attempts[i]; t != nil && !t.written && t.endOffset <= l.conn.Written() {
			t.written = true
			l.pool.node.count.written++
			l.pool.node.recordAttempt(attemptWritten, t, 0, 0)
			if t.queued && t.request.upload == nil {
				l.pool.node.checkWritten(t)
			}
		}
	}
}

// hasOutstanding reports whether an attempt on the connection waits for its answer.
func (l *serverConn) hasOutstanding() bool {
	return slices.ContainsFunc(l.attempts, func(x *attempt) bool { return x != nil })
}

// close closes the connection and releases its buffers; its attempts are left to the caller.
func (l *serverConn) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.timer.Stop()
	l.unmarkIdle()
	l.conn.Close()
	l.input = nil
	if l.body != nil {
		l.body.buffered = nil
		l.body.stallTimer.Stop()
		l.body.holdTimer.Stop()
	}
	l.updateBuffered()
	p := l.pool
	p.conns = slices.DeleteFunc(p.conns, func(x *serverConn) bool { return x == l })
	p.node.serverConns--
	p.removeIfUnused()
}

// closeAndFail closes the connection and ends its attempts. Those whose requests were not written completely have never run; the
// others may have.
func (l *serverConn) closeAndFail() {
	if l.closed {
		return
	}
	written := l.conn.Written()
	l.close()
	for _, t := range l.attempts {
		if t == nil {
			continue
		}
		end := response{outcome: policy.Reset, reusedConn: l.hasAnswered}
		if t.endOffset > written {
			end.outcome = policy.ConnectFailed
		}
		l.pool.node.attemptFinished(t, end)
	}
	l.attempts = nil
}

// Connected implements loop.Handler.
func (l *serverConn) Connected() {
	l.connected = true
	l.pool.lastReceived = l.pool.node.loop.Now()
	l.timer.Stop()
	l.rewriteRequests()
	l.markWritten()
	for _, t := range l.attempts {
		if t != nil {
			l.limitWriteDelay(t)
		}
	}
	l.markIdle()
}

// Flushed implements loop.Handler.
func (l *serverConn) Flushed() {
	l.markWritten()
	if l.upload != nil {
		l.upload.updatePaused()
	}
}
