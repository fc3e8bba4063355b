package loop

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

const (
	mostQueued = 64      // writes that may wait for a TLS connection to stand, or to take them
	tlsRead    = 4 << 10 // bytes taken from a TLS connection at a time; each has such a buffer of its own
)

// TLSConn is a connection with TLS, for what is no part of serving requests: its handshake and its bytes go through
// goroutines of its own, its owner is called from the loop as ever.
type TLSConn struct {
	loop   *Loop
	h      Handler
	queue  chan []byte
	cancel context.CancelFunc
	closed bool // known to the loop
	mu     sync.Mutex
	conn   net.Conn
	in     atomic.Int64
	out    atomic.Int64
}

// DialTLS begins a connection; its outcome is told by Up, once the handshake is through, or End.
func (l *Loop) DialTLS(addr netip.AddrPort, cfg *tls.Config, h Handler) *TLSConn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &TLSConn{loop: l, h: h, queue: make(chan []byte, mostQueued), cancel: cancel}
	l.open++
	go c.run(ctx, addr, cfg)
	return c
}

// run dials and reads; a second goroutine writes.
func (c *TLSConn) run(ctx context.Context, addr netip.AddrPort, cfg *tls.Config) {
	conn, err := c.dial(ctx, addr, cfg)
	if err != nil {
		c.tell(func() { c.end(err) })
		return
	}
	c.mu.Lock()
	c.conn = conn
	over := ctx.Err() != nil
	c.mu.Unlock()
	if over {
		conn.Close()
		return
	}
	c.tell(func() { c.h.Connected() })
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case data := <-c.queue:
				if _, err := conn.Write(data); err != nil {
					conn.Close() // which ends the reading
					return
				}
			}
		}
	}()
	buffer := make([]byte, tlsRead)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			done := make(chan struct{})
			c.tell(func() {
				defer close(done)
				c.h.Data(buffer[:n])
			}, done)
			select { // the buffer is the owner's until it has returned
			case <-done:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			c.tell(func() { c.end(err) })
			return
		}
	}
}

// dial connects and shakes hands. What goes over the socket is counted.
func (c *TLSConn) dial(ctx context.Context, addr netip.AddrPort, cfg *tls.Config) (net.Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	if cfg.ServerName == "" {
		cfg = cfg.Clone()
		cfg.ServerName = addr.Addr().String()
	}
	conn := tls.Client(CountBytes(raw, &c.in, &c.out), cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return conn, nil
}

// Bytes is what has come and gone over the socket so far, with all that TLS adds.
func (c *TLSConn) Bytes() (in, out int64) { return c.in.Load(), c.out.Load() }

// CountBytes is a connection of which the bytes that come and go are added to in and out.
func CountBytes(conn net.Conn, in, out *atomic.Int64) net.Conn { return &counted{conn, in, out} }

type counted struct {
	net.Conn
	in, out *atomic.Int64
}

func (c *counted) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.in.Add(int64(n))
	return n, err
}

func (c *counted) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.out.Add(int64(n))
	return n, err
}

// tell runs f on the loop unless the connection is closed by then; done is closed in any case.
func (c *TLSConn) tell(f func(), done ...chan struct{}) {
	c.loop.Post(func() {
		if !c.closed {
			f()
			return
		}
		for _, d := range done {
			close(d)
		}
	})
}

// end gives the connection back and tells the owner.
func (c *TLSConn) end(err error) {
	c.Close()
	c.h.End(err)
}

// Write sends bytes, once the connection stands. One that takes none for long is closed.
func (c *TLSConn) Write(data []byte) {
	if c.closed {
		return
	}
	select {
	case c.queue <- append([]byte(nil), data...):
	default:
		c.loop.Defer(func() {
			if !c.closed {
				c.end(net.ErrClosed)
			}
		})
	}
}

// Close gives the connection back at once, without a call to End.
func (c *TLSConn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.loop.open--
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		go c.conn.Close() // it may wait to say so to the other end
	}
}
