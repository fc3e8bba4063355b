package node

import (
	"fmt"
	"strings"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/policy"
)

// counters count events since the process started.
type counters struct {
	taken, abandoned, overdue                                               int64
	refusedFull, badLines, clientsAccepted, clientsShed, clientsSlow        int64
	attempts, written, serverConns, serverConnsShed, pipelined, dialsFailed int64
	badAnswers, savedListsBad, panics                                       int64
	surplusAnswers, reloads, reloadsFailed                                  int64
	longValues, brokenOff, longWrites, longWritesRefused, linesLeftOut      int64
	clientsBad, clientsIdle, duplicateIDs                                   int64
	valuesInterrupted, valuesResumed, answersUnproven                       int64
	violations, tooLate, answersDropped                                     int64
	outcomes                                                                [policy.NotSent + 1]int64
	sendsRefused, violated                                                  [safety.NumReasons]int64
	closings                                                                [closeReasons]int64
	ended                                                                   [numEndings]int64 // of all classes
}

// ending is how a request ended for its client.
type ending int

const (
	served ending = iota
	refused
	failed
	numEndings
)

var endingNames = [numEndings]string{served: "served", refused: "refused", failed: "failed"}

// class is what the node knows about a class of requests.
type class struct {
	name        string
	maxDeadline time.Duration // maximum deadline of its requests
	aim         time.Duration // answers within it earn the full worth
	effect      safety.Effect // of repeating a request
	window      time.Duration // how long servers remember a request if the effect is keyed
	ended       [numEndings]int64
}

// countEnding counts how a request ended. Nothing else changes these counters.
func (n *Node) countEnding(c *class, how ending) {
	c.ended[how]++
	n.count.ended[how]++
}

var outcomeNames = [...]string{policy.OK: "ok", policy.Miss: "miss", policy.Errored: "error", policy.Full: "busy",
	policy.TimedOut: "timeout", policy.ConnectFailed: "connect_failed", policy.Reset: "reset",
	policy.Cancelled: "cancelled", policy.NotSent: "moot"}

func (c *counters) addOutcome(o policy.Outcome) { c.outcomes[o]++ }

// line formats the counters, and gauges of the current state, as a log line of key=value pairs.
func (c *counters) line(n *Node) string {
	var b strings.Builder
	b.WriteString("event=counters")
	put := func(name string, value int64) { fmt.Fprintf(&b, " %s=%d", name, value) }
	put("taken", c.taken)
	for how, name := range endingNames {
		put(name, c.ended[how])
	}
	put("abandoned", c.abandoned)
	put("overdue", c.overdue)
	put("full_house", c.refusedFull)
	put("bad_lines", c.badLines)
	put("same_id", c.duplicateIDs)
	put("attempts", c.attempts)
	put("written", c.written)
	for o, name := range outcomeNames {
		put(name, c.outcomes[o])
	}
	put("bad_answers", c.badAnswers)
	put("surplus_answers", c.surplusAnswers)
	put("long_values", c.longValues)
	put("values_interrupted", c.valuesInterrupted)
	put("values_resumed", c.valuesResumed)
	put("broken_off", c.brokenOff)
	put("answers_unproven", c.answersUnproven)
	put("long_writes", c.longWrites)
	put("long_writes_refused", c.longWritesRefused)
	put("lines_left_out", c.linesLeftOut)
	put("server_conns", c.serverConns)
	put("server_conns_shed", c.serverConnsShed)
	put("pipelined", c.pipelined)
	put("dials_failed", c.dialsFailed)
	put("clients", c.clientsAccepted)
	put("clients_shed", c.clientsShed)
	put("clients_slow", c.clientsSlow)
	put("clients_bad", c.clientsBad)
	put("clients_idle", c.clientsIdle)
	l := n.registry.Counts()
	revision, servers, kept := n.registry.ListStatus()
	put("lists", l.Answers)
	put("lists_bad", n.registry.BadAnswers+c.savedListsBad)
	put("lists_failed", l.Failed)
	put("lists_whole", l.Lists)
	put("list_calls", l.Calls)
	put("list_changes", l.Changes)
	put("list_compacted", l.Compacted)
	put("list_older", l.OlderAnswers)
	put("list_bytes", n.registry.BytesReceived)
	put("entries_bad", l.BadEntries)
	put("entries_left_out", l.LeftOut)
	put("entries_held", l.Held)
	put("reloads", c.reloads)
	put("reloads_bad", c.reloadsFailed)
	put("panics", c.panics)
	put("violations", c.violations)
	put("too_late", c.tooLate)
	put("answers_dropped", c.answersDropped)
	for why := safety.Allowed + 1; why < safety.NumReasons; why++ {
		if c.sendsRefused[why] > 0 {
			put("not_sent_"+why.String(), c.sendsRefused[why])
		}
		if c.violated[why] > 0 {
			put("violated_"+why.String(), c.violated[why])
		}
	}
	for why, count := range c.closings {
		if count > 0 {
			put("closed_"+closeReasonNames[why], count)
		}
	}
	put("now_open", int64(len(n.requests)))
	put("now_clients", int64(len(n.clients.all)))
	put("now_server_conns", int64(n.serverConns))
	put("now_revision", revision)
	put("now_servers", int64(servers))
	put("now_held", int64(kept))
	put("now_sockets", int64(n.loop.OpenSockets()))
	fmt.Fprintf(&b, " late_max=%s", n.loop.MaxTimerDelay)
	return b.String()
}
