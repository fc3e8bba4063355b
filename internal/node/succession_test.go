package node

import (
	"os"
	"path/filepath"
	"testing"

	decide "lapisshelf/decide/handover"
	"lapisshelf/internal/handover"
)

// The list of another process counts where it is newer, by the same registry: revisions of two compare with nothing.
func TestWhichListOfTwoProcessesIsNewer(t *testing.T) {
	own := handover.List{Source: "a", Revision: 7}
	for _, c := range []struct {
		l    handover.List
		want bool
	}{
		{handover.List{Source: "a", Revision: 8}, true},
		{handover.List{Source: "a", Revision: 7}, false},
		{handover.List{Source: "a", Revision: 6}, false},
		{handover.List{Source: "b", Revision: 900}, false}, // discovery was moved between the two
		{handover.List{Revision: 8}, true},                 // a process of a version that does not tell
	} {
		if got := newer(c.l, own); got != c.want {
			t.Errorf("%+v: %t", c.l, got)
		}
	}
	b := newHarness(t)
	if l := b.node.succession.publishedList(); l.Source != b.node.succession.listSource().Source || l.Source == "" {
		t.Errorf("tells %q", l.Source)
	}
}

// What a process holds changes with each connection, and no other process decides upon it: beside another one, its file is
// written anew only when what it takes, or its stage, changes. Guards against 20 writes a second on the loop, each of which
// waits for the directory's disk.
func TestConnectionsAloneAreNoNewsToOtherProcesses(t *testing.T) {
	b, dir := newHarness(t), t.TempDir()
	n := b.node
	s := &n.succession
	join := func() *handover.Member {
		m, err := handover.Join(n.loop, handover.Options{Dir: dir, Name: "n", Listen: "127.0.0.1:1", Note: func(string, string) {}, Changed: func() {}})
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	s.member = join()
	s.update()
	stateFile := func() os.FileInfo { // of the earliest process
		names, _ := filepath.Glob(filepath.Join(dir, "*.json"))
		if len(names) == 0 {
			t.Fatal("no file")
		}
		info, err := os.Stat(names[0])
		if err != nil {
			t.Fatal(err)
		}
		return info
	}
	updated := func() (written bool) {
		before := stateFile()
		s.publishedAt = n.loop.Now() - 2*publishInterval
		s.update()
		return !os.SameFile(before, stateFile())
	}
	successor := join()
	if err := successor.Publish(successor.Self()); err != nil {
		t.Fatal(err)
	}
	s.member.Look()
	if len(s.peers()) != 1 || !updated() || s.fdLimit != 32 {
		t.Fatalf("beside %d others it takes %d of 64 descriptors", len(s.peers()), s.fdLimit)
	}
	writes := 0
	for range 20 {
		b.pool.dial()
		if updated() {
			writes++
		}
	}
	if writes != 0 || n.loop.OpenSockets() < 20 {
		t.Errorf("written anew %d times for 20 connections; it holds %d", writes, n.loop.OpenSockets())
	}
	n.leaving = true // its stage is news, and what it takes is less: what it holds is told with them
	if !updated() {
		t.Error("its stage is not told")
	}
	successor.Look()
	if p := successor.Peers()[0].Process; p.Stage != decide.Leaving || p.OpenFDs != n.loop.OpenSockets() || p.FDLimit != s.fdLimit {
		t.Errorf("tells %+v, holds %d and takes %d", p, n.loop.OpenSockets(), s.fdLimit)
	}
}
