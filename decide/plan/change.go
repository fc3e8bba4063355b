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

// The part of a view that is the same for all forwarders is a state with a revision. A Change leads from one revision to
// another.

const (
	factorSteps     = 1000 // steps of a published factor from 0 to 1
	hotKeepRatio    = 0.75 // part of hotMinLoad down to which a key that was published stays published
	hotTolerance    = 1.0 / 8
	tenantTolerance = 1.0 / 10
	noiseDeviations = 5.0 // square roots of a count that are noise: five standard deviations of the difference of two decaying counts
)

// Change is what a planner sends to a forwarder that holds one of its revisions.
type Change struct {
	Epoch      uint64                // as in View
	Planner    string                // as in View
	Made       time.Duration         // as in View
	Valid      time.Duration         // as in View
	History    uint64                // the Config.History of the planner's run; never 0
	Base       uint64                // the revision that the change starts from; 0: none, the change is the full state
	Revision   uint64                // the revision that it leads to; never 0
	Count      int                   // ready servers in the planner's list
	Servers    []policy.ServerView   // ID and Factor only, in thousandths: those that changed since Base; Factor 1 removes the server's entry
	Admit      float64               // part of the reads that may go to the origin, in thousandths; 0: all. Sent with every change
	Hot        []policy.HotKey       // if HotSet: the complete new set
	HotSet     bool                  // always set with Base 0
	Tenants    []policy.TenantDemand // if TenantsSet: the complete new set
	TenantsSet bool                  // always set with Base 0
	Sum        uint32                // of the state at Revision, see Sum
	Grants     []Grant               // for this forwarder only
	// With grants: the number of the latest digest that the planner has received from this forwarder, and the time since it
	// arrived. They let the forwarder bound the time that the grants were in transit, see MaxGrantTransit.
	Answers uint64
	After   time.Duration
}

// Grant is how many sends per second a forwarder may make to a cold server while the change is valid.
type Grant struct {
	ID   string
	Rate float64
}

// Hold is the state of a planner that a forwarder holds. The zero Hold stands for none: the forwarder needs the full state.
type Hold struct {
	History  uint64
	Revision uint64
	Follows  bool // the forwarder acts on this planner's state
}

// Check returns an error if the change is malformed. It does not compare it with a held state.
func (c *Change) Check() error {
	switch {
	case c.History == 0 || c.Revision == 0 || c.Base > c.Revision:
		return fmt.Errorf("invalid revisions: from %d to %d of history %d", c.Base, c.Revision, c.History)
	case c.Base == 0 && !(c.HotSet && c.TenantsSet):
		return errors.New("full state without its hot keys or tenants")
	case !c.HotSet && len(c.Hot) > 0 || !c.TenantsSet && len(c.Tenants) > 0:
		return errors.New("hot keys or tenants without their set flag")
	case c.Count < 0 || c.Count > MaxServers:
		return fmt.Errorf("server count %d is out of range", c.Count)
	case len(c.Grants) > 0 && (c.Answers == 0 || c.After < 0):
		return errors.New("grants without a valid digest number and age")
	case len(c.Grants) > MaxServers:
		return errors.New("too many grants")
	}
	seen := map[string]bool{}
	for _, g := range c.Grants {
		if !validID(g.ID) || seen[g.ID] || !validRate(g.Rate) || g.Rate == 0 {
			return fmt.Errorf("server %.40q: grant is invalid or listed twice", g.ID)
		}
		seen[g.ID] = true
	}
	v := View{Epoch: c.Epoch, Planner: c.Planner, Made: c.Made, Valid: c.Valid,
		View: policy.View{Servers: c.Servers, Admit: c.Admit, Hot: c.Hot, Tenants: c.Tenants}}
	return v.Check()
}

// Sum returns a hash of a state: the factors other than 1 in the order of the ids, the part of the reads admitted to the
// origin, and the hot keys and tenants in the order given.
func Sum(factors map[string]float64, admit float64, hot []policy.HotKey, tenants []policy.TenantDemand) uint32 {
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

// published is the state that is sent to forwarders, with the revisions at which its parts last changed.
type published struct {
	revision        uint64
	oldestBase      uint64 // the lowest revision that a change may start from
	factors         map[string]publishedFactor
	admit           float64
	hot             []policy.HotKey
	hotRevision     uint64
	tenants         []policy.TenantDemand
	tenantsRevision uint64
	checksum        uint32
}

type publishedFactor struct {
	factor    float64
	changedAt uint64
}

// refresh updates the published state, in steps: small movements do not make a new revision. It is called once per Update.
func (t *published) refresh(serving []*server, admit float64, hot []policy.HotKey, use []policy.TenantDemand, meanLoad, decaySeconds float64) {
	next := t.revision + 1
	changed := t.revision == 0
	ready := make(map[string]bool, len(t.factors))
	for _, s := range serving {
		f := math.Round(max(MinFactor, min(1, s.factor))*factorSteps) / factorSteps
		old, known := t.factors[s.ID]
		ready[s.ID] = true
		if !known && f == 1 || known && old.factor == f {
			continue
		}
		t.factors[s.ID], changed = publishedFactor{f, next}, true
	}
	for id, old := range t.factors { // a server that is no longer ready has no factor
		if !ready[id] && old.factor != 1 {
			t.factors[id], changed = publishedFactor{1, next}, true
		}
	}
	if a := math.Round(max(MinAdmit, min(1, admit))*factorSteps) / factorSteps; a != cmp.Or(t.admit, 1) {
		if t.admit, changed = a, true; a == 1 {
			t.admit = 0
		}
	}
	if h, is := nextHotKeys(t.hot, hot, meanLoad); is {
		t.hot, t.hotRevision, changed = h, next, true
	}
	if u, is := nextTenants(t.tenants, use, decaySeconds); is {
		t.tenants, t.tenantsRevision, changed = u, next, true
	}
	if !changed {
		return
	}
	t.revision = next
	t.prune()
	factors := make(map[string]float64, len(t.factors))
	for id, f := range t.factors {
		factors[id] = f.factor
	}
	t.checksum = Sum(factors, t.admit, t.hot, t.tenants)
}

// prune bounds the number of remembered servers: it drops the older half of those with factor 1. Changes from revisions
// before that are no longer possible.
func (t *published) prune() {
	if len(t.factors) <= 2*MaxServers {
		return
	}
	var plain []uint64
	for _, f := range t.factors {
		if f.factor == 1 {
			plain = append(plain, f.changedAt)
		}
	}
	if len(plain) == 0 {
		return
	}
	slices.Sort(plain)
	t.oldestBase = plain[len(plain)/2]
	maps.DeleteFunc(t.factors, func(_ string, f publishedFactor) bool { return f.factor == 1 && f.changedAt <= t.oldestBase })
}

// nextHotKeys returns the hot keys to publish, and whether that is a change: the set of keys differs, or a load differs by
// over an eighth and by more than noise. meanLoad is a cache's mean load, in requests per DecayTime.
func nextHotKeys(old, hot []policy.HotKey, meanLoad float64) ([]policy.HotKey, bool) {
	oldLoads := map[uint32]float64{}
	for _, h := range old {
		oldLoads[h.Key] = h.Load
	}
	var next []policy.HotKey
	changed := false
	for _, h := range hot {
		oldLoad, known := oldLoads[h.Key]
		if !known && h.Load < hotMinLoad {
			continue
		}
		h.Load = roundToWire(h.Load)
		difference := math.Abs(h.Load - oldLoad)
		changed = changed || !known || difference > hotTolerance*oldLoad && difference > noiseDeviations*math.Sqrt(oldLoad/max(1, meanLoad))
		next = append(next, h)
	}
	next = next[:min(len(next), MaxHotKeys)]
	return next, changed || len(next) != len(old)
}

// nextTenants returns the tenants to publish, and whether that is a change: the set of tenants differs, or a rate differs
// by over a tenth and by more than noise. decaySeconds is Config.DecayTime in seconds.
func nextTenants(old, use []policy.TenantDemand, decaySeconds float64) ([]policy.TenantDemand, bool) {
	oldRates := map[string]float64{}
	for _, u := range old {
		oldRates[u.Name] = u.Asked
	}
	next := make([]policy.TenantDemand, 0, len(use))
	changed := len(use) != len(old)
	for _, u := range use {
		oldRate, known := oldRates[u.Name]
		u.Asked = roundToWire(u.Asked)
		difference := math.Abs(u.Asked - oldRate)
		changed = changed || !known || difference > tenantTolerance*oldRate && difference > noiseDeviations*math.Sqrt(max(oldRate, u.Asked)/decaySeconds)
		next = append(next, u)
	}
	return next, changed
}

// roundToWire rounds to eight significant bits, which have a short encoding on the wire.
func roundToWire(x float64) float64 {
	part, exp := math.Frexp(x)
	return math.Ldexp(math.Round(part*256)/256, exp)
}

// floorToWire is like roundToWire, but never returns more than x.
func floorToWire(x float64) float64 {
	part, exp := math.Frexp(x)
	return math.Ldexp(math.Floor(part*256)/256, exp)
}

// Revision returns the revision of the published state; 0 before the first Update.
func (p *Planner) Revision() uint64 { return p.published.revision }

// HasColdServers reports whether there are grants to send: some server is cold and has a budget.
func (p *Planner) HasColdServers() bool { return len(p.cold) > 0 }

// Change returns the change from base to the published state, stamped with clock, the present time of the planner's wall
// clock. If whole is true, no change can start from base, and the result is the full state. The result has no grants and
// is the same for all forwarders with the same base. It takes O(servers whose factor ever changed). Update must have been
// called before.
func (p *Planner) Change(clock time.Duration, base Hold) (c Change, whole bool) {
	t := &p.published
	p.lastStamp = max(p.lastStamp+1, clock)
	c = Change{Epoch: p.epoch, Planner: p.cfg.ID, Made: p.lastStamp, Valid: p.cfg.Valid, History: p.cfg.History, Base: base.Revision, Revision: t.revision,
		Count: len(p.serving), Admit: t.admit, Sum: t.checksum}
	if whole = base.History != p.cfg.History || base.Revision == 0 || base.Revision < t.oldestBase || base.Revision > t.revision; whole {
		c.Base = 0
	}
	for id, f := range t.factors {
		if f.changedAt > c.Base && !(whole && f.factor == 1) {
			c.Servers = append(c.Servers, policy.ServerView{ID: id, Factor: f.factor})
		}
	}
	slices.SortFunc(c.Servers, func(x, y policy.ServerView) int { return cmp.Compare(x.ID, y.ID) })
	if c.HotSet = whole || t.hotRevision > c.Base; c.HotSet {
		c.Hot = slices.Clone(t.hot)
	}
	if c.TenantsSet = whole || t.tenantsRevision > c.Base; c.TenantsSet {
		c.Tenants = slices.Clone(t.tenants)
	}
	return c, whole
}
