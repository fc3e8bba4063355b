package node

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lapisshelf/decide/roster"
	"lapisshelf/policy"
)

const (
	// departedPerMB is how many servers that have left the list a generation remembers, per megabyte of the memory limit. Two
	// generations take about 1% of the limit: 16,384 ids and 340 KB at 32 MB, 98,304 ids and 2 MB at 192 MB.
	departedPerMB = 256
	// maxSharedDeparted is how many of them other processes of the node are told of. It is more than the servers of the largest fleet.
	maxSharedDeparted = 4096
)

// listedServers knows the servers that the list names, and as hashes those that have left it, up to a limit.
type listedServers struct {
	current  map[string]bool
	departed recentSet
	shared   []byte // what other processes are told of departed; nil if that has changed
}

func newListedServers(memoryMB int) listedServers {
	return listedServers{current: map[string]bool{}, departed: newRecentSet(memoryMB * departedPerMB)}
}

// update applies a list, or a change of it.
func (s *listedServers) update(complete bool, entries []roster.Entry) {
	previous := s.current
	if complete {
		s.current = make(map[string]bool, len(entries))
	}
	for _, e := range entries {
		if e.State != policy.Gone {
			s.current[e.ID] = true
		} else if previous[e.ID] {
			delete(s.current, e.ID)
			s.add(e.ID)
		}
	}
	if complete {
		for id := range previous {
			if !s.current[id] {
				s.add(id)
			}
		}
	}
}

// add remembers a server that was listed once.
func (s *listedServers) add(id string) { s.addHash(xxhash.Sum64String(id)) }

func (s *listedServers) addHash(hash uint64) {
	s.departed.add(hash)
	s.shared = nil
}

// known reports whether a server is listed, or was and has not been forgotten.
func (s *listedServers) known(id string) bool {
	return s.current[id] || s.departed.has(xxhash.Sum64String(id))
}

// share returns what other processes of the node are told: the hashes of servers that have left the list, the latest generation first, of
// 8 bytes each, and whether there are, or were, more.
func (s *listedServers) share() (hashes []byte, more bool) {
	recent, older := s.departed.recent, s.departed.older
	if s.shared == nil {
		latest := append(slices.Sorted(maps.Keys(recent)), slices.Sorted(maps.Keys(older))...)
		s.shared = []byte{}
		for _, hash := range latest[:min(len(latest), maxSharedDeparted)] {
			s.shared = binary.BigEndian.AppendUint64(s.shared, hash)
		}
	}
	return s.shared, s.departed.forgot || len(recent)+len(older) > maxSharedDeparted
}

// adopt adds what another process of the node has told.
func (s *listedServers) adopt(hashes []byte, more bool) {
	for ; len(hashes) >= 8; hashes = hashes[8:] {
		if hash := binary.BigEndian.Uint64(hashes); !s.departed.has(hash) {
			s.addHash(hash)
		}
	}
	s.departed.forgot = s.departed.forgot || more
}
