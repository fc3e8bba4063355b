package node

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/internal/meta"
)

// Commands: parses a client's bytes into requests.

// Data implements loop.Handler.
func (c *client) Data(data []byte) {
	if c.noMoreInput {
		return
	}
	c.lastActive = c.node.loop.Now()
	c.updateArrival()
	if c.skip > 0 {
		n := min(c.skip, len(data))
		c.skip -= n
		data = data[n:]
	}
	if len(c.input) > 0 {
		c.input = append(c.input, data...)
		data = c.input
	}
	c.bufferRest(c.parse(data))
	c.noteValueProgress()
	c.flush()
}

// noteValueProgress restarts the time limit of an incomplete command of which the line is complete: its value may take longer, as long as
// it makes progress, up to maxUploadTime.
func (c *client) noteValueProgress() {
	if c.upload != nil || bytes.IndexByte(c.input, '\n') < 0 {
		c.valueSince = 0
		return
	}
	now := c.node.loop.Now()
	if c.valueSince == 0 {
		c.valueSince = now
	}
	if now-c.valueSince < maxUploadTime {
		c.incompleteSince = now
		c.removeFromList() // flush adds it as the youngest
	}
}

// updateArrival sets the earliest time at which the data being read may have arrived. If that is long ago, because the process stood
// still or the connection was not read, the system may know when the last byte arrived.
func (c *client) updateArrival() {
	c.arrivedAt = c.conn.EarliestArrival()
	c.lastByteAt = c.arrivedAt
	if c.lastActive-c.arrivedAt <= lateRead {
		return
	}
	if last, known := c.conn.LastArrival(); known {
		c.lastByteAt = max(c.arrivedAt, last)
	}
}

// arrivalOf returns the earliest time at which a request may have arrived whose last byte is in the data being read; last reports that
// nothing follows it there.
func (c *client) arrivalOf(last bool) time.Duration {
	if last {
		return c.lastByteAt
	}
	return c.arrivedAt
}

// bufferRest keeps the input that has not been parsed.
func (c *client) bufferRest(rest []byte) {
	switch {
	case c.closed || c.noMoreInput || len(rest) == 0:
		c.input = nil
	case len(rest) != len(c.input): // otherwise the rest is c.input, unchanged
		c.input = append([]byte(nil), rest...)
	}
}

// parse handles the commands in data while limits allow, and returns the rest.
func (c *client) parse(data []byte) []byte {
	c.parsing = true
	defer func() { c.parsing = false }()
	for len(data) > 0 && !c.closed && !c.noMoreInput && (c.upload != nil || len(c.requests) < maxPipelined && c.unsentBytes() < maxUnsentBytes) {
		if u := c.upload; u != nil {
			used, ok := u.consume(data)
			data = data[used:]
			if !ok {
				u.rejectMalformed()
				return nil
			}
			if u.remaining == 0 && u.trailer == "" {
				c.upload = nil
				u.received(c.arrivalOf(len(data) == 0))
			}
			continue
		}
		m, used, err := meta.ParseCommand(data, meta.MaxValue, meta.MaxLongValue)
		switch {
		case err != nil:
			c.reject(err)
			if used == 0 || c.noMoreInput {
				c.noMoreInput = true
				return nil
			}
			data = c.skipBytes(data[used:], m.SkipBytes)
		case used == 0:
			return data
		default:
			data = data[used:]
			if c.handleCommand(m, len(data) == 0); m.LongSize > 0 && c.upload == nil { // rejected, so its value is skipped
				data = c.skipBytes(data, m.LongSize+len("\r\n"))
			}
		}
	}
	return data
}

// skipBytes skips this many bytes of the input, including those that have yet to arrive, and returns the rest.
func (c *client) skipBytes(data []byte, bytes int) []byte {
	n := min(bytes, len(data))
	c.skip = bytes - n
	return data[n:]
}

// handleCommand handles one whole command, or the line of one with a long value. last reports that it ends the data being read.
func (c *client) handleCommand(m meta.Command, last bool) {
	n := c.node
	c.sentCommand = true
	c.removeFromList() // it is complete, so evictIncomplete must not take it below
	if m.Kind == meta.Noop {
		switch {
		case n.draining:
			c.queueAnswer("SERVER_ERROR draining\r\n")
		case n.ready:
			c.queueAnswer("MN\r\n")
		default:
			c.queueAnswer("SERVER_ERROR starting\r\n")
		}
		return
	}
	class, timeout, err := n.classAndTimeout(m.Info)
	if err == nil {
		err = n.checkUniqueID(m.ID)
	}
	if err != nil {
		c.reject(err)
		return
	}
	if m.LongSize == 0 {
		n.registerID(m.ID)
	}
	// A connection with a request takes precedence over one that may send a request.
	if c.setInReserve(c.inReserve && n.clients.full() && !n.clients.evictIncomplete(0)); c.inReserve {
		n.count.refusedFull++
		c.refuse(class)
		c.closeWhenIdle = true // to free its descriptor
		return
	}
	if n.atCapacity(c, len(m.Value)+min(m.LongSize, maxBufferedBody)) {
		n.count.refusedFull++
		c.refuse(class)
		return
	}
	now := n.loop.Now()
	// Guards against forwarding time that has passed while the request was unread, in a process that was stopped or busy: servers
	// would work for a client that has stopped waiting.
	if m.LongSize == 0 {
		timeout -= now - c.arrivalOf(last)
		if safety.CheckStart(safety.Request{Remaining: timeout}) != safety.Allowed {
			n.count.tooLate++
			c.refuse(class)
			// Guards against a full house whose places go to requests that have waited too long: all that waited behind them were
			// too late as well, and none was served for as long as the clients came.
			c.closeWhenIdle = c.closeWhenIdle || n.clients.overCapacity()
			return
		}
	}
	k := &request{id: string(m.ID), class: class, client: c, command: copyCommand(m)}
	if m.LongSize > 0 {
		c.beginUpload(k, m.LongSize, timeout)
		return
	}
	if !n.keepID(k) {
		n.count.refusedFull++
		c.refuse(class)
		return
	}
	c.requests = append(c.requests, k)
	k.deadline = now + n.capTimeout(timeout, now)
	n.writeBytes += len(m.Value)
	n.submit(k, now)
}

// reject answers a malformed command with an error, and closes a connection that keeps sending those.
func (c *client) reject(err error) {
	c.node.count.badLines++
	c.queueAnswer("CLIENT_ERROR " + err.Error() + "\r\n")
	if c.badCommands++; c.badCommands >= maxBadCommands {
		c.node.count.clientsBad++
		c.noMoreInput = true
	}
}

// refuse answers a request that the policy has not seen with a refusal.
func (c *client) refuse(class *class) {
	c.node.countEnding(class, refused)
	c.queueAnswer(string(meta.AppendBusy(nil, 0)))
}

// classAndTimeout returns a request's class and how long its client waits, limited to the longest deadline of the class.
func (n *Node) classAndTimeout(info []byte) (*class, time.Duration, error) {
	class := n.classes[meta.FieldValue(info, "c")]
	if class == nil {
		// Guards against forwarding what servers reject: each such answer counted against a healthy server, and three of them had
		// it skipped, until all nine caches of a fleet were skipped at once.
		return nil, 0, errors.New("no such class")
	}
	text := meta.FieldValue(info, "d") // an empty value is an error too: servers reject it
	if whole, _, ok := strings.Cut(text, "."); ok {
		text = whole
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return nil, 0, errors.New("bad deadline")
	}
	return class, min(time.Duration(ms)*time.Millisecond, class.maxDeadline), nil
}

// copyCommand copies a command out of the input buffer.
func copyCommand(m meta.Command) meta.Command {
	text := make([]byte, 0, len(m.Line)+len(m.Value))
	text = append(append(text, m.Line...), m.Value...)
	at := func(part []byte) []byte {
		if len(part) == 0 {
			return nil
		}
		from := cap(m.Line) - cap(part) // slices of one line share the end of its buffer
		return text[from : from+len(part)]
	}
	k := meta.Command{Kind: m.Kind, Line: text[:len(m.Line)], InfoOffset: m.InfoOffset, LongSize: m.LongSize}
	k.Key, k.ID, k.Info = at(m.Key), at(m.ID), at(m.Info)
	if m.Kind == meta.Set && m.LongSize == 0 {
		k.Value = text[len(m.Line):]
	}
	return k
}

// queueAnswer queues an answer to something other than a request, behind the answers before it.
func (c *client) queueAnswer(text string) {
	c.requests = append(c.requests, &request{client: c, answered: true, answer: []byte(text)})
	c.queuedBytes += len(text)
}

// hasWholeCommand reports whether the buffered input begins with a whole or malformed command.
func (c *client) hasWholeCommand() bool {
	_, used, err := meta.ParseCommand(c.input, meta.MaxValue, meta.MaxLongValue)
	return used > 0 || err != nil
}

// parseBuffered parses the buffered input, as far as it may go in one turn of the loop.
func (c *client) parseBuffered() {
	c.parseScheduled = false
	if c.closed {
		return
	}
	c.bufferRest(c.parse(c.input))
	c.flush()
}
