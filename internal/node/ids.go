package node

import (
	"hash/maphash"
	"time"
)

const (
	idRetention = 3 * time.Second // about how long an id is remembered
	idsPerMB    = 128             // ids of one generation, per megabyte of the memory limit

	listedPerMB = 32 // remembered servers, per megabyte of the memory limit
)

// idSet remembers recent request ids as hashes, in two generations of limited size whose maps are reused.
type idSet struct {
	seed        maphash.Seed
	limit       int
	recent      map[uint64]struct{}
	older       map[uint64]struct{}
	recentSince time.Duration // start of the recent generation
}

func newIDSet(memoryMB int) idSet {
	return idSet{seed: maphash.MakeSeed(), limit: max(1, memoryMB*idsPerMB),
		recent: map[uint64]struct{}{}, older: map[uint64]struct{}{}}
}

func (s *idSet) has(id []byte) bool {
	h := maphash.Bytes(s.seed, id)
	_, recent := s.recent[h]
	_, older := s.older[h]
	return recent || older
}

func (s *idSet) add(id []byte, now time.Duration) {
	if len(s.recent) >= s.limit || now-s.recentSince >= idRetention {
		clear(s.older)
		s.recent, s.older, s.recentSince = s.older, s.recent, now
	}
	s.recent[maphash.Bytes(s.seed, id)] = struct{}{}
}

// serverHistory remembers the servers that were ever listed, up to a limit; the oldest are dropped first.
type serverHistory struct {
	limit int
	known map[string]bool
	order []string // oldest first
}

func newServerHistory(memoryMB int) serverHistory {
	return serverHistory{limit: max(1, memoryMB*listedPerMB), known: map[string]bool{}}
}

func (s *serverHistory) add(id string) {
	if s.known[id] {
		return
	}
	for len(s.order) >= s.limit {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
	}
	s.known[id] = true
	s.order = append(s.order, id)
}
