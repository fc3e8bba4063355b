package world

import (
	"cmp"
	"slices"
	"time"
)

// Phase is where a listed server is in its life.
type Phase int

// The phases.
const (
	Serving Phase = iota
	Draining
	Deleted
)

// Member is an entry of the server list.
type Member struct {
	ID      string
	Addr    string
	Zone    string
	Kind    string
	Cell    int
	Phase   Phase
	Weight  float64
	Started time.Duration // last start; 0: long ago
}

// Roster is the list of servers as its service tells it: late, by revisions, whole or as changes.
type ServerList struct {
	changes    []change // by revision, the oldest forgotten
	members    map[string]Member
	revision   int64
	oldestBase int64 // changes after this revision are still known
	maxChanges int
	pending    []change // not to be seen yet, by when they will
}

type change struct {
	revision  int64
	member    Member
	visibleAt time.Duration
}

// NewRoster makes a list that remembers so many changes.
func NewServerList(keep int, members ...Member) *ServerList {
	r := &ServerList{members: map[string]Member{}, maxChanges: keep, revision: 1, oldestBase: 1}
	for _, m := range members {
		r.members[m.ID] = m
	}
	return r
}

// Set changes an entry; the list shows it after the delay.
func (r *ServerList) Set(now, delay time.Duration, m Member) {
	r.advance(now)
	r.pending = append(r.pending, change{member: m, visibleAt: now + delay})
	slices.SortStableFunc(r.pending, func(a, b change) int { return cmp.Compare(a.visibleAt, b.visibleAt) })
	r.advance(now)
}

func (r *ServerList) advance(now time.Duration) {
	for len(r.pending) > 0 && r.pending[0].visibleAt <= now {
		c := r.pending[0]
		r.pending = r.pending[1:]
		r.revision++
		c.revision = r.revision
		if c.member.Phase == Deleted {
			delete(r.members, c.member.ID)
		} else {
			r.members[c.member.ID] = c.member
		}
		r.changes = append(r.changes, c)
		if len(r.changes) > r.maxChanges {
			r.oldestBase = r.changes[len(r.changes)-r.maxChanges-1].revision
			r.changes = slices.Clone(r.changes[len(r.changes)-r.maxChanges:])
		}
	}
}

// Revision is the list's version now.
func (r *ServerList) Revision(now time.Duration) int64 {
	r.advance(now)
	return r.revision
}

// Whole is the list as it shows now, by id.
func (r *ServerList) Snapshot(now time.Duration) (rev int64, members []Member) {
	r.advance(now)
	for _, m := range r.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return r.revision, members
}

// Since gives what has changed after a revision, each server once as it is now. With known unset the changes are
// forgotten, or the revision was never one of this list: only the whole list tells.
func (r *ServerList) ChangesSince(now time.Duration, rev int64) (at int64, changes []Member, known bool) {
	r.advance(now)
	if rev < r.oldestBase || rev > r.revision {
		return r.revision, nil, false
	}
	last := map[string]int{}
	for i, c := range r.changes {
		if c.revision > rev {
			last[c.member.ID] = i
		}
	}
	for i, c := range r.changes {
		if c.revision > rev && last[c.member.ID] == i {
			changes = append(changes, c.member)
		}
	}
	return r.revision, changes, true
}

// Next is when the next change shows.
func (r *ServerList) NextVisible() (time.Duration, bool) {
	if len(r.pending) == 0 {
		return 0, false
	}
	return r.pending[0].visibleAt, true
}
