// Package fault turns what an experiment file says of troubles into a timeline: single actions at single times, drawn by
// the seed alone. The same timeline drives stand-ins on sockets and models in virtual time.
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

// When is a time in a run: a span from its start, or a part of its length ("25%").
type TimeSpec struct {
	Duration time.Duration
	Fraction float64
	Set      bool
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (w *TimeSpec) UnmarshalText(text []byte) error {
	s := string(text)
	w.Set = true
	if p, ok := strings.CutSuffix(s, "%"); ok {
		v, err := strconv.ParseFloat(p, 64)
		if err != nil || v < 0 || v > 100 {
			return fmt.Errorf("%q is no part of the length: 0%% to 100%% are", s)
		}
		w.Fraction = v / 100
		return nil
	}
	v, err := time.ParseDuration(s)
	if err != nil || v < 0 {
		return fmt.Errorf("%q is no time: a span such as 1.5s, or a part of the length such as 25%%, is", s)
	}
	w.Duration = v
	return nil
}

// In is the time in a run of that length.
func (w TimeSpec) Resolve(length time.Duration) time.Duration {
	return w.Duration + time.Duration(w.Fraction*float64(length))
}

// Spec is a trouble as an experiment file tells it.
type Spec struct {
	Kind      string
	At        TimeSpec
	For       TimeSpec // how long it lasts; without it, to the end of the run
	Servers   []string // by name; else Count or Share of them are drawn
	Count     int
	Share     float64
	Nodes     []int // from 1; without them all nodes
	Endpoints []int `toml:"endpoints"` // of a registry, from 1; without them all
	Planners  []int `toml:"planners"`  // from 1; without them all
	Factor    float64
	Part      float64
	Every     TimeSpec // of what comes and goes: how often
	Length    TimeSpec // and for how long each time
	NewID     bool     `toml:"new_id"`
	Warm      bool     // what starts is warm
	Quiet     bool     // the list is not told
	Tenant    string   // of hot_tenant
}

// Verb is what an action does.
type ActionKind string

// The verbs. A server is named by its name in the lab, a node by its number from 0.
const (
	Kill            ActionKind = "die"              // the process ends: resets, then refused connections
	Restart         ActionKind = "rise"             // a new process at the same place; X 1: cold; Text: the server's name that it comes back under
	Silent          ActionKind = "silence"          // the machine says nothing; X 0: it is back
	Hang            ActionKind = "hang"             // takes all, answers nothing; X 0: over
	Refuse          ActionKind = "refuse"           // refuses connections, keeps those it has; X 0: over
	Reset           ActionKind = "reset"            // the part X of the answers ends with the connection, in the midst
	Garble          ActionKind = "garble"           // the part X of the answers is spoilt
	Surplus         ActionKind = "surplus"          // more follows the part X of the answers
	AnswerBusy      ActionKind = "turn_away"        // answers busy; X 0: over
	Slow            ActionKind = "slow"             // X times slower; 1: as ever
	Steal           ActionKind = "steal"            // a neighbour takes the part X of the machine
	Pause           ActionKind = "pause"            // stands still; X 0: goes on
	Drain           ActionKind = "drain"            // finishes what it has; the list says so
	ListRemove      ActionKind = "leave"            // the list says that it is gone
	StartNew        ActionKind = "join"             // a server of a new name starts; X 1: cold
	Flush           ActionKind = "void"             // the part X of its copies goes void
	ListDown        ActionKind = "list_down"        // X 0: up
	ListGarble      ActionKind = "list_garble"      // talks nonsense; X 0: over
	ListLag         ActionKind = "list_lag"         // changes show X seconds late
	ListCut         ActionKind = "list_cut"         // nothing comes from it to a node; X 0: over
	NodeKill        ActionKind = "node_kill"        // SIGKILL
	NodeTerm        ActionKind = "node_term"        // SIGTERM
	NodeHup         ActionKind = "node_hup"         // SIGHUP
	NodeStart       ActionKind = "node_start"       // a new process
	NodeFreeze      ActionKind = "node_freeze"      // SIGSTOP; X 0: SIGCONT
	NodeLameDuck    ActionKind = "node_lame"        // the node is drained by hand; X 0: it takes clients again
	NodeUpgrade     ActionKind = "node_upgrade"     // a new process comes beside it and takes its place
	BanServer       ActionKind = "detach"           // a server is banned at a node by hand; X 0: it may serve again
	RegistryDown    ActionKind = "registry_down"    // an endpoint answers 503; X 0: over
	RegistryMute    ActionKind = "registry_mute"    // an endpoint says nothing; X 0: back
	RegistryGarble  ActionKind = "registry_garble"  // an endpoint talks nonsense; X 0: over
	RegistryLag     ActionKind = "registry_lag"     // an endpoint is X changes behind
	RegistryCompact ActionKind = "registry_compact" // all history is forgotten
	RegistryWipe    ActionKind = "registry_wipe"    // all servers are taken out
	RegistrySave    ActionKind = "registry_save"    // a backup is made
	RegistryRestore ActionKind = "registry_restore" // and put in the store's place
	RegistryTwice   ActionKind = "registry_twice"   // changes are told twice, progress ahead of them; X 0: over
	RegistryDrip    ActionKind = "registry_drip"    // answers come in small pieces, X ms apart; 0: over
	PlannerKill     ActionKind = "planner_kill"     // SIGKILL
	PlannerStart    ActionKind = "planner_start"    // a new process
	PlannerFreeze   ActionKind = "planner_freeze"   // SIGSTOP; X 0: SIGCONT
	PlannerCut      ActionKind = "planner_cut"      // nothing goes between a node and a planner; X 0: over. In the model alone
	Rude            ActionKind = "rude"             // X clients that send nonsense; 0: over
	OriginSlow      ActionKind = "origin_slow"      // X times slower; 1: as ever
	OriginStop      ActionKind = "origin_stop"      // refuses connections; X 0: back
	OriginPause     ActionKind = "origin_pause"     // stands still; X 0: goes on
	OriginGarble    ActionKind = "origin_spoil"     // the part X of the answers is spoilt
)

// Action is one thing that happens at one time.
type Action struct {
	At       time.Duration
	Kind     ActionKind
	Server   string  // name
	Node     int     // from 0; -1: none
	Endpoint int     // of a registry, from 1; 0: none
	Planner  int     // a planner, from 1; 0: none
	Value    float64 // as its verb says
	NewName  string
}

// String is the action as a line of a plan.
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

// Stage is what a timeline acts on.
type Deployment struct {
	Length    time.Duration
	Servers   []string // names of the caches, in order
	Nodes     int
	Tenants   []string
	Endpoints int // endpoints of a registry; 0: the list is no registry's

	Planners int
}

// Timeline is what happens in a run.
type Timeline struct {
	Actions    []Action // by time
	Shapes     []world.Shape
	NewServers []string // names of servers that will start
}

// Error is a fault in the numbered spec, of the key.
type Error struct {
	Spec int
	Key  string
	Why  string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("fault[%d].%s: %s", e.Spec+1, e.Key, e.Why) }

// kind says what a kind of trouble needs and does.
type kind struct {
	target      string // servers, nodes, origin, list, load, fleet
	needsFactor bool   // wants factor
	needsPart   bool   // wants part
	needsFor    bool   // wants for
	expand      func(x *expansion)
}

var kinds map[string]kind

func init() { // a literal would refer to itself
	toggle := func(v ActionKind) func(x *expansion) {
		return func(x *expansion) {
			x.eachServer(func(s string) { x.addInterval(Action{Kind: v, Server: s, Node: -1, Value: 1}, 0) })
		}
	}
	share := func(v ActionKind) func(x *expansion) {
		return func(x *expansion) {
			x.eachServer(func(s string) { x.addInterval(Action{Kind: v, Server: s, Node: -1, Value: x.Part}, 0) })
		}
	}
	nodes := func(v ActionKind, on, off float64) func(x *expansion) {
		return func(x *expansion) {
			x.eachNode(func(n int) { x.addInterval(Action{Kind: v, Node: n, Value: on}, off) })
		}
	}
	single := func(v ActionKind, off float64) func(x *expansion) {
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
	ends := func(v ActionKind) func(x *expansion) {
		return func(x *expansion) {
			x.eachEndpoint(func(e int) { x.addInterval(Action{Kind: v, Node: -1, Endpoint: e, Value: max(1, x.Factor)}, 0) })
		}
	}
	moment := func(v ActionKind) func(x *expansion) {
		return func(x *expansion) { x.add(Action{At: x.at, Kind: v, Node: -1}) }
	}
	shape := func(k world.ShapeKind) func(x *expansion) { return func(x *expansion) { x.addShape(k) } }
	kinds = map[string]kind{
		"crash":         {target: "servers", expand: (*expansion).crash},
		"silent":        {target: "servers", expand: toggle(Silent)},
		"hang":          {target: "servers", expand: toggle(Hang)},
		"refuse":        {target: "servers", expand: toggle(Refuse)},
		"busy":          {target: "servers", expand: toggle(AnswerBusy)},
		"reset":         {target: "servers", needsPart: true, expand: share(Reset)},
		"garble":        {target: "servers", needsPart: true, expand: share(Garble)},
		"surplus":       {target: "servers", needsPart: true, expand: share(Surplus)},
		"slow":          {target: "servers", needsFactor: true, expand: (*expansion).slow},
		"neighbour":     {target: "servers", needsPart: true, expand: (*expansion).neighbour},
		"pause":         {target: "servers", expand: (*expansion).pause},
		"flush":         {target: "servers", needsPart: true, expand: (*expansion).flush},
		"drain":         {target: "servers", expand: (*expansion).drain},
		"deploy":        {target: "servers", needsFor: true, expand: (*expansion).deploy},
		"shrink":        {target: "servers", needsFor: true, expand: (*expansion).shrink},
		"grow":          {target: "fleet", expand: (*expansion).grow},
		"origin_slow":   {target: "origin", needsFactor: true, expand: single(OriginSlow, 1)},
		"origin_stop":   {target: "origin", expand: single(OriginStop, 0)},
		"origin_pause":  {target: "origin", expand: single(OriginPause, 0)},
		"origin_garble": {target: "origin", needsPart: true, expand: single(OriginGarble, 0)},
		"list_down":     {target: "list", expand: single(ListDown, 0)},
		"list_garble":   {target: "list", expand: single(ListGarble, 0)},
		"list_lag":      {target: "list", needsFactor: true, expand: single(ListLag, 0)},
		"list_cut":      {target: "nodes", expand: nodes(ListCut, 1, 0)},
		"node_kill":     {target: "nodes", expand: (*expansion).endNodes},
		"node_term":     {target: "nodes", expand: (*expansion).endNodes},
		"node_hup":      {target: "nodes", expand: (*expansion).nodeHup},
		"node_freeze":   {target: "nodes", expand: nodes(NodeFreeze, 1, 0)},
		"planner_kill":  {target: "planners", expand: (*expansion).plannerKill},
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
		"registry_down":    {target: "registry", expand: ends(RegistryDown)},
		"registry_mute":    {target: "registry", expand: ends(RegistryMute)},
		"registry_garble":  {target: "registry", expand: ends(RegistryGarble)},
		"registry_lag":     {target: "registry", needsFactor: true, expand: ends(RegistryLag)},
		"registry_compact": {target: "registry", expand: moment(RegistryCompact)},
		"registry_wipe":    {target: "registry", expand: moment(RegistryWipe)},
		"registry_save":    {target: "registry", expand: moment(RegistrySave)},
		"registry_restore": {target: "registry", expand: moment(RegistryRestore)},
		"registry_twice":   {target: "registry", expand: single(RegistryTwice, 0)},
		"registry_drip":    {target: "registry", needsFactor: true, expand: single(RegistryDrip, 0)},
		"rude":             {target: "load", expand: (*expansion).rude},
		"surge":            {target: "load", needsFactor: true, expand: shape(world.Surge)},
		"hot_key":          {target: "load", needsPart: true, expand: shape(world.HotKeys)},
		"hot_tenant":       {target: "load", needsPart: true, expand: shape(world.HotTenant)},
		"hot_node":         {target: "load", needsPart: true, expand: shape(world.HotNode)},
	}
}

// Kinds names all kinds of trouble.
func Kinds() []string {
	var all []string
	for k := range kinds {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// expansion is one spec being turned into actions.
type expansion struct {
	Spec
	index      int
	deployment *Deployment
	timeline   *Timeline
	rng        *rand.Rand
	at         time.Duration
	end        time.Duration // the run's end where For is not told
	err        *Error
}

// Expand draws the timeline. An error is an *Error.
func Expand(specs []Spec, stage Deployment, seed uint64) (*Timeline, error) {
	t := &Timeline{}
	for i, s := range specs {
		k, ok := kinds[s.Kind]
		bad := func(key, format string, args ...any) error { return &Error{i, key, fmt.Sprintf(format, args...)} }
		x := &expansion{Spec: s, index: i, deployment: &stage, timeline: t, rng: world.RandomStream(seed, "fault", strconv.Itoa(i), s.Kind),
			at: s.At.Resolve(stage.Length), end: stage.Length}
		if s.For.Set {
			x.end = x.at + s.For.Resolve(stage.Length)
		}
		switch {
		case !ok:
			return nil, bad("kind", "unknown kind %q; there are %s", s.Kind, strings.Join(Kinds(), ", "))
		case x.at > stage.Length:
			return nil, bad("at", "%v is after the end at %v", x.at, stage.Length)
		case k.needsFactor && s.Factor <= 0:
			return nil, bad("factor", "%s wants a factor above 0", s.Kind)
		case k.needsPart && (s.Part <= 0 || s.Part > 1):
			return nil, bad("part", "%s wants a part above 0 and at most 1", s.Kind)
		case k.needsFor && !s.For.Set:
			return nil, bad("for", "%s wants to know how long it takes", s.Kind)
		case s.Share < 0 || s.Share > 1:
			return nil, bad("share", "%g is no share: 0 to 1 are", s.Share)
		case s.Count < 0:
			return nil, bad("count", "%d is below 0", s.Count)
		}
		for j, name := range s.Servers {
			if !slices.Contains(stage.Servers, name) {
				return nil, bad("servers", "unknown server %q (number %d); there are %s", name, j+1, strings.Join(stage.Servers, ", "))
			}
		}
		if k.target == "registry" && stage.Endpoints == 0 {
			return nil, bad("kind", "%s needs a registry: list.kind etcd or consul", s.Kind)
		}
		if k.target == "planners" && stage.Planners == 0 {
			return nil, bad("kind", "%s needs planners: planners.count", s.Kind)
		}
		for _, p := range s.Planners {
			if p < 1 || p > stage.Planners {
				return nil, bad("planners", "unknown planner %d; there are 1 to %d", p, stage.Planners)
			}
		}
		for _, e := range s.Endpoints {
			if e < 1 || e > stage.Endpoints {
				return nil, bad("endpoints", "unknown endpoint %d; there are 1 to %d", e, stage.Endpoints)
			}
		}
		for _, n := range s.Nodes {
			if n < 1 || n > stage.Nodes {
				return nil, bad("nodes", "unknown node %d; there are 1 to %d", n, stage.Nodes)
			}
		}
		if k.expand(x); x.err != nil {
			return nil, x.err
		}
	}
	slices.SortStableFunc(t.Actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	t.Actions = slices.DeleteFunc(t.Actions, func(a Action) bool { return a.At > stage.Length })
	return t, nil
}

func (x *expansion) fail(key, why string) { x.err = &Error{x.index, key, why} }

func (x *expansion) add(a Action) { x.timeline.Actions = append(x.timeline.Actions, a) }

// onOff begins something, and ends it where it is to end before the run does.
func (x *expansion) addInterval(a Action, off float64) {
	a.At = x.at
	x.add(a)
	if x.For.Set {
		a.At, a.Value = x.end, off
		x.add(a)
	}
}

// chosen is the servers concerned: those named, else as many as told, drawn; else all.
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

// numbered does something for each of the numbers told, from 1; for all there are where none is.
func eachNumber(told []int, all int, f func(n int)) {
	if len(told) == 0 {
		for n := range all {
			f(n + 1)
		}
		return
	}
	for _, n := range told {
		f(n)
	}
}

func (x *expansion) eachNode(f func(n int)) {
	eachNumber(x.Nodes, x.deployment.Nodes, func(n int) { f(n - 1) })
}
func (x *expansion) eachEndpoint(f func(e int)) { eachNumber(x.Endpoints, x.deployment.Endpoints, f) }
func (x *expansion) eachPlanner(f func(p int))  { eachNumber(x.Planners, x.deployment.Planners, f) }

// plannerKill ends planners' processes; new ones start after the stated time.
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

// crash ends processes, which come back after the stated time, cold, under their id or a new one.
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

// newName names a server that takes another's place.
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

// neighbour takes a part of machines, on and off where Every is told.
func (x *expansion) neighbour() {
	x.eachServer(func(s string) { x.addIntermittent(Action{Kind: Steal, Server: s, Node: -1, Value: x.Part}) })
}

// pause makes servers stand still, now and then where Every is told.
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
		x.fail("length", "what comes and goes must be gone for a while: length is not under every")
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

// drain takes servers out of service: draining for the stated time, then gone.
func (x *expansion) drain() { x.eachServer(func(s string) { x.drainServer(s, x.at) }) }

func (x *expansion) drainServer(s string, at time.Duration) {
	x.add(Action{At: at, Kind: Drain, Server: s, Node: -1})
	if x.For.Set {
		gone := at + x.For.Resolve(x.deployment.Length)
		if x.Kind == "deploy" || x.Kind == "shrink" {
			gone = at + x.Length.Resolve(x.deployment.Length)
		}
		x.add(Action{At: gone, Kind: ListRemove, Server: s, Node: -1})
		x.add(Action{At: gone + 1, Kind: Kill, Server: s, Node: -1})
	}
}

// deploy replaces servers one after the other, each by one under a new id at its place.
func (x *expansion) deploy() {
	list := x.selectedServers()
	batch := max(1, x.Count)
	if len(x.Servers) == 0 && x.Share == 0 {
		list = x.deployment.Servers // Count is the batch
	}
	step := (x.end - x.at) / time.Duration((len(list)+batch-1)/batch)
	if x.Length.Resolve(x.deployment.Length) <= 0 {
		x.fail("length", "deploy wants to know how long each server drains")
		return
	}
	for i, s := range list {
		at := x.at + time.Duration(i/batch)*step
		x.drainServer(s, at)
		x.add(Action{At: at + x.Length.Resolve(x.deployment.Length) + 2, Kind: Restart, Server: s, Node: -1, Value: x.coldValue(), NewName: x.newName(s)})
	}
}

// shrink takes servers out one after the other.
func (x *expansion) shrink() {
	list := x.selectedServers()
	if len(list) >= len(x.deployment.Servers) {
		x.fail("share", "no server would be left")
		return
	}
	if x.Length.Resolve(x.deployment.Length) <= 0 {
		x.fail("length", "shrink wants to know how long each server drains")
		return
	}
	for i, s := range list {
		x.drainServer(s, x.at+time.Duration(i)*(x.end-x.at)/time.Duration(len(list)))
	}
}

// grow starts servers of new names, over the stated time.
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

// nodeEnds ends nodes, which come back after the stated time.
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

// detach bans servers by hand at nodes.
func (x *expansion) detach() {
	x.eachServer(func(s string) {
		x.eachNode(func(n int) { x.addInterval(Action{Kind: BanServer, Server: s, Node: n, Value: 1}, 0) })
	})
}

func (x *expansion) rude() {
	x.addInterval(Action{Kind: Rude, Node: -1, Value: float64(max(1, x.Count))}, 0)
}

// shape turns a trouble of the load into a shape of the arrivals.
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
			x.fail("nodes", "hot_node wants one node")
			return
		}
		s.Index = x.Nodes[0] - 1
	}
	x.timeline.Shapes = append(x.timeline.Shapes, s)
}
