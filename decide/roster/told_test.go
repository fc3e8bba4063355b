package roster

// A change counts as told 6 s after the registry had it and could be reached, whatever failed before.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lapisshelf/policy"
)

// outage is how calls fail while the registry is away.
type outage struct {
	name string
	fail func(m *model, p *peer, c Call) // what becomes of a call that arrives
}

// failing ends a call after a time.
func failing(after func(r *rand.Rand) time.Duration) func(*model, *peer, Call) {
	return func(m *model, p *peer, c Call) {
		m.later(p, after(m.rng), func() { p.f.Failed(m.now, c.ID, "away") })
	}
}

var outages = []outage{
	{"refused", failing(func(*rand.Rand) time.Duration { return 0 })},
	{"reset", failing(func(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(1400 * ms))) })},
	{"no connection", failing(func(*rand.Rand) time.Duration { return time.Second })}, // as internal/registry gives one up
	{"silent", func(*model, *peer, Call) {}},
	{"half an answer", func(m *model, p *peer, c Call) { // a page of several, and nothing more; nothing of a single answer
		if c.ReadList && c.PageSize > 0 && c.After == "" {
			page := m.at(m.rev)
			m.answer(p, Answer{Kind: List, Revision: m.rev, Changes: page[:1], NextPageAfter: page[0].Key})
		}
	}},
	{"dropped", func(m *model, p *peer, c Call) { // an answer that makes no sense
		m.answer(p, Answer{Kind: Changes, Revision: -1, Final: true})
	}},
	{"busy", failing(func(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(200 * ms))) })},
}

// mixed has each call fail in another way.
var mixed = outage{"any of them", func(m *model, p *peer, c Call) { outages[m.rng.IntN(len(outages))].fail(m, p, c) }}

// fleet is one follower out of so many, at a registry of some kind.
type fleet struct {
	style  style
	pushed bool
	nodes  int
	ends   int
}

func (s fleet) String() string {
	return fmt.Sprintf("%s, pushed %v, %d nodes, %d endpoints", []string{"stream", "poll", "whole"}[s.style], s.pushed, s.nodes, s.ends)
}

// config is a follower's, as internal/node makes it.
func (s fleet) config(within time.Duration) func(*Config) {
	return func(c *Config) {
		c.Nodes, c.CallTimeout, c.AskWithin, c.PageSize, c.ImmediateFirstWatch = s.nodes, 1500*ms, within, 2, true
		c.WatchTimeout = min(60*time.Second, max(5*time.Second, time.Duration(s.nodes)*time.Second))
		if s.pushed {
			c.PushedRetryDelay = 100 * ms
		}
	}
}

// back plays one outage and its end: the calls that are out break, or hang, or the process begins in it; then all calls
// fail for a time, and from a moment on none does. A change is made in the outage, or up to a while after it; perhaps the
// node is moved to that registry in between. It gives how long after the registry had the change and could be reached the
// node knew of it, and how much of that was due to a watch that fell silent, which has a rule of its own.
func back(t *testing.T, s fleet, o outage, seed uint64) (took time.Duration) {
	r := rand.New(rand.NewPCG(seed, uint64(s.nodes)))
	within := []time.Duration{0, 4 * time.Second, 10 * time.Second, 20 * time.Second, time.Hour}[r.IntN(5)]
	m := newModel(t, s.style, s.ends, 1, s.config(within))
	m.rng = r
	m.latency = time.Duration(1+r.IntN([]int{20, 240}[r.IntN(2)])) * ms // a call takes two of them, half a second at most
	p := m.followers[0]
	p.f.rng = rand.New(rand.NewPCG(seed, 7))
	m.set("k", entry("s", policy.Ready))
	m.set("l", entry("l", policy.Ready))
	away := make([]bool, s.ends)
	m.fails = func(p *peer, c Call) bool {
		if away[c.Endpoint] {
			o.fail(m, p, c)
		}
		return away[c.Endpoint]
	}
	leave := func() {
		for i := range away {
			away[i] = true
		}
	}
	hangs := false
	switch r.IntN(3) {
	case 0: // the process begins in the outage, perhaps with a list
		leave()
		if r.IntN(2) == 0 {
			p.told = map[string]Entry{"s": entry("s", policy.Ready), "l": entry("l", policy.Ready)}
			p.f.Restore(2, []Entry{p.told["s"], p.told["l"]})
		}
		m.start()
	case 1: // calls that are out break
		m.start()
		m.run(time.Duration(r.Int64N(int64(10 * time.Second))))
		leave()
		m.breakAll()
	default: // they hang
		m.start()
		m.run(2*time.Second + time.Duration(r.Int64N(int64(10*time.Second))))
		leave()
		p.hush, hangs = p.call.ID, true
	}
	over := p.f.deadline // when the call that hangs is given up; a watch is, a little after its wait
	if p.f.longPolling() {
		over -= watchOverrun
	}
	long := time.Duration(r.Int64N(int64([]time.Duration{2 * time.Second, 30 * time.Second, 3 * time.Minute}[r.IntN(3)])))
	end := m.now + long
	if r.IntN(3) == 0 { // SIGHUP, at any time of it
		m.run(time.Duration(r.Int64N(int64(long) + 1)))
		p.f.ChangeRegistry(m.now, p.f.cfg)
	}
	m.run(max(0, end-m.now))
	for i := range away {
		away[i] = i < (s.ends-1)/2 // a majority is back: a change of a registry needs one
	}
	if s.ends > 1 {
		r.Shuffle(len(away), func(i, j int) { away[i], away[j] = away[j], away[i] })
	}
	if r.IntN(2) == 0 {
		m.run(time.Duration(r.Int64N(int64(2 * time.Second))))
	}
	m.set("k", entry("s", policy.Draining))
	at := m.now
	for p.drain == 0 && m.now < at+time.Hour/2 {
		m.run(time.Second)
	}
	known := p.drain
	if known == 0 {
		known = m.now // not yet
	}
	told := over + 2*time.Second // what a silent watch misses counts so long after its wait
	if s.ends > 2 {
		told = over + notifyDelay // some of the endpoints that are asked instead may be away
	}
	if hangs && told > at+notifyDelay {
		return known - (told - notifyDelay)
	}
	return known - at
}

// Guards against waits behind failures that leave nothing of the 6 s for the call itself, or for one that began in the
// outage and hangs until its limit (28 s in the mean with 1,900 nodes), and against a watch that is begun in an outage, hangs,
// and is held for all of its wait (60 s with 60 nodes or more). A fleet beyond MostNodes keeps to its calls a second: what it
// takes longer is bounded too.
func TestAChangeIsKnownBeforeItCounts(t *testing.T) {
	const seeds = 400
	var fleets []fleet
	for _, nodes := range []int{2, 30, 300, 450, 1900} {
		for _, st := range []style{stream, poll, whole} {
			fleets = append(fleets, fleet{st, false, nodes, 1})
		}
		fleets = append(fleets, fleet{poll, true, nodes, 1})
	}
	for _, ends := range []int{2, 3, 5} {
		fleets = append(fleets, fleet{stream, false, 30, ends}, fleet{whole, false, 100, ends})
	}
	for _, s := range fleets {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			cfg := Config{Endpoints: s.ends}
			s.config(0)(&cfg)
			bound := notifyDelay
			if s.nodes > MaxNodes(cfg) { // a call of each in their calls a second, a tenth of it drawn
				bound = max(bound, time.Duration(float64(s.nodes)/100/0.9*float64(time.Second))+callReserve)
			}
			for _, o := range append(outages, mixed) {
				worst, sum, late, slowest := time.Duration(0), time.Duration(0), 0, uint64(0)
				for seed := range uint64(seeds) {
					took := back(t, s, o, seed)
					if sum += took; took > worst {
						worst, slowest = took, seed
					}
					if took > bound {
						late++
					}
				}
				if t.Logf("%v, %s: mean %v, worst %v", s, o.name, (sum / seeds).Round(ms), worst.Round(ms)); late > 0 {
					t.Errorf("%s: known later than %v in %d of %d seeds, the worst is %d", o.name, bound, late, seeds, slowest)
				}
			}
		})
	}
}

// The largest fleet that the calls a second let know in time, by the arithmetic of the settings, and by playing it: a fleet
// of that size keeps to its calls a second in an outage however long, however it began, and nobody is late when it ends;
// one a fifth larger keeps to them too, but is late.
func TestMostNodes(t *testing.T) {
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
	for _, s := range []style{stream, poll} {
		for _, kind := range []outage{outages[0], outages[3]} {
			for _, nodes := range []int{300, MaxNodes(Config{}), 540} {
				m := newModel(t, s, 1, nodes, fleet{style: s, nodes: nodes}.config(20*time.Second))
				m.set("k", entry("s", policy.Ready))
				m.start()
				m.run(20 * time.Second)
				away := true
				m.fails = func(p *peer, c Call) bool {
					if away {
						kind.fail(m, p, c)
					}
					return away
				}
				m.breakAll()
				clear(m.byTime)
				m.run(90 * time.Second)
				most := 0
				for _, n := range m.byTime {
					most = max(most, n)
				}
				away = false
				m.set("k", entry("s", policy.Draining))
				at := m.now
				m.run(30 * time.Second)
				last := time.Duration(0)
				for _, p := range m.followers {
					if p.drain == 0 {
						t.Fatal("never known")
					}
					last = max(last, p.drain-at)
				}
				t.Logf("%d nodes, style %d, %s: %d calls in the worst second, the last knows after %v", nodes, s, kind.name, most, last.Round(ms))
				if most > 150 {
					t.Errorf("%d nodes: %d calls in a second", nodes, most)
				}
				if late := last > notifyDelay-callReserve+4*m.latency; late != (nodes > MaxNodes(Config{})) {
					t.Errorf("%d nodes: the last knows after %v", nodes, last)
				}
			}
		}
	}
}

// Guards against holding a watch for all of its wait whose answer has begun and stops, or trickles for ever, or breaks off: what
// it was to tell was there when it began. With 60 nodes or more a watch waits for 60 s.
func TestAnAnswerThatStopsInItsMidstIsAskedForAgain(t *testing.T) {
	for _, nodes := range []int{2, 30, 300, 450} {
		for _, s := range []fleet{{stream, false, nodes, 1}, {poll, false, nodes, 1}, {whole, false, nodes, 1}, {poll, true, nodes, 1}} {
			for _, breaks := range []bool{false, true} {
				for _, after := range []bool{false, true} { // the next call hangs too
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
								t.Fatalf("no watch is out: %+v", p.call)
							}
							m.later(p, 0, func() {
								p.f.SetAnswerPending(m.now, id, true)
								for i := range 20 { // and goes on to come
									m.later(p, time.Duration(i)*100*ms, func() { p.f.SetAnswerPending(m.now, id, true) })
								}
								if breaks {
									m.later(p, time.Duration(r.Int64N(int64(1400*ms))), func() { p.f.Failed(m.now, id, "broken") })
								}
							})
							m.fails = func(_ *peer, c Call) bool { return c.ID == id || after && !breaks && c.ID == id+1 && s.style != stream }
							p.lost = id
							m.set("k", entry("s", policy.Draining))
							at := m.now
							m.run(10 * time.Second)
							if p.drain == 0 || p.drain-at > notifyDelay {
								t.Fatalf("seed %d: the change at %v is known at %v; %q", seed, at, p.drain, p.log)
							}
						}
					})
				}
			}
		}
	}
}

// Guards against giving up a watch whose head comes at once and whose body when there is something to tell, or a stream behind a
// whole object: nothing is owed then, and all nodes would ask anew all the time.
func TestAWatchThatOwesNothingIsLeftToWait(t *testing.T) {
	each(t, func(t *testing.T, s style) {
		m := newModel(t, s, 1, 1, fleet{style: s, nodes: 300}.config(20*time.Second))
		p := m.followers[0]
		m.set("k", entry("s", policy.Ready))
		m.start()
		m.run(5 * time.Second)
		calls, id := m.calls, p.call.ID
		p.f.SetAnswerPending(m.now, id, true) // half a head
		m.run(time.Second)
		p.f.SetAnswerPending(m.now, id, false) // all of it
		m.run(30 * time.Second)
		if m.calls != calls || p.call.ID != id {
			t.Errorf("%d calls more; %q", m.calls-calls, p.log)
		}
		p.f.SetAnswerPending(m.now, id-1, true) // another call's
		m.run(5 * time.Second)
		m.set("k", entry("s", policy.Draining))
		m.run(time.Second)
		if m.calls > calls+1 || p.drain == 0 {
			t.Errorf("%d calls more, the change known at %v; %q", m.calls-calls, p.drain, p.log)
		}
	})
}
