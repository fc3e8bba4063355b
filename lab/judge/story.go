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
		nodes[[2]int{t.Node, t.Life}] = true
		what := "read"
		if t.Write {
			what = "write"
		}
		add(t.Planned, "client: try %d, %s of %s, class %s, as %s, due at node %d", t.N+1, what, t.Key, t.Class, t.ID, t.Node+1)
		if t.Sent > 0 {
			add(t.Sent, "client: %s sent; it waits until %v", t.ID, round(t.Until))
		}
		if t.Nowhere {
			add(t.Sent, "client: %s could not reach the node", t.ID)
		}
		if t.Unread {
			add(t.Sent, "client: %s went out once more, as its first connection ended with nothing said", t.ID)
		}
		if t.Answer != seen.None {
			add(t.At, "client: %s is answered %q (%v)", t.ID, t.Line, t.Answer)
		}
		if t.Ended > 0 {
			add(t.Ended, "client: the connection of %s ended without a whole answer", t.ID)
		}
		if t.Left > 0 {
			add(t.Left, "client: goes away from %s", t.ID)
		}
		if t.Extra != "" {
			add(max(t.At, t.Ended), "client: beyond the answer of %s came %q", t.ID, t.Extra)
		}
		for _, a := range c.attempts[t.ID] {
			add(a.First, "%s: the first byte of %s comes, connection %d, cold %t", a.Server, a.Request, a.Conn, a.Cold)
			if a.Last > 0 {
				add(a.Last, "%s: %s is there whole; the node waits %v; work %v", a.Server, a.Request, a.Wait, round(a.Work))
			}
			if a.Answered > 0 {
				add(a.Answered, "%s: answers %s with %v %s", a.Server, a.Request, a.Said, a.Receipt)
			}
			if a.Closed > 0 {
				add(a.Closed, "%s: the node gives up %s", a.Server, a.Request)
			}
		}
		for _, e := range c.rec.Effects {
			if e.Request == t.ID {
				add(e.At, "origin: %s takes effect, receipt %s", e.Request, e.Receipt)
			}
		}
	}
	if server != "" {
		for _, n := range c.rec.Told {
			if !nodes[[2]int{n.Node, n.Life}] {
				continue
			}
			for _, m := range n.Members {
				if m.ID == server {
					add(n.At, "list: node %d is told, revision %d: %s is %s, started %v", n.Node+1, n.Revision, m.ID,
						[...]string{"serving", "draining", "gone"}[m.Phase], round(m.Started))
				}
			}
		}
		for _, s := range c.rec.Starts {
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
