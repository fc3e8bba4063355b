package node

import (
	"log"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/internal/meta"
)

// actions implements policy.Actions on the node.
type actions struct{ n *Node }

// Send implements policy.Actions.
func (a actions) Send(id, server string, timeout, by time.Duration) {
	n := a.n
	c := n.requests[id]
	if c == nil {
		return
	}
	now := n.loop.Now()
	t := &attempt{request: c, number: len(c.attempts), pool: n.pools[server], startedAt: now, runnableAt: now}
	c.attempts = append(c.attempts, t)
	c.openAttempts++
	if t.pool == nil { // never listed, so nothing can have been sent
		t.pool = &pool{node: n, id: server, banned: true}
	}
	left := c.attemptsUntil - now
	if timeout > 0 {
		left = min(left, timeout)
	}
	x := c.client
	// Guards against an attempt for a client that has gone, where the loop has yet to read the end of its connection because it
	// comes after the event that starts the attempt: a response that freed capacity, a timeout, or the end of the fetch that the
	// request had waited for.
	gone := x == nil || x.conn.PeerClosed()
	why := n.maySend(t, left, gone)
	if why == safety.Allowed && left <= 0 {
		why = safety.DeadlineExceeded
	}
	if why != safety.Allowed {
		if gone && x != nil {
			n.loop.Defer(x.closeDeparted)
		}
		n.refuseSend(t, why)
		return
	}
	n.recordAttempt(attemptSent, t, 0, 0)
	if c.upload == nil || c.upload.complete {
		t.timer = n.loop.After(left, func() { t.pool.timeout(t) })
	}
	t.pool.send(t, left)
	if by > 0 && !t.done {
		t.expiryTimer = n.loop.After(by-n.loop.Now(), func() { t.pool.expire(t) })
	}
}

// Refuse implements policy.Actions.
func (a actions) Refuse(id string, retryAfter time.Duration) {
	if c := a.n.requests[id]; c != nil && c.client != nil {
		a.n.endUnserved(c, meta.AppendBusy(nil, retryAfter.Milliseconds()), refused)
	}
}

// Fail implements policy.Actions.
func (a actions) Fail(id string) {
	if c := a.n.requests[id]; c != nil && c.client != nil {
		a.n.endUnserved(c, []byte(failedAnswer), failed)
	}
}

// Cancel implements policy.Actions.
func (a actions) Cancel(id string, number int) {
	c := a.n.requests[id]
	if c == nil || number < 0 || number >= len(c.attempts) || c.attempts[number].done {
		return
	}
	if b := c.body; b != nil && b.attempt == c.attempts[number] {
		return // its value is being received for the client
	}
	t := c.attempts[number]
	a.n.loop.Defer(func() { t.pool.cancel(t) })
}

// Timer implements policy.Actions.
func (a actions) Timer(after time.Duration, token string) {
	n := a.n
	n.loop.After(after, func() { n.guard("timer", func() { n.policy.Timer(n.loop.Now(), token) }) })
}

// Subscribe implements policy.Actions. The node follows the list in any case, see decide/roster.
func (a actions) Subscribe() {}

// Probe implements policy.Actions; the protocol has no probes, and New says so where settings call for them.
func (a actions) Probe(string) {}

// Log implements policy.Actions.
func (a actions) Log(text string) { log.Printf("event=policy text=%q", text) }
