package planner

import (
	"fmt"
	"io"
	"log"
	"slices"

	"github.com/hashicorp/memberlist"
)

// members are the planners that hear of each other. The one of the lowest id leads; forwarders don't depend on it.
type members struct{ gossip *memberlist.Memberlist }

// join begins to gossip. Planners that are not there yet join later.
func join(cfg Config, note func(event, why string)) (*members, error) {
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort = cfg.Plan.ID, cfg.Gossip.Addr().String(), int(cfg.Gossip.Port())
	c.AdvertiseAddr, c.AdvertisePort = c.BindAddr, c.BindPort
	c.SecretKey = cfg.GossipKey
	c.Logger = log.New(io.Discard, "", 0)
	c.Events = events{note}
	l, err := memberlist.Create(c)
	if err != nil {
		return nil, fmt.Errorf("gossip on %s: %w", cfg.Gossip, err)
	}
	m := &members{l}
	if len(cfg.Join) > 0 {
		go func() {
			if _, err := l.Join(cfg.Join); err != nil {
				note("join_failed", fmt.Sprintf("why=%q", err))
			}
		}()
	}
	return m, nil
}

type events struct{ note func(event, why string) }

func (e events) NotifyJoin(n *memberlist.Node)   { e.note("planner_joined", "id="+n.Name) }
func (e events) NotifyLeave(n *memberlist.Node)  { e.note("planner_left", "id="+n.Name) }
func (e events) NotifyUpdate(n *memberlist.Node) {}

// list gives the ids of those that are healthy, the leader first.
func (m *members) list() (ids []string) {
	if m == nil {
		return nil
	}
	for _, n := range m.gossip.Members() {
		ids = append(ids, n.Name)
	}
	slices.Sort(ids)
	return ids
}

func (m *members) leave() {
	if m != nil {
		m.gossip.Shutdown()
	}
}
