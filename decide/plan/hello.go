package plan

import "time"

// Hello is a digest that tells nothing yet but who speaks; what is counted so far is left for the next Digest. With it a
// forwarder asks a planner that it has just reached what it speaks, in a few bytes.
func (g *Gather) Hello() *Digest {
	g.seq++
	return &Digest{From: g.name, Start: g.start, Seq: g.seq, Span: time.Millisecond}
}
