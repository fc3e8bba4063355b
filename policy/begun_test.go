package policy

import "testing"

// Once an answer has begun to flow the request is bound to it: no time-out, no further try, however long its client takes;
// the server's room is free, and the reads that waited for the fetch go on.
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
	w.b.ResponseStarted(w.now, "a", fetch.n) // told twice it changes nothing
	if len(w.b.origin.inFlight) != 0 || w.b.outstanding < 0 {
		t.Errorf("%d out at the origin, %d at caches", len(w.b.origin.inFlight), w.b.outstanding)
	}
	if len(w.sends) != sends+1 || w.last().id != "b" {
		t.Error("the read that waited does not go on")
	}
	w.answer(w.last(), OK, CacheHit, ms)
	limit := w.b.origin.limit
	for range 40 {
		w.now += 100 * ms
		w.sweep()
	}
	if len(w.sends) != sends+1 || w.ended["a"] != "" || w.cancels["a"] != 0 || w.b.origin.limit < limit {
		t.Errorf("while it flows: %d sends, ended %q, %d called off, limit %v", len(w.sends)-sends, w.ended["a"], w.cancels["a"], w.b.origin.limit)
	}
	w.b.Result(w.now, Result{ID: "a", N: fetch.n, Server: "o", Outcome: OK, Final: true})
	if w.b.outstanding != 0 || len(w.b.open) != 0 || w.b.origin.limit < limit {
		t.Errorf("at its end: %d out, %d open, limit %v", w.b.outstanding, len(w.b.open), w.b.origin.limit)
	}
}
