package node

import (
	"fmt"
	"log"
	"maps"
	"slices"
	"time"

	"lapisshelf/internal/control"
)

// The control address for operators. Package internal/control handles connections and routing; this file implements the calls.

const (
	// drainIdleTimeout is how long after the call a draining node may keep a client's connection without an open request, or with
	// one that is younger than drainRequestAge. Requests accepted in the last drainRequestAge before that must end by then, but
	// get at least drainMinWait.
	drainIdleTimeout = 3500 * time.Millisecond
	drainRequestAge  = 2 * time.Second
	drainMinWait     = 50 * time.Millisecond
)

// listenControl listens on the control address, if there is one.
func (n *Node) listenControl() error {
	if !n.cfg.Control.IsValid() {
		return nil
	}
	routes := []control.Route{
		{Method: "GET", Path: "/_ready", Handler: func(string) control.Reply { return n.readiness() }},
		{Method: "GET", Path: "/_vars", Handler: func(string) control.Reply { return n.metrics() }},
		{Method: "GET", Path: "/_flight", Handler: func(string) control.Reply { return n.flightRecords() }},
		{Method: "GET", Path: "/_view", Handler: func(string) control.Reply { return n.viewStatus() }},
		{Method: "POST", Path: "/_cache-servers/detach/", Handler: func(id string) control.Reply { return n.setBan(id, true) }},
		{Method: "POST", Path: "/_cache-servers/attach/", Handler: func(id string) control.Reply { return n.setBan(id, false) }},
		{Method: "POST", Path: "/_lameduck/on", Handler: func(string) control.Reply { return n.setLameduck(true) }},
		{Method: "POST", Path: "/_lameduck/off", Handler: func(string) control.Reply { return n.setLameduck(false) }},
	}
	err := retryListen(func() (err error) {
		n.control, err = control.Listen(n.loop, n.cfg.Control, routes)
		return err
	})
	if err != nil {
		return fmt.Errorf("listen on control address %s: %w", n.cfg.Control, err)
	}
	return nil
}

// readiness reports whether this process accepts clients.
func (n *Node) readiness() control.Reply {
	switch {
	case n.shuttingDown:
		return control.TextReply(503, "leaving")
	case !n.ready || n.clients.listener == nil:
		return control.TextReply(503, "starting")
	case n.draining:
		return control.TextReply(200, "ready, draining")
	}
	return control.TextReply(200, "ready")
}

// isBanned reports whether an operator has banned a server, listed or not.
func (n *Node) isBanned(id string) bool { return n.bans[id] }

// knowsServer reports whether a server is listed, was listed as far as that is remembered, or has been banned.
func (n *Node) knowsServer(id string) bool {
	_, overridden := n.bans[id]
	return overridden || n.pools[id] != nil || n.everListed.known(id)
}

// unknownServer says what is certain of a server that is not known.
func (n *Node) unknownServer() string {
	if n.everListed.departed.forgot {
		return "no cache server of this id is listed, or was among those that left the list last; earlier ones are not remembered"
	}
	return "no cache server of this id was ever listed"
}

// setBan bans a server from getting attempts, or lifts a ban. The change is in force when the call is answered.
func (n *Node) setBan(id string, on bool) control.Reply {
	if !n.knowsServer(id) {
		return control.TextReply(404, n.unknownServer())
	}
	n.succession.refreshPeers() // another process may hold a later override of this server
	n.guard("ban", func() { n.policy.Ban(n.loop.Now(), id, on) })
	n.applyOverrides()
	n.succession.update() // publishes the ban before the call is answered
	log.Printf("event=ban server=%s on=%t", id, on)
	result := "may serve"
	if on {
		result = "banned"
	}
	if err := n.succession.saveError(); err != nil {
		// Guards against reporting a ban as done that would be lost with the process.
		log.Printf("event=ban_unsaved server=%s on=%t why=%q", id, on, err)
		return control.TextReply(503, result+" by this process; not saved for the next one yet, which is tried again")
	}
	return control.TextReply(200, result)
}

// applyOverrides updates the pools according to the operators' overrides that the policy holds.
func (n *Node) applyOverrides() {
	clear(n.bans)
	for _, h := range n.policy.Overrides() {
		n.bans[h.ID] = h.Banned
	}
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		p := n.pools[id]
		if wasBanned := p.banned; wasBanned != n.bans[id] {
			if p.banned = n.bans[id]; p.banned {
				p.drain()
			}
		}
	}
}

// setDraining starts or ends draining of the node, as an operator told this process or another process of the node, then at most age
// ago. version orders these calls across processes; it is not a time of this process's clock.
func (n *Node) setDraining(on bool, version, age time.Duration) {
	was := n.draining
	n.drainVersion = version
	if n.shuttingDown || on == was {
		return
	}
	n.draining = on
	n.recordTransition(nodeDrainChanged, nil)
	log.Printf("event=lameduck on=%t open=%d clients=%d", on, len(n.requests), len(n.clients.all))
	if on {
		n.drainDeadline = n.loop.Now() - age + drainIdleTimeout
		n.clients.drain(false)
	} else {
		n.clients.stopDrain()
	}
}

// setLameduck handles an operator's call to start or end draining. Repeating a call changes nothing.
func (n *Node) setLameduck(on bool) control.Reply {
	switch {
	case n.shuttingDown && !on:
		return control.TextReply(409, "the process is ending")
	default:
		n.succession.refreshPeers()
		n.setDraining(on, max(n.loop.Now(), n.drainVersion+1), 0)
		n.succession.update()
	}
	if n.draining {
		return control.TextReply(200, "draining")
	}
	return control.TextReply(200, "taking clients")
}
