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

// Registry configures the key-value registry that holds the server list, in place of the platform's discovery.
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

// Announce makes the node keep an entry for itself in the registry, attached to a lease.
type Announce struct {
	Prefix string
	TTL    Duration
}

func announceDefaults() Announce {
	return Announce{Prefix: "lapisshelf/nodes/", TTL: tomlfile.NewDuration(10e9)}
}

// checkAnnounce checks [announce], which also needs [registry].
func (f *File) checkAnnounce() error {
	a := f.Announce
	if a == nil {
		return nil
	}
	at := func(key string) []any { return tomlfile.At("announce", key) }
	return f.firstViolation(
		rule{f.Registry == nil, tomlfile.At("announce"), "needs a [registry] table"},
		rule{strings.ContainsAny(a.Prefix, "\r\n\x00") || a.Prefix == "", at("prefix"), "must be the prefix of the nodes' keys"},
		rule{f.Registry != nil && strings.HasPrefix(a.Prefix, f.Registry.Prefix), at("prefix"), "must not lie within registry.prefix: nodes are not servers"},
		rule{a.TTL.D() < 1e9 || a.TTL.D() > maxDuration, at("ttl"), "must be 1s to 1h"},
	)
}

// registryDefaults returns the defaults of [registry].
func registryDefaults() Registry {
	return Registry{Kind: string(registry.Etcd), Prefix: "lapisshelf/servers/", HoldTime: tomlfile.NewDuration(30e9), HoldPart: 0.5, RewindAfter: tomlfile.NewDuration(30e9),
		PageSize: 500, CallRate: 100}
}

const (
	maxEndpoints   = 16
	maxSecretBytes = 64 << 10 // size limit of a file with a token, a certificate or a key
)

func (f *File) checkRegistry() error {
	r := f.Registry
	if r == nil {
		return nil
	}
	at := func(key string, more ...any) []any { return append(tomlfile.At("registry", key), more...) }
	if err := f.firstViolation(
		rule{r.Kind != string(registry.Etcd) && r.Kind != string(registry.Consul), at("kind"), "must be etcd or consul"},
		rule{f.Node.Discovery != "", at("kind"), "the list is kept in one place: remove node.discovery or this table"},
		rule{len(r.Endpoints) == 0 || len(r.Endpoints) > maxEndpoints, at("endpoints"), "must name 1 to 16 addresses"},
		rule{strings.ContainsAny(r.Prefix, "\r\n\x00") || r.Prefix == "" || strings.HasPrefix(r.Prefix, "/") && r.Kind == string(registry.Consul), at("prefix"),
			"must be the prefix of the servers' keys, for consul without a leading slash"},
		rule{!r.TLS && (r.CAFile != "" || r.CertFile != "" || r.KeyFile != "" || r.ServerName != ""), at("tls"), "certificates need tls = true"},
		rule{(r.CertFile == "") != (r.KeyFile == ""), at("cert_file"), "cert_file and key_file go together"},
		rule{r.WatchTimeout.D() < 0 || r.WatchTimeout.D() > maxDuration || r.WatchTimeout.D() > 0 && r.WatchTimeout.D() < 1e9, at("watch"), "must be 0s, or 1s to 1h"},
		rule{r.HoldTime.D() < 0 || r.HoldTime.D() > maxDuration, at("hold"), "must be 0s to 1h"},
		rule{!(r.HoldPart > 0 && r.HoldPart <= 1), at("hold_part"), "must be above 0 and at most 1"},
		rule{r.RewindAfter.D() < 1e9 || r.RewindAfter.D() > maxDuration, at("rewind"), "must be 1s to 1h"},
		rule{r.PageSize < 1 || r.PageSize > 10000, at("page"), "must be 1 to 10000"},
		rule{r.MaxEntries < 0 || r.MaxEntries > 1000000, at("most"), "must be 0 to 1000000"},
		rule{!(r.CallRate >= 1 && r.CallRate <= 100000), at("calls_per_s"), "must be 1 to 100000"},
	); err != nil {
		return err
	}
	for i, e := range r.Endpoints {
		if _, err := netip.ParseAddrPort(e); err != nil {
			return f.source.Errorf(at("endpoints", i), "must be an address and a port, such as 127.0.0.1:2379")
		}
	}
	return nil
}

// RegistryConfig returns the configuration of the registry, or nil without [registry]. It reads the token and the certificates.
func (f *File) RegistryConfig() (*registry.Config, error) {
	r := f.Registry
	if r == nil {
		return nil, nil
	}
	c := &registry.Config{Kind: registry.Kind(r.Kind), Prefix: r.Prefix, Roster: roster.Config{WatchTimeout: r.WatchTimeout.D(), HoldTime: r.HoldTime.D(), HoldPart: r.HoldPart,
		RewindAfter: r.RewindAfter.D(), PageSize: r.PageSize, MaxEntries: r.MaxEntries, CallRate: r.CallRate}}
	for _, e := range r.Endpoints {
		c.Endpoints = append(c.Endpoints, netip.MustParseAddrPort(e)) // validated by Decode
	}
	token, err := f.readSecret(r.TokenFile, "registry", "token_file")
	if err != nil {
		return nil, err
	}
	if c.Token = strings.TrimSpace(string(token)); strings.ContainsAny(c.Token, "\r\n") {
		return nil, f.source.Errorf(tomlfile.At("registry", "token_file"), "the token has more than one line")
	}
	if !r.TLS {
		return c, nil
	}
	c.TLS = &tls.Config{MinVersion: tls.VersionTLS12, ServerName: r.ServerName}
	if r.ServerName == "" {
		c.TLS.ServerName = c.Endpoints[0].Addr().String()
	}
	hash := sha256.New()
	hash.Write([]byte(c.TLS.ServerName))
	if r.CAFile != "" {
		text, err := f.readSecret(r.CAFile, "registry", "ca_file")
		if err != nil {
			return nil, err
		}
		hash.Write(text)
		c.TLS.RootCAs = x509.NewCertPool()
		if !c.TLS.RootCAs.AppendCertsFromPEM(text) {
			return nil, f.source.Errorf(tomlfile.At("registry", "ca_file"), "%s has no certificate", r.CAFile)
		}
	}
	if r.CertFile != "" {
		cert, err := f.readSecret(r.CertFile, "registry", "cert_file")
		if err != nil {
			return nil, err
		}
		key, err := f.readSecret(r.KeyFile, "registry", "key_file")
		if err != nil {
			return nil, err
		}
		pair, err := tls.X509KeyPair(cert, key)
		if err != nil {
			return nil, f.source.Errorf(tomlfile.At("registry", "cert_file"), "%v", err)
		}
		hash.Write(cert)
		c.TLS.Certificates = []tls.Certificate{pair}
	}
	c.TLSFingerprint = hex.EncodeToString(hash.Sum(nil))
	return c, nil
}

// CheckFleetSize returns a warning of one line with file and key if a fleet of this many balancers is too large for each of them
// to learn of a change in time within the limit of calls per second, and nil otherwise. The file is valid all the same: such a
// fleet starts, and learns of changes later.
func (f *File) CheckFleetSize(balancers int) error {
	c, key := roster.Config{}, tomlfile.At("service", "balancers") // with discovery there is no key for the call rate
	if f.Registry != nil {
		c.CallRate, c.Endpoints, key = f.Registry.CallRate, len(f.Registry.Endpoints), tomlfile.At("registry", "calls_per_s")
	}
	if warning := FleetSizeWarning(c, "service.balancers", balancers); warning != "" {
		return f.source.Errorf(key, "%s", warning)
	}
	return nil
}

// FleetSizeWarning returns a warning if the number of balancers, the value of key, is larger than roster.MaxNodes allows, and an
// empty string otherwise.
func FleetSizeWarning(c roster.Config, key string, balancers int) string {
	maxNodes := roster.MaxNodes(c)
	if balancers <= maxNodes {
		return ""
	}
	callRate := cmp.Or(c.CallRate, roster.DefaultCallRate)
	return fmt.Sprintf("%g calls a second let %d nodes learn of a change within the required 6s; %s is %d, which needs %.0f calls a second",
		callRate, maxNodes, key, balancers, math.Ceil(callRate*float64(balancers)/float64(maxNodes)))
}

// readSecret reads the file at path, which the key at names. A relative path is relative to the folder of the operator's file;
// an empty path returns nil.
func (f *File) readSecret(path string, at ...any) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(f.source.Path), path)
	}
	info, err := os.Stat(path)
	if err == nil && (info.IsDir() || info.Size() > maxSecretBytes) {
		return nil, f.source.Errorf(at, "%s is not a file of at most 64 KiB", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, f.source.Errorf(at, "%v", err)
	}
	return text, nil
}
