package httpc

import (
	"bytes"
	"strconv"
)

// Request is the head of a request. Its slices refer to the parsed bytes.
type Request struct {
	Method []byte
	Path   []byte // without the query, as received
	head   []byte // the header lines
}

// Header returns the value of a header, or nil if it is missing.
func (r *Request) Header(name string) []byte {
	a := Response{head: r.head}
	return a.Header(name)
}

// ParseRequest parses the head of the first request, which may have at most limit bytes, and does not skip a body. It returns the
// number of bytes used, which is 0 if the head is incomplete. It fails with ErrLarge if the head is longer, and with ErrMalformed if
// it is not a valid request (RFC 9112, sections 2 to 5).
func ParseRequest(data []byte, limit int) (r Request, used int, err error) {
	from := 0
	for from < len(data) && (data[from] == '\r' || data[from] == '\n') && from < 4 {
		from++ // leading empty lines are skipped
	}
	end := findHeadEnd(data[from:])
	switch {
	case end == 0 && len(data) > limit, end > limit:
		return r, 0, ErrLarge
	case end == 0:
		if line, _, whole := bytes.Cut(data[from:], []byte("\n")); whole { // an invalid request line is reported without waiting for the rest
			_, err = parseRequestLine(bytes.TrimSuffix(line, []byte("\r")))
		}
		return r, 0, err
	}
	line, rest := cutLine(data[from : from+end])
	if r, err = parseRequestLine(line); err != nil {
		return r, 0, err
	}
	r.head = rest
	for len(rest) > 0 {
		var header []byte
		if header, rest = cutLine(rest); len(header) > 0 && !isHeaderLine(header) {
			return r, 0, ErrMalformed
		}
	}
	return r, from + end, nil
}

// parseRequestLine parses the method, the path and the version.
func parseRequestLine(line []byte) (r Request, err error) {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, ok := bytes.Cut(rest, []byte(" "))
	if !ok || len(method) == 0 || len(target) == 0 || target[0] != '/' || len(version) != 8 ||
		!bytes.HasPrefix(version, []byte("HTTP/1.")) || version[7] < '0' || version[7] > '9' {
		return r, ErrMalformed
	}
	for _, b := range method {
		if b < 'A' || b > 'Z' {
			return r, ErrMalformed
		}
	}
	for _, b := range target {
		if b <= ' ' || b >= 0x7f {
			return r, ErrMalformed
		}
	}
	r.Method = method
	r.Path, _, _ = bytes.Cut(target, []byte("?"))
	return r, nil
}

// reasonPhrases are the reason phrases of the status codes that are sent.
var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable"}

// AppendResponse appends a response after which the connection is closed.
func AppendResponse(buf []byte, status int, headers []Header, body []byte) []byte {
	buf = strconv.AppendInt(append(buf, "HTTP/1.1 "...), int64(status), 10)
	buf = append(append(append(buf, ' '), reasonPhrases[status]...), "\r\n"...)
	for _, h := range headers {
		buf = append(append(append(append(buf, h.Name...), ": "...), h.Value...), "\r\n"...)
	}
	buf = strconv.AppendInt(append(buf, "Connection: close\r\nContent-Length: "...), int64(len(body)), 10)
	return append(append(buf, "\r\n\r\n"...), body...)
}
