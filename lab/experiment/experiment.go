// Package experiment reads experiment files. A file describes a deployment, its load, the faults that are injected and the
// figures that are expected of the run. An error in a file is reported in one line with file, line and key.
package experiment

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"lapisshelf/internal/tomlfile"
	"lapisshelf/lab/fault"
	"lapisshelf/lab/judge"
	"lapisshelf/lab/world"
)

// Duration is a duration in the notation of Go, such as "250ms".
type Duration = tomlfile.Duration

// File is an experiment file as it is written. Every key has a default, except length, class and fleet.count. Here and in the
// types below, fields without a tag have the name of their key.
type File struct {
	Name     string
	Seed     uint64
	Length   Duration
	Short    Short
	Service  Service
	Class    []Class
	Tenant   []Tenant
	Nodes    Nodes
	Planners Planners
	Fleet    Fleet
	Group    []Group
	Origin   Origin
	List     List
	Clients  Clients
	Fault    []fault.Spec
	Expect   map[string]any
}

// Short has the values that --short uses, for CI and for a quick look.
type Short struct {
	Length Duration
	Rate   float64
}

// Service holds the settings of the nodes, except for the classes and tenants.
type Service struct {
	Mode           string // "aside" or "through"
	Attempts       int
	Parallel       *bool
	Cancel         *bool
	RetryAfter     *bool    `toml:"retry_after"`
	MaxRetryAfter  Duration `toml:"max_retry_after"`
	ConnIdle       Duration `toml:"conn_idle"`
	ConnectTimeout Duration `toml:"connect_timeout"`
	PerConn        int      `toml:"per_conn"`
	MaxHeld        int      `toml:"most_held"`
	AnswerSlack    Duration `toml:"answer_slack"`
	DrainGrace     Duration `toml:"drain_grace"`
	AskWithin      Duration `toml:"ask_within"`
	WarmUp         Duration `toml:"warm_up"`
	ColdFrom       float64  `toml:"cold_from"`
	FallMultiple   float64  `toml:"fall_multiple"`
	FallWindow     Duration `toml:"fall_window"`
	Weights        string
	OverShareWorth float64 `toml:"over_worth"`
	Hits           *bool   // responses of caches state whether they are a hit or a miss
	Reports        *bool   // responses of caches carry load reports
}

// Class is a class of requests. Work is the mean work of a request, Sigma the standard deviation of its logarithm; Size is the
// size of a value in bytes.
type Class struct {
	Name      string
	Effect    string   // "safe", "keyed" or "unsafe"
	Scope     string   // "all", "zone" or "cell"; of a keyed class
	Window    Duration // how long repeats of a keyed request are dropped
	Share     float64
	Work      Duration
	Sigma     float64
	Size      int
	SizeSigma float64 `toml:"size_sigma"`
	Aim       Duration
	Deadline  Duration
	Worth     float64
	LateShare float64 `toml:"late_share"`
	Write     bool
}

// Tenant is a customer of the service, with its share of the requests and its quota.
type Tenant struct {
	Name  string
	Share float64
	Quota float64
}

// Nodes describes the balancers.
type Nodes struct {
	Count    int
	Command  string // runs a node; empty: lapisshelf in the folder of lapislab, or one that is built
	Config   string // path of an operator's file for the nodes, relative to the experiment file
	MemoryMB int    `toml:"memory_mb"`
	Sockets  int
	Listen   []string // addresses, one a node; empty: free loopback addresses
	Direct   bool     // without nodes: clients send to the caches directly, which measures the lab itself
}

// Planners describes the planners; a Count of 0 means that there are none.
type Planners struct {
	Count int
	Every Duration // interval between digests, and between views
	Valid Duration // how long a view is valid
	Fade  Duration // how long an expired view keeps a decreasing influence
	Talk  string   // "changes": brief digests and changes of views; "whole": complete digests and views
}

// Fleet describes the cache servers that belong to no group, and the defaults of the groups.
type Fleet struct {
	Count     int
	Group              // properties of each server
	Tolerance Duration // how late the lab may observe an event; the judge allows for it
}

// Group describes a number of identical cache servers. Room is the limit of the queue for one of the Slots.
type Group struct {
	Count         int
	Kind          string
	Zone          string
	Cell          int
	Weight        float64
	Cores         int
	Speed         float64
	Slots         int
	Room          int
	MemoryMB      float64  `toml:"memory_mb"`
	ReportEvery   Duration `toml:"report_every"`
	ReportNoise   float64  `toml:"report_noise"`
	Handshake     Duration
	Way           Duration // that bytes take to a server of the group, and back
	Window        int      // bytes of a server's receive window; 0: the system's
	MaxConns      int      `toml:"max_conns"`
	Coalesce      bool     // in through mode, concurrent fetches of a key share one origin request
	Lease         Duration // after a miss, other misses of the key are reported as being fetched for this long; 0: never
	IgnoresCancel bool     `toml:"keeps_work"`
	Cold          bool     // the servers are cold at the start of the run
}

// Origin describes the origin server. Room is the limit of the queue for one of its Slots.
type Origin struct {
	Cores         int
	Slots, Room   int
	Work          Duration
	Sigma         float64
	WriteFactor   float64  `toml:"write_factor"`
	FallMultiple  float64  `toml:"fall_multiple"`
	FallFor       Duration `toml:"fall_for"`
	Down          Duration
	Way           Duration // that bytes take to the origin, and back
	Window        int      // bytes of its receive window; 0: the system's
	IgnoresCancel bool     `toml:"keeps_work"`
	None          bool     // there is no origin
}

// List describes the source of the server list: the list service, or a registry.
type List struct {
	Delay Duration // until a change becomes visible
	Keep  int      // changes that the list service remembers; 0: 1000
	Whole bool     // the list service sends the complete list every time
	Wait  Duration // how long the list service holds a call before it answers

	Kind      string   // "discovery", "etcd" or "consul"
	Endpoints int      // of a registry, the number of its endpoints
	Lease     Duration // TTL of the leases under which servers keep their entries; 0: entries last until they are deleted
	Progress  Duration // interval between progress notifications of an idle watch
	Token     string   // that the registry requires; empty: none
	Hold      Duration // hold of the nodes' [registry] table; the same goes for HoldPart, Rewind and Watch
	HoldPart  float64  `toml:"hold_part"`
	Rewind    Duration
	Watch     Duration
	Announce  bool // nodes register themselves
}

// InRegistry reports whether the list is in a key-value registry.
func (l *List) InRegistry() bool { return l.Kind != "discovery" }

// Clients describes the load; see world.ClientSpec. Patience is the range of the timeouts of a try, as fractions of the deadline.
type Clients struct {
	Rate       float64
	Keys       int
	Zipf       float64
	Offset     float64
	Drift      float64
	Patience   []float64
	Retries    int
	Pause      Duration
	MarksRetry bool `toml:"marks_retry"`
	Leaves     float64
	Repeats    float64 // fraction of the answered writes that are not safe whose id comes again
	Skew       []float64
	Warm       float64 // fraction of each cache's memory that holds popular keys at the start
}

// Expectation is a limit of a figure, from a line of [expect].
type Expectation struct {
	Figure   string
	IsMax    bool // Limit is a maximum, otherwise a minimum
	Limit    float64
	Location string // file, line and key
}

// Experiment is a valid file with its defaults filled in and everything that the seed determines.
type Experiment struct {
	File
	Path         string
	Description  string // the comment at the head of the file
	Classes      []world.Class
	Tenants      []world.Tenant
	Servers      []Server
	Timeline     *fault.Timeline
	Expectations []Expectation
	BrokenRules  []string // rules that the run is expected to break
	ClientSpec   world.ClientSpec

	virtualTime bool
}

// Server is a cache server of the experiment.
type Server struct {
	Name        string
	ID          string
	Spec        world.CacheSpec
	Member      world.Member // without its address, which is known once it listens
	Group       Group
	StartsLater bool // a fault starts it during the run
}

// Options override values of the file.
type Options struct {
	Seed        uint64 // 0: the file's
	Short       bool
	Length      time.Duration // 0: the file's
	Rate        float64       // 0: the file's
	VirtualTime bool          // the run takes no processes: more nodes are allowed, and expectations of their processes are dropped
}

// Read reads and checks an experiment file.
func Read(path string, opt Options) (*Experiment, error) {
	x := &Experiment{Path: path}
	text, err := os.ReadFile(path)
	if err != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			err = &tomlfile.Error{Path: path, Reason: pathErr.Err.Error()}
		}
		return nil, err
	}
	x.File = defaults()
	f, err := tomlfile.Decode(path, text, &x.File)
	if err != nil {
		return nil, err
	}
	x.Description = headComment(string(text))
	if opt.Short {
		if x.Short.Length.D() > 0 {
			x.Length = x.Short.Length
		}
		if x.Short.Rate > 0 {
			x.Clients.Rate = x.Short.Rate
		}
	}
	if opt.Seed != 0 {
		x.Seed = opt.Seed
	}
	if opt.Length > 0 {
		x.Length = tomlfile.NewDuration(opt.Length)
	}
	if opt.Rate > 0 {
		x.Clients.Rate = opt.Rate
	}
	x.virtualTime = opt.VirtualTime
	if err := x.check(f); err != nil {
		return nil, err
	}
	if opt.VirtualTime {
		x.Expectations = slices.DeleteFunc(x.Expectations, func(e Expectation) bool {
			return strings.HasPrefix(e.Figure, "said_") || strings.HasPrefix(e.Figure, "node_")
		})
	}
	return x, nil
}

// headComment returns the comment at the head of a file as one line.
func headComment(text string) string {
	var lines []string
	for _, l := range strings.Split(text, "\n") {
		rest, ok := strings.CutPrefix(l, "#")
		if !ok {
			break
		}
		lines = append(lines, strings.TrimSpace(rest))
	}
	return strings.Join(lines, " ")
}

func newTrue() *bool  { b := true; return &b }
func newFalse() *bool { b := false; return &b }

func ms(n int) Duration { return tomlfile.NewDuration(time.Duration(n) * time.Millisecond) }

// defaults returns the defaults of all keys, those of a small deployment. docs/lab.md has the same values.
func defaults() File {
	return File{Seed: 1, Length: ms(10000),
		Service: Service{Mode: "aside", Attempts: 6, Parallel: newFalse(), Cancel: newTrue(), RetryAfter: newTrue(), MaxRetryAfter: ms(1000),
			ConnIdle: ms(10000), ConnectTimeout: ms(250), PerConn: 8, MaxHeld: 5000, AnswerSlack: ms(20), DrainGrace: ms(400),
			AskWithin: ms(4000), WarmUp: ms(8000), ColdFrom: 0.2, FallMultiple: 3, FallWindow: ms(1500), Weights: "nominal",
			OverShareWorth: 0.05, Hits: newTrue(), Reports: newTrue()},
		Nodes:    Nodes{Count: 2, MemoryMB: 192, Sockets: 1024},
		Planners: Planners{Every: ms(500), Valid: ms(3000), Fade: ms(10000), Talk: "changes"},
		Fleet: Fleet{Group: Group{Kind: "std", Zone: "a", Weight: 1, Cores: 2, Speed: 1, Slots: 16, Room: 32, MemoryMB: 2,
			ReportEvery: ms(100), ReportNoise: 0.05}, Tolerance: ms(50)},
		Origin: Origin{Cores: 8, Slots: 64, Room: 64, Work: ms(10), Sigma: 0.4, WriteFactor: 1.5, FallMultiple: 2.5,
			FallFor: ms(3000), Down: ms(3000)},
		List: List{Delay: ms(200), Kind: "discovery", Endpoints: 1, Hold: ms(30000), HoldPart: 0.5, Rewind: ms(30000)},
		Clients: Clients{Rate: 200, Keys: 2000, Zipf: 0.9, Offset: 5, Patience: []float64{0.8, 1}, Retries: 1, Pause: ms(200),
			MarksRetry: true, Warm: 1},
	}
}

// check validates the file and fills in the fields that are derived from it.
func (x *Experiment) check(f *tomlfile.File) error {
	at := tomlfile.At
	type rule struct {
		bad  bool
		at   []any
		text string
	}
	firstViolated := func(rules ...rule) error {
		for _, r := range rules {
			if r.bad {
				return f.Errorf(r.at, "%s", r.text)
			}
		}
		return nil
	}
	s, c, n, o := &x.Service, &x.Clients, &x.Nodes, &x.Origin
	if err := firstViolated(
		rule{x.Length.D() <= 0 || x.Length.D() > 24*time.Hour, at("length"), "must be above 0 and at most 24h"},
		rule{x.Short.Length.D() < 0, at("short", "length"), "must not be negative"},
		rule{s.Mode != "aside" && s.Mode != "through", at("service", "mode"), fmt.Sprintf("%q is neither aside nor through", s.Mode)},
		rule{s.Attempts < 1 || s.Attempts > 100, at("service", "attempts"), "must be 1 to 100"},
		rule{s.PerConn < 1, at("service", "per_conn"), "must be at least 1"},
		rule{s.MaxHeld < 1, at("service", "most_held"), "must be at least 1"},
		rule{!(s.ColdFrom > 0 && s.ColdFrom <= 1), at("service", "cold_from"), "must be above 0 and at most 1"},
		rule{!(s.FallMultiple >= 0), at("service", "fall_multiple"), "must not be negative"},
		rule{!(s.OverShareWorth >= 0 && s.OverShareWorth <= 1), at("service", "over_worth"), "must be 0 to 1"},
		rule{!slices.Contains([]string{"off", "nominal", "rough", "live"}, s.Weights), at("service", "weights"), "must be off, nominal, rough or live"},
		rule{len(x.Class) == 0, at("class"), "an experiment needs a class of requests"},
		rule{x.Fleet.Count+len(x.File.Group) == 0, at("fleet", "count"), "an experiment needs a cache server"},
		rule{x.Fleet.Count < 0 || x.Fleet.Count > 1000, at("fleet", "count"), "must be 0 to 1000"},
		rule{n.Count < 1 || n.Count > maxNodes && !x.virtualTime, at("nodes", "count"), "must be 1 to 64; only lapislab model allows more"},
		rule{n.Count > maxVirtualNodes, at("nodes", "count"), "must be at most 5000"},
		rule{n.MemoryMB < 8, at("nodes", "memory_mb"), "must be at least 8"},
		rule{n.Sockets < 64, at("nodes", "sockets"), "must be at least 64"},
		rule{x.Planners.Count < 0 || x.Planners.Count > 8, at("planners", "count"), "must be 0 to 8"},
		rule{x.Planners.Every.D() < 100*time.Millisecond || x.Planners.Every.D() > 10*time.Second, at("planners", "every"), "must be 100ms to 10s"},
		rule{x.Planners.Valid.D() < 2*x.Planners.Every.D() || x.Planners.Valid.D() > 100*time.Second, at("planners", "valid"), "must be twice every to 100s"},
		rule{x.Planners.Fade.D() < time.Second || x.Planners.Fade.D() > time.Hour, at("planners", "fade"), "must be 1s to 1h"},
		rule{x.Planners.Talk != "changes" && x.Planners.Talk != "whole", at("planners", "talk"), fmt.Sprintf("%q is neither changes nor whole", x.Planners.Talk)},
		rule{x.Planners.Talk == "whole" && !x.virtualTime, at("planners", "talk"), "only lapislab model supports it"},
		rule{x.Planners.Count > 0 && n.Config != "", at("nodes", "config"), "must be empty with planners: the lab writes the operator's file"},
		rule{len(n.Listen) > 0 && len(n.Listen) != n.Count, at("nodes", "listen"), "must have an address for each node"},
		rule{o.Cores < 1, at("origin", "cores"), "must be at least 1"},
		rule{o.Slots < 1, at("origin", "slots"), "must be at least 1"},
		rule{o.Room < 0, at("origin", "room"), "must not be negative"},
		rule{o.Work.D() <= 0, at("origin", "work"), "must be above 0"},
		rule{!(o.Sigma >= 0 && o.Sigma <= 3), at("origin", "sigma"), "must be 0 to 3"},
		rule{!(o.WriteFactor >= 0 && o.WriteFactor < 1e6), at("origin", "write_factor"), "must not be negative"},
		rule{!(o.FallMultiple >= 0), at("origin", "fall_multiple"), "must not be negative"},
		rule{o.None && s.Mode == "through", at("origin", "none"), "caches in through mode need an origin"},
		rule{x.List.Delay.D() < 0, at("list", "delay"), "must not be negative"},
		rule{!slices.Contains([]string{"discovery", "etcd", "consul"}, x.List.Kind), at("list", "kind"), "must be discovery, etcd or consul"},
		rule{x.List.Endpoints < 1 || x.List.Endpoints > 8, at("list", "endpoints"), "must be 1 to 8"},
		rule{x.List.Lease.D() < 0 || x.List.Lease.D() > 0 && x.List.Lease.D() < time.Second, at("list", "lease"), "must be 0s, or at least 1s"},
		rule{x.List.Progress.D() < 0, at("list", "progress"), "must not be negative"},
		rule{x.List.InRegistry() && n.Config != "", at("nodes", "config"), "must be empty with a registry: the lab writes the operator's file"},
		rule{!x.List.InRegistry() && (x.List.Endpoints > 1 || x.List.Lease.D() > 0 || x.List.Token != "" || x.List.Announce), at("list", "kind"), "endpoints, leases, tokens and announcements need a registry: etcd or consul"},
		rule{!(c.Rate > 0 && c.Rate <= 200000), at("clients", "rate"), "must be above 0 and at most 200000 a second"},
		rule{c.Rate*x.Length.D().Seconds() > 20e6, at("clients", "rate"), "gives over 20 million requests in a run"},
		rule{c.Keys < 1 || c.Keys > 5e6, at("clients", "keys"), "must be 1 to 5000000"},
		rule{!(c.Zipf >= 0 && c.Zipf <= 5), at("clients", "zipf"), "must be 0 to 5"},
		rule{!(c.Offset >= 0 && c.Offset < 1e9), at("clients", "offset"), "must not be negative"},
		rule{!(c.Drift >= 0 && c.Drift <= 1), at("clients", "drift"), "must be 0 to 1"},
		rule{len(c.Patience) != 2 || !(c.Patience[0] > 0 && c.Patience[1] >= c.Patience[0] && c.Patience[1] <= 1), at("clients", "patience"),
			"must be two fractions of the deadline, the lower one first, above 0 and at most 1"},
		rule{c.Retries < 0 || c.Retries > 20, at("clients", "retries"), "must be 0 to 20"},
		rule{!(c.Leaves >= 0 && c.Leaves <= 1), at("clients", "leaves"), "must be 0 to 1"},
		rule{!(c.Repeats >= 0 && c.Repeats <= 1), at("clients", "repeats"), "must be 0 to 1"},
		rule{x.Origin.Window < 0 || x.Origin.Window > 0 && x.Origin.Way.D() > 0, at("origin", "window"), "must not be negative, and 0 with a way"},
		rule{!(c.Warm >= 0 && c.Warm <= 1), at("clients", "warm"), "must be 0 to 1"},
		rule{len(c.Skew) > 0 && len(c.Skew) != n.Count, at("clients", "skew"), "must have a share for each node"},
	); err != nil {
		return err
	}
	if err := x.checkClasses(f); err != nil {
		return err
	}
	if err := x.checkServers(f); err != nil {
		return err
	}
	if err := x.parseExpectations(f); err != nil {
		return err
	}
	x.ClientSpec = world.ClientSpec{Rate: c.Rate, Keys: c.Keys, Zipf: c.Zipf, Offset: c.Offset, Drift: c.Drift,
		TimeoutRange: [2]float64{c.Patience[0], c.Patience[1]}, MaxRetries: c.Retries, RetryDelay: c.Pause.D(), MarksRetry: c.MarksRetry,
		LeaveShare: c.Leaves, RepeatShare: c.Repeats, Nodes: n.Count, NodeShares: c.Skew}
	return x.expandFaults(f)
}

func (x *Experiment) checkClasses(f *tomlfile.File) error {
	effects := map[string]world.Effect{"safe": world.Safe, "": world.Safe, "keyed": world.Keyed, "unsafe": world.Unsafe}
	scopes := map[string]world.Scope{"all": world.ScopeAll, "": world.ScopeAll, "zone": world.ScopeZone, "cell": world.ScopeCell}
	total := 0.0
	for i, c := range x.Class {
		effect, effectOK := effects[c.Effect]
		scope, scopeOK := scopes[c.Scope]
		bad := func(key, format string, args ...any) error {
			return f.Errorf(tomlfile.At("class", i, key), format, args...)
		}
		switch {
		case c.Name == "" || strings.ContainsAny(c.Name, " ,=\r\n"):
			return bad("name", "%q is not a valid class name", c.Name)
		case slices.ContainsFunc(x.Class[:i], func(o Class) bool { return o.Name == c.Name }):
			return bad("name", "%q is used twice", c.Name)
		case !effectOK:
			return bad("effect", "%q is not one of safe, keyed, unsafe", c.Effect)
		case !scopeOK:
			return bad("scope", "%q is not one of all, zone, cell", c.Scope)
		case effect == world.Keyed && c.Window.D() <= 0:
			return bad("window", "a keyed class needs the time for which repeats are dropped")
		case c.Aim.D() <= 0 || c.Deadline.D() <= 0:
			return bad("aim", "aim and deadline must be above 0")
		case c.Deadline.D() < c.Aim.D():
			return bad("deadline", "must not be below the aim")
		case !(c.Share >= 0 && c.Share < 1e9 && c.Worth >= 0 && c.Worth < 1e9 && c.LateShare >= 0 && c.LateShare <= 1 && c.Sigma >= 0 && c.Sigma <= 3 && c.SizeSigma >= 0 && c.SizeSigma <= 3):
			return bad("share", "share, worth, late_share or a sigma is out of range")
		case c.Size < 0 || c.Size > 64<<20:
			return bad("size", "must be 0 to 64 MiB")
		case c.Work.D() < 0:
			return bad("work", "must not be negative")
		}
		share := c.Share
		if !f.Has("class", i, "share") {
			share = 1
		}
		worth := c.Worth
		if !f.Has("class", i, "worth") {
			worth = 1
		}
		total += share
		x.Classes = append(x.Classes, world.Class{Name: c.Name, Effect: effect, Scope: scope, Window: c.Window.D(), Share: share,
			Work: c.Work.D(), Sigma: c.Sigma, Size: max(1, c.Size), SizeSigma: c.SizeSigma, Aim: c.Aim.D(), Deadline: c.Deadline.D(),
			Worth: worth, LateShare: c.LateShare, Write: c.Write})
	}
	if total <= 0 {
		return f.Errorf(tomlfile.At("class", 0, "share"), "no class has a share")
	}
	for i, t := range x.Tenant {
		bad := func(key, format string, args ...any) error {
			return f.Errorf(tomlfile.At("tenant", i, key), format, args...)
		}
		switch {
		case t.Name == "" || strings.ContainsAny(t.Name, " ,=\r\n"):
			return bad("name", "%q is not a valid tenant name", t.Name)
		case slices.ContainsFunc(x.Tenant[:i], func(o Tenant) bool { return o.Name == t.Name }):
			return bad("name", "%q is used twice", t.Name)
		case !(t.Share > 0 && t.Share < 1e9):
			return bad("share", "must be above 0")
		case !(t.Quota >= 0 && t.Quota < 1e9):
			return bad("quota", "must not be negative")
		}
		x.Tenants = append(x.Tenants, world.Tenant(t))
	}
	return nil
}

// checkServers validates the groups and adds their servers, with the names c1, c2, ... and opaque ids.
func (x *Experiment) checkServers(f *tomlfile.File) error {
	groups := []Group{}
	if x.Fleet.Count > 0 {
		g := x.Fleet.Group
		g.Count = x.Fleet.Count
		groups = append(groups, g)
	}
	for i, g := range x.File.Group {
		g = applyFleetDefaults(x.Fleet.Group, g, func(key string) bool { return f.Has("group", i, key) })
		if !f.Has("group", i, "count") {
			g.Count = 1
		}
		groups = append(groups, g)
	}
	for i, g := range groups {
		at := func(key string) []any {
			if x.Fleet.Count > 0 && i == 0 {
				return tomlfile.At("fleet", key)
			}
			return tomlfile.At("group", i-min(1, x.Fleet.Count), key)
		}
		switch {
		case g.Count < 1 || g.Count > 1000:
			return f.Errorf(at("count"), "must be 1 to 1000")
		case g.Cores < 1 || g.Cores > 1024:
			return f.Errorf(at("cores"), "must be 1 to 1024")
		case !(g.Speed > 0 && g.Speed < 1e6):
			return f.Errorf(at("speed"), "must be above 0")
		case g.Slots < 1 || g.Room < 0:
			return f.Errorf(at("slots"), "slots must be at least 1, and room must not be negative")
		case !(g.MemoryMB > 0 && g.MemoryMB < 1e6):
			return f.Errorf(at("memory_mb"), "must be above 0")
		case !(g.Weight >= 0 && g.Weight < 1e6):
			return f.Errorf(at("weight"), "must not be negative")
		case g.Kind == originKind:
			return f.Errorf(at("kind"), "%q is reserved for the origin", originKind)
		}
		for range g.Count {
			x.addServer(fmt.Sprintf("c%d", len(x.Servers)+1), g, false)
		}
	}
	return nil
}

const (
	originKind      = "origin"
	maxNodes        = 64   // each is a process on this machine
	maxVirtualNodes = 5000 // in virtual time
)

// OriginID returns the id of the origin in the server list.
func (x *Experiment) OriginID() string { return x.serverID("origin") }

func (x *Experiment) serverID(name string) string {
	return fmt.Sprintf("s-%08x", world.RandomStream(x.Seed, "server", name).Uint32())
}

func (x *Experiment) addServer(name string, g Group, later bool) *Server {
	s := &x.Service
	spec := world.CacheSpec{Name: name, Cores: g.Cores, Speed: g.Speed, Slots: g.Slots, QueueLimit: g.Room, MemoryBytes: int64(g.MemoryMB * (1 << 20)),
		WarmUp: s.WarmUp.D(), ColdFrom: s.ColdFrom, FallMultiple: s.FallMultiple, FallWindow: s.FallWindow.D(),
		ReportInterval: g.ReportEvery.D(), ReportNoise: g.ReportNoise, HandshakeWork: g.Handshake.D(), Through: s.Mode == "through",
		Coalesce: g.Coalesce, Lease: g.Lease.D(), IgnoresCancel: g.IgnoresCancel}
	x.Servers = append(x.Servers, Server{Name: name, ID: x.serverID(name), Spec: spec, Group: g, StartsLater: later,
		Member: world.Member{ID: x.serverID(name), Zone: g.Zone, Kind: g.Kind, Cell: g.Cell, Weight: g.Weight}})
	return &x.Servers[len(x.Servers)-1]
}

// applyFleetDefaults returns g with the values of the fleet for each key that the group does not set.
func applyFleetDefaults(fleet, g Group, has func(key string) bool) Group {
	out := fleet
	out.Count = g.Count
	set := func(key string, f func()) {
		if has(key) {
			f()
		}
	}
	set("kind", func() { out.Kind = g.Kind })
	set("zone", func() { out.Zone = g.Zone })
	set("cell", func() { out.Cell = g.Cell })
	set("weight", func() { out.Weight = g.Weight })
	set("cores", func() { out.Cores = g.Cores })
	set("speed", func() { out.Speed = g.Speed })
	set("slots", func() { out.Slots = g.Slots })
	set("room", func() { out.Room = g.Room })
	set("memory_mb", func() { out.MemoryMB = g.MemoryMB })
	set("report_every", func() { out.ReportEvery = g.ReportEvery })
	set("report_noise", func() { out.ReportNoise = g.ReportNoise })
	set("handshake", func() { out.Handshake = g.Handshake })
	set("way", func() { out.Way = g.Way })
	set("window", func() { out.Window = g.Window })
	set("max_conns", func() { out.MaxConns = g.MaxConns })
	set("coalesce", func() { out.Coalesce = g.Coalesce })
	set("lease", func() { out.Lease = g.Lease })
	set("keeps_work", func() { out.IgnoresCancel = g.IgnoresCancel })
	set("cold", func() { out.Cold = g.Cold })
	return out
}

// expandFaults draws the timeline and adds the servers that start during the run.
func (x *Experiment) expandFaults(f *tomlfile.File) error {
	var names, tenants []string
	for _, s := range x.Servers {
		names = append(names, s.Name)
	}
	for _, t := range x.Tenants {
		tenants = append(tenants, t.Name)
	}
	timeline, err := fault.Expand(x.Fault, fault.Deployment{Length: x.Length.D(), Servers: names, Nodes: x.Nodes.Count, Tenants: tenants, Endpoints: x.endpointCount(), Planners: x.Planners.Count}, x.Seed)
	var bad *fault.Error
	if errors.As(err, &bad) {
		return f.Errorf(tomlfile.At("fault", bad.Spec, bad.Key), "%s", bad.Why)
	}
	if err != nil {
		return err
	}
	x.Timeline = timeline
	for _, name := range timeline.NewServers {
		g := x.Servers[0].Group
		base, _, _ := strings.Cut(name, ".")
		for _, s := range x.Servers {
			if s.Name == base {
				g = s.Group // it replaces that server
			}
		}
		x.addServer(name, g, true)
	}
	return nil
}

func (x *Experiment) endpointCount() int {
	if !x.List.InRegistry() {
		return 0
	}
	return x.List.Endpoints
}

// parseExpectations reads [expect]: FIGURE_min and FIGURE_max are limits, and broken lists the rules that are to be broken.
func (x *Experiment) parseExpectations(f *tomlfile.File) error {
	for _, key := range sortedKeys(x.Expect) {
		at := tomlfile.At("expect", key)
		location := strings.SplitN(f.Errorf(at, "").Error(), ": ", 2)[0]
		if key == "broken" {
			list, ok := x.Expect[key].([]any)
			if !ok {
				return f.Errorf(at, "must be a list of rules; the rules are %s", strings.Join(judge.RuleNames, ", "))
			}
			for _, v := range list {
				name, _ := v.(string)
				if !slices.Contains(judge.RuleNames, name) {
					return f.Errorf(at, "%q is not a rule; the rules are %s", v, strings.Join(judge.RuleNames, ", "))
				}
				x.BrokenRules = append(x.BrokenRules, name)
			}
			continue
		}
		var limit float64
		switch v := x.Expect[key].(type) {
		case int64:
			limit = float64(v)
		case float64:
			limit = v
		default:
			return f.Errorf(at, "must be a number")
		}
		if math.IsNaN(limit) {
			return f.Errorf(at, "must be a number")
		}
		e := Expectation{Limit: limit, Location: location}
		var isMin, isMax bool
		if e.Figure, isMin = strings.CutSuffix(key, "_min"); !isMin {
			if e.Figure, isMax = strings.CutSuffix(key, "_max"); !isMax {
				return f.Errorf(at, "must end in _min or _max")
			}
		}
		e.IsMax = isMax
		x.Expectations = append(x.Expectations, e)
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	var all []string
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// Shortfall is an expectation that the run does not meet.
type Shortfall struct {
	Expectation
	Value     float64
	HasFigure bool
}

// String describes the shortfall in one line.
func (m Shortfall) String() string {
	word := "at least"
	if m.IsMax {
		word = "at most"
	}
	if !m.HasFigure {
		return fmt.Sprintf("%s: no figure %q", m.Location, m.Figure)
	}
	return fmt.Sprintf("%s: %s was %.4g, %s %.4g is wanted", m.Location, m.Figure, m.Value, word, m.Limit)
}

// Evaluate returns the expectations that the run does not meet, and the rules whose outcome differs from the expected one.
func (x *Experiment) Evaluate(v *judge.Verdict) (shortfalls []Shortfall, wrongRules []string) {
	for _, e := range x.Expectations {
		value, ok := v.Figures[e.Figure]
		if !ok || e.IsMax && value > e.Limit || !e.IsMax && value < e.Limit {
			shortfalls = append(shortfalls, Shortfall{e, value, ok})
		}
	}
	for _, name := range judge.RuleNames {
		want := slices.Contains(x.BrokenRules, name)
		switch {
		case v.ViolationCounts[name] > 0 && !want:
			wrongRules = append(wrongRules, name+" was broken")
		case v.ViolationCounts[name] == 0 && want:
			wrongRules = append(wrongRules, name+" was kept, but is expected to be broken")
		}
	}
	return shortfalls, wrongRules
}

// Arrivals draws all arrivals of the run.
func (x *Experiment) Arrivals() []world.Arrival {
	return world.NewSource(x.ClientSpec, x.Classes, x.Tenants, x.Timeline.Shapes, x.Seed, x.Length.D()).Plan()
}

// crowdDivisor is the part of a node's descriptors from which on misbehaving clients can keep others from it.
const crowdDivisor = 2

// crowded reports whether so many misbehaving clients come at a time.
func (x *Experiment) crowded() bool {
	return slices.ContainsFunc(x.Fault, func(f fault.Spec) bool { return f.Kind == "rude" && f.Count >= x.Nodes.Sockets/crowdDivisor })
}

// Rules returns the rules that the run is judged by.
func (x *Experiment) Rules() judge.Rules {
	s := &x.Service
	r := judge.Rules{Seed: x.Seed, Classes: x.Classes, Tenants: x.Tenants, Servers: map[string]world.Member{}, Crowded: x.crowded(), ParallelAttempts: *s.Parallel,
		MaxAttempts: s.Attempts, AnswerSlack: s.AnswerSlack.D(), DrainGrace: s.DrainGrace.D(), AskWithin: s.AskWithin.D(),
		OverQuotaWorth: s.OverShareWorth, Tolerance: x.Fleet.Tolerance.D(), ColdFrom: s.ColdFrom, WarmUp: s.WarmUp.D(),
		FallMultiple: s.FallMultiple, FallWindow: s.FallWindow.D(), OriginOverloadWindow: x.Origin.FallFor.D(), OriginKind: originKind,
		Length: x.Length.D()}
	if x.List.InRegistry() {
		r.HoldTime, r.HoldPart = x.List.Hold.D(), x.List.HoldPart
	}
	for _, v := range x.Servers {
		r.Servers[v.ID] = v.Member
	}
	return r
}

// Server returns the server with a name, or nil.
func (x *Experiment) Server(name string) *Server {
	for i := range x.Servers {
		if x.Servers[i].Name == name {
			return &x.Servers[i]
		}
	}
	return nil
}

// OriginSpec returns the parameters of the origin.
func (x *Experiment) OriginSpec() world.OriginSpec {
	o := &x.Origin
	window := time.Duration(0)
	for _, c := range x.Classes {
		window = max(window, c.Window)
	}
	return world.OriginSpec{Cores: o.Cores, Slots: o.Slots, QueueLimit: o.Room, Work: o.Work.D(), Sigma: o.Sigma, WriteFactor: o.WriteFactor,
		FallMultiple: o.FallMultiple, FallWindow: o.FallFor.D(), Downtime: o.Down.D(), DedupWindow: window, IgnoresCancel: o.IgnoresCancel}
}

// Settings returns the settings object of a node's configuration, with the names and units of the platform.
func (x *Experiment) Settings(node int) map[string]any {
	s := &x.Service
	ns := func(d Duration) int64 { return int64(d.D()) }
	var classes, tenants []any
	for _, c := range x.Classes {
		classes = append(classes, map[string]any{"Name": c.Name, "Effect": [...]string{"retryable", "dedup", "fragile"}[c.Effect],
			"DedupScope": [...]string{"all", "zone", "cell"}[c.Scope], "Aim": int64(c.Aim), "Deadline": int64(c.Deadline),
			"KeyTtl": int64(c.Window), "Worth": c.Worth, "LateShare": c.LateShare})
	}
	for _, t := range x.Tenants {
		tenants = append(tenants, map[string]any{"Name": t.Name, "QuotaPerS": t.Quota, "Fraction": t.Share})
	}
	kinds := []string{}
	for _, v := range x.Servers {
		if !slices.Contains(kinds, v.Group.Kind) {
			kinds = append(kinds, v.Group.Kind)
		}
	}
	info := map[string]any{"Mode": s.Mode, "OriginKind": -1, "OriginFallMultiple": x.Origin.FallMultiple, "OriginFall": ns(x.Origin.FallFor)}
	if s.Mode == "aside" && !x.Origin.None {
		kinds = append(kinds, originKind)
		info["OriginKind"] = len(kinds) - 1
	}
	feedback := map[string]any{"How": "off", "Fields": []string{}}
	if *s.Reports {
		feedback = map[string]any{"How": "inline", "Fields": []string{"load_share", "depth"}}
	}
	return map[string]any{
		"Balancers": x.Nodes.Count, "Position": node, "Tick": int64(5 * time.Millisecond), "Weights": s.Weights,
		"MembershipMode": "subscribe", "Models": kinds, "Classes": classes, "Tenants": tenants, "FamilyInfo": info,
		"Feedback": feedback, "OverShareWorth": s.OverShareWorth, "Clients": map[string]any{"MarksRetry": x.Clients.MarksRetry},
		"Guarantees": map[string]any{"AnswerSlack": ns(s.AnswerSlack), "AskWithin": ns(s.AskWithin), "ColdFrom": s.ColdFrom,
			"DrainGrace": ns(s.DrainGrace), "FallMultiple": s.FallMultiple, "OverloadFor": ns(s.FallWindow), "WarmUp": ns(s.WarmUp)},
		"Limits": map[string]any{"Cancel": *s.Cancel, "ConnIdle": ns(s.ConnIdle), "ConnectTimeout": ns(s.ConnectTimeout),
			"MaxRetryAfter": ns(s.MaxRetryAfter), "MayTell": false, "MostHeld": s.MaxHeld, "ParallelTries": *s.Parallel,
			"Probes": false, "RetryAfter": *s.RetryAfter, "SendCap": s.Attempts, "StreamsPerConn": s.PerConn},
	}
}
