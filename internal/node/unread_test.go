package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lapisshelf/policy"
)

// runFor runs the loop for a while.
func (s *fixture) runFor(d time.Duration) {
	s.t.Helper()
	end := s.node.loop.Now() + d
	s.runUntil("the time has passed", func() bool { return s.node.loop.Now() >= end })
}

// newOccupiedFixture returns a fixture whose cache server works for the request "first" until gate is closed. It answers the request
// "long" only once hold is closed, too.
func newOccupiedFixture(t *testing.T) (s *fixture, gate, hold chan struct{}) {
	t.Helper()
	gate, hold = make(chan struct{}), make(chan struct{})
	s = newFixture(t, false, func(line string, v []byte) string {
		if strings.Contains(line, "Olong") {
			<-hold
		}
		<-gate
		return answerAny(line, v)
	})
	s.sendReads("first")
	s.waitTaken(1)
	return s, gate, hold
}

// Guards against counting a long write's time from when it is read: while it waits for room at its server its client is not read, and
// the rest of the value stands in the node's machine.
func TestALongWriteThatWaitedUnreadIsAnsweredInTime(t *testing.T) {
	const size, timeout = 160 << 10, 25 * time.Second
	for _, followed := range []bool{false, true} {
		s, gate, hold := newOccupiedFixture(t)
		conn := s.sendReads()
		text := fmt.Sprintf("ms key %d Olong Pc=read,d=%d\r\n%s\r\n", size, timeout.Milliseconds(), strings.Repeat("x", size))
		if followed {
			text += "mg key v Onext Pc=read,d=25000\r\n"
		}
		if _, err := conn.Write([]byte(text)); err != nil { // the node's machine takes it, if not the node
			t.Fatal(err)
		}
		sentAt := s.node.loop.Now()
		s.waitTaken(2)
		k := s.node.requests["long"]
		s.runFor(stallTime)
		if k.received {
			t.Fatal("the value was read without room for it")
		}
		close(gate)
		s.runUntil("all of it has been read", func() bool { return k.received })
		if late := k.deadline - (sentAt + timeout); late > tolerance {
			t.Errorf("followed by another request %t: its time ends %v late", followed, late)
		}
		if early := sentAt + timeout - k.deadline; !followed && early > tolerance {
			t.Errorf("its time ends %v early, though the system knows when it arrived", early)
		}
		close(hold)
	}
}

// The same for requests that stand unread because their client has maxPipelined others open.
func TestRequestsThatWaitedUnreadBehindOthersTellWhatIsLeft(t *testing.T) {
	const timeout = 25 * time.Second
	gate := make(chan struct{})
	s := newFixture(t, false, func(line string, v []byte) string {
		<-gate
		return answerHit(line, v)
	})
	ids := make([]string, maxPipelined)
	for i := range ids {
		ids[i] = fmt.Sprint("open", i)
	}
	conn := s.sendReads(ids...)
	s.waitTaken(maxPipelined)
	for _, id := range []string{"late-1", "late-2"} {
		if _, err := fmt.Fprintf(conn, "mg key-%s v O%s Pc=read,d=%d\r\n", id, id, timeout.Milliseconds()); err != nil {
			t.Fatal(err)
		}
	}
	s.runFor(stallTime)
	if s.node.count.taken != maxPipelined {
		t.Fatal("they were read")
	}
	close(gate)
	s.runUntil("all are served", func() bool { return s.outcomes(policy.OK) == maxPipelined+2 })
	for _, id := range []string{"late-1", "late-2"} {
		if got := s.timeoutSent(id); got > timeout-stallTime+tolerance {
			t.Errorf("%s: forwarded a timeout of %v with %v left", id, got, timeout-stallTime)
		}
	}
}

// What arrives after a pause with nothing unread counts from its own arrival.
func TestAPauseWithNothingUnreadCostsNoTime(t *testing.T) {
	s := newFixture(t, false, answerHit)
	conn := s.sendReads("first")
	s.runUntil("it is served", func() bool { return s.outcomes(policy.OK) == 1 })
	var c *client
	for c = range s.node.clients.all {
	}
	c.conn.SetPaused(true)
	s.runFor(stallTime)
	c.conn.SetPaused(false)
	fmt.Fprintf(conn, "mg key-a v Oa Pc=read,d=25000\r\nmg key-b v Ob Pc=read,d=25000\r\n")
	s.runUntil("both are served", func() bool { return s.outcomes(policy.OK) == 3 })
	for _, id := range []string{"a", "b"} {
		if got := s.timeoutSent(id); got < 25*time.Second-tolerance {
			t.Errorf("%s: forwarded a timeout of %v", id, got)
		}
	}
	if c.node.count.taken != 3 {
		t.Errorf("%d requests", c.node.count.taken)
	}
}
