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

// BenchmarkChange tells the time from a change in the registry to the node's knowing, what is read and what CPU is used for
// it, the stand-in's part included, with lists of some lengths.
func BenchmarkChange(b *testing.B) {
	for _, k := range []Kind{Etcd, Consul} {
		for _, entries := range []int{100, 420, 1000, 10000} {
			b.Run(fmt.Sprintf("%s/%d", k, entries), func(b *testing.B) {
				var t testing.T
				r := start(&t, k, standin.RegistryOptions{}, func(c *Config) { c.Roster.PageSize, c.Roster.WatchTimeout = 500, time.Minute })
				r.reg.UpdateStore(func(_ time.Duration, s *world.Store) {
					for i := range entries {
						s.Put(prefix+server(i, 0).ID, standin.EncodeEntry(time.Now(), server(i, world.Serving)), 0)
					}
				})
				for !r.is() {
					time.Sleep(5 * ms)
				}
				runtime.GC()
				var mem runtime.MemStats
				runtime.ReadMemStats(&mem)
				_, bytes := r.reg.CallCounts()
				cpu := used()
				var took []time.Duration
				b.ResetTimer()
				for i := range b.N {
					m := server(i%entries, []world.Phase{world.Draining, world.Serving}[i/entries%2])
					m.Weight = float64(i + 1)
					begin := time.Now()
					r.reg.Set(m)
					for {
						r.mu.Lock()
						e := r.told[m.ID]
						at := r.when[m.ID]
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
				_, now := r.reg.CallCounts()
				b.ReportMetric(float64(took[len(took)/2].Microseconds()), "us/p50")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "us/p99")
				b.ReportMetric(float64(now-bytes)/float64(b.N), "bytes/change")
				b.ReportMetric(float64((used()-cpu).Microseconds())/float64(b.N), "cpu-us/change")
				b.ReportMetric(float64(mem.HeapAlloc)/(1<<20), "heap-MB")
				r.on(func() { r.client.Close(); r.loop.Stop() })
				r.reg.Close()
			})
		}
	}
}

func used() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
