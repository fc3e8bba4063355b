package policy

// The state behind the decisions in policy.go and its bookkeeping. No decisions are made in this file.

import (
	"cmp"
	"hash"
	"hash/fnv"
	"math"
	"math/rand"
	"slices"
	"strings"
	"time"

	"golang.org/x/crypto/blake2b"

	"lapisshelf/decide/safety"
	"lapisshelf/decide/starts"
)

type server struct {
	Server
	banned       bool          // by an operator
	startTime    time.Duration // its start on this process's clock, see decide/starts
	warmingSince time.Duration // start of its warm-up: startTime, or when a later ban was lifted
	weight       float64       // listed weight, or the mean if it has none, times the factor of the view
	maxRate      float64       // max sends per second by this node, from the view; 0: no limit
	score        float64       // in the ranking being computed
	inFlight     []*attempt    // attempts in flight, oldest first
	limit        float64       // concurrency limit; below 1 it is a fraction of the time
	overloaded   bool          // the limit has been cut for overload before
	limitCutAt   time.Duration // when the limit was last cut
	freedAt      time.Duration // when an attempt last ended
	queue        []*request    // held until there is room
	failures     int           // consecutive failures
	skipUntil    time.Duration
	lastAnswerAt time.Duration // when it last answered
	promptSentAt time.Duration // when the latest attempt that was answered well within its aim was sent
	sends        decayingCount // decaying count of this node's sends
	late         decayingCount // decaying count of late answers
	timely       decayingCount // decaying count of timely answers
	probedAt     time.Duration // when it was last probed
	probing      bool          // a probe is unanswered
	reportedAt   time.Duration // when it last answered a probe
	reportedWait time.Duration // queueing delay that it reported then
}

// open reports whether the server may get new requests.
func (s *server) open() bool { return s.State == Ready && !s.banned }

type attempt struct {
	n           int
	req         *request
	srv         *server
	at          time.Duration // when it was sent or, if that came later, when its body was complete
	firstByteAt time.Duration // when its answer started, if that is reported
	answering   bool          // a part of its answer has arrived
	occupies    bool          // it uses a slot of its server's limit
	done        bool
	countedLate bool // its lateness was counted before its end
	neverRan    bool // proven never to have run
	missed      bool
	filled      bool // the key that it missed has been stored there since
	origin      bool
}

type request struct {
	Request
	class         *Class
	aim, deadline time.Duration // latency target, and when the client gives up this try
	attempts      []*attempt
	outstanding   int
	ended         bool
	bodyDiscarded bool    // it cannot be sent again
	overQuota     bool    // over its tenant's quota
	sample        float64 // in [0, 1], derived from the id
	heldFor       *server // server that it waits for
}

// tenant is a tenant with its recent requests at this node.
type tenant struct {
	Tenant
	requests  decayingCount
	fleetRate float64 // requests per second over the fleet, from the view; 0: unknown
}

// fetch is a read of a key at the origin and the reads of the same key that wait for it.
type fetch struct {
	leader  *request
	waiting []*request
}

// Balancer makes the decisions of one node. It is not safe for concurrent use.
type Balancer struct {
	set       Settings
	act       Actions
	rng       *rand.Rand
	now       time.Duration
	tenants   map[string]*tenant
	classes   map[string]*Class
	servers   map[string]*server
	overrides map[string]Override // by id, listed or not

	starts          starts.History // observed starts of servers
	caches          []*server      // ready ones, sorted by id
	totalWeight     float64        // sum of their weights in the last ranking
	warmWeight      float64        // sum of the weights of the warm ones
	origin          *server
	open            map[string]*request
	order           []*request     // open requests in order of arrival
	openByKey       map[string]int // number of open requests by key
	fetches         map[string]*fetch
	hash            hash.Hash
	scratch         []byte
	ranked          []*server
	recentKeys      recentKeys    // keys of the latest requests
	cacheRequests   decayingCount // decaying count of requests for caches
	answeredReads   decayingCount // decaying count of reads answered
	coldAnswers     decayingCount // those answered by cold caches
	originAnswers   decayingCount // those answered by the origin without a miss before
	timeouts        decayingCount // decaying count of timeouts at caches
	outstanding     int           // attempts in flight at caches
	lateLatency     float64       // lateQuantile of the latencies, in ns
	meanLatency     float64       // mean of the latencies, in ns
	subscribeDelay  time.Duration
	maxSubscribeGap time.Duration // max time between requests for the list

	shortestAim    time.Duration       // shortest aim of the classes
	sweepInterval  time.Duration       // time between sweeps of the open requests
	scoreCache     map[string][]uint64 // scores by key, valid until the list changes
	sweepScheduled bool                // the sweep timer is set
	lateAnswers    decayingCount       // decaying count of late answers of all caches
	timelyAnswers  decayingCount       // decaying count of timely answers of all caches

	originThinning float64               // fraction of the reads that the view keeps from the origin
	view           View                  // latest view of the planners; empty if there is none
	hotKeys        map[keyDigest]float64 // load of the view's hot keys
}

// newBalancer returns a balancer that has not handled any event.
func newBalancer(now time.Duration, set Settings, seed uint64, act Actions) *Balancer {
	b := &Balancer{set: set, act: act, now: now, rng: rand.New(rand.NewSource(int64(seed))),
		classes: map[string]*Class{}, servers: map[string]*server{}, overrides: map[string]Override{}, open: map[string]*request{},
		fetches: map[string]*fetch{}, openByKey: map[string]int{}, recentKeys: recentKeys{count: map[keyDigest]int{}},
		tenants: map[string]*tenant{}, scoreCache: map[string][]uint64{}, shortestAim: math.MaxInt64,
		sweepInterval: max(2*set.Tick, time.Millisecond)}
	b.hash, _ = blake2b.New(8, nil) // fails only for an invalid size or key
	for i := range set.Classes {
		c := &b.set.Classes[i]
		b.classes[c.Name] = c
		b.shortestAim = min(b.shortestAim, c.Aim)
	}
	for _, t := range set.Tenants {
		b.tenants[t.Name] = &tenant{Tenant: t}
	}
	return b
}

// keyDigest is a 30-bit hash of a key. Its last two bits are zero, as the protocol between planners and forwarders has them.
type keyDigest uint32

// digestOf hashes a key for counting and for views.
func digestOf(key string) keyDigest {
	h := fnv.New32a()
	h.Write([]byte(key))
	return keyDigest(h.Sum32()) &^ 3
}

// recordArrival counts a new request and remembers its key. A write that goes to the origin alone is no load on the caches.
func (b *Balancer) recordArrival(r *request) {
	b.recentKeys.add(digestOf(r.Key), recentKeysPerCache*len(b.caches))
	if b.set.Mode == Through || !r.Write {
		b.cacheRequests.add(b.now, b.set.FallWindow)
	}
}

// recordAnswer counts whether a cache that accepts requests has answered in time. A rejection counts as late for the server, but
// not among the late answers of all caches.
func (b *Balancer) recordAnswer(s *server, o Outcome, late bool) {
	switch {
	case !s.open():
	case o != Full && o != TimedOut && !late:
		s.timely.add(b.now, skipDuration)
		b.timelyAnswers.add(b.now, skipDuration)
	default:
		s.late.add(b.now, skipDuration)
		if o != Full {
			b.lateAnswers.add(b.now, skipDuration)
		}
	}
}

// Digest returns the hash by which views refer to a key.
func Digest(key string) uint32 { return uint32(digestOf(key)) }

// View applies the latest view of the planners. An empty one removes it.
func (b *Balancer) View(now time.Duration, v View) {
	b.now, b.view = now, v
	b.hotKeys = map[keyDigest]float64{}
	for _, h := range v.Hot {
		b.hotKeys[keyDigest(h.Key)] = h.Load
	}
	b.originThinning = 0
	if v.Admit > 0 {
		b.originThinning = 1 - v.Admit
	}
	for _, t := range b.tenants {
		t.fleetRate = 0
	}
	for _, u := range v.Tenants {
		if t := b.tenants[u.Name]; t != nil {
			t.fleetRate = u.Asked
		}
	}
	b.reindex()
}

// sampleOf derives a number in [0, 1] from a request's id. It does not use the random source, so that the other random choices are
// the same with and without a view.
func (b *Balancer) sampleOf(q Request) float64 {
	if b.originThinning == 0 {
		return 1
	}
	h := b.hrw("dice", q.ID)
	return float64(h>>11) / (1 << 53)
}

// applyView sets the servers' weights and rate limits from the view.
func (b *Balancer) applyView() {
	for _, s := range b.servers {
		s.maxRate = 0
	}
	for _, x := range b.view.Servers {
		if s := b.servers[x.ID]; s != nil && s != b.origin {
			s.weight, s.maxRate = s.weight*x.Factor, x.Allow
		}
	}
}

// CacheCounts returns the number of listed caches, and how many of them get no requests now.
func (b *Balancer) CacheCounts(now time.Duration) (listed, avoided int) {
	b.now = now
	for _, s := range b.servers {
		if s == b.origin || s.State == Gone {
			continue
		}
		if listed++; b.skipped(s) || !s.open() {
			avoided++
		}
	}
	return listed, avoided
}

// forget removes an ended request from the indexes.
func (b *Balancer) forget(r *request) {
	if b.openByKey[r.Key]--; b.openByKey[r.Key] == 0 {
		delete(b.openByKey, r.Key)
	}
	if s := r.heldFor; s != nil {
		s.queue = slices.DeleteFunc(s.queue, func(x *request) bool { return x == r })
	}
	if r.outstanding == 0 {
		delete(b.open, r.ID)
	}
}

// windowEnd returns the time by which a repeat of a keyed request that may have run must be written, or 0 if there is none. After
// that its servers may have forgotten the earlier attempt, and it would run again. A margin covers a process that is held up
// between the decision and the write. This guards against a repeat chosen inside the window whose connection is established,
// or whose turn on one comes, after the window.
func (r *request) windowEnd() (end time.Duration) {
	for _, a := range r.attempts {
		if at := a.at + r.class.Window - safety.StallAllowance; r.class.Effect == Keyed && a.done && !a.neverRan && (end == 0 || at < end) {
			end = at
		}
	}
	return end
}

// leadsFetch reports whether other reads wait for the answer to this request.
func (b *Balancer) leadsFetch(r *request) bool {
	f := b.fetches[r.Key]
	return f != nil && f.leader == r
}

// scores returns the caches' scores for a key. They are cached for some keys until the list changes, because hashing dominates
// the cost of a request: it was too slow with 614 nodes and 137 caches.
func (b *Balancer) scores(key string) []uint64 {
	list, known := b.scoreCache[key]
	if !known {
		if len(b.scoreCache) >= len(b.caches) {
			clear(b.scoreCache)
		}
		list = make([]uint64, len(b.caches))
		for i, s := range b.caches {
			list[i] = b.hrw(s.ID, key)
		}
		b.scoreCache[key] = list
	}
	return list
}

// latency returns the time from the send until the first byte of the answer, if that is reported, and otherwise until now.
func (a *attempt) latency(now time.Duration) time.Duration { return cmp.Or(a.firstByteAt, now) - a.at }

// recordOutcome counts how an attempt ended. A miss counts as answered once the origin has answered it.
func (b *Balancer) recordOutcome(a *attempt, o Outcome) {
	a.missed = o == Miss
	if o == OK || o == Miss || o == Errored || o == Full {
		a.srv.lastAnswerAt = b.now
	}
	if (o == OK || o == Miss) && a.latency(b.now) <= a.req.class.Aim/2 {
		a.srv.promptSentAt = max(a.srv.promptSentAt, a.at)
	}
	if o == OK && !(a.origin && a.req.Write) {
		b.answeredReads.add(b.now, b.set.FallWindow)
		by := a.srv // or the cache that missed before
		for _, t := range a.req.attempts[:a.n] {
			if a.origin && t.missed {
				by = t.srv
			}
		}
		if a.origin && by == a.srv {
			b.originAnswers.add(b.now, b.set.FallWindow)
		} else if b.warmth(by) < 1 {
			b.coldAnswers.add(b.now, b.set.FallWindow)
		}
	}
	if o == OK && !a.origin {
		b.observeLatency(float64(a.latency(b.now)))
	}
	if o == TimedOut && !a.origin {
		b.timeouts.add(b.now, b.set.FallWindow)
	}
}

// addWeight adds a ranked cache's weight to the sums.
func (b *Balancer) addWeight(s *server, w float64) {
	b.totalWeight += w
	if b.warmth(s) == 1 {
		b.warmWeight += w
	}
}

// cacheThroughput estimates how many reads the caches can answer in the window. Reads that the origin answered without a miss say
// nothing about the caches. The answers of cold caches count at most in proportion to those of the warm ones, plus one for
// chance: otherwise fast cold caches raised their own budgets beyond their stated capacity. With no warm cache there is no
// other reference.
func (b *Balancer) cacheThroughput() float64 {
	span := b.set.FallWindow
	all := max(0, b.answeredReads.at(b.now, span)-b.originAnswers.at(b.now, span))
	if b.warmWeight == 0 {
		return all
	}
	return min(all, (max(0, all-b.coldAnswers.at(b.now, span))+1)*b.totalWeight/b.warmWeight)
}

// occupy takes a slot at the attempt's server, and free releases it.
func (b *Balancer) occupy(a *attempt) {
	a.occupies = true
	a.srv.inFlight = append(a.srv.inFlight, a)
	if !a.origin {
		b.outstanding++
	}
}

func (b *Balancer) free(a *attempt) {
	if !a.occupies {
		return
	}
	a.occupies = false
	a.srv.drop(a, b.now)
	if !a.origin {
		b.outstanding--
	}
}

// drop removes an ended attempt from those in flight.
func (s *server) drop(a *attempt, now time.Duration) {
	s.freedAt = now
	s.inFlight = slices.DeleteFunc(s.inFlight, func(x *attempt) bool { return x == a })
}

// count returns the number of servers that satisfy is.
func count(list []*server, is func(*server) bool) (n int) {
	for _, s := range list {
		if is(s) {
			n++
		}
	}
	return n
}

// rankingKey returns the key by which servers are ranked for the request. Requests without a key are spread by their ids.
func (r *request) rankingKey() string {
	if r.Key == "" {
		return r.ID
	}
	return r.Key
}

// observeLatency updates the mean and the lateQuantile of the latencies.
func (b *Balancer) observeLatency(took float64) {
	b.meanLatency += (took - b.meanLatency) / 64
	step := b.meanLatency / 32
	if took > b.lateLatency {
		b.lateLatency += step * lateQuantile
	} else {
		b.lateLatency = max(b.meanLatency, b.lateLatency-step*(1-lateQuantile))
	}
}

// decayingCount is an exponentially decaying counter.
type decayingCount struct {
	value     float64
	updatedAt time.Duration
}

func (f *decayingCount) at(now, span time.Duration) float64 {
	if span > 0 {
		f.value *= math.Exp(-float64(now-f.updatedAt) / float64(span))
	}
	f.updatedAt = now
	return f.value
}

func (f *decayingCount) add(now, span time.Duration) { f.value = f.at(now, span) + 1 }

// recentKeys counts the keys of the latest requests.
type recentKeys struct {
	keys  []keyDigest // oldest first
	count map[keyDigest]int
}

// add records a key and drops the oldest beyond size.
func (c *recentKeys) add(key keyDigest, size int) {
	c.keys = append(c.keys, key)
	c.count[key]++
	for len(c.keys) > max(1, size) {
		if c.count[c.keys[0]]--; c.count[c.keys[0]] == 0 {
			delete(c.count, c.keys[0])
		}
		c.keys = c.keys[1:]
	}
}

// sameGroup reports whether two servers deduplicate each other's requests.
func (x Scope) sameGroup(a, s *server) bool {
	return x == ScopeAll || a.Zone == s.Zone && (x == ScopeZone || a.Cell == s.Cell)
}

// merge applies a list update to the known servers. A server that a complete list does not name is gone.
func (b *Balancer) merge(kind ListKind, list []Server) {
	if kind != ListChanges {
		for _, s := range b.servers {
			s.State = Gone // unless the list names it
		}
	}
	for _, e := range list {
		s := b.servers[e.ID]
		if s == nil {
			s = &server{limit: initialLimit, startTime: b.starts.StartTime(b.now, e.ID, e.Started)}
			b.servers[e.ID] = s
		} else if e.Started != s.Started { // a restart: the failures of the old process do not count
			s.failures, s.skipUntil, s.startTime = 0, 0, b.starts.StartTime(b.now, e.ID, e.Started)
		}
		s.Server = e
	}
	if kind == ListChanges || kind == ListComplete {
		b.starts.MarkWatched()
	}
	b.reindex()
}

// reindex sorts the listed servers into caches and origin and computes their weights: the listed one, or the mean of the listed
// ones if it is missing.
func (b *Balancer) reindex() {
	b.caches = b.caches[:0]
	b.origin = nil
	listed, sum := 0, 0.0
	for _, s := range b.servers {
		h := b.overrides[s.ID]
		s.banned, s.warmingSince = h.Banned, h.startedAt(s)
		switch {
		case s.State == Gone && len(s.inFlight) == 0 && len(s.queue) == 0:
			b.starts.RecordDeparture(s.ID, s.Started, s.startTime)
			delete(b.servers, s.ID) // or the memory grows with every server that ever was listed
		case !s.open():
		case b.set.OriginKind != "" && s.Kind == b.set.OriginKind:
			if b.origin == nil || s.ID < b.origin.ID {
				b.origin = s
			}
		default:
			b.caches = append(b.caches, s)
		}
	}
	slices.SortFunc(b.caches, func(x, y *server) int { return strings.Compare(x.ID, y.ID) })
	b.scoreCache = map[string][]uint64{}
	for _, s := range b.caches {
		if s.Weight >= 0 && b.set.Weighted {
			sum += s.Weight
			listed++
		}
	}
	mean := 1.0
	if listed > 0 && sum > 0 {
		mean = sum / float64(listed)
	}
	for _, s := range b.caches {
		if s.weight = mean; s.Weight >= 0 && b.set.Weighted {
			s.weight = s.Weight
		}
	}
	b.applyView()
}
