package registry

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"lapisshelf/lab/standin"
	"lapisshelf/lab/world"
)

// BenchmarkChange measures, for lists of several lengths, the time from a change in the registry until the client reports it, and the
// bytes read and CPU time used for it, including those of the stand-in registry.
func BenchmarkChange(b *testing.B) {
	for _, k := range []Kind{Etcd, Consul} {
		for _, entries := range []int{100, 420, 1000, 10000} {
			b.Run(fmt.Sprintf("%s/%d", k, entries), func(b *testing.B) {
				var t testing.T
				r := startClient(&t, k, standin.RegistryOptions{}, func(c *Config) { c.Roster.PageSize, c.Roster.WatchTimeout = 500, time.Minute })
				r.registry.UpdateStore(func(_ time.Duration, s *world.Store) {
					for i := range entries {
						s.Put(prefix+testServer(i, 0).ID, standin.EncodeEntry(time.Now(), testServer(i, world.Serving)), 0)
					}
				})
				for !r.matchesRegistry() {
					time.Sleep(5 * ms)
				}
				runtime.GC()
				var mem runtime.MemStats
				runtime.ReadMemStats(&mem)
				_, bytes := r.registry.CallCounts()
				cpu := cpuTime()
				var took []time.Duration
				b.ResetTimer()
				for i := range b.N {
					m := testServer(i%entries, []world.Phase{world.Draining, world.Serving}[i/entries%2])
					m.Weight = float64(i + 1)
					begin := time.Now()
					r.registry.Set(m)
					for {
						r.mu.Lock()
						e := r.entries[m.ID]
						at := r.updatedAt[m.ID]
						r.mu.Unlock()
						if e.Weight == m.Weight {
							took = append(took, at.Sub(begin))
							break
						}
						time.Sleep(20 * time.Microsecond)
					}
				}
				b.StopTimer()
				slices.Sort(took)
				_, now := r.registry.CallCounts()
				b.ReportMetric(float64(took[len(took)/2].Microseconds()), "us/p50")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "us/p99")
				b.ReportMetric(float64(now-bytes)/float64(b.N), "bytes/change")
				b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-us/change")
				b.ReportMetric(float64(mem.HeapAlloc)/(1<<20), "heap-MB")
				r.onLoop(func() { r.client.Close(); r.loop.Stop() })
				r.registry.Close()
			})
		}
	}
}

// cpuTime returns the CPU time used by the process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
