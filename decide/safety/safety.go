// Package safety decides whether something may be sent, repeated, closed or started now. It is pure: the facts of a request, an
// attempt or a connection go in, and a reason comes out. The decision module and the node ask it; the node asks it again at the
// last moment before bytes go to the system, where an answer other than Allowed is a violation: a guard before it has failed.
//
// The rules are those of the protocol page: one final answer for each request taken, no effect twice, nothing new to a server
// that leaves, no work for a client that has gone or stopped waiting.
package safety

import "time"

// Reason says why something may not be done now.
type Reason uint8

// The reasons.
const (
	Allowed           Reason = iota
	Answered                 // the request has its final answer
	ClientGone               // the client has closed its connection
	DeadlineExceeded         // nothing is left of the client's time
	TimeoutTooLong           // the attempt tells its server of more time than is left
	ServerUnavailable        // the server drains, has left the list or is banned
	InFlight                 // an earlier attempt is out, and the request may not have two
	MayHaveRun               // an earlier attempt may have run, and the request must not run twice
	WindowExpired            // an earlier attempt may have run, and its servers may have forgotten it by now
	OtherScope               // an earlier attempt may have run, in servers that do not share what they remember with this one
	Unanswered               // the connection carries a request that was taken and not answered
	UnreadInput              // the connection holds bytes that nobody has read
	DuplicateID              // another request of the same id is open, or was lately
	AtCapacity               // the node holds as much as it may
	NumReasons               // how many there are
)

// String is the reason's name in logs and figures.
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
	}
	return "unknown"
}

// StallAllowance is by how much what an attempt tells of the client's time may be over what is left: a process may be held up for as long
// between reading its clock and writing.
const StallAllowance = 150 * time.Millisecond

// Effect says what repeating a request may do.
type Effect uint8

// The effects, from the freest to the strictest.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // servers of its group drop a repeat for a while
	Unsafe               // may be repeated only when it provably never ran
)

// PriorAttempt is what is known of an earlier attempt of a request.
type PriorAttempt struct {
	Done      bool          // it has ended
	NeverRan  bool          // provably
	Age       time.Duration // since it was begun
	SameScope bool          // its server and the next one drop each other's repeats
}

// CheckRepeat decides whether a request may be sent again, as far as one earlier attempt tells. The window is how long servers remember
// a keyed request.
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

// Attempt is what is known as an attempt is about to be written.
type Attempt struct {
	Answered      bool          // the request has its final answer
	ClientGone    bool          // as far as is known
	Remaining     time.Duration // of the client's time
	Timeout       time.Duration // what the attempt tells its server
	ServerAccepts bool          // it may get something new
}

// CheckSend decides whether an attempt may be written now. Repeat decides the rest.
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

// Connection is what is known of a client's connection that the node is about to close by itself.
type Connection struct {
	Unanswered int  // requests on it that were taken and have no final answer
	Unread     bool // something has come that was not read
	Broken     bool // its client breaks the protocol, or nothing more of it will be read: what is unread counts for nothing
}

// CheckClose decides whether a client's connection may be closed now.
func CheckClose(c Connection) Reason {
	switch {
	case c.Unanswered > 0:
		return Unanswered
	case c.Unread && !c.Broken:
		return UnreadInput
	}
	return Allowed
}

// Request is what is known of a request that has been read.
type Request struct {
	DuplicateID bool          // its id is another's
	Remaining   time.Duration // of its client's time
	AtCapacity  bool          // the node has no room for it
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
