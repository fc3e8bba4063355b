package safety

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

func TestRepeat(t *testing.T) {
	ran := PriorAttempt{Done: true, Age: sec, SameScope: true}
	for _, c := range []struct {
		name   string
		effect Effect
		change func(e *PriorAttempt)
		want   Reason
	}{
		{"safe, in flight", Safe, func(e *PriorAttempt) { e.Done = false }, Allowed},
		{"safe, may have run", Safe, func(*PriorAttempt) {}, Allowed},
		{"unsafe, never ran", Unsafe, func(e *PriorAttempt) { e.NeverRan = true }, Allowed},
		{"unsafe, may have run", Unsafe, func(*PriorAttempt) {}, MayHaveRun},
		{"unsafe, in flight", Unsafe, func(e *PriorAttempt) { e.Done, e.NeverRan = false, true }, InFlight},
		{"keyed, within its window", Keyed, func(*PriorAttempt) {}, Allowed},
		{"keyed, in flight", Keyed, func(e *PriorAttempt) { e.Done = false }, InFlight},
		{"keyed, stalled past the window", Keyed, func(e *PriorAttempt) { e.Age = 2*sec - StallAllowance }, WindowExpired},
		{"keyed, at the end of its window", Keyed, func(e *PriorAttempt) { e.Age = 2*sec - StallAllowance - 1 }, Allowed},
		{"keyed, another scope", Keyed, func(e *PriorAttempt) { e.SameScope = false }, OtherScope},
		{"keyed, never ran, past the window", Keyed, func(e *PriorAttempt) { e.NeverRan, e.Age = true, 9*sec }, Allowed},
	} {
		e := ran
		c.change(&e)
		if got := CheckRepeat(c.effect, 2*sec, e); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestSend(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(a *Attempt)
		want   Reason
	}{
		{"allowed", func(*Attempt) {}, Allowed},
		{"answered", func(a *Attempt) { a.Answered = true }, Answered},
		{"client disconnected", func(a *Attempt) { a.ClientGone = true }, ClientGone},
		{"server not accepting", func(a *Attempt) { a.ServerAccepts = false }, ServerUnavailable},
		{"no time remaining", func(a *Attempt) { a.Remaining = 0 }, DeadlineExceeded},
		{"timeout too long", func(a *Attempt) { a.Timeout = a.Remaining + StallAllowance + 1 }, TimeoutTooLong},
		{"timeout within the stall allowance", func(a *Attempt) { a.Timeout = a.Remaining + StallAllowance }, Allowed},
	} {
		a := Attempt{Remaining: 100 * ms, Timeout: 90 * ms, ServerAccepts: true}
		c.change(&a)
		if got := CheckSend(a); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestCloseAndStart(t *testing.T) {
	for c, want := range map[Connection]Reason{
		{}: Allowed, {Unanswered: 1}: Unanswered, {Unanswered: 1, Broken: true}: Unanswered, {Unread: true}: UnreadInput, {Unread: true, Broken: true}: Allowed,
	} {
		if got := CheckClose(c); got != want {
			t.Errorf("%+v: %v, want %v", c, got, want)
		}
	}
	for r, want := range map[Request]Reason{
		{Remaining: 1}: Allowed, {Remaining: 1, DuplicateID: true}: DuplicateID, {Remaining: 1, AtCapacity: true}: AtCapacity, {}: DeadlineExceeded, {Remaining: -ms}: DeadlineExceeded,
	} {
		if got := CheckStart(r); got != want {
			t.Errorf("%+v: %v, want %v", r, got, want)
		}
	}
}

// For arbitrary facts, a request that may have run is repeated only where the rules allow it. Every reason has a distinct name.
func TestNothingRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effect := Effect(rapid.IntRange(int(Safe), int(Unsafe)).Draw(t, "effect"))
		window := time.Duration(rapid.IntRange(0, 3000).Draw(t, "window")) * ms
		e := PriorAttempt{Done: rapid.Bool().Draw(t, "done"), NeverRan: rapid.Bool().Draw(t, "never"),
			Age: time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * ms, SameScope: rapid.Bool().Draw(t, "group")}
		mayHaveRun := !e.Done || !e.NeverRan
		forgotten := e.Age+StallAllowance >= window || !e.SameScope
		if CheckRepeat(effect, window, e) == Allowed && mayHaveRun && (effect == Unsafe || effect == Keyed && (forgotten || !e.Done)) {
			t.Fatalf("effect %d, window %v: %+v may be repeated", effect, window, e)
		}
	})
	seen := map[string]bool{}
	for r := range NumReasons {
		if seen[r.String()] || r.String() == "" {
			t.Errorf("reason %d is named %q", r, r)
		}
		seen[r.String()] = true
	}
}
