package plan

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"lapisshelf/policy"
)

const mostKeys = 4 * MostHot // that are counted at once

// Gather counts what a forwarder sees, for its digests. Its size is bounded whatever the traffic.
type Gather struct {
	name     string
	start    int64
	seq      uint64
	since    time.Duration // the last digest
	asked    int
	answered int
	servers  map[string]*Load
	origin   Load
	hot      map[uint32]int
	tenants  map[string]int
	past     map[string]*past // by server
	pastAt   time.Duration    // when past was brought up to date
	before   float64          // answers of all servers that were remembered before the last span
}

// NewGather begins to count for a forwarder that starts now.
func NewGather(now time.Duration, name string) *Gather {
	g := &Gather{name: name, start: int64(now), since: now, past: map[string]*past{}, pastAt: now}
	g.forget()
	return g
}

func (g *Gather) forget() {
	g.asked, g.answered, g.origin = 0, 0, Load{}
	g.servers, g.hot, g.tenants = map[string]*Load{}, map[uint32]int{}, map[string]int{}
}

// Request counts a request that was taken.
func (g *Gather) Request(key, tenant string) {
	g.asked++
	if k := policy.Digest(key); key != "" {
		if _, known := g.hot[k]; !known && len(g.hot) >= mostKeys {
			for other, n := range g.hot { // those asked for once make room, the rest count one less: the frequent stay
				if g.hot[other] = n - 1; n <= 1 {
					delete(g.hot, other)
				}
			}
		} else {
			g.hot[k]++
		}
	}
	if _, known := g.tenants[tenant]; tenant != "" && (known || len(g.tenants) < MostTenants) {
		g.tenants[tenant]++
	}
}

// Attempt counts the end of an attempt. Timely: it was answered well within its aim, or is a write, which takes as long as
// it takes. Own: its end tells nothing of the server.
func (g *Gather) Attempt(server string, origin bool, o policy.Outcome, took time.Duration, timely, own bool) {
	l := &g.origin
	if !origin {
		if l = g.servers[server]; l == nil {
			if len(g.servers) >= MostServers {
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
		at := timeOf(took)
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
			g.answered++
		}
	case o == policy.TimedOut:
		l.Late++
	case o == policy.Full:
		l.Full++
	default:
		l.Failed++
	}
}

// Digest is what was counted since the last one, and begins anew.
func (g *Gather) Digest(now time.Duration) *Digest {
	g.seq++
	d := &Digest{From: g.name, Start: g.start, Seq: g.seq, Span: max(time.Millisecond, min(now-g.since, time.Minute)), Asked: g.asked, Answered: g.answered, Origin: g.origin}
	for _, l := range g.servers {
		d.Servers = append(d.Servers, *l)
	}
	slices.SortFunc(d.Servers, func(x, y Load) int { return strings.Compare(x.ID, y.ID) })
	for k, n := range g.hot {
		d.Hot = append(d.Hot, Heat{Key: k, Asked: n})
	}
	slices.SortFunc(d.Hot, func(x, y Heat) int { return cmp.Or(cmp.Compare(y.Asked, x.Asked), cmp.Compare(x.Key, y.Key)) })
	d.Hot = d.Hot[:min(len(d.Hot), MostHot)]
	for t, n := range g.tenants {
		d.Tenants = append(d.Tenants, Use{Tenant: t, Asked: n})
	}
	slices.SortFunc(d.Tenants, func(x, y Use) int { return strings.Compare(x.Tenant, y.Tenant) })
	g.since = now
	g.remember(now)
	g.forget()
	return d
}
