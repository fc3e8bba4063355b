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
	ran := Earlier{Done: true, Age: sec, SameGroup: true}
	for _, c := range []struct {
		name   string
		effect Effect
		change func(e *Earlier)
		want   Reason
	}{
		{"safe, out", Safe, func(e *Earlier) { e.Done = false }, Allowed},
		{"safe, may have run", Safe, func(*Earlier) {}, Allowed},
		{"unsafe, never ran", Unsafe, func(e *Earlier) { e.NeverRan = true }, Allowed},
		{"unsafe, may have run", Unsafe, func(*Earlier) {}, MayHaveRun},
		{"unsafe, out", Unsafe, func(e *Earlier) { e.Done, e.NeverRan = false, true }, StillOut},
		{"keyed, in its window", Keyed, func(*Earlier) {}, Allowed},
		{"keyed, out", Keyed, func(e *Earlier) { e.Done = false }, StillOut},
		{"keyed, held up past the window", Keyed, func(e *Earlier) { e.Age = 2*sec - Slack }, WindowOver},
		{"keyed, just in time", Keyed, func(e *Earlier) { e.Age = 2*sec - Slack - 1 }, Allowed},
		{"keyed, another group", Keyed, func(e *Earlier) { e.SameGroup = false }, OtherGroup},
		{"keyed, never ran, past the window", Keyed, func(e *Earlier) { e.NeverRan, e.Age = true, 9*sec }, Allowed},
	} {
		e := ran
		c.change(&e)
		if got := Repeat(c.effect, 2*sec, e); got != c.want {
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
		{"as it should be", func(*Attempt) {}, Allowed},
		{"answered", func(a *Attempt) { a.Answered = true }, Answered},
		{"the client has gone", func(a *Attempt) { a.ClientGone = true }, ClientGone},
		{"the server leaves", func(a *Attempt) { a.ServerOpen = false }, ServerClosed},
		{"no time", func(a *Attempt) { a.Left = 0 }, TimeOver},
		{"told more than is left", func(a *Attempt) { a.Told = a.Left + Slack + 1 }, ToldTooMuch},
		{"told what is left, a hold-up ago", func(a *Attempt) { a.Told = a.Left + Slack }, Allowed},
	} {
		a := Attempt{Left: 100 * ms, Told: 90 * ms, ServerOpen: true}
		c.change(&a)
		if got := Send(a); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestCloseAndStart(t *testing.T) {
	for c, want := range map[Connection]Reason{
		{}: Allowed, {Unanswered: 1}: Unanswered, {Unanswered: 1, Broken: true}: Unanswered, {Unread: true}: Unread, {Unread: true, Broken: true}: Allowed,
	} {
		if got := Close(c); got != want {
			t.Errorf("%+v: %v, want %v", c, got, want)
		}
	}
	for r, want := range map[Request]Reason{
		{Left: 1}: Allowed, {Left: 1, SameID: true}: SameID, {Left: 1, Full: true}: Full, {}: TimeOver, {Left: -ms}: TimeOver,
	} {
		if got := Start(r); got != want {
			t.Errorf("%+v: %v, want %v", r, got, want)
		}
	}
}

// Whatever the facts, what may have run goes again only where the rules let it, and every reason has a name of its own.
func TestNothingRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effect := Effect(rapid.IntRange(int(Safe), int(Unsafe)).Draw(t, "effect"))
		window := time.Duration(rapid.IntRange(0, 3000).Draw(t, "window")) * ms
		e := Earlier{Done: rapid.Bool().Draw(t, "done"), NeverRan: rapid.Bool().Draw(t, "never"),
			Age: time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * ms, SameGroup: rapid.Bool().Draw(t, "group")}
		mayRun := !e.Done || !e.NeverRan
		forgotten := e.Age+Slack >= window || !e.SameGroup
		if Repeat(effect, window, e) == Allowed && mayRun && (effect == Unsafe || effect == Keyed && (forgotten || !e.Done)) {
			t.Fatalf("effect %d, window %v: %+v may go again", effect, window, e)
		}
	})
	seen := map[string]bool{}
	for r := range Reasons {
		if seen[r.String()] || r.String() == "" {
			t.Errorf("reason %d is called %q", r, r)
		}
		seen[r.String()] = true
	}
}
