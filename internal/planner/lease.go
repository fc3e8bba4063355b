package planner

import (
	"fmt"
	"time"

	"lapisshelf/decide/plan"
	"lapisshelf/decide/roster"
	"lapisshelf/internal/registry"
	"lapisshelf/policy"
)

// lease keeps the planner's own entry in the registry, under a lease, and follows the entries of the other planners. The
// planners elect their leader from these entries.
type lease struct {
	p          *Planner
	announcer  *registry.Announcer
	watcher    *registry.Client
	held       bool
	candidates map[string]plan.Candidate
}

const leaseCheckInterval = 200 * time.Millisecond

// startLease starts to announce the planner's entry and to watch those of the others.
func (p *Planner) startLease(c registry.Config) *lease {
	l := &lease{p: p, candidates: map[string]plan.Candidate{}}
	l.announcer = registry.NewAnnouncer(p.loop, c, p.cfg.LeasePrefix+p.cfg.Plan.ID, l.entry(), p.cfg.LeaseTTL, uint64(p.loop.Now()), p.logEvent)
	l.announcer.Start()
	c.Prefix = p.cfg.LeasePrefix
	c.Roster.HoldTime = 0 // a removed entry takes effect at once
	l.watcher = registry.New(p.loop, c, uint64(p.loop.Now())+1, l.updateCandidates, p.logEvent)
	l.watcher.Start(0, nil)
	l.checkHeld()
	return l
}

// entry returns the planner's entry, with the current time as the start of its lease.
func (l *lease) entry() []byte {
	return registry.FormatEntry(roster.Entry{Addr: l.p.Addr().String(), Server: policy.Server{ID: l.p.cfg.Plan.ID, Kind: "planner", Weight: -1, Started: l.p.loop.Now()}})
}

// checkHeld replaces the entry after a lost lease, so that the next lease counts from a later start.
func (l *lease) checkHeld() {
	held := l.announcer.Held()
	if l.held && !held {
		l.p.logEvent("lease_lost", "id="+l.p.cfg.Plan.ID)
		l.announcer.SetValue(l.entry())
	}
	l.held = held
	l.p.loop.After(leaseCheckInterval, l.checkHeld)
}

// updateCandidates applies an update of the planners' entries, and elects the leader again.
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
