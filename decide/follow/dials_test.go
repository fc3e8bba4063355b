package follow

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lapisshelf/decide/plan"
)

const dialStep = time.Millisecond

// dialled plays a node with so many planners on a moved clock: each connection has its first word after takes (0: never), or
// fails after it. It gives when each was opened, had its word, and what was awaited at the end.
type dialResult struct {
	opened, firstMessage []time.Duration
	order                []int
}

func dialAll(d *Dialer, from time.Duration, takes []time.Duration, fails []bool, until time.Duration) (x dialResult) {
	x.opened, x.firstMessage = make([]time.Duration, len(takes)), make([]time.Duration, len(takes))
	for now := from; now <= until; now += dialStep {
		for i, at := range x.opened {
			if at == 0 || takes[i] == 0 || now != at+takes[i] {
				continue
			}
			if fails[i] {
				d.Failed(now, i)
			} else {
				d.FirstMessage(now, i)
				x.firstMessage[i] = now
			}
		}
		if i, _ := d.Next(now); i >= 0 {
			x.opened[i] = now
			x.order = append(x.order, i)
		}
	}
	return x
}

// Connections come one after the other: the next is opened over a second after the last planner's first word, at once if that
// one fails, and after three seconds if nothing is heard of it; all are tried within three seconds for each.
// Guards against a node that restarts and has its handshakes with all planners, and their whole states, in one second.
func TestConnectionsComeOneAfterTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const from = 100 * sec
		n := rapid.IntRange(1, 5).Draw(t, "planners")
		d := NewDialer(from, n, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		takes, fails := make([]time.Duration, n), make([]bool, n)
		for i := range takes {
			takes[i] = dialStep * time.Duration(rapid.SampledFrom([]int{0, 1, 40, 500, 2900, 3500}).Draw(t, "takes"))
			fails[i] = rapid.Bool().Draw(t, "fails")
		}
		x := dialAll(d, from, takes, fails, from+time.Duration(n+1)*dialTimeout)
		if len(x.order) != n || x.opened[x.order[0]] > from+maxFirstDelay {
			t.Fatalf("opened %v in the order of %v", x.opened, x.order)
		}
		for k, i := range x.order[1:] {
			last := x.order[k]
			after := x.opened[i] - x.opened[last]
			switch took := takes[last]; {
			case took == 0 || took > dialTimeout:
				if after != dialTimeout {
					t.Errorf("%v after one of which nothing is heard", after)
				}
			case fails[last]:
				if after != took {
					t.Errorf("%v after one that failed after %v", after, took)
				}
			default: // seen with the clock's next step
				if min(after-took, dialTimeout-took) <= sec && after != dialTimeout || after-took >= dialInterval+dialJitter+dialStep || after > dialTimeout {
					t.Errorf("%v after one that was heard after %v", after, took)
				}
			}
		}
	})
}

// A connection that was lost waits for its turn as well, the followed planner's first; one that is due alone is opened at once,
// and the end of one that was heard lets none of the others come sooner.
func TestConnectionsComeAgain(t *testing.T) {
	d, now := NewDialer(100*sec, 3, rand.New(rand.NewPCG(1, 2))), 100*sec
	opens := func(want int) {
		t.Helper()
		if i, _ := d.Next(now); i != want {
			t.Fatalf("%d is opened, want %d", i, want)
		}
	}
	dialAll(d, now, []time.Duration{dialStep, dialStep, dialStep}, make([]bool, 3), now+10*sec)
	if now += 20 * sec; d.Awaited(now) != 0 {
		t.Error("heard ones are awaited")
	}
	for _, i := range []int{0, 1, 2} {
		d.Failed(now, i)
	}
	d.Enqueue(now, 0, false)
	d.Enqueue(now, 1, false)
	d.Enqueue(now, 1, false) // twice
	d.Enqueue(now, 2, true)
	if d.Awaited(now) != 2 {
		t.Errorf("%d are awaited, not those that wait for the first", d.Awaited(now))
	}
	opens(2)
	opens(-1)
	now += 100 * dialStep
	d.FirstMessage(now, 2)
	d.Failed(now, 2)
	now += sec
	opens(-1)
	now += 600 * dialStep
	opens(0)
	now += 5 * dialStep
	d.Failed(now, 0)
	opens(1)
	if d.Awaited(now) != 1 || d.Awaited(now+dialTimeout) != 0 {
		t.Errorf("%d awaited, %d after three seconds", d.Awaited(now), d.Awaited(now+dialTimeout))
	}
}

// Planners that each share out a whole budget, and nodes that hear some of them and are still to hear the others, in any
// order: what all nodes take is within the budget.
// Guards against nodes that start at once, half of which hear one planner first and half the other: they would take both budgets.
func TestGrantsWhilePlannersAreAwaited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget, now = 100.0, 100 * sec
		planners, nodes := rapid.IntRange(2, 4).Draw(t, "planners"), rapid.IntRange(1, 12).Draw(t, "nodes")
		parts := make([][]float64, planners)
		for p := range parts {
			sum := 0.0
			for range nodes {
				parts[p] = append(parts[p], rapid.Float64Range(0.01, 1).Draw(t, "part"))
				sum += parts[p][len(parts[p])-1]
			}
			for i := range parts[p] {
				parts[p][i] *= budget / sum
			}
		}
		sum := 0.0
		for i := range nodes {
			f := New(Config{})
			f.DigestSent(now, 1)
			order := rapid.Permutation(rapid.Just([]int{0, 1, 2, 3}[:planners]).Draw(t, "all")).Draw(t, "order")
			heard := rapid.IntRange(1, planners).Draw(t, "heard")
			for k, p := range order[:heard] {
				f.SetAwaited(planners - 1 - k)
				c := plan.Change{Planner: string(rune('a' + p)), Made: 1, Valid: 3 * sec, History: 1, Revision: 1, Count: 4, HotSet: true, TenantsSet: true,
					Sum: plan.Sum(nil, 0, nil, nil), Grants: []plan.Grant{{ID: "c0", Rate: parts[p][i]}}, Answers: 1}
				if why, err := f.TakeChange(now, c, ready(4)); why != Accepted && why != OtherPlanner {
					t.Fatal(why, err)
				}
			}
			v, _ := f.Now(now)
			if len(v.Servers) != 1 || v.Servers[0].Allow <= 0 {
				t.Fatalf("%+v", v.Servers)
			}
			sum += v.Servers[0].Allow
		}
		if sum > budget*(1+1e-9) {
			t.Errorf("%.1f of %.1f", sum, budget)
		}
	})
}
