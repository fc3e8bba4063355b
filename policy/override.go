package policy

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Operators ban servers and lift bans through this process of the node or another one. The latest override of a server is in
// force. Overrides are ordered by Override.At, a version that each new one raises, so clocks of other processes do not matter.

// maxLifted bounds the number of lifted bans that are kept. They do not expire with time: a process that was suspended, or a file
// that could not be removed, may still report the ban that was lifted.
const maxLifted = 256

// Ban stops all new attempts at a server, whatever its listed state, until the ban is lifted.
func (b *Balancer) Ban(now time.Duration, id string, on bool) {
	b.Override(now, Override{ID: id, Banned: on, At: max(now, b.overrides[id].At+1)})
}

// Override applies an operator's decision if it is newer than the known one. Lifting a ban clears the failures and the reduced
// limit recorded for the server. The server then counts as started at the time when this process is notified, unless it was seen
// to start after the ban, because a ban usually serves to restart a server. Since and Back of an override from another
// process are on that process's clock, so only whether they are set is used.
func (b *Balancer) Override(now time.Duration, h Override) {
	b.now = now
	known, exists := b.overrides[h.ID]
	if exists && h.At <= known.At {
		return
	}
	next := Override{ID: h.ID, Banned: h.Banned, At: h.At, Since: known.Since, Back: known.Back}
	switch {
	case h.Banned:
		next.Since = now
	case known.Banned:
		next.Back = now
	case !exists && h.Since > 0: // a ban that this process was never notified of
		next.Since, next.Back = now, now
	}
	b.overrides[h.ID] = next
	b.evictLifted()
	if s := b.servers[h.ID]; s != nil && !h.Banned {
		s.failures, s.skipUntil, s.late, s.limit, s.overloaded = 0, 0, decayingCount{}, max(s.limit, initialLimit), false
	}
	b.reindex()
	b.rerouteHeld()
}

// evictLifted removes the oldest lifted ban when more than maxLifted are kept.
func (b *Balancer) evictLifted() {
	var oldest Override
	lifted := 0
	for _, h := range b.overrides {
		if h.Banned {
			continue
		}
		if lifted++; lifted == 1 || h.At < oldest.At || h.At == oldest.At && h.ID < oldest.ID {
			oldest = h
		}
	}
	if lifted > maxLifted {
		delete(b.overrides, oldest.ID)
	}
}

// Overrides returns the overrides in force and the lifted bans that are kept, sorted by server id.
func (b *Balancer) Overrides() []Override {
	return slices.SortedFunc(maps.Values(b.overrides), func(x, y Override) int { return strings.Compare(x.ID, y.ID) })
}

// startedAt returns when a server counts as started: at its observed start or, if later, when its last ban was lifted.
func (h Override) startedAt(s *server) time.Duration {
	if s.startTime > h.Since {
		return s.startTime
	}
	return max(s.startTime, cmp.Or(h.Back, s.startTime))
}
