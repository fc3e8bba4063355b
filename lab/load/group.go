package load

import "sync"

// clientGroup is a number of clients that run beside the planned load.
type clientGroup struct {
	run   func(n int, stop chan struct{}) // runs client n until stop is closed
	mu    sync.Mutex
	stops []chan struct{}
	wait  sync.WaitGroup
}

// setCount starts or stops clients until there are count of them.
func (g *clientGroup) setCount(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.stops) > count {
		last := len(g.stops) - 1
		close(g.stops[last])
		g.stops = g.stops[:last]
	}
	for len(g.stops) < count {
		stop := make(chan struct{})
		n := len(g.stops)
		g.stops = append(g.stops, stop)
		g.wait.Add(1)
		go func() {
			defer g.wait.Done()
			g.run(n, stop)
		}()
	}
}

// end stops all clients and waits for them.
func (g *clientGroup) end() {
	g.setCount(0)
	g.wait.Wait()
}
