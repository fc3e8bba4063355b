package handover

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"lapisshelf/internal/system"
)

// The order of a node's processes is a counter: who enters takes one more than the highest in the directory, under a lock that
// all who enter take. It begins with the wall clock and is never below it, since earlier builds take their start by that clock
// for their order.

const (
	entryWithin = 200 * time.Millisecond // how long another that enters is waited for; it may have been stopped in it
	entryLook   = 5 * time.Millisecond
)

// enter takes an order above all others' and locks the own file; the process is known once Publish has written it.
func (m *Member) enter() error {
	entry, err := m.lockEntry()
	if err != nil {
		return err
	}
	defer entry.Close()
	files, err := m.files()
	if err != nil {
		return err
	}
	order := int64(m.loop.Now())
	m.early = map[int]bool{}
	for _, f := range files {
		order = max(order, f.order+1)
		m.early[f.pid] = true
	}
	own, lock, err := m.claim(order)
	if err != nil {
		return err
	}
	m.own, m.lock, m.said, m.self.Process.Order = own, lock, nil, order
	return nil
}

// lockEntry takes the lock under which processes enter. One who holds it for long has been stopped, and is not waited for.
func (m *Member) lockEntry() (*os.File, error) {
	path := filepath.Join(m.opt.Dir, strings.TrimSuffix(m.prefix, "-")+".entry")
	f, err := system.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	for began := time.Now(); time.Since(began) < entryWithin; time.Sleep(entryLook) {
		if flock(f, unix.LOCK_EX|unix.LOCK_NB) == nil {
			break
		}
	}
	return f, nil
}

// claim makes and locks the file of a process with an order.
func (m *Member) claim(order int64) (base string, lock *os.File, err error) {
	base = filepath.Join(m.opt.Dir, fmt.Sprintf("%s%d-%d", m.prefix, order, m.self.PID))
	lock, err = system.OpenFile(base+lockEnding, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return "", nil, err
	}
	if err := flock(lock, unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return "", nil, err
	}
	return base, lock, nil
}

// stayElder takes a lower order where a process that came later has one below the own. Guards against a process of an earlier
// build, which takes the wall clock for its order: after a step back it counts as the elder, and is given no room as long as
// this one lives.
func (m *Member) stayElder() {
	if m.lock == nil {
		return
	}
	own := m.self.Process.Order
	lowest, between := own, int64(0)
	for base, s := range m.known {
		f := m.fileOf(base)
		switch {
		case f.order < own && !m.early[f.pid]:
			lowest = min(lowest, s.Process.Order)
		case f.order > own:
			between++ // it came later than this process, and earlier than that one
		}
	}
	if order := lowest - 1 - between; lowest < own && order > 0 {
		if err := m.reorder(order); err != nil {
			m.opt.Note("handover_failed", fmt.Sprintf("why=%q", err))
			m.unread = true // tried again at the next look
		}
	}
}

// fileOf takes a path without its ending apart.
func (m *Member) fileOf(base string) (f file) {
	f.base = base
	fmt.Sscanf(strings.TrimPrefix(filepath.Base(base), m.prefix), "%d-%d", &f.order, &f.pid)
	return f
}

// reorder goes over to another order: the new file stands before the old one goes, so that others never miss this process.
func (m *Member) reorder(order int64) error {
	base, lock, err := m.claim(order)
	if err != nil {
		return err
	}
	s := m.self
	s.Process.Order = order
	text, err := json.Marshal(s)
	if err == nil {
		err = system.WriteFileAtomic(base+fileEnding, base+newEnding, text, fileMode, true)
	}
	if err != nil {
		lock.Close()
		remove(base)
		return err
	}
	oldBase, oldLock := m.own, m.lock
	m.own, m.lock, m.self, m.said = base, lock, s, text
	remove(oldBase)
	oldLock.Close()
	m.opt.Note("handover_reordered", fmt.Sprintf("order=%d", order))
	return nil
}
