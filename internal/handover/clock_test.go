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

// addSkewedPeer makes a process known that counts its order by a wall clock that is so far from this one's, as earlier builds do.
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

// A process that starts beside others is the youngest of them, though the wall clock has been set back since they started.
func TestASteppedClockKeepsTheOrderOfProcesses(t *testing.T) {
	for _, skew := range []time.Duration{-time.Hour, -time.Second, time.Second, time.Hour} {
		l, dir := newLoop(t), t.TempDir()
		scratch := join(t, l, t.TempDir(), "n1")
		lock := addSkewedPeer(t, scratch, dir, skew)
		fresh := join(t, l, dir, "n1")
		if p := fresh.Peers(); len(p) != 1 || fresh.Self().Process.Order <= p[0].Process.Order {
			t.Errorf("skew %v: order %d beside %+v", skew, fresh.Self().Process.Order, p)
		}
		lock.Close()
	}
}

// A process of an earlier build that comes later, with a wall clock set back, is younger than those that were there.
func TestALaterProcessOfAnEarlierBuildIsYounger(t *testing.T) {
	l, dir := newLoop(t), t.TempDir()
	first, second := join(t, l, dir, "n1"), join(t, l, dir, "n1")
	first.publish(t, func(*State) {})
	second.publish(t, func(*State) {})
	lock := addSkewedPeer(t, first, dir, -time.Hour)
	defer lock.Close()
	runUntil(t, l, "those that were there are elders", func() bool {
		a, b := first.Self().Process.Order, second.Self().Process.Order
		p := second.Peers()
		return len(p) == 2 && len(first.Peers()) == 2 && a < b && b < p[0].Process.Order && b < first.Peers()[0].Process.Order
	})
}

// writeState writes a process's file whole.
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
