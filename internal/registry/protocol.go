package registry

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lapisshelf/decide/roster"
	"lapisshelf/internal/httpc"
	"lapisshelf/policy"
)

// protocol is how a kind of registry is spoken to. It does no I/O.
type protocol interface {
	// request is what a call says.
	request(c roster.Call) (method, target string, headers []httpc.Header, body []byte)
	// streams reports whether the answer to a call comes piece by piece, for good.
	streams(c roster.Call) bool
	// answer reads a whole answer.
	parseAnswer(c roster.Call, head *httpc.Response, body []byte) (roster.Answer, error)
	// object reads one object of a stream.
	parseObject(text []byte) (roster.Answer, error)
}

// Kind names a protocol.
type Kind string

// The protocols.
const (
	Discovery Kind = "discovery" // the platform's own
	Etcd      Kind = "etcd"      // the JSON gateway of etcd v3
	Consul    Kind = "consul"    // blocking reads of a key-value store, as Consul has them
)

// statusError is an answer that is none.
func statusError(head *httpc.Response, body []byte) error {
	var in struct{ Error, Message string }
	json.Unmarshal(body, &in)
	if why := cmp.Or(in.Message, in.Error); why != "" && len(why) < 200 {
		return fmt.Errorf("status %d: %s", head.Status, why)
	}
	return fmt.Errorf("status %d", head.Status)
}

// discovery is the platform's list service.
type discovery struct{}

func (discovery) streams(roster.Call) bool { return false }

func (discovery) request(c roster.Call) (string, string, []httpc.Header, []byte) {
	target := "/discovery/hosts"
	if !c.ReadList {
		target += "?since=" + strconv.FormatInt(c.Revision, 10) + "&timeout_ms=" + strconv.FormatInt(c.Wait.Milliseconds(), 10)
	}
	return "GET", target, nil, nil
}

func (discovery) parseAnswer(c roster.Call, head *httpc.Response, body []byte) (roster.Answer, error) {
	if head.Status != 200 {
		return roster.Answer{}, statusError(head, nil)
	}
	revision, complete, entries, err := ParseList(body)
	if err != nil {
		return roster.Answer{}, err
	}
	a := roster.Answer{Kind: roster.Changes, Revision: revision, Final: true}
	if complete {
		a.Kind = roster.List
	}
	for _, e := range entries {
		a.Changes = append(a.Changes, roster.Change{Key: e.ID, Deleted: e.State == policy.Gone, Entry: e})
	}
	return a, nil
}

func (discovery) parseObject([]byte) (roster.Answer, error) {
	return roster.Answer{}, errors.New("no stream")
}

// etcd speaks the JSON gateway of etcd v3: protobuf messages as JSON, 64-bit numbers as text, bytes as base64.
type etcd struct {
	prefix string
	token  string
}

// jsonInt64 is a 64-bit number, which the gateway writes as text.
type jsonInt64 int64

// UnmarshalJSON implements json.Unmarshaler.
func (n *jsonInt64) UnmarshalJSON(text []byte) error {
	v, err := strconv.ParseInt(strings.Trim(string(text), `"`), 10, 64)
	*n = jsonInt64(v)
	return err
}

type etcdHeader struct {
	Cluster  string    `json:"cluster_id"`
	Revision jsonInt64 `json:"revision"`
}

type etcdKV struct {
	Key         []byte    `json:"key"`
	Value       []byte    `json:"value"`
	ModRevision jsonInt64 `json:"mod_revision"`
}

type etcdRange struct {
	Header etcdHeader `json:"header"`
	KVs    []etcdKV   `json:"kvs"`
	More   bool       `json:"more"`
}

type etcdWatch struct {
	Result *struct {
		Header          etcdHeader `json:"header"`
		Created         bool       `json:"created"`
		Canceled        bool       `json:"canceled"`
		CompactRevision jsonInt64  `json:"compact_revision"`
		CancelReason    string     `json:"cancel_reason"`
		Events          []struct {
			Type string `json:"type"`
			KV   etcdKV `json:"kv"`
		} `json:"events"`
	} `json:"result"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// grpcOutOfRange is the gRPC code of a revision that is compacted, or to come.
const grpcOutOfRange = 11

func (etcd) streams(c roster.Call) bool { return !c.ReadList }

// keyAfter is the smallest key behind one, and rangeEnd the smallest behind all that begin with a prefix.
func keyAfter(key string) []byte { return append([]byte(key), 0) }

func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0} // to the end of all keys
}

func (p etcd) request(c roster.Call) (method, target string, headers []httpc.Header, body []byte) {
	b64 := base64.StdEncoding.EncodeToString
	var message any
	if c.ReadList {
		from := []byte(p.prefix)
		if c.After != "" {
			from = keyAfter(c.After)
		}
		read := map[string]any{"key": b64(from), "range_end": b64(rangeEnd(p.prefix)), "sort_order": "ASCEND", "sort_target": "KEY"}
		if c.PageSize > 0 {
			read["limit"] = strconv.Itoa(c.PageSize)
		}
		if c.Revision > 0 {
			read["revision"] = strconv.FormatInt(c.Revision, 10)
		}
		target, message = "/v3/kv/range", read
	} else {
		target, message = "/v3/watch", map[string]any{"create_request": map[string]any{"key": b64([]byte(p.prefix)), "range_end": b64(rangeEnd(p.prefix)),
			"start_revision": strconv.FormatInt(c.Revision+1, 10), "progress_notify": true}}
	}
	body, _ = json.Marshal(message) // text and numbers alone: it cannot fail
	return "POST", target, p.headers(), body
}

func (p etcd) headers() []httpc.Header {
	headers := []httpc.Header{{Name: "Content-Type", Value: "application/json"}}
	if p.token != "" {
		headers = append(headers, httpc.Header{Name: "Authorization", Value: p.token})
	}
	return headers
}

// parseChange reads one key's value.
func (p etcd) parseChange(kv etcdKV, deleted bool) roster.Change {
	c := roster.Change{Key: string(kv.Key), Revision: int64(kv.ModRevision), Deleted: deleted}
	if !deleted {
		e, err := ParseEntry(c.Key, kv.Value)
		c.Entry, c.Malformed = e, err != nil
	}
	return c
}

func (p etcd) parseAnswer(c roster.Call, head *httpc.Response, body []byte) (roster.Answer, error) {
	if head.Status != 200 {
		var in struct{ Code int }
		if json.Unmarshal(body, &in) == nil && in.Code == grpcOutOfRange && c.ReadList && bytes.Contains(body, []byte("compacted")) {
			return roster.Answer{Kind: roster.Compacted, Final: true}, nil
		}
		return roster.Answer{}, statusError(head, body)
	}
	var in etcdRange
	if err := json.Unmarshal(body, &in); err != nil {
		return roster.Answer{}, err
	}
	a := roster.Answer{Kind: roster.List, Revision: int64(in.Header.Revision), Epoch: in.Header.Cluster, Final: true}
	if a.Revision <= 0 {
		return a, errors.New("no revision")
	}
	for _, kv := range in.KVs {
		if !strings.HasPrefix(string(kv.Key), p.prefix) || c.After != "" && string(kv.Key) <= c.After || kv.ModRevision <= 0 {
			return a, errors.New("a key that was not asked for")
		}
		a.Changes = append(a.Changes, p.parseChange(kv, false))
	}
	if in.More && len(in.KVs) > 0 {
		a.NextPageAfter = string(in.KVs[len(in.KVs)-1].Key)
	}
	return a, nil
}

func (p etcd) parseObject(text []byte) (roster.Answer, error) {
	var in etcdWatch
	if err := json.Unmarshal(text, &in); err != nil {
		return roster.Answer{}, err
	}
	switch r := in.Result; {
	case in.Error != nil:
		return roster.Answer{}, errors.New("the watch has ended: " + in.Error.Message)
	case r == nil:
		return roster.Answer{}, errors.New("an object of another kind")
	case r.CompactRevision > 0:
		return roster.Answer{Kind: roster.Compacted, Revision: int64(r.Header.Revision), Epoch: r.Header.Cluster}, nil
	case r.Canceled:
		return roster.Answer{}, errors.New("the watch is cancelled: " + r.CancelReason)
	case r.Header.Revision <= 0:
		return roster.Answer{}, errors.New("no revision")
	default:
		a := roster.Answer{Kind: roster.Progress, Revision: int64(r.Header.Revision), Epoch: r.Header.Cluster}
		switch {
		case len(r.Events) > 0:
			a.Kind = roster.Changes
		case r.Created:
			a.Kind = roster.Heartbeat
		}
		for _, e := range r.Events {
			if !strings.HasPrefix(string(e.KV.Key), p.prefix) || e.KV.ModRevision <= 0 || e.Type != "" && e.Type != "PUT" && e.Type != "DELETE" {
				return a, errors.New("an event that was not asked for")
			}
			a.Changes = append(a.Changes, p.parseChange(e.KV, e.Type == "DELETE"))
		}
		return a, nil
	}
}

// consul speaks Consul's key-value store by blocking reads: each answer is the whole list, at an index.
type consul struct {
	prefix string
	token  string
}

// maxBlockingWait is the longest that a blocking read may wait there, leastBlock the shortest that is worth a blocking one.
const (
	maxBlockingWait = 10 * time.Minute
	minBlockingWait = 10 * time.Millisecond
)

func (consul) streams(roster.Call) bool { return false }

func (p consul) request(c roster.Call) (method, target string, headers []httpc.Header, body []byte) {
	target = "/v1/kv/" + (&url.URL{Path: p.prefix}).EscapedPath() + "?recurse=true"
	// Guards against a look, which is to be answered at once, that blocks: a wait of 0 ms is taken for none there, which is
	// 5 minutes. Without an index a read is answered at once.
	if !c.ReadList && c.Wait >= minBlockingWait {
		// Consul adds up to a sixteenth to the wait told, and an index below 1 would not block (its documentation, "Blocking
		// Queries"). An answer that comes after the follower's own wait would be taken for a silent watch.
		wait := min(c.Wait, maxBlockingWait) * 16 / 17
		target += "&index=" + strconv.FormatInt(max(1, c.Revision), 10) + "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10) + "ms"
	}
	return "GET", target, p.headers(), nil
}

func (p consul) headers() (headers []httpc.Header) {
	if p.token != "" {
		headers = append(headers, httpc.Header{Name: "X-Consul-Token", Value: p.token})
	}
	return headers
}

func (p consul) parseAnswer(c roster.Call, head *httpc.Response, body []byte) (roster.Answer, error) {
	index, err := strconv.ParseInt(string(head.Header("X-Consul-Index")), 10, 64)
	if head.Status != 200 && head.Status != 404 { // 404: there is no such key, which is an answer
		return roster.Answer{}, statusError(head, body)
	}
	if err != nil || index < 0 {
		return roster.Answer{}, errors.New("no index")
	}
	a := roster.Answer{Kind: roster.List, Revision: index, Final: true}
	if head.Status == 404 {
		return a, nil
	}
	var in []struct {
		Key         string
		Value       []byte
		ModifyIndex int64 `json:"ModifyIndex"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return roster.Answer{}, err
	}
	seen := map[string]bool{}
	for _, kv := range in {
		if !strings.HasPrefix(kv.Key, p.prefix) || seen[kv.Key] {
			return roster.Answer{}, errors.New("a key that was not asked for, or twice")
		}
		seen[kv.Key] = true
		if strings.HasSuffix(kv.Key, "/") && len(kv.Value) == 0 {
			continue // a folder
		}
		e, err := ParseEntry(kv.Key, kv.Value)
		a.Changes = append(a.Changes, roster.Change{Key: kv.Key, Revision: kv.ModifyIndex, Entry: e, Malformed: err != nil})
	}
	return a, nil
}

func (consul) parseObject([]byte) (roster.Answer, error) {
	return roster.Answer{}, errors.New("no stream")
}
