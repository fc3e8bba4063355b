package loop

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// An address can be shared only while its holder allows it: two processes started by mistake would divide the clients unnoticed.
// A listener that joins gets all new connections, and nothing is lost when the earlier one closes.
func TestSharedAddress(t *testing.T) {
	l := newLoop(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(free.Addr().String())
	free.Close()
	accepted := map[string]int{}
	accept := func(name string) func(int) {
		return func(fd int) {
			accepted[name]++
			unix.Close(fd)
		}
	}
	old, err := l.Listen(addr, accept("old"))
	if err != nil {
		t.Fatal(err)
	}
	refused := func(when string) {
		t.Helper()
		if _, err := l.Listen(addr, nil); !errors.Is(err, unix.EADDRINUSE) {
			t.Errorf("%s, listening alone: %v", when, err)
		}
	}
	refused("at first")
	if _, err := l.ListenShared(addr, 1, nil); !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("joined a listener that is not shared: %v", err)
	}
	old.SetShared(true)
	refused("while shared")
	dial := func(times int) {
		t.Helper()
		for range times {
			c, err := net.Dial("tcp", addr.String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
		}
	}
	old.SetPaused(true)
	dial(5) // they wait in the backlog of the old listener
	fresh, err := l.ListenShared(addr, 1, accept("fresh"))
	if err != nil {
		t.Fatal(err)
	}
	if !fresh.SteersConnections() {
		t.Skip("the kernel does not steer connections")
	}
	old.SetShared(false)
	dial(20)
	runUntil(t, l, "the new listener has them all", func() bool { return accepted["fresh"] == 20 })
	if old.Close(); accepted["old"] != 5 {
		t.Errorf("%d of 5 connections accepted at the close", accepted["old"])
	}
	dial(20)
	runUntil(t, l, "the new listener has them all", func() bool { return accepted["fresh"] == 40 })
	refused("after the old one is closed")
	fresh.SetShared(true) // a second takeover
	newest, err := l.ListenShared(addr, 1, accept("newest"))
	if err != nil {
		t.Fatal(err)
	}
	dial(20)
	runUntil(t, l, "the newest listener has them", func() bool { return accepted["newest"] == 20 })
	newest.Close() // the newest process fails: the previous one takes over again
	dial(20)
	runUntil(t, l, "the previous listener has them again", func() bool { return accepted["fresh"] == 60 })
}

// Guards against counting the time of connections that waited in the listen queue only from a pause: of those that waited as long, one
// was accepted, and its owner then paused the listener.
func TestConnectionsLeftBehindByAPauseHaveWaitedAsLong(t *testing.T) {
	l := newLoop(t)
	var ln *Listener
	ln, waited := queueConnections(t, l, func(count int) { ln.SetPaused(count == 1) })
	runUntil(t, l, "one is accepted", func() bool { return len(*waited) == 1 })
	ln.SetPaused(false)
	expectQueuedTime(t, l, waited)
}

// Connections that wait in the listen queue in some tests, and for how long.
const (
	queuedConnections = 3
	queuedTime        = 200 * time.Millisecond
)

// queueConnections lets connections wait in a listen queue, as in a stopped process. waited tells how long each that the loop accepts
// counts as waiting; onAccept is called with their number.
func queueConnections(t *testing.T, l *Loop, onAccept func(count int)) (ln *Listener, waited *[]time.Duration) {
	t.Helper()
	waited = &[]time.Duration{}
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(fd int) {
		*waited = append(*waited, l.Now()-ln.EarliestArrival())
		unix.Close(fd)
		onAccept(len(*waited))
	})
	if err != nil {
		t.Fatal(err)
	}
	runUntil(t, l, "the loop has run", func() bool { return true })
	for range queuedConnections {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if _, err := conn.Write([]byte("request")); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(queuedTime)
	return ln, waited
}

// expectQueuedTime runs the loop until all queued connections are accepted, and checks that each counts as waiting for queuedTime.
func expectQueuedTime(t *testing.T, l *Loop, waited *[]time.Duration) {
	t.Helper()
	runUntil(t, l, "all are accepted", func() bool { return len(*waited) == queuedConnections })
	for i, w := range *waited {
		if w < queuedTime {
			t.Errorf("connection %d counts as waiting for %v", i, w)
		}
	}
}
