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

// protocol encodes the calls and parses the answers of a kind of registry. It does no I/O.
type protocol interface {
	// request returns the request of a call.
	request(c roster.Call) (method, target string, headers []httpc.Header, body []byte)
	// streams reports whether the answer to a call is an endless stream of objects.
	streams(c roster.Call) bool
	// parseAnswer parses a complete answer.
	parseAnswer(c roster.Call, head *httpc.Response, body []byte) (roster.Answer, error)
	// parseObject parses one object of a stream.
	parseObject(text []byte) (roster.Answer, error)
}

// Kind is the kind of a registry, which determines the protocol.
type Kind string

// The kinds of registries.
const (
	Discovery Kind = "discovery" // the platform's list service
	Etcd      Kind = "etcd"      // the JSON gateway of etcd v3
	Consul    Kind = "consul"    // blocking queries of Consul's key-value store
)

// statusError returns the error for an answer with an unexpected status, with the message of its JSON body if there is one.
func statusError(head *httpc.Response, body []byte) error {
	var in struct{ Error, Message string }
	json.Unmarshal(body, &in)
	if why := cmp.Or(in.Message, in.Error); why != "" && len(why) < 200 {
		return fmt.Errorf("status %d: %s", head.Status, why)
	}
	return fmt.Errorf("status %d", head.Status)
}

// discovery is the protocol of the platform's list service: long polls that return the changes since a revision.
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
	return roster.Answer{}, errors.New("discovery has no streams")
}

// etcd is the protocol of the JSON gateway of etcd v3: protobuf messages as JSON, with 64-bit numbers as strings and bytes as
// base64.
type etcd struct {
	prefix string
	token  string
}

// jsonInt64 is a 64-bit number, which the gateway writes as a string.
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

// grpcOutOfRange is the gRPC status code OUT_OF_RANGE, for a revision that is compacted or in the future.
const grpcOutOfRange = 11

func (etcd) streams(c roster.Call) bool { return !c.ReadList }

// keyAfter returns the smallest key greater than key.
func keyAfter(key string) []byte { return append([]byte(key), 0) }

// rangeEnd returns the smallest key greater than all keys that begin with prefix.
func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0} // in etcd: up to the last key
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
	body, _ = json.Marshal(message) // cannot fail: only strings, booleans and maps
	return "POST", target, p.headers(), body
}

func (p etcd) headers() []httpc.Header {
	headers := []httpc.Header{{Name: "Content-Type", Value: "application/json"}}
	if p.token != "" {
		headers = append(headers, httpc.Header{Name: "Authorization", Value: p.token})
	}
	return headers
}

// parseChange returns the change of one key.
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
		return a, errors.New("no valid revision")
	}
	for _, kv := range in.KVs {
		if !strings.HasPrefix(string(kv.Key), p.prefix) || c.After != "" && string(kv.Key) <= c.After || kv.ModRevision <= 0 {
			return a, errors.New("key outside the requested range")
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
		return roster.Answer{}, errors.New("the watch failed: " + in.Error.Message)
	case r == nil:
		return roster.Answer{}, errors.New("object with neither result nor error")
	case r.CompactRevision > 0:
		return roster.Answer{Kind: roster.Compacted, Revision: int64(r.Header.Revision), Epoch: r.Header.Cluster}, nil
	case r.Canceled:
		return roster.Answer{}, errors.New("the watch was canceled: " + r.CancelReason)
	case r.Header.Revision <= 0:
		return roster.Answer{}, errors.New("no valid revision")
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
				return a, errors.New("invalid event, or event outside the requested prefix")
			}
			a.Changes = append(a.Changes, p.parseChange(e.KV, e.Type == "DELETE"))
		}
		return a, nil
	}
}

// consul is the protocol of Consul's key-value store with blocking queries: each answer is the whole list at an index.
type consul struct {
	prefix string
	token  string
}

// maxBlockingWait is the longest wait that Consul allows for a blocking query. Below minBlockingWait a plain read is used instead.
const (
	maxBlockingWait = 10 * time.Minute
	minBlockingWait = 10 * time.Millisecond
)

func (consul) streams(roster.Call) bool { return false }

func (p consul) request(c roster.Call) (method, target string, headers []httpc.Header, body []byte) {
	target = "/v1/kv/" + (&url.URL{Path: p.prefix}).EscapedPath() + "?recurse=true"
	// A watch with a very short wait must be answered at once. A wait of 0 ms would not do so: Consul takes it for no wait and
	// uses its default of 5 minutes. A read without an index is answered at once.
	if !c.ReadList && c.Wait >= minBlockingWait {
		// Consul adds up to a sixteenth to the requested wait, and a query with an index below 1 does not block (its documentation,
		// "Blocking Queries"). An answer later than the follower's own wait would count as a watch that does not answer.
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
	if head.Status != 200 && head.Status != 404 { // 404: no key has the prefix, so the list is empty
		return roster.Answer{}, statusError(head, body)
	}
	if err != nil || index < 0 {
		return roster.Answer{}, errors.New("no valid X-Consul-Index header")
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
			return roster.Answer{}, errors.New("key outside the requested prefix, or duplicate key")
		}
		seen[kv.Key] = true
		if strings.HasSuffix(kv.Key, "/") && len(kv.Value) == 0 {
			continue // a folder, which is no server
		}
		e, err := ParseEntry(kv.Key, kv.Value)
		a.Changes = append(a.Changes, roster.Change{Key: kv.Key, Revision: kv.ModifyIndex, Entry: e, Malformed: err != nil})
	}
	return a, nil
}

func (consul) parseObject([]byte) (roster.Answer, error) {
	return roster.Answer{}, errors.New("consul has no streams")
}
