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
	starts     starts.History // of servers, as far as they were seen
	cfg        Config
	epoch      uint64
	leader     string // by the leases; empty: nobody is known to hold one
	servers    map[string]*server
	serving    []*server // those that serve by the list, by id
	parts      float64   // of the serving ones in sum
	bases      float64   // alike
	rest       tallied   // what was told in sum since the last look, for each unit of a server's part
	serial     uint64    // of digests counted
	forwarders map[string]*forwarder
	order      []*forwarder // by name; nil: to be made anew
	pending    []heardOf
	settled    time.Duration // when the sums were brought up to date: all fade alike
	middle     float64       // of what forwarders told of servers
	middleAsk  float64       // of the requests that they took
	made       time.Duration // the last Make
	stamp      time.Duration // of the last view
	asked      float64       // requests of all forwarders in the span
	answered   float64       // reads answered
	rate       float64       // requests a second, evened out
	demand     float64       // of budgets, by all forwarders
	fetches    tallied       // of the origin
	admit      float64       // part of the reads that may go to the origin
	admitNext  time.Duration // when it may be cut again
	cold       []*server     // with a budget, by id
	granted    map[string]*shared
	keys       map[uint32]float64 // how often they were asked for
	users      map[string]float64 // of tenants
	told       told
}

// heardOf is a digest that waits for the next look.
type heardOf struct {
	by *forwarder
	d  Digest
}

type server struct {
	begun time.Duration // its start as it counts here, see decide/starts
	policy.Server
	factor float64
	base   float64 // of the requests that it should get: weight, factor and warmth; 0: it does not serve
	part   float64 // of those that it gets, by what forwarders remember
	known  float64 // answers of it that they remembered, when they told of bad ones; fading
	due    float64 // how many that should be by its base; fading
	allow  float64 // sends a second that the fleet may make; 0: no limit
	pooled tallied // all forwarders', fading
	skip   tallied // of state.rest: what was told by those that named it
	named  uint64  // the digest that named it last, by state.serial
	word   string  // why
}

func (s *server) weight() float64 {
	if s.Weight >= 0 {
		return s.Weight
	}
	return 1
}

// skew is how many times what its base tells a server gets, as far as is known.
func (s *server) skew() float64 {
	return max(leastSkew, min(mostSkew, (s.known+unknown)/(s.due+unknown)))
}

// ordered are the forwarders by name: sums of the same figures are the same to the last bit.
func (st *state) ordered() []*forwarder {
	if st.order == nil {
		for _, name := range slices.Sorted(maps.Keys(st.forwarders)) {
			st.order = append(st.order, st.forwarders[name])
		}
	}
	return st.order
}

// warmth is the part of its capacity that a server is sure to have by now, as in policy.
func (st *state) warmth(now time.Duration, s *server) float64 {
	age := now - s.begun
	if s.begun == 0 || age >= st.cfg.WarmUp {
		return 1
	}
	return st.cfg.ColdFrom + (1-st.cfg.ColdFrom)*max(0, float64(age)/float64(st.cfg.WarmUp))
}

// forwarder is what one told. Its counts fade.
type forwarder struct {
	start      int64 // of its process, by that one's clock: a name for it
	before     int64 // of the process before that; 0: none is known
	seq        uint64
	heard      time.Duration
	asked      float64 // requests
	askedTaken float64 // those that count
	answered   float64
	origin     tallied
	said       float64           // answers of servers
	taken      float64           // those that count
	rest       float64           // those that count of the rest, for each unit of a server's part
	restBad    float64           // and of them the bad ones
	named      map[string]*taken // those that count of servers told by name
	swept      time.Duration     // when what had faded was dropped from it
}

func (f *forwarder) fade(left float64) {
	for _, x := range []*float64{&f.asked, &f.askedTaken, &f.answered, &f.said, &f.taken, &f.rest, &f.restBad, &f.origin.bad, &f.origin.total} {
		*x *= left
	}
}

// sweep forgets servers of which hardly anything is left.
func (f *forwarder) sweep(now, span time.Duration) {
	if now-f.swept < span {
		return
	}
	f.swept = now
	maps.DeleteFunc(f.named, func(_ string, h *taken) bool { return h.at(now, span).total < 0.05 })
}

// grant is what a forwarder may send a second, until then.
type grant struct {
	rate  float64
	until time.Duration
}

// shared is what is granted of one server's budget.
type shared struct {
	sum   float64 // of each forwarder's largest grant that ran when it was last looked at
	by    map[string]*grants
	order []string // of by, as they came: sums of the same figures are the same to the last bit
}

// grants are one forwarder's.
type grants struct {
	list  []grant
	count float64 // what it is in shared.sum
}

// most is the largest that runs at a time. The older ones run on: the view that told the new one may be lost.
func (g *grants) most(now time.Duration) (most float64) {
	if g == nil {
		return 0
	}
	for _, x := range g.list {
		if x.until >= now {
			most = max(most, x.rate)
		}
	}
	return most
}

// hold notes a grant.
func (s *shared) hold(now time.Duration, to string, g grant) {
	mine := s.by[to]
	if mine == nil {
		mine = &grants{}
		s.by[to], s.order = mine, append(s.order, to)
	}
	// One that is no larger and ends no later is covered by the new one.
	mine.list = append(slices.DeleteFunc(mine.list, func(o grant) bool { return o.until < now || o.rate <= g.rate && o.until <= g.until }), g)
	s.sum -= mine.count
	mine.count = mine.most(now)
	s.sum += mine.count
}

// renew drops the grants that have run out, and adds the others up anew.
func (s *shared) renew(now time.Duration) {
	s.sum = 0
	s.order = slices.DeleteFunc(s.order, func(to string) bool {
		g := s.by[to]
		g.list = slices.DeleteFunc(g.list, func(o grant) bool { return o.until < now })
		g.count = g.most(now)
		if s.sum += g.count; len(g.list) == 0 {
			delete(s.by, to)
		}
		return len(g.list) == 0
	})
}

// tallied is the sum of loads, fading where it lasts.
type tallied struct {
	bad, total float64
	times      [MostTimes]float64
}

// add adds the part of a load that counts.
func (s *tallied) add(l *Load, part float64) {
	s.total += float64(l.answers()) * part
	s.bad += float64(l.bad()) * part
	for i, n := range l.Times {
		s.times[i] += float64(n) * part
	}
}

// plus adds x so many times.
func (s *tallied) plus(x *tallied, by float64) {
	s.total += x.total * by
	s.bad += x.bad * by
	for i := range x.times {
		s.times[i] += x.times[i] * by
	}
}

func (s *tallied) fade(left float64) {
	s.total *= left
	s.bad *= left
	for i := range s.times {
		s.times[i] *= left
	}
}

// within is the time by which that part of the answers had come, as far as the sketch tells.
func (s *tallied) within(part float64) time.Duration {
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
	return time.Millisecond << (MostTimes - 1)
}

func (s *tallied) badShare() float64 {
	if s.total <= 0 {
		return 0
	}
	return min(1, s.bad/s.total) // bad answers are told by name, the others may be inferred
}

// taken is what counts of a forwarder's answers of a server, fading.
type taken struct {
	total, bad float64
	when       time.Duration
}

func (t *taken) at(now, span time.Duration) *taken {
	if now > t.when {
		left := math.Exp(-float64(now-t.when) / float64(span))
		t.total, t.bad, t.when = t.total*left, t.bad*left, now
	}
	return t
}

// middle is the median; 0 of nothing.
func middle(list []float64) float64 {
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
	s := Snapshot{Clock: clock, Stamp: p.stamp, Admit: p.admit, Factors: map[string]float64{}}
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
	p.stamp = max(p.stamp, s.Stamp)
	for _, id := range slices.Sorted(maps.Keys(s.Factors)) {
		if x, f := p.servers[id], s.Factors[id]; x != nil && f >= LeastFactor && f <= 1 {
			x.factor = f
		}
	}
	if s.Admit >= LeastAdmit && s.Admit <= 1 {
		p.admit = s.Admit
	}
	return true
}
