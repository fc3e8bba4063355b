package planner

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"lapisshelf/decide/plan"
	"lapisshelf/internal/forwarder"
	"lapisshelf/lab/world"
	"lapisshelf/policy"
)

// restartCache changes the cache's entry in the server list to a start time of now, which makes it cold.
func (r *testEnv) restartCache(id string) {
	r.list.Set(world.Member{ID: id, Addr: "127.0.0.1:999", Zone: "a", Kind: "m2", Weight: 1, Started: r.list.Log.Now()})
}

// budgetLog holds samples of the planners' budgets for a cold cache.
type budgetLog struct {
	mu      sync.Mutex
	samples []budgetSample
}

type budgetSample struct {
	at     time.Time
	budget float64
}

// record adds a sample of a planner's budget for a cache. It must be called on the planner's loop.
func (b *budgetLog) record(p *testPlanner, id string) {
	for _, x := range p.plan.Explain() {
		if x.ID == id && x.Allow > 0 {
			b.mu.Lock()
			b.samples = append(b.samples, budgetSample{time.Now(), x.Allow})
			b.mu.Unlock()
		}
	}
}

// recordPeriodically records a sample five times per update interval, so that there is one between any two updates.
func (b *budgetLog) recordPeriodically(p *testPlanner, id string) {
	var again func()
	again = func() {
		b.record(p, id)
		p.loop.After(p.cfg.Interval/5, again)
	}
	p.onLoop(again)
}

// largest returns the largest budget recorded since the given time.
func (b *budgetLog) largest(since time.Time) (most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.samples {
		if !s.at.Before(since) {
			most = max(most, s.budget)
		}
	}
	return most
}

// With two planners, forwarders with different loads and a cold cache, planners are stopped and restarted, forwarders switch
// between them, and some forwarders restart. The sum of the rates that all forwarders may send to the cache, by the views that
// are valid there, never exceeds the largest budget that a planner had while those views were valid.
func TestGrantsWhilePlannersDie(t *testing.T) {
	r := newTestEnv(t, 10)
	const valid = time.Second
	start := func(id, at string) *testPlanner {
		return r.startPlanner(id, at, func(cfg *Config) { cfg.Plan.Valid = valid })
	}
	planners := []*testPlanner{start("p1", ""), start("p2", "")}
	addrs := []string{planners[0].Addr().String(), planners[1].Addr().String()}
	var b budgetLog
	b.recordPeriodically(planners[0], r.cacheIDs[0])
	b.recordPeriodically(planners[1], r.cacheIDs[0])
	c := r.newForwarderGroup()
	c.load = func(n *node) {
		var number int
		fmt.Sscanf(n.name, "n%d", &number)
		for _, id := range r.cacheIDs {
			for range 2 + 3*number {
				n.Request("k", "t")
				n.Attempt(id, false, policy.OK, 5*ms, true, false)
			}
		}
	}
	const nodes = 12
	for i := range nodes {
		c.add(fmt.Sprintf("n%d", i), func(cfg *forwarder.Config) { cfg.Fade = time.Second }, planners[i%2].Addr(), planners[1-i%2].Addr())
	}
	// sum returns the total rate that all forwarders may send to the cache, and how many of them have a limit.
	sum := func() (sum float64, limited int) {
		c.onLoop(func() {
			for _, n := range c.nodes {
				if n.closed || !strings.Contains(n.Status(), "trusted 1.00") {
					continue
				}
				for _, s := range n.view.Servers {
					if s.ID == r.cacheIDs[0] && s.Allow > 0 {
						sum += s.Allow
						limited++
					}
				}
			}
		})
		return sum, limited
	}
	worst := 0.0
	var dead *testPlanner
	await := func(what string, cond func(limited int) bool) {
		t.Helper()
		eventually(t, what, func() bool {
			s, limited := sum()
			for _, p := range planners { // records the budget behind any grant made before this moment
				if p != dead {
					p.onLoop(func() { b.record(p, r.cacheIDs[0]) })
				}
			}
			budget := b.largest(time.Now().Add(-valid - 2*time.Second))
			if s > 0 && budget > 0 {
				worst = max(worst, s/budget)
			}
			return cond(limited)
		})
	}
	await("the planners have digests of all forwarders", func(int) bool {
		heard := 0
		for _, p := range planners {
			p.onLoop(func() { heard += p.plan.ForwarderCount() })
		}
		return heard == 2*nodes
	})
	r.restartCache(r.cacheIDs[0])
	await("all forwarders are limited", func(limited int) bool { return limited == nodes })
	for round := range 4 {
		i := round % 2
		planners[i].onLoop(func() { // without entries the planner sends nothing, so it makes no more grants
			b.record(planners[i], r.cacheIDs[0])
			clear(planners[i].entries)
		})
		dead = planners[i]
		dead.shutdown()
		await("all forwarders are limited by the other planner", func(limited int) bool {
			yes := limited == nodes
			c.onLoop(func() {
				for _, n := range c.nodes {
					yes = yes && strings.Contains(n.Status(), "view of "+planners[1-i].cfg.Plan.ID)
				}
			})
			return yes
		})
		planners[i] = start([]string{"p1", "p2"}[i], addrs[i])
		b.recordPeriodically(planners[i], r.cacheIDs[0])
		// One forwarder restarts.
		old := c.nodes[round]
		c.onLoop(func() { old.Close(); old.closed = true })
		fresh := c.add(old.name, func(cfg *forwarder.Config) { cfg.Fade = time.Second }, planners[0].Addr(), planners[1].Addr())
		c.onLoop(func() { c.nodes = append(append(c.nodes[:round:round], fresh), c.nodes[round+1:nodes]...) })
		await("the restarted planner has digests of all forwarders", func(limited int) bool {
			heard := 0
			planners[i].onLoop(func() { heard = planners[i].plan.ForwarderCount() })
			return heard == nodes && limited == nodes
		})
	}
	// All forwarders restart at once. Half of them list one planner first, half the other.
	killed := worst
	worst = 0
	for range 3 {
		fresh := make([]*node, nodes)
		c.onLoop(func() {
			for _, n := range c.nodes {
				n.Close()
				n.closed = true
			}
		})
		for i := range fresh {
			fresh[i] = c.add(fmt.Sprintf("n%d", i), func(cfg *forwarder.Config) { cfg.Fade = time.Second }, planners[i%2].Addr(), planners[1-i%2].Addr())
		}
		c.onLoop(func() { c.nodes = fresh })
		await("all forwarders are limited again", func(limited int) bool {
			up := 0
			c.onLoop(func() {
				for _, n := range c.nodes {
					up += strings.Count(n.Status(), " up ")
				}
			})
			return limited == nodes && up == 2*nodes
		})
	}
	t.Logf("as all restart, the largest sum was %.3f of the largest budget at that time", worst)
	if worst > 1 || worst == 0 {
		t.Errorf("as all restart, the largest sum was %.3f of the largest budget at that time", worst)
	}
	worst = killed
	t.Logf("the largest sum was %.3f of the largest budget at that time", worst)
	if worst > 1 || worst < 0.5 {
		t.Errorf("the largest sum was %.3f of the largest budget at that time", worst)
	}
}

// A grant of a planner that is not followed takes effect at once if it is lower than that of the followed one.
func TestTheOtherPlannersGrants(t *testing.T) {
	r := newTestEnv(t, 8)
	a, b := r.startFakePlanner("a"), r.startFakePlanner("b")
	c := r.newForwarderGroup()
	n := c.add("n", nil, addrOf(a.fakeServer), addrOf(b.fakeServer))
	a.awaitHolds(1)
	b.awaitHolds(1)
	allow := func(s *fakePlanner, rate, want float64) func() bool {
		return func() (is bool) {
			change := s.changeFrom(0)
			change.Valid, change.Grants, change.Answers = 90*time.Second, []plan.Grant{{ID: r.cacheIDs[0], Rate: rate}}, s.lastDigest()
			s.send(change)
			s.awaitHolds(1)
			c.onLoop(func() {
				is = len(n.view.Servers) == 1 && n.view.Servers[0].Allow == want && strings.Contains(n.Status(), "view of a")
			})
			return is
		}
	}
	eventually(t, "the grant of a is in force", allow(a, 8, 8))
	eventually(t, "the lower grant of b is in force", allow(b, 3, 3))
	eventually(t, "the grant of a is in force again", allow(b, 9, 8))
}
