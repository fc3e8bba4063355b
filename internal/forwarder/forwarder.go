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
	fadeStep   = 500 * time.Millisecond
	redialMin  = 500 * time.Millisecond
	redialMost = 5 * time.Second
	silentFor  = 10 * time.Second // a planner that says nothing for so long is dialled anew
	mostHellos = 5                // digests without counts to a planner that has not said what it speaks; then they are whole
	keepInput  = 16 << 10         // bytes of room for what comes that a connection keeps
	noteEvery  = 10 * time.Second // of refused views
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
	loop     *loop.Loop
	cfg      Config
	ready    func() []follow.Server
	apply    func(policy.View)
	note     func(event, why string)
	follower *follow.Follower
	links    []*link
	gather   *plan.Collector
	trust    float64 // in force
	turns    uint64  // of the follower, at that time
	noted    time.Duration
	closed   bool
	timers   []*loop.Timer
	dials    *follow.Dialer
	dialer   *loop.Timer
	// Digests are how many went, Wholes how many of these named all servers; Views are how many views and changes came;
	// Errors, connections that ended.
	DigestsSent, FullDigests, ViewsReceived, ClosedConns int64
	// BytesIn and BytesOut are what has come and gone over the sockets, TLS included, as of the last message or Status.
	BytesIn, BytesOut int64
}

// talk is what a planner speaks, by what it has said since its connection came up.
type talk uint8

const (
	unknown talk = iota
	views        // whole ones alone: it is of before there were changes
	changes
)

// link is the connection to one planner.
type link struct {
	f       *Forwarder
	number  int // of the planner, for follow.Dialer
	addr    netip.AddrPort
	conn    *loop.TLSConn
	up      bool
	input   []byte
	heard   time.Duration
	wait    time.Duration // before the next try
	retry   *loop.Timer
	why     string // it ended last
	planner string // its id, also while it is away: what is held of it is told as soon as it is back
	talk    talk
	hellos  int    // since the connection came up
	changes uint64 // that came since then
	in, out int64  // bytes counted so far
}

// New begins to talk to the planners. Ready tells which servers serve by the node's list, apply is given the view in
// force whenever that changes, an empty one where there is none.
func New(l *loop.Loop, cfg Config, ready func() []follow.Server, apply func(policy.View), note func(event, why string)) *Forwarder {
	cfg.Interval = cmp.Or(cfg.Interval, time.Second)
	f := &Forwarder{loop: l, cfg: cfg, ready: ready, apply: apply, note: note, follower: follow.New(follow.Config{Fade: cfg.Fade}),
		gather: plan.NewCollector(l.Now(), cfg.Name)}
	for i, addr := range cfg.Planners {
		f.links = append(f.links, &link{f: f, number: i, addr: addr, wait: redialMin})
	}
	f.dials = follow.NewDialer(l.Now(), len(f.links), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	f.dial()
	f.timers = []*loop.Timer{nil, nil}
	f.tell()
	f.fade()
	return f
}

// Request counts a request that was taken.
func (f *Forwarder) Request(key, tenant string) {
	if f != nil {
		f.gather.Request(key, tenant)
	}
}

// Attempt counts the end of an attempt, see plan.Collector.
func (f *Forwarder) Attempt(server string, origin bool, o policy.Outcome, took time.Duration, timely, own bool) {
	if f != nil {
		f.gather.Attempt(server, origin, o, took, timely, own)
	}
}

// tell sends a digest to all planners that are there, and comes back.
func (f *Forwarder) tell() {
	if f.closed {
		return
	}
	now := f.loop.Now()
	whole := f.gather.Digest(now)
	f.follower.DigestSent(now, whole.Seq)
	brief := f.gather.Brief(whole)
	frames := map[kind][]byte{} // planners that are alike get the same
	for _, l := range f.links {
		if !l.up {
			continue
		}
		l.count()
		if now-l.heard > silentFor {
			l.conn.Close()
			l.End(errors.New("it says nothing"))
			continue
		}
		k := l.kind()
		frame, made := frames[k]
		if !made {
			d := whole
			if k.brief {
				d = brief
			}
			if k.hello {
				d = f.gather.Hello()
				f.follower.DigestSent(now, d.Seq)
			}
			var err error
			if frame, err = planwire.Append(nil, planwire.Message{Digest: d, Hold: k.told(), NextChange: k.next}); err != nil {
				continue // a digest too large to tell
			}
			frames[k] = frame
		}
		l.send(k, frame)
	}
	// Guards against a fleet whose digests all come at one moment.
	f.timers[0] = f.loop.After(f.cfg.Interval*4/5+time.Duration(rand.Int64N(int64(f.cfg.Interval)*2/5)), f.tell)
}

// kind is how a digest is told to a planner.
type kind struct {
	hello bool // no counts
	brief bool
	mute  bool // no hold: as before there were changes
	hold  plan.Hold
	next  uint64 // change that is expected
}

func (k *kind) told() *plan.Hold {
	if k.mute {
		return nil
	}
	return &k.hold
}

// kind is what a planner is to be told now.
func (l *link) kind() kind {
	if l.f.cfg.Legacy {
		return kind{mute: true}
	}
	// Guards against a fleet that tells whole digests, much longer ones, to a planner that has come back.
	hello := l.talk == unknown && l.hellos < mostHellos
	// Guards against brief digests at a planner that would take them for whole ones: only changes prove it a new one.
	return kind{hello: hello, brief: l.talk == changes, hold: l.f.follower.Hold(l.planner), next: l.changes + 1}
}

func (l *link) send(k kind, frame []byte) {
	l.f.DigestsSent++
	switch {
	case k.hello:
		l.hellos++
	case !k.brief:
		l.f.FullDigests++
	}
	l.conn.Write(frame)
}

// count notes what has come and gone over the socket.
func (l *link) count() {
	in, out := l.conn.Bytes()
	l.f.BytesIn, l.f.BytesOut = l.f.BytesIn+in-l.in, l.f.BytesOut+out-l.out
	l.in, l.out = in, out
}

// fade puts in force what is left of a view that ages.
func (f *Forwarder) fade() {
	if f.closed {
		return
	}
	if v, trust := f.follower.Now(f.loop.Now()); trust != f.trust {
		if trust == 0 || trust < 1 && f.trust == 1 {
			f.note("view_fades", fmt.Sprintf("trust=%.2f", trust))
		}
		f.trust, f.turns = trust, f.follower.Version()
		f.apply(v)
	}
	f.timers[1] = f.loop.After(fadeStep, f.fade)
}

// take has a view or a change judged, and puts in force what it makes another.
func (f *Forwarder) take(l *link, m planwire.Message) {
	now := f.loop.Now()
	f.ViewsReceived++
	if l.talk == unknown {
		f.dials.FirstMessage(now, l.number)
		f.dial()
	}
	f.follower.SetAwaited(f.dials.Awaited(now))
	held, _ := f.follower.Held()
	var why follow.Outcome
	var err error
	if c := m.Change; c != nil {
		l.changes++
		l.talk, l.planner = changes, c.Planner
		why, err = f.follower.TakeChange(now, *c, f.ready())
	} else {
		if l.planner = m.View.Planner; l.talk == unknown {
			l.talk = views
		}
		why, err = f.follower.TakeView(now, *m.View, f.ready())
	}
	v, _ := f.follower.Held()
	turns := f.follower.Version()
	news := turns != f.turns // also by what a planner grants that is not followed
	if why == follow.Accepted && f.trust != 1 {
		f.trust, news = 1, true
	}
	if f.turns = turns; news {
		f.apply(v.View)
	}
	if why != follow.Accepted {
		if why != follow.OtherPlanner && (f.noted == 0 || now-f.noted > noteEvery) {
			f.noted = now
			f.note("view_refused", fmt.Sprintf("planner=%q addr=%s reason=%s why=%q", l.planner, l.addr, why, err))
		}
		return
	}
	if held == nil || held.Planner != v.Planner || held.Epoch != v.Epoch {
		f.note("follows", fmt.Sprintf("planner=%q epoch=%d", v.Planner, v.Epoch))
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
	for _, t := range append(f.timers, f.dialer) {
		t.Stop()
	}
	for _, l := range f.links {
		l.retry.Stop()
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
	if held, came := f.follower.Held(); held != nil {
		fmt.Fprintf(&b, "view of %s, epoch %d, came %.1f s ago, trusted %.2f\n", held.Planner, held.Epoch, (now - came).Seconds(), trust)
	} else {
		b.WriteString("no view\n")
	}
	for _, l := range f.links {
		if l.up {
			l.count()
			h := f.follower.Hold(l.planner)
			fmt.Fprintf(&b, "planner %s up %s, heard %.1f s ago, tells %s, revision %d of %016x is held\n", l.addr, l.planner, (now - l.heard).Seconds(),
				[]string{unknown: "nothing", views: "views", changes: "changes"}[l.talk], h.Revision, h.History)
		} else {
			fmt.Fprintf(&b, "planner %s down: %s\n", l.addr, cmp.Or(l.why, "not tried yet"))
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
	for _, r := range []follow.Outcome{follow.Accepted, follow.Invalid, follow.Epoch, follow.OutOfOrder, follow.OtherPlanner, follow.Mismatch} {
		fmt.Fprintf(&b, "views %s %d\n", r, f.follower.Counts[r])
	}
	fmt.Fprintf(&b, "grants too late %d\n", f.follower.StaleGrants)
	fmt.Fprintf(&b, "digests %d, %d of them whole; bytes in %d, out %d\n", f.DigestsSent, f.FullDigests, f.BytesIn, f.BytesOut)
	return b.String()
}

// dial opens connections that are due, and comes back when another may be.
func (f *Forwarder) dial() {
	if f.closed {
		return
	}
	now := f.loop.Now()
	f.dialer.Stop()
	i, wait := f.dials.Next(now)
	for ; i >= 0; i, wait = f.dials.Next(now) {
		l := f.links[i]
		l.heard = now
		l.conn = f.loop.DialTLS(l.addr, f.cfg.TLS, l)
	}
	if wait >= 0 {
		f.dialer = f.loop.After(wait, f.dial)
	}
}

func (l *link) again(after time.Duration) {
	l.retry = l.f.loop.After(after, func() {
		held, _ := l.f.follower.Held()
		l.f.dials.Enqueue(l.f.loop.Now(), l.number, held != nil && held.Planner == l.planner)
		l.f.dial()
	})
}

// Connected implements loop.Handler.
func (l *link) Connected() {
	now := l.f.loop.Now()
	l.up, l.wait, l.heard, l.hellos, l.changes, l.talk = true, redialMin, now, 0, 0, unknown
	l.f.note("planner_up", "addr="+l.addr.String())
	if l.f.cfg.Legacy {
		return
	}
	k, d := l.kind(), l.f.gather.Hello()
	l.f.follower.DigestSent(now, d.Seq)
	if frame, err := planwire.Append(nil, planwire.Message{Digest: d, Hold: k.told(), NextChange: k.next}); err == nil {
		l.send(k, frame)
	}
}

// Flushed implements loop.Handler.
func (l *link) Flushed() {}

// Data implements loop.Handler.
func (l *link) Data(data []byte) {
	l.heard = l.f.loop.Now()
	l.count()
	l.input = append(l.input, data...)
	read := 0
	for !l.f.closed {
		m, used, err := planwire.Next(l.input[read:])
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
		read += used
		l.f.take(l, m)
	}
	if l.input = append(l.input[:0], l.input[read:]...); len(l.input) == 0 && cap(l.input) > keepInput {
		l.input = nil
	}
}

// End implements loop.Handler: it is dialled again, after a growing while.
func (l *link) End(err error) {
	l.f.ClosedConns++
	if l.conn != nil {
		l.count()
	}
	why := fmt.Sprint(err)
	if l.up || why != l.why { // once for each cause
		l.f.note("planner_down", fmt.Sprintf("addr=%s why=%q", l.addr, why))
	}
	l.up, l.why, l.input, l.conn, l.in, l.out = false, why, nil, nil, 0, 0
	l.f.dials.Failed(l.f.loop.Now(), l.number)
	l.f.dial()
	l.wait = min(2*l.wait, redialMost)
	l.again(l.wait/2 + time.Duration(rand.Int64N(int64(l.wait))/2))
}
