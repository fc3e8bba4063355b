package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
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
	eventually(t, "it is out", func() bool { return len(c.Lines()) == 1 })
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
}
