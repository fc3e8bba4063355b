package follow

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxFirstDelay = 500 * time.Millisecond  // of a start: hundreds of nodes may start at once
	dialInterval  = 1100 * time.Millisecond // from a planner's first word to the next connection
	dialJitter    = 400 * time.Millisecond  // beyond that, drawn
	dialTimeout   = 3 * time.Second         // that a connection which has not failed keeps the next one waiting
)

// Dials decides when a forwarder opens its connections to planners: one after the other, so that no two handshakes and no two
// first states come in one second. The next is opened over a second after the last one's planner has said its first word, at
// once if that fails, and after three seconds in any case: N planners are all tried within 3N seconds of a start.
type Dialer struct {
	rng          *rand.Rand
	queue        []int           // wanted, the next first
	nextAt       time.Duration   // when the next may be opened
	pending      int             // opened, while nothing is known of it; -1: none
	awaitedUntil []time.Duration // by planner, until when its first word is; 0: it is not, forever: it is in the queue
}

const forever = time.Duration(1<<63 - 1)

// NewDials wants connections to so many planners, in a drawn order: each is followed by its part of the nodes.
func NewDialer(now time.Duration, planners int, rng *rand.Rand) *Dialer {
	d := &Dialer{rng: rng, queue: rng.Perm(planners), nextAt: now + randomDelay(rng, maxFirstDelay), pending: -1, awaitedUntil: make([]time.Duration, planners)}
	for i := range d.awaitedUntil {
		d.awaitedUntil[i] = forever
	}
	return d
}

func randomDelay(rng *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(most)))
}

// Want asks for a connection to a planner to be opened again; first: before all others that wait, it is the one followed.
func (d *Dialer) Enqueue(now time.Duration, planner int, first bool) {
	if slices.Contains(d.queue, planner) {
		return
	}
	if len(d.queue) > 0 || now < d.nextAt {
		d.awaitedUntil[planner] = forever
	}
	if first {
		d.queue = slices.Insert(d.queue, 0, planner)
		return
	}
	d.queue = append(d.queue, planner)
}

// Next gives the planner to which a connection is to be opened now; -1: none for so long, which is negative if none is wanted.
func (d *Dialer) Next(now time.Duration) (planner int, wait time.Duration) {
	switch {
	case len(d.queue) == 0:
		return -1, -1
	case now < d.nextAt:
		return -1, d.nextAt - now
	}
	planner, d.queue = d.queue[0], d.queue[1:]
	if d.awaitedUntil[planner] > 0 {
		d.awaitedUntil[planner] = now + dialTimeout
	}
	d.pending, d.nextAt = planner, now+dialTimeout
	return planner, 0
}

// Told notes a planner's first word on a connection.
func (d *Dialer) FirstMessage(now time.Duration, planner int) {
	d.awaitedUntil[planner] = 0
	if d.pending == planner {
		d.pending, d.nextAt = -1, min(d.nextAt, now+dialInterval+randomDelay(d.rng, dialJitter))
	}
}

// Failed notes that a connection has ended.
func (d *Dialer) Failed(now time.Duration, planner int) {
	d.awaitedUntil[planner] = 0
	if d.pending == planner {
		d.pending, d.nextAt = -1, now
	}
}

// Awaited is how many planners are not heard for no other reason than that their connections come one after the other.
func (d *Dialer) Awaited(now time.Duration) (count int) {
	for _, until := range d.awaitedUntil {
		if until > now {
			count++
		}
	}
	return count
}
