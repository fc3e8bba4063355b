//go:build faults

package loop

import (
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"lapisshelf/internal/system"
)

// failFirst has the first so many calls of a kind fail with an error, after so many that don't.
func failFirst(t *testing.T, call system.Call, skip, count int, errno unix.Errno) {
	t.Helper()
	system.InjectFailures(func(c system.Call) error {
		if c != call {
			return nil
		}
		if skip--; skip >= 0 {
			return nil
		}
		if count--; count >= 0 {
			return errno
		}
		return nil
	})
	t.Cleanup(func() { system.InjectFailures(nil) })
}

// listening opens a listener that gives what it accepts to owners of its own.
func listening(t *testing.T, l *Loop) (ln *Listener, accepted *[]*record) {
	t.Helper()
	accepted = &[]*record{}
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(fd int) {
		r := &record{}
		if _, err := l.Accept(fd, r); err != nil {
			t.Errorf("not accepted: %v", err)
		}
		*accepted = append(*accepted, r)
	})
	if err != nil {
		t.Fatal(err)
	}
	return ln, accepted
}

// connected opens a connection to a listener and sends a request on it.
func connected(t *testing.T, ln *Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := conn.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	return conn
}

// passes runs the loop for a while.
func passes(t *testing.T, l *Loop, d time.Duration) {
	t.Helper()
	l.After(d, l.Stop)
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
}

// A listener that rests for want of descriptors, and that its owner has paused meanwhile, rests until the owner goes on.
func TestAnOwnersPauseOutlastsAShortage(t *testing.T) {
	l := newLoop(t)
	ln, accepted := listening(t, l)
	failFirst(t, system.CallAccept, 0, 1, unix.ENFILE)
	connected(t, ln)
	passes(t, l, shortOf/2) // it rests
	ln.SetPaused(true)
	passes(t, l, 2*shortOf)
	if len(*accepted) != 0 {
		t.Fatalf("%d accepted while its owner has it paused", len(*accepted))
	}
	ln.SetPaused(false)
	until(t, l, "it goes on", func() bool { return len(*accepted) == 1 })
}

// The other way round: an owner that goes on does not end the rest for want of descriptors.
func TestAShortageOutlastsAnOwnersPause(t *testing.T) {
	l := newLoop(t)
	ln, accepted := listening(t, l)
	failFirst(t, system.CallAccept, 0, 1, unix.EMFILE)
	connected(t, ln)
	passes(t, l, shortOf/4)
	ln.SetPaused(true)
	ln.SetPaused(false)
	passes(t, l, shortOf/4)
	if len(*accepted) != 0 {
		t.Error("accepted while it rests for want of descriptors")
	}
	until(t, l, "it goes on by itself", func() bool { return len(*accepted) == 1 })
}

// A listener that closes takes all that the system has accepted, though descriptors are short for a moment.
func TestAClosingListenerTakesItsQueue(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EINTR, unix.ECONNABORTED, unix.EPROTO} {
		l := newLoop(t)
		ln, accepted := listening(t, l)
		for range 4 {
			connected(t, ln)
		}
		failFirst(t, system.CallAccept, 1, 2, errno)
		ln.Close()
		until(t, l, "all are taken after "+errno.Error(), func() bool {
			return len(*accepted) == 4 && !slices.ContainsFunc(*accepted, func(r *record) bool { return string(r.data) != "request" })
		})
		if !ln.Closed() {
			t.Errorf("%v: it is open", errno)
		}
	}
}

// Who has left is known though the wait that tells is interrupted.
func TestAnInterruptedLookIsMadeAgain(t *testing.T) {
	l := newLoop(t)
	ln, accepted := listening(t, l)
	conn := connected(t, ln)
	until(t, l, "it is accepted", func() bool { return len(*accepted) == 1 })
	var near *Conn
	for _, s := range l.sources {
		s := s
		if s.fd != ln.source.fd && s.fd != l.wake {
			near = &Conn{loop: l, source: s, up: true}
		}
	}
	near.WatchPeerClose()
	conn.Close()
	time.Sleep(2 * lookAgain)
	failFirst(t, system.CallEpollWait, 0, 3, unix.EINTR)
	if !near.PeerClosed() {
		t.Error("its client has left, which is not told")
	}
}

// What epoll has no memory for is watched a moment later.
func TestWatchingIsTriedAgain(t *testing.T) {
	for _, call := range []system.Call{system.CallEpollAdd, system.CallEpollMod} {
		l := newLoop(t)
		r := &record{}
		ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(fd int) {
			failFirst(t, call, 0, 2, unix.ENOMEM)
			c, err := l.Accept(fd, r)
			if err != nil {
				t.Fatal(err)
			}
			c.SetPaused(true)
			c.SetPaused(false)
		})
		if err != nil {
			t.Fatal(err)
		}
		connected(t, ln)
		until(t, l, string(call)+": what was sent is read", func() bool { return string(r.data) == "request" })
	}
}

// A connection with something unread is no idle one, though the look at it is interrupted.
func TestAnInterruptedPeekIsMadeAgain(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.ENOMEM} {
		l := newLoop(t)
		r := &record{}
		c, far := dial(t, l, r)
		if c.Stale() {
			t.Fatal("stale with nothing unread")
		}
		if _, err := far.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
		failFirst(t, system.CallPeek, 0, 1, errno)
		if !c.Stale() {
			t.Errorf("%v: idle, with a byte unread", errno)
		}
	}
}

// Connecting, sending and receiving go on after what is no end of the connection, in whatever pieces.
func TestMomentaryFailuresEndNoConnection(t *testing.T) {
	system.LimitTransfers(func(_ system.Call, length int) int { return length/3 + 1 })
	defer system.LimitTransfers(nil)
	for _, c := range []struct {
		call  system.Call
		errno unix.Errno
	}{{system.CallConnect, unix.EINTR}, {system.CallSend, unix.EINTR}, {system.CallSend, unix.ENOBUFS}, {system.CallSend, unix.ENOMEM},
		{system.CallSend, unix.EAGAIN}, {system.CallReceive, unix.EINTR}, {system.CallReceive, unix.ENOMEM}} {
		l := newLoop(t)
		failFirst(t, c.call, 0, 2, c.errno)
		r := &record{}
		near, far := dial(t, l, r)
		near.Write([]byte("there"))
		if _, err := far.Write([]byte("and back")); err != nil {
			t.Fatal(err)
		}
		until(t, l, "the answer comes", func() bool { return string(r.data) == "and back" })
		until(t, l, "all is sent", func() bool { return near.Pending() == 0 })
		buffer := make([]byte, 16)
		far.SetReadDeadline(time.Now().Add(5 * time.Second))
		got := ""
		for len(got) < len("there") {
			n, err := far.Read(buffer)
			if err != nil {
				t.Fatalf("%s, %v: %q, %v", c.call, c.errno, got, err)
			}
			got += string(buffer[:n])
		}
		if r.end != nil || got != "there" {
			t.Errorf("%s, %v: ended %v, sent %q", c.call, c.errno, r.end, got)
		}
	}
}

// A broken connection ends, whatever the system calls the break.
func TestBrokenConnectionsEnd(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET, unix.EPIPE} {
		l := newLoop(t)
		r := &record{}
		near, _ := dial(t, l, r)
		failFirst(t, system.CallSend, 0, 1, errno)
		near.Write([]byte("x"))
		until(t, l, "the end is told", func() bool { return r.end != nil })
	}
}
