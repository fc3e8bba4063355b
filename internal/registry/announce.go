package registry

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"time"

	"lapisshelf/decide/lease"
	"lapisshelf/internal/httpc"
	"lapisshelf/internal/loop"
)

// Announcer keeps an entry of this process in a registry, under a lease, so that the entry expires soon after the process ends.
// Package decide/lease decides which operation is done when; Announcer carries them out, each on a connection of its own.
// Everything runs on the event loop.
type Announcer struct {
	loop      *loop.Loop
	cfg       Config
	key       string
	keeper    *lease.Keeper
	onNote    func(event, why string)
	timer     *loop.Timer
	current   *operation // outstanding; nil if none
	onStopped func()     // set by Stop, until it is called
}

// NewAnnouncer returns an announcer for a key of an etcd or Consul registry. It does nothing before Start. onNote writes log lines.
func NewAnnouncer(l *loop.Loop, cfg Config, key string, value []byte, ttl time.Duration, seed uint64, onNote func(event, why string)) *Announcer {
	a := &Announcer{loop: l, cfg: cfg, key: key, onNote: onNote}
	a.keeper = lease.New(lease.Config{Endpoints: len(cfg.Endpoints), TTL: ttl}, value, seed, a)
	return a
}

// Start begins to put the entry and to renew its lease.
func (a *Announcer) Start() { a.keeper.Start(a.loop.Now()) }

// SetValue changes the value of the entry.
func (a *Announcer) SetValue(value []byte) { a.keeper.SetValue(a.loop.Now(), value) }

// Stop removes the entry. onStopped is called once that has succeeded or failed.
func (a *Announcer) Stop(onStopped func()) {
	a.onStopped = onStopped
	a.keeper.Stop(a.loop.Now())
	a.notifyIfStopped()
}

// Abandon stops all activity without removing the entry, which expires with its lease.
func (a *Announcer) Abandon() {
	a.timer.Stop()
	a.closeCurrent()
}

// Held reports whether the entry is in the registry, as far as is known.
func (a *Announcer) Held() bool { return a.keeper.Held(a.loop.Now()) }

// notifyIfStopped calls onStopped once the keeper has finished.
func (a *Announcer) notifyIfStopped() {
	if a.onStopped != nil && a.keeper.Finished() {
		onStopped := a.onStopped
		a.onStopped = nil
		a.timer.Stop()
		onStopped()
	}
}

// Note implements lease.Actions.
func (a *Announcer) Note(event, why string) { a.onNote(event, why) }

// Wake implements lease.Actions.
func (a *Announcer) Wake(at time.Duration) {
	a.timer.Stop()
	a.timer = a.loop.After(at-a.loop.Now(), func() {
		a.closeCurrent() // the outstanding call has timed out
		a.keeper.Timer(a.loop.Now())
		a.notifyIfStopped()
	})
}

// closeCurrent gives up the outstanding operation and closes its connection.
func (a *Announcer) closeCurrent() {
	if o := a.current; o != nil {
		a.current = nil
		o.closed = true
		o.conn.Close()
	}
}

// Do implements lease.Actions.
func (a *Announcer) Do(c lease.Call) {
	a.closeCurrent()
	addr := a.cfg.Endpoints[c.Endpoint]
	o := &operation{announcer: a, call: c}
	conn, err := (&Client{loop: a.loop, cfg: a.cfg}).dial(addr, o)
	if err != nil {
		a.loop.Defer(func() { a.reportFailure(c.ID, err.Error(), false) })
		return
	}
	o.conn, a.current = conn, o
	method, target, headers, body := a.request(c)
	conn.Write(httpc.AppendRequest(nil, method, target, addr.String(), headers, body))
}

// reportFailure reports a failed call to the keeper.
func (a *Announcer) reportFailure(call uint64, why string, leaseLost bool) {
	a.keeper.Fail(a.loop.Now(), call, why, leaseLost)
	a.notifyIfStopped()
}

// request returns the request for an operation.
func (a *Announcer) request(c lease.Call) (method, target string, headers []httpc.Header, body []byte) {
	seconds := strconv.FormatInt(int64(math.Ceil(c.TTL.Seconds())), 10)
	if a.cfg.Kind == Consul {
		headers = consul{"", a.cfg.Token}.headers()
		switch c.Op {
		case lease.Grant:
			body, _ = json.Marshal(map[string]string{"Name": "lapisshelf", "TTL": seconds + "s", "Behavior": "delete", "LockDelay": "0s"})
			return "PUT", "/v1/session/create", headers, body
		case lease.Put:
			return "PUT", "/v1/kv/" + (&url.URL{Path: a.key}).EscapedPath() + "?acquire=" + url.QueryEscape(c.Lease), headers, c.Value
		case lease.Renew:
			return "PUT", "/v1/session/renew/" + url.PathEscape(c.Lease), headers, []byte{}
		}
		return "PUT", "/v1/session/destroy/" + url.PathEscape(c.Lease), headers, []byte{}
	}
	headers = etcd{"", a.cfg.Token}.headers()
	in := map[string]string{"ID": c.Lease}
	switch c.Op {
	case lease.Grant:
		target, in = "/v3/lease/grant", map[string]string{"TTL": seconds, "ID": "0"}
	case lease.Put:
		b64 := base64.StdEncoding.EncodeToString
		target, in = "/v3/kv/put", map[string]string{"key": b64([]byte(a.key)), "value": b64(c.Value), "lease": c.Lease}
	case lease.Renew:
		target = "/v3/lease/keepalive"
	case lease.Revoke:
		target = "/v3/lease/revoke"
	}
	body, _ = json.Marshal(in)
	return "POST", target, headers, body
}

// errLeaseNotFound means that the registry does not know the lease.
var errLeaseNotFound = errors.New("lease not found")

// parseAnswer parses the answer to an operation. It returns the lease and its TTL.
func (a *Announcer) parseAnswer(c lease.Call, head *httpc.Response, body []byte) (id string, ttl time.Duration, err error) {
	if a.cfg.Kind == Consul {
		switch {
		case head.Status == 404 && c.Op == lease.Renew:
			return "", 0, errLeaseNotFound
		case head.Status != 200:
			return "", 0, statusError(head, nil)
		case c.Op == lease.Put && string(body) != "true": // another session holds the key, or this one is gone
			return "", 0, errLeaseNotFound
		case c.Op != lease.Grant:
			return c.Lease, c.TTL, nil
		}
		var in struct{ ID string }
		if err := json.Unmarshal(body, &in); err != nil || in.ID == "" {
			return "", 0, fmt.Errorf("answer has no session id: %w", err)
		}
		return in.ID, c.TTL, nil
	}
	if head.Status != 200 {
		var in struct{ Code int }
		if json.Unmarshal(body, &in) == nil && in.Code == grpcNotFound && c.Op != lease.Grant {
			return "", 0, errLeaseNotFound
		}
		return "", 0, statusError(head, body)
	}
	var in struct {
		ID     string
		TTL    jsonInt64
		Result *struct {
			ID  string
			TTL jsonInt64
		}
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return "", 0, err
	}
	if in.Result != nil {
		in.ID, in.TTL = in.Result.ID, in.Result.TTL
	}
	if in.TTL < 0 || in.TTL > math.MaxInt32 {
		return "", 0, errors.New("lease TTL out of range")
	}
	return in.ID, time.Duration(in.TTL) * time.Second, nil
}

// grpcNotFound is the gRPC status code NOT_FOUND.
const grpcNotFound = 5

// maxReplyBytes limits the size of an answer to an operation.
const maxReplyBytes = 64 << 10

// operation is one lease operation on a connection of its own.
type operation struct {
	announcer *Announcer
	call      lease.Call
	conn      netConn
	stream    httpc.StreamParser
	body      []byte
	closed    bool
}

// Connected implements loop.Handler.
func (o *operation) Connected() {}

// Flushed implements loop.Handler.
func (o *operation) Flushed() {}

// End implements loop.Handler.
func (o *operation) End(err error) {
	if o.closed {
		return
	}
	if o.stream.HasHead && o.stream.End() == nil {
		o.finish()
		return
	}
	o.fail(fmt.Sprint("connection closed: ", err), false)
}

// Data implements loop.Handler.
func (o *operation) Data(data []byte) {
	_, err := o.stream.Feed(data, func(piece []byte) {
		if len(o.body) <= maxReplyBytes {
			o.body = append(o.body, piece...)
		}
	})
	switch {
	case o.closed:
	case err != nil:
		o.fail(err.Error(), false)
	case len(o.body) > maxReplyBytes:
		o.fail("answer too large", false)
	case o.stream.Done:
		o.finish()
	}
}

// finish parses the complete answer and reports the result to the keeper.
func (o *operation) finish() {
	a := o.announcer
	id, ttl, err := a.parseAnswer(o.call, &o.stream.ResponseHead, o.body)
	if err != nil {
		o.fail(err.Error(), errors.Is(err, errLeaseNotFound))
		return
	}
	a.closeCurrent()
	a.keeper.Done(a.loop.Now(), o.call.ID, id, ttl)
	a.notifyIfStopped()
}

// fail closes the connection and reports the failure to the keeper.
func (o *operation) fail(why string, leaseLost bool) {
	a := o.announcer
	a.closeCurrent()
	o.closed = true
	a.reportFailure(o.call.ID, why, leaseLost)
}
