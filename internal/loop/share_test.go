package loop

import (
	"errors"
	"net"
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"
)

// An address is shared only while its holder lets it: two processes by mistake would divide the clients unnoticed. One that
// joins gets all new connections, and nothing is lost when the earlier one closes.
func TestSharedAddress(t *testing.T) {
	l := newLoop(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(free.Addr().String())
	free.Close()
	taken := map[string]int{}
	accept := func(who string) func(int) {
		return func(fd int) {
			taken[who]++
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
		t.Errorf("joined one that does not share: %v", err)
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
	dial(5) // they wait in the old one's queue
	fresh, err := l.ListenShared(addr, 1, accept("fresh"))
	if err != nil {
		t.Fatal(err)
	}
	if !fresh.SteersConnections() {
		t.Skip("the system does not steer connections")
	}
	old.SetShared(false)
	dial(20)
	until(t, l, "the new one has them all", func() bool { return taken["fresh"] == 20 })
	if old.Close(); taken["old"] != 5 {
		t.Errorf("%d of 5 connections taken at the close", taken["old"])
	}
	dial(20)
	until(t, l, "the new one has them all", func() bool { return taken["fresh"] == 40 })
	refused("after the old one's end")
	fresh.SetShared(true) // and once more
	newest, err := l.ListenShared(addr, 1, accept("newest"))
	if err != nil {
		t.Fatal(err)
	}
	dial(20)
	until(t, l, "the newest has them", func() bool { return taken["newest"] == 20 })
	newest.Close() // it fails: the one before goes on
	dial(20)
	until(t, l, "the one before has them again", func() bool { return taken["fresh"] == 60 })
}
