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

	entries []entry
	work    float64 // of the entries
}

type entry struct {
	at   time.Duration
	work float64
	mark bool
}

// Add counts work that comes while the server can do capacity seconds of work a second. It reports whether the budget is
// spent, and which part of the work that spent it was marked by the caller.
func (b *WorkBudget) Add(now, work time.Duration, capacity float64, mark bool) (spent bool, marked float64) {
	if b.Multiple <= 0 || b.Window <= 0 {
		return false, 0
	}
	b.entries = append(b.entries, entry{now, work.Seconds(), mark})
	b.work += work.Seconds()
	first := 0
	for first < len(b.entries) && b.entries[first].at <= now-b.Window {
		b.work -= b.entries[first].work
		first++
	}
	if b.entries = b.entries[first:]; b.work <= b.Multiple*capacity*b.Window.Seconds()+b.Slack.Seconds()+1e-9 {
		return false, 0
	}
	for _, e := range b.entries {
		if e.mark {
			marked += e.work
		}
	}
	return true, marked / b.work
}

// Reset forgets what was counted.
func (b *WorkBudget) Reset() { b.entries, b.work = nil, 0 }
