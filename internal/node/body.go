package node

import (
	"log"
	"time"

	"lapisshelf/internal/loop"
	"lapisshelf/internal/meta"
)

const (
	bodyStall = 3 * time.Second // how long a server may give nothing of a long value
	bodyKept  = 64 << 10        // bytes of one that may wait for their turn
	// bodyFirst is how many bytes of a long value must have come before the request is bound to it. Guards against a short
	// answer that says it is long and stops: bound to it, a request was lost when its time was up (lab, garbled-cache).
	bodyFirst = 4 << 10
)

// body is a long value on its way from a server to a client: nothing of it is kept but what waits for its turn, and what
// the client's connection has not handed to the system. While that is something, nothing is read from the server.
type body struct {
	link  *serverConn
	try   *try // nil once nobody waits: what comes is passed over
	size  int
	left  int    // bytes of the value to come
	tail  string // what must come behind it still
	close bool   // the connection carries nothing after it
	kept  []byte // come before its turn
	begun bool   // the client has been given the beginning
	heard time.Duration
	timer *loop.Timer
}

// receive begins a long value: the request is bound to the attempt from here on. The module is told, so that it neither tries
// again nor counts the attempt against the server, however long the client takes.
func (l *serverConn) receive(t *try, a answer) {
	n := l.pool.node
	b := &body{link: l, try: t, size: a.long, left: a.long, tail: a.tail, close: a.close, heard: n.loop.Now()}
	l.body = b
	b.timer = n.loop.After(bodyStall, b.look)
	if t == nil || t.call.answered || t.call.body != nil {
		b.try = nil
		return
	}
	c := t.call
	t.timer.Stop()
	c.timer.Stop()
	c.body = b
	n.count.longValues++
	n.guard("begun", func() { n.policy.ResponseStarted(n.loop.Now(), c.id, t.n) })
	c.client.flush() // its turn may have come
}

// take takes what belongs to the value off what has come.
func (b *body) take(data []byte) (used int, ok bool) {
	b.heard = b.link.pool.node.loop.Now()
	if n := min(b.left, len(data)); n > 0 {
		b.pass(data[:n])
		b.left -= n
		used = n
	}
	// Guards against passing on as whole a value that was longer or shorter than it said: its own line end comes last.
	if b.left == 0 {
		var end int
		b.tail, end, ok = matched(b.tail, data[used:])
		return used + end, ok
	}
	return used, true
}

// matched takes off data what has come of a text that must come next. It returns what of it has yet to come, how many bytes
// it took, and whether these were right.
func matched(text string, data []byte) (rest string, used int, ok bool) {
	for used < len(text) && used < len(data) {
		if data[used] != text[used] {
			return text[used:], used, false
		}
		used++
	}
	return text[used:], used, true
}

// whole reports whether all has come.
func (b *body) whole() bool { return b.left == 0 && b.tail == "" }

// pass gives a piece to the client, or keeps it until its turn.
func (b *body) pass(data []byte) {
	switch {
	case b.try == nil:
	case b.begun:
		b.try.call.client.conn.Write(data)
		b.try.call.client.account()
		b.try.call.client.watch()
	default:
		b.kept = append(b.kept, data...)
	}
	b.flow()
}

// flow reads on, or not while the client has not taken what it was given.
func (b *body) flow() {
	stop := false
	if b.try != nil {
		if c := b.try.call.client; b.begun {
			stop = c.conn.Pending() > 0
		} else {
			stop = len(b.kept) >= bodyKept
		}
	}
	if !stop {
		b.heard = b.link.pool.node.loop.Now()
	}
	b.link.conn.SetPaused(stop)
	b.link.readPaused = stop
}

// begin gives the client the beginning, at the answer's turn on its connection.
func (b *body) begin(c *client) {
	b.begun = true
	head := meta.AppendValueLine(make([]byte, 0, len(b.kept)+64), b.try.call.command.ID, b.size)
	c.conn.Write(append(head, b.kept...))
	b.kept = nil
	b.link.updateBuffered()
	b.hasten()
	b.flow()
}

// hasten fetches what is left of a value whose server leaves or is banned, however slow the reader. Guards against a
// restart of that server under it: what it had given and nobody had read was lost (launceston-platform,
// hand+leave+silent+bulk 8: 1 of 169, in one run of four).
func (b *body) hasten() {
	if b.try != nil && b.begun && !b.link.pool.available() {
		b.try.call.client.deepen()
	}
}

// look ends a value of which nothing comes though it could.
func (b *body) look() {
	l := b.link
	n := l.pool.node
	silent := n.loop.Now() - b.heard
	if l.readPaused {
		silent = 0
	}
	if silent >= bodyStall {
		l.closeMalformed("a long value that stops in its midst")
		return
	}
	b.timer = n.loop.After(bodyStall-silent, b.look)
}

// nobody has what comes passed over.
func (b *body) nobody() {
	b.try, b.kept = nil, nil
	b.link.updateBuffered()
	b.flow()
}

// end ends the request to which the value belongs: whole, or broken off, which its client must be able to tell.
func (b *body) end(c *call, whole bool) {
	n := b.link.pool.node
	c.body = nil
	id := c.command.ID
	switch {
	case whole && !b.begun:
		n.reply(c, append(append(meta.AppendValueLine(nil, id, b.size), b.kept...), "\r\n"...), served)
	case whole:
		n.reply(c, []byte("\r\n"), served)
	case !b.begun:
		n.reply(c, []byte(failure), failed)
	default:
		// Guards against an answer behind that one, which would be taken for the rest of the value.
		n.count.brokenOff++
		log.Printf("event=broken_off id=%s server=%s left=%d", c.id, b.link.pool.id, b.left)
		n.countEnding(c.class, failed)
		n.unclock(c)
		c.client.breakOff()
	}
}

// breakOff ends a connection in the midst of an answer: with its end the client knows that it is not whole.
func (c *client) breakOff() {
	c.node.noteClosed(c, closedBroken)
	c.conn.CloseGracefully(lingerFor)
	c.ended()
}

// deepen has the system take all that is left of a client's answer, once, as far as the node's memory would have room for
// it. Guards against a process that is killed at the end of its time under a slow reader: what the system has taken
// goes on without it (launceston-platform, bulk+upgrade 4: 2 to 4 long values of 235 cut off, 0.5 MB of 3 MB not taken).
func (c *client) deepen() {
	n, rest := c.node, c.conn.Pending()
	if len(c.calls) > 0 && c.calls[0].body != nil {
		rest += c.calls[0].body.left
	}
	if rest == 0 || c.deep > 0 || n.deep+rest > n.memoryMB()<<20 {
		return
	}
	c.deep = rest
	n.deep += rest
	c.conn.GrowSendBuffer(rest)
}
