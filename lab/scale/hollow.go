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
	drawEvery = 200 * time.Millisecond
	mostDraw  = 2 * time.Second // that a late draw makes up for
	mostList  = 8 << 20
)

// hollowConfig is what a process of hollow nodes is told.
type hollowConfig struct {
	First, Count int // its nodes, of all
	Nodes        int
	Rate         float64
	Talk         string
	Keys         string // directory of certificates
	Planners     []string
	Every, Fade  time.Duration
	List, Kind   string
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

// sample is a process's counters since its start.
type sample struct {
	BytesIn, BytesOut, Digests, Views, Errors int64
	Requests, Attempts                        int64
	ListBytes, ListCalls                      int64
	Listed                                    int // nodes that know all servers
	CPU                                       time.Duration
	Heap, RSS                                 int64         // what the nodes use themselves, in a settled sample alone; all that the process holds
	Late                                      time.Duration // of the loop's timers, at most since the last sample
	Seconds                                   []Second      // since the last sample
	Low                                       map[string]int
	Led                                       int
}

// hollow is a process of hollow nodes. All of it belongs to the loop but for cut.
type hollow struct {
	cfg     hollowConfig
	loop    *loop.Loop
	tables  *tables
	nodes   []*hollowNode
	loads   bool
	seconds []Second
	empty   int64  // memory before the nodes' parts were made: what they share
	watched string // server whose factor or state is waited for
	cut     sync.Map
}

// hollowNode is one node without sockets that serve.
type hollowNode struct {
	h         *hollow
	name      string
	tls       *tls.Config
	rng       *rand.Rand
	drawnAt   time.Duration
	balancer  *policy.Balancer
	registry  *registry.Client
	entries   map[string]roster.Entry
	forwarder *forwarder.Forwarder
	away      int // servers that are not ready or have a factor below 1
	ready     []bool
	factor    []float32
	low       []int32
	granted   map[string]float64 // sends a second, by server
	lived     counters           // of forwarders and followers that it had before
	last      counters           // at the last second
	requests  int64
	attempts  int64
	stamp     int64 // when the watched change was in force, Unix ns; 0: not yet
}

type counters struct{ in, out, digests, views, errors, listBytes, listCalls int64 }

func newHollow(cfg hollowConfig) (*hollow, error) {
	l, err := loop.New()
	if err != nil {
		return nil, err
	}
	h := &hollow{cfg: cfg, loop: l, tables: newTables(cfg.Load)}
	for i := range cfg.Count {
		name := nodeName(cfg.First + i)
		pair, err := keys.Load(filepath.Join(cfg.Keys, "ca.pem"), filepath.Join(cfg.Keys, name+".pem"), filepath.Join(cfg.Keys, name+".key"))
		if err != nil {
			return nil, err
		}
		n := &hollowNode{h: h, name: name, tls: pair.Client(keys.Planner), rng: stream(cfg.Load.Seed, name)}
		n.tls.VerifyConnection = func(s tls.ConnectionState) error {
			if _, is := h.cut.Load(s.PeerCertificates[0].Subject.CommonName); is {
				return errors.New("cut off")
			}
			return nil
		}
		h.nodes = append(h.nodes, n)
	}
	h.empty = usedMemory()
	return h, nil
}

// usedMemory is the process's heap and stacks without what nobody uses any more.
func usedMemory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) + int64(m.StackInuse)
}

func nodeName(i int) string { return fmt.Sprintf("node-%04d", i+1) }

// begin makes the nodes' lists and decision modules.
func (h *hollow) begin() {
	for _, n := range h.nodes {
		n.begin()
	}
	h.second()
}

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

func (n *hollowNode) begin() {
	h, now := n.h, n.h.loop.Now()
	n.entries, n.ready, n.factor, n.low = map[string]roster.Entry{}, make([]bool, len(h.tables.ids)), make([]float32, len(h.tables.ids)), nil
	for i := range n.factor {
		n.factor[i] = 1
	}
	n.away, n.granted = len(n.ready), nil
	n.balancer = policy.New(now, policy.Settings{Classes: []policy.Class{{Name: "read", Aim: 600 * time.Millisecond, Worth: 1}}, Mode: policy.Aside, OriginKind: originKind,
		Balancers: h.cfg.Nodes, Weighted: true, MaxAttempts: 4, ColdFrom: coldFrom, WarmUp: warmUp, FallMultiple: fallMultiple, FallWindow: fallWindow},
		n.rng.Uint64(), noActions{})
	c := registry.Config{Kind: registry.Kind(h.cfg.Kind), Endpoints: []netip.AddrPort{netip.MustParseAddrPort(h.cfg.List)}, Prefix: listPrefix, MostBody: mostList,
		// As internal/node has them for a fleet of this size.
		Roster: roster.Config{Nodes: h.cfg.Nodes, CallTimeout: 1500 * time.Millisecond, ImmediateFirstWatch: true, PushedRetryDelay: 100 * time.Millisecond,
			WatchTimeout: min(time.Minute, max(5*time.Second, time.Second*time.Duration(h.cfg.Nodes)))}}
	n.registry = registry.New(h.loop, c, n.rng.Uint64(), n.told, func(string, string) {})
	n.registry.Start(0, nil)
}

// told takes list news.
func (n *hollowNode) told(u roster.Update) {
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
		if x, is := n.h.tables.index[e.ID]; is {
			n.ready[x] = e.State == policy.Ready
		}
		if e.ID == n.h.watched && e.State != policy.Ready && n.stamp == 0 {
			n.stamp = time.Now().UnixNano()
		}
	}
	n.balancer.Members(n.h.loop.Now(), kind, servers)
	n.count()
}

// count counts the servers that do not take their full part.
func (n *hollowNode) count() {
	n.away = 0
	for i := range n.ready {
		if !n.ready[i] || n.factor[i] < 1 {
			n.away++
		}
	}
}

// readyCaches are the caches that serve by the list, as internal/node gives them.
func (n *hollowNode) readyCaches() (list []follow.Server) {
	for _, id := range slices.Sorted(maps.Keys(n.entries)) {
		if e := n.entries[id]; e.State == policy.Ready && e.Kind != originKind {
			list = append(list, follow.Server{ID: id, Weight: e.Weight})
		}
	}
	return list
}

// forward begins to talk to planners.
func (n *hollowNode) forward() {
	c := forwarder.Config{Name: n.name, TLS: n.tls, Every: n.h.cfg.Every, Fade: n.h.cfg.Fade}
	speak(&c, n.h.cfg.Talk)
	for _, a := range n.h.cfg.Planners {
		c.Planners = append(c.Planners, netip.MustParseAddrPort(a))
	}
	n.forwarder = forwarder.New(n.h.loop, c, n.readyCaches, n.view, func(string, string) {})
}

// view puts a view in force.
func (n *hollowNode) view(v policy.View) {
	n.balancer.View(n.h.loop.Now(), v)
	for _, i := range n.low {
		n.factor[i] = 1
	}
	n.low, n.granted = n.low[:0], nil
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
		if i, is := n.h.tables.index[s.ID]; is {
			n.factor[i], n.low = float32(s.Factor), append(n.low, i)
		}
		if s.ID == n.h.watched && n.stamp == 0 {
			n.stamp = time.Now().UnixNano()
		}
	}
	n.count()
}

// end stops all that the node does, as the end of its process would.
func (n *hollowNode) end() {
	n.lived = n.counters()
	n.forwarder.Close()
	n.forwarder = nil
	n.registry.Close()
	n.registry = nil
}

// restart makes it a new process.
func (n *hollowNode) restart() {
	forwards := n.forwarder != nil
	n.end()
	n.begin()
	if forwards {
		n.forward()
	}
}

func (n *hollowNode) counters() counters {
	c := n.lived
	if f := n.forwarder; f != nil {
		c.in, c.out, c.digests, c.views, c.errors = c.in+f.BytesIn, c.out+f.BytesOut, c.digests+f.Digests, c.views+f.Views, c.errors+f.Errors
	}
	if r := n.registry; r != nil {
		c.listBytes, c.listCalls = c.listBytes+r.Bytes, c.listCalls+r.Counts().Calls
	}
	return c
}

// load draws what comes to all nodes, each at moments of its own.
func (h *hollow) load(on bool) {
	if h.loads = on; !on {
		return
	}
	for _, n := range h.nodes {
		h.loop.After(time.Duration(n.rng.Int64N(int64(drawEvery))), func() {
			n.drawnAt = h.loop.Now()
			n.draw()
		})
	}
}

// draw takes the requests since the last time and ends their attempts.
func (n *hollowNode) draw() {
	h, t := n.h, n.h.tables
	if !h.loads {
		return
	}
	now := h.loop.Now()
	count := poisson(n.rng, h.cfg.Rate*min(mostDraw, now-n.drawnAt).Seconds())
	n.drawnAt = now
	f := n.forwarder
	for range count {
		r := n.rng.Uint64()
		d := t.draws[r%drawn]
		tenant := ""
		if len(t.tenants) > 0 {
			tenant = t.tenants[r>>32%uint64(len(t.tenants))]
		}
		f.Request(t.keys[d.key], tenant)
		for try := range 3 {
			s := d.server
			if try > 0 {
				s = int32(n.rng.IntN(len(t.ids)))
			}
			for k := 0; n.away > 0 && k < 8 && (!n.ready[s] || n.factor[s] < 1 && n.rng.Float32() >= n.factor[s]); k++ {
				s = int32(n.rng.IntN(len(t.ids)))
			}
			n.attempts++
			dice := uint32(r >> 18)
			switch {
			case t.down[s]:
				f.Attempt(t.ids[s], false, policy.ConnectFailed, time.Millisecond, false, false)
				r = n.rng.Uint64()
				continue
			case t.late[s]:
				f.Attempt(t.ids[s], false, policy.OK, 900*time.Millisecond, false, false)
			case dice < t.bad && dice&3 == 0:
				f.Attempt(t.ids[s], false, policy.Full, time.Millisecond, false, false)
				r = n.rng.Uint64()
				continue
			case dice < t.bad && dice&3 == 1:
				f.Attempt(t.ids[s], false, policy.Reset, time.Millisecond, false, false)
				r = n.rng.Uint64()
				continue
			case dice < t.bad:
				f.Attempt(t.ids[s], false, policy.OK, 900*time.Millisecond, false, false)
			case dice-t.bad < t.miss:
				f.Attempt(t.ids[s], false, policy.Miss, t.took[r&255], true, false)
				n.attempts++
				f.Attempt("", true, policy.OK, 20*time.Millisecond, true, false)
			default:
				f.Attempt(t.ids[s], false, policy.OK, t.took[r&255], true, false)
			}
			break
		}
	}
	n.requests += int64(count)
	h.loop.After(drawEvery, n.draw)
}

// second notes what was seen in each second of the wall clock.
func (h *hollow) second() {
	wall := time.Now()
	s := Second{At: wall.Unix() - 1, Nodes: len(h.nodes)}
	for _, n := range h.nodes {
		if n.led() { // which brings the bytes up to date
			s.Following++
		}
		c := n.counters()
		in, out := c.in-n.last.in, c.out-n.last.out
		s.In, s.Out, s.Digests, s.Views = s.In+in, s.Out+out, s.Digests+c.digests-n.last.digests, s.Views+c.views-n.last.views
		s.MostIn, s.MostOut, s.MostBoth = max(s.MostIn, in), max(s.MostOut, out), max(s.MostBoth, in+out)
		n.last = c
		s.LowFactors += len(n.low)
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
	h.loop.After(wall.Truncate(time.Second).Add(time.Second).Sub(wall), h.second)
}

// led reports whether the node follows a view that is valid.
func (n *hollowNode) led() bool {
	if n.forwarder == nil {
		return false
	}
	line, _, _ := strings.Cut(n.forwarder.Status(), "\n")
	return strings.HasPrefix(line, "view of ") && strings.HasSuffix(line, "trusted 1.00")
}

// sample reads all counters. Settled: what nobody uses any more is not counted as memory.
func (h *hollow) sample(settled bool) *sample {
	s := &sample{Late: h.loop.MaxTimerDelay, Seconds: h.seconds, Low: map[string]int{}}
	h.seconds, h.loop.MaxTimerDelay = nil, 0
	for _, n := range h.nodes {
		if n.led() {
			s.Led++
		}
		c := n.counters()
		s.BytesIn, s.BytesOut, s.Digests, s.Views, s.Errors = s.BytesIn+c.in, s.BytesOut+c.out, s.Digests+c.digests, s.Views+c.views, s.Errors+c.errors
		s.ListBytes, s.ListCalls = s.ListBytes+c.listBytes, s.ListCalls+c.listCalls
		s.Requests, s.Attempts = s.Requests+n.requests, s.Attempts+n.attempts
		if len(n.entries) == len(h.tables.ids) {
			s.Listed++
		}
		for _, i := range n.low {
			s.Low[h.tables.ids[i]]++
		}
	}
	if settled {
		s.Heap = usedMemory() - h.empty
	}
	s.RSS = residentBytes(unix.Getpid())
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) == nil {
		s.CPU = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	return s
}

// hangUp ends all connections of this process to an address.
func hangUp(addr netip.AddrPort) {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return
	}
	for fd := range int(min(limit.Cur, 1<<16)) {
		peer, err := unix.Getpeername(fd)
		if err != nil {
			continue
		}
		if to, is := peer.(*unix.SockaddrInet4); is && netip.AddrPortFrom(netip.AddrFrom4(to.Addr), uint16(to.Port)) == addr {
			unix.Shutdown(fd, unix.SHUT_RDWR)
		}
	}
}
