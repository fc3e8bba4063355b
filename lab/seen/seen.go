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
	ID            string
	ArrivalNumber int // the number of the wish that it belongs to
	Number        int // which try of it, from 0
	Class         string
	Tenant        string
	Key           string
	Idem          string
	Write         bool
	Value         uint64 // digest of a write's value
	Node          int
	Generation    int           // of the node's processes, from 0
	DueAt         time.Duration // when it was due
	SentAt        time.Duration // its last byte was written
	WaitsUntil    time.Duration // when the client stops waiting
	Answer        Answer
	AnsweredAt    time.Duration // the answer's last byte came
	AnswerLine    string        // the answer's first line
	RetryAfter    time.Duration // what a refusal said
	Correct       bool          // a value that was made for this request, as far as it tells by itself
	Server        string        // whose value it is
	Version       int64         // of the value
	Receipt       string
	Resent        bool          // its connection ended with nothing said, and it went out once more on another
	ConnectFailed bool          // no connection to the node could be had
	ConnEndedAt   time.Duration // the connection ended without a whole answer
	Truncated     bool          // in the midst of one
	LeftAt        time.Duration // the client went away
	ExtraLine     string        // what came beyond the one answer
}

// Said is what a server answered.
type ServerAnswer int

// The answers of servers.
const (
	Nothing ServerAnswer = iota
	Value
	NoValue
	Receipt
	Busy    // it never ran
	Error   // it may have run
	Corrupt // noise, or a part of an answer: it may have run
)

// String names the answer.
func (s ServerAnswer) String() string {
	return [...]string{"nothing", "a value", "a miss", "a receipt", "busy", "an error", "something spoilt"}[s]
}

// Attempt is a command that reached a server, as that server saw it.
type Attempt struct {
	Server           string // its id
	Origin           bool
	Conn             uint64
	Request          string
	Key              string
	Class            string
	Idem             string
	Write            bool
	Value            uint64
	RemainingTime    time.Duration // how long the node said it would wait
	FirstByteAt      time.Duration // its first byte came
	LastByteAt       time.Duration // and its last; 0: never
	Work             time.Duration
	Capacity         float64 // work a second that the server could do when it came
	Cold             bool
	Answer           ServerAnswer
	AnsweredAt       time.Duration // the answer's last byte was written
	ClosedAt         time.Duration // the node gave it up: its connection ended before the answer
	ConnStateUnknown bool          // the server could not see what became of its connection
	Version          int64
	Receipt          string
}

// MayHaveRun reports whether the attempt had, or could have had, an effect.
func (a *Attempt) MayHaveRun() bool {
	return a.LastByteAt > 0 && a.Answer != Busy && a.Answer != NoValue
}

// Ended is when the attempt was over for the node; 0 where that was not seen.
func (a *Attempt) EndedAt() time.Duration {
	if a.AnsweredAt > 0 && (a.ClosedAt == 0 || a.AnsweredAt < a.ClosedAt) {
		return a.AnsweredAt
	}
	return a.ClosedAt
}

// Told is list news that has been written to a node.
type ListUpdate struct {
	Node, Generation int
	At               time.Duration
	Revision         int64
	Snapshot         bool
	Members          []world.Member
}

// Call is a call of a node at the list's service.
type ListCall struct {
	Node, Generation int
	From, To         time.Duration // To is 0 while it is open
	OK               bool
}

// Life is one process of a node.
type NodeProcess struct {
	Node, Generation int
	StartedAt        time.Duration
	ReadyAt          time.Duration
	TerminatedAt     time.Duration // SIGTERM was sent
	EndedAt          time.Duration
	Killed           bool               // by a fault of the plan
	Replaced         bool               // killed, as planned, since another has taken its place
	Frozen           [][2]time.Duration // stopped by a fault of the plan; an end of 0: to the last
	ExitStatus       string
	InitialList      []world.Member // the list that it was started with
	PeakMemory       int64          // bytes of memory, at most
	PeakDescriptors  int            // descriptors, at most
	CPU              time.Duration
	LogFile          string // the file with its log
}

// Hand is a word said of a server to a node by hand: it gets nothing new from From until To, which is 0 while that lasts.
type Ban struct {
	Node     int
	Server   string
	From, To time.Duration
}

// Lame is a drain of a node by hand, as a front and its clients saw it a stated time after the call.
type LameDuckCheck struct {
	Node      int
	From      time.Duration
	CheckedAt time.Duration // 0: it was over before that
	Ready     bool          // the node still said that it takes clients
	IdleConns int           // connections of clients that it still held with nothing open
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
type ServerStart struct {
	Server   string
	Name     string
	At       time.Duration
	Cold     bool
	Capacity float64 // when warm
}

// Mark is something that happened to the deployment, for reports.
type Event struct {
	At   time.Duration
	Text string
}

// Record is all that was seen.
type Record struct {
	Tries          []*Try
	Attempts       []*Attempt
	ListUpdates    []ListUpdate
	ListCalls      []*ListCall
	NodeProcesses  []*NodeProcess
	Bans           []*Ban
	LameDuckChecks []*LameDuckCheck
	Effects        []Effect
	ServerStarts   []ServerStart
	FallOvers      []Event // servers that fell over, by id
	OriginStops    []Event // of the origin, for being asked too much
	Events         []Event
	ProtocolErrors []Event // what servers were sent that no protocol allows
}

// Said notes what was said of a server to a node by hand.
func (r *Record) SetBan(node int, server string, banned bool, at time.Duration) {
	if banned {
		r.Bans = append(r.Bans, &Ban{Node: node, Server: server, From: at})
		return
	}
	for _, h := range r.Bans {
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
func (l *Log) StartTime() time.Time { return l.zero }

// Do changes the record, or anything in it.
func (l *Log) Update(f func(r *Record)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.record)
}

// Mark notes something that happened.
func (l *Log) AddEvent(text string) {
	l.Update(func(r *Record) { r.Events = append(r.Events, Event{l.Now(), text}) })
}
