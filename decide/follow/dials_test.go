package follow

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lapisshelf/decide/plan"
)

const dialStep = time.Millisecond

// dialResult tells when each connection was opened and when its first message came. dialAll advances a clock step by step;
// each connection gets its first message after takes (0: never), or fails then.
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

// Connections are opened one after the other: the next one over a second after the first message on the last one, at once if
// that fails, and after three seconds without a message; all planners are tried within three seconds each.
// Guards against a restarted node that has its handshakes with all planners, and receives all full states, in one second.
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
			t.Fatalf("connections opened at %v in order %v", x.opened, x.order)
		}
		for k, i := range x.order[1:] {
			last := x.order[k]
			after := x.opened[i] - x.opened[last]
			switch took := takes[last]; {
			case took == 0 || took > dialTimeout:
				if after != dialTimeout {
					t.Errorf("opened %v after one without a message", after)
				}
			case fails[last]:
				if after != took {
					t.Errorf("opened %v after one that failed after %v", after, took)
				}
			default: // noticed at the next step of the clock
				if min(after-took, dialTimeout-took) <= sec && after != dialTimeout || after-took >= dialInterval+dialJitter+dialStep || after > dialTimeout {
					t.Errorf("opened %v after one whose first message took %v", after, took)
				}
			}
		}
	})
}

// A lost connection waits for its turn like any other, that of the followed planner first. A connection that is due alone is
// opened at once, and the end of one that was heard opens none of the others sooner.
func TestConnectionsComeAgain(t *testing.T) {
	d, now := NewDialer(100*sec, 3, rand.New(rand.NewPCG(1, 2))), 100*sec
	opens := func(want int) {
		t.Helper()
		if i, _ := d.Next(now); i != want {
			t.Fatalf("planner %d is next, want %d", i, want)
		}
	}
	dialAll(d, now, []time.Duration{dialStep, dialStep, dialStep}, make([]bool, 3), now+10*sec)
	if now += 20 * sec; d.Awaited(now) != 0 {
		t.Error("planners that were heard are awaited")
	}
	for _, i := range []int{0, 1, 2} {
		d.Failed(now, i)
	}
	d.Enqueue(now, 0, false)
	d.Enqueue(now, 1, false)
	d.Enqueue(now, 1, false) // a duplicate has no effect
	d.Enqueue(now, 2, true)
	if d.Awaited(now) != 2 {
		t.Errorf("%d are awaited, want the two behind the first", d.Awaited(now))
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
		t.Errorf("%d awaited, %d three seconds later", d.Awaited(now), d.Awaited(now+dialTimeout))
	}
}

// Several planners each divide the whole budget, and nodes have heard some of them but not yet the others, in any order: all
// nodes together stay within the budget.
// Guards against nodes that start at once, half of which hear one planner first and half another, and use two budgets.
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
			t.Errorf("grants of %.1f in use, the budget is %.1f", sum, budget)
		}
	})
}
