package world

import "time"

// Budget counts the work that reaches a server against a multiple of what it can do: over any span of the stated length,
// all that was sent, turned away or not, must stay under multiple x capacity x span. It is how a cold server falls over
// and how an origin stops.
type WorkBudget struct {
	Multiple float64
	Window   time.Duration
	// Slack is work that may come beyond it by chance.
	Slack time.Duration

	arrivals []workArrival
	total    float64 // of the entries
}

type workArrival struct {
	at     time.Duration
	work   float64
	marked bool
}

// Add counts work that comes while the server can do capacity seconds of work a second. It reports whether the budget is
// spent, and which part of the work that spent it was marked by the caller.
func (b *WorkBudget) Add(now, work time.Duration, capacity float64, mark bool) (spent bool, marked float64) {
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

// Reset forgets what was counted.
func (b *WorkBudget) Reset() { b.arrivals, b.total = nil, 0 }
