package load

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/standin"
	"lapisshelf/lab/world"
)

const ms = time.Millisecond

var classes = []world.Class{{Name: "read", Deadline: time.Second}, {Name: "put", Effect: world.Keyed, Window: 300 * ms, Write: true, Deadline: time.Second},
	{Name: "pay", Effect: world.Unsafe, Write: true, Deadline: time.Second}, {Name: "zput", Effect: world.Keyed, Scope: world.ScopeZone, Window: 300 * ms, Write: true, Deadline: time.Second}}

// server answers each request with the text that answer returns. An empty text closes the connection, "-" sends nothing.
func server(t *testing.T, answer func(n int, line string) string) (addr string, lines func() []string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var mu sync.Mutex
	var seen []string
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					if strings.HasPrefix(line, "ms ") {
						in.ReadString('\n')
					}
					mu.Lock()
					seen = append(seen, line)
					n := len(seen)
					mu.Unlock()
					switch text := answer(n, line); text {
					case "":
						return
					case "-":
					default:
						c.Write([]byte(text))
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), seen...)
	}
}

func id(line string) string {
	for _, w := range strings.Fields(line) {
		if w[0] == 'O' {
			return w[1:]
		}
	}
	return ""
}

// runArrival sends one arrival of a class and returns its tries.
func runArrival(t *testing.T, addr string, class int, spec world.ClientSpec, change func(*world.Arrival)) []*seen.Try {
	t.Helper()
	log := seen.NewLog()
	l := New(Options{Log: log, Seed: 1, Spec: spec, Classes: classes, NodeAddrs: []string{addr}, Generation: func(int) int { return 0 }})
	a := world.Arrival{Class: class, Tenant: -1, Key: "k", Timeout: 250 * ms, MaxTries: 3, Idem: "i", Size: 20}
	if change != nil {
		change(&a)
	}
	l.Run(context.Background(), log.Now(), []world.Arrival{a})
	var tries []*seen.Try
	log.Update(func(r *seen.Record) { tries = r.Tries })
	return tries
}

// Clients retry safe requests after any failure, keyed ones within their window if all servers drop repeats, and others
// only after a refusal.
func TestWhatIsTriedAgain(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		class, tries int
	}{
		{"a safe read that failed", "SERVER_ERROR failed\r\n", 0, 3},
		{"a keyed write that failed", "SERVER_ERROR failed\r\n", 1, 3},
		{"a keyed write of one zone that failed", "SERVER_ERROR failed\r\n", 3, 1},
		{"an unsafe write that failed", "SERVER_ERROR failed\r\n", 2, 1},
		{"an unsafe write that was refused", "SERVER_ERROR busy\r\n", 2, 3},
		{"a refusal that says when to come back", "SERVER_ERROR busy 400\r\n", 0, 3},
		{"a keyed write refused past its window", "SERVER_ERROR busy 400\r\n", 1, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, lines := server(t, func(int, string) string { return c.answer })
			tries := runArrival(t, addr, c.class, world.ClientSpec{RetryDelay: 20 * ms, MarksRetry: true}, nil)
			if len(tries) != c.tries || len(lines()) != c.tries {
				t.Fatalf("%d tries, %d requests", len(tries), len(lines()))
			}
			for i, line := range lines() {
				if strings.Contains(line, ",r=1") != (i > 0) || !strings.Contains(line, "k=i") {
					t.Errorf("try %d is %q", i, line)
				}
			}
			if c.tries > 1 {
				if gap := tries[1].DueAt - tries[0].AnsweredAt; gap < 15*ms || strings.Contains(c.answer, "400") && gap < 395*ms {
					t.Errorf("retried after %v", gap)
				}
				if tries[0].ID == tries[1].ID {
					t.Error("two tries have the same ID")
				}
			}
		})
	}
}

// A request that crosses the close of a reused connection is sent once more under its ID. On a new connection it fails.
func TestRequestCrossesConnectionClose(t *testing.T) {
	good := func(line string) string {
		v := standin.MakeValue("k", 0, id(line), "s", 30)
		return fmt.Sprintf("VA %d O%s\r\n%s\r\n", len(v), id(line), v)
	}
	addr, lines := server(t, func(n int, line string) string {
		if n == 2 {
			return ""
		}
		return good(line)
	})
	log := seen.NewLog()
	l := New(Options{Log: log, Seed: 1, Classes: classes, NodeAddrs: []string{addr}, Generation: func(int) int { return 0 }})
	plan := []world.Arrival{{N: 0, Key: "k", Tenant: -1, Timeout: 500 * ms, MaxTries: 1}, {N: 1, At: 100 * ms, Key: "k", Tenant: -1, Timeout: 500 * ms, MaxTries: 1}}
	l.Run(context.Background(), log.Now(), plan)
	log.Update(func(r *seen.Record) {
		if x := r.Tries[1]; !x.Resent || x.Answer != seen.Served || !x.Correct {
			t.Errorf("%+v", x)
		}
	})
	if got := lines(); len(got) != 3 || id(got[1]) != id(got[2]) {
		t.Errorf("%q", got)
	}
	addr, _ = server(t, func(int, string) string { return "" })
	if tries := runArrival(t, addr, 0, world.ClientSpec{}, func(a *world.Arrival) { a.MaxTries = 1 }); tries[0].ConnEndedAt == 0 || tries[0].Resent {
		t.Errorf("%+v", tries[0])
	}
}

// Extra data, values of other requests and missing answers are recorded as such.
func TestAnswerClassification(t *testing.T) {
	value := func(key, request, as string) string {
		v := standin.MakeValue(key, 2, request, "s-1", 40)
		return fmt.Sprintf("VA %d O%s\r\n%s\r\n", len(v), as, v)
	}
	for _, c := range []struct {
		name   string
		answer func(id string) string
		holds  func(x *seen.Try) bool
	}{
		{"right", func(id string) string { return value("k", id, id) },
			func(x *seen.Try) bool {
				return x.Answer == seen.Served && x.Correct && x.Server == "s-1" && x.Version == 2 && x.ExtraLine == ""
			}},
		{"another request's", func(id string) string { return value("k", "other", id) },
			func(x *seen.Try) bool { return x.Answer == seen.Served && !x.Correct }},
		{"another key's", func(id string) string { return value("j", id, id) }, func(x *seen.Try) bool { return !x.Correct }},
		{"under another id", func(id string) string { return value("k", id, "x") }, func(x *seen.Try) bool { return !x.Correct }},
		{"twice", func(id string) string { return value("k", id, id) + value("k", id, id) }, func(x *seen.Try) bool { return x.ExtraLine != "" }},
		{"nothing", func(string) string { return "-" },
			func(x *seen.Try) bool { return x.Answer == seen.None && x.SentAt > 0 && x.ConnEndedAt == 0 }},
		{"half of it", func(id string) string { return value("k", id, id)[:30] }, func(x *seen.Try) bool { return x.Answer == seen.None }},
		{"refused", func(string) string { return "SERVER_ERROR busy 70\r\n" },
			func(x *seen.Try) bool { return x.Answer == seen.Refused && x.RetryAfter == 70*ms }},
		{"nonsense", func(string) string { return "\r\n" }, func(x *seen.Try) bool { return x.Answer == seen.Failed }},
	} {
		addr, _ := server(t, func(_ int, line string) string { return c.answer(id(line)) })
		if tries := runArrival(t, addr, 0, world.ClientSpec{}, func(a *world.Arrival) { a.MaxTries = 1 }); !c.holds(tries[0]) {
			t.Errorf("%s: %+v", c.name, tries[0])
		}
	}
	if tries := runArrival(t, "127.0.0.1:1", 2, world.ClientSpec{RetryDelay: ms}, nil); len(tries) != 3 || !tries[0].ConnectFailed {
		t.Errorf("a node that is not there: %d tries", len(tries))
	}
	addr, _ := server(t, func(int, string) string { return "-" })
	if tries := runArrival(t, addr, 0, world.ClientSpec{}, func(a *world.Arrival) { a.LeaveAfter = 50 * ms }); len(tries) != 1 || tries[0].LeftAt == 0 {
		t.Errorf("a client that goes away: %+v", tries[0])
	}
}

// Arrivals are sent when they are due, whatever became of earlier ones: a server that does not answer delays none.
func TestOpenLoop(t *testing.T) {
	addr, lines := server(t, func(int, string) string { return "-" })
	log := seen.NewLog()
	l := New(Options{Log: log, Seed: 1, Classes: classes, NodeAddrs: []string{addr}, Generation: func(int) int { return 0 }})
	var plan []world.Arrival
	for i := range 100 {
		plan = append(plan, world.Arrival{N: i, At: time.Duration(i) * ms, Key: "k", Tenant: -1, Timeout: 300 * ms, MaxTries: 1})
	}
	l.Run(context.Background(), log.Now(), plan)
	if n := len(lines()); n != 100 {
		t.Errorf("%d of 100 requests were sent", n)
	}
	if l.SendDelays().TotalCount() != 100 {
		t.Errorf("%d send delays were recorded", l.SendDelays().TotalCount())
	}
}

// An unsafe write is repeated if no connection could be opened, but not if it was sent on an earlier one, whose node may have read it.
func TestAResentWriteIsNotRepeatedForWantOfAConnection(t *testing.T) {
	l := New(Options{Log: seen.NewLog(), Classes: classes})
	for _, resent := range []bool{false, true} {
		x := &try{load: l, arrival: &world.Arrival{Class: 2, MaxTries: 3}, arrivalDue: l.opt.Log.Now(), record: &seen.Try{ConnectFailed: true, Resent: resent}}
		if again, _ := x.retryAfter(); again == resent {
			t.Errorf("sent before %t: repeated %t", resent, again)
		}
	}
}

// A client that leaves while its connection is being opened sends nothing on it.
func TestAClientThatLeavesBeforeItsConnectionIsOpenSendsNothing(t *testing.T) {
	addr, lines := server(t, func(int, string) string { return "EN\r\n" })
	log := seen.NewLog()
	l := New(Options{Log: log, Classes: classes, NodeAddrs: []string{addr}})
	x := &try{load: l, record: &seen.Try{WaitsUntil: log.Now() + time.Second}, request: []byte("mg k v O1 Pc=read,d=100\r\n"), ended: true}
	l.pools[0].dial(x)
	if got := lines(); len(got) > 0 || x.record.SentAt > 0 {
		t.Errorf("sent %q at %v", got, x.record.SentAt)
	}
}

// A pipelining client records which of a batch's requests are answered, when each one's turn came, and which are lost with the connection.
func TestPipeliningClients(t *testing.T) {
	addr, _ := server(t, func(n int, line string) string {
		switch {
		case !strings.Contains(line, "pipelined-"):
			return "MN\r\n"
		case strings.HasSuffix(id(line), ".2"):
			return ""
		}
		return "SERVER_ERROR busy\r\n"
	})
	log := seen.NewLog()
	l := New(Options{Log: log, Seed: 1, Classes: classes, NodeAddrs: []string{addr}, Generation: func(int) int { return 0 }})
	l.SetPipeliningClients(1)
	time.Sleep(3 * maxBatchPause)
	l.SetPipeliningClients(0)
	l.Run(context.Background(), log.Now(), nil)
	log.Update(func(r *seen.Record) {
		if len(r.Tries) < 1+readsBehind {
			t.Fatalf("%d requests", len(r.Tries))
		}
		for i, x := range r.Tries[:1+readsBehind] {
			answered, lost := i < 2, i >= 2
			if answered != (x.Answer == seen.Refused) || lost != (x.ConnEndedAt > 0) || x.SentAt == 0 || x.ArrivalNumber >= 0 || (x.TurnAt > 0) != (i == 1 || i == 2) || x.Truncated || x.FirstOnConn {
				t.Errorf("request %d: %+v", i, x)
			}
		}
	})
}
