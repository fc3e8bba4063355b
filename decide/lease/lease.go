// Package lease decides how a process keeps an entry of its own in a registry: under a lease that it renews, so that the
// entry goes when the process does. It does no I/O and reads no clock: the caller passes the time with each event and
// carries out the actions. The same events and seed give the same actions.
//
// The ordinary path: a lease is granted, the entry put under it, and the lease renewed each third of its time. The
// departures: what fails is done again, at another endpoint, after a wait with jitter that grows up to a third of the
// lease's time; a lease that is gone, or may be, is granted anew and the entry put anew; an entry that changes is put at
// once; at the end the lease is revoked, and if that fails it lapses.
package lease

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Op is what is done at a registry.
type Op int

// The operations.
const (
	Grant Op = iota
	Put
	Renew
	Revoke
)

// String names the operation.
func (o Op) String() string { return [...]string{"grant", "put", "renew", "revoke"}[o] }

// Call is one operation to be done. One is out at a time.
type Call struct {
	ID       uint64
	Op       Op
	Endpoint int
	Lease    string // but for Grant
	TTL      time.Duration
	Value    []byte // of Put
}

// Config says what is kept.
type Config struct {
	Endpoints   int
	TTL         time.Duration // of the lease; at least a second
	CallTimeout time.Duration // how long a call may take; 0 takes a third of TTL
}

// Actions is what a keeper may do.
type Actions interface {
	Do(c Call)
	Wake(at time.Duration) // call Timer then; it replaces what was asked before
	Note(event, why string)
}

// Keeper keeps one entry. It is not safe for concurrent use.
type Keeper struct {
	cfg    Config
	act    Actions
	rng    *rand.Rand
	now    time.Duration
	value  []byte
	lease  string        // empty: none
	until  time.Duration // when it lapses at the earliest
	stored bool          // the entry, as it is now, is under it
	at     int           // the endpoint in use
	serial uint64
	call   Call // that is out; ID 0: none
	by     time.Duration
	next   time.Duration // when something is done by itself
	fails  int
	ending bool
	over   bool

	// Granted, Renewed and Failed count what has happened.
	Granted, Renewed, Failed int64
}

// New makes a keeper of an entry that does nothing before Start.
func New(cfg Config, value []byte, seed uint64, act Actions) *Keeper {
	cfg.Endpoints, cfg.TTL = max(1, cfg.Endpoints), max(time.Second, cfg.TTL)
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = cfg.TTL / 3
	}
	k := &Keeper{cfg: cfg, act: act, value: value, rng: rand.New(rand.NewPCG(seed, 0x6c65617365))}
	k.at = k.rng.IntN(cfg.Endpoints)
	return k
}

// Start begins to keep the entry.
func (k *Keeper) Start(now time.Duration) {
	k.now = now
	k.step()
}

// SetValue keeps another value from now on.
func (k *Keeper) SetValue(now time.Duration, value []byte) {
	k.now, k.value, k.stored = now, value, false
	if k.call.ID == 0 && k.fails == 0 {
		k.step()
	}
}

// Stop ends the entry: the lease is revoked, once.
func (k *Keeper) Stop(now time.Duration) {
	k.now, k.ending = now, true
	if k.call.ID == 0 {
		k.step()
	}
}

// Finished reports whether nothing more is done.
func (k *Keeper) Finished() bool { return k.over }

// Held reports whether the entry stands, as far as is known.
func (k *Keeper) Held(now time.Duration) bool { return k.lease != "" && k.stored && now < k.until }

// step does what is due next.
func (k *Keeper) step() {
	if k.lease != "" && k.now >= k.until { // it may have lapsed: what is under it may be gone
		k.lease, k.stored = "", false
	}
	switch {
	case k.over:
	case k.ending && k.lease == "":
		k.over = true
	case k.ending:
		k.do(Revoke)
	case k.lease == "":
		k.do(Grant)
	case !k.stored:
		k.do(Put)
	case k.now >= k.next:
		k.do(Renew)
	default:
		k.act.Wake(k.next)
	}
}

func (k *Keeper) do(op Op) {
	k.serial++
	k.call = Call{ID: k.serial, Op: op, Endpoint: k.at, Lease: k.lease, TTL: k.cfg.TTL}
	if op == Put {
		k.call.Value = k.value
	}
	k.by = k.now + k.cfg.CallTimeout
	k.act.Do(k.call)
	k.act.Wake(k.by)
}

// Done takes the end of a call: of Grant the lease, and in any case how long it has to live; 0: it is gone.
func (k *Keeper) Done(now time.Duration, call uint64, lease string, ttl time.Duration) {
	if k.now = now; call != k.call.ID || call == 0 {
		return
	}
	c, began := k.call, k.by-k.cfg.CallTimeout // its time to live counts from when it was asked for
	k.call = Call{}
	if c.Op != Revoke && c.Op != Put && ttl <= 0 || c.Op == Grant && lease == "" {
		k.act.Note("lease_gone", fmt.Sprintf("lease=%q", k.lease))
		k.lease, k.stored = "", false
		k.failed()
		return
	}
	k.fails = 0
	switch c.Op {
	case Grant:
		k.lease, k.stored, k.until = lease, false, began+ttl
		k.Granted++
		k.plan(ttl)
	case Put:
		k.stored = string(c.Value) == string(k.value)
	case Renew:
		k.until = began + ttl
		k.Renewed++
		k.plan(ttl)
	case Revoke:
		k.over = true
		return
	}
	k.step()
}

// plan sets when the lease is renewed: each third of its time, a little sooner by chance.
func (k *Keeper) plan(ttl time.Duration) {
	k.next = k.now + time.Duration((0.8+0.2*k.rng.Float64())*float64(ttl)/3)
}

// Fail notes that a call has ended without an answer that makes sense; gone, that the lease is not known there any more.
func (k *Keeper) Fail(now time.Duration, call uint64, why string, gone bool) {
	if k.now = now; call != k.call.ID || call == 0 {
		return
	}
	k.Failed++
	if k.fails&(k.fails+1) == 0 {
		k.act.Note("lease_failed", fmt.Sprintf("op=%s why=%q times=%d", k.call.Op, why, k.fails+1))
	}
	if gone {
		k.lease, k.stored = "", false
	}
	k.call = Call{}
	k.failed()
}

// failed plans to go on after a failure.
func (k *Keeper) failed() {
	k.at = (k.at + 1) % k.cfg.Endpoints
	if k.fails++; k.ending { // it lapses by itself
		k.over = true
		return
	}
	wait := k.cfg.TTL / 48
	for range min(k.fails, 4) {
		wait *= 2
	}
	k.next = k.now + time.Duration((0.5+0.5*k.rng.Float64())*float64(wait))
	k.act.Wake(k.next)
}

// Timer does what is due.
func (k *Keeper) Timer(now time.Duration) {
	k.now = now
	switch {
	case k.call.ID != 0 && now >= k.by:
		k.Fail(now, k.call.ID, "no answer", false)
	case k.call.ID != 0:
		k.act.Wake(k.by)
	case now >= k.next:
		k.step()
	default:
		k.act.Wake(k.next)
	}
}
