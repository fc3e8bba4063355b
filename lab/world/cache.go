package world

import (
	"container/list"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// warmUpStep is the interval at which the speed of a server that warms up is updated.
const warmUpStep = 20 * time.Millisecond

// CacheSpec configures a cache server.
type CacheSpec struct {
	Name           string
	Cores          int
	Speed          float64 // of a core, in seconds of work per second
	Slots          int     // jobs that may run at once
	QueueLimit     int     // jobs that may wait for a slot
	MemoryBytes    int64   // memory for values; the least recently used are evicted first
	WarmUp         time.Duration
	ColdFrom       float64 // fraction of the capacity available at a cold start
	FallMultiple   float64 // of the present capacity; a cold server that receives more work falls over; 0: never
	FallWindow     time.Duration
	ReportInterval time.Duration // how often the load report is refreshed
	ReportNoise    float64       // relative standard deviation
	HandshakeWork  time.Duration // work that a new connection costs
	Through        bool          // through mode: it fetches missing values and forwards writes to the origin itself
	Coalesce       bool          // in through mode, concurrent fetches of a key share one origin request
	Lease          time.Duration // after a miss, other misses of the key are reported as Fetching for this long; 0: never
	IgnoresCancel  bool          // running jobs continue after a cancel
}

// Outcome is how a job ended at a server.
type Outcome int

// Outcomes of jobs.
const (
	Hit     Outcome = iota // the value was cached
	Fetched                // the value was fetched from the origin, in through mode
	Miss                   // no value is cached
	Fetching
	Stored // a write was carried out
	Failed // the job may have run
)

// Completion is the end of a job.
type Completion struct {
	Token   uint64
	At      time.Duration
	Outcome Outcome
	Version int64  // of the value
	Receipt string // of a write
	Applied bool   // the write took effect now and is not a repeat of an earlier one
	Key     string
	Idem    string
}

// OriginRequest is a request that a cache in through mode sends to the origin.
type OriginRequest struct {
	Token uint64 // the job that it is for
	At    time.Duration
	Key   string
	Write bool
	Idem  string
}

// LoadReport is what a server reports of its load.
type LoadReport struct {
	Utilization float64 // fraction of the cores in use
	Queue       int     // jobs that wait for a slot
}

// Cache models one process of a cache server. It is not safe for concurrent use.
type Cache struct {
	spec           CacheSpec
	station        station
	rng            *rand.Rand
	startedAt      time.Duration // start of this process
	startedCold    bool          // this process started empty and below full speed
	running        bool
	draining       bool
	paused         bool
	slowdown       float64 // all work takes this many times as long
	stolenPart     float64 // fraction of the machine that a neighbour takes
	values         map[string]*list.Element
	lru            *list.List // of *cachedValue, most recently used first
	bytes          int64
	leases         map[string]time.Duration
	cancelled      map[uint64]bool     // jobs whose requester went away
	fetches        map[string][]uint64 // through mode: jobs that wait for the value of a key
	atOrigin       map[uint64]*Job     // through mode: jobs that hold their slot while the origin works
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

// NewCache returns a running, warm and empty cache.
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

// WarmFraction returns the fraction of the capacity that the process has reached by now.
func (c *Cache) WarmFraction(now time.Duration) float64 {
	if !c.startedCold || c.spec.WarmUp <= 0 || now-c.startedAt >= c.spec.WarmUp {
		return 1
	}
	part := float64(now-c.startedAt) / float64(c.spec.WarmUp)
	return c.spec.ColdFrom + (1-c.spec.ColdFrom)*max(0, part)
}

// Capacity returns the seconds of work that it can do per second now.
func (c *Cache) Capacity(now time.Duration) float64 {
	return c.station.cores * c.spec.Speed * c.WarmFraction(now)
}

// Cold reports whether the process is still warming up.
func (c *Cache) Cold(now time.Duration) bool { return c.WarmFraction(now) < 1 }

// FellOver reports whether it failed under overload while cold. It stays down until Start.
func (c *Cache) FellOver() bool { return c.fellOver }

// Up reports whether the process runs.
func (c *Cache) Up() bool { return c.running && !c.fellOver }

func (c *Cache) setSpeed(now time.Duration) {
	c.station.speed = 0
	if c.running && !c.fellOver && !c.paused {
		c.station.speed = c.spec.Speed * c.WarmFraction(now) / c.slowdown * (1 - c.stolenPart)
	}
}

// Offer submits a job.
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

// Connect accounts for the work of a new connection.
func (c *Cache) Connect(now time.Duration) {
	c.advance(now)
	if c.spec.HandshakeWork > 0 && c.Up() {
		c.station.admit(&Job{Work: c.spec.HandshakeWork})
	}
}

// Cancel records that the requester of a job went away. The job may continue, but its completion is not reported.
func (c *Cache) Cancel(now time.Duration, token uint64) {
	c.advance(now)
	if !c.station.remove(token, true, !c.spec.IgnoresCancel) {
		c.cancelled[token] = true
	}
}

// Next returns the time of the next event if nothing is submitted before.
func (c *Cache) Next() (time.Duration, bool) {
	at, ok := c.station.nextCompletion()
	if ok && (c.Cold(c.station.now) || c.paused) {
		at = min(at, c.station.now+warmUpStep) // the speed changes before then
	}
	return at, ok
}

// Advance moves the time forward and returns the jobs completed and the origin requests made since the last call.
func (c *Cache) Advance(now time.Duration) ([]Completion, []OriginRequest) {
	c.advance(now)
	done, requests := c.completions, c.originRequests
	c.completions, c.originRequests = nil, nil
	return done, requests
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

// finish handles a job whose work is done. In through mode, a job that needs the origin keeps its slot until
// OriginAnswered.
func (c *Cache) finish(at time.Duration, j *Job) {
	if j.Token == 0 {
		return // the work of a connection
	}
	if c.cancelled[j.Token] && !j.Write {
		delete(c.cancelled, j.Token)
		return
	}
	e, cached := c.values[j.Key]
	switch {
	case j.Write && c.spec.Through:
		c.holdForOrigin(at, j, true)
	case j.Write: // only the origin accepts writes
		c.complete(Completion{Token: j.Token, At: at, Outcome: Miss, Key: j.Key})
	case cached:
		c.lru.MoveToFront(e)
		c.complete(Completion{Token: j.Token, At: at, Outcome: Hit, Version: e.Value.(*cachedValue).version, Key: j.Key})
	case c.spec.Through:
		c.holdForOrigin(at, j, false)
	default:
		outcome := Miss
		if until, leased := c.leases[j.Key]; leased && at < until {
			outcome = Fetching
		} else if c.spec.Lease > 0 {
			c.leases[j.Key] = at + c.spec.Lease
		}
		c.complete(Completion{Token: j.Token, At: at, Outcome: outcome, Key: j.Key})
	}
}

func (c *Cache) holdForOrigin(at time.Duration, j *Job, write bool) {
	c.station.heldSlots++
	c.atOrigin[j.Token] = j
	if !write {
		waiting := c.fetches[j.Key]
		c.fetches[j.Key] = append(waiting, j.Token)
		if len(waiting) > 0 && c.spec.Coalesce {
			return
		}
	}
	c.originRequests = append(c.originRequests, OriginRequest{Token: j.Token, At: at, Key: j.Key, Write: write, Idem: j.Idem})
}

// OriginAnswered delivers the origin's answer to an OriginRequest, in through mode.
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

// Store caches a value.
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

// Invalidate removes the cached value of a key.
func (c *Cache) Invalidate(key string) { c.evict(key) }

// Flush removes each cached value with the probability share.
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

// Size returns the number of cached values and their bytes.
func (c *Cache) Size() (values int, bytes int64) { return len(c.values), c.bytes }

// CachedVersion returns the version of the cached value of a key, and whether there is one.
func (c *Cache) CachedVersion(key string) (int64, bool) {
	if e := c.values[key]; e != nil {
		return e.Value.(*cachedValue).version, true
	}
	return 0, false
}

// Stop ends the process and loses its jobs, whose tokens it returns.
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

// Start starts a new process: empty and, if cold is set, below full speed until it is warm.
func (c *Cache) Start(now time.Duration, cold bool) {
	c.advance(now)
	c.discardJobs()
	c.coldBudget.Reset()
	c.running, c.fellOver, c.draining, c.paused, c.slowdown, c.stolenPart = true, false, false, false, 1, 0
	c.startedAt, c.startedCold = now, cold
	c.setSpeed(now)
}

// Started returns when the process started and whether it started cold.
func (c *Cache) Started() (at time.Duration, cold bool) { return c.startedAt, c.startedCold }

// Drain makes the server finish its jobs and reject new ones, or ends that.
func (c *Cache) Drain(now time.Duration, on bool) {
	c.advance(now)
	c.draining = on
}

// Pause suspends or resumes the process.
func (c *Cache) Pause(now time.Duration, on bool) {
	c.advance(now)
	c.paused = on
	c.setSpeed(now)
}

// Slow makes all work take factor times as long; 1 is normal.
func (c *Cache) Slow(now time.Duration, factor float64) {
	c.advance(now)
	c.slowdown = max(factor, 1e-3)
	c.setSpeed(now)
}

// Steal gives a fraction of the machine to a neighbour; 0 is none.
func (c *Cache) Steal(now time.Duration, part float64) {
	c.advance(now)
	c.stolenPart = min(max(part, 0), 1)
	c.setSpeed(now)
}

// LoadReport returns the load report as the server gives it now: up to ReportInterval old, and with random errors.
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

// JobCounts returns the number of jobs that hold a slot and of those that wait for one.
func (c *Cache) JobCounts() (working, waiting int) {
	return len(c.station.running) + c.station.heldSlots, len(c.station.queue)
}
