package handover

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"lapisshelf/internal/loop"
	"lapisshelf/policy"
)

type testMember struct {
	*Member
	notes   []string
	changes int
}

// join makes a process known, as a member on a loop of its own would.
func join(t *testing.T, l *loop.Loop, dir, name string) *testMember {
	t.Helper()
	m := &testMember{}
	var err error
	m.Member, err = Join(l, Options{Dir: dir, Name: name, Listen: "127.0.0.1:1", OnChange: func() { m.changes++ },
		Note: func(event, why string) { m.notes = append(m.notes, event+" "+why) }})
	if err != nil {
		t.Fatal(err)
	}
	m.Start()
	return m
}

// exit lets go of the lock, as the end of a process does.
func (m *testMember) exit() { m.ownLock.Close() }

func (m *testMember) publish(t *testing.T, change func(*State)) {
	t.Helper()
	s := m.Self()
	change(&s)
	if err := m.Publish(s); err != nil {
		t.Fatal(err)
	}
}

func newLoop(t *testing.T) *loop.Loop {
	t.Helper()
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// runUntil lets the loop run until a condition holds.
func runUntil(t *testing.T, l *loop.Loop, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		l.After(2*time.Millisecond, l.Stop)
		if err := l.Run(); err != nil {
			t.Fatal(err)
		}
		if holds() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// Processes of a node hear what each makes known, and of each other's end, with no one asking.
func TestProcessesHearOfEachOther(t *testing.T) {
	l, dir := newLoop(t), t.TempDir()
	old := join(t, l, dir, "n1")
	old.publish(t, func(s *State) {
		s.Overrides = []policy.Override{{ID: "s-1", Banned: true, At: 5, Since: 5}}
		s.Process.FDLimit = 100
	})
	fresh := join(t, l, dir, "n1")
	if p := fresh.Peers(); len(p) != 1 || len(p[0].Overrides) != 1 || p[0].Process.FDLimit != 100 || p[0].PID != os.Getpid() {
		t.Fatalf("at its start: %+v", p)
	}
	if old.inotify == nil {
		t.Log("the system does not tell of changes here: polling")
	}
	fresh.publish(t, func(*State) {})
	runUntil(t, l, "the old one hears", func() bool { return len(old.Peers()) == 1 && old.changes > 0 })
	other := join(t, l, dir, "n2") // another node in the same directory is none of theirs
	other.publish(t, func(*State) {})
	old.exit()
	runUntil(t, l, "its end is heard", func() bool { return len(fresh.Peers()) == 0 && len(fresh.Ended()) == 1 })
	if len(other.Peers()) != 0 {
		t.Error("another node's process counts as one's own")
	}
	if h := fresh.Ended()[0].Overrides; len(h) != 1 || h[0].ID != "s-1" {
		t.Errorf("left by hand: %v", h)
	}
	fresh.publish(t, func(s *State) { s.Overrides = []policy.Override{{ID: "s-1", Banned: true, At: 5, Since: 5}} })
	names, _ := filepath.Glob(filepath.Join(dir, fresh.prefix+"*"))
	if len(names) != 2 || len(fresh.Ended()) != 0 {
		t.Errorf("what the old one left is still there: %v", names)
	}
}

// A file that is not whole, foreign, huge or senseless is refused with a line, and costs nothing else.
func TestBadFiles(t *testing.T) {
	l, dir := newLoop(t), t.TempDir()
	good := join(t, l, dir, "n1")
	good.publish(t, func(s *State) { s.Overrides = []policy.Override{{ID: "s-1", Banned: true, At: 5}} })
	whole, err := os.ReadFile(good.ownBase + ".json")
	if err != nil {
		t.Fatal(err)
	}
	text := string(whole)
	for i, c := range []struct{ name, text, why string }{
		{"half-written", text[:len(text)/2], "unexpected EOF"},
		{"empty", "", "EOF"},
		{"foreign", "hello", "invalid character"},
		{"another version", strings.Replace(text, `"version":1`, `"version":7`, 1), "version 7"},
		{"another node's", strings.Replace(text, `"name":"n1"`, `"name":"n9"`, 1), "of another node"},
		{"unknown words", strings.Replace(text, `"version":1`, `"version":1,"x":2`, 1), "unknown field"},
		{"senseless", strings.Replace(text, `"Open":0`, `"Open":-4`, 1), "make no sense"},
		{"huge", text + strings.Repeat(" ", maxStateBytes), "no file of at most"},
	} {
		base := filepath.Join(dir, fmt.Sprintf("%s%019d-%d", good.prefix, 1000+i, 99999))
		lock, err := os.Create(base + ".lock")
		if err != nil {
			t.Fatal(err)
		}
		unix.Flock(int(lock.Fd()), unix.LOCK_EX)
		if err := os.WriteFile(base+".json", []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		m := join(t, l, dir, "n1")
		if !slices.ContainsFunc(m.notes, func(n string) bool {
			return strings.HasPrefix(n, "handover_refused file=") && strings.Contains(n, c.why)
		}) {
			t.Errorf("%s: told %q", c.name, m.notes)
		}
		if p := m.Peers(); len(p) != 1 || len(p[0].Overrides) != 1 {
			t.Errorf("%s: the good one is not read: %+v", c.name, p)
		}
		m.Refresh()
		if len(m.notes) != 1 {
			t.Errorf("%s: told %d times", c.name, len(m.notes))
		}
		m.exit()
		os.Remove(base + ".json")
		lock.Close()
	}
}
