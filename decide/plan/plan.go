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
	slack      = 1.5 // by which it may be over that while what is in the middle falls
	leastSkew  = 0.5 // of the requests that a server gets, against what it should; a liar moves it no further
	mostSkew   = 4.0
	unknown    = 5.0         // answers that count as if it got what it should, beside what is known
	longer     = 4           // times the memory in which that fades: what a server gets changes slowly
	leastPart  = 0.5         // of all servers' parts, over which a digest's rest is spread at least
	keysHeld   = 1 << 14     // that are counted at once
	travels    = time.Second // for which a view is on its way at most; it counts from when it comes, and so do grants
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
	cfg.History = cmp.Or(cfg.History, 1)
	return &Planner{state{cfg: cfg, admit: 1, servers: map[string]*server{}, forwarders: map[string]*forwarder{}, granted: map[string]*shared{},
		keys: map[uint32]float64{}, users: map[string]float64{}, told: told{factors: map[string]toldFactor{}}}}
}

// Roster takes the whole server list. What was learned of a server goes with it.
func (p *Planner) Roster(now time.Duration, list []policy.Server) {
	p.settle(now) // by the list that it was told under
	named := map[string]bool{}
	for _, e := range list {
		if p.cfg.OriginKind != "" && e.Kind == p.cfg.OriginKind {
			continue
		}
		s := p.servers[e.ID]
		if s == nil {
			s = &server{factor: 1, begun: p.starts.Begun(now, e.ID, e.Started)}
			p.servers[e.ID] = s
		} else if e.Started != s.Started { // what was learned of the process before is void, whatever its clock says
			s.factor, s.pooled, s.known, s.due, s.begun = 1, tallied{}, 0, 0, p.starts.Begun(now, e.ID, e.Started)
		}
		s.Server, named[e.ID] = e, true
	}
	p.starts.Watched()
	maps.DeleteFunc(p.servers, func(id string, s *server) bool {
		if !named[id] {
			p.starts.Left(id, s.Started, s.begun)
		}
		return !named[id]
	})
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
	case f.before != 0 && d.Start == f.before, d.Start == f.start && d.Seq <= f.seq:
		return fmt.Errorf("older than what it said before")
	}
	if d.Start != f.start { // a restart, also where the wall clock was set back before it
		f.before = f.start
	}
	// A restart changes nothing else: what it said before fades, and its grants run on, for they may have been used.
	f.start, f.seq, f.heard = d.Start, d.Seq, now
	if p.pending = append(p.pending, heardOf{f, d}); len(p.pending) >= 64+2*len(p.forwarders) {
		p.settle(now)
	}
	return nil
}

// Make looks at all that was told and settles weights, budgets and what is told. It is to be called a few times a second. It
// takes O(forwarders + servers + grants that run), and for each digest since the last call O(servers that it names).
func (p *Planner) Make(now time.Duration) {
	since := min(now-p.made, time.Second)
	p.made = now
	before := len(p.forwarders)
	maps.DeleteFunc(p.forwarders, func(_ string, f *forwarder) bool { return now-f.heard > p.cfg.Silent })
	if len(p.forwarders) != before {
		p.order = nil
	}
	p.settle(now)
	p.pool(since)
	if since > 0 {
		p.weigh(since.Seconds())
		p.limit(now, since.Seconds())
	}
	maps.DeleteFunc(p.granted, func(_ string, s *shared) bool {
		s.renew(now - travels)
		return len(s.by) == 0
	})
	mean := p.asked / max(1, float64(len(p.serving)))
	hot, use := p.heat(mean)
	p.told.settle(p.serving, p.admit, hot, use, mean, p.cfg.Memory.Seconds())
}

// settle brings all sums up to date: they fade, and the digests since the last time are counted, none of a forwarder for more
// than twice the middle one.
// Guards against a forwarder whose absurd digests would decide for all.
func (p *Planner) settle(now time.Duration) {
	left := 1.0
	if now > p.settled {
		left = math.Exp(-float64(now-p.settled) / float64(p.cfg.Memory))
		p.settled = now
	}
	for _, f := range p.forwarders {
		f.fade(left)
	}
	for k := range p.keys {
		p.keys[k] *= left
	}
	for t := range p.users {
		p.users[t] *= left
	}
	p.parts, p.bases = 0, 0
	leftLong := math.Pow(left, 1.0/longer)
	for _, s := range p.servers {
		s.base, s.part = 0, 0
		s.pooled.fade(left)
		s.known, s.due = s.known*leftLong, s.due*leftLong
	}
	for _, s := range p.serving {
		s.base = s.weight() * s.factor * p.warmth(now, s)
		s.part = s.base * s.skew()
		p.bases += s.base
		p.parts += s.part
	}
	if len(p.pending) == 0 {
		return
	}
	for i := range p.pending {
		p.pending[i].by.hear(&p.pending[i].d)
	}
	var said, asked []float64
	for _, f := range p.forwarders {
		said, asked = append(said, f.said), append(asked, f.asked)
	}
	p.middle, p.middleAsk = bound(said), bound(asked)
	for _, f := range p.ordered() {
		p.takeBack(now, f)
	}
	for i := range p.pending {
		p.count(now, p.pending[i].by, &p.pending[i].d)
	}
	clear(p.pending)
	p.pending = p.pending[:0]
	for _, s := range p.servers { // each gets its part of the rest of those that did not name it
		s.pooled.plus(&p.rest, s.part)
		s.pooled.plus(&s.skip, -s.part)
		s.skip = tallied{}
	}
	p.rest = tallied{}
}

// hear adds up what a forwarder says, as it says it.
func (f *forwarder) hear(d *Digest) {
	f.asked += float64(d.Asked)
	f.answered += float64(d.Answered)
	f.said += float64(d.answers())
	// Guards against reads turned away while the origin is merely slow: a read that is not fetched is missed again
	// (fleet model, 400 nodes, an origin six times slower: service 0.943 with late answers counted, 0.955 without views).
	f.origin.add(&Load{Timely: d.Origin.Timely + d.Origin.Late, Full: d.Origin.Full, Failed: d.Origin.Failed}, 1)
}

// answers is how many the digest tells of, the origin's left out.
func (d *Digest) answers() int {
	n := d.Rest.answers()
	for i := range d.Servers {
		n += d.Servers[i].answers()
	}
	for i := range d.Bad {
		n += d.Bad[i].bad()
	}
	return n
}

// fits is the part of n that still fits under most.
func fits(n, most float64) float64 {
	if n <= most {
		return 1
	}
	return max(0, most) / n
}

// count adds a digest to the sums. It takes O(servers that the forwarder named of late).
func (p *Planner) count(now time.Duration, f *forwarder, d *Digest) {
	p.serial++
	f.sweep(now, p.cfg.Memory)
	if f.named == nil {
		f.named = map[string]*taken{}
	}
	all := float64(d.answers())
	part := fits(all, p.middle-f.taken)
	f.taken += all * part

	// The rest is spread over the servers of which not all is told, by their parts; its bad answers over those of which
	// nothing is.
	open := p.parts
	for i := range d.Servers {
		if s := p.servers[d.Servers[i].ID]; s != nil {
			s.named = p.serial
			open -= s.part
		}
	}
	var rest tallied
	if d.Brief && p.parts > 0 {
		open = max(open, leastPart*p.parts)
		quiet := open
		sum := d.Rest
		for i := range d.Bad { // told by name; that they were answers stays in sum
			sum.Timely += d.Bad[i].bad()
			if s := p.servers[d.Bad[i].ID]; s != nil {
				quiet -= s.part
			}
		}
		bad := float64(d.Rest.bad()) * part / max(quiet, leastPart*p.parts)
		cut := fits(bad, p.middle/p.parts-f.restBad)
		rest.add(&sum, part*cut/open)
		rest.bad = bad * cut
		f.rest += rest.total
		f.restBad += rest.bad
		past := float64(d.Past) / tenths
		keep := fits(past, p.middle)
		for i := range d.Bad {
			if s := p.servers[d.Bad[i].ID]; s != nil {
				s.named = p.serial
				s.skip.bad += rest.bad
				due := keep * past * s.base / p.bases
				s.due += due
				s.known += min(keep*float64(d.Bad[i].Sends)/tenths, 2*mostSkew*due) // what lies beyond is a lie
			}
		}
		if rest.bad > 0 {
			p.narrow(now, f, rest.bad)
		}
		p.rest.plus(&rest, 1)
	}
	for i := range d.Servers {
		if s := p.servers[d.Servers[i].ID]; s != nil { // the list alone says who there is
			s.skip.plus(&rest, 1)
			l := &d.Servers[i]
			s.pooled.add(l, p.name(now, f, s, float64(l.answers())*part, float64(l.bad())*part)*part)
		}
	}
	for i := range d.Bad {
		if s := p.servers[d.Bad[i].ID]; s != nil {
			n := float64(d.Bad[i].bad()) * part
			s.pooled.bad += n * p.name(now, f, s, n, n)
		}
	}
	p.ask(f, d)
}

// share is what one forwarder's answers of a server count for at most.
func (p *Planner) share(s *server) float64 {
	if p.parts == 0 {
		return mostTimes
	}
	return max(mostTimes, p.middle*s.part/p.parts)
}

// name gives the part that counts of n answers of a server told by name, so many of them bad.
func (p *Planner) name(now time.Duration, f *forwarder, s *server, n, bad float64) float64 {
	if n == 0 {
		return 0
	}
	h := f.named[s.ID]
	if h == nil {
		h = &taken{when: now}
		f.named[s.ID] = h
	}
	part := fits(n, p.share(s)-h.at(now, p.cfg.Memory).total-s.part*f.restBad)
	h.total += n * part
	h.bad += bad * part
	return part
}

// takeBack takes back what a forwarder has counted for beyond twice the middle one.
// Guards against a forwarder that is heard before the others, when what is in the middle is what it says itself.
func (p *Planner) takeBack(now time.Duration, f *forwarder) {
	if over := 1 - p.middle/f.taken; f.taken > slack*p.middle {
		for _, s := range p.servers {
			x := tallied{total: s.part * f.rest * over, bad: s.part * f.restBad * over}
			if h := f.named[s.ID]; h != nil {
				h.at(now, p.cfg.Memory)
				x.total, x.bad = x.total+h.total*over, x.bad+h.bad*over
				h.total, h.bad = h.total*(1-over), h.bad*(1-over)
			}
			s.pooled.total, s.pooled.bad = max(0, s.pooled.total-x.total), max(0, s.pooled.bad-x.bad)
		}
		f.taken, f.rest, f.restBad = p.middle, f.rest*(1-over), f.restBad*(1-over)
	}
	if f.askedTaken > slack*p.middleAsk { // whose keys they were is not known
		f.askedTaken = p.middleAsk
		clear(p.keys)
		clear(p.users)
	}
}

// narrow takes from servers what of a rest's bad answers would bring a forwarder over its share of them: it has named them.
func (p *Planner) narrow(now time.Duration, f *forwarder, bad float64) {
	for id, h := range f.named {
		if s := p.servers[id]; s != nil && s.part > 0 && s.named != p.serial {
			if over := h.at(now, p.cfg.Memory).total + s.part*f.restBad - p.share(s); over > 0 {
				s.skip.bad += min(bad, over/s.part)
			}
		}
	}
}

// ask adds up keys and tenants: together no more than the requests that count.
func (p *Planner) ask(f *forwarder, d *Digest) {
	part := fits(float64(d.Asked), p.middleAsk-f.askedTaken)
	f.askedTaken += float64(d.Asked) * part
	most := float64(d.Asked) * part
	n := 0.0
	for _, h := range d.Hot {
		n += float64(h.Asked)
	}
	part = fits(n, most)
	for _, h := range d.Hot {
		if _, known := p.keys[h.Key]; known || len(p.keys) < keysHeld {
			p.keys[h.Key] += float64(h.Asked) * part
		}
	}
	n = 0
	for _, u := range d.Tenants {
		n += float64(u.Asked)
	}
	part = fits(n, most)
	for _, u := range d.Tenants {
		if _, known := p.users[u.Tenant]; known || len(p.users) < 4*MostTenants {
			p.users[u.Tenant] += float64(u.Asked) * part
		}
	}
}

// pool adds up what all forwarders told of their requests and of the origin.
func (p *Planner) pool(since time.Duration) {
	p.answered, p.asked, p.demand, p.fetches = 0, 0, 0, tallied{}
	var answered, origin []float64
	for _, f := range p.forwarders {
		answered, origin = append(answered, f.answered), append(origin, f.origin.total)
	}
	mostAnswered, mostOrigin := bound(answered), bound(origin)
	for _, f := range p.ordered() {
		p.answered += min(f.answered, mostAnswered)
		p.asked += min(f.asked, p.middleAsk)
		p.demand += 1 + f.asked
		p.fetches.plus(&f.origin, fits(f.origin.total, mostOrigin))
	}
	// Digests come a second apart: between them the sums fall, by more than what is told anew for tenants.
	if now := p.asked / p.cfg.Memory.Seconds(); p.rate == 0 {
		p.rate = now
	} else {
		p.rate += (now - p.rate) * (1 - math.Exp(-float64(since)/float64(p.cfg.Memory)))
	}
}

// bound is what one forwarder counts for at most.
func bound(list []float64) float64 {
	return mostTimes * middle(slices.DeleteFunc(list, func(x float64) bool { return x <= 0 }))
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
	p.cold = p.cold[:0]
	for _, s := range p.servers {
		s.allow = 0
	}
	for _, s := range p.serving {
		if p.cfg.FallMultiple > 0 && sum > 0 && p.warmth(now, s) < 1 {
			s.allow = coldSafety * p.cfg.FallMultiple * p.answered * perSecond * s.weight() * s.factor * p.warmth(now, s) / sum
		}
		if s.allow > 0 {
			p.cold = append(p.cold, s)
		}
	}
	switch bad := p.fetches.badShare(); {
	case p.fetches.total >= fewest && bad > strained && now >= p.admitNext:
		p.admit, p.admitNext = max(LeastAdmit, p.admit*admitCut), now+p.cfg.Memory
	case bad <= strained/2:
		p.admit = min(1, p.admit+admitBack*seconds)
	}
}

// heat finds the keys that bring at least half a cache's mean load, or nearly so, and what tenants use, each most first.
func (p *Planner) heat(mean float64) (hot []policy.Heat, use []policy.Use) {
	mean = max(mean, fewest)
	least := 0.1
	if len(p.keys) > keysHeld/2 { // those that are far from hot make room
		least = max(least, hotLeast*mean/16)
	}
	for k, n := range p.keys {
		if n < least {
			delete(p.keys, k)
		} else if load := n / mean; load >= hotStays*hotLeast {
			hot = append(hot, policy.Heat{Key: k, Load: load})
		}
	}
	slices.SortFunc(hot, func(x, y policy.Heat) int { return cmp.Or(cmp.Compare(y.Load, x.Load), cmp.Compare(x.Key, y.Key)) })
	for t, n := range p.users {
		if n < 0.1 {
			delete(p.users, t)
		} else {
			use = append(use, policy.Use{Name: t, Asked: n / max(n, p.asked) * p.rate})
		}
	}
	slices.SortFunc(use, func(x, y policy.Use) int {
		return cmp.Or(cmp.Compare(y.Asked, x.Asked), cmp.Compare(x.Name, y.Name))
	})
	return hot, use[:min(len(use), MostTenants)]
}

// View gives what one forwarder is told now, at this moment of the planner's clock, all in one: for those that know no
// changes. It grants that forwarder its part of the budgets for as long as the view is valid.
func (p *Planner) View(now, clock time.Duration, to string) View {
	p.stamp = max(p.stamp+1, clock)
	v := View{Epoch: p.epoch, Planner: p.cfg.ID, Made: p.stamp, Valid: p.cfg.Valid}
	v.Admit, v.Hot, v.Tenants = p.told.admit, slices.Clone(p.told.hot), slices.Clone(p.told.tenants)
	grants := p.Grants(now, to)
	for _, s := range p.serving {
		share := policy.ServerView{ID: s.ID, Factor: 1}
		if f, is := p.told.factors[s.ID]; is {
			share.Factor = f.factor
		}
		if len(grants) > 0 && grants[0].ID == s.ID {
			share.Allow, grants = grants[0].Rate, grants[1:]
		}
		v.Servers = append(v.Servers, share)
	}
	return v
}

// leastGrant is told where nothing is left, since 0 means no limit: one send in a thousand seconds.
const leastGrant = 0.001

// Grants gives a forwarder its part of the cold servers' budgets, by id, for as long as a change or view is valid that it is
// told now: by what it asks for, and no more than the others' running grants leave, those included that came late. None to one that was not heard of late:
// its own bound holds.
func (p *Planner) Grants(now time.Duration, to string) (list []Grant) {
	f := p.forwarders[to]
	if f == nil {
		return nil
	}
	for _, s := range p.cold {
		if p.servers[s.ID] != s || s.State != policy.Ready {
			continue // it left since the last look
		}
		of := p.granted[s.ID]
		if of == nil {
			of = &shared{by: map[string]*grants{}}
			p.granted[s.ID] = of
		}
		others := of.sum
		if mine := of.by[to]; mine != nil {
			others -= mine.count
		}
		part := s.allow * (1 + f.asked) / max(p.demand, 1+f.asked)
		got := floor(max(0, min(part, s.allow-others)))
		of.hold(now-travels, to, grant{got, now + p.cfg.Valid})
		list = append(list, Grant{s.ID, max(leastGrant, got)})
	}
	return list
}

// Outstanding is what all forwarders together may be sending a second to a server by the grants that run.
func (p *Planner) Outstanding(now time.Duration, of string) (sum float64) {
	if s := p.granted[of]; s != nil {
		for _, to := range s.order {
			sum += s.by[to].most(now)
		}
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
