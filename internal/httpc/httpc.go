// Package httpc is the client side of HTTP/1.1, as far as a balancer needs it: it writes requests and parses
// answers. It does no I/O: it is given the bytes that have come and says how many it has used.
package httpc

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxHead is the most that an answer's first line and headers may take.
const MaxHead = 16 << 10

// What can be wrong with an answer.
var (
	ErrMalformed = errors.New("malformed answer")
	ErrLarge     = errors.New("answer too large")
	ErrTruncated = errors.New("answer cut off")
	ErrFraming   = errors.New("two lengths")
)

// Response is one answer. Its slices are parts of the bytes that were parsed, or, for a body in chunks, a copy.
type Response struct {
	Status        int
	Body          []byte
	Close         bool // the connection carries nothing after this answer
	SelfDelimited bool // its own words tell where the body ends, not the connection's end
	head          []byte
}

// Header gives a header's value, empty where it is not there.
func (a *Response) Header(name string) []byte {
	value, _ := a.find(name)
	return value
}

// find gives the first value of a header and how many there are.
func (a *Response) find(name string) (first []byte, count int) {
	for rest := a.head; len(rest) > 0; {
		var line []byte
		line, rest = cutLine(rest)
		if key, value, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(key, []byte(name)) {
			if count++; count == 1 {
				first = bytes.TrimSpace(value)
			}
		}
	}
	return first, count
}

// cutLine cuts data at its first line's end; the line is without it.
func cutLine(data []byte) (line, rest []byte) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return data, nil
	}
	return bytes.TrimSuffix(data[:end], []byte("\r")), data[end+1:]
}

// headEnd finds where the head ends: after an empty line. 0 means that it has not come whole.
func headEnd(data []byte) int {
	for at := 0; ; {
		end := bytes.IndexByte(data[at:], '\n')
		if end < 0 {
			return 0
		}
		if line := data[at : at+end]; at > 0 && (len(line) == 0 || len(line) == 1 && line[0] == '\r') {
			return at + end + 1
		}
		at += end + 1
	}
}

// ParseResponse parses the first answer, whose body may hold at most limit bytes. It returns how many bytes that took: 0 when
// more must come first. Ended says that the other end has finished, which ends a body of no stated length.
func ParseResponse(data []byte, limit int, ended bool) (a Response, used int, err error) {
	a, _, used, err = ResponseHead(data)
	if err != nil || used == 0 {
		if err == nil && ended {
			err = ErrTruncated
		}
		return a, 0, err
	}
	n, err := a.body(data[used:], limit, ended)
	if n < 0 || err != nil {
		return Response{}, 0, err
	}
	return a, used + n, nil
}

// ResponseHead parses the head of the first answer whose status is final. It returns how many bytes that took, 0 when more must
// come first, and the length of the body behind it, -1 where only the body itself tells that, or nothing.
func ResponseHead(data []byte) (a Response, length, used int, err error) {
	for {
		head := headEnd(data[used:])
		switch {
		case head == 0 && len(data)-used > MaxHead, head > MaxHead:
			return a, 0, 0, ErrLarge
		case head == 0:
			return a, 0, 0, nil
		}
		if a, err = parseHead(data[used : used+head]); err != nil {
			return a, 0, 0, err
		}
		used += head
		if a.Status == 101 { // nobody asked for another protocol
			return a, 0, 0, ErrMalformed
		}
		if a.Status >= 200 {
			break
		}
	}
	var s StreamParser
	s.ResponseHead = a
	if err := s.frame(); err != nil {
		return a, 0, 0, err
	}
	if a = s.ResponseHead; s.state != inBody || s.left < 0 {
		return a, -1, used, nil
	}
	return a, int(s.left), used, nil
}

// parseHead reads the first line and the headers.
func parseHead(head []byte) (a Response, err error) {
	line, rest := cutLine(head)
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return a, ErrMalformed
	}
	if a.Status, err = strconv.Atoi(string(line[9:12])); err != nil || a.Status < 100 {
		return a, ErrMalformed
	}
	a.head = rest
	for len(rest) > 0 {
		var header []byte
		if header, rest = cutLine(rest); len(header) > 0 && !isHeader(header) {
			// Guards against a head with noise in it: what else it says, a length above all, can't be trusted
			// (launceston-platform, rude+garble 3: 20 requests lost to heads with a line without a colon).
			return a, ErrMalformed
		}
	}
	switch option := a.Header("Connection"); {
	case bytes.EqualFold(option, []byte("close")):
		a.Close = true
	case line[7] == '0':
		a.Close = !bytes.EqualFold(option, []byte("keep-alive"))
	}
	return a, nil
}

// isHeader reports whether a line begins with a name and a colon. The value may be anything.
func isHeader(line []byte) bool {
	end := bytes.IndexByte(line, ':')
	for _, b := range line[:max(0, end)] {
		if b <= ' ' || b >= 0x7f {
			return false
		}
	}
	return end > 0
}

// body takes the body and returns its length on the wire, -1 when more must come first.
func (a *Response) body(data []byte, limit int, ended bool) (int, error) {
	if a.Status == 204 || a.Status == 304 {
		return 0, nil
	}
	coding, codings := a.find("Transfer-Encoding")
	text, lengths := a.find("Content-Length")
	// Guards against a body cut short: of two lengths the first was taken for true, and a part of a value was passed on
	// as the whole (launceston-platform, rude+garble 3: 56 requests lost).
	if lengths+codings > 1 {
		return 0, ErrFraming
	}
	a.SelfDelimited = lengths+codings == 1
	if codings > 0 {
		if !bytes.EqualFold(coding, []byte("chunked")) {
			return 0, ErrMalformed
		}
		return a.chunks(data, limit, ended)
	}
	if lengths > 0 {
		n, err := strconv.ParseUint(string(text), 10, 31)
		switch {
		case err != nil:
			return 0, ErrMalformed
		case int(n) > limit:
			return 0, ErrLarge
		case len(data) < int(n) && ended:
			return 0, ErrTruncated
		case len(data) < int(n):
			return -1, nil
		}
		a.Body = data[:n]
		return int(n), nil
	}
	a.Close = true // only the connection's end tells where the body ends
	if len(data) > limit {
		return 0, ErrLarge
	}
	if !ended {
		return -1, nil
	}
	a.Body = data
	return len(data), nil
}

// chunks takes a body that comes in chunks.
func (a *Response) chunks(data []byte, limit int, ended bool) (int, error) {
	more := func() (int, error) {
		if ended {
			return 0, ErrTruncated
		}
		return -1, nil
	}
	var body []byte
	for at := 0; ; {
		end := bytes.IndexByte(data[at:], '\n')
		if end < 0 {
			if len(data)-at > MaxHead {
				return 0, ErrLarge
			}
			return more()
		}
		size, _, _ := bytes.Cut(bytes.TrimSpace(data[at:at+end]), []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		if err != nil {
			return 0, ErrMalformed
		}
		at += end + 1
		if n == 0 {
			for { // trailers, up to an empty line
				end := bytes.IndexByte(data[at:], '\n')
				if end < 0 {
					if len(data)-at > MaxHead {
						return 0, ErrLarge
					}
					return more()
				}
				line := bytes.TrimSpace(data[at : at+end])
				if at += end + 1; len(line) == 0 {
					a.Body = body
					return at, nil
				}
			}
		}
		if len(body)+int(n) > limit {
			return 0, ErrLarge
		}
		if len(data) < at+int(n)+2 {
			return more()
		}
		body = append(body, data[at:at+int(n)]...)
		if at += int(n); string(data[at:at+2]) != "\r\n" {
			return 0, ErrMalformed
		}
		at += 2
	}
}

// Header is a name and a value to send.
type Header struct{ Name, Value string }

// AppendRequest writes a request. A body, even an empty one, gets its length; nil means that there is none.
func AppendRequest(buf []byte, method, target, host string, headers []Header, body []byte) []byte {
	buf = append(append(append(append(buf, method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	buf = append(append(buf, host...), "\r\n"...)
	for _, h := range headers {
		buf = append(append(append(append(buf, h.Name...), ": "...), h.Value...), "\r\n"...)
	}
	if body != nil {
		buf = strconv.AppendInt(append(buf, "Content-Length: "...), int64(len(body)), 10)
		buf = append(buf, "\r\n"...)
	}
	return append(append(buf, "\r\n"...), body...)
}
