package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lapisshelf/lab/seen"
)

type timelineEntry struct {
	at   time.Duration
	text string
}

// timeline returns everything observed of an arrival and its tries, in order, with the server list updates about a server
// unless that is empty.
func (c *evaluation) timeline(arrival int, server string) []string {
	var entries []timelineEntry
	add := func(at time.Duration, format string, args ...any) {
		entries = append(entries, timelineEntry{at, fmt.Sprintf(format, args...)})
	}
	processes := map[[2]int]bool{}
	for _, t := range c.triesByArrival[arrival] {
		processes[[2]int{t.Node, t.Generation}] = true
		operation := "read"
		if t.Write {
			operation = "write"
		}
		add(t.DueAt, "client: try %d, %s of %s, class %s, as %s, due at node %d", t.Number+1, operation, t.Key, t.Class, t.ID, t.Node+1)
		if t.SentAt > 0 {
			add(t.SentAt, "client: %s sent; it waits until %v", t.ID, roundToMicros(t.WaitsUntil))
		}
		if t.ConnectFailed {
			add(t.SentAt, "client: %s could not reach the node", t.ID)
		}
		if t.Resent {
			add(t.SentAt, "client: %s is sent once more, as its first connection ended without an answer", t.ID)
		}
		if t.Answer != seen.None {
			add(t.AnsweredAt, "client: %s is answered %q (%v)", t.ID, t.AnswerLine, t.Answer)
		}
		if t.ConnEndedAt > 0 {
			add(t.ConnEndedAt, "client: the connection of %s ended without a complete answer", t.ID)
		}
		if t.LeftAt > 0 {
			add(t.LeftAt, "client: disconnects from %s", t.ID)
		}
		if t.ExtraLine != "" {
			add(max(t.AnsweredAt, t.ConnEndedAt), "client: after the answer to %s, received %q", t.ID, t.ExtraLine)
		}
		for _, a := range c.attempts[t.ID] {
			add(a.FirstByteAt, "%s: the first byte of %s arrives, connection %d, cold %t", a.Server, a.Request, a.Conn, a.Cold)
			if a.LastByteAt > 0 {
				add(a.LastByteAt, "%s: %s is received; the node waits %v; work %v", a.Server, a.Request, a.RemainingTime, roundToMicros(a.Work))
			}
			if a.AnsweredAt > 0 {
				add(a.AnsweredAt, "%s: answers %s with %v %s", a.Server, a.Request, a.Answer, a.Receipt)
			}
			if a.ClosedAt > 0 {
				add(a.ClosedAt, "%s: the node abandons %s", a.Server, a.Request)
			}
		}
		for _, e := range c.record.Effects {
			if e.Request == t.ID {
				add(e.At, "origin: %s takes effect, receipt %s", e.Request, e.Receipt)
			}
		}
	}
	if server != "" {
		for _, n := range c.record.ListUpdates {
			if !processes[[2]int{n.Node, n.Generation}] {
				continue
			}
			for _, m := range n.Members {
				if m.ID == server {
					add(n.At, "list: node %d is notified, revision %d: %s is %s, started %v", n.Node+1, n.Revision, m.ID,
						[...]string{"serving", "draining", "gone"}[m.Phase], roundToMicros(m.Started))
				}
			}
		}
		for _, s := range c.record.ServerStarts {
			if s.Server == server {
				add(s.At, "%s (%s): starts, cold %t", s.Server, s.Name, s.Cold)
			}
		}
	}
	slices.SortStableFunc(entries, func(a, b timelineEntry) int { return cmp.Compare(a.at, b.at) })
	text := make([]string, len(entries))
	for i, l := range entries {
		text[i] = fmt.Sprintf("%11.6f s  %s", l.at.Seconds(), l.text)
	}
	return text
}

func roundToMicros(d time.Duration) time.Duration { return d.Round(time.Microsecond) }
