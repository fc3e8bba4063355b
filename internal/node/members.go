package node

import (
	"cmp"
	"log"
	"maps"
	"net/netip"
	"slices"
	"time"

	"lapisshelf/decide/roster"
	"lapisshelf/internal/operator"
	"lapisshelf/internal/registry"
	"lapisshelf/policy"
)

const (
	watchFor    = 5 * time.Second         // how long a watch may wait for news; with it, how long a cut stays unseen
	callGap     = time.Second             // all nodes together begin no more than a watch in so long
	mostWatch   = 60 * time.Second        // the longest that discovery allows
	callFor     = 1500 * time.Millisecond // how long a call may take besides
	readyWithin = 2 * time.Second         // a node that knows a list serves by then, heard or not
	mostList    = 8 << 20                 // bytes of a list
	entriesPer  = 512                     // entries of a list, for each megabyte of memory
	usualGrace  = 400 * time.Millisecond  // for servers that drain, where it is not told
	gracePart   = 4                       // of it, a node without a watch on a pushed list waits so much
)

// followed is the registry's configuration with what follows from the node's own.
func (cfg *Config) followed() registry.Config {
	c := cfg.Registry
	r := &c.Roster
	r.Nodes, r.AskWithin = cfg.Settings.Balancers, cfg.Settings.AskWithin
	r.CallTimeout, r.ImmediateFirstWatch = callFor, true
	if !cfg.Settings.MustSubscribe {
		r.PushedRetryDelay = cmp.Or(cfg.Transport.DrainGrace, usualGrace) / gracePart
	}
	if r.WatchTimeout == 0 {
		r.WatchTimeout = min(mostWatch, max(watchFor, callGap*time.Duration(cfg.Settings.Balancers)))
	}
	if r.MaxEntries == 0 {
		r.MaxEntries = cfg.MemoryMB * entriesPer
	}
	c.MostBody = min(mostList, cfg.MemoryMB<<20/heldPart)
	return c
}

// FleetTooLarge says that the fleet is larger than the calls a second let know of a change before it counts; empty: it is not.
func (cfg *Config) FleetTooLarge() string {
	c := cfg.followed()
	c.Roster.Endpoints = len(c.Endpoints)
	return operator.TooMany(c.Roster, "Balancers", cfg.Settings.Balancers)
}

// follow begins to follow the list, from the one known before.
func (n *Node) follow() {
	n.registry = registry.New(n.loop, n.cfg.followed(), n.cfg.Seed, n.told, n.listNote)
	n.registry.Heard = n.listHeard
	n.registry.Start(n.cfg.SavedList.Revision, n.cfg.SavedList.Entries)
	n.loop.After(readyWithin, n.nowReady)
}

// listHeard notes an answer about the list. The first one, though it may tell of no change, begins the time in which the
// module takes each new start for one that it has seen.
func (n *Node) listHeard() {
	if !n.watched {
		n.watched = true
		n.guard("members", func() { n.policy.Members(n.loop.Now(), policy.ListChanges, nil) })
	}
	n.nowReady()
}

// nowReady lets clients in; a node without any list goes on waiting for one.
func (n *Node) nowReady() {
	if !n.ready && len(n.pools) > 0 {
		n.ready = true
		n.note(nodeReady, nil)
		n.takeClients()
		log.Printf("event=ready servers=%d", len(n.pools))
		if a := n.cfg.Announce; a != nil && !n.leaving {
			n.announcer = registry.NewAnnouncer(n.loop, n.cfg.Registry, a.Key, a.Value, a.TTL, n.cfg.Seed, n.listNote)
			n.announcer.Start()
		}
	}
}

// listNote logs what the follower of the list, or the keeper of the node's own entry, has to say.
func (n *Node) listNote(event, why string) { log.Printf("event=%s %s", event, why) }

// told takes list news.
func (n *Node) told(u roster.Update) {
	kind := policy.ListChanges
	if u.Complete {
		kind = policy.ListComplete
	}
	n.members(kind, u.Entries)
}

// members tells the module of list news and brings the pools in line with it: before, with what may be sent to from
// now on, and after, with what may not, lest the module sends again what ends with a server that it takes for ready.
func (n *Node) members(kind policy.ListKind, entries []roster.Entry) {
	servers := make([]policy.Server, len(entries))
	named := map[string]bool{}
	for i, e := range entries {
		addr, err := netip.ParseAddrPort(e.Addr)
		if err != nil && e.State != policy.Gone {
			log.Printf("event=bad_address server=%s addr=%q", e.ID, e.Addr) // the parsers let none through
			e.State = policy.Gone
		}
		n.pool(e.Server, addr)
		n.listed.add(e.ID)
		n.succession.noteState(e.ID, e.State)
		servers[i], named[e.ID] = e.Server, e.State == policy.Ready
	}
	n.guard("members", func() { n.policy.Members(n.loop.Now(), kind, servers) })
	whole := kind == policy.ListComplete || kind == policy.ListSaved
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		if ready, told := named[id]; told && !ready || !told && whole {
			n.succession.noteState(id, policy.Gone)
			n.pools[id].ready = false
			n.pools[id].leave()
		}
	}
	n.succession.heedLists()
}
