// Package keys makes and reads the certificates with which forwarders and planners prove who they are. A certificate names
// its holder and the one part that it may play; an authority of the installation's own signs all of them.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Role is the part that a certificate's holder plays.
type Role string

// The roles.
const (
	Forwarder Role = "forwarder"
	Planner   Role = "planner"
)

const (
	domain  = ".lapisshelf" // of the names that stand for roles
	skew    = 5 * time.Minute
	caFile  = "ca.pem"
	caKey   = "ca.key"
	gossip  = "gossip.key"
	mostPEM = 64 << 10
)

// host is the name that stands for a role in a certificate.
func (r Role) host() string { return string(r) + domain }

// Pair is a certificate with its key, and who vouches for others.
type Pair struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// Load reads a pair. The error says which file is wrong, and how.
func Load(ca, cert, key string) (*Pair, error) {
	text, err := read(ca)
	if err != nil {
		return nil, err
	}
	p := &Pair{pool: x509.NewCertPool()}
	if !p.pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s holds no certificate", ca)
	}
	c, err := read(cert)
	if err != nil {
		return nil, err
	}
	k, err := read(key)
	if err != nil {
		return nil, err
	}
	if p.cert, err = tls.X509KeyPair(c, k); err != nil {
		return nil, fmt.Errorf("%s and %s: %v", cert, key, err)
	}
	return p, nil
}

func read(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err == nil && len(text) > mostPEM {
		err = fmt.Errorf("%s holds over 64 KiB", path)
	}
	return text, err
}

// ClientConfig is the configuration of who connects to a holder of that role.
func (p *Pair) ClientConfig(to Role) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.cert}, RootCAs: p.pool, ServerName: to.host()}
}

// ServerConfig is the configuration of who is connected to by holders of that role.
func (p *Pair) ServerConfig(from Role) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.cert}, ClientCAs: p.pool, ClientAuth: tls.RequireAndVerifyClientCert,
		VerifyConnection: func(s tls.ConnectionState) error {
			if c := s.PeerCertificates[0]; !slices.Contains(c.DNSNames, from.host()) {
				return fmt.Errorf("%q is no %s", c.Subject.CommonName, from)
			}
			return nil
		}}
}

// PeerName is who the other end of a connection is, by its certificate.
func PeerName(c *tls.Conn) string {
	if list := c.ConnectionState().PeerCertificates; len(list) > 0 {
		return list[0].Subject.CommonName
	}
	return ""
}

// LoadGossipKey reads the secret that planners share among themselves.
func LoadGossipKey(path string) ([]byte, error) {
	text, err := read(path)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(key) != sha256.Size {
		return nil, fmt.Errorf("%s does not hold 64 hexadecimal digits", path)
	}
	return key, nil
}

// write puts a file in place whole; one that is there already stands unless over.
func write(path string, mode os.FileMode, over bool, text []byte) error {
	if _, err := os.Lstat(path); err == nil && !over {
		return fmt.Errorf("%s is there already", path)
	}
	if err := os.WriteFile(path+".new", text, mode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func block(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func serial() *big.Int {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // the system has no randomness
	}
	return n
}

// sign makes a key and a certificate of it, and writes both.
func sign(dir, name string, over bool, made *x509.Certificate, by *x509.Certificate, with *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	if by == nil {
		by, with = made, key
	}
	der, err := x509.CreateCertificate(rand.Reader, made, by, &key.PublicKey, with)
	if err != nil {
		return err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := write(filepath.Join(dir, name+".key"), 0o600, over, block("PRIVATE KEY", secret)); err != nil {
		return err
	}
	return write(filepath.Join(dir, name+".pem"), 0o644, over, block("CERTIFICATE", der))
}

// CreateAuthority makes an authority in a directory, which stands for so long, and the secret that planners share.
func CreateAuthority(dir string, now time.Time, lasts time.Duration) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	secret := make([]byte, sha256.Size)
	rand.Read(secret)
	err := sign(dir, "ca", false, &x509.Certificate{SerialNumber: serial(), Subject: pkix.Name{CommonName: "lapisshelf authority"}, NotBefore: now.Add(-skew),
		NotAfter: now.Add(lasts), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign}, nil, nil)
	if err != nil {
		return err
	}
	return write(filepath.Join(dir, gossip), 0o600, false, []byte(hex.EncodeToString(secret)+"\n"))
}

// Issue makes the certificate of one holder, NAME.pem and NAME.key, signed by the directory's authority. With renew it
// takes the place of an older one.
func Issue(dir, name string, role Role, now time.Time, lasts time.Duration, renew bool) error {
	if name == "" || name == "ca" || strings.ContainsAny(name, "/\\ \x00\r\n") {
		return fmt.Errorf("%q can't be a holder's name", name)
	}
	if role != Forwarder && role != Planner {
		return fmt.Errorf("%q is no role: there are forwarder and planner", role)
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, caFile), filepath.Join(dir, caKey))
	if err != nil {
		return fmt.Errorf("the authority: %w", err)
	}
	with, is := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !is {
		return errors.New("the authority's key is of another kind")
	}
	if now.Add(lasts).After(pair.Leaf.NotAfter) {
		return fmt.Errorf("the authority itself stands until %s only", pair.Leaf.NotAfter.Format(time.RFC3339))
	}
	use := []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if role == Planner {
		use = append(use, x509.ExtKeyUsageServerAuth)
	}
	return sign(dir, name, renew, &x509.Certificate{SerialNumber: serial(), Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-skew), NotAfter: now.Add(lasts),
		DNSNames: []string{role.host()}, IPAddresses: []net.IP{}, KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: use}, pair.Leaf, with)
}

// Certificate is what a directory's certificate says.
type Certificate struct {
	File, Name string
	Role       Role // empty: the authority
	NotAfter   time.Time
}

// List lists a directory's certificates, by file.
func List(dir string) (list []Certificate, err error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.pem"))
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		text, err := read(name)
		if err != nil {
			return nil, err
		}
		b, _ := pem.Decode(text)
		if b == nil {
			return nil, fmt.Errorf("%s holds no certificate", name)
		}
		c, err := x509.ParseCertificate(b.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		h := Certificate{File: filepath.Base(name), Name: c.Subject.CommonName, NotAfter: c.NotAfter}
		if len(c.DNSNames) > 0 {
			h.Role = Role(strings.TrimSuffix(c.DNSNames[0], domain))
		}
		list = append(list, h)
	}
	return list, nil
}
