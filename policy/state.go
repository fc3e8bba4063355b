package policy

// What the decisions in policy.go remember, and its plain upkeep. Nothing is decided here.

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
	banned       bool          // by hand
	startTime    time.Duration // its start as it counts here, see decide/starts
	warmingSince time.Duration // that, or when a ban was lifted since
	weight       float64       // listed, or the mean where none is listed, times the factor of the view
	maxRate      float64       // sends a second that the view leaves to this node; 0: no limit
	score        float64       // of the ranking being made
	inFlight     []*attempt    // out now, oldest first
	limit        float64       // attempts that may be out
	overloaded   bool          // the limit was reached once
	limitCutAt   time.Duration // when it was cut last
	freedAt      time.Duration // when an attempt last ended
	queue        []*request    // held until there is room
	failures     int           // straight failures
	skipUntil    time.Duration
	lastAnswerAt time.Duration // last sign of life
	promptSentAt time.Duration // when the latest attempt that was answered well within its aim was sent
	sends        decayingCount // own sends lately
	late         decayingCount // late answers lately
	timely       decayingCount // and those in time
	probedAt     time.Duration // when it was last probed
	probing      bool          // and has not answered
	reportedAt   time.Duration // when it last answered that
	reportedWait time.Duration // what it said: how long a request waits there
}

// open reports whether the server may get anything new.
func (s *server) open() bool { return s.State == Ready && !s.banned }

type attempt struct {
	n           int
	req         *request
	srv         *server
	at          time.Duration
	firstByteAt time.Duration // when its answer began to flow, where that is told
	occupies    bool          // it takes room at its server
	done        bool
	countedLate bool // known to be late before its end
	neverRan    bool // proven never to have run
	missed      bool
	filled      bool // what it missed has been stored there since
	origin      bool
}

type request struct {
	Request
	class         *Class
	aim, deadline time.Duration // when the worth falls, when this try of the client is over
	attempts      []*attempt
	outstanding   int
	ended         bool
	bodyDiscarded bool    // it cannot be sent again
	overQuota     bool    // beyond its tenant's quota
	sample        float64 // 0 to 1, the same whenever it is looked at
	heldFor       *server // waits for room there
}

// tenant is what a tenant has asked of this node lately.
type tenant struct {
	Tenant
	requests  decayingCount
	fleetRate float64 // requests a second of the whole fleet, as the view tells; 0: not told
}

// fetch is a read of a key at the origin and the reads that wait for it.
type fetch struct {
	leader  *request
	waiting []*request
}

// Balancer decides for one node. It is not safe for concurrent use.
type Balancer struct {
	set       Settings
	act       Actions
	rng       *rand.Rand
	now       time.Duration
	tenants   map[string]*tenant
	classes   map[string]*Class
	servers   map[string]*server
	overrides map[string]Override // by id, listed or not

	starts          starts.Book // of servers, as far as they were seen
	caches          []*server   // ready, by id
	totalWeight     float64     // the sum of their weights as ranked last
	warmWeight      float64     // and of those that are warm
	origin          *server
	open            map[string]*request
	order           []*request     // open requests by arrival
	openByKey       map[string]int // open requests by key
	fetches         map[string]*fetch
	hash            hash.Hash
	scratch         []byte
	ranked          []*server
	recentKeys      recentKeys    // keys asked for last
	cacheRequests   decayingCount // requests for caches taken lately
	answeredReads   decayingCount // reads answered lately
	coldAnswers     decayingCount // those of them by cold caches
	originAnswers   decayingCount // and by the origin, with no miss before
	timeouts        decayingCount // attempts at caches that timed out lately
	outstanding     int           // attempts out at caches
	lateLatency     float64       // quantile lateQuant of answer times, ns
	meanLatency     float64       // mean of answer times, ns
	subscribeDelay  time.Duration
	maxSubscribeGap time.Duration // longest spell without asking for the list

	shortestAim    time.Duration       // of the classes' aims
	sweepInterval  time.Duration       // between looks at what is open
	scoreCache     map[string][]uint64 // scores of some keys, while the list stays
	sweepScheduled bool                // a look is due
	lateAnswers    decayingCount       // late answers of all caches lately
	timelyAnswers  decayingCount       // and those in time

	originThinning float64               // part of the reads that may not go to the origin, by the view
	view           View                  // of planners; empty where there are none
	hotKeys        map[keyDigest]float64 // of its hot keys
}

// blank returns a balancer that has decided nothing yet.
func newBalancer(now time.Duration, set Settings, seed uint64, act Actions) *Balancer {
	b := &Balancer{set: set, act: act, now: now, rng: rand.New(rand.NewSource(int64(seed))),
		classes: map[string]*Class{}, servers: map[string]*server{}, overrides: map[string]Override{}, open: map[string]*request{},
		fetches: map[string]*fetch{}, openByKey: map[string]int{}, recentKeys: recentKeys{count: map[keyDigest]int{}},
		tenants: map[string]*tenant{}, scoreCache: map[string][]uint64{}, shortestAim: math.MaxInt64,
		sweepInterval: max(2*set.Tick, time.Millisecond)}
	b.hash, _ = blake2b.New(8, nil) // fails only for a bad size or key
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

// note is a digest of a key. Its last two bits are zero: planners and forwarders have told keys so from the first.
type keyDigest uint32

// noteOf shortens a key for counting and for views.
func digestOf(key string) keyDigest {
	h := fnv.New32a()
	h.Write([]byte(key))
	return keyDigest(h.Sum32()) &^ 3
}

// arrived counts a new request and remembers its key. A write that only the origin takes asks nothing of the caches.
func (b *Balancer) recordArrival(r *request) {
	b.recentKeys.add(digestOf(r.Key), recentKeysPerCache*len(b.caches))
	if b.set.Mode == Through || !r.Write {
		b.cacheRequests.add(b.now, b.set.FallWindow)
	}
}

// answered counts how a cache that may get requests has answered. A full one was late, but not slow.
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

// Digest names a key in views.
func Digest(key string) uint32 { return uint32(digestOf(key)) }

// View takes the latest view of planners in force; an empty one, that there is none.
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

// draw gives a request its dice, from its id: with no view the module's own random choices stay as they are.
func (b *Balancer) sampleOf(q Request) float64 {
	if b.originThinning == 0 {
		return 1
	}
	h := b.hrw("dice", q.ID)
	return float64(h>>11) / (1 << 53)
}

// viewed brings the servers in line with the view.
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

// CacheCounts tells how many caches the list has, and how many of these are avoided now.
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

// forget takes a request that has ended off all that holds it.
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

// windowEnd is by when a repeat of a keyed request that may have run has to go out, lest its servers have forgotten that one by the
// time that a process that is held up writes it, and it runs again; 0 for one that has not, and for other classes. Guards against a repeat chosen inside the window whose connection comes up, or
// whose turn on one comes, behind it.
func (r *request) windowEnd() (end time.Duration) {
	for _, a := range r.attempts {
		if at := a.at + r.class.Window - safety.Slack; r.class.Effect == Keyed && a.done && !a.neverRan && (end == 0 || at < end) {
			end = at
		}
	}
	return end
}

// leads reports whether the request is one whose answer others wait for.
func (b *Balancer) leadsFetch(r *request) bool {
	f := b.fetches[r.Key]
	return f != nil && f.leader == r
}

// scores gives the caches' scores for a key, kept for some keys while the list stays: hashing is most of the work
// (hobart-prices i7d9609, 614 nodes and 137 caches, was cut off for it).
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

// took is how long the answer to an attempt took, or has taken by now, to its first byte where that is told.
func (a *attempt) latency(now time.Duration) time.Duration { return cmp.Or(a.firstByteAt, now) - a.at }

// tally counts how an attempt ended. A miss counts as answered when the origin has answered it.
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
		by := a.srv // or the cache that missed
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

// weigh adds a ranked cache's weight to the sums.
func (b *Balancer) addWeight(s *server, w float64) {
	b.totalWeight += w
	if b.warmth(s) == 1 {
		b.warmWeight += w
	}
}

// borne is how many reads the caches are seen to bear in the window. What the origin answers past them says nothing of
// what they can do. What cold ones answer counts at most in proportion to the answers of the warm ones, and one more for
// chance: it raised their own budgets, past the load that they are stated to bear, where they happened to answer more.
// With none warm there is nothing else to go by.
func (b *Balancer) cacheThroughput() float64 {
	span := b.set.FallWindow
	all := max(0, b.answeredReads.at(b.now, span)-b.originAnswers.at(b.now, span))
	if b.warmWeight == 0 {
		return all
	}
	return min(all, (max(0, all-b.coldAnswers.at(b.now, span))+1)*b.totalWeight/b.warmWeight)
}

// occupy has an attempt take room at its server, and free gives it back.
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

// drop takes an attempt that has ended off the server's.
func (s *server) drop(a *attempt, now time.Duration) {
	s.freedAt = now
	s.inFlight = slices.DeleteFunc(s.inFlight, func(x *attempt) bool { return x == a })
}

// count counts the servers for which is holds.
func count(list []*server, is func(*server) bool) (n int) {
	for _, s := range list {
		if is(s) {
			n++
		}
	}
	return n
}

// place is what the request is ranked by; one without a key gets any steady, spread choice.
func (r *request) rankingKey() string {
	if r.Key == "" {
		return r.ID
	}
	return r.Key
}

// timed keeps the mean and the quantile lateQuant of answer times.
func (b *Balancer) observeLatency(took float64) {
	b.meanLatency += (took - b.meanLatency) / 64
	step := b.meanLatency / 32
	if took > b.lateLatency {
		b.lateLatency += step * lateQuantile
	} else {
		b.lateLatency = max(b.meanLatency, b.lateLatency-step*(1-lateQuantile))
	}
}

// fading is a count that forgets evenly over a span.
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

// recent counts the keys of the last requests.
type recentKeys struct {
	keys  []keyDigest // oldest first
	count map[keyDigest]int
}

// add takes a key in and forgets those beyond the last size.
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

// holds reports whether two servers drop each other's repeats.
func (x Scope) sameGroup(a, s *server) bool {
	return x == ScopeAll || a.Zone == s.Zone && (x == ScopeZone || a.Cell == s.Cell)
}

// merge takes list news into the servers known. A server that a whole list does not name is gone.
func (b *Balancer) merge(kind ListKind, list []Server) {
	if kind != ListChanges {
		for _, s := range b.servers {
			s.State = Gone // unless the list names it
		}
	}
	for _, e := range list {
		s := b.servers[e.ID]
		if s == nil {
			s = &server{limit: initialLimit, startTime: b.starts.Begun(b.now, e.ID, e.Started)}
			b.servers[e.ID] = s
		} else if e.Started != s.Started { // a restart: what was learned of the old process is void
			s.failures, s.skipUntil, s.startTime = 0, 0, b.starts.Begun(b.now, e.ID, e.Started)
		}
		s.Server = e
	}
	if kind == ListChanges || kind == ListComplete {
		b.starts.Watched()
	}
	b.reindex()
}

// reindex sorts the listed servers into caches and origin and settles their weights: the listed one, or
// the mean of the listed ones where it is missing.
func (b *Balancer) reindex() {
	b.caches = b.caches[:0]
	b.origin = nil
	listed, sum := 0, 0.0
	for _, s := range b.servers {
		h := b.overrides[s.ID]
		s.banned, s.warmingSince = h.Banned, h.startedAt(s)
		switch {
		case s.State == Gone && len(s.inFlight) == 0 && len(s.queue) == 0:
			b.starts.Left(s.ID, s.Started, s.startTime)
			delete(b.servers, s.ID) // a fleet that changes for days must not fill the memory
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
