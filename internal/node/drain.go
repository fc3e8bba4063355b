package node

// Draining: how clients are sent away, at a graceful shutdown or when an operator drains the node.

// drain sends the clients away. The node serves on as before for lameDuckPeriod; then a connection closes with its next answer,
// so that its client learns of it before it sends again, and one without a request closes once it has been quiet. At a shutdown
// the listener closes too. If a successor process already accepts clients, there is no such period.
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

// startClosing starts to close connections.
func (s *clients) startClosing() {
	s.closing = true
	s.closeQuiet()
}

// closeQuiet closes the connections that have been quiet, and runs again while there may be others. At a shutdown the loop stops
// after the last connection, since each unanswered request belongs to one; the delay lets connections close gracefully.
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
		if c.busy() {
			// Guards against closing the connection of a slow reader before the kernel has taken the end of its answer: one long
			// value in 250 lost its last bytes.
			continue
		}
		// Guards against a draining node that still keeps connections after the drain deadline.
		if c.quiet() || due && c.mayClose() {
			c.closeGracefully(closedByDrain)
		}
	}
	if n.shuttingDown && len(s.all) == 0 && (s.listener.Closed() && !s.lingeringReads() || n.loop.Now() >= n.answerDeadline) {
		n.loop.After(lingerTimeout/4, n.loop.Stop)
		return
	}
	s.enforceLimits()
	s.drainTimer = n.loop.After(capacityCheckInterval, s.closeQuiet)
}

// lingeringReads reports whether a client whose connection has been closed on this side still has bytes to come.
func (s *clients) lingeringReads() bool {
	for e := s.lingering.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client).conn; c.Acknowledged() < c.WriteOffset() {
			return true
		}
	}
	return false
}

// stopDrain ends a drain. Connections that are closing gracefully still close.
func (s *clients) stopDrain() {
	s.drainTimer.Stop()
	s.drainTimer, s.closing = nil, false
	for c := range s.all {
		c.node.loop.Defer(c.flush)
	}
	s.enforceLimits() // resumes a paused listener
}

// quiet reports whether nothing has gone in either direction for quietPeriod, and nothing is unread, so that no request should be
// on its way.
func (c *client) quiet() bool { return c.node.loop.Now()-c.lastActive >= quietPeriod && c.mayClose() }
