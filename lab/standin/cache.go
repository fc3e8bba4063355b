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
	mostLine  = 8 << 10   // bytes of a command's line
	mostValue = 128 << 20 // bytes of a write's value
	writeFor  = 10 * time.Second
)

// Script says what a cache answers to a command, given its line and value: "" is nothing, ClosesIt ends the connection.
type Script func(line string, value []byte) string

// CloseConn is a script's answer that ends the connection.
const CloseConn = "\x00close"

// CacheOptions describe a cache server.
type CacheOptions struct {
	ID, Name        string
	Addr            string           // to listen on; port 0 takes any
	Spec            *world.CacheSpec // nil with a script
	Script          Script
	NewScript       func() Script // one for each connection, in place of Script
	Cold            bool          // its first process starts cold
	ConnConcurrency int           // commands of one connection that are begun at once; 0: one
	MaxConns        int           // connections that it takes; 0: any number
	ConnIdle        time.Duration
	ReportsHits     bool // whether answers say hit or miss
	ReportsLoad     bool // whether answers carry a load report
	// Missed is told of each read that the cache lacked, with what stores the value there; nil: nobody is.
	OnMiss func(request string, store func(version, size int64))
	// Ask passes a request on to the origin, in through mode; answer may be called from any goroutine.
	AskOrigin func(a world.OriginRequest, request string, class string, answer func(world.Completion))
}

// Cache is a cache server on a socket.
type Cache struct {
	*Common
	opt  CacheOptions
	port *port

	mu      sync.Mutex
	id      string
	model   *world.Cache
	timer   *time.Timer
	due     time.Duration
	tokens  uint64
	jobs    map[uint64]*slot
	conns   map[*cacheConn]bool
	rng     *rand.Rand
	silent  bool
	hangs   bool
	away    bool
	spoil   map[string]float64 // parts of the answers, by what becomes of them
	seen    []string           // lines, with a script
	ever    int
	stopped bool
	fallen  bool // the log has been told
}

var connSerial atomic.Uint64

// slot is a command on its connection, answered in its turn.
type slot struct {
	conn   *cacheConn
	try    *seen.Attempt
	class  *world.Class
	answer []byte
	said   seen.ServerAnswer
	size   int // of its value
	begun  bool
	ready  bool
	ends   bool // the connection ends behind it
	resets bool
}

type cacheConn struct {
	cache  *Cache
	net    net.Conn
	id     uint64
	mu     sync.Mutex
	queue  []*slot
	ready  chan struct{}
	closed bool
	script Script
}

// NewCache starts a cache server.
func NewCache(common *Common, opt CacheOptions) (*Cache, error) {
	c := &Cache{Common: common, opt: opt, id: opt.ID, jobs: map[uint64]*slot{}, conns: map[*cacheConn]bool{},
		rng: world.RandomStream(common.Seed, "standin", opt.Name), spoil: map[string]float64{}}
	c.timer = time.AfterFunc(time.Hour, c.ring)
	if opt.Spec != nil {
		c.model = world.NewCache(*opt.Spec, common.Seed)
		if now := c.Log.Now(); opt.Cold {
			c.model.Start(now, true)
		}
	}
	var err error
	if c.port, err = openPort(opt.Addr, c.serve); err != nil {
		return nil, err
	}
	c.noteStart(opt.Cold)
	return c, nil
}

func (c *Cache) noteStart(cold bool) {
	if c.opt.Spec == nil {
		return
	}
	s := seen.ServerStart{Server: c.id, Name: c.opt.Name, Cold: cold, Capacity: float64(c.opt.Spec.Cores) * c.opt.Spec.Speed}
	if cold {
		s.At = c.Log.Now()
	}
	c.Log.Update(func(r *seen.Record) { r.ServerStarts = append(r.ServerStarts, s) })
}

// Addr is where it listens.
func (c *Cache) Addr() string { return c.port.addr }

// ID is the id under which the list has it.
func (c *Cache) ID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.id
}

// Name is what the lab calls it.
func (c *Cache) Name() string { return c.opt.Name }

// Commands are the commands that came, where a script answers.
func (c *Cache) Commands() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.seen...)
}

// ConnCounts is how many connections stand and how many ever did.
func (c *Cache) ConnCounts() (open, ever int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns), c.ever
}

// UpdateModel runs f on the model, where there is one, and looks at what has come of it.
func (c *Cache) UpdateModel(f func(now time.Duration, m *world.Cache)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.model != nil {
		f(c.Log.Now(), c.model)
		c.look()
	}
}

// Kill ends the process: its connections are reset, new ones refused.
func (c *Cache) Kill() {
	c.port.refuse(true)
	c.mu.Lock()
	if c.model != nil {
		c.model.Stop(c.Log.Now())
	}
	c.jobs = map[uint64]*slot{}
	conns := c.conns
	c.conns = map[*cacheConn]bool{}
	c.mu.Unlock()
	for k := range conns {
		reset(k.net)
	}
}

// Restart begins a new process at the same address, under a new id if one is given.
func (c *Cache) Restart(id string, cold bool) error {
	c.mu.Lock()
	if id != "" {
		c.id = id
	}
	if c.model != nil {
		c.model.Start(c.Log.Now(), cold)
	}
	c.silent, c.hangs, c.away, c.fallen = false, false, false, false
	c.spoil = map[string]float64{}
	c.mu.Unlock()
	c.noteStart(cold)
	return c.port.refuse(false)
}

// RefuseConns refuses new connections, or takes them again.
func (c *Cache) RefuseConns(on bool) error { return c.port.refuse(on) }

// SetSilent makes the machine say nothing: connections stay open and new ones never come up; when it is back, all that
// stood is reset.
func (c *Cache) SetSilent(on bool) {
	c.mu.Lock()
	was := c.silent
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
					s.try.ConnStateUnknown = true
				}
				k.mu.Unlock()
			}
		})
	}
	c.mu.Unlock()
	c.port.silence(on)
	if was && !on {
		for _, k := range conns {
			reset(k.net)
		}
	}
}

// SetHanging makes it take all and answer nothing.
func (c *Cache) SetHanging(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hangs = on
}

// SetBusy makes it answer busy.
func (c *Cache) SetBusy(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = on
}

// CorruptAnswers breaks a part of the answers: "reset", "garble" or "surplus".
func (c *Cache) CorruptAnswers(how string, part float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spoil[how] = part
}

// CloseConns closes the connections that stand, between requests as far as it knows.
func (c *Cache) CloseConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.conns {
		k.net.Close()
	}
}

// Close gives everything back.
func (c *Cache) Close() {
	c.mu.Lock()
	c.stopped = true
	c.timer.Stop()
	conns := c.conns
	c.conns = map[*cacheConn]bool{}
	c.mu.Unlock()
	c.port.close()
	for k := range conns {
		reset(k.net)
	}
}

// ring is the model's timer.
func (c *Cache) ring() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	if c.due > 0 {
		c.noteLate(c.Log.Now() - c.due)
	}
	c.look()
}

// look takes what the model has done by now and sets the timer for what comes next.
func (c *Cache) look() {
	now := c.Log.Now()
	done, asks := c.model.Advance(now)
	for _, d := range done {
		if s := c.jobs[d.Token]; s != nil {
			delete(c.jobs, d.Token)
			c.done(s, d)
		}
	}
	for _, a := range asks {
		s := c.jobs[a.Token]
		if s == nil || c.opt.AskOrigin == nil {
			continue
		}
		model := c.model
		go c.opt.AskOrigin(a, s.try.Request, s.try.Class, func(d world.Completion) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.model == model && !c.stopped {
				model.OriginAnswered(c.Log.Now(), a.Token, d)
				c.look()
			}
		})
	}
	if c.model.FellOver() {
		c.fall(now)
	}
	at, ok := c.model.Next()
	if c.due = at; !ok {
		c.due = 0
		at = now + time.Hour
	}
	if !c.stopped {
		c.timer.Reset(max(0, at-now))
	}
}

// fall ends a process that was pushed over: it stays down until it is started again.
func (c *Cache) fall(now time.Duration) {
	if c.fallen {
		return
	}
	c.fallen = true
	id := c.id
	c.Log.Update(func(r *seen.Record) {
		r.FallOvers = append(r.FallOvers, seen.Event{At: now, Text: id})
		r.Events = append(r.Events, seen.Event{At: now, Text: c.opt.Name + " falls over"})
	})
	go c.Kill()
}

// done makes the answer to a job that has ended.
func (c *Cache) done(s *slot, d world.Completion) {
	t := s.try
	tail := "\r\n"
	if c.opt.ReportsLoad {
		r := c.model.LoadReport(c.Log.Now())
		tail = fmt.Sprintf(" Lutil=%g,queue=%d\r\n", r.Utilization, r.Queue)
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
		s.fill(fmt.Appendf(nil, "VA %d O%s%s%s%s\r\n", len(v), t.Request, hit, tail, v), seen.Value)
	case world.Stored:
		t.Receipt = d.Receipt
		s.fill(fmt.Appendf(nil, "HD O%s c%s%s", t.Request, d.Receipt, tail), seen.Receipt)
	case world.Failed:
		s.fill(fmt.Appendf(nil, "SERVER_ERROR failed%s%s", hit, tail), seen.Error)
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
		s.fill(fmt.Appendf(nil, "EN O%s%s%s", t.Request, hit, tail), seen.NoValue)
	}
}

// fill gives a slot its answer, which goes out in its turn.
func (s *slot) fill(answer []byte, said seen.ServerAnswer) {
	c := s.conn.cache
	p := c.spoil
	switch x := c.rng.Float64(); {
	case len(answer) == 0:
	case x < p["reset"]:
		answer, s.resets, said = answer[:c.rng.IntN(len(answer))], true, seen.Corrupt
	case x < p["reset"]+p["garble"]:
		answer, s.ends = garble(c.rng, answer)
		said = seen.Corrupt
	case x < p["reset"]+p["garble"]+p["surplus"]:
		if c.rng.IntN(2) == 0 {
			answer = append(answer[:len(answer):len(answer)], answer...)
		} else {
			answer = append(answer[:len(answer):len(answer)], "\x00\xff\r\nEN\r\n"...)
		}
	}
	k := s.conn
	k.mu.Lock()
	s.answer, s.said, s.ready = answer, said, true
	k.mu.Unlock()
	select {
	case k.ready <- struct{}{}:
	default:
	}
}

// garble spoils an answer in one of the ways that have been met.
func garble(rng *rand.Rand, answer []byte) (spoilt []byte, ends bool) {
	text := string(answer)
	switch rng.IntN(6) {
	case 0:
		return []byte("\xde\xad\xbe\xef not an answer\r\n"), false
	case 1:
		return []byte(strings.Repeat("x", 20000)), false
	case 2: // the id of another request
		if i := strings.Index(text, " O"); i >= 0 && i+2 < len(text) {
			return []byte(text[:i+2] + "f" + text[i+2:]), false
		}
		return []byte("VA\r\n"), false
	case 3:
		return []byte("VA 3000000000 Ox\r\n" + strings.Repeat("y", 4096)), false
	case 4: // a length that does not fit
		if rest, ok := strings.CutPrefix(text, "VA "); ok {
			return []byte("VA 9" + rest), false
		}
		return []byte("HD\r\n"), false
	default:
		return answer[:len(answer)/2], true
	}
}

// serve is one connection.
func (c *Cache) serve(conn net.Conn) {
	k := &cacheConn{cache: c, net: conn, id: connSerial.Add(1), ready: make(chan struct{}, 1), script: c.opt.Script}
	if c.opt.NewScript != nil {
		k.script = c.opt.NewScript()
	}
	c.mu.Lock()
	if c.stopped || c.opt.MaxConns > 0 && len(c.conns) >= c.opt.MaxConns {
		c.mu.Unlock()
		reset(conn)
		return
	}
	c.conns[k] = true
	c.ever++
	if c.model != nil {
		c.model.Connect(c.Log.Now())
		c.look()
	}
	c.mu.Unlock()
	gone := make(chan struct{})
	go k.write(gone)
	k.read()
	close(gone)
	k.over()
}

// over notes that the node has given the connection up, or that it ended.
func (k *cacheConn) over() {
	c := k.cache
	k.net.Close()
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
			if s.try.AnsweredAt == 0 {
				s.try.ClosedAt = now
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
	c.look()
}

// read takes commands, a bounded number at once.
func (k *cacheConn) read() {
	c := k.cache
	in := bufio.NewReaderSize(k.net, 16<<10)
	for {
		if c.opt.ConnIdle > 0 {
			k.net.SetReadDeadline(time.Now().Add(c.opt.ConnIdle))
		}
		if _, err := in.Peek(1); err != nil {
			if isTimeout(err) && k.waiting() > 0 {
				continue // it does not stand idle
			}
			return
		}
		if c.isSilent() { // nobody is there to read it; the connection is reset when that ends
			for c.isSilent() {
				time.Sleep(5 * time.Millisecond)
			}
			return
		}
		first := c.Log.Now()
		k.net.SetReadDeadline(time.Time{})
		line, err := readLine(in)
		if err != nil {
			return
		}
		if !k.command(first, line, in) {
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
		case !errors.Is(err, bufio.ErrBufferFull) || len(line) > mostLine:
			return "", err
		}
	}
}

func (k *cacheConn) waiting() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.queue)
}

// command takes one command; false ends the connection.
func (k *cacheConn) command(first time.Duration, line string, in *bufio.Reader) bool {
	c := k.cache
	words := strings.Fields(line)
	s := &slot{conn: k, try: &seen.Attempt{Server: c.ID(), Conn: k.id, FirstByteAt: first}}
	t := s.try
	var value []byte
	good := len(words) >= 3 && (words[0] == "mg" || words[0] == "ms" && len(words) >= 4)
	if len(words) > 0 && (words[0] == "mn" || words[0] == "stats") {
		return k.plain(words)
	}
	if good {
		t.Key, t.Write = words[1], words[0] == "ms"
		info := map[string]string{}
		for _, w := range words[2:] {
			switch w[0] {
			case 'O':
				t.Request = w[1:]
			case 'P':
				info = fields(w[1:])
			}
		}
		t.Class, t.Idem = info["c"], info["k"]
		ms, err := strconv.ParseFloat(info["d"], 64)
		t.RemainingTime = time.Duration(ms * float64(time.Millisecond))
		good = err == nil && t.Request != "" && t.Class != ""
	}
	if good {
		c.Log.Update(func(r *seen.Record) { r.Attempts = append(r.Attempts, t) })
	}
	if good && t.Write {
		n, err := strconv.Atoi(words[2])
		if good = err == nil && n >= 0 && n <= mostValue; good {
			value = make([]byte, n+2)
			if _, err := io.ReadFull(in, value); err != nil {
				return false
			}
			value = value[:n]
			t.Value = Digest(value)
		}
	}
	s.class = c.Classes[t.Class]
	if k.script == nil && (!good || s.class == nil) {
		c.Log.Update(func(r *seen.Record) {
			r.ProtocolErrors = append(r.ProtocolErrors, seen.Event{At: first, Text: fmt.Sprintf("server %s was sent %q", t.Server, line)})
		})
		k.net.SetWriteDeadline(time.Now().Add(writeFor))
		io.WriteString(k.net, "CLIENT_ERROR bad command\r\n")
		return false
	}
	now := c.Log.Now()
	c.Log.Update(func(*seen.Record) { t.LastByteAt = now })
	s.size = len(value)
	k.mu.Lock()
	k.queue = append(k.queue, s)
	k.mu.Unlock()
	if k.script != nil {
		k.scripted(s, line, value)
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k.begin()
	return true
}

// begin begins commands, as many of the connection at once as are allowed.
func (k *cacheConn) begin() {
	var next []*slot
	k.mu.Lock()
	for i, s := range k.queue {
		if i >= max(1, k.cache.opt.ConnConcurrency) {
			break
		}
		if !s.begun {
			s.begun = true
			next = append(next, s)
		}
	}
	k.mu.Unlock()
	for _, s := range next {
		k.cache.offer(s, s.size)
	}
}

// offer brings a whole command to the model.
func (c *Cache) offer(s *slot, size int) {
	t := s.try
	now := c.Log.Now()
	work := world.WorkOf(c.Seed, s.class, t.Request)
	capacity, cold := c.model.Capacity(now), c.model.Cold(now)
	c.Log.Update(func(*seen.Record) { t.Work, t.Capacity, t.Cold = work, capacity, cold })
	if c.hangs || c.silent {
		return
	}
	if c.away {
		s.fill([]byte("SERVER_ERROR busy\r\n"), seen.Busy)
		return
	}
	c.tokens++
	if !t.Write {
		size = world.SizeOf(c.Seed, s.class, t.Key)
	}
	j := world.Job{Token: c.tokens, Key: t.Key, Work: work, Write: t.Write, Size: size, Idem: t.Idem}
	switch c.model.Offer(now, j) {
	case world.Accepted:
		c.jobs[j.Token] = s
	case world.Busy:
		s.fill([]byte("SERVER_ERROR busy\r\n"), seen.Busy)
	}
	c.look()
}

// scripted answers as the script says.
func (k *cacheConn) scripted(s *slot, line string, value []byte) {
	c := k.cache
	c.mu.Lock()
	c.seen = append(c.seen, line)
	c.mu.Unlock()
	text := k.script(line, value)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch text {
	case "":
	case CloseConn:
		s.ends = true
		s.fill(nil, seen.Nothing)
	default:
		s.fill([]byte(text), seen.Value)
	}
}

// plain answers what is no request.
func (k *cacheConn) plain(words []string) bool {
	text := "ERROR\r\n"
	if words[0] == "mn" {
		text = "MN\r\n"
	}
	k.net.SetWriteDeadline(time.Now().Add(writeFor))
	_, err := io.WriteString(k.net, text)
	return err == nil
}

// write sends answers in the order of their commands.
func (k *cacheConn) write(gone chan struct{}) {
	c := k.cache
	for {
		k.mu.Lock()
		var s *slot
		if len(k.queue) > 0 && k.queue[0].ready {
			s = k.queue[0]
		}
		k.mu.Unlock()
		if s == nil {
			select {
			case <-k.ready:
				continue
			case <-gone:
				return
			}
		}
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent { // until it is back, which resets the connection
			<-gone
			return
		}
		k.net.SetWriteDeadline(time.Now().Add(writeFor))
		_, err := k.net.Write(s.answer)
		now := c.Log.Now()
		k.mu.Lock()
		if len(k.queue) > 0 && k.queue[0] == s {
			k.queue = k.queue[1:]
		}
		k.mu.Unlock()
		c.Log.Update(func(*seen.Record) {
			switch s.try.Answer = s.said; {
			case s.try.ClosedAt > 0:
			case err == nil:
				s.try.AnsweredAt = now
			default: // the node has given it up, or this process has died
				s.try.ClosedAt = now
			}
		})
		if s.resets {
			reset(k.net)
			return
		}
		if s.ends || err != nil {
			k.net.Close()
			return
		}
		if k.script == nil {
			c.mu.Lock()
			k.begin()
			c.mu.Unlock()
		}
	}
}
