package node

// Connections to servers: how many may be open, and which of them an attempt gets.

import (
	"cmp"
	"slices"
	"time"

	"lapisshelf/decide/safety"
)

// maxSettleTime is how long a connection settles after an answer. Where the settings expect connections to come up sooner, it settles for
// the connect timeout: the servers are near, and what they send twice comes as soon.
const maxSettleTime = 250 * time.Millisecond

// takeIdle returns an idle connection on which an attempt may be written, and removes it from the idle ones; nil if there is none. It
// takes the one used last, since the server may be about to close the others, of those that have settled if there are any; for an unsafe
// request the one that has been quiet longest. It closes the stale ones it finds.
func (p *pool) takeIdle(t *attempt) *serverConn {
	for l := p.nextIdle(t.request.class.effect); l != nil; l = p.nextIdle(t.request.class.effect) {
		if !l.conn.Stale() {
			l.unmarkIdle()
			return l
		}
		l.closeStale()
	}
	return nil
}

// nextIdle returns the idle connection that a request with this effect is to use, or nil.
func (p *pool) nextIdle(effect safety.Effect) *serverConn {
	mayCarry := func(l *serverConn) bool { return l.mayCarry(effect) == safety.Allowed }
	if effect == safety.Unsafe {
		if i := slices.IndexFunc(p.idle, mayCarry); i >= 0 {
			return p.idle[i]
		}
		return nil
	}
	var unsettled *serverConn
	for _, l := range slices.Backward(p.idle) {
		switch {
		case !mayCarry(l):
		case l.mayCarry(safety.Unsafe) == safety.Allowed: // no copy of an answer can come on it
			return l
		case unsettled == nil:
			unsettled = l
		}
	}
	return unsettled
}

// closeStale closes an idle connection that the server has closed, or on which it has sent bytes that nobody asked for. Guards against
// a request on a connection that the server has already closed, which may count as run.
func (l *serverConn) closeStale() {
	if l.conn.Unread() {
		l.pool.noteSurplus()
	}
	l.close()
}

// mayCarry checks whether a request with this effect may be written on the connection: its answer must not be mistaken for an earlier
// one's.
func (l *serverConn) mayCarry(effect safety.Effect) safety.Reason {
	p := l.pool
	now := p.node.loop.Now()
	return safety.CheckReuse(safety.Reuse{LastNamed: l.lastNamed, ServerNames: p.proto.namesRequests(), Effect: effect,
		Quiet: now - l.lastReceived, SettleTime: p.node.settleTime(), SurplusSeen: p.surplusSeen, SinceSurplus: now - p.surplusAt})
}

// settleTime returns how long after an answer a connection settles: bytes of it that have not arrived by then are taken not to come. It
// only delays the next use of the connection, and ends nothing.
func (n *Node) settleTime() time.Duration {
	return min(cmp.Or(n.cfg.Transport.ConnectTimeout, maxSettleTime), maxSettleTime)
}

// mayIdle reports whether any attempt may be written on the connection later.
func (l *serverConn) mayIdle() bool {
	return l.pool.proto.namesRequests() || l.mayCarry(safety.Safe) != safety.SurplusExpected
}

// sendsSurplus reports whether the server has lately sent more than it was asked for.
func (p *pool) sendsSurplus() bool {
	return p.surplusSeen && p.node.loop.Now()-p.surplusAt < safety.SurplusMemory
}

// noteSurplus notes that the server has sent bytes that nobody asked for.
func (p *pool) noteSurplus() {
	p.node.count.surplusAnswers++
	p.surplusSeen, p.surplusAt = true, p.node.loop.Now()
}

// dial opens a connection. It returns nil if that fails immediately.
func (p *pool) dial() *serverConn {
	n := p.node
	l := &serverConn{pool: p, lastNamed: true}
	conn, err := n.loop.Dial(p.addr, l)
	if err != nil {
		n.count.dialsFailed++
		return nil
	}
	l.conn = conn
	p.conns = append(p.conns, l)
	n.serverConns++
	n.count.serverConns++
	if limit := n.cfg.Transport.ConnectTimeout; limit > 0 {
		l.timer = n.loop.After(limit, l.closeAndFail)
	}
	return l
}

// maxConns returns how many connections the node may have, of clients and to servers; openConns returns how many descriptors they and
// the ones in the reserve use. The control address has descriptors of its own.
func (n *Node) maxConns() int {
	return n.maxSockets() - n.reservedSockets() - n.control.ReservedDescriptors()
}

func (n *Node) openConns() int { return n.loop.OpenSockets() - n.control.OpenDescriptors() }

// maxConnsWithReserve returns how many connections the node may have including the reserve.
func (n *Node) maxConnsWithReserve() int {
	return n.maxConns() + n.reservedSockets() - min(internalSockets, n.maxSockets()/4)
}

// maxServerConns returns how many of the connections may be to servers, minServerConns how many are kept free of clients for servers.
func (n *Node) maxServerConns() int { return max(n.minServerConns(), n.maxConns()*2/5) }

func (n *Node) minServerConns() int { return max(1, n.maxConns()/8) }

// mayDial reports whether one more connection to a server may be opened. Clients in the reserve do not reduce what servers may have.
func (n *Node) mayDial() bool {
	// Guards against clients that use up all connections including the reserve: when no server connection was left, as after an
	// idle period or a change of servers, every request failed and every server was skipped for as long as the clients came.
	belowMax := n.serverConns < n.maxServerConns() && n.openConns()-n.clients.reserved < n.maxConns()
	return n.openConns() < n.maxConnsWithReserve() && (belowMax || n.serverConns < n.minServerConns())
}

// closeOldestIdle closes the server connection that has been idle longest. It reports whether there was one.
func (n *Node) closeOldestIdle() bool {
	var oldest *serverConn
	for _, p := range n.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].idleSince < oldest.idleSince) {
			oldest = p.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	n.count.serverConnsShed++
	oldest.close()
	return true
}

// leastLoaded returns the connection with the fewest attempts that may take one more, or nil.
func (p *pool) leastLoaded() *serverConn {
	if p.proto == nil || !p.proto.canPipeline() {
		return nil
	}
	var best *serverConn
	for _, l := range p.conns {
		if !l.retiring && l.body == nil && l.upload == nil && len(l.attempts) < p.node.cfg.Transport.MaxRequestsPerConn && (best == nil || len(l.attempts) < len(best.attempts)) {
			best = l
		}
	}
	if best != nil {
		p.node.count.pipelined++
	}
	return best
}

// markIdle adds a connection without attempts to the idle ones, or closes it if it must get no new attempts.
func (l *serverConn) markIdle() {
	if l.closed || !l.connected || len(l.attempts) > 0 {
		return
	}
	p := l.pool
	if l.retiring || !p.available() || len(l.input) > 0 || !l.mayIdle() {
		l.close()
		return
	}
	if slices.Contains(p.idle, l) {
		return
	}
	l.idleSince = p.node.loop.Now()
	p.idle = append(p.idle, l)
	if limit := p.node.cfg.Transport.ConnIdle; limit > 0 { // half of it, so that the node closes well before the server does
		l.timer.Stop()
		l.timer = p.node.loop.After(limit/2, l.close)
	}
}

// unmarkIdle removes a connection from the idle ones.
func (l *serverConn) unmarkIdle() {
	if i := slices.Index(l.pool.idle, l); i >= 0 {
		l.pool.idle = slices.Delete(l.pool.idle, i, i+1)
		l.timer.Stop()
	}
}
