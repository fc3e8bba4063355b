package node

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"lapisshelf/internal/loop"
	"lapisshelf/internal/registry"
	"lapisshelf/internal/settings"
	"lapisshelf/policy"
)

// Measures the costs per cache and per connection of a single node that docs/CAPACITY.md extrapolates.

func newSizedNode(b *testing.B, caches int) *Node {
	l, err := loop.New()
	if err != nil {
		b.Fatal(err)
	}
	set := policy.Settings{MaxAttempts: 3, Balancers: 1900}
	longest := map[string]time.Duration{}
	for _, name := range []string{"price-read", "price-pin", "object-read", "object-write", "purge"} {
		set.Classes = append(set.Classes, policy.Class{Name: name, Aim: time.Second})
		longest[name] = 2 * time.Second
	}
	local := netip.MustParseAddrPort("127.0.0.1:0")
	n, err := New(Config{Listen: local, Registry: registry.Config{Endpoints: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}}, MemoryMB: 192, Sockets: 4096,
		Settings: set, Transport: settings.Transport{MaxRequestsPerConn: 8, ConnIdle: 30 * time.Second, ConnectTimeout: 10 * time.Second, Deadlines: longest}}, l)
	if err != nil {
		b.Fatal(err)
	}
	n.registry.Close()
	var list []policy.Server
	for i := range caches {
		list = append(list, policy.Server{ID: fmt.Sprintf("s-%05d", i), Weight: 1})
	}
	n.policy.Members(l.Now(), policy.ListComplete, list)
	b.Cleanup(func() {
		n.clients.listener.Close()
		for _, p := range n.pools {
			p.drain()
		}
	})
	return n
}

// BenchmarkVarsBySize measures the cost and the size of a scrape of the control address, with five classes.
func BenchmarkVarsBySize(b *testing.B) {
	for _, caches := range []int{80, 420} {
		b.Run(fmt.Sprintf("caches=%d", caches), func(b *testing.B) {
			n := newSizedNode(b, caches)
			b.ReportAllocs()
			size := 0
			for range b.N {
				size = len(n.metrics().Body)
			}
			b.ReportMetric(float64(size), "bytes/scrape")
		})
	}
}

// BenchmarkConnectionMemory measures the heap that an idle connection holds: a new one of a client, and one to a server. The
// kernel's buffers are not included.
func BenchmarkConnectionMemory(b *testing.B) {
	const many = 800
	b.Run("client", func(b *testing.B) {
		for range b.N {
			n := newSizedNode(b, 8)
			at := n.clients.listener.Addr()
			var fds []int
			before := heapBytes()
			for range many {
				fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
				if err != nil {
					b.Fatal(err)
				}
				fds = append(fds, fd)
				unix.Connect(fd, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()})
			}
			runUntil(b, n, func() bool { return len(n.clients.all) == many })
			b.ReportMetric((heapBytes()-before)/many, "heap-bytes/conn")
			for _, fd := range fds {
				unix.Close(fd)
			}
			runUntil(b, n, func() bool { return len(n.clients.all) == 0 })
		}
	})
	b.Run("server", func(b *testing.B) {
		for range b.N {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			n := newSizedNode(b, 0)
			addr := netip.MustParseAddrPort(ln.Addr().String())
			before := heapBytes()
			for i := range many {
				n.updatePool(policy.Server{ID: fmt.Sprint("s", i), State: policy.Ready}, addr)
				if n.pools[fmt.Sprint("s", i)].dial() == nil {
					b.Fatal("connection not opened")
				}
			}
			up := func() (all int) {
				for _, p := range n.pools {
					all += len(p.idle)
				}
				return all
			}
			runUntil(b, n, func() bool { return up() == many })
			b.ReportMetric((heapBytes()-before)/many, "heap-bytes/conn")
			ln.Close()
		}
	})
}

func runUntil(b *testing.B, n *Node, holds func() bool) {
	end := time.Now().Add(20 * time.Second)
	var look func()
	look = func() {
		switch {
		case holds():
			n.loop.Stop()
		case time.Now().After(end):
			b.Error("the condition never held")
			n.loop.Stop()
		default:
			n.loop.After(time.Millisecond, look)
		}
	}
	n.loop.Defer(look)
	if err := n.loop.Run(); err != nil {
		b.Fatal(err)
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
