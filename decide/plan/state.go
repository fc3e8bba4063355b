package plan

import (
	"maps"
	"math"
	"slices"
	"time"

	"lapisshelf/decide/starts"
	"lapisshelf/policy"
)

// The state of a Planner, and the bookkeeping on it.

type state struct {
	starts         starts.History // start times of servers, by this planner's clock where it saw them start
	cfg            Config
	epoch          uint64
	leader         string // of the leases; empty: none is known
	servers        map[string]*server
	serving        []*server // ready by the list, by id
	partSum        float64   // sum of part over serving
	baseSum        float64   // sum of base over serving
	rest           tally     // from Rest of the digests counted in this refresh, per unit of a server's part
	digestCount    uint64    // digests counted so far
	forwarders     map[string]*forwarder
	order          []*forwarder // by name; nil: to be rebuilt
	pending        []pendingDigest
	decayedAt      time.Duration // when the sums were last decayed
	answerBound    float64       // most answers of servers that one forwarder counts for
	requestBound   float64       // most requests that one forwarder counts for
	updatedAt      time.Duration // of the last Update
	lastStamp      time.Duration // Made of the last view or change
	requests       float64       // of all forwarders, decayed
	readsAnswered  float64       // the same of reads answered
	requestRate    float64       // requests per second, smoothed
	demand         float64       // the weights, in sum, by which budgets are divided among forwarders
	originAnswers  tally         // of all forwarders
	admit          float64       // part of the reads that may go to the origin
	nextAdmitCut   time.Duration // earliest time of the next cut of admit
	cold           []*server     // those with a budget, by id
	grantsByServer map[string]*serverGrants
	keyRequests    map[uint32]float64 // by policy.Digest of the key, decayed
	tenantRequests map[string]float64 // by tenant, decayed
	published      published
}

// pendingDigest is a digest that the next refresh counts.
type pendingDigest struct {
	from   *forwarder
	digest Digest
}

type server struct {
	startedAt time.Duration // by this planner's clock, see decide/starts
	policy.Server
	factor       float64
	base         float64 // weight × factor × warmth: the share of the requests that it should get; 0: it is not ready
	part         float64 // base × skew: the share of the requests that it gets, by the reported past answers
	knownAnswers float64 // past answers reported along with its bad ones, decayed
	dueAnswers   float64 // what knownAnswers would be at its base, decayed
	allow        float64 // sends per second allowed to the whole fleet; 0: no limit
	answerTally  tally   // of all forwarders, decayed
	restExcluded tally   // what it does not get of state.rest, per unit of part: from digests that named it
	named        uint64  // state.digestCount at the last digest that named it
	reason       string  // for its factor, see Explanation
}

func (s *server) weight() float64 {
	if s.Weight >= 0 {
		return s.Weight
	}
	return 1
}

// skew returns the estimated ratio of the requests that a server gets to those that its base predicts.
func (s *server) skew() float64 {
	return max(minSkew, min(maxSkew, (s.knownAnswers+skewPrior)/(s.dueAnswers+skewPrior)))
}

// byName returns the forwarders by name: a fixed order of summation gives the same result to the last bit.
func (st *state) byName() []*forwarder {
	if st.order == nil {
		for _, name := range slices.Sorted(maps.Keys(st.forwarders)) {
			st.order = append(st.order, st.forwarders[name])
		}
	}
	return st.order
}

// warmth returns the part of its capacity that a server has surely reached, computed as in policy.
func (st *state) warmth(now time.Duration, s *server) float64 {
	age := now - s.startedAt
	if s.startedAt == 0 || age >= st.cfg.WarmUp {
		return 1
	}
	return st.cfg.ColdFrom + (1-st.cfg.ColdFrom)*max(0, float64(age)/float64(st.cfg.WarmUp))
}

// forwarder holds what one forwarder has reported. Its counts decay.
type forwarder struct {
	start            int64 // when its process started, by its own clock; only identifies the process
	previousStart    int64 // the same of the process before that; 0: unknown
	seq              uint64
	heardAt          time.Duration
	requests         float64 // as reported
	acceptedRequests float64 // accepted within requestBound
	readsAnswered    float64
	origin           tally
	reported         float64              // answers of servers, as reported
	accepted         float64              // answers of servers, accepted within answerBound
	rest             float64              // accepted answers from Rest, per unit of a server's part
	restBad          float64              // the bad ones among them
	named            map[string]*accepted // accepted answers of servers named in digests
	sweptAt          time.Duration        // last removal of decayed entries from named
}

func (f *forwarder) fade(decay float64) {
	for _, x := range []*float64{&f.requests, &f.acceptedRequests, &f.readsAnswered, &f.reported, &f.accepted, &f.rest, &f.restBad, &f.origin.bad, &f.origin.total} {
		*x *= decay
	}
}

// sweep drops servers whose counts have decayed to almost nothing.
func (f *forwarder) sweep(now, span time.Duration) {
	if now-f.sweptAt < span {
		return
	}
	f.sweptAt = now
	maps.DeleteFunc(f.named, func(_ string, h *accepted) bool { return h.at(now, span).total < 0.05 })
}

// grant is a send rate that a forwarder may use until a point in time.
type grant struct {
	rate  float64
	until time.Duration
}

// serverGrants holds the grants from one server's budget.
type serverGrants struct {
	sum         float64 // of the forwarders' largest outstanding grants, as of the last add or expire
	byForwarder map[string]*forwarderGrants
	order       []string // of byForwarder, by first grant: a fixed order of summation gives the same result to the last bit
}

// forwarderGrants holds one forwarder's grants of a server.
type forwarderGrants struct {
	list  []grant
	count float64 // its part of serverGrants.sum
}

// maxRate returns the largest outstanding grant. Earlier grants stay outstanding: the message with a later one may be lost.
func (g *forwarderGrants) maxRate(now time.Duration) (maxRate float64) {
	if g == nil {
		return 0
	}
	for _, x := range g.list {
		if x.until >= now {
			maxRate = max(maxRate, x.rate)
		}
	}
	return maxRate
}

// add records a grant.
func (s *serverGrants) add(now time.Duration, to string, g grant) {
	mine := s.byForwarder[to]
	if mine == nil {
		mine = &forwarderGrants{}
		s.byForwarder[to], s.order = mine, append(s.order, to)
	}
	// A grant that is no larger and ends no later is covered by the new one.
	mine.list = append(slices.DeleteFunc(mine.list, func(o grant) bool { return o.until < now || o.rate <= g.rate && o.until <= g.until }), g)
	s.sum -= mine.count
	mine.count = mine.maxRate(now)
	s.sum += mine.count
}

// expire drops expired grants and recomputes the sum.
func (s *serverGrants) expire(now time.Duration) {
	s.sum = 0
	s.order = slices.DeleteFunc(s.order, func(to string) bool {
		g := s.byForwarder[to]
		g.list = slices.DeleteFunc(g.list, func(o grant) bool { return o.until < now })
		g.count = g.maxRate(now)
		if s.sum += g.count; len(g.list) == 0 {
			delete(s.byForwarder, to)
		}
		return len(g.list) == 0
	})
}

// tally is a sum of Loads; long-lived ones decay.
type tally struct {
	bad, total float64
	times      [LatencyBuckets]float64
}

// add adds the given part of a Load.
func (s *tally) add(l *Load, part float64) {
	s.total += float64(l.answers()) * part
	s.bad += float64(l.bad()) * part
	for i, n := range l.Times {
		s.times[i] += float64(n) * part
	}
}

// addScaled adds x multiplied by a factor.
func (s *tally) addScaled(x *tally, factor float64) {
	s.total += x.total * factor
	s.bad += x.bad * factor
	for i := range x.times {
		s.times[i] += x.times[i] * factor
	}
}

func (s *tally) fade(decay float64) {
	s.total *= decay
	s.bad *= decay
	for i := range s.times {
		s.times[i] *= decay
	}
}

// quantile returns the upper bound of the latency bucket that holds the given quantile; 0 if hardly any latency is known.
func (s *tally) quantile(part float64) time.Duration {
	all := 0.0
	for _, n := range s.times {
		all += n
	}
	if all < 0.5 {
		return 0
	}
	sum := 0.0
	for i, n := range s.times {
		if sum += n; sum >= part*all {
			return time.Millisecond << i
		}
	}
	return time.Millisecond << (LatencyBuckets - 1)
}

func (s *tally) badShare() float64 {
	if s.total <= 0 {
		return 0
	}
	return min(1, s.bad/s.total) // bad answers are reported by name and the total may be estimated, so bad may exceed total
}

// accepted is what counts of a forwarder's answers of one server, decaying.
type accepted struct {
	total, bad float64
	when       time.Duration
}

func (t *accepted) at(now, span time.Duration) *accepted {
	if now > t.when {
		decay := math.Exp(-float64(now-t.when) / float64(span))
		t.total, t.bad, t.when = t.total*decay, t.bad*decay, now
	}
	return t
}

// median returns the median; 0 for an empty list.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// Snapshot is what survives a planner's restart: the factors and the part of the reads admitted to the origin.
type Snapshot struct {
	Clock   time.Duration // when it was taken, Unix time
	Stamp   time.Duration // Made of the last view or change
	Factors map[string]float64
	Admit   float64
}

// Snapshot returns the present factors and budget, stamped with clock.
func (p *Planner) Snapshot(clock time.Duration) Snapshot {
	s := Snapshot{Clock: clock, Stamp: p.lastStamp, Admit: p.admit, Factors: map[string]float64{}}
	for id, x := range p.servers {
		if x.factor < 1 {
			s.Factors[id] = x.factor
		}
	}
	return s
}

// Restore takes over a snapshot that is at most oldest old; the server list must be known. It reports whether the snapshot
// was young enough. Values out of range are ignored.
func (p *Planner) Restore(clock, oldest time.Duration, s Snapshot) bool {
	if age := clock - s.Clock; age < 0 || age > oldest {
		return false
	}
	p.lastStamp = max(p.lastStamp, s.Stamp)
	for _, id := range slices.Sorted(maps.Keys(s.Factors)) {
		if x, f := p.servers[id], s.Factors[id]; x != nil && f >= MinFactor && f <= 1 {
			x.factor = f
		}
	}
	if s.Admit >= MinAdmit && s.Admit <= 1 {
		p.admit = s.Admit
	}
	return true
}
