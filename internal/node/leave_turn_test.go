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
	"lapisshelf/decide/safety"
	"lapisshelf/internal/meta"
	"lapisshelf/lab/standin"
	"lapisshelf/policy"
)

// Clients that leave while the node stands still or is busy: the end of their connection waits in the kernel together with,
// before or behind the event that would start an attempt for them. No attempt may begin, however long this lasts. The loop stands
// still between two calls of run.

// loopbackHex is the address 127.0.0.1 in the system's table of connections.
const loopbackHex = "0100007F"

// established reports whether the system has an established connection between two ports of 127.0.0.1; 0 stands for any local port. Other
// programs' connections to the same port of another address do not count.
func established(t *testing.T, local, remote int) bool {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	is := func(at string, port int) bool { return port == 0 || at == fmt.Sprintf("%s:%04X", loopbackHex, port) }
	for line := range strings.Lines(string(table)) {
		if w := strings.Fields(line); is(w[1], local) && is(w[2], remote) && w[3] == "01" {
			return true
		}
	}
	return false
}

// eventually waits until a condition holds, while the loop stands still.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// leaveAndWait makes a client leave and waits until the system knows of it on the node's side.
func leaveAndWait(t *testing.T, c *net.TCPConn, leave func(*net.TCPConn)) {
	t.Helper()
	here, there := c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port
	leave(c)
	eventually(t, "the system knows of the end", func() bool { return !established(t, here, there) })
}

// pollIdle lets the loop poll until nothing is pending, so that it reports later events in the order in which they occur.
func (s *fixture) pollIdle() {
	s.t.Helper()
	for range 3 {
		s.runUntil("a turn of the loop", func() bool { return true })
	}
}

// waitAnswer waits until the response to a request's first attempt is readable.
func (s *fixture) waitAnswer(id string) {
	s.t.Helper()
	l := s.node.requests[id].attempts[0].link
	eventually(s.t, "the response to "+id+" is readable", l.conn.Stale)
}

// waitConnected waits until a connection to the cache is established, of which the node has not been notified yet.
func (s *fixture) waitConnected() {
	s.t.Helper()
	_, port, _ := net.SplitHostPort(s.cache.Addr())
	var at int
	fmt.Sscan(port, &at)
	eventually(s.t, "the connection is up", func() bool { return established(s.t, 0, at) })
}

// newQueuedFixture returns a fixture in which the request "first" has the only place at the cache until the gate opens, and
// "gone", whose connection it returns, is queued behind it.
func newQueuedFixture(t *testing.T, cancel bool) (s *fixture, gone *net.TCPConn, gate chan struct{}) {
	t.Helper()
	gate = make(chan struct{})
	s = newFixture(t, cancel, func(line string, v []byte) string { <-gate; return answerHit(line, v) })
	s.sendReads("first")
	s.waitTaken(1)
	gone = s.sendReads("gone")
	s.waitTaken(2)
	if len(s.node.requests["gone"].attempts) > 0 {
		t.Fatal("the second request is not queued")
	}
	return s, gone, gate
}

// serveAnother lets the loop run until a further request is served, by which time all earlier events have been handled.
func (s *fixture) serveAnother() {
	s.t.Helper()
	ok := s.outcomes(policy.OK)
	s.sendReads("stays")
	s.runUntil("the other is served", func() bool {
		return s.outcomes(policy.OK) > ok && s.node.requests["stays"] == nil && slices.Contains(s.idsAtCache(), "stays")
	})
}

// withOrigin switches the fixture to aside mode, with an origin; the cache lacks every key. It returns the ids that the origin
// was asked for.
func (s *fixture) withOrigin(cancel bool, script http.HandlerFunc) (asked func() []string) {
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
		for _, line := range o.Requests() {
			ids = append(ids, strings.Fields(line)[2])
		}
		return ids
	}
}

func answerMiss(line string, _ []byte) string {
	for _, w := range strings.Fields(line) {
		if w[0] == 'O' {
			return "EN " + w + "\r\n"
		}
	}
	return "EN\r\n"
}

// Guards against accepting a request whose client has already left, on an established connection or on one that waited in the
// listen queue.
func TestAClientLeavesInTheTurnOfItsRequest(t *testing.T) {
	for _, queued := range []bool{false, true} {
		eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
			s := newFixture(t, cancel, answerHit)
			if queued {
				leaveAndWait(t, s.sendReads("gone", "gone-too"), leave)
			} else {
				c := s.sendReads()
				s.runUntil("it is accepted", func() bool { return len(s.node.clients.all) == 1 })
				fmt.Fprintf(c, "mg key v Ogone Pc=read,d=25000\r\nmg key v Ogone-too Pc=read,d=25000\r\n")
				leaveAndWait(t, c, leave)
			}
			s.serveAnother()
			if got := s.idsAtCache(); !slices.Equal(got, []string{"stays"}) || s.node.count.taken != 1 {
				t.Errorf("the cache was sent %q, %d taken", got, s.node.count.taken)
			}
		})
	}
}

// Guards against sending a queued request when a response makes room, if the end of its client's connection comes behind that
// response in the same turn.
func TestAClientLeavesInTheTurnOfTheAnswerItWaitsFor(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		s, c, gate := newQueuedFixture(t, cancel)
		s.pollIdle()
		close(gate)
		s.waitAnswer("first")
		leaveAndWait(t, c, leave)
		s.serveAnother()
		if got := s.idsAtCache(); !slices.Equal(got, []string{"first", "stays"}) || s.node.count.abandoned != 1 {
			t.Errorf("the cache was sent %q, %d abandoned", got, s.node.count.abandoned)
		}
	})
}

// Guards against writing a request when its connection is established, if the end of its client's connection comes behind that in
// the same turn.
func TestAClientLeavesInTheTurnInWhichItsConnectionComesUp(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		s := newFixture(t, cancel, answerHit)
		s.cache.SetSilent(true)
		c := s.sendReads("gone")
		s.waitTaken(1)
		s.cache.SetSilent(false)
		s.waitConnected()
		if s.pool.conns[0].connected {
			t.Fatal("the node has been notified")
		}
		leaveAndWait(t, c, leave)
		s.serveAnother()
		if got := s.idsAtCache(); !slices.Equal(got, []string{"stays"}) || s.node.count.abandoned != 1 {
			t.Errorf("the cache was sent %q, %d abandoned", got, s.node.count.abandoned)
		}
	})
}

// newSharedFetch returns a fixture in aside mode whose origin has served two reads at once, so that it has connections and room
// to spare, and which holds reads of the key "hot" until the gate opens.
func newSharedFetch(t *testing.T, cancel bool) (s *fixture, asked func() []string, gate chan struct{}) {
	t.Helper()
	gate = make(chan struct{})
	both := make(chan struct{})
	s = newFixture(t, cancel, answerMiss)
	all := s.withOrigin(cancel, func(w http.ResponseWriter, r *http.Request) {
		switch key := r.URL.Path; {
		case key == "/hot":
			<-gate
		case key != "/key-warm":
			<-both
		}
		fmt.Fprint(w, "x")
	})
	s.sendReads("warm") // after this the origin may have two reads outstanding
	s.runUntil("it is served", func() bool { return s.outcomes(policy.OK) == 1 })
	s.sendReads("warm-1")
	s.sendReads("warm-2")
	s.runUntil("both are outstanding", func() bool { return len(all()) == 3 })
	close(both)
	origin := s.node.pools["o-1"]
	s.runUntil("both are served, and their connections may be used again", func() bool {
		return s.outcomes(policy.OK) == 3 && len(origin.idle) == 3 && !slices.ContainsFunc(origin.idle, func(l *serverConn) bool { return l.mayCarry(safety.Unsafe) != safety.Allowed })
	})
	return s, func() []string { return all()[3:] }, gate
}

// readHot requests the key "hot" on a connection.
func (s *fixture) readHot(c *net.TCPConn, id string) {
	s.t.Helper()
	taken := s.node.count.taken
	fmt.Fprintf(c, "mg hot v O%s Pc=read,d=25000\r\n", id)
	s.waitTaken(taken + 1)
}

// Guards against passing a shared fetch from a client that leaves to another one that leaves in the same turn. A client that
// stays gets its own fetch.
func TestAllWhoShareAFetchLeave(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		s, asked, gate := newSharedFetch(t, cancel)
		var leaving []*net.TCPConn
		for _, id := range []string{"lead", "w1", "w2"} {
			c := s.sendReads()
			s.readHot(c, id)
			s.runUntil("the first asks the origin", func() bool { return len(asked()) == 1 })
			leaving = append(leaving, c)
		}
		s.readHot(s.sendReads(), "stays")
		s.pollIdle()
		for _, c := range leaving {
			leaveAndWait(t, c, leave)
		}
		s.runUntil("their ends are seen", func() bool { return s.node.count.abandoned == 3 })
		close(gate)
		s.runUntil("the other is served", func() bool { return s.node.count.ended[served] == 4 })
		if got := asked(); !slices.Equal(got, []string{"lead", "stays"}) || s.node.count.abandoned != 3 {
			t.Errorf("the origin was asked by %q, %d abandoned", got, s.node.count.abandoned)
		}
	})
}

// Guards against passing a shared fetch from one request to another of the same client when that leaves, and against counting
// such a request as refused if the origin drains too.
func TestAClientLeavesWithItsOwnFetchShared(t *testing.T) {
	for _, drains := range []bool{false, true} {
		eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
			s, asked, gate := newSharedFetch(t, cancel)
			c := s.sendReads()
			for _, id := range []string{"lead", "w1", "w2"} {
				s.readHot(c, id)
				s.runUntil("the first asks the origin", func() bool { return len(asked()) == 1 })
			}
			if drains {
				s.node.applyList(policy.ListChanges, []roster.Entry{{Server: policy.Server{ID: "o-1", Kind: "origin", Weight: -1, State: policy.Draining}, Addr: s.node.pools["o-1"].addr.String()}})
			}
			leave(c)
			s.runUntil("its end is seen", func() bool { return s.node.count.abandoned == 3 })
			close(gate)
			s.runUntil("all requests are removed", func() bool { return len(s.node.requests) == 0 })
			s.pollIdle()
			if got := asked(); !slices.Equal(got, []string{"lead"}) || s.node.count.ended[refused] != 0 {
				t.Errorf("the origin was asked by %q, %d refused", got, s.node.count.ended[refused])
			}
		})
	}
}

// Guards against sending a long write when its server has room or its connection is established, if the end of its client's
// connection comes behind that in the same turn.
func TestAClientLeavesInTheMidstOfALongWrite(t *testing.T) {
	const size = 2 * meta.MaxValue
	for _, queued := range []bool{false, true} {
		eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
			gate := make(chan struct{})
			s := newFixture(t, cancel, func(line string, v []byte) string { <-gate; return answerHit(line, v) })
			if queued {
				s.sendReads("first")
				s.waitTaken(1)
			} else {
				s.cache.SetSilent(true)
			}
			before := s.node.count.taken
			c := s.sendReads()
			fmt.Fprintf(c, "ms key %d Ogone Pc=read,d=25000\r\n%s", size, strings.Repeat("x", maxBufferedBody+100))
			s.waitTaken(before + 1)
			if got := len(s.node.requests["gone"].attempts); got != map[bool]int{false: 1, true: 0}[queued] {
				t.Fatalf("queued %t: %d attempts", queued, got)
			}
			s.pollIdle()
			close(gate)
			if queued {
				s.waitAnswer("first")
			} else {
				s.cache.SetSilent(false)
				s.waitConnected()
			}
			leaveAndWait(t, c, leave)
			s.serveAnother()
			// An attempt of which a byte was sent would have closed its connection.
			if x := &s.node.count; x.abandoned != 1 || x.attempts != 2 || x.serverConns != 1 {
				t.Errorf("%d abandoned, %d attempts, %d connections", x.abandoned, x.attempts, x.serverConns)
			}
		})
	}
}

// Guards against not noticing that a client leaves while it reads none of its answers and has sent more requests than are read.
func TestASlowReaderLeaves(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		s, far, gate := newQueuedFixture(t, cancel)
		c := s.node.requests["gone"].client
		c.conn.Write(make([]byte, 12<<20)) // more than the system takes
		c.flush()
		if c.conn.Pending() < maxUnsentBytes {
			t.Fatal("the client has taken all")
		}
		fmt.Fprintf(far, "mg key v Ounread Pc=read,d=25000\r\n")
		s.pollIdle()
		close(gate)
		s.waitAnswer("first")
		leaveAndWait(t, far, leave)
		s.serveAnother()
		if got := s.idsAtCache(); !slices.Equal(got, []string{"first", "stays"}) || s.node.count.abandoned != 1 {
			t.Errorf("the cache was sent %q, %d abandoned", got, s.node.count.abandoned)
		}
	})
}

// Guards against not noticing that a client leaves while connections close with their next answer and nothing more is read.
func TestAClientLeavesDuringADrain(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		s, c, gate := newQueuedFixture(t, cancel)
		s.node.clients.startClosing()
		s.node.requests["gone"].client.flush() // from here on its connection is not read
		fmt.Fprintf(c, "mg key v Ounread Pc=read,d=25000\r\n")
		s.pollIdle()
		close(gate)
		s.waitAnswer("first")
		leaveAndWait(t, c, leave)
		s.serveAnother()
		if got := s.idsAtCache(); !slices.Equal(got, []string{"first", "stays"}) || s.node.count.abandoned != 1 {
			t.Errorf("the cache was sent %q, %d abandoned", got, s.node.count.abandoned)
		}
	})
}

// Guards against a fault when both hold: the client has left, and the server was never listed.
func TestAClientLeavesBeforeASendToNobody(t *testing.T) {
	s := newFixture(t, false, answerHit)
	s.cache.SetSilent(true)
	c := s.sendReads("gone")
	s.waitTaken(1)
	leaveAndWait(t, c, leaveWays["close"])
	s.node.loop.Defer(func() { actions{s.node}.Send("gone", "c-9", 0, 0) })
	s.runUntil("the request is removed", func() bool { return len(s.node.requests) == 0 })
	if s.node.count.abandoned != 1 || s.outcomes(policy.ConnectFailed) != 1 {
		t.Errorf("%d abandoned, %v", s.node.count.abandoned, s.node.count.outcomes)
	}
}

// Guards against closing a connection when the rest of a command has just arrived as its time limit passes: the request would be
// lost unread. A connection whose command stays incomplete is closed at the next check.
func TestTheRestOfACommandComesAsItsTimeEnds(t *testing.T) {
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprintf("whole %t", whole), func(t *testing.T) {
			s := newFixture(t, false, answerHit)
			far := s.sendReads()
			fmt.Fprint(far, "mg key v Olate Pc=read")
			s.runUntil("half of the command has arrived", func() bool {
				c := front(s.node.clients.incomplete)
				return c != nil && len(c.input) > 0
			})
			c := front(s.node.clients.incomplete)
			fmt.Fprint(far, map[bool]string{true: ",d=25000\r\n", false: ",d=25"}[whole])
			eventually(t, "the rest is readable", c.conn.Stale)
			c.incompleteSince = s.node.loop.Now() - commandTimeout
			if s.node.clients.closeTimedOut(); c.closed {
				t.Fatal("closed with unread input")
			}
			if !whole {
				s.runUntil("it is closed", func() bool { return c.closed })
				return
			}
			s.runUntil("it is served", func() bool { return s.node.count.ended[served] == 1 })
		})
	}
}
