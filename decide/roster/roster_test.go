package roster

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lapisshelf/policy"
)

var styles = map[string]style{"stream": stream, "poll": poll, "whole": whole}

func each(t *testing.T, f func(t *testing.T, s style)) {
	for name, s := range styles {
		t.Run(name, func(t *testing.T) { f(t, s) })
	}
}

func TestFollows(t *testing.T) {
	each(t, func(t *testing.T, s style) {
		m := newModel(t, s, 2, 1, nil)
		for i := range 10 {
			m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Ready))
		}
		m.start()
		m.run(50 * ms)
		p := m.followers[0]
		if p.list() != m.list() || len(p.told) != 10 {
			t.Fatalf("%s", p.list())
		}
		m.set("k1", entry("s1", policy.Draining))
		at := m.now
		m.run(20 * ms)
		if p.told["s1"].State != policy.Draining || p.when["s1"]-at > 4*m.latency {
			t.Errorf("a drain is known after %v", p.when["s1"]-at)
		}
		m.set("k1", entry("s1", policy.Gone))
		m.set("k11", entry("s11", policy.Ready))
		m.run(20 * ms)
		if p.list() != m.list() {
			t.Errorf("%s, want %s", p.list(), m.list())
		}
		before := m.calls
		m.run(time.Minute)
		if calls := m.calls - before; calls < 8 || calls > 30 || p.f.Counts.Failed > 0 {
			t.Errorf("%d calls in a quiet minute, %d failed", calls, p.f.Counts.Failed)
		}
	})
}

// Random breaks, compactions, lags, duplicates and silence: after each quiet spell the list held is the registry's, what
// is told makes sense all along (see Apply), and no server that was told to drain or to be gone is told ready again
// unless the registry said so later.
func TestAnyBreaks(t *testing.T) {
	each(t, func(t *testing.T, s style) {
		rapid.Check(t, func(t *rapid.T) {
			ends := rapid.IntRange(1, 3).Draw(t, "endpoints")
			m := newModel(t, s, ends, 2, func(c *Config) { c.PageSize = rapid.IntRange(0, 4).Draw(t, "page") })
			m.latency = time.Duration(rapid.IntRange(1, 40).Draw(t, "latency")) * ms
			m.double = rapid.Bool().Draw(t, "double")
			m.start()
			drained := map[string]int64{} // the last revision at which an id was told not to be ready
			for range rapid.IntRange(5, 40).Draw(t, "steps") {
				end := rapid.IntRange(0, ends-1).Draw(t, "end")
				switch rapid.IntRange(0, 10).Draw(t, "what") {
				case 0:
					m.down[end] = !m.down[end]
					m.breakAll()
				case 1:
					m.mute[end] = !m.mute[end]
				case 2:
					m.lag[end] = int64(rapid.IntRange(0, 4).Draw(t, "lag"))
				case 3:
					m.min = max(m.min, m.rev-int64(rapid.IntRange(0, 3).Draw(t, "keep")))
				case 4:
					m.breakAll()
				default:
					id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "id"))
					e := entry(id, policy.State(rapid.IntRange(0, 2).Draw(t, "state")))
					e.Weight = rapid.Float64Range(0.5, 2).Draw(t, "weight")
					m.set("k-"+id, e)
					if e.State != policy.Ready {
						drained[id] = m.rev
					} else {
						delete(drained, id)
					}
				}
				m.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * ms)
				for _, p := range m.followers {
					for id, e := range p.told {
						if drained[id] > 0 && p.f.Revision() >= drained[id] && e.State == policy.Ready {
							t.Fatalf("%s is ready at revision %d, though it drained at %d", id, p.f.Revision(), drained[id])
						}
					}
				}
			}
			for i := range ends {
				m.down[i], m.mute[i], m.lag[i] = false, false, 0
			}
			m.run(20 * time.Second)
			for _, p := range m.followers {
				if p.list() != m.list() {
					t.Fatalf("holds %q, the registry %q; %q", p.list(), m.list(), p.log)
				}
			}
		})
	})
}

// A resume from a revision that is compacted ends in one whole reread: servers that went in the gap are gone, told so in
// the reread, and none that came is missed.
func TestCompactedResume(t *testing.T) {
	m := newModel(t, stream, 1, 1, nil)
	for i := range 8 {
		m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Ready))
	}
	m.start()
	m.run(time.Second)
	p := m.followers[0]
	m.down[0] = true
	m.breakAll()
	m.run(3 * time.Second)
	m.set("k1", entry("s1", policy.Gone))
	m.set("k2", entry("s2", policy.Draining))
	m.set("k9", entry("s9", policy.Ready))
	m.min = m.rev
	lists := p.f.Counts.Lists
	m.down[0] = false
	m.run(3 * time.Second)
	if p.list() != m.list() || p.f.Counts.Lists != lists+1 || p.f.Counts.Compacted != 1 || p.noted("list_compacted") != 1 {
		t.Errorf("%s after %d lists, %q", p.list(), p.f.Counts.Lists-lists, p.log)
	}
}

// A list that changes, or is compacted, while it is paged is still one list: that of a single revision.
func TestTheListChangesWhileItIsPaged(t *testing.T) {
	for _, compacts := range []bool{false, true} {
		m := newModel(t, stream, 1, 1, func(c *Config) { c.PageSize = 1 })
		for i := range 6 {
			m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Ready))
		}
		m.latency = 10 * ms
		m.start()
		m.run(65 * ms) // some pages are there
		p := m.followers[0]
		if p.ups != 0 || len(p.f.pages) == 0 {
			t.Fatalf("%d pages, %d updates", len(p.f.pages), p.ups)
		}
		m.set("k0", entry("s0", policy.Gone)) // paged already
		m.set("k5", entry("s5", policy.Draining))
		if compacts {
			m.min = m.rev
		}
		m.run(2 * time.Second)
		if p.list() != m.list() {
			t.Errorf("compacts %v: %s, want %s", compacts, p.list(), m.list())
		}
		if compacts && p.f.Counts.Compacted == 0 {
			t.Error("nothing was compacted under way")
		}
	}
}

// An endpoint that lags never takes the list back in time, and another is asked instead; where all lag behind what is
// held, for as long as is stated, the registry has been restored, and its list counts.
func TestLagAndRestore(t *testing.T) {
	each(t, func(t *testing.T, s style) {
		m := newModel(t, s, 2, 1, func(c *Config) { c.RewindAfter = 10 * time.Second })
		m.set("k1", entry("s1", policy.Ready))
		m.set("k2", entry("s2", policy.Ready))
		m.set("k1", entry("s1", policy.Draining))
		m.start()
		m.run(time.Second)
		p := m.followers[0]
		if p.told["s1"].State != policy.Draining {
			t.Fatal(p.list())
		}
		m.lag[p.f.current] = 1 // one lags: the other goes on
		m.breakAll()
		m.run(2 * time.Second)
		m.set("k2", entry("s2", policy.Draining))
		m.run(3 * time.Second)
		if p.told["s2"].State != policy.Draining || p.told["s1"].State != policy.Draining {
			t.Errorf("%s beside an endpoint that lags", p.list())
		}
		// A backup is restored everywhere: two changes are undone.
		m.log, m.rev, m.lag = m.log[:2], 2, []int64{0, 0}
		m.breakAll()
		begin := m.now
		for m.now < begin+8*time.Second {
			m.run(100 * ms)
			if p.told["s1"].State != policy.Draining {
				t.Fatalf("taken back after %v", m.now-begin)
			}
		}
		m.run(12 * time.Second)
		if p.list() != m.list() || p.noted("list_rewound") != 1 || p.f.Revision() != 2 {
			t.Errorf("%s at %d, want %s; %q", p.list(), p.f.Revision(), m.list(), p.log)
		}
		m.set("k3", entry("s3", policy.Ready))
		m.run(2 * time.Second)
		if p.list() != m.list() {
			t.Errorf("after the restore: %s, want %s", p.list(), m.list())
		}
	})
}

// With the endpoints that know more out of reach, one that lags is believed only after four times as long.
func TestALagThatMayBeACut(t *testing.T) {
	m := newModel(t, stream, 2, 1, func(c *Config) { c.RewindAfter = 10 * time.Second })
	m.set("k1", entry("s1", policy.Ready))
	m.set("k1", entry("s1", policy.Draining))
	m.start()
	m.run(time.Second)
	m.lag[0], m.down[1] = 1, true
	m.breakAll()
	p := m.followers[0]
	m.run(30 * time.Second)
	if p.told["s1"].State != policy.Draining {
		t.Error("a lagging endpoint is believed while the other cannot be asked")
	}
	m.run(30 * time.Second)
	if p.told["s1"].State != policy.Ready {
		t.Error("it is never believed")
	}
}

// A prefix wiped by mistake: what was ready is kept for the stated time, with a line that says so; what drained is not,
// and single servers go at once.
func TestAWipedPrefix(t *testing.T) {
	each(t, func(t *testing.T, s style) {
		for _, oneByOne := range []bool{false, true} {
			m := newModel(t, s, 1, 1, func(c *Config) { c.HoldTime = 20 * time.Second })
			for i := range 8 {
				m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Ready))
			}
			m.set("k7", entry("s7", policy.Draining))
			m.start()
			m.run(time.Second)
			p := m.followers[0]
			m.set("k0", entry("s0", policy.Gone))
			m.run(time.Second)
			if _, there := p.told["s0"]; there || p.f.HeldServers() != 0 {
				t.Error("a single server is kept")
			}
			m.run(10 * time.Second)
			for i := 1; i < 8; i++ {
				m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Gone))
				if oneByOne {
					m.run(200 * ms)
				}
			}
			m.run(time.Second)
			_, drains := p.told["s7"]
			if least := map[bool]int{false: 6, true: 3}[oneByOne]; len(p.told) < least || drains || p.noted("list_held") == 0 {
				t.Errorf("one by one %v: left with %s; %q", oneByOne, p.list(), p.log)
			}
			m.set("k5", entry("s5", policy.Ready)) // one is back
			m.run(25 * time.Second)
			if p.list() != m.list() || p.f.HeldServers() != 0 || p.noted("list_released") == 0 {
				t.Errorf("after the stated time: %s, want %s; %q", p.list(), m.list(), p.log)
			}
		}
	})
}

// A server that another replaces at its address is no part of a mass: it goes at once, however many are replaced.
func TestReplacedServersAreNotHeld(t *testing.T) {
	m := newModel(t, stream, 1, 1, func(c *Config) { c.HoldTime = 20 * time.Second })
	for i := range 4 {
		m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Ready))
	}
	m.start()
	m.run(time.Second)
	for i := range 4 {
		e := entry(fmt.Sprint("n", i), policy.Ready)
		e.Addr = fmt.Sprint("addr-s", i)
		m.set(fmt.Sprint("n", i), e)
		m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Gone))
	}
	m.run(50 * ms)
	if p := m.followers[0]; p.list() != m.list() {
		t.Errorf("%s, want %s", p.list(), m.list())
	}
}

// A stream that is cut without a word is found out by the watch that follows it, and the drain behind it is learned from
// another endpoint.
func TestASilentStream(t *testing.T) {
	m := newModel(t, stream, 2, 1, nil)
	m.set("k", entry("s", policy.Ready))
	m.start()
	m.run(time.Second)
	p := m.followers[0]
	m.mute[p.f.current] = true
	m.set("k", entry("s", policy.Draining))
	m.run(p.f.cfg.WatchTimeout + p.f.cfg.CallTimeout + time.Second)
	if p.list() != m.list() {
		t.Errorf("%s; %q", p.list(), p.log)
	}
}

// A watch on discovery that falls silent at any moment, of a lone node or of one of hundreds: what it misses counts as told
// 6 s after that, or 2 s after its wait is over if that is later, and is known a second before. Where the call that asks
// anew fails, however slowly, it is still known by then. Guards against requests to servers announced as leaving, 0.48 s
// past the grace (launceston-platform, calm+brink).
func TestASilentWatchIsFoundOutBeforeWhatItMissesCounts(t *testing.T) {
	for _, nodes := range []int{2, 5, 300} {
		for _, pushed := range []bool{false, true} {
			t.Run(fmt.Sprint(nodes, " nodes, pushed ", pushed), func(t *testing.T) {
				rapid.Check(t, func(t *rapid.T) {
					watch := min(60*time.Second, max(5*time.Second, time.Duration(nodes)*time.Second)) // as internal/node has it
					m := newModel(t, poll, 1, 1, func(c *Config) {
						c.Nodes, c.WatchTimeout, c.CallTimeout, c.ImmediateFirstWatch = nodes, watch, 1500*ms, true
						c.AskWithin = rapid.SampledFrom([]time.Duration{0, 5 * time.Second, 10 * time.Second, 20 * time.Second}).Draw(t, "within")
						if pushed {
							c.PushedRetryDelay = 100 * ms
						}
					})
					m.latency = time.Duration(rapid.IntRange(1, 20).Draw(t, "latency")) * ms
					p := m.followers[0]
					p.f.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
					m.set("k", entry("s", policy.Ready))
					p.told = map[string]Entry{"s": entry("s", policy.Ready)}
					p.f.Restore(1, []Entry{entry("s", policy.Ready)})
					m.start()
					for p.call.ID == 0 { // in a large fleet the first call waits its turn
						m.run(ms)
					}
					first := rapid.Bool().Draw(t, "first") // the very first call is the silent one, else a watch, at any time of it
					if !first {
						m.run(time.Second)
						m.set("other", entry("o", policy.Ready)) // the next watch begins with an answer
						m.run(4 * m.latency)
						m.run(time.Duration(rapid.Int64Range(0, int64(p.call.Wait)-int64(10*ms)).Draw(t, "into")))
					}
					p.hush = p.call.ID
					silent, over := m.now, p.asked+p.call.Wait
					m.refuse, m.tardy = rapid.IntRange(0, 1).Draw(t, "refused"), time.Duration(rapid.IntRange(0, 980).Draw(t, "tardy"))*ms
					room := time.Second
					if m.refuse > 0 {
						room = 0
					}
					m.run(time.Duration(rapid.IntRange(0, 100).Draw(t, "later")) * ms)
					m.set("k", entry("s", policy.Draining))
					told := max(silent+6*time.Second, over+2*time.Second)
					m.run(told - m.now + time.Second)
					if p.told["s"].State != policy.Draining || p.when["s"] > told-room {
						t.Fatalf("silent at %v, wait over at %v, told at %v, known at %v (%v)", silent, over, told, p.when["s"], p.told["s"].State)
					}
				})
			})
		}
	}
}

// The watches of a whole fleet that fall silent at once are not asked anew at once: their waits were drawn. And a silence
// that lasts, of a registry that hangs, ends in the waits that grow, not in a look after another.
func TestSilentWatchesAreAskedAnewApart(t *testing.T) {
	const followers = 300
	m := newModel(t, poll, 1, followers, func(c *Config) { c.WatchTimeout, c.CallTimeout, c.AskWithin = time.Minute, 1500*ms, 20*time.Second })
	m.set("k", entry("s", policy.Ready))
	m.start()
	m.run(10 * time.Second)
	m.set("k", entry("s", policy.Draining)) // all watches end, and begin anew
	m.run(time.Second)
	for _, p := range m.followers {
		p.hush = p.call.ID
	}
	m.set("k", entry("s", policy.Gone))
	clear(m.byTime)
	m.run(70 * time.Second)
	worst := 0
	for _, n := range m.byTime {
		worst = max(worst, n)
	}
	for _, p := range m.followers {
		if len(p.told) != 0 {
			t.Fatalf("not known after its wait: %s", p.list())
		}
	}
	if worst > 3*2*followers/15 { // a look and a watch each, over a quarter of a minute
		t.Errorf("%d calls in a second", worst)
	}
	m.mute[0] = true
	m.run(70 * time.Second)
	before := m.calls
	m.run(time.Minute)
	if calls := m.calls - before; calls > 60*followers/3 {
		t.Errorf("%d calls in a minute of silence", calls)
	}
}

// What a registry that the node is moved to has to tell counts 4 s later, and is known by then, also where the first read is
// turned away, in fleets of all sizes, or falls silent, in small ones.
func TestAMoveIsDoneBeforeItCounts(t *testing.T) {
	for _, nodes := range []int{2, 5, 300} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(t, poll, 1, 1, func(c *Config) { c.Nodes, c.CallTimeout, c.AskWithin = nodes, 1500*ms, 20*time.Second })
				m.set("k", entry("s", policy.Ready))
				m.start()
				m.run(time.Second)
				p := m.followers[0]
				p.f.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
				m.log, m.rev, m.epoch = nil, 0, "two"
				m.set("k", entry("s", policy.Draining))
				at := m.now
				silent := nodes < 100 && rapid.Bool().Draw(t, "silent")
				m.refuse, m.tardy = 1, time.Duration(rapid.IntRange(0, 980).Draw(t, "tardy"))*ms
				if silent {
					m.refuse = 0
				}
				p.f.ChangeRegistry(m.now, p.f.cfg)
				if silent {
					p.hush = p.call.ID
				}
				m.run(6 * time.Second)
				if p.told["s"].State != policy.Draining || p.when["s"] > at+4*time.Second {
					t.Fatalf("moved at %v, known at %v (%v)", at, p.when["s"], p.told["s"].State)
				}
			})
		})
	}
}

// A pushed list counts as told whether or not a watch is open: after one that is reset, and when the agent is back after
// an outage of any length, the list is asked for within a quarter of the grace, and at a start at once.
func TestAPushedListIsAskedForAtOnce(t *testing.T) {
	const pause = 100 * ms
	m := newModel(t, poll, 1, 300, func(c *Config) { c.PushedRetryDelay, c.AskWithin, c.ImmediateFirstWatch = pause, 20*time.Second, true })
	m.set("k", entry("s", policy.Ready))
	for _, p := range m.followers {
		p.f.Restore(1, []Entry{entry("s", policy.Ready)})
	}
	known := func(what string, state policy.State, since time.Duration) {
		t.Helper()
		for i, p := range m.followers {
			if p.told["s"].State != state || p.when["s"] > since+pause+4*m.latency {
				t.Fatalf("%s: node %d knows %v at %v, wanted %v soon after %v", what, i, p.told["s"].State, p.when["s"], state, since)
			}
		}
	}
	m.set("k", entry("s", policy.Draining))
	m.start()
	m.run(time.Second)
	known("start", policy.Draining, 0)
	m.breakAll()
	m.run(ms)
	m.set("k", entry("s", policy.Ready))
	at := m.now
	m.run(time.Second)
	known("reset", policy.Ready, at)
	m.down[0] = true
	m.breakAll()
	m.run(20 * time.Second)
	m.set("k", entry("s", policy.Draining))
	m.down[0] = false
	at = m.now
	m.run(time.Second)
	known("return", policy.Draining, at)
}

// One node alone asks a registry that is down less and less often, up to a quarter of the limit told.
func TestWaitsGrow(t *testing.T) {
	m := newModel(t, poll, 1, 1, func(c *Config) { c.AskWithin = 16 * time.Second })
	m.down[0] = true
	m.start()
	m.run(2 * time.Second)
	early := m.calls
	m.run(time.Minute)
	if late := m.calls - early; early < 2 || late > 32 || late < 14 {
		t.Errorf("%d calls in 2 s, then %d in a minute", early, late)
	}
	if p := m.followers[0]; p.noted("list_failed") > 6 {
		t.Errorf("%q", p.log)
	}
}

// Without a time to hold, as on the platform, a whole list without the servers known is taken at its word.
func TestNothingIsHeldWhereThatIsNotSet(t *testing.T) {
	m := newModel(t, poll, 1, 1, nil)
	for i := range 4 {
		m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Ready))
	}
	m.start()
	m.run(time.Second)
	for i := range 4 {
		m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Gone))
	}
	m.run(100 * ms)
	if p := m.followers[0]; len(p.told) != 0 {
		t.Error(p.list())
	}
}

// Of two entries with one address the later one stands; when it goes, the other does again.
func TestTwoEntriesWithOneAddress(t *testing.T) {
	m := newModel(t, stream, 1, 1, nil)
	one, two := entry("s1", policy.Ready), entry("s2", policy.Ready)
	two.Addr = one.Addr
	m.set("k1", one)
	m.set("k2", two)
	m.start()
	m.run(time.Second)
	p := m.followers[0]
	if p.list() != list([]Entry{two}) {
		t.Errorf("%s", p.list())
	}
	m.set("k1", one) // changed later
	m.run(100 * ms)
	if p.list() != list([]Entry{one}) {
		t.Errorf("%s", p.list())
	}
	two.Started = time.Hour // a later start counts for more
	m.set("k2", two)
	m.run(100 * ms)
	m.set("k2", entry("s2", policy.Gone))
	m.run(100 * ms)
	if p.list() != list([]Entry{one}) {
		t.Errorf("%s", p.list())
	}
	same := entry("s1", policy.Draining) // the same id under another key
	m.set("k3", same)
	m.run(100 * ms)
	if p.list() != list([]Entry{same}) {
		t.Errorf("%s", p.list())
	}
}

// An entry that does not parse is noted once, and the last good one stands; a list longer than the bound is cut, once noted.
func TestBadAndTooManyEntries(t *testing.T) {
	m := newModel(t, stream, 1, 1, func(c *Config) { c.MaxEntries = 4 })
	m.set("k1", entry("s1", policy.Ready))
	m.start()
	m.run(time.Second)
	p := m.followers[0]
	for range 5 {
		m.rev++
		m.log = append(m.log, Change{Key: "k1", Revision: m.rev, Malformed: true})
		m.flow(p)
		m.run(100 * ms)
	}
	if _, there := p.told["s1"]; !there || p.noted("entry_bad") != 1 || p.f.Counts.BadEntries != 5 {
		t.Errorf("%s %q", p.list(), p.log)
	}
	m.breakAll()
	m.set("k1", entry("s1", policy.Draining))
	m.run(2 * time.Second)
	if p.told["s1"].State != policy.Draining {
		t.Error(p.list())
	}
	for i := range 8 {
		m.set(fmt.Sprint("x", i), entry(fmt.Sprint("x", i), policy.Ready))
	}
	m.run(time.Second)
	if len(p.told) != 4 || p.noted("entries_left_out") != 1 || p.f.Counts.LeftOut == 0 {
		t.Errorf("%s %q", p.list(), p.log)
	}
}

// All endpoints down at the start, or for ten minutes while the fleet changes: the calls of 500 followers stay under their
// bound, also when the registry is back and all want to know, and then all know soon.
func TestAStormIsNoStorm(t *testing.T) {
	const followers, bound = 500, 100
	m := newModel(t, stream, 3, followers, func(c *Config) { c.CallRate, c.PageSize, c.WatchTimeout = bound, 0, time.Minute })
	for i := range 5 {
		m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Ready))
	}
	m.down = []bool{true, true, true}
	m.start()
	m.run(time.Minute)
	for i := range 5 {
		m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Gone))
		m.set(fmt.Sprint("n", i), entry(fmt.Sprint("n", i), policy.Ready))
	}
	m.run(time.Minute)
	worst := 0
	for second, n := range m.byTime {
		if second > 0 && second < 120 { // the first second: all start at once, with no list
			worst = max(worst, n)
		}
	}
	if worst > bound*3/2 {
		t.Errorf("%d calls in a second of the outage", worst)
	}
	m.down = []bool{false, false, false}
	clear(m.byTime)
	begin := m.now
	m.run(15 * time.Second)
	back := 0
	for _, n := range m.byTime {
		back = max(back, n)
	}
	if back > 3*bound { // a read and a watch each
		t.Errorf("%d calls in a second after the outage", back)
	}
	last := time.Duration(0)
	for _, p := range m.followers {
		if p.list() != m.list() {
			t.Fatalf("%s, want %s", p.list(), m.list())
		}
		last = max(last, p.when["n0"]-begin)
	}
	m.breakAll() // the registry restarts
	clear(m.byTime)
	m.run(15 * time.Second)
	again := 0
	for _, n := range m.byTime {
		again = max(again, n)
	}
	if again > bound*3/2 {
		t.Errorf("%d calls in a second after all watches broke", again)
	}
	t.Logf("500 followers: %d calls a second in the outage, %d on the return, the last knows after %v, %d after a restart", worst, back, last, again)
}

// A registry that answers each watch at once with nothing is not asked without end.
func TestEarlyEmptyAnswers(t *testing.T) {
	m := newModel(t, poll, 1, 1, nil)
	m.set("k", entry("s", policy.Ready))
	m.start()
	p := m.followers[0]
	for range 2000 {
		m.run(2 * ms)
		if c := p.call; c.ID != 0 && !c.ReadList {
			p.f.Answer(m.now, Answer{Call: c.ID, Kind: Changes, Revision: 1, Epoch: "one", Final: true})
		}
	}
	if m.calls > 60 {
		t.Errorf("%d calls in 4 s", m.calls)
	}
}

// Another registry has another numbering: after a move its list counts whatever its revision, and until then the one held.
func TestMove(t *testing.T) {
	m := newModel(t, poll, 1, 1, nil)
	for i := range 5 {
		m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Ready))
	}
	m.start()
	m.run(time.Second)
	p := m.followers[0]
	m.log, m.rev, m.epoch = nil, 0, "two"
	m.set("other", entry("s9", policy.Ready))
	m.down[0] = true
	p.f.ChangeRegistry(m.now, p.f.cfg)
	m.run(time.Second)
	if len(p.told) != 5 {
		t.Errorf("before the new list: %s", p.list())
	}
	m.down[0] = false
	m.run(3 * time.Second)
	if p.list() != m.list() {
		t.Errorf("%s, want %s", p.list(), m.list())
	}
}

// A saved list serves until the registry is heard, and is followed from its revision.
func TestSaved(t *testing.T) {
	m := newModel(t, poll, 1, 1, func(c *Config) { c.ImmediateFirstWatch = true })
	m.set("s1", entry("s1", policy.Ready))
	m.set("s2", entry("s2", policy.Ready))
	p := m.followers[0]
	p.told = map[string]Entry{"s1": entry("s1", policy.Ready), "s2": entry("s2", policy.Ready)}
	p.f.Restore(2, []Entry{p.told["s1"], p.told["s2"]})
	m.set("s1", entry("s1", policy.Draining))
	m.start()
	m.run(20 * ms)
	if p.list() != m.list() || p.f.Counts.Lists != 0 {
		t.Errorf("%s after %d lists", p.list(), p.f.Counts.Lists)
	}
}

// Nonsense fails the call, and the list held stays.
func TestNonsense(t *testing.T) {
	for _, a := range []Answer{{Kind: Changes, Revision: -4}, {Kind: List, Revision: -1}, {Kind: Compacted, Revision: -1}} {
		m := newModel(t, poll, 1, 1, nil)
		m.set("k", entry("s", policy.Ready))
		m.start()
		m.run(100 * ms)
		p := m.followers[0]
		a.Call = p.call.ID
		p.f.Answer(m.now, a)
		if p.f.Counts.Failed != 1 || len(p.told) != 1 || !strings.Contains(p.log[0], "negative") {
			t.Errorf("%+v: %+v %q", a, p.f.Counts, p.log)
		}
		p.f.Answer(m.now, Answer{Call: 999, Kind: List, Revision: 99, Final: true}) // to nothing
		if len(p.told) != 1 {
			t.Error("an answer to nothing counts")
		}
	}
}

// A watch is resumed from the last change told, so that a compaction of what is known costs nothing; and a change told
// again that is older than the list, of a key that had gone before it, brings nothing back.
func TestResumesFromTheLastChange(t *testing.T) {
	m := newModel(t, stream, 1, 1, nil)
	m.set("k1", entry("s1", policy.Ready))
	m.set("k2", entry("s2", policy.Ready))
	old := m.log[1]
	m.set("k2", entry("s2", policy.Gone))
	m.start()
	m.run(time.Second)
	p := m.followers[0]
	for range 3 {
		m.set("k1", entry("s1", policy.Draining))
		m.set("k1", entry("s1", policy.Ready))
		m.run(100 * ms)
		m.min = m.rev
		m.breakAll()
		m.run(2 * time.Second)
	}
	if p.f.Counts.Compacted != 0 || p.f.Counts.Lists != 1 {
		t.Errorf("%+v", p.f.Counts)
	}
	m.answer(p, Answer{Kind: Changes, Revision: m.rev, Changes: []Change{old}})
	m.run(100 * ms)
	if p.list() != m.list() {
		t.Errorf("%s, want %s", p.list(), m.list())
	}
}

// Memory does not grow with the changes that have passed, only with the servers there are.
func TestMemoryIsFlat(t *testing.T) {
	m := newModel(t, stream, 1, 1, func(c *Config) { c.PageSize = 0 })
	m.set("k", entry("s", policy.Ready))
	m.start()
	m.run(time.Second)
	p := m.followers[0]
	heap := func() uint64 {
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	rev := p.f.Revision()
	churn := func(n int) {
		for i := range n { // ever new servers that come, drain and go
			rev++
			id := fmt.Sprint("x", (i/3)%40, "-", rev/120)
			c := Change{Key: id, Revision: rev, Entry: entry(id, policy.State(i%3)), Deleted: i%3 == 2}
			p.f.Answer(m.now, Answer{Call: p.call.ID, Kind: Changes, Revision: rev, Epoch: "one", Changes: []Change{c}})
		}
		clear(p.when)
	}
	churn(20000)
	before := heap()
	churn(100000)
	if after := heap(); after > before+4<<20 {
		t.Errorf("from %d KB to %d KB", before>>10, after>>10)
	}
	if p.f.Counts.Changes < 119000 {
		t.Errorf("%+v", p.f.Counts)
	}
}
