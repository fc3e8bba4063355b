package policy

import (
	"testing"
	"time"
)

// skews are the offsets of another machine's or process's wall clock from that of the process under test.
var skews = []time.Duration{-time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour}

// An operator's command takes effect whatever the clock of the process that set the previous override.
func TestAnOverrideOfAnotherClockCanBeReplaced(t *testing.T) {
	for _, skew := range skews {
		w := newFixture(t, settings(), 4)
		w.now += 2 * time.Hour
		setAt := w.now + skew
		w.b.Override(w.now, Override{ID: "c01", Banned: true, At: setAt, Since: setAt})
		if !w.b.servers["c01"].banned {
			t.Fatalf("skew %v: the other process's ban is not in force", skew)
		}
		w.now += time.Second
		w.b.Ban(w.now, "c01", false)
		if s := w.b.servers["c01"]; s.banned || w.b.warmth(s) != w.b.set.ColdFrom {
			t.Errorf("skew %v: after the ban was lifted banned %t, warmth %v", skew, s.banned, w.b.warmth(s))
		}
		w.b.Ban(w.now, "c01", true)
		if !w.b.servers["c01"].banned {
			t.Errorf("skew %v: banned again, it is open", skew)
		}
	}
}

// When another process of the node lifts a ban, the server is cold from then on for one warm-up, whatever that process's clock
// says.
func TestABanLiftedByAnotherClockMakesCold(t *testing.T) {
	for _, skew := range skews {
		w := newFixture(t, settings(), 4)
		w.now += 2 * time.Hour
		setAt := w.now + skew
		w.b.Override(w.now, Override{ID: "c01", At: setAt, Since: setAt - time.Second, Back: setAt})
		s := w.b.servers["c01"]
		if got := w.b.warmth(s); got != w.b.set.ColdFrom {
			t.Errorf("skew %v: warmth %v when the ban is lifted", skew, got)
		}
		w.now += w.b.set.WarmUp + time.Second
		w.b.Members(w.now, ListChanges, nil)
		if got := w.b.warmth(s); got != 1 {
			t.Errorf("skew %v: warmth %v after the warm-up", skew, got)
		}
	}
}

// A server that joins or restarts while the list is watched is cold from then on, and warm after its warm-up, whatever the clock by
// which the list reports its start.
func TestAStartSeenWhileWatchedGoesByTheOwnClock(t *testing.T) {
	for _, skew := range skews {
		for _, id := range []string{"c01", "new"} {
			w := newFixture(t, settings(), 4)
			w.b.Members(w.now, ListChanges, nil) // from here on the list is watched
			w.now += time.Minute
			e := Server{ID: id, Zone: "z1", Cell: 1, Weight: 1, Started: w.now + skew}
			w.b.Members(w.now, ListChanges, []Server{e})
			s := w.b.servers[id]
			if got := w.b.warmth(s); got != w.b.set.ColdFrom {
				t.Errorf("%s, skew %v: warmth %v as it starts", id, skew, got)
			}
			w.now += w.b.set.WarmUp / 2
			e.Weight = 2 // an update of another field is no start
			w.b.Members(w.now, ListChanges, []Server{e})
			if got := w.b.warmth(s); got <= w.b.set.ColdFrom || got >= 1 {
				t.Errorf("%s, skew %v: warmth %v half way", id, skew, got)
			}
			w.now += w.b.set.WarmUp
			w.b.Members(w.now, ListChanges, nil)
			if got := w.b.warmth(s); got != 1 {
				t.Errorf("%s, skew %v: warmth %v after the warm-up", id, skew, got)
			}
		}
	}
}

// A start reported by the first list is taken to be no later than that list, and a server that leaves and returns with the same
// start has not restarted.
func TestAStartNotSeenIsBoundedByTheFirstList(t *testing.T) {
	w := newFixture(t, settings(), 4)
	e := Server{ID: "c01", Zone: "z1", Cell: 1, Weight: 1, Started: w.now + time.Hour}
	w.b.Members(w.now, ListChanges, []Server{e})
	w.now += w.b.set.WarmUp + time.Second
	w.b.Members(w.now, ListChanges, nil)
	if got := w.b.warmth(w.b.servers["c01"]); got != 1 {
		t.Errorf("warmth %v after the warm-up of a start an hour ahead", got)
	}
	gone := e
	gone.State = Gone
	w.b.Members(w.now, ListChanges, []Server{gone})
	w.now += time.Second
	w.b.Members(w.now, ListChanges, []Server{e})
	if got := w.b.warmth(w.b.servers["c01"]); got != 1 {
		t.Errorf("warmth %v after it left the list and returned with the same start", got)
	}
}
