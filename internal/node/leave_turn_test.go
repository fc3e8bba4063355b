package node

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"lapisshelf/decide/roster"
	"lapisshelf/internal/meta"
	"lapisshelf/lab/standin"
	"lapisshelf/policy"
)

// Clients that leave while the node stands still or is busy: their end waits in the system with, before or behind what would
// have an attempt begin for them. None begins, however long that has been so. The loop stands between two calls of run.

// established reports whether the system has a connection between two ports; 0 stands for any.
func established(t *testing.T, local, remote int) bool {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	is := func(at string, port int) bool { return port == 0 || strings.HasSuffix(at, fmt.Sprintf(":%04X", port)) }
	for line := range strings.Lines(string(table)) {
		if w := strings.Fields(line); is(w[1], local) && is(w[2], remote) && w[3] == "01" {
			return true
		}
	}
	return false
}

// eventually waits until a condition holds while the loop stands.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// gone has a client leave, until the system knows of it on the node's side.
func gone(t *testing.T, c *net.TCPConn, leave func(*net.TCPConn)) {
	t.Helper()
	here, there := c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port
	leave(c)
	eventually(t, "the end has come", func() bool { return !established(t, here, there) })
}

// rests lets the loop look until it knows that nothing has come, so that what comes from here on is told in that order.
func (s *stage) rests() {
	s.t.Helper()
	for range 3 {
		s.runUntil("a look", func() bool { return true })
	}
}

// answered waits until the answer to a request's attempt waits to be read.
func (s *stage) answered(id string) {
	s.t.Helper()
	l := s.node.calls[id].tries[0].link
	eventually(s.t, "the answer of "+id+" waits", l.conn.Stale)
}

// reached waits until a connection to the cache is up, which the node has not seen yet.
func (s *stage) reached() {
	s.t.Helper()
	_, port, _ := net.SplitHostPort(s.cache.Addr())
	var at int
	fmt.Sscan(port, &at)
	eventually(s.t, "the connection is up", func() bool { return established(s.t, 0, at) })
}

// held is a stage whose one place at the cache the request "first" has until the gate opens, while "gone", whose connection it
// gives, waits for it.
func held(t *testing.T, cancel bool) (s *stage, gone *net.TCPConn, gate chan struct{}) {
	t.Helper()
	gate = make(chan struct{})
	s = newStage(t, cancel, func(line string, v []byte) string { <-gate; return answering(line, v) })
	s.ask("first")
	s.taken(1)
	gone = s.ask("gone")
	s.taken(2)
	if len(s.node.calls["gone"].tries) > 0 {
		t.Fatal("it is not held")
	}
	return s, gone, gate
}

// served lets the loop run until a further request is served, by which time all that came before has been handled.
func (s *stage) served() {
	s.t.Helper()
	ok := s.outcomes(policy.OK)
	s.ask("stays")
	s.runUntil("the other is served", func() bool {
		return s.outcomes(policy.OK) > ok && s.node.calls["stays"] == nil && slices.Contains(s.came(), "stays")
	})
}

// withOrigin makes the stage an aside one, whose cache lacks everything; it gives what was asked of the origin.
func (s *stage) withOrigin(cancel bool, script http.HandlerFunc) (asked func() []string) {
	s.t.Helper()
	o, err := standin.NewOrigin(s.cache.Common, standin.OriginOptions{Addr: "127.0.0.1:0", Script: script})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(o.Close)
	n := s.node
	n.cfg.Settings.OriginKind = "origin"
	set := policy.Settings{Classes: []policy.Class{{Name: "read", Aim: 20 * time.Second}, {Name: "quick", Aim: 10 * time.Millisecond}}, MaxAttempts: 6, MayCancel: cancel,
		Mode: policy.Aside, OriginKind: "origin", Tick: 5 * time.Millisecond, FallWindow: time.Second, FallMultiple: 3}
	n.policy = policy.New(n.loop.Now(), set, 1, actions{n})
	n.applyList(policy.ListComplete, []roster.Entry{{Server: policy.Server{ID: "c-1", Weight: -1}, Addr: s.cache.Addr()},
		{Server: policy.Server{ID: "o-1", Kind: "origin", Weight: -1}, Addr: o.Addr()}})
	return func() (ids []string) {
		for _, line := range o.Lines() {
			ids = append(ids, strings.Fields(line)[2])
		}
		return ids
	}
}

func lacking(line string, _ []byte) string {
	for _, w := range strings.Fields(line) {
		if w[0] == 'O' {
			return "EN " + w + "\r\n"
		}
	}
	return "EN\r\n"
}

// Guards against taking a request whose client has left already: on a connection that stands, or on one that has waited in the
// listen queue.
func TestAClientLeavesInTheTurnOfItsRequest(t *testing.T) {
	for _, queued := range []bool{false, true} {
		eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
			s := newStage(t, cancel, answering)
			if queued {
				gone(t, s.ask("gone", "gone-too"), leave)
			} else {
				c := s.ask()
				s.runUntil("it is accepted", func() bool { return len(s.node.clients.all) == 1 })
				fmt.Fprintf(c, "mg key v Ogone Pc=read,d=25000\r\nmg key v Ogone-too Pc=read,d=25000\r\n")
				gone(t, c, leave)
			}
			s.served()
			if got := s.came(); !slices.Equal(got, []string{"stays"}) || s.node.count.taken != 1 {
				t.Errorf("the cache was sent %q, %d taken", got, s.node.count.taken)
			}
		})
	}
}

// Guards against a held request that is sent on as an answer makes room, its client's end behind that in the same turn.
func TestAClientLeavesInTheTurnOfTheAnswerItWaitsFor(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		s, c, gate := held(t, cancel)
		s.rests()
		close(gate)
		s.answered("first")
		gone(t, c, leave)
		s.served()
		if got := s.came(); !slices.Equal(got, []string{"first", "stays"}) || s.node.count.abandoned != 1 {
			t.Errorf("the cache was sent %q, %d abandoned", got, s.node.count.abandoned)
		}
	})
}

// Guards against a request that is written as its connection comes up, its client's end behind that in the same turn.
func TestAClientLeavesInTheTurnInWhichItsConnectionComesUp(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		s := newStage(t, cancel, answering)
		s.cache.Silence(true)
		c := s.ask("gone")
		s.taken(1)
		s.cache.Silence(false)
		s.reached()
		if s.pool.conns[0].connected {
			t.Fatal("the node knows")
		}
		gone(t, c, leave)
		s.served()
		if got := s.came(); !slices.Equal(got, []string{"stays"}) || s.node.count.abandoned != 1 {
			t.Errorf("the cache was sent %q, %d abandoned", got, s.node.count.abandoned)
		}
	})
}

// shared is an aside stage whose origin has served two reads at once, so that it has connections and room to spare, and keeps
// those of the key hot until the gate opens.
func shared(t *testing.T, cancel bool) (s *stage, asked func() []string, gate chan struct{}) {
	t.Helper()
	gate = make(chan struct{})
	both := make(chan struct{})
	s = newStage(t, cancel, lacking)
	all := s.withOrigin(cancel, func(w http.ResponseWriter, r *http.Request) {
		switch key := r.URL.Path; {
		case key == "/hot":
			<-gate
		case key != "/key-warm":
			<-both
		}
		fmt.Fprint(w, "x")
	})
	s.ask("warm") // after which the origin may have two out
	s.runUntil("it is served", func() bool { return s.outcomes(policy.OK) == 1 })
	s.ask("warm-1")
	s.ask("warm-2")
	s.runUntil("both are out", func() bool { return len(all()) == 3 })
	close(both)
	s.runUntil("both are served", func() bool { return s.outcomes(policy.OK) == 3 && len(s.node.pools["o-1"].idle) == 2 })
	return s, func() []string { return all()[3:] }, gate
}

// hot asks for the key hot on a connection.
func (s *stage) hot(c *net.TCPConn, id string) {
	s.t.Helper()
	taken := s.node.count.taken
	fmt.Fprintf(c, "mg hot v O%s Pc=read,d=25000\r\n", id)
	s.taken(taken + 1)
}

// Guards against a fetch that passes from one who leaves to another who leaves in the same turn; who stays gets one of its own.
func TestAllWhoShareAFetchLeave(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		s, asked, gate := shared(t, cancel)
		var leaving []*net.TCPConn
		for _, id := range []string{"lead", "w1", "w2"} {
			c := s.ask()
			s.hot(c, id)
			s.runUntil("the first asks the origin", func() bool { return len(asked()) == 1 })
			leaving = append(leaving, c)
		}
		s.hot(s.ask(), "stays")
		s.rests()
		for _, c := range leaving {
			gone(t, c, leave)
		}
		s.runUntil("they have left", func() bool { return s.node.count.abandoned == 3 })
		close(gate)
		s.runUntil("the other is served", func() bool { return s.node.count.ended[served] == 4 })
		if got := asked(); !slices.Equal(got, []string{"lead", "stays"}) || s.node.count.abandoned != 3 {
			t.Errorf("the origin was asked by %q, %d abandoned", got, s.node.count.abandoned)
		}
	})
}

// Guards against a fetch that passes from one request of a client to another of the same as it leaves, and against telling
// such a one refused, where the origin leaves too.
func TestAClientLeavesWithItsOwnFetchShared(t *testing.T) {
	for _, drains := range []bool{false, true} {
		eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
			s, asked, gate := shared(t, cancel)
			c := s.ask()
			for _, id := range []string{"lead", "w1", "w2"} {
				s.hot(c, id)
				s.runUntil("the first asks the origin", func() bool { return len(asked()) == 1 })
			}
			if drains {
				s.node.applyList(policy.ListChanges, []roster.Entry{{Server: policy.Server{ID: "o-1", Kind: "origin", Weight: -1, State: policy.Draining}, Addr: s.node.pools["o-1"].addr.String()}})
			}
			leave(c)
			s.runUntil("it has left", func() bool { return s.node.count.abandoned == 3 })
			close(gate)
			s.runUntil("all places are free", func() bool { return len(s.node.calls) == 0 })
			s.rests()
			if got := asked(); !slices.Equal(got, []string{"lead"}) || s.node.count.ended[refused] != 0 {
				t.Errorf("the origin was asked by %q, %d refused", got, s.node.count.ended[refused])
			}
		})
	}
}

// Guards against a long write that is sent on when its server has room, or its connection comes up, its client's end behind
// that in the same turn.
func TestAClientLeavesInTheMidstOfALongWrite(t *testing.T) {
	const size = 2 * meta.MaxValue
	for _, held := range []bool{false, true} {
		eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
			gate := make(chan struct{})
			s := newStage(t, cancel, func(line string, v []byte) string { <-gate; return answering(line, v) })
			if held {
				s.ask("first")
				s.taken(1)
			} else {
				s.cache.Silence(true)
			}
			before := s.node.count.taken
			c := s.ask()
			fmt.Fprintf(c, "ms key %d Ogone Pc=read,d=25000\r\n%s", size, strings.Repeat("x", bodyKept+100))
			s.taken(before + 1)
			if got := len(s.node.calls["gone"].tries); got != map[bool]int{false: 1, true: 0}[held] {
				t.Fatalf("held %t: %d attempts", held, got)
			}
			s.rests()
			close(gate)
			if held {
				s.answered("first")
			} else {
				s.cache.Silence(false)
				s.reached()
			}
			gone(t, c, leave)
			s.served()
			// One of which a byte had gone would have taken its connection with it.
			if x := &s.node.count; x.abandoned != 1 || x.attempts != 2 || x.serverConns != 1 {
				t.Errorf("%d abandoned, %d attempts, %d connections", x.abandoned, x.attempts, x.serverConns)
			}
		})
	}
}

// Guards against a client that leaves unseen while it takes nothing of what it is owed, with more asked than is read.
func TestASlowReaderLeaves(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		s, far, gate := held(t, cancel)
		c := s.node.calls["gone"].client
		c.conn.Write(make([]byte, 12<<20)) // more than the system takes
		c.flush()
		if c.conn.Pending() < mostUnsent {
			t.Fatal("it has taken all")
		}
		fmt.Fprintf(far, "mg key v Ounread Pc=read,d=25000\r\n")
		s.rests()
		close(gate)
		s.answered("first")
		gone(t, far, leave)
		s.served()
		if got := s.came(); !slices.Equal(got, []string{"first", "stays"}) || s.node.count.abandoned != 1 {
			t.Errorf("the cache was sent %q, %d abandoned", got, s.node.count.abandoned)
		}
	})
}

// Guards against a client that leaves unseen while connections close with their next answer, when nothing more is read.
func TestAClientLeavesDuringADrain(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		s, c, gate := held(t, cancel)
		s.node.clients.empty()
		s.node.calls["gone"].client.flush() // from here on it is not read
		fmt.Fprintf(c, "mg key v Ounread Pc=read,d=25000\r\n")
		s.rests()
		close(gate)
		s.answered("first")
		gone(t, c, leave)
		s.served()
		if got := s.came(); !slices.Equal(got, []string{"first", "stays"}) || s.node.count.abandoned != 1 {
			t.Errorf("the cache was sent %q, %d abandoned", got, s.node.count.abandoned)
		}
	})
}

// Guards against a fault where both are so: the client has left, and the server is none that was ever listed.
func TestAClientLeavesBeforeASendToNobody(t *testing.T) {
	s := newStage(t, false, answering)
	s.cache.Silence(true)
	c := s.ask("gone")
	s.taken(1)
	gone(t, c, ways["close"])
	s.node.loop.Defer(func() { actions{s.node}.Send("gone", "c-9", 0, 0) })
	s.runUntil("its place is free", func() bool { return len(s.node.calls) == 0 })
	if s.node.count.abandoned != 1 || s.outcomes(policy.ConnectFailed) != 1 {
		t.Errorf("%d abandoned, %v", s.node.count.abandoned, s.node.count.outcomes)
	}
}

// Guards against a close over the rest of a command that has come in that moment, at the end of the time that it was owed for: the
// request would be reset unread. One who goes on owing is closed at the next look.
func TestTheRestOfACommandComesAsItsTimeEnds(t *testing.T) {
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprintf("whole %t", whole), func(t *testing.T) {
			s := newStage(t, false, answering)
			far := s.ask()
			fmt.Fprint(far, "mg key v Olate Pc=read")
			s.runUntil("half of it has come", func() bool {
				c := front(s.node.clients.owing)
				return c != nil && len(c.input) > 0
			})
			c := front(s.node.clients.owing)
			fmt.Fprint(far, map[bool]string{true: ",d=25000\r\n", false: ",d=25"}[whole])
			eventually(t, "the rest waits", c.conn.Stale)
			c.since = s.node.loop.Now() - owesFor
			if s.node.clients.tidy(); c.gone {
				t.Fatal("closed over what has come")
			}
			if !whole {
				s.runUntil("it is closed", func() bool { return c.gone })
				return
			}
			s.runUntil("it is served", func() bool { return s.node.count.ended[served] == 1 })
		})
	}
}
