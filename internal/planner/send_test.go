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

// steppedPlanner is a planner whose loop does not run. A test advances its clock and reads the frames that it sends.
type steppedPlanner struct {
	*Planner
	t        *testing.T
	now      time.Duration
	cacheIDs []string
	factor   float64 // of all servers; reset before each update, as the factors would recover without bad answers
}

func newSteppedPlanner(t *testing.T, caches int, factor float64) *steppedPlanner {
	t.Helper()
	p, err := New(Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Interval: 500 * ms, Certificates: func() (*tls.Config, error) { return &tls.Config{}, nil },
		Plan: plan.Config{ID: "p", Forwarders: 4096, Valid: 3 * time.Second, FallMultiple: 3, WarmUp: time.Minute, ColdFrom: 0.1}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.listener.Close() })
	s := &steppedPlanner{Planner: p, t: t, now: 1000 * time.Second, factor: factor}
	for i := range caches {
		s.cacheIDs = append(s.cacheIDs, fmt.Sprintf("shelf-cache-%03d", i))
	}
	s.setList(0)
	s.updatePlan()
	return s
}

// setList sets a server list with all caches, of which the first ones start now and are cold.
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

// updatePlan sets all factors and updates the plan.
func (s *steppedPlanner) updatePlan() {
	snapshot := plan.Snapshot{Clock: s.now, Factors: map[string]float64{}}
	for _, id := range s.cacheIDs {
		snapshot.Factors[id] = s.factor
	}
	if s.factor < 1 && !s.plan.Restore(s.now, time.Hour, snapshot) {
		s.t.Fatal("the snapshot was not restored")
	}
	s.plan.Update(s.now)
}

// addConn adds a forwarder's connection whose frames the test reads.
func (s *steppedPlanner) addConn(name string) *conn {
	c := &conn{p: s.Planner, name: name, out: make(chan []byte, 2)}
	s.conns[c] = true
	return c
}

// step advances the clock by one interval, updates the plan and sends.
func (s *steppedPlanner) step() {
	s.now += s.cfg.Interval
	s.updatePlan()
	s.sendUpdates(s.now)
}

// takeFrames returns and removes the frames queued on a connection.
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

// decode decodes frames of one message each.
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

// acknowledge reports that a forwarder holds a state and has received all changes sent so far.
func (s *steppedPlanner) acknowledge(c *conn, h plan.Hold) {
	s.t.Helper()
	if err := c.updateHold(s.now, h, c.changesSent+1); err != nil {
		s.t.Fatal(err)
	}
}

func (s *steppedPlanner) currentHold() plan.Hold {
	return plan.Hold{History: s.cfg.Plan.History, Revision: s.plan.Revision()}
}

// A whole fleet reconnects at once, and the state has 420 servers with factors below 1. The full states are sent at the
// limited rate, in the order of the requests. Frozen forwarders do not delay the others, and a forwarder that requests the
// state again and again gets it only in its turn.
func TestFullStatesArePaced(t *testing.T) {
	const nodes = 1900
	s := newSteppedPlanner(t, 420, 0.5)
	var conns []*conn
	for i := range nodes {
		conns = append(conns, s.addConn(fmt.Sprintf("n%04d", i)))
		s.acknowledge(conns[i], plan.Hold{})
	}
	frozen, repeater := conns[0], conns[1]
	var frozenLater *conn // stops reading while it is queued
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
			if c == frozen || c == frozenLater {
				continue
			}
			for _, f := range s.takeFrames(c) {
				m := s.decode(f)[0]
				if m.Change == nil || m.Change.Base != 0 {
					continue // a heartbeat
				}
				sum += len(f)
				size = len(f)
				if served[c]++; c != repeater && served[c] > 1 {
					t.Errorf("%s got %d full states", c.name, served[c])
				}
			}
		}
		bytes = append(bytes, sum)
		if ticks == 0 {
			frozenLater = s.sender.awaitingState[len(s.sender.awaitingState)/2]
			if frozenLater == repeater {
				frozenLater = s.sender.awaitingState[0]
			}
			frozenLater.out <- nil
			frozenLater.out <- nil
		}
		if ticks > 0 { // connections queued earlier are served first
			for i, c := range before[:min(len(before), 20)] {
				if served[c] == 0 && c != frozen && c != frozenLater {
					t.Errorf("tick %d: number %d of the queue got no state", ticks, i+1)
				}
			}
		}
		s.acknowledge(repeater, plan.Hold{})
	}
	t.Logf("states of %d bytes; bytes sent per half second: %v", size, bytes)
	if size < 4000 {
		t.Errorf("a state of %d bytes is too small for this test", size)
	}
	for i := range bytes[1:] { // in any second
		if sum := bytes[i] + bytes[i+1]; sum > stateBytesPerSecond*3/2+2*size {
			t.Errorf("%d bytes from tick %d on", sum, i)
		}
	}
	if total := nodes * size; len(bytes) > 2+2*total/stateBytesPerSecond {
		t.Errorf("sending took %d ticks for %d bytes", len(bytes), total)
	}
	if served[repeater] > 1+len(bytes)/2 || s.sender.statesPaced == 0 {
		t.Errorf("the repeating forwarder got %d states in %d ticks; %d were delayed", served[repeater], len(bytes), s.sender.statesPaced)
	}
	for _, c := range []*conn{frozen, frozenLater} {
		if len(c.out) != 2 {
			t.Errorf("a frozen forwarder has %d queued frames", len(c.out))
		}
		s.takeFrames(c)
	}
	s.step()
	s.step()
	for _, c := range []*conn{frozen, frozenLater} {
		if list := s.decode(s.takeFrames(c)...); len(list) == 0 || list[0].Change.Base != 0 {
			t.Errorf("after the freeze, a forwarder got %+v", list)
		}
	}
}

// While nothing changes, each forwarder that holds the current state gets a heartbeat once a second. All heartbeats of an
// update share one encoded frame.
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
		encoded := s.sender.changesEncoded
		s.step()
		want := (tick + 1) % 2 // every second tick
		if s.sender.changesEncoded-encoded > 1 {
			t.Errorf("tick %d: encoded %d times", tick, s.sender.changesEncoded-encoded)
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
				t.Fatal("the same frame was encoded twice")
			}
			if m := s.decode(got[0])[0].Change; m.Base != s.plan.Revision() || len(m.Servers) > 0 || len(got[0]) > 120 {
				t.Fatalf("%d bytes: %+v", len(got[0]), m)
			}
		}
	}
	if len(frozen.out) != 2 {
		t.Error("a frozen forwarder was sent a frame")
	}
}

// A change starts from the acknowledged state. It is sent at once, repeated with the heartbeat until it is acknowledged, and
// not sent again after that. A connection without any digest yet is sent nothing.
func TestChangesStartFromHeldState(t *testing.T) {
	s := newSteppedPlanner(t, 20, 1)
	a, b, silent := s.addConn("a"), s.addConn("b"), s.addConn("mute")
	initial := s.currentHold()
	for _, c := range []*conn{a, b} {
		s.acknowledge(c, initial)
		c.lastSent = s.now
	}
	s.factor = 0.5
	s.step()
	for _, c := range []*conn{a, b} {
		if list := s.decode(s.takeFrames(c)...); len(list) != 1 || list[0].Change.Base != initial.Revision || list[0].Change.Revision != s.plan.Revision() || len(list[0].Change.Servers) != 20 {
			t.Fatalf("%s: %+v", c.name, list)
		}
	}
	s.acknowledge(a, s.currentHold())
	s.step() // the change to b is in transit
	if n, m := len(s.takeFrames(a)), len(s.takeFrames(b)); n+m > 0 {
		t.Errorf("%d and %d frames", n, m)
	}
	s.step() // the heartbeat
	for c, base := range map[*conn]uint64{a: s.plan.Revision(), b: initial.Revision} {
		if list := s.decode(s.takeFrames(c)...); len(list) != 1 || list[0].Change.Base != base {
			t.Errorf("%s: %+v", c.name, list)
		}
	}
	s.acknowledge(b, plan.Hold{}) // the change did not fit its state
	s.step()
	if list := s.decode(s.takeFrames(b)...); len(list) != 1 || list[0].Change.Base != 0 || s.sender.lostStates != 1 {
		t.Errorf("%+v, %d lost states", list, s.sender.lostStates)
	}
	s.acknowledge(a, plan.Hold{History: s.cfg.Plan.History ^ 2, Revision: 1}) // of another run
	s.step()
	if list := s.decode(s.takeFrames(a)...); len(list) != 1 || list[0].Change.Base != 0 {
		t.Errorf("%+v", list)
	}
	if n := len(s.takeFrames(silent)); n > 0 {
		t.Errorf("%d frames to a forwarder that has sent nothing", n)
	}
}

// While a server is cold, each update sends every forwarder its own grants with the shared change.
func TestGrantsGoToOneForwarder(t *testing.T) {
	s := newSteppedPlanner(t, 20, 1)
	// The last connection is a second one of forwarder a, whose digests arrive on the first. The forwarder does not match grants
	// on the second connection with its digests.
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
				t.Errorf("%s: got grants without a digest on the connection", c.name)
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

// A hold that cannot be true is rejected.
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
	// The holds that a follower reports are accepted.
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

// A whole fleet starts at once, and each forwarder's digests cross the full state in transit. A forwarder that holds nothing
// gets one full state, whatever it reports until that has arrived. If it reports afterwards that it holds nothing, the state
// counts as lost and is sent again. An older forwarder does not report which change it expects: for it, the state counts as in
// transit for two seconds.
// Guards against thousands of needless full states when all nodes restart: two in five were sent twice.
func TestOneFullStatePerStart(t *testing.T) {
	const nodes = 300
	s := newSteppedPlanner(t, 20, 0.5)
	previousRun := plan.Hold{History: s.cfg.Plan.History ^ 2, Revision: 7} // of the planner's previous run
	var conns []*conn
	for i := range nodes {
		conns = append(conns, s.addConn(fmt.Sprintf("n%03d", i)))
	}
	report := func(c *conn, i int, next uint64) {
		t.Helper()
		if i%3 == 0 { // an older forwarder
			next = 0
		}
		h := plan.Hold{}
		if i%2 == 0 {
			h = previousRun
		}
		if err := c.updateHold(s.now, h, next); err != nil {
			t.Fatal(err)
		}
	}
	check := func(what string, states, doubts int64) {
		t.Helper()
		if s.sender.statesSent != states || s.sender.lostStates != doubts {
			t.Errorf("%s: %d full states, %d lost, want %d, %d", what, s.sender.statesSent, s.sender.lostStates, states, doubts)
		}
	}
	for i, c := range conns {
		report(c, i, 1)
		report(c, i, 1)
	}
	s.step()
	check("all start", nodes, 0)
	for range 3 {
		for i, c := range conns {
			report(c, i, 1)
			s.takeFrames(c)
		}
		s.step()
	}
	check("their digests crossed the states", nodes, 0)
	for i, c := range conns {
		s.takeFrames(c)
		if next := c.lastState.seq + 1; i < 30 {
			report(c, i, next)
		} else if i < 60 {
			s.acknowledge(c, s.currentHold())
		}
	}
	s.step()
	check("some lost the state after it arrived", nodes+20, 20)
	s.step()
	for i, c := range conns[:30] {
		s.takeFrames(c)
		report(c, i, c.lastState.seq)
	}
	s.step()
	check("older forwarders hold nothing after two seconds", nodes+30, 30)
	if err := conns[1].updateHold(s.now, plan.Hold{}, conns[1].changesSent+2); err == nil {
		t.Error("accepted an expected change number that does not exist yet")
	}
}
