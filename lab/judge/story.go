package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lapisshelf/lab/seen"
)

type line struct {
	at   time.Duration
	text string
}

// story is all that was seen of a wish and its tries, in order, with the list news about a server.
func (c *court) story(arrival int, server string) []string {
	var all []line
	add := func(at time.Duration, format string, args ...any) {
		all = append(all, line{at, fmt.Sprintf(format, args...)})
	}
	nodes := map[[2]int]bool{}
	for _, t := range c.wishes[arrival] {
		nodes[[2]int{t.Node, t.Generation}] = true
		what := "read"
		if t.Write {
			what = "write"
		}
		add(t.DueAt, "client: try %d, %s of %s, class %s, as %s, due at node %d", t.Number+1, what, t.Key, t.Class, t.ID, t.Node+1)
		if t.SentAt > 0 {
			add(t.SentAt, "client: %s sent; it waits until %v", t.ID, round(t.WaitsUntil))
		}
		if t.ConnectFailed {
			add(t.SentAt, "client: %s could not reach the node", t.ID)
		}
		if t.Resent {
			add(t.SentAt, "client: %s went out once more, as its first connection ended with nothing said", t.ID)
		}
		if t.Answer != seen.None {
			add(t.AnsweredAt, "client: %s is answered %q (%v)", t.ID, t.AnswerLine, t.Answer)
		}
		if t.ConnEndedAt > 0 {
			add(t.ConnEndedAt, "client: the connection of %s ended without a whole answer", t.ID)
		}
		if t.LeftAt > 0 {
			add(t.LeftAt, "client: goes away from %s", t.ID)
		}
		if t.ExtraLine != "" {
			add(max(t.AnsweredAt, t.ConnEndedAt), "client: beyond the answer of %s came %q", t.ID, t.ExtraLine)
		}
		for _, a := range c.attempts[t.ID] {
			add(a.FirstByteAt, "%s: the first byte of %s comes, connection %d, cold %t", a.Server, a.Request, a.Conn, a.Cold)
			if a.LastByteAt > 0 {
				add(a.LastByteAt, "%s: %s is there whole; the node waits %v; work %v", a.Server, a.Request, a.RemainingTime, round(a.Work))
			}
			if a.AnsweredAt > 0 {
				add(a.AnsweredAt, "%s: answers %s with %v %s", a.Server, a.Request, a.Answer, a.Receipt)
			}
			if a.ClosedAt > 0 {
				add(a.ClosedAt, "%s: the node gives up %s", a.Server, a.Request)
			}
		}
		for _, e := range c.rec.Effects {
			if e.Request == t.ID {
				add(e.At, "origin: %s takes effect, receipt %s", e.Request, e.Receipt)
			}
		}
	}
	if server != "" {
		for _, n := range c.rec.ListUpdates {
			if !nodes[[2]int{n.Node, n.Generation}] {
				continue
			}
			for _, m := range n.Members {
				if m.ID == server {
					add(n.At, "list: node %d is told, revision %d: %s is %s, started %v", n.Node+1, n.Revision, m.ID,
						[...]string{"serving", "draining", "gone"}[m.Phase], round(m.Started))
				}
			}
		}
		for _, s := range c.rec.ServerStarts {
			if s.Server == server {
				add(s.At, "%s (%s): starts, cold %t", s.Server, s.Name, s.Cold)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	text := make([]string, len(all))
	for i, l := range all {
		text[i] = fmt.Sprintf("%11.6f s  %s", l.at.Seconds(), l.text)
	}
	return text
}

func round(d time.Duration) time.Duration { return d.Round(time.Microsecond) }
