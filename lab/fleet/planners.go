package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lapisshelf/decide/follow"
	"lapisshelf/decide/plan"
	"lapisshelf/lab/fault"
	"lapisshelf/lab/world"
	"lapisshelf/policy"
)

// Planners in virtual time: decide/plan and decide/follow as in the programs, with digests and views that take the network latency.

const fadeInterval = 500 * time.Millisecond

// planner is the state of one planner.
type planner struct {
	sim        *sim
	id         string
	plan       *plan.Planner
	up         bool
	frozen     bool
	generation int
	revision   int64
	members    map[string]world.Member
	holds      map[*node]plan.Hold     // what each node that takes changes has reported to hold
	lastSent   map[*node]time.Duration // when the last change was sent to each node
	lastDigest map[*node]digestReceipt // of each node
}

// forwarder is a node's connection to the planners.
type forwarder struct {
	collector *plan.Collector
	follower  *follow.Follower
	trust     float64
	planner   string // id of the planner whose view is in force
	version   uint64 // follower's version when a view was last put in force
}

// startPlanners creates and starts the experiment's planners.
func (s *sim) startPlanners() {
	for i := range s.exp.Planners.Count {
		p := &planner{sim: s, id: fmt.Sprintf("p%d", i+1)}
		s.planners = append(s.planners, p)
		p.start()
	}
}

// start starts a new process with an empty state.
func (p *planner) start() {
	x := p.sim.exp
	p.generation++
	c := plan.Config{ID: p.id, History: uint64(p.generation), Valid: x.Planners.Valid.D(), Mode: policy.Through, Weighted: x.Service.Weights != "off", ColdFrom: x.Service.ColdFrom,
		WarmUp: x.Service.WarmUp.D(), FallMultiple: x.Service.FallMultiple, FallWindow: x.Service.FallWindow.D()}
	if x.Service.Mode == "aside" {
		c.Mode, c.OriginKind = policy.Aside, "origin"
	}
	p.plan, p.up, p.frozen, p.members = plan.New(c), true, false, map[string]world.Member{}
	p.holds, p.lastSent, p.lastDigest = map[*node]plan.Hold{}, map[*node]time.Duration{}, map[*node]digestReceipt{}
	rev, members := p.sim.serverList.Snapshot(p.sim.now)
	p.revision = rev
	p.updateMembers(members)
	generation := p.generation
	p.sim.scheduleAfter(x.Planners.Every.D(), func() { p.tick(generation) })
}

func (p *planner) updateMembers(members []world.Member) {
	for _, m := range members {
		if p.members[m.ID] = m; m.Phase == world.Deleted {
			delete(p.members, m.ID)
		}
	}
	var all []world.Member
	for _, id := range slices.Sorted(maps.Keys(p.members)) {
		all = append(all, p.members[id])
	}
	p.plan.SetServers(p.sim.clock(), serversOf(all))
}

func (p *planner) isRunning(generation int) bool {
	return p.up && !p.frozen && p.generation == generation
}

// tick updates the plan and sends views or changes to the nodes.
func (p *planner) tick(generation int) {
	s := p.sim
	if !p.up || p.generation != generation {
		return
	}
	s.scheduleAfter(s.exp.Planners.Every.D(), func() { p.tick(generation) })
	if p.frozen {
		return
	}
	if revision, changes, known := s.serverList.ChangesSince(s.now, p.revision); known && revision != p.revision {
		p.revision = revision
		p.updateMembers(changes)
	}
	p.plan.Update(s.clock())
	if s.exp.Planners.Talk == "whole" {
		for _, n := range s.nodes {
			if !n.cutPlanners[p.id] {
				v := p.plan.View(s.clock(), s.clock(), n.name())
				s.deliver(func() { n.takeView(v) })
			}
		}
		return
	}
	changes := map[plan.Hold]plan.Change{} // computed once for all nodes that hold the same revision
	for _, n := range s.nodes {
		h, known := p.holds[n]
		if n.cutPlanners[p.id] || !known {
			continue
		}
		base := plan.Hold{History: h.History, Revision: h.Revision}
		c, cached := changes[base]
		if !cached {
			c, _ = p.plan.Change(s.clock(), base)
			changes[base] = c
		}
		if keepalive := min(time.Second, s.exp.Planners.Valid.D()/3); c.Base == c.Revision && !p.plan.HasColdServers() && p.lastSent[n] > 0 && s.now-p.lastSent[n] < keepalive {
			continue // the node is up to date, and no keepalive is due
		}
		p.lastSent[n] = s.now
		if d := p.lastDigest[n]; d.seq > 0 {
			c.Grants, c.Answers, c.After = p.plan.Grants(s.clock(), n.name()), d.seq, s.now-d.at
		}
		s.deliver(func() { n.takeChange(c) })
	}
}

// digestReceipt is a digest's sequence number and when it arrived.
type digestReceipt struct {
	seq uint64
	at  time.Duration
}

func (s *sim) clock() time.Duration { return clockStart + s.now }

func (n *node) name() string { return fmt.Sprintf("n%d", n.number+1) }

// startForwarder starts a node's forwarder together with its process.
func (n *node) startForwarder() {
	s := n.sim
	if s.exp.Planners.Count == 0 {
		return
	}
	n.forwarder = &forwarder{collector: plan.NewCollector(n.clock(), n.name()), follower: follow.New(follow.Config{Fade: s.exp.Planners.Fade.D()})}
	generation, interval := n.generations, s.exp.Planners.Every.D()
	rng := world.RandomStream(s.exp.Seed, "digest", n.name())
	var sendDigest, updateTrust func()
	sendDigest = func() {
		if !n.up || n.generations != generation {
			return
		}
		if !n.frozen {
			d, changes := n.forwarder.collector.Digest(n.clock()), s.exp.Planners.Talk != "whole"
			if changes {
				d = n.forwarder.collector.Brief(d)
			}
			n.forwarder.follower.DigestSent(n.clock(), d.Seq)
			for _, p := range s.planners {
				if !n.cutPlanners[p.id] {
					generation, hold := p.generation, n.forwarder.follower.Hold(p.id)
					s.deliver(func() {
						if !p.isRunning(generation) {
							return
						}
						err := p.plan.Digest(s.clock(), *d)
						if changes {
							if p.holds[n] = hold; err == nil {
								p.lastDigest[n] = digestReceipt{d.Seq, s.now}
							}
						}
					})
				}
			}
		}
		s.scheduleAfter(interval*4/5+time.Duration(rng.Int64N(int64(interval)*2/5)), sendDigest)
	}
	updateTrust = func() {
		if !n.up || n.generations != generation {
			return
		}
		f := n.forwarder
		if v, trust := f.follower.Now(n.clock()); trust != f.trust && !n.frozen {
			f.trust = trust
			n.policy.View(n.clock(), v)
			n.runDeferred()
		}
		s.scheduleAfter(fadeInterval, updateTrust)
	}
	s.scheduleAfter(time.Duration(rng.Int64N(int64(interval))), sendDigest)
	s.scheduleAfter(fadeInterval, updateTrust)
}

// readyServers returns the caches that are ready by the node's list.
func (n *node) readyServers() (list []follow.Server) {
	for _, id := range slices.Sorted(maps.Keys(n.members)) {
		if m := n.members[id]; m.Phase == world.Serving && m.Kind != "origin" {
			list = append(list, follow.Server{ID: id, Weight: m.Weight})
		}
	}
	return list
}

// takeView passes a view to the follower and puts it in force if accepted.
func (n *node) takeView(v plan.View) {
	if f := n.forwarder; f != nil && n.up && !n.frozen {
		outcome, err := f.follower.TakeView(n.clock(), v, n.readyServers())
		n.applyOutcome(v.Planner, outcome, err)
	}
}

// takeChange passes a change to the follower and puts the resulting view in force if accepted.
func (n *node) takeChange(c plan.Change) {
	if f := n.forwarder; f != nil && n.up && !n.frozen {
		outcome, err := f.follower.TakeChange(n.clock(), c, n.readyServers())
		n.applyOutcome(c.Planner, outcome, err)
	}
}

// applyOutcome logs a refused view, and puts the follower's view in force after an accepted one.
func (n *node) applyOutcome(planner string, outcome follow.Outcome, err error) {
	f := n.forwarder
	if outcome != follow.Accepted {
		if outcome == follow.Invalid {
			n.sim.logs = append(n.sim.logs, fmt.Sprintf("%v node %d: view refused: %v", n.sim.now, n.number+1, err))
		}
		return
	}
	if f.planner != planner {
		f.planner = planner
		n.sim.logs = append(n.sim.logs, fmt.Sprintf("%v node %d: follows %s", n.sim.now, n.number+1, planner))
	}
	if f.trust == 1 && f.version == f.follower.Version() {
		return // already in force
	}
	f.trust, f.version = 1, f.follower.Version()
	v, _ := f.follower.Now(n.clock())
	n.policy.View(n.clock(), v)
	n.runDeferred()
}

// countAttempt counts the end of an attempt for the next digest.
func (n *node) countAttempt(a *attempt, o policy.Outcome) {
	if n.forwarder == nil {
		return
	}
	origin := n.members[a.record.Server].Kind == "origin"
	n.forwarder.collector.Attempt(a.record.Server, origin, o, n.sim.now-a.sentAt, a.request.try.record.Write || n.sim.now-a.sentAt <= a.request.try.class.Aim/2, false)
}

// applyToPlanner applies a fault to a planner, or to a node's connection to it.
func (s *sim) applyToPlanner(a fault.Action) {
	p := s.planners[a.Planner-1]
	switch a.Kind {
	case fault.PlannerKill:
		p.up = false
	case fault.PlannerStart:
		if !p.up {
			p.start()
		}
	case fault.PlannerFreeze:
		p.frozen = a.Value != 0
	case fault.PlannerCut:
		s.nodes[a.Node].cutPlanners[p.id] = a.Value != 0
	}
}
