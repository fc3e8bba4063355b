// Package planner implements the planner process. It follows the server list, receives digests from forwarders, and sends
// them the changes of its state that decide/plan computes, or full views if they do not support changes. The decisions run on
// one event loop. Each connection has a reader and a writer goroutine of its own; these may block, but the loop never waits
// for them.
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
	handshakeTimeout = 5 * time.Second  // of a TLS handshake
	idleTimeout      = 30 * time.Second // a connection on which nothing has arrived for this long is closed
	writeTimeout     = 5 * time.Second
	minReadBuffer    = 1 << 10 // bytes of free space in each connection's read buffer; a brief digest fits
	maxKeptBuffer    = 8 << 10 // bytes; a larger read buffer is freed once it is empty
	snapshotInterval = 5 * time.Second
	listWatchTimeout = 5 * time.Second // of the server list, unless the registry's configuration sets another
	listCallTimeout  = 1500 * time.Millisecond
	maxListBody      = 16 << 20
)

// Config configures a planner.
type Config struct {
	Plan           plan.Config
	Listen         netip.AddrPort
	Control        netip.AddrPort // the operators' HTTP address; invalid: none
	Certificates   func() (*tls.Config, error)
	Registry       registry.Config
	Interval       time.Duration  // between updates of the plan, each followed by sends to the forwarders
	Snapshot       string         // path of the snapshot file; empty: none is kept
	MaxSnapshotAge time.Duration  // an older snapshot is ignored
	Gossip         netip.AddrPort // of the gossip between planners; invalid: none
	GossipKey      []byte
	Join           []string                // gossip addresses of other planners
	LeasePrefix    string                  // key prefix of the planners' entries in the registry; empty: no leases
	LeaseTTL       time.Duration           // of the planner's entry
	LogEvent       func(event, why string) // writes a log line; may be nil
}

// Planner is a planner process. Its fields are used only on the loop, unless marked otherwise.
type Planner struct {
	cfg               Config
	loop              *loop.Loop
	plan              *plan.Planner
	listener          net.Listener
	tls               atomic.Pointer[tls.Config] // used by any goroutine
	conns             map[*conn]bool
	connCount         atomic.Int64 // open connections, including those in the TLS handshake
	entries           map[string]roster.Entry
	registry          *registry.Client
	control           *control.Server
	store             *bbolt.DB
	members           *membership
	lease             *lease
	restored          bool
	refusedBy         map[string]int64 // rejected messages by sender; cleared when it grows too large
	refusedBefore     int64            // rejected messages no longer in refusedBy
	malformed         int64            // connections closed because a frame could not be decoded
	digests           int64
	briefDigests      int64
	sender            sender
	bytesIn, bytesOut atomic.Int64 // on the sockets, including TLS
}

// conn is a connection from a forwarder.
type conn struct {
	p    *Planner
	tls  *tls.Conn
	name string
	out  chan []byte
	// The following fields are used only on the loop.
	protocol      protocol
	hold          plan.Hold     // the state that the forwarder reported as held, or a full state sent since
	awaitsState   bool          // in sender.awaitingState
	lastSent      time.Duration // when a change was last sent
	sentRevision  uint64        // revision of that change
	changesSent   uint64        // on this connection, including full states
	lastState     sentState     // the last full state sent
	lastDigestSeq uint64        // number of the last accepted digest
	lastDigestAt  time.Duration // when it arrived
}

// New returns a planner that listens for connections. Run must be called to serve them.
func New(cfg Config) (*Planner, error) {
	cfg.Plan.History = rand.Uint64() | 1 // unique to this run of this planner, and never 0
	p := &Planner{cfg: cfg, plan: plan.New(cfg.Plan), sender: sender{rate: stateBytesPerSecond}, conns: map[*conn]bool{}, entries: map[string]roster.Entry{}, refusedBy: map[string]int64{}}
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
			{Method: "GET", Path: "/_ready", Handler: func(string) control.Reply { return p.ready() }},
			{Method: "GET", Path: "/_view", Handler: func(string) control.Reply { return control.Reply{Status: 200, Body: []byte(p.Status())} }},
			{Method: "GET", Path: "/_vars", Handler: func(string) control.Reply { return p.metrics() }},
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
		if p.members, err = joinGossip(cfg, p.logEvent); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// logEvent logs an event, if the configuration has a logger.
func (p *Planner) logEvent(event, why string) {
	if p.cfg.LogEvent != nil {
		p.cfg.LogEvent(event, why)
	}
}

// Addr returns the address that the planner listens on.
func (p *Planner) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// Run serves forwarders until the context is cancelled.
func (p *Planner) Run(ctx context.Context) error {
	c := p.cfg.Registry
	c.Roster.Nodes, c.Roster.AskWithin, c.Roster.CallTimeout = 1, 4*time.Second, listCallTimeout
	if c.Roster.WatchTimeout == 0 {
		c.Roster.WatchTimeout = listWatchTimeout
	}
	c.MaxBodyBytes = maxListBody
	p.registry = registry.New(p.loop, c, uint64(time.Now().UnixNano()), p.updateServers, p.logEvent)
	p.registry.Start(0, nil)
	if p.cfg.LeasePrefix != "" {
		p.lease = p.startLease(c)
	}
	go p.accept()
	p.update()
	p.scheduleSnapshot()
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
		go c.tls.Close() // Close may block while it notifies the peer
	}
	if p.store != nil {
		p.saveSnapshot()
		p.store.Close()
	}
	p.members.leave()
}

// Reload reloads the certificates. Open connections keep the old ones.
func (p *Planner) Reload() {
	certs, err := p.cfg.Certificates()
	if err != nil {
		p.logEvent("reload_failed", fmt.Sprintf("why=%q", err))
		return
	}
	p.tls.Store(certs)
	p.logEvent("reload", "certificates=true")
}

// accept accepts connections. It runs in its own goroutine.
func (p *Planner) accept() {
	for {
		raw, err := p.listener.Accept()
		if err != nil {
			if ne, is := err.(net.Error); is && ne.Timeout() {
				continue
			}
			return
		}
		// The limit keeps clients from exhausting the file descriptors.
		if p.connCount.Add(1) > int64(p.cfg.Plan.Forwarders)+64 {
			p.connCount.Add(-1)
			raw.Close()
			continue
		}
		go p.serve(raw)
	}
}

// serve handles one forwarder's connection: it reads in this goroutine and writes in another.
func (p *Planner) serve(raw net.Conn) {
	defer p.connCount.Add(-1)
	c := &conn{p: p, tls: tls.Server(loop.CountBytes(raw, &p.bytesIn, &p.bytesOut), p.tls.Load()), out: make(chan []byte, 2)}
	defer c.tls.Close()
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	err := c.tls.HandshakeContext(ctx)
	cancel()
	if err != nil {
		p.loop.Post(func() { p.logEvent("refused", fmt.Sprintf("from=%s why=%q", raw.RemoteAddr(), err)) })
		return
	}
	c.name = keys.PeerName(c.tls)
	p.loop.Post(func() { p.conns[c] = true })
	go func() {
		for frame := range c.out {
			c.tls.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.tls.Write(frame); err != nil {
				c.tls.Close()
			}
		}
	}()
	malformed := c.read()
	p.loop.Post(func() {
		if malformed != nil {
			p.malformed++
			p.refuse(c, malformed)
		}
		if p.conns[c] {
			delete(p.conns, c)
			close(c.out)
		}
	})
}

// read passes messages to the loop until the connection ends. It returns an error only if a frame cannot be decoded, not
// if the connection fails.
func (c *conn) read() error {
	var input []byte
	for {
		if len(input) == 0 && cap(input) > maxKeptBuffer {
			input = nil
		}
		input = slices.Grow(input, minReadBuffer)
		c.tls.SetReadDeadline(time.Now().Add(idleTimeout))
		n, err := c.tls.Read(input[len(input):cap(input)])
		input = input[:len(input)+n]
		consumed := 0
		for {
			m, used, malformed := planwire.Next(input[consumed:])
			if malformed != nil {
				return malformed
			}
			if used == 0 {
				break
			}
			consumed += used
			c.p.loop.Post(func() { c.p.handleMessage(c, m) })
		}
		input = append(input[:0], input[consumed:]...)
		if err != nil {
			return nil
		}
	}
}

// handleMessage processes a message from a forwarder.
func (p *Planner) handleMessage(c *conn, m planwire.Message) {
	p.digests++
	var err error
	switch d := m.Digest; {
	case d == nil:
		err = fmt.Errorf("message is a view or a change, not a digest")
	case d.From != c.name: // the name in the certificate decides
		err = fmt.Errorf("%q sent a digest under another name", c.name)
	default:
		if m.Hold != nil {
			err = c.updateHold(p.loop.Now(), *m.Hold, m.NextChange)
		} else if c.protocol == protocolUnknown {
			c.protocol = protocolViews
		}
		if err == nil {
			now := p.loop.Now()
			if err = p.plan.Digest(now, *d); err == nil {
				c.lastDigestSeq, c.lastDigestAt = d.Seq, now
			}
		}
		if d.Brief {
			p.briefDigests++
		}
	}
	if err != nil {
		p.refuse(c, err)
	}
}

// refuse counts a rejected message. It logs the first, second, fourth, eighth and so on of each forwarder.
func (p *Planner) refuse(c *conn, reason error) {
	n := p.refusedBy[c.name] + 1
	if p.refusedBy[c.name] = n; len(p.refusedBy) > 1024 {
		p.refusedBefore += p.refusalCount()
		clear(p.refusedBy)
	}
	if bits.OnesCount64(uint64(n)) == 1 {
		p.logEvent("digest_refused", fmt.Sprintf("from=%q count=%d why=%q", c.name, n, reason))
	}
}

// refusalCount returns the number of rejected messages in refusedBy.
func (p *Planner) refusalCount() (sum int64) {
	for _, n := range p.refusedBy {
		sum += n
	}
	return sum
}

// updateServers applies an update of the server list. The first non-empty list triggers the restore of the snapshot.
func (p *Planner) updateServers(update roster.Update) {
	if update.Complete {
		clear(p.entries)
	}
	for _, e := range update.Entries {
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
		p.restoreSnapshot()
	}
}

// update computes the new plan and sends it, once per interval.
func (p *Planner) update() {
	now := p.loop.Now()
	p.plan.Update(now)
	p.sendUpdates(now)
	p.loop.After(p.cfg.Interval, p.update)
}

var snapshotBucket, snapshotKey = []byte("planner"), []byte("snapshot")

// scheduleSnapshot saves a snapshot at regular intervals.
func (p *Planner) scheduleSnapshot() {
	if p.store == nil {
		return
	}
	p.loop.After(snapshotInterval, func() {
		p.saveSnapshot()
		p.scheduleSnapshot()
	})
}

func (p *Planner) saveSnapshot() {
	if !p.restored {
		return // there is no list yet, so nothing has been learned
	}
	text, err := json.Marshal(p.plan.Snapshot(p.loop.Now()))
	if err == nil {
		err = p.store.Update(func(tx *bbolt.Tx) error {
			b, err := tx.CreateBucketIfNotExists(snapshotBucket)
			if err != nil {
				return err
			}
			return b.Put(snapshotKey, text)
		})
	}
	if err != nil {
		p.logEvent("snapshot_failed", fmt.Sprintf("why=%q", err))
	}
}

func (p *Planner) restoreSnapshot() {
	if p.store == nil {
		return
	}
	var s plan.Snapshot
	p.store.View(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(snapshotBucket); b != nil {
			return json.Unmarshal(b.Get(snapshotKey), &s)
		}
		return nil
	})
	if s.Clock > 0 {
		p.logEvent("snapshot", fmt.Sprintf("taken=%t age=%.1fs", p.plan.Restore(p.loop.Now(), p.cfg.MaxSnapshotAge, s), (p.loop.Now()-s.Clock).Seconds()))
	}
}

func (p *Planner) ready() control.Reply {
	if len(p.entries) == 0 {
		return control.TextReply(503, "no server list")
	}
	return control.TextReply(200, "ready")
}

// Status describes the current view and the reason for each weight, as text for operators.
func (p *Planner) Status() string {
	var b strings.Builder
	fmt.Fprintf(&b, "planner %s, %d forwarders heard, %d connected\n", p.cfg.Plan.ID, p.plan.ForwarderCount(), len(p.conns))
	if p.plan.Epoch() > 0 {
		fmt.Fprintf(&b, "epoch %d, %s leads\n", p.plan.Epoch(), p.plan.ElectLeader(nil))
	}
	for _, m := range p.members.ids() {
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

// metrics returns the counters and gauges in the Prometheus text format.
func (p *Planner) metrics() control.Reply {
	var b strings.Builder
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail for the calling process
	s := &p.sender
	for _, x := range []struct {
		name, kind string
		value      float64
	}{{"app_planner_forwarders", "gauge", float64(p.plan.ForwarderCount())}, {"app_planner_connections", "gauge", float64(len(p.conns))},
		{"app_planner_digests_total", "counter", float64(p.digests)}, {"app_planner_digests_brief_total", "counter", float64(p.briefDigests)},
		{"app_planner_digests_refused_total", "counter", float64(p.refusedBefore + p.refusalCount())}, {"app_planner_connections_broken_total", "counter", float64(p.malformed)},
		{"app_planner_views_total", "counter", float64(s.viewsSent)}, {"app_planner_changes_total", "counter", float64(s.changesSent)},
		{"app_planner_states_total", "counter", float64(s.statesSent)}, {"app_planner_states_waiting", "gauge", float64(len(s.awaitingState))},
		{"app_planner_states_paced_total", "counter", float64(s.statesPaced)}, {"app_planner_doubts_total", "counter", float64(s.lostStates)},
		{"app_planner_changes_encoded_total", "counter", float64(s.changesEncoded)}, {"app_planner_revision", "gauge", float64(p.plan.Revision())},
		{"app_planner_bytes_in_total", "counter", float64(p.bytesIn.Load())}, {"app_planner_bytes_out_total", "counter", float64(p.bytesOut.Load())},
		{"app_planner_cache_servers_known", "gauge", float64(len(p.plan.Explain()))},
		{"process_cpu_seconds_total", "counter", time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()}, {"process_resident_memory_bytes", "gauge", residentBytes()}} {
		fmt.Fprintf(&b, "# TYPE %s %s\n%s %s\n", x.name, x.kind, x.name, strconv.FormatFloat(x.value, 'f', -1, 64))
	}
	return control.Reply{Status: 200, Type: "text/plain; version=0.0.4; charset=utf-8", Body: []byte(b.String())}
}

// residentBytes returns the resident memory of the process, or 0 if /proc is not available.
func residentBytes() float64 {
	text, _ := os.ReadFile("/proc/self/statm")
	if words := strings.Fields(string(text)); len(words) > 1 {
		pages, _ := strconv.Atoi(words[1])
		return float64(pages * os.Getpagesize())
	}
	return 0
}
