package handover

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestShare(t *testing.T) {
	for _, c := range []struct {
		name   string
		self   Process
		others []Process
		waited bool
		room   int
		may    bool
	}{
		{"alone", Process{Order: 5, FDLimit: 10}, nil, false, 100, true},
		{"an elder, with little", Process{Order: 5, Stage: Serving, OpenFDs: 10, FDLimit: 100}, []Process{{Order: 6}}, false, 50, true},
		{"an elder, with much", Process{Order: 5, Stage: Serving, OpenFDs: 70, FDLimit: 100}, []Process{{Order: 6}}, false, 70, true},
		{"an elder takes no more than it had", Process{Order: 5, Stage: Serving, OpenFDs: 10, FDLimit: 30}, []Process{{Order: 6, FDLimit: 20}}, false, 30, true},
		{"an elder that leaves", Process{Order: 5, Stage: Leaving, OpenFDs: 10, FDLimit: 50}, []Process{{Order: 6, FDLimit: 50}}, false, 18, true},
		{"not heard yet", Process{Order: 6}, []Process{{Order: 5, FDLimit: 100}}, false, 0, false},
		{"heard", Process{Order: 6}, []Process{{Order: 5, FDLimit: 50, SettledFor: 6}}, false, 50, true},
		{"an elder that stands still", Process{Order: 6}, []Process{{Order: 5, FDLimit: 100}}, true, 25, false},
		{"the youngest of three", Process{Order: 7}, []Process{{Order: 5, FDLimit: 18, SettledFor: 7}, {Order: 6, FDLimit: 50, SettledFor: 7}}, false, 32, true},
		{"the youngest of three, one has not heard", Process{Order: 7}, []Process{{Order: 5, FDLimit: 18, SettledFor: 7}, {Order: 6, FDLimit: 82, SettledFor: 6}}, false, 0, false},
		{"between two", Process{Order: 6, FDLimit: 82, OpenFDs: 20}, []Process{{Order: 5, FDLimit: 18, SettledFor: 7}, {Order: 7}}, false, 50, true},
	} {
		got, may := AllocateFDs(100, c.self, c.others, c.waited)
		if got.FDLimit != c.room || may != c.may {
			t.Errorf("%s: room %d, may %v; want %d, %v", c.name, got.FDLimit, may, c.room, c.may)
		}
	}
}

// Whatever dies, starts or is heard late: all together never take more than there is, and whoever is alone takes all.
func TestNeverMoreThanThereIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 100
		var live []Process           // what each takes
		said := map[int64]Process{}  // what each has made known last
		stale := map[int64]Process{} // and what may be heard in its place
		order := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if len(live) < 4 {
					order++
					live = append(live, Process{Order: order})
					said[order], stale[order] = live[len(live)-1], live[len(live)-1]
				}
			case 1:
				if len(live) > 1 { // a death is known by the lock, at once
					live = slices.Delete(live, 0, 1)
				}
			case 2:
				if len(live) > 1 {
					live = live[:len(live)-1]
				}
			default:
				if len(live) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(live)-1).Draw(t, "who")
				self := live[i]
				var others []Process
				for _, o := range live {
					if o.Order == self.Order {
						continue
					}
					if rapid.Bool().Draw(t, "late") {
						others = append(others, stale[o.Order])
					} else {
						others = append(others, said[o.Order])
					}
				}
				self.OpenFDs = rapid.IntRange(0, self.FDLimit).Draw(t, "open")
				self.Stage = max(self.Stage, Stage(rapid.IntRange(0, 2).Draw(t, "stage")))
				self, _ = AllocateFDs(total, self, others, false)
				if self.FDLimit < self.OpenFDs && len(others) > 0 && self.Order != slices.MaxFunc(live, func(a, b Process) int { return int(a.Order - b.Order) }).Order {
					t.Fatalf("an elder holds %d and takes %d", self.OpenFDs, self.FDLimit)
				}
				live[i] = self
				stale[self.Order], said[self.Order] = said[self.Order], self
			}
			sum := 0
			for _, p := range live {
				sum += p.FDLimit
			}
			if sum > total {
				t.Fatalf("%d of %d taken: %+v", sum, total, live)
			}
		}
		if len(live) == 1 {
			if self, may := AllocateFDs(total, live[0], nil, false); self.FDLimit != total || !may {
				t.Fatalf("alone it takes %d", self.FDLimit)
			}
		}
	})
}
