package node

import (
	"container/list"
)

// A client's connection: the order of its answers, idle and slow clients, and its end.

// Connected implements loop.Handler.
func (c *client) Connected() {}

// flush writes the answers that are next in order, then continues with the input that had to wait for them. An answer is written once
// the system has taken those before it: until then it can still be given up.
func (c *client) flush() {
	if c.closed {
		return
	}
	for len(c.requests) > 0 && c.requests[0].hasWholeAnswer() && c.conn.Pending() == 0 {
		c.writeAnswer()
	}
	if len(c.requests) > 0 && c.requests[0].body != nil {
		c.flushBody(c.requests[0].body)
	}
	c.updateHeldBytes()
	c.watchSlowReader()
	if c.parsing {
		return // the rest follows when parse returns
	}
	closing := c.noMoreInput || c.closeWhenIdle || c.node.clients.closing
	incomplete := len(c.input) > 0 || c.skip > 0 || c.upload != nil || !c.sentCommand // part of a command is missing
	switch {
	case c.busy():
		c.removeFromList()
	case c.noMoreInput || closing && !incomplete && c.mayClose():
		// Guards against closing while a request has arrived but is unread: it would be lost.
		c.closeGracefully(closedAfterAnswers)
		return
	case incomplete:
		c.moveTo(c.node.clients.incomplete)
	default:
		c.moveTo(c.node.clients.idle)
	}
	if len(c.requests) == 0 {
		c.requests = nil
	}
	blocked := len(c.requests) >= maxPipelined || c.unsentBytes() >= maxUnsentBytes
	c.limitPieces()
	if c.upload != nil {
		c.upload.updatePaused()
		return
	}
	if !blocked && len(c.input) > 0 && !c.parseScheduled && c.hasWholeCommand() {
		// Guards against a client that sends many small commands: others had to wait until all that was read of it was handled.
		c.parseScheduled = true
		c.removeFromList() // it owes no command
		c.node.loop.NextTurn(c.parseBuffered)
	}
	c.conn.SetPaused(blocked || c.parseScheduled || closing && len(c.requests) > 0)
}

// flushBody continues the answer that is next in order and a long value, or begins it.
func (c *client) flushBody(b *body) {
	switch {
	case b.state != bodyBuffered:
		b.updatePaused()
	case c.conn.Pending() == 0 && b.mayStart():
		b.startAnswer(c)
	default:
		return
	}
	c.lastActive = c.node.loop.Now()
}

// hasWholeAnswer reports whether all of the answer, or all of its rest, may be written.
func (k *request) hasWholeAnswer() bool { return k.answered && k.partial == nil }

// writeAnswer writes the answer that is next in order.
func (c *client) writeAnswer() {
	n, k := c.node, c.requests[0]
	if k.droppable && n.clientBytes > n.maxHeldBytes() {
		if n.giveUpAnswers(); k.droppable && n.clientBytes > n.maxHeldBytes() {
			k.dropAnswer()
		}
	}
	c.requests[0] = nil
	c.requests = c.requests[1:]
	c.queuedBytes -= len(k.answer)
	c.lastActive = n.loop.Now()
	if k.class != nil {
		n.countEnding(k.class, k.how)
	}
	c.conn.WriteOwned(k.answer)
	k.answer, k.client, k.droppable = nil, nil, false
}

// busy reports whether something is owed on the connection: an answer, or the handling of a command that was read.
func (c *client) busy() bool { return len(c.requests) > 0 || c.conn.Pending() > 0 || c.parseScheduled }

// unsentBytes returns the number of bytes of answers that wait for the client to read.
func (c *client) unsentBytes() int {
	if pending := c.conn.Pending(); pending > 0 {
		return pending + c.queuedBytes
	}
	return 0
}

// moveTo moves the connection to the list of idle or of incomplete ones. The time limit of an incomplete command counts from this
// move, that of a new connection from the accept.
func (c *client) moveTo(l *list.List) {
	if c.list == l && l == c.node.clients.incomplete {
		return
	}
	if c.removeFromList(); l == c.node.clients.incomplete && c.sentCommand {
		c.incompleteSince = c.node.loop.Now()
	}
	c.list, c.listElem = l, l.PushBack(c)
}

// removeFromList removes the connection from the list it is in.
func (c *client) removeFromList() {
	if c.listElem != nil {
		c.list.Remove(c.listElem)
		c.list, c.listElem = nil, nil
	}
}

// watchSlowReader starts to watch a client that has unsent answers: one that takes nothing for long is closed, because its
// answers fill the memory.
func (c *client) watchSlowReader() {
	if c.conn.Pending() == 0 {
		c.slowTimer.Stop()
		c.slowTimer = nil
		return
	}
	if c.slowTimer != nil {
		return
	}
	c.acknowledged, c.progressAt = c.conn.Acknowledged(), c.node.loop.Now()
	c.checkProgress()
}

// checkProgress schedules the next check, and closes a client that has taken nothing for slowReaderTimeout.
func (c *client) checkProgress() {
	c.slowTimer = c.node.loop.After(slowReaderTimeout/5, func() {
		// Guards against taking a slow reader for a dead one: the kernel delivers what it has buffered long before it accepts
		// more, so only the bytes that the client has acknowledged show progress.
		if c.progressStopped(slowReaderTimeout) {
			c.closeSlow()
			return
		}
		c.checkProgress()
	})
}

// closeSlow closes a connection whose client does not read its answers.
func (c *client) closeSlow() {
	c.node.count.clientsSlow++
	c.node.logRequest("event=client_slow pending=%d held=%d", c.conn.Pending(), c.heldBytes)
	c.node.recordClose(c, closedSlow)
	c.conn.Close()
	c.abandonRequests()
}

// Flushed implements loop.Handler.
func (c *client) Flushed() { c.flush() }

// End implements loop.Handler: the client has gone, and its requests are abandoned.
func (c *client) End(error) {
	if !c.closed {
		c.node.recordClose(c, closedByClient)
	}
	c.abandonRequests()
}

// abandonRequests releases a connection that has ended and abandons its requests.
func (c *client) abandonRequests() {
	calls := c.requests
	c.release()
	// Guards against starting an attempt for one of its requests when another one ends whose fetch it had waited for.
	for _, k := range calls {
		k.client = nil
	}
	for _, k := range calls {
		if len(k.answer) > 0 && k.class != nil { // it was not written, so it is not counted yet
			c.node.count.abandoned++
		}
		k.answer = nil
		c.node.abandon(k)
	}
}

// closeDeparted closes the connection of a client that has gone, before the loop has reported its end.
func (c *client) closeDeparted() {
	if !c.closed {
		c.conn.Close()
		c.End(nil)
	}
}

// closeNow closes a connection that has no open request at once, whatever may still arrive on it.
func (c *client) closeNow(why closeReason) {
	c.node.checkClose(c)
	c.node.recordClose(c, why)
	c.conn.Close()
	c.release()
}

// closeGracefully closes the connection between requests: the write side first, then lingering for the client's end.
func (c *client) closeGracefully(why closeReason) {
	if !c.closed {
		c.node.checkClose(c)
		c.node.recordClose(c, why)
		linger := lingerTimeout
		if c.badCommands > 0 || !c.sentCommand { // what it may still send is of no use
			linger /= 4
		}
		c.conn.CloseGracefully(linger)
		c.lastActive, c.lingerElem = c.node.loop.Now(), c.node.clients.lingering.PushBack(c)
		c.release()
	}
}

// release removes the connection from the node's books. The loop has closed it, or will when it has lingered.
func (c *client) release() {
	if c.closed {
		return
	}
	c.closed = true
	c.slowTimer.Stop()
	c.removeFromList()
	c.node.sendBufferBytes -= c.sendBufferBytes
	if c.upload != nil {
		c.upload.stopTimers()
	}
	c.input, c.requests, c.upload, c.queuedBytes = nil, nil, nil, 0
	c.updateHeldBytes()
	delete(c.node.clients.all, c)
	c.node.clients.enforceLimits()
}
