package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["nolength"] = playNoLength }

// playNoLength has an origin give one answer in five with no length, whole. At least half of these must be forwarded.
func playNoLength(r *rig) (broken int, err error) {
	var without, with atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for n := 0; ; n++ {
					q, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, q.Body)
					id := q.Header.Get("Request-Id")
					if trouble() && (strings.HasSuffix(id, "1") || strings.HasSuffix(id, "5")) {
						without.Add(1)
						fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nr-%s", id)
						return
					}
					with.Add(1)
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nr-%s", len(id)+2, id)
				}
			}()
		}
	}()
	cache, err := r.startCache(func(line string, _ []byte) string { return "EN " + opaque(line) + " h0\r\n" })
	if err != nil {
		return 0, err
	}
	discovery, err := r.startList(member("s-1", cache, "m2"), member("s-0", ln.Addr().String(), "origin"))
	if err != nil {
		return 0, err
	}
	if err := r.startNode(discovery, 192, 1024, kyushu); err != nil {
		return 0, err
	}
	served, other := 0, map[string]int{}
	forwarded := 0
	conn, err := net.Dial("tcp", r.listen)
	if err != nil {
		return 0, err
	}
	in := bufio.NewReader(conn)
	for i := range 100 {
		id := fmt.Sprintf("q%d", i)
		fmt.Fprintf(conn, "ms k%d 5 O%s Pc=send-alert,d=3000\r\nalert\r\n", i, id)
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		line, err := in.ReadString('\n')
		if err != nil {
			return 0, err
		}
		odd := strings.HasSuffix(id, "1") || strings.HasSuffix(id, "5")
		if strings.HasPrefix(line, "HD ") {
			served++
			if odd {
				forwarded++
			}
		} else {
			other[strings.TrimSpace(line)]++
		}
	}
	r.note("clients: %d served, others %v; origin: %d whole answers with no length, %d of them forwarded, %d with one", served, other, without.Load(), forwarded, with.Load())
	if w := int(without.Load()); forwarded*2 < w {
		return w - forwarded, nil
	}
	return 0, nil
}
