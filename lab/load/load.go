// Package load simulates many clients in one process, as an open-loop load: each arrival is sent at its planned time,
// whatever became of the earlier ones, and its times count from then, so that a stalled node cannot hide the requests
// that it delays. The load measures its own lateness, because the results of a run in which it was late are not valid.
package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/standin"
	"lapisshelf/lab/world"
)

const (
	dialTimeout        = time.Second            // how long a client waits for a connection
	listenAfterTimeout = 250 * time.Millisecond // how long a client still reads after its timeout, to detect late answers
	downNoticeDelay    = 2 * time.Second        // after which no try goes to a node that refuses connections
	maxIdleConns       = 4096                   // per node

	maxAnswerValue = 256 << 20 // bytes

	minRetryTime = 20 * time.Millisecond // with less remaining time, clients don't retry
)

// Options configure the clients.
type Options struct {
	Log        *seen.Log
	Seed       uint64
	Spec       world.ClientSpec
	Classes    []world.Class
	Tenants    []world.Tenant
	NodeAddrs  []string
	Generation func(node int) int // number of a node's running process, from 0
	Values     int                // memory limit for values of writes, in bytes; 0: none
}

// Load sends the requests of all clients of a run.
type Load struct {
	opt      Options
	pools    []*connPool
	inFlight sync.WaitGroup
	sent     atomic.Int64

	mu         sync.Mutex
	sendDelays *hdrhistogram.Histogram // delays of sends behind the plan, in microseconds

	rude, pipelining clientGroup
	pipelined        atomic.Int64 // requests of pipelining clients
}

// connPool holds the client connections to one node.
type connPool struct {
	load        *Load
	node        int
	addr        string
	mu          sync.Mutex
	idle        []*conn
	conns       map[*conn]bool
	downSince   time.Duration // since when the node refuses connections; 0: it accepts them
	unavailable bool          // the node takes no new clients: it gets no new connections
}

// New returns a load with a connection pool for each node.
func New(opt Options) *Load {
	l := &Load{opt: opt, sendDelays: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	for i, addr := range opt.NodeAddrs {
		l.pools = append(l.pools, &connPool{load: l, node: i, addr: addr, conns: map[*conn]bool{}})
	}
	l.rude.run, l.pipelining.run = l.misbehave, l.pipeline
	return l
}

// SendDelays returns how late first tries were sent behind their plan, in microseconds.
func (l *Load) SendDelays() *hdrhistogram.Histogram { return l.sendDelays }

// TriesSent returns the number of tries so far.
func (l *Load) TriesSent() int64 { return l.sent.Load() }

// SetRudeClients sets the number of clients that send invalid data.
func (l *Load) SetRudeClients(count int) { l.rude.setCount(count) }

// SetPipeliningClients sets the number of clients that send a read of a long value and others behind it at once.
func (l *Load) SetPipeliningClients(count int) { l.pipelining.setCount(count) }

// Run sends the planned arrivals, counted from begin on the log's clock, and waits until each is answered or abandoned.
func (l *Load) Run(ctx context.Context, begin time.Duration, arrivals []world.Arrival) {
	for i := range arrivals {
		a := &arrivals[i]
		due := begin + a.At
		if wait := due - l.opt.Log.Now(); wait > 0 {
			if !sleep(ctx, wait) {
				break
			}
		} else if ctx.Err() != nil {
			break
		}
		l.startFirst(a, due)
	}
	l.inFlight.Wait()
	l.rude.end()
	l.pipelining.end()
	for _, p := range l.pools {
		p.close()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try is a try in flight.
type try struct {
	load        *Load
	arrival     *world.Arrival
	arrivalDue  time.Duration // when the arrival was due
	record      *seen.Try
	request     []byte
	conn        atomic.Pointer[conn]
	giveUpTimer *time.Timer
	leaveTimer  *time.Timer
	ended       bool
}

// startFirst starts the first try of an arrival.
func (l *Load) startFirst(a *world.Arrival, due time.Duration) {
	l.inFlight.Add(1)
	l.startTry(a, due, due, 0, a.Node)
}

// startTry sends try n of an arrival, which is due at the given time.
func (l *Load) startTry(a *world.Arrival, arrivalDue, due time.Duration, n, node int) {
	class := &l.opt.Classes[a.Class]
	now := l.opt.Log.Now()
	until := min(max(now, due)+a.Timeout, arrivalDue+class.Deadline)
	ms := (until - max(now, due)) / time.Millisecond
	if ms < 1 {
		l.inFlight.Done()
		return
	}
	node = l.chooseNode(node)
	t := &seen.Try{ID: a.ID(l.opt.Seed, n), ArrivalNumber: a.N, Number: n, Class: class.Name, Key: a.Key, Idem: a.Idem, Write: class.Write,
		Node: node, Generation: l.opt.Generation(node), DueAt: due, WaitsUntil: until}
	info := "c=" + class.Name
	if a.Tenant >= 0 {
		t.Tenant = l.opt.Tenants[a.Tenant].Name
		info += ",t=" + t.Tenant
	}
	info += ",d=" + strconv.FormatInt(int64(ms), 10)
	if a.Idem != "" {
		info += ",k=" + a.Idem
	}
	if n > 0 && l.opt.Spec.MarksRetry {
		info += ",r=1"
	}
	x := &try{load: l, arrival: a, arrivalDue: arrivalDue, record: t}
	if class.Write {
		value := standin.MakeValue(a.Key, int64(a.N), "write", "client", a.Size)
		t.Value = standin.Digest(value)
		x.request = fmt.Appendf(nil, "ms %s %d O%s P%s\r\n%s\r\n", a.Key, len(value), t.ID, info, value)
	} else {
		x.request = fmt.Appendf(nil, "mg %s v O%s P%s\r\n", a.Key, t.ID, info)
	}
	l.opt.Log.Update(func(r *seen.Record) { r.Tries = append(r.Tries, t) })
	l.sent.Add(1)
	if n == 0 {
		l.mu.Lock()
		l.sendDelays.RecordValue(max(0, int64((now-due)/time.Microsecond)))
		l.mu.Unlock()
	}
	x.giveUpTimer = time.AfterFunc(until+listenAfterTimeout-now, x.giveUp)
	if a.LeaveAfter > 0 && n == 0 {
		x.leaveTimer = time.AfterFunc(due+a.LeaveAfter-now, x.leaveEarly)
	}
	p := l.pools[node]
	if c := p.takeIdle(); c != nil {
		c.send(x)
		return
	}
	go p.dial(x)
}

// chooseNode returns the node that a try is sent to: the given one, or the next one if that has been down for a while
// or takes no new clients.
func (l *Load) chooseNode(node int) int {
	now := l.opt.Log.Now()
	for i := range l.pools {
		p := l.pools[(node+i)%len(l.pools)]
		p.mu.Lock()
		down, away := p.downSince, p.unavailable && len(p.idle) == 0
		p.mu.Unlock()
		if !away && (down == 0 || now-down < downNoticeDelay) {
			return p.node
		}
	}
	return node
}

// takeIdle removes and returns the most recently used idle connection, or nil.
func (p *connPool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c
	}
	return nil
}

// dial opens a connection and sends a try on it.
func (p *connPool) dial(x *try) {
	c, err := net.DialTimeout("tcp", p.addr, min(dialTimeout, max(time.Millisecond, x.record.WaitsUntil-p.load.opt.Log.Now())))
	now := p.load.opt.Log.Now()
	p.mu.Lock()
	switch {
	case err == nil:
		p.downSince = 0
	case p.downSince == 0:
		p.downSince = now
		go p.awaitReady()
	}
	p.mu.Unlock()
	if err != nil {
		x.finish(func(t *seen.Try) { t.ConnectFailed = true })
		return
	}
	k := &conn{pool: p, netConn: c, reader: bufio.NewReaderSize(c, 8<<10)}
	p.mu.Lock()
	p.conns[k] = true
	p.mu.Unlock()
	k.send(x)
	k.readAnswers()
}

// awaitReady polls a node that refused connections until it is back.
func (p *connPool) awaitReady() {
	for range 1200 {
		time.Sleep(50 * time.Millisecond)
		p.mu.Lock()
		up := p.downSince == 0
		p.mu.Unlock()
		if up || isReady(p.addr) {
			p.mu.Lock()
			p.downSince = 0
			p.mu.Unlock()
			return
		}
	}
}

// isReady reports whether a node answers mn with MN.
func isReady(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(300 * time.Millisecond))
	io.WriteString(c, "mn\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "MN\r\n"
}

// SetUnavailable sets whether a node takes no new clients. Existing connections stay in use.
func (l *Load) SetUnavailable(node int, on bool) {
	p := l.pools[node]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable = on
}

// IdleConns returns the number of open connections to a node without a request in flight.
func (l *Load) IdleConns(node int) int {
	p := l.pools[node]
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Ready reports whether the node at an address answers mn with MN.
func Ready(addr string) bool { return isReady(addr) }

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.netConn.Close()
	}
}

// conn is a client connection. It carries one request at a time.
type conn struct {
	pool    *connPool
	netConn net.Conn
	reader  *bufio.Reader

	mu            sync.Mutex
	current       *try
	previous      *try // the try answered last
	answeredCount int  // requests answered on this connection
	closed        bool
}

// send writes a try's request.
func (c *conn) send(x *try) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		x.resend()
		return
	}
	c.current = x
	x.conn.Store(c)
	c.mu.Unlock()
	if x.hasEnded() { // its client has left meanwhile, and leaveEarly may not have seen the connection
		x.closeConn()
		return
	}
	c.netConn.SetWriteDeadline(time.Now().Add(3 * time.Second))
	_, err := c.netConn.Write(x.request)
	now := x.load.opt.Log.Now()
	x.load.opt.Log.Update(func(*seen.Record) {
		if err == nil {
			x.record.SentAt = now
		}
	})
	if err != nil {
		c.closeFailed()
	}
}

// readAnswers reads answers until the connection ends.
func (c *conn) readAnswers() {
	for {
		line, value, err := readAnswer(c.reader, c.noteLongValue)
		if err != nil {
			c.ended(line)
			return
		}
		now := c.pool.load.opt.Log.Now()
		c.mu.Lock()
		x := c.current
		if x == nil { // data after the complete answer
			previous := c.previous
			c.mu.Unlock()
			if previous != nil {
				previous.recordExtra(line)
			}
			c.netConn.Close()
			continue
		}
		c.current, c.previous = nil, x
		c.answeredCount++
		c.mu.Unlock()
		c.pool.putIdle(c)
		x.finish(func(t *seen.Try) { recordAnswer(t, now, line, value) })
	}
}

// noteLongValue records that a long value answers the current try.
func (c *conn) noteLongValue() {
	c.mu.Lock()
	x := c.current
	c.mu.Unlock()
	if x == nil {
		return
	}
	now := c.pool.load.opt.Log.Now()
	c.pool.load.opt.Log.Update(func(*seen.Record) {
		if !x.ended {
			x.record.LongValueAt = now
		}
	})
}

// putIdle returns a connection to the pool.
func (p *connPool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) < maxIdleConns {
		p.idle = append(p.idle, c)
	}
}

// closeFailed closes the connection after a failed write.
func (c *conn) closeFailed() { c.netConn.Close() }

// ended handles the end of the connection; part is the start of an incomplete answer, if any.
func (c *conn) ended(part string) {
	c.netConn.Close()
	p := c.pool
	p.mu.Lock()
	delete(p.conns, c)
	for i, x := range p.idle {
		if x == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	c.mu.Lock()
	c.closed = true
	x, used := c.current, c.answeredCount
	c.current = nil
	c.mu.Unlock()
	if x == nil {
		return
	}
	// A node may close an idle connection. A request that crosses the close is sent once more on a new connection.
	if part == "" && used > 0 && !x.record.Resent {
		x.resend()
		return
	}
	now := p.load.opt.Log.Now()
	x.finish(func(t *seen.Try) {
		t.ConnEndedAt, t.FirstOnConn, t.Truncated, t.AnswerLine = now, used == 0, part != "", part
	})
}

// resend sends an unanswered request once more, on a new connection.
func (x *try) resend() {
	ended := false
	x.load.opt.Log.Update(func(*seen.Record) {
		if ended = x.ended; !ended {
			x.record.Resent, x.record.SentAt = true, 0
		}
	})
	if ended {
		return
	}
	go x.load.pools[x.record.Node].dial(x)
}

// hasEnded reports whether the try has ended.
func (x *try) hasEnded() (ended bool) {
	x.load.opt.Log.Update(func(*seen.Record) { ended = x.ended })
	return ended
}

// recordExtra records data received after the complete answer.
func (x *try) recordExtra(line string) {
	x.load.opt.Log.Update(func(*seen.Record) { x.record.ExtraLine = line })
}

// recordAnswer records a complete answer.
func recordAnswer(t *seen.Try, now time.Duration, line string, value []byte) {
	words := strings.Fields(line)
	t.AnsweredAt, t.AnswerLine, t.Answer = now, line, seen.Failed
	id := ""
	for _, w := range words[min(1, len(words)):] {
		switch w[0] {
		case 'O':
			id = w[1:]
		case 'c':
			t.Receipt = w[1:]
		}
	}
	switch {
	case len(words) == 0:
	case words[0] == "VA":
		t.Answer = seen.Served
		key, version, request, server, intact := standin.ParseValue(value)
		t.Server, t.Version = server, version
		t.Correct = intact && id == t.ID && request == t.ID && key == t.Key
	case words[0] == "HD":
		t.Answer = seen.Served
		if id != t.ID {
			t.Receipt = ""
		}
	case len(words) >= 2 && words[0] == "SERVER_ERROR" && words[1] == "busy":
		t.Answer = seen.Refused
		if len(words) > 2 {
			ms, _ := strconv.Atoi(words[2])
			t.RetryAfter = time.Duration(ms) * time.Millisecond
		}
	}
}

// giveUp ends the try at its timeout.
func (x *try) giveUp() {
	x.finish(func(*seen.Try) {})
	x.closeConn()
}

// leaveEarly ends the try when its client disconnects before the timeout.
func (x *try) leaveEarly() {
	now := x.load.opt.Log.Now()
	x.finish(func(t *seen.Try) { t.LeftAt = now })
	x.closeConn()
}

// closeConn closes the connection that the try is in flight on.
func (x *try) closeConn() {
	c := x.conn.Load()
	if c == nil {
		return
	}
	c.mu.Lock()
	mine := c.current == x
	if mine { // an answer that still arrives belongs to no try
		c.current, c.previous = nil, nil
		c.closed = true
	}
	c.mu.Unlock()
	if mine {
		c.netConn.Close()
	}
}

// finish ends a try, once, and schedules the client's next one if there is to be one.
func (x *try) finish(change func(t *seen.Try)) {
	l := x.load
	ended, again := false, false
	var wait time.Duration
	l.opt.Log.Update(func(*seen.Record) {
		if x.ended {
			return
		}
		x.ended, ended = true, true
		change(x.record)
		again, wait = x.retryAfter()
	})
	if !ended {
		return
	}
	x.giveUpTimer.Stop()
	x.maybeRepeat()
	if x.leaveTimer != nil {
		x.leaveTimer.Stop()
	}
	if !again {
		l.inFlight.Done()
		return
	}
	node := x.record.Node
	if x.record.ConnectFailed {
		node = (node + 1) % len(l.pools)
	}
	due := l.opt.Log.Now() + wait
	time.AfterFunc(wait, func() { l.startTry(x.arrival, x.arrivalDue, due, x.record.Number+1, node) })
}

// maxRepeatDelay is how long after its answer the id of a write comes again at most.
const maxRepeatDelay = 1500 * time.Millisecond

// maybeRepeat sends an answered write that must not run twice once more, under the same id, at whichever process of its node takes it. What is
// answered does not matter; the servers record whether it runs again.
func (x *try) maybeRepeat() {
	l, t := x.load, x.record
	if t.Answer != seen.Served || !t.Write || l.opt.Classes[x.arrival.Class].Effect == world.Safe {
		return
	}
	rng := world.RandomStream(l.opt.Seed, "repeat", t.ID)
	if rng.Float64() >= l.opt.Spec.RepeatShare {
		return
	}
	addr := l.pools[t.Node].addr
	time.AfterFunc(time.Duration(rng.Int64N(int64(maxRepeatDelay))), func() {
		conn, err := net.DialTimeout("tcp", addr, dialTimeout)
		if err != nil {
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(dialTimeout))
		conn.Write(x.request)
		bufio.NewReader(conn).ReadString('\n')
	})
}

// retryAfter reports whether the client tries again, and after which delay. Safe requests are retried after any
// failure, keyed ones while all servers drop repeats within the window, and others only if the last try provably never
// ran: its connection could not be opened, and it was not sent on an earlier one, whose node may have read it.
func (x *try) retryAfter() (bool, time.Duration) {
	t, class := x.record, &x.load.opt.Classes[x.arrival.Class]
	if t.Answer == seen.Served || t.LeftAt > 0 || t.Number+1 >= x.arrival.MaxTries {
		return false, 0
	}
	wait := max(x.load.opt.Spec.RetryDelay, t.RetryAfter)
	now := x.load.opt.Log.Now()
	repeatable := t.Answer == seen.Refused || t.ConnectFailed && !t.Resent
	switch class.Effect {
	case world.Keyed:
		repeatable = repeatable || class.Scope == world.ScopeAll && now+wait < x.arrivalDue+class.Window
	case world.Safe:
		repeatable = true
	}
	return repeatable && now+wait+minRetryTime < x.arrivalDue+class.Deadline, wait
}
