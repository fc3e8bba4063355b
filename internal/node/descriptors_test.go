package node

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"lapisshelf/internal/control"
)

// fillWithClients connects clients one by one until a condition holds. They send nothing and stay, and none of them is closed for
// that.
func (b *harness) fillWithClients(until func() bool) {
	b.t.Helper()
	n := b.node
	n.clients.closing = true // enforceLimits then closes nothing
	defer func() { n.clients.closing = false }()
	for i := 0; !until(); i++ {
		if i > n.maxSockets() {
			b.t.Fatal("more clients connected than there are descriptors")
		}
		conn, err := net.Dial("tcp", b.clientAddr().String())
		if err != nil {
			b.t.Fatal(err)
		}
		b.t.Cleanup(func() { conn.Close() })
		before := n.count.clientsAccepted
		b.runUntil("the client is accepted", func() bool { return n.count.clientsAccepted > before })
		for c := range n.clients.all { // nor does closeTimedOut, however slow the machine
			c.incompleteSince, c.lastActive = n.loop.Now()+time.Hour, n.loop.Now()+time.Hour
		}
	}
}

// markAllIdle makes all clients idle ones that have sent a request.
func (b *harness) markAllIdle() {
	for c := range b.node.clients.all {
		c.sentCommand = true
		c.moveTo(b.node.clients.idle)
	}
}

// Guards against clients that fill the room and the reserve: servers without a connection, and the call to discovery, must still
// get their descriptors.
func TestClientsLeaveDescriptorsForServersAndDiscovery(t *testing.T) {
	b := newHarness(t)
	n := b.node
	n.cfg.Sockets = 64
	b.fillWithClients(n.clients.reserveFull)
	if left := n.maxConnsWithReserve() - n.openConns(); left < n.minServerConns()+discoverySockets {
		t.Errorf("%d descriptors are left, but servers must be left %d and discovery %d", left, n.minServerConns(), discoverySockets)
	}
	for c := range n.clients.all { // as if each had sent a request and had evicted one that had not
		c.setInReserve(false)
	}
	for i := range n.minServerConns() {
		if !n.mayDial() || b.pool.dial() == nil {
			t.Fatalf("no room for connection %d to a server", i)
		}
	}
	if n.mayDial() {
		t.Error("a full node lets servers have more than they must be left")
	}
	if !n.clients.reserveFull() || n.openConns() > n.maxConnsWithReserve() {
		t.Errorf("%d of %d descriptors are in use, and there is room for a client", n.openConns(), n.maxConnsWithReserve())
	}
}

// Guards against counting clients of the reserve, or refused ones that linger, in the room: they would fill it.
func TestReservedClientsDoNotCountAgainstTheRoom(t *testing.T) {
	b := newHarness(t)
	n := b.node
	n.cfg.Sockets = 64
	b.fillWithClients(n.clients.reserveFull)
	if n.clients.reserved == 0 {
		t.Fatal("no client is in the reserve")
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
		t.Error("clients in the reserve fill the room")
	}
	for i := range 10 {
		if !n.mayDial() || b.pool.dial() == nil {
			t.Fatalf("no room for connection %d to a server", i)
		}
	}
	for c := range n.clients.all { // their places are freed however they end
		if c.inReserve {
			c.closeGracefully(closedIdle)
		}
	}
	b.runUntil("the clients of the reserve are gone", func() bool { return n.clients.lingering.Len() == 0 })
	if n.clients.reserved != 0 {
		t.Errorf("%d descriptors of the reserve are counted after all clients have gone", n.clients.reserved)
	}
}

// Guards against clients that don't close a connection that the node has ended: a full node waits for them only until they have
// acknowledged their answers.
func TestFullNodeClosesLingeringConnections(t *testing.T) {
	b := newHarness(t)
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
		t.Fatal("no connection lingers, or it was closed at once")
	}
	b.runUntil("shortLingerTimeout has passed", func() bool { return n.loop.Now()-first.lastActive >= shortLingerTimeout })
	n.clients.closing = false
	n.clients.enforceLimits()
	if got := n.clients.lingering.Len(); got == 5 || n.clients.reserveFull() {
		t.Errorf("%d connections linger in a full node", got)
	}
}

// Guards against a process with few descriptors, such as one of two during an upgrade, that keeps idle connections for long in
// the few places it has for clients.
func TestIdleTimeoutShrinksWithFewDescriptors(t *testing.T) {
	b := newHarness(t)
	n := b.node
	n.cfg.Sockets = 30
	var err error
	if n.control, err = control.Listen(n.loop, netip.MustParseAddrPort("127.0.0.1:0"), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.control.Close)
	b.fillWithClients(n.clients.reserveFull) // the reserve has no place beyond those
	if got := len(n.clients.all); got < 4 {
		t.Fatalf("room for %d clients only", got)
	}
	b.markAllIdle()
	if got := n.clients.idleTimeout(); got != minIdleTimeout {
		t.Errorf("with all places taken an idle client is kept for %s", got)
	}
}

// connectClients connects clients that send nothing; the system keeps them in the listen queue.
func (b *harness) connectClients(clients int) (all []net.Conn) {
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

// Guards against idle clients that take all descriptors of a draining node: enforceLimits did nothing while connections were
// being closed, and the whole listen queue was accepted when the listener closed. Servers and discovery must keep their
// descriptors, whether an operator drains the node or it shuts down; later clients are accepted as soon as there is room, during
// a drain and after it.
func TestIdleClientsAtANodeThatSendsClientsAway(t *testing.T) {
	for name, begin := range map[string]func(n *Node){
		"drained": func(n *Node) { n.draining, n.drainDeadline = true, n.loop.Now()+time.Hour },
		"ending":  func(n *Node) { n.shuttingDown, n.answerDeadline = true, n.loop.Now()+time.Hour },
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			n := b.node
			n.cfg.Sockets = 64
			before := n.count.clientsAccepted
			all := b.connectClients(2 * n.cfg.Sockets)
			begin(n)
			n.clients.startClosing()
			for range 10 {
				b.runUntil("a turn of the loop", func() bool { return true })
				if left := n.maxConnsWithReserve() - n.openConns(); left < n.minServerConns()+discoverySockets {
					t.Fatalf("%d descriptors are left, but servers must be left %d and discovery %d", left, n.minServerConns(), discoverySockets)
				}
			}
			if n.count.clientsAccepted == before || !n.shuttingDown && !n.clients.reserveFull() {
				t.Errorf("%d clients accepted, where there is room", n.count.clientsAccepted-before)
			}
			if !n.shuttingDown && n.count.clientsShed > 0 {
				t.Errorf("%d connections closed that could have waited", n.count.clientsShed)
			}
			if !n.mayDial() || b.pool.dial() == nil {
				t.Error("no room for a connection to a server")
			}
			for _, c := range all {
				c.Close()
			}
			if n.shuttingDown {
				return
			}
			for _, what := range []string{"in the drain", "after it"} {
				b.runUntil("all clients are gone", func() bool { return len(n.clients.all) == 0 && n.clients.lingering.Len() == 0 })
				before := n.count.clientsAccepted
				b.connectClients(1)[0].Close()
				b.runUntil("a client is accepted "+what, func() bool { return n.count.clientsAccepted > before })
				b.runUntil("that client is gone", func() bool { return len(n.clients.all) == 0 && n.clients.lingering.Len() == 0 })
				n.clients.listener.SetPaused(true) // as in a full node whose last client has gone
				n.draining = false
				n.clients.stopDrain()
			}
		})
	}
}
