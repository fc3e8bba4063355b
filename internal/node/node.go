// Package node runs one balancer process: it connects the decisions of package policy to sockets. Bytes that arrive become calls
// of the policy, and the policy's actions become bytes. The package makes no decision of its own about where a request goes.
//
// clients.go, caches.go and origin.go each handle one kind of peer, members.go follows the server list, and pool.go holds the
// connections to caches and the origin. Everything runs on one event loop.
package node

import (
	"fmt"
	"log"
	"runtime/debug"
	"time"

	"lapisshelf/internal/control"
	"lapisshelf/internal/forwarder"
	"lapisshelf/internal/handover"
	"lapisshelf/internal/loop"
	"lapisshelf/internal/meta"
	"lapisshelf/internal/registry"
	"lapisshelf/policy"
)

const (
	// deadlineMargin is subtracted from a client's deadline, for the way back to the client and for late timers.
	deadlineMargin = 10 * time.Millisecond
	// overdueMargin is how long before its deadline a request that is still unanswered is failed. It is shorter for a request
	// with a short time budget, see startClock.
	overdueMargin = 3 * time.Millisecond
	// lameDuckPeriod is how long the node goes on accepting connections and serving as before, after SIGTERM or after an
	// operator's drain begins.
	lameDuckPeriod = 500 * time.Millisecond
	// killDelay is how long after SIGTERM and the longest deadline the platform may kill the process, less a margin.
	killDelay = 500 * time.Millisecond
	// maxDeadlineGrace is the longest that the platform waits for deadlines to pass before it kills the process, however long
	// they are.
	maxDeadlineGrace = 3 * time.Second
	// reservedSockets is the number of file descriptors kept back from pools and clients: for all other uses, and for clients
	// that connect to a full node and have their requests refused.
	reservedSockets = 32
	// internalSockets is the part of reservedSockets that the event loop, the runtime and the standard streams use.
	internalSockets = 14
	// discoverySockets is how many descriptors clients leave free for calls to discovery. With TLS, one connection may still be
	// closing when the next is opened.
	discoverySockets = 2
	// overheadSockets is how many descriptors of the node's room are taken by the listener, the call to discovery and the watch
	// on this node's other processes.
	overheadSockets = 3
	// heldMemoryDivisor bounds the values of buffered writes, and those of buffered answers, to this fraction of the memory
	// limit.
	heldMemoryDivisor = 4
	// responseMemoryDivisor bounds a single buffered response to this fraction of the memory limit.
	responseMemoryDivisor = 64
	// failedAnswer promises nothing about whether the request had an effect.
	failedAnswer = "SERVER_ERROR failed\r\n"
)

// Node is one balancer process.
type Node struct {
	cfg               Config
	loop              *loop.Loop
	policy            *policy.Balancer
	control           *control.Server // nil without a control address
	classes           map[string]*class
	requests          map[string]*request
	inFlight          int // requests that have arrived whole and are not answered
	everListed        listedServers
	bans              map[string]bool  // by server id; whether an operator has banned the server
	pools             map[string]*pool // by server id
	clients           clients
	effectIDs         *handover.IDTable // ids of requests that may have an effect
	registry          *registry.Client
	announcer         *registry.Announcer  // nil if the node does not announce itself
	forwarder         *forwarder.Forwarder // nil without planners
	serverConns       int                  // open connections to servers
	writeBytes        int                  // bytes of buffered writes
	clientBytes       int                  // bytes held for clients: unsent answers and incomplete commands
	responseBytes     int                  // bytes of incomplete responses
	sendBufferBytes   int                  // bytes by which clients' kernel send buffers were grown, so that answers outlive the process
	shedding          bool
	readingState      readingState // at the last update of the bytes held for clients
	count             counters
	recorder          recorder
	eventLog          eventLog
	violationLoggedAt time.Duration // when a violation was last logged
	ready             bool
	listReceived      bool // discovery has answered
	shuttingDown      bool
	draining          bool          // an operator has drained the node
	drainVersion      time.Duration // orders the drain and undrain commands of all processes of the node
	drainDeadline     time.Duration // from then on a draining node keeps no idle connection
	succession        succession
	setMemoryLimit    func(mb int) // called with the memory limit of the process
	// answerDeadline is when, after SIGTERM, all requests must have been answered.
	answerDeadline time.Duration
}

// request is a client's request. The policy knows it while it is open; the node keeps it until it has been answered and all its
// attempts have ended.
type request struct {
	id            string
	class         *class
	client        *client // nil once the client has gone
	command       meta.Command
	deadline      time.Duration  // the client's
	attemptsUntil time.Duration  // attempts may run until then
	answer        []byte         // complete; waits for its turn on the connection
	body          *body          // the long value that is received as its answer
	partial       *partialAnswer // what its client has had of an answer that is not complete
	upload        *upload        // the long value of a write
	received      bool           // it has arrived whole, and its deadline counts
	idSlot        int            // of its id in Node.effectIDs, if idKept
	idKept        bool
	answered      bool
	how           ending // how it ended, once it is answered
	droppable     bool   // its answer is a value of which nothing has been written
	attempts      []*attempt
	openAttempts  int
	timer         *loop.Timer
}

// attempt is one attempt of a request at a server.
type attempt struct {
	request     *request
	number      int
	pool        *pool
	startedAt   time.Duration
	runnableAt  time.Duration // when the server could first run it; with a long value, when all of that had arrived
	mayHaveRun  bool          // it has ended, and the server may have run it
	timeout     time.Duration // how long the node waits for it, as the server is told
	link        *serverConn   // while it is outstanding
	startOffset int64         // position of its first byte in the connection's output
	endOffset   int64         // position after its last byte
	written     bool          // the system has taken all of it
	queued      bool          // the system took none of it at first
	answering   bool          // a part of its answer has arrived
	announced   int           // size of the value that the answer says it has; 0: not known
	timer       *loop.Timer
	expiryTimer *loop.Timer // fires when it may no longer be sent
	writeTimer  *loop.Timer // withdraws it if the system has taken none of it
	done        bool
}

// response is how an attempt ended. Its slices are valid only while it is being handled.
type response struct {
	outcome     policy.Outcome
	cacheStatus policy.CacheStatus
	value       []byte
	receipt     []byte
	stored      bool   // a write was stored; receipt holds its receipt
	longSize    int    // size of a long value that follows
	announced   int    // of an incomplete answer: size of its value; 0: not known
	trailer     string // what must follow the long value
	discarded   bool   // its long value was not kept
	close       bool   // the server closes the connection after it
	named       bool   // it carries the id of its request
	reusedConn  bool   // with Reset: the connection had carried a response before
}

// New creates a node that listens and follows the server list. Nothing happens until the loop runs.
func New(cfg Config, l *loop.Loop) (*Node, error) {
	n := &Node{cfg: cfg, loop: l, requests: map[string]*request{}, pools: map[string]*pool{}, classes: map[string]*class{}, bans: map[string]bool{}}
	for name, longest := range cfg.Transport.Deadlines {
		n.classes[name] = &class{name: name, maxDeadline: longest}
	}
	for _, c := range cfg.Settings.Classes {
		if k := n.classes[c.Name]; k != nil {
			k.aim, k.effect, k.window = c.Aim, effects[c.Effect], c.Window
		}
	}
	n.clients.node = n
	n.everListed = newListedServers(cfg.MemoryMB)
	n.clients.init()
	n.succession.join(n)
	n.shareIDs()
	if len(n.succession.peers()) == 0 {
		if err := n.clients.listen(); err != nil {
			return nil, fmt.Errorf("listen on %s: %w", cfg.Listen, err)
		}
	}
	if err := n.listenControl(); err != nil {
		return nil, err
	}
	if cfg.SavedListErr != nil {
		n.count.savedListsBad++
		log.Printf("event=bad_known why=%q", cfg.SavedListErr)
	}
	if n.cfg.Settings.MayProbe { // reads are then sent without a probe, as where settings don't allow probes
		n.cfg.Settings.MayProbe = false
		log.Printf("event=no_probes why=%q", "settings call for probes, which the cache protocol does not have; serving without")
	}
	n.guard("start", func() {
		n.policy = policy.New(l.Now(), n.cfg.Settings, cfg.Seed, actions{n})
		n.applyList(policy.ListSaved, cfg.SavedList.Entries)
	})
	n.succession.start()
	n.followList()
	n.startForwarder()
	return n, nil
}

// guard runs f, a call of the policy. A panic in the policy is a bug, but it must cost one decision, not all that the node holds:
// requests that it leaves unanswered are failed by failOverdue.
func (n *Node) guard(what string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			n.count.panics++
			log.Printf("event=panic in=%s error=%q stack=%q", what, fmt.Sprint(p), debug.Stack())
		}
	}()
	f()
}

// submit passes a client's request to the policy.
func (n *Node) submit(c *request, now time.Duration) {
	info := c.command.Info
	n.requests[c.id] = c
	n.recordTransition(requestTaken, c)
	if n.forwarder != nil {
		n.forwarder.Request(string(c.command.Key), meta.FieldValue(info, "t"))
	}
	if c.upload == nil {
		n.startClock(c, now, c.deadline-now)
	} else { // the deadline does not count until the value is complete; this is how long it may wait for an attempt
		c.attemptsUntil = now + c.upload.timeLeft(now)
	}
	n.guard("request", func() {
		n.policy.Request(now, policy.Request{ID: c.id, Class: c.class.name, Tenant: meta.FieldValue(info, "t"),
			Key: string(c.command.Key), Remaining: c.attemptsUntil - now, Write: c.command.Kind == meta.Set,
			BodyPending: c.upload != nil})
	})
}

// startClock starts the time budget of a request that has arrived whole: its client stops waiting after wait.
func (n *Node) startClock(c *request, now, timeout time.Duration) {
	c.deadline, c.attemptsUntil = now+timeout, now+timeout-min(deadlineMargin, timeout/2)
	c.received = true
	n.inFlight++
	// Guards against leaving a request with very little time unanswered: with 6 ms or less, the overdue timer fired before the
	// end that the policy is told, as for a retry with 5 ms left.
	margin := min(overdueMargin, (c.deadline-c.attemptsUntil)/3)
	c.timer = n.loop.After(c.deadline-margin-now, func() { n.failOverdue(c) })
}

// resumeClock has a request whose long value has broken off end at its deadline, or sooner if this process can't wait for so long.
func (n *Node) resumeClock(c *request) {
	now := n.loop.Now()
	c.deadline = min(c.deadline, now+n.capTimeout(c.deadline-now, now))
	c.attemptsUntil = min(c.attemptsUntil, c.deadline-deadlineMargin)
	c.timer = n.loop.After(max(0, c.deadline-overdueMargin-now), func() { n.failOverdue(c) })
}

// stopClock marks a request as answered and ends its time budget.
func (n *Node) stopClock(c *request) {
	c.answered = true
	c.timer.Stop()
	if c.received {
		n.inFlight--
	}
}

// capTimeout limits a client's timeout to the time that this process can still wait.
func (n *Node) capTimeout(timeout, now time.Duration) time.Duration {
	if n.shuttingDown { // what is unanswered when the process is killed is lost, however long its client would wait
		return min(timeout, n.answerDeadline-now)
	} else if n.draining && n.drainDeadline-now < drainRequestAge { // at the drain deadline no request that is younger than drainRequestAge may be left
		return max(min(timeout, n.drainDeadline-now), drainMinWait)
	}
	return timeout
}

// shortenDeadlines limits the deadlines of open requests to the time that this process can still wait, at a planned shutdown.
func (n *Node) shortenDeadlines() {
	now := n.loop.Now()
	for _, c := range n.requests {
		if c.upload != nil {
			c.upload.checkDeadline()
		}
		if c.answered || !c.received || c.body != nil || c.deadline <= n.answerDeadline {
			continue
		}
		c.timer.Stop()
		c.deadline, c.attemptsUntil = n.answerDeadline, min(c.attemptsUntil, n.answerDeadline-deadlineMargin)
		c.timer = n.loop.After(c.deadline-overdueMargin-now, func() { n.failOverdue(c) })
	}
}

// endingTransitions maps how a request ended to its transition in the flight recorder.
var endingTransitions = [numEndings]transition{served: requestServed, refused: requestRefused, failed: requestFailed}

// failOverdue fails a request that the policy has left unanswered. It should never be needed; it ensures that every request is
// answered even after an unforeseen fault.
func (n *Node) failOverdue(c *request) {
	if c.answered {
		return
	}
	if !n.shuttingDown || c.deadline < n.answerDeadline { // otherwise the shutdown has cut its deadline
		n.count.overdue++
		n.recordTransition(requestOverdue, c)
		n.logRequest("event=overdue id=%s attempts=%d", c.id, len(c.attempts))
		n.logHistory(c.id)
	}
	n.endUnserved(c, []byte(failedAnswer), failed)
	n.guard("abandoned", func() { n.policy.Abandoned(n.loop.Now(), c.id) })
}

// replyValue answers a read with a value, once. Until it is written it may be given up for want of memory, if that frees any.
func (n *Node) replyValue(c *request, text []byte) {
	c.droppable = !c.answered && len(text) > len(failedAnswer)
	n.reply(c, text, served)
}

// reply answers a request, once. How it ended is counted when the answer is written.
func (n *Node) reply(c *request, text []byte, how ending) {
	if c.answered {
		return
	}
	n.recordTransition(endingTransitions[how], c)
	n.stopClock(c)
	c.answer = text
	c.how = how
	if c.client != nil && !c.client.closed {
		c.client.queuedBytes += len(text)
		c.client.updateHeldBytes()
		c.client.flush()
	} else {
		n.countEnding(c.class, how)
	}
	n.withdrawAttempts(c)
	n.removeIfDone(c)
}

// abandon ends a request whose client has gone.
func (n *Node) abandon(c *request) {
	c.client = nil
	if c.answered {
		return
	}
	n.recordTransition(requestAbandoned, c)
	b := c.body
	c.body = nil
	n.count.abandoned++
	n.stopClock(c)
	n.guard("abandoned", func() { n.policy.Abandoned(n.loop.Now(), c.id) })
	if b != nil { // the rest of the value has no receiver
		b.attempt.pool.cancel(b.attempt)
	}
	if u := c.upload; u != nil && u.attempt != nil {
		u.attempt.pool.cancel(u.attempt)
	}
	n.withdrawAttempts(c)
	n.removeIfDone(c)
}

// withdrawAttempts withdraws the attempts of a finished request that have not been sent.
func (n *Node) withdrawAttempts(c *request) {
	for _, t := range c.attempts {
		if !t.done {
			n.loop.Defer(func() { t.pool.withdraw(t) })
		}
	}
}

// removeIfDone removes a request that has been answered and has no outstanding attempt.
func (n *Node) removeIfDone(c *request) {
	if !c.answered || c.openAttempts > 0 || n.requests[c.id] != c {
		return
	}
	delete(n.requests, c.id)
	n.releaseID(c)
	n.writeBytes -= len(c.command.Value)
	c.command = meta.Command{}
}

// attemptFinished handles the end of an attempt, as soon as it is known and outside any call of the policy.
func (n *Node) attemptFinished(t *attempt, a response) {
	if t.done {
		return
	}
	// Guards against adding to the server's latency the time that this process takes to answer the client, for instance if it is
	// stopped in between.
	now := n.loop.Now()
	t.done, t.mayHaveRun = true, !a.outcome.NeverRan()
	n.recordAttempt(attemptEnded, t, 0, a.outcome)
	t.timer.Stop()
	t.expiryTimer.Stop()
	t.writeTimer.Stop()
	c := t.request
	c.openAttempts--
	n.count.addOutcome(a.outcome)
	n.reportAttempt(t, a)
	if c.upload != nil {
		c.upload.attemptDone(t)
	}
	if b := c.body; b != nil && b.attempt == t {
		b.finish(c, a.outcome == policy.OK)
	} else if a.outcome == policy.OK && !a.discarded && !c.answered && b == nil && c.partial == nil {
		if id := c.command.ID; a.stored {
			n.reply(c, meta.AppendStored(nil, id, a.receipt), served)
		} else {
			text := meta.AppendValue(make([]byte, 0, len(a.value)+len(id)+24), id, a.value)
			n.replyValue(c, text)
		}
	}
	res := policy.Result{ID: c.id, N: t.number, Server: t.pool.id, Outcome: a.outcome, CacheStatus: a.cacheStatus, Final: c.answered,
		ReusedConn: a.reusedConn, BodyDiscarded: c.upload != nil && c.upload.bufferDropped}
	n.guard("result", func() { n.policy.Result(now, res) })
	n.removeIfDone(c)
}

// Shutdown begins a graceful shutdown. The node first serves on as before; then each connection closes with its next answer or
// once it has been quiet, and after the last one the loop stops.
func (n *Node) Shutdown() {
	if n.shuttingDown {
		return
	}
	n.shuttingDown = true
	var longest time.Duration
	for _, d := range n.cfg.Transport.Deadlines {
		longest = max(longest, d)
	}
	// Guards against requests whose clients would wait longer than the process lives: reads with a 5 s deadline were still
	// unanswered when the process was killed 3.7 s after SIGTERM.
	n.answerDeadline = n.loop.Now() + min(longest, maxDeadlineGrace) + killDelay
	n.shortenDeadlines()
	n.recordTransition(nodeLeaving, nil)
	succeeded := n.succession.hasSuccessor()
	log.Printf("event=leaving open=%d clients=%d succeeded=%t", len(n.requests), len(n.clients.all), succeeded)
	if n.announcer != nil { // so that those who follow the list of nodes know before the listener closes
		n.announcer.Stop(func() {})
	}
	n.succession.update() // before the listener closes, which takes all descriptors if as many clients wait
	n.clients.drain(succeeded)
	n.forwarder.Close()
}

// Reload applies a changed configuration file: the address of discovery, and the limits. All else stays as at the start,
// including the server list. It reports whether the new configuration is in force; an invalid one is rejected.
func (n *Node) Reload(cfg Config, err error) bool {
	if err != nil {
		n.count.reloadsFailed++
		log.Printf("event=reload_failed why=%q", err)
		return false
	}
	n.count.reloads++
	log.Printf("event=reload list=%s memory_mb=%d sockets=%d", cfg.Registry.Endpoints, cfg.MemoryMB, cfg.Sockets)
	if cfg.Listen != n.cfg.Listen {
		log.Printf("event=reload_ignored listen=%s why=%q", cfg.Listen, "the listen address cannot change while the process runs")
	}
	n.cfg.MemoryMB, n.cfg.Sockets = cfg.MemoryMB, cfg.Sockets
	n.updateMemoryLimit()
	if cfg.Planners != nil {
		n.forwarder.Reload(cfg.Planners.TLS)
	}
	if !cfg.Registry.Equal(&n.cfg.Registry) {
		n.cfg.Registry = cfg.Registry
		n.registry.ChangeRegistry(n.cfg.registryConfig())
	}
	return true
}

// LogCounters writes the counters to the log.
func (n *Node) LogCounters() { log.Print(n.count.line(n)) }
