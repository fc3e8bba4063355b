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

// An upgrade: another process of this node comes up beside this one and takes its place. decide/handover says what each
// may take, internal/handover how they hear of each other; here it is carried out.

const (
	publishInterval     = 50 * time.Millisecond  // how often a process tells what it holds while another lives
	minRetryDelay       = 50 * time.Millisecond  // before what could not be written is written again, the first time
	maxRetryDelay       = time.Second            // and at most
	maxDrainNewsAge     = 250 * time.Millisecond // how old another process's word on draining may be when it is heard
	predecessorTimeout  = time.Second            // how long a new process that could serve waits for the elder to make room
	departedTTL         = 10 * time.Second       // how long servers that left the list are told to other processes
	maxDeparted         = 256                    // of these, and of servers no longer listed
	listenRetryInterval = 20 * time.Millisecond
)

// succession is this process among those of its node.
type succession struct {
	node         *Node
	member       *handover.Member // nil: nobody can come beside this one
	fdLimit      int              // descriptors that it takes while others live
	roomMade     bool             // elders have made room for it
	readyAt      time.Duration    // when it could first have served
	publishTimer *loop.Timer
	departed     map[string]time.Duration // servers that get nothing new, by the list, and since when that is known
	joinErr      error                    // why the state directory is not used at all
	retryDelay   time.Duration            // before the next attempt to write what is owed; 0: the last one held
	retryTimer   *loop.Timer              // that attempt
	publishedAt  time.Duration            // when the others were told last
	memoryMB     int                      // megabytes that limit was called with last
	addressInUse bool                     // the address is taken, and the log says so
}

// join looks for other processes of the node, and takes over what was said by hand.
func (s *succession) join(n *Node) {
	s.node, s.departed = n, map[string]time.Duration{}
	if n.cfg.StateDir == "" {
		return
	}
	var err error
	s.member, err = handover.Join(n.loop, handover.Options{Dir: n.cfg.StateDir, Name: n.cfg.Name, Listen: n.cfg.Listen.String(),
		Note: n.logRegistryEvent, Changed: s.onPeersChanged})
	if err != nil { // it serves all the same; an upgrade finds the address taken
		s.joinErr = err
		log.Printf("event=handover_off why=%q", err)
		return
	}
	for _, p := range s.member.Peers() {
		log.Printf("event=handover_from pid=%d", p.PID)
	}
}

// start takes over what was said by hand, and makes this process known.
func (s *succession) start() {
	if s.member != nil {
		s.adoptPeerState()
		s.update()
		s.member.Start()
	}
}

// peers are the other processes that live.
func (s *succession) peers() []handover.State {
	if s.member == nil {
		return nil
	}
	return s.member.Peers()
}

func processes(states []handover.State) (list []decide.Process) {
	for _, s := range states {
		list = append(list, s.Process)
	}
	return list
}

// onPeersChanged takes news of the other processes.
func (s *succession) onPeersChanged() {
	s.adoptPeerState()
	s.update()
	s.node.acceptClients()
}

// adoptPeerState takes what was said by hand to others, those that have ended included, and what their lists say.
func (s *succession) adoptPeerState() {
	n, now, overridden := s.node, s.node.loop.Now(), false
	for _, p := range slices.Concat(s.member.Left(), s.member.Peers()) {
		for _, h := range p.Hands {
			n.listed.add(h.ID)
			n.guard("hand", func() { n.policy.Override(now, h) })
			overridden = true
		}
		for _, id := range p.List.Listed {
			n.listed.add(id)
		}
	}
	if overridden {
		n.applyOverrides()
	}
	for _, p := range s.member.Peers() { // a drain is the node's, and a process that has ended took it along
		if p.Lame.At > n.lameAt {
			n.setDraining(p.Lame.On, p.Lame.At, maxDrainNewsAge)
		}
	}
	s.adoptPeerLists()
}

// adoptPeerLists keeps off servers that leave by the list of another process, which is newer than the own one.
func (s *succession) adoptPeerLists() {
	n := s.node
	if n.registry == nil {
		return
	}
	own := s.listSource()
	own.Revision, _, _ = n.registry.Held()
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

// newer reports whether a list tells more than the own one. Guards against comparing the revisions of two registries, where
// discovery was moved between two processes: servers that are ready by the own list would get nothing for good.
func newer(l, own handover.List) bool {
	return l.Revision > own.Revision && (l.Source == "" || own.Source == "" || l.Source == own.Source)
}

// listSource is a list that says only which registry this process follows.
func (s *succession) listSource() (l handover.List) {
	r := &s.node.cfg.Registry
	for _, e := range r.Endpoints {
		l.Source += e.String() + " "
	}
	l.Source += r.Prefix
	return l
}

// refreshPeers hears what the other processes say now.
func (s *succession) refreshPeers() {
	if s.member != nil {
		s.member.Look()
	}
}

// update settles what this process takes, and tells the others.
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
		n.clients.thin()
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

// publish makes the own state known: what is said by hand or settles who serves at once, figures that change all the time
// every so often, or two processes would have each other tell them without end.
func (s *succession) publish(self decide.Process) {
	n := s.node
	state := s.member.Self()
	previous := state
	// Guards against a file written anew every 50 ms, on the loop, for what no other process decides upon. Where the directory
	// lies on a disk that others keep busy, one such write took up to 0.15 s.
	openFDs := self.OpenFDs
	if self.OpenFDs = previous.Process.OpenFDs; self != previous.Process {
		self.OpenFDs = openFDs
	}
	state.Process, state.Hands, state.List = self, n.policy.Overrides(), s.publishedList()
	state.Lame = handover.Lame{On: n.lame, At: n.lameAt}
	if now := n.loop.Now(); s.member.Owed() == nil && now-s.publishedAt < publishInterval && self.Stage == previous.Process.Stage && self.SettledFor == previous.Process.SettledFor &&
		slices.Equal(state.Hands, previous.Hands) && state.Lame == previous.Lame && slices.Equal(state.List.Leaving, previous.List.Leaving) {
		return
	} else {
		s.publishedAt = now
	}
	s.handlePublishResult(s.member.Publish(state))
}

// handlePublishResult notes whether the state was written. One that was not is written again, with growing pauses, until it holds.
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
		return // it is due already
	}
	s.retryDelay = min(max(2*s.retryDelay, minRetryDelay), maxRetryDelay)
	s.retryTimer = s.node.loop.After(s.retryDelay, func() {
		s.retryTimer = nil
		s.update()
	})
}

// saveError says why what was said by hand would not outlast this process; nil: it would, or nothing here is to.
func (s *succession) saveError() error {
	if s.member == nil {
		return s.joinErr
	}
	return s.member.Owed()
}

// updateMemoryLimit has the collector know how much this process may use.
func (n *Node) updateMemoryLimit() {
	if mb := n.memoryMB(); n.limit != nil && mb != n.succession.memoryMB {
		n.succession.memoryMB = mb
		n.limit(mb)
	}
}

// OnMemoryLimit has f called with the megabytes that the process may use, now and when that changes.
func (n *Node) OnMemoryLimit(f func(mb int)) {
	n.limit = f
	n.updateMemoryLimit()
}

func (s *succession) stage() decide.Stage {
	switch {
	case s.node.leaving:
		return decide.Leaving
	case s.node.clients.listener != nil:
		return decide.Serving
	}
	return decide.Starting
}

// publishedList is what other processes need to know of this one's list.
func (s *succession) publishedList() (l handover.List) {
	n := s.node
	if n.registry == nil {
		return l
	}
	l = s.listSource()
	l.Revision, _, _ = n.registry.Held()
	now := n.loop.Now()
	for id, at := range s.departed {
		if now-at > departedTTL {
			delete(s.departed, id)
		} else {
			l.Leaving = append(l.Leaving, id)
		}
	}
	slices.Sort(l.Leaving)
	for _, id := range slices.Backward(n.listed.order) {
		if n.pools[id] == nil && len(l.Listed) < maxDeparted {
			l.Listed = append(l.Listed, id)
		}
	}
	return l
}

// recordServerState keeps which servers get nothing new by the list.
func (s *succession) recordServerState(id string, state policy.State) {
	if state == policy.Ready {
		delete(s.departed, id)
	} else if _, known := s.departed[id]; !known && len(s.departed) < maxDeparted {
		s.departed[id] = s.node.loop.Now()
	}
}

// acceptClients opens the clients' address, for a process that comes beside another once it could serve and there is room.
func (n *Node) acceptClients() {
	s := &n.succession
	if n.clients.listener != nil || n.leaving || !n.ready {
		return
	}
	if s.readyAt == 0 {
		s.readyAt = n.loop.Now()
	}
	others := s.peers()
	if s.update(); len(others) > 0 && s.fdLimit == 0 {
		return // the next news, or tick, comes here
	}
	if len(others) > 0 && !s.roomMade {
		log.Printf("event=handover_deaf why=%q room=%d", "an older process does not answer", s.fdLimit)
	}
	serving := 0
	for _, o := range others {
		if o.Process.Stage != decide.Starting {
			serving++
		}
	}
	if err := n.clients.join(serving); err != nil {
		if !s.addressInUse {
			s.addressInUse = true
			log.Printf("event=handover_waits why=%q", err)
		}
		n.loop.After(listenRetryInterval, n.acceptClients)
		return
	}
	log.Printf("event=handover_taken beside=%d room=%d steers=%t", serving, s.fdLimit, n.clients.listener.SteersConnections())
	s.update()
}

// hasSuccessor reports whether a younger process serves in this one's place.
func (s *succession) hasSuccessor() bool {
	if s.member == nil {
		return false
	}
	s.refreshPeers()
	return decide.HasSuccessor(s.member.Self().Process, processes(s.peers()))
}

// maxSockets is how many descriptors this process may hold; memoryMB how many megabytes.
func (n *Node) maxSockets() int {
	if len(n.succession.peers()) == 0 {
		return n.cfg.Sockets
	}
	return n.succession.fdLimit
}

func (n *Node) memoryMB() int { return decide.MemoryShare(n.cfg.MemoryMB, len(n.succession.peers())) }

// reservedSockets is how many of them are kept for what is no pool's and no client's, and for clients of a full house.
func (n *Node) reservedSockets() int {
	if n.leaving && len(n.succession.peers()) > 0 {
		return 0 // no new client comes
	}
	// Guards against a half of few descriptors of which the operators' address and the reserve took all: with 64 in all no
	// request was served while two processes ran.
	return max(0, min(reserve, (n.maxSockets()-n.control.Share())/2))
}
