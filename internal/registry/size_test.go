package registry

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"lapisshelf/decide/roster"
	"lapisshelf/internal/httpc"
	"lapisshelf/lab/seen"
	"lapisshelf/lab/standin"
	"lapisshelf/lab/world"
)

// BenchmarkListBySize measures, for each kind of registry and several list lengths, the size of a whole list on the wire, including
// the stand-in's response head, and the cost to parse it. docs/CAPACITY.md multiplies the figures; the sizes are the same in each run.
func BenchmarkListBySize(b *testing.B) {
	for _, kind := range []Kind{Discovery, Etcd, Consul} {
		for _, entries := range []int{80, 105, 210, 420} {
			b.Run(fmt.Sprintf("%s/%d", kind, entries), func(b *testing.B) {
				var members []world.Member
				for i := range entries {
					m := testServer(i, world.Serving)
					m.Started = -time.Duration(i) * time.Hour
					members = append(members, m)
				}
				common := standin.NewCommon(seen.NewLog(), 1, nil)
				var proto protocol
				var addr string
				switch kind {
				case Discovery:
					l, err := standin.NewList(common, standin.ListOptions{Addr: "127.0.0.1:0", Nodes: 1}, members...)
					if err != nil {
						b.Fatal(err)
					}
					defer l.Close()
					proto, addr = discovery{}, l.Addr(0)
				default:
					reg, err := standin.NewRegistry(common, standin.RegistryOptions{Addr: "127.0.0.1:0", Nodes: 1, Endpoints: 1, Prefix: prefix})
					if err != nil {
						b.Fatal(err)
					}
					defer reg.Close()
					for _, m := range members {
						reg.Set(m)
					}
					addr = reg.Endpoints(0)[0]
					if proto = (etcd{prefix: prefix}); kind == Consul {
						proto = consul{prefix: prefix}
					}
				}
				call := roster.Call{ReadList: true}
				answer := readAnswer(b, proto, call, addr)
				a, used, err := httpc.ParseResponse(answer, 16<<20, true)
				if err != nil || used != len(answer) {
					b.Fatal(err, used, len(answer))
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					if got, err := proto.parseAnswer(call, &a, a.Body); err != nil || len(got.Changes) != entries {
						b.Fatal(err, len(got.Changes))
					}
				}
				b.ReportMetric(float64(len(answer)), "bytes/list")
			})
		}
	}
}

// readAnswer makes a call on a connection of its own and returns everything received.
func readAnswer(b *testing.B, p protocol, call roster.Call, addr string) []byte {
	_, answer := exchange(b, p, call, addr)
	return answer
}

// exchange makes a call on a connection of its own and returns the request, as a client sends it, and everything received.
func exchange(b *testing.B, p protocol, call roster.Call, addr string) (request, answer []byte) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	method, target, headers, body := p.request(call)
	request = httpc.AppendRequest(nil, method, target, addr, headers, body)
	conn.Write(httpc.AppendRequest(nil, method, target, addr, append(headers, httpc.Header{Name: "Connection", Value: "close"}), body))
	conn.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	if answer, err = io.ReadAll(conn); err != nil {
		b.Fatal(err)
	}
	return request, answer
}

// BenchmarkDiscoveryWatch measures the size of a discovery watch that ends without a change and of one that ends with a change of one
// server, including the stand-in's response head, and the cost to parse the latter.
func BenchmarkDiscoveryWatch(b *testing.B) {
	l, err := standin.NewList(standin.NewCommon(seen.NewLog(), 1, nil), standin.ListOptions{Addr: "127.0.0.1:0", Nodes: 1}, testServer(7, world.Serving))
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	old, _ := l.Members()
	l.Set(testServer(7, world.Draining))
	now, _ := l.Members()
	request, noChange := exchange(b, discovery{}, roster.Call{Revision: now, Wait: time.Millisecond}, l.Addr(0))
	_, change := exchange(b, discovery{}, roster.Call{Revision: old, Wait: time.Second}, l.Addr(0))
	a, used, err := httpc.ParseResponse(change, 1<<20, true)
	if err != nil || used != len(change) {
		b.Fatal(err, used)
	}
	b.ResetTimer()
	for range b.N {
		if _, complete, entries, err := ParseList(a.Body); err != nil || complete || len(entries) != 1 {
			b.Fatal(err, complete, len(entries))
		}
	}
	b.ReportMetric(float64(len(request)), "bytes/request")
	b.ReportMetric(float64(len(noChange)), "bytes/nothing")
	b.ReportMetric(float64(len(change)), "bytes/change")
}
