package node

import (
	"container/list"
	"time"

	"lapisshelf/internal/meta"
)

// Capacity: how many clients there may be and how much may be held for them, and who goes where there is no room.

// full reports whether there is no room for one more client: they may have all that servers don't hold or must have.
// Guards against clients who are refused and stay, each for as long as its connection lingers: with those counted the house
// was full of them for as long as others came, and nobody was served.
func (s *clients) full() bool {
	n := s.node
	return n.openConns()-s.reserved-n.links >= n.maxConns()-max(n.links, n.minServerConns())
}

// brimful reports whether not even the reserve has a descriptor left for a client: what servers must have and a call for
// the list are none of theirs.
func (s *clients) brimful() bool {
	n := s.node
	return n.openConns()-n.links >= n.maxConnsWithReserve()-max(n.links, n.minServerConns())-listSockets
}

// crowded reports whether one more client would find no room, or no descriptor at all.
func (s *clients) crowded() bool { return s.full() || s.brimful() }

// seat has a connection stand in the reserve, or no more.
func (c *client) seat(reserve bool) {
	switch s := &c.node.clients; {
	case reserve && !c.excess:
		s.reserved++
	case !reserve && c.excess:
		s.reserved--
	}
	c.excess = reserve
}

// thin keeps the number of connections, those included that are closing, within the room.
func (s *clients) thin() {
	if s.closing {
		// Guards against idle clients that take all descriptors of a node that sends its clients away: servers and the list had
		// none left (129 held where 64 were allowed).
		s.listener.SetPaused(s.brimful())
		return
	}
	// Guards against requests that wait unread for a descriptor, and are lost by it, while others are idle. First go
	// those who connect and say nothing, or half of something: clients send as soon as they are connected.
	for s.crowded() && (s.evict(owesShort) || s.part()) {
	}
	if s.full() {
		// One used a moment ago is not idle: clients open another when all they have are busy, so its next request is
		// likely on its way, and closing would lose it (787 of 19119 on an overload day with 80 descriptors).
		if oldest := front(s.idle); oldest != nil && oldest.rested() {
			s.node.count.clientsShed++
			oldest.finish(closedForRoom)
		} else if s.node.links > s.node.minServerConns() {
			s.node.closeOldestIdle()
		}
	}
	s.listener.SetPaused(s.brimful())
	if s.crowded() && s.retry == nil {
		s.retry = s.node.loop.After(lookEvery, func() {
			s.retry = nil
			s.thin()
		})
	}
}

// front is the first of a list, nil where it is empty.
func front(l *list.List) *client {
	if e := l.Front(); e != nil {
		return e.Value.(*client)
	}
	return nil
}

// evict closes the connection that has owed the rest of a command longest, if that is as long as told and nothing of
// it has come unread.
func (s *clients) evict(owed time.Duration) bool {
	c := front(s.owing)
	if c == nil || s.node.loop.Now()-c.since < owed || c.conn.Stale() {
		return false
	}
	s.node.count.clientsShed++
	c.cut(closedForRoom)
	return true
}

// part gives up the connection that has waited longest for its client to finish, if that is over partShort and the client
// has acknowledged all that it was sent.
func (s *clients) part() bool {
	c := front(s.parted)
	if c == nil || s.node.loop.Now()-c.used < partShort || c.conn.Acknowledged() < c.conn.WriteOffset() {
		return false
	}
	c.conn.Close()
	return true
}

// tidy closes connections that have owed the rest of a command or been idle for too long, so that neither those who say
// nothing nor those who ask once and stay take the descriptors of others.
func (s *clients) tidy() {
	now := s.node.loop.Now()
	for c := front(s.owing); c != nil && now-c.since >= owesFor; c = front(s.owing) {
		if c.conn.Stale() && now-c.since < owesFor+2*tidyEvery {
			break // the rest may have come: it is read next
		}
		s.node.count.clientsBad++
		c.cut(closedOwing)
	}
	most := s.idleMost()
	for c := front(s.idle); c != nil && now-c.used >= most; c = front(s.idle) {
		if !c.mayClose() {
			break // its next request has come, or its end: either is read next
		}
		s.node.count.clientsIdle++
		c.finish(closedIdle)
	}
	s.node.loop.After(tidyEvery, s.tidy)
}

// idleMost is how long a connection with nothing open is kept. It shrinks evenly as clients near what they may hold.
// Guards against clients who ask once and stay: with all that they may hold idle, no request comes any more, though the
// node has room (launceston-platform rfa7819: three in four, at 128 idle connections closed after 2 s each).
func (s *clients) idleMost() time.Duration {
	n := s.node
	// With few descriptors servers, the reserve and the operators' address leave clients less than their part: a second
	// process with places for two to five kept each idle for 2 s, and requests waited unread for over 10 s.
	places := min(n.maxConns(), n.maxConnsWithReserve()-listSockets) - max(n.links, n.minServerConns()) - listenSockets
	most := max(1, min(n.maxSockets()/heldByClients, places))
	used := float64(len(s.all)-s.owing.Len()) / float64(most)
	switch {
	case used > 0.5:
		return max(idleLeast, time.Duration(float64(idleShort)*(0.875-used)/0.375))
	case 2*n.openConns() > n.maxConns():
		return idleShort
	}
	return idleFor
}

// full reports whether the node holds as much as it may.
func (n *Node) full(value int) bool {
	most := n.cfg.Transport.MostHeld
	return most > 0 && len(n.calls) >= most || n.held+n.owed+value > n.most()
}

// most is how many bytes of values the node may hold, and of answers as many again.
func (n *Node) most() int { return n.memoryMB() << 20 / heldPart }

// valueMost is how many bytes an answer may hold that is kept whole, one of a length that is not told ahead: many must have
// room at once. Values over the usual size do come (launceston-platform, rate+silent+leave: up to 360 KB, each taken for a
// spoilt answer, and the servers skipped for it).
func (n *Node) valueMost() int { return max(meta.MaxValue, n.cfg.MemoryMB<<20/valuePart) }

// account keeps the node's count of what is held for clients, answers that they have yet to take and commands that
// they have yet to end, and, past its bound, gives up the one for which most is held.
func (c *client) account() {
	n := c.node
	owed := c.waiting + c.conn.Pending() + cap(c.input)
	if c.up != nil {
		owed += c.up.holds()
	}
	if c.gone {
		owed = 0
	}
	n.owed += owed - c.owed
	c.owed = owed
	if n.owed <= n.most() || n.shedding {
		return
	}
	n.shedding = true
	n.loop.Defer(func() {
		n.shedding = false
		worst := c
		for x := range n.clients.all {
			if x.owed > worst.owed {
				worst = x
			}
		}
		if n.owed > n.most() && !worst.gone {
			worst.giveUp()
		}
	})
}
