//go:build faults

package system

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A write that fails at any step leaves the old file unchanged.
func TestFailedWriteLeavesTheOldFile(t *testing.T) {
	defer InjectFailures(nil)
	dir := t.TempDir()
	path, tempPath := filepath.Join(dir, "state"), filepath.Join(dir, "state.new")
	if err := WriteFileAtomic(path, tempPath, []byte("whole"), 0o600, true); err != nil {
		t.Fatal(err)
	}
	for _, call := range []Call{CallOpen, CallWrite, CallSync, CallRename} {
		for _, errno := range []error{unix.ENOSPC, unix.EIO} {
			InjectFailures(func(c Call) error {
				if c == call {
					return errno
				}
				return nil
			})
			if err := WriteFileAtomic(path, tempPath, []byte("another text"), 0o600, true); !errors.Is(err, errno) {
				t.Errorf("%s: %v", call, err)
			}
			if got, err := os.ReadFile(path); err != nil || string(got) != "whole" {
				t.Errorf("%s: the file holds %q, %v", call, got, err)
			}
		}
	}
}

func TestParseFaultPlan(t *testing.T) {
	p, err := ParseFaultPlan("seed=7,rate=0.5,after=1s,every=3s,for=500ms,skew=-1h,calls=accept+fsync")
	if err != nil || p.Seed != 7 || p.Rate != 0.5 || p.Skew != -time.Hour || !p.Calls[CallAccept] || !p.Calls[CallSync] || p.Calls[CallSend] {
		t.Errorf("%+v, %v", p, err)
	}
	for at, want := range map[time.Duration]bool{0: false, time.Second: true, 1600 * time.Millisecond: false, 4100 * time.Millisecond: true} {
		if p.active(at) != want {
			t.Errorf("after %v: %t", at, !want)
		}
	}
	for _, bad := range []string{"x=1", "rate=much", "calls=fork"} {
		if _, err := ParseFaultPlan(bad); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
}
