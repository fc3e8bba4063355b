package follow

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxFirstDelay = 500 * time.Millisecond  // after a start: hundreds of nodes may start at once
	dialInterval  = 1100 * time.Millisecond // from a planner's first message to the next connection
	dialJitter    = 400 * time.Millisecond  // random addition to dialInterval
	dialTimeout   = 3 * time.Second         // after which a connection without a message no longer delays the next one
)

// Dialer decides when a forwarder opens its connections to planners. It opens them one after the other, so that no two
// handshakes and no two full states fall into the same second. The next one is opened over a second after the first message
// on the last one, at once if that fails, and after three seconds in any case: N planners are all tried within 3N seconds of
// a start.
type Dialer struct {
	rng          *rand.Rand
	queue        []int           // planners to connect to, the next first
	nextAt       time.Duration   // earliest time of the next connection
	pending      int             // planner that was dialled last, while it has neither answered nor failed; -1: none
	awaitedUntil []time.Duration // by planner, until when its first message is awaited; 0: it is not, forever: it is queued
}

const forever = time.Duration(1<<63 - 1)

// NewDialer queues connections to all planners in random order, so that each planner is followed by a part of the nodes.
func NewDialer(now time.Duration, planners int, rng *rand.Rand) *Dialer {
	d := &Dialer{rng: rng, queue: rng.Perm(planners), nextAt: now + randomDelay(rng, maxFirstDelay), pending: -1, awaitedUntil: make([]time.Duration, planners)}
	for i := range d.awaitedUntil {
		d.awaitedUntil[i] = forever
	}
	return d
}

func randomDelay(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

// Enqueue queues a new connection to a planner; first puts it before all others, for the planner that is followed.
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

// Next returns the planner to connect to now, or -1 and the time until then; the time is negative if the queue is empty.
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

// FirstMessage records the first message on a connection.
func (d *Dialer) FirstMessage(now time.Duration, planner int) {
	d.awaitedUntil[planner] = 0
	if d.pending == planner {
		d.pending, d.nextAt = -1, min(d.nextAt, now+dialInterval+randomDelay(d.rng, dialJitter))
	}
}

// Failed records that a connection has ended.
func (d *Dialer) Failed(now time.Duration, planner int) {
	d.awaitedUntil[planner] = 0
	if d.pending == planner {
		d.pending, d.nextAt = -1, now
	}
}

// Awaited returns how many planners have not been heard only because connections are opened one after the other.
func (d *Dialer) Awaited(now time.Duration) (count int) {
	for _, until := range d.awaitedUntil {
		if until > now {
			count++
		}
	}
	return count
}
