// Package stage runs the deployment of an experiment on loopback sockets: stand-ins for the caches, the origin and the source of
// the server list, each node and planner as a process, and the clients. It injects the faults of the experiment's timeline, and
// has the judge evaluate what clients and servers recorded.
package stage

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"lapisshelf/lab/experiment"
	"lapisshelf/lab/fault"
	"lapisshelf/lab/judge"
	"lapisshelf/lab/load"
	"lapisshelf/lab/seen"
	"lapisshelf/lab/standin"
	"lapisshelf/lab/world"
)

// Limits of the delays of the lab itself, above which a run is void, and how often stalls are measured.
const (
	maxMeanLateness    = 2 * time.Millisecond  // mean of the stand-ins
	maxP99Lateness     = 10 * time.Millisecond // 99th percentile of the sent tries
	stallCheckInterval = 5 * time.Millisecond
)

// Options configure a deployment.
type Options struct {
	Command   string         // runs a node
	Dir       string         // for configurations and logs; it must exist
	KeepState bool           // the state directory of a node survives restarts too
	Progress  func(Progress) // called each second of a run; may be nil
}

// Progress describes how far a run has come.
type Progress struct {
	Elapsed   time.Duration
	Length    time.Duration
	TriesSent int64
	Attempts  int
	LastEvent string // the most recent fault or other event
}

// Deployment is a running deployment.
type Deployment struct {
	Experiment    *experiment.Experiment
	Log           *seen.Log
	Common        *standin.Common
	Nodes         []*Node
	opt           Options
	caches        map[string]*standin.Cache // by server name
	origin        *standin.Origin
	list          serverList
	operatorTasks sync.WaitGroup // operator actions that take time, such as upgrades
	loadDone      chan struct{}  // closed when the load has ended
	leases        *leaseKeeper   // keeps the servers' registry leases; nil: entries have no leases
	load          *load.Load
	arrivals      []world.Arrival
	planners      []*planner
	netPrefix     string // first three octets of the loopback addresses, with the last dot

	mu               sync.Mutex
	lameDuckChecks   map[int]*seen.LameDuckCheck               // by node, the check of a lame duck that is in force
	pendingFills     [2]map[string][]func(version, size int64) // by request, for the caches that missed; newer generation first
	pendingRotatedAt time.Time
	rules            judge.Rules
}

// LabDelays are the delays of the lab itself in a run. They tell whether the run is void.
type LabDelays struct {
	SendP50     float64 `json:"send_late_p50_ms"` // tries sent behind their schedule
	SendP99     float64 `json:"send_late_p99_ms"`
	SendMax     float64 `json:"send_late_max_ms"`
	StandInMean float64 `json:"standin_late_mean_ms"` // stand-ins behind their models
	StandInMax  float64 `json:"standin_late_max_ms"`
	StallMax    float64 `json:"stall_max_ms"` // the longest time for which the lab's process did not run
	VoidReason  string  `json:"void,omitempty"`
}

// Result is the outcome of a run.
type Result struct {
	Verdict     *judge.Verdict
	Record      *seen.Record
	Lab         LabDelays
	Interrupted bool // the context ended before the load did
	Arrivals    int  // number of planned arrivals
}

// Open starts a deployment. When it returns without an error, all nodes are ready.
func Open(x *experiment.Experiment, opt Options) (*Deployment, error) {
	d := &Deployment{Experiment: x, Log: seen.NewLog(), opt: opt, caches: map[string]*standin.Cache{}, lameDuckChecks: map[int]*seen.LameDuckCheck{}, loadDone: make(chan struct{}), rules: x.Rules(), arrivals: x.Arrivals()}
	d.netPrefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
	d.Common = standin.NewCommon(d.Log, x.Seed, x.Classes)
	d.pendingFills = [2]map[string][]func(version, size int64){{}, {}}
	if err := d.open(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) open() error {
	x := d.Experiment
	var members []world.Member
	for i := range x.Servers {
		v := &x.Servers[i]
		if v.StartsLater {
			continue
		}
		c, err := d.startCache(v, v.Group.Cold)
		if err != nil {
			return err
		}
		m := v.Member
		m.Addr = c.Addr()
		if v.Group.Cold {
			m.Started = d.Log.Now()
		}
		members = append(members, m)
	}
	d.warmCaches(members)
	if !x.Origin.None {
		spec := x.OriginSpec()
		var err error
		d.origin, err = standin.NewOrigin(d.Common, standin.OriginOptions{ID: x.OriginID(), Name: "origin", Addr: d.netPrefix + "200:0",
			Spec: &spec, Way: x.Origin.Way.D(), Window: x.Origin.Window, OnRead: d.fillCaches, OnWrite: d.invalidateCopies})
		if err != nil {
			return err
		}
		if x.Service.Mode == "aside" {
			members = append(members, world.Member{ID: x.OriginID(), Addr: d.origin.Addr(), Kind: "origin", Zone: "a", Weight: 1})
		}
	}
	if err := d.openList(members); err != nil {
		return err
	}
	var addrs []string
	if x.Nodes.Direct {
		for i := range x.Nodes.Count {
			addrs = append(addrs, d.caches[x.Servers[i%len(x.Servers)].Name].Addr())
		}
	} else if err := d.startPlanners(); err != nil {
		return err
	} else if err := d.startNodes(); err != nil {
		return err
	}
	for _, n := range d.Nodes {
		addrs = append(addrs, n.Addr())
	}
	d.load = load.New(load.Options{Log: d.Log, Seed: x.Seed, Spec: x.ClientSpec, Classes: x.Classes, Tenants: x.Tenants, NodeAddrs: addrs,
		Generation: d.generationOf})
	return nil
}

func (d *Deployment) generationOf(node int) int {
	if node < len(d.Nodes) {
		return d.Nodes[node].Generation()
	}
	return 0
}

func (d *Deployment) startCache(v *experiment.Server, cold bool) (*standin.Cache, error) {
	x := d.Experiment
	spec := v.Spec
	opt := standin.CacheOptions{ID: v.ID, Name: v.Name, Addr: fmt.Sprintf("%s%d:0", d.netPrefix, 1+len(d.caches)%199), Spec: &spec, Cold: cold,
		ConnConcurrency: x.Service.PerConn, MaxConns: v.Group.MaxConns, Way: v.Group.Way.D(), Window: v.Group.Window, ConnIdle: x.Service.ConnIdle.D(), ReportsHits: *x.Service.Hits,
		ReportsLoad: *x.Service.Reports, OnMiss: d.recordMiss}
	if spec.Through {
		opt.AskOrigin = func(a world.OriginRequest, request, class string, answer func(world.Completion)) {
			d.origin.Ask(a, request, class, answer)
		}
	}
	c, err := standin.NewCache(d.Common, opt)
	if err == nil {
		d.mu.Lock()
		d.caches[v.Name] = c
		d.mu.Unlock()
	}
	return c, err
}

// warmCaches fills the servers that run from the start with popular keys. Each key is stored at the server that the shared ranking
// puts first; without nodes, at every server.
func (d *Deployment) warmCaches(members []world.Member) {
	x := d.Experiment
	warmShare := x.Clients.Warm
	class := slices.IndexFunc(x.Classes, func(c world.Class) bool { return !c.Write })
	if warmShare <= 0 || class < 0 {
		return
	}
	spaceLeft := map[string]int64{}
	cachesLeft := len(members)
	for _, v := range x.Servers {
		spaceLeft[v.ID] = int64(warmShare * float64(v.Spec.MemoryBytes))
		if v.Group.Cold {
			spaceLeft[v.ID] = 0
		}
	}
	names := map[string]string{}
	for _, v := range x.Servers {
		names[v.ID] = v.Name
	}
	src := world.NewSource(x.ClientSpec, x.Classes, x.Tenants, nil, x.Seed, x.Length.D())
	put := func(m world.Member, key string) {
		size := int64(world.SizeOf(x.Seed, &x.Classes[class], key))
		if spaceLeft[m.ID] < size {
			if spaceLeft[m.ID] > 0 {
				cachesLeft--
			}
			spaceLeft[m.ID] = 0
			return
		}
		spaceLeft[m.ID] -= size
		d.caches[names[m.ID]].UpdateModel(func(now time.Duration, c *world.Cache) { c.Store(now, key, 0, size) })
	}
	keys := src.PopularKeys(x.Clients.Keys)
	slices.Reverse(keys) // the least recently used keys are evicted first
	if x.Nodes.Direct {
		for _, m := range members {
			for _, k := range keys {
				put(m, k)
			}
		}
		return
	}
	slices.Reverse(keys)
	for _, k := range keys {
		if cachesLeft <= 0 {
			break
		}
		if i := world.TopRanked(k, members); i >= 0 {
			put(members[i], k)
		}
	}
}

func (d *Deployment) startNodes() error {
	x := d.Experiment
	maxDeadline := time.Duration(0)
	for _, c := range x.Classes {
		maxDeadline = max(maxDeadline, c.Deadline)
	}
	rev, members := d.initialList()
	for i := range x.Nodes.Count {
		addr := ""
		if len(x.Nodes.Listen) > 0 {
			addr = x.Nodes.Listen[i]
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				return fmt.Errorf("%s: nodes.listen[%d]: %w", x.Path, i+1, err)
			}
			ln.Close()
		} else {
			var err error
			if addr, err = FreeAddr(fmt.Sprintf("%s%d", d.netPrefix, 210+i%40)); err != nil {
				return err
			}
		}
		opt := NodeOptions{Log: d.Log, Number: i, Command: d.opt.Command, Dir: d.opt.Dir, Listen: addr, ListAddr: d.list.AddrsFor(i)[0],
			MemoryMB: x.Nodes.MemoryMB, Sockets: x.Nodes.Sockets, Seed: world.RandomStream(x.Seed, "node", fmt.Sprint(i)).Uint64(),
			Settings: x.Settings(i), MaxDeadline: maxDeadline, Controlled: true, KeepState: d.opt.KeepState}
		if x.Nodes.Config != "" {
			path := x.Nodes.Config
			if !filepath.IsAbs(path) {
				path = filepath.Join(filepath.Dir(x.Path), path)
			}
			opt.Env = append(opt.Env, "LAPISSHELF_CONFIG="+path)
		}
		if x.List.InRegistry() || x.Planners.Count > 0 {
			path, err := d.writeOperatorFile(i)
			if err != nil {
				return err
			}
			if x.List.InRegistry() {
				opt.ListAddr = "" // the operator's file has the endpoints of the registry
			}
			opt.Env = append(opt.Env, "LAPISSHELF_CONFIG="+path)
		}
		n := NewNode(opt)
		if err := n.Start(rev, members); err != nil {
			return err
		}
		d.Nodes = append(d.Nodes, n)
	}
	for _, n := range d.Nodes {
		if err := n.Ready(); err != nil {
			return err
		}
	}
	return nil
}

// recordMiss records the first two caches that missed for a request. Entries whose request the origin does not answer are dropped
// after at least 10 s.
func (d *Deployment) recordMiss(request string, store func(version, size int64)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.pendingRotatedAt) > 10*time.Second {
		d.pendingFills = [2]map[string][]func(version, size int64){{}, d.pendingFills[0]}
		d.pendingRotatedAt = time.Now()
	}
	if list := d.pendingFills[0][request]; len(list) < 2 {
		d.pendingFills[0][request] = append(list, store)
	}
}

// fillCaches stores a value that the origin has sent in the caches that missed for its request.
func (d *Deployment) fillCaches(request string, version, size int64) {
	d.mu.Lock()
	list := append(d.pendingFills[0][request], d.pendingFills[1][request]...)
	delete(d.pendingFills[0], request)
	delete(d.pendingFills[1], request)
	d.mu.Unlock()
	for _, store := range list[:min(2, len(list))] {
		store(version, size)
	}
}

// invalidateCopies invalidates all cached copies of a key.
func (d *Deployment) invalidateCopies(key string) {
	d.mu.Lock()
	all := make([]*standin.Cache, 0, len(d.caches))
	for _, c := range d.caches {
		all = append(all, c)
	}
	d.mu.Unlock()
	go func() { // not in this goroutine: the origin calls it with its lock held
		for _, c := range all {
			c.UpdateModel(func(_ time.Duration, m *world.Cache) { m.Invalidate(key) })
		}
	}()
}

// Addresses returns lines with the addresses of all parts of the deployment, for manual use.
func (d *Deployment) Addresses() []string {
	var out []string
	for i, n := range d.Nodes {
		out = append(out, fmt.Sprintf("node %d      %s", i+1, n.Addr()))
	}
	for _, v := range d.Experiment.Servers {
		if c := d.caches[v.Name]; c != nil {
			out = append(out, fmt.Sprintf("cache %-6s %s  id %s", v.Name, c.Addr(), c.ID()))
		}
	}
	if d.origin != nil {
		out = append(out, fmt.Sprintf("origin      %s  id %s", d.origin.Addr(), d.Experiment.OriginID()))
	}
	return append(out, "list        "+strings.Join(d.list.AddrsFor(0), " "))
}

// Run generates the load and injects the faults, then stops the nodes and judges the run. It stops early when ctx ends.
func (d *Deployment) Run(ctx context.Context) *Result {
	begin := d.Log.Now() + 50*time.Millisecond
	stop := make(chan struct{})
	var background sync.WaitGroup
	stall := time.Duration(0)
	background.Go(func() { stall = d.measureStalls(stop) })
	background.Go(func() { d.runTimeline(begin, stop) })
	background.Go(func() { d.reportProgress(begin, stop) })
	d.load.Run(ctx, begin, d.arrivals)
	close(stop)
	background.Wait()
	close(d.loadDone)
	d.operatorTasks.Wait()
	return d.stopAndJudge(ctx, begin, stall)
}

// stopAndJudge stops the nodes and judges the run.
func (d *Deployment) stopAndJudge(ctx context.Context, begin time.Duration, stall time.Duration) *Result {
	var nodeEnds sync.WaitGroup
	for _, n := range d.Nodes {
		nodeEnds.Go(n.End)
	}
	nodeEnds.Wait()
	r := &Result{Interrupted: ctx.Err() != nil, Arrivals: len(d.arrivals)}
	d.Log.Update(func(rec *seen.Record) { r.Record = rec })
	plan := d.arrivals
	if r.Interrupted { // only arrivals whose first try was sent can be judged
		n := 0
		for _, t := range r.Record.Tries {
			n = max(n, t.ArrivalNumber+1)
		}
		plan = plan[:n]
	}
	rebaseTimes(r.Record, begin)
	r.Verdict = judge.Judge(r.Record, d.rules, plan)
	for _, l := range r.Record.NodeProcesses {
		for name, v := range lastCounters(l.LogFile) {
			r.Verdict.Figures["said_"+name] += v
		}
	}
	h := d.load.SendDelays()
	maxLate, meanLate := d.Common.Lateness()
	ms := func(d time.Duration) float64 { return math.Round(float64(d)/float64(time.Microsecond)) / 1000 }
	r.Lab = LabDelays{SendP50: judge.QuantileMillis(h, 50), SendP99: judge.QuantileMillis(h, 99), SendMax: float64(h.Max()) / 1000,
		StandInMean: ms(meanLate), StandInMax: ms(maxLate), StallMax: ms(stall)}
	tolerance := d.rules.Tolerance
	switch {
	case r.Lab.SendP99 > ms(maxP99Lateness):
		r.Lab.VoidReason = fmt.Sprintf("1%% of the tries were sent at least %.1f ms late", r.Lab.SendP99)
	case meanLate > maxMeanLateness:
		r.Lab.VoidReason = fmt.Sprintf("the stand-ins were %.1f ms late on average", r.Lab.StandInMean)
	case stall > tolerance:
		r.Lab.VoidReason = fmt.Sprintf("the lab did not run for %.1f ms, more than the judge's tolerance of %v", r.Lab.StallMax, tolerance)
	}
	return r
}

// rebaseTimes makes all times of a record relative to origin, the start of the load, as those of the plan are. Earlier times become
// negative.
func rebaseTimes(rec *seen.Record, origin time.Duration) {
	move := func(times ...*time.Duration) {
		for _, t := range times {
			if *t != 0 {
				*t -= origin
			}
		}
	}
	for _, t := range rec.Tries {
		move(&t.DueAt, &t.SentAt, &t.WaitsUntil, &t.AnsweredAt, &t.ConnEndedAt, &t.LeftAt)
	}
	for _, a := range rec.Attempts {
		move(&a.FirstByteAt, &a.LastByteAt, &a.AnsweredAt, &a.ClosedAt)
	}
	members := func(list []world.Member) []world.Member {
		list = slices.Clone(list)
		for i := range list {
			move(&list[i].Started)
		}
		return list
	}
	for i := range rec.ListUpdates {
		move(&rec.ListUpdates[i].At)
		rec.ListUpdates[i].Members = members(rec.ListUpdates[i].Members)
	}
	for _, c := range rec.ListCalls {
		move(&c.From, &c.To)
	}
	for _, l := range rec.NodeProcesses {
		move(&l.StartedAt, &l.ReadyAt, &l.TerminatedAt, &l.EndedAt)
		for i := range l.Frozen {
			move(&l.Frozen[i][0], &l.Frozen[i][1])
		}
		l.InitialList = members(l.InitialList)
	}
	for _, h := range rec.Bans {
		move(&h.From, &h.To)
	}
	for _, l := range rec.LameDuckChecks {
		move(&l.From, &l.CheckedAt)
	}
	for i := range rec.Effects {
		move(&rec.Effects[i].At)
	}
	for i := range rec.ServerStarts {
		move(&rec.ServerStarts[i].At)
	}
	for _, list := range [][]seen.Event{rec.FallOvers, rec.OriginStops, rec.Events, rec.ProtocolErrors} {
		for i := range list {
			move(&list[i].At)
		}
	}
}

// measureStalls returns the longest time for which the lab's process did not run until stop was closed.
func (d *Deployment) measureStalls(stop chan struct{}) (longest time.Duration) {
	t := time.NewTicker(stallCheckInterval)
	defer t.Stop()
	last := d.Log.Now()
	for {
		select {
		case <-stop:
			return longest
		case <-t.C:
			now := d.Log.Now()
			longest = max(longest, now-last-stallCheckInterval)
			last = now
		}
	}
}

func (d *Deployment) reportProgress(begin time.Duration, stop chan struct{}) {
	if d.opt.Progress == nil {
		return
	}
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			p := Progress{Elapsed: d.Log.Now() - begin, Length: d.Experiment.Length.D(), TriesSent: d.load.TriesSent()}
			d.Log.Update(func(r *seen.Record) {
				p.Attempts = len(r.Attempts)
				if n := len(r.Events); n > 0 {
					p.LastEvent = r.Events[n-1].Text
				}
			})
			d.opt.Progress(p)
		}
	}
}

// runTimeline applies the actions of the timeline when they are due.
func (d *Deployment) runTimeline(begin time.Duration, stop chan struct{}) {
	for _, a := range d.Experiment.Timeline.Actions {
		select {
		case <-stop:
			return
		case <-time.After(begin + a.At - d.Log.Now()):
		}
		if err := d.apply(a); err != nil {
			d.Log.AddEvent(fmt.Sprintf("%s failed: %v", a, err))
			continue
		}
		d.Log.AddEvent(a.String())
	}
}

// apply carries out one action of the timeline.
func (d *Deployment) apply(a fault.Action) error {
	switch {
	case a.Kind == fault.BanServer:
		return d.setBan(a.Node, a.Server, a.Value != 0)
	case a.Server != "":
		return d.applyToServer(a)
	case a.Node >= 0:
		return d.applyToNode(a)
	}
	on := a.Value != 0
	if a.Planner > 0 {
		return d.applyToPlanner(a)
	}
	if strings.HasPrefix(string(a.Kind), "registry_") {
		return d.applyToRegistry(a)
	}
	switch a.Kind {
	case fault.ListDown:
		d.list.SetListDown(on)
	case fault.ListGarble:
		d.list.SetListGarbled(on)
	case fault.ListLag:
		d.list.Lag(time.Duration(a.Value * float64(time.Second)))
	case fault.Rude:
		d.load.SetRudeClients(int(a.Value))
	case fault.Pipeline:
		d.load.SetPipeliningClients(int(a.Value))
	default:
		if d.origin == nil {
			return fmt.Errorf("the deployment has no origin")
		}
		switch a.Kind {
		case fault.OriginSlow:
			d.origin.UpdateModel(func(now time.Duration, m *world.Origin) { m.Slow(now, a.Value) })
		case fault.OriginPause:
			d.origin.UpdateModel(func(now time.Duration, m *world.Origin) { m.Pause(now, on) })
		case fault.OriginGarble:
			d.origin.CorruptAnswers("garble", a.Value)
		case fault.OriginNoLength:
			d.origin.CorruptAnswers("no_length", a.Value)
		case fault.OriginLateCopy:
			d.origin.CorruptAnswers("late_copy", a.Value)
		case fault.OriginSlowRead:
			d.origin.SetReadRate(a.Value)
		case fault.OriginRest:
			d.origin.CorruptAnswers("rest", a.Value)
		case fault.OriginStop:
			return d.origin.SetDown(on)
		}
	}
	return nil
}

func (d *Deployment) applyToNode(a fault.Action) error {
	if a.Kind == fault.ListCut {
		d.list.Cut(a.Node, a.Value != 0)
		return nil
	}
	n := d.Nodes[a.Node]
	switch a.Kind {
	case fault.NodeKill:
		n.Kill()
	case fault.NodeTerm:
		n.Terminate()
	case fault.NodeHup:
		rev, members := d.initialList()
		if err := n.UpdateConfig(rev, members); err != nil {
			return err
		}
		n.Signal(syscall.SIGHUP)
	case fault.NodeFreeze:
		if a.Value != 0 {
			n.Signal(syscall.SIGSTOP)
		} else {
			n.Signal(syscall.SIGCONT)
		}
	case fault.NodeLameDuck:
		return d.setLameDuck(a.Node, a.Value != 0)
	case fault.NodeUpgrade:
		d.operatorTasks.Go(func() {
			if err := d.upgrade(a.Node); err != nil {
				d.Log.AddEvent(fmt.Sprintf("%s failed: %v", a, err))
			}
		})
	case fault.NodeStart:
		if _, ended := n.Wait(readyTimeout); !ended {
			return fmt.Errorf("the previous process of node %d has not exited", a.Node+1)
		}
		rev, members := d.initialList()
		d.list.SetGeneration(a.Node, n.Generation()+1)
		return n.Start(rev, members)
	}
	return nil
}

func (d *Deployment) cache(name string) *standin.Cache {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.caches[name]
}

// setEntry updates a server's entry in the server list.
func (d *Deployment) setEntry(name string, phase world.Phase, started time.Duration) {
	v, c := d.Experiment.Server(name), d.cache(name)
	m := v.Member
	m.ID, m.Addr, m.Phase, m.Started = c.ID(), c.Addr(), phase, started
	if d.leases != nil {
		d.leases.setEntry(name, m)
		return
	}
	d.list.Set(m)
}

func (d *Deployment) applyToServer(a fault.Action) error {
	c := d.cache(a.Server)
	if a.Kind == fault.StartNew {
		v := d.Experiment.Server(a.Server)
		if _, err := d.startCache(v, a.Value != 0); err != nil {
			return err
		}
		d.setEntry(a.Server, world.Serving, d.Log.Now())
		return nil
	}
	if c == nil {
		return fmt.Errorf("server %s does not exist", a.Server)
	}
	on := a.Value != 0
	switch a.Kind {
	case fault.Kill:
		c.Kill()
		if d.leases != nil { // its lease expires
			d.leases.abandon(a.Server)
		}
	case fault.Restart:
		id, name := "", a.Server
		if a.NewName != "" {
			name = a.NewName
			id = d.Experiment.Server(name).ID
			d.mu.Lock()
			d.caches[name] = c // the same stand-in under its new name
			d.mu.Unlock()
		}
		if err := c.Restart(id, on); err != nil {
			return err
		}
		started := time.Duration(0)
		if on {
			started = d.Log.Now()
		}
		d.setEntry(name, world.Serving, started)
	case fault.Silent:
		c.SetSilent(on)
	case fault.Hang:
		c.SetHanging(on)
	case fault.Refuse:
		return c.RefuseConns(on)
	case fault.AnswerBusy:
		c.SetBusy(on)
	case fault.Reset, fault.Garble, fault.Surplus, fault.LateCopy, fault.Rest:
		c.CorruptAnswers(string(a.Kind), a.Value)
	case fault.SlowRead:
		c.SetReadRate(a.Value)
	case fault.Slow:
		c.UpdateModel(func(now time.Duration, m *world.Cache) { m.Slow(now, a.Value) })
	case fault.Steal:
		c.UpdateModel(func(now time.Duration, m *world.Cache) { m.Steal(now, a.Value) })
	case fault.Pause:
		c.UpdateModel(func(now time.Duration, m *world.Cache) { m.Pause(now, on) })
	case fault.Flush:
		c.UpdateModel(func(_ time.Duration, m *world.Cache) { m.Flush(a.Value) })
	case fault.Drain:
		d.setEntry(a.Server, world.Draining, d.processStart(c))
	case fault.ListRemove:
		c.UpdateModel(func(now time.Duration, m *world.Cache) { m.Drain(now, true) }) // requests that still arrive are rejected
		d.setEntry(a.Server, world.Deleted, 0)
	}
	return nil
}

// processStart returns when a server's process had its cold start; 0 if it started warm.
func (d *Deployment) processStart(c *standin.Cache) (at time.Duration) {
	c.UpdateModel(func(_ time.Duration, m *world.Cache) {
		if began, cold := m.Started(); cold {
			at = began
		}
	})
	return at
}

// Close stops everything that still runs. It may be called more than once.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		n.Kill()
	}
	for _, p := range d.planners {
		p.kill()
	}
	d.mu.Lock()
	all := map[*standin.Cache]bool{}
	for _, c := range d.caches {
		all[c] = true
	}
	d.mu.Unlock()
	for c := range all {
		c.Close()
	}
	if d.origin != nil {
		d.origin.Close()
	}
	if d.leases != nil {
		d.leases.close()
	}
	if d.list != nil {
		d.list.Close()
	}
}

// TimelineText returns the actions of an experiment's timeline, one a line.
func TimelineText(x *experiment.Experiment) string {
	var b strings.Builder
	for _, a := range x.Timeline.Actions {
		fmt.Fprintln(&b, a)
	}
	return b.String()
}
