package node

import (
	"fmt"
	"log"
	"maps"
	"slices"
	"time"

	"lapisshelf/internal/control"
)

// The operators' calls: internal/control says who may call, this says what a call does.

const (
	// lameAll is how long after the call a drained node still may hold a client's connection with nothing open, or with a
	// request from the last lameYoung. What is taken so late is answered by then, but has lameLeast.
	lameAll   = 3500 * time.Millisecond
	lameYoung = 2 * time.Second
	lameLeast = 50 * time.Millisecond
)

// operate opens the second address, if there is one.
func (n *Node) operate() error {
	if !n.cfg.Control.IsValid() {
		return nil
	}
	routes := []control.Route{
		{Method: "GET", Path: "/_ready", Handler: func(string) control.Reply { return n.readiness() }},
		{Method: "GET", Path: "/_vars", Handler: func(string) control.Reply { return n.vars() }},
		{Method: "GET", Path: "/_flight", Handler: func(string) control.Reply { return n.flightRecords() }},
		{Method: "GET", Path: "/_view", Handler: func(string) control.Reply { return n.viewStatus() }},
		{Method: "POST", Path: "/_cache-servers/detach/", Handler: func(id string) control.Reply { return n.ban(id, true) }},
		{Method: "POST", Path: "/_cache-servers/attach/", Handler: func(id string) control.Reply { return n.ban(id, false) }},
		{Method: "POST", Path: "/_lameduck/on", Handler: func(string) control.Reply { return n.lameduck(true) }},
		{Method: "POST", Path: "/_lameduck/off", Handler: func(string) control.Reply { return n.lameduck(false) }},
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

// readiness says whether this process takes clients.
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

// banned reports whether a server is banned by hand, listed or not.
func (n *Node) banned(id string) bool { return n.bans[id] }

// ban has a server get nothing more, or lifts that. It is in force when the call is answered.
func (n *Node) ban(id string, on bool) control.Reply {
	if !n.everListed.known[id] && !n.bans[id] {
		return control.TextReply(404, "no cache server of this id was ever listed")
	}
	n.succession.look() // the word that this one replaces may be another process's
	n.guard("ban", func() { n.policy.Ban(n.loop.Now(), id, on) })
	n.hands()
	n.succession.settle() // it is made known before the call is answered
	log.Printf("event=ban server=%s on=%t", id, on)
	done := "may serve"
	if on {
		done = "banned"
	}
	if err := n.succession.unsaved(); err != nil {
		// Guards against a ban that is told as done and is gone with the process.
		log.Printf("event=ban_unsaved server=%s on=%t why=%q", id, on, err)
		return control.TextReply(503, done+" by this process; not saved for the next one yet, which is tried again")
	}
	return control.TextReply(200, done)
}

// hands brings the pools in line with what the module has been told by hand.
func (n *Node) hands() {
	clear(n.bans)
	for _, h := range n.policy.Overrides() {
		n.bans[h.ID] = h.Banned
	}
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		p := n.pools[id]
		if was := p.banned; was != n.bans[id] {
			if p.banned = n.bans[id]; p.banned {
				p.leave()
			}
		}
	}
}

// drained has the node drain, or take clients again, as said to this process or, so long ago at most, to another of the node.
// The version orders what was said; it is no time of this process.
func (n *Node) drained(on bool, version, ago time.Duration) {
	was := n.draining
	n.drainVersion = version
	if n.shuttingDown || on == was {
		return
	}
	n.draining = on
	n.recordTransition(nodeDrainChanged, nil)
	log.Printf("event=lameduck on=%t open=%d clients=%d", on, len(n.requests), len(n.clients.all))
	if on {
		n.drainDeadline = n.loop.Now() - ago + lameAll
		n.clients.drain(false)
	} else {
		n.clients.stopDrain()
	}
}

// lameduck begins and ends a drain; a second call of a kind changes nothing.
func (n *Node) lameduck(on bool) control.Reply {
	switch {
	case n.shuttingDown && !on:
		return control.TextReply(409, "the process is ending")
	default:
		n.succession.look()
		n.drained(on, max(n.loop.Now(), n.drainVersion+1), 0)
		n.succession.settle()
	}
	if n.draining {
		return control.TextReply(200, "draining")
	}
	return control.TextReply(200, "taking clients")
}
