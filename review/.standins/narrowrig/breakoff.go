package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["breakoff"] = breakoff }

// breakoff: a client sends a read of a long value and other requests behind it at once. The connection of the long value's cache
// server is reset in the middle of the value. The requests behind it have been read, and are owed their answers.
func breakoff(r *rig) bool {
	const rounds, behind, size = 10, 4, 1 << 20
	d := r.startDiscovery()
	for i := range 9 {
		d.set(r.startLongCache(fmt.Sprintf("s-%d", i), size))
	}
	n := r.startNode(d, nil)
	lost, ran := 0, 0
	for round := range rounds {
		l, e := r.playBreakoff(n, round, behind)
		lost, ran = lost+l, ran+e
		time.Sleep(200 * time.Millisecond)
	}
	r.note("requests behind a long value: %d, lost: %d; of these begun at a cache server: %d", rounds*(behind+1), lost, ran)
	return lost > 0
}

// begun notes which requests have begun at a cache server.
var begun sync.Map

// startLongCache starts a cache server that answers keys beginning with "long" by a long value, of which it writes the first half, and
// the rest 0.3 s later. With the disruption its connection is reset then.
func (r *rig) startLongCache(id string, size int) member {
	ln, err := net.Listen("tcp", r.host+".3:0")
	check(err)
	value := strings.Repeat("v", size)
	serve := func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			line = strings.TrimRight(line, "\r\n")
			w := strings.Fields(line)
			if w[0] == "mn" {
				io.WriteString(conn, "MN\r\n")
				continue
			}
			request := flag(line, 'O')
			if w[0] == "ms" {
				bytes, _ := strconv.Atoi(w[2])
				if _, err := io.CopyN(io.Discard, in, int64(bytes)+2); err != nil {
					return
				}
			}
			begun.Store(request, true)
			r.record("%s begins %s", id, line)
			switch {
			case w[0] == "ms":
				time.Sleep(50 * time.Millisecond)
				fmt.Fprintf(conn, "HD O%s cR%s\r\n", request, request)
			case strings.HasPrefix(w[1], "long"):
				fmt.Fprintf(conn, "VA %d O%s h1\r\n%s", size, request, value[:size/2])
				time.Sleep(300 * time.Millisecond)
				if r.trouble {
					r.record("%s: the connection is reset under %s", id, request)
					conn.(*net.TCPConn).SetLinger(0)
					return
				}
				fmt.Fprintf(conn, "%s\r\n", value[size/2:])
			default:
				time.Sleep(50 * time.Millisecond)
				fmt.Fprintf(conn, "VA %d O%s h1\r\nv-%s\r\n", len(request)+2, request, request)
			}
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

// playBreakoff sends one batch and returns how many requests behind the long value had no answer, and how many of these had begun.
func (r *rig) playBreakoff(n *node, round, behind int) (lost, ran int) {
	conn, err := net.DialTimeout("tcp", n.addr, time.Second)
	check(err)
	defer conn.Close()
	text := fmt.Sprintf("mg long-%d v Ol%d Pc=price-read,t=acme,d=2500\r\n", round, round)
	var waiting []string
	for i := range behind {
		id := fmt.Sprintf("r%d.%d", round, i)
		waiting = append(waiting, id)
		text += fmt.Sprintf("mg k-%d-%d v O%s Pc=price-read,t=acme,d=2500\r\n", round, i, id)
	}
	pin := fmt.Sprintf("p%d", round)
	waiting = append(waiting, pin)
	text += fmt.Sprintf("ms k-%d 5 O%s Pc=price-pin,t=acme,d=600,k=key%d\r\nhello\r\n", round, pin, round)
	_, err = io.WriteString(conn, text)
	check(err)
	r.record("client sends l%d %s", round, strings.Join(waiting, " "))
	conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	r.record("l%d is answered %s %v", round, strings.TrimSpace(line), err)
	if w := strings.Fields(line); err == nil && w[0] == "VA" {
		bytes, _ := strconv.Atoi(w[1])
		var got int64
		if got, err = io.CopyN(io.Discard, in, int64(bytes)+2); err != nil {
			r.record("l%d breaks off after %d of %d bytes: %v", round, got, bytes, err)
		}
	}
	for err == nil && len(waiting) > 0 {
		if line, err = in.ReadString('\n'); err != nil {
			break
		}
		r.record("%s is answered %s", waiting[0], strings.TrimSpace(line))
		if w := strings.Fields(line); w[0] == "VA" {
			bytes, _ := strconv.Atoi(w[1])
			_, err = io.CopyN(io.Discard, in, int64(bytes)+2)
		}
		waiting = waiting[1:]
	}
	for _, id := range waiting {
		_, has := begun.Load(id)
		r.record("%s has no answer, its connection ended: %v; begun at a cache server: %t", id, err, has)
		if lost++; has {
			ran++
		}
	}
	return lost, ran
}
