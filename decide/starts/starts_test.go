package starts

import (
	"fmt"
	"testing"
	"time"
)

func TestBegun(t *testing.T) {
	const now = 100 * time.Hour
	for _, c := range []struct {
		name    string
		watched bool
		told    time.Duration
		want    time.Duration
	}{
		{"long ago, first list", false, 0, 0},
		{"first list", false, now - time.Second, now - time.Second},
		{"first list, a clock ahead", false, now + time.Hour, now},
		{"long ago, watched", true, 0, 0},
		{"watched", true, now - time.Second, now},
		{"watched, a clock behind", true, now - time.Hour, now},
		{"watched, a clock ahead", true, now + time.Hour, now},
	} {
		var b History
		if c.watched {
			b.MarkWatched()
		}
		if got := b.StartTime(now, "s", c.told); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestWhoReturnsAsItLeftHasNotStarted(t *testing.T) {
	var b History
	b.MarkWatched()
	b.RecordDeparture("s", 7, 9)
	if got := b.StartTime(time.Hour, "s", 7); got != 9 {
		t.Errorf("returned with its start: %v", got)
	}
	if got := b.StartTime(time.Hour, "s", 8); got != time.Hour {
		t.Errorf("returned with another start: %v", got)
	}
	for i := range 3 * MaxDeparted {
		b.RecordDeparture(fmt.Sprint(i), 1, 1)
		b.RecordDeparture(fmt.Sprint(i), 2, 2)
	}
	if len(b.departed) != MaxDeparted || len(b.order) != MaxDeparted {
		t.Errorf("%d are remembered in an order of %d", len(b.departed), len(b.order))
	}
	if got := b.StartTime(time.Hour, fmt.Sprint(3*MaxDeparted-1), 2); got != 2 {
		t.Errorf("the last one that left: %v", got)
	}
}
