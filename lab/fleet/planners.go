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
}

// forwarder is a node's side of the planners.
type forwarder struct {
	gather   *plan.Gather
	follower *follow.Follower
	trust    float64
	followed string // which planner's view is in force
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
	c := plan.Config{ID: p.id, Valid: x.Planners.Valid.D(), Mode: policy.Through, Weighted: x.Service.Weights != "off", ColdFrom: x.Service.ColdFrom,
		WarmUp: x.Service.WarmUp.D(), FallMultiple: x.Service.FallMultiple, FallWindow: x.Service.FallWindow.D()}
	if x.Service.Mode == "aside" {
		c.Mode, c.OriginKind = policy.Aside, "origin"
	}
	p.plan, p.up, p.frozen, p.members = plan.New(c), true, false, map[string]world.Member{}
	p.life++
	rev, members := p.sim.roster.Whole(p.sim.now)
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
	p.plan.Roster(p.sim.clock(), serversOf(all))
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
	if at, changes, known := s.roster.Since(s.now, p.rev); known && at != p.rev {
		p.rev = at
		p.take(changes)
	}
	p.plan.Make(s.clock())
	for _, n := range s.nodes {
		if n.parted[p.id] {
			continue
		}
		v := p.plan.View(s.clock(), s.clock(), n.name())
		s.hop(func() { n.view(v) })
	}
}

func (s *sim) clock() time.Duration { return zero + s.now }

func (n *node) name() string { return fmt.Sprintf("n%d", n.number+1) }

// forward begins a node's side, with its process.
func (n *node) forward() {
	s := n.sim
	if s.x.Planners.Count == 0 {
		return
	}
	n.forwarder = &forwarder{gather: plan.NewGather(n.clock(), n.name()), follower: follow.New(follow.Config{Fade: s.x.Planners.Fade.D()})}
	life, every := n.lives, s.x.Planners.Every.D()
	rng := world.Stream(s.x.Seed, "digest", n.name())
	var tell, fade func()
	tell = func() {
		if !n.up || n.lives != life {
			return
		}
		if !n.frozen {
			d := n.forwarder.gather.Digest(n.clock())
			for _, p := range s.planners {
				if !n.parted[p.id] {
					to := p.life
					s.hop(func() {
						if p.runs(to) {
							p.plan.Digest(s.clock(), *d)
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

// view has a view judged, and puts it in force.
func (n *node) view(v plan.View) {
	f := n.forwarder
	if f == nil || !n.up || n.frozen {
		return
	}
	var ready []follow.Server
	for _, id := range slices.Sorted(maps.Keys(n.members)) {
		if m := n.members[id]; m.Phase == world.Serving && m.Kind != "origin" {
			ready = append(ready, follow.Server{ID: id, Weight: m.Weight})
		}
	}
	if why, err := f.follower.Take(n.clock(), v, ready); why != follow.Taken {
		if why == follow.Absurd {
			n.sim.logs = append(n.sim.logs, fmt.Sprintf("%v node %d: view refused: %v", n.sim.now, n.number+1, err))
		}
		return
	}
	if f.followed != v.Planner {
		f.followed = v.Planner
		n.sim.logs = append(n.sim.logs, fmt.Sprintf("%v node %d: follows %s", n.sim.now, n.number+1, v.Planner))
	}
	f.trust = 1
	n.policy.View(n.clock(), v.View)
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
	p := s.planners[a.Plan-1]
	switch a.Verb {
	case fault.PlanKill:
		p.up = false
	case fault.PlanStart:
		if !p.up {
			p.start()
		}
	case fault.PlanFreeze:
		p.frozen = a.X != 0
	case fault.PlanCut:
		s.nodes[a.Node].parted[p.id] = a.X != 0
	}
}
