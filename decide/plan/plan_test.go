package plan

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lapisshelf/policy"
)

const sec = time.Second

func serverList(n int) (list []policy.Server) {
	for i := range n {
		list = append(list, policy.Server{ID: fmt.Sprintf("c%02d", i), Weight: 1})
	}
	return append(list, policy.Server{ID: "o", Kind: "origin", Weight: -1})
}

func config() Config {
	return Config{ID: "p1", Mode: policy.Aside, OriginKind: "origin", Weighted: true, ColdFrom: 0.2, WarmUp: 10 * sec, FallMultiple: 3, FallWindow: 1500 * time.Millisecond}
}

// rig feeds a planner with digests, one per second and forwarder.
type rig struct {
	planner    *Planner
	now        time.Duration
	seq        uint64
	forwarders int
	caches     int
	perSecond  int // sends per second from a forwarder to each cache
	bad        func(forwarder, cache int) float64
	origin     Load
	alter      func(d *Digest)
}

func (w *rig) digest(f int) Digest {
	d := Digest{From: fmt.Sprintf("f%03d", f), Start: 1, Seq: w.seq, Span: sec, Asked: w.perSecond * w.caches, Answered: w.perSecond * w.caches, Origin: w.origin}
	for c := range w.caches {
		bad := 0
		if w.bad != nil {
			bad = int(math.Round(w.bad(f, c) * float64(w.perSecond)))
		}
		d.Servers = append(d.Servers, Load{ID: fmt.Sprintf("c%02d", c), Sends: w.perSecond, Timely: w.perSecond - bad, Late: bad})
	}
	if w.alter != nil {
		w.alter(&d)
	}
	return d
}

// run simulates seconds: each has one digest per forwarder and two updates, and calls each after every update.
func (w *rig) run(seconds int, each func()) {
	for range seconds {
		w.seq++
		for f := range w.forwarders {
			w.planner.Digest(w.now, w.digest(f))
		}
		for range 2 {
			w.now += sec / 2
			w.planner.Update(w.now)
			if each != nil {
				each()
			}
		}
	}
}

func (w *rig) factor(id string) float64 {
	for _, r := range w.planner.Explain() {
		if r.ID == id {
			return r.Factor
		}
	}
	return -1
}

func smallRig() *rig {
	w := &rig{planner: New(config()), now: 100 * sec, forwarders: 8, caches: 8, perSecond: 5}
	w.planner.SetServers(w.now, serverList(8))
	return w
}

// A cache that answers late loses weight step by step, with no more than the configured part of the keys moving per second,
// and regains it when it has recovered; other caches keep theirs.
func TestAJammedCacheLosesWeight(t *testing.T) {
	w := smallRig()
	w.run(3, nil)
	failing := true
	w.bad = func(_, c int) float64 {
		if c == 3 && failing {
			return 0.8
		}
		return 0
	}
	shares := func() (list []float64) {
		sum := 0.0
		for _, r := range w.planner.Explain() {
			sum += r.Factor
		}
		for _, r := range w.planner.Explain() {
			list = append(list, r.Factor/sum)
		}
		return list
	}
	last := shares()
	watch := func() {
		moved := 0.0
		for i, s := range shares() {
			moved += math.Abs(s-last[i]) / 2
		}
		if last = shares(); moved > 0.05/2*1.2 { // per update, half a second
			t.Errorf("%.3f of the keys moved in half a second", moved)
		}
	}
	w.run(8, watch)
	if f := w.factor("c03"); f > 0.3 || f < MinFactor {
		t.Errorf("factor %v after eight bad seconds", f)
	}
	if f := w.factor("c02"); f != 1 {
		t.Errorf("a healthy cache has factor %v", f)
	}
	failing = false
	w.run(25, watch)
	if f := w.factor("c03"); f != 1 {
		t.Errorf("factor %v after it has recovered", f)
	}
}

// When all caches answer badly, none is worse than the median, and weights stay. Guards against an overloaded origin, or an
// overload of all caches, that takes weight from the most used cache.
func TestAllBadIsNobodysFault(t *testing.T) {
	w := smallRig()
	w.bad = func(int, int) float64 { return 0.8 }
	w.run(10, nil)
	for _, r := range w.planner.Explain() {
		if r.Factor != 1 {
			t.Errorf("%s has factor %v", r.ID, r.Factor)
		}
	}
}

// A single forwarder with false digests, at any volume, takes no server's weight.
func TestALiarDecidesNothing(t *testing.T) {
	w := smallRig()
	w.alter = func(d *Digest) {
		if d.From != "f000" {
			return
		}
		for i := range d.Servers {
			if d.Servers[i].ID == "c01" {
				d.Servers[i] = Load{ID: "c01", Sends: MaxCount, Late: MaxCount}
			}
		}
		d.Hot = []Heat{{Key: 8, Asked: MaxCount}}
	}
	w.run(10, nil)
	// It counts for at most two in nine, 0.22 above the median: barely over badMargin.
	if f := w.factor("c01"); f < MinFactor {
		t.Errorf("factor %v with one false forwarder", f)
	}
	w = &rig{planner: New(config()), now: 100 * sec, forwarders: 20, caches: 8, perSecond: 5, alter: w.alter}
	w.planner.SetServers(w.now, serverList(8))
	w.run(10, nil)
	if f := w.factor("c01"); f != 1 {
		t.Errorf("factor %v with one false forwarder in twenty", f)
	}
	for _, d := range []Digest{{From: "x", Span: sec, Asked: -1}, {Span: sec}, {From: "x"}, {From: "x", Span: sec, Asked: 1e9},
		{From: "x", Span: sec, Servers: []Load{{ID: "c01", Late: -5}}}, {From: "x", Span: sec, Servers: make([]Load, MaxServers+1)}} {
		if w.planner.Digest(w.now, d) == nil {
			t.Errorf("accepted: %+.60v", d)
		}
	}
}

// A late, duplicated or reordered digest counts once; a restarted forwarder's numbers start over.
func TestDigestsCountOnce(t *testing.T) {
	w := smallRig()
	d := w.digest(0)
	d.Seq = 5
	for i, c := range []struct {
		start int64
		seq   uint64
		taken bool
	}{{1, 5, true}, {1, 5, false}, {1, 4, false}, {1, 6, true}, {2, 1, true}, {1, 9, false}, {2, 2, true}} {
		d.Start, d.Seq = c.start, c.seq
		if err := w.planner.Digest(w.now, d); (err == nil) != c.taken {
			t.Errorf("%d: %v", i, err)
		}
	}
}

// Reads to an origin that refuses or fails are reduced step by step, and recover with it; for one that is merely slow they
// are not reduced.
func TestOriginReadsAreReduced(t *testing.T) {
	w := smallRig()
	admit := func() float64 { return w.planner.View(w.now, w.now, "f000").Admit }
	w.origin = Load{Sends: 10, Timely: 2, Late: 8}
	w.run(8, nil)
	if got := admit(); got != 0 {
		t.Errorf("reads are reduced to %v though the origin is only slow", got)
	}
	w.origin = Load{Sends: 10, Timely: 4, Full: 6}
	last, steps := 1.0, 0
	w.run(12, func() {
		if got := w.planner.admit; got < last {
			if steps++; got < last*admitCut-1e-9 {
				t.Errorf("reads are reduced from %v to %v in one step", last, got)
			}
			last = got
		}
	})
	if got := admit(); got >= 0.6 || got < MinAdmit || steps > 5 {
		t.Errorf("%v of the reads after 12 s, in %d steps", got, steps)
	}
	w.origin = Load{Sends: 10, Timely: 10}
	w.run(15, nil)
	if got := admit(); got != 0 {
		t.Errorf("still reduced to %v", got)
	}
}

// Keys that bring at least half a cache's mean load are published with their load.
func TestHotKeys(t *testing.T) {
	w := smallRig()
	w.alter = func(d *Digest) { d.Hot = []Heat{{Key: 4, Asked: 10}, {Key: 8, Asked: 1}} } // of 40 requests, 5 per cache
	w.run(10, nil)
	v := w.planner.View(w.now, w.now, "f001")
	if len(v.Hot) != 1 || v.Hot[0].Key != 4 || math.Abs(v.Hot[0].Load-2) > 0.2 {
		t.Errorf("%v", v.Hot)
	}
}

// Under any loss, duplication, reordering, joins, restarts and silences, each view is well-formed, the outstanding grants
// never exceed the largest budget within a view's validity, and no two views of a planner have the same stamp.
func TestBudgetsHoldUnderAnyBreaks(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := &rig{planner: New(config()), now: 100 * sec, caches: 6, perSecond: rapid.IntRange(0, 20).Draw(r, "rate")}
		type budgetSample struct {
			at     time.Duration
			budget float64
		}
		var budgets []budgetSample
		var stamp time.Duration
		maxBudget := func(list []budgetSample) (maxBudget float64) {
			for _, s := range list {
				if w.now-s.at <= 3*sec {
					maxBudget = max(maxBudget, s.budget)
				}
			}
			return maxBudget
		}
		list := serverList(6)
		for range rapid.IntRange(10, 60).Draw(r, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 1500).Draw(r, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0: // a server restarts
				list[0].Started = w.now
				w.planner.SetServers(w.now, list)
			case 1, 2:
				w.seq += uint64(rapid.IntRange(0, 2).Draw(r, "lost"))
				d := w.digest(rapid.IntRange(0, 3).Draw(r, "of"))
				d.Start = int64(rapid.IntRange(1, 2).Draw(r, "start"))
				d.Origin = Load{Sends: 20, Late: rapid.IntRange(0, 20).Draw(r, "late"), Timely: 5}
				w.planner.Digest(w.now, d)
			case 3:
				w.planner.Update(w.now)
			default:
				v := w.planner.View(w.now, w.now, fmt.Sprintf("f%03d", rapid.IntRange(0, 3).Draw(r, "to")))
				if err := v.Check(); err != nil {
					r.Fatal(err)
				}
				if v.Made <= stamp {
					r.Fatalf("made at %v after %v", v.Made, stamp)
				}
				stamp = v.Made
			}
			budgets = append(budgets, budgetSample{w.now, w.planner.servers["c00"].allowed()})
			if got := w.planner.OutstandingGrants(w.now, "c00"); got > maxBudget(budgets)+1e-9 {
				r.Fatalf("%v a second granted to a cold server, of at most %v", got, maxBudget(budgets))
			}
		}
	})
}

// A grant that was in transit for a second stays valid a second longer at its forwarder: until then the others get only what
// it leaves. A forwarder that fails withholds its part for no longer than that.
func TestALateGrantCounts(t *testing.T) {
	w := smallRig()
	w.forwarders = 2
	list := serverList(8)
	list[1].Started = w.now
	w.planner.SetServers(w.now, list)
	digest := func(from string, asked int) {
		w.seq++
		if err := w.planner.Digest(w.now, Digest{From: from, Start: 1, Seq: w.seq, Span: sec, Asked: asked, Answered: 200}); err != nil {
			t.Fatal(err)
		}
	}
	grant := func(to string) float64 { return w.planner.Grants(w.now, to)[0].Rate }
	digest("first", 200)
	digest("second", 0)
	w.now += sec / 2
	w.planner.Update(w.now)
	first, since := grant("first"), w.now
	if first < 0.9*w.planner.servers["c01"].allow {
		t.Fatalf("first grant is %v of a budget of %v, want most of it", first, w.planner.servers["c01"].allow)
	}
	for w.now < since+6*sec { // from here on the first forwarder is silent
		w.now += sec / 4
		digest("second", 2000)
		w.planner.Update(w.now)
		got, all := grant("second"), w.planner.servers["c01"].allow
		if over := got + first - all; over > 1e-9 && w.now <= since+4*sec && got > minGrant {
			t.Errorf("%v after the grant: %v of %v for the second forwarder while the first may use %v", w.now-since, got, all, first)
		}
		if w.now > since+5*sec && got < all/2 {
			t.Errorf("%v after the grant: %v of %v for the only remaining forwarder", w.now-since, got, all)
		}
	}
}

func (s *server) allowed() float64 {
	if s == nil {
		return 0
	}
	return s.allow
}

// A snapshot is restored if it is recent enough, and only its values that are in range.
func TestSnapshots(t *testing.T) {
	w := smallRig()
	w.bad = func(_, c int) float64 { return map[int]float64{3: 0.9}[c] }
	w.run(8, nil)
	s := w.planner.Snapshot(1000 * sec)
	s.Factors["c01"], s.Factors["c02"], s.Factors["gone"] = math.NaN(), 0, 0.5
	for _, c := range []struct {
		clock time.Duration
		taken bool
	}{{1005 * sec, true}, {1100 * sec, false}, {999 * sec, false}} {
		x := smallRig()
		if got := x.planner.Restore(c.clock, 30*sec, s); got != c.taken || got != (x.factor("c03") < 1) {
			t.Errorf("after %v: %v, %v", c.clock-s.Clock, got, x.factor("c03"))
		}
		if x.factor("c01") != 1 || x.factor("c02") != 1 {
			t.Error("factors out of range are restored")
		}
	}
}

// Four planners that receive digests of 400 forwarders with different losses, delays and orders reach the same view of a
// failing cache within seconds of each other.
func TestPlannersConverge(t *testing.T) {
	var planners []*rig
	for i := range 4 {
		w := &rig{planner: New(config()), now: 100 * sec, forwarders: 400, caches: 20, perSecond: 1, seq: uint64(i)}
		w.planner.SetServers(w.now, serverList(20))
		w.alter = func(d *Digest) { // each planner misses a different third of the digests
			if (int(d.Seq)*7+len(d.From)*3+int(d.From[3])+i)%3 == 0 {
				d.Seq = 0
			}
		}
		w.bad = func(f, c int) float64 {
			if c == 5 && w.now > 105*sec {
				return 1
			}
			return 0
		}
		planners = append(planners, w)
	}
	cut := map[int]int{}
	for second := range 20 {
		for i, w := range planners {
			if w.run(1, nil); cut[i] == 0 && w.factor("c05") < 0.5 {
				cut[i] = second
			}
		}
	}
	for i := range planners {
		if cut[i] == 0 || cut[i] > 14 || cut[i]-cut[0] > 1 || cut[0]-cut[i] > 1 {
			t.Errorf("half of the weight is gone after seconds %v; the failure began at 5", cut)
			break
		}
	}
}

// The planner that has held its lease longest leads, and epochs never decrease.
func TestWhoLeads(t *testing.T) {
	p := New(config())
	for i, c := range []struct {
		list   []Candidate
		leader string
		epoch  uint64
	}{
		{nil, "", 0},
		{[]Candidate{{"b", 20 * sec}, {"a", 30 * sec}}, "b", 20},
		{[]Candidate{{"a", 30 * sec}}, "a", 30},
		{[]Candidate{{"b", 40 * sec}, {"a", 30 * sec}}, "a", 30}, // with a newer lease
		{nil, "a", 30}, // an empty list changes nothing
		{[]Candidate{{"c", 5 * sec}, {"a", 30 * sec}}, "c", 30}, // its clock is wrong
		{[]Candidate{{"d", 50 * sec}, {"b", 50 * sec}}, "b", 50},
		{[]Candidate{{"d", -5 * sec}}, "d", 50},
	} {
		if got := p.ElectLeader(c.list); got != c.leader || p.Epoch() != c.epoch {
			t.Errorf("%d: %s leads, epoch %d", i, got, p.Epoch())
		}
	}
}

// Latency histograms of many forwarders add up to the fleet's quantiles, exact to a factor of two.
func TestLatencyHistograms(t *testing.T) {
	for took, want := range map[time.Duration]int{0: 0, time.Millisecond: 0, time.Millisecond + 1: 1, 2 * time.Millisecond: 1, 3 * time.Millisecond: 2, 4 * time.Millisecond: 2,
		time.Second: 10, 5 * time.Second: 13, time.Hour: 13} {
		if got := latencyBucket(took); got != want {
			t.Errorf("%v is in bucket %d, want %d", took, got, want)
		}
	}
	w := smallRig()
	w.forwarders = 0
	var all []*Collector
	for f := range 8 {
		all = append(all, NewCollector(w.now, fmt.Sprint("f", f)))
	}
	for range 3 {
		for f, g := range all {
			for i := range 100 {
				took := 6 * time.Millisecond
				if i < 3 {
					took = 300 * time.Millisecond
				}
				g.Attempt("c01", false, policy.OK, took, true, false)
			}
			if err := w.planner.Digest(w.now, *g.Digest(w.now + time.Duration(f+1))); err != nil {
				t.Fatal(err)
			}
		}
		w.run(1, nil)
	}
	for _, r := range w.planner.Explain() {
		if r.ID == "c01" && (r.P50 != 8*time.Millisecond || r.P99 != 512*time.Millisecond) || r.ID == "c02" && r.P50 != 0 {
			t.Errorf("%+v", r)
		}
	}
}

// A forwarder that restarts after its machine's wall clock was set back is heard at once; late digests of its previous
// process are rejected.
func TestARestartAfterAStepBackIsHeard(t *testing.T) {
	p := New(Config{})
	say := func(now time.Duration, start int64, seq uint64) error {
		return p.Digest(now, Digest{From: "n", Start: start, Seq: seq, Span: time.Second, Asked: 10, Answered: 10})
	}
	const old, anew = int64(2 * time.Hour), int64(time.Hour)
	if err := say(time.Second, old, 5); err != nil {
		t.Fatal(err)
	}
	if err := say(2*time.Second, anew, 1); err != nil {
		t.Errorf("first digest after the restart: %v", err)
	}
	if err := say(3*time.Second, old, 6); err == nil {
		t.Error("a late digest of the previous process is accepted")
	}
	if err := say(3*time.Second, anew, 2); err != nil {
		t.Errorf("second digest after the restart: %v", err)
	}
}

// A server that a planner sees start is cold from then on, whatever start time its own clock gives.
func TestAServerSeenToStartIsColdHere(t *testing.T) {
	const warmUp = 10 * time.Second
	for _, skew := range []time.Duration{-time.Hour, 0, time.Hour} {
		now := 2 * time.Hour
		p := New(Config{ColdFrom: 0.2, WarmUp: warmUp})
		list := []policy.Server{{ID: "a", Weight: 1}}
		p.SetServers(now, list)
		p.SetServers(now, append(list, policy.Server{ID: "b", Weight: 1, Started: now + skew}))
		if got := p.warmth(now, p.servers["b"]); got != 0.2 {
			t.Errorf("skew %v: warmth %v at its start", skew, got)
		}
		if got := p.warmth(now+warmUp, p.servers["b"]); got != 1 {
			t.Errorf("skew %v: warmth %v after the warm-up", skew, got)
		}
	}
}
