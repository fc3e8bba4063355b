package node

import (
	"os"
	"path/filepath"
	"testing"

	"lapisshelf/internal/handover"
)

// A ban is answered as done only once the next process would know of it: while the directory can't be written it holds here, the
// caller is told that it is not saved, and it is saved by itself as soon as that can be.
func TestABanThatIsNotSavedIsToldAndSavedLater(t *testing.T) {
	b := newBench(t)
	n := b.node
	dir := filepath.Join(t.TempDir(), "state")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	n.cfg.StateDir, n.cfg.Name = dir, "n"
	n.succession.join(n)
	n.succession.begin()
	n.everListed.add("s-1")
	n.everListed.add("s-2")
	if reply := n.ban("s-2", true); reply.Status != 200 {
		t.Fatalf("with the directory there: %d %s", reply.Status, reply.Body)
	}
	away := dir + ".away"
	if err := os.Rename(dir, away); err != nil {
		t.Fatal(err)
	}
	for range 2 { // the second call finds all as it should be here, and nothing saved
		if reply := n.ban("s-1", true); reply.Status != 503 || !n.banned("s-1") {
			t.Errorf("with no directory: %d %s, banned here %t", reply.Status, reply.Body, n.banned("s-1"))
		}
	}
	if err := os.Rename(away, dir); err != nil {
		t.Fatal(err)
	}
	next := func() (banned map[string]bool) { // what a process that comes now hears
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
	b.run("it is saved", func() bool { return next()["s-1"] })
	if banned := next(); !banned["s-2"] {
		t.Error("the ban before it is lost")
	}
	if reply := n.ban("s-1", false); reply.Status != 200 {
		t.Errorf("the call back: %d %s", reply.Status, reply.Body)
	}
}
