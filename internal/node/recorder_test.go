package node

import (
	"fmt"
	"strings"
	"testing"

	"lapisshelf/decide/safety"
	"lapisshelf/policy"
)

// The ring keeps the last transitions in their order, whatever came before, and costs no allocation.
func TestTheRecorderKeepsTheLast(t *testing.T) {
	r := &recorder{}
	ids := make([]string, 3)
	for i := range ids {
		ids[i] = fmt.Sprint("r-", i)
	}
	for i := range 2*recorded + 7 {
		r.add(record{transition: requestTaken, request: ids[i%len(ids)], attempt: i})
	}
	count, last := 0, recorded+6
	r.each(func(x *record) {
		if x.attempt != last+1 {
			t.Fatalf("%d comes after %d", x.attempt, last)
		}
		last = x.attempt
		count++
	})
	if count != recorded {
		t.Errorf("%d are kept", count)
	}
	if lines := r.story("r-1"); len(lines) != logFlight || !strings.Contains(lines[0], `what=taken request="r-1"`) {
		t.Errorf("%d lines of one request, the first %q", len(lines), lines[0])
	}
	x := record{transition: attemptEnded, request: ids[0], server: ids[1]}
	if n := testing.AllocsPerRun(100, func() { r.add(x) }); n != 0 {
		t.Errorf("%v allocations for one", n)
	}
}

// A request's life can be read from the recorder: taken, sent, written, ended and served, by connection, attempt and server.
func TestARequestIsRecorded(t *testing.T) {
	s := newStage(t, false, answering)
	s.ask("one")
	s.runUntil("it is served", func() bool { return s.outcomes(policy.OK) == 1 })
	text := strings.Join(s.node.recorder.story("one"), "\n")
	for _, want := range []string{`what=taken request="one" client=1`, `what=sent request="one" client=1 attempt=0 server="c-1"`,
		`what=written request="one" client=1 attempt=0 server="c-1"`, `what=ended request="one" client=1 attempt=0 server="c-1" outcome=ok`,
		`what=served request="one" client=1`} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
	if body := string(s.node.flight().Body); !strings.Contains(body, "what=opened client=1") || !strings.Contains(body, text) {
		t.Errorf("an operator is told\n%s", body)
	}
	if s.node.count.violations != 0 {
		t.Errorf("%d violations", s.node.count.violations)
	}
}

// What a failed guard lets through is counted by its reason: a send for a request that has its answer, one to a server that leaves,
// and a close over an open request.
func TestViolationsAreCounted(t *testing.T) {
	for why, break_ := range map[safety.Reason]func(b *harness, x *try){
		safety.Answered:          func(b *harness, x *try) { x.call.answered = true; b.pool.send(x, 1) },
		safety.ClientGone:        func(b *harness, x *try) { x.call.client = nil; b.pool.send(x, 1) },
		safety.ServerUnavailable: func(b *harness, x *try) { b.pool.ready = false; b.pool.send(x, 1) },
		safety.Unanswered:        func(b *harness, x *try) { b.node.checkClose(&client{node: b.node, calls: []*call{x.call}}) },
	} {
		b := newHarness(t)
		x := b.send("1")
		if b.node.count.violations != 0 {
			t.Fatalf("%v before anything is broken", why)
		}
		break_(b, &try{call: x.call, pool: b.pool, n: 1})
		if c := &b.node.count; c.violations != 1 || c.violated[why] != 1 {
			t.Errorf("%v: %d violations, by reason %v", why, c.violations, c.violated)
		}
		if why != safety.Unanswered && (b.node.count.sendsRefused[why] != 1 || b.node.count.attempts != 1) {
			t.Errorf("%v: %v refused, %d attempts", why, b.node.count.sendsRefused, b.node.count.attempts)
		}
		if line := b.node.count.line(b.node); !strings.Contains(line, "violations=1 ") || !strings.Contains(line, "violated_"+why.String()+"=1") {
			t.Errorf("the counters tell %s", line)
		}
	}
}

// Time that has passed since an attempt was chosen has it refused, and is no violation.
func TestAnAttemptThatComesTooLateIsRefused(t *testing.T) {
	for why, late := range map[safety.Reason]func(b *harness, x *try){
		safety.DeadlineExceeded: func(b *harness, x *try) { x.call.deadline = b.node.loop.Now(); b.pool.send(x, 1) },
		safety.TimeoutTooLong: func(b *harness, x *try) {
			x.call.deadline = b.node.loop.Now() + safety.StallAllowance
			b.pool.send(x, 3*safety.StallAllowance)
		},
	} {
		b := newHarness(t)
		x := b.send("1")
		late(b, &try{call: x.call, pool: b.pool, n: 1})
		if c := &b.node.count; c.violations != 0 || c.sendsRefused[why] != 1 || c.attempts != 1 {
			t.Errorf("%v: %d violations, %v refused, %d attempts", why, c.violations, c.sendsRefused, c.attempts)
		}
	}
}

// A repeat of a request that may have run and must not run twice is not sent, though the module asks for it.
func TestARepeatAgainstTheRulesIsNotSent(t *testing.T) {
	s := newStage(t, false, answering)
	s.cache.Silence(true)
	s.ask("one")
	s.taken(1)
	c := s.node.calls["one"]
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
