package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

// OriginOptions configures an origin.
type OriginOptions struct {
	ID, Name string
	Addr     string
	Spec     *world.OriginSpec // nil with a script
	Script   http.HandlerFunc
	Way      time.Duration // that bytes take between a node and the origin, one way
	Window   int           // bytes of the receive window, without a way; 0: the system's
	// OnRead, unless it is nil, is called after each answered read, so that the cache where it missed can store the value.
	OnRead func(request string, version, size int64)
	// OnWrite, unless it is nil, is called after each write that took effect, so that cached copies can be invalidated.
	OnWrite func(key string)
}

// Origin is an origin server on a socket, with HTTP/1.1.
type Origin struct {
	*Common
	opt      OriginOptions
	listener *faultListener
	server   *http.Server
	conns    sync.Map // open connections, from net.Conn to *originConn

	mu         sync.Mutex
	model      *world.Origin
	timer      *time.Timer
	dueAt      time.Duration
	lastToken  uint64
	waiters    map[uint64]chan world.Completion // closed without a value if the job is lost
	requestIDs map[uint64]string                // by job token
	rng        *rand.Rand
	corruption map[string]float64 // fraction of the answers, by kind of corruption
	requests   []string           // received with a script: method, path, Request-Id, Request-Info, body
	stopped    bool
}

// chanListener passes the connections of a faultListener to an http.Server.
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

// serveHTTP runs an HTTP server behind a faultListener.
func serveHTTP(addr string, n network, server *http.Server) (*faultListener, error) {
	l := &chanListener{conns: make(chan net.Conn), done: make(chan struct{})}
	p, err := listenFaulty(addr, n, func(c net.Conn) {
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

// NewOrigin starts an origin.
func NewOrigin(common *Common, opt OriginOptions) (*Origin, error) {
	o := &Origin{Common: common, opt: opt, waiters: map[uint64]chan world.Completion{}, requestIDs: map[uint64]string{},
		rng: world.RandomStream(common.Seed, "standin", "origin"), corruption: map[string]float64{}}
	o.timer = time.AfterFunc(time.Hour, o.onTimer)
	if opt.Spec != nil {
		o.model = world.NewOrigin(*opt.Spec, common.Seed)
	}
	o.server = &http.Server{Handler: http.HandlerFunc(o.handle), ErrorLog: discardLog, ConnContext: o.withConn, ConnState: o.noteRequest}
	var err error
	o.listener, err = serveHTTP(opt.Addr, network{opt.Way, opt.Window}, o.server)
	return o, err
}

// Addr returns the address on which the origin listens.
func (o *Origin) Addr() string { return o.listener.addr }

// Requests returns all requests received, one line each, if a script answers them.
func (o *Origin) Requests() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.requests...)
}

// UpdateModel runs f on the model, if there is one, and handles the results.
func (o *Origin) UpdateModel(f func(now time.Duration, m *world.Origin)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.model != nil {
		f(o.Log.Now(), o.model)
		o.advance()
	}
}

// CorruptAnswers corrupts a fraction of the answers: "garble" makes them invalid HTTP, "no_length" leaves out their length and ends them
// with their connection, which is closed behind a whole answer or reset within it, "late_copy" sends them once more a little later, and
// "rest" pauses behind their first bytes.
func (o *Origin) CorruptAnswers(kind string, fraction float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.corruption[kind] = fraction
}

// draws reports whether an answer is corrupted in this way.
func (o *Origin) draws(kind string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rng.Float64() < o.corruption[kind]
}

// SetReadRate limits how many bytes a second are read of each connection, if there is a window; 0: no limit. One a second: nothing is
// read.
func (o *Origin) SetReadRate(rate float64) { o.listener.pace.set(rate) }

// SetDown stops the origin, refusing new connections and losing the requests in flight, or starts it again.
func (o *Origin) SetDown(on bool) error {
	length := time.Duration(0)
	if on {
		length = 1000 * time.Hour
	}
	o.UpdateModel(func(now time.Duration, m *world.Origin) { m.Stop(now, length) })
	return o.listener.setRefusing(on)
}

// Close ends the stand-in and releases its resources.
func (o *Origin) Close() {
	o.mu.Lock()
	o.stopped = true
	o.timer.Stop()
	o.mu.Unlock()
	o.server.Close()
	o.listener.close()
}

func (o *Origin) onTimer() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return
	}
	if o.dueAt > 0 {
		o.recordLateness(o.Log.Now() - o.dueAt)
	}
	o.advance()
}

// advance advances the model to the current time, handles the results and sets the timer for the next event. It needs the
// lock.
func (o *Origin) advance() {
	now := o.Log.Now()
	for _, d := range o.model.Advance(now) {
		if d.Applied {
			e := seen.Effect{At: now, Request: o.requestIDs[d.Token], Key: d.Key, Idem: d.Idem, Receipt: d.Receipt}
			o.Log.Update(func(r *seen.Record) { r.Effects = append(r.Effects, e) })
			if o.opt.OnWrite != nil {
				o.opt.OnWrite(d.Key)
			}
		}
		o.finishJob(d.Token, &d)
	}
	for _, t := range o.model.TakeLost() {
		o.finishJob(t, nil)
	}
	at, ok := o.model.Next()
	if o.dueAt = at; !ok {
		o.dueAt = 0
		at = now + time.Hour
	}
	if !o.stopped {
		o.timer.Reset(max(0, at-now))
	}
}

// finishJob passes the completion of a job to the goroutine that waits for it; d is nil if the job is lost.
func (o *Origin) finishJob(token uint64, d *world.Completion) {
	w := o.waiters[token]
	delete(o.waiters, token)
	delete(o.requestIDs, token)
	if w == nil {
		return
	}
	if d != nil {
		w <- *d
	}
	close(w)
}

// submit submits a job to the model. The channel receives its completion, or is closed without one if the job is lost. It is
// nil if the job is rejected; down says whether that is because the origin has stopped.
func (o *Origin) submit(t *seen.Attempt, size int) (token uint64, completion chan world.Completion, down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Log.Now()
	o.lastToken++
	token = o.lastToken
	stops := o.model.StopCount()
	// Kept until the effect, which must be attributed to the request even if its client has disconnected by then.
	o.requestIDs[token] = t.Request
	v, work := o.model.Offer(now, world.Job{Token: token, Key: t.Key, Write: t.Write, Size: size, Idem: t.Idem})
	o.Log.Update(func(r *seen.Record) {
		t.Work, t.Capacity = work, o.model.Capacity()
		if o.model.StopCount() > stops {
			r.OriginStops = append(r.OriginStops, seen.Event{At: now, Text: "origin"})
			r.Events = append(r.Events, seen.Event{At: now, Text: "the origin stops: too much was asked"})
		}
	})
	if v == world.Accepted {
		completion = make(chan world.Completion, 1)
		o.waiters[token] = completion
	} else {
		delete(o.requestIDs, token)
	}
	o.advance()
	return token, completion, v == world.Down
}

// Ask handles a request of a cache, in through mode.
func (o *Origin) Ask(a world.OriginRequest, request, class string, answer func(world.Completion)) {
	t := &seen.Attempt{Server: o.opt.ID, Origin: true, Request: request, Class: class, Key: a.Key, Write: a.Write, Idem: a.Idem}
	_, completion, _ := o.submit(t, 0)
	if completion != nil {
		if d, ok := <-completion; ok {
			answer(d)
			return
		}
	}
	answer(world.Completion{Outcome: world.Failed})
}

// handle handles one HTTP request.
func (o *Origin) handle(w http.ResponseWriter, r *http.Request) {
	firstByteAt := o.Log.Now() - o.opt.Way // when it was sent
	late := false
	if c, known := r.Context().Value(originConnKey{}).(*originConn); known {
		firstByteAt -= sinceArrival(c.Conn)
		late = readsLate(c.Conn)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if o.opt.Script != nil {
		o.mu.Lock()
		o.requests = append(o.requests, strings.Join([]string{r.Method, r.URL.Path, r.Header.Get("Request-Id"),
			r.Header.Get("Request-Info"), string(body)}, " "))
		o.mu.Unlock()
		o.opt.Script(w, r)
		return
	}
	info := parseFields(r.Header.Get("Request-Info"))
	t := &seen.Attempt{Server: o.opt.ID, Origin: true, Request: r.Header.Get("Request-Id"), Class: info["c"], Idem: info["k"],
		Key: strings.TrimPrefix(r.URL.Path, "/"), Write: r.Method == "PUT", FirstByteAt: firstByteAt, LastByteAt: o.Log.Now(), ConnStateUnknown: late}
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
			rec.ProtocolErrors = append(rec.ProtocolErrors, seen.Event{At: firstByteAt, Text: fmt.Sprintf("the origin was sent %s %s, Request-Info %q", r.Method, r.URL.Path, r.Header.Get("Request-Info"))})
		}
	})
	if class == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, completion, down := o.submit(t, len(body))
	if down {
		o.resetConn(w, t)
		return
	}
	if completion == nil {
		w.Header().Set("Not-Started", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		o.recordAnswer(w, t, seen.Busy)
		o.maybeCopyLate(r, "503 Service Unavailable\r\nNot-Started: 1", nil)
		return
	}
	select {
	case d, ok := <-completion:
		if !ok {
			o.resetConn(w, t)
			return
		}
		o.answer(w, r, t, class, d)
	case <-r.Context().Done():
		o.UpdateModel(func(now time.Duration, m *world.Origin) {
			m.Cancel(now, token)
			delete(o.waiters, token)
			if !t.Write {
				delete(o.requestIDs, token)
			}
		})
		now := o.Log.Now()
		o.Log.Update(func(*seen.Record) { t.ClosedAt = now })
	}
}

// answer answers a request whose job has completed.
func (o *Origin) answer(w http.ResponseWriter, r *http.Request, t *seen.Attempt, class *world.Class, d world.Completion) {
	if o.draws("garble") {
		o.Log.Update(func(*seen.Record) { t.Answer = seen.Corrupt })
		o.writeGarbage(w)
		o.recordClose(t)
		return
	}
	var body []byte
	kind, size := seen.Receipt, world.SizeOf(o.Seed, class, t.Key)
	if t.Write {
		body = []byte(d.Receipt)
		o.Log.Update(func(*seen.Record) { t.Receipt = d.Receipt })
	} else {
		kind, body = seen.Value, MakeValue(t.Key, d.Version, t.Request, o.opt.ID, size)
		o.Log.Update(func(*seen.Record) { t.Version = d.Version })
	}
	if o.draws("no_length") {
		o.answerWithoutLength(w, t, body, kind)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !o.writeBody(w, r, t, body) {
		return
	}
	o.recordAnswer(w, t, kind)
	o.maybeCopyLate(r, "200 OK", body)
	if !t.Write && o.opt.OnRead != nil {
		o.opt.OnRead(t.Request, d.Version, int64(size))
	}
}

// writeBody writes the body of an answer, with a pause where that is drawn. It returns false if the node has ended the connection.
func (o *Origin) writeBody(w http.ResponseWriter, r *http.Request, t *seen.Attempt, body []byte) bool {
	if o.draws("rest") {
		o.mu.Lock()
		rest := drawRest(o.rng, len(body))
		o.mu.Unlock()
		w.Write(body[:rest.at])
		http.NewResponseController(w).Flush()
		o.recordRest(t, rest)
		body = body[rest.at:]
		select {
		case <-time.After(rest.duration):
		case <-r.Context().Done():
			o.recordClose(t)
			return false
		}
	}
	w.Write(body)
	return true
}

// answerWithoutLength sends an answer that ends with its connection. One in two is whole, and the connection is closed behind it; the
// others are reset at a random byte.
func (o *Origin) answerWithoutLength(w http.ResponseWriter, t *seen.Attempt, body []byte, kind seen.ServerAnswer) {
	conn, writer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	o.mu.Lock()
	whole, end := o.rng.IntN(2) == 0, o.rng.IntN(len(body))
	o.mu.Unlock()
	writer.WriteString("HTTP/1.1 200 OK\r\n\r\n")
	if !whole {
		o.Log.Update(func(*seen.Record) { t.Answer = seen.Corrupt })
		writer.Write(body[:end])
		writer.Flush()
		resetConn(conn)
		o.recordClose(t)
		return
	}
	writer.Write(body)
	writer.Flush()
	conn.(interface{ CloseWrite() error }).CloseWrite()
	now := o.Log.Now()
	o.Log.Update(func(*seen.Record) { t.Answer, t.AnsweredAt = kind, now })
	conn.SetReadDeadline(time.Now().Add(writeTimeout))
	discardAll(conn)
	conn.Close()
}

// originConn is a connection of the origin.
type originConn struct {
	net.Conn
	received atomic.Int64 // requests of which a byte has been received
}

type originConnKey struct{}

// withConn adds the connection to the context of its requests.
func (o *Origin) withConn(ctx context.Context, conn net.Conn) context.Context {
	c := &originConn{Conn: conn}
	o.conns.Store(conn, c)
	return context.WithValue(ctx, originConnKey{}, c)
}

// noteRequest counts the requests of a connection as their first byte arrives.
func (o *Origin) noteRequest(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		if c, known := o.conns.Load(conn); known {
			c.(*originConn).received.Add(1)
		}
	case http.StateClosed, http.StateHijacked:
		o.conns.Delete(conn)
	}
}

// maybeCopyLate sends an answer once more, or noise, a little later, unless a byte of another request has been received by then.
func (o *Origin) maybeCopyLate(r *http.Request, status string, body []byte) {
	c, known := r.Context().Value(originConnKey{}).(*originConn)
	if !known || !o.draws("late_copy") {
		return
	}
	answer := fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	received := c.received.Load()
	o.mu.Lock()
	defer o.mu.Unlock()
	copyLate(o.rng, c, answer, func() bool { return c.received.Load() == received })
}

// writeGarbage sends an invalid HTTP answer.
func (o *Origin) writeGarbage(w http.ResponseWriter) {
	conn, writer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	o.mu.Lock()
	variant := o.rng.IntN(4)
	o.mu.Unlock()
	writer.WriteString([]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 5\r\n\r\nhello",
		"\xde\xad\xbe\xef\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhello",
	}[variant])
	writer.Flush()
	conn.SetReadDeadline(time.Now().Add(writeTimeout))
	discardAll(conn)
	conn.Close()
}

// recordAnswer flushes an answer and records it.
func (o *Origin) recordAnswer(w http.ResponseWriter, t *seen.Attempt, kind seen.ServerAnswer) {
	http.NewResponseController(w).Flush()
	now := o.Log.Now()
	o.Log.Update(func(*seen.Record) { t.Answer, t.AnsweredAt = kind, now })
}

// recordClose records that an attempt has ended without an answer.
func (o *Origin) recordClose(t *seen.Attempt) {
	now := o.Log.Now()
	o.Log.Update(func(*seen.Record) { t.ClosedAt = now })
}

// resetConn closes the connection with a TCP reset, as the end of a process does.
func (o *Origin) resetConn(w http.ResponseWriter, t *seen.Attempt) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		resetConn(conn)
	}
	o.recordClose(t)
}
