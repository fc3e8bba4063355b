package node

import (
	"container/list"
	"log"
)

// A client's connection: its answers in their turn, its rests and its end.

// Connected implements loop.Handler.
func (c *client) Connected() {}

// flush writes the answers whose turn it is, then goes on with what had to wait for them.
func (c *client) flush() {
	if c.gone {
		return
	}
	for len(c.calls) > 0 && c.calls[0].answered {
		k := c.calls[0]
		c.calls[0] = nil
		c.calls = c.calls[1:]
		c.waiting -= len(k.answer)
		c.used = c.node.loop.Now()
		c.conn.Write(k.answer)
		k.answer, k.client = nil, nil
	}
	if len(c.calls) > 0 && c.calls[0].body != nil {
		if b := c.calls[0].body; b.begun {
			b.flow()
		} else {
			b.begin(c)
		}
		c.used = c.node.loop.Now()
	}
	c.account()
	c.watch()
	if c.parsing {
		return // the rest is done when that is over
	}
	closing := c.last || c.parting || c.node.clients.closing
	owes := len(c.input) > 0 || c.skip > 0 || c.up != nil || !c.asked // the rest of a command
	switch {
	case len(c.calls) > 0 || c.conn.Pending() > 0:
		c.unrest()
	case c.last || closing && !owes && c.mayClose():
		// Guards against closing on a request that has come but was not read yet, which would lose it.
		c.finish(closedAfterAnswers)
		return
	case owes:
		c.rest(c.node.clients.owing)
	default:
		c.rest(c.node.clients.idle)
	}
	if len(c.calls) == 0 {
		c.calls = nil
	}
	blocked := len(c.calls) >= mostPipelined || c.conn.Pending() >= mostUnsent
	if c.up != nil {
		c.up.flow()
		return
	}
	c.conn.SetPaused(blocked || closing && len(c.calls) > 0)
	if !blocked && len(c.input) > 0 && !c.again && c.waits() {
		c.again = true
		c.node.loop.Defer(c.more)
	}
}

// rest puts the connection among the idle or the owing ones. Who comes to owe is given time from then on, who just
// connected from then.
func (c *client) rest(l *list.List) {
	if c.list == l && l == c.node.clients.owing {
		return
	}
	if c.unrest(); l == c.node.clients.owing && c.asked {
		c.since = c.node.loop.Now()
	}
	c.list, c.place = l, l.PushBack(c)
}

// unrest takes the connection off the list it is in.
func (c *client) unrest() {
	if c.place != nil {
		c.list.Remove(c.place)
		c.list, c.place = nil, nil
	}
}

// watch closes a connection that takes nothing of what it is owed for long: its answers fill the memory.
func (c *client) watch() {
	if c.conn.Pending() == 0 {
		c.slow.Stop()
		c.slow = nil
		return
	}
	if c.slow != nil {
		return
	}
	c.taken, c.moved = c.conn.Acknowledged(), c.node.loop.Now()
	c.look()
}

// look gives up a client that has taken nothing for long.
func (c *client) look() {
	c.slow = c.node.loop.After(slowFor/5, func() {
		// Guards against taking a slow reader for a dead one: the system hands over what it holds long before it asks
		// for more, so only what the client has acknowledged tells.
		now, taken := c.node.loop.Now(), c.conn.Acknowledged()
		if taken != c.taken {
			c.taken, c.moved = taken, now
		}
		if now-c.moved >= slowFor {
			c.giveUp()
			return
		}
		c.look()
	})
}

// giveUp closes a connection that does not take what it is owed.
func (c *client) giveUp() {
	c.node.count.clientsSlow++
	log.Printf("event=client_slow pending=%d held=%d", c.conn.Pending(), c.owed)
	c.node.noteClosed(c, closedSlow)
	c.conn.Close()
	c.ended()
}

// Flushed implements loop.Handler.
func (c *client) Flushed() { c.flush() }

// End implements loop.Handler: the client has gone away, and nobody waits for what it had asked.
func (c *client) End(error) {
	if !c.gone {
		c.node.noteClosed(c, closedByClient)
	}
	c.ended()
}

// ended lets go of a connection that has ended, and of what nobody waits for any more.
func (c *client) ended() {
	calls := c.calls
	c.drop()
	// Guards against an attempt for one of its requests as another of them ends, whose fetch it had waited for.
	for _, k := range calls {
		k.client = nil
	}
	for _, k := range calls {
		k.answer = nil
		c.node.abandon(k)
	}
}

// away ends the connection of a client that has left, though its end has not come by yet.
func (c *client) away() {
	if !c.gone {
		c.conn.Close()
		c.End(nil)
	}
}

// cut closes a connection that is owed nothing at once, whatever may still come on it.
func (c *client) cut(why closing) {
	c.node.checkClose(c)
	c.node.noteClosed(c, why)
	c.conn.Close()
	c.drop()
}

// finish closes the connection between requests.
func (c *client) finish(why closing) {
	if !c.gone {
		c.node.checkClose(c)
		c.node.noteClosed(c, why)
		linger := lingerFor
		if c.bad > 0 || !c.asked { // whose next bytes nobody wants
			linger /= 4
		}
		c.conn.CloseGracefully(linger)
		c.used, c.parts = c.node.loop.Now(), c.node.clients.parted.PushBack(c)
		c.drop()
	}
}

// drop lets go of the connection, which the loop has given back or will after Finish.
func (c *client) drop() {
	if c.gone {
		return
	}
	c.gone = true
	c.slow.Stop()
	c.unrest()
	c.node.deep -= c.deep
	if c.up != nil {
		c.up.timer.Stop()
	}
	c.input, c.calls, c.up, c.waiting = nil, nil, nil, 0
	c.account()
	delete(c.node.clients.all, c)
	c.node.clients.thin()
}
