package standin

import (
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

// quiet drops what the HTTP servers have to say of connections that are broken on purpose.
var quiet = log.New(io.Discard, "", 0)

// ListOptions describe the list service.
type ListOptions struct {
	Addr          string // to listen on, for each node; port 0 takes any
	Nodes         int
	ChangeDelay   time.Duration // changes show so much later
	KeptChanges   int           // changes that it remembers; 0: 1000
	SnapshotsOnly bool          // it only ever tells the whole list
	AnswerDelay   time.Duration // of a call, before it is answered
}

// List is the list service on sockets: an address for each node, so that who asks is known.
type List struct {
	*Common
	opt     ListOptions
	ports   []*port
	servers []*http.Server

	mu     sync.Mutex
	roster *world.ServerList
	delay  time.Duration
	down   bool
	garble bool
	once   string // said instead of the list, once
	cut    []chan struct{}
	lives  []int
	news   chan struct{} // closed when something changes
	timer  *time.Timer
	asks   [][]string // the values of since, by node
	shut   chan struct{}
}

// listMember is an entry on the wire.
type listMember struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type listAnswer struct {
	Revision int64        `json:"revision"`
	Complete bool         `json:"complete"`
	Members  []listMember `json:"members"`
}

// EncodeList gives a list in the protocol's form, as a node's configuration holds it.
func EncodeList(zero time.Time, revision int64, whole bool, members []world.Member) any {
	out := listAnswer{Revision: revision, Complete: whole, Members: []listMember{}}
	for _, m := range members {
		e := listMember{ID: m.ID, HostPort: m.Addr, Locality: m.Zone, Flavor: m.Kind, Cell: m.Cell, Size: m.Weight,
			Phase: [...]string{"SERVING", "DRAINING", "DELETED"}[m.Phase]}
		if m.Started > 0 {
			e.UpSince = zero.Add(m.Started).UnixMilli()
		}
		out.Members = append(out.Members, e)
	}
	return out
}

// NewList starts the service.
func NewList(common *Common, opt ListOptions, members ...world.Member) (*List, error) {
	if opt.KeptChanges == 0 {
		opt.KeptChanges = 1000
	}
	l := &List{Common: common, opt: opt, roster: world.NewServerList(opt.KeptChanges, members...), delay: opt.ChangeDelay,
		cut: make([]chan struct{}, opt.Nodes), lives: make([]int, opt.Nodes), news: make(chan struct{}),
		asks: make([][]string, opt.Nodes), shut: make(chan struct{})}
	l.timer = time.AfterFunc(time.Hour, l.NotifyWatchers)
	for n := range opt.Nodes {
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.handle(n, w, r) }), ErrorLog: quiet}
		p, err := servePort(opt.Addr, s)
		if err != nil {
			l.Close()
			return nil, err
		}
		l.ports, l.servers = append(l.ports, p), append(l.servers, s)
	}
	return l, nil
}

// Addr is where a node finds it.
func (l *List) Addr(node int) string { return l.ports[node].addr }

// Set changes an entry, to be seen after the delay.
func (l *List) Set(m world.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roster.Set(l.Log.Now(), l.delay, m)
	l.tell()
}

// Replace makes the list another one at once: who is not in it is gone.
func (l *List) Replace(members ...world.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Log.Now()
	named := map[string]bool{}
	for _, m := range members {
		named[m.ID] = true
		l.roster.Set(now, 0, m)
	}
	_, old := l.roster.Snapshot(now)
	for _, m := range old {
		if !named[m.ID] {
			m.Phase = world.Deleted
			l.roster.Set(now, 0, m)
		}
	}
	l.tell()
}

// Members is the list as it shows now.
func (l *List) Members() (revision int64, members []world.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.Snapshot(l.Log.Now())
}

// SetDown takes the service down, or up again.
func (l *List) SetDown(on bool) { l.change(func() { l.down = on }) }

// RefuseConns has connections refused, or taken again. Those that stand are not touched: Down has their calls turned away.
func (l *List) RefuseConns(on bool) error {
	var errs []error
	for _, p := range l.ports {
		errs = append(errs, p.refuse(on))
	}
	return errors.Join(errs...)
}

// SetGarbled makes it talk nonsense.
func (l *List) SetGarbled(on bool) { l.change(func() { l.garble = on }) }

// AnswerOnce makes it answer the next call with this, whatever it is.
func (l *List) AnswerOnce(body string) { l.change(func() { l.once = body }) }

// Lag makes changes show so much later, beyond the usual.
func (l *List) Lag(d time.Duration) { l.change(func() { l.delay = l.opt.ChangeDelay + d }) }

// Cut keeps everything from a node: its calls get no answer, until that ends with a reset.
func (l *List) Cut(node int, on bool) {
	l.change(func() {
		if on && l.cut[node] == nil {
			l.cut[node] = make(chan struct{})
		} else if !on && l.cut[node] != nil {
			close(l.cut[node])
			l.cut[node] = nil
		}
	})
}

// SetGeneration says which process of a node is running from now on.
func (l *List) SetGeneration(node, life int) { l.change(func() { l.lives[node] = life }) }

// SinceValues gives the values of since in a node's calls.
func (l *List) SinceValues(node int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.asks[node]...)
}

// Close gives everything back.
func (l *List) Close() {
	l.mu.Lock()
	select {
	case <-l.shut:
	default:
		close(l.shut)
	}
	l.timer.Stop()
	l.mu.Unlock()
	for i := range l.ports {
		l.servers[i].Close()
		l.ports[i].close()
	}
}

func (l *List) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.tell()
}

// NotifyWatchers looks for changes that show by now.
func (l *List) NotifyWatchers() { l.change(func() {}) }

// tell wakes all who wait, and sets the timer for the next change that will show.
func (l *List) tell() {
	close(l.news)
	l.news = make(chan struct{})
	if at, ok := l.roster.NextVisible(); ok {
		l.timer.Reset(max(0, at-l.Log.Now()))
	}
}

// handle is one call.
func (l *List) handle(node int, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" || r.Method != "GET" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	since, watch := int64(-1), r.URL.Query().Has("since")
	if watch {
		since, _ = strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	l.mu.Lock()
	arrived := l.cut[node] // a call that arrives under a cut belongs to it, however soon the cut ends
	call := &seen.ListCall{Node: node, Generation: l.lives[node], From: l.Log.Now()}
	l.asks[node] = append(l.asks[node], r.URL.Query().Get("since"))
	l.mu.Unlock()
	l.Log.Update(func(rec *seen.Record) { rec.ListCalls = append(rec.ListCalls, call) })
	if l.opt.AnswerDelay > 0 {
		time.Sleep(l.opt.AnswerDelay)
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	expired := !watch
	for {
		l.mu.Lock()
		now := l.Log.Now()
		cut, news := cmp.Or(arrived, l.cut[node]), l.news
		down, garble, once := l.down, l.garble, l.once
		at := l.roster.Revision(now)
		fresh := !watch || at != since
		answer := listAnswer{Members: []listMember{}}
		var members []world.Member
		if fresh || expired {
			members, answer = l.answer(now, since, watch)
			if cut == nil {
				l.once = ""
			}
		}
		l.mu.Unlock()
		switch {
		case cut != nil:
			select {
			case <-cut:
				hangUp(w)
				return
			case <-r.Context().Done():
				return
			case <-l.shut:
				return
			}
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			l.finish(call, false)
			return
		case once != "", garble:
			if once == "" {
				once = `{"revision":-1,"complete":true,"members":[{"id":"","phase":"?"`
			}
			l.mu.Lock()
			l.once = ""
			l.mu.Unlock()
			io.WriteString(w, once)
			l.finish(call, false)
			return
		case fresh || expired:
			body, _ := json.Marshal(answer)
			w.Write(append(body, '\n'))
			http.NewResponseController(w).Flush()
			told := seen.ListUpdate{Node: node, Generation: call.Generation, At: l.Log.Now(), Revision: answer.Revision, Snapshot: answer.Complete, Members: members}
			l.Log.Update(func(rec *seen.Record) { rec.ListUpdates = append(rec.ListUpdates, told) })
			l.finish(call, true)
			return
		}
		select {
		case <-news:
		case <-end.C:
			expired = true
		case <-r.Context().Done():
			l.finish(call, false)
			return
		case <-l.shut:
			return
		}
	}
}

// answer is what a call is told now.
func (l *List) answer(now time.Duration, since int64, watch bool) ([]world.Member, listAnswer) {
	if watch && !l.opt.SnapshotsOnly {
		if at, changes, known := l.roster.ChangesSince(now, since); known {
			return changes, EncodeList(l.Log.StartTime(), at, false, changes).(listAnswer)
		}
	}
	at, all := l.roster.Snapshot(now)
	if watch && l.opt.SnapshotsOnly && at == since {
		return nil, listAnswer{Revision: at, Members: []listMember{}}
	}
	return all, EncodeList(l.Log.StartTime(), at, true, all).(listAnswer)
}

func (l *List) finish(c *seen.ListCall, ok bool) {
	now := l.Log.Now()
	l.Log.Update(func(*seen.Record) { c.To, c.OK = now, ok })
}

func hangUp(w http.ResponseWriter) {
	var conn net.Conn
	var err error
	if conn, _, err = http.NewResponseController(w).Hijack(); err == nil {
		reset(conn)
	}
}
