package node

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/internal/meta"
)

// Commands: from the bytes of a client to requests.

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
	c.flush()
}

// updateArrival settles since when what is being read may have been there: as long as its connection waited for being accepted, if
// it is read soon after; else since the loop can't say that nothing was there. Where that is long, because the process stood
// still, the system may know better.
func (c *client) updateArrival() {
	if arrived := c.node.loop.EarliestArrival(); c.sentCommand || arrived > c.openedAt+acceptReadWindow {
		c.arrivedAt = arrived
	}
	if c.lastActive-c.arrivedAt <= acceptReadWindow {
		return
	}
	if ago, known := c.conn.SinceLastData(); known {
		c.arrivedAt = max(c.arrivedAt, c.lastActive-ago)
	}
}

// bufferRest keeps what has not been taken yet.
func (c *client) bufferRest(rest []byte) {
	switch {
	case c.closed || c.noMoreInput || len(rest) == 0:
		c.input = nil
	case len(rest) != len(c.input): // else it is all of the input
		c.input = append([]byte(nil), rest...)
	}
}

// parse takes commands off data as long as there is room for them and returns what is left.
func (c *client) parse(data []byte) []byte {
	c.parsing = true
	defer func() { c.parsing = false }()
	for len(data) > 0 && !c.closed && !c.noMoreInput && (c.upload != nil || len(c.requests) < maxPipelined && c.conn.Pending() < maxUnsentBytes) {
		if u := c.upload; u != nil {
			used, ok := u.consume(data)
			data = data[used:]
			if !ok {
				u.rejectMalformed()
				return nil
			}
			if u.remaining == 0 && u.trailer == "" {
				c.upload = nil
				u.received()
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
			if c.handleCommand(m); m.LongSize > 0 && c.upload == nil { // turned away, as is its value
				data = c.skipBytes(data, m.LongSize+len("\r\n"))
			}
		}
	}
	return data
}

// skipBytes passes over so many bytes, those too that have yet to come.
func (c *client) skipBytes(data []byte, bytes int) []byte {
	n := min(bytes, len(data))
	c.skip = bytes - n
	return data[n:]
}

// handleCommand handles one whole command.
func (c *client) handleCommand(m meta.Command) {
	n := c.node
	c.sentCommand = true
	c.removeFromList() // it owes nothing, whatever room is made below
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
	kind, wait, err := n.classAndTimeout(m.Info)
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
	// Whoever asks goes before those who may be about to.
	if c.setInReserve(c.inReserve && n.clients.full() && !n.clients.evictIncomplete(0)); c.inReserve {
		n.count.full++
		c.refuse(kind)
		c.closeWhenIdle = true // its descriptor is wanted
		return
	}
	if n.atCapacity(len(m.Value) + min(m.LongSize, maxBufferedBody)) {
		n.count.full++
		c.refuse(kind)
		return
	}
	now := n.loop.Now()
	// Guards against telling servers of time that has passed while the request stood unread, in a process that was stopped or
	// busy: they would work for a client that has stopped waiting.
	if m.LongSize == 0 {
		wait -= now - c.arrivedAt
		if safety.CheckStart(safety.Request{Remaining: wait}) != safety.Allowed {
			n.count.tooLate++
			c.refuse(kind)
			return
		}
	}
	k := &request{id: string(m.ID), class: kind, client: c, command: copyCommand(m)}
	if m.LongSize > 0 {
		c.beginUpload(k, m.LongSize, wait)
		return
	}
	c.requests = append(c.requests, k)
	k.deadline = now + n.capTimeout(wait, now)
	n.writeBytes += len(m.Value)
	n.submit(k, now)
}

// checkUniqueID says what is wrong with an id that another request has.
func (n *Node) checkUniqueID(id []byte) error {
	// Guards against one who sends the id of another's request: an open one would be taken for that request, and a
	// refusal would be taken for that request's. Each request has an id of its own, also a retry.
	if n.requests[string(id)] != nil || n.clients.recentIDs.has(id) {
		n.count.sameID++
		return errors.New("request id in use")
	}
	return nil
}

// registerID notes that a request has come.
func (n *Node) registerID(id []byte) {
	n.clients.recentIDs.add(id, n.loop.Now())
	n.count.taken++
}

// reject answers what is no request, and ends a connection on which there is nothing else.
func (c *client) reject(err error) {
	c.node.count.badLines++
	c.queueAnswer("CLIENT_ERROR " + err.Error() + "\r\n")
	if c.badCommands++; c.badCommands >= maxBadCommands {
		c.node.count.clientsBad++
		c.noMoreInput = true
	}
}

// refuse turns a request away that the module has not seen.
func (c *client) refuse(kind *class) {
	c.node.end(kind, refused)
	c.queueAnswer(string(meta.AppendBusy(nil, 0)))
}

// classAndTimeout is the request's class and how long the client waits, as the request tells; no longer than its class allows.
func (n *Node) classAndTimeout(info []byte) (*class, time.Duration, error) {
	kind := n.classes[meta.FieldValue(info, "c")]
	if kind == nil {
		// Guards against what servers turn away: each such answer told against a healthy server, and three skipped it
		// (launceston-platform, rude+garble 3: all nine caches skipped at once).
		return nil, 0, errors.New("no such class")
	}
	text := meta.FieldValue(info, "d") // an empty one is no number either: servers turn it away
	if whole, _, ok := strings.Cut(text, "."); ok {
		text = whole
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return nil, 0, errors.New("bad deadline")
	}
	return kind, min(time.Duration(ms)*time.Millisecond, kind.longest), nil
}

// copyCommand copies a command out of the buffer it was parsed from.
func copyCommand(m meta.Command) meta.Command {
	text := make([]byte, 0, len(m.Line)+len(m.Value))
	text = append(append(text, m.Line...), m.Value...)
	at := func(part []byte) []byte {
		if len(part) == 0 {
			return nil
		}
		from := cap(m.Line) - cap(part) // parts of one line end where its buffer ends
		return text[from : from+len(part)]
	}
	k := meta.Command{Kind: m.Kind, Line: text[:len(m.Line)], InfoOffset: m.InfoOffset, LongSize: m.LongSize}
	k.Key, k.ID, k.Info = at(m.Key), at(m.ID), at(m.Info)
	if m.Kind == meta.Set && m.LongSize == 0 {
		k.Value = text[len(m.Line):]
	}
	return k
}

// queueAnswer answers, in its turn, what is no request.
func (c *client) queueAnswer(text string) {
	c.requests = append(c.requests, &request{client: c, answered: true, answer: []byte(text)})
	c.queuedBytes += len(text)
}

// hasWholeCommand reports whether the input begins with a whole command, which had to wait.
func (c *client) hasWholeCommand() bool {
	_, used, err := meta.ParseCommand(c.input, meta.MaxValue, meta.MaxLongValue)
	return used > 0 || err != nil
}

// parseBuffered takes what had to wait.
func (c *client) parseBuffered() {
	c.parseScheduled = false
	if c.closed {
		return
	}
	c.bufferRest(c.parse(c.input))
	c.flush()
}
