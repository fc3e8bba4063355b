// Package handover is how the processes of one node know of each other: by files in a directory that they share. Each
// process has one that it alone writes, whole and by rename, and a lock beside it that it holds as long as it lives. All
// of it runs on the node's loop; the files are small and lie in memory where the directory does.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	decide "lapisshelf/decide/handover"
	"lapisshelf/internal/loop"
	"lapisshelf/policy"
)

const (
	version   = 1
	mostBytes = 1 << 20                // of a file
	mostPeers = 8                      // processes that are looked at
	lookEvery = 200 * time.Millisecond // besides what the system tells
	pollEvery = 50 * time.Millisecond  // where it tells nothing
)

// State is what a process makes known.
type State struct {
	Version int            `json:"version"`
	Name    string         `json:"name"`
	Listen  string         `json:"listen"`
	PID     int            `json:"pid"`
	Process decide.Process `json:"process"`
	Hands   []policy.Hand  `json:"hands,omitempty"` // what was said of servers by hand
	Lame    Lame           `json:"lame"`
	List    List           `json:"list"`
}

// Lame is the last word on whether the node is drained.
type Lame struct {
	On bool          `json:"on"`
	At time.Duration `json:"at"` // when it was said, on the event clock
}

// List is what a process's list says of servers that get nothing new.
type List struct {
	Source   string   `json:"source,omitempty"` // the registry: revisions of two compare with nothing
	Revision int64    `json:"revision"`
	Leaving  []string `json:"leaving,omitempty"` // draining, or gone lately
	Listed   []string `json:"listed,omitempty"`  // ids that were ever listed
}

// Options are what a process is told.
type Options struct {
	Dir, Name, Listen string
	Note              func(event, why string) // a line for the log
	Changed           func()                  // the others, or what they make known, have changed
}

// Member is this process among the others.
type Member struct {
	opt    Options
	loop   *loop.Loop
	prefix string
	own    string // path of the own file, without its ending
	lock   *os.File
	watch  *loop.File
	timer  *loop.Timer
	said   []byte // as written last
	self   State
	peers  []State
	left   []State         // of processes that have ended
	bad    map[string]bool // files that were told of as bad
}

// Join makes the process known, as coming, and reads what the others have made known. Its order is the moment of its
// start.
func Join(l *loop.Loop, opt Options) (*Member, error) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s", opt.Name, opt.Listen)
	m := &Member{opt: opt, loop: l, prefix: fmt.Sprintf("lapisshelf-%016x-", h.Sum64()), bad: map[string]bool{}}
	m.self = State{Version: version, Name: opt.Name, Listen: opt.Listen, PID: os.Getpid(), Process: decide.Process{Order: int64(l.Now())}}
	m.own = filepath.Join(opt.Dir, fmt.Sprintf("%s%d-%d", m.prefix, m.self.Process.Order, m.self.PID))
	var err error
	if m.lock, err = os.OpenFile(m.own+".lock", os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	if err := unix.Flock(int(m.lock.Fd()), unix.LOCK_EX); err != nil {
		m.lock.Close()
		return nil, err
	}
	if err = m.notify(); err != nil {
		opt.Note("handover_polls", fmt.Sprintf("why=%q", err))
	}
	m.read()
	return m, nil
}

// notify has the system tell of changes: of files renamed into place, and of locks closed as their holders end.
func (m *Member) notify() error {
	fd, err := unix.InotifyInit1(unix.IN_NONBLOCK | unix.IN_CLOEXEC)
	if err != nil {
		return err
	}
	if _, err := unix.InotifyAddWatch(fd, m.opt.Dir, unix.IN_MOVED_TO|unix.IN_CLOSE_WRITE); err != nil {
		unix.Close(fd)
		return err
	}
	m.watch, err = m.loop.Watch(fd, func() {
		var buf [4096]byte
		for { // which file it is does not matter
			if n, err := unix.Read(fd, buf[:]); err != nil && !errors.Is(err, unix.EINTR) || n == 0 {
				break
			}
		}
		m.Look()
	})
	return err
}

// Start begins to tell of changes, by Changed.
func (m *Member) Start() { m.poll() }

func (m *Member) poll() {
	every := pollEvery
	if m.watch != nil {
		every = lookEvery
	}
	m.timer = m.loop.After(every, func() {
		if m.watch == nil || len(m.peers) > 0 {
			m.Look()
		}
		m.poll()
	})
}

// Look reads what the others say now, and tells of changes.
func (m *Member) Look() {
	before, gone := m.peers, len(m.left)
	m.read()
	same := func(a, b State) bool {
		x, _ := json.Marshal(a)
		y, _ := json.Marshal(b)
		return string(x) == string(y)
	}
	if gone != len(m.left) || !slices.EqualFunc(before, m.peers, same) {
		m.opt.Changed()
	}
}

// read reads the others' files. Those of processes that have ended are read once more, and cleared away when what they
// said has been made known anew.
func (m *Member) read() {
	m.peers = nil
	names, err := filepath.Glob(filepath.Join(m.opt.Dir, m.prefix+"*.json"))
	if err != nil {
		return
	}
	slices.Sort(names)
	slices.Reverse(names) // the latest first: all starts have as many digits
	for _, name := range names {
		base := strings.TrimSuffix(name, ".json")
		if base == m.own {
			continue
		}
		lives := locked(base + ".lock")
		s, err := m.load(name)
		switch {
		case err != nil && os.IsNotExist(err):
		case err != nil:
			if !m.bad[name] && len(m.bad) < mostPeers {
				m.bad[name] = true
				m.opt.Note("handover_refused", fmt.Sprintf("file=%s why=%q", filepath.Base(name), err))
			}
		case lives && len(m.peers) < mostPeers:
			m.peers = append(m.peers, s)
		case !lives && !slices.ContainsFunc(m.left, func(l State) bool { return l.Process.Order == s.Process.Order }):
			m.left = append(m.left, s)
		}
	}
}

// locked reports whether the holder of a lock lives.
func locked(path string) bool {
	fd, err := unix.Open(path, unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		return false
	}
	defer unix.Close(fd)
	return errors.Is(unix.Flock(fd, unix.LOCK_SH|unix.LOCK_NB), unix.EWOULDBLOCK)
}

// load reads one file. One that is not whole, of another version or of another node, is an error.
func (m *Member) load(path string) (s State, err error) {
	f, err := os.Open(path)
	if err != nil {
		return s, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return s, err
	}
	if !info.Mode().IsRegular() || info.Size() > mostBytes {
		return s, fmt.Errorf("no file of at most %d bytes", mostBytes)
	}
	d := json.NewDecoder(f)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, err
	}
	switch {
	case s.Version != version:
		return s, fmt.Errorf("version %d, not %d", s.Version, version)
	case s.Name != m.opt.Name || s.Listen != m.opt.Listen:
		return s, fmt.Errorf("of another node, %q at %s", s.Name, s.Listen)
	case s.Process.Open < 0 || s.Process.Room < 0 || s.Process.Order <= 0:
		return s, errors.New("figures that make no sense")
	}
	return s, nil
}

// Self is what this process has made known last.
func (m *Member) Self() State { return m.self }

// Peers are the others that live, as they made themselves known last, the latest first.
func (m *Member) Peers() []State { return m.peers }

// Left is what processes that have ended made known, the latest first. It counts until Publish has made known what it
// came to.
func (m *Member) Left() []State { return m.left }

// Publish makes the own state known; it is in force for all who look when it returns.
func (m *Member) Publish(s State) error {
	m.self = s
	text, err := json.Marshal(m.self)
	if err != nil {
		return err
	}
	if string(text) != string(m.said) {
		if err := os.WriteFile(m.own+".new", text, 0o600); err != nil {
			return err
		}
		if err := os.Rename(m.own+".new", m.own+".json"); err != nil {
			return err
		}
		m.said = text
	}
	for _, s := range m.left { // what it said by hand stands in the own file now
		base := filepath.Join(m.opt.Dir, fmt.Sprintf("%s%d-%d", m.prefix, s.Process.Order, s.PID))
		for _, ending := range []string{".json", ".new", ".lock"} {
			os.Remove(base + ending)
		}
	}
	m.left = nil
	return nil
}
