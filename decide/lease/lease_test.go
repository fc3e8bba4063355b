package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// model is a registry that grants leases, in virtual time, and one keeper.
type model struct {
	now     time.Duration
	k       *Keeper
	call    Call
	wake    time.Duration
	notes   []string
	down    bool
	lost    bool // what is done there takes effect, its answer does not come
	serial  int
	leases  map[string]time.Duration // until when
	entry   string                   // the value stored
	under   string                   // its lease
	calls   int
	latency time.Duration
}

func newModel(cfg Config) *model {
	m := &model{leases: map[string]time.Duration{}, latency: 5 * ms}
	m.k = New(cfg, []byte("v1"), 1, m)
	return m
}

func (m *model) Do(c Call)               { m.call = c; m.calls++ }
func (m *model) Wake(at time.Duration)   { m.wake = at }
func (m *model) Note(event, why string)  { m.notes = append(m.notes, event+" "+why) }
func (m *model) alive(lease string) bool { return m.leases[lease] > m.now }

// present reports whether the entry is there.
func (m *model) present() bool { return m.entry != "" && m.alive(m.under) }

func (m *model) serve() {
	c := m.call
	if c.ID == 0 || m.down {
		return
	}
	m.call = Call{}
	m.now += m.latency
	ttl := c.TTL
	switch c.Op {
	case Grant:
		m.serial++
		c.Lease = fmt.Sprint("L", m.serial)
		m.leases[c.Lease] = m.now + ttl
	case Put:
		if !m.alive(c.Lease) {
			m.k.Fail(m.now, c.ID, "no such lease", true)
			return
		}
		m.entry, m.under = string(c.Value), c.Lease
	case Renew:
		if !m.alive(c.Lease) {
			ttl = 0
		} else {
			m.leases[c.Lease] = m.now + ttl
		}
	case Revoke:
		delete(m.leases, c.Lease)
	}
	if !m.lost {
		m.k.Done(m.now, c.ID, c.Lease, ttl)
	}
}

func (m *model) run(d time.Duration) {
	for end := m.now + d; ; {
		m.serve()
		if m.call.ID != 0 && !m.down {
			continue
		}
		if m.wake == 0 || m.wake > end {
			m.now = max(m.now, end)
			return
		}
		m.now = max(m.now, m.wake)
		m.wake = 0
		m.k.Timer(m.now)
	}
}

func TestKeepsItsEntry(t *testing.T) {
	m := newModel(Config{TTL: 6 * time.Second})
	m.k.Start(0)
	for range 100 {
		m.run(time.Second)
		if !m.present() || !m.k.Held(m.now) {
			t.Fatalf("gone after %v", m.now)
		}
	}
	if m.k.Granted != 1 || m.k.Renewed < 45 || m.k.Renewed > 75 {
		t.Errorf("%d granted, %d renewed", m.k.Granted, m.k.Renewed)
	}
	m.k.SetValue(m.now, []byte("v2"))
	m.run(100 * ms)
	if m.entry != "v2" {
		t.Errorf("%q", m.entry)
	}
	m.k.Stop(m.now)
	m.run(100 * ms)
	if m.present() || !m.k.Finished() {
		t.Error("it outlives its process")
	}
	before := m.calls
	m.run(time.Minute)
	if m.calls != before {
		t.Error("calls go on after the end")
	}
}

// Through any outages and lost answers the entry is there again soon after the registry is, never held to stand when its
// lease may have lapsed, and calls stay few.
func TestAnyOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(Config{TTL: 6 * time.Second, Endpoints: rapid.IntRange(1, 3).Draw(t, "endpoints")})
		m.k.Start(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				m.down = !m.down
			case 1:
				m.lost = !m.lost
			case 2:
				clear(m.leases) // the registry was wiped
				m.entry = ""
			case 3:
				m.k.SetValue(m.now, []byte(rapid.StringN(1, 3, 9).Draw(t, "value")))
			}
			before, begin := m.calls, m.now
			m.run(time.Duration(rapid.IntRange(0, 20000).Draw(t, "wait")) * ms)
			if calls := m.calls - before; float64(calls) > 4+4*(m.now-begin).Seconds() {
				t.Fatalf("%d calls in %v", calls, m.now-begin)
			}
		}
		m.down, m.lost = false, false
		m.run(10 * time.Second)
		if !m.present() || m.entry != string(m.k.value) || !m.k.Held(m.now) {
			t.Fatalf("entry %q, %q", m.entry, m.notes)
		}
	})
}

// While the registry cannot be reached, the entry is not held to stand past its lease.
func TestNotHeldPastItsLease(t *testing.T) {
	m := newModel(Config{TTL: 3 * time.Second})
	m.k.Start(0)
	m.run(time.Second)
	m.down = true
	m.run(10 * time.Second)
	if m.k.Held(m.now) {
		t.Error("held though its lease has lapsed")
	}
	if n := len(m.notes); n == 0 || n > 8 {
		t.Errorf("%q", m.notes)
	}
	m.k.Stop(m.now)
	m.run(10 * time.Second)
	if !m.k.Finished() {
		t.Error("a revocation that fails is tried for good")
	}
}
