package node

import (
	"fmt"
	"strings"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/internal/control"
	"lapisshelf/policy"
)

// The flight recorder keeps the latest transitions of requests, attempts and connections in a ring buffer. It allocates nothing
// on the serving path. An operator can read all of it (GET /_flight), and a request's transitions are logged with each violation
// and each overdue request.

const (
	recorderSize     = 4096 // transitions in the ring
	maxLoggedRecords = 24   // logged transitions of one request
	// violationLogInterval is the minimum interval between logged violations; all are counted.
	violationLogInterval = time.Second
)

// transition is a kind of recorded event.
type transition uint8

const (
	requestTaken transition = iota
	requestServed
	requestRefused
	requestFailed
	requestAbandoned
	requestOverdue
	attemptSent
	attemptWritten
	attemptEnded
	attemptRefused
	clientOpened
	clientClosed
	nodeReady
	nodeLeaving
	nodeDrainChanged
	ruleViolated
	transitions
)

var transitionNames = [transitions]string{"taken", "served", "refused", "failed", "abandoned", "overdue", "sent", "written", "ended",
	"not_sent", "opened", "closed", "ready", "leaving", "drains", "violation"}

// closeReason is why a client's connection was closed.
type closeReason uint8

const (
	closedByClient closeReason = iota
	closedIdle
	closedIncomplete
	closedForCapacity
	closedAfterAnswers
	closedByDrain
	closedSlow
	closedMidAnswer
	closedUnaccepted
	closeReasons
)

var closeReasonNames = [closeReasons]string{"by_client", "idle", "owes_a_command", "for_room", "after_its_answers", "node_ends_or_drains", "slow",
	"answer_broken_off", "not_accepted"}

// record is one recorded transition. Fields that don't apply to its kind are zero.
type record struct {
	at          time.Duration
	transition  transition
	why         safety.Reason
	outcome     policy.Outcome // for attemptEnded
	closeReason closeReason    // for clientClosed
	attempt     int            // index among the request's attempts, from 0
	client      uint64         // the connection's number, in the order of opening
	request     string
	server      string
}

// recorder is a ring buffer of transitions.
type recorder struct {
	ring [recorderSize]record
	next uint64 // transitions recorded so far
}

// add records a transition.
func (r *recorder) add(x record) {
	r.ring[r.next%recorderSize] = x
	r.next++
}

// forEach calls f for each recorded transition, oldest first.
func (r *recorder) forEach(f func(x *record)) {
	first := uint64(0)
	if r.next > recorderSize {
		first = r.next - recorderSize
	}
	for i := first; i < r.next; i++ {
		f(&r.ring[i%recorderSize])
	}
}

// text formats a transition as key=value pairs.
func (x *record) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "at=%d.%06d what=%s", x.at/time.Second, x.at%time.Second/time.Microsecond, transitionNames[x.transition])
	if x.request != "" {
		fmt.Fprintf(&b, " request=%q", x.request)
	}
	if x.client != 0 {
		fmt.Fprintf(&b, " client=%d", x.client)
	}
	switch x.transition {
	case attemptSent, attemptWritten, attemptEnded, attemptRefused:
		fmt.Fprintf(&b, " attempt=%d server=%q", x.attempt, x.server)
	case clientClosed:
		fmt.Fprintf(&b, " why=%s", closeReasonNames[x.closeReason])
	}
	if x.transition == attemptEnded {
		fmt.Fprintf(&b, " outcome=%s", outcomeNames[x.outcome])
	}
	if x.why != safety.Allowed {
		fmt.Fprintf(&b, " why=%s", x.why)
	}
	return b.String()
}

// flightRecords returns all recorded transitions, for an operator.
func (n *Node) flightRecords() control.Reply {
	var b strings.Builder
	n.recorder.forEach(func(x *record) {
		b.WriteString(x.text())
		b.WriteByte('\n')
	})
	return control.Reply{Status: 200, Body: []byte(b.String())}
}

// history returns the latest transitions of a request, as text.
func (r *recorder) history(request string) (lines []string) {
	r.forEach(func(x *record) {
		if x.request == request {
			lines = append(lines, x.text())
		}
	})
	return lines[max(0, len(lines)-maxLoggedRecords):]
}

// recordTransition records a transition of the node or of a request.
func (n *Node) recordTransition(what transition, c *request) {
	x := record{at: n.loop.Now(), transition: what}
	if c != nil {
		x.request = c.id
		if c.client != nil {
			x.client = c.client.number
		}
	}
	n.recorder.add(x)
}

// recordAttempt records a transition of an attempt.
func (n *Node) recordAttempt(what transition, t *attempt, why safety.Reason, outcome policy.Outcome) {
	x := record{at: n.loop.Now(), transition: what, why: why, outcome: outcome, attempt: t.number, request: t.request.id, server: t.pool.id}
	if c := t.request.client; c != nil {
		x.client = c.number
	}
	n.recorder.add(x)
}

// recordClose records and counts the end of a client's connection.
func (n *Node) recordClose(c *client, why closeReason) {
	n.count.closings[why]++
	n.recorder.add(record{at: n.loop.Now(), transition: clientClosed, closeReason: why, client: c.number})
}
