package follow

import (
	"slices"
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
			Servers: []policy.ServerView{{ID: "c1", Factor: 0.5}}, Grants: []plan.Grant{{ID: "c0", Rate: 8}}, Answers: x.answers, After: x.after}
		c.Sum = plan.Sum(map[string]float64{"c1": 0.5}, 0, nil, nil)
		why, err := f.TakeChange(at+x.comes, c, ready(4))
		v, _ := f.Now(at + x.comes)
		granted := v.Servers[0].Allow == 8
		if why != Taken || granted != x.fresh || (f.Stale == 0) != x.fresh || v.Servers[len(v.Servers)-1] != (policy.ServerView{ID: "c1", Factor: 0.5}) {
			t.Errorf("%s: %s, %v, %+v, %d stale", name, why, err, v.Servers, f.Stale)
		}
		if len(f.sent) > mostSent {
			t.Errorf("%d digests remembered", len(f.sent))
		}
	}
}

// Two planners grant: a node takes the lesser as long as both run, whichever planner it follows and whichever spoke last, and
// only for servers that the followed one has limited.
// Guards against nodes that follow one or the other and get the larger part from it: together they would be over the budget.
func TestTheLeastOfTwoPlannersGrants(t *testing.T) {
	f, now := New(Config{}), 100*sec
	made := map[string]time.Duration{}
	tell := func(planner string, grants ...plan.Grant) {
		t.Helper()
		f.Sent(now, uint64(now/sec))
		made[planner]++
		c := plan.Change{Planner: planner, Made: made[planner], Valid: 3 * sec, History: 1, Revision: 1, Count: 4, HotSet: true, TenantsSet: true,
			Sum: plan.Sum(nil, 0, nil, nil), Grants: grants, Answers: uint64(now / sec)}
		want := Taken
		if planner != "a" {
			want = Another
		}
		if why, err := f.TakeChange(now, c, ready(4)); why != want {
			t.Fatal(why, err)
		}
	}
	is := func(want ...policy.ServerView) {
		t.Helper()
		if v, trust := f.Now(now); trust != 1 || !slices.Equal(v.Servers, want) {
			t.Errorf("%+v, trusted %v, want %+v", v.Servers, trust, want)
		}
	}
	share := func(id string, allow float64) policy.ServerView {
		return policy.ServerView{ID: id, Factor: 1, Allow: allow}
	}
	tell("a", plan.Grant{ID: "c0", Rate: 8})
	is(share("c0", 8))
	turns := f.Turns()
	tell("b", plan.Grant{ID: "c0", Rate: 3}, plan.Grant{ID: "c1", Rate: 1})
	if is(share("c0", 3)); f.Turns() == turns {
		t.Error("less is no news")
	}
	turns = f.Turns()
	tell("b", plan.Grant{ID: "c0", Rate: 9})
	if is(share("c0", 8)); f.Turns() == turns {
		t.Error("more is no news")
	}
	tell("b", plan.Grant{ID: "c0", Rate: 2})
	now += 2 * sec
	tell("a", plan.Grant{ID: "c0", Rate: 7})
	is(share("c0", 2))
	now += 2 * sec // b's has run out
	tell("a", plan.Grant{ID: "c0", Rate: 7})
	is(share("c0", 7))
}
