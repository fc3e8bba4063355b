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

// recordingHandler records its calls.
type recordingHandler struct {
	connects, flushes int
	data              []byte
	end               error
}

func (r *recordingHandler) Connected()    { r.connects++ }
func (r *recordingHandler) Data(b []byte) { r.data = append(r.data, b...) }
func (r *recordingHandler) Flushed()      { r.flushes++ }
func (r *recordingHandler) End(err error) { r.end = err }

func newLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// runUntil runs the loop until a condition holds, for at most 10 seconds.
func runUntil(t *testing.T, l *Loop, what string, holds func() bool) {
	t.Helper()
	var check func()
	end := l.Now() + 10*time.Second
	check = func() {
		switch {
		case holds():
			l.Stop()
		case l.Now() > end:
			t.Errorf("not reached: %s", what)
			l.Stop()
		default:
			l.After(time.Millisecond, check)
		}
	}
	l.Defer(check)
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
}

// dial opens a connection from the loop to a test server and returns both ends.
func dial(t *testing.T, l *Loop, r *recordingHandler) (*Conn, *net.TCPConn) {
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
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	runUntil(t, l, "the connection is established", func() bool { return r.connects == 1 })
	return c, peer.(*net.TCPConn)
}

func TestTimersRunInOrder(t *testing.T) {
	l := newLoop(t)
	var got []string
	add := func(d time.Duration, name string) *Timer { return l.After(d, func() { got = append(got, name) }) }
	add(3*time.Millisecond, "c")
	add(time.Millisecond, "a")
	cancelled := add(2*time.Millisecond, "x")
	add(2*time.Millisecond, "b")
	add(-time.Second, "first")
	cancelled.Stop()
	cancelled.Stop()
	var unset *Timer
	unset.Stop()
	runUntil(t, l, "all timers", func() bool { return len(got) == 4 })
	if want := []string{"first", "a", "b", "c"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

func TestConnPassesBytesAndEnds(t *testing.T) {
	l, r := newLoop(t), &recordingHandler{}
	before := l.OpenSockets()
	c, peer := dial(t, l, r)
	c.Write([]byte("hello"))
	buf := make([]byte, 5)
	if _, err := io.ReadFull(peer, buf); err != nil || string(buf) != "hello" {
		t.Fatalf("%q, %v", buf, err)
	}
	if c.Written() != 5 || c.WriteOffset() != 5 || c.Stale() {
		t.Errorf("written %d, offset %d, stale %v", c.Written(), c.WriteOffset(), c.Stale())
	}
	peer.Write([]byte("there"))
	runUntil(t, l, "the response", func() bool { return string(r.data) == "there" })
	peer.Close()
	runUntil(t, l, "the end", func() bool { return r.end != nil })
	if !errors.Is(r.end, io.EOF) || l.OpenSockets() != before {
		t.Errorf("ended with %v, %d sockets open", r.end, l.OpenSockets())
	}
	c.Close() // a second close has no effect
}

// The state of an attempt depends on whether its last byte has been written: bytes passed to the kernel and bytes that are still
// buffered must be counted separately.
func TestWrittenAndWriteOffset(t *testing.T) {
	l, r := newLoop(t), &recordingHandler{}
	c, peer := dial(t, l, r)
	big := make([]byte, 16<<20)
	c.Write(big)
	if c.Written() <= 0 || c.Written() >= int64(len(big)) || c.WriteOffset() != int64(len(big)) ||
		c.Pending() != int(c.WriteOffset()-c.Written()) {
		t.Fatalf("written %d, offset %d, pending %d", c.Written(), c.WriteOffset(), c.Pending())
	}
	// Guards against taking a slow reader for a dead one: its progress shows in Acknowledged before the socket is writable again.
	written, acknowledged := c.Written(), c.Acknowledged()
	buf := make([]byte, 64<<10)
	for range 10 {
		io.ReadFull(peer, buf)
	}
	runUntil(t, l, "the read bytes are acknowledged", func() bool { return c.Acknowledged() > acknowledged || c.Written() > written })
	go io.Copy(io.Discard, peer)
	runUntil(t, l, "everything is passed to the kernel", func() bool { return r.flushes == 1 && c.Pending() == 0 })
	if c.Written() != int64(len(big)) {
		t.Errorf("written %d", c.Written())
	}
}

func TestPausedConnReadsLater(t *testing.T) {
	l, r := newLoop(t), &recordingHandler{}
	c, peer := dial(t, l, r)
	c.SetPaused(true)
	peer.Write([]byte("x"))
	time.Sleep(20 * time.Millisecond)
	runUntil(t, l, "a poll", func() bool { return true })
	if len(r.data) > 0 {
		t.Error("read while paused")
	}
	if !c.Stale() {
		t.Error("not stale with unsolicited bytes")
	}
	c.SetPaused(false)
	runUntil(t, l, "the byte", func() bool { return string(r.data) == "x" })
}

// Guards against a client whose close goes unnoticed while reading is paused, however it closes and whatever it sent before. Without
// WatchPeerClose, data received before the end is read first.
func TestPeerCloseWhilePaused(t *testing.T) {
	for name, closeConn := range map[string]func(*net.TCPConn){
		"close":      func(c *net.TCPConn) { c.Close() },
		"half-close": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for _, watches := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				l, r := newLoop(t), &recordingHandler{}
				c, peer := dial(t, l, r)
				c.SetPaused(true)
				if watches {
					c.WatchPeerClose()
				}
				peer.Write([]byte("sent before"))
				closeConn(peer)
				if watches || name == "reset" {
					runUntil(t, l, "the end", func() bool { return r.end != nil })
					if watches && len(r.data) > 0 || l.OpenSockets() != 0 {
						t.Errorf("read %q, %d open", r.data, l.OpenSockets())
					}
					return
				}
				runUntil(t, l, "the end is detected", c.Stale)
				c.SetPaused(false)
				runUntil(t, l, "the end", func() bool { return r.end != nil })
				if string(r.data) != "sent before" {
					t.Errorf("read %q", r.data)
				}
			})
		}
	}
}

// CancelWrite removes exactly the bytes between two offsets, and nothing if any of them has been passed to the kernel.
func TestCancelWrite(t *testing.T) {
	l, r := newLoop(t), &recordingHandler{}
	c, peer := dial(t, l, r)
	big := make([]byte, 32<<20)
	c.Write(big)
	at := c.WriteOffset()
	c.Write([]byte("one,"))
	c.Write([]byte("two,"))
	c.Write([]byte("three"))
	if c.CancelWrite(0, at) || c.CancelWrite(at+8, at+14) || c.CancelWrite(at+4, at) {
		t.Error("cancelled bytes that were passed to the kernel or never written")
	}
	if !c.CancelWrite(at+4, at+8) || c.WriteOffset() != at+9 {
		t.Error("did not cancel buffered bytes")
	}
	got := make(chan string, 1)
	go func() {
		io.CopyN(io.Discard, peer, int64(len(big)))
		rest := make([]byte, 9)
		io.ReadFull(peer, rest)
		got <- string(rest)
	}()
	runUntil(t, l, "everything is sent", func() bool { return c.Pending() == 0 })
	if rest := <-got; rest != "one,three" {
		t.Errorf("received %q", rest)
	}
}

// Guards against a loop that spins: when all buffered data has been cancelled and EPOLLOUT stays registered, epoll reports in each
// turn that the socket is writable, as soon as the peer reads.
func TestNoWriteEventsAfterCancelWrite(t *testing.T) {
	l, r := newLoop(t), &recordingHandler{}
	c, peer := dial(t, l, r)
	c.Write(make([]byte, 32<<20))
	if c.Pending() == 0 || !c.CancelWrite(c.WriteOffset()-int64(c.Pending()), c.WriteOffset()) {
		t.Fatal("no buffered bytes were cancelled")
	}
	go io.Copy(io.Discard, peer)
	runUntil(t, l, "everything is acknowledged", func() bool { return c.Acknowledged() == c.WriteOffset() })
	writeEvents, onEvents := 0, c.source.onEvents
	c.source.onEvents = func(events uint32) { writeEvents++; onEvents(events) }
	for range 3 {
		runUntil(t, l, "a poll", func() bool { return true })
	}
	if writeEvents > 0 {
		t.Errorf("%d write events without buffered data", writeEvents)
	}
	c.Write([]byte("more"))
	runUntil(t, l, "writing continues", func() bool { return c.Pending() == 0 && c.Acknowledged() == c.WriteOffset() })
}

// CloseGracefully must not drop a response in transit because of bytes that arrive meanwhile.
func TestCloseGracefullyDeliversBufferedData(t *testing.T) {
	l, r := newLoop(t), &recordingHandler{}
	before := l.OpenSockets()
	c, peer := dial(t, l, r)
	peer.Write([]byte("one request too many"))
	big := make([]byte, 4<<20)
	c.Write(big)
	c.CloseGracefully(5 * time.Second)
	done := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(io.Discard, peer)
		peer.Close()
		done <- n
	}()
	runUntil(t, l, "the connection is closed", func() bool { return l.OpenSockets() == before })
	if n := <-done; n != int64(len(big)) {
		t.Errorf("%d bytes arrived of %d", n, len(big))
	}
	if r.end != nil || len(r.data) > 0 {
		t.Error("the handler was called after CloseGracefully")
	}
}

func TestDialRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(ln.Addr().String())
	ln.Close()
	l, r := newLoop(t), &recordingHandler{}
	if _, err := l.Dial(addr, r); err != nil {
		return // the refusal was returned by Dial
	}
	runUntil(t, l, "the refusal", func() bool { return r.end != nil })
	if r.connects != 0 {
		t.Error("Connected was called for a refused connection")
	}
}

func TestPausedListenerAcceptsLater(t *testing.T) {
	l := newLoop(t)
	var conns []*Conn
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(fd int) {
		c, err := l.Accept(fd, &recordingHandler{})
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
		peer, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
	}
	runUntil(t, l, "a poll", func() bool { return true })
	if len(conns) != 0 {
		t.Error("accepted while paused")
	}
	ln.SetPaused(false)
	runUntil(t, l, "the connections", func() bool { return len(conns) == 3 })
	ln.Close()
	ln.Close()
	if l.OpenSockets() != 3 {
		t.Errorf("%d sockets open", l.OpenSockets())
	}
}

// Guards against a loop that spins on a connection for which there is no descriptor.
func TestAcceptPausesWithoutDescriptors(t *testing.T) {
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
	peer, err := net.Dial("tcp", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"),
		uint16(at.(*unix.SockaddrInet4).Port)).String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
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
	runUntil(t, l, "accepting is suspended", func() bool { return ln.source.events == 0 })
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	runUntil(t, l, "the connection is accepted later", func() bool { return accepted == 1 })
}
