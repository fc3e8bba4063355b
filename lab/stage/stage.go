// Package stage puts a whole deployment on loopback sockets: stand-ins of caches, origin and list, nodes as processes of
// their own, clients, and the troubles of an experiment's timeline; and it gives what was seen to the judge.
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

// What makes a run void: the lab itself was late.
const (
	lateMean   = 2 * time.Millisecond  // of stand-ins, in the mean
	lateTail   = 10 * time.Millisecond // of wishes, the 99th percentile
	watchEvery = 5 * time.Millisecond
)

// Options say how a deployment is put up.
type Options struct {
	Command   string         // of the nodes
	Dir       string         // for files; it must exist
	KeepState bool           // what nodes keep for their next processes outlasts restarts
	Progress  func(Progress) // told each second of a run; nil: nobody is
}

// Progress is how far a run has come.
type Progress struct {
	Elapsed   time.Duration
	Length    time.Duration
	TriesSent int64
	Attempts  int
	LastEvent string // what happened last
}

// Deployment is a deployment that is up.
type Deployment struct {
	Experiment *experiment.Experiment
	Log        *seen.Log
	Common     *standin.Common
	Nodes      []*Node
	opt        Options
	caches     map[string]*standin.Cache // by name
	origin     *standin.Origin
	list       lister
	hands      sync.WaitGroup // operators at work
	quit       chan struct{}  // closed when the plan is over
	keeper     *keeper        // of servers' leases; nil: none
	load       *load.Load
	plan       []world.Arrival
	plans      []*planner
	net        string // the first three numbers of its loopback addresses

	mu     sync.Mutex
	lames  map[int]*seen.LameDuckCheck               // drains of nodes that last
	missed [2]map[string][]func(version, size int64) // by request, the newer generation first
	turned time.Time
	rules  judge.Rules
}

// LabDelays tells how well the lab kept up.
type LabDelays struct {
	SendP50     float64 `json:"send_late_p50_ms"` // wishes behind their plan
	SendP99     float64 `json:"send_late_p99_ms"`
	SendMax     float64 `json:"send_late_max_ms"`
	StandInMean float64 `json:"standin_late_mean_ms"` // stand-ins behind their models
	StandInMax  float64 `json:"standin_late_max_ms"`
	StallMax    float64 `json:"stall_max_ms"` // the longest that the lab's process stood still
	VoidReason  string  `json:"void,omitempty"`
}

// Result is a run that is over.
type Result struct {
	Verdict     *judge.Verdict
	Record      *seen.Record
	Lab         LabDelays
	Interrupted bool // it was broken off
	Arrivals    int  // wishes in the plan
}

// Open puts a deployment up; when it returns without an error, all nodes are ready.
func Open(x *experiment.Experiment, opt Options) (*Deployment, error) {
	s := &Deployment{Experiment: x, Log: seen.NewLog(), opt: opt, caches: map[string]*standin.Cache{}, lames: map[int]*seen.LameDuckCheck{}, quit: make(chan struct{}), rules: x.Rules(), plan: x.Arrivals()}
	s.net = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
	s.Common = standin.NewCommon(s.Log, x.Seed, x.Classes)
	s.missed = [2]map[string][]func(version, size int64){{}, {}}
	if err := s.open(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Deployment) open() error {
	x := s.Experiment
	var members []world.Member
	for i := range x.Servers {
		v := &x.Servers[i]
		if v.StartsLater {
			continue
		}
		c, err := s.startCache(v, v.Group.Cold)
		if err != nil {
			return err
		}
		m := v.Member
		m.Addr = c.Addr()
		if v.Group.Cold {
			m.Started = s.Log.Now()
		}
		members = append(members, m)
	}
	s.warm(members)
	if !x.Origin.None {
		spec := x.OriginSpec()
		var err error
		s.origin, err = standin.NewOrigin(s.Common, standin.OriginOptions{ID: x.OriginID(), Name: "origin", Addr: s.net + "200:0",
			Spec: &spec, Served: s.served, Wrote: s.wrote})
		if err != nil {
			return err
		}
		if x.Service.Mode == "aside" {
			members = append(members, world.Member{ID: x.OriginID(), Addr: s.origin.Addr(), Kind: "origin", Zone: "a", Weight: 1})
		}
	}
	if err := s.openList(members); err != nil {
		return err
	}
	var addrs []string
	if x.Nodes.Direct {
		for i := range x.Nodes.Count {
			addrs = append(addrs, s.caches[x.Servers[i%len(x.Servers)].Name].Addr())
		}
	} else if err := s.startPlanners(); err != nil {
		return err
	} else if err := s.startNodes(); err != nil {
		return err
	}
	for _, n := range s.Nodes {
		addrs = append(addrs, n.Addr())
	}
	s.load = load.New(load.Options{Log: s.Log, Seed: x.Seed, Spec: x.ClientSpec, Classes: x.Classes, Tenants: x.Tenants, NodeAddrs: addrs,
		Generation: s.lifeOf})
	return nil
}

func (s *Deployment) lifeOf(node int) int {
	if node < len(s.Nodes) {
		return s.Nodes[node].Generation()
	}
	return 0
}

func (s *Deployment) startCache(v *experiment.Server, cold bool) (*standin.Cache, error) {
	x := s.Experiment
	spec := v.Spec
	opt := standin.CacheOptions{ID: v.ID, Name: v.Name, Addr: fmt.Sprintf("%s%d:0", s.net, 1+len(s.caches)%199), Spec: &spec, Cold: cold,
		PerConn: x.Service.PerConn, MaxConns: v.Group.MaxConns, ConnIdle: x.Service.ConnIdle.D(), Tells: *x.Service.Hits,
		Reports: *x.Service.Reports, Missed: s.noteMiss}
	if spec.Through {
		opt.Ask = func(a world.OriginRequest, request, class string, answer func(world.Completion)) {
			s.origin.Ask(a, request, class, answer)
		}
	}
	c, err := standin.NewCache(s.Common, opt)
	if err == nil {
		s.mu.Lock()
		s.caches[v.Name] = c
		s.mu.Unlock()
	}
	return c, err
}

// warm lets the servers that run at the start hold what they were asked for lately: popular keys, each where the shared
// ranking puts it; with no nodes between, everywhere.
func (s *Deployment) warm(members []world.Member) {
	x := s.Experiment
	part := x.Clients.Warm
	class := slices.IndexFunc(x.Classes, func(c world.Class) bool { return !c.Write })
	if part <= 0 || class < 0 {
		return
	}
	room := map[string]int64{}
	left := len(members)
	for _, v := range x.Servers {
		room[v.ID] = int64(part * float64(v.Spec.MemoryBytes))
		if v.Group.Cold {
			room[v.ID] = 0
		}
	}
	names := map[string]string{}
	for _, v := range x.Servers {
		names[v.ID] = v.Name
	}
	src := world.NewSource(x.ClientSpec, x.Classes, x.Tenants, nil, x.Seed, x.Length.D())
	put := func(m world.Member, key string) {
		size := int64(world.SizeOf(x.Seed, &x.Classes[class], key))
		if room[m.ID] < size {
			if room[m.ID] > 0 {
				left--
			}
			room[m.ID] = 0
			return
		}
		room[m.ID] -= size
		s.caches[names[m.ID]].Do(func(now time.Duration, c *world.Cache) { c.Store(now, key, 0, size) })
	}
	keys := src.PopularKeys(x.Clients.Keys)
	slices.Reverse(keys) // what is used last is kept longest
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
		if left <= 0 {
			break
		}
		if i := world.TopRanked(k, members); i >= 0 {
			put(members[i], k)
		}
	}
}

func (s *Deployment) startNodes() error {
	x := s.Experiment
	longest := time.Duration(0)
	for _, c := range x.Classes {
		longest = max(longest, c.Deadline)
	}
	rev, members := s.known()
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
			if addr, err = FreeAddr(fmt.Sprintf("%s%d", s.net, 210+i%40)); err != nil {
				return err
			}
		}
		opt := NodeOptions{Log: s.Log, Number: i, Command: s.opt.Command, Dir: s.opt.Dir, Listen: addr, ListAddr: s.list.Where(i)[0],
			MemoryMB: x.Nodes.MemoryMB, Sockets: x.Nodes.Sockets, Seed: world.RandomStream(x.Seed, "node", fmt.Sprint(i)).Uint64(),
			Settings: x.Settings(i), MaxDeadline: longest, Controlled: true, KeepState: s.opt.KeepState}
		if x.Nodes.Config != "" {
			path := x.Nodes.Config
			if !filepath.IsAbs(path) {
				path = filepath.Join(filepath.Dir(x.Path), path)
			}
			opt.Env = append(opt.Env, "LAPISSHELF_CONFIG="+path)
		}
		if x.List.InRegistry() || x.Planners.Count > 0 {
			path, err := s.operatorFile(i)
			if err != nil {
				return err
			}
			if x.List.InRegistry() {
				opt.ListAddr = "" // the operator's file tells it
			}
			opt.Env = append(opt.Env, "LAPISSHELF_CONFIG="+path)
		}
		n := NewNode(opt)
		if err := n.Start(rev, members); err != nil {
			return err
		}
		s.Nodes = append(s.Nodes, n)
	}
	for _, n := range s.Nodes {
		if err := n.Ready(); err != nil {
			return err
		}
	}
	return nil
}

// noteMiss remembers the first two caches that missed for a request.
func (s *Deployment) noteMiss(request string, store func(version, size int64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.turned) > 10*time.Second {
		s.missed = [2]map[string][]func(version, size int64){{}, s.missed[0]}
		s.turned = time.Now()
	}
	if list := s.missed[0][request]; len(list) < 2 {
		s.missed[0][request] = append(list, store)
	}
}

// served stores what the origin has answered where the request missed.
func (s *Deployment) served(request string, version, size int64) {
	s.mu.Lock()
	list := append(s.missed[0][request], s.missed[1][request]...)
	delete(s.missed[0], request)
	delete(s.missed[1], request)
	s.mu.Unlock()
	for _, store := range list[:min(2, len(list))] {
		store(version, size)
	}
}

// wrote voids the copies of a key.
func (s *Deployment) wrote(key string) {
	s.mu.Lock()
	all := make([]*standin.Cache, 0, len(s.caches))
	for _, c := range s.caches {
		all = append(all, c)
	}
	s.mu.Unlock()
	go func() { // the origin holds its lock
		for _, c := range all {
			c.Do(func(_ time.Duration, m *world.Cache) { m.Invalidate(key) })
		}
	}()
}

// Addresses are where the parts of the deployment are, for hand use.
func (s *Deployment) Addresses() []string {
	var out []string
	for i, n := range s.Nodes {
		out = append(out, fmt.Sprintf("node %d      %s", i+1, n.Addr()))
	}
	for _, v := range s.Experiment.Servers {
		if c := s.caches[v.Name]; c != nil {
			out = append(out, fmt.Sprintf("cache %-6s %s  id %s", v.Name, c.Addr(), c.ID()))
		}
	}
	if s.origin != nil {
		out = append(out, fmt.Sprintf("origin      %s  id %s", s.origin.Addr(), s.Experiment.OriginID()))
	}
	return append(out, "list        "+strings.Join(s.list.Where(0), " "))
}

// Run plays the plan with its troubles, then ends the nodes and judges what was seen. It ends early with the context.
func (s *Deployment) Run(ctx context.Context) *Result {
	begin := s.Log.Now() + 50*time.Millisecond
	stop := make(chan struct{})
	var others sync.WaitGroup
	stall := time.Duration(0)
	others.Go(func() { stall = s.watchdog(stop) })
	others.Go(func() { s.act(begin, stop) })
	others.Go(func() { s.progress(begin, stop) })
	s.load.Run(ctx, begin, s.plan)
	close(stop)
	others.Wait()
	close(s.quit)
	s.hands.Wait()
	return s.finish(ctx, begin, stall)
}

// finish ends the nodes and judges.
func (s *Deployment) finish(ctx context.Context, begin time.Duration, stall time.Duration) *Result {
	var ends sync.WaitGroup
	for _, n := range s.Nodes {
		ends.Go(n.End)
	}
	ends.Wait()
	r := &Result{Interrupted: ctx.Err() != nil, Arrivals: len(s.plan)}
	s.Log.Update(func(rec *seen.Record) { r.Record = rec })
	plan := s.plan
	if r.Interrupted { // only what was begun can be judged
		n := 0
		for _, t := range r.Record.Tries {
			n = max(n, t.ArrivalNumber+1)
		}
		plan = plan[:n]
	}
	shift(r.Record, begin)
	r.Verdict = judge.Judge(r.Record, s.rules, plan)
	for _, l := range r.Record.NodeProcesses {
		for name, v := range counters(l.LogFile) {
			r.Verdict.Figures["said_"+name] += v
		}
	}
	h := s.load.SendDelays()
	most, mean := s.Common.Late()
	ms := func(d time.Duration) float64 { return math.Round(float64(d)/float64(time.Microsecond)) / 1000 }
	r.Lab = LabDelays{SendP50: judge.Millis(h, 50), SendP99: judge.Millis(h, 99), SendMax: float64(h.Max()) / 1000,
		StandInMean: ms(mean), StandInMax: ms(most), StallMax: ms(stall)}
	tolerance := s.rules.Tolerance
	switch {
	case r.Lab.SendP99 > ms(lateTail):
		r.Lab.VoidReason = fmt.Sprintf("one wish in a hundred was sent over %.1f ms behind its plan", r.Lab.SendP99)
	case mean > lateMean:
		r.Lab.VoidReason = fmt.Sprintf("the stand-ins were %.1f ms late in the mean", r.Lab.StandInMean)
	case stall > tolerance:
		r.Lab.VoidReason = fmt.Sprintf("the lab stood still for %.1f ms, over the judge's tolerance of %v", r.Lab.StallMax, tolerance)
	}
	return r
}

// shift counts the record's times from the plan's beginning, as the plan does. What came before is below 0.
func shift(rec *seen.Record, by time.Duration) {
	move := func(times ...*time.Duration) {
		for _, t := range times {
			if *t != 0 {
				*t -= by
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

// watchdog measures how long the lab's process stands still.
func (s *Deployment) watchdog(stop chan struct{}) (most time.Duration) {
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	last := s.Log.Now()
	for {
		select {
		case <-stop:
			return most
		case <-t.C:
			now := s.Log.Now()
			most = max(most, now-last-watchEvery)
			last = now
		}
	}
}

func (s *Deployment) progress(begin time.Duration, stop chan struct{}) {
	if s.opt.Progress == nil {
		return
	}
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			m := Progress{Elapsed: s.Log.Now() - begin, Length: s.Experiment.Length.D(), TriesSent: s.load.TriesSent()}
			s.Log.Update(func(r *seen.Record) {
				m.Attempts = len(r.Attempts)
				if n := len(r.Events); n > 0 {
					m.LastEvent = r.Events[n-1].Text
				}
			})
			s.opt.Progress(m)
		}
	}
}

// act carries out the timeline.
func (s *Deployment) act(begin time.Duration, stop chan struct{}) {
	for _, a := range s.Experiment.Timeline.Actions {
		select {
		case <-stop:
			return
		case <-time.After(begin + a.At - s.Log.Now()):
		}
		if err := s.do(a); err != nil {
			s.Log.AddEvent(fmt.Sprintf("%s failed: %v", a, err))
			continue
		}
		s.Log.AddEvent(a.String())
	}
}

// do carries out one action.
func (s *Deployment) do(a fault.Action) error {
	switch {
	case a.Kind == fault.BanServer:
		return s.detach(a.Node, a.Server, a.Value != 0)
	case a.Server != "":
		return s.onServer(a)
	case a.Node >= 0:
		return s.onNode(a)
	}
	on := a.Value != 0
	if a.Planner > 0 {
		return s.onPlanner(a)
	}
	if strings.HasPrefix(string(a.Kind), "registry_") {
		return s.onRegistry(a)
	}
	switch a.Kind {
	case fault.ListDown:
		s.list.Fail(on)
	case fault.ListGarble:
		s.list.Nonsense(on)
	case fault.ListLag:
		s.list.Lag(time.Duration(a.Value * float64(time.Second)))
	case fault.Rude:
		s.load.SetRudeClients(int(a.Value))
	default:
		if s.origin == nil {
			return fmt.Errorf("there is no origin")
		}
		switch a.Kind {
		case fault.OriginSlow:
			s.origin.Do(func(now time.Duration, m *world.Origin) { m.Slow(now, a.Value) })
		case fault.OriginPause:
			s.origin.Do(func(now time.Duration, m *world.Origin) { m.Pause(now, on) })
		case fault.OriginGarble:
			s.origin.Spoil(a.Value)
		case fault.OriginStop:
			return s.origin.Refuse(on)
		}
	}
	return nil
}

func (s *Deployment) onNode(a fault.Action) error {
	if a.Kind == fault.ListCut {
		s.list.Cut(a.Node, a.Value != 0)
		return nil
	}
	n := s.Nodes[a.Node]
	switch a.Kind {
	case fault.NodeKill:
		n.Kill()
	case fault.NodeTerm:
		n.Signal(syscall.SIGTERM)
	case fault.NodeHup:
		rev, members := s.known()
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
		return s.lameduck(a.Node, a.Value != 0)
	case fault.NodeUpgrade:
		s.hands.Go(func() {
			if err := s.upgrade(a.Node); err != nil {
				s.Log.AddEvent(fmt.Sprintf("%s failed: %v", a, err))
			}
		})
	case fault.NodeStart:
		if _, ended := n.Wait(readyWithin); !ended {
			return fmt.Errorf("node %d has not ended", a.Node+1)
		}
		rev, members := s.known()
		s.list.Lives(a.Node, n.Generation()+1)
		return n.Start(rev, members)
	}
	return nil
}

func (s *Deployment) cache(name string) *standin.Cache {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caches[name]
}

// set changes a server's entry in the list.
func (s *Deployment) set(name string, phase world.Phase, started time.Duration) {
	v, c := s.Experiment.Server(name), s.cache(name)
	m := v.Member
	m.ID, m.Addr, m.Phase, m.Started = c.ID(), c.Addr(), phase, started
	if s.keeper != nil {
		s.keeper.set(name, m)
		return
	}
	s.list.Set(m)
}

func (s *Deployment) onServer(a fault.Action) error {
	c := s.cache(a.Server)
	if a.Kind == fault.StartNew {
		v := s.Experiment.Server(a.Server)
		if _, err := s.startCache(v, a.Value != 0); err != nil {
			return err
		}
		s.set(a.Server, world.Serving, s.Log.Now())
		return nil
	}
	if c == nil {
		return fmt.Errorf("%s is not there", a.Server)
	}
	on := a.Value != 0
	switch a.Kind {
	case fault.Kill:
		c.Die()
		if s.keeper != nil { // its lease lapses
			s.keeper.die(a.Server)
		}
	case fault.Restart:
		id, name := "", a.Server
		if a.NewName != "" {
			name = a.NewName
			id = s.Experiment.Server(name).ID
			s.mu.Lock()
			s.caches[name] = c // the same place under another name
			s.mu.Unlock()
		}
		if err := c.Rise(id, on); err != nil {
			return err
		}
		started := time.Duration(0)
		if on {
			started = s.Log.Now()
		}
		s.set(name, world.Serving, started)
	case fault.Silent:
		c.Silence(on)
	case fault.Hang:
		c.Hang(on)
	case fault.Refuse:
		return c.Refuse(on)
	case fault.AnswerBusy:
		c.TurnAway(on)
	case fault.Reset, fault.Garble, fault.Surplus:
		c.Spoil(string(a.Kind), a.Value)
	case fault.Slow:
		c.Do(func(now time.Duration, m *world.Cache) { m.Slow(now, a.Value) })
	case fault.Steal:
		c.Do(func(now time.Duration, m *world.Cache) { m.Steal(now, a.Value) })
	case fault.Pause:
		c.Do(func(now time.Duration, m *world.Cache) { m.Pause(now, on) })
	case fault.Flush:
		c.Do(func(_ time.Duration, m *world.Cache) { m.Flush(a.Value) })
	case fault.Drain:
		s.set(a.Server, world.Draining, s.startedOf(c))
	case fault.ListRemove:
		c.Do(func(now time.Duration, m *world.Cache) { m.Drain(now, true) }) // what still comes is turned away
		s.set(a.Server, world.Deleted, 0)
	}
	return nil
}

// startedOf is when a server's process started, as the list tells it.
func (s *Deployment) startedOf(c *standin.Cache) (at time.Duration) {
	c.Do(func(_ time.Duration, m *world.Cache) {
		if began, cold := m.Started(); cold {
			at = began
		}
	})
	return at
}

// Close ends whatever is still up. It may be called more than once.
func (s *Deployment) Close() {
	for _, n := range s.Nodes {
		n.Kill()
	}
	for _, p := range s.plans {
		p.kill()
	}
	s.mu.Lock()
	all := map[*standin.Cache]bool{}
	for _, c := range s.caches {
		all[c] = true
	}
	s.mu.Unlock()
	for c := range all {
		c.Close()
	}
	if s.origin != nil {
		s.origin.Close()
	}
	if s.keeper != nil {
		s.keeper.close()
	}
	if s.list != nil {
		s.list.Close()
	}
}

// TimelineText is the plan's troubles as text.
func TimelineText(x *experiment.Experiment) string {
	var b strings.Builder
	for _, a := range x.Timeline.Actions {
		fmt.Fprintln(&b, a)
	}
	return b.String()
}
