package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A view lowers weights and never brings back a server that the list or the node itself excludes; an empty view undoes it.
func TestAViewLowersWeights(t *testing.T) {
	w := newFixture(t, settings(), 4)
	tops := func() map[string]int {
		n := map[string]int{}
		for i := range 2000 {
			n[w.b.rank(fmt.Sprint("k", i))[0].ID]++
		}
		return n
	}
	plain := tops()
	id := w.b.caches[0].ID
	v := View{Servers: []ServerView{{ID: id, Factor: 0.25}, {ID: "no such", Factor: 1}}}
	w.b.View(w.now, v)
	cut := tops()
	if got, want := float64(cut[id])/2000, 0.25/3.25; math.Abs(got-want) > 0.03 {
		t.Errorf("%.3f of the keys, want %.3f", got, want)
	}
	for other, n := range plain { // keys move away from that server only
		if other != id && cut[other] < n {
			t.Errorf("%s lost keys: %d of %d left", other, cut[other], n)
		}
	}
	s := w.b.servers[id].Server
	s.State = Draining
	w.b.Members(w.now, ListChanges, []Server{s})
	w.b.View(w.now, View{Servers: []ServerView{{ID: id, Factor: 1}}})
	if n := tops()[id]; n > 0 {
		t.Errorf("a view brings a draining server back: %d keys", n)
	}
	s.State = Ready
	w.b.Members(w.now, ListChanges, []Server{s})
	w.b.View(w.now, View{})
	for other, n := range tops() {
		if n != plain[other] {
			t.Errorf("%s has %d keys without a view, had %d", other, n, plain[other])
		}
	}
}

// A cold server gets no more than the view's limit for this node, however low, and the node's own limit still applies.
func TestAViewBoundsAColdServer(t *testing.T) {
	run := func(allow float64) (cold int) {
		w := newFixture(t, settings(), 4)
		for _, s := range w.b.servers {
			s.limit = 100
		}
		id := w.b.caches[0].ID
		w.restart(id)
		w.b.View(w.now, View{Servers: []ServerView{{ID: id, Factor: 1, Allow: allow}}})
		for i := range 2000 {
			w.request(fmt.Sprint("r", i), "read", fmt.Sprint("k", i))
			if w.last().server == id {
				cold++
			}
			w.answer(w.last(), OK, CacheHit, ms)
			w.now += ms
		}
		return cold // in four seconds
	}
	own := run(0)
	if own < 50 {
		t.Fatalf("%d without a view: the limit has no effect here", own)
	}
	for _, c := range []struct {
		allow float64
		most  int
	}{{0.001, 2}, {0.25, 4}, {2, 14}, {1e6, own + own/5}} {
		if got := run(c.allow); got > c.most {
			t.Errorf("%v a second: %d sent, at most %d", c.allow, got, c.most)
		}
	}
}

// A view thins out the reads that go to the origin, evenly. Writes are unaffected, and the other reads are refused at once.
func TestAViewThinsTheOriginsReads(t *testing.T) {
	set := settings()
	set.Mode = Aside
	for _, part := range []float64{0, 0.25, 0.6, 1} {
		w := newFixture(t, set, 3)
		for _, s := range w.b.servers {
			s.limit = 1000
		}
		w.b.View(w.now, View{Admit: part})
		at, refused := map[string]int{}, 0
		for i := range 1000 {
			id, class := fmt.Sprint("r", i), []string{"read", "write"}[i%2]
			w.request(id, class, fmt.Sprint("k", i))
			if s := w.last(); class == "read" && s.id == id {
				w.answer(s, Miss, CacheMiss, 0)
			}
			switch s := w.last(); {
			case s.id == id && s.server == "o":
				at[class]++
				w.answer(s, OK, CacheUnreported, 0)
			case w.ended[id] == "refused":
				refused++
			}
			w.now += ms
		}
		if want := 500 * part; part > 0 && math.Abs(float64(at["read"])-want) > 50 || part == 0 && at["read"] != 500 || at["write"] != 500 {
			t.Errorf("%v: %d reads and %d writes of 500 each", part, at["read"], at["write"])
		}
		if at["read"]+refused != 500 {
			t.Errorf("%v: %d reads fetched and %d refused", part, at["read"], refused)
		}
	}
}

// A key that a view names as hot is spread over as many caches as can carry it, though this node has seen it only once.
func TestAViewsHotKeySpreads(t *testing.T) {
	w := newFixture(t, settings(), 6)
	for _, s := range w.b.servers {
		s.limit = 100
	}
	w.b.View(w.now, View{Hot: []Heat{{Key: Digest("hot"), Load: 2.5}}})
	seen := map[string]bool{}
	for i := range 60 {
		w.request(fmt.Sprint("r", i), "read", "hot")
		seen[w.last().server] = true
		w.answer(w.last(), OK, CacheHit, ms)
		w.forgetHotKeys()
		w.now += time.Second
	}
	if len(seen) != 3 {
		t.Errorf("at %d caches, want 3", len(seen))
	}
}
