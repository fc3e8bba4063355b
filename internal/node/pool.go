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
	request(buf []byte, t *attempt, wait time.Duration) []byte
	behind() string
	// answer takes the first answer, whose value may hold so many bytes, off what has come; used is 0 when more must
	// come first.
	// A value of over meta.MaxValue bytes is not waited for where its length is told: it follows what was used.
	answer(data []byte, t *attempt, most int, ended bool) (a response, used int, err error)
	// pipelines reports whether a request may be written behind another.
	pipelines() bool
}

const (
	// mostAround is how many bytes may stand around an answer's value.
	mostAround = 64 << 10
	// writeWithin is how long an attempt may wait behind others' bytes on a connection that stands: it tells its server what was
	// left as it was queued.
	writeWithin = 50 * time.Millisecond
	// usualStall is how long an answer may stop in its midst where the settings tell no connect time-out: what has
	// begun to come goes on about as soon as a connection comes up.
	usualStall = 250 * time.Millisecond
)

// pool holds the connections to one server. An attempt gets one to itself as long as descriptors last: giving it up
// closes the connection, and an answer behind another comes late.
type pool struct {
	node   *Node
	id     string
	addr   netip.AddrPort
	proto  protocol
	ready  bool          // as far as the list tells
	banned bool          // by hand
	weight float64       // as listed
	heard  time.Duration // when bytes last came from it
	links  []*link
	idle   []*link // of links, those that carry nothing, longest unused first
}

// link is one connection to a server. It is given back in drop alone.
type link struct {
	pool   *pool
	conn   *loop.Conn
	tries  []*attempt // written, in order; nil where an attempt was given up and only its answer is owed
	input  []byte
	held   int         // bytes of input, as counted by the node
	timer  *loop.Timer // connecting: the time-out; idle: when to retire; in an answer's midst: when to give it up
	since  time.Duration
	up     bool
	gone   bool
	served bool    // an answer has come on it
	body   *body   // a long value that is coming
	going  *upload // a long value that is going
	paused bool    // nothing is read, as its client takes nothing
	old    bool    // the server has moved or the connection is ending: nothing new goes here
}

// pool brings the connections to a listed server in line with its entry.
func (n *Node) pool(s policy.Server, addr netip.AddrPort) {
	p := n.pools[s.ID]
	if p == nil {
		if s.State == policy.Gone {
			return
		}
		p = &pool{node: n, id: s.ID, addr: addr, banned: n.banned(s.ID)}
		n.pools[s.ID] = p
	}
	moved := s.State != policy.Gone && p.addr != addr
	if moved {
		p.addr = addr
	}
	if kind := n.cfg.Settings.OriginKind; kind != "" && s.Kind == kind {
		p.proto = originProtocol{host: p.addr.String()}
	} else {
		p.proto = cacheProtocol{perConn: n.cfg.Transport.MaxRequestsPerConn}
	}
	p.ready, p.weight = s.State == policy.Ready, s.Weight
	if moved {
		for _, l := range slices.Clone(p.links) {
			l.old = true
			l.leave() // another server may have the address by now
		}
	}
}

// origin reports whether the server is the origin.
func (p *pool) origin() bool {
	_, is := p.proto.(originProtocol)
	return is
}

// open reports whether anything new may go to the server.
func (p *pool) open() bool { return p.ready && !p.banned }

// leave closes what is idle of a server that drains, is gone or is banned, and what has not come up: it must get nothing
// new, and a connection may come up only after the grace. What waits behind others and has not begun to be written is
// taken back: it would be written when those have been answered. What is out goes on, a long value at once.
func (p *pool) leave() {
	for _, l := range slices.Clone(p.links) {
		l.leave()
		if l.body != nil {
			l.body.growSendBuffer()
		}
	}
	for _, l := range slices.Clone(p.idle) {
		l.drop()
	}
	p.forget()
}

// leave ends a connection that has not come up and takes back what waits on one, unless it has begun to be written.
func (l *link) leave() {
	if !l.up {
		l.over()
	}
	l.takeBack()
	l.rest()
}

// forget lets go of a pool that nothing needs.
func (p *pool) forget() {
	if !p.ready && len(p.links) == 0 && p.node.pools[p.id] == p {
		delete(p.node.pools, p.id)
	}
}

// send writes an attempt to a connection: an idle one, else a new one, else, with no descriptor left, behind another.
func (p *pool) send(t *attempt, wait time.Duration) {
	n := p.node
	if why := n.maySend(t, wait, t.request.client == nil); why != safety.Allowed {
		n.refuseLate(t, why)
		return
	}
	l := p.fresh()
	switch {
	case l != nil:
	case n.mayDial() || n.shed():
		l = p.dial()
	}
	if l == nil && t.request.upload == nil { // a long value has a connection to itself: to give it up is to close that
		l = p.shared()
	}
	if l == nil {
		n.loop.Defer(func() { n.attemptFinished(t, response{outcome: policy.ConnectFailed}) })
		return
	}
	n.count.attempts++
	l.unrest()
	t.link, t.timeout = l, wait
	l.tries = append(l.tries, t)
	l.write(t, wait)
	if u := t.request.upload; u != nil {
		t.endOffset += int64(t.request.command.LongSize + len(p.proto.behind()))
		u.sendTo(t)
	}
	l.wrote()
	l.boundWait(t)
}

// boundWait takes an attempt back that waits behind others' bytes for too long. Guards against a server that has stopped reading and
// goes on later: it would work for a client that has stopped waiting.
func (l *link) boundWait(t *attempt) {
	if l.up && !t.written && t.request.upload == nil {
		t.writeTimer = l.pool.node.loop.After(writeWithin, func() {
			if !t.done && t.link == l {
				l.takeOut(t, policy.ConnectFailed)
			}
		})
	}
}

// write writes an attempt's request, which tells how long the node waits.
func (l *link) write(t *attempt, wait time.Duration) {
	text := l.pool.proto.request(nil, t, wait)
	t.startOffset = l.conn.WriteOffset()
	t.endOffset = t.startOffset + int64(len(text)) // before writing: what a broken connection does not take was never written
	l.conn.Write(text)
	t.queued = l.conn.Written() <= t.startOffset
}

// waitsStill is how long the node waits for an attempt that was queued and goes out now. A planned end may have cut that.
func (t *attempt) waitsStill(now time.Duration) time.Duration {
	return min(t.timeout-(now-t.startedAt), t.request.attemptsUntil-now)
}

// retell writes anew what has waited for the connection to come up, lest it tells its server of time that has passed since: that
// would work for those who have stopped waiting. What was called off meanwhile is not written at all.
func (l *link) retell() {
	now, old := l.pool.node.loop.Now(), l.conn.WriteOffset()
	if len(l.tries) == 0 || slices.ContainsFunc(l.tries, func(t *attempt) bool { return t != nil && t.request.upload != nil }) {
		return // of a long value not all may be kept; it has the connection to itself
	}
	l.tries = slices.DeleteFunc(l.tries, func(t *attempt) bool {
		if t == nil {
			return true
		}
		why := l.pool.node.maySend(t, t.waitsStill(now), t.request.client == nil)
		if why != safety.Allowed {
			t.link = nil
			l.pool.node.refuseSend(t, why)
		}
		return why != safety.Allowed
	})
	for _, t := range l.tries {
		l.write(t, t.waitsStill(now))
		t.startOffset, t.endOffset = t.startOffset-old, t.endOffset-old
	}
	l.conn.CancelWrite(0, old) // nothing has been handed to the system yet
}

// takeBack takes back the attempts of which no byte has been written.
func (l *link) takeBack() {
	for i := len(l.tries) - 1; i >= 0 && !l.gone; i-- {
		if t := l.tries[i]; t != nil && !l.takeOut(t, policy.ConnectFailed) {
			break
		}
	}
}

// takeOut takes one attempt back, with all that was written of its request, if no byte of that has been handed to the
// system: it has never run, and its place is free for others. It reports whether it did.
func (l *link) takeOut(t *attempt, o policy.Outcome) bool {
	end := t.endOffset
	if t.request.upload != nil { // has a connection to itself, and not all of it has come
		end = l.conn.WriteOffset()
	}
	i := slices.Index(l.tries, t)
	if i < 0 || l.gone || !l.conn.CancelWrite(t.startOffset, end) {
		return false
	}
	for _, x := range l.tries[i+1:] {
		if x != nil {
			x.startOffset, x.endOffset = x.startOffset-(end-t.startOffset), x.endOffset-(end-t.startOffset)
		}
	}
	t.link, l.going, l.tries = nil, nil, slices.Delete(l.tries, i, i+1)
	l.pool.node.attemptFinished(t, response{outcome: o})
	return true
}

// withdraw takes back an attempt for which nobody waits any more, if it has not gone out: from a connection that is yet to
// come up or from behind others it would be sent on long after its client left. That needs no leave to call attempts
// off, since nothing has run. One half written, with nothing else on its connection, ends with that: nor has it run.
func (p *pool) withdraw(t *attempt) {
	l := t.link
	if t.done || l == nil || l.gone || l.takeOut(t, policy.NotSent) {
		return
	}
	if t.endOffset > l.conn.Written() && len(l.tries) == 1 {
		p.giveUp(t, response{outcome: policy.NotSent})
	}
}

// wrote counts the attempts that have been written whole.
func (l *link) wrote() {
	for i := len(l.tries) - 1; i >= 0; i-- {
		if t := l.tries[i]; t != nil && !t.written && t.endOffset <= l.conn.Written() {
			t.written = true
			l.pool.node.count.written++
			l.pool.node.recordAttempt(attemptWritten, t, 0, 0)
			if t.queued && t.request.upload == nil {
				l.pool.node.checkWritten(t)
			}
		}
	}
}

// fresh takes the idle connection used last that still stands.
func (p *pool) fresh() *link {
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		if !l.conn.Stale() {
			return l
		}
		l.drop() // guards against a request written to what the server has closed already, which may count as run
	}
	return nil
}

// dial opens a connection; nil where the system refuses at once.
func (p *pool) dial() *link {
	n := p.node
	l := &link{pool: p}
	conn, err := n.loop.Dial(p.addr, l)
	if err != nil {
		n.count.dialsFailed++
		return nil
	}
	l.conn = conn
	p.links = append(p.links, l)
	n.serverConns++
	n.count.links++
	if limit := n.cfg.Transport.ConnectTimeout; limit > 0 {
		l.timer = n.loop.After(limit, l.over)
	}
	return l
}

// room is how many connections the node may have, of clients and to servers; open is how many descriptors they, and what
// is in reserve, hold. The operators' address has its own.
func (n *Node) room() int { return n.sockets() - n.reserve() - n.control.ReservedDescriptors() }
func (n *Node) open() int { return n.loop.OpenSockets() - n.control.OpenDescriptors() }

// brim is how many the node may have in all, with the reserve.
func (n *Node) brim() int { return n.room() + n.reserve() - min(internalSockets, n.sockets()/4) }

// linkMost is how many of them may be to servers, linkLeast how many clients must leave to servers.
func (n *Node) linkMost() int  { return max(n.linkLeast(), n.room()*2/5) }
func (n *Node) linkLeast() int { return max(1, n.room()/8) }

// mayDial reports whether there is room for one more connection to a server. Clients in the reserve take none of it.
func (n *Node) mayDial() bool {
	// Guards against clients who fill the room and the reserve: with no connection to any server left, as after a quiet
	// time or a change of servers, each request was failed and each server skipped, for as long as they came.
	most := n.serverConns < n.linkMost() && n.open()-n.clients.reserved < n.room()
	return n.open() < n.brim() && (most || n.serverConns < n.linkLeast())
}

// shed closes the idle connection that has stood longest.
func (n *Node) shed() bool {
	var oldest *link
	for _, p := range n.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].since < oldest.since) {
			oldest = p.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	n.count.linksShed++
	oldest.drop()
	return true
}

// shared finds the connection that carries least and may carry one more.
func (p *pool) shared() *link {
	if p.proto == nil || !p.proto.pipelines() {
		return nil
	}
	var best *link
	for _, l := range p.links {
		if !l.old && l.body == nil && l.going == nil && len(l.tries) < p.node.cfg.Transport.MaxRequestsPerConn && (best == nil || len(l.tries) < len(best.tries)) {
			best = l
		}
	}
	if best != nil {
		p.node.count.pipelined++
	}
	return best
}

// carries reports whether an attempt waits for its answer on the connection.
func (l *link) carries() bool {
	return slices.ContainsFunc(l.tries, func(x *attempt) bool { return x != nil })
}

// rest makes a connection that carries nothing idle, or closes it when nothing more should go there.
func (l *link) rest() {
	if l.gone || !l.up || len(l.tries) > 0 {
		return
	}
	p := l.pool
	if l.old || !p.open() || len(l.input) > 0 {
		l.drop()
		return
	}
	if slices.Contains(p.idle, l) {
		return
	}
	l.since = p.node.loop.Now()
	p.idle = append(p.idle, l)
	if limit := p.node.cfg.Transport.ConnIdle; limit > 0 { // well before the server's own limit
		l.timer.Stop()
		l.timer = p.node.loop.After(limit/2, l.drop)
	}
}

// unrest takes a connection off the idle ones.
func (l *link) unrest() {
	if i := slices.Index(l.pool.idle, l); i >= 0 {
		l.pool.idle = slices.Delete(l.pool.idle, i, i+1)
		l.timer.Stop()
	}
}

// drop gives the connection back.
func (l *link) drop() {
	if l.gone {
		return
	}
	l.gone = true
	l.timer.Stop()
	l.unrest()
	l.conn.Close()
	l.input = nil
	if l.body != nil {
		l.body.buffered = nil
		l.body.timer.Stop()
	}
	l.account()
	p := l.pool
	p.links = slices.DeleteFunc(p.links, func(x *link) bool { return x == l })
	p.node.serverConns--
	p.forget()
}

// account keeps the node's count of the bytes of answers that are not whole.
func (l *link) account() {
	held := cap(l.input)
	if l.body != nil {
		held += cap(l.body.buffered)
	}
	l.pool.node.responseBytes += held - l.held
	l.held = held
}

// over ends the connection and all that is out on it: what was not written whole has never run, the rest may have.
func (l *link) over() {
	if l.gone {
		return
	}
	written := l.conn.Written()
	l.drop()
	for _, t := range l.tries {
		if t == nil {
			continue
		}
		end := response{outcome: policy.Reset, reusedConn: l.served}
		if t.endOffset > written {
			end.outcome = policy.ConnectFailed
		}
		l.pool.node.attemptFinished(t, end)
	}
	l.tries = nil
}

// timeout ends an attempt that the node stops waiting for. Its connection goes with it, so that the server can tell.
func (p *pool) timeout(t *attempt) {
	l := t.link
	if t.done || l == nil || l.gone {
		return
	}
	end := response{outcome: policy.TimedOut}
	if t.endOffset > l.conn.Written() { // it never went out
		end.outcome = policy.ConnectFailed
	}
	if p.heard < t.startedAt {
		// Guards against a machine that vanished: its open connections stay silent and each would cost a time-out,
		// while a new one that does not come up says soon, and surely, that nothing ran.
		for _, l := range slices.Clone(p.idle) {
			l.drop()
		}
	}
	p.giveUp(t, end)
}

// expire takes back a repeat that has not gone out whole when its servers begin to forget the request: it would run again.
func (p *pool) expire(t *attempt) {
	l := t.link
	if t.done || l == nil || l.gone || t.endOffset <= l.conn.Written() || l.takeOut(t, policy.ConnectFailed) {
		return
	}
	l.over() // half of it is on its way
}

// cancel calls an attempt off.
func (p *pool) cancel(t *attempt) {
	if t.request.answered {
		p.withdraw(t)
	}
	if !t.done && t.link != nil {
		p.giveUp(t, response{outcome: policy.Cancelled})
	}
}

// giveUp ends an attempt before its answer. Where other attempts wait on the connection and the request is over, the
// connection stays for them and the answer is passed over when it comes.
func (p *pool) giveUp(t *attempt, end response) {
	l := t.link
	t.link = nil
	if i := slices.Index(l.tries, t); i >= 0 {
		l.tries[i] = nil
	}
	if l.body != nil && l.body.attempt == t {
		l.body.discard()
	}
	if other := l.body != nil && l.body.attempt != nil; !l.carries() || end.outcome != policy.Cancelled && !other {
		l.over()
	}
	p.node.attemptFinished(t, end)
}

// Connected implements loop.Handler.
func (l *link) Connected() {
	l.up = true
	l.pool.heard = l.pool.node.loop.Now()
	l.timer.Stop()
	l.retell()
	l.wrote()
	for _, t := range l.tries {
		if t != nil {
			l.boundWait(t)
		}
	}
	l.rest()
}

// Flushed implements loop.Handler.
func (l *link) Flushed() {
	l.wrote()
	if l.going != nil {
		l.going.updatePaused()
	}
}

// End implements loop.Handler.
func (l *link) End(error) {
	l.old = true
	if l.body == nil && len(l.tries) > 0 && l.tries[0] != nil && len(l.input) > 0 { // an answer may end with its connection
		if a, used, err := l.pool.proto.answer(l.input, l.tries[0], l.pool.node.maxResponseSize(), true); err == nil && used > 0 && a.longSize == 0 {
			t := l.tries[0]
			l.tries = l.tries[1:]
			l.finish(t, a)
		}
	}
	l.over()
}

// Data implements loop.Handler.
func (l *link) Data(data []byte) {
	l.pool.heard = l.pool.node.loop.Now()
	if len(l.tries) > 0 {
		l.timer.Stop()
	}
	most, kept := l.pool.node.maxResponseSize(), len(l.input) > 0
	if kept {
		l.input = append(l.input, data...)
		data = l.input
	}
	for len(data) > 0 && !l.gone {
		if l.body != nil {
			used, ok := l.body.consume(data)
			if l.gone { // its client's connection has broken under it
				return
			}
			if !ok {
				l.bad("a long value that does not end where it should")
				return
			}
			if data = data[used:]; l.body.complete() {
				l.received(len(data) == 0)
			}
			continue
		}
		if len(l.tries) == 0 {
			// What comes behind a good answer does not spoil that one, but must never become the next request's answer.
			l.pool.node.count.surplus++
			l.over()
			return
		}
		t := l.tries[0]
		a, used, err := l.pool.proto.answer(data, t, most, false)
		if err != nil || used == 0 && len(data) > most+mostAround {
			l.bad("malformed answer")
			return
		}
		if a.longSize > 0 && t != nil && len(data)-used < minBodyPrefix {
			used = 0 // not enough of it to be believed; but its server gives it, and what stops is given up soon
			t.timer.Stop()
		}
		if used > 0 && l.going != nil { // the server does not want the rest: not even a part of it has run
			if a.outcome != policy.Full {
				a.outcome = policy.ConnectFailed
			}
			l.tries = l.tries[1:]
			l.drop()
			l.finish(t, response{outcome: a.outcome})
			return
		}
		if used > 0 && t != nil && t.endOffset > l.conn.Written() {
			l.bad("an answer before its request") // surplus of the one before
			return
		}
		if used == 0 {
			break
		}
		data = data[used:]
		l.served = true
		if a.longSize > 0 {
			l.input, kept = nil, false
			l.receiveBody(t, a)
			continue
		}
		l.tries = l.tries[1:]
		l.old = l.old || a.close
		if len(data) == 0 {
			l.input = nil
			if !a.close { // idle already when the module, told of the answer, sends the next attempt
				l.rest()
			}
		}
		if t != nil {
			l.finish(t, a)
		}
		if a.close {
			l.over()
		}
	}
	if l.gone {
		return
	}
	switch {
	case len(data) == 0:
		l.input = nil
	case kept:
		l.input = l.input[:copy(l.input, data)]
	default:
		l.input = append([]byte(nil), data...)
	}
	l.account()
	if l.pool.node.responseBytes > l.pool.node.maxHeldBytes() {
		l.bad("no room for more answers at once")
		return
	}
	if len(l.input) > 0 && l.body == nil {
		// Guards against an answer that says it is longer than it is: its connection stays open and silent, and without
		// this the attempt would last until its time-out.
		l.timer = l.pool.node.loop.After(l.pool.node.stall(), func() { l.bad("an answer that stops in its midst") })
	}
	if len(l.tries) > 0 && !l.carries() && l.body == nil { // guards against a descriptor held for answers that nobody waits for
		l.over()
	}
	l.rest()
}

// received ends a long value of which all has come.
func (l *link) received(last bool) {
	b := l.body
	l.body = nil
	b.timer.Stop()
	l.conn.SetPaused(false)
	l.paused = false
	t := l.tries[0]
	l.tries = l.tries[1:]
	l.old = l.old || b.close
	if last && !b.close {
		l.rest()
	}
	if t != nil {
		l.finish(t, response{outcome: policy.OK})
	}
	if b.close {
		l.over()
	}
}

// stall is how long an answer may stop in its midst.
func (n *Node) stall() time.Duration { return cmp.Or(n.cfg.Transport.ConnectTimeout, usualStall) }

// finish ends an attempt with its answer.
func (l *link) finish(t *attempt, a response) {
	t.link = nil
	l.pool.node.attemptFinished(t, a)
}

// bad ends a connection on which nothing can be trusted any more.
func (l *link) bad(why string) {
	l.pool.node.count.badAnswers++
	log.Printf("event=bad_answer server=%s why=%q", l.pool.id, why)
	l.over()
}
