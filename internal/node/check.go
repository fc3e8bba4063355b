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

// left is what is left of the client's time, or, of a request that is still coming, of the time that it may wait to be sent.
func (c *call) left(now time.Duration) time.Duration {
	if !c.counted {
		return c.end - now
	}
	return c.deadline - now
}

// maySend asks whether an attempt that tells its server so much may be written now.
func (n *Node) maySend(t *try, told time.Duration, gone bool) safety.Reason {
	c, now := t.call, n.loop.Now()
	reason := safety.CheckSend(safety.Attempt{Answered: c.answered, ClientGone: gone, Remaining: c.left(now), Timeout: told, ServerAccepts: t.pool.available()})
	if reason != safety.Allowed || c.class.effect == safety.Safe {
		return reason
	}
	for _, e := range c.tries {
		if e == t {
			continue
		}
		earlier := safety.PriorAttempt{Done: e.done, NeverRan: !e.ran, Age: now - e.began, SameScope: true} // groups are the module's to know
		if reason = safety.CheckRepeat(c.class.effect, c.class.window, earlier); reason != safety.Allowed {
			return reason
		}
	}
	return safety.Allowed
}

// refuseSend ends an attempt that may not be written. It has never run.
func (n *Node) refuseSend(t *try, why safety.Reason) {
	n.count.sendsRefused[why]++
	n.noteAttempt(attemptRefused, t, why, 0)
	outcome := policy.NotSent
	switch why {
	case safety.ServerUnavailable:
		outcome = policy.ConnectFailed
	case safety.InFlight, safety.MayHaveRun, safety.OtherScope:
		n.violation("repeat", why, t.call.id, t.pool.id) // the module asks before it sends
	}
	n.loop.Defer(func() { n.finished(t, answer{outcome: outcome}) })
}

// refuseLate ends an attempt that was allowed a moment ago and may not be written now. Time may have passed, where the process was held
// up; anything else is a violation.
func (n *Node) refuseLate(t *try, why safety.Reason) {
	switch why {
	case safety.Answered, safety.ClientGone, safety.ServerUnavailable: // refuseSend tells of repeats
		n.violation("send", why, t.call.id, t.pool.id)
	}
	n.refuseSend(t, why)
}

// checkWritten checks an attempt that goes out after it had to wait.
func (n *Node) checkWritten(t *try) {
	switch why := n.maySend(t, 0, t.call.client == nil); why {
	case safety.Answered, safety.ClientGone, safety.ServerUnavailable:
		n.violation("send", why, t.call.id, t.pool.id)
	}
}

// checkClose checks that a connection which the node closes by itself carries no request that is unanswered.
func (n *Node) checkClose(c *client) {
	unanswered, id := 0, ""
	for _, k := range c.calls {
		if !k.answered && k.counted {
			unanswered++
			id = k.id
		}
	}
	if why := safety.CheckClose(safety.Connection{Unanswered: unanswered}); why != safety.Allowed {
		n.violation("close", why, id, "")
	}
}

// mayClose asks whether a connection with nothing open may be closed.
func (c *client) mayClose() bool {
	return safety.CheckClose(safety.Connection{Unread: c.conn.Stale()}) == safety.Allowed
}

// violation counts what went against a rule though guards stand before it, and logs it with what led to it, once a second at most.
func (n *Node) violation(rule string, why safety.Reason, request, server string) {
	n.count.violations++
	n.count.violated[why]++
	n.recorder.add(record{at: n.loop.Now(), transition: ruleViolated, why: why, request: request, server: server})
	if now := n.loop.Now(); n.violatedAt == 0 || now-n.violatedAt >= logEvery {
		n.violatedAt = now
		log.Printf("event=violation rule=%s why=%s id=%q server=%q", rule, why, request, server)
		n.logStory(request)
	}
}

// logStory logs what is recorded of a request.
func (n *Node) logStory(request string) {
	for _, line := range n.recorder.story(request) {
		log.Printf("event=flight %s", line)
	}
}
