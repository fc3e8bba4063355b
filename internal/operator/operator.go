// Package operator reads the operator's file: the settings of an installation's nodes in addition to, or in place of, the
// platform's configuration. Decoding is strict: an unknown key, a wrong unit or a value out of range is an error of one line
// with file, line and key. deploy/lapisshelf.toml shows every key with its unit, default and range.
package operator

import (
	"net/netip"
	"strings"
	"time"

	"lapisshelf/internal/settings"
	"lapisshelf/internal/tomlfile"
	"lapisshelf/policy"
)

// Duration is a duration as written in the file, such as "250ms".
type Duration = tomlfile.Duration

// File is the operator's file. A subsystem whose table is missing is off. Where the platform's configuration sets the same
// thing, it takes precedence. In this struct and in those of the tables, a field without a tag has its name in lower case as
// its key.
type File struct {
	Node     Node
	Service  *Service
	Class    []Class
	Tenant   []Tenant
	Registry *Registry `toml:"registry"`
	Announce *Announce
	Planners *Planners
	Planner  *Planner

	source *tomlfile.File
}

// Node holds the settings of one node.
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

// Service takes the place of the platform's settings object.
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

// Class is a request class.
type Class struct {
	Name     string
	Effect   string
	Scope    string
	Window   Duration
	Aim      Duration
	Deadline Duration
	Worth    float64
}

// Tenant is one of the users that share the service.
type Tenant struct {
	Name  string
	Quota float64
}

// Bounds of values, documented in deploy/lapisshelf.toml.
const (
	minMemoryMB  = 8
	minSockets   = 64
	maxZoneBytes = 64 // bytes
	maxDuration  = time.Hour
)

// defaults returns the defaults of [service], which suit a small installation.
func defaults() Service {
	ms := func(n int) Duration { return tomlfile.NewDuration(time.Duration(n) * time.Millisecond) }
	return Service{Mode: "aside", OriginKind: "origin", OriginFalls: true, Balancers: 1, Attempts: 3, Cancel: true, Weighted: true,
		AskWithin: ms(4000), WarmUp: ms(10000), ColdFrom: 0.2, FallMultiple: 3, FallWindow: ms(1500), ConnIdle: ms(30000),
		ConnectTimeout: ms(250), MaxRequestsPerConn: 8, MaxRequests: 5000, Tick: ms(5)}
}

// Read reads and checks the operator's file at path.
func Read(path string) (*File, error) {
	text, err := tomlfile.ReadText(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, text)
}

// Decode decodes and checks text, the content of the operator's file at path.
func Decode(path string, text []byte) (*File, error) {
	f := &File{}
	// A first pass finds the tables, since the defaults of a table apply only where it is present.
	var scan File
	t, err := tomlfile.Decode(path, text, &scan)
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
	if f.source, err = tomlfile.Decode(path, text, f); err != nil {
		return nil, err
	}
	return f, f.validate()
}

// rule is one check of a file.
type rule struct {
	violated bool
	path     []any
	message  string
}

// firstViolation returns the error for the first violated rule, or nil.
func (f *File) firstViolation(rules ...rule) error {
	for _, r := range rules {
		if r.violated {
			return f.source.Errorf(r.path, "%s", r.message)
		}
	}
	return nil
}

func (f *File) validate() error {
	at := tomlfile.At
	badAddress := func(text string) bool {
		_, err := netip.ParseAddrPort(text)
		return text != "" && err != nil
	}
	n := &f.Node
	if err := f.firstViolation(
		rule{badAddress(n.Listen), at("node", "listen"), "must be an address and a port, such as 127.0.0.1:11211"},
		rule{badAddress(n.Discovery), at("node", "discovery"), "must be an address and a port, such as 127.0.0.1:8500"},
		rule{badAddress(n.Control), at("node", "control"), "must be an address and a port, such as 127.0.0.1:9901"},
		rule{n.Control != "" && n.Control == n.Listen, at("node", "control"), "must not be the address that clients connect to"},
		rule{n.MemoryMB != 0 && n.MemoryMB < minMemoryMB, at("node", "memory_mb"), "must be at least 8"},
		rule{n.Sockets != 0 && n.Sockets < minSockets, at("node", "sockets"), "must be at least 64"},
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
	durationRule := func(d Duration, key string) rule {
		return rule{d.D() < 0 || d.D() > maxDuration, at("service", key), "must be 0s to 1h"}
	}
	if err := f.firstViolation(
		rule{s.Mode != "aside" && s.Mode != "through", at("service", "mode"), "must be aside or through"},
		rule{s.Balancers < 1 || s.Balancers > 100000, at("service", "balancers"), "must be 1 to 100000"},
		rule{s.Position < 0 || s.Position >= s.Balancers, at("service", "position"), "must be 0 to one less than balancers"},
		rule{!ValidZone(s.Zone), at("service", "zone"), "must be a zone's name of at most 64 bytes, without blanks"},
		rule{s.Attempts < 1 || s.Attempts > 100, at("service", "attempts"), "must be 1 to 100"},
		rule{!(s.ColdFrom > 0 && s.ColdFrom <= 1), at("service", "cold_from"), "must be above 0 and at most 1"},
		rule{!(s.FallMultiple > 0 && s.FallMultiple <= 1000), at("service", "fall_multiple"), "must be above 0 and at most 1000"},
		rule{s.MaxRequestsPerConn < 1 || s.MaxRequestsPerConn > 100000, at("service", "per_conn"), "must be 1 to 100000"},
		rule{s.MaxRequests < 1, at("service", "most_held"), "must be at least 1"},
		rule{s.Tick.D() < time.Millisecond || s.Tick.D() > time.Second, at("service", "tick"), "must be 1ms to 1s"},
		durationRule(s.MaxRetryAfter, "max_retry_after"), durationRule(s.AskWithin, "ask_within"), durationRule(s.WarmUp, "warm_up"),
		durationRule(s.FallWindow, "fall_window"), durationRule(s.ConnIdle, "conn_idle"), durationRule(s.ConnectTimeout, "connect_timeout"),
	); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, c := range f.Class {
		_, effect := effects[c.Effect]
		_, scope := scopes[c.Scope]
		if err := f.firstViolation(
			rule{c.Name == "" || seen[c.Name], at("class", i, "name"), "must be a name that no other class has"},
			rule{!effect, at("class", i, "effect"), "must be safe, keyed or unsafe"},
			rule{!scope, at("class", i, "scope"), "must be all, zone or cell"},
			rule{c.Aim.D() <= 0 || c.Aim.D() > maxDuration, at("class", i, "aim"), "must be above 0s and at most 1h"},
			rule{c.Deadline.D() < c.Aim.D() || c.Deadline.D() > maxDuration, at("class", i, "deadline"), "must be at least the aim and at most 1h"},
			rule{c.Window.D() < 0 || effects[c.Effect] == policy.Keyed && c.Window.D() == 0, at("class", i, "window"), "a keyed class needs a duration above 0s"},
			rule{!(c.Worth >= 0 && c.Worth < 1e9), at("class", i, "worth"), "must be 0 to 1000000000"},
		); err != nil {
			return err
		}
		seen[c.Name] = true
	}
	seen = map[string]bool{}
	for i, t := range f.Tenant {
		if err := f.firstViolation(
			rule{t.Name == "" || seen[t.Name], at("tenant", i, "name"), "must be a name that no other tenant has"},
			rule{!(t.Quota >= 0 && t.Quota < 1e9), at("tenant", i, "quota"), "must be 0 to 1000000000"},
		); err != nil {
			return err
		}
		seen[t.Name] = true
	}
	return nil
}

// ValidZone reports whether s is a valid name of a zone. The empty string is valid and means no zone.
func ValidZone(s string) bool {
	return len(s) <= maxZoneBytes && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

var (
	effects = map[string]policy.Effect{"": policy.Safe, "safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}
	scopes  = map[string]policy.Scope{"": policy.ScopeAll, "all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}
)

// Settings returns the file's settings in the form that package settings decodes the platform's settings object into. It
// returns false without [service].
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
