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

// Planners makes a node a forwarder: it tells planners what it sees, and acts on their views.
type Planners struct {
	Addresses      []string
	CAFile         string   `toml:"ca_file"`
	CertFile       string   `toml:"cert_file"`
	KeyFile        string   `toml:"key_file"`
	DigestInterval Duration `toml:"every"`
	FadeTime       Duration `toml:"fade"`
}

// Planner is what `lapisshelf plan` is told of itself.
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
	SilenceTimeout Duration `toml:"silent"`
	MaxMove        float64  `toml:"move"`
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

const mostPlanners = 16

// checkPlanners checks both tables.
func (f *File) checkPlanners() error {
	address := func(text string) bool {
		_, err := netip.ParseAddrPort(text)
		return err != nil
	}
	if p := f.Planners; p != nil {
		at := func(key string, more ...any) []any { return append(tomlfile.At("planners", key), more...) }
		if err := f.first(
			rule{len(p.Addresses) == 0 || len(p.Addresses) > mostPlanners, at("addresses"), "must name 1 to 16 addresses"},
			rule{p.CAFile == "" || p.CertFile == "" || p.KeyFile == "", at("cert_file"), "ca_file, cert_file and key_file are needed: lapisshelf keys makes them"},
			rule{p.DigestInterval.D() < 100*time.Millisecond || p.DigestInterval.D() > time.Minute/2, at("every"), "must be 100ms to 30s"},
			rule{p.FadeTime.D() < time.Second || p.FadeTime.D() > longest, at("fade"), "must be 1s to 1h"},
		); err != nil {
			return err
		}
		for i, a := range p.Addresses {
			if address(a) {
				return f.file.Errorf(at("addresses", i), "must be an address and a port, such as 127.0.0.1:7400")
			}
		}
	}
	p := f.Planner
	if p == nil {
		return nil
	}
	at := func(key string, more ...any) []any { return append(tomlfile.At("planner", key), more...) }
	if err := f.first(
		rule{p.ID == "" || len(p.ID) > plan.MaxIDLength || strings.ContainsAny(p.ID, " \r\n\x00"), at("id"), "must be a name of its own, without spaces"},
		rule{address(p.Listen), at("listen"), "must be an address and a port, such as 127.0.0.1:7400"},
		rule{p.Gossip != "" && address(p.Gossip), at("gossip"), "must be an address and a port, such as 127.0.0.1:7401"},
		rule{len(p.Join) > 0 && p.Gossip == "", at("join"), "needs gossip"},
		rule{p.Gossip != "" && p.GossipKeyFile == "", at("gossip"), "needs gossip_key_file: lapisshelf keys makes it"},
		rule{p.CAFile == "" || p.CertFile == "" || p.KeyFile == "", at("cert_file"), "ca_file, cert_file and key_file are needed: lapisshelf keys makes them"},
		rule{p.ViewInterval.D() < 50*time.Millisecond || p.ViewInterval.D() > 10*time.Second, at("every"), "must be 50ms to 10s"},
		rule{p.ViewValidity.D() < 2*p.ViewInterval.D() || p.ViewValidity.D() > plan.MaxValidity, at("valid"), "must be twice every to 100s"},
		rule{p.SilenceTimeout.D() < time.Second || p.SilenceTimeout.D() > longest, at("silent"), "must be 1s to 1h"},
		rule{!(p.MaxMove > 0 && p.MaxMove <= 1), at("move"), "must be above 0 and at most 1"},
		rule{p.MaxForwarders < 1 || p.MaxForwarders > 100000, at("forwarders"), "must be 1 to 100000"},
		rule{strings.ContainsAny(p.LeasePrefix, "\r\n\x00") || f.Registry != nil && p.LeasePrefix != "" && strings.HasPrefix(p.LeasePrefix, f.Registry.Prefix), at("lease"),
			"must be what the keys of planners begin with, not within registry.prefix"},
		rule{p.LeaseTTL.D() < time.Second || p.LeaseTTL.D() > longest, at("ttl"), "must be 1s to 1h"},
		rule{p.SnapshotAge.D() < time.Second || p.SnapshotAge.D() > 24*time.Hour, at("snapshot_age"), "must be 1s to 24h"},
	); err != nil {
		return err
	}
	for i, a := range p.Join {
		if address(a) {
			return f.file.Errorf(at("join", i), "must be an address and a port, such as 127.0.0.1:7401")
		}
	}
	return nil
}

// beside is where a file named in this one is.
func (f *File) beside(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(f.file.Path), path)
}

// ForwarderConfig is the configuration of a forwarder; nil without [planners]. It reads the certificates.
func (f *File) ForwarderConfig() (*forwarder.Config, error) {
	p := f.Planners
	if p == nil {
		return nil, nil
	}
	c := &forwarder.Config{Every: p.DigestInterval.D(), Fade: p.FadeTime.D()}
	for _, a := range p.Addresses {
		c.Planners = append(c.Planners, netip.MustParseAddrPort(a)) // checked with the file
	}
	pair, err := keys.Load(f.beside(p.CAFile), f.beside(p.CertFile), f.beside(p.KeyFile))
	if err != nil {
		return nil, f.file.Errorf(tomlfile.At("planners", "cert_file"), "%v", err)
	}
	c.TLS = pair.Client(keys.Planner)
	return c, nil
}

// PlannerConfig is the configuration of a planner; an error without [planner]. It reads the certificates.
func (f *File) PlannerConfig() (planner.Config, error) {
	p := f.Planner
	if p == nil {
		return planner.Config{}, f.file.Errorf(nil, "needs a [planner] table to plan")
	}
	if f.Service == nil {
		return planner.Config{}, f.file.Errorf(tomlfile.At("planner"), "needs a [service] table: what the forwarders are told")
	}
	set, _, _ := f.Settings()
	var control netip.AddrPort
	if f.Node.Control != "" {
		control = netip.MustParseAddrPort(f.Node.Control) // checked with the file
	}
	c := planner.Config{Listen: netip.MustParseAddrPort(p.Listen), Control: control, Join: p.Join, Every: p.ViewInterval.D(), Snapshot: f.beside(p.Snapshot),
		SnapshotAge: p.SnapshotAge.D(), Plan: plan.Config{ID: p.ID, Valid: p.ViewValidity.D(), Silent: p.SilenceTimeout.D(), Move: p.MaxMove, Forwarders: p.MaxForwarders,
			Mode: set.Mode, OriginKind: set.OriginKind, Weighted: set.Weighted, ColdFrom: set.ColdFrom, WarmUp: set.WarmUp,
			FallMultiple: set.FallMultiple, FallWindow: set.FallWindow}}
	if !set.OriginFalls {
		c.Plan.FallMultiple = 0
	}
	if p.Gossip != "" {
		c.Gossip = netip.MustParseAddrPort(p.Gossip)
		secret, err := keys.Gossip(f.beside(p.GossipKeyFile))
		if err != nil {
			return c, f.file.Errorf(tomlfile.At("planner", "gossip_key_file"), "%v", err)
		}
		c.GossipKey = secret
	}
	list, err := f.RegistryConfig()
	if err != nil {
		return c, err
	}
	if list == nil {
		addr, err := netip.ParseAddrPort(cmp.Or(f.Node.Discovery, "none"))
		if err != nil {
			return c, f.file.Errorf(tomlfile.At("planner"), "needs the server list: node.discovery or a [registry] table")
		}
		list = &registry.Config{Kind: registry.Discovery, Endpoints: []netip.AddrPort{addr}}
	}
	c.Registry = *list
	if c.Registry.Kind != registry.Discovery { // which keeps no leases
		c.Lease, c.TTL = p.LeasePrefix, p.LeaseTTL.D()
	}
	load := func() (*tls.Config, error) {
		pair, err := keys.Load(f.beside(p.CAFile), f.beside(p.CertFile), f.beside(p.KeyFile))
		if err != nil {
			return nil, f.file.Errorf(tomlfile.At("planner", "cert_file"), "%v", err)
		}
		return pair.Server(keys.Forwarder), nil
	}
	c.Certificates = load
	_, err = load()
	return c, err
}

// EachFile shows each key that names a file: beside the operator's file unless the path is whole.
func (f *File) EachFile(show func(key string, file *string)) {
	if r := f.Registry; r != nil {
		show("registry.token_file", &r.TokenFile)
		show("registry.ca_file", &r.CAFile)
		show("registry.cert_file", &r.CertFile)
		show("registry.key_file", &r.KeyFile)
	}
	if p := f.Planners; p != nil {
		show("planners.ca_file", &p.CAFile)
		show("planners.cert_file", &p.CertFile)
		show("planners.key_file", &p.KeyFile)
	}
	if p := f.Planner; p != nil {
		show("planner.ca_file", &p.CAFile)
		show("planner.cert_file", &p.CertFile)
		show("planner.key_file", &p.KeyFile)
		show("planner.gossip_key_file", &p.GossipKeyFile)
		show("planner.snapshot", &p.Snapshot)
	}
}
