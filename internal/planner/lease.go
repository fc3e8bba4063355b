package planner

import (
	"fmt"
	"time"

	"lapisshelf/decide/plan"
	"lapisshelf/decide/roster"
	"lapisshelf/internal/registry"
	"lapisshelf/policy"
)

// lease is the planner's own entry among the planners in the registry, and who else has one.
type lease struct {
	p         *Planner
	announcer *registry.Announcer
	others    *registry.Client
	held      bool
	all       map[string]plan.Candidate
}

const leaseLook = 200 * time.Millisecond

// keepLease begins to keep an entry, and to follow those of others.
func (p *Planner) keepLease(c registry.Config) *lease {
	l := &lease{p: p, all: map[string]plan.Candidate{}}
	l.announcer = registry.NewAnnouncer(p.loop, c, p.cfg.LeasePrefix+p.cfg.Plan.ID, l.entry(), p.cfg.LeaseTTL, uint64(p.loop.Now()), p.note)
	l.announcer.Start()
	c.Prefix = p.cfg.LeasePrefix
	c.Roster.HoldTime = 0 // an entry that is gone is gone
	l.others = registry.New(p.loop, c, uint64(p.loop.Now())+1, l.told, p.note)
	l.others.Start(0, nil)
	l.look()
	return l
}

// entry tells that this planner takes its lease now.
func (l *lease) entry() []byte {
	return registry.FormatEntry(roster.Entry{Addr: l.p.Addr().String(), Server: policy.Server{ID: l.p.cfg.Plan.ID, Kind: "planner", Weight: -1, Started: l.p.loop.Now()}})
}

// look notices a lost lease: the next one is a later one.
func (l *lease) look() {
	held := l.announcer.Held()
	if l.held && !held {
		l.p.note("lease_lost", "id="+l.p.cfg.Plan.ID)
		l.announcer.Change(l.entry())
	}
	l.held = held
	l.p.loop.After(leaseLook, l.look)
}

// told takes news of who holds a lease.
func (l *lease) told(u roster.Update) {
	if u.Complete {
		clear(l.all)
	}
	for _, e := range u.Entries {
		if e.State == policy.Gone {
			delete(l.all, e.ID)
		} else {
			l.all[e.ID] = plan.Candidate{ID: e.ID, LeaseStart: e.Started}
		}
	}
	var list []plan.Candidate
	for _, c := range l.all {
		list = append(list, c)
	}
	was := l.p.plan.ElectLeader(nil)
	if now := l.p.plan.ElectLeader(list); now != was {
		l.p.note("leads", fmt.Sprintf("planner=%q epoch=%d", now, l.p.plan.Epoch()))
	}
}

func (l *lease) close() {
	if l != nil {
		l.others.Close()
		l.announcer.Abandon()
	}
}
