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

// testMember is a Member that records its log lines and counts the reported changes.
type testMember struct {
	*Member
	notes   []string
	changes int
}

// join registers and starts a member, as a process of the node does.
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

// exit releases the lock, as the end of a process does.
func (m *testMember) exit() { m.ownLock.Close() }

// publish changes and publishes the state of the member.
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

// runUntil runs the loop until a condition holds, and fails the test if it does not within 10 s.
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
	t.Fatalf("timeout: %s", what)
}

// The processes of a node see each other's published states and are notified of each other's end.
func TestProcessesHearOfEachOther(t *testing.T) {
	l, dir := newLoop(t), t.TempDir()
	old := join(t, l, dir, "n1")
	old.publish(t, func(s *State) {
		s.Overrides = []policy.Override{{ID: "s-1", Banned: true, At: 5, Since: 5}}
		s.Process.FDLimit = 100
	})
	fresh := join(t, l, dir, "n1")
	if p := fresh.Peers(); len(p) != 1 || len(p[0].Overrides) != 1 || p[0].Process.FDLimit != 100 || p[0].PID != os.Getpid() {
		t.Fatalf("peers at the start: %+v", p)
	}
	if old.inotify == nil {
		t.Log("the system does not notify of changes here; polling")
	}
	fresh.publish(t, func(*State) {})
	runUntil(t, l, "the old process sees the new one", func() bool { return len(old.Peers()) == 1 && old.changes > 0 })
	other := join(t, l, dir, "n2") // another node in the same directory
	other.publish(t, func(*State) {})
	old.exit()
	runUntil(t, l, "the end of the old process is noticed", func() bool { return len(fresh.Peers()) == 0 && len(fresh.Ended()) == 1 })
	if len(other.Peers()) != 0 {
		t.Error("a process sees a process of another node")
	}
	if h := fresh.Ended()[0].Overrides; len(h) != 1 || h[0].ID != "s-1" {
		t.Errorf("overrides of the ended process: %v", h)
	}
	fresh.publish(t, func(s *State) { s.Overrides = []policy.Override{{ID: "s-1", Banned: true, At: 5, Since: 5}} })
	names, _ := filepath.Glob(filepath.Join(dir, fresh.prefix+"*"))
	if len(names) != 2 || len(fresh.Ended()) != 0 {
		t.Errorf("the files of the ended process remain: %v", names)
	}
}

// A state file that is truncated, foreign, too large or invalid is logged once and ignored, and the other files are still read.
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
		{"another node's", strings.Replace(text, `"name":"n1"`, `"name":"n9"`, 1), "belongs to another node"},
		{"unknown field", strings.Replace(text, `"version":1`, `"version":1,"x":2`, 1), "unknown field"},
		{"out of range", strings.Replace(text, `"Open":0`, `"Open":-4`, 1), "numbers out of range"},
		{"huge", text + strings.Repeat(" ", maxStateBytes), "not a regular file of at most"},
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
			t.Errorf("%s: logged %q", c.name, m.notes)
		}
		if p := m.Peers(); len(p) != 1 || len(p[0].Overrides) != 1 {
			t.Errorf("%s: the valid file is not read: %+v", c.name, p)
		}
		m.Refresh()
		if len(m.notes) != 1 {
			t.Errorf("%s: logged %d times", c.name, len(m.notes))
		}
		m.exit()
		os.Remove(base + ".json")
		lock.Close()
	}
}
