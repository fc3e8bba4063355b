package node

import (
	"hash/maphash"
	"time"
)

const (
	idRetention = 3 * time.Second // about how long an id is remembered
	idsPerMB    = 128             // ids of one generation, per megabyte of the memory limit
)

// idSet remembers recent request ids as hashes, by time and up to a limit.
type idSet struct {
	recentSet
	seed        maphash.Seed
	recentSince time.Duration // start of the recent generation
}

func newIDSet(memoryMB int) idSet {
	return idSet{recentSet: newRecentSet(memoryMB * idsPerMB), seed: maphash.MakeSeed()}
}

func (s *idSet) has(id []byte) bool { return s.recentSet.has(maphash.Bytes(s.seed, id)) }

func (s *idSet) add(id []byte, now time.Duration) {
	if len(s.recent) >= s.limit || now-s.recentSince >= idRetention {
		s.rotate()
		s.recentSince = now
	}
	s.recentSet.add(maphash.Bytes(s.seed, id))
}
