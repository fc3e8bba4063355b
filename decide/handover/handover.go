// Package handover decides how the processes of one node, an old one and those that come to take its place, share what the
// one node may have. It is pure: each process is told what the others have made known of themselves, which may be old.
//
// The ordinary path: a process alone takes everything. The departure: while others live, an elder takes what it had, at
// most half or what it holds, and never more as long as a younger one lives; the youngest takes what the elders leave.
// An elder's word counts for the youngest only once it has been given in sight of it. So all together never take more than
// there is, however late they hear of each other.
package handover

import "slices"

// Stage is where a process is in its life.
type Stage int

// The stages, in order.
const (
	Starting Stage = iota // it takes no clients yet
	Serving               // it takes clients
	Leaving               // it finishes what it has
)

const (
	leavingSlack = 8 // descriptors beyond what a leaving process holds, to finish what it has taken
	deafPart     = 4 // of everything, the part that the youngest takes where elders don't answer
)

// Process is what a process makes known of itself.
type Process struct {
	Order      int64 // by start; no two have the same
	Stage      Stage
	OpenFDs    int   `json:"Open"` // file descriptors that it holds
	FDLimit    int   `json:"Room"` // file descriptors that it may use
	SettledFor int64 `json:"Made"` // the order of the youngest process known when FDLimit was last settled
}

// AllocateFDs settles what a process takes of so many descriptors; Room is the one that it had. It reports whether all elders
// have made room for it, without which it must not take clients, unless it has waited for long.
func AllocateFDs(total int, self Process, others []Process, waitedLong bool) (Process, bool) {
	youngest, left, made := self.Order, total, true
	for _, o := range others {
		if youngest = max(youngest, o.Order); o.Order < self.Order {
			made = made && o.SettledFor >= self.Order
		}
		left -= o.FDLimit
	}
	if self.Order < youngest {
		want := max(self.OpenFDs, total/2)
		if self.Stage == Leaving {
			want = self.OpenFDs + leavingSlack
		}
		self.FDLimit, self.SettledFor = min(self.FDLimit, want), youngest
		return self, true
	}
	self.SettledFor = self.Order
	switch {
	case made:
		self.FDLimit = max(0, left)
	case waitedLong: // an elder that stands still holds what it holds; a node that can't be replaced is worse
		self.FDLimit = max(left, total/deafPart)
	default:
		self.FDLimit = 0
	}
	return self, made
}

// MemoryShare is the part of the memory that each of the processes may use.
func MemoryShare(total int, others int) int { return max(1, total/(1+others)) }

// HasSuccessor reports whether a younger process takes clients in a process's place.
func HasSuccessor(self Process, others []Process) bool {
	return slices.ContainsFunc(others, func(o Process) bool { return o.Order > self.Order && o.Stage == Serving })
}
