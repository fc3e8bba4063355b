package plan

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"lapisshelf/policy"
)

const maxCountedKeys = 4 * MaxHotKeys // tracked at once

// Collector counts what a forwarder sees, for its digests. Its size is bounded whatever the traffic.
type Collector struct {
	name          string
	start         int64
	seq           uint64
	spanStart     time.Duration // when the current span began
	requests      int
	readsAnswered int
	servers       map[string]*Load
	origin        Load
	hot           map[uint32]int
	tenants       map[string]int
	history       map[string]*history // by server
	historyAt     time.Duration       // when history was last decayed
	before        float64             // sum of history.before over all servers
}

// NewCollector returns a Collector for a forwarder that starts now.
func NewCollector(now time.Duration, name string) *Collector {
	g := &Collector{name: name, start: int64(now), spanStart: now, history: map[string]*history{}, historyAt: now}
	g.reset()
	return g
}

func (g *Collector) reset() {
	g.requests, g.readsAnswered, g.origin = 0, 0, Load{}
	g.servers, g.hot, g.tenants = map[string]*Load{}, map[uint32]int{}, map[string]int{}
}

// Request counts a request that was taken.
func (g *Collector) Request(key, tenant string) {
	g.requests++
	if k := policy.Digest(key); key != "" {
		if _, known := g.hot[k]; !known && len(g.hot) >= maxCountedKeys {
			for other, n := range g.hot { // frequent-items counting: every tracked key loses one, and those at zero make room
				if g.hot[other] = n - 1; n <= 1 {
					delete(g.hot, other)
				}
			}
		} else {
			g.hot[k]++
		}
	}
	if _, known := g.tenants[tenant]; tenant != "" && (known || len(g.tenants) < MaxTenants) {
		g.tenants[tenant]++
	}
}

// Attempt counts the end of an attempt. timely: it was answered well within its aim, or it is a write, whose latency is not
// judged. own: the outcome says nothing about the server.
func (g *Collector) Attempt(server string, origin bool, o policy.Outcome, took time.Duration, timely, own bool) {
	l := &g.origin
	if !origin {
		if l = g.servers[server]; l == nil {
			if len(g.servers) >= MaxServers {
				return
			}
			l = &Load{ID: server}
			g.servers[server] = l
		}
	}
	l.Sends++
	switch {
	case own || o == policy.Cancelled || o == policy.NotSent:
	case o == policy.OK || o == policy.Miss:
		at := latencyBucket(took)
		for len(l.Times) <= at {
			l.Times = append(l.Times, 0)
		}
		l.Times[at]++
		if timely {
			l.Timely++
		} else {
			l.Late++
		}
		if o == policy.OK {
			g.readsAnswered++
		}
	case o == policy.TimedOut:
		l.Late++
	case o == policy.Full:
		l.Full++
	default:
		l.Failed++
	}
}

// Digest returns the counts since the previous digest, and starts a new span.
func (g *Collector) Digest(now time.Duration) *Digest {
	g.seq++
	d := &Digest{From: g.name, Start: g.start, Seq: g.seq, Span: max(time.Millisecond, min(now-g.spanStart, time.Minute)), Asked: g.requests, Answered: g.readsAnswered, Origin: g.origin}
	for _, l := range g.servers {
		d.Servers = append(d.Servers, *l)
	}
	slices.SortFunc(d.Servers, func(x, y Load) int { return strings.Compare(x.ID, y.ID) })
	for k, n := range g.hot {
		d.Hot = append(d.Hot, Heat{Key: k, Asked: n})
	}
	slices.SortFunc(d.Hot, func(x, y Heat) int { return cmp.Or(cmp.Compare(y.Asked, x.Asked), cmp.Compare(x.Key, y.Key)) })
	d.Hot = d.Hot[:min(len(d.Hot), MaxHotKeys)]
	for t, n := range g.tenants {
		d.Tenants = append(d.Tenants, Use{Tenant: t, Asked: n})
	}
	slices.SortFunc(d.Tenants, func(x, y Use) int { return strings.Compare(x.Tenant, y.Tenant) })
	g.spanStart = now
	g.updateHistory(now)
	g.reset()
	return d
}
