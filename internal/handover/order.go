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

// The order of a node's processes is a counter: a process that registers takes one more than the highest order in the directory,
// under a lock that is held during registration. The order is at least the wall-clock time, since earlier builds use the wall-clock
// time of their start as their order.

const (
	registrationLockTimeout  = 200 * time.Millisecond // the holder of the lock may be a stopped process
	registrationLockInterval = 5 * time.Millisecond
)

// register takes an order above all others and locks the own lock file. Others see the process once Publish has written its state.
func (m *Member) register() error {
	registrationLock, err := m.lockRegistration()
	if err != nil {
		return err
	}
	defer registrationLock.Close()
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
	if m.ids.ownPath == "" && !m.ids.private { // before its state is written, so that who sees the process can read its ids
		if err := m.shareIDs(order); err != nil {
			lock.Close()
			removeFiles(own)
			return err
		}
	}
	m.ownBase, m.ownLock, m.published, m.self.Process.Order = own, lock, nil, order
	return nil
}

// lockRegistration takes the lock that serializes registration. It goes on without the lock after registrationLockTimeout: a
// process that holds it for longer has been stopped.
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

// createLock creates and locks the lock file of this process for an order.
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

// keepSeniority takes a lower order if a process that registered later has one below the own. This happens with a process of an
// earlier build, whose order is the wall-clock time, after the clock has been set back: it would count as the older process and be
// allowed no file descriptors as long as this one lives.
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
			between++ // registered after this process and before the one with the lowest order
		}
	}
	if order := lowest - 1 - between; lowest < own && order > 0 {
		if err := m.changeOrder(order); err != nil {
			m.opt.Note("handover_failed", fmt.Sprintf("why=%q", err))
			m.rereadNeeded = true // retried at the next poll
		}
	}
}

// parseBase parses the order and PID in a path without the suffix.
func (m *Member) parseBase(base string) (f processFiles) {
	f.base = base
	fmt.Sscanf(strings.TrimPrefix(filepath.Base(base), m.prefix), "%d-%d", &f.order, &f.pid)
	return f
}

// changeOrder moves this process to another order. The new files are complete before the old ones are removed, so that other
// processes see it all the time.
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
