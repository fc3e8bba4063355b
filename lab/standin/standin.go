// Package standin plays caches, the origin and the list service on loopback sockets, by the published protocol of the
// deployment: the meta commands of the memcache text protocol, HTTP/1.1 and a watch on the list. Each stand-in runs a
// model of package world in real time, or says what a script tells it to, and can be broken at will. What it saw goes to
// a seen.Log. Its parsers are its own, so that a mistake in the node's shows.
package standin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

// Digest is what is kept of a write's value.
func Digest(value []byte) uint64 { return xxhash.Sum64(value) }

// MakeValue is the value that a server makes for one request: it tells which, so that no other can be passed off for it. It
// holds so many bytes, or what its head needs.
func MakeValue(key string, version int64, request, server string, size int) []byte {
	v := fmt.Appendf(make([]byte, 0, size+64), "%s %d %s %s|", key, version, request, server)
	for len(v) < size {
		n := min(len(filler), size-len(v))
		v = append(v, filler[:n]...)
	}
	return v
}

var filler = bytes.Repeat([]byte("The unit price is struck daily. "), 64)

// Origin of a value, as its head tells it. Right reports whether it is whole and unspoilt.
func ParseValue(v []byte) (key string, version int64, request, server string, right bool) {
	head, _, ok := bytes.Cut(v, []byte("|"))
	words := strings.Split(string(head), " ")
	if !ok || len(words) != 4 {
		return "", 0, "", "", false
	}
	n, err := strconv.ParseInt(words[1], 10, 64)
	if err != nil {
		return "", 0, "", "", false
	}
	return words[0], n, words[2], words[3], bytes.Equal(v, MakeValue(words[0], n, words[2], words[3], len(v)))
}

// Common is what all stand-ins of a deployment share.
type Common struct {
	Log     *seen.Log
	Seed    uint64
	Classes map[string]*world.Class

	mu    sync.Mutex
	late  time.Duration // the most that a stand-in was late with what was due
	sum   time.Duration
	count int64
}

// NewCommon shares a log and the classes.
func NewCommon(log *seen.Log, seed uint64, classes []world.Class) *Common {
	c := &Common{Log: log, Seed: seed, Classes: map[string]*world.Class{}}
	for i := range classes {
		c.Classes[classes[i].Name] = &classes[i]
	}
	return c
}

// noteLate counts how late a timer was.
func (c *Common) noteLate(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late = max(c.late, d)
	c.sum += max(0, d)
	c.count++
}

// Lateness is how late the stand-ins were with what was due: at most, and in the mean.
func (c *Common) Lateness() (most, mean time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late, c.sum / time.Duration(max(1, c.count))
}

// port is a listening address that can refuse, fall silent and come back.
type port struct {
	addr  string
	mu    sync.Mutex
	ln    *net.TCPListener // nil while refused
	mute  bool
	fill  []net.Conn // what came up while mute
	plugs []int      // descriptors of what fills the system's queue while mute, and of what waited there before
	wake  chan struct{}
	rest  chan struct{} // closed once nobody accepts any more, after a silence began
	shut  bool
	take  func(net.Conn)
}

// openPort listens; take is called for each connection, on a goroutine of its own.
func openPort(addr string, take func(net.Conn)) (*port, error) {
	p := &port{addr: addr, take: take, wake: make(chan struct{})}
	if err := p.listen(); err != nil {
		return nil, err
	}
	p.addr = p.ln.Addr().String()
	return p, nil
}

func (p *port) listen() error {
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.ln = ln.(*net.TCPListener)
	go p.accept(p.ln)
	return nil
}

func (p *port) accept(ln *net.TCPListener) {
	for {
		conn, err := ln.Accept()
		if err == nil {
			p.mu.Lock()
			mute := p.mute
			p.mu.Unlock()
			if mute { // came with the silence: nobody is there
				p.mu.Lock()
				p.fill = append(p.fill, conn)
				p.mu.Unlock()
				continue
			}
			go p.take(conn)
			continue
		}
		p.mu.Lock()
		mute, wake, mine := p.mute, p.wake, p.ln == ln
		if p.rest != nil {
			close(p.rest)
			p.rest = nil
		}
		p.mu.Unlock()
		switch {
		case !mine:
			return
		case mute:
			<-wake
			ln.SetDeadline(time.Time{})
		default:
			time.Sleep(time.Millisecond) // out of descriptors, perhaps
		}
	}
}

// refuse closes the port: connections are refused, or may come again.
func (p *port) refuse(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on && p.ln != nil:
		p.ln.Close()
		p.ln = nil
	case !on && p.ln == nil && !p.shut:
		var err error
		for range 50 { // the system may hold on to the address for a moment
			if err = p.listen(); err == nil {
				return nil
			}
			time.Sleep(10 * time.Millisecond)
		}
		return err
	}
	return nil
}

// silence makes connections never come up, as at a machine that is cut off: nobody accepts, and the system's queue is
// full. Those that wait when it is back are reset.
func (p *port) silence(on bool) {
	p.mu.Lock()
	if p.mute == on || p.ln == nil {
		p.mu.Unlock()
		return
	}
	p.mute = on
	ln := p.ln
	raw, err := ln.SyscallConn()
	if err != nil {
		p.mu.Unlock()
		return
	}
	if !on {
		fill, plugs := p.fill, p.plugs
		p.fill, p.plugs = nil, nil
		raw.Control(func(fd uintptr) { // what got into the queue is reset too: served, its bytes would count as come only now
			plugs = append(plugs, queued(int(fd))...)
			unix.Listen(int(fd), 1024)
		})
		close(p.wake)
		p.wake = make(chan struct{})
		p.mu.Unlock()
		for _, fd := range plugs {
			unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
			unix.Close(fd)
		}
		for _, c := range fill {
			reset(c)
		}
		return
	}
	raw.Control(func(fd uintptr) { unix.Listen(int(fd), 0) })
	rest := make(chan struct{})
	p.rest = rest
	p.mu.Unlock()
	ln.SetDeadline(time.Unix(1, 0)) // the accepting goroutine waits for the wake
	<-rest                          // one still about to accept would make room in the queue once it is full
	raw.Control(func(fd uintptr) {  // what came before and was not accepted yet makes room, and is held as the rest is
		held := queued(int(fd))
		p.mu.Lock()
		p.plugs = append(p.plugs, held...)
		p.mu.Unlock()
	})
	p.plug(ln.Addr().(*net.TCPAddr))
}

// queued takes what waits in the system's queue of a listening socket.
func queued(ln int) (fds []int) {
	for range 1024 {
		switch fd, _, err := unix.Accept4(ln, unix.SOCK_CLOEXEC); err {
		case nil:
			fds = append(fds, fd)
		case unix.EINTR, unix.ECONNABORTED:
		default:
			return fds
		}
	}
	return fds
}

// plug fills the system's queue with connections that nobody will accept. It waits for what the system says of them, never for
// a time: a dial that is given up on a busy machine says nothing of the queue.
func (p *port) plug(addr *net.TCPAddr) {
	to := unix.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())}
	var polled []unix.PollFd
	for range 8 { // the queue takes one or two; the rest wait outside
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			break
		}
		unix.Connect(fd, &to) // in progress
		polled = append(polled, unix.PollFd{Fd: int32(fd), Events: unix.POLLOUT})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range polled {
		p.plugs = append(p.plugs, int(f.Fd))
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		if n, err := unix.Poll(polled, 100); n > 0 && err == nil {
			return
		}
	}
}

// close gives the port back.
func (p *port) close() {
	p.silence(false)
	p.mu.Lock()
	p.shut = true
	p.mu.Unlock()
	p.refuse(true)
}

// reset ends a connection as a dying process does.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// fields reads names and values: a=1,b=2.
func fields(text string) map[string]string {
	out := map[string]string{}
	for _, pair := range strings.Split(text, ",") {
		if name, value, ok := strings.Cut(pair, "="); ok {
			out[name] = value
		}
	}
	return out
}

// discardAll reads until the other end is gone.
func discardAll(r io.Reader) { io.Copy(io.Discard, r) }
