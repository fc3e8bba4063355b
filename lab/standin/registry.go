package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

// RegistryOptions describe a key-value registry.
type RegistryOptions struct {
	Addr             string // to listen on, for each endpoint and node; port 0 takes any
	Endpoints        int
	Nodes            int           // each has its own addresses, so that who asks is known
	Prefix           string        // of the servers' keys
	Token            string        // wanted with each request; empty: none
	ProgressInterval time.Duration // between progress notices of a quiet watch; 0: none
}

// Registry plays a key-value registry of several endpoints: the JSON gateway of etcd v3 and the blocking reads of Consul,
// over one store. Its endpoints can lag, fall silent, be down or talk nonsense.
type Registry struct {
	*Common
	opt     RegistryOptions
	ports   []*port // by endpoint, then node
	servers []*http.Server

	mu    sync.Mutex
	store *world.Store
	save  *world.Store // a backup
	lags  []int64
	ends  []endState
	twice bool // changes are told again, and a progress goes ahead of what it speaks of
	split bool // answers come in small pieces
	drip  time.Duration
	cut   []chan struct{} // by node
	lives []int
	news  chan struct{}
	timer *time.Timer
	rng   *rand.Rand
	shut  chan struct{}
	calls int
	bytes int64
	waits atomic.Int64
}

type endState struct {
	down, mute, garble bool
	unmute             chan struct{}
}

// ServerEntry is a server's entry in a registry: a JSON object, as docs/registry.md describes it.
type ServerEntry struct {
	ID          string   `json:"id"`
	Addr        string   `json:"addr"`
	Zone        string   `json:"zone,omitempty"`
	Kind        string   `json:"kind,omitempty"`
	Cell        int      `json:"cell,omitempty"`
	Phase       string   `json:"phase,omitempty"`
	Weight      *float64 `json:"weight,omitempty"`
	StartMillis int64    `json:"start_ms,omitempty"`
}

// EncodeEntry writes a member as a registry holds it.
func EncodeEntry(zero time.Time, m world.Member) []byte {
	w := m.Weight
	e := ServerEntry{ID: m.ID, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Weight: &w}
	if m.Phase == world.Draining {
		e.Phase = "draining"
	}
	if m.Started > 0 {
		e.StartMillis = zero.Add(m.Started).UnixMilli()
	}
	text, _ := json.Marshal(e)
	return text
}

// memberOf reads one back.
func memberOf(zero time.Time, text []byte) (world.Member, bool) {
	var e ServerEntry
	if json.Unmarshal(text, &e) != nil || e.ID == "" {
		return world.Member{}, false
	}
	m := world.Member{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: 1}
	if e.Weight != nil {
		m.Weight = *e.Weight
	}
	if e.Phase == "draining" {
		m.Phase = world.Draining
	}
	if e.StartMillis > 0 {
		m.Started = time.UnixMilli(e.StartMillis).Sub(zero)
	}
	return m, true
}

// NewRegistry starts one, with an empty store.
func NewRegistry(common *Common, opt RegistryOptions) (*Registry, error) {
	r := &Registry{Common: common, opt: opt, store: world.NewStore(), lags: make([]int64, opt.Endpoints), ends: make([]endState, opt.Endpoints),
		cut: make([]chan struct{}, opt.Nodes), lives: make([]int, opt.Nodes), news: make(chan struct{}), shut: make(chan struct{}), rng: world.RandomStream(common.Seed, "registry")}
	r.timer = time.AfterFunc(time.Hour, r.lapse)
	for end := range opt.Endpoints {
		for node := range opt.Nodes {
			s := &http.Server{ErrorLog: quiet, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.handle(end, node, w, q) })}
			p, err := servePort(opt.Addr, s)
			if err != nil {
				r.Close()
				return nil, err
			}
			r.ports, r.servers = append(r.ports, p), append(r.servers, s)
		}
	}
	return r, nil
}

// Endpoints is where a node finds the endpoints.
func (r *Registry) Endpoints(node int) (all []string) {
	for end := range r.opt.Endpoints {
		all = append(all, r.ports[end*r.opt.Nodes+node].addr)
	}
	return all
}

// UpdateStore changes the store and wakes who watches.
func (r *Registry) UpdateStore(f func(now time.Duration, s *world.Store)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.Log.Now(), r.store)
	r.tell()
}

func (r *Registry) tell() {
	close(r.news)
	r.news = make(chan struct{})
	if at, ok := r.store.NextExpiry(); ok {
		r.timer.Reset(max(0, at-r.Log.Now()) + time.Millisecond)
	}
}

func (r *Registry) lapse() {
	r.UpdateStore(func(now time.Duration, s *world.Store) { s.ExpireLeases(now) })
}

// Set puts a server's entry, or takes it out.
func (r *Registry) Set(m world.Member) {
	r.UpdateStore(func(_ time.Duration, s *world.Store) {
		if m.Phase == world.Deleted {
			s.Delete(r.opt.Prefix + m.ID)
		} else {
			s.Put(r.opt.Prefix+m.ID, EncodeEntry(r.Log.StartTime(), m), 0)
		}
	})
}

// Members are the servers as the store has them now, and its revision.
func (r *Registry) Members() (int64, []world.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Revision(), r.members(0)
}

func (r *Registry) members(rev int64) (all []world.Member) {
	kvs, _, _ := r.store.Range(r.opt.Prefix, prefixEnd(r.opt.Prefix), rev, 0)
	for _, kv := range kvs {
		if m, ok := memberOf(r.Log.StartTime(), kv.Value); ok {
			all = append(all, m)
		}
	}
	return all
}

// prefixEnd is the smallest key behind all that begin with a prefix.
func prefixEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return ""
}

// Compact forgets all but the last changes.
func (r *Registry) Compact(keep int64) {
	r.UpdateStore(func(_ time.Duration, s *world.Store) { s.Compact(s.Revision() - keep) })
}

// DeleteAll takes out all servers.
func (r *Registry) DeleteAll() {
	r.UpdateStore(func(_ time.Duration, s *world.Store) { s.Delete(r.opt.Prefix) })
}

// SaveBackup keeps a backup, Restore puts it in the store's place and breaks all watches.
func (r *Registry) SaveBackup() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.save = r.store.Backup()
}

// RestoreBackup puts the backup in the store's place and breaks all watches.
func (r *Registry) RestoreBackup() {
	r.mu.Lock()
	if r.save != nil {
		r.store = r.save.Backup()
	}
	r.tell() // the handlers see that the store they follow has gone
	r.mu.Unlock()
}

// Lag makes an endpoint tell of what was so many changes ago.
func (r *Registry) Lag(end int, changes int64) { r.change(func() { r.lags[end] = changes }) }

// SetDown makes an endpoint answer 503, and breaks what waits there.
func (r *Registry) SetDown(end int, on bool) { r.change(func() { r.ends[end].down = on }) }

// SetGarbled makes an endpoint talk nonsense.
func (r *Registry) SetGarbled(end int, on bool) { r.change(func() { r.ends[end].garble = on }) }

// SetMuted makes an endpoint say nothing more, on what stands as on what comes; when it is back, that is reset.
func (r *Registry) SetMuted(end int, on bool) {
	r.change(func() {
		e := &r.ends[end]
		if on && !e.mute {
			e.mute, e.unmute = true, make(chan struct{})
		} else if !on && e.mute {
			e.mute = false
			close(e.unmute)
		}
	})
}

// Cut keeps everything from a node, until that ends with a reset.
func (r *Registry) Cut(node int, on bool) {
	r.change(func() {
		if on && r.cut[node] == nil {
			r.cut[node] = make(chan struct{})
		} else if !on && r.cut[node] != nil {
			close(r.cut[node])
			r.cut[node] = nil
		}
	})
}

// RepeatEvents makes it tell changes again and let a progress go ahead of them; Split sends answers in small pieces, each after a
// while.
func (r *Registry) RepeatEvents(on bool) { r.change(func() { r.twice = on }) }

// SplitAnswers sends answers in pieces of a few bytes, each after a while.
func (r *Registry) SplitAnswers(on bool, drip time.Duration) {
	r.change(func() { r.split, r.drip = on, drip })
}

// SetGeneration says which process of a node is running from now on.
func (r *Registry) SetGeneration(node, life int) { r.change(func() { r.lives[node] = life }) }

// CallCounts is how many requests have come, and how many bytes were answered.
func (r *Registry) CallCounts() (int, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls, r.bytes
}

// WaitCount is how often a call has come to wait for changes, with all done that comes before.
func (r *Registry) WaitCount() int64 { return r.waits.Load() }

func (r *Registry) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	r.tell()
}

// Close gives everything back.
func (r *Registry) Close() {
	r.mu.Lock()
	select {
	case <-r.shut:
	default:
		close(r.shut)
	}
	r.timer.Stop()
	r.mu.Unlock()
	for i := range r.ports {
		r.servers[i].Close()
		r.ports[i].close()
	}
}

// exchange is one request being answered.
type exchange struct {
	r    *Registry
	end  int
	node int
	w    http.ResponseWriter
	q    *http.Request
	call *seen.ListCall
	from *world.Store // that it began with: a restore ends it
	said bool         // a part of the answer is out
}

func (r *Registry) handle(end, node int, w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	r.calls++
	x := &exchange{r: r, end: end, node: node, w: w, q: q, from: r.store,
		call: &seen.ListCall{Node: node, Generation: r.lives[node], From: r.Log.Now()}}
	r.mu.Unlock()
	r.Log.Update(func(rec *seen.Record) { rec.ListCalls = append(rec.ListCalls, x.call) })
	body, err := io.ReadAll(io.LimitReader(q.Body, 1<<20))
	if err != nil || !x.alive() {
		return
	}
	token := q.Header.Get("Authorization") + q.Header.Get("X-Consul-Token")
	switch {
	case r.opt.Token != "" && token == "":
		x.fail(http.StatusUnauthorized, 16, "etcdserver: user name is empty")
	case r.opt.Token != "" && token != r.opt.Token:
		x.fail(http.StatusForbidden, 7, "etcdserver: permission denied")
	case strings.HasPrefix(q.URL.Path, "/v1/"):
		x.consul(body)
	default:
		x.etcd(body)
	}
	now := r.Log.Now()
	r.Log.Update(func(*seen.Record) { x.call.To = now })
}

// alive says nothing for as long as the endpoint is mute, and ends what is down or garbled; false: it is over.
func (x *exchange) alive() bool {
	x.r.mu.Lock()
	e := x.r.ends[x.end]
	if cut := x.r.cut[x.node]; cut != nil {
		e.mute, e.unmute = true, cut
	}
	over := x.r.store != x.from
	x.r.mu.Unlock()
	switch {
	case e.mute:
		select {
		case <-e.unmute:
		case <-x.q.Context().Done():
		case <-x.r.shut:
		}
		hangUp(x.w)
		return false
	case x.said && (e.down || over):
		hangUp(x.w)
		return false
	case e.down, over:
		x.fail(http.StatusServiceUnavailable, 14, "etcdserver: no leader")
		return false
	case e.garble:
		x.r.mu.Lock()
		which := x.r.rng.IntN(5)
		x.r.mu.Unlock()
		if which == 4 { // a body without end
			x.w.WriteHeader(200)
			for range 1 << 16 {
				if _, err := x.w.Write([]byte(strings.Repeat("[", 1024))); err != nil {
					break
				}
			}
			return false
		}
		x.w.Header().Set("X-Consul-Index", "-7")
		io.WriteString(x.w, []string{`{"header":{"revision":"-3"},"kvs":[]}`, `{"header":`, "\xde\xad\xbe\xef",
			`{"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"!!","value":"%%","mod_revision":"9"}}]}}`}[which])
		return false
	}
	return true
}

func (x *exchange) fail(status, code int, why string) {
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(status)
	fmt.Fprintf(x.w, `{"error":%q,"code":%d,"message":%q}`, why, code, why)
}

// broken reports whether something is wrong with the endpoint, or the way to it.
func (x *exchange) broken() bool {
	e := x.r.ends[x.end]
	return x.r.store != x.from || e.down || e.garble || e.mute || x.r.cut[x.node] != nil
}

// visible is the newest revision that an endpoint tells of.
func (x *exchange) visible() int64 { return max(1, x.r.store.Revision()-x.r.lags[x.end]) }

// send writes an answer, or a piece of a stream.
func (x *exchange) send(text []byte) error {
	x.said = true
	x.r.mu.Lock()
	x.r.bytes += int64(len(text))
	split, drip := x.r.split, x.r.drip
	x.r.mu.Unlock()
	out := http.NewResponseController(x.w)
	for len(text) > 0 {
		n := len(text)
		if split {
			x.r.mu.Lock()
			n = min(n, 1+x.r.rng.IntN(40))
			x.r.mu.Unlock()
		}
		if _, err := x.w.Write(text[:n]); err != nil {
			return err
		}
		out.Flush()
		if text = text[n:]; split && drip > 0 && len(text) > 0 {
			time.Sleep(drip)
		}
	}
	return nil
}

// told notes what a node has been told.
func (x *exchange) told(rev int64, whole bool, members []world.Member) {
	t := seen.ListUpdate{Node: x.node, Generation: x.call.Generation, At: x.r.Log.Now(), Revision: rev, Snapshot: whole, Members: members}
	x.r.Log.Update(func(rec *seen.Record) {
		rec.ListUpdates = append(rec.ListUpdates, t)
		x.call.OK = true
	})
}

// etcd answers the JSON gateway's requests.
func (x *exchange) etcd(body []byte) {
	r := x.r
	switch x.q.URL.Path {
	case "/v3/kv/range":
		x.etcdRange(body)
	case "/v3/watch":
		x.etcdWatch(body)
	case "/v3/kv/put":
		var in struct {
			Key, Value []byte
			Lease      int64 `json:",string"`
		}
		if json.Unmarshal(body, &in) != nil {
			x.fail(http.StatusBadRequest, 3, "bad request")
			return
		}
		var err error
		r.UpdateStore(func(_ time.Duration, s *world.Store) { _, err = s.Put(string(in.Key), in.Value, in.Lease) })
		x.done(map[string]any{}, err)
	case "/v3/lease/grant":
		var in struct {
			TTL int64 `json:",string"`
		}
		if json.Unmarshal(body, &in) != nil || in.TTL <= 0 {
			x.fail(http.StatusBadRequest, 3, "bad request")
			return
		}
		var id int64
		r.UpdateStore(func(now time.Duration, s *world.Store) { id = s.GrantLease(now, time.Duration(in.TTL)*time.Second) })
		x.done(map[string]any{"ID": strconv.FormatInt(id, 10), "TTL": strconv.FormatInt(in.TTL, 10)}, nil)
	case "/v3/lease/keepalive":
		id := leaseID(body)
		var ttl time.Duration
		var err error
		r.UpdateStore(func(now time.Duration, s *world.Store) { ttl, err = s.KeepAlive(now, id) })
		if err != nil {
			ttl = 0 // as the gateway has it: a lease that is gone has no time left
		}
		x.done(map[string]any{"result": map[string]any{"header": x.header(), "ID": strconv.FormatInt(id, 10), "TTL": strconv.FormatInt(int64(ttl/time.Second), 10)}}, nil)
	case "/v3/lease/revoke", "/v3/kv/lease/revoke":
		var err error
		id := leaseID(body)
		r.UpdateStore(func(_ time.Duration, s *world.Store) { err = s.Revoke(id) })
		x.done(map[string]any{}, err)
	default:
		x.fail(http.StatusNotFound, 5, "Not Found")
	}
}

func leaseID(body []byte) int64 {
	var in struct {
		ID int64 `json:",string"`
	}
	json.Unmarshal(body, &in)
	return in.ID
}

func (x *exchange) header() map[string]any {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	return map[string]any{"cluster_id": "14841639068965178418", "member_id": strconv.Itoa(x.end + 1), "raft_term": "2",
		"revision": strconv.FormatInt(x.visible(), 10)}
}

// done answers a request that changes something.
func (x *exchange) done(out map[string]any, err error) {
	if err != nil {
		x.fail(http.StatusBadRequest, 5, "etcdserver: "+err.Error())
		return
	}
	if out["result"] == nil {
		out["header"] = x.header()
	}
	text, _ := json.Marshal(out)
	x.send(text)
}

type wireKV struct {
	Key     []byte `json:"key"`
	Create  string `json:"create_revision,omitempty"`
	Mod     string `json:"mod_revision"`
	Version string `json:"version,omitempty"`
	Value   []byte `json:"value,omitempty"`
	Lease   string `json:"lease,omitempty"`
}

func wireOf(kv world.KV) wireKV {
	num := func(n int64) string {
		if n == 0 {
			return ""
		}
		return strconv.FormatInt(n, 10)
	}
	return wireKV{[]byte(kv.Key), num(kv.CreateRevision), num(kv.ModRevision), num(kv.Version), kv.Value, num(kv.Lease)}
}

func (x *exchange) etcdRange(body []byte) {
	r := x.r
	var in struct {
		Key      []byte
		RangeEnd []byte `json:"range_end"`
		Limit    int    `json:",string"`
		Revision int64  `json:",string"`
	}
	if json.Unmarshal(body, &in) != nil {
		x.fail(http.StatusBadRequest, 3, "bad request")
		return
	}
	r.mu.Lock()
	rev := x.visible()
	at := rev
	if in.Revision > 0 {
		at = in.Revision
	}
	kvs, more, err := r.store.Range(string(in.Key), string(in.RangeEnd), at, in.Limit)
	if at > rev {
		err = world.ErrFuture
	}
	var members []world.Member
	if !more && err == nil {
		members = r.members(at)
	}
	r.mu.Unlock()
	if err != nil {
		x.fail(http.StatusBadRequest, 11, "etcdserver: mvcc: "+err.Error())
		return
	}
	out := map[string]any{"header": x.header(), "count": strconv.Itoa(len(kvs))}
	if more {
		out["more"] = true
	}
	var list []wireKV
	for _, kv := range kvs {
		list = append(list, wireOf(kv))
	}
	if list != nil {
		out["kvs"] = list
	}
	text, _ := json.Marshal(out)
	if x.send(text) == nil && !more {
		x.told(at, true, members)
	}
}

type wireEvent struct {
	Type string `json:"type,omitempty"`
	KV   wireKV `json:"kv"`
}

func (x *exchange) etcdWatch(body []byte) {
	r := x.r
	var in struct {
		Create struct {
			Key   []byte
			Start int64 `json:"start_revision,string"`
		} `json:"create_request"`
	}
	if json.Unmarshal(body, &in) != nil {
		x.fail(http.StatusBadRequest, 3, "bad request")
		return
	}
	result := func(more map[string]any) []byte {
		more["header"] = x.header()
		text, _ := json.Marshal(map[string]any{"result": more})
		return append(text, '\n')
	}
	next := in.Create.Start
	if x.send(result(map[string]any{"created": true, "watch_id": "0"})) != nil {
		return
	}
	progress := time.NewTicker(max(time.Hour, r.opt.ProgressInterval))
	if r.opt.ProgressInterval > 0 {
		progress.Reset(r.opt.ProgressInterval)
	}
	defer progress.Stop()
	for {
		r.mu.Lock()
		rev, news, twice := x.visible(), r.news, r.twice
		events, err := r.store.ChangesSince(next, rev, string(in.Create.Key))
		compacted := r.store.Compacted()
		broken := x.broken()
		r.mu.Unlock()
		if broken && !x.alive() {
			return
		}
		if err != nil {
			x.send(result(map[string]any{"canceled": true, "compact_revision": strconv.FormatInt(compacted, 10)}))
			return
		}
		if len(events) > 0 {
			if twice { // a progress ahead of what it speaks of, and then the changes, twice
				x.send(result(map[string]any{"watch_id": "0"}))
			}
			var list []wireEvent
			var members []world.Member
			for _, e := range events {
				w := wireEvent{KV: wireOf(e.KV)}
				if e.Deleted {
					w.Type = "DELETE"
					members = append(members, world.Member{ID: strings.TrimPrefix(e.KV.Key, r.opt.Prefix), Phase: world.Deleted})
				} else if m, ok := memberOf(r.Log.StartTime(), e.KV.Value); ok {
					members = append(members, m)
				}
				list = append(list, w)
			}
			times := 1
			if twice {
				times = 2
			}
			for range times {
				if x.send(result(map[string]any{"watch_id": "0", "events": list})) != nil {
					return
				}
			}
			x.told(rev, false, members)
		}
		next = max(next, rev+1)
		r.waits.Add(1)
		select {
		case <-news:
		case <-progress.C:
			r.mu.Lock()
			current := x.visible() < next
			r.mu.Unlock()
			if current && x.send(result(map[string]any{"watch_id": "0"})) != nil {
				return
			}
		case <-x.q.Context().Done():
			return
		case <-r.shut:
			return
		}
	}
}

// consul answers reads of keys, blocking ones among them, and what sessions need.
func (x *exchange) consul(body []byte) {
	r := x.r
	path := strings.TrimPrefix(x.q.URL.Path, "/v1/")
	switch {
	case x.q.Method == "PUT" && path == "session/create":
		var in struct{ TTL string }
		json.Unmarshal(body, &in)
		ttl, err := time.ParseDuration(in.TTL)
		if err != nil {
			http.Error(x.w, "bad TTL", http.StatusBadRequest)
			return
		}
		var id int64
		r.UpdateStore(func(now time.Duration, s *world.Store) { id = s.GrantLease(now, ttl) })
		fmt.Fprintf(x.w, `{"ID":"%d"}`, id)
	case x.q.Method == "PUT" && strings.HasPrefix(path, "session/"):
		verb, text, _ := strings.Cut(strings.TrimPrefix(path, "session/"), "/")
		id, _ := strconv.ParseInt(text, 10, 64)
		var err error
		r.UpdateStore(func(now time.Duration, s *world.Store) {
			if verb == "renew" {
				_, err = s.KeepAlive(now, id)
			} else {
				err = s.Revoke(id)
			}
		})
		if err != nil && verb == "renew" {
			http.Error(x.w, "Session id not found", http.StatusNotFound)
			return
		}
		io.WriteString(x.w, "true")
	case x.q.Method == "PUT" && strings.HasPrefix(path, "kv/"):
		lease, _ := strconv.ParseInt(x.q.URL.Query().Get("acquire"), 10, 64)
		var err error
		r.UpdateStore(func(_ time.Duration, s *world.Store) { _, err = s.Put(strings.TrimPrefix(path, "kv/"), body, lease) })
		fmt.Fprint(x.w, err == nil)
	case x.q.Method == "GET" && strings.HasPrefix(path, "kv/"):
		x.consulRead(strings.TrimPrefix(path, "kv/"))
	default:
		http.NotFound(x.w, x.q)
	}
}

func (x *exchange) consulRead(prefix string) {
	r := x.r
	query := x.q.URL.Query()
	index, _ := strconv.ParseInt(query.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(query.Get("wait"))
	end := time.NewTimer(max(0, wait))
	defer end.Stop()
	blocks := index > 0
	for {
		r.mu.Lock()
		rev, news := x.visible(), r.news
		last := max(1, r.store.LastChange(rev, prefix), r.store.Compacted())
		kvs, _, _ := r.store.Range(prefix, prefixEnd(prefix), rev, 0)
		members := r.members(rev)
		broken := x.broken()
		r.mu.Unlock()
		if broken && !x.alive() {
			return
		}
		if !blocks || last != index {
			x.w.Header().Set("X-Consul-Index", strconv.FormatInt(last, 10))
			x.w.Header().Set("X-Consul-Knownleader", "true")
			x.w.Header().Set("Content-Type", "application/json")
			if len(kvs) == 0 {
				x.w.WriteHeader(http.StatusNotFound)
				x.told(last, true, nil)
				return
			}
			type item struct {
				LockIndex, Flags         int64
				Key                      string
				Value                    []byte
				CreateIndex, ModifyIndex int64
			}
			var list []item
			for _, kv := range kvs {
				list = append(list, item{Key: kv.Key, Value: kv.Value, CreateIndex: kv.CreateRevision, ModifyIndex: kv.ModRevision})
			}
			text, _ := json.Marshal(list)
			if x.send(text) == nil {
				x.told(last, true, members)
			}
			return
		}
		r.waits.Add(1)
		select {
		case <-news:
		case <-end.C:
			blocks = false
		case <-x.q.Context().Done():
			return
		case <-r.shut:
			return
		}
	}
}
