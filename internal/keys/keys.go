// Package keys issues and loads the certificates with which forwarders and planners authenticate each other over TLS. A
// certificate names its holder and the holder's one role. All of them are signed by the installation's own certificate
// authority.
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

// Role is the role of a certificate's holder.
type Role string

const (
	Forwarder Role = "forwarder"
	Planner   Role = "planner"
)

const (
	roleDomain    = ".lapisshelf" // suffix of the DNS names that stand for roles
	clockSkew     = 5 * time.Minute
	caFile        = "ca.pem"
	caKeyFile     = "ca.key"
	gossipKeyFile = "gossip.key"
	maxFileSize   = 64 << 10
)

// dnsName returns the DNS name that stands for the role in a certificate.
func (r Role) dnsName() string { return string(r) + roleDomain }

// Pair is a certificate with its private key, and the authorities that peers' certificates are verified against.
type Pair struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// Load reads a pair from the files of the authority, the certificate and the key. The error names the file that is wrong.
func Load(caPath, certPath, keyPath string) (*Pair, error) {
	caPEM, err := readFile(caPath)
	if err != nil {
		return nil, err
	}
	p := &Pair{pool: x509.NewCertPool()}
	if !p.pool.AppendCertsFromPEM(caPEM) {
		return nil, fmt.Errorf("%s contains no certificate", caPath)
	}
	certPEM, err := readFile(certPath)
	if err != nil {
		return nil, err
	}
	keyPEM, err := readFile(keyPath)
	if err != nil {
		return nil, err
	}
	if p.cert, err = tls.X509KeyPair(certPEM, keyPEM); err != nil {
		return nil, fmt.Errorf("%s and %s: %v", certPath, keyPath, err)
	}
	return p, nil
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err == nil && len(data) > maxFileSize {
		err = fmt.Errorf("%s is larger than 64 KiB", path)
	}
	return data, err
}

// ClientConfig returns the TLS configuration for connecting to a holder of the given role.
func (p *Pair) ClientConfig(peer Role) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.cert}, RootCAs: p.pool, ServerName: peer.dnsName()}
}

// ServerConfig returns the TLS configuration for accepting connections from holders of the given role.
func (p *Pair) ServerConfig(peer Role) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.cert}, ClientCAs: p.pool, ClientAuth: tls.RequireAndVerifyClientCert,
		VerifyConnection: func(s tls.ConnectionState) error {
			if c := s.PeerCertificates[0]; !slices.Contains(c.DNSNames, peer.dnsName()) {
				return fmt.Errorf("certificate of %q does not have the role %s", c.Subject.CommonName, peer)
			}
			return nil
		}}
}

// PeerName returns the holder named in the peer's certificate, or "" if the peer has sent none.
func PeerName(c *tls.Conn) string {
	if list := c.ConnectionState().PeerCertificates; len(list) > 0 {
		return list[0].Subject.CommonName
	}
	return ""
}

// LoadGossipKey reads the secret that encrypts the gossip between planners.
func LoadGossipKey(path string) ([]byte, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(key) != sha256.Size {
		return nil, fmt.Errorf("%s does not contain 64 hexadecimal digits", path)
	}
	return key, nil
}

// writeFile writes a file by renaming a complete one into place. It fails if the file exists, unless overwrite is set.
func writeFile(path string, mode os.FileMode, overwrite bool, data []byte) error {
	if _, err := os.Lstat(path); err == nil && !overwrite {
		return fmt.Errorf("%s already exists", path)
	}
	if err := os.WriteFile(path+".new", data, mode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func newSerial() *big.Int {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // the system's random source failed
	}
	return n
}

// createCertificate generates a key and its certificate, and writes both to NAME.key and NAME.pem. Without a parent the
// certificate is self-signed.
func createCertificate(dir, name string, overwrite bool, template *x509.Certificate, parent *x509.Certificate, signer *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := writeFile(filepath.Join(dir, name+".key"), 0o600, overwrite, encodePEM("PRIVATE KEY", keyDER)); err != nil {
		return err
	}
	return writeFile(filepath.Join(dir, name+".pem"), 0o644, overwrite, encodePEM("CERTIFICATE", der))
}

// CreateAuthority creates a certificate authority, valid for the given time, and the planners' gossip key in a directory.
// Existing files are kept, with an error.
func CreateAuthority(dir string, now time.Time, validity time.Duration) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	secret := make([]byte, sha256.Size)
	rand.Read(secret)
	err := createCertificate(dir, "ca", false, &x509.Certificate{SerialNumber: newSerial(), Subject: pkix.Name{CommonName: "lapisshelf authority"}, NotBefore: now.Add(-clockSkew),
		NotAfter: now.Add(validity), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign}, nil, nil)
	if err != nil {
		return err
	}
	return writeFile(filepath.Join(dir, gossipKeyFile), 0o600, false, []byte(hex.EncodeToString(secret)+"\n"))
}

// Issue creates the key and certificate of one holder, NAME.key and NAME.pem, signed by the directory's authority. With
// renew set it replaces existing ones.
func Issue(dir, name string, role Role, now time.Time, validity time.Duration, renew bool) error {
	if name == "" || name == "ca" || strings.ContainsAny(name, "/\\ \x00\r\n") {
		return fmt.Errorf("%q is not a valid holder name", name)
	}
	if role != Forwarder && role != Planner {
		return fmt.Errorf("unknown role %q: the roles are forwarder and planner", role)
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, caFile), filepath.Join(dir, caKeyFile))
	if err != nil {
		return fmt.Errorf("cannot load the authority: %w", err)
	}
	signer, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return errors.New("the authority's key is not an ECDSA key")
	}
	if now.Add(validity).After(pair.Leaf.NotAfter) {
		return fmt.Errorf("the certificate would outlive the authority, which expires at %s", pair.Leaf.NotAfter.Format(time.RFC3339))
	}
	usage := []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if role == Planner {
		usage = append(usage, x509.ExtKeyUsageServerAuth)
	}
	return createCertificate(dir, name, renew, &x509.Certificate{SerialNumber: newSerial(), Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-clockSkew), NotAfter: now.Add(validity),
		DNSNames: []string{role.dnsName()}, IPAddresses: []net.IP{}, KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: usage}, pair.Leaf, signer)
}

// Certificate describes a certificate file.
type Certificate struct {
	File, Name string
	Role       Role // empty for the authority
	NotAfter   time.Time
}

// List returns the certificates in a directory, sorted by file name.
func List(dir string) (list []Certificate, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.pem"))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		text, err := readFile(path)
		if err != nil {
			return nil, err
		}
		b, _ := pem.Decode(text)
		if b == nil {
			return nil, fmt.Errorf("%s contains no certificate", path)
		}
		c, err := x509.ParseCertificate(b.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		entry := Certificate{File: filepath.Base(path), Name: c.Subject.CommonName, NotAfter: c.NotAfter}
		if len(c.DNSNames) > 0 {
			entry.Role = Role(strings.TrimSuffix(c.DNSNames[0], roleDomain))
		}
		list = append(list, entry)
	}
	return list, nil
}
