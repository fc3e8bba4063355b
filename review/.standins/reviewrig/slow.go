package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slowreaders"] = playSlowReaders }

// The figures of the case "slowreaders".
const (
	slowLong    = 4 << 20                // bytes of a long value
	slowShort   = 60000                  // bytes of the others
	slowBehind  = 3                      // short reads that are sent with a long one
	slowReaders = 200                    // of 1,024 descriptors clients may hold a third for requests
	slowEvery   = 40 * time.Millisecond  // between the requests of two clients
	slowPiece   = 64 << 10               // that a slow reader takes at a time
	slowPause   = 300 * time.Millisecond // between two pieces
	slowMemory  = 64
)

// playSlowReaders has clients read long values slowly. What the cache servers give must not be cut off, and each read gets an answer.
func playSlowReaders(r *rig) (broken int, err error) {
	value := strings.Repeat("0123456789abcdef", slowLong/16)
	list := []string{}
	for range 3 {
		addr, err := r.startGiver(value)
		if err != nil {
			return 0, err
		}
		list = append(list, addr)
	}
	discovery, err := r.startList(member("s-1", list[0], "m2"), member("s-2", list[1], "m2"), member("s-3", list[2], "m2"))
	if err != nil {
		return 0, err
	}
	if err := r.startNode(discovery, slowMemory, 1024, launceston); err != nil {
		return 0, err
	}
	var whole, refused, failed, lost atomic.Int64
	var all sync.WaitGroup
	for i := range slowReaders {
		time.Sleep(slowEvery)
		all.Go(func() {
			conn, err := net.Dial("tcp", r.listen)
			if err != nil {
				r.note("client %d: %v", i, err)
				return
			}
			defer conn.Close()
			conn.(*net.TCPConn).SetReadBuffer(32 << 10)
			text := fmt.Sprintf("mg long-%d v Oq%d.0 Pc=price-read,d=2500\r\n", i, i)
			for k := range slowBehind {
				text += fmt.Sprintf("mg short-%d-%d v Oq%d.%d Pc=price-read,d=2500\r\n", i, k, i, k+1)
			}
			io.WriteString(conn, text)
			began, in := time.Now(), bufio.NewReaderSize(conn, 4096)
			conn.SetReadDeadline(began.Add(80 * time.Second))
			for k := range slowBehind + 1 {
				id := fmt.Sprintf("q%d.%d", i, k)
				line, got, size, err := readSlowly(in)
				switch {
				case err != nil:
					lost.Add(int64(slowBehind + 1 - k))
					r.note("client %d: LOST its requests from %s on: %q, %d of %d bytes, then %v, %.1f s after it asked", i, id, line, got, size, err, time.Since(began).Seconds())
					return
				case strings.HasPrefix(line, "VA "):
					whole.Add(1)
				case strings.HasPrefix(line, "SERVER_ERROR busy"):
					refused.Add(1)
				default:
					failed.Add(1)
				}
				r.note("client %d: %s %q, %d bytes, %.1f s after it asked", i, id, line, got, time.Since(began).Seconds())
			}
		})
	}
	all.Wait()
	r.note("clients: %d whole, %d refused, %d failed, %d lost", whole.Load(), refused.Load(), failed.Load(), lost.Load())
	if whole.Load() == 0 {
		return 0, fmt.Errorf("%w: nothing served", errCannotRun)
	}
	return int(lost.Load()), nil
}

// readSlowly reads one answer and returns its line and how many bytes of its value, of how many, have come.
func readSlowly(in *bufio.Reader) (line string, got, size int, err error) {
	line, err = in.ReadString('\n')
	line = strings.TrimSpace(line)
	f := strings.Fields(line)
	if err != nil || len(f) < 2 || f[0] != "VA" {
		return line, 0, 0, err
	}
	size, _ = strconv.Atoi(f[1])
	buf := make([]byte, slowPiece)
	for got < size+2 && err == nil {
		var n int
		n, err = io.ReadFull(in, buf[:min(len(buf), size+2-got)])
		if got += n; trouble() {
			time.Sleep(slowPause)
		}
	}
	return line, min(got, size), size, err
}

// startGiver starts a cache server that has a long value for each key that begins with long, and a short one for any other.
func (r *rig) startGiver(value string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for in := bufio.NewReader(conn); ; {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					n := slowShort
					if strings.HasPrefix(line, "mg long") {
						n = len(value)
					}
					r.note("cache: gives %d bytes to %s", n, strings.TrimSpace(line))
					if _, err := fmt.Fprintf(conn, "VA %d %s h1\r\n%s\r\n", n, opaque(line), value[:n]); err != nil {
						r.note("cache: the node ended the connection while %s was given", opaque(line))
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), nil
}
