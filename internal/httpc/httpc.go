// Package httpc implements the parts of HTTP/1.1 that a balancer needs: it writes requests and parses responses, and does the reverse
// for the node's own small server. It does no I/O: it is given received bytes and returns how many of them it has used.
package httpc

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxHead is the maximum size of a status line and headers, in bytes.
const MaxHead = 16 << 10

// Errors of the parsers.
var (
	ErrMalformed = errors.New("malformed message")
	ErrLarge     = errors.New("message too large")
	ErrTruncated = errors.New("message truncated")
	ErrFraming   = errors.New("more than one body length")
)

// Response is a parsed response. Its slices refer to the parsed bytes, except for a chunked body, which is a copy.
type Response struct {
	Status int
	Body   []byte
	Close  bool   // the connection cannot be used after this response
	head   []byte // the header lines
}

// Header returns the value of a header, or nil if it is missing.
func (a *Response) Header(name string) []byte {
	value, _ := a.findHeader(name)
	return value
}

// findHeader returns the first value of a header and the number of its occurrences.
func (a *Response) findHeader(name string) (first []byte, count int) {
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

// cutLine splits data after its first line and returns the line without its end.
func cutLine(data []byte) (line, rest []byte) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return data, nil
	}
	return bytes.TrimSuffix(data[:end], []byte("\r")), data[end+1:]
}

// findHeadEnd returns the length of the head, which ends with an empty line, or 0 if it is incomplete.
func findHeadEnd(data []byte) int {
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

// ParseResponse parses the first response, whose body may have at most limit bytes. It returns the number of bytes used, which is 0
// if the response is incomplete. ended means that the peer has closed the connection, which ends a body without a stated length.
func ParseResponse(data []byte, limit int, ended bool) (a Response, used int, err error) {
	a, _, used, err = ResponseHead(data)
	if err != nil || used == 0 {
		if err == nil && ended {
			err = ErrTruncated
		}
		return a, 0, err
	}
	n, err := a.parseBody(data[used:], limit, ended)
	if n < 0 || err != nil {
		return Response{}, 0, err
	}
	return a, used + n, nil
}

// ResponseHead parses the head of the first final response; it skips interim (1xx) ones. It returns the length of the body, or
// -1 if there is no Content-Length or no body, and the number of bytes used, which is 0 if the head is incomplete.
func ResponseHead(data []byte) (a Response, length, used int, err error) {
	for {
		head := findHeadEnd(data[used:])
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
		if a.Status == 101 { // no request asks for another protocol
			return a, 0, 0, ErrMalformed
		}
		if a.Status >= 200 {
			break
		}
	}
	var s StreamParser
	s.ResponseHead = a
	if err := s.setFraming(); err != nil {
		return a, 0, 0, err
	}
	if a = s.ResponseHead; s.state != inBody || s.remaining < 0 {
		return a, -1, used, nil
	}
	return a, int(s.remaining), used, nil
}

// parseHead parses the status line and the headers.
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
		if header, rest = cutLine(rest); len(header) > 0 && !isHeaderLine(header) {
			// Guards against a corrupted head: if one line has no colon, the other headers, above all a length, cannot be trusted
			// either. Trusting them lost 20 requests in a test run with garbled responses.
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

// isHeaderLine reports whether a line begins with a name and a colon. The value may be anything.
func isHeaderLine(line []byte) bool {
	end := bytes.IndexByte(line, ':')
	for _, b := range line[:max(0, end)] {
		if b <= ' ' || b >= 0x7f {
			return false
		}
	}
	return end > 0
}

// parseBody parses the body and returns its encoded length, or -1 if it is incomplete.
func (a *Response) parseBody(data []byte, limit int, ended bool) (int, error) {
	if a.Status == 204 || a.Status == 304 {
		return 0, nil
	}
	coding, codings := a.findHeader("Transfer-Encoding")
	text, lengths := a.findHeader("Content-Length")
	// Guards against a truncated body: when the first of two lengths was trusted, a part of a value was passed on as the whole.
	// That lost 56 requests in a test run with garbled responses.
	if lengths+codings > 1 {
		return 0, ErrFraming
	}
	if codings > 0 {
		if !bytes.EqualFold(coding, []byte("chunked")) {
			return 0, ErrMalformed
		}
		return a.parseChunks(data, limit, ended)
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
	a.Close = true // only the end of the connection determines the end of the body
	if len(data) > limit {
		return 0, ErrLarge
	}
	if !ended {
		return -1, nil
	}
	a.Body = data
	return len(data), nil
}

// parseChunks parses a chunked body.
func (a *Response) parseChunks(data []byte, limit int, ended bool) (int, error) {
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

// Header is the name and value of a header to be sent.
type Header struct{ Name, Value string }

// AppendRequest appends a request. A body gets a Content-Length, even if it is empty; nil means that there is no body.
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
