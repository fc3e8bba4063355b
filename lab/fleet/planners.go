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

// Planners in virtual time: decide/plan and decide/follow as the programs have them, digests and views that travel.

const fadeStep = 500 * time.Millisecond

// planner is one planner.
type planner struct {
	sim     *sim
	id      string
	plan    *plan.Planner
	up      bool
	frozen  bool
	life    int
	rev     int64
	members map[string]world.Member
	holds   map[*node]plan.Hold     // of those that take changes
	sent    map[*node]time.Duration // when each was told last
	heard   map[*node]heard         // the last digest of each
}

// forwarder is a node's side of the planners.
type forwarder struct {
	gather   *plan.Collector
	follower *follow.Follower
	trust    float64
	followed string // which planner's view is in force
	turns    uint64 // of the follower, when a view was put in force last
}

// startPlanners sets them up; without any nothing changes.
func (s *sim) startPlanners() {
	for i := range s.x.Planners.Count {
		p := &planner{sim: s, id: fmt.Sprintf("p%d", i+1)}
		s.planners = append(s.planners, p)
		p.start()
	}
}

// start begins a process that knows nothing.
func (p *planner) start() {
	x := p.sim.x
	p.life++
	c := plan.Config{ID: p.id, History: uint64(p.life), Valid: x.Planners.Valid.D(), Mode: policy.Through, Weighted: x.Service.Weights != "off", ColdFrom: x.Service.ColdFrom,
		WarmUp: x.Service.WarmUp.D(), FallMultiple: x.Service.FallMultiple, FallWindow: x.Service.FallWindow.D()}
	if x.Service.Mode == "aside" {
		c.Mode, c.OriginKind = policy.Aside, "origin"
	}
	p.plan, p.up, p.frozen, p.members = plan.New(c), true, false, map[string]world.Member{}
	p.holds, p.sent, p.heard = map[*node]plan.Hold{}, map[*node]time.Duration{}, map[*node]heard{}
	rev, members := p.sim.roster.Snapshot(p.sim.now)
	p.rev = rev
	p.take(members)
	life := p.life
	p.sim.after(x.Planners.Every.D(), func() { p.tick(life) })
}

func (p *planner) take(members []world.Member) {
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

func (p *planner) runs(life int) bool { return p.up && !p.frozen && p.life == life }

// tick makes views and sends them.
func (p *planner) tick(life int) {
	s := p.sim
	if !p.up || p.life != life {
		return
	}
	s.after(s.x.Planners.Every.D(), func() { p.tick(life) })
	if p.frozen {
		return
	}
	if at, changes, known := s.roster.ChangesSince(s.now, p.rev); known && at != p.rev {
		p.rev = at
		p.take(changes)
	}
	p.plan.Update(s.clock())
	if s.x.Planners.Talk == "whole" {
		for _, n := range s.nodes {
			if !n.parted[p.id] {
				v := p.plan.View(s.clock(), s.clock(), n.name())
				s.hop(func() { n.view(v) })
			}
		}
		return
	}
	changes := map[plan.Hold]plan.Change{} // made once for all that hold the same
	for _, n := range s.nodes {
		h, speaks := p.holds[n]
		if n.parted[p.id] || !speaks {
			continue
		}
		base := plan.Hold{History: h.History, Revision: h.Revision}
		c, made := changes[base]
		if !made {
			c, _ = p.plan.Change(s.clock(), base)
			changes[base] = c
		}
		if beat := min(time.Second, s.x.Planners.Valid.D()/3); c.Base == c.Revision && !p.plan.HasColdServers() && p.sent[n] > 0 && s.now-p.sent[n] < beat {
			continue // it holds all that there is to tell
		}
		p.sent[n] = s.now
		if d := p.heard[n]; d.seq > 0 {
			c.Grants, c.Answers, c.After = p.plan.Grants(s.clock(), n.name()), d.seq, s.now-d.at
		}
		s.hop(func() { n.change(c) })
	}
}

// heard is a digest, and when it came.
type heard struct {
	seq uint64
	at  time.Duration
}

func (s *sim) clock() time.Duration { return zero + s.now }

func (n *node) name() string { return fmt.Sprintf("n%d", n.number+1) }

// forward begins a node's side, with its process.
func (n *node) forward() {
	s := n.sim
	if s.x.Planners.Count == 0 {
		return
	}
	n.forwarder = &forwarder{gather: plan.NewCollector(n.clock(), n.name()), follower: follow.New(follow.Config{Fade: s.x.Planners.Fade.D()})}
	life, every := n.lives, s.x.Planners.Every.D()
	rng := world.RandomStream(s.x.Seed, "digest", n.name())
	var tell, fade func()
	tell = func() {
		if !n.up || n.lives != life {
			return
		}
		if !n.frozen {
			d, changes := n.forwarder.gather.Digest(n.clock()), s.x.Planners.Talk != "whole"
			if changes {
				d = n.forwarder.gather.Brief(d)
			}
			n.forwarder.follower.DigestSent(n.clock(), d.Seq)
			for _, p := range s.planners {
				if !n.parted[p.id] {
					to, hold := p.life, n.forwarder.follower.Hold(p.id)
					s.hop(func() {
						if !p.runs(to) {
							return
						}
						err := p.plan.Digest(s.clock(), *d)
						if changes {
							if p.holds[n] = hold; err == nil {
								p.heard[n] = heard{d.Seq, s.now}
							}
						}
					})
				}
			}
		}
		s.after(every*4/5+time.Duration(rng.Int64N(int64(every)*2/5)), tell)
	}
	fade = func() {
		if !n.up || n.lives != life {
			return
		}
		f := n.forwarder
		if v, trust := f.follower.Now(n.clock()); trust != f.trust && !n.frozen {
			f.trust = trust
			n.policy.View(n.clock(), v)
			n.settle()
		}
		s.after(fadeStep, fade)
	}
	s.after(time.Duration(rng.Int64N(int64(every))), tell)
	s.after(fadeStep, fade)
}

// ready are the servers that serve by the node's list.
func (n *node) ready() (list []follow.Server) {
	for _, id := range slices.Sorted(maps.Keys(n.members)) {
		if m := n.members[id]; m.Phase == world.Serving && m.Kind != "origin" {
			list = append(list, follow.Server{ID: id, Weight: m.Weight})
		}
	}
	return list
}

// view has a view judged, and puts it in force.
func (n *node) view(v plan.View) {
	if f := n.forwarder; f != nil && n.up && !n.frozen {
		why, err := f.follower.TakeView(n.clock(), v, n.ready())
		n.judged(v.Planner, why, err)
	}
}

// change has a change judged, and puts what it leads to in force.
func (n *node) change(c plan.Change) {
	if f := n.forwarder; f != nil && n.up && !n.frozen {
		why, err := f.follower.TakeChange(n.clock(), c, n.ready())
		n.judged(c.Planner, why, err)
	}
}

func (n *node) judged(planner string, why follow.Outcome, err error) {
	f := n.forwarder
	if why != follow.Accepted {
		if why == follow.Invalid {
			n.sim.logs = append(n.sim.logs, fmt.Sprintf("%v node %d: view refused: %v", n.sim.now, n.number+1, err))
		}
		return
	}
	if f.followed != planner {
		f.followed = planner
		n.sim.logs = append(n.sim.logs, fmt.Sprintf("%v node %d: follows %s", n.sim.now, n.number+1, planner))
	}
	if f.trust == 1 && f.turns == f.follower.Version() {
		return // it is in force
	}
	f.trust, f.turns = 1, f.follower.Version()
	v, _ := f.follower.Now(n.clock())
	n.policy.View(n.clock(), v)
	n.settle()
}

// saw counts the end of an attempt.
func (n *node) saw(a *attempt, o policy.Outcome) {
	if n.forwarder == nil {
		return
	}
	origin := n.members[a.rec.Server].Kind == "origin"
	n.forwarder.gather.Attempt(a.rec.Server, origin, o, n.sim.now-a.at, a.call.try.t.Write || n.sim.now-a.at <= a.call.try.class.Aim/2, false)
}

// onPlanner breaks a planner, or parts a node from it.
func (s *sim) onPlanner(a fault.Action) {
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
		s.nodes[a.Node].parted[p.id] = a.Value != 0
	}
}
