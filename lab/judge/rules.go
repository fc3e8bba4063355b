package judge

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

// endedAt returns when a try received its final answer, its client disconnected or its connection ended; 0 if none happened.
func endedAt(t *seen.Try) time.Duration {
	switch {
	case t.Answer != seen.None:
		return t.AnsweredAt
	case t.LeftAt > 0:
		return t.LeftAt
	}
	return t.ConnEndedAt
}

// received reports whether the node received the request: its last byte was written to a connection that a live node accepted.
func received(t *seen.Try) bool { return t.SentAt > 0 && !t.ConnectFailed }

// missingAnswerAllowed reports whether a missing answer is not the node's fault: the client disconnected, or an injected fault
// killed or froze the node.
func (c *evaluation) missingAnswerAllowed(t *seen.Try) bool {
	if t.LeftAt > 0 {
		return true
	}
	l := c.process(t.Node, t.Generation)
	return l.Killed && l.EndedAt > 0 && t.SentAt <= l.EndedAt+c.rules.Tolerance || c.frozenDuring(l, t)
}

// frozenDuring reports whether an injected fault had stopped a try's node while it should have answered.
func (c *evaluation) frozenDuring(l *seen.NodeProcess, t *seen.Try) bool {
	return slices.ContainsFunc(l.Frozen, func(f [2]time.Duration) bool {
		return t.WaitsUntil > f[0] && (f[1] == 0 || t.SentAt < f[1]+c.rules.Tolerance)
	})
}

// checkOneAnswer checks rule 1 for one try.
func (c *evaluation) checkOneAnswer(t *seen.Try) {
	r := &c.rules
	if t.ExtraLine != "" {
		c.addViolation(OneAnswer, ExtraAnswer, t.AnsweredAt, t, "", "received %q after its answer", t.ExtraLine)
	}
	limit := max(t.WaitsUntil, t.TurnAt) + r.AnswerSlack + r.Tolerance // the time for which it waits for answers before it does not count
	switch {
	case !received(t):
	case t.LongValueAt > 0 && t.LongValueAt <= limit && t.ConnEndedAt == 0:
		// Of a long value only the first bytes are timed; the client did not wait for the rest.
	case c.rules.Crowded && t.ConnEndedAt > 0 && t.FirstOnConn && !t.Truncated && len(c.attempts[t.ID]) == 0:
		// A node whose descriptors are taken may close new connections unread.
	case t.Answer == seen.None && t.Truncated && c.serverAnswered(t):
		// A node that cannot finish a value that it has begun to forward ends the connection, and the client can tell.
	case t.Answer == seen.None && !c.missingAnswerAllowed(t) && t.ConnEndedAt > 0:
		c.addViolation(OneAnswer, Lost, t.ConnEndedAt, t, "", "its connection ended without a complete answer")
	case t.Answer == seen.None && !c.missingAnswerAllowed(t):
		c.addViolation(OneAnswer, Lost, limit, t, "", "no answer within %v after its deadline", limit-t.WaitsUntil)
	case t.Answer != seen.None && t.AnsweredAt > limit && !c.frozenDuring(c.process(t.Node, t.Generation), t):
		c.addViolation(OneAnswer, Late, t.AnsweredAt, t, "", "answered %v after its deadline", t.AnsweredAt-t.WaitsUntil)
	}
	if t.Answer == seen.Served && !c.producedByServer(t) {
		c.addViolation(OneAnswer, WrongValue, t.AnsweredAt, t, t.Server, "served an answer that no server produced for this request: %q", t.AnswerLine)
	}
	if ended := endedAt(t); ended > 0 {
		for _, a := range c.attempts[t.ID] {
			if a.FirstByteAt > ended+r.Tolerance {
				c.addViolation(OneAnswer, SentAfterEnd, a.FirstByteAt, t, a.Server, "an attempt began %v after the request was over", a.FirstByteAt-ended)
			}
		}
	}
	c.checkRemainingTimes(t)
	c.checkCutOff(t)
}

// waitedPart is the part of the time left as an answer begins for which its rest has to be waited for; the remainder may be kept back for
// another attempt.
const waitedPart = 0.75

// checkCutOff checks that no attempt was ended in a pause of its answer that would have been over in time.
func (c *evaluation) checkCutOff(t *seen.Try) {
	process := c.process(t.Node, t.Generation)
	if t.LeftAt > 0 || process.Killed || c.frozenDuring(process, t) {
		return
	}
	for _, a := range c.attempts[t.ID] {
		awaited := a.RestsFrom + time.Duration(waitedPart*float64(t.WaitsUntil-a.RestsFrom))
		closedEarly := a.ClosedAt > a.RestsFrom && a.ClosedAt < a.RestsUntil-c.rules.Tolerance
		answered := t.AnsweredAt > 0 && t.AnsweredAt <= a.ClosedAt+c.rules.Tolerance
		if a.RestsFrom > 0 && closedEarly && a.RestsUntil+c.rules.Tolerance <= awaited && !answered && !a.ConnStateUnknown {
			c.addViolation(OneAnswer, CutOff, a.ClosedAt, t, a.Server, "an attempt was ended %v after the beginning of its answer, which would have gone on %v later",
				a.ClosedAt-a.RestsFrom, a.RestsUntil-a.ClosedAt)
		}
	}
}

// remainingTimeSlack is by how much the remaining time that an attempt passes on may exceed what its client has left.
const remainingTimeSlack = 150 * time.Millisecond

// checkRemainingTimes checks the part of rule 1 about the remaining time that attempts pass to their servers.
func (c *evaluation) checkRemainingTimes(t *seen.Try) {
	for _, a := range c.attempts[t.ID] {
		if excess := a.RemainingTime - (t.WaitsUntil - a.FirstByteAt); a.FirstByteAt > 0 && t.SentAt > 0 && excess > remainingTimeSlack+c.rules.Tolerance {
			c.addViolation(OneAnswer, ExcessRemainingTime, a.FirstByteAt, t, a.Server, "an attempt passed on %v more than the remaining time", excess)
		}
	}
}

// serverAnswered reports whether a server answered the request with a value or a receipt, corrupt or not.
func (c *evaluation) serverAnswered(t *seen.Try) bool {
	return slices.ContainsFunc(c.attempts[t.ID], func(a *seen.Attempt) bool {
		return a.Answer == seen.Value || a.Answer == seen.Receipt || a.Answer == seen.Corrupt
	})
}

// producedByServer reports whether a server produced the answer that the client was served, for this request.
func (c *evaluation) producedByServer(t *seen.Try) bool {
	return slices.ContainsFunc(c.attempts[t.ID], func(a *seen.Attempt) bool {
		if t.Write {
			return a.Answer == seen.Receipt && a.Receipt == t.Receipt
		}
		return a.Answer == seen.Value && t.Correct && a.Server == t.Server && a.Version == t.Version
	})
}

// checkUnknownRequests finds commands that servers received and that no client sent in this form.
func (c *evaluation) checkUnknownRequests() {
	for _, m := range c.record.ProtocolErrors {
		c.addViolation(OneAnswer, Altered, m.At, nil, "", "%s", m.Text)
	}
	for _, a := range c.record.Attempts {
		t := c.tries[a.Request]
		switch {
		case t == nil:
			c.addViolation(OneAnswer, Altered, a.FirstByteAt, nil, a.Server, "a server received the request %q, which no client sent", a.Request)
		case a.LastByteAt > 0 && (a.Key != t.Key || a.Class != t.Class || a.Idem != t.Idem || a.Write != t.Write || a.Value != t.Value):
			c.addViolation(OneAnswer, Altered, a.FirstByteAt, t, a.Server, "key, class, idempotency key or value differ from those of the client's request")
		}
	}
}

// checkNoDouble checks rule 2 for one try by its attempts and refusals. checkEffects checks the effects at the origin.
func (c *evaluation) checkNoDouble(t *seen.Try) {
	r, class := &c.rules, c.classes[t.Class]
	if class == nil {
		return
	}
	list := c.attempts[t.ID]
	for j, b := range list {
		for _, a := range list[:j] {
			c.checkPair(t, class, a, b)
		}
	}
	if t.Answer != seen.Refused || class.Effect == world.Safe || class.Effect == world.Keyed && class.Scope == world.ScopeAll {
		return
	}
	for _, a := range list {
		if a.MayHaveRun() && a.LastByteAt <= t.AnsweredAt+r.Tolerance {
			c.addViolation(NoDouble, FalseRefusal, t.AnsweredAt, t, a.Server, "refused, which promises that a retry is harmless, although an attempt may have run")
			return
		}
	}
}

// checkPair checks rule 2 for an attempt b of a request and an earlier attempt a of the same request.
func (c *evaluation) checkPair(t *seen.Try, class *world.Class, a, b *seen.Attempt) {
	r := &c.rules
	if ended := a.EndedAt(); a.LastByteAt > 0 && b.LastByteAt > 0 && !a.ConnStateUnknown && !r.ParallelAttempts && (ended == 0 || ended > b.LastByteAt+r.Tolerance) {
		c.addViolation(NoDouble, ConcurrentAttempts, b.LastByteAt, t, b.Server, "an attempt arrived while the one at %s was in flight on an open connection", a.Server)
	}
	// As far as the node could know, an attempt without an answer when b began may have run.
	mayHaveRun := a.LastByteAt > 0 && (a.MayHaveRun() || a.AnsweredAt > b.FirstByteAt+r.Tolerance)
	if !mayHaveRun || b.LastByteAt == 0 {
		return
	}
	switch class.Effect {
	case world.Unsafe:
		c.addViolation(NoDouble, UnsafeRepeat, b.LastByteAt, t, b.Server, "sent again although the attempt at %s, which ended with %v, may have run", a.Server, a.Answer)
	case world.Keyed:
		if b.FirstByteAt > a.FirstByteAt+class.Window+r.Tolerance {
			c.addViolation(NoDouble, PastWindow, b.FirstByteAt, t, b.Server, "a keyed repeat %v after an attempt that may have run; the window is %v",
				b.FirstByteAt-a.FirstByteAt, class.Window)
		}
		if x, y := r.Servers[a.Server], r.Servers[b.Server]; class.Scope != world.ScopeAll && (x.Zone != y.Zone || class.Scope == world.ScopeCell && x.Cell != y.Cell) {
			c.addViolation(NoDouble, PastWindow, b.FirstByteAt, t, b.Server, "a keyed repeat at a server that is not in the deduplication scope of %s", a.Server)
		}
	}
}

// checkEffects finds writes that took effect twice, over all tries of their client. A client repeats only what its class
// allows, so the second effect is the node's fault. The exception is a request whose node was killed by an injected fault:
// its client received nothing, took the end of the connection for a close that crossed its request, and sent it once more.
func (c *evaluation) checkEffects() {
	first := map[int]seen.Effect{}
	for _, e := range c.record.Effects {
		t := c.tries[e.Request]
		if t == nil {
			continue // checkUnknownRequests reports it
		}
		if f, again := first[t.ArrivalNumber]; again && !c.resentAfterKill(f, e) {
			c.addViolation(NoDouble, DoubledEffect, e.At, t, "", "took effect with receipt %s and again with %s, %v later", f.Receipt, e.Receipt, e.At-f.At)
			continue
		}
		first[t.ArrivalNumber] = e
	}
}

// resentAfterKill reports whether a client sent a request once more because its node was killed, on another connection, or as
// another try if none could be opened: the first effect came before the kill and the second one after it.
func (c *evaluation) resentAfterKill(first, second seen.Effect) bool {
	t := c.tries[first.Request]
	l := c.process(t.Node, t.Generation)
	return t.Resent && l.Killed && l.EndedAt > 0 && first.At <= l.EndedAt+c.rules.Tolerance && second.At > l.EndedAt
}

// nonServingPeriod is an interval in which a node knew that it must begin no new attempts at a server.
type nonServingPeriod struct {
	from, to time.Duration // to is 0 while the period lasts
	vanished bool          // the server disappeared without draining first
}

// checkDrains checks rule 3 for servers that drain or are gone according to the server list.
func (c *evaluation) checkDrains() {
	periods := map[[2]int]map[string][]nonServingPeriod{}
	for _, l := range c.record.NodeProcesses {
		periods[[2]int{l.Node, l.Generation}] = c.nonServingPeriods(l)
	}
	for _, a := range c.record.Attempts {
		t := c.tries[a.Request]
		if t == nil || a.Origin {
			continue
		}
		for _, p := range periods[[2]int{t.Node, t.Generation}][a.Server] {
			limit := p.from + c.rules.DrainGrace + c.rules.Tolerance
			if a.FirstByteAt > limit && (p.to == 0 || a.FirstByteAt < p.to) {
				c.addViolation(Drains, SentToDraining, a.FirstByteAt, t, a.Server, "a new attempt %v after the node was notified that the server drains or is gone",
					a.FirstByteAt-p.from)
			}
		}
	}
}

// checkBans checks rule 3 for servers that the operator banned, the origin among them, and rule 1 for nodes that the operator
// drained: a node that keeps clients when it is about to end loses their requests.
func (c *evaluation) checkBans() {
	for _, h := range c.record.Bans {
		limit := h.From + c.rules.DrainGrace + c.rules.Tolerance
		for _, a := range c.record.Attempts {
			if t := c.tries[a.Request]; t != nil && t.Node == h.Node && a.Server == h.Server && a.FirstByteAt > limit && (h.To == 0 || a.FirstByteAt < h.To) {
				c.addViolation(Drains, SentToBanned, a.FirstByteAt, t, a.Server, "a new attempt %v after the operator banned the server", a.FirstByteAt-h.From)
			}
		}
	}
	for _, l := range c.record.LameDuckChecks {
		switch {
		case l.CheckedAt == 0:
		case l.Ready:
			c.addViolation(OneAnswer, NotDrained, l.CheckedAt, nil, "", "node %d still reports that it takes clients %v after it was drained", l.Node+1, l.CheckedAt-l.From)
		case l.IdleConns > 0:
			c.addViolation(OneAnswer, NotDrained, l.CheckedAt, nil, "", "node %d still holds %d idle connections %v after it was drained", l.Node+1, l.IdleConns, l.CheckedAt-l.From)
		}
	}
}

// nonServingPeriods returns the periods that a node's process knows from its server list, by server ID.
func (c *evaluation) nonServingPeriods(l *seen.NodeProcess) map[string][]nonServingPeriod {
	out := map[string][]nonServingPeriod{}
	phase := map[string]world.Phase{}
	vanishTimes := []time.Duration{} // when serving servers disappeared
	servingCount := 0                // servers that serve after the last update
	set := func(id string, p world.Phase, at time.Duration) {
		was, known := phase[id]
		phase[id] = p
		list := out[id]
		switch {
		case p == world.Deleted && known && was == world.Serving && c.rules.HoldTime > 0:
			out[id] = append(list, nonServingPeriod{from: at, vanished: true})
			vanishTimes = append(vanishTimes, at)
		case p != world.Serving && (!known || was == world.Serving):
			out[id] = append(list, nonServingPeriod{from: at})
		case p == world.Serving && known && was != world.Serving:
			list[len(list)-1].to = at
		}
	}
	for _, m := range l.InitialList {
		set(m.ID, m.Phase, l.StartedAt)
	}
	for _, n := range c.record.ListUpdates {
		if n.Node != l.Node || n.Generation != l.Generation {
			continue
		}
		listed := map[string]bool{}
		for _, m := range n.Members {
			listed[m.ID] = true
			set(m.ID, m.Phase, n.At)
		}
		if !n.Snapshot {
			continue
		}
		for _, id := range sortedKeys(phase) {
			if !listed[id] && phase[id] != world.Deleted {
				set(id, world.Deleted, n.At)
			}
		}
	}
	for _, p := range phase {
		if p == world.Serving {
			servingCount++
		}
	}
	// Servers that disappear together, more than half of HoldPart of those that serve, may stay in use for HoldTime.
	for _, list := range out {
		for i, p := range list {
			if !p.vanished {
				continue
			}
			count := 0
			for _, at := range vanishTimes {
				if at > p.from-massVanishSpan && at < p.from+massVanishSpan {
					count++
				}
			}
			if count >= 2 && float64(count) > c.rules.HoldPart*float64(servingCount+count)/2 {
				list[i].from += c.rules.HoldTime
			}
		}
	}
	return out
}

// massVanishSpan is the largest time between the disappearances of two servers that count as one mass disappearance.
const massVanishSpan = 5 * time.Second

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// startRounding is the error of start times in the server list, which are in whole milliseconds.
const startRounding = 2 * time.Millisecond

// startKnownAt returns when a node's process was notified of a server's start, and whether it was.
func (c *evaluation) startKnownAt(l *seen.NodeProcess, id string, start time.Duration) (time.Duration, bool) {
	for _, m := range l.InitialList {
		if m.ID == id && m.Started != 0 && m.Started >= start-startRounding {
			return l.StartedAt, true
		}
	}
	for _, n := range c.record.ListUpdates {
		if n.Node != l.Node || n.Generation != l.Generation {
			continue
		}
		for _, m := range n.Members {
			if m.ID == id && m.Started != 0 && m.Started >= start-startRounding {
				return n.At, true
			}
		}
	}
	return 0, false
}

// checkColdServers checks rule 4 for cache servers: within any window the work that reaches a cold server stays below
// FallMultiple times its capacity. An excess counts only if at least two thirds of the work came from nodes that had been
// notified of the server's start.
func (c *evaluation) checkColdServers() {
	r := &c.rules
	if r.FallMultiple <= 0 {
		return
	}
	byServer := map[string][]*seen.Attempt{}
	for _, a := range c.record.Attempts {
		if a.LastByteAt > 0 && !a.Origin {
			byServer[a.Server] = append(byServer[a.Server], a)
		}
	}
	for i, s := range c.record.ServerStarts {
		if !s.Cold {
			continue
		}
		until := s.At + r.WarmUp
		for _, later := range c.record.ServerStarts[i+1:] {
			if later.Server == s.Server {
				until = min(until, later.At)
			}
		}
		list := slices.DeleteFunc(slices.Clone(byServer[s.Server]), func(a *seen.Attempt) bool { return a.LastByteAt < s.At || a.LastByteAt >= until })
		slices.SortFunc(list, func(a, b *seen.Attempt) int { return cmp.Compare(a.LastByteAt, b.LastByteAt) })
		knownAt := map[[2]int]time.Duration{}
		b := world.WorkBudget{Multiple: r.FallMultiple, Window: r.FallWindow}
		for _, a := range list {
			t := c.tries[a.Request]
			knows := false
			if t != nil {
				k := [2]int{t.Node, t.Generation}
				at, ok := knownAt[k]
				if !ok {
					at = 1 << 62
					if since, informed := c.startKnownAt(c.process(t.Node, t.Generation), s.Server, s.At); informed {
						at = since
					}
					knownAt[k] = at
				}
				knows = a.FirstByteAt >= at
			}
			b.Slack = max(b.Slack, 2*a.Work)
			if exhausted, knownShare := b.Add(a.LastByteAt, a.Work, a.Capacity, knows); exhausted && knownShare >= 2.0/3 {
				c.addViolation(Cold, ColdOverload, a.LastByteAt, t, s.Server,
					"a server that started %v before, with a capacity of %.2f of %.2f seconds of work per second, received over %g times that for %v, %.0f%% of it from nodes that were notified of the start",
					a.LastByteAt-s.At, a.Capacity, s.Capacity, r.FallMultiple, r.FallWindow, 100*knownShare)
				break
			}
		}
	}
}

// checkOriginStops checks rule 4 for the origin: a stop is a violation if misses at cold servers were over 30% of the requests
// that the origin received, and over 1.25 times the reads that those servers should receive with weights reduced by the warm-up.
func (c *evaluation) checkOriginStops() {
	r := &c.rules
	for _, stop := range c.record.OriginStops {
		total, coldMisses, reads, expected := 0, 0, 0, 0.0
		for _, a := range c.record.Attempts {
			if a.LastByteAt <= 0 || a.LastByteAt > stop.At || a.LastByteAt <= stop.At-r.OriginOverloadWindow {
				continue
			}
			if !a.Origin {
				if !a.Write {
					reads++
				}
				continue
			}
			total++
			if slices.ContainsFunc(c.attempts[a.Request], func(x *seen.Attempt) bool { return x.Cold && x.Answer == seen.NoValue && x.FirstByteAt < a.FirstByteAt }) {
				coldMisses++
			}
		}
		expected = float64(reads) * c.coldShare(stop.At)
		if total > 0 && float64(coldMisses) > 0.3*float64(total) && float64(coldMisses) > 1.25*expected {
			c.addViolation(Cold, OriginStopped, stop.At, nil, "", "of %d requests in %v, %d were misses at cold servers, which should have received %.0f reads",
				total, r.OriginOverloadWindow, coldMisses, expected)
		}
	}
}

// coldShare returns the fraction of the reads that cold servers should receive at a time, with weights reduced by the warm-up.
func (c *evaluation) coldShare(at time.Duration) float64 {
	r := &c.rules
	lastStart := map[string]seen.ServerStart{}
	for _, s := range c.record.ServerStarts {
		if s.At <= at {
			lastStart[s.Server] = s
		}
	}
	totalWeight, coldWeight := 0.0, 0.0
	for _, id := range sortedKeys(lastStart) {
		s := lastStart[id]
		w := r.Servers[id].Weight
		if w <= 0 {
			w = 1
		}
		if s.Cold && at-s.At < r.WarmUp {
			w *= r.ColdFrom + (1-r.ColdFrom)*float64(at-s.At)/float64(r.WarmUp)
			coldWeight += w
		}
		totalWeight += w
	}
	if totalWeight == 0 {
		return 0
	}
	return coldWeight / totalWeight
}

// Summary returns the violation as one line.
func (b Violation) Summary() string {
	parts := []string{b.Rule, b.Kind}
	if b.Request != "" {
		parts = append(parts, "request "+b.Request)
	}
	if b.Server != "" {
		parts = append(parts, "server "+b.Server)
	}
	return strings.Join(parts, " ") + " at " + b.At.Round(time.Millisecond).String() + ": " + b.Reason
}
