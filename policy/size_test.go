package policy

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"
)

// These benchmarks measure the cost of a request, a list change and a balancer by the number of caches, from which
// docs/CAPACITY.md extrapolates. The counts of allocations are reproducible on a busy machine, the times are not.

var listSizes = []int{80, 105, 210, 420}

// answeringClient answers each attempt after 2 ms, in order.
type answeringClient struct {
	b       *Balancer
	now     time.Duration
	pending []sentAttempt
	n       map[string]int
}

func (p *answeringClient) Send(id, server string, wait, by time.Duration) {
	p.pending = append(p.pending, sentAttempt{id: id, server: server, n: p.n[id]})
	p.n[id]++
}
func (p *answeringClient) Refuse(string, time.Duration) {}
func (p *answeringClient) Fail(string)                  {}
func (p *answeringClient) Cancel(string, int)           {}
func (p *answeringClient) Timer(time.Duration, string)  {}
func (p *answeringClient) Subscribe()                   {}
func (p *answeringClient) Probe(string)                 {}
func (p *answeringClient) Log(string)                   {}

func newAnsweringClient(caches int) *answeringClient {
	set := settings()
	set.Balancers = 1900
	p := &answeringClient{now: time.Hour, n: map[string]int{}}
	p.b = New(p.now, set, 1, p)
	p.b.Members(p.now, ListSaved, serverList(set, caches))
	return p
}

// serve runs one request through to its answer, at a rate of 842 requests per second.
func (p *answeringClient) serve(i int, key string) {
	p.now += time.Second / 842
	id := fmt.Sprint("r", i)
	p.b.Request(p.now, Request{ID: id, Class: "read", Key: key, Remaining: time.Second})
	for _, s := range p.pending {
		p.b.Result(p.now+2*ms, Result{ID: s.id, N: s.n, Server: s.server, Outcome: OK, Final: true})
	}
	p.pending = p.pending[:0]
	delete(p.n, id)
	if i%4 == 0 {
		p.b.Timer(p.now, "sweep")
	}
}

// keySource returns a generator of keys: all new, or Zipf-distributed with exponent 1.1.
func keySource(kind string) func(i int) string {
	if kind == "new" {
		return func(i int) string { return fmt.Sprint("object/", i) }
	}
	z := rand.NewZipf(rand.New(rand.NewSource(1)), 1.1, 5, 1<<40)
	return func(int) string { return fmt.Sprint("object/", z.Uint64()) }
}

func BenchmarkRequestBySize(b *testing.B) {
	for _, kind := range []string{"new", "zipf"} {
		for _, n := range listSizes {
			b.Run(fmt.Sprintf("keys=%s/caches=%d", kind, n), func(b *testing.B) {
				p, next := newAnsweringClient(n), keySource(kind)
				for i := range 2000 {
					p.serve(i, next(i))
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					p.serve(2000+i, next(2000+i))
				}
			})
		}
	}
}

// One server's weight changes: the list is sorted again and the cached scores are dropped.
func BenchmarkListChangeBySize(b *testing.B) {
	for _, n := range listSizes {
		b.Run(fmt.Sprintf("caches=%d", n), func(b *testing.B) {
			p := newAnsweringClient(n)
			b.ReportAllocs()
			for i := range b.N {
				p.b.Members(p.now, ListChanges, []Server{{ID: "c07", Zone: "z1", Cell: 3, Weight: float64(1 + i%2)}})
			}
		})
	}
}

// A view with a factor for each server, as planners of protocol 1 without changes send it twice per second.
func BenchmarkViewBySize(b *testing.B) {
	for _, n := range listSizes {
		b.Run(fmt.Sprintf("caches=%d", n), func(b *testing.B) {
			p := newAnsweringClient(n)
			var v View
			for _, s := range p.b.caches {
				v.Servers = append(v.Servers, ServerView{ID: s.ID, Factor: 1})
			}
			b.ReportAllocs()
			for range b.N {
				p.b.View(p.now, v)
			}
		})
	}
}

// The memory held by a balancer after four new keys per cache, with no request open.
func BenchmarkMemoryBySize(b *testing.B) {
	for _, n := range listSizes {
		b.Run(fmt.Sprintf("caches=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			var held [4]*answeringClient
			for range b.N {
				clear(held[:])
				runtime.GC()
				runtime.ReadMemStats(&before)
				for k := range held {
					held[k] = newAnsweringClient(n)
					next := keySource("new")
					for i := range 4 * n {
						held[k].serve(i, next(i))
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(held)), "bytes-held")
			runtime.KeepAlive(held)
		})
	}
}
