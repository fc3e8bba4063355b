package roster

// A model registry with followers, in virtual time: no sockets, no goroutines.

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lapisshelf/policy"
)

const ms = time.Millisecond

type fataler interface{ Fatalf(string, ...any) }

// style is how the registry speaks.
type style int

const (
	stream style = iota // as etcd: pages, a stream of changes
	poll                // as discovery: one answer, changes or the whole list
	whole               // as Consul: one answer, always the whole list
)

// model is a registry of several endpoints and its followers.
type model struct {
	t     fataler
	style style
	now   time.Duration
	rng   *rand.Rand
	epoch string

	log     []Change // every change there ever was, by revision
	rev     int64
	min     int64 // what is not newer is compacted
	lag     []int64
	down    []bool
	mute    []bool        // takes calls, says nothing
	calls   int           // ever
	byTime  map[int64]int // calls by second
	latency time.Duration
	double  bool // news are told twice
	refuse  int  // so many calls to come fail, after tardy
	tardy   time.Duration
	fails   func(p *peer, c Call) bool // takes a call away from the registry; nil: none

	followers []*peer
	queue     []event
}

type event struct {
	at time.Duration
	n  int
	do func()
}

// peer is a follower and what its node has been told.
type peer struct {
	m     *model
	f     *Follower
	call  Call
	wake  time.Duration
	told  map[string]Entry
	log   []string
	ups   int
	when  map[string]time.Duration // of the last word on each server
	watch int64                    // of an open stream: told up to
	asked time.Duration            // when the call that is out was made
	hush  uint64                   // a call that nothing more comes of, without a word
	lost  uint64                   // a call that fails, in its own time: no change is told to it
	first time.Duration            // when a list was first told; 0: none was
	drain time.Duration            // when a server was first told to drain; 0: none was
}

func newModel(t fataler, s style, endpoints, followers int, change func(*Config)) *model {
	m := &model{t: t, style: s, rng: rand.New(rand.NewPCG(1, 2)), lag: make([]int64, endpoints), down: make([]bool, endpoints),
		mute: make([]bool, endpoints), byTime: map[int64]int{}, latency: ms, epoch: "one"}
	for i := range followers {
		cfg := Config{Endpoints: endpoints, Nodes: followers, AskWithin: 4 * time.Second, Streaming: s == stream, WatchTimeout: 5 * time.Second,
			CallTimeout: 500 * ms, PageSize: 3}
		if change != nil {
			change(&cfg)
		}
		p := &peer{m: m, told: map[string]Entry{}, when: map[string]time.Duration{}}
		p.f = New(0, cfg, uint64(i), p)
		m.followers = append(m.followers, p)
	}
	return m
}

func (m *model) start() {
	for _, p := range m.followers {
		p.f.Start(m.now)
	}
}

func entry(id string, state policy.State) Entry {
	return Entry{Server: policy.Server{ID: id, State: state, Weight: 1}, Addr: "addr-" + id}
}

// set changes a key; a state of Gone deletes it.
func (m *model) set(key string, e Entry) {
	m.rev++
	m.log = append(m.log, Change{Key: key, Revision: m.rev, Deleted: e.State == policy.Gone, Entry: e})
	for _, p := range m.followers {
		m.flow(p)
	}
}

// at is the list at a revision, by key.
func (m *model) at(rev int64) []Change {
	state := map[string]Change{}
	for _, c := range m.log {
		if c.Revision > rev {
			break
		}
		if c.Deleted {
			delete(state, c.Key)
		} else {
			state[c.Key] = c
		}
	}
	return slices.SortedFunc(maps.Values(state), func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
}

func (m *model) since(rev, to int64) (out []Change) {
	for _, c := range m.log {
		if c.Revision > rev && c.Revision <= to {
			out = append(out, c)
		}
	}
	return out
}

func (m *model) visible(end int) int64 { return max(0, m.rev-m.lag[end]) }

func (p *peer) Drop(uint64) { p.call = Call{} }

func (p *peer) Wake(at time.Duration) { p.wake = at }

func (p *peer) Note(event, why string) { p.log = append(p.log, event+" "+why) }

func (p *peer) noted(event string) (n int) {
	for _, l := range p.log {
		if strings.HasPrefix(l, event+" ") {
			n++
		}
	}
	return n
}

// Ask implements Actions: the call arrives after the latency.
func (p *peer) Ask(c Call) {
	m := p.m
	p.call, p.watch, p.asked = c, -1, m.now
	m.calls++
	m.byTime[int64(m.now/time.Second)]++
	m.later(p, m.latency, func() { m.arrive(p, c) })
}

// later does something for a call unless that has been dropped by then.
func (m *model) later(p *peer, d time.Duration, do func()) {
	call := p.call.ID
	e := event{at: m.now + d, n: len(m.queue), do: func() {
		if p.call.ID == call && p.hush != call {
			do()
		}
	}}
	m.queue = append(m.queue, e)
}

func (m *model) answer(p *peer, a Answer) {
	a.Call, a.Epoch = p.call.ID, m.epoch
	if a.Final || a.Kind == Compacted {
		m.later(p, m.latency, func() { p.f.Answer(m.now, a) })
		return
	}
	m.later(p, m.latency, func() { p.f.Answer(m.now, a) })
}

// arrive is a call at the registry.
func (m *model) arrive(p *peer, c Call) {
	if m.fails != nil && m.fails(p, c) {
		p.lost = c.ID
		return
	}
	m.take(p, c)
}

// take is a call that the registry takes up.
func (m *model) take(p *peer, c Call) {
	end := c.Endpoint
	p.lost = 0
	switch {
	case m.mute[end]:
		return
	case m.refuse > 0:
		m.refuse--
		m.later(p, m.tardy, func() { p.f.Failed(m.now, c.ID, "refused") })
		return
	case m.down[end]:
		m.later(p, m.latency, func() { p.f.Failed(m.now, c.ID, "down") })
		return
	}
	rev := m.visible(end)
	switch {
	case c.ReadList:
		at := cmp.Or(c.Revision, rev)
		if at < m.min || at > rev {
			m.answer(p, Answer{Kind: Compacted, Final: true})
			return
		}
		page := slices.DeleteFunc(m.at(at), func(x Change) bool { return x.Key <= c.After })
		a := Answer{Kind: List, Revision: rev, Final: true}
		if c.PageSize > 0 && len(page) > c.PageSize {
			page = page[:c.PageSize]
			a.NextPageAfter = page[len(page)-1].Key
		}
		a.Changes = page
		m.answer(p, a)
	case c.Revision < m.min && m.style == stream:
		m.answer(p, Answer{Kind: Compacted, Final: true})
	case m.style == stream:
		p.watch = c.Revision
		m.answer(p, Answer{Kind: Heartbeat, Revision: rev})
		m.flow(p)
	default:
		m.flow(p)
		m.later(p, c.Wait, func() { m.reply(p) })
	}
}

// flow tells a follower that waits what it can see by now.
func (m *model) flow(p *peer) {
	c := p.call
	if c.ID == 0 || c.ID == p.lost || c.ReadList || m.mute[c.Endpoint] || m.down[c.Endpoint] {
		return
	}
	rev := m.visible(c.Endpoint)
	if m.style != stream {
		if rev > c.Revision {
			m.later(p, m.latency, func() { m.reply(p) })
		}
		return
	}
	if p.watch >= 0 && rev > p.watch {
		news := m.since(p.watch, rev)
		p.watch = rev
		m.answer(p, Answer{Kind: Changes, Revision: rev, Changes: news})
		if m.double { // and what was told before, and a progress that overtakes what it speaks of
			m.answer(p, Answer{Kind: Changes, Revision: rev, Changes: m.since(rev-6, rev)})
			m.answer(p, Answer{Kind: Changes, Revision: rev, Changes: m.since(rev-6, rev-2)})
			m.answer(p, Answer{Kind: Progress, Revision: rev + 1})
		}
	}
}

// reply answers a watch that is one answer.
func (m *model) reply(p *peer) {
	c := p.call
	rev := m.visible(c.Endpoint)
	if m.style == whole || c.Revision < m.min || rev < c.Revision {
		p.f.Answer(m.now, Answer{Call: c.ID, Kind: List, Revision: rev, Epoch: m.epoch, Changes: m.at(rev), Final: true})
		return
	}
	news := m.since(c.Revision, rev)
	for i := range news {
		news[i].Revision = 0 // discovery tells none
	}
	p.f.Answer(m.now, Answer{Call: c.ID, Kind: Changes, Revision: rev, Epoch: m.epoch, Changes: news, Final: true})
}

// run lets time pass.
func (m *model) run(d time.Duration) {
	for end := m.now + d; ; {
		next, which := end, -1
		for i, e := range m.queue {
			if e.at < next || e.at == next && which >= 0 && e.n < m.queue[which].n {
				next, which = e.at, i
			}
		}
		var waker *peer
		for _, p := range m.followers {
			if p.wake > 0 && p.wake < next {
				next, which, waker = p.wake, -1, p
			}
		}
		m.now = max(m.now, next)
		switch {
		case waker != nil:
			waker.wake = 0
			waker.f.Timer(m.now)
		case which >= 0:
			e := m.queue[which]
			m.queue = slices.Delete(m.queue, which, which+1)
			e.do()
		default:
			m.now = end
			return
		}
	}
}

// Apply implements Actions: what the node is told must make sense.
func (p *peer) Apply(u Update) {
	if p.ups++; p.first == 0 {
		p.first = p.m.now
	}
	if u.Complete {
		clear(p.told)
	}
	for _, e := range u.Entries {
		if old, known := p.told[e.ID]; known && old == e && !u.Complete {
			p.m.t.Fatalf("%s is told twice", e.ID)
		}
		if e.State == policy.Draining && p.drain == 0 {
			p.drain = p.m.now
		}
		if p.when[e.ID] = p.m.now; e.State == policy.Gone {
			if _, known := p.told[e.ID]; !known && !u.Complete {
				p.m.t.Fatalf("%s goes, which was not there", e.ID)
			}
			delete(p.told, e.ID)
		} else {
			p.told[e.ID] = e
		}
	}
}

// list is a list as text.
func list(entries []Entry) string {
	var out []string
	for _, e := range entries {
		out = append(out, fmt.Sprintf("%s/%d/%g/%s", e.ID, e.State, e.Weight, e.Addr))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

func (p *peer) list() string { return list(slices.Collect(maps.Values(p.told))) }

func (m *model) list() string {
	var all []Entry
	for _, c := range m.at(m.rev) {
		all = append(all, c.Entry)
	}
	return list(all)
}

func (m *model) breakAll() {
	for _, p := range m.followers {
		if c := p.call; c.ID != 0 {
			m.later(p, 0, func() { p.f.Failed(m.now, c.ID, "broken") })
		}
	}
}
