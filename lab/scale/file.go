// Package scale measures the cost of the control plane as the deployment grows. It runs real planners and a list service as
// processes, and hollow nodes, hundreds to a process: each has the forwarder, the list client and the decision module of a real
// node, but no sockets towards clients and servers. Its load is drawn at random from a seed and counted as a node counts attempts.
//
// A run covers each size in each variant: first an idle phase with the forwarders off, which measures the cost of the load and of
// all other parts; then a calm phase, a jam (one server answers slowly), a drain (the list changes) and the faults. Read reads the
// run's file, Run runs it, and Result holds and writes the figures.
package scale

import (
	"cmp"
	"fmt"
	"math"
	"os/exec"
	"slices"
	"strings"
	"time"

	"lapisshelf/internal/tomlfile"
)

// Kinds of messages between nodes and planners.
const (
	TalkWhole   = "whole"   // whole digests and views, as in programs before changes were introduced
	TalkChanges = "changes" // brief digests, and changes to views, as in the present forwarder
)

// Faults, in the order of a run.
const (
	PlannerKill   = "planner_kill"   // SIGKILL to the first planner; a new process starts after the fault phase
	PlannerFreeze = "planner_freeze" // the first planner is stopped for the fault phase, with its connections open
	PlannerCut    = "planner_cut"    // the nodes' connections to the first planner end, and new ones are refused
	NodesTenth    = "nodes_tenth"    // one node in ten restarts
	NodesAll      = "nodes_all"      // all nodes restart at once
	ZoneLost      = "zone_lost"      // one server in 59 cannot be reached by any node
	ZoneCold      = "zone_cold"      // the list reports that one server in 59 has just started
)

// Faults returns all faults in the order of a run.
func Faults() []string {
	return []string{PlannerKill, PlannerFreeze, PlannerCut, NodesTenth, NodesAll, ZoneLost, ZoneCold}
}

// Settings for servers that have started, the same for planners and nodes.
const (
	coldFrom     = 0.2
	warmUp       = 8 * time.Second
	fallMultiple = 3
	fallWindow   = 1500 * time.Millisecond
)

// Limits of a run's file.
const (
	maxNodes       = 4000
	maxServers     = 2000
	maxProcesses   = 64
	maxPlanners    = 8
	maxSizes       = 16
	maxVariants    = 8
	maxPhaseLength = 2 * time.Minute
)

// Size is the size of a deployment.
type Size struct {
	Nodes   int
	Servers int
	Rate    float64 // requests per second at each node
}

// String returns NODESxSERVERS.
func (s Size) String() string { return fmt.Sprintf("%dx%d", s.Nodes, s.Servers) }

// Variant is a combination of messages and programs of nodes and planners.
type Variant struct {
	Name    string
	Talk    string
	Planner string // lapisshelf program that runs the planners; empty: that of RunOptions
	Nodes   string // lapislab program that runs the nodes, which may be of another version; empty: that of RunOptions
}

// File is the description of a run. Its field names are the keys of the TOML file.
type File struct {
	Name     string
	Seed     uint64
	Planners struct {
		Count        int
		Every, Valid tomlfile.Duration // interval between views; how long a view is valid
	}
	Nodes struct {
		Processes   int
		Every, Fade tomlfile.Duration // interval between digests; time over which expired views lose their effect
	}
	List struct {
		Kind  string // discovery or etcd
		Delay tomlfile.Duration
	}
	Load struct {
		Keys         int
		Zipf, Offset float64
		Bad          float64 // fraction of a healthy server's answers that are late or fail
		Misses       float64 // fraction of reads that are fetched from the origin
		Tenants      int
	}
	Phases struct {
		Warm                          tomlfile.Duration // before measurements, not included in them
		Idle, Calm, Jam, Drain, Fault tomlfile.Duration
		Settle                        tomlfile.Duration // maximum time to settle after each phase
	}
	Faults   []string
	Sizes    []Size    `toml:"size"`
	Variants []Variant `toml:"variant"`

	path string
}

// Options override settings of a file.
type Options struct {
	Seed  uint64   // 0 keeps the file's
	Short bool     // only the smallest size, and half as long phases
	Size  string   // NODESxSERVERS in place of the file's sizes; at that size's rate in the file, or at the highest one
	Only  []string // names of the variants and phases to run; empty means all
}

func defaults() *File {
	f := &File{Seed: 1}
	span := tomlfile.NewDuration
	f.Planners.Count, f.Planners.Every, f.Planners.Valid = 2, span(500*time.Millisecond), span(3*time.Second)
	f.Nodes.Processes, f.Nodes.Every, f.Nodes.Fade = 8, span(time.Second), span(10*time.Second)
	f.List.Kind, f.List.Delay = "discovery", span(200*time.Millisecond)
	f.Load.Keys, f.Load.Zipf, f.Load.Offset, f.Load.Bad, f.Load.Misses, f.Load.Tenants = 100000, 0.98, 5, 0.01, 0.05, 3
	f.Phases.Warm = span(2 * time.Second)
	f.Phases.Idle, f.Phases.Calm, f.Phases.Jam, f.Phases.Drain = span(8*time.Second), span(15*time.Second), span(10*time.Second), span(8*time.Second)
	f.Phases.Fault, f.Phases.Settle = span(6*time.Second), span(30*time.Second)
	return f
}

// Read reads and validates the file of a run and applies the options.
func Read(path string, o Options) (*File, error) {
	text, err := tomlfile.ReadText(path)
	if err != nil {
		return nil, err
	}
	return decode(path, text, o)
}

func decode(path string, text []byte, o Options) (*File, error) {
	f := defaults()
	at, err := tomlfile.Decode(path, text, f)
	if err != nil {
		return nil, err
	}
	f.path = path
	if f.Faults == nil && !at.Has("faults") {
		f.Faults = Faults()
	}
	if len(f.Variants) == 0 {
		f.Variants = []Variant{{Name: TalkChanges, Talk: TalkChanges}}
	}
	if err := f.validate(at); err != nil {
		return nil, err
	}
	return f, f.applyOptions(o)
}

// rule is one validation of the file, with the key and message of the error if it is violated.
type rule struct {
	violated bool
	key      []any
	message  string
}

func (f *File) validate(file *tomlfile.File) error {
	at := tomlfile.At
	isShare := func(x float64) bool { return x >= 0 && x <= 1 }
	inRange := func(d tomlfile.Duration, low, high time.Duration) bool { return d.D() >= low && d.D() <= high }
	rules := []rule{
		{f.Name == "", at("name"), "must name the run"},
		{f.Planners.Count < 1 || f.Planners.Count > maxPlanners, at("planners", "count"), "must be 1 to 8"},
		{!inRange(f.Planners.Every, 50*time.Millisecond, 10*time.Second), at("planners", "every"), "must be 50ms to 10s"},
		{!inRange(f.Planners.Valid, 2*f.Planners.Every.D(), 100*time.Second), at("planners", "valid"), "must be twice every to 100s"},
		{f.Nodes.Processes < 1 || f.Nodes.Processes > maxProcesses, at("nodes", "processes"), "must be 1 to 64"},
		{!inRange(f.Nodes.Every, 100*time.Millisecond, 30*time.Second), at("nodes", "every"), "must be 100ms to 30s"},
		{!inRange(f.Nodes.Fade, time.Second, time.Hour), at("nodes", "fade"), "must be 1s to 1h"},
		{f.List.Kind != "discovery" && f.List.Kind != "etcd", at("list", "kind"), "must be discovery or etcd"},
		{!inRange(f.List.Delay, 0, 10*time.Second), at("list", "delay"), "must be 0s to 10s"},
		{f.Load.Keys < 1 || f.Load.Keys > 1<<20, at("load", "keys"), "must be 1 to 1048576"},
		{!(f.Load.Zipf >= 0 && f.Load.Zipf <= 4), at("load", "zipf"), "must be 0 to 4"},
		{!(f.Load.Offset >= 0 && f.Load.Offset <= 1e6), at("load", "offset"), "must be 0 to 1000000"},
		{!isShare(f.Load.Bad), at("load", "bad"), "must be 0 to 1"},
		{!isShare(f.Load.Misses), at("load", "misses"), "must be 0 to 1"},
		{f.Load.Tenants < 0 || f.Load.Tenants > 256, at("load", "tenants"), "must be 0 to 256"},
		{len(f.Sizes) == 0 || len(f.Sizes) > maxSizes, at("size"), "must be 1 to 16 tables"},
		{len(f.Variants) > maxVariants, at("variant"), "must be at most 8 tables"},
	}
	for _, p := range []struct {
		key string
		d   tomlfile.Duration
		low time.Duration
	}{{"warm", f.Phases.Warm, 0}, {"idle", f.Phases.Idle, time.Second}, {"calm", f.Phases.Calm, time.Second}, {"jam", f.Phases.Jam, 0}, {"drain", f.Phases.Drain, 0},
		{"fault", f.Phases.Fault, time.Second}, {"settle", f.Phases.Settle, time.Second}} {
		rules = append(rules, rule{!inRange(p.d, p.low, maxPhaseLength), at("phases", p.key), fmt.Sprintf("must be %v to %v", p.low, maxPhaseLength)})
	}
	for i, name := range f.Faults {
		rules = append(rules, rule{!slices.Contains(Faults(), name), at("faults", i), "must be one of " + strings.Join(Faults(), ", ")})
	}
	for i, s := range f.Sizes {
		rules = append(rules,
			rule{s.Nodes < 1 || s.Nodes > maxNodes, at("size", i, "nodes"), "must be 1 to 4000"},
			rule{s.Servers < 2 || s.Servers > maxServers, at("size", i, "servers"), "must be 2 to 2000"},
			rule{!(s.Rate > 0 && s.Rate <= 1e4), at("size", i, "rate"), "must be above 0 and at most 10000"})
	}
	names := map[string]bool{}
	for i, v := range f.Variants {
		duplicate := names[v.Name]
		names[v.Name] = true
		rules = append(rules, rule{v.Name == "" || strings.ContainsAny(v.Name, "/\\, \"\n") || duplicate, at("variant", i, "name"), "must be a unique name without spaces, quotes, commas and slashes"},
			rule{v.Talk != TalkWhole && v.Talk != TalkChanges, at("variant", i, "talk"), "must be whole or changes"})
		for key, program := range map[string]string{"planner": v.Planner, "nodes": v.Nodes} {
			if program != "" {
				_, err := exec.LookPath(program)
				rules = append(rules, rule{err != nil, at("variant", i, key), "must be an executable program"})
			}
		}
	}
	for _, r := range rules {
		if r.violated {
			return file.Errorf(r.key, "%s", r.message)
		}
	}
	return nil
}

// applyOptions applies the command line's options.
func (f *File) applyOptions(o Options) error {
	f.Seed = cmp.Or(o.Seed, f.Seed)
	if o.Size != "" {
		var s Size
		if n, err := fmt.Sscanf(o.Size, "%dx%d", &s.Nodes, &s.Servers); n != 2 || err != nil || s.String() != o.Size ||
			s.Nodes < 1 || s.Nodes > maxNodes || s.Servers < 2 || s.Servers > maxServers {
			return fmt.Errorf("--size %q: want NODESxSERVERS, such as 400x80, up to %dx%d", o.Size, maxNodes, maxServers)
		}
		for _, x := range f.Sizes {
			s.Rate = max(s.Rate, x.Rate)
		}
		if i := slices.IndexFunc(f.Sizes, func(x Size) bool { return x.Nodes == s.Nodes && x.Servers == s.Servers }); i >= 0 {
			s.Rate = f.Sizes[i].Rate
		}
		f.Sizes = []Size{s}
	}
	if o.Short {
		f.Sizes = []Size{slices.MinFunc(f.Sizes, func(a, b Size) int {
			return cmp.Compare(float64(a.Nodes*a.Servers)*a.Rate, float64(b.Nodes*b.Servers)*b.Rate)
		})}
		for _, d := range []*tomlfile.Duration{&f.Phases.Idle, &f.Phases.Calm, &f.Phases.Jam, &f.Phases.Drain} {
			*d = tomlfile.NewDuration(d.D() / 2)
		}
	}
	var variants []Variant
	var faults []string
	phasesChosen := false
	for _, name := range o.Only {
		if i := slices.IndexFunc(f.Variants, func(v Variant) bool { return v.Name == name }); i >= 0 {
			variants = append(variants, f.Variants[i])
		} else if slices.Contains(Faults(), name) {
			faults, phasesChosen = append(faults, name), true
		} else if name == "calm" {
			phasesChosen = true
		} else {
			return fmt.Errorf("--only %q: neither a variant in %s nor a phase (calm, %s)", name, f.path, strings.Join(Faults(), ", "))
		}
	}
	if variants != nil {
		f.Variants = variants
	}
	if phasesChosen {
		f.Faults, f.Phases.Jam, f.Phases.Drain = faults, tomlfile.Duration{}, tomlfile.Duration{}
	}
	return nil
}

// zoneServers returns the number of servers in one of 59 zones.
func (s Size) zoneServers() int { return int(math.Ceil(float64(s.Servers) / 59)) }
