// Package policy decides, for one balancer, which server each request goes to and how the request ends.
//
// This file declares the package's interface: the settings, the events that a Balancer handles and the
// Actions that it takes. The decisions are in policy.go. The package does no I/O and reads no clock: the caller
// passes the time, measured from any fixed origin, with each event and carries out the Actions.
package policy

import "time"

// Effect says whether a request of a class may be executed more than once.
type Effect int

// The effects, from the least to the most restrictive.
const (
	Safe   Effect = iota // may be repeated at any time
	Keyed                // the servers of a deduplication group drop repeats within a time window
	Unsafe               // may be repeated only when the earlier attempt provably never ran
)

// Scope is the set of servers that share the deduplication of a keyed request.
type Scope int

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	OK            Outcome = iota
	Miss                  // the cache does not hold the key (aside mode)
	Errored               // the server answered with an error
	Full                  // the server rejected the attempt for lack of capacity
	TimedOut              // no answer came within the attempt's timeout
	ConnectFailed         // no connection could be established
	Reset                 // the connection broke before the answer was complete
	Cancelled             // the attempt was cancelled
	NotSent               // the attempt was dropped before it was written
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Miss || o == Full || o == ConnectFailed || o == NotSent }

// Class describes a request class.
type Class struct {
	Name   string
	Aim    time.Duration // latency target; answers within it earn the full worth
	Worth  float64       // value of one request answered in time
	Effect Effect
	Scope  Scope         // deduplication group, for Keyed
	Window time.Duration // how long the group remembers a request, for Keyed
}

// Tenant is one of the users that share the service.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all balancers, that count in full
}

// Mode says who fetches a key that a cache does not hold.
type Mode int

// The modes.
const (
	Through Mode = iota // the cache fetches from the origin itself
	Aside               // the cache answers Miss and the balancer asks the origin
)

// Settings configure a balancer at its start.
type Settings struct {
	Classes         []Class
	Tenants         []Tenant
	Mode            Mode
	OriginKind      string        // kind of the list entry that is the origin; empty when the origin is not listed
	OriginFalls     bool          // the origin stops serving when too many misses reach it
	Balancers       int           // balancers in the fleet, including this one
	Zone            string        // this balancer's zone if sends to other zones cost extra; otherwise empty
	MayProbe        bool          // servers may be probed for their queue length and service rate
	MustSubscribe   bool          // the balancer has to request the server list itself
	AskWithin       time.Duration // with MustSubscribe: max time between requests for the list
	Tick            time.Duration // min interval between events
	MaxAttempts     int
	Parallel        bool // a safe request may have two attempts in flight
	MayCancel       bool
	RetryAfterLimit time.Duration // max retry-after advice that clients follow; 0 when they get no advice
	ColdFrom        float64       // min fraction of its capacity that a starting server has
	WarmUp          time.Duration
	FallMultiple    float64 // load, as a multiple of its current capacity, at which a cold server collapses
	FallWindow      time.Duration
	Weighted        bool // the list carries weights
}

// State is the lifecycle state of a listed server.
type State int

// The states.
const (
	Ready State = iota
	Draining
	Gone
)

// Server is one entry of the server list.
type Server struct {
	ID      string
	Zone    string
	Kind    string
	Cell    int
	State   State
	Weight  float64       // listed weight; negative when none is listed
	Started time.Duration // last start in Unix time, by the wall clock of the list's source; 0 for long ago
}

// Override is an operator's latest decision to ban a server or to lift its ban. It is stored as JSON under the field names.
type Override struct {
	ID          string
	Banned      bool
	At          time.Duration // version: higher than the previous one, whichever process set that; close to the time of the decision
	Since, Back time.Duration // start and end of the last ban, on the reporting process's clock; 0: never banned, or still banned
}

// ListKind says how a Members event relates to the list held before.
type ListKind int

// The kinds of list updates.
const (
	ListChanges  ListKind = iota // only the entries that changed
	ListComplete                 // replaces the list
	ListSaved                    // the list as it was last stored, possibly stale
	ListFailed                   // the request failed or the subscription broke
)

// Request is a request that the balancer has accepted.
type Request struct {
	ID          string
	Class       string
	Tenant      string
	Key         string        // empty when it has none
	Remaining   time.Duration // until the client gives up this try
	Write       bool
	BodyPending bool // the body is incomplete until BodyReceived; until then Remaining is how long the request may wait to be sent
}

// CacheStatus is what a cache reports about a read, where caches report it.
type CacheStatus int

// The cache statuses.
const (
	CacheUnreported CacheStatus = iota
	CacheHit
	CacheMiss
	CacheFetching // a miss while another fetch of the key is in flight
)

// Result is the end of one attempt.
type Result struct {
	ID            string
	N             int // index of the attempt, in the order of the sends
	Server        string
	Outcome       Outcome
	CacheStatus   CacheStatus
	Final         bool // the request needs no further answer
	BodyDiscarded bool // the part of the request sent so far was not kept, so it cannot be sent again
	ReusedConn    bool // a reset of a connection that had answered before, which is no evidence against the server
}

// View is what planners, which see the whole fleet, tell one balancer. It can only lower weights and add
// limits: the server list and the balancer's own observations take precedence.
type View struct {
	Servers []ServerView
	Admit   float64 // fraction of the reads that may go to the origin, in (0, 1]; 0: all
	Hot     []Heat
	Tenants []Use
}

// ServerView is the part of a view about one server.
type ServerView struct {
	ID     string
	Factor float64 // multiplies the server's weight, in (0, 1]
	Allow  float64 // max sends per second by this balancer; 0: no limit
}

// Heat is the load of a key over the whole fleet, in multiples of a cache's mean load. Key is its Digest.
type Heat struct {
	Key  uint32
	Load float64
}

// Use is the rate of a tenant's requests over the whole fleet, per second.
type Use struct {
	Name  string
	Asked float64
}

// Report is a server's answer to a probe.
type Report struct {
	Queue float64 // requests waiting at the server
	Rate  float64 // requests that the server completes per second
}

// Actions is what a balancer may do. Each call takes effect at the time of the event being handled.
type Actions interface {
	// Send starts an attempt that times out after wait; 0: no timeout but the client's. An attempt that is not fully
	// written at notAfter must not be written any more; 0: no such limit.
	Send(id, server string, wait, notAfter time.Duration)
	Refuse(id string, retryAfter time.Duration)
	Fail(id string)
	Cancel(id string, n int)
	Timer(after time.Duration, token string)
	Subscribe()
	Probe(server string) // is answered by Probed; called only if MayProbe is set
	Log(text string)
}
