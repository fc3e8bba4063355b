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
	tellEvery   = 50 * time.Millisecond  // how often a process tells what it holds while another lives
	leastRetry  = 50 * time.Millisecond  // before what could not be written is written again, the first time
	mostRetry   = time.Second            // and at most
	adoptLame   = 250 * time.Millisecond // how old another process's word on draining may be when it is heard
	deafFor     = time.Second            // how long a new process that could serve waits for the elder to make room
	goneFor     = 10 * time.Second       // how long servers that left the list are told to other processes
	mostGone    = 256                    // of these, and of servers no longer listed
	listenAgain = 20 * time.Millisecond
)

// succession is this process among those of its node.
type succession struct {
	node    *Node
	member  *handover.Member // nil: nobody can come beside this one
	room    int              // descriptors that it takes while others live
	made    bool             // elders have made room for it
	readyAt time.Duration    // when it could first have served
	tick    *loop.Timer
	gone    map[string]time.Duration // servers that get nothing new, by the list, and since when that is known
	joinErr error                    // why the state directory is not used at all
	pause   time.Duration            // before the next attempt to write what is owed; 0: the last one held
	retry   *loop.Timer              // that attempt
	told    time.Duration            // when the others were told last
	memory  int                      // megabytes that limit was called with last
	waits   bool                     // the address is taken, and the log says so
}

// join looks for other processes of the node, and takes over what was said by hand.
func (s *succession) join(n *Node) {
	s.node, s.gone = n, map[string]time.Duration{}
	if n.cfg.StateDir == "" {
		return
	}
	var err error
	s.member, err = handover.Join(n.loop, handover.Options{Dir: n.cfg.StateDir, Name: n.cfg.Name, Listen: n.cfg.Listen.String(),
		Note: n.listNote, Changed: s.changed})
	if err != nil { // it serves all the same; an upgrade finds the address taken
		s.joinErr = err
		log.Printf("event=handover_off why=%q", err)
		return
	}
	for _, p := range s.member.Peers() {
		log.Printf("event=handover_from pid=%d", p.PID)
	}
}

// begin takes over what was said by hand, and makes this process known.
func (s *succession) begin() {
	if s.member != nil {
		s.heed()
		s.settle()
		s.member.Start()
	}
}

// others are the other processes that live.
func (s *succession) others() []handover.State {
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

// changed takes news of the other processes.
func (s *succession) changed() {
	s.heed()
	s.settle()
	s.node.takeClients()
}

// heed takes what was said by hand to others, those that have ended included, and what their lists say.
func (s *succession) heed() {
	n, now, news := s.node, s.node.loop.Now(), false
	for _, p := range slices.Concat(s.member.Left(), s.member.Peers()) {
		for _, h := range p.Hands {
			n.listed.add(h.ID)
			n.guard("hand", func() { n.policy.Override(now, h) })
			news = true
		}
		for _, id := range p.List.Listed {
			n.listed.add(id)
		}
	}
	if news {
		n.hands()
	}
	for _, p := range s.member.Peers() { // a drain is the node's, and a process that has ended took it along
		if p.Lame.At > n.lameAt {
			n.drained(p.Lame.On, p.Lame.At, adoptLame)
		}
	}
	s.heedLists()
}

// heedLists keeps off servers that leave by the list of another process, which is newer than the own one.
func (s *succession) heedLists() {
	n := s.node
	if n.registry == nil {
		return
	}
	own := s.source()
	own.Revision, _, _ = n.registry.Held()
	for _, p := range s.others() {
		if !newer(p.List, own) {
			continue
		}
		for _, id := range p.List.Leaving {
			if pool := n.pools[id]; pool != nil && pool.ready {
				n.guard("drains", func() { n.policy.MarkDraining(n.loop.Now(), id) })
				pool.ready = false
				pool.leave()
			}
		}
	}
}

// newer reports whether a list tells more than the own one. Guards against comparing the revisions of two registries, where
// discovery was moved between two processes: servers that are ready by the own list would get nothing for good.
func newer(l, own handover.List) bool {
	return l.Revision > own.Revision && (l.Source == "" || own.Source == "" || l.Source == own.Source)
}

// source is a list that says only which registry this process follows.
func (s *succession) source() (l handover.List) {
	r := &s.node.cfg.Registry
	for _, e := range r.Endpoints {
		l.Source += e.String() + " "
	}
	l.Source += r.Prefix
	return l
}

// look hears what the other processes say now.
func (s *succession) look() {
	if s.member != nil {
		s.member.Look()
	}
}

// settle settles what this process takes, and tells the others.
func (s *succession) settle() {
	if s.member == nil {
		return
	}
	n, others := s.node, processes(s.others())
	self := s.member.Self().Process
	self.OpenFDs, self.Stage = n.loop.OpenSockets(), s.stage()
	waited := s.readyAt > 0 && n.loop.Now()-s.readyAt > deafFor
	was := self.FDLimit
	self, s.made = decide.AllocateFDs(n.cfg.Sockets, self, others, waited)
	s.room = self.FDLimit
	if n.clients.listener != nil {
		n.clients.listener.SetShared(slices.ContainsFunc(others, func(o decide.Process) bool { return o.Order > self.Order }))
	}
	if was != self.FDLimit && len(others) > 0 && was > 0 && self.Stage == decide.Serving {
		n.clients.thin()
	}
	s.tell(self)
	n.tellMemory()
	if len(others) > 0 && s.tick == nil {
		s.tick = n.loop.After(tellEvery, func() {
			s.tick = nil
			s.changed()
		})
	}
}

// tell makes the own state known: what is said by hand or settles who serves at once, figures that change all the time
// every so often, or two processes would have each other tell them without end.
func (s *succession) tell(self decide.Process) {
	n := s.node
	x := s.member.Self()
	was := x
	// Guards against a file written anew every 50 ms, on the loop, for what no other process decides upon. Where the directory
	// lies on a disk that others keep busy, one such write took up to 0.15 s.
	held := self.OpenFDs
	if self.OpenFDs = was.Process.OpenFDs; self != was.Process {
		self.OpenFDs = held
	}
	x.Process, x.Hands, x.List = self, n.policy.Overrides(), s.list()
	x.Lame = handover.Lame{On: n.lame, At: n.lameAt}
	if now := n.loop.Now(); s.member.Owed() == nil && now-s.told < tellEvery && self.Stage == was.Process.Stage && self.SettledFor == was.Process.SettledFor &&
		slices.Equal(x.Hands, was.Hands) && x.Lame == was.Lame && slices.Equal(x.List.Leaving, was.List.Leaving) {
		return
	} else {
		s.told = now
	}
	s.published(s.member.Publish(x))
}

// published notes whether the state was written. One that was not is written again, with growing pauses, until it holds.
func (s *succession) published(err error) {
	if err == nil {
		if s.pause > 0 {
			log.Printf("event=handover_saved")
		}
		s.pause = 0
		s.retry.Stop()
		s.retry = nil
		return
	}
	if s.pause == 0 {
		log.Printf("event=handover_failed why=%q", err)
	}
	if s.retry != nil {
		return // it is due already
	}
	s.pause = min(max(2*s.pause, leastRetry), mostRetry)
	s.retry = s.node.loop.After(s.pause, func() {
		s.retry = nil
		s.settle()
	})
}

// unsaved says why what was said by hand would not outlast this process; nil: it would, or nothing here is to.
func (s *succession) unsaved() error {
	if s.member == nil {
		return s.joinErr
	}
	return s.member.Owed()
}

// tellMemory has the collector know how much this process may use.
func (n *Node) tellMemory() {
	if mb := n.memoryMB(); n.limit != nil && mb != n.succession.memory {
		n.succession.memory = mb
		n.limit(mb)
	}
}

// OnMemoryLimit has f called with the megabytes that the process may use, now and when that changes.
func (n *Node) OnMemoryLimit(f func(mb int)) {
	n.limit = f
	n.tellMemory()
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

// list is what other processes need to know of this one's list.
func (s *succession) list() (l handover.List) {
	n := s.node
	if n.registry == nil {
		return l
	}
	l = s.source()
	l.Revision, _, _ = n.registry.Held()
	now := n.loop.Now()
	for id, at := range s.gone {
		if now-at > goneFor {
			delete(s.gone, id)
		} else {
			l.Leaving = append(l.Leaving, id)
		}
	}
	slices.Sort(l.Leaving)
	for _, id := range slices.Backward(n.listed.order) {
		if n.pools[id] == nil && len(l.Listed) < mostGone {
			l.Listed = append(l.Listed, id)
		}
	}
	return l
}

// noteState keeps which servers get nothing new by the list.
func (s *succession) noteState(id string, state policy.State) {
	if state == policy.Ready {
		delete(s.gone, id)
	} else if _, known := s.gone[id]; !known && len(s.gone) < mostGone {
		s.gone[id] = s.node.loop.Now()
	}
}

// takeClients opens the clients' address, for a process that comes beside another once it could serve and there is room.
func (n *Node) takeClients() {
	s := &n.succession
	if n.clients.listener != nil || n.leaving || !n.ready {
		return
	}
	if s.readyAt == 0 {
		s.readyAt = n.loop.Now()
	}
	others := s.others()
	if s.settle(); len(others) > 0 && s.room == 0 {
		return // the next news, or tick, comes here
	}
	if len(others) > 0 && !s.made {
		log.Printf("event=handover_deaf why=%q room=%d", "an older process does not answer", s.room)
	}
	serving := 0
	for _, o := range others {
		if o.Process.Stage != decide.Starting {
			serving++
		}
	}
	if err := n.clients.join(serving); err != nil {
		if !s.waits {
			s.waits = true
			log.Printf("event=handover_waits why=%q", err)
		}
		n.loop.After(listenAgain, n.takeClients)
		return
	}
	log.Printf("event=handover_taken beside=%d room=%d steers=%t", serving, s.room, n.clients.listener.SteersConnections())
	s.settle()
}

// succeeded reports whether a younger process serves in this one's place.
func (s *succession) succeeded() bool {
	if s.member == nil {
		return false
	}
	s.look()
	return decide.HasSuccessor(s.member.Self().Process, processes(s.others()))
}

// sockets is how many descriptors this process may hold; memoryMB how many megabytes.
func (n *Node) sockets() int {
	if len(n.succession.others()) == 0 {
		return n.cfg.Sockets
	}
	return n.succession.room
}

func (n *Node) memoryMB() int { return decide.MemoryShare(n.cfg.MemoryMB, len(n.succession.others())) }

// reserve is how many of them are kept for what is no pool's and no client's, and for clients of a full house.
func (n *Node) reserve() int {
	if n.leaving && len(n.succession.others()) > 0 {
		return 0 // no new client comes
	}
	// Guards against a half of few descriptors of which the operators' address and the reserve took all: with 64 in all no
	// request was served while two processes ran.
	return max(0, min(reserve, (n.sockets()-n.control.Share())/2))
}
