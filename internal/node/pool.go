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

// protocol is how a server is spoken to: caches.go and origin.go have one each.
type protocol interface {
	// request writes an attempt that the node will wait for so long; of one with a long value all that stands before that,
	// and behind is what must follow it.
	appendRequest(buf []byte, t *try, wait time.Duration) []byte
	bodySuffix() string
	// answer takes the first answer, whose value may hold so many bytes, off what has come; used is 0 when more must
	// come first.
	// A value of over meta.MaxValue bytes is not waited for where its length is told: it follows what was used.
	parseAnswer(data []byte, t *try, maxValue int, eof bool) (a answer, used int, err error)
	// pipelines reports whether a request may be written behind another.
	canPipeline() bool
}

const (
	// maxAnswerOverhead is how many bytes may stand around an answer's value.
	maxAnswerOverhead = 64 << 10
	// maxWriteDelay is how long an attempt may wait behind others' bytes on a connection that stands: it tells its server what was
	// left as it was queued.
	maxWriteDelay = 50 * time.Millisecond
	// defaultStallTimeout is how long an answer may stop in its midst where the settings tell no connect time-out: what has
	// begun to come goes on about as soon as a connection comes up.
	defaultStallTimeout = 250 * time.Millisecond
)

// pool holds the connections to one server. An attempt gets one to itself as long as descriptors last: giving it up
// closes the connection, and an answer behind another comes late.
type pool struct {
	node         *Node
	id           string
	addr         netip.AddrPort
	proto        protocol
	ready        bool          // as far as the list tells
	banned       bool          // by hand
	weight       float64       // as listed
	lastReceived time.Duration // when bytes last came from it
	conns        []*serverConn
	idle         []*serverConn // of links, those that carry nothing, longest unused first
}

// serverConn is one connection to a server. It is given back in drop alone.
type serverConn struct {
	pool           *pool
	conn           *loop.Conn
	attempts       []*try // written, in order; nil where an attempt was given up and only its answer is owed
	input          []byte
	accountedBytes int         // bytes of input, as counted by the node
	timer          *loop.Timer // connecting: the time-out; idle: when to retire; in an answer's midst: when to give it up
	idleSince      time.Duration
	connected      bool
	closed         bool
	hasAnswered    bool    // an answer has come on it
	body           *body   // a long value that is coming
	upload         *upload // a long value that is going
	readPaused     bool    // nothing is read, as its client takes nothing
	retiring       bool    // the server has moved or the connection is ending: nothing new goes here
}

// updatePool brings the connections to a listed server in line with its entry.
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
		p.proto = cacheProtocol{maxPipelined: n.cfg.Transport.PerConn}
	}
	p.ready, p.weight = s.State == policy.Ready, s.Weight
	if moved {
		for _, l := range slices.Clone(p.conns) {
			l.retiring = true
			l.drain() // another server may have the address by now
		}
	}
}

// isOrigin reports whether the server is the origin.
func (p *pool) isOrigin() bool {
	_, is := p.proto.(originProtocol)
	return is
}

// available reports whether anything new may go to the server.
func (p *pool) available() bool { return p.ready && !p.banned }

// drain closes what is idle of a server that drains, is gone or is banned, and what has not come up: it must get nothing
// new, and a connection may come up only after the grace. What waits behind others and has not begun to be written is
// taken back: it would be written when those have been answered. What is out goes on, a long value at once.
func (p *pool) drain() {
	for _, l := range slices.Clone(p.conns) {
		l.drain()
		if l.body != nil {
			l.body.hasten()
		}
	}
	for _, l := range slices.Clone(p.idle) {
		l.close()
	}
	p.removeIfUnused()
}

// drain ends a connection that has not come up and takes back what waits on one, unless it has begun to be written.
func (l *serverConn) drain() {
	if !l.connected {
		l.closeAndFail()
	}
	l.withdrawUnwritten()
	l.markIdle()
}

// removeIfUnused lets go of a pool that nothing needs.
func (p *pool) removeIfUnused() {
	if !p.ready && len(p.conns) == 0 && p.node.pools[p.id] == p {
		delete(p.node.pools, p.id)
	}
}

// send writes an attempt to a connection: an idle one, else a new one, else, with no descriptor left, behind another.
func (p *pool) send(t *try, wait time.Duration) {
	n := p.node
	if why := n.maySend(t, wait, t.call.client == nil); why != safety.Allowed {
		n.refuseLate(t, why)
		return
	}
	l := p.lastIdle()
	switch {
	case l != nil:
	case n.mayDial() || n.closeOldestIdle():
		l = p.dial()
	}
	if l == nil && t.call.upload == nil { // a long value has a connection to itself: to give it up is to close that
		l = p.leastLoaded()
	}
	if l == nil {
		n.loop.Defer(func() { n.finished(t, answer{outcome: policy.ConnectFailed}) })
		return
	}
	n.count.attempts++
	l.unmarkIdle()
	t.link, t.wait = l, wait
	l.attempts = append(l.attempts, t)
	l.writeRequest(t, wait)
	if u := t.call.upload; u != nil {
		t.last += int64(t.call.command.LongSize + len(p.proto.bodySuffix()))
		u.sent(t)
	}
	l.markWritten()
	l.limitWriteDelay(t)
}

// limitWriteDelay takes an attempt back that waits behind others' bytes for too long. Guards against a server that has stopped reading and
// goes on later: it would work for a client that has stopped waiting.
func (l *serverConn) limitWriteDelay(t *try) {
	if l.connected && !t.whole && t.call.upload == nil {
		t.stuck = l.pool.node.loop.After(maxWriteDelay, func() {
			if !t.done && t.link == l {
				l.withdrawAttempt(t, policy.ConnectFailed)
			}
		})
	}
}

// writeRequest writes an attempt's request, which tells how long the node waits.
func (l *serverConn) writeRequest(t *try, wait time.Duration) {
	text := l.pool.proto.appendRequest(nil, t, wait)
	t.first = l.conn.WriteOffset()
	t.last = t.first + int64(len(text)) // before writing: what a broken connection does not take was never written
	l.conn.Write(text)
	t.waits = l.conn.Written() <= t.first
}

// remainingWait is how long the node waits for an attempt that was queued and goes out now. A planned end may have cut that.
func (t *try) remainingWait(now time.Duration) time.Duration {
	return min(t.wait-(now-t.at), t.call.end-now)
}

// rewriteRequests writes anew what has waited for the connection to come up, lest it tells its server of time that has passed since: that
// would work for those who have stopped waiting. What was called off meanwhile is not written at all.
func (l *serverConn) rewriteRequests() {
	now, oldEnd := l.pool.node.loop.Now(), l.conn.WriteOffset()
	if len(l.attempts) == 0 || slices.ContainsFunc(l.attempts, func(t *try) bool { return t != nil && t.call.upload != nil }) {
		return // of a long value not all may be kept; it has the connection to itself
	}
	l.attempts = slices.DeleteFunc(l.attempts, func(t *try) bool {
		if t == nil {
			return true
		}
		why := l.pool.node.maySend(t, t.remainingWait(now), t.call.client == nil)
		if why != safety.Allowed {
			t.link = nil
			l.pool.node.refuseSend(t, why)
		}
		return why != safety.Allowed
	})
	for _, t := range l.attempts {
		l.writeRequest(t, t.remainingWait(now))
		t.first, t.last = t.first-oldEnd, t.last-oldEnd
	}
	l.conn.CancelWrite(0, oldEnd) // nothing has been handed to the system yet
}

// withdrawUnwritten takes back the attempts of which no byte has been written.
func (l *serverConn) withdrawUnwritten() {
	for i := len(l.attempts) - 1; i >= 0 && !l.closed; i-- {
		if t := l.attempts[i]; t != nil && !l.withdrawAttempt(t, policy.ConnectFailed) {
			break
		}
	}
}

// withdrawAttempt takes one attempt back, with all that was written of its request, if no byte of that has been handed to the
// system: it has never run, and its place is free for others. It reports whether it did.
func (l *serverConn) withdrawAttempt(t *try, o policy.Outcome) bool {
	end := t.last
	if t.call.upload != nil { // has a connection to itself, and not all of it has come
		end = l.conn.WriteOffset()
	}
	i := slices.Index(l.attempts, t)
	if i < 0 || l.closed || !l.conn.CancelWrite(t.first, end) {
		return false
	}
	for _, x := range l.attempts[i+1:] {
		if x != nil {
			x.first, x.last = x.first-(end-t.first), x.last-(end-t.first)
		}
	}
	t.link, l.upload, l.attempts = nil, nil, slices.Delete(l.attempts, i, i+1)
	l.pool.node.finished(t, answer{outcome: o})
	return true
}

// withdraw takes back an attempt for which nobody waits any more, if it has not gone out: from a connection that is yet to
// come up or from behind others it would be sent on long after its client left. That needs no leave to call attempts
// off, since nothing has run. One half written, with nothing else on its connection, ends with that: nor has it run.
func (p *pool) withdraw(t *try) {
	l := t.link
	if t.done || l == nil || l.closed || l.withdrawAttempt(t, policy.NotSent) {
		return
	}
	if t.last > l.conn.Written() && len(l.attempts) == 1 {
		p.abort(t, answer{outcome: policy.NotSent})
	}
}

// markWritten counts the attempts that have been written whole.
func (l *serverConn) markWritten() {
	for i := len(l.attempts) - 1; i >= 0; i-- {
		if t := l.attempts[i]; t != nil && !t.whole && t.last <= l.conn.Written() {
			t.whole = true
			l.pool.node.count.written++
			l.pool.node.noteAttempt(attemptWritten, t, 0, 0)
			if t.waits && t.call.upload == nil {
				l.pool.node.checkWritten(t)
			}
		}
	}
}

// lastIdle takes the idle connection used last that still stands.
func (p *pool) lastIdle() *serverConn {
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		if !l.conn.Stale() {
			return l
		}
		l.close() // guards against a request written to what the server has closed already, which may count as run
	}
	return nil
}

// dial opens a connection; nil where the system refuses at once.
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
	n.links++
	n.count.serverConns++
	if limit := n.cfg.Transport.ConnectTimeout; limit > 0 {
		l.timer = n.loop.After(limit, l.closeAndFail)
	}
	return l
}

// maxConns is how many connections the node may have, of clients and to servers; open is how many descriptors they, and what
// is in reserve, hold. The operators' address has its own.
func (n *Node) maxConns() int  { return n.maxSockets() - n.reservedSockets() - n.control.Share() }
func (n *Node) openConns() int { return n.loop.OpenSockets() - n.control.Open() }

// maxConnsWithReserve is how many the node may have in all, with the reserve.
func (n *Node) maxConnsWithReserve() int {
	return n.maxConns() + n.reservedSockets() - min(ownSockets, n.maxSockets()/4)
}

// maxServerConns is how many of them may be to servers, linkLeast how many clients must leave to servers.
func (n *Node) maxServerConns() int { return max(n.minServerConns(), n.maxConns()*2/5) }
func (n *Node) minServerConns() int { return max(1, n.maxConns()/8) }

// mayDial reports whether there is room for one more connection to a server. Clients in the reserve take none of it.
func (n *Node) mayDial() bool {
	// Guards against clients who fill the room and the reserve: with no connection to any server left, as after a quiet
	// time or a change of servers, each request was failed and each server skipped, for as long as they came.
	belowMax := n.links < n.maxServerConns() && n.openConns()-n.clients.reserved < n.maxConns()
	return n.openConns() < n.maxConnsWithReserve() && (belowMax || n.links < n.minServerConns())
}

// closeOldestIdle closes the idle connection that has stood longest.
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

// leastLoaded finds the connection that carries least and may carry one more.
func (p *pool) leastLoaded() *serverConn {
	if p.proto == nil || !p.proto.canPipeline() {
		return nil
	}
	var best *serverConn
	for _, l := range p.conns {
		if !l.retiring && l.body == nil && l.upload == nil && len(l.attempts) < p.node.cfg.Transport.PerConn && (best == nil || len(l.attempts) < len(best.attempts)) {
			best = l
		}
	}
	if best != nil {
		p.node.count.pipelined++
	}
	return best
}

// hasOutstanding reports whether an attempt waits for its answer on the connection.
func (l *serverConn) hasOutstanding() bool {
	return slices.ContainsFunc(l.attempts, func(x *try) bool { return x != nil })
}

// markIdle makes a connection that carries nothing idle, or closes it when nothing more should go there.
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
	if limit := p.node.cfg.Transport.ConnIdle; limit > 0 { // well before the server's own limit
		l.timer.Stop()
		l.timer = p.node.loop.After(limit/2, l.close)
	}
}

// unmarkIdle takes a connection off the idle ones.
func (l *serverConn) unmarkIdle() {
	if i := slices.Index(l.pool.idle, l); i >= 0 {
		l.pool.idle = slices.Delete(l.pool.idle, i, i+1)
		l.timer.Stop()
	}
}

// close gives the connection back.
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
		l.body.kept = nil
		l.body.timer.Stop()
	}
	l.updateBuffered()
	p := l.pool
	p.conns = slices.DeleteFunc(p.conns, func(x *serverConn) bool { return x == l })
	p.node.links--
	p.removeIfUnused()
}

// updateBuffered keeps the node's count of the bytes of answers that are not whole.
func (l *serverConn) updateBuffered() {
	held := cap(l.input)
	if l.body != nil {
		held += cap(l.body.kept)
	}
	l.pool.node.coming += held - l.accountedBytes
	l.accountedBytes = held
}

// closeAndFail ends the connection and all that is out on it: what was not written whole has never run, the rest may have.
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
		end := answer{outcome: policy.Reset, kept: l.hasAnswered}
		if t.last > written {
			end.outcome = policy.ConnectFailed
		}
		l.pool.node.finished(t, end)
	}
	l.attempts = nil
}

// timeout ends an attempt that the node stops waiting for. Its connection goes with it, so that the server can tell.
func (p *pool) timeout(t *try) {
	l := t.link
	if t.done || l == nil || l.closed {
		return
	}
	end := answer{outcome: policy.TimedOut}
	if t.last > l.conn.Written() { // it never went out
		end.outcome = policy.ConnectFailed
	}
	if p.lastReceived < t.at {
		// Guards against a machine that vanished: its open connections stay silent and each would cost a time-out,
		// while a new one that does not come up says soon, and surely, that nothing ran.
		for _, l := range slices.Clone(p.idle) {
			l.close()
		}
	}
	p.abort(t, end)
}

// expire takes back a repeat that has not gone out whole when its servers begin to forget the request: it would run again.
func (p *pool) expire(t *try) {
	l := t.link
	if t.done || l == nil || l.closed || t.last <= l.conn.Written() || l.withdrawAttempt(t, policy.ConnectFailed) {
		return
	}
	l.closeAndFail() // half of it is on its way
}

// cancel calls an attempt off.
func (p *pool) cancel(t *try) {
	if t.call.answered {
		p.withdraw(t)
	}
	if !t.done && t.link != nil {
		p.abort(t, answer{outcome: policy.Cancelled})
	}
}

// abort ends an attempt before its answer. Where other attempts wait on the connection and the request is over, the
// connection stays for them and the answer is passed over when it comes.
func (p *pool) abort(t *try, end answer) {
	l := t.link
	t.link = nil
	if i := slices.Index(l.attempts, t); i >= 0 {
		l.attempts[i] = nil
	}
	if l.body != nil && l.body.try == t {
		l.body.nobody()
	}
	if otherBody := l.body != nil && l.body.try != nil; !l.hasOutstanding() || end.outcome != policy.Cancelled && !otherBody {
		l.closeAndFail()
	}
	p.node.finished(t, end)
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
		l.upload.flow()
	}
}

// End implements loop.Handler.
func (l *serverConn) End(error) {
	l.retiring = true
	if l.body == nil && len(l.attempts) > 0 && l.attempts[0] != nil && len(l.input) > 0 { // an answer may end with its connection
		if a, used, err := l.pool.proto.parseAnswer(l.input, l.attempts[0], l.pool.node.valueMost(), true); err == nil && used > 0 && a.long == 0 {
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
	maxValue, buffered := l.pool.node.valueMost(), len(l.input) > 0
	if buffered {
		l.input = append(l.input, data...)
		data = l.input
	}
	for len(data) > 0 && !l.closed {
		if l.body != nil {
			used, ok := l.body.take(data)
			if l.closed { // its client's connection has broken under it
				return
			}
			if !ok {
				l.closeMalformed("a long value that does not end where it should")
				return
			}
			if data = data[used:]; l.body.whole() {
				l.finishBody(len(data) == 0)
			}
			continue
		}
		if len(l.attempts) == 0 {
			// What comes behind a good answer does not spoil that one, but must never become the next request's answer.
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
		if a.long > 0 && t != nil && len(data)-used < bodyFirst {
			used = 0 // not enough of it to be believed; but its server gives it, and what stops is given up soon
			t.timer.Stop()
		}
		if used > 0 && l.upload != nil { // the server does not want the rest: not even a part of it has run
			if a.outcome != policy.Full {
				a.outcome = policy.ConnectFailed
			}
			l.attempts = l.attempts[1:]
			l.close()
			l.finishAttempt(t, answer{outcome: a.outcome})
			return
		}
		if used > 0 && t != nil && t.last > l.conn.Written() {
			l.closeMalformed("an answer before its request") // surplus of the one before
			return
		}
		if used == 0 {
			break
		}
		data = data[used:]
		l.hasAnswered = true
		if a.long > 0 {
			l.input, buffered = nil, false
			l.receive(t, a)
			continue
		}
		l.attempts = l.attempts[1:]
		l.retiring = l.retiring || a.close
		if len(data) == 0 {
			l.input = nil
			if !a.close { // idle already when the module, told of the answer, sends the next attempt
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
	if l.pool.node.coming > l.pool.node.most() {
		l.closeMalformed("no room for more answers at once")
		return
	}
	if len(l.input) > 0 && l.body == nil {
		// Guards against an answer that says it is longer than it is: its connection stays open and silent, and without
		// this the attempt would last until its time-out.
		l.timer = l.pool.node.loop.After(l.pool.node.stallTimeout(), func() { l.closeMalformed("an answer that stops in its midst") })
	}
	if len(l.attempts) > 0 && !l.hasOutstanding() && l.body == nil { // guards against a descriptor held for answers that nobody waits for
		l.closeAndFail()
	}
	l.markIdle()
}

// finishBody ends a long value of which all has come.
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
		l.finishAttempt(t, answer{outcome: policy.OK})
	}
	if b.close {
		l.closeAndFail()
	}
}

// stallTimeout is how long an answer may stop in its midst.
func (n *Node) stallTimeout() time.Duration {
	return cmp.Or(n.cfg.Transport.ConnectTimeout, defaultStallTimeout)
}

// finishAttempt ends an attempt with its answer.
func (l *serverConn) finishAttempt(t *try, a answer) {
	t.link = nil
	l.pool.node.finished(t, a)
}

// closeMalformed ends a connection on which nothing can be trusted any more.
func (l *serverConn) closeMalformed(why string) {
	l.pool.node.count.badAnswers++
	log.Printf("event=bad_answer server=%s why=%q", l.pool.id, why)
	l.closeAndFail()
}
