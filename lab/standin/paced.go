package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pacedChunk is how much a paced server reads at a time.
const pacedChunk = 2 << 10

// Piece is a part of an answer.
type Piece struct {
	Rest  time.Duration // before it is written
	Data  string
	Reset bool // the connection is reset behind it
}

// PacedRequest is a request that a paced server has read: its head, and its whole body unless the reading stops.
type PacedRequest struct {
	Method    string // GET or PUT; of a cache's commands mg or ms
	Key, ID   string
	Body      string
	BodyBytes int // announced
}

// PacedOptions configures a paced server.
type PacedOptions struct {
	HTTP         bool                               // an origin; else a cache server
	Answer       func(request PacedRequest) []Piece // called once a request has been read whole; nil ends the connection
	Window       int                                // bytes of the receive window, with small segments; 0: the system's
	SegmentBytes int                                // size of a segment; 0: the system's
	ReadRate     int                                // bytes a second at which bodies are read; 0: no limit
	StopAt       int                                // bytes of a body after which nothing more is read; 0: all are read
}

// PacedServer is a cache server or an origin that rests within its answers, or that reads requests slowly or in part.
type PacedServer struct {
	opt      PacedOptions
	listener net.Listener
	begun    atomic.Int64 // requests of which the head was read
	whole    atomic.Int64 // requests that were read whole
	done     chan struct{}

	closeOnce sync.Once

	mu    sync.Mutex
	conns map[net.Conn]bool
	ids   map[string]int // whole requests, by id
}

// NewPacedServer starts a paced server at an address; port 0 picks a free one.
func NewPacedServer(addr string, opt PacedOptions) (*PacedServer, error) {
	ln, err := listenWithWindow(addr, opt.Window)
	if err != nil {
		return nil, err
	}
	s := &PacedServer{opt: opt, listener: ln, done: make(chan struct{}), conns: map[net.Conn]bool{}, ids: map[string]int{}}
	go s.accept()
	return s, nil
}

// Addr returns the address that it listens on.
func (s *PacedServer) Addr() string { return s.listener.Addr().String() }

// Counts returns how many requests have begun to arrive, and how many have arrived whole.
func (s *PacedServer) Counts() (begun, whole int) { return int(s.begun.Load()), int(s.whole.Load()) }

// Runs returns how often the request with an id has arrived whole.
func (s *PacedServer) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// StopListening closes the address for new connections. A server that takes its place there may start before this one ends.
func (s *PacedServer) StopListening() { s.listener.Close() }

// Close ends the server and resets its connections, as the end of a process does.
func (s *PacedServer) Close() {
	s.closeOnce.Do(func() { close(s.done) })
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		resetConn(conn)
	}
}

func (s *PacedServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve handles one connection until it ends or an answer ends it.
func (s *PacedServer) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	in := bufio.NewReaderSize(conn, pacedChunk)
	for {
		request, err := s.readRequest(in)
		if err != nil {
			return
		}
		pieces := s.opt.Answer(request)
		if pieces == nil || !s.write(conn, pieces) {
			return
		}
	}
}

// write writes an answer with its rests. It returns false if the connection has ended.
func (s *PacedServer) write(conn net.Conn, pieces []Piece) bool {
	for _, piece := range pieces {
		if !s.sleep(piece.Rest) {
			return false
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := io.WriteString(conn, piece.Data); err != nil {
			return false
		}
		if piece.Reset {
			resetConn(conn)
			return false
		}
	}
	return true
}

// sleep waits, and returns false if the server is closed meanwhile.
func (s *PacedServer) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.done:
		return false
	}
}

// readRequest reads the head of a request and its body, as fast as the options say.
func (s *PacedServer) readRequest(in *bufio.Reader) (PacedRequest, error) {
	readHead := readCommandHead
	if s.opt.HTTP {
		readHead = readHTTPHead
	}
	request, err := readHead(in)
	if err != nil {
		return request, err
	}
	s.begun.Add(1)
	body, err := s.readBody(in, request.BodyBytes)
	if err != nil {
		return request, err
	}
	request.Body = string(body)
	if !s.opt.HTTP && request.Method == "ms" {
		if _, err := in.Discard(len("\r\n")); err != nil {
			return request, err
		}
	}
	s.whole.Add(1)
	s.mu.Lock()
	s.ids[request.ID]++
	s.mu.Unlock()
	return request, nil
}

// readBody reads a body, or stops reading where the options say so and waits for the server to be closed.
func (s *PacedServer) readBody(in io.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, size)
	for len(body) < size {
		n := min(pacedChunk, size-len(body))
		if s.opt.StopAt > 0 && len(body)+n > s.opt.StopAt {
			<-s.done
			return nil, net.ErrClosed
		}
		if s.opt.ReadRate > 0 && !s.sleep(time.Duration(n)*time.Second/time.Duration(s.opt.ReadRate)) {
			return nil, net.ErrClosed
		}
		read, err := io.ReadFull(in, body[len(body):len(body)+n])
		body = body[:len(body)+read]
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// readHTTPHead reads the head of an HTTP request.
func readHTTPHead(in *bufio.Reader) (PacedRequest, error) {
	head, err := http.ReadRequest(in)
	if err != nil {
		return PacedRequest{}, err
	}
	return PacedRequest{Method: head.Method, Key: strings.TrimPrefix(head.URL.Path, "/"), ID: head.Header.Get("Request-Id"),
		BodyBytes: int(max(0, head.ContentLength))}, nil
}

// readCommandHead reads the line of a cache's command.
func readCommandHead(in *bufio.Reader) (PacedRequest, error) {
	line, err := readLine(in)
	if err != nil {
		return PacedRequest{}, err
	}
	words := strings.Fields(line)
	if len(words) < 2 {
		return PacedRequest{}, io.ErrUnexpectedEOF
	}
	request := PacedRequest{Method: words[0], Key: words[1]}
	for _, word := range words[2:] {
		if word[0] == 'O' {
			request.ID = word[1:]
		}
	}
	if words[0] == "ms" {
		if request.BodyBytes, err = strconv.Atoi(words[2]); err != nil {
			return request, err
		}
	}
	return request, nil
}
