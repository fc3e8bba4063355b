package planner

import (
	"cmp"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisshelf/decide/plan"
	"lapisshelf/internal/planwire"
)

// What goes to which forwarder, and when. A forwarder that tells what it holds gets changes from there; one that does not
// is of before there were changes, and gets whole views.

const (
	// A forwarder that holds the present state hears so often that it still stands: thrice within a validity of 3 s.
	heartbeatInterval = time.Second
	// Guards against the whole states of a fleet all at once, when a planner or a network has come back: bytes a second, in
	// frames. A state with 420 servers all off takes some 9 KB: to 1,900 forwarders it has gone within 4 s, while what they
	// held before has not faded, on a thirtieth of a port of 1 Gbit/s. States of calm times go all at once.
	stateBytesPerSecond = 4 << 20
	// For how long a whole state may be on its way to a forwarder that does not tell which change it expects next.
	stateTransitTime = 2 * time.Second
)

// protocol is what a forwarder speaks, by what it has told on its connection.
type protocol uint8

const (
	protocolUnknown protocol = iota // nothing yet, and it is told nothing
	protocolViews                   // digests without a hold: it takes whole views
	protocolChanges
)

// sender is what goes out. It belongs to the loop.
type sender struct {
	awaitingState []*conn // for whole states, first come first served
	rate          float64 // bytes a second of these
	budget        float64 // bytes of these that may go now
	refilled      time.Duration
	encodedFrom   map[plan.Hold]*encodedChange // in this tick, by what is held
	fullView      []byte                       // of this tick, for all forwarders of before, while none is granted anything

	changesEncoded, viewsSent, changesSent, statesSent, lostStates, statesPaced int64
}

// encodedChange is a change that was encoded.
type encodedChange struct {
	raw   cbor.RawMessage
	frame []byte // without grants
	full  bool
}

// sentState is a whole state that went out on a connection.
type sentState struct {
	seq      uint64 // among the changes there; 0: none did
	revision uint64
	sentAt   time.Duration
}

// received reports whether a forwarder that holds h and expects the change of number next has had the state.
func (s *sentState) received(now time.Duration, sameHistory bool, h plan.Hold, nextChange uint64) bool {
	return s.seq == 0 || nextChange > s.seq || sameHistory && h.Revision >= s.revision || nextChange == 0 && now-s.sentAt >= stateTransitTime
}

// updateHold takes what a forwarder tells that it holds, and which change it expects next (0: it does not say). A history that is
// not this planner's own is that of another life.
func (c *conn) updateHold(now time.Duration, h plan.Hold, nextChange uint64) error {
	own := c.p.cfg.Plan.History
	switch {
	case (h.History == 0) != (h.Revision == 0):
		return fmt.Errorf("holds revision %d of history %d", h.Revision, h.History)
	case h.History == own && h.Revision > c.p.plan.Revision():
		return fmt.Errorf("holds revision %d, which is to come", h.Revision)
	case nextChange > c.changesSent+1:
		return fmt.Errorf("expects change %d after %d", nextChange, c.changesSent)
	}
	c.protocol = protocolChanges
	// Guards against a second whole state for each forwarder whose digest crosses the first one on the way: as all start, they
	// tell that they hold nothing until it has come.
	if !c.awaitsState && !c.lastState.received(now, h.History == own, h, nextChange) {
		return nil
	}
	if h.History != own && c.hold.History == own { // it was sent a state, and does not have it
		c.p.sender.lostStates++
	}
	c.hold = plan.Hold{History: h.History, Revision: h.Revision}
	return nil
}

// backlogged reports whether a forwarder has not taken the last two frames: it is late or frozen, and gets none.
func (c *conn) backlogged() bool { return len(c.out) == cap(c.out) }

// sendUpdates tells each forwarder what is due to it.
func (p *Planner) sendUpdates(now time.Duration) {
	if len(p.entries) == 0 || p.plan.Revision() == 0 {
		return // nothing is known
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
		// What it has not acknowledged may still be on its way: the heartbeat tells it again.
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

// sendFullStates sends whole states to those that wait, in turn, as far as there is room. One that is larger goes too, and the
// next wait the longer. A frozen forwarder goes to the end.
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
		// It holds that now, unless it says otherwise.
		revision := p.plan.Revision()
		c.awaitsState, c.hold, c.lastSent, c.sentRevision = false, plan.Hold{History: p.cfg.Plan.History, Revision: revision}, now, revision
		c.lastState = sentState{c.changesSent, revision, now}
	}
	o.awaitingState = append(o.awaitingState, backlogged...)
}

// changeFrom is what leads from what is held to the present state, made once a tick for all that hold the same.
func (p *Planner) changeFrom(now time.Duration, base plan.Hold) *encodedChange {
	m := p.sender.encodedFrom[base]
	if m != nil {
		return m
	}
	m = &encodedChange{}
	p.sender.encodedFrom[base] = m
	c, full := p.plan.Change(now, base)
	if m.full = full; full && base != (plan.Hold{}) {
		return m // those who hold it wait for a whole state like any other
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

// frameFor is the frame that one forwarder gets: what goes to all alike, and its own grants; nil: there is none.
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

// fullViewFor is the whole view for a forwarder of before; nil: there is none.
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
