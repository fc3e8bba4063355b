package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

// OriginOptions describe the origin.
type OriginOptions struct {
	ID, Name string
	Addr     string
	Spec     *world.OriginSpec // nil with a script
	Script   http.HandlerFunc
	// Served is told of each read that it has answered: the value is stored where the request missed.
	OnRead func(request string, version, size int64)
	// Wrote is told of each write that took effect: the copies of its key are void.
	OnWrite func(key string)
}

// Origin is the origin on a socket, by HTTP/1.1.
type Origin struct {
	*Common
	opt    OriginOptions
	port   *port
	server *http.Server

	mu      sync.Mutex
	model   *world.Origin
	timer   *time.Timer
	due     time.Duration
	tokens  uint64
	waits   map[uint64]chan world.Completion // closed without one: lost
	by      map[uint64]string                // requests, by token
	rng     *rand.Rand
	spoil   float64
	lines   []string // with a script: method, path, Request-Id, Request-Info, body
	stopped bool
}

// chanListener hands connections that a port has taken to an http.Server.
type chanListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *chanListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *chanListener) Addr() net.Addr { return l.addr }

// servePort runs an HTTP server behind a port that can be broken.
func servePort(addr string, server *http.Server) (*port, error) {
	l := &chanListener{conns: make(chan net.Conn), done: make(chan struct{})}
	p, err := openPort(addr, func(c net.Conn) {
		select {
		case l.conns <- c:
		case <-l.done:
			c.Close()
		}
	})
	if err != nil {
		return nil, err
	}
	l.addr = p.ln.Addr()
	go server.Serve(l)
	return p, nil
}

// NewOrigin starts the origin.
func NewOrigin(common *Common, opt OriginOptions) (*Origin, error) {
	o := &Origin{Common: common, opt: opt, waits: map[uint64]chan world.Completion{}, by: map[uint64]string{},
		rng: world.RandomStream(common.Seed, "standin", "origin")}
	o.timer = time.AfterFunc(time.Hour, o.ring)
	if opt.Spec != nil {
		o.model = world.NewOrigin(*opt.Spec, common.Seed)
	}
	o.server = &http.Server{Handler: http.HandlerFunc(o.handle), ErrorLog: quiet}
	var err error
	o.port, err = servePort(opt.Addr, o.server)
	return o, err
}

// Addr is where it listens.
func (o *Origin) Addr() string { return o.port.addr }

// Requests are the requests that came, where a script answers.
func (o *Origin) Requests() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.lines...)
}

// UpdateModel runs f on the model, where there is one, and looks at what has come of it.
func (o *Origin) UpdateModel(f func(now time.Duration, m *world.Origin)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.model != nil {
		f(o.Log.Now(), o.model)
		o.look()
	}
}

// CorruptAnswers breaks a part of the answers.
func (o *Origin) CorruptAnswers(part float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spoil = part
}

// SetDown refuses new connections and ends those that stand, or takes them again.
func (o *Origin) SetDown(on bool) error {
	length := time.Duration(0)
	if on {
		length = 1000 * time.Hour
	}
	o.UpdateModel(func(now time.Duration, m *world.Origin) { m.Stop(now, length) })
	return o.port.refuse(on)
}

// Close gives everything back.
func (o *Origin) Close() {
	o.mu.Lock()
	o.stopped = true
	o.timer.Stop()
	o.mu.Unlock()
	o.server.Close()
	o.port.close()
}

func (o *Origin) ring() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return
	}
	if o.due > 0 {
		o.noteLate(o.Log.Now() - o.due)
	}
	o.look()
}

// look takes what the model has done by now and sets the timer for what comes next.
func (o *Origin) look() {
	now := o.Log.Now()
	for _, d := range o.model.Advance(now) {
		if d.Applied {
			e := seen.Effect{At: now, Request: o.by[d.Token], Key: d.Key, Idem: d.Idem, Receipt: d.Receipt}
			o.Log.Update(func(r *seen.Record) { r.Effects = append(r.Effects, e) })
			if o.opt.OnWrite != nil {
				o.opt.OnWrite(d.Key)
			}
		}
		o.end(d.Token, &d)
	}
	for _, t := range o.model.TakeLost() {
		o.end(t, nil)
	}
	at, ok := o.model.Next()
	if o.due = at; !ok {
		o.due = 0
		at = now + time.Hour
	}
	if !o.stopped {
		o.timer.Reset(max(0, at-now))
	}
}

// end tells who waits for a job.
func (o *Origin) end(token uint64, d *world.Completion) {
	w := o.waits[token]
	delete(o.waits, token)
	delete(o.by, token)
	if w == nil {
		return
	}
	if d != nil {
		w <- *d
	}
	close(w)
}

// offer brings a job; the channel gives its end, or is closed without one. A nil channel: it was turned away, with
// gone telling that nobody is there.
func (o *Origin) offer(t *seen.Attempt, size int) (token uint64, end chan world.Completion, gone bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Log.Now()
	o.tokens++
	token = o.tokens
	stops := o.model.StopCount()
	// The effect must be told by the request even if its client has gone by then.
	o.by[token] = t.Request
	v, work := o.model.Offer(now, world.Job{Token: token, Key: t.Key, Write: t.Write, Size: size, Idem: t.Idem})
	o.Log.Update(func(r *seen.Record) {
		t.Work, t.Capacity = work, o.model.Capacity()
		if o.model.StopCount() > stops {
			r.OriginStops = append(r.OriginStops, seen.Event{At: now, Text: "origin"})
			r.Events = append(r.Events, seen.Event{At: now, Text: "the origin stops: too much was asked"})
		}
	})
	if v == world.Accepted {
		end = make(chan world.Completion, 1)
		o.waits[token] = end
	} else {
		delete(o.by, token)
	}
	o.look()
	return token, end, v == world.Down
}

// Ask is a cache's own request, in through mode.
func (o *Origin) Ask(a world.OriginRequest, request, class string, answer func(world.Completion)) {
	t := &seen.Attempt{Server: o.opt.ID, Origin: true, Request: request, Class: class, Key: a.Key, Write: a.Write, Idem: a.Idem}
	_, end, _ := o.offer(t, 0)
	if end != nil {
		if d, ok := <-end; ok {
			answer(d)
			return
		}
	}
	answer(world.Completion{Outcome: world.Failed})
}

// handle is one request.
func (o *Origin) handle(w http.ResponseWriter, r *http.Request) {
	first := o.Log.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if o.opt.Script != nil {
		o.mu.Lock()
		o.lines = append(o.lines, strings.Join([]string{r.Method, r.URL.Path, r.Header.Get("Request-Id"),
			r.Header.Get("Request-Info"), string(body)}, " "))
		o.mu.Unlock()
		o.opt.Script(w, r)
		return
	}
	info := fields(r.Header.Get("Request-Info"))
	t := &seen.Attempt{Server: o.opt.ID, Origin: true, Request: r.Header.Get("Request-Id"), Class: info["c"], Idem: info["k"],
		Key: strings.TrimPrefix(r.URL.Path, "/"), Write: r.Method == "PUT", FirstByteAt: first, LastByteAt: o.Log.Now()}
	if t.Write {
		t.Value = Digest(body)
	}
	if ms, err := strconv.ParseFloat(info["d"], 64); err == nil {
		t.RemainingTime = time.Duration(ms * float64(time.Millisecond))
	}
	class := o.Classes[t.Class]
	o.Log.Update(func(rec *seen.Record) {
		rec.Attempts = append(rec.Attempts, t)
		if class == nil || t.Request == "" || r.Method != "GET" && r.Method != "PUT" {
			rec.ProtocolErrors = append(rec.ProtocolErrors, seen.Event{At: first, Text: fmt.Sprintf("the origin was sent %s %s, Request-Info %q", r.Method, r.URL.Path, r.Header.Get("Request-Info"))})
		}
	})
	if class == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, end, gone := o.offer(t, len(body))
	if gone {
		o.hangUp(w, t)
		return
	}
	if end == nil {
		w.Header().Set("Not-Started", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		o.answered(w, t, seen.Busy)
		return
	}
	select {
	case d, ok := <-end:
		if !ok {
			o.hangUp(w, t)
			return
		}
		o.say(w, t, class, d)
	case <-r.Context().Done():
		o.UpdateModel(func(now time.Duration, m *world.Origin) {
			m.Cancel(now, token)
			delete(o.waits, token)
			if !t.Write {
				delete(o.by, token)
			}
		})
		now := o.Log.Now()
		o.Log.Update(func(*seen.Record) { t.ClosedAt = now })
	}
}

// say answers a request that was carried out.
func (o *Origin) say(w http.ResponseWriter, t *seen.Attempt, class *world.Class, d world.Completion) {
	o.mu.Lock()
	spoils := o.rng.Float64() < o.spoil
	o.mu.Unlock()
	if spoils {
		o.Log.Update(func(*seen.Record) { t.Answer = seen.Corrupt })
		o.garble(w)
		o.ended(t)
		return
	}
	if t.Write {
		o.Log.Update(func(*seen.Record) { t.Receipt = d.Receipt })
		io.WriteString(w, d.Receipt)
		o.answered(w, t, seen.Receipt)
		return
	}
	size := world.SizeOf(o.Seed, class, t.Key)
	v := MakeValue(t.Key, d.Version, t.Request, o.opt.ID, size)
	o.Log.Update(func(*seen.Record) { t.Version = d.Version })
	w.Header().Set("Content-Length", strconv.Itoa(len(v)))
	w.Write(v)
	o.answered(w, t, seen.Value)
	if o.opt.OnRead != nil {
		o.opt.OnRead(t.Request, d.Version, int64(size))
	}
}

// garble says something that is no answer.
func (o *Origin) garble(w http.ResponseWriter) {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	o.mu.Lock()
	which := o.rng.IntN(4)
	o.mu.Unlock()
	out.WriteString([]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 5\r\n\r\nhello",
		"\xde\xad\xbe\xef\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhello",
	}[which])
	out.Flush()
	conn.SetReadDeadline(time.Now().Add(writeFor))
	discardAll(conn)
	conn.Close()
}

// answered notes that an answer has gone out.
func (o *Origin) answered(w http.ResponseWriter, t *seen.Attempt, said seen.ServerAnswer) {
	http.NewResponseController(w).Flush()
	now := o.Log.Now()
	o.Log.Update(func(*seen.Record) { t.Answer, t.AnsweredAt = said, now })
}

// ended notes that an attempt is over without an answer.
func (o *Origin) ended(t *seen.Attempt) {
	now := o.Log.Now()
	o.Log.Update(func(*seen.Record) { t.ClosedAt = now })
}

// hangUp ends the connection as a dying process does.
func (o *Origin) hangUp(w http.ResponseWriter, t *seen.Attempt) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		reset(conn)
	}
	o.ended(t)
}
