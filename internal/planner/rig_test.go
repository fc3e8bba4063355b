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
	ms          = time.Millisecond
	waitTimeout = 60 * time.Second // after which an awaited condition fails the test
)

// testEnv is a server list and a certificate authority for planners and forwarders.
type testEnv struct {
	t        testing.TB
	list     *standin.List
	dir      string
	cacheIDs []string // of the caches
	log      struct {
		sync.Mutex
		lines []string
	}
}

func newTestEnv(t testing.TB, caches int) *testEnv {
	t.Helper()
	r := &testEnv{t: t, dir: filepath.Join(t.TempDir(), "keys")}
	var members []world.Member
	for i := range caches {
		r.cacheIDs = append(r.cacheIDs, fmt.Sprintf("s-%03d", i))
		members = append(members, world.Member{ID: r.cacheIDs[i], Addr: fmt.Sprintf("127.0.0.1:%d", 1000+i), Zone: "a", Kind: "m2", Weight: 1})
	}
	var err error
	if r.list, err = standin.NewList(standin.NewCommon(seen.NewLog(), 1, nil), standin.ListOptions{Addr: "127.0.0.1:0", Nodes: 1, SnapshotsOnly: true}, members...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.list.Close)
	if err := keys.CreateAuthority(r.dir, time.Now(), 24*time.Hour); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			r.log.Lock()
			defer r.log.Unlock()
			t.Logf("%s", strings.Join(r.log.lines[:min(len(r.log.lines), 200)], "\n"))
		}
	})
	return r
}

func (r *testEnv) logFunc(who string) func(event, why string) {
	return func(event, why string) {
		r.log.Lock()
		defer r.log.Unlock()
		r.log.lines = append(r.log.lines, who+" "+event+" "+why)
	}
}

// logged reports whether some line of the log contains all words.
func (r *testEnv) logged(words ...string) bool {
	r.log.Lock()
	defer r.log.Unlock()
	for _, line := range r.log.lines {
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

// certificate returns a holder's certificate, issued at the first call.
func (r *testEnv) certificate(name string, role keys.Role) *keys.Pair {
	r.t.Helper()
	cert := filepath.Join(r.dir, name)
	keys.Issue(r.dir, name, role, time.Now(), time.Hour, false) // fails if it exists, which is fine
	p, err := keys.Load(filepath.Join(r.dir, "ca.pem"), cert+".pem", cert+".key")
	if err != nil {
		r.t.Fatal(err)
	}
	return p
}

// testPlanner is a running planner.
type testPlanner struct {
	*Planner
	r      *testEnv
	cancel context.CancelFunc
	done   chan error
}

// startPlanner starts a planner, on any port if listen is "", and waits until it has the server list.
func (r *testEnv) startPlanner(id, listen string, change func(*Config)) *testPlanner {
	r.t.Helper()
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	pair := r.certificate(id, keys.Planner)
	cfg := Config{Listen: netip.MustParseAddrPort(listen), Interval: 50 * ms, LogEvent: r.logFunc(id),
		Certificates: func() (*tls.Config, error) { return pair.ServerConfig(keys.Forwarder), nil },
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
	run := &testPlanner{Planner: p, r: r, cancel: stop, done: make(chan error, 1)}
	go func() { run.done <- p.Run(ctx) }()
	r.t.Cleanup(run.shutdown)
	run.eventually("the planner has the server list", func() bool { return len(p.entries) == len(r.cacheIDs) })
	return run
}

// shutdown stops the planner and waits for it. Later calls have no effect.
func (p *testPlanner) shutdown() {
	p.cancel()
	if err, first := <-p.done; first {
		if close(p.done); err != nil {
			p.r.t.Error(err)
		}
	}
}

// onLoop calls f on the planner's loop and waits for it.
func (p *testPlanner) onLoop(f func()) {
	done := make(chan struct{})
	p.loop.Post(func() { f(); close(done) })
	<-done
}

// eventually waits until a condition, evaluated on the planner's loop, is true.
func (p *testPlanner) eventually(what string, is func() bool) {
	p.r.t.Helper()
	eventually(p.r.t, what, func() (yes bool) { p.onLoop(func() { yes = is() }); return yes })
}

func eventually(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !is(); time.Sleep(2 * ms) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", waitTimeout, what)
		}
	}
}

// forwarderGroup is a group of forwarders on one loop.
type forwarderGroup struct {
	r     *testEnv
	loop  *loop.Loop
	nodes []*node
	// load reports a node's traffic since its last digest to its forwarder. It is called on the loop.
	load func(n *node)
	// onView is called when a view is put in force at a node. It is called on the loop.
	onView func(n *node)
}

// node is a forwarder and its view in force.
type node struct {
	*forwarder.Forwarder
	name      string
	view      policy.View
	viewCount int // number of views put in force
	closed    bool
}

func (r *testEnv) newForwarderGroup() *forwarderGroup {
	r.t.Helper()
	c := &forwarderGroup{r: r}
	var err error
	if c.loop, err = loop.New(); err != nil {
		r.t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- c.loop.Run() }()
	r.t.Cleanup(func() {
		c.onLoop(func() {
			for _, n := range c.nodes {
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

func (c *forwarderGroup) onLoop(f func()) {
	done := make(chan struct{})
	c.loop.Post(func() { f(); close(done) })
	<-done
}

func (c *forwarderGroup) eventually(what string, is func() bool) {
	c.r.t.Helper()
	eventually(c.r.t, what, func() (yes bool) { c.onLoop(func() { yes = is() }); return yes })
}

func (c *forwarderGroup) ready() (list []follow.Server) {
	for _, id := range c.r.cacheIDs {
		list = append(list, follow.Server{ID: id, Weight: 1})
	}
	return list
}

// add starts a forwarder and its load.
func (c *forwarderGroup) add(name string, change func(*forwarder.Config), planners ...netip.AddrPort) *node {
	c.r.t.Helper()
	cfg := forwarder.Config{Planners: planners, Name: name, TLS: c.r.certificate(name, keys.Forwarder).ClientConfig(keys.Planner), Interval: 100 * ms}
	if change != nil {
		change(&cfg)
	}
	n := &node{name: name}
	c.onLoop(func() {
		n.Forwarder = forwarder.New(c.loop, cfg, c.ready, func(v policy.View) {
			if n.view, n.viewCount = v, n.viewCount+1; c.onView != nil {
				c.onView(n)
			}
		}, c.r.logFunc(name))
		c.nodes = append(c.nodes, n)
		c.generateLoad(cfg.Interval, n)
	})
	return n
}

// generateLoad calls load for a node periodically until it is closed.
func (c *forwarderGroup) generateLoad(d time.Duration, n *node) {
	if n.closed {
		return
	}
	if c.load != nil {
		c.load(n)
	}
	c.loop.After(d, func() { c.generateLoad(d, n) })
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
