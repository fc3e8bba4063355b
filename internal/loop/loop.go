// Package loop is the node's event loop: one epoll descriptor, one heap of timers, connections as objects with
// callbacks. Everything runs on the goroutine that calls Run; nothing here is safe for any other.
//
// A descriptor has one owner, its Conn or Listener, and is given back in one place, their release.
package loop

import (
	"container/heap"
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"lapisshelf/internal/system"
)

const (
	readSize  = 64 << 10 // bytes taken from a connection at a time, so that none keeps the others waiting
	maxEvents = 256      // taken from epoll at a time; more where more is watched
	// lookAgain is how old what epoll has told may be when something is done upon it. Guards against acting for one who
	// has left while this process stood still or was busy.
	lookAgain = 20 * time.Millisecond
	// startTries is how often a loop is made at a start that finds the system short of something, startGap the time between.
	startTries = 20
	startGap   = 50 * time.Millisecond
	// mostInterrupted is how often a call that does not wait is made again when it is interrupted.
	mostInterrupted = 100
	// watchAgain is how long after epoll had no memory for something it is asked again.
	watchAgain = 10 * time.Millisecond
	// ended is what epoll tells of a connection whose other end has finished or reset it.
	ended = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
)

// rank is a source's place in a turn.
type rank int

const (
	first  rank = iota // what is urgent
	ending             // those whose other end has left
	others
)

// Loop owns the epoll descriptor, the timers and the one read buffer.
type Loop struct {
	epoll   int
	wake    int           // an eventfd, for Post
	epoch   time.Duration // Unix time at the start, by the wall clock, which is not asked again
	start   time.Time
	sources map[int32]*source
	serial  int32
	timers  timers
	later   []func()
	posts   chan func()
	buffer  []byte
	stopped bool
	open    int           // descriptors of connections and listeners now held
	looked  time.Duration // when epoll was last asked
	told    time.Duration // when it last answered for a turn
	came    time.Duration // since when what a turn handles may have been there

	// MaxTimerDelay is the longest that a timer has been overdue since it was last set to zero.
	MaxTimerDelay time.Duration
}

// source is what epoll watches on behalf of an owner. The serial tells a descriptor's present owner from one whose
// event was still in the batch when the number was given out again.
type source struct {
	fd     int
	serial int32
	events uint32
	urgent bool // its events come first in each turn
	added  bool // epoll knows of it
	again  bool // what epoll had no memory for will be tried again
	leaves bool // once the other end has finished it has left, see Conn.WatchPeerClose
	left   bool // it has
	ready  func(events uint32)
}

func (s *source) rank() rank {
	switch {
	case s.urgent:
		return first
	case s.left:
		return ending
	}
	return others
}

// New returns a loop that watches nothing yet. Where the system is short of descriptors or memory it is tried again for a second.
func New() (l *Loop, err error) {
	for range startTries {
		if l, err = open(); !IsResourceShortage(err) {
			break
		}
		time.Sleep(startGap)
	}
	return l, err
}

func open() (*Loop, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	wake, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(epoll)
		return nil, err
	}
	l := &Loop{epoll: epoll, wake: wake, epoch: system.WallClock(), start: time.Now(), sources: map[int32]*source{},
		posts: make(chan func(), 16), buffer: make([]byte, readSize)}
	l.told = l.Now()
	l.came = l.told
	if _, err := l.watch(wake, unix.EPOLLIN, func(uint32) { l.posted() }); err != nil {
		unix.Close(wake)
		unix.Close(epoll)
		return nil, err
	}
	return l, nil
}

// Now is the event clock: Unix time at the loop's start, going on with the monotonic clock, so that it never jumps
// and the server list's Unix times stand on it as they are.
func (l *Loop) Now() time.Duration {
	return l.epoch + time.Since(l.start)
}

// OpenSockets is the number of sockets held.
func (l *Loop) OpenSockets() int { return l.open }

// Defer runs f when the callback that is running has returned. What a callback brings about goes this way, so that
// no owner is called while it is calling.
func (l *Loop) Defer(f func()) { l.later = append(l.later, f) }

// Post runs f on the loop. It is the one call that other goroutines (the one for signals) may make.
func (l *Loop) Post(f func()) {
	l.posts <- f
	unix.Write(l.wake, []byte{1, 0, 0, 0, 0, 0, 0, 0}) // full means that it is awake
}

func (l *Loop) posted() {
	var count [8]byte
	unix.Read(l.wake, count[:])
	for {
		select {
		case f := <-l.posts:
			f()
		default:
			return
		}
	}
}

// Stop makes Run return. What is open stays so, and Run may be called again.
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
			// Guards against timers that run ahead of what has come before they were due: the process may have been stopped
			// in its wait, which then ends as interrupted, or behind it. See ring for one that was stopped later.
			batch, err = l.look(events, 0)
			l.came, l.told = min(l.came, l.told), l.Now()
		}
		if err != nil && !errors.Is(err, unix.EINTR) {
			return err
		}
		looked := l.looked
		for _, r := range []rank{first, ending, others} {
			l.turn(batch, r)
		}
		l.ring(looked)
	}
	return nil
}

// wait waits for a turn's events, and settles since when they may have been there, to within lookAgain or two. What is there as the
// wait begins may have come any time since the turn before asked, which tells only where that took long; what comes in it ends
// it, unless the process is stopped meanwhile. A wait that is over soon may have been a call that took long on a busy machine: how
// long it took does not tell whether something was there at its beginning.
func (l *Loop) wait(events []unix.EpollEvent) ([]unix.EpollEvent, error) {
	patience := l.patience()
	began := l.Now()
	batch, err := l.look(events, patience)
	ended := l.Now()
	waited, busy := ended-began, began-l.told
	switch {
	case waited < lookAgain && busy > lookAgain:
		l.came = l.told
	case patience >= 0 && waited > time.Duration(patience)*time.Millisecond+lookAgain:
		l.came = began
	default:
		l.came = ended
	}
	l.told = ended
	return batch, err
}

// EarliestArrival is since when what the running turn handles may have been there. It is before Now where the process was stopped or busy.
func (l *Loop) EarliestArrival() time.Duration { return l.came }

// PolledAt is when epoll told what the running turn handles.
func (l *Loop) PolledAt() time.Duration { return l.told }

// look asks epoll what has come, waiting so many milliseconds at most, and notes who has left.
func (l *Loop) look(events []unix.EpollEvent, patience int) ([]unix.EpollEvent, error) {
	began := l.Now()
	n, err := system.EpollWait(l.epoll, events, patience)
	for tries := 0; patience == 0 && errors.Is(err, unix.EINTR) && tries < mostInterrupted; tries++ {
		// Guards against a look that counts as one that told nothing: an attempt would begin for a client that has left.
		n, err = system.EpollWait(l.epoll, events, patience)
	}
	if err != nil {
		return nil, err
	}
	l.looked = began
	for _, e := range events[:n] {
		if s := l.sourceOf(e); s != nil && s.leaves && e.Events&ended != 0 {
			s.left = true
		}
	}
	return events[:n], nil
}

// sourceOf is the source that an event is of; nil when an earlier event of the batch has closed it.
func (l *Loop) sourceOf(e unix.EpollEvent) *source {
	if s := l.sources[e.Fd]; s != nil && s.serial == e.Pad {
		return s
	}
	return nil
}

// again looks once more if the last look is old, and returns what that told.
func (l *Loop) again() []unix.EpollEvent {
	if l.Now()-l.looked <= lookAgain {
		return nil
	}
	batch, _ := l.look(make([]unix.EpollEvent, max(1, len(l.sources))), 0) // an interrupted one is made up for next time
	return batch
}

// heed ends the connections of those who have left since the last look, if that is old.
func (l *Loop) heed() { l.turn(l.again(), ending) }

// turn handles the events of a batch that are of one rank.
func (l *Loop) turn(batch []unix.EpollEvent, r rank) {
	for _, e := range batch {
		if r == others {
			l.heed()
		}
		if s := l.sourceOf(e); s != nil && s.rank() == r {
			s.ready(e.Events)
			l.settle()
		}
	}
}

// settle runs what callbacks have put off.
func (l *Loop) settle() {
	for len(l.later) > 0 {
		list := l.later
		l.later = nil
		for _, f := range list {
			f()
		}
	}
}

// watch starts to watch a descriptor.
func (l *Loop) watch(fd int, events uint32, ready func(uint32)) (*source, error) {
	l.serial++
	s := &source{fd: fd, serial: l.serial, events: events, ready: ready}
	if err := l.tell(s); err != nil {
		return nil, err
	}
	l.sources[int32(fd)] = s
	return s, nil
}

// tell has epoll watch a source for what it waits for. Where the system has no memory for that it is tried again a moment
// later: guards against a connection that is reset over a request, or never heard of again.
func (l *Loop) tell(s *source) error {
	e := unix.EpollEvent{Events: s.events, Fd: int32(s.fd), Pad: s.serial}
	var err error
	if s.added {
		err = system.EpollMod(l.epoll, s.fd, &e)
	} else {
		err = system.EpollAdd(l.epoll, s.fd, &e)
	}
	if !IsResourceShortage(err) {
		s.added = s.added || err == nil
		return err
	}
	if !s.again {
		s.again = true
		l.After(watchAgain, func() {
			s.again = false
			if l.sources[int32(s.fd)] == s {
				l.tell(s)
			}
		})
	}
	return nil
}

// IsResourceShortage reports whether an error of a system call tells of a shortage that passes by itself.
func IsResourceShortage(err error) bool {
	for _, shortage := range []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// File is a descriptor that is no connection and is watched for what can be read from it.
type File struct {
	loop   *Loop
	source *source
	closed bool
}

// Watch calls ready whenever something can be read from a descriptor, which it owns from then on.
func (l *Loop) Watch(fd int, ready func()) (*File, error) {
	s, err := l.watch(fd, unix.EPOLLIN, func(uint32) { ready() })
	if err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.open++
	return &File{loop: l, source: s}, nil
}

// Close gives the descriptor back.
func (f *File) Close() {
	if !f.closed {
		f.closed = true
		f.loop.release(f.source)
	}
}

// expect changes what is watched for.
func (l *Loop) expect(s *source, events uint32) {
	if s.events == events {
		return
	}
	s.events = events
	l.tell(s) // fails, but for want of memory, only for a descriptor that is not watched
}

// release stops watching a descriptor and closes it.
func (l *Loop) release(s *source) {
	delete(l.sources, int32(s.fd))
	unix.Close(s.fd) // which takes it off epoll too
	l.open--
}

// Timer is a call to come.
type Timer struct {
	loop  *Loop
	at    time.Duration
	order uint64
	place int // in the heap; -1 when it is not there
	f     func()
}

type timers struct {
	list  []*Timer
	count uint64
}

func (t *timers) Len() int { return len(t.list) }
func (t *timers) Less(i, j int) bool {
	x, y := t.list[i], t.list[j]
	return x.at < y.at || x.at == y.at && x.order < y.order
}
func (t *timers) Swap(i, j int) {
	t.list[i], t.list[j] = t.list[j], t.list[i]
	t.list[i].place, t.list[j].place = i, j
}
func (t *timers) Push(x any) {
	x.(*Timer).place = len(t.list)
	t.list = append(t.list, x.(*Timer))
}
func (t *timers) Pop() any {
	last := t.list[len(t.list)-1]
	t.list[len(t.list)-1] = nil
	t.list = t.list[:len(t.list)-1]
	last.place = -1
	return last
}

// After calls f once the time has passed.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	l.timers.count++
	t := &Timer{loop: l, at: l.Now() + max(0, d), order: l.timers.count, f: f}
	heap.Push(&l.timers, t)
	return t
}

// Stop takes the timer back; one that has run, or a nil one, stays as it is.
func (t *Timer) Stop() {
	if t != nil && t.place >= 0 {
		heap.Remove(&t.loop.timers, t.place)
	}
}

// patience is how long epoll may wait, in milliseconds, rounded up so that the timer is due afterwards.
func (l *Loop) patience() int {
	if len(l.later) > 0 {
		return 0
	}
	if len(l.timers.list) == 0 {
		return -1
	}
	left := l.timers.list[0].at - l.Now()
	return int(min(max(0, (left+time.Millisecond-1)/time.Millisecond), time.Hour/time.Millisecond))
}

// ring runs the timers that were due when epoll was asked, each once, and what they put off. Those that have come due since
// wait for the next look: what came before them goes first, also where the process was stopped or busy in its turn.
func (l *Loop) ring(looked time.Duration) {
	for l.heed(); len(l.timers.list) > 0 && l.timers.list[0].at <= looked; l.heed() {
		t := heap.Pop(&l.timers).(*Timer)
		l.MaxTimerDelay = max(l.MaxTimerDelay, l.Now()-t.at)
		t.f()
		l.settle()
	}
	l.settle()
}
