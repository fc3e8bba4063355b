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

const (
	badMargin             = 0.2  // margin over the fleet's median share of bad answers at which a server loses weight
	recoveredMargin       = 0.05 // margin at or below which it regains weight
	minAnswers            = 10.0 // answers below which a server's share of bad ones is not judged
	factorCutPerSecond    = 0.5  // multiplies the factor for each second over badMargin
	factorGrowthPerSecond = 1.25 // multiplies the factor for each second within recoveredMargin
	coldBudgetPart        = 0.5  // part of the fall budget that is used, as in the forwarder
	originStrainedShare   = 1.0 / 3
	admitCut              = 0.8 // multiplies the part of the reads admitted to an overloaded origin
	admitGrowthPerSecond  = 0.2 // added to that part for each second in which the origin is well
	hotMinLoad            = 0.5 // least load of a hot key, in a cache's mean loads
	maxOfMedian           = 2.0 // what one forwarder counts for at most, in medians of all forwarders
	boundSlack            = 1.5 // times that bound, beyond which counts are taken back; the bound falls with the median
	minSkew               = 0.5 // limits of a server's ratio of actual to expected requests; they bound what a lying forwarder can do
	maxSkew               = 4.0
	skewPrior             = 5.0         // answers added to both sides of that ratio, so that few answers leave it near 1
	skewDecayFactor       = 4           // times DecayTime: the decay of that ratio's counts, which change slowly
	minSpreadPart         = 0.5         // least part of all servers' share of requests over which a digest's Rest is spread
	maxTrackedKeys        = 1 << 14     // tracked at once
	maxTransit            = time.Second // see MaxGrantTransit; views and grants are valid from their arrival
)

// Planner computes views. It is not safe for concurrent use.
type Planner struct {
	state
}

// New returns a planner with no servers and no forwarders.
func New(cfg Config) *Planner {
	cfg.Valid, cfg.Silent = cmp.Or(cfg.Valid, 3*time.Second), cmp.Or(cfg.Silent, 5*time.Second)
	cfg.DecayTime, cfg.Move = cmp.Or(cfg.DecayTime, 3*time.Second), cmp.Or(cfg.Move, 0.05)
	cfg.Forwarders = cmp.Or(cfg.Forwarders, 4096)
	cfg.History = cmp.Or(cfg.History, 1)
	return &Planner{state{cfg: cfg, admit: 1, servers: map[string]*server{}, forwarders: map[string]*forwarder{}, grantsByServer: map[string]*serverGrants{},
		keyRequests: map[uint32]float64{}, tenantRequests: map[string]float64{}, published: published{factors: map[string]publishedFactor{}}}}
}

// SetServers sets the complete server list. What is known of a server that has left the list is dropped.
func (p *Planner) SetServers(now time.Duration, list []policy.Server) {
	p.refresh(now) // counts received so far belong to the old list
	named := map[string]bool{}
	for _, e := range list {
		if p.cfg.OriginKind != "" && e.Kind == p.cfg.OriginKind {
			continue
		}
		s := p.servers[e.ID]
		if s == nil {
			s = &server{factor: 1, startedAt: p.starts.StartTime(now, e.ID, e.Started)}
			p.servers[e.ID] = s
		} else if e.Started != s.Started { // a new process, whatever its clock says: nothing learned before holds
			s.factor, s.answerTally, s.knownAnswers, s.dueAnswers, s.startedAt = 1, tally{}, 0, 0, p.starts.StartTime(now, e.ID, e.Started)
		}
		s.Server, named[e.ID] = e, true
	}
	p.starts.MarkWatched()
	maps.DeleteFunc(p.servers, func(id string, s *server) bool {
		if !named[id] {
			p.starts.RecordDeparture(id, s.Started, s.startedAt)
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

// Candidate is a planner that keeps an entry of itself in the registry under a lease.
type Candidate struct {
	ID         string
	LeaseStart time.Duration // when it took its lease, Unix time
}

// ElectLeader takes the planners that hold a lease, and returns the leader: the one that has held its lease longest, or the
// lower id of two. The epoch is the second in which the leader took its lease, and never decreases: a leader that is lost
// and returns has a later lease. All planners send the epoch that they know, so that forwarders do not depend on the leader
// alone. An empty list changes nothing.
func (p *Planner) ElectLeader(list []Candidate) (leader string) {
	if len(list) == 0 {
		return p.leader
	}
	first := slices.MinFunc(list, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(x.LeaseStart, y.LeaseStart), cmp.Compare(x.ID, y.ID))
	})
	p.leader, p.epoch = first.ID, max(p.epoch, uint64(max(0, first.LeaseStart/time.Second)))
	return p.leader
}

// Epoch returns the epoch that views carry.
func (p *Planner) Epoch() uint64 { return p.epoch }

// Digest takes a forwarder's digest. It returns an error if the digest is not counted.
func (p *Planner) Digest(now time.Duration, d Digest) error {
	if err := d.Check(); err != nil {
		return err
	}
	f := p.forwarders[d.From]
	switch {
	case f == nil && len(p.forwarders) >= p.cfg.Forwarders:
		return fmt.Errorf("limit of %d forwarders is reached", len(p.forwarders))
	case f == nil:
		f = &forwarder{start: d.Start}
		p.forwarders[d.From], p.order = f, nil
	case f.previousStart != 0 && d.Start == f.previousStart, d.Start == f.start && d.Seq <= f.seq:
		return fmt.Errorf("digest is older than one already received")
	}
	if d.Start != f.start { // a restart, even if the wall clock was set back before it
		f.previousStart = f.start
	}
	// Nothing else changes in a restart: the earlier counts decay, and grants stay outstanding, since they may be in use.
	f.start, f.seq, f.heardAt = d.Start, d.Seq, now
	if p.pending = append(p.pending, pendingDigest{f, d}); len(p.pending) >= 64+2*len(p.forwarders) {
		p.refresh(now)
	}
	return nil
}

// Update counts the digests received since the last call, and updates weights, budgets and the published state. It should be
// called a few times a second. It takes O(forwarders + servers + outstanding grants), plus O(named servers) per new digest.
func (p *Planner) Update(now time.Duration) {
	since := min(now-p.updatedAt, time.Second)
	p.updatedAt = now
	before := len(p.forwarders)
	maps.DeleteFunc(p.forwarders, func(_ string, f *forwarder) bool { return now-f.heardAt > p.cfg.Silent })
	if len(p.forwarders) != before {
		p.order = nil
	}
	p.refresh(now)
	p.sumForwarders(since)
	if since > 0 {
		p.updateFactors(since.Seconds())
		p.updateBudgets(now, since.Seconds())
	}
	maps.DeleteFunc(p.grantsByServer, func(_ string, s *serverGrants) bool {
		s.expire(now - maxTransit)
		return len(s.byForwarder) == 0
	})
	mean := p.requests / max(1, float64(len(p.serving)))
	hot, tenants := p.hotKeysAndTenants(mean)
	p.published.refresh(p.serving, p.admit, hot, tenants, mean, p.cfg.DecayTime.Seconds())
}

// refresh decays all sums and counts the pending digests. Of a forwarder no more is counted than twice the median forwarder,
// so that one with absurd counts cannot decide for all.
func (p *Planner) refresh(now time.Duration) {
	decay := 1.0
	if now > p.decayedAt {
		decay = math.Exp(-float64(now-p.decayedAt) / float64(p.cfg.DecayTime))
		p.decayedAt = now
	}
	for _, f := range p.forwarders {
		f.fade(decay)
	}
	for k := range p.keyRequests {
		p.keyRequests[k] *= decay
	}
	for t := range p.tenantRequests {
		p.tenantRequests[t] *= decay
	}
	p.partSum, p.baseSum = 0, 0
	skewDecay := math.Pow(decay, 1.0/skewDecayFactor)
	for _, s := range p.servers {
		s.base, s.part = 0, 0
		s.answerTally.fade(decay)
		s.knownAnswers, s.dueAnswers = s.knownAnswers*skewDecay, s.dueAnswers*skewDecay
	}
	for _, s := range p.serving {
		s.base = s.weight() * s.factor * p.warmth(now, s)
		s.part = s.base * s.skew()
		p.baseSum += s.base
		p.partSum += s.part
	}
	if len(p.pending) == 0 {
		return
	}
	for i := range p.pending {
		p.pending[i].from.addReported(&p.pending[i].digest)
	}
	var reported, requests []float64
	for _, f := range p.forwarders {
		reported, requests = append(reported, f.reported), append(requests, f.requests)
	}
	p.answerBound, p.requestBound = medianBound(reported), medianBound(requests)
	for _, f := range p.byName() {
		p.clampForwarder(now, f)
	}
	for i := range p.pending {
		p.countDigest(now, p.pending[i].from, &p.pending[i].digest)
	}
	clear(p.pending)
	p.pending = p.pending[:0]
	for _, s := range p.servers { // each gets its part of the Rest of the digests that did not name it
		s.answerTally.addScaled(&p.rest, s.part)
		s.answerTally.addScaled(&s.restExcluded, -s.part)
		s.restExcluded = tally{}
	}
	p.rest = tally{}
}

// addReported adds up a forwarder's counts as reported, without a bound.
func (f *forwarder) addReported(d *Digest) {
	f.requests += float64(d.Asked)
	f.readsAnswered += float64(d.Answered)
	f.reported += float64(d.answers())
	// Late answers of the origin count as good. Otherwise reads are refused while the origin is merely slow, and a read that
	// is not fetched is missed again (simulation with 400 nodes and an origin six times slower: service 0.943 with late
	// answers counted as bad, 0.955 without views).
	f.origin.add(&Load{Timely: d.Origin.Timely + d.Origin.Late, Full: d.Origin.Full, Failed: d.Origin.Failed}, 1)
}

// answers returns the number of answers in the digest, without those of the origin.
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

// partWithin returns the part of n that is within the limit.
func partWithin(n, limit float64) float64 {
	if n <= limit {
		return 1
	}
	return max(0, limit) / n
}

// countDigest adds a digest to the sums. It takes O(servers that the forwarder named recently).
func (p *Planner) countDigest(now time.Duration, f *forwarder, d *Digest) {
	p.digestCount++
	f.sweep(now, p.cfg.DecayTime)
	if f.named == nil {
		f.named = map[string]*accepted{}
	}
	all := float64(d.answers())
	part := partWithin(all, p.answerBound-f.accepted)
	f.accepted += all * part

	// Rest is spread over the servers that are not reported in full, by their share of the requests; its bad answers are
	// spread over those that are not named at all.
	spreadPart := p.partSum
	for i := range d.Servers {
		if s := p.servers[d.Servers[i].ID]; s != nil {
			s.named = p.digestCount
			spreadPart -= s.part
		}
	}
	var rest tally
	if d.Brief && p.partSum > 0 {
		spreadPart = max(spreadPart, minSpreadPart*p.partSum)
		unnamedPart := spreadPart
		sum := d.Rest
		for i := range d.Bad { // their bad answers are reported by name; sum counts them as answers only
			sum.Timely += d.Bad[i].bad()
			if s := p.servers[d.Bad[i].ID]; s != nil {
				unnamedPart -= s.part
			}
		}
		bad := float64(d.Rest.bad()) * part / max(unnamedPart, minSpreadPart*p.partSum)
		kept := partWithin(bad, p.answerBound/p.partSum-f.restBad)
		rest.add(&sum, part*kept/spreadPart)
		rest.bad = bad * kept
		f.rest += rest.total
		f.restBad += rest.bad
		past := float64(d.Past) / pastScale
		pastKept := partWithin(past, p.answerBound)
		for i := range d.Bad {
			if s := p.servers[d.Bad[i].ID]; s != nil {
				s.named = p.digestCount
				s.restExcluded.bad += rest.bad
				dueAnswers := pastKept * past * s.base / p.baseSum
				s.dueAnswers += dueAnswers
				s.knownAnswers += min(pastKept*float64(d.Bad[i].Sends)/pastScale, 2*maxSkew*dueAnswers) // more than that cannot be true
			}
		}
		if rest.bad > 0 {
			p.limitRest(now, f, rest.bad)
		}
		p.rest.addScaled(&rest, 1)
	}
	for i := range d.Servers {
		if s := p.servers[d.Servers[i].ID]; s != nil { // only servers of the list count
			s.restExcluded.addScaled(&rest, 1)
			l := &d.Servers[i]
			s.answerTally.add(l, p.acceptNamed(now, f, s, float64(l.answers())*part, float64(l.bad())*part)*part)
		}
	}
	for i := range d.Bad {
		if s := p.servers[d.Bad[i].ID]; s != nil {
			n := float64(d.Bad[i].bad()) * part
			s.answerTally.bad += n * p.acceptNamed(now, f, s, n, n)
		}
	}
	p.countRequests(f, d)
}

// forwarderBound returns the largest number of a server's answers that one forwarder may count for.
func (p *Planner) forwarderBound(s *server) float64 {
	if p.partSum == 0 {
		return maxOfMedian
	}
	return max(maxOfMedian, p.answerBound*s.part/p.partSum)
}

// acceptNamed counts n answers of a server that the digest names, some of them bad, and returns the part that is accepted.
func (p *Planner) acceptNamed(now time.Duration, f *forwarder, s *server, n, bad float64) float64 {
	if n == 0 {
		return 0
	}
	h := f.named[s.ID]
	if h == nil {
		h = &accepted{when: now}
		f.named[s.ID] = h
	}
	part := partWithin(n, p.forwarderBound(s)-h.at(now, p.cfg.DecayTime).total-s.part*f.restBad)
	h.total += n * part
	h.bad += bad * part
	return part
}

// clampForwarder takes back what a forwarder counts for beyond twice the median one. This happens to a forwarder that is
// heard before the others, when the median is its own count.
func (p *Planner) clampForwarder(now time.Duration, f *forwarder) {
	if excess := 1 - p.answerBound/f.accepted; f.accepted > boundSlack*p.answerBound {
		for _, s := range p.servers {
			excessTally := tally{total: s.part * f.rest * excess, bad: s.part * f.restBad * excess}
			if h := f.named[s.ID]; h != nil {
				h.at(now, p.cfg.DecayTime)
				excessTally.total, excessTally.bad = excessTally.total+h.total*excess, excessTally.bad+h.bad*excess
				h.total, h.bad = h.total*(1-excess), h.bad*(1-excess)
			}
			s.answerTally.total, s.answerTally.bad = max(0, s.answerTally.total-excessTally.total), max(0, s.answerTally.bad-excessTally.bad)
		}
		f.accepted, f.rest, f.restBad = p.answerBound, f.rest*(1-excess), f.restBad*(1-excess)
	}
	if f.acceptedRequests > boundSlack*p.requestBound { // the sums do not tell which requests are its own
		f.acceptedRequests = p.requestBound
		clear(p.keyRequests)
		clear(p.tenantRequests)
	}
}

// limitRest excludes servers that the forwarder has named recently from the bad answers of its Rest, as far as these would
// exceed its bound for the server.
func (p *Planner) limitRest(now time.Duration, f *forwarder, bad float64) {
	for id, h := range f.named {
		if s := p.servers[id]; s != nil && s.part > 0 && s.named != p.digestCount {
			if excess := h.at(now, p.cfg.DecayTime).total + s.part*f.restBad - p.forwarderBound(s); excess > 0 {
				s.restExcluded.bad += min(bad, excess/s.part)
			}
		}
	}
}

// countRequests adds a digest's keys and tenants, at most as many requests of each as are accepted of the forwarder.
func (p *Planner) countRequests(f *forwarder, d *Digest) {
	part := partWithin(float64(d.Asked), p.requestBound-f.acceptedRequests)
	f.acceptedRequests += float64(d.Asked) * part
	limit := float64(d.Asked) * part
	n := 0.0
	for _, h := range d.Hot {
		n += float64(h.Asked)
	}
	part = partWithin(n, limit)
	for _, h := range d.Hot {
		if _, known := p.keyRequests[h.Key]; known || len(p.keyRequests) < maxTrackedKeys {
			p.keyRequests[h.Key] += float64(h.Asked) * part
		}
	}
	n = 0
	for _, u := range d.Tenants {
		n += float64(u.Asked)
	}
	part = partWithin(n, limit)
	for _, u := range d.Tenants {
		if _, known := p.tenantRequests[u.Tenant]; known || len(p.tenantRequests) < 4*MaxTenants {
			p.tenantRequests[u.Tenant] += float64(u.Asked) * part
		}
	}
}

// sumForwarders adds up the requests and the origin's answers over all forwarders.
func (p *Planner) sumForwarders(since time.Duration) {
	p.readsAnswered, p.requests, p.demand, p.originAnswers = 0, 0, 0, tally{}
	var readsAnswered, origin []float64
	for _, f := range p.forwarders {
		readsAnswered, origin = append(readsAnswered, f.readsAnswered), append(origin, f.origin.total)
	}
	readsBound, originBound := medianBound(readsAnswered), medianBound(origin)
	for _, f := range p.byName() {
		p.readsAnswered += min(f.readsAnswered, readsBound)
		p.requests += min(f.requests, p.requestBound)
		p.demand += 1 + f.requests
		p.originAnswers.addScaled(&f.origin, partWithin(f.origin.total, originBound))
	}
	// The rate is smoothed: digests come a second apart, and between them the sums decay by more than the tolerance for
	// publishing a tenant's rate.
	if now := p.requests / p.cfg.DecayTime.Seconds(); p.requestRate == 0 {
		p.requestRate = now
	} else {
		p.requestRate += (now - p.requestRate) * (1 - math.Exp(-float64(since)/float64(p.cfg.DecayTime)))
	}
}

// medianBound returns the bound on what one forwarder counts for.
func medianBound(list []float64) float64 {
	return maxOfMedian * median(slices.DeleteFunc(list, func(x float64) bool { return x <= 0 }))
}

// updateFactors moves the servers' factors by a time step in seconds.
func (p *Planner) updateFactors(seconds float64) {
	ready := p.serving
	var shares []float64
	for _, s := range ready {
		if s.answerTally.total >= minAnswers {
			shares = append(shares, s.answerTally.badShare())
		}
	}
	usual := median(shares)
	next, before, after := make([]float64, len(ready)), 0.0, 0.0
	for i, s := range ready {
		next[i] = s.factor
		bad := s.answerTally.badShare()
		switch {
		case s.answerTally.total >= minAnswers && bad > usual+badMargin:
			next[i], s.reason = max(MinFactor, s.factor*math.Pow(factorCutPerSecond, seconds)), "answers worse than the fleet"
		case s.answerTally.total < minAnswers && s.factor == 1:
			s.reason = "too few answers to tell"
		case s.answerTally.total < minAnswers || bad <= usual+recoveredMargin:
			next[i], s.reason = min(1, s.factor*math.Pow(factorGrowthPerSecond, seconds)), "as well as the fleet"
			if next[i] < 1 {
				s.reason = "recovers"
			}
		default:
			s.reason = "stays as it is"
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
	if maxMoved := p.cfg.Move * seconds; moved > maxMoved {
		part = maxMoved / moved
	}
	for i, s := range ready {
		s.factor += (next[i] - s.factor) * part
	}
}

// updateBudgets sets the fleet's send rates for cold servers, and the part of the reads that may go to the origin.
func (p *Planner) updateBudgets(now time.Duration, seconds float64) {
	perSecond := 1 / p.cfg.DecayTime.Seconds() // a decaying count, divided by its time constant, is a rate
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
			s.allow = coldBudgetPart * p.cfg.FallMultiple * p.readsAnswered * perSecond * s.weight() * s.factor * p.warmth(now, s) / sum
		}
		if s.allow > 0 {
			p.cold = append(p.cold, s)
		}
	}
	switch bad := p.originAnswers.badShare(); {
	case p.originAnswers.total >= minAnswers && bad > originStrainedShare && now >= p.nextAdmitCut:
		p.admit, p.nextAdmitCut = max(MinAdmit, p.admit*admitCut), now+p.cfg.DecayTime
	case bad <= originStrainedShare/2:
		p.admit = min(1, p.admit+admitGrowthPerSecond*seconds)
	}
}

// hotKeysAndTenants returns the keys whose load is at or near hotMinLoad, and the tenants' rates, both in descending order.
func (p *Planner) hotKeysAndTenants(mean float64) (hot []policy.HotKey, tenants []policy.TenantDemand) {
	mean = max(mean, minAnswers)
	minCount := 0.1
	if len(p.keyRequests) > maxTrackedKeys/2 { // make room by dropping keys that are far from hot
		minCount = max(minCount, hotMinLoad*mean/16)
	}
	for k, n := range p.keyRequests {
		if n < minCount {
			delete(p.keyRequests, k)
		} else if load := n / mean; load >= hotKeepRatio*hotMinLoad {
			hot = append(hot, policy.HotKey{Key: k, Load: load})
		}
	}
	slices.SortFunc(hot, func(x, y policy.HotKey) int { return cmp.Or(cmp.Compare(y.Load, x.Load), cmp.Compare(x.Key, y.Key)) })
	for t, n := range p.tenantRequests {
		if n < 0.1 {
			delete(p.tenantRequests, t)
		} else {
			tenants = append(tenants, policy.TenantDemand{Name: t, Asked: n / max(n, p.requests) * p.requestRate})
		}
	}
	slices.SortFunc(tenants, func(x, y policy.TenantDemand) int {
		return cmp.Or(cmp.Compare(y.Asked, x.Asked), cmp.Compare(x.Name, y.Name))
	})
	return hot, tenants[:min(len(tenants), MaxTenants)]
}

// View returns the full state for one forwarder, for those that do not support changes. It is stamped with clock, the
// present time of the planner's wall clock, and grants the forwarder its part of the budgets while the view is valid.
func (p *Planner) View(now, clock time.Duration, to string) View {
	p.lastStamp = max(p.lastStamp+1, clock)
	v := View{Epoch: p.epoch, Planner: p.cfg.ID, Made: p.lastStamp, Valid: p.cfg.Valid}
	v.Admit, v.Hot, v.Tenants = p.published.admit, slices.Clone(p.published.hot), slices.Clone(p.published.tenants)
	grants := p.Grants(now, to)
	for _, s := range p.serving {
		share := policy.ServerView{ID: s.ID, Factor: 1}
		if f, is := p.published.factors[s.ID]; is {
			share.Factor = f.factor
		}
		if len(grants) > 0 && grants[0].ID == s.ID {
			share.Allow, grants = grants[0].Rate, grants[1:]
		}
		v.Servers = append(v.Servers, share)
	}
	return v
}

// minGrant is granted where no budget is left, since 0 would mean no limit: one send in a thousand seconds.
const minGrant = 0.001

// Grants returns a forwarder's part of the cold servers' budgets, by id, valid as long as a change or view sent now. The
// part is proportional to the forwarder's requests and at most what the outstanding grants of the others leave, including
// those that may have arrived late. A forwarder that has not been heard recently gets none: its own limit applies.
func (p *Planner) Grants(now time.Duration, to string) (list []Grant) {
	f := p.forwarders[to]
	if f == nil {
		return nil
	}
	for _, s := range p.cold {
		if p.servers[s.ID] != s || s.State != policy.Ready {
			continue // it left since the last Update
		}
		granted := p.grantsByServer[s.ID]
		if granted == nil {
			granted = &serverGrants{byForwarder: map[string]*forwarderGrants{}}
			p.grantsByServer[s.ID] = granted
		}
		others := granted.sum
		if mine := granted.byForwarder[to]; mine != nil {
			others -= mine.count
		}
		part := s.allow * (1 + f.requests) / max(p.demand, 1+f.requests)
		rate := floorToWire(max(0, min(part, s.allow-others)))
		granted.add(now-maxTransit, to, grant{rate, now + p.cfg.Valid})
		list = append(list, Grant{s.ID, max(minGrant, rate)})
	}
	return list
}

// OutstandingGrants returns the rate at which all forwarders together may send to a server by the outstanding grants.
func (p *Planner) OutstandingGrants(now time.Duration, serverID string) (sum float64) {
	if s := p.grantsByServer[serverID]; s != nil {
		for _, to := range s.order {
			sum += s.byForwarder[to].maxRate(now)
		}
	}
	return sum
}

// Explain returns each ready server's weight and the reason for it, by id.
func (p *Planner) Explain() (list []Explanation) {
	for _, s := range p.serving {
		list = append(list, Explanation{ID: s.ID, Weight: s.weight(), Factor: s.factor, Allow: s.allow, Bad: s.answerTally.badShare(),
			Answers: s.answerTally.total, P50: s.answerTally.quantile(0.5), P99: s.answerTally.quantile(0.99), Reason: s.reason})
	}
	return list
}

// ForwarderCount returns the number of forwarders that were heard recently.
func (p *Planner) ForwarderCount() int { return len(p.forwarders) }
