package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A process that was stopped forwards no more than the remaining time of requests that arrived meanwhile, on established and on new
// connections; a request whose deadline has passed is refused.
func TestAStoppedProcessTellsWhatIsLeft(t *testing.T) {
	const (
		stopped = 1200 * time.Millisecond
		asked   = 2000
		slack   = 150
	)
	c := startCache(t, answerValue("v"))
	d := startDiscovery(t, servingEntry("s-a", c.Addr(), "m2"))
	n := startNode(t, d, nil)
	var standing []*client
	for i := range 5 {
		cl := n.dial()
		cl.send(fmt.Sprintf("mg k%d v Owarm%d Pc=read,d=2000\r\n", i, i))
		cl.expect(fmt.Sprintf("VA 1 Owarm%d", i), "v")
		standing = append(standing, cl)
	}
	time.Sleep(30 * time.Millisecond)
	n.signal(syscall.SIGSTOP)
	time.Sleep(100 * time.Millisecond)
	ids := map[string]*client{}
	for i, cl := range standing {
		ids[fmt.Sprint("stands", i)] = cl
	}
	for i := range 80 { // more than one iteration of the event loop accepts
		ids[fmt.Sprint("new", i)] = n.dial()
	}
	for id, cl := range ids {
		cl.send(fmt.Sprintf("mg k-%s v O%s Pc=read,d=%d\r\n", id, id, asked))
	}
	late := n.dial()
	late.send("mg k v Olate Pc=read,d=600\r\n")
	time.Sleep(stopped)
	n.signal(syscall.SIGCONT)
	for id, cl := range ids { // the concurrency limit of the one cache refuses some
		if line, _ := cl.readAnswer(); line != "VA 1 O"+id && !strings.HasPrefix(line, "SERVER_ERROR busy") {
			t.Errorf("%s is answered %q", id, line)
		}
	}
	if line, _ := late.readAnswer(); !strings.HasPrefix(line, "SERVER_ERROR busy") {
		t.Errorf("a request whose deadline has passed is answered %q", line)
	}
	maxDeadline := asked - int(stopped/time.Millisecond) + slack
	if got := len(c.Commands()); got <= len(standing) {
		t.Errorf("%d lines at the cache", got)
	}
	for _, line := range c.Commands() {
		var deadline int
		_, text, _ := strings.Cut(line, ",d=")
		fmt.Sscan(text, &deadline)
		switch {
		case strings.Contains(line, " Owarm"):
		case strings.Contains(line, " Olate"):
			t.Errorf("forwarded after its deadline: %q", line)
		case deadline > maxDeadline:
			t.Errorf("%q, with at most %d ms remaining", line, asked-int(stopped/time.Millisecond))
		}
	}
}
