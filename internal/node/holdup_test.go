package node

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"lapisshelf/policy"
)

// heldUp is how long the node stands still in these tests, allowed is by how much what it tells may be too long.
const (
	heldUp  = 600 * time.Millisecond
	allowed = 150 * time.Millisecond
)

// toldOf is what the cache was told of the time that is left to a request.
func (s *stage) toldOf(id string) time.Duration {
	s.t.Helper()
	for _, line := range s.cache.Lines() {
		if strings.Contains(line, " O"+id+" ") {
			return time.Duration(wait(s.t, line)) * time.Millisecond
		}
	}
	s.t.Fatalf("%s was not sent", id)
	return 0
}

// A request's time counts from its last byte: what it waited unread, because the process was stopped or busy, is not told to
// servers as left. The request may come on a connection that stands, or wait with its connection in the listen queue.
func TestWhatARequestWaitedUnreadIsNotToldAsLeft(t *testing.T) {
	const asked = 25000 * time.Millisecond
	line := func(id string) []byte { return []byte("mg key-" + id + " v O" + id + " Pc=read,d=25000\r\n") }
	stopped := func(s *stage, send func()) { // between two runs of the loop, as a process that is stopped
		send()
		time.Sleep(heldUp)
	}
	busy := func(s *stage, send func()) {
		s.node.loop.Defer(func() {
			send()
			time.Sleep(heldUp)
		})
	}
	for name, hold := range map[string]func(*stage, func()){"stopped": stopped, "busy": busy} {
		for _, fresh := range []bool{false, true} {
			s := newStage(t, false, answering)
			conn := s.ask("first")
			s.runUntil("the first is served", func() bool { return s.outcomes(policy.OK) == 1 })
			hold(s, func() {
				if fresh {
					conn = s.ask("waits")
				} else if _, err := conn.Write(line("waits")); err != nil {
					t.Error(err)
				}
			})
			s.runUntil("it is served", func() bool { return s.outcomes(policy.OK) == 2 })
			if got := s.toldOf("waits"); got > asked-heldUp+allowed {
				t.Errorf("%s, on a new connection %t: told %v with %v left", name, fresh, got, asked-heldUp)
			}
			if got := s.toldOf("first"); got < asked-allowed {
				t.Errorf("%s: the first told %v", name, got)
			}
		}
	}
}

// A request whose time is over as it is read is refused at once: nothing is sent for it.
func TestARequestThatIsReadTooLateIsRefused(t *testing.T) {
	s := newStage(t, false, answering)
	conn := s.ask("first")
	s.runUntil("the first is served", func() bool { return s.outcomes(policy.OK) == 1 })
	if _, err := conn.Write([]byte("mg key v Olate Pc=read,d=300\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(heldUp)
	s.runUntil("it is answered", func() bool { return s.node.count.ended[refused] == 1 })
	for _, id := range s.came() {
		if id == "late" {
			t.Error("it was sent")
		}
	}
	answer := readLines(t, conn, 3)
	if !strings.HasPrefix(answer[2], "SERVER_ERROR busy") {
		t.Errorf("answered %q", answer)
	}
}

// Connections that wait beyond those that are accepted in a turn have waited as long as those.
func TestConnectionsBeyondATurnsHaveWaitedTheSame(t *testing.T) {
	const many = 150
	s := newStage(t, false, answering)
	for i := range many {
		conn := s.ask()
		if _, err := fmt.Fprintf(conn, "mg key v Olate%d Pc=read,d=300\r\n", i); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(heldUp)
	s.node.cfg.Sockets = 4 * many
	s.runUntil("all are answered", func() bool { return s.node.count.ended[refused] == many })
	if got := s.node.count.tooLate; got != many || len(s.came()) != 0 {
		t.Errorf("%d of %d were too late, %d were sent", got, many, len(s.came()))
	}
}

// readLines reads so many lines of answers.
func readLines(t *testing.T, conn net.Conn, count int) []string {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	text := ""
	buffer := make([]byte, 1<<10)
	for strings.Count(text, "\r\n") < count {
		n, err := conn.Read(buffer)
		if err != nil {
			t.Fatalf("%q, %v", text, err)
		}
		text += string(buffer[:n])
	}
	return strings.Split(text, "\r\n")
}
