package node

import (
	"os"
	"path/filepath"
	"testing"

	"lapisshelf/internal/handover"
)

// A ban is reported as done only once a successor process would learn of it. While the state directory cannot be written, the ban is in
// force in this process, the caller is notified that it is not saved, and it is saved automatically as soon as possible.
func TestABanThatIsNotSavedIsToldAndSavedLater(t *testing.T) {
	b := newHarness(t)
	n := b.node
	dir := filepath.Join(t.TempDir(), "state")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	n.cfg.StateDir, n.cfg.Name = dir, "n"
	n.succession.join(n)
	n.succession.start()
	n.everListed.add("s-1")
	n.everListed.add("s-2")
	if reply := n.setBan("s-2", true); reply.Status != 200 {
		t.Fatalf("with a writable directory: %d %s", reply.Status, reply.Body)
	}
	renamed := dir + ".away"
	if err := os.Rename(dir, renamed); err != nil {
		t.Fatal(err)
	}
	for range 2 { // the second call changes nothing in this process, but must not report the ban as saved
		if reply := n.setBan("s-1", true); reply.Status != 503 || !n.isBanned("s-1") {
			t.Errorf("with no directory: %d %s, banned here %t", reply.Status, reply.Body, n.isBanned("s-1"))
		}
	}
	if err := os.Rename(renamed, dir); err != nil {
		t.Fatal(err)
	}
	bansSeenByNext := func() (banned map[string]bool) { // the bans that a process learns of that starts now
		banned = map[string]bool{}
		m, err := handover.Join(n.loop, handover.Options{Dir: dir, Name: "n", Listen: n.cfg.Listen.String(), Note: func(string, string) {}, OnChange: func() {}})
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range m.Peers() {
			for _, h := range p.Overrides {
				banned[h.ID] = h.Banned
			}
		}
		return banned
	}
	b.runUntil("it is saved", func() bool { return bansSeenByNext()["s-1"] })
	if banned := bansSeenByNext(); !banned["s-2"] {
		t.Error("the earlier ban is lost")
	}
	if reply := n.setBan("s-1", false); reply.Status != 200 {
		t.Errorf("lifting the ban: %d %s", reply.Status, reply.Body)
	}
}
