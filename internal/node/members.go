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
	minWatchTimeout    = 5 * time.Second         // also how long a broken watch connection may go unnoticed in a small fleet
	fleetWatchInterval = time.Second             // minimum mean interval between the watches that all nodes together start
	maxWatchTimeout    = 60 * time.Second        // maximum that discovery allows
	callTimeout        = 1500 * time.Millisecond // of a call to the registry, in addition to the wait of a watch
	readyTimeout       = 2 * time.Second         // a node with a saved list starts serving by then even if the registry is silent
	maxListBytes       = 8 << 20                 // of an answer with the server list
	maxEntriesPerMB    = 512                     // list entries for each megabyte of the memory limit
	defaultDrainGrace  = 400 * time.Millisecond  // of draining servers, if the settings have none
	drainGraceDivisor  = 4                       // retry delay without a watch on a pushed list, as a fraction of the drain grace
)

// registryConfig returns the registry configuration completed with what follows from the node's settings and limits.
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
	c.MaxBodyBytes = min(maxListBytes, cfg.MemoryMB<<20/heldMemoryDivisor)
	return c
}

// FleetTooLarge explains that the fleet is too large for the registry's call rate: a change would count before all nodes can have
// learned of it. It returns "" if the fleet is not too large.
func (cfg *Config) FleetTooLarge() string {
	c := cfg.registryConfig()
	c.Roster.Endpoints = len(c.Endpoints)
	return operator.FleetSizeWarning(c.Roster, "Balancers", cfg.Settings.Balancers)
}

// followList starts following the server list, beginning with the saved one.
func (n *Node) followList() {
	n.registry = registry.New(n.loop, n.cfg.registryConfig(), n.cfg.Seed, n.onListUpdate, n.logRegistryEvent)
	n.registry.OnAnswer = n.onListAnswer
	n.registry.Start(n.cfg.SavedList.Revision, n.cfg.SavedList.Entries)
	n.loop.After(readyTimeout, n.becomeReady)
}

// onListAnswer handles any answer of the registry. The first one, even without a change, starts the period in which the policy
// treats every server that becomes ready as one whose start it has observed.
func (n *Node) onListAnswer() {
	if !n.listReceived {
		n.listReceived = true
		n.guard("members", func() { n.policy.Members(n.loop.Now(), policy.ListChanges, nil) })
	}
	n.becomeReady()
}

// becomeReady accepts clients and announces the node. A node without any list continues to wait for one.
func (n *Node) becomeReady() {
	if !n.ready && len(n.pools) > 0 {
		n.ready = true
		n.recordTransition(nodeReady, nil)
		n.acceptClients()
		log.Printf("event=ready servers=%d", len(n.pools))
		if a := n.cfg.Announce; a != nil && !n.shuttingDown {
			n.announcer = registry.NewAnnouncer(n.loop, n.cfg.Registry, a.Key, a.Value, a.TTL, n.cfg.Seed, n.logRegistryEvent)
			n.announcer.Start()
		}
	}
}

// logRegistryEvent logs an event of the list follower, the announcer or the handover between processes.
func (n *Node) logRegistryEvent(event, why string) { log.Printf("event=%s %s", event, why) }

// onListUpdate applies a list or a change from the registry.
func (n *Node) onListUpdate(u roster.Update) {
	kind := policy.ListChanges
	if u.Complete {
		kind = policy.ListComplete
	}
	n.applyList(kind, u.Entries)
}

// applyList updates the policy and the pools according to a list or a change. Pools of ready servers are updated before the policy
// is notified, those of unavailable servers are drained after it: draining ends attempts, which the policy could otherwise retry at
// a server that it still considers ready.
func (n *Node) applyList(kind policy.ListKind, entries []roster.Entry) {
	servers := make([]policy.Server, len(entries))
	readyByID := map[string]bool{}
	for i, e := range entries {
		addr, err := netip.ParseAddrPort(e.Addr)
		if err != nil && e.State != policy.Gone {
			log.Printf("event=bad_address server=%s addr=%q", e.ID, e.Addr) // should not happen: the list parsers reject such entries
			e.State = policy.Gone
		}
		n.updatePool(e.Server, addr)
		n.succession.recordServerState(e.ID, e.State)
		servers[i], readyByID[e.ID] = e.Server, e.State == policy.Ready
	}
	complete := kind == policy.ListComplete || kind == policy.ListSaved
	n.everListed.update(complete, entries)
	n.guard("members", func() { n.policy.Members(n.loop.Now(), kind, servers) })
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		if ready, listed := readyByID[id]; listed && !ready || !listed && complete {
			n.succession.recordServerState(id, policy.Gone)
			n.pools[id].ready = false
			n.pools[id].drain()
		}
	}
	n.succession.adoptPeerLists()
}
