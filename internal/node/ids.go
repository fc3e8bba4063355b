package node

import (
	"hash/maphash"
	"time"
)

const (
	idsFor    = 3 * time.Second // about how long an id is remembered
	idsEachMB = 128             // how many of a generation for each megabyte of memory

	listedEachMB = 32 // servers ever listed that are remembered, for each megabyte of memory
)

// ids remembers what requests were called lately, in two generations: neither grows beyond its bound nor is made anew.
type ids struct {
	seed   maphash.Seed
	most   int
	recent map[uint64]struct{}
	older  map[uint64]struct{}
	begun  time.Duration // the recent generation
}

func newIDs(memoryMB int) ids {
	return ids{seed: maphash.MakeSeed(), most: max(1, memoryMB*idsEachMB),
		recent: map[uint64]struct{}{}, older: map[uint64]struct{}{}}
}

func (s *ids) has(id []byte) bool {
	h := maphash.Bytes(s.seed, id)
	_, recent := s.recent[h]
	_, older := s.older[h]
	return recent || older
}

func (s *ids) add(id []byte, now time.Duration) {
	if len(s.recent) >= s.most || now-s.begun >= idsFor {
		clear(s.older)
		s.recent, s.older, s.begun = s.older, s.recent, now
	}
	s.recent[maphash.Bytes(s.seed, id)] = struct{}{}
}

// listed remembers which servers have ever been in the list, the latest so many.
type listed struct {
	most  int
	known map[string]bool
	order []string // oldest first
}

func newListed(memoryMB int) listed {
	return listed{most: max(1, memoryMB*listedEachMB), known: map[string]bool{}}
}

func (s *listed) add(id string) {
	if s.known[id] {
		return
	}
	for len(s.order) >= s.most {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
	}
	s.known[id] = true
	s.order = append(s.order, id)
}
