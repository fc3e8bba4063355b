package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The size of a brief digest does not grow with the number of servers. Servers whose share of bad answers is a statistical
// outlier at this node are reported in full. Of the others that answered badly in the span, the bad answers are reported,
// for at most maxBadOnly servers. Everything else is a sum, which the planner spreads over the servers by the share of
// requests that each receives. Keys differ in popularity, and a server that receives more requests has more bad answers.
// Its past number of answers is therefore reported along with the bad ones: it is from before the span, so it is
// independent of the bad answers in the span. A node that sent to few servers in the span reports all of them in full, and
// Rest is empty.

const (
	maxBadOnly       = 16              // servers in Digest.Bad; a node that used no more servers than that reports all in full
	pastScale        = 10              // units per answer in Digest.Past and in the Sends of Digest.Bad
	maxBriefKeys     = 16              // keys in a brief digest
	collectorDecay   = 3 * time.Second // time constant of the history's decay, and how long an outlier is reported in full
	minUsualBad      = 0.02            // share of bad answers that is ordinary at any server
	outlierMargin    = badMargin / 2   // above the usual share by this much a server is an outlier; half of the margin that planners act on
	outlierLogChance = 6.9             // -ln of the probability, 1 in 1000, below which a deviation is not put down to chance
	minKeyRequests   = 3.0             // requests in a span below which a key is not significant
	briefKeyLoad     = hotMinLoad / 2  // least load of a reported key, in a cache's mean load at this node
)

// history holds a server's exponentially decayed counts.
type history struct {
	answers, bad float64
	before       float64       // answers up to the start of the last span
	outlierUntil time.Duration // reported in full until then
}

// excessBad returns how many recent bad answers exceed the node's usual share; 0 for a server with no history.
func (p *history) excessBad(usual float64) float64 {
	if p == nil {
		return 0
	}
	return p.bad - usual*p.answers
}

// updateHistory adds the current span to the history and marks the outliers.
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
	for _, id := range slices.Sorted(maps.Keys(g.history)) { // a fixed order of summation gives the same result to the last bit
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

// tieBreak returns a hash of a server's id that differs from digest to digest and from node to node.
func (g *Collector) tieBreak(id string) uint64 {
	x := (xxhash.Sum64String(id) ^ xxhash.Sum64String(g.name)) + g.seq*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// usualBadShare returns the share of bad answers in the better half of the servers. It errs on the low side, so that
// rather too many servers are reported than too few.
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

// isOutlier reports whether so many bad answers are significantly above the usual share, by the Chernoff bound of the
// binomial tail.
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

// Brief returns a brief form of d, which must be the latest result of Digest.
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
		b.Hot = d.Hot[:maxBriefKeys] // sorted by descending count
		for i, h := range b.Hot {
			if float64(h.Asked) < minRequests {
				b.Hot = b.Hot[:i]
				break
			}
		}
	}
	return &b
}

// scaledPast returns a past number of answers in the unit of the message, tenths.
func scaledPast(n float64) int { return int(math.Round(min(n, MaxCount/pastScale) * pastScale)) }

// summarize divides the servers of d into those reported in full, those of which bad answers are reported, and the rest.
func (g *Collector) summarize(b, d *Digest) {
	var bad []*Load
	sumBad, sumAll := 0.0, 0.0 // decayed sums from the history
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
	// Equal servers are reported in a different order each time: a fixed order by id would make the first ones look worse
	// than the others.
	slices.SortFunc(bad, func(x, y *Load) int {
		return cmp.Or(cmp.Compare(g.history[y.ID].excessBad(usual), g.history[x.ID].excessBad(usual)), cmp.Compare(g.tieBreak(x.ID), g.tieBreak(y.ID)))
	})
	for i, l := range bad {
		if i < maxBadOnly {
			pastAnswers := 0.0
			if p := g.history[l.ID]; p != nil {
				pastAnswers = p.before
			}
			b.Bad = append(b.Bad, Load{ID: l.ID, Sends: scaledPast(pastAnswers), Late: l.Late, Full: l.Full, Failed: l.Failed})
			continue
		}
		b.Rest.Late += l.Late
		b.Rest.Full += l.Full
		b.Rest.Failed += l.Failed
	}
	slices.SortFunc(b.Bad, func(x, y Load) int { return cmp.Compare(x.ID, y.ID) })
}
