package node

import (
	"os"
	"path/filepath"
	"testing"

	decide "lapisshelf/decide/handover"
	"lapisshelf/internal/handover"
	"lapisshelf/policy"
)

// The list of another process is used if it is newer and comes from the same registry: revisions of different registries cannot be
// compared.
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
		{handover.ServerList{Revision: 8}, true},                 // from a version that does not publish the source
	} {
		if got := newer(c.l, own); got != c.want {
			t.Errorf("%+v: %t", c.l, got)
		}
	}
	b := newHarness(t)
	if l := b.node.succession.publishedList(); l.Source != b.node.succession.listSource().Source || l.Source == "" {
		t.Errorf("publishes source %q", l.Source)
	}
}

// While another process runs, the state file is rewritten only if the limit or the stage of this process changes, not for each change of
// the number of open descriptors, which no other process uses. Guards against 20 writes a second on the event loop, each of which waits
// for the disk.
func TestConnectionsAloneAreNoNewsToOtherProcesses(t *testing.T) {
	b, dir := newHarness(t), t.TempDir()
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
	s.update()
	stateFile := func() os.FileInfo { // of the oldest process
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
	s.member.Refresh()
	if len(s.peers()) != 1 || !updated() || s.fdLimit != 32 {
		t.Fatalf("beside %d others it may use %d of 64 descriptors", len(s.peers()), s.fdLimit)
	}
	writes := 0
	for range 20 {
		b.pool.dial()
		if updated() {
			writes++
		}
	}
	if writes != 0 || n.loop.OpenSockets() < 20 {
		t.Errorf("rewritten %d times for 20 connections; %d descriptors open", writes, n.loop.OpenSockets())
	}
	n.shuttingDown = true // changes the stage and lowers the limit; the open descriptors are published with them
	if !updated() {
		t.Error("the stage is not published")
	}
	successor.Refresh()
	if p := successor.Peers()[0].Process; p.Stage != decide.Leaving || p.OpenFDs != n.loop.OpenSockets() || p.FDLimit != s.fdLimit {
		t.Errorf("publishes %+v, with %d descriptors open and a limit of %d", p, n.loop.OpenSockets(), s.fdLimit)
	}
}

// Of more than 256 servers that left within ten seconds, the node's other processes learned of the first ones only.
func TestAllServersThatLeaveAreToldToOtherProcesses(t *testing.T) {
	n := newHarness(t).node
	const servers = 3200
	for _, id := range idsOf("s", servers) {
		n.succession.recordServerState(id, policy.Draining)
	}
	if got := len(n.succession.publishedList().Leaving); got != servers {
		t.Errorf("%d of %d servers are told", got, servers)
	}
}
