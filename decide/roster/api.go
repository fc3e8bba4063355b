// Package roster decides how a node follows a registry's list of servers: what is asked next and of which endpoint, what an
// answer means, when a change counts, how long to wait after a failure, and what a list that lacks known servers means.
//
// This file is the module's interface: settings, events, actions. The decisions are in roster.go, what it remembers in
// state.go. It does no I/O and reads no clock: the caller passes the time (since any fixed zero) with each event and
// carries out the actions. The same events and seed give the same actions.
package roster

import (
	"time"

	"lapisshelf/policy"
)

// DefaultCallRate is how many calls a second all nodes together may make while calls fail, where that is not told.
const DefaultCallRate = 100.0

// Config is what a follower is told at its start, and again when the registry's address changes.
type Config struct {
	Endpoints int // of one registry, at least 1
	Nodes     int // followers of it, this one included; at least 1
	// AskWithin is the longest spell without a call after which a node counts as told all the same; waits between failed
	// calls grow from a sixteenth to a quarter of it, but never beyond what lets a change be known 6 s after the registry
	// had it and could be reached. 0 takes 20 s.
	AskWithin time.Duration
	// CallRate is how many calls a second all nodes together may make while calls fail. 0 takes DefaultCalls. It goes before the 6 s:
	// MostNodes tells the largest fleet for which both hold.
	CallRate float64
	// Streaming: a watch says at once that it stands, then each change as it comes, for as long as it lasts; else it is one
	// answer, which comes with the first change or after Watch.
	Streaming bool
	// WatchTimeout is how long a watch may wait for news at most before it is asked anew, a part of it drawn: with a cut line, how
	// long a node does not know.
	WatchTimeout time.Duration
	// CallTimeout is how long a call may take besides; up to 3 s after one that hung, and for a node that knows no list. It is cut
	// where several endpoints must be asked in the time there is.
	CallTimeout time.Duration
	// PushedRetryDelay is the longest wait behind a call that failed, where the list is pushed to an agent beside the node: asking that
	// anew costs the registry nothing, and what it has counts as told. 0: waits follow from Within, Nodes and Calls.
	PushedRetryDelay time.Duration
	// ImmediateFirstWatch makes the first watch from a saved list return at once with what is newer.
	ImmediateFirstWatch bool
	// HoldTime is how long servers are kept that vanish in a mass, without having drained; 0: they go at once.
	HoldTime time.Duration
	// HoldPart is the part of the ready servers that is a mass: more than that gone, and at least two. 0 takes a half.
	HoldPart float64
	// RewindAfter is how long all endpoints must tell of an older list before it is taken for the registry's (a restored backup);
	// four times as long where some of them say nothing. 0 takes 30 s.
	RewindAfter time.Duration
	// PageSize is how many entries a read asks for at once; 0: all.
	PageSize int
	// MaxEntries bounds the entries that are followed; what comes beyond is left out. 0 takes 100,000.
	MaxEntries int
}

// Entry is a server as the registry has it.
type Entry struct {
	policy.Server
	Addr string // where it listens
}

// Change is what the registry says of one key.
type Change struct {
	Key       string
	Revision  int64 // of the change; 0: that of the answer
	Deleted   bool
	Entry     Entry // unless it is gone
	Malformed bool  // the entry does not parse: the last good one stands
}

// Call is what is to be asked. One call is out at a time.
type Call struct {
	ID       uint64
	Endpoint int  // from 0
	ReadList bool // a read of the list, else a watch
	// Revision: of a read, at which it must be made (0: the present one); of a watch, what is newer than it.
	Revision int64
	After    string        // of a read: the key after which the page begins
	PageSize int           // of a read: entries at most; 0: all
	Wait     time.Duration // of a watch: it returns by then with what there is
}

// Kind is what an answer is.
type Kind int

// The kinds of answers.
const (
	List      Kind = iota // entries of the whole list, or a page of them
	Changes               // changes, in the order of their revisions; perhaps none
	Heartbeat             // nothing, but the registry is there and at this revision
	Progress              // all changes up to this revision have been told
	Compacted             // what was asked for is forgotten there
)

// Answer is something that the registry said to a call.
type Answer struct {
	Call     uint64
	Kind     Kind
	Revision int64 // of the registry
	// Epoch names the registry; another one means another numbering of revisions. Empty: it tells none.
	Epoch         string
	Changes       []Change
	NextPageAfter string // of a page: the key after which the next begins; empty: it was the last
	Final         bool   // the call ends with this answer
}

// Update is what a node must be told.
type Update struct {
	Complete bool // all servers there are; else only what has changed, those that are gone among it
	Entries  []Entry
}

// Actions is what a follower may do.
type Actions interface {
	Ask(c Call)             // begin a call
	Drop(id uint64)         // end a call, whatever it may still say
	Apply(u Update)         // tell the node of the list
	Wake(at time.Duration)  // call Timer then; it replaces what was asked before
	Note(event, why string) // for the log, rare
}
