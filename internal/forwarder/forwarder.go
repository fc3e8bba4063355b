// Package forwarder is a node's side of the planners: it counts what the node sees, tells planners of it in digests, and has
// the changes that come back judged by decide/follow and put in force. With each digest it tells what it holds of that
// planner's states. A planner that has told views alone since the connection came up is an older one: it gets whole digests. All of it runs on the node's loop but for TLS, which
// has goroutines of its own; nothing of it is in a request's way. A nil Forwarder counts nothing.
package forwarder

import (
	"cmp"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"lapisshelf/decide/follow"
	"lapisshelf/decide/plan"
	"lapisshelf/internal/loop"
	"lapisshelf/internal/planwire"
	"lapisshelf/policy"
)

const (
	fadeInterval   = 500 * time.Millisecond
	minRedialDelay = 500 * time.Millisecond
	maxRedialDelay = 5 * time.Second
	idleTimeout    = 10 * time.Second // a planner that says nothing for so long is dialled anew
	maxHellos      = 5                // digests without counts to a planner that has not said what it speaks; then they are whole
	maxKeptBuffer  = 16 << 10         // bytes of room for what comes that a connection keeps
	logInterval    = 10 * time.Second // of refused views
)

// Config says which planners there are. Zero times take the defaults told with them.
type Config struct {
	Planners []netip.AddrPort
	Name     string        // the node's
	TLS      *tls.Config   // with the node's certificate
	Interval time.Duration // between digests, give or take a fifth; 1 s
	Fade     time.Duration // of views that are no longer valid; 10 s
	Legacy   bool          // it speaks as one of before there were changes: whole digests, views alone
}

// Forwarder is one node's. It is made by New and used from the loop alone.
type Forwarder struct {
	loop       *loop.Loop
	cfg        Config
	ready      func() []follow.Server
	apply      func(policy.View)
	logEvent   func(event, why string)
	follower   *follow.Follower
	links      []*link
	collector  *plan.Collector
	trust      float64 // in force
	version    uint64  // of the follower, at that time
	lastLogged time.Duration
	closed     bool
	timers     []*loop.Timer
	dialer     *follow.Dialer
	dialTimer  *loop.Timer
	// Digests are how many went, Wholes how many of these named all servers; Views are how many views and changes came;
	// Errors, connections that ended.
	DigestsSent, FullDigests, ViewsReceived, ClosedConns int64
	// BytesIn and BytesOut are what has come and gone over the sockets, TLS included, as of the last message or Status.
	BytesIn, BytesOut int64
}

// protocol is what a planner speaks, by what it has said since its connection came up.
type protocol uint8

const (
	protocolUnknown protocol = iota
	protocolViews            // whole ones alone: it is of before there were changes
	protocolChanges
)

// link is the connection to one planner.
type link struct {
	f                     *Forwarder
	index                 int // of the planner, for follow.Dialer
	addr                  netip.AddrPort
	conn                  *loop.TLSConn
	up                    bool
	input                 []byte
	lastReceived          time.Duration
	redialDelay           time.Duration // before the next try
	redialTimer           *loop.Timer
	closeReason           string // it ended last
	plannerID             string // its id, also while it is away: what is held of it is told as soon as it is back
	protocol              protocol
	hellosSent            int    // since the connection came up
	changesReceived       uint64 // that came since then
	countedIn, countedOut int64  // bytes counted so far
}

// New begins to talk to the planners. Ready tells which servers serve by the node's list, apply is given the view in
// force whenever that changes, an empty one where there is none.
func New(l *loop.Loop, cfg Config, ready func() []follow.Server, apply func(policy.View), logEvent func(event, why string)) *Forwarder {
	cfg.Interval = cmp.Or(cfg.Interval, time.Second)
	f := &Forwarder{loop: l, cfg: cfg, ready: ready, apply: apply, logEvent: logEvent, follower: follow.New(follow.Config{Fade: cfg.Fade}),
		collector: plan.NewCollector(l.Now(), cfg.Name)}
	for i, addr := range cfg.Planners {
		f.links = append(f.links, &link{f: f, index: i, addr: addr, redialDelay: minRedialDelay})
	}
	f.dialer = follow.NewDialer(l.Now(), len(f.links), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	f.dialDue()
	f.timers = []*loop.Timer{nil, nil}
	f.sendDigests()
	f.updateFade()
	return f
}

// Request counts a request that was taken.
func (f *Forwarder) Request(key, tenant string) {
	if f != nil {
		f.collector.Request(key, tenant)
	}
}

// Attempt counts the end of an attempt, see plan.Collector.
func (f *Forwarder) Attempt(server string, origin bool, o policy.Outcome, took time.Duration, timely, own bool) {
	if f != nil {
		f.collector.Attempt(server, origin, o, took, timely, own)
	}
}

// sendDigests sends a digest to all planners that are there, and comes back.
func (f *Forwarder) sendDigests() {
	if f.closed {
		return
	}
	now := f.loop.Now()
	full := f.collector.Digest(now)
	f.follower.DigestSent(now, full.Seq)
	brief := f.collector.Brief(full)
	frames := map[digestForm][]byte{} // planners that are alike get the same
	for _, l := range f.links {
		if !l.up {
			continue
		}
		l.countBytes()
		if now-l.lastReceived > idleTimeout {
			l.conn.Close()
			l.End(errors.New("it says nothing"))
			continue
		}
		form := l.digestForm()
		frame, ok := frames[form]
		if !ok {
			d := full
			if form.brief {
				d = brief
			}
			if form.hello {
				d = f.collector.Hello()
				f.follower.DigestSent(now, d.Seq)
			}
			var err error
			if frame, err = planwire.Append(nil, planwire.Message{Digest: d, Hold: form.sentHold(), NextChange: form.nextChange}); err != nil {
				continue // a digest too large to tell
			}
			frames[form] = frame
		}
		l.sendDigest(form, frame)
	}
	// Guards against a fleet whose digests all come at one moment.
	f.timers[0] = f.loop.After(f.cfg.Interval*4/5+time.Duration(rand.Int64N(int64(f.cfg.Interval)*2/5)), f.sendDigests)
}

// digestForm is how a digest is told to a planner.
type digestForm struct {
	hello      bool // no counts
	brief      bool
	noHold     bool // no hold: as before there were changes
	hold       plan.Hold
	nextChange uint64 // change that is expected
}

func (form *digestForm) sentHold() *plan.Hold {
	if form.noHold {
		return nil
	}
	return &form.hold
}

// digestForm is what a planner is to be told now.
func (l *link) digestForm() digestForm {
	if l.f.cfg.Legacy {
		return digestForm{noHold: true}
	}
	// Guards against a fleet that tells whole digests, much longer ones, to a planner that has come back.
	hello := l.protocol == protocolUnknown && l.hellosSent < maxHellos
	// Guards against brief digests at a planner that would take them for whole ones: only changes prove it a new one.
	return digestForm{hello: hello, brief: l.protocol == protocolChanges, hold: l.f.follower.Hold(l.plannerID), nextChange: l.changesReceived + 1}
}

func (l *link) sendDigest(form digestForm, frame []byte) {
	l.f.DigestsSent++
	switch {
	case form.hello:
		l.hellosSent++
	case !form.brief:
		l.f.FullDigests++
	}
	l.conn.Write(frame)
}

// countBytes notes what has come and gone over the socket.
func (l *link) countBytes() {
	in, out := l.conn.Bytes()
	l.f.BytesIn, l.f.BytesOut = l.f.BytesIn+in-l.countedIn, l.f.BytesOut+out-l.countedOut
	l.countedIn, l.countedOut = in, out
}

// updateFade puts in force what is left of a view that ages.
func (f *Forwarder) updateFade() {
	if f.closed {
		return
	}
	if v, trust := f.follower.Now(f.loop.Now()); trust != f.trust {
		if trust == 0 || trust < 1 && f.trust == 1 {
			f.logEvent("view_fades", fmt.Sprintf("trust=%.2f", trust))
		}
		f.trust, f.version = trust, f.follower.Version()
		f.apply(v)
	}
	f.timers[1] = f.loop.After(fadeInterval, f.updateFade)
}

// handleMessage has a view or a change judged, and puts in force what it makes another.
func (f *Forwarder) handleMessage(l *link, m planwire.Message) {
	now := f.loop.Now()
	f.ViewsReceived++
	if l.protocol == protocolUnknown {
		f.dialer.FirstMessage(now, l.index)
		f.dialDue()
	}
	f.follower.SetAwaited(f.dialer.Awaited(now))
	held, _ := f.follower.Held()
	var outcome follow.Outcome
	var err error
	if c := m.Change; c != nil {
		l.changesReceived++
		l.protocol, l.plannerID = protocolChanges, c.Planner
		outcome, err = f.follower.TakeChange(now, *c, f.ready())
	} else {
		if l.plannerID = m.View.Planner; l.protocol == protocolUnknown {
			l.protocol = protocolViews
		}
		outcome, err = f.follower.TakeView(now, *m.View, f.ready())
	}
	v, _ := f.follower.Held()
	version := f.follower.Version()
	changed := version != f.version // also by what a planner grants that is not followed
	if outcome == follow.Accepted && f.trust != 1 {
		f.trust, changed = 1, true
	}
	if f.version = version; changed {
		f.apply(v.View)
	}
	if outcome != follow.Accepted {
		if outcome != follow.OtherPlanner && (f.lastLogged == 0 || now-f.lastLogged > logInterval) {
			f.lastLogged = now
			f.logEvent("view_refused", fmt.Sprintf("planner=%q addr=%s reason=%s why=%q", l.plannerID, l.addr, outcome, err))
		}
		return
	}
	if held == nil || held.Planner != v.Planner || held.Epoch != v.Epoch {
		f.logEvent("follows", fmt.Sprintf("planner=%q epoch=%d", v.Planner, v.Epoch))
	}
}

// Reload has connections that are made from now on use other certificates.
func (f *Forwarder) Reload(cfg *tls.Config) {
	if f != nil {
		f.cfg.TLS = cfg
	}
}

// Close ends all connections. A node that ends goes on by the view that it holds.
func (f *Forwarder) Close() {
	if f == nil || f.closed {
		return
	}
	f.closed = true
	for _, t := range append(f.timers, f.dialTimer) {
		t.Stop()
	}
	for _, l := range f.links {
		l.redialTimer.Stop()
		if l.conn != nil {
			l.conn.Close()
		}
	}
}

// Status is what a forwarder acts on, in plain lines.
func (f *Forwarder) Status() string {
	if f == nil {
		return "no planners\n"
	}
	var b strings.Builder
	now := f.loop.Now()
	v, trust := f.follower.Now(now)
	if held, arrived := f.follower.Held(); held != nil {
		fmt.Fprintf(&b, "view of %s, epoch %d, came %.1f s ago, trusted %.2f\n", held.Planner, held.Epoch, (now - arrived).Seconds(), trust)
	} else {
		b.WriteString("no view\n")
	}
	for _, l := range f.links {
		if l.up {
			l.countBytes()
			h := f.follower.Hold(l.plannerID)
			fmt.Fprintf(&b, "planner %s up %s, heard %.1f s ago, tells %s, revision %d of %016x is held\n", l.addr, l.plannerID, (now - l.lastReceived).Seconds(),
				[]string{protocolUnknown: "nothing", protocolViews: "views", protocolChanges: "changes"}[l.protocol], h.Revision, h.History)
		} else {
			fmt.Fprintf(&b, "planner %s down: %s\n", l.addr, cmp.Or(l.closeReason, "not tried yet"))
		}
	}
	for _, s := range v.Servers {
		if s.Factor < 1 || s.Allow > 0 {
			fmt.Fprintf(&b, "server %s factor %.2f allow %.1f/s\n", s.ID, s.Factor, s.Allow)
		}
	}
	if v.Admit > 0 {
		fmt.Fprintf(&b, "origin takes %.2f of the reads\n", v.Admit)
	}
	for _, h := range v.Hot {
		fmt.Fprintf(&b, "hot key %08x load %.1f\n", h.Key, h.Load)
	}
	for _, outcome := range []follow.Outcome{follow.Accepted, follow.Invalid, follow.Epoch, follow.OutOfOrder, follow.OtherPlanner, follow.Mismatch} {
		fmt.Fprintf(&b, "views %s %d\n", outcome, f.follower.Counts[outcome])
	}
	fmt.Fprintf(&b, "grants too late %d\n", f.follower.StaleGrants)
	fmt.Fprintf(&b, "digests %d, %d of them whole; bytes in %d, out %d\n", f.DigestsSent, f.FullDigests, f.BytesIn, f.BytesOut)
	return b.String()
}

// dialDue opens connections that are due, and comes back when another may be.
func (f *Forwarder) dialDue() {
	if f.closed {
		return
	}
	now := f.loop.Now()
	f.dialTimer.Stop()
	i, wait := f.dialer.Next(now)
	for ; i >= 0; i, wait = f.dialer.Next(now) {
		l := f.links[i]
		l.lastReceived = now
		l.conn = f.loop.DialTLS(l.addr, f.cfg.TLS, l)
	}
	if wait >= 0 {
		f.dialTimer = f.loop.After(wait, f.dialDue)
	}
}

func (l *link) scheduleRedial(after time.Duration) {
	l.redialTimer = l.f.loop.After(after, func() {
		held, _ := l.f.follower.Held()
		l.f.dialer.Enqueue(l.f.loop.Now(), l.index, held != nil && held.Planner == l.plannerID)
		l.f.dialDue()
	})
}

// Connected implements loop.Handler.
func (l *link) Connected() {
	now := l.f.loop.Now()
	l.up, l.redialDelay, l.lastReceived, l.hellosSent, l.changesReceived, l.protocol = true, minRedialDelay, now, 0, 0, protocolUnknown
	l.f.logEvent("planner_up", "addr="+l.addr.String())
	if l.f.cfg.Legacy {
		return
	}
	form, d := l.digestForm(), l.f.collector.Hello()
	l.f.follower.DigestSent(now, d.Seq)
	if frame, err := planwire.Append(nil, planwire.Message{Digest: d, Hold: form.sentHold(), NextChange: form.nextChange}); err == nil {
		l.sendDigest(form, frame)
	}
}

// Flushed implements loop.Handler.
func (l *link) Flushed() {}

// Data implements loop.Handler.
func (l *link) Data(data []byte) {
	l.lastReceived = l.f.loop.Now()
	l.countBytes()
	l.input = append(l.input, data...)
	consumed := 0
	for !l.f.closed {
		m, used, err := planwire.Next(l.input[consumed:])
		switch {
		case err != nil:
		case m.Digest != nil:
			err = errors.New("a digest from a planner")
		case m.Change != nil && l.f.cfg.Legacy:
			err = errors.New("neither a digest nor a view")
		}
		if err != nil {
			l.conn.Close()
			l.End(err)
			return
		}
		if used == 0 {
			break
		}
		consumed += used
		l.f.handleMessage(l, m)
	}
	if l.input = append(l.input[:0], l.input[consumed:]...); len(l.input) == 0 && cap(l.input) > maxKeptBuffer {
		l.input = nil
	}
}

// End implements loop.Handler: it is dialled again, after a growing while.
func (l *link) End(err error) {
	l.f.ClosedConns++
	if l.conn != nil {
		l.countBytes()
	}
	reason := fmt.Sprint(err)
	if l.up || reason != l.closeReason { // once for each cause
		l.f.logEvent("planner_down", fmt.Sprintf("addr=%s why=%q", l.addr, reason))
	}
	l.up, l.closeReason, l.input, l.conn, l.countedIn, l.countedOut = false, reason, nil, nil, 0, 0
	l.f.dialer.Failed(l.f.loop.Now(), l.index)
	l.f.dialDue()
	l.redialDelay = min(2*l.redialDelay, maxRedialDelay)
	l.scheduleRedial(l.redialDelay/2 + time.Duration(rand.Int64N(int64(l.redialDelay))/2))
}
