// Package forwarder is a node's client of the planners. It counts what the node sees, reports the counts to all planners in
// digests, passes the changes that come back to decide/follow, and puts the resulting view in force. Each digest says which
// state of that planner the forwarder holds. A planner that has sent only views since the connection was opened is an older
// one, and gets full digests. Everything runs on the node's event loop except TLS, which has goroutines of its own, and no
// request waits for any of it. A nil Forwarder counts nothing.
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
	idleTimeout    = 10 * time.Second // a connection on which nothing has arrived for this long is closed and redialed
	maxHellos      = 5                // digests without counts sent while the planner's protocol is unknown; full digests follow
	maxKeptBuffer  = 16 << 10         // bytes; a larger read buffer is freed once it is empty
	logInterval    = 10 * time.Second // min time between log lines about rejected views
)

// Config configures a Forwarder. A zero duration takes the stated default.
type Config struct {
	Planners []netip.AddrPort
	Name     string        // of the node
	TLS      *tls.Config   // includes the node's certificate
	Interval time.Duration // between digests, with a jitter of a fifth; 1 s
	Fade     time.Duration // time in which a view that is no longer valid loses its effect; 10 s
	Legacy   bool          // use the protocol without changes: send full digests, accept only views
}

// Forwarder is a node's connections to its planners and the view in force. It is created by New and used only from the loop.
type Forwarder struct {
	loop       *loop.Loop
	cfg        Config
	ready      func() []follow.Server
	apply      func(policy.View)
	logEvent   func(event, why string)
	follower   *follow.Follower
	links      []*link
	collector  *plan.Collector
	trust      float64 // in the view in force
	version    uint64  // the follower's, when the view was last applied
	lastLogged time.Duration
	closed     bool
	timers     []*loop.Timer
	dialer     *follow.Dialer
	dialTimer  *loop.Timer
	// DigestsSent counts digests, FullDigests those of them that name all servers, ViewsReceived views and changes, and
	// ClosedConns connections that ended or failed.
	DigestsSent, FullDigests, ViewsReceived, ClosedConns int64
	// BytesIn and BytesOut count bytes on the sockets, including TLS. They are updated with each message and by Status.
	BytesIn, BytesOut int64
}

// protocol is the form in which a planner sends its state, detected anew on each connection from its messages.
type protocol uint8

const (
	protocolUnknown protocol = iota
	protocolViews            // full views only: the planner is older than changes
	protocolChanges
)

// link is the connection to one planner.
type link struct {
	f                     *Forwarder
	index                 int // of the planner in Config.Planners, for follow.Dialer
	addr                  netip.AddrPort
	conn                  *loop.TLSConn
	up                    bool
	input                 []byte
	lastReceived          time.Duration
	redialDelay           time.Duration // backoff before the next attempt
	redialTimer           *loop.Timer
	closeReason           string // why the connection last ended
	plannerID             string // kept while disconnected, so that the first digest after a reconnect says what is held of its state
	protocol              protocol
	hellosSent            int    // on this connection
	changesReceived       uint64 // on this connection
	countedIn, countedOut int64  // bytes of this connection already added to BytesIn and BytesOut
}

// New returns a Forwarder that starts connecting to the planners. ready returns the ready servers of the node's list. apply
// is called whenever the view in force changes, with an empty view if there is none.
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

// Attempt counts the end of an attempt, see plan.Collector.Attempt.
func (f *Forwarder) Attempt(server string, origin bool, o policy.Outcome, took time.Duration, timely, own bool) {
	if f != nil {
		f.collector.Attempt(server, origin, o, took, timely, own)
	}
}

// sendDigests sends a digest to each connected planner, and schedules the next one.
func (f *Forwarder) sendDigests() {
	if f.closed {
		return
	}
	now := f.loop.Now()
	full := f.collector.Digest(now)
	f.follower.DigestSent(now, full.Seq)
	brief := f.collector.Brief(full)
	frames := map[digestForm][]byte{} // encoded once for all planners that get the same form
	for _, l := range f.links {
		if !l.up {
			continue
		}
		l.countBytes()
		if now-l.lastReceived > idleTimeout {
			l.conn.Close()
			l.End(errors.New("idle timeout"))
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
				continue // the digest exceeds the maximum message size
			}
			frames[form] = frame
		}
		l.sendDigest(form, frame)
	}
	// The jitter keeps the digests of a fleet from arriving all at the same moment.
	f.timers[0] = f.loop.After(f.cfg.Interval*4/5+time.Duration(rand.Int64N(int64(f.cfg.Interval)*2/5)), f.sendDigests)
}

// digestForm selects the form of a digest and what is sent with it.
type digestForm struct {
	hello      bool // no counts
	brief      bool
	noHold     bool // omit the hold, as forwarders did before there were changes
	hold       plan.Hold
	nextChange uint64 // number of the next change expected on the connection
}

func (form *digestForm) sentHold() *plan.Hold {
	if form.noHold {
		return nil
	}
	return &form.hold
}

// digestForm returns the form of the next digest on this connection.
func (l *link) digestForm() digestForm {
	if l.f.cfg.Legacy {
		return digestForm{noHold: true}
	}
	// Short digests first keep a whole fleet from sending full ones, which are much longer, to a planner that has restarted.
	hello := l.protocol == protocolUnknown && l.hellosSent < maxHellos
	// A planner older than changes would take a brief digest for a full one. Only a change proves that the planner is newer.
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

// countBytes adds the bytes read and written on the socket since the last call to the totals.
func (l *link) countBytes() {
	in, out := l.conn.Bytes()
	l.f.BytesIn, l.f.BytesOut = l.f.BytesIn+in-l.countedIn, l.f.BytesOut+out-l.countedOut
	l.countedIn, l.countedOut = in, out
}

// updateFade applies the fading of a view that is no longer valid, and schedules the next check.
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

// handleMessage passes a view or change to the follower, and applies the view in force if it has changed.
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
	changed := version != f.version // grants of a planner that is not followed can change it too
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

// Reload sets the TLS configuration for new connections.
func (f *Forwarder) Reload(cfg *tls.Config) {
	if f != nil {
		f.cfg.TLS = cfg
	}
}

// Close closes all connections and stops all timers. The view last applied stays in force.
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

// Status describes the view in force and the connections, as text for operators.
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

// dialDue opens the connections that are due, and schedules a call for when the next one may be.
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

// scheduleRedial queues a new connection after a delay; the followed planner's goes to the front of the queue.
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
			err = errors.New("received a digest from a planner")
		case m.Change != nil && l.f.cfg.Legacy:
			err = errors.New("received a change, which the legacy protocol does not have")
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

// End implements loop.Handler. The planner is redialed after an exponential backoff with jitter.
func (l *link) End(err error) {
	l.f.ClosedConns++
	if l.conn != nil {
		l.countBytes()
	}
	reason := fmt.Sprint(err)
	if l.up || reason != l.closeReason { // not again for each failed redial with the same error
		l.f.logEvent("planner_down", fmt.Sprintf("addr=%s why=%q", l.addr, reason))
	}
	l.up, l.closeReason, l.input, l.conn, l.countedIn, l.countedOut = false, reason, nil, nil, 0, 0
	l.f.dialer.Failed(l.f.loop.Now(), l.index)
	l.f.dialDue()
	l.redialDelay = min(2*l.redialDelay, maxRedialDelay)
	l.scheduleRedial(l.redialDelay/2 + time.Duration(rand.Int64N(int64(l.redialDelay))/2))
}
