package load

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"lapisshelf/lab/world"
)

// rudeClients send what no client should: noise, lines without end, wrong lengths, half a command, or nothing at all.
type rudeClients struct {
	load *Load
	mu   sync.Mutex
	stop []chan struct{}
	wait sync.WaitGroup
}

// set makes it so many.
func (r *rudeClients) set(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.stop) > count {
		last := len(r.stop) - 1
		close(r.stop[last])
		r.stop = r.stop[:last]
	}
	for len(r.stop) < count {
		stop := make(chan struct{})
		n := len(r.stop)
		r.stop = append(r.stop, stop)
		r.wait.Add(1)
		go func() {
			defer r.wait.Done()
			r.run(n, stop)
		}()
	}
}

var rudeness = []string{
	"\x00\x01\xfe\xff garbage\r\n",
	strings.Repeat("x", 100000),
	"ms k -5 O1 Pc=x,d=1\r\n",
	"ms k 999999999 O1 Pc=x,d=1\r\n" + strings.Repeat("y", 10000),
	"mg k v Pc=nothing,d=never\r\n",
	"mg k v O",
	"ms key 100 Orude Pc=x,d=5\r\nhalf",
	"",
	strings.Repeat("get k\r\n", 300),
}

// run is one of them: it connects, sends, reads what comes for a while, and begins again.
func (r *rudeClients) run(n int, stop chan struct{}) {
	rng := world.RandomStream(r.load.opt.Seed, "rude", string(rune('a'+n%26)))
	for {
		select {
		case <-stop:
			return
		default:
		}
		node := r.load.nodes[rng.IntN(len(r.load.nodes))]
		c, err := net.DialTimeout("tcp", node.addr, 200*time.Millisecond)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.SetDeadline(time.Now().Add(time.Duration(50+rng.IntN(250)) * time.Millisecond))
		go io.WriteString(c, rudeness[rng.IntN(len(rudeness))])
		io.Copy(io.Discard, io.LimitReader(c, 1<<20))
		c.Close()
	}
}
