package node

import (
	"time"

	"lapisshelf/internal/loop"
	"lapisshelf/internal/meta"
)

const (
	maxUploadTime       = 30 * time.Second // how long a long value may take to come
	minRemaining        = time.Millisecond // what is left to a request whose time was over as its last byte was read
	uploadCheckInterval = 500 * time.Millisecond
)

// upload is a long value on its way from a client to a server. Its first bytes are kept, as many as a whole value may hold;
// then the request goes to the module, and the value to the server as it comes. The last byte goes on only when the line
// end behind it is seen to be right: until then the write has provably never run, whatever becomes of it.
type upload struct {
	client          *client
	request         *request
	timeout         time.Duration // how long the client waits once all has come
	remaining       int           // bytes of the value to come
	trailer         string        // of the line end behind it, what has yet to come
	buffered        []byte        // all that has come, while that is little enough to be sent again
	finalBytes      []byte        // the value's last byte, and what the server wants behind it
	attempt         *attempt      // the attempt that it is written to
	submitted       bool          // the module knows of it
	bufferDropped   bool          // more has come than was kept
	complete        bool          // all has come
	startedAt       time.Duration
	lastProgress    time.Duration // when bytes last came
	writtenBytes    int64         // of the try, what the system had taken when last looked at
	writeProgressAt time.Duration // when that was seen to grow
	timer           *loop.Timer
}

// beginUpload begins to take a long value of a request.
func (c *client) beginUpload(k *request, size int, wait time.Duration) {
	now := c.node.loop.Now()
	c.upload = &upload{client: c, request: k, timeout: wait, remaining: size, trailer: "\r\n", startedAt: now, lastProgress: now}
	k.upload = c.upload
	c.node.count.uploads++
	c.upload.checkStalled()
}

// consume takes what belongs to the value off what has come.
func (u *upload) consume(data []byte) (used int, ok bool) {
	u.lastProgress = u.client.node.loop.Now()
	u.client.removeFromList() // it owes less than before: what it may owe, and for how long, begins anew
	if used = min(u.remaining, len(data)); used > 0 {
		piece := data[:used]
		if u.remaining -= used; u.remaining == 0 {
			piece, u.finalBytes = piece[:used-1], []byte{piece[used-1]}
		}
		u.forward(piece)
	}
	// Guards against a write that runs though its value was longer or shorter than it said.
	if u.remaining == 0 {
		var end int
		u.trailer, end, ok = consumePrefix(u.trailer, data[used:])
		return used + end, ok
	}
	return used, true
}

// forward passes a piece on, or keeps it until there is an attempt.
func (u *upload) forward(piece []byte) {
	if u.request.answered { // nobody wants it any more
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

// submit takes the request: enough of it has come to be believed. Until then its connection owes the rest of a command like
// any other, and its id is nobody's: half a command with another's id must not cost that one its request.
func (u *upload) submit() {
	c, n := u.client, u.client.node
	if err := n.checkUniqueID(u.request.command.ID); err != nil {
		u.request.answered = true
		c.reject(err)
		return
	}
	n.registerID(u.request.command.ID)
	c.requests = append(c.requests, u.request)
	n.submit(u.request, n.loop.Now())
}

// dropLargeBuffer gives up keeping what has been written to an attempt once it is too much: from then on there is no other.
func (u *upload) dropLargeBuffer() {
	if u.attempt != nil && len(u.buffered) > maxBufferedBody {
		u.bufferDropped, u.buffered = true, nil
	}
}

// sendTo writes to a new attempt what has come.
func (u *upload) sendTo(t *attempt) {
	now := u.client.node.loop.Now()
	u.attempt, u.writtenBytes, u.writeProgressAt = t, 0, now
	t.link.going = u
	t.link.conn.Write(u.buffered)
	u.dropLargeBuffer()
	if u.complete {
		u.finish()
	}
	u.client.node.loop.Defer(u.updatePaused)
}

// finish writes the end of the value: from here on the write may run.
func (u *upload) finish() {
	l := u.attempt.link
	l.going = nil
	l.conn.Write(append(u.finalBytes, l.pool.proto.behind()...))
	l.wrote()
}

// received notes that all has come: the request is taken, and its time counts.
func (u *upload) received() {
	c, n := u.request, u.client.node
	u.complete = true
	u.timer.Stop()
	if c.answered {
		return
	}
	now := n.loop.Now()
	n.startClock(c, now, n.capTimeout(max(minRemaining, u.timeout-(now-u.client.arrivedAt)), now))
	n.guard("came", func() { n.policy.BodyReceived(now, c.id, c.attemptsUntil-now) })
	if t := u.attempt; t != nil {
		t.runnableAt = now
		t.timer = n.loop.After(c.attemptsUntil-now, func() { t.pool.timeout(t) })
		u.finish()
	}
}

// attemptDone notes that its attempt has ended.
func (u *upload) attemptDone(t *attempt) {
	if u.attempt == t {
		u.attempt = nil
		u.client.node.loop.Defer(u.updatePaused)
	}
}

// shouldPause reports whether nothing more is wanted of the client for now: the server has not taken what it was given, or there
// is no attempt yet.
func (u *upload) shouldPause() bool {
	if u.request.answered {
		return false
	}
	if u.attempt != nil {
		return u.attempt.link.conn.Pending() > 0
	}
	return len(u.buffered) >= maxBufferedBody
}

// updatePaused reads on, or not.
func (u *upload) updatePaused() {
	if c := u.client; c.upload == u && !c.closed {
		c.conn.SetPaused(u.shouldPause())
		c.updateHeldBytes()
	}
}

// bufferedBytes is how many bytes it keeps.
func (u *upload) bufferedBytes() int {
	if u.attempt != nil && !u.attempt.link.gone {
		return cap(u.buffered) + u.attempt.link.conn.Pending()
	}
	return cap(u.buffered)
}

// checkStalled ends a value of which nothing comes though it could, and an attempt whose server takes nothing of it.
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

// rejectMalformed ends a request whose value does not end where it should, and the connection: nobody knows what comes next.
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
