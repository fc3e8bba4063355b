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

// starts has the list tell that a cache starts now.
func (r *rig) starts(id string) {
	r.list.Set(world.Member{ID: id, Addr: "127.0.0.1:999", Zone: "a", Kind: "m2", Weight: 1, Started: r.list.Log.Now()})
}

// budgets are what planners had for a cache, with each look that they took.
type budgets struct {
	mu   sync.Mutex
	list []spell
}

type spell struct {
	at     time.Time
	budget float64
}

// look notes a planner's budget for a cache; on its loop.
func (b *budgets) look(p *running, id string) {
	for _, x := range p.plan.Explain() {
		if x.ID == id && x.Allow > 0 {
			b.mu.Lock()
			b.list = append(b.list, spell{time.Now(), x.Allow})
			b.mu.Unlock()
		}
	}
}

// watch looks again and again. Its timer comes between any two of the planner's ticks: both are set anew after each.
func (b *budgets) watch(p *running, id string) {
	var again func()
	again = func() {
		b.look(p, id)
		p.loop.After(p.cfg.Interval/5, again)
	}
	p.on(again)
}

// most is the largest that any planner had in that time.
func (b *budgets) most(since time.Time) (most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.list {
		if !s.at.Before(since) {
			most = max(most, s.budget)
		}
	}
	return most
}

// Two planners and uneven forwarders, a cache that starts: planners are killed and come back, forwarders go over to the other
// one and back, and some start anew. What all of them may send to it, by the views that are valid there, is never over the
// largest budget that a planner had while these were.
func TestGrantsWhilePlannersDie(t *testing.T) {
	r := newRig(t, 10)
	const valid = time.Second
	start := func(id, at string) *running {
		return r.plans(id, at, func(cfg *Config) { cfg.Plan.Valid = valid })
	}
	planners := []*running{start("p1", ""), start("p2", "")}
	addrs := []string{planners[0].Addr().String(), planners[1].Addr().String()}
	var b budgets
	b.watch(planners[0], r.ids[0])
	b.watch(planners[1], r.ids[0])
	c := r.crowd()
	c.load = func(n *node) {
		var number int
		fmt.Sscanf(n.name, "n%d", &number)
		for _, id := range r.ids {
			for range 2 + 3*number {
				n.Request("k", "t")
				n.Attempt(id, false, policy.OK, 5*ms, true, false)
			}
		}
	}
	const nodes = 12
	for i := range nodes {
		c.join(fmt.Sprintf("n%d", i), func(cfg *forwarder.Config) { cfg.Fade = time.Second }, planners[i%2].Addr(), planners[1-i%2].Addr())
	}
	// sum is what all may send, and how many are limited.
	sum := func() (sum float64, limited int) {
		c.on(func() {
			for _, n := range c.list {
				if n.gone || !strings.Contains(n.Status(), "trusted 1.00") {
					continue
				}
				for _, s := range n.view.Servers {
					if s.ID == r.ids[0] && s.Allow > 0 {
						sum += s.Allow
						limited++
					}
				}
			}
		})
		return sum, limited
	}
	worst := 0.0
	var dead *running
	until := func(what string, is func(limited int) bool) {
		t.Helper()
		eventually(t, what, func() bool {
			s, limited := sum()
			for _, p := range planners { // what was granted before that has a budget noted
				if p != dead {
					p.on(func() { b.look(p, r.ids[0]) })
				}
			}
			most := b.most(time.Now().Add(-valid - 2*time.Second))
			if s > 0 && most > 0 {
				worst = max(worst, s/most)
			}
			return is(limited)
		})
	}
	until("all are heard", func(int) bool {
		heard := 0
		for _, p := range planners {
			p.on(func() { heard += p.plan.ForwarderCount() })
		}
		return heard == 2*nodes
	})
	r.starts(r.ids[0])
	until("all are limited", func(limited int) bool { return limited == nodes })
	for round := range 4 {
		i := round % 2
		planners[i].on(func() { // no more is granted from here on
			b.look(planners[i], r.ids[0])
			clear(planners[i].entries)
		})
		dead = planners[i]
		dead.end()
		until("all are limited by the other", func(limited int) bool {
			yes := limited == nodes
			c.on(func() {
				for _, n := range c.list {
					yes = yes && strings.Contains(n.Status(), "view of "+planners[1-i].cfg.Plan.ID)
				}
			})
			return yes
		})
		planners[i] = start([]string{"p1", "p2"}[i], addrs[i])
		b.watch(planners[i], r.ids[0])
		// One forwarder starts anew.
		old := c.list[round]
		c.on(func() { old.Close(); old.gone = true })
		fresh := c.join(old.name, func(cfg *forwarder.Config) { cfg.Fade = time.Second }, planners[0].Addr(), planners[1].Addr())
		c.on(func() { c.list = append(append(c.list[:round:round], fresh), c.list[round+1:nodes]...) })
		until("all are heard again", func(limited int) bool {
			heard := 0
			planners[i].on(func() { heard = planners[i].plan.ForwarderCount() })
			return heard == nodes && limited == nodes
		})
	}
	// All start anew at once: half of them hear the one planner first, and half the other.
	killed := worst
	worst = 0
	for range 3 {
		fresh := make([]*node, nodes)
		c.on(func() {
			for _, n := range c.list {
				n.Close()
				n.gone = true
			}
		})
		for i := range fresh {
			fresh[i] = c.join(fmt.Sprintf("n%d", i), func(cfg *forwarder.Config) { cfg.Fade = time.Second }, planners[i%2].Addr(), planners[1-i%2].Addr())
		}
		c.on(func() { c.list = fresh })
		until("all are limited again", func(limited int) bool {
			up := 0
			c.on(func() {
				for _, n := range c.list {
					up += strings.Count(n.Status(), " up ")
				}
			})
			return limited == nodes && up == 2*nodes
		})
	}
	t.Logf("as all start anew, the largest sum was %.3f of the largest budget of its time", worst)
	if worst > 1 || worst == 0 {
		t.Errorf("as all start anew, the largest sum was %.3f of the largest budget of its time", worst)
	}
	worst = killed
	t.Logf("the largest sum was %.3f of the largest budget of its time", worst)
	if worst > 1 || worst < 0.5 {
		t.Errorf("the largest sum was %.3f of the largest budget of its time", worst)
	}
}

// What a planner grants that is not followed counts at once, if it is less.
func TestTheOtherPlannersGrants(t *testing.T) {
	r := newRig(t, 8)
	a, b := r.told("a"), r.told("b")
	c := r.crowd()
	n := c.join("n", nil, addrOf(a.scripted), addrOf(b.scripted))
	a.acknowledges(1)
	b.acknowledges(1)
	allow := func(s *told, rate, want float64) func() bool {
		return func() (is bool) {
			change := s.change(0)
			change.Valid, change.Grants, change.Answers = 90*time.Second, []plan.Grant{{ID: r.ids[0], Rate: rate}}, s.lastDigest()
			s.send(change)
			s.acknowledges(1)
			c.on(func() {
				is = len(n.view.Servers) == 1 && n.view.Servers[0].Allow == want && strings.Contains(n.Status(), "view of a")
			})
			return is
		}
	}
	eventually(t, "a's grant", allow(a, 8, 8))
	eventually(t, "b's, which is less", allow(b, 3, 3))
	eventually(t, "a's again", allow(b, 9, 8))
}
