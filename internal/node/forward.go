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

// Planners: internal/forwarder talks to them, this brings their views to the module.

// forward begins to talk to planners, if there are any.
func (n *Node) forward() {
	if n.cfg.Planners == nil {
		return
	}
	n.forwarder = forwarder.New(n.loop, *n.cfg.Planners, n.readyCaches,
		func(v policy.View) { n.guard("view", func() { n.policy.View(n.loop.Now(), v) }) },
		func(event, why string) { log.Printf("event=%s %s", event, why) })
}

// observe counts the end of an attempt for planners.
func (n *Node) observe(t *try, a answer) {
	if n.forwarder != nil {
		took := n.loop.Now() - t.at
		n.forwarder.Attempt(t.pool.id, t.pool.isOrigin(), a.outcome, took, t.call.command.Kind == meta.Set || took <= t.call.class.aim/2, a.kept)
	}
}

// readyCaches are the caches that serve by the list.
func (n *Node) readyCaches() (list []follow.Server) {
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		if p := n.pools[id]; p.ready && !p.isOrigin() {
			list = append(list, follow.Server{ID: id, Weight: p.weight})
		}
	}
	return list
}

// view says what view the node acts on.
func (n *Node) view() control.Reply {
	return control.Reply{Status: 200, Body: []byte(n.forwarder.Status())}
}
