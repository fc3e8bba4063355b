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

// withReadDeadline has reads wait for up to so long.
func withReadDeadline(wait time.Duration) func(map[string]any) {
	return func(config map[string]any) {
		c := config["settings"].(map[string]any)["Classes"].([]any)[0].(map[string]any)
		c["Aim"], c["Deadline"] = int64(wait), int64(wait)
	}
}

// A planned end leaves a process the longest deadline, 3 s at most, and 0.7 s more, then it is killed: requests whose clients
// would wait longer are answered before, those taken ahead of the signal and behind it, one out at a hanging cache and one held.
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
	eventually(t, "it is out", func() bool { return len(c.Lines()) == 1 })
	ask(1)
	n.signal(syscall.SIGTERM)
	kill := time.AfterFunc(3700*time.Millisecond, func() { n.signal(syscall.SIGKILL) })
	defer kill.Stop()
	eventually(t, "the node says that it leaves", func() bool { return strings.Contains(n.log(), "event=leaving") })
	ask(2)
	for i, cl := range all {
		if line, _ := cl.readAnswer(); !strings.HasPrefix(line, "SERVER_ERROR ") {
			t.Errorf("request %d: %q", i, line)
		}
	}
	if strings.Contains(n.log(), "event=overdue") {
		t.Error("what a planned end cuts off is told as a fault")
	}
}

// Events that cross are laid while the process stands still (SIGSTOP): all of them wait in the system when it goes on, and come in
// the same turn of its loop.
func (n *process) whileStopped(events func()) {
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
			eventually(t, "it leaves", func() bool { return strings.Contains(w.n.log(), "event=leaving") })
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
			eventually(t, "it leaves", func() bool { return strings.Contains(w.n.log(), "event=leaving") })
			w.n.whileStopped(func() { waitUntilClosing(); waitUntilClosing(); w.open.send(get("1")) })
			return []*client{w.open}
		},
		"behind one that is out": func(w *fixture) []*client {
			w.open.send(get("slow-1"))
			eventually(t, "it is out", func() bool { w.n.signal(syscall.SIGUSR1); return strings.Contains(w.n.log(), " attempts=1 ") })
			w.n.whileStopped(func() { term(w); waitUntilClosing(); w.open.send(get("2")) })
			return []*client{w.open, w.open}
		},
		"unread behind others as its connection would close": func(w *fixture) []*client {
			w.open.send(get("slow-1"))
			term(w)
			eventually(t, "it leaves", func() bool { return strings.Contains(w.n.log(), "event=leaving") })
			waitUntilClosing()
			w.open.send(get("2")) // with this one open the connection is not read any more
			eventually(t, "it is taken", func() bool { w.n.signal(syscall.SIGUSR1); return strings.Contains(w.n.log(), " taken=2 ") })
			w.open.send(get("3"))
			return []*client{w.open, w.open, w.open}
		},
		"a retry that is due": func(w *fixture) []*client {
			w.open.send(get("slow-1"))
			eventually(t, "it is out", func() bool { w.n.signal(syscall.SIGUSR1); return strings.Contains(w.n.log(), " attempts=1 ") })
			w.n.whileStopped(func() { // its connection ends in the turn of the signal
				for _, c := range w.caches {
					c.HangUp()
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
			c := startCache(t, answerValue("v"))
			n := startNode(t, startDiscovery(t, servingEntry("s-1", c.Addr(), "m2")), func(config map[string]any) {
				s := config["settings"].(map[string]any)
				s["FamilyInfo"] = map[string]any{"Mode": "through", "OriginKind": -1}
			})
			cl := n.dial()
			ask := func(i int) { cl.send(fmt.Sprintf("mg k v O%d Pc=pay,d=2500\r\n", i)) }
			for i := range 6 {
				if i > 0 { // else there is no connection yet
					n.whileStopped(func() {
						if first == "the request" {
							ask(i)
						}
						c.HangUp()
						eventually(t, "it has closed", func() bool { open, _ := c.Conns(); return open == 0 })
						if first == "the end" {
							ask(i)
						}
					})
				} else {
					ask(i)
				}
				cl.expect(fmt.Sprintf("VA 1 O%d", i), "v")
			}
			if got := c.Lines(); len(got) != 6 {
				t.Errorf("the server was sent %q", got)
			}
		})
	}
}

// A connection that is about to be closed as idle, in the turn in which its client's next request is read: the request goes first.
func TestARequestOnAConnectionDueToClose(t *testing.T) {
	c := startCache(t, answerValue("v"))
	n := startNode(t, startDiscovery(t, servingEntry("s-1", c.Addr(), "m2")), nil)
	cl := n.dial()
	cl.send("mg k v O1 Pc=read,d=2500\r\n")
	cl.expect("VA 1 O1", "v")
	n.whileStopped(func() { time.Sleep(5200 * time.Millisecond); cl.send("mg k v O2 Pc=read,d=2500\r\n") })
	cl.expect("VA 1 O2", "v")
}

// An answer that comes in the turn of its attempt's time-out, and of the client's end of patience: one answer, no more.
func TestAnAnswerInTheTurnOfItsTimeOut(t *testing.T) {
	gate := make(chan struct{})
	c := startCache(t, func(line string, v []byte) string { <-gate; return answerValue("v")(line, v) })
	n := startNode(t, startDiscovery(t, servingEntry("s-1", c.Addr(), "m2")), nil)
	cl := n.dial()
	cl.send("mg k v O1 Pc=read,d=700\r\n")
	eventually(t, "it is out", func() bool { return len(c.Lines()) == 1 })
	n.whileStopped(func() { close(gate); time.Sleep(800 * time.Millisecond) })
	if line, _ := cl.readAnswer(); !strings.HasPrefix(line, "VA 1 O1") && !strings.HasPrefix(line, "SERVER_ERROR ") {
		t.Errorf("%q", line)
	}
	cl.send("mn\r\n")
	cl.expect("MN", "")
}
