package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["surplus"] = playSurplus }

// The figures of the case "surplus".
const (
	surplusWay    = 10 * time.Millisecond // one way between the node and the origin, in another data centre
	surplusLate   = 5 * time.Millisecond  // between an answer and its second copy
	surplusPart   = 0.1                   // of the answers that a second copy follows
	surplusFor    = 30 * time.Second
	surplusRate   = 30  // requests a second
	surplusWrites = 0.1 // part of the requests that are writes
)

// playSurplus has an origin send a second copy of some answers. Each client must get what was made for its request, or a refusal or
// a failure.
func playSurplus(r *rig) (broken int, err error) {
	o := &surplusOrigin{r: r, rng: rand.New(rand.NewPCG(seed(), 1))}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	go o.run(ln)
	way, err := delayProxy(ln.Addr().String(), surplusWay)
	if err != nil {
		return 0, err
	}
	list := []string{}
	for range 3 {
		addr, err := r.startCache(func(line string, _ []byte) string { return "EN " + opaque(line) + " h0\r\n" }) // each key is asked for once
		if err != nil {
			return 0, err
		}
		list = append(list, addr)
	}
	discovery, err := r.startList(member("s-1", list[0], "m2"), member("s-2", list[1], "m2"), member("s-3", list[2], "m2"), member("s-0", way, "origin"))
	if err != nil {
		return 0, err
	}
	if err := r.startNode(discovery, 192, 1024, burnie); err != nil {
		return 0, err
	}
	var wrong, served, refused, failed atomic.Int64
	var all sync.WaitGroup
	began := time.Now()
	for i := 0; ; i++ {
		due := began.Add(time.Duration(i) * time.Second / surplusRate)
		if time.Since(began) > surplusFor {
			break
		}
		time.Sleep(time.Until(due))
		key, id, write := fmt.Sprintf("%016x", r.rng.Uint64()), fmt.Sprintf("q%d", i), r.rng.Float64() < surplusWrites
		all.Go(func() {
			conn, err := net.Dial("tcp", r.listen)
			if err != nil {
				r.note("client %s: %v", id, err)
				return
			}
			defer conn.Close()
			text, want := fmt.Sprintf("mg %s v O%s Pc=latest-price,d=1500\r\n", key, id), fmt.Sprintf("VA %d O%s value of %s for %s", len(originValue(key, id)), id, key, id)
			if write {
				text, want = fmt.Sprintf("ms %s 5 O%s Pc=price-correction,d=1500,k=%s\r\nprice\r\n", key, id, id), fmt.Sprintf("HD O%s creceipt-%s", id, id)
			}
			io.WriteString(conn, text)
			conn.SetReadDeadline(time.Now().Add(4 * time.Second))
			in := bufio.NewReader(conn)
			line, err := in.ReadString('\n')
			got := strings.TrimRight(line, "\r\n")
			if f := strings.Fields(got); len(f) > 1 && f[0] == "VA" {
				n, _ := strconv.Atoi(f[1])
				value := make([]byte, n+2)
				if _, err = io.ReadFull(in, value); err == nil {
					got += " " + string(value[:n])
				}
			}
			switch {
			case err != nil:
				r.note("client %s: sent %q, no whole answer: %v", id, strings.TrimSpace(text), err)
			case got == want:
				served.Add(1)
				r.note("client %s: sent %q, got %q", id, strings.TrimSpace(text), got)
			case strings.HasPrefix(got, "SERVER_ERROR busy"):
				refused.Add(1)
				r.note("client %s: sent %q, got %q", id, strings.TrimSpace(text), got)
			case strings.HasPrefix(got, "VA "), strings.HasPrefix(got, "HD "):
				wrong.Add(1)
				r.note("client %s: WRONG sent %q, got %q, made for it %q", id, strings.TrimSpace(text), got, want)
			default:
				failed.Add(1)
				r.note("client %s: sent %q, got %q", id, strings.TrimSpace(text), got)
			}
		})
	}
	all.Wait()
	r.note("clients: %d served with what was made for them, %d refused, %d failed, %d served with something else", served.Load(), refused.Load(), failed.Load(), wrong.Load())
	r.note("origin: %d answers, %d second copies, %d not sent since a request had come", o.answers.Load(), o.copies.Load(), o.withheld.Load())
	if served.Load() == 0 || trouble() && o.copies.Load() == 0 {
		return 0, fmt.Errorf("%w: nothing served, or no second copy", errCannotRun)
	}
	return int(wrong.Load()), nil
}

// originValue is the value that the origin makes for a request.
func originValue(key, id string) string { return "value of " + key + " for " + id }

// surplusOrigin is an origin that sends a second copy of some answers, as long as nothing else waits on the connection.
type surplusOrigin struct {
	r                         *rig
	mu                        sync.Mutex
	rng                       *rand.Rand
	answers, copies, withheld atomic.Int64
}

func (o *surplusOrigin) run(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go o.serve(conn)
	}
}

// draw returns the work of a request, and whether a second copy of its answer follows.
func (o *surplusOrigin) draw() (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Duration(89+o.rng.IntN(141)) * time.Millisecond, o.rng.Float64() < surplusPart && trouble()
}

func (o *surplusOrigin) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		key, id := strings.TrimPrefix(req.URL.Path, "/"), req.Header.Get("Request-Id")
		work, again := o.draw()
		o.r.note("origin: runs %s %s for %s", req.Method, key, id)
		time.Sleep(work)
		body := originValue(key, id)
		if req.Method == "PUT" {
			body = "receipt-" + id
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		o.answers.Add(1)
		if !again {
			continue
		}
		time.Sleep(surplusLate)
		if nothingWaits(conn, in) {
			o.copies.Add(1)
			o.r.note("origin: second copy of the answer to %s %s, %v behind it", req.Method, id, surplusLate)
			io.WriteString(conn, answer)
		} else {
			o.withheld.Add(1)
		}
	}
}

// nothingWaits reports whether nothing has come on the connection that is not read yet.
func nothingWaits(conn net.Conn, in *bufio.Reader) bool {
	if in.Buffered() > 0 {
		return false
	}
	conn.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
	_, err := in.Peek(1)
	conn.SetReadDeadline(time.Time{})
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// delayProxy returns an address that leads to another one, with a delay each way.
func delayProxy(to string, delay time.Duration) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to)
			if err != nil {
				client.Close()
				continue
			}
			go relay(client, server, delay)
			go relay(server, client, delay)
		}
	}()
	return ln.Addr().String(), nil
}

// relay passes on what comes, and the end, each after the delay.
func relay(from, to net.Conn, delay time.Duration) {
	type piece struct {
		due  time.Time
		data []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			data := make([]byte, 64<<10)
			n, err := from.Read(data)
			if n > 0 {
				pieces <- piece{time.Now().Add(delay), data[:n]}
			}
			if err != nil {
				pieces <- piece{due: time.Now().Add(delay)}
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if p.data == nil {
			to.Close()
			from.Close()
			continue
		}
		to.Write(p.data)
	}
}
