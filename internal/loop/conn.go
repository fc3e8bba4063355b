package loop

import (
	"errors"
	"io"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"lapisshelf/internal/system"
)

// mostPassed is how many bytes are passed over of a connection that only waits for the other end to finish.
const mostPassed = 256 << 10

// shortOf is how long accepting rests when the system has no descriptor or memory for a connection.
const shortOf = 50 * time.Millisecond

// mostAccepted is how many connections are accepted in a turn, so that they don't keep others waiting.
const mostAccepted = 64

// mostQueue is how many connections the system may hold for a listener.
const mostQueue = 1024

// Handler is a connection's owner. The calls come from the loop, never from inside one of the Conn's own methods.
type Handler interface {
	Connected()       // the connection stands
	Data(data []byte) // bytes have come; data is the loop's and good only during the call
	Flushed()         // all that was written has been handed to the system
	End(err error)    // the connection is over and given back; io.EOF when the other end has finished
}

// Conn is a TCP connection that never blocks.
type Conn struct {
	loop    *Loop
	source  *source
	handler Handler
	out     []byte // not yet handed to the system
	written int64  // bytes handed to the system
	up      bool
	paused  bool
	closed  bool
	failed  bool   // its end has been put off until the owner can be told
	linger  *Timer // set once it only waits for the other end to finish
	passed  int    // bytes passed over since
	last    bool   // it closes when out is empty
	freed   func() // called when the descriptor is given back
}

// Prioritize has its events come before all others of a turn.
func (c *Conn) Prioritize() { c.source.urgent = true }

// OnRelease calls f when the descriptor is given back, however that comes about; at once if it has been.
func (c *Conn) OnRelease(f func()) {
	if c.closed {
		f()
		return
	}
	c.freed = f
}

// Dial begins a connection; its outcome is told by Up or End. An error means that nothing was begun.
func (l *Loop) Dial(addr netip.AddrPort, h Handler) (*Conn, error) {
	family, to := sockaddr(addr)
	fd, err := system.Socket(family)
	if err != nil {
		return nil, err
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := system.Connect(fd, to); err != nil && !errors.Is(err, unix.EINPROGRESS) && !errors.Is(err, unix.EINTR) { // an interrupted one goes on too
		unix.Close(fd)
		return nil, err
	}
	return l.adopt(fd, unix.EPOLLOUT, h)
}

// adopt makes a Conn the owner of a descriptor.
func (l *Loop) adopt(fd int, events uint32, h Handler) (*Conn, error) {
	c := &Conn{loop: l, handler: h}
	s, err := l.watch(fd, events, c.ready)
	if err != nil {
		unix.Close(fd)
		return nil, err
	}
	c.source = s
	l.open++
	return c, nil
}

func sockaddr(addr netip.AddrPort) (int, unix.Sockaddr) {
	if ip := addr.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

// Written is the number of bytes handed to the system so far.
func (c *Conn) Written() int64 { return c.written }

// Acknowledged is the number of bytes that the other end has acknowledged.
func (c *Conn) Acknowledged() int64 {
	if c.closed {
		return c.written
	}
	waits, err := unix.IoctlGetInt(c.source.fd, unix.SIOCOUTQ)
	if err != nil {
		return c.written
	}
	return c.written - int64(waits)
}

// WriteOffset is the number of bytes written or waiting to be: where the next byte will stand.
func (c *Conn) WriteOffset() int64 { return c.written + int64(len(c.out)) }

// GrowSendBuffer asks the system for room for so many bytes more than it holds for the other end to take. It gives what its own
// bounds allow, and never less than before.
func (c *Conn) GrowSendBuffer(bytes int) {
	if c.closed || c.last {
		return
	}
	was, err := unix.GetsockoptInt(c.source.fd, unix.SOL_SOCKET, unix.SO_SNDBUF)
	// The system doubles what it is told, for its own bookkeeping; so does what it tells.
	if want := int(c.written-c.Acknowledged()) + bytes; err == nil && 2*want > was {
		unix.SetsockoptInt(c.source.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, want)
	}
}

// Pending is the number of bytes that wait to be handed to the system.
func (c *Conn) Pending() int { return len(c.out) }

// Write hands bytes to the system, or keeps a copy until it takes them.
func (c *Conn) Write(data []byte) {
	if c.closed || c.failed || c.last {
		return
	}
	if len(c.out) > 0 || !c.up {
		c.out = append(c.out, data...)
		c.interest()
		return
	}
	n, err := send(c.source.fd, data)
	c.written += int64(n)
	if err != nil {
		c.fail(err)
		return
	}
	if n < len(data) {
		c.out = append(c.out, data[n:]...)
		c.interest()
	}
}

// CancelWrite takes back what was written between two places, as Queued told them, unless a byte of that has been handed to
// the system. It reports whether it did; what was written behind it moves up.
func (c *Conn) CancelWrite(from, to int64) bool {
	if from < c.written || to < from || to > c.WriteOffset() || c.closed || c.last {
		return false
	}
	c.out = slices.Delete(c.out, int(from-c.written), int(to-c.written))
	c.interest()
	return true
}

// send writes what the system takes.
func send(fd int, data []byte) (sent int, err error) {
	for sent < len(data) {
		n, err := system.Send(fd, data[sent:])
		switch {
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM):
			return sent, nil // the rest goes when the system says that there is room
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return sent, err
		default:
			sent += n
		}
	}
	return sent, nil
}

// SetPaused stops reading, and goes on with it.
func (c *Conn) SetPaused(on bool) {
	if c.paused != on && !c.closed {
		c.paused = on
		c.interest()
	}
}

// WatchPeerClose has the connection end as soon as the other end has finished or reset it, also while reading is paused, whatever
// it sent before and nobody has read: for clients, who have left then. Such ends come before all other events of a turn
// that are not urgent.
func (c *Conn) WatchPeerClose() {
	c.source.leaves = true
	c.interest()
}

// PeerClosed reports whether the other end of a connection that heeds its end has left, whether or not the owner has been told
// yet. What it says is lookAgain old at most, however long the loop has been busy.
func (c *Conn) PeerClosed() bool {
	if !c.closed {
		c.loop.again()
	}
	return c.closed || c.failed || c.source.left
}

// interest tells epoll what is waited for.
func (c *Conn) interest() {
	if c.closed {
		return
	}
	var events uint32
	if c.up && !c.paused {
		events |= unix.EPOLLIN
	}
	if c.up && c.source.leaves {
		events |= unix.EPOLLRDHUP
	}
	if !c.up || len(c.out) > 0 {
		events |= unix.EPOLLOUT
	}
	c.loop.expect(c.source, events)
}

// Stale reports whether an idle connection has ended or holds bytes that nobody asked for.
func (c *Conn) Stale() bool {
	if c.closed || c.failed || !c.up {
		return true
	}
	var b [1]byte
	_, err := system.Peek(c.source.fd, b[:])
	for tries := 0; errors.Is(err, unix.EINTR) && tries < mostInterrupted; tries++ {
		_, err = system.Peek(c.source.fd, b[:])
	}
	return !errors.Is(err, unix.EAGAIN) // what can't be looked at is not known to be idle
}

// SinceLastData is how long ago bytes last came from the other end, read or not, as far as the system knows.
func (c *Conn) SinceLastData() (ago time.Duration, known bool) {
	if c.closed {
		return 0, false
	}
	info, err := unix.GetsockoptTCPInfo(c.source.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// Close gives the connection back at once, without a call to End.
func (c *Conn) Close() { c.release() }

// CloseGracefully closes the connection when all that was written is with the other end: it ends the sending, then passes
// over what still comes until the other end has finished too, or the time is over. Closing at once with bytes
// unread would make the system throw away answers on their way. The owner is not called any more.
func (c *Conn) CloseGracefully(within time.Duration) {
	if c.closed || c.last {
		return
	}
	c.last, c.handler = true, nobody{}
	c.source.leaves = false // what still comes is passed over, up to the end
	c.linger = c.loop.After(within, c.release)
	c.SetPaused(false)
	if len(c.out) == 0 && c.up {
		unix.Shutdown(c.source.fd, unix.SHUT_WR)
	}
}

type nobody struct{}

func (nobody) Connected()  {}
func (nobody) Data([]byte) {}
func (nobody) Flushed()    {}
func (nobody) End(error)   {}

// release gives back the descriptor, the buffer and the timer; a second call does nothing.
func (c *Conn) release() {
	if c.closed {
		return
	}
	c.closed, c.out = true, nil
	c.linger.Stop()
	c.loop.release(c.source)
	if c.freed != nil {
		c.freed()
	}
}

// end gives the connection back and tells the owner.
func (c *Conn) end(err error) {
	if !c.closed {
		c.release()
		c.handler.End(err)
	}
}

// fail ends the connection as soon as the running callback has returned.
func (c *Conn) fail(err error) {
	if !c.failed {
		c.failed = true
		c.loop.Defer(func() { c.end(err) })
	}
}

// ready handles what epoll tells.
func (c *Conn) ready(events uint32) {
	if !c.up {
		if code, err := unix.GetsockoptInt(c.source.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
			c.end(unix.Errno(code))
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		c.up = true
		c.interest()
		c.handler.Connected()
	}
	if c.source.leaves && events&ended != 0 {
		// Guards against taking what a client had asked for before it left, which may be long ago: it would be sent on.
		c.end(io.EOF)
		return
	}
	if !c.closed && len(c.out) > 0 && events&(unix.EPOLLOUT|unix.EPOLLERR) != 0 {
		c.flush()
	}
	if !c.closed && !c.failed && (events&unix.EPOLLIN != 0 && !c.paused || events&(unix.EPOLLERR|unix.EPOLLHUP) != 0) {
		c.read()
	}
}

func (c *Conn) flush() {
	n, err := send(c.source.fd, c.out)
	c.written += int64(n)
	if err != nil {
		c.end(err)
		return
	}
	if n < len(c.out) {
		c.out = c.out[:copy(c.out, c.out[n:])]
		return
	}
	c.out = nil // a large answer's buffer is not kept for the connection's life
	c.interest()
	if c.last {
		unix.Shutdown(c.source.fd, unix.SHUT_WR)
	}
	c.handler.Flushed()
}

func (c *Conn) read() {
	n, err := system.Receive(c.source.fd, c.loop.buffer)
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR), errors.Is(err, unix.ENOMEM): // it is told of again
	case err != nil:
		c.end(err)
	case n == 0:
		c.end(io.EOF)
	case c.last:
		// Guards against one who goes on sending at full speed to a connection that is over.
		if c.passed += n; c.passed > mostPassed {
			c.release()
		}
	default:
		c.handler.Data(c.loop.buffer[:n])
	}
}

// Listener accepts connections.
type Listener struct {
	loop   *Loop
	source *source
	accept func(fd int)
	steers bool // new connections come to it alone
	paused bool // by its owner
	short  bool // the system has no descriptor or memory for a connection
	waits  bool // connections may have waited for it since came
	came   time.Duration
	ending bool // it will be closed once what the system has accepted is taken
	closed bool
}

// SteersConnections reports whether new connections come to this one alone of those that share its address.
func (ln *Listener) SteersConnections() bool { return ln.steers }

// Addr is the address that it listens on.
func (ln *Listener) Addr() netip.AddrPort {
	at, err := unix.Getsockname(ln.source.fd)
	if err != nil {
		return netip.AddrPort{}
	}
	switch at := at.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(at.Addr), uint16(at.Port))
	}
	return netip.AddrPort{}
}

// SetShared lets other processes of the same user listen on the same address, or no more of them. While it is not shared
// the system refuses them: two by mistake would divide the connections between them unnoticed.
func (ln *Listener) SetShared(on bool) {
	if ln == nil || ln.closed {
		return
	}
	value := 0
	if on {
		value = 1
	}
	unix.SetsockoptInt(ln.source.fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, value)
}

// Listen listens on exactly this address. Each connection's descriptor is given to accept, which passes it to Accept
// or, if it has no room, is not called until Pause(false).
func (l *Loop) Listen(addr netip.AddrPort, accept func(fd int)) (*Listener, error) {
	return l.listen(addr, accept, false)
}

// ListenShared listens on an address beside another process whose listener is shared, see Share. With others so many before it,
// new connections come to this one alone from then on, where the system can do that: the others' queues run empty, and
// nothing is lost when they close.
func (l *Loop) ListenShared(addr netip.AddrPort, others int, accept func(fd int)) (*Listener, error) {
	ln, err := l.listen(addr, accept, true)
	if err != nil {
		return nil, err
	}
	// One instruction: return the number of the socket in the group, which they enter in the order of listening. One
	// that is too high, as it is when the others have closed, leaves the choice to the system.
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: uint32(others)}}
	ln.steers = unix.SetsockoptSockFprog(ln.source.fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}) == nil
	return ln, nil
}

func (l *Loop) listen(addr netip.AddrPort, accept func(fd int), shared bool) (*Listener, error) {
	family, at := sockaddr(addr)
	fd, err := system.Socket(family)
	if err != nil {
		return nil, err
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // a restart comes back to the same address
	if shared {
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	if err := unix.Bind(fd, at); err != nil {
		unix.Close(fd)
		return nil, err
	}
	if err := unix.Listen(fd, mostQueue); err != nil {
		unix.Close(fd)
		return nil, err
	}
	ln := &Listener{loop: l, accept: accept}
	if ln.source, err = l.watch(fd, unix.EPOLLIN, func(uint32) { ln.take() }); err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.open++
	return ln, nil
}

// take accepts what waits, a bounded number at a time.
func (ln *Listener) take() {
	ln.settle()
	for range mostAccepted {
		if ln.closed || ln.source.events == 0 {
			return
		}
		fd, err := system.Accept(ln.source.fd)
		switch {
		case err == nil:
			ln.accept(fd)
		case IsResourceShortage(err):
			// Guards against a loop that spins on a connection for which there is no descriptor.
			ln.rest()
			return
		default:
			return // nothing waits, or what waited has gone
		}
	}
	ln.waits = true // guards against those beyond the bound that count from the next turn
}

// EarliestArrival is since when a connection that is accepted now may have waited.
func (ln *Listener) EarliestArrival() time.Duration { return ln.came }

// settle settles Came for what is accepted in this turn.
func (ln *Listener) settle() {
	if !ln.waits {
		ln.came = ln.loop.came
	}
	ln.waits = false
}

// rest stops accepting for a moment, whatever its owner says meanwhile.
func (ln *Listener) rest() {
	ln.short = true
	ln.interest()
	ln.loop.After(shortOf, func() {
		ln.short = false
		ln.interest()
	})
}

// interest tells epoll whether connections are accepted. Guards against the end of one of two pauses that ends the other.
func (ln *Listener) interest() {
	if ln.closed {
		return
	}
	var events uint32
	if !ln.paused && !ln.short {
		events = unix.EPOLLIN
	} else if !ln.waits && ln.source.events != 0 { // what comes from now on waits
		ln.waits, ln.came = true, ln.loop.Now()
	}
	ln.loop.expect(ln.source, events)
}

// Prioritize has new connections accepted before all else of a turn.
func (ln *Listener) Prioritize() { ln.source.urgent = true }

// drainQueue takes all that waits, whether accepting rests or not: what the system has accepted would be reset. It reports
// whether nothing is left, as far as can be known.
func (ln *Listener) drainQueue() bool {
	ln.settle()
	for range 2 * mostQueue {
		fd, err := system.Accept(ln.source.fd)
		switch {
		case err == nil:
			ln.accept(fd)
		case errors.Is(err, unix.EAGAIN):
			return true
		case IsResourceShortage(err):
			return false
		case errors.Is(err, unix.EBADF), errors.Is(err, unix.EINVAL), errors.Is(err, unix.ENOTSOCK):
			return true // there is no such listener
		default: // this one has gone, or the call was interrupted
		}
	}
	return true
}

// Accept makes a Conn of an accepted descriptor.
func (l *Loop) Accept(fd int, h Handler) (*Conn, error) {
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c, err := l.adopt(fd, unix.EPOLLIN, h)
	if err == nil {
		c.up = true
	}
	return c, err
}

// SetPaused stops accepting, and goes on with it.
func (ln *Listener) SetPaused(on bool) {
	if ln == nil || ln.closed {
		return
	}
	ln.paused = on
	ln.interest()
}

// Close takes what has been accepted by the system already and gives the listener back. Where the system has no descriptor or
// memory for what waits there, that happens once it has; Closed tells.
func (ln *Listener) Close() {
	if ln == nil || ln.closed {
		return
	}
	if !ln.drainQueue() {
		// Guards against requests that are reset because a descriptor was short for a moment.
		if !ln.ending {
			ln.ending = true
			ln.loop.After(watchAgain, func() {
				ln.ending = false
				ln.Close()
			})
		}
		return
	}
	ln.closed = true
	ln.loop.release(ln.source)
}

// Closed reports whether the listener has been given back; a nil one has.
func (ln *Listener) Closed() bool { return ln == nil || ln.closed }
