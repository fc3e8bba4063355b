package starts

import (
	"fmt"
	"testing"
	"time"
)

func TestStartTime(t *testing.T) {
	const now = 100 * time.Hour
	for _, c := range []struct {
		name     string
		watched  bool
		reported time.Duration
		want     time.Duration
	}{
		{"long ago, first list", false, 0, 0},
		{"first list", false, now - time.Second, now - time.Second},
		{"first list, server clock ahead", false, now + time.Hour, now},
		{"long ago, watched", true, 0, 0},
		{"watched", true, now - time.Second, now},
		{"watched, server clock behind", true, now - time.Hour, now},
		{"watched, server clock ahead", true, now + time.Hour, now},
	} {
		var h History
		if c.watched {
			h.MarkWatched()
		}
		if got := h.StartTime(now, "s", c.reported); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestReturningServerKeepsItsStart(t *testing.T) {
	var h History
	h.MarkWatched()
	h.RecordDeparture("s", 7, 9)
	if got := h.StartTime(time.Hour, "s", 7); got != 9 {
		t.Errorf("returned with the same start: %v", got)
	}
	if got := h.StartTime(time.Hour, "s", 8); got != time.Hour {
		t.Errorf("returned with another start: %v", got)
	}
	for i := range 3 * MaxDeparted {
		h.RecordDeparture(fmt.Sprint(i), 1, 1)
		h.RecordDeparture(fmt.Sprint(i), 2, 2)
	}
	if len(h.departed) != MaxDeparted || len(h.order) != MaxDeparted {
		t.Errorf("%d departed servers remembered, %d in order", len(h.departed), len(h.order))
	}
	if got := h.StartTime(time.Hour, fmt.Sprint(3*MaxDeparted-1), 2); got != 2 {
		t.Errorf("the most recently departed server: %v", got)
	}
}

// Of a fleet of 3,200 that left the list and came back unchanged, all but the last 1,024 counted as started just then.
func TestALargeFleetThatReturnsKeepsItsStarts(t *testing.T) {
	const servers = 3200
	var h History
	h.MarkWatched()
	for i := range servers {
		h.RecordDeparture(fmt.Sprint(i), 7, 9)
	}
	for i := range servers {
		if got := h.StartTime(time.Hour, fmt.Sprint(i), 7); got != 9 {
			t.Fatalf("server %d returned with the same start: %v", i, got)
		}
	}
}
