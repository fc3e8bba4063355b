package node

import (
	"log"
	"time"

	"lapisshelf/internal/loop"
	"lapisshelf/internal/meta"
)

const (
	bodyStallTimeout = 3 * time.Second // how long a server may give nothing of a long value
	maxBufferedBody  = 64 << 10        // bytes of one that may wait for their turn
	// minBodyPrefix is how many bytes of a long value must have come before the request is bound to it. Guards against a short
	// answer that says it is long and stops: bound to it, a request was lost when its time was up (lab, garbled-cache).
	minBodyPrefix = 4 << 10
)

// body is a long value on its way from a server to a client: nothing of it is kept but what waits for its turn, and what
// the client's connection has not handed to the system. While that is something, nothing is read from the server.
type body struct {
	link         *link
	attempt      *attempt // nil once nobody waits: what comes is passed over
	size         int
	remaining    int    // bytes of the value to come
	trailer      string // what must come behind it still
	close        bool   // the connection carries nothing after it
	buffered     []byte // come before its turn
	started      bool   // the client has been given the beginning
	lastProgress time.Duration
	timer        *loop.Timer
}

// receiveBody begins a long value: the request is bound to the attempt from here on. The module is told, so that it neither tries
// again nor counts the attempt against the server, however long the client takes.
func (l *link) receiveBody(t *attempt, a response) {
	n := l.pool.node
	b := &body{link: l, attempt: t, size: a.longSize, remaining: a.longSize, trailer: a.trailer, close: a.close, lastProgress: n.loop.Now()}
	l.body = b
	b.timer = n.loop.After(bodyStallTimeout, b.checkStalled)
	if t == nil || t.request.answered || t.request.body != nil {
		b.attempt = nil
		return
	}
	c := t.request
	t.timer.Stop()
	c.timer.Stop()
	c.body = b
	n.count.bodies++
	n.guard("begun", func() { n.policy.ResponseStarted(n.loop.Now(), c.id, t.number) })
	c.client.flush() // its turn may have come
}

// consume takes what belongs to the value off what has come.
func (b *body) consume(data []byte) (used int, ok bool) {
	b.lastProgress = b.link.pool.node.loop.Now()
	if n := min(b.remaining, len(data)); n > 0 {
		b.deliver(data[:n])
		b.remaining -= n
		used = n
	}
	// Guards against passing on as whole a value that was longer or shorter than it said: its own line end comes last.
	if b.remaining == 0 {
		var end int
		b.trailer, end, ok = consumePrefix(b.trailer, data[used:])
		return used + end, ok
	}
	return used, true
}

// consumePrefix takes off data what has come of a text that must come next. It returns what of it has yet to come, how many bytes
// it took, and whether these were right.
func consumePrefix(text string, data []byte) (rest string, used int, ok bool) {
	for used < len(text) && used < len(data) {
		if data[used] != text[used] {
			return text[used:], used, false
		}
		used++
	}
	return text[used:], used, true
}

// complete reports whether all has come.
func (b *body) complete() bool { return b.remaining == 0 && b.trailer == "" }

// deliver gives a piece to the client, or keeps it until its turn.
func (b *body) deliver(data []byte) {
	switch {
	case b.attempt == nil:
	case b.started:
		b.attempt.request.client.conn.Write(data)
		b.attempt.request.client.updateHeldBytes()
		b.attempt.request.client.watchSlowReader()
	default:
		b.buffered = append(b.buffered, data...)
	}
	b.updatePaused()
}

// updatePaused reads on, or not while the client has not taken what it was given.
func (b *body) updatePaused() {
	pause := false
	if b.attempt != nil {
		if c := b.attempt.request.client; b.started {
			pause = c.conn.Pending() > 0
		} else {
			pause = len(b.buffered) >= maxBufferedBody
		}
	}
	if !pause {
		b.lastProgress = b.link.pool.node.loop.Now()
	}
	b.link.conn.SetPaused(pause)
	b.link.paused = pause
}

// startAnswer gives the client the beginning, at the answer's turn on its connection.
func (b *body) startAnswer(c *client) {
	b.started = true
	head := meta.AppendValueLine(make([]byte, 0, len(b.buffered)+64), b.attempt.request.command.ID, b.size)
	c.conn.Write(append(head, b.buffered...))
	b.buffered = nil
	b.link.account()
	b.growSendBuffer()
	b.updatePaused()
}

// growSendBuffer fetches what is left of a value whose server leaves or is banned, however slow the reader. Guards against a
// restart of that server under it: what it had given and nobody had read was lost (launceston-platform,
// hand+leave+silent+bulk 8: 1 of 169, in one run of four).
func (b *body) growSendBuffer() {
	if b.attempt != nil && b.started && !b.link.pool.open() {
		b.attempt.request.client.growSendBuffer()
	}
}

// checkStalled ends a value of which nothing comes though it could.
func (b *body) checkStalled() {
	l := b.link
	n := l.pool.node
	stalled := n.loop.Now() - b.lastProgress
	if l.paused {
		stalled = 0
	}
	if stalled >= bodyStallTimeout {
		l.bad("a long value that stops in its midst")
		return
	}
	b.timer = n.loop.After(bodyStallTimeout-stalled, b.checkStalled)
}

// discard has what comes passed over.
func (b *body) discard() {
	b.attempt, b.buffered = nil, nil
	b.link.account()
	b.updatePaused()
}

// finish ends the request to which the value belongs: whole, or broken off, which its client must be able to tell.
func (b *body) finish(c *request, whole bool) {
	n := b.link.pool.node
	c.body = nil
	id := c.command.ID
	switch {
	case whole && !b.started:
		n.reply(c, append(append(meta.AppendValueLine(nil, id, b.size), b.buffered...), "\r\n"...), served)
	case whole:
		n.reply(c, []byte("\r\n"), served)
	case !b.started:
		n.reply(c, []byte(failedAnswer), failed)
	default:
		// Guards against an answer behind that one, which would be taken for the rest of the value.
		n.count.brokenOff++
		log.Printf("event=broken_off id=%s server=%s left=%d", c.id, b.link.pool.id, b.remaining)
		n.end(c.class, failed)
		n.stopClock(c)
		c.client.breakOffAnswer()
	}
}

// breakOffAnswer ends a connection in the midst of an answer: with its end the client knows that it is not whole.
func (c *client) breakOffAnswer() {
	c.node.recordClose(c, closedMidAnswer)
	c.conn.CloseGracefully(lingerTimeout)
	c.abandonRequests()
}

// growSendBuffer has the system take all that is left of a client's answer, once, as far as the node's memory would have room for
// it. Guards against a process that is killed at the end of its time under a slow reader: what the system has taken
// goes on without it (launceston-platform, bulk+upgrade 4: 2 to 4 long values of 235 cut off, 0.5 MB of 3 MB not taken).
func (c *client) growSendBuffer() {
	n, unsent := c.node, c.conn.Pending()
	if len(c.requests) > 0 && c.requests[0].body != nil {
		unsent += c.requests[0].body.remaining
	}
	if unsent == 0 || c.sendBufferBytes > 0 || n.sendBufferBytes+unsent > n.memoryMB()<<20 {
		return
	}
	c.sendBufferBytes = unsent
	n.sendBufferBytes += unsent
	c.conn.GrowSendBuffer(unsent)
}
