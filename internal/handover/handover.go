// Package handover is how the processes of one node know of each other: by files in a directory that they share. Each
// process has one that it alone writes, whole and by rename, and a lock beside it that it holds as long as it lives. All
// of it runs on the node's loop; the files are small and lie in memory where the directory does.
//
// No wall clock decides anything between processes: their order is a counter kept by the names in the directory (order.go).
// What can't be read for a moment says nothing of its process, and what can't be written is owed (Publish).
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"os"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	decide "lapisshelf/decide/handover"
	"lapisshelf/internal/loop"
	"lapisshelf/internal/system"
	"lapisshelf/policy"
)

const (
	stateVersion         = 1
	maxStateBytes        = 1 << 20                // of a file
	maxPeers             = 8                      // processes that are looked at
	notifiedPollInterval = 200 * time.Millisecond // besides what the system tells
	pollInterval         = 50 * time.Millisecond  // where it tells nothing
	maxRetryBackoff      = time.Second            // between tries to enter the directory
)

// State is what a process makes known.
type State struct {
	Version   int               `json:"version"`
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	PID       int               `json:"pid"`
	Process   decide.Process    `json:"process"`
	Overrides []policy.Override `json:"hands,omitempty"` // what was said of servers by hand
	LameDuck  LameDuck          `json:"lame"`
	List      ServerList        `json:"list"`
}

// LameDuck is the last word on whether the node is drained.
type LameDuck struct {
	On      bool          `json:"on"`
	Version time.Duration `json:"at"` // its version: higher than that of the word before it, whoever took that
}

// ServerList is what a process's list says of servers that get nothing new.
type ServerList struct {
	Source   string   `json:"source,omitempty"` // the registry: revisions of two compare with nothing
	Revision int64    `json:"revision"`
	Leaving  []string `json:"leaving,omitempty"` // draining, or gone lately
	Listed   []string `json:"listed,omitempty"`  // ids that were ever listed
}

// Options are what a process is told.
type Options struct {
	Dir, Name, Listen string
	Note              func(event, why string) // a line for the log
	OnChange          func()                  // the others, or what they make known, have changed
}

// Member is this process among the others.
type Member struct {
	opt             Options
	loop            *loop.Loop
	prefix          string   // of the files of all of the node's processes
	ownBase         string   // path of the own file, without its ending
	ownLock         *os.File // nil: the process could not be made known yet
	inotify         *loop.File
	pollTimer       *loop.Timer
	retryBackoff    time.Duration // before the next try to be made known
	retryAt         time.Duration // when that is due
	self            State
	published       []byte            // as written last; nil: nothing, or it has gone
	syncedOverrides []policy.Override // as synced last
	publishErr      error             // why self is not written; nil: it is
	earlierPIDs     map[int]bool      // ids of processes that were there before this one
	lastRead        map[string]State
	peers           []State
	ended           []endedProcess
	rereadNeeded    bool            // something could not be read, which is to be tried again
	reportedFiles   map[string]bool // files that were told of as bad
}

// endedProcess is what a process that has ended made known, and the path of its files, without their ending.
type endedProcess struct {
	State
	base string
}

// errNotRegistered is why nothing is written as long as the process could not be made known.
var errNotRegistered = errors.New("the process could not enter the state directory yet")

// Join makes the process known, as coming and as the youngest, and reads what the others have made known. Where the directory
// can't be written for now, that is tried again with growing pauses, and what can be read counts meanwhile. It fails where there
// is no such directory.
func Join(l *loop.Loop, opt Options) (*Member, error) {
	if info, err := os.Stat(opt.Dir); errors.Is(err, fs.ErrNotExist) || err == nil && !info.IsDir() {
		return nil, fmt.Errorf("%s is no directory", opt.Dir)
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s", opt.Name, opt.Listen)
	m := &Member{opt: opt, loop: l, prefix: fmt.Sprintf("lapisshelf-%016x-", h.Sum64()), reportedFiles: map[string]bool{}, publishErr: errNotRegistered, retryBackoff: pollInterval}
	m.self = State{Version: stateVersion, Name: opt.Name, Listen: opt.Listen, PID: os.Getpid()}
	if err := m.register(); err != nil {
		opt.Note("handover_waits_for_directory", fmt.Sprintf("why=%q", err))
	}
	if err := m.watchDir(); err != nil {
		opt.Note("handover_polls", fmt.Sprintf("why=%q", err))
	}
	m.readAll()
	return m, nil
}

// watchDir has the system tell of changes: of files renamed into place, and of locks closed as their holders end.
func (m *Member) watchDir() error {
	fd, err := unix.InotifyInit1(unix.IN_NONBLOCK | unix.IN_CLOEXEC)
	if err != nil {
		return err
	}
	if _, err := unix.InotifyAddWatch(fd, m.opt.Dir, unix.IN_MOVED_TO|unix.IN_CLOSE_WRITE); err != nil {
		unix.Close(fd)
		return err
	}
	m.inotify, err = m.loop.Watch(fd, func() {
		var buf [4096]byte
		for { // which file it is does not matter
			if n, err := unix.Read(fd, buf[:]); err != nil && !errors.Is(err, unix.EINTR) || n == 0 {
				break
			}
		}
		m.Refresh()
	})
	return err
}

// Start begins to tell of changes, by Changed.
func (m *Member) Start() { m.schedulePoll() }

func (m *Member) schedulePoll() {
	interval := pollInterval
	if m.inotify != nil && m.ownLock != nil {
		interval = notifiedPollInterval
	}
	m.pollTimer = m.loop.After(interval, func() {
		m.retryRegister()
		if m.inotify == nil || len(m.peers) > 0 || m.rereadNeeded {
			m.Refresh()
		}
		m.schedulePoll()
	})
}

// retryRegister makes the process known that could not be so far.
func (m *Member) retryRegister() {
	now := m.loop.Now()
	if m.ownLock != nil || now < m.retryAt {
		return
	}
	if err := m.register(); err != nil {
		m.retryBackoff = min(2*m.retryBackoff, maxRetryBackoff)
		m.retryAt = now + m.retryBackoff
		return
	}
	m.opt.OnChange()
}

// Refresh reads what the others say now, and tells of changes.
func (m *Member) Refresh() {
	peersBefore, endedBefore, errBefore := m.peers, len(m.ended), m.publishErr
	m.readAll()
	same := func(a, b State) bool {
		x, _ := json.Marshal(a)
		y, _ := json.Marshal(b)
		return string(x) == string(y)
	}
	if endedBefore != len(m.ended) || errBefore == nil && m.publishErr != nil || !slices.EqualFunc(peersBefore, m.peers, same) {
		m.opt.OnChange()
	}
}

// Self is what this process has made known last, or owes.
func (m *Member) Self() State { return m.self }

// PublishErr says why what Publish was told last is not safe yet; nil: it is.
func (m *Member) PublishErr() error { return m.publishErr }

// Peers are the others that live, as they made themselves known last, the latest first.
func (m *Member) Peers() []State { return m.peers }

// Ended is what processes that have ended made known, the latest first. It counts until Publish has made known what it
// came to.
func (m *Member) Ended() (states []State) {
	for _, e := range m.ended {
		states = append(states, e.State)
	}
	return states
}

// Publish makes the own state known; it is in force for all who look when it returns nil, and outlasts the process. With an
// error it is owed: the caller is to try again. What operators said is synced before that; other figures are only renamed into
// place, since no other process needs them after a crash of the machine.
func (m *Member) Publish(s State) error {
	m.self = s
	text, err := json.Marshal(m.self)
	if err != nil {
		return err
	}
	if m.ownLock == nil {
		m.publishErr = errNotRegistered
		return m.publishErr
	}
	if m.published == nil || string(text) != string(m.published) {
		sync := !slices.Equal(s.Overrides, m.syncedOverrides)
		if m.publishErr = system.WriteFileAtomic(m.ownBase+stateSuffix, m.ownBase+tempSuffix, text, fileMode, sync); m.publishErr != nil {
			return m.publishErr
		}
		m.published = text
		m.syncedOverrides = slices.Clone(s.Overrides)
	}
	m.publishErr = nil
	for _, e := range m.ended { // what it said by hand stands in the own file now
		removeFiles(e.base)
	}
	m.ended = nil
	return nil
}
