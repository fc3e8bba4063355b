// Package seen holds what clients, servers, the origin and the list saw of a run: the only things that the judge goes by.
// The nodes' own words are not among them. Times count from the run's start on the lab's clock.
package seen

import (
	"sync"
	"time"

	"lapisshelf/lab/world"
)

// Answer is what a client was told in the end.
type Answer int

// The answers.
const (
	None    Answer = iota
	Served         // a value or a receipt
	Refused        // trying again is harmless
	Failed         // any other line
)

// String names the answer.
func (a Answer) String() string {
	return [...]string{"nothing", "served", "refused", "failed"}[a]
}

// Try is one try of a client, as that client saw it. Times are 0 where something did not happen.
type Try struct {
	ID       string
	Arrival  int // the number of the wish that it belongs to
	N        int // which try of it, from 0
	Class    string
	Tenant   string
	Key      string
	Idem     string
	Write    bool
	Value    uint64 // digest of a write's value
	Node     int
	Life     int           // of the node's processes, from 0
	Planned  time.Duration // when it was due
	Sent     time.Duration // its last byte was written
	Until    time.Duration // when the client stops waiting
	Answer   Answer
	At       time.Duration // the answer's last byte came
	Line     string        // the answer's first line
	ComeBack time.Duration // what a refusal said
	Right    bool          // a value that was made for this request, as far as it tells by itself
	Server   string        // whose value it is
	Version  int64         // of the value
	Receipt  string
	Unread   bool          // its connection ended with nothing said, and it went out once more on another
	Nowhere  bool          // no connection to the node could be had
	Ended    time.Duration // the connection ended without a whole answer
	Cut      bool          // in the midst of one
	Left     time.Duration // the client went away
	Extra    string        // what came beyond the one answer
}

// Said is what a server answered.
type Said int

// The answers of servers.
const (
	Nothing Said = iota
	Value
	Absent
	Receipt
	Busy   // it never ran
	Error  // it may have run
	Spoilt // noise, or a part of an answer: it may have run
)

// String names the answer.
func (s Said) String() string {
	return [...]string{"nothing", "a value", "a miss", "a receipt", "busy", "an error", "something spoilt"}[s]
}

// Attempt is a command that reached a server, as that server saw it.
type Attempt struct {
	Server   string // its id
	Origin   bool
	Conn     uint64
	Request  string
	Key      string
	Class    string
	Idem     string
	Write    bool
	Value    uint64
	Wait     time.Duration // how long the node said it would wait
	First    time.Duration // its first byte came
	Last     time.Duration // and its last; 0: never
	Work     time.Duration
	Capacity float64 // work a second that the server could do when it came
	Cold     bool
	Said     Said
	Answered time.Duration // the answer's last byte was written
	Closed   time.Duration // the node gave it up: its connection ended before the answer
	Blind    bool          // the server could not see what became of its connection
	Version  int64
	Receipt  string
}

// MayHaveRun reports whether the attempt had, or could have had, an effect.
func (a *Attempt) MayHaveRun() bool { return a.Last > 0 && a.Said != Busy && a.Said != Absent }

// Ended is when the attempt was over for the node; 0 where that was not seen.
func (a *Attempt) Ended() time.Duration {
	if a.Answered > 0 && (a.Closed == 0 || a.Answered < a.Closed) {
		return a.Answered
	}
	return a.Closed
}

// Told is list news that has been written to a node.
type Told struct {
	Node, Life int
	At         time.Duration
	Revision   int64
	Whole      bool
	Members    []world.Member
}

// Call is a call of a node at the list's service.
type Call struct {
	Node, Life int
	From, To   time.Duration // To is 0 while it is open
	OK         bool
}

// Life is one process of a node.
type Life struct {
	Node, Life int
	Start      time.Duration
	Ready      time.Duration
	Term       time.Duration // SIGTERM was sent
	End        time.Duration
	Killed     bool               // by a fault of the plan
	Replaced   bool               // killed, as planned, since another has taken its place
	Frozen     [][2]time.Duration // stopped by a fault of the plan; an end of 0: to the last
	Status     string
	Known      []world.Member // the list that it was started with
	Peak       int64          // bytes of memory, at most
	Descs      int            // descriptors, at most
	CPU        time.Duration
	Log        string // the file with its log
}

// Hand is a word said of a server to a node by hand: it gets nothing new from From until To, which is 0 while that lasts.
type Hand struct {
	Node     int
	Server   string
	From, To time.Duration
}

// Lame is a drain of a node by hand, as a front and its clients saw it a stated time after the call.
type Lame struct {
	Node   int
	From   time.Duration
	Looked time.Duration // 0: it was over before that
	Ready  bool          // the node still said that it takes clients
	Idle   int           // connections of clients that it still held with nothing open
}

// Effect is a write that took effect.
type Effect struct {
	At      time.Duration
	Request string
	Key     string
	Idem    string
	Receipt string
}

// Start is the beginning of a server's process.
type Start struct {
	Server   string
	Name     string
	At       time.Duration
	Cold     bool
	Capacity float64 // when warm
}

// Mark is something that happened to the deployment, for reports.
type Mark struct {
	At   time.Duration
	Text string
}

// Record is all that was seen.
type Record struct {
	Tries    []*Try
	Attempts []*Attempt
	Told     []Told
	Calls    []*Call
	Lives    []*Life
	Hands    []*Hand
	Lames    []*Lame
	Effects  []Effect
	Starts   []Start
	Falls    []Mark // servers that fell over, by id
	Stops    []Mark // of the origin, for being asked too much
	Marks    []Mark
	Strange  []Mark // what servers were sent that no protocol allows
}

// Said notes what was said of a server to a node by hand.
func (r *Record) Said(node int, server string, banned bool, at time.Duration) {
	if banned {
		r.Hands = append(r.Hands, &Hand{Node: node, Server: server, From: at})
		return
	}
	for _, h := range r.Hands {
		if h.Node == node && h.Server == server && h.To == 0 {
			h.To = at
		}
	}
}

// Log collects a Record from many goroutines.
type Log struct {
	mu     sync.Mutex
	record Record
	zero   time.Time
}

// NewLog starts the lab's clock.
func NewLog() *Log { return &Log{zero: time.Now()} }

// Now is the time since the start, on the monotonic clock.
func (l *Log) Now() time.Duration { return time.Since(l.zero) }

// Zero is the start.
func (l *Log) Zero() time.Time { return l.zero }

// Do changes the record, or anything in it.
func (l *Log) Do(f func(r *Record)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.record)
}

// Mark notes something that happened.
func (l *Log) Mark(text string) {
	l.Do(func(r *Record) { r.Marks = append(r.Marks, Mark{l.Now(), text}) })
}
