package handover

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"lapisshelf/internal/system"
	"lapisshelf/policy"
)

// The files of a process: what it makes known, the same while it is written, and the lock that it holds.
const (
	fileEnding = ".json"
	newEnding  = ".new"
	lockEnding = ".lock"
	fileMode   = 0o600
)

// mostOrder bounds orders and versions, so that there is always a next one.
const mostOrder = 1 << 62

// file is the name of a process's files, without their ending.
type file struct {
	base  string // the path
	order int64
	pid   int
	state bool // it has made something known
}

// files gives the files of the node's processes, the youngest process first. Names that make no sense are left out.
func (m *Member) files() ([]file, error) {
	names, err := system.ReadDirNames(m.opt.Dir)
	if err != nil {
		return nil, err
	}
	found := map[string]file{}
	for _, name := range names {
		ending := filepath.Ext(name)
		rest, ours := strings.CutPrefix(strings.TrimSuffix(name, ending), m.prefix)
		order, pid, whole := strings.Cut(rest, "-")
		f := file{base: filepath.Join(m.opt.Dir, strings.TrimSuffix(name, ending))}
		var badOrder, badPID error
		f.order, badOrder = strconv.ParseInt(order, 10, 64)
		f.pid, badPID = strconv.Atoi(pid)
		if !ours || !whole || badOrder != nil || badPID != nil || f.order <= 0 || f.order >= mostOrder {
			continue
		}
		f.state = found[f.base].state || ending == fileEnding
		found[f.base] = f
	}
	var list []file
	for _, f := range found {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b file) int { return cmp.Or(cmp.Compare(b.order, a.order), cmp.Compare(b.pid, a.pid)) })
	return list, nil
}

// read reads the others' files. Those of processes that have ended are read once more, and cleared away when what they
// said has been made known anew. Guards against a process that counts as ended, or as one that said nothing, because a
// descriptor was short or the disk failed for a moment: what was known of it stands until it can be read.
func (m *Member) read() {
	files, err := m.files()
	if m.unread = err != nil; m.unread {
		return
	}
	known := map[string]State{}
	m.peers = nil
	present := false
	for _, f := range files {
		if f.base == m.own {
			present = f.state
			continue
		}
		if f.state {
			m.readOne(f, known)
		}
	}
	m.known = known
	if m.said != nil && !present { // somebody took this process for one that has ended
		m.said, m.owed = nil, errors.New("the own file has gone")
	}
	m.stayElder()
}

// readOne reads the file of one process.
func (m *Member) readOne(f file, known map[string]State) {
	lives, err := locked(f.base + lockEnding)
	if err != nil {
		m.unread = true
		if s, is := m.known[f.base]; is { // as far as is known it lives
			known[f.base] = s
			m.peers = append(m.peers, s)
		}
		return
	}
	s, err := m.load(f.base + fileEnding)
	if unreadable(err) {
		m.unread = true
		last, is := m.known[f.base]
		if !is {
			return
		}
		s, err = last, nil
	}
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		m.refuse(f, err)
	case lives && len(m.peers) < mostPeers:
		known[f.base] = s
		m.peers = append(m.peers, s)
	case !lives && !slices.ContainsFunc(m.left, func(e ended) bool { return e.base == f.base }):
		m.left = append(m.left, ended{s, f.base})
	}
}

// refuse tells of a file that makes no sense, once.
func (m *Member) refuse(f file, why error) {
	if !m.bad[f.base] && len(m.bad) < mostPeers {
		m.bad[f.base] = true
		m.opt.Note("handover_refused", fmt.Sprintf("file=%s why=%q", filepath.Base(f.base)+fileEnding, why))
	}
}

// unreadable reports whether an error is the system's, which passes, and not the file's.
func unreadable(err error) bool {
	var failed *fs.PathError
	return errors.As(err, &failed) && !errors.Is(err, fs.ErrNotExist)
}

// locked reports whether the holder of a lock lives; an error, that it can't be known now.
func locked(path string) (bool, error) {
	f, err := system.OpenFile(path, os.O_RDONLY, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer f.Close()
	err = flock(f, unix.LOCK_SH|unix.LOCK_NB)
	if errors.Is(err, unix.EWOULDBLOCK) {
		return true, nil
	}
	return false, err
}

// flock locks a file, also where the call is interrupted.
func flock(f *os.File, how int) error {
	for {
		if err := unix.Flock(int(f.Fd()), how); !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// load reads one file. One that is not whole, of another version or of another node, is an error.
func (m *Member) load(path string) (s State, err error) {
	f, err := system.OpenFile(path, os.O_RDONLY, 0)
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
	senseless := func(h policy.Override) bool { return h.At < 0 || h.At >= mostOrder }
	switch {
	case s.Version != version:
		return s, fmt.Errorf("version %d, not %d", s.Version, version)
	case s.Name != m.opt.Name || s.Listen != m.opt.Listen:
		return s, fmt.Errorf("of another node, %q at %s", s.Name, s.Listen)
	case s.Process.OpenFDs < 0 || s.Process.FDLimit < 0 || s.Process.Order <= 0 || s.Process.Order >= mostOrder,
		s.LameDuck.Version < 0 || s.LameDuck.Version >= mostOrder, slices.ContainsFunc(s.Overrides, senseless):
		return s, errors.New("figures that make no sense")
	}
	return s, nil
}

// remove clears away the files of a process that has ended. What stays is tried again as it is read again.
func remove(base string) {
	for _, ending := range []string{fileEnding, newEnding, lockEnding} {
		os.Remove(base + ending)
	}
}
