package node

import (
	"log"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/policy"
)

// What decide/safety says is asked here: as work on a request begins, before an attempt is written, as one that had to wait goes
// out, and as a connection is closed. What goes against it is a violation: one of the guards before has failed.

// effects are the module's, as decide/safety names them.
var effects = map[policy.Effect]safety.Effect{policy.Safe: safety.Safe, policy.Keyed: safety.Keyed, policy.Unsafe: safety.Unsafe}

// remaining is what is left of the client's time, or, of a request that is still coming, of the time that it may wait to be sent.
func (c *request) remaining(now time.Duration) time.Duration {
	if !c.received {
		return c.attemptsUntil - now
	}
	return c.deadline - now
}

// maySend asks whether an attempt that tells its server so much may be written now.
func (n *Node) maySend(t *attempt, timeout time.Duration, gone bool) safety.Reason {
	c, now := t.request, n.loop.Now()
	reason := safety.CheckSend(safety.Attempt{Answered: c.answered, ClientGone: gone, Remaining: c.remaining(now), Timeout: timeout, ServerAccepts: t.pool.open()})
	if reason != safety.Allowed || c.class.effect == safety.Safe {
		return reason
	}
	for _, e := range c.attempts {
		if e == t {
			continue
		}
		earlier := safety.PriorAttempt{Done: e.done, NeverRan: !e.mayHaveRun, Age: now - e.runnableAt, SameScope: true} // groups are the module's to know
		if reason = safety.CheckRepeat(c.class.effect, c.class.window, earlier); reason != safety.Allowed {
			return reason
		}
	}
	return safety.Allowed
}

// refuseSend ends an attempt that may not be written. It has never run.
func (n *Node) refuseSend(t *attempt, why safety.Reason) {
	n.count.sendsRefused[why]++
	n.recordAttempt(attemptRefused, t, why, 0)
	outcome := policy.NotSent
	switch why {
	case safety.ServerUnavailable:
		outcome = policy.ConnectFailed
	case safety.InFlight, safety.MayHaveRun, safety.OtherScope:
		n.reportViolation("repeat", why, t.request.id, t.pool.id) // the module asks before it sends
	}
	n.loop.Defer(func() { n.attemptFinished(t, response{outcome: outcome}) })
}

// refuseLate ends an attempt that was allowed a moment ago and may not be written now. Time may have passed, where the process was held
// up; anything else is a violation.
func (n *Node) refuseLate(t *attempt, why safety.Reason) {
	switch why {
	case safety.Answered, safety.ClientGone, safety.ServerUnavailable: // refuseSend tells of repeats
		n.reportViolation("send", why, t.request.id, t.pool.id)
	}
	n.refuseSend(t, why)
}

// checkWritten checks an attempt that goes out after it had to wait.
func (n *Node) checkWritten(t *attempt) {
	switch why := n.maySend(t, 0, t.request.client == nil); why {
	case safety.Answered, safety.ClientGone, safety.ServerUnavailable:
		n.reportViolation("send", why, t.request.id, t.pool.id)
	}
}

// checkClose checks that a connection which the node closes by itself carries no request that is unanswered.
func (n *Node) checkClose(c *client) {
	unanswered, id := 0, ""
	for _, k := range c.requests {
		if !k.answered && k.received {
			unanswered++
			id = k.id
		}
	}
	if why := safety.CheckClose(safety.Connection{Unanswered: unanswered}); why != safety.Allowed {
		n.reportViolation("close", why, id, "")
	}
}

// mayClose asks whether a connection with nothing open may be closed.
func (c *client) mayClose() bool {
	return safety.CheckClose(safety.Connection{Unread: c.conn.Stale()}) == safety.Allowed
}

// reportViolation counts what went against a rule though guards stand before it, and logs it with what led to it, once a second at most.
func (n *Node) reportViolation(rule string, why safety.Reason, request, server string) {
	n.count.violations++
	n.count.violated[why]++
	n.recorder.add(record{at: n.loop.Now(), transition: ruleViolated, why: why, request: request, server: server})
	if now := n.loop.Now(); n.violationLoggedAt == 0 || now-n.violationLoggedAt >= violationLogInterval {
		n.violationLoggedAt = now
		log.Printf("event=violation rule=%s why=%s id=%q server=%q", rule, why, request, server)
		n.logHistory(request)
	}
}

// logHistory logs what is recorded of a request.
func (n *Node) logHistory(request string) {
	for _, line := range n.recorder.history(request) {
		log.Printf("event=flight %s", line)
	}
}
