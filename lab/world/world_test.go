package world

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func spec() CacheSpec {
	return CacheSpec{Name: "c", Cores: 2, Speed: 1, Slots: 4, QueueLimit: 2, MemoryBytes: 1000, WarmUp: 10 * time.Second, ColdFrom: 0.2,
		FallMultiple: 3, FallWindow: time.Second, ReportInterval: 50 * ms}
}

// Four running jobs share two cores evenly: each gets half a core.
func TestCoresAreShared(t *testing.T) {
	c := NewCache(spec(), 1)
	for i := range 4 {
		if v := c.Offer(0, Job{Token: uint64(i + 1), Key: "k", Work: 10 * ms}); v != Accepted {
			t.Fatal(v)
		}
	}
	if done, _ := c.Advance(19 * ms); len(done) != 0 {
		t.Errorf("completed early: %v", done)
	}
	if done, _ := c.Advance(21 * ms); len(done) != 4 || done[0].Outcome != Miss {
		t.Errorf("%v", done)
	}
}

func TestWhatHasNoRoomIsTurnedAway(t *testing.T) {
	c := NewCache(spec(), 1)
	var got []Admission
	for i := range 8 {
		got = append(got, c.Offer(0, Job{Token: uint64(i + 1), Work: 10 * ms}))
	}
	if fmt.Sprint(got) != fmt.Sprint([]Admission{Accepted, Accepted, Accepted, Accepted, Accepted, Accepted, Busy, Busy}) {
		t.Error(got)
	}
	c.Cancel(0, 6) // a waiting job
	if v := c.Offer(0, Job{Token: 9, Work: 10 * ms}); v != Accepted {
		t.Error("a cancelled job still occupies its place in the queue")
	}
	c.Drain(0, true)
	c.Cancel(0, 1)
	if v := c.Offer(0, Job{Token: 10, Work: ms}); v != Busy {
		t.Error("a draining server accepts a new job")
	}
	if done, _ := c.Advance(time.Second); len(done) != 5 {
		t.Errorf("%d of 5 jobs completed that were neither cancelled nor rejected", len(done))
	}
}

// No accepted job is lost or completes twice, and the work done never exceeds the capacity of the cores.
func TestWorkIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sp := spec()
		sp.FallMultiple = 0
		sp.IgnoresCancel = rapid.Bool().Draw(t, "keeps")
		c := NewCache(sp, 1)
		open, worked := map[uint64]time.Duration{}, time.Duration(0)
		now, token := time.Duration(0), uint64(0)
		take := func() {
			done, _ := c.Advance(now)
			for _, d := range done {
				if _, ok := open[d.Token]; !ok {
					t.Fatalf("job %d completed, which was not in flight", d.Token)
				}
				worked += open[d.Token]
				delete(open, d.Token)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * ms
			take()
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				c.Pause(now, rapid.Bool().Draw(t, "pause"))
			case 1:
				c.Slow(now, rapid.Float64Range(0.5, 4).Draw(t, "slow"))
			case 2:
				for k := range open {
					c.Cancel(now, k)
					delete(open, k)
					break
				}
			case 3:
				c.Start(now, rapid.Bool().Draw(t, "cold"))
				clear(open)
				worked = math.MinInt64 / 2 // the work of the previous process is not counted
			default:
				token++
				work := time.Duration(rapid.IntRange(1, 40).Draw(t, "work")) * ms
				if c.Offer(now, Job{Token: token, Key: "k", Work: work}) == Accepted {
					open[token] = work
				}
			}
			if float64(worked) > float64(now)*2*2+1e6 { // two cores, at most twice as fast
				t.Fatalf("%v of work completed in %v", worked, now)
			}
		}
		c.Pause(now, false)
		c.Slow(now, 1)
		now += time.Hour
		take()
		if len(open) > 0 {
			t.Fatalf("never completed: %v", open)
		}
	})
}

func TestWarmUp(t *testing.T) {
	c := NewCache(spec(), 1)
	c.Start(5*time.Second, true)
	for at, want := range map[time.Duration]float64{5 * time.Second: 0.4, 10 * time.Second: 1.2, 15 * time.Second: 2, time.Minute: 2} {
		if got := c.Capacity(at); math.Abs(got-want) > 1e-9 {
			t.Errorf("at %v: capacity %v, want %v", at, got, want)
		}
	}
}

// A cold server falls over when it receives more than FallMultiple times its capacity within the window, and stays down.
// A warm server only queues under the same load.
func TestAColdServerFallsOver(t *testing.T) {
	for _, cold := range []bool{true, false} {
		c := NewCache(spec(), 1)
		c.Start(0, cold)
		fell := -1
		for i := range 200 {
			if c.Offer(time.Duration(i)*5*ms, Job{Token: uint64(i + 1), Work: 10 * ms}) == Down {
				fell = i
				break
			}
		}
		// 3 x 0.4 x 1 s of work is 120 jobs, plus a few as it warms up, plus two of slack.
		if cold && (fell < 120 || fell > 180 || !c.FellOver()) || !cold && fell >= 0 {
			t.Errorf("cold %v: fell over at job %d", cold, fell)
		}
		if cold && c.Offer(time.Hour, Job{Token: 999, Work: ms}) != Down {
			t.Error("a server that fell over came back without a start")
		}
	}
}

func TestMemoryForgetsWhatWasUsedLongestAgo(t *testing.T) {
	c := NewCache(spec(), 1)
	for i := range 10 {
		c.Store(0, fmt.Sprint("k", i), 0, 200)
	}
	if n, bytes := c.Size(); n != 5 || bytes != 1000 {
		t.Errorf("%d values, %d bytes", n, bytes)
	}
	c.Offer(0, Job{Token: 1, Key: "k5", Work: ms})
	c.Advance(10 * ms) // a hit on k5
	c.Store(0, "new", 0, 200)
	if _, ok := c.CachedVersion("k5"); !ok {
		t.Error("the most recently used value was evicted")
	}
	if _, ok := c.CachedVersion("k6"); ok {
		t.Error("the least recently used value was kept")
	}
	c.Store(0, "new", 3, 200)
	c.Store(0, "new", 2, 200) // a fetch that a write overtook
	if v, _ := c.CachedVersion("new"); v != 3 {
		t.Errorf("version %d", v)
	}
	c.Invalidate("new")
	if _, ok := c.CachedVersion("new"); ok {
		t.Error("an invalidated value is still cached")
	}
	c.Store(0, "huge", 0, 1001)
	if _, ok := c.CachedVersion("huge"); ok {
		t.Error("a value larger than the memory was cached")
	}
	c.Flush(1)
	if n, bytes := c.Size(); n != 0 || bytes != 0 {
		t.Errorf("%d values, %d bytes after a flush", n, bytes)
	}
}

func TestThroughModeSharesFetches(t *testing.T) {
	sp := spec()
	sp.Through, sp.Coalesce = true, true
	c := NewCache(sp, 1)
	for i := range 3 {
		c.Offer(0, Job{Token: uint64(i + 1), Key: "k", Work: ms, Size: 10})
	}
	c.Offer(0, Job{Token: 4, Key: "k", Work: ms, Write: true, Idem: "i"})
	done, requests := c.Advance(20 * ms)
	if len(done) != 0 || len(requests) != 2 {
		t.Fatalf("%v %v", done, requests)
	}
	if c.Offer(20*ms, Job{Token: 5, Work: ms}) != Accepted || c.Offer(20*ms, Job{Token: 6, Work: ms}) != Accepted ||
		c.Offer(20*ms, Job{Token: 7, Work: ms}) != Busy {
		t.Error("jobs that wait for the origin do not hold their slots")
	}
	for _, a := range requests {
		if a.Write {
			c.OriginAnswered(30*ms, a.Token, Completion{Outcome: Stored, Receipt: "R1"})
		} else {
			c.OriginAnswered(30*ms, a.Token, Completion{Outcome: Fetched, Version: 7})
		}
	}
	if done, _ = c.Advance(30 * ms); len(done) != 4 {
		t.Errorf("%v", done)
	}
	if v, ok := c.CachedVersion("k"); !ok || v != 7 {
		t.Error("the fetched value was not cached")
	}
}

func TestLeasesTellOfAFetchUnderWay(t *testing.T) {
	sp := spec()
	sp.Lease = 100 * ms
	c := NewCache(sp, 1)
	var got []Outcome
	for i, at := range []time.Duration{0, 50 * ms, 150 * ms} {
		c.Offer(at, Job{Token: uint64(i + 1), Key: "k", Work: ms})
		done, _ := c.Advance(at + 5*ms)
		got = append(got, done[0].Outcome)
	}
	if fmt.Sprint(got) != fmt.Sprint([]Outcome{Miss, Fetching, Miss}) {
		t.Error(got)
	}
}

func originSpec() OriginSpec {
	return OriginSpec{Cores: 2, Slots: 4, QueueLimit: 100, Work: 10 * ms, WriteFactor: 2, FallMultiple: 2, FallWindow: time.Second,
		Downtime: 3 * time.Second, DedupWindow: time.Second}
}

// A keyed write takes effect once within its window, however often it is repeated, and again after it.
func TestKeyedWritesTakeEffectOnce(t *testing.T) {
	o := NewOrigin(originSpec(), 1)
	offer := func(token uint64, at time.Duration) {
		if v, _ := o.Offer(at, Job{Token: token, Key: "k", Write: true, Idem: "i"}); v != Accepted {
			t.Fatal(v)
		}
	}
	offer(1, 0)
	offer(2, ms) // before the first completes
	offer(3, 900*ms)
	offer(4, 1500*ms)
	o.Cancel(1501*ms, 4) // running, so that it still takes effect
	fresh, receipts := 0, map[string]int{}
	for _, d := range o.Advance(time.Minute) {
		if d.Applied {
			fresh++
		}
		receipts[d.Receipt]++
	}
	if fresh != 2 || receipts["R1"] != 3 || receipts["R2"] != 1 || o.Version("k") != 2 {
		t.Errorf("%d effects, receipts %v, version %d", fresh, receipts, o.Version("k"))
	}
	for i := range 1000 {
		o.Offer(time.Hour+time.Duration(i)*time.Minute, Job{Token: uint64(10 + i), Write: true, Idem: fmt.Sprint(i)})
	}
	if len(o.effects) > 10 {
		t.Errorf("%d effects remembered", len(o.effects))
	}
}

func TestAnOriginAskedTooMuchStops(t *testing.T) {
	o := NewOrigin(originSpec(), 1)
	accepted, down := 0, 0
	for i := range 2000 {
		switch v, _ := o.Offer(time.Duration(i)*ms, Job{Token: uint64(i + 1)}); v {
		case Accepted:
			accepted++
		case Down:
			down++
		}
		o.Advance(time.Duration(i) * ms)
	}
	if o.StopCount() != 1 || down == 0 || accepted == 0 || !o.Stopped(2*time.Second) || o.Stopped(10*time.Second) {
		t.Errorf("%d stops, %d accepted, %d found it down", o.StopCount(), accepted, down)
	}
	if len(o.TakeLost()) == 0 {
		t.Error("the stop lost no jobs")
	}
	if v, _ := o.Offer(10*time.Second, Job{Token: 9999}); v != Accepted {
		t.Error("it does not accept jobs after its downtime")
	}
}

func TestTheListIsLateAndForgets(t *testing.T) {
	r := NewServerList(3, Member{ID: "a"}, Member{ID: "b"})
	rev, all := r.Snapshot(0)
	if rev != 1 || len(all) != 2 {
		t.Fatal(rev, all)
	}
	r.Set(0, time.Second, Member{ID: "b", Phase: Draining})
	r.Set(0, 500*ms, Member{ID: "c"})
	if at, _ := r.NextVisible(); at != 500*ms {
		t.Errorf("the next change is visible at %v", at)
	}
	if r.Revision(499*ms) != 1 || r.Revision(500*ms) != 2 || r.Revision(time.Second) != 3 {
		t.Error("changes become visible at the wrong time")
	}
	r.Set(time.Second, 0, Member{ID: "b", Phase: Deleted})
	at, changes, known := r.ChangesSince(time.Second, 1)
	if at != 4 || !known || len(changes) != 2 || changes[0].ID != "c" || changes[1].Phase != Deleted {
		t.Error(at, changes, known)
	}
	r.Set(time.Second, 0, Member{ID: "d"})
	if _, _, known := r.ChangesSince(time.Second, 1); known {
		t.Error("changes since a discarded revision are reported as known")
	}
	if _, _, known := r.ChangesSince(time.Second, 99); known {
		t.Error("changes since a future revision are reported as known")
	}
	if _, changes, known := r.ChangesSince(time.Second, 2); !known || len(changes) != 2 {
		t.Error(changes, known)
	}
}

func source(seed uint64, shapes ...Shape) *Source {
	classes := []Class{{Name: "read", Share: 0.9, Work: 10 * ms, Sigma: 0.3, Size: 100, Deadline: time.Second},
		{Name: "put", Share: 0.1, Effect: Keyed, Write: true, Size: 50, SizeSigma: 0.5, Deadline: 500 * ms}}
	return NewSource(ClientSpec{Rate: 500, Keys: 1000, Zipf: 0.9, Offset: 2, Drift: 0.01, TimeoutRange: [2]float64{0.7, 1}, MaxRetries: 1,
		LeaveShare: 0.05, Nodes: 3, NodeShares: []float64{2, 1, 1}}, classes, []Tenant{{"a", 3, 200}, {"b", 1, 0}}, shapes, seed, 20*time.Second)
}

func text(all []Arrival) string {
	var b strings.Builder
	for i := range all {
		fmt.Fprintln(&b, all[i].String(), all[i].ID(7, 0))
	}
	return b.String()
}

// The same seed gives byte-equal plans, another seed gives a different one, and a shape does not change earlier arrivals.
func TestPlansRepeat(t *testing.T) {
	one := text(source(7).Plan())
	if one != text(source(7).Plan()) {
		t.Error("the same seed gives a different plan")
	}
	if one == text(source(8).Plan()) {
		t.Error("another seed gives the same plan")
	}
	hot := text(source(7, Shape{Kind: HotKeys, From: 10 * time.Second, To: 15 * time.Second, Magnitude: 0.2, Count: 2}).Plan())
	same := 0
	for same < len(hot) && hot[same] == one[same] {
		same++
	}
	if before := strings.Index(one, "at=10."); same < before {
		t.Errorf("a hot key at 10 s changes the plan at byte %d of %d", same, before)
	}
}

func TestArrivalsAreWhatIsAskedFor(t *testing.T) {
	all := source(3, Shape{Kind: Surge, From: 10 * time.Second, To: 15 * time.Second, Magnitude: 3},
		Shape{Kind: HotKeys, From: 5 * time.Second, To: 8 * time.Second, Magnitude: 0.3, Count: 1}).Plan()
	seconds, keys, nodes, puts, leave, over := [20]int{}, map[string]int{}, [3]int{}, 0, 0, 0
	hot := map[string]int{}
	for _, a := range all {
		seconds[a.At/time.Second]++
		nodes[a.Node]++
		if a.Class == 1 {
			puts++
			if a.Idem == "" || a.Size == 0 {
				t.Fatalf("%s", a.String())
			}
		}
		if a.LeaveAfter > 0 {
			leave++
		}
		if a.OverQuota {
			over++
		}
		if a.At > 5*time.Second && a.At < 8*time.Second {
			hot[a.Key]++
		} else {
			keys[a.Key]++
		}
		if a.Timeout < 350*ms || a.Timeout > time.Second {
			t.Fatalf("timeout %v", a.Timeout)
		}
	}
	near := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 0.15*want {
			t.Errorf("%s: %v, want about %v", what, got, want)
		}
	}
	near("first second", float64(seconds[0]), 500)
	near("surge", float64(seconds[12]), 1500)
	near("writes", float64(puts)/float64(len(all)), 0.1)
	near("first node", float64(nodes[0])/float64(len(all)), 0.5)
	near("leaving", float64(leave)/float64(len(all)), 0.05)
	maxCount := func(m map[string]int) (n int) {
		for _, c := range m {
			n = max(n, c)
		}
		return n
	}
	near("hot key", float64(maxCount(hot))/1500, 0.3)
	if top := float64(maxCount(keys)) / float64(len(all)-1500); top < 0.01 || top > 0.08 {
		t.Errorf("the most popular key has a share of %v", top)
	}
	if over == 0 || over > len(all)/2 {
		t.Errorf("%d arrivals beyond the quota", over)
	}
}

func TestWorkAndSizesHangOnTheRequestAlone(t *testing.T) {
	c := &Class{Work: 10 * ms, Sigma: 0.5, Size: 1000, SizeSigma: 0.5}
	sum, sizes := time.Duration(0), 0
	for i := range 4000 {
		id := fmt.Sprint(i)
		work, size := WorkOf(1, c, id), SizeOf(1, c, id)
		if workAgain, sizeAgain := WorkOf(1, c, id), SizeOf(1, c, id); work != workAgain || size != sizeAgain {
			t.Fatal("two draws for one request differ")
		}
		sum += work
		sizes += size
	}
	if mean := sum / 4000; mean < 95*ms/10 || mean > 105*ms/10 {
		t.Errorf("mean work %v", mean)
	}
	if mean := sizes / 4000; mean < 950 || mean > 1050 {
		t.Errorf("mean size %d", mean)
	}
}

func TestReportsAreLate(t *testing.T) {
	c := NewCache(spec(), 1)
	first := c.LoadReport(10 * ms)
	for i := range 6 {
		c.Offer(10*ms, Job{Token: uint64(i + 1), Work: time.Second})
	}
	if got := c.LoadReport(30 * ms); got != first {
		t.Errorf("the report changed to %v before its interval", got)
	}
	if got := c.LoadReport(100 * ms); got.Queue != 2 || got.Utilization < 0.9 {
		t.Errorf("%v", got)
	}
}

func TestTheBudgetCountsAnySpan(t *testing.T) {
	b := WorkBudget{Multiple: 2, Window: time.Second}
	for i := range 20 { // 2 s of work per second are just within the budget
		if spent, _ := b.Add(time.Duration(i)*50*ms, 100*ms, 1, i%2 == 0); spent {
			t.Fatalf("exceeded at arrival %d", i)
		}
	}
	spent, marked := b.Add(960*ms, 100*ms, 1, true)
	if !spent || math.Abs(marked-11.0/21) > 1e-9 {
		t.Errorf("%v, %v marked", spent, marked)
	}
	if spent, _ := b.Add(3*time.Second, 100*ms, 1, true); spent {
		t.Error("work before the window still counts")
	}
}
