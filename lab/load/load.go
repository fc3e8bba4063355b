// Package load plays clients: open loop, many at once from one process. Each wish has its time in the plan and is sent
// then, whatever has become of those before it; times are counted from when it was due, so that a node that stalls cannot
// hide what it kept waiting. How late the load itself was is measured, for a run in which it was late says nothing.
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
	listenAfterTimeout = 250 * time.Millisecond // how long after its deadline a client still listens, to see what comes
	downNoticeDelay    = 2 * time.Second        // after which the front deals nothing more to a node that refuses connections
	maxIdleConns       = 4096                   // connections kept for each node

	minRetryTime = 20 * time.Millisecond // with less time than that nobody tries again
)

// Options describe the clients.
type Options struct {
	Log        *seen.Log
	Seed       uint64
	Spec       world.ClientSpec
	Classes    []world.Class
	Tenants    []world.Tenant
	NodeAddrs  []string           // their addresses
	Generation func(node int) int // which process of a node is running
	Values     int                // bytes of memory for values of writes at most; 0: any
}

// Load is the clients of a run.
type Load struct {
	opt      Options
	pools    []*connPool
	inFlight sync.WaitGroup
	sent     atomic.Int64

	mu         sync.Mutex
	sendDelays *hdrhistogram.Histogram // of sends behind their plan, in microseconds

	rude *rudeClients
}

// front is what deals out connections to one node.
type connPool struct {
	load        *Load
	node        int
	addr        string
	mu          sync.Mutex
	idle        []*conn
	conns       map[*conn]bool
	downSince   time.Duration // since when it refuses; 0: it does not
	unavailable bool          // it says that it takes no clients: no new connections are dealt to it
}

// New makes the clients.
func New(opt Options) *Load {
	l := &Load{opt: opt, sendDelays: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	for i, addr := range opt.NodeAddrs {
		l.pools = append(l.pools, &connPool{load: l, node: i, addr: addr, conns: map[*conn]bool{}})
	}
	l.rude = &rudeClients{load: l}
	return l
}

// Late is how late wishes were sent behind their plan, in microseconds.
func (l *Load) SendDelays() *hdrhistogram.Histogram { return l.sendDelays }

// Sent is how many tries have been made so far.
func (l *Load) TriesSent() int64 { return l.sent.Load() }

// Rude sets how many clients send nonsense.
func (l *Load) SetRudeClients(count int) { l.rude.setCount(count) }

// Run sends the plan, which begins at the time given on the log's clock, and waits until all is answered or given up.
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
	done := make(chan struct{})
	go func() {
		l.inFlight.Wait()
		close(done)
	}()
	<-done
	l.rude.setCount(0)
	l.rude.wait.Wait()
	for _, f := range l.pools {
		f.close()
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

// try is one try under way.
type try struct {
	load        *Load
	arrival     *world.Arrival
	arrivalDue  time.Duration // when the wish was due
	record      *seen.Try
	request     []byte
	conn        atomic.Pointer[conn]
	giveUpTimer *time.Timer
	leaveTimer  *time.Timer
	ended       bool
}

// first sends a wish's first try.
func (l *Load) startFirst(a *world.Arrival, due time.Duration) {
	l.inFlight.Add(1)
	l.startTry(a, due, due, 0, a.Node)
}

// begin makes a try that is due at a time.
func (l *Load) startTry(a *world.Arrival, wish, due time.Duration, n, node int) {
	class := &l.opt.Classes[a.Class]
	now := l.opt.Log.Now()
	until := min(max(now, due)+a.Timeout, wish+class.Deadline)
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
	x := &try{load: l, arrival: a, arrivalDue: wish, record: t}
	if class.Write {
		value := standin.Value(a.Key, int64(a.N), "write", "client", a.Size)
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
	f := l.pools[node]
	if c := f.takeIdle(); c != nil {
		c.send(x)
		return
	}
	go f.dial(x)
}

// deal is the node that the front sends a client to: another where the wanted one has refused for a while.
func (l *Load) chooseNode(node int) int {
	now := l.opt.Log.Now()
	for i := range l.pools {
		f := l.pools[(node+i)%len(l.pools)]
		f.mu.Lock()
		down, away := f.downSince, f.unavailable && len(f.idle) == 0
		f.mu.Unlock()
		if !away && (down == 0 || now-down < downNoticeDelay) {
			return f.node
		}
	}
	return node
}

// take gives an idle connection, the one used last.
func (f *connPool) takeIdle() *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.idle); n > 0 {
		c := f.idle[n-1]
		f.idle = f.idle[:n-1]
		return c
	}
	return nil
}

// dial opens a connection and sends a try on it.
func (f *connPool) dial(x *try) {
	c, err := net.DialTimeout("tcp", f.addr, min(dialTimeout, max(time.Millisecond, x.record.WaitsUntil-f.load.opt.Log.Now())))
	now := f.load.opt.Log.Now()
	f.mu.Lock()
	switch {
	case err == nil:
		f.downSince = 0
	case f.downSince == 0:
		f.downSince = now
		go f.awaitReady()
	}
	f.mu.Unlock()
	if err != nil {
		x.finish(func(t *seen.Try) { t.ConnectFailed = true })
		return
	}
	k := &conn{pool: f, netConn: c, reader: bufio.NewReaderSize(c, 8<<10)}
	f.mu.Lock()
	f.conns[k] = true
	f.mu.Unlock()
	k.send(x)
	k.readAnswers()
}

// ask looks whether a node that refused connections is back.
func (f *connPool) awaitReady() {
	for range 1200 {
		time.Sleep(50 * time.Millisecond)
		f.mu.Lock()
		up := f.downSince == 0
		f.mu.Unlock()
		if up || isReady(f.addr) {
			f.mu.Lock()
			f.downSince = 0
			f.mu.Unlock()
			return
		}
	}
}

// ready reports whether a node answers mn with MN.
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

// Away says that a node takes no new clients, or takes them again. Those that it has go on using their connections.
func (l *Load) SetUnavailable(node int, on bool) {
	f := l.pools[node]
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = on
}

// Idle is how many connections a node holds with nothing open on them, as its clients see it.
func (l *Load) IdleConns(node int) int {
	f := l.pools[node]
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.idle)
}

// Ready reports whether the node at an address answers mn with MN.
func Ready(addr string) bool { return isReady(addr) }

func (f *connPool) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.netConn.Close()
	}
}

// conn is a client's connection: one request at a time.
type conn struct {
	pool    *connPool
	netConn net.Conn
	reader  *bufio.Reader

	mu            sync.Mutex
	current       *try
	previous      *try // whose answer came last
	answeredCount int  // requests that were answered on it
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

// read takes answers for the connection's life.
func (c *conn) readAnswers() {
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.ended(line)
			return
		}
		line = strings.TrimRight(line, "\r\n")
		var value []byte
		words := strings.Fields(line)
		if len(words) > 1 && words[0] == "VA" {
			n, bad := strconv.Atoi(words[1])
			if bad != nil || n < 0 || n > 256<<20 {
				c.ended(line)
				return
			}
			value = make([]byte, n+2)
			if _, err := io.ReadFull(c.reader, value); err != nil {
				c.ended(line)
				return
			}
			value = value[:n]
		}
		now := c.pool.load.opt.Log.Now()
		c.mu.Lock()
		x := c.current
		if x == nil { // beyond the one answer
			last := c.previous
			c.mu.Unlock()
			if last != nil {
				last.recordExtra(line)
			}
			c.netConn.Close()
			continue
		}
		c.current, c.previous = nil, x
		c.answeredCount++
		c.mu.Unlock()
		c.pool.putIdle(c)
		x.handleAnswer(now, line, words, value)
	}
}

// put keeps a connection for the next try.
func (f *connPool) putIdle(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.idle) < maxIdleConns {
		f.idle = append(f.idle, c)
	}
}

// lost gives the connection up after a write that failed.
func (c *conn) closeFailed() { c.netConn.Close() }

// end notes that the connection is over, with a part of an answer or none.
func (c *conn) ended(part string) {
	c.netConn.Close()
	f := c.pool
	f.mu.Lock()
	delete(f.conns, c)
	for i, x := range f.idle {
		if x == c {
			f.idle = append(f.idle[:i], f.idle[i+1:]...)
			break
		}
	}
	f.mu.Unlock()
	c.mu.Lock()
	c.closed = true
	x, used := c.current, c.answeredCount
	c.current = nil
	c.mu.Unlock()
	if x == nil {
		return
	}
	// A node may close a connection between requests; a request that crosses that goes out once more on a new one.
	if part == "" && used > 0 && !x.record.Resent {
		x.resend()
		return
	}
	now := f.load.opt.Log.Now()
	x.finish(func(t *seen.Try) { t.ConnEndedAt, t.Truncated, t.AnswerLine = now, part != "", part })
}

// again sends a request that nobody has read once more, on a connection of its own.
func (x *try) resend() {
	over := false
	x.load.opt.Log.Update(func(*seen.Record) {
		if over = x.ended; !over {
			x.record.Resent, x.record.SentAt = true, 0
		}
	})
	if over {
		return
	}
	go x.load.pools[x.record.Node].dial(x)
}

// extra notes what came beyond the answer.
func (x *try) recordExtra(line string) {
	x.load.opt.Log.Update(func(*seen.Record) { x.record.ExtraLine = line })
}

// answered takes a whole answer.
func (x *try) handleAnswer(now time.Duration, line string, words []string, value []byte) {
	x.finish(func(t *seen.Try) {
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
			key, version, request, server, right := standin.ReadValue(value)
			t.Server, t.Version = server, version
			t.Correct = right && id == t.ID && request == t.ID && key == t.Key
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
	})
}

// giveUp is the client that has waited long enough.
func (x *try) giveUp() {
	x.finish(func(*seen.Try) {})
	x.closeConn()
}

// goAway is the client that leaves before its time is up.
func (x *try) leaveEarly() {
	now := x.load.opt.Log.Now()
	x.finish(func(t *seen.Try) { t.LeftAt = now })
	x.closeConn()
}

// hangUp closes the connection that the try is out on.
func (x *try) closeConn() {
	c := x.conn.Load()
	if c == nil {
		return
	}
	c.mu.Lock()
	mine := c.current == x
	if mine { // its answer may be on the way still: it is nobody's
		c.current, c.previous = nil, nil
		c.closed = true
	}
	c.mu.Unlock()
	if mine {
		c.netConn.Close()
	}
}

// end ends a try, once, and begins the client's next where there is to be one.
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

// next says whether the client tries again, and after how long: safe requests after any failure, keyed ones whose repeats
// all servers drop within their window, others only if the last try provably never ran.
func (x *try) retryAfter() (bool, time.Duration) {
	t, class := x.record, &x.load.opt.Classes[x.arrival.Class]
	if t.Answer == seen.Served || t.LeftAt > 0 || t.Number+1 >= x.arrival.MaxTries {
		return false, 0
	}
	wait := max(x.load.opt.Spec.RetryDelay, t.RetryAfter)
	now := x.load.opt.Log.Now()
	harmless := t.Answer == seen.Refused || t.ConnectFailed
	switch class.Effect {
	case world.Keyed:
		harmless = harmless || class.Scope == world.ScopeAll && now+wait < x.arrivalDue+class.Window
	case world.Safe:
		harmless = true
	}
	return harmless && now+wait+minRetryTime < x.arrivalDue+class.Deadline, wait
}
