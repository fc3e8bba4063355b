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

// failCalls makes calls of one kind fail with an error: the first skip calls succeed, the next count calls fail.
func failCalls(t *testing.T, call system.Call, skip, count int, errno unix.Errno) {
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

// startListener opens a listener whose accepted connections each get a recordingHandler.
func startListener(t *testing.T, l *Loop) (ln *Listener, accepted *[]*recordingHandler) {
	t.Helper()
	accepted = &[]*recordingHandler{}
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(fd int) {
		r := &recordingHandler{}
		if _, err := l.Accept(fd, r); err != nil {
			t.Errorf("Accept failed: %v", err)
		}
		*accepted = append(*accepted, r)
	})
	if err != nil {
		t.Fatal(err)
	}
	return ln, accepted
}

// dialAndSend opens a connection to a listener and sends a request on it.
func dialAndSend(t *testing.T, ln *Listener) net.Conn {
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

// runFor runs the loop for a while.
func runFor(t *testing.T, l *Loop, d time.Duration) {
	t.Helper()
	l.After(d, l.Stop)
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
}

// A listener that its owner pauses during a shortage of descriptors stays paused when the shortage is over.
func TestAnOwnersPauseOutlastsAShortage(t *testing.T) {
	l := newLoop(t)
	ln, accepted := startListener(t, l)
	failCalls(t, system.CallAccept, 0, 1, unix.ENFILE)
	dialAndSend(t, ln)
	runFor(t, l, acceptRetryDelay/2) // accepting is suspended
	ln.SetPaused(true)
	runFor(t, l, 2*acceptRetryDelay)
	if len(*accepted) != 0 {
		t.Fatalf("%d connections accepted while the owner has paused the listener", len(*accepted))
	}
	ln.SetPaused(false)
	runUntil(t, l, "accepting resumes", func() bool { return len(*accepted) == 1 })
}

// The other way round: an owner that resumes a listener does not end the suspension on a shortage of descriptors.
func TestAShortageOutlastsAnOwnersPause(t *testing.T) {
	l := newLoop(t)
	ln, accepted := startListener(t, l)
	failCalls(t, system.CallAccept, 0, 1, unix.EMFILE)
	dialAndSend(t, ln)
	runFor(t, l, acceptRetryDelay/4)
	ln.SetPaused(true)
	ln.SetPaused(false)
	runFor(t, l, acceptRetryDelay/4)
	if len(*accepted) != 0 {
		t.Error("accepted while descriptors are short")
	}
	runUntil(t, l, "accepting resumes by itself", func() bool { return len(*accepted) == 1 })
}

// A listener that closes accepts all queued connections, although descriptors are short for a moment.
func TestClosingListenerAcceptsItsBacklog(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EINTR, unix.ECONNABORTED, unix.EPROTO} {
		l := newLoop(t)
		ln, accepted := startListener(t, l)
		for range 4 {
			dialAndSend(t, ln)
		}
		failCalls(t, system.CallAccept, 1, 2, errno)
		ln.Close()
		runUntil(t, l, "all connections are accepted after "+errno.Error(), func() bool {
			return len(*accepted) == 4 && !slices.ContainsFunc(*accepted, func(r *recordingHandler) bool { return string(r.data) != "request" })
		})
		if !ln.Closed() {
			t.Errorf("%v: the listener is still open", errno)
		}
	}
}

// A peer's close is detected although the poll that reports it is interrupted.
func TestInterruptedPollIsRetried(t *testing.T) {
	l := newLoop(t)
	ln, accepted := startListener(t, l)
	clientConn := dialAndSend(t, ln)
	runUntil(t, l, "the connection is accepted", func() bool { return len(*accepted) == 1 })
	var serverConn *Conn
	for _, s := range l.sources {
		s := s
		if s.fd != ln.source.fd && s.fd != l.wakeFD {
			serverConn = &Conn{loop: l, source: s, connected: true}
		}
	}
	serverConn.WatchPeerClose()
	clientConn.Close()
	time.Sleep(2 * maxPollAge)
	failCalls(t, system.CallEpollWait, 0, 3, unix.EINTR)
	if !serverConn.PeerClosed() {
		t.Error("the peer has closed, but PeerClosed is false")
	}
}

// A registration that fails because epoll is out of memory is retried after a short delay.
func TestEpollRegistrationIsRetried(t *testing.T) {
	for _, call := range []system.Call{system.CallEpollAdd, system.CallEpollMod} {
		l := newLoop(t)
		r := &recordingHandler{}
		ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(fd int) {
			failCalls(t, call, 0, 2, unix.ENOMEM)
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
		dialAndSend(t, ln)
		runUntil(t, l, string(call)+": the sent bytes are read", func() bool { return string(r.data) == "request" })
	}
}

// Guards against counting the time of connections that waited in the listen queue only from a shortage that kept them there.
func TestConnectionsLeftBehindByAShortageHaveWaitedAsLong(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENFILE, unix.ECONNABORTED, unix.EINTR} {
		t.Run(errno.Error(), func(t *testing.T) {
			l := newLoop(t)
			_, waited := queueConnections(t, l, func(int) {})
			failCalls(t, system.CallAccept, 1, 1, errno)
			expectQueuedTime(t, l, waited)
		})
	}
}

// A connection with unread data is not idle, although the check is interrupted.
func TestInterruptedPeekIsRetried(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.ENOMEM} {
		l := newLoop(t)
		r := &recordingHandler{}
		c, peer := dial(t, l, r)
		if c.Stale() {
			t.Fatal("stale without unread data")
		}
		if _, err := peer.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
		failCalls(t, system.CallPeek, 0, 1, errno)
		if !c.Stale() {
			t.Errorf("%v: not stale with an unread byte", errno)
		}
	}
}

// Guards against counting bytes that stood unread during a pause from when they are read, because the look at its end is interrupted.
func TestAnInterruptedPeekKeepsThePause(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.ENOMEM} {
		l := newLoop(t)
		r := &recordingHandler{}
		c, peer := dial(t, l, r)
		c.SetPaused(true)
		began := l.Now()
		if _, err := peer.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Millisecond)
		failCalls(t, system.CallPeek, 0, 1, errno)
		c.SetPaused(false)
		runUntil(t, l, "the byte is read", func() bool { return string(r.data) == "x" })
		if c.EarliestArrival() > began {
			t.Errorf("%v: it counts from %v after the pause began", errno, c.EarliestArrival()-began)
		}
	}
}

// Connecting, sending and receiving continue after a transient error, whatever the sizes of partial transfers.
func TestTransientFailuresKeepTheConnection(t *testing.T) {
	system.LimitTransfers(func(_ system.Call, length int) int { return length/3 + 1 })
	defer system.LimitTransfers(nil)
	for _, c := range []struct {
		call  system.Call
		errno unix.Errno
	}{{system.CallConnect, unix.EINTR}, {system.CallSend, unix.EINTR}, {system.CallSend, unix.ENOBUFS}, {system.CallSend, unix.ENOMEM},
		{system.CallSend, unix.EAGAIN}, {system.CallReceive, unix.EINTR}, {system.CallReceive, unix.ENOMEM}} {
		l := newLoop(t)
		failCalls(t, c.call, 0, 2, c.errno)
		r := &recordingHandler{}
		conn, peer := dial(t, l, r)
		conn.Write([]byte("there"))
		if _, err := peer.Write([]byte("and back")); err != nil {
			t.Fatal(err)
		}
		runUntil(t, l, "the response arrives", func() bool { return string(r.data) == "and back" })
		runUntil(t, l, "all is sent", func() bool { return conn.Pending() == 0 })
		buffer := make([]byte, 16)
		peer.SetReadDeadline(time.Now().Add(5 * time.Second))
		got := ""
		for len(got) < len("there") {
			n, err := peer.Read(buffer)
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

// A broken connection ends, whichever error the system reports.
func TestBrokenConnectionsEnd(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET, unix.EPIPE} {
		l := newLoop(t)
		r := &recordingHandler{}
		conn, _ := dial(t, l, r)
		failCalls(t, system.CallSend, 0, 1, errno)
		conn.Write([]byte("x"))
		runUntil(t, l, "End is called", func() bool { return r.end != nil })
	}
}
