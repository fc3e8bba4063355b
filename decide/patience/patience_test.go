package patience

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An answer has at least three quarters of the time left, and all of it if its request may not be sent again.
func TestWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, least time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(least), int64(10*time.Second)).Draw(t, name))
		}
		a := Answer{Remaining: draw("remaining", -time.Second), Repeatable: rapid.Bool().Draw(t, "repeatable"), AnswerTime: draw("answer time", 0)}
		wait, left := Wait(a), max(0, a.Remaining)
		switch {
		case wait < left-left/4 || wait > left:
			t.Fatalf("%+v waits for %v", a, wait)
		case !a.Repeatable && wait != left:
			t.Fatalf("%+v cannot be sent again and waits for %v only", a, wait)
		case a.Repeatable && left-wait < min(a.AnswerTime, left/4):
			t.Fatalf("%+v keeps back %v for another attempt", a, left-wait)
		}
	})
}

// A value has stopped once nothing has come for a quarter of its time, and one that comes steadily never has.
func TestStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		since := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(10*time.Second)).Draw(t, "since"))
		silence := time.Duration(rapid.Int64Range(0, int64(since)).Draw(t, "silence"))
		if got := Stopped(silence, since); got != (silence >= since/4) {
			t.Fatalf("silent for %v of %v: stopped %t", silence, since, got)
		}
	})
}

// The beginning of a value is not kept back for the 2 s after which its request would be lost.
func TestMaxHoldLeavesTimeToWrite(t *testing.T) {
	if lost := 2 * time.Second; MaxHold > lost-100*time.Millisecond {
		t.Errorf("%v of %v", MaxHold, lost)
	}
}
