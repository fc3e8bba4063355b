// Package fault expands the faults of an experiment file into a timeline of actions, each at one time. Random choices
// depend on the seed alone. The same timeline drives the stand-ins on sockets and the models in virtual time.
package fault

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"lapisshelf/lab/world"
)

// TimeSpec is a time or a duration in a run: a duration such as "1.5s", or a part of the run's length such as "25%".
type TimeSpec struct {
	Duration time.Duration
	Fraction float64
	Set      bool
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TimeSpec) UnmarshalText(text []byte) error {
	s := string(text)
	t.Set = true
	if p, ok := strings.CutSuffix(s, "%"); ok {
		v, err := strconv.ParseFloat(p, 64)
		if err != nil || v < 0 || v > 100 {
			return fmt.Errorf("invalid part of the length %q: must be 0%% to 100%%", s)
		}
		t.Fraction = v / 100
		return nil
	}
	v, err := time.ParseDuration(s)
	if err != nil || v < 0 {
		return fmt.Errorf("invalid time %q: must be a duration such as 1.5s or a part of the length such as 25%%", s)
	}
	t.Duration = v
	return nil
}

// Resolve returns the time in a run of the given length.
func (t TimeSpec) Resolve(length time.Duration) time.Duration {
	return t.Duration + time.Duration(t.Fraction*float64(length))
}

// Spec is a fault as an experiment file describes it.
type Spec struct {
	Kind      string
	At        TimeSpec
	For       TimeSpec // duration; if unset, until the end of the run
	Servers   []string // by name; if empty, Count or Share of them are drawn at random
	Count     int
	Share     float64
	Nodes     []int // from 1; empty: all nodes
	Endpoints []int `toml:"endpoints"` // of a registry, from 1; empty: all
	Planners  []int `toml:"planners"`  // from 1; empty: all
	Factor    float64
	Part      float64
	Every     TimeSpec // mean interval of an intermittent fault
	Length    TimeSpec // duration of each occurrence, or of each server's drain
	NewID     bool     `toml:"new_id"`
	Warm      bool     // started servers are warm
	Quiet     bool     // the server list is not updated
	Tenant    string   // for hot_tenant
}

// ActionKind is what an action does.
type ActionKind string

// Kinds of actions. Servers are identified by their name in the lab, nodes by their number from 0. "Value 0" is the end
// of a fault that lasts.
const (
	Kill            ActionKind = "die"              // the process ends: open connections are reset, new ones refused
	Restart         ActionKind = "rise"             // a new process at the same address; Value 1: cold; NewName: the name of the server if it changes
	Silent          ActionKind = "silence"          // the machine sends nothing; Value 0: end
	Hang            ActionKind = "hang"             // accepts everything, answers nothing; Value 0: end
	Refuse          ActionKind = "refuse"           // refuses new connections, keeps open ones; Value 0: end
	Reset           ActionKind = "reset"            // the fraction Value of the answers is cut off by a close of the connection
	Garble          ActionKind = "garble"           // the fraction Value of the answers is corrupted
	Surplus         ActionKind = "surplus"          // the fraction Value of the answers is followed by extra data
	LateCopy        ActionKind = "late_copy"        // the fraction Value of the answers is sent once more, up to 50 ms later
	Rest            ActionKind = "rest"             // the fraction Value of the answers pauses behind its first bytes, for up to 0.9 s
	AnswerBusy      ActionKind = "turn_away"        // rejects requests with a busy answer; Value 0: end
	SlowRead        ActionKind = "slow_read"        // reads Value bytes a second of each connection; 1: nothing; 0: end
	Slow            ActionKind = "slow"             // Value times slower; 1: normal
	Steal           ActionKind = "steal"            // a neighbour takes the fraction Value of the machine
	Pause           ActionKind = "pause"            // the process stands still; Value 0: end
	Drain           ActionKind = "drain"            // finishes its requests; the list reports it as draining
	ListRemove      ActionKind = "leave"            // the list reports it as gone
	StartNew        ActionKind = "join"             // a server with a new name starts; Value 1: cold
	Flush           ActionKind = "void"             // the fraction Value of the cached values is lost
	ListDown        ActionKind = "list_down"        // the list service is down; Value 0: end
	ListGarble      ActionKind = "list_garble"      // the list service sends invalid data; Value 0: end
	ListLag         ActionKind = "list_lag"         // changes become visible Value seconds late
	ListCut         ActionKind = "list_cut"         // the list service sends nothing to one node; Value 0: end
	NodeKill        ActionKind = "node_kill"        // SIGKILL
	NodeTerm        ActionKind = "node_term"        // SIGTERM
	NodeHup         ActionKind = "node_hup"         // SIGHUP
	NodeStart       ActionKind = "node_start"       // a new process
	NodeFreeze      ActionKind = "node_freeze"      // SIGSTOP; Value 0: SIGCONT
	NodeLameDuck    ActionKind = "node_lame"        // an operator drains the node; Value 0: it takes clients again
	NodeUpgrade     ActionKind = "node_upgrade"     // a successor process starts beside the node's process and replaces it
	BanServer       ActionKind = "detach"           // an operator bans a server at a node; Value 0: lifts the ban
	RegistryDown    ActionKind = "registry_down"    // an endpoint answers 503; Value 0: end
	RegistryMute    ActionKind = "registry_mute"    // an endpoint sends nothing; Value 0: end
	RegistryGarble  ActionKind = "registry_garble"  // an endpoint sends invalid data; Value 0: end
	RegistryLag     ActionKind = "registry_lag"     // an endpoint is Value changes behind
	RegistryCompact ActionKind = "registry_compact" // the whole history is compacted
	RegistryWipe    ActionKind = "registry_wipe"    // all servers are deleted
	RegistrySave    ActionKind = "registry_save"    // a backup is made
	RegistryRestore ActionKind = "registry_restore" // the backup replaces the store
	RegistryTwice   ActionKind = "registry_twice"   // changes are sent twice, after a progress report that is ahead of them; Value 0: end
	RegistryDrip    ActionKind = "registry_drip"    // answers arrive in small pieces, Value ms apart; 0: end
	PlannerKill     ActionKind = "planner_kill"     // SIGKILL
	PlannerStart    ActionKind = "planner_start"    // a new process
	PlannerFreeze   ActionKind = "planner_freeze"   // SIGSTOP; Value 0: SIGCONT
	PlannerCut      ActionKind = "planner_cut"      // nothing passes between a node and a planner; Value 0: end; only in the fleet simulation
	Rude            ActionKind = "rude"             // Value clients send invalid data; 0: end
	Pipeline        ActionKind = "pipeline"         // Value clients send a read of a long value and others behind it at once; 0: end
	OriginSlow      ActionKind = "origin_slow"      // Value times slower; 1: normal
	OriginStop      ActionKind = "origin_stop"      // refuses connections; Value 0: end
	OriginPause     ActionKind = "origin_pause"     // the process stands still; Value 0: end
	OriginGarble    ActionKind = "origin_spoil"     // the fraction Value of the answers is corrupted
	OriginNoLength  ActionKind = "origin_no_length" // the fraction Value of the answers ends with the connection
	OriginLateCopy  ActionKind = "origin_late_copy" // the fraction Value of the answers is sent once more, up to 50 ms later
	OriginSlowRead  ActionKind = "origin_slow_read" // reads Value bytes a second of each connection; 1: nothing; 0: end
	OriginRest      ActionKind = "origin_rest"      // the fraction Value of the answers pauses behind its first bytes, for up to 0.9 s
)

// Action is one event of a timeline.
type Action struct {
	At       time.Duration
	Kind     ActionKind
	Server   string  // name in the lab
	Node     int     // from 0; -1: none
	Endpoint int     // of a registry, from 1; 0: none
	Planner  int     // from 1; 0: none
	Value    float64 // meaning depends on Kind
	NewName  string
}

// String returns the action as a line of a plan.
func (a Action) String() string {
	s := fmt.Sprintf("%s %s", a.At, a.Kind)
	if a.Server != "" {
		s += " server=" + a.Server
	}
	if a.Node >= 0 {
		s += fmt.Sprintf(" node=%d", a.Node+1)
	}
	if a.Endpoint > 0 {
		s += fmt.Sprintf(" endpoint=%d", a.Endpoint)
	}
	if a.Planner > 0 {
		s += fmt.Sprintf(" planner=%d", a.Planner)
	}
	if s += fmt.Sprintf(" x=%g", a.Value); a.NewName != "" {
		s += " as=" + a.NewName
	}
	return s
}

// Deployment describes what a timeline acts on.
type Deployment struct {
	Length    time.Duration
	Servers   []string // names of the cache servers, in order
	Nodes     int
	Tenants   []string
	Endpoints int // endpoints of the registry; 0: the list service is not a registry

	Planners int
}

// Timeline holds all fault actions of a run.
type Timeline struct {
	Actions    []Action // in order of time
	Shapes     []world.Shape
	NewServers []string // names of servers that start during the run
}

// Error is an error in a key of the spec with index Spec, from 0.
type Error struct {
	Spec int
	Key  string
	Why  string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("fault[%d].%s: %s", e.Spec+1, e.Key, e.Why) }

// kind describes a kind of fault: its required keys, and its expansion into actions.
type kind struct {
	target      string // servers, nodes, planners, origin, list, registry, load or fleet
	needsFactor bool   // factor is required
	needsPart   bool   // part is required
	needsFor    bool   // for is required
	expand      func(x *expansion)
}

var kinds map[string]kind

func init() { // set here because a literal would be an initialization cycle
	onServers := func(v ActionKind) func(x *expansion) {
		return func(x *expansion) {
			x.eachServer(func(s string) { x.addInterval(Action{Kind: v, Server: s, Node: -1, Value: 1}, 0) })
		}
	}
	partOfAnswers := func(v ActionKind) func(x *expansion) {
		return func(x *expansion) {
			x.eachServer(func(s string) { x.addInterval(Action{Kind: v, Server: s, Node: -1, Value: x.Part}, 0) })
		}
	}
	nodes := func(v ActionKind, on, off float64) func(x *expansion) {
		return func(x *expansion) {
			x.eachNode(func(n int) { x.addInterval(Action{Kind: v, Node: n, Value: on}, off) })
		}
	}
	global := func(v ActionKind, off float64) func(x *expansion) {
		return func(x *expansion) {
			on := 1.0
			switch {
			case x.Factor > 0:
				on = x.Factor
			case x.Part > 0:
				on = x.Part
			}
			x.addInterval(Action{Kind: v, Node: -1, Value: on}, off)
		}
	}
	endpoints := func(v ActionKind) func(x *expansion) {
		return func(x *expansion) {
			x.eachEndpoint(func(e int) { x.addInterval(Action{Kind: v, Node: -1, Endpoint: e, Value: max(1, x.Factor)}, 0) })
		}
	}
	once := func(v ActionKind) func(x *expansion) {
		return func(x *expansion) { x.add(Action{At: x.at, Kind: v, Node: -1}) }
	}
	shape := func(k world.ShapeKind) func(x *expansion) { return func(x *expansion) { x.addShape(k) } }
	kinds = map[string]kind{
		"crash":            {target: "servers", expand: (*expansion).crash},
		"silent":           {target: "servers", expand: onServers(Silent)},
		"hang":             {target: "servers", expand: onServers(Hang)},
		"refuse":           {target: "servers", expand: onServers(Refuse)},
		"busy":             {target: "servers", expand: onServers(AnswerBusy)},
		"reset":            {target: "servers", needsPart: true, expand: partOfAnswers(Reset)},
		"garble":           {target: "servers", needsPart: true, expand: partOfAnswers(Garble)},
		"surplus":          {target: "servers", needsPart: true, expand: partOfAnswers(Surplus)},
		"late_copy":        {target: "servers", needsPart: true, expand: partOfAnswers(LateCopy)},
		"rest":             {target: "servers", needsPart: true, expand: partOfAnswers(Rest)},
		"slow":             {target: "servers", needsFactor: true, expand: (*expansion).slow},
		"slow_read":        {target: "servers", needsFactor: true, expand: (*expansion).slowRead},
		"neighbour":        {target: "servers", needsPart: true, expand: (*expansion).neighbour},
		"pause":            {target: "servers", expand: (*expansion).pause},
		"flush":            {target: "servers", needsPart: true, expand: (*expansion).flush},
		"drain":            {target: "servers", expand: (*expansion).drain},
		"deploy":           {target: "servers", needsFor: true, expand: (*expansion).deploy},
		"shrink":           {target: "servers", needsFor: true, expand: (*expansion).shrink},
		"grow":             {target: "fleet", expand: (*expansion).grow},
		"origin_slow":      {target: "origin", needsFactor: true, expand: global(OriginSlow, 1)},
		"origin_stop":      {target: "origin", expand: global(OriginStop, 0)},
		"origin_pause":     {target: "origin", expand: global(OriginPause, 0)},
		"origin_garble":    {target: "origin", needsPart: true, expand: global(OriginGarble, 0)},
		"origin_no_length": {target: "origin", needsPart: true, expand: global(OriginNoLength, 0)},
		"origin_late_copy": {target: "origin", needsPart: true, expand: global(OriginLateCopy, 0)},
		"origin_slow_read": {target: "origin", needsFactor: true, expand: global(OriginSlowRead, 0)},
		"origin_rest":      {target: "origin", needsPart: true, expand: global(OriginRest, 0)},
		"list_down":        {target: "list", expand: global(ListDown, 0)},
		"list_garble":      {target: "list", expand: global(ListGarble, 0)},
		"list_lag":         {target: "list", needsFactor: true, expand: global(ListLag, 0)},
		"list_cut":         {target: "nodes", expand: nodes(ListCut, 1, 0)},
		"node_kill":        {target: "nodes", expand: (*expansion).endNodes},
		"node_term":        {target: "nodes", expand: (*expansion).endNodes},
		"node_hup":         {target: "nodes", expand: (*expansion).nodeHup},
		"node_freeze":      {target: "nodes", expand: nodes(NodeFreeze, 1, 0)},
		"planner_kill":     {target: "planners", expand: (*expansion).plannerKill},
		"planner_freeze": {target: "planners", expand: func(x *expansion) {
			x.eachPlanner(func(p int) { x.addInterval(Action{Kind: PlannerFreeze, Node: -1, Planner: p, Value: 1}, 0) })
		}},
		"planner_cut": {target: "planners", expand: func(x *expansion) {
			x.eachPlanner(func(p int) {
				x.eachNode(func(n int) { x.addInterval(Action{Kind: PlannerCut, Node: n, Planner: p, Value: 1}, 0) })
			})
		}},
		"upgrade":          {target: "nodes", expand: (*expansion).upgrade},
		"lameduck":         {target: "nodes", expand: nodes(NodeLameDuck, 1, 0)},
		"detach":           {target: "servers", expand: (*expansion).detach},
		"registry_down":    {target: "registry", expand: endpoints(RegistryDown)},
		"registry_mute":    {target: "registry", expand: endpoints(RegistryMute)},
		"registry_garble":  {target: "registry", expand: endpoints(RegistryGarble)},
		"registry_lag":     {target: "registry", needsFactor: true, expand: endpoints(RegistryLag)},
		"registry_compact": {target: "registry", expand: once(RegistryCompact)},
		"registry_wipe":    {target: "registry", expand: once(RegistryWipe)},
		"registry_save":    {target: "registry", expand: once(RegistrySave)},
		"registry_restore": {target: "registry", expand: once(RegistryRestore)},
		"registry_twice":   {target: "registry", expand: global(RegistryTwice, 0)},
		"registry_drip":    {target: "registry", needsFactor: true, expand: global(RegistryDrip, 0)},
		"rude":             {target: "load", expand: clients(Rude)},
		"pipeline":         {target: "load", expand: clients(Pipeline)},
		"surge":            {target: "load", needsFactor: true, expand: shape(world.Surge)},
		"hot_key":          {target: "load", needsPart: true, expand: shape(world.HotKeys)},
		"hot_tenant":       {target: "load", needsPart: true, expand: shape(world.HotTenant)},
		"hot_node":         {target: "load", needsPart: true, expand: shape(world.HotNode)},
	}
}

// Kinds returns the names of all kinds of faults, sorted.
func Kinds() []string {
	var all []string
	for k := range kinds {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// expansion is the state of expanding one spec into actions.
type expansion struct {
	Spec
	index      int
	deployment *Deployment
	timeline   *Timeline
	rng        *rand.Rand
	at         time.Duration
	end        time.Duration // end of the fault: the end of the run if For is unset
	err        *Error
}

// Expand expands specs into a timeline. Errors are of type *Error.
func Expand(specs []Spec, deployment Deployment, seed uint64) (*Timeline, error) {
	t := &Timeline{}
	for i, s := range specs {
		k, ok := kinds[s.Kind]
		bad := func(key, format string, args ...any) error { return &Error{i, key, fmt.Sprintf(format, args...)} }
		x := &expansion{Spec: s, index: i, deployment: &deployment, timeline: t, rng: world.RandomStream(seed, "fault", strconv.Itoa(i), s.Kind),
			at: s.At.Resolve(deployment.Length), end: deployment.Length}
		if s.For.Set {
			x.end = x.at + s.For.Resolve(deployment.Length)
		}
		switch {
		case !ok:
			return nil, bad("kind", "unknown kind %q; there are %s", s.Kind, strings.Join(Kinds(), ", "))
		case x.at > deployment.Length:
			return nil, bad("at", "%v is after the end at %v", x.at, deployment.Length)
		case k.needsFactor && s.Factor <= 0:
			return nil, bad("factor", "%s requires a factor above 0", s.Kind)
		case k.needsPart && (s.Part <= 0 || s.Part > 1):
			return nil, bad("part", "%s requires a part above 0 and at most 1", s.Kind)
		case k.needsFor && !s.For.Set:
			return nil, bad("for", "%s requires a duration", s.Kind)
		case s.Share < 0 || s.Share > 1:
			return nil, bad("share", "%g is out of range: must be 0 to 1", s.Share)
		case s.Count < 0:
			return nil, bad("count", "%d is negative", s.Count)
		}
		for j, name := range s.Servers {
			if !slices.Contains(deployment.Servers, name) {
				return nil, bad("servers", "unknown server %q (number %d); there are %s", name, j+1, strings.Join(deployment.Servers, ", "))
			}
		}
		if k.target == "registry" && deployment.Endpoints == 0 {
			return nil, bad("kind", "%s requires a registry: list.kind etcd or consul", s.Kind)
		}
		if k.target == "planners" && deployment.Planners == 0 {
			return nil, bad("kind", "%s requires planners: planners.count", s.Kind)
		}
		for _, p := range s.Planners {
			if p < 1 || p > deployment.Planners {
				return nil, bad("planners", "unknown planner %d; there are 1 to %d", p, deployment.Planners)
			}
		}
		for _, e := range s.Endpoints {
			if e < 1 || e > deployment.Endpoints {
				return nil, bad("endpoints", "unknown endpoint %d; there are 1 to %d", e, deployment.Endpoints)
			}
		}
		for _, n := range s.Nodes {
			if n < 1 || n > deployment.Nodes {
				return nil, bad("nodes", "unknown node %d; there are 1 to %d", n, deployment.Nodes)
			}
		}
		if k.expand(x); x.err != nil {
			return nil, x.err
		}
	}
	slices.SortStableFunc(t.Actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	t.Actions = slices.DeleteFunc(t.Actions, func(a Action) bool { return a.At > deployment.Length })
	return t, nil
}

func (x *expansion) fail(key, why string) { x.err = &Error{x.index, key, why} }

func (x *expansion) add(a Action) { x.timeline.Actions = append(x.timeline.Actions, a) }

// addInterval adds the start of a fault and, if For is set, its end.
func (x *expansion) addInterval(a Action, off float64) {
	a.At = x.at
	x.add(a)
	if x.For.Set {
		a.At, a.Value = x.end, off
		x.add(a)
	}
}

// selectedServers returns the servers concerned: those named, or Count or Share of all, drawn at random, or all.
func (x *expansion) selectedServers() []string {
	if len(x.Servers) > 0 {
		return x.Servers
	}
	n := len(x.deployment.Servers)
	switch {
	case x.Count > 0:
		n = min(n, x.Count)
	case x.Share > 0:
		n = min(n, max(1, int(x.Share*float64(n)+0.5)))
	default:
		return x.deployment.Servers
	}
	list := slices.Clone(x.deployment.Servers)
	x.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:n]
	slices.Sort(list)
	return list
}

func (x *expansion) eachServer(f func(name string)) {
	for _, s := range x.selectedServers() {
		f(s)
	}
}

// eachNumber calls f for each of the given numbers, or for 1 to all if none are given.
func eachNumber(numbers []int, all int, f func(n int)) {
	if len(numbers) == 0 {
		for n := range all {
			f(n + 1)
		}
		return
	}
	for _, n := range numbers {
		f(n)
	}
}

func (x *expansion) eachNode(f func(n int)) {
	eachNumber(x.Nodes, x.deployment.Nodes, func(n int) { f(n - 1) })
}
func (x *expansion) eachEndpoint(f func(e int)) { eachNumber(x.Endpoints, x.deployment.Endpoints, f) }
func (x *expansion) eachPlanner(f func(p int))  { eachNumber(x.Planners, x.deployment.Planners, f) }

// plannerKill kills planner processes. If For is set, new processes start after that time.
func (x *expansion) plannerKill() {
	x.eachPlanner(func(p int) {
		x.add(Action{At: x.at, Kind: PlannerKill, Node: -1, Planner: p})
		if x.For.Set {
			x.add(Action{At: x.end, Kind: PlannerStart, Node: -1, Planner: p})
		}
	})
}

func (x *expansion) coldValue() float64 {
	if x.Warm {
		return 0
	}
	return 1
}

// crash kills servers. If For is set, they restart after that time under their old name or a new one.
func (x *expansion) crash() {
	x.eachServer(func(s string) {
		x.add(Action{At: x.at, Kind: Kill, Server: s, Node: -1})
		if !x.Quiet {
			x.add(Action{At: x.at, Kind: ListRemove, Server: s, Node: -1})
		}
		if !x.For.Set {
			return
		}
		a := Action{At: x.end, Kind: Restart, Server: s, Node: -1, Value: x.coldValue()}
		if x.NewID {
			a.NewName = x.newName(s)
		}
		x.add(a)
	})
}

// newName returns an unused name for a server that replaces another.
func (x *expansion) newName(old string) string {
	name := old
	for n := 2; slices.Contains(x.deployment.Servers, name) || slices.Contains(x.timeline.NewServers, name); n++ {
		name = fmt.Sprintf("%s.%d", old, n)
	}
	x.timeline.NewServers = append(x.timeline.NewServers, name)
	return name
}

func (x *expansion) slow() {
	x.eachServer(func(s string) { x.addInterval(Action{Kind: Slow, Server: s, Node: -1, Value: x.Factor}, 1) })
}

// neighbour takes a part of machines, intermittently if Every is set.
func (x *expansion) neighbour() {
	x.eachServer(func(s string) { x.addIntermittent(Action{Kind: Steal, Server: s, Node: -1, Value: x.Part}) })
}

// pause suspends servers, intermittently if Every is set.
func (x *expansion) pause() {
	x.eachServer(func(s string) { x.addIntermittent(Action{Kind: Pause, Server: s, Node: -1, Value: 1}) })
}

func (x *expansion) addIntermittent(a Action) {
	every := x.Every.Resolve(x.deployment.Length)
	if every <= 0 {
		x.addInterval(a, 0)
		return
	}
	length := x.Length.Resolve(x.deployment.Length)
	if length <= 0 {
		length = every / 2
	}
	if length >= every {
		x.fail("length", "must be less than every, so that the fault pauses between occurrences")
		return
	}
	for at := x.at + time.Duration(x.rng.Float64()*float64(every)); at < x.end; {
		on, off := a, a
		on.At, off.At, off.Value = at, min(at+length, x.end), 0
		x.add(on)
		x.add(off)
		at += time.Duration((0.7 + 0.6*x.rng.Float64()) * float64(every))
	}
}

func (x *expansion) flush() {
	x.eachServer(func(s string) { x.add(Action{At: x.at, Kind: Flush, Server: s, Node: -1, Value: x.Part}) })
}

// drain drains servers; if For is set, they are removed after that time.
func (x *expansion) drain() { x.eachServer(func(s string) { x.drainServer(s, x.at) }) }

func (x *expansion) drainServer(s string, at time.Duration) {
	x.add(Action{At: at, Kind: Drain, Server: s, Node: -1})
	if x.For.Set {
		removeAt := at + x.For.Resolve(x.deployment.Length)
		if x.Kind == "deploy" || x.Kind == "shrink" {
			removeAt = at + x.Length.Resolve(x.deployment.Length)
		}
		x.add(Action{At: removeAt, Kind: ListRemove, Server: s, Node: -1})
		x.add(Action{At: removeAt + 1, Kind: Kill, Server: s, Node: -1})
	}
}

// deploy replaces servers in batches, each by a server with a new name at the same address.
func (x *expansion) deploy() {
	list := x.selectedServers()
	batch := max(1, x.Count)
	if len(x.Servers) == 0 && x.Share == 0 {
		list = x.deployment.Servers // Count is the batch size
	}
	step := (x.end - x.at) / time.Duration((len(list)+batch-1)/batch)
	if x.Length.Resolve(x.deployment.Length) <= 0 {
		x.fail("length", "deploy requires the drain duration of each server")
		return
	}
	for i, s := range list {
		at := x.at + time.Duration(i/batch)*step
		x.drainServer(s, at)
		x.add(Action{At: at + x.Length.Resolve(x.deployment.Length) + 2, Kind: Restart, Server: s, Node: -1, Value: x.coldValue(), NewName: x.newName(s)})
	}
}

// shrink removes servers one after the other.
func (x *expansion) shrink() {
	list := x.selectedServers()
	if len(list) >= len(x.deployment.Servers) {
		x.fail("share", "shrink would remove all servers")
		return
	}
	if x.Length.Resolve(x.deployment.Length) <= 0 {
		x.fail("length", "shrink requires the drain duration of each server")
		return
	}
	for i, s := range list {
		x.drainServer(s, x.at+time.Duration(i)*(x.end-x.at)/time.Duration(len(list)))
	}
}

// grow starts servers with new names, spread over the given duration.
func (x *expansion) grow() {
	n := max(1, x.Count)
	if x.Share > 0 {
		n = max(1, int(x.Share*float64(len(x.deployment.Servers))+0.5))
	}
	span := time.Duration(0)
	if x.For.Set {
		span = x.end - x.at
	}
	for i := range n {
		name := x.newName(fmt.Sprintf("g%d", i+1))
		x.add(Action{At: x.at + time.Duration(i)*span/time.Duration(n), Kind: StartNew, Server: name, Node: -1, Value: x.coldValue()})
	}
}

// slowRead makes servers read slowly what they are sent.
func (x *expansion) slowRead() {
	x.eachServer(func(s string) { x.addInterval(Action{Kind: SlowRead, Server: s, Node: -1, Value: x.Factor}, 0) })
}

// endNodes kills or terminates nodes. If For is set, they restart after that time.
func (x *expansion) endNodes() {
	verb := NodeKill
	if x.Kind == "node_term" {
		verb = NodeTerm
	}
	x.eachNode(func(n int) {
		x.add(Action{At: x.at, Kind: verb, Node: n})
		if x.For.Set {
			x.add(Action{At: x.end, Kind: NodeStart, Node: n})
		}
	})
}

func (x *expansion) nodeHup() {
	x.eachNode(func(n int) { x.add(Action{At: x.at, Kind: NodeHup, Node: n}) })
}

func (x *expansion) upgrade() {
	x.eachNode(func(n int) { x.add(Action{At: x.at, Kind: NodeUpgrade, Node: n}) })
}

// detach bans servers at nodes, as an operator would.
func (x *expansion) detach() {
	x.eachServer(func(s string) {
		x.eachNode(func(n int) { x.addInterval(Action{Kind: BanServer, Server: s, Node: n, Value: 1}, 0) })
	})
}

// clients returns the expansion of a fault of so many clients beside the load.
func clients(kind ActionKind) func(x *expansion) {
	return func(x *expansion) {
		x.addInterval(Action{Kind: kind, Node: -1, Value: float64(max(1, x.Count))}, 0)
	}
}

// addShape adds a traffic shape for a fault of the load.
func (x *expansion) addShape(k world.ShapeKind) {
	s := world.Shape{Kind: k, From: x.at, To: x.end, Magnitude: x.Part, Count: max(1, x.Count)}
	switch k {
	case world.Surge:
		s.Magnitude = x.Factor
	case world.HotTenant:
		if s.Index = slices.Index(x.deployment.Tenants, x.Tenant); s.Index < 0 {
			x.fail("tenant", fmt.Sprintf("unknown tenant %q", x.Tenant))
		}
	case world.HotNode:
		if len(x.Nodes) != 1 {
			x.fail("nodes", "hot_node requires exactly one node")
			return
		}
		s.Index = x.Nodes[0] - 1
	}
	x.timeline.Shapes = append(x.timeline.Shapes, s)
}
