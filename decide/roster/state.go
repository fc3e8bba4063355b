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
	cfg  Config
	act  Actions
	rng  *rand.Rand
	now  time.Duration
	ends []endpoint
	at   int // the endpoint in use

	serial  uint64
	call    Call          // that is out; ID 0: none
	asked   time.Duration // when it was made
	heard   bool          // it has said something
	by      time.Duration // when it has failed, or a stream is asked anew
	begun   time.Duration // since when a part of what it says has come, and the rest is due; 0: it is not
	rest    time.Duration // by, where that is not so
	looking bool          // a watch has fallen silent or a call failed, and nothing was answered since: what is new is wanted first
	missed  bool          // a watch has fallen silent, or the registry moved, and nothing was answered since
	slow    bool          // the last call that was to be answered at once has hung until its limit, or took half of it
	idle    int           // watches in a row that came back early with nothing
	retry   time.Duration // when the next is made; 0: not planned
	fails   int           // calls that failed since the last answer
	noted   time.Duration // when a failure was noted last

	rev     int64            // of the list held: a watch goes on from there
	listRev int64            // of the last whole list
	caught  int64            // the last progress told
	buried  []string         // keys of graves, the first first
	graves  map[string]int64 // keys that are gone since the last whole list, and the revision of that
	epoch   string
	known   bool          // a list is held that this registry, or the one before it, has told
	whole   bool          // the next call reads the list
	anew    bool          // the registry is another one: its next list counts, whatever its revision
	older   time.Duration // since when all it says is older than the list held; 0: it is not
	pages   []Change
	pageRev int64

	byKey    map[string]*record
	byID     map[string][]*record
	byAddr   map[string][]*record
	shown    map[string]Entry         // what the node has been told, ready or draining, by id
	held     map[string]time.Duration // of these, those that have vanished in a mass, and until when they are kept
	suspects map[string]bool          // of the held, those that may yet be part of a mass
	touched  map[string]bool          // ids whose entry, or whose place at an address, may have changed
	live     int                      // of the shown, those that are ready
	lost     []time.Duration          // when servers vanished lately
	bad      map[string]bool          // keys whose entries do not parse, noted once
	over     int                      // entries left out for want of room

	// Counts of what has happened, for reports.
	Counts Counts
}

// Counts tells what has happened since the start.
type Counts struct {
	Calls, Failed, Answers   int64
	Lists, Changes, Repeated int64 // whole lists, changes applied, changes that were known already
	SilentWatches            int64 // watches that said nothing though their wait was over
	Compacted, OlderAnswers  int64 // forgotten revisions, answers older than the list held
	BadEntries, LeftOut      int64
	Held, Conflicts          int64 // servers kept that vanished in a mass; entries that stand behind another
}

// endpoint is one address of the registry.
type endpoint struct {
	fails int           // straight
	last  time.Duration // when it failed last
	older bool          // it has told of an older list than the one held
}

// record is an entry as the registry has it.
type record struct {
	key   string
	rev   int64
	entry Entry
}

// blank returns a follower that knows nothing.
func blank(now time.Duration, cfg Config, seed uint64, act Actions) *Follower {
	return &Follower{cfg: cfg.whole(), act: act, now: now, rng: rand.New(rand.NewPCG(seed, 0x726f73746572)), rev: -1, graves: map[string]int64{},
		byKey: map[string]*record{}, byID: map[string][]*record{}, byAddr: map[string][]*record{}, shown: map[string]Entry{},
		held: map[string]time.Duration{}, suspects: map[string]bool{}, touched: map[string]bool{}, bad: map[string]bool{}}
}

// whole fills in what is not told.
func (c Config) whole() Config {
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

// put takes an entry in; it reports whether there was room.
func (f *Follower) put(key string, rev int64, e Entry) bool {
	if f.byKey[key] == nil && len(f.byKey) >= f.cfg.MaxEntries {
		return false
	}
	f.remove(key)
	r := &record{key, rev, e}
	f.byKey[key] = r
	f.byID[e.ID] = append(f.byID[e.ID], r)
	f.byAddr[e.Addr] = append(f.byAddr[e.Addr], r)
	f.touch(r)
	return true
}

// remove takes an entry out.
func (f *Follower) remove(key string) {
	r := f.byKey[key]
	if r == nil {
		return
	}
	f.touch(r)
	delete(f.byKey, key)
	drop(f.byID, r.entry.ID, r)
	drop(f.byAddr, r.entry.Addr, r)
}

// touch marks an entry's id and those at its address.
func (f *Follower) touch(r *record) {
	f.touched[r.entry.ID] = true
	for _, x := range f.byAddr[r.entry.Addr] {
		f.touched[x.entry.ID] = true
	}
}

func drop(m map[string][]*record, name string, r *record) {
	list := slices.DeleteFunc(m[name], func(x *record) bool { return x == r })
	if m[name] = list; len(list) == 0 {
		delete(m, name)
	}
}

// standing is the entry under which an id is known: of several keys with that id the one changed last, unless another id
// stands at its address with a later start or change.
func (f *Follower) standing(id string) (*record, bool) {
	r := latest(f.byID[id])
	if r == nil {
		return nil, false
	}
	for _, x := range f.byAddr[r.entry.Addr] {
		if x.entry.ID != id && latest(f.byID[x.entry.ID]) == x && later(x, r) {
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

// later reports whether x took the address from r.
func later(x, r *record) bool {
	return cmp.Or(cmp.Compare(x.entry.Started, r.entry.Started), cmp.Compare(x.rev, r.rev), cmp.Compare(x.key, r.key)) > 0
}

// show notes what the node is told of a server; gone takes it off.
func (f *Follower) show(e Entry, gone bool) {
	if old, known := f.shown[e.ID]; known && old.State == policy.Ready {
		f.live--
	}
	if gone {
		delete(f.shown, e.ID)
		delete(f.held, e.ID)
		delete(f.suspects, e.ID)
		return
	}
	f.shown[e.ID] = e
	if e.State == policy.Ready {
		f.live++
	}
}

// Revision is that of the list held, -1 for none, and Servers how many the node has been told of.
func (f *Follower) Revision() int64 { return f.rev }

// Servers is how many servers the node has been told of.
func (f *Follower) Servers() int { return len(f.shown) }

// HeldServers is how many of them are kept though they have vanished.
func (f *Follower) HeldServers() int { return len(f.held) - len(f.suspects) }
