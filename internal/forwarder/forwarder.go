// Package forwarder is a node's side of the planners: it counts what the node sees, tells planners of it in digests, and has
// the views that come back judged by decide/follow and put in force. All of it runs on the node's loop but for TLS, which
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
	noteEvery  = 10 * time.Second // of refused views
)

// Config says which planners there are. Zero times take the defaults told with them.
type Config struct {
	Planners []netip.AddrPort
	Name     string        // the node's
	TLS      *tls.Config   // with the node's certificate
	Every    time.Duration // between digests, give or take a fifth; 1 s
	Fade     time.Duration // of views that are no longer valid; 10 s
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
	gather   *plan.Gather
	trust    float64 // in force
	noted    time.Duration
	closed   bool
	timers   []*loop.Timer
	// Digests and Views are how many went and came; Errors, connections that ended.
	Digests, Views, Errors int64
	// BytesIn and BytesOut are those of the messages, without TLS.
	BytesIn, BytesOut int64
}

// link is the connection to one planner.
type link struct {
	f       *Forwarder
	addr    netip.AddrPort
	conn    *loop.TLSConn
	up      bool
	input   []byte
	heard   time.Duration
	wait    time.Duration // before the next try
	retry   *loop.Timer
	why     string // it ended last
	planner string
}

// New begins to talk to the planners. Ready tells which servers serve by the node's list, apply is given the view in
// force whenever that changes, an empty one where there is none.
func New(l *loop.Loop, cfg Config, ready func() []follow.Server, apply func(policy.View), note func(event, why string)) *Forwarder {
	cfg.Every = cmp.Or(cfg.Every, time.Second)
	f := &Forwarder{loop: l, cfg: cfg, ready: ready, apply: apply, note: note, follower: follow.New(follow.Config{Fade: cfg.Fade}),
		gather: plan.NewGather(l.Now(), cfg.Name)}
	for _, addr := range cfg.Planners {
		k := &link{f: f, addr: addr, wait: redialMin}
		f.links = append(f.links, k)
		// At different moments: hundreds of nodes may start at once.
		k.again(time.Duration(rand.Int64N(int64(redialMin))))
	}
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

// Attempt counts the end of an attempt, see plan.Gather.
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
	frame, err := planwire.Append(nil, planwire.Message{Digest: f.gather.Digest(now)})
	for _, l := range f.links {
		switch {
		case !l.up || err != nil:
		case now-l.heard > silentFor:
			l.conn.Close()
			l.End(errors.New("it says nothing"))
		default:
			f.Digests++
			f.BytesOut += int64(len(frame))
			l.conn.Write(frame)
		}
	}
	// Guards against a fleet whose digests all come at one moment.
	f.timers[0] = f.loop.After(f.cfg.Every*4/5+time.Duration(rand.Int64N(int64(f.cfg.Every)*2/5)), f.tell)
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
		f.trust = trust
		f.apply(v)
	}
	f.timers[1] = f.loop.After(fadeStep, f.fade)
}

// take has a view judged, and puts it in force.
func (f *Forwarder) take(l *link, v *plan.View) {
	now := f.loop.Now()
	f.Views++
	held, _ := f.follower.Held()
	why, err := f.follower.Take(now, *v, f.ready())
	if why != follow.Taken {
		if why != follow.Another && (f.noted == 0 || now-f.noted > noteEvery) {
			f.noted = now
			f.note("view_refused", fmt.Sprintf("planner=%q addr=%s reason=%s why=%q", v.Planner, l.addr, why, err))
		}
		return
	}
	if held == nil || held.Planner != v.Planner || held.Epoch != v.Epoch {
		f.note("follows", fmt.Sprintf("planner=%q epoch=%d", v.Planner, v.Epoch))
	}
	f.trust = 1
	f.apply(v.View)
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
	for _, t := range f.timers {
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
			fmt.Fprintf(&b, "planner %s up %s, heard %.1f s ago\n", l.addr, l.planner, (now - l.heard).Seconds())
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
	for _, r := range []follow.Reason{follow.Taken, follow.Absurd, follow.Epoch, follow.Late, follow.Another} {
		fmt.Fprintf(&b, "views %s %d\n", r, f.follower.Counts[r])
	}
	return b.String()
}

func (l *link) again(after time.Duration) {
	l.retry = l.f.loop.After(after, func() {
		if l.f.closed {
			return
		}
		l.heard = l.f.loop.Now()
		l.conn = l.f.loop.DialTLS(l.addr, l.f.cfg.TLS, l)
	})
}

// Up implements loop.Handler.
func (l *link) Up() {
	l.up, l.wait, l.heard = true, redialMin, l.f.loop.Now()
	l.f.note("planner_up", "addr="+l.addr.String())
}

// Drained implements loop.Handler.
func (l *link) Drained() {}

// Data implements loop.Handler.
func (l *link) Data(data []byte) {
	l.heard = l.f.loop.Now()
	l.f.BytesIn += int64(len(data))
	l.input = append(l.input, data...)
	for !l.f.closed {
		m, used, err := planwire.Next(l.input)
		if err != nil || m.Digest != nil {
			l.conn.Close()
			l.End(cmp.Or(err, errors.New("a digest from a planner")))
			return
		}
		if used == 0 {
			return
		}
		l.input = append(l.input[:0], l.input[used:]...)
		l.planner = m.View.Planner
		l.f.take(l, m.View)
	}
}

// End implements loop.Handler: it is dialled again, after a growing while.
func (l *link) End(err error) {
	l.f.Errors++
	why := fmt.Sprint(err)
	if l.up || why != l.why { // once for each cause
		l.f.note("planner_down", fmt.Sprintf("addr=%s why=%q", l.addr, why))
	}
	l.up, l.why, l.input, l.conn = false, why, nil, nil
	l.wait = min(2*l.wait, redialMost)
	l.again(l.wait/2 + time.Duration(rand.Int64N(int64(l.wait))/2))
}
