package roster

// A simulated registry with followers, in virtual time, without sockets and goroutines.

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

// style is the registry's protocol style.
type style int

const (
	stream   style = iota // like etcd: a paged list and a stream of changes
	longPoll              // like discovery: a single answer with changes or the complete list
	fullList              // like Consul: a single answer, always with the complete list
)

// model is a registry of several endpoints and its followers.
type model struct {
	t     fataler
	style style
	now   time.Duration
	rng   *rand.Rand
	epoch string

	log           []Change // all changes, by revision
	rev           int64
	compacted     int64 // changes up to this revision are compacted
	lag           []int64
	down          []bool
	silent        []bool        // by endpoint: accepts calls but does not answer
	calls         int           // total
	callsBySecond map[int64]int // number of calls by second of virtual time
	latency       time.Duration
	duplicate     bool // changes are sent twice
	refuseNext    int  // number of upcoming calls that fail, each after refuseDelay
	refuseDelay   time.Duration
	intercept     func(p *peer, c Call) bool // reports whether it handles a call instead of the registry; may be nil

	followers []*peer
	events    []event
}

type event struct {
	at time.Duration
	n  int
	do func()
}

// peer is a follower with the list that was reported to its node.
type peer struct {
	m            *model
	f            *Follower
	call         Call
	wakeAt       time.Duration
	servers      map[string]Entry
	notes        []string
	updates      int
	reportedAt   map[string]time.Duration // time of the last report of each server
	sentRevision int64                    // last revision sent on an open stream
	calledAt     time.Duration            // start of the outstanding call
	silencedCall uint64                   // a call that gets no further answers and does not fail
	droppedCall  uint64                   // a call handled by intercept: it receives no changes
	firstList    time.Duration            // time of the first reported list; 0 if there was none
	firstDrain   time.Duration            // time of the first reported drain; 0 if there was none
}

func newModel(t fataler, s style, endpoints, followers int, change func(*Config)) *model {
	m := &model{t: t, style: s, rng: rand.New(rand.NewPCG(1, 2)), lag: make([]int64, endpoints), down: make([]bool, endpoints),
		silent: make([]bool, endpoints), callsBySecond: map[int64]int{}, latency: ms, epoch: "one"}
	for i := range followers {
		cfg := Config{Endpoints: endpoints, Nodes: followers, AskWithin: 4 * time.Second, Streaming: s == stream, WatchTimeout: 5 * time.Second,
			CallTimeout: 500 * ms, PageSize: 3}
		if change != nil {
			change(&cfg)
		}
		p := &peer{m: m, servers: map[string]Entry{}, reportedAt: map[string]time.Duration{}}
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

// set changes a key; the state Gone deletes it.
func (m *model) set(key string, e Entry) {
	m.rev++
	m.log = append(m.log, Change{Key: key, Revision: m.rev, Deleted: e.State == policy.Gone, Entry: e})
	for _, p := range m.followers {
		m.push(p)
	}
}

// listAt returns the list at a revision, sorted by key.
func (m *model) listAt(rev int64) []Change {
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

func (m *model) changesSince(rev, to int64) (out []Change) {
	for _, c := range m.log {
		if c.Revision > rev && c.Revision <= to {
			out = append(out, c)
		}
	}
	return out
}

func (m *model) visible(end int) int64 { return max(0, m.rev-m.lag[end]) }

func (p *peer) Drop(uint64) { p.call = Call{} }

func (p *peer) Wake(at time.Duration) { p.wakeAt = at }

func (p *peer) Note(event, why string) { p.notes = append(p.notes, event+" "+why) }

func (p *peer) noted(event string) (n int) {
	for _, l := range p.notes {
		if strings.HasPrefix(l, event+" ") {
			n++
		}
	}
	return n
}

// Ask implements Actions: the call arrives after the latency.
func (p *peer) Ask(c Call) {
	m := p.m
	p.call, p.sentRevision, p.calledAt = c, -1, m.now
	m.calls++
	m.callsBySecond[int64(m.now/time.Second)]++
	m.schedule(p, m.latency, func() { m.arrive(p, c) })
}

// schedule calls do for the outstanding call after a delay, unless that call has been dropped or silenced by then.
func (m *model) schedule(p *peer, d time.Duration, do func()) {
	call := p.call.ID
	e := event{at: m.now + d, n: len(m.events), do: func() {
		if p.call.ID == call && p.silencedCall != call {
			do()
		}
	}}
	m.events = append(m.events, e)
}

func (m *model) answer(p *peer, a Answer) {
	a.Call, a.Epoch = p.call.ID, m.epoch
	if a.Final || a.Kind == Compacted {
		m.schedule(p, m.latency, func() { p.f.Answer(m.now, a) })
		return
	}
	m.schedule(p, m.latency, func() { p.f.Answer(m.now, a) })
}

// arrive handles a call that arrives at the registry.
func (m *model) arrive(p *peer, c Call) {
	if m.intercept != nil && m.intercept(p, c) {
		p.droppedCall = c.ID
		return
	}
	m.accept(p, c)
}

// accept handles a call that intercept has not taken.
func (m *model) accept(p *peer, c Call) {
	end := c.Endpoint
	p.droppedCall = 0
	switch {
	case m.silent[end]:
		return
	case m.refuseNext > 0:
		m.refuseNext--
		m.schedule(p, m.refuseDelay, func() { p.f.Failed(m.now, c.ID, "refused") })
		return
	case m.down[end]:
		m.schedule(p, m.latency, func() { p.f.Failed(m.now, c.ID, "down") })
		return
	}
	rev := m.visible(end)
	switch {
	case c.ReadList:
		at := cmp.Or(c.Revision, rev)
		if at < m.compacted || at > rev {
			m.answer(p, Answer{Kind: Compacted, Final: true})
			return
		}
		page := slices.DeleteFunc(m.listAt(at), func(x Change) bool { return x.Key <= c.After })
		a := Answer{Kind: List, Revision: rev, Final: true}
		if c.PageSize > 0 && len(page) > c.PageSize {
			page = page[:c.PageSize]
			a.NextPageAfter = page[len(page)-1].Key
		}
		a.Changes = page
		m.answer(p, a)
	case c.Revision < m.compacted && m.style == stream:
		m.answer(p, Answer{Kind: Compacted, Final: true})
	case m.style == stream:
		p.sentRevision = c.Revision
		m.answer(p, Answer{Kind: Heartbeat, Revision: rev})
		m.push(p)
	default:
		m.push(p)
		m.schedule(p, c.Wait, func() { m.answerPoll(p) })
	}
}

// push sends the changes visible by now to a follower with an open watch.
func (m *model) push(p *peer) {
	c := p.call
	if c.ID == 0 || c.ID == p.droppedCall || c.ReadList || m.silent[c.Endpoint] || m.down[c.Endpoint] {
		return
	}
	rev := m.visible(c.Endpoint)
	if m.style != stream {
		if rev > c.Revision {
			m.schedule(p, m.latency, func() { m.answerPoll(p) })
		}
		return
	}
	if p.sentRevision >= 0 && rev > p.sentRevision {
		changes := m.changesSince(p.sentRevision, rev)
		p.sentRevision = rev
		m.answer(p, Answer{Kind: Changes, Revision: rev, Changes: changes})
		if m.duplicate { // also repeated changes, and a progress answer that overtakes the changes it covers
			m.answer(p, Answer{Kind: Changes, Revision: rev, Changes: m.changesSince(rev-6, rev)})
			m.answer(p, Answer{Kind: Changes, Revision: rev, Changes: m.changesSince(rev-6, rev-2)})
			m.answer(p, Answer{Kind: Progress, Revision: rev + 1})
		}
	}
}

// answerPoll answers a watch that gets a single answer.
func (m *model) answerPoll(p *peer) {
	c := p.call
	rev := m.visible(c.Endpoint)
	if m.style == fullList || c.Revision < m.compacted || rev < c.Revision {
		p.f.Answer(m.now, Answer{Call: c.ID, Kind: List, Revision: rev, Epoch: m.epoch, Changes: m.listAt(rev), Final: true})
		return
	}
	changes := m.changesSince(c.Revision, rev)
	for i := range changes {
		changes[i].Revision = 0 // discovery sends no revisions of changes
	}
	p.f.Answer(m.now, Answer{Call: c.ID, Kind: Changes, Revision: rev, Epoch: m.epoch, Changes: changes, Final: true})
}

// run advances the virtual time.
func (m *model) run(d time.Duration) {
	for end := m.now + d; ; {
		next, which := end, -1
		for i, e := range m.events {
			if e.at < next || e.at == next && which >= 0 && e.n < m.events[which].n {
				next, which = e.at, i
			}
		}
		var waker *peer
		for _, p := range m.followers {
			if p.wakeAt > 0 && p.wakeAt < next {
				next, which, waker = p.wakeAt, -1, p
			}
		}
		m.now = max(m.now, next)
		switch {
		case waker != nil:
			waker.wakeAt = 0
			waker.f.Timer(m.now)
		case which >= 0:
			e := m.events[which]
			m.events = slices.Delete(m.events, which, which+1)
			e.do()
		default:
			m.now = end
			return
		}
	}
}

// Apply implements Actions and checks that the reports to the node are consistent.
func (p *peer) Apply(u Update) {
	if p.updates++; p.firstList == 0 {
		p.firstList = p.m.now
	}
	if u.Complete {
		clear(p.servers)
	}
	for _, e := range u.Entries {
		if old, known := p.servers[e.ID]; known && old == e && !u.Complete {
			p.m.t.Fatalf("%s is reported twice", e.ID)
		}
		if e.State == policy.Draining && p.firstDrain == 0 {
			p.firstDrain = p.m.now
		}
		if p.reportedAt[e.ID] = p.m.now; e.State == policy.Gone {
			if _, known := p.servers[e.ID]; !known && !u.Complete {
				p.m.t.Fatalf("%s is reported as gone but was not known", e.ID)
			}
			delete(p.servers, e.ID)
		} else {
			p.servers[e.ID] = e
		}
	}
}

// formatList formats a list as text.
func formatList(entries []Entry) string {
	var out []string
	for _, e := range entries {
		out = append(out, fmt.Sprintf("%s/%d/%g/%s", e.ID, e.State, e.Weight, e.Addr))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

func (p *peer) list() string { return formatList(slices.Collect(maps.Values(p.servers))) }

func (m *model) list() string {
	var all []Entry
	for _, c := range m.listAt(m.rev) {
		all = append(all, c.Entry)
	}
	return formatList(all)
}

func (m *model) failOutstanding() {
	for _, p := range m.followers {
		if c := p.call; c.ID != 0 {
			m.schedule(p, 0, func() { p.f.Failed(m.now, c.ID, "broken") })
		}
	}
}
