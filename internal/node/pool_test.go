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

// bench is a node whose pools are driven by hand, with one stand-in server that says only what it is told to.
type bench struct {
	t    *testing.T
	node *Node
	pool *pool
	ln   net.Listener
}

func newBench(t *testing.T) *bench {
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
		Transport: settings.Transport{PerConn: 8, ConnIdle: 30 * time.Second,
			ConnectTimeout: time.Second}}, l)
	if err != nil {
		t.Fatal(err)
	}
	n.registry.Close() // no list is asked for
	n.pool(policy.Server{ID: "s-1", State: policy.Ready}, netip.MustParseAddrPort(ln.Addr().String()))
	return &bench{t, n, n.pools["s-1"], ln}
}

// listens is where the node's clients connect to.
func (b *bench) listens() netip.AddrPort { return b.node.clients.listener.Addr() }

// run lets the loop run until a condition holds.
func (b *bench) run(what string, holds func() bool) {
	b.t.Helper()
	end := time.Now().Add(10 * time.Second)
	var look func()
	look = func() {
		switch {
		case holds():
			b.node.loop.Stop()
		case time.Now().After(end):
			b.t.Errorf("never: %s", what)
			b.node.loop.Stop()
		default:
			b.node.loop.After(time.Millisecond, look)
		}
	}
	b.node.loop.Defer(look)
	if err := b.node.loop.Run(); err != nil {
		b.t.Fatal(err)
	}
}

// send starts an attempt of a request of its own, whose client takes no answer: its connection is over, which nobody has told.
func (b *bench) send(id string) *attempt {
	return b.attempt(&request{id: id, class: &class{name: "read"}, client: &client{node: b.node, closed: true}})
}

// attempt starts one of a request.
func (b *bench) attempt(c *request) *attempt {
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

// accept takes the node's next connection and reads the lines of its first attempts.
func (b *bench) accept(lines int) net.Conn {
	b.t.Helper()
	conn, err := b.ln.Accept()
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { conn.Close() })
	b.run("the connection stands", func() bool { return b.pool.links[len(b.pool.links)-1].up })
	in := bufio.NewReader(conn)
	for range lines {
		if _, err := in.ReadString('\n'); err != nil {
			b.t.Fatal(err)
		}
	}
	return conn
}

func (b *bench) outcomes(o policy.Outcome) int64 { return b.node.count.outcomes[o] }

// An attempt called off behind another on a shared connection leaves that one alone, and when it is done the
// connection is not kept for an answer that nobody waits for.
func TestGhostsDoNotHoldAConnection(t *testing.T) {
	b := newBench(t)
	b.send("1")
	far := b.accept(1)
	b.node.serverConns = b.node.linkMost() // no descriptor is left
	second := b.send("2")
	if b.node.count.pipelined != 1 || len(b.pool.links) != 1 {
		t.Fatal("the second attempt did not share the connection")
	}
	b.pool.cancel(second)
	if b.outcomes(policy.Cancelled) != 1 || len(b.pool.links) != 1 {
		t.Fatal("calling the second off ended the connection of the first")
	}
	io.WriteString(far, "VA 1 O1\r\nx\r\n")
	b.run("the first is answered", func() bool { return b.outcomes(policy.OK) == 1 })
	if len(b.pool.links) != 0 {
		t.Error("the connection is kept though nobody waits for an answer on it")
	}
}

// What a time-out costs the others on a shared connection is told honestly.
func TestATimeOutOnASharedConnection(t *testing.T) {
	b := newBench(t)
	first := b.send("1")
	b.accept(1)
	b.node.serverConns = b.node.linkMost()
	b.send("2")
	b.pool.timeout(first)
	if b.outcomes(policy.TimedOut) != 1 || b.outcomes(policy.Reset) != 1 {
		t.Errorf("%v", b.node.count.outcomes)
	}
}

// A time-out behind a long value that flows leaves the connection alone: closing it would cut the value off.
func TestATimeOutBehindALongValue(t *testing.T) {
	b := newBench(t)
	first := b.send("1")
	b.accept(1)
	b.node.serverConns = b.node.linkMost()
	second := b.send("2")
	l := b.pool.links[0]
	l.body = &body{link: l, attempt: first, remaining: 1}
	b.pool.timeout(second)
	if b.outcomes(policy.TimedOut) != 1 || l.gone || first.done {
		t.Errorf("%v, gone %v", b.node.count.outcomes, l.gone)
	}
}

// What a connection that is breaking did not take has never run; what it took may have.
func TestNotWrittenIsCouldNotConnect(t *testing.T) {
	b := newBench(t)
	b.send("1")
	b.accept(1)
	b.node.serverConns = b.node.linkMost()
	l := b.pool.links[0]
	l.conn.Close() // as far as writing goes, it is broken
	b.send("2")
	l.over()
	if b.outcomes(policy.Reset) != 1 || b.outcomes(policy.ConnectFailed) != 1 {
		t.Errorf("%v", b.node.count.outcomes)
	}
}

// A server that stops being ready gets nothing from a connection that comes up later.
func TestDrainGivesUpWhatIsComingUp(t *testing.T) {
	b := newBench(t)
	b.send("1")
	b.pool.ready = false
	b.pool.leave()
	if b.outcomes(policy.ConnectFailed) != 1 || b.node.serverConns != 0 || b.node.pools["s-1"] != nil {
		t.Errorf("%v, %d connections", b.node.count.outcomes, b.node.serverConns)
	}
}

// An attempt that waits unwritten behind another is no send yet: written after the grace it would be one to a server that
// drains or is banned.
func TestABanTakesBackWhatIsNotWritten(t *testing.T) {
	b := newBench(t)
	b.send("1")
	b.accept(1)
	b.run("it stands", func() bool { return b.pool.links[0].up })
	b.node.serverConns = b.node.linkMost() // what follows shares the connection
	b.pool.links[0].conn.Write(make([]byte, 32<<20))
	second, third := b.send("2"), b.send("3")
	b.node.everListed.add("s-1")
	if r := b.node.ban("s-1", true); r.Status != 200 {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
	if !second.done || !third.done || b.outcomes(policy.ConnectFailed) != 2 || len(b.pool.links) != 1 || len(b.pool.links[0].tries) != 1 {
		t.Errorf("%v, %d connections", b.node.count.outcomes, len(b.pool.links))
	}
	if b.node.count.written != 1 {
		t.Errorf("%d attempts count as written", b.node.count.written)
	}
}

// A machine that vanished leaves its idle connections silent: the first time-out with nothing heard gives them back.
func TestASilentServersIdleConnectionsAreGivenBack(t *testing.T) {
	for _, heard := range []bool{false, true} {
		b := newBench(t)
		b.send("1")
		b.send("2")
		for i := range 2 {
			io.WriteString(b.accept(1), fmt.Sprintf("VA 1 O%d\r\nx\r\n", i+1))
		}
		b.run("both are answered", func() bool { return b.outcomes(policy.OK) == 2 })
		if len(b.pool.idle) != 2 {
			t.Fatalf("%d idle connections", len(b.pool.idle))
		}
		third := b.send("3")
		if heard {
			b.pool.heard = third.startedAt + 1
		}
		b.pool.timeout(third)
		if want := map[bool]int{false: 0, true: 1}[heard]; len(b.pool.idle) != want {
			t.Errorf("heard %v: %d idle connections, want %d", heard, len(b.pool.idle), want)
		}
	}
}

// A server that moved gets new connections at its new address.
func TestAServerThatMoved(t *testing.T) {
	b := newBench(t)
	b.send("1")
	io.WriteString(b.accept(1), "VA 1 O1\r\nx\r\n")
	b.run("it is answered", func() bool { return b.outcomes(policy.OK) == 1 })
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	b.node.pool(policy.Server{ID: "s-1", State: policy.Ready}, netip.MustParseAddrPort(other.Addr().String()))
	b.ln = other
	b.send("2")
	io.WriteString(b.accept(1), "VA 1 O2\r\nx\r\n")
	b.run("the new address answers", func() bool { return b.outcomes(policy.OK) == 2 })
	if len(b.pool.links) != 1 {
		t.Errorf("%d connections", len(b.pool.links))
	}
}

// Guards against a request written to whatever server has an address by now, its own having moved while the connection came up
// or while the request stood behind others.
func TestAServerThatMovesUnderARequest(t *testing.T) {
	for _, shared := range []bool{false, true} {
		b := newBench(t)
		if shared {
			b.send("1")
			b.run("it stands", func() bool { return b.pool.links[0].up })
			b.node.serverConns = b.node.linkMost()
			b.pool.links[0].conn.Write(make([]byte, 32<<20))
		}
		second := b.send("2")
		b.node.pool(policy.Server{ID: "s-1", State: policy.Ready}, netip.MustParseAddrPort("127.0.0.1:2"))
		b.run("it is taken back", func() bool { return second.done })
		if b.outcomes(policy.ConnectFailed) != 1 || len(b.pool.links) != map[bool]int{false: 0, true: 1}[shared] {
			t.Errorf("shared %v: %v, %d connections", shared, b.node.count.outcomes, len(b.pool.links))
		}
	}
}

// Guards against a keyed write that runs twice: a repeat whose connection comes up when its servers have forgotten the first
// try. What has gone out by then stays.
func TestARepeatThatIsLateForItsWindow(t *testing.T) {
	b := newBench(t)
	late := b.send("1")
	b.pool.expire(late)
	if !late.done || b.outcomes(policy.ConnectFailed) != 1 || len(b.pool.links) != 1 {
		t.Fatalf("%v, %d connections", b.node.count.outcomes, len(b.pool.links))
	}
	b.run("the connection is up, and idle", func() bool { return len(b.pool.idle) == 1 })
	whole := b.send("2")
	b.pool.expire(whole)
	if whole.done {
		t.Error("what had gone out was ended")
	}
	far, err := b.ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	if line, err := bufio.NewReader(far).ReadString('\n'); err != nil || !strings.Contains(line, "O2") {
		t.Errorf("the server was sent %q, %v", line, err)
	}
	b.node.serverConns = b.node.linkMost()
	b.pool.links[0].conn.Write(make([]byte, 32<<20))
	half := b.send("3")
	half.startOffset = b.pool.links[0].conn.Written() - 1 // as if its first byte had gone
	b.pool.expire(half)
	if !half.done || len(b.pool.links) != 0 || b.outcomes(policy.ConnectFailed) != 2 || b.outcomes(policy.Reset) != 1 {
		t.Errorf("half of it gone: %v, %d connections", b.node.count.outcomes, len(b.pool.links))
	}
}

// The module's time by which a repeat must have gone out is kept, on a connection that never comes up.
func TestSendsKeepTheirLatestTime(t *testing.T) {
	s := newFixture(t, false, answerHit)
	s.cache.SetSilent(true)
	s.sendReads("1")
	s.waitTaken(1)
	c := s.node.requests["1"]
	actions{s.node}.Send("1", "c-1", 0, s.node.loop.Now()+20*time.Millisecond)
	last := c.attempts[len(c.attempts)-1]
	s.run("it is taken back", func() bool { return last.done })
	if s.outcomes(policy.ConnectFailed) != 1 {
		t.Errorf("%v", s.node.count.outcomes)
	}
}

// client connects one to the node.
func (b *bench) client() (far net.Conn, c *client) {
	b.t.Helper()
	far, err := net.Dial("tcp", b.listens().String())
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { far.Close() })
	b.run("it is taken", func() bool { return len(b.node.clients.all) == 1 })
	for c = range b.node.clients.all {
	}
	c.sentCommand = true
	return far, c
}

// What a banned server has yet to give of a long value is fetched however slow its reader: it will be restarted.
func TestABanFetchesWhatIsLeftOfALongValue(t *testing.T) {
	b := newBench(t)
	first := b.send("1")
	b.accept(1)
	_, c := b.client()
	first.request.client = c
	l := b.pool.links[0]
	l.body = &body{link: l, attempt: first, remaining: 1 << 20, started: true}
	first.request.body, c.requests = l.body, []*request{first.request}
	b.pool.leave()
	if c.sendBufferBytes != 0 {
		t.Error("hastened at a server that is open")
	}
	b.node.everListed.add("s-1")
	b.node.ban("s-1", true)
	if c.sendBufferBytes != 1<<20 || b.node.sendBufferBytes != c.sendBufferBytes || l.gone {
		t.Errorf("room for %d bytes, %d in all", c.sendBufferBytes, b.node.sendBufferBytes)
	}
	c.release()
	if b.node.sendBufferBytes != 0 {
		t.Errorf("%d bytes are not given back", b.node.sendBufferBytes)
	}
}

// A drain does not end the connection of a slow reader while the node holds the end of its answer, however long the
// connection seems to have rested.
func TestADrainWaitsForASlowReader(t *testing.T) {
	const size = 12 << 20 // more than the system keeps
	b := newBench(t)
	n := b.node
	far, c := b.client()
	c.conn.Write(make([]byte, size))
	c.flush()
	n.clients.startClosing()
	c.lastActive -= time.Hour
	n.clients.closeQuiet()
	if c.closed || c.conn.Pending() == 0 {
		t.Fatalf("gone %v with %d bytes to be handed over", c.closed, c.conn.Pending())
	}
	got := make(chan int64, 1)
	go func() {
		m, _ := io.Copy(io.Discard, far)
		got <- m
	}()
	var all int64
	b.run("it is closed", func() bool {
		select {
		case all = <-got:
			return true
		default:
			return false
		}
	})
	if all != size {
		t.Errorf("%d bytes of %d", all, size)
	}
}

func TestCountersNameEveryOutcome(t *testing.T) {
	line := newBench(t).node.count.line(newBench(t).node)
	for _, name := range outcomeNames {
		if name == "" || !strings.Contains(line, " "+name+"=0") {
			t.Errorf("%q is not in %s", name, line)
		}
	}
}
