package httpc

import (
	"bytes"
	"strconv"
)

// StreamParser parses one answer as it comes, piece by piece, and keeps nothing of its body: for answers that may go on for
// good, such as a watch (RFC 9112, sections 6 and 7). The zero value waits for an answer's first line. It holds at most
// MaxHead bytes of a head, a chunk's line or a trailer.
type StreamParser struct {
	// ResponseHead is the answer's status and headers, once HasHead is set; its Body is empty.
	ResponseHead Response
	HasHead      bool
	// Done is set once the whole answer has come. What Feed was given beyond it is left over.
	Done bool

	kept  []byte // what has come of a line or a head
	state streamState
	left  int64 // bytes to come of the body, or of a chunk; -1: until the connection's end
	lines int   // bytes of trailers so far
}

type streamState int

const (
	inHead streamState = iota
	inBody
	inSize    // of a chunk
	inChunk   // its bytes
	afterData // the line end behind them
	inTrailer
)

// mostLine bounds a chunk's line.
const mostLine = 4 << 10

// Feed takes what has come and gives each piece of the body to piece, which is good only during the call. It returns how
// many bytes it has used: less than all only when the answer ended there.
func (s *StreamParser) Feed(data []byte, piece func([]byte)) (used int, err error) {
	for used < len(data) && !s.Done {
		n, err := s.step(data[used:], piece)
		if used += n; err != nil {
			return used, err
		}
	}
	return used, nil
}

func (s *StreamParser) step(data []byte, piece func([]byte)) (used int, err error) {
	switch s.state {
	case inHead:
		return s.head(data)
	case inBody, inChunk:
		n := len(data)
		if s.left >= 0 && int64(n) > s.left {
			n = int(s.left)
		}
		if n > 0 {
			piece(data[:n])
		}
		if s.left < 0 {
			return n, nil
		}
		if s.left -= int64(n); s.left == 0 {
			if s.state == inBody {
				s.Done = true
			}
			s.state = afterData
		}
		return n, nil
	}
	line, used, whole, err := s.line(data)
	if err != nil || !whole {
		return used, err
	}
	switch s.state {
	case afterData:
		if len(line) > 0 {
			return used, ErrMalformed
		}
		s.state = inSize
	case inSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		if err != nil {
			return used, ErrMalformed
		}
		s.left = int64(n)
		if s.state = inChunk; n == 0 {
			s.state = inTrailer
		}
	case inTrailer:
		if s.lines += len(line); s.lines > MaxHead {
			return used, ErrLarge
		}
		s.Done = len(line) == 0
	}
	return used, nil
}

// line takes one line, without its end; whole is false while it has not come.
func (s *StreamParser) line(data []byte) (line []byte, used int, whole bool, err error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		if len(s.kept)+len(data) > mostLine {
			return nil, 0, false, ErrLarge
		}
		s.kept = append(s.kept, data...)
		return nil, len(data), false, nil
	}
	if len(s.kept)+end > mostLine {
		return nil, 0, false, ErrLarge
	}
	line = bytes.TrimSuffix(append(s.kept, data[:end]...), []byte("\r"))
	s.kept = s.kept[:0]
	return line, end + 1, true, nil
}

// head takes what belongs to the head.
func (s *StreamParser) head(data []byte) (used int, err error) {
	before := len(s.kept)
	s.kept = append(s.kept, data...)
	end := headEnd(s.kept)
	if end == 0 {
		if len(s.kept) > MaxHead {
			return 0, ErrLarge
		}
		return len(data), nil
	}
	if end > MaxHead {
		return 0, ErrLarge
	}
	a, err := parseHead(s.kept[:end:end])
	if err != nil {
		return 0, err
	}
	s.kept = nil
	used = end - before
	if a.Status < 200 {
		if a.Status == 101 {
			return used, ErrMalformed
		}
		return used, nil // the answer itself follows
	}
	s.ResponseHead, s.HasHead = a, true
	return used, s.frame()
}

// frame settles how the body is told to end.
func (s *StreamParser) frame() error {
	a := &s.ResponseHead
	coding, codings := a.find("Transfer-Encoding")
	text, lengths := a.find("Content-Length")
	switch {
	case lengths+codings > 1:
		return ErrFraming
	case a.Status == 204 || a.Status == 304:
		s.Done = true
	case codings > 0:
		if !bytes.EqualFold(coding, []byte("chunked")) {
			return ErrMalformed
		}
		a.SelfDelimited, s.state = true, inSize
	case lengths > 0:
		n, err := strconv.ParseUint(string(text), 10, 31)
		if err != nil {
			return ErrMalformed
		}
		a.SelfDelimited, s.state, s.left = true, inBody, int64(n)
		s.Done = n == 0
	default:
		a.Close, s.state, s.left = true, inBody, -1
	}
	return nil
}

// End notes that the other end has finished: an answer of no stated length is whole by that, any other is cut off.
func (s *StreamParser) End() error {
	if s.Done || s.HasHead && s.state == inBody && s.left < 0 {
		s.Done = true
		return nil
	}
	return ErrTruncated
}
