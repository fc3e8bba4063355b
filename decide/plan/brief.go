package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A brief digest names few servers, however many there are. Those whose answers the node's middle does not explain by chance
// are told whole. Of the others that answered badly in its span the bad answers are told, at most of mostBad servers; all else
// is a sum, which the planner spreads over the servers by their parts. Keys are not asked for alike, and a server that is asked
// more has more bad answers: beside them stands what part of the node's answers were its before the span, on which the span's
// bad ones do not depend. Where a node sent to few servers in the span, all are
// told whole and there is no rest.

const (
	maxBadOnly       = 16              // servers in Digest.Bad; as many servers are told whole, if there are no others
	pastScale        = 10              // of an answer, in which what is remembered is told
	maxBriefKeys     = 16              // keys in a brief digest
	collectorDecay   = 3 * time.Second // in which what was seen of a server fades; it stays named for so long
	minUsualBad      = 0.02            // part of a server's answers that is ordinary anywhere
	outlierMargin    = badMargin / 2   // beyond the middle by that part, a server is an exception; half of what planners act on
	outlierLogChance = 6.9             // -log of the chance, one in a thousand, under which a deviation is no chance
	minKeyRequests   = 3.0             // times that a key was asked for in a span, below which it says nothing
	briefKeyLoad     = hotMinLoad / 2  // of a cache's mean load at this node that a key must bring
)

// past is what was seen of a server, fading.
type history struct {
	answers, bad float64
	before       float64       // answers, before the last span
	outlierUntil time.Duration // it is told whole until then
}

// worst is how many bad answers it had of late beyond what is usual at the node; of a server that is not remembered, nothing.
func (p *history) excessBad(usual float64) float64 {
	if p == nil {
		return 0
	}
	return p.bad - usual*p.answers
}

// remember adds the span to what is remembered and finds the exceptions.
func (g *Collector) updateHistory(now time.Duration) {
	decay := math.Exp(-float64(max(0, now-g.historyAt)) / float64(collectorDecay))
	g.historyAt = now
	for id, p := range g.history {
		p.answers *= decay
		p.before = p.answers
		if p.bad *= decay; p.answers < 0.05 && g.servers[id] == nil && p.outlierUntil < now {
			delete(g.history, id)
		}
	}
	for id, l := range g.servers {
		p := g.history[id]
		if p == nil {
			if len(g.history) >= MaxServers {
				continue
			}
			p = &history{}
			g.history[id] = p
		}
		p.answers += float64(l.answers())
		p.bad += float64(l.bad())
	}
	g.before = 0
	list := make([]*history, 0, len(g.history))
	for _, id := range slices.Sorted(maps.Keys(g.history)) { // sums of the same figures are the same to the last bit
		p := g.history[id]
		g.before += p.before
		list = append(list, p)
	}
	usual := usualBadShare(list)
	for _, p := range list {
		if isOutlier(p.bad, p.answers, usual) {
			p.outlierUntil = now + collectorDecay
		}
	}
}

// turn is a number for a server, another one in each digest and at each node.
func (g *Collector) tieBreak(id string) uint64 {
	x := (xxhash.Sum64String(id) ^ xxhash.Sum64String(g.name)) + g.seq*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// usualOf is the part of bad answers in the better half of the servers: rather too little, so that rather too many are named.
func usualBadShare(list []*history) float64 {
	list = slices.DeleteFunc(slices.Clone(list), func(p *history) bool { return p.answers <= 0 })
	slices.SortStableFunc(list, func(x, y *history) int { return cmp.Compare(x.bad*y.answers, y.bad*x.answers) })
	bad, answers := 0.0, 0.0
	for _, p := range list[:(len(list)+1)/2] {
		bad += p.bad
		answers += p.answers
	}
	return min(1, max(minUsualBad, bad/max(1, answers)))
}

// stands reports whether so many bad answers of all are an exception where usual is the ordinary part: by Chernoff's bound of
// the binomial tail.
func isOutlier(bad, answers, usual float64) bool {
	if answers <= 0 || usual >= 1 {
		return false
	}
	part := min(1, bad/answers)
	if part <= usual+outlierMargin {
		return false
	}
	divergence := part * math.Log(part/usual)
	if part < 1 {
		divergence += (1 - part) * math.Log((1-part)/(1-usual))
	}
	return answers*divergence > outlierLogChance
}

// Brief gives in brief what the last Digest gave.
func (g *Collector) Brief(d *Digest) *Digest {
	b := *d
	b.Brief, b.Servers = true, nil
	if len(d.Servers) <= maxBadOnly {
		b.Servers = d.Servers
	} else {
		g.summarize(&b, d)
	}
	if len(d.Hot) > maxBriefKeys {
		minRequests := max(minKeyRequests, briefKeyLoad*float64(d.Asked)/float64(max(1, len(g.history))))
		b.Hot = d.Hot[:maxBriefKeys] // most first
		for i, h := range b.Hot {
			if float64(h.Asked) < minRequests {
				b.Hot = b.Hot[:i]
				break
			}
		}
	}
	return &b
}

// inTenths is a count as it is told.
func scaledPast(n float64) int { return int(math.Round(min(n, MaxCount/pastScale) * pastScale)) }

// reduce sorts the servers of d into those that are told whole, those of which bad answers are told, and the rest.
func (g *Collector) summarize(b, d *Digest) {
	var bad []*Load
	sumBad, sumAll := 0.0, 0.0 // remembered
	b.Past = scaledPast(g.before)
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
		if p := g.history[l.ID]; p != nil && p.outlierUntil >= g.historyAt {
			b.Servers = append(b.Servers, *l)
			continue
		}
		if p := g.history[l.ID]; p != nil {
			sumBad, sumAll = sumBad+p.bad, sumAll+p.answers
		}
		if sum(l); l.bad() > 0 {
			bad = append(bad, l)
		}
	}
	usual := sumBad / max(1, sumAll)
	// Guards against servers that seem worse than others since their names come first: which of those that are alike are told
	// is another choice each time.
	slices.SortFunc(bad, func(x, y *Load) int {
		return cmp.Or(cmp.Compare(g.history[y.ID].excessBad(usual), g.history[x.ID].excessBad(usual)), cmp.Compare(g.tieBreak(x.ID), g.tieBreak(y.ID)))
	})
	for i, l := range bad {
		if i < maxBadOnly {
			known := 0.0
			if p := g.history[l.ID]; p != nil {
				known = p.before
			}
			b.Bad = append(b.Bad, Load{ID: l.ID, Sends: scaledPast(known), Late: l.Late, Full: l.Full, Failed: l.Failed})
			continue
		}
		b.Rest.Late += l.Late
		b.Rest.Full += l.Full
		b.Rest.Failed += l.Failed
	}
	slices.SortFunc(b.Bad, func(x, y Load) int { return cmp.Compare(x.ID, y.ID) })
}
