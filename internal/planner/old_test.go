package planner

import (
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisshelf/internal/keys"
)

// The wire format before changes were added. It is defined separately here, so that a later modification of the wire format
// cannot alter both ends of a test at once.

type (
	legacyMessage struct {
		Version uint8         `cbor:"0,keyasint"`
		Digest  *legacyDigest `cbor:"1,keyasint,omitempty"`
		View    *legacyView   `cbor:"2,keyasint,omitempty"`
	}
	legacyLoad struct {
		ID     string `cbor:"1,keyasint,omitempty"`
		Sends  int    `cbor:"2,keyasint,omitempty"`
		Timely int    `cbor:"3,keyasint,omitempty"`
		Late   int    `cbor:"4,keyasint,omitempty"`
		Full   int    `cbor:"5,keyasint,omitempty"`
		Failed int    `cbor:"6,keyasint,omitempty"`
		Times  []int  `cbor:"7,keyasint,omitempty"`
	}
	legacyDigest struct {
		From     string       `cbor:"1,keyasint"`
		Start    int64        `cbor:"2,keyasint"`
		Seq      uint64       `cbor:"3,keyasint"`
		Span     int64        `cbor:"4,keyasint"`
		Asked    int          `cbor:"5,keyasint,omitempty"`
		Answered int          `cbor:"6,keyasint,omitempty"`
		Servers  []legacyLoad `cbor:"7,keyasint,omitempty"`
		Origin   legacyLoad   `cbor:"8,keyasint"`
	}
	legacyShare struct {
		ID     string  `cbor:"1,keyasint"`
		Factor float64 `cbor:"2,keyasint"`
		Allow  float64 `cbor:"3,keyasint,omitempty"`
	}
	legacyView struct {
		Epoch   uint64        `cbor:"1,keyasint,omitempty"`
		Planner string        `cbor:"2,keyasint"`
		Made    int64         `cbor:"3,keyasint"`
		Valid   int64         `cbor:"4,keyasint"`
		Servers []legacyShare `cbor:"5,keyasint,omitempty"`
		Admit   float64       `cbor:"6,keyasint,omitempty"`
	}
)

const legacyMaxMessageBytes = 512 << 10

var (
	legacyEncoder, _ = cbor.CanonicalEncOptions().EncMode()
	legacyDecoder, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 8192, MaxMapPairs: 32,
		MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
)

func encodeLegacy(t testing.TB, m legacyMessage) []byte {
	t.Helper()
	m.Version = 1
	body, err := legacyEncoder.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// readLegacy reads one frame. raw holds its fields by number, including those that the old format does not have.
func readLegacy(conn net.Conn) (m legacyMessage, raw map[int]cbor.RawMessage, err error) {
	var head [4]byte
	if _, err = io.ReadFull(conn, head[:]); err != nil {
		return m, nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > legacyMaxMessageBytes {
		return m, nil, errors.New("invalid message length")
	}
	body := make([]byte, size)
	if _, err = io.ReadFull(conn, body); err != nil {
		return m, nil, err
	}
	if err = legacyDecoder.Unmarshal(body, &m); err != nil {
		return m, nil, err
	}
	if m.Version != 1 || (m.Digest == nil) == (m.View == nil) {
		return m, nil, errors.New("neither a digest nor a view")
	}
	return m, raw, legacyDecoder.Unmarshal(body, &raw)
}

// dial connects to a planner as a forwarder.
func (r *testEnv) dial(name, addr string) *tls.Conn {
	r.t.Helper()
	conn, err := tls.Dial("tcp", addr, r.certificate(name, keys.Forwarder).ClientConfig(keys.Planner))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { conn.Close() })
	return conn
}

// fakeServer accepts connections from forwarders in place of a planner.
type fakeServer struct {
	r        *testEnv
	listener net.Listener
	serve    func(conn net.Conn)
	mu       sync.Mutex
	conns    []net.Conn
	accepted int // connections accepted so far
}

// startFakeServer listens on an address, or on any port if it is "", and serves each connection in its own goroutine until
// the test ends.
func (r *testEnv) startFakeServer(id, listen string, serve func(conn net.Conn)) *fakeServer {
	r.t.Helper()
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	ln, err := tls.Listen("tcp", listen, r.certificate(id, keys.Planner).ServerConfig(keys.Forwarder))
	if err != nil {
		r.t.Fatal(err)
	}
	s := &fakeServer{r: r, listener: ln, serve: serve}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns, s.accepted = append(s.conns, conn), s.accepted+1
			s.mu.Unlock()
			go serve(conn)
		}
	}()
	r.t.Cleanup(s.close)
	return s
}

func (s *fakeServer) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *fakeServer) acceptedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// startLegacyPlanner starts a planner that is older than changes. It sends full views of all caches periodically from the
// start of each connection. took is called with each digest and the raw fields of its frame.
func (r *testEnv) startLegacyPlanner(id, listen string, factor float64, took func(d legacyDigest, raw map[int]cbor.RawMessage)) *fakeServer {
	r.t.Helper()
	return r.startFakeServer(id, listen, func(conn net.Conn) {
		done := make(chan struct{})
		go func() {
			for made := time.Now().UnixNano(); ; made++ {
				v := &legacyView{Planner: id, Made: made, Valid: int64(3 * time.Second)}
				for i, cache := range r.cacheIDs {
					x := legacyShare{ID: cache, Factor: 1}
					if i == 0 {
						x.Factor = factor
					}
					v.Servers = append(v.Servers, x)
				}
				conn.Write(encodeLegacy(r.t, legacyMessage{View: v}))
				select {
				case <-done:
					return
				case <-time.After(20 * ms):
				}
			}
		}()
		defer close(done)
		defer conn.Close()
		for {
			m, raw, err := readLegacy(conn)
			if err != nil {
				return
			}
			if m.Digest == nil {
				r.t.Error("received a view from a forwarder")
				return
			}
			took(*m.Digest, raw)
		}
	})
}
