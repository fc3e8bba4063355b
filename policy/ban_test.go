package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A ban stays in force whatever the list says of the server, including a restart under the same id. One command lifts it.
func TestABanOutlastsTheList(t *testing.T) {
	w := newFixture(t, settings(), 4)
	top := ranking(w, "k")[0]
	entry := w.b.servers[top].Server
	w.b.Ban(w.now, top, true)
	w.b.Ban(w.now+1, top, true)
	update := func(kind ListKind, change func(s *Server)) {
		s := entry
		change(&s)
		w.b.Members(w.now, kind, []Server{s})
	}
	check := func(when string) {
		t.Helper()
		for i := range 40 {
			w.request(when+string(rune('a'+i)), "read", "k")
			if w.last().server == top {
				t.Fatalf("%s: sent to %s, which is banned", when, top)
			}
		}
	}
	check("at once")
	update(ListChanges, func(*Server) {})
	check("listed again")
	update(ListChanges, func(s *Server) { s.State = Gone })
	update(ListChanges, func(s *Server) { s.Started = w.now })
	check("restarted")
	update(ListChanges, func(s *Server) { s.State = Draining })
	if listed, avoided := w.b.CacheCounts(w.now); listed != 4 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
	update(ListChanges, func(*Server) {})
	w.b.Ban(w.now+2, top, false)
	if got := ranking(w, "k")[0]; !w.b.servers[top].open() || len(ranking(w, "k")) != 4 {
		t.Errorf("not used after the ban was lifted; %s is first", got)
	}
}

// Requests held for a server that is banned or drains are rerouted at once, not when there is room again.
func TestWhatIsHeldForABannedServerMovesOn(t *testing.T) {
	for name, closeServer := range map[string]func(w *fixture, id string){
		"banned": func(w *fixture, id string) { w.b.Ban(w.now, id, true) },
		"drains": func(w *fixture, id string) {
			s := w.b.servers[id].Server
			s.State = Draining
			w.b.Members(w.now, ListChanges, []Server{s})
		},
	} {
		w := newFixture(t, settings(), 2)
		w.noHotKeys = true
		for _, s := range w.b.servers {
			s.limit = 1
		}
		w.b.meanLatency = float64(ms)
		top := ranking(w, "k")[0]
		other := ranking(w, "k")[1]
		w.request("a", "write", "k")
		w.request("b", "write", "k")
		w.request("c", "write", "k") // both are full, so it is held
		r := w.b.open["c"]
		if r == nil || r.heldFor == nil {
			t.Fatalf("%s: nothing is held", name)
		}
		heldFor := r.heldFor.ID
		for _, s := range w.b.servers {
			if s.ID != heldFor {
				s.limit = 4 // room has become available
			}
		}
		closeServer(w, heldFor)
		if got := w.last(); got.id != "c" || got.server == heldFor || (got.server != top && got.server != other) {
			t.Errorf("%s: last sent %v, held for %s", name, got, heldFor)
		}
		if len(w.b.servers[heldFor].queue) > 0 {
			t.Errorf("%s: still queued", name)
		}
	}
}

// While the origin is banned, requests that need it are refused at once. They go there again after the ban is lifted.
func TestTheOriginBanned(t *testing.T) {
	set := settings()
	set.Mode = Aside
	w := newFixture(t, set, 3)
	w.b.Ban(w.now, "o", true)
	w.request("r", "read", "k")
	w.answer(w.last(), Miss, CacheMiss, ms)
	for range 3 { // the other caches may hold the key
		if w.ended["r"] == "" && len(w.sends) > 0 {
			w.answer(w.last(), Miss, CacheMiss, ms)
		}
	}
	w.request("p", "write", "k2")
	if w.ended["r"] != "refused" || w.ended["p"] != "refused" {
		t.Errorf("a miss ended %q, a write %q", w.ended["r"], w.ended["p"])
	}
	w.b.Ban(w.now, "o", false)
	w.request("p2", "write", "k2")
	if w.last().server != "o" {
		t.Error("the origin is not used after the ban was lifted")
	}
	for _, s := range slices.Clone(w.b.caches) {
		w.b.Ban(w.now, s.ID, true)
	}
	w.request("r2", "read", "k3")
	if w.ended["r2"] != "refused" {
		t.Errorf("with every cache banned a read ended %q", w.ended["r2"])
	}
}

// When a ban is lifted the server is cold and its failures are cleared. It warms up from its start.
func TestBackFromABanItIsCold(t *testing.T) {
	w := newFixture(t, settings(), 4)
	s := w.b.servers["c01"]
	s.failures, s.skipUntil, s.limit = failuresToSkip, w.now+time.Hour, 0.1
	w.b.Ban(w.now, "c01", true)
	w.now += time.Second
	w.b.Ban(w.now, "c01", false)
	if s.failures != 0 || s.limit < initialLimit || w.b.warmth(s) != w.b.set.ColdFrom {
		t.Errorf("after the ban: %d failures, limit %v, warmth %v", s.failures, s.limit, w.b.warmth(s))
	}
	e := s.Server // the list reports the restart, which came before the ban was lifted
	e.Started = w.now - 500*ms
	w.b.Members(w.now, ListChanges, []Server{e})
	if got := w.b.warmth(s); got <= w.b.set.ColdFrom || got > 0.3 {
		t.Errorf("warmth %v half a second after the start", got)
	}
	w.now += 2 * w.b.set.WarmUp
	w.b.Members(w.now, ListChanges, nil)
	if w.b.warmth(s) != 1 {
		t.Errorf("warmth %v after the warm-up", w.b.warmth(s))
	}
	for i := range 2 * maxLifted { // overrides are removed by number, not age: a process that was suspended may report older ones
		id := fmt.Sprint("gone", i)
		w.b.Ban(w.now, id, true)
		w.b.Ban(w.now, id, false)
	}
	if len(w.b.overrides) != maxLifted {
		t.Errorf("%d overrides are kept", len(w.b.overrides))
	}
	w.b.Ban(w.now, "c02", false) // lifting a ban that does not exist makes no server cold
	if w.b.warmth(w.b.servers["c02"]) != 1 {
		t.Error("cold without a ban")
	}
}

// Of the overrides set by two processes of a node, the latest one is in force, whatever the order of their arrival.
func TestTheLatestOverrideIsInForce(t *testing.T) {
	ban := Override{ID: "c01", Banned: true, At: 10, Since: 10}
	lift := Override{ID: "c01", At: 20} // set by a process without knowledge of the ban
	again := Override{ID: "c01", Banned: true, At: 30, Since: 30}
	for _, c := range []struct {
		overrides []Override
		banned    bool
	}{
		{[]Override{ban, lift}, false}, {[]Override{lift, ban}, false}, {[]Override{again, ban, lift}, true}, {[]Override{lift, again, ban}, true},
	} {
		w := newFixture(t, settings(), 3)
		w.now = 40
		for _, h := range c.overrides {
			w.b.Override(w.now, h)
		}
		if s := w.b.servers["c01"]; s.banned != c.banned || len(w.b.Overrides()) != 1 {
			t.Errorf("%v: banned %v", c.overrides, s.banned)
		}
	}
	w := newFixture(t, settings(), 3)
	w.now = 40
	w.b.Override(w.now, ban)
	w.b.Override(w.now, lift)
	if w.b.servers["c01"].warmingSince != w.now { // when this process was notified, since the other process's clock means nothing here
		t.Errorf("warming since %d: the lifted ban is not recorded", w.b.servers["c01"].warmingSince)
	}
}
