package plan

import "time"

// Hello is a digest that tells nothing yet but who speaks; what is counted so far is left for the next Digest. With it a
// forwarder asks a planner that it has just reached what it speaks, in a few bytes.
func (g *Collector) Hello() *Digest {
	g.seq++
	return &Digest{From: g.name, Start: g.start, Seq: g.seq, Span: time.Millisecond}
}

// MostTravel is for how long a grant may be on its way. A planner counts a grant as running for so long beyond its validity,
// which counts from when it comes; a forwarder takes none that may have been longer.
const MaxGrantTransit = maxTransit
