package httpc

import (
	"errors"
	"strings"
	"testing"
)

// feedInPieces passes a response to a StreamParser in pieces of one size and returns the results.
func feedInPieces(in string, size int, ended bool) (s StreamParser, body string, used int, err error) {
	for used < len(in) && !s.Done && err == nil {
		n := min(size, len(in)-used)
		var took int
		took, err = s.Feed([]byte(in[used:used+n]), func(p []byte) { body += string(p) })
		used += took
	}
	if err == nil && ended && used == len(in) {
		err = s.End()
	}
	return s, body, used, err
}

// Split at any byte, a response gives the same result as in one piece, and the same as ParseResponse.
func TestStreamParserAgreesWithParseResponse(t *testing.T) {
	for _, in := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nahello",
		"HTTP/1.1 200 OK\nContent-Length: 0\n\nHTTP",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nhel\r\n2\r\nlo\r\n0\r\nA: b\r\n\r\nmore",
		"HTTP/1.1 404 No\r\nX-Consul-Index: 7\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 None\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nno colon\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\n",
		"nonsense\r\n\r\n",
	} {
		a, used, want := ParseResponse([]byte(in), 1<<20, true)
		for size := 1; size <= len(in); size++ {
			s, body, got, err := feedInPieces(in, size, true)
			if (err == nil) != (want == nil) {
				t.Errorf("%q in pieces of %d: %v, ParseResponse says %v", in, size, err, want)
				continue
			}
			if err == nil && (!s.Done || body != string(a.Body) || got != used || s.ResponseHead.Status != a.Status || s.ResponseHead.Close != a.Close ||
				string(s.ResponseHead.Header("X-Consul-Index")) != string(a.Header("X-Consul-Index"))) {
				t.Errorf("%q in pieces of %d: %q of %d, used %d of %d", in, size, body, s.ResponseHead.Status, got, used)
			}
		}
	}
}

// Pieces of the body are passed on as soon as they arrive, without end, and none of them is kept.
func TestEndlessStream(t *testing.T) {
	var s StreamParser
	if _, err := s.Feed([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), nil); err != nil || !s.HasHead {
		t.Fatal(err)
	}
	total := 0
	for range 10000 {
		if _, err := s.Feed([]byte("5\r\nhello\r\n"), func(p []byte) { total += len(p) }); err != nil {
			t.Fatal(err)
		}
	}
	if total != 50000 || s.Done || cap(s.buffer) > maxLine {
		t.Errorf("%d bytes, done %v, %d kept", total, s.Done, cap(s.buffer))
	}
	if err := s.End(); !errors.Is(err, ErrTruncated) {
		t.Errorf("truncated: %v", err)
	}
	for _, in := range []string{strings.Repeat("A: b\r\n", MaxHead), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 2*maxLine),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: b\r\n", MaxHead)} {
		if _, _, _, err := feedInPieces(in, 100, false); !errors.Is(err, ErrLarge) {
			t.Errorf("an endless %.20q: %v", in, err)
		}
	}
}

func FuzzStreamParser(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n0\r\n\r\n", 3)
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 1)
	f.Add("HTTP/1.1 200 OK\r\n\r\nhello", 2)
	f.Fuzz(func(t *testing.T, in string, size int) {
		size = max(1, size%64)
		a, used, want := ParseResponse([]byte(in), 1<<20, true)
		s, body, got, err := feedInPieces(in, size, true)
		if want == nil && used > 0 && (err != nil || !s.Done || body != string(a.Body) || got != used) {
			t.Errorf("in pieces of %d: %q %v, ParseResponse says %q", size, body, err, a.Body)
		}
	})
}
