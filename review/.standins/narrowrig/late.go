package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["late"] = late }

// startPacedCache starts a cache server that takes writes and reads each at so many bytes a second, 0: as they come.
func (r *rig) startPacedCache(id string, rate int) member {
	ln, err := net.Listen("tcp", r.host+".3:0")
	check(err)
	serve := func(conn net.Conn) {
		defer conn.Close()
		if rate > 0 { // it takes little ahead of what it reads
			conn.(*net.TCPConn).SetReadBuffer(8 << 10)
		}
		in := bufio.NewReaderSize(conn, 16<<10)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			w := strings.Fields(line)
			if w[0] == "mn" {
				io.WriteString(conn, "MN\r\n")
				continue
			}
			size, _ := strconv.Atoi(w[2])
			request, start := flag(line, 'O'), time.Now()
			for got := 0; got < size+2; {
				n, err := io.CopyN(io.Discard, in, int64(min(16<<10, size+2-got)))
				if got += int(n); err != nil {
					r.record("%s: %s ends after %d of %d bytes", id, request, got, size+2)
					return
				}
				if rate > 0 {
					time.Sleep(time.Until(start.Add(time.Duration(got) * time.Second / time.Duration(rate))))
				}
			}
			r.record("%s begins %s", id, strings.TrimSpace(line))
			time.Sleep(50 * time.Millisecond)
			fmt.Fprintf(conn, "HD O%s cR%s\r\n", request, request)
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return member{ID: id, Addr: ln.Addr().String(), Locality: "a", Flavor: "std-2", Cell: 1, Phase: "SERVING", Size: 1}
}

// late: clients write long values that cache servers read slowly. Each write is owed its final answer in its time and half a second.
func late(r *rig) bool {
	const clients, rounds, size, wait, bound = 100, 6, 4 << 20, 2400 * time.Millisecond, 550 * time.Millisecond
	d := r.startDiscovery()
	for i := range 9 {
		rate := 0
		if r.trouble && i < 4 {
			rate = 800 << 10
		}
		d.set(r.startPacedCache(fmt.Sprintf("s-%d", i), rate))
	}
	n := r.startNode(d, func(config map[string]any) {
		s := config["settings"].(map[string]any)
		s["Classes"] = []any{map[string]any{"Name": "stock-set", "Effect": "dedup", "DedupScope": "all", "KeyTtl": ms(1500), "Aim": ms(1500), "Deadline": ms(3000), "Worth": 10.0}}
		config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 512}
	})
	value := strings.Repeat("x", size)
	var mu sync.Mutex
	all, over, none, worst := 0, 0, 0, time.Duration(0)
	write := func(id string) {
		conn, err := net.DialTimeout("tcp", n.addr, time.Second)
		check(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "ms k%x %d O%s Pc=stock-set,t=acme,d=%d,k=%s\r\n%s\r\n", rand.Uint64(), size, id, wait.Milliseconds(), id, value)
		sent := time.Now() // the system has taken all of it
		conn.SetReadDeadline(sent.Add(8 * time.Second))
		line, readErr := bufio.NewReader(conn).ReadString('\n')
		by := time.Since(sent) - wait
		r.record("%s: sent (%v), answered %q (%v) %d ms after it was sent", id, err, strings.TrimSpace(line), readErr, (by + wait).Milliseconds())
		mu.Lock()
		defer mu.Unlock()
		if all++; readErr != nil {
			none++
		}
		if worst = max(worst, by); by > bound {
			over++
		}
	}
	var done sync.WaitGroup
	for i := range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			for k := range rounds {
				write(fmt.Sprintf("w%d.%d", i, k))
			}
		}()
	}
	done.Wait()
	r.note("writes %d; final answers over 0.55 s behind their time: %d, the latest %d ms behind it; without an answer: %d", all, over, worst.Milliseconds(), none)
	return over > 0
}
