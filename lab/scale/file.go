// Package scale measures what the control plane costs as the deployment grows: real planners and a list service as processes,
// and hollow nodes, hundreds in a process, each with the forwarder, the list's follower and the decision module of a real
// one but without sockets that serve. Load is drawn from a seed and counted as a node counts it.
//
// A run goes through sizes and variants; in each it idles with the forwarders off (what the load and the rest cost), then
// goes through a calm, a jam, a change of the list and faults. Read reads the file, Run runs it, Result writes what came out.
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

// Kinds of talk between nodes and planners.
const (
	TalkWhole   = "whole"   // whole digests and views, as programs before changes were told
	TalkChanges = "changes" // what the present forwarder speaks
)

// Faults, in the order in which a run goes through them.
const (
	PlannerKill   = "planner_kill"   // SIGKILL to the first planner; a new process after the time of a fault
	PlannerFreeze = "planner_freeze" // it stands still for so long, connections open
	PlannerCut    = "planner_cut"    // nodes' connections to it end and are refused
	NodesTenth    = "nodes_tenth"    // a tenth of the nodes restarts
	NodesAll      = "nodes_all"      // all of them do, at once
	ZoneLost      = "zone_lost"      // one part in 59 of the servers fails everywhere
	ZoneCold      = "zone_cold"      // the list says that one part in 59 of the servers has just started
)

// Faults are all there are.
func Faults() []string {
	return []string{PlannerKill, PlannerFreeze, PlannerCut, NodesTenth, NodesAll, ZoneLost, ZoneCold}
}

// What the settings say of servers that have started, to planners and nodes alike.
const (
	coldFrom     = 0.2
	warmUp       = 8 * time.Second
	fallMultiple = 3
	fallWindow   = 1500 * time.Millisecond
)

// Bounds of a run.
const (
	mostNodes     = 4000
	mostServers   = 2000
	mostProcesses = 64
	mostPlanners  = 8
	mostSizes     = 16
	mostVariants  = 8
	longestPhase  = 2 * time.Minute
)

// Size is a deployment.
type Size struct {
	Nodes   int
	Servers int
	Rate    float64 // requests a second at each node
}

// String is NODESxSERVERS.
func (s Size) String() string { return fmt.Sprintf("%dx%d", s.Nodes, s.Servers) }

// Variant is a way in which nodes and planners talk.
type Variant struct {
	Name    string
	Talk    string
	Planner string // the lapisshelf program that runs the planners; empty: as told to Run
	Nodes   string // the lapislab program that plays the nodes, one of before or after this; empty: as told to Run
}

// File is what a run is told.
type File struct {
	Name     string
	Seed     uint64
	Planners struct {
		Count        int
		Every, Valid tomlfile.Duration // between views; how long one holds
	}
	Nodes struct {
		Processes   int
		Every, Fade tomlfile.Duration // between digests; of views that are no longer valid
	}
	List struct {
		Kind  string // discovery or etcd
		Delay tomlfile.Duration
	}
	Load struct {
		Keys         int
		Zipf, Offset float64
		Bad          float64 // part of the answers of a server that is well
		Misses       float64 // part of the reads that are fetched from the origin
		Tenants      int
	}
	Phases struct {
		Warm                          tomlfile.Duration // before what is measured, left out
		Idle, Calm, Jam, Drain, Fault tomlfile.Duration
		Settle                        tomlfile.Duration // at most, behind each
	}
	Faults   []string
	Sizes    []Size    `toml:"size"`
	Variants []Variant `toml:"variant"`

	path string
}

// Options change what a file says.
type Options struct {
	Seed  uint64 // 0: the file's
	Short bool   // the smallest size alone, phases half as long
	Size  string // NODESxSERVERS, in place of the file's; at the highest of its rates
	Only  []string
}

func defaults() *File {
	f := &File{Seed: 1}
	span := tomlfile.Span
	f.Planners.Count, f.Planners.Every, f.Planners.Valid = 2, span(500*time.Millisecond), span(3*time.Second)
	f.Nodes.Processes, f.Nodes.Every, f.Nodes.Fade = 8, span(time.Second), span(10*time.Second)
	f.List.Kind, f.List.Delay = "discovery", span(200*time.Millisecond)
	f.Load.Keys, f.Load.Zipf, f.Load.Offset, f.Load.Bad, f.Load.Misses, f.Load.Tenants = 100000, 0.98, 5, 0.01, 0.05, 3
	f.Phases.Warm = span(2 * time.Second)
	f.Phases.Idle, f.Phases.Calm, f.Phases.Jam, f.Phases.Drain = span(8*time.Second), span(15*time.Second), span(10*time.Second), span(8*time.Second)
	f.Phases.Fault, f.Phases.Settle = span(6*time.Second), span(30*time.Second)
	return f
}

// Read reads a run's file.
func Read(path string, o Options) (*File, error) {
	text, err := tomlfile.Text(path)
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
	if err := f.check(at); err != nil {
		return nil, err
	}
	return f, f.change(o)
}

type rule struct {
	broken bool
	at     []any
	want   string
}

func (f *File) check(file *tomlfile.File) error {
	at := tomlfile.At
	part := func(x float64) bool { return x >= 0 && x <= 1 }
	span := func(d tomlfile.Duration, least, most time.Duration) bool { return d.D() >= least && d.D() <= most }
	rules := []rule{
		{f.Name == "", at("name"), "must name the run"},
		{f.Planners.Count < 1 || f.Planners.Count > mostPlanners, at("planners", "count"), "must be 1 to 8"},
		{!span(f.Planners.Every, 50*time.Millisecond, 10*time.Second), at("planners", "every"), "must be 50ms to 10s"},
		{!span(f.Planners.Valid, 2*f.Planners.Every.D(), 100*time.Second), at("planners", "valid"), "must be twice every to 100s"},
		{f.Nodes.Processes < 1 || f.Nodes.Processes > mostProcesses, at("nodes", "processes"), "must be 1 to 64"},
		{!span(f.Nodes.Every, 100*time.Millisecond, 30*time.Second), at("nodes", "every"), "must be 100ms to 30s"},
		{!span(f.Nodes.Fade, time.Second, time.Hour), at("nodes", "fade"), "must be 1s to 1h"},
		{f.List.Kind != "discovery" && f.List.Kind != "etcd", at("list", "kind"), "must be discovery or etcd"},
		{!span(f.List.Delay, 0, 10*time.Second), at("list", "delay"), "must be 0s to 10s"},
		{f.Load.Keys < 1 || f.Load.Keys > 1<<20, at("load", "keys"), "must be 1 to 1048576"},
		{!(f.Load.Zipf >= 0 && f.Load.Zipf <= 4), at("load", "zipf"), "must be 0 to 4"},
		{!(f.Load.Offset >= 0 && f.Load.Offset <= 1e6), at("load", "offset"), "must be 0 to 1000000"},
		{!part(f.Load.Bad), at("load", "bad"), "must be 0 to 1"},
		{!part(f.Load.Misses), at("load", "misses"), "must be 0 to 1"},
		{f.Load.Tenants < 0 || f.Load.Tenants > 256, at("load", "tenants"), "must be 0 to 256"},
		{len(f.Sizes) == 0 || len(f.Sizes) > mostSizes, at("size"), "must be 1 to 16 tables"},
		{len(f.Variants) > mostVariants, at("variant"), "must be at most 8 tables"},
	}
	for _, p := range []struct {
		key   string
		d     tomlfile.Duration
		least time.Duration
	}{{"warm", f.Phases.Warm, 0}, {"idle", f.Phases.Idle, time.Second}, {"calm", f.Phases.Calm, time.Second}, {"jam", f.Phases.Jam, 0}, {"drain", f.Phases.Drain, 0},
		{"fault", f.Phases.Fault, time.Second}, {"settle", f.Phases.Settle, time.Second}} {
		rules = append(rules, rule{!span(p.d, p.least, longestPhase), at("phases", p.key), fmt.Sprintf("must be %v to %v", p.least, longestPhase)})
	}
	for i, name := range f.Faults {
		rules = append(rules, rule{!slices.Contains(Faults(), name), at("faults", i), "must be one of " + strings.Join(Faults(), ", ")})
	}
	for i, s := range f.Sizes {
		rules = append(rules,
			rule{s.Nodes < 1 || s.Nodes > mostNodes, at("size", i, "nodes"), "must be 1 to 4000"},
			rule{s.Servers < 2 || s.Servers > mostServers, at("size", i, "servers"), "must be 2 to 2000"},
			rule{!(s.Rate > 0 && s.Rate <= 1e4), at("size", i, "rate"), "must be above 0 and at most 10000"})
	}
	names := map[string]bool{}
	for i, v := range f.Variants {
		twice := names[v.Name]
		names[v.Name] = true
		rules = append(rules, rule{v.Name == "" || strings.ContainsAny(v.Name, "/\\, \"\n") || twice, at("variant", i, "name"), "must be a name of its own, without spaces, commas and slashes"},
			rule{v.Talk != TalkWhole && v.Talk != TalkChanges, at("variant", i, "talk"), "must be whole or changes"})
		for key, program := range map[string]string{"planner": v.Planner, "nodes": v.Nodes} {
			if program != "" {
				_, err := exec.LookPath(program)
				rules = append(rules, rule{err != nil, at("variant", i, key), "must be a program that is there and runs"})
			}
		}
	}
	for _, r := range rules {
		if r.broken {
			return file.Errorf(r.at, "%s", r.want)
		}
	}
	return nil
}

// change applies what the command line says.
func (f *File) change(o Options) error {
	f.Seed = cmp.Or(o.Seed, f.Seed)
	if o.Size != "" {
		var s Size
		if n, err := fmt.Sscanf(o.Size, "%dx%d", &s.Nodes, &s.Servers); n != 2 || err != nil || s.String() != o.Size ||
			s.Nodes < 1 || s.Nodes > mostNodes || s.Servers < 2 || s.Servers > mostServers {
			return fmt.Errorf("--size %q: NODESxSERVERS is wanted, such as 400x80, up to %dx%d", o.Size, mostNodes, mostServers)
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
			*d = tomlfile.Span(d.D() / 2)
		}
	}
	var variants []Variant
	var faults []string
	phased := false
	for _, name := range o.Only {
		if i := slices.IndexFunc(f.Variants, func(v Variant) bool { return v.Name == name }); i >= 0 {
			variants = append(variants, f.Variants[i])
		} else if slices.Contains(Faults(), name) {
			faults, phased = append(faults, name), true
		} else if name == "calm" {
			phased = true
		} else {
			return fmt.Errorf("--only %q: no variant of that name in %s, and no phase (calm, %s)", name, f.path, strings.Join(Faults(), ", "))
		}
	}
	if variants != nil {
		f.Variants = variants
	}
	if phased {
		f.Faults, f.Phases.Jam, f.Phases.Drain = faults, tomlfile.Duration{}, tomlfile.Duration{}
	}
	return nil
}

// zone is how many servers one part in 59 of them is.
func (s Size) zone() int { return int(math.Ceil(float64(s.Servers) / 59)) }
