package node

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"lapisshelf/policy"
)

// stallTime is how long the node stands still in these tests, tolerance by how much a forwarded timeout may be too long.
const (
	stallTime = 600 * time.Millisecond
	tolerance = 150 * time.Millisecond
)

// timeoutSent returns the timeout that a request told the cache.
func (s *fixture) timeoutSent(id string) time.Duration {
	s.t.Helper()
	for _, line := range s.cache.Commands() {
		if strings.Contains(line, " O"+id+" ") {
			return time.Duration(timeoutOf(s.t, line)) * time.Millisecond
		}
	}
	s.t.Fatalf("%s was not sent", id)
	return 0
}

// A request's time budget counts from the arrival of its last byte: time during which it was unread, because the process was
// stopped or busy, must not be forwarded to servers as remaining. The request may arrive on an established connection, or wait
// with its connection in the listen queue.
func TestTimeUnreadIsDeductedFromTheForwardedTimeout(t *testing.T) {
	const timeout = 25000 * time.Millisecond
	line := func(id string) []byte { return []byte("mg key-" + id + " v O" + id + " Pc=read,d=25000\r\n") }
	stopped := func(s *fixture, send func()) { // between two runs of the loop, as in a stopped process
		send()
		time.Sleep(stallTime)
	}
	busy := func(s *fixture, send func()) {
		s.node.loop.Defer(func() {
			send()
			time.Sleep(stallTime)
		})
	}
	for name, hold := range map[string]func(*fixture, func()){"stopped": stopped, "busy": busy} {
		for _, fresh := range []bool{false, true} {
			s := newFixture(t, false, answerHit)
			conn := s.sendReads("first")
			s.runUntil("the first is served", func() bool { return s.outcomes(policy.OK) == 1 })
			hold(s, func() {
				if fresh {
					conn = s.sendReads("waits")
				} else if _, err := conn.Write(line("waits")); err != nil {
					t.Error(err)
				}
			})
			s.runUntil("it is served", func() bool { return s.outcomes(policy.OK) == 2 })
			if got := s.timeoutSent("waits"); got > timeout-stallTime+tolerance {
				t.Errorf("%s, on a new connection %t: forwarded a timeout of %v with %v left", name, fresh, got, timeout-stallTime)
			}
			if got := s.timeoutSent("first"); got < timeout-tolerance {
				t.Errorf("%s: the first forwarded a timeout of %v", name, got)
			}
		}
	}
}

// A request whose deadline has passed when it is read is refused at once, and nothing is sent for it.
func TestARequestThatIsReadTooLateIsRefused(t *testing.T) {
	s := newFixture(t, false, answerHit)
	conn := s.sendReads("first")
	s.runUntil("the first is served", func() bool { return s.outcomes(policy.OK) == 1 })
	if _, err := conn.Write([]byte("mg key v Olate Pc=read,d=300\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(stallTime)
	s.runUntil("it is answered", func() bool { return s.node.count.ended[refused] == 1 })
	for _, id := range s.idsAtCache() {
		if id == "late" {
			t.Error("it was sent")
		}
	}
	answer := readLines(t, conn, 3)
	if !strings.HasPrefix(answer[2], "SERVER_ERROR busy") {
		t.Errorf("answered %q", answer)
	}
}

// Connections left in the listen queue after one turn of accepts have waited as long as those accepted in it.
func TestConnectionsAcceptedInLaterTurnsHaveWaitedAsLong(t *testing.T) {
	const many = 150
	s := newFixture(t, false, answerHit)
	for i := range many {
		conn := s.sendReads()
		if _, err := fmt.Fprintf(conn, "mg key v Olate%d Pc=read,d=300\r\n", i); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(stallTime)
	s.node.cfg.Sockets = 4 * many
	s.runUntil("all are answered", func() bool { return s.node.count.ended[refused] == many })
	if got := s.node.count.tooLate; got != many || len(s.idsAtCache()) != 0 {
		t.Errorf("%d of %d were too late, %d were sent", got, many, len(s.idsAtCache()))
	}
}

// readLines reads this many lines of answers.
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

// Guards against refusing a request that comes just before a stopped process goes on, as if it had come when the process was stopped.
func TestARequestThatComesAsTheProcessGoesOnHasItsTime(t *testing.T) {
	s := newFixture(t, false, answerHit)
	conn := s.sendReads("first")
	s.runUntil("the first is served", func() bool { return s.outcomes(policy.OK) == 1 })
	for i := range 5 {
		time.Sleep(stallTime)
		id := fmt.Sprint("next-", i)
		if _, err := fmt.Fprintf(conn, "mg key v O%s Pc=read,d=300\r\n", id); err != nil {
			t.Fatal(err)
		}
		s.runUntil("it is served", func() bool { return s.outcomes(policy.OK) == int64(i+2) })
	}
}
