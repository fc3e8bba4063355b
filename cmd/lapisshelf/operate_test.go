package main

// The control address of the built node.

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"lapisshelf/lab/load"
	"lapisshelf/lab/world"
)

// startNodeWithControl starts a node with a control address.
func startNodeWithControl(t *testing.T, d discovery, change func(map[string]any)) (n *process, control string) {
	t.Helper()
	control = unusedAddr(t)
	return startNode(t, d, func(c map[string]any) {
		c["control"] = control
		if change != nil {
			change(c)
		}
	}), control
}

// callControl sends a request to a control address and returns its HTTP status and body. The status is 0 if no answer comes within
// one second, the time that callers wait.
func callControl(t *testing.T, addr, method, path string) (int, string) {
	t.Helper()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n\r\n", method, path, addr)
	text, err := io.ReadAll(conn)
	status := 0
	if _, scanned := fmt.Sscanf(string(text), "HTTP/1.1 %d ", &status); scanned != nil || err != nil {
		return 0, fmt.Sprint(err)
	}
	_, body, _ := strings.Cut(string(text), "\r\n\r\n")
	return status, body
}

// readMetrics fetches and parses the metrics as a collector does. Text that cannot be parsed fails the test.
func readMetrics(t *testing.T, addr string) map[string]float64 {
	t.Helper()
	status, text := callControl(t, addr, "GET", "/_vars")
	if status != 200 {
		t.Fatalf("/_vars: %d %s", status, text)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader([]byte(text)))
	if err != nil {
		t.Fatalf("/_vars cannot be read: %v\n%s", err, text)
	}
	got := map[string]float64{}
	for name, f := range families {
		for _, m := range f.Metric {
			key := name
			for _, l := range m.Label {
				key += " " + l.GetName() + "=" + l.GetValue()
			}
			if f.GetType() == dto.MetricType_COUNTER {
				got[key] = m.GetCounter().GetValue()
			} else {
				got[key] = m.GetGauge().GetValue()
			}
		}
	}
	return got
}

// requestsMetric returns the key under which readMetrics has the number of a class's requests with an outcome.
func requestsMetric(class, outcome string) string {
	return "app_requests_total class=" + class + " outcome=" + outcome
}

func TestControlAddress(t *testing.T) {
	n, control := startNodeWithControl(t, startDiscovery(t, servingEntry("s-1", unusedAddr(t), "m2")), nil)
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{"GET", "/_ready", 200}, {"GET", "/_vars", 200}, {"GET", "/_vars?x=1", 200}, {"GET", "/", 404}, {"GET", "/_ready/", 404},
		{"POST", "/_ready", 405}, {"GET", "/_lameduck/on", 405}, {"GET", "no", 400}, {"BREW\x00", "/", 400},
		{"GET", "/" + strings.Repeat("x", 8<<10), 431},
	} {
		if status, text := callControl(t, control, c.method, c.path); status != c.status || strings.Count(text, "\n") != 1 && c.path[:2] != "/_" {
			t.Errorf("%s %.20s: %d %q, want %d", c.method, c.path, status, text, c.status)
		}
	}
	resp, err := http.Get("http://" + control + "/_lameduck/on")
	if err != nil || resp.Header.Get("Allow") != "POST" {
		t.Errorf("no Allow with a 405: %v", err)
	}
	// Callers that never finish their request do not delay others, however many there are.
	for i := range 60 {
		conn, err := net.Dial("tcp", control)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			io.WriteString(conn, "GET /_vars HTTP/1.1\r\n")
		}
	}
	for range 30 {
		if status, text := callControl(t, control, "GET", "/_vars"); status != 200 {
			t.Fatalf("among callers that never finish their request: %d %s", status, text)
		}
	}
	if !load.Ready(n.addr) {
		t.Error("not ready")
	}
}

// Calls to the control address are answered while clients hold every descriptor they may have and more try to connect.
func TestControlCallsWhileClientsExhaustDescriptors(t *testing.T) {
	n, control := startNodeWithControl(t, startDiscovery(t, servingEntry("s-1", unusedAddr(t), "m2")), func(c map[string]any) {
		c["limits"] = map[string]any{"memory_mb": 32, "sockets": 64}
	})
	for range 200 {
		conn, err := net.DialTimeout("tcp", n.addr, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "mg k")
	}
	for i := range 40 {
		if status, text := callControl(t, control, "GET", "/_ready"); status != 200 {
			t.Fatalf("call %d: %d %s", i, status, text)
		}
	}
}

func TestMetrics(t *testing.T) {
	var hold atomic.Bool
	c := startCache(t, func(line string, v []byte) string {
		for hold.Load() {
			time.Sleep(time.Millisecond)
		}
		if strings.HasPrefix(line, "mg bad ") {
			return "SERVER_ERROR failed " + opaqueFlag(line) + "\r\n"
		}
		return answerValue("v")(line, v)
	})
	n, control := startNodeWithControl(t, startDiscovery(t, servingEntry("s-1", c.Addr(), "m2"), servingEntry("s-2", unusedAddr(t), "m2")), raiseReadAim)
	got := readMetrics(t, control)
	for _, class := range []string{"read", "put", "pay"} {
		for _, outcome := range []string{"served", "refused", "failed"} {
			if v, there := got[requestsMetric(class, outcome)]; !there || v != 0 {
				t.Errorf("%s %s is %v, there %v, at the start", class, outcome, v, there)
			}
		}
	}
	if got["app_cache_servers_known"] != 2 || got["app_cache_servers_excluded"] != 0 {
		t.Errorf("known %v, excluded %v", got["app_cache_servers_known"], got["app_cache_servers_excluded"])
	}
	cl := n.dial()
	for i := range 40 { // enough for the unreachable server to be skipped
		cl.send(fmt.Sprintf("mg k%d v Oa%d Pc=read,d=2500\r\n", i, i))
		cl.expect(fmt.Sprintf("VA 1 Oa%d", i), "v")
	}
	cl.send("ms k 1 Ob Pc=pay,d=2500\r\nx\r\n") // there is no origin
	cl.expect("SERVER_ERROR busy", "")
	sent := len(c.Commands())
	hold.Store(true)
	cl.send("mg k v Oc Pc=read,d=2500\r\n")
	eventually(t, "the read is in flight", func() bool { return len(c.Commands()) > sent })
	got = readMetrics(t, control)
	for name, want := range map[string]float64{requestsMetric("read", "served"): 40, requestsMetric("pay", "refused"): 1,
		requestsMetric("read", "failed"): 0, "app_in_flight": 1, "app_attempts_total": float64(len(c.Commands())),
		"app_cache_servers_known": 2, "app_cache_servers_excluded": 1} {
		if got[name] != want {
			t.Errorf("%s is %v, want %v", name, got[name], want)
		}
	}
	hold.Store(false)
	cl.expect("VA 1 Oc", "v")
	if got = readMetrics(t, control); got["app_in_flight"] != 0 || got[requestsMetric("read", "served")] != 41 {
		t.Errorf("after the last answer: in flight %v, served %v", got["app_in_flight"], got[requestsMetric("read", "served")])
	}
}

// A draining node reports that, closes clients' connections between requests but not during one, and accepts clients again after the
// drain.
func TestLameduck(t *testing.T) {
	c := startCache(t, func(line string, v []byte) string {
		if strings.HasPrefix(line, "mg slow ") {
			time.Sleep(900 * time.Millisecond)
		}
		return answerValue("v")(line, v)
	})
	n, control := startNodeWithControl(t, startDiscovery(t, servingEntry("s-1", c.Addr(), "m2")), raiseReadAim)
	setLameduck := func(on string, want int) {
		t.Helper()
		if status, text := callControl(t, control, "POST", "/_lameduck/"+on); status != want {
			t.Errorf("lameduck %s: %d %s", on, status, text)
		}
	}
	setLameduck("off", 200) // without a drain
	idle, busy, spare := n.dial(), n.dial(), n.dial()
	idle.send("mn\r\n")
	idle.expect("MN", "")
	setLameduck("on", 200)
	setLameduck("on", 200)
	idle.send("mn\r\n")
	idle.expect("SERVER_ERROR draining", "")
	busy.send("mg slow v O1 Pc=read,d=2900\r\nmg k v O2 Pc=read,d=2900\r\n")
	busy.expect("VA 1 O1", "v")
	busy.expect("VA 1 O2", "v")
	if !idle.closedByNode() || !busy.closedByNode() || !spare.closedByNode() {
		t.Error("a connection is kept open")
	}
	late := n.dial() // the node still listens: a request is served and its connection closed
	late.send("mg k v O3 Pc=read,d=2900\r\n")
	late.expect("VA 1 O3", "v")
	if !late.closedByNode() {
		t.Error("a late connection is kept open")
	}
	setLameduck("off", 200)
	eventually(t, "clients are accepted again", func() bool { return load.Ready(n.addr) })
	cl := n.dial()
	for i := range 3 { // and connections are kept open
		cl.send(fmt.Sprintf("mg k v Ob%d Pc=read,d=2900\r\n", i))
		cl.expect(fmt.Sprintf("VA 1 Ob%d", i), "v")
		time.Sleep(100 * time.Millisecond)
	}
	setLameduck("on", 200)
	setLameduck("off", 200) // before any connection has begun to close
	cl.send("mg k v O5 Pc=read,d=2900\r\n")
	cl.expect("VA 1 O5", "v")
}

// A banned cache server receives no requests although it is still listed, and is used again after it is attached.
func TestDetachAndAttach(t *testing.T) {
	a, b := startCache(t, answerValue("a")), startCache(t, answerValue("b"))
	entryA, entryB := servingEntry("s-a", a.Addr(), "m2"), servingEntry("s-b", b.Addr(), "m2")
	d := startDiscovery(t, entryA, entryB)
	n, control := startNodeWithControl(t, d, nil)
	setBan := func(verb, id string, want int) {
		t.Helper()
		if status, text := callControl(t, control, "POST", "/_cache-servers/"+verb+"/"+id); status != want {
			t.Errorf("%s %s: %d %s, want %d", verb, id, status, text, want)
		}
	}
	cl := n.dial()
	asked := 0
	ask := func(times int) {
		t.Helper()
		for range times {
			asked++
			cl.send(fmt.Sprintf("mg k%d v O%d Pc=read,d=2500\r\n", asked, asked))
			if line, _ := cl.readAnswer(); !strings.HasPrefix(line, "VA ") {
				t.Fatalf("answer %q", line)
			}
		}
	}
	ask(40)
	before := len(a.Commands())
	if before == 0 || before == 40 {
		t.Fatalf("%d of 40 reads at one of two", before)
	}
	setBan("detach", "s-x", 404)
	setBan("attach", "s-x", 404)
	setBan("detach", "s%2Da", 200)
	setBan("detach", "s-a", 200)
	if got := readMetrics(t, control); got["app_cache_servers_excluded"] != 1 || got["app_cache_servers_known"] != 2 {
		t.Errorf("excluded %v of %v", got["app_cache_servers_excluded"], got["app_cache_servers_known"])
	}
	ask(40)
	restarted := entryA
	restarted.Started = time.Second
	d.Replace(entryB)
	eventually(t, "the server is gone from the list", func() bool { return readMetrics(t, control)["app_cache_servers_known"] == 1 })
	setBan("detach", "s-a", 200) // no longer listed, but known
	d.Replace(restarted, entryB)
	eventually(t, "the server is listed again", func() bool { return readMetrics(t, control)["app_cache_servers_known"] == 2 })
	ask(40)
	if got := len(a.Commands()); got != before {
		t.Errorf("%d reads went to a banned server", got-before)
	}
	setBan("attach", "s-a", 200)
	for end := time.Now().Add(5 * time.Second); len(a.Commands()) == before && time.Now().Before(end); {
		ask(10)
	}
	if len(a.Commands()) == before {
		t.Error("not used within 5 s of being attached")
	}
}

// A listed server of a fleet of 3,200 could not be taken out at a node of 32 MB, and got requests until the ban was given up.
func TestAListedServerOfALargeFleetIsTakenOut(t *testing.T) {
	used := startCache(t, answerValue("v"))
	list := []world.Member{servingEntry("s-0000", used.Addr(), "m2")}
	for i := 1; i < 3200; i++ {
		list = append(list, servingEntry(fmt.Sprintf("s-%04d", i), fmt.Sprintf("127.1.%d.%d:9", i/250, 1+i%250), "m2"))
	}
	n, control := startNodeWithControl(t, startDiscovery(t, list...), func(config map[string]any) {
		config["limits"] = map[string]any{"memory_mb": 32, "sockets": 256}
	})
	eventually(t, "the list is known", func() bool { return readMetrics(t, control)["app_cache_servers_known"] == 3200 })
	if status, text := callControl(t, control, "POST", "/_cache-servers/detach/s-0000"); status != 200 {
		t.Errorf("%d %s", status, text)
	}
	if status, text := callControl(t, control, "POST", "/_cache-servers/detach/s-4000"); status != 404 {
		t.Errorf("one that was never listed: %d %s", status, text)
	}
	_, nextControl := n.startSuccessor(nil)
	eventually(t, "the next process is ready", isReady(t, nextControl))
	if got := readMetrics(t, nextControl)["app_cache_servers_excluded"]; got != 1 {
		t.Errorf("%v servers are taken out at the next process", got)
	}
	n.signal(syscall.SIGTERM)
	n.waitExit()
	if status, text := callControl(t, nextControl, "POST", "/_cache-servers/attach/s-0000"); status != 200 {
		t.Errorf("called back at the next process: %d %s", status, text)
	}
}
