package keys

import (
	"crypto/tls"
	"net"
	"path/filepath"
	"testing"
	"time"
)

// BenchmarkHandshake measures the time that both ends of a forwarder's connection to a planner spend on the TLS handshake,
// and the bytes sent each way. docs/CAPACITY.md multiplies the results by the size of a fleet that reconnects at once.
func BenchmarkHandshake(b *testing.B) {
	dir := b.TempDir()
	now := time.Now()
	if err := CreateAuthority(dir, now, time.Hour); err != nil {
		b.Fatal(err)
	}
	pair := func(name string, role Role) *Pair {
		if err := Issue(dir, name, role, now, time.Minute, false); err != nil {
			b.Fatal(err)
		}
		p, err := Load(filepath.Join(dir, caFile), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"))
		if err != nil {
			b.Fatal(err)
		}
		return p
	}
	server, client := pair("p1", Planner).ServerConfig(Forwarder), pair("n1", Forwarder).ClientConfig(Planner)
	var in, out int
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		x, y := net.Pipe()
		counted := &countingConn{Conn: x}
		done := make(chan error, 1)
		go func() {
			s := tls.Server(y, server)
			err := s.Handshake()
			if err == nil {
				_, err = s.Write([]byte{1})
			}
			done <- err
		}()
		c := tls.Client(counted, client)
		if _, err := c.Read(make([]byte, 1)); err != nil {
			b.Fatal(err)
		}
		if err := <-done; err != nil {
			b.Fatal(err)
		}
		in, out = in+counted.in, out+counted.out
		x.Close()
	}
	b.ReportMetric(float64(out)/float64(b.N), "bytes-to-planner")
	b.ReportMetric(float64(in)/float64(b.N), "bytes-to-forwarder")
}

// countingConn counts the bytes that are read and written.
type countingConn struct {
	net.Conn
	in, out int
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in += n
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out += n
	return n, err
}
