// Package control is the operators' second address: HTTP/1.1, one call to a connection, on the node's loop. It knows who
// may call what and how; what a call does is its owner's.
package control

import (
	"container/list"
	"errors"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"lapisshelf/internal/httpc"
	"lapisshelf/internal/loop"
)

const (
	// MaxConns is how many connections of callers are held at once, and Descriptors what the address takes in all.
	MaxConns       = 12
	MaxDescriptors = MaxConns + 1
	maxHeadBytes   = 4 << 10         // bytes of a call's head
	requestTimeout = 5 * time.Second // from connecting to a whole call
	lingerTimeout  = 500 * time.Millisecond
)

// Reply is what a call is answered: 2xx is yes, 4xx and 5xx no.
type Reply struct {
	Status int
	Type   string // of the body; empty: plain text
	Body   []byte
}

// TextReply is a reply of one plain line.
func TextReply(status int, line string) Reply {
	return Reply{Status: status, Body: []byte(line + "\n")}
}

// Route is one call. A path that ends in a slash takes one more segment, which Do is given, unescaped.
type Route struct {
	Method, Path string
	Handler      func(arg string) Reply
}

// Server owns the listener and the connections of callers.
type Server struct {
	loop     *loop.Loop
	listener *loop.Listener
	routes   []Route
	conns    *list.List // all that hold a descriptor, oldest first
	closed   bool

	// Calls counts answers by status; Shed the connections that made room for others or brought no call in time.
	RepliesByStatus map[int]int64
	Shed            int64
}

// clientConn is one connection. It leaves the list when its descriptor is given back.
type clientConn struct {
	server  *Server
	conn    *loop.Conn
	element *list.Element
	input   []byte
	replied bool
	timer   *loop.Timer
}

// Listen opens the address, and nothing but it.
func Listen(l *loop.Loop, addr netip.AddrPort, routes []Route) (*Server, error) {
	s := &Server{loop: l, routes: routes, conns: list.New(), RepliesByStatus: map[int]int64{}}
	var err error
	if s.listener, err = l.Listen(addr, s.accept); err != nil {
		return nil, err
	}
	s.listener.Prioritize()
	return s, nil
}

// OpenDescriptors is how many descriptors are held; a nil Server holds none.
func (s *Server) OpenDescriptors() int {
	if s == nil || s.closed {
		return 0
	}
	return s.conns.Len() + 1
}

// ReservedDescriptors is how many descriptors are kept for the address; a nil Server needs none.
func (s *Server) ReservedDescriptors() int {
	if s == nil {
		return 0
	}
	return MaxDescriptors
}

// accept takes a caller. With no place left the oldest that has finished no call makes room, then the oldest that only
// waits for the other end to close: callers that never finish must cost only themselves.
func (s *Server) accept(fd int) {
	c := &clientConn{server: s}
	conn, err := s.loop.Accept(fd, c)
	if err != nil {
		return
	}
	for s.conns.Len() >= MaxConns {
		victim := s.conns.Front()
		for e := victim; e != nil; e = e.Next() {
			if !e.Value.(*clientConn).replied {
				victim = e
				break
			}
		}
		s.Shed++
		victim.Value.(*clientConn).conn.Close()
	}
	c.conn = conn
	c.element = s.conns.PushBack(c)
	conn.Prioritize()
	conn.OnRelease(func() {
		c.timer.Stop()
		s.conns.Remove(c.element)
	})
	c.timer = s.loop.After(requestTimeout, func() {
		s.Shed++
		conn.Close()
	})
}

// Connected implements loop.Handler.
func (c *clientConn) Connected() {}

// Flushed implements loop.Handler.
func (c *clientConn) Flushed() {}

// End implements loop.Handler.
func (c *clientConn) End(error) {}

// Data implements loop.Handler.
func (c *clientConn) Data(data []byte) {
	if c.replied {
		return
	}
	c.input = append(c.input, data...)
	r, consumed, err := httpc.ParseRequest(c.input, maxHeadBytes)
	switch {
	case errors.Is(err, httpc.ErrLarge):
		c.reply(TextReply(431, "the head is too long"), "")
	case err != nil:
		c.reply(TextReply(400, "no HTTP/1.1 request"), "")
	case consumed > 0:
		reply, allow := c.server.dispatch(string(r.Method), string(r.Path))
		c.reply(reply, allow)
	}
}

// dispatch finds and makes a call; allow tells the methods that its path has.
func (s *Server) dispatch(method, path string) (reply Reply, allow string) {
	var methods []string
	for _, r := range s.routes {
		arg, ok := match(r.Path, path)
		if !ok {
			continue
		}
		if r.Method == method {
			return r.Handler(arg), ""
		}
		methods = append(methods, r.Method)
	}
	if len(methods) > 0 {
		return TextReply(405, "not with this method"), strings.Join(slices.Compact(methods), ", ")
	}
	return TextReply(404, "no such call"), ""
}

// match reports whether a path is a route's and gives its argument.
func match(route, path string) (arg string, ok bool) {
	if !strings.HasSuffix(route, "/") {
		return "", path == route
	}
	rest, ok := strings.CutPrefix(path, route)
	if !ok || rest == "" || strings.Contains(rest, "/") {
		return "", false
	}
	arg, err := url.PathUnescape(rest)
	return arg, err == nil
}

// reply ends the call.
func (c *clientConn) reply(r Reply, allow string) {
	c.replied, c.input = true, nil
	c.server.RepliesByStatus[r.Status]++
	headers := []httpc.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}, {Name: "Cache-Control", Value: "no-store"}}
	if r.Type != "" {
		headers[0].Value = r.Type
	}
	if allow != "" {
		headers = append(headers, httpc.Header{Name: "Allow", Value: allow})
	}
	c.conn.Write(httpc.AppendResponse(nil, r.Status, headers, r.Body))
	c.conn.CloseGracefully(lingerTimeout)
}

// Close gives the address back; calls that were answered reach their callers.
func (s *Server) Close() {
	if s == nil || s.closed {
		return
	}
	s.closed = true
	s.listener.Close()
	for e := s.conns.Front(); e != nil; {
		next := e.Next()
		if c := e.Value.(*clientConn); !c.replied {
			c.conn.Close()
		}
		e = next
	}
}
