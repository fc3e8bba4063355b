// Package planner is a planner as a process: it follows the server list, takes forwarders' digests and sends them views, which
// decide/plan makes. The decisions run on one loop; each connection has a reader and a writer of its own, which may wait
// without anything waiting for them.
package planner

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.etcd.io/bbolt"

	"lapisshelf/decide/plan"
	"lapisshelf/decide/roster"
	"lapisshelf/internal/control"
	"lapisshelf/internal/keys"
	"lapisshelf/internal/loop"
	"lapisshelf/internal/planwire"
	"lapisshelf/internal/registry"
	"lapisshelf/policy"
)

const (
	shakeWithin  = 5 * time.Second  // a connection's handshake
	silentFor    = 30 * time.Second // a forwarder that says nothing for so long is hung up on
	writeWithin  = 5 * time.Second
	readSize     = 32 << 10
	snapEvery    = 5 * time.Second
	listWatch    = 5 * time.Second
	listCall     = 1500 * time.Millisecond
	mostListBody = 16 << 20
)

// Config is what a planner is told. Note takes a line for the log.
type Config struct {
	Plan         plan.Config
	Listen       netip.AddrPort
	Control      netip.AddrPort // for operators; none if it is not valid
	Certificates func() (*tls.Config, error)
	Registry     registry.Config
	Every        time.Duration // between views
	Snapshot     string        // a file; empty: none is kept
	SnapshotAge  time.Duration // an older one is ignored
	Gossip       netip.AddrPort
	GossipKey    []byte
	Join         []string
	Lease        string        // what the keys of planners begin with, in a registry; empty: there are no leases
	TTL          time.Duration // of the lease
	Note         func(event, why string)
}

// Planner is one process's. Its fields belong to the loop but for those that say otherwise.
type Planner struct {
	cfg      Config
	loop     *loop.Loop
	plan     *plan.Planner
	listener net.Listener
	tls      atomic.Pointer[tls.Config] // any goroutine's
	conns    map[*conn]bool
	held     atomic.Int64 // connections, those in their handshake included
	entries  map[string]roster.Entry
	registry *registry.Client
	control  *control.Server
	store    *bbolt.DB
	members  *members
	lease    *lease
	restored bool
	refused  map[string]int64 // digests that count for nothing, by why
	digests  int64
	views    int64
	bytesIn  atomic.Int64 // of messages, without TLS; any goroutine's
	bytesOut atomic.Int64
}

// conn is a forwarder's connection.
type conn struct {
	p    *Planner
	tls  *tls.Conn
	name string
	out  chan []byte
}

// New makes a planner that listens; Run runs it.
func New(cfg Config) (*Planner, error) {
	p := &Planner{cfg: cfg, plan: plan.New(cfg.Plan), conns: map[*conn]bool{}, entries: map[string]roster.Entry{}, refused: map[string]int64{}}
	certs, err := cfg.Certificates()
	if err != nil {
		return nil, err
	}
	p.tls.Store(certs)
	if p.loop, err = loop.New(); err != nil {
		return nil, err
	}
	if p.listener, err = net.Listen("tcp", cfg.Listen.String()); err != nil {
		return nil, err
	}
	if cfg.Control.IsValid() {
		p.control, err = control.Listen(p.loop, cfg.Control, []control.Route{
			{Method: "GET", Path: "/_ready", Do: func(string) control.Reply { return p.ready() }},
			{Method: "GET", Path: "/_view", Do: func(string) control.Reply { return control.Reply{Status: 200, Body: []byte(p.Status())} }},
			{Method: "GET", Path: "/_vars", Do: func(string) control.Reply { return p.vars() }},
		})
		if err != nil {
			return nil, err
		}
	}
	if cfg.Snapshot != "" {
		if p.store, err = bbolt.Open(cfg.Snapshot, 0o600, &bbolt.Options{Timeout: time.Second}); err != nil {
			return nil, fmt.Errorf("snapshot %s: %w", cfg.Snapshot, err)
		}
	}
	if cfg.Gossip.IsValid() {
		if p.members, err = join(cfg, p.note); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *Planner) note(event, why string) {
	if p.cfg.Note != nil {
		p.cfg.Note(event, why)
	}
}

// Addr is where forwarders find it.
func (p *Planner) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// Run serves until the context ends.
func (p *Planner) Run(ctx context.Context) error {
	c := p.cfg.Registry
	c.Roster.Nodes, c.Roster.Within, c.Roster.Limit = 1, 4*time.Second, listCall
	if c.Roster.Watch == 0 {
		c.Roster.Watch = listWatch
	}
	c.MostBody = mostListBody
	p.registry = registry.New(p.loop, c, uint64(time.Now().UnixNano()), p.told, p.note)
	p.registry.Start(0, nil)
	if p.cfg.Lease != "" {
		p.lease = p.keepLease(c)
	}
	go p.accept()
	p.tick()
	p.snapshot()
	stop := context.AfterFunc(ctx, func() { p.loop.Post(p.loop.Stop) })
	defer stop()
	err := p.loop.Run()
	p.close()
	return err
}

func (p *Planner) close() {
	p.listener.Close()
	p.registry.Close()
	p.lease.close()
	for c := range p.conns {
		go c.tls.Close() // it may wait to say so to the other end
	}
	if p.store != nil {
		p.save()
		p.store.Close()
	}
	p.members.leave()
}

// Reload reads the certificates anew; connections that stand go on with theirs.
func (p *Planner) Reload() {
	certs, err := p.cfg.Certificates()
	if err != nil {
		p.note("reload_failed", fmt.Sprintf("why=%q", err))
		return
	}
	p.tls.Store(certs)
	p.note("reload", "certificates=true")
}

// accept takes connections. It is a goroutine of its own.
func (p *Planner) accept() {
	for {
		raw, err := p.listener.Accept()
		if err != nil {
			if ne, is := err.(net.Error); is && ne.Timeout() {
				continue
			}
			return
		}
		// Guards against callers that take all descriptors.
		if p.held.Add(1) > int64(p.cfg.Plan.Forwarders)+64 {
			p.held.Add(-1)
			raw.Close()
			continue
		}
		go p.serve(raw)
	}
}

// serve speaks with one forwarder, in two goroutines.
func (p *Planner) serve(raw net.Conn) {
	defer p.held.Add(-1)
	c := &conn{p: p, tls: tls.Server(raw, p.tls.Load()), out: make(chan []byte, 2)}
	defer c.tls.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shakeWithin)
	err := c.tls.HandshakeContext(ctx)
	cancel()
	if err != nil {
		p.loop.Post(func() { p.note("refused", fmt.Sprintf("from=%s why=%q", raw.RemoteAddr(), err)) })
		return
	}
	c.name = keys.Name(c.tls)
	p.loop.Post(func() { p.conns[c] = true })
	go func() {
		for frame := range c.out {
			c.tls.SetWriteDeadline(time.Now().Add(writeWithin))
			n, err := c.tls.Write(frame)
			p.bytesOut.Add(int64(n))
			if err != nil {
				c.tls.Close()
			}
		}
	}()
	err = c.read()
	p.loop.Post(func() {
		if p.conns[c] {
			delete(p.conns, c)
			close(c.out)
		}
	})
}

// read takes digests until the connection ends.
func (c *conn) read() error {
	var input []byte
	buffer := make([]byte, readSize)
	for {
		c.tls.SetReadDeadline(time.Now().Add(silentFor))
		n, err := c.tls.Read(buffer)
		c.p.bytesIn.Add(int64(n))
		input = append(input, buffer[:n]...)
		for {
			m, used, bad := planwire.Next(input)
			if bad != nil {
				return bad
			}
			if used == 0 {
				break
			}
			input = append(input[:0], input[used:]...)
			c.p.loop.Post(func() { c.p.take(c, m) })
		}
		if err != nil {
			return err
		}
	}
}

// take takes a message of a forwarder.
func (p *Planner) take(c *conn, m planwire.Message) {
	p.digests++
	var err error
	switch d := m.Digest; {
	case d == nil:
		err = fmt.Errorf("no digest")
	case d.From != c.name: // who it is, its certificate says
		err = fmt.Errorf("%q says it is another", c.name)
	default:
		err = p.plan.Digest(p.loop.Now(), *d)
	}
	if err != nil {
		if p.refused[c.name]++; len(p.refused) > 1024 {
			clear(p.refused)
		}
		if p.refused[c.name] == 1 {
			p.note("digest_refused", fmt.Sprintf("from=%q why=%q", c.name, err))
		}
	}
}

// told takes list news.
func (p *Planner) told(u roster.Update) {
	if u.Whole {
		clear(p.entries)
	}
	for _, e := range u.Entries {
		if e.State == policy.Gone {
			delete(p.entries, e.ID)
		} else {
			p.entries[e.ID] = e
		}
	}
	var list []policy.Server
	for _, id := range slices.Sorted(maps.Keys(p.entries)) {
		list = append(list, p.entries[id].Server)
	}
	p.plan.Roster(p.loop.Now(), list)
	if !p.restored && len(list) > 0 {
		p.restored = true
		p.restore()
	}
}

// tick makes views and sends them. A forwarder that has not taken the last two gets none: it is late or frozen.
func (p *Planner) tick() {
	now := p.loop.Now()
	p.plan.Make(now)
	if len(p.entries) > 0 {
		for c := range p.conns {
			v := p.plan.View(now, now, c.name)
			frame, err := planwire.Append(nil, planwire.Message{View: &v})
			if err != nil {
				continue
			}
			select {
			case c.out <- frame:
				p.views++
			default:
			}
		}
	}
	p.loop.After(p.cfg.Every, p.tick)
}

var bucket, place = []byte("planner"), []byte("snapshot")

// snapshot keeps what was learned, every so often.
func (p *Planner) snapshot() {
	if p.store == nil {
		return
	}
	p.loop.After(snapEvery, func() {
		p.save()
		p.snapshot()
	})
}

func (p *Planner) save() {
	if !p.restored {
		return // nothing was learned
	}
	text, err := json.Marshal(p.plan.Snapshot(p.loop.Now()))
	if err == nil {
		err = p.store.Update(func(tx *bbolt.Tx) error {
			b, err := tx.CreateBucketIfNotExists(bucket)
			if err != nil {
				return err
			}
			return b.Put(place, text)
		})
	}
	if err != nil {
		p.note("snapshot_failed", fmt.Sprintf("why=%q", err))
	}
}

func (p *Planner) restore() {
	if p.store == nil {
		return
	}
	var s plan.Snapshot
	p.store.View(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(bucket); b != nil {
			return json.Unmarshal(b.Get(place), &s)
		}
		return nil
	})
	if s.Clock > 0 {
		p.note("snapshot", fmt.Sprintf("taken=%t age=%.1fs", p.plan.Restore(p.loop.Now(), p.cfg.SnapshotAge, s), (p.loop.Now()-s.Clock).Seconds()))
	}
}

func (p *Planner) ready() control.Reply {
	if len(p.entries) == 0 {
		return control.Say(503, "no server list")
	}
	return control.Say(200, "ready")
}

// Status is the view that the planner makes and why each weight is what it is, in plain lines.
func (p *Planner) Status() string {
	var b strings.Builder
	fmt.Fprintf(&b, "planner %s, %d forwarders heard, %d connected\n", p.cfg.Plan.ID, p.plan.Followed(), len(p.conns))
	if p.plan.Epoch() > 0 {
		fmt.Fprintf(&b, "epoch %d, %s leads\n", p.plan.Epoch(), p.plan.Lead(nil))
	}
	for _, m := range p.members.list() {
		fmt.Fprintf(&b, "planners %s\n", m)
	}
	for _, r := range p.plan.Explain() {
		fmt.Fprintf(&b, "server %s weight %.2f factor %.2f allow %.1f/s, %.0f%% of %.0f answers bad, half within %v, 99%% within %v: %s\n", r.ID, r.Weight, r.Factor, r.Allow, 100*r.Bad, r.Answers,
			r.P50, r.P99, r.Word)
	}
	v := p.plan.Snapshot(p.loop.Now())
	if v.Admit < 1 {
		fmt.Fprintf(&b, "origin takes %.2f of the reads\n", v.Admit)
	}
	return b.String()
}

func (p *Planner) vars() control.Reply {
	var b strings.Builder
	refused := int64(0)
	for _, n := range p.refused {
		refused += n
	}
	for _, x := range []struct {
		name, kind string
		value      int64
	}{{"forwarders", "gauge", int64(p.plan.Followed())}, {"connections", "gauge", int64(len(p.conns))}, {"digests_total", "counter", p.digests},
		{"digests_refused_total", "counter", refused}, {"views_total", "counter", p.views}, {"bytes_in_total", "counter", p.bytesIn.Load()},
		{"bytes_out_total", "counter", p.bytesOut.Load()}, {"cache_servers_known", "gauge", int64(len(p.plan.Explain()))}} {
		fmt.Fprintf(&b, "# TYPE app_planner_%s %s\napp_planner_%s %d\n", x.name, x.kind, x.name, x.value)
	}
	return control.Reply{Status: 200, Type: "text/plain; version=0.0.4; charset=utf-8", Body: []byte(b.String())}
}
