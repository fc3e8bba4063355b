package world

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// OriginSpec configures the origin.
type OriginSpec struct {
	Cores             int
	Slots, QueueLimit int
	Work              time.Duration // mean work of a fetch
	Sigma             float64       // standard deviation of the logarithm of the work
	WriteFactor       float64       // work of a write relative to a fetch
	FallMultiple      float64       // of its capacity; if more work arrives over FallWindow, it stops; 0: never
	FallWindow        time.Duration
	Downtime          time.Duration // how long an overloaded origin is stopped
	DedupWindow       time.Duration // how long it drops repeats of a keyed write
	IgnoresCancel     bool          // running jobs continue after a cancel
}

// Origin models the service that holds all values. It carries out the writes, each idempotency key once within its
// window. It is not safe for concurrent use.
type Origin struct {
	spec         OriginSpec
	station      station
	rng          *rand.Rand
	versions     map[string]int64
	effects      map[string]*effect
	effectOrder  []string // keys of effects, the oldest first
	jobs         map[uint64]*originJob
	receipts     int64
	slowdown     float64
	stoppedUntil time.Duration
	paused       bool
	stops        int
	budget       WorkBudget
	completions  []Completion
	lost         []uint64
}

type originJob struct {
	Job
	arrivedAt time.Duration
	cancelled bool
}

type effect struct {
	firstArrival time.Duration // arrival of the first attempt that may have run
	receipt      string
	version      int64
}

// NewOrigin returns a running origin.
func NewOrigin(spec OriginSpec, seed uint64) *Origin {
	o := &Origin{spec: spec, rng: RandomStream(seed, "origin"), versions: map[string]int64{}, effects: map[string]*effect{},
		jobs: map[uint64]*originJob{}, slowdown: 1}
	o.station = station{cores: float64(spec.Cores), slots: spec.Slots, queueLimit: spec.QueueLimit}
	o.budget = WorkBudget{Multiple: spec.FallMultiple, Window: spec.FallWindow}
	o.setSpeed(0)
	return o
}

func (o *Origin) setSpeed(now time.Duration) {
	o.station.speed = 1 / o.slowdown
	if o.paused || now < o.stoppedUntil {
		o.station.speed = 0
	}
}

// Capacity returns the seconds of work that it can do per second.
func (o *Origin) Capacity() float64 { return float64(o.spec.Cores) }

// Version returns the current version of a key's value; 0 if it was never written.
func (o *Origin) Version(key string) int64 { return o.versions[key] }

// StopCount returns how often it stopped because of overload.
func (o *Origin) StopCount() int { return o.stops }

// Stopped reports whether it is stopped now.
func (o *Origin) Stopped(now time.Duration) bool { return now < o.stoppedUntil }

// Offer submits a job and returns the work that it drew for it. If the origin is stopped, or this job stops it, it
// returns Down; TakeLost returns the jobs lost by a stop.
func (o *Origin) Offer(now time.Duration, j Job) (Admission, time.Duration) {
	o.advance(now)
	j.Work = time.Duration(float64(o.spec.Work) * logNormal(o.rng.Uint64(), o.spec.Sigma))
	if j.Write {
		j.Work = time.Duration(float64(j.Work) * max(o.spec.WriteFactor, 0))
	}
	j.Work = max(j.Work, time.Microsecond)
	if o.Stopped(now) {
		return Down, j.Work
	}
	o.budget.Slack = 4 * o.spec.Work
	if spent, _ := o.budget.Add(now, j.Work, o.Capacity(), false); spent {
		o.Stop(now, o.spec.Downtime)
		o.stops++
		return Down, j.Work
	}
	job := &originJob{Job: j, arrivedAt: now}
	if !o.station.admit(&job.Job) {
		return Busy, j.Work
	}
	o.jobs[j.Token] = job
	return Accepted, j.Work
}

// Stop makes the origin lose its jobs and answer nothing for a while.
func (o *Origin) Stop(now, length time.Duration) {
	o.advance(now)
	o.stoppedUntil = now + length
	o.lost = append(o.lost, o.station.clear()...)
	for _, t := range o.lost {
		delete(o.jobs, t)
	}
	o.budget.Reset()
	o.setSpeed(now)
}

// TakeLost returns the tokens of the jobs lost by stops since the last call.
func (o *Origin) TakeLost() []uint64 {
	l := o.lost
	o.lost = nil
	return l
}

// Cancel records that the requester of a job went away. A running write continues.
func (o *Origin) Cancel(now time.Duration, token uint64) {
	o.advance(now)
	j := o.jobs[token]
	if j == nil {
		return
	}
	if j.cancelled = true; o.station.remove(token, true, !o.spec.IgnoresCancel && !j.Write) {
		delete(o.jobs, token)
	}
}

// Slow makes its work take factor times as long; 1 is normal.
func (o *Origin) Slow(now time.Duration, factor float64) {
	o.advance(now)
	o.slowdown = max(factor, 1e-3)
	o.setSpeed(now)
}

// Pause suspends or resumes the origin.
func (o *Origin) Pause(now time.Duration, on bool) {
	o.advance(now)
	o.paused = on
	o.setSpeed(now)
}

// Next returns the time of the next event if nothing is submitted before.
func (o *Origin) Next() (time.Duration, bool) { return o.station.nextCompletion() }

// Advance moves the time forward and returns the jobs completed since the last call. A cancelled write that took effect
// is included, because it makes cached values stale.
func (o *Origin) Advance(now time.Duration) []Completion {
	o.advance(now)
	d := o.completions
	o.completions = nil
	return d
}

func (o *Origin) advance(now time.Duration) {
	for o.station.now < now {
		o.setSpeed(o.station.now)
		to := now
		if o.station.now < o.stoppedUntil {
			to = min(now, o.stoppedUntil)
		}
		o.station.advance(to, o.finish)
	}
	o.setSpeed(now)
}

func (o *Origin) finish(at time.Duration, j *Job) {
	job := o.jobs[j.Token]
	delete(o.jobs, j.Token)
	if job == nil {
		return
	}
	d := Completion{Token: j.Token, At: at, Key: j.Key, Idem: j.Idem}
	if !j.Write {
		if d.Outcome, d.Version = Fetched, o.versions[j.Key]; !job.cancelled {
			o.completions = append(o.completions, d)
		}
		return
	}
	d.Outcome = Stored
	e := o.effects[j.Idem]
	if j.Idem == "" || e == nil || job.arrivedAt-e.firstArrival > o.spec.DedupWindow {
		o.receipts++
		o.versions[j.Key]++
		e = &effect{firstArrival: job.arrivedAt, receipt: fmt.Sprintf("R%d", o.receipts), version: o.versions[j.Key]}
		if j.Idem != "" {
			o.rememberEffect(j.Idem, e)
		}
		d.Applied = true
	}
	d.Receipt, d.Version = e.receipt, e.version
	if d.Applied || !job.cancelled {
		o.completions = append(o.completions, d)
	}
}

// rememberEffect keeps an effect for at least its window, and discards expired ones.
func (o *Origin) rememberEffect(idem string, e *effect) {
	for len(o.effectOrder) > 0 {
		if old := o.effects[o.effectOrder[0]]; old != nil && o.station.now-old.firstArrival <= 2*o.spec.DedupWindow {
			break
		}
		delete(o.effects, o.effectOrder[0])
		o.effectOrder = o.effectOrder[1:]
	}
	o.effects[idem] = e
	o.effectOrder = append(o.effectOrder, idem)
}
