// Package starts determines when servers started, on the local clock. A server list reports start times by the wall clock of the
// server's machine or of the list, which may be off by any amount; the local observations of the list bound them. The package is
// pure: the caller passes the time.
package starts

import "time"

// MaxDeparted bounds the servers off the list whose start times are remembered. It is more than the servers of the largest fleet.
const MaxDeparted = 4096

// startTimes holds a server's start time as the list reported it and as it counts locally.
type startTimes struct {
	reported time.Duration
	local    time.Duration
}

// History remembers the observed start times. The zero History has observed nothing.
type History struct {
	watched  bool
	departed map[string]startTimes
	order    []string // ids in departed, oldest first
}

// MarkWatched records that a list has been received: later changes are observed as they happen.
func (h *History) MarkWatched() { h.watched = true }

// StartTime returns the local start time of a server whose start the list reports for the first time, or with a new value. If the
// list was watched before, that is the time of the report, otherwise the reported time, but no later than now. A server that left
// and returns with the same reported start has not been restarted. 0 means long ago. Guards against a server clock behind the local
// one, which would make a cold server count as warm when it joins, and one ahead, which would keep it cold.
func (h *History) StartTime(now time.Duration, id string, reported time.Duration) time.Duration {
	if reported == 0 {
		return 0
	}
	if s, known := h.departed[id]; known && s.reported == reported {
		return s.local
	}
	if h.watched {
		return now
	}
	return min(reported, now)
}

// RecordDeparture remembers the start times of a server that leaves the list.
func (h *History) RecordDeparture(id string, reported, local time.Duration) {
	if h.departed == nil {
		h.departed = map[string]startTimes{}
	}
	if _, known := h.departed[id]; !known {
		h.order = append(h.order, id)
	}
	h.departed[id] = startTimes{reported, local}
	if len(h.order) > MaxDeparted {
		delete(h.departed, h.order[0])
		h.order = h.order[1:]
	}
}
