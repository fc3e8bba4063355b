package safety

import "time"

// SurplusMemory is how long a server that has sent more than it was asked for counts as one that may do so again.
const SurplusMemory = 30 * time.Second

// Reuse describes a connection to a server that has carried an answer, and the request that is about to be written to it.
//
// An answer that names its request cannot be taken for another's. Where answers are told apart by their order alone, as in HTTP/1.1
// (RFC 9112, section 9.2), bytes that nobody asked for may be taken for the answer to the next request: a peek before the request is
// written does not show what is still on its way.
type Reuse struct {
	LastNamed    bool          // the last answer on the connection named its request
	ServerNames  bool          // the server's values and receipts name their requests; only its refusals and errors may not
	Effect       Effect        // of running the request
	Quiet        time.Duration // time since bytes last arrived on the connection
	SettleTime   time.Duration // the bytes of an answer that have not arrived so long after the others are taken not to come
	SurplusSeen  bool          // the server has sent more than it was asked for, on any connection
	SinceSurplus time.Duration // time since it last did
}

// CheckReuse decides whether a request may be written to a connection that has carried an answer. A connection that has carried none
// may always be used.
func CheckReuse(r Reuse) Reason {
	switch {
	case r.LastNamed:
		return Allowed
	case r.ServerNames && r.Effect == Safe: // another request's refusal costs a read one attempt and the connection, see ProvesEnd
		return Allowed
	case r.SurplusSeen && r.SinceSurplus < SurplusMemory:
		return SurplusExpected
	case r.Quiet < r.SettleTime:
		return Unsettled
	}
	return Allowed
}

// TrustRefusal decides whether a refusal that does not name its request proves that the request has not run. It does not if it may be
// a second copy of an earlier answer: that one did not name its request either, and the connection had not settled when the request was
// written.
func TrustRefusal(effect Effect, earlierUnnamed bool, sinceEarlier, settleTime time.Duration) bool {
	return effect == Safe || !earlierUnnamed || sinceEarlier >= settleTime
}

// ProvesEnd decides whether an answer that does not name its request proves that the request's attempt has ended. It does not if it may be
// a second copy of an earlier answer on the connection that did not name its request either: the server sends copies, or the connection had
// not settled when the request was written. The attempt may then be running still.
func ProvesEnd(earlierUnnamed, surplusSeen bool, sinceEarlier, settleTime time.Duration) bool {
	return !earlierUnnamed || !surplusSeen && sinceEarlier >= settleTime
}
