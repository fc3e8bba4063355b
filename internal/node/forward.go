package node

import (
	"log"
	"maps"
	"slices"

	"lapisshelf/decide/follow"
	"lapisshelf/internal/control"
	"lapisshelf/internal/forwarder"
	"lapisshelf/internal/meta"
	"lapisshelf/policy"
)

// Planners: internal/forwarder communicates with them, and this file passes their views to the policy.

// startForwarder starts to communicate with planners, if there are any.
func (n *Node) startForwarder() {
	if n.cfg.Planners == nil {
		return
	}
	n.forwarder = forwarder.New(n.loop, *n.cfg.Planners, n.readyCaches,
		func(v policy.View) { n.guard("view", func() { n.policy.View(n.loop.Now(), v) }) },
		func(event, why string) { log.Printf("event=%s %s", event, why) })
}

// reportAttempt reports the end of an attempt to the planners.
func (n *Node) reportAttempt(t *attempt, a response) {
	if n.forwarder != nil {
		took := n.loop.Now() - t.startedAt
		n.forwarder.Attempt(t.pool.id, t.pool.isOrigin(), a.outcome, took, t.request.command.Kind == meta.Set || took <= t.request.class.aim/2, a.reusedConn)
	}
}

// readyCaches returns the caches that are ready by the server list.
func (n *Node) readyCaches() (list []follow.Server) {
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		if p := n.pools[id]; p.ready && !p.isOrigin() {
			list = append(list, follow.Server{ID: id, Weight: p.weight})
		}
	}
	return list
}

// viewStatus returns the state of the view that the node follows, for an operator.
func (n *Node) viewStatus() control.Reply {
	return control.Reply{Status: 200, Body: []byte(n.forwarder.Status())}
}
