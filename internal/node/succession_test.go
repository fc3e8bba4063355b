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
	own := handover.ServerList{Source: "a", Revision: 7}
	for _, c := range []struct {
		l    handover.ServerList
		want bool
	}{
		{handover.ServerList{Source: "a", Revision: 8}, true},
		{handover.ServerList{Source: "a", Revision: 7}, false},
		{handover.ServerList{Source: "a", Revision: 6}, false},
		{handover.ServerList{Source: "b", Revision: 900}, false}, // discovery was moved between the two
		{handover.ServerList{Revision: 8}, true},                 // a process of a version that does not tell
	} {
		if got := newer(c.l, own); got != c.want {
			t.Errorf("%+v: %t", c.l, got)
		}
	}
	b := newBench(t)
	if l := b.node.succession.list(); l.Source != b.node.succession.source().Source || l.Source == "" {
		t.Errorf("tells %q", l.Source)
	}
}

// What a process holds changes with each connection, and no other process decides upon it: beside another one, its file is
// written anew only when what it takes, or its stage, changes. Guards against 20 writes a second on the loop, each of which
// waits for the directory's disk.
func TestConnectionsAloneAreNoNewsToOtherProcesses(t *testing.T) {
	b, dir := newBench(t), t.TempDir()
	n := b.node
	s := &n.succession
	join := func() *handover.Member {
		m, err := handover.Join(n.loop, handover.Options{Dir: dir, Name: "n", Listen: "127.0.0.1:1", Note: func(string, string) {}, OnChange: func() {}})
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	s.member = join()
	s.settle()
	own := func() os.FileInfo { // of the earliest process
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
	settle := func() (written bool) {
		before := own()
		s.told = n.loop.Now() - 2*tellEvery
		s.settle()
		return !os.SameFile(before, own())
	}
	young := join()
	if err := young.Publish(young.Self()); err != nil {
		t.Fatal(err)
	}
	s.member.Refresh()
	if len(s.others()) != 1 || !settle() || s.room != 32 {
		t.Fatalf("beside %d others it takes %d of 64 descriptors", len(s.others()), s.room)
	}
	writes := 0
	for range 20 {
		b.pool.dial()
		if settle() {
			writes++
		}
	}
	if writes != 0 || n.loop.OpenSockets() < 20 {
		t.Errorf("written anew %d times for 20 connections; it holds %d", writes, n.loop.OpenSockets())
	}
	n.shuttingDown = true // its stage is news, and what it takes is less: what it holds is told with them
	if !settle() {
		t.Error("its stage is not told")
	}
	young.Refresh()
	if p := young.Peers()[0].Process; p.Stage != decide.Leaving || p.OpenFDs != n.loop.OpenSockets() || p.FDLimit != s.room {
		t.Errorf("tells %+v, holds %d and takes %d", p, n.loop.OpenSockets(), s.room)
	}
}
