package planner

import (
	"fmt"
	"io"
	"log"
	"slices"

	"github.com/hashicorp/memberlist"
)

// membership is the group of planners that know each other through gossip. It is only shown to operators: the leader is
// elected by the leases, see plan.Planner.ElectLeader.
type membership struct{ gossip *memberlist.Memberlist }

// joinGossip starts the gossip. Planners that are not up yet join later.
func joinGossip(cfg Config, logEvent func(event, why string)) (*membership, error) {
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort = cfg.Plan.ID, cfg.Gossip.Addr().String(), int(cfg.Gossip.Port())
	c.AdvertiseAddr, c.AdvertisePort = c.BindAddr, c.BindPort
	c.SecretKey = cfg.GossipKey
	c.Logger = log.New(io.Discard, "", 0)
	c.Events = eventLogger{logEvent}
	l, err := memberlist.Create(c)
	if err != nil {
		return nil, fmt.Errorf("gossip on %s: %w", cfg.Gossip, err)
	}
	m := &membership{l}
	if len(cfg.Join) > 0 {
		go func() {
			if _, err := l.Join(cfg.Join); err != nil {
				logEvent("join_failed", fmt.Sprintf("why=%q", err))
			}
		}()
	}
	return m, nil
}

// eventLogger logs planners that join or leave the gossip.
type eventLogger struct{ logEvent func(event, why string) }

func (e eventLogger) NotifyJoin(n *memberlist.Node)   { e.logEvent("planner_joined", "id="+n.Name) }
func (e eventLogger) NotifyLeave(n *memberlist.Node)  { e.logEvent("planner_left", "id="+n.Name) }
func (e eventLogger) NotifyUpdate(n *memberlist.Node) {}

// ids returns the ids of the healthy planners, sorted.
func (m *membership) ids() (ids []string) {
	if m == nil {
		return nil
	}
	for _, n := range m.gossip.Members() {
		ids = append(ids, n.Name)
	}
	slices.Sort(ids)
	return ids
}

func (m *membership) leave() {
	if m != nil {
		m.gossip.Shutdown()
	}
}
