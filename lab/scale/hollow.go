package scale

import (
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"lapisshelf/decide/follow"
	"lapisshelf/decide/roster"
	"lapisshelf/internal/forwarder"
	"lapisshelf/internal/keys"
	"lapisshelf/internal/loop"
	"lapisshelf/internal/registry"
	"lapisshelf/policy"
)

const (
	drawInterval = 200 * time.Millisecond
	maxDrawSpan  = 2 * time.Second // load that a late draw catches up on at most
	maxListBytes = 8 << 20
)

// hollowConfig is the configuration of a process of hollow nodes, as JSON under the field names.
type hollowConfig struct {
	First, Count int     // index of its first node among all, and number of its nodes
	Nodes        int     // of the whole fleet
	Rate         float64 // requests per second at each node
	Talk         string
	Keys         string // directory of certificates and keys
	Planners     []string
	Every, Fade  time.Duration // see File.Nodes
	List, Kind   string        // address and kind of the list service
	Load         loadConfig
}

// Second holds the totals of one wall-clock second over all nodes of a process or of a run. It travels as JSON between the lab's
// processes, which may be of different versions; tags keep the field names there.
type Second struct {
	At              int64 // Unix seconds
	Nodes           int
	In, Out         int64 // bytes from and to planners
	MostIn, MostOut int64 // maxima of a single node
	MostBoth        int64 // maximum of a single node, both directions together
	Digests, Views  int64
	Following       int `json:"Led"` // nodes that follow a valid view
	LowFactors      int `json:"Low"` // factors below 1 in force, over all nodes and servers
	// Granted is the rate, in requests a second, at which all nodes together may send to each cold server by the views in force.
	// BoundNodes is how many nodes such a grant limits.
	Granted    map[string]float64 `json:",omitempty"`
	BoundNodes int                `json:"Bound"`
}

// sample holds the counters of a process of hollow nodes since its start. It travels as JSON; tags keep the field names there.
type sample struct {
	BytesIn, BytesOut, Digests, Views, Errors int64
	Requests, Attempts                        int64
	ListBytes, ListCalls                      int64
	Listed                                    int // nodes whose list holds all servers
	CPU                                       time.Duration
	Heap, RSS                                 int64          // live memory of the nodes alone, only after a collection; resident memory of the process
	MaxTimerDelay                             time.Duration  `json:"Late"` // of the event loop, since the last sample
	Seconds                                   []Second       // since the last sample
	LowFactors                                map[string]int `json:"Low"` // nodes with a factor below 1 in force, by server
	Following                                 int            `json:"Led"` // nodes that follow a valid view
}

// hollowProcess is the state of a process of hollow nodes. The event loop owns all of it but cutPlanners.
type hollowProcess struct {
	cfg           hollowConfig
	loop          *loop.Loop
	tables        *tables
	nodes         []*hollowNode
	loadOn        bool
	seconds       []Second
	baseMemory    int64    // live memory before the nodes start: what they share
	watchedServer string   // id of the server whose next change of factor or state each node records in inForceAt
	cutPlanners   sync.Map // ids of planners to which connections are refused
}

// hollowNode is one node without sockets towards clients and servers.
type hollowNode struct {
	process       *hollowProcess
	name          string
	tls           *tls.Config
	rng           *rand.Rand
	drawnAt       time.Duration
	balancer      *policy.Balancer
	registry      *registry.Client
	entries       map[string]roster.Entry
	forwarder     *forwarder.Forwarder
	unavailable   int // number of servers that are not ready or have a factor below 1
	ready         []bool
	factor        []float32
	lowFactors    []int32
	granted       map[string]float64 // requests per second, by cold server
	endedCounters counters           // of its forwarders and list clients before the last restart
	lastCounters  counters           // at the last recorded second
	requests      int64
	attempts      int64
	inForceAt     int64 // when the watched change was in force, Unix ns; 0: not yet
}

type counters struct{ in, out, digests, views, errors, listBytes, listCalls int64 }

func newHollowProcess(cfg hollowConfig) (*hollowProcess, error) {
	l, err := loop.New()
	if err != nil {
		return nil, err
	}
	h := &hollowProcess{cfg: cfg, loop: l, tables: newTables(cfg.Load)}
	for i := range cfg.Count {
		name := nodeName(cfg.First + i)
		pair, err := keys.Load(filepath.Join(cfg.Keys, "ca.pem"), filepath.Join(cfg.Keys, name+".pem"), filepath.Join(cfg.Keys, name+".key"))
		if err != nil {
			return nil, err
		}
		n := &hollowNode{process: h, name: name, tls: pair.ClientConfig(keys.Planner), rng: randomStream(cfg.Load.Seed, name)}
		n.tls.VerifyConnection = func(s tls.ConnectionState) error {
			if _, found := h.cutPlanners.Load(s.PeerCertificates[0].Subject.CommonName); found {
				return errors.New("planner is cut off by a fault")
			}
			return nil
		}
		h.nodes = append(h.nodes, n)
	}
	h.baseMemory = liveMemory()
	return h, nil
}

// liveMemory returns the size of the heap and stacks after garbage collection.
func liveMemory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) + int64(m.StackInuse)
}

func nodeName(i int) string { return fmt.Sprintf("node-%04d", i+1) }

// start starts the list clients and decision modules of all nodes.
func (h *hollowProcess) start() {
	for _, n := range h.nodes {
		n.start()
	}
	h.recordSecond()
}

// noActions ignores what a decision module asks for.
type noActions struct{}

func (noActions) Send(string, string, time.Duration, time.Duration) {}
func (noActions) Refuse(string, time.Duration)                      {}
func (noActions) Fail(string)                                       {}
func (noActions) Cancel(string, int)                                {}
func (noActions) Timer(time.Duration, string)                       {}
func (noActions) Subscribe()                                        {}
func (noActions) Probe(string)                                      {}
func (noActions) Log(string)                                        {}

const originKind = "origin"

// start creates the node's decision module and starts its list client.
func (n *hollowNode) start() {
	h, now := n.process, n.process.loop.Now()
	n.entries, n.ready, n.factor, n.lowFactors = map[string]roster.Entry{}, make([]bool, len(h.tables.ids)), make([]float32, len(h.tables.ids)), nil
	for i := range n.factor {
		n.factor[i] = 1
	}
	n.unavailable, n.granted = len(n.ready), nil
	n.balancer = policy.New(now, policy.Settings{Classes: []policy.Class{{Name: "read", Aim: 600 * time.Millisecond, Worth: 1}}, Mode: policy.Aside, OriginKind: originKind,
		Balancers: h.cfg.Nodes, Weighted: true, MaxAttempts: 4, ColdFrom: coldFrom, WarmUp: warmUp, FallMultiple: fallMultiple, FallWindow: fallWindow},
		n.rng.Uint64(), noActions{})
	c := registry.Config{Kind: registry.Kind(h.cfg.Kind), Endpoints: []netip.AddrPort{netip.MustParseAddrPort(h.cfg.List)}, Prefix: listPrefix, MaxBodyBytes: maxListBytes,
		// The same as in internal/node for a fleet of this size.
		Roster: roster.Config{Nodes: h.cfg.Nodes, CallTimeout: 1500 * time.Millisecond, ImmediateFirstWatch: true, PushedRetryDelay: 100 * time.Millisecond,
			WatchTimeout: min(time.Minute, max(5*time.Second, time.Second*time.Duration(h.cfg.Nodes)))}}
	n.registry = registry.New(h.loop, c, n.rng.Uint64(), n.updateList, func(string, string) {})
	n.registry.Start(0, nil)
}

// updateList applies an update of the server list.
func (n *hollowNode) updateList(u roster.Update) {
	kind := policy.ListChanges
	if u.Complete {
		kind = policy.ListComplete
		clear(n.entries)
		clear(n.ready)
	}
	servers := make([]policy.Server, len(u.Entries))
	for i, e := range u.Entries {
		servers[i] = e.Server
		if e.State == policy.Gone {
			delete(n.entries, e.ID)
		} else {
			n.entries[e.ID] = e
		}
		if x, found := n.process.tables.index[e.ID]; found {
			n.ready[x] = e.State == policy.Ready
		}
		if e.ID == n.process.watchedServer && e.State != policy.Ready && n.inForceAt == 0 {
			n.inForceAt = time.Now().UnixNano()
		}
	}
	n.balancer.Members(n.process.loop.Now(), kind, servers)
	n.countUnavailable()
}

// countUnavailable counts the servers that do not take their full share of the load.
func (n *hollowNode) countUnavailable() {
	n.unavailable = 0
	for i := range n.ready {
		if !n.ready[i] || n.factor[i] < 1 {
			n.unavailable++
		}
	}
}

// readyCaches returns the caches that are ready by the list, as internal/node does.
func (n *hollowNode) readyCaches() (list []follow.Server) {
	for _, id := range slices.Sorted(maps.Keys(n.entries)) {
		if e := n.entries[id]; e.State == policy.Ready && e.Kind != originKind {
			list = append(list, follow.Server{ID: id, Weight: e.Weight})
		}
	}
	return list
}

// startForwarder starts the forwarder, which connects to the planners.
func (n *hollowNode) startForwarder() {
	c := forwarder.Config{Name: n.name, TLS: n.tls, Interval: n.process.cfg.Every, Fade: n.process.cfg.Fade}
	setTalk(&c, n.process.cfg.Talk)
	for _, a := range n.process.cfg.Planners {
		c.Planners = append(c.Planners, netip.MustParseAddrPort(a))
	}
	n.forwarder = forwarder.New(n.process.loop, c, n.readyCaches, n.applyView, func(string, string) {})
}

// applyView puts a view in force.
func (n *hollowNode) applyView(v policy.View) {
	n.balancer.View(n.process.loop.Now(), v)
	for _, i := range n.lowFactors {
		n.factor[i] = 1
	}
	n.lowFactors, n.granted = n.lowFactors[:0], nil
	for _, s := range v.Servers {
		if s.Allow > 0 {
			if n.granted == nil {
				n.granted = map[string]float64{}
			}
			n.granted[s.ID] = s.Allow
		}
		if s.Factor >= 1 {
			continue
		}
		if i, found := n.process.tables.index[s.ID]; found {
			n.factor[i], n.lowFactors = float32(s.Factor), append(n.lowFactors, i)
		}
		if s.ID == n.process.watchedServer && n.inForceAt == 0 {
			n.inForceAt = time.Now().UnixNano()
		}
	}
	n.countUnavailable()
}

// stop closes all connections of the node, as the end of its process would.
func (n *hollowNode) stop() {
	n.endedCounters = n.counters()
	n.forwarder.Close()
	n.forwarder = nil
	n.registry.Close()
	n.registry = nil
}

// restart replaces the node's state by that of a new process.
func (n *hollowNode) restart() {
	forwards := n.forwarder != nil
	n.stop()
	n.start()
	if forwards {
		n.startForwarder()
	}
}

// counters returns the node's totals over all its restarts.
func (n *hollowNode) counters() counters {
	c := n.endedCounters
	if f := n.forwarder; f != nil {
		c.in, c.out, c.digests, c.views, c.errors = c.in+f.BytesIn, c.out+f.BytesOut, c.digests+f.DigestsSent, c.views+f.ViewsReceived, c.errors+f.ClosedConns
	}
	if r := n.registry; r != nil {
		c.listBytes, c.listCalls = c.listBytes+r.BytesReceived, c.listCalls+r.Counts().Calls
	}
	return c
}

// setLoad starts or stops the load of all nodes. Nodes draw at random offsets, so that their work is spread over time.
func (h *hollowProcess) setLoad(on bool) {
	if h.loadOn = on; !on {
		return
	}
	for _, n := range h.nodes {
		h.loop.After(time.Duration(n.rng.Int64N(int64(drawInterval))), func() {
			n.drawnAt = h.loop.Now()
			n.draw()
		})
	}
}

// draw draws the requests since the last call, with their attempts and outcomes, and counts them in the forwarder.
func (n *hollowNode) draw() {
	h, t := n.process, n.process.tables
	if !h.loadOn {
		return
	}
	now := h.loop.Now()
	count := poisson(n.rng, h.cfg.Rate*min(maxDrawSpan, now-n.drawnAt).Seconds())
	n.drawnAt = now
	f := n.forwarder
	for range count {
		r := n.rng.Uint64()
		keyDraw := t.draws[r%drawCount]
		tenant := ""
		if len(t.tenants) > 0 {
			tenant = t.tenants[r>>32%uint64(len(t.tenants))]
		}
		f.Request(t.keys[keyDraw.key], tenant)
		for attempt := range 3 {
			s := keyDraw.server
			if attempt > 0 {
				s = int32(n.rng.IntN(len(t.ids)))
			}
			for k := 0; n.unavailable > 0 && k < 8 && (!n.ready[s] || n.factor[s] < 1 && n.rng.Float32() >= n.factor[s]); k++ {
				s = int32(n.rng.IntN(len(t.ids)))
			}
			n.attempts++
			dice := uint32(r >> 18)
			switch {
			case t.down[s]:
				f.Attempt(t.ids[s], false, policy.ConnectFailed, time.Millisecond, false, false)
				r = n.rng.Uint64()
				continue
			case t.slow[s]:
				f.Attempt(t.ids[s], false, policy.OK, 900*time.Millisecond, false, false)
			case dice < t.badLimit && dice&3 == 0:
				f.Attempt(t.ids[s], false, policy.Full, time.Millisecond, false, false)
				r = n.rng.Uint64()
				continue
			case dice < t.badLimit && dice&3 == 1:
				f.Attempt(t.ids[s], false, policy.Reset, time.Millisecond, false, false)
				r = n.rng.Uint64()
				continue
			case dice < t.badLimit:
				f.Attempt(t.ids[s], false, policy.OK, 900*time.Millisecond, false, false)
			case dice-t.badLimit < t.missLimit:
				f.Attempt(t.ids[s], false, policy.Miss, t.latencies[r&255], true, false)
				n.attempts++
				f.Attempt("", true, policy.OK, 20*time.Millisecond, true, false)
			default:
				f.Attempt(t.ids[s], false, policy.OK, t.latencies[r&255], true, false)
			}
			break
		}
	}
	n.requests += int64(count)
	h.loop.After(drawInterval, n.draw)
}

// recordSecond records the totals of the last wall-clock second.
func (h *hollowProcess) recordSecond() {
	wall := time.Now()
	s := Second{At: wall.Unix() - 1, Nodes: len(h.nodes)}
	for _, n := range h.nodes {
		if n.followsValidView() { // reading the forwarder's status also updates its byte counters
			s.Following++
		}
		c := n.counters()
		in, out := c.in-n.lastCounters.in, c.out-n.lastCounters.out
		s.In, s.Out, s.Digests, s.Views = s.In+in, s.Out+out, s.Digests+c.digests-n.lastCounters.digests, s.Views+c.views-n.lastCounters.views
		s.MostIn, s.MostOut, s.MostBoth = max(s.MostIn, in), max(s.MostOut, out), max(s.MostBoth, in+out)
		n.lastCounters = c
		s.LowFactors += len(n.lowFactors)
		if len(n.granted) > 0 {
			s.BoundNodes++
		}
		for id, rate := range n.granted {
			if s.Granted == nil {
				s.Granted = map[string]float64{}
			}
			s.Granted[id] += rate
		}
	}
	if h.seconds = append(h.seconds, s); len(h.seconds) > 600 {
		h.seconds = h.seconds[1:]
	}
	h.loop.After(wall.Truncate(time.Second).Add(time.Second).Sub(wall), h.recordSecond)
}

// followsValidView reports whether the node follows a view that is valid.
func (n *hollowNode) followsValidView() bool {
	if n.forwarder == nil {
		return false
	}
	line, _, _ := strings.Cut(n.forwarder.Status(), "\n")
	return strings.HasPrefix(line, "view of ") && strings.HasSuffix(line, "trusted 1.00")
}

// sample reads all counters. If settled is set, it measures the live memory too, which collects garbage first.
func (h *hollowProcess) sample(settled bool) *sample {
	s := &sample{MaxTimerDelay: h.loop.MaxTimerDelay, Seconds: h.seconds, LowFactors: map[string]int{}}
	h.seconds, h.loop.MaxTimerDelay = nil, 0
	for _, n := range h.nodes {
		if n.followsValidView() {
			s.Following++
		}
		c := n.counters()
		s.BytesIn, s.BytesOut, s.Digests, s.Views, s.Errors = s.BytesIn+c.in, s.BytesOut+c.out, s.Digests+c.digests, s.Views+c.views, s.Errors+c.errors
		s.ListBytes, s.ListCalls = s.ListBytes+c.listBytes, s.ListCalls+c.listCalls
		s.Requests, s.Attempts = s.Requests+n.requests, s.Attempts+n.attempts
		if len(n.entries) == len(h.tables.ids) {
			s.Listed++
		}
		for _, i := range n.lowFactors {
			s.LowFactors[h.tables.ids[i]]++
		}
	}
	if settled {
		s.Heap = liveMemory() - h.baseMemory
	}
	s.RSS = residentBytes(unix.Getpid())
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) == nil {
		s.CPU = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	return s
}

// closeConnections shuts down all connections of this process to an address.
func closeConnections(addr netip.AddrPort) {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return
	}
	for fd := range int(min(limit.Cur, 1<<16)) {
		peer, err := unix.Getpeername(fd)
		if err != nil {
			continue
		}
		if to, ok := peer.(*unix.SockaddrInet4); ok && netip.AddrPortFrom(netip.AddrFrom4(to.Addr), uint16(to.Port)) == addr {
			unix.Shutdown(fd, unix.SHUT_RDWR)
		}
	}
}
