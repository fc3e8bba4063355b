package node

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"lapisshelf/internal/control"
)

// fill has clients connect, one by one, until a condition holds. They say nothing and stay, and nothing is closed for it.
func (b *harness) fill(until func() bool) {
	b.t.Helper()
	n := b.node
	n.clients.closing = true // thin does nothing
	defer func() { n.clients.closing = false }()
	for i := 0; !until(); i++ {
		if i > n.maxSockets() {
			b.t.Fatal("clients take more than there is")
		}
		conn, err := net.Dial("tcp", b.clientAddr().String())
		if err != nil {
			b.t.Fatal(err)
		}
		b.t.Cleanup(func() { conn.Close() })
		before := n.count.clientsAccepted
		b.runUntil("it is taken in", func() bool { return n.count.clientsAccepted > before })
		for c := range n.clients.all { // and tidy does nothing, however slow the machine
			c.since, c.used = n.loop.Now()+time.Hour, n.loop.Now()+time.Hour
		}
	}
}

// idle has all of them have asked, and been answered.
func (b *harness) idle() {
	for c := range b.node.clients.all {
		c.asked = true
		c.rest(b.node.clients.idle)
	}
}

// Guards against clients who fill the room and the reserve: servers to whom no connection stands, and the call for the list,
// still get their descriptors.
func TestClientsLeaveServersAndTheListTheirs(t *testing.T) {
	b := newHarness(t)
	n := b.node
	n.cfg.Sockets = 64
	b.fill(n.clients.brimful)
	if left := n.maxConnsWithReserve() - n.openConns(); left < n.minServerConns()+listSockets {
		t.Errorf("%d descriptors are left, of which servers must have %d and the list %d", left, n.minServerConns(), listSockets)
	}
	for c := range n.clients.all { // each has asked, and sent one away that had not
		c.seat(false)
	}
	for i := range n.minServerConns() {
		if !n.mayDial() || b.pool.dial() == nil {
			t.Fatalf("connection %d to a server finds no room", i)
		}
	}
	if n.mayDial() {
		t.Error("servers take more than they must have from a full house")
	}
	if !n.clients.brimful() || n.openConns() > n.maxConnsWithReserve() {
		t.Errorf("%d of %d descriptors are taken, and there is room for a client", n.openConns(), n.maxConnsWithReserve())
	}
}

// Guards against clients in the reserve, or refused and not yet gone, who are counted in the room: it would be full of them.
func TestTheReserveTakesNoRoom(t *testing.T) {
	b := newHarness(t)
	n := b.node
	n.cfg.Sockets = 64
	b.fill(n.clients.brimful)
	if n.clients.reserved == 0 {
		t.Fatal("nobody stands in the reserve")
	}
	reserved, left := n.clients.reserved, 10
	n.clients.closing = true
	for c := range n.clients.all {
		if !c.excess && left > 0 {
			left--
			c.cut(closedForRoom)
		}
	}
	if n.clients.full() || n.clients.reserved != reserved {
		t.Error("the house is full of clients in the reserve")
	}
	for i := range 10 {
		if !n.mayDial() || b.pool.dial() == nil {
			t.Fatalf("connection %d to a server finds no room", i)
		}
	}
	for c := range n.clients.all { // however they end, they give their places back
		if c.excess {
			c.finish(closedIdle)
		}
	}
	b.runUntil("those of the reserve are gone", func() bool { return n.clients.parted.Len() == 0 })
	if n.clients.reserved != 0 {
		t.Errorf("%d descriptors of the reserve are held by nobody", n.clients.reserved)
	}
}

// Guards against clients that don't close what the node has ended: in a full house they are waited for only until they have
// acknowledged their answers.
func TestAFullHouseWaitsForNobodyToFinish(t *testing.T) {
	b := newHarness(t)
	n := b.node
	n.cfg.Sockets = 64
	b.fill(n.clients.brimful)
	b.idle()
	n.clients.closing = true
	for range 5 {
		front(n.clients.idle).finish(closedIdle)
	}
	b.fill(n.clients.brimful)
	n.clients.closing = true
	first := front(n.clients.parted)
	if first == nil || n.clients.part() {
		t.Fatal("nobody is waited for, or no time at all")
	}
	b.runUntil("a moment has passed", func() bool { return n.loop.Now()-first.used >= partShort })
	n.clients.closing = false
	n.clients.thin()
	if got := n.clients.parted.Len(); got == 5 || n.clients.brimful() {
		t.Errorf("%d are waited for in a full house", got)
	}
}

// Guards against a process with few descriptors, as one of two is, that keeps the few clients it has places for idle for long.
func TestFewPlacesAreNotKeptIdle(t *testing.T) {
	b := newHarness(t)
	n := b.node
	n.cfg.Sockets = 30
	var err error
	if n.control, err = control.Listen(n.loop, netip.MustParseAddrPort("127.0.0.1:0"), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.control.Close)
	b.fill(n.clients.brimful) // the reserve has no place beyond that
	if got := len(n.clients.all); got < 4 {
		t.Fatalf("places for %d clients only", got)
	}
	b.idle()
	if got := n.clients.idleMost(); got != idleLeast {
		t.Errorf("with all places taken an idle client is kept for %s", got)
	}
}

// connect has so many clients connect without a word; the system takes them in its queue.
func (b *harness) connect(clients int) (all []net.Conn) {
	b.t.Helper()
	for range clients {
		conn, err := net.DialTimeout("tcp", b.clientAddr().String(), 5*time.Second)
		if err != nil {
			b.t.Fatal(err)
		}
		b.t.Cleanup(func() { conn.Close() })
		all = append(all, conn)
	}
	return all
}

// Guards against idle clients that take all descriptors of a node that sends its clients away: thin, which keeps to the room, did
// nothing while connections close, and the listen queue was taken whole as the listener closed. Servers and the list keep theirs,
// whether an operator drains the node or it ends; those who come later are taken in as soon as there is room, in a drain and
// behind it.
func TestIdleClientsAtANodeThatSendsClientsAway(t *testing.T) {
	for name, begin := range map[string]func(n *Node){
		"drained": func(n *Node) { n.lame, n.lameUntil = true, n.loop.Now()+time.Hour },
		"ending":  func(n *Node) { n.leaving, n.lastAnswer = true, n.loop.Now()+time.Hour },
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			n := b.node
			n.cfg.Sockets = 64
			before := n.count.clientsAccepted
			all := b.connect(2 * n.cfg.Sockets)
			begin(n)
			n.clients.empty()
			for range 10 {
				b.runUntil("a look", func() bool { return true })
				if left := n.maxConnsWithReserve() - n.openConns(); left < n.minServerConns()+listSockets {
					t.Fatalf("%d descriptors are left, of which servers must have %d and the list %d", left, n.minServerConns(), listSockets)
				}
			}
			if n.count.clientsAccepted == before || !n.leaving && !n.clients.brimful() {
				t.Errorf("%d are taken in, where there is room", n.count.clientsAccepted-before)
			}
			if !n.leaving && n.count.clientsShed > 0 {
				t.Errorf("%d are shut, who could wait", n.count.clientsShed)
			}
			if !n.mayDial() || b.pool.dial() == nil {
				t.Error("a connection to a server finds no room")
			}
			for _, c := range all {
				c.Close()
			}
			if n.leaving {
				return
			}
			for _, what := range []string{"in the drain", "behind it"} {
				b.runUntil("the crowd is gone", func() bool { return len(n.clients.all) == 0 && n.clients.parted.Len() == 0 })
				before := n.count.clientsAccepted
				b.connect(1)[0].Close()
				b.runUntil("one is taken in "+what, func() bool { return n.count.clientsAccepted > before })
				b.runUntil("it is gone", func() bool { return len(n.clients.all) == 0 && n.clients.parted.Len() == 0 })
				n.clients.listener.SetPaused(true) // as in a full house, of which the last has gone
				n.lame = false
				n.clients.resume()
			}
		})
	}
}
