package follow

import (
	"slices"
	"time"

	"lapisshelf/decide/plan"
)

// sentDigest records when a digest was sent.
type sentDigest struct {
	seq uint64
	at  time.Duration
}

const maxSentDigests = 64 // at the shortest interval of digests, over 6 s

// DigestSent records that the digest with number seq is sent now. Numbers increase.
func (f *Follower) DigestSent(now time.Duration, seq uint64) {
	if len(f.sentDigests) == maxSentDigests {
		f.sentDigests = append(f.sentDigests[:0], f.sentDigests[1:]...)
	}
	f.sentDigests = append(f.sentDigests, sentDigest{seq, now})
}

// grantsFresh reports whether grants have been in transit for no longer than planners allow for. They answer digest seq and
// were sent after the planner had held it for the time after. No clocks are compared: the round trip is the time since the
// digest was sent, less the time that the planner held it.
// Grants that sat in a buffer while this node or the planner was frozen are not fresh: the planner has since given the
// budget to others.
func (f *Follower) grantsFresh(now time.Duration, seq uint64, after time.Duration) bool {
	for _, s := range f.sentDigests {
		if s.seq == seq {
			transit := now - s.at - after
			return transit >= -plan.MaxGrantTransit && transit <= plan.MaxGrantTransit
		}
	}
	return false
}

// SetAwaited sets how many planners have not been heard only because connections to them are opened one after the other.
func (f *Follower) SetAwaited(planners int) { f.awaitedPlanners = planners }

// minGrants returns the grants of st's planner, each reduced to the smallest that any planner with a valid state grants.
// Each planner hears all nodes and divides the whole budget, while some nodes follow one planner and some another. As the
// planners' counts differ, the grants in use would add up to as much as 1.9 budgets with two planners in the first seconds
// of a cold server. With the smallest grant, all nodes together stay within what any one planner has granted.
// While some planners are still to be heard, only the share of the planners heard so far is used: of two planners that each
// divide the whole budget, half of the nodes may hear one first, and the other half the other.
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

// limitGrants adjusts the grants in force to what another planner has just granted.
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
