package world

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// OriginSpec is what the origin is.
type OriginSpec struct {
	Cores             int
	Slots, QueueLimit int
	Work              time.Duration // of a fetch, mean
	Sigma             float64       // of its logarithm
	WriteFactor       float64       // a write's work over a fetch's
	FallMultiple      float64       // of its capacity, which asked for over FallFor stops it; 0: never
	FallWindow        time.Duration
	Downtime          time.Duration // how long it stops then
	DedupWindow       time.Duration // how long it drops repeats of a keyed write
	IgnoresCancel     bool          // work goes on when nobody waits for it any more
}

// Origin is what holds all values. It carries out writes, each idempotency key once within its window.
type Origin struct {
	spec         OriginSpec
	station      station
	rng          *rand.Rand
	versions     map[string]int64
	effects      map[string]*effect
	effectOrder  []string // of seen, the oldest first
	jobs         map[uint64]*originJob
	receipts     int64
	slowdown     float64
	stoppedUntil time.Duration // stopped until then
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
	firstArrival time.Duration // when the first attempt that may have run came
	receipt      string
	version      int64
}

// NewOrigin makes an origin that runs.
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

// Capacity is the work that it can do in a second.
func (o *Origin) Capacity() float64 { return float64(o.spec.Cores) }

// Version is the present version of a key's value; that of one never written is 0.
func (o *Origin) Version(key string) int64 { return o.versions[key] }

// Stops is how often it has stopped because too much was asked.
func (o *Origin) StopCount() int { return o.stops }

// Stopped reports whether it is stopped now.
func (o *Origin) Stopped(now time.Duration) bool { return now < o.stoppedUntil }

// Offer brings a job, whose work it draws itself; it gives that work too. Where the verdict is Dead it has stopped: the
// jobs that it had are lost, see Lost.
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

// Stop makes it lose what it has and answer nothing for a while.
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

// Lost gives the jobs that a stop has cost since it was last asked.
func (o *Origin) TakeLost() []uint64 {
	l := o.lost
	o.lost = nil
	return l
}

// Cancel notes that nobody waits for a job. A write that is in work goes on.
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

// Slow makes its work take so many times as long; 1 is as ever.
func (o *Origin) Slow(now time.Duration, factor float64) {
	o.advance(now)
	o.slowdown = max(factor, 1e-3)
	o.setSpeed(now)
}

// Pause makes it stand still, or go on.
func (o *Origin) Pause(now time.Duration, on bool) {
	o.advance(now)
	o.paused = on
	o.setSpeed(now)
}

// Next is when something happens by itself, if nothing comes before.
func (o *Origin) Next() (time.Duration, bool) { return o.station.nextCompletion() }

// Advance lets time pass and gives what has ended. What nobody waits for is given too, if it was a write that took
// effect: its copies are void.
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

// remember keeps an effect for its window, and no longer than needed.
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
