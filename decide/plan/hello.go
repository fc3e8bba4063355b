package plan

import "time"

// Hello returns a digest that carries only the sender's identity; the counts collected so far stay for the next Digest.
// A forwarder sends it to a planner that it has just connected to, to learn in a few bytes which protocol it speaks.
func (g *Collector) Hello() *Digest {
	g.seq++
	return &Digest{From: g.name, Start: g.start, Seq: g.seq, Span: time.Millisecond}
}

// MaxGrantTransit is the longest time that a grant may be in transit. A planner counts a grant as outstanding for this long
// beyond its validity, which counts from arrival; a forwarder discards grants that may have been in transit for longer.
const MaxGrantTransit = maxTransit
