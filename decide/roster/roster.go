package roster

// All decisions of following a registry. The types, events and actions are in api.go.
//
// Normally the list is read once, completely, then watched from its revision. Each change takes effect at once, in the order of
// the registry's revisions, and each watch is followed immediately by the next.
//
// Exceptions:
//   - A failed call is retried at another endpoint after a delay with jitter, which grows with the failures and with the number of
//     nodes but leaves time to learn of a change before the node counts as notified of it (retryDelay).
//   - A watch without an answer when its wait is over is no failure yet, but the node may soon count as notified of what it missed:
//     the list is checked at once (checkSilentWatch).
//   - A compacted revision leads to one complete reread, which takes effect with its last page (handleCompacted, addPage).
//   - An answer older than the current list is not applied until no endpoint has reported anything newer for RewindAfter
//     (rejectOlder).
//   - Servers that vanish in a mass without having drained are kept for HoldTime (reportChanges, holdMissing).
//   - Of two entries with one address the later one is in effect (effective).
//   - An entry that does not parse leaves the last valid one in effect (applyChange).

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
	noteInterval    = time.Minute            // between log lines about continuing failures
	massLossWindow  = 5 * time.Second        // servers that vanish one by one within it count together
	massDetectDelay = 100 * time.Millisecond // for servers that vanish together to show; well inside any drain grace
	minMassLoss     = 2                      // servers
	maxDeleted      = 1024                   // deleted keys that are remembered; repeated changes follow soon after the first
	maxEarlyEmpty   = 3                      // consecutive watches that may return early without changes
	delayJitter     = .5                     // fraction of a delay that is random
	watchJitter     = .25                    // fraction of a watch's wait that is random, so that watches begun together end apart
	watchOverrun    = 250 * time.Millisecond // after its wait, a watch without an answer is taken to be cut
	checkTimeout    = time.Second            // of the check after a silent watch
	maxRecheckDelay = 500 * time.Millisecond // until the next check if the first has failed
	immediateWait   = time.Millisecond       // wait of a watch that is to return at once
)

// A node counts as notified of a change 6 s after the registry had it and was reachable, whatever failed before.
const (
	notifyDelay     = 6 * time.Second        // until the node counts as notified
	callReserve     = time.Second            // part of notifyDelay reserved for the call that brings the change, all pages included
	maxTries        = 3                      // endpoints asked within notifyDelay before one of the available majority is reached
	slowCallTimeout = 3 * time.Second        // timeout of calls to a slow registry, if there is time
	hungCallDelay   = 250 * time.Millisecond // delay after a call that timed out
	minDelayJitter  = 0.2                    // minimum random fraction of a delay, for fleets that need all the available time
)

// New returns a follower without a list. It makes no calls before Start; Restore provides an earlier list.
func New(now time.Duration, cfg Config, seed uint64, act Actions) *Follower {
	f := newFollower(now, cfg, seed, act)
	f.endpoints = make([]endpoint, f.cfg.Endpoints)
	f.current = f.rng.IntN(f.cfg.Endpoints) // spreads the nodes over the endpoints
	f.needList = true
	return f
}

// Restore sets the list that the node had before, at its revision. Watching continues from there.
func (f *Follower) Restore(rev int64, entries []Entry) {
	for _, e := range entries {
		if f.put(e.ID, rev, e) {
			f.setReported(e, false)
		}
	}
	clear(f.dirty)
	f.revision, f.hasList, f.needList, f.wantImmediate, f.mayHaveMissed = rev, true, false, f.cfg.ImmediateFirstWatch, f.cfg.ImmediateFirstWatch
}

// Start makes the first call: at once, or, with a restored list, within the time in which all nodes may make a call each.
func (f *Follower) Start(now time.Duration) {
	f.now = now
	if len(f.reported) == 0 || f.fleetCallTime() < 50*time.Millisecond || f.cfg.PushedRetryDelay > 0 {
		f.startCall()
	} else {
		f.nextCallAt = now + time.Duration(f.rng.Float64()*float64(min(f.fleetCallTime(), time.Second)))
	}
	f.scheduleWake()
}

// ChangeRegistry switches to another registry or other endpoints. The current list stays until the new registry has sent its own.
func (f *Follower) ChangeRegistry(now time.Duration, cfg Config) {
	f.now, f.cfg = now, cfg.withDefaults()
	f.endpoints = make([]endpoint, f.cfg.Endpoints)
	f.current = f.rng.IntN(f.cfg.Endpoints)
	f.dropCall()
	// Guards against a failing first read of the new registry: the node counts as notified of its list 4 s after the change.
	f.needList, f.newRegistry, f.wantImmediate, f.mayHaveMissed, f.failures, f.olderSince = true, true, true, true, 0, 0
	f.slow = false
	f.startCall()
	f.scheduleWake()
}

// fleetCallTime is the time in which all nodes may make a call each.
func (f *Follower) fleetCallTime() time.Duration {
	return time.Duration(float64(f.cfg.Nodes) / f.cfg.CallRate * float64(time.Second))
}

// startCall makes the next call.
func (f *Follower) startCall() {
	f.lastCallID++
	f.nextCallAt = 0
	c := Call{ID: f.lastCallID, Endpoint: f.current}
	switch {
	case f.needList:
		c.ReadList, c.PageSize = true, f.cfg.PageSize
		if len(f.pages) > 0 { // the next page, at the same revision
			c.Revision, c.After = f.pagesRevision, f.pages[len(f.pages)-1].Key
		}
	default:
		c.Revision, c.Wait = f.revision, time.Duration((1-watchJitter*f.rng.Float64())*float64(f.cfg.WatchTimeout))
		if f.wantImmediate { // the current list may be stale: first get what is newer
			c.Wait = immediateWait
		}
	}
	f.call, f.calledAt, f.answered, f.pendingSince = c, f.now, false, 0
	switch f.deadline = f.now + f.callTimeout(); {
	case f.cfg.Streaming:
	case f.wantImmediate && f.failures == 0 && f.Counts.Answers > 0 && !c.ReadList:
		f.deadline = f.now + min(f.callTimeout(), checkTimeout)
	case f.longPolling():
		f.deadline = f.now + c.Wait + watchOverrun
	default:
		f.deadline += c.Wait
	}
	f.Counts.Calls++
	f.act.Ask(c)
}

// maxCallInterval is the longest time from the start of a failing call to the start of the next at which a change is still known
// before the node counts as notified of it. At the next call a single endpoint is available, if the registry is; of several, more
// than half are, or the registry could not have accepted a change.
func (c Config) maxCallInterval() time.Duration {
	return (notifyDelay - callReserve) / time.Duration(min(maxTries, (c.Endpoints+1)/2))
}

// MaxNodes returns the largest fleet in which, with these settings, each node learns of a change before it counts as notified: one
// call by each node in the available time stays within CallRate. A larger fleet keeps to CallRate and takes longer. With lists
// that are pushed to an agent beside each node (PushedRetryDelay) there is no such bound, and the result is math.MaxInt.
func MaxNodes(cfg Config) int {
	if cfg.PushedRetryDelay > 0 {
		return math.MaxInt
	}
	cfg = cfg.withDefaults()
	return max(1, int(cfg.CallRate*(1-minDelayJitter/2)*cfg.maxCallInterval().Seconds()+1e-6)) // rounding must not turn 150 into 149
}

// callTimeout bounds the next call in addition to its wait. Guards against a registry whose answers all take longer than
// Config.CallTimeout, so that none would ever arrive, and one that processes abandoned calls before the current ones.
func (f *Follower) callTimeout() time.Duration {
	limit := f.cfg.CallTimeout
	if f.slow && f.cfg.PushedRetryDelay == 0 || !f.hasList {
		limit = max(limit, slowCallTimeout)
	}
	return min(limit, f.cfg.maxCallInterval()-hungCallDelay)
}

// longPolling reports whether the outstanding call is a watch that may wait for its single answer.
func (f *Follower) longPolling() bool {
	return f.call.ID != 0 && !f.call.ReadList && !f.cfg.Streaming && f.call.Wait > immediateWait
}

// SetAnswerPending reports that part of an answer to a watch, or of an object in a stream, has been received, so that the rest is due
// within the timeout of any call; or, with pending false, that no rest is due and the watch may wait for as long as it allows. Guards
// against an answer that stops midway or trickles without end: its content was available when it began, yet the watch was kept for
// all of its wait, 60 s with 60 nodes.
func (f *Follower) SetAnswerPending(now time.Duration, call uint64, pending bool) {
	f.now = now
	switch relevant := call == f.call.ID && (f.longPolling() || f.cfg.Streaming && f.answered); {
	case relevant && pending && f.pendingSince == 0:
		f.pendingSince, f.savedDeadline, f.deadline = f.now, f.deadline, min(f.deadline, f.now+f.callTimeout())
	case relevant && !pending && f.pendingSince > 0:
		f.pendingSince, f.deadline = 0, f.savedDeadline
	}
	f.scheduleWake()
}

// checkSilentWatch asks for immediate changes after a watch without an answer when its wait is over. Guards against treating the
// silence as a failure: with the timeout of the call and the delay after a failure, nodes learned of drains up to 2.75 s after the
// end of the wait, while a node counts as notified of what a silent watch missed 2 s after it, and sent requests 0.48 s past the
// drain grace. With the check, which takes up to checkTimeout to fail, and the delay after it, the next call starts 1.75 s after
// the end of the wait at the latest.
func (f *Follower) checkSilentWatch() {
	f.Counts.SilentWatches++
	if f.notedAt == 0 || f.now-f.notedAt >= noteInterval {
		f.notedAt = f.now
		f.act.Note("list_silent", fmt.Sprintf("waited=%s", f.call.Wait.Round(time.Millisecond)))
	}
	f.dropCall()
	f.switchEndpoint()
	f.wantImmediate, f.mayHaveMissed = true, true
	f.startCall()
}

// dropCall ends the outstanding call.
func (f *Follower) dropCall() {
	if f.call.ID != 0 {
		f.act.Drop(f.call.ID)
		f.call = Call{}
	}
	f.pages, f.nextCallAt = nil, 0
}

// Failed reports that a call has ended without an answer or with an invalid one.
func (f *Follower) Failed(now time.Duration, call uint64, why string) {
	f.now = now
	if call == f.call.ID && call != 0 {
		f.slow = f.now-f.calledAt > f.cfg.CallTimeout/2 && !f.longPolling() && !f.answered
		f.recordFailure(why)
	}
	f.scheduleWake()
}

// recordFailure counts a failed call, logs it and plans the next call.
func (f *Follower) recordFailure(why string) {
	f.Counts.Failed++
	f.retryElsewhere()
	// Limits the log lines of one outage: the first failure, then each time the count has doubled or a minute has passed.
	if f.failures&(f.failures-1) == 0 || f.now-f.notedAt >= noteInterval {
		f.notedAt = f.now
		f.act.Note("list_failed", fmt.Sprintf("why=%q times=%d", why, f.failures))
	}
}

// retryElsewhere switches to another endpoint and delays the next call. A watch made by that call returns at once: guards against
// a watch begun during an outage that hangs for all of its wait when the registry is back.
func (f *Follower) retryElsewhere() {
	since := f.calledAt
	switch {
	case f.pendingSince > 0:
		since = f.pendingSince // its content was available then
	case f.longPolling() || f.answered:
		since = f.now // a change would have been received until now
	}
	f.dropCall()
	f.switchEndpoint()
	f.failures++
	f.wantImmediate = true
	f.nextCallAt = f.now + f.retryDelay(since)
}

// switchEndpoint switches from the endpoint in use to the one with the fewest failures or, in an outage, to the one that failed
// longest ago. Guards against alternating between two failing endpoints while others, which failed more often, have recovered.
func (f *Follower) switchEndpoint() {
	e := &f.endpoints[f.current]
	e.failures++
	e.lastFailure = f.now
	firstFailure := f.failures == 0 && !f.wantImmediate
	best := (f.current + 1) % len(f.endpoints)
	for i := 2; i < len(f.endpoints); i++ {
		j := (f.current + i) % len(f.endpoints)
		x, y := f.endpoints[j], f.endpoints[best]
		if firstFailure && x.failures < y.failures || (!firstFailure || x.failures == y.failures) && x.lastFailure < y.lastFailure {
			best = j
		}
	}
	f.current = best
}

// retryDelay returns the delay after a failed call that would have returned what there was until since. Delays grow with each round
// of failures over the endpoints, from AskWithin/16 to AskWithin/4, and with the fleet, so that all nodes together keep to CallRate.
// The next call starts at most maxCallInterval after since, unless CallRate is too low for that (MaxNodes).
func (f *Follower) retryDelay(since time.Duration) time.Duration {
	random := func(lo, hi time.Duration) time.Duration {
		return lo + time.Duration(f.rng.Float64()*float64(max(0, hi-lo)))
	}
	if f.cfg.PushedRetryDelay > 0 {
		// Guards against a drain while no watch is open: the node counts as notified of a pushed list in any case.
		return random(minDelay(f.cfg.PushedRetryDelay), f.cfg.PushedRetryDelay)
	}
	fleetTime, initial, took := f.fleetCallTime(), f.cfg.AskWithin/16, f.now-since // the time that the call itself took is part of the delay
	available := max(f.cfg.maxCallInterval(), time.Duration(float64(fleetTime)/(1-minDelayJitter/2)))
	if f.mayHaveMissed && f.failures == 1 {
		delay := min(maxRecheckDelay, initial) // checks are spread already, as the waits of the watches were
		shortest := minDelay(delay)
		if f.needList {
			delay = max(delay, min(fleetTime, available-took)) // but all nodes change the registry at once
		}
		return random(shortest, delay)
	}
	delay := initial
	for range max(0, f.failures-1) / len(f.endpoints) {
		if delay *= 2; delay >= f.cfg.AskWithin/4 {
			delay = f.cfg.AskWithin / 4
			break
		}
	}
	longest := min(max(delay, 2*fleetTime), available)
	shortest := max(minDelay(longest), 2*fleetTime-longest) // on average one call per node in fleetTime
	switch {
	case f.failures == 1: // calls that fail for all nodes at once are retried over all of that time
		shortest = minDelay(min(delay, longest))
	case f.slow: // a registry that processes abandoned calls is called as rarely as possible
		shortest = max(shortest, time.Duration((1-minDelayJitter)*float64(longest)))
	}
	if f.mayHaveMissed && f.failures == 2 {
		// Guards against a new process in a large fleet whose first call gets no answer and whose second is refused.
		longest = min(longest, 4*maxRecheckDelay)
		shortest = min(shortest, minDelay(longest))
	}
	minimum := min(initial, hungCallDelay)
	return random(max(shortest-took, minDelay(minimum)), max(longest-took, minimum))
}

// minDelay is the lower bound of a random delay.
func minDelay(wait time.Duration) time.Duration {
	return time.Duration((1 - delayJitter) * float64(wait))
}

// Answer handles an answer of the registry.
func (f *Follower) Answer(now time.Duration, a Answer) {
	f.now = now
	defer f.scheduleWake()
	if a.Call != f.call.ID || a.Call == 0 {
		return
	}
	if a.Revision < 0 {
		f.recordFailure("a negative revision")
		return
	}
	f.Counts.Answers++
	if a.Kind == Compacted {
		f.handleCompacted()
		return
	}
	if f.rejectOlder(a) {
		return
	}
	if !f.longPolling() && !f.answered { // an answer that was due at once
		f.slow = f.now-f.calledAt > f.cfg.CallTimeout/2
	}
	if f.failures > 1 {
		f.act.Note("list_back", fmt.Sprintf("failed=%d", f.failures))
	}
	firstListDelayed := f.failures > 0 && !f.hasList
	f.failures, f.answered, f.wantImmediate, f.mayHaveMissed = 0, true, false, false
	f.endpoints[f.current] = endpoint{}
	f.pendingSince = 0 // the answer is complete
	empty := a.Kind != List && len(a.Changes) == 0
	switch {
	case a.Kind == List:
		if !f.addPage(a) {
			return // more pages follow
		}
	case f.call.ReadList:
		f.recordFailure("not the whole list")
		return
	case a.Kind == Changes:
		f.applyChanges(a)
	case a.Kind == Progress:
		// The previous one takes effect: guards against a progress answer that overtakes the changes it covers, which a watch
		// resumed from it would never deliver.
		f.revision = max(f.revision, f.progress)
		f.progress = a.Revision
	default:
		// Newer changes may still be on their way: only changes advance the revision.
	}
	switch {
	case !a.Final: // nodes that began together must not all renew together
		f.deadline = f.now + time.Duration((1-delayJitter*f.rng.Float64())*float64(f.cfg.WatchTimeout))
	case empty && f.call.Wait > f.cfg.CallTimeout && f.now-f.calledAt < f.call.Wait/4:
		// Guards against a registry that answers each watch at once without changes, which would be called without end.
		f.call = Call{}
		if f.earlyEmpty++; f.earlyEmpty > maxEarlyEmpty {
			f.nextCallAt = f.now + f.retryDelay(f.now)
			break
		}
		f.startCall()
	case firstListDelayed && f.hasList && f.cfg.PushedRetryDelay == 0:
		// Guards against a registry that refuses excess calls: new nodes without a list go before those that have one and want a
		// watch. The watch is opened well before AskWithin is over.
		f.earlyEmpty, f.call = 0, Call{}
		f.nextCallAt = f.now + time.Duration(f.rng.Float64()*float64(min(f.fleetCallTime(), f.cfg.maxCallInterval(), f.cfg.AskWithin/2)))
	default:
		f.earlyEmpty, f.call = 0, Call{}
		f.startCall() // at once: no change is received between two watches
	}
	f.reportChanges(a.Kind == List)
}

// handleCompacted rereads the list after the registry has compacted the requested revision: the changes in between are not available.
// A reread that is itself compacted starts again after a delay, so as not to overload a registry that compacts all the time.
func (f *Follower) handleCompacted() {
	f.Counts.Compacted++
	reading := f.call.ReadList
	f.dropCall()
	f.needList = true
	if !reading {
		f.act.Note("list_compacted", fmt.Sprintf("revision=%d", f.revision))
		f.startCall()
		return
	}
	f.failures++
	f.nextCallAt = f.now + f.retryDelay(f.now)
}

// rejectOlder reports whether an answer is older than the current list, or from another registry, and must be ignored: servers in it
// may have drained since. After RewindAfter without anything newer from any endpoint, the complete list is read and accepted as it
// is: the registry has been restored from a backup.
func (f *Follower) rejectOlder(a Answer) bool {
	foreign := a.Epoch != f.epoch && a.Epoch != "" && f.epoch != ""
	if f.newRegistry || !f.hasList || a.Revision >= f.revision && !foreign {
		if a.Kind != List { // a list takes effect with its last page
			f.olderSince = 0
		}
		f.epoch = cmp.Or(a.Epoch, f.epoch)
		return false
	}
	f.Counts.OlderAnswers++
	f.endpoints[f.current].reportedOlder = true
	if f.olderSince == 0 {
		f.olderSince = f.now
		for i := range f.endpoints {
			f.endpoints[i].reportedOlder = i == f.current
		}
		f.act.Note("list_older", fmt.Sprintf("held=%d told=%d", f.revision, a.Revision))
	}
	wait := f.cfg.RewindAfter
	if slices.ContainsFunc(f.endpoints, func(e endpoint) bool { return !e.reportedOlder }) {
		wait *= 4 // an endpoint without an answer may have a newer list
	}
	if f.now-f.olderSince < wait {
		f.retryElsewhere()
		return true
	}
	if f.call.ReadList {
		f.act.Note("list_rewound", fmt.Sprintf("from=%d to=%d", f.revision, a.Revision))
		f.newRegistry, f.epoch = true, a.Epoch
		return false
	}
	f.dropCall()
	f.needList = true
	f.startCall()
	return true
}

// addPage adds a page of the complete list. It reports whether the list is complete and has taken effect.
func (f *Follower) addPage(a Answer) bool {
	if len(f.pages) == 0 {
		f.pagesRevision = a.Revision
	}
	f.pages = append(f.pages, a.Changes...)
	if a.NextPageAfter != "" && len(f.pages) <= 2*f.cfg.MaxEntries {
		if len(a.Changes) == 0 {
			f.recordFailure("an empty page")
			return false
		}
		f.call = Call{}
		f.startCall()
		return false
	}
	f.Counts.Lists++
	listed := map[string]bool{}
	for _, c := range f.pages {
		listed[c.Key] = true
		f.applyChange(c, cmp.Or(c.Revision, f.pagesRevision))
	}
	for _, key := range slices.Sorted(maps.Keys(f.byKey)) {
		if !listed[key] {
			f.remove(key)
		}
	}
	maps.DeleteFunc(f.malformed, func(key string, _ bool) bool { return !listed[key] })
	f.revision, f.listRevision, f.progress = f.pagesRevision, f.pagesRevision, 0
	f.deletedOrder = nil
	clear(f.deleted)
	f.hasList, f.needList, f.newRegistry, f.olderSince, f.pages = true, false, false, 0, nil
	return true
}

// applyChanges applies changes. Those already known are skipped: a watch may repeat itself, and a change older than the known state
// of its key, even if the key is deleted by now, would bring back a server that has drained.
func (f *Follower) applyChanges(a Answer) {
	rev := a.Revision
	for i, c := range a.Changes {
		if c.Revision == 0 { // changes without a revision have that of the answer
			f.Counts.Changes++
			f.applyChange(c, a.Revision)
			continue
		}
		if i == 0 {
			rev = 0
		}
		rev = max(rev, c.Revision)
		if r := f.byKey[c.Key]; c.Revision <= f.listRevision || c.Revision <= f.deleted[c.Key] || r != nil && c.Revision <= r.rev {
			f.Counts.Repeated++
			continue
		}
		f.Counts.Changes++
		f.applyChange(c, c.Revision)
	}
	f.revision = max(f.revision, rev)
}

// applyChange applies one change, at the given revision, to the list.
func (f *Follower) applyChange(c Change, rev int64) {
	switch {
	case c.Malformed:
		f.Counts.BadEntries++
		if !f.malformed[c.Key] && len(f.malformed) < f.cfg.MaxEntries {
			f.malformed[c.Key] = true
			f.act.Note("entry_bad", fmt.Sprintf("key=%q", c.Key))
		}
	case c.Deleted:
		f.remove(c.Key)
		if _, known := f.deleted[c.Key]; !known {
			if f.deletedOrder = append(f.deletedOrder, c.Key); len(f.deletedOrder) > maxDeleted {
				delete(f.deleted, f.deletedOrder[0])
				f.deletedOrder = f.deletedOrder[1:]
			}
		}
		f.deleted[c.Key] = rev
	default:
		delete(f.malformed, c.Key)
		if r := f.byKey[c.Key]; r != nil && r.rev == rev && r.entry == c.Entry {
			return
		}
		if !f.put(c.Key, rev, c.Entry) {
			f.Counts.LeftOut++
			if f.leftOut++; f.leftOut == 1 {
				f.act.Note("entries_left_out", fmt.Sprintf("most=%d", f.cfg.MaxEntries))
			}
		}
	}
}

// reportChanges reports to the node what has changed. Servers that vanish are removed at once, each with its drain grace, except a
// mass that has not drained: its loss is more likely a fault of the registry than of the servers, and they are kept for HoldTime.
func (f *Follower) reportChanges(whole bool) {
	for id, until := range f.heldUntil {
		if f.now >= until {
			f.dirty[id] = true
		}
	}
	var changed, vanished []Entry
	for _, id := range slices.Sorted(maps.Keys(f.dirty)) {
		r, inEffect := f.effective(id)
		old, known := f.reported[id]
		switch {
		case inEffect:
			delete(f.heldUntil, id)
			delete(f.undecided, id)
			if !known || old != r.entry {
				changed = append(changed, r.entry)
			}
		case known:
			vanished = append(vanished, old)
		}
		if r != nil && !inEffect {
			f.Counts.Conflicts++
		}
	}
	clear(f.dirty)
	gone := f.holdMissing(vanished)
	for _, e := range changed {
		f.setReported(e, false)
	}
	for _, e := range gone {
		f.setReported(e, true)
		e.State = policy.Gone
		changed = append(changed, e)
	}
	switch {
	case whole:
		u := Update{Complete: true}
		for _, id := range slices.Sorted(maps.Keys(f.reported)) {
			u.Entries = append(u.Entries, f.reported[id])
		}
		f.act.Apply(u)
	case len(changed) > 0:
		f.act.Apply(Update{Entries: changed})
	}
}

// holdMissing decides which of the vanished servers are kept and returns the others. A single server is removed after
// massDetectDelay, in which others that vanish with it show; a mass is kept.
func (f *Follower) holdMissing(vanished []Entry) (gone []Entry) {
	f.recentLosses = slices.DeleteFunc(f.recentLosses, func(at time.Duration) bool { return f.now-at > massLossWindow })
	var due []Entry // undecided servers whose massDetectDelay is over
	for _, e := range vanished {
		until, held := f.heldUntil[e.ID]
		switch {
		case held && f.now < until:
			// Still held.
		case held && f.undecided[e.ID]:
			due = append(due, e)
		case held, f.cfg.HoldTime <= 0, e.State != policy.Ready, f.replaced(e):
			gone = append(gone, e) // hold time over, not ready before, or replaced by another server
		default:
			f.heldUntil[e.ID], f.undecided[e.ID] = f.now+massDetectDelay, true
		}
	}
	before := f.readyCount + len(f.recentLosses) // includes servers that vanished one by one
	n := len(f.undecided) + len(f.recentLosses)
	mass := n >= minMassLoss && float64(n) > f.cfg.HoldPart*float64(before)
	if len(due) > 0 && mass {
		f.act.Note("list_held", fmt.Sprintf("servers=%d of=%d for=%s", len(f.undecided), before, f.cfg.HoldTime))
		for id := range f.undecided {
			f.heldUntil[id] = f.now + f.cfg.HoldTime
			f.Counts.Held++
		}
		clear(f.undecided)
		return gone
	}
	for _, e := range due {
		f.recentLosses = append(f.recentLosses, f.now)
		delete(f.undecided, e.ID)
	}
	return append(gone, due...)
}

// replaced reports whether another server has the address of a vanished one.
func (f *Follower) replaced(e Entry) bool {
	return slices.ContainsFunc(f.byAddr[e.Addr], func(r *record) bool { return r.entry.ID != e.ID })
}

// Timer handles the time set with Wake.
func (f *Follower) Timer(now time.Duration) {
	f.now = now
	switch {
	case f.call.ID != 0 && now >= f.deadline && f.answered && !f.call.ReadList && f.pendingSince == 0: // a stream without answers may be cut: a new one shows
		f.dropCall()
		f.startCall()
	case f.longPolling() && now >= f.deadline:
		f.checkSilentWatch()
	case f.call.ID != 0 && now >= f.deadline:
		f.slow = true
		f.recordFailure("no answer")
	case f.call.ID == 0 && f.nextCallAt > 0 && now >= f.nextCallAt:
		f.startCall()
	}
	due := false
	for _, until := range f.heldUntil {
		due = due || now >= until
	}
	if due {
		if len(f.undecided) == 0 {
			f.act.Note("list_released", fmt.Sprintf("servers=%d", len(f.heldUntil)))
		}
		f.reportChanges(false)
	}
	f.scheduleWake()
}

// scheduleWake sets the time of the next Timer call.
func (f *Follower) scheduleWake() {
	at := time.Duration(0)
	earlier := func(x time.Duration) {
		if at == 0 || x < at {
			at = x
		}
	}
	switch {
	case f.call.ID != 0:
		earlier(f.deadline)
	case f.nextCallAt > 0:
		earlier(f.nextCallAt)
	}
	for _, until := range f.heldUntil {
		earlier(until)
	}
	if at > 0 {
		f.act.Wake(at)
	}
}
