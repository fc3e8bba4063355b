package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memory }

// valueSize is that of all values: the most that the protocol page allows is 64 KiB.
const valueSize = 64000

// startValueCache starts a cache server that answers each read with a value of valueSize bytes after 10 ms.
func (r *rig) startValueCache(id string) member {
	ln, err := net.Listen("tcp", r.host+".3:0")
	check(err)
	value := strings.Repeat("v", valueSize)
	serve := func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasPrefix(line, "mn") {
				io.WriteString(conn, "MN\r\n")
				continue
			}
			time.Sleep(10 * time.Millisecond)
			fmt.Fprintf(conn, "VA %d O%s h1\r\n%s\r\n", valueSize, flag(line, 'O'), value)
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return member{ID: id, Addr: ln.Addr().String(), Locality: "a", Flavor: "std-2", Cell: 1, Phase: "SERVING", Size: 1}
}

// resident returns the resident memory of the node's process and the part of it that is backed by no file, in KiB.
func (n *node) resident() (all, anonymous int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		switch kb, _ := strconv.Atoi(f[1]); f[0] {
		case "VmRSS:":
			all = kb
		case "RssAnon:", "RssShmem:":
			anonymous += kb
		}
	}
	return all, anonymous
}

// slowly reads at most 400 KB a second.
type slowly struct{ conn net.Conn }

func (s *slowly) Read(buf []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return s.conn.Read(buf[:min(len(buf), 8<<10)])
}

// memory: clients send many reads at once on their connections, and read the answers as they come. The node has to stay within its
// memory; the platform kills it when it is over the limit. Without the disruption the same reads are sent one at a time.
func memory(r *rig) bool {
	const limitMB, clients, batch, rounds, period = 32, 330, 30, 2, 16 * time.Second
	d := r.startDiscovery()
	for i := range 12 {
		d.set(r.startValueCache(fmt.Sprintf("s-%d", i)))
	}
	n := r.startNode(d, func(config map[string]any) {
		config["limits"] = map[string]any{"cores": 1.0, "memory_mb": limitMB, "sockets": 1024}
	})
	var sent, served, refused, failed, ended atomic.Int64
	var done sync.WaitGroup
	begin := time.Now()
	for i := range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			for round := range rounds {
				time.Sleep(time.Until(begin.Add(time.Duration(round) * period)))
				conn, err := net.DialTimeout("tcp", n.addr, time.Second) // the node may close a connection that rests
				if err != nil {
					ended.Add(1)
					continue
				}
				defer conn.Close()
				in := bufio.NewReaderSize(&slowly{conn}, 8<<10)
				at := begin.Add(time.Duration(round)*period + time.Duration(rand.IntN(1000))*time.Millisecond)
				for k := 0; k < batch; {
					time.Sleep(time.Until(at))
					count, text := 1, ""
					if r.trouble {
						count = batch
					}
					for j := range count {
						text += fmt.Sprintf("mg %016x v Oc%d.%d.%d Pc=price-read,t=acme,d=2500\r\n", rand.Uint64(), i, round, k+j)
					}
					if _, err := io.WriteString(conn, text); err != nil {
						ended.Add(1)
						return
					}
					sent.Add(int64(count))
					for range count {
						conn.SetReadDeadline(time.Now().Add(20 * time.Second))
						line, err := in.ReadString('\n')
						if err != nil {
							ended.Add(1)
							return
						}
						switch {
						case strings.HasPrefix(line, "VA "):
							if _, err := io.CopyN(io.Discard, in, valueSize+2); err != nil {
								ended.Add(1)
								return
							}
							served.Add(1)
						case strings.HasPrefix(line, "SERVER_ERROR busy"):
							refused.Add(1)
						default:
							failed.Add(1)
						}
					}
					k += count
					at = at.Add(period / batch)
				}
			}
		}()
	}
	stop := make(chan struct{})
	go func() {
		done.Wait()
		close(stop)
	}()
	peak, peakAnonymous, over := 0, 0, 0
	for running := true; running && !n.exited(); {
		select {
		case <-stop:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
		all, anonymous := n.resident()
		if peak, peakAnonymous = max(peak, all), max(peakAnonymous, anonymous); all > limitMB<<10 {
			if over++; over == 1 {
				r.note("the node holds %d KiB, %d KiB of them anonymous; its limit is %d KiB: the platform would kill it", all, anonymous, limitMB<<10)
			}
		}
	}
	r.note("sent %d, served %d, refused %d, failed %d, connections ended %d", sent.Load(), served.Load(), refused.Load(), failed.Load(), ended.Load())
	r.note("peak %d KiB, anonymous %d KiB; over the limit of %d KiB in %d looks, 20 ms apart", peak, peakAnonymous, limitMB<<10, over)
	if r.trouble && n.exited() {
		r.note("the node has ended: %s", n.status)
	}
	return over > 0
}
