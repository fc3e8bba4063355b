package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["leave"] = playLeave }

// playLeave has clients send many writes at once and go. No attempt may begin over 0.1 s after its client has closed.
func playLeave(r *rig) (broken int, err error) {
	var closedAt sync.Map
	var late, ran atomic.Int64
	origin, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	go http.Serve(origin, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("Request-Id")
		at := r.now()
		io.Copy(io.Discard, q.Body)
		ran.Add(1)
		client, _, _ := strings.Cut(id, ".")
		if c, ok := closedAt.Load(client); ok && at-c.(time.Duration) > 100*time.Millisecond {
			late.Add(1)
			r.note("origin: %s begins %.3f s after its client has closed", id, (at - c.(time.Duration)).Seconds())
		}
		time.Sleep(150 * time.Millisecond)
		io.WriteString(w, "r"+id)
	}))
	cache, err := r.startCache(func(line string, _ []byte) string { return "EN " + opaque(line) + " h0\r\n" })
	if err != nil {
		return 0, err
	}
	discovery, err := r.startList(member("s-1", cache, "m2"), member("s-0", origin.Addr().String(), "origin"))
	if err != nil {
		return 0, err
	}
	if err := r.startNode(discovery, 192, 1024, kyushu); err != nil {
		return 0, err
	}
	for i := range 6 {
		conn, err := net.Dial("tcp", r.listen)
		if err != nil {
			return 0, err
		}
		text := ""
		for k := range 60 {
			text += fmt.Sprintf("ms key%d-%d %d Oc%d.%d Pc=send-alert,d=3000\r\n%s\r\n", i, k, 20000, i, k, strings.Repeat("x", 20000))
		}
		conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		n, err := io.WriteString(conn, text)
		closedAt.Store(fmt.Sprintf("c%d", i), r.now())
		if !trouble() {
			time.AfterFunc(10*time.Second, func() { conn.Close() })
			closedAt.Delete(fmt.Sprintf("c%d", i))
		} else {
			conn.Close()
		}
		r.note("client c%d: %d of %d bytes taken, %v", i, n, len(text), err)
		time.Sleep(2 * time.Second)
	}
	time.Sleep(4 * time.Second)
	r.note("origin: %d ran, %d of them begun over 0.1 s after the close", ran.Load(), late.Load())
	return int(late.Load()), nil
}
