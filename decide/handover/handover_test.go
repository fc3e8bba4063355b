package handover

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestShare(t *testing.T) {
	for _, c := range []struct {
		name       string
		self       Process
		others     []Process
		waitedLong bool
		fdLimit    int
		mayAccept  bool
	}{
		{"alone", Process{Order: 5, FDLimit: 10}, nil, false, 100, true},
		{"predecessor with few open descriptors", Process{Order: 5, Stage: Serving, OpenFDs: 10, FDLimit: 100}, []Process{{Order: 6}}, false, 50, true},
		{"predecessor with many open descriptors", Process{Order: 5, Stage: Serving, OpenFDs: 70, FDLimit: 100}, []Process{{Order: 6}}, false, 70, true},
		{"predecessor does not raise its limit", Process{Order: 5, Stage: Serving, OpenFDs: 10, FDLimit: 30}, []Process{{Order: 6, FDLimit: 20}}, false, 30, true},
		{"leaving predecessor", Process{Order: 5, Stage: Leaving, OpenFDs: 10, FDLimit: 50}, []Process{{Order: 6, FDLimit: 50}}, false, 18, true},
		{"predecessor has not settled yet", Process{Order: 6}, []Process{{Order: 5, FDLimit: 100}}, false, 0, false},
		{"predecessor has settled", Process{Order: 6}, []Process{{Order: 5, FDLimit: 50, SettledFor: 6}}, false, 50, true},
		{"unresponsive predecessor", Process{Order: 6}, []Process{{Order: 5, FDLimit: 100}}, true, 25, false},
		{"youngest of three", Process{Order: 7}, []Process{{Order: 5, FDLimit: 18, SettledFor: 7}, {Order: 6, FDLimit: 50, SettledFor: 7}}, false, 32, true},
		{"youngest of three, one not settled", Process{Order: 7}, []Process{{Order: 5, FDLimit: 18, SettledFor: 7}, {Order: 6, FDLimit: 82, SettledFor: 6}}, false, 0, false},
		{"middle of three", Process{Order: 6, FDLimit: 82, OpenFDs: 20}, []Process{{Order: 5, FDLimit: 18, SettledFor: 7}, {Order: 7}}, false, 50, true},
	} {
		got, mayAccept := AllocateFDs(100, c.self, c.others, c.waitedLong)
		if got.FDLimit != c.fdLimit || mayAccept != c.mayAccept {
			t.Errorf("%s: limit %d, may accept %v; want %d, %v", c.name, got.FDLimit, mayAccept, c.fdLimit, c.mayAccept)
		}
	}
}

// For any sequence of starts, deaths and stale reads, the limits never add up to more than the total, and a process that runs alone
// takes everything.
func TestLimitsNeverExceedTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 100
		var running []Process            // running processes with their current limits
		published := map[int64]Process{} // last published state of each
		stale := map[int64]Process{}     // published state before that, which a reader may still see
		order := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if len(running) < 4 {
					order++
					running = append(running, Process{Order: order})
					published[order], stale[order] = running[len(running)-1], running[len(running)-1]
				}
			case 1:
				if len(running) > 1 { // a released lock makes a death known at once
					running = slices.Delete(running, 0, 1)
				}
			case 2:
				if len(running) > 1 {
					running = running[:len(running)-1]
				}
			default:
				if len(running) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "who")
				self := running[i]
				var others []Process
				for _, o := range running {
					if o.Order == self.Order {
						continue
					}
					if rapid.Bool().Draw(t, "late") {
						others = append(others, stale[o.Order])
					} else {
						others = append(others, published[o.Order])
					}
				}
				self.OpenFDs = rapid.IntRange(0, self.FDLimit).Draw(t, "open")
				self.Stage = max(self.Stage, Stage(rapid.IntRange(0, 2).Draw(t, "stage")))
				self, _ = AllocateFDs(total, self, others, false)
				if self.FDLimit < self.OpenFDs && len(others) > 0 && self.Order != slices.MaxFunc(running, func(a, b Process) int { return int(a.Order - b.Order) }).Order {
					t.Fatalf("a predecessor holds %d descriptors but has a limit of %d", self.OpenFDs, self.FDLimit)
				}
				running[i] = self
				stale[self.Order], published[self.Order] = published[self.Order], self
			}
			sum := 0
			for _, p := range running {
				sum += p.FDLimit
			}
			if sum > total {
				t.Fatalf("limits add up to %d of %d: %+v", sum, total, running)
			}
		}
		if len(running) == 1 {
			if self, mayAccept := AllocateFDs(total, running[0], nil, false); self.FDLimit != total || !mayAccept {
				t.Fatalf("a process alone has a limit of %d", self.FDLimit)
			}
		}
	})
}
