package httpc

import (
	"bytes"
	"strconv"
)

// StreamParser parses one response incrementally and does not keep its body: for responses that may go on indefinitely, such as a
// watch (RFC 9112, sections 6 and 7). The zero value expects a status line. It buffers at most MaxHead bytes of a head, or a line of
// the chunked coding.
type StreamParser struct {
	// ResponseHead is the status and the headers, valid once HasHead is set; its Body is empty.
	ResponseHead Response
	HasHead      bool
	// Done is set once the response is complete. Feed leaves bytes beyond it unused.
	Done bool

	buffer       []byte // received bytes of an incomplete line or head
	state        streamState
	remaining    int64 // remaining bytes of the body or of a chunk; -1: until the connection ends
	trailerBytes int   // bytes of trailers so far
}

// streamState is the part of the response that is expected next.
type streamState int

const (
	inHead streamState = iota
	inBody
	inChunkSize // the line with a chunk's size
	inChunkData
	inChunkEnd // the line end after a chunk's data
	inTrailer
)

// maxLine is the maximum length of a line of the chunked coding, in bytes.
const maxLine = 4 << 10

// Feed parses received bytes and passes each part of the body to piece; the slice is valid only during the call. It returns how many
// bytes it has used: fewer than all only if the response ended there.
func (s *StreamParser) Feed(data []byte, piece func([]byte)) (used int, err error) {
	for used < len(data) && !s.Done {
		n, err := s.step(data[used:], piece)
		if used += n; err != nil {
			return used, err
		}
	}
	return used, nil
}

// step parses as much as the current state allows and returns the number of bytes used.
func (s *StreamParser) step(data []byte, piece func([]byte)) (used int, err error) {
	switch s.state {
	case inHead:
		return s.readHead(data)
	case inBody, inChunkData:
		n := len(data)
		if s.remaining >= 0 && int64(n) > s.remaining {
			n = int(s.remaining)
		}
		if n > 0 {
			piece(data[:n])
		}
		if s.remaining < 0 {
			return n, nil
		}
		if s.remaining -= int64(n); s.remaining == 0 {
			if s.state == inBody {
				s.Done = true
			}
			s.state = inChunkEnd
		}
		return n, nil
	}
	line, used, whole, err := s.line(data)
	if err != nil || !whole {
		return used, err
	}
	switch s.state {
	case inChunkEnd:
		if len(line) > 0 {
			return used, ErrMalformed
		}
		s.state = inChunkSize
	case inChunkSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		if err != nil {
			return used, ErrMalformed
		}
		s.remaining = int64(n)
		if s.state = inChunkData; n == 0 {
			s.state = inTrailer
		}
	case inTrailer:
		if s.trailerBytes += len(line); s.trailerBytes > MaxHead {
			return used, ErrLarge
		}
		s.Done = len(line) == 0
	}
	return used, nil
}

// line reads one line, without its end; whole is false while it is incomplete.
func (s *StreamParser) line(data []byte) (line []byte, used int, whole bool, err error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		if len(s.buffer)+len(data) > maxLine {
			return nil, 0, false, ErrLarge
		}
		s.buffer = append(s.buffer, data...)
		return nil, len(data), false, nil
	}
	if len(s.buffer)+end > maxLine {
		return nil, 0, false, ErrLarge
	}
	line = bytes.TrimSuffix(append(s.buffer, data[:end]...), []byte("\r"))
	s.buffer = s.buffer[:0]
	return line, end + 1, true, nil
}

// readHead reads and parses the head.
func (s *StreamParser) readHead(data []byte) (used int, err error) {
	before := len(s.buffer)
	s.buffer = append(s.buffer, data...)
	end := findHeadEnd(s.buffer)
	if end == 0 {
		if len(s.buffer) > MaxHead {
			return 0, ErrLarge
		}
		return len(data), nil
	}
	if end > MaxHead {
		return 0, ErrLarge
	}
	a, err := parseHead(s.buffer[:end:end])
	if err != nil {
		return 0, err
	}
	s.buffer = nil
	used = end - before
	if a.Status < 200 {
		if a.Status == 101 {
			return used, ErrMalformed
		}
		return used, nil // an interim response: the final one follows
	}
	s.ResponseHead, s.HasHead = a, true
	return used, s.setFraming()
}

// setFraming determines how the end of the body is found.
func (s *StreamParser) setFraming() error {
	a := &s.ResponseHead
	coding, codings := a.findHeader("Transfer-Encoding")
	text, lengths := a.findHeader("Content-Length")
	switch {
	case lengths+codings > 1:
		return ErrFraming
	case a.Status == 204 || a.Status == 304:
		s.Done = true
	case codings > 0:
		if !bytes.EqualFold(coding, []byte("chunked")) {
			return ErrMalformed
		}
		s.state = inChunkSize
	case lengths > 0:
		n, err := strconv.ParseUint(string(text), 10, 31)
		if err != nil {
			return ErrMalformed
		}
		s.state, s.remaining = inBody, int64(n)
		s.Done = n == 0
	default:
		a.Close, s.state, s.remaining = true, inBody, -1
	}
	return nil
}

// End reports that the peer has closed the connection: a response without a stated length is then complete, others are truncated.
func (s *StreamParser) End() error {
	if s.Done || s.HasHead && s.state == inBody && s.remaining < 0 {
		s.Done = true
		return nil
	}
	return ErrTruncated
}
