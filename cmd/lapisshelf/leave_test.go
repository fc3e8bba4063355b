package main

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"lapisshelf/lab/standin"
)

// Clients that disconnect while the built program is stopped, shuts down or has a successor: no attempt starts for them after that.

// disconnects are the ways in which a client may disconnect.
var disconnects = map[string]func(*net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"half-close": func(c *net.TCPConn) { c.CloseWrite() },
	"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

func forEachDisconnect(t *testing.T, f func(t *testing.T, leave func(*client))) {
	for name, leave := range disconnects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f(t, func(c *client) { leave(c.conn.(*net.TCPConn)) })
		})
	}
}

// disableCancel lets attempts continue after their client has disconnected.
func disableCancel(config map[string]any) {
	config["settings"].(map[string]any)["Limits"].(map[string]any)["Cancel"] = false
}

// waitForCounters has the node log its counters until the log contains a text.
func (n *process) waitForCounters(text string) {
	n.t.Helper()
	eventually(n.t, "the counters contain"+text, func() bool { n.signal(syscall.SIGUSR1); return strings.Contains(n.log(), text) })
}

// sentIDs returns the sorted ids of the requests that caches received.
func sentIDs(caches ...*standin.Cache) (ids []string) {
	for _, c := range caches {
		for _, line := range c.Commands() {
			ids = append(ids, opaqueFlag(line)[1:])
		}
	}
	slices.Sort(ids)
	return ids
}

// openConnections sends reads until each cache has answered one, so that the node has a connection to it and sends the next request
// without delay.
func (n *process) openConnections(caches ...*standin.Cache) {
	n.t.Helper()
	cl := n.dial()
	for i := 0; slices.ContainsFunc(caches, func(c *standin.Cache) bool { return len(c.Commands()) == 0 }); i++ {
		if i == 200 {
			n.t.Fatal("a cache receives no request")
		}
		cl.send(fmt.Sprintf("mg warm-%d v Owarm%d Pc=read,d=2500\r\n", i, i))
		cl.readAnswer()
	}
}

// answerWarmUpOnly answers the requests of openConnections and no others.
func answerWarmUpOnly(line string, v []byte) string {
	if strings.Contains(line, "warm") {
		return answerValue("v")(line, v)
	}
	return ""
}

// Guards against a retry that is due when a stopped process continues, while its client's disconnect is still unread in the kernel.
func TestAClientLeavesBeforeADueFurtherTry(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, leave func(*client)) {
		a, b := startCache(t, answerWarmUpOnly), startCache(t, answerWarmUpOnly)
		n := startNode(t, startDiscovery(t, servingEntry("s-1", a.Addr(), "m2"), servingEntry("s-2", b.Addr(), "m2")), disableCancel)
		n.openConnections(a, b)
		before := len(sentIDs(a, b))
		cl := n.dial()
		cl.send("mg k v Ogone Pc=read,d=2500\r\n")
		eventually(t, "the request is in flight", func() bool { return len(sentIDs(a, b)) > before })
		n.whileStopped(func() {
			leave(cl)
			time.Sleep(time.Second) // the first attempt has timed out
		})
		n.waitForCounters(" abandoned=1 ")
		if got := sentIDs(a, b); len(got) != before+1 {
			t.Errorf("the caches were sent %q", got)
		}
	})
}

// Guards against an attempt's timeout that a process, continuing after a stop, handles before the answer that arrived in time.
func TestAnAnswerGoesBeforeItsTimeOut(t *testing.T) {
	gate := make(chan struct{})
	script := func(line string, v []byte) string { <-gate; return answerValue("v")(line, v) }
	a, b := startCache(t, script), startCache(t, script)
	n := startNode(t, startDiscovery(t, servingEntry("s-1", a.Addr(), "m2"), servingEntry("s-2", b.Addr(), "m2")), nil)
	cl := n.dial()
	cl.send("mg k v O1 Pc=read,d=2500\r\n")
	eventually(t, "the request is in flight", func() bool { return len(sentIDs(a, b)) == 1 })
	n.whileStopped(func() {
		close(gate)
		time.Sleep(time.Second)
	})
	cl.expect("VA 1 O1", "v")
	if got := sentIDs(a, b); len(got) != 1 {
		t.Errorf("the caches were sent %q", got)
	}
}

// A request waits for a server's concurrency limit in a process that shuts down, with or without a successor. Its client disconnects
// at once, or after the process has begun to close connections with their next answer.
func TestAClientLeavesDuringAPlannedEnd(t *testing.T) {
	for _, succeeded := range []bool{false, true} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("succeeded %t, late %t", succeeded, late), func(t *testing.T) {
				forEachDisconnect(t, func(t *testing.T, leave func(*client)) {
					gate := make(chan struct{})
					c := startCache(t, func(line string, v []byte) string { <-gate; return answerValue("v")(line, v) })
					n, _ := startNodeWithControl(t, startDiscovery(t, servingEntry("s-1", c.Addr(), "m2")), func(config map[string]any) {
						withReadDeadline(20 * time.Second)(config)
						disableCancel(config)
					})
					first, gone, stays := n.dial(), n.dial(), n.dial()
					first.send("mg k-1 v Ofirst Pc=read,d=20000\r\n")
					eventually(t, "the request is in flight", func() bool { return len(c.Commands()) == 1 })
					gone.send("mg k-2 v Ogone Pc=read,d=20000\r\n")
					n.waitForCounters(" taken=2 ")
					stays.send("mg k-3 v Ostays Pc=read,d=20000\r\n")
					n.waitForCounters(" taken=3 ")
					if succeeded {
						_, control := n.startSuccessor(nil)
						eventually(t, "the new process accepts clients", isReady(t, control))
					}
					n.signal(syscall.SIGTERM)
					eventually(t, "the node is leaving", func() bool { return strings.Contains(n.log(), "event=leaving") })
					if late {
						time.Sleep(600 * time.Millisecond) // until connections begin to close
					}
					n.whileStopped(func() {
						close(gate)
						time.Sleep(50 * time.Millisecond) // the answer comes first
						leave(gone)
					})
					first.expect("VA 1 Ofirst", "v")
					stays.expect("VA 1 Ostays", "v")
					if code := n.waitExit(); code != 0 {
						t.Errorf("ended with status %d", code)
					}
					if got := sentIDs(c); !slices.Equal(got, []string{"first", "stays"}) {
						t.Errorf("the cache was sent %q", got)
					}
				})
			})
		}
	}
}

// Guards against running a request from the listen queue of a process that shuts down, after its client has disconnected.
func TestAClientLeavesInTheListenQueueOfAPlannedEnd(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, leave func(*client)) {
		c := startCache(t, answerValue("v"))
		n := startNode(t, startDiscovery(t, servingEntry("s-1", c.Addr(), "m2")), disableCancel)
		n.openConnections(c)
		var stays *client
		n.whileStopped(func() {
			gone := n.dial()
			gone.send("mg k v Ogone Pc=read,d=2500\r\n")
			stays = n.dial()
			stays.send("mg k v Ostays Pc=read,d=2500\r\n")
			n.signal(syscall.SIGTERM)
			leave(gone)
		})
		stays.expect("VA 1 Ostays", "v")
		if code := n.waitExit(); code != 0 {
			t.Errorf("ended with status %d", code)
		}
		if got := sentIDs(c); !slices.Equal(got, []string{"stays", "warm0"}) {
			t.Errorf("the cache was sent %q", got)
		}
	})
}
