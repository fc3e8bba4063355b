package roster

// All decisions of following a registry. The types, events and actions stand in api.go.
//
// The ordinary path: the list is read once, whole, then watched from its revision; each change counts at once, in the
// order of the registry's revisions, and each watch is followed by the next at once.
//
// The departures: a call that fails is made again at another endpoint after a wait with jitter, which grows with the
// failures and with the number of nodes, and ends while there is time to be told before a change counts (pause); a watch
// that says nothing when its wait is over is no failure yet, but what it missed may count as told soon: the list is looked
// at anew at once (look); a revision that is forgotten ends in one whole reread, of which nothing counts before its last
// page (forgotten, list); an answer older than the list held is never applied, until all endpoints have told of nothing
// newer for a stated time (behind); servers that vanish in a mass without having drained are kept for
// a stated time (settle); of two entries with one address the later one stands (standing); an entry that does not parse
// leaves the last good one in force (take).

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"lapisshelf/policy"
)

const (
	noteGap    = time.Minute            // between notes of failures that go on
	massSpan   = 5 * time.Second        // in which servers that vanish one by one count together
	moment     = 100 * time.Millisecond // in which those that vanish together show; well inside any grace
	leastMass  = 2                      // servers that make a mass
	mostGraves = 1024                   // keys that are gone and remembered: what is told again comes soon after
	mostIdle   = 3                      // watches that may come back early with nothing
	jitter     = .5                     // part of a wait that is drawn
	spread     = .25                    // part of a watch's wait that is drawn: what began together ends apart
	overdue    = 250 * time.Millisecond // past its wait, a watch that has said nothing is taken to be cut
	lookFor    = time.Second            // how long a look may take
	lookAgain  = 500 * time.Millisecond // the longest until the next, if the first has failed
	glance     = time.Millisecond       // the wait of a call that is to answer at once
)

// What a registry has to tell counts as told 6 s after it had it and could be reached, whatever failed before.
const (
	counted  = 6 * time.Second        // until then
	callRoom = time.Second            // of it, for the call that tells, answer and pages included
	tries    = 3                      // endpoints asked in that time, at most, until one of the majority that is there
	slowCall = 3 * time.Second        // the limit of calls to a registry that is slow, if there is time
	soonest  = 250 * time.Millisecond // the wait behind a call that has hung until its limit
	unsynced = 0.2                    // the least part of a wait that is drawn, in fleets that need all the time there is
)

// New starts a follower with the list that the node had before, which may be none. Nothing is asked before Start.
func New(now time.Duration, cfg Config, seed uint64, act Actions) *Follower {
	f := blank(now, cfg, seed, act)
	f.ends = make([]endpoint, f.cfg.Endpoints)
	f.at = f.rng.IntN(f.cfg.Endpoints) // nodes spread over them
	f.whole = true
	return f
}

// Restore takes the list that the node had before, at its revision; it is watched from there.
func (f *Follower) Restore(rev int64, entries []Entry) {
	for _, e := range entries {
		if f.put(e.ID, rev, e) {
			f.show(e, false)
		}
	}
	clear(f.touched)
	f.rev, f.known, f.whole, f.looking, f.missed = rev, true, false, f.cfg.ImmediateFirstWatch, f.cfg.ImmediateFirstWatch
}

// Start makes the first call: at once, or, with a list in hand, within the time in which so many nodes may call.
func (f *Follower) Start(now time.Duration) {
	f.now = now
	if len(f.shown) == 0 || f.crowd() < 50*time.Millisecond || f.cfg.PushedRetryDelay > 0 {
		f.ask()
	} else {
		f.retry = now + time.Duration(f.rng.Float64()*float64(min(f.crowd(), time.Second)))
	}
	f.wake()
}

// ChangeRegistry takes another registry, or other endpoints of it: the list held stays until the new one has told its own.
func (f *Follower) ChangeRegistry(now time.Duration, cfg Config) {
	f.now, f.cfg = now, cfg.whole()
	f.ends = make([]endpoint, f.cfg.Endpoints)
	f.at = f.rng.IntN(f.cfg.Endpoints)
	f.drop()
	// Guards against a first read of the new registry that fails: what that tells counts 4 s after the move.
	f.whole, f.anew, f.looking, f.missed, f.fails, f.older = true, true, true, true, 0, 0
	f.slow = false
	f.ask()
	f.wake()
}

// crowd is the time in which all nodes may make a call each.
func (f *Follower) crowd() time.Duration {
	return time.Duration(float64(f.cfg.Nodes) / f.cfg.CallRate * float64(time.Second))
}

// ask makes the next call.
func (f *Follower) ask() {
	f.serial++
	f.retry = 0
	c := Call{ID: f.serial, Endpoint: f.at}
	switch {
	case f.whole:
		c.ReadList, c.PageSize = true, f.cfg.PageSize
		if len(f.pages) > 0 { // the next page, of the same revision
			c.Revision, c.After = f.pageRev, f.pages[len(f.pages)-1].Key
		}
	default:
		c.Revision, c.Wait = f.rev, time.Duration((1-spread*f.rng.Float64())*float64(f.cfg.WatchTimeout))
		if f.looking { // the list held may be old: what is newer is wanted first
			c.Wait = glance
		}
	}
	f.call, f.asked, f.heard, f.begun = c, f.now, false, 0
	switch f.by = f.now + f.limit(); {
	case f.cfg.Streaming:
	case f.looking && f.fails == 0 && f.Counts.Answers > 0 && !c.ReadList:
		f.by = f.now + min(f.limit(), lookFor)
	case f.waits():
		f.by = f.now + c.Wait + overdue
	default:
		f.by += c.Wait
	}
	f.Counts.Calls++
	f.act.Ask(c)
}

// longest is the most that may pass from the beginning of a call that fails to that of the next, so that what the registry
// has to tell is known before it counts: at the next call a single endpoint is there, if it is at all; of several, more
// than half, or the registry has no change to tell.
func (c Config) longest() time.Duration {
	return (counted - callRoom) / time.Duration(min(tries, (c.Endpoints+1)/2))
}

// MaxNodes is the largest fleet that can know of each change before it counts with these settings: a call of each node
// in the time there is stays under Calls. A larger one keeps to Calls, and takes longer. Lists that are pushed to an agent
// beside each node (Pause) know no such bound: math.MaxInt.
func MaxNodes(cfg Config) int {
	if cfg.PushedRetryDelay > 0 {
		return math.MaxInt
	}
	cfg = cfg.whole()
	return max(1, int(cfg.CallRate*(1-unsynced/2)*cfg.longest().Seconds()+1e-6)) // lest 150 comes out as 149
}

// limit is how long the next call may take besides its wait. Guards against a registry whose answers take longer than
// Limit, of which none would ever come, and one that works through calls given up before it comes to those that are not.
func (f *Follower) limit() time.Duration {
	limit := f.cfg.CallTimeout
	if f.slow && f.cfg.PushedRetryDelay == 0 || !f.known {
		limit = max(limit, slowCall)
	}
	return min(limit, f.cfg.longest()-soonest)
}

// waits reports whether the call that is out is a watch that may wait for its one answer.
func (f *Follower) waits() bool {
	return f.call.ID != 0 && !f.call.ReadList && !f.cfg.Streaming && f.call.Wait > glance
}

// SetAnswerPending notes that a part of an answer to a watch, or of an object of a stream, has come, and the rest is due as that of any
// call; or, with on false, that nothing is owed but what may come as late as the watch allows. Guards against an answer that
// stops in its midst or trickles for ever: what it was to tell was there when it began, and the watch was held for all of its
// wait, 60 s with 60 nodes.
func (f *Follower) SetAnswerPending(now time.Duration, call uint64, on bool) {
	f.now = now
	switch may := call == f.call.ID && (f.waits() || f.cfg.Streaming && f.heard); {
	case may && on && f.begun == 0:
		f.begun, f.rest, f.by = f.now, f.by, min(f.by, f.now+f.limit())
	case may && !on && f.begun > 0:
		f.begun, f.by = 0, f.rest
	}
	f.wake()
}

// look asks anew, for what there is at once, after a watch that has said nothing though its wait is over. Guards against
// taking the silence for a failure: with the time that a call may take besides and the pause behind a failure, nodes
// learned of drains up to 2.75 s after the wait's end, where what a silent watch misses counts as told 2 s after it
// (launceston-platform, calm+brink: requests sent 0.48 s past the grace). With the look, an answer that takes up to
// lookFor to fail and the pause behind it the next call comes 1.75 s after the wait's end at the latest.
func (f *Follower) look() {
	f.Counts.SilentWatches++
	if f.noted == 0 || f.now-f.noted >= noteGap {
		f.noted = f.now
		f.act.Note("list_silent", fmt.Sprintf("waited=%s", f.call.Wait.Round(time.Millisecond)))
	}
	f.drop()
	f.turn()
	f.looking, f.missed = true, true
	f.ask()
}

// drop ends the call that is out.
func (f *Follower) drop() {
	if f.call.ID != 0 {
		f.act.Drop(f.call.ID)
		f.call = Call{}
	}
	f.pages, f.retry = nil, 0
}

// Failed notes that a call has ended without an answer, or with nonsense.
func (f *Follower) Failed(now time.Duration, call uint64, why string) {
	f.now = now
	if call == f.call.ID && call != 0 {
		f.slow = f.now-f.asked > f.cfg.CallTimeout/2 && !f.waits() && !f.heard
		f.again(why)
	}
	f.wake()
}

// again plans the next call after one that failed: see pause.
func (f *Follower) again(why string) {
	f.Counts.Failed++
	f.aside()
	// Guards against a log full of one outage: the first failure, then each time their number has doubled, or a minute.
	if f.fails&(f.fails-1) == 0 || f.now-f.noted >= noteGap {
		f.noted = f.now
		f.act.Note("list_failed", fmt.Sprintf("why=%q times=%d", why, f.fails))
	}
}

// aside turns away from the endpoint in use, and has the next call wait. That one tells what there is at once, if it can:
// guards against a watch begun in an outage, which hangs for all of its wait when the registry is back.
func (f *Follower) aside() {
	since := f.asked
	switch {
	case f.begun > 0:
		since = f.begun // what it was to tell was there then
	case f.waits() || f.heard:
		since = f.now // until now it would have told
	}
	f.drop()
	f.turn()
	f.fails++
	f.looking = true
	f.retry = f.now + f.pause(since)
}

// turn turns from the endpoint in use to the one that has failed least, or in an outage to the one that failed longest
// ago. Guards against two that fail in turn, while others have come back that have failed more often.
func (f *Follower) turn() {
	e := &f.ends[f.at]
	e.fails++
	e.last = f.now
	first := f.fails == 0 && !f.looking
	best := (f.at + 1) % len(f.ends)
	for i := 2; i < len(f.ends); i++ {
		j := (f.at + i) % len(f.ends)
		x, y := f.ends[j], f.ends[best]
		if first && x.fails < y.fails || (!first || x.fails == y.fails) && x.last < y.last {
			best = j
		}
	}
	f.at = best
}

// pause is how long to wait after a failure, of a call that would have told what there was until since. The waits grow
// with each round of failures over the endpoints, from Within/16 to Within/4, and with the fleet, so that all nodes together
// keep to Calls; but the next call begins longest after since, unless Calls is too low for that (MostNodes).
func (f *Follower) pause(since time.Duration) time.Duration {
	draw := func(least, most time.Duration) time.Duration {
		return least + time.Duration(f.rng.Float64()*float64(max(0, most-least)))
	}
	if f.cfg.PushedRetryDelay > 0 {
		// Guards against a drain that comes while no watch is open: what a pushed list says counts as told all the same.
		return draw(half(f.cfg.PushedRetryDelay), f.cfg.PushedRetryDelay)
	}
	crowd, first, took := f.crowd(), f.cfg.AskWithin/16, f.now-since // the time that the call itself took is part of the wait
	room := max(f.cfg.longest(), time.Duration(float64(crowd)/(1-unsynced/2)))
	if f.missed && f.fails == 1 {
		wait := min(lookAgain, first) // looks are spread already, as the waits before them were
		least := half(wait)
		if f.whole {
			wait = max(wait, min(crowd, room-took)) // but all nodes move at once
		}
		return draw(least, wait)
	}
	wait := first
	for range max(0, f.fails-1) / len(f.ends) {
		if wait *= 2; wait >= f.cfg.AskWithin/4 {
			wait = f.cfg.AskWithin / 4
			break
		}
	}
	most := min(max(wait, 2*crowd), room)
	least := max(half(most), 2*crowd-most) // in the mean a call of each node in crowd, which all may make
	switch {
	case f.fails == 1: // what fails for all at once is made again over all of that time
		least = half(min(wait, most))
	case f.slow: // a registry that works through calls long given up is asked as seldom as may be
		least = max(least, time.Duration((1-unsynced)*float64(most)))
	}
	if f.missed && f.fails == 2 {
		// Guards against a new process of a large fleet whose first call falls silent and whose second is turned away.
		most = min(most, 4*lookAgain)
		least = min(least, half(most))
	}
	brief := min(first, soonest)
	return draw(max(least-took, half(brief)), max(most-took, brief))
}

// half is the least of a wait that is drawn.
func half(wait time.Duration) time.Duration { return time.Duration((1 - jitter) * float64(wait)) }

// Answer takes something that the registry has said.
func (f *Follower) Answer(now time.Duration, a Answer) {
	f.now = now
	defer f.wake()
	if a.Call != f.call.ID || a.Call == 0 {
		return
	}
	if a.Revision < 0 {
		f.again("a negative revision")
		return
	}
	f.Counts.Answers++
	if a.Kind == Compacted {
		f.forgotten()
		return
	}
	if f.behind(a) {
		return
	}
	if !f.waits() && !f.heard { // an answer that was due at once
		f.slow = f.now-f.asked > f.cfg.CallTimeout/2
	}
	if f.fails > 1 {
		f.act.Note("list_back", fmt.Sprintf("failed=%d", f.fails))
	}
	late := f.fails > 0 && !f.known
	f.fails, f.heard, f.looking, f.missed = 0, true, false, false
	f.ends[f.at] = endpoint{}
	f.begun = 0 // it is whole
	empty := a.Kind != List && len(a.Changes) == 0
	switch {
	case a.Kind == List:
		if !f.list(a) {
			return // a page of several
		}
	case f.call.ReadList:
		f.again("not the whole list")
		return
	case a.Kind == Changes:
		f.news(a)
	case a.Kind == Progress:
		// The one before it counts: guards against a progress that overtakes the changes it speaks of, which a watch
		// resumed from it would never tell.
		f.rev = max(f.rev, f.caught)
		f.caught = a.Revision
	default:
		// What is newer than the list held may still be on its way: only changes move its revision on.
	}
	switch {
	case !a.Final: // nodes that began together must not all ask anew together
		f.by = f.now + time.Duration((1-jitter*f.rng.Float64())*float64(f.cfg.WatchTimeout))
	case empty && f.call.Wait > f.cfg.CallTimeout && f.now-f.asked < f.call.Wait/4:
		// Guards against a registry that answers each watch at once with nothing: it would be asked without end.
		f.call = Call{}
		if f.idle++; f.idle > mostIdle {
			f.retry = f.now + f.pause(f.now)
			break
		}
		f.ask()
	case late && f.known && f.cfg.PushedRetryDelay == 0:
		// Guards against a registry that turns callers away, and new nodes that have a list but not yet a watch among them:
		// others have none. It goes on well before the node is one that has not asked for long.
		f.idle, f.call = 0, Call{}
		f.retry = f.now + time.Duration(f.rng.Float64()*float64(min(f.crowd(), f.cfg.longest(), f.cfg.AskWithin/2)))
	default:
		f.idle, f.call = 0, Call{}
		f.ask() // at once: the watch goes on only if the next call comes soon
	}
	f.settle(a.Kind == List)
}

// forgotten is a revision that the registry has compacted: all is read anew, for what changed in between is not to be had.
// A reread that is compacted under way begins again, after a wait lest a registry that compacts all the time is stormed.
func (f *Follower) forgotten() {
	f.Counts.Compacted++
	reading := f.call.ReadList
	f.drop()
	f.whole = true
	if !reading {
		f.act.Note("list_compacted", fmt.Sprintf("revision=%d", f.rev))
		f.ask()
		return
	}
	f.fails++
	f.retry = f.now + f.pause(f.now)
}

// behind reports whether an answer is older than the list held, or of another registry, and must not count: what it
// would bring back may have drained since. After a stated time in which nothing newer was told by any endpoint the whole
// list is read and taken as it is: the registry has been restored.
func (f *Follower) behind(a Answer) bool {
	foreign := a.Epoch != f.epoch && a.Epoch != "" && f.epoch != ""
	if f.anew || !f.known || a.Revision >= f.rev && !foreign {
		if a.Kind != List { // a list counts with its last page
			f.older = 0
		}
		f.epoch = cmp.Or(a.Epoch, f.epoch)
		return false
	}
	f.Counts.OlderAnswers++
	f.ends[f.at].older = true
	if f.older == 0 {
		f.older = f.now
		for i := range f.ends {
			f.ends[i].older = i == f.at
		}
		f.act.Note("list_older", fmt.Sprintf("held=%d told=%d", f.rev, a.Revision))
	}
	wait := f.cfg.RewindAfter
	if slices.ContainsFunc(f.ends, func(e endpoint) bool { return !e.older }) {
		wait *= 4 // one that says nothing may know better
	}
	if f.now-f.older < wait {
		f.aside()
		return true
	}
	if f.call.ReadList {
		f.act.Note("list_rewound", fmt.Sprintf("from=%d to=%d", f.rev, a.Revision))
		f.anew, f.epoch = true, a.Epoch
		return false
	}
	f.drop()
	f.whole = true
	f.ask()
	return true
}

// list takes a page of the whole list; true once all of it is there and counts.
func (f *Follower) list(a Answer) bool {
	if len(f.pages) == 0 {
		f.pageRev = a.Revision
	}
	f.pages = append(f.pages, a.Changes...)
	if a.NextPageAfter != "" && len(f.pages) <= 2*f.cfg.MaxEntries {
		if len(a.Changes) == 0 {
			f.again("an empty page")
			return false
		}
		f.call = Call{}
		f.ask()
		return false
	}
	f.Counts.Lists++
	named := map[string]bool{}
	for _, c := range f.pages {
		named[c.Key] = true
		f.take(c, cmp.Or(c.Revision, f.pageRev))
	}
	for _, key := range slices.Sorted(maps.Keys(f.byKey)) {
		if !named[key] {
			f.remove(key)
		}
	}
	maps.DeleteFunc(f.bad, func(key string, _ bool) bool { return !named[key] })
	f.rev, f.listRev, f.caught = f.pageRev, f.pageRev, 0
	f.buried = nil
	clear(f.graves)
	f.known, f.whole, f.anew, f.older, f.pages = true, false, false, 0, nil
	return true
}

// news takes changes. What is known already is passed over: a watch may repeat itself, and a change that is older than
// what is known of its key, though gone since, would bring back what has drained.
func (f *Follower) news(a Answer) {
	rev := a.Revision
	for i, c := range a.Changes {
		if c.Revision == 0 { // they have none of their own: the answer's is theirs
			f.Counts.Changes++
			f.take(c, a.Revision)
			continue
		}
		if i == 0 {
			rev = 0
		}
		rev = max(rev, c.Revision)
		if r := f.byKey[c.Key]; c.Revision <= f.listRev || c.Revision <= f.graves[c.Key] || r != nil && c.Revision <= r.rev {
			f.Counts.Repeated++
			continue
		}
		f.Counts.Changes++
		f.take(c, c.Revision)
	}
	f.rev = max(f.rev, rev)
}

// take takes one change, of that revision, into the list.
func (f *Follower) take(c Change, rev int64) {
	switch {
	case c.Malformed:
		f.Counts.BadEntries++
		if !f.bad[c.Key] && len(f.bad) < f.cfg.MaxEntries {
			f.bad[c.Key] = true
			f.act.Note("entry_bad", fmt.Sprintf("key=%q", c.Key))
		}
	case c.Deleted:
		f.remove(c.Key)
		if _, known := f.graves[c.Key]; !known {
			if f.buried = append(f.buried, c.Key); len(f.buried) > mostGraves {
				delete(f.graves, f.buried[0])
				f.buried = f.buried[1:]
			}
		}
		f.graves[c.Key] = rev
	default:
		delete(f.bad, c.Key)
		if r := f.byKey[c.Key]; r != nil && r.rev == rev && r.entry == c.Entry {
			return
		}
		if !f.put(c.Key, rev, c.Entry) {
			f.Counts.LeftOut++
			if f.over++; f.over == 1 {
				f.act.Note("entries_left_out", fmt.Sprintf("most=%d", f.cfg.MaxEntries))
			}
		}
	}
}

// settle tells the node what has changed for it. Servers that vanish go at once, each with its grace, but for a mass that
// has not drained: that is more likely a registry's trouble than theirs, and is kept for a stated time.
func (f *Follower) settle(whole bool) {
	for id, until := range f.held {
		if f.now >= until {
			f.touched[id] = true
		}
	}
	var changed, vanished []Entry
	for _, id := range slices.Sorted(maps.Keys(f.touched)) {
		r, stands := f.standing(id)
		old, known := f.shown[id]
		switch {
		case stands:
			delete(f.held, id)
			delete(f.suspects, id)
			if !known || old != r.entry {
				changed = append(changed, r.entry)
			}
		case known:
			vanished = append(vanished, old)
		}
		if r != nil && !stands {
			f.Counts.Conflicts++
		}
	}
	clear(f.touched)
	gone := f.keep(vanished)
	for _, e := range changed {
		f.show(e, false)
	}
	for _, e := range gone {
		f.show(e, true)
		e.State = policy.Gone
		changed = append(changed, e)
	}
	switch {
	case whole:
		u := Update{Complete: true}
		for _, id := range slices.Sorted(maps.Keys(f.shown)) {
			u.Entries = append(u.Entries, f.shown[id])
		}
		f.act.Apply(u)
	case len(changed) > 0:
		f.act.Apply(Update{Entries: changed})
	}
}

// keep decides which of the vanished servers are kept, and gives the others. One that vanishes by itself goes after a
// moment, in which others that vanish with it show; a mass is kept.
func (f *Follower) keep(vanished []Entry) (gone []Entry) {
	f.lost = slices.DeleteFunc(f.lost, func(at time.Duration) bool { return f.now-at > massSpan })
	var due []Entry // whose moment is over
	for _, e := range vanished {
		until, held := f.held[e.ID]
		switch {
		case held && f.now < until:
			// It stays.
		case held && f.suspects[e.ID]:
			due = append(due, e)
		case held, f.cfg.HoldTime <= 0, e.State != policy.Ready, f.replaced(e):
			gone = append(gone, e) // its time is over, or it was told to drain, or another stands in its place
		default:
			f.held[e.ID], f.suspects[e.ID] = f.now+moment, true
		}
	}
	before := f.live + len(f.lost) // those that went one by one count too
	n := len(f.suspects) + len(f.lost)
	mass := n >= leastMass && float64(n) > f.cfg.HoldPart*float64(before)
	if len(due) > 0 && mass {
		f.act.Note("list_held", fmt.Sprintf("servers=%d of=%d for=%s", len(f.suspects), before, f.cfg.HoldTime))
		for id := range f.suspects {
			f.held[id] = f.now + f.cfg.HoldTime
			f.Counts.Held++
		}
		clear(f.suspects)
		return gone
	}
	for _, e := range due {
		f.lost = append(f.lost, f.now)
		delete(f.suspects, e.ID)
	}
	return append(gone, due...)
}

// replaced reports whether another server stands at a vanished one's address.
func (f *Follower) replaced(e Entry) bool {
	return slices.ContainsFunc(f.byAddr[e.Addr], func(r *record) bool { return r.entry.ID != e.ID })
}

// Timer does what is due.
func (f *Follower) Timer(now time.Duration) {
	f.now = now
	switch {
	case f.call.ID != 0 && now >= f.by && f.heard && !f.call.ReadList && f.begun == 0: // a stream that says nothing may be cut: a new one tells
		f.drop()
		f.ask()
	case f.waits() && now >= f.by:
		f.look()
	case f.call.ID != 0 && now >= f.by:
		f.slow = true
		f.again("no answer")
	case f.call.ID == 0 && f.retry > 0 && now >= f.retry:
		f.ask()
	}
	due := false
	for _, until := range f.held {
		due = due || now >= until
	}
	if due {
		if len(f.suspects) == 0 {
			f.act.Note("list_released", fmt.Sprintf("servers=%d", len(f.held)))
		}
		f.settle(false)
	}
	f.wake()
}

// wake asks for the next look.
func (f *Follower) wake() {
	at := time.Duration(0)
	earlier := func(x time.Duration) {
		if at == 0 || x < at {
			at = x
		}
	}
	switch {
	case f.call.ID != 0:
		earlier(f.by)
	case f.retry > 0:
		earlier(f.retry)
	}
	for _, until := range f.held {
		earlier(until)
	}
	if at > 0 {
		f.act.Wake(at)
	}
}
