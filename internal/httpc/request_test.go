package httpc

import (
	"errors"
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	long := "GET / HTTP/1.1\r\nA: " + strings.Repeat("b", 100)
	for _, c := range []struct {
		name, in     string
		method, path string
		used         int // -1: all of it
		err          error
	}{
		{"a request", "GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n", "GET", "/_vars", -1, nil},
		{"bare line feeds", "GET / HTTP/1.1\nHost: x\n\n", "GET", "/", -1, nil},
		{"old", "GET / HTTP/1.0\r\n\r\n", "GET", "/", -1, nil},
		{"leading empty lines", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", "GET", "/", -1, nil},
		{"a query", "GET /a?b=c HTTP/1.1\r\n\r\n", "GET", "/a", -1, nil},
		{"a body after the head", "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy", "POST", "/a", 39, nil},
		{"incomplete", "GET / HTTP/1.1\r\nHost: x\r\n", "", "", 0, nil},
		{"nothing", "", "", "", 0, nil},
		{"no target", "GET HTTP/1.1\r\n\r\n", "", "", 0, ErrMalformed},
		{"absolute URI", "GET http://x/ HTTP/1.1\r\n\r\n", "", "", 0, ErrMalformed},
		{"no method", " / HTTP/1.1\r\n\r\n", "", "", 0, ErrMalformed},
		{"other version", "GET / HTTP/2.0\r\n\r\n", "", "", 0, ErrMalformed},
		{"other protocol, rejected at its first line", "mg key v O1\r\n", "", "", 0, ErrMalformed},
		{"header without a colon", "GET / HTTP/1.1\r\nnoise\r\n\r\n", "", "", 0, ErrMalformed},
		{"folded header", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", "", "", 0, ErrMalformed},
		{"control bytes", "GET /\x01 HTTP/1.1\r\n\r\n", "", "", 0, ErrMalformed},
		{"too long", long + "\r\n\r\n", "", "", 0, ErrLarge},
		{"too long already", long, "", "", 0, ErrLarge},
	} {
		r, used, err := ParseRequest([]byte(c.in), 100)
		want := c.used
		if want < 0 {
			want = len(c.in)
		}
		if used != want || !errors.Is(err, c.err) || err == nil && used > 0 && (string(r.Method) != c.method || string(r.Path) != c.path) {
			t.Errorf("%s: %q %q, used %d, %v", c.name, r.Method, r.Path, used, err)
		}
	}
	r, _, _ := ParseRequest([]byte("GET / HTTP/1.1\r\nHost: x\r\nAccept:  text \r\n\r\n"), 100)
	if string(r.Header("accept")) != "text" {
		t.Errorf("header %q", r.Header("accept"))
	}
}

// Never panics or uses more bytes than there are; a part of a request is incomplete, and following bytes do not change a complete one.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("GET /a?b HTTP/1.1\r\nHost: x\r\n\r\n"), 7)
	f.Add([]byte("\r\nPOST / HTTP/1.0\n\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		r, used, err := ParseRequest(data, 1000)
		if used < 0 || used > len(data) || err != nil && used != 0 {
			t.Fatalf("used %d of %d, %v", used, len(data), err)
		}
		if used == 0 || cut < 0 || cut >= used {
			return
		}
		if _, n, err := ParseRequest(data[:cut], 1000); n != 0 || err != nil {
			t.Errorf("a part of a request: used %d, %v", n, err)
		}
		if again, n, err := ParseRequest(data[:used], 1000); n != used || err != nil || string(again.Path) != string(r.Path) {
			t.Errorf("alone: used %d of %d, %v", n, used, err)
		}
	})
}
