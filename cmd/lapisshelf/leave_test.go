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

// Clients that leave while the built node stands still, ends or is succeeded: no attempt begins for them from then on.

// disconnects are how a client may leave.
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

// disableCancel has attempts run on that nobody waits for.
func disableCancel(config map[string]any) {
	config["settings"].(map[string]any)["Limits"].(map[string]any)["Cancel"] = false
}

// waitForCounters waits until the node's log has a text in its counters.
func (n *process) waitForCounters(text string) {
	n.t.Helper()
	eventually(n.t, "the counters have"+text, func() bool { n.signal(syscall.SIGUSR1); return strings.Contains(n.log(), text) })
}

// sentIDs are the ids of the requests that caches were sent.
func sentIDs(caches ...*standin.Cache) (ids []string) {
	for _, c := range caches {
		for _, line := range c.Lines() {
			ids = append(ids, opaqueFlag(line)[1:])
		}
	}
	slices.Sort(ids)
	return ids
}

// openConnections has each cache answer once, so that the node has a connection to it, which the next request is written to at once.
func (n *process) openConnections(caches ...*standin.Cache) {
	n.t.Helper()
	cl := n.dial()
	for i := 0; slices.ContainsFunc(caches, func(c *standin.Cache) bool { return len(c.Lines()) == 0 }); i++ {
		if i == 200 {
			n.t.Fatal("a cache is never asked")
		}
		cl.send(fmt.Sprintf("mg warm-%d v Owarm%d Pc=read,d=2500\r\n", i, i))
		cl.readAnswer()
	}
}

// answerWarmUpOnly answers the requests of warm, and nothing else.
func answerWarmUpOnly(line string, v []byte) string {
	if strings.Contains(line, "warm") {
		return answerValue("v")(line, v)
	}
	return ""
}

// Guards against a further try that is due when a process that was stopped goes on, its client's end in the system unread.
func TestAClientLeavesBeforeADueFurtherTry(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, leave func(*client)) {
		a, b := startCache(t, answerWarmUpOnly), startCache(t, answerWarmUpOnly)
		n := startNode(t, startDiscovery(t, servingEntry("s-1", a.Addr(), "m2"), servingEntry("s-2", b.Addr(), "m2")), disableCancel)
		n.openConnections(a, b)
		before := len(sentIDs(a, b))
		cl := n.dial()
		cl.send("mg k v Ogone Pc=read,d=2500\r\n")
		eventually(t, "it is out", func() bool { return len(sentIDs(a, b)) > before })
		n.whileStopped(func() {
			leave(cl)
			time.Sleep(time.Second) // the first try's time is over
		})
		n.waitForCounters(" abandoned=1 ")
		if got := sentIDs(a, b); len(got) != before+1 {
			t.Errorf("the caches were sent %q", got)
		}
	})
}

// Guards against a time-out that runs ahead of the answer which came in its time, in a process that was stopped.
func TestAnAnswerGoesBeforeItsTimeOut(t *testing.T) {
	gate := make(chan struct{})
	script := func(line string, v []byte) string { <-gate; return answerValue("v")(line, v) }
	a, b := startCache(t, script), startCache(t, script)
	n := startNode(t, startDiscovery(t, servingEntry("s-1", a.Addr(), "m2"), servingEntry("s-2", b.Addr(), "m2")), nil)
	cl := n.dial()
	cl.send("mg k v O1 Pc=read,d=2500\r\n")
	eventually(t, "it is out", func() bool { return len(sentIDs(a, b)) == 1 })
	n.whileStopped(func() {
		close(gate)
		time.Sleep(time.Second)
	})
	cl.expect("VA 1 O1", "v")
	if got := sentIDs(a, b); len(got) != 1 {
		t.Errorf("the caches were sent %q", got)
	}
}

// A request is held for room by a process that ends, or that another has taken the place of. Its client leaves at once, or once
// connections close with their next answer.
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
					eventually(t, "it is out", func() bool { return len(c.Lines()) == 1 })
					gone.send("mg k-2 v Ogone Pc=read,d=20000\r\n")
					n.waitForCounters(" taken=2 ")
					stays.send("mg k-3 v Ostays Pc=read,d=20000\r\n")
					n.waitForCounters(" taken=3 ")
					if succeeded {
						_, control := n.startSuccessor(nil)
						eventually(t, "the new process takes clients", isReady(t, control))
					}
					n.signal(syscall.SIGTERM)
					eventually(t, "it leaves", func() bool { return strings.Contains(n.log(), "event=leaving") })
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

// Guards against taking a request from the listen queue of a process that ends, its client gone meanwhile.
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
