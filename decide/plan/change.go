package plan

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lapisshelf/policy"
)

// What all forwarders are told alike is a state with a revision; a Change leads from one revision to another.

const (
	factorSteps = 1000 // of a factor from 0 to 1, as it is told
	hotStays    = 0.75 // part of hotLeast down to which a key that was told stays told
	hotOff      = 1.0 / 8
	useOff      = 1.0 / 10
	chances     = 5.0 // square roots of a count that are chance: five standard deviations of the difference of two fading counts
)

// Change is what a planner tells a forwarder that holds one of its revisions.
type Change struct {
	Epoch      uint64              // as in View
	Planner    string              // as in View
	Made       time.Duration       // as in View
	Valid      time.Duration       // as in View
	History    uint64              // which life of the planner's counting; never 0
	Base       uint64              // the revision that it counts from; 0: none, all is told
	Revision   uint64              // what is held after it; never 0
	Count      int                 // servers that serve by the planner's list
	Servers    []policy.ServerView // ID and Factor alone, in steps of a thousandth: what changed since Base; 1: nothing is told of it any more
	Admit      float64             // part of the reads that may go to the origin, in thousandths; 0: all. Always told
	Hot        []policy.Heat       // if HotSet: the whole new set
	HotSet     bool                // always with Base 0
	Tenants    []policy.Use        // if TenantsSet: the whole new set
	TenantsSet bool                // always with Base 0
	Sum        uint32              // of the state at Revision, see Sum
	Grants     []Grant             // for this forwarder alone
	// With grants: the number of the last digest of this forwarder that the planner has had, and how long it has had that.
	// By them a forwarder knows how long the grants may have been on their way, see MostTravel.
	Answers uint64
	After   time.Duration
}

// Grant is how many sends a second a forwarder may make to a cold server, for as long as the change is valid.
type Grant struct {
	ID   string
	Rate float64
}

// Hold is what a forwarder holds of a planner's states; the zero one: nothing, it wants all.
type Hold struct {
	History  uint64
	Revision uint64
	Follows  bool // this planner's is in force
}

// Check says what is wrong with a change by itself; nil: it makes sense.
func (c *Change) Check() error {
	switch {
	case c.History == 0 || c.Revision == 0 || c.Base > c.Revision:
		return fmt.Errorf("from revision %d to %d of history %d", c.Base, c.Revision, c.History)
	case c.Base == 0 && !(c.HotSet && c.TenantsSet):
		return errors.New("a whole state that leaves parts out")
	case !c.HotSet && len(c.Hot) > 0 || !c.TenantsSet && len(c.Tenants) > 0:
		return errors.New("parts that are not set")
	case c.Count < 0 || c.Count > MostServers:
		return fmt.Errorf("%d servers", c.Count)
	case len(c.Grants) > 0 && (c.Answers == 0 || c.After < 0):
		return errors.New("grants that answer no digest")
	case len(c.Grants) > MostServers:
		return errors.New("too many entries")
	}
	seen := map[string]bool{}
	for _, g := range c.Grants {
		if !name(g.ID) || seen[g.ID] || !rate(g.Rate) || g.Rate == 0 {
			return fmt.Errorf("server %.40q: an absurd grant", g.ID)
		}
		seen[g.ID] = true
	}
	v := View{Epoch: c.Epoch, Planner: c.Planner, Made: c.Made, Valid: c.Valid,
		View: policy.View{Servers: c.Servers, Admit: c.Admit, Hot: c.Hot, Tenants: c.Tenants}}
	return v.Check()
}

// Sum is a hash of a state: the factors that are not 1, the origin's part, hot keys and tenants, in any order of the servers
// and in the told order of the others.
func Sum(factors map[string]float64, admit float64, hot []policy.Heat, tenants []policy.Use) uint32 {
	var buf []byte
	text := func(s string) { buf = append(binary.AppendUvarint(buf, uint64(len(s))), s...) }
	number := func(x float64) { buf = binary.BigEndian.AppendUint64(buf, math.Float64bits(x)) }
	number(admit)
	for _, id := range slices.Sorted(maps.Keys(factors)) {
		if f := factors[id]; f != 1 {
			text(id)
			number(f)
		}
	}
	text("")
	for _, h := range hot {
		buf = binary.BigEndian.AppendUint32(buf, h.Key)
		number(h.Load)
	}
	text("")
	for _, u := range tenants {
		text(u.Name)
		number(u.Asked)
	}
	return uint32(xxhash.Sum64(buf))
}

// told is the state that forwarders are told, with the revisions at which its parts last changed.
type told struct {
	revision uint64
	oldest   uint64 // changes are known from here on
	factors  map[string]toldFactor
	admit    float64
	hot      []policy.Heat
	hotAt    uint64
	tenants  []policy.Use
	useAt    uint64
	sum      uint32
}

type toldFactor struct {
	factor float64
	at     uint64
}

// settle brings the told state in line with what is so, by steps: while what is so hardly moves there is no new revision.
// It is called once a Make.
func (t *told) settle(serving []*server, admit float64, hot []policy.Heat, use []policy.Use, mean, memory float64) {
	next := t.revision + 1
	changed := t.revision == 0
	now := make(map[string]bool, len(t.factors))
	for _, s := range serving {
		f := math.Round(max(LeastFactor, min(1, s.factor))*factorSteps) / factorSteps
		old, known := t.factors[s.ID]
		now[s.ID] = true
		if !known && f == 1 || known && old.factor == f {
			continue
		}
		t.factors[s.ID], changed = toldFactor{f, next}, true
	}
	for id, old := range t.factors { // what serves no more is told of no more
		if !now[id] && old.factor != 1 {
			t.factors[id], changed = toldFactor{1, next}, true
		}
	}
	if a := math.Round(max(LeastAdmit, min(1, admit))*factorSteps) / factorSteps; a != cmp.Or(t.admit, 1) {
		if t.admit, changed = a, true; a == 1 {
			t.admit = 0
		}
	}
	if h, is := nextHot(t.hot, hot, mean); is {
		t.hot, t.hotAt, changed = h, next, true
	}
	if u, is := nextUse(t.tenants, use, memory); is {
		t.tenants, t.useAt, changed = u, next, true
	}
	if !changed {
		return
	}
	t.revision = next
	t.forget()
	factors := make(map[string]float64, len(t.factors))
	for id, f := range t.factors {
		factors[id] = f.factor
	}
	t.sum = Sum(factors, t.admit, t.hot, t.tenants)
}

// forget keeps what is remembered of servers bounded: the oldest of those that nothing is told of go, and with them the
// changes from before.
func (t *told) forget() {
	if len(t.factors) <= 2*MostServers {
		return
	}
	var plain []uint64
	for _, f := range t.factors {
		if f.factor == 1 {
			plain = append(plain, f.at)
		}
	}
	if len(plain) == 0 {
		return
	}
	slices.Sort(plain)
	t.oldest = plain[len(plain)/2]
	maps.DeleteFunc(t.factors, func(_ string, f toldFactor) bool { return f.factor == 1 && f.at <= t.oldest })
}

// nextHot says what is to be told of hot keys, and whether that is new: other keys, or a load off by over an eighth and by
// more than chance. Mean is a cache's mean load, in requests of the planner's memory.
func nextHot(old, hot []policy.Heat, mean float64) ([]policy.Heat, bool) {
	before := map[uint32]float64{}
	for _, h := range old {
		before[h.Key] = h.Load
	}
	var next []policy.Heat
	moved := false
	for _, h := range hot {
		was, known := before[h.Key]
		if !known && h.Load < hotLeast {
			continue
		}
		h.Load = coarse(h.Load)
		off := math.Abs(h.Load - was)
		moved = moved || !known || off > hotOff*was && off > chances*math.Sqrt(was/max(1, mean))
		next = append(next, h)
	}
	next = next[:min(len(next), MostHot)]
	return next, moved || len(next) != len(old)
}

// nextUse says what is to be told of tenants, and whether that is new: others, or a rate off by over a tenth and by more
// than chance. Memory is the planner's, in seconds.
func nextUse(old, use []policy.Use, memory float64) ([]policy.Use, bool) {
	before := map[string]float64{}
	for _, u := range old {
		before[u.Name] = u.Asked
	}
	next := make([]policy.Use, 0, len(use))
	moved := len(use) != len(old)
	for _, u := range use {
		was, known := before[u.Name]
		u.Asked = coarse(u.Asked)
		off := math.Abs(u.Asked - was)
		moved = moved || !known || off > useOff*was && off > chances*math.Sqrt(max(was, u.Asked)/memory)
		next = append(next, u)
	}
	return next, moved
}

// coarse rounds to eight bits, which are short on the wire.
func coarse(x float64) float64 {
	part, exp := math.Frexp(x)
	return math.Ldexp(math.Round(part*256)/256, exp)
}

// floor is coarse, never above x.
func floor(x float64) float64 {
	part, exp := math.Frexp(x)
	return math.Ldexp(math.Floor(part*256)/256, exp)
}

// Revision is that of the state that is told now; 0 before the first Make.
func (p *Planner) Revision() uint64 { return p.told.revision }

// Cold reports whether grants are to be told: a server is cold and has a budget.
func (p *Planner) Cold() bool { return len(p.cold) > 0 }

// Change is what leads a forwarder that holds base to the present state, at this moment of the planner's clock; whole:
// nothing can be counted from base, and all is told. It is the same for all that hold the same, but for the grants, which
// are not in it. It takes O(servers whose factor ever changed). Only after a Make.
func (p *Planner) Change(clock time.Duration, base Hold) (c Change, whole bool) {
	t := &p.told
	p.stamp = max(p.stamp+1, clock)
	c = Change{Epoch: p.epoch, Planner: p.cfg.ID, Made: p.stamp, Valid: p.cfg.Valid, History: p.cfg.History, Base: base.Revision, Revision: t.revision,
		Count: len(p.serving), Admit: t.admit, Sum: t.sum}
	if whole = base.History != p.cfg.History || base.Revision == 0 || base.Revision < t.oldest || base.Revision > t.revision; whole {
		c.Base = 0
	}
	for id, f := range t.factors {
		if f.at > c.Base && !(whole && f.factor == 1) {
			c.Servers = append(c.Servers, policy.ServerView{ID: id, Factor: f.factor})
		}
	}
	slices.SortFunc(c.Servers, func(x, y policy.ServerView) int { return cmp.Compare(x.ID, y.ID) })
	if c.HotSet = whole || t.hotAt > c.Base; c.HotSet {
		c.Hot = slices.Clone(t.hot)
	}
	if c.TenantsSet = whole || t.useAt > c.Base; c.TenantsSet {
		c.Tenants = slices.Clone(t.tenants)
	}
	return c, whole
}
