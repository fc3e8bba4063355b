package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A view lowers weights and never brings back what the list or the node itself keeps off; an empty one undoes it.
func TestAViewLowersWeights(t *testing.T) {
	w := start(t, settings(), 4)
	tops := func() map[string]int {
		n := map[string]int{}
		for i := range 2000 {
			n[w.b.rank(fmt.Sprint("k", i))[0].ID]++
		}
		return n
	}
	plain := tops()
	id := w.b.caches[0].ID
	v := View{Servers: []Share{{ID: id, Factor: 0.25}, {ID: "no such", Factor: 1}}}
	w.b.View(w.now, v)
	cut := tops()
	if got, want := float64(cut[id])/2000, 0.25/3.25; math.Abs(got-want) > 0.03 {
		t.Errorf("%.3f of the keys, want %.3f", got, want)
	}
	for other, n := range plain { // keys move off the server alone
		if other != id && cut[other] < n {
			t.Errorf("%s lost keys: %d of %d left", other, cut[other], n)
		}
	}
	s := w.b.servers[id].Server
	s.State = Draining
	w.b.Members(w.now, ListChanges, []Server{s})
	w.b.View(w.now, View{Servers: []Share{{ID: id, Factor: 1}}})
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

// What a view leaves to this node for a server is not exceeded, however little it is; what is beyond is answered otherwise.
func TestAViewBoundsWhatIsSent(t *testing.T) {
	for _, perSecond := range []float64{0.001, 0.5, 4, 20} {
		set := settings()
		set.Mode = Aside
		w := start(t, set, 3)
		for _, s := range w.b.servers {
			s.limit = 100
		}
		w.b.View(w.now, View{Origin: perSecond})
		at, answered := w.now, 0
		for i := range 1000 {
			w.request(fmt.Sprint("r", i), "write", fmt.Sprint("k", i))
			w.sweep()
			for ; answered < len(w.sends); answered++ {
				w.answer(w.sends[answered], OK, NoNote, ms)
			}
			w.now += 20 * ms
		}
		n := 0
		for _, s := range w.sends {
			if s.server == w.b.origin.ID {
				n++
			}
		}
		most := perSecond*((w.now-at).Seconds()+w.b.set.FallWindow.Seconds()) + 1
		if float64(n) > most || float64(n) < most/2-2 {
			t.Errorf("%v a second: %d sent, at most %.1f", perSecond, n, most)
		}
		if open := len(w.b.open); open > 100 {
			t.Errorf("%d are kept waiting", open)
		}
	}
}

// A key that planners name as hot starts at as many caches as can carry it, though this node has seen it once.
func TestAViewsHotKeySpreads(t *testing.T) {
	w := start(t, settings(), 6)
	for _, s := range w.b.servers {
		s.limit = 100
	}
	w.b.View(w.now, View{Hot: []Heat{{Key: Digest("hot"), Load: 2.5}}})
	seen := map[string]bool{}
	for i := range 60 {
		w.request(fmt.Sprint("r", i), "read", "hot")
		seen[w.last().server] = true
		w.answer(w.last(), OK, NoteHit, ms)
		w.cool()
		w.now += time.Second
	}
	if len(seen) != 3 {
		t.Errorf("at %d caches, want 3", len(seen))
	}
}
