package operator

import (
	"cmp"
	"crypto/tls"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"lapisshelf/decide/plan"
	"lapisshelf/internal/forwarder"
	"lapisshelf/internal/keys"
	"lapisshelf/internal/planner"
	"lapisshelf/internal/registry"
	"lapisshelf/internal/tomlfile"
)

// Planners makes a node a forwarder, which sends digests of what it observes to planners and applies their views.
type Planners struct {
	Addresses      []string
	CAFile         string   `toml:"ca_file"`
	CertFile       string   `toml:"cert_file"`
	KeyFile        string   `toml:"key_file"`
	DigestInterval Duration `toml:"every"`
	FadeTime       Duration `toml:"fade"` // time over which an expired view loses its effect
}

// Planner holds the settings of `lapisshelf plan`.
type Planner struct {
	ID             string
	Listen         string
	Gossip         string
	Join           []string
	GossipKeyFile  string   `toml:"gossip_key_file"`
	CAFile         string   `toml:"ca_file"`
	CertFile       string   `toml:"cert_file"`
	KeyFile        string   `toml:"key_file"`
	ViewInterval   Duration `toml:"every"`
	ViewValidity   Duration `toml:"valid"`
	SilenceTimeout Duration `toml:"silent"` // a forwarder that sends nothing for this long is forgotten
	MaxMove        float64  `toml:"move"`   // max fraction of the keys that changes of weights move in a second
	MaxForwarders  int      `toml:"forwarders"`
	LeasePrefix    string   `toml:"lease"`
	LeaseTTL       Duration `toml:"ttl"`
	Snapshot       string
	SnapshotAge    Duration `toml:"snapshot_age"`
}

func plannersDefaults() Planners {
	return Planners{DigestInterval: tomlfile.NewDuration(time.Second), FadeTime: tomlfile.NewDuration(10 * time.Second)}
}

func plannerDefaults() Planner {
	return Planner{ViewInterval: tomlfile.NewDuration(500 * time.Millisecond), ViewValidity: tomlfile.NewDuration(3 * time.Second), SilenceTimeout: tomlfile.NewDuration(5 * time.Second),
		LeasePrefix: "lapisshelf/planners/", LeaseTTL: tomlfile.NewDuration(10 * time.Second), MaxMove: 0.05, MaxForwarders: 4096, SnapshotAge: tomlfile.NewDuration(30 * time.Second)}
}

const maxPlanners = 16

// checkPlanners checks the tables [planners] and [planner].
func (f *File) checkPlanners() error {
	badAddress := func(text string) bool {
		_, err := netip.ParseAddrPort(text)
		return err != nil
	}
	if p := f.Planners; p != nil {
		at := func(key string, more ...any) []any { return append(tomlfile.At("planners", key), more...) }
		if err := f.firstViolation(
			rule{len(p.Addresses) == 0 || len(p.Addresses) > maxPlanners, at("addresses"), "must name 1 to 16 addresses"},
			rule{p.CAFile == "" || p.CertFile == "" || p.KeyFile == "", at("cert_file"), "ca_file, cert_file and key_file are needed: lapisshelf keys makes them"},
			rule{p.DigestInterval.D() < 100*time.Millisecond || p.DigestInterval.D() > time.Minute/2, at("every"), "must be 100ms to 30s"},
			rule{p.FadeTime.D() < time.Second || p.FadeTime.D() > maxDuration, at("fade"), "must be 1s to 1h"},
		); err != nil {
			return err
		}
		for i, a := range p.Addresses {
			if badAddress(a) {
				return f.source.Errorf(at("addresses", i), "must be an address and a port, such as 127.0.0.1:7400")
			}
		}
	}
	p := f.Planner
	if p == nil {
		return nil
	}
	at := func(key string, more ...any) []any { return append(tomlfile.At("planner", key), more...) }
	if err := f.firstViolation(
		rule{p.ID == "" || len(p.ID) > plan.MaxIDLength || strings.ContainsAny(p.ID, " \r\n\x00"), at("id"), "must be a name of its own, without spaces"},
		rule{badAddress(p.Listen), at("listen"), "must be an address and a port, such as 127.0.0.1:7400"},
		rule{p.Gossip != "" && badAddress(p.Gossip), at("gossip"), "must be an address and a port, such as 127.0.0.1:7401"},
		rule{len(p.Join) > 0 && p.Gossip == "", at("join"), "needs gossip"},
		rule{p.Gossip != "" && p.GossipKeyFile == "", at("gossip"), "needs gossip_key_file: lapisshelf keys makes it"},
		rule{p.CAFile == "" || p.CertFile == "" || p.KeyFile == "", at("cert_file"), "ca_file, cert_file and key_file are needed: lapisshelf keys makes them"},
		rule{p.ViewInterval.D() < 50*time.Millisecond || p.ViewInterval.D() > 10*time.Second, at("every"), "must be 50ms to 10s"},
		rule{p.ViewValidity.D() < 2*p.ViewInterval.D() || p.ViewValidity.D() > plan.MaxValidity, at("valid"), "must be twice every to 100s"},
		rule{p.SilenceTimeout.D() < time.Second || p.SilenceTimeout.D() > maxDuration, at("silent"), "must be 1s to 1h"},
		rule{!(p.MaxMove > 0 && p.MaxMove <= 1), at("move"), "must be above 0 and at most 1"},
		rule{p.MaxForwarders < 1 || p.MaxForwarders > 100000, at("forwarders"), "must be 1 to 100000"},
		rule{strings.ContainsAny(p.LeasePrefix, "\r\n\x00") || f.Registry != nil && p.LeasePrefix != "" && strings.HasPrefix(p.LeasePrefix, f.Registry.Prefix), at("lease"),
			"must be the prefix of the planners' keys, not within registry.prefix"},
		rule{p.LeaseTTL.D() < time.Second || p.LeaseTTL.D() > maxDuration, at("ttl"), "must be 1s to 1h"},
		rule{p.SnapshotAge.D() < time.Second || p.SnapshotAge.D() > 24*time.Hour, at("snapshot_age"), "must be 1s to 24h"},
	); err != nil {
		return err
	}
	for i, a := range p.Join {
		if badAddress(a) {
			return f.source.Errorf(at("join", i), "must be an address and a port, such as 127.0.0.1:7401")
		}
	}
	return nil
}

// resolvePath resolves a path in the file, relative to the file's folder.
func (f *File) resolvePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(f.source.Path), path)
}

// ForwarderConfig returns the configuration of a forwarder, or nil without [planners]. It reads the certificates.
func (f *File) ForwarderConfig() (*forwarder.Config, error) {
	p := f.Planners
	if p == nil {
		return nil, nil
	}
	c := &forwarder.Config{Interval: p.DigestInterval.D(), Fade: p.FadeTime.D()}
	for _, a := range p.Addresses {
		c.Planners = append(c.Planners, netip.MustParseAddrPort(a)) // validated by Decode
	}
	pair, err := keys.Load(f.resolvePath(p.CAFile), f.resolvePath(p.CertFile), f.resolvePath(p.KeyFile))
	if err != nil {
		return nil, f.source.Errorf(tomlfile.At("planners", "cert_file"), "%v", err)
	}
	c.TLS = pair.ClientConfig(keys.Planner)
	return c, nil
}

// PlannerConfig returns the configuration of a planner, or an error without [planner]. It reads the certificates.
func (f *File) PlannerConfig() (planner.Config, error) {
	p := f.Planner
	if p == nil {
		return planner.Config{}, f.source.Errorf(nil, "needs a [planner] table for `lapisshelf plan`")
	}
	if f.Service == nil {
		return planner.Config{}, f.source.Errorf(tomlfile.At("planner"), "needs a [service] table with the same settings as the forwarders")
	}
	set, _, _ := f.Settings()
	var control netip.AddrPort
	if f.Node.Control != "" {
		control = netip.MustParseAddrPort(f.Node.Control) // validated by Decode
	}
	c := planner.Config{Listen: netip.MustParseAddrPort(p.Listen), Control: control, Join: p.Join, Interval: p.ViewInterval.D(), Snapshot: f.resolvePath(p.Snapshot),
		MaxSnapshotAge: p.SnapshotAge.D(), Plan: plan.Config{ID: p.ID, Valid: p.ViewValidity.D(), Silent: p.SilenceTimeout.D(), Move: p.MaxMove, Forwarders: p.MaxForwarders,
			Mode: set.Mode, OriginKind: set.OriginKind, Weighted: set.Weighted, ColdFrom: set.ColdFrom, WarmUp: set.WarmUp,
			FallMultiple: set.FallMultiple, FallWindow: set.FallWindow}}
	if !set.OriginFalls {
		c.Plan.FallMultiple = 0
	}
	if p.Gossip != "" {
		c.Gossip = netip.MustParseAddrPort(p.Gossip)
		secret, err := keys.LoadGossipKey(f.resolvePath(p.GossipKeyFile))
		if err != nil {
			return c, f.source.Errorf(tomlfile.At("planner", "gossip_key_file"), "%v", err)
		}
		c.GossipKey = secret
	}
	registryConfig, err := f.RegistryConfig()
	if err != nil {
		return c, err
	}
	if registryConfig == nil {
		addr, err := netip.ParseAddrPort(cmp.Or(f.Node.Discovery, "none"))
		if err != nil {
			return c, f.source.Errorf(tomlfile.At("planner"), "needs the server list: node.discovery or a [registry] table")
		}
		registryConfig = &registry.Config{Kind: registry.Discovery, Endpoints: []netip.AddrPort{addr}}
	}
	c.Registry = *registryConfig
	if c.Registry.Kind != registry.Discovery { // discovery has no leases
		c.LeasePrefix, c.LeaseTTL = p.LeasePrefix, p.LeaseTTL.D()
	}
	loadTLS := func() (*tls.Config, error) {
		pair, err := keys.Load(f.resolvePath(p.CAFile), f.resolvePath(p.CertFile), f.resolvePath(p.KeyFile))
		if err != nil {
			return nil, f.source.Errorf(tomlfile.At("planner", "cert_file"), "%v", err)
		}
		return pair.ServerConfig(keys.Forwarder), nil
	}
	c.Certificates = loadTLS
	_, err = loadTLS()
	return c, err
}

// EachFile calls visit for each key that holds the path of a file. A relative path is relative to the folder of the operator's
// file.
func (f *File) EachFile(visit func(key string, file *string)) {
	if r := f.Registry; r != nil {
		visit("registry.token_file", &r.TokenFile)
		visit("registry.ca_file", &r.CAFile)
		visit("registry.cert_file", &r.CertFile)
		visit("registry.key_file", &r.KeyFile)
	}
	if p := f.Planners; p != nil {
		visit("planners.ca_file", &p.CAFile)
		visit("planners.cert_file", &p.CertFile)
		visit("planners.key_file", &p.KeyFile)
	}
	if p := f.Planner; p != nil {
		visit("planner.ca_file", &p.CAFile)
		visit("planner.cert_file", &p.CertFile)
		visit("planner.key_file", &p.KeyFile)
		visit("planner.gossip_key_file", &p.GossipKeyFile)
		visit("planner.snapshot", &p.Snapshot)
	}
}
