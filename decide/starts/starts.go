// Package starts settles when servers started, on the clock of whoever asks. A list tells starts by the wall clock of the server's
// machine, or of the list's, which may be off by any amount; what was seen of the list bounds them. It is pure: the caller passes
// the time.
package starts

import "time"

// MaxDeparted bounds the servers off the list whose starts are remembered.
const MaxDeparted = 1024

// start is a server's start as the list told it and as it counts here.
type start struct {
	told  time.Duration
	begun time.Duration
}

// History knows what was seen of starts. The zero History has seen nothing.
type History struct {
	watched  bool
	departed map[string]start
	order    []string // of the departed, the oldest first
}

// MarkWatched notes that the list has been told: what changes from now on changes as it is told.
func (b *History) MarkWatched() { b.watched = true }

// StartTime is when a server counts as started whose start the list tells for the first time, or anew: as the news comes if the list was
// watched before, and else as told, but no later than now. One that has left and returns with the start that it had has not been
// restarted. 0 is long ago. Guards against a clock behind this one, by which a cold server is warm as it joins, and one ahead, by
// which it stays cold.
func (b *History) StartTime(now time.Duration, id string, told time.Duration) time.Duration {
	if told == 0 {
		return 0
	}
	if s, known := b.departed[id]; known && s.told == told {
		return s.begun
	}
	if b.watched {
		return now
	}
	return min(told, now)
}

// RecordDeparture remembers the start of a server that leaves the list.
func (b *History) RecordDeparture(id string, told, begun time.Duration) {
	if b.departed == nil {
		b.departed = map[string]start{}
	}
	if _, known := b.departed[id]; !known {
		b.order = append(b.order, id)
	}
	b.departed[id] = start{told, begun}
	if len(b.order) > MaxDeparted {
		delete(b.departed, b.order[0])
		b.order = b.order[1:]
	}
}
