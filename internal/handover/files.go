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
	stateSuffix = ".json"
	tempSuffix  = ".new"
	lockSuffix  = ".lock"
	fileMode    = 0o600
)

// maxOrder bounds orders and versions, so that there is always a next one.
const maxOrder = 1 << 62

// processFiles is the name of a process's files, without their ending.
type processFiles struct {
	base     string // the path
	order    int64
	pid      int
	hasState bool // it has made something known
}

// listFiles gives the files of the node's processes, the youngest process first. Names that make no sense are left out.
func (m *Member) listFiles() ([]processFiles, error) {
	names, err := system.ReadDirNames(m.opt.Dir)
	if err != nil {
		return nil, err
	}
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
	return list, nil
}

// readAll reads the others' files. Those of processes that have ended are read once more, and cleared away when what they
// said has been made known anew. Guards against a process that counts as ended, or as one that said nothing, because a
// descriptor was short or the disk failed for a moment: what was known of it stands until it can be read.
func (m *Member) readAll() {
	files, err := m.listFiles()
	if m.rereadNeeded = err != nil; m.rereadNeeded {
		return
	}
	states := map[string]State{}
	m.peers = nil
	present := false
	for _, f := range files {
		if f.base == m.ownBase {
			present = f.hasState
			continue
		}
		if f.hasState {
			m.readProcess(f, states)
		}
	}
	m.lastRead = states
	if m.published != nil && !present { // somebody took this process for one that has ended
		m.published, m.publishErr = nil, errors.New("the own file has gone")
	}
	m.keepSeniority()
}

// readProcess reads the file of one process.
func (m *Member) readProcess(f processFiles, states map[string]State) {
	alive, err := isLocked(f.base + lockSuffix)
	if err != nil {
		m.rereadNeeded = true
		if s, ok := m.lastRead[f.base]; ok { // as far as is known it lives
			states[f.base] = s
			m.peers = append(m.peers, s)
		}
		return
	}
	s, err := m.readState(f.base + stateSuffix)
	if isTransient(err) {
		m.rereadNeeded = true
		last, ok := m.lastRead[f.base]
		if !ok {
			return
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
}

// reportBadFile tells of a file that makes no sense, once.
func (m *Member) reportBadFile(f processFiles, why error) {
	if !m.reportedFiles[f.base] && len(m.reportedFiles) < maxPeers {
		m.reportedFiles[f.base] = true
		m.opt.Note("handover_refused", fmt.Sprintf("file=%s why=%q", filepath.Base(f.base)+stateSuffix, why))
	}
}

// isTransient reports whether an error is the system's, which passes, and not the file's.
func isTransient(err error) bool {
	var failed *fs.PathError
	return errors.As(err, &failed) && !errors.Is(err, fs.ErrNotExist)
}

// isLocked reports whether the holder of a lock lives; an error, that it can't be known now.
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

// flock locks a file, also where the call is interrupted.
func flock(f *os.File, how int) error {
	for {
		if err := unix.Flock(int(f.Fd()), how); !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// readState reads one file. One that is not whole, of another version or of another node, is an error.
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
		return s, fmt.Errorf("no file of at most %d bytes", maxStateBytes)
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
		return s, fmt.Errorf("of another node, %q at %s", s.Name, s.Listen)
	case s.Process.OpenFDs < 0 || s.Process.FDLimit < 0 || s.Process.Order <= 0 || s.Process.Order >= maxOrder,
		s.LameDuck.Version < 0 || s.LameDuck.Version >= maxOrder, slices.ContainsFunc(s.Overrides, invalid):
		return s, errors.New("figures that make no sense")
	}
	return s, nil
}

// removeFiles clears away the files of a process that has ended. What stays is tried again as it is read again.
func removeFiles(base string) {
	for _, suffix := range []string{stateSuffix, tempSuffix, lockSuffix} {
		os.Remove(base + suffix)
	}
}
