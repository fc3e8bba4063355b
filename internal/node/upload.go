package node

import (
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/internal/loop"
	"lapisshelf/internal/meta"
)

// upload is a long value that is streamed from a client to a server. Its beginning is buffered, up to maxBufferedBody; then the
// request goes to the policy, and the value to the server as it arrives. The client is read ahead of the server while little
// memory is held, so that the node sees the last byte, from which the client's time counts. The last byte is sent only after the line end behind it
// has been checked: until then the write has provably not run, whatever happens to it.
type upload struct {
	client          *client
	request         *request
	timeout         time.Duration // how long the client waits once all has arrived
	remaining       int           // bytes of the value still to arrive
	trailer         string        // the part of the line end after the value that has yet to arrive
	buffered        []byte        // all that has arrived, while it is small enough to be sent again
	finalBytes      []byte        // the value's last byte, held back until the end
	attempt         *attempt      // the attempt that it is written to; nil: none
	submitted       bool          // the policy has been given the request
	bufferDropped   bool          // the buffer was given up, so no other attempt is possible
	complete        bool          // all has arrived
	startedAt       time.Duration
	lastProgress    time.Duration // when bytes last arrived
	writtenBytes    int64         // bytes of the attempt that the system had taken at the last check
	writeProgressAt time.Duration // when writtenBytes last grew
	pendingBytes    int           // bytes of a complete value that wait for the server; included in Node.writeBytes
	stallTimer      *loop.Timer
	deadlineTimer   *loop.Timer
}

// beginUpload starts to receive the long value of a request.
func (c *client) beginUpload(k *request, size int, timeout time.Duration) {
	now := c.node.loop.Now()
	c.upload = &upload{client: c, request: k, timeout: timeout, remaining: size, trailer: "\r\n", startedAt: now, lastProgress: now}
	k.upload = c.upload
	c.node.count.longWrites++
	c.upload.checkStalled()
}

// consume takes the part of data that belongs to the value.
func (u *upload) consume(data []byte) (used int, ok bool) {
	u.lastProgress = u.client.node.loop.Now()
	u.client.removeFromList() // this is progress: the time limit of an incomplete command starts anew
	if used = min(u.remaining, len(data)); used > 0 {
		piece := data[:used]
		if u.remaining -= used; u.remaining == 0 {
			piece, u.finalBytes = piece[:used-1], []byte{piece[used-1]}
		}
		u.forward(piece)
	}
	// Guards against a write that runs although its value is longer or shorter than announced.
	if u.remaining == 0 {
		var end int
		u.trailer, end, ok = consumePrefix(u.trailer, data[used:])
		return used + end, ok
	}
	return used, true
}

// forward writes a piece of the value to the attempt, or buffers it until there is one.
func (u *upload) forward(piece []byte) {
	if u.request.answered { // the value is no longer needed
		u.buffered = nil
		return
	}
	if u.attempt != nil {
		u.attempt.link.conn.Write(piece)
	}
	if !u.bufferDropped {
		u.buffered = append(u.buffered, piece...)
		u.dropLargeBuffer()
	}
	if !u.submitted && len(u.buffered) >= maxBufferedBody {
		u.submitted = true
		u.submit()
	}
}

// timeLeft returns how long the client still waits if the last byte that was read had been its request's last.
func (u *upload) timeLeft(now time.Duration) time.Duration {
	return u.timeout - (now - u.client.lastByteAt)
}

// submit passes the request to the policy once enough of its value has arrived to be credible. Until then it is an incomplete
// command like any other, and its id is not registered: half a command with another request's id must not affect that request.
func (u *upload) submit() {
	c, n := u.client, u.client.node
	if err := n.checkUniqueID(u.request.command.ID); err != nil {
		u.request.answered = true
		c.reject(err)
		return
	}
	now := n.loop.Now()
	if safety.CheckStart(safety.Request{Remaining: u.timeLeft(now)}) != safety.Allowed {
		n.count.tooLate++
		u.request.answered = true
		c.refuse(u.request.class)
		return
	}
	n.registerID(u.request.command.ID)
	if !n.keepID(u.request) {
		n.count.refusedFull++
		u.request.answered = true
		c.refuse(u.request.class)
		return
	}
	c.requests = append(c.requests, u.request)
	n.submit(u.request, now)
	u.checkDeadline()
}

// dropLargeBuffer drops the buffer once the part written to an attempt is too large to be kept. From then on no other attempt is
// possible.
func (u *upload) dropLargeBuffer() {
	if u.attempt != nil && len(u.buffered) > maxBufferedBody {
		u.bufferDropped, u.buffered = true, nil
	}
}

// sendTo writes what has arrived to a new attempt.
func (u *upload) sendTo(t *attempt) {
	now := u.client.node.loop.Now()
	u.attempt, u.writtenBytes, u.writeProgressAt = t, 0, now
	t.link.upload = u
	t.link.conn.Write(u.buffered)
	u.dropLargeBuffer()
	if u.complete {
		u.finish()
	}
	u.client.node.loop.Defer(u.updatePaused)
}

// finish writes the end of the value. From here on the server may run the write.
func (u *upload) finish() {
	l := u.attempt.link
	l.upload = nil
	l.conn.Write(append(u.finalBytes, l.pool.proto.bodySuffix()...))
	l.markWritten()
	u.countPending(l.conn.Pending())
}

// countPending counts the bytes of a complete value that wait for its server.
func (u *upload) countPending(bytes int) {
	u.client.node.writeBytes += bytes - u.pendingBytes
	u.pendingBytes = bytes
}

// received handles the end of the value, which arrived at this time or later: the request counts as taken, and its time budget started
// then. Guards against counting it from the read: while there was no room for the write, its client was not read.
func (u *upload) received(arrivedAt time.Duration) {
	c, n := u.request, u.client.node
	u.stopTimers()
	if c.answered {
		return
	}
	now := n.loop.Now()
	timeout := n.capTimeout(u.timeout-(now-arrivedAt), now)
	if safety.CheckStart(safety.Request{Remaining: timeout}) != safety.Allowed {
		n.count.tooLate++
		u.refuse("read after its time")
		return
	}
	if !n.keepID(c) { // its time counts from now
		u.refuse("no room for its id")
		return
	}
	u.complete = true
	n.startClock(c, now, timeout)
	n.guard("came", func() { n.policy.BodyReceived(now, c.id, c.attemptsUntil-now) })
	if t := u.attempt; t != nil {
		t.runnableAt = now
		t.timer = n.loop.After(c.attemptsUntil-now, func() { t.pool.timeout(t) })
		u.finish()
	}
}

// attemptDone handles the end of its attempt.
func (u *upload) attemptDone(t *attempt) {
	if u.attempt == t {
		u.attempt = nil
		u.countPending(0)
		u.client.node.loop.Defer(u.updatePaused)
	}
}

// shouldPause reports whether reading from the client should pause: the server has not taken what was sent and no more may be read
// ahead of it, or there is no attempt yet and the buffer is full.
func (u *upload) shouldPause() bool {
	if u.request.answered {
		return false
	}
	if u.attempt != nil {
		return u.attempt.link.conn.Pending() > 0 && !u.client.node.clientMemory().MayReadAhead()
	}
	return len(u.buffered) >= maxBufferedBody
}

// updatePaused pauses or resumes reading from the client.
func (u *upload) updatePaused() {
	if c := u.client; c.upload == u && !c.closed {
		c.conn.SetPaused(u.shouldPause())
		c.updateHeldBytes()
	}
}

// bufferedBytes is the number of bytes held for the value.
func (u *upload) bufferedBytes() int {
	if u.attempt != nil && !u.attempt.link.closed {
		return cap(u.buffered) + u.attempt.link.conn.Pending()
	}
	return cap(u.buffered)
}

// rejectMalformed ends a request whose value does not end where it should. Its connection closes too, since the start of the next
// command is unknown.
func (u *upload) rejectMalformed() {
	c, k := u.client, u.request
	c.upload = nil
	u.stopTimers()
	c.node.count.badLines++
	if !k.answered {
		c.node.reply(k, []byte("CLIENT_ERROR "+meta.ErrChunk.Error()+"\r\n"), failed)
		if u.submitted {
			c.node.guard("abandoned", func() { c.node.policy.Abandoned(c.node.loop.Now(), k.id) })
		}
		if u.attempt != nil {
			u.attempt.pool.cancel(u.attempt)
		}
	}
	c.noMoreInput = true
}
