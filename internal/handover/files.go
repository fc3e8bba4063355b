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

// The suffixes of a process's files: its published state, the state while it is being written, and the lock that it holds.
const (
	stateSuffix = ".json"
	tempSuffix  = ".new"
	lockSuffix  = ".lock"
	fileMode    = 0o600
)

// maxOrder is an exclusive upper bound of orders and versions, so that incrementing one never overflows.
const maxOrder = 1 << 62

// processFiles identifies the files of one process, parsed from their name.
type processFiles struct {
	base     string // path without the suffix
	order    int64
	pid      int
	hasState bool // a state file exists
}

// listFiles returns the files of the node's processes, youngest process first.
func (m *Member) listFiles() ([]processFiles, error) {
	names, err := system.ReadDirNames(m.opt.Dir)
	if err != nil {
		return nil, err
	}
	return m.selectFiles(names), nil
}

// selectFiles returns the files of the node's processes among the names in the directory, youngest process first. Names that are not valid
// are left out.
func (m *Member) selectFiles(names []string) []processFiles {
	found := map[string]processFiles{}
	for _, name := range names {
		suffix := filepath.Ext(name)
		rest, hasPrefix := strings.CutPrefix(strings.TrimSuffix(name, suffix), m.prefix)
		order, pid, hasPID := strings.Cut(rest, "-")
		f := processFiles{base: filepath.Join(m.opt.Dir, strings.TrimSuffix(name, suffix))}
		var badOrder, badPID error
		f.order, badOrder = strconv.ParseInt(order, 10, 64)
		f.pid, badPID = strconv.Atoi(pid)
		if !hasPrefix || !hasPID || badOrder != nil || badPID != nil || f.order <= 0 || f.order >= maxOrder {
			continue
		}
		f.hasState = found[f.base].hasState || suffix == stateSuffix
		found[f.base] = f
	}
	var list []processFiles
	for _, f := range found {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b processFiles) int { return cmp.Or(cmp.Compare(b.order, a.order), cmp.Compare(b.pid, a.pid)) })
	return list
}

// readAll reads the states of the other processes. The state of a process that has ended is kept in m.ended, and its files are
// removed once Publish has written a state that includes it. If a state cannot be read for the moment, because of a descriptor
// shortage or a disk error, the last known one stays in use: the process must not be taken for one that has ended or that has
// published nothing.
func (m *Member) readAll() {
	names, err := system.ReadDirNames(m.opt.Dir)
	if m.rereadNeeded = err != nil; m.rereadNeeded {
		return
	}
	files := m.selectFiles(names)
	states := map[string]State{}
	m.peers = nil
	present, running := false, map[int]bool{}
	for _, f := range files {
		if f.base == m.ownBase {
			present = f.hasState
			continue
		}
		if f.hasState {
			running[f.pid] = m.readProcess(f, states) || running[f.pid]
		}
	}
	m.lastRead = states
	if m.published != nil && !present { // another process has taken this one for ended and removed its files
		m.published, m.publishErr = nil, errors.New("the state file of this process was removed")
	}
	m.readIDs(names, running)
	m.keepSeniority()
}

// readProcess reads the state of one process, and adds it to m.peers and states if the process is alive, else to m.ended. It reports
// whether the process may be alive.
func (m *Member) readProcess(f processFiles, states map[string]State) (mayRun bool) {
	alive, err := isLocked(f.base + lockSuffix)
	if err != nil {
		m.rereadNeeded = true
		if s, ok := m.lastRead[f.base]; ok { // assumed to be alive still
			states[f.base] = s
			m.peers = append(m.peers, s)
		}
		return true
	}
	s, err := m.readState(f.base + stateSuffix)
	if isTransient(err) {
		m.rereadNeeded = true
		last, ok := m.lastRead[f.base]
		if !ok {
			return alive
		}
		s, err = last, nil
	}
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		m.reportBadFile(f, err)
	case alive && len(m.peers) < maxPeers:
		states[f.base] = s
		m.peers = append(m.peers, s)
	case !alive && !slices.ContainsFunc(m.ended, func(e endedProcess) bool { return e.base == f.base }):
		m.ended = append(m.ended, endedProcess{s, f.base})
	}
	return alive
}

// reportBadFile logs an invalid state file, once per file.
func (m *Member) reportBadFile(f processFiles, why error) {
	if !m.reportedFiles[f.base] && len(m.reportedFiles) < maxPeers {
		m.reportedFiles[f.base] = true
		m.opt.Note("handover_refused", fmt.Sprintf("file=%s why=%q", filepath.Base(f.base)+stateSuffix, why))
	}
}

// isTransient reports whether an error is one of the system, which may pass, rather than one of the file's content.
func isTransient(err error) bool {
	var failed *fs.PathError
	return errors.As(err, &failed) && !errors.Is(err, fs.ErrNotExist)
}

// isLocked reports whether a lock is held, which means that its process is alive. An error means that this is unknown for now.
func isLocked(path string) (bool, error) {
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

// flock locks a file and retries if a signal interrupts the call.
func flock(f *os.File, how int) error {
	for {
		if err := unix.Flock(int(f.Fd()), how); !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// readState reads one state file. A file that is truncated, of another version or of another node is an error.
func (m *Member) readState(path string) (s State, err error) {
	f, err := system.OpenFile(path, os.O_RDONLY, 0)
	if err != nil {
		return s, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return s, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxStateBytes {
		return s, fmt.Errorf("not a regular file of at most %d bytes", maxStateBytes)
	}
	d := json.NewDecoder(f)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, err
	}
	invalid := func(h policy.Override) bool { return h.At < 0 || h.At >= maxOrder }
	switch {
	case s.Version != stateVersion:
		return s, fmt.Errorf("version %d, not %d", s.Version, stateVersion)
	case s.Name != m.opt.Name || s.Listen != m.opt.Listen:
		return s, fmt.Errorf("belongs to another node, %q at %s", s.Name, s.Listen)
	case s.Process.OpenFDs < 0 || s.Process.FDLimit < 0 || s.Process.Order <= 0 || s.Process.Order >= maxOrder,
		s.LameDuck.Version < 0 || s.LameDuck.Version >= maxOrder, slices.ContainsFunc(s.Overrides, invalid):
		return s, errors.New("numbers out of range")
	}
	return s, nil
}

// removeFiles removes the files of a process. Errors are ignored: files that remain are read and removed again later.
func removeFiles(base string) {
	for _, suffix := range []string{stateSuffix, tempSuffix, lockSuffix} {
		os.Remove(base + suffix)
	}
}
