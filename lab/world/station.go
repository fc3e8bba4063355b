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
	cores       float64
	slots, room int
	speed       float64 // of a core now, in work a second
	now         time.Duration
	given       float64 // work that each job in work has had since the start, in seconds
	work        workHeap
	waiting     []*Job
	held        int // slots that are held without working
	busy        float64
	serial      uint64
	left        time.Duration // until when busy has been read
}

// inWork is a job in work; it is finished once the station has given so much to each.
type inWork struct {
	job    *Job
	finish float64
	serial uint64
}

type workHeap []inWork

func (h workHeap) Len() int { return len(h) }
func (h workHeap) Less(i, j int) bool {
	return h[i].finish < h[j].finish || h[i].finish == h[j].finish && h[i].serial < h[j].serial
}
func (h workHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *workHeap) Push(x any)   { *h = append(*h, x.(inWork)) }
func (h *workHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// rate is the work that each job in work gets in a second.
func (s *station) rate() float64 {
	if len(s.work) == 0 {
		return 0
	}
	return s.speed * min(1, s.cores/float64(len(s.work)))
}

// offer takes a job in, or turns it away.
func (s *station) offer(j *Job) bool {
	switch {
	case len(s.work)+s.held < s.slots:
		s.begin(j)
	case len(s.waiting) < s.room:
		s.waiting = append(s.waiting, j)
	default:
		return false
	}
	return true
}

func (s *station) begin(j *Job) {
	s.serial++
	heap.Push(&s.work, inWork{j, s.given + j.Work.Seconds(), s.serial})
}

// refill begins what waits while there are slots.
func (s *station) refill() {
	for len(s.waiting) > 0 && len(s.work)+s.held < s.slots {
		j := s.waiting[0]
		s.waiting[0] = nil
		s.waiting = s.waiting[1:]
		s.begin(j)
	}
}

// next is when the next job is finished if nothing changes before.
func (s *station) next() (time.Duration, bool) {
	r := s.rate()
	if r <= 0 {
		return 0, false
	}
	left := max(0, s.work[0].finish-s.given) / r
	if left > (100 * time.Hour).Seconds() {
		return 0, false
	}
	return s.now + time.Duration(left*float64(time.Second)) + 1, true // rounded up: by then it is finished
}

// advance works until a time at the present speed and gives each job that is finished to done, which may hold its slot.
func (s *station) advance(to time.Duration, done func(at time.Duration, j *Job)) {
	for s.now < to {
		end := to
		at, ok := s.next()
		if ok && at < end {
			end = at
		}
		s.busy += min(float64(len(s.work)), s.cores) / s.cores * (end - s.now).Seconds()
		s.given += s.rate() * (end - s.now).Seconds()
		s.now = end
		for len(s.work) > 0 && s.work[0].finish <= s.given+1e-9 {
			j := heap.Pop(&s.work).(inWork).job
			done(s.now, j)
		}
		s.refill()
	}
}

// drop takes a job out: one that waits, or, if running is set, one in work. It reports whether it was there.
func (s *station) drop(token uint64, waiting, running bool) bool {
	if waiting {
		if i := slices.IndexFunc(s.waiting, func(j *Job) bool { return j.Token == token }); i >= 0 {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			return true
		}
	}
	if running {
		if i := slices.IndexFunc(s.work, func(w inWork) bool { return w.job.Token == token }); i >= 0 {
			heap.Remove(&s.work, i)
			s.refill()
			return true
		}
	}
	return false
}

// clear forgets all jobs and gives their tokens, those in work first.
func (s *station) clear() (tokens []uint64) {
	slices.SortFunc(s.work, func(a, b inWork) int { return int(int64(a.serial) - int64(b.serial)) })
	for _, w := range s.work {
		tokens = append(tokens, w.job.Token)
	}
	for _, j := range s.waiting {
		tokens = append(tokens, j.Token)
	}
	s.work, s.waiting, s.held = nil, nil, 0
	return tokens
}

// load is the part of the cores used since it was last asked for.
func (s *station) load() float64 {
	span := (s.now - s.left).Seconds()
	if span <= 0 {
		return min(1, float64(len(s.work))/s.cores)
	}
	used := s.busy / span
	s.busy, s.left = 0, s.now
	return min(1, used)
}
