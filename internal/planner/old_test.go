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

// The frames as they were before there were changes, written and read as then: frozen here, so that what is built later
// cannot change both ends at once.

type (
	oldMessage struct {
		Version uint8      `cbor:"0,keyasint"`
		Digest  *oldDigest `cbor:"1,keyasint,omitempty"`
		View    *oldView   `cbor:"2,keyasint,omitempty"`
	}
	oldLoad struct {
		ID     string `cbor:"1,keyasint,omitempty"`
		Sends  int    `cbor:"2,keyasint,omitempty"`
		Timely int    `cbor:"3,keyasint,omitempty"`
		Late   int    `cbor:"4,keyasint,omitempty"`
		Full   int    `cbor:"5,keyasint,omitempty"`
		Failed int    `cbor:"6,keyasint,omitempty"`
		Times  []int  `cbor:"7,keyasint,omitempty"`
	}
	oldDigest struct {
		From     string    `cbor:"1,keyasint"`
		Start    int64     `cbor:"2,keyasint"`
		Seq      uint64    `cbor:"3,keyasint"`
		Span     int64     `cbor:"4,keyasint"`
		Asked    int       `cbor:"5,keyasint,omitempty"`
		Answered int       `cbor:"6,keyasint,omitempty"`
		Servers  []oldLoad `cbor:"7,keyasint,omitempty"`
		Origin   oldLoad   `cbor:"8,keyasint"`
	}
	oldShare struct {
		ID     string  `cbor:"1,keyasint"`
		Factor float64 `cbor:"2,keyasint"`
		Allow  float64 `cbor:"3,keyasint,omitempty"`
	}
	oldView struct {
		Epoch   uint64     `cbor:"1,keyasint,omitempty"`
		Planner string     `cbor:"2,keyasint"`
		Made    int64      `cbor:"3,keyasint"`
		Valid   int64      `cbor:"4,keyasint"`
		Servers []oldShare `cbor:"5,keyasint,omitempty"`
		Admit   float64    `cbor:"6,keyasint,omitempty"`
	}
)

const oldMost = 512 << 10

var (
	oldEncoder, _ = cbor.CanonicalEncOptions().EncMode()
	oldDecoder, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 8192, MaxMapPairs: 32,
		MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
)

func oldFrame(t testing.TB, m oldMessage) []byte {
	t.Helper()
	m.Version = 1
	body, err := oldEncoder.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// oldRead reads one frame; raw is what it holds by number, also what was not known then.
func oldRead(conn net.Conn) (m oldMessage, raw map[int]cbor.RawMessage, err error) {
	var head [4]byte
	if _, err = io.ReadFull(conn, head[:]); err != nil {
		return m, nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > oldMost {
		return m, nil, errors.New("a message of absurd size")
	}
	body := make([]byte, size)
	if _, err = io.ReadFull(conn, body); err != nil {
		return m, nil, err
	}
	if err = oldDecoder.Unmarshal(body, &m); err != nil {
		return m, nil, err
	}
	if m.Version != 1 || (m.Digest == nil) == (m.View == nil) {
		return m, nil, errors.New("neither a digest nor a view")
	}
	return m, raw, oldDecoder.Unmarshal(body, &raw)
}

// dial connects as a forwarder.
func (r *rig) dial(name, addr string) *tls.Conn {
	r.t.Helper()
	conn, err := tls.Dial("tcp", addr, r.pair(name, keys.Forwarder).ClientConfig(keys.Planner))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { conn.Close() })
	return conn
}

// scripted is a planner that a test plays.
type scripted struct {
	r        *rig
	listener net.Listener
	serve    func(conn net.Conn)
	mu       sync.Mutex
	conns    []net.Conn
	count    int // connections that came up
}

// script listens and has each connection served in a goroutine of its own until the test ends.
func (r *rig) script(id, listen string, serve func(conn net.Conn)) *scripted {
	r.t.Helper()
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	ln, err := tls.Listen("tcp", listen, r.pair(id, keys.Planner).ServerConfig(keys.Forwarder))
	if err != nil {
		r.t.Fatal(err)
	}
	s := &scripted{r: r, listener: ln, serve: serve}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns, s.count = append(s.conns, conn), s.count+1
			s.mu.Unlock()
			go serve(conn)
		}
	}()
	r.t.Cleanup(s.end)
	return s
}

func (s *scripted) end() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *scripted) came() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// oldPlanner is a planner of before there were changes: it tells whole views of all caches every so often, from the start of
// each connection, and is given each digest with what the frame holds by number.
func (r *rig) oldPlanner(id, listen string, factor float64, took func(d oldDigest, raw map[int]cbor.RawMessage)) *scripted {
	r.t.Helper()
	return r.script(id, listen, func(conn net.Conn) {
		done := make(chan struct{})
		go func() {
			for made := time.Now().UnixNano(); ; made++ {
				v := &oldView{Planner: id, Made: made, Valid: int64(3 * time.Second)}
				for i, cache := range r.ids {
					x := oldShare{ID: cache, Factor: 1}
					if i == 0 {
						x.Factor = factor
					}
					v.Servers = append(v.Servers, x)
				}
				conn.Write(oldFrame(r.t, oldMessage{View: v}))
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
			m, raw, err := oldRead(conn)
			if err != nil {
				return
			}
			if m.Digest == nil {
				r.t.Error("a view from a forwarder")
				return
			}
			took(*m.Digest, raw)
		}
	})
}
