package planner

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"lapisshelf/internal/forwarder"
	"lapisshelf/policy"
)

// BenchmarkTalk has forwarders and planners talk over loopback in one process for some seconds, at the default paces:
// what it costs a second and a forwarder, both ends together. Take a profile for who spends it.
func BenchmarkTalk(b *testing.B) {
	for _, c := range []struct{ forwarders, caches int }{{300, 420}} {
		b.Run(fmt.Sprintf("%dx%d", c.forwarders, c.caches), func(b *testing.B) {
			r := newRig(b, c.caches)
			p := r.plans("p1", "", func(cfg *Config) { cfg.Every = 500 * ms })
			rng := rand.New(rand.NewPCG(1, 1))
			crowd := r.crowd()
			before := memory()
			crowd.load = func(n *node) {
				for range 842 {
					n.Request("", "t")
					o := policy.OK
					if rng.IntN(100) == 0 {
						o = policy.TimedOut
					}
					n.Attempt(r.ids[rng.IntN(len(r.ids))], false, o, time.Duration(rng.IntN(20))*ms, o == policy.OK, false)
				}
			}
			for i := range c.forwarders {
				crowd.join(fmt.Sprintf("f%d", i), func(cfg *forwarder.Config) { cfg.Every = time.Second }, []netip.AddrPort{p.Addr()}...)
			}
			p.eventually("all are heard", func() bool { return p.plan.Followed() == c.forwarders })
			time.Sleep(3 * time.Second)
			b.ResetTimer()
			cpu, start := used(), time.Now()
			digests := int64(0)
			p.on(func() { digests = p.digests })
			for range b.N {
				time.Sleep(10 * time.Second)
			}
			took := time.Since(start).Seconds()
			b.ReportMetric((used()-cpu).Seconds()/took*1e6/float64(c.forwarders), "cpu-us/forwarder/s")
			p.on(func() { b.ReportMetric(float64(p.digests-digests)/took/float64(c.forwarders), "digests/forwarder/s") })
			crowd.on(func() {
				n := crowd.list[0]
				b.Logf("late %v %s %d", crowd.loop.Late, n.Status(), n.Digests)
			})
			p.on(func() {
				b.Logf("late %v conns %d digests %d refused %v", p.loop.Late, len(p.conns), p.digests, p.refused)
			})
			b.ReportMetric((memory()-before)/float64(c.forwarders)/1024, "KiB/forwarder")
		})
	}
}

func memory() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
