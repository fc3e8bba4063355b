// Package follow decides what a forwarder does with planners' views: which planner it follows, which views it rejects, and
// how a view that is no longer valid fades back to the node's own judgement.
//
// Normally each planner's state is kept and updated by its changes (TakeChange), and the latest state of the followed planner
// is in force. There are three exceptions: a change that does not fit the held state is not applied, and the full state is
// requested (Hold); a view that is malformed, contradicts the server list or is out of order is rejected; a view that is no
// longer valid loses effect gradually (Now).
//
// The package does no I/O and reads no clock: the caller passes the Unix time with each event. The age of a view counts from
// its arrival, never by the planner's clock.
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
	maxEpochAhead = time.Hour // that an epoch may be ahead of the local clock; one wrong epoch must not lock out all others
	minKnownPart  = 0.5       // least part of the ready servers that a view must name
	maxWeightCut  = 0.75      // largest part of the weight that a view may remove
	maxPlanners   = 64        // whose states are kept
)

// Config configures a Follower. A zero Fade counts as 10 s.
type Config struct {
	Fade time.Duration // time in which a view that is no longer valid loses its effect
}

// Server is a ready server of the node's own list.
type Server struct {
	ID     string
	Weight float64 // as listed; a negative one counts as 1
}

// Outcome says whether a view or change was accepted, and if not, why.
type Outcome string

// Outcomes.
const (
	Accepted     Outcome = "taken"
	Invalid      Outcome = "absurd"  // malformed, or contradicts the server list
	Epoch        Outcome = "epoch"   // lower than one accepted before, or in the future
	OutOfOrder   Outcome = "late"    // made before the last one of its planner
	OtherPlanner Outcome = "another" // from another planner, while the followed one's view is valid
	Mismatch     Outcome = "doubt"   // a change from a state that is not held, or a wrong checksum: the full state is needed
)

// Follower keeps the view in force. It is not safe for concurrent use.
type Follower struct {
	cfg             Config
	epoch           uint64 // highest accepted
	held            *plan.View
	receivedAt      time.Duration        // of held
	heldPosition    position             // of held
	version         uint64               // see Version
	lastViews       map[string]viewTimes // by planner
	states          map[string]*state
	Counts          map[Outcome]int64 // of views and changes
	StaleGrants     int64             // changes whose grants were dropped as too long in transit
	sentDigests     []sentDigest      // oldest first
	awaitedPlanners int               // see SetAwaited
}

// viewTimes describes the last view accepted from a planner.
type viewTimes struct{ made, receivedAt time.Duration }

// position is a state's place in its planner's revisions; the zero one stands for a View, which has no revision.
type position struct{ history, revision uint64 }

// state is a planner's state, as rebuilt from its changes.
type state struct {
	position
	factors map[string]float64 // other than 1
	admit   float64
	hot     []policy.HotKey
	tenants []policy.TenantDemand
	viewTimes
	valid  time.Duration
	grants []plan.Grant // of the last change; valid as long as the state
}

// New returns a Follower that holds no view.
func New(cfg Config) *Follower {
	cfg.Fade = cmp.Or(cfg.Fade, 10*time.Second)
	return &Follower{cfg: cfg, lastViews: map[string]viewTimes{}, states: map[string]*state{}, Counts: map[Outcome]int64{}}
}

// TakeView takes a full view. Unless the outcome is Accepted, the error says why. ready are the ready servers of the node's
// own list.
func (f *Follower) TakeView(now time.Duration, v plan.View, ready []Server) (Outcome, error) {
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
	outcome, err := f.checkView(now, &v, count, ready)
	f.Counts[outcome]++
	if outcome == Accepted {
		f.adopt(now, v, position{})
	}
	return outcome, err
}

// adopt puts a view in force.
func (f *Follower) adopt(now time.Duration, v plan.View, heldPosition position) {
	h := f.held
	same := h != nil && heldPosition.revision > 0 && heldPosition == f.heldPosition && h.Planner == v.Planner && now-f.receivedAt <= h.Valid && slices.Equal(h.Servers, v.Servers)
	if !same {
		f.version++
	}
	f.epoch = max(f.epoch, v.Epoch)
	f.held, f.receivedAt, f.heldPosition = &v, now, heldPosition
	if f.lastViews[v.Planner] = (viewTimes{v.Made, now}); len(f.lastViews) > maxPlanners {
		maps.DeleteFunc(f.lastViews, func(_ string, l viewTimes) bool { return now-l.receivedAt > v.Valid+f.cfg.Fade })
	}
}

// Version increases whenever another view comes into force: while it stays the same, so does the result of Now for a valid
// view.
func (f *Follower) Version() uint64 { return f.version }

// TakeChange applies a planner's change. Unless the outcome is Accepted, the error says why; after Mismatch, Hold requests the
// full state. The state of a planner that is not followed is kept too, so that the node can follow it at once.
func (f *Follower) TakeChange(now time.Duration, c plan.Change, ready []Server) (Outcome, error) {
	outcome, err := f.applyChange(now, &c)
	if outcome == Accepted {
		st := f.states[c.Planner]
		if len(c.Grants) > 0 && !f.grantsFresh(now, c.Answers, c.After) {
			c.Grants = nil
			f.StaleGrants++
		}
		st.grants = c.Grants
		v := plan.View{Epoch: c.Epoch, Planner: c.Planner, Made: c.Made, Valid: c.Valid, View: st.view(f.minGrants(now, st))}
		switch outcome, err = f.checkView(now, &v, c.Count, ready); outcome {
		case Accepted:
			f.adopt(now, v, st.position)
		case OtherPlanner:
			f.limitGrants(now)
		}
	}
	f.Counts[outcome]++
	return outcome, err
}

// applyChange applies a change to the planner's state.
func (f *Follower) applyChange(now time.Duration, c *plan.Change) (Outcome, error) {
	if err := c.Check(); err != nil {
		return Invalid, err
	}
	old := f.states[c.Planner]
	switch {
	case old == nil && len(f.states) >= maxPlanners && !f.hasRoom(now):
		return OtherPlanner, fmt.Errorf("more than %d planners", maxPlanners)
	case old != nil && c.Made <= old.made && now-old.receivedAt <= c.Valid+f.cfg.Fade:
		return OutOfOrder, fmt.Errorf("made before the last one of planner %s", c.Planner)
	case c.Base > 0 && (old == nil || old.history != c.History || c.Base > old.revision || c.Revision < old.revision):
		delete(f.states, c.Planner)
		return Mismatch, fmt.Errorf("starts from revision %d of history %d, which is not held", c.Base, c.History)
	}
	st := &state{position: position{c.History, c.Revision}, factors: map[string]float64{}, admit: c.Admit, hot: c.Hot, tenants: c.Tenants, viewTimes: viewTimes{c.Made, now}, valid: c.Valid}
	if c.Base > 0 {
		st.factors = old.factors // shared with old: from here on, either the state is replaced or it is dropped
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
		return Mismatch, fmt.Errorf("checksum mismatch at revision %d of history %d", c.Revision, c.History)
	}
	f.states[c.Planner] = st
	return Accepted, nil
}

// hasRoom drops the states that have faded, and reports whether another one fits.
func (f *Follower) hasRoom(now time.Duration) bool {
	maps.DeleteFunc(f.states, func(_ string, s *state) bool { return now-s.receivedAt > s.valid+f.cfg.Fade })
	return len(f.states) < maxPlanners
}

// view returns the state and the given grants as a view, by id.
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

// Hold returns what is held of a planner's states, to be sent with the next digest.
func (f *Follower) Hold(planner string) (h plan.Hold) {
	if s := f.states[planner]; s != nil {
		h.History, h.Revision = s.history, s.revision
	}
	h.Follows = f.held != nil && f.held.Planner == planner
	return h
}

// checkView decides whether to accept a view from a planner that knows count of the ready servers.
func (f *Follower) checkView(now time.Duration, v *plan.View, count int, ready []Server) (Outcome, error) {
	if err := v.Check(); err != nil {
		return Invalid, err
	}
	faded := f.held == nil || now-f.receivedAt > f.held.Valid+f.cfg.Fade
	switch l, known := f.lastViews[v.Planner]; {
	case v.Epoch < f.epoch:
		return Epoch, fmt.Errorf("epoch %d is older than %d", v.Epoch, f.epoch)
	case v.Epoch > uint64((now+maxEpochAhead)/time.Second):
		return Epoch, fmt.Errorf("epoch %d is in the future", v.Epoch)
	case known && v.Made <= l.made && now-l.receivedAt <= v.Valid+f.cfg.Fade:
		return OutOfOrder, fmt.Errorf("made before the last one of planner %s", v.Planner)
	case !known && len(f.lastViews) >= 2*maxPlanners:
		return OtherPlanner, fmt.Errorf("more than %d planners", 2*maxPlanners)
	}
	if err := checkServers(v, count, ready); err != nil {
		return Invalid, err
	}
	// Following one planner at a time keeps keys from moving back and forth between the views of two planners.
	if h := f.held; !faded && h.Epoch == v.Epoch && h.Planner != v.Planner && now-f.receivedAt <= h.Valid {
		return OtherPlanner, fmt.Errorf("planner %s is followed", h.Planner)
	}
	return Accepted, nil
}

// checkServers returns an error if the view contradicts the node's own server list.
func checkServers(v *plan.View, count int, ready []Server) error {
	factors := map[string]float64{}
	for _, s := range v.Servers {
		factors[s.ID] = s.Factor
	}
	all, remaining := 0.0, 0.0
	for _, s := range ready {
		w := s.Weight
		if w < 0 {
			w = 1
		}
		factor, named := factors[s.ID]
		if !named {
			factor = 1
		}
		all += w
		remaining += w * factor
	}
	switch {
	case float64(count) < minKnownPart*float64(len(ready)):
		return fmt.Errorf("knows %d of %d ready servers", count, len(ready))
	case remaining < (1-maxWeightCut)*all:
		return fmt.Errorf("leaves %.2f of the weight", remaining/all)
	}
	return nil
}

// Now returns the view in force and its trust: 1 while it is valid, then falling linearly to 0. The view is already blended
// with the node's own judgement, which has no factors and no limits; an empty view has no effect.
func (f *Follower) Now(now time.Duration) (policy.View, float64) {
	if f.held == nil {
		return policy.View{}, 0
	}
	trust := 1.0
	if age := now - f.receivedAt - f.held.Valid; age > 0 {
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
		v.Hot = append(v.Hot, policy.HotKey{Key: h.Key, Load: h.Load * trust})
	}
	return v, trust // without the tenants: their rates hold for the moment only
}

// Held returns the last accepted view and when it arrived; nil: there is none.
func (f *Follower) Held() (*plan.View, time.Duration) { return f.held, f.receivedAt }

// Epoch returns the highest accepted epoch.
func (f *Follower) Epoch() uint64 { return f.epoch }
