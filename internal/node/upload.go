package node

import (
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/internal/loop"
	"lapisshelf/internal/meta"
)

const (
	maxUploadTime       = 30 * time.Second // how long a long value may take to arrive
	minRemaining        = time.Millisecond // remaining time of a request whose deadline had passed when its last byte was read
	uploadCheckInterval = 500 * time.Millisecond
)

// upload is a long value that is streamed from a client to a server. Its beginning is buffered, up to maxBufferedBody; then the
// request goes to the policy, and the value to the server as it arrives. The last byte is sent only after the line end behind it
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
	timer           *loop.Timer
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
	if safety.CheckStart(safety.Request{Remaining: u.timeout - (now - c.lastByteAt)}) != safety.Allowed {
		n.count.tooLate++
		u.request.answered = true
		c.refuse(u.request.class)
		return
	}
	n.registerID(u.request.command.ID)
	c.requests = append(c.requests, u.request)
	n.submit(u.request, now)
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
}

// received handles the end of the value, which arrived at this time or later: the request counts as taken, and its time budget started
// then. Guards against counting it from the read: while there was no room for the write, its client was not read.
func (u *upload) received(arrivedAt time.Duration) {
	c, n := u.request, u.client.node
	u.complete = true
	u.timer.Stop()
	if c.answered {
		return
	}
	now := n.loop.Now()
	n.startClock(c, now, n.capTimeout(max(minRemaining, u.timeout-(now-arrivedAt)), now))
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
		u.client.node.loop.Defer(u.updatePaused)
	}
}

// shouldPause reports whether reading from the client should pause: the server has not taken what was sent, or there is no
// attempt yet and the buffer is full.
func (u *upload) shouldPause() bool {
	if u.request.answered {
		return false
	}
	if u.attempt != nil {
		return u.attempt.link.conn.Pending() > 0
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

// checkStalled ends an upload whose client sends nothing although it is read, and an attempt whose server takes nothing of the
// value.
func (u *upload) checkStalled() {
	c := u.client
	now := c.node.loop.Now()
	if u.attempt != nil {
		if written := u.attempt.link.conn.Written(); written != u.writtenBytes {
			u.writtenBytes, u.writeProgressAt = written, now
		}
	}
	switch {
	case u.shouldPause() && now-u.startedAt < maxUploadTime:
		u.lastProgress = now
		if u.attempt != nil && now-u.writeProgressAt >= bodyStallTimeout {
			u.attempt.pool.timeout(u.attempt)
		}
	case now-u.lastProgress >= commandTimeout || now-u.startedAt >= maxUploadTime:
		c.node.count.clientsBad++
		c.node.recordClose(c, closedIncomplete)
		c.conn.Close()
		c.abandonRequests()
		return
	}
	u.timer = c.node.loop.After(uploadCheckInterval, u.checkStalled)
}

// rejectMalformed ends a request whose value does not end where it should. Its connection closes too, since the start of the next
// command is unknown.
func (u *upload) rejectMalformed() {
	c, k := u.client, u.request
	c.upload = nil
	u.timer.Stop()
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
