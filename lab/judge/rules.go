package judge

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

// end is when a try had its final answer, or its client had gone; 0 where neither was.
func end(t *seen.Try) time.Duration {
	switch {
	case t.Answer != seen.None:
		return t.AnsweredAt
	case t.LeftAt > 0:
		return t.LeftAt
	}
	return t.ConnEndedAt
}

// taken reports whether the node had the request: its last byte was written to a connection that a live node accepted.
func taken(t *seen.Try) bool { return t.SentAt > 0 && !t.ConnectFailed }

// excused reports whether a try without an answer is the client's own doing or died with a node that was killed.
func (c *court) excused(t *seen.Try) bool {
	if t.LeftAt > 0 {
		return true
	}
	l := c.life(t.Node, t.Generation)
	return l.Killed && l.EndedAt > 0 && t.SentAt <= l.EndedAt+c.rules.Tolerance || c.frozen(l, t)
}

// frozen reports whether a try's node was stopped by the plan while it should have answered.
func (c *court) frozen(l *seen.NodeProcess, t *seen.Try) bool {
	return slices.ContainsFunc(l.Frozen, func(f [2]time.Duration) bool {
		return t.WaitsUntil > f[0] && (f[1] == 0 || t.SentAt < f[1]+c.rules.Tolerance)
	})
}

// oneAnswer is rule 1.
func (c *court) oneAnswer(t *seen.Try) {
	r := &c.rules
	if t.ExtraLine != "" {
		c.breach(OneAnswer, ExtraAnswer, t.AnsweredAt, t, "", "beyond its answer came %q", t.ExtraLine)
	}
	limit := t.WaitsUntil + r.AnswerSlack + r.Tolerance
	switch {
	case !taken(t):
	case t.Answer == seen.None && t.Truncated && c.servedBy(t):
		// What the node has begun to pass on and can't finish has failed, and its client can tell.
	case t.Answer == seen.None && !c.excused(t) && t.ConnEndedAt > 0:
		c.breach(OneAnswer, Lost, t.ConnEndedAt, t, "", "its connection ended without a whole answer")
	case t.Answer == seen.None && !c.excused(t):
		c.breach(OneAnswer, Lost, limit, t, "", "no answer until %v after its deadline", limit-t.WaitsUntil)
	case t.Answer != seen.None && t.AnsweredAt > limit && !c.frozen(c.life(t.Node, t.Generation), t):
		c.breach(OneAnswer, Late, t.AnsweredAt, t, "", "answered %v after its deadline", t.AnsweredAt-t.WaitsUntil)
	}
	if t.Answer == seen.Served && !c.made(t) {
		c.breach(OneAnswer, WrongValue, t.AnsweredAt, t, t.Server, "served with what no server had made for this request: %q", t.AnswerLine)
	}
	if over := end(t); over > 0 {
		for _, a := range c.attempts[t.ID] {
			if a.FirstByteAt > over+r.Tolerance {
				c.breach(OneAnswer, SentAfterEnd, a.FirstByteAt, t, a.Server, "an attempt began %v after the request was over", a.FirstByteAt-over)
			}
		}
	}
	c.toldTimes(t)
}

// toldSlack is by how much the time that an attempt tells may be over what its client has left.
const toldSlack = 150 * time.Millisecond

// toldTimes is the part of rule 1 on what attempts tell their servers.
func (c *court) toldTimes(t *seen.Try) {
	for _, a := range c.attempts[t.ID] {
		if over := a.RemainingTime - (t.WaitsUntil - a.FirstByteAt); a.FirstByteAt > 0 && t.SentAt > 0 && over > toldSlack+c.rules.Tolerance {
			c.breach(OneAnswer, ExcessRemainingTime, a.FirstByteAt, t, a.Server, "an attempt told %v more than was left", over)
		}
	}
}

// servedBy reports whether a server had answered the request with a value or a receipt.
func (c *court) servedBy(t *seen.Try) bool {
	return slices.ContainsFunc(c.attempts[t.ID], func(a *seen.Attempt) bool {
		return a.Answer == seen.Value || a.Answer == seen.Receipt || a.Answer == seen.Corrupt
	})
}

// made reports whether a server made what the request was served with, for this request.
func (c *court) made(t *seen.Try) bool {
	return slices.ContainsFunc(c.attempts[t.ID], func(a *seen.Attempt) bool {
		if t.Write {
			return a.Answer == seen.Receipt && a.Receipt == t.Receipt
		}
		return a.Answer == seen.Value && t.Correct && a.Server == t.Server && a.Version == t.Version
	})
}

// strangers finds what servers were sent that no client had asked for in this form.
func (c *court) strangers() {
	for _, m := range c.rec.ProtocolErrors {
		c.breach(OneAnswer, Altered, m.At, nil, "", "%s", m.Text)
	}
	for _, a := range c.rec.Attempts {
		t := c.tries[a.Request]
		switch {
		case t == nil:
			c.breach(OneAnswer, Altered, a.FirstByteAt, nil, a.Server, "a server was sent the request %q, which no client had asked", a.Request)
		case a.LastByteAt > 0 && (a.Key != t.Key || a.Class != t.Class || a.Idem != t.Idem || a.Write != t.Write || a.Value != t.Value):
			c.breach(OneAnswer, Altered, a.FirstByteAt, t, a.Server, "key, class, idempotency key or value are not the client's")
		}
	}
}

// noDouble is rule 2, as far as attempts and refusals tell; effects tells the rest.
func (c *court) noDouble(t *seen.Try) {
	r, class := &c.rules, c.classes[t.Class]
	if class == nil {
		return
	}
	list := c.attempts[t.ID]
	for j, b := range list {
		for _, a := range list[:j] {
			c.pair(t, class, a, b)
		}
	}
	if t.Answer != seen.Refused || class.Effect == world.Safe || class.Effect == world.Keyed && class.Scope == world.ScopeAll {
		return
	}
	for _, a := range list {
		if a.MayHaveRun() && a.LastByteAt <= t.AnsweredAt+r.Tolerance {
			c.breach(NoDouble, FalseRefusal, t.AnsweredAt, t, a.Server, "refused, which promises that trying again is harmless, though an attempt may have run")
			return
		}
	}
}

// pair looks at a further attempt b behind an earlier one, a, of one request.
func (c *court) pair(t *seen.Try, class *world.Class, a, b *seen.Attempt) {
	r := &c.rules
	if over := a.EndedAt(); a.LastByteAt > 0 && b.LastByteAt > 0 && !a.ConnStateUnknown && !r.ParallelAttempts && (over == 0 || over > b.LastByteAt+r.Tolerance) {
		c.breach(NoDouble, ConcurrentAttempts, b.LastByteAt, t, b.Server, "an attempt came while that at %s was out on an open connection", a.Server)
	}
	// What had not been answered when b began may have run, as far as the node could know.
	unsure := a.LastByteAt > 0 && (a.MayHaveRun() || a.AnsweredAt > b.FirstByteAt+r.Tolerance)
	if !unsure || b.LastByteAt == 0 {
		return
	}
	switch class.Effect {
	case world.Unsafe:
		c.breach(NoDouble, UnsafeRepeat, b.LastByteAt, t, b.Server, "sent again though the attempt at %s, which ended with %v, may have run", a.Server, a.Answer)
	case world.Keyed:
		if b.FirstByteAt > a.FirstByteAt+class.Window+r.Tolerance {
			c.breach(NoDouble, PastWindow, b.FirstByteAt, t, b.Server, "a keyed repeat %v after the first attempt that may have run; the window is %v",
				b.FirstByteAt-a.FirstByteAt, class.Window)
		}
		if x, y := r.Servers[a.Server], r.Servers[b.Server]; class.Scope != world.ScopeAll && (x.Zone != y.Zone || class.Scope == world.ScopeCell && x.Cell != y.Cell) {
			c.breach(NoDouble, PastWindow, b.FirstByteAt, t, b.Server, "a keyed repeat at a server that does not share %s's memory of repeats", a.Server)
		}
	}
}

// effects finds wishes that took effect twice, all tries of their clients together. A client repeats only what its class
// allows, so the second effect is a node's; but for a request whose node was killed by the plan under it, and whose client, told
// nothing, took the end of its connection for a close that crossed the request, and sent it once more.
func (c *court) effects() {
	first := map[int]seen.Effect{}
	for _, e := range c.rec.Effects {
		t := c.tries[e.Request]
		if t == nil {
			continue // told by strangers
		}
		if f, again := first[t.ArrivalNumber]; again && !c.resentAfterKill(f, e) {
			c.breach(NoDouble, DoubledEffect, e.At, t, "", "took effect with receipt %s and again with %s, %v later", f.Receipt, e.Receipt, e.At-f.At)
			continue
		}
		first[t.ArrivalNumber] = e
	}
}

// resentAfterKill reports whether a client sent a request once more, on another connection or as another try where none could be
// had, when its node was killed: the first effect before that and the second behind it.
func (c *court) resentAfterKill(first, second seen.Effect) bool {
	t := c.tries[first.Request]
	l := c.life(t.Node, t.Generation)
	return t.Resent && l.Killed && l.EndedAt > 0 && first.At <= l.EndedAt+c.rules.Tolerance && second.At > l.EndedAt
}

// phases is what a node has been told of one server: when it learned that nothing new may go there, and when that ended.
type phases struct {
	from, to time.Duration // to is 0 while it lasts
	vanished bool          // it served until then
}

// drains is rule 3.
func (c *court) drains() {
	barred := map[[2]int]map[string][]phases{}
	for _, l := range c.rec.NodeProcesses {
		barred[[2]int{l.Node, l.Generation}] = c.learned(l)
	}
	for _, a := range c.rec.Attempts {
		t := c.tries[a.Request]
		if t == nil || a.Origin {
			continue
		}
		for _, p := range barred[[2]int{t.Node, t.Generation}][a.Server] {
			limit := p.from + c.rules.DrainGrace + c.rules.Tolerance
			if a.FirstByteAt > limit && (p.to == 0 || a.FirstByteAt < p.to) {
				c.breach(Drains, SentToDraining, a.FirstByteAt, t, a.Server, "a new attempt %v after the node was told that the server drains or is gone",
					a.FirstByteAt-p.from)
			}
		}
	}
}

// hands is rule 3 for servers that were banned by hand, the origin among them, and rule 1 for nodes that were drained so:
// clients that are kept on by one that is about to go are lost with it.
func (c *court) hands() {
	for _, h := range c.rec.Bans {
		limit := h.From + c.rules.DrainGrace + c.rules.Tolerance
		for _, a := range c.rec.Attempts {
			if t := c.tries[a.Request]; t != nil && t.Node == h.Node && a.Server == h.Server && a.FirstByteAt > limit && (h.To == 0 || a.FirstByteAt < h.To) {
				c.breach(Drains, SentToBanned, a.FirstByteAt, t, a.Server, "a new attempt %v after the server was banned by hand", a.FirstByteAt-h.From)
			}
		}
	}
	for _, l := range c.rec.LameDuckChecks {
		switch {
		case l.CheckedAt == 0:
		case l.Ready:
			c.breach(OneAnswer, NotDrained, l.CheckedAt, nil, "", "node %d still says that it takes clients %v after it was drained", l.Node+1, l.CheckedAt-l.From)
		case l.IdleConns > 0:
			c.breach(OneAnswer, NotDrained, l.CheckedAt, nil, "", "node %d still holds %d idle connections %v after it was drained", l.Node+1, l.IdleConns, l.CheckedAt-l.From)
		}
	}
}

// learned follows what a node's process was told, by server.
func (c *court) learned(l *seen.NodeProcess) map[string][]phases {
	out := map[string][]phases{}
	phase := map[string]world.Phase{}
	vanished := []time.Duration{} // of serving servers, when
	serving := 0                  // before the first of them
	set := func(id string, p world.Phase, at time.Duration) {
		was, known := phase[id]
		phase[id] = p
		list := out[id]
		switch {
		case p == world.Deleted && known && was == world.Serving && c.rules.HoldTime > 0:
			out[id] = append(list, phases{from: at, vanished: true})
			vanished = append(vanished, at)
		case p != world.Serving && (!known || was == world.Serving):
			out[id] = append(list, phases{from: at})
		case p == world.Serving && known && was != world.Serving:
			list[len(list)-1].to = at
		}
	}
	for _, m := range l.InitialList {
		set(m.ID, m.Phase, l.StartedAt)
	}
	for _, n := range c.rec.ListUpdates {
		if n.Node != l.Node || n.Generation != l.Generation {
			continue
		}
		named := map[string]bool{}
		for _, m := range n.Members {
			named[m.ID] = true
			set(m.ID, m.Phase, n.At)
		}
		if !n.Snapshot {
			continue
		}
		for _, id := range sorted(phase) {
			if !named[id] && phase[id] != world.Deleted {
				set(id, world.Deleted, n.At)
			}
		}
	}
	for _, p := range phase {
		if p == world.Serving {
			serving++
		}
	}
	// Servers that vanish together, more than a stated part of those that serve, are kept for a stated time.
	for _, list := range out {
		for i, p := range list {
			if !p.vanished {
				continue
			}
			together := 0
			for _, at := range vanished {
				if at > p.from-massSpan && at < p.from+massSpan {
					together++
				}
			}
			if together >= 2 && float64(together) > c.rules.HoldPart*float64(serving+together)/2 {
				list[i].from += c.rules.HoldTime
			}
		}
	}
	return out
}

// massSpan is how long before and after each other servers vanish together.
const massSpan = 5 * time.Second

func sorted[V any](m map[string]V) []string {
	var all []string
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// startRounding is how far off the list may tell a start: it counts in milliseconds.
const startRounding = 2 * time.Millisecond

// started is when a node's process was told of a server's start, and whether it was.
func (c *court) started(l *seen.NodeProcess, id string, start time.Duration) (time.Duration, bool) {
	for _, m := range l.InitialList {
		if m.ID == id && m.Started != 0 && m.Started >= start-startRounding {
			return l.StartedAt, true
		}
	}
	for _, n := range c.rec.ListUpdates {
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

// cold is rule 4 for servers: all that reaches a cold one within any window stays under the multiple of what it can do,
// unless most of it came from nodes that had not been told of its start.
func (c *court) cold() {
	r := &c.rules
	if r.FallMultiple <= 0 {
		return
	}
	byServer := map[string][]*seen.Attempt{}
	for _, a := range c.rec.Attempts {
		if a.LastByteAt > 0 && !a.Origin {
			byServer[a.Server] = append(byServer[a.Server], a)
		}
	}
	for i, s := range c.rec.ServerStarts {
		if !s.Cold {
			continue
		}
		until := s.At + r.WarmUp
		for _, later := range c.rec.ServerStarts[i+1:] {
			if later.Server == s.Server {
				until = min(until, later.At)
			}
		}
		list := slices.DeleteFunc(slices.Clone(byServer[s.Server]), func(a *seen.Attempt) bool { return a.LastByteAt < s.At || a.LastByteAt >= until })
		slices.SortFunc(list, func(a, b *seen.Attempt) int { return cmp.Compare(a.LastByteAt, b.LastByteAt) })
		told := map[[2]int]time.Duration{}
		b := world.WorkBudget{Multiple: r.FallMultiple, Window: r.FallWindow}
		for _, a := range list {
			t := c.tries[a.Request]
			knows := false
			if t != nil {
				k := [2]int{t.Node, t.Generation}
				at, ok := told[k]
				if !ok {
					at = 1 << 62
					if x, was := c.started(c.life(t.Node, t.Generation), s.Server, s.At); was {
						at = x
					}
					told[k] = at
				}
				knows = a.FirstByteAt >= at
			}
			b.Slack = max(b.Slack, 2*a.Work)
			if spent, marked := b.Add(a.LastByteAt, a.Work, a.Capacity, knows); spent && marked >= 2.0/3 {
				c.breach(Cold, ColdOverload, a.LastByteAt, t, s.Server,
					"a server that started %v before, at %.2f of %.2f seconds of work a second, got over %g times that for %v, %.0f%% of it from nodes that had been told",
					a.LastByteAt-s.At, a.Capacity, s.Capacity, r.FallMultiple, r.FallWindow, 100*marked)
				break
			}
		}
	}
}

// originStops is rule 4 for the origin: a stop counts as broken when misses at cold servers were over 30% of what it had
// been sent, and over 1.25 times the reads that were due to those servers with their weights cut by the warm-up.
func (c *court) originStops() {
	r := &c.rules
	for _, stop := range c.rec.OriginStops {
		sent, cold, reads, due := 0, 0, 0, 0.0
		for _, a := range c.rec.Attempts {
			if a.LastByteAt <= 0 || a.LastByteAt > stop.At || a.LastByteAt <= stop.At-r.OriginOverloadWindow {
				continue
			}
			if !a.Origin {
				if !a.Write {
					reads++
				}
				continue
			}
			sent++
			if slices.ContainsFunc(c.attempts[a.Request], func(x *seen.Attempt) bool { return x.Cold && x.Answer == seen.NoValue && x.FirstByteAt < a.FirstByteAt }) {
				cold++
			}
		}
		due = float64(reads) * c.dueToCold(stop.At)
		if sent > 0 && float64(cold) > 0.3*float64(sent) && float64(cold) > 1.25*due {
			c.breach(Cold, OriginStopped, stop.At, nil, "", "of %d requests in %v, %d were misses at cold servers, to which %.0f reads were due",
				sent, r.OriginOverloadWindow, cold, due)
		}
	}
}

// dueToCold is the part of the reads that is due to the servers that are cold at a time, by weights cut by the warm-up.
func (c *court) dueToCold(at time.Duration) float64 {
	r := &c.rules
	last := map[string]seen.ServerStart{}
	for _, s := range c.rec.ServerStarts {
		if s.At <= at {
			last[s.Server] = s
		}
	}
	all, cold := 0.0, 0.0
	for _, id := range sorted(last) {
		s := last[id]
		w := r.Servers[id].Weight
		if w <= 0 {
			w = 1
		}
		if s.Cold && at-s.At < r.WarmUp {
			w *= r.ColdFrom + (1-r.ColdFrom)*float64(at-s.At)/float64(r.WarmUp)
			cold += w
		}
		all += w
	}
	if all == 0 {
		return 0
	}
	return cold / all
}

// Summary is a breach as one line.
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
