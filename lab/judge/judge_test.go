package judge

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

const ms = time.Millisecond

// testRules has classes of each effect and two servers: s-1 in zone a and s-2 in zone b.
func testRules() Rules {
	class := func(name string, e world.Effect, s world.Scope) world.Class {
		return world.Class{Name: name, Effect: e, Scope: s, Window: time.Second, Aim: 300 * ms, Deadline: time.Second, Worth: 1, LateShare: 0.5}
	}
	return Rules{Classes: []world.Class{class("read", world.Safe, 0), class("put", world.Keyed, world.ScopeAll),
		class("zput", world.Keyed, world.ScopeZone), class("pay", world.Unsafe, 0)},
		Servers:     map[string]world.Member{"s-1": {ID: "s-1", Zone: "a", Weight: 1}, "s-2": {ID: "s-2", Zone: "b", Weight: 1}},
		AnswerSlack: 20 * ms, DrainGrace: 400 * ms, Tolerance: 50 * ms, ColdFrom: 0.2, WarmUp: 10 * time.Second, FallMultiple: 3,
		FallWindow: time.Second, OriginOverloadWindow: time.Second, Length: 10 * time.Second}
}

// scenario is the record of a run with one node that knows two servers, to which a test adds requests.
type scenario struct {
	record seen.Record
	rules  Rules
}

func newScenario() *scenario {
	known := []world.Member{{ID: "s-1"}, {ID: "s-2"}}
	return &scenario{record: seen.Record{NodeProcesses: []*seen.NodeProcess{{StartedAt: -ms, InitialList: known}}}, rules: testRules()}
}

// addRequest adds a request of a class, sent at 100 ms and served by an attempt at s-1 (a write: at the origin) that takes 20 ms.
func (r *scenario) addRequest(class string) (*seen.Try, *seen.Attempt) {
	n := len(r.record.Tries)
	id := fmt.Sprint("id", n)
	t := &seen.Try{ID: id, ArrivalNumber: n, Class: class, Key: "k", DueAt: 100 * ms, SentAt: 100 * ms, WaitsUntil: 1100 * ms,
		Answer: seen.Served, AnsweredAt: 122 * ms, Correct: true, Server: "s-1"}
	a := &seen.Attempt{Server: "s-1", Conn: 1, Request: id, Key: "k", Class: class, FirstByteAt: 101 * ms, LastByteAt: 101 * ms, Answer: seen.Value, AnsweredAt: 121 * ms}
	if class != "read" {
		t.Write, a.Write, t.Receipt, a.Receipt, a.Answer, a.Origin = true, true, "R1", "R1", seen.Receipt, true
		a.Server, t.Server = "o", "o"
	}
	r.record.Tries, r.record.Attempts = append(r.record.Tries, t), append(r.record.Attempts, a)
	return t, a
}

// addAttempt adds another attempt for the request of a.
func (r *scenario) addAttempt(a *seen.Attempt, at time.Duration, change func(*seen.Attempt)) {
	b := *a
	b.Conn, b.FirstByteAt, b.LastByteAt, b.AnsweredAt, b.ClosedAt, b.Answer = a.Conn+1, at, at, at+10*ms, 0, a.Answer
	change(&b)
	r.record.Attempts = append(r.record.Attempts, &b)
}

// addDoubledEffect adds a write that takes effect twice and whose node is killed by an injected fault. resent says whether its
// client sent it once more.
func (r *scenario) addDoubledEffect(killed, first, second time.Duration, resent bool) {
	t, a := r.addRequest("put")
	t.Resent = resent
	r.record.NodeProcesses[0].Killed, r.record.NodeProcesses[0].EndedAt = true, killed
	r.record.Effects = append(r.record.Effects, seen.Effect{At: first, Request: a.Request, Key: "k", Receipt: "R0"},
		seen.Effect{At: second, Request: a.Request, Key: "k", Receipt: "R1"})
}

func unchanged(*seen.Attempt) {}

// abandon turns an attempt into one that the node abandoned without an answer.
func abandon(a *seen.Attempt, at time.Duration) {
	a.Answer, a.AnsweredAt, a.ClosedAt = seen.Nothing, 0, at
}

// cutOffAt turns an attempt into one that pauses within its answer for so long and that the node ends after 150 ms of it; the request is
// served by another one.
func cutOffAt(r *scenario, t *seen.Try, a *seen.Attempt, pause time.Duration) {
	a.RestsFrom, a.RestsUntil = 110*ms, 110*ms+pause
	r.addAttempt(a, 405*ms, unchanged)
	abandon(a, 260*ms)
	t.AnsweredAt = 416 * ms
}

// closeUnread adds a read whose connection ends with no answer and no attempt; it was the first on that connection.
func closeUnread(r *scenario) *seen.Try {
	t, _ := r.addRequest("read")
	r.record.Attempts = r.record.Attempts[:len(r.record.Attempts)-1]
	t.Answer, t.AnsweredAt, t.ConnEndedAt, t.FirstOnConn = seen.None, 0, 200*ms, true
	return t
}

// Each kind of violation is found in a run that has no other, with a timeline that begins with the client's first try. Similar
// but allowed behaviour is no violation.
func TestViolations(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(r *scenario)
		want  string // "RULE KIND"; empty: no violation
	}{
		{"no violations", func(r *scenario) { r.addRequest("read"); r.addRequest("put"); r.addRequest("pay") }, ""},
		{"no answer", func(r *scenario) { x, _ := r.addRequest("read"); x.Answer, x.AnsweredAt = seen.None, 0 }, "one_answer lost"},
		{"no answer, but the client disconnected", func(r *scenario) {
			x, _ := r.addRequest("read")
			x.Answer, x.AnsweredAt, x.LeftAt = seen.None, 0, 500*ms
		}, ""},
		{"no answer, but an injected fault killed the node", func(r *scenario) {
			x, _ := r.addRequest("read")
			x.Answer, x.AnsweredAt, x.ConnEndedAt = seen.None, 0, 150*ms
			r.record.NodeProcesses[0].Killed, r.record.NodeProcesses[0].EndedAt = true, 150*ms
		}, ""},
		{"sent after the node was killed, on its new process", func(r *scenario) {
			x, _ := r.addRequest("read")
			x.Answer, x.AnsweredAt, x.ConnEndedAt, x.Generation = seen.None, 0, 150*ms, 1
			r.record.NodeProcesses[0].Killed, r.record.NodeProcesses[0].EndedAt = true, 50*ms
			r.record.NodeProcesses = append(r.record.NodeProcesses, &seen.NodeProcess{Generation: 1, StartedAt: 60 * ms, InitialList: r.record.NodeProcesses[0].InitialList})
		}, "one_answer lost"},
		{"a long value is not complete in time", func(r *scenario) {
			x, _ := r.addRequest("read")
			x.Answer, x.AnsweredAt, x.LongValueAt = seen.None, 0, 200*ms
		}, ""},
		{"answered late", func(r *scenario) {
			x, _ := r.addRequest("read")
			x.AnsweredAt = 1700 * ms
		}, "one_answer late"},
		{"answered late, but it waited for the answers before it", func(r *scenario) {
			x, _ := r.addRequest("read")
			x.AnsweredAt, x.TurnAt = 1700*ms, 1690*ms
		}, ""},
		{"a long value begins late", func(r *scenario) {
			x, _ := r.addRequest("read")
			x.Answer, x.AnsweredAt, x.LongValueAt = seen.None, 0, 1300*ms
		}, "one_answer lost"},
		{"a long value's connection ended without a server's fault", func(r *scenario) {
			x, a := r.addRequest("read")
			abandon(a, 300*ms)
			x.Answer, x.AnsweredAt, x.LongValueAt, x.ConnEndedAt, x.Truncated = seen.None, 0, 200*ms, 300*ms, true
		}, "one_answer lost"},
		{"an answer was cut off in a pause", func(r *scenario) {
			x, a := r.addRequest("read")
			cutOffAt(r, x, a, 500*ms)
		}, "one_answer cut_off"},
		{"an answer was cut off in a pause that would not have ended in time", func(r *scenario) {
			x, a := r.addRequest("read")
			cutOffAt(r, x, a, 800*ms)
		}, ""},
		{"an attempt had ended before its answer began", func(r *scenario) {
			x, a := r.addRequest("read")
			cutOffAt(r, x, a, 500*ms)
			a.RestsFrom, a.RestsUntil = 270*ms, 770*ms
		}, ""},
		{"an answer was cut off as its client left", func(r *scenario) {
			x, a := r.addRequest("read")
			a.RestsFrom, a.RestsUntil = 110*ms, 610*ms
			abandon(a, 260*ms)
			x.Answer, x.AnsweredAt, x.LeftAt = seen.None, 0, 250*ms
		}, ""},
		{"a new connection was closed unread in a crowd", func(r *scenario) {
			closeUnread(r)
			r.rules.Crowded = true
		}, ""},
		{"a new connection was closed unread, but not in a crowd", func(r *scenario) { closeUnread(r) }, "one_answer lost"},
		{"a connection was closed unread in a crowd, but had answered", func(r *scenario) {
			closeUnread(r).FirstOnConn = false
			r.rules.Crowded = true
		}, "one_answer lost"},
		{"a new connection was closed in a crowd, but its request was sent on", func(r *scenario) {
			x, a := r.addRequest("read")
			x.Answer, x.AnsweredAt, x.ConnEndedAt, x.FirstOnConn = seen.None, 0, 200*ms, true
			abandon(a, 200*ms)
			r.rules.Crowded = true
		}, "one_answer lost"},
		{"the connection ended", func(r *scenario) {
			x, _ := r.addRequest("read")
			x.Answer, x.AnsweredAt, x.ConnEndedAt = seen.None, 0, 200*ms
		}, "one_answer lost"},
		{"connection ended within a value that a server sent", func(r *scenario) {
			x, _ := r.addRequest("read")
			x.Answer, x.AnsweredAt, x.ConnEndedAt, x.Truncated = seen.None, 0, 200*ms, true
		}, ""},
		{"connection ended within an answer that no server sent", func(r *scenario) {
			x, a := r.addRequest("read")
			x.Answer, x.AnsweredAt, x.ConnEndedAt, x.Truncated = seen.None, 0, 200*ms, true
			abandon(a, 200*ms)
		}, "one_answer lost"},
		{"connection to the node failed", func(r *scenario) {
			x, _ := r.addRequest("read")
			x.Answer, x.AnsweredAt, x.SentAt, x.ConnectFailed = seen.None, 0, 0, true
			r.record.Attempts = nil
		}, ""},
		{"late within the slack", func(r *scenario) { x, _ := r.addRequest("read"); x.AnsweredAt = 1165 * ms }, ""},
		{"late", func(r *scenario) { x, _ := r.addRequest("read"); x.AnsweredAt = 1175 * ms }, "one_answer late"},
		{"late, but an injected fault froze the node", func(r *scenario) {
			x, _ := r.addRequest("read")
			x.AnsweredAt = 1500 * ms
			r.record.NodeProcesses[0].Frozen = [][2]time.Duration{{110 * ms, 1450 * ms}}
		}, ""},
		{"two answers", func(r *scenario) { x, _ := r.addRequest("read"); x.ExtraLine = "VA 1 Oid0" }, "one_answer twice"},
		{"another request's value", func(r *scenario) { x, _ := r.addRequest("read"); x.Correct = false }, "one_answer wrong_value"},
		{"a value that no server sent", func(r *scenario) { _, a := r.addRequest("read"); a.Answer = seen.Busy }, "one_answer wrong_value"},
		{"a value of another version", func(r *scenario) { x, _ := r.addRequest("read"); x.Version = 3 }, "one_answer wrong_value"},
		{"a receipt that no server sent", func(r *scenario) { x, _ := r.addRequest("put"); x.Receipt = "R2" }, "one_answer wrong_value"},
		{"an attempt after the answer", func(r *scenario) { _, a := r.addRequest("read"); r.addAttempt(a, 400*ms, unchanged) }, "one_answer sent_after_end"},
		{"an attempt just after the answer", func(r *scenario) { _, a := r.addRequest("read"); r.addAttempt(a, 170*ms, unchanged) }, ""},
		{"an attempt after the client disconnected", func(r *scenario) {
			x, a := r.addRequest("read")
			x.Answer, x.AnsweredAt, x.LeftAt = seen.None, 0, 130*ms
			abandon(a, 131*ms)
			r.addAttempt(a, 300*ms, unchanged)
		}, "one_answer sent_after_end"},
		{"sent twice by its client, with the node killed between the effects", func(r *scenario) { r.addDoubledEffect(150*ms, 120*ms, 200*ms, true) }, ""},
		{"sent twice by its client, both effects before the kill", func(r *scenario) { r.addDoubledEffect(250*ms, 120*ms, 200*ms, true) }, "no_double doubled_effect"},
		{"two effects around the kill, but sent once by its client", func(r *scenario) { r.addDoubledEffect(150*ms, 120*ms, 200*ms, false) }, "no_double doubled_effect"},
		{"attempt passes on the remaining time", func(r *scenario) { _, a := r.addRequest("read"); a.RemainingTime = 999 * ms }, ""},
		{"attempt passes on more than the remaining time, within the slack", func(r *scenario) { _, a := r.addRequest("read"); a.RemainingTime = 1149 * ms }, ""},
		{"attempt passes on more than the remaining time", func(r *scenario) { _, a := r.addRequest("read"); a.RemainingTime = 1500 * ms }, "one_answer told_too_much"},
		{"second attempt passes on the remaining time of the first", func(r *scenario) {
			_, a := r.addRequest("read")
			a.RemainingTime = 990 * ms
			abandon(a, 405*ms)
			r.addAttempt(a, 410*ms, func(b *seen.Attempt) { b.Answer = seen.Value })
			r.record.Tries[0].AnsweredAt = 422 * ms
		}, "one_answer told_too_much"},
		{"a request that no client sent", func(r *scenario) {
			_, a := r.addRequest("read")
			r.addAttempt(a, 110*ms, func(b *seen.Attempt) { b.Request = "x" })
		}, "one_answer altered"},
		{"another key is forwarded", func(r *scenario) {
			_, a := r.addRequest("read")
			abandon(a, 105*ms)
			r.addAttempt(a, 110*ms, func(b *seen.Attempt) { b.Key, b.Answer = "j", seen.Value })
		}, "one_answer altered"},
		{"safe read retried", func(r *scenario) {
			_, a := r.addRequest("read")
			abandon(a, 110*ms)
			r.addAttempt(a, 111*ms, func(b *seen.Attempt) { b.Answer = seen.Value })
		}, ""},
		{"two attempts at once", func(r *scenario) {
			x, a := r.addRequest("read")
			a.AnsweredAt, x.AnsweredAt = 300*ms, 301*ms
			r.addAttempt(a, 200*ms, func(b *seen.Attempt) { b.Server = "s-2" })
		}, "no_double two_at_once"},
		{"two attempts at once, the first with an unknown connection state", func(r *scenario) {
			_, a := r.addRequest("read")
			a.Answer, a.AnsweredAt, a.ConnStateUnknown = seen.Nothing, 0, true
			r.addAttempt(a, 110*ms, func(b *seen.Attempt) { b.Answer = seen.Value })
		}, ""},
		{"two attempts at once where that is allowed", func(r *scenario) {
			r.rules.ParallelAttempts = true
			x, a := r.addRequest("read")
			a.AnsweredAt, x.AnsweredAt = 300*ms, 301*ms
			r.addAttempt(a, 200*ms, func(b *seen.Attempt) { b.Server = "s-2" })
		}, ""},
		{"unsafe request retried after busy", func(r *scenario) {
			x, a := r.addRequest("pay")
			x.AnsweredAt = 400 * ms
			b := *a
			a.Answer = seen.Busy
			r.addAttempt(&b, 200*ms, unchanged)
		}, ""},
		{"unsafe request retried after an error", func(r *scenario) {
			x, a := r.addRequest("pay")
			x.AnsweredAt = 400 * ms
			b := *a
			a.Answer = seen.Error
			r.addAttempt(&b, 200*ms, unchanged)
		}, "no_double repeat_may_run"},
		{"unsafe request retried after no answer", func(r *scenario) {
			x, a := r.addRequest("pay")
			x.AnsweredAt = 400 * ms
			b := *a
			abandon(a, 150*ms)
			r.addAttempt(&b, 200*ms, unchanged)
		}, "no_double repeat_may_run"},
		{"unsafe request retried, the first attempt incomplete", func(r *scenario) {
			x, a := r.addRequest("pay")
			x.AnsweredAt = 400 * ms
			b := *a
			abandon(a, 150*ms)
			a.LastByteAt = 0
			r.addAttempt(&b, 200*ms, unchanged)
		}, ""},
		{"keyed request retried within its window", func(r *scenario) {
			x, a := r.addRequest("put")
			x.AnsweredAt = 900 * ms
			b := *a
			abandon(a, 150*ms)
			r.addAttempt(&b, 800*ms, unchanged)
		}, ""},
		{"keyed request retried past its window", func(r *scenario) {
			x, a := r.addRequest("put")
			x.WaitsUntil, x.AnsweredAt = 1500*ms, 1300*ms
			b := *a
			abandon(a, 150*ms)
			r.addAttempt(&b, 1200*ms, unchanged)
		}, "no_double past_window"},
		{"keyed request retried outside its scope", func(r *scenario) {
			x, a := r.addRequest("zput")
			x.AnsweredAt = 900 * ms
			b := *a
			a.Server = "s-1"
			abandon(a, 150*ms)
			r.addAttempt(&b, 200*ms, func(b *seen.Attempt) { b.Server, b.Origin = "s-2", false })
		}, "no_double past_window"},
		{"unsafe request refused after an error", func(r *scenario) {
			x, a := r.addRequest("pay")
			x.Answer, a.Answer = seen.Refused, seen.Error
		}, "no_double false_refusal"},
		{"unsafe request refused after busy", func(r *scenario) {
			x, a := r.addRequest("pay")
			x.Answer, a.Answer = seen.Refused, seen.Busy
		}, ""},
		{"keyed request with scope all refused after an error", func(r *scenario) {
			x, a := r.addRequest("put")
			x.Answer, a.Answer = seen.Refused, seen.Error
		}, ""},
		{"keyed request with scope zone refused after an error", func(r *scenario) {
			x, a := r.addRequest("zput")
			x.Answer, a.Answer = seen.Refused, seen.Error
		}, "no_double false_refusal"},
		{"one write takes effect twice", func(r *scenario) {
			r.addRequest("pay")
			r.record.Effects = []seen.Effect{{At: 120 * ms, Request: "id0", Receipt: "R1"}, {At: 300 * ms, Request: "id0", Receipt: "R2"}}
		}, "no_double doubled_effect"},
		{"two writes take effect", func(r *scenario) {
			r.addRequest("pay")
			r.addRequest("pay")
			r.record.Effects = []seen.Effect{{At: 120 * ms, Request: "id0", Receipt: "R1"}, {At: 300 * ms, Request: "id1", Receipt: "R2"}}
		}, ""},
		{"attempt at a draining server within the grace period", func(r *scenario) { r.addListUpdate(-300*ms, world.Draining); r.addRequest("read") }, ""},
		{"attempt at a draining server after the grace period", func(r *scenario) { r.addListUpdate(-400*ms, world.Draining); r.addRequest("read") }, "drains sent_to_drained"},
		{"attempt at a server missing from a snapshot", func(r *scenario) {
			r.record.ListUpdates = []seen.ListUpdate{{At: -400 * ms, Revision: 2, Snapshot: true, Members: []world.Member{{ID: "s-2"}}}}
			r.addRequest("read")
		}, "drains sent_to_drained"},
		{"attempt at a server that serves again", func(r *scenario) {
			r.addListUpdate(-600*ms, world.Draining)
			r.addListUpdate(-ms, world.Serving)
			r.addRequest("read")
		}, ""},
		{"only another node was notified of the drain", func(r *scenario) {
			r.addListUpdate(-600*ms, world.Draining)
			r.record.ListUpdates[0].Node = 1
			r.addRequest("read")
		}, ""},
		{"a burst at a cold server", func(r *scenario) { r.addColdStart(true, 300) }, "cold cold_pushed"},
		{"a burst at a cold server whose start no node knows", func(r *scenario) { r.addColdStart(false, 300) }, ""},
		{"load below the limit of a cold server", func(r *scenario) { r.addColdStart(true, 50) }, ""},
		{"the origin stopped by cold misses", func(r *scenario) { r.addOriginStop(true) }, "cold origin_stopped"},
		{"the origin stopped by misses at warm servers", func(r *scenario) { r.addOriginStop(false) }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newScenario()
			c.setUp(r)
			slices.SortStableFunc(r.record.ListUpdates, func(a, b seen.ListUpdate) int { return int(a.At - b.At) })
			v := Judge(&r.record, r.rules, nil)
			var got []string
			for _, b := range v.Violations {
				if s := b.Rule + " " + b.Kind; !slices.Contains(got, s) {
					got = append(got, s)
				}
				if b.Request != "" && !strings.Contains(strings.Join(b.Timeline, "\n"), "client: try 1") {
					t.Errorf("the timeline lacks the first try of the request: %q", b.Timeline)
				}
			}
			if strings.Join(got, ", ") != c.want {
				t.Errorf("found %q, want %q", got, c.want)
			}
			if v.Passed() != (c.want == "") {
				t.Error("Passed disagrees with the violations found")
			}
		})
	}
}

// addListUpdate adds an update of the phase of s-1 to node 0.
func (r *scenario) addListUpdate(at time.Duration, p world.Phase) {
	r.record.ListUpdates = append(r.record.ListUpdates, seen.ListUpdate{At: at, Revision: int64(len(r.record.ListUpdates) + 2), Members: []world.Member{{ID: "s-1", Phase: p}}})
}

// addColdStart starts s-1 cold, with a fifth of its capacity, and adds count reads of 10 ms of work each within a second.
func (r *scenario) addColdStart(informed bool, count int) {
	r.record.ServerStarts = []seen.ServerStart{{Server: "s-1", At: ms, Cold: true, Capacity: 1}}
	if informed {
		r.record.ListUpdates = []seen.ListUpdate{{At: 10 * ms, Revision: 2, Members: []world.Member{{ID: "s-1", Started: ms}}}}
	}
	for i := range count {
		x, a := r.addRequest("read")
		at := 100*ms + time.Duration(i)*time.Second/time.Duration(count)
		x.SentAt, x.AnsweredAt, x.WaitsUntil = at, at+20*ms, at+time.Second
		a.FirstByteAt, a.LastByteAt, a.AnsweredAt, a.Work, a.Capacity, a.Cold = at, at, at+10*ms, 10*ms, 0.2+0.08*at.Seconds(), true
	}
}

// addOriginStop adds a stop of the origin after 750 ms of misses, all of them at a cold server or all at a warm one.
func (r *scenario) addOriginStop(cold bool) {
	r.record.ServerStarts = []seen.ServerStart{{Server: "s-1", At: -time.Second, Cold: true, Capacity: 1}, {Server: "s-2", Capacity: 1}}
	r.record.OriginStops = []seen.Event{{At: 900 * ms, Text: "origin"}}
	for i := range 50 {
		x, a := r.addRequest("read")
		at := 100*ms + time.Duration(i)*15*ms
		x.SentAt, x.AnsweredAt, x.WaitsUntil, x.Server = at, at+20*ms, at+time.Second, "o"
		a.FirstByteAt, a.LastByteAt, a.AnsweredAt, a.Answer, a.Cold = at, at, at+5*ms, seen.NoValue, cold
		r.addAttempt(a, at+6*ms, func(b *seen.Attempt) { b.Server, b.Origin, b.Answer, b.Cold = "o", true, seen.Value, false })
	}
}

// Service is the worth served in time over the worth of all arrivals; the retries of a client count with its first try.
func TestService(t *testing.T) {
	r := newScenario()
	r.rules.Tenants = []world.Tenant{{Name: "x"}, {Name: "y"}}
	r.rules.OverQuotaWorth = 0.1
	var plan []world.Arrival
	add := func(tenant int, at, took time.Duration, change func(*seen.Try)) {
		x, a := r.addRequest("read")
		x.DueAt, x.SentAt, x.AnsweredAt, x.WaitsUntil = at, at, at+took, at+time.Second
		a.FirstByteAt, a.LastByteAt, a.AnsweredAt = at, at, at+took
		if change != nil {
			change(x)
		}
		plan = append(plan, world.Arrival{N: x.ArrivalNumber, At: at, Tenant: tenant})
	}
	add(0, 0, 100*ms, nil)
	add(0, time.Second, 400*ms, nil) // late: earns half of its worth
	add(1, 2*time.Second, 100*ms, func(x *seen.Try) { x.Answer = seen.Refused })
	add(1, 3*time.Second, 100*ms, func(x *seen.Try) { x.Answer = seen.Failed })
	plan = append(plan, world.Arrival{N: 99, At: 4 * time.Second, Tenant: 1, OverQuota: true}) // never sent, with the reduced worth of a request over quota
	// A refused try and a retry that is served within the aim, counted from the first try.
	add(0, 5*time.Second, 100*ms, func(x *seen.Try) { x.Answer = seen.Refused })
	retry, a := r.addRequest("read")
	retry.ArrivalNumber, retry.Number, retry.SentAt, retry.AnsweredAt, retry.WaitsUntil = 4, 1, 5150*ms, 5250*ms, 6*time.Second
	a.FirstByteAt, a.LastByteAt, a.AnsweredAt = 5151*ms, 5151*ms, 5249*ms
	v := Judge(&r.record, r.rules, plan)
	if !v.Passed() {
		t.Fatal(v.Violations)
	}
	want := map[string]float64{"service": (1 + 0.5 + 1) / 5.1, "worst_tenant": 0, "asked": 6, "refused_share": 1.0 / 6, "failed_share": 2.0 / 6,
		"attempts_per_request": 1, "tries": 6}
	for name, w := range want {
		if got := v.Figures[name]; got < w-1e-9 || got > w+1e-9 {
			t.Errorf("%s is %v, want %v", name, got, w)
		}
	}
	if x := v.Tenants["x"]; x.Arrivals != 3 || x.InTime != 2 || x.Late != 1 {
		t.Errorf("%+v", x)
	}
	if s := v.Seconds[1]; s.Arrivals != 1 || s.Service != 0.5 || s.P50 < 399 || s.P50 > 401 {
		t.Errorf("%+v", s)
	}
}

// All violations of a kind are counted, but only maxDetailedViolations of them are listed.
func TestListedViolationsAreLimited(t *testing.T) {
	r := newScenario()
	for range 100 {
		x, _ := r.addRequest("read")
		x.ExtraLine = "more"
	}
	v := Judge(&r.record, r.rules, nil)
	if v.ViolationCounts[OneAnswer] != 100 || len(v.Violations) != maxDetailedViolations {
		t.Errorf("%d counted, %d listed", v.ViolationCounts[OneAnswer], len(v.Violations))
	}
}
