package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

const (
	ms          = time.Millisecond
	testTimeout = 10 * time.Second
)

func TestMain(m *testing.M) {
	http.DefaultTransport.(*http.Transport).DisableKeepAlives = true
	goleak.VerifyTestMain(m)
}

func newCommon() *Common {
	return NewCommon(seen.NewLog(), 1, []world.Class{{Name: "read", Work: ms, Size: 100, Deadline: time.Second},
		{Name: "put", Work: ms, Size: 100, Write: true, Effect: world.Keyed, Window: time.Second, Deadline: time.Second}})
}

func cacheSpec() *world.CacheSpec {
	return &world.CacheSpec{Name: "c1", Cores: 2, Speed: 1, Slots: 4, QueueLimit: 4, MemoryBytes: 1 << 20, WarmUp: 10 * time.Second, ColdFrom: 0.2,
		FallMultiple: 3, FallWindow: 500 * ms, ReportInterval: 10 * ms}
}

func newCache(t *testing.T, c *Common, change func(*CacheOptions)) *Cache {
	t.Helper()
	opt := CacheOptions{ID: "s-1", Name: "c1", Addr: "127.0.0.1:0", Spec: cacheSpec(), ConnConcurrency: 4, ReportsHits: true, ReportsLoad: true}
	if change != nil {
		change(&opt)
	}
	s, err := NewCache(c, opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// testConn is a connection to a stand-in, as a node opens it.
type testConn struct {
	t   *testing.T
	raw net.Conn
	in  *bufio.Reader
}

func dial(t *testing.T, addr string) *testConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &testConn{t, c, bufio.NewReader(c)}
}

func (l *testConn) send(text string) { io.WriteString(l.raw, text) }

func (l *testConn) readAnswer() string {
	l.t.Helper()
	s, err := l.in.ReadString('\n')
	if err != nil {
		return "end"
	}
	if n := 0; strings.HasPrefix(s, "VA ") {
		fmt.Sscanf(s, "VA %d", &n)
		v := make([]byte, n+2)
		if _, err := io.ReadFull(l.in, v); err != nil {
			return "end"
		}
		return strings.TrimSpace(s) + " = " + string(v[:n])
	}
	return strings.TrimSpace(s)
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(2 * ms) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func attempts(c *Common) (all []seen.Attempt) {
	c.Log.Update(func(r *seen.Record) {
		for _, a := range r.Attempts {
			all = append(all, *a)
		}
	})
	return all
}

func TestValuesIdentifyTheirRequest(t *testing.T) {
	v := MakeValue("k", 3, "r1", "s-1", 5000)
	key, version, request, server, intact := ParseValue(v)
	if len(v) != 5000 || key != "k" || version != 3 || request != "r1" || server != "s-1" || !intact {
		t.Errorf("%d bytes, %s %d %s %s %v", len(v), key, version, request, server, intact)
	}
	for _, i := range []int{0, 1, 2, 10, 4000, 4999} {
		bad := append([]byte(nil), v...)
		bad[i]++
		if k, n, r, s, intact := ParseValue(bad); intact && k == "k" && n == 3 && r == "r1" && s == "s-1" {
			t.Errorf("a value with byte %d changed is accepted as the same", i)
		}
	}
	for end := range v {
		if _, _, _, _, intact := ParseValue(v[:end]); intact {
			t.Errorf("a value that is cut off after %d bytes is accepted", end)
		}
	}
	if short := MakeValue("k", 3, "r1", "s-1", 1); !strings.HasPrefix(string(short), "k 3 r1 s-1|") {
		t.Errorf("%q", short)
	} else if _, _, _, _, intact := ParseValue(short); !intact {
		t.Error("a value that only holds its header is rejected")
	}
	if _, _, _, _, intact := ParseValue([]byte("nonsense")); intact {
		t.Error("text that is no value is accepted")
	}
}

func TestACacheAnswersInOrder(t *testing.T) {
	c := newCommon()
	var missed []string
	s := newCache(t, c, func(o *CacheOptions) {
		o.OnMiss = func(request string, store func(int64, int64)) {
			missed = append(missed, request)
			go store(7, 100)
		}
	})
	l := dial(t, s.Addr())
	l.send("mg k1 v O1 Pc=read,d=500\r\n")
	if got := l.readAnswer(); !strings.HasPrefix(got, "EN O1 h0 Lutil=") {
		t.Fatalf("%q", got)
	}
	eventually(t, "the value is stored", func() bool {
		has := false
		s.UpdateModel(func(_ time.Duration, m *world.Cache) { _, has = m.CachedVersion("k1") })
		return has
	})
	s.UpdateModel(func(now time.Duration, m *world.Cache) { m.Slow(now, 20) })
	l.send("mg k1 v O2 Pc=read,d=500\r\nms k1 2 O3 Pc=put,d=500,k=i\r\nhi\r\nmn\r\n")
	if got := l.readAnswer(); got != "MN" {
		t.Errorf("%q, but mn should be answered at once", got)
	}
	if got := l.readAnswer(); !strings.HasPrefix(got, "VA 100 O2 h1 L") || !strings.HasSuffix(got, string(MakeValue("k1", 7, "2", "s-1", 100))) {
		t.Errorf("%q", got)
	}
	if got := l.readAnswer(); !strings.HasPrefix(got, "EN O3") { // only the origin takes writes
		t.Errorf("%q", got)
	}
	all := attempts(c)
	if len(all) != 3 || len(missed) != 1 || all[1].Answer != seen.Value || all[2].Value != Digest([]byte("hi")) || all[2].Idem != "i" ||
		all[1].AnsweredAt < all[1].LastByteAt || all[1].LastByteAt < all[1].FirstByteAt || all[1].RemainingTime != 500*ms || all[1].Work <= 0 || all[1].Capacity != 2 {
		t.Errorf("%+v", all)
	}
}

// A cache records when a connection ends under a command in flight, and takes no part of a command for an attempt.
func TestCacheRecordsAbandonedAttempts(t *testing.T) {
	c := newCommon()
	s := newCache(t, c, nil)
	s.SetHanging(true)
	l := dial(t, s.Addr())
	l.send("mg k1 v O1 Pc=read,d=500\r\n")
	eventually(t, "the command has arrived", func() bool { a := attempts(c); return len(a) == 1 && a[0].LastByteAt > 0 })
	l.raw.Close()
	eventually(t, "the end of the connection is recorded", func() bool { a := attempts(c)[0]; return a.ClosedAt > a.LastByteAt && a.MayHaveRun() })
	l = dial(t, s.Addr())
	l.send("mg k1 v O2 Pc=re")
	l.raw.Close()
	eventually(t, "the connections are closed", func() bool { open, total := s.ConnCounts(); return open == 0 && total == 2 })
	if len(attempts(c)) != 1 {
		t.Error("an incomplete command is recorded as an attempt")
	}
}

func TestCacheFaults(t *testing.T) {
	c := newCommon()
	s := newCache(t, c, nil)
	ask := func() string {
		conn, err := net.DialTimeout("tcp", s.Addr(), 200*ms)
		if err != nil {
			return "refused"
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(200 * ms))
		io.WriteString(conn, "mg k1 v O1 Pc=read,d=500\r\n")
		line, err := bufio.NewReader(conn).ReadString('\n')
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return "silent"
		} else if err != nil {
			return "end"
		}
		return strings.Fields(line)[0]
	}
	for _, x := range []struct {
		name    string
		on, off func()
		want    string
	}{
		{"busy", func() { s.SetBusy(true) }, func() { s.SetBusy(false) }, "SERVER_ERROR"},
		{"hanging", func() { s.SetHanging(true) }, func() { s.SetHanging(false) }, "silent"},
		{"refusing connections", func() { s.RefuseConns(true) }, func() { s.RefuseConns(false) }, "refused"},
		{"resetting answers", func() { s.CorruptAnswers("reset", 1) }, func() { s.CorruptAnswers("reset", 0) }, "end"},
		{"killed", s.Kill, func() { s.Restart("", false) }, "refused"},
		{"paused", func() { s.UpdateModel(func(now time.Duration, m *world.Cache) { m.Pause(now, true) }) },
			func() { s.UpdateModel(func(now time.Duration, m *world.Cache) { m.Pause(now, false) }) }, "silent"},
	} {
		x.on()
		if got := ask(); got != x.want {
			t.Errorf("%s: %q, want %q", x.name, got, x.want)
		}
		x.off()
		if got := ask(); got != "EN" {
			t.Errorf("after the fault %q: %q", x.name, got)
		}
	}
	s.Restart("s-9", true)
	if s.ID() != "s-9" {
		t.Errorf("the ID is %s after the restart", s.ID())
	}
}

// A machine that falls silent keeps its connections open, establishes no new ones, and resets them all when the silence ends.
func TestASilentMachine(t *testing.T) {
	c := newCommon()
	s := newCache(t, c, nil)
	l := dial(t, s.Addr())
	l.send("mg k1 v O1 Pc=read,d=500\r\n")
	l.readAnswer()
	s.SetSilent(true)
	l.send("mg k1 v O2 Pc=read,d=500\r\n")
	l.raw.SetReadDeadline(time.Now().Add(100 * ms))
	if _, err := l.in.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an open connection did not stay silent: %v", err)
	}
	if conn, err := net.DialTimeout("tcp", s.Addr(), 200*ms); err == nil {
		conn.Close()
		t.Error("a connection was established during the silence")
	}
	s.SetSilent(false)
	l.raw.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := l.in.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the old connection was not reset after the silence: %v", err)
	}
	l = dial(t, s.Addr())
	l.send("mg k1 v O3 Pc=read,d=500\r\n")
	if got := l.readAnswer(); !strings.HasPrefix(got, "EN O3") {
		t.Errorf("%q", got)
	}
	for _, a := range attempts(c) {
		if a.Request == "2" {
			t.Error("the silent machine recorded a request")
		}
	}
}

// A connection that waits in the accept queue when a silence begins, or enters the queue during it, is reset when the silence
// ends, and its bytes are never read. Otherwise an attempt from before the silence would be recorded as begun at its end, long
// after its request was over. The test also guards against a silence that blocks on an accept queue that stays full.
func TestSilenceResetsUnacceptedConns(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprintf("before %t", before), func(t *testing.T) {
			c := newCommon()
			s := newCache(t, c, nil)
			p := s.listener
			if before {
				stopped := make(chan struct{})
				p.mu.Lock()
				p.acceptStopped = stopped
				p.mu.Unlock()
				p.ln.SetDeadline(time.Unix(1, 0)) // nothing is accepted, as on a busy machine
				<-stopped
			} else {
				s.SetSilent(true)
				raw, err := p.ln.SyscallConn()
				if err != nil {
					t.Fatal(err)
				}
				raw.Control(func(fd uintptr) { unix.Listen(int(fd), 100) }) // room in the queue
			}
			l := dial(t, s.Addr())
			l.send("mg k1 v O1 Pc=read,d=500\r\n")
			if before {
				s.SetSilent(true)
				if len(p.heldFDs) != 9 { // eight that fill the queue, and the one that waited
					t.Errorf("%d connections are held", len(p.heldFDs))
				}
			}
			s.SetSilent(false)
			if _, err := l.in.ReadByte(); !errors.Is(err, unix.ECONNRESET) {
				t.Errorf("the connection from before the end of the silence was not reset: %v", err)
			}
			l = dial(t, s.Addr())
			l.send("mg k1 v O2 Pc=read,d=500\r\n")
			if got := l.readAnswer(); !strings.HasPrefix(got, "EN O2") {
				t.Errorf("%q", got)
			}
			if all := attempts(c); len(all) != 1 {
				t.Errorf("%d attempts", len(all))
			}
		})
	}
}

// No garbled answer equals the correct one, and there are several kinds of them.
func TestGarbledAnswersAreInvalid(t *testing.T) {
	s := newCache(t, newCommon(), nil)
	s.UpdateModel(func(now time.Duration, m *world.Cache) { m.Store(now, "k1", 0, 100) })
	s.CorruptAnswers("garble", 1)
	good := string(MakeValue("k1", 0, "1", "s-1", 100))
	kinds := map[string]bool{}
	for range 60 {
		l := dial(t, s.Addr())
		l.send("mg k1 v O1 Pc=read,d=500\r\n")
		l.raw.SetReadDeadline(time.Now().Add(20 * ms))
		text, _ := io.ReadAll(l.raw)
		kinds[string(text[:min(3, len(text))])] = true
		if strings.HasPrefix(string(text), "VA 100 O1 ") && strings.HasSuffix(string(text), good+"\r\n") {
			t.Fatalf("%q", text)
		}
		l.raw.Close()
	}
	if len(kinds) < 3 {
		t.Errorf("too few kinds of garbled answers: %v", kinds)
	}
}

// A cold cache that falls over under load is down, and the log records that once.
func TestOverloadedColdCacheIsDown(t *testing.T) {
	c := newCommon()
	s := newCache(t, c, func(o *CacheOptions) { o.Cold, o.ConnConcurrency = true, 10000 })
	fallOvers := func() (n int) {
		c.Log.Update(func(r *seen.Record) { n = len(r.FallOvers) })
		return n
	}
	eventually(t, "the cache falls over", func() bool {
		conn, err := net.Dial("tcp", s.Addr())
		if err != nil {
			return fallOvers() == 1
		}
		defer conn.Close()
		io.WriteString(conn, strings.Repeat("mg k1 v O1 Pc=read,d=500\r\n", 1000))
		conn.SetReadDeadline(time.Now().Add(100 * ms))
		io.Copy(io.Discard, conn)
		return false
	})
	if err := s.Restart("", false); err != nil {
		t.Fatal(err)
	}
	if got := dial(t, s.Addr()); got == nil || fallOvers() != 1 {
		t.Error("the cache did not come back, or fell over more than once")
	}
}

func newOrigin(t *testing.T, c *Common, change func(*OriginOptions)) *Origin {
	t.Helper()
	opt := OriginOptions{ID: "s-0", Name: "origin", Addr: "127.0.0.1:0", Spec: &world.OriginSpec{Cores: 2, Slots: 2, QueueLimit: 1, Work: 5 * ms,
		WriteFactor: 1, DedupWindow: time.Second}}
	if change != nil {
		change(&opt)
	}
	o, err := NewOrigin(c, opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	return o
}

func ask(t *testing.T, o *Origin, method, key, id, info, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+o.Addr()+"/"+key, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Request-Id", id)
	r.Header.Set("Request-Info", info)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body)
	if a.Header.Get("Not-Started") == "1" {
		text = []byte("not started")
	}
	return a.StatusCode, string(text)
}

func TestTheOrigin(t *testing.T) {
	c := newCommon()
	var served, wrote atomic.Int64
	o := newOrigin(t, c, func(o *OriginOptions) {
		o.OnRead = func(string, int64, int64) { served.Add(1) }
		o.OnWrite = func(string) { wrote.Add(1) }
	})
	if code, v := ask(t, o, "GET", "k", "1", "c=read,d=500", ""); code != 200 || v != string(MakeValue("k", 0, "1", "s-0", len(v))) {
		t.Errorf("%d %q", code, v)
	}
	code, receipt := ask(t, o, "PUT", "k", "2", "c=put,d=500,k=i1", "hello")
	if code != 200 || receipt != "R1" {
		t.Errorf("%d %q", code, receipt)
	}
	if _, again := ask(t, o, "PUT", "k", "3", "c=put,d=500,k=i1", "hello"); again != receipt {
		t.Errorf("a deduplicated repeat has the receipt %q", again)
	}
	if served.Load() != 1 || wrote.Load() != 1 {
		t.Errorf("OnRead was called %d times and OnWrite %d times", served.Load(), wrote.Load())
	}
	if code, _ := ask(t, o, "GET", "k", "4", "c=none,d=500", ""); code != 400 {
		t.Errorf("an unknown class: %d", code)
	}
	var protocolErrors int
	c.Log.Update(func(r *seen.Record) { protocolErrors = len(r.ProtocolErrors) })
	if protocolErrors != 1 {
		t.Errorf("%d protocol errors", protocolErrors)
	}
	o.SetDown(true)
	if code, why := ask(t, o, "GET", "k", "5", "c=read,d=500", ""); code != 0 {
		t.Errorf("%d %s from an origin that is down", code, why)
	}
	o.SetDown(false)
	if code, _ := ask(t, o, "GET", "k", "6", "c=read,d=500", ""); code != 200 {
		t.Errorf("%d from an origin that is back", code)
	}
}

// A full origin answers that the request was not started. A write whose client disconnects takes effect anyway, and the effect
// is recorded.
func TestAFullOrigin(t *testing.T) {
	c := newCommon()
	o := newOrigin(t, c, nil)
	o.UpdateModel(func(now time.Duration, m *world.Origin) { m.Pause(now, true) })
	answers := make(chan string, 4)
	for i := range 3 {
		go func() {
			_, v := ask(t, o, "GET", "k", fmt.Sprint(i), "c=read,d=500", "")
			answers <- v
		}()
	}
	eventually(t, "three requests have arrived", func() bool { return len(attempts(c)) == 3 })
	if code, v := ask(t, o, "GET", "k", "9", "c=read,d=500", ""); code != 503 || v != "not started" {
		t.Errorf("%d %q", code, v)
	}
	o.UpdateModel(func(now time.Duration, m *world.Origin) { m.Pause(now, false) })
	for range 3 {
		<-answers
	}
	o.UpdateModel(func(now time.Duration, m *world.Origin) { m.Slow(now, 20) })
	conn, err := net.Dial("tcp", o.Addr())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, "PUT /k HTTP/1.1\r\nHost: o\r\nRequest-Id: w\r\nRequest-Info: c=put,d=500,k=i\r\nContent-Length: 1\r\n\r\nx")
	eventually(t, "the write has arrived", func() bool { a := attempts(c); return a[len(a)-1].Request == "w" })
	conn.Close()
	eventually(t, "the write takes effect", func() bool {
		n := 0
		c.Log.Update(func(r *seen.Record) { n = len(r.Effects) })
		return n == 1
	})
}

func TestTheList(t *testing.T) {
	c := newCommon()
	l, err := NewList(c, ListOptions{Addr: "127.0.0.1:0", Nodes: 2, ChangeDelay: 50 * ms, KeptChanges: 2}, world.Member{ID: "a", Addr: "127.0.0.1:1", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	get := func(node int, query string) (int, listAnswer) {
		client := http.Client{Timeout: testTimeout}
		r, err := client.Get("http://" + l.Addr(node) + "/discovery/hosts" + query)
		if err != nil {
			return 0, listAnswer{}
		}
		defer r.Body.Close()
		var a listAnswer
		json.NewDecoder(r.Body).Decode(&a)
		return r.StatusCode, a
	}
	if _, a := get(0, ""); !a.Complete || a.Revision != 1 || len(a.Members) != 1 || a.Members[0].Phase != "SERVING" {
		t.Errorf("%+v", a)
	}
	answers := make(chan listAnswer)
	go func() { _, a := get(1, "?since=1&timeout_ms=5000"); answers <- a }()
	eventually(t, "the watch has arrived", func() bool { return len(l.SinceValues(1)) == 1 })
	l.Set(world.Member{ID: "b", Addr: "127.0.0.1:2", Weight: 1, Started: 3 * time.Second})
	if a := <-answers; a.Complete || a.Revision != 2 || len(a.Members) != 1 || a.Members[0].ID != "b" ||
		a.Members[0].UpSince != c.Log.StartTime().Add(3*time.Second).UnixMilli() {
		t.Errorf("%+v", a)
	}
	if _, a := get(0, "?since=2&timeout_ms=10"); a.Complete || a.Revision != 2 || len(a.Members) != 0 {
		t.Errorf("a watch without changes: %+v", a)
	}
	l.Replace(world.Member{ID: "b", Phase: world.Draining}, world.Member{ID: "x"})
	if _, a := get(0, "?since=1&timeout_ms=10"); !a.Complete || len(a.Members) != 2 {
		t.Errorf("a watch from a forgotten revision received changes instead of the whole list: %+v", a)
	}
	l.SetDown(true)
	if code, _ := get(0, "?since=9&timeout_ms=5000"); code != 503 {
		t.Errorf("down: %d", code)
	}
	l.SetDown(false)
	l.SetGarbled(true)
	if _, a := get(0, ""); a.Revision == 5 {
		t.Errorf("a garbled answer is valid: %+v", a)
	}
	l.SetGarbled(false)
	l.Cut(0, true)
	before := len(l.SinceValues(0))
	go func() { code, _ := get(0, ""); answers <- listAnswer{Revision: int64(code)} }()
	// Without this wait, the cut could end before the call arrives. A call that arrived during the cut must not be answered, even
	// if the cut ends before the handler first checks for it.
	eventually(t, "the call that is cut off has arrived", func() bool { return len(l.SinceValues(0)) > before })
	if code, _ := get(1, ""); code != 200 {
		t.Errorf("the other node is cut off too: %d", code)
	}
	l.Cut(0, false)
	if a := <-answers; a.Revision != 0 {
		t.Errorf("a call that was cut off was answered with %d", a.Revision)
	}
	// An update is recorded after it is written, so the caller may receive the answer before that.
	eventually(t, "five list updates are recorded", func() bool {
		updates := 0
		c.Log.Update(func(r *seen.Record) { updates = len(r.ListUpdates) })
		return updates == 5
	})
}

func TestAScript(t *testing.T) {
	s := newCache(t, newCommon(), func(o *CacheOptions) {
		o.Spec, o.Script = nil, func(line string, value []byte) string {
			switch {
			case strings.HasPrefix(line, "ms "):
				return fmt.Sprintf("HD %d\r\n", len(value))
			case strings.HasPrefix(line, "bye"):
				return CloseConn
			}
			return ""
		}
	})
	l := dial(t, s.Addr())
	l.send("mg a v O1 Pc=read,d=1\r\nms k 3 O2 Pc=put,d=5\r\nabc\r\n")
	l.raw.SetReadDeadline(time.Now().Add(50 * ms))
	if b, err := l.in.ReadByte(); err == nil {
		t.Errorf("an answer overtook the one before it: %q", b)
	}
	l = dial(t, s.Addr())
	l.send("ms k 3 O2 Pc=put,d=5\r\nabc\r\nbye\r\n")
	if got := l.readAnswer(); got != "HD 3" {
		t.Errorf("%q", got)
	}
	if got := l.readAnswer(); got != "end" {
		t.Errorf("%q", got)
	}
	if n := len(s.Commands()); n != 4 {
		t.Errorf("%d lines", n)
	}
}
