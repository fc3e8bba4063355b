package world

import (
	"container/heap"
	"slices"
	"time"
)

// Job is a request at a server.
type Job struct {
	Token uint64 // set by the caller; unique among the server's current jobs
	Key   string
	Work  time.Duration
	Write bool
	Size  int    // bytes of the value
	Idem  string // idempotency key of a keyed write
}

// Admission is the result of submitting a job.
type Admission int

// Results of submitting a job.
const (
	Accepted Admission = iota
	Busy               // rejected without effect: the queue is full or the server drains
	Down               // nobody is listening
)

// station models processor sharing: the running jobs share the cores evenly. A limited number of jobs may run and a
// limited number may wait; further ones are rejected.
type station struct {
	cores             float64
	slots, queueLimit int
	speed             float64 // of a core now, in seconds of work per second
	now               time.Duration
	attained          float64 // seconds of work that each running job has received since the start
	running           runningHeap
	queue             []*Job
	heldSlots         int // slots held by jobs that do no work here
	busySeconds       float64
	lastSequence      uint64
	loadReadAt        time.Duration // until when utilization has read busySeconds
}

// runningJob is a running job; it completes when the station's attained service reaches finish.
type runningJob struct {
	job      *Job
	finish   float64
	sequence uint64
}

type runningHeap []runningJob

func (h runningHeap) Len() int { return len(h) }
func (h runningHeap) Less(i, j int) bool {
	return h[i].finish < h[j].finish || h[i].finish == h[j].finish && h[i].sequence < h[j].sequence
}
func (h runningHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)   { *h = append(*h, x.(runningJob)) }
func (h *runningHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// rate returns the seconds of work that each running job receives per second.
func (s *station) rate() float64 {
	if len(s.running) == 0 {
		return 0
	}
	return s.speed * min(1, s.cores/float64(len(s.running)))
}

// admit starts or queues a job. It returns false if it rejects the job.
func (s *station) admit(j *Job) bool {
	switch {
	case len(s.running)+s.heldSlots < s.slots:
		s.start(j)
	case len(s.queue) < s.queueLimit:
		s.queue = append(s.queue, j)
	default:
		return false
	}
	return true
}

func (s *station) start(j *Job) {
	s.lastSequence++
	heap.Push(&s.running, runningJob{j, s.attained + j.Work.Seconds(), s.lastSequence})
}

// startQueued starts waiting jobs while there are free slots.
func (s *station) startQueued() {
	for len(s.queue) > 0 && len(s.running)+s.heldSlots < s.slots {
		j := s.queue[0]
		s.queue[0] = nil
		s.queue = s.queue[1:]
		s.start(j)
	}
}

// nextCompletion returns when the next job completes if nothing changes before.
func (s *station) nextCompletion() (time.Duration, bool) {
	r := s.rate()
	if r <= 0 {
		return 0, false
	}
	remaining := max(0, s.running[0].finish-s.attained) / r
	if remaining > (100 * time.Hour).Seconds() {
		return 0, false
	}
	return s.now + time.Duration(remaining*float64(time.Second)) + 1, true // rounded up, so that the job is complete by then
}

// advance works at the present speed until a time and calls done for each completed job. The callback may hold the
// job's slot.
func (s *station) advance(to time.Duration, done func(at time.Duration, j *Job)) {
	for s.now < to {
		end := to
		at, ok := s.nextCompletion()
		if ok && at < end {
			end = at
		}
		s.busySeconds += min(float64(len(s.running)), s.cores) / s.cores * (end - s.now).Seconds()
		s.attained += s.rate() * (end - s.now).Seconds()
		s.now = end
		for len(s.running) > 0 && s.running[0].finish <= s.attained+1e-9 {
			j := heap.Pop(&s.running).(runningJob).job
			done(s.now, j)
		}
		s.startQueued()
	}
}

// remove removes a job: a waiting one if waiting is set, a running one if running is set. It reports whether it found
// the job.
func (s *station) remove(token uint64, waiting, running bool) bool {
	if waiting {
		if i := slices.IndexFunc(s.queue, func(j *Job) bool { return j.Token == token }); i >= 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
			return true
		}
	}
	if running {
		if i := slices.IndexFunc(s.running, func(w runningJob) bool { return w.job.Token == token }); i >= 0 {
			heap.Remove(&s.running, i)
			s.startQueued()
			return true
		}
	}
	return false
}

// clear removes all jobs and returns their tokens, running jobs first.
func (s *station) clear() (tokens []uint64) {
	slices.SortFunc(s.running, func(a, b runningJob) int { return int(int64(a.sequence) - int64(b.sequence)) })
	for _, w := range s.running {
		tokens = append(tokens, w.job.Token)
	}
	for _, j := range s.queue {
		tokens = append(tokens, j.Token)
	}
	s.running, s.queue, s.heldSlots = nil, nil, 0
	return tokens
}

// utilization returns the fraction of the cores used since the last call.
func (s *station) utilization() float64 {
	span := (s.now - s.loadReadAt).Seconds()
	if span <= 0 {
		return min(1, float64(len(s.running))/s.cores)
	}
	used := s.busySeconds / span
	s.busySeconds, s.loadReadAt = 0, s.now
	return min(1, used)
}
