package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["linger"] = playLinger }

// The figures of the case "linger".
const (
	lingerReaders = 20
	lingerEvery   = 400 * time.Millisecond // between the requests of two clients
	lingerNext    = 16 * time.Second       // between a client's long read and its next request on the connection
)

// playLinger has clients read long values slowly and send their next request behind it. No value must be cut off.
func playLinger(r *rig) (broken int, err error) {
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
	if err := r.startNode(discovery, 192, 1024, launceston); err != nil {
		return 0, err
	}
	var whole, cut, behind atomic.Int64
	var all sync.WaitGroup
	for i := range lingerReaders {
		time.Sleep(lingerEvery)
		all.Go(func() {
			conn, err := net.Dial("tcp", r.listen)
			if err != nil {
				r.note("client %d: %v", i, err)
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "mg long-%d v Oq%d Pc=price-read,d=2500\r\n", i, i)
			began := time.Now()
			next := time.AfterFunc(lingerNext, func() {
				_, err := fmt.Fprintf(conn, "mg short-%d v Oq%d.next Pc=price-read,d=2500\r\n", i, i)
				r.note("client %d: sends its next request behind the long one, 16 s after that: %v", i, err)
			})
			in := bufio.NewReaderSize(conn, 4096)
			conn.SetReadDeadline(began.Add(60 * time.Second))
			line, got, size, err := readSlowly(in)
			early := next.Stop()
			if err != nil || got < size {
				cut.Add(1)
				r.note("client %d: CUT OFF %q, %d of %d bytes, then %v, %.1f s after it asked", i, line, got, size, err, time.Since(began).Seconds())
				return
			}
			whole.Add(1)
			r.note("client %d: whole %q, %d bytes, %.1f s after it asked", i, line, got, time.Since(began).Seconds())
			if early {
				return
			}
			line, err = in.ReadString('\n')
			if err == nil {
				behind.Add(1)
			}
			r.note("client %d: for the next one %q %v", i, strings.TrimSpace(line), err)
			if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
				r.note("client %d: no end of the connection", i)
			}
		})
	}
	all.Wait()
	r.note("clients: %d whole, %d cut off, %d next ones answered on the same connection", whole.Load(), cut.Load(), behind.Load())
	if whole.Load()+cut.Load() == 0 {
		return 0, fmt.Errorf("%w: nothing served", errCannotRun)
	}
	return int(cut.Load()), nil
}
