package node

import (
	"cmp"
	"log"
	"net/netip"
	"slices"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/internal/loop"
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
	// canPipeline reports whether a request may be written while another on the same connection is unanswered.
	canPipeline() bool
}

const (
	// maxAnswerOverhead is the maximum number of bytes of an answer besides its value.
	maxAnswerOverhead = 64 << 10
	// maxWriteDelay is how long an attempt may wait in the write buffer of an established connection: the timeout in its request
	// was computed when it was queued.
	maxWriteDelay = 50 * time.Millisecond
	// defaultStallTimeout is how long an incomplete answer may make no progress if the settings have no connect timeout: the rest of
	// an answer takes about as long to arrive as a connection takes to be established.
	defaultStallTimeout = 250 * time.Millisecond
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
	conns        []*serverConn
	idle         []*serverConn // those of conns without attempts, longest idle first
}

// serverConn is one connection to a server. Only close releases it.
type serverConn struct {
	pool           *pool
	conn           *loop.Conn
	attempts       []*attempt // in the order of their requests; nil for an aborted attempt whose answer is still to come
	input          []byte
	accountedBytes int         // buffered bytes that are included in the count for the node
	timer          *loop.Timer // connect timeout, idle timeout or stall timeout of an answer
	idleSince      time.Duration
	connected      bool
	closed         bool
	hasAnswered    bool    // an answer has been received on it
	body           *body   // long value being received
	upload         *upload // long value being sent
	readPaused     bool    // backpressure: the client of the long value does not read
	retiring       bool    // the server has moved or the connection is ending: it gets no new attempts
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

// drain ends a connection that is still being established, and withdraws the attempts on an established one of which nothing has
// been written.
func (l *serverConn) drain() {
	if !l.connected {
		l.closeAndFail()
	}
	l.withdrawUnwritten()
	l.markIdle()
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
	l := p.lastIdle()
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
	l.unmarkIdle()
	t.link, t.timeout = l, wait
	l.attempts = append(l.attempts, t)
	l.writeRequest(t, wait)
	if u := t.request.upload; u != nil {
		t.endOffset += int64(t.request.command.LongSize + len(p.proto.bodySuffix()))
		u.sendTo(t)
	}
	l.markWritten()
	l.limitWriteDelay(t)
}

// limitWriteDelay withdraws an attempt that stays in the write buffer for longer than maxWriteDelay. Guards against a server that
// stops reading and resumes later: it would work for a client that has stopped waiting.
func (l *serverConn) limitWriteDelay(t *attempt) {
	if l.connected && !t.written && t.request.upload == nil {
		t.writeTimer = l.pool.node.loop.After(maxWriteDelay, func() {
			if !t.done && t.link == l {
				l.withdrawAttempt(t, policy.ConnectFailed)
			}
		})
	}
}

// writeRequest writes an attempt's request, which states how long the node waits for the answer.
func (l *serverConn) writeRequest(t *attempt, wait time.Duration) {
	text := l.pool.proto.appendRequest(nil, t, wait)
	t.startOffset = l.conn.WriteOffset()
	t.endOffset = t.startOffset + int64(len(text)) // set before Write, so that bytes discarded by a broken connection count as unwritten
	l.conn.Write(text)
	t.queued = l.conn.Written() <= t.startOffset
}

// remainingWait returns how long the node still waits for an attempt that was queued earlier. A planned shutdown may have shortened it.
func (t *attempt) remainingWait(now time.Duration) time.Duration {
	return min(t.timeout-(now-t.startedAt), t.request.attemptsUntil-now)
}

// rewriteRequests replaces the requests that were queued while the connection was being established by ones that state the time
// that remains now: with the old timeouts the server would work for clients that have stopped waiting. Requests that may not be
// sent any more are dropped.
func (l *serverConn) rewriteRequests() {
	now, oldEnd := l.pool.node.loop.Now(), l.conn.WriteOffset()
	if len(l.attempts) == 0 || slices.ContainsFunc(l.attempts, func(t *attempt) bool { return t != nil && t.request.upload != nil }) {
		return // a long value may not be kept in full, so it cannot be rewritten; it has the connection to itself
	}
	l.attempts = slices.DeleteFunc(l.attempts, func(t *attempt) bool {
		if t == nil {
			return true
		}
		why := l.pool.node.maySend(t, t.remainingWait(now), t.request.client == nil)
		if why != safety.Allowed {
			t.link = nil
			l.pool.node.refuseSend(t, why)
		}
		return why != safety.Allowed
	})
	for _, t := range l.attempts {
		l.writeRequest(t, t.remainingWait(now))
		t.startOffset, t.endOffset = t.startOffset-oldEnd, t.endOffset-oldEnd
	}
	l.conn.CancelWrite(0, oldEnd) // nothing has been passed to the kernel yet
}

// withdrawUnwritten withdraws the attempts of which no byte has been written.
func (l *serverConn) withdrawUnwritten() {
	for i := len(l.attempts) - 1; i >= 0 && !l.closed; i-- {
		if t := l.attempts[i]; t != nil && !l.withdrawAttempt(t, policy.ConnectFailed) {
			break
		}
	}
}

// withdrawAttempt removes an attempt and its request from the connection if no byte of the request has been passed to the kernel:
// the attempt has never run. It reports whether it did so.
func (l *serverConn) withdrawAttempt(t *attempt, o policy.Outcome) bool {
	end := t.endOffset
	if t.request.upload != nil { // it has the connection to itself, and its value may be incomplete
		end = l.conn.WriteOffset()
	}
	i := slices.Index(l.attempts, t)
	if i < 0 || l.closed || !l.conn.CancelWrite(t.startOffset, end) {
		return false
	}
	for _, x := range l.attempts[i+1:] {
		if x != nil {
			x.startOffset, x.endOffset = x.startOffset-(end-t.startOffset), x.endOffset-(end-t.startOffset)
		}
	}
	t.link, l.upload, l.attempts = nil, nil, slices.Delete(l.attempts, i, i+1)
	l.pool.node.attemptFinished(t, response{outcome: o})
	return true
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

// markWritten marks and counts the attempts whose requests have been written completely.
func (l *serverConn) markWritten() {
	for i := len(l.attempts) - 1; i >= 0; i-- {
		if t := l.attempts[i]; t != nil && !t.written && t.endOffset <= l.conn.Written() {
			t.written = true
			l.pool.node.count.written++
			l.pool.node.recordAttempt(attemptWritten, t, 0, 0)
			if t.queued && t.request.upload == nil {
				l.pool.node.checkWritten(t)
			}
		}
	}
}

// lastIdle returns the most recently used idle connection that the server has not closed, or nil. It closes the stale ones it finds.
func (p *pool) lastIdle() *serverConn {
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		if !l.conn.Stale() {
			return l
		}
		l.close() // guards against a request on a connection that the server has already closed, which may count as run
	}
	return nil
}

// dial opens a connection. It returns nil if that fails immediately.
func (p *pool) dial() *serverConn {
	n := p.node
	l := &serverConn{pool: p}
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

// hasOutstanding reports whether an attempt on the connection waits for its answer.
func (l *serverConn) hasOutstanding() bool {
	return slices.ContainsFunc(l.attempts, func(x *attempt) bool { return x != nil })
}

// markIdle adds a connection without attempts to the idle ones, or closes it if it must get no new attempts.
func (l *serverConn) markIdle() {
	if l.closed || !l.connected || len(l.attempts) > 0 {
		return
	}
	p := l.pool
	if l.retiring || !p.available() || len(l.input) > 0 {
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

// close closes the connection and releases its buffers; its attempts are left to the caller.
func (l *serverConn) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.timer.Stop()
	l.unmarkIdle()
	l.conn.Close()
	l.input = nil
	if l.body != nil {
		l.body.buffered = nil
		l.body.timer.Stop()
	}
	l.updateBuffered()
	p := l.pool
	p.conns = slices.DeleteFunc(p.conns, func(x *serverConn) bool { return x == l })
	p.node.serverConns--
	p.removeIfUnused()
}

// updateBuffered updates the node's count of the bytes buffered for incomplete answers.
func (l *serverConn) updateBuffered() {
	held := cap(l.input)
	if l.body != nil {
		held += cap(l.body.buffered)
	}
	l.pool.node.responseBytes += held - l.accountedBytes
	l.accountedBytes = held
}

// closeAndFail closes the connection and ends its attempts. Those whose requests were not written completely have never run; the
// others may have.
func (l *serverConn) closeAndFail() {
	if l.closed {
		return
	}
	written := l.conn.Written()
	l.close()
	for _, t := range l.attempts {
		if t == nil {
			continue
		}
		end := response{outcome: policy.Reset, reusedConn: l.hasAnswered}
		if t.endOffset > written {
			end.outcome = policy.ConnectFailed
		}
		l.pool.node.attemptFinished(t, end)
	}
	l.attempts = nil
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

// Connected implements loop.Handler.
func (l *serverConn) Connected() {
	l.connected = true
	l.pool.lastReceived = l.pool.node.loop.Now()
	l.timer.Stop()
	l.rewriteRequests()
	l.markWritten()
	for _, t := range l.attempts {
		if t != nil {
			l.limitWriteDelay(t)
		}
	}
	l.markIdle()
}

// Flushed implements loop.Handler.
func (l *serverConn) Flushed() {
	l.markWritten()
	if l.upload != nil {
		l.upload.updatePaused()
	}
}

// End implements loop.Handler.
func (l *serverConn) End(error) {
	l.retiring = true
	if l.body == nil && len(l.attempts) > 0 && l.attempts[0] != nil && len(l.input) > 0 { // end of stream may delimit an answer
		if a, used, err := l.pool.proto.parseAnswer(l.input, l.attempts[0], l.pool.node.maxResponseSize(), true); err == nil && used > 0 && a.longSize == 0 {
			t := l.attempts[0]
			l.attempts = l.attempts[1:]
			l.finishAttempt(t, a)
		}
	}
	l.closeAndFail()
}

// Data implements loop.Handler.
func (l *serverConn) Data(data []byte) {
	l.pool.lastReceived = l.pool.node.loop.Now()
	if len(l.attempts) > 0 {
		l.timer.Stop()
	}
	maxValue, buffered := l.pool.node.maxResponseSize(), len(l.input) > 0
	if buffered {
		l.input = append(l.input, data...)
		data = l.input
	}
	for len(data) > 0 && !l.closed {
		if l.body != nil {
			used, ok := l.body.consume(data)
			if l.closed { // passing the value on has closed the client's connection and cancelled the attempt
				return
			}
			if !ok {
				l.closeMalformed("long value does not end where it should")
				return
			}
			if data = data[used:]; l.body.complete() {
				l.finishBody(len(data) == 0)
			}
			continue
		}
		if len(l.attempts) == 0 {
			// Bytes after a valid answer do not invalidate it, but must never be taken as the answer to the next request.
			l.pool.node.count.surplusAnswers++
			l.closeAndFail()
			return
		}
		t := l.attempts[0]
		a, used, err := l.pool.proto.parseAnswer(data, t, maxValue, false)
		if err != nil || used == 0 && len(data) > maxValue+maxAnswerOverhead {
			l.closeMalformed("malformed answer")
			return
		}
		if a.longSize > 0 && t != nil && len(data)-used < minBodyPrefix {
			used = 0 // wait for more before the request is bound to this value; the stall timeout replaces that of the attempt
			t.timer.Stop()
		}
		if used > 0 && l.upload != nil { // the server answers before it has the whole value, so nothing has run
			if a.outcome != policy.Full {
				a.outcome = policy.ConnectFailed
			}
			l.attempts = l.attempts[1:]
			l.close()
			l.finishAttempt(t, response{outcome: a.outcome})
			return
		}
		if used > 0 && t != nil && t.endOffset > l.conn.Written() {
			l.closeMalformed("answer before its request") // surplus bytes after the previous answer
			return
		}
		if used == 0 {
			break
		}
		data = data[used:]
		l.hasAnswered = true
		if a.longSize > 0 {
			l.input, buffered = nil, false
			l.receiveBody(t, a)
			continue
		}
		l.attempts = l.attempts[1:]
		l.retiring = l.retiring || a.close
		if len(data) == 0 {
			l.input = nil
			if !a.close { // before the policy is notified of the answer, so that the next attempt can use the connection
				l.markIdle()
			}
		}
		if t != nil {
			l.finishAttempt(t, a)
		}
		if a.close {
			l.closeAndFail()
		}
	}
	if l.closed {
		return
	}
	switch {
	case len(data) == 0:
		l.input = nil
	case buffered:
		l.input = l.input[:copy(l.input, data)]
	default:
		l.input = append([]byte(nil), data...)
	}
	l.updateBuffered()
	if l.pool.node.responseBytes > l.pool.node.maxHeldBytes() {
		l.closeMalformed("too many bytes of incomplete answers")
		return
	}
	if len(l.input) > 0 && l.body == nil {
		// Guards against an answer that is shorter than the length it states: its connection stays open and silent, and without
		// this timer the attempt would last until its timeout.
		l.timer = l.pool.node.loop.After(l.pool.node.stallTimeout(), func() { l.closeMalformed("incomplete answer makes no progress") })
	}
	if len(l.attempts) > 0 && !l.hasOutstanding() && l.body == nil { // guards against keeping a descriptor for answers that nobody waits for
		l.closeAndFail()
	}
	l.markIdle()
}

// finishBody ends the attempt whose long value has been received completely. last reports that no bytes follow the value.
func (l *serverConn) finishBody(last bool) {
	b := l.body
	l.body = nil
	b.timer.Stop()
	l.conn.SetPaused(false)
	l.readPaused = false
	t := l.attempts[0]
	l.attempts = l.attempts[1:]
	l.retiring = l.retiring || b.close
	if last && !b.close {
		l.markIdle()
	}
	if t != nil {
		l.finishAttempt(t, response{outcome: policy.OK})
	}
	if b.close {
		l.closeAndFail()
	}
}

// stallTimeout returns how long an incomplete answer may make no progress.
func (n *Node) stallTimeout() time.Duration {
	return cmp.Or(n.cfg.Transport.ConnectTimeout, defaultStallTimeout)
}

// finishAttempt ends an attempt with the answer received on this connection.
func (l *serverConn) finishAttempt(t *attempt, a response) {
	t.link = nil
	l.pool.node.attemptFinished(t, a)
}

// closeMalformed closes a connection after a malformed answer: later bytes cannot be attributed to requests any more.
func (l *serverConn) closeMalformed(why string) {
	l.pool.node.count.badAnswers++
	log.Printf("event=bad_answer server=%s why=%q", l.pool.id, why)
	l.closeAndFail()
}
