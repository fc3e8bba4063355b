package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/policy"
)

// originHarness is a harness whose server is an origin. Its connections settle settleTime after an answer.
func originHarness(t *testing.T, settleTime time.Duration) *harness {
	b := newHarness(t)
	b.node.cfg.Settings.OriginKind = "origin"
	b.node.cfg.Transport.ConnectTimeout = settleTime
	b.pool.proto = originProtocol{host: "origin"}
	return b
}

// readRequest reads the next request on a connection of the origin and returns its id.
func readRequest(t *testing.T, in *bufio.Reader) string {
	t.Helper()
	q, err := http.ReadRequest(in)
	if err != nil {
		t.Fatal(err)
	}
	return q.Header.Get("Request-Id")
}

// answerOf is the origin's answer to a request.
func answerOf(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nvalue of %s", len("value of "+id), id)
}

// originConn accepts the node's next connection and returns it with the id of its first request.
func (b *harness) originConn() (net.Conn, *bufio.Reader, string) {
	b.t.Helper()
	conn := b.accept(0)
	in := bufio.NewReader(conn)
	return conn, in, readRequest(b.t, in)
}

// sendFor starts an attempt of a request with an effect, and returns it.
func (b *harness) sendFor(id string, effect safety.Effect) *attempt {
	b.t.Helper()
	return b.sendAttempt(&request{id: id, class: &class{name: "read", effect: effect, window: time.Hour}, client: &client{node: b.node, closed: true}})
}

// holdUnsettled keeps the first connection from settling, however slow the machine is.
func (b *harness) holdUnsettled() { b.pool.conns[0].lastReceived = b.node.loop.Now() + time.Hour }

// answered runs the loop until an attempt has ended and returns its request's answer.
func (b *harness) answered(t *attempt) string {
	b.t.Helper()
	b.runUntil("the attempt ends", func() bool { return t.done })
	return string(t.request.answer)
}

// Guards against serving a request with the second copy of another's answer: an origin's answers name no request, and a copy that is
// still on its way when the next request goes out cannot be seen.
func TestALateCopyIsNotTakenForTheNextAnswer(t *testing.T) {
	for _, effect := range []safety.Effect{safety.Safe, safety.Keyed, safety.Unsafe} {
		b := originHarness(t, time.Minute)
		first := b.sendFor("1", effect)
		conn, _, _ := b.originConn()
		io.WriteString(conn, answerOf("1"))
		if got := b.answered(first); !strings.HasSuffix(got, "value of 1\r\n") {
			t.Fatalf("the first got %q", got)
		}
		b.holdUnsettled()
		second := b.sendFor("2", effect)
		io.WriteString(conn, answerOf("1")) // the node has written its next request by now
		other, _, id := b.originConn()
		if id != "2" || b.node.count.serverConns != 2 {
			t.Fatalf("%d connections, the second one for %q", b.node.count.serverConns, id)
		}
		b.runUntil("the copy is met", func() bool { return b.node.count.surplusAnswers == 1 })
		io.WriteString(other, answerOf("2"))
		if got := b.answered(second); !strings.HasSuffix(got, "value of 2\r\n") {
			t.Errorf("effect %d: the second got %q", effect, got)
		}
		if len(b.pool.conns) != 0 || b.node.count.violations != 0 {
			t.Errorf("%d connections stay, at a server that sends copies; %d violations", len(b.pool.conns), b.node.count.violations)
		}
	}
}

// An origin's connection carries the next request once it has settled, and not if the origin has lately sent more than it was asked for.
func TestASettledConnectionIsUsedAgain(t *testing.T) {
	const settleTime = 20 * time.Millisecond
	b := originHarness(t, settleTime)
	first := b.send("1")
	conn, in, _ := b.originConn()
	io.WriteString(conn, answerOf("1"))
	b.answered(first)
	settled := func() bool { return b.node.loop.Now()-b.pool.conns[0].lastReceived >= settleTime }
	b.runUntil("the connection has settled", settled)
	second := b.send("2")
	if id := readRequest(t, in); id != "2" || b.node.count.serverConns != 1 {
		t.Fatalf("%d connections, %q on the first", b.node.count.serverConns, id)
	}
	io.WriteString(conn, answerOf("2"))
	b.answered(second)
	b.runUntil("the connection has settled", settled)
	b.pool.surplusSeen, b.pool.surplusAt = true, b.node.loop.Now()
	b.send("3")
	if b.node.count.serverConns != 2 {
		t.Error("a connection to an origin that sends copies was used again")
	}
}

// A second copy that has come before the next request is written is found by the look before it, and counted.
func TestACopyMetAtRestIsCounted(t *testing.T) {
	b := originHarness(t, time.Millisecond)
	first := b.send("1")
	conn, _, _ := b.originConn()
	io.WriteString(conn, answerOf("1"))
	b.answered(first)
	io.WriteString(conn, answerOf("1"))
	eventually(t, "the copy has come", b.pool.conns[0].conn.Unread) // the loop does not run, so it is not read
	time.Sleep(b.node.settleTime())
	b.send("2")
	if b.node.count.surplusAnswers != 1 || b.node.count.serverConns != 2 {
		t.Errorf("%d copies counted, %d connections", b.node.count.surplusAnswers, b.node.count.serverConns)
	}
}

// Guards against taking what a server sent before it had the request for the answer to it: that much can be told also under a request.
func TestAnAnswerFromBeforeItsRequestIsRefused(t *testing.T) {
	b := originHarness(t, 0)
	first := b.send("1")
	conn, in, _ := b.originConn()
	io.WriteString(conn, answerOf("1"))
	b.answered(first)
	l := b.pool.conns[0]
	b.node.cfg.Transport.ConnectTimeout = time.Nanosecond
	second := b.send("2")
	if second.link != l || readRequest(t, in) != "2" {
		t.Fatal("the second did not go out on the first connection")
	}
	second.startOffset, second.endOffset = second.startOffset+1000, l.conn.Written() // as if the origin had acknowledged none of it
	io.WriteString(conn, answerOf("1"))
	if b.answered(second); b.outcomes(policy.Reset) != 1 || b.node.count.violated[safety.Unsettled] != 1 || second.request.answered {
		t.Errorf("%v, %d violations", b.node.count.outcomes, b.node.count.violations)
	}
}

// Guards against taking a late copy of a cache server's refusal, which names no request, for the proof that the next write has not run.
func TestALateCopyOfARefusalProvesNothing(t *testing.T) {
	const busy = "SERVER_ERROR busy\r\n"
	for _, effect := range []safety.Effect{safety.Keyed, safety.Unsafe} {
		b := newHarness(t)
		first := b.sendFor("1", effect)
		conn := b.accept(1)
		io.WriteString(conn, busy)
		b.answered(first)
		b.holdUnsettled()
		b.sendFor("2", effect)
		if b.node.count.serverConns != 2 {
			t.Errorf("effect %d: a write went out behind a refusal, on %d connections", effect, b.node.count.serverConns)
		}
		b.accept(1)
		b.send("read")
		if b.node.count.serverConns != 2 {
			t.Error("a read, which bears a copy of a refusal, did not use the connection")
		}

		b = newHarness(t)
		first = b.sendFor("1", effect)
		conn = b.accept(1)
		b.node.serverConns = b.node.maxServerConns() // no more connections may be opened
		second := b.sendFor("2", effect)
		io.WriteString(conn, busy+busy)
		b.answered(first)
		if b.answered(second); second.link != nil || b.outcomes(policy.Full) != 1 || b.outcomes(policy.Errored) != 1 || !second.mayHaveRun {
			t.Errorf("effect %d: behind a refusal on a shared connection: %v", effect, b.node.count.outcomes)
		}
	}
}

// The copy of a refusal was taken for that of the next read on the connection, which went on to another server while it ran at this one.
func TestAReadWhoseRefusalMayBeACopyIsNotLeftRunning(t *testing.T) {
	const busy = "SERVER_ERROR busy\r\n"
	for _, c := range []struct {
		name       string
		settleTime time.Duration
		surplus    bool // the server has sent more than it was asked for
		parallel   bool // a second attempt may run beside the first
		effect     safety.Effect
		closed     bool
	}{
		{"unsettled", time.Minute, false, false, safety.Safe, true},
		{"settled", time.Nanosecond, false, false, safety.Safe, false},
		{"settled, at a server that sends copies", time.Nanosecond, true, false, safety.Safe, true},
		{"unsettled, with parallel attempts", time.Minute, false, true, safety.Safe, false},
		{"settled, a write", time.Nanosecond, false, true, safety.Keyed, false},
	} {
		b := newHarness(t)
		b.node.cfg.Transport.ConnectTimeout, b.node.cfg.Settings.Parallel = c.settleTime, c.parallel
		first := b.sendFor("1", c.effect)
		conn := b.accept(1)
		io.WriteString(conn, busy)
		b.answered(first)
		b.pool.surplusSeen, b.pool.surplusAt = c.surplus, b.node.loop.Now()
		second := b.sendFor("2", c.effect)
		if second.link == nil || b.node.count.serverConns != 1 {
			t.Fatalf("%s: the second did not go out on the first connection", c.name)
		}
		io.WriteString(conn, busy)
		if b.answered(second); b.outcomes(policy.Full) != 2 || (len(b.pool.conns) == 0) != c.closed {
			t.Errorf("%s: %d connections are open behind the second refusal, %v", c.name, len(b.pool.conns), b.node.count.outcomes)
		}
	}
}

// A read takes a connection on which no copy of an answer can come, if there is one.
func TestAReadPrefersASettledConnection(t *testing.T) {
	b := newHarness(t)
	b.node.cfg.Transport.ConnectTimeout = time.Minute
	first, second := b.send("1"), b.send("2")
	named, refused := b.accept(1), b.accept(1)
	io.WriteString(named, "EN O1\r\n")
	b.answered(first)
	io.WriteString(refused, "SERVER_ERROR busy\r\n")
	b.answered(second)
	if third := b.send("3"); third.link == nil || !third.link.lastNamed {
		t.Error("it took the one that a refusal came on last")
	}
}
