// Package lease decides how a process keeps its own entry in a registry: under a lease that it renews, so that the entry expires
// soon after the process ends. It does no I/O and reads no clock: the caller passes the time with each event and carries out the
// actions. The same events and seed give the same actions.
//
// Normally a lease is granted, the entry is put under it, and the lease is renewed each time a third of its TTL has passed. A
// failed call is retried at another endpoint, after a backoff with jitter that grows up to a third of the TTL. If the lease is
// lost or may have expired, a new one is granted and the entry is put again. A changed entry is put at once. At the end the lease
// is revoked; if that fails, it expires by itself.
package lease

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Op is an operation at a registry.
type Op int

// The operations.
const (
	Grant Op = iota
	Put
	Renew
	Revoke
)

// String returns the name of the operation.
func (o Op) String() string { return [...]string{"grant", "put", "renew", "revoke"}[o] }

// Call is an operation to be carried out. At most one is outstanding.
type Call struct {
	ID       uint64
	Op       Op
	Endpoint int
	Lease    string // empty for Grant
	TTL      time.Duration
	Value    []byte // for Put
}

// Config holds the settings of a keeper.
type Config struct {
	Endpoints   int
	TTL         time.Duration // of the lease; at least 1 s
	CallTimeout time.Duration // 0 selects a third of TTL
}

// Actions are the effects of a keeper, carried out by the caller.
type Actions interface {
	Do(c Call)              // start the call; its end is reported with Done or Fail
	Wake(at time.Duration)  // call Timer at that time; replaces the time set before
	Note(event, why string) // write a log line
}

// Keeper keeps one entry. It is not safe for concurrent use.
type Keeper struct {
	cfg        Config
	act        Actions
	rng        *rand.Rand
	now        time.Duration
	value      []byte
	lease      string        // empty if there is none
	expiresAt  time.Duration // when the lease expires at the earliest
	stored     bool          // the current value is stored under the lease
	endpoint   int           // index of the endpoint in use
	lastCallID uint64
	call       Call          // outstanding call; ID 0 if there is none
	deadline   time.Duration // when the outstanding call times out
	nextAt     time.Duration // when the next renewal or retry is due
	failures   int
	stopping   bool
	finished   bool

	// Granted, Renewed and Failed count calls by outcome.
	Granted, Renewed, Failed int64
}

// New returns a keeper of an entry. It does nothing before Start.
func New(cfg Config, value []byte, seed uint64, act Actions) *Keeper {
	cfg.Endpoints, cfg.TTL = max(1, cfg.Endpoints), max(time.Second, cfg.TTL)
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = cfg.TTL / 3
	}
	k := &Keeper{cfg: cfg, act: act, value: value, rng: rand.New(rand.NewPCG(seed, 0x6c65617365))}
	k.endpoint = k.rng.IntN(cfg.Endpoints)
	return k
}

// Start begins to acquire a lease for the entry.
func (k *Keeper) Start(now time.Duration) {
	k.now = now
	k.step()
}

// SetValue replaces the value of the entry.
func (k *Keeper) SetValue(now time.Duration, value []byte) {
	k.now, k.value, k.stored = now, value, false
	if k.call.ID == 0 && k.failures == 0 {
		k.step()
	}
}

// Stop ends the entry: the lease is revoked, with a single attempt.
func (k *Keeper) Stop(now time.Duration) {
	k.now, k.stopping = now, true
	if k.call.ID == 0 {
		k.step()
	}
}

// Finished reports whether the keeper makes no more calls.
func (k *Keeper) Finished() bool { return k.finished }

// Held reports whether the entry is stored under a lease that cannot have expired.
func (k *Keeper) Held(now time.Duration) bool { return k.lease != "" && k.stored && now < k.expiresAt }

// step starts the next call that is due.
func (k *Keeper) step() {
	if k.lease != "" && k.now >= k.expiresAt { // the lease may have expired, and its entry with it
		k.lease, k.stored = "", false
	}
	switch {
	case k.finished:
	case k.stopping && k.lease == "":
		k.finished = true
	case k.stopping:
		k.startCall(Revoke)
	case k.lease == "":
		k.startCall(Grant)
	case !k.stored:
		k.startCall(Put)
	case k.now >= k.nextAt:
		k.startCall(Renew)
	default:
		k.act.Wake(k.nextAt)
	}
}

func (k *Keeper) startCall(op Op) {
	k.lastCallID++
	k.call = Call{ID: k.lastCallID, Op: op, Endpoint: k.endpoint, Lease: k.lease, TTL: k.cfg.TTL}
	if op == Put {
		k.call.Value = k.value
	}
	k.deadline = k.now + k.cfg.CallTimeout
	k.act.Do(k.call)
	k.act.Wake(k.deadline)
}

// Done reports that a call has been answered. For Grant, lease is the new lease; ttl is its time to live, and 0 means that it no
// longer exists.
func (k *Keeper) Done(now time.Duration, call uint64, lease string, ttl time.Duration) {
	if k.now = now; call != k.call.ID || call == 0 {
		return
	}
	c, startedAt := k.call, k.deadline-k.cfg.CallTimeout // the TTL counts from the start of the call
	k.call = Call{}
	if c.Op != Revoke && c.Op != Put && ttl <= 0 || c.Op == Grant && lease == "" {
		k.act.Note("lease_gone", fmt.Sprintf("lease=%q", k.lease))
		k.lease, k.stored = "", false
		k.retry()
		return
	}
	k.failures = 0
	switch c.Op {
	case Grant:
		k.lease, k.stored, k.expiresAt = lease, false, startedAt+ttl
		k.Granted++
		k.planRenewal(ttl)
	case Put:
		k.stored = string(c.Value) == string(k.value)
	case Renew:
		k.expiresAt = startedAt + ttl
		k.Renewed++
		k.planRenewal(ttl)
	case Revoke:
		k.finished = true
		return
	}
	k.step()
}

// planRenewal sets when the lease is renewed: after a third of its TTL, less up to a fifth of that as jitter.
func (k *Keeper) planRenewal(ttl time.Duration) {
	k.nextAt = k.now + time.Duration((0.8+0.2*k.rng.Float64())*float64(ttl)/3)
}

// Fail reports that a call has ended without a valid answer; gone means that the registry no longer knows the lease.
func (k *Keeper) Fail(now time.Duration, call uint64, why string, gone bool) {
	if k.now = now; call != k.call.ID || call == 0 {
		return
	}
	k.Failed++
	if k.failures&(k.failures+1) == 0 {
		k.act.Note("lease_failed", fmt.Sprintf("op=%s why=%q times=%d", k.call.Op, why, k.failures+1))
	}
	if gone {
		k.lease, k.stored = "", false
	}
	k.call = Call{}
	k.retry()
}

// retry plans the next call after a failure, at the next endpoint.
func (k *Keeper) retry() {
	k.endpoint = (k.endpoint + 1) % k.cfg.Endpoints
	if k.failures++; k.stopping { // the lease expires by itself
		k.finished = true
		return
	}
	delay := k.cfg.TTL / 48
	for range min(k.failures, 4) {
		delay *= 2
	}
	k.nextAt = k.now + time.Duration((0.5+0.5*k.rng.Float64())*float64(delay))
	k.act.Wake(k.nextAt)
}

// Timer handles the time set with Wake.
func (k *Keeper) Timer(now time.Duration) {
	k.now = now
	switch {
	case k.call.ID != 0 && now >= k.deadline:
		k.Fail(now, k.call.ID, "no answer", false)
	case k.call.ID != 0:
		k.act.Wake(k.deadline)
	case now >= k.nextAt:
		k.step()
	default:
		k.act.Wake(k.nextAt)
	}
}
