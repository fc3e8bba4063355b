package node

import (
	"time"

	"lapisshelf/decide/admit"
	"lapisshelf/internal/meta"
)

// Memory: the bytes that are held for clients and for incomplete responses, and what is given up when there are too many.

// memoryStallTimeout is how long a client may take nothing while the bytes held for clients are over their limit.
const memoryStallTimeout = slowReaderTimeout / 2

// maxHeldBytes is the limit on the bytes held for clients; the limit on buffered responses is the same again.
func (n *Node) maxHeldBytes() int { return n.memoryMB() << 20 / heldMemoryDivisor }

// clientMemory is the budget of the bytes held for clients.
func (n *Node) clientMemory() admit.Memory {
	return admit.Memory{Limit: n.maxHeldBytes(), Held: n.clientBytes + n.writeBytes}
}

// responseMemory is the budget of the bytes of incomplete responses.
func (n *Node) responseMemory() admit.Memory {
	return admit.Memory{Limit: n.maxHeldBytes(), Held: n.responseBytes}
}

// maxResponseSize is the limit on a response that is buffered whole because its length is not announced; it leaves room for many
// at once. Guards against taking values above the usual size for malformed responses, for which their servers would be skipped.
func (n *Node) maxResponseSize() int {
	return max(meta.MaxValue, n.cfg.MemoryMB<<20/responseMemoryDivisor)
}

// atCapacity reports whether the node has no room for a client's request with a value of this size.
func (n *Node) atCapacity(c *client, value int) bool {
	limit := n.cfg.Transport.MaxRequests
	queued := len(c.requests) > 0 || c.conn.Pending() > 0
	return limit > 0 && len(n.requests) >= limit || !n.clientMemory().Admit(value, queued)
}

// updateHeldBytes updates the count of bytes held for clients: unsent answers and incomplete commands. If the total is over its
// limit, memory is relieved.
func (c *client) updateHeldBytes() {
	n := c.node
	held := c.queuedBytes + c.conn.Pending() + cap(c.input)
	if c.upload != nil {
		held += c.upload.bufferedBytes()
	}
	if c.closed {
		held = 0
	}
	n.clientBytes += held - c.heldBytes
	c.heldBytes = held
	n.updateReading()
	if n.clientBytes <= n.maxHeldBytes() || n.shedding {
		return
	}
	n.shedding = true
	n.loop.Defer(func() {
		n.shedding = false
		n.relieveMemory()
	})
}

// readingState is what the bytes held for clients allow.
type readingState struct{ scarce, readAhead bool }

// updateReading has all clients read in smaller or larger pieces, and long writes read ahead of their servers or not, as the bytes held for
// clients allow.
func (n *Node) updateReading() {
	memory := n.clientMemory()
	if state := (readingState{memory.Scarce(), memory.MayReadAhead()}); state != n.readingState {
		n.readingState = state
		n.loop.Defer(n.adjustReading)
	}
}

// adjustReading applies the present state of memory to what is read from each client.
func (n *Node) adjustReading() {
	for c := range n.clients.all {
		c.limitPieces()
		if c.upload != nil {
			c.upload.updatePaused()
		}
	}
}

// relieveMemory brings the bytes held for clients below their limit: it gives up answers of which nothing has been written, then closes
// connections that hold much and on which nothing is owed, or whose clients take nothing. A client that takes its answers is never
// closed: what it holds is at most one answer, or one piece of a long value, and shrinks.
func (n *Node) relieveMemory() {
	n.giveUpAnswers()
	for n.clientBytes > n.maxHeldBytes() {
		worst := n.clients.worstHolder()
		if worst == nil {
			return
		}
		if len(worst.requests) > 0 || worst.conn.Pending() > 0 {
			worst.closeSlow()
		} else {
			n.count.clientsShed++
			worst.closeNow(closedForCapacity)
		}
	}
}

// worstHolder returns the client that holds most of those that may be closed for it, or nil.
func (s *clients) worstHolder() *client {
	var worst *client
	for c := range s.all {
		if c.heldBytes > 0 && (worst == nil || c.heldBytes > worst.heldBytes) && c.mayCloseForMemory() {
			worst = c
		}
	}
	return worst
}

// mayCloseForMemory reports whether the connection may be closed to free memory: it has only an incomplete command, or its client has
// taken nothing for memoryStallTimeout.
func (c *client) mayCloseForMemory() bool {
	if c.conn.Pending() > 0 {
		return c.progressStopped(memoryStallTimeout)
	}
	return len(c.requests) == 0 && !c.parseScheduled && !c.conn.Stale()
}

// giveUpAnswers fails reads whose answers wait behind others, from the clients that hold most, while too much is held. Nothing of
// these answers has been written, so each of the reads still gets a valid answer.
func (n *Node) giveUpAnswers() {
	for n.clientBytes > n.maxHeldBytes() {
		var worst *client
		for c := range n.clients.all {
			if c.queuedBytes > 0 && (worst == nil || c.queuedBytes > worst.queuedBytes) && c.hasDroppableAnswer() {
				worst = c
			}
		}
		if worst == nil {
			return
		}
		worst.giveUpAnswers()
	}
}

// hasDroppableAnswer reports whether a queued answer may be given up.
func (c *client) hasDroppableAnswer() bool {
	for _, k := range c.requests {
		if k.droppable {
			return true
		}
	}
	return false
}

// giveUpAnswers fails the client's reads whose answers are queued, the last one first, while too much is held.
func (c *client) giveUpAnswers() {
	for i := len(c.requests) - 1; i >= 0 && c.node.clientBytes > c.node.maxHeldBytes(); i-- {
		if c.requests[i].droppable {
			c.requests[i].dropAnswer()
		}
	}
}

// dropAnswer fails a read whose answer has not been written.
func (k *request) dropAnswer() {
	c := k.client
	c.queuedBytes += len(failedAnswer) - len(k.answer)
	k.answer, k.how, k.droppable = []byte(failedAnswer), failed, false
	c.node.count.answersDropped++
	c.node.recordTransition(requestFailed, k)
	c.updateHeldBytes()
}

// limitPieces sets how much is read from a client at a time.
func (c *client) limitPieces() { c.conn.SetReadLimit(c.node.clientMemory().PieceSize()) }

// relieveResponses ends the incomplete responses that hold most until the others are within their limit: a long value that waits for
// its turn fails its request, which has had nothing yet; any other connection is closed.
func (n *Node) relieveResponses() {
	for n.responseBytes > n.maxHeldBytes() {
		var worst *serverConn
		for _, p := range n.pools {
			for _, l := range p.conns {
				if worst == nil || l.accountedBytes > worst.accountedBytes {
					worst = l
				}
			}
		}
		if worst == nil || worst.accountedBytes == 0 {
			return
		}
		if b := worst.body; b != nil && b.attempt != nil && b.state == bodyBuffered {
			b.giveUp()
		} else {
			worst.closeMalformed("too many bytes of incomplete answers")
		}
	}
}

// progressStopped reports whether the client has acknowledged nothing for this long although it has bytes to come.
func (c *client) progressStopped(timeout time.Duration) bool {
	now, acknowledged := c.node.loop.Now(), c.conn.Acknowledged()
	if acknowledged != c.acknowledged {
		c.acknowledged, c.progressAt = acknowledged, now
	}
	return now-c.progressAt >= timeout
}

// delivering reports whether the system still has bytes for the client, which takes them. Guards against closing the connection of a
// client that reads slowly as an idle one: a request that crosses the close would reset it, and the end of its answer would be lost.
func (c *client) delivering() bool {
	return c.conn.Acknowledged() < c.conn.WriteOffset() && !c.progressStopped(slowReaderTimeout)
}
