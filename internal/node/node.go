// Package node is the balancer as a process on sockets. It turns what comes on them into calls of the decision
// module and the module's actions into bytes; it decides nothing of its own about where a request goes.
//
// One file a peer: clients.go, caches.go, origin.go; members.go follows the list; pool.go holds the connections to caches and
// origin. All of it runs on one loop.
package node

import (
	"fmt"
	"log"
	"runtime/debug"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/internal/control"
	"lapisshelf/internal/forwarder"
	"lapisshelf/internal/loop"
	"lapisshelf/internal/meta"
	"lapisshelf/internal/registry"
	"lapisshelf/policy"
)

const (
	// margin is kept off a client's deadline for the way back and the loop's lateness.
	margin = 10 * time.Millisecond
	// lastCall is when, before the deadline, a request that is still unanswered is failed come what may; it comes sooner
	// where the margin is shorter.
	lastCall = 3 * time.Millisecond
	// lameFor is how long after SIGTERM new connections may come and all goes on as before.
	lameFor = 500 * time.Millisecond
	// killAfter is how long after SIGTERM and the longest deadline the process may be killed, less a margin.
	killAfter = 500 * time.Millisecond
	// mostGrace is the longest that the platform waits for deadlines to pass, however long they are.
	mostGrace = 3 * time.Second
	// reserve is the number of descriptors kept for what is no pool's and no client's, and for clients of a full house,
	// whose requests are refused.
	reserve = 32
	// ownSockets of these are the loop's, the runtime's and the standard ones.
	ownSockets = 14
	// listSockets are left by clients for a call for the list: by TLS one may still be closing as the next is made.
	listSockets = 2
	// listenSockets of the room are the listener's, the call's for the list and the watch's over other processes.
	listenSockets = 3
	// heldPart bounds the values of writes and of answers that are kept, as a part of the memory limit.
	heldPart = 4
	// valuePart bounds one value, as a part of the memory limit.
	valuePart = 64
	// failed is the answer that promises nothing.
	failure = "SERVER_ERROR failed\r\n"
)

// Node is one balancer on sockets.
type Node struct {
	cfg        Config
	loop       *loop.Loop
	policy     *policy.Balancer
	control    *control.Server // nil: none
	classes    map[string]*class
	calls      map[string]*call
	inFlight   int // of them, not answered
	listed     listed
	bans       map[string]bool  // servers banned by hand
	pools      map[string]*pool // by server id
	clients    clients
	registry   *registry.Client
	announcer  *registry.Announcer  // nil: the node keeps no entry of itself
	forwarder  *forwarder.Forwarder // nil: there are no planners
	links      int                  // connections to servers
	held       int                  // bytes of writes kept
	owed       int                  // bytes of answers that clients have yet to take, and of commands not whole
	coming     int                  // bytes of answers that are not whole
	deep       int                  // bytes that the system was asked to make room for, so that they outlive the process
	shedding   bool
	count      counters
	recorder   recorder
	violatedAt time.Duration // when a violation was logged last
	ready      bool
	watched    bool // an answer about the list has come
	leaving    bool
	lame       bool          // drained by an operator
	lameAt     time.Duration // the version of that word, or of its end
	lameUntil  time.Duration // when nothing idle may be held any more
	succession succession
	limit      func(mb int) // told of the megabytes that the process may use
	// lastAnswer is when, after SIGTERM, all answers must have been given.
	lastAnswer time.Duration
}

// call is a request that the node has taken. It is the module's while it is open, and known here until it has been
// answered and all its attempts have ended.
type call struct {
	id       string
	class    *class
	client   *client // nil once nobody waits
	command  meta.Command
	deadline time.Duration // the client's
	end      time.Duration // until then attempts may run
	answer   []byte        // complete, waiting for its turn on the connection
	body     *body         // a long value that it is bound to, while that comes
	upload   *upload       // the long value of a write
	counted  bool          // it counts as taken: all of it has come
	answered bool
	tries    []*try
	open     int
	timer    *loop.Timer
}

// try is one attempt.
type try struct {
	call  *call
	n     int
	pool  *pool
	at    time.Duration
	began time.Duration // as its request could first run: of a long value, when all of that had come
	ran   bool          // it has ended, and may have run
	wait  time.Duration // from then on the node waits for it
	link  *serverConn   // while it is out
	first int64         // where its first byte stands on the link
	last  int64         // and the byte behind its last
	whole bool          // it has been written whole
	waits bool          // no byte of it went to the system as it was written
	timer *loop.Timer
	late  *loop.Timer // when it may not go out any more
	stuck *loop.Timer // when it is taken back if no byte of it has gone out
	done  bool
}

// answer is what a server said of an attempt. Its slices are good only while they are being handled.
type answer struct {
	outcome policy.Outcome
	note    policy.CacheStatus
	value   []byte
	receipt []byte
	stored  bool   // served without a value: a receipt
	long    int    // bytes of a long value, which follows
	tail    string // what must stand behind that
	close   bool   // the connection carries nothing after it
	kept    bool   // of a reset: the connection had answered before
}

// New builds a node that listens and follows the list. Nothing happens until the loop runs.
func New(cfg Config, l *loop.Loop) (*Node, error) {
	n := &Node{cfg: cfg, loop: l, calls: map[string]*call{}, pools: map[string]*pool{}, classes: map[string]*class{}, bans: map[string]bool{}}
	for name, longest := range cfg.Transport.Deadlines {
		n.classes[name] = &class{name: name, maxDeadline: longest}
	}
	for _, c := range cfg.Settings.Classes {
		if k := n.classes[c.Name]; k != nil {
			k.aim, k.effect, k.window = c.Aim, effects[c.Effect], c.Window
		}
	}
	n.clients.node = n
	n.listed = newListed(cfg.MemoryMB)
	n.clients.init()
	n.succession.join(n)
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
	if n.cfg.Settings.MayProbe { // reads are sent unasked, as where probes are not allowed
		n.cfg.Settings.MayProbe = false
		log.Printf("event=no_probes why=%q", "settings call for probes, which the cache protocol does not have; serving without")
	}
	n.guard("start", func() {
		n.policy = policy.New(l.Now(), n.cfg.Settings, cfg.Seed, actions{n})
		n.applyList(policy.ListSaved, cfg.SavedList.Entries)
	})
	n.succession.start()
	n.followList()
	n.forward()
	return n, nil
}

// guard runs the module. A panic in it is a bug, but one that must cost a decision, not all that the node holds: the
// requests concerned are failed by their last call.
func (n *Node) guard(what string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			n.count.panics++
			log.Printf("event=panic in=%s error=%q stack=%q", what, fmt.Sprint(p), debug.Stack())
		}
	}()
	f()
}

// take hands a client's request to the module.
func (n *Node) take(c *call, now time.Duration) {
	info := c.command.Info
	n.calls[c.id] = c
	n.note(requestTaken, c)
	if n.forwarder != nil {
		n.forwarder.Request(string(c.command.Key), meta.FieldValue(info, "t"))
	}
	if c.upload == nil {
		n.clock(c, now, c.deadline-now)
	} else { // until all has come its time does not count: this is how long it may wait for an attempt
		c.end = now + c.upload.wait
	}
	n.guard("request", func() {
		n.policy.Request(now, policy.Request{ID: c.id, Class: c.class.name, Tenant: meta.FieldValue(info, "t"),
			Key: string(c.command.Key), Remaining: c.end - now, Write: c.command.Kind == meta.Set,
			BodyPending: c.upload != nil})
	})
}

// clock has a request's time run, all of which has come: so long from now its client goes away.
func (n *Node) clock(c *call, now, wait time.Duration) {
	c.deadline, c.end = now+wait, now+wait-min(margin, wait/2)
	c.counted = true
	n.inFlight++
	// Guards against taking a request with hardly any time for one left unanswered: with 6 ms or less the last call came
	// before the end that the module is told (lab, slow-origin: a retry with 5 ms left).
	last := min(lastCall, (c.deadline-c.end)/3)
	c.timer = n.loop.After(c.deadline-last-now, func() { n.overdue(c) })
}

// unclock notes that a request is over.
func (n *Node) unclock(c *call) {
	c.answered = true
	c.timer.Stop()
	if c.counted {
		n.inFlight--
	}
}

// within cuts how long a client waits to what this process can wait.
func (n *Node) within(wait, now time.Duration) time.Duration {
	if n.leaving { // what is unanswered at the kill is lost, however long its client would wait
		return min(wait, n.lastAnswer-now)
	} else if n.lame && n.lameUntil-now < drainRequestAge { // a request as young as that may not be held any more then
		return max(min(wait, n.lameUntil-now), drainMinWait)
	}
	return wait
}

// hurry cuts what was taken before a planned end to what this process can wait.
func (n *Node) hurry() {
	now := n.loop.Now()
	for _, c := range n.calls {
		if c.answered || !c.counted || c.body != nil || c.deadline <= n.lastAnswer {
			continue
		}
		c.timer.Stop()
		c.deadline, c.end = n.lastAnswer, min(c.end, n.lastAnswer-margin)
		c.timer = n.loop.After(c.deadline-lastCall-now, func() { n.overdue(c) })
	}
}

// endingTransitions are how a request's end is recorded.
var endingTransitions = [numEndings]transition{served: requestServed, refused: requestRefused, failed: requestFailed}

// overdue fails a request that the module has left unanswered. It should never be needed; it guards rule 1 against
// what nobody has thought of.
func (n *Node) overdue(c *call) {
	if c.answered {
		return
	}
	if !n.leaving || c.deadline < n.lastAnswer { // else it would have gone on waiting
		n.count.overdue++
		n.note(requestOverdue, c)
		log.Printf("event=overdue id=%s attempts=%d", c.id, len(c.tries))
		n.logStory(c.id)
	}
	n.reply(c, []byte(failure), failed)
	n.guard("abandoned", func() { n.policy.Abandoned(n.loop.Now(), c.id) })
}

// reply gives a request its one answer.
func (n *Node) reply(c *call, text []byte, how ending) {
	if c.answered {
		return
	}
	n.countEnding(c.class, how)
	n.note(endingTransitions[how], c)
	n.unclock(c)
	c.answer = text
	if c.client != nil {
		c.client.waiting += len(text)
		c.client.flush()
	}
	n.withdraw(c)
	n.settle(c)
}

// abandon notes that nobody waits for a request any more.
func (n *Node) abandon(c *call) {
	c.client = nil
	if c.answered {
		return
	}
	n.note(requestAbandoned, c)
	b := c.body
	c.body = nil
	n.count.abandoned++
	n.unclock(c)
	n.guard("abandoned", func() { n.policy.Abandoned(n.loop.Now(), c.id) })
	if b != nil { // what comes of it has nowhere to go
		b.try.pool.cancel(b.try)
	}
	if u := c.upload; u != nil && u.try != nil {
		u.try.pool.cancel(u.try)
	}
	n.withdraw(c)
	n.settle(c)
}

// withdraw takes back what has not gone out for a request that is over.
func (n *Node) withdraw(c *call) {
	for _, t := range c.tries {
		if !t.done {
			n.loop.Defer(func() { t.pool.withdraw(t) })
		}
	}
}

// settle forgets a request that has been answered and has no attempt out.
func (n *Node) settle(c *call) {
	if !c.answered || c.open > 0 || n.calls[c.id] != c {
		return
	}
	delete(n.calls, c.id)
	n.held -= len(c.command.Value)
	c.command = meta.Command{}
}

// finished takes the end of an attempt, at the moment it is known and outside any call of the module.
func (n *Node) finished(t *try, a answer) {
	if t.done {
		return
	}
	// Guards against counting against the server what this process takes to answer the client, stopped in the midst of it.
	now := n.loop.Now()
	t.done, t.ran = true, !a.outcome.NeverRan()
	n.noteAttempt(attemptEnded, t, 0, a.outcome)
	t.timer.Stop()
	t.late.Stop()
	t.stuck.Stop()
	c := t.call
	c.open--
	n.count.addOutcome(a.outcome)
	n.observe(t, a)
	if c.upload != nil {
		c.upload.ended(t)
	}
	if b := c.body; b != nil && b.try == t {
		b.end(c, a.outcome == policy.OK)
	} else if a.outcome == policy.OK && !c.answered && b == nil {
		var text []byte
		if id := c.command.ID; a.stored {
			text = meta.AppendStored(nil, id, a.receipt)
		} else {
			text = meta.AppendValue(make([]byte, 0, len(a.value)+len(id)+24), id, a.value)
		}
		n.reply(c, text, served)
	}
	res := policy.Result{ID: c.id, N: t.n, Server: t.pool.id, Outcome: a.outcome, CacheStatus: a.note, Final: c.answered,
		ReusedConn: a.kept, BodyDiscarded: c.upload != nil && c.upload.spent}
	n.guard("result", func() { n.policy.Result(now, res) })
	n.settle(c)
}

// actions carries out what the module asks for.
type actions struct{ n *Node }

// Send implements policy.Actions.
func (a actions) Send(id, server string, wait, by time.Duration) {
	n := a.n
	c := n.calls[id]
	if c == nil {
		return
	}
	now := n.loop.Now()
	t := &try{call: c, n: len(c.tries), pool: n.pools[server], at: now, began: now}
	c.tries = append(c.tries, t)
	c.open++
	if t.pool == nil { // never listed here: nothing can have been sent
		t.pool = &pool{node: n, id: server, banned: true}
	}
	left := c.end - now
	if wait > 0 {
		left = min(left, wait)
	}
	x := c.client
	// Guards against an attempt for a client that has gone, whose end stands in the system behind what had this one begin: an
	// answer that gave it room, a time-out, another that was to fetch for it.
	gone := x == nil || x.conn.PeerClosed()
	why := n.maySend(t, left, gone)
	if why == safety.Allowed && left <= 0 {
		why = safety.DeadlineExceeded
	}
	if why != safety.Allowed {
		if gone && x != nil {
			n.loop.Defer(x.away)
		}
		n.refuseSend(t, why)
		return
	}
	n.noteAttempt(attemptSent, t, 0, 0)
	if c.upload == nil || c.upload.whole {
		t.timer = n.loop.After(left, func() { t.pool.timeout(t) })
	}
	t.pool.send(t, left)
	if by > 0 && !t.done {
		t.late = n.loop.After(by-n.loop.Now(), func() { t.pool.expire(t) })
	}
}

// Refuse implements policy.Actions.
func (a actions) Refuse(id string, comeBack time.Duration) {
	if c := a.n.calls[id]; c != nil && c.client != nil {
		a.n.reply(c, meta.AppendBusy(nil, comeBack.Milliseconds()), refused)
	}
}

// Fail implements policy.Actions.
func (a actions) Fail(id string) {
	if c := a.n.calls[id]; c != nil && c.client != nil {
		a.n.reply(c, []byte(failure), failed)
	}
}

// Cancel implements policy.Actions.
func (a actions) Cancel(id string, k int) {
	c := a.n.calls[id]
	if c == nil || k < 0 || k >= len(c.tries) || c.tries[k].done {
		return
	}
	if b := c.body; b != nil && b.try == c.tries[k] {
		return // its value has begun to flow
	}
	t := c.tries[k]
	a.n.loop.Defer(func() { t.pool.cancel(t) })
}

// Timer implements policy.Actions.
func (a actions) Timer(after time.Duration, token string) {
	n := a.n
	n.loop.After(after, func() { n.guard("timer", func() { n.policy.Timer(n.loop.Now(), token) }) })
}

// Subscribe implements policy.Actions. The list is followed in any case, see decide/roster.
func (a actions) Subscribe() {}

// Probe implements policy.Actions; the protocol has no probes, and New says so where settings call for them.
func (a actions) Probe(string) {}

// Log implements policy.Actions.
func (a actions) Log(text string) { log.Printf("event=policy text=%q", text) }

// Leave begins a planned end: for a while all goes on, then each connection closes with its next answer or once it
// has rested, and after the last the loop stops.
func (n *Node) Leave() {
	if n.leaving {
		return
	}
	n.leaving = true
	var longest time.Duration
	for _, d := range n.cfg.Transport.Deadlines {
		longest = max(longest, d)
	}
	// Guards against requests whose clients would wait for longer than the process lives (launceston-platform,
	// roll+term+brink, reads of 5 s: unanswered at the kill 3.7 s after SIGTERM).
	n.lastAnswer = n.loop.Now() + min(longest, mostGrace) + killAfter
	n.hurry()
	n.note(nodeLeaving, nil)
	succeeded := n.succession.hasSuccessor()
	log.Printf("event=leaving open=%d clients=%d succeeded=%t", len(n.calls), len(n.clients.all), succeeded)
	if n.announcer != nil { // whoever follows the nodes knows before the listener closes
		n.announcer.Stop(func() {})
	}
	n.clients.drain(succeeded)
	n.forwarder.Close()
	n.succession.update()
}

// Reload takes the configuration as it is after a change of its file: where discovery is, and the limits. All else
// stays as at the start, the list held included. It reports whether the new one is in force; a bad one is not.
func (n *Node) Reload(cfg Config, err error) bool {
	if err != nil {
		n.count.reloadsFailed++
		log.Printf("event=reload_failed why=%q", err)
		return false
	}
	n.count.reloads++
	log.Printf("event=reload list=%s memory_mb=%d sockets=%d", cfg.Registry.Endpoints, cfg.MemoryMB, cfg.Sockets)
	if cfg.Listen != n.cfg.Listen {
		log.Printf("event=reload_ignored listen=%s why=%q", cfg.Listen, "the address is given up only at the end")
	}
	n.cfg.MemoryMB, n.cfg.Sockets = cfg.MemoryMB, cfg.Sockets
	n.updateMemoryLimit()
	if cfg.Planners != nil {
		n.forwarder.Reload(cfg.Planners.TLS)
	}
	if !cfg.Registry.Same(&n.cfg.Registry) {
		n.cfg.Registry = cfg.Registry
		n.registry.Move(n.cfg.registryConfig())
	}
	return true
}

// Counters writes the counters to the log.
func (n *Node) Counters() { log.Print(n.count.line(n)) }
