package follow

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lapisshelf/decide/plan"
	"lapisshelf/policy"
)

func listed(n int) (list []policy.Server) {
	for i := range n {
		list = append(list, policy.Server{ID: fmt.Sprintf("c%d", i), Weight: 1})
	}
	return list
}

// state as it is told, without grants.
type whole struct {
	Factors map[string]float64
	Admit   float64
	Hot     []policy.Heat
	Tenants []policy.Use
}

func (w whole) equal(o whole) bool {
	return maps.Equal(w.Factors, o.Factors) && w.Admit == o.Admit && slices.Equal(w.Hot, o.Hot) && slices.Equal(w.Tenants, o.Tenants)
}

func wholeOf(v policy.View) whole {
	w := whole{Factors: map[string]float64{}, Admit: v.Admit, Hot: v.Hot, Tenants: v.Tenants}
	for _, s := range v.Servers {
		if s.Factor != 1 {
			w.Factors[s.ID] = s.Factor
		}
	}
	return w
}

// teller is a planner's process, and what it believes that nodes hold.
type teller struct {
	*plan.Planner
	id      string
	history uint64
	holds   map[int]plan.Hold
}

// talk is planners and nodes between which anything may happen to messages.
type talk struct {
	now     time.Duration
	tellers []*teller
	nodes   []*Follower
	seq     uint64
	truths  map[string]whole // by planner, history and revision
	digests []told
	changes []telling
}

type told struct {
	node, teller int
	hold         plan.Hold
}

type telling struct {
	node int
	c    plan.Change
}

func (w *talk) start(i int, history uint64) {
	id := string(rune('a' + i))
	w.tellers[i] = &teller{Planner: plan.New(plan.Config{ID: id, History: history}), id: id, history: history, holds: map[int]plan.Hold{}}
	w.tellers[i].Roster(w.now, listed(6))
	w.make(i)
}

// make has a planner look, and notes what it tells from then on.
func (w *talk) make(i int) {
	p := w.tellers[i]
	p.Make(w.now)
	w.truths[fmt.Sprint(p.id, p.history, "/", p.Revision())] = wholeOf(p.View(w.now, w.now, "nobody").View)
}

func (w *talk) change(i, node int) telling {
	c, _ := w.tellers[i].Change(w.now, w.tellers[i].holds[node])
	return telling{node, c}
}

func (w *talk) deliver(t *rapid.T, m telling) Reason {
	f := w.nodes[m.node]
	why, _ := f.TakeChange(w.now, m.c, ready(6))
	for id, s := range f.states { // followed or not
		for server, x := range s.factors {
			if x == 1 {
				t.Fatalf("%s is kept, of which nothing is told", server)
			}
		}
		want, known := w.truths[fmt.Sprint(id, s.history, "/", s.revision)]
		if got := wholeOf(s.view(nil)); !known || !got.equal(want) {
			t.Fatalf("node %d holds revision %d of %s's history %d as %+v, it is %+v", m.node, s.revision, id, s.history, got, want)
		}
	}
	return why
}

// A state rebuilt from changes is the whole one of its revision, whatever is lost, doubled, late or out of order, and whoever
// restarts; and one digest and one change that go through after the last event leave a node with what is so.
// Guards against a factor that stands though its planner has given it up.
func TestWhatChangesLeadTo(t *testing.T) {
	seen, parts := map[Reason]int{}, 0
	rapid.Check(t, func(r *rapid.T) {
		w := &talk{now: 100 * sec, tellers: make([]*teller, 2), truths: map[string]whole{}}
		history := uint64(0)
		for i := range w.tellers {
			history++
			w.start(i, history)
		}
		w.nodes = []*Follower{New(Config{}), New(Config{})}
		for range rapid.IntRange(60, 300).Draw(r, "steps") {
			w.now += time.Duration(rapid.IntRange(1, 700).Draw(r, "ms")) * time.Millisecond
			i, node := rapid.IntRange(0, 1).Draw(r, "planner"), rapid.IntRange(0, 1).Draw(r, "node")
			p := w.tellers[i]
			switch rapid.IntRange(0, 9).Draw(r, "what") {
			case 0, 1: // factors and the origin's part change
				snap := plan.Snapshot{Clock: w.now, Admit: rapid.SampledFrom([]float64{1, 0.8, 0.64}).Draw(r, "admit"), Factors: map[string]float64{}}
				for range rapid.IntRange(1, 3).Draw(r, "servers") {
					snap.Factors[fmt.Sprintf("c%d", rapid.IntRange(0, 5).Draw(r, "server"))] = rapid.SampledFrom([]float64{0.5, 0.75, 1, 1}).Draw(r, "factor")
				}
				p.Restore(w.now, sec, snap)
				w.make(i)
			case 2: // keys and tenants too
				w.seq++
				p.Planner.Digest(w.now, plan.Digest{From: "x", Seq: w.seq, Span: sec, Asked: 300, Hot: []plan.Heat{{Key: uint32(rapid.IntRange(1, 3).Draw(r, "key")), Asked: 200}},
					Tenants: []plan.Use{{Tenant: rapid.SampledFrom([]string{"t", "u"}).Draw(r, "tenant"), Asked: 100}}})
				w.make(i)
			case 3: // servers come and go
				p.Roster(w.now, listed(rapid.IntRange(4, 6).Draw(r, "count")))
				w.make(i)
			case 4, 5:
				w.digests = append(w.digests, told{node, i, w.nodes[node].Hold(p.id)})
			case 6, 7:
				w.changes = append(w.changes, w.change(i, node))
			case 8: // a new life counts anew, from the same numbers
				history++
				w.start(i, history)
			case 9:
				w.nodes[node] = New(Config{})
			}
			for range rapid.IntRange(0, 3).Draw(r, "arrive") { // in any order, and maybe again
				if n := len(w.digests); n > 0 {
					at := rapid.IntRange(0, n-1).Draw(r, "digest")
					d := w.digests[at]
					w.tellers[d.teller].holds[d.node] = d.hold
					if rapid.IntRange(0, 3).Draw(r, "again") > 0 {
						w.digests = slices.Delete(w.digests, at, at+1)
					}
				}
				if n := len(w.changes); n > 0 {
					at := rapid.IntRange(0, n-1).Draw(r, "change")
					m := w.changes[at]
					why := w.deliver(r, m)
					seen[why]++
					if why == Taken && m.c.Base > 0 && m.c.Base < m.c.Revision {
						parts++
					}
					if rapid.IntRange(0, 3).Draw(r, "again") > 0 {
						w.changes = slices.Delete(w.changes, at, at+1)
					}
				}
			}
		}
		// What goes through now, in either order of planners.
		for _, i := range rapid.Permutation([]int{0, 1}).Draw(r, "order") {
			p := w.tellers[i]
			for node, f := range w.nodes {
				w.now += time.Millisecond
				p.holds[node] = f.Hold(p.id)
				m := w.change(i, node)
				w.deliver(r, m)
				s, want := f.states[p.id], wholeOf(p.View(w.now, w.now, "nobody").View)
				if s == nil || !wholeOf(s.view(nil)).equal(want) {
					r.Fatalf("after an exchange node %d holds %+v of %s, it is %+v", node, s, p.id, want)
				}
				if held, _ := f.Held(); held != nil && held.Planner == p.id {
					if got := wholeOf(held.View); !got.equal(want) {
						r.Fatalf("after an exchange node %d acts on %+v, it is %+v", node, got, want)
					}
				}
			}
		}
	})
	t.Logf("%v, %d of them brought a state forward", seen, parts)
	if seen[Doubt] == 0 || seen[Late] == 0 || seen[Another] == 0 || parts == 0 {
		t.Error("that tests too little")
	}
}

// A change is taken only where it leads on from what is held; in doubt all is wanted, and what is in force stays until then.
func TestWhichChangeCounts(t *testing.T) {
	const h = 7
	whole := func(revision uint64, made time.Duration, factor float64) plan.Change {
		c := plan.Change{Epoch: 1, Planner: "a", Made: made, Valid: 3 * sec, History: h, Revision: revision, Count: 4, HotSet: true, TenantsSet: true,
			Servers: []policy.ServerView{{ID: "c1", Factor: factor}}}
		c.Sum = plan.Sum(map[string]float64{"c1": factor}, 0, nil, nil)
		return c
	}
	with := func(c plan.Change, more func(c *plan.Change)) plan.Change {
		more(&c)
		return c
	}
	part := func(base, revision uint64, made time.Duration, factor float64) plan.Change {
		return with(whole(revision, made, factor), func(c *plan.Change) { c.Base, c.HotSet, c.TenantsSet = base, false, false })
	}
	for name, x := range map[string]struct {
		change  plan.Change // behind a whole state of revision 5, made at 50 s, factor 0.5
		want    Reason
		factor  float64 // in force after it
		holding uint64
	}{
		"the next":                                      {part(5, 6, 51*sec, 0.75), Taken, 0.75, 6},
		"over some that were lost":                      {part(3, 9, 51*sec, 0.75), Taken, 0.75, 9},
		"nothing new":                                   {with(part(5, 5, 51*sec, 0.5), func(c *plan.Change) { c.Servers = nil }), Taken, 0.5, 5},
		"from one that was never held":                  {part(6, 7, 51*sec, 0.75), Doubt, 0.5, 0},
		"of another life":                               {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.History = 8 }), Doubt, 0.5, 0},
		"a whole one of another life":                   {with(whole(2, 51*sec, 0.75), func(c *plan.Change) { c.History = 8 }), Taken, 0.75, 2},
		"back, by a life that counts as the one before": {part(2, 3, 51*sec, 0.75), Doubt, 0.5, 0},
		"doubled, or out of order":                      {part(4, 6, 50*sec, 0.75), Late, 0.5, 5},
		"of another planner":                            {with(whole(1, 51*sec, 0.75), func(c *plan.Change) { c.Planner = "b" }), Another, 0.5, 5},
		"not what the planner has":                      {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Sum++ }), Doubt, 0.5, 0},
		"a server lost on the way":                      {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Servers = nil }), Doubt, 0.5, 0},
		"an older epoch":                                {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Epoch = 0 }), Epoch, 0.5, 6},
		"hardly any server known":                       {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Count = 1 }), Absurd, 0.5, 6},
		"no history":                                    {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.History = 0 }), Absurd, 0.5, 5},
		"back to before its base":                       {with(part(5, 4, 51*sec, 0.75), func(c *plan.Change) {}), Absurd, 0.5, 5},
		"no factor":                                     {part(5, 6, 51*sec, 0), Absurd, 0.5, 5},
		"whole, but parts left out":                     {with(whole(6, 51*sec, 0.75), func(c *plan.Change) { c.HotSet = false }), Absurd, 0.5, 5},
		"a grant of nothing":                            {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Grants, c.Answers = []plan.Grant{{ID: "c1"}}, 1 }), Absurd, 0.5, 5},
		"a grant that answers nothing":                  {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Grants = []plan.Grant{{ID: "c1", Rate: 1}} }), Absurd, 0.5, 5},
		"a grant that answers a digest to come":         {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Grants, c.Answers, c.After = []plan.Grant{{ID: "c1", Rate: 1}}, 1, -1 }), Absurd, 0.5, 5},
		"more than three quarters cut": {with(whole(6, 51*sec, 0.1), func(c *plan.Change) {
			factors := map[string]float64{}
			c.Servers = nil
			for i := range 4 {
				id := fmt.Sprintf("c%d", i)
				c.Servers, factors[id] = append(c.Servers, policy.ServerView{ID: id, Factor: 0.1}), 0.1
			}
			c.Sum = plan.Sum(factors, 0, nil, nil)
		}), Absurd, 0.5, 6},
	} {
		t.Run(name, func(t *testing.T) {
			f := New(Config{})
			if why, err := f.TakeChange(100*sec, whole(5, 50*sec, 0.5), ready(4)); why != Taken {
				t.Fatalf("%s, %v", why, err)
			}
			why, err := f.TakeChange(101*sec, x.change, ready(4))
			if why != x.want || (err == nil) != (why == Taken) || f.Counts[x.want] == 0 {
				t.Errorf("%s, %v, want %s", why, err, x.want)
			}
			v, _ := f.Now(101 * sec)
			if len(v.Servers) != 1 || v.Servers[0].Factor != x.factor {
				t.Errorf("%+v is in force, want a factor of %v", v.Servers, x.factor)
			}
			if got := f.Hold("a"); got.Revision != x.holding || !got.Follows {
				t.Errorf("holds %+v, want revision %d", got, x.holding)
			}
		})
	}
}

// Grants bind for as long as what they came with, as a limit beside the factor; a heartbeat that grants the same is no news.
func TestGrantsBind(t *testing.T) {
	f := New(Config{Fade: 10 * sec})
	c := plan.Change{Planner: "a", Made: 1, Valid: 3 * sec, History: 1, Revision: 1, Count: 4, HotSet: true, TenantsSet: true,
		Servers: []policy.ServerView{{ID: "c1", Factor: 0.5}}, Grants: []plan.Grant{{ID: "c1", Rate: 2}, {ID: "c0", Rate: 8}}, Answers: 7}
	c.Sum = plan.Sum(map[string]float64{"c1": 0.5}, 0, nil, nil)
	f.Sent(100*sec, 7)
	f.TakeChange(100*sec, c, ready(4))
	v, _ := f.Now(102 * sec)
	if want := []policy.ServerView{{ID: "c0", Factor: 1, Allow: 8}, {ID: "c1", Factor: 0.5, Allow: 2}}; !slices.Equal(v.Servers, want) {
		t.Errorf("%+v", v.Servers)
	}
	turns := f.Turns()
	c.Made, c.Base, c.Servers, c.HotSet, c.TenantsSet = 2, 1, nil, false, false
	c.After = 2 * sec
	if why, err := f.TakeChange(102*sec, c, ready(4)); why != Taken || f.Turns() != turns {
		t.Errorf("%s, %v; turn %d after %d", why, err, f.Turns(), turns)
	}
	if v, trust := f.Now(105 * sec); trust != 1 || len(v.Servers) != 2 {
		t.Errorf("%+v, trusted %v, though it was told again", v, trust)
	}
	c.Made, c.Grants, c.After = 3, c.Grants[:1], 3*sec
	if f.TakeChange(103*sec, c, ready(4)); f.Turns() == turns {
		t.Error("another grant is no news")
	}
	if v, _ := f.Now(103 * sec); len(v.Servers) != 1 {
		t.Errorf("%+v: a grant stands that was not told again", v.Servers)
	}
	if v, trust := f.Now(111 * sec); trust != 0.5 || v.Servers[0].Allow != 4 {
		t.Errorf("%+v, trusted %v, five seconds after", v, trust)
	}
}

// Planners that only send rubbish take no room for ever.
func TestStatesAreBounded(t *testing.T) {
	f := New(Config{})
	c := plan.Change{Valid: sec, History: 1, Revision: 1, Count: 4, HotSet: true, TenantsSet: true, Sum: plan.Sum(nil, 0, nil, nil)}
	for i := range 1000 {
		c.Planner, c.Made = fmt.Sprint("p", i), time.Duration(i+1)
		f.TakeChange(100*sec+time.Duration(i)*time.Millisecond, c, ready(4))
		if len(f.states) > mostPlanners || len(f.lasts) > 2*mostPlanners {
			t.Fatalf("%d states, %d planners", len(f.states), len(f.lasts))
		}
	}
	c.Planner = "late"
	if why, err := f.TakeChange(200*sec, c, ready(4)); why != Taken {
		t.Errorf("%s, %v, when all have faded", why, err)
	}
}

// What nodes may send a second to a cold server, by the views that are valid there, is never over the largest budget of the
// time for which one may be valid, whatever is lost, late or doubled, and whoever falls silent or restarts.
// Guards against a cold server that all nodes are let loose on, and against grants that lay in a buffer while a node or the
// planner was frozen.
func TestGrantsAtNodes(t *testing.T) {
	limited := 0
	rapid.Check(t, func(r *rapid.T) {
		const nodes, valid, travels = 4, 3 * sec, sec
		now := 100 * sec
		list := listed(6)
		list[0].Started = now - sec
		p := plan.New(plan.Config{ID: "a", Weighted: true, ColdFrom: 0.2, WarmUp: 20 * sec, FallMultiple: 3, FallWindow: 1500 * time.Millisecond})
		p.Roster(now, list)
		type message struct {
			to    int
			c     plan.Change
			until time.Duration
			came  bool
		}
		type spell struct {
			at     time.Duration
			budget float64
		}
		var way []message
		var budgets []spell
		followers := make([]*Follower, nodes)
		holds := make([]plan.Hold, nodes)
		thaws := make([]time.Duration, nodes) // a frozen one takes nothing until then
		heard := make([]struct {
			seq uint64
			at  time.Duration
		}, nodes)
		for i := range followers {
			followers[i] = New(Config{})
		}
		seq := uint64(0)
		for range rapid.IntRange(30, 150).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond
			node := rapid.IntRange(0, nodes-1).Draw(r, "node")
			switch rapid.IntRange(0, 12).Draw(r, "what") {
			case 0, 1, 2, 8: // digests, of nodes that are busy at one time and idle at another
				if now < thaws[node] {
					break
				}
				seq++
				asked := rapid.SampledFrom([]int{0, 5, 50, 500}).Draw(r, "asked")
				p.Digest(now, plan.Digest{From: fmt.Sprint(node), Seq: seq, Span: sec, Asked: asked, Answered: asked})
				holds[node] = followers[node].Hold("a")
				followers[node].Sent(now, seq)
				heard[node].seq, heard[node].at = seq, now
			case 3, 4:
				p.Make(now)
			case 5:
				heard[node].seq = 0
				followers[node] = New(Config{}) // a process that starts anew has another connection
				way = slices.DeleteFunc(way, func(m message) bool { return m.to == node })
			case 6: // what is on its way waits until it goes on
				if now > thaws[node]+10*sec {
					thaws[node] = now + time.Duration(rapid.IntRange(1, 10).Draw(r, "frozen"))*sec
					for i := range way {
						if m := &way[i]; m.to == node && now <= m.until {
							m.until = thaws[node] + travels
						}
					}
				}
			case 7: // the server starts anew, or another is cold too
				at := rapid.IntRange(0, 1).Draw(r, "server")
				list[at].Started = now
				p.Roster(now, list)
			default:
				if p.Revision() == 0 {
					break
				}
				c, _ := p.Change(now, holds[node])
				if heard[node].seq == 0 { // of this process the planner has heard nothing
					way = append(way, message{to: node, c: c, until: max(now, thaws[node]) + travels})
					break
				}
				c.Answers, c.After = heard[node].seq, now-heard[node].at
				if c.Grants = p.Grants(now, fmt.Sprint(node)); rapid.Bool().Draw(r, "arrives") {
					way = append(way, message{to: node, c: c, until: max(now, thaws[node]) + travels})
				}
			}
			for _, x := range p.Explain() {
				if x.ID == "c0" {
					budgets = append(budgets, spell{now, x.Allow})
				}
			}
			for i := range way { // mostly within a second; a second copy of what came may come later
				if m := &way[i]; now >= thaws[m.to] && (now <= m.until || m.came) && rapid.Bool().Draw(r, "now") {
					m.came = true
					followers[m.to].TakeChange(now, m.c, ready(6))
				}
			}
			way = slices.DeleteFunc(way, func(m message) bool { return now > m.until+2*sec })
			sum, most := 0.0, 0.0
			for _, f := range followers {
				if v, trust := f.Now(now); trust == 1 {
					for _, s := range v.Servers {
						if s.ID == "c0" {
							sum += s.Allow
						}
					}
				}
			}
			for _, s := range budgets {
				if now-s.at <= valid+travels {
					most = max(most, s.budget)
				}
			}
			if sum > 1 {
				limited++
			}
			if sum > most+nodes*0.001+1e-9 {
				r.Fatalf("nodes may send %v a second, the budget was %v at most", sum, most)
			}
		}
	})
	if limited == 0 {
		t.Error("nothing was granted")
	}
}
