package world

import (
	"encoding/binary"
	"math"

	"golang.org/x/crypto/blake2b"
)

// Top is the member that the shared ranking puts first for a key: the highest weighted score over id, a zero byte and
// key, of those that serve. It is the design's formula written a second time, so that what a fleet holds at a run's start
// does not hang on the code that is tried. It returns -1 where nobody serves.
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
