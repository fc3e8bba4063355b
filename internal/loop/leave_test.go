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

// Those who leave while the loop is busy or stands still: whatever came with their end, or before it, they are told of first.

// ways are how the other end may leave.
var ways = map[string]func(*net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"half-close": func(c *net.TCPConn) { c.CloseWrite() },
	"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

// leave has the far end of a connection leave and waits until the system knows of it on this side.
func leave(t *testing.T, far *net.TCPConn, how func(*net.TCPConn)) {
	t.Helper()
	here, there := far.RemoteAddr().(*net.TCPAddr).Port, far.LocalAddr().(*net.TCPAddr).Port
	how(far)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		stands := false
		for line := range strings.Lines(string(table)) {
			w := strings.Fields(line)
			stands = stands || strings.HasSuffix(w[1], fmt.Sprintf(":%04X", here)) && strings.HasSuffix(w[2], fmt.Sprintf(":%04X", there)) && w[3] == "01"
		}
		if !stands {
			return
		}
	}
	t.Fatal("the end never came")
}

// Guards against a reset over bytes that nobody wants, under the answer on its way: a connection that only waits for the other
// end to finish reads up to its end.
func TestAnEndOfAConnectionThatIsOver(t *testing.T) {
	l, r := newLoop(t), &record{}
	c, far := dial(t, l, r)
	c.WatchPeerClose()
	far.Write([]byte("one request too many"))
	c.Write(make([]byte, 16<<20)) // more than the system takes
	c.CloseGracefully(5 * time.Second)
	leave(t, far, func(c *net.TCPConn) { c.CloseWrite() })
	until(t, l, "the connection is given back", func() bool { return l.OpenSockets() == 0 })
	if n, err := io.Copy(io.Discard, far); n != c.Written() || n == 0 || err != nil {
		t.Errorf("%d bytes of %d that the system had, %v", n, c.Written(), err)
	}
}

// rests lets the loop look until it knows that nothing has come, so that what comes from here on is told in that order.
func rests(t *testing.T, l *Loop) {
	t.Helper()
	for range 3 {
		until(t, l, "a look", func() bool { return true })
	}
}

// scribe is an owner that notes its calls in a list for all, and does something of its own at data.
type scribe struct {
	name string
	list *[]string
	data func()
}

func (s scribe) Connected() {}
func (s scribe) Data([]byte) {
	*s.list = append(*s.list, s.name+" data")
	if s.data != nil {
		s.data()
	}
}
func (s scribe) Flushed()  {}
func (s scribe) End(error) { *s.list = append(*s.list, s.name+" end") }

// scribed opens a connection that heeds its end.
func scribed(t *testing.T, l *Loop, s scribe) (*Conn, *net.TCPConn) {
	t.Helper()
	c, far := dial(t, l, &record{})
	c.handler = s
	c.WatchPeerClose()
	return c, far
}

// Guards against taking what was sent before an end that is known: it is wanted no more, and may be old.
func TestAnEndBehindWhatWasSent(t *testing.T) {
	for name, how := range ways {
		t.Run(name, func(t *testing.T) {
			l, list := newLoop(t), []string{}
			_, far := scribed(t, l, scribe{"it", &list, nil})
			far.Write(make([]byte, readSize/4))
			leave(t, far, how)
			until(t, l, "the end", func() bool { return len(list) > 0 })
			if !slices.Equal(list, []string{"it end"}) || l.OpenSockets() != 0 {
				t.Errorf("%q, %d open", list, l.OpenSockets())
			}
		})
	}
}

// Guards against an end that is handled behind other events of its turn, or in a later turn where more has come than one used
// to take: what those bring about would be done for one who has left. What is urgent stays first.
func TestEndsComeFirst(t *testing.T) {
	for name, how := range ways {
		t.Run(name, func(t *testing.T) {
			l, list := newLoop(t), []string{}
			hasty, urgent := scribed(t, l, scribe{"urgent", &list, nil})
			hasty.Prioritize()
			var busy []*net.TCPConn
			for range maxEvents + 10 {
				_, far := scribed(t, l, scribe{"other", &list, nil})
				busy = append(busy, far)
			}
			_, far := scribed(t, l, scribe{"gone", &list, nil})
			rests(t, l)
			for _, c := range busy {
				c.Write([]byte("x"))
			}
			leave(t, far, how)
			urgent.Write([]byte("x"))
			until(t, l, "all", func() bool { return len(list) >= maxEvents+12 })
			if len(list) < 3 || !slices.Equal(list[:3], []string{"urgent data", "gone end", "other data"}) {
				t.Errorf("%q", list[:min(len(list), 5)])
			}
		})
	}
}

// Guards against acting upon an old look in the midst of a turn that lasts: who has left since comes before the next event, and
// can be told at once.
func TestAnEndInTheMidstOfATurn(t *testing.T) {
	for name, how := range ways {
		t.Run(name, func(t *testing.T) {
			l, list := newLoop(t), []string{}
			gone, leaver := scribed(t, l, scribe{"gone", &list, nil})
			done, left := false, false
			var fars []*net.TCPConn
			for range 2 {
				_, far := scribed(t, l, scribe{"busy", &list, func() {
					if !done {
						done = true
						if gone.PeerClosed() {
							t.Error("it has not left")
						}
						leave(t, leaver, how)
						l.looked -= time.Hour // the call takes long
						left = gone.PeerClosed()
						l.looked -= time.Hour
					}
				}})
				fars = append(fars, far)
			}
			rests(t, l)
			for _, far := range fars {
				far.Write([]byte("x"))
			}
			until(t, l, "all", func() bool { return len(list) == 3 })
			if !left || !slices.Equal(list, []string{"busy data", "gone end", "busy data"}) {
				t.Errorf("left %t, %q", left, list)
			}
		})
	}
}

// The same between timers, and between the events of a turn and its timers.
func TestAnEndAmongTimers(t *testing.T) {
	for name, how := range ways {
		t.Run(name, func(t *testing.T) {
			l, list := newLoop(t), []string{}
			_, one := scribed(t, l, scribe{"one", &list, nil})
			_, two := scribed(t, l, scribe{"two", &list, nil})
			_, far := scribed(t, l, scribe{"busy", &list, func() {
				leave(t, one, how)
				l.looked -= time.Hour
			}})
			far.Write([]byte("x"))
			l.After(0, func() {
				list = append(list, "timer")
				leave(t, two, how)
				l.looked -= time.Hour
			})
			l.After(0, func() { list = append(list, "timer") })
			until(t, l, "all", func() bool { return len(list) == 5 })
			if want := []string{"busy data", "one end", "timer", "two end", "timer"}; !slices.Equal(list, want) {
				t.Errorf("%q", list)
			}
		})
	}
}

// Guards against a timer that runs ahead of what came before it was due, in a process that was stopped (or busy) behind its look:
// an answer came while the turn lasted, and the time for it ended meanwhile too.
func TestATimerThatComesDueInTheMidstOfATurn(t *testing.T) {
	l, list := newLoop(t), []string{}
	_, answer := scribed(t, l, scribe{"answer", &list, nil})
	timeOut := func() { list = append(list, "time-out") }
	_, far := scribed(t, l, scribe{"busy", &list, func() {
		answer.Write([]byte("x"))
		time.Sleep(20 * time.Millisecond) // it has come
		for at := l.After(5*time.Millisecond, timeOut).at; l.Now() <= at; {
			time.Sleep(time.Millisecond) // the process is stopped
		}
	}})
	rests(t, l)
	far.Write([]byte("x"))
	until(t, l, "all", func() bool { return len(list) == 3 })
	if want := []string{"busy data", "answer data", "time-out"}; !slices.Equal(list, want) {
		t.Errorf("%q, want %q", list, want)
	}
}
