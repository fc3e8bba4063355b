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

// RegistryOptions configures a key-value registry.
type RegistryOptions struct {
	Addr             string // to listen on, for each endpoint and node; port 0 picks a free one
	Endpoints        int
	Nodes            int           // each has its own addresses, which identify the caller
	Prefix           string        // of the keys of the server entries
	Token            string        // required with each request; empty: none
	ProgressInterval time.Duration // between progress notifications of a quiet watch; 0: none
}

// Registry is a stand-in for a key-value registry with several endpoints: the JSON gateway of etcd v3 and the blocking
// queries of Consul, on one store. Its endpoints can lag, fall silent, be down or send invalid answers.
type Registry struct {
	*Common
	opt       RegistryOptions
	listeners []*faultListener // by endpoint, then node
	servers   []*http.Server

	mu           sync.Mutex
	store        *world.Store
	backup       *world.Store // nil: none
	lags         []int64      // by endpoint, in revisions
	endpoints    []endpointState
	repeatEvents bool // see RepeatEvents
	splitAnswers bool // see SplitAnswers
	pieceDelay   time.Duration
	cutOff       []chan struct{} // by node; closed at the end of the cut, nil without one
	generations  []int
	changed      chan struct{} // closed and replaced at each change
	timer        *time.Timer
	rng          *rand.Rand
	closed       chan struct{}
	callCount    int
	bytesSent    int64
	waitCount    atomic.Int64
}

type endpointState struct {
	down, muted, garbled bool
	unmute               chan struct{}
}

// ServerEntry is the JSON object of a server in a registry, which docs/registry.md describes.
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

// EncodeEntry returns the registry entry of a member.
func EncodeEntry(startTime time.Time, m world.Member) []byte {
	w := m.Weight
	e := ServerEntry{ID: m.ID, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Weight: &w}
	if m.Phase == world.Draining {
		e.Phase = "draining"
	}
	if m.Started > 0 {
		e.StartMillis = startTime.Add(m.Started).UnixMilli()
	}
	text, _ := json.Marshal(e)
	return text
}

// decodeEntry returns the member of a registry entry, and whether the entry is valid.
func decodeEntry(startTime time.Time, text []byte) (world.Member, bool) {
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
		m.Started = time.UnixMilli(e.StartMillis).Sub(startTime)
	}
	return m, true
}

// NewRegistry starts a registry with an empty store.
func NewRegistry(common *Common, opt RegistryOptions) (*Registry, error) {
	r := &Registry{Common: common, opt: opt, store: world.NewStore(), lags: make([]int64, opt.Endpoints), endpoints: make([]endpointState, opt.Endpoints),
		cutOff: make([]chan struct{}, opt.Nodes), generations: make([]int, opt.Nodes), changed: make(chan struct{}), closed: make(chan struct{}), rng: world.RandomStream(common.Seed, "registry")}
	r.timer = time.AfterFunc(time.Hour, r.expireLeases)
	for endpoint := range opt.Endpoints {
		for node := range opt.Nodes {
			s := &http.Server{ErrorLog: discardLog, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.handle(endpoint, node, w, req) })}
			p, err := serveHTTP(opt.Addr, network{}, s)
			if err != nil {
				r.Close()
				return nil, err
			}
			r.listeners, r.servers = append(r.listeners, p), append(r.servers, s)
		}
	}
	return r, nil
}

// Endpoints returns the addresses of the endpoints for a node.
func (r *Registry) Endpoints(node int) (all []string) {
	for endpoint := range r.opt.Endpoints {
		all = append(all, r.listeners[endpoint*r.opt.Nodes+node].addr)
	}
	return all
}

// UpdateStore calls f with the store and wakes the watches.
func (r *Registry) UpdateStore(f func(now time.Duration, s *world.Store)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.Log.Now(), r.store)
	r.wakeWatchers()
}

func (r *Registry) wakeWatchers() {
	close(r.changed)
	r.changed = make(chan struct{})
	if at, ok := r.store.NextExpiry(); ok {
		r.timer.Reset(max(0, at-r.Log.Now()) + time.Millisecond)
	}
}

func (r *Registry) expireLeases() {
	r.UpdateStore(func(now time.Duration, s *world.Store) { s.ExpireLeases(now) })
}

// Set stores the entry of a server, or removes it if the server is deleted.
func (r *Registry) Set(m world.Member) {
	r.UpdateStore(func(_ time.Duration, s *world.Store) {
		if m.Phase == world.Deleted {
			s.Delete(r.opt.Prefix + m.ID)
		} else {
			s.Put(r.opt.Prefix+m.ID, EncodeEntry(r.Log.StartTime(), m), 0)
		}
	})
}

// Members returns the revision of the store and its present servers.
func (r *Registry) Members() (int64, []world.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Revision(), r.members(0)
}

func (r *Registry) members(rev int64) (all []world.Member) {
	kvs, _, _ := r.store.Range(r.opt.Prefix, prefixEnd(r.opt.Prefix), rev, 0)
	for _, kv := range kvs {
		if m, ok := decodeEntry(r.Log.StartTime(), kv.Value); ok {
			all = append(all, m)
		}
	}
	return all
}

// prefixEnd returns the smallest key after all keys that begin with a prefix.
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

// Compact compacts the history to the last keep revisions.
func (r *Registry) Compact(keep int64) {
	r.UpdateStore(func(_ time.Duration, s *world.Store) { s.Compact(s.Revision() - keep) })
}

// DeleteAll removes all server entries.
func (r *Registry) DeleteAll() {
	r.UpdateStore(func(_ time.Duration, s *world.Store) { s.Delete(r.opt.Prefix) })
}

// SaveBackup makes a backup of the store.
func (r *Registry) SaveBackup() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backup = r.store.Backup()
}

// RestoreBackup replaces the store with the backup, if there is one, which ends all watches.
func (r *Registry) RestoreBackup() {
	r.mu.Lock()
	if r.backup != nil {
		r.store = r.backup.Backup()
	}
	r.wakeWatchers() // the handlers notice that their store has been replaced
	r.mu.Unlock()
}

// Lag makes an endpoint answer with the state of so many revisions ago.
func (r *Registry) Lag(endpoint int, changes int64) { r.change(func() { r.lags[endpoint] = changes }) }

// SetDown makes an endpoint answer with 503 and breaks its watches, or ends that.
func (r *Registry) SetDown(endpoint int, on bool) {
	r.change(func() { r.endpoints[endpoint].down = on })
}

// SetGarbled makes an endpoint send invalid answers.
func (r *Registry) SetGarbled(endpoint int, on bool) {
	r.change(func() { r.endpoints[endpoint].garbled = on })
}

// SetMuted makes an endpoint send nothing more on open and new connections, which are reset when that ends.
func (r *Registry) SetMuted(endpoint int, on bool) {
	r.change(func() {
		e := &r.endpoints[endpoint]
		if on && !e.muted {
			e.muted, e.unmute = true, make(chan struct{})
		} else if !on && e.muted {
			e.muted = false
			close(e.unmute)
		}
	})
}

// Cut cuts a node off from all endpoints; its connections are reset when that ends.
func (r *Registry) Cut(node int, on bool) {
	r.change(func() {
		if on && r.cutOff[node] == nil {
			r.cutOff[node] = make(chan struct{})
		} else if !on && r.cutOff[node] != nil {
			close(r.cutOff[node])
			r.cutOff[node] = nil
		}
	})
}

// RepeatEvents makes watches send each change twice, after a progress notification for its revision.
func (r *Registry) RepeatEvents(on bool) { r.change(func() { r.repeatEvents = on }) }

// SplitAnswers sends answers in pieces of a few bytes, with a delay between them.
func (r *Registry) SplitAnswers(on bool, pieceDelay time.Duration) {
	r.change(func() { r.splitAnswers, r.pieceDelay = on, pieceDelay })
}

// SetGeneration sets the number of the node's process that makes requests from now on.
func (r *Registry) SetGeneration(node, generation int) {
	r.change(func() { r.generations[node] = generation })
}

// CallCounts returns the numbers of requests received and of bytes sent in answers.
func (r *Registry) CallCounts() (int, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.callCount, r.bytesSent
}

// WaitCount returns how often a call has begun to wait for changes, having sent all earlier ones.
func (r *Registry) WaitCount() int64 { return r.waitCount.Load() }

func (r *Registry) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	r.wakeWatchers()
}

// Close ends the stand-in and releases its resources.
func (r *Registry) Close() {
	r.mu.Lock()
	select {
	case <-r.closed:
	default:
		close(r.closed)
	}
	r.timer.Stop()
	r.mu.Unlock()
	for i := range r.listeners {
		r.servers[i].Close()
		r.listeners[i].close()
	}
}

// exchange is a request that is being answered.
type exchange struct {
	r        *Registry
	endpoint int
	node     int
	w        http.ResponseWriter
	req      *http.Request
	call     *seen.ListCall
	store    *world.Store // when the request arrived; a restore replaces it
	sentPart bool         // a part of the answer has been sent
}

func (r *Registry) handle(endpoint, node int, w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	r.callCount++
	x := &exchange{r: r, endpoint: endpoint, node: node, w: w, req: req, store: r.store,
		call: &seen.ListCall{Node: node, Generation: r.generations[node], From: r.Log.Now()}}
	r.mu.Unlock()
	r.Log.Update(func(rec *seen.Record) { rec.ListCalls = append(rec.ListCalls, x.call) })
	body, err := io.ReadAll(io.LimitReader(req.Body, 1<<20))
	if err != nil || !x.checkEndpoint() {
		return
	}
	token := req.Header.Get("Authorization") + req.Header.Get("X-Consul-Token")
	switch {
	case r.opt.Token != "" && token == "":
		x.fail(http.StatusUnauthorized, 16, "etcdserver: user name is empty")
	case r.opt.Token != "" && token != r.opt.Token:
		x.fail(http.StatusForbidden, 7, "etcdserver: permission denied")
	case strings.HasPrefix(req.URL.Path, "/v1/"):
		x.consul(body)
	default:
		x.etcd(body)
	}
	now := r.Log.Now()
	r.Log.Update(func(*seen.Record) { x.call.To = now })
}

// checkEndpoint applies the faults of the endpoint: it blocks while the endpoint is muted, and sends the error or the invalid
// answer of one that is down or garbled. It returns false if the request has ended.
func (x *exchange) checkEndpoint() bool {
	x.r.mu.Lock()
	e := x.r.endpoints[x.endpoint]
	if cut := x.r.cutOff[x.node]; cut != nil {
		e.muted, e.unmute = true, cut
	}
	replaced := x.r.store != x.store
	x.r.mu.Unlock()
	switch {
	case e.muted:
		select {
		case <-e.unmute:
		case <-x.req.Context().Done():
		case <-x.r.closed:
		}
		resetHTTPConn(x.w)
		return false
	case x.sentPart && (e.down || replaced):
		resetHTTPConn(x.w)
		return false
	case e.down, replaced:
		x.fail(http.StatusServiceUnavailable, 14, "etcdserver: no leader")
		return false
	case e.garbled:
		x.r.mu.Lock()
		variant := x.r.rng.IntN(5)
		x.r.mu.Unlock()
		if variant == 4 { // an endless body
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
			`{"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"!!","value":"%%","mod_revision":"9"}}]}}`}[variant])
		return false
	}
	return true
}

func (x *exchange) fail(status, code int, why string) {
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(status)
	fmt.Fprintf(x.w, `{"error":%q,"code":%d,"message":%q}`, why, code, why)
}

// faulty reports whether the endpoint or the way to it has a fault, or the store was replaced. It needs the lock.
func (x *exchange) faulty() bool {
	e := x.r.endpoints[x.endpoint]
	return x.r.store != x.store || e.down || e.garbled || e.muted || x.r.cutOff[x.node] != nil
}

// visibleRevision returns the newest revision that the endpoint shows. It needs the lock.
func (x *exchange) visibleRevision() int64 { return max(1, x.r.store.Revision()-x.r.lags[x.endpoint]) }

// send writes an answer or a message of a stream.
func (x *exchange) send(text []byte) error {
	x.sentPart = true
	x.r.mu.Lock()
	x.r.bytesSent += int64(len(text))
	splitAnswers, pieceDelay := x.r.splitAnswers, x.r.pieceDelay
	x.r.mu.Unlock()
	out := http.NewResponseController(x.w)
	for len(text) > 0 {
		n := len(text)
		if splitAnswers {
			x.r.mu.Lock()
			n = min(n, 1+x.r.rng.IntN(40))
			x.r.mu.Unlock()
		}
		if _, err := x.w.Write(text[:n]); err != nil {
			return err
		}
		out.Flush()
		if text = text[n:]; splitAnswers && pieceDelay > 0 && len(text) > 0 {
			time.Sleep(pieceDelay)
		}
	}
	return nil
}

// recordUpdate records a server list update that was sent to the node.
func (x *exchange) recordUpdate(rev int64, complete bool, members []world.Member) {
	t := seen.ListUpdate{Node: x.node, Generation: x.call.Generation, At: x.r.Log.Now(), Revision: rev, Snapshot: complete, Members: members}
	x.r.Log.Update(func(rec *seen.Record) {
		rec.ListUpdates = append(rec.ListUpdates, t)
		x.call.OK = true
	})
}

// etcd answers requests to etcd's JSON gateway.
func (x *exchange) etcd(body []byte) {
	r := x.r
	switch x.req.URL.Path {
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
		x.answerChange(map[string]any{}, err)
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
		x.answerChange(map[string]any{"ID": strconv.FormatInt(id, 10), "TTL": strconv.FormatInt(in.TTL, 10)}, nil)
	case "/v3/lease/keepalive":
		id := leaseID(body)
		var ttl time.Duration
		var err error
		r.UpdateStore(func(now time.Duration, s *world.Store) { ttl, err = s.KeepAlive(now, id) })
		if err != nil {
			ttl = 0 // the gateway answers with a TTL of 0 for a lease that is gone
		}
		x.answerChange(map[string]any{"result": map[string]any{"header": x.header(), "ID": strconv.FormatInt(id, 10), "TTL": strconv.FormatInt(int64(ttl/time.Second), 10)}}, nil)
	case "/v3/lease/revoke", "/v3/kv/lease/revoke":
		var err error
		id := leaseID(body)
		r.UpdateStore(func(_ time.Duration, s *world.Store) { err = s.Revoke(id) })
		x.answerChange(map[string]any{}, err)
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
	return map[string]any{"cluster_id": "14841639068965178418", "member_id": strconv.Itoa(x.endpoint + 1), "raft_term": "2",
		"revision": strconv.FormatInt(x.visibleRevision(), 10)}
}

// answerChange answers a request that changes the store or a lease.
func (x *exchange) answerChange(out map[string]any, err error) {
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
	Key            []byte `json:"key"`
	CreateRevision string `json:"create_revision,omitempty"`
	ModRevision    string `json:"mod_revision"`
	Version        string `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          string `json:"lease,omitempty"`
}

func encodeKV(kv world.KV) wireKV {
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
	rev := x.visibleRevision()
	readRevision := rev
	if in.Revision > 0 {
		readRevision = in.Revision
	}
	kvs, more, err := r.store.Range(string(in.Key), string(in.RangeEnd), readRevision, in.Limit)
	if readRevision > rev {
		err = world.ErrFuture
	}
	var members []world.Member
	if !more && err == nil {
		members = r.members(readRevision)
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
		list = append(list, encodeKV(kv))
	}
	if list != nil {
		out["kvs"] = list
	}
	text, _ := json.Marshal(out)
	if x.send(text) == nil && !more {
		x.recordUpdate(readRevision, true, members)
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
		rev, changed, repeatEvents := x.visibleRevision(), r.changed, r.repeatEvents
		events, err := r.store.ChangesSince(next, rev, string(in.Create.Key))
		compacted := r.store.Compacted()
		faulty := x.faulty()
		r.mu.Unlock()
		if faulty && !x.checkEndpoint() {
			return
		}
		if err != nil {
			x.send(result(map[string]any{"canceled": true, "compact_revision": strconv.FormatInt(compacted, 10)}))
			return
		}
		if len(events) > 0 {
			if repeatEvents { // a progress notification before the changes that it covers
				x.send(result(map[string]any{"watch_id": "0"}))
			}
			var list []wireEvent
			var members []world.Member
			for _, e := range events {
				w := wireEvent{KV: encodeKV(e.KV)}
				if e.Deleted {
					w.Type = "DELETE"
					members = append(members, world.Member{ID: strings.TrimPrefix(e.KV.Key, r.opt.Prefix), Phase: world.Deleted})
				} else if m, ok := decodeEntry(r.Log.StartTime(), e.KV.Value); ok {
					members = append(members, m)
				}
				list = append(list, w)
			}
			times := 1
			if repeatEvents {
				times = 2
			}
			for range times {
				if x.send(result(map[string]any{"watch_id": "0", "events": list})) != nil {
					return
				}
			}
			x.recordUpdate(rev, false, members)
		}
		next = max(next, rev+1)
		r.waitCount.Add(1)
		select {
		case <-changed:
		case <-progress.C:
			r.mu.Lock()
			current := x.visibleRevision() < next
			r.mu.Unlock()
			if current && x.send(result(map[string]any{"watch_id": "0"})) != nil {
				return
			}
		case <-x.req.Context().Done():
			return
		case <-r.closed:
			return
		}
	}
}

// consul answers requests to Consul's API: reads of keys, with blocking queries, writes and sessions.
func (x *exchange) consul(body []byte) {
	r := x.r
	path := strings.TrimPrefix(x.req.URL.Path, "/v1/")
	switch {
	case x.req.Method == "PUT" && path == "session/create":
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
	case x.req.Method == "PUT" && strings.HasPrefix(path, "session/"):
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
	case x.req.Method == "PUT" && strings.HasPrefix(path, "kv/"):
		lease, _ := strconv.ParseInt(x.req.URL.Query().Get("acquire"), 10, 64)
		var err error
		r.UpdateStore(func(_ time.Duration, s *world.Store) { _, err = s.Put(strings.TrimPrefix(path, "kv/"), body, lease) })
		fmt.Fprint(x.w, err == nil)
	case x.req.Method == "GET" && strings.HasPrefix(path, "kv/"):
		x.consulRead(strings.TrimPrefix(path, "kv/"))
	default:
		http.NotFound(x.w, x.req)
	}
}

func (x *exchange) consulRead(prefix string) {
	r := x.r
	query := x.req.URL.Query()
	index, _ := strconv.ParseInt(query.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(query.Get("wait"))
	timeout := time.NewTimer(max(0, wait))
	defer timeout.Stop()
	blocking := index > 0
	for {
		r.mu.Lock()
		rev, changed := x.visibleRevision(), r.changed
		last := max(1, r.store.LastChange(rev, prefix), r.store.Compacted())
		kvs, _, _ := r.store.Range(prefix, prefixEnd(prefix), rev, 0)
		members := r.members(rev)
		faulty := x.faulty()
		r.mu.Unlock()
		if faulty && !x.checkEndpoint() {
			return
		}
		if !blocking || last != index {
			x.w.Header().Set("X-Consul-Index", strconv.FormatInt(last, 10))
			x.w.Header().Set("X-Consul-Knownleader", "true")
			x.w.Header().Set("Content-Type", "application/json")
			if len(kvs) == 0 {
				x.w.WriteHeader(http.StatusNotFound)
				x.recordUpdate(last, true, nil)
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
				x.recordUpdate(last, true, members)
			}
			return
		}
		r.waitCount.Add(1)
		select {
		case <-changed:
		case <-timeout.C:
			blocking = false
		case <-x.req.Context().Done():
			return
		case <-r.closed:
			return
		}
	}
}
