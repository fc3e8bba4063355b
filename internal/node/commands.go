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
	if c.last {
		return
	}
	c.used = c.node.loop.Now()
	c.settleArrival()
	if c.skip > 0 {
		n := min(c.skip, len(data))
		c.skip -= n
		data = data[n:]
	}
	if len(c.input) > 0 {
		c.input = append(c.input, data...)
		data = c.input
	}
	c.keepRest(c.parse(data))
	c.flush()
}

// settleArrival settles since when what is being read may have been there: as long as its connection waited for being accepted, if
// it is read soon after; else since the loop can't say that nothing was there. Where that is long, because the process stood
// still, the system may know better.
func (c *client) settleArrival() {
	if came := c.node.loop.EarliestArrival(); c.asked || came > c.opened+withOpening {
		c.arrived = came
	}
	if c.used-c.arrived <= withOpening {
		return
	}
	if ago, known := c.conn.SinceLastData(); known {
		c.arrived = max(c.arrived, c.used-ago)
	}
}

// keepRest keeps what has not been taken yet.
func (c *client) keepRest(rest []byte) {
	switch {
	case c.gone || c.last || len(rest) == 0:
		c.input = nil
	case len(rest) != len(c.input): // else it is all of the input
		c.input = append([]byte(nil), rest...)
	}
}

// parse takes commands off data as long as there is room for them and returns what is left.
func (c *client) parse(data []byte) []byte {
	c.parsing = true
	defer func() { c.parsing = false }()
	for len(data) > 0 && !c.gone && !c.last && (c.up != nil || len(c.calls) < mostPipelined && c.conn.Pending() < mostUnsent) {
		if u := c.up; u != nil {
			used, ok := u.take(data)
			data = data[used:]
			if !ok {
				u.spoilt()
				return nil
			}
			if u.left == 0 && u.end == "" {
				c.up = nil
				u.came()
			}
			continue
		}
		m, used, err := meta.ParseCommand(data, meta.MaxValue, meta.MaxLongValue)
		switch {
		case err != nil:
			c.reject(err)
			if used == 0 || c.last {
				c.last = true
				return nil
			}
			data = c.pass(data[used:], m.SkipBytes)
		case used == 0:
			return data
		default:
			data = data[used:]
			if c.command(m); m.LongSize > 0 && c.up == nil { // turned away, as is its value
				data = c.pass(data, m.LongSize+len("\r\n"))
			}
		}
	}
	return data
}

// pass passes over so many bytes, those too that have yet to come.
func (c *client) pass(data []byte, bytes int) []byte {
	n := min(bytes, len(data))
	c.skip = bytes - n
	return data[n:]
}

// command handles one whole command.
func (c *client) command(m meta.Command) {
	n := c.node
	c.asked = true
	c.unrest() // it owes nothing, whatever room is made below
	if m.Kind == meta.Noop {
		switch {
		case n.lame:
			c.say("SERVER_ERROR draining\r\n")
		case n.ready:
			c.say("MN\r\n")
		default:
			c.say("SERVER_ERROR starting\r\n")
		}
		return
	}
	kind, wait, err := n.patience(m.Info)
	if err == nil {
		err = n.used(m.ID)
	}
	if err != nil {
		c.reject(err)
		return
	}
	if m.LongSize == 0 {
		n.register(m.ID)
	}
	// Whoever asks goes before those who may be about to.
	if c.seat(c.excess && n.clients.full() && !n.clients.evict(0)); c.excess {
		n.count.refusedFull++
		c.refuse(kind)
		c.parting = true // its descriptor is wanted
		return
	}
	if n.full(len(m.Value) + min(m.LongSize, bodyKept)) {
		n.count.refusedFull++
		c.refuse(kind)
		return
	}
	now := n.loop.Now()
	// Guards against telling servers of time that has passed while the request stood unread, in a process that was stopped or
	// busy: they would work for a client that has stopped waiting.
	if m.LongSize == 0 {
		wait -= now - c.arrived
		if safety.CheckStart(safety.Request{Remaining: wait}) != safety.Allowed {
			n.count.tooLate++
			c.refuse(kind)
			return
		}
	}
	k := &call{id: string(m.ID), class: kind, client: c, command: keep(m)}
	if m.LongSize > 0 {
		c.upload(k, m.LongSize, wait)
		return
	}
	c.calls = append(c.calls, k)
	k.deadline = now + n.within(wait, now)
	n.held += len(m.Value)
	n.take(k, now)
}

// used says what is wrong with an id that another request has.
func (n *Node) used(id []byte) error {
	// Guards against one who sends the id of another's request: an open one would be taken for that request, and a
	// refusal would be taken for that request's. Each request has an id of its own, also a retry.
	if n.calls[string(id)] != nil || n.clients.seen.has(id) {
		n.count.duplicateIDs++
		return errors.New("request id in use")
	}
	return nil
}

// register notes that a request has come.
func (n *Node) register(id []byte) {
	n.clients.seen.add(id, n.loop.Now())
	n.count.taken++
}

// reject answers what is no request, and ends a connection on which there is nothing else.
func (c *client) reject(err error) {
	c.node.count.badLines++
	c.say("CLIENT_ERROR " + err.Error() + "\r\n")
	if c.bad++; c.bad >= mostBad {
		c.node.count.clientsBad++
		c.last = true
	}
}

// refuse turns a request away that the module has not seen.
func (c *client) refuse(kind *class) {
	c.node.countEnding(kind, refused)
	c.say(string(meta.AppendBusy(nil, 0)))
}

// patience is the request's class and how long the client waits, as the request tells; no longer than its class allows.
func (n *Node) patience(info []byte) (*class, time.Duration, error) {
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
	return kind, min(time.Duration(ms)*time.Millisecond, kind.maxDeadline), nil
}

// keep copies a command out of the buffer it was parsed from.
func keep(m meta.Command) meta.Command {
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

// say answers, in its turn, what is no request.
func (c *client) say(text string) {
	c.calls = append(c.calls, &call{client: c, answered: true, answer: []byte(text)})
	c.waiting += len(text)
}

// waits reports whether the input begins with a whole command, which had to wait.
func (c *client) waits() bool {
	_, used, err := meta.ParseCommand(c.input, meta.MaxValue, meta.MaxLongValue)
	return used > 0 || err != nil
}

// more takes what had to wait.
func (c *client) more() {
	c.again = false
	if c.gone {
		return
	}
	c.keepRest(c.parse(c.input))
	c.flush()
}
