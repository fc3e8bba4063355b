package node

import (
	"container/list"
	"time"
)

// Capacity: how many clients may connect, and which connections are closed when there is no room.

// full reports whether there is no room for one more client. Clients may use all descriptors of the room but those that server
// connections use or must be left.
//
// Lingering connections and those in the reserve don't count. Guards against refused clients that stay connected: when they
// counted, the node was full of them for as long as others came, and nobody was served.
func (s *clients) full() bool {
	n := s.node
	return n.openConns()-s.reserved-n.serverConns >= n.maxConns()-max(n.serverConns, n.minServerConns())
}

// reserveFull reports whether not even the reserve has a descriptor for a client. Those that servers must be left and those of a
// discovery call are not available to clients.
func (s *clients) reserveFull() bool {
	n := s.node
	return n.openConns()-n.serverConns >= n.maxConnsWithReserve()-max(n.serverConns, n.minServerConns())-discoverySockets
}

// overCapacity reports whether one more client would find no room or no descriptor at all.
func (s *clients) overCapacity() bool { return s.full() || s.reserveFull() }

// setInReserve sets whether a connection counts against the reserve.
func (c *client) setInReserve(inReserve bool) {
	switch s := &c.node.clients; {
	case inReserve && !c.inReserve:
		s.reserved++
	case !inReserve && c.inReserve:
		s.reserved--
	}
	c.inReserve = inReserve
}

// enforceLimits keeps the number of connections, including those being closed, within the room.
func (s *clients) enforceLimits() {
	if s.closing {
		// Guards against idle clients that take all descriptors of a draining node: nothing was left for servers and discovery
		// (129 connections where 64 descriptors were allowed).
		s.listener.SetPaused(s.reserveFull())
		return
	}
	// Guards against losing requests that wait in the listen queue for a descriptor while other connections are idle. First to go
	// are connections with an incomplete command or none: clients send as soon as they are connected.
	for s.overCapacity() && (s.evictIncomplete(shortCommandTimeout) || s.evictLingering()) {
	}
	if s.full() {
		// A connection used a moment ago is not idle: clients open another one only when all of theirs are busy, so its next
		// request is likely on its way and would be lost by closing.
		if oldest := s.oldestQuiet(); oldest != nil {
			s.node.count.clientsShed++
			oldest.closeGracefully(closedForCapacity)
		} else if s.node.serverConns > s.node.minServerConns() {
			s.node.closeOldestIdle()
		}
	}
	s.listener.SetPaused(s.reserveFull())
	if s.overCapacity() && s.retryTimer == nil {
		s.retryTimer = s.node.loop.After(capacityCheckInterval, func() {
			s.retryTimer = nil
			s.enforceLimits()
		})
	}
}

// oldestQuiet returns the idle connection that has been quiet longest and may be closed, or nil.
func (s *clients) oldestQuiet() *client {
	for e := s.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*client)
		if s.node.loop.Now()-c.lastActive < quietPeriod {
			return nil
		}
		if c.mayClose() && !c.delivering() {
			return c
		}
	}
	return nil
}

// front returns the first client of a list, nil if the list is empty.
func front(l *list.List) *client {
	if e := l.Front(); e != nil {
		return e.Value.(*client)
	}
	return nil
}

// evictIncomplete closes the connection whose command has been incomplete longest, if that is at least minAge and nothing of it
// is unread.
func (s *clients) evictIncomplete(minAge time.Duration) bool {
	c := front(s.incomplete)
	if c == nil || s.node.loop.Now()-c.incompleteSince < minAge || c.conn.Stale() {
		return false
	}
	s.node.count.clientsShed++
	c.closeNow(closedForCapacity)
	return true
}

// evictLingering closes the connection that has lingered longest, if that is over shortLingerTimeout and the client has
// acknowledged all that it was sent.
func (s *clients) evictLingering() bool {
	for e := s.lingering.Front(); e != nil; e = e.Next() {
		c := e.Value.(*client)
		if s.node.loop.Now()-c.lastActive < shortLingerTimeout {
			return false
		}
		if c.conn.Acknowledged() >= c.conn.WriteOffset() {
			c.conn.Close()
			return true
		}
	}
	return false
}

// closeTimedOut closes connections whose command has been incomplete, or that have been idle, for too long, so that neither
// silent clients nor those that send one request and stay take the descriptors of others.
func (s *clients) closeTimedOut() {
	now := s.node.loop.Now()
	for c := front(s.incomplete); c != nil && now-c.incompleteSince >= commandTimeout; c = front(s.incomplete) {
		if c.conn.Stale() && now-c.incompleteSince < commandTimeout+2*timeoutCheckInterval {
			break // the rest of the command may have arrived: it is read next
		}
		s.node.count.clientsBad++
		c.closeNow(closedIncomplete)
	}
	timeout := s.idleTimeout()
	for c := front(s.idle); c != nil && now-c.lastActive >= timeout; c = front(s.idle) {
		if !c.mayClose() {
			break // its next request or its end has arrived: it is read next
		}
		if c.delivering() {
			c.lastActive = now
			s.idle.MoveToBack(c.listElem)
			continue
		}
		s.node.count.clientsIdle++
		c.closeGracefully(closedIdle)
	}
	s.node.loop.After(timeoutCheckInterval, s.closeTimedOut)
}

// idleTimeout returns how long an idle connection is kept. It shrinks linearly as clients approach their limit. Guards against
// clients that send one request and stay: if idle connections take the clients' whole part, no request gets in although the node
// has room (with 128 idle connections, each closed after 2 s, three requests in four did not get in).
func (s *clients) idleTimeout() time.Duration {
	n := s.node
	// With few descriptors, what servers, the reserve and the control address take leaves clients less than their fraction: a
	// second process with places for two to five clients kept each idle one for 2 s, and requests waited unread for over 10 s.
	places := min(n.maxConns(), n.maxConnsWithReserve()-discoverySockets) - max(n.serverConns, n.minServerConns()) - overheadSockets
	limit := max(1, min(n.maxSockets()/clientSocketsDivisor, places))
	used := float64(len(s.all)-s.incomplete.Len()) / float64(limit)
	switch {
	case used > 0.5:
		return max(minIdleTimeout, time.Duration(float64(shortIdleTimeout)*(0.875-used)/0.375))
	case 2*n.openConns() > n.maxConns():
		return shortIdleTimeout
	}
	return maxIdleTimeout
}
