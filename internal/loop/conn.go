package loop

import (
	"errors"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"lapisshelf/internal/system"
)

// maxDiscardedBytes limits what is read and discarded from a connection that only waits for the peer to close.
const maxDiscardedBytes = 256 << 10

// acceptRetryDelay is how long accepting is suspended when the system has no descriptor or memory for a connection.
const acceptRetryDelay = 50 * time.Millisecond

// maxAcceptsPerTurn limits the connections accepted in one turn of the loop, so that other events are not delayed.
const maxAcceptsPerTurn = 64

// listenBacklog is the length of a listener's queue of connections that the system has accepted.
const listenBacklog = 1024

// Handler receives the events of a connection. Its methods are called by the loop, never from inside one of the Conn's own methods.
type Handler interface {
	Connected()       // the connection is established
	Data(data []byte) // bytes were received; data belongs to the loop and is valid only during the call
	Flushed()         // everything written has been passed to the kernel
	End(err error)    // the connection has ended and its descriptor is closed; err is io.EOF if the peer closed it
}

// Conn is a non-blocking TCP connection.
type Conn struct {
	loop        *Loop
	source      *source
	handler     Handler
	writeBuffer outBuffer // written but not yet passed to the kernel
	written     int64     // bytes passed to the kernel
	connected   bool
	paused      bool
	closed      bool
	endPending  bool // an error has occurred; the handler is notified once the running callback returns
	readLimit   int  // bytes read at a time; 0: as many as the loop's buffer holds
	backlog     backlog
	arrival     arrival       // of the bytes last read
	unsure      bool          // bytes may have arrived before the loop could tell, until the first read
	acceptedAt  time.Duration // when the loop polled the connection's arrival, until the first read; 0: not known to have waited
	lingerTimer *Timer        // set once the connection only waits for the peer to close
	linger      linger
	discarded   int    // bytes discarded since then
	closing     bool   // CloseGracefully was called: no more writes; the sending side is shut down once writeBuffer is empty
	onRelease   func() // called when the descriptor is closed
}

// linger is the state of a connection that has been closed on this side and waits for the peer to take what was written.
type linger struct {
	timeout      time.Duration // of a single wait
	acknowledged int64         // bytes that the peer had acknowledged at the end of the last wait
	stalled      time.Duration // how long it has acknowledged nothing
}

// maxLingerStall is how long a lingering connection is kept whose peer acknowledges nothing of what it still has to come.
const maxLingerStall = 5 * time.Second

// Prioritize makes the loop handle the events of this connection before all others of a turn.
func (c *Conn) Prioritize() { c.source.urgent = true }

// OnRelease calls f when the descriptor is closed, for whatever reason; at once if it is closed already.
func (c *Conn) OnRelease(f func()) {
	if c.closed {
		f()
		return
	}
	c.onRelease = f
}

// Dial starts to connect; the outcome is reported by Connected or End. An error means that nothing was started.
func (l *Loop) Dial(addr netip.AddrPort, h Handler) (*Conn, error) {
	family, to := sockaddr(addr)
	fd, err := system.Socket(family)
	if err != nil {
		return nil, err
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := system.Connect(fd, to); err != nil && !errors.Is(err, unix.EINPROGRESS) && !errors.Is(err, unix.EINTR) { // an interrupted connect continues in the background, too
		unix.Close(fd)
		return nil, err
	}
	return l.adopt(fd, unix.EPOLLOUT, h)
}

// adopt creates the Conn that owns a descriptor.
func (l *Loop) adopt(fd int, events uint32, h Handler) (*Conn, error) {
	c := &Conn{loop: l, handler: h}
	s, err := l.watch(fd, events, c.handleEvents)
	if err != nil {
		unix.Close(fd)
		return nil, err
	}
	c.source = s
	l.openSockets++
	return c, nil
}

// sockaddr returns the address family and the socket address for the system calls.
func sockaddr(addr netip.AddrPort) (int, unix.Sockaddr) {
	if ip := addr.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

// Written returns the number of bytes passed to the kernel so far.
func (c *Conn) Written() int64 { return c.written }

// Acknowledged returns the number of bytes that the peer has acknowledged.
func (c *Conn) Acknowledged() int64 {
	if c.closed {
		return c.written
	}
	unacknowledged, err := unix.IoctlGetInt(c.source.fd, unix.SIOCOUTQ)
	if err != nil {
		return c.written
	}
	return c.written - int64(unacknowledged)
}

// WriteOffset returns the number of bytes written so far, buffered ones included: the stream offset of the next byte.
func (c *Conn) WriteOffset() int64 { return c.written + int64(c.writeBuffer.size()) }

// GrowSendBuffer asks the kernel for a send buffer that holds so many bytes beyond those that the peer has not yet acknowledged.
// The kernel applies its own limits; the buffer never shrinks.
func (c *Conn) GrowSendBuffer(bytes int) {
	if c.closed || c.closing {
		return
	}
	current, err := unix.GetsockoptInt(c.source.fd, unix.SOL_SOCKET, unix.SO_SNDBUF)
	// The kernel doubles the size that is set, to allow for bookkeeping, and returns the doubled value.
	if want := int(c.written-c.Acknowledged()) + bytes; err == nil && 2*want > current {
		unix.SetsockoptInt(c.source.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, want)
	}
}

// Pending returns the number of buffered bytes that have not been passed to the kernel.
func (c *Conn) Pending() int { return c.writeBuffer.size() }

// Write passes bytes to the kernel, and buffers a copy of those that it does not take yet.
func (c *Conn) Write(data []byte) {
	if sent, open := c.trySend(data); open && sent < len(data) {
		c.writeBuffer.append(data[sent:])
		c.updateEvents()
	}
}

// WriteOwned is Write for bytes that the caller gives away: what the kernel does not take yet need not be copied.
func (c *Conn) WriteOwned(data []byte) {
	if sent, open := c.trySend(data); open && sent < len(data) {
		c.writeBuffer.appendOwned(data, sent)
		c.updateEvents()
	}
}

// trySend passes bytes to the kernel unless earlier ones wait. It returns how many the kernel took, and whether the connection is open.
func (c *Conn) trySend(data []byte) (sent int, open bool) {
	if c.closed || c.endPending || c.closing {
		return 0, false
	}
	if c.Pending() > 0 || !c.connected {
		return 0, true
	}
	sent, err := send(c.source.fd, data)
	c.written += int64(sent)
	if err != nil {
		c.fail(err)
	}
	return sent, err == nil
}

// CancelWrite removes what was written between two offsets, as returned by WriteOffset, unless any of it has been passed to the
// kernel. It reports whether it did; the offsets of what was written after it decrease accordingly.
func (c *Conn) CancelWrite(from, to int64) bool { return c.ReplaceWrite(from, to, nil) }

// ReplaceWrite replaces what was written between two offsets by data, unless any of it has been passed to the kernel. It reports
// whether it did; the offsets of what was written after it change accordingly.
func (c *Conn) ReplaceWrite(from, to int64, data []byte) bool {
	if from < c.written || to < from || to > c.WriteOffset() || c.closed || c.closing {
		return false
	}
	c.writeBuffer.replace(int(from-c.written), int(to-c.written), data)
	c.updateEvents()
	return true
}

// send writes as much as the kernel takes.
func send(fd int, data []byte) (sent int, err error) {
	for sent < len(data) {
		n, err := system.Send(fd, data[sent:])
		switch {
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM):
			return sent, nil // the rest is sent when epoll reports that the socket is writable
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return sent, err
		default:
			sent += n
		}
	}
	return sent, nil
}

// SetPaused stops or resumes reading.
func (c *Conn) SetPaused(pause bool) {
	if c.paused == pause || c.closed {
		return
	}
	c.paused = pause
	if pause {
		c.backlog.begin(c.loop.EarliestArrival())
	} else {
		_, err := c.peek()
		c.backlog.resume(c.loop.Now(), errors.Is(err, unix.EAGAIN))
	}
	c.updateEvents()
}

// MayHaveWaited notes that an accepted connection may have stood in the listen queue since then, with bytes.
func (c *Conn) MayHaveWaited(since time.Duration) {
	c.backlog.begin(since)
	c.acceptedAt = c.loop.polledAt
}

// SetReadLimit limits how many bytes are read at a time, at most 64 KiB.
func (c *Conn) SetReadLimit(bytes int) { c.readLimit = bytes }

// WatchPeerClose makes the connection end as soon as the peer has closed or reset it, even while reading is paused, and discards
// what was received before and has not been read. It is meant for clients, which have left when they close. These ends are handled
// before all other events of a turn that are not prioritized.
func (c *Conn) WatchPeerClose() {
	c.source.watchPeerClose = true
	c.updateEvents()
}

// PeerClosed reports whether the peer of a connection with WatchPeerClose has closed it, even if the handler has not been notified
// yet. The answer is at most maxPollAge old, however long the loop has been busy.
func (c *Conn) PeerClosed() bool {
	if !c.closed {
		c.loop.pollIfStale()
	}
	return c.closed || c.endPending || c.source.peerClosed
}

// updateEvents registers the wanted events with epoll.
func (c *Conn) updateEvents() {
	if c.closed {
		return
	}
	var events uint32
	if c.connected && !c.paused {
		events |= unix.EPOLLIN
	}
	if c.connected && c.source.watchPeerClose {
		events |= unix.EPOLLRDHUP
	}
	if !c.connected || c.Pending() > 0 {
		events |= unix.EPOLLOUT
	}
	c.loop.setEvents(c.source, events)
}

// Stale reports whether an idle connection has ended or holds unsolicited bytes.
func (c *Conn) Stale() bool {
	if c.closed || c.endPending || !c.connected {
		return true
	}
	_, err := c.peek()
	return !errors.Is(err, unix.EAGAIN) // a connection that cannot be checked is not known to be idle
}

// Unread reports whether bytes have been received that have not been read.
func (c *Conn) Unread() bool {
	if c.closed || !c.connected {
		return false
	}
	n, err := c.peek()
	return err == nil && n > 0
}

// peek looks for a received byte without taking it. It returns EAGAIN if there is none, and 0 at the end of the stream.
func (c *Conn) peek() (n int, err error) {
	var b [1]byte
	n, err = system.Peek(c.source.fd, b[:])
	for tries := 0; errors.Is(err, unix.EINTR) && tries < maxInterruptRetries; tries++ {
		n, err = system.Peek(c.source.fd, b[:])
	}
	return n, err
}

// SinceLastData returns the time since bytes were last received from the peer, read or not, if the kernel can tell.
func (c *Conn) SinceLastData() (ago time.Duration, known bool) {
	info, known := c.tcpInfo()
	if !known {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// tcpInfo returns what the kernel tells of the connection, if it can.
func (c *Conn) tcpInfo() (info *unix.TCPInfo, known bool) {
	if c.closed {
		return nil, false
	}
	info, err := unix.GetsockoptTCPInfo(c.source.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return info, err == nil
}

// Close closes the connection immediately, without a call to End.
func (c *Conn) Close() { c.release() }

// CloseGracefully closes the connection once the peer has everything that was written: it flushes the write buffer, shuts down the
// sending side, then discards received bytes until the peer closes too or the timeout expires. While the peer still takes what was
// written, the timeout starts anew: closing with unread bytes, or receiving bytes after the close, would make the kernel reset the
// connection and drop data in transit. The handler is not called any more.
func (c *Conn) CloseGracefully(timeout time.Duration) {
	if c.closed || c.closing {
		return
	}
	c.closing, c.handler = true, discardHandler{}
	c.source.watchPeerClose = false // received bytes are discarded up to the end of the stream
	c.linger = linger{timeout: timeout, acknowledged: c.Acknowledged()}
	c.lingerTimer = c.loop.After(timeout, c.lingerExpired)
	c.SetPaused(false)
	if c.Pending() == 0 && c.connected {
		unix.Shutdown(c.source.fd, unix.SHUT_WR)
	}
}

// lingerExpired closes a lingering connection, or waits on for a peer that still takes what was written.
func (c *Conn) lingerExpired() {
	acknowledged := c.Acknowledged()
	c.linger.stalled += c.linger.timeout
	if acknowledged > c.linger.acknowledged {
		c.linger.acknowledged, c.linger.stalled = acknowledged, 0
	}
	if acknowledged >= c.WriteOffset() || c.linger.stalled >= maxLingerStall {
		c.release()
		return
	}
	c.lingerTimer = c.loop.After(c.linger.timeout, c.lingerExpired)
}

// discardHandler ignores all events.
type discardHandler struct{}

func (discardHandler) Connected()  {}
func (discardHandler) Data([]byte) {}
func (discardHandler) Flushed()    {}
func (discardHandler) End(error)   {}

// release closes the descriptor and drops the buffer and the timer; a second call has no effect.
func (c *Conn) release() {
	if c.closed {
		return
	}
	c.closed, c.writeBuffer = true, outBuffer{}
	c.lingerTimer.Stop()
	c.loop.release(c.source)
	if c.onRelease != nil {
		c.onRelease()
	}
}

// end closes the connection and notifies the handler.
func (c *Conn) end(err error) {
	if !c.closed {
		c.release()
		c.handler.End(err)
	}
}

// fail ends the connection as soon as the running callback has returned.
func (c *Conn) fail(err error) {
	if !c.endPending {
		c.endPending = true
		c.loop.Defer(func() { c.end(err) })
	}
}

// handleEvents handles the events that epoll reported.
func (c *Conn) handleEvents(events uint32) {
	if !c.connected {
		if code, err := unix.GetsockoptInt(c.source.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
			c.end(unix.Errno(code))
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		c.connected = true
		c.updateEvents()
		c.handler.Connected()
	}
	if c.source.watchPeerClose && events&peerCloseEvents != 0 {
		// Data that a client sent before it closed may be old, and nobody waits for the result any more: it must not be processed.
		c.end(io.EOF)
		return
	}
	if !c.closed && c.Pending() > 0 && events&(unix.EPOLLOUT|unix.EPOLLERR) != 0 {
		c.flush()
	}
	if !c.closed && !c.endPending && (events&unix.EPOLLIN != 0 && !c.paused || events&(unix.EPOLLERR|unix.EPOLLHUP) != 0) {
		c.read()
	}
}

// flush passes the write buffer to the kernel.
func (c *Conn) flush() {
	n, err := send(c.source.fd, c.writeBuffer.bytes())
	c.written += int64(n)
	c.writeBuffer.discard(n)
	if err != nil {
		c.end(err)
		return
	}
	if c.Pending() > 0 {
		return
	}
	c.updateEvents()
	if c.closing {
		unix.Shutdown(c.source.fd, unix.SHUT_WR)
	}
	c.handler.Flushed()
}

// read receives what is available and passes it to the handler.
func (c *Conn) read() {
	buffer := c.loop.buffer
	if c.readLimit > 0 && c.readLimit < len(buffer) {
		buffer = buffer[:c.readLimit]
	}
	n, err := system.Receive(c.source.fd, buffer)
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR), errors.Is(err, unix.ENOMEM): // epoll reports it again
	case err != nil:
		c.end(err)
	case n == 0:
		c.end(io.EOF)
	case c.closing:
		// Guards against a peer that keeps sending at full speed on a connection that is being closed.
		if c.discarded += n; c.discarded <= maxDiscardedBytes {
			return
		}
		if c.Acknowledged() < c.WriteOffset() {
			c.SetPaused(true) // closing with unread bytes would drop what the peer has still to come
			return
		}
		c.release()
	default:
		c.noteRead(n, n < len(buffer))
		c.handler.Data(buffer[:n])
	}
}

// noteRead notes when the bytes just read may have arrived. A read that did not fill its buffer has drained the connection.
func (c *Conn) noteRead(bytes int, drained bool) {
	now, earliest := c.loop.Now(), c.earliestRead()
	switch b := &c.backlog; {
	case b.drainedAt > 0 && b.ended(now, c.roundTrip()):
		*b = backlog{}
	case c.acceptedAt > 0 && earliest > c.acceptedAt+acceptReadWindow: // the loop has looked in between, and nothing was there
		*b = backlog{}
	}
	c.acceptedAt = 0
	c.arrival = c.backlog.read(bytes, drained, now, earliest)
}

// earliestRead returns the earliest time at which bytes that have just become readable may have arrived: the loop's, or an earlier one
// that the kernel tells where the loop may be wrong.
func (c *Conn) earliestRead() time.Duration {
	earliest := c.loop.EarliestArrival()
	if !c.source.watchPeerClose || !c.unsure && !c.loop.mayHideSuspension() {
		return earliest
	}
	c.unsure = false
	if ago, known := c.SinceLastData(); known {
		if at := c.loop.Now() - ago; at+arrivalTimeError < earliest {
			return at
		}
	}
	return earliest
}

// roundTrip returns the kernel's estimate of the round trip time, 0 if it has none.
func (c *Conn) roundTrip() time.Duration {
	info, known := c.tcpInfo()
	if !known {
		return 0
	}
	return time.Duration(info.Rtt) * time.Microsecond
}

// EarliestArrival returns the earliest time at which the bytes last passed to Data may have arrived. It is clearly before now if they
// waited: the process was suspended or busy, reading was paused, or more had arrived than is read at a time.
func (c *Conn) EarliestArrival() time.Duration { return c.arrival.earliest }

// EarliestUnread returns the earliest time at which bytes may have been sent that are yet to be read: before it, the peer had provably sent
// no more than was read. It is now if none are known to wait.
func (c *Conn) EarliestUnread() time.Duration {
	now := c.loop.Now()
	switch b := &c.backlog; {
	case !b.possible:
		return now
	case !c.paused && b.ended(now, c.roundTrip()):
		*b = backlog{}
		return now
	default:
		return b.since
	}
}

// LastArrival returns when the last of the bytes passed to Data arrived, if the kernel can tell and the peer's machine cannot have held
// them back.
func (c *Conn) LastArrival() (at time.Duration, known bool) {
	ago, known := c.SinceLastData()
	at = c.loop.Now() - ago
	return at, known && c.arrival.sentByArrival(at)
}

// Listener accepts connections.
type Listener struct {
	loop              *Loop
	source            *source
	accept            func(fd int)
	steersConnections bool // all new connections of the shared address go to this listener
	paused            bool // by its owner
	resourceShortage  bool // the system has no descriptor or memory for a connection
	mayHaveBacklog    bool // connections may have been waiting since earliestArrival
	earliestArrival   time.Duration
	closePending      bool // it is closed once the connections that the system has accepted are taken
	closed            bool
}

// SteersConnections reports whether, of all listeners that share its address, only this one receives new connections.
func (ln *Listener) SteersConnections() bool { return ln.steersConnections }

// Addr returns the address that it listens on.
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

// SetShared allows other processes of the same user to listen on the same address, or forbids it. While the address is not shared,
// the kernel refuses them: two processes started by mistake would divide the connections between them unnoticed.
func (ln *Listener) SetShared(shared bool) {
	if ln == nil || ln.closed {
		return
	}
	value := 0
	if shared {
		value = 1
	}
	unix.SetsockoptInt(ln.source.fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, value)
}

// Listen listens on exactly this address. Each connection's descriptor is passed to accept, which passes it on to Loop.Accept.
// A caller without capacity uses SetPaused, which keeps accept from being called.
func (l *Loop) Listen(addr netip.AddrPort, accept func(fd int)) (*Listener, error) {
	return l.listen(addr, accept, false)
}

// ListenShared listens on an address together with other processes whose listeners are shared, see SetShared. With the right number
// of earlier listeners, all new connections go to this one from then on, where the kernel supports it: the queues of the others
// run empty, and nothing is lost when they close.
func (l *Loop) ListenShared(addr netip.AddrPort, earlierListeners int, accept func(fd int)) (*Listener, error) {
	ln, err := l.listen(addr, accept, true)
	if err != nil {
		return nil, err
	}
	// A single instruction returns the index of the socket in the reuseport group; sockets join it in the order of listening. An index
	// that is out of range, as it is once the others have closed, leaves the choice to the kernel.
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: uint32(earlierListeners)}}
	ln.steersConnections = unix.SetsockoptSockFprog(ln.source.fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}) == nil
	return ln, nil
}

func (l *Loop) listen(addr netip.AddrPort, accept func(fd int), shared bool) (*Listener, error) {
	family, at := sockaddr(addr)
	fd, err := system.Socket(family)
	if err != nil {
		return nil, err
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // a restart binds the same address again
	if shared {
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	if err := unix.Bind(fd, at); err != nil {
		unix.Close(fd)
		return nil, err
	}
	if err := unix.Listen(fd, listenBacklog); err != nil {
		unix.Close(fd)
		return nil, err
	}
	ln := &Listener{loop: l, accept: accept}
	if ln.source, err = l.watch(fd, unix.EPOLLIN, func(uint32) { ln.acceptReady() }); err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.openSockets++
	return ln, nil
}

// acceptReady accepts the waiting connections, up to a limit per turn.
func (ln *Listener) acceptReady() {
	ln.updateEarliestArrival()
	ln.mayHaveBacklog = true // what is not accepted in this turn keeps its arrival time, whatever ends the turn
	for range maxAcceptsPerTurn {
		if ln.closed || ln.source.events == 0 {
			return
		}
		fd, err := system.Accept(ln.source.fd)
		switch {
		case err == nil:
			ln.accept(fd)
		case IsResourceShortage(err):
			// Guards against a loop that spins on a connection for which there is no descriptor.
			ln.pauseOnShortage()
			return
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED): // others may wait
		default:
			ln.mayHaveBacklog = false
			return
		}
	}
}

// EarliestArrival returns the earliest time at which a connection that is accepted now may have arrived.
func (ln *Listener) EarliestArrival() time.Duration { return ln.earliestArrival }

// updateEarliestArrival sets EarliestArrival for the connections accepted in this turn.
func (ln *Listener) updateEarliestArrival() {
	if !ln.mayHaveBacklog {
		ln.earliestArrival = ln.loop.earliestArrival
	}
	ln.mayHaveBacklog = false
}

// pauseOnShortage suspends accepting for acceptRetryDelay, independently of SetPaused.
func (ln *Listener) pauseOnShortage() {
	ln.resourceShortage = true
	ln.updateEvents()
	ln.loop.After(acceptRetryDelay, func() {
		ln.resourceShortage = false
		ln.updateEvents()
	})
}

// updateEvents registers with epoll whether connections are accepted. The owner's pause and a pause on a shortage are separate
// flags, so that the end of one does not end the other.
func (ln *Listener) updateEvents() {
	if ln.closed {
		return
	}
	var events uint32
	if !ln.paused && !ln.resourceShortage {
		events = unix.EPOLLIN
	} else if !ln.mayHaveBacklog && ln.source.events != 0 { // what has arrived since the last poll waits
		ln.mayHaveBacklog, ln.earliestArrival = true, ln.loop.earliestArrival
	}
	ln.loop.setEvents(ln.source, events)
}

// Prioritize makes the loop accept new connections before all other events of a turn.
func (ln *Listener) Prioritize() { ln.source.urgent = true }

// acceptBacklog accepts everything that waits, even if accepting is paused: closing the listener would reset these connections.
// It reports whether nothing is left, as far as can be determined.
func (ln *Listener) acceptBacklog() bool {
	ln.updateEarliestArrival()
	for range 2 * listenBacklog {
		fd, err := system.Accept(ln.source.fd)
		switch {
		case err == nil:
			ln.accept(fd)
		case errors.Is(err, unix.EAGAIN):
			return true
		case IsResourceShortage(err):
			return false
		case errors.Is(err, unix.EBADF), errors.Is(err, unix.EINVAL), errors.Is(err, unix.ENOTSOCK):
			return true // not a listening socket
		default: // the connection was aborted, or the call was interrupted
		}
	}
	return true
}

// Accept creates the Conn for an accepted descriptor.
func (l *Loop) Accept(fd int, h Handler) (*Conn, error) {
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c, err := l.adopt(fd, unix.EPOLLIN, h)
	if err == nil {
		c.connected, c.unsure = true, l.mayHideSuspension()
	}
	return c, err
}

// SetPaused stops or resumes accepting.
func (ln *Listener) SetPaused(pause bool) {
	if ln == nil || ln.closed {
		return
	}
	ln.paused = pause
	ln.updateEvents()
}

// Close accepts the connections that the system has queued and closes the listener. If the system has no descriptor or memory for
// them, it retries until it has; Closed reports when it is done.
func (ln *Listener) Close() {
	if ln == nil || ln.closed {
		return
	}
	if !ln.acceptBacklog() {
		// Guards against requests that are reset because descriptors were short for a moment.
		if !ln.closePending {
			ln.closePending = true
			ln.loop.After(shortageRetryDelay, func() {
				ln.closePending = false
				ln.Close()
			})
		}
		return
	}
	ln.closed = true
	ln.loop.release(ln.source)
}

// Closed reports whether the listener is closed; a nil listener is.
func (ln *Listener) Closed() bool { return ln == nil || ln.closed }
