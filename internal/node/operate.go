package node

import (
	"fmt"
	"log"
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
	var err error
	n.control, err = control.Listen(n.loop, n.cfg.Control, []control.Route{
		{Method: "GET", Path: "/_ready", Do: func(string) control.Reply { return n.readiness() }},
		{Method: "GET", Path: "/_vars", Do: func(string) control.Reply { return n.vars() }},
		{Method: "POST", Path: "/_lameduck/on", Do: func(string) control.Reply { return n.lameduck(true) }},
		{Method: "POST", Path: "/_lameduck/off", Do: func(string) control.Reply { return n.lameduck(false) }},
	})
	if err != nil {
		return fmt.Errorf("listen on control address %s: %w", n.cfg.Control, err)
	}
	return nil
}

// readiness says whether this process takes clients.
func (n *Node) readiness() control.Reply {
	switch {
	case n.leaving:
		return control.Say(503, "leaving")
	case !n.ready:
		return control.Say(503, "starting")
	case n.lame:
		return control.Say(200, "ready, draining")
	}
	return control.Say(200, "ready")
}

// lameduck begins and ends a drain; a second call of a kind changes nothing.
func (n *Node) lameduck(on bool) control.Reply {
	switch {
	case n.leaving && !on:
		return control.Say(409, "the process is ending")
	case on && !n.lame:
		n.lame, n.lameUntil = true, n.loop.Now()+lameAll
		log.Printf("event=lameduck on=true open=%d clients=%d", len(n.calls), len(n.clients.all))
		n.clients.drain()
	case !on && n.lame:
		n.lame = false
		log.Printf("event=lameduck on=false open=%d clients=%d", len(n.calls), len(n.clients.all))
		n.clients.resume()
	}
	if n.lame {
		return control.Say(200, "draining")
	}
	return control.Say(200, "taking clients")
}
