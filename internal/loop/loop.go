// Package loop is the node's event loop: one epoll descriptor, one heap of timers, and connections that call back their handlers.
// Everything runs on the goroutine that calls Run; except for Post, nothing here may be called from another goroutine.
//
// A turn of the loop polls epoll, handles the events by priority, goes on with the work that the turn before left for it, and then runs the
// timers that are due.
//
// A descriptor has one owner, its Conn, Listener or File, and is closed in one place, Loop.release.
package loop

import (
	"container/heap"
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"lapisshelf/internal/system"
)

const (
	readSize  = 64 << 10 // bytes read from a connection at a time, so that none delays the others
	maxEvents = 256      // initial size of the buffer for epoll events; it grows with the number of sources
	// maxPollAge is the maximum age of epoll's last report when an action is based on it. Guards against acting for a peer that
	// has closed while this process was suspended or busy.
	maxPollAge = 20 * time.Millisecond
	// openAttempts is how often New tries to create a loop while the system is short of resources, openRetryDelay the time in between.
	openAttempts   = 20
	openRetryDelay = 50 * time.Millisecond
	// maxInterruptRetries is how often a non-blocking call is repeated when it is interrupted.
	maxInterruptRetries = 100
	// shortageRetryDelay is the delay before an operation is retried that failed for want of a system resource.
	shortageRetryDelay = 10 * time.Millisecond
	// peerCloseEvents are the epoll events of a connection that the peer has closed or reset.
	peerCloseEvents = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
)

// priority is the order of a source's events within a turn.
type priority int

const (
	priorityUrgent     priority = iota // sources with Prioritize
	priorityPeerClosed                 // connections that the peer has closed
	priorityNormal
)

// Loop owns the epoll descriptor, the timers and the shared read buffer.
type Loop struct {
	epollFD         int
	wakeFD          int           // an eventfd, written by Post
	startWallClock  time.Duration // Unix time at the start by the wall clock, which is read only once
	start           time.Time
	sources         map[int32]*source
	serial          int32
	timers          timers
	deferred        []func()
	nextTurn        []func() // left for the next turn
	posts           chan func()
	buffer          []byte
	stopped         bool
	openSockets     int           // open connections, listeners and files
	lastPoll        time.Duration // when the last poll began
	polledAt        time.Duration // when epoll returned the events of the current turn
	earliestArrival time.Duration // the earliest time at which an event of the current turn may have occurred
	longWait        bool          // the wait of the current turn took so long that the process may have been suspended as it ended
	afterLongWait   bool          // that of the turn before did

	// MaxTimerDelay is the longest delay of a timer beyond its due time; the reader resets it to zero.
	MaxTimerDelay time.Duration
}

// source is a descriptor that epoll watches on behalf of an owner. The serial number distinguishes a descriptor's present owner
// from an earlier one whose event was still in the batch when the descriptor number was reused.
type source struct {
	fd             int
	serial         int32
	events         uint32
	urgent         bool // its events are handled first in each turn
	registered     bool // it was added to epoll
	retryPending   bool // a registration that failed for want of memory will be retried
	watchPeerClose bool // see Conn.WatchPeerClose
	peerClosed     bool // the peer has closed the connection; noted only with watchPeerClose
	onEvents       func(events uint32)
}

func (s *source) priority() priority {
	switch {
	case s.urgent:
		return priorityUrgent
	case s.peerClosed:
		return priorityPeerClosed
	}
	return priorityNormal
}

// New returns a loop without sources. While the system is short of descriptors or memory, it retries for about a second.
func New() (l *Loop, err error) {
	for range openAttempts {
		if l, err = open(); !IsResourceShortage(err) {
			break
		}
		time.Sleep(openRetryDelay)
	}
	return l, err
}

func open() (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(epollFD)
		return nil, err
	}
	l := &Loop{epollFD: epollFD, wakeFD: wakeFD, startWallClock: system.WallClock(), start: time.Now(), sources: map[int32]*source{},
		posts: make(chan func(), 16), buffer: make([]byte, readSize)}
	l.polledAt = l.Now()
	l.earliestArrival = l.polledAt
	if _, err := l.watch(wakeFD, unix.EPOLLIN, func(uint32) { l.runPosted() }); err != nil {
		unix.Close(wakeFD)
		unix.Close(epollFD)
		return nil, err
	}
	return l, nil
}

// Now is the loop's consistent clock: Unix time at the loop's start, advanced by the monotonic clock. It never jumps, and it can be
// compared with the Unix times of the server list.
func (l *Loop) Now() time.Duration {
	return l.startWallClock + time.Since(l.start)
}

// OpenSockets returns the number of open connections, listeners and files.
func (l *Loop) OpenSockets() int { return l.openSockets }

// Defer runs f when the running callback has returned. Consequences of a callback are deferred, so that no handler is called
// from within its own call.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// NextTurn runs f in the next turn of the loop, behind that turn's events. Work that could go on for long is done in parts, so that others
// have their turn in between.
func (l *Loop) NextTurn(f func()) { l.nextTurn = append(l.nextTurn, f) }

// Post runs f on the loop. It is the only method that other goroutines (such as the signal handler's) may call.
func (l *Loop) Post(f func()) {
	l.posts <- f
	unix.Write(l.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0}) // an error means that the counter is full: the loop is woken anyway
}

// runPosted runs the functions passed to Post.
func (l *Loop) runPosted() {
	var count [8]byte
	unix.Read(l.wakeFD, count[:])
	for {
		select {
		case f := <-l.posts:
			f()
		default:
			return
		}
	}
}

// Stop makes Run return. Open descriptors stay open, and Run may be called again.
func (l *Loop) Stop() { l.stopped = true }

// Run handles events until Stop.
func (l *Loop) Run() error {
	l.stopped = false
	events := make([]unix.EpollEvent, maxEvents)
	for !l.stopped {
		if len(events) < len(l.sources) {
			events = make([]unix.EpollEvent, 2*len(l.sources))
		}
		batch, err := l.wait(events)
		if len(batch) == 0 && (err == nil || errors.Is(err, unix.EINTR)) {
			// Events that occurred before a timer was due must be handled before the timer. The process may have been suspended during
			// its wait, which then ends as interrupted, or just after it, so it polls again. See runTimers for a later suspension.
			batch, err = l.poll(events, 0)
			l.earliestArrival, l.polledAt = min(l.earliestArrival, l.polledAt), l.Now()
		}
		if err != nil && !errors.Is(err, unix.EINTR) {
			return err
		}
		lastPoll, left := l.lastPoll, l.nextTurn
		l.nextTurn = nil
		for _, p := range []priority{priorityUrgent, priorityPeerClosed, priorityNormal} {
			l.dispatch(batch, p)
		}
		for _, f := range left {
			l.handlePeerCloses()
			f()
			l.runDeferred()
		}
		l.runTimers(lastPoll)
	}
	return nil
}

// wait waits for the events of a turn and determines the earliest time at which they may have occurred, with an error of about
// maxPollAge. Events that are pending when the wait begins may have occurred any time since the poll of the previous turn; this
// matters only if that turn took long. An event during the wait ends it, unless the process is suspended meanwhile. A short wait
// may also be a call that took long on a busy machine: its duration does not tell whether events were pending when it began.
func (l *Loop) wait(events []unix.EpollEvent) ([]unix.EpollEvent, error) {
	pollTimeout := l.pollTimeout()
	began := l.Now()
	batch, err := l.poll(events, pollTimeout)
	returned := l.Now()
	waited, busy := returned-began, began-l.polledAt
	switch {
	case waited < maxPollAge && busy > maxPollAge:
		l.earliestArrival = l.polledAt
	case pollTimeout >= 0 && waited > time.Duration(pollTimeout)*time.Millisecond+maxPollAge:
		l.earliestArrival = began
	default:
		l.earliestArrival = returned
	}
	l.polledAt = returned
	l.longWait, l.afterLongWait = waited >= maxPollAge, l.longWait
	return batch, err
}

// EarliestArrival returns the earliest time at which an event of the running turn may have occurred. It is clearly before Now if the
// process was suspended or busy.
func (l *Loop) EarliestArrival() time.Duration { return l.earliestArrival }

// mayHideSuspension reports whether events of this turn may have occurred before EarliestArrival. A process that is suspended as its wait
// returns with an event sees neither that the wait took longer nor, in the turn after it, that others have waited meanwhile.
func (l *Loop) mayHideSuspension() bool { return l.longWait || l.afterLongWait }

// poll asks epoll for events, waits at most so many milliseconds for them, and notes which peers have closed.
func (l *Loop) poll(events []unix.EpollEvent, timeoutMS int) ([]unix.EpollEvent, error) {
	began := l.Now()
	n, err := system.EpollWait(l.epollFD, events, timeoutMS)
	for tries := 0; timeoutMS == 0 && errors.Is(err, unix.EINTR) && tries < maxInterruptRetries; tries++ {
		// Guards against an interrupted poll that counts as one without events: an attempt would start for a client that has left.
		n, err = system.EpollWait(l.epollFD, events, timeoutMS)
	}
	if err != nil {
		return nil, err
	}
	l.lastPoll = began
	for _, e := range events[:n] {
		if s := l.sourceOf(e); s != nil && s.watchPeerClose && e.Events&peerCloseEvents != 0 {
			s.peerClosed = true
		}
	}
	return events[:n], nil
}

// sourceOf returns the source of an event, or nil if an earlier event of the batch has closed it.
func (l *Loop) sourceOf(e unix.EpollEvent) *source {
	if s := l.sources[e.Fd]; s != nil && s.serial == e.Pad {
		return s
	}
	return nil
}

// pollIfStale polls again if the last poll is older than maxPollAge, and returns the events.
func (l *Loop) pollIfStale() []unix.EpollEvent {
	if l.Now()-l.lastPoll <= maxPollAge {
		return nil
	}
	batch, _ := l.poll(make([]unix.EpollEvent, max(1, len(l.sources))), 0) // after an error the next call polls again
	return batch
}

// handlePeerCloses ends the connections that peers have closed since the last poll, if that poll is stale.
func (l *Loop) handlePeerCloses() { l.dispatch(l.pollIfStale(), priorityPeerClosed) }

// dispatch handles the events of a batch that have one priority.
func (l *Loop) dispatch(batch []unix.EpollEvent, p priority) {
	for _, e := range batch {
		if p == priorityNormal {
			l.handlePeerCloses()
		}
		if s := l.sourceOf(e); s != nil && s.priority() == p {
			s.onEvents(e.Events)
			l.runDeferred()
		}
	}
}

// runDeferred runs the functions that callbacks have deferred.
func (l *Loop) runDeferred() {
	for len(l.deferred) > 0 {
		list := l.deferred
		l.deferred = nil
		for _, f := range list {
			f()
		}
	}
}

// watch adds a descriptor to epoll.
func (l *Loop) watch(fd int, events uint32, onEvents func(uint32)) (*source, error) {
	l.serial++
	s := &source{fd: fd, serial: l.serial, events: events, onEvents: onEvents}
	if err := l.updateEpoll(s); err != nil {
		return nil, err
	}
	l.sources[int32(fd)] = s
	return s, nil
}

// updateEpoll registers the wanted events of a source with epoll. If the kernel has no memory for that, it is retried after
// shortageRetryDelay. Guards against a connection that is reset with a request on it, or whose events are never reported again.
func (l *Loop) updateEpoll(s *source) error {
	e := unix.EpollEvent{Events: s.events, Fd: int32(s.fd), Pad: s.serial}
	var err error
	if s.registered {
		err = system.EpollMod(l.epollFD, s.fd, &e)
	} else {
		err = system.EpollAdd(l.epollFD, s.fd, &e)
	}
	if !IsResourceShortage(err) {
		s.registered = s.registered || err == nil
		return err
	}
	if !s.retryPending {
		s.retryPending = true
		l.After(shortageRetryDelay, func() {
			s.retryPending = false
			if l.sources[int32(s.fd)] == s {
				l.updateEpoll(s)
			}
		})
	}
	return nil
}

// IsResourceShortage reports whether the error of a system call is due to a shortage of descriptors or memory, which is temporary.
func IsResourceShortage(err error) bool {
	for _, shortage := range []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// File is a descriptor other than a connection that is watched for input.
type File struct {
	loop   *Loop
	source *source
	closed bool
}

// Watch calls ready whenever a descriptor is readable. The File owns the descriptor from then on.
func (l *Loop) Watch(fd int, ready func()) (*File, error) {
	s, err := l.watch(fd, unix.EPOLLIN, func(uint32) { ready() })
	if err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.openSockets++
	return &File{loop: l, source: s}, nil
}

// Close closes the descriptor.
func (f *File) Close() {
	if !f.closed {
		f.closed = true
		f.loop.release(f.source)
	}
}

// setEvents changes the events that are wanted of a source.
func (l *Loop) setEvents(s *source, events uint32) {
	if s.events == events {
		return
	}
	s.events = events
	l.updateEpoll(s) // apart from a shortage, it fails only for a descriptor that is not watched
}

// release stops watching a descriptor and closes it.
func (l *Loop) release(s *source) {
	delete(l.sources, int32(s.fd))
	unix.Close(s.fd) // closing also removes it from epoll
	l.openSockets--
}

// Timer is a scheduled call.
type Timer struct {
	loop     *Loop
	at       time.Duration
	sequence uint64
	index    int // position in the heap; -1 if it is not scheduled
	f        func()
}

type timers struct {
	list         []*Timer
	lastSequence uint64
}

func (t *timers) Len() int { return len(t.list) }
func (t *timers) Less(i, j int) bool {
	x, y := t.list[i], t.list[j]
	return x.at < y.at || x.at == y.at && x.sequence < y.sequence
}
func (t *timers) Swap(i, j int) {
	t.list[i], t.list[j] = t.list[j], t.list[i]
	t.list[i].index, t.list[j].index = i, j
}
func (t *timers) Push(x any) {
	x.(*Timer).index = len(t.list)
	t.list = append(t.list, x.(*Timer))
}
func (t *timers) Pop() any {
	last := t.list[len(t.list)-1]
	t.list[len(t.list)-1] = nil
	t.list = t.list[:len(t.list)-1]
	last.index = -1
	return last
}

// After calls f once the duration has passed.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	l.timers.lastSequence++
	t := &Timer{loop: l, at: l.Now() + max(0, d), sequence: l.timers.lastSequence, f: f}
	heap.Push(&l.timers, t)
	return t
}

// Stop cancels the timer. It has no effect on a timer that has run, or on nil.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// pollTimeout returns how long epoll may wait, in milliseconds, rounded up so that the next timer is due afterwards.
func (l *Loop) pollTimeout() int {
	if len(l.deferred) > 0 || len(l.nextTurn) > 0 {
		return 0
	}
	if len(l.timers.list) == 0 {
		return -1
	}
	left := l.timers.list[0].at - l.Now()
	return int(min(max(0, (left+time.Millisecond-1)/time.Millisecond), time.Hour/time.Millisecond))
}

// runTimers runs each timer that was due at the last poll, and the functions that they defer. Timers that have become due since
// wait for the next poll: events that occurred before them are handled first, also if the process was suspended or busy
// during the turn.
func (l *Loop) runTimers(lastPoll time.Duration) {
	for l.handlePeerCloses(); len(l.timers.list) > 0 && l.timers.list[0].at <= lastPoll; l.handlePeerCloses() {
		t := heap.Pop(&l.timers).(*Timer)
		l.MaxTimerDelay = max(l.MaxTimerDelay, l.Now()-t.at)
		t.f()
		l.runDeferred()
	}
	l.runDeferred()
}
