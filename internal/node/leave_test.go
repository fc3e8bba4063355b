package node

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"lapisshelf/decide/roster"
	"lapisshelf/internal/meta"
	"lapisshelf/lab/seen"
	"lapisshelf/lab/standin"
	"lapisshelf/policy"
)

// Clients that leave at each point where their request may wait. From then on nothing is sent for it, its place is free, and
// requests that waited behind it are served. The policy may be allowed to cancel attempts or not: what has not been sent needs no
// cancel.

// leaveWays are the ways in which a client may leave.
var leaveWays = map[string]func(*net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"half-close": func(c *net.TCPConn) { c.CloseWrite() },
	"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

// eachWay runs a test for each way to leave, with cancels allowed and not allowed.
func eachWay(t *testing.T, f func(t *testing.T, leave func(*net.TCPConn), cancel bool)) {
	for _, cancel := range []bool{false, true} {
		for name, leave := range leaveWays {
			t.Run(fmt.Sprintf("%s, cancels %t", name, cancel), func(t *testing.T) {
				t.Parallel()
				f(t, leave, cancel)
			})
		}
	}
}

// fixture is a harness whose requests come from clients on sockets and go through the policy to a stand-in cache.
type fixture struct {
	*harness
	cache *standin.Cache
}

func newFixture(t *testing.T, cancel bool, script standin.Script) *fixture {
	t.Helper()
	c, err := standin.NewCache(standin.NewCommon(seen.NewLog(), 1, nil), standin.CacheOptions{Addr: "127.0.0.1:0", Script: script})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	b := newHarness(t)
	n := b.node
	// The quick class makes the policy expect quick answers: it queues requests for which there is no room, and refuses none.
	set := policy.Settings{Classes: []policy.Class{{Name: "read", Aim: 20 * time.Second}, {Name: "quick", Aim: 10 * time.Millisecond}}, MaxAttempts: 3, MayCancel: cancel,
		Tick: 5 * time.Millisecond, FallWindow: time.Second, FallMultiple: 3}
	n.classes["read"] = &class{name: "read", maxDeadline: 25 * time.Second}
	n.cfg.Transport.ConnectTimeout = 20 * time.Second
	n.policy = policy.New(n.loop.Now(), set, 1, actions{n})
	n.applyList(policy.ListComplete, []roster.Entry{{Server: policy.Server{ID: "c-1", Weight: -1}, Addr: c.Addr()}})
	b.pool = n.pools["c-1"]
	return &fixture{b, c}
}

// sendReads sends read requests from one new client.
func (s *fixture) sendReads(ids ...string) *net.TCPConn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.clientAddr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	text := ""
	for _, id := range ids {
		text += "mg key-" + id + " v O" + id + " Pc=read,d=25000\r\n"
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		s.t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

func (s *fixture) waitTaken(n int64) {
	s.t.Helper()
	s.runUntil("the requests are taken", func() bool { return s.node.count.taken >= n })
}

// idsAtCache returns the ids of the requests that the cache received, in order.
func (s *fixture) idsAtCache() (ids []string) {
	for _, line := range s.cache.Commands() {
		for _, w := range strings.Fields(line) {
			if w[0] == 'O' {
				ids = append(ids, w[1:])
			}
		}
	}
	return ids
}

func answerHit(line string, _ []byte) string {
	for _, w := range strings.Fields(line) {
		if w[0] == 'O' {
			return "VA 1 " + w + "\r\nx\r\n"
		}
	}
	return "VA 1\r\nx\r\n"
}

// Guards against writing a request when its connection is established, long after its client has left.
func TestAClientLeavesWhileTheConnectionComesUp(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		s := newFixture(t, cancel, answerHit)
		s.cache.SetSilent(true) // connections are established when this ends
		gone := s.sendReads("gone")
		s.waitTaken(1)
		if len(s.pool.conns) != 1 || s.pool.conns[0].connected {
			t.Fatal("the connection is up")
		}
		leave(gone)
		s.runUntil("its end is seen", func() bool { return s.node.count.abandoned == 1 })
		s.runUntil("the request is removed", func() bool { return len(s.node.requests) == 0 })
		if s.node.inFlight != 0 || len(s.node.requests) != 0 || len(s.pool.conns[0].attempts) != 0 {
			t.Errorf("%d in flight, %d requests, %d on the connection", s.node.inFlight, len(s.node.requests), len(s.pool.conns[0].attempts))
		}
		l := s.pool.conns[0]
		s.cache.SetSilent(false)
		s.runUntil("the connection is up", func() bool { return l.connected })
		s.sendReads("stays")
		s.runUntil("the other is served", func() bool { return s.outcomes(policy.OK) == 1 })
		if got := s.idsAtCache(); !slices.Equal(got, []string{"stays"}) {
			t.Errorf("the cache was sent %q", got)
		}
		if s.outcomes(policy.ConnectFailed) != 0 {
			t.Error("the server was charged with a failure")
		}
	})
}

// Guards against sending requests of a burst of clients that leave while no connection is established; those of all others are
// sent.
func TestABurstOfClientsLeaves(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		t.Run(fmt.Sprintf("cancels %t", cancel), func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, cancel, answerHit)
			s.cache.SetSilent(true)
			var leaving []*net.TCPConn
			for i := range 10 {
				leaving = append(leaving, s.sendReads(fmt.Sprint("gone-", i)))
				s.sendReads(fmt.Sprint("stays-", i))
				s.waitTaken(int64(2 * (i + 1)))
			}
			for _, c := range leaving {
				c.Close()
			}
			s.runUntil("their ends are seen", func() bool { return s.node.count.abandoned == 10 })
			s.cache.SetSilent(false)
			s.runUntil("the others are served", func() bool { return s.outcomes(policy.OK) == 10 })
			for _, id := range s.idsAtCache() {
				if strings.HasPrefix(id, "gone-") {
					t.Errorf("%s was sent", id)
				}
			}
			if len(s.node.requests) != 0 {
				t.Errorf("%d requests are left", len(s.node.requests))
			}
		})
	}
}

// Guards against not noticing that a client leaves while its connection is not read: as many requests as may be open come before
// the end of the stream.
func TestAClientLeavesWhileItIsNotRead(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		gate := make(chan struct{}) // the cache hangs until this is closed
		s := newFixture(t, cancel, func(line string, v []byte) string { <-gate; return answerHit(line, v) })
		var ids []string
		for i := range 2 * maxPipelined {
			ids = append(ids, fmt.Sprint(i))
		}
		c := s.sendReads(ids...)
		s.waitTaken(maxPipelined)
		for range 3 { // lets the loop read what it may
			s.runUntil("a turn of the loop", func() bool { return true })
		}
		leave(c)
		s.runUntil("its end is seen", func() bool { return s.node.count.abandoned == maxPipelined })
		attempts := s.node.count.attempts
		s.runUntil("no request is in flight", func() bool { return s.node.inFlight == 0 })
		s.sendReads("stays")
		s.waitTaken(maxPipelined + 1)
		close(gate) // attempts that were sent and may not be cancelled keep their places until then
		s.runUntil("it is sent", func() bool { return slices.Contains(s.idsAtCache(), "stays") })
		if s.node.count.attempts != attempts+1 || s.node.count.taken != maxPipelined+1 {
			t.Errorf("%d attempts, then %d; %d taken", attempts, s.node.count.attempts, s.node.count.taken)
		}
	})
}

// Guards against sending a request from behind others on a shared connection after its client has gone; the requests before and
// behind it keep their answers.
func TestAClientLeavesBehindOthersOnASharedConnection(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		b := newHarness(t)
		b.node.policy = policy.New(b.node.loop.Now(), policy.Settings{MayCancel: cancel, Classes: []policy.Class{{Name: "read", Aim: time.Second}}}, 1, actions{b.node})
		b.send("1")
		b.runUntil("the connection is up", func() bool { return b.pool.conns[0].connected })
		b.node.serverConns = b.node.maxServerConns() // what follows shares the connection
		l := b.pool.conns[0]
		filler := 32 << 20 // more than the system takes
		l.conn.Write(append(make([]byte, filler-1), '\n'))
		second, third := b.sendWaitedFor("2"), b.sendWaitedFor("3")
		third.writeTimer.Stop() // see TestAnAttemptQueuedBehindOtherBytesIsWithdrawn
		b.node.abandon(second.request)
		b.runUntil("it is withdrawn", func() bool { return second.done })
		if !second.done || b.outcomes(policy.NotSent) != 1 || third.done || len(l.attempts) != 2 {
			t.Fatalf("%v, %d on the connection", b.node.count.outcomes, len(l.attempts))
		}
		far, err := b.ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		lines := make(chan string, 1)
		go func() {
			var text strings.Builder
			piece := make([]byte, 1<<20)
			for {
				n, err := far.Read(piece)
				text.WriteString(strings.Trim(string(piece[:n]), "\x00\n"))
				if err != nil || strings.Contains(text.String(), "O3") {
					break
				}
			}
			far.Write([]byte("VA 1 O1\r\nx\r\nVA 1 O3\r\ny\r\n"))
			lines <- text.String()
			far.Close()
		}()
		b.runUntil("the others are answered", func() bool { return b.outcomes(policy.OK) == 2 })
		if got := <-lines; strings.Contains(got, "O2") || !strings.Contains(got, "O1") {
			t.Errorf("sent %q", got)
		}
		if string(third.request.answer) != "VA 1 O3\r\ny\r\n" || third.endOffset-third.startOffset <= 0 || !third.written {
			t.Errorf("answered %q", third.request.answer)
		}
	}
}

// Guards against writing an attempt long after it was queued, with the timeout of that time: behind bytes that a server does not
// read, it is withdrawn as one that never ran. What has begun to be sent stays.
func TestAnAttemptQueuedBehindOtherBytesIsWithdrawn(t *testing.T) {
	b := newHarness(t)
	b.send("1")
	b.runUntil("the connection is up", func() bool { return b.pool.conns[0].connected })
	b.node.serverConns = b.node.maxServerConns() // what follows shares the connection
	l := b.pool.conns[0]
	l.conn.Write(make([]byte, 32<<20)) // more than the system takes
	behind := b.sendWaitedFor("2")
	b.runUntil("it is withdrawn", func() bool { return behind.done })
	if b.outcomes(policy.ConnectFailed) != 1 || len(l.attempts) != 1 || l.closed {
		t.Errorf("%v, %d on the connection, gone %t", b.node.count.outcomes, len(l.attempts), l.closed)
	}
}

// Guards against sending a request that was failed as overdue when its connection is established later, with cancels not allowed.
func TestNothingIsSentAfterAnOverdueRequestFails(t *testing.T) {
	s := newFixture(t, false, answerHit)
	s.cache.SetSilent(true)
	s.sendReads("late")
	s.waitTaken(1)
	s.node.failOverdue(s.node.requests["late"])
	l := s.pool.conns[0]
	s.runUntil("the request is removed", func() bool { return len(s.node.requests) == 0 })
	s.cache.SetSilent(false)
	s.runUntil("the connection is up", func() bool { return l.connected })
	s.sendReads("next")
	s.runUntil("the next is served", func() bool { return s.outcomes(policy.OK) == 1 })
	if got := s.idsAtCache(); !slices.Equal(got, []string{"next"}) {
		t.Errorf("the cache was sent %q", got)
	}
}

// sendWaitedFor starts an attempt of a request that has a client.
func (b *harness) sendWaitedFor(id string) *attempt {
	return b.sendAttempt(&request{id: id, class: &class{name: "read"}, client: &client{node: b.node, closed: true}})
}

// timeoutOf returns the timeout in a line that a cache received.
func timeoutOf(t *testing.T, line string) (ms int) {
	t.Helper()
	_, text, ok := strings.Cut(line, ",d=")
	if _, err := fmt.Sscan(text, &ms); !ok || err != nil {
		t.Fatalf("%q, %v", line, err)
	}
	return ms
}

// Guards against an attempt whose timeout includes time that passed while its connection was being established: the server would
// work for a client that has stopped waiting. An attempt cancelled meanwhile is not written.
func TestAnAttemptTellsWhatIsLeftAsItsConnectionComesUp(t *testing.T) {
	s := newFixture(t, true, answerHit)
	s.cache.SetSilent(true)
	s.sendReads("one")
	s.waitTaken(1)
	s.node.serverConns = s.node.maxServerConns() // what follows shares the connection
	for _, id := range []string{"off", "two"} {
		c := &request{id: id, class: s.node.classes["read"], client: &client{node: s.node, closed: true}, deadline: s.node.loop.Now() + 25*time.Second, attemptsUntil: s.node.loop.Now() + 25*time.Second, received: true}
		s.node.inFlight++
		m, _, err := meta.ParseCommand([]byte("mg key v O"+id+" Pc=read,d=25000\r\n"), meta.MaxValue, meta.MaxLongValue)
		if err != nil {
			t.Fatal(err)
		}
		c.command, c.openAttempts = copyCommand(m), 1
		s.node.requests[id] = c
		x := &attempt{request: c, pool: s.pool, startedAt: s.node.loop.Now()}
		c.attempts = []*attempt{x}
		s.pool.send(x, 25*time.Second)
	}
	l, first := s.pool.conns[0], s.node.requests["one"].attempts[0]
	if len(l.attempts) != 3 || l.connected {
		t.Fatalf("%d wait on the connection, up %t", len(l.attempts), l.connected)
	}
	s.pool.cancel(s.node.requests["off"].attempts[0])
	tries := []*attempt{first, s.node.requests["two"].attempts[0]}
	s.runUntil("some time passes", func() bool { return s.node.loop.Now()-first.startedAt > 300*time.Millisecond })
	since := s.node.loop.Now()
	s.cache.SetSilent(false)
	s.runUntil("both are answered", func() bool { return s.outcomes(policy.OK) == 2 })
	if got := s.idsAtCache(); !slices.Equal(got, []string{"one", "two"}) {
		t.Fatalf("the cache was sent %q", got)
	}
	for i, line := range s.cache.Commands() {
		if got, most := timeoutOf(t, line), int((tries[i].timeout - (since - tries[i].startedAt)).Milliseconds()); got > most || got <= 0 {
			t.Errorf("%q, where %d ms were left before its connection came up", line, most)
		}
	}
	s.runUntil("the connection is idle", func() bool { return len(s.pool.idle) == 1 })
	if x := &s.node.count; x.written != 2 || l.conn.Pending() > 0 || first.startOffset != 0 || first.endOffset == 0 || !first.written {
		t.Errorf("%d attempts written, %d bytes pending, the first from %d to %d", x.written, l.conn.Pending(), first.startOffset, first.endOffset)
	}
	s.node.serverConns -= s.node.maxServerConns() - 1
	s.sendReads("next")
	s.runUntil("the next is served", func() bool { return s.outcomes(policy.OK) == 3 })
}

// A fetch begins when a cache has answered or later, and tells the origin what is left then. Guards against a fetch with the
// client's initial timeout, which makes the origin work for clients that have left.
func TestAFetchTellsWhatIsLeft(t *testing.T) {
	gate, infos := make(chan struct{}), make(chan string, 1)
	s := newFixture(t, true, func(line string, v []byte) string { <-gate; return answerMiss(line, v) })
	s.withOrigin(true, func(w http.ResponseWriter, r *http.Request) {
		infos <- r.Header.Get("Request-Info")
		fmt.Fprint(w, "x")
	})
	s.sendReads("1")
	s.waitTaken(1)
	first := s.node.requests["1"].attempts[0]
	s.runUntil("some time passes", func() bool { return s.node.loop.Now()-first.startedAt > 300*time.Millisecond })
	most := (25*time.Second - (s.node.loop.Now() - first.startedAt)).Milliseconds()
	close(gate)
	s.runUntil("it is served", func() bool { return s.node.count.ended[served] == 1 })
	info := <-infos
	if got, err := strconv.ParseInt(meta.FieldValue([]byte(info), "d"), 10, 64); err != nil || got > most || got <= 0 || !strings.HasPrefix(info, "c=read,d=") {
		t.Errorf("the origin was told %q, where %d ms were left before the cache had answered", info, most)
	}
}
