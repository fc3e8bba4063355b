// Package safety decides whether a request may be started, sent or repeated, and whether a connection may be closed, at this
// moment, and whether a connection to a server may carry another request. It is pure: it maps the facts of a request, an attempt or a connection to a reason. The policy and the node both use it;
// the node checks again immediately before bytes are written to the system, where any answer other than Allowed is a violation: an
// earlier check has failed.
//
// The rules are those of the protocol: exactly one final answer for each accepted request, no effect applied twice, no new work for
// a server that is leaving, and no work for a client that has disconnected or stopped waiting.
package safety

import "time"

// Reason says why an operation is not allowed now.
type Reason uint8

// The reasons.
const (
	Allowed           Reason = iota
	Answered                 // the request has its final answer
	ClientGone               // the client has closed its connection
	DeadlineExceeded         // no time remains until the client's deadline
	TimeoutTooLong           // the timeout sent to the server exceeds the remaining time
	ServerUnavailable        // the server is draining, off the server list or banned
	InFlight                 // an earlier attempt is in flight, and the request allows only one at a time
	MayHaveRun               // an earlier attempt may have run, and the request must not run twice
	WindowExpired            // an earlier attempt may have run, and its deduplication window may have expired
	OtherScope               // an earlier attempt may have run on a server outside the deduplication scope of this one
	Unanswered               // the connection has an accepted request without a final answer
	UnreadInput              // the connection has received bytes that have not been read
	DuplicateID              // another request with the same id is open or was open recently
	AtCapacity               // the node is at its limit
	Unsettled                // bytes that belong to an earlier answer may still arrive on the connection
	SurplusExpected          // the server has lately sent more than it was asked for
	NumReasons               // number of reasons
)

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	switch r {
	case Allowed:
		return "allowed"
	case Answered:
		return "answered"
	case ClientGone:
		return "client_gone"
	case DeadlineExceeded:
		return "time_over"
	case TimeoutTooLong:
		return "told_too_much"
	case ServerUnavailable:
		return "server_closed"
	case InFlight:
		return "still_out"
	case MayHaveRun:
		return "may_have_run"
	case WindowExpired:
		return "window_over"
	case OtherScope:
		return "other_group"
	case Unanswered:
		return "unanswered"
	case UnreadInput:
		return "unread"
	case DuplicateID:
		return "same_id"
	case AtCapacity:
		return "full"
	case Unsettled:
		return "unsettled"
	case SurplusExpected:
		return "surplus_expected"
	}
	return "unknown"
}

// StallAllowance is how far the timeout sent to a server may exceed the client's remaining time: a process may be stalled this long
// between reading its clock and writing.
const StallAllowance = 150 * time.Millisecond

// Effect classifies what repeating a request may do.
type Effect uint8

// The effects, from the least to the most restrictive.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // servers of one scope drop repeats of a key within the window
	Unsafe               // may be repeated only if it provably never ran
)

// PriorAttempt describes an earlier attempt of a request.
type PriorAttempt struct {
	Done      bool          // the attempt has ended
	NeverRan  bool          // it provably never ran
	Age       time.Duration // time since it was started
	SameScope bool          // its server and the next one deduplicate for each other
}

// CheckRepeat decides whether one earlier attempt allows a request to be sent again. The window is how long servers remember a keyed
// request.
func CheckRepeat(effect Effect, window time.Duration, e PriorAttempt) Reason {
	switch {
	case effect == Safe || e.Done && e.NeverRan:
		return Allowed
	case !e.Done:
		return InFlight
	case effect == Unsafe:
		return MayHaveRun
	case e.Age >= window-StallAllowance:
		return WindowExpired
	case !e.SameScope:
		return OtherScope
	}
	return Allowed
}

// Attempt describes an attempt that is about to be written.
type Attempt struct {
	Answered      bool          // the request has its final answer
	ClientGone    bool          // the client is known to have disconnected
	Remaining     time.Duration // time until the client's deadline
	Timeout       time.Duration // timeout sent to the server
	ServerAccepts bool          // the server may receive new work
}

// CheckSend decides whether an attempt may be written now. CheckRepeat covers the earlier attempts of the request.
func CheckSend(a Attempt) Reason {
	switch {
	case !a.ServerAccepts:
		return ServerUnavailable
	case a.ClientGone:
		return ClientGone
	case a.Answered:
		return Answered
	case a.Remaining <= 0:
		return DeadlineExceeded
	case a.Timeout > a.Remaining+StallAllowance:
		return TimeoutTooLong
	}
	return Allowed
}

// Connection describes a client connection that the node is about to close on its own initiative.
type Connection struct {
	Unanswered int  // accepted requests on it without a final answer
	Unread     bool // received bytes have not been read
	Broken     bool // the client violates the protocol or nothing more will be read; unread bytes are ignored
}

// CheckClose decides whether a client connection may be closed now.
func CheckClose(c Connection) Reason {
	switch {
	case c.Unanswered > 0:
		return Unanswered
	case c.Unread && !c.Broken:
		return UnreadInput
	}
	return Allowed
}

// Request describes a request that has been read.
type Request struct {
	DuplicateID bool          // another request has its id
	Remaining   time.Duration // time until the client's deadline
	AtCapacity  bool          // the node has no capacity for it
}

// CheckStart decides whether work on a request may begin.
func CheckStart(r Request) Reason {
	switch {
	case r.DuplicateID:
		return DuplicateID
	case r.AtCapacity:
		return AtCapacity
	case r.Remaining <= 0:
		return DeadlineExceeded
	}
	return Allowed
}
