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

var styles = map[string]style{"stream": stream, "poll": longPoll, "whole": fullList}

func forEachStyle(t *testing.T, f func(t *testing.T, s style)) {
	for name, s := range styles {
		t.Run(name, func(t *testing.T) { f(t, s) })
	}
}

func TestFollows(t *testing.T) {
	forEachStyle(t, func(t *testing.T, s style) {
		m := newModel(t, s, 2, 1, nil)
		for i := range 10 {
			m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Ready))
		}
		m.start()
		m.run(50 * ms)
		p := m.followers[0]
		if p.list() != m.list() || len(p.servers) != 10 {
			t.Fatalf("%s", p.list())
		}
		m.set("k1", entry("s1", policy.Draining))
		at := m.now
		m.run(20 * ms)
		if p.servers["s1"].State != policy.Draining || p.reportedAt["s1"]-at > 4*m.latency {
			t.Errorf("a drain is known only after %v", p.reportedAt["s1"]-at)
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

// With random failures, compactions, lagging endpoints, duplicates and silence, the current list equals the registry's at the end, all
// reports are consistent (see Apply), and no server that was reported as draining or gone is reported as ready again unless the
// registry has changed it later.
func TestArbitraryFailures(t *testing.T) {
	forEachStyle(t, func(t *testing.T, s style) {
		rapid.Check(t, func(t *rapid.T) {
			ends := rapid.IntRange(1, 3).Draw(t, "endpoints")
			m := newModel(t, s, ends, 2, func(c *Config) { c.PageSize = rapid.IntRange(0, 4).Draw(t, "page") })
			m.latency = time.Duration(rapid.IntRange(1, 40).Draw(t, "latency")) * ms
			m.duplicate = rapid.Bool().Draw(t, "double")
			m.start()
			drained := map[string]int64{} // last revision at which an id was not ready
			for range rapid.IntRange(5, 40).Draw(t, "steps") {
				end := rapid.IntRange(0, ends-1).Draw(t, "end")
				switch rapid.IntRange(0, 10).Draw(t, "what") {
				case 0:
					m.down[end] = !m.down[end]
					m.failOutstanding()
				case 1:
					m.silent[end] = !m.silent[end]
				case 2:
					m.lag[end] = int64(rapid.IntRange(0, 4).Draw(t, "lag"))
				case 3:
					m.compacted = max(m.compacted, m.rev-int64(rapid.IntRange(0, 3).Draw(t, "keep")))
				case 4:
					m.failOutstanding()
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
					for id, e := range p.servers {
						if drained[id] > 0 && p.f.Revision() >= drained[id] && e.State == policy.Ready {
							t.Fatalf("%s is ready at revision %d although it drained at %d", id, p.f.Revision(), drained[id])
						}
					}
				}
			}
			for i := range ends {
				m.down[i], m.silent[i], m.lag[i] = false, false, 0
			}
			m.run(20 * time.Second)
			for _, p := range m.followers {
				if p.list() != m.list() {
					t.Fatalf("list is %q, registry has %q; %q", p.list(), m.list(), p.notes)
				}
			}
		})
	})
}

// A watch resumed from a compacted revision leads to one complete reread, which reports the servers that left and joined in between.
func TestCompactedResume(t *testing.T) {
	m := newModel(t, stream, 1, 1, nil)
	for i := range 8 {
		m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Ready))
	}
	m.start()
	m.run(time.Second)
	p := m.followers[0]
	m.down[0] = true
	m.failOutstanding()
	m.run(3 * time.Second)
	m.set("k1", entry("s1", policy.Gone))
	m.set("k2", entry("s2", policy.Draining))
	m.set("k9", entry("s9", policy.Ready))
	m.compacted = m.rev
	lists := p.f.Counts.Lists
	m.down[0] = false
	m.run(3 * time.Second)
	if p.list() != m.list() || p.f.Counts.Lists != lists+1 || p.f.Counts.Compacted != 1 || p.noted("list_compacted") != 1 {
		t.Errorf("%s after %d lists, %q", p.list(), p.f.Counts.Lists-lists, p.notes)
	}
}

// A list that changes or is compacted while its pages are read is still the list of a single revision.
func TestTheListChangesWhileItIsPaged(t *testing.T) {
	for _, compacts := range []bool{false, true} {
		m := newModel(t, stream, 1, 1, func(c *Config) { c.PageSize = 1 })
		for i := range 6 {
			m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Ready))
		}
		m.latency = 10 * ms
		m.start()
		m.run(65 * ms) // some pages have been read
		p := m.followers[0]
		if p.updates != 0 || len(p.f.pages) == 0 {
			t.Fatalf("%d pages, %d updates", len(p.f.pages), p.updates)
		}
		m.set("k0", entry("s0", policy.Gone)) // on a page that has been read
		m.set("k5", entry("s5", policy.Draining))
		if compacts {
			m.compacted = m.rev
		}
		m.run(2 * time.Second)
		if p.list() != m.list() {
			t.Errorf("compacts %v: %s, want %s", compacts, p.list(), m.list())
		}
		if compacts && p.f.Counts.Compacted == 0 {
			t.Error("no compaction during the reads")
		}
	}
}

// A lagging endpoint never reverts the list; another endpoint is asked instead. If all endpoints are older than the current list for
// RewindAfter, the registry has been restored from a backup, and its list is accepted.
func TestLagAndRestore(t *testing.T) {
	forEachStyle(t, func(t *testing.T, s style) {
		m := newModel(t, s, 2, 1, func(c *Config) { c.RewindAfter = 10 * time.Second })
		m.set("k1", entry("s1", policy.Ready))
		m.set("k2", entry("s2", policy.Ready))
		m.set("k1", entry("s1", policy.Draining))
		m.start()
		m.run(time.Second)
		p := m.followers[0]
		if p.servers["s1"].State != policy.Draining {
			t.Fatal(p.list())
		}
		m.lag[p.f.current] = 1 // one endpoint lags, the other continues
		m.failOutstanding()
		m.run(2 * time.Second)
		m.set("k2", entry("s2", policy.Draining))
		m.run(3 * time.Second)
		if p.servers["s2"].State != policy.Draining || p.servers["s1"].State != policy.Draining {
			t.Errorf("%s with one lagging endpoint", p.list())
		}
		// A backup is restored on all endpoints, which reverts changes.
		m.log, m.rev, m.lag = m.log[:2], 2, []int64{0, 0}
		m.failOutstanding()
		begin := m.now
		for m.now < begin+8*time.Second {
			m.run(100 * ms)
			if p.servers["s1"].State != policy.Draining {
				t.Fatalf("list reverted after %v", m.now-begin)
			}
		}
		m.run(12 * time.Second)
		if p.list() != m.list() || p.noted("list_rewound") != 1 || p.f.Revision() != 2 {
			t.Errorf("%s at %d, want %s; %q", p.list(), p.f.Revision(), m.list(), p.notes)
		}
		m.set("k3", entry("s3", policy.Ready))
		m.run(2 * time.Second)
		if p.list() != m.list() {
			t.Errorf("after the restore: %s, want %s", p.list(), m.list())
		}
	})
}

// If the endpoints that are up to date cannot be reached, a lagging one is accepted only after four times RewindAfter.
func TestLagWhileOthersAreUnreachable(t *testing.T) {
	m := newModel(t, stream, 2, 1, func(c *Config) { c.RewindAfter = 10 * time.Second })
	m.set("k1", entry("s1", policy.Ready))
	m.set("k1", entry("s1", policy.Draining))
	m.start()
	m.run(time.Second)
	m.lag[0], m.down[1] = 1, true
	m.failOutstanding()
	p := m.followers[0]
	m.run(30 * time.Second)
	if p.servers["s1"].State != policy.Draining {
		t.Error("a lagging endpoint is accepted while the other cannot be reached")
	}
	m.run(30 * time.Second)
	if p.servers["s1"].State != policy.Ready {
		t.Error("the lagging endpoint is never accepted")
	}
}

// If a key prefix is deleted by mistake, ready servers are kept for HoldTime and the hold is logged. Draining servers and single
// servers are removed.
func TestAWipedPrefix(t *testing.T) {
	forEachStyle(t, func(t *testing.T, s style) {
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
			if _, there := p.servers["s0"]; there || p.f.HeldServers() != 0 {
				t.Error("a single vanished server is kept")
			}
			m.run(10 * time.Second)
			for i := 1; i < 8; i++ {
				m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Gone))
				if oneByOne {
					m.run(200 * ms)
				}
			}
			m.run(time.Second)
			_, drains := p.servers["s7"]
			if least := map[bool]int{false: 6, true: 3}[oneByOne]; len(p.servers) < least || drains || p.noted("list_held") == 0 {
				t.Errorf("one by one %v: %s remain; %q", oneByOne, p.list(), p.notes)
			}
			m.set("k5", entry("s5", policy.Ready)) // one returns
			m.run(25 * time.Second)
			if p.list() != m.list() || p.f.HeldServers() != 0 || p.noted("list_released") == 0 {
				t.Errorf("after the hold: %s, want %s; %q", p.list(), m.list(), p.notes)
			}
		}
	})
}

// A server whose address another server takes over is not part of a mass: it is removed at once, however many are replaced.
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

// A stream that is cut silently is detected by the watch that follows it, and the drain that it missed is learned from another
// endpoint.
func TestASilentStream(t *testing.T) {
	m := newModel(t, stream, 2, 1, nil)
	m.set("k", entry("s", policy.Ready))
	m.start()
	m.run(time.Second)
	p := m.followers[0]
	m.silent[p.f.current] = true
	m.set("k", entry("s", policy.Draining))
	m.run(p.f.cfg.WatchTimeout + p.f.cfg.CallTimeout + time.Second)
	if p.list() != m.list() {
		t.Errorf("%s; %q", p.list(), p.notes)
	}
}

// A watch on discovery may fall silent at any moment, in small and large fleets. The node counts as notified of what it misses 6 s
// later, or 2 s after the end of its wait if that is later, and must know it a second before. If the call after it fails, however
// slowly, the node must still know by then. Guards against requests to draining servers 0.48 s past their drain grace.
func TestASilentWatchIsFoundOutBeforeWhatItMissesCounts(t *testing.T) {
	for _, nodes := range []int{2, 5, 300} {
		for _, pushed := range []bool{false, true} {
			t.Run(fmt.Sprint(nodes, " nodes, pushed ", pushed), func(t *testing.T) {
				rapid.Check(t, func(t *rapid.T) {
					watch := min(60*time.Second, max(5*time.Second, time.Duration(nodes)*time.Second)) // as set by internal/node
					m := newModel(t, longPoll, 1, 1, func(c *Config) {
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
					p.servers = map[string]Entry{"s": entry("s", policy.Ready)}
					p.f.Restore(1, []Entry{entry("s", policy.Ready)})
					m.start()
					for p.call.ID == 0 { // in a large fleet the first call is delayed
						m.run(ms)
					}
					first := rapid.Bool().Draw(t, "first") // the first call falls silent; otherwise a later watch, at any time of its wait
					if !first {
						m.run(time.Second)
						m.set("other", entry("o", policy.Ready)) // ends the watch, so that the next one begins
						m.run(4 * m.latency)
						m.run(time.Duration(rapid.Int64Range(0, int64(p.call.Wait)-int64(10*ms)).Draw(t, "into")))
					}
					p.silencedCall = p.call.ID
					silent, waitOver := m.now, p.calledAt+p.call.Wait
					m.refuseNext, m.refuseDelay = rapid.IntRange(0, 1).Draw(t, "refused"), time.Duration(rapid.IntRange(0, 980).Draw(t, "tardy"))*ms
					margin := time.Second
					if m.refuseNext > 0 {
						margin = 0
					}
					m.run(time.Duration(rapid.IntRange(0, 100).Draw(t, "later")) * ms)
					m.set("k", entry("s", policy.Draining))
					notifiedAt := max(silent+6*time.Second, waitOver+2*time.Second)
					m.run(notifiedAt - m.now + time.Second)
					if p.servers["s"].State != policy.Draining || p.reportedAt["s"] > notifiedAt-margin {
						t.Fatalf("silent at %v, wait over at %v, counts as notified at %v, known at %v (%v)", silent, waitOver, notifiedAt, p.reportedAt["s"], p.servers["s"].State)
					}
				})
			})
		}
	}
}

// If the watches of a whole fleet fall silent together, they are not renewed together, because their waits are random. A registry that
// stays silent leads to growing delays, not to one check after another.
func TestSilentWatchesAreRenewedApart(t *testing.T) {
	const followers = 300
	m := newModel(t, longPoll, 1, followers, func(c *Config) { c.WatchTimeout, c.CallTimeout, c.AskWithin = time.Minute, 1500*ms, 20*time.Second })
	m.set("k", entry("s", policy.Ready))
	m.start()
	m.run(10 * time.Second)
	m.set("k", entry("s", policy.Draining)) // all watches end and are renewed
	m.run(time.Second)
	for _, p := range m.followers {
		p.silencedCall = p.call.ID
	}
	m.set("k", entry("s", policy.Gone))
	clear(m.callsBySecond)
	m.run(70 * time.Second)
	worst := 0
	for _, n := range m.callsBySecond {
		worst = max(worst, n)
	}
	for _, p := range m.followers {
		if len(p.servers) != 0 {
			t.Fatalf("change not known after the wait: %s", p.list())
		}
	}
	if worst > 3*2*followers/15 { // a check and a watch per node, over a quarter of a minute
		t.Errorf("%d calls in a second", worst)
	}
	m.silent[0] = true
	m.run(70 * time.Second)
	before := m.calls
	m.run(time.Minute)
	if calls := m.calls - before; calls > 60*followers/3 {
		t.Errorf("%d calls in a minute of silence", calls)
	}
}

// A node counts as notified of the list of a new registry 4 s after the change to it, and knows it by then, also if the first read is
// refused, in fleets of all sizes, or gets no answer, in small ones.
func TestRegistryChangeIsKnownBeforeItCounts(t *testing.T) {
	for _, nodes := range []int{2, 5, 300} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(t, longPoll, 1, 1, func(c *Config) { c.Nodes, c.CallTimeout, c.AskWithin = nodes, 1500*ms, 20*time.Second })
				m.set("k", entry("s", policy.Ready))
				m.start()
				m.run(time.Second)
				p := m.followers[0]
				p.f.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
				m.log, m.rev, m.epoch = nil, 0, "two"
				m.set("k", entry("s", policy.Draining))
				at := m.now
				silent := nodes < 100 && rapid.Bool().Draw(t, "silent")
				m.refuseNext, m.refuseDelay = 1, time.Duration(rapid.IntRange(0, 980).Draw(t, "tardy"))*ms
				if silent {
					m.refuseNext = 0
				}
				p.f.ChangeRegistry(m.now, p.f.cfg)
				if silent {
					p.silencedCall = p.call.ID
				}
				m.run(6 * time.Second)
				if p.servers["s"].State != policy.Draining || p.reportedAt["s"] > at+4*time.Second {
					t.Fatalf("registry changed at %v, known at %v (%v)", at, p.reportedAt["s"], p.servers["s"].State)
				}
			})
		})
	}
}

// A node counts as notified of a pushed list whether or not a watch is open. After a reset watch, and when the agent is available
// again after an outage of any length, the list is requested within a quarter of the drain grace; at the start, at once.
func TestAPushedListIsAskedForAtOnce(t *testing.T) {
	const pause = 100 * ms
	m := newModel(t, longPoll, 1, 300, func(c *Config) { c.PushedRetryDelay, c.AskWithin, c.ImmediateFirstWatch = pause, 20*time.Second, true })
	m.set("k", entry("s", policy.Ready))
	for _, p := range m.followers {
		p.f.Restore(1, []Entry{entry("s", policy.Ready)})
	}
	known := func(what string, state policy.State, since time.Duration) {
		t.Helper()
		for i, p := range m.followers {
			if p.servers["s"].State != state || p.reportedAt["s"] > since+pause+4*m.latency {
				t.Fatalf("%s: node %d has %v at %v, want %v soon after %v", what, i, p.servers["s"].State, p.reportedAt["s"], state, since)
			}
		}
	}
	m.set("k", entry("s", policy.Draining))
	m.start()
	m.run(time.Second)
	known("start", policy.Draining, 0)
	m.failOutstanding()
	m.run(ms)
	m.set("k", entry("s", policy.Ready))
	at := m.now
	m.run(time.Second)
	known("reset", policy.Ready, at)
	m.down[0] = true
	m.failOutstanding()
	m.run(20 * time.Second)
	m.set("k", entry("s", policy.Draining))
	m.down[0] = false
	at = m.now
	m.run(time.Second)
	known("return", policy.Draining, at)
}

// A single node calls an unavailable registry less and less often, with delays up to a quarter of AskWithin.
func TestRetryDelaysGrow(t *testing.T) {
	m := newModel(t, longPoll, 1, 1, func(c *Config) { c.AskWithin = 16 * time.Second })
	m.down[0] = true
	m.start()
	m.run(2 * time.Second)
	early := m.calls
	m.run(time.Minute)
	if late := m.calls - early; early < 2 || late > 32 || late < 14 {
		t.Errorf("%d calls in 2 s, then %d in a minute", early, late)
	}
	if p := m.followers[0]; p.noted("list_failed") > 6 {
		t.Errorf("%q", p.notes)
	}
}

// Without a hold time, a complete list that lacks known servers is accepted as it is.
func TestNothingIsHeldWhereThatIsNotSet(t *testing.T) {
	m := newModel(t, longPoll, 1, 1, nil)
	for i := range 4 {
		m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Ready))
	}
	m.start()
	m.run(time.Second)
	for i := range 4 {
		m.set(fmt.Sprint("k", i), entry(fmt.Sprint("s", i), policy.Gone))
	}
	m.run(100 * ms)
	if p := m.followers[0]; len(p.servers) != 0 {
		t.Error(p.list())
	}
}

// Of two entries with one address the later one is in effect; when it is deleted, the other is again.
func TestTwoEntriesWithOneAddress(t *testing.T) {
	m := newModel(t, stream, 1, 1, nil)
	one, two := entry("s1", policy.Ready), entry("s2", policy.Ready)
	two.Addr = one.Addr
	m.set("k1", one)
	m.set("k2", two)
	m.start()
	m.run(time.Second)
	p := m.followers[0]
	if p.list() != formatList([]Entry{two}) {
		t.Errorf("%s", p.list())
	}
	m.set("k1", one) // changed later
	m.run(100 * ms)
	if p.list() != formatList([]Entry{one}) {
		t.Errorf("%s", p.list())
	}
	two.Started = time.Hour // a later start takes precedence
	m.set("k2", two)
	m.run(100 * ms)
	m.set("k2", entry("s2", policy.Gone))
	m.run(100 * ms)
	if p.list() != formatList([]Entry{one}) {
		t.Errorf("%s", p.list())
	}
	same := entry("s1", policy.Draining) // the same id under another key
	m.set("k3", same)
	m.run(100 * ms)
	if p.list() != formatList([]Entry{same}) {
		t.Errorf("%s", p.list())
	}
}

// An entry that does not parse is logged once, and the last valid one stays in effect. A list longer than MaxEntries is cut, which is
// logged once.
func TestBadAndTooManyEntries(t *testing.T) {
	m := newModel(t, stream, 1, 1, func(c *Config) { c.MaxEntries = 4 })
	m.set("k1", entry("s1", policy.Ready))
	m.start()
	m.run(time.Second)
	p := m.followers[0]
	for range 5 {
		m.rev++
		m.log = append(m.log, Change{Key: "k1", Revision: m.rev, Malformed: true})
		m.push(p)
		m.run(100 * ms)
	}
	if _, there := p.servers["s1"]; !there || p.noted("entry_bad") != 1 || p.f.Counts.BadEntries != 5 {
		t.Errorf("%s %q", p.list(), p.notes)
	}
	m.failOutstanding()
	m.set("k1", entry("s1", policy.Draining))
	m.run(2 * time.Second)
	if p.servers["s1"].State != policy.Draining {
		t.Error(p.list())
	}
	for i := range 8 {
		m.set(fmt.Sprint("x", i), entry(fmt.Sprint("x", i), policy.Ready))
	}
	m.run(time.Second)
	if len(p.servers) != 4 || p.noted("entries_left_out") != 1 || p.f.Counts.LeftOut == 0 {
		t.Errorf("%s %q", p.list(), p.notes)
	}
}

// With all endpoints down at the start and while servers change, the calls of 500 followers stay within their rate, also when the
// registry is available again and all nodes call; all nodes then learn of the changes soon.
func TestOutageCallRateIsBounded(t *testing.T) {
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
	for second, n := range m.callsBySecond {
		if second > 0 && second < 120 { // in the first second all start without a list
			worst = max(worst, n)
		}
	}
	if worst > bound*3/2 {
		t.Errorf("%d calls in a second of the outage", worst)
	}
	m.down = []bool{false, false, false}
	clear(m.callsBySecond)
	begin := m.now
	m.run(15 * time.Second)
	back := 0
	for _, n := range m.callsBySecond {
		back = max(back, n)
	}
	if back > 3*bound { // a read and a watch per node
		t.Errorf("%d calls in a second after the outage", back)
	}
	last := time.Duration(0)
	for _, p := range m.followers {
		if p.list() != m.list() {
			t.Fatalf("%s, want %s", p.list(), m.list())
		}
		last = max(last, p.reportedAt["n0"]-begin)
	}
	m.failOutstanding() // the registry restarts
	clear(m.callsBySecond)
	m.run(15 * time.Second)
	again := 0
	for _, n := range m.callsBySecond {
		again = max(again, n)
	}
	if again > bound*3/2 {
		t.Errorf("%d calls in a second after all watches broke", again)
	}
	t.Logf("500 followers: %d calls per second in the outage, %d after it, last node notified after %v, %d calls after a restart", worst, back, last, again)
}

// A registry that answers each watch at once without changes is not called without end.
func TestEarlyEmptyAnswers(t *testing.T) {
	m := newModel(t, longPoll, 1, 1, nil)
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

// Another registry numbers its revisions differently: after a change of registry its list is accepted whatever its revision, and the
// previous list stays until then.
func TestChangeRegistry(t *testing.T) {
	m := newModel(t, longPoll, 1, 1, nil)
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
	if len(p.servers) != 5 {
		t.Errorf("before the new list: %s", p.list())
	}
	m.down[0] = false
	m.run(3 * time.Second)
	if p.list() != m.list() {
		t.Errorf("%s, want %s", p.list(), m.list())
	}
}

// A restored list is used until the registry answers, and is watched from its revision.
func TestRestore(t *testing.T) {
	m := newModel(t, longPoll, 1, 1, func(c *Config) { c.ImmediateFirstWatch = true })
	m.set("s1", entry("s1", policy.Ready))
	m.set("s2", entry("s2", policy.Ready))
	p := m.followers[0]
	p.servers = map[string]Entry{"s1": entry("s1", policy.Ready), "s2": entry("s2", policy.Ready)}
	p.f.Restore(2, []Entry{p.servers["s1"], p.servers["s2"]})
	m.set("s1", entry("s1", policy.Draining))
	m.start()
	m.run(20 * ms)
	if p.list() != m.list() || p.f.Counts.Lists != 0 {
		t.Errorf("%s after %d lists", p.list(), p.f.Counts.Lists)
	}
}

// An invalid answer fails the call, and the current list stays.
func TestInvalidAnswers(t *testing.T) {
	for _, a := range []Answer{{Kind: Changes, Revision: -4}, {Kind: List, Revision: -1}, {Kind: Compacted, Revision: -1}} {
		m := newModel(t, longPoll, 1, 1, nil)
		m.set("k", entry("s", policy.Ready))
		m.start()
		m.run(100 * ms)
		p := m.followers[0]
		a.Call = p.call.ID
		p.f.Answer(m.now, a)
		if p.f.Counts.Failed != 1 || len(p.servers) != 1 || !strings.Contains(p.notes[0], "negative") {
			t.Errorf("%+v: %+v %q", a, p.f.Counts, p.notes)
		}
		p.f.Answer(m.now, Answer{Call: 999, Kind: List, Revision: 99, Final: true}) // to no outstanding call
		if len(p.servers) != 1 {
			t.Error("an answer to no outstanding call takes effect")
		}
	}
}

// A watch is resumed from the last received change, so that a compaction of known changes does not cause a reread. A repeated change
// that is older than the list, for a key deleted before it, does not bring the server back.
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
		m.compacted = m.rev
		m.failOutstanding()
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

// Memory does not grow with the number of past changes, only with the number of servers.
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
		for i := range n { // new servers join, drain and leave
			rev++
			id := fmt.Sprint("x", (i/3)%40, "-", rev/120)
			c := Change{Key: id, Revision: rev, Entry: entry(id, policy.State(i%3)), Deleted: i%3 == 2}
			p.f.Answer(m.now, Answer{Call: p.call.ID, Kind: Changes, Revision: rev, Epoch: "one", Changes: []Change{c}})
		}
		clear(p.reportedAt)
	}
	churn(20000)
	before := heap()
	churn(100000)
	if after := heap(); after > before+4<<20 {
		t.Errorf("heap grew from %d KB to %d KB", before>>10, after>>10)
	}
	if p.f.Counts.Changes < 119000 {
		t.Errorf("%+v", p.f.Counts)
	}
}
