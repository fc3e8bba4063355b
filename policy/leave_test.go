package policy

import (
	"testing"
	"time"
)

// Clients may leave while their request waits in the balancer. Nothing is sent for it from then on, whatever ends or recovers, its
// slot is released, and the reads that waited for its fetch are served. This holds with and without cancellation.
func TestNothingIsSentForWhoHasLeft(t *testing.T) {
	left := false
	leave := func(w *fixture) {
		left = true
		w.b.Abandoned(w.now, "gone")
	}
	for _, cancel := range []bool{false, true} {
		for name, play := range map[string]func(w *fixture){
			"held for room": func(w *fixture) {
				s := w.fill("k")
				w.request("gone", "read", "k")
				if w.b.open["gone"].heldFor != s {
					t.Fatalf("%s is not held for %s", "gone", s.ID)
				}
				leave(w)
				if len(s.queue) != 0 {
					t.Error("its place in the queue is taken")
				}
				w.answer(w.sends[0], OK, CacheHit, 5*ms) // now there is room
				w.b.Timer(w.now, "sweep")
			},
			"held for a server that leaves": func(w *fixture) {
				s := w.fill("k")
				w.request("gone", "read", "k")
				leave(w)
				drained := s.Server
				drained.State = Draining
				w.b.Members(w.now, ListChanges, []Server{drained})
			},
			"for another's fetch": func(w *fixture) {
				w.request("lead", "read", "k")
				w.answer(w.last(), Miss, CacheMiss, ms)
				w.request("gone", "read", "k")
				leave(w)
				w.answer(w.last(), OK, CacheMiss, 10*ms)
			},
			"its attempt fails behind it": func(w *fixture) {
				w.request("gone", "read", "k")
				first := w.last()
				leave(w)
				w.answer(first, ConnectFailed, CacheUnreported, 5*ms)
				if w.b.open["gone"] != nil {
					t.Error("it is still indexed")
				}
			},
			"its attempt misses behind it": func(w *fixture) {
				w.request("gone", "read", "k")
				first := w.last()
				leave(w)
				w.answer(first, Miss, CacheMiss, 5*ms)
			},
			"held for the origin": func(w *fixture) {
				out := heldForOrigin(t, w)
				leave(w)
				w.answer(out, OK, CacheMiss, 5*ms)
			},
			"held for the origin, others waiting on it": func(w *fixture) {
				out := heldForOrigin(t, w)
				w.request("w1", "read", "k")
				leave(w)
				w.answer(out, OK, CacheMiss, 5*ms)
				if s := w.last(); s.id != "w1" {
					t.Errorf("%v, want w1 sent", s)
				}
			},
			"held until a cache reports its load": func(w *fixture) {
				w.b.set.MayProbe = true
				w.b.lateAnswers.add(w.now, skipDuration) // answers are late
				w.request("gone", "read", "k")
				s := w.b.open["gone"].heldFor
				if len(w.probed) != 1 || s == nil || !s.probing {
					t.Fatalf("probed %v, held for %v", w.probed, s)
				}
				leave(w)
				w.b.Probed(w.now+ms, w.probed[0], true, Report{})
				if len(s.queue) != 0 {
					t.Error("its place in the queue is taken")
				}
			},
			"its write half come": func(w *fixture) {
				s := w.fill("k")
				w.b.Request(w.now, Request{ID: "gone", Class: "read", Key: "k", Remaining: time.Minute, BodyPending: true})
				leave(w)
				w.b.BodyReceived(w.now, "gone", time.Second)
				if len(s.queue) != 0 {
					t.Error("its place in the queue is taken")
				}
				w.answer(w.sends[0], OK, CacheHit, 5*ms)
			},
			"one of its two attempts fails behind it": func(w *fixture) {
				w.request("gone", "read", "k")
				first := w.last()
				w.answer(first, TimedOut, CacheUnreported, 200*ms)
				if w.attempts["gone"] != 2 {
					t.Fatalf("%d attempts", w.attempts["gone"])
				}
				leave(w)
				w.answer(w.last(), Reset, CacheUnreported, 5*ms)
			},
			"as the leader of a fetch": func(w *fixture) {
				w.request("gone", "read", "k")
				w.answer(w.last(), Miss, CacheMiss, ms)
				fetch := w.last()
				w.request("w1", "read", "k")
				w.request("w2", "read", "k")
				leave(w)
				w.answer(fetch, Cancelled, CacheUnreported, 5*ms)
				if s := w.last(); s.id != "w1" || s.server != "o" {
					t.Errorf("the fetch passed to %v", s)
				}
				w.answer(w.last(), OK, CacheMiss, 5*ms)
				if s := w.last(); s.id != "w2" {
					t.Errorf("%v, want w2 at its cache", s)
				}
			},
		} {
			t.Run(name, func(t *testing.T) {
				set := settings()
				set.Mode, set.MayCancel = Aside, cancel
				w := newFixture(t, set, 4)
				w.noHotKeys = true
				left = false
				w.onSend = func(id, server string) {
					if left && id == "gone" {
						t.Errorf("sent to %s after its client had left", server)
					}
				}
				play(w)
				for range 400 { // all due timers expire
					w.now += 5 * ms
					w.b.Timer(w.now, "sweep")
				}
				if r := w.b.open["gone"]; r != nil && !r.ended || w.ended["gone"] != "" {
					t.Errorf("it is still open, or answered %q", w.ended["gone"])
				}
			})
		}
	}
}

// fill takes up the limits of all caches, so that the next request for the key is held for the server returned, its first one.
func (w *fixture) fill(key string) *server {
	s := w.b.rank(key)[0]
	for _, x := range w.b.caches {
		x.limit = 1
	}
	w.b.meanLatency = float64(ms)
	for i := range 4 { // each cache has one attempt in flight, for a key of its own
		x := w.b.caches[i]
		k := ""
		for j := 0; w.b.rank(k)[0] != x || k == ""; j++ {
			k = "fill-" + string(rune('a'+i)) + string(rune('a'+j%26)) + string(rune('a'+j/26))
		}
		w.request("fill"+string(rune('0'+i)), "read", k)
	}
	return s
}

// heldForOrigin makes the request "gone" wait for room at the origin behind an attempt, which it returns.
func heldForOrigin(t *testing.T, w *fixture) sentAttempt {
	t.Helper()
	w.b.origin.limit = 1
	w.request("lead", "read", "other")
	w.answer(w.last(), Miss, CacheMiss, ms)
	out := w.last()
	w.request("gone", "read", "k")
	w.answer(w.last(), Miss, CacheMiss, ms)
	if w.b.open["gone"].heldFor != w.b.origin {
		t.Fatal("it is not held for the origin")
	}
	return out
}
