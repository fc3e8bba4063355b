package loop

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// record is an owner that notes what it is told.
type record struct {
	up, drained int
	data        []byte
	end         error
}

func (r *record) Connected()    { r.up++ }
func (r *record) Data(b []byte) { r.data = append(r.data, b...) }
func (r *record) Flushed()      { r.drained++ }
func (r *record) End(err error) { r.end = err }

func newLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// until runs the loop until a condition holds.
func until(t *testing.T, l *Loop, what string, holds func() bool) {
	t.Helper()
	var look func()
	end := l.Now() + 10*time.Second
	look = func() {
		switch {
		case holds():
			l.Stop()
		case l.Now() > end:
			t.Errorf("never: %s", what)
			l.Stop()
		default:
			l.After(time.Millisecond, look)
		}
	}
	l.Defer(look)
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
}

// dial opens a connection of the loop to a stand-in and gives both ends.
func dial(t *testing.T, l *Loop, r *record) (*Conn, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := l.Dial(netip.MustParseAddrPort(ln.Addr().String()), r)
	if err != nil {
		t.Fatal(err)
	}
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	until(t, l, "the connection stands", func() bool { return r.up == 1 })
	return c, far.(*net.TCPConn)
}

func TestTimersRunInOrder(t *testing.T) {
	l := newLoop(t)
	var got []string
	add := func(d time.Duration, name string) *Timer { return l.After(d, func() { got = append(got, name) }) }
	add(3*time.Millisecond, "c")
	add(time.Millisecond, "a")
	gone := add(2*time.Millisecond, "x")
	add(2*time.Millisecond, "b")
	add(-time.Second, "first")
	gone.Stop()
	gone.Stop()
	var never *Timer
	never.Stop()
	until(t, l, "all timers", func() bool { return len(got) == 4 })
	if want := []string{"first", "a", "b", "c"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

func TestConnPassesBytesAndEnds(t *testing.T) {
	l, r := newLoop(t), &record{}
	before := l.OpenSockets()
	c, far := dial(t, l, r)
	c.Write([]byte("hello"))
	buf := make([]byte, 5)
	if _, err := io.ReadFull(far, buf); err != nil || string(buf) != "hello" {
		t.Fatalf("%q, %v", buf, err)
	}
	if c.Written() != 5 || c.WriteOffset() != 5 || c.Stale() {
		t.Errorf("written %d, queued %d, stale %v", c.Written(), c.WriteOffset(), c.Stale())
	}
	far.Write([]byte("there"))
	until(t, l, "the answer", func() bool { return string(r.data) == "there" })
	far.Close()
	until(t, l, "the end", func() bool { return r.end != nil })
	if !errors.Is(r.end, io.EOF) || l.OpenSockets() != before {
		t.Errorf("ended with %v, %d sockets held", r.end, l.OpenSockets())
	}
	c.Close() // harmless
}

// An attempt is told by the moment its last byte was written: the count must tell what the system has taken from what
// waits here.
func TestWrittenAndQueued(t *testing.T) {
	l, r := newLoop(t), &record{}
	c, far := dial(t, l, r)
	big := make([]byte, 16<<20)
	c.Write(big)
	if c.Written() <= 0 || c.Written() >= int64(len(big)) || c.WriteOffset() != int64(len(big)) ||
		c.Pending() != int(c.WriteOffset()-c.Written()) {
		t.Fatalf("written %d, queued %d, pending %d", c.Written(), c.WriteOffset(), c.Pending())
	}
	// Guards against taking a slow reader for a dead one: what it takes shows before the system asks for more.
	written, taken := c.Written(), c.Acknowledged()
	buf := make([]byte, 64<<10)
	for range 10 {
		io.ReadFull(far, buf)
	}
	until(t, l, "what was read shows", func() bool { return c.Acknowledged() > taken || c.Written() > written })
	go io.Copy(io.Discard, far)
	until(t, l, "all is handed over", func() bool { return r.drained == 1 && c.Pending() == 0 })
	if c.Written() != int64(len(big)) {
		t.Errorf("written %d", c.Written())
	}
}

func TestPausedConnReadsLater(t *testing.T) {
	l, r := newLoop(t), &record{}
	c, far := dial(t, l, r)
	c.SetPaused(true)
	far.Write([]byte("x"))
	time.Sleep(20 * time.Millisecond)
	until(t, l, "a look", func() bool { return true })
	if len(r.data) > 0 {
		t.Error("read while paused")
	}
	if !c.Stale() {
		t.Error("unasked bytes do not show")
	}
	c.SetPaused(false)
	until(t, l, "the byte", func() bool { return string(r.data) == "x" })
}

// Guards against a client that leaves unseen while nothing is read from it: however it leaves, whatever it had sent. Where
// that was not asked for, what came before the end is read first.
func TestAnEndWhilePaused(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"close":      func(c *net.TCPConn) { c.Close() },
		"half-close": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for _, heeds := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				l, r := newLoop(t), &record{}
				c, far := dial(t, l, r)
				c.SetPaused(true)
				if heeds {
					c.WatchPeerClose()
				}
				far.Write([]byte("asked before"))
				leave(far)
				if heeds || name == "reset" {
					until(t, l, "the end", func() bool { return r.end != nil })
					if heeds && len(r.data) > 0 || l.OpenSockets() != 0 {
						t.Errorf("read %q, %d open", r.data, l.OpenSockets())
					}
					return
				}
				until(t, l, "the end shows", c.Stale)
				c.SetPaused(false)
				until(t, l, "the end", func() bool { return r.end != nil })
				if string(r.data) != "asked before" {
					t.Errorf("read %q", r.data)
				}
			})
		}
	}
}

// What stands between two places is taken back and nothing else, and nothing of which a byte has gone.
func TestTakeBackBetween(t *testing.T) {
	l, r := newLoop(t), &record{}
	c, far := dial(t, l, r)
	big := make([]byte, 32<<20)
	c.Write(big)
	at := c.WriteOffset()
	c.Write([]byte("one,"))
	c.Write([]byte("two,"))
	c.Write([]byte("three"))
	if c.CancelWrite(0, at) || c.CancelWrite(at+8, at+14) || c.CancelWrite(at+4, at) {
		t.Error("took back what has gone, or never was")
	}
	if !c.CancelWrite(at+4, at+8) || c.WriteOffset() != at+9 {
		t.Error("did not take back what has not gone")
	}
	got := make(chan string, 1)
	go func() {
		io.CopyN(io.Discard, far, int64(len(big)))
		rest := make([]byte, 9)
		io.ReadFull(far, rest)
		got <- string(rest)
	}()
	until(t, l, "all has gone", func() bool { return c.Pending() == 0 })
	if rest := <-got; rest != "one,three" {
		t.Errorf("%q came", rest)
	}
}

// Guards against a loop that turns without end: with all taken back that had not gone, the system says in each turn that there
// is room for more, as soon as the other end reads.
func TestNothingIsWaitedForWithAllTakenBack(t *testing.T) {
	l, r := newLoop(t), &record{}
	c, far := dial(t, l, r)
	c.Write(make([]byte, 32<<20))
	if c.Pending() == 0 || !c.CancelWrite(c.WriteOffset()-int64(c.Pending()), c.WriteOffset()) {
		t.Fatal("nothing is taken back")
	}
	go io.Copy(io.Discard, far)
	until(t, l, "all has come", func() bool { return c.Acknowledged() == c.WriteOffset() })
	told, ready := 0, c.source.ready
	c.source.ready = func(events uint32) { told++; ready(events) }
	for range 3 {
		until(t, l, "a look", func() bool { return true })
	}
	if told > 0 {
		t.Errorf("told %d times that there is room", told)
	}
	c.Write([]byte("more"))
	until(t, l, "it goes on", func() bool { return c.Pending() == 0 && c.Acknowledged() == c.WriteOffset() })
}

// Finish must not throw away an answer on its way because of bytes that came meanwhile.
func TestFinishDeliversWhatWasWritten(t *testing.T) {
	l, r := newLoop(t), &record{}
	before := l.OpenSockets()
	c, far := dial(t, l, r)
	far.Write([]byte("one request too many"))
	big := make([]byte, 4<<20)
	c.Write(big)
	c.CloseGracefully(5 * time.Second)
	done := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(io.Discard, far)
		far.Close()
		done <- n
	}()
	until(t, l, "the connection is given back", func() bool { return l.OpenSockets() == before })
	if n := <-done; n != int64(len(big)) {
		t.Errorf("%d bytes arrived of %d", n, len(big))
	}
	if r.end != nil || len(r.data) > 0 {
		t.Error("the owner was called after Finish")
	}
}

func TestDialRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(ln.Addr().String())
	ln.Close()
	l, r := newLoop(t), &record{}
	if _, err := l.Dial(addr, r); err != nil {
		return // told at once
	}
	until(t, l, "the refusal", func() bool { return r.end != nil })
	if r.up != 0 {
		t.Error("up though refused")
	}
}

func TestListenerPausesAndTakesWhatWaits(t *testing.T) {
	l := newLoop(t)
	var conns []*Conn
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(fd int) {
		c, err := l.Accept(fd, &record{})
		if err != nil {
			t.Error(err)
		}
		conns = append(conns, c)
	})
	if err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(ln.source.fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(at.(*unix.SockaddrInet4).Port)).String()
	ln.SetPaused(true)
	for range 3 {
		far, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
	}
	until(t, l, "a look", func() bool { return true })
	if len(conns) != 0 {
		t.Error("accepted while paused")
	}
	ln.SetPaused(false)
	until(t, l, "the connections", func() bool { return len(conns) == 3 })
	ln.Close()
	ln.Close()
	if l.OpenSockets() != 3 {
		t.Errorf("%d sockets held", l.OpenSockets())
	}
}

// Guards against a loop that spins on a connection for which there is no descriptor.
func TestAcceptRestsWithoutDescriptors(t *testing.T) {
	l := newLoop(t)
	accepted := 0
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(fd int) {
		accepted++
		unix.Close(fd)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	at, err := unix.Getsockname(ln.source.fd)
	if err != nil {
		t.Fatal(err)
	}
	far, err := net.Dial("tcp", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"),
		uint16(at.(*unix.SockaddrInet4).Port)).String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	next, err := unix.Dup(ln.source.fd)
	if err != nil {
		t.Fatal(err)
	}
	unix.Close(next)
	none := unix.Rlimit{Cur: uint64(next), Max: old.Max}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	until(t, l, "accepting rests", func() bool { return ln.source.events == 0 })
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	until(t, l, "the connection is taken after all", func() bool { return accepted == 1 })
}
