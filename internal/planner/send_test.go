package planner

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"lapisshelf/decide/follow"
	"lapisshelf/decide/plan"
	"lapisshelf/decide/roster"
	"lapisshelf/internal/planwire"
	"lapisshelf/policy"
)

// steppedPlanner is a planner that does not run: a test moves its clock and looks at what it puts out.
type steppedPlanner struct {
	*Planner
	t        *testing.T
	now      time.Duration
	cacheIDs []string
	factor   float64 // what all servers count for; they would recover, since nothing bad is told of them
}

func newSteppedPlanner(t *testing.T, caches int, off float64) *steppedPlanner {
	t.Helper()
	p, err := New(Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Interval: 500 * ms, Certificates: func() (*tls.Config, error) { return &tls.Config{}, nil },
		Plan: plan.Config{ID: "p", Forwarders: 4096, Valid: 3 * time.Second, FallMultiple: 3, WarmUp: time.Minute, ColdFrom: 0.1}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.listener.Close() })
	s := &steppedPlanner{Planner: p, t: t, now: 1000 * time.Second, factor: off}
	for i := range caches {
		s.cacheIDs = append(s.cacheIDs, fmt.Sprintf("shelf-cache-%03d", i))
	}
	s.setList(0)
	s.updatePlan()
	return s
}

// setList has the list name all caches; the first so many started now.
func (s *steppedPlanner) setList(cold int) {
	var list []policy.Server
	for i, id := range s.cacheIDs {
		e := policy.Server{ID: id, Kind: "m2", Weight: 1, State: policy.Ready}
		if i < cold {
			e.Started = s.now
		}
		list = append(list, e)
		s.entries[id] = roster.Entry{Server: e}
	}
	s.plan.SetServers(s.now, list)
}

// updatePlan has the planner look at what is so.
func (s *steppedPlanner) updatePlan() {
	shot := plan.Snapshot{Clock: s.now, Factors: map[string]float64{}}
	for _, id := range s.cacheIDs {
		shot.Factors[id] = s.factor
	}
	if s.factor < 1 && !s.plan.Restore(s.now, time.Hour, shot) {
		s.t.Fatal("the snapshot does not count")
	}
	s.plan.Update(s.now)
}

// addConn is a forwarder's connection whose frames the test takes.
func (s *steppedPlanner) addConn(name string) *conn {
	c := &conn{p: s.Planner, name: name, out: make(chan []byte, 2)}
	s.conns[c] = true
	return c
}

// step moves the clock by as much as lies between two sendings, and sends.
func (s *steppedPlanner) step() {
	s.now += s.cfg.Interval
	s.updatePlan()
	s.sendUpdates(s.now)
}

// takeFrames is what waits for a connection, taken from it.
func (s *steppedPlanner) takeFrames(c *conn) (frames [][]byte) {
	for {
		select {
		case f := <-c.out:
			frames = append(frames, f)
		default:
			return frames
		}
	}
}

// decode reads frames.
func (s *steppedPlanner) decode(frames ...[]byte) (list []planwire.Message) {
	s.t.Helper()
	for _, f := range frames {
		m, used, err := planwire.Next(f)
		if err != nil || used != len(f) {
			s.t.Fatalf("%d of %d bytes, %v", used, len(f), err)
		}
		list = append(list, m)
	}
	return list
}

// acknowledge has a forwarder tell what it holds, and that all that went out has come.
func (s *steppedPlanner) acknowledge(c *conn, h plan.Hold) {
	s.t.Helper()
	if err := c.updateHold(s.now, h, c.changesSent+1); err != nil {
		s.t.Fatal(err)
	}
}

func (s *steppedPlanner) currentHold() plan.Hold {
	return plan.Hold{History: s.cfg.Plan.History, Revision: s.plan.Revision()}
}

// A fleet that comes back all at once, with a state of 420 servers that are all off: the whole states go out at their pace,
// in the order of asking, frozen forwarders keep none of the others waiting, and one that asks again each time waits in turn.
func TestFullStatesArePaced(t *testing.T) {
	const nodes = 1900
	s := newSteppedPlanner(t, 420, 0.5)
	var conns []*conn
	for i := range nodes {
		conns = append(conns, s.addConn(fmt.Sprintf("n%04d", i)))
		s.acknowledge(conns[i], plan.Hold{})
	}
	frozen, liar := conns[0], conns[1]
	var stuck *conn // freezes while it waits
	frozen.out <- nil
	frozen.out <- nil
	bytes, served := []int{}, map[*conn]int{}
	size := 0
	for ticks := 0; len(served) < nodes-2; ticks++ {
		if ticks == 60 {
			t.Fatalf("%d of %d served in 30 s", len(served), nodes)
		}
		before := slices.Clone(s.sender.awaitingState)
		s.step()
		sum := 0
		for _, c := range conns {
			if c == frozen || c == stuck {
				continue
			}
			for _, f := range s.takeFrames(c) {
				m := s.decode(f)[0]
				if m.Change == nil || m.Change.Base != 0 {
					continue // a heartbeat
				}
				sum += len(f)
				size = len(f)
				if served[c]++; c != liar && served[c] > 1 {
					t.Errorf("%s got %d", c.name, served[c])
				}
			}
		}
		bytes = append(bytes, sum)
		if ticks == 0 {
			stuck = s.sender.awaitingState[len(s.sender.awaitingState)/2]
			if stuck == liar {
				stuck = s.sender.awaitingState[0]
			}
			stuck.out <- nil
			stuck.out <- nil
		}
		if ticks > 0 { // those who wait from before come first
			for i, c := range before[:min(len(before), 20)] {
				if served[c] == 0 && c != frozen && c != stuck {
					t.Errorf("tick %d: the %d. of those who waited got none", ticks, i+1)
				}
			}
		}
		s.acknowledge(liar, plan.Hold{})
	}
	t.Logf("states of %d bytes, bytes each half second: %v", size, bytes)
	if size < 4000 {
		t.Errorf("a state of %d bytes: that is no test", size)
	}
	for i := range bytes[1:] { // in any second
		if sum := bytes[i] + bytes[i+1]; sum > stateBytesPerSecond*3/2+2*size {
			t.Errorf("%d bytes from tick %d on", sum, i)
		}
	}
	if total := nodes * size; len(bytes) > 2+2*total/stateBytesPerSecond {
		t.Errorf("%d ticks for %d bytes", len(bytes), total)
	}
	if served[liar] > 1+len(bytes)/2 || s.sender.statesPaced == 0 {
		t.Errorf("the one that asks each time got %d in %d ticks; %d paced", served[liar], len(bytes), s.sender.statesPaced)
	}
	for _, c := range []*conn{frozen, stuck} {
		if len(c.out) != 2 {
			t.Errorf("a frozen one has %d frames to take", len(c.out))
		}
		s.takeFrames(c)
	}
	s.step()
	s.step()
	for _, c := range []*conn{frozen, stuck} {
		if list := s.decode(s.takeFrames(c)...); len(list) == 0 || list[0].Change.Base != 0 {
			t.Errorf("thawed, it got %+v", list)
		}
	}
}

// In the calm a forwarder that holds the present state hears once a second, all of them the same bytes, made once.
func TestHeartbeats(t *testing.T) {
	s := newSteppedPlanner(t, 20, 1)
	var conns []*conn
	for i := range 50 {
		c := s.addConn(fmt.Sprint("n", i))
		conns = append(conns, c)
		s.acknowledge(c, s.currentHold())
		c.lastSent = s.now
	}
	frozen := conns[0]
	frozen.out <- nil
	frozen.out <- nil
	for tick := 1; tick <= 20; tick++ {
		made := s.sender.changesEncoded
		s.step()
		want := (tick + 1) % 2 // every other
		if s.sender.changesEncoded-made > 1 {
			t.Errorf("tick %d: encoded %d times", tick, s.sender.changesEncoded-made)
		}
		var first []byte
		for _, c := range conns[1:] {
			got := s.takeFrames(c)
			if len(got) != want {
				t.Fatalf("tick %d: %s got %d frames, want %d", tick, c.name, len(got), want)
			}
			if want == 0 {
				continue
			}
			if first == nil {
				first = got[0]
			}
			if &first[0] != &got[0][0] {
				t.Fatal("the same bytes made twice")
			}
			if m := s.decode(got[0])[0].Change; m.Base != s.plan.Revision() || len(m.Servers) > 0 || len(got[0]) > 120 {
				t.Fatalf("%d bytes: %+v", len(got[0]), m)
			}
		}
	}
	if len(frozen.out) != 2 {
		t.Error("a frozen one was written to")
	}
}

// What changed is told at once from what is acknowledged, again with the heartbeat while it is not, and no more once it is.
// One that has told nothing, not even that it is older, is told nothing.
func TestChangesStartFromHeldState(t *testing.T) {
	s := newSteppedPlanner(t, 20, 1)
	a, b, mute := s.addConn("a"), s.addConn("b"), s.addConn("mute")
	first := s.currentHold()
	for _, c := range []*conn{a, b} {
		s.acknowledge(c, first)
		c.lastSent = s.now
	}
	s.factor = 0.5
	s.step()
	for _, c := range []*conn{a, b} {
		if list := s.decode(s.takeFrames(c)...); len(list) != 1 || list[0].Change.Base != first.Revision || list[0].Change.Revision != s.plan.Revision() || len(list[0].Change.Servers) != 20 {
			t.Fatalf("%s: %+v", c.name, list)
		}
	}
	s.acknowledge(a, s.currentHold())
	s.step() // b's is on its way
	if n, m := len(s.takeFrames(a)), len(s.takeFrames(b)); n+m > 0 {
		t.Errorf("%d and %d frames", n, m)
	}
	s.step() // the heartbeat
	for c, base := range map[*conn]uint64{a: s.plan.Revision(), b: first.Revision} {
		if list := s.decode(s.takeFrames(c)...); len(list) != 1 || list[0].Change.Base != base {
			t.Errorf("%s: %+v", c.name, list)
		}
	}
	s.acknowledge(b, plan.Hold{}) // it does not fit what it has
	s.step()
	if list := s.decode(s.takeFrames(b)...); len(list) != 1 || list[0].Change.Base != 0 || s.sender.lostStates != 1 {
		t.Errorf("%+v, %d doubts", list, s.sender.lostStates)
	}
	s.acknowledge(a, plan.Hold{History: s.cfg.Plan.History ^ 2, Revision: 1}) // another life's
	s.step()
	if list := s.decode(s.takeFrames(a)...); len(list) != 1 || list[0].Change.Base != 0 {
		t.Errorf("%+v", list)
	}
	if n := len(s.takeFrames(mute)); n > 0 {
		t.Errorf("%d frames to one that said nothing", n)
	}
}

// A forwarder's grants go to it alone, beside what goes to all, at each tick while a server is cold.
func TestGrantsGoToOneForwarder(t *testing.T) {
	s := newSteppedPlanner(t, 20, 1)
	// The last one's digests have come over another connection, on which the forwarder does not look for the answer.
	conns := []*conn{s.addConn("a"), s.addConn("b"), s.addConn("unheard of"), s.addConn("a")}
	seq := uint64(0)
	digest := func() {
		seq++
		for i, c := range conns[:2] {
			d := plan.Digest{From: c.name, Start: 1, Seq: seq, Span: time.Second, Asked: 1000 * (1 + 2*i), Answered: 1000 * (1 + 2*i)}
			for _, id := range s.cacheIDs {
				d.Servers = append(d.Servers, plan.Load{ID: id, Sends: 50, Timely: 50})
			}
			if err := s.plan.Digest(s.now, d); err != nil {
				t.Fatal(err)
			}
			c.lastDigestSeq, c.lastDigestAt = seq, s.now
		}
	}
	for _, c := range conns {
		s.acknowledge(c, s.currentHold())
	}
	for range 8 {
		s.now += time.Second
		digest()
		s.plan.Update(s.now)
	}
	s.setList(1)
	s.step()
	for _, c := range conns {
		s.takeFrames(c)
	}
	for range 3 {
		digest()
		s.step()
		var rates []float64
		for _, c := range conns {
			list := s.decode(s.takeFrames(c)...)
			if len(list) != 1 {
				t.Fatalf("%s: %+v", c.name, list)
			}
			m := list[0].Change
			if c.lastDigestSeq == 0 && len(m.Grants) > 0 {
				t.Errorf("%s: grants that answer no digest", c.name)
			}
			if g := m.Grants; len(g) == 1 && g[0].ID == s.cacheIDs[0] && m.Answers == seq && m.After == s.cfg.Interval {
				rates = append(rates, g[0].Rate)
			}
		}
		budget := 0.0
		for _, r := range s.plan.Explain() {
			budget = max(budget, r.Allow)
		}
		if len(rates) != 2 || rates[1] < 2*rates[0] || rates[0]+rates[1] > budget || budget == 0 {
			t.Fatalf("grants %v of %.1f", rates, budget)
		}
	}
}

// What a forwarder says that it holds is believed only where it can be true.
func TestInvalidHolds(t *testing.T) {
	s := newSteppedPlanner(t, 20, 1)
	c := s.addConn("a")
	for _, h := range []plan.Hold{{History: 5}, {Revision: 5}, {History: s.cfg.Plan.History, Revision: s.plan.Revision() + 1}, {History: s.cfg.Plan.History, Revision: 1 << 63}} {
		m := planwire.Message{Digest: &plan.Digest{From: "a", Start: 1, Seq: 1, Span: time.Second}, Hold: &h}
		before := s.refusedBy["a"]
		s.handleMessage(c, m)
		if s.refusedBy["a"] != before+1 || c.protocol != protocolUnknown || c.hold != (plan.Hold{}) || s.plan.ForwarderCount() != 0 {
			t.Errorf("%+v: refused %d, %+v", h, s.refusedBy["a"], c.hold)
		}
	}
	// A follower's own holds are none of these.
	f := follow.New(follow.Config{})
	for range 3 {
		s.acknowledge(c, f.Hold("p"))
		s.step()
		var ready []follow.Server
		for _, id := range s.cacheIDs {
			ready = append(ready, follow.Server{ID: id, Weight: 1})
		}
		for _, m := range s.decode(s.takeFrames(c)...) {
			if why, err := f.TakeChange(s.now, *m.Change, ready); why != follow.Accepted {
				t.Error(why, err)
			}
		}
	}
	if c.hold != s.currentHold() || s.sender.statesSent != 1 {
		t.Errorf("%+v, %d states", c.hold, s.sender.statesSent)
	}
}

// A whole fleet starts at once, and each forwarder's digests cross the state on its way: one that tells that it holds nothing
// gets a whole state once, whatever it tells until that has come. What it tells afterwards is a doubt, at once. One of before
// does not tell how far it is: there the state counts as on its way for two seconds.
// Guards against whole states by the thousand for nothing, as all nodes restart: two in five were sent again.
func TestOneFullStatePerStart(t *testing.T) {
	const nodes = 300
	s := newSteppedPlanner(t, 20, 0.5)
	other := plan.Hold{History: s.cfg.Plan.History ^ 2, Revision: 7} // of the planner's life before
	var conns []*conn
	for i := range nodes {
		conns = append(conns, s.addConn(fmt.Sprintf("n%03d", i)))
	}
	tells := func(c *conn, i int, next uint64) {
		t.Helper()
		if i%3 == 0 { // of before
			next = 0
		}
		h := plan.Hold{}
		if i%2 == 0 {
			h = other
		}
		if err := c.updateHold(s.now, h, next); err != nil {
			t.Fatal(err)
		}
	}
	is := func(what string, states, doubts int64) {
		t.Helper()
		if s.sender.statesSent != states || s.sender.lostStates != doubts {
			t.Errorf("%s: %d whole states, %d on doubt, want %d, %d", what, s.sender.statesSent, s.sender.lostStates, states, doubts)
		}
	}
	for i, c := range conns {
		tells(c, i, 1)
		tells(c, i, 1)
	}
	s.step()
	is("all start", nodes, 0)
	for range 3 {
		for i, c := range conns {
			tells(c, i, 1)
			s.takeFrames(c)
		}
		s.step()
	}
	is("their digests crossed it", nodes, 0)
	for i, c := range conns {
		s.takeFrames(c)
		if next := c.lastState.seq + 1; i < 30 {
			tells(c, i, next)
		} else if i < 60 {
			s.acknowledge(c, s.currentHold())
		}
	}
	s.step()
	is("it came and does not fit, at some", nodes+20, 20)
	s.step()
	for i, c := range conns[:30] {
		s.takeFrames(c)
		tells(c, i, c.lastState.seq)
	}
	s.step()
	is("those of before hold nothing after two seconds", nodes+30, 30)
	if err := conns[1].updateHold(s.now, plan.Hold{}, conns[1].changesSent+2); err == nil {
		t.Error("it expects what is to come")
	}
}
