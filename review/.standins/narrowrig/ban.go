package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() { cases["ban"] = ban }

// ban: an operator takes a cache server of a large fleet out for a restart. 1 s after the call, and the grace, nothing new may go there.
func ban(r *rig) bool {
	servers := 1200 // the pages allow 3,200
	if !r.trouble {
		servers = 100
	}
	var mu sync.Mutex
	keys := map[string]string{}      // by server, the last key asked there
	begins := map[string]time.Time{} // by server, when a request last began there
	count := map[string]int{}
	note := func(c *cache, line string) {
		mu.Lock()
		defer mu.Unlock()
		keys[c.id], begins[c.id] = strings.Fields(line)[1], time.Now()
		count[c.id]++
	}
	d := r.startDiscovery()
	port := 20000 + rand.IntN(10000)
	var members []member
	for i := range servers { // one address each
		c := &cache{r: r, id: fmt.Sprintf("s-%04d", i), delay: func() time.Duration { return 5 * time.Millisecond }, begun: note}
		c.addr = fmt.Sprintf("%s.%d:%d", r.host, 10+i%200, port+i/200)
		ln, err := net.Listen("tcp", c.addr)
		check(err)
		go c.accept(ln)
		members = append(members, c.member("SERVING"))
	}
	d.set(members...)
	n := r.startNode(d, func(config map[string]any) {
		config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 256}
	})
	// Reads of many keys, four at a time, until a server with a low id has had one.
	ask := func(c *client, key string) {
		c.mu.Lock()
		c.number++
		q := &request{id: fmt.Sprintf("%s.%d", c.name, c.number), sent: time.Now()}
		c.out, c.all = append(c.out, q), append(c.all, q)
		c.mu.Unlock()
		fmt.Fprintf(c.conn, "mg %s v O%s Pc=price-read,t=acme,d=2500\r\n", key, q.id)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			c.mu.Lock()
			waits := len(c.out) > 0 && c.closed.IsZero()
			c.mu.Unlock()
			if !waits {
				return
			}
		}
	}
	target := ""
	var done sync.WaitGroup
	for i := range 4 {
		done.Add(1)
		go func() {
			defer done.Done()
			c, err := r.dial(n, fmt.Sprintf("c%d", i))
			check(err)
			defer c.conn.Close()
			for range 4000 {
				ask(c, fmt.Sprintf("%016x", rand.Uint64()))
				mu.Lock()
				var low []string
				for id := range keys {
					if id < "s-0100" {
						low = append(low, id)
					}
				}
				if sort.Strings(low); target == "" && len(low) > 0 && (servers == 100 || len(keys) > 150) {
					target = low[0]
				}
				found := target != ""
				mu.Unlock()
				if found {
					return
				}
			}
		}()
	}
	done.Wait()
	if target == "" {
		panic("no server with a low id was asked")
	}
	mu.Lock()
	key := keys[target]
	mu.Unlock()
	called := time.Now()
	status, text := n.call("POST", "/_cache-servers/detach/"+target)
	r.note("%s of %d is listed as SERVING; to take it out is answered %d %s", target, servers, status, text)
	time.Sleep(time.Until(called.Add(1500 * time.Millisecond))) // 1 s, the grace of 0.4 s, and some slack
	mu.Lock()
	before := count[target]
	mu.Unlock()
	c, err := r.dial(n, "late")
	check(err)
	for range 20 {
		ask(c, key)
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	r.note("requests begun at %s from 1.5 s after the call on: %d of 20 for its key, the last %d ms after the call", target, count[target]-before, begins[target].Sub(called).Milliseconds())
	return count[target] > before
}
