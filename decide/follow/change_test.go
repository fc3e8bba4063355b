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

func serverList(n int) (list []policy.Server) {
	for i := range n {
		list = append(list, policy.Server{ID: fmt.Sprintf("c%d", i), Weight: 1})
	}
	return list
}

// sharedState is a planner's published state, without grants.
type sharedState struct {
	Factors map[string]float64
	Admit   float64
	Hot     []policy.HotKey
	Tenants []policy.TenantDemand
}

func (w sharedState) equal(o sharedState) bool {
	return maps.Equal(w.Factors, o.Factors) && w.Admit == o.Admit && slices.Equal(w.Hot, o.Hot) && slices.Equal(w.Tenants, o.Tenants)
}

func sharedStateOf(v policy.View) sharedState {
	w := sharedState{Factors: map[string]float64{}, Admit: v.Admit, Hot: v.Hot, Tenants: v.Tenants}
	for _, s := range v.Servers {
		if s.Factor != 1 {
			w.Factors[s.ID] = s.Factor
		}
	}
	return w
}

// plannerProcess is one run of a planner, with what it believes that the nodes hold.
type plannerProcess struct {
	*plan.Planner
	id         string
	history    uint64
	heldByNode map[int]plan.Hold
}

// network connects planners and nodes; messages may be lost, duplicated and reordered.
type network struct {
	now       time.Duration
	planners  []*plannerProcess
	nodes     []*Follower
	seq       uint64
	published map[string]sharedState // by planner, history and revision
	digests   []digestInFlight
	changes   []changeInFlight
}

type digestInFlight struct {
	node, plannerProcess int
	hold                 plan.Hold
}

type changeInFlight struct {
	node int
	c    plan.Change
}

func (w *network) startPlanner(i int, history uint64) {
	id := string(rune('a' + i))
	w.planners[i] = &plannerProcess{Planner: plan.New(plan.Config{ID: id, History: history}), id: id, history: history, heldByNode: map[int]plan.Hold{}}
	w.planners[i].SetServers(w.now, serverList(6))
	w.make(i)
}

// make updates a planner and records its published state.
func (w *network) make(i int) {
	p := w.planners[i]
	p.Update(w.now)
	w.published[fmt.Sprint(p.id, p.history, "/", p.Revision())] = sharedStateOf(p.View(w.now, w.now, "nobody").View)
}

func (w *network) change(i, node int) changeInFlight {
	c, _ := w.planners[i].Change(w.now, w.planners[i].heldByNode[node])
	return changeInFlight{node, c}
}

func (w *network) deliver(t *rapid.T, m changeInFlight) Outcome {
	f := w.nodes[m.node]
	outcome, _ := f.TakeChange(w.now, m.c, ready(6))
	for id, s := range f.states { // of all planners, followed or not
		for server, x := range s.factors {
			if x == 1 {
				t.Fatalf("%s is kept with factor 1", server)
			}
		}
		want, known := w.published[fmt.Sprint(id, s.history, "/", s.revision)]
		if got := sharedStateOf(s.view(nil)); !known || !got.equal(want) {
			t.Fatalf("node %d holds revision %d of %s, history %d, as %+v, want %+v", m.node, s.revision, id, s.history, got, want)
		}
	}
	return outcome
}

// A state rebuilt from changes equals the full state of its revision, whatever messages are lost, duplicated, late or out of
// order, and whichever planner restarts. One digest and one change that arrive after the last event bring a node up to date.
// Guards against a factor that stays in force after its planner has withdrawn it.
func TestWhatChangesLeadTo(t *testing.T) {
	seen, parts := map[Outcome]int{}, 0
	rapid.Check(t, func(r *rapid.T) {
		w := &network{now: 100 * sec, planners: make([]*plannerProcess, 2), published: map[string]sharedState{}}
		history := uint64(0)
		for i := range w.planners {
			history++
			w.startPlanner(i, history)
		}
		w.nodes = []*Follower{New(Config{}), New(Config{})}
		for range rapid.IntRange(60, 300).Draw(r, "steps") {
			w.now += time.Duration(rapid.IntRange(1, 700).Draw(r, "ms")) * time.Millisecond
			i, node := rapid.IntRange(0, 1).Draw(r, "planner"), rapid.IntRange(0, 1).Draw(r, "node")
			p := w.planners[i]
			switch rapid.IntRange(0, 9).Draw(r, "what") {
			case 0, 1: // factors and the origin's part change
				snap := plan.Snapshot{Clock: w.now, Admit: rapid.SampledFrom([]float64{1, 0.8, 0.64}).Draw(r, "admit"), Factors: map[string]float64{}}
				for range rapid.IntRange(1, 3).Draw(r, "servers") {
					snap.Factors[fmt.Sprintf("c%d", rapid.IntRange(0, 5).Draw(r, "server"))] = rapid.SampledFrom([]float64{0.5, 0.75, 1, 1}).Draw(r, "factor")
				}
				p.Restore(w.now, sec, snap)
				w.make(i)
			case 2: // hot keys and tenants change
				w.seq++
				p.Planner.Digest(w.now, plan.Digest{From: "x", Seq: w.seq, Span: sec, Asked: 300, Hot: []plan.Heat{{Key: uint32(rapid.IntRange(1, 3).Draw(r, "key")), Asked: 200}},
					Tenants: []plan.Use{{Tenant: rapid.SampledFrom([]string{"t", "u"}).Draw(r, "tenant"), Asked: 100}}})
				w.make(i)
			case 3: // servers are added and removed
				p.SetServers(w.now, serverList(rapid.IntRange(4, 6).Draw(r, "count")))
				w.make(i)
			case 4, 5:
				w.digests = append(w.digests, digestInFlight{node, i, w.nodes[node].Hold(p.id)})
			case 6, 7:
				w.changes = append(w.changes, w.change(i, node))
			case 8: // a restarted planner counts its revisions from the start again
				history++
				w.startPlanner(i, history)
			case 9:
				w.nodes[node] = New(Config{})
			}
			for range rapid.IntRange(0, 3).Draw(r, "arrive") { // in any order, possibly again later
				if n := len(w.digests); n > 0 {
					at := rapid.IntRange(0, n-1).Draw(r, "digest")
					d := w.digests[at]
					w.planners[d.plannerProcess].heldByNode[d.node] = d.hold
					if rapid.IntRange(0, 3).Draw(r, "again") > 0 {
						w.digests = slices.Delete(w.digests, at, at+1)
					}
				}
				if n := len(w.changes); n > 0 {
					at := rapid.IntRange(0, n-1).Draw(r, "change")
					m := w.changes[at]
					why := w.deliver(r, m)
					seen[why]++
					if why == Accepted && m.c.Base > 0 && m.c.Base < m.c.Revision {
						parts++
					}
					if rapid.IntRange(0, 3).Draw(r, "again") > 0 {
						w.changes = slices.Delete(w.changes, at, at+1)
					}
				}
			}
		}
		// One exchange with each planner, in either order.
		for _, i := range rapid.Permutation([]int{0, 1}).Draw(r, "order") {
			p := w.planners[i]
			for node, f := range w.nodes {
				w.now += time.Millisecond
				p.heldByNode[node] = f.Hold(p.id)
				m := w.change(i, node)
				w.deliver(r, m)
				s, want := f.states[p.id], sharedStateOf(p.View(w.now, w.now, "nobody").View)
				if s == nil || !sharedStateOf(s.view(nil)).equal(want) {
					r.Fatalf("after an exchange node %d holds %+v of %s, want %+v", node, s, p.id, want)
				}
				if held, _ := f.Held(); held != nil && held.Planner == p.id {
					if got := sharedStateOf(held.View); !got.equal(want) {
						r.Fatalf("after an exchange node %d acts on %+v, want %+v", node, got, want)
					}
				}
			}
		}
	})
	t.Logf("%v, %d of them updated a held state", seen, parts)
	if seen[Mismatch] == 0 || seen[OutOfOrder] == 0 || seen[OtherPlanner] == 0 || parts == 0 {
		t.Error("some outcomes never occurred")
	}
}

// A change is accepted only if it starts from the held state. Otherwise the full state is requested, and the view in force
// stays until it arrives.
func TestWhichChangeCounts(t *testing.T) {
	const h = 7
	fullChange := func(revision uint64, made time.Duration, factor float64) plan.Change {
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
		return with(fullChange(revision, made, factor), func(c *plan.Change) { c.Base, c.HotSet, c.TenantsSet = base, false, false })
	}
	for name, x := range map[string]struct {
		change  plan.Change // applied to a full state of revision 5, made at 50 s, with factor 0.5
		want    Outcome
		factor  float64 // in force afterwards
		holding uint64
	}{
		"next revision":                 {part(5, 6, 51*sec, 0.75), Accepted, 0.75, 6},
		"some changes lost":             {part(3, 9, 51*sec, 0.75), Accepted, 0.75, 9},
		"no news":                       {with(part(5, 5, 51*sec, 0.5), func(c *plan.Change) { c.Servers = nil }), Accepted, 0.5, 5},
		"from a revision never held":    {part(6, 7, 51*sec, 0.75), Mismatch, 0.5, 0},
		"of another history":            {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.History = 8 }), Mismatch, 0.5, 0},
		"full state of another history": {with(fullChange(2, 51*sec, 0.75), func(c *plan.Change) { c.History = 8 }), Accepted, 0.75, 2},
		"lower revision, by a run with the same history": {part(2, 3, 51*sec, 0.75), Mismatch, 0.5, 0},
		"duplicated or out of order":                     {part(4, 6, 50*sec, 0.75), OutOfOrder, 0.5, 5},
		"of another planner":                             {with(fullChange(1, 51*sec, 0.75), func(c *plan.Change) { c.Planner = "b" }), OtherPlanner, 0.5, 5},
		"wrong checksum":                                 {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Sum++ }), Mismatch, 0.5, 0},
		"a server missing":                               {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Servers = nil }), Mismatch, 0.5, 0},
		"an older epoch":                                 {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Epoch = 0 }), Epoch, 0.5, 6},
		"few servers known":                              {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Count = 1 }), Invalid, 0.5, 6},
		"no history":                                     {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.History = 0 }), Invalid, 0.5, 5},
		"revision below its base":                        {with(part(5, 4, 51*sec, 0.75), func(c *plan.Change) {}), Invalid, 0.5, 5},
		"factor 0":                                       {part(5, 6, 51*sec, 0), Invalid, 0.5, 5},
		"full state without hot keys":                    {with(fullChange(6, 51*sec, 0.75), func(c *plan.Change) { c.HotSet = false }), Invalid, 0.5, 5},
		"grant of rate 0":                                {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Grants, c.Answers = []plan.Grant{{ID: "c1"}}, 1 }), Invalid, 0.5, 5},
		"grant without a digest number":                  {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Grants = []plan.Grant{{ID: "c1", Rate: 1}} }), Invalid, 0.5, 5},
		"grant with a negative digest age":               {with(part(5, 6, 51*sec, 0.75), func(c *plan.Change) { c.Grants, c.Answers, c.After = []plan.Grant{{ID: "c1", Rate: 1}}, 1, -1 }), Invalid, 0.5, 5},
		"more than three quarters of the weight removed": {with(fullChange(6, 51*sec, 0.1), func(c *plan.Change) {
			factors := map[string]float64{}
			c.Servers = nil
			for i := range 4 {
				id := fmt.Sprintf("c%d", i)
				c.Servers, factors[id] = append(c.Servers, policy.ServerView{ID: id, Factor: 0.1}), 0.1
			}
			c.Sum = plan.Sum(factors, 0, nil, nil)
		}), Invalid, 0.5, 6},
	} {
		t.Run(name, func(t *testing.T) {
			f := New(Config{})
			if why, err := f.TakeChange(100*sec, fullChange(5, 50*sec, 0.5), ready(4)); why != Accepted {
				t.Fatalf("%s, %v", why, err)
			}
			why, err := f.TakeChange(101*sec, x.change, ready(4))
			if why != x.want || (err == nil) != (why == Accepted) || f.Counts[x.want] == 0 {
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

// Grants limit sends while their change is valid, next to the factors. A repeated grant is not a new version of the view.
func TestGrantsBind(t *testing.T) {
	f := New(Config{Fade: 10 * sec})
	c := plan.Change{Planner: "a", Made: 1, Valid: 3 * sec, History: 1, Revision: 1, Count: 4, HotSet: true, TenantsSet: true,
		Servers: []policy.ServerView{{ID: "c1", Factor: 0.5}}, Grants: []plan.Grant{{ID: "c1", Rate: 2}, {ID: "c0", Rate: 8}}, Answers: 7}
	c.Sum = plan.Sum(map[string]float64{"c1": 0.5}, 0, nil, nil)
	f.DigestSent(100*sec, 7)
	f.TakeChange(100*sec, c, ready(4))
	v, _ := f.Now(102 * sec)
	if want := []policy.ServerView{{ID: "c0", Factor: 1, Allow: 8}, {ID: "c1", Factor: 0.5, Allow: 2}}; !slices.Equal(v.Servers, want) {
		t.Errorf("%+v", v.Servers)
	}
	turns := f.Version()
	c.Made, c.Base, c.Servers, c.HotSet, c.TenantsSet = 2, 1, nil, false, false
	c.After = 2 * sec
	if why, err := f.TakeChange(102*sec, c, ready(4)); why != Accepted || f.Version() != turns {
		t.Errorf("%s, %v; version %d after %d", why, err, f.Version(), turns)
	}
	if v, trust := f.Now(105 * sec); trust != 1 || len(v.Servers) != 2 {
		t.Errorf("%+v, trust %v, though a change renewed it", v, trust)
	}
	c.Made, c.Grants, c.After = 3, c.Grants[:1], 3*sec
	if f.TakeChange(103*sec, c, ready(4)); f.Version() == turns {
		t.Error("a different grant did not make a new version")
	}
	if v, _ := f.Now(103 * sec); len(v.Servers) != 1 {
		t.Errorf("%+v: a grant is in force that was not renewed", v.Servers)
	}
	if v, trust := f.Now(111 * sec); trust != 0.5 || v.Servers[0].Allow != 4 {
		t.Errorf("%+v, trust %v, five seconds after its validity", v, trust)
	}
}

// Planners that send useless states occupy bounded memory, and none of it for ever.
func TestStatesAreBounded(t *testing.T) {
	f := New(Config{})
	c := plan.Change{Valid: sec, History: 1, Revision: 1, Count: 4, HotSet: true, TenantsSet: true, Sum: plan.Sum(nil, 0, nil, nil)}
	for i := range 1000 {
		c.Planner, c.Made = fmt.Sprint("p", i), time.Duration(i+1)
		f.TakeChange(100*sec+time.Duration(i)*time.Millisecond, c, ready(4))
		if len(f.states) > maxPlanners || len(f.lastViews) > 2*maxPlanners {
			t.Fatalf("%d states, %d planners", len(f.states), len(f.lastViews))
		}
	}
	c.Planner = "late"
	if why, err := f.TakeChange(200*sec, c, ready(4)); why != Accepted {
		t.Errorf("%s, %v, after all states have faded", why, err)
	}
}

// The rates at which all nodes may send to a cold server, by their valid views, never add up to more than the largest budget
// within the validity of a view, whatever is lost, late or duplicated, and whoever falls silent or restarts.
// Guards against a cold server that all nodes use without a limit, and against grants that sat in a buffer while a node or
// the planner was frozen.
func TestGrantsAtNodes(t *testing.T) {
	limited := 0
	rapid.Check(t, func(r *rapid.T) {
		const nodes, valid, transit = 4, 3 * sec, sec
		now := 100 * sec
		list := serverList(6)
		list[0].Started = now - sec
		p := plan.New(plan.Config{ID: "a", Weighted: true, ColdFrom: 0.2, WarmUp: 20 * sec, FallMultiple: 3, FallWindow: 1500 * time.Millisecond})
		p.SetServers(now, list)
		type message struct {
			to        int
			c         plan.Change
			until     time.Duration
			delivered bool
		}
		type budgetSample struct {
			at     time.Duration
			budget float64
		}
		var inFlight []message
		var budgets []budgetSample
		followers := make([]*Follower, nodes)
		holds := make([]plan.Hold, nodes)
		frozenUntil := make([]time.Duration, nodes) // a frozen node receives nothing until then
		lastDigest := make([]struct {
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
				if now < frozenUntil[node] {
					break
				}
				seq++
				asked := rapid.SampledFrom([]int{0, 5, 50, 500}).Draw(r, "asked")
				p.Digest(now, plan.Digest{From: fmt.Sprint(node), Seq: seq, Span: sec, Asked: asked, Answered: asked})
				holds[node] = followers[node].Hold("a")
				followers[node].DigestSent(now, seq)
				lastDigest[node].seq, lastDigest[node].at = seq, now
			case 3, 4:
				p.Update(now)
			case 5:
				lastDigest[node].seq = 0
				followers[node] = New(Config{}) // the new process has a new connection
				inFlight = slices.DeleteFunc(inFlight, func(m message) bool { return m.to == node })
			case 6: // a node freezes; messages to it wait until it continues
				if now > frozenUntil[node]+10*sec {
					frozenUntil[node] = now + time.Duration(rapid.IntRange(1, 10).Draw(r, "frozen"))*sec
					for i := range inFlight {
						if m := &inFlight[i]; m.to == node && now <= m.until {
							m.until = frozenUntil[node] + transit
						}
					}
				}
			case 7: // a server restarts, possibly a second cold one
				at := rapid.IntRange(0, 1).Draw(r, "server")
				list[at].Started = now
				p.SetServers(now, list)
			default:
				if p.Revision() == 0 {
					break
				}
				c, _ := p.Change(now, holds[node])
				if lastDigest[node].seq == 0 { // this process has sent no digest yet
					inFlight = append(inFlight, message{to: node, c: c, until: max(now, frozenUntil[node]) + transit})
					break
				}
				c.Answers, c.After = lastDigest[node].seq, now-lastDigest[node].at
				if c.Grants = p.Grants(now, fmt.Sprint(node)); rapid.Bool().Draw(r, "arrives") {
					inFlight = append(inFlight, message{to: node, c: c, until: max(now, frozenUntil[node]) + transit})
				}
			}
			for _, x := range p.Explain() {
				if x.ID == "c0" {
					budgets = append(budgets, budgetSample{now, x.Allow})
				}
			}
			for i := range inFlight { // mostly within a second; a duplicate of a delivered message may arrive later
				if m := &inFlight[i]; now >= frozenUntil[m.to] && (now <= m.until || m.delivered) && rapid.Bool().Draw(r, "now") {
					m.delivered = true
					followers[m.to].TakeChange(now, m.c, ready(6))
				}
			}
			inFlight = slices.DeleteFunc(inFlight, func(m message) bool { return now > m.until+2*sec })
			sum, maxBudget := 0.0, 0.0
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
				if now-s.at <= valid+transit {
					maxBudget = max(maxBudget, s.budget)
				}
			}
			if sum > 1 {
				limited++
			}
			if sum > maxBudget+nodes*0.001+1e-9 {
				r.Fatalf("nodes may send %v per second, the largest budget was %v", sum, maxBudget)
			}
		}
	})
	if limited == 0 {
		t.Error("no grant was in force")
	}
}
