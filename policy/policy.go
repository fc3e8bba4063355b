package policy

// This file holds the decisions; api.go declares the types, events and actions.
//
// In the normal case rank orders the ready caches for the request's key by weighted highest-random-weight
// score. The top cache gets the request, and a retry, if mayAttempt allows it, goes to the next one. In
// aside mode a read that misses, and every write, goes to the origin.
//
// Exceptions to that:
//   - The weight of a starting server is reduced to the capacity it is certain to have (warmth, withinColdBudget).
//   - Failing servers are skipped (skipped).
//   - Keys of a crowded server go to the next one (crowded, pick).
//   - A hot key is spread over several servers (keyLoad, pick).
//   - A request that exceeds a server's concurrency limit is queued, sent to an idle origin or refused (sendOrHold, overflow,
//     adjustLimit).
//   - Concurrent reads of one key share a fetch (joinFetch, releaseWaiters).
//   - A safe read that hangs times out early enough for a retry, within a retry budget (send).
//   - An answer that has begun is waited for while its client waits (AnswerBegun).
//   - A request that cannot be answered within its aim is given up (sweep, giveUp).
//   - Servers that answer late get fewer requests (overloaded).
//   - While answers are late, caches that report their load are probed first (probe).
//   - Keys stay with their server while fetches occupy the caches (congested).

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strings"
	"time"

	"lapisshelf/decide/patience"
	"lapisshelf/decide/safety"
)

const (
	failuresToSkip     = 3               // consecutive failures after which a server is skipped
	skipDuration       = 5 * time.Second // time between trials of a skipped server
	crowdedFactor      = 2               // a server is crowded above this multiple of its share of the attempts in flight
	crowdedMin         = 2               // a server with at most this many attempts in flight is never crowded
	initialLimit       = 1               // concurrency limit of a server without history
	lateQuantile       = 0.95            // latency quantile that counts as late
	lateTolerance      = 0.2             // late answers per timely one that may be chance; more means overload
	recentKeysPerCache = 4               // keys remembered per cache: a key with a cache's mean load goes unseen once in e^4
	coldBudgetFraction = 0.5             // used part of the cold budget, since the fleet's rates are estimated from this node's
)

// New returns a balancer without history.
func New(now time.Duration, set Settings, seed uint64, act Actions) *Balancer {
	b := newBalancer(now, set, seed, act)
	b.maxSubscribeGap = cmp.Or(set.AskWithin, 4*skipDuration) // without a configured limit, retries must still be delayed
	b.subscribeDelay = b.maxSubscribeGap / 16
	b.lateLatency, b.meanLatency = float64(b.shortestAim)/2, float64(b.shortestAim)/4 // initial estimates, until answers are observed
	if set.MustSubscribe {
		act.Subscribe()
	}
	return b
}

// Members handles an update of the server list.
func (b *Balancer) Members(now time.Duration, kind ListKind, list []Server) {
	b.now = now
	if kind == ListFailed {
		// Backoff with jitter, well below AskWithin, protects a failing list service.
		b.subscribeDelay = min(2*b.subscribeDelay, b.maxSubscribeGap/4)
		b.act.Timer(b.subscribeDelay/2+time.Duration(b.rng.Float64()*float64(b.subscribeDelay/2)), "list")
		return
	}
	if kind != ListSaved {
		b.subscribeDelay = b.maxSubscribeGap / 16
	}
	b.merge(kind, list)
	b.rerouteHeld()
}

// MarkDraining marks a server as draining. It is called when another process of the node has a newer list that says so.
func (b *Balancer) MarkDraining(now time.Duration, id string) {
	b.now = now
	if s := b.servers[id]; s != nil && s.State == Ready {
		s.State = Draining
		b.reindex()
		b.rerouteHeld()
	}
}

// rerouteHeld routes again the requests held for servers that may not get new requests any more.
func (b *Balancer) rerouteHeld() {
	for _, r := range slices.Clone(b.order) {
		if s := r.heldFor; !r.ended && s != nil && !s.open() {
			r.heldFor, s.queue = nil, nil // all queued requests are in order and are handled by this loop
			b.route(r)
		}
	}
}

// hrw returns a server's score for a key, the same at all balancers: 8-byte BLAKE2b over the id, a zero byte and the key.
func (b *Balancer) hrw(id, key string) uint64 {
	b.scratch = append(append(append(b.scratch[:0], id...), 0), key...)
	b.hash.Reset()
	b.hash.Write(b.scratch)
	return binary.BigEndian.Uint64(b.hash.Sum(b.scratch[:0]))
}

// weightedScore scales a score by a weight for weighted rendezvous hashing; the highest wins. The value u is strictly between
// 0 and 1, so that the result is finite.
func weightedScore(h uint64, weight float64) float64 {
	u := (float64(h>>12) + 0.5) / (1 << 52)
	return -weight / math.Log(u)
}

// rank returns the ready caches for a key, best first. The slice is valid until the next call.
func (b *Balancer) rank(key string) []*server {
	b.ranked, b.totalWeight, b.warmWeight = b.ranked[:0], 0, 0
	scores := b.scores(key)
	for i, s := range b.caches {
		if w := s.weight * b.warmth(s); w > 0 {
			s.score = weightedScore(scores[i], w)
			b.addWeight(s, w)
			b.ranked = append(b.ranked, s)
		}
	}
	slices.SortFunc(b.ranked, func(x, y *server) int {
		if x.score == y.score {
			return strings.Compare(y.ID, x.ID)
		}
		return cmp.Compare(y.score, x.score)
	})
	return b.ranked
}

// warmth returns the fraction of its capacity that a server is certain to have now. It grows linearly over the warm-up, so that
// keys move to the server gradually.
func (b *Balancer) warmth(s *server) float64 {
	age := b.now - s.warmingSince
	if s.warmingSince == 0 || age >= b.set.WarmUp {
		return 1
	}
	return b.set.ColdFrom + (1-b.set.ColdFrom)*max(0, float64(age)/float64(b.set.WarmUp))
}

// mayAttempt reports whether the request may be sent to s now: the request is open, before its deadline and within its attempt
// limits, s accepts new requests, and no effect can happen twice. Every send passes through it.
func (b *Balancer) mayAttempt(r *request, s *server) bool {
	if r.ended || r.bodyDiscarded || b.now >= r.deadline || !s.open() || len(r.attempts) >= b.set.MaxAttempts {
		return false
	}
	if r.outstanding > 0 && (r.class.Effect != Safe || !b.set.Parallel) {
		return false
	}
	for _, a := range r.attempts {
		e := safety.PriorAttempt{Done: a.done, NeverRan: a.neverRan, Age: b.now - a.at, SameScope: r.class.Scope.sameGroup(a.srv, s)}
		if safety.CheckRepeat(r.class.Effect.safetyEffect(), r.class.Window, e) != safety.Allowed {
			return false
		}
	}
	return true
}

// safetyEffect converts the effect to that of package safety; an unknown one becomes Unsafe.
func (e Effect) safetyEffect() safety.Effect {
	switch e {
	case Safe:
		return safety.Safe
	case Keyed:
		return safety.Keyed
	}
	return safety.Unsafe
}

// mayRefuse reports whether the request may be refused. A refusal promises that a retry is harmless, so no attempt of a keyed or
// unsafe request may have run.
func (r *request) mayRefuse() bool {
	return r.class.Effect == Safe || !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// withinColdBudget reports whether a warming server may get the request: it gets at most this node's share of the load at
// which it collapses. The budget is derived from the reads that this node gets answered, because under overload the numbers of
// sends, and of misses that are not fetched, say nothing about the capacity of servers; a budget derived from sends let a cold
// server be pushed over.
//
// An allowance below one attempt cannot be enforced by counting. It is kept on average, by random choice, and only for first
// attempts whose key ranks the server first: with all other servers jammed, all nodes turned to a cold one, and nobody knows the
// number of such requests. It also excludes keys seen before, which may be hot at many nodes. The probability is based on the
// requests received, including this one, since a new balancer has sent nothing yet. After one such attempt no other is made until
// the decaying count of sends has fallen to the allowance.
//
// A limit granted by planners applies in addition.
func (b *Balancer) withinColdBudget(r *request, s *server) bool {
	if b.warmth(s) == 1 {
		return true
	}
	budget := coldBudgetFraction * b.set.FallMultiple * b.cacheThroughput()
	share := s.weight * b.warmth(s) / b.totalWeight
	if s.maxRate > 0 {
		budget = min(budget, s.maxRate*b.set.FallWindow.Seconds()/share)
	}
	allowance := budget * share
	if allowance >= 1 {
		return s.sends.at(b.now, b.set.FallWindow)+1 <= allowance
	}
	// A key that is new to this node may have just become hot at all nodes. In aside mode the whole multiple is reserved
	// for that, as passing over a cold server costs only a lookup there and no room at another cache.
	if b.set.Mode == Aside {
		budget /= max(1, b.set.FallMultiple)
	}
	return len(r.attempts) == 0 && s == b.ranked[0] && s.sends.at(b.now, b.set.FallWindow) <= allowance &&
		b.recentKeys.count[digestOf(r.Key)] <= 1 && b.rng.Float64()*b.cacheRequests.at(b.now, b.set.FallWindow) <= budget
}

// tried reports whether the request was sent to s and, if it missed, the key has not been stored there since.
func (b *Balancer) tried(r *request, s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.srv == s && !a.filled })
}

// hasRoom reports whether the concurrency limit of s allows one more attempt. A limit below one means that an attempt may be in
// flight for that fraction of the time: many nodes with one attempt each would still crowd a server.
func (b *Balancer) hasRoom(s *server) bool {
	pauseOver := s.limit >= 1 || float64(b.now-s.freedAt) >= (1/s.limit-1)*b.meanLatency
	return pauseOver && !b.awaitsProbe(s) && float64(len(s.inFlight)) < s.limit
}

// probe asks a cache for its load before it gets a request, at most once per mean latency and only while about one answer in
// twenty is late. A node that sends a cache one request in several seconds learns too late from answers alone that it is
// overloaded.
func (b *Balancer) probe(s *server) {
	if b.set.MayProbe && s != b.origin && (!s.probing || b.now-s.probedAt > skipDuration) &&
		b.now-max(s.probedAt, s.reportedAt) > time.Duration(b.meanLatency) &&
		b.lateAnswers.at(b.now, skipDuration) > lateTolerance/4*b.timelyAnswers.at(b.now, skipDuration) {
		s.probedAt, s.probing = b.now, true
		b.act.Probe(s.ID)
	}
}

// awaitsProbe reports whether requests are held until a server answers a probe. A missing answer holds them for a quarter of
// the shortest aim at most.
func (b *Balancer) awaitsProbe(s *server) bool {
	return s.probing && b.now-s.probedAt < b.shortestAim/4
}

// Probed handles the answer to a probe. A failed probe carries no information, since servers limit how many they answer.
func (b *Balancer) Probed(now time.Duration, id string, ok bool, rep Report) {
	b.now = now
	s := b.servers[id]
	if s == nil || !s.probing {
		return
	}
	if s.probing = false; ok {
		s.reportedAt, s.reportedWait = now, time.Duration(rep.Queue/max(rep.Rate, 1)*float64(time.Second))
	}
	b.sendHeld(s)
}

// skipped reports whether a server's consecutive failures exclude it. One trial is allowed per skipDuration.
func (b *Balancer) skipped(s *server) bool {
	return s.failures >= failuresToSkip && (b.now < s.skipUntil || len(s.inFlight) > 0)
}

// crowded reports whether a server is at its limit, or has far more of this node's attempts in flight than its share.
func (b *Balancer) crowded(s *server) bool {
	share := float64(b.outstanding) * s.weight * b.warmth(s) / b.totalWeight
	return !b.hasRoom(s) || float64(len(s.inFlight)) > max(crowdedMin, crowdedFactor*share)
}

// keyLoad returns the load of a key in multiples of a cache's mean load, estimated from its repeats among the recent requests
// and from the view.
func (b *Balancer) keyLoad(key string) float64 {
	k, n := digestOf(key), float64(len(b.caches))
	repeats := float64(max(0, b.recentKeys.count[k]-1))
	return max(b.hotKeys[k], repeats*n/max(n, float64(len(b.recentKeys.keys))))
}

// overloaded reports whether to pass over a server. With a fresh load report it does so if the reported wait and twice the mean
// latency exceed the time left until the aim; otherwise by random choice, with a probability that grows with the server's
// share of late answers.
func (b *Balancer) overloaded(r *request, s *server) bool {
	if meanLatency := time.Duration(b.meanLatency); s.reportedAt > 0 && b.now-s.reportedAt <= meanLatency {
		return b.now+s.reportedWait+2*meanLatency > r.aim
	}
	late, timely := s.late.at(b.now, skipDuration), s.timely.at(b.now, skipDuration)
	return b.rng.Float64()*(late+timely+1) < late-lateTolerance*timely
}

// congested reports whether so many answers are late in through mode that fetches must be occupying the caches. Keys then stay
// with their servers, even full or late ones: other servers would have to fetch the keys too and jam as well.
func (b *Balancer) congested() bool {
	return b.set.Mode == Through && b.lateAnswers.at(b.now, skipDuration) > 2*lateTolerance*b.timelyAnswers.at(b.now, skipDuration)
}

// pick walks down the ranking and returns the first server that may get the request and is neither skipped nor crowded, or nil.
// It looks no further than the key's second server, the number of its open requests here, or the number of servers that can
// carry a hot key, which may exceed its server's capacity while no node has two requests open for it. Other keys thus do not
// suffer extra misses. Where crossing zones costs extra, retries and further servers stay in the node's zone while it has caches
// left. If all servers are crowded the first one that is not overloaded is used; if all are overloaded, none: with the
// requests of many nodes all servers would be jammed by work that finishes late.
func (b *Balancer) pick(r *request) *server {
	rank := b.rank(r.rankingKey())
	skipped, spread, loadLeft := count(rank, b.skipped), 0, b.keyLoad(r.Key)
	nearby := func(s *server) bool { return s.Zone == b.set.Zone && !b.skipped(s) && !b.tried(r, s) }
	zoned := b.set.Zone != "" && slices.ContainsFunc(rank, nearby) // beyond the key's first server, only servers of this zone
	var candidates []*server
	for _, s := range rank {
		skip := b.skipped(s) && skipped < len(rank) || zoned && !nearby(s) && len(candidates)+len(r.attempts) > 0
		if !skip && !b.tried(r, s) && b.mayAttempt(r, s) && b.withinColdBudget(r, s) {
			if candidates = append(candidates, s); spread == 0 || loadLeft > 0 { // a hot key starts at as many servers as can carry it
				spread, loadLeft = spread+1, loadLeft-s.weight*b.warmth(s)*float64(len(rank))/b.totalWeight
			}
			if loadLeft <= 0 && len(candidates) >= max(2, b.openByKey[r.Key]) {
				break
			}
		}
	}
	start, best := 0, 0.0
	for i, s := range candidates[:spread] { // requests of a hot key are spread by rendezvous hashing of their ids
		x := weightedScore(b.hrw(s.ID, r.ID), s.weight*b.warmth(s))
		if x > best && !(zoned && spread > 1 && !nearby(s)) {
			start, best = i, x
		}
	}
	var fallback *server
	for i := range candidates {
		s := candidates[(start+i)%len(candidates)]
		if b.congested() {
			return s
		}
		if b.overloaded(r, s) {
			continue
		}
		if !b.crowded(s) && (i == 0 || b.warmth(s) == 1 || !b.set.OriginFalls) {
			return s
		}
		fallback = cmp.Or(fallback, s)
	}
	return fallback
}

// Request handles a new request.
func (b *Balancer) Request(now time.Duration, q Request) {
	b.now = now
	c := cmp.Or(b.classes[q.Class], &Class{Name: q.Class, Aim: q.Remaining, Effect: Unsafe}) // requests of unknown classes are not repeated
	r := &request{Request: q, class: c, aim: now + min(c.Aim, q.Remaining), deadline: now + q.Remaining, sample: b.sampleOf(q)}
	b.open[q.ID] = r
	b.order = append(b.order, r)
	b.openByKey[r.Key]++
	if !b.sweepScheduled { // idle nodes, of which there may be hundreds, set no timer
		b.sweepScheduled = true
		b.act.Timer(b.sweepInterval, "sweep")
	}
	b.recordArrival(r)
	if t := b.tenants[q.Tenant]; t != nil { // assumes that all nodes get the same share of the tenant's requests
		t.requests.add(now, b.set.FallWindow)
		expected := t.Quota * b.set.FallWindow.Seconds() / float64(max(1, b.set.Balancers))
		r.overQuota = t.requests.value > expected+2*math.Sqrt(expected) // two standard deviations above the quota
		if t.fleetRate > 0 {                                            // planners know the rate over the fleet
			r.overQuota = t.fleetRate > t.Quota
		}
	}
	b.route(r)
}

// BodyReceived notes that the request's body is complete; remaining is the time until the client gives up. The aim, the deadline
// and the slot that the attempt takes at its server count from now on: a client's slow upload is no load on the server.
func (b *Balancer) BodyReceived(now time.Duration, id string, remaining time.Duration) {
	b.now = now
	r := b.open[id]
	if r == nil || r.ended || !r.BodyPending {
		return
	}
	r.BodyPending, r.aim, r.deadline = false, now+min(r.class.Aim, remaining), now+remaining
	for _, a := range r.attempts {
		if !a.done {
			a.at = now
			b.occupy(a)
		}
	}
}

// BodyTimedOut notes that the client may have stopped waiting while the request's body is still incomplete here. An attempt that has part
// of the body has not run and ends, and the request is refused.
func (b *Balancer) BodyTimedOut(now time.Duration, id string) {
	b.now = now
	r := b.open[id]
	if r == nil || r.ended || !r.BodyPending {
		return
	}
	for _, a := range r.attempts {
		a.neverRan = a.neverRan || !a.done
	}
	b.endUnserved(r)
}

// route chooses the next step of a request, for the first time or again after an attempt or a wait.
func (b *Balancer) route(r *request) {
	if b.set.Mode == Aside && r.Write {
		b.fetch(r)
		return
	}
	if b.set.Mode == Aside && b.fetches[r.Key] != nil && b.joinFetch(r) {
		return
	}
	s := b.pick(r)
	if s == nil {
		b.overflow(r)
		return
	}
	b.sendOrHold(r, s)
}

// joinFetch makes a read the leader of a new fetch of its key, or queues it behind the fetch in flight and returns true.
func (b *Balancer) joinFetch(r *request) bool {
	f := b.fetches[r.Key]
	if f == nil {
		f = &fetch{leader: r}
		b.fetches[r.Key] = f
	}
	if f.leader != r {
		f.waiting = append(f.waiting, r)
	}
	return f.leader != r
}

// sendOrHold sends a request to s, or holds it until s has room if it can still be answered within its aim after that.
func (b *Balancer) sendOrHold(r *request, s *server) {
	b.probe(s)
	if b.hasRoom(s) {
		b.send(r, s)
		return
	}
	// A request over its tenant's quota has little worth and is not held, which leaves the room to others.
	if !b.awaitsProbe(s) &&
		(r.overQuota || b.now+time.Duration(b.meanLatency*(1+float64(len(s.queue)+1)/s.limit)) > r.aim) {
		b.overflow(r) // it could not be answered in time
		return
	}
	r.heldFor = s
	s.queue = append(s.queue, r)
}

// overflow sends a request that no cache can answer in time to the origin, if the origin has room and cannot be brought down by
// too many misses.
func (b *Balancer) overflow(r *request) {
	if len(b.ranked) > 0 && !b.set.OriginFalls && b.origin != nil && b.hasRoom(b.origin) {
		b.fetch(r)
	} else {
		b.giveUp(r)
	}
}

// precedes reports whether r is sent before o: requests within their tenant's quota first, then writes, then those of higher
// worth. Equal ones go by age.
func (r *request) precedes(o *request) bool {
	if r.overQuota != o.overQuota {
		return o.overQuota
	}
	return r.Write && !o.Write || r.Write == o.Write && r.class.Worth > o.class.Worth
}

// sendHeld sends requests held for s while s has room.
func (b *Balancer) sendHeld(s *server) {
	for s != nil && len(s.queue) > 0 && b.hasRoom(s) {
		best := 0
		for i, r := range s.queue {
			if r.precedes(s.queue[best]) {
				best = i
			}
		}
		r := s.queue[best]
		s.queue = slices.Delete(s.queue, best, best+1)
		if r.heldFor = nil; s == b.origin && !b.retryCaches(r) {
			b.fetch(r)
		} else {
			b.route(r)
		}
	}
}

// retryCaches reports whether a read that waited for the origin asks its caches once more, and allows that. It needs the attempts
// for both: another node may have filled the caches meanwhile. Without this, 44 of 100 reads missed.
func (b *Balancer) retryCaches(r *request) bool {
	if r.Write || len(r.attempts)+2 > b.set.MaxAttempts {
		return false
	}
	for _, a := range r.attempts {
		a.filled = true
	}
	return len(r.attempts) > 0
}

// send starts an attempt at s. The attempt takes a slot there once the body of its request is complete.
func (b *Balancer) send(r *request, s *server) {
	a := &attempt{n: len(r.attempts), req: r, srv: s, at: b.now, origin: s == b.origin}
	r.attempts = append(r.attempts, a)
	r.outstanding++
	if !r.BodyPending {
		b.occupy(a)
	}
	s.sends.add(b.now, b.set.FallWindow)
	wait := time.Duration(0)
	if s != b.origin {
		// In through mode a late read is probably being fetched, and another cache could only fetch it again.
		retryable := b.set.Mode == Aside && r.class.Effect == Safe && len(r.attempts) < b.set.MaxAttempts
		if window := b.set.FallWindow; retryable && b.now < r.aim &&
			b.timeouts.at(b.now, window) <= lateTolerance*b.answeredReads.at(b.now, window) {
			// Guards against a server that never answers: half of the time left until the aim is reserved for a
			// retry, but an attempt that is merely slow, up to twice the late quantile, is allowed to finish.
			wait = max((r.aim-b.now)/2, time.Duration(2*b.lateLatency))
		}
	}
	b.act.Send(r.ID, s.ID, wait, r.windowEnd())
}

// giveUp ends a request unserved, with a refusal where that is allowed. It does nothing while an attempt in flight may still
// answer the request.
func (b *Balancer) giveUp(r *request) {
	if !r.ended && r.outstanding == 0 {
		b.endUnserved(r)
	}
}

// endUnserved ends a request with a refusal where that is allowed.
func (b *Balancer) endUnserved(r *request) {
	if r.mayRefuse() {
		b.act.Refuse(r.ID, min(b.set.RetryAfterLimit, r.class.Aim))
	} else {
		b.act.Fail(r.ID)
	}
	b.finish(r, false)
}

// finish closes a request: its attempts in flight are cancelled, and reads that waited for its fetch go on.
func (b *Balancer) finish(r *request, served bool) {
	r.ended = true
	for _, a := range r.attempts {
		if !a.done && b.set.MayCancel {
			b.act.Cancel(r.ID, a.n)
		}
	}
	b.forget(r)
	b.releaseWaiters(r, served)
}

// Abandoned notes that the client no longer waits for the request.
func (b *Balancer) Abandoned(now time.Duration, id string) {
	b.now = now
	if r := b.open[id]; r != nil && !r.ended {
		b.finish(r, false)
	}
}

// Result handles the end of an attempt.
func (b *Balancer) Result(now time.Duration, res Result) {
	b.now = now
	r := b.open[res.ID]
	if r == nil || res.N < 0 || res.N >= len(r.attempts) || r.attempts[res.N].done {
		return
	}
	a := r.attempts[res.N]
	a.done, a.neverRan = true, res.Outcome.NeverRan()
	r.outstanding--
	r.bodyDiscarded = r.bodyDiscarded || res.BodyDiscarded
	b.free(a)
	b.observe(a, res)
	defer b.sendHeld(a.srv)
	switch {
	case r.ended && r.outstanding == 0:
		delete(b.open, r.ID)
	case r.ended:
	case res.Final:
		b.finish(r, res.Outcome == OK)
	case r.outstanding > 0: // the other attempt may still answer
	case res.Outcome == NotSent, res.Outcome == Full && (a.origin || b.congested()):
		b.giveUp(r)
	case b.set.Mode == Aside && (a.origin || res.Outcome == Miss):
		b.fetch(r)
	default:
		b.route(r)
	}
}

// AnswerBegun notes that an answer has begun to arrive and is incomplete, and returns how long its rest is waited for. The attempt is no
// longer subject to the timeout that it was sent with. It returns 0 if nobody waits for the answer.
func (b *Balancer) AnswerBegun(now time.Duration, id string, n int) time.Duration {
	b.now = now
	r := b.open[id]
	if r == nil || r.ended || n < 0 || n >= len(r.attempts) || r.attempts[n].done {
		return 0
	}
	a := r.attempts[n]
	a.answering = true
	begun := patience.Answer{Remaining: r.deadline - now, Repeatable: true, AnswerTime: time.Duration(b.lateLatency)}
	begun.Repeatable = len(r.attempts) < b.set.MaxAttempts && r.repeatableAt(a, now+patience.Wait(begun))
	return patience.Wait(begun)
}

// repeatableAt reports whether the request may be sent again at a time when an attempt that may have run has ended.
func (r *request) repeatableAt(a *attempt, at time.Duration) bool {
	ended := safety.PriorAttempt{Done: true, Age: at - a.at, SameScope: true}
	return !r.bodyDiscarded && safety.CheckRepeat(r.class.Effect.safetyEffect(), r.class.Window, ended) == safety.Allowed
}

// ResponseStarted notes that the first bytes of an answer have arrived. The request is bound to the attempt while that lasts: it gets no
// other one and no timeout. The slot at the server and the reads that wait for the fetch are released, since the time that a client takes
// to read a large value is not the server's.
func (b *Balancer) ResponseStarted(now time.Duration, id string, n int) {
	b.now = now
	r := b.open[id]
	if r == nil || n < 0 || n >= len(r.attempts) || r.attempts[n].done || r.attempts[n].firstByteAt > 0 {
		return
	}
	a := r.attempts[n]
	a.firstByteAt, a.srv.lastAnswerAt = now, now
	b.free(a)
	b.releaseWaiters(r, true)
	b.sendHeld(a.srv)
}

// observe updates the server's health, its concurrency limit and the latency statistics after an attempt.
func (b *Balancer) observe(a *attempt, res Result) {
	s, o := a.srv, res.Outcome
	b.recordOutcome(a, o)
	// Guards against skipping a server that answers other requests, or because a reused connection ended.
	if o == OK || o != TimedOut && o != Reset || s.lastAnswerAt <= a.at && !res.ReusedConn {
		b.trackHealth(s, o)
	}
	if o != NotSent && o != Cancelled && o != ConnectFailed {
		// An answer after half the aim leaves too little time for a retry. Writes are not judged by their latency.
		late := o == Full || a.latency(b.now) > a.req.class.Aim/2 && !a.req.Write
		if !a.countedLate {
			b.adjustLimit(s, a.at, late && (o == Full || !a.lateAlone()))
		}
		if !a.origin && o != Reset { // a reset is no answer
			b.recordAnswer(s, o, late)
		}
	}
}

// lateAlone reports whether an attempt sent after this one has been answered well in time. The cause is then the attempt's own
// work or connection, not the server's queue. With a limit of one the latest attempt alone is decisive.
func (a *attempt) lateAlone() bool { return a.srv.limit > 1 && a.srv.promptSentAt > a.at }

// trackHealth counts consecutive failures; from failuresToSkip on the server is skipped for skipDuration.
func (b *Balancer) trackHealth(s *server, o Outcome) {
	switch o {
	case OK, Miss:
		if s.failures >= failuresToSkip {
			b.act.Log("back: " + s.ID)
		}
		s.failures = 0
	case Errored, TimedOut, ConnectFailed, Reset:
		if s.failures++; s.failures == failuresToSkip {
			b.act.Log("skip: " + s.ID + ", failed three times in a row")
		}
		s.skipUntil = b.now + skipDuration
	}
}

// adjustLimit updates a server's concurrency limit: it grows while it is used and answers are timely, and is halved, at most once
// per round trip, when the server is overloaded. This keeps servers from accepting more than they can answer in time.
func (b *Balancer) adjustLimit(s *server, sentAt time.Duration, overloaded bool) {
	switch {
	case float64(len(s.inFlight)+1) < s.limit/2:
	case overloaded && sentAt < s.limitCutAt:
	case overloaded:
		if s.limit <= 1 { // half of the current use, however small: with hundreds of nodes each sends little
			used := s.sends.at(b.now, b.set.FallWindow) * b.meanLatency / float64(max(1, b.set.FallWindow))
			s.limit = max(min(s.limit, used), 2*b.meanLatency/float64(skipDuration)) // at least one trial per skipDuration
		}
		s.limit, s.limitCutAt, s.overloaded = max(s.limit/2, 1/float64(max(1, b.set.Balancers))), b.now, true
	case !s.overloaded:
		s.limit++
	case s.limit < 1 && b.now-sentAt < b.shortestAim/4: // clearly timely: few answers come at such a limit, so it doubles
		s.limit *= 2
	default:
		s.limit += min(s.limit/4, 1/s.limit)
	}
}

// fetch sends a read that missed, or a write, to the origin. Reads of one key share a fetch.
func (b *Balancer) fetch(r *request) {
	if !r.Write && r.Key != "" && b.joinFetch(r) {
		return
	}
	// Where the origin rejects reads, planners reduce those of all nodes alike; most nodes send too few to adapt by themselves.
	if b.origin != nil && b.mayAttempt(r, b.origin) && (r.Write || r.sample >= b.originThinning) {
		b.sendOrHold(r, b.origin)
	} else {
		b.giveUp(r)
	}
}

// releaseWaiters routes the reads that waited for r's fetch: to the caches or, if the fetch failed in aside mode, to the origin.
func (b *Balancer) releaseWaiters(r *request, served bool) {
	if !b.leadsFetch(r) {
		return
	}
	f := b.fetches[r.Key]
	delete(b.fetches, r.Key)
	for _, w := range f.waiting {
		for _, a := range w.attempts {
			a.filled = a.filled || served
		}
		switch {
		case w.ended:
		case !served && b.set.Mode == Aside:
			b.fetch(w)
		default:
			b.route(w)
		}
	}
}

// Timer handles the expiry of a timer set through Actions.
func (b *Balancer) Timer(now time.Duration, token string) {
	b.now = now
	switch token {
	case "list":
		b.act.Subscribe()
	case "sweep":
		b.sweep()
		if b.sweepScheduled = len(b.order) > 0; b.sweepScheduled {
			b.act.Timer(b.sweepInterval, "sweep")
		}
	}
}

// sweep sends held requests that servers have room for, reduces the limits of servers whose attempts are overdue, and gives
// up requests that can no longer be answered in time.
func (b *Balancer) sweep() {
	for _, r := range slices.Clone(b.order) {
		b.sendHeld(r.heldFor)
		for _, a := range r.attempts { // waiting for the end of a hanging attempt would cut the limit too late
			if !a.done && a.firstByteAt == 0 && !a.countedLate && !r.Write && b.now-a.at > r.class.Aim/2 {
				if a.countedLate = true; !a.lateAlone() {
					b.adjustLimit(a.srv, a.at, true)
				} else if quiet := b.now-a.srv.limitCutAt > b.set.FallWindow && len(a.srv.queue) == 0; quiet &&
					a.origin && !a.answering && b.now < r.aim && r.class.Effect == Safe && b.set.MayCancel {
					// The connection has probably gone silent: cancelled, so that the read is sent again.
					b.act.Cancel(r.ID, a.n)
				}
			}
		}
		if r.outstanding == 0 && (b.now+time.Duration(b.meanLatency) >= r.aim || b.now+2*b.sweepInterval >= r.deadline) {
			b.giveUp(r)
		}
	}
	b.order = slices.DeleteFunc(b.order, func(r *request) bool { return r.ended })
}
