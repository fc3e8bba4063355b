// Package policy decides, for one balancer, where each request goes and how it ends.
//
// This file is the module's whole interface: the settings it starts from, the events it is told and the
// actions it may take. The decisions are in policy.go. Nothing here does I/O or reads a clock: the caller
// passes the time (since any fixed zero) with each event and carries out what the Actions are called with.
package policy

import "time"

// Effect says what repeating a request of a class may do.
type Effect int

// The effects, from the freest to the strictest.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // servers of its dedup group drop a repeat for a while
	Unsafe               // may be repeated only when it provably never ran
)

// Scope is the set of servers that drop repeats of a keyed request together.
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
	OK Outcome = iota
	Miss
	Errored
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Miss || o == Full || o == ConnectFailed || o == NotSent }

// Class holds what is known of a request class.
type Class struct {
	Name   string
	Aim    time.Duration // answers within it earn the full worth
	Worth  float64       // worth of one request
	Effect Effect
	Scope  Scope         // dedup group, for Keyed
	Window time.Duration // how long the group remembers, for Keyed
}

// Tenant is one of those who share the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second, over all balancers, that count in full
}

// Mode says who fetches what a cache lacks.
type Mode int

// The modes.
const (
	Through Mode = iota // the cache fetches from the origin itself
	Aside               // the cache answers Miss and the balancer asks the origin
)

// Settings are what a balancer is told at its start.
type Settings struct {
	Classes         []Class
	Tenants         []Tenant
	Mode            Mode
	OriginKind      string // kind of the list entry that is the origin; empty when it is not listed
	OriginFalls     bool   // the origin stops when too many misses reach it
	Balancers       int    // balancers in the fleet, this one included
	Zone            string // this one's zone, where sends into others are priced; empty elsewhere
	MayProbe        bool   // servers may be probed, and tell then how many wait and how many they serve
	MustSubscribe   bool
	AskWithin       time.Duration // with MustAsk: longest spell without asking
	Tick            time.Duration // events come at most this often
	MaxAttempts     int
	Parallel        bool // a request may have two attempts out
	MayCancel       bool
	RetryAfterLimit time.Duration // longest advice to return that clients follow; 0 when they get none
	ColdFrom        float64       // part of its capacity that a starting server has at least
	WarmUp          time.Duration
	FallMultiple    float64 // times its present capacity that pushes a cold server over
	FallWindow      time.Duration
	Weighted        bool // the list carries weights
}

// State is where a listed server is in its life.
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
	Started time.Duration // last start by the wall clock of whoever tells the list, in Unix time; 0 for long ago
}

// Override is the last word said of a server by hand.
type Override struct {
	ID          string
	Banned      bool
	At          time.Duration // its version: higher than that of the word before it, whoever took that; near to when it was said
	Since, Back time.Duration // of the last ban, on the clock of the process that tells it: when it began, when it was lifted; 0: there was none, or it stands
}

// ListKind says how a Members event relates to the list held before.
type ListKind int

// The kinds of list news.
const (
	ListChanges  ListKind = iota // only what changed
	ListComplete                 // replaces the list
	ListSaved                    // the list as it was last held, perhaps stale
	ListFailed                   // asking failed or the subscription broke
)

// Request is a request that the balancer has taken.
type Request struct {
	ID          string
	Class       string
	Tenant      string
	Key         string        // empty when it has none
	Remaining   time.Duration // until this try of the client is given up
	Write       bool
	BodyPending bool // its last byte has yet to come, which Came will tell; Left is how long it may wait to be sent
}

// CacheStatus says what a cache did for a read, where caches tell.
type CacheStatus int

// The notes.
const (
	CacheUnreported CacheStatus = iota
	CacheHit
	CacheMiss
	CacheFetching // a miss while another fetch of the key is out
)

// Result is the end of one attempt.
type Result struct {
	ID            string
	N             int // which attempt, in the order of the sends
	Server        string
	Outcome       Outcome
	CacheStatus   CacheStatus
	Final         bool // nothing more is owed for the request
	BodyDiscarded bool // what has been sent of the request is not kept: it cannot be sent again
	ReusedConn    bool // a reset of a connection that had answered before: its end, not the server's, as far as that tells
}

// View is what planners that see the whole fleet tell one balancer, where there are any. It can only lower weights and add
// limits: the list, and what the balancer has seen itself, come first.
type View struct {
	Servers []ServerView
	Admit   float64 // part of the reads that may go to the origin, above 0 to 1; 0: all
	Hot     []Heat
	Tenants []Use
}

// ServerView is what a view says of one server.
type ServerView struct {
	ID     string
	Factor float64 // of its weight, above 0 to 1
	Allow  float64 // sends a second that this balancer may make; 0: no limit
}

// Heat is how many caches' mean load a key brings to the whole fleet. Key is its Digest.
type Heat struct {
	Key  uint32
	Load float64
}

// Use is how many requests a second a tenant asks of the whole fleet.
type Use struct {
	Name  string
	Asked float64
}

// Report is what a server says of its load when probed.
type Report struct {
	Queue float64 // requests that wait there
	Rate  float64 // requests that it serves a second
}

// Actions is what a balancer may do. Each call takes effect at the time of the event being handled.
type Actions interface {
	// Send starts an attempt, which is given up after wait; 0: as long as the client waits. One that has not gone out
	// whole at the time by must not go out any more; 0: there is no such time.
	Send(id, server string, wait, by time.Duration)
	Refuse(id string, comeBack time.Duration)
	Fail(id string)
	Cancel(id string, n int)
	Timer(after time.Duration, token string)
	Subscribe()
	Probe(server string) // Probed will tell; only where MayProbe says so
	Log(text string)
}
