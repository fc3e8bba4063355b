package plan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"lapisshelf/policy"
)

const ( // each for a reason that holds anywhere
	worse      = 0.2  // beyond the fleet's middle by that part, a server's answers are no chance
	well       = 0.05 // within it by that part, it has recovered
	fewest     = 10.0 // answers below which nothing is said of a server
	cutASec    = 0.5  // what is left of a factor after a second of being worse
	backASec   = 1.25 // what it grows by in a second of being well
	coldSafety = 0.5  // as the module's: part of the fall budget that is used
	strained   = 1.0 / 3
	admitCut   = 0.8 // of the part of the reads that may go to a strained origin
	admitBack  = 0.2 // more of them in a second of its being well
	hotLeast   = 0.5 // caches' mean loads that make a key worth naming
	mostTimes  = 2.0 // what one forwarder counts for, against the middle one
)

// Planner makes views. It is not safe for concurrent use.
type Planner struct {
	state
}

// New makes a planner that knows nothing.
func New(cfg Config) *Planner {
	cfg.Valid, cfg.Silent = cmp.Or(cfg.Valid, 3*time.Second), cmp.Or(cfg.Silent, 5*time.Second)
	cfg.Memory, cfg.Move = cmp.Or(cfg.Memory, 3*time.Second), cmp.Or(cfg.Move, 0.05)
	cfg.Forwarders = cmp.Or(cfg.Forwarders, 4096)
	return &Planner{state{cfg: cfg, admit: 1, servers: map[string]*server{}, forwarders: map[string]*forwarder{}}}
}

// Roster takes the whole server list. What was learned of a server goes with it.
func (p *Planner) Roster(now time.Duration, list []policy.Server) {
	named := map[string]bool{}
	for _, e := range list {
		if p.cfg.OriginKind != "" && e.Kind == p.cfg.OriginKind {
			continue
		}
		s := p.servers[e.ID]
		if s == nil {
			s = &server{factor: 1}
			p.servers[e.ID] = s
		}
		if e.Started > s.Started { // what was learned of the process before is void
			s.factor = 1
			for _, f := range p.ordered() {
				delete(f.seen, e.ID)
			}
		}
		s.Server, named[e.ID] = e, true
	}
	maps.DeleteFunc(p.servers, func(id string, _ *server) bool { return !named[id] })
	p.serving = p.serving[:0]
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		if s := p.servers[id]; s.State == policy.Ready {
			p.serving = append(p.serving, s)
		}
	}
}

// Candidate is a planner that keeps an entry of itself under a lease.
type Candidate struct {
	ID    string
	Start time.Duration // when it took its lease, Unix time
}

// Lead tells which planners hold a lease. The one that has held its longest leads, the lower id of two; the epoch is the
// second in which it took the lease, and never goes back: a leader that is lost and comes back has a later lease. All
// planners tell the epoch that they know of, so that nobody depends on the leader alone. None at all changes nothing.
func (p *Planner) Lead(list []Candidate) (leader string) {
	if len(list) == 0 {
		return p.leader
	}
	first := slices.MinFunc(list, func(x, y Candidate) int { return cmp.Or(cmp.Compare(x.Start, y.Start), cmp.Compare(x.ID, y.ID)) })
	p.leader, p.epoch = first.ID, max(p.epoch, uint64(max(0, first.Start/time.Second)))
	return p.leader
}

// Epoch is the one that views tell.
func (p *Planner) Epoch() uint64 { return p.epoch }

// Digest takes what a forwarder saw. An error says why it counts for nothing.
func (p *Planner) Digest(now time.Duration, d Digest) error {
	if err := d.Check(); err != nil {
		return err
	}
	f := p.forwarders[d.From]
	switch {
	case f == nil && len(p.forwarders) >= p.cfg.Forwarders:
		return fmt.Errorf("%d forwarders already", len(p.forwarders))
	case f == nil:
		f = &forwarder{start: d.Start}
		p.forwarders[d.From], p.order = f, nil
	case d.Start < f.start, d.Start == f.start && d.Seq <= f.seq:
		return fmt.Errorf("older than what it said before")
	}
	if d.Start > f.start { // its grants run on: what it was given before it restarted may have been used
		f.seen = nil
	}
	f.start, f.seq, f.heard = d.Start, d.Seq, now
	if f.seen == nil {
		f.seen, f.hot, f.use = map[string]*tally{}, map[uint32]*fade{}, map[string]*fade{}
	}
	f.asked.add(now, p.cfg.Memory, float64(d.Asked))
	f.answered.add(now, p.cfg.Memory, float64(d.Answered))
	// Guards against reads turned away while the origin is merely slow: a read that is not fetched is missed again
	// (fleet model, 400 nodes, an origin six times slower: service 0.943 with late answers counted, 0.955 without views).
	o := d.Origin
	f.origin.take(now, p.cfg.Memory, &Load{Sends: o.Sends, Timely: o.Timely + o.Late, Full: o.Full, Failed: o.Failed})
	for i := range d.Servers {
		l := &d.Servers[i]
		if p.servers[l.ID] == nil {
			continue // the list alone says who there is
		}
		t := f.seen[l.ID]
		if t == nil {
			t = &tally{}
			f.seen[l.ID] = t
		}
		t.take(now, p.cfg.Memory, l)
	}
	for _, h := range d.Hot {
		if f.hot[h.Key] == nil && len(f.hot) >= 2*MostHot {
			continue
		}
		added(f.hot, h.Key).add(now, p.cfg.Memory, float64(h.Asked))
	}
	for _, u := range d.Tenants {
		if f.use[u.Tenant] == nil && len(f.use) >= MostTenants {
			continue
		}
		added(f.use, u.Tenant).add(now, p.cfg.Memory, float64(u.Asked))
	}
	return nil
}

// Make looks at all that was told and settles weights and budgets. It is to be called a few times a second.
func (p *Planner) Make(now time.Duration) {
	since := min(now-p.made, time.Second)
	p.made = now
	before := len(p.forwarders)
	maps.DeleteFunc(p.forwarders, func(_ string, f *forwarder) bool {
		return now-f.heard > p.cfg.Silent && f.running(now) == 0 // while a grant runs it is remembered
	})
	if len(p.forwarders) != before {
		p.order = nil
	}
	p.pool(now)
	if since > 0 {
		p.weigh(since.Seconds())
		p.limit(now, since.Seconds())
	}
	p.heat(now)
}

// pool adds up what the forwarders saw of each server, none of them for more than twice the middle one.
// Guards against a forwarder whose absurd digests would decide for all.
func (p *Planner) pool(now time.Duration) {
	span := p.cfg.Memory
	p.answered, p.asked = 0, 0
	var answered, asked, origin []float64
	for _, f := range p.ordered() {
		answered = append(answered, f.answered.at(now, span))
		asked = append(asked, f.asked.at(now, span))
		origin = append(origin, f.origin.total(now, span))
	}
	mostAnswered, mostAsked, mostOrigin := bound(answered), bound(asked), bound(origin)
	p.fetches = tallied{}
	for _, f := range p.ordered() {
		p.answered += min(f.answered.value, mostAnswered)
		p.asked += min(f.asked.value, mostAsked)
		p.fetches.add(&f.origin, mostOrigin)
	}
	for id, s := range p.servers {
		var totals []float64
		for _, f := range p.ordered() {
			if t := f.seen[id]; t != nil {
				totals = append(totals, t.total(now, span))
			}
		}
		most := bound(totals)
		s.pooled = tallied{}
		for _, f := range p.ordered() {
			if t := f.seen[id]; t != nil {
				s.pooled.add(t, most)
			}
		}
	}
}

// bound is what one forwarder counts for at most.
func bound(list []float64) float64 {
	list = slices.DeleteFunc(list, func(x float64) bool { return x <= 0 })
	return mostTimes * middle(list)
}

// weigh settles the factors, by so many seconds since the last time.
func (p *Planner) weigh(seconds float64) {
	ready := p.serving
	var shares []float64
	for _, s := range ready {
		if s.pooled.total >= fewest {
			shares = append(shares, s.pooled.badShare())
		}
	}
	usual := middle(shares)
	next, before, after := make([]float64, len(ready)), 0.0, 0.0
	for i, s := range ready {
		next[i] = s.factor
		bad := s.pooled.badShare()
		switch {
		case s.pooled.total >= fewest && bad > usual+worse:
			next[i], s.word = max(LeastFactor, s.factor*math.Pow(cutASec, seconds)), "answers worse than the fleet"
		case s.pooled.total < fewest && s.factor == 1:
			s.word = "too few answers to tell"
		case s.pooled.total < fewest || bad <= usual+well:
			next[i], s.word = min(1, s.factor*math.Pow(backASec, seconds)), "as well as the fleet"
			if next[i] < 1 {
				s.word = "recovers"
			}
		default:
			s.word = "stays as it is"
		}
		before += s.weight() * s.factor
		after += s.weight() * next[i]
	}
	moved := 0.0 // part of the keys
	for i, s := range ready {
		if before > 0 && after > 0 {
			moved += math.Abs(s.weight()*s.factor/before-s.weight()*next[i]/after) / 2
		}
	}
	part := 1.0
	if most := p.cfg.Move * seconds; moved > most {
		part = most / moved
	}
	for i, s := range ready {
		s.factor += (next[i] - s.factor) * part
	}
}

// limit settles what the fleet may send a second to cold servers, and what part of the reads may go to the origin.
func (p *Planner) limit(now time.Duration, seconds float64) {
	perSecond := 1 / p.cfg.Memory.Seconds() // a fading count over its span is what comes in the span
	sum := 0.0
	for _, s := range p.serving {
		sum += s.weight() * s.factor * p.warmth(now, s)
	}
	for _, s := range p.servers {
		s.allow = 0
		if s.State == policy.Ready && p.cfg.FallMultiple > 0 && sum > 0 && p.warmth(now, s) < 1 {
			s.allow = coldSafety * p.cfg.FallMultiple * p.answered * perSecond * s.weight() * s.factor * p.warmth(now, s) / sum
		}
	}
	switch bad := p.fetches.badShare(); {
	case p.fetches.total >= fewest && bad > strained && now >= p.admitNext:
		p.admit, p.admitNext = max(LeastAdmit, p.admit*admitCut), now+p.cfg.Memory
	case bad <= strained/2:
		p.admit = min(1, p.admit+admitBack*seconds)
	}
}

// heat finds the keys that bring at least half a cache's mean load.
func (p *Planner) heat(now time.Duration) {
	p.hot, p.use = p.hot[:0], p.use[:0]
	keys, tenants := map[uint32][]float64{}, map[string][]float64{}
	for _, f := range p.ordered() {
		for k, x := range f.hot {
			if n := x.at(now, p.cfg.Memory); n < 0.1 {
				delete(f.hot, k)
			} else {
				keys[k] = append(keys[k], n)
			}
		}
		for t, x := range f.use {
			if n := x.at(now, p.cfg.Memory); n < 0.1 {
				delete(f.use, t)
			} else {
				tenants[t] = append(tenants[t], n)
			}
		}
	}
	mean := p.asked / max(1, float64(len(p.serving)))
	for k, list := range keys {
		if load := capped(list) / max(mean, fewest); load >= hotLeast {
			p.hot = append(p.hot, policy.Heat{Key: k, Load: load})
		}
	}
	slices.SortFunc(p.hot, func(x, y policy.Heat) int { return cmp.Or(cmp.Compare(y.Load, x.Load), cmp.Compare(x.Key, y.Key)) })
	p.hot = p.hot[:min(len(p.hot), MostHot)]
	for t, list := range tenants {
		p.use = append(p.use, policy.Use{Name: t, Asked: capped(list) / p.cfg.Memory.Seconds()})
	}
	slices.SortFunc(p.use, func(x, y policy.Use) int { return cmp.Or(cmp.Compare(y.Asked, x.Asked), cmp.Compare(x.Name, y.Name)) })
	p.use = p.use[:min(len(p.use), MostTenants)]
}

// capped adds up, none for more than twice the middle one.
func capped(list []float64) (sum float64) {
	most := mostTimes * middle(list)
	for _, x := range list {
		sum += min(x, most)
	}
	return sum
}

// View gives what one forwarder is told now, at this moment of the planner's clock. It grants that forwarder its part of
// the budgets for as long as the view is valid.
func (p *Planner) View(now, clock time.Duration, to string) View {
	p.stamp = max(p.stamp+1, clock)
	v := View{Epoch: p.epoch, Planner: p.cfg.ID, Made: p.stamp, Valid: p.cfg.Valid}
	v.Hot, v.Tenants = slices.Clone(p.hot), slices.Clone(p.use)
	f := p.forwarders[to]
	for _, s := range p.serving {
		share := policy.Share{ID: s.ID, Factor: max(LeastFactor, min(1, s.factor))}
		if s.allow > 0 && f != nil {
			share.Allow = max(leastGrant, p.grant(now, s.ID, s.allow, f))
		}
		v.Servers = append(v.Servers, share)
	}
	if p.admit < 1 {
		v.Admit = max(LeastAdmit, p.admit)
	}
	return v
}

// leastGrant is told where nothing is left, since 0 means no limit: one send in a thousand seconds.
const leastGrant = 0.001

// grant gives a forwarder its part of a budget: by what it asks for, and no more than the others' running grants leave.
func (p *Planner) grant(now time.Duration, of string, budget float64, to *forwarder) float64 {
	others, demand := 0.0, 0.0
	for _, f := range p.ordered() {
		demand += 1 + f.asked.at(now, p.cfg.Memory)
		if f != to {
			others += f.granted(now, of)
		}
	}
	part := budget * (1 + to.asked.value) / demand
	got := max(0, min(part, budget-others))
	to.hold(now, of, grant{got, now + p.cfg.Valid})
	return got
}

// Outstanding is what all forwarders together may be sending a second to a server by the grants that run.
func (p *Planner) Outstanding(now time.Duration, of string) (sum float64) {
	for _, f := range p.ordered() {
		sum += f.granted(now, of)
	}
	return sum
}

// Explain tells why each ready server has the weight it has, by id.
func (p *Planner) Explain() (list []Reason) {
	for _, s := range p.serving {
		list = append(list, Reason{ID: s.ID, Weight: s.weight(), Factor: s.factor, Allow: s.allow, Bad: s.pooled.badShare(),
			Answers: s.pooled.total, P50: s.pooled.within(0.5), P99: s.pooled.within(0.99), Word: s.word})
	}
	return list
}

// Followed is how many forwarders are heard.
func (p *Planner) Followed() int { return len(p.forwarders) }
