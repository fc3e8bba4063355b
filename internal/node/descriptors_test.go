package node

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"lapisshelf/internal/control"
)

// fillWithClients has clients connect, one by one, until a condition holds. They say nothing and stay, and nothing is closed for it.
func (b *bench) fillWithClients(until func() bool) {
	b.t.Helper()
	n := b.node
	n.clients.closing = true // thin does nothing
	defer func() { n.clients.closing = false }()
	for i := 0; !until(); i++ {
		if i > n.sockets() {
			b.t.Fatal("clients take more than there is")
		}
		conn, err := net.Dial("tcp", b.listens().String())
		if err != nil {
			b.t.Fatal(err)
		}
		b.t.Cleanup(func() { conn.Close() })
		before := n.count.clientsIn
		b.run("it is taken in", func() bool { return n.count.clientsIn > before })
		for c := range n.clients.all { // and tidy does nothing, however slow the machine
			c.incompleteSince, c.lastActive = n.loop.Now()+time.Hour, n.loop.Now()+time.Hour
		}
	}
}

// markAllIdle has all of them have asked, and been answered.
func (b *bench) markAllIdle() {
	for c := range b.node.clients.all {
		c.sentCommand = true
		c.moveTo(b.node.clients.idle)
	}
}

// Guards against clients who fill the room and the reserve: servers to whom no connection stands, and the call for the list,
// still get their descriptors.
func TestClientsLeaveDescriptorsForServersAndDiscovery(t *testing.T) {
	b := newBench(t)
	n := b.node
	n.cfg.Sockets = 64
	b.fillWithClients(n.clients.reserveFull)
	if left := n.brim() - n.open(); left < n.linkLeast()+discoverySockets {
		t.Errorf("%d descriptors are left, of which servers must have %d and the list %d", left, n.linkLeast(), discoverySockets)
	}
	for c := range n.clients.all { // each has asked, and sent one away that had not
		c.setInReserve(false)
	}
	for i := range n.linkLeast() {
		if !n.mayDial() || b.pool.dial() == nil {
			t.Fatalf("connection %d to a server finds no room", i)
		}
	}
	if n.mayDial() {
		t.Error("servers take more than they must have from a full house")
	}
	if !n.clients.reserveFull() || n.open() > n.brim() {
		t.Errorf("%d of %d descriptors are taken, and there is room for a client", n.open(), n.brim())
	}
}

// Guards against clients in the reserve, or refused and not yet gone, who are counted in the room: it would be full of them.
func TestReservedClientsDoNotCountAgainstTheRoom(t *testing.T) {
	b := newBench(t)
	n := b.node
	n.cfg.Sockets = 64
	b.fillWithClients(n.clients.reserveFull)
	if n.clients.reserved == 0 {
		t.Fatal("nobody stands in the reserve")
	}
	reserved, left := n.clients.reserved, 10
	n.clients.closing = true
	for c := range n.clients.all {
		if !c.inReserve && left > 0 {
			left--
			c.closeNow(closedForCapacity)
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
		if c.inReserve {
			c.closeGracefully(closedIdle)
		}
	}
	b.run("those of the reserve are gone", func() bool { return n.clients.lingering.Len() == 0 })
	if n.clients.reserved != 0 {
		t.Errorf("%d descriptors of the reserve are held by nobody", n.clients.reserved)
	}
}

// Guards against clients that don't close what the node has ended: in a full house they are waited for only until they have
// acknowledged their answers.
func TestFullNodeClosesLingeringConnections(t *testing.T) {
	b := newBench(t)
	n := b.node
	n.cfg.Sockets = 64
	b.fillWithClients(n.clients.reserveFull)
	b.markAllIdle()
	n.clients.closing = true
	for range 5 {
		front(n.clients.idle).closeGracefully(closedIdle)
	}
	b.fillWithClients(n.clients.reserveFull)
	n.clients.closing = true
	first := front(n.clients.lingering)
	if first == nil || n.clients.evictLingering() {
		t.Fatal("nobody is waited for, or no time at all")
	}
	b.run("a moment has passed", func() bool { return n.loop.Now()-first.lastActive >= shortLingerTimeout })
	n.clients.closing = false
	n.clients.enforceLimits()
	if got := n.clients.lingering.Len(); got == 5 || n.clients.reserveFull() {
		t.Errorf("%d are waited for in a full house", got)
	}
}

// Guards against a process with few descriptors, as one of two is, that keeps the few clients it has places for idle for long.
func TestIdleTimeoutShrinksWithFewDescriptors(t *testing.T) {
	b := newBench(t)
	n := b.node
	n.cfg.Sockets = 30
	var err error
	if n.control, err = control.Listen(n.loop, netip.MustParseAddrPort("127.0.0.1:0"), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.control.Close)
	b.fillWithClients(n.clients.reserveFull) // the reserve has no place beyond that
	if got := len(n.clients.all); got < 4 {
		t.Fatalf("places for %d clients only", got)
	}
	b.markAllIdle()
	if got := n.clients.idleTimeout(); got != minIdleTimeout {
		t.Errorf("with all places taken an idle client is kept for %s", got)
	}
}

// connectClients has so many clients connect without a word; the system takes them in its queue.
func (b *bench) connectClients(clients int) (all []net.Conn) {
	b.t.Helper()
	for range clients {
		conn, err := net.DialTimeout("tcp", b.listens().String(), 5*time.Second)
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
		"drained": func(n *Node) { n.draining, n.drainDeadline = true, n.loop.Now()+time.Hour },
		"ending":  func(n *Node) { n.shuttingDown, n.answerDeadline = true, n.loop.Now()+time.Hour },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			n := b.node
			n.cfg.Sockets = 64
			before := n.count.clientsIn
			all := b.connectClients(2 * n.cfg.Sockets)
			begin(n)
			n.clients.startClosing()
			for range 10 {
				b.run("a look", func() bool { return true })
				if left := n.brim() - n.open(); left < n.linkLeast()+discoverySockets {
					t.Fatalf("%d descriptors are left, of which servers must have %d and the list %d", left, n.linkLeast(), discoverySockets)
				}
			}
			if n.count.clientsIn == before || !n.shuttingDown && !n.clients.reserveFull() {
				t.Errorf("%d are taken in, where there is room", n.count.clientsIn-before)
			}
			if !n.shuttingDown && n.count.clientsShed > 0 {
				t.Errorf("%d are shut, who could wait", n.count.clientsShed)
			}
			if !n.mayDial() || b.pool.dial() == nil {
				t.Error("a connection to a server finds no room")
			}
			for _, c := range all {
				c.Close()
			}
			if n.shuttingDown {
				return
			}
			for _, what := range []string{"in the drain", "behind it"} {
				b.run("the crowd is gone", func() bool { return len(n.clients.all) == 0 && n.clients.lingering.Len() == 0 })
				before := n.count.clientsIn
				b.connectClients(1)[0].Close()
				b.run("one is taken in "+what, func() bool { return n.count.clientsIn > before })
				b.run("it is gone", func() bool { return len(n.clients.all) == 0 && n.clients.lingering.Len() == 0 })
				n.clients.listener.SetPaused(true) // as in a full house, of which the last has gone
				n.draining = false
				n.clients.stopDrain()
			}
		})
	}
}
