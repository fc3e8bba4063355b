package node

import (
	"log"
	"time"
)

// maxRequestLines is how many lines a second are logged of single requests, answers and connections, whose number others choose.
const maxRequestLines = 50

// eventLog limits the lines that are logged of single requests.
type eventLog struct {
	second     time.Duration // start of the running second
	lines      int           // logged in it
	suppressed int           // left out in it
}

// logRequest logs a line about a single request, answer or connection, unless too many were logged in this second.
func (n *Node) logRequest(format string, args ...any) {
	e := &n.eventLog
	if now := n.loop.Now(); now-e.second >= time.Second {
		if e.suppressed > 0 {
			log.Printf("event=lines_left_out count=%d", e.suppressed)
		}
		*e = eventLog{second: now}
	}
	if e.lines >= maxRequestLines {
		e.suppressed++
		n.count.linesLeftOut++
		return
	}
	e.lines++
	log.Printf(format, args...)
}
