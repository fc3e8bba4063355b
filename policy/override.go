package policy

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Overrides: what operators said of servers by hand, to this process of the node or to another. The latest word holds. Words
// are ordered by Hand.At, a version that each new word raises; no clock of another process decides anything.

// mostLifted bounds the lifted overrides that are kept. They are not forgotten by time: a process that was stopped, or a file
// that could not be removed, may still tell of the ban that was lifted.
const maxLifted = 256

// Ban has a server get nothing more, whatever the list says of it, until the ban is lifted.
func (b *Balancer) Ban(now time.Duration, id string, on bool) {
	b.Override(now, Override{ID: id, Banned: on, At: max(now, b.overrides[id].At+1)})
}

// Override takes an override. Whoever lifts a ban vouches for the server: what was held against it is void. It counts as started
// as the call back is heard, unless it was seen to start since the ban: it was banned to be restarted. Since and Back of a
// word that another process took are of that one's clock and count for whether they are set alone.
func (b *Balancer) Override(now time.Duration, h Override) {
	b.now = now
	known, is := b.overrides[h.ID]
	if is && h.At <= known.At {
		return
	}
	next := Override{ID: h.ID, Banned: h.Banned, At: h.At, Since: known.Since, Back: known.Back}
	switch {
	case h.Banned:
		next.Since = now
	case known.Banned:
		next.Back = now
	case !is && h.Since > 0: // a ban of which this process never heard
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

// boundLifted forgets the oldest of too many lifted overrides.
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

// Hands gives the overrides that still count, by id.
func (b *Balancer) Hands() []Override {
	return slices.SortedFunc(maps.Values(b.overrides), func(x, y Override) int { return strings.Compare(x.ID, y.ID) })
}

// startedAt is when a server counts as started: when it was seen to, or when a ban was lifted since.
func (h Override) startedAt(s *server) time.Duration {
	if s.startTime > h.Since {
		return s.startTime
	}
	return max(s.startTime, cmp.Or(h.Back, s.startTime))
}
