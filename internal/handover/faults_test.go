//go:build faults

package handover

import (
	"testing"

	"golang.org/x/sys/unix"

	"lapisshelf/internal/system"
	"lapisshelf/policy"
)

// failCalls makes system calls of the given kinds fail until stop is called.
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

// While files cannot be opened or read, the last known state of a live process stays in use and its files are kept.
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
					t.Errorf("%v, %v: %d peers, %d ended", calls, errno, len(fresh.Peers()), len(fresh.Ended()))
				}
			}
			stop()
			fresh.publish(t, func(s *State) { s.Process.FDLimit = 1 })
			old.exit()
			runUntil(t, l, "the end is noticed once files can be read", func() bool { return len(fresh.Ended()) == 1 })
		}
	}
}

// A process that starts while the directory cannot be written or read registers later, and then sees the states published before.
func TestEnteringIsTriedAgain(t *testing.T) {
	for _, calls := range [][]system.Call{{system.CallOpen}, {system.CallRead}} {
		l, dir := newLoop(t), t.TempDir()
		old := join(t, l, dir, "n1")
		old.publish(t, func(s *State) { s.Overrides = []policy.Override{{ID: "s-1", Banned: true, At: 5}} })
		old.exit()
		stop := failCalls(t, unix.ENOSPC, calls...)
		fresh := join(t, l, dir, "n1")
		if err := fresh.Publish(fresh.Self()); err == nil || fresh.PublishErr() == nil {
			t.Errorf("%v: published with %v", calls, err)
		}
		stop()
		runUntil(t, l, "it registers and reads the state", func() bool {
			return fresh.ownLock != nil && len(fresh.Ended()) == 1 && fresh.Self().Process.Order > old.Self().Process.Order
		})
		fresh.publish(t, func(s *State) { s.Overrides = fresh.Ended()[0].Overrides })
		if next := join(t, l, dir, "n1"); len(next.Peers()) != 1 || len(next.Peers()[0].Overrides) != 1 {
			t.Errorf("%v: the overrides are lost: %+v", calls, next.Peers())
		}
	}
}

// If any step of a write fails, the file written before stays valid, the failure is reported by Publish and PublishErr, and the
// state of an ended process is kept until a write succeeds.
func TestAFailedWriteIsOwed(t *testing.T) {
	for _, call := range []system.Call{system.CallOpen, system.CallWrite, system.CallSync, system.CallRename} {
		for _, errno := range []unix.Errno{unix.ENOSPC, unix.EIO} {
			l, dir := newLoop(t), t.TempDir()
			old := join(t, l, dir, "n1")
			old.publish(t, func(s *State) { s.Overrides = []policy.Override{{ID: "s-1", Banned: true, At: 5}} })
			old.exit()
			fresh := join(t, l, dir, "n1")
			if len(fresh.Ended()) != 1 {
				t.Fatal("the state of the ended process is not read")
			}
			s := fresh.Self()
			s.Overrides = []policy.Override{{ID: "s-1", Banned: true, At: 5}, {ID: "s-2", Banned: true, At: 6}}
			stop := failCalls(t, errno, call)
			for range 2 {
				if err := fresh.Publish(s); err == nil || fresh.PublishErr() == nil || len(fresh.Ended()) != 1 {
					t.Errorf("%s, %v: error %v, PublishErr %v, %d ended", call, errno, err, fresh.PublishErr(), len(fresh.Ended()))
				}
			}
			stop()
			if restarted := join(t, l, dir, "n1"); len(restarted.Ended()) != 1 || len(restarted.Ended()[0].Overrides) != 1 {
				t.Errorf("%s, %v: after a kill here, the next process reads %+v", call, errno, restarted.Ended())
			} else {
				restarted.exit()
			}
			if err := fresh.Publish(s); err != nil || fresh.PublishErr() != nil {
				t.Errorf("%s, %v: retry: %v", call, errno, err)
			}
			if next := join(t, l, dir, "n1"); len(next.Peers()) != 1 || len(next.Peers()[0].Overrides) != 2 || len(next.Ended()) != 0 {
				t.Errorf("%s, %v: at the end: peers %+v, ended %+v", call, errno, next.Peers(), next.Ended())
			}
		}
	}
}
