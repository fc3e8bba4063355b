package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stale"] = stale }

// pins is what clients and cache servers know of writes.
type pins struct {
	mu        sync.Mutex
	sent      map[string]time.Time // when the system had taken the last byte from the client, at the latest
	begun     int
	toldMore  int           // told over 0.15 s more than was left to the client
	afterTime int           // begun over 0.15 s after the client's time was over
	worst     time.Duration // most that was told beyond what was left
}

const pinTime = 600 * time.Millisecond // how long a client waits

// startPinCache starts a cache server that takes writes and answers each after 20 ms.
func (r *rig) startPinCache(id string, p *pins) member {
	ln, err := net.Listen("tcp", r.host+".3:0")
	check(err)
	serve := func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReaderSize(conn, 64<<10)
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
			if _, err := io.CopyN(io.Discard, in, int64(size)+2); err != nil {
				return
			}
			now := time.Now()
			request := flag(line, 'O')
			_, d, _ := strings.Cut(line, ",d=")
			d, _, _ = strings.Cut(d, ",")
			ms, _ := strconv.Atoi(d)
			told := time.Duration(ms) * time.Millisecond
			p.mu.Lock()
			left := pinTime - now.Sub(p.sent[request])
			p.begun++
			if told > left+150*time.Millisecond {
				p.toldMore++
				p.worst = max(p.worst, told-left)
			}
			if left < -150*time.Millisecond {
				p.afterTime++
			}
			p.mu.Unlock()
			r.record("%s begins %s: told %d ms, left to its client %d ms", id, request, ms, left.Milliseconds())
			time.Sleep(20 * time.Millisecond)
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

// stale: clients send many writes at once while the node is told to end. The time that is told to a cache server is at most what is
// left to the client.
func stale(r *rig) bool {
	const clients, batch, size = 4, 30, 63000
	p := &pins{sent: map[string]time.Time{}}
	d := r.startDiscovery()
	for i := range 9 {
		d.set(r.startPinCache(fmt.Sprintf("s-%d", i), p))
	}
	for round := range 5 { // each with a node of its own
		n := r.startNode(d, nil)
		r.playStale(n, p, round, clients, batch, size)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.note("writes begun %d; told over 0.15 s more than was left %d, at worst %d ms more; begun over 0.15 s after their clients' time was over %d",
		p.begun, p.toldMore, p.worst.Milliseconds(), p.afterTime)
	if p.begun == 0 {
		panic("no write has begun")
	}
	return p.toldMore > 0
}

func (r *rig) playStale(n *node, p *pins, round, clients, batch, size int) {
	value := strings.Repeat("p", size)
	var all []*client
	pin := func(c *client) string {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.number++
		q := &request{id: fmt.Sprintf("%s.%d", c.name, c.number), sent: time.Now()}
		c.out, c.all = append(c.out, q), append(c.all, q)
		return fmt.Sprintf("ms %s 5 O%s Pc=price-pin,t=acme,d=%d,k=%s\r\nhello\r\n", q.id, q.id, pinTime.Milliseconds(), q.id)
	}
	for i := range clients {
		c, err := r.dial(n, fmt.Sprintf("r%dc%d", round, i))
		check(err)
		all = append(all, c)
		small := pin(c) // the connection is in use
		p.mu.Lock()
		p.sent[c.all[0].id] = time.Now()
		p.mu.Unlock()
		_, err = io.WriteString(c.conn, small)
		check(err)
	}
	time.Sleep(200 * time.Millisecond)
	if r.trouble {
		n.signal(syscall.SIGTERM)
	}
	time.Sleep(480 * time.Millisecond)
	var done sync.WaitGroup
	for _, c := range all {
		done.Add(1)
		go func() {
			defer done.Done()
			var text strings.Builder
			var ids []string
			c.mu.Lock()
			for range batch {
				c.number++
				q := &request{id: fmt.Sprintf("%s.%d", c.name, c.number), sent: time.Now()}
				c.out, c.all, ids = append(c.out, q), append(c.all, q), append(ids, q.id)
				fmt.Fprintf(&text, "ms %s %d O%s Pc=price-pin,t=acme,d=%d,k=%s\r\n%s\r\n", q.id, size, q.id, pinTime.Milliseconds(), q.id, value)
			}
			c.mu.Unlock()
			p.mu.Lock()
			for _, id := range ids {
				p.sent[id] = time.Now().Add(time.Minute) // not before all is written
			}
			p.mu.Unlock()
			began := time.Now()
			_, err := io.WriteString(c.conn, text.String())
			now := time.Now()
			p.mu.Lock()
			for _, id := range ids {
				p.sent[id] = now
			}
			p.mu.Unlock()
			r.record("%s has sent %d writes of %d bytes in %d ms: %v", c.name, batch, size, now.Sub(began).Milliseconds(), err)
		}()
	}
	done.Wait()
	end := time.After(3500 * time.Millisecond)
	for _, c := range all {
		for open := true; open; time.Sleep(5 * time.Millisecond) {
			c.mu.Lock()
			open = len(c.out) > 0 && c.closed.IsZero()
			c.mu.Unlock()
			select {
			case <-end:
				open = false
			default:
			}
		}
		c.conn.Close()
	}
	if !n.exited() {
		n.signal(syscall.SIGKILL)
	}
	<-n.done
}
