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

// What is taken of views that come one after the other.
func TestWhichViewCounts(t *testing.T) {
	for name, c := range map[string]struct {
		views []plan.View
		gap   time.Duration
		want  []Reason
	}{
		"newer ones of one planner":        {[]plan.View{view("a", 1, 1*sec, 1, 1), view("a", 1, 2*sec, 1, 1)}, sec, []Reason{Taken, Taken}},
		"doubled and in the wrong order":   {[]plan.View{view("a", 1, 2*sec, 1, 1), view("a", 1, 2*sec, 1, 1), view("a", 1, 1*sec, 1, 1)}, sec, []Reason{Taken, Late, Late}},
		"its clock set back, when faded":   {[]plan.View{view("a", 1, 90*sec, 1, 1), view("a", 1, 2*sec, 1, 1)}, 14 * sec, []Reason{Taken, Taken}},
		"another of the same epoch":        {[]plan.View{view("b", 1, 1*sec, 1, 1), view("a", 1, 9*sec, 1, 1)}, sec, []Reason{Taken, Another}},
		"and when the first falls silent":  {[]plan.View{view("b", 1, 1*sec, 1, 1), view("a", 1, 9*sec, 1, 1)}, 4 * sec, []Reason{Taken, Taken}},
		"a higher epoch at once":           {[]plan.View{view("b", 1, 1*sec, 1, 1), view("a", 2, 0, 1, 1), view("b", 1, 9*sec, 1, 1)}, sec, []Reason{Taken, Taken, Epoch}},
		"an epoch to come":                 {[]plan.View{view("b", 1, 1*sec, 1, 1), view("a", math.MaxUint64, sec, 1, 1), view("b", 1, 9*sec, 1, 1)}, sec, []Reason{Taken, Epoch, Taken}},
		"weights of zero":                  {[]plan.View{view("a", 1, sec, 0, 0)}, sec, []Reason{Absurd}},
		"no numbers":                       {[]plan.View{view("a", 1, sec, math.NaN(), 1)}, sec, []Reason{Absurd}},
		"weights above the list's":         {[]plan.View{view("a", 1, sec, 2, 1)}, sec, []Reason{Absurd}},
		"one server named":                 {[]plan.View{view("a", 1, sec, 1)}, sec, []Reason{Absurd}},
		"hardly any weight left":           {[]plan.View{view("a", 1, sec, 0.1, 0.1)}, sec, []Reason{Absurd}},
		"a server that the list lacks too": {[]plan.View{view("a", 1, sec, 1, 1, 1, 1, 1)}, sec, []Reason{Taken}},
		"no name":                          {[]plan.View{view("", 1, sec, 1, 1)}, sec, []Reason{Absurd}},
	} {
		t.Run(name, func(t *testing.T) {
			f, now := New(Config{}), 100*sec
			n := 3
			if len(c.views[0].Servers) == 2 {
				n = 2
			}
			for i, v := range c.views {
				if got, err := f.Take(now, v, ready(n)); got != c.want[i] || (err == nil) != (got == Taken) {
					t.Errorf("view %d: %s, %v, want %s", i, got, err, c.want[i])
				}
				now += c.gap
			}
		})
	}
}

// A view holds while it is valid, then fades evenly to no factor and no limit.
func TestAViewFades(t *testing.T) {
	f := New(Config{Fade: 10 * sec})
	v := view("a", 1, sec, 0.5, 1)
	v.Admit, v.Servers[1].Allow = 0.6, 2
	v.Hot, v.Tenants = []policy.Heat{{Key: 4, Load: 3}}, []policy.Use{{Name: "x", Asked: 5}}
	f.Take(100*sec, v, ready(2))
	for _, c := range []struct{ age, trust, factor, admit, allow float64 }{{0, 1, 0.5, 0.6, 2}, {3, 1, 0.5, 0.6, 2}, {8, 0.5, 0.75, 0.8, 4}} {
		got, trust := f.Now(100*sec + time.Duration(c.age*float64(sec)))
		if math.Abs(trust-c.trust) > 1e-9 || math.Abs(got.Servers[0].Factor-c.factor) > 1e-9 || math.Abs(got.Admit-c.admit) > 1e-9 || math.Abs(got.Servers[1].Allow-c.allow) > 1e-9 {
			t.Errorf("after %v s: trust %v, %+v", c.age, trust, got)
		}
	}
	if got, trust := f.Now(113 * sec); trust != 0 || len(got.Servers)+len(got.Hot)+len(got.Tenants) != 0 || got.Admit != 0 {
		t.Errorf("after all: %v %+v", trust, got)
	}
}

// Under any loss, delay, doubling, order and kills: what is in force is what some planner made, epochs never go back, and
// between views trust only falls.
func TestWhateverComes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f, now := New(Config{}), 100*sec
		var made []plan.View
		var epoch uint64
		trust := 0.0
		for range rapid.IntRange(5, 60).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(r, "ms")) * time.Millisecond
			taken := false
			switch rapid.IntRange(0, 3).Draw(r, "what") {
			case 0: // a planner makes one, which may come at any time, and again
				made = append(made, view(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "by"), rapid.Uint64Range(0, 5).Draw(r, "epoch"),
					now+time.Duration(rapid.IntRange(-9, 9).Draw(r, "skew"))*sec, rapid.Float64Range(0.5, 1).Draw(r, "factor"), 1, 1))
			case 1, 2:
				if len(made) > 0 {
					why, _ := f.Take(now, rapid.SampledFrom(made).Draw(r, "which"), ready(3))
					taken = why == Taken
				}
			}
			if f.Epoch() < epoch {
				r.Fatalf("epoch %d after %d", f.Epoch(), epoch)
			}
			epoch = f.Epoch()
			got, now := f.Now(now)
			if !taken && now > trust {
				r.Fatalf("trust grew from %v to %v by itself", trust, now)
			}
			trust = now
			held, _ := f.Held()
			if held != nil && !slices.ContainsFunc(made, func(v plan.View) bool {
				return v.Planner == held.Planner && v.Made == held.Made && v.Epoch == held.Epoch && v.Servers[0] == held.Servers[0]
			}) {
				r.Fatal("nobody made this view")
			}
			for _, s := range got.Servers {
				if !(s.Factor >= plan.LeastFactor && s.Factor <= 1) {
					r.Fatalf("a factor of %v", s.Factor)
				}
			}
		}
	})
}
