package planner

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lapisshelf/decide/follow"
	"lapisshelf/decide/plan"
	"lapisshelf/internal/forwarder"
	"lapisshelf/internal/keys"
	"lapisshelf/internal/loop"
	"lapisshelf/internal/registry"
	"lapisshelf/lab/seen"
	"lapisshelf/lab/standin"
	"lapisshelf/lab/world"
	"lapisshelf/policy"
)

const (
	ms       = time.Millisecond
	patience = 60 * time.Second // until a test gives up on something that must come
)

// rig is a list service and an authority, before which planners and forwarders start.
type rig struct {
	t     testing.TB
	list  *standin.List
	dir   string
	ids   []string // of the caches
	notes struct {
		sync.Mutex
		lines []string
	}
}

func newRig(t testing.TB, caches int) *rig {
	t.Helper()
	r := &rig{t: t, dir: filepath.Join(t.TempDir(), "keys")}
	var members []world.Member
	for i := range caches {
		r.ids = append(r.ids, fmt.Sprintf("s-%03d", i))
		members = append(members, world.Member{ID: r.ids[i], Addr: fmt.Sprintf("127.0.0.1:%d", 1000+i), Zone: "a", Kind: "m2", Weight: 1})
	}
	var err error
	if r.list, err = standin.NewList(standin.NewCommon(seen.NewLog(), 1, nil), standin.ListOptions{Addr: "127.0.0.1:0", Nodes: 1, SnapshotsOnly: true}, members...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.list.Close)
	if err := keys.MakeAuthority(r.dir, time.Now(), 24*time.Hour); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			r.notes.Lock()
			defer r.notes.Unlock()
			t.Logf("%s", strings.Join(r.notes.lines[:min(len(r.notes.lines), 200)], "\n"))
		}
	})
	return r
}

func (r *rig) note(who string) func(event, why string) {
	return func(event, why string) {
		r.notes.Lock()
		defer r.notes.Unlock()
		r.notes.lines = append(r.notes.lines, who+" "+event+" "+why)
	}
}

// noted reports whether a line of the log holds all words.
func (r *rig) noted(words ...string) bool {
	r.notes.Lock()
	defer r.notes.Unlock()
	for _, line := range r.notes.lines {
		all := true
		for _, w := range words {
			all = all && strings.Contains(line, w)
		}
		if all {
			return true
		}
	}
	return false
}

// pair is a holder's certificate, made when it is first asked for.
func (r *rig) pair(name string, role keys.Role) *keys.Pair {
	r.t.Helper()
	cert := filepath.Join(r.dir, name)
	keys.Make(r.dir, name, role, time.Now(), time.Hour, false) // it may be there already
	p, err := keys.Load(filepath.Join(r.dir, "ca.pem"), cert+".pem", cert+".key")
	if err != nil {
		r.t.Fatal(err)
	}
	return p
}

// running is a planner that runs.
type running struct {
	*Planner
	r    *rig
	stop context.CancelFunc
	done chan error
}

// plans starts a planner; one that listens at "" takes any port.
func (r *rig) plans(id, listen string, change func(*Config)) *running {
	r.t.Helper()
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	pair := r.pair(id, keys.Planner)
	cfg := Config{Listen: netip.MustParseAddrPort(listen), Every: 50 * ms, Note: r.note(id),
		Certificates: func() (*tls.Config, error) { return pair.Server(keys.Forwarder), nil },
		Registry:     registry.Config{Kind: registry.Discovery, Endpoints: []netip.AddrPort{netip.MustParseAddrPort(r.list.Addr(0))}},
		Plan:         plan.Config{ID: id, Forwarders: 4096, Move: 1, Valid: 3 * time.Second, FallMultiple: 3, WarmUp: time.Minute, ColdFrom: 0.1}}
	if change != nil {
		change(&cfg)
	}
	p, err := New(cfg)
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	run := &running{Planner: p, r: r, stop: stop, done: make(chan error, 1)}
	go func() { run.done <- p.Run(ctx) }()
	r.t.Cleanup(run.end)
	run.eventually("it has the list", func() bool { return len(p.entries) == len(r.ids) })
	return run
}

// end ends a planner, once.
func (p *running) end() {
	p.stop()
	if err, first := <-p.done; first {
		if close(p.done); err != nil {
			p.r.t.Error(err)
		}
	}
}

// on does something on the planner's loop and waits for it.
func (p *running) on(f func()) {
	done := make(chan struct{})
	p.loop.Post(func() { f(); close(done) })
	<-done
}

// eventually waits until something is true on the planner's loop.
func (p *running) eventually(what string, is func() bool) {
	p.r.t.Helper()
	eventually(p.r.t, what, func() (yes bool) { p.on(func() { yes = is() }); return yes })
}

func eventually(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(2 * ms) {
		if time.Now().After(end) {
			t.Fatalf("not in %v: %s", patience, what)
		}
	}
}

// crowd is forwarders on one loop.
type crowd struct {
	r    *rig
	loop *loop.Loop
	list []*node
	// load draws what a node saw since its last digest; it runs on the loop.
	load func(n *node)
	// took is called as a view is put in force; it runs on the loop.
	took func(n *node)
}

// node is a forwarder and the view that it acts on.
type node struct {
	*forwarder.Forwarder
	name  string
	view  policy.View
	count int // views put in force
	gone  bool
}

func (r *rig) crowd() *crowd {
	r.t.Helper()
	c := &crowd{r: r}
	var err error
	if c.loop, err = loop.New(); err != nil {
		r.t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- c.loop.Run() }()
	r.t.Cleanup(func() {
		c.on(func() {
			for _, n := range c.list {
				n.Close()
			}
			c.loop.Stop()
		})
		if err := <-done; err != nil {
			r.t.Error(err)
		}
	})
	return c
}

func (c *crowd) on(f func()) {
	done := make(chan struct{})
	c.loop.Post(func() { f(); close(done) })
	<-done
}

func (c *crowd) eventually(what string, is func() bool) {
	c.r.t.Helper()
	eventually(c.r.t, what, func() (yes bool) { c.on(func() { yes = is() }); return yes })
}

func (c *crowd) ready() (list []follow.Server) {
	for _, id := range c.r.ids {
		list = append(list, follow.Server{ID: id, Weight: 1})
	}
	return list
}

// join starts a forwarder.
func (c *crowd) join(name string, change func(*forwarder.Config), planners ...netip.AddrPort) *node {
	c.r.t.Helper()
	cfg := forwarder.Config{Planners: planners, Name: name, TLS: c.r.pair(name, keys.Forwarder).Client(keys.Planner), Every: 100 * ms}
	if change != nil {
		change(&cfg)
	}
	n := &node{name: name}
	c.on(func() {
		n.Forwarder = forwarder.New(c.loop, cfg, c.ready, func(v policy.View) {
			if n.view, n.count = v, n.count+1; c.took != nil {
				c.took(n)
			}
		}, c.r.note(name))
		c.list = append(c.list, n)
		c.every(cfg.Every, n)
	})
	return n
}

// every has a node see its load.
func (c *crowd) every(d time.Duration, n *node) {
	if n.gone {
		return
	}
	if c.load != nil {
		c.load(n)
	}
	c.loop.After(d, func() { c.every(d, n) })
}

func used() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
