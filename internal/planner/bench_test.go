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

// BenchmarkPlannerAndForwarders runs a planner and forwarders over loopback in one process at the default intervals, once
// with full digests and views and once with changes. It reports the cost per forwarder and second of both ends and the
// generated load together; a profile shows how it is divided.
func BenchmarkPlannerAndForwarders(b *testing.B) {
	const forwarders, caches = 300, 420
	for name, legacy := range map[string]bool{"whole": true, "changes": false} {
		b.Run(fmt.Sprintf("%s/%dx%d", name, forwarders, caches), func(b *testing.B) {
			r := newTestEnv(b, caches)
			p := r.startPlanner("p1", "", func(cfg *Config) { cfg.Interval = 500 * ms })
			rng := rand.New(rand.NewPCG(1, 1))
			group := r.newForwarderGroup()
			before := memoryInUse()
			group.load = func(n *node) {
				for range 842 {
					n.Request("", "t")
					o := policy.OK
					if rng.IntN(100) == 0 {
						o = policy.TimedOut
					}
					n.Attempt(r.cacheIDs[rng.IntN(len(r.cacheIDs))], false, o, time.Duration(rng.IntN(20))*ms, o == policy.OK, false)
				}
			}
			for i := range forwarders {
				group.add(fmt.Sprintf("f%d", i), func(cfg *forwarder.Config) { cfg.Interval, cfg.Legacy = time.Second, legacy }, p.Addr())
			}
			p.eventually("the planner has digests of all forwarders", func() bool { return p.plan.ForwarderCount() == forwarders })
			time.Sleep(5 * time.Second)
			b.ResetTimer()
			cpu, start := cpuTime(), time.Now()
			var digests, in, out int64
			p.onLoop(func() { digests, in, out = p.digests, p.bytesIn.Load(), p.bytesOut.Load() })
			for range b.N {
				time.Sleep(10 * time.Second)
			}
			took := time.Since(start).Seconds() * forwarders
			b.ReportMetric((cpuTime()-cpu).Seconds()/took*1e6, "cpu-us/forwarder/s")
			p.onLoop(func() {
				b.ReportMetric(float64(p.digests-digests)/took, "digests/forwarder/s")
				b.ReportMetric(float64(p.bytesIn.Load()-in)/took, "B-in/forwarder/s")
				b.ReportMetric(float64(p.bytesOut.Load()-out)/took, "B-out/forwarder/s")
			})
			b.ReportMetric((memoryInUse()-before)/forwarders/1024, "KiB/forwarder")
		})
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
