package world

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A read at any revision that is not compacted, followed by the changes since then, gives the current state.
func TestAStoresHistoryAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		now := time.Duration(0)
		var leases []int64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "gap")) * time.Second
			s.ExpireLeases(now)
			key := fmt.Sprint("p/", rapid.IntRange(0, 5).Draw(t, "key"))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				s.Delete(key)
			case 1:
				s.Compact(s.revision - int64(rapid.IntRange(0, 5).Draw(t, "keep")))
			case 2:
				leases = append(leases, s.GrantLease(now, 2*time.Second))
			case 3:
				if len(leases) > 0 {
					id := leases[rapid.IntRange(0, len(leases)-1).Draw(t, "lease")]
					if _, err := s.KeepAlive(now, id); err == nil {
						s.Put(key, []byte(fmt.Sprint(s.revision)), id)
					}
				}
			default:
				s.Put(key, []byte(fmt.Sprint(s.revision)), 0)
			}
		}
		want, _, _ := s.Range("p/", "p0", 0, 0)
		for rev := max(s.compacted, 1); rev <= s.revision; rev++ {
			list, _, err := s.Range("p/", "p0", rev, 0)
			if err != nil {
				t.Fatalf("revision %d of %d, compacted %d: %v", rev, s.revision, s.compacted, err)
			}
			state := map[string]string{}
			for _, kv := range list {
				state[kv.Key] = string(kv.Value)
			}
			events, err := s.ChangesSince(rev+1, s.revision, "p/")
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range events {
				if e.Deleted {
					delete(state, e.KV.Key)
				} else {
					state[e.KV.Key] = string(e.KV.Value)
				}
			}
			if len(state) != len(want) {
				t.Fatalf("from revision %d: %v, want %v", rev, state, want)
			}
			for _, kv := range want {
				if state[kv.Key] != string(kv.Value) {
					t.Fatalf("from revision %d: %v, want %v", rev, state, want)
				}
			}
		}
		if s.compacted > 0 {
			if _, _, err := s.Range("p/", "p0", s.compacted-1, 0); s.compacted > 1 && !errors.Is(err, ErrCompacted) {
				t.Fatal("a compacted revision can be read")
			}
			if _, err := s.ChangesSince(s.compacted, s.revision, ""); !errors.Is(err, ErrCompacted) {
				t.Fatal("compacted changes can be read")
			}
		}
	})
}

func TestLeases(t *testing.T) {
	s := NewStore()
	one, two := s.GrantLease(0, 2*time.Second), s.GrantLease(0, 2*time.Second)
	s.Put("a", nil, one)
	s.Put("b", nil, two)
	s.Put("c", nil, 0)
	s.KeepAlive(time.Second, one)
	if at, _ := s.NextExpiry(); at != 2*time.Second {
		t.Errorf("the next lease expires at %v", at)
	}
	s.ExpireLeases(2 * time.Second)
	if list, more, _ := s.Range("", "", 0, 1); len(list) != 1 || !more || list[0].Key != "a" {
		t.Errorf("%v %v", list, more)
	}
	backup := s.Backup()
	s.Put("a", nil, 0) // detaches the key from its lease
	s.ExpireLeases(time.Minute)
	if list, _, _ := s.Range("", "", 0, 0); len(list) != 2 {
		t.Errorf("%v", list)
	}
	if _, err := s.Put("d", nil, one); !errors.Is(err, ErrNoLease) {
		t.Error(err)
	}
	if backup.Revision() >= s.Revision() {
		t.Error("the backup changes with the store")
	}
}
