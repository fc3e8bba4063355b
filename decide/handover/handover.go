// Package handover decides how the processes of one node, a predecessor and its successors in an upgrade, share the resources of the
// node. It is pure: each process is given what the other processes have published about themselves, which may be stale.
//
// A process that runs alone takes everything. While several run, a predecessor keeps at most the larger of half and what it holds,
// and never raises its limit while a successor runs; the youngest process takes what the predecessors leave. A predecessor's limit
// counts for the youngest process only once it has been settled with the youngest known. The limits therefore never add up to more
// than the total, however late the processes learn of each other, unless a successor gives up waiting for an unresponsive predecessor.
package handover

import "slices"

// Stage is a process's stage of life.
type Stage int

// The stages, in order.
const (
	Starting Stage = iota // accepts no clients yet
	Serving               // accepts clients
	Leaving               // finishes the work that it has
)

const (
	leavingSpareFDs     = 8 // descriptors above those held that a leaving process keeps to finish its work
	unresponsiveDivisor = 4 // the youngest process takes this fraction of the total if predecessors do not answer
)

// Process is what a process publishes about itself.
type Process struct {
	Order      int64 // start order; unique
	Stage      Stage
	OpenFDs    int   `json:"Open"` // file descriptors in use
	FDLimit    int   `json:"Room"` // file descriptors that it may use
	SettledFor int64 `json:"Made"` // order of the youngest process known when FDLimit was settled
}

// AllocateFDs settles how many of total file descriptors a process may use; self.FDLimit holds its previous limit. It reports whether
// all predecessors have made room for the process. Without that, it must not accept clients unless it has waited for long.
func AllocateFDs(total int, self Process, others []Process, waitedLong bool) (Process, bool) {
	youngest, left, settled := self.Order, total, true
	for _, o := range others {
		if youngest = max(youngest, o.Order); o.Order < self.Order {
			settled = settled && o.SettledFor >= self.Order
		}
		left -= o.FDLimit
	}
	if self.Order < youngest {
		want := max(self.OpenFDs, total/2)
		if self.Stage == Leaving {
			want = self.OpenFDs + leavingSpareFDs
		}
		self.FDLimit, self.SettledFor = min(self.FDLimit, want), youngest
		return self, true
	}
	self.SettledFor = self.Order
	switch {
	case settled:
		self.FDLimit = max(0, left)
	case waitedLong: // an unresponsive predecessor keeps what it holds, but a node that cannot be replaced is worse than exceeding the total
		self.FDLimit = max(left, total/unresponsiveDivisor)
	default:
		self.FDLimit = 0
	}
	return self, settled
}

// MemoryShare returns how much of the memory each process may use.
func MemoryShare(total int, others int) int { return max(1, total/(1+others)) }

// HasSuccessor reports whether a younger process accepts clients in place of self.
func HasSuccessor(self Process, others []Process) bool {
	return slices.ContainsFunc(others, func(o Process) bool { return o.Order > self.Order && o.Stage == Serving })
}
