package main

// Reads of values that are far larger than the node's buffers, through the built program.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startRawServer starts a server that passes each line it receives to handle, with the connection to write to. It closes the
// connection if handle returns true.
func startRawServer(t *testing.T, handle func(conn net.Conn, line string) (closes bool)) (addr string) {
	t.Helper()
	return acceptAll(t, func(conn net.Conn) {
		defer conn.Close()
		for in := bufio.NewReader(conn); ; {
			line, err := in.ReadString('\n')
			if err != nil || handle(conn, strings.TrimRight(line, "\r\n")) {
				return
			}
		}
	})
}

// longValue returns a value for a key in which the content depends on the position, so that misplaced bytes are noticed.
func longValue(key string, size int) string {
	var b strings.Builder
	for b.Len() < size {
		fmt.Fprintf(&b, "%s:%d;", key, b.Len())
	}
	return b.String()[:size]
}

// peakMemoryMB returns the process's peak resident memory in MB.
func (n *process) peakMemoryMB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.Pid()))
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

// Many values of 4 MiB at once, from a cache that writes them in pieces and from the origin, to slow readers: far more than the
// node's memory limit. Each arrives complete, its first bytes without delay, and small values are not delayed behind them.
func TestLongValuesToSlowReaders(t *testing.T) {
	const size, readers = 4 << 20, 24
	cache := startRawServer(t, func(conn net.Conn, line string) bool {
		key := strings.Fields(line)[1]
		switch {
		case strings.HasPrefix(key, "o"):
			fmt.Fprintf(conn, "EN %s\r\n", opaqueFlag(line))
		case strings.HasPrefix(key, "small"):
			fmt.Fprintf(conn, "VA 5 %s h1\r\nsmall\r\n", opaqueFlag(line))
		default:
			text := fmt.Sprintf("VA %d %s h1 Lutil=0.1\r\n%s\r\n", size, opaqueFlag(line), longValue(key, size))
			for len(text) > 0 {
				n := min(len(text), 70_001)
				io.WriteString(conn, text[:n])
				text = text[n:]
			}
		}
		return false
	})
	o := startOrigin(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		io.WriteString(w, longValue(r.URL.Path[1:], size))
	})
	n, control := startNodeWithControl(t, startDiscovery(t, servingEntry("s-1", cache, "m2"), servingEntry("s-0", o.Addr(), "origin")), func(c map[string]any) {
		c["limits"] = map[string]any{"memory_mb": 32, "sockets": 1024}
		raiseReadAim(c)
	})
	var done sync.WaitGroup
	var begun atomic.Int64
	for i := range readers {
		done.Add(1)
		go func() {
			defer done.Done()
			key := fmt.Sprintf("%c%d", "ko"[i%2], i)
			want := longValue(key, size)
			for try := 0; ; try++ { // the concurrency limit of one cache refuses some
				conn, err := net.Dial("tcp", n.addr)
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				fmt.Fprintf(conn, "mg %s v O%d-%d Pc=read,d=2900\r\n", key, i, try)
				in := bufio.NewReaderSize(conn, 16<<10)
				line, err := in.ReadString('\n')
				if strings.HasPrefix(line, "SERVER_ERROR busy") && try < 100 {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				if want := fmt.Sprintf("VA %d O%d-%d\r\n", size, i, try); line != want || err != nil {
					t.Errorf("%s: %q, %v", key, line, err)
					return
				}
				begun.Add(1)
				got := make([]byte, size+2)
				for at := 0; at < len(got); {
					m, err := in.Read(got[at:min(len(got), at+64<<10)])
					if at += m; err != nil {
						t.Errorf("%s: cut off at %d: %v", key, at, err)
						return
					}
					if at < 1<<20 {
						time.Sleep(5 * time.Millisecond)
					}
				}
				if string(got) != want+"\r\n" {
					t.Errorf("%s: the value differs from what was sent", key)
				}
				return
			}
		}()
	}
	eventually(t, "more than half of the long values have begun", func() bool { return begun.Load() > readers/2 })
	cl := n.dial()
	for i := range 20 {
		cl.send(fmt.Sprintf("mg small%d v Os%d Pc=read,d=500\r\n", i, i))
		cl.expect(fmt.Sprintf("VA 5 Os%d", i), "small")
	}
	done.Wait()
	if peak := n.peakMemoryMB(); peak >= 32 {
		t.Errorf("peak memory is %d MB", peak)
	}
	if got := readMetrics(t, control); got[requestsMetric("read", "served")] != readers+20 || got["app_in_flight"] != 0 {
		t.Errorf("served %v, in flight %v", got[requestsMetric("read", "served")], got["app_in_flight"])
	}
}

// A long value that is cut off, stalls, or does not end at its length: the client can tell, the request does not count as served,
// and there is no second attempt once the answer has begun. No later answer on the connection is mixed into the value.
func TestLongValuesThatBreak(t *testing.T) {
	const size = 300_000
	var times atomic.Int64
	cache := startRawServer(t, func(conn net.Conn, line string) bool {
		key := strings.Fields(line)[1]
		head := fmt.Sprintf("VA %d %s h1\r\n", size, opaqueFlag(line))
		switch key {
		case "good":
			io.WriteString(conn, head+longValue(key, size)+"\r\n")
			return false
		case "breaks":
			times.Add(1)
			io.WriteString(conn, head+longValue(key, size/2))
			return true
		case "stops":
			io.WriteString(conn, head+longValue(key, size-1))
			return false
		case "stub": // guards against an answer made of the few bytes received, which was empty and counted as served
			io.WriteString(conn, head+longValue(key, 100))
			return true
		case "longer":
			io.WriteString(conn, head+longValue(key, size+1)+"\r\n")
			return false
		case "other":
			io.WriteString(conn, fmt.Sprintf("VA %d Oother h1\r\n", size)+longValue(key, size)+"\r\n")
			return false
		}
		io.WriteString(conn, "VA 3000000000 "+opaqueFlag(line)+"\r\n"+longValue(key, size))
		return false
	})
	n, control := startNodeWithControl(t, startDiscovery(t, servingEntry("s-1", cache, "m2")), raiseReadAim)
	for i, key := range []string{"breaks", "stops", "longer"} {
		cl := n.dial()
		cl.send(fmt.Sprintf("mg good v Oa%d Pc=read,d=2900\r\nmg %s v Ob%d Pc=read,d=2900\r\n", i, key, i))
		cl.expect(fmt.Sprintf("VA %d Oa%d", size, i), longValue("good", size))
		cl.conn.SetReadDeadline(time.Now().Add(waitTimeout))
		line, _ := cl.in.ReadString('\n')
		rest, err := io.ReadAll(cl.in)
		if line != fmt.Sprintf("VA %d Ob%d\r\n", size, i) || err != nil || len(rest) > size || !strings.HasPrefix(longValue(key, size+1), string(rest)) {
			t.Errorf("%s: %q and %d bytes, %v", key, line, len(rest), err)
		}
	}
	cl := n.dial()
	for i, key := range []string{"other", "huge", "stub"} { // detected before the answer to the client begins, so that a retry is allowed
		cl.send(fmt.Sprintf("mg %s v Oc%d Pc=read,d=900\r\n", key, i))
		if line, _ := cl.readAnswer(); !strings.HasPrefix(line, "SERVER_ERROR ") {
			t.Errorf("%s: %q", key, line)
		}
	}
	if times.Load() != 1 {
		t.Errorf("%d attempts for an answer that had begun", times.Load())
	}
	got := readMetrics(t, control)
	if got[requestsMetric("read", "failed")] < 3 || got[requestsMetric("read", "served")] != 3 || got["app_in_flight"] != 0 {
		t.Errorf("served %v, failed %v, in flight %v", got[requestsMetric("read", "served")], got[requestsMetric("read", "failed")], got["app_in_flight"])
	}
}

// Clients that stop reading a long value, or disconnect in the middle of it, do not leak its memory or the connection to the server.
func TestReadersThatLeave(t *testing.T) {
	const size = 4 << 20
	var open atomic.Int64
	cache := startRawServer(t, func(conn net.Conn, line string) bool {
		open.Add(1)
		defer open.Add(-1)
		_, err := io.WriteString(conn, fmt.Sprintf("VA %d %s h1\r\n%s\r\n", size, opaqueFlag(line), longValue("k", size)))
		return err != nil
	})
	n, control := startNodeWithControl(t, startDiscovery(t, servingEntry("s-1", cache, "m2")), raiseReadAim)
	for i := range 4 {
		cl := n.dial()
		cl.conn.(*net.TCPConn).SetReadBuffer(8 << 10)
		cl.send(fmt.Sprintf("mg k v O%d Pc=read,d=2900\r\n", i))
		if line, err := cl.in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "VA ") {
			t.Fatalf("%q, %v", line, err)
		}
		if i%2 == 0 {
			cl.conn.Close()
		}
	}
	eventually(t, "all resources are released", func() bool { return open.Load() == 0 && readMetrics(t, control)["app_in_flight"] == 0 })
}

// A process that is killed at the end of its shutdown time, as in an upgrade, has handed the rest of a long value to the kernel's
// socket buffer: a slow reader still gets all of it.
func TestALongValueOutlivesItsProcess(t *testing.T) {
	const size = 4 << 20
	text, _ := os.ReadFile("/proc/sys/net/core/wmem_max")
	if maxBytes, _ := strconv.Atoi(strings.TrimSpace(string(text))); maxBytes < size {
		t.Skipf("the system buffers at most %d bytes for each connection", maxBytes)
	}
	cache := startRawServer(t, func(conn net.Conn, line string) bool {
		fmt.Fprintf(conn, "VA %d %s h1\r\n%s\r\n", size, opaqueFlag(line), longValue("k", size))
		return false
	})
	n, _ := startNodeWithControl(t, startDiscovery(t, servingEntry("s-1", cache, "m2")), raiseReadAim)
	cl := n.dial()
	cl.send("mg k v O1 Pc=read,d=900\r\n")
	if line, err := cl.in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "VA ") {
		t.Fatalf("%q, %v", line, err)
	}
	n.signal(syscall.SIGTERM)
	eventually(t, "the node is leaving", func() bool { return strings.Contains(n.log(), "event=leaving") })
	time.Sleep(2 * time.Second)
	n.signal(syscall.SIGKILL)
	n.waitExit()
	cl.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	if rest, err := io.ReadAll(cl.in); err != nil || string(rest) != longValue("k", size)+"\r\n" {
		t.Errorf("%d bytes of %d, %v", len(rest), size+2, err)
	}
}
