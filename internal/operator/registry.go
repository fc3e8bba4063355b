package operator

import (
	"cmp"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"lapisshelf/decide/roster"
	"lapisshelf/internal/registry"
	"lapisshelf/internal/tomlfile"
)

// Registry says where the server list is kept, in place of the platform's discovery.
type Registry struct {
	Kind         string
	Endpoints    []string
	Prefix       string
	TokenFile    string `toml:"token_file"`
	TLS          bool
	CAFile       string   `toml:"ca_file"`
	CertFile     string   `toml:"cert_file"`
	KeyFile      string   `toml:"key_file"`
	ServerName   string   `toml:"server_name"`
	WatchTimeout Duration `toml:"watch"`
	HoldTime     Duration `toml:"hold"`
	HoldPart     float64  `toml:"hold_part"`
	RewindAfter  Duration `toml:"rewind"`
	PageSize     int      `toml:"page"`
	MaxEntries   int      `toml:"most"`
	CallRate     float64  `toml:"calls_per_s"`
}

// Announce makes the node keep an entry of itself in the registry, under a lease.
type Announce struct {
	Prefix string
	TTL    Duration
}

func announceDefaults() Announce {
	return Announce{Prefix: "lapisshelf/nodes/", TTL: tomlfile.NewDuration(10e9)}
}

// checkAnnounce checks the table and what it needs besides.
func (f *File) checkAnnounce() error {
	a := f.Announce
	if a == nil {
		return nil
	}
	at := func(key string) []any { return tomlfile.At("announce", key) }
	return f.first(
		rule{f.Registry == nil, tomlfile.At("announce"), "needs a [registry] table"},
		rule{strings.ContainsAny(a.Prefix, "\r\n\x00") || a.Prefix == "", at("prefix"), "must be what the keys of nodes begin with"},
		rule{f.Registry != nil && strings.HasPrefix(a.Prefix, f.Registry.Prefix), at("prefix"), "must not lie within registry.prefix: nodes are no servers"},
		rule{a.TTL.D() < 1e9 || a.TTL.D() > longest, at("ttl"), "must be 1s to 1h"},
	)
}

// registryDefaults are the figures where the table stands and does not tell them.
func registryDefaults() Registry {
	return Registry{Kind: string(registry.Etcd), Prefix: "lapisshelf/servers/", HoldTime: tomlfile.NewDuration(30e9), HoldPart: 0.5, RewindAfter: tomlfile.NewDuration(30e9),
		PageSize: 500, CallRate: 100}
}

const (
	mostEndpoints = 16
	mostSecret    = 64 << 10 // bytes of a token or a certificate
)

func (f *File) checkRegistry() error {
	r := f.Registry
	if r == nil {
		return nil
	}
	at := func(key string, more ...any) []any { return append(tomlfile.At("registry", key), more...) }
	if err := f.first(
		rule{r.Kind != string(registry.Etcd) && r.Kind != string(registry.Consul), at("kind"), "must be etcd or consul"},
		rule{f.Node.Discovery != "", at("kind"), "the list is kept in one place: take node.discovery or this table out"},
		rule{len(r.Endpoints) == 0 || len(r.Endpoints) > mostEndpoints, at("endpoints"), "must name 1 to 16 addresses"},
		rule{strings.ContainsAny(r.Prefix, "\r\n\x00") || r.Prefix == "" || strings.HasPrefix(r.Prefix, "/") && r.Kind == string(registry.Consul), at("prefix"),
			"must be what the keys begin with, for consul without a slash in front"},
		rule{!r.TLS && (r.CAFile != "" || r.CertFile != "" || r.KeyFile != "" || r.ServerName != ""), at("tls"), "certificates need tls = true"},
		rule{(r.CertFile == "") != (r.KeyFile == ""), at("cert_file"), "cert_file and key_file go together"},
		rule{r.WatchTimeout.D() < 0 || r.WatchTimeout.D() > longest || r.WatchTimeout.D() > 0 && r.WatchTimeout.D() < 1e9, at("watch"), "must be 0s, or 1s to 1h"},
		rule{r.HoldTime.D() < 0 || r.HoldTime.D() > longest, at("hold"), "must be 0s to 1h"},
		rule{!(r.HoldPart > 0 && r.HoldPart <= 1), at("hold_part"), "must be above 0 and at most 1"},
		rule{r.RewindAfter.D() < 1e9 || r.RewindAfter.D() > longest, at("rewind"), "must be 1s to 1h"},
		rule{r.PageSize < 1 || r.PageSize > 10000, at("page"), "must be 1 to 10000"},
		rule{r.MaxEntries < 0 || r.MaxEntries > 1000000, at("most"), "must be 0 to 1000000"},
		rule{!(r.CallRate >= 1 && r.CallRate <= 100000), at("calls_per_s"), "must be 1 to 100000"},
	); err != nil {
		return err
	}
	for i, e := range r.Endpoints {
		if _, err := netip.ParseAddrPort(e); err != nil {
			return f.file.Errorf(at("endpoints", i), "must be an address and a port, such as 127.0.0.1:2379")
		}
	}
	return nil
}

// RegistryConfig reads the files that the table names and gives the configuration; nil without the table.
func (f *File) RegistryConfig() (*registry.Config, error) {
	r := f.Registry
	if r == nil {
		return nil, nil
	}
	c := &registry.Config{Kind: registry.Kind(r.Kind), Prefix: r.Prefix, Roster: roster.Config{WatchTimeout: r.WatchTimeout.D(), HoldTime: r.HoldTime.D(), HoldPart: r.HoldPart,
		RewindAfter: r.RewindAfter.D(), PageSize: r.PageSize, MaxEntries: r.MaxEntries, CallRate: r.CallRate}}
	for _, e := range r.Endpoints {
		c.Endpoints = append(c.Endpoints, netip.MustParseAddrPort(e)) // checked with the file
	}
	token, err := f.secret(r.TokenFile, "registry", "token_file")
	if err != nil {
		return nil, err
	}
	if c.Token = strings.TrimSpace(string(token)); strings.ContainsAny(c.Token, "\r\n") {
		return nil, f.file.Errorf(tomlfile.At("registry", "token_file"), "the token has more than one line")
	}
	if !r.TLS {
		return c, nil
	}
	c.TLS = &tls.Config{MinVersion: tls.VersionTLS12, ServerName: r.ServerName}
	if r.ServerName == "" {
		c.TLS.ServerName = c.Endpoints[0].Addr().String()
	}
	sum := sha256.New()
	sum.Write([]byte(c.TLS.ServerName))
	if r.CAFile != "" {
		text, err := f.secret(r.CAFile, "registry", "ca_file")
		if err != nil {
			return nil, err
		}
		sum.Write(text)
		c.TLS.RootCAs = x509.NewCertPool()
		if !c.TLS.RootCAs.AppendCertsFromPEM(text) {
			return nil, f.file.Errorf(tomlfile.At("registry", "ca_file"), "%s holds no certificate", r.CAFile)
		}
	}
	if r.CertFile != "" {
		cert, err := f.secret(r.CertFile, "registry", "cert_file")
		if err != nil {
			return nil, err
		}
		key, err := f.secret(r.KeyFile, "registry", "key_file")
		if err != nil {
			return nil, err
		}
		pair, err := tls.X509KeyPair(cert, key)
		if err != nil {
			return nil, f.file.Errorf(tomlfile.At("registry", "cert_file"), "%v", err)
		}
		sum.Write(cert)
		c.TLS.Certificates = []tls.Certificate{pair}
	}
	c.Secret = hex.EncodeToString(sum.Sum(nil))
	return c, nil
}

// CheckFleetSize says in one line, naming file and key, that a fleet of so many balancers is larger than the calls a second let know
// of a change before it counts; nil if it is not. That is no fault of the file: such a fleet starts, and is told later.
func (f *File) CheckFleetSize(balancers int) error {
	c, key := roster.Config{}, tomlfile.At("service", "balancers") // discovery has no key of its own for it
	if f.Registry != nil {
		c.CallRate, c.Endpoints, key = f.Registry.CallRate, len(f.Registry.Endpoints), tomlfile.At("registry", "calls_per_s")
	}
	if why := FleetSizeWarning(c, "service.balancers", balancers); why != "" {
		return f.file.Errorf(key, "%s", why)
	}
	return nil
}

// FleetSizeWarning is what there is to say of a fleet of so many balancers, as a key tells, that follow a list so; empty: nothing.
func FleetSizeWarning(c roster.Config, key string, balancers int) string {
	most := roster.MaxNodes(c)
	if balancers <= most {
		return ""
	}
	calls := cmp.Or(c.CallRate, roster.DefaultCallRate)
	return fmt.Sprintf("%g calls a second let %d nodes know of a change in the 6s until it counts, %s is %d, for which it takes %.0f",
		calls, most, key, balancers, math.Ceil(calls*float64(balancers)/float64(most)))
}

// secret reads a file that a key names, beside the operator's file unless its path is whole; no name gives nothing.
func (f *File) secret(path string, at ...any) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(f.file.Path), path)
	}
	info, err := os.Stat(path)
	if err == nil && (info.IsDir() || info.Size() > mostSecret) {
		return nil, f.file.Errorf(at, "%s is no file of at most 64 KiB", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, f.file.Errorf(at, "%v", err)
	}
	return text, nil
}
