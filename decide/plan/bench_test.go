package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lapisshelf/policy"
)

// countCalmSecond counts a second of ordinary traffic: requests spread over the servers, one in a hundred answered late.
func countCalmSecond(rng *rand.Rand, g *Collector, servers, requests int) {
	for range requests {
		took, timely := 3*time.Millisecond, rng.IntN(100) > 0
		if !timely {
			took = 300 * time.Millisecond
		}
		g.Request(fmt.Sprint("k", rng.IntN(1e6)), "")
		g.Attempt(fmt.Sprintf("c%02d", rng.IntN(servers)), false, policy.OK, took, timely, false)
	}
}

// newBenchmark returns a planner, and digests of one second from so many forwarders.
func newBenchmark(b *testing.B, forwarders, servers, requests int, brief bool) (p *Planner, list []*Digest) {
	p = New(config())
	p.SetServers(100*sec, serverList(servers))
	rng := rand.New(rand.NewPCG(1, 2))
	g := NewCollector(100*sec, "")
	var some []*Digest
	for i := range 40 { // forty different digests are enough
		countCalmSecond(rng, g, servers, requests)
		d := g.Digest(100*sec + time.Duration(i+1)*sec)
		if brief {
			d = g.Brief(d)
		}
		some = append(some, d)
	}
	for f := range forwarders {
		d := *some[f%len(some)]
		d.From, d.Seq = fmt.Sprintf("f%04d", f), 0
		list = append(list, &d)
	}
	b.ReportAllocs()
	return p, list
}

// forSizes runs a benchmark for several numbers of nodes, servers and requests per second and node.
func forSizes(b *testing.B, run func(b *testing.B, forwarders, servers, requests int, brief bool)) {
	for _, x := range [][3]int{{400, 80, 6}, {475, 105, 842}, {1900, 420, 842}} {
		for _, brief := range []bool{false, true} {
			name := fmt.Sprintf("%dx%d/whole", x[0], x[1])
			if brief {
				name = fmt.Sprintf("%dx%d/brief", x[0], x[1])
			}
			b.Run(name, func(b *testing.B) { run(b, x[0], x[1], x[2], brief) })
		}
	}
}

// The cost of a second's digests from all forwarders, counted in two updates.
func BenchmarkDigests(b *testing.B) {
	forSizes(b, func(b *testing.B, forwarders, servers, requests int, brief bool) {
		p, list := newBenchmark(b, forwarders, servers, requests, brief)
		now := 100 * sec
		for b.Loop() {
			for i, d := range list {
				if i == len(list)/2 {
					now += sec / 2
					p.Update(now)
				}
				d.Seq++
				if err := p.Digest(now, *d); err != nil {
					b.Fatal(err)
				}
			}
			now += sec / 2
			p.Update(now)
		}
	})
}

// The cost of an update without new digests.
func BenchmarkMake(b *testing.B) {
	forSizes(b, func(b *testing.B, forwarders, servers, requests int, brief bool) {
		p, list := newBenchmark(b, forwarders, servers, requests, brief)
		now := 100 * sec
		for range 3 {
			for _, d := range list {
				d.Seq++
				p.Digest(now, *d)
			}
			now += sec / 2
			p.Update(now)
		}
		for b.Loop() {
			now += time.Microsecond
			p.Update(now)
		}
	})
}

// The cost of messages to all forwarders: a full view for each, or one change for all plus each one's grants, of which
// there are none in ordinary traffic.
func BenchmarkViews(b *testing.B) {
	forSizes(b, func(b *testing.B, forwarders, servers, requests int, brief bool) {
		p, list := newBenchmark(b, forwarders, servers, requests, brief)
		now := 100 * sec
		for _, d := range list {
			d.Seq++
			p.Digest(now, *d)
		}
		for b.Loop() {
			now += sec / 2
			p.Update(now)
			if brief {
				p.Change(now, Hold{1, p.Revision(), true})
			}
			for _, d := range list {
				if brief {
					p.Grants(now, d.From)
				} else {
					p.View(now, now, d.From)
				}
			}
		}
	})
}

// The cost of a digest at the node, first in full and then in brief.
func BenchmarkBrief(b *testing.B) {
	for _, x := range [][2]int{{80, 6}, {420, 842}} {
		b.Run(fmt.Sprintf("%dservers,%drequests", x[0], x[1]), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			g := NewCollector(100*sec, "f")
			now := 100 * sec
			for b.Loop() {
				b.StopTimer()
				countCalmSecond(rng, g, x[0], x[1])
				b.StartTimer()
				now += sec
				g.Brief(g.Digest(now))
			}
		})
	}
}
