package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["copies"] = copies }

const (
	way       = 10 * time.Millisecond // one way between the node and the cache servers
	copyDelay = 5 * time.Millisecond  // how much later than the answer its second copy is written
)

// attempt is a request at a cache server.
type attempt struct {
	server string
	begun  time.Time
	ended  time.Time // when it was answered or its connection ended
}

// farServers are cache servers behind a way of 10 ms each way.
type farServers struct {
	r        *rig
	mu       sync.Mutex
	attempts map[string][]*attempt
	second   int // requests that had two attempts out at once
	copies   int
}

// begin notes that a request begins. One that is still out elsewhere a moment later, on a connection that is open, is out twice.
func (f *farServers) begin(id, server string) *attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := &attempt{server: server, begun: time.Now()}
	for _, e := range f.attempts[id] {
		if !e.ended.IsZero() {
			continue
		}
		go func() { // a close that crosses the new attempt is given the time of the way, and some slack
			time.Sleep(2*way + 10*time.Millisecond)
			f.mu.Lock()
			defer f.mu.Unlock()
			if e.ended.IsZero() || e.ended.Sub(a.begun) > 2*way {
				f.second++
				f.r.note("%s is out twice: begun at %s, and %d ms later at %s, with the first connection open and unanswered", id, e.server, a.begun.Sub(e.begun).Milliseconds(), server)
			}
		}()
	}
	f.attempts[id] = append(f.attempts[id], a)
	return a
}

func (f *farServers) end(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.ended.IsZero() {
		a.ended = time.Now()
	}
}

func (f *farServers) start(id string) member {
	ln, err := net.Listen("tcp", f.r.host+".3:0")
	check(err)
	s := &farServer{farServers: f, id: id}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return member{ID: id, Addr: ln.Addr().String(), Locality: "a", Flavor: "std-2", Cell: 1, Phase: "SERVING", Size: 1}
}

// farServer turns away one request in ten: other nodes use it, too.
type farServer struct {
	*farServers
	id string
}

// farConn is a connection to it, as the server sees it.
type farConn struct {
	waiting int // commands that have come and are not answered
	open    []*attempt
}

func (s *farServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	state := &farConn{}
	write := func(text string) { time.AfterFunc(way, func() { io.WriteString(conn, text) }) } // AfterFunc of one span keeps the order here
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			time.AfterFunc(way, func() { // the end of the connection takes the way, too
				s.mu.Lock()
				open := state.open
				s.mu.Unlock()
				for _, a := range open {
					s.end(a)
				}
			})
			time.Sleep(2 * way)
			return
		}
		line = strings.TrimRight(line, "\r\n")
		time.AfterFunc(way, func() { s.command(line, state, write) })
	}
}

func (s *farServer) command(line string, state *farConn, write func(string)) {
	if strings.HasPrefix(line, "mn") {
		write("MN\r\n")
		return
	}
	id := flag(line, 'O')
	s.mu.Lock()
	full := rand.IntN(10) == 0 // what other nodes send takes its room now and then
	if !full {
		state.waiting++
	}
	s.mu.Unlock()
	if full {
		s.r.record("%s turns %s away", s.id, id)
		write("SERVER_ERROR busy\r\n")
		if s.r.trouble && rand.IntN(3) == 0 {
			time.AfterFunc(copyDelay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				if state.waiting == 0 { // nothing else waits on the connection
					s.copies++
					s.r.record("%s sends a second copy of its answer to %s", s.id, id)
					write("SERVER_ERROR busy\r\n")
				}
			})
		}
		return
	}
	s.r.record("%s begins %s", s.id, id)
	a := s.begin(id, s.id)
	s.mu.Lock()
	state.open = append(state.open, a)
	s.mu.Unlock()
	time.AfterFunc(time.Duration(40+rand.IntN(80))*time.Millisecond, func() {
		s.mu.Lock()
		state.waiting--
		s.mu.Unlock()
		s.end(a)
		s.r.record("%s answers %s", s.id, id)
		write(fmt.Sprintf("VA %d O%s h1\r\n%s\r\n", len(id)+2, id, "v-"+id))
	})
}

// copies: cache servers that have no room turn requests away, and some of these answers come twice, the second copy some milliseconds
// late. No request may have two attempts out at once.
func copies(r *rig) bool {
	f := &farServers{r: r, attempts: map[string][]*attempt{}}
	d := r.startDiscovery()
	for i := range 9 {
		d.set(f.start(fmt.Sprintf("s-%d", i)))
	}
	n := r.startNode(d, nil)
	end := time.Now().Add(40 * time.Second)
	var done sync.WaitGroup
	counts := map[string]int{}
	for i := range 40 { // each client sends one request at a time; together some 200 to 250 a second
		done.Add(1)
		go func() {
			defer done.Done()
			c, err := r.dial(n, fmt.Sprintf("c%d", i))
			check(err)
			for time.Now().Before(end) {
				if !c.send(1, 2500*time.Millisecond) {
					if c, err = r.dial(n, fmt.Sprintf("%s+", c.name)); err != nil {
						return
					}
					continue
				}
				for {
					c.mu.Lock()
					idle := len(c.out) == 0 || !c.closed.IsZero()
					c.mu.Unlock()
					if idle {
						break
					}
					time.Sleep(time.Millisecond)
				}
				q := c.all[len(c.all)-1]
				f.mu.Lock()
				word, _, _ := strings.Cut(q.answer+" ", " ")
				counts[word]++
				f.mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(120)) * time.Millisecond)
			}
		}()
	}
	done.Wait()
	time.Sleep(200 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	r.note("requests %d, answers %v, second copies %d, requests out twice at once: %d", len(f.attempts), counts, f.copies, f.second)
	if r.trouble && f.copies == 0 {
		panic("no answer came twice")
	}
	return f.second > 0
}
