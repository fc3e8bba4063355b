package node

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"lapisshelf/policy"
)

const longWriteTimeout = 25 * time.Second

// sendLongWrite sends a write of so many bytes from a new client, whose machine and the node's take all of it at once.
func (s *fixture) sendLongWrite(id string, size int) net.Conn {
	s.t.Helper()
	conn := s.sendReads()
	if err := conn.SetWriteBuffer(2 * size); err != nil {
		s.t.Fatal(err)
	}
	text := fmt.Sprintf("ms key-%s %d O%s Pc=read,d=%d\r\n%s\r\n", id, size, id, longWriteTimeout.Milliseconds(), strings.Repeat("x", size))
	conn.SetWriteDeadline(time.Now().Add(stallTime / 2))
	if _, err := conn.Write([]byte(text)); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// answerAny answers a read with a value and a write with a receipt.
func answerAny(line string, value []byte) string {
	if !strings.HasPrefix(line, "ms ") {
		return answerHit(line, value)
	}
	_, id, _ := strings.Cut(line, " O")
	id, _, _ = strings.Cut(id, " ")
	return "HD O" + id + " cR1\r\n"
}

// Guards against a long write that tells its server more than its client has left, because its connection to the server took a while
// to be established.
func TestALongWriteTellsWhatIsLeftAsItsConnectionComesUp(t *testing.T) {
	for _, size := range []int{80 << 10, 1 << 20} {
		s := newFixture(t, false, answerAny)
		s.cache.SetSilent(true)
		s.sendLongWrite("long", size)
		s.waitTaken(1)
		l := s.pool.conns[0]
		if l.connected {
			t.Fatal("its connection is up")
		}
		s.runFor(stallTime)
		s.cache.SetSilent(false)
		s.runUntil("it is served", func() bool { return s.outcomes(policy.OK) == 1 })
		if got := s.timeoutSent("long"); got > longWriteTimeout-stallTime+tolerance || got <= 0 {
			t.Errorf("%d bytes: forwarded a timeout of %v with %v left", size, got, longWriteTimeout-stallTime)
		}
		s.runUntil("the connection is idle", func() bool { return len(s.pool.idle) == 1 })
		if x := &s.node.count; x.written != 1 || x.violations != 0 || l.conn.Pending() != 0 {
			t.Errorf("%d bytes: %d attempts written, %d violations, %d bytes pending", size, x.written, x.violations, l.conn.Pending())
		}
		s.sendReads("next")
		s.runUntil("the next is served", func() bool { return s.outcomes(policy.OK) == 2 })
	}
}

// Guards against a long write that tells its server more than its client has left, because it stood unread: the process was stopped.
func TestALongWriteThatIsReadLateTellsWhatIsLeft(t *testing.T) {
	for _, size := range []int{80 << 10, 1 << 20} {
		s := newFixture(t, false, answerAny)
		s.sendReads("first")
		s.runUntil("the first is served", func() bool { return s.outcomes(policy.OK) == 1 })
		s.sendLongWrite("long", size)
		time.Sleep(stallTime)
		s.runUntil("it is served", func() bool { return s.outcomes(policy.OK) == 2 })
		if got := s.timeoutSent("long"); got > longWriteTimeout-stallTime+tolerance || got <= 0 {
			t.Errorf("%d bytes: forwarded a timeout of %v with %v left", size, got, longWriteTimeout-stallTime)
		}
	}
}

// Guards against sending a long write whose client has stopped waiting while it stood unread. What follows it is served.
func TestALongWriteThatIsReadTooLateIsRefused(t *testing.T) {
	for _, size := range []int{80 << 10, 1 << 20} {
		s := newFixture(t, false, answerAny)
		conn := s.sendReads("first")
		s.runUntil("the first is served", func() bool { return s.outcomes(policy.OK) == 1 })
		if err := conn.SetWriteBuffer(2 * size); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "ms key %d Olate Pc=read,d=300\r\n%s\r\n", size, strings.Repeat("x", size))
		time.Sleep(stallTime)
		s.runUntil("it is refused", func() bool { return s.node.count.ended[refused] == 1 })
		fmt.Fprintf(conn, "mg key v Onext Pc=read,d=25000\r\n")
		s.runUntil("the next is served", func() bool { return s.outcomes(policy.OK) == 2 })
		if got := s.idsAtCache(); !slices.Equal(got, []string{"first", "next"}) {
			t.Errorf("%d bytes: the cache was sent %q", size, got)
		}
	}
}

// Guards against a long write whose deadline counts anew for the part that its client's machine holds, where the receive buffer of the
// node was full.
func TestALongWriteLargerThanTheReceiveBufferIsAnsweredInTime(t *testing.T) {
	s, gate, hold := newOccupiedFixture(t)
	s.sendLongWrite("long", 2<<20)
	sentAt := s.node.loop.Now()
	s.waitTaken(2)
	k := s.node.requests["long"]
	s.runFor(stallTime)
	if k.received {
		t.Fatal("the value was read without room for it")
	}
	close(gate)
	s.runUntil("all of it has been read", func() bool { return k.received })
	if late := k.deadline - (sentAt + longWriteTimeout); late > tolerance {
		t.Errorf("its time ends %v late", late)
	}
	close(hold)
}
