package planner

import (
	"cmp"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisshelf/decide/plan"
	"lapisshelf/internal/planwire"
)

// This file decides what is sent to each forwarder, and when. A forwarder whose digests say which state it holds gets changes
// from that state. One whose digests do not is older than changes, and gets full views.

const (
	// A forwarder that holds the current state is sent an empty change at this interval, to extend the validity of its view:
	// three times within a validity of 3 s.
	heartbeatInterval = time.Second
	// Limits the rate of full states, in bytes of frames per second, when a whole fleet needs one after a restart of the
	// planner or a network outage. A state in which 420 servers all have a factor below 1 takes about 9 KB. At this rate it
	// reaches 1,900 forwarders within 4 s, before the views that they held have faded, and uses a thirtieth of a 1 Gbit/s
	// port. A state without such factors is so small that all forwarders get it at once.
	stateBytesPerSecond = 4 << 20
	// How long a full state counts as in transit to a forwarder that does not report which change it expects next.
	stateTransitTime = 2 * time.Second
)

// protocol is the form in which a forwarder takes the state, detected on each connection from its digests.
type protocol uint8

const (
	protocolUnknown protocol = iota // no digest yet: nothing is sent
	protocolViews                   // digests without a hold: it takes full views
	protocolChanges
)

// sender is the state and the counters of sending. It is used only on the loop.
type sender struct {
	awaitingState []*conn                      // connections that need a full state, first come, first served
	rate          float64                      // of full states, bytes per second
	budget        float64                      // bytes of full states that may be sent now
	refilled      time.Duration                // when the budget was last refilled
	encodedFrom   map[plan.Hold]*encodedChange // changes of the current update, by the state that they start from
	fullView      []byte                       // frame of the current update for all forwarders without changes; nil while servers are cold, as grants differ

	changesEncoded, viewsSent, changesSent, statesSent, lostStates, statesPaced int64
}

// encodedChange is a change encoded for all forwarders that hold the same state.
type encodedChange struct {
	raw   cbor.RawMessage
	frame []byte // without grants; nil: encoding failed, or a full state is needed
	full  bool
}

// sentState records the last full state sent on a connection.
type sentState struct {
	seq      uint64 // its number among the connection's changes, from 1; 0: none was sent
	revision uint64
	sentAt   time.Duration
}

// received reports whether the state has arrived at a forwarder that reports the hold h and expects the change with number
// nextChange. sameHistory: h is of this planner's run.
func (s *sentState) received(now time.Duration, sameHistory bool, h plan.Hold, nextChange uint64) bool {
	return s.seq == 0 || nextChange > s.seq || sameHistory && h.Revision >= s.revision || nextChange == 0 && now-s.sentAt >= stateTransitTime
}

// updateHold processes a forwarder's report of the state that it holds and the number of the change that it expects next (0:
// not reported). A history other than the planner's own is that of another run.
func (c *conn) updateHold(now time.Duration, h plan.Hold, nextChange uint64) error {
	own := c.p.cfg.Plan.History
	switch {
	case (h.History == 0) != (h.Revision == 0):
		return fmt.Errorf("holds revision %d of history %d", h.Revision, h.History)
	case h.History == own && h.Revision > c.p.plan.Revision():
		return fmt.Errorf("holds revision %d, which does not exist yet", h.Revision)
	case nextChange > c.changesSent+1:
		return fmt.Errorf("expects change %d, but only %d were sent", nextChange, c.changesSent)
	}
	c.protocol = protocolChanges
	// While a full state is in transit, the forwarder still reports that it holds nothing. Without this check, each forwarder
	// whose digest crosses the state on the way would get a second one when a fleet starts.
	if !c.awaitsState && !c.lastState.received(now, h.History == own, h, nextChange) {
		return nil
	}
	if h.History != own && c.hold.History == own { // the forwarder was sent a state, but does not hold it
		c.p.sender.lostStates++
	}
	c.hold = plan.Hold{History: h.History, Revision: h.Revision}
	return nil
}

// backlogged reports whether the last two frames have not been written yet. A forwarder that slow, or hung, is sent nothing.
func (c *conn) backlogged() bool { return len(c.out) == cap(c.out) }

// sendUpdates sends each forwarder the change or view that is due.
func (p *Planner) sendUpdates(now time.Duration) {
	if len(p.entries) == 0 || p.plan.Revision() == 0 {
		return // there is no server list or no state yet
	}
	o := &p.sender
	o.encodedFrom, o.fullView = map[plan.Hold]*encodedChange{}, nil
	cold, revision := p.plan.HasColdServers(), p.plan.Revision()
	beat := min(heartbeatInterval, cmp.Or(p.cfg.Plan.Valid, 3*time.Second)/3)
	for c := range p.conns {
		switch {
		case c.protocol == protocolUnknown || c.backlogged():
		case c.protocol == protocolViews:
			if frame := p.fullViewFor(now, c, cold); frame != nil {
				c.out <- frame
				o.viewsSent++
			}
		case c.awaitsState:
		case c.hold.History != p.cfg.Plan.History || p.changeFrom(now, c.hold).full:
			c.awaitsState = true
			o.awaitingState = append(o.awaitingState, c)
		// A change that is not acknowledged may still be in transit. The next heartbeat repeats it.
		case cold || max(c.hold.Revision, c.sentRevision) < revision || now+p.cfg.Interval/2-c.lastSent >= beat:
			if frame := p.frameFor(now, c, cold); frame != nil {
				c.out <- frame
				o.changesSent++
				c.changesSent++
				c.lastSent, c.sentRevision = now, revision
			}
		}
	}
	p.sendFullStates(now, cold)
}

// sendFullStates sends full states to the waiting connections in order, while the budget is positive. A state larger than the
// rest of the budget is sent too: it makes the budget negative, and the next ones wait longer. Backlogged connections move to
// the end of the queue.
func (p *Planner) sendFullStates(now time.Duration, cold bool) {
	o := &p.sender
	o.budget = min(o.rate, o.budget+o.rate*min(1, (now-o.refilled).Seconds()))
	o.refilled = now
	queue := o.awaitingState
	o.awaitingState = nil
	var backlogged []*conn
	for i, c := range queue {
		if o.budget <= 0 {
			o.awaitingState = append(o.awaitingState, queue[i:]...)
			o.statesPaced += int64(len(queue) - i)
			break
		}
		switch {
		case !p.conns[c]:
			continue
		case c.backlogged():
			backlogged = append(backlogged, c)
			continue
		}
		c.hold = plan.Hold{}
		frame := p.frameFor(now, c, cold)
		if frame == nil {
			continue
		}
		c.out <- frame
		o.statesSent++
		c.changesSent++
		o.budget -= float64(len(frame))
		// The state counts as held until the forwarder reports otherwise.
		revision := p.plan.Revision()
		c.awaitsState, c.hold, c.lastSent, c.sentRevision = false, plan.Hold{History: p.cfg.Plan.History, Revision: revision}, now, revision
		c.lastState = sentState{c.changesSent, revision, now}
	}
	o.awaitingState = append(o.awaitingState, backlogged...)
}

// changeFrom returns the change from a held state to the current one. It is encoded once per update for all forwarders that
// hold the same state.
func (p *Planner) changeFrom(now time.Duration, base plan.Hold) *encodedChange {
	m := p.sender.encodedFrom[base]
	if m != nil {
		return m
	}
	m = &encodedChange{}
	p.sender.encodedFrom[base] = m
	c, full := p.plan.Change(now, base)
	if m.full = full; full && base != (plan.Hold{}) {
		return m // the forwarders that hold it wait for a full state
	}
	p.sender.changesEncoded++
	var err error
	if m.raw, err = planwire.EncodeChange(c); err == nil {
		m.frame, err = planwire.AppendChange(nil, m.raw)
	}
	if err != nil {
		p.logEvent("change_failed", fmt.Sprintf("why=%q", err))
	}
	return m
}

// frameFor returns the frame for one forwarder: the shared change, with the forwarder's own grants while servers are cold.
// nil: there is none.
func (p *Planner) frameFor(now time.Duration, c *conn, cold bool) []byte {
	m := p.changeFrom(now, c.hold)
	if !cold || m.frame == nil || c.lastDigestSeq == 0 {
		return m.frame
	}
	grants := p.plan.Grants(now, c.name)
	if len(grants) == 0 {
		return m.frame
	}
	frame, err := planwire.AppendGrants(nil, m.raw, grants, c.lastDigestSeq, now-c.lastDigestAt)
	if err != nil {
		return nil
	}
	return frame
}

// fullViewFor returns the frame of a full view for a forwarder that does not support changes; nil: there is none.
func (p *Planner) fullViewFor(now time.Duration, c *conn, cold bool) []byte {
	if p.sender.fullView != nil {
		return p.sender.fullView
	}
	v := p.plan.View(now, now, c.name)
	frame, err := planwire.Append(nil, planwire.Message{View: &v})
	if err != nil {
		return nil
	}
	if !cold {
		p.sender.fullView = frame
	}
	return frame
}
