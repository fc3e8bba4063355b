package policy

// All decisions of lapisshelf. The types, events and actions stand in api.go.
//
// The ordinary path: rank orders the ready caches for the request's key by weighted highest-random-weight
// score, the top one gets the request, and a further try, where may allows it, goes to the next one down. In
// aside mode a read that misses, and every write, goes to the origin.
//
// The departures: a starting server's weight is cut to what it is sure to bear (warmth, coldRoom); failing
// servers are skipped (down); a crowded one's keys go to their next (crowded, pick); a hot key spreads (load,
// pick); what a server has no room for is held, sent to an idle origin or turned away (gate, pass, steer);
// reads of one key share one fetch (joins, release); a safe read that hangs is cut off for a further try,
// within a budget (send); what cannot be answered by its aim is given up (sweep, giveUp); servers that answer
// late are spared (strained); while late answers come, caches that tell their load when probed are asked
// first (probe); keys stay put while fetches clog the caches (clogged).

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strings"
	"time"

	"lapisshelf/decide/safety"
)

const ( // each for a reason that holds anywhere
	failuresToSkip     = 3               // straight failures that skip a server (design page)
	skipDuration       = 5 * time.Second // how long, before one trial (design page)
	crowdedFactor      = 2               // times its share of what is out that makes a server crowded (design page)
	crowdedMin         = 2               // never crowded with this few out (design page)
	initialLimit       = 1               // attempts out at a server of which nothing is known
	lateQuantile       = 0.95            // the quantile of answer times that counts as late
	lateTolerance      = 0.2             // late ones for each answer that may be chance; beyond it, strain
	recentKeysPerCache = 4               // requests remembered for each cache: a mean load goes unseen once in e^4
	coldBudgetFraction = 0.5             // part of the fall budget used: own counts are guesses of the fleet's
)

// New starts a balancer without memory.
func New(now time.Duration, set Settings, seed uint64, act Actions) *Balancer {
	b := newBalancer(now, set, seed, act)
	b.maxSubscribeGap = cmp.Or(set.AskWithin, 4*skipDuration) // no limit told must not mean no pause
	b.subscribeDelay = b.maxSubscribeGap / 16
	b.lateLatency, b.meanLatency = float64(b.shortestAim)/2, float64(b.shortestAim)/4 // until answers tell
	if set.MustSubscribe {
		act.Subscribe()
	}
	return b
}

// Members takes news of the server list.
func (b *Balancer) Members(now time.Duration, kind ListKind, list []Server) {
	b.now = now
	if kind == ListFailed {
		// Growing waits with jitter, well inside AskWithin: a failing list service is not stormed.
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

// MarkDraining notes that a server drains, as another process of the node knows by a newer list than this one has.
func (b *Balancer) MarkDraining(now time.Duration, id string) {
	b.now = now
	if s := b.servers[id]; s != nil && s.State == Ready {
		s.State = Draining
		b.reindex()
		b.rerouteHeld()
	}
}

// regate sends on their way the requests held for servers that may get nothing any more.
func (b *Balancer) rerouteHeld() {
	for _, r := range slices.Clone(b.order) {
		if s := r.heldFor; !r.ended && s != nil && !s.open() {
			r.heldFor, s.queue = nil, nil // each of the queue is in order, and comes by here
			b.route(r)
		}
	}
}

// hrw is the shared score of a server for a key: blake2b, 8 bytes, over id, a zero byte and key.
func (b *Balancer) hrw(id, key string) uint64 {
	b.scratch = append(append(append(b.scratch[:0], id...), 0), key...)
	b.hash.Reset()
	b.hash.Write(b.scratch)
	return binary.BigEndian.Uint64(b.hash.Sum(b.scratch[:0]))
}

// race turns a score into the weighted race, higher wins; u stays strictly between 0 and 1.
func weightedScore(h uint64, weight float64) float64 {
	u := (float64(h>>12) + 0.5) / (1 << 52)
	return -weight / math.Log(u)
}

// rank orders the ready caches for a key, best first. The slice is good until the next call.
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

// warmth is the part of its capacity that a server is sure to have by now: keys move in a few at a time.
func (b *Balancer) warmth(s *server) float64 {
	age := b.now - s.warmingSince
	if s.warmingSince == 0 || age >= b.set.WarmUp {
		return 1
	}
	return b.set.ColdFrom + (1-b.set.ColdFrom)*max(0, float64(age)/float64(b.set.WarmUp))
}

// may holds rules 1 to 3: whether the request may be sent to s now. Every send passes through it.
func (b *Balancer) mayAttempt(r *request, s *server) bool {
	if r.ended || r.bodyDiscarded || b.now >= r.deadline || !s.open() || len(r.attempts) >= b.set.MaxAttempts {
		return false
	}
	if r.outstanding > 0 && (r.class.Effect != Safe || !b.set.Parallel) {
		return false
	}
	for _, a := range r.attempts {
		e := safety.Earlier{Done: a.done, NeverRan: a.neverRan, Age: b.now - a.at, SameGroup: r.class.Scope.sameGroup(a.srv, s)}
		if safety.Repeat(r.class.Effect.safetyEffect(), r.class.Window, e) != safety.Allowed {
			return false
		}
	}
	return true
}

// repeats is the effect as decide/safety names it; an unknown one is the strictest.
func (e Effect) safetyEffect() safety.Effect {
	switch e {
	case Safe:
		return safety.Safe
	case Keyed:
		return safety.Keyed
	}
	return safety.Unsafe
}

// mayRefuse reports whether a refusal, which promises that a retry is harmless, is true.
func (r *request) mayRefuse() bool {
	return r.class.Effect == Safe || !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// coldRoom holds rule 4: a warming server gets at most this node's part of the load that would push it over,
// told from the reads that this node gets answered: under overload what is sent, or missed and not fetched,
// says nothing of what servers can do (burnie-super overload). A part under one attempt cannot be counted
// out: it is kept in the mean, by chance, for the keys that the ranking gives it and no others, whose number
// nobody knows (docs-commons-bc h15b7c5: all else jammed, all nodes turned to it), and not for what may be
// many nodes' hot key or a further try. It goes by what is asked, this request among it (what was sent is
// nothing at a new module), and one call is the last until its count has faded to the part. The part that
// planners have shared out, if there are any, binds too.
func (b *Balancer) withinColdBudget(r *request, s *server) bool {
	if b.warmth(s) == 1 {
		return true
	}
	budget := coldBudgetFraction * b.set.FallMultiple * b.cacheThroughput()
	share := s.weight * b.warmth(s) / b.totalWeight
	if s.maxRate > 0 {
		budget = min(budget, s.maxRate*b.set.FallWindow.Seconds()/share)
	}
	part := budget * share
	if part >= 1 {
		return s.sends.at(b.now, b.set.FallWindow)+1 <= part
	}
	// A key new here may be hot at all nodes (launceston-platform-later he67fa9): the multiple is left for
	// it, where passing a cold server by costs a lookup and no cache's room.
	if b.set.Mode == Aside {
		budget /= max(1, b.set.FallMultiple)
	}
	return len(r.attempts) == 0 && s == b.ranked[0] && s.sends.at(b.now, b.set.FallWindow) <= part &&
		b.recentKeys.count[digestOf(r.Key)] <= 1 && b.rng.Float64()*b.cacheRequests.at(b.now, b.set.FallWindow) <= budget
}

// tried reports whether the request was sent to s and s has not been given what it lacked since.
func (b *Balancer) tried(r *request, s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.srv == s && !a.filled })
}

// room reports whether one more attempt may be out at s. A limit under one is that part of the time: one each
// of many nodes would still crowd a server (hobart-prices i2f1cd8).
func (b *Balancer) hasRoom(s *server) bool {
	rested := s.limit >= 1 || float64(b.now-s.freedAt) >= (1/s.limit-1)*b.meanLatency
	return rested && !b.awaitsProbe(s) && float64(len(s.inFlight)) < s.limit
}

// probe asks a cache for its load before it gets a request, once an answer time at most, while one answer in
// twenty comes late: a node that sends a cache a request in seconds learns too late (docs-commons-bc big-1).
func (b *Balancer) probe(s *server) {
	if b.set.MayProbe && s != b.origin && (!s.probing || b.now-s.probedAt > skipDuration) &&
		b.now-max(s.probedAt, s.reportedAt) > time.Duration(b.meanLatency) &&
		b.lateAnswers.at(b.now, skipDuration) > lateTolerance/4*b.timelyAnswers.at(b.now, skipDuration) {
		s.probedAt, s.probing = b.now, true
		b.act.Probe(s.ID)
	}
}

// awaits reports whether requests wait for what a server will tell; an answer that stays out holds none long.
func (b *Balancer) awaitsProbe(s *server) bool {
	return s.probing && b.now-s.probedAt < b.shortestAim/4
}

// Probed takes a server's answer to a probe. One that fails says nothing: servers answer only so many.
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

// down reports whether a server's straight failures keep it from all but one trial a spell.
func (b *Balancer) skipped(s *server) bool {
	return s.failures >= failuresToSkip && (b.now < s.skipUntil || len(s.inFlight) > 0)
}

// crowded reports whether a server holds far more of this node's requests than its share, or all it can.
func (b *Balancer) crowded(s *server) bool {
	share := float64(b.outstanding) * s.weight * b.warmth(s) / b.totalWeight
	return !b.hasRoom(s) || float64(len(s.inFlight)) > max(crowdedMin, crowdedFactor*share)
}

// load is how many caches' mean load a key brings, told from its repeats among the last requests.
func (b *Balancer) keyLoad(key string) float64 {
	k, n := digestOf(key), float64(len(b.caches))
	again := float64(max(0, b.recentKeys.count[k]-1))
	return max(b.hotKeys[k], again*n/max(n, float64(len(b.recentKeys.keys))))
}

// strained reports whether to spare a server: by what it has just told, where it tells, if that and two usual
// answer times are more than is left; else by chance, the more the more of its answers is late.
func (b *Balancer) overloaded(r *request, s *server) bool {
	if meanLatency := time.Duration(b.meanLatency); s.reportedAt > 0 && b.now-s.reportedAt <= meanLatency {
		return b.now+s.reportedWait+2*meanLatency > r.aim
	}
	late, timely := s.late.at(b.now, skipDuration), s.timely.at(b.now, skipDuration)
	return b.rng.Float64()*(late+timely+1) < late-lateTolerance*timely
}

// clogged reports whether so many answers come late, in through mode, that fetches must be taking the caches'
// room. Keys stay with their servers then, full or late: others had to fetch, and jammed (poa-renova).
func (b *Balancer) congested() bool {
	return b.set.Mode == Through && b.lateAnswers.at(b.now, skipDuration) > 2*lateTolerance*b.timelyAnswers.at(b.now, skipDuration)
}

// pick walks down the ranking to the server that should get the request: the first that may, is not skipped
// and not crowded, looking no further than the key's second, what it has open here, or what can carry a key
// that outruns its server with no two requests open at any node (burnie-super, 122 nodes): others do not pay
// with misses. Past the first it keeps to the node's zone where crossing is priced, while caches are left
// there. With all crowded the first that is not strained stands: what many nodes send would jam all servers
// with work that comes late (burnie-super, 501 nodes).
func (b *Balancer) pick(r *request) *server {
	rank := b.rank(r.rankingKey())
	skipped, wide, rest := count(rank, b.skipped), 0, b.keyLoad(r.Key)
	near := func(s *server) bool { return s.Zone == b.set.Zone && !b.skipped(s) && !b.tried(r, s) }
	zoned := b.set.Zone != "" && slices.ContainsFunc(rank, near) // past the key's first, only this zone's
	var able []*server
	for _, s := range rank {
		skip := b.skipped(s) && skipped < len(rank) || zoned && !near(s) && len(able)+len(r.attempts) > 0
		if !skip && !b.tried(r, s) && b.mayAttempt(r, s) && b.withinColdBudget(r, s) {
			if able = append(able, s); wide == 0 || rest > 0 { // a hot key starts at as many as can carry it
				wide, rest = wide+1, rest-s.weight*b.warmth(s)*float64(len(rank))/b.totalWeight
			}
			if rest <= 0 && len(able) >= max(2, b.openByKey[r.Key]) {
				break
			}
		}
	}
	start, best := 0, 0.0
	for i, s := range able[:wide] { // its requests race as keys do
		x := weightedScore(b.hrw(s.ID, r.ID), s.weight*b.warmth(s))
		if x > best && !(zoned && wide > 1 && !near(s)) {
			start, best = i, x
		}
	}
	var top *server
	for i := range able {
		s := able[(start+i)%len(able)]
		if b.congested() {
			return s
		}
		if b.overloaded(r, s) {
			continue
		}
		if !b.crowded(s) && (i == 0 || b.warmth(s) == 1 || !b.set.OriginFalls) {
			return s
		}
		top = cmp.Or(top, s)
	}
	return top
}

// Request takes a new request.
func (b *Balancer) Request(now time.Duration, q Request) {
	b.now = now
	c := cmp.Or(b.classes[q.Class], &Class{Name: q.Class, Aim: q.Remaining, Effect: Unsafe}) // unknown: no repeats
	r := &request{Request: q, class: c, aim: now + min(c.Aim, q.Remaining), deadline: now + q.Remaining, sample: b.sampleOf(q)}
	b.open[q.ID] = r
	b.order = append(b.order, r)
	b.openByKey[r.Key]++
	if !b.sweepScheduled { // hundreds of nodes have nothing to look at most of the time
		b.sweepScheduled = true
		b.act.Timer(b.sweepInterval, "sweep")
	}
	b.recordArrival(r)
	if t := b.tenants[q.Tenant]; t != nil { // judged as if all nodes saw as much of the tenant
		t.requests.add(now, b.set.FallWindow)
		due := t.Quota * b.set.FallWindow.Seconds() / float64(max(1, b.set.Balancers))
		r.overQuota = t.requests.value > due+2*math.Sqrt(due) // beyond what chance explains
		if t.fleetRate > 0 {                                  // planners see it
			r.overQuota = t.fleetRate > t.Quota
		}
	}
	b.route(r)
}

// BodyReceived notes that the last byte of a request has come, so long before it is given up. Its time counts from
// here, and so does the room that its attempt takes: how long a client takes to write is no server's work.
func (b *Balancer) BodyReceived(now time.Duration, id string, left time.Duration) {
	b.now = now
	r := b.open[id]
	if r == nil || r.ended || !r.BodyPending {
		return
	}
	r.BodyPending, r.aim, r.deadline = false, now+min(r.class.Aim, left), now+left
	for _, a := range r.attempts {
		if !a.done {
			a.at = now
			b.occupy(a)
		}
	}
}

// route sends a request on its way, or on its way again.
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

// joins makes a read wait for the fetch of its key that is out, or be that fetch.
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

// gate sends a request to s, or holds it for s while s has no room, if it can still be answered after that.
func (b *Balancer) sendOrHold(r *request, s *server) {
	b.probe(s)
	if b.hasRoom(s) {
		b.send(r, s)
		return
	}
	// Beyond its quota a request is worth little: it is not held, so that the others find room.
	if !b.awaitsProbe(s) &&
		(r.overQuota || b.now+time.Duration(b.meanLatency*(1+float64(len(s.queue)+1)/s.limit)) > r.aim) {
		b.overflow(r) // it would wait in vain
		return
	}
	r.heldFor = s
	s.queue = append(s.queue, r)
}

// pass has the origin answer what no cache can in time, if it has room and no number of misses stops it.
func (b *Balancer) overflow(r *request) {
	if len(b.ranked) > 0 && !b.set.OriginFalls && b.origin != nil && b.hasRoom(b.origin) {
		b.fetch(r)
	} else {
		b.giveUp(r)
	}
}

// before reports whether r is due before o: within its tenant's quota, a write, of more worth, else by age.
func (r *request) precedes(o *request) bool {
	if r.overQuota != o.overQuota {
		return o.overQuota
	}
	return r.Write && !o.Write || r.Write == o.Write && r.class.Worth > o.class.Worth
}

// admit sends what is held for s while s has room.
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

// again has a read that waited for the origin ask its caches once more, if it has the attempts: another node
// may have filled them since (docs-commons-bc i3286d2, 44 misses in 100).
func (b *Balancer) retryCaches(r *request) bool {
	if r.Write || len(r.attempts)+2 > b.set.MaxAttempts {
		return false
	}
	for _, a := range r.attempts {
		a.filled = true
	}
	return len(r.attempts) > 0
}

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
		// In through mode what is late is likely being fetched: another cache could only fetch it again.
		more := b.set.Mode == Aside && r.class.Effect == Safe && len(r.attempts) < b.set.MaxAttempts
		if span := b.set.FallWindow; more && b.now < r.aim &&
			b.timeouts.at(b.now, span) <= lateTolerance*b.answeredReads.at(b.now, span) {
			// Guards against a server that never answers: half of what is left of the aim is for a further
			// try, but what is merely slow (twice as slow as the slowest twentieth) is let finish.
			wait = max((r.aim-b.now)/2, time.Duration(2*b.lateLatency))
		}
	}
	b.act.Send(r.ID, s.ID, wait, r.windowEnd())
}

// giveUp ends a request unserved, at once; an attempt still out may yet answer it.
func (b *Balancer) giveUp(r *request) {
	switch {
	case r.ended || r.outstanding > 0:
		return
	case r.mayRefuse():
		b.act.Refuse(r.ID, min(b.set.RetryAfterLimit, r.class.Aim))
	default:
		b.act.Fail(r.ID)
	}
	b.finish(r, false)
}

// end closes a request: its other attempts are called off, and reads that waited for its fetch move on.
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

// Abandoned notes that nobody waits for a request any more.
func (b *Balancer) Abandoned(now time.Duration, id string) {
	b.now = now
	if r := b.open[id]; r != nil && !r.ended {
		b.finish(r, false)
	}
}

// Result takes the end of an attempt.
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
	case r.outstanding > 0: // its other copy may yet answer
	case res.Outcome == NotSent, res.Outcome == Full && (a.origin || b.congested()):
		b.giveUp(r)
	case b.set.Mode == Aside && (a.origin || res.Outcome == Miss):
		b.fetch(r)
	default:
		b.route(r)
	}
}

// ResponseStarted notes that an answer has begun to flow. The request is bound to the attempt: it gets no other, and no
// time-out. The server has done its part: how long the client takes to read is not held against its room or
// the reads that wait for the fetch (large values).
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

// learn keeps a server's signs of life, its limit and the usual answer times.
func (b *Balancer) observe(a *attempt, res Result) {
	s, o := a.srv, res.Outcome
	b.recordOutcome(a, o)
	// Guards against skipping one that answers others, or for a connection's end.
	if o == OK || o != TimedOut && o != Reset || s.lastAnswerAt <= a.at && !res.ReusedConn {
		b.trackHealth(s, o)
	}
	if o != NotSent && o != Cancelled && o != ConnectFailed {
		// Over half the aim leaves too little for a further try. Writes take as long as they take.
		late := o == Full || a.latency(b.now) > a.req.class.Aim/2 && !a.req.Write
		if !a.countedLate {
			b.adjustLimit(s, a.at, late && (o == Full || !a.lateAlone()))
		}
		if !a.origin && o != Reset { // which is no answer
			b.recordAnswer(s, o, late)
		}
	}
}

// alone reports whether an attempt is late by itself, others sent after it having been answered well in time:
// that is its own work or connection, not the server's queue. With one out at a time the latest says all.
func (a *attempt) lateAlone() bool { return a.srv.limit > 1 && a.srv.promptSentAt > a.at }

// health counts straight failures; from the third on the server is skipped for a spell.
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

// steer sets a server's limit: up while it is in use and answers come in time, halved, once an answer time,
// when it is strained. This guards against servers that take in more than they can answer in time.
func (b *Balancer) adjustLimit(s *server, sentAt time.Duration, overloaded bool) {
	switch {
	case float64(len(s.inFlight)+1) < s.limit/2:
	case overloaded && sentAt < s.limitCutAt:
	case overloaded:
		if s.limit <= 1 { // half of what is sent, however little that is (launceston-platform, 456 nodes)
			used := s.sends.at(b.now, b.set.FallWindow) * b.meanLatency / float64(max(1, b.set.FallWindow))
			s.limit = max(min(s.limit, used), 2*b.meanLatency/float64(skipDuration)) // down to a trial a spell
		}
		s.limit, s.limitCutAt, s.overloaded = max(s.limit/2, 1/float64(max(1, b.set.Balancers))), b.now, true
	case !s.overloaded:
		s.limit++
	case s.limit < 1 && b.now-sentAt < b.shortestAim/4: // well in time: few answers must do to recover
		s.limit *= 2
	default:
		s.limit += min(s.limit/4, 1/s.limit)
	}
}

// fetch sends a read that missed, or a write, to the origin; reads of one key share one fetch.
func (b *Balancer) fetch(r *request) {
	if !r.Write && r.Key != "" && b.joinFetch(r) {
		return
	}
	// Planners thin out all nodes' reads alike where the origin turns away: most send it too few to count.
	if b.origin != nil && b.mayAttempt(r, b.origin) && (r.Write || r.sample >= b.originThinning) {
		b.sendOrHold(r, b.origin)
	} else {
		b.giveUp(r)
	}
}

// release moves on the reads that waited for r's fetch: to the caches, or, if it failed, to the origin.
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

// Timer handles the module's own timers.
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

// sweep sends what servers have room for by now, and gives up what is held and can no longer be answered.
func (b *Balancer) sweep() {
	for _, r := range slices.Clone(b.order) {
		b.sendHeld(r.heldFor)
		for _, a := range r.attempts { // news that waits for the end comes too late (launceston-platform big-2)
			if !a.done && a.firstByteAt == 0 && !a.countedLate && !r.Write && b.now-a.at > r.class.Aim/2 {
				if a.countedLate = true; !a.lateAlone() {
					b.adjustLimit(a.srv, a.at, true)
				} else if quiet := b.now-a.srv.limitCutAt > b.set.FallWindow && len(a.srv.queue) == 0; quiet &&
					a.origin && b.now < r.aim && r.class.Effect == Safe && b.set.MayCancel {
					// Its connection fell silent: sent again.
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
