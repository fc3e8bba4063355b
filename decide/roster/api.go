// Package roster decides how a node follows a registry's list of servers: what to ask next and at which endpoint, what an
// answer means, when a change takes effect, how long to back off after a failure, and what a list without known servers means.
//
// This file is the package's interface: settings, events and actions. The decisions are in roster.go, the state is in
// state.go. The package does no I/O and reads no clock: the caller passes the time (since any fixed zero) with each event and
// carries out the actions. The same events and seed give the same actions.
package roster

import (
	"time"

	"lapisshelf/policy"
)

// DefaultCallRate is the default limit on calls per second by all nodes together while calls fail.
const DefaultCallRate = 100.0

// Config holds the settings of a follower. They are set at the start and again when the registry's address changes.
type Config struct {
	Endpoints int // of one registry, at least 1
	Nodes     int // number of followers, this one included; at least 1
	// AskWithin is the longest time without a call before a node counts as notified of a change anyway. Delays between failed
	// calls grow from a sixteenth to a quarter of it, but only as far as a change is still known 6 s after the registry
	// had it and was reachable. 0 selects 20 s.
	AskWithin time.Duration
	// CallRate limits the calls per second by all nodes together while calls fail. 0 selects DefaultCallRate. It takes precedence
	// over the 6 s: MaxNodes returns the largest fleet for which both hold.
	CallRate float64
	// Streaming means that a watch is confirmed at once and then delivers each change as it happens, until it ends. Otherwise a
	// watch is a long poll: a single answer, sent with the first change or after WatchTimeout.
	Streaming bool
	// WatchTimeout is the longest wait of a watch for changes before it is renewed; jitter shortens it. On a dead connection it
	// bounds how long a node misses changes.
	WatchTimeout time.Duration
	// CallTimeout bounds a call in addition to its wait. It is raised to 3 s after a call that hung and for a node without a
	// list, and reduced where several endpoints must be asked within the available time.
	CallTimeout time.Duration
	// PushedRetryDelay is the longest delay after a failed call if the list is pushed to an agent beside the node: asking the
	// agent costs the registry nothing, and the agent's list counts as delivered to the node. With 0, delays follow from
	// AskWithin, Nodes and CallRate.
	PushedRetryDelay time.Duration
	// ImmediateFirstWatch makes the first watch after Restore return immediately with whatever is newer.
	ImmediateFirstWatch bool
	// HoldTime is how long servers are kept that vanish in a mass without having drained. With 0 they are removed at once.
	HoldTime time.Duration
	// HoldPart is the fraction of the ready servers above which vanished servers are a mass; a mass has at least two. 0 selects
	// a half.
	HoldPart float64
	// RewindAfter is how long all endpoints must report an older list before it is accepted as the registry's (a restored
	// backup); four times as long if some of them do not answer. 0 selects 30 s.
	RewindAfter time.Duration
	// PageSize is the number of entries that a read requests at a time; 0 requests all.
	PageSize int
	// MaxEntries limits the entries that are followed; further ones are left out. 0 selects 100,000.
	MaxEntries int
}

// Entry is a server as the registry stores it.
type Entry struct {
	policy.Server
	Addr string // listening address
}

// Change is the registry's state of one key.
type Change struct {
	Key       string
	Revision  int64 // of the change; 0 means that of the answer
	Deleted   bool
	Entry     Entry // unless deleted
	Malformed bool  // the entry does not parse; the last valid one stays in effect
}

// Call is a call to the registry. At most one is outstanding.
type Call struct {
	ID       uint64
	Endpoint int  // from 0
	ReadList bool // a read of the list; otherwise a watch
	// Revision is, for a read, the revision to read at (0 for the current one) and, for a watch, the one after which changes
	// are wanted.
	Revision int64
	After    string        // of a read: key after which the page begins
	PageSize int           // of a read: maximum number of entries; 0 for all
	Wait     time.Duration // of a watch: time after which it returns without changes
}

// Kind is the kind of an answer.
type Kind int

// The kinds of answers.
const (
	List      Kind = iota // entries of the whole list or of a page of it
	Changes               // changes in the order of their revisions; possibly none
	Heartbeat             // no changes: the registry is reachable and at this revision
	Progress              // all changes up to this revision have been sent
	Compacted             // the requested revision is no longer available
)

// Answer is an answer of the registry to a call, or one of several in a stream.
type Answer struct {
	Call     uint64
	Kind     Kind
	Revision int64 // of the registry
	// Epoch identifies the registry; a different one numbers its revisions differently. Empty if the registry has none.
	Epoch         string
	Changes       []Change
	NextPageAfter string // of a page: key after which the next page begins; empty for the last page
	Final         bool   // the call ends with this answer
}

// Update is reported to the node when its servers change.
type Update struct {
	Complete bool // Entries holds all servers; otherwise only the changed ones, including those that are gone
	Entries  []Entry
}

// Actions are the effects of a follower, carried out by the caller.
type Actions interface {
	Ask(c Call)             // start a call
	Drop(id uint64)         // end a call and ignore further answers to it
	Apply(u Update)         // report the list to the node
	Wake(at time.Duration)  // call Timer at that time; replaces the time set before
	Note(event, why string) // write a log line; rare
}
