package node

import (
	"log"
	"slices"
	"time"

	decide "lapisshelf/decide/handover"
	"lapisshelf/internal/handover"
	"lapisshelf/internal/loop"
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
