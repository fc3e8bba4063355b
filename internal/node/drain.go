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
		s.drainTimer.Stop()
		s.node.loop.Defer(s.startClosing)
	case s.drainTimer == nil:
		s.drainTimer = s.node.loop.After(lameDuckPeriod, s.startClosing)
	}
}

// startClosing begins to close connections.
func (s *clients) startClosing() {
	s.closing = true
	s.closeQuiet()
}

// closeQuiet closes connections that have rested, and comes back while there may be others. At an end, each unanswered
// request belongs to one of them, so after the last the loop stops; closing between requests takes a moment.
func (s *clients) closeQuiet() {
	n := s.node
	if n.shuttingDown {
		s.listener.Close()
	}
	due := n.draining && n.loop.Now() >= n.drainDeadline
	for c := range s.all {
		if n.shuttingDown {
			c.growSendBuffer()
		}
		if len(c.requests) > 0 || c.conn.Pending() > 0 {
			// Guards against ending the connection of a slow reader before the system has taken the end of its answer
			// (launceston-platform, bulk+drain 3: one long value in 250 cut off in its last bytes).
			continue
		}
		// Guards against a connection that a drained node still holds after the time it has for that.
		if c.quiet() || due && c.mayClose() {
			c.closeGracefully(closedByDrain)
		}
	}
	if n.shuttingDown && len(s.all) == 0 && (s.listener.Closed() || n.loop.Now() >= n.answerDeadline) {
		n.loop.After(lingerTimeout/4, n.loop.Stop)
		return
	}
	s.enforceLimits()
	s.drainTimer = n.loop.After(capacityCheckInterval, s.closeQuiet)
}

// stopDrain takes a drain back: connections that have begun to close between requests do close.
func (s *clients) stopDrain() {
	s.drainTimer.Stop()
	s.drainTimer, s.closing = nil, false
	for c := range s.all {
		c.node.loop.Defer(c.flush)
	}
	s.enforceLimits() // the listener may rest
}

// quiet reports whether nothing has gone either way for so long that nothing should be on its way, nor has come.
func (c *client) quiet() bool { return c.node.loop.Now()-c.lastActive >= quietPeriod && c.mayClose() }
