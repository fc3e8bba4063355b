package roster

import (
	"fmt"
	"testing"
	"time"

	"lapisshelf/policy"
)

// BenchmarkFleet plays whole fleets of followers in virtual time: the calls a second while nothing changes, those of one change, the
// worst second of an outage of a minute and a half, and when the last node knows of what changed at its end. Its counts are the
// same in each run; docs/CAPACITY.md has them.
func BenchmarkFleet(b *testing.B) {
	for _, x := range []struct {
		nodes int
		calls float64
	}{{300, 100}, {450, 100}, {950, 212}, {1900, 100}, {1900, 423}} {
		b.Run(fmt.Sprintf("nodes=%d/calls=%g", x.nodes, x.calls), func(b *testing.B) {
			for range b.N {
				m := newModel(b, poll, 1, x.nodes, func(c *Config) {
					fleet{style: poll, nodes: x.nodes}.config(20 * time.Second)(c)
					c.CallRate = x.calls
				})
				m.set("k", entry("s", policy.Ready))
				m.start()
				m.run(2 * time.Minute) // waits have drifted apart
				clear(m.byTime)
				before := m.calls
				m.run(15 * time.Minute)
				b.ReportMetric(float64(m.calls-before)/900, "quiet-calls/s")
				before = m.calls
				m.set("k", entry("s", policy.Draining))
				m.run(time.Second)
				b.ReportMetric(float64(m.calls-before), "calls-of-a-change")
				away := true
				m.fails = func(p *peer, c Call) bool {
					if away {
						outages[0].fail(m, p, c)
					}
					return away
				}
				m.breakAll()
				m.run(5 * time.Second)
				clear(m.byTime)
				m.run(90 * time.Second)
				most := 0
				for _, n := range m.byTime {
					most = max(most, n)
				}
				b.ReportMetric(float64(most), "outage-calls/s")
				away = false
				m.set("k", entry("s", policy.Ready))
				at, last := m.now, time.Duration(0)
				m.run(time.Minute)
				for _, p := range m.followers {
					if p.told["s"].State != policy.Ready {
						b.Fatal("never known")
					}
					last = max(last, p.when["s"]-at)
				}
				b.ReportMetric(last.Seconds(), "last-knows-s")
			}
		})
	}
}
