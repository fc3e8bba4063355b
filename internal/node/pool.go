package node

import (
	"net/netip"
	"slices"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/policy"
)

// protocol encodes requests to a server and decodes its answers; caches.go and origin.go implement one each.
type protocol interface {
	// appendRequest appends the request of an attempt that the node will wait for as long as wait. For a long value it appends
	// only what precedes the value; bodySuffix returns what must follow it.
	appendRequest(buf []byte, t *attempt, wait time.Duration) []byte
	bodySuffix() string
	// parseAnswer parses the first answer in data, whose value may have at most maxValue bytes. used is 0 if the answer is incomplete.
	// If the answer states a value length of more than meta.MaxValue, the value is not waited for: it follows the used bytes.
	parseAnswer(data []byte, t *attempt, maxValue int, eof bool) (a response, used int, err error)
	// namesRequests reports whether values and receipts carry the id of their request. Otherwise answers are told apart by order alone.
	namesRequests() bool
	// canPipeline reports whether a request may be written while another on the same connection is unanswered.
	canPipeline() bool
}

const (
	// maxAnswerOverhead is the maximum number of bytes of an answer besides its value.
	maxAnswerOverhead = 64 << 10
	// maxWriteDelay is how long an attempt may wait in the write buffer of an established connection: the timeout in its request
	// was computed when it was queued.
	maxWriteDelay = 50 * time.Millisecond
)

// pool holds the connections to one server. Each attempt has a connection to itself as long as there are file descriptors: to
// abort an attempt its connection is closed, and an answer queued behind another one is late.
type pool struct {
	node         *Node
	id           string
	addr         netip.AddrPort
	proto        protocol
	ready        bool          // by the server list and the lists of the node's other processes
	banned       bool          // by an operator
	weight       float64       // from the server list
	lastReceived time.Duration // when a connection was last established or bytes were last received
	surplusSeen  bool          // the server has sent more than it was asked for
	surplusAt    time.Duration // when it last did
	conns        []*serverConn
	idle         []*serverConn // those of conns without attempts, longest idle first
}

// updatePool creates or updates the pool of a listed server according to its list entry.
func (n *Node) updatePool(s policy.Server, addr netip.AddrPort) {
	p := n.pools[s.ID]
	if p == nil {
		if s.State == policy.Gone {
			return
		}
		p = &pool{node: n, id: s.ID, addr: addr, banned: n.isBanned(s.ID)}
		n.pools[s.ID] = p
	}
	moved := s.State != policy.Gone && p.addr != addr
	if moved {
		p.addr = addr
	}
	if kind := n.cfg.Settings.OriginKind; kind != "" && s.Kind == kind {
		p.proto = originProtocol{host: p.addr.String()}
	} else {
		p.proto = cacheProtocol{maxPipelined: n.cfg.Transport.MaxRequestsPerConn}
	}
	p.ready, p.weight = s.State == policy.Ready, s.Weight
	if moved {
		for _, l := range slices.Clone(p.conns) {
			l.retiring = true
			l.drain() // the old address may belong to another server by now
		}
	}
}

func (p *pool) isOrigin() bool {
	_, is := p.proto.(originProtocol)
	return is
}

// available reports whether the server may get new attempts.
func (p *pool) available() bool { return p.ready && !p.banned }

// drain closes the idle connections to a server that is draining, gone or banned, and those still being established: the server
// must not get new attempts, and a connection may be established only after the drain grace. Queued attempts of which nothing has
// been written are withdrawn, since they would be written later. Outstanding attempts continue; long values are fetched at once.
func (p *pool) drain() {
	for _, l := range slices.Clone(p.conns) {
		l.drain()
		if l.body != nil {
			l.body.growSendBuffer()
		}
	}
	for _, l := range slices.Clone(p.idle) {
		l.close()
	}
	p.removeIfUnused()
}

// removeIfUnused removes the pool of an unavailable server once it has no connections.
func (p *pool) removeIfUnused() {
	if !p.ready && len(p.conns) == 0 && p.node.pools[p.id] == p {
		delete(p.node.pools, p.id)
	}
}

// send writes an attempt to an idle connection, else to a new one, else, if no file descriptor is left, to one that other attempts use.
func (p *pool) send(t *attempt, wait time.Duration) {
	n := p.node
	if why := n.maySend(t, wait, t.request.client == nil); why != safety.Allowed {
		n.refuseLate(t, why)
		return
	}
	l := p.takeIdle(t)
	switch {
	case l != nil:
	case n.mayDial() || n.closeOldestIdle():
		l = p.dial()
	}
	if l == nil && t.request.upload == nil { // a long value needs a connection to itself, since aborting it closes the connection
		l = p.leastLoaded()
	}
	if l == nil {
		n.loop.Defer(func() { n.attemptFinished(t, response{outcome: policy.ConnectFailed}) })
		return
	}
	n.count.attempts++
	t.link, t.timeout = l, wait
	l.attempts = append(l.attempts, t)
	l.writeRequest(t, wait)
	if u := t.request.upload; u != nil {
		t.endOffset += t.bodyBytes()
		u.sendTo(t)
	}
	l.markWritten()
	l.limitWriteDelay(t)
}

// withdraw removes an attempt that nobody waits for any more, if it has not been sent: queued on a connection that is being
// established or behind other attempts, it would be sent long after its client left. This is allowed even where settings forbid
// cancelling, since nothing has run. A partly written attempt that is alone on its connection is ended by closing that: it has
// not run either.
func (p *pool) withdraw(t *attempt) {
	l := t.link
	if t.done || l == nil || l.closed || l.withdrawAttempt(t, policy.NotSent) {
		return
	}
	if t.endOffset > l.conn.Written() && len(l.attempts) == 1 {
		p.abort(t, response{outcome: policy.NotSent})
	}
}

// timeout ends an attempt that the node stops waiting for, and its connection, so that the server notices; a connection that
// delivers the long value of another attempt stays.
func (p *pool) timeout(t *attempt) {
	l := t.link
	if t.done || l == nil || l.closed {
		return
	}
	end := response{outcome: policy.TimedOut}
	if t.endOffset > l.conn.Written() { // never sent completely
		end.outcome = policy.ConnectFailed
	}
	if p.lastReceived < t.startedAt {
		// Guards against a machine that has disappeared: its open connections stay silent, and each would cost a timeout,
		// whereas a new connection that is not established soon proves that nothing ran.
		for _, l := range slices.Clone(p.idle) {
			l.close()
		}
	}
	p.abort(t, end)
}

// expire ends a retry that has not been sent completely when its dedup window closes: the servers begin to forget the request, and
// it would run a second time.
func (p *pool) expire(t *attempt) {
	l := t.link
	if t.done || l == nil || l.closed || t.endOffset <= l.conn.Written() || l.withdrawAttempt(t, policy.ConnectFailed) {
		return
	}
	l.closeAndFail() // it has been sent in part
}

// cancel ends an attempt whose answer is not needed any more.
func (p *pool) cancel(t *attempt) {
	if t.request.answered {
		p.withdraw(t)
	}
	if !t.done && t.link != nil {
		p.abort(t, response{outcome: policy.Cancelled})
	}
}

// abort ends an attempt before its answer. If the attempt was cancelled and others wait on the connection, or the connection is
// delivering another attempt's long value, it stays open and the answer is discarded when it arrives.
func (p *pool) abort(t *attempt, end response) {
	l := t.link
	t.link = nil
	if i := slices.Index(l.attempts, t); i >= 0 {
		l.attempts[i] = nil
	}
	if l.body != nil && l.body.attempt == t {
		l.body.discard()
	}
	if otherBody := l.body != nil && l.body.attempt != nil; !l.hasOutstanding() || end.outcome != policy.Cancelled && !otherBody {
		l.closeAndFail()
	}
	p.node.attemptFinished(t, end)
}
