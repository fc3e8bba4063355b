package world

import (
	"cmp"
	"slices"
	"time"
)

// Phase is the state of a listed server.
type Phase int

// Phases of a listed server.
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
	Started time.Duration // last start; 0: before the run
}

// ServerList models the server list as its service reports it: with a delay, by revisions, as a snapshot or as changes.
type ServerList struct {
	changes    []change // by revision; the oldest are discarded
	members    map[string]Member
	revision   int64
	oldestBase int64 // changes after this revision are available
	maxChanges int
	pending    []change // changes that are not visible yet, by the time when they will be
}

type change struct {
	revision  int64
	member    Member
	visibleAt time.Duration
}

// NewServerList returns a list at revision 1 that keeps the given number of changes.
func NewServerList(maxChanges int, members ...Member) *ServerList {
	r := &ServerList{members: map[string]Member{}, maxChanges: maxChanges, revision: 1, oldestBase: 1}
	for _, m := range members {
		r.members[m.ID] = m
	}
	return r
}

// Set changes an entry. The change becomes visible after the delay.
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

// Revision returns the current revision.
func (r *ServerList) Revision(now time.Duration) int64 {
	r.advance(now)
	return r.revision
}

// Snapshot returns the visible list, sorted by ID.
func (r *ServerList) Snapshot(now time.Duration) (rev int64, members []Member) {
	r.advance(now)
	for _, m := range r.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return r.revision, members
}

// ChangesSince returns the servers that changed after a revision, each once in its current state. It returns known =
// false if those changes were discarded or the revision never existed: then only a snapshot helps.
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

// NextVisible returns when the next pending change becomes visible.
func (r *ServerList) NextVisible() (time.Duration, bool) {
	if len(r.pending) == 0 {
		return 0, false
	}
	return r.pending[0].visibleAt, true
}
