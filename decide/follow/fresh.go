package follow

import (
	"time"

	"lapisshelf/decide/plan"
)

// sending is when a digest went out.
type sending struct {
	seq uint64
	at  time.Duration
}

const mostSent = 64 // digests of which the time is remembered: over 6 s at the shortest interval

// Sent notes that the digest of that number goes out now. Numbers grow.
func (f *Follower) Sent(now time.Duration, seq uint64) {
	if len(f.sent) == mostSent {
		f.sent = append(f.sent[:0], f.sent[1:]...)
	}
	f.sent = append(f.sent, sending{seq, now})
}

// fresh reports whether grants that answer that digest, so long after it came, have been on their way for no longer than
// planners reckon with. It compares no clocks: the way there and back is the time since the digest went, less what the
// planner sat on it.
// Guards against grants that lay in a buffer while this node or the planner was frozen: the planner has given them to others.
func (f *Follower) fresh(now time.Duration, seq uint64, after time.Duration) bool {
	for _, s := range f.sent {
		if s.seq == seq {
			way := now - s.at - after
			return way >= -plan.MostTravel && way <= plan.MostTravel
		}
	}
	return false
}
