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

// longReads has reads wait for up to so long.
func longReads(wait time.Duration) func(map[string]any) {
	return func(config map[string]any) {
		c := config["settings"].(map[string]any)["Classes"].([]any)[0].(map[string]any)
		c["Aim"], c["Deadline"] = int64(wait), int64(wait)
	}
}

// A planned end leaves a process the longest deadline, 3 s at most, and 0.7 s more, then it is killed: requests whose clients
// would wait longer are answered before, those taken ahead of the signal and behind it, one out at a hanging cache and one held.
func TestTerminateWithDeadlinesBeyondTheKill(t *testing.T) {
	c := startCache(t, silent)
	n := start(t, startDiscovery(t, serving("s-1", c.Addr(), "m2")), longReads(20*time.Second))
	var all []*client
	ask := func(i int) {
		cl := n.dial()
		cl.send(fmt.Sprintf("mg k%d v O%d Pc=read,d=20000\r\n", i, i))
		all = append(all, cl)
	}
	ask(0)
	eventually(t, "it is out", func() bool { return len(c.Commands()) == 1 })
	ask(1)
	n.signal(syscall.SIGTERM)
	kill := time.AfterFunc(3700*time.Millisecond, func() { n.signal(syscall.SIGKILL) })
	defer kill.Stop()
	eventually(t, "the node says that it leaves", func() bool { return strings.Contains(n.log(), "event=leaving") })
	ask(2)
	for i, cl := range all {
		if line, _ := cl.answer(); !strings.HasPrefix(line, "SERVER_ERROR ") {
			t.Errorf("request %d: %q", i, line)
		}
	}
	if strings.Contains(n.log(), "event=overdue") {
		t.Error("what a planned end cuts off is told as a fault")
	}
}

// Events that cross are laid while the process stands still (SIGSTOP): all of them wait in the system when it goes on, and come in
// the same turn of its loop.
func (n *process) still(events func()) {
	n.t.Helper()
	n.signal(syscall.SIGSTOP)
	eventually(n.t, "the process stands still", func() bool { return processState(n.Pid()) == "T" })
	events()
	n.signal(syscall.SIGCONT)
}

// processState is the one letter that the system has for a process's state.
func processState(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if _, rest, ok := strings.Cut(string(text), ") "); err == nil && ok {
		return rest[:1]
	}
	return ""
}

// What a client has written when the process is told to end is answered, whatever comes with it and in whichever order: in a
// connection that stands, half of it, in a new one of the same turn, in one that waits in the listen queue while the
// listener closes, behind a request that is out, with a second SIGTERM, a SIGHUP and list news.
func TestTerminateCrosses(t *testing.T) {
	get := func(id string) string { return "mg k-" + id + " v O" + id + " Pc=read,d=9000\r\n" }
	lame := func() { time.Sleep(600 * time.Millisecond) } // until connections begin to close
	type world struct {
		n      *process
		open   *client
		d      discovery
		caches []*standin.Cache
	}
	term := func(w *world) { w.n.signal(syscall.SIGTERM) }
	for name, cross := range map[string]func(w *world) (asked []*client){
		"unread, then the signal": func(w *world) []*client {
			w.n.still(func() { w.open.send(get("1")); term(w) })
			return []*client{w.open}
		},
		"the signal, then unread": func(w *world) []*client {
			w.n.still(func() { term(w); w.open.send(get("1")) })
			return []*client{w.open}
		},
		"half before, half after connections begin to close": func(w *world) []*client {
			w.open.send(get("1")[:9])
			term(w)
			lame()
			w.open.send(get("1")[9:])
			return []*client{w.open}
		},
		"new connections in the turn of the signal": func(w *world) (asked []*client) {
			w.n.still(func() {
				for i := range 5 {
					c := w.n.dial()
					c.send(get(fmt.Sprint(i)))
					if asked = append(asked, c); i == 2 {
						term(w)
					}
				}
			})
			return asked
		},
		"in the listen queue as the listener closes": func(w *world) (asked []*client) {
			term(w)
			eventually(t, "it leaves", func() bool { return strings.Contains(w.n.log(), "event=leaving") })
			w.n.still(func() {
				for i := range 5 {
					c := w.n.dial()
					c.send(get(fmt.Sprint(i)))
					asked = append(asked, c)
				}
				lame()
			})
			return asked
		},
		"written as the connection would close": func(w *world) []*client {
			term(w)
			eventually(t, "it leaves", func() bool { return strings.Contains(w.n.log(), "event=leaving") })
			w.n.still(func() { lame(); lame(); w.open.send(get("1")) })
			return []*client{w.open}
		},
		"behind one that is out": func(w *world) []*client {
			w.open.send(get("slow-1"))
			eventually(t, "it is out", func() bool { w.n.signal(syscall.SIGUSR1); return strings.Contains(w.n.log(), " attempts=1 ") })
			w.n.still(func() { term(w); lame(); w.open.send(get("2")) })
			return []*client{w.open, w.open}
		},
		"unread behind others as its connection would close": func(w *world) []*client {
			w.open.send(get("slow-1"))
			term(w)
			eventually(t, "it leaves", func() bool { return strings.Contains(w.n.log(), "event=leaving") })
			lame()
			w.open.send(get("2")) // with this one open the connection is not read any more
			eventually(t, "it is taken", func() bool { w.n.signal(syscall.SIGUSR1); return strings.Contains(w.n.log(), " taken=2 ") })
			w.open.send(get("3"))
			return []*client{w.open, w.open, w.open}
		},
		"a retry that is due": func(w *world) []*client {
			w.open.send(get("slow-1"))
			eventually(t, "it is out", func() bool { w.n.signal(syscall.SIGUSR1); return strings.Contains(w.n.log(), " attempts=1 ") })
			w.n.still(func() { // its connection ends in the turn of the signal
				for _, c := range w.caches {
					c.CloseConns()
				}
				term(w)
			})
			return []*client{w.open}
		},
		"two signals, SIGHUP and list news": func(w *world) []*client {
			w.n.still(func() {
				term(w)
				term(w)
				w.open.send(get("1"))
				w.n.signal(syscall.SIGHUP)
				w.d.Set(serving("s-3", "127.0.0.1:1", "m2"))
			})
			term(w)
			return []*client{w.open}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := &world{}
			for range 2 {
				w.caches = append(w.caches, startCache(t, func(line string, v []byte) string {
					if strings.Contains(line, "slow") {
						time.Sleep(1500 * time.Millisecond)
					}
					return holding("v")(line, v)
				}))
			}
			w.d = startDiscovery(t, serving("s-1", w.caches[0].Addr(), "m2"), serving("s-2", w.caches[1].Addr(), "m2"))
			w.n = start(t, w.d, longReads(10*time.Second))
			w.open = w.n.dial()
			w.open.send("mn\r\n")
			w.open.want("MN", "")
			asked := cross(w)
			for i, c := range asked {
				if line, _ := c.answer(); !strings.HasPrefix(line, "VA 1 ") {
					t.Errorf("request %d: %q", i, line)
				}
			}
			if code := w.n.wait(); code != 0 {
				t.Errorf("ended with status %d", code)
			}
			if want := fmt.Sprintf(" taken=%d served=%d ", len(asked), len(asked)); !strings.Contains(w.n.log(), want) || !strings.Contains(w.n.log(), " overdue=0 ") {
				t.Errorf("no%sin the counters", want)
			}
		})
	}
}

// The server closes a connection in the turn in which the node would write to it, and the client's request and its own end come in
// one turn: a write that may run once runs once, and is answered.
func TestAnIdleConnectionCloses(t *testing.T) {
	for _, first := range []string{"the end", "the request"} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			c := startCache(t, holding("v"))
			n := start(t, startDiscovery(t, serving("s-1", c.Addr(), "m2")), func(config map[string]any) {
				s := config["settings"].(map[string]any)
				s["FamilyInfo"] = map[string]any{"Mode": "through", "OriginKind": -1}
			})
			cl := n.dial()
			ask := func(i int) { cl.send(fmt.Sprintf("mg k v O%d Pc=pay,d=2500\r\n", i)) }
			for i := range 6 {
				if i > 0 { // else there is no connection yet
					n.still(func() {
						if first == "the request" {
							ask(i)
						}
						c.CloseConns()
						eventually(t, "it has closed", func() bool { open, _ := c.ConnCounts(); return open == 0 })
						if first == "the end" {
							ask(i)
						}
					})
				} else {
					ask(i)
				}
				cl.want(fmt.Sprintf("VA 1 O%d", i), "v")
			}
			if got := c.Commands(); len(got) != 6 {
				t.Errorf("the server was sent %q", got)
			}
		})
	}
}

// A connection that is about to be closed as idle, in the turn in which its client's next request is read: the request goes first.
func TestARequestOnAConnectionDueToClose(t *testing.T) {
	c := startCache(t, holding("v"))
	n := start(t, startDiscovery(t, serving("s-1", c.Addr(), "m2")), nil)
	cl := n.dial()
	cl.send("mg k v O1 Pc=read,d=2500\r\n")
	cl.want("VA 1 O1", "v")
	n.still(func() { time.Sleep(5200 * time.Millisecond); cl.send("mg k v O2 Pc=read,d=2500\r\n") })
	cl.want("VA 1 O2", "v")
}

// An answer that comes in the turn of its attempt's time-out, and of the client's end of patience: one answer, no more.
func TestAnAnswerInTheTurnOfItsTimeOut(t *testing.T) {
	gate := make(chan struct{})
	c := startCache(t, func(line string, v []byte) string { <-gate; return holding("v")(line, v) })
	n := start(t, startDiscovery(t, serving("s-1", c.Addr(), "m2")), nil)
	cl := n.dial()
	cl.send("mg k v O1 Pc=read,d=700\r\n")
	eventually(t, "it is out", func() bool { return len(c.Commands()) == 1 })
	n.still(func() { close(gate); time.Sleep(800 * time.Millisecond) })
	if line, _ := cl.answer(); !strings.HasPrefix(line, "VA 1 O1") && !strings.HasPrefix(line, "SERVER_ERROR ") {
		t.Errorf("%q", line)
	}
	cl.send("mn\r\n")
	cl.want("MN", "")
}
