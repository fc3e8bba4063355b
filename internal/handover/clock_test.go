package handover

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	decide "lapisshelf/decide/handover"
)

// addSkewedPeer adds the files of a live process whose order is a wall-clock time that differs by skew, as with earlier builds.
func addSkewedPeer(t *testing.T, m *testMember, dir string, skew time.Duration) (lock *os.File) {
	t.Helper()
	s := m.Self()
	s.Process = decide.Process{Order: int64(m.loop.Now() + skew), Stage: decide.Serving, FDLimit: 100}
	base := filepath.Join(dir, fmt.Sprintf("%s%d-%d", m.prefix, s.Process.Order, s.PID+1))
	lock, err := os.Create(base + ".lock")
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	writeState(t, base+".json", s)
	return lock
}

// A process that starts beside others has the highest order, even if the wall clock has been set back since they started.
func TestASteppedClockKeepsTheOrderOfProcesses(t *testing.T) {
	for _, skew := range []time.Duration{-time.Hour, -time.Second, time.Second, time.Hour} {
		l, dir := newLoop(t), t.TempDir()
		scratch := join(t, l, t.TempDir(), "n1")
		lock := addSkewedPeer(t, scratch, dir, skew)
		fresh := join(t, l, dir, "n1")
		if p := fresh.Peers(); len(p) != 1 || fresh.Self().Process.Order <= p[0].Process.Order {
			t.Errorf("skew %v: order %d, peers %+v", skew, fresh.Self().Process.Order, p)
		}
		lock.Close()
	}
}

// A process of an earlier build that starts later, after the wall clock has been set back, still counts as the youngest.
func TestALaterProcessOfAnEarlierBuildIsYounger(t *testing.T) {
	l, dir := newLoop(t), t.TempDir()
	first, second := join(t, l, dir, "n1"), join(t, l, dir, "n1")
	first.publish(t, func(*State) {})
	second.publish(t, func(*State) {})
	lock := addSkewedPeer(t, first, dir, -time.Hour)
	defer lock.Close()
	runUntil(t, l, "the processes that started earlier have lower orders", func() bool {
		a, b := first.Self().Process.Order, second.Self().Process.Order
		p := second.Peers()
		return len(p) == 2 && len(first.Peers()) == 2 && a < b && b < p[0].Process.Order && b < first.Peers()[0].Process.Order
	})
}

// writeState writes a state file atomically.
func writeState(t *testing.T, path string, s State) {
	t.Helper()
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path+".part", text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".part", path); err != nil {
		t.Fatal(err)
	}
}
