package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"lapisshelf/policy"
)

// smallWindow is the size of a test client's receive buffer: the rest of what it is sent stays at the node's machine.
const smallWindow = 4 << 10

// connectSlowClient connects a client with a small receive buffer.
func (b *harness) connectSlowClient() (peer net.Conn, c *client) {
	b.t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow) })
	}}
	peer, err := d.Dial("tcp", b.clientAddr().String())
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { peer.Close() })
	return peer, b.newestClient()
}

// readsOf starts a read of this client for each id, each on a connection of its own to the server, and returns those.
func (b *harness) readsOf(c *client, ids ...string) (servers []net.Conn) {
	b.t.Helper()
	for _, id := range ids {
		k := &request{id: id, class: b.node.classes["read"], client: c}
		c.requests = append(c.requests, k)
		b.sendAttempt(k)
		servers = append(servers, b.accept(1))
	}
	return servers
}

// Guards against ending the connection of a client whose answers take too much memory: reads whose answers wait behind others are
// failed, and the connection stays.
func TestQueuedAnswersAreGivenUpForMemory(t *testing.T) {
	const size = 60000
	b := newHarness(t)
	n := b.node
	n.cfg.MemoryMB = 1 // so four of the answers fit
	n.classes["read"] = &class{name: "read", maxDeadline: time.Minute}
	peer, c := b.connectClient()
	servers := b.readsOf(c, "0", "1", "2", "3", "4", "5", "6")
	value := strings.Repeat("x", size)
	for i, server := range servers[1:] {
		fmt.Fprintf(server, "VA %d O%d\r\n%s\r\n", size, i+1, value)
		b.runUntil("it is answered", func() bool { return b.outcomes(policy.OK) == int64(i+1) })
		if n.clientBytes > n.maxHeldBytes() || c.closed {
			t.Fatalf("after %d answers %d bytes are held, closed: %t", i+1, n.clientBytes, c.closed)
		}
	}
	io.WriteString(servers[0], "VA 1 O0\r\nx\r\n")
	b.runUntil("all are written", func() bool { return len(c.requests) == 0 && c.conn.Pending() == 0 })
	if n.count.answersDropped != 2 || n.count.ended[served] != 5 || n.count.ended[failed] != 2 || n.count.clientsSlow != 0 {
		t.Errorf("%d answers dropped, ended %v, %d slow clients", n.count.answersDropped, n.count.ended, n.count.clientsSlow)
	}
	in, lines := bufio.NewReader(peer), 0
	for range 7 {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(line, "VA ") {
			in.ReadString('\n')
		}
		lines++
	}
	if lines != 7 || n.clientBytes != 0 {
		t.Errorf("%d answers, %d bytes are held at the end", lines, n.clientBytes)
	}
}

// A request whose answer has to wait for others is refused once memory is scarce, one that is answered at once is not.
func TestScarceMemoryRefusesWhatHasToWait(t *testing.T) {
	b := newHarness(t)
	n := b.node
	_, c := b.connectClient()
	n.clientBytes = n.maxHeldBytes()/2 + 1
	if n.atCapacity(c, 0) {
		t.Error("no room for a request whose answer is next")
	}
	c.requests = []*request{{}}
	if !n.atCapacity(c, 0) {
		t.Error("room for one that waits behind another")
	}
	n.clientBytes = 0
	if n.atCapacity(c, 0) {
		t.Error("no room with nothing held")
	}
}

// Guards against ending the connections of clients that read, when their long values together take too much memory: with a large
// piece held for each of them, these would hold more than may be held.
func TestManySlowReadersKeepTheirConnections(t *testing.T) {
	const size, readers = 4 << 20, 40
	b := newHarness(t)
	n := b.node
	n.cfg.MemoryMB, n.cfg.Sockets = 2, 1024 // eight large pieces may be held
	n.classes["read"] = &class{name: "read", maxDeadline: time.Minute}
	var peers []net.Conn
	for i := range readers {
		peer, c := b.connectSlowClient()
		id := fmt.Sprint(i)
		server := b.readsOf(c, id)[0]
		go fmt.Fprintf(server, "VA %d O%s\r\n%s\r\n", size, id, strings.Repeat("x", size))
		peers = append(peers, peer)
		b.runUntil("the client has more to come than its machine and this one's system take", func() bool { return c.closed || c.conn.Pending() > 0 })
		if n.clientBytes > n.maxHeldBytes() || n.count.clientsSlow > 0 {
			t.Fatalf("with %d readers %d bytes are held, %d connections are closed", i+1, n.clientBytes, n.count.clientsSlow)
		}
	}
	whole := make(chan error, readers)
	for _, peer := range peers {
		go func() {
			peer.(*net.TCPConn).SetReadBuffer(1 << 20)
			in := bufio.NewReader(peer)
			in.ReadString('\n')
			_, err := io.CopyN(io.Discard, in, size+2)
			whole <- err
		}()
	}
	b.runUntil("all have read their values", func() bool { return len(whole) == readers })
	for range readers {
		if err := <-whole; err != nil {
			t.Error(err)
		}
	}
	if n.count.ended[served] != readers || n.clientBytes != 0 {
		t.Errorf("ended %v, %d bytes are held at the end", n.count.ended, n.clientBytes)
	}
}

// Guards against leaving a request without an answer when its long value is given up: one that waits for its turn, as too many bytes of
// responses are held, and one whose turn has come, as too many are held for clients. Its server gets no bad name for it.
func TestALongValueThatIsGivenUpFailsItsRequest(t *testing.T) {
	const size = 1 << 20
	for _, ownTurn := range []bool{false, true} {
		b := newHarness(t)
		n := b.node
		n.classes["read"] = &class{name: "read", maxDeadline: time.Minute}
		peer, c := b.connectClient()
		servers := b.readsOf(c, "0", "1")
		fmt.Fprintf(servers[1], "VA %d O1\r\n%s", size, strings.Repeat("x", 8<<10))
		second := c.requests[1]
		b.runUntil("the value waits for its turn", func() bool { return second.body != nil && n.responseBytes > 0 })
		others := n.maxHeldBytes()
		if ownTurn {
			n.clientBytes += others
		} else {
			n.responseBytes += others
			n.loop.Defer(func() {
				n.relieveResponses()
				n.responseBytes -= others
			})
		}
		fmt.Fprintf(servers[0], "EN O0\r\n")
		b.runUntil("the first attempt ends", func() bool { return b.outcomes(policy.Miss) == 1 })
		n.reply(c.requests[0], []byte("SERVER_ERROR busy\r\n"), refused) // as the policy would
		b.runUntil("both are answered", func() bool { return len(c.requests) == 0 })
		if ownTurn {
			n.clientBytes -= others
		}
		got := make([]byte, len("SERVER_ERROR busy\r\n"+failedAnswer))
		if _, err := io.ReadFull(peer, got); err != nil || string(got) != "SERVER_ERROR busy\r\n"+failedAnswer {
			t.Errorf("own turn %t: %q, %v", ownTurn, got, err)
		}
		if n.count.answersDropped != 1 || n.count.badAnswers != 0 || b.outcomes(policy.Cancelled) != 1 || len(n.requests) != 0 || n.responseBytes != 0 {
			t.Errorf("own turn %t: %d dropped, %d bad answers, %v, %d requests open, %d bytes held", ownTurn, n.count.answersDropped, n.count.badAnswers,
				n.count.outcomes, len(n.requests), n.responseBytes)
		}
	}
}

// Guards against closing a connection as idle while the system still delivers an answer to its client: a request that crosses the
// close would reset the connection, and the end of the answer would be lost.
func TestAClientThatStillReadsIsNotIdle(t *testing.T) {
	const size = 8 * smallWindow
	b := newHarness(t)
	n := b.node
	peer, c := b.connectSlowClient()
	c.sentCommand = true
	c.conn.Write(make([]byte, size))
	c.flush()
	if c.conn.Pending() > 0 || c.list != n.clients.idle {
		t.Fatalf("%d bytes are not with the system", c.conn.Pending())
	}
	b.runUntil("the client's machine has taken what it can", func() bool { return c.conn.Acknowledged() > 0 })
	for _, end := range []func(){n.clients.closeTimedOut, n.clients.enforceLimits} {
		c.lastActive -= time.Hour
		end()
		if c.closed || n.clients.oldestQuiet() != nil {
			t.Fatal("closed while its client still has bytes to come")
		}
	}
	read := make(chan int64, 1)
	go func() {
		got, _ := io.CopyN(io.Discard, peer, size)
		read <- got
	}()
	b.runUntil("it has read all", func() bool { return len(read) == 1 && c.conn.Acknowledged() == c.conn.WriteOffset() })
	c.lastActive -= time.Hour
	if n.clients.closeTimedOut(); !c.closed || <-read != size {
		t.Error("an idle connection stays")
	}
}

// A client that takes nothing of its answer for slowReaderTimeout does not keep its connection.
func TestAClientThatStopsReadingIsIdle(t *testing.T) {
	b := newHarness(t)
	_, c := b.connectSlowClient()
	c.sentCommand = true
	c.conn.Write(make([]byte, 8*smallWindow))
	c.flush()
	b.runUntil("the client's machine has taken what it can", func() bool { return c.conn.Acknowledged() > 0 })
	if !c.delivering() {
		t.Fatal("it takes nothing")
	}
	c.progressAt -= slowReaderTimeout
	c.lastActive -= time.Hour
	if b.node.clients.closeTimedOut(); !c.closed && c.conn.Acknowledged() == c.acknowledged {
		t.Error("it stays")
	}
}

// Guards against failing reads whose answers are no longer than the failure: giving them up frees nothing.
func TestShortAnswersAreNotGivenUp(t *testing.T) {
	for _, size := range []int{1, 100} {
		b := newHarness(t)
		n := b.node
		_, c := b.connectClient()
		first, second := &request{id: "1", client: c}, &request{id: "2", client: c}
		c.requests = append(c.requests, first, second)
		n.replyValue(second, fmt.Appendf(nil, "VA %d O2\r\n%s\r\n", size, strings.Repeat("x", size)))
		n.clientBytes += n.maxHeldBytes()
		n.giveUpAnswers()
		n.clientBytes -= n.maxHeldBytes()
		if dropped, long := n.count.answersDropped == 1, size > len(failedAnswer); dropped != long {
			t.Errorf("an answer of %d bytes: given up %t", size, dropped)
		}
		second.answered, c.requests = true, nil
	}
}
