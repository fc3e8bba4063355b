package main

// Second copies of an origin's answers, early and late, through the built program.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// copyingOrigin is an origin, some way off, that sends second copies of its answers as long as no further request has reached it.
type copyingOrigin struct {
	way, late time.Duration // one way, and between an answer and its copy
	every     int64         // one answer in so many is copied
	answers   atomic.Int64
	copies    atomic.Int64
}

// afterWay passes on what comes from a channel, in order, each after the way; the end too.
func afterWay[T any](way time.Duration, from <-chan T) <-chan T {
	type late struct {
		due time.Time
		x   T
	}
	queue, to := make(chan late, 1024), make(chan T)
	go func() {
		defer close(queue)
		for x := range from {
			queue <- late{time.Now().Add(way), x}
		}
	}()
	go func() {
		defer close(to)
		for l := range queue {
			time.Sleep(time.Until(l.due))
			to <- l.x
		}
	}()
	return to
}

// serve answers the requests of one connection.
func (o *copyingOrigin) serve(conn net.Conn) {
	received, sent := make(chan *http.Request), make(chan string)
	go func() {
		defer close(received)
		for in := bufio.NewReader(conn); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			received <- r
		}
	}()
	go func() {
		defer conn.Close()
		for text := range afterWay(o.way, sent) {
			io.WriteString(conn, text)
		}
	}()
	defer close(sent)
	requests := afterWay(o.way, received)
	for r, open := <-requests; open; {
		value := r.URL.Path[1:] + " for " + r.Header.Get("Request-Id")
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(value), value)
		time.Sleep(5 * time.Millisecond)
		sent <- text
		if o.answers.Add(1)%o.every == 0 {
			select {
			case r, open = <-requests:
				continue
			case <-time.After(o.late):
				sent <- text
				o.copies.Add(1)
			}
		}
		r, open = <-requests
	}
}

// start listens and returns the address.
func (o *copyingOrigin) start(t *testing.T) string { return acceptAll(t, o.serve) }

// Guards against serving a request with the second copy of another's answer, whether it is met at rest or on its way as the next
// request goes out: some milliseconds late, at an origin beside the node or in another data centre.
func TestSecondCopiesAreNobodysAnswer(t *testing.T) {
	const clients, reads = 4, 15
	for _, way := range []time.Duration{0, 10 * time.Millisecond} {
		for _, late := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond} {
			t.Run(fmt.Sprintf("%v late, way of %v", late, way), func(t *testing.T) {
				t.Parallel()
				o := &copyingOrigin{way: way, late: late, every: 3}
				c := startCache(t, answerMiss)
				n := startNode(t, startDiscovery(t, servingEntry("s-1", c.Addr(), "m2"), servingEntry("s-0", o.start(t), "origin")), raiseReadAim)
				var served atomic.Int64
				var all sync.WaitGroup
				for i := range clients {
					cl := n.dial()
					all.Go(func() {
						for k := range reads {
							id := fmt.Sprintf("%d-%d", i, k)
							cl.send(fmt.Sprintf("mg key-%s v O%s Pc=read,d=2500\r\n", id, id))
							line, value := cl.readAnswer()
							if line == fmt.Sprintf("VA %d O%s", len(value), id) {
								served.Add(1)
								if want := fmt.Sprintf("key-%s for %s", id, id); value != want {
									t.Errorf("got %q, made for it was %q", value, want)
								}
							}
						}
					})
				}
				all.Wait()
				if served.Load() < clients*reads/2 || o.copies.Load() == 0 {
					t.Errorf("%d reads served, %d second copies", served.Load(), o.copies.Load())
				}
			})
		}
	}
}
