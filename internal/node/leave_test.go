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

// Clients that leave at each place where their request may wait. Nothing is sent for it from then on, its place is free, and
// who waited behind it is served. Cancels may be allowed or not: what has not gone out needs none.

// ways are how a client may leave.
var ways = map[string]func(*net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"half-close": func(c *net.TCPConn) { c.CloseWrite() },
	"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

// eachWay runs a test for each way to leave, with cancels allowed and not.
func eachWay(t *testing.T, f func(t *testing.T, leave func(*net.TCPConn), cancel bool)) {
	for _, cancel := range []bool{false, true} {
		for name, leave := range ways {
			t.Run(fmt.Sprintf("%s, cancels %t", name, cancel), func(t *testing.T) {
				t.Parallel()
				f(t, leave, cancel)
			})
		}
	}
}

// stage is a harness whose requests come from clients on sockets, through the module, to a stand-in cache.
type stage struct {
	*harness
	cache *standin.Cache
}

func newStage(t *testing.T, cancel bool, script standin.Script) *stage {
	t.Helper()
	c, err := standin.NewCache(standin.NewCommon(seen.NewLog(), 1, nil), standin.CacheOptions{Addr: "127.0.0.1:0", Script: script})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	b := newHarness(t)
	n := b.node
	// The quick class has the module expect quick answers: it holds what there is no room for, and refuses nothing.
	set := policy.Settings{Classes: []policy.Class{{Name: "read", Aim: 20 * time.Second}, {Name: "quick", Aim: 10 * time.Millisecond}}, MaxAttempts: 3, MayCancel: cancel,
		Tick: 5 * time.Millisecond, FallWindow: time.Second, FallMultiple: 3}
	n.classes["read"] = &class{name: "read", maxDeadline: 25 * time.Second}
	n.cfg.Transport.ConnectTimeout = 20 * time.Second
	n.policy = policy.New(n.loop.Now(), set, 1, actions{n})
	n.applyList(policy.ListComplete, []roster.Entry{{Server: policy.Server{ID: "c-1", Weight: -1}, Addr: c.Addr()}})
	b.pool = n.pools["c-1"]
	return &stage{b, c}
}

// ask sends requests from one new client.
func (s *stage) ask(ids ...string) *net.TCPConn {
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

func (s *stage) taken(n int64) {
	s.t.Helper()
	s.runUntil("the requests are taken", func() bool { return s.node.count.taken >= n })
}

// came are the ids of the requests that the cache was sent, in order.
func (s *stage) came() (ids []string) {
	for _, line := range s.cache.Lines() {
		for _, w := range strings.Fields(line) {
			if w[0] == 'O' {
				ids = append(ids, w[1:])
			}
		}
	}
	return ids
}

func answering(line string, _ []byte) string {
	for _, w := range strings.Fields(line) {
		if w[0] == 'O' {
			return "VA 1 " + w + "\r\nx\r\n"
		}
	}
	return "VA 1\r\nx\r\n"
}

// Guards against a request that is written when its connection comes up at last, its client long gone.
func TestAClientLeavesWhileTheConnectionComesUp(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		s := newStage(t, cancel, answering)
		s.cache.Silence(true) // connections come up once it is back
		gone := s.ask("gone")
		s.taken(1)
		if len(s.pool.conns) != 1 || s.pool.conns[0].connected {
			t.Fatal("the connection is up")
		}
		leave(gone)
		s.runUntil("it has left", func() bool { return s.node.count.abandoned == 1 })
		s.runUntil("its place is free", func() bool { return len(s.node.calls) == 0 })
		if s.node.inFlight != 0 || len(s.node.calls) != 0 || len(s.pool.conns[0].attempts) != 0 {
			t.Errorf("%d in flight, %d known, %d on the connection", s.node.inFlight, len(s.node.calls), len(s.pool.conns[0].attempts))
		}
		l := s.pool.conns[0]
		s.cache.Silence(false)
		s.runUntil("the connection is up", func() bool { return l.connected })
		s.ask("stays")
		s.runUntil("the other is served", func() bool { return s.outcomes(policy.OK) == 1 })
		if got := s.came(); !slices.Equal(got, []string{"stays"}) {
			t.Errorf("the cache was sent %q", got)
		}
		if s.outcomes(policy.ConnectFailed) != 0 {
			t.Error("it is held against the server")
		}
	})
}

// Guards against a burst of clients that leave at once while no connection is up: none of theirs is sent, all others' are.
func TestABurstOfClientsLeaves(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		t.Run(fmt.Sprintf("cancels %t", cancel), func(t *testing.T) {
			t.Parallel()
			s := newStage(t, cancel, answering)
			s.cache.Silence(true)
			var leaving []*net.TCPConn
			for i := range 10 {
				leaving = append(leaving, s.ask(fmt.Sprint("gone-", i)))
				s.ask(fmt.Sprint("stays-", i))
				s.taken(int64(2 * (i + 1)))
			}
			for _, c := range leaving {
				c.Close()
			}
			s.runUntil("they have left", func() bool { return s.node.count.abandoned == 10 })
			s.cache.Silence(false)
			s.runUntil("the others are served", func() bool { return s.outcomes(policy.OK) == 10 })
			for _, id := range s.came() {
				if strings.HasPrefix(id, "gone-") {
					t.Errorf("%s was sent", id)
				}
			}
			if len(s.node.calls) != 0 {
				t.Errorf("%d requests are left", len(s.node.calls))
			}
		})
	}
}

// Guards against a client that leaves unseen since its connection is not read: as many requests as it may have open stand
// before the end of its sending.
func TestAClientLeavesWhileItIsNotRead(t *testing.T) {
	eachWay(t, func(t *testing.T, leave func(*net.TCPConn), cancel bool) {
		gate := make(chan struct{}) // until then the cache hangs
		s := newStage(t, cancel, func(line string, v []byte) string { <-gate; return answering(line, v) })
		var ids []string
		for i := range 2 * mostPipelined {
			ids = append(ids, fmt.Sprint(i))
		}
		c := s.ask(ids...)
		s.taken(mostPipelined)
		for range 3 { // what could be read has been
			s.runUntil("a look", func() bool { return true })
		}
		leave(c)
		s.runUntil("it has left", func() bool { return s.node.count.abandoned == mostPipelined })
		attempts := s.node.count.attempts
		s.runUntil("all places are free", func() bool { return s.node.inFlight == 0 })
		s.ask("stays")
		s.taken(mostPipelined + 1)
		close(gate) // what was sent and may not be called off keeps its place until then
		s.runUntil("it is sent", func() bool { return slices.Contains(s.came(), "stays") })
		if s.node.count.attempts != attempts+1 || s.node.count.taken != mostPipelined+1 {
			t.Errorf("%d attempts, then %d; %d taken", attempts, s.node.count.attempts, s.node.count.taken)
		}
	})
}

// Guards against a request that is sent on from behind others of a shared connection, its client gone; those before and
// behind it keep their answers.
func TestAClientLeavesBehindOthersOnASharedConnection(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		b := newHarness(t)
		b.node.policy = policy.New(b.node.loop.Now(), policy.Settings{MayCancel: cancel, Classes: []policy.Class{{Name: "read", Aim: time.Second}}}, 1, actions{b.node})
		b.send("1")
		b.runUntil("it stands", func() bool { return b.pool.conns[0].connected })
		b.node.links = b.node.maxServerConns() // what follows shares the connection
		l := b.pool.conns[0]
		filler := 32 << 20 // more than the system takes
		l.conn.Write(append(make([]byte, filler-1), '\n'))
		second, third := b.waiting("2"), b.waiting("3")
		third.stuck.Stop() // which TestWhatWaitsBehindOthersBytesIsTakenBack is about
		b.node.abandon(second.call)
		b.runUntil("it is taken back", func() bool { return second.done })
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
		if string(third.call.answer) != "VA 1 O3\r\ny\r\n" || third.last-third.first <= 0 || !third.whole {
			t.Errorf("answered %q", third.call.answer)
		}
	}
}

// Guards against an attempt that is written long after it was queued, with the time that it told then: behind bytes that a
// server does not read it is taken back, as one that never ran, and what has begun to go out stays.
func TestWhatWaitsBehindOthersBytesIsTakenBack(t *testing.T) {
	b := newHarness(t)
	b.send("1")
	b.runUntil("it stands", func() bool { return b.pool.conns[0].connected })
	b.node.links = b.node.maxServerConns() // what follows shares the connection
	l := b.pool.conns[0]
	l.conn.Write(make([]byte, 32<<20)) // more than the system takes
	behind := b.waiting("2")
	b.runUntil("it is taken back", func() bool { return behind.done })
	if b.outcomes(policy.ConnectFailed) != 1 || len(l.attempts) != 1 || l.closed {
		t.Errorf("%v, %d on the connection, gone %t", b.node.count.outcomes, len(l.attempts), l.closed)
	}
}

// Guards against a request that is sent on when it has been answered as failed at its last moment, on a connection that
// comes up later, where attempts may not be called off.
func TestNothingIsSentBehindTheLastCall(t *testing.T) {
	s := newStage(t, false, answering)
	s.cache.Silence(true)
	s.ask("late")
	s.taken(1)
	s.node.overdue(s.node.calls["late"])
	l := s.pool.conns[0]
	s.runUntil("its place is free", func() bool { return len(s.node.calls) == 0 })
	s.cache.Silence(false)
	s.runUntil("the connection is up", func() bool { return l.connected })
	s.ask("next")
	s.runUntil("the next is served", func() bool { return s.outcomes(policy.OK) == 1 })
	if got := s.came(); !slices.Equal(got, []string{"next"}) {
		t.Errorf("the cache was sent %q", got)
	}
}

// waiting starts an attempt of a request that somebody waits for.
func (b *harness) waiting(id string) *try {
	return b.sendAttempt(&call{id: id, class: &class{name: "read"}, client: &client{node: b.node, gone: true}})
}

// wait is what a line that a cache was sent tells of the time that the node waits.
func wait(t *testing.T, line string) (ms int) {
	t.Helper()
	_, text, ok := strings.Cut(line, ",d=")
	if _, err := fmt.Sscan(text, &ms); !ok || err != nil {
		t.Fatalf("%q, %v", line, err)
	}
	return ms
}

// Guards against an attempt that tells its server of time that has passed while its connection came up: it would be worked on
// for a client that has stopped waiting. One that was called off meanwhile is not written.
func TestAnAttemptTellsWhatIsLeftAsItsConnectionComesUp(t *testing.T) {
	s := newStage(t, true, answering)
	s.cache.Silence(true)
	s.ask("one")
	s.taken(1)
	s.node.links = s.node.maxServerConns() // what follows shares the connection
	for _, id := range []string{"off", "two"} {
		c := &call{id: id, class: s.node.classes["read"], client: &client{node: s.node, gone: true}, deadline: s.node.loop.Now() + 25*time.Second, end: s.node.loop.Now() + 25*time.Second, counted: true}
		s.node.inFlight++
		m, _, err := meta.ParseCommand([]byte("mg key v O"+id+" Pc=read,d=25000\r\n"), meta.MaxValue, meta.MaxLongValue)
		if err != nil {
			t.Fatal(err)
		}
		c.command, c.open = keep(m), 1
		s.node.calls[id] = c
		x := &try{call: c, pool: s.pool, at: s.node.loop.Now()}
		c.tries = []*try{x}
		s.pool.send(x, 25*time.Second)
	}
	l, first := s.pool.conns[0], s.node.calls["one"].tries[0]
	if len(l.attempts) != 3 || l.connected {
		t.Fatalf("%d wait on the connection, up %t", len(l.attempts), l.connected)
	}
	s.pool.cancel(s.node.calls["off"].tries[0])
	tries := []*try{first, s.node.calls["two"].tries[0]}
	s.runUntil("some time passes", func() bool { return s.node.loop.Now()-first.at > 300*time.Millisecond })
	since := s.node.loop.Now()
	s.cache.Silence(false)
	s.runUntil("both are answered", func() bool { return s.outcomes(policy.OK) == 2 })
	if got := s.came(); !slices.Equal(got, []string{"one", "two"}) {
		t.Fatalf("the cache was sent %q", got)
	}
	for i, line := range s.cache.Lines() {
		if got, most := wait(t, line), int((tries[i].wait - (since - tries[i].at)).Milliseconds()); got > most || got <= 0 {
			t.Errorf("%q, where %d ms were left before its connection came up", line, most)
		}
	}
	s.runUntil("the connection rests", func() bool { return len(s.pool.idle) == 1 })
	if x := &s.node.count; x.written != 2 || l.conn.Pending() > 0 || first.first != 0 || first.last == 0 || !first.whole {
		t.Errorf("%d written whole, %d wait, the first from %d to %d", x.written, l.conn.Pending(), first.first, first.last)
	}
	s.node.links -= s.node.maxServerConns() - 1
	s.ask("next")
	s.runUntil("the next is served", func() bool { return s.outcomes(policy.OK) == 3 })
}

// A fetch begins when a cache has answered, or later: it tells the origin what is left then. Guards against one that tells what the
// client had at first, and has the origin work for those who have left.
func TestAFetchTellsWhatIsLeft(t *testing.T) {
	gate, infos := make(chan struct{}), make(chan string, 1)
	s := newStage(t, true, func(line string, v []byte) string { <-gate; return lacking(line, v) })
	s.withOrigin(true, func(w http.ResponseWriter, r *http.Request) {
		infos <- r.Header.Get("Request-Info")
		fmt.Fprint(w, "x")
	})
	s.ask("1")
	s.taken(1)
	first := s.node.calls["1"].tries[0]
	s.runUntil("some time passes", func() bool { return s.node.loop.Now()-first.at > 300*time.Millisecond })
	most := (25*time.Second - (s.node.loop.Now() - first.at)).Milliseconds()
	close(gate)
	s.runUntil("it is served", func() bool { return s.node.count.ended[served] == 1 })
	info := <-infos
	if got, err := strconv.ParseInt(meta.FieldValue([]byte(info), "d"), 10, 64); err != nil || got > most || got <= 0 || !strings.HasPrefix(info, "c=read,d=") {
		t.Errorf("the origin was told %q, where %d ms were left before the cache had answered", info, most)
	}
}
