package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"lapisshelf/internal/system"
)

// The ids of requests that may run, or have run, at other processes of the node. Each process has its table in a file that all map into
// their memory: what one adds, the others see at once, without a system call. The file is never synced; it need not outlast the machine.
// Only its owner decides when an id is forgotten, by its own clock. The table of a process that has ended is kept for as long as an id is,
// from the moment at which that was noticed.

const (
	idFileHeader  = 16 // bytes: idFileMagic and the number of slots
	idFileMagic   = uint64(0x6c61706973696431)
	maxIDTables   = 16      // tables of other processes
	maxIDFileSize = 8 << 20 // bytes
	slotBytes     = 8
	mapOperation  = "mmap" // in errors
)

// IDOptions configure what a process remembers of requests.
type IDOptions struct {
	Capacity  int           // ids
	Retention time.Duration // for which the youngest id of a process is remembered
}

// idTables are the own table and those of the node's other processes.
type idTables struct {
	own        *IDTable
	ownPath    string // empty: other processes do not see it
	private    bool   // the directory's file system cannot map files, so they never will
	others     map[string]*peerIDs
	unreadable map[string]time.Duration // files that could not be read, by path, and since when
}

// peerIDs is the table of another process.
type peerIDs struct {
	pid     int
	file    []byte // mapped
	slots   []uint64
	endedAt time.Duration // when its process was first missed; 0: it runs
}

// IDs returns the table of this process.
func (m *Member) IDs() *IDTable { return m.ids.own }

// HasID reports whether another process of the node remembers an id.
func (m *Member) HasID(id []byte) bool {
	if len(m.ids.others) == 0 {
		return false
	}
	hash := hashID(id)
	for _, table := range m.ids.others {
		if holds(table.slots, hash) {
			return true
		}
	}
	return false
}

// KnowsAllIDs reports whether the tables of all processes that have one could be read.
func (m *Member) KnowsAllIDs() bool { return len(m.ids.unreadable) == 0 }

// idFilePrefix begins the names of the node's id files. They are no files of a process to listFiles, which earlier builds have, too.
func (m *Member) idFilePrefix() string { return strings.TrimSuffix(m.prefix, "-") + ".ids-" }

// shareIDs moves the own table into a file that other processes can map.
func (m *Member) shareIDs(order int64) error {
	t := m.ids.own
	path := filepath.Join(m.opt.Dir, fmt.Sprintf("%s%d-%d", m.idFilePrefix(), order, m.self.PID))
	content := binary.NativeEndian.AppendUint64(make([]byte, 0, idFileHeader+len(t.slots)*slotBytes), idFileMagic)
	content = binary.NativeEndian.AppendUint64(content, uint64(len(t.slots)))
	for _, hash := range t.slots {
		content = binary.NativeEndian.AppendUint64(content, hash)
	}
	// All of it is written, so that the system has room for it: a page of a mapped file for which there is none ends the process.
	if err := system.WriteFileAtomic(path, path+tempSuffix, content, fileMode, false); err != nil {
		return err
	}
	_, slots, err := m.mapIDs(path, unix.PROT_READ|unix.PROT_WRITE) // it stays mapped until the process ends
	if err == nil {
		t.slots, m.ids.ownPath = slots, path
		return nil
	}
	os.Remove(path)
	if failed := (*os.PathError)(nil); errors.As(err, &failed) && failed.Op == mapOperation {
		// Guards against a node that cannot be upgraded for want of shared ids.
		m.ids.private = true
		m.opt.Note("handover_ids_private", fmt.Sprintf("why=%q", err))
		return nil
	}
	return err
}

// mapIDs maps an id file into memory.
func mapIDs(path string, protection int) (file []byte, slots []uint64, err error) {
	flag := os.O_RDONLY
	if protection&unix.PROT_WRITE != 0 {
		flag = os.O_RDWR
	}
	f, err := system.OpenFile(path, flag, 0)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, nil, err
	}
	if size := info.Size(); !info.Mode().IsRegular() || size <= idFileHeader || size > maxIDFileSize {
		return nil, nil, errBadIDFile
	}
	file, err = unix.Mmap(int(f.Fd()), 0, int(info.Size()), protection, unix.MAP_SHARED)
	if err != nil {
		return nil, nil, &os.PathError{Op: mapOperation, Path: path, Err: err}
	}
	count := binary.NativeEndian.Uint64(file[slotBytes:])
	if binary.NativeEndian.Uint64(file) != idFileMagic || count == 0 || count%bucketSlots != 0 || count != uint64(len(file)-idFileHeader)/slotBytes {
		unix.Munmap(file)
		return nil, nil, errBadIDFile
	}
	return file, unsafe.Slice((*uint64)(unsafe.Pointer(&file[idFileHeader])), count), nil
}

// errBadIDFile is the error of a file that is no id file of this version.
var errBadIDFile = errors.New("not a file of request ids")

// readIDs maps the id files among the names of the directory that are not mapped yet, and forgets those of processes that ended so long
// ago that none of their requests matters any more. running has the pids of the node's running processes.
func (m *Member) readIDs(names []string, running map[int]bool) {
	now := m.loop.Now()
	for _, name := range names {
		path := filepath.Join(m.opt.Dir, name)
		pid, is := m.parseIDFile(name)
		if !is || path == m.ids.ownPath || m.ids.others[path] != nil {
			continue
		}
		if err := m.openIDs(path, pid); err != nil {
			m.noteUnreadableIDs(path, name, now, err)
		} else {
			delete(m.ids.unreadable, path)
		}
	}
	for path, table := range m.ids.others {
		switch {
		case running[table.pid]:
			table.endedAt = 0
		case table.endedAt == 0:
			table.endedAt = now
		case now-table.endedAt > m.opt.IDs.Retention:
			m.dropIDs(path)
		}
	}
	for path, since := range m.ids.unreadable {
		if now-since > m.opt.IDs.Retention {
			delete(m.ids.unreadable, path)
			os.Remove(path)
		}
	}
}

// openIDs maps the table of another process.
func (m *Member) openIDs(path string, pid int) error {
	if len(m.ids.others) >= maxIDTables {
		return fmt.Errorf("%d tables are open", maxIDTables)
	}
	file, slots, err := m.mapIDs(path, unix.PROT_READ)
	if err != nil {
		return err
	}
	m.ids.others[path] = &peerIDs{pid: pid, file: file, slots: slots}
	return nil
}

// noteUnreadableIDs notes that the table of another process could not be read. It is tried again.
func (m *Member) noteUnreadableIDs(path, name string, now time.Duration, err error) {
	if errors.Is(err, os.ErrNotExist) { // it was removed since the directory was read
		delete(m.ids.unreadable, path)
		return
	}
	if _, known := m.ids.unreadable[path]; !known {
		m.ids.unreadable[path] = now
		m.opt.Note("handover_ids_unreadable", fmt.Sprintf("file=%s why=%q", name, err))
	}
	m.rereadNeeded = true
}

// dropIDs forgets the table of a process that has ended.
func (m *Member) dropIDs(path string) {
	unix.Munmap(m.ids.others[path].file)
	delete(m.ids.others, path)
	os.Remove(path)
}

// parseIDFile returns the pid in the name of an id file of the node.
func (m *Member) parseIDFile(name string) (pid int, is bool) {
	rest, found := strings.CutPrefix(name, m.idFilePrefix())
	_, number, hasPID := strings.Cut(rest, "-")
	pid, err := strconv.Atoi(number)
	return pid, found && hasPID && err == nil
}
