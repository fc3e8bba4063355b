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

// rules has a class of each effect; two servers, s-1 in zone a and s-2 in zone b.
func rules() Rules {
	class := func(name string, e world.Effect, s world.Scope) world.Class {
		return world.Class{Name: name, Effect: e, Scope: s, Window: time.Second, Aim: 300 * ms, Deadline: time.Second, Worth: 1, LateShare: 0.5}
	}
	return Rules{Classes: []world.Class{class("read", world.Safe, 0), class("put", world.Keyed, world.ScopeAll),
		class("zput", world.Keyed, world.ScopeZone), class("pay", world.Unsafe, 0)},
		Servers:     map[string]world.Member{"s-1": {ID: "s-1", Zone: "a", Weight: 1}, "s-2": {ID: "s-2", Zone: "b", Weight: 1}},
		AnswerSlack: 20 * ms, DrainGrace: 400 * ms, Tolerance: 50 * ms, ColdFrom: 0.2, WarmUp: 10 * time.Second, FallMultiple: 3,
		FallWindow: time.Second, OriginOverloadWindow: time.Second, Length: 10 * time.Second}
}

// run is a record with one node, which has been told of two servers, and requests added by hand.
type run struct {
	rec   seen.Record
	rules Rules
}

func newRun() *run {
	known := []world.Member{{ID: "s-1"}, {ID: "s-2"}}
	return &run{rec: seen.Record{NodeProcesses: []*seen.NodeProcess{{StartedAt: -ms, InitialList: known}}}, rules: rules()}
}

// read is a request of a class sent at 100 ms and served by an attempt at s-1 after 20 ms.
func (r *run) read(class string) (*seen.Try, *seen.Attempt) {
	n := len(r.rec.Tries)
	id := fmt.Sprint("id", n)
	t := &seen.Try{ID: id, ArrivalNumber: n, Class: class, Key: "k", DueAt: 100 * ms, SentAt: 100 * ms, WaitsUntil: 1100 * ms,
		Answer: seen.Served, AnsweredAt: 122 * ms, Correct: true, Server: "s-1"}
	a := &seen.Attempt{Server: "s-1", Conn: 1, Request: id, Key: "k", Class: class, FirstByteAt: 101 * ms, LastByteAt: 101 * ms, Answer: seen.Value, AnsweredAt: 121 * ms}
	if class != "read" {
		t.Write, a.Write, t.Receipt, a.Receipt, a.Answer, a.Origin = true, true, "R1", "R1", seen.Receipt, true
		a.Server, t.Server = "o", "o"
	}
	r.rec.Tries, r.rec.Attempts = append(r.rec.Tries, t), append(r.rec.Attempts, a)
	return t, a
}

// further adds an attempt of the same request.
func (r *run) further(a *seen.Attempt, at time.Duration, change func(*seen.Attempt)) {
	b := *a
	b.Conn, b.FirstByteAt, b.LastByteAt, b.AnsweredAt, b.ClosedAt, b.Answer = a.Conn+1, at, at, at+10*ms, 0, a.Answer
	change(&b)
	r.rec.Attempts = append(r.rec.Attempts, &b)
}

// twice has a write take effect twice, and its node killed by the plan in the course of it; its client sent it once more, or not.
func (r *run) twice(killed, first, second time.Duration, unread bool) {
	t, a := r.read("put")
	t.Resent = unread
	r.rec.NodeProcesses[0].Killed, r.rec.NodeProcesses[0].EndedAt = true, killed
	r.rec.Effects = append(r.rec.Effects, seen.Effect{At: first, Request: a.Request, Key: "k", Receipt: "R0"},
		seen.Effect{At: second, Request: a.Request, Key: "k", Receipt: "R1"})
}

func same(*seen.Attempt) {}

// unanswered makes an attempt one that the node gave up.
func unanswered(a *seen.Attempt, at time.Duration) {
	a.Answer, a.AnsweredAt, a.ClosedAt = seen.Nothing, 0, at
}

// Each breach is found by its name, in a run that has only that, and its story tells the request's whole way; what is
// allowed and looks much the same is not taken for one.
func TestBreaches(t *testing.T) {
	for _, c := range []struct {
		name  string
		make  func(r *run)
		wants string // RULE WHAT; empty: kept
	}{
		{"all is well", func(r *run) { r.read("read"); r.read("put"); r.read("pay") }, ""},
		{"no answer", func(r *run) { x, _ := r.read("read"); x.Answer, x.AnsweredAt = seen.None, 0 }, "one_answer lost"},
		{"no answer, but the client went away", func(r *run) { x, _ := r.read("read"); x.Answer, x.AnsweredAt, x.LeftAt = seen.None, 0, 500*ms }, ""},
		{"no answer, but the node was killed by the plan", func(r *run) {
			x, _ := r.read("read")
			x.Answer, x.AnsweredAt, x.ConnEndedAt = seen.None, 0, 150*ms
			r.rec.NodeProcesses[0].Killed, r.rec.NodeProcesses[0].EndedAt = true, 150*ms
		}, ""},
		{"sent after the node was killed, on its new process", func(r *run) {
			x, _ := r.read("read")
			x.Answer, x.AnsweredAt, x.ConnEndedAt, x.Generation = seen.None, 0, 150*ms, 1
			r.rec.NodeProcesses[0].Killed, r.rec.NodeProcesses[0].EndedAt = true, 50*ms
			r.rec.NodeProcesses = append(r.rec.NodeProcesses, &seen.NodeProcess{Generation: 1, StartedAt: 60 * ms, InitialList: r.rec.NodeProcesses[0].InitialList})
		}, "one_answer lost"},
		{"the connection ended", func(r *run) { x, _ := r.read("read"); x.Answer, x.AnsweredAt, x.ConnEndedAt = seen.None, 0, 200*ms }, "one_answer lost"},
		{"cut within a value that a server had given", func(r *run) {
			x, _ := r.read("read")
			x.Answer, x.AnsweredAt, x.ConnEndedAt, x.Truncated = seen.None, 0, 200*ms, true
		}, ""},
		{"cut within an answer that no server had given", func(r *run) {
			x, a := r.read("read")
			x.Answer, x.AnsweredAt, x.ConnEndedAt, x.Truncated = seen.None, 0, 200*ms, true
			unanswered(a, 200*ms)
		}, "one_answer lost"},
		{"never reached the node", func(r *run) {
			x, _ := r.read("read")
			x.Answer, x.AnsweredAt, x.SentAt, x.ConnectFailed = seen.None, 0, 0, true
			r.rec.Attempts = nil
		}, ""},
		{"within the slack", func(r *run) { x, _ := r.read("read"); x.AnsweredAt = 1165 * ms }, ""},
		{"late", func(r *run) { x, _ := r.read("read"); x.AnsweredAt = 1175 * ms }, "one_answer late"},
		{"late, but the node was frozen by the plan", func(r *run) {
			x, _ := r.read("read")
			x.AnsweredAt = 1500 * ms
			r.rec.NodeProcesses[0].Frozen = [][2]time.Duration{{110 * ms, 1450 * ms}}
		}, ""},
		{"two answers", func(r *run) { x, _ := r.read("read"); x.ExtraLine = "VA 1 Oid0" }, "one_answer twice"},
		{"another request's value", func(r *run) { x, _ := r.read("read"); x.Correct = false }, "one_answer wrong_value"},
		{"a value that no server gave", func(r *run) { _, a := r.read("read"); a.Answer = seen.Busy }, "one_answer wrong_value"},
		{"a value of another version", func(r *run) { x, _ := r.read("read"); x.Version = 3 }, "one_answer wrong_value"},
		{"a receipt that nobody gave", func(r *run) { x, _ := r.read("put"); x.Receipt = "R2" }, "one_answer wrong_value"},
		{"an attempt after the answer", func(r *run) { _, a := r.read("read"); r.further(a, 400*ms, same) }, "one_answer sent_after_end"},
		{"an attempt just after the answer", func(r *run) { _, a := r.read("read"); r.further(a, 170*ms, same) }, ""},
		{"an attempt after the client has gone", func(r *run) {
			x, a := r.read("read")
			x.Answer, x.AnsweredAt, x.LeftAt = seen.None, 0, 130*ms
			unanswered(a, 131*ms)
			r.further(a, 300*ms, same)
		}, "one_answer sent_after_end"},
		{"sent twice by its client, whose node was killed between the effects", func(r *run) { r.twice(150*ms, 120*ms, 200*ms, true) }, ""},
		{"the same, both effects before the kill", func(r *run) { r.twice(250*ms, 120*ms, 200*ms, true) }, "no_double doubled_effect"},
		{"the same, its client did not send it twice", func(r *run) { r.twice(150*ms, 120*ms, 200*ms, false) }, "no_double doubled_effect"},
		{"told what is left", func(r *run) { _, a := r.read("read"); a.RemainingTime = 999 * ms }, ""},
		{"told within the slack", func(r *run) { _, a := r.read("read"); a.RemainingTime = 1149 * ms }, ""},
		{"told more than is left", func(r *run) { _, a := r.read("read"); a.RemainingTime = 1500 * ms }, "one_answer told_too_much"},
		{"a further attempt told as much as the first", func(r *run) {
			_, a := r.read("read")
			a.RemainingTime = 990 * ms
			unanswered(a, 405*ms)
			r.further(a, 410*ms, func(b *seen.Attempt) { b.Answer = seen.Value })
			r.rec.Tries[0].AnsweredAt = 422 * ms
		}, "one_answer told_too_much"},
		{"what no client asked", func(r *run) { _, a := r.read("read"); r.further(a, 110*ms, func(b *seen.Attempt) { b.Request = "x" }) }, "one_answer altered"},
		{"another key goes on", func(r *run) {
			_, a := r.read("read")
			unanswered(a, 105*ms)
			r.further(a, 110*ms, func(b *seen.Attempt) { b.Key, b.Answer = "j", seen.Value })
		}, "one_answer altered"},
		{"a safe read tried again", func(r *run) {
			_, a := r.read("read")
			unanswered(a, 110*ms)
			r.further(a, 111*ms, func(b *seen.Attempt) { b.Answer = seen.Value })
		}, ""},
		{"two at once", func(r *run) {
			x, a := r.read("read")
			a.AnsweredAt, x.AnsweredAt = 300*ms, 301*ms
			r.further(a, 200*ms, func(b *seen.Attempt) { b.Server = "s-2" })
		}, "no_double two_at_once"},
		{"two at once, the first at a machine that cannot tell", func(r *run) {
			_, a := r.read("read")
			a.Answer, a.AnsweredAt, a.ConnStateUnknown = seen.Nothing, 0, true
			r.further(a, 110*ms, func(b *seen.Attempt) { b.Answer = seen.Value })
		}, ""},
		{"two at once, and allowed", func(r *run) {
			r.rules.ParallelAttempts = true
			x, a := r.read("read")
			a.AnsweredAt, x.AnsweredAt = 300*ms, 301*ms
			r.further(a, 200*ms, func(b *seen.Attempt) { b.Server = "s-2" })
		}, ""},
		{"unsafe again after busy", func(r *run) {
			x, a := r.read("pay")
			x.AnsweredAt = 400 * ms
			b := *a
			a.Answer = seen.Busy
			r.further(&b, 200*ms, same)
		}, ""},
		{"unsafe again after an error", func(r *run) {
			x, a := r.read("pay")
			x.AnsweredAt = 400 * ms
			b := *a
			a.Answer = seen.Error
			r.further(&b, 200*ms, same)
		}, "no_double repeat_may_run"},
		{"unsafe again after silence", func(r *run) {
			x, a := r.read("pay")
			x.AnsweredAt = 400 * ms
			b := *a
			unanswered(a, 150*ms)
			r.further(&b, 200*ms, same)
		}, "no_double repeat_may_run"},
		{"unsafe again, the first never whole", func(r *run) {
			x, a := r.read("pay")
			x.AnsweredAt = 400 * ms
			b := *a
			unanswered(a, 150*ms)
			a.LastByteAt = 0
			r.further(&b, 200*ms, same)
		}, ""},
		{"keyed again within its window", func(r *run) {
			x, a := r.read("put")
			x.AnsweredAt = 900 * ms
			b := *a
			unanswered(a, 150*ms)
			r.further(&b, 800*ms, same)
		}, ""},
		{"keyed again past its window", func(r *run) {
			x, a := r.read("put")
			x.WaitsUntil, x.AnsweredAt = 1500*ms, 1300*ms
			b := *a
			unanswered(a, 150*ms)
			r.further(&b, 1200*ms, same)
		}, "no_double past_window"},
		{"keyed again outside its group", func(r *run) {
			x, a := r.read("zput")
			x.AnsweredAt = 900 * ms
			b := *a
			a.Server = "s-1"
			unanswered(a, 150*ms)
			r.further(&b, 200*ms, func(b *seen.Attempt) { b.Server, b.Origin = "s-2", false })
		}, "no_double past_window"},
		{"unsafe refused after an error", func(r *run) {
			x, a := r.read("pay")
			x.Answer, a.Answer = seen.Refused, seen.Error
		}, "no_double false_refusal"},
		{"unsafe refused after busy", func(r *run) {
			x, a := r.read("pay")
			x.Answer, a.Answer = seen.Refused, seen.Busy
		}, ""},
		{"keyed refused where all drop repeats", func(r *run) {
			x, a := r.read("put")
			x.Answer, a.Answer = seen.Refused, seen.Error
		}, ""},
		{"keyed refused where only a zone drops repeats", func(r *run) {
			x, a := r.read("zput")
			x.Answer, a.Answer = seen.Refused, seen.Error
		}, "no_double false_refusal"},
		{"one wish takes effect twice", func(r *run) {
			r.read("pay")
			r.rec.Effects = []seen.Effect{{At: 120 * ms, Request: "id0", Receipt: "R1"}, {At: 300 * ms, Request: "id0", Receipt: "R2"}}
		}, "no_double doubled_effect"},
		{"two wishes take effect", func(r *run) {
			r.read("pay")
			r.read("pay")
			r.rec.Effects = []seen.Effect{{At: 120 * ms, Request: "id0", Receipt: "R1"}, {At: 300 * ms, Request: "id1", Receipt: "R2"}}
		}, ""},
		{"sent to a draining server within the grace", func(r *run) { r.told(-300*ms, world.Draining); r.read("read") }, ""},
		{"sent to a draining server after the grace", func(r *run) { r.told(-400*ms, world.Draining); r.read("read") }, "drains sent_to_drained"},
		{"sent to a server that a whole list lacks", func(r *run) {
			r.rec.ListUpdates = []seen.ListUpdate{{At: -400 * ms, Revision: 2, Snapshot: true, Members: []world.Member{{ID: "s-2"}}}}
			r.read("read")
		}, "drains sent_to_drained"},
		{"sent to a server that is back", func(r *run) {
			r.told(-600*ms, world.Draining)
			r.told(-ms, world.Serving)
			r.read("read")
		}, ""},
		{"another node was told", func(r *run) {
			r.told(-600*ms, world.Draining)
			r.rec.ListUpdates[0].Node = 1
			r.read("read")
		}, ""},
		{"a burst at a cold server", func(r *run) { r.cold(true, 300) }, "cold cold_pushed"},
		{"a burst at a cold server that nobody was told of", func(r *run) { r.cold(false, 300) }, ""},
		{"what a cold server can bear", func(r *run) { r.cold(true, 50) }, ""},
		{"the origin stopped by cold misses", func(r *run) { r.originStop(true) }, "cold origin_stopped"},
		{"the origin stopped by others", func(r *run) { r.originStop(false) }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRun()
			c.make(r)
			slices.SortStableFunc(r.rec.ListUpdates, func(a, b seen.ListUpdate) int { return int(a.At - b.At) })
			v := Judge(&r.rec, r.rules, nil)
			var got []string
			for _, b := range v.Violations {
				if s := b.Rule + " " + b.Kind; !slices.Contains(got, s) {
					got = append(got, s)
				}
				if b.Request != "" && !strings.Contains(strings.Join(b.Timeline, "\n"), "client: try 1") {
					t.Errorf("the story lacks the request's beginning: %q", b.Timeline)
				}
			}
			if strings.Join(got, ", ") != c.wants {
				t.Errorf("found %q, want %q", got, c.wants)
			}
			if v.Passed() != (c.wants == "") {
				t.Error("Kept says something else")
			}
		})
	}
}

// told is news of s-1 to node 0.
func (r *run) told(at time.Duration, p world.Phase) {
	r.rec.ListUpdates = append(r.rec.ListUpdates, seen.ListUpdate{At: at, Revision: int64(len(r.rec.ListUpdates) + 2), Members: []world.Member{{ID: "s-1", Phase: p}}})
}

// cold starts s-1 with a tenth of what it can do, and sends it reads of 10 ms of work, so many in a second.
func (r *run) cold(told bool, count int) {
	r.rec.ServerStarts = []seen.ServerStart{{Server: "s-1", At: ms, Cold: true, Capacity: 1}}
	if told {
		r.rec.ListUpdates = []seen.ListUpdate{{At: 10 * ms, Revision: 2, Members: []world.Member{{ID: "s-1", Started: ms}}}}
	}
	for i := range count {
		x, a := r.read("read")
		at := 100*ms + time.Duration(i)*time.Second/time.Duration(count)
		x.SentAt, x.AnsweredAt, x.WaitsUntil = at, at+20*ms, at+time.Second
		a.FirstByteAt, a.LastByteAt, a.AnsweredAt, a.Work, a.Capacity, a.Cold = at, at, at+10*ms, 10*ms, 0.2+0.08*at.Seconds(), true
	}
}

// originStop has the origin stop after a second of misses, all of them at a cold server or at a warm one.
func (r *run) originStop(cold bool) {
	r.rec.ServerStarts = []seen.ServerStart{{Server: "s-1", At: -time.Second, Cold: true, Capacity: 1}, {Server: "s-2", Capacity: 1}}
	r.rec.OriginStops = []seen.Event{{At: 900 * ms, Text: "origin"}}
	for i := range 50 {
		x, a := r.read("read")
		at := 100*ms + time.Duration(i)*15*ms
		x.SentAt, x.AnsweredAt, x.WaitsUntil, x.Server = at, at+20*ms, at+time.Second, "o"
		a.FirstByteAt, a.LastByteAt, a.AnsweredAt, a.Answer, a.Cold = at, at, at+5*ms, seen.NoValue, cold
		r.further(a, at+6*ms, func(b *seen.Attempt) { b.Server, b.Origin, b.Answer, b.Cold = "o", true, seen.Value, false })
	}
}

// Service is worth in time over worth asked, a client's retries folded into its first try.
func TestService(t *testing.T) {
	r := newRun()
	r.rules.Tenants = []world.Tenant{{Name: "x"}, {Name: "y"}}
	r.rules.OverQuotaWorth = 0.1
	var plan []world.Arrival
	add := func(tenant int, at, took time.Duration, change func(*seen.Try)) {
		x, a := r.read("read")
		x.DueAt, x.SentAt, x.AnsweredAt, x.WaitsUntil = at, at, at+took, at+time.Second
		a.FirstByteAt, a.LastByteAt, a.AnsweredAt = at, at, at+took
		if change != nil {
			change(x)
		}
		plan = append(plan, world.Arrival{N: x.ArrivalNumber, At: at, Tenant: tenant})
	}
	add(0, 0, 100*ms, nil)
	add(0, time.Second, 400*ms, nil) // late: half of its worth
	add(1, 2*time.Second, 100*ms, func(x *seen.Try) { x.Answer = seen.Refused })
	add(1, 3*time.Second, 100*ms, func(x *seen.Try) { x.Answer = seen.Failed })
	plan = append(plan, world.Arrival{N: 99, At: 4 * time.Second, Tenant: 1, OverQuota: true}) // never sent, and worth little
	// A refusal, and a retry that is in time from the first.
	add(0, 5*time.Second, 100*ms, func(x *seen.Try) { x.Answer = seen.Refused })
	again, a := r.read("read")
	again.ArrivalNumber, again.Number, again.SentAt, again.AnsweredAt, again.WaitsUntil = 4, 1, 5150*ms, 5250*ms, 6*time.Second
	a.FirstByteAt, a.LastByteAt, a.AnsweredAt = 5151*ms, 5151*ms, 5249*ms
	v := Judge(&r.rec, r.rules, plan)
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

// Many breaches of a kind are all counted, and told in full up to a bound.
func TestBreachesAreBounded(t *testing.T) {
	r := newRun()
	for range 100 {
		x, _ := r.read("read")
		x.ExtraLine = "more"
	}
	v := Judge(&r.rec, r.rules, nil)
	if v.ViolationCounts[OneAnswer] != 100 || len(v.Violations) != mostBreaches {
		t.Errorf("%d counted, %d told", v.ViolationCounts[OneAnswer], len(v.Violations))
	}
}
