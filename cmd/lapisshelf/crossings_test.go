package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"lapisshelf/lab/standin"
)

// withReadDeadline sets the latency target and the deadline of reads.
func withReadDeadline(wait time.Duration) func(map[string]any) {
	return func(config map[string]any) {
		c := config["settings"].(map[string]any)["Classes"].([]any)[0].(map[string]any)
		c["Aim"], c["Deadline"] = int64(wait), int64(wait)
	}
}

// A process is killed once the longest deadline, 3 s at most, and 0.7 s more have passed since SIGTERM. Requests with longer
// deadlines must be answered before: those taken before the signal and after it, in flight at a hanging cache and queued.
func TestTerminateWithDeadlinesBeyondTheKill(t *testing.T) {
	c := startCache(t, answerNothing)
	n := startNode(t, startDiscovery(t, servingEntry("s-1", c.Addr(), "m2")), withReadDeadline(20*time.Second))
	var all []*client
	ask := func(i int) {
		cl := n.dial()
		cl.send(fmt.Sprintf("mg k%d v O%d Pc=read,d=20000\r\n", i, i))
		all = append(all, cl)
	}
	ask(0)
	eventually(t, "the request is in flight", func() bool { return len(c.Commands()) == 1 })
	ask(1)
	n.signal(syscall.SIGTERM)
	kill := time.AfterFunc(3700*time.Millisecond, func() { n.signal(syscall.SIGKILL) })
	defer kill.Stop()
	eventually(t, "the node logs that it is leaving", func() bool { return strings.Contains(n.log(), "event=leaving") })
	ask(2)
	for i, cl := range all {
		if line, _ := cl.readAnswer(); !strings.HasPrefix(line, "SERVER_ERROR ") {
			t.Errorf("request %d: %q", i, line)
		}
	}
	if strings.Contains(n.log(), "event=overdue") {
		t.Error("a request that shutdown ended early is logged as overdue")
	}
}

// whileStopped creates events while the process is stopped (SIGSTOP). All of them are pending in the kernel when it continues, so
// that its event loop receives them in the same iteration.
func (n *process) whileStopped(events func()) {
	n.t.Helper()
	n.signal(syscall.SIGSTOP)
	eventually(n.t, "the process is stopped", func() bool { return processState(n.Pid()) == "T" })
	events()
	n.signal(syscall.SIGCONT)
}

// processState returns the one-letter state of a process from /proc, or an empty string.
func processState(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if _, rest, ok := strings.Cut(string(text), ") "); err == nil && ok {
		return rest[:1]
	}
	return ""
}

// Requests that a client has written when SIGTERM arrives are answered, whatever else happens at the same time and in whichever
// order: on an established connection, half written, on a new connection in the same iteration of the event loop, in the listen
// queue while the listener closes, behind a request in flight, with a second SIGTERM, a SIGHUP and a list change.
func TestTerminateCrosses(t *testing.T) {
	get := func(id string) string { return "mg k-" + id + " v O" + id + " Pc=read,d=9000\r\n" }
	waitUntilClosing := func() { time.Sleep(600 * time.Millisecond) } // until connections begin to close
	type fixture struct {
		n      *process
		open   *client
		d      discovery
		caches []*standin.Cache
	}
	term := func(w *fixture) { w.n.signal(syscall.SIGTERM) }
	for name, scenario := range map[string]func(w *fixture) (senders []*client){
		"unread, then the signal": func(w *fixture) []*client {
			w.n.whileStopped(func() { w.open.send(get("1")); term(w) })
			return []*client{w.open}
		},
		"the signal, then unread": func(w *fixture) []*client {
			w.n.whileStopped(func() { term(w); w.open.send(get("1")) })
			return []*client{w.open}
		},
		"half before, half after connections begin to close": func(w *fixture) []*client {
			w.open.send(get("1")[:9])
			term(w)
			waitUntilClosing()
			w.open.send(get("1")[9:])
			return []*client{w.open}
		},
		"new connections in the turn of the signal": func(w *fixture) (senders []*client) {
			w.n.whileStopped(func() {
				for i := range 5 {
					c := w.n.dial()
					c.send(get(fmt.Sprint(i)))
					if senders = append(senders, c); i == 2 {
						term(w)
					}
				}
			})
			return senders
		},
		"in the listen queue as the listener closes": func(w *fixture) (senders []*client) {
			term(w)
			eventually(t, "the node is leaving", func() bool { return strings.Contains(w.n.log(), "event=leaving") })
			w.n.whileStopped(func() {
				for i := range 5 {
					c := w.n.dial()
					c.send(get(fmt.Sprint(i)))
					senders = append(senders, c)
				}
				waitUntilClosing()
			})
			return senders
		},
		"written as the connection would close": func(w *fixture) []*client {
			term(w)
			eventually(t, "the node is leaving", func() bool { return strings.Contains(w.n.log(), "event=leaving") })
			w.n.whileStopped(func() { waitUntilClosing(); waitUntilClosing(); w.open.send(get("1")) })
			return []*client{w.open}
		},
		"behind one that is out": func(w *fixture) []*client {
			w.open.send(get("slow-1"))
			eventually(t, "the request is in flight", func() bool { w.n.signal(syscall.SIGUSR1); return strings.Contains(w.n.log(), " attempts=1 ") })
			w.n.whileStopped(func() { term(w); waitUntilClosing(); w.open.send(get("2")) })
			return []*client{w.open, w.open}
		},
		"unread behind others as its connection would close": func(w *fixture) []*client {
			w.open.send(get("slow-1"))
			term(w)
			eventually(t, "the node is leaving", func() bool { return strings.Contains(w.n.log(), "event=leaving") })
			waitUntilClosing()
			w.open.send(get("2")) // while this request is open the node does not read the connection any more
			eventually(t, "the request is taken", func() bool { w.n.signal(syscall.SIGUSR1); return strings.Contains(w.n.log(), " taken=2 ") })
			w.open.send(get("3"))
			return []*client{w.open, w.open, w.open}
		},
		"a retry that is due": func(w *fixture) []*client {
			w.open.send(get("slow-1"))
			eventually(t, "the request is in flight", func() bool { w.n.signal(syscall.SIGUSR1); return strings.Contains(w.n.log(), " attempts=1 ") })
			w.n.whileStopped(func() { // its connection ends in the same iteration of the event loop as the signal
				for _, c := range w.caches {
					c.CloseConns()
				}
				term(w)
			})
			return []*client{w.open}
		},
		"two signals, SIGHUP and list news": func(w *fixture) []*client {
			w.n.whileStopped(func() {
				term(w)
				term(w)
				w.open.send(get("1"))
				w.n.signal(syscall.SIGHUP)
				w.d.Set(servingEntry("s-3", "127.0.0.1:1", "m2"))
			})
			term(w)
			return []*client{w.open}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := &fixture{}
			for range 2 {
				w.caches = append(w.caches, startCache(t, func(line string, v []byte) string {
					if strings.Contains(line, "slow") {
						time.Sleep(1500 * time.Millisecond)
					}
					return answerValue("v")(line, v)
				}))
			}
			w.d = startDiscovery(t, servingEntry("s-1", w.caches[0].Addr(), "m2"), servingEntry("s-2", w.caches[1].Addr(), "m2"))
			w.n = startNode(t, w.d, withReadDeadline(10*time.Second))
			w.open = w.n.dial()
			w.open.send("mn\r\n")
			w.open.expect("MN", "")
			senders := scenario(w)
			for i, c := range senders {
				if line, _ := c.readAnswer(); !strings.HasPrefix(line, "VA 1 ") {
					t.Errorf("request %d: %q", i, line)
				}
			}
			if code := w.n.waitExit(); code != 0 {
				t.Errorf("ended with status %d", code)
			}
			if want := fmt.Sprintf(" taken=%d served=%d ", len(senders), len(senders)); !strings.Contains(w.n.log(), want) || !strings.Contains(w.n.log(), " overdue=0 ") {
				t.Errorf("the last counters lack %q or report overdue requests", want)
			}
		})
	}
}

// A server closes an idle connection in the same iteration of the event loop in which a client's request would be written to it, in
// either order: an unsafe request reaches the server exactly once and is answered.
func TestAnIdleConnectionCloses(t *testing.T) {
	for _, first := range []string{"the end", "the request"} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			c := startCache(t, answerValue("v"))
			n := startNode(t, startDiscovery(t, servingEntry("s-1", c.Addr(), "m2")), func(config map[string]any) {
				s := config["settings"].(map[string]any)
				s["FamilyInfo"] = map[string]any{"Mode": "through", "OriginKind": -1}
			})
			cl := n.dial()
			ask := func(i int) { cl.send(fmt.Sprintf("mg k v O%d Pc=pay,d=2500\r\n", i)) }
			for i := range 6 {
				if i > 0 { // the first request opens the connection
					n.whileStopped(func() {
						if first == "the request" {
							ask(i)
						}
						c.CloseConns()
						eventually(t, "the server has closed the connection", func() bool { open, _ := c.ConnCounts(); return open == 0 })
						if first == "the end" {
							ask(i)
						}
					})
				} else {
					ask(i)
				}
				cl.expect(fmt.Sprintf("VA 1 O%d", i), "v")
			}
			if got := c.Commands(); len(got) != 6 {
				t.Errorf("the server was sent %q", got)
			}
		})
	}
}

// A client's next request arrives in the same iteration of the event loop in which its connection is due to be closed as idle: the
// request is answered.
func TestARequestOnAConnectionDueToClose(t *testing.T) {
	c := startCache(t, answerValue("v"))
	n := startNode(t, startDiscovery(t, servingEntry("s-1", c.Addr(), "m2")), nil)
	cl := n.dial()
	cl.send("mg k v O1 Pc=read,d=2500\r\n")
	cl.expect("VA 1 O1", "v")
	n.whileStopped(func() { time.Sleep(5200 * time.Millisecond); cl.send("mg k v O2 Pc=read,d=2500\r\n") })
	cl.expect("VA 1 O2", "v")
}

// An answer arrives in the same iteration of the event loop as the timeout of its attempt and the request's deadline: the client
// gets exactly one answer.
func TestAnAnswerInTheTurnOfItsTimeOut(t *testing.T) {
	gate := make(chan struct{})
	c := startCache(t, func(line string, v []byte) string { <-gate; return answerValue("v")(line, v) })
	n := startNode(t, startDiscovery(t, servingEntry("s-1", c.Addr(), "m2")), nil)
	cl := n.dial()
	cl.send("mg k v O1 Pc=read,d=700\r\n")
	eventually(t, "the request is in flight", func() bool { return len(c.Commands()) == 1 })
	n.whileStopped(func() { close(gate); time.Sleep(800 * time.Millisecond) })
	if line, _ := cl.readAnswer(); !strings.HasPrefix(line, "VA 1 O1") && !strings.HasPrefix(line, "SERVER_ERROR ") {
		t.Errorf("%q", line)
	}
	cl.send("mn\r\n")
	cl.expect("MN", "")
}
