package world

import (
	"encoding/binary"
	"math"

	"golang.org/x/crypto/blake2b"
)

// TopRanked returns the index of the serving member with the highest weighted rendezvous score for a key, or -1 if none
// serves. The score is a hash of the ID, a zero byte and the key. This is a second implementation of the balancer's
// formula, so that the cache contents at the start of a run do not depend on the code under test.
func TopRanked(key string, members []Member) int {
	best, top := 0.0, -1
	for i, m := range members {
		if m.Phase != Serving || m.Weight <= 0 {
			continue
		}
		h, err := blake2b.New(8, nil)
		if err != nil {
			return -1
		}
		h.Write([]byte(m.ID))
		h.Write([]byte{0})
		h.Write([]byte(key))
		u := (float64(binary.BigEndian.Uint64(h.Sum(nil))>>12) + 0.5) / (1 << 52)
		score := -m.Weight / math.Log(u)
		if top < 0 || score > best || score == best && m.ID > members[top].ID {
			best, top = score, i
		}
	}
	return top
}
