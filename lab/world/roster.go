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
	log     []change // by revision, the oldest forgotten
	members map[string]Member
	rev     int64
	first   int64 // changes after this revision are still known
	keep    int
	hidden  []change // not to be seen yet, by when they will
}

type change struct {
	rev     int64
	member  Member
	visible time.Duration
}

// NewRoster makes a list that remembers so many changes.
func NewServerList(keep int, members ...Member) *ServerList {
	r := &ServerList{members: map[string]Member{}, keep: keep, rev: 1, first: 1}
	for _, m := range members {
		r.members[m.ID] = m
	}
	return r
}

// Set changes an entry; the list shows it after the delay.
func (r *ServerList) Set(now, delay time.Duration, m Member) {
	r.advance(now)
	r.hidden = append(r.hidden, change{member: m, visible: now + delay})
	slices.SortStableFunc(r.hidden, func(a, b change) int { return cmp.Compare(a.visible, b.visible) })
	r.advance(now)
}

func (r *ServerList) advance(now time.Duration) {
	for len(r.hidden) > 0 && r.hidden[0].visible <= now {
		c := r.hidden[0]
		r.hidden = r.hidden[1:]
		r.rev++
		c.rev = r.rev
		if c.member.Phase == Deleted {
			delete(r.members, c.member.ID)
		} else {
			r.members[c.member.ID] = c.member
		}
		r.log = append(r.log, c)
		if len(r.log) > r.keep {
			r.first = r.log[len(r.log)-r.keep-1].rev
			r.log = slices.Clone(r.log[len(r.log)-r.keep:])
		}
	}
}

// Revision is the list's version now.
func (r *ServerList) Revision(now time.Duration) int64 {
	r.advance(now)
	return r.rev
}

// Whole is the list as it shows now, by id.
func (r *ServerList) Snapshot(now time.Duration) (rev int64, members []Member) {
	r.advance(now)
	for _, m := range r.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return r.rev, members
}

// Since gives what has changed after a revision, each server once as it is now. With known unset the changes are
// forgotten, or the revision was never one of this list: only the whole list tells.
func (r *ServerList) ChangesSince(now time.Duration, rev int64) (at int64, changes []Member, known bool) {
	r.advance(now)
	if rev < r.first || rev > r.rev {
		return r.rev, nil, false
	}
	last := map[string]int{}
	for i, c := range r.log {
		if c.rev > rev {
			last[c.member.ID] = i
		}
	}
	for i, c := range r.log {
		if c.rev > rev && last[c.member.ID] == i {
			changes = append(changes, c.member)
		}
	}
	return r.rev, changes, true
}

// Next is when the next change shows.
func (r *ServerList) NextVisible() (time.Duration, bool) {
	if len(r.hidden) == 0 {
		return 0, false
	}
	return r.hidden[0].visible, true
}
