package follow

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lapisshelf/decide/plan"
	"lapisshelf/policy"
)

const sec = time.Second

func ready(n int) (list []Server) {
	for i := range n {
		list = append(list, Server{ID: fmt.Sprintf("c%d", i), Weight: 1})
	}
	return list
}

func view(planner string, epoch uint64, made time.Duration, factors ...float64) plan.View {
	v := plan.View{Epoch: epoch, Planner: planner, Made: made, Valid: 3 * sec}
	for i, f := range factors {
		v.Servers = append(v.Servers, policy.ServerView{ID: fmt.Sprintf("c%d", i), Factor: f})
	}
	return v
}

// Which of several views that arrive in sequence are accepted.
func TestWhichViewCounts(t *testing.T) {
	for name, c := range map[string]struct {
		views []plan.View
		gap   time.Duration
		want  []Outcome
	}{
		"newer views of one planner":        {[]plan.View{view("a", 1, 1*sec, 1, 1), view("a", 1, 2*sec, 1, 1)}, sec, []Outcome{Accepted, Accepted}},
		"duplicated and out of order":       {[]plan.View{view("a", 1, 2*sec, 1, 1), view("a", 1, 2*sec, 1, 1), view("a", 1, 1*sec, 1, 1)}, sec, []Outcome{Accepted, OutOfOrder, OutOfOrder}},
		"clock set back, after the fade":    {[]plan.View{view("a", 1, 90*sec, 1, 1), view("a", 1, 2*sec, 1, 1)}, 14 * sec, []Outcome{Accepted, Accepted}},
		"another planner, same epoch":       {[]plan.View{view("b", 1, 1*sec, 1, 1), view("a", 1, 9*sec, 1, 1)}, sec, []Outcome{Accepted, OtherPlanner}},
		"another after the first is silent": {[]plan.View{view("b", 1, 1*sec, 1, 1), view("a", 1, 9*sec, 1, 1)}, 4 * sec, []Outcome{Accepted, Accepted}},
		"a higher epoch":                    {[]plan.View{view("b", 1, 1*sec, 1, 1), view("a", 2, 0, 1, 1), view("b", 1, 9*sec, 1, 1)}, sec, []Outcome{Accepted, Accepted, Epoch}},
		"an epoch in the future":            {[]plan.View{view("b", 1, 1*sec, 1, 1), view("a", math.MaxUint64, sec, 1, 1), view("b", 1, 9*sec, 1, 1)}, sec, []Outcome{Accepted, Epoch, Accepted}},
		"factors of 0":                      {[]plan.View{view("a", 1, sec, 0, 0)}, sec, []Outcome{Invalid}},
		"factor is NaN":                     {[]plan.View{view("a", 1, sec, math.NaN(), 1)}, sec, []Outcome{Invalid}},
		"factor above 1":                    {[]plan.View{view("a", 1, sec, 2, 1)}, sec, []Outcome{Invalid}},
		"one of three servers named":        {[]plan.View{view("a", 1, sec, 1)}, sec, []Outcome{Invalid}},
		"hardly any weight left":            {[]plan.View{view("a", 1, sec, 0.1, 0.1)}, sec, []Outcome{Invalid}},
		"also servers not in the list":      {[]plan.View{view("a", 1, sec, 1, 1, 1, 1, 1)}, sec, []Outcome{Accepted}},
		"no planner name":                   {[]plan.View{view("", 1, sec, 1, 1)}, sec, []Outcome{Invalid}},
	} {
		t.Run(name, func(t *testing.T) {
			f, now := New(Config{}), 100*sec
			n := 3
			if len(c.views[0].Servers) == 2 {
				n = 2
			}
			for i, v := range c.views {
				if got, err := f.TakeView(now, v, ready(n)); got != c.want[i] || (err == nil) != (got == Accepted) {
					t.Errorf("view %d: %s, %v, want %s", i, got, err, c.want[i])
				}
				now += c.gap
			}
		})
	}
}

// A view is in full force while valid, and then fades linearly to no factors and no limits.
func TestAViewFades(t *testing.T) {
	f := New(Config{Fade: 10 * sec})
	v := view("a", 1, sec, 0.5, 1)
	v.Admit, v.Servers[1].Allow = 0.6, 2
	v.Hot, v.Tenants = []policy.HotKey{{Key: 4, Load: 3}}, []policy.TenantDemand{{Name: "x", Asked: 5}}
	f.TakeView(100*sec, v, ready(2))
	for _, c := range []struct{ age, trust, factor, admit, allow float64 }{{0, 1, 0.5, 0.6, 2}, {3, 1, 0.5, 0.6, 2}, {8, 0.5, 0.75, 0.8, 4}} {
		got, trust := f.Now(100*sec + time.Duration(c.age*float64(sec)))
		if math.Abs(trust-c.trust) > 1e-9 || math.Abs(got.Servers[0].Factor-c.factor) > 1e-9 || math.Abs(got.Admit-c.admit) > 1e-9 || math.Abs(got.Servers[1].Allow-c.allow) > 1e-9 {
			t.Errorf("after %v s: trust %v, %+v", c.age, trust, got)
		}
	}
	if got, trust := f.Now(113 * sec); trust != 0 || len(got.Servers)+len(got.Hot)+len(got.Tenants) != 0 || got.Admit != 0 {
		t.Errorf("after the fade: trust %v, %+v", trust, got)
	}
}

// Under any loss, delay, duplication, order and restarts of planners, the view in force is one that some planner made, epochs
// never decrease, and between accepted views trust only falls.
func TestFollowerInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f, now := New(Config{}), 100*sec
		var made []plan.View
		var epoch uint64
		trust := 0.0
		for range rapid.IntRange(5, 60).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(r, "ms")) * time.Millisecond
			taken := false
			switch rapid.IntRange(0, 3).Draw(r, "what") {
			case 0: // a planner makes a view, which may arrive at any time, and more than once
				made = append(made, view(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "by"), rapid.Uint64Range(0, 5).Draw(r, "epoch"),
					now+time.Duration(rapid.IntRange(-9, 9).Draw(r, "skew"))*sec, rapid.Float64Range(0.5, 1).Draw(r, "factor"), 1, 1))
			case 1, 2:
				if len(made) > 0 {
					why, _ := f.TakeView(now, rapid.SampledFrom(made).Draw(r, "which"), ready(3))
					taken = why == Accepted
				}
			}
			if f.Epoch() < epoch {
				r.Fatalf("epoch %d after %d", f.Epoch(), epoch)
			}
			epoch = f.Epoch()
			got, now := f.Now(now)
			if !taken && now > trust {
				r.Fatalf("trust rose from %v to %v without a new view", trust, now)
			}
			trust = now
			held, _ := f.Held()
			if held != nil && !slices.ContainsFunc(made, func(v plan.View) bool {
				return v.Planner == held.Planner && v.Made == held.Made && v.Epoch == held.Epoch && v.Servers[0] == held.Servers[0]
			}) {
				r.Fatal("no planner made the held view")
			}
			for _, s := range got.Servers {
				if !(s.Factor >= plan.MinFactor && s.Factor <= 1) {
					r.Fatalf("factor %v", s.Factor)
				}
			}
		}
	})
}
