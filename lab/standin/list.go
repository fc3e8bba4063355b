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

// discardLog drops the HTTP servers' log lines about connections that are broken on purpose.
var discardLog = log.New(io.Discard, "", 0)

// ListOptions configures a list service.
type ListOptions struct {
	Addr          string // to listen on, for each node; port 0 picks a free one
	Nodes         int
	ChangeDelay   time.Duration // delay until a change becomes visible
	KeptChanges   int           // number of changes kept for watches; 0: 1000
	SnapshotsOnly bool          // answers always hold the whole list
	AnswerDelay   time.Duration // delay before a call is handled
}

// List is the list service on sockets. It has an address for each node, which identifies the caller.
type List struct {
	*Common
	opt       ListOptions
	listeners []*faultListener
	servers   []*http.Server

	mu          sync.Mutex
	serverList  *world.ServerList
	changeDelay time.Duration
	down        bool
	garbled     bool
	onceAnswer  string          // body of the next answer, instead of the list
	cutOff      []chan struct{} // by node; closed at the end of the cut, nil without one
	generations []int
	changed     chan struct{} // closed and replaced at each change
	timer       *time.Timer
	sinceValues [][]string // the since parameters received, by node
	closed      chan struct{}
}

// listMember is a server's entry in an answer.
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

// EncodeList returns a server list in the form that the list service answers and a node's configuration holds.
func EncodeList(startTime time.Time, revision int64, complete bool, members []world.Member) any {
	out := listAnswer{Revision: revision, Complete: complete, Members: []listMember{}}
	for _, m := range members {
		e := listMember{ID: m.ID, HostPort: m.Addr, Locality: m.Zone, Flavor: m.Kind, Cell: m.Cell, Size: m.Weight,
			Phase: [...]string{"SERVING", "DRAINING", "DELETED"}[m.Phase]}
		if m.Started > 0 {
			e.UpSince = startTime.Add(m.Started).UnixMilli()
		}
		out.Members = append(out.Members, e)
	}
	return out
}

// NewList starts a list service.
func NewList(common *Common, opt ListOptions, members ...world.Member) (*List, error) {
	if opt.KeptChanges == 0 {
		opt.KeptChanges = 1000
	}
	l := &List{Common: common, opt: opt, serverList: world.NewServerList(opt.KeptChanges, members...), changeDelay: opt.ChangeDelay,
		cutOff: make([]chan struct{}, opt.Nodes), generations: make([]int, opt.Nodes), changed: make(chan struct{}),
		sinceValues: make([][]string, opt.Nodes), closed: make(chan struct{})}
	l.timer = time.AfterFunc(time.Hour, l.NotifyWatchers)
	for n := range opt.Nodes {
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.handle(n, w, r) }), ErrorLog: discardLog}
		p, err := serveHTTP(opt.Addr, network{}, s)
		if err != nil {
			l.Close()
			return nil, err
		}
		l.listeners, l.servers = append(l.listeners, p), append(l.servers, s)
	}
	return l, nil
}

// Addr returns the address of the service for a node.
func (l *List) Addr(node int) string { return l.listeners[node].addr }

// Set changes an entry, which becomes visible after the change delay.
func (l *List) Set(m world.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serverList.Set(l.Log.Now(), l.changeDelay, m)
	l.wakeWatchers()
}

// Replace replaces the list at once: servers that are not among the members are deleted.
func (l *List) Replace(members ...world.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Log.Now()
	listed := map[string]bool{}
	for _, m := range members {
		listed[m.ID] = true
		l.serverList.Set(now, 0, m)
	}
	_, old := l.serverList.Snapshot(now)
	for _, m := range old {
		if !listed[m.ID] {
			m.Phase = world.Deleted
			l.serverList.Set(now, 0, m)
		}
	}
	l.wakeWatchers()
}

// Members returns the list that is visible now.
func (l *List) Members() (revision int64, members []world.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serverList.Snapshot(l.Log.Now())
}

// SetDown makes the service answer all calls with 503, or ends that.
func (l *List) SetDown(on bool) { l.change(func() { l.down = on }) }

// RefuseConns refuses new connections, or accepts them again. Open connections stay; SetDown fails their calls.
func (l *List) RefuseConns(on bool) error {
	var errs []error
	for _, p := range l.listeners {
		errs = append(errs, p.setRefusing(on))
	}
	return errors.Join(errs...)
}

// SetGarbled makes the service answer with invalid JSON.
func (l *List) SetGarbled(on bool) { l.change(func() { l.garbled = on }) }

// AnswerOnce sets the body of the next answer.
func (l *List) AnswerOnce(body string) { l.change(func() { l.onceAnswer = body }) }

// Lag sets a delay of changes in addition to ListOptions.ChangeDelay.
func (l *List) Lag(d time.Duration) { l.change(func() { l.changeDelay = l.opt.ChangeDelay + d }) }

// Cut cuts a node off: its calls get no answer, and are reset when the cut ends.
func (l *List) Cut(node int, on bool) {
	l.change(func() {
		if on && l.cutOff[node] == nil {
			l.cutOff[node] = make(chan struct{})
		} else if !on && l.cutOff[node] != nil {
			close(l.cutOff[node])
			l.cutOff[node] = nil
		}
	})
}

// SetGeneration sets the number of the node's process that makes calls from now on.
func (l *List) SetGeneration(node, generation int) {
	l.change(func() { l.generations[node] = generation })
}

// SinceValues returns the since parameters of a node's calls, in order.
func (l *List) SinceValues(node int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.sinceValues[node]...)
}

// Close ends the stand-in and releases its resources.
func (l *List) Close() {
	l.mu.Lock()
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	l.timer.Stop()
	l.mu.Unlock()
	for i := range l.listeners {
		l.servers[i].Close()
		l.listeners[i].close()
	}
}

func (l *List) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.wakeWatchers()
}

// NotifyWatchers makes waiting calls look for changes that have become visible.
func (l *List) NotifyWatchers() { l.change(func() {}) }

// wakeWatchers wakes all waiting calls, and sets the timer for the next change that becomes visible.
func (l *List) wakeWatchers() {
	close(l.changed)
	l.changed = make(chan struct{})
	if at, ok := l.serverList.NextVisible(); ok {
		l.timer.Reset(max(0, at-l.Log.Now()))
	}
}

// handle handles one call of a node.
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
	cutOnArrival := l.cutOff[node] // a call that arrives during a cut is cut off, however soon the cut ends
	call := &seen.ListCall{Node: node, Generation: l.generations[node], From: l.Log.Now()}
	l.sinceValues[node] = append(l.sinceValues[node], r.URL.Query().Get("since"))
	l.mu.Unlock()
	l.Log.Update(func(rec *seen.Record) { rec.ListCalls = append(rec.ListCalls, call) })
	if l.opt.AnswerDelay > 0 {
		time.Sleep(l.opt.AnswerDelay)
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	expired := !watch
	for {
		l.mu.Lock()
		now := l.Log.Now()
		cut, changed := cmp.Or(cutOnArrival, l.cutOff[node]), l.changed
		down, garbled, onceAnswer := l.down, l.garbled, l.onceAnswer
		revision := l.serverList.Revision(now)
		fresh := !watch || revision != since
		answer := listAnswer{Members: []listMember{}}
		var members []world.Member
		if fresh || expired {
			members, answer = l.answer(now, since, watch)
			if cut == nil {
				l.onceAnswer = ""
			}
		}
		l.mu.Unlock()
		switch {
		case cut != nil:
			select {
			case <-cut:
				resetHTTPConn(w)
				return
			case <-r.Context().Done():
				return
			case <-l.closed:
				return
			}
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			l.recordCallEnd(call, false)
			return
		case onceAnswer != "", garbled:
			if onceAnswer == "" {
				onceAnswer = `{"revision":-1,"complete":true,"members":[{"id":"","phase":"?"`
			}
			l.mu.Lock()
			l.onceAnswer = ""
			l.mu.Unlock()
			io.WriteString(w, onceAnswer)
			l.recordCallEnd(call, false)
			return
		case fresh || expired:
			body, _ := json.Marshal(answer)
			w.Write(append(body, '\n'))
			http.NewResponseController(w).Flush()
			update := seen.ListUpdate{Node: node, Generation: call.Generation, At: l.Log.Now(), Revision: answer.Revision, Snapshot: answer.Complete, Members: members}
			l.Log.Update(func(rec *seen.Record) { rec.ListUpdates = append(rec.ListUpdates, update) })
			l.recordCallEnd(call, true)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			l.recordCallEnd(call, false)
			return
		case <-l.closed:
			return
		}
	}
}

// answer returns the answer to a call at the present time, and the members in it.
func (l *List) answer(now time.Duration, since int64, watch bool) ([]world.Member, listAnswer) {
	if watch && !l.opt.SnapshotsOnly {
		if at, changes, known := l.serverList.ChangesSince(now, since); known {
			return changes, EncodeList(l.Log.StartTime(), at, false, changes).(listAnswer)
		}
	}
	at, all := l.serverList.Snapshot(now)
	if watch && l.opt.SnapshotsOnly && at == since {
		return nil, listAnswer{Revision: at, Members: []listMember{}}
	}
	return all, EncodeList(l.Log.StartTime(), at, true, all).(listAnswer)
}

func (l *List) recordCallEnd(c *seen.ListCall, ok bool) {
	now := l.Log.Now()
	l.Log.Update(func(*seen.Record) { c.To, c.OK = now, ok })
}

func resetHTTPConn(w http.ResponseWriter) {
	var conn net.Conn
	var err error
	if conn, _, err = http.NewResponseController(w).Hijack(); err == nil {
		resetConn(conn)
	}
}
