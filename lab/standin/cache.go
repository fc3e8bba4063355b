package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

const (
	maxLineBytes  = 8 << 10   // bytes of a command's line
	maxValueBytes = 128 << 20 // bytes of a write's value
	writeTimeout  = 10 * time.Second
)

// Script returns the answer of a cache to a command, given its line and value. "" sends nothing, and CloseConn closes the
// connection.
type Script func(line string, value []byte) string

// CloseConn is a script's answer that closes the connection.
const CloseConn = "\x00close"

// CacheOptions configures a cache server.
type CacheOptions struct {
	ID, Name        string
	Addr            string           // to listen on; port 0 picks a free one
	Spec            *world.CacheSpec // nil with a script
	Script          Script
	NewScript       func() Script // called for each connection, in place of Script
	Cold            bool          // its first process starts cold
	ConnConcurrency int           // commands of one connection that run concurrently; 0: one
	MaxConns        int           // limit of open connections; 0: none
	ConnIdle        time.Duration // timeout of idle connections; 0: none
	Way             time.Duration // that bytes take between a node and the cache, one way
	Window          int           // bytes of the receive window, without a way; 0: the system's
	ReportsHits     bool          // answers say whether they are a hit or a miss
	ReportsLoad     bool          // answers carry a load report
	// OnMiss, unless it is nil, is called for each read that misses; store puts the value into the cache.
	OnMiss func(request string, store func(version, size int64))
	// AskOrigin forwards a request to the origin, in through mode; answer may be called from any goroutine.
	AskOrigin func(a world.OriginRequest, request string, class string, answer func(world.Completion))
}

// Cache is a cache server on a socket.
type Cache struct {
	*Common
	opt      CacheOptions
	listener *faultListener

	mu         sync.Mutex
	id         string
	model      *world.Cache
	timer      *time.Timer
	dueAt      time.Duration
	lastToken  uint64
	jobs       map[uint64]*command
	conns      map[*cacheConn]bool
	rng        *rand.Rand
	silent     bool
	hanging    bool
	busy       bool
	corruption map[string]float64 // fraction of the answers, by kind of corruption
	commands   []string           // command lines received, with a script
	connCount  int                // connections ever accepted
	stopped    bool
	fellOver   bool // recorded in the log
}

var lastConnID atomic.Uint64

// command is a command on its connection. Answers are sent in the order of the commands.
type command struct {
	conn       *cacheConn
	attempt    *seen.Attempt
	class      *world.Class
	answer     []byte
	answerKind seen.ServerAnswer
	valueSize  int // bytes
	started    bool
	ready      bool
	closesConn bool // the connection is closed after the answer
	resetsConn bool // the connection is reset after the answer
	rest       answerRest
}

type cacheConn struct {
	cache       *Cache
	conn        net.Conn
	id          uint64
	mu          sync.Mutex
	queue       []*command
	received    int // commands of which a byte has been received
	answerReady chan struct{}
	closed      bool
	script      Script
}

// NewCache starts a cache server.
func NewCache(common *Common, opt CacheOptions) (*Cache, error) {
	c := &Cache{Common: common, opt: opt, id: opt.ID, jobs: map[uint64]*command{}, conns: map[*cacheConn]bool{},
		rng: world.RandomStream(common.Seed, "standin", opt.Name), corruption: map[string]float64{}}
	c.timer = time.AfterFunc(time.Hour, c.onTimer)
	if opt.Spec != nil {
		c.model = world.NewCache(*opt.Spec, common.Seed)
		if now := c.Log.Now(); opt.Cold {
			c.model.Start(now, true)
		}
	}
	var err error
	if c.listener, err = listenFaulty(opt.Addr, network{opt.Way, opt.Window}, c.serve); err != nil {
		return nil, err
	}
	c.recordStart(opt.Cold)
	return c, nil
}

func (c *Cache) recordStart(cold bool) {
	if c.opt.Spec == nil {
		return
	}
	s := seen.ServerStart{Server: c.id, Name: c.opt.Name, Cold: cold, Capacity: float64(c.opt.Spec.Cores) * c.opt.Spec.Speed}
	if cold {
		s.At = c.Log.Now()
	}
	c.Log.Update(func(r *seen.Record) { r.ServerStarts = append(r.ServerStarts, s) })
}

// Addr returns the address on which the cache listens.
func (c *Cache) Addr() string { return c.listener.addr }

// ID returns the ID of the server in the server list.
func (c *Cache) ID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.id
}

// Name returns the name that the lab uses for the server; it stays when the ID changes.
func (c *Cache) Name() string { return c.opt.Name }

// Commands returns the lines of all commands received, if a script answers them.
func (c *Cache) Commands() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.commands...)
}

// ConnCounts returns how many connections are open and how many were ever accepted.
func (c *Cache) ConnCounts() (open, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns), c.connCount
}

// UpdateModel runs f on the model, if there is one, and handles the results.
func (c *Cache) UpdateModel(f func(now time.Duration, m *world.Cache)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.model != nil {
		f(c.Log.Now(), c.model)
		c.advance()
	}
}

// Kill simulates the end of the process: its connections are reset and new ones refused.
func (c *Cache) Kill() {
	c.listener.setRefusing(true)
	c.mu.Lock()
	if c.model != nil {
		c.model.Stop(c.Log.Now())
	}
	c.jobs = map[uint64]*command{}
	conns := c.conns
	c.conns = map[*cacheConn]bool{}
	c.mu.Unlock()
	for k := range conns {
		resetConn(k.conn)
	}
}

// Restart simulates a new process at the same address, with a new ID unless id is empty.
func (c *Cache) Restart(id string, cold bool) error {
	c.mu.Lock()
	if id != "" {
		c.id = id
	}
	if c.model != nil {
		c.model.Start(c.Log.Now(), cold)
	}
	c.silent, c.hanging, c.busy, c.fellOver = false, false, false, false
	c.corruption = map[string]float64{}
	c.mu.Unlock()
	c.recordStart(cold)
	return c.listener.setRefusing(false)
}

// SetReadRate limits how many bytes a second are read of each connection, if there is a window; 0: no limit. One a second: nothing is
// read.
func (c *Cache) SetReadRate(rate float64) { c.listener.pace.set(rate) }

// RefuseConns refuses new connections, or accepts them again.
func (c *Cache) RefuseConns(on bool) error { return c.listener.setRefusing(on) }

// SetSilent simulates a machine that is cut off: connections stay open without answers and new ones are never established.
// When the silence ends, the connections open then are reset.
func (c *Cache) SetSilent(on bool) {
	c.mu.Lock()
	wasSilent := c.silent
	c.silent = on
	conns := make([]*cacheConn, 0, len(c.conns))
	for k := range c.conns {
		conns = append(conns, k)
	}
	if on {
		c.Log.Update(func(*seen.Record) {
			for _, k := range conns {
				k.mu.Lock()
				for _, s := range k.queue {
					s.attempt.ConnStateUnknown = true
				}
				k.mu.Unlock()
			}
		})
	}
	c.mu.Unlock()
	c.listener.setSilent(on)
	if wasSilent && !on {
		for _, k := range conns {
			resetConn(k.conn)
		}
	}
}

// SetHanging makes the cache accept all commands and answer none.
func (c *Cache) SetHanging(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hanging = on
}

// SetBusy makes the cache answer all commands with busy.
func (c *Cache) SetBusy(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = on
}

// CorruptAnswers corrupts a fraction of the answers: "reset" resets the connection within the answer, "garble" alters the
// answer, "surplus" sends more than one, "late_copy" sends an answer once more a little later, and "rest" pauses behind its first bytes.
func (c *Cache) CorruptAnswers(kind string, fraction float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.corruption[kind] = fraction
}

// CloseConns closes all open connections.
func (c *Cache) CloseConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.conns {
		k.conn.Close()
	}
}

// Close ends the stand-in and releases its resources.
func (c *Cache) Close() {
	c.mu.Lock()
	c.stopped = true
	c.timer.Stop()
	conns := c.conns
	c.conns = map[*cacheConn]bool{}
	c.mu.Unlock()
	c.listener.close()
	for k := range conns {
		resetConn(k.conn)
	}
}

// onTimer advances the model when its next event is due.
func (c *Cache) onTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	if c.dueAt > 0 {
		c.recordLateness(c.Log.Now() - c.dueAt)
	}
	c.advance()
}

// advance advances the model to the current time, handles the results and sets the timer for the next event. It needs the
// lock.
func (c *Cache) advance() {
	now := c.Log.Now()
	completions, requests := c.model.Advance(now)
	for _, d := range completions {
		if s := c.jobs[d.Token]; s != nil {
			delete(c.jobs, d.Token)
			c.answerJob(s, d)
		}
	}
	for _, a := range requests {
		s := c.jobs[a.Token]
		if s == nil || c.opt.AskOrigin == nil {
			continue
		}
		model := c.model
		go c.opt.AskOrigin(a, s.attempt.Request, s.attempt.Class, func(d world.Completion) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.model == model && !c.stopped {
				model.OriginAnswered(c.Log.Now(), a.Token, d)
				c.advance()
			}
		})
	}
	if c.model.FellOver() {
		c.fallOver(now)
	}
	at, ok := c.model.Next()
	if c.dueAt = at; !ok {
		c.dueAt = 0
		at = now + time.Hour
	}
	if !c.stopped {
		c.timer.Reset(max(0, at-now))
	}
}

// fallOver ends a cold process that failed under overload. It stays down until it is restarted.
func (c *Cache) fallOver(now time.Duration) {
	if c.fellOver {
		return
	}
	c.fellOver = true
	id := c.id
	c.Log.Update(func(r *seen.Record) {
		r.FallOvers = append(r.FallOvers, seen.Event{At: now, Text: id})
		r.Events = append(r.Events, seen.Event{At: now, Text: c.opt.Name + " falls over"})
	})
	go c.Kill()
}

// answerJob sets the answer to a command whose job has ended.
func (c *Cache) answerJob(s *command, d world.Completion) {
	t := s.attempt
	trailer := "\r\n"
	if c.opt.ReportsLoad {
		r := c.model.LoadReport(c.Log.Now())
		trailer = fmt.Sprintf(" Lutil=%g,queue=%d\r\n", r.Utilization, r.Queue)
	}
	hit := ""
	if c.opt.ReportsHits {
		hit = " h0"
		if d.Outcome == world.Hit {
			hit = " h1"
		} else if d.Outcome == world.Fetching {
			hit = " h0 Z"
		}
	}
	switch d.Outcome {
	case world.Hit, world.Fetched:
		v := MakeValue(t.Key, d.Version, t.Request, t.Server, world.SizeOf(c.Seed, s.class, t.Key))
		t.Version = d.Version
		s.setAnswer(fmt.Appendf(nil, "VA %d O%s%s%s%s\r\n", len(v), t.Request, hit, trailer, v), seen.Value)
	case world.Stored:
		t.Receipt = d.Receipt
		s.setAnswer(fmt.Appendf(nil, "HD O%s c%s%s", t.Request, d.Receipt, trailer), seen.Receipt)
	case world.Failed:
		s.setAnswer(fmt.Appendf(nil, "SERVER_ERROR failed%s%s", hit, trailer), seen.Error)
	default:
		if c.opt.OnMiss != nil && !t.Write {
			key, model := t.Key, c.model
			c.opt.OnMiss(t.Request, func(version, size int64) {
				c.UpdateModel(func(now time.Duration, m *world.Cache) {
					if m == model {
						m.Store(now, key, version, size)
					}
				})
			})
		}
		s.setAnswer(fmt.Appendf(nil, "EN O%s%s%s", t.Request, hit, trailer), seen.NoValue)
	}
}

// setAnswer sets the answer of a command, corrupted where that is configured, and wakes the writer.
func (s *command) setAnswer(answer []byte, kind seen.ServerAnswer) {
	c := s.conn.cache
	p := c.corruption
	switch x := c.rng.Float64(); {
	case len(answer) == 0:
	case x < p["reset"]:
		answer, s.resetsConn, kind = answer[:c.rng.IntN(len(answer))], true, seen.Corrupt
	case x < p["reset"]+p["garble"]:
		answer, s.closesConn = corruptAnswer(c.rng, answer)
		kind = seen.Corrupt
	case x < p["reset"]+p["garble"]+p["surplus"]:
		if c.rng.IntN(2) == 0 {
			answer = append(answer[:len(answer):len(answer)], answer...)
		} else {
			answer = append(answer[:len(answer):len(answer)], "\x00\xff\r\nEN\r\n"...)
		}
	case x < p["reset"]+p["garble"]+p["surplus"]+p["rest"]:
		s.rest = drawRest(c.rng, len(answer))
	}
	k := s.conn
	k.mu.Lock()
	s.answer, s.answerKind, s.ready = answer, kind, true
	k.mu.Unlock()
	select {
	case k.answerReady <- struct{}{}:
	default:
	}
}

// corruptAnswer alters an answer in one of several ways: noise, an overlong line, another request's ID, a wrong length or a
// truncated answer.
func corruptAnswer(rng *rand.Rand, answer []byte) (corrupted []byte, closesConn bool) {
	text := string(answer)
	switch rng.IntN(6) {
	case 0:
		return []byte("\xde\xad\xbe\xef not an answer\r\n"), false
	case 1:
		return []byte(strings.Repeat("x", 20000)), false
	case 2: // the ID of another request
		if i := strings.Index(text, " O"); i >= 0 && i+2 < len(text) {
			return []byte(text[:i+2] + "f" + text[i+2:]), false
		}
		return []byte("VA\r\n"), false
	case 3:
		return []byte("VA 3000000000 Ox\r\n" + strings.Repeat("y", 4096)), false
	case 4: // a length that does not match the value
		if rest, ok := strings.CutPrefix(text, "VA "); ok {
			return []byte("VA 9" + rest), false
		}
		return []byte("HD\r\n"), false
	default:
		return answer[:len(answer)/2], true
	}
}

// serve handles one connection until it ends.
func (c *Cache) serve(conn net.Conn) {
	k := &cacheConn{cache: c, conn: conn, id: lastConnID.Add(1), answerReady: make(chan struct{}, 1), script: c.opt.Script}
	if c.opt.NewScript != nil {
		k.script = c.opt.NewScript()
	}
	c.mu.Lock()
	if c.stopped || c.opt.MaxConns > 0 && len(c.conns) >= c.opt.MaxConns {
		c.mu.Unlock()
		resetConn(conn)
		return
	}
	c.conns[k] = true
	c.connCount++
	if c.model != nil {
		c.model.Connect(c.Log.Now())
		c.advance()
	}
	c.mu.Unlock()
	closed := make(chan struct{})
	go k.write(closed)
	k.read()
	close(closed)
	k.finish()
}

// finish records that the connection has ended, and cancels its commands.
func (k *cacheConn) finish() {
	c := k.cache
	k.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, k)
	k.mu.Lock()
	k.closed = true
	queue := k.queue
	k.queue = nil
	k.mu.Unlock()
	now := c.Log.Now()
	c.Log.Update(func(*seen.Record) {
		for _, s := range queue {
			if s.attempt.AnsweredAt == 0 {
				s.attempt.ClosedAt = now
			}
		}
	})
	if c.model == nil {
		return
	}
	for token, s := range c.jobs {
		if s.conn == k {
			delete(c.jobs, token)
			c.model.Cancel(now, token)
		}
	}
	c.advance()
}

// read reads commands until the connection ends.
func (k *cacheConn) read() {
	c := k.cache
	in := bufio.NewReaderSize(k.conn, 16<<10)
	for {
		if c.opt.ConnIdle > 0 {
			k.conn.SetReadDeadline(time.Now().Add(c.opt.ConnIdle))
		}
		if _, err := in.Peek(1); err != nil {
			if isTimeout(err) && k.queueLength() > 0 {
				continue // commands are in flight, so the connection is not idle
			}
			return
		}
		if c.isSilent() { // the command is not read, and the connection is reset when the silence ends
			for c.isSilent() {
				time.Sleep(5 * time.Millisecond)
			}
			return
		}
		firstByteAt := c.Log.Now() - c.opt.Way - sinceArrival(k.conn) // when it was sent
		k.mu.Lock()
		k.received++
		k.mu.Unlock()
		k.conn.SetReadDeadline(time.Time{})
		line, err := readLine(in)
		if err != nil {
			return
		}
		if !k.readCommand(firstByteAt, line, in) {
			return
		}
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func (c *Cache) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func readLine(in *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return strings.TrimRight(string(line), "\r\n"), nil
		case !errors.Is(err, bufio.ErrBufferFull) || len(line) > maxLineBytes:
			return "", err
		}
	}
}

func (k *cacheConn) queueLength() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.queue)
}

// readCommand reads one command and queues it. It returns false if the connection must end.
func (k *cacheConn) readCommand(firstByteAt time.Duration, line string, in *bufio.Reader) bool {
	c := k.cache
	words := strings.Fields(line)
	s := &command{conn: k, attempt: &seen.Attempt{Server: c.ID(), Conn: k.id, FirstByteAt: firstByteAt}}
	t := s.attempt
	var value []byte
	valid := len(words) >= 3 && (words[0] == "mg" || words[0] == "ms" && len(words) >= 4)
	if len(words) > 0 && (words[0] == "mn" || words[0] == "stats") {
		return k.answerOther(words)
	}
	if valid {
		t.Key, t.Write = words[1], words[0] == "ms"
		info := map[string]string{}
		for _, w := range words[2:] {
			switch w[0] {
			case 'O':
				t.Request = w[1:]
			case 'P':
				info = parseFields(w[1:])
			}
		}
		t.Class, t.Idem = info["c"], info["k"]
		ms, err := strconv.ParseFloat(info["d"], 64)
		t.RemainingTime = time.Duration(ms * float64(time.Millisecond))
		valid = err == nil && t.Request != "" && t.Class != ""
	}
	if valid {
		c.Log.Update(func(r *seen.Record) { r.Attempts = append(r.Attempts, t) })
	}
	if valid && t.Write {
		n, err := strconv.Atoi(words[2])
		if valid = err == nil && n >= 0 && n <= maxValueBytes; valid {
			value = make([]byte, n+2)
			if _, err := io.ReadFull(in, value); err != nil {
				return false
			}
			value = value[:n]
			t.Value = Digest(value)
		}
	}
	s.class = c.Classes[t.Class]
	if k.script == nil && (!valid || s.class == nil) {
		c.Log.Update(func(r *seen.Record) {
			r.ProtocolErrors = append(r.ProtocolErrors, seen.Event{At: firstByteAt, Text: fmt.Sprintf("server %s was sent %q", t.Server, line)})
		})
		k.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		io.WriteString(k.conn, "CLIENT_ERROR bad command\r\n")
		return false
	}
	now, late := c.Log.Now(), readsLate(k.conn)
	c.Log.Update(func(*seen.Record) {
		t.LastByteAt = now
		t.ConnStateUnknown = t.ConnStateUnknown || late
	})
	s.valueSize = len(value)
	k.mu.Lock()
	k.queue = append(k.queue, s)
	k.mu.Unlock()
	if k.script != nil {
		k.runScript(s, line, value)
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k.startCommands()
	return true
}

// startCommands submits queued commands, up to ConnConcurrency at once.
func (k *cacheConn) startCommands() {
	var startable []*command
	k.mu.Lock()
	for i, s := range k.queue {
		if i >= max(1, k.cache.opt.ConnConcurrency) {
			break
		}
		if !s.started {
			s.started = true
			startable = append(startable, s)
		}
	}
	k.mu.Unlock()
	for _, s := range startable {
		k.cache.submit(s, s.valueSize)
	}
}

// submit submits a complete command to the model.
func (c *Cache) submit(s *command, size int) {
	t := s.attempt
	now := c.Log.Now()
	work := world.WorkOf(c.Seed, s.class, t.Request)
	capacity, cold := c.model.Capacity(now), c.model.Cold(now)
	c.Log.Update(func(*seen.Record) { t.Work, t.Capacity, t.Cold = work, capacity, cold })
	if c.hanging || c.silent {
		return
	}
	if c.busy {
		s.setAnswer([]byte("SERVER_ERROR busy\r\n"), seen.Busy)
		return
	}
	c.lastToken++
	if !t.Write {
		size = world.SizeOf(c.Seed, s.class, t.Key)
	}
	j := world.Job{Token: c.lastToken, Key: t.Key, Work: work, Write: t.Write, Size: size, Idem: t.Idem}
	switch c.model.Offer(now, j) {
	case world.Accepted:
		c.jobs[j.Token] = s
	case world.Busy:
		s.setAnswer([]byte("SERVER_ERROR busy\r\n"), seen.Busy)
	}
	c.advance()
}

// runScript sets the answer that the script returns.
func (k *cacheConn) runScript(s *command, line string, value []byte) {
	c := k.cache
	c.mu.Lock()
	c.commands = append(c.commands, line)
	c.mu.Unlock()
	text := k.script(line, value)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch text {
	case "":
	case CloseConn:
		s.closesConn = true
		s.setAnswer(nil, seen.Nothing)
	default:
		s.setAnswer([]byte(text), seen.Value)
	}
}

// answerOther answers commands that are no request, such as "mn".
func (k *cacheConn) answerOther(words []string) bool {
	text := "ERROR\r\n"
	if words[0] == "mn" {
		text = "MN\r\n"
	}
	k.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := io.WriteString(k.conn, text)
	return err == nil
}

// write sends answers in the order of their commands.
func (k *cacheConn) write(closed chan struct{}) {
	c := k.cache
	for {
		k.mu.Lock()
		var s *command
		if len(k.queue) > 0 && k.queue[0].ready {
			s = k.queue[0]
		}
		k.mu.Unlock()
		if s == nil {
			select {
			case <-k.answerReady:
				continue
			case <-closed:
				return
			}
		}
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent { // the connection is reset when the silence ends
			<-closed
			return
		}
		err := k.writeAnswer(s, closed)
		now := c.Log.Now()
		k.mu.Lock()
		if len(k.queue) > 0 && k.queue[0] == s {
			k.queue = k.queue[1:]
		}
		k.mu.Unlock()
		c.Log.Update(func(*seen.Record) {
			switch s.attempt.Answer = s.answerKind; {
			case s.attempt.ClosedAt > 0:
			case err == nil:
				s.attempt.AnsweredAt = now
			default: // the node has abandoned it, or this process was killed
				s.attempt.ClosedAt = now
			}
		})
		if s.resetsConn {
			resetConn(k.conn)
			return
		}
		if s.closesConn || err != nil {
			k.conn.Close()
			return
		}
		if k.script == nil {
			c.mu.Lock()
			k.maybeCopyLate(s.answer)
			k.startCommands()
			c.mu.Unlock()
		}
	}
}

// writeAnswer writes the answer to a command, with its pause. closed ends the pause.
func (k *cacheConn) writeAnswer(s *command, closed chan struct{}) error {
	answer := s.answer
	if s.rest.duration > 0 {
		k.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := k.conn.Write(answer[:s.rest.at]); err != nil {
			return err
		}
		answer = answer[s.rest.at:]
		k.cache.recordRest(s.attempt, s.rest)
		select {
		case <-time.After(s.rest.duration):
		case <-closed:
			return net.ErrClosed
		}
	}
	k.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := k.conn.Write(answer)
	return err
}

// maybeCopyLate sends an answer once more, or noise, a little later, unless a byte of another command has been received by then. It
// needs the lock of the cache.
func (k *cacheConn) maybeCopyLate(answer []byte) {
	c := k.cache
	if c.rng.Float64() >= c.corruption["late_copy"] {
		return
	}
	k.mu.Lock()
	received, waiting := k.received, len(k.queue) > 0
	k.mu.Unlock()
	if waiting {
		return
	}
	copyLate(c.rng, k.conn, answer, func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.received == received && !k.closed
	})
}
