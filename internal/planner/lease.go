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
	p          *Planner
	announcer  *registry.Announcer
	watcher    *registry.Client
	held       bool
	candidates map[string]plan.Candidate
}

const leaseCheckInterval = 200 * time.Millisecond

// startLease begins to keep an entry, and to follow those of others.
func (p *Planner) startLease(c registry.Config) *lease {
	l := &lease{p: p, candidates: map[string]plan.Candidate{}}
	l.announcer = registry.NewAnnouncer(p.loop, c, p.cfg.LeasePrefix+p.cfg.Plan.ID, l.entry(), p.cfg.LeaseTTL, uint64(p.loop.Now()), p.logEvent)
	l.announcer.Start()
	c.Prefix = p.cfg.LeasePrefix
	c.Roster.HoldTime = 0 // an entry that is gone is gone
	l.watcher = registry.New(p.loop, c, uint64(p.loop.Now())+1, l.updateCandidates, p.logEvent)
	l.watcher.Start(0, nil)
	l.checkHeld()
	return l
}

// entry tells that this planner takes its lease now.
func (l *lease) entry() []byte {
	return registry.FormatEntry(roster.Entry{Addr: l.p.Addr().String(), Server: policy.Server{ID: l.p.cfg.Plan.ID, Kind: "planner", Weight: -1, Started: l.p.loop.Now()}})
}

// checkHeld notices a lost lease: the next one is a later one.
func (l *lease) checkHeld() {
	held := l.announcer.Held()
	if l.held && !held {
		l.p.logEvent("lease_lost", "id="+l.p.cfg.Plan.ID)
		l.announcer.Change(l.entry())
	}
	l.held = held
	l.p.loop.After(leaseCheckInterval, l.checkHeld)
}

// updateCandidates takes news of who holds a lease.
func (l *lease) updateCandidates(update roster.Update) {
	if update.Complete {
		clear(l.candidates)
	}
	for _, e := range update.Entries {
		if e.State == policy.Gone {
			delete(l.candidates, e.ID)
		} else {
			l.candidates[e.ID] = plan.Candidate{ID: e.ID, LeaseStart: e.Started}
		}
	}
	var list []plan.Candidate
	for _, c := range l.candidates {
		list = append(list, c)
	}
	previous := l.p.plan.ElectLeader(nil)
	if leader := l.p.plan.ElectLeader(list); leader != previous {
		l.p.logEvent("leads", fmt.Sprintf("planner=%q epoch=%d", leader, l.p.plan.Epoch()))
	}
}

func (l *lease) close() {
	if l != nil {
		l.watcher.Close()
		l.announcer.Abandon()
	}
}
