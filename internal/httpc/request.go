package httpc

import (
	"bytes"
	"strconv"
)

// Request is the head of one request. Its slices are parts of the bytes that were parsed.
type Request struct {
	Method []byte
	Path   []byte // up to a question mark, as it came
	head   []byte
}

// Header gives a header's value, empty where it is not there.
func (r *Request) Header(name string) []byte {
	a := Response{head: r.head}
	return a.Header(name)
}

// ParseRequest parses the head of the first request, which may hold at most limit bytes, and passes over no body. It returns
// how many bytes that took: 0 when more must come first. ErrLarge says that it is longer, ErrMalformed that it is none
// (RFC 9112, sections 2 to 5).
func ParseRequest(data []byte, limit int) (r Request, used int, err error) {
	from := 0
	for from < len(data) && (data[from] == '\r' || data[from] == '\n') && from < 4 {
		from++ // empty lines ahead are passed over
	}
	end := headEnd(data[from:])
	switch {
	case end == 0 && len(data) > limit, end > limit:
		return r, 0, ErrLarge
	case end == 0:
		if line, _, whole := bytes.Cut(data[from:], []byte("\n")); whole { // what is none by its first line is told at once
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
		if header, rest = cutLine(rest); len(header) > 0 && !isHeader(header) {
			return r, 0, ErrMalformed
		}
	}
	return r, from + end, nil
}

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

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable"}

// AppendResponse writes an answer that ends its connection.
func AppendResponse(buf []byte, status int, headers []Header, body []byte) []byte {
	buf = strconv.AppendInt(append(buf, "HTTP/1.1 "...), int64(status), 10)
	buf = append(append(append(buf, ' '), reasons[status]...), "\r\n"...)
	for _, h := range headers {
		buf = append(append(append(append(buf, h.Name...), ": "...), h.Value...), "\r\n"...)
	}
	buf = strconv.AppendInt(append(buf, "Connection: close\r\nContent-Length: "...), int64(len(body)), 10)
	return append(append(buf, "\r\n\r\n"...), body...)
}
