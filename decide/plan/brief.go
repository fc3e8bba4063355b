package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A brief digest names few servers, however many there are. Those whose answers the node's middle does not explain by chance
// are told whole. Of the others that answered badly in its span the bad answers are told, at most of mostBad servers; all else
// is a sum, which the planner spreads over the servers by their parts. Where a node sent to few servers in the span, all are
// told whole and there is no rest.

const (
	mostBad    = 16              // servers in Digest.Bad; as many servers are told whole, if there are no others
	mostHotBy  = 16              // keys in a brief digest
	gatherSpan = 3 * time.Second // in which what was seen of a server fades; it stays named for so long
	leastBad   = 0.02            // part of a server's answers that is ordinary anywhere
	standsOut  = worse / 2       // beyond the middle by that part, a server is an exception; half of what planners act on
	rarely     = 6.9             // -log of the chance, one in a thousand, under which a deviation is no chance
	hotFew     = 3.0             // times that a key was asked for in a span, below which it says nothing
	hotPart    = hotLeast / 2    // of a cache's mean load at this node that a key must bring
)

// past is what was seen of a server, fading.
type past struct {
	answers, bad float64
	until        time.Duration // it is told whole until then
}

// worst tells how badly it answered of late; of a server that is not remembered, nothing.
func (p *past) worst() float64 {
	if p == nil {
		return 0
	}
	return p.bad
}

// remember adds the span to what is remembered and finds the exceptions.
func (g *Gather) remember(now time.Duration) {
	left := math.Exp(-float64(max(0, now-g.pastAt)) / float64(gatherSpan))
	g.pastAt = now
	for id, p := range g.past {
		p.answers *= left
		if p.bad *= left; p.answers < 0.05 && g.servers[id] == nil && p.until < now {
			delete(g.past, id)
		}
	}
	for id, l := range g.servers {
		p := g.past[id]
		if p == nil {
			if len(g.past) >= MostServers {
				continue
			}
			p = &past{}
			g.past[id] = p
		}
		p.answers += float64(l.answers())
		p.bad += float64(l.bad())
	}
	usual := g.usual()
	for _, p := range g.past {
		if stands(p.bad, p.answers, usual) {
			p.until = now + gatherSpan
		}
	}
}

// usual is the part of bad answers in the better half of the servers: rather too little, so that rather too many are named.
func (g *Gather) usual() float64 {
	list := make([]*past, 0, len(g.past))
	for _, p := range g.past {
		if p.answers > 0 {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(x, y *past) int { return cmp.Compare(x.bad*y.answers, y.bad*x.answers) })
	bad, answers := 0.0, 0.0
	for _, p := range list[:(len(list)+1)/2] {
		bad += p.bad
		answers += p.answers
	}
	return min(1, max(leastBad, bad/max(1, answers)))
}

// stands reports whether so many bad answers of all are an exception where usual is the ordinary part: by Chernoff's bound of
// the binomial tail.
func stands(bad, answers, usual float64) bool {
	if answers <= 0 || usual >= 1 {
		return false
	}
	part := min(1, bad/answers)
	if part <= usual+standsOut {
		return false
	}
	far := part * math.Log(part/usual)
	if part < 1 {
		far += (1 - part) * math.Log((1-part)/(1-usual))
	}
	return answers*far > rarely
}

// Brief gives in brief what the last Digest gave.
func (g *Gather) Brief(d *Digest) *Digest {
	b := *d
	b.Brief, b.Servers = true, nil
	if len(d.Servers) <= mostBad {
		b.Servers = d.Servers
	} else {
		g.reduce(&b, d)
	}
	if len(d.Hot) > mostHotBy {
		least := max(hotFew, hotPart*float64(d.Asked)/float64(max(1, len(g.past))))
		b.Hot = d.Hot[:mostHotBy] // most first
		for i, h := range b.Hot {
			if float64(h.Asked) < least {
				b.Hot = b.Hot[:i]
				break
			}
		}
	}
	return &b
}

// reduce sorts the servers of d into those that are told whole, those of which bad answers are told, and the rest.
func (g *Gather) reduce(b, d *Digest) {
	var bad []*Load
	sum := func(l *Load) {
		b.Rest.Sends += l.Sends
		b.Rest.Timely += l.Timely
		for i, n := range l.Times {
			if i == len(b.Rest.Times) {
				b.Rest.Times = append(b.Rest.Times, 0)
			}
			b.Rest.Times[i] += n
		}
	}
	for i := range d.Servers {
		l := &d.Servers[i]
		if p := g.past[l.ID]; p != nil && p.until >= g.pastAt {
			b.Servers = append(b.Servers, *l)
			continue
		}
		if sum(l); l.bad() > 0 {
			bad = append(bad, l)
		}
	}
	// Guards against servers that seem worse than others since their names come first: which of those that are alike are told
	// is another choice each time.
	turn := func(l *Load) uint64 { return xxhash.Sum64String(l.ID) * (2*d.Seq + 1) }
	slices.SortFunc(bad, func(x, y *Load) int {
		return cmp.Or(cmp.Compare(g.past[y.ID].worst(), g.past[x.ID].worst()), cmp.Compare(turn(x), turn(y)))
	})
	for i, l := range bad {
		if i < mostBad {
			b.Bad = append(b.Bad, Load{ID: l.ID, Late: l.Late, Full: l.Full, Failed: l.Failed})
			continue
		}
		b.Rest.Late += l.Late
		b.Rest.Full += l.Full
		b.Rest.Failed += l.Failed
	}
	slices.SortFunc(b.Bad, func(x, y Load) int { return cmp.Compare(x.ID, y.ID) })
}
