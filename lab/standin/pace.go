package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	paceInterval     = 5 * time.Millisecond // between looks for a changed pace
	smallSegment     = 1200                 // bytes of a segment, for servers with a small window
	maxPacedRead     = 2 << 10              // bytes of a read at a limited rate
	stoppedReadRate  = 1                    // bytes a second below which nothing is read
	unlimitedReading = 0
)

// readPace is how fast a server reads its connections.
type readPace struct {
	mu   sync.Mutex
	rate float64 // bytes a second; unlimitedReading: as they come
}

// set changes the rate of all connections.
func (p *readPace) set(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = rate
}

func (p *readPace) current() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate
}

// pacedConn is a connection that is read at a server's pace. The piece that is read next is taken from the system as it comes, so that the
// time of its arrival is known.
type pacedConn struct {
	net.Conn
	pace      *readPace
	closed    chan struct{}
	once      sync.Once
	arrivedAt atomic.Int64 // Unix time of the piece read last, in ns
}

func newPacedConn(conn net.Conn, pace *readPace) *pacedConn {
	return &pacedConn{Conn: conn, pace: pace, closed: make(chan struct{})}
}

// Read implements net.Conn.
func (c *pacedConn) Read(data []byte) (int, error) {
	if c.pace.current() != unlimitedReading {
		data = data[:min(len(data), maxPacedRead)]
	}
	n, err := c.Conn.Read(data)
	c.arrivedAt.Store(time.Now().UnixNano())
	if err != nil || c.delay(n) {
		return n, err
	}
	return 0, net.ErrClosed
}

// delay waits for as long as so many bytes take at the pace. It returns false if the connection is closed meanwhile.
func (c *pacedConn) delay(bytes int) bool {
	for {
		rate, wait := c.pace.current(), paceInterval
		switch {
		case rate == unlimitedReading:
			return true
		case rate > stoppedReadRate:
			wait = time.Duration(float64(bytes) / rate * float64(time.Second))
		}
		select {
		case <-c.closed:
			return false
		case <-time.After(wait):
		}
		if rate > stoppedReadRate {
			return true
		}
	}
}

// maxUnnoticedEnd is how old a piece may be when it is read without the end of its connection having been missed meanwhile.
const maxUnnoticedEnd = 20 * time.Millisecond

// readsLate reports whether a connection is read so slowly that its end is noticed late.
func readsLate(conn net.Conn) bool {
	c, paced := conn.(*pacedConn)
	return paced && (c.pace.current() != unlimitedReading || sinceArrival(conn) > maxUnnoticedEnd)
}

// sinceArrival returns how long ago the piece of a connection that was read last arrived, if the connection is read at a pace; else 0.
func sinceArrival(conn net.Conn) time.Duration {
	if c, paced := conn.(*pacedConn); paced {
		return time.Duration(time.Now().UnixNano() - c.arrivedAt.Load())
	}
	return 0
}

// Close implements net.Conn.
func (c *pacedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetLinger sets how the connection is closed, as for TCP.
func (c *pacedConn) SetLinger(seconds int) error { return c.Conn.(*net.TCPConn).SetLinger(seconds) }

// CloseWrite shuts down the sending side.
func (c *pacedConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// listenWithWindow listens with a receive window of so many bytes and small segments, so that a machine holds little of what its server
// has not read; 0: as the system does.
func listenWithWindow(addr string, window int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if window == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, window)
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, window)
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, smallSegment)
		})
	}}
	return config.Listen(context.Background(), "tcp", addr)
}
