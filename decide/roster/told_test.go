package roster

// A node counts as notified of a change 6 s after the registry had it and was reachable, whatever failed before.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lapisshelf/policy"
)

// outage is a way in which calls fail while the registry is unavailable.
type outage struct {
	name   string
	handle func(m *model, p *peer, c Call) // handles a call that arrives
}

// failAfter returns a handler that fails a call after a delay.
func failAfter(after func(r *rand.Rand) time.Duration) func(*model, *peer, Call) {
	return func(m *model, p *peer, c Call) {
		m.schedule(p, after(m.rng), func() { p.f.Failed(m.now, c.ID, "away") })
	}
}

var outageKinds = []outage{
	{"refused", failAfter(func(*rand.Rand) time.Duration { return 0 })},
	{"reset", failAfter(func(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(1400 * ms))) })},
	{"no connection", failAfter(func(*rand.Rand) time.Duration { return time.Second })}, // the connect timeout of internal/registry
	{"silent", func(*model, *peer, Call) {}},
	{"half an answer", func(m *model, p *peer, c Call) { // the first of several pages, then nothing; no part of a single answer
		if c.ReadList && c.PageSize > 0 && c.After == "" {
			page := m.listAt(m.rev)
			m.answer(p, Answer{Kind: List, Revision: m.rev, Changes: page[:1], NextPageAfter: page[0].Key})
		}
	}},
	{"dropped", func(m *model, p *peer, c Call) { // an invalid answer
		m.answer(p, Answer{Kind: Changes, Revision: -1, Final: true})
	}},
	{"busy", failAfter(func(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(200 * ms))) })},
}

// mixed fails each call in a random way.
var mixed = outage{"any of them", func(m *model, p *peer, c Call) { outageKinds[m.rng.IntN(len(outageKinds))].handle(m, p, c) }}

// scenario is one follower of a fleet of the given size, at a registry of the given style.
type scenario struct {
	style     style
	pushed    bool
	nodes     int
	endpoints int
}

func (s scenario) String() string {
	return fmt.Sprintf("%s, pushed %v, %d nodes, %d endpoints", []string{"stream", "poll", "whole"}[s.style], s.pushed, s.nodes, s.endpoints)
}

// config returns the settings of a follower as internal/node makes them.
func (s scenario) config(within time.Duration) func(*Config) {
	return func(c *Config) {
		c.Nodes, c.CallTimeout, c.AskWithin, c.PageSize, c.ImmediateFirstWatch = s.nodes, 1500*ms, within, 2, true
		c.WatchTimeout = min(60*time.Second, max(5*time.Second, time.Duration(s.nodes)*time.Second))
		if s.pushed {
			c.PushedRetryDelay = 100 * ms
		}
	}
}

// notifyLatency simulates one outage and its end. Outstanding calls break or hang, or the process starts during the outage; all calls
// fail for a while, then none does. A change is made during the outage or shortly after it, and the node may be switched to the
// registry in between. It returns how long after the registry had the change and was reachable the node learned of it, less the
// time allowed for a watch that fell silent.
func notifyLatency(t *testing.T, sc scenario, o outage, seed uint64) (took time.Duration) {
	r := rand.New(rand.NewPCG(seed, uint64(sc.nodes)))
	within := []time.Duration{0, 4 * time.Second, 10 * time.Second, 20 * time.Second, time.Hour}[r.IntN(5)]
	m := newModel(t, sc.style, sc.endpoints, 1, sc.config(within))
	m.rng = r
	m.latency = time.Duration(1+r.IntN([]int{20, 240}[r.IntN(2)])) * ms // a call takes two latencies, at most half a second
	p := m.followers[0]
	p.f.rng = rand.New(rand.NewPCG(seed, 7))
	m.set("k", entry("s", policy.Ready))
	m.set("l", entry("l", policy.Ready))
	unavailable := make([]bool, sc.endpoints)
	m.intercept = func(p *peer, c Call) bool {
		if unavailable[c.Endpoint] {
			o.handle(m, p, c)
		}
		return unavailable[c.Endpoint]
	}
	failAll := func() {
		for i := range unavailable {
			unavailable[i] = true
		}
	}
	hangs := false
	switch r.IntN(3) {
	case 0: // the process starts during the outage, perhaps with a saved list
		failAll()
		if r.IntN(2) == 0 {
			p.servers = map[string]Entry{"s": entry("s", policy.Ready), "l": entry("l", policy.Ready)}
			p.f.Restore(2, []Entry{p.servers["s"], p.servers["l"]})
		}
		m.start()
	case 1: // outstanding calls break
		m.start()
		m.run(time.Duration(r.Int64N(int64(10 * time.Second))))
		failAll()
		m.failOutstanding()
	default: // outstanding calls hang
		m.start()
		m.run(2*time.Second + time.Duration(r.Int64N(int64(10*time.Second))))
		failAll()
		p.silencedCall, hangs = p.call.ID, true
	}
	waitOver := p.f.deadline // when the hanging call times out; a watch does so a little after its wait
	if p.f.longPolling() {
		waitOver -= watchOverrun
	}
	outageLength := time.Duration(r.Int64N(int64([]time.Duration{2 * time.Second, 30 * time.Second, 3 * time.Minute}[r.IntN(3)])))
	end := m.now + outageLength
	if r.IntN(3) == 0 { // the settings are reloaded at any time of the outage
		m.run(time.Duration(r.Int64N(int64(outageLength) + 1)))
		p.f.ChangeRegistry(m.now, p.f.cfg)
	}
	m.run(max(0, end-m.now))
	for i := range unavailable {
		unavailable[i] = i < (sc.endpoints-1)/2 // a majority is available again: a registry needs one to accept a change
	}
	if sc.endpoints > 1 {
		r.Shuffle(len(unavailable), func(i, j int) { unavailable[i], unavailable[j] = unavailable[j], unavailable[i] })
	}
	if r.IntN(2) == 0 {
		m.run(time.Duration(r.Int64N(int64(2 * time.Second))))
	}
	m.set("k", entry("s", policy.Draining))
	at := m.now
	for p.firstDrain == 0 && m.now < at+time.Hour/2 {
		m.run(time.Second)
	}
	known := p.firstDrain
	if known == 0 {
		known = m.now // not known yet
	}
	notifiedAt := waitOver + 2*time.Second // a node counts as notified of what a silent watch missed this long after its wait
	if sc.endpoints > 2 {
		notifiedAt = waitOver + notifyDelay // some of the endpoints asked instead may be unavailable
	}
	if hangs && notifiedAt > at+notifyDelay {
		return known - (notifiedAt - notifyDelay)
	}
	return known - at
}

// Guards against delays after failures that leave no part of the 6 s for the call itself, or for a call that began in the outage and
// hangs until its timeout (28 s on average with 1,900 nodes), and against a watch that is begun in an outage, hangs, and is kept for
// the complete heads wait (60 s with 60 nodes or more). A fleet larger than MaxNodes keeps to its call rate, and its longer latency is
// bounded too.
func TestAChangeIsKnownBeforeItCounts(t *testing.T) {
	const seeds = 400
	var scenarios []scenario
	for _, nodes := range []int{2, 30, 300, 450, 1900} {
		for _, st := range []style{stream, longPoll, fullList} {
			scenarios = append(scenarios, scenario{st, false, nodes, 1})
		}
		scenarios = append(scenarios, scenario{longPoll, true, nodes, 1})
	}
	for _, ends := range []int{2, 3, 5} {
		scenarios = append(scenarios, scenario{stream, false, 30, ends}, scenario{fullList, false, 100, ends})
	}
	for _, s := range scenarios {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			cfg := Config{Endpoints: s.endpoints}
			s.config(0)(&cfg)
			bound := notifyDelay
			if s.nodes > MaxNodes(cfg) { // one call per node at the call rate, a tenth of it random
				bound = max(bound, time.Duration(float64(s.nodes)/100/0.9*float64(time.Second))+callReserve)
			}
			for _, o := range append(outageKinds, mixed) {
				worst, sum, late, slowest := time.Duration(0), time.Duration(0), 0, uint64(0)
				for seed := range uint64(seeds) {
					took := notifyLatency(t, s, o, seed)
					if sum += took; took > worst {
						worst, slowest = took, seed
					}
					if took > bound {
						late++
					}
				}
				if t.Logf("%v, %s: mean %v, worst %v", s, o.name, (sum / seeds).Round(ms), worst.Round(ms)); late > 0 {
					t.Errorf("%s: known later than %v in %d of %d seeds, worst seed %d", o.name, bound, late, seeds, slowest)
				}
			}
		})
	}
}

// Checks MaxNodes by the arithmetic of the settings and by simulation: a fleet of that size keeps to its call rate during an outage,
// and no node is late when it ends; a fleet larger by a fifth keeps to the rate too, but is late.
func TestMaxNodes(t *testing.T) {
	for _, c := range []struct {
		cfg  Config
		want int
	}{
		{Config{}, 450}, {Config{CallRate: 1000}, 4500}, {Config{CallRate: 423}, 1903}, {Config{Endpoints: 2}, 450}, {Config{Endpoints: 3}, 225},
		{Config{Endpoints: 5}, 150}, {Config{Endpoints: 16}, 150}, {Config{CallRate: 0.1}, 1}, {Config{PushedRetryDelay: 100 * ms}, math.MaxInt},
	} {
		if n := MaxNodes(c.cfg); n != c.want {
			t.Errorf("%+v: %d nodes, want %d", c.cfg, n, c.want)
		}
	}
	for _, s := range []style{stream, longPoll} {
		for _, kind := range []outage{outageKinds[0], outageKinds[3]} {
			for _, nodes := range []int{300, MaxNodes(Config{}), 540} {
				m := newModel(t, s, 1, nodes, scenario{style: s, nodes: nodes}.config(20*time.Second))
				m.set("k", entry("s", policy.Ready))
				m.start()
				m.run(20 * time.Second)
				unavailable := true
				m.intercept = func(p *peer, c Call) bool {
					if unavailable {
						kind.handle(m, p, c)
					}
					return unavailable
				}
				m.failOutstanding()
				clear(m.callsBySecond)
				m.run(90 * time.Second)
				worst := 0
				for _, n := range m.callsBySecond {
					worst = max(worst, n)
				}
				unavailable = false
				m.set("k", entry("s", policy.Draining))
				at := m.now
				m.run(30 * time.Second)
				last := time.Duration(0)
				for _, p := range m.followers {
					if p.firstDrain == 0 {
						t.Fatal("a node never learns of the change")
					}
					last = max(last, p.firstDrain-at)
				}
				t.Logf("%d nodes, style %d, %s: %d calls in the worst second, last node notified after %v", nodes, s, kind.name, worst, last.Round(ms))
				if worst > 150 {
					t.Errorf("%d nodes: %d calls in a second", nodes, worst)
				}
				if late := last > notifyDelay-callReserve+4*m.latency; late != (nodes > MaxNodes(Config{})) {
					t.Errorf("%d nodes: last node notified after %v", nodes, last)
				}
			}
		}
	}
}

// Guards against keeping a watch for all of its wait although its answer has begun and then stops, trickles without end or breaks
// off: its content was available when it began. With 60 nodes or more a watch waits for 60 s.
func TestPartialAnswerIsRetried(t *testing.T) {
	for _, nodes := range []int{2, 30, 300, 450} {
		for _, s := range []scenario{{stream, false, nodes, 1}, {longPoll, false, nodes, 1}, {fullList, false, nodes, 1}, {longPoll, true, nodes, 1}} {
			for _, breaks := range []bool{false, true} {
				for _, after := range []bool{false, true} { // whether the next call hangs too
					t.Run(fmt.Sprintf("%s, breaks %t, the next hangs %t", s, breaks, after), func(t *testing.T) {
						for seed := range uint64(50) {
							r := rand.New(rand.NewPCG(seed, uint64(nodes)))
							m := newModel(t, s.style, 1, 1, s.config(20*time.Second))
							p := m.followers[0]
							p.f.rng = rand.New(rand.NewPCG(seed, 7))
							m.set("k", entry("s", policy.Ready))
							m.start()
							m.run(2*time.Second + time.Duration(r.Int64N(int64(10*time.Second))))
							id := p.call.ID
							if id == 0 || p.call.ReadList || p.call.Wait == immediateWait {
								t.Fatalf("no watch is outstanding: %+v", p.call)
							}
							m.schedule(p, 0, func() {
								p.f.SetAnswerPending(m.now, id, true)
								for i := range 20 { // further parts arrive
									m.schedule(p, time.Duration(i)*100*ms, func() { p.f.SetAnswerPending(m.now, id, true) })
								}
								if breaks {
									m.schedule(p, time.Duration(r.Int64N(int64(1400*ms))), func() { p.f.Failed(m.now, id, "broken") })
								}
							})
							m.intercept = func(_ *peer, c Call) bool { return c.ID == id || after && !breaks && c.ID == id+1 && s.style != stream }
							p.droppedCall = id
							m.set("k", entry("s", policy.Draining))
							at := m.now
							m.run(10 * time.Second)
							if p.firstDrain == 0 || p.firstDrain-at > notifyDelay {
								t.Fatalf("seed %d: the change at %v is known at %v; %q", seed, at, p.firstDrain, p.notes)
							}
						}
					})
				}
			}
		}
	}
}

// Guards against abandoning a watch whose head arrives at once and whose body follows with the first change, or a stream after a
// complete object: no rest is due then, and all nodes would call again all the time.
func TestWatchWithoutPartialAnswerKeepsWaiting(t *testing.T) {
	forEachStyle(t, func(t *testing.T, s style) {
		m := newModel(t, s, 1, 1, scenario{style: s, nodes: 300}.config(20*time.Second))
		p := m.followers[0]
		m.set("k", entry("s", policy.Ready))
		m.start()
		m.run(5 * time.Second)
		calls, id := m.calls, p.call.ID
		p.f.SetAnswerPending(m.now, id, true) // part of a head
		m.run(time.Second)
		p.f.SetAnswerPending(m.now, id, false) // the complete head
		m.run(30 * time.Second)
		if m.calls != calls || p.call.ID != id {
			t.Errorf("%d further calls; %q", m.calls-calls, p.notes)
		}
		p.f.SetAnswerPending(m.now, id-1, true) // for another call
		m.run(5 * time.Second)
		m.set("k", entry("s", policy.Draining))
		m.run(time.Second)
		if m.calls > calls+1 || p.firstDrain == 0 {
			t.Errorf("%d further calls, change known at %v; %q", m.calls-calls, p.firstDrain, p.notes)
		}
	})
}
