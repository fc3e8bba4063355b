// Package operator reads the operator's file: what an installation sets for its nodes besides, or in place of, the
// platform's configuration. It is strict: an unknown key, a wrong unit or a senseless figure is one line with file, line
// and key. deploy/lapisshelf.toml shows every key with its unit, default and bounds.
package operator

import (
	"net/netip"
	"strings"
	"time"

	"lapisshelf/internal/settings"
	"lapisshelf/internal/tomlfile"
	"lapisshelf/policy"
)

// Duration is a time span as in "250ms".
type Duration = tomlfile.Duration

// File is the operator's file. A table that does not stand there leaves its subsystem off; of the platform's own
// configuration, what that tells wins.
type File struct {
	Node     Node
	Service  *Service
	Class    []Class
	Tenant   []Tenant
	Registry *Registry `toml:"registry"`
	Announce *Announce
	Planners *Planners
	Planner  *Planner

	file *tomlfile.File
}

// Node is what one node is told of itself.
type Node struct {
	Name      string
	Listen    string
	Discovery string
	Control   string
	StateDir  string `toml:"state_dir"`
	Seed      uint64
	MemoryMB  int `toml:"memory_mb"`
	Sockets   int
}

// Service is what the platform's settings object tells elsewhere.
type Service struct {
	Mode               string
	OriginKind         string `toml:"origin_kind"`
	OriginFalls        bool   `toml:"origin_falls"`
	Balancers          int
	Position           int
	Zone               string
	Attempts           int
	Parallel           bool
	Cancel             bool
	Weighted           bool
	Probes             bool
	MaxRetryAfter      Duration `toml:"max_retry_after"`
	AskWithin          Duration `toml:"ask_within"`
	WarmUp             Duration `toml:"warm_up"`
	ColdFrom           float64  `toml:"cold_from"`
	FallMultiple       float64  `toml:"fall_multiple"`
	FallWindow         Duration `toml:"fall_window"`
	ConnIdle           Duration `toml:"conn_idle"`
	ConnectTimeout     Duration `toml:"connect_timeout"`
	MaxRequestsPerConn int      `toml:"per_conn"`
	MaxRequests        int      `toml:"most_held"`
	Tick               Duration
}

// Class is a class of requests.
type Class struct {
	Name     string
	Effect   string
	Scope    string
	Window   Duration
	Aim      Duration
	Deadline Duration
	Worth    float64
}

// Tenant is one who shares the service.
type Tenant struct {
	Name  string
	Quota float64
}

// Bounds of single figures; deploy/lapisshelf.toml tells them.
const (
	fewestMB      = 8
	fewestSockets = 64
	longestZone   = 64 // bytes
	longest       = time.Hour
)

// defaults are the figures of a small installation.
func defaults() Service {
	ms := func(n int) Duration { return tomlfile.NewDuration(time.Duration(n) * time.Millisecond) }
	return Service{Mode: "aside", OriginKind: "origin", OriginFalls: true, Balancers: 1, Attempts: 3, Cancel: true, Weighted: true,
		AskWithin: ms(4000), WarmUp: ms(10000), ColdFrom: 0.2, FallMultiple: 3, FallWindow: ms(1500), ConnIdle: ms(30000),
		ConnectTimeout: ms(250), MaxRequestsPerConn: 8, MaxRequests: 5000, Tick: ms(5)}
}

// Read reads a file.
func Read(path string) (*File, error) {
	text, err := tomlfile.ReadText(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, text)
}

// Decode reads text, which stands in the file of that path.
func Decode(path string, text []byte) (*File, error) {
	f := &File{}
	// The table is looked for first: its defaults are in force only where it stands.
	var probe File
	t, err := tomlfile.Decode(path, text, &probe)
	if err != nil {
		return nil, err
	}
	if t.Has("service") {
		d := defaults()
		f.Service = &d
	}
	if t.Has("registry") {
		d := registryDefaults()
		f.Registry = &d
	}
	if t.Has("announce") {
		d := announceDefaults()
		f.Announce = &d
	}
	if t.Has("planners") {
		d := plannersDefaults()
		f.Planners = &d
	}
	if t.Has("planner") {
		d := plannerDefaults()
		f.Planner = &d
	}
	if f.file, err = tomlfile.Decode(path, text, f); err != nil {
		return nil, err
	}
	return f, f.check()
}

// rule is one thing that may be wrong in a file.
type rule struct {
	bad  bool
	at   []any
	text string
}

// first gives the first rule that is broken.
func (f *File) first(rules ...rule) error {
	for _, r := range rules {
		if r.bad {
			return f.file.Errorf(r.at, "%s", r.text)
		}
	}
	return nil
}

func (f *File) check() error {
	at := tomlfile.At
	address := func(text string) bool {
		_, err := netip.ParseAddrPort(text)
		return text != "" && err != nil
	}
	n := &f.Node
	if err := f.first(
		rule{address(n.Listen), at("node", "listen"), "must be an address and a port, such as 127.0.0.1:11211"},
		rule{address(n.Discovery), at("node", "discovery"), "must be an address and a port, such as 127.0.0.1:8500"},
		rule{address(n.Control), at("node", "control"), "must be an address and a port, such as 127.0.0.1:9901"},
		rule{n.Control != "" && n.Control == n.Listen, at("node", "control"), "must not be the address that clients connect to"},
		rule{n.MemoryMB != 0 && n.MemoryMB < fewestMB, at("node", "memory_mb"), "must be at least 8"},
		rule{n.Sockets != 0 && n.Sockets < fewestSockets, at("node", "sockets"), "must be at least 64"},
		rule{f.Service == nil && len(f.Class) > 0, at("class", 0), "classes need a [service] table"},
		rule{f.Service == nil && len(f.Tenant) > 0, at("tenant", 0), "tenants need a [service] table"},
		rule{f.Service != nil && len(f.Class) == 0, at("service"), "a service needs a [[class]] of requests"},
	); err != nil {
		return err
	}
	if err := f.checkRegistry(); err != nil {
		return err
	}
	if err := f.checkPlanners(); err != nil {
		return err
	}
	if err := f.checkAnnounce(); err != nil || f.Service == nil {
		return err
	}
	s := f.Service
	span := func(d Duration, key string) rule {
		return rule{d.D() < 0 || d.D() > longest, at("service", key), "must be 0s to 1h"}
	}
	if err := f.first(
		rule{s.Mode != "aside" && s.Mode != "through", at("service", "mode"), "must be aside or through"},
		rule{s.Balancers < 1 || s.Balancers > 100000, at("service", "balancers"), "must be 1 to 100000"},
		rule{s.Position < 0 || s.Position >= s.Balancers, at("service", "position"), "must be 0 to one less than balancers"},
		rule{!ValidZone(s.Zone), at("service", "zone"), "must be a zone's name of 64 bytes at most, without blanks"},
		rule{s.Attempts < 1 || s.Attempts > 100, at("service", "attempts"), "must be 1 to 100"},
		rule{!(s.ColdFrom > 0 && s.ColdFrom <= 1), at("service", "cold_from"), "must be above 0 and at most 1"},
		rule{!(s.FallMultiple > 0 && s.FallMultiple <= 1000), at("service", "fall_multiple"), "must be above 0 and at most 1000"},
		rule{s.MaxRequestsPerConn < 1 || s.MaxRequestsPerConn > 100000, at("service", "per_conn"), "must be 1 to 100000"},
		rule{s.MaxRequests < 1, at("service", "most_held"), "must be at least 1"},
		rule{s.Tick.D() < time.Millisecond || s.Tick.D() > time.Second, at("service", "tick"), "must be 1ms to 1s"},
		span(s.MaxRetryAfter, "max_retry_after"), span(s.AskWithin, "ask_within"), span(s.WarmUp, "warm_up"),
		span(s.FallWindow, "fall_window"), span(s.ConnIdle, "conn_idle"), span(s.ConnectTimeout, "connect_timeout"),
	); err != nil {
		return err
	}
	names := map[string]bool{}
	for i, c := range f.Class {
		_, effect := effects[c.Effect]
		_, scope := scopes[c.Scope]
		if err := f.first(
			rule{c.Name == "" || names[c.Name], at("class", i, "name"), "must be a name that no other class has"},
			rule{!effect, at("class", i, "effect"), "must be safe, keyed or unsafe"},
			rule{!scope, at("class", i, "scope"), "must be all, zone or cell"},
			rule{c.Aim.D() <= 0 || c.Aim.D() > longest, at("class", i, "aim"), "must be above 0s and at most 1h"},
			rule{c.Deadline.D() < c.Aim.D() || c.Deadline.D() > longest, at("class", i, "deadline"), "must be at least the aim and at most 1h"},
			rule{c.Window.D() < 0 || effects[c.Effect] == policy.Keyed && c.Window.D() == 0, at("class", i, "window"), "a keyed class needs a time above 0s"},
			rule{!(c.Worth >= 0 && c.Worth < 1e9), at("class", i, "worth"), "must be 0 to 1000000000"},
		); err != nil {
			return err
		}
		names[c.Name] = true
	}
	names = map[string]bool{}
	for i, t := range f.Tenant {
		if err := f.first(
			rule{t.Name == "" || names[t.Name], at("tenant", i, "name"), "must be a name that no other tenant has"},
			rule{!(t.Quota >= 0 && t.Quota < 1e9), at("tenant", i, "quota"), "must be 0 to 1000000000"},
		); err != nil {
			return err
		}
		names[t.Name] = true
	}
	return nil
}

// ValidZone reports whether a text may stand for a zone; the empty one stands for none.
func ValidZone(s string) bool {
	return len(s) <= longestZone && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

var (
	effects = map[string]policy.Effect{"": policy.Safe, "safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}
	scopes  = map[string]policy.Scope{"": policy.ScopeAll, "all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}
)

// Settings are the file's in the form that the platform's settings object has after decoding; false without [service].
func (f *File) Settings() (policy.Settings, settings.Transport, bool) {
	s := f.Service
	if s == nil {
		return policy.Settings{}, settings.Transport{}, false
	}
	set := policy.Settings{OriginKind: s.OriginKind, OriginFalls: s.OriginFalls, Balancers: s.Balancers,
		MustSubscribe: true, AskWithin: s.AskWithin.D(), Tick: s.Tick.D(), MaxAttempts: s.Attempts, Parallel: s.Parallel, MayCancel: s.Cancel,
		RetryAfterLimit: s.MaxRetryAfter.D(), ColdFrom: s.ColdFrom, WarmUp: s.WarmUp.D(), FallMultiple: s.FallMultiple,
		FallWindow: s.FallWindow.D(), Weighted: s.Weighted, MayProbe: s.Probes, Zone: s.Zone}
	if s.Mode == "aside" {
		set.Mode = policy.Aside
	}
	t := settings.Transport{ConnIdle: s.ConnIdle.D(), ConnectTimeout: s.ConnectTimeout.D(), MaxRequestsPerConn: s.MaxRequestsPerConn, MaxRequests: s.MaxRequests,
		Deadlines: map[string]time.Duration{}}
	for _, c := range f.Class {
		worth := c.Worth
		if worth == 0 {
			worth = 1
		}
		set.Classes = append(set.Classes, policy.Class{Name: c.Name, Aim: c.Aim.D(), Worth: worth, Effect: effects[c.Effect],
			Scope: scopes[c.Scope], Window: c.Window.D()})
		t.Deadlines[c.Name] = c.Deadline.D()
	}
	for _, x := range f.Tenant {
		set.Tenants = append(set.Tenants, policy.Tenant(x))
	}
	return set, t, true
}
