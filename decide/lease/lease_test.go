package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// fakeRegistry is an in-memory registry that grants leases, in virtual time, with one keeper as its client.
type fakeRegistry struct {
	now         time.Duration
	keeper      *Keeper
	call        Call
	wakeAt      time.Duration
	notes       []string
	down        bool
	dropAnswers bool // calls take effect, but their answers are lost
	lastLease   int
	expiry      map[string]time.Duration // expiry time by lease
	entry       string                   // stored value
	entryLease  string                   // lease of the stored value
	calls       int
	latency     time.Duration
}

func newFakeRegistry(cfg Config) *fakeRegistry {
	m := &fakeRegistry{expiry: map[string]time.Duration{}, latency: 5 * ms}
	m.keeper = New(cfg, []byte("v1"), 1, m)
	return m
}

func (m *fakeRegistry) Do(c Call)               { m.call = c; m.calls++ }
func (m *fakeRegistry) Wake(at time.Duration)   { m.wakeAt = at }
func (m *fakeRegistry) Note(event, why string)  { m.notes = append(m.notes, event+" "+why) }
func (m *fakeRegistry) alive(lease string) bool { return m.expiry[lease] > m.now }

// present reports whether the entry is stored under a live lease.
func (m *fakeRegistry) present() bool { return m.entry != "" && m.alive(m.entryLease) }

func (m *fakeRegistry) serve() {
	c := m.call
	if c.ID == 0 || m.down {
		return
	}
	m.call = Call{}
	m.now += m.latency
	ttl := c.TTL
	switch c.Op {
	case Grant:
		m.lastLease++
		c.Lease = fmt.Sprint("L", m.lastLease)
		m.expiry[c.Lease] = m.now + ttl
	case Put:
		if !m.alive(c.Lease) {
			m.keeper.Fail(m.now, c.ID, "no such lease", true)
			return
		}
		m.entry, m.entryLease = string(c.Value), c.Lease
	case Renew:
		if !m.alive(c.Lease) {
			ttl = 0
		} else {
			m.expiry[c.Lease] = m.now + ttl
		}
	case Revoke:
		delete(m.expiry, c.Lease)
	}
	if !m.dropAnswers {
		m.keeper.Done(m.now, c.ID, c.Lease, ttl)
	}
}

func (m *fakeRegistry) run(d time.Duration) {
	for end := m.now + d; ; {
		m.serve()
		if m.call.ID != 0 && !m.down {
			continue
		}
		if m.wakeAt == 0 || m.wakeAt > end {
			m.now = max(m.now, end)
			return
		}
		m.now = max(m.now, m.wakeAt)
		m.wakeAt = 0
		m.keeper.Timer(m.now)
	}
}

func TestKeepsItsEntry(t *testing.T) {
	m := newFakeRegistry(Config{TTL: 6 * time.Second})
	m.keeper.Start(0)
	for range 100 {
		m.run(time.Second)
		if !m.present() || !m.keeper.Held(m.now) {
			t.Fatalf("entry missing after %v", m.now)
		}
	}
	if m.keeper.Granted != 1 || m.keeper.Renewed < 45 || m.keeper.Renewed > 75 {
		t.Errorf("%d leases granted, %d renewals", m.keeper.Granted, m.keeper.Renewed)
	}
	m.keeper.SetValue(m.now, []byte("v2"))
	m.run(100 * ms)
	if m.entry != "v2" {
		t.Errorf("%q", m.entry)
	}
	m.keeper.Stop(m.now)
	m.run(100 * ms)
	if m.present() || !m.keeper.Finished() {
		t.Error("the entry remains after Stop")
	}
	before := m.calls
	m.run(time.Minute)
	if m.calls != before {
		t.Error("calls continue after the end")
	}
}

// After arbitrary outages and lost answers, the entry is stored again soon after the registry is reachable, and the call rate stays
// bounded.
func TestAnyOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFakeRegistry(Config{TTL: 6 * time.Second, Endpoints: rapid.IntRange(1, 3).Draw(t, "endpoints")})
		m.keeper.Start(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				m.down = !m.down
			case 1:
				m.dropAnswers = !m.dropAnswers
			case 2:
				clear(m.expiry) // the registry loses its data
				m.entry = ""
			case 3:
				m.keeper.SetValue(m.now, []byte(rapid.StringN(1, 3, 9).Draw(t, "value")))
			}
			before, begin := m.calls, m.now
			m.run(time.Duration(rapid.IntRange(0, 20000).Draw(t, "wait")) * ms)
			if calls := m.calls - before; float64(calls) > 4+4*(m.now-begin).Seconds() {
				t.Fatalf("%d calls in %v", calls, m.now-begin)
			}
		}
		m.down, m.dropAnswers = false, false
		m.run(10 * time.Second)
		if !m.present() || m.entry != string(m.keeper.value) || !m.keeper.Held(m.now) {
			t.Fatalf("entry %q; notes %q", m.entry, m.notes)
		}
	})
}

// While the registry cannot be reached, the entry does not count as held past the expiry of its lease.
func TestNotHeldPastItsLease(t *testing.T) {
	m := newFakeRegistry(Config{TTL: 3 * time.Second})
	m.keeper.Start(0)
	m.run(time.Second)
	m.down = true
	m.run(10 * time.Second)
	if m.keeper.Held(m.now) {
		t.Error("held although its lease has expired")
	}
	if n := len(m.notes); n == 0 || n > 8 {
		t.Errorf("%q", m.notes)
	}
	m.keeper.Stop(m.now)
	m.run(10 * time.Second)
	if !m.keeper.Finished() {
		t.Error("a failing revocation is retried without end")
	}
}
