package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"lapisshelf/policy"
)

// Follower follows one registry. It is not safe for concurrent use.
type Follower struct {
	cfg       Config
	act       Actions
	rng       *rand.Rand
	now       time.Duration
	endpoints []endpoint
	current   int // index of the endpoint in use

	lastCallID    uint64
	call          Call          // outstanding call; ID 0 if there is none
	calledAt      time.Duration // when it was made
	answered      bool          // an answer to it has been received
	deadline      time.Duration // when the call times out, or a stream is renewed
	pendingSince  time.Duration // since when an answer has been partially received and its rest is due; 0 if none is
	savedDeadline time.Duration // deadline to restore when no rest is due any more
	wantImmediate bool          // a watch fell silent or a call failed, with no answer since: the next watch returns at once
	mayHaveMissed bool          // a watch fell silent or the registry changed, with no answer since
	slow          bool          // the last call due an immediate answer timed out or took more than half its timeout
	earlyEmpty    int           // consecutive watches that returned early without changes
	nextCallAt    time.Duration // when the next call is made; 0 if none is planned
	failures      int           // failed calls since the last answer
	notedAt       time.Duration // when a failure was last logged

	revision      int64            // of the current list: a watch continues from there
	listRevision  int64            // of the last complete list
	progress      int64            // revision of the last Progress answer
	deletedOrder  []string         // keys of deleted, oldest first
	deleted       map[string]int64 // revisions of the keys deleted since the last complete list
	epoch         string
	hasList       bool          // the list comes from this registry or the one before it
	needList      bool          // the next call reads the list
	newRegistry   bool          // the registry was changed: its next list is accepted whatever its revision
	olderSince    time.Duration // since when all answers are older than the current list; 0 if they are not
	pages         []Change      // of a list that is being read
	pagesRevision int64         // of that list

	byKey        map[string]*record
	byID         map[string][]*record
	byAddr       map[string][]*record
	reported     map[string]Entry         // servers reported to the node, ready or draining, by id
	heldUntil    map[string]time.Duration // reported servers that have vanished but are kept, and until when
	undecided    map[string]bool          // servers in heldUntil that may yet turn out to be part of a mass
	dirty        map[string]bool          // ids whose entry, or whose claim to an address, may have changed
	readyCount   int                      // number of ready servers in reported
	recentLosses []time.Duration          // when servers recently vanished
	malformed    map[string]bool          // keys whose entries do not parse; each is logged once
	leftOut      int                      // entries left out because of MaxEntries

	// Counts counts events for reports.
	Counts Counts
}

// Counts holds the numbers of events since the start.
type Counts struct {
	Calls, Failed, Answers   int64
	Lists, Changes, Repeated int64 // complete lists, changes applied, changes already known
	SilentWatches            int64 // watches without an answer when their wait was over
	Compacted, OlderAnswers  int64 // compacted revisions, answers older than the current list
	BadEntries, LeftOut      int64
	Held, Conflicts          int64 // servers kept that vanished in a mass; entries superseded by another
}

// endpoint is the state of one address of the registry.
type endpoint struct {
	failures      int // consecutive
	lastFailure   time.Duration
	reportedOlder bool // it has reported a list older than the current one
}

// record is an entry as stored in the registry.
type record struct {
	key   string
	rev   int64
	entry Entry
}

// newFollower returns a follower without a list.
func newFollower(now time.Duration, cfg Config, seed uint64, act Actions) *Follower {
	return &Follower{cfg: cfg.withDefaults(), act: act, now: now, rng: rand.New(rand.NewPCG(seed, 0x726f73746572)), revision: -1, deleted: map[string]int64{},
		byKey: map[string]*record{}, byID: map[string][]*record{}, byAddr: map[string][]*record{}, reported: map[string]Entry{},
		heldUntil: map[string]time.Duration{}, undecided: map[string]bool{}, dirty: map[string]bool{}, malformed: map[string]bool{}}
}

// withDefaults returns the configuration with defaults for unset values.
func (c Config) withDefaults() Config {
	c.Endpoints, c.Nodes = max(1, c.Endpoints), max(1, c.Nodes)
	c.AskWithin = cmp.Or(c.AskWithin, 20*time.Second)
	c.CallRate = cmp.Or(c.CallRate, DefaultCallRate)
	c.WatchTimeout = cmp.Or(c.WatchTimeout, 5*time.Second)
	c.CallTimeout = cmp.Or(c.CallTimeout, 1500*time.Millisecond)
	c.HoldPart = cmp.Or(c.HoldPart, 0.5)
	c.RewindAfter = cmp.Or(c.RewindAfter, 30*time.Second)
	c.MaxEntries = cmp.Or(c.MaxEntries, 100000)
	return c
}

// put adds or replaces an entry. It reports whether MaxEntries allows it.
func (f *Follower) put(key string, rev int64, e Entry) bool {
	if f.byKey[key] == nil && len(f.byKey) >= f.cfg.MaxEntries {
		return false
	}
	f.remove(key)
	r := &record{key, rev, e}
	f.byKey[key] = r
	f.byID[e.ID] = append(f.byID[e.ID], r)
	f.byAddr[e.Addr] = append(f.byAddr[e.Addr], r)
	f.markDirty(r)
	return true
}

// remove deletes an entry.
func (f *Follower) remove(key string) {
	r := f.byKey[key]
	if r == nil {
		return
	}
	f.markDirty(r)
	delete(f.byKey, key)
	removeRecord(f.byID, r.entry.ID, r)
	removeRecord(f.byAddr, r.entry.Addr, r)
}

// markDirty marks an entry's id and the ids at its address as possibly changed.
func (f *Follower) markDirty(r *record) {
	f.dirty[r.entry.ID] = true
	for _, x := range f.byAddr[r.entry.Addr] {
		f.dirty[x.entry.ID] = true
	}
}

func removeRecord(m map[string][]*record, name string, r *record) {
	list := slices.DeleteFunc(m[name], func(x *record) bool { return x == r })
	if m[name] = list; len(list) == 0 {
		delete(m, name)
	}
}

// effective returns the entry that is in effect for an id: of several keys with that id the one changed last. It reports false if
// another id holds the same address with a later start or change.
func (f *Follower) effective(id string) (*record, bool) {
	r := latest(f.byID[id])
	if r == nil {
		return nil, false
	}
	for _, x := range f.byAddr[r.entry.Addr] {
		if x.entry.ID != id && latest(f.byID[x.entry.ID]) == x && supersedes(x, r) {
			return r, false
		}
	}
	return r, true
}

func latest(list []*record) (best *record) {
	for _, r := range list {
		if best == nil || r.rev > best.rev || r.rev == best.rev && r.key > best.key {
			best = r
		}
	}
	return best
}

// supersedes reports whether x replaces r at their address.
func supersedes(x, r *record) bool {
	return cmp.Or(cmp.Compare(x.entry.Started, r.entry.Started), cmp.Compare(x.rev, r.rev), cmp.Compare(x.key, r.key)) > 0
}

// setReported records what is reported to the node about a server; gone removes it.
func (f *Follower) setReported(e Entry, gone bool) {
	if old, known := f.reported[e.ID]; known && old.State == policy.Ready {
		f.readyCount--
	}
	if gone {
		delete(f.reported, e.ID)
		delete(f.heldUntil, e.ID)
		delete(f.undecided, e.ID)
		return
	}
	f.reported[e.ID] = e
	if e.State == policy.Ready {
		f.readyCount++
	}
}

// Revision returns the revision of the current list, or -1 if there is none.
func (f *Follower) Revision() int64 { return f.revision }

// Servers returns the number of servers reported to the node.
func (f *Follower) Servers() int { return len(f.reported) }

// HeldServers returns how many of them are kept although they vanished in a mass.
func (f *Follower) HeldServers() int { return len(f.heldUntil) - len(f.undecided) }
