// Package control implements the control address, on which operators and their tools send requests to a process: HTTP/1.1 with one
// request per connection, on the process's event loop. It matches requests to routes and limits connections; the handlers of
// the routes belong to the caller.
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
	// MaxConns is the maximum number of open client connections. MaxDescriptors includes the listener.
	MaxConns       = 12
	MaxDescriptors = MaxConns + 1
	maxHeadBytes   = 4 << 10         // size of a request's head
	requestTimeout = 5 * time.Second // from accepting a connection to its complete request
	lingerTimeout  = 500 * time.Millisecond
)

// Reply is the response to a request. 2xx means success, 4xx and 5xx failure.
type Reply struct {
	Status int
	Type   string // Content-Type; empty selects plain text
	Body   []byte
}

// TextReply returns a reply with one line of plain text.
func TextReply(status int, line string) Reply {
	return Reply{Status: status, Body: []byte(line + "\n")}
}

// Route maps a method and path to a handler. A path that ends in a slash matches one further segment, which is unescaped and
// passed to Handler.
type Route struct {
	Method, Path string
	Handler      func(arg string) Reply
}

// Server owns the listener and the client connections.
type Server struct {
	loop     *loop.Loop
	listener *loop.Listener
	routes   []Route
	conns    *list.List // *clientConn that hold a descriptor, oldest first
	closed   bool

	// RepliesByStatus counts replies by status code. Shed counts connections closed to make room for others or because no
	// complete request arrived in time.
	RepliesByStatus map[int]int64
	Shed            int64
}

// clientConn is one connection. It is removed from Server.conns when its descriptor is closed.
type clientConn struct {
	server  *Server
	conn    *loop.Conn
	element *list.Element
	input   []byte
	replied bool
	timer   *loop.Timer
}

// Listen opens the address and serves routes on it.
func Listen(l *loop.Loop, addr netip.AddrPort, routes []Route) (*Server, error) {
	s := &Server{loop: l, routes: routes, conns: list.New(), RepliesByStatus: map[int]int64{}}
	var err error
	if s.listener, err = l.Listen(addr, s.accept); err != nil {
		return nil, err
	}
	s.listener.Prioritize()
	return s, nil
}

// OpenDescriptors returns the number of open descriptors. It is 0 for a nil Server.
func (s *Server) OpenDescriptors() int {
	if s == nil || s.closed {
		return 0
	}
	return s.conns.Len() + 1
}

// ReservedDescriptors returns the number of descriptors reserved for the address. It is 0 for a nil Server.
func (s *Server) ReservedDescriptors() int {
	if s == nil {
		return 0
	}
	return MaxDescriptors
}

// accept adds a connection. At the limit it closes the oldest connection without a complete request, or else the oldest one that
// only waits for its peer to close: clients that never finish a request must not block others.
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

// dispatch runs the handler for a request. If the path exists only with other methods, allow lists them.
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

// match reports whether a path matches a route's path, and returns the route's argument.
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

// reply sends the response and closes the connection.
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

// Close closes the listener and all connections without a reply. Replies already sent are still delivered.
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
