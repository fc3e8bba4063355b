package node

import (
	"log"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/policy"
)

// Checks against the rules of decide/safety: when work on a request begins, before an attempt is written, when a queued attempt
// goes out, and when a connection is closed. A failed check is a violation: an earlier guard has failed.

// effects maps the policy's effects to those of decide/safety.
var effects = map[policy.Effect]safety.Effect{policy.Safe: safety.Safe, policy.Keyed: safety.Keyed, policy.Unsafe: safety.Unsafe}

// remaining is the remaining time of the client or, for a request that is still arriving, of its wait for an attempt.
func (c *request) remaining(now time.Duration) time.Duration {
	if !c.received {
		return c.attemptsUntil - now
	}
	return c.deadline - now
}

// maySend checks whether an attempt that tells its server this timeout may be written now.
func (n *Node) maySend(t *attempt, timeout time.Duration, gone bool) safety.Reason {
	c, now := t.request, n.loop.Now()
	reason := safety.CheckSend(safety.Attempt{Answered: c.answered, ClientGone: gone, Remaining: c.remaining(now), Timeout: timeout, ServerAccepts: t.pool.available()})
	if reason != safety.Allowed || c.class.effect == safety.Safe {
		return reason
	}
	for _, e := range c.attempts {
		if e == t {
			continue
		}
		earlier := safety.PriorAttempt{Done: e.done, NeverRan: !e.mayHaveRun, Age: now - e.runnableAt, SameScope: true} // only the policy knows the scopes
		if reason = safety.CheckRepeat(c.class.effect, c.class.window, earlier); reason != safety.Allowed {
			return reason
		}
	}
	return safety.Allowed
}

// refuseSend ends an attempt that may not be written, as one that has never run.
func (n *Node) refuseSend(t *attempt, why safety.Reason) {
	n.count.sendsRefused[why]++
	n.recordAttempt(attemptRefused, t, why, 0)
	outcome := policy.NotSent
	switch why {
	case safety.ServerUnavailable:
		outcome = policy.ConnectFailed
	case safety.InFlight, safety.MayHaveRun, safety.OtherScope:
		n.reportViolation("repeat", why, t.request.id, t.pool.id) // the policy checks this before it sends
	}
	n.loop.Defer(func() { n.attemptFinished(t, response{outcome: outcome}) })
}

// refuseLate ends an attempt that was allowed when it was chosen and may not be written now. That is normal if its time has run
// out in the meantime, as in a process that was held up; any other reason is a violation.
func (n *Node) refuseLate(t *attempt, why safety.Reason) {
	switch why {
	case safety.Answered, safety.ClientGone, safety.ServerUnavailable: // refuseSend reports repeats
		n.reportViolation("send", why, t.request.id, t.pool.id)
	}
	n.refuseSend(t, why)
}

// checkWritten checks an attempt that was queued and has now been written.
func (n *Node) checkWritten(t *attempt) {
	switch why := n.maySend(t, 0, t.request.client == nil); why {
	case safety.Answered, safety.ClientGone, safety.ServerUnavailable:
		n.reportViolation("send", why, t.request.id, t.pool.id)
	}
}

// checkClose checks that a connection closed by the node has no unanswered request.
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

// mayClose reports whether a connection without open requests may be closed: nothing on it is unread.
func (c *client) mayClose() bool {
	return safety.CheckClose(safety.Connection{Unread: c.conn.Stale()}) == safety.Allowed
}

// reportViolation counts a violation and logs it with the request's history, at most once per violationLogInterval.
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

// logHistory logs the recorded transitions of a request.
func (n *Node) logHistory(request string) {
	for _, line := range n.recorder.history(request) {
		log.Printf("event=flight %s", line)
	}
}
