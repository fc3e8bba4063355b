package standin

import (
	"io"
	"net"
	"time"
)

// Limits of what is under way on a link in one direction.
const (
	linkChunkBytes = 32 << 10
	linkMaxChunks  = 128
)

// linkChunk is received data or the end of a stream, and when it reaches the other side.
type linkChunk struct {
	due  time.Time
	data []byte
	err  error
}

// connectOverLink returns a server's end of a connection to a client that is this way off: what either side sends, or its end or reset,
// reaches the other so much later.
func connectOverLink(client net.Conn, way time.Duration) (server net.Conn, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return nil, err
	}
	server, err = ln.Accept()
	if err != nil {
		near.Close()
		return nil, err
	}
	ended := make(chan struct{}, 2)
	go carry(client, near, way, ended)
	go carry(near, client, way, ended)
	go func() {
		<-ended
		<-ended
		client.Close()
		near.Close()
	}()
	return server, nil
}

// carry passes on what arrives from one connection to another, each piece after the way, until the stream ends.
func carry(from, to net.Conn, way time.Duration, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	chunks := make(chan linkChunk, linkMaxChunks)
	go receive(from, way, chunks)
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		switch {
		case c.err == io.EOF:
			to.(*net.TCPConn).CloseWrite()
		case c.err != nil:
			resetConn(to)
		default:
			if _, err := to.Write(c.data); err != nil {
				resetConn(from) // ends receive
			}
		}
	}
}

// receive reads a connection until it ends and queues what arrives for the other side.
func receive(from net.Conn, way time.Duration, chunks chan<- linkChunk) {
	defer close(chunks)
	for {
		data := make([]byte, linkChunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			chunks <- linkChunk{due: time.Now().Add(way), data: data[:n]}
		}
		if err != nil {
			chunks <- linkChunk{due: time.Now().Add(way), err: err}
			return
		}
	}
}
