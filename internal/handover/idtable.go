package handover

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	bucketSlots = 8  // ids that a bucket holds
	noSlot      = -1 // no slot of a table
)

// IDTable remembers the ids of requests that may run or have run, for a limited time. One process writes it; others may read it at the
// same time, in shared memory. An id is kept as its hash in one of two buckets, so a table that is not full can lack room for an id.
type IDTable struct {
	slots   []uint64 // the hashes, by slot; 0: free
	links   []idLink // by slot; in the order of expiry
	oldest  int32    // first slot to expire; noSlot: none
	newest  int32
	entries int
}

// idLink is the place of a slot in the order of expiry.
type idLink struct {
	previous, next int32
	expiresAt      time.Duration
}

// NewIDTable returns a table with room for about so many ids.
func NewIDTable(capacity int) *IDTable {
	buckets := 1
	for buckets*bucketSlots < capacity {
		buckets *= 2
	}
	return &IDTable{slots: make([]uint64, buckets*bucketSlots), links: make([]idLink, buckets*bucketSlots), oldest: noSlot, newest: noSlot}
}

// Len returns the number of ids in the table.
func (t *IDTable) Len() int { return t.entries }

// Has reports whether the table holds an id.
func (t *IDTable) Has(id []byte) bool { return holds(t.slots, hashID(id)) }

// Add adds an id until a time, which must not be before that of the ids added earlier. It returns the id's slot; ok is false if there is
// no room.
func (t *IDTable) Add(id []byte, expiresAt time.Duration) (slot int, ok bool) {
	hash := hashID(id)
	best, free := int32(noSlot), 0
	for _, first := range bucketsOf(len(t.slots), hash) {
		count, empty := 0, int32(noSlot)
		for at := first; at < first+bucketSlots; at++ {
			if t.slots[at] == 0 {
				count, empty = count+1, int32(at)
			}
		}
		if count > free {
			best, free = empty, count
		}
	}
	if best == noSlot {
		return noSlot, false
	}
	atomic.StoreUint64(&t.slots[best], hash)
	t.entries++
	t.append(best, expiresAt)
	return int(best), true
}

// Renew keeps an id until a later time. It adds the id again if it is no longer in its slot.
func (t *IDTable) Renew(slot int, id []byte, expiresAt time.Duration) (newSlot int, ok bool) {
	if slot < 0 || t.slots[slot] != hashID(id) {
		return t.Add(id, expiresAt)
	}
	t.unlink(int32(slot))
	t.append(int32(slot), expiresAt)
	return slot, true
}

// Remove removes an id from its slot, if it still is there.
func (t *IDTable) Remove(slot int, id []byte) {
	if slot >= 0 && t.slots[slot] == hashID(id) {
		t.clear(int32(slot))
	}
}

// Expire removes the ids whose time is over.
func (t *IDTable) Expire(now time.Duration) {
	for t.oldest != noSlot && t.links[t.oldest].expiresAt <= now {
		t.clear(t.oldest)
	}
}

// clear frees a slot.
func (t *IDTable) clear(slot int32) {
	t.unlink(slot)
	t.entries--
	atomic.StoreUint64(&t.slots[slot], 0)
}

// append makes a slot the last one to expire.
func (t *IDTable) append(slot int32, expiresAt time.Duration) {
	t.links[slot] = idLink{previous: t.newest, next: noSlot, expiresAt: expiresAt}
	if t.newest == noSlot {
		t.oldest = slot
	} else {
		t.links[t.newest].next = slot
	}
	t.newest = slot
}

// unlink takes a slot out of the order of expiry.
func (t *IDTable) unlink(slot int32) {
	link := t.links[slot]
	if link.previous == noSlot {
		t.oldest = link.next
	} else {
		t.links[link.previous].next = link.next
	}
	if link.next == noSlot {
		t.newest = link.previous
	} else {
		t.links[link.next].previous = link.previous
	}
}

// hashID returns the hash of an id, which is not 0. It is the same in all processes.
func hashID(id []byte) uint64 { return max(1, xxhash.Sum64(id)) }

// bucketsOf returns the first slots of the two buckets that may hold a hash.
func bucketsOf(slots int, hash uint64) [2]int {
	buckets := uint64(slots / bucketSlots)
	return [2]int{int(hash%buckets) * bucketSlots, int((hash>>32)%buckets) * bucketSlots}
}

// holds reports whether slots, which another process may be writing, hold a hash.
func holds(slots []uint64, hash uint64) bool {
	for _, first := range bucketsOf(len(slots), hash) {
		for at := first; at < first+bucketSlots; at++ {
			if atomic.LoadUint64(&slots[at]) == hash {
				return true
			}
		}
	}
	return false
}
