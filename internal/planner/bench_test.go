package planner

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"lapisshelf/internal/forwarder"
	"lapisshelf/policy"
)

// BenchmarkTalk has forwarders and a planner talk over loopback in one process for some seconds, at the default paces, by
// whole digests and views and by changes: what it costs a second and a forwarder, both ends and the made-up load together.
// Take a profile for who spends it.
func BenchmarkTalk(b *testing.B) {
	const forwarders, caches = 300, 420
	for name, whole := range map[string]bool{"whole": true, "changes": false} {
		b.Run(fmt.Sprintf("%s/%dx%d", name, forwarders, caches), func(b *testing.B) {
			r := newRig(b, caches)
			p := r.plans("p1", "", func(cfg *Config) { cfg.Interval = 500 * ms })
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
			for i := range forwarders {
				crowd.join(fmt.Sprintf("f%d", i), func(cfg *forwarder.Config) { cfg.Interval, cfg.Legacy = time.Second, whole }, p.Addr())
			}
			p.eventually("all are heard", func() bool { return p.plan.ForwarderCount() == forwarders })
			time.Sleep(5 * time.Second)
			b.ResetTimer()
			cpu, start := used(), time.Now()
			var digests, in, out int64
			p.on(func() { digests, in, out = p.digests, p.in.Load(), p.sent.Load() })
			for range b.N {
				time.Sleep(10 * time.Second)
			}
			took := time.Since(start).Seconds() * forwarders
			b.ReportMetric((used()-cpu).Seconds()/took*1e6, "cpu-us/forwarder/s")
			p.on(func() {
				b.ReportMetric(float64(p.digests-digests)/took, "digests/forwarder/s")
				b.ReportMetric(float64(p.in.Load()-in)/took, "B-in/forwarder/s")
				b.ReportMetric(float64(p.sent.Load()-out)/took, "B-out/forwarder/s")
			})
			b.ReportMetric((memory()-before)/forwarders/1024, "KiB/forwarder")
		})
	}
}

func memory() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
