// Package seen records what the clients, servers, origin and list service observed during a run. The judge decides from
// these records alone; the nodes' own logs and counters are not among them. Times count from the start of the run on the
// lab's monotonic clock.
package seen

import (
	"sync"
	"time"

	"lapisshelf/lab/world"
)

// Answer is the kind of answer that a client received.
type Answer int

// Kinds of answers to clients.
const (
	None    Answer = iota
	Served         // a value or a write receipt
	Refused        // the request had no effect, so that a retry is harmless
	Failed         // any other line
)

// String returns the name used in stories and reports.
func (a Answer) String() string {
	return [...]string{"nothing", "served", "refused", "failed"}[a]
}

// LongValueSize is the number of bytes beyond which only the first bytes of a value are timed.
const LongValueSize = 64 << 10

// Try is one try of a client, as that client observed it. A time of 0 means that the event did not happen.
type Try struct {
	ID            string
	ArrivalNumber int // Arrival.N of the arrival that it belongs to; negative: none
	Number        int // 0 for the first try of the arrival
	Class         string
	Tenant        string
	Key           string
	Idem          string
	Write         bool
	Value         uint64 // digest of the written value
	Node          int
	Generation    int           // of the node's process; 0 is the first
	DueAt         time.Duration // scheduled send time
	SentAt        time.Duration // the last byte was written
	WaitsUntil    time.Duration // when the client gives up
	Answer        Answer
	AnsweredAt    time.Duration // the last byte of the answer arrived
	AnswerLine    string        // first line of the answer
	LongValueAt   time.Duration // the first line of a value over LongValueSize arrived
	TurnAt        time.Duration // the answer before it on its connection was complete; 0: none came before it
	RetryAfter    time.Duration // delay that a refusal asked for
	Correct       bool          // the value was made for this request and key
	Server        string        // that produced the value
	Version       int64         // of the value
	Receipt       string
	Resent        bool          // its connection ended without an answer, and it was sent once more on a new one
	ConnectFailed bool          // no connection to the node could be opened
	ConnEndedAt   time.Duration // the connection ended before the answer was complete
	FirstOnConn   bool          // nothing had been answered on that connection before
	Truncated     bool          // the connection ended within the answer
	LeftAt        time.Duration // the client disconnected early
	ExtraLine     string        // data received after the complete answer
}

// ServerAnswer is the kind of answer that a server sent.
type ServerAnswer int

// Kinds of answers by servers.
const (
	Nothing ServerAnswer = iota
	Value
	NoValue
	Receipt
	Busy    // the request did not run
	Error   // the request may have run
	Corrupt // noise or a truncated answer; the request may have run
)

// String returns the name used in stories and violations.
func (s ServerAnswer) String() string {
	return [...]string{"nothing", "a value", "a miss", "a receipt", "busy", "an error", "a corrupt answer"}[s]
}

// Attempt is a command that reached a server, as that server observed it.
type Attempt struct {
	Server           string // server ID
	Origin           bool
	Conn             uint64
	Request          string
	Key              string
	Class            string
	Idem             string
	Write            bool
	Value            uint64
	RemainingTime    time.Duration // how long the node will wait, according to the command
	FirstByteAt      time.Duration
	LastByteAt       time.Duration // 0: the command never arrived completely
	Work             time.Duration
	Capacity         float64 // of the server on arrival, in seconds of work per second
	Cold             bool
	Answer           ServerAnswer
	AnsweredAt       time.Duration // the last byte of the answer was written
	RestsFrom        time.Duration // the server wrote the beginning of its answer and paused; 0: it did not
	RestsUntil       time.Duration // when it goes on
	ClosedAt         time.Duration // the node abandoned it: the connection ended before the answer
	ConnStateUnknown bool          // the server could not observe whether its connection ended
	Version          int64
	Receipt          string
}

// MayHaveRun reports whether the attempt had, or could have had, an effect.
func (a *Attempt) MayHaveRun() bool {
	return a.LastByteAt > 0 && a.Answer != Busy && a.Answer != NoValue
}

// EndedAt returns when the attempt ended for the node, or 0 if that was not observed.
func (a *Attempt) EndedAt() time.Duration {
	if a.AnsweredAt > 0 && (a.ClosedAt == 0 || a.AnsweredAt < a.ClosedAt) {
		return a.AnsweredAt
	}
	return a.ClosedAt
}

// ListUpdate is a server list answer that was written to a node.
type ListUpdate struct {
	Node, Generation int
	At               time.Duration
	Revision         int64
	Snapshot         bool // Members is the whole list, not only the changes
	Members          []world.Member
}

// ListCall is a call of a node to the list service.
type ListCall struct {
	Node, Generation int
	From, To         time.Duration // To is 0 while the call is open
	OK               bool
}

// NodeProcess is one process of a node.
type NodeProcess struct {
	Node, Generation int
	StartedAt        time.Duration
	ReadyAt          time.Duration
	TerminatedAt     time.Duration // SIGTERM was sent
	EndedAt          time.Duration
	Killed           bool               // by an injected fault
	Replaced         bool               // killed on purpose, since it had been told to end and took too long
	Frozen           [][2]time.Duration // intervals stopped by an injected fault; an end of 0 means until the process ended
	ExitStatus       string
	InitialList      []world.Member // server list that it was started with
	PeakMemory       int64          // bytes
	PeakDescriptors  int            // open file descriptors
	CPU              time.Duration
	LogFile          string
}

// Ban is an operator's ban of a server at one node: the node must send it nothing new from From until To. To is 0 while
// the ban lasts.
type Ban struct {
	Node     int
	Server   string
	From, To time.Duration
}

// LameDuckCheck is an operator's drain of a node, and the state that its clients and the load balancer in front of it
// observed a fixed time later.
type LameDuckCheck struct {
	Node      int
	From      time.Duration
	CheckedAt time.Duration // 0: the drain ended before the check
	Ready     bool          // the node still reported that it takes clients
	IdleConns int           // client connections that the node still held without a request in flight
}

// Effect is a write that took effect.
type Effect struct {
	At      time.Duration
	Request string
	Key     string
	Idem    string
	Receipt string
}

// ServerStart is the start of a server process.
type ServerStart struct {
	Server   string // server ID
	Name     string
	At       time.Duration
	Cold     bool
	Capacity float64 // when warm
}

// Event is something that happened to the deployment, for reports.
type Event struct {
	At   time.Duration
	Text string
}

// Record holds all observations of a run.
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
	FallOvers      []Event // cold servers that failed under overload; Text is the server ID
	OriginStops    []Event // stops of the origin caused by overload
	Events         []Event
	ProtocolErrors []Event // commands to servers that the protocol does not allow
}

// SetBan records that an operator banned a server at a node, or lifted the ban.
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
	start  time.Time
}

// NewLog returns an empty log and starts the lab's clock.
func NewLog() *Log { return &Log{start: time.Now()} }

// Now returns the time since the start, on the monotonic clock.
func (l *Log) Now() time.Duration { return time.Since(l.start) }

// StartTime returns the wall clock time of the start.
func (l *Log) StartTime() time.Time { return l.start }

// Update calls f with the record locked. Everything that the record points to may be changed only within such a call.
func (l *Log) Update(f func(r *Record)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.record)
}

// AddEvent records an event at the current time.
func (l *Log) AddEvent(text string) {
	l.Update(func(r *Record) { r.Events = append(r.Events, Event{l.Now(), text}) })
}
