// Package fleet plays an experiment in virtual time: the decision module of each node before the models of caches, origin,
// list and clients, with no socket and no clock. It plays fleets of hundreds of nodes in seconds, and the same seed gives the
// same run to the last event. What it lacks is what sockets add: connections, parsers, a machine that is busy.
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
	margin   = 10 * time.Millisecond // as the node on sockets keeps off a client's deadline
	lastCall = 3 * time.Millisecond
	zero     = time.Hour // the event clock at a run's start: a start at 0 means long ago
)

// Options are what is told besides the experiment.
type Options struct {
	Latency time.Duration // one way, between any two; 0 takes 150 us
	Quiet   bool          // no record is kept but of what the service needs
}

// Result is a run that is over.
type Result struct {
	Verdict *judge.Verdict
	Record  *seen.Record
	Logs    []string // of the nodes' decision modules
	Events  int
}

// Run plays an experiment.
func Run(x *experiment.Experiment, opt Options) (*Result, error) {
	s := &sim{x: x, opt: opt, caches: map[string]*cache{}, byID: map[string]*cache{}, names: map[string]string{}}
	if s.opt.Latency == 0 {
		s.opt.Latency = 150 * time.Microsecond
	}
	if err := s.open(); err != nil {
		return nil, err
	}
	return s.run(), nil
}

// sim is one run.
type sim struct {
	x      *experiment.Experiment
	opt    Options
	now    time.Duration
	queue  events
	serial uint64
	events int
	rec    seen.Record
	caches map[string]*cache // by name
	byID   map[string]*cache // by the id that it has now
	names  map[string]string // a joining server's place
	origin *origin
	roster *world.ServerList
	lists  listState
	nodes  []*node
	logs   []string

	planners []*planner
	open_    int // wishes under way
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// at does something at a time; what is past is done next.
func (s *sim) at(t time.Duration, do func()) {
	s.serial++
	heap.Push(&s.queue, event{max(t, s.now), s.serial, do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

// hop does something at the other end of the network.
func (s *sim) hop(do func()) { s.after(s.opt.Latency, do) }

// open sets the deployment up.
func (s *sim) open() error {
	x := s.x
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
	s.warm(members)
	if !x.Origin.None {
		s.origin = newOrigin(s)
		if x.Service.Mode == "aside" {
			members = append(members, world.Member{ID: x.OriginID(), Kind: "origin", Zone: "a", Weight: 1})
		}
	}
	s.roster = world.NewServerList(1<<20, members...)
	for i := range x.Nodes.Count {
		text, err := json.Marshal(x.Settings(i))
		if err != nil {
			return err
		}
		set, transport, err := settings.DecodeAll(text)
		if err != nil {
			return err
		}
		n := &node{sim: s, number: i, set: set, deadlines: transport.Deadlines, parted: map[string]bool{}}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	s.startPlanners()
	return nil
}

// warm lets the caches hold popular keys, each where the shared ranking puts it.
func (s *sim) warm(members []world.Member) {
	x := s.x
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
	room := map[string]int64{}
	for _, v := range x.Servers {
		if !v.Group.Cold {
			room[v.ID] = int64(x.Clients.Warm * float64(v.Spec.MemoryBytes))
		}
	}
	full := 0
	for _, key := range src.PopularKeys(x.Clients.Keys) {
		i := world.TopRanked(key, members)
		if i < 0 || full >= len(members) {
			return
		}
		size := int64(world.SizeOf(x.Seed, &x.Classes[class], key))
		id := members[i].ID
		if room[id] < size {
			if room[id] > 0 {
				full++
			}
			room[id] = 0
			continue
		}
		room[id] -= size
		s.byID[id].model.Store(0, key, 0, size)
	}
}

// run plays the plan with its troubles.
func (s *sim) run() *Result {
	plan := s.x.Arrivals()
	for _, a := range s.x.Timeline.Actions {
		s.at(a.At, func() {
			s.do(a)
			s.rec.Events = append(s.rec.Events, seen.Event{At: s.now, Text: a.String()})
		})
	}
	for i := range plan {
		a := &plan[i]
		s.open_++
		s.at(a.At, func() { s.wish(a, a.At, 0, a.Node) })
	}
	for len(s.queue) > 0 && (s.open_ > 0 || s.now < s.x.Length.D()) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.events++
		e.do()
	}
	for _, n := range s.nodes {
		n.life.EndedAt, n.life.TerminatedAt, n.life.ExitStatus = s.now, s.now, "exit status 0"
	}
	rules := s.x.Rules()
	rules.Tolerance = 5 * time.Millisecond // nothing is late here but what travels
	return &Result{Verdict: judge.Judge(&s.rec, rules, plan), Record: &s.rec, Logs: s.logs, Events: s.events}
}

// try is a client's try under way.
type try struct {
	a     *world.Arrival
	wish  time.Duration
	t     *seen.Try
	class *world.Class
	over  bool
}

// wish begins a try of a client.
func (s *sim) wish(a *world.Arrival, begin time.Duration, n, at int) {
	class := &s.x.Classes[a.Class]
	until := min(s.now+a.Timeout, begin+class.Deadline)
	if until-s.now < time.Millisecond {
		s.open_--
		return
	}
	nd := s.nodes[at]
	for i := range s.nodes { // the front knows which nodes serve, after a while
		if x := s.nodes[(at+i)%len(s.nodes)]; x.up || s.now-x.life.EndedAt < 2*time.Second {
			nd = x
			break
		}
	}
	t := &seen.Try{ID: a.ID(s.x.Seed, n), ArrivalNumber: a.N, Number: n, Class: class.Name, Key: a.Key, Idem: a.Idem, Write: class.Write, Node: nd.number,
		Generation: nd.lives - 1, DueAt: s.now, SentAt: s.now, WaitsUntil: until}
	if a.Tenant >= 0 {
		t.Tenant = s.x.Tenants[a.Tenant].Name
	}
	s.rec.Tries = append(s.rec.Tries, t)
	x := &try{a: a, wish: begin, t: t, class: class}
	if a.LeaveAfter > 0 && n == 0 {
		s.after(a.LeaveAfter, func() {
			s.end(x, func() { t.LeftAt = s.now })
			s.hop(func() { nd.abandoned(t.ID) })
		})
	}
	s.at(until+200*time.Millisecond, func() { s.end(x, func() {}) })
	s.hop(func() {
		if !nd.up || nd.frozen {
			if !nd.up {
				s.end(x, func() { t.ConnectFailed = true })
			}
			return
		}
		nd.take(x)
	})
}

// end ends a try, once, and begins the next.
func (s *sim) end(x *try, change func()) {
	if x.over {
		return
	}
	x.over = true
	change()
	t := x.t
	wait := max(s.x.ClientSpec.RetryDelay, t.RetryAfter)
	again := t.Answer != seen.Served && t.LeftAt == 0 && t.Number+1 < x.a.MaxTries && s.now+wait+20*time.Millisecond < x.wish+x.class.Deadline
	if harmless := t.Answer == seen.Refused || t.ConnectFailed; again && !harmless {
		again = x.class.Effect == world.Safe || x.class.Effect == world.Keyed && x.class.Scope == world.ScopeAll && s.now+wait < x.wish+x.class.Window
	}
	if !again {
		s.open_--
		return
	}
	at := t.Node
	if t.ConnectFailed {
		at = (at + 1) % len(s.nodes)
	}
	s.after(wait, func() { s.wish(x.a, x.wish, t.Number+1, at) })
}

// node is one balancer.
type node struct {
	sim       *sim
	number    int
	set       policy.Settings
	deadlines map[string]time.Duration
	policy    *policy.Balancer
	life      *seen.NodeProcess
	lives     int
	up        bool
	frozen    bool
	calls     map[string]*call
	seed      uint64
	later     []func()
	rev       int64
	members   map[string]world.Member // as it was told
	cut       bool                    // from the list
	parted    map[string]bool         // from planners
	forwarder *forwarder              // nil: there are no planners
}

type call struct {
	try      *try
	node     *node
	life     int
	end      time.Duration
	answered bool
	tries    []*attempt
	missed   []*cache // that lacked the key
}

type attempt struct {
	call *call
	n    int
	rec  *seen.Attempt
	done bool
	at   time.Duration
	stop func() // tells the server that nobody waits
}

// start begins a process.
func (n *node) start() {
	s := n.sim
	rev, members := s.roster.Snapshot(s.now)
	n.life = &seen.NodeProcess{Node: n.number, Generation: n.lives, StartedAt: s.now, ReadyAt: s.now, InitialList: members}
	s.rec.NodeProcesses = append(s.rec.NodeProcesses, n.life)
	n.lives++
	n.up, n.frozen, n.calls, n.rev = true, false, map[string]*call{}, rev
	n.seed = world.RandomStream(s.x.Seed, "node", strconv.Itoa(n.number), strconv.Itoa(n.lives)).Uint64()
	n.members = map[string]world.Member{}
	for _, m := range members {
		n.members[m.ID] = m
	}
	n.policy = policy.New(n.clock(), n.set, n.seed, actions{n, n.lives})
	n.policy.Members(n.clock(), policy.ListSaved, serversOf(members))
	n.settle()
	n.forward()
}

func (n *node) clock() time.Duration { return zero + n.sim.now }

// settle does what the module's actions have put off.
func (n *node) settle() {
	for len(n.later) > 0 {
		f := n.later[0]
		n.later = n.later[1:]
		f()
	}
}

func serversOf(members []world.Member) []policy.Server {
	var out []policy.Server
	for _, m := range members {
		p := policy.Server{ID: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Weight: m.Weight,
			State: [...]policy.State{policy.Ready, policy.Draining, policy.Gone}[m.Phase]}
		if m.Started != 0 {
			p.Started = zero + m.Started
		}
		out = append(out, p)
	}
	return out
}

// take hands a request to the module.
func (n *node) take(x *try) {
	s, t := n.sim, x.t
	left := t.WaitsUntil - s.now
	c := &call{try: x, node: n, life: n.lives, end: s.now + left - min(margin, left/2)}
	n.calls[t.ID] = c
	s.at(t.WaitsUntil-min(lastCall, (t.WaitsUntil-c.end)/3), func() {
		if n.calls[t.ID] == c && !c.answered && n.lives == c.life && n.up {
			s.logs = append(s.logs, fmt.Sprintf("%v node %d: overdue %s", s.now, n.number+1, t.ID))
			n.answer(c, seen.Failed, 0, nil)
			n.policy.Abandoned(n.clock(), t.ID)
			n.settle()
		}
	})
	if n.forwarder != nil {
		n.forwarder.gather.Request(t.Key, t.Tenant)
	}
	n.policy.Request(n.clock(), policy.Request{ID: t.ID, Class: t.Class, Tenant: t.Tenant, Key: t.Key, Remaining: c.end - s.now, Write: t.Write})
	n.settle()
}

func (n *node) abandoned(id string) {
	c := n.calls[id]
	if c == nil || c.answered || !n.up {
		return
	}
	c.answered = true
	n.policy.Abandoned(n.clock(), id)
	n.settle()
	n.forget(c)
}

func (n *node) forget(c *call) {
	for _, a := range c.tries {
		if !a.done {
			return
		}
	}
	if c.answered {
		delete(n.calls, c.try.t.ID)
	}
}

// answer gives a request its one answer.
func (n *node) answer(c *call, kind seen.Answer, comeBack time.Duration, by *seen.Attempt) {
	if c.answered {
		return
	}
	c.answered = true
	s, x := n.sim, c.try
	s.hop(func() {
		s.end(x, func() {
			t := x.t
			t.Answer, t.AnsweredAt, t.RetryAfter = kind, s.now, comeBack
			if by != nil {
				t.Server, t.Version, t.Receipt, t.Correct = by.Server, by.Version, by.Receipt, true
			}
		})
	})
}

// finished takes the end of an attempt.
func (n *node) finished(a *attempt, o policy.Outcome, note policy.CacheStatus) {
	c := a.call
	if a.done || c.life != n.lives || !n.up {
		return
	}
	a.done = true
	n.saw(a, o)
	if o == policy.OK {
		n.answer(c, seen.Served, 0, a.rec)
	}
	n.policy.Result(n.clock(), policy.Result{ID: c.try.t.ID, N: a.n, Server: a.rec.Server, Outcome: o, CacheStatus: note, Final: c.answered})
	n.settle()
	n.forget(c)
}

// actions carries out what the module asks for.
type actions struct {
	n    *node
	life int
}

func (a actions) Send(id, server string, wait, _ time.Duration) {
	n, s := a.n, a.n.sim
	c := n.calls[id]
	if c == nil {
		return
	}
	t := c.try.t
	x := &attempt{call: c, n: len(c.tries), at: s.now, rec: &seen.Attempt{Server: server, Request: id, Key: t.Key, Class: t.Class, Idem: t.Idem,
		Write: t.Write, Value: t.Value, Conn: uint64(len(s.rec.Attempts))}, stop: func() {}}
	c.tries = append(c.tries, x)
	left := c.end - s.now
	if wait > 0 {
		left = min(left, wait)
	}
	if left <= 0 || c.answered {
		s.after(0, func() { n.finished(x, policy.NotSent, 0) })
		return
	}
	s.after(left, func() { n.giveUp(x, policy.TimedOut) })
	s.hop(func() { s.arrive(n, x) })
}

// giveUp ends an attempt that the node stops waiting for.
func (n *node) giveUp(a *attempt, o policy.Outcome) {
	if a.done || a.call.life != n.lives {
		return
	}
	n.sim.hop(func() {
		if a.rec.ClosedAt == 0 && a.rec.AnsweredAt == 0 {
			a.rec.ClosedAt = n.sim.now
		}
		a.stop()
	})
	n.finished(a, o, 0)
}

func (a actions) Refuse(id string, comeBack time.Duration) {
	if c := a.n.calls[id]; c != nil {
		a.n.answer(c, seen.Refused, comeBack, nil)
		a.n.later = append(a.n.later, func() { a.n.forget(c) })
	}
}

func (a actions) Fail(id string) {
	if c := a.n.calls[id]; c != nil {
		a.n.answer(c, seen.Failed, 0, nil)
		a.n.later = append(a.n.later, func() { a.n.forget(c) })
	}
}

func (a actions) Cancel(id string, k int) {
	c := a.n.calls[id]
	if c == nil || k < 0 || k >= len(c.tries) || c.tries[k].done {
		return
	}
	x := c.tries[k]
	a.n.later = append(a.n.later, func() { a.n.giveUp(x, policy.Cancelled) })
}

func (a actions) Timer(after time.Duration, token string) {
	n := a.n
	n.sim.after(after, func() {
		if n.lives == a.life && n.up {
			n.policy.Timer(n.clock(), token)
			n.settle()
		}
	})
}

func (a actions) Subscribe()   {}
func (a actions) Probe(string) {}
func (a actions) Log(text string) {
	a.n.sim.logs = append(a.n.sim.logs, fmt.Sprintf("%v node %d: %s", a.n.sim.now, a.n.number+1, text))
}

// listState is what is wrong with the list service.
type listState struct {
	down  bool
	delay time.Duration // beyond the usual
}

// set changes a server's entry; each node is told when it shows, if nothing keeps that from it.
func (s *sim) set(m world.Member) {
	delay := s.x.List.Delay.D() + s.lists.delay
	s.roster.Set(s.now, delay, m)
	s.after(delay, s.tell)
}

// tell tells the nodes what they have not heard.
func (s *sim) tell() {
	if s.lists.down {
		return
	}
	for _, n := range s.nodes {
		if n.up && !n.cut && !n.frozen {
			s.hop(func() { n.hear() })
		}
	}
}

// hear takes list news.
func (n *node) hear() {
	s := n.sim
	if !n.up || n.cut || n.frozen || s.lists.down {
		return
	}
	at, changes, known := s.roster.ChangesSince(s.now, n.rev)
	if !known || at == n.rev {
		return
	}
	n.rev = at
	s.rec.ListUpdates = append(s.rec.ListUpdates, seen.ListUpdate{Node: n.number, Generation: n.lives - 1, At: s.now, Revision: at, Members: changes})
	for _, m := range changes {
		n.members[m.ID] = m
	}
	n.policy.Members(n.clock(), policy.ListChanges, serversOf(changes))
	n.settle()
}

// do carries out one action of the timeline.
func (s *sim) do(a fault.Action) {
	on := a.Value != 0
	if a.Planner > 0 {
		s.onPlanner(a)
		return
	}
	switch a.Kind {
	case fault.ListDown, fault.ListGarble:
		s.lists.down = on
		s.tell()
	case fault.ListLag:
		s.lists.delay = time.Duration(a.Value * float64(time.Second))
	case fault.OriginSlow:
		s.origin.model.Slow(s.now, a.Value)
		s.origin.plan()
	case fault.OriginPause:
		s.origin.model.Pause(s.now, on)
		s.origin.plan()
	case fault.OriginStop:
		length := time.Duration(0)
		if on {
			length = time.Hour
		}
		s.origin.model.Stop(s.now, length)
		s.origin.plan()
	case fault.ListCut:
		s.nodes[a.Node].cut = on
		s.tell()
	case fault.NodeKill, fault.NodeTerm:
		s.nodes[a.Node].kill()
	case fault.NodeFreeze:
		s.nodes[a.Node].freeze(on)
	case fault.NodeStart:
		s.nodes[a.Node].start()
	case fault.BanServer:
		s.detach(a.Node, a.Server, on)
	default:
		if a.Server != "" {
			s.onServer(a)
		}
	}
}

// kill ends a node's process: what it had is left to its clients.
func (n *node) kill() {
	if !n.up {
		return
	}
	s := n.sim
	n.up, n.life.EndedAt, n.life.Killed, n.life.ExitStatus = false, s.now, true, "signal: killed"
	for _, c := range n.calls {
		x := c.try
		s.hop(func() { s.end(x, func() { x.t.ConnEndedAt = s.now }) })
		for _, a := range c.tries {
			if !a.done {
				s.hop(func() {
					if a.rec.ClosedAt == 0 && a.rec.AnsweredAt == 0 {
						a.rec.ClosedAt = s.now
					}
					a.stop()
				})
			}
		}
	}
	n.calls = map[string]*call{}
}

// freeze makes a node stand still: what comes is lost to it, which is less than a stopped process would go on with.
func (n *node) freeze(on bool) {
	if n.frozen = on; on {
		n.life.Frozen = append(n.life.Frozen, [2]time.Duration{n.sim.now})
	} else if i := len(n.life.Frozen) - 1; i >= 0 {
		n.life.Frozen[i][1] = n.sim.now
		n.hear()
	}
}

// valueOf is how many bytes a request's value holds.
func (s *sim) valueOf(t *seen.Try, class *world.Class) int {
	return world.SizeOf(s.x.Seed, class, t.Key)
}
