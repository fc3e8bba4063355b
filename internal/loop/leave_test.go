package loop

import (
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// These tests cover peers that close while the loop is busy or suspended: the close is handled before any other event of the turn,
// whatever arrived with it or before it.

// closeMethods are the ways in which a peer may close its connection.
var closeMethods = map[string]func(*net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"half-close": func(c *net.TCPConn) { c.CloseWrite() },
	"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

// closePeer has the peer close a connection and waits until the kernel knows of it on this side.
func closePeer(t *testing.T, peer *net.TCPConn, closeConn func(*net.TCPConn)) {
	t.Helper()
	localPort, peerPort := peer.RemoteAddr().(*net.TCPAddr).Port, peer.LocalAddr().(*net.TCPAddr).Port
	closeConn(peer)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		established := false
		for line := range strings.Lines(string(table)) {
			fields := strings.Fields(line)
			established = established || strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", localPort)) && strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", peerPort)) && fields[3] == "01"
		}
		if !established {
			return
		}
	}
	t.Fatal("the peer's close did not arrive")
}

// Guards against a reset because of unread bytes, which would drop a response in transit: after CloseGracefully, a connection is
// read up to its end, even with WatchPeerClose.
func TestGracefulCloseReadsUntilThePeerCloses(t *testing.T) {
	l, r := newLoop(t), &recordingHandler{}
	c, peer := dial(t, l, r)
	c.WatchPeerClose()
	peer.Write([]byte("one request too many"))
	c.Write(make([]byte, 16<<20)) // more than the kernel takes
	c.CloseGracefully(5 * time.Second)
	closePeer(t, peer, func(c *net.TCPConn) { c.CloseWrite() })
	runUntil(t, l, "the connection is closed", func() bool { return l.OpenSockets() == 0 })
	if n, err := io.Copy(io.Discard, peer); n != c.Written() || n == 0 || err != nil {
		t.Errorf("%d bytes of %d passed to the kernel, %v", n, c.Written(), err)
	}
}

// pollUntilIdle polls until no event is pending, so that later events are reported in the order of their occurrence.
func pollUntilIdle(t *testing.T, l *Loop) {
	t.Helper()
	for range 3 {
		runUntil(t, l, "a poll", func() bool { return true })
	}
}

// loggingHandler appends its calls to a log shared by several handlers, and calls onData for received data.
type loggingHandler struct {
	name   string
	log    *[]string
	onData func()
}

func (s loggingHandler) Connected() {}
func (s loggingHandler) Data([]byte) {
	*s.log = append(*s.log, s.name+" data")
	if s.onData != nil {
		s.onData()
	}
}
func (s loggingHandler) Flushed()  {}
func (s loggingHandler) End(error) { *s.log = append(*s.log, s.name+" end") }

// dialLogging opens a connection with WatchPeerClose and a loggingHandler.
func dialLogging(t *testing.T, l *Loop, s loggingHandler) (*Conn, *net.TCPConn) {
	t.Helper()
	c, peer := dial(t, l, &recordingHandler{})
	c.handler = s
	c.WatchPeerClose()
	return c, peer
}

// Guards against processing data received before a close that is already known: it may be old, and nobody waits for the result.
func TestPeerCloseDiscardsUnreadData(t *testing.T) {
	for name, how := range closeMethods {
		t.Run(name, func(t *testing.T) {
			l, list := newLoop(t), []string{}
			_, peer := dialLogging(t, l, loggingHandler{"it", &list, nil})
			peer.Write(make([]byte, readSize/4))
			closePeer(t, peer, how)
			runUntil(t, l, "the end", func() bool { return len(list) > 0 })
			if !slices.Equal(list, []string{"it end"}) || l.OpenSockets() != 0 {
				t.Errorf("%q, %d open", list, l.OpenSockets())
			}
		})
	}
}

// Guards against a close that is handled after other events of its turn, or in a later turn when there are more events than
// maxEvents: their consequences would affect a peer that has left. Prioritized events still come first.
func TestPeerClosesAreHandledFirst(t *testing.T) {
	for name, how := range closeMethods {
		t.Run(name, func(t *testing.T) {
			l, list := newLoop(t), []string{}
			urgentConn, urgentPeer := dialLogging(t, l, loggingHandler{"urgent", &list, nil})
			urgentConn.Prioritize()
			var otherPeers []*net.TCPConn
			for range maxEvents + 10 {
				_, peer := dialLogging(t, l, loggingHandler{"other", &list, nil})
				otherPeers = append(otherPeers, peer)
			}
			_, peer := dialLogging(t, l, loggingHandler{"gone", &list, nil})
			pollUntilIdle(t, l)
			for _, c := range otherPeers {
				c.Write([]byte("x"))
			}
			closePeer(t, peer, how)
			urgentPeer.Write([]byte("x"))
			runUntil(t, l, "all", func() bool { return len(list) >= maxEvents+12 })
			if len(list) < 3 || !slices.Equal(list[:3], []string{"urgent data", "gone end", "other data"}) {
				t.Errorf("%q", list[:min(len(list), 5)])
			}
		})
	}
}

// Guards against acting on an old poll during a long turn: a close that occurred since is handled before the next event, and
// PeerClosed reports it immediately.
func TestPeerCloseDuringATurn(t *testing.T) {
	for name, how := range closeMethods {
		t.Run(name, func(t *testing.T) {
			l, list := newLoop(t), []string{}
			goneConn, gonePeer := dialLogging(t, l, loggingHandler{"gone", &list, nil})
			done, closed := false, false
			var peers []*net.TCPConn
			for range 2 {
				_, peer := dialLogging(t, l, loggingHandler{"busy", &list, func() {
					if !done {
						done = true
						if goneConn.PeerClosed() {
							t.Error("PeerClosed is true before the peer closes")
						}
						closePeer(t, gonePeer, how)
						l.lastPoll -= time.Hour // simulates a callback that takes long
						closed = goneConn.PeerClosed()
						l.lastPoll -= time.Hour
					}
				}})
				peers = append(peers, peer)
			}
			pollUntilIdle(t, l)
			for _, peer := range peers {
				peer.Write([]byte("x"))
			}
			runUntil(t, l, "all", func() bool { return len(list) == 3 })
			if !closed || !slices.Equal(list, []string{"busy data", "gone end", "busy data"}) {
				t.Errorf("closed %t, %q", closed, list)
			}
		})
	}
}

// The same between timers, and between the events of a turn and its timers.
func TestPeerCloseBetweenTimers(t *testing.T) {
	for name, how := range closeMethods {
		t.Run(name, func(t *testing.T) {
			l, list := newLoop(t), []string{}
			_, onePeer := dialLogging(t, l, loggingHandler{"one", &list, nil})
			_, twoPeer := dialLogging(t, l, loggingHandler{"two", &list, nil})
			_, peer := dialLogging(t, l, loggingHandler{"busy", &list, func() {
				closePeer(t, onePeer, how)
				l.lastPoll -= time.Hour
			}})
			peer.Write([]byte("x"))
			l.After(0, func() {
				list = append(list, "timer")
				closePeer(t, twoPeer, how)
				l.lastPoll -= time.Hour
			})
			l.After(0, func() { list = append(list, "timer") })
			runUntil(t, l, "all", func() bool { return len(list) == 5 })
			if want := []string{"busy data", "one end", "timer", "two end", "timer"}; !slices.Equal(list, want) {
				t.Errorf("%q", list)
			}
		})
	}
}

// Guards against a timer that runs before an earlier event, in a process that was suspended or busy after its poll: a response
// arrived during the turn, and its timeout became due during the turn as well.
func TestTimerDueDuringATurn(t *testing.T) {
	l, list := newLoop(t), []string{}
	_, answeringPeer := dialLogging(t, l, loggingHandler{"answer", &list, nil})
	onTimeout := func() { list = append(list, "time-out") }
	_, peer := dialLogging(t, l, loggingHandler{"busy", &list, func() {
		answeringPeer.Write([]byte("x"))
		time.Sleep(20 * time.Millisecond) // the response has arrived
		for at := l.After(5*time.Millisecond, onTimeout).at; l.Now() <= at; {
			time.Sleep(time.Millisecond) // simulates a suspended process
		}
	}})
	pollUntilIdle(t, l)
	peer.Write([]byte("x"))
	runUntil(t, l, "all", func() bool { return len(list) == 3 })
	if want := []string{"busy data", "answer data", "time-out"}; !slices.Equal(list, want) {
		t.Errorf("%q, want %q", list, want)
	}
}

// Guards against closing on a peer that has not taken everything yet: bytes that it sends would reset the connection and drop the rest.
// The wait goes on beyond its timeout, and ends if the peer takes nothing for maxLingerStall.
func TestCloseGracefullyWaitsForASlowPeer(t *testing.T) {
	const size, timeout = 128 << 10, 5 * time.Millisecond
	l := newLoop(t)
	r := &recordingHandler{}
	c, peer := dial(t, l, r)
	peer.SetReadBuffer(4 << 10)
	c.Write(make([]byte, size))
	c.Write(make([]byte, size))
	c.CloseGracefully(timeout)
	runUntil(t, l, "several timeouts have passed", func() bool { return c.linger.stalled >= 5*timeout })
	if c.closed {
		t.Fatal("closed while the peer had bytes to come")
	}
	peer.SetWriteDeadline(time.Now().Add(10 * time.Second))
	sent := make(chan error, 1)
	go func() {
		_, err := peer.Write(make([]byte, 2*maxDiscardedBytes)) // more than is discarded
		sent <- err
	}()
	runUntil(t, l, "more has come than is discarded", func() bool { return c.paused || c.closed })
	got := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(io.Discard, peer)
		got <- n
	}()
	runUntil(t, l, "it is closed", func() bool { return c.closed })
	if n := <-got; n != 2*size {
		t.Errorf("the peer got %d bytes of %d", n, 2*size)
	}
	<-sent
}

// A lingering connection is given back when its peer takes nothing any more.
func TestCloseGracefullyGivesUpAPeerThatStopsReading(t *testing.T) {
	l := newLoop(t)
	c, peer := dial(t, l, &recordingHandler{})
	peer.SetReadBuffer(4 << 10)
	c.Write(make([]byte, 16<<20)) // more than the system takes
	c.CloseGracefully(time.Millisecond)
	c.linger.stalled = maxLingerStall
	runUntil(t, l, "it is closed", func() bool { return c.closed })
}

// SetReadLimit bounds what is received at a time, and nothing is lost by it.
func TestReadLimit(t *testing.T) {
	const size, limit = 100_000, 4 << 10
	l := newLoop(t)
	r := &largestData{}
	c, peer := dial(t, l, &r.recordingHandler)
	c.handler = r
	c.SetReadLimit(limit)
	go peer.Write(make([]byte, size))
	runUntil(t, l, "all has been received", func() bool { return len(r.data) == size })
	if r.largest > limit {
		t.Errorf("%d bytes at a time", r.largest)
	}
}

// largestData records the largest number of bytes received at a time.
type largestData struct {
	recordingHandler
	largest int
}

func (d *largestData) Data(b []byte) {
	d.largest = max(d.largest, len(b))
	d.recordingHandler.Data(b)
}
