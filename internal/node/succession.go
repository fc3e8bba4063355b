package node

import (
	"log"
	"slices"
	"time"

	decide "lapisshelf/decide/handover"
	"lapisshelf/internal/handover"
	"lapisshelf/internal/loop"
	"lapisshelf/policy"
)

// In an upgrade a successor process of this node starts beside this one and replaces it. decide/handover decides how they share
// resources and internal/handover exchanges their states through files; this file applies both to the node.

const (
	publishInterval    = 50 * time.Millisecond  // of the state and of looking for changes while other processes run
	minRetryDelay      = 50 * time.Millisecond  // before a state that could not be written is written again
	maxRetryDelay      = time.Second            // the delay doubles up to this
	maxDrainNewsAge    = 250 * time.Millisecond // assumed age of another process's drain call when this one learns of it
	predecessorTimeout = time.Second            // how long a process that is ready waits for its predecessors to make room
	departedTTL        = 10 * time.Second       // how long servers that left the list are reported to other processes
	maxDeparted        = 4096                   // maximum number of these, more than the servers of the largest fleet
	bindRetryInterval  = 20 * time.Millisecond  // while the listen address is in use
)

// succession is the state of this process among the processes of its node.
type succession struct {
	node         *Node
	member       *handover.Member // nil: no other process can run beside this one
	fdLimit      int              // file descriptors that it may use while others run
	roomMade     bool             // its predecessors have made room for it
	readyAt      time.Duration    // when it first could have accepted clients
	publishTimer *loop.Timer
	departed     map[string]time.Duration // servers that are draining or gone by the list, and since when that is known
	joinErr      error                    // why the state directory is not used
	retryDelay   time.Duration            // before the next attempt to write the state; 0 if the last write succeeded
	retryTimer   *loop.Timer              // of that attempt
	publishedAt  time.Duration            // when the state was last published
	memoryMB     int                      // last limit reported to the OnMemoryLimit callback
	addressInUse bool                     // listening has failed and that has been logged
}

// join looks for other processes of the node in the state directory.
func (s *succession) join(n *Node) {
	s.node, s.departed = n, map[string]time.Duration{}
	if n.cfg.StateDir == "" {
		return
	}
	var err error
	s.member, err = handover.Join(n.loop, handover.Options{Dir: n.cfg.StateDir, Name: n.cfg.Name, Listen: n.cfg.Listen.String(),
		IDs: n.idOptions(), Note: n.logRegistryEvent, OnChange: s.onPeersChanged})
	if err != nil { // the node serves nevertheless, but a successor will find the listen address in use
		s.joinErr = err
		log.Printf("event=handover_off why=%q", err)
		return
	}
	for _, p := range s.member.Peers() {
		log.Printf("event=handover_from pid=%d", p.PID)
	}
}

// start takes over the operators' overrides and publishes the state of this process.
func (s *succession) start() {
	if s.member != nil {
		s.adoptPeerState()
		s.update()
		s.member.Start()
	}
}

// peers returns the states of the other running processes.
func (s *succession) peers() []handover.State {
	if s.member == nil {
		return nil
	}
	return s.member.Peers()
}

// processes returns what decide/handover needs of the given states.
func processes(states []handover.State) (list []decide.Process) {
	for _, s := range states {
		list = append(list, s.Process)
	}
	return list
}

// onPeersChanged handles changed states of the other processes.
func (s *succession) onPeersChanged() {
	s.adoptPeerState()
	s.update()
	s.node.acceptClients()
}

// adoptPeerState takes over the operators' overrides that other processes hold or held before they ended, and drains and newer lists
// of running ones.
func (s *succession) adoptPeerState() {
	n, now, overridden := s.node, s.node.loop.Now(), false
	for _, p := range slices.Concat(s.member.Ended(), s.member.Peers()) {
		for _, h := range p.Overrides {
			n.everListed.add(h.ID)
			n.guard("hand", func() { n.policy.Override(now, h) })
			overridden = true
		}
		for _, id := range p.List.Listed {
			n.everListed.add(id)
		}
		n.everListed.adopt(p.List.Departed, p.List.DepartedMore)
	}
	if overridden {
		n.applyOverrides()
	}
	for _, p := range s.member.Peers() { // draining applies to the whole node, but ends with the process that got the call
		if p.LameDuck.Version > n.drainVersion {
			n.setDraining(p.LameDuck.On, p.LameDuck.Version, maxDrainNewsAge)
		}
	}
	s.adoptPeerLists()
}

// adoptPeerLists drains servers that are leaving by the list of another process if that list is newer than this process's own.
func (s *succession) adoptPeerLists() {
	n := s.node
	if n.registry == nil {
		return
	}
	own := s.listSource()
	own.Revision, _, _ = n.registry.ListStatus()
	for _, p := range s.peers() {
		if !newer(p.List, own) {
			continue
		}
		for _, id := range p.List.Leaving {
			if pool := n.pools[id]; pool != nil && pool.ready {
				n.guard("drains", func() { n.policy.MarkDraining(n.loop.Now(), id) })
				pool.ready = false
				pool.drain()
			}
		}
	}
}

// newer reports whether list l is newer than this process's own. Guards against comparing revisions of different registries, if
// discovery was moved between the starts of two processes: servers that are ready by the own list would never get attempts.
func newer(l, own handover.ServerList) bool {
	return l.Revision > own.Revision && (l.Source == "" || own.Source == "" || l.Source == own.Source)
}

// listSource returns a list with only its Source set: the registry that this process follows.
func (s *succession) listSource() (l handover.ServerList) {
	r := &s.node.cfg.Registry
	for _, e := range r.Endpoints {
		l.Source += e.String() + " "
	}
	l.Source += r.Prefix
	return l
}

// refreshPeers reads the current states of the other processes.
func (s *succession) refreshPeers() {
	if s.member != nil {
		s.member.Refresh()
	}
}

// update settles which resources this process may use, and publishes its state.
func (s *succession) update() {
	if s.member == nil {
		return
	}
	n, others := s.node, processes(s.peers())
	self := s.member.Self().Process
	self.OpenFDs, self.Stage = n.loop.OpenSockets(), s.stage()
	waited := s.readyAt > 0 && n.loop.Now()-s.readyAt > predecessorTimeout
	oldLimit := self.FDLimit
	self, s.roomMade = decide.AllocateFDs(n.cfg.Sockets, self, others, waited)
	s.fdLimit = self.FDLimit
	if n.clients.listener != nil {
		n.clients.listener.SetShared(slices.ContainsFunc(others, func(o decide.Process) bool { return o.Order > self.Order }))
	}
	if oldLimit != self.FDLimit && len(others) > 0 && oldLimit > 0 && self.Stage == decide.Serving {
		n.clients.enforceLimits()
	}
	s.publish(self)
	n.updateMemoryLimit()
	if len(others) > 0 && s.publishTimer == nil {
		s.publishTimer = n.loop.After(publishInterval, func() {
			s.publishTimer = nil
			s.onPeersChanged()
		})
	}
}

// publish publishes the state of this process. Overrides, drains and what settles which process serves are published at once.
// Frequently changing values are published at most every publishInterval; otherwise two processes would trigger each other endlessly.
func (s *succession) publish(self decide.Process) {
	n := s.node
	state := s.member.Self()
	previous := state
	// Guards against rewriting the file every 50 ms, on the event loop, for a number that no other process uses. If the directory is
	// on a busy disk, one such write took up to 0.15 s.
	openFDs := self.OpenFDs
	if self.OpenFDs = previous.Process.OpenFDs; self != previous.Process {
		self.OpenFDs = openFDs
	}
	state.Process, state.Overrides, state.List = self, n.policy.Overrides(), s.publishedList()
	state.LameDuck = handover.LameDuck{On: n.draining, Version: n.drainVersion}
	if now := n.loop.Now(); s.member.PublishErr() == nil && now-s.publishedAt < publishInterval && self.Stage == previous.Process.Stage && self.SettledFor == previous.Process.SettledFor &&
		slices.Equal(state.Overrides, previous.Overrides) && state.LameDuck == previous.LameDuck && slices.Equal(state.List.Leaving, previous.List.Leaving) {
		return
	} else {
		s.publishedAt = now
	}
	s.handlePublishResult(s.member.Publish(state))
}

// handlePublishResult schedules another attempt, with exponential backoff, if the state could not be written.
func (s *succession) handlePublishResult(err error) {
	if err == nil {
		if s.retryDelay > 0 {
			log.Printf("event=handover_saved")
		}
		s.retryDelay = 0
		s.retryTimer.Stop()
		s.retryTimer = nil
		return
	}
	if s.retryDelay == 0 {
		log.Printf("event=handover_failed why=%q", err)
	}
	if s.retryTimer != nil {
		return // already scheduled
	}
	s.retryDelay = min(max(2*s.retryDelay, minRetryDelay), maxRetryDelay)
	s.retryTimer = s.node.loop.After(s.retryDelay, func() {
		s.retryTimer = nil
		s.update()
	})
}

// saveError returns why the operators' overrides would be lost with this process. It is nil if they are saved, or if there is no state
// directory to save them in.
func (s *succession) saveError() error {
	if s.member == nil {
		return s.joinErr
	}
	return s.member.PublishErr()
}

// updateMemoryLimit reports a changed memory limit to the OnMemoryLimit callback.
func (n *Node) updateMemoryLimit() {
	if mb := n.memoryMB(); n.setMemoryLimit != nil && mb != n.succession.memoryMB {
		n.succession.memoryMB = mb
		n.setMemoryLimit(mb)
	}
}

// OnMemoryLimit calls f with the memory limit of this process in megabytes, now and whenever it changes.
func (n *Node) OnMemoryLimit(f func(mb int)) {
	n.setMemoryLimit = f
	n.updateMemoryLimit()
}

func (s *succession) stage() decide.Stage {
	switch {
	case s.node.shuttingDown:
		return decide.Leaving
	case s.node.clients.listener != nil:
		return decide.Serving
	}
	return decide.Starting
}

// publishedList returns what other processes need to know about this process's list.
func (s *succession) publishedList() (l handover.ServerList) {
	n := s.node
	if n.registry == nil {
		return l
	}
	l = s.listSource()
	l.Revision, _, _ = n.registry.ListStatus()
	now := n.loop.Now()
	for id, at := range s.departed {
		if now-at > departedTTL {
			delete(s.departed, id)
		} else {
			l.Leaving = append(l.Leaving, id)
		}
	}
	slices.Sort(l.Leaving)
	l.Departed, l.DepartedMore = n.everListed.share()
	return l
}

// recordServerState records whether a server is draining or gone by the list.
func (s *succession) recordServerState(id string, state policy.State) {
	if state == policy.Ready {
		delete(s.departed, id)
	} else if _, known := s.departed[id]; !known && len(s.departed) < maxDeparted {
		s.departed[id] = s.node.loop.Now()
	}
}

// acceptClients opens the listener for clients once the node is ready and, in an upgrade, its predecessors have made room.
func (n *Node) acceptClients() {
	s := &n.succession
	if n.clients.listener != nil || n.shuttingDown || !n.ready {
		return
	}
	if s.readyAt == 0 {
		s.readyAt = n.loop.Now()
	}
	others := s.peers()
	if s.update(); len(others) > 0 && s.fdLimit == 0 {
		return // onPeersChanged calls this again
	}
	if len(others) > 0 && !s.roomMade {
		log.Printf("event=handover_deaf why=%q room=%d", "predecessor process does not respond", s.fdLimit)
	}
	serving := 0
	for _, o := range others {
		if o.Process.Stage != decide.Starting {
			serving++
		}
	}
	if err := n.clients.listenBeside(serving); err != nil {
		if !s.addressInUse {
			s.addressInUse = true
			log.Printf("event=handover_waits why=%q", err)
		}
		n.loop.After(bindRetryInterval, n.acceptClients)
		return
	}
	log.Printf("event=handover_taken beside=%d room=%d steers=%t", serving, s.fdLimit, n.clients.listener.SteersConnections())
	s.update()
}

// hasSuccessor reports whether a successor process serves in place of this one.
func (s *succession) hasSuccessor() bool {
	if s.member == nil {
		return false
	}
	s.refreshPeers()
	return decide.HasSuccessor(s.member.Self().Process, processes(s.peers()))
}

// maxSockets returns how many file descriptors this process may use.
func (n *Node) maxSockets() int {
	if len(n.succession.peers()) == 0 {
		return n.cfg.Sockets
	}
	return n.succession.fdLimit
}

// memoryMB returns how many megabytes of memory this process may use.
func (n *Node) memoryMB() int { return decide.MemoryShare(n.cfg.MemoryMB, len(n.succession.peers())) }

// reservedSockets returns how many descriptors are kept for files and sockets other than server and client connections, and for clients
// beyond the limit, whose requests are refused.
func (n *Node) reservedSockets() int {
	if n.shuttingDown && len(n.succession.peers()) > 0 {
		return 0 // there are no new clients
	}
	// Guards against a reserve that, with the control address, uses up a process's share of few descriptors: with 64 in total no
	// request was served while two processes ran.
	return max(0, min(reservedSockets, (n.maxSockets()-n.control.ReservedDescriptors())/2))
}
