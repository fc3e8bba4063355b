package node

import (
	"slices"

	"lapisshelf/internal/handover"
)

// What this process takes over from the states of the node's other processes.

// adoptPeerState takes over the operators' overrides that other processes hold or held before they ended, and drains and newer lists
// of running ones.
func (s *succession) adoptPeerState() {
	n, now, overridden := s.node, s.node.loop.Now(), false
	for _, p := range slices.Concat(s.member.Ended(), s.member.Peers()) {
		for _, h := range p.Overrides {
			n.everListed.add(h.ID)
			n.guard("hand", func() { n.policy.Override(now, h) })
			overridden = true
		}
		for _, id := range p.List.Listed {
			n.everListed.add(id)
		}
		n.everListed.adopt(p.List.Departed, p.List.DepartedMore)
	}
	if overridden {
		n.applyOverrides()
	}
	for _, p := range s.member.Peers() { // draining applies to the whole node, but ends with the process that got the call
		if p.LameDuck.Version > n.drainVersion {
			n.setDraining(p.LameDuck.On, p.LameDuck.Version, maxDrainNewsAge)
		}
	}
	s.adoptPeerLists()
}

// adoptPeerLists drains servers that are leaving by the list of another process if that list is newer than this process's own.
func (s *succession) adoptPeerLists() {
	n := s.node
	if n.registry == nil {
		return
	}
	own := s.listSource()
	own.Revision, _, _ = n.registry.ListStatus()
	for _, p := range s.peers() {
		if !newer(p.List, own) {
			continue
		}
		for _, id := range p.List.Leaving {
			if pool := n.pools[id]; pool != nil && pool.ready {
				n.guard("drains", func() { n.policy.MarkDraining(n.loop.Now(), id) })
				pool.ready = false
				pool.drain()
			}
		}
	}
}

// newer reports whether list l is newer than this process's own. Guards against comparing revisions of different registries, if
// discovery was moved between the starts of two processes: servers that are ready by the own list would never get attempts.
func newer(l, own handover.ServerList) bool {
	return l.Revision > own.Revision && (l.Source == "" || own.Source == "" || l.Source == own.Source)
}

// listSource returns a list with only its Source set: the registry that this process follows.
func (s *succession) listSource() (l handover.ServerList) {
	r := &s.node.cfg.Registry
	for _, e := range r.Endpoints {
		l.Source += e.String() + " "
	}
	l.Source += r.Prefix
	return l
}
