package plan

import (
	"maps"
	"math"
	"slices"
	"time"

	"lapisshelf/policy"
)

// What a planner remembers, and its plain upkeep. Nothing is decided here.

type state struct {
	cfg        Config
	epoch      uint64
	leader     string // by the leases; empty: nobody is known to hold one
	servers    map[string]*server
	serving    []*server // those that serve by the list, by id
	forwarders map[string]*forwarder
	order      []*forwarder  // by name; nil: to be made anew
	made       time.Duration // the last Make
	stamp      time.Duration // of the last view
	asked      float64       // requests of all forwarders in the span
	answered   float64       // reads answered
	fetches    tallied       // of the origin
	admit      float64       // part of the reads that may go to the origin
	admitNext  time.Duration // when it may be cut again
	hot        []policy.Heat
	use        []policy.Use
}

type server struct {
	policy.Server
	factor float64
	allow  float64 // sends a second that the fleet may make; 0: no limit
	pooled tallied
	word   string // why
}

func (s *server) weight() float64 {
	if s.Weight >= 0 {
		return s.Weight
	}
	return 1
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
	age := now - s.Started
	if s.Started == 0 || age >= st.cfg.WarmUp {
		return 1
	}
	return st.cfg.ColdFrom + (1-st.cfg.ColdFrom)*max(0, float64(age)/float64(st.cfg.WarmUp))
}

type forwarder struct {
	start           int64
	seq             uint64
	heard           time.Duration
	asked, answered fade
	origin          tally
	seen            map[string]*tally // by server
	hot             map[uint32]*fade
	use             map[string]*fade
	grants          map[string][]grant // by server
}

// grant is what a forwarder may send a second, until then.
type grant struct {
	rate  float64
	until time.Duration
}

// hold notes a grant. The older ones run on: the view that told the new one may be lost.
func (f *forwarder) hold(now time.Duration, of string, g grant) {
	if f.grants == nil {
		f.grants = map[string][]grant{}
	}
	// One that is no larger and ends no later is covered by the new one.
	list := slices.DeleteFunc(f.grants[of], func(o grant) bool { return o.until < now || o.rate <= g.rate && o.until <= g.until })
	f.grants[of] = append(list, g)
}

// granted is the most that a forwarder may be sending by any grant that runs.
func (f *forwarder) granted(now time.Duration, of string) (most float64) {
	for _, g := range f.grants[of] {
		if g.until >= now {
			most = max(most, g.rate)
		}
	}
	return most
}

// running counts the grants that run, and forgets the others.
func (f *forwarder) running(now time.Duration) (n int) {
	for of, list := range f.grants {
		if list = slices.DeleteFunc(list, func(g grant) bool { return g.until < now }); len(list) == 0 {
			delete(f.grants, of)
		} else {
			f.grants[of] = list
			n += len(list)
		}
	}
	return n
}

// tally is what a forwarder saw of a server, fading.
type tally struct {
	sends, timely, bad fade
	times              [MostTimes]fade
}

func (t *tally) take(now, span time.Duration, l *Load) {
	t.sends.add(now, span, float64(l.Sends))
	t.timely.add(now, span, float64(l.Timely))
	t.bad.add(now, span, float64(l.Late+l.Full+l.Failed))
	for i, n := range l.Times {
		t.times[i].add(now, span, float64(n))
	}
}

func (t *tally) total(now, span time.Duration) float64 {
	t.sends.at(now, span)
	return t.timely.at(now, span) + t.bad.at(now, span)
}

// tallied is the sum over forwarders.
type tallied struct {
	sends, bad, total float64
	times             [MostTimes]float64
}

// add adds a forwarder's, of which total was asked at the same moment, cut to a bound in all its parts alike.
func (s *tallied) add(t *tally, most float64) {
	total, part := t.timely.value+t.bad.value, 1.0
	if total > most {
		part = most / total
	}
	s.total += total * part
	s.bad += t.bad.value * part
	s.sends += t.sends.value * part
	for i := range t.times {
		s.times[i] += t.times[i].value * part
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
	return s.bad / s.total
}

// fade is a count that forgets evenly over a span.
type fade struct {
	value float64
	when  time.Duration
}

func (f *fade) at(now, span time.Duration) float64 {
	if now > f.when {
		f.value *= math.Exp(-float64(now-f.when) / float64(span))
		f.when = now
	}
	return f.value
}

func (f *fade) add(now, span time.Duration, n float64) { f.value = f.at(now, span) + n }

func added[K comparable](m map[K]*fade, k K) *fade {
	f := m[k]
	if f == nil {
		f = &fade{}
		m[k] = f
	}
	return f
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
