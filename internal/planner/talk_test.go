package planner

import (
	"encoding/binary"
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisshelf/decide/plan"
	"lapisshelf/internal/forwarder"
	"lapisshelf/internal/planwire"
	"lapisshelf/policy"
)

// readLoad returns a load function that reports reads from all caches. Those from the failing caches time out.
func (r *testEnv) readLoad(failing *sync.Map) func(n *node) {
	return func(n *node) {
		for _, id := range r.cacheIDs {
			_, is := failing.Load(id)
			for range 20 {
				n.Request("k", "t")
				if is {
					n.Attempt(id, false, policy.TimedOut, time.Second, false, false)
				} else {
					n.Attempt(id, false, policy.OK, 5*ms, true, false)
				}
			}
		}
	}
}

// factor returns a cache's factor in the node's view.
func (n *node) factor(id string) float64 {
	for _, s := range n.view.Servers {
		if s.ID == id {
			return s.Factor
		}
	}
	return 1
}

func frameOf(t *testing.T, m planwire.Message) []byte {
	t.Helper()
	frame, err := planwire.Append(nil, m)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

func addrOf(s *fakeServer) netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// Forwarders older than changes share a planner with a current one. They get full views, and all of them react to a bad cache
// in the same way, without reconnects. One of the older ones is a current forwarder with Config.Legacy, the other sends frames
// of the old wire format.
func TestOldForwardersAtANewPlanner(t *testing.T) {
	r := newTestEnv(t, 8)
	p := r.startPlanner("p1", "", nil)
	var bad sync.Map
	bad.Store(r.cacheIDs[0], true)
	c := r.newForwarderGroup()
	c.load = r.readLoad(&bad)
	current, legacy := c.add("new", nil, p.Addr()), c.add("whole", func(cfg *forwarder.Config) { cfg.Legacy = true }, p.Addr())
	conn := r.dial("frozen", p.Addr().String())
	go func() {
		for seq := uint64(1); ; seq++ {
			d := &legacyDigest{From: "frozen", Start: 1, Seq: seq, Span: int64(100 * ms), Asked: 160, Answered: 140}
			for i, id := range r.cacheIDs {
				l := legacyLoad{ID: id, Sends: 20, Timely: 20}
				if i == 0 {
					l = legacyLoad{ID: id, Sends: 20, Late: 20}
				}
				d.Servers = append(d.Servers, l)
			}
			if _, err := conn.Write(encodeLegacy(t, legacyMessage{Digest: d})); err != nil {
				return
			}
			time.Sleep(100 * ms)
		}
	}()
	var mu sync.Mutex
	lowest, views, partial := 1.0, 0, 0
	go func() {
		for {
			m, _, err := readLegacy(conn)
			if err != nil {
				return
			}
			mu.Lock()
			if views++; m.View == nil || len(m.View.Servers) != len(r.cacheIDs) {
				partial++
			} else {
				lowest = min(lowest, m.View.Servers[0].Factor)
			}
			mu.Unlock()
		}
	}()
	fullDigests := int64(0) // sent before the planner's protocol was known
	c.eventually("the current forwarder receives changes", func() bool {
		fullDigests = current.FullDigests
		return strings.Contains(current.Status(), "tells changes")
	})
	c.eventually("all forwarders avoid the bad cache", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return current.factor(r.cacheIDs[0]) < 0.2 && legacy.factor(r.cacheIDs[0]) < 0.2 && lowest < 0.2
	})
	c.onLoop(func() {
		if current.FullDigests != fullDigests || legacy.FullDigests != legacy.DigestsSent || current.ClosedConns+legacy.ClosedConns > 0 || !strings.Contains(current.Status(), "tells changes") || !strings.Contains(legacy.Status(), "tells views") {
			t.Errorf("current: %s, legacy: %s", current.Status(), legacy.Status())
		}
	})
	mu.Lock()
	if partial > 0 {
		t.Errorf("%d of %d views are not full", partial, views)
	}
	mu.Unlock()
	p.onLoop(func() {
		if len(p.conns) != 3 || p.plan.ForwarderCount() != 3 || p.malformed > 0 || p.refusalCount() > 0 || p.sender.viewsSent == 0 || p.sender.changesSent == 0 {
			t.Errorf("%d connections, %d forwarders, %d malformed, %v refused, %+v", len(p.conns), p.plan.ForwarderCount(), p.malformed, p.refusedBy, p.sender)
		}
	})
	bad.Clear()
	// The recovery uses the same connections.
	go conn.Close()
	c.eventually("the cache regains weight", func() bool { return current.factor(r.cacheIDs[0]) > 0.3 && legacy.factor(r.cacheIDs[0]) > 0.3 })
	c.onLoop(func() {
		if current.ClosedConns+legacy.ClosedConns > 0 {
			t.Error("a connection ended")
		}
	})
}

// A current forwarder at a planner that is older than changes acts on its full views, and sends it only hellos and full
// digests, on one connection.
func TestANewForwarderAtAnOldPlanner(t *testing.T) {
	r := newTestEnv(t, 8)
	var mu sync.Mutex
	hellos, fullDigests := 0, 0
	old := r.startLegacyPlanner("p1", "", 0.4, func(d legacyDigest, raw map[int]cbor.RawMessage) {
		mu.Lock()
		defer mu.Unlock()
		var fields map[int]cbor.RawMessage
		if legacyDecoder.Unmarshal(raw[1], &fields); fields[11] != nil || fields[12] != nil || fields[13] != nil {
			t.Error("sent a brief digest to a planner that takes it for a full one")
		}
		switch {
		case d.Asked == 0 && len(d.Servers) == 0:
			hellos++
		case len(d.Servers) == len(r.cacheIDs):
			fullDigests++
		default:
			t.Errorf("a digest of %d servers", len(d.Servers))
		}
	})
	c := r.newForwarderGroup()
	c.load = r.readLoad(&sync.Map{})
	n := c.add("new", nil, addrOf(old))
	c.eventually("the planner gets full digests", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return fullDigests >= 5 && n.factor(r.cacheIDs[0]) == 0.4
	})
	if mu.Lock(); old.acceptedCount() != 1 || hellos == 0 || hellos > 5 {
		t.Errorf("%d connections, %d hellos", old.acceptedCount(), hellos)
	}
	mu.Unlock()
	c.onLoop(func() {
		if n.ClosedConns > 0 || !strings.Contains(n.Status(), "tells views") {
			t.Error(n.Status())
		}
	})
}

// A planner is replaced at its address by one that is older than changes, and that one by a current one. The forwarder detects
// the protocol anew on each connection.
// Guards against brief digests that an older planner takes for full ones.
func TestAPlannerOfAnotherVersionAtTheSameAddress(t *testing.T) {
	r := newTestEnv(t, 8)
	p := r.startPlanner("p1", "", nil)
	at := p.Addr()
	c := r.newForwarderGroup()
	c.load = r.readLoad(&sync.Map{})
	n := c.add("new", nil, at)
	p.eventually("the planner gets brief digests", func() bool { return p.briefDigests > 3 })
	p.shutdown()
	var mu sync.Mutex
	fullDigests := 0
	old := r.startLegacyPlanner("p1", at.String(), 0.4, func(d legacyDigest, raw map[int]cbor.RawMessage) {
		mu.Lock()
		defer mu.Unlock()
		var fields map[int]cbor.RawMessage
		if legacyDecoder.Unmarshal(raw[1], &fields); fields[11] != nil {
			t.Error("sent a brief digest to a planner that takes it for a full one")
		}
		if len(d.Servers) == len(r.cacheIDs) {
			fullDigests++
		}
	})
	c.eventually("the planner gets full digests", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return fullDigests > 3 && n.factor(r.cacheIDs[0]) == 0.4
	})
	old.close()
	p = r.startPlanner("p1", at.String(), nil)
	p.eventually("the planner gets brief digests again", func() bool { return p.briefDigests > 3 })
	c.eventually("the new planner's state is in force", func() bool { return n.factor(r.cacheIDs[0]) == 1 })
}

// A planner that sends nothing, for example because it has no server list yet, gets digests without counts at first, and full
// digests after that.
func TestSilentPlannerGetsFullDigests(t *testing.T) {
	r := newTestEnv(t, 8)
	var mu sync.Mutex
	var serverCounts []int
	s := r.startFakeServer("p1", "", func(conn net.Conn) {
		for {
			m, raw, err := readLegacy(conn)
			if err != nil {
				return
			}
			mu.Lock()
			serverCounts = append(serverCounts, len(m.Digest.Servers))
			var fields map[int]cbor.RawMessage
			if legacyDecoder.Unmarshal(raw[1], &fields); fields[11] != nil {
				t.Error("sent a brief digest to a silent planner")
			}
			mu.Unlock()
		}
	})
	c := r.newForwarderGroup()
	c.load = r.readLoad(&sync.Map{})
	c.add("new", nil, addrOf(s))
	c.eventually("the planner gets full digests", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(serverCounts) > 5 && serverCounts[len(serverCounts)-1] == len(r.cacheIDs)
	})
	mu.Lock()
	defer mu.Unlock()
	for i, n := range serverCounts[:5] {
		if n != 0 {
			t.Errorf("digest %d named %d servers", i+1, n)
		}
	}
}

// fakePlanner is a planner whose states and messages the test controls.
type fakePlanner struct {
	*fakeServer
	mu            sync.Mutex
	conn          net.Conn
	receivedHolds []plan.Hold
	receivedBrief []bool
	receivedNext  []uint64
	changesSent   uint64
	plan          *plan.Planner
	now           time.Duration
	bad           map[string]bool
	seq           uint64
	lastSeq       uint64 // number of the last digest received
}

// startFakePlanner starts a planner that records what the digests it receives report.
func (r *testEnv) startFakePlanner(id string) *fakePlanner {
	s := &fakePlanner{now: time.Duration(time.Now().UnixNano()), bad: map[string]bool{}}
	s.plan = plan.New(plan.Config{ID: id, History: 77, Move: 1})
	var list []policy.Server
	for _, id := range r.cacheIDs {
		list = append(list, policy.Server{ID: id, Kind: "m2", Weight: 1, State: policy.Ready})
	}
	s.plan.SetServers(s.now, list)
	s.fakeServer = r.startFakeServer(id, "", func(conn net.Conn) {
		s.mu.Lock()
		s.conn = conn
		s.mu.Unlock()
		var input []byte
		buffer := make([]byte, 4096)
		for {
			n, err := conn.Read(buffer)
			input = append(input, buffer[:n]...)
			for {
				m, used, bad := planwire.Next(input)
				if bad != nil {
					r.t.Error(bad)
				}
				if used == 0 {
					break
				}
				input = input[used:]
				s.mu.Lock()
				if m.Hold == nil {
					r.t.Error("received a digest without a hold")
				} else {
					s.lastSeq = m.Digest.Seq
					s.receivedHolds, s.receivedBrief, s.receivedNext = append(s.receivedHolds, *m.Hold), append(s.receivedBrief, m.Digest.Brief), append(s.receivedNext, m.NextChange)
				}
				s.mu.Unlock()
			}
			if err != nil {
				return
			}
		}
	})
	s.nextState()
	return s
}

// nextState advances the planner to a new revision, in which the given caches are bad too.
func (s *fakePlanner) nextState(bad ...string) {
	for _, id := range bad {
		s.bad[id] = true
	}
	for from, i := s.plan.Revision(), 0; i < 4 || s.plan.Revision() == from; i++ {
		if i == 100 {
			s.r.t.Fatal("the revision does not change")
		}
		s.now += time.Second
		s.seq++
		d := plan.Digest{From: "x", Start: 1, Seq: s.seq, Span: time.Second, Asked: 4000, Answered: 4000}
		for _, sv := range s.plan.Explain() {
			l := plan.Load{ID: sv.ID, Sends: 500, Timely: 500}
			if s.bad[sv.ID] {
				l = plan.Load{ID: sv.ID, Sends: 500, Late: 500}
			}
			d.Servers = append(d.Servers, l)
		}
		if err := s.plan.Digest(s.now, d); err != nil {
			s.r.t.Error(err)
		}
		s.plan.Update(s.now)
	}
}

// changeFrom returns the change from a revision to the current state.
func (s *fakePlanner) changeFrom(from uint64) plan.Change {
	c, _ := s.plan.Change(s.now, plan.Hold{History: 77, Revision: from})
	return c
}

// lastDigest returns the number of the last digest received.
func (s *fakePlanner) lastDigest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSeq
}

func (s *fakePlanner) send(c plan.Change) {
	s.r.t.Helper()
	frame, err := planwire.Append(nil, planwire.Message{Change: &c})
	if err != nil {
		s.r.t.Fatal(err)
	}
	s.changesSent++
	s.sendRaw(frame)
}

func (s *fakePlanner) sendRaw(frame []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn.Write(frame)
}

// awaitHolds waits for n more digests with a hold, and returns the last hold.
func (s *fakePlanner) awaitHolds(n int) plan.Hold {
	s.r.t.Helper()
	s.mu.Lock()
	from := len(s.receivedHolds)
	s.mu.Unlock()
	eventually(s.r.t, "more digests arrive", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.receivedHolds) >= from+n
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.receivedHolds[len(s.receivedHolds)-1]
}

// Changes arrive lost, duplicated, late or of another history. The planner's state is in force whenever it can be rebuilt.
// Otherwise the forwarder requests the full state with its next digest.
func TestLostDoubledAndLateChanges(t *testing.T) {
	r := newTestEnv(t, 24)
	s := r.startFakePlanner("p1")
	c := r.newForwarderGroup()
	c.load = r.readLoad(&sync.Map{})
	n := c.add("n", nil, addrOf(s.fakeServer))
	if h := s.awaitHolds(1); h != (plan.Hold{}) {
		t.Fatalf("a new forwarder holds %+v", h)
	}
	check := func(what string, revision uint64, bad ...string) {
		t.Helper()
		want := plan.Hold{History: 77, Revision: revision, Follows: true}
		eventually(t, what, func() bool { return s.awaitHolds(1) == want })
		c.onLoop(func() {
			for _, id := range r.cacheIDs {
				if f, want := n.factor(id), s.bad[id]; (f < 1) != want {
					t.Errorf("%s: %s has factor %.2f", what, id, f)
				}
			}
		})
	}
	counts := func(reason string) (k int) {
		c.onLoop(func() {
			_, after, _ := strings.Cut(n.Status(), "views "+reason+" ")
			for _, d := range after {
				if d < '0' || d > '9' {
					break
				}
				k = 10*k + int(d-'0')
			}
		})
		return k
	}
	s.send(s.changeFrom(0))
	check("a full state", s.plan.Revision())
	first := s.plan.Revision()
	s.nextState(r.cacheIDs[0])
	change := s.changeFrom(first)
	s.send(change)
	check("a change", s.plan.Revision())
	s.send(change) // duplicate
	s.nextState(r.cacheIDs[1])
	lost := s.changeFrom(change.Revision) // never sent
	s.nextState(r.cacheIDs[2])
	s.send(s.changeFrom(change.Revision)) // everything since the acknowledged revision
	check("the next change includes the lost one", s.plan.Revision())
	if got := counts("late"); got != 1 {
		t.Errorf("%d out of order, want only the duplicate", got)
	}
	s.send(lost) // late
	s.awaitHolds(2)
	check("a late change has no effect", s.plan.Revision())
	if got := counts("late"); got != 2 {
		t.Errorf("%d out of order", got)
	}
	// A change is lost, and the planner wrongly sends the next one from its revision.
	s.nextState(r.cacheIDs[3])
	missed := s.plan.Revision()
	s.nextState(r.cacheIDs[4])
	s.send(s.changeFrom(missed))
	needsFullState := func() bool { h := s.awaitHolds(1); return h.History == 0 && h.Revision == 0 }
	eventually(t, "the forwarder requests the full state", needsFullState)
	if got := counts("doubt"); got != 1 {
		t.Errorf("%d mismatches", got)
	}
	s.send(s.changeFrom(0))
	check("the full state again", s.plan.Revision())
	// The rebuilt state does not match the planner's checksum.
	from := s.plan.Revision()
	s.nextState(r.cacheIDs[5])
	wrong := s.changeFrom(from)
	wrong.Sum++
	s.send(wrong)
	eventually(t, "the forwarder requests the full state", needsFullState)
	if got := counts("doubt"); got != 2 {
		t.Errorf("%d mismatches", got)
	}
	s.send(s.changeFrom(0))
	check("the full state again", s.plan.Revision())
	// The change is of another history, of which no state is held.
	other := s.changeFrom(s.plan.Revision())
	other.History++
	s.send(other)
	eventually(t, "the forwarder requests the full state", needsFullState)
	s.send(s.changeFrom(0))
	check("the full state again", s.plan.Revision())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receivedBrief[0] || !s.receivedBrief[len(s.receivedBrief)-1] {
		t.Errorf("brief: %v", s.receivedBrief)
	}
	// Each digest reports the next change expected, counting all received ones, accepted or not. The first is 1.
	if first, last := s.receivedNext[0], s.receivedNext[len(s.receivedNext)-1]; first != 1 || last != s.changesSent+1 || !slices.IsSorted(s.receivedNext) {
		t.Errorf("%d changes were sent, the forwarder expected %v", s.changesSent, s.receivedNext)
	}
}

// Invalid messages from a planner are rejected and counted, and a reason is logged. The connection and the view in force stay.
// A frame that cannot be decoded ends the connection, and the forwarder reconnects.
func TestInvalidChanges(t *testing.T) {
	r := newTestEnv(t, 8)
	s := r.startFakePlanner("p1")
	c := r.newForwarderGroup()
	n := c.add("n", nil, addrOf(s.fakeServer))
	s.awaitHolds(1)
	s.nextState(r.cacheIDs[0])
	s.send(s.changeFrom(0))
	eventually(t, "the forwarder holds the state", func() bool { return s.awaitHolds(1).Revision == s.plan.Revision() })
	status := func() (text string) {
		c.onLoop(func() { text = n.Status() })
		return text
	}
	factor := func() (f float64) {
		c.onLoop(func() { f = n.factor(r.cacheIDs[0]) })
		return f
	}
	before := factor()
	held := s.plan.Revision()
	for i, spoil := range []func(c *plan.Change){
		func(c *plan.Change) { c.Grants = []plan.Grant{{ID: r.cacheIDs[1], Rate: -1}} },
		func(c *plan.Change) { c.Grants = []plan.Grant{{ID: r.cacheIDs[1], Rate: math.NaN()}} },
		func(c *plan.Change) { c.Grants = []plan.Grant{{ID: r.cacheIDs[1], Rate: 1e300}} },
		func(c *plan.Change) { c.Grants, c.Answers = []plan.Grant{{ID: r.cacheIDs[1], Rate: 1}}, 0 },
		func(c *plan.Change) { c.Servers = []policy.ServerView{{ID: r.cacheIDs[1], Factor: 7}} },
		func(c *plan.Change) { c.Servers = []policy.ServerView{{ID: r.cacheIDs[1], Factor: -1}} },
		func(c *plan.Change) { c.History = 0 },
		func(c *plan.Change) { c.Base = c.Revision + 1 },
		func(c *plan.Change) { c.Valid = -1 },
		func(c *plan.Change) { c.Planner = "" },
		func(c *plan.Change) { c.Count = 1 }, // there are eight
	} {
		change := s.changeFrom(held)
		change.Answers = s.lastDigest()
		spoil(&change)
		s.send(change)
		want := "views absurd " + strconv.Itoa(i+1) + "\n"
		eventually(t, want, func() bool { return strings.Contains(status(), want) })
		if f := factor(); f != before {
			t.Errorf("%d: the factor changed to %.3f", i, f)
		}
		if s.awaitHolds(1); s.acceptedCount() != 1 {
			t.Fatalf("%d: the connection was closed", i)
		}
	}
	if !r.logged("n view_refused", "reason=absurd") {
		t.Error("the rejection was not logged")
	}
	// Grants for servers that are not in the list do no harm.
	s.send(s.changeFrom(0))
	change := s.changeFrom(held)
	change.Grants, change.Answers = []plan.Grant{{ID: "nobody", Rate: 3}}, s.lastDigest()
	s.send(change)
	eventually(t, "the change is accepted", func() bool {
		h := s.awaitHolds(1)
		return h.Revision == held && strings.Contains(status(), "nobody")
	})
	// Frames that cannot be decoded close the connection.
	for i, frame := range [][]byte{{0xff, 0xff, 0xff, 0xff}, {0, 0, 0, 1, 0xff}, {0, 0, 0, 0}, frameOf(t, planwire.Message{Digest: &plan.Digest{From: "p1", Start: 1, Seq: 1, Span: 1}})} {
		eventually(t, "the forwarder is connected", func() bool { return s.acceptedCount() == i+1 })
		s.awaitHolds(1)
		s.sendRaw(frame)
		eventually(t, "the forwarder reconnects", func() bool { return s.acceptedCount() == i+2 })
	}
	c.onLoop(func() {
		if n.ClosedConns != 4 {
			t.Errorf("%d connections were closed", n.ClosedConns)
		}
	})
}

// Invalid messages from a forwarder are counted and logged with a reason, under the name in its certificate. The connection
// stays open while frames can be decoded, and other forwarders are not affected.
func TestInvalidDigests(t *testing.T) {
	r := newTestEnv(t, 8)
	p := r.startPlanner("p1", "", nil)
	c := r.newForwarderGroup()
	c.load = r.readLoad(&sync.Map{})
	n := c.add("good", nil, p.Addr())
	p.eventually("the planner has a digest of the good one", func() bool { return p.plan.ForwarderCount() == 1 && p.sender.statesSent == 1 })
	conn := r.dial("evil", p.Addr().String())
	current := func() (h plan.Hold) {
		p.onLoop(func() { h = plan.Hold{History: p.cfg.Plan.History, Revision: p.plan.Revision()} })
		return h
	}
	digest := func() *plan.Digest { return &plan.Digest{From: "evil", Start: 5, Seq: 1, Span: time.Second} }
	change := plan.Change{Planner: "evil", Made: 1, Valid: time.Second, History: 9, Revision: 1, HotSet: true, TenantsSet: true, Count: 8}
	later := current()
	later.Revision += 1000
	for i, m := range []planwire.Message{
		{Change: &change},
		{View: &plan.View{Planner: "evil", Made: 1, Valid: time.Second}},
		{Digest: &plan.Digest{From: "good", Start: 1 << 62, Seq: 1, Span: time.Second}, Hold: &plan.Hold{}},
		{Digest: digest(), Hold: &plan.Hold{History: 3}},
		{Digest: digest(), Hold: &plan.Hold{Revision: 3}},
		{Digest: digest(), Hold: &later},
		{Digest: &plan.Digest{From: "evil", Start: 5, Seq: 1, Span: time.Second, Asked: -1}},
		{Digest: &plan.Digest{From: "evil", Start: 5, Seq: 1, Span: -1}},
		{Digest: &plan.Digest{From: "evil", Start: 5, Seq: 1, Span: time.Second, Brief: true, Rest: plan.Load{Timely: 1 << 40}}},
		{Digest: &plan.Digest{From: "evil", Start: 5, Seq: 1, Span: time.Second, Bad: []plan.Load{{ID: r.cacheIDs[0], Late: 1}}}},
	} {
		conn.Write(frameOf(t, m))
		p.eventually("the message is refused", func() bool { return p.refusedBy["evil"] == int64(i+1) })
	}
	p.onLoop(func() {
		if p.plan.ForwarderCount() != 1 || p.refusedBy["good"] > 0 || p.malformed > 0 || len(p.conns) != 2 {
			t.Errorf("%d forwarders, %v refused, %d malformed, %d connections", p.plan.ForwarderCount(), p.refusedBy, p.malformed, len(p.conns))
		}
	})
	if !r.logged("digest_refused", `from="evil" count=1 `, "not a digest") || !r.logged("digest_refused", `from="evil" count=4 `, "holds revision 0 of history 3") {
		t.Error("the reason was not logged")
	}
	// Valid messages on the same connection are still accepted.
	conn.Write(frameOf(t, planwire.Message{Digest: digest(), Hold: &plan.Hold{}}))
	p.eventually("the planner has a digest of the other one", func() bool { return p.plan.ForwarderCount() == 2 })
	// Frames that cannot be decoded.
	for i, frame := range [][]byte{binary.BigEndian.AppendUint32(nil, 1<<30), {0, 0, 0, 1, 0xff}, append(binary.BigEndian.AppendUint32(nil, planwire.MaxMessageBytes+1), 1)} {
		conn := r.dial("worse", p.Addr().String())
		conn.Write(frame)
		p.eventually("the connection is closed", func() bool { return p.malformed == int64(i+1) })
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("the connection is still open")
		}
	}
	if !r.logged("digest_refused", `from="worse"`, "bytes") {
		t.Error("the reason was not logged")
	}
	c.eventually("the good forwarder receives a view", func() bool { return n.ViewsReceived > 0 })
	c.onLoop(func() {
		if n.ClosedConns > 0 {
			t.Error(n.Status())
		}
	})
}

// A planner that restarts at its address has another history. The state held of its previous run is replaced completely, so
// that none of its factors remains.
func TestPlannerRestart(t *testing.T) {
	r := newTestEnv(t, 8)
	p := r.startPlanner("p1", "", nil)
	at := p.Addr()
	var bad sync.Map
	bad.Store(r.cacheIDs[0], true)
	c := r.newForwarderGroup()
	c.load = r.readLoad(&bad)
	n := c.add("n", nil, at)
	c.eventually("the bad cache is avoided", func() bool { return n.factor(r.cacheIDs[0]) < 0.3 })
	p.shutdown()
	bad.Clear()
	bad.Store(r.cacheIDs[5], true)
	p = r.startPlanner("p1", at.String(), nil)
	c.eventually("only the other cache is avoided", func() bool { return n.factor(r.cacheIDs[5]) < 0.3 && n.factor(r.cacheIDs[0]) == 1 })
	p.onLoop(func() {
		if p.sender.statesSent == 0 {
			t.Error("no full state was sent")
		}
	})
}

// A reconnect needs no full state, since the forwarder reports what it holds.
func TestReconnectNeedsNoFullState(t *testing.T) {
	r := newTestEnv(t, 8)
	p := r.startPlanner("p1", "", nil)
	c := r.newForwarderGroup()
	c.load = r.readLoad(&sync.Map{})
	n := c.add("n", nil, p.Addr())
	// Digests in transit when the first state was sent can still request another.
	p.eventually("the planner gets brief digests", func() bool { return p.briefDigests > 3 && len(p.sender.awaitingState) == 0 })
	states, doubts := int64(0), int64(0)
	p.onLoop(func() { states, doubts = p.sender.statesSent, p.sender.lostStates })
	for i := range int64(3) {
		p.onLoop(func() {
			for conn := range p.conns {
				conn.tls.NetConn().Close()
			}
		})
		c.eventually("the connection was closed", func() bool { return n.ClosedConns == i+1 })
		briefs := int64(0)
		p.onLoop(func() { briefs = p.briefDigests })
		p.eventually("the planner gets brief digests", func() bool { return p.briefDigests > briefs+2 })
	}
	p.onLoop(func() {
		if p.sender.statesSent != states || p.sender.lostStates != doubts {
			t.Errorf("%d full states, %d lost", p.sender.statesSent, p.sender.lostStates)
		}
	})
}

// A forwarder that restarts under the same name holds nothing, and gets the full state.
func TestForwarderRestart(t *testing.T) {
	r := newTestEnv(t, 8)
	p := r.startPlanner("p1", "", nil)
	var bad sync.Map
	bad.Store(r.cacheIDs[0], true)
	c := r.newForwarderGroup()
	c.load = r.readLoad(&bad)
	n := c.add("n", nil, p.Addr())
	c.eventually("the bad cache is avoided", func() bool { return n.factor(r.cacheIDs[0]) < 0.3 })
	c.onLoop(func() { n.Close() })
	restarted := c.add("n", nil, p.Addr())
	c.eventually("the bad cache is avoided", func() bool { return restarted.factor(r.cacheIDs[0]) < 0.3 })
	p.onLoop(func() {
		if p.sender.statesSent < 2 || p.refusalCount() > 0 {
			t.Errorf("%d full states, %v refused", p.sender.statesSent, p.refusedBy)
		}
	})
}

// A forwarder that lost the state which the planner takes it to hold reports this with its next digest, and gets the full
// state. That the state is sent with the next update is tested by TestChangesStartFromHeldState.
func TestForwarderLostItsState(t *testing.T) {
	r := newTestEnv(t, 8)
	p := r.startPlanner("p1", "", nil)
	var bad sync.Map
	c := r.newForwarderGroup()
	c.load = r.readLoad(&bad)
	n := c.add("n", nil, p.Addr())
	c.eventually("the forwarder holds the state", func() bool { return strings.Contains(n.Status(), "tells changes") && n.viewCount > 0 })
	// A digest in transit when the first state was sent reports no hold, and can count as a lost state too. A brief digest
	// arrives after all of those, so the counts of this test start there.
	p.eventually("the forwarder reports its hold", func() bool { return p.briefDigests > 0 && len(p.sender.awaitingState) == 0 })
	states, doubts := int64(0), int64(0)
	p.onLoop(func() { states, doubts = p.sender.statesSent, p.sender.lostStates })
	bad.Store(r.cacheIDs[0], true)
	// The planner takes the forwarder to hold revisions that were never sent.
	p.eventually("the lost state is counted", func() bool {
		was := p.plan.Revision()
		if p.plan.Update(p.loop.Now()); p.sender.lostStates == doubts && p.plan.Revision() > was {
			for conn := range p.conns {
				conn.hold.Revision, conn.sentRevision = p.plan.Revision(), p.plan.Revision()
			}
		}
		return p.sender.lostStates > doubts
	})
	p.eventually("a full state is sent", func() bool { return p.sender.statesSent > states })
	c.eventually("the bad cache is avoided", func() bool { return n.factor(r.cacheIDs[0]) < 0.3 })
	c.onLoop(func() {
		if n.ClosedConns > 0 || !strings.Contains(n.Status(), "views doubt ") || strings.Contains(n.Status(), "views doubt 0") {
			t.Error(n.Status())
		}
	})
}

// A starting node opens its connections one after the other: when the first planner's state arrives, it is not connected to the
// other planner yet. If the first address refuses connections, the second is dialed instead. In the end all are connected.
// Guards against two handshakes of 4 KB and two full states at one node within a second.
func TestOneConnectionAfterTheOther(t *testing.T) {
	r := newTestEnv(t, 8)
	a, b := r.startPlanner("a", "", nil), r.startPlanner("b", "", nil)
	c := r.newForwarderGroup()
	c.load = r.readLoad(&sync.Map{})
	var nodes []*node
	counted, started := 0, map[string]time.Time{}
	c.onView = func(n *node) {
		// After three seconds without a message, the other connection is opened anyway.
		if at, is := started[n.name]; !is || n.viewCount > 1 || time.Since(at) >= 3*time.Second {
			return
		}
		counted++
		if up := strings.Count(n.Status(), " up "); up != 1 {
			t.Errorf("%s has %d connections when its first state arrives", n.name, up)
		}
	}
	for i := range 40 {
		name := fmt.Sprintf("n%02d", i)
		c.onLoop(func() { started[name] = time.Now() })
		nodes = append(nodes, c.add(name, nil, a.Addr(), b.Addr()))
	}
	for _, p := range []*testPlanner{a, b} {
		p.eventually("the planner has digests of all nodes", func() bool { return p.plan.ForwarderCount() == len(nodes) })
	}
	c.onLoop(func() {
		if counted == 0 {
			t.Error("no node got a state in time, so nothing was tested")
		}
		for _, n := range nodes {
			if n.viewCount == 0 {
				t.Errorf("%s has no view: %s", n.name, n.Status())
			}
		}
	})
	at := a.Addr()
	a.shutdown()
	n := c.add("late", nil, at, b.Addr())
	b.eventually("the second planner has a digest though the first is down", func() bool { return b.plan.ForwarderCount() == len(nodes)+1 })
	c.eventually("the late node has a view", func() bool { return n.viewCount > 0 })
}
