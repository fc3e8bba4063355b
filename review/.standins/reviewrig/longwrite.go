package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

func init() { cases["longwrites"] = playLongWrites }

// The figures of the case "longwrites".
const (
	longSize    = 160 << 10              // bytes of a long value
	longEvery   = 600 * time.Millisecond // between two long writes
	shortEvery  = 300 * time.Millisecond // between two short writes
	longFor     = 28 * time.Second       // of load
	hangEvery   = 12 * time.Second       // between the beginnings of two hangs of the origin
	hangFrom    = 4 * time.Second        // the first
	hangFor     = 6 * time.Second
	answerGrace = 550 * time.Millisecond // half a second after its time, and 50 ms
)

// hangsUntil returns when the hang of the origin ends that is on at a time; 0: there is none.
func hangsUntil(at time.Duration) time.Duration {
	if !trouble() || at < hangFrom {
		return 0
	}
	if n := (at - hangFrom) / hangEvery; at < hangFrom+n*hangEvery+hangFor {
		return hangFrom + n*hangEvery + hangFor
	}
	return 0
}

// playLongWrites has the origin hang for some seconds. Each write must get its final answer in time all the same.
func playLongWrites(r *rig) (broken int, err error) {
	var hung atomic.Int64
	origin, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	go http.Serve(origin, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		n, _ := io.Copy(io.Discard, q.Body)
		r.note("origin: runs %s %s, %d bytes, told d=%s", q.Method, q.Header.Get("Request-Id"), n, field(q.Header.Get("Request-Info"), "d"))
		time.Sleep(150 * time.Millisecond)
		if until := hangsUntil(r.now()); until > 0 {
			hung.Add(1)
			select {
			case <-q.Context().Done(): // the node has given it up
				return
			case <-time.After(until - r.now()):
			}
		}
		io.WriteString(w, "receipt-"+q.Header.Get("Request-Id"))
	}))
	list := []string{}
	for range 3 {
		addr, err := r.startCache(func(line string, _ []byte) string { return "EN " + opaque(line) + " h0\r\n" })
		if err != nil {
			return 0, err
		}
		list = append(list, addr)
	}
	discovery, err := r.startList(member("s-1", list[0], "m2"), member("s-2", list[1], "m2"), member("s-3", list[2], "m2"), member("s-0", origin.Addr().String(), "origin"))
	if err != nil {
		return 0, err
	}
	if err := r.startNode(discovery, 192, 1024, kyushu); err != nil {
		return 0, err
	}
	var late, served, refused, failed atomic.Int64
	var all sync.WaitGroup
	write := func(id string, size int, wait time.Duration) {
		conn, err := net.Dial("tcp", r.listen)
		if err != nil {
			r.note("client %s: %v", id, err)
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "ms %s %d O%s Pc=send-alert,d=%d\r\n%s\r\n", id, size, id, wait.Milliseconds(), strings.Repeat("x", size))
		for queued(conn) > 0 { // until the node's machine has acknowledged all
			time.Sleep(time.Millisecond)
		}
		taken := time.Now()
		r.note("client %s: send-alert of %d bytes, d=%d, all of it is at the node's machine", id, size, wait.Milliseconds())
		conn.SetReadDeadline(taken.Add(15 * time.Second))
		line, err := bufio.NewReader(conn).ReadString('\n')
		took := time.Since(taken)
		verdict := ""
		if took > wait+answerGrace {
			late.Add(1)
			verdict = " LOST: its client waited " + wait.String()
		}
		switch {
		case strings.HasPrefix(line, "HD "):
			served.Add(1)
		case strings.HasPrefix(line, "SERVER_ERROR busy"):
			refused.Add(1)
		default:
			failed.Add(1)
		}
		r.note("client %s: %q %v after %.3f s%s", id, strings.TrimSpace(line), err, took.Seconds(), verdict)
	}
	began := time.Now()
	stream := func(name string, size int, every time.Duration) {
		rng := rand.New(rand.NewPCG(seed(), uint64(size)))
		all.Go(func() {
			for i := 0; time.Since(began) < longFor; i++ {
				wait := time.Duration(3000+rng.IntN(601)) * time.Millisecond // 50 to 60% of the deadline
				all.Go(func() { write(fmt.Sprintf("%s%d", name, i), size, wait) })
				time.Sleep(time.Until(began.Add(time.Duration(i+1) * every)))
			}
		})
	}
	stream("short", 40, shortEvery)
	stream("long", longSize, longEvery)
	all.Wait()
	r.note("clients: %d served, %d refused, %d failed; %d of them later than allowed; writes that met a hang of the origin: %d", served.Load(), refused.Load(), failed.Load(), late.Load(), hung.Load())
	if served.Load() == 0 || trouble() && hung.Load() == 0 {
		return 0, fmt.Errorf("%w: nothing served, or no hang met", errCannotRun)
	}
	return int(late.Load()), nil
}

// queued returns how many bytes the peer's machine has not acknowledged yet.
func queued(conn net.Conn) (n int) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n
}
