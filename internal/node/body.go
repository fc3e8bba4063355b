package node

import (
	"hash/maphash"
	"time"

	"lapisshelf/decide/admit"
	"lapisshelf/decide/patience"
	"lapisshelf/internal/loop"
	"lapisshelf/internal/meta"
)

const (
	bodyStallTimeout = 3 * time.Second // how long a server may send nothing of a long value
	maxBufferedBody  = 64 << 10        // bytes of a long value that may be buffered, unless all of it is
	// minBodyPrefix is how many bytes of a long value must have arrived before the request is bound to it. Guards against a
	// malformed short response that announces a long value and stops: a request bound to it was lost when its deadline passed.
	minBodyPrefix = 4 << 10
)

// bodyState is what happens to the bytes of a long value when they arrive.
type bodyState int

const (
	bodyBuffered  bodyState = iota // nothing of the answer has been written to the client: they are kept for it
	bodyStreamed                   // they are written to the client
	bodyCompared                   // the client has had them from an earlier attempt: they are compared with what was written then
	bodyDiscarded                  // nobody waits for them
)

// body is a long value that is received from a server, and streamed to a client. Only the part that waits for the answer's turn, or that
// the system has not yet taken for the client, is buffered; while there is such a part, nothing is read from the server. While other
// requests stand behind it on the client's connection, all of it is buffered first, as far as time and memory allow: a value of which
// nothing has been written may break off without harm to them, and be fetched again.
type body struct {
	link         *serverConn
	attempt      *attempt // nil if it is discarded
	state        bodyState
	size         int
	remaining    int    // bytes of the value still to arrive
	trailer      string // what must still follow the value
	close        bool   // the server closes the connection after it
	buffered     []byte // the line of the answer, and what has arrived of the value
	lineBytes    int    // of buffered
	held         bool   // all of the value may be buffered
	prefix       maphash.Hash
	prefixBytes  int           // that were compared, hashed in prefix
	startedAt    time.Duration // when its beginning was received
	patientUntil time.Duration // from then on a value that has stopped is asked of another server
	mayRepeat    bool          // the request may then be sent again
	lastProgress time.Duration
	stallTimer   *loop.Timer
	holdTimer    *loop.Timer
}

// receiveBody starts to receive a long value and binds the request to this attempt. The policy is notified, so that it neither
// retries nor counts the attempt against the server, however slowly the client reads.
func (l *serverConn) receiveBody(t *attempt, a response) {
	n := l.pool.node
	now := n.loop.Now()
	b := &body{link: l, attempt: t, size: a.longSize, remaining: a.longSize, trailer: a.trailer, close: a.close, startedAt: now, lastProgress: now}
	l.body = b
	b.stallTimer = n.loop.After(bodyStallTimeout, b.checkStalled)
	if t == nil || t.request.answered || t.request.body != nil {
		b.attempt, b.state = nil, bodyDiscarded
		return
	}
	c := t.request
	if c.partial != nil && c.partial.size != b.size {
		b.reject()
		return
	}
	t.timer.Stop()
	c.timer.Stop()
	c.body = b
	n.count.longValues++
	var wait time.Duration
	n.guard("begun", func() {
		n.policy.ResponseStarted(now, c.id, t.number)
		wait = n.policy.AnswerBegun(now, c.id, t.number)
	})
	b.patientUntil, b.mayRepeat = now+wait, now+wait < c.attemptsUntil
	b.holdTimer = n.loop.After(wait, b.checkPatience)
	if c.partial != nil {
		b.state = bodyCompared
		b.prefix.SetSeed(c.partial.sent.Seed())
	} else {
		b.buffered = meta.AppendValueLine(nil, c.command.ID, b.size)
		b.lineBytes = len(b.buffered)
	}
	c.client.flush() // the answer may be next in order
}

// consume takes the part of data that belongs to the value.
func (b *body) consume(data []byte) (used int, ok bool) {
	b.lastProgress = b.link.pool.node.loop.Now()
	if n := min(b.remaining, len(data)); n > 0 {
		b.remaining -= n
		b.deliver(data[:n])
		used = n
	}
	// Guards against delivering as complete a value that is longer or shorter than announced: the line end for the client is
	// written last.
	if b.remaining == 0 {
		var end int
		b.trailer, end, ok = consumePrefix(b.trailer, data[used:])
		return used + end, ok
	}
	return used, true
}

// consumePrefix matches the beginning of data with the expected text. It returns the part of the text still to arrive, the number
// of bytes matched, and whether all of them were right.
func consumePrefix(text string, data []byte) (rest string, used int, ok bool) {
	for used < len(text) && used < len(data) {
		if data[used] != text[used] {
			return text[used:], used, false
		}
		used++
	}
	return text[used:], used, true
}

// complete reports whether the value and what follows it have arrived.
func (b *body) complete() bool { return b.remaining == 0 && b.trailer == "" }

// deliver handles a piece of the value that has arrived.
func (b *body) deliver(data []byte) {
	switch b.state {
	case bodyBuffered:
		b.buffered = append(b.buffered, data...)
	case bodyStreamed:
		b.write(data)
	case bodyCompared:
		b.compare(data)
	}
	b.updatePaused()
}

// write writes a piece of the value to the client.
func (b *body) write(data []byte) {
	c := b.attempt.request
	c.partial.note(data)
	c.client.conn.Write(data)
	c.client.updateHeldBytes()
	c.client.watchSlowReader()
}

// compare compares a piece with what the client has had of the value. The rest is streamed if all of that is the same. Otherwise it is
// another value, which must not be mixed with the first.
func (b *body) compare(data []byte) {
	p := b.attempt.request.partial
	n := min(p.bytes-b.prefixBytes, len(data))
	b.prefix.Write(data[:n])
	if b.prefixBytes += n; b.prefixBytes < p.bytes {
		return
	}
	if b.prefix.Sum64() != p.sent.Sum64() {
		b.reject()
		return
	}
	b.state = bodyStreamed
	b.link.pool.node.count.valuesResumed++
	b.growSendBuffer()
	b.write(data[n:])
}

// reject ends an attempt that has brought another value than the one of which the client has had a part.
func (b *body) reject() {
	n, t := b.link.pool.node, b.attempt
	n.logRequest("event=other_value id=%s server=%s attempt=%d size=%d want=%d", t.request.id, b.link.pool.id, t.number, b.size, t.request.partial.size)
	if t.request.body == b {
		b.detach()
	}
	b.discard()
	n.loop.Defer(func() { t.pool.cancel(t) })
}

// detach separates the value from its request, which may get another answer until its deadline.
func (b *body) detach() {
	c := b.attempt.request
	c.body = nil
	b.holdTimer.Stop()
	if !c.answered {
		b.link.pool.node.resumeClock(c)
	}
}

// updatePaused stops reading from the server while the client has not taken what it was sent, or the buffer is full.
func (b *body) updatePaused() {
	l, n := b.link, b.link.pool.node
	pause, piece := false, admit.LargePiece
	switch b.state {
	case bodyBuffered:
		piece = n.responseMemory().PieceSize()
		pause = !b.held && len(b.buffered)-b.lineBytes >= min(maxBufferedBody, piece)
	case bodyStreamed:
		piece = n.clientMemory().PieceSize()
		pause = b.attempt.request.client.conn.Pending() > 0
	case bodyCompared:
		piece = n.responseMemory().PieceSize()
	}
	l.conn.SetReadLimit(piece)
	if l.readPaused && !pause {
		b.lastProgress = n.loop.Now()
	}
	l.conn.SetPaused(pause)
	l.readPaused = pause
}

// mayStart reports whether an answer that is next in order may be begun before the value is complete. While other requests stand behind
// it, which would be lost with it if the value broke off, it is held first.
func (b *body) mayStart() bool {
	if b.link.pool.node.loop.Now() >= b.holdUntil() || !b.attempt.request.hasFollowers() {
		return true
	}
	return !b.held && !b.hold()
}

// holdUntil returns until when the beginning of the value may be kept from the client.
func (b *body) holdUntil() time.Duration { return min(b.patientUntil, b.startedAt+patience.MaxHold) }

// hold has all of the value buffered, if memory has room for it. It reports whether it does.
func (b *body) hold() bool {
	n := b.link.pool.node
	if !n.responseMemory().MayHold(b.size) || !n.clientMemory().MayHold(b.size) {
		return false
	}
	b.held = true
	whole := make([]byte, 0, b.lineBytes+b.size+len(lineEnd))
	b.buffered = append(whole, b.buffered...)
	b.link.updateBuffered()
	b.holdTimer.Stop()
	b.holdTimer = n.loop.After(b.holdUntil()-n.loop.Now(), b.checkPatience)
	b.updatePaused()
	return true
}

// checkPatience ends the time for which the value may be held: if it has stopped, another server is asked for it, which may also give the
// rest of one that has begun; else what there is of it is passed on.
func (b *body) checkPatience() {
	if b.attempt == nil || b.link.closed || b.attempt.request.body != b {
		return
	}
	c, n := b.attempt.request, b.link.pool.node
	now := n.loop.Now()
	if !b.link.readPaused && c.hasFollowers() && (b.mayRepeat || b.held && b.state == bodyBuffered) && patience.Stopped(now-b.lastProgress, now-b.startedAt) {
		b.logGivenUp()
		b.link.closeMalformed("long value makes no progress")
		return
	}
	if now < b.patientUntil {
		b.holdTimer = n.loop.After(b.patientUntil-now, b.checkPatience)
	}
	c.client.flush()
}

// startAnswer writes the beginning of the value to the client, when the answer is next in order.
func (b *body) startAnswer(c *client) {
	n := c.node
	if n.giveUpAnswers(); n.clientBytes > n.maxHeldBytes() {
		n.loop.Defer(b.giveUp)
		return
	}
	b.state, b.held = bodyStreamed, false
	b.attempt.request.partial = newPartialAnswer(b.size, b.buffered[b.lineBytes:])
	c.conn.WriteOwned(b.buffered)
	b.buffered = nil
	b.link.updateBuffered()
	b.growSendBuffer()
	b.updatePaused()
}

// giveUp fails the request of a value of which nothing has been written to its client, and ends its attempt.
func (b *body) giveUp() {
	t := b.attempt
	if t == nil || b.state != bodyBuffered || t.done {
		return
	}
	n := b.link.pool.node
	n.count.answersDropped++
	t.request.body = nil // before the attempt ends, which discards the value
	n.reply(t.request, []byte(failedAnswer), failed)
	t.pool.cancel(t)
}

// growSendBuffer has the rest of a value from a draining, gone or banned server read at once, however slowly the client reads.
// Guards against a restart of that server, which loses what it has sent and nobody has read.
func (b *body) growSendBuffer() {
	if b.state == bodyStreamed && !b.link.pool.available() {
		b.attempt.request.client.growSendBuffer()
	}
}

// checkStalled ends a value whose server has sent nothing for bodyStallTimeout although the connection is read, but not while its client
// still waits for the whole of it.
func (b *body) checkStalled() {
	l := b.link
	n := l.pool.node
	now := n.loop.Now()
	if l.readPaused {
		b.lastProgress = now
	}
	end := b.lastProgress + bodyStallTimeout
	if b.attempt != nil {
		end = max(end, b.attempt.request.deadline)
	}
	if now < end {
		b.stallTimer = n.loop.After(end-now, b.checkStalled)
		return
	}
	if b.attempt != nil {
		b.logGivenUp()
	}
	l.closeMalformed("long value stopped before its end")
}

// logGivenUp logs that the rest of the value is not waited for.
func (b *body) logGivenUp() {
	n := b.link.pool.node
	now := n.loop.Now()
	n.logRequest("event=answer_given_up id=%s server=%s attempt=%d bytes=%d of=%d idle=%s left=%s", b.attempt.request.id, b.link.pool.id, b.attempt.number,
		b.size-b.remaining, b.size, now-b.lastProgress, b.attempt.request.remaining(now))
}

// discard drops the rest of the value as it arrives.
func (b *body) discard() {
	b.attempt, b.state, b.buffered = nil, bodyDiscarded, nil
	b.holdTimer.Stop()
	b.link.updateBuffered()
	b.updatePaused()
}

// finish handles the end of the value. A request whose value is complete has its answer. One whose value has broken off is left to the
// policy: it is sent again, or ended as one that no server has answered.
func (b *body) finish(c *request, whole bool) {
	n := b.link.pool.node
	switch {
	case !whole:
		n.count.valuesInterrupted++
		n.logRequest("event=value_interrupted id=%s server=%s attempt=%d left=%d of=%d sent=%d", c.id, b.link.pool.id, b.attempt.number, b.remaining, b.size, c.partial.length())
		b.detach()
	case b.state == bodyBuffered:
		c.body = nil
		n.replyValue(c, append(b.buffered, lineEnd...))
	default:
		c.body, c.partial = nil, nil
		n.reply(c, []byte(lineEnd), served)
	}
	b.holdTimer.Stop()
}
