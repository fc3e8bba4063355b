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
	maxQueuedWrites = 64      // writes that may wait until a TLS connection is established or accepts more data
	tlsReadSize     = 4 << 10 // size of the read buffer that each TLS connection has of its own
)

// TLSConn is a TLS connection for traffic outside of request serving. Its handshake and its I/O run on goroutines of their own; its
// handler is called from the loop like that of a Conn.
type TLSConn struct {
	loop     *Loop
	handler  Handler
	queue    chan []byte
	cancel   context.CancelFunc
	closed   bool // used only on the loop's goroutine
	mu       sync.Mutex
	conn     net.Conn
	bytesIn  atomic.Int64
	bytesOut atomic.Int64
}

// DialTLS starts to connect; the outcome is reported by Connected, once the handshake is complete, or by End.
func (l *Loop) DialTLS(addr netip.AddrPort, cfg *tls.Config, handler Handler) *TLSConn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &TLSConn{loop: l, handler: handler, queue: make(chan []byte, maxQueuedWrites), cancel: cancel}
	l.openSockets++
	go c.run(ctx, addr, cfg)
	return c
}

// run dials and reads; a second goroutine writes.
func (c *TLSConn) run(ctx context.Context, addr netip.AddrPort, cfg *tls.Config) {
	conn, err := c.dial(ctx, addr, cfg)
	if err != nil {
		c.post(func() { c.end(err) })
		return
	}
	c.mu.Lock()
	c.conn = conn
	cancelled := ctx.Err() != nil
	c.mu.Unlock()
	if cancelled {
		conn.Close()
		return
	}
	c.post(func() { c.handler.Connected() })
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case data := <-c.queue:
				if _, err := conn.Write(data); err != nil {
					conn.Close() // ends the blocked Read, too
					return
				}
			}
		}
	}()
	buffer := make([]byte, tlsReadSize)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			done := make(chan struct{})
			c.post(func() {
				defer close(done)
				c.handler.Data(buffer[:n])
			}, done)
			select { // the handler owns the buffer until it has returned
			case <-done:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			c.post(func() { c.end(err) })
			return
		}
	}
}

// dial connects and does the TLS handshake. The bytes on the socket are counted.
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
	conn := tls.Client(CountBytes(raw, &c.bytesIn, &c.bytesOut), cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return conn, nil
}

// Bytes returns the number of bytes received and sent on the socket so far, including the overhead of TLS.
func (c *TLSConn) Bytes() (bytesIn, bytesOut int64) { return c.bytesIn.Load(), c.bytesOut.Load() }

// CountBytes wraps a connection and adds the bytes that it reads and writes to in and out.
func CountBytes(conn net.Conn, in, out *atomic.Int64) net.Conn { return &countingConn{conn, in, out} }

type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.out.Add(int64(n))
	return n, err
}

// post runs f on the loop unless the connection is closed by then; in that case it closes done.
func (c *TLSConn) post(f func(), done ...chan struct{}) {
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

// end closes the connection and notifies the handler.
func (c *TLSConn) end(err error) {
	c.Close()
	c.handler.End(err)
}

// Write queues bytes to be sent once the connection is established. A connection whose queue is full is closed.
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

// Close closes the connection immediately, without a call to End.
func (c *TLSConn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.loop.openSockets--
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		go c.conn.Close() // it may block while it sends close_notify to the peer
	}
}
