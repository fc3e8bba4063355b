// Package planner is a planner as a process: it follows the server list, takes forwarders' digests and sends them changes of
// its state, which decide/plan makes, or whole views if they are of before there were changes. The decisions run on one loop; each connection has a reader and a writer of its own, which may wait
// without anything waiting for them.
package planner

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"maps"
	"math/bits"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
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
	readLeast    = 1 << 10 // room for what comes, of each connection; digests in brief fit
	readKeep     = 8 << 10 // of it that a connection keeps
	snapEvery    = 5 * time.Second
	listWatch    = 5 * time.Second
	listCall     = 1500 * time.Millisecond
	mostListBody = 16 << 20
)

// Config is what a planner is told. Note takes a line for the log.
type Config struct {
	Plan           plan.Config
	Listen         netip.AddrPort
	Control        netip.AddrPort // for operators; none if it is not valid
	Certificates   func() (*tls.Config, error)
	Registry       registry.Config
	Interval       time.Duration // between views
	Snapshot       string        // a file; empty: none is kept
	MaxSnapshotAge time.Duration // an older one is ignored
	Gossip         netip.AddrPort
	GossipKey      []byte
	Join           []string
	LeasePrefix    string        // what the keys of planners begin with, in a registry; empty: there are no leases
	LeaseTTL       time.Duration // of the lease
	LogEvent       func(event, why string)
}

// Planner is one process's. Its fields belong to the loop but for those that say otherwise.
type Planner struct {
	cfg       Config
	loop      *loop.Loop
	plan      *plan.Planner
	listener  net.Listener
	tls       atomic.Pointer[tls.Config] // any goroutine's
	conns     map[*conn]bool
	held      atomic.Int64 // connections, those in their handshake included
	entries   map[string]roster.Entry
	registry  *registry.Client
	control   *control.Server
	store     *bbolt.DB
	members   *members
	lease     *lease
	restored  bool
	refused   map[string]int64 // messages that count for nothing, by who sent them
	forgotten int64            // those of before the table was cleared
	broken    int64            // connections ended for what came there
	digests   int64
	briefs    int64
	out       outbox
	in, sent  atomic.Int64 // bytes over sockets, TLS included
}

// conn is a forwarder's connection.
type conn struct {
	p    *Planner
	tls  *tls.Conn
	name string
	out  chan []byte
	// What follows belongs to the loop.
	speech speech
	hold   plan.Hold     // what it holds, as it last told; after a whole state: that
	waits  bool          // for a whole state
	last   time.Duration // it was sent a change
	sent   uint64        // the revision of that
	count  uint64        // changes that went out here, whole states among them
	state  state         // the last whole one
	seq    uint64        // of the last digest taken
	heard  time.Duration // it came
}

// New makes a planner that listens; Run runs it.
func New(cfg Config) (*Planner, error) {
	cfg.Plan.History = rand.Uint64() | 1 // no other life of this or another planner has the same
	p := &Planner{cfg: cfg, plan: plan.New(cfg.Plan), out: outbox{rate: statesASecond}, conns: map[*conn]bool{}, entries: map[string]roster.Entry{}, refused: map[string]int64{}}
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
	if p.cfg.LogEvent != nil {
		p.cfg.LogEvent(event, why)
	}
}

// Addr is where forwarders find it.
func (p *Planner) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// Run serves until the context ends.
func (p *Planner) Run(ctx context.Context) error {
	c := p.cfg.Registry
	c.Roster.Nodes, c.Roster.AskWithin, c.Roster.CallTimeout = 1, 4*time.Second, listCall
	if c.Roster.WatchTimeout == 0 {
		c.Roster.WatchTimeout = listWatch
	}
	c.MostBody = mostListBody
	p.registry = registry.New(p.loop, c, uint64(time.Now().UnixNano()), p.told, p.note)
	p.registry.Start(0, nil)
	if p.cfg.LeasePrefix != "" {
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
	c := &conn{p: p, tls: tls.Server(loop.CountBytes(raw, &p.in, &p.sent), p.tls.Load()), out: make(chan []byte, 2)}
	defer c.tls.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shakeWithin)
	err := c.tls.HandshakeContext(ctx)
	cancel()
	if err != nil {
		p.loop.Post(func() { p.note("refused", fmt.Sprintf("from=%s why=%q", raw.RemoteAddr(), err)) })
		return
	}
	c.name = keys.PeerName(c.tls)
	p.loop.Post(func() { p.conns[c] = true })
	go func() {
		for frame := range c.out {
			c.tls.SetWriteDeadline(time.Now().Add(writeWithin))
			if _, err := c.tls.Write(frame); err != nil {
				c.tls.Close()
			}
		}
	}()
	bad := c.read()
	p.loop.Post(func() {
		if bad != nil {
			p.broken++
			p.refuse(c, bad)
		}
		if p.conns[c] {
			delete(p.conns, c)
			close(c.out)
		}
	})
}

// read takes digests until the connection ends. An error is of what came, not of the connection.
func (c *conn) read() error {
	var input []byte
	for {
		if len(input) == 0 && cap(input) > readKeep {
			input = nil
		}
		input = slices.Grow(input, readLeast)
		c.tls.SetReadDeadline(time.Now().Add(silentFor))
		n, err := c.tls.Read(input[len(input):cap(input)])
		input = input[:len(input)+n]
		read := 0
		for {
			m, used, bad := planwire.Next(input[read:])
			if bad != nil {
				return bad
			}
			if used == 0 {
				break
			}
			read += used
			c.p.loop.Post(func() { c.p.take(c, m) })
		}
		input = append(input[:0], input[read:]...)
		if err != nil {
			return nil
		}
	}
}

// take takes a message of a forwarder.
func (p *Planner) take(c *conn, m planwire.Message) {
	p.digests++
	var err error
	switch d := m.Digest; {
	case d == nil:
		err = fmt.Errorf("no digest, but what planners tell")
	case d.From != c.name: // who it is, its certificate says
		err = fmt.Errorf("%q says it is another", c.name)
	default:
		if m.Hold != nil {
			err = c.holds(p.loop.Now(), *m.Hold, m.NextChange)
		} else if c.speech == unheard {
			c.speech = older
		}
		if err == nil {
			now := p.loop.Now()
			if err = p.plan.Digest(now, *d); err == nil {
				c.seq, c.heard = d.Seq, now
			}
		}
		if d.Brief {
			p.briefs++
		}
	}
	if err != nil {
		p.refuse(c, err)
	}
}

// refuse counts a message that counts for nothing, and tells of the first, second, fourth and so on of a forwarder.
func (p *Planner) refuse(c *conn, why error) {
	n := p.refused[c.name] + 1
	if p.refused[c.name] = n; len(p.refused) > 1024 {
		p.forgotten += p.refusals()
		clear(p.refused)
	}
	if bits.OnesCount64(uint64(n)) == 1 {
		p.note("digest_refused", fmt.Sprintf("from=%q count=%d why=%q", c.name, n, why))
	}
}

// refusals is how many messages of those now in the table counted for nothing.
func (p *Planner) refusals() (sum int64) {
	for _, n := range p.refused {
		sum += n
	}
	return sum
}

// told takes list news.
func (p *Planner) told(u roster.Update) {
	if u.Complete {
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
	p.plan.SetServers(p.loop.Now(), list)
	if !p.restored && len(list) > 0 {
		p.restored = true
		p.restore()
	}
}

// tick makes what is told, and tells it.
func (p *Planner) tick() {
	now := p.loop.Now()
	p.plan.Update(now)
	p.send(now)
	p.loop.After(p.cfg.Interval, p.tick)
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
		p.note("snapshot", fmt.Sprintf("taken=%t age=%.1fs", p.plan.Restore(p.loop.Now(), p.cfg.MaxSnapshotAge, s), (p.loop.Now()-s.Clock).Seconds()))
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
	fmt.Fprintf(&b, "planner %s, %d forwarders heard, %d connected\n", p.cfg.Plan.ID, p.plan.ForwarderCount(), len(p.conns))
	if p.plan.Epoch() > 0 {
		fmt.Fprintf(&b, "epoch %d, %s leads\n", p.plan.Epoch(), p.plan.ElectLeader(nil))
	}
	for _, m := range p.members.list() {
		fmt.Fprintf(&b, "planners %s\n", m)
	}
	for _, r := range p.plan.Explain() {
		fmt.Fprintf(&b, "server %s weight %.2f factor %.2f allow %.1f/s, %.0f%% of %.0f answers bad, half within %v, 99%% within %v: %s\n", r.ID, r.Weight, r.Factor, r.Allow, 100*r.Bad, r.Answers,
			r.P50, r.P99, r.Reason)
	}
	v := p.plan.Snapshot(p.loop.Now())
	if v.Admit < 1 {
		fmt.Fprintf(&b, "origin takes %.2f of the reads\n", v.Admit)
	}
	return b.String()
}

func (p *Planner) vars() control.Reply {
	var b strings.Builder
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails for no process of its own
	o := &p.out
	for _, x := range []struct {
		name, kind string
		value      float64
	}{{"app_planner_forwarders", "gauge", float64(p.plan.ForwarderCount())}, {"app_planner_connections", "gauge", float64(len(p.conns))},
		{"app_planner_digests_total", "counter", float64(p.digests)}, {"app_planner_digests_brief_total", "counter", float64(p.briefs)},
		{"app_planner_digests_refused_total", "counter", float64(p.forgotten + p.refusals())}, {"app_planner_connections_broken_total", "counter", float64(p.broken)},
		{"app_planner_views_total", "counter", float64(o.views)}, {"app_planner_changes_total", "counter", float64(o.changes)},
		{"app_planner_states_total", "counter", float64(o.states)}, {"app_planner_states_waiting", "gauge", float64(len(o.waiting))},
		{"app_planner_states_paced_total", "counter", float64(o.paced)}, {"app_planner_doubts_total", "counter", float64(o.doubts)},
		{"app_planner_changes_encoded_total", "counter", float64(o.encoded)}, {"app_planner_revision", "gauge", float64(p.plan.Revision())},
		{"app_planner_bytes_in_total", "counter", float64(p.in.Load())}, {"app_planner_bytes_out_total", "counter", float64(p.sent.Load())},
		{"app_planner_cache_servers_known", "gauge", float64(len(p.plan.Explain()))},
		{"process_cpu_seconds_total", "counter", time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()}, {"process_resident_memory_bytes", "gauge", resident()}} {
		fmt.Fprintf(&b, "# TYPE %s %s\n%s %s\n", x.name, x.kind, x.name, strconv.FormatFloat(x.value, 'f', -1, 64))
	}
	return control.Reply{Status: 200, Type: "text/plain; version=0.0.4; charset=utf-8", Body: []byte(b.String())}
}

// resident is how many bytes of memory the process has; 0: the system does not say.
func resident() float64 {
	text, _ := os.ReadFile("/proc/self/statm")
	if words := strings.Fields(string(text)); len(words) > 1 {
		pages, _ := strconv.Atoi(words[1])
		return float64(pages * os.Getpagesize())
	}
	return 0
}
