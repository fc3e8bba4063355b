package follow

import (
	"slices"
	"time"

	"lapisshelf/decide/plan"
)

// sending is when a digest went out.
type sentDigest struct {
	seq uint64
	at  time.Duration
}

const maxSentDigests = 64 // digests of which the time is remembered: over 6 s at the shortest interval

// Sent notes that the digest of that number goes out now. Numbers grow.
func (f *Follower) DigestSent(now time.Duration, seq uint64) {
	if len(f.sentDigests) == maxSentDigests {
		f.sentDigests = append(f.sentDigests[:0], f.sentDigests[1:]...)
	}
	f.sentDigests = append(f.sentDigests, sentDigest{seq, now})
}

// fresh reports whether grants that answer that digest, so long after it came, have been on their way for no longer than
// planners reckon with. It compares no clocks: the way there and back is the time since the digest went, less what the
// planner sat on it.
// Guards against grants that lay in a buffer while this node or the planner was frozen: the planner has given them to others.
func (f *Follower) grantsFresh(now time.Duration, seq uint64, after time.Duration) bool {
	for _, s := range f.sentDigests {
		if s.seq == seq {
			way := now - s.at - after
			return way >= -plan.MaxGrantTransit && way <= plan.MaxGrantTransit
		}
	}
	return false
}

// Awaits tells how many planners are not heard yet but are about to be: the connections to them come one after the other.
func (f *Follower) SetAwaited(planners int) { f.awaitedPlanners = planners }

// least are the grants of the planner that a state is of, each no larger than what the others that are heard grant now.
// Guards against planners that hear all and each share out the whole budget, while some nodes follow the one and some the
// other: by their own counts they give one node more and another less, and together, in the first seconds of a cold server,
// up to 1.9 of the budget (two planners). With the least, all nodes stay within what any one planner has given out to them.
// While some planners are still to be heard, the others' part of it counts: of two that each share out the whole budget, one
// may be heard first by half of the nodes, and the other by the other half.
func (f *Follower) minGrants(now time.Duration, st *state) []plan.Grant {
	list := append([]plan.Grant(nil), st.grants...)
	heard := 1
	for _, o := range f.states {
		if o == st || now-o.receivedAt > o.valid {
			continue
		}
		heard++
		for _, g := range o.grants {
			for i := range list {
				if list[i].ID == g.ID {
					list[i].Rate = min(list[i].Rate, g.Rate)
				}
			}
		}
	}
	for i := range list {
		list[i].Rate *= float64(heard) / float64(heard+f.awaitedPlanners)
	}
	return list
}

// limit brings what is granted by the view in force in line with what another planner has granted now.
func (f *Follower) limitGrants(now time.Duration) {
	st := f.states[f.held.Planner]
	if st == nil || st.position != f.heldPosition || len(st.grants) == 0 || now-f.receivedAt > f.held.Valid {
		return
	}
	if v := st.view(f.minGrants(now, st)); !slices.Equal(v.Servers, f.held.Servers) {
		h := *f.held
		h.View = v
		f.held = &h
		f.version++
	}
}
