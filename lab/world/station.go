package world

import (
	"container/heap"
	"slices"
	"time"
)

// Job is a request as a server sees it.
type Job struct {
	Token uint64 // the caller's name for it, not in use at this server
	Key   string
	Work  time.Duration
	Write bool
	Size  int    // bytes of the value
	Idem  string // a keyed write's idempotency key
}

// Verdict says what becomes of a job that has come.
type Admission int

// The verdicts.
const (
	Accepted Admission = iota
	Busy               // turned away unseen: no room, or draining
	Down               // nobody is there
)

// station shares cores evenly among the jobs in work; so many may be in work, so many may wait, the rest is turned away.
type station struct {
	cores             float64
	slots, queueLimit int
	speed             float64 // of a core now, in work a second
	now               time.Duration
	attained          float64 // work that each job in work has had since the start, in seconds
	running           runningHeap
	queue             []*Job
	heldSlots         int // slots that are held without working
	busySeconds       float64
	lastSequence      uint64
	loadReadAt        time.Duration // until when busy has been read
}

// inWork is a job in work; it is finished once the station has given so much to each.
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

// rate is the work that each job in work gets in a second.
func (s *station) rate() float64 {
	if len(s.running) == 0 {
		return 0
	}
	return s.speed * min(1, s.cores/float64(len(s.running)))
}

// offer takes a job in, or turns it away.
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

// refill begins what waits while there are slots.
func (s *station) startQueued() {
	for len(s.queue) > 0 && len(s.running)+s.heldSlots < s.slots {
		j := s.queue[0]
		s.queue[0] = nil
		s.queue = s.queue[1:]
		s.start(j)
	}
}

// next is when the next job is finished if nothing changes before.
func (s *station) nextCompletion() (time.Duration, bool) {
	r := s.rate()
	if r <= 0 {
		return 0, false
	}
	left := max(0, s.running[0].finish-s.attained) / r
	if left > (100 * time.Hour).Seconds() {
		return 0, false
	}
	return s.now + time.Duration(left*float64(time.Second)) + 1, true // rounded up: by then it is finished
}

// advance works until a time at the present speed and gives each job that is finished to done, which may hold its slot.
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

// drop takes a job out: one that waits, or, if running is set, one in work. It reports whether it was there.
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

// clear forgets all jobs and gives their tokens, those in work first.
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

// load is the part of the cores used since it was last asked for.
func (s *station) utilization() float64 {
	span := (s.now - s.loadReadAt).Seconds()
	if span <= 0 {
		return min(1, float64(len(s.running))/s.cores)
	}
	used := s.busySeconds / span
	s.busySeconds, s.loadReadAt = 0, s.now
	return min(1, used)
}
