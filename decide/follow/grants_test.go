package follow

import (
	"slices"
	"testing"
	"time"

	"lapisshelf/decide/plan"
	"lapisshelf/policy"
)

// Grants that may have been in transit for over a second are dropped, and the rest of the change is applied. The transit time
// follows from the digest that they answer and how long the planner held it, by this node's clock alone.
// Guards against a node or planner that was frozen: the budget has since been granted to others.
func TestGrantsTooLongOnTheirWay(t *testing.T) {
	const ms = time.Millisecond
	for name, x := range map[string]struct {
		answers      uint64
		after, comes time.Duration
		fresh        bool
	}{
		"without delay":                    {70, 0, 0, true},
		"after a second":                   {70, 0, sec, true},
		"later":                            {70, 0, sec + ms, false},
		"planner held the digest long":     {70, 5 * sec, 6 * sec, true},
		"held long, and longer in transit": {70, 5 * sec, 6*sec + ms, false},
		"held longer than possible":        {70, 9 * sec, sec, false},
		"answers an earlier digest":        {69, sec, sec, true},
		"answers a digest no longer known": {1, 70 * sec, 0, false},
		"answers a digest never sent":      {71, 0, 0, false},
	} {
		f := New(Config{})
		at := 100 * sec
		for seq := range uint64(70) {
			at += sec
			f.DigestSent(at, seq+1)
		}
		c := plan.Change{Planner: "a", Made: 1, Valid: 3 * sec, History: 1, Revision: 1, Count: 4, HotSet: true, TenantsSet: true,
			Servers: []policy.ServerView{{ID: "c1", Factor: 0.5}}, Grants: []plan.Grant{{ID: "c0", Rate: 8}}, Answers: x.answers, After: x.after}
		c.Sum = plan.Sum(map[string]float64{"c1": 0.5}, 0, nil, nil)
		why, err := f.TakeChange(at+x.comes, c, ready(4))
		v, _ := f.Now(at + x.comes)
		granted := v.Servers[0].Allow == 8
		if why != Accepted || granted != x.fresh || (f.StaleGrants == 0) != x.fresh || v.Servers[len(v.Servers)-1] != (policy.ServerView{ID: "c1", Factor: 0.5}) {
			t.Errorf("%s: %s, %v, %+v, %d stale grants", name, why, err, v.Servers, f.StaleGrants)
		}
		if len(f.sentDigests) > maxSentDigests {
			t.Errorf("%d sent digests are kept", len(f.sentDigests))
		}
	}
}

// With grants from two planners, a node uses the smaller one while both are valid, whichever planner it follows and whichever
// was heard last, and only for servers that the followed planner limits.
// Guards against nodes that follow different planners and each use the larger grant: together they would exceed the budget.
func TestTheLeastOfTwoPlannersGrants(t *testing.T) {
	f, now := New(Config{}), 100*sec
	made := map[string]time.Duration{}
	deliver := func(planner string, grants ...plan.Grant) {
		t.Helper()
		f.DigestSent(now, uint64(now/sec))
		made[planner]++
		c := plan.Change{Planner: planner, Made: made[planner], Valid: 3 * sec, History: 1, Revision: 1, Count: 4, HotSet: true, TenantsSet: true,
			Sum: plan.Sum(nil, 0, nil, nil), Grants: grants, Answers: uint64(now / sec)}
		want := Accepted
		if planner != "a" {
			want = OtherPlanner
		}
		if why, err := f.TakeChange(now, c, ready(4)); why != want {
			t.Fatal(why, err)
		}
	}
	is := func(want ...policy.ServerView) {
		t.Helper()
		if v, trust := f.Now(now); trust != 1 || !slices.Equal(v.Servers, want) {
			t.Errorf("%+v, trust %v, want %+v", v.Servers, trust, want)
		}
	}
	share := func(id string, allow float64) policy.ServerView {
		return policy.ServerView{ID: id, Factor: 1, Allow: allow}
	}
	deliver("a", plan.Grant{ID: "c0", Rate: 8})
	is(share("c0", 8))
	turns := f.Version()
	deliver("b", plan.Grant{ID: "c0", Rate: 3}, plan.Grant{ID: "c1", Rate: 1})
	if is(share("c0", 3)); f.Version() == turns {
		t.Error("a smaller grant did not make a new version")
	}
	turns = f.Version()
	deliver("b", plan.Grant{ID: "c0", Rate: 9})
	if is(share("c0", 8)); f.Version() == turns {
		t.Error("a larger grant did not make a new version")
	}
	deliver("b", plan.Grant{ID: "c0", Rate: 2})
	now += 2 * sec
	deliver("a", plan.Grant{ID: "c0", Rate: 7})
	is(share("c0", 2))
	now += 2 * sec // b's grant has expired
	deliver("a", plan.Grant{ID: "c0", Rate: 7})
	is(share("c0", 7))
}
