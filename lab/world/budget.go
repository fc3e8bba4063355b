package world

import "time"

// WorkBudget limits the work that arrives at a server to a multiple of its capacity: over any window, all work sent to
// it, rejected or not, must stay under Multiple x capacity x Window. A cold server that exceeds it falls over, and an
// origin that exceeds it stops.
type WorkBudget struct {
	Multiple float64
	Window   time.Duration
	// Slack is extra work allowed for random variation.
	Slack time.Duration

	arrivals []workArrival
	total    float64 // sum over arrivals
}

type workArrival struct {
	at     time.Duration
	work   float64
	marked bool
}

// Add counts work that arrives while the server can do capacity seconds of work per second. It reports whether the
// budget is exceeded and, if so, which fraction of the work in the window the caller had marked.
func (b *WorkBudget) Add(now, work time.Duration, capacity float64, mark bool) (exceeded bool, marked float64) {
	if b.Multiple <= 0 || b.Window <= 0 {
		return false, 0
	}
	b.arrivals = append(b.arrivals, workArrival{now, work.Seconds(), mark})
	b.total += work.Seconds()
	first := 0
	for first < len(b.arrivals) && b.arrivals[first].at <= now-b.Window {
		b.total -= b.arrivals[first].work
		first++
	}
	if b.arrivals = b.arrivals[first:]; b.total <= b.Multiple*capacity*b.Window.Seconds()+b.Slack.Seconds()+1e-9 {
		return false, 0
	}
	for _, e := range b.arrivals {
		if e.marked {
			marked += e.work
		}
	}
	return true, marked / b.total
}

// Reset discards the counted work.
func (b *WorkBudget) Reset() { b.arrivals, b.total = nil, 0 }
