package httpc

import (
	"errors"
	"strings"
	"testing"
)

func TestParseResponse(t *testing.T) {
	for _, c := range []struct {
		name, in string
		ended    bool
		status   int
		body     string
		close    bool
		used     int // -1: all of it
		err      error
	}{
		{"value", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false, 200, "hello", false, -1, nil},
		{"no reason phrase", "HTTP/1.1 200\r\ncontent-length:5\r\n\r\nhello", false, 200, "hello", false, -1, nil},
		{"two", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nahello", false, 200, "a", false, 39, nil},
		{"incomplete head", "HTTP/1.1 200 OK\r\nContent-Le", false, 0, "", false, 0, nil},
		{"incomplete body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", false, 0, "", false, 0, nil},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", true, 0, "", false, 0, ErrTruncated},
		{"truncated head", "HTTP/1.1 200 OK\r\n", true, 0, "", false, 0, ErrTruncated},
		{"nothing", "", true, 0, "", false, 0, ErrTruncated},
		{"closes", "HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", false, 503, "", true, -1, nil},
		{"old", "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", false, 200, "", true, -1, nil},
		{"body up to the end of the connection", "HTTP/1.1 200 OK\r\n\r\nhello", true, 200, "hello", true, -1, nil},
		{"end of the body not known yet", "HTTP/1.1 200 OK\r\n\r\nhello", false, 0, "", false, 0, nil},
		{"no body", "HTTP/1.1 204 None\r\n\r\n", false, 204, "", false, -1, nil},
		{"interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", false, 200, "a", false, -1, nil},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nhel\r\n2\r\nlo\r\n0\r\nA: b\r\n\r\n", false, 200, "hello", false, -1, nil},
		{"incomplete chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n", false, 0, "", false, 0, nil},
		{"chunk without its end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n", false, 0, "", false, 0, ErrMalformed},
		{"chunk without a size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", false, 0, "", false, 0, ErrMalformed},
		{"chunks too large", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", false, 0, "", false, 0, ErrLarge},
		{"other coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", false, 0, "", false, 0, ErrMalformed},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n", false, 0, "", false, 0, ErrLarge},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", false, 0, "", false, 0, ErrMalformed},
		{"not HTTP", "VA 5 Oa1\r\n\r\nhello\r\n", false, 0, "", false, 0, ErrMalformed},
		{"other protocol", "HTTP/1.1 101 Switching\r\n\r\n", false, 101, "", false, 0, ErrMalformed},
		{"endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", MaxHead/6+1), false, 0, "", false, 0, ErrLarge},
	} {
		a, used, err := ParseResponse([]byte(c.in), 100, c.ended)
		want := c.used
		if want < 0 {
			want = len(c.in)
		}
		if used != want || !errors.Is(err, c.err) {
			t.Errorf("%s: used %d, error %v; want %d, %v", c.name, used, err, want, c.err)
		}
		if err == nil && (a.Status != c.status && used > 0 || string(a.Body) != c.body || a.Close != c.close && used > 0) {
			t.Errorf("%s: %+v", c.name, a)
		}
	}
}

func TestHeader(t *testing.T) {
	a, _, err := ParseResponse([]byte("HTTP/1.1 504 x\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), 10, false)
	if err != nil || string(a.Header("not-started")) != "1" || a.Header("Started") != nil {
		t.Errorf("%+v, %v", a, err)
	}
}

func TestAppendRequest(t *testing.T) {
	got := string(AppendRequest(nil, "PUT", "/k", "h:1", []Header{{"Request-Id", "a"}}, []byte("hi")))
	if want := "PUT /k HTTP/1.1\r\nHost: h:1\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nhi"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
	got = string(AppendRequest(nil, "GET", "/k", "h:1", nil, nil))
	if want := "GET /k HTTP/1.1\r\nHost: h:1\r\n\r\n"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

// Never uses more bytes than there are, never returns a body above the limit, and following bytes do not change a complete response.
func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n0\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 204 x\r\n\r\n"), false)
	f.Fuzz(func(t *testing.T, in []byte, ended bool) {
		a, used, err := ParseResponse(in, 64, ended)
		if used < 0 || used > len(in) || len(a.Body) > 64 || err != nil && used > 0 {
			t.Fatalf("used %d of %d, body %d, %v", used, len(in), len(a.Body), err)
		}
		if used > 0 && !ended {
			if _, more, _ := ParseResponse(append(in[:len(in):len(in)], "xyz"...), 64, false); more != used {
				t.Fatalf("used %d, with more behind it %d", used, more)
			}
		}
	})
}
