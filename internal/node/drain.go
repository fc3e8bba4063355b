package node

import ()

// Draining: how clients are sent away at a planned end, or when an operator says so.

// drain sends the clients away, at a planned end or when an operator says so: for a while all goes on, then a connection
// closes with its next answer, so that its client learns of it before it sends again, and those that get no request
// close once they have rested. At an end the listener closes too.
// With a successor that takes clients already there is nothing to wait for.
func (s *clients) drain(succeeded bool) {
	switch {
	case succeeded:
		s.listener.Close()
		s.drained.Stop()
		s.node.loop.Defer(s.empty)
	case s.drained == nil:
		s.drained = s.node.loop.After(lameFor, s.empty)
	}
}

// empty begins to close connections.
func (s *clients) empty() {
	s.closing = true
	s.retire()
}

// retire closes connections that have rested, and comes back while there may be others. At an end, each unanswered
// request belongs to one of them, so after the last the loop stops; closing between requests takes a moment.
func (s *clients) retire() {
	n := s.node
	if n.leaving {
		s.listener.Close()
	}
	due := n.lame && n.loop.Now() >= n.lameUntil
	for c := range s.all {
		if n.leaving {
			c.deepen()
		}
		if len(c.calls) > 0 || c.conn.Pending() > 0 {
			// Guards against ending the connection of a slow reader before the system has taken the end of its answer
			// (launceston-platform, bulk+drain 3: one long value in 250 cut off in its last bytes).
			continue
		}
		// Guards against a connection that a drained node still holds after the time it has for that.
		if c.rested() || due && c.mayClose() {
			c.finish(closedAtEnd)
		}
	}
	if n.leaving && len(s.all) == 0 && (s.listener.Closed() || n.loop.Now() >= n.lastAnswer) {
		n.loop.After(lingerFor/4, n.loop.Stop)
		return
	}
	s.thin()
	s.drained = n.loop.After(lookEvery, s.retire)
}

// resume takes a drain back: connections that have begun to close between requests do close.
func (s *clients) resume() {
	s.drained.Stop()
	s.drained, s.closing = nil, false
	for c := range s.all {
		c.node.loop.Defer(c.flush)
	}
	s.thin() // the listener may rest
}

// rested reports whether nothing has gone either way for so long that nothing should be on its way, nor has come.
func (c *client) rested() bool { return c.node.loop.Now()-c.used >= restFor && c.mayClose() }
