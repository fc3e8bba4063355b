package policy

import "testing"

// Once an answer has started, the request is bound to its attempt: it gets no timeout and no retry, however slowly the client reads.
// The server's slot is released, and the reads that waited for the fetch go on.
func TestABegunAnswerBindsAndFreesTheServer(t *testing.T) {
	set := settings()
	set.Mode = Aside
	w := newFixture(t, set, 2)
	w.request("a", "read", "k")
	w.answer(w.last(), Miss, CacheMiss, ms)
	fetch := w.last()
	if fetch.server != "o" {
		t.Fatalf("a miss goes to %s", fetch.server)
	}
	w.request("b", "read", "k") // joins the fetch
	sends := len(w.sends)
	w.b.ResponseStarted(w.now, "a", fetch.n)
	w.b.ResponseStarted(w.now, "a", fetch.n) // a repeated event changes nothing
	if len(w.b.origin.inFlight) != 0 || w.b.outstanding < 0 {
		t.Errorf("%d in flight at the origin, %d at caches", len(w.b.origin.inFlight), w.b.outstanding)
	}
	if len(w.sends) != sends+1 || w.last().id != "b" {
		t.Error("the waiting read does not go on")
	}
	w.answer(w.last(), OK, CacheHit, ms)
	limit := w.b.origin.limit
	for range 40 {
		w.now += 100 * ms
		w.sweep()
	}
	if len(w.sends) != sends+1 || w.ended["a"] != "" || w.cancels["a"] != 0 || w.b.origin.limit < limit {
		t.Errorf("during the answer: %d sends, ended %q, %d cancelled, limit %v", len(w.sends)-sends, w.ended["a"], w.cancels["a"], w.b.origin.limit)
	}
	w.b.Result(w.now, Result{ID: "a", N: fetch.n, Server: "o", Outcome: OK, Final: true})
	if w.b.outstanding != 0 || len(w.b.open) != 0 || w.b.origin.limit < limit {
		t.Errorf("at its end: %d in flight, %d open, limit %v", w.b.outstanding, len(w.b.open), w.b.origin.limit)
	}
}

// A started answer that breaks off leaves its request open: it is sent to the next server, and refused once no server is left.
func TestABegunAnswerThatBreaksOffIsSentAgain(t *testing.T) {
	set := settings()
	set.Mode = Through
	w := newFixture(t, set, 2)
	w.request("a", "read", "k")
	for attempt := range 2 {
		if len(w.sends) != attempt+1 {
			t.Fatalf("%d attempts, want %d", len(w.sends), attempt+1)
		}
		send := w.last()
		w.b.ResponseStarted(w.now, "a", send.n)
		w.now += 10 * ms
		w.b.Result(w.now, Result{ID: "a", N: send.n, Server: send.server, Outcome: Reset})
	}
	if len(w.sends) != 2 || w.sends[0].server == w.sends[1].server || w.ended["a"] == "" || len(w.b.open) != 0 {
		t.Errorf("%d attempts, ended %q, %d open", len(w.sends), w.ended["a"], len(w.b.open))
	}
}
