// Package fleet simulates an experiment in virtual time: the decision module of each node runs against models of the caches,
// the origin, the server list and the clients, without sockets and without a wall clock. It simulates fleets of hundreds of nodes
// in seconds, and the same seed reproduces a run event by event. It does not model what sockets add: connections, parsers and
// the load of the machine.
package fleet

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"lapisshelf/internal/settings"
	"lapisshelf/lab/experiment"
	"lapisshelf/lab/fault"
	"lapisshelf/lab/judge"
	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
	"lapisshelf/policy"
)

const (
	deadlineMargin = 10 * time.Millisecond // subtracted from a client's deadline, as in internal/node
	overdueMargin  = 3 * time.Millisecond  // before its deadline an unanswered request is failed
	clockStart     = time.Hour             // the nodes' clock at a run's start, above 0 because a server's start at 0 means long ago
)

// Options are the settings of a run beside the experiment.
type Options struct {
	Latency time.Duration // one way, between any two processes; 0 means 150 us
	Quiet   bool          // keeps only the records that the service figure needs
}

// Result is the outcome of a finished run.
type Result struct {
	Verdict *judge.Verdict
	Record  *seen.Record
	Logs    []string // of the nodes' decision modules and forwarders
	Events  int
}

// Run simulates an experiment.
func Run(x *experiment.Experiment, opt Options) (*Result, error) {
	s := &sim{exp: x, opt: opt, caches: map[string]*cache{}, byID: map[string]*cache{}, names: map[string]string{}}
	if s.opt.Latency == 0 {
		s.opt.Latency = 150 * time.Microsecond
	}
	if err := s.setUp(); err != nil {
		return nil, err
	}
	return s.run(), nil
}

// sim is the state of one run.
type sim struct {
	exp        *experiment.Experiment
	opt        Options
	now        time.Duration
	queue      eventQueue
	lastSeq    uint64
	processed  int
	record     seen.Record
	caches     map[string]*cache // by name
	byID       map[string]*cache // by current id
	names      map[string]string // of servers that join
	origin     *origin
	serverList *world.ServerList
	listFaults listFaults
	nodes      []*node
	logs       []string

	planners    []*planner
	outstanding int // clients' requests that are neither answered nor given up
}

type event struct {
	at       time.Duration
	seq      uint64
	callback func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// schedule calls back at time t, or next if t is past.
func (s *sim) schedule(t time.Duration, callback func()) {
	s.lastSeq++
	heap.Push(&s.queue, event{max(t, s.now), s.lastSeq, callback})
}

func (s *sim) scheduleAfter(d time.Duration, callback func()) { s.schedule(s.now+d, callback) }

// deliver calls back after the one-way network latency.
func (s *sim) deliver(callback func()) { s.scheduleAfter(s.opt.Latency, callback) }

// setUp creates caches, origin, server list, nodes and planners.
func (s *sim) setUp() error {
	x := s.exp
	var members []world.Member
	for i := range x.Servers {
		v := &x.Servers[i]
		if v.StartsLater {
			continue
		}
		s.addCache(v, v.Group.Cold)
		m := v.Member
		m.Addr = v.Name
		if v.Group.Cold {
			m.Started = 1
		}
		members = append(members, m)
	}
	s.warmCaches(members)
	if !x.Origin.None {
		s.origin = newOrigin(s)
		if x.Service.Mode == "aside" {
			members = append(members, world.Member{ID: x.OriginID(), Kind: "origin", Zone: "a", Weight: 1})
		}
	}
	s.serverList = world.NewServerList(1<<20, members...)
	for i := range x.Nodes.Count {
		text, err := json.Marshal(x.Settings(i))
		if err != nil {
			return err
		}
		set, transport, err := settings.DecodeAll(text)
		if err != nil {
			return err
		}
		n := &node{sim: s, number: i, settings: set, deadlines: transport.Deadlines, cutPlanners: map[string]bool{}}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	s.startPlanners()
	return nil
}

// warmCaches stores popular keys before the run, each in the cache that ranks first for it, up to the configured part of the memory.
func (s *sim) warmCaches(members []world.Member) {
	x := s.exp
	class := -1
	for i, c := range x.Classes {
		if !c.Write && class < 0 {
			class = i
		}
	}
	if class < 0 || x.Clients.Warm <= 0 {
		return
	}
	src := world.NewSource(x.ClientSpec, x.Classes, x.Tenants, nil, x.Seed, x.Length.D())
	free := map[string]int64{}
	for _, v := range x.Servers {
		if !v.Group.Cold {
			free[v.ID] = int64(x.Clients.Warm * float64(v.Spec.MemoryBytes))
		}
	}
	fullCaches := 0
	for _, key := range src.PopularKeys(x.Clients.Keys) {
		i := world.TopRanked(key, members)
		if i < 0 || fullCaches >= len(members) {
			return
		}
		size := int64(world.SizeOf(x.Seed, &x.Classes[class], key))
		id := members[i].ID
		if free[id] < size {
			if free[id] > 0 {
				fullCaches++
			}
			free[id] = 0
			continue
		}
		free[id] -= size
		s.byID[id].model.Store(0, key, 0, size)
	}
}

// run plays the clients' arrivals and the fault timeline until the length is over and no request is outstanding.
func (s *sim) run() *Result {
	plan := s.exp.Arrivals()
	for _, a := range s.exp.Timeline.Actions {
		s.schedule(a.At, func() {
			s.apply(a)
			s.record.Events = append(s.record.Events, seen.Event{At: s.now, Text: a.String()})
		})
	}
	for i := range plan {
		a := &plan[i]
		s.outstanding++
		s.schedule(a.At, func() { s.startTry(a, a.At, 0, a.Node) })
	}
	for len(s.queue) > 0 && (s.outstanding > 0 || s.now < s.exp.Length.D()) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.processed++
		e.callback()
	}
	for _, n := range s.nodes {
		n.process.EndedAt, n.process.TerminatedAt, n.process.ExitStatus = s.now, s.now, "exit status 0"
	}
	rules := s.exp.Rules()
	rules.Tolerance = 5 * time.Millisecond // covers network latency; virtual timers are never late
	return &Result{Verdict: judge.Judge(&s.record, rules, plan), Record: &s.record, Logs: s.logs, Events: s.processed}
}

// try is one try of a client to get a request served.
type try struct {
	arrival    *world.Arrival
	firstDueAt time.Duration // when the arrival's first try was due
	record     *seen.Try
	class      *world.Class
	ended      bool
}

// startTry sends a try of a client's request, first due at firstDueAt, to the node at nodeIndex.
func (s *sim) startTry(a *world.Arrival, firstDueAt time.Duration, number, nodeIndex int) {
	class := &s.exp.Classes[a.Class]
	waitsUntil := min(s.now+a.Timeout, firstDueAt+class.Deadline)
	if waitsUntil-s.now < time.Millisecond {
		s.outstanding--
		return
	}
	target := s.nodes[nodeIndex]
	for i := range s.nodes { // the load balancer in front takes 2 s to notice that a node is down
		if candidate := s.nodes[(nodeIndex+i)%len(s.nodes)]; candidate.up || s.now-candidate.process.EndedAt < 2*time.Second {
			target = candidate
			break
		}
	}
	t := &seen.Try{ID: a.ID(s.exp.Seed, number), ArrivalNumber: a.N, Number: number, Class: class.Name, Key: a.Key, Idem: a.Idem, Write: class.Write, Node: target.number,
		Generation: target.generations - 1, DueAt: s.now, SentAt: s.now, WaitsUntil: waitsUntil}
	if a.Tenant >= 0 {
		t.Tenant = s.exp.Tenants[a.Tenant].Name
	}
	s.record.Tries = append(s.record.Tries, t)
	x := &try{arrival: a, firstDueAt: firstDueAt, record: t, class: class}
	if a.LeaveAfter > 0 && number == 0 {
		s.scheduleAfter(a.LeaveAfter, func() {
			s.endTry(x, func() { t.LeftAt = s.now })
			s.deliver(func() { target.abandoned(t.ID) })
		})
	}
	s.schedule(waitsUntil+200*time.Millisecond, func() { s.endTry(x, func() {}) })
	s.deliver(func() {
		if !target.up || target.frozen {
			if !target.up {
				s.endTry(x, func() { t.ConnectFailed = true })
			}
			return
		}
		target.handle(x)
	})
}

// endTry records the end of a try, at most once, and schedules a retry where the effect and the deadline allow it.
func (s *sim) endTry(x *try, update func()) {
	if x.ended {
		return
	}
	x.ended = true
	update()
	t := x.record
	wait := max(s.exp.ClientSpec.RetryDelay, t.RetryAfter)
	retry := t.Answer != seen.Served && t.LeftAt == 0 && t.Number+1 < x.arrival.MaxTries && s.now+wait+20*time.Millisecond < x.firstDueAt+x.class.Deadline
	if harmless := t.Answer == seen.Refused || t.ConnectFailed; retry && !harmless {
		retry = x.class.Effect == world.Safe || x.class.Effect == world.Keyed && x.class.Scope == world.ScopeAll && s.now+wait < x.firstDueAt+x.class.Window
	}
	if !retry {
		s.outstanding--
		return
	}
	nodeIndex := t.Node
	if t.ConnectFailed {
		nodeIndex = (nodeIndex + 1) % len(s.nodes)
	}
	s.scheduleAfter(wait, func() { s.startTry(x.arrival, x.firstDueAt, t.Number+1, nodeIndex) })
}

// node is one balancer.
type node struct {
	sim         *sim
	number      int
	settings    policy.Settings
	deadlines   map[string]time.Duration
	policy      *policy.Balancer
	process     *seen.NodeProcess
	generations int
	up          bool
	frozen      bool
	requests    map[string]*request
	seed        uint64
	deferred    []func()
	revision    int64
	members     map[string]world.Member // as of the node's list revision
	listCut     bool                    // no list updates arrive
	cutPlanners map[string]bool         // planner ids that the node cannot reach
	forwarder   *forwarder              // nil without planners
}

type request struct {
	try        *try
	node       *node
	generation int
	deadline   time.Duration
	answered   bool
	attempts   []*attempt
	missedAt   []*cache // caches that reported a miss, in order
}

type attempt struct {
	request        *request
	n              int
	record         *seen.Attempt
	done           bool
	sentAt         time.Duration
	cancelAtServer func() // ends the work at the server, because nobody waits for it
}

// start starts a new process of the node.
func (n *node) start() {
	s := n.sim
	rev, members := s.serverList.Snapshot(s.now)
	n.process = &seen.NodeProcess{Node: n.number, Generation: n.generations, StartedAt: s.now, ReadyAt: s.now, InitialList: members}
	s.record.NodeProcesses = append(s.record.NodeProcesses, n.process)
	n.generations++
	n.up, n.frozen, n.requests, n.revision = true, false, map[string]*request{}, rev
	n.seed = world.RandomStream(s.exp.Seed, "node", strconv.Itoa(n.number), strconv.Itoa(n.generations)).Uint64()
	n.members = map[string]world.Member{}
	for _, m := range members {
		n.members[m.ID] = m
	}
	n.policy = policy.New(n.clock(), n.settings, n.seed, actions{n, n.generations})
	n.policy.Members(n.clock(), policy.ListSaved, serversOf(members))
	n.runDeferred()
	n.startForwarder()
}

func (n *node) clock() time.Duration { return clockStart + n.sim.now }

// runDeferred runs the callbacks that actions deferred, as they must not call the decision module from within it.
func (n *node) runDeferred() {
	for len(n.deferred) > 0 {
		f := n.deferred[0]
		n.deferred = n.deferred[1:]
		f()
	}
}

func serversOf(members []world.Member) []policy.Server {
	var out []policy.Server
	for _, m := range members {
		p := policy.Server{ID: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Weight: m.Weight,
			State: [...]policy.State{policy.Ready, policy.Draining, policy.Gone}[m.Phase]}
		if m.Started != 0 {
			p.Started = clockStart + m.Started
		}
		out = append(out, p)
	}
	return out
}

// handle passes a request to the decision module.
func (n *node) handle(x *try) {
	s, t := n.sim, x.record
	remaining := t.WaitsUntil - s.now
	c := &request{try: x, node: n, generation: n.generations, deadline: s.now + remaining - min(deadlineMargin, remaining/2)}
	n.requests[t.ID] = c
	s.schedule(t.WaitsUntil-min(overdueMargin, (t.WaitsUntil-c.deadline)/3), func() {
		if n.requests[t.ID] == c && !c.answered && n.generations == c.generation && n.up {
			s.logs = append(s.logs, fmt.Sprintf("%v node %d: overdue %s", s.now, n.number+1, t.ID))
			n.answer(c, seen.Failed, 0, nil)
			n.policy.Abandoned(n.clock(), t.ID)
			n.runDeferred()
		}
	})
	if n.forwarder != nil {
		n.forwarder.collector.Request(t.Key, t.Tenant)
	}
	n.policy.Request(n.clock(), policy.Request{ID: t.ID, Class: t.Class, Tenant: t.Tenant, Key: t.Key, Remaining: c.deadline - s.now, Write: t.Write})
	n.runDeferred()
}

func (n *node) abandoned(id string) {
	c := n.requests[id]
	if c == nil || c.answered || !n.up {
		return
	}
	c.answered = true
	n.policy.Abandoned(n.clock(), id)
	n.runDeferred()
	n.removeIfDone(c)
}

func (n *node) removeIfDone(c *request) {
	for _, a := range c.attempts {
		if !a.done {
			return
		}
	}
	if c.answered {
		delete(n.requests, c.try.record.ID)
	}
}

// answer sends a request's only answer.
func (n *node) answer(c *request, kind seen.Answer, retryAfter time.Duration, source *seen.Attempt) {
	if c.answered {
		return
	}
	c.answered = true
	s, x := n.sim, c.try
	s.deliver(func() {
		s.endTry(x, func() {
			t := x.record
			t.Answer, t.AnsweredAt, t.RetryAfter = kind, s.now, retryAfter
			if source != nil {
				t.Server, t.Version, t.Receipt, t.Correct = source.Server, source.Version, source.Receipt, true
			}
		})
	})
}

// attemptEnded reports the end of an attempt to the decision module.
func (n *node) attemptEnded(a *attempt, o policy.Outcome, status policy.CacheStatus) {
	c := a.request
	if a.done || c.generation != n.generations || !n.up {
		return
	}
	a.done = true
	n.countAttempt(a, o)
	if o == policy.OK {
		n.answer(c, seen.Served, 0, a.record)
	}
	n.policy.Result(n.clock(), policy.Result{ID: c.try.record.ID, N: a.n, Server: a.record.Server, Outcome: o, CacheStatus: status, Final: c.answered})
	n.runDeferred()
	n.removeIfDone(c)
}

// actions implements the decision module's actions.
type actions struct {
	n          *node
	generation int
}

func (a actions) Send(id, server string, timeout, _ time.Duration) {
	n, s := a.n, a.n.sim
	c := n.requests[id]
	if c == nil {
		return
	}
	t := c.try.record
	x := &attempt{request: c, n: len(c.attempts), sentAt: s.now, record: &seen.Attempt{Server: server, Request: id, Key: t.Key, Class: t.Class, Idem: t.Idem,
		Write: t.Write, Value: t.Value, Conn: uint64(len(s.record.Attempts))}, cancelAtServer: func() {}}
	c.attempts = append(c.attempts, x)
	remaining := c.deadline - s.now
	if timeout > 0 {
		remaining = min(remaining, timeout)
	}
	if remaining <= 0 || c.answered {
		s.scheduleAfter(0, func() { n.attemptEnded(x, policy.NotSent, 0) })
		return
	}
	s.scheduleAfter(remaining, func() { n.closeAttempt(x, policy.TimedOut) })
	s.deliver(func() { s.arrive(n, x) })
}

// closeAttempt ends an attempt that the node stops waiting for.
func (n *node) closeAttempt(a *attempt, o policy.Outcome) {
	if a.done || a.request.generation != n.generations {
		return
	}
	n.sim.deliver(func() {
		if a.record.ClosedAt == 0 && a.record.AnsweredAt == 0 {
			a.record.ClosedAt = n.sim.now
		}
		a.cancelAtServer()
	})
	n.attemptEnded(a, o, 0)
}

func (a actions) Refuse(id string, retryAfter time.Duration) {
	if c := a.n.requests[id]; c != nil {
		a.n.answer(c, seen.Refused, retryAfter, nil)
		a.n.deferred = append(a.n.deferred, func() { a.n.removeIfDone(c) })
	}
}

func (a actions) Fail(id string) {
	if c := a.n.requests[id]; c != nil {
		a.n.answer(c, seen.Failed, 0, nil)
		a.n.deferred = append(a.n.deferred, func() { a.n.removeIfDone(c) })
	}
}

func (a actions) Cancel(id string, k int) {
	c := a.n.requests[id]
	if c == nil || k < 0 || k >= len(c.attempts) || c.attempts[k].done {
		return
	}
	x := c.attempts[k]
	a.n.deferred = append(a.n.deferred, func() { a.n.closeAttempt(x, policy.Cancelled) })
}

func (a actions) Timer(after time.Duration, token string) {
	n := a.n
	n.sim.scheduleAfter(after, func() {
		if n.generations == a.generation && n.up {
			n.policy.Timer(n.clock(), token)
			n.runDeferred()
		}
	})
}

func (a actions) Subscribe()   {}
func (a actions) Probe(string) {}
func (a actions) Log(text string) {
	a.n.sim.logs = append(a.n.sim.logs, fmt.Sprintf("%v node %d: %s", a.n.sim.now, a.n.number+1, text))
}

// listFaults are the faults of the list service in force.
type listFaults struct {
	down  bool
	delay time.Duration // added to the configured delay
}

// setMember changes a server's entry; nodes that can reach the list are notified after its delay.
func (s *sim) setMember(m world.Member) {
	delay := s.exp.List.Delay.D() + s.listFaults.delay
	s.serverList.Set(s.now, delay, m)
	s.scheduleAfter(delay, s.notifyNodes)
}

// notifyNodes has all nodes that can reach the list read its changes.
func (s *sim) notifyNodes() {
	if s.listFaults.down {
		return
	}
	for _, n := range s.nodes {
		if n.up && !n.listCut && !n.frozen {
			s.deliver(func() { n.updateList() })
		}
	}
}

// updateList applies the list changes since the node's revision.
func (n *node) updateList() {
	s := n.sim
	if !n.up || n.listCut || n.frozen || s.listFaults.down {
		return
	}
	revision, changes, known := s.serverList.ChangesSince(s.now, n.revision)
	if !known || revision == n.revision {
		return
	}
	n.revision = revision
	s.record.ListUpdates = append(s.record.ListUpdates, seen.ListUpdate{Node: n.number, Generation: n.generations - 1, At: s.now, Revision: revision, Members: changes})
	for _, m := range changes {
		n.members[m.ID] = m
	}
	n.policy.Members(n.clock(), policy.ListChanges, serversOf(changes))
	n.runDeferred()
}

// apply carries out one action of the fault timeline.
func (s *sim) apply(a fault.Action) {
	on := a.Value != 0
	if a.Planner > 0 {
		s.applyToPlanner(a)
		return
	}
	switch a.Kind {
	case fault.ListDown, fault.ListGarble:
		s.listFaults.down = on
		s.notifyNodes()
	case fault.ListLag:
		s.listFaults.delay = time.Duration(a.Value * float64(time.Second))
	case fault.OriginSlow:
		s.origin.model.Slow(s.now, a.Value)
		s.origin.scheduleNext()
	case fault.OriginPause:
		s.origin.model.Pause(s.now, on)
		s.origin.scheduleNext()
	case fault.OriginStop:
		length := time.Duration(0)
		if on {
			length = time.Hour
		}
		s.origin.model.Stop(s.now, length)
		s.origin.scheduleNext()
	case fault.ListCut:
		s.nodes[a.Node].listCut = on
		s.notifyNodes()
	case fault.NodeKill, fault.NodeTerm:
		s.nodes[a.Node].kill()
	case fault.NodeFreeze:
		s.nodes[a.Node].freeze(on)
	case fault.NodeStart:
		s.nodes[a.Node].start()
	case fault.BanServer:
		s.setBan(a.Node, a.Server, on)
	default:
		if a.Server != "" {
			s.applyToServer(a)
		}
	}
}

// kill ends a node's process: its clients see their connections end, and its attempts are closed.
func (n *node) kill() {
	if !n.up {
		return
	}
	s := n.sim
	n.up, n.process.EndedAt, n.process.Killed, n.process.ExitStatus = false, s.now, true, "signal: killed"
	for _, c := range n.requests {
		x := c.try
		s.deliver(func() { s.endTry(x, func() { x.record.ConnEndedAt = s.now }) })
		for _, a := range c.attempts {
			if !a.done {
				s.deliver(func() {
					if a.record.ClosedAt == 0 && a.record.AnsweredAt == 0 {
						a.record.ClosedAt = s.now
					}
					a.cancelAtServer()
				})
			}
		}
	}
	n.requests = map[string]*request{}
}

// freeze stops or resumes a node. Requests that arrive meanwhile are lost, unlike with a stopped process, which would read them
// from its sockets afterwards.
func (n *node) freeze(on bool) {
	if n.frozen = on; on {
		n.process.Frozen = append(n.process.Frozen, [2]time.Duration{n.sim.now})
	} else if i := len(n.process.Frozen) - 1; i >= 0 {
		n.process.Frozen[i][1] = n.sim.now
		n.updateList()
	}
}

// valueSize returns the size in bytes of a request's value.
func (s *sim) valueSize(t *seen.Try, class *world.Class) int {
	return world.SizeOf(s.exp.Seed, class, t.Key)
}
