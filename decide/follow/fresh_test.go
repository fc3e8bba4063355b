package follow

import (
	"testing"
	"time"

	"lapisshelf/decide/plan"
	"lapisshelf/policy"
)

// Grants that may have been on their way for over a second are left out, what they came with is taken: the digest that they
// answer, and for how long the planner had it, tell by this node's clock alone.
// Guards against a node or a planner that was frozen: it would act on grants that were given to others since.
func TestGrantsTooLongOnTheirWay(t *testing.T) {
	const ms = time.Millisecond
	for name, x := range map[string]struct {
		answers      uint64
		after, comes time.Duration
		fresh        bool
	}{
		"at once":                               {70, 0, 0, true},
		"in a second":                           {70, 0, sec, true},
		"later":                                 {70, 0, sec + ms, false},
		"the planner had the digest for long":   {70, 5 * sec, 6 * sec, true},
		"and then it took longer":               {70, 5 * sec, 6*sec + ms, false},
		"had it longer than it can have had it": {70, 9 * sec, sec, false},
		"of a digest before":                    {69, sec, sec, true},
		"one that is forgotten":                 {1, 70 * sec, 0, false},
		"one that never went":                   {71, 0, 0, false},
	} {
		f := New(Config{})
		at := 100 * sec
		for seq := range uint64(70) {
			at += sec
			f.Sent(at, seq+1)
		}
		c := plan.Change{Planner: "a", Made: 1, Valid: 3 * sec, History: 1, Revision: 1, Count: 4, HotSet: true, TenantsSet: true,
			Servers: []policy.Share{{ID: "c1", Factor: 0.5}}, Grants: []plan.Grant{{ID: "c0", Rate: 8}}, Answers: x.answers, After: x.after}
		c.Sum = plan.Sum(map[string]float64{"c1": 0.5}, 0, nil, nil)
		why, err := f.TakeChange(at+x.comes, c, ready(4))
		v, _ := f.Now(at + x.comes)
		granted := v.Servers[0].Allow == 8
		if why != Taken || granted != x.fresh || (f.Stale == 0) != x.fresh || v.Servers[len(v.Servers)-1] != (policy.Share{ID: "c1", Factor: 0.5}) {
			t.Errorf("%s: %s, %v, %+v, %d stale", name, why, err, v.Servers, f.Stale)
		}
		if len(f.sent) > mostSent {
			t.Errorf("%d digests remembered", len(f.sent))
		}
	}
}
