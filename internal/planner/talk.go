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
	heartbeat = time.Second
	// Guards against the whole states of a fleet all at once, when a planner or a network has come back: bytes a second, in
	// frames. A state with 420 servers all off takes some 9 KB: to 1,900 forwarders it has gone within 4 s, while what they
	// held before has not faded, on a thirtieth of a port of 1 Gbit/s. States of calm times go all at once.
	statesASecond = 4 << 20
	// For how long a whole state may be on its way to a forwarder that does not tell which change it expects next.
	arrives = 2 * time.Second
)

// speech is what a forwarder speaks, by what it has told on its connection.
type speech uint8

const (
	unheard speech = iota // nothing yet, and it is told nothing
	older                 // digests without a hold: it takes whole views
	newer
)

// outbox is what goes out. It belongs to the loop.
type outbox struct {
	waiting []*conn // for whole states, first come first served
	rate    float64 // bytes a second of these
	room    float64 // bytes of these that may go now
	filled  time.Duration
	made    map[plan.Hold]*made // in this tick, by what is held
	view    []byte              // of this tick, for all forwarders of before, while none is granted anything

	encoded, views, changes, states, doubts, paced int64
}

// made is a change that was encoded.
type made struct {
	raw   cbor.RawMessage
	frame []byte // without grants
	whole bool
}

// state is a whole state that went out on a connection.
type state struct {
	number   uint64 // among the changes there; 0: none did
	revision uint64
	at       time.Duration
}

// came reports whether a forwarder that holds h and expects the change of number next has had the state.
func (s *state) came(now time.Duration, own bool, h plan.Hold, next uint64) bool {
	return s.number == 0 || next > s.number || own && h.Revision >= s.revision || next == 0 && now-s.at >= arrives
}

// holds takes what a forwarder tells that it holds, and which change it expects next (0: it does not say). A history that is
// not this planner's own is that of another life.
func (c *conn) holds(now time.Duration, h plan.Hold, next uint64) error {
	own := c.p.cfg.Plan.History
	switch {
	case (h.History == 0) != (h.Revision == 0):
		return fmt.Errorf("holds revision %d of history %d", h.Revision, h.History)
	case h.History == own && h.Revision > c.p.plan.Revision():
		return fmt.Errorf("holds revision %d, which is to come", h.Revision)
	case next > c.count+1:
		return fmt.Errorf("expects change %d after %d", next, c.count)
	}
	c.speech = newer
	// Guards against a second whole state for each forwarder whose digest crosses the first one on the way: as all start, they
	// tell that they hold nothing until it has come.
	if !c.waits && !c.state.came(now, h.History == own, h, next) {
		return nil
	}
	if h.History != own && c.hold.History == own { // it was sent a state, and does not have it
		c.p.out.doubts++
	}
	c.hold = plan.Hold{History: h.History, Revision: h.Revision}
	return nil
}

// behind reports whether a forwarder has not taken the last two frames: it is late or frozen, and gets none.
func (c *conn) behind() bool { return len(c.out) == cap(c.out) }

// send tells each forwarder what is due to it.
func (p *Planner) send(now time.Duration) {
	if len(p.entries) == 0 || p.plan.Revision() == 0 {
		return // nothing is known
	}
	o := &p.out
	o.made, o.view = map[plan.Hold]*made{}, nil
	cold, revision := p.plan.HasColdServers(), p.plan.Revision()
	beat := min(heartbeat, cmp.Or(p.cfg.Plan.Valid, 3*time.Second)/3)
	for c := range p.conns {
		switch {
		case c.speech == unheard || c.behind():
		case c.speech == older:
			if frame := p.oldView(now, c, cold); frame != nil {
				c.out <- frame
				o.views++
			}
		case c.waits:
		case c.hold.History != p.cfg.Plan.History || p.change(now, c.hold).whole:
			c.waits = true
			o.waiting = append(o.waiting, c)
		// What it has not acknowledged may still be on its way: the heartbeat tells it again.
		case cold || max(c.hold.Revision, c.sent) < revision || now+p.cfg.Interval/2-c.last >= beat:
			if frame := p.changeTo(now, c, cold); frame != nil {
				c.out <- frame
				o.changes++
				c.count++
				c.last, c.sent = now, revision
			}
		}
	}
	p.sendStates(now, cold)
}

// sendStates sends whole states to those that wait, in turn, as far as there is room. One that is larger goes too, and the
// next wait the longer. A frozen forwarder goes to the end.
func (p *Planner) sendStates(now time.Duration, cold bool) {
	o := &p.out
	o.room = min(o.rate, o.room+o.rate*min(1, (now-o.filled).Seconds()))
	o.filled = now
	turn := o.waiting
	o.waiting = nil
	var late []*conn
	for i, c := range turn {
		if o.room <= 0 {
			o.waiting = append(o.waiting, turn[i:]...)
			o.paced += int64(len(turn) - i)
			break
		}
		switch {
		case !p.conns[c]:
			continue
		case c.behind():
			late = append(late, c)
			continue
		}
		c.hold = plan.Hold{}
		frame := p.changeTo(now, c, cold)
		if frame == nil {
			continue
		}
		c.out <- frame
		o.states++
		c.count++
		o.room -= float64(len(frame))
		// It holds that now, unless it says otherwise.
		revision := p.plan.Revision()
		c.waits, c.hold, c.last, c.sent = false, plan.Hold{History: p.cfg.Plan.History, Revision: revision}, now, revision
		c.state = state{c.count, revision, now}
	}
	o.waiting = append(o.waiting, late...)
}

// change is what leads from what is held to the present state, made once a tick for all that hold the same.
func (p *Planner) change(now time.Duration, base plan.Hold) *made {
	m := p.out.made[base]
	if m != nil {
		return m
	}
	m = &made{}
	p.out.made[base] = m
	c, whole := p.plan.Change(now, base)
	if m.whole = whole; whole && base != (plan.Hold{}) {
		return m // those who hold it wait for a whole state like any other
	}
	p.out.encoded++
	var err error
	if m.raw, err = planwire.EncodeChange(c); err == nil {
		m.frame, err = planwire.AppendChange(nil, m.raw)
	}
	if err != nil {
		p.note("change_failed", fmt.Sprintf("why=%q", err))
	}
	return m
}

// changeTo is the frame that one forwarder gets: what goes to all alike, and its own grants; nil: there is none.
func (p *Planner) changeTo(now time.Duration, c *conn, cold bool) []byte {
	m := p.change(now, c.hold)
	if !cold || m.frame == nil || c.seq == 0 {
		return m.frame
	}
	grants := p.plan.Grants(now, c.name)
	if len(grants) == 0 {
		return m.frame
	}
	frame, err := planwire.AppendGrants(nil, m.raw, grants, c.seq, now-c.heard)
	if err != nil {
		return nil
	}
	return frame
}

// oldView is the whole view for a forwarder of before; nil: there is none.
func (p *Planner) oldView(now time.Duration, c *conn, cold bool) []byte {
	if p.out.view != nil {
		return p.out.view
	}
	v := p.plan.View(now, now, c.name)
	frame, err := planwire.Append(nil, planwire.Message{View: &v})
	if err != nil {
		return nil
	}
	if !cold {
		p.out.view = frame
	}
	return frame
}
