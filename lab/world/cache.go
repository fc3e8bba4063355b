package world

import (
	"container/list"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// coldStep is how finely a changing speed is followed.
const warmUpStep = 20 * time.Millisecond

// CacheSpec is what a cache server is.
type CacheSpec struct {
	Name           string
	Cores          int
	Speed          float64 // of a core, in work a second
	Slots          int     // requests in work at once
	QueueLimit     int     // requests that wait beyond those
	MemoryBytes    int64   // bytes of values kept; what was used longest ago goes first
	WarmUp         time.Duration
	ColdFrom       float64 // part of its capacity that it starts with
	FallMultiple   float64 // of its present capacity, which while cold makes it fall over; 0: never
	FallWindow     time.Duration
	ReportInterval time.Duration // how often its load report is made anew
	ReportNoise    float64       // relative
	HandshakeWork  time.Duration // work of a new connection
	Through        bool          // it fetches what it lacks, and passes on writes, itself
	Coalesce       bool          // fetches of one key are shared, in through mode
	Lease          time.Duration // for so long a miss is told as another's fetch; 0: that is not told
	IgnoresCancel  bool          // work goes on after a cancel
}

// Ending is how a job ended at a server.
type Outcome int

// The endings.
const (
	Hit     Outcome = iota // a value that was kept
	Fetched                // a value that was fetched for it, in through mode
	Miss                   // there is none
	Fetching
	Stored // a write was carried out
	Failed // it may have run
)

// Done is the end of a job.
type Completion struct {
	Token   uint64
	At      time.Duration
	Outcome Outcome
	Version int64  // of the value
	Receipt string // of a write
	Applied bool   // a write that took effect now, no repeat of one
	Key     string
	Idem    string
}

// Ask is what a cache in through mode wants of the origin.
type OriginRequest struct {
	Token uint64 // the job it is for
	At    time.Duration
	Key   string
	Write bool
	Idem  string
}

// Report is a load report.
type LoadReport struct {
	Utilization float64 // part of the cores in use
	Queue       int     // jobs that wait
}

// Cache is one cache server's process.
type Cache struct {
	spec           CacheSpec
	station        station
	rng            *rand.Rand
	startedAt      time.Duration // of this process
	startedCold    bool          // it began empty and slow
	running        bool
	draining       bool
	paused         bool
	slowdown       float64 // slower by it
	stolenPart     float64 // part of the machine that a neighbour takes
	values         map[string]*list.Element
	lru            *list.List // of *object, used last in front
	bytes          int64
	leases         map[string]time.Duration
	cancelled      map[uint64]bool     // jobs that nobody waits for
	fetches        map[string][]uint64 // through: jobs that wait for a key
	atOrigin       map[uint64]*Job     // through: jobs that hold their slot while the origin works
	coldBudget     WorkBudget
	fellOver       bool
	report         LoadReport
	reportedAt     time.Duration
	completions    []Completion
	originRequests []OriginRequest
}

type cachedValue struct {
	key     string
	version int64
	size    int64
}

// NewCache makes a cache that runs and is warm, with nothing kept.
func NewCache(spec CacheSpec, seed uint64) *Cache {
	c := &Cache{spec: spec, rng: RandomStream(seed, "cache", spec.Name), slowdown: 1}
	c.coldBudget = WorkBudget{Multiple: spec.FallMultiple, Window: spec.FallWindow}
	c.station = station{cores: float64(spec.Cores), slots: spec.Slots, queueLimit: spec.QueueLimit}
	c.clearState()
	c.running = true
	c.setSpeed(0)
	return c
}

func (c *Cache) clearState() {
	c.values, c.lru, c.bytes = map[string]*list.Element{}, list.New(), 0
	c.leases, c.cancelled = map[string]time.Duration{}, map[uint64]bool{}
	c.fetches, c.atOrigin = map[string][]uint64{}, map[uint64]*Job{}
}

// Warmth is the part of its capacity that the process has reached by now, between 0 and 1.
func (c *Cache) WarmFraction(now time.Duration) float64 {
	if !c.startedCold || c.spec.WarmUp <= 0 || now-c.startedAt >= c.spec.WarmUp {
		return 1
	}
	part := float64(now-c.startedAt) / float64(c.spec.WarmUp)
	return c.spec.ColdFrom + (1-c.spec.ColdFrom)*max(0, part)
}

// Capacity is the work that it can do in a second now.
func (c *Cache) Capacity(now time.Duration) float64 {
	return c.station.cores * c.spec.Speed * c.WarmFraction(now)
}

// Cold reports whether it is still warming up.
func (c *Cache) Cold(now time.Duration) bool { return c.WarmFraction(now) < 1 }

// Fell reports whether it was pushed over while cold; it stays down until Start.
func (c *Cache) FellOver() bool { return c.fellOver }

// Up reports whether the process runs.
func (c *Cache) Up() bool { return c.running && !c.fellOver }

func (c *Cache) setSpeed(now time.Duration) {
	c.station.speed = 0
	if c.running && !c.fellOver && !c.paused {
		c.station.speed = c.spec.Speed * c.WarmFraction(now) / c.slowdown * (1 - c.stolenPart)
	}
}

// Offer brings a job.
func (c *Cache) Offer(now time.Duration, j Job) Admission {
	c.advance(now)
	if !c.Up() {
		return Down
	}
	if c.Cold(now) {
		c.coldBudget.Slack = max(c.coldBudget.Slack, 2*j.Work)
		if spent, _ := c.coldBudget.Add(now, j.Work, c.Capacity(now), false); spent {
			c.fellOver = true
			c.discardJobs()
			return Down
		}
	}
	if c.draining || !c.station.admit(&j) {
		return Busy
	}
	return Accepted
}

// Connect counts a new connection, which is work.
func (c *Cache) Connect(now time.Duration) {
	c.advance(now)
	if c.spec.HandshakeWork > 0 && c.Up() {
		c.station.admit(&Job{Work: c.spec.HandshakeWork})
	}
}

// Cancel notes that nobody waits for a job any more. It may go on; nothing is told of it.
func (c *Cache) Cancel(now time.Duration, token uint64) {
	c.advance(now)
	if !c.station.remove(token, true, !c.spec.IgnoresCancel) {
		c.cancelled[token] = true
	}
}

// Next is when something happens by itself, if nothing comes before.
func (c *Cache) Next() (time.Duration, bool) {
	at, ok := c.station.nextCompletion()
	if ok && (c.Cold(c.station.now) || c.paused) {
		at = min(at, c.station.now+warmUpStep) // the speed changes under way
	}
	return at, ok
}

// Advance lets time pass and gives what has ended and what is wanted of the origin.
func (c *Cache) Advance(now time.Duration) ([]Completion, []OriginRequest) {
	c.advance(now)
	done, asks := c.completions, c.originRequests
	c.completions, c.originRequests = nil, nil
	return done, asks
}

func (c *Cache) advance(now time.Duration) {
	for c.station.now < now {
		c.setSpeed(c.station.now)
		to := now
		if c.Cold(c.station.now) {
			to = min(to, c.station.now+warmUpStep)
		}
		c.station.advance(to, c.finish)
	}
	c.setSpeed(now)
}

// finish ends the work of a job; in through mode what the origin must do comes behind that, with the slot held.
func (c *Cache) finish(at time.Duration, j *Job) {
	if j.Token == 0 {
		return // a handshake
	}
	if c.cancelled[j.Token] && !j.Write {
		delete(c.cancelled, j.Token)
		return
	}
	e, kept := c.values[j.Key]
	switch {
	case j.Write && c.spec.Through:
		c.holdForOrigin(at, j, true)
	case j.Write: // only the origin takes writes
		c.complete(Completion{Token: j.Token, At: at, Outcome: Miss, Key: j.Key})
	case kept:
		c.lru.MoveToFront(e)
		c.complete(Completion{Token: j.Token, At: at, Outcome: Hit, Version: e.Value.(*cachedValue).version, Key: j.Key})
	case c.spec.Through:
		c.holdForOrigin(at, j, false)
	default:
		ending := Miss
		if until, out := c.leases[j.Key]; out && at < until {
			ending = Fetching
		} else if c.spec.Lease > 0 {
			c.leases[j.Key] = at + c.spec.Lease
		}
		c.complete(Completion{Token: j.Token, At: at, Outcome: ending, Key: j.Key})
	}
}

func (c *Cache) holdForOrigin(at time.Duration, j *Job, write bool) {
	c.station.heldSlots++
	c.atOrigin[j.Token] = j
	if !write {
		waits := c.fetches[j.Key]
		c.fetches[j.Key] = append(waits, j.Token)
		if len(waits) > 0 && c.spec.Coalesce {
			return
		}
	}
	c.originRequests = append(c.originRequests, OriginRequest{Token: j.Token, At: at, Key: j.Key, Write: write, Idem: j.Idem})
}

// Answer brings what the origin said to an Ask, in through mode.
func (c *Cache) OriginAnswered(now time.Duration, token uint64, d Completion) {
	c.advance(now)
	j := c.atOrigin[token]
	if j == nil {
		return
	}
	tokens := []uint64{token}
	if !j.Write && c.spec.Coalesce {
		tokens = c.fetches[j.Key]
		delete(c.fetches, j.Key)
	}
	if !j.Write && d.Outcome != Failed {
		c.Store(now, j.Key, d.Version, int64(j.Size))
	}
	for _, t := range tokens {
		delete(c.atOrigin, t)
		c.station.heldSlots--
		c.complete(Completion{Token: t, At: now, Outcome: d.Outcome, Version: d.Version, Receipt: d.Receipt, Key: j.Key})
	}
	c.station.startQueued()
}

func (c *Cache) complete(d Completion) {
	if c.cancelled[d.Token] {
		delete(c.cancelled, d.Token)
		return
	}
	c.completions = append(c.completions, d)
}

// Store keeps a value.
func (c *Cache) Store(now time.Duration, key string, version, size int64) {
	if !c.Up() || size > c.spec.MemoryBytes {
		return
	}
	delete(c.leases, key)
	if e := c.values[key]; e != nil {
		o := e.Value.(*cachedValue)
		if version < o.version {
			return
		}
		c.bytes += size - o.size
		o.version, o.size = version, size
		c.lru.MoveToFront(e)
	} else {
		c.values[key] = c.lru.PushFront(&cachedValue{key, version, size})
		c.bytes += size
	}
	for c.bytes > c.spec.MemoryBytes {
		c.evict(c.lru.Back().Value.(*cachedValue).key)
	}
}

func (c *Cache) evict(key string) {
	if e := c.values[key]; e != nil {
		c.bytes -= e.Value.(*cachedValue).size
		c.lru.Remove(e)
		delete(c.values, key)
	}
}

// Void drops the copy of a key.
func (c *Cache) Invalidate(key string) { c.evict(key) }

// Flush drops that share of the copies, by chance.
func (c *Cache) Flush(share float64) {
	keys := make([]string, 0, len(c.values))
	for k := range c.values {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		if c.rng.Float64() < share {
			c.evict(k)
		}
	}
}

// Kept is the number of values kept and their bytes.
func (c *Cache) Size() (values int, bytes int64) { return len(c.values), c.bytes }

// Has reports whether a value is kept, and its version.
func (c *Cache) CachedVersion(key string) (int64, bool) {
	if e := c.values[key]; e != nil {
		return e.Value.(*cachedValue).version, true
	}
	return 0, false
}

// Stop ends the process: what it had taken is gone. It gives the tokens of those jobs.
func (c *Cache) Stop(now time.Duration) []uint64 {
	c.advance(now)
	c.running = false
	return c.discardJobs()
}

func (c *Cache) discardJobs() []uint64 {
	tokens := c.station.clear()
	for t := range c.atOrigin {
		tokens = append(tokens, t)
	}
	slices.Sort(tokens)
	c.clearState()
	c.completions, c.originRequests = nil, nil
	c.setSpeed(c.station.now)
	return slices.DeleteFunc(tokens, func(t uint64) bool { return t == 0 })
}

// Start begins a new process: empty and, if cold is set, slow until it is warm.
func (c *Cache) Start(now time.Duration, cold bool) {
	c.advance(now)
	c.discardJobs()
	c.coldBudget.Reset()
	c.running, c.fellOver, c.draining, c.paused, c.slowdown, c.stolenPart = true, false, false, false, 1, 0
	c.startedAt, c.startedCold = now, cold
	c.setSpeed(now)
}

// Began is when the process started, and whether it did so cold.
func (c *Cache) Started() (at time.Duration, cold bool) { return c.startedAt, c.startedCold }

// Drain makes it finish what it has and turn away what is new.
func (c *Cache) Drain(now time.Duration, on bool) {
	c.advance(now)
	c.draining = on
}

// Pause makes it stand still, or go on.
func (c *Cache) Pause(now time.Duration, on bool) {
	c.advance(now)
	c.paused = on
	c.setSpeed(now)
}

// Slow makes all its work take so many times as long; 1 is as ever.
func (c *Cache) Slow(now time.Duration, factor float64) {
	c.advance(now)
	c.slowdown = max(factor, 1e-3)
	c.setSpeed(now)
}

// Steal gives a part of the machine to a neighbour; 0 is none.
func (c *Cache) Steal(now time.Duration, part float64) {
	c.advance(now)
	c.stolenPart = min(max(part, 0), 1)
	c.setSpeed(now)
}

// Report is the load report that it gives now: as old as its refreshing allows, and a little wrong.
func (c *Cache) LoadReport(now time.Duration) LoadReport {
	c.advance(now)
	if c.reportedAt == 0 || now-c.reportedAt >= c.spec.ReportInterval {
		noise := func() float64 { return 1 + c.spec.ReportNoise*c.rng.NormFloat64() }
		c.report = LoadReport{Utilization: math.Round(100*min(1, max(0, c.station.utilization()*noise()))) / 100,
			Queue: max(0, int(math.Round(float64(len(c.station.queue))*noise())))}
		c.reportedAt = now
	}
	return c.report
}

// Holds is the number of jobs in work, holding a slot, and waiting.
func (c *Cache) JobCounts() (working, waiting int) {
	return len(c.station.running) + c.station.heldSlots, len(c.station.queue)
}
