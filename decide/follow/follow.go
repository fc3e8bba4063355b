// Package follow decides what a forwarder does with planners' views: which planner's count, what a view must not say, and how
// one that ages fades back to the node's own judgement.
//
// The ordinary path: each planner's state is kept and brought forward by its changes (TakeChange); the newest one of the
// planner that is followed is in force. The departures: a change that does not fit what is held is not applied, and a whole
// state is asked for (Hold); a view that makes no sense, contradicts the list or goes back is refused; one that is no longer
// valid counts for less and less (Now).
// It does no I/O and reads no clock: the caller passes the time, Unix time, with each event. Age counts from
// when a view came, never by the planner's clock.
package follow

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"lapisshelf/decide/plan"
	"lapisshelf/policy"
)

const (
	mostAhead    = time.Hour // that an epoch may be ahead of the own clock; one absurd epoch must not lock all others out
	leastNamed   = 0.5       // part of the ready servers that a view names
	mostCut      = 0.75      // part of the weight that a view may take away
	mostPlanners = 64        // that are remembered
)

// Config is what a follower is told. A zero Fade takes 10 s.
type Config struct {
	Fade time.Duration // how long a view that is no longer valid fades
}

// Server is a ready server of the list.
type Server struct {
	ID     string
	Weight float64 // listed; what is negative counts as 1
}

// Reason names why a view was not taken.
type Reason string

// The reasons.
const (
	Taken   Reason = "taken"
	Absurd  Reason = "absurd"  // by itself, or for the list
	Epoch   Reason = "epoch"   // lower than one seen, or to come
	Late    Reason = "late"    // made before the last of its planner
	Another Reason = "another" // planner, while the followed one's view is valid
	Doubt   Reason = "doubt"   // a change that leads from another state than the held one: all is wanted anew
)

// Follower keeps the view in force. It is not safe for concurrent use.
type Follower struct {
	cfg    Config
	epoch  uint64 // the highest taken
	held   *plan.View
	came   time.Duration   // when it did
	at     place           // of held
	turns  uint64          // how often what is in force became another
	lasts  map[string]last // of planners
	states map[string]*state
	Counts map[Reason]int64 // of views, by what became of them
	Stale  int64            // changes whose grants were too long on their way
	sent   []sending        // of digests, the oldest first
	await  int              // planners that are still to be heard
}

// last is the last view taken of a planner.
type last struct{ made, came time.Duration }

// place is where a planner's counting is; the zero one: with a view, which has none.
type place struct{ history, revision uint64 }

// state is what a planner tells, as its changes have brought it.
type state struct {
	place
	factors map[string]float64 // those that are not 1
	admit   float64
	hot     []policy.Heat
	tenants []policy.Use
	last
	valid  time.Duration
	grants []plan.Grant // the last, which run for as long as the state is valid
}

// New makes a follower that holds no view.
func New(cfg Config) *Follower {
	cfg.Fade = cmp.Or(cfg.Fade, 10*time.Second)
	return &Follower{cfg: cfg, lasts: map[string]last{}, states: map[string]*state{}, Counts: map[Reason]int64{}}
}

// Take takes a view, or says why not. Ready are the servers that serve by the node's own list.
func (f *Follower) Take(now time.Duration, v plan.View, ready []Server) (Reason, error) {
	named := map[string]bool{}
	for _, s := range v.Servers {
		named[s.ID] = true
	}
	count := 0
	for _, s := range ready {
		if named[s.ID] {
			count++
		}
	}
	why, err := f.judge(now, &v, count, ready)
	f.Counts[why]++
	if why == Taken {
		f.hold(now, v, place{})
	}
	return why, err
}

// hold puts a view in force.
func (f *Follower) hold(now time.Duration, v plan.View, at place) {
	h := f.held
	same := h != nil && at.revision > 0 && at == f.at && h.Planner == v.Planner && now-f.came <= h.Valid && slices.Equal(h.Servers, v.Servers)
	if !same {
		f.turns++
	}
	f.epoch = max(f.epoch, v.Epoch)
	f.held, f.came, f.at = &v, now, at
	if f.lasts[v.Planner] = (last{v.Made, now}); len(f.lasts) > mostPlanners {
		maps.DeleteFunc(f.lasts, func(_ string, l last) bool { return now-l.came > v.Valid+f.cfg.Fade })
	}
}

// Turns grows whenever what is in force becomes another: while it stays, so does all that Now says of a valid view.
func (f *Follower) Turns() uint64 { return f.turns }

// TakeChange takes what a planner tells of its state, or says why not. Doubt: all is wanted anew, and Hold says so. A change
// of a planner that is not followed is kept too, so that it may be followed at once.
func (f *Follower) TakeChange(now time.Duration, c plan.Change, ready []Server) (Reason, error) {
	why, err := f.bring(now, &c)
	if why == Taken {
		st := f.states[c.Planner]
		if len(c.Grants) > 0 && !f.fresh(now, c.Answers, c.After) {
			c.Grants = nil
			f.Stale++
		}
		st.grants = c.Grants
		v := plan.View{Epoch: c.Epoch, Planner: c.Planner, Made: c.Made, Valid: c.Valid, View: st.view(f.least(now, st))}
		switch why, err = f.judge(now, &v, c.Count, ready); why {
		case Taken:
			f.hold(now, v, st.place)
		case Another:
			f.limit(now)
		}
	}
	f.Counts[why]++
	return why, err
}

// bring brings a planner's state forward.
func (f *Follower) bring(now time.Duration, c *plan.Change) (Reason, error) {
	if err := c.Check(); err != nil {
		return Absurd, err
	}
	old := f.states[c.Planner]
	switch {
	case old == nil && len(f.states) >= mostPlanners && !f.room(now):
		return Another, fmt.Errorf("over %d planners", mostPlanners)
	case old != nil && c.Made <= old.made && now-old.came <= c.Valid+f.cfg.Fade:
		return Late, fmt.Errorf("made before the last of %s", c.Planner)
	case c.Base > 0 && (old == nil || old.history != c.History || c.Base > old.revision || c.Revision < old.revision):
		delete(f.states, c.Planner)
		return Doubt, fmt.Errorf("from revision %d of history %d, which is not held", c.Base, c.History)
	}
	st := &state{place: place{c.History, c.Revision}, factors: map[string]float64{}, admit: c.Admit, hot: c.Hot, tenants: c.Tenants, last: last{c.Made, now}, valid: c.Valid}
	if c.Base > 0 {
		st.factors = old.factors // what follows either is whole or has the state dropped
		if !c.HotSet {
			st.hot = old.hot
		}
		if !c.TenantsSet {
			st.tenants = old.tenants
		}
	}
	for _, s := range c.Servers {
		if st.factors[s.ID] = s.Factor; s.Factor == 1 {
			delete(st.factors, s.ID)
		}
	}
	if plan.Sum(st.factors, st.admit, st.hot, st.tenants) != c.Sum {
		delete(f.states, c.Planner)
		return Doubt, fmt.Errorf("revision %d of history %d is not what the planner has", c.Revision, c.History)
	}
	f.states[c.Planner] = st
	return Taken, nil
}

// room drops the states that have faded, and reports whether one may come.
func (f *Follower) room(now time.Duration) bool {
	maps.DeleteFunc(f.states, func(_ string, s *state) bool { return now-s.came > s.valid+f.cfg.Fade })
	return len(f.states) < mostPlanners
}

// view is the state and one's own grants, by id.
func (s *state) view(grants []plan.Grant) policy.View {
	shares := make(map[string]policy.ServerView, len(s.factors)+len(grants))
	for id, x := range s.factors {
		shares[id] = policy.ServerView{ID: id, Factor: x}
	}
	for _, g := range grants {
		x := shares[g.ID]
		shares[g.ID] = policy.ServerView{ID: g.ID, Factor: cmp.Or(x.Factor, 1), Allow: g.Rate}
	}
	v := policy.View{Admit: s.admit, Hot: s.hot, Tenants: s.tenants}
	for _, id := range slices.Sorted(maps.Keys(shares)) {
		v.Servers = append(v.Servers, shares[id])
	}
	return v
}

// Hold is what is held of a planner, to be told with the next digest.
func (f *Follower) Hold(planner string) (h plan.Hold) {
	if s := f.states[planner]; s != nil {
		h.History, h.Revision = s.history, s.revision
	}
	h.Follows = f.held != nil && f.held.Planner == planner
	return h
}

// judge says whether a view counts whose planner knows so many of the ready servers.
func (f *Follower) judge(now time.Duration, v *plan.View, count int, ready []Server) (Reason, error) {
	if err := v.Check(); err != nil {
		return Absurd, err
	}
	faded := f.held == nil || now-f.came > f.held.Valid+f.cfg.Fade
	switch l, known := f.lasts[v.Planner]; {
	case v.Epoch < f.epoch:
		return Epoch, fmt.Errorf("epoch %d after %d", v.Epoch, f.epoch)
	case v.Epoch > uint64((now+mostAhead)/time.Second):
		return Epoch, fmt.Errorf("epoch %d is to come", v.Epoch)
	case known && v.Made <= l.made && now-l.came <= v.Valid+f.cfg.Fade:
		return Late, fmt.Errorf("made before the last of %s", v.Planner)
	case !known && len(f.lasts) >= 2*mostPlanners:
		return Another, fmt.Errorf("over %d planners", 2*mostPlanners)
	}
	if err := fits(v, count, ready); err != nil {
		return Absurd, err
	}
	// Guards against keys that move back and forth between what two planners think.
	if h := f.held; !faded && h.Epoch == v.Epoch && h.Planner != v.Planner && now-f.came <= h.Valid {
		return Another, fmt.Errorf("%s is followed", h.Planner)
	}
	return Taken, nil
}

// fits says what of a view can't be true of the list.
func fits(v *plan.View, count int, ready []Server) error {
	factors := map[string]float64{}
	for _, s := range v.Servers {
		factors[s.ID] = s.Factor
	}
	all, left := 0.0, 0.0
	for _, s := range ready {
		w := s.Weight
		if w < 0 {
			w = 1
		}
		factor, is := factors[s.ID]
		if !is {
			factor = 1
		}
		all += w
		left += w * factor
	}
	switch {
	case float64(count) < leastNamed*float64(len(ready)):
		return fmt.Errorf("knows %d of %d ready servers", count, len(ready))
	case left < (1-mostCut)*all:
		return fmt.Errorf("leaves %.2f of the weight", left/all)
	}
	return nil
}

// Now gives the view in force and how far it counts, from 1 while it is valid down to 0, evenly. What it says is blended with
// the node's own judgement, which is no factor and no limit; an empty view says nothing.
func (f *Follower) Now(now time.Duration) (policy.View, float64) {
	if f.held == nil {
		return policy.View{}, 0
	}
	trust := 1.0
	if age := now - f.came - f.held.Valid; age > 0 {
		trust = max(0, 1-float64(age)/float64(f.cfg.Fade))
	}
	if trust == 0 {
		return policy.View{}, 0
	}
	if trust == 1 {
		return f.held.View, 1
	}
	var v policy.View
	for _, s := range f.held.Servers {
		v.Servers = append(v.Servers, policy.ServerView{ID: s.ID, Factor: 1 - trust*(1-s.Factor), Allow: s.Allow / trust})
	}
	if a := f.held.Admit; a > 0 {
		v.Admit = 1 - trust*(1-a)
	}
	for _, h := range f.held.Hot {
		v.Hot = append(v.Hot, policy.Heat{Key: h.Key, Load: h.Load * trust})
	}
	return v, trust // what tenants use is true at the moment only
}

// Held is the view that was taken last, and when it came; nil: none was.
func (f *Follower) Held() (*plan.View, time.Duration) { return f.held, f.came }

// Epoch is the highest that was taken.
func (f *Follower) Epoch() uint64 { return f.epoch }
