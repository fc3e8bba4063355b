//go:build faults

package handover

import (
	"testing"

	"golang.org/x/sys/unix"

	"lapisshelf/internal/system"
	"lapisshelf/policy"
)

// failCalls has all calls of some kinds fail until it is ended.
func failCalls(t *testing.T, errno unix.Errno, calls ...system.Call) (stop func()) {
	t.Helper()
	system.InjectFailures(func(c system.Call) error {
		for _, x := range calls {
			if x == c {
				return errno
			}
		}
		return nil
	})
	t.Cleanup(func() { system.InjectFailures(nil) })
	return func() { system.InjectFailures(nil) }
}

// While nothing can be opened or read, a process that lives is known as it was, and its file stays.
func TestALivingProcessIsNotTakenForOneThatHasEnded(t *testing.T) {
	for _, calls := range [][]system.Call{{system.CallOpen}, {system.CallRead}, {system.CallOpen, system.CallRead}} {
		for _, errno := range []unix.Errno{unix.ENFILE, unix.EMFILE, unix.EIO, unix.ENOMEM} {
			l, dir := newLoop(t), t.TempDir()
			old, fresh := join(t, l, dir, "n1"), join(t, l, dir, "n1")
			old.publish(t, func(s *State) { s.Process.FDLimit = 100 })
			fresh.publish(t, func(*State) {})
			fresh.Refresh()
			stop := failCalls(t, errno, calls...)
			for range 3 {
				fresh.Refresh()
				if len(fresh.Peers()) != 1 || len(fresh.Ended()) != 0 {
					t.Errorf("%v, %v: beside %d, left by %d", calls, errno, len(fresh.Peers()), len(fresh.Ended()))
				}
			}
			stop()
			fresh.publish(t, func(s *State) { s.Process.FDLimit = 1 })
			old.exit()
			runUntil(t, l, "its end is heard once that can be read", func() bool { return len(fresh.Ended()) == 1 })
		}
	}
}

// A process that comes while the directory can't be written, or read, enters it later, and hears then what was said before.
func TestEnteringIsTriedAgain(t *testing.T) {
	for _, calls := range [][]system.Call{{system.CallOpen}, {system.CallRead}} {
		l, dir := newLoop(t), t.TempDir()
		old := join(t, l, dir, "n1")
		old.publish(t, func(s *State) { s.Overrides = []policy.Override{{ID: "s-1", Banned: true, At: 5}} })
		old.exit()
		stop := failCalls(t, unix.ENOSPC, calls...)
		fresh := join(t, l, dir, "n1")
		if err := fresh.Publish(fresh.Self()); err == nil || fresh.PublishErr() == nil {
			t.Errorf("%v: made known with %v", calls, err)
		}
		stop()
		runUntil(t, l, "it enters and hears", func() bool {
			return fresh.ownLock != nil && len(fresh.Ended()) == 1 && fresh.Self().Process.Order > old.Self().Process.Order
		})
		fresh.publish(t, func(s *State) { s.Overrides = fresh.Ended()[0].Overrides })
		if next := join(t, l, dir, "n1"); len(next.Peers()) != 1 || len(next.Peers()[0].Overrides) != 1 {
			t.Errorf("%v: what was said is lost: %+v", calls, next.Peers())
		}
	}
}

// Whatever of a write fails, what was written before stands, it is owed, and what a process that has ended left is kept until
// it is written.
func TestAFailedWriteIsOwed(t *testing.T) {
	for _, call := range []system.Call{system.CallOpen, system.CallWrite, system.CallSync, system.CallRename} {
		for _, errno := range []unix.Errno{unix.ENOSPC, unix.EIO} {
			l, dir := newLoop(t), t.TempDir()
			old := join(t, l, dir, "n1")
			old.publish(t, func(s *State) { s.Overrides = []policy.Override{{ID: "s-1", Banned: true, At: 5}} })
			old.exit()
			fresh := join(t, l, dir, "n1")
			if len(fresh.Ended()) != 1 {
				t.Fatal("nothing is left by the one before")
			}
			s := fresh.Self()
			s.Overrides = []policy.Override{{ID: "s-1", Banned: true, At: 5}, {ID: "s-2", Banned: true, At: 6}}
			stop := failCalls(t, errno, call)
			for range 2 {
				if err := fresh.Publish(s); err == nil || fresh.PublishErr() == nil || len(fresh.Ended()) != 1 {
					t.Errorf("%s, %v: %v, owed %v, left by %d", call, errno, err, fresh.PublishErr(), len(fresh.Ended()))
				}
			}
			stop()
			if restarted := join(t, l, dir, "n1"); len(restarted.Ended()) != 1 || len(restarted.Ended()[0].Overrides) != 1 {
				t.Errorf("%s, %v: killed here, the next one hears %+v", call, errno, restarted.Ended())
			} else {
				restarted.exit()
			}
			if err := fresh.Publish(s); err != nil || fresh.PublishErr() != nil {
				t.Errorf("%s, %v: then %v", call, errno, err)
			}
			if next := join(t, l, dir, "n1"); len(next.Peers()) != 1 || len(next.Peers()[0].Overrides) != 2 || len(next.Ended()) != 0 {
				t.Errorf("%s, %v: in the end %+v, left %+v", call, errno, next.Peers(), next.Ended())
			}
		}
	}
}
