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
	registrationLockTimeout  = 200 * time.Millisecond // how long another that enters is waited for; it may have been stopped in it
	registrationLockInterval = 5 * time.Millisecond
)

// register takes an order above all others' and locks the own file; the process is known once Publish has written it.
func (m *Member) register() error {
	entry, err := m.lockRegistration()
	if err != nil {
		return err
	}
	defer entry.Close()
	files, err := m.listFiles()
	if err != nil {
		return err
	}
	order := int64(m.loop.Now())
	m.earlierPIDs = map[int]bool{}
	for _, f := range files {
		order = max(order, f.order+1)
		m.earlierPIDs[f.pid] = true
	}
	own, lock, err := m.createLock(order)
	if err != nil {
		return err
	}
	m.ownBase, m.ownLock, m.published, m.self.Process.Order = own, lock, nil, order
	return nil
}

// lockRegistration takes the lock under which processes enter. One who holds it for long has been stopped, and is not waited for.
func (m *Member) lockRegistration() (*os.File, error) {
	path := filepath.Join(m.opt.Dir, strings.TrimSuffix(m.prefix, "-")+".entry")
	f, err := system.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	for start := time.Now(); time.Since(start) < registrationLockTimeout; time.Sleep(registrationLockInterval) {
		if flock(f, unix.LOCK_EX|unix.LOCK_NB) == nil {
			break
		}
	}
	return f, nil
}

// createLock makes and locks the file of a process with an order.
func (m *Member) createLock(order int64) (base string, lock *os.File, err error) {
	base = filepath.Join(m.opt.Dir, fmt.Sprintf("%s%d-%d", m.prefix, order, m.self.PID))
	lock, err = system.OpenFile(base+lockSuffix, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return "", nil, err
	}
	if err := flock(lock, unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return "", nil, err
	}
	return base, lock, nil
}

// keepSeniority takes a lower order where a process that came later has one below the own. Guards against a process of an earlier
// build, which takes the wall clock for its order: after a step back it counts as the elder, and is given no room as long as
// this one lives.
func (m *Member) keepSeniority() {
	if m.ownLock == nil {
		return
	}
	own := m.self.Process.Order
	lowest, between := own, int64(0)
	for base, s := range m.lastRead {
		f := m.parseBase(base)
		switch {
		case f.order < own && !m.earlierPIDs[f.pid]:
			lowest = min(lowest, s.Process.Order)
		case f.order > own:
			between++ // it came later than this process, and earlier than that one
		}
	}
	if order := lowest - 1 - between; lowest < own && order > 0 {
		if err := m.changeOrder(order); err != nil {
			m.opt.Note("handover_failed", fmt.Sprintf("why=%q", err))
			m.rereadNeeded = true // tried again at the next look
		}
	}
}

// parseBase takes a path without its ending apart.
func (m *Member) parseBase(base string) (f processFiles) {
	f.base = base
	fmt.Sscanf(strings.TrimPrefix(filepath.Base(base), m.prefix), "%d-%d", &f.order, &f.pid)
	return f
}

// changeOrder goes over to another order: the new file stands before the old one goes, so that others never miss this process.
func (m *Member) changeOrder(order int64) error {
	base, lock, err := m.createLock(order)
	if err != nil {
		return err
	}
	s := m.self
	s.Process.Order = order
	text, err := json.Marshal(s)
	if err == nil {
		err = system.WriteFileAtomic(base+stateSuffix, base+tempSuffix, text, fileMode, true)
	}
	if err != nil {
		lock.Close()
		removeFiles(base)
		return err
	}
	oldBase, oldLock := m.ownBase, m.ownLock
	m.ownBase, m.ownLock, m.self, m.published = base, lock, s, text
	removeFiles(oldBase)
	oldLock.Close()
	m.opt.Note("handover_reordered", fmt.Sprintf("order=%d", order))
	return nil
}
