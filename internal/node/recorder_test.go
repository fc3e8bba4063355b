package node

import (
	"fmt"
	"strings"
	"testing"

	"lapisshelf/decide/safety"
	"lapisshelf/policy"
)

// The ring keeps the latest transitions in order, and adding one allocates nothing.
func TestTheRecorderKeepsTheLast(t *testing.T) {
	r := &recorder{}
	ids := make([]string, 3)
	for i := range ids {
		ids[i] = fmt.Sprint("r-", i)
	}
	for i := range 2*recorderSize + 7 {
		r.add(record{transition: requestTaken, request: ids[i%len(ids)], attempt: i})
	}
	count, last := 0, recorderSize+6
	r.forEach(func(x *record) {
		if x.attempt != last+1 {
			t.Fatalf("%d follows %d", x.attempt, last)
		}
		last = x.attempt
		count++
	})
	if count != recorderSize {
		t.Errorf("%d transitions are kept", count)
	}
	if lines := r.history("r-1"); len(lines) != maxLoggedRecords || !strings.Contains(lines[0], `what=taken request="r-1"`) {
		t.Errorf("%d lines of one request, the first %q", len(lines), lines[0])
	}
	x := record{transition: attemptEnded, request: ids[0], server: ids[1]}
	if n := testing.AllocsPerRun(100, func() { r.add(x) }); n != 0 {
		t.Errorf("%v allocations for one", n)
	}
}

// A request's history can be read from the recorder: taken, sent, written, ended and served, with its connection, attempt and
// server.
func TestARequestIsRecorded(t *testing.T) {
	s := newFixture(t, false, answerHit)
	s.sendReads("one")
	s.runUntil("it is served", func() bool { return s.outcomes(policy.OK) == 1 })
	text := strings.Join(s.node.recorder.history("one"), "\n")
	for _, want := range []string{`what=taken request="one" client=1`, `what=sent request="one" client=1 attempt=0 server="c-1"`,
		`what=written request="one" client=1 attempt=0 server="c-1"`, `what=ended request="one" client=1 attempt=0 server="c-1" outcome=ok`,
		`what=served request="one" client=1`} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
	if body := string(s.node.flightRecords().Body); !strings.Contains(body, "what=opened client=1") || !strings.Contains(body, text) {
		t.Errorf("the operator gets\n%s", body)
	}
	if s.node.count.violations != 0 {
		t.Errorf("%d violations", s.node.count.violations)
	}
}

// What passes a failed guard is counted by reason: a send for an answered request or one without a client, a send to a server
// that drains, and a close with an open request.
func TestViolationsAreCounted(t *testing.T) {
	for why, break_ := range map[safety.Reason]func(b *harness, x *attempt){
		safety.Answered:          func(b *harness, x *attempt) { x.request.answered = true; b.pool.send(x, 1) },
		safety.ClientGone:        func(b *harness, x *attempt) { x.request.client = nil; b.pool.send(x, 1) },
		safety.ServerUnavailable: func(b *harness, x *attempt) { b.pool.ready = false; b.pool.send(x, 1) },
		safety.Unanswered: func(b *harness, x *attempt) {
			b.node.checkClose(&client{node: b.node, requests: []*request{x.request}})
		},
	} {
		b := newHarness(t)
		x := b.send("1")
		if b.node.count.violations != 0 {
			t.Fatalf("%v: a violation before anything is broken", why)
		}
		break_(b, &attempt{request: x.request, pool: b.pool, number: 1})
		if c := &b.node.count; c.violations != 1 || c.violated[why] != 1 {
			t.Errorf("%v: %d violations, by reason %v", why, c.violations, c.violated)
		}
		if why != safety.Unanswered && (b.node.count.sendsRefused[why] != 1 || b.node.count.attempts != 1) {
			t.Errorf("%v: %v refused, %d attempts", why, b.node.count.sendsRefused, b.node.count.attempts)
		}
		if line := b.node.count.line(b.node); !strings.Contains(line, "violations=1 ") || !strings.Contains(line, "violated_"+why.String()+"=1") {
			t.Errorf("the counters are %s", line)
		}
	}
}

// An attempt whose time has run out since it was chosen is refused, which is no violation.
func TestAnAttemptThatComesTooLateIsRefused(t *testing.T) {
	for why, late := range map[safety.Reason]func(b *harness, x *attempt){
		safety.DeadlineExceeded: func(b *harness, x *attempt) { x.request.deadline = b.node.loop.Now(); b.pool.send(x, 1) },
		safety.TimeoutTooLong: func(b *harness, x *attempt) {
			x.request.deadline = b.node.loop.Now() + safety.StallAllowance
			b.pool.send(x, 3*safety.StallAllowance)
		},
	} {
		b := newHarness(t)
		x := b.send("1")
		late(b, &attempt{request: x.request, pool: b.pool, number: 1})
		if c := &b.node.count; c.violations != 0 || c.sendsRefused[why] != 1 || c.attempts != 1 {
			t.Errorf("%v: %d violations, %v refused, %d attempts", why, c.violations, c.sendsRefused, c.attempts)
		}
	}
}

// A repeat of a request that may have run and must not run twice is not sent, even if the policy asks for it.
func TestARepeatAgainstTheRulesIsNotSent(t *testing.T) {
	s := newFixture(t, false, answerHit)
	s.cache.SetSilent(true)
	s.sendReads("one")
	s.waitTaken(1)
	c := s.node.requests["one"]
	c.class = &class{name: "once", effect: safety.Unsafe}
	attempts := s.node.count.attempts
	s.node.loop.Defer(func() { actions{s.node}.Send("one", "c-1", 0, 0) })
	s.runUntil("it is refused", func() bool { return s.node.count.sendsRefused[safety.InFlight] == 1 })
	if s.node.count.attempts != attempts || s.node.count.violated[safety.InFlight] != 1 {
		t.Errorf("%d attempts, then %d; %v violated", attempts, s.node.count.attempts, s.node.count.violated)
	}
}

func BenchmarkRecorder(b *testing.B) {
	r := &recorder{}
	x := record{transition: attemptEnded, request: "0123456789abcdef", server: "c-1"}
	for b.Loop() {
		r.add(x)
	}
}
