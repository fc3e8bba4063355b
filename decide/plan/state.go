package plan

import (
	"maps"
	"math"
	"slices"
	"time"

	"lapisshelf/decide/starts"
	"lapisshelf/policy"
)

// What a planner remembers, and its plain upkeep. Nothing is decided here.

type state struct {
	starts         starts.Book // of servers, as far as they were seen
	cfg            Config
	epoch          uint64
	leader         string // by the leases; empty: nobody is known to hold one
	servers        map[string]*server
	serving        []*server // those that serve by the list, by id
	partSum        float64   // of the serving ones in sum
	baseSum        float64   // alike
	rest           tally     // what was told in sum since the last look, for each unit of a server's part
	digestCount    uint64    // of digests counted
	forwarders     map[string]*forwarder
	order          []*forwarder // by name; nil: to be made anew
	pending        []pendingDigest
	decayedAt      time.Duration // when the sums were brought up to date: all fade alike
	answerBound    float64       // of what forwarders told of servers
	requestBound   float64       // of the requests that they took
	updatedAt      time.Duration // the last Make
	lastStamp      time.Duration // of the last view
	requests       float64       // requests of all forwarders in the span
	readsAnswered  float64       // reads answered
	requestRate    float64       // requests a second, evened out
	demand         float64       // of budgets, by all forwarders
	originAnswers  tally         // of the origin
	admit          float64       // part of the reads that may go to the origin
	nextAdmitCut   time.Duration // when it may be cut again
	cold           []*server     // with a budget, by id
	grantsByServer map[string]*serverGrants
	keyRequests    map[uint32]float64 // how often they were asked for
	tenantRequests map[string]float64 // of tenants
	published      published
}

// heardOf is a digest that waits for the next look.
type pendingDigest struct {
	from   *forwarder
	digest Digest
}

type server struct {
	startedAt time.Duration // its start as it counts here, see decide/starts
	policy.Server
	factor       float64
	base         float64 // of the requests that it should get: weight, factor and warmth; 0: it does not serve
	part         float64 // of those that it gets, by what forwarders remember
	knownAnswers float64 // answers of it that they remembered, when they told of bad ones; fading
	dueAnswers   float64 // how many that should be by its base; fading
	allow        float64 // sends a second that the fleet may make; 0: no limit
	answerTally  tally   // all forwarders', fading
	restExcluded tally   // of state.rest: what was told by those that named it
	named        uint64  // the digest that named it last, by state.serial
	reason       string  // why
}

func (s *server) weight() float64 {
	if s.Weight >= 0 {
		return s.Weight
	}
	return 1
}

// skew is how many times what its base tells a server gets, as far as is known.
func (s *server) skew() float64 {
	return max(minSkew, min(maxSkew, (s.knownAnswers+skewPrior)/(s.dueAnswers+skewPrior)))
}

// ordered are the forwarders by name: sums of the same figures are the same to the last bit.
func (st *state) byName() []*forwarder {
	if st.order == nil {
		for _, name := range slices.Sorted(maps.Keys(st.forwarders)) {
			st.order = append(st.order, st.forwarders[name])
		}
	}
	return st.order
}

// warmth is the part of its capacity that a server is sure to have by now, as in policy.
func (st *state) warmth(now time.Duration, s *server) float64 {
	age := now - s.startedAt
	if s.startedAt == 0 || age >= st.cfg.WarmUp {
		return 1
	}
	return st.cfg.ColdFrom + (1-st.cfg.ColdFrom)*max(0, float64(age)/float64(st.cfg.WarmUp))
}

// forwarder is what one told. Its counts fade.
type forwarder struct {
	start            int64 // of its process, by that one's clock: a name for it
	previousStart    int64 // of the process before that; 0: none is known
	seq              uint64
	heardAt          time.Duration
	requests         float64 // requests
	acceptedRequests float64 // those that count
	readsAnswered    float64
	origin           tally
	reported         float64              // answers of servers
	accepted         float64              // those that count
	rest             float64              // those that count of the rest, for each unit of a server's part
	restBad          float64              // and of them the bad ones
	named            map[string]*accepted // those that count of servers told by name
	sweptAt          time.Duration        // when what had faded was dropped from it
}

func (f *forwarder) fade(decay float64) {
	for _, x := range []*float64{&f.requests, &f.acceptedRequests, &f.readsAnswered, &f.reported, &f.accepted, &f.rest, &f.restBad, &f.origin.bad, &f.origin.total} {
		*x *= decay
	}
}

// sweep forgets servers of which hardly anything is left.
func (f *forwarder) sweep(now, span time.Duration) {
	if now-f.sweptAt < span {
		return
	}
	f.sweptAt = now
	maps.DeleteFunc(f.named, func(_ string, h *accepted) bool { return h.at(now, span).total < 0.05 })
}

// grant is what a forwarder may send a second, until then.
type grant struct {
	rate  float64
	until time.Duration
}

// shared is what is granted of one server's budget.
type serverGrants struct {
	sum         float64 // of each forwarder's largest grant that ran when it was last looked at
	byForwarder map[string]*forwarderGrants
	order       []string // of by, as they came: sums of the same figures are the same to the last bit
}

// grants are one forwarder's.
type forwarderGrants struct {
	list  []grant
	count float64 // what it is in shared.sum
}

// most is the largest that runs at a time. The older ones run on: the view that told the new one may be lost.
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

// hold notes a grant.
func (s *serverGrants) add(now time.Duration, to string, g grant) {
	mine := s.byForwarder[to]
	if mine == nil {
		mine = &forwarderGrants{}
		s.byForwarder[to], s.order = mine, append(s.order, to)
	}
	// One that is no larger and ends no later is covered by the new one.
	mine.list = append(slices.DeleteFunc(mine.list, func(o grant) bool { return o.until < now || o.rate <= g.rate && o.until <= g.until }), g)
	s.sum -= mine.count
	mine.count = mine.maxRate(now)
	s.sum += mine.count
}

// renew drops the grants that have run out, and adds the others up anew.
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

// tallied is the sum of loads, fading where it lasts.
type tally struct {
	bad, total float64
	times      [LatencyBuckets]float64
}

// add adds the part of a load that counts.
func (s *tally) add(l *Load, part float64) {
	s.total += float64(l.answers()) * part
	s.bad += float64(l.bad()) * part
	for i, n := range l.Times {
		s.times[i] += float64(n) * part
	}
}

// plus adds x so many times.
func (s *tally) addScaled(x *tally, by float64) {
	s.total += x.total * by
	s.bad += x.bad * by
	for i := range x.times {
		s.times[i] += x.times[i] * by
	}
}

func (s *tally) fade(decay float64) {
	s.total *= decay
	s.bad *= decay
	for i := range s.times {
		s.times[i] *= decay
	}
}

// within is the time by which that part of the answers had come, as far as the sketch tells.
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
	return min(1, s.bad/s.total) // bad answers are told by name, the others may be inferred
}

// taken is what counts of a forwarder's answers of a server, fading.
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

// middle is the median; 0 of nothing.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// Snapshot is what outlasts a planner's restart: the factors it had come to, and the origin's budget.
type Snapshot struct {
	Clock   time.Duration // when it was taken, Unix time
	Stamp   time.Duration // of its last view
	Factors map[string]float64
	Admit   float64
}

// Snapshot takes one.
func (p *Planner) Snapshot(clock time.Duration) Snapshot {
	s := Snapshot{Clock: clock, Stamp: p.lastStamp, Admit: p.admit, Factors: map[string]float64{}}
	for id, x := range p.servers {
		if x.factor < 1 {
			s.Factors[id] = x.factor
		}
	}
	return s
}

// Restore takes up a snapshot that is no older than told, once the list is known. It reports whether it counts. What
// is out of bounds in it counts for nothing.
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
