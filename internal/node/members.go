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
	minWatchTimeout    = 5 * time.Second         // how long a watch may wait for news; with it, how long a cut stays unseen
	fleetWatchInterval = time.Second             // all nodes together begin no more than a watch in so long
	maxWatchTimeout    = 60 * time.Second        // the longest that discovery allows
	callTimeout        = 1500 * time.Millisecond // how long a call may take besides
	readyTimeout       = 2 * time.Second         // a node that knows a list serves by then, heard or not
	maxListBytes       = 8 << 20                 // bytes of a list
	maxEntriesPerMB    = 512                     // entries of a list, for each megabyte of memory
	defaultDrainGrace  = 400 * time.Millisecond  // for servers that drain, where it is not told
	drainGraceDivisor  = 4                       // of it, a node without a watch on a pushed list waits so much
)

// registryConfig is the registry's configuration with what follows from the node's own.
func (cfg *Config) registryConfig() registry.Config {
	c := cfg.Registry
	r := &c.Roster
	r.Nodes, r.AskWithin = cfg.Settings.Balancers, cfg.Settings.AskWithin
	r.CallTimeout, r.ImmediateFirstWatch = callTimeout, true
	if !cfg.Settings.MustSubscribe {
		r.PushedRetryDelay = cmp.Or(cfg.Transport.DrainGrace, defaultDrainGrace) / drainGraceDivisor
	}
	if r.WatchTimeout == 0 {
		r.WatchTimeout = min(maxWatchTimeout, max(minWatchTimeout, fleetWatchInterval*time.Duration(cfg.Settings.Balancers)))
	}
	if r.MaxEntries == 0 {
		r.MaxEntries = cfg.MemoryMB * maxEntriesPerMB
	}
	c.MostBody = min(maxListBytes, cfg.MemoryMB<<20/heldPart)
	return c
}

// FleetTooLarge says that the fleet is larger than the calls a second let know of a change before it counts; empty: it is not.
func (cfg *Config) FleetTooLarge() string {
	c := cfg.registryConfig()
	c.Roster.Endpoints = len(c.Endpoints)
	return operator.TooMany(c.Roster, "Balancers", cfg.Settings.Balancers)
}

// followList begins to follow the list, from the one known before.
func (n *Node) followList() {
	n.registry = registry.New(n.loop, n.cfg.registryConfig(), n.cfg.Seed, n.onListUpdate, n.logRegistryEvent)
	n.registry.Heard = n.onListAnswer
	n.registry.Start(n.cfg.SavedList.Revision, n.cfg.SavedList.Entries)
	n.loop.After(readyTimeout, n.becomeReady)
}

// onListAnswer notes an answer about the list. The first one, though it may tell of no change, begins the time in which the
// module takes each new start for one that it has seen.
func (n *Node) onListAnswer() {
	if !n.watched {
		n.watched = true
		n.guard("members", func() { n.policy.Members(n.loop.Now(), policy.ListChanges, nil) })
	}
	n.becomeReady()
}

// becomeReady lets clients in; a node without any list goes on waiting for one.
func (n *Node) becomeReady() {
	if !n.ready && len(n.pools) > 0 {
		n.ready = true
		n.note(nodeReady, nil)
		n.acceptClients()
		log.Printf("event=ready servers=%d", len(n.pools))
		if a := n.cfg.Announce; a != nil && !n.leaving {
			n.announcer = registry.NewAnnouncer(n.loop, n.cfg.Registry, a.Key, a.Value, a.TTL, n.cfg.Seed, n.logRegistryEvent)
			n.announcer.Start()
		}
	}
}

// logRegistryEvent logs what the follower of the list, or the keeper of the node's own entry, has to say.
func (n *Node) logRegistryEvent(event, why string) { log.Printf("event=%s %s", event, why) }

// onListUpdate takes list news.
func (n *Node) onListUpdate(u roster.Update) {
	kind := policy.ListChanges
	if u.Complete {
		kind = policy.ListComplete
	}
	n.applyList(kind, u.Entries)
}

// applyList tells the module of list news and brings the pools in line with it: before, with what may be sent to from
// now on, and after, with what may not, lest the module sends again what ends with a server that it takes for ready.
func (n *Node) applyList(kind policy.ListKind, entries []roster.Entry) {
	servers := make([]policy.Server, len(entries))
	readyByID := map[string]bool{}
	for i, e := range entries {
		addr, err := netip.ParseAddrPort(e.Addr)
		if err != nil && e.State != policy.Gone {
			log.Printf("event=bad_address server=%s addr=%q", e.ID, e.Addr) // the parsers let none through
			e.State = policy.Gone
		}
		n.updatePool(e.Server, addr)
		n.listed.add(e.ID)
		n.succession.recordServerState(e.ID, e.State)
		servers[i], readyByID[e.ID] = e.Server, e.State == policy.Ready
	}
	n.guard("members", func() { n.policy.Members(n.loop.Now(), kind, servers) })
	complete := kind == policy.ListComplete || kind == policy.ListSaved
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		if ready, listed := readyByID[id]; listed && !ready || !listed && complete {
			n.succession.recordServerState(id, policy.Gone)
			n.pools[id].ready = false
			n.pools[id].drain()
		}
	}
	n.succession.adoptPeerLists()
}
