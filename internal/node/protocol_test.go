package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lapisshelf/internal/meta"
	"lapisshelf/policy"
)

func parsedAttempt(t *testing.T, line string) *attempt {
	t.Helper()
	m, _, err := meta.ParseCommand([]byte(line), meta.MaxValue, meta.MaxLongValue)
	if err != nil {
		t.Fatal(err)
	}
	return &attempt{request: &request{command: copyCommand(m)}}
}

// Outcomes of the origin's answers: only Not-Started proves that nothing ran.
func TestOriginAnswers(t *testing.T) {
	read, write := parsedAttempt(t, "mg k v O1 Pc=read\r\n"), parsedAttempt(t, "ms k 1 O1 Pc=put\r\nx\r\n")
	for _, c := range []struct {
		name    string
		try     *attempt
		status  string
		header  string
		body    string
		outcome policy.Outcome
		text    string // value or receipt
		bad     bool
	}{
		{"value", read, "200 OK", "", "hello there\n", policy.OK, "hello there\n", false},
		{"receipt", write, "200 OK", "", "R1", policy.OK, "R1", false},
		{"receipt on a line", write, "200 OK", "", "R1\r\n", policy.OK, "R1", false},
		{"receipt that would break the answer's line", write, "200 OK", "", "R1\r\nVA", 0, "", true},
		{"error", read, "500 No", "", "", policy.Errored, "", false},
		{"error that claims not to have run", read, "500 No", "Not-Started: 1\r\n", "", policy.Errored, "", false},
		{"refused", write, "503 No", "Not-Started: 1\r\n", "", policy.Full, "", false},
		{"refused after a wait", write, "504 No", "not-started: 1\r\n", "", policy.Full, "", false},
		{"may have run", write, "503 No", "", "", policy.Errored, "", false},
		{"may have run, stated explicitly", write, "503 No", "Not-Started: 0\r\n", "", policy.Errored, "", false},
		{"moved", read, "302 Found", "", "", policy.Errored, "", false},
	} {
		text := fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", c.status, c.header, len(c.body), c.body)
		a, used, err := originProtocol{}.parseAnswer([]byte(text), c.try, meta.MaxValue, false)
		if c.bad != (err != nil) || !c.bad && (used != len(text) || a.outcome != c.outcome) ||
			string(a.value)+string(a.receipt) != c.text {
			t.Errorf("%s: %+v, used %d, %v", c.name, a, used, err)
		}
	}
}

func TestOriginRequests(t *testing.T) {
	p := originProtocol{host: "o:1"}
	got := string(p.appendRequest(nil, parsedAttempt(t, "mg a/b?c v O1 Pc=read,d=50,t=x\r\n"), 7*time.Millisecond))
	if want := "GET /a%2Fb%3Fc HTTP/1.1\r\nHost: o:1\r\nRequest-Id: 1\r\nRequest-Info: c=read,d=7,t=x\r\n\r\n"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
	got = string(p.appendRequest(nil, parsedAttempt(t, "ms k 0 O1 Pc=put\r\n\r\n"), 0))
	if !strings.HasSuffix(got, "Content-Length: 0\r\n\r\n") {
		t.Errorf("an empty value is sent without its length: %q", got)
	}
}

func TestCacheAnswers(t *testing.T) {
	read := parsedAttempt(t, "mg k v O1 Pc=read\r\n")
	for _, c := range []struct {
		in      string
		outcome policy.Outcome
		note    policy.CacheStatus
		bad     bool
	}{
		{"VA 1 O1 h1\r\nx\r\n", policy.OK, policy.CacheHit, false},
		{"EN O1 h0\r\n", policy.Miss, policy.CacheMiss, false},
		{"EN O1 h0 Z\r\n", policy.Miss, policy.CacheFetching, false},
		{"EN O1\r\n", policy.Miss, policy.CacheUnreported, false},
		{"SERVER_ERROR busy Lqueue=4\r\n", policy.Full, policy.CacheUnreported, false},
		{"SERVER_ERROR failed h0\r\n", policy.Errored, policy.CacheMiss, false},
		{"SERVER_ERROR busybody\r\n", policy.Errored, policy.CacheUnreported, false},
		{"CLIENT_ERROR no\r\n", policy.Errored, policy.CacheUnreported, false},
		{"VA 1 O2\r\nx\r\n", 0, 0, true},
		{"EN O2\r\n", 0, 0, true},
	} {
		a, _, err := cacheProtocol{}.parseAnswer([]byte(c.in), read, meta.MaxValue, false)
		if c.bad != (err != nil) || a.outcome != c.outcome || a.cacheStatus != c.note {
			t.Errorf("%q: %+v, %v", c.in, a, err)
		}
	}
}
