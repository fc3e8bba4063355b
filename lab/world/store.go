package world

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// KV is a key's value in a store.
type KV struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Version        int64 // number of changes since its creation
	Lease          int64 // 0: none
}

// StoreEvent is a change of a key.
type StoreEvent struct {
	KV      KV
	Deleted bool
}

// Store is a key-value store with revisions, history, compaction and leases, as registries have them.
type Store struct {
	revision  int64
	compacted int64 // history before this revision is discarded; 0: never compacted
	history   map[string][]StoreEvent
	events    []StoreEvent // by revision, those after the compaction
	leases    map[int64]*lease
	lastLease int64
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Duration
	keys      map[string]bool
}

// ErrCompacted means that the history of a revision is discarded, ErrFuture that the store has not reached it.
var (
	ErrCompacted = errors.New("required revision has been compacted")
	ErrFuture    = errors.New("required revision is a future revision")
	ErrNoLease   = errors.New("requested lease not found")
)

// NewStore returns an empty store at revision 1.
func NewStore() *Store {
	return &Store{revision: 1, history: map[string][]StoreEvent{}, leases: map[int64]*lease{}}
}

// Revision returns the revision of the last change.
func (s *Store) Revision() int64 { return s.revision }

// Compacted returns the oldest revision that can be read.
func (s *Store) Compacted() int64 { return s.compacted }

// appendEvent adds an event to the history.
func (s *Store) appendEvent(e StoreEvent) {
	s.history[e.KV.Key] = append(s.history[e.KV.Key], e)
	s.events = append(s.events, e)
}

func (s *Store) current(key string) (StoreEvent, bool) {
	list := s.history[key]
	if len(list) == 0 || list[len(list)-1].Deleted {
		return StoreEvent{}, false
	}
	return list[len(list)-1], true
}

// Put sets a key, attached to a lease unless that is 0.
func (s *Store) Put(key string, value []byte, lease int64) (int64, error) {
	if lease != 0 && s.leases[lease] == nil {
		return 0, ErrNoLease
	}
	s.revision++
	kv := KV{Key: key, Value: slices.Clone(value), CreateRevision: s.revision, ModRevision: s.revision, Version: 1, Lease: lease}
	if old, ok := s.current(key); ok {
		kv.CreateRevision, kv.Version = old.KV.CreateRevision, old.KV.Version+1
		if l := s.leases[old.KV.Lease]; l != nil {
			delete(l.keys, key)
		}
	}
	if l := s.leases[lease]; l != nil {
		l.keys[key] = true
	}
	s.appendEvent(StoreEvent{KV: kv})
	return s.revision, nil
}

// Delete deletes the keys with a prefix, all in one revision, and returns how many there were.
func (s *Store) Delete(prefix string) int {
	var matching []string
	for key := range s.history {
		if _, ok := s.current(key); ok && strings.HasPrefix(key, prefix) {
			matching = append(matching, key)
		}
	}
	s.deleteKeys(matching)
	return len(matching)
}

func (s *Store) deleteKeys(keys []string) {
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	s.revision++
	for _, key := range keys {
		if old, ok := s.current(key); ok {
			if l := s.leases[old.KV.Lease]; l != nil {
				delete(l.keys, key)
			}
			s.appendEvent(StoreEvent{KV: KV{Key: key, ModRevision: s.revision}, Deleted: true})
		}
	}
}

// Range reads the keys in [from, to) in order, as of a revision (0: now). An empty to means no upper limit.
func (s *Store) Range(from, to string, rev int64, limit int) (kvs []KV, more bool, err error) {
	switch {
	case rev > s.revision:
		return nil, false, ErrFuture
	case rev > 0 && rev < s.compacted:
		return nil, false, ErrCompacted
	case rev <= 0:
		rev = s.revision
	}
	for _, key := range slices.Sorted(maps.Keys(s.history)) {
		if key < from || to != "" && key >= to {
			continue
		}
		list := s.history[key]
		i := sort.Search(len(list), func(i int) bool { return list[i].KV.ModRevision > rev })
		if i == 0 || list[i-1].Deleted {
			continue
		}
		if limit > 0 && len(kvs) == limit {
			return kvs, true, nil
		}
		kvs = append(kvs, list[i-1].KV)
	}
	return kvs, false, nil
}

// ChangesSince returns the changes of keys with a prefix, from one revision to another, both included.
func (s *Store) ChangesSince(from, to int64, prefix string) ([]StoreEvent, error) {
	if from <= s.compacted && s.compacted > 0 {
		return nil, ErrCompacted
	}
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].KV.ModRevision >= from })
	var out []StoreEvent
	for _, e := range s.events[i:] {
		if e.KV.ModRevision > to {
			break
		}
		if strings.HasPrefix(e.KV.Key, prefix) {
			out = append(out, e)
		}
	}
	return out, nil
}

// LastChange returns the last revision, at most to, that changed a key with a prefix; 0 if none is known.
func (s *Store) LastChange(to int64, prefix string) int64 {
	for i := len(s.events) - 1; i >= 0; i-- {
		if e := s.events[i]; e.KV.ModRevision <= to && strings.HasPrefix(e.KV.Key, prefix) {
			return e.KV.ModRevision
		}
	}
	return 0
}

// Compact discards the history before a revision, which itself can still be read.
func (s *Store) Compact(rev int64) {
	rev = min(rev, s.revision)
	if rev <= s.compacted {
		return
	}
	s.compacted = rev
	for key, list := range s.history {
		i := sort.Search(len(list), func(i int) bool { return list[i].KV.ModRevision > rev })
		if i > 0 && !list[i-1].Deleted {
			i-- // keep the value as of that revision
		}
		if list = slices.Clone(list[i:]); len(list) == 0 {
			delete(s.history, key)
		} else {
			s.history[key] = list
		}
	}
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].KV.ModRevision > rev })
	s.events = slices.Clone(s.events[i:])
}

// GrantLease creates a lease.
func (s *Store) GrantLease(now, ttl time.Duration) int64 {
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expiresAt: now + ttl, keys: map[string]bool{}}
	return s.lastLease
}

// KeepAlive renews a lease and returns its TTL.
func (s *Store) KeepAlive(now time.Duration, id int64) (time.Duration, error) {
	s.ExpireLeases(now)
	l := s.leases[id]
	if l == nil {
		return 0, ErrNoLease
	}
	l.expiresAt = now + l.ttl
	return l.ttl, nil
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(id int64) error {
	l := s.leases[id]
	if l == nil {
		return ErrNoLease
	}
	delete(s.leases, id)
	s.deleteKeys(slices.Collect(maps.Keys(l.keys)))
	return nil
}

// ExpireLeases ends the leases whose TTL has passed, in order of expiry, and reports whether there were any.
func (s *Store) ExpireLeases(now time.Duration) bool {
	var expired []int64
	for id, l := range s.leases {
		if now >= l.expiresAt {
			expired = append(expired, id)
		}
	}
	slices.SortFunc(expired, func(a, b int64) int {
		return cmp.Or(cmp.Compare(s.leases[a].expiresAt, s.leases[b].expiresAt), cmp.Compare(a, b))
	})
	for _, id := range expired {
		s.Revoke(id)
	}
	return len(expired) > 0
}

// NextExpiry returns when the next lease expires unless it is kept alive.
func (s *Store) NextExpiry() (at time.Duration, ok bool) {
	for _, l := range s.leases {
		if !ok || l.expiresAt < at {
			at, ok = l.expiresAt, true
		}
	}
	return at, ok
}

// Backup returns a copy of the store. To simulate a restore from an old backup, it replaces the store later.
func (s *Store) Backup() *Store {
	b := &Store{revision: s.revision, compacted: s.compacted, history: map[string][]StoreEvent{}, events: slices.Clone(s.events), leases: map[int64]*lease{}, lastLease: s.lastLease}
	for k, v := range s.history {
		b.history[k] = slices.Clone(v)
	}
	for id, l := range s.leases {
		b.leases[id] = &lease{l.ttl, l.expiresAt, maps.Clone(l.keys)}
	}
	return b
}
