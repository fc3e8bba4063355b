package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lapisshelf/internal/loop"
	"lapisshelf/internal/meta"
	"lapisshelf/internal/registry"
	"lapisshelf/internal/settings"
	"lapisshelf/policy"
)

// harness is a node whose connection pools are driven directly, with one stand-in server that only sends what the test writes.
type harness struct {
	t    *testing.T
	node *Node
	pool *pool
	ln   net.Listener
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	local := netip.MustParseAddrPort("127.0.0.1:0")
	n, err := New(Config{Listen: local, Registry: registry.Config{Endpoints: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}}, MemoryMB: 192, Sockets: 64,
		Settings: policy.Settings{Classes: []policy.Class{{Name: "read", Aim: time.Second}}, MaxAttempts: 3},
		Transport: settings.Transport{MaxRequestsPerConn: 8, ConnIdle: 30 * time.Second,
			ConnectTimeout: time.Second}}, l)
	if err != nil {
		t.Fatal(err)
	}
	n.registry.Close() // the test provides the list
	n.updatePool(policy.Server{ID: "s-1", State: policy.Ready}, netip.MustParseAddrPort(ln.Addr().String()))
	return &harness{t, n, n.pools["s-1"], ln}
}

// clientAddr returns the address that the node's clients connect to.
func (b *harness) clientAddr() netip.AddrPort { return b.node.clients.listener.Addr() }

// runUntil runs the event loop until a condition holds.
func (b *harness) runUntil(what string, holds func() bool) {
	b.t.Helper()
	end := time.Now().Add(10 * time.Second)
	var poll func()
	poll = func() {
		switch {
		case holds():
			b.node.loop.Stop()
		case time.Now().After(end):
			b.t.Errorf("never: %s", what)
			b.node.loop.Stop()
		default:
			b.node.loop.After(time.Millisecond, poll)
		}
	}
	b.node.loop.Defer(poll)
	if err := b.node.loop.Run(); err != nil {
		b.t.Fatal(err)
	}
}

// send starts an attempt of a new request whose client gets no answer: its connection has ended, which the node does not know yet.
func (b *harness) send(id string) *attempt {
	return b.sendAttempt(&request{id: id, class: &class{name: "read"}, client: &client{node: b.node, closed: true}})
}

// sendAttempt starts an attempt of a request.
func (b *harness) sendAttempt(c *request) *attempt {
	b.t.Helper()
	line := "mg key v O" + c.id + " Pc=read,d=1000"
	m, _, err := meta.ParseCommand([]byte(line+"\r\n"), meta.MaxValue, meta.MaxLongValue)
	if err != nil {
		b.t.Fatal(err)
	}
	c.command, c.openAttempts = copyCommand(m), 1
	if c.deadline == 0 {
		c.deadline = b.node.loop.Now() + time.Minute
		c.attemptsUntil = c.deadline
		c.received = true
		b.node.inFlight++
	}
	b.node.requests[c.id] = c
	t := &attempt{request: c, pool: b.pool, startedAt: b.node.loop.Now()}
	c.attempts = []*attempt{t}
	b.pool.send(t, time.Second)
	return t
}

// accept accepts the node's next connection and reads the lines of its first attempts.
func (b *harness) accept(lines int) net.Conn {
	b.t.Helper()
	b.ln.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second)) // a connection that does not come fails the test
	conn, err := b.ln.Accept()
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { conn.Close() })
	b.runUntil("the connection is established", func() bool { return b.pool.conns[len(b.pool.conns)-1].connected })
	in := bufio.NewReader(conn)
	for range lines {
		if _, err := in.ReadString('\n'); err != nil {
			b.t.Fatal(err)
		}
	}
	return conn
}

func (b *harness) outcomes(o policy.Outcome) int64 { return b.node.count.outcomes[o] }

// Cancelling an attempt that shares a connection does not affect the other attempt, and once that is answered the connection is not
// kept for an answer that nobody waits for.
func TestCancelledAttemptsDoNotHoldAConnection(t *testing.T) {
	b := newHarness(t)
	b.send("1")
	peer := b.accept(1)
	b.node.serverConns = b.node.maxServerConns() // no more connections may be opened
	second := b.send("2")
	if b.node.count.pipelined != 1 || len(b.pool.conns) != 1 {
		t.Fatal("the second attempt did not share the connection")
	}
	b.pool.cancel(second)
	if b.outcomes(policy.Cancelled) != 1 || len(b.pool.conns) != 1 {
		t.Fatal("cancelling the second attempt ended the connection of the first")
	}
	io.WriteString(peer, "VA 1 O1\r\nx\r\n")
	b.runUntil("the first is answered", func() bool { return b.outcomes(policy.OK) == 1 })
	if len(b.pool.conns) != 0 {
		t.Error("the connection is kept although nobody waits for an answer on it")
	}
}

// A timeout on a shared connection ends the other attempts as reset, since they may have run.
func TestATimeOutOnASharedConnection(t *testing.T) {
	b := newHarness(t)
	first := b.send("1")
	b.accept(1)
	b.node.serverConns = b.node.maxServerConns()
	b.send("2")
	b.pool.timeout(first)
	if b.outcomes(policy.TimedOut) != 1 || b.outcomes(policy.Reset) != 1 {
		t.Errorf("%v", b.node.count.outcomes)
	}
}

// A timeout of an attempt queued behind a long value does not close the connection: that would truncate the value.
func TestATimeOutBehindALongValue(t *testing.T) {
	b := newHarness(t)
	first := b.send("1")
	b.accept(1)
	b.node.serverConns = b.node.maxServerConns()
	second := b.send("2")
	l := b.pool.conns[0]
	l.body = &body{link: l, attempt: first, remaining: 1}
	b.pool.timeout(second)
	if b.outcomes(policy.TimedOut) != 1 || l.closed || first.done {
		t.Errorf("%v, gone %v", b.node.count.outcomes, l.closed)
	}
}

// When a connection breaks, attempts that it had not accepted have never run; the others may have.
func TestUnwrittenAttemptsCountAsConnectFailed(t *testing.T) {
	b := newHarness(t)
	b.send("1")
	b.accept(1)
	b.node.serverConns = b.node.maxServerConns()
	l := b.pool.conns[0]
	l.conn.Close() // from now on it discards writes like a broken one
	b.send("2")
	l.closeAndFail()
	if b.outcomes(policy.Reset) != 1 || b.outcomes(policy.ConnectFailed) != 1 {
		t.Errorf("%v", b.node.count.outcomes)
	}
}

// A server that is no longer ready gets nothing on a connection that is established later.
func TestDrainEndsConnectingAttempts(t *testing.T) {
	b := newHarness(t)
	b.send("1")
	b.pool.ready = false
	b.pool.drain()
	if b.outcomes(policy.ConnectFailed) != 1 || b.node.serverConns != 0 || b.node.pools["s-1"] != nil {
		t.Errorf("%v, %d connections", b.node.count.outcomes, b.node.serverConns)
	}
}

// A ban withdraws an attempt that is queued behind another and not written yet: after the drain grace it would be sent to a server
// that is draining or banned.
func TestABanTakesBackWhatIsNotWritten(t *testing.T) {
	b := newHarness(t)
	b.send("1")
	b.accept(1)
	b.runUntil("it is established", func() bool { return b.pool.conns[0].connected })
	b.node.serverConns = b.node.maxServerConns() // later attempts share the connection
	b.pool.conns[0].conn.Write(make([]byte, 32<<20))
	second, third := b.send("2"), b.send("3")
	b.node.everListed.add("s-1")
	if r := b.node.setBan("s-1", true); r.Status != 200 {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
	if !second.done || !third.done || b.outcomes(policy.ConnectFailed) != 2 || len(b.pool.conns) != 1 || len(b.pool.conns[0].attempts) != 1 {
		t.Errorf("%v, %d connections", b.node.count.outcomes, len(b.pool.conns))
	}
	if b.node.count.written != 1 {
		t.Errorf("%d attempts count as written", b.node.count.written)
	}
}

// Idle connections to a machine that has disappeared stay silent: they are closed at the first timeout of an attempt during which
// nothing was received from the server.
func TestASilentServersIdleConnectionsAreGivenBack(t *testing.T) {
	for _, heard := range []bool{false, true} {
		b := newHarness(t)
		b.send("1")
		b.send("2")
		for i := range 2 {
			io.WriteString(b.accept(1), fmt.Sprintf("VA 1 O%d\r\nx\r\n", i+1))
		}
		b.runUntil("both are answered", func() bool { return b.outcomes(policy.OK) == 2 })
		if len(b.pool.idle) != 2 {
			t.Fatalf("%d idle connections", len(b.pool.idle))
		}
		third := b.send("3")
		if heard {
			b.pool.lastReceived = third.startedAt + 1
		}
		b.pool.timeout(third)
		if want := map[bool]int{false: 0, true: 1}[heard]; len(b.pool.idle) != want {
			t.Errorf("heard %v: %d idle connections, want %d", heard, len(b.pool.idle), want)
		}
	}
}

// A server that has moved gets new connections at its new address.
func TestAServerThatMoved(t *testing.T) {
	b := newHarness(t)
	b.send("1")
	io.WriteString(b.accept(1), "VA 1 O1\r\nx\r\n")
	b.runUntil("it is answered", func() bool { return b.outcomes(policy.OK) == 1 })
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	b.node.updatePool(policy.Server{ID: "s-1", State: policy.Ready}, netip.MustParseAddrPort(other.Addr().String()))
	b.ln = other
	b.send("2")
	io.WriteString(b.accept(1), "VA 1 O2\r\nx\r\n")
	b.runUntil("the new address answers", func() bool { return b.outcomes(policy.OK) == 2 })
	if len(b.pool.conns) != 1 {
		t.Errorf("%d connections", len(b.pool.conns))
	}
}

// Guards against a request sent to another server that has taken over an address, because the intended one moved while the connection
// was being established or while the request was queued behind others.
func TestAServerThatMovesUnderARequest(t *testing.T) {
	for _, shared := range []bool{false, true} {
		b := newHarness(t)
		if shared {
			b.send("1")
			b.runUntil("it is established", func() bool { return b.pool.conns[0].connected })
			b.node.serverConns = b.node.maxServerConns()
			b.pool.conns[0].conn.Write(make([]byte, 32<<20))
		}
		second := b.send("2")
		b.node.updatePool(policy.Server{ID: "s-1", State: policy.Ready}, netip.MustParseAddrPort("127.0.0.1:2"))
		b.runUntil("it is withdrawn", func() bool { return second.done })
		if b.outcomes(policy.ConnectFailed) != 1 || len(b.pool.conns) != map[bool]int{false: 0, true: 1}[shared] {
			t.Errorf("shared %v: %v, %d connections", shared, b.node.count.outcomes, len(b.pool.conns))
		}
	}
}

// Guards against a keyed write that runs twice: a retry whose connection is established only after the servers have forgotten the
// first attempt. A retry that has been sent by then continues.
func TestARepeatThatIsLateForItsWindow(t *testing.T) {
	b := newHarness(t)
	late := b.send("1")
	b.pool.expire(late)
	if !late.done || b.outcomes(policy.ConnectFailed) != 1 || len(b.pool.conns) != 1 {
		t.Fatalf("%v, %d connections", b.node.count.outcomes, len(b.pool.conns))
	}
	b.runUntil("the connection is up, and idle", func() bool { return len(b.pool.idle) == 1 })
	whole := b.send("2")
	b.pool.expire(whole)
	if whole.done {
		t.Error("an attempt that had been sent was ended")
	}
	peer, err := b.ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if line, err := bufio.NewReader(peer).ReadString('\n'); err != nil || !strings.Contains(line, "O2") {
		t.Errorf("the server was sent %q, %v", line, err)
	}
	b.node.serverConns = b.node.maxServerConns()
	b.pool.conns[0].conn.Write(make([]byte, 32<<20))
	half := b.send("3")
	half.startOffset = b.pool.conns[0].conn.Written() - 1 // as if its first byte had been sent
	b.pool.expire(half)
	if !half.done || len(b.pool.conns) != 0 || b.outcomes(policy.ConnectFailed) != 2 || b.outcomes(policy.Reset) != 1 {
		t.Errorf("sent in part: %v, %d connections", b.node.count.outcomes, len(b.pool.conns))
	}
}

// A retry is withdrawn at the time by which the policy wants it sent, even if its connection is never established.
func TestSendsKeepTheirLatestTime(t *testing.T) {
	s := newFixture(t, false, answerHit)
	s.cache.SetSilent(true)
	s.sendReads("1")
	s.waitTaken(1)
	c := s.node.requests["1"]
	actions{s.node}.Send("1", "c-1", 0, s.node.loop.Now()+20*time.Millisecond)
	last := c.attempts[len(c.attempts)-1]
	s.runUntil("it is withdrawn", func() bool { return last.done })
	if s.outcomes(policy.ConnectFailed) != 1 {
		t.Errorf("%v", s.node.count.outcomes)
	}
}

// connectClient connects a client to the node and returns both ends.
func (b *harness) connectClient() (peer net.Conn, c *client) {
	b.t.Helper()
	peer, err := net.Dial("tcp", b.clientAddr().String())
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { peer.Close() })
	c = b.newestClient()
	c.sentCommand = true
	return peer, c
}

// newestClient waits until the node has accepted a client and returns it.
func (b *harness) newestClient() (newest *client) {
	b.t.Helper()
	before := b.node.count.clientsAccepted
	b.runUntil("it is accepted", func() bool { return b.node.count.clientsAccepted > before })
	for c := range b.node.clients.all {
		if newest == nil || c.number > newest.number {
			newest = c
		}
	}
	return newest
}

// The rest of a long value is fetched from a banned server at once, however slowly the client reads, because the server is going to be
// restarted.
func TestABanFetchesWhatIsLeftOfALongValue(t *testing.T) {
	b := newHarness(t)
	first := b.send("1")
	b.accept(1)
	_, c := b.connectClient()
	first.request.client = c
	l := b.pool.conns[0]
	l.body = &body{link: l, attempt: first, remaining: 1 << 20, state: bodyStreamed}
	first.request.body, c.requests = l.body, []*request{first.request}
	b.pool.drain()
	if c.sendBufferBytes != 0 {
		t.Error("fetched at once from a server that is available")
	}
	b.node.everListed.add("s-1")
	b.node.setBan("s-1", true)
	if c.sendBufferBytes != 1<<20 || b.node.sendBufferBytes != c.sendBufferBytes || l.closed {
		t.Errorf("send buffer grown by %d bytes, %d in total", c.sendBufferBytes, b.node.sendBufferBytes)
	}
	c.release()
	if b.node.sendBufferBytes != 0 {
		t.Errorf("%d bytes are not released", b.node.sendBufferBytes)
	}
}

// A drain does not close the connection of a slow reader while the node still buffers the end of an answer, however long the
// connection has been inactive.
func TestADrainWaitsForASlowReader(t *testing.T) {
	const size = 12 << 20 // more than the kernel buffers
	b := newHarness(t)
	n := b.node
	peer, c := b.connectClient()
	c.conn.Write(make([]byte, size))
	c.flush()
	n.clients.startClosing()
	c.lastActive -= time.Hour
	n.clients.closeQuiet()
	if c.closed || c.conn.Pending() == 0 {
		t.Fatalf("gone %v with %d bytes unwritten", c.closed, c.conn.Pending())
	}
	got := make(chan int64, 1)
	go func() {
		m, _ := io.Copy(io.Discard, peer)
		got <- m
	}()
	var total int64
	b.runUntil("it is closed", func() bool {
		select {
		case total = <-got:
			return true
		default:
			return false
		}
	})
	if total != size {
		t.Errorf("%d bytes of %d", total, size)
	}
}

func TestCountersNameEveryOutcome(t *testing.T) {
	line := newHarness(t).node.count.line(newHarness(t).node)
	for _, name := range outcomeNames {
		if name == "" || !strings.Contains(line, " "+name+"=0") {
			t.Errorf("%q is not in %s", name, line)
		}
	}
}
