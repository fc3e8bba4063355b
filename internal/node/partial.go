package node

import "hash/maphash"

// lineEnd ends a value in the protocol of clients and cache servers.
const lineEnd = "\r\n"

// partialAnswer is what a client has had of a long value. If the value breaks off, the rest may come from another attempt, provided that
// its value has the same length and begins with the same bytes: the client then holds the value of that attempt, whole.
type partialAnswer struct {
	size  int          // of the value
	bytes int          // of it that were written to the client
	sent  maphash.Hash // of these bytes
}

// newPartialAnswer returns an answer of which the beginning has been written to the client.
func newPartialAnswer(size int, beginning []byte) *partialAnswer {
	p := &partialAnswer{size: size}
	p.note(beginning)
	return p
}

// note adds bytes that were written to the client.
func (p *partialAnswer) note(data []byte) {
	p.bytes += len(data)
	p.sent.Write(data)
}

// length returns how many bytes of the value were written to the client.
func (p *partialAnswer) length() int {
	if p == nil {
		return 0
	}
	return p.bytes
}

// hasFollowers reports whether the client has sent other requests behind this one.
func (c *request) hasFollowers() bool {
	requests := c.client.requests
	return len(requests) > 0 && requests[len(requests)-1] != c || len(c.client.input) > 0
}

// endUnserved ends a request that no server answers: with this text, or by breaking off an answer that has begun.
func (n *Node) endUnserved(c *request, text []byte, how ending) {
	if c.partial != nil {
		n.breakOff(c)
	} else {
		n.reply(c, text, how)
	}
}

// breakOff ends a request in the middle of its answer, in a way that its client can detect. Guards against a further answer on the
// connection: the client would take it for the rest of the value.
func (n *Node) breakOff(c *request) {
	if c.answered {
		return
	}
	n.count.brokenOff++
	n.logRequest("event=broken_off id=%s left=%d of=%d attempts=%d", c.id, c.partial.size-c.partial.bytes, c.partial.size, len(c.attempts))
	n.recordTransition(requestFailed, c)
	n.countEnding(c.class, failed)
	n.stopClock(c)
	if x := c.client; x != nil {
		n.loop.Defer(x.breakOffAnswer)
	}
	n.withdrawAttempts(c)
	n.removeIfDone(c)
}

// breakOffAnswer closes a connection in the middle of an answer, by which the client knows that it is incomplete.
func (c *client) breakOffAnswer() {
	if c.closed {
		return
	}
	c.node.recordClose(c, closedMidAnswer)
	c.conn.CloseGracefully(lingerTimeout)
	c.abandonRequests()
}

// growSendBuffer has the kernel take all that is left of a client's answer, once, as far as the node's memory limit allows.
// Guards against a process that is killed while a slow client still reads: what the kernel has taken is delivered without the
// process.
func (c *client) growSendBuffer() {
	n, unsent := c.node, c.conn.Pending()+c.queuedBytes
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
