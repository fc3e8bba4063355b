// Package follow decides what a forwarder does with planners' views: which planner's count, what a view must not say, and how
// one that ages fades back to the node's own judgement.
//
// The ordinary path: the newest view of the planner that is followed is in force. The departures: a view that makes no
// sense, contradicts the list or goes back is refused (Take); one that is no longer valid counts for less and less (Now).
// It does no I/O and reads no clock: the caller passes the time, Unix time, with each event. Age counts from
// when a view came, never by the planner's clock.
package follow

import (
	"cmp"
	"fmt"
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
)

// Follower keeps the view in force. It is not safe for concurrent use.
type Follower struct {
	cfg    Config
	epoch  uint64 // the highest taken
	held   *plan.View
	came   time.Duration    // when it did
	lasts  map[string]last  // of planners
	Counts map[Reason]int64 // of views, by what became of them
}

// last is the last view taken of a planner.
type last struct{ made, came time.Duration }

// New makes a follower that holds no view.
func New(cfg Config) *Follower {
	cfg.Fade = cmp.Or(cfg.Fade, 10*time.Second)
	return &Follower{cfg: cfg, lasts: map[string]last{}, Counts: map[Reason]int64{}}
}

// Take takes a view, or says why not. Ready are the servers that serve by the node's own list.
func (f *Follower) Take(now time.Duration, v plan.View, ready []Server) (Reason, error) {
	why, err := f.judge(now, &v, ready)
	f.Counts[why]++
	if why != Taken {
		return why, err
	}
	f.epoch = max(f.epoch, v.Epoch)
	f.held, f.came = &v, now
	if f.lasts[v.Planner] = (last{v.Made, now}); len(f.lasts) > mostPlanners {
		for name, l := range f.lasts {
			if now-l.came > v.Valid+f.cfg.Fade {
				delete(f.lasts, name)
			}
		}
	}
	return Taken, nil
}

func (f *Follower) judge(now time.Duration, v *plan.View, ready []Server) (Reason, error) {
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
	if err := fits(v, ready); err != nil {
		return Absurd, err
	}
	// Guards against keys that move back and forth between what two planners think.
	if h := f.held; !faded && h.Epoch == v.Epoch && h.Planner != v.Planner && now-f.came <= h.Valid {
		return Another, fmt.Errorf("%s is followed", h.Planner)
	}
	return Taken, nil
}

// fits says what of a view can't be true of the list.
func fits(v *plan.View, ready []Server) error {
	factors := map[string]float64{}
	for _, s := range v.Servers {
		factors[s.ID] = s.Factor
	}
	named, all, left := 0, 0.0, 0.0
	for _, s := range ready {
		w := s.Weight
		if w < 0 {
			w = 1
		}
		factor, is := factors[s.ID]
		if is {
			named++
		} else {
			factor = 1
		}
		all += w
		left += w * factor
	}
	switch {
	case float64(named) < leastNamed*float64(len(ready)):
		return fmt.Errorf("names %d of %d ready servers", named, len(ready))
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
		v.Servers = append(v.Servers, policy.Share{ID: s.ID, Factor: 1 - trust*(1-s.Factor), Allow: s.Allow / trust})
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
