package policy

import "time"

// When a server started, by this process's own clock. The list tells starts by the wall clock of the server's machine, which
// may be off by any amount; what was seen here bounds them.

// mostDeparted bounds the servers off the list whose starts are remembered.
const mostDeparted = 1024

// startTime is a server's start as the list told it and as it counts here.
type startTime struct {
	told  time.Duration // by the clock of whoever tells the list
	begun time.Duration // on the event clock
}

// departed remembers the starts of servers that have left the list: one that returns with the start that it had has not been
// restarted.
type departed struct {
	starts map[string]startTime
	order  []string // oldest first
}

// add remembers a server that leaves.
func (d *departed) add(id string, s startTime) {
	if d.starts == nil {
		d.starts = map[string]startTime{}
	}
	if _, known := d.starts[id]; !known {
		d.order = append(d.order, id)
	}
	d.starts[id] = s
	if len(d.order) > mostDeparted {
		delete(d.starts, d.order[0])
		d.order = d.order[1:]
	}
}

// begunAt is when a server with a new start counts as started: as the news comes if the list was watched before, and else as
// told, but no later than now. Guards against a clock behind this one, by which a cold server is warm as it joins, and one
// ahead, by which it stays cold. 0 is long ago.
func (b *Balancer) begunAt(e Server) time.Duration {
	if e.Started == 0 {
		return 0
	}
	if s, known := b.departed.starts[e.ID]; known && s.told == e.Started {
		return s.begun
	}
	if b.watched {
		return b.now
	}
	return min(e.Started, b.now)
}
