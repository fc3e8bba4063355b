// Package handover lets the processes of one node exchange state during an upgrade, through files in a shared directory. Each
// process has a state file that it alone writes, replaced atomically by rename, and a lock file beside it that it keeps locked as
// long as it lives. Everything runs on the node's event loop; the files are small, and in memory if the directory is on a
// memory file system.
//
// Nothing between processes depends on the wall clock: their start order is a counter, kept in the names of the files (order.go).
// A file that cannot be read for the moment says nothing about its process. A state that cannot be written is reported by
// Publish, and the caller retries.
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
	maxStateBytes        = 1 << 20                // size of a state file
	maxPeers             = 8                      // processes whose state is read
	notifiedPollInterval = 200 * time.Millisecond // if the system notifies of changes
	pollInterval         = 50 * time.Millisecond  // if it does not
	maxRetryBackoff      = time.Second            // between attempts to register in the directory
)

// State is what a process publishes. It is stored as JSON.
type State struct {
	Version   int               `json:"version"`
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	PID       int               `json:"pid"`
	Process   decide.Process    `json:"process"`
	Overrides []policy.Override `json:"hands,omitempty"` // decisions of operators about servers
	LameDuck  LameDuck          `json:"lame"`
	List      ServerList        `json:"list"`
}

// LameDuck is the latest decision whether the node is drained.
type LameDuck struct {
	On      bool          `json:"on"`
	Version time.Duration `json:"at"` // higher than that of the previous decision, whichever process took it
}

// ServerList is the part of a process's server list that other processes need: the servers that get no new requests.
type ServerList struct {
	Source   string   `json:"source,omitempty"` // the registry; revisions of different registries are not comparable
	Revision int64    `json:"revision"`
	Leaving  []string `json:"leaving,omitempty"` // ids of servers that are draining or were removed recently
	Listed   []string `json:"listed,omitempty"`  // ids of servers that were ever listed; written by earlier builds only

	Departed     []byte `json:"departed,omitempty"`      // hashes of servers that have left the list, the latest first
	DepartedMore bool   `json:"departed_more,omitempty"` // there were more of them
}

// Options configure a member. Name and Listen identify the node in the shared directory Dir.
type Options struct {
	Dir, Name, Listen string
	IDs               IDOptions
	Note              func(event, why string) // writes a log line
	OnChange          func()                  // called when the other processes or their states have changed
}

// Member is this process's view of the node's processes.
type Member struct {
	opt             Options
	loop            *loop.Loop
	prefix          string   // of the names of all files of the node
	ownBase         string   // path of the own files without the suffix
	ownLock         *os.File // nil until the process is registered
	inotify         *loop.File
	pollTimer       *loop.Timer
	retryBackoff    time.Duration // before the next attempt to register
	retryAt         time.Duration // time of that attempt
	self            State
	published       []byte            // state file as written last; nil if there is none
	syncedOverrides []policy.Override // overrides in the state file as synced last
	publishErr      error             // why self is not written; nil if it is
	earlierPIDs     map[int]bool      // processes that registered before this one
	lastRead        map[string]State  // states of the live processes by path without the suffix
	peers           []State
	ended           []endedProcess
	ids             idTables
	mapIDs          func(path string, protection int) (file []byte, slots []uint64, err error)
	rereadNeeded    bool            // something could not be read or written and is to be retried
	reportedFiles   map[string]bool // invalid files that were logged
}

// endedProcess is the last state of a process that has ended, and the path of its files without the suffix.
type endedProcess struct {
	State
	base string
}

// errNotRegistered is the result of Publish as long as the process could not register in the directory.
var errNotRegistered = errors.New("the process is not registered in the state directory yet")

// Join registers this process as the youngest of its node and reads the states of the others. If the directory cannot be written
// for the moment, registration is retried with exponential backoff and the states that can be read are used meanwhile. Join
// fails if the directory does not exist.
func Join(l *loop.Loop, opt Options) (*Member, error) {
	if info, err := os.Stat(opt.Dir); errors.Is(err, fs.ErrNotExist) || err == nil && !info.IsDir() {
		return nil, fmt.Errorf("%s is not a directory", opt.Dir)
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s", opt.Name, opt.Listen)
	m := &Member{opt: opt, loop: l, mapIDs: mapIDs, prefix: fmt.Sprintf("lapisshelf-%016x-", h.Sum64()), reportedFiles: map[string]bool{}, publishErr: errNotRegistered, retryBackoff: pollInterval}
	m.ids = idTables{own: NewIDTable(opt.IDs.Capacity), others: map[string]*peerIDs{}, unreadable: map[string]time.Duration{}}
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

// watchDir asks the system to notify of changes: files renamed into place, and lock files closed when their holders end.
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
		for { // discards the events: all files are read again anyway
			if n, err := unix.Read(fd, buf[:]); err != nil && !errors.Is(err, unix.EINTR) || n == 0 {
				break
			}
		}
		m.Refresh()
	})
	return err
}

// Start begins to poll for changes, which are reported through OnChange.
func (m *Member) Start() { m.schedulePoll() }

// schedulePoll sets the timer of the next poll. Polling also finds changes that the system does not notify of.
func (m *Member) schedulePoll() {
	interval := pollInterval
	if m.inotify != nil && m.ownLock != nil {
		interval = notifiedPollInterval
	}
	m.pollTimer = m.loop.After(interval, func() {
		m.retryRegister()
		if m.inotify == nil || len(m.peers) > 0 || m.rereadNeeded || len(m.ids.others) > 0 {
			m.Refresh()
		}
		m.schedulePoll()
	})
}

// retryRegister registers the process if that has failed so far and the backoff is over.
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

// Refresh reads the states of the other processes and reports changes through OnChange.
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

// Self returns the state last passed to Publish, whether it is written or not.
func (m *Member) Self() State { return m.self }

// PublishErr returns why the state last passed to Publish is not written yet, or nil if it is.
func (m *Member) PublishErr() error { return m.publishErr }

// Peers returns the latest states of the other live processes, youngest first.
func (m *Member) Peers() []State { return m.peers }

// Ended returns the last states of processes that have ended, youngest first. They are kept until Publish has written a state,
// which must include what is still valid of them.
func (m *Member) Ended() (states []State) {
	for _, e := range m.ended {
		states = append(states, e.State)
	}
	return states
}

// Publish writes the state of this process. If it returns nil, all other processes see the state, and it outlasts this process.
// After an error the caller must retry. The file is synced to disk if the overrides of operators have changed; for other changes
// it is only renamed into place, since no process needs them after a crash of the machine.
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
	for _, e := range m.ended { // its overrides are in the own state file now
		removeFiles(e.base)
	}
	m.ended = nil
	return nil
}
