package node

import (
	"log"
	"slices"

	decide "lapisshelf/decide/handover"
	"lapisshelf/internal/handover"
	"lapisshelf/policy"
)

// What this process publishes for the other processes of the node.

// publish publishes the state of this process. Overrides, drains and what settles which process serves are published at once.
// Frequently changing values are published at most every publishInterval; otherwise two processes would trigger each other endlessly.
func (s *succession) publish(self decide.Process) {
	n := s.node
	state := s.member.Self()
	previous := state
	// Guards against rewriting the file every 50 ms, on the event loop, for a number that no other process uses. If the directory is
	// on a busy disk, one such write took up to 0.15 s.
	openFDs := self.OpenFDs
	if self.OpenFDs = previous.Process.OpenFDs; self != previous.Process {
		self.OpenFDs = openFDs
	}
	state.Process, state.Overrides, state.List = self, n.policy.Overrides(), s.publishedList()
	state.LameDuck = handover.LameDuck{On: n.draining, Version: n.drainVersion}
	if now := n.loop.Now(); s.member.PublishErr() == nil && now-s.publishedAt < publishInterval && self.Stage == previous.Process.Stage && self.SettledFor == previous.Process.SettledFor &&
		slices.Equal(state.Overrides, previous.Overrides) && state.LameDuck == previous.LameDuck && slices.Equal(state.List.Leaving, previous.List.Leaving) {
		return
	} else {
		s.publishedAt = now
	}
	s.handlePublishResult(s.member.Publish(state))
}

// handlePublishResult schedules another attempt, with exponential backoff, if the state could not be written.
func (s *succession) handlePublishResult(err error) {
	if err == nil {
		if s.retryDelay > 0 {
			log.Printf("event=handover_saved")
		}
		s.retryDelay = 0
		s.retryTimer.Stop()
		s.retryTimer = nil
		return
	}
	if s.retryDelay == 0 {
		log.Printf("event=handover_failed why=%q", err)
	}
	if s.retryTimer != nil {
		return // already scheduled
	}
	s.retryDelay = min(max(2*s.retryDelay, minRetryDelay), maxRetryDelay)
	s.retryTimer = s.node.loop.After(s.retryDelay, func() {
		s.retryTimer = nil
		s.update()
	})
}

// saveError returns why the operators' overrides would be lost with this process. It is nil if they are saved, or if there is no state
// directory to save them in.
func (s *succession) saveError() error {
	if s.member == nil {
		return s.joinErr
	}
	return s.member.PublishErr()
}

// publishedList returns what other processes need to know about this process's list.
func (s *succession) publishedList() (l handover.ServerList) {
	n := s.node
	if n.registry == nil {
		return l
	}
	l = s.listSource()
	l.Revision, _, _ = n.registry.ListStatus()
	now := n.loop.Now()
	for id, at := range s.departed {
		if now-at > departedTTL {
			delete(s.departed, id)
		} else {
			l.Leaving = append(l.Leaving, id)
		}
	}
	slices.Sort(l.Leaving)
	l.Departed, l.DepartedMore = n.everListed.share()
	return l
}

// recordServerState records whether a server is draining or gone by the list.
func (s *succession) recordServerState(id string, state policy.State) {
	if state == policy.Ready {
		delete(s.departed, id)
	} else if _, known := s.departed[id]; !known && len(s.departed) < maxDeparted {
		s.departed[id] = s.node.loop.Now()
	}
}
