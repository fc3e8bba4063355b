package roster

import (
	"fmt"
	"testing"
	"time"

	"lapisshelf/policy"
)

// BenchmarkFleet simulates whole fleets of followers in virtual time. It reports the calls per second while nothing changes, the calls
// caused by one change, the worst second of an outage of 90 s, and when the last node learns of a change made at its end. The counts
// are the same in each run; docs/CAPACITY.md has them.
func BenchmarkFleet(b *testing.B) {
	for _, x := range []struct {
		nodes int
		calls float64
	}{{300, 100}, {450, 100}, {950, 212}, {1900, 100}, {1900, 423}} {
		b.Run(fmt.Sprintf("nodes=%d/calls=%g", x.nodes, x.calls), func(b *testing.B) {
			for range b.N {
				m := newModel(b, longPoll, 1, x.nodes, func(c *Config) {
					scenario{style: longPoll, nodes: x.nodes}.config(20 * time.Second)(c)
					c.CallRate = x.calls
				})
				m.set("k", entry("s", policy.Ready))
				m.start()
				m.run(2 * time.Minute) // the waits of the nodes have drifted apart
				clear(m.callsBySecond)
				before := m.calls
				m.run(15 * time.Minute)
				b.ReportMetric(float64(m.calls-before)/900, "quiet-calls/s")
				before = m.calls
				m.set("k", entry("s", policy.Draining))
				m.run(time.Second)
				b.ReportMetric(float64(m.calls-before), "calls-of-a-change")
				unavailable := true
				m.intercept = func(p *peer, c Call) bool {
					if unavailable {
						outageKinds[0].handle(m, p, c)
					}
					return unavailable
				}
				m.failOutstanding()
				m.run(5 * time.Second)
				clear(m.callsBySecond)
				m.run(90 * time.Second)
				worst := 0
				for _, n := range m.callsBySecond {
					worst = max(worst, n)
				}
				b.ReportMetric(float64(worst), "outage-calls/s")
				unavailable = false
				m.set("k", entry("s", policy.Ready))
				at, last := m.now, time.Duration(0)
				m.run(time.Minute)
				for _, p := range m.followers {
					if p.servers["s"].State != policy.Ready {
						b.Fatal("a node never learns of the change")
					}
					last = max(last, p.reportedAt["s"]-at)
				}
				b.ReportMetric(last.Seconds(), "last-knows-s")
			}
		})
	}
}
