package node

import (
	"time"

	"lapisshelf/internal/loop"
	"lapisshelf/internal/meta"
)

const (
	uploadMost = 30 * time.Second // how long a long value may take to come
	leastWait  = time.Millisecond // what is left to a request whose time was over as its last byte was read
	uploadLook = 500 * time.Millisecond
)

// upload is a long value on its way from a client to a server. Its first bytes are kept, as many as a whole value may hold;
// then the request goes to the module, and the value to the server as it comes. The last byte goes on only when the line
// end behind it is seen to be right: until then the write has provably never run, whatever becomes of it.
type upload struct {
	client *client
	call   *call
	wait   time.Duration // how long the client waits once all has come
	left   int           // bytes of the value to come
	end    string        // of the line end behind it, what has yet to come
	kept   []byte        // all that has come, while that is little enough to be sent again
	last   []byte        // the value's last byte, and what the server wants behind it
	try    *try          // the attempt that it is written to
	taken  bool          // the module knows of it
	spent  bool          // more has come than was kept
	whole  bool          // all has come
	begun  time.Duration
	heard  time.Duration // when bytes last came
	gone   int64         // of the try, what the system had taken when last looked at
	moved  time.Duration // when that was seen to grow
	timer  *loop.Timer
}

// upload begins to take a long value of a request.
func (c *client) upload(k *call, size int, wait time.Duration) {
	now := c.node.loop.Now()
	c.up = &upload{client: c, call: k, wait: wait, left: size, end: "\r\n", begun: now, heard: now}
	k.upload = c.up
	c.node.count.longWrites++
	c.up.look()
}

// take takes what belongs to the value off what has come.
func (u *upload) take(data []byte) (used int, ok bool) {
	u.heard = u.client.node.loop.Now()
	u.client.unrest() // it owes less than before: what it may owe, and for how long, begins anew
	if used = min(u.left, len(data)); used > 0 {
		piece := data[:used]
		if u.left -= used; u.left == 0 {
			piece, u.last = piece[:used-1], []byte{piece[used-1]}
		}
		u.give(piece)
	}
	// Guards against a write that runs though its value was longer or shorter than it said.
	if u.left == 0 {
		var end int
		u.end, end, ok = matched(u.end, data[used:])
		return used + end, ok
	}
	return used, true
}

// give passes a piece on, or keeps it until there is an attempt.
func (u *upload) give(piece []byte) {
	if u.call.answered { // nobody wants it any more
		u.kept = nil
		return
	}
	if u.try != nil {
		u.try.link.conn.Write(piece)
	}
	if !u.spent {
		u.kept = append(u.kept, piece...)
		u.spare()
	}
	if !u.taken && len(u.kept) >= bodyKept {
		u.taken = true
		u.begin()
	}
}

// begin takes the request: enough of it has come to be believed. Until then its connection owes the rest of a command like
// any other, and its id is nobody's: half a command with another's id must not cost that one its request.
func (u *upload) begin() {
	c, n := u.client, u.client.node
	if err := n.used(u.call.command.ID); err != nil {
		u.call.answered = true
		c.reject(err)
		return
	}
	n.register(u.call.command.ID)
	c.calls = append(c.calls, u.call)
	n.take(u.call, n.loop.Now())
}

// spare gives up keeping what has been written to an attempt once it is too much: from then on there is no other.
func (u *upload) spare() {
	if u.try != nil && len(u.kept) > bodyKept {
		u.spent, u.kept = true, nil
	}
}

// sent writes to a new attempt what has come.
func (u *upload) sent(t *try) {
	now := u.client.node.loop.Now()
	u.try, u.gone, u.moved = t, 0, now
	t.link.upload = u
	t.link.conn.Write(u.kept)
	u.spare()
	if u.whole {
		u.finish()
	}
	u.client.node.loop.Defer(u.flow)
}

// finish writes the end of the value: from here on the write may run.
func (u *upload) finish() {
	l := u.try.link
	l.upload = nil
	l.conn.Write(append(u.last, l.pool.proto.bodySuffix()...))
	l.markWritten()
}

// came notes that all has come: the request is taken, and its time counts.
func (u *upload) came() {
	c, n := u.call, u.client.node
	u.whole = true
	u.timer.Stop()
	if c.answered {
		return
	}
	now := n.loop.Now()
	n.clock(c, now, n.within(max(leastWait, u.wait-(now-u.client.arrived)), now))
	n.guard("came", func() { n.policy.BodyReceived(now, c.id, c.end-now) })
	if t := u.try; t != nil {
		t.began = now
		t.timer = n.loop.After(c.end-now, func() { t.pool.timeout(t) })
		u.finish()
	}
}

// ended notes that its attempt has ended.
func (u *upload) ended(t *try) {
	if u.try == t {
		u.try = nil
		u.client.node.loop.Defer(u.flow)
	}
}

// stop reports whether nothing more is wanted of the client for now: the server has not taken what it was given, or there
// is no attempt yet.
func (u *upload) stop() bool {
	if u.call.answered {
		return false
	}
	if u.try != nil {
		return u.try.link.conn.Pending() > 0
	}
	return len(u.kept) >= bodyKept
}

// flow reads on, or not.
func (u *upload) flow() {
	if c := u.client; c.up == u && !c.gone {
		c.conn.SetPaused(u.stop())
		c.account()
	}
}

// holds is how many bytes it keeps.
func (u *upload) holds() int {
	if u.try != nil && !u.try.link.closed {
		return cap(u.kept) + u.try.link.conn.Pending()
	}
	return cap(u.kept)
}

// look ends a value of which nothing comes though it could, and an attempt whose server takes nothing of it.
func (u *upload) look() {
	c := u.client
	now := c.node.loop.Now()
	if u.try != nil {
		if gone := u.try.link.conn.Written(); gone != u.gone {
			u.gone, u.moved = gone, now
		}
	}
	switch {
	case u.stop() && now-u.begun < uploadMost:
		u.heard = now
		if u.try != nil && now-u.moved >= bodyStall {
			u.try.pool.timeout(u.try)
		}
	case now-u.heard >= owesFor || now-u.begun >= uploadMost:
		c.node.count.clientsBad++
		c.node.noteClosed(c, closedOwing)
		c.conn.Close()
		c.ended()
		return
	}
	u.timer = c.node.loop.After(uploadLook, u.look)
}

// spoilt ends a request whose value does not end where it should, and the connection: nobody knows what comes next.
func (u *upload) spoilt() {
	c, k := u.client, u.call
	c.up = nil
	u.timer.Stop()
	c.node.count.badLines++
	if !k.answered {
		c.node.reply(k, []byte("CLIENT_ERROR "+meta.ErrChunk.Error()+"\r\n"), failed)
		if u.taken {
			c.node.guard("abandoned", func() { c.node.policy.Abandoned(c.node.loop.Now(), k.id) })
		}
		if u.try != nil {
			u.try.pool.cancel(u.try)
		}
	}
	c.last = true
}
