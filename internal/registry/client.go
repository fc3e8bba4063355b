// Package registry follows the server list of an external registry, and keeps an entry of this process in one (Announcer). It
// supports the platform's discovery, the JSON gateway of etcd v3, and blocking queries of Consul's key-value store. Package
// decide/roster decides which calls are made and what an answer means; this package has the connections, requests and parsers.
// Everything runs on the event loop of the process.
package registry

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"lapisshelf/decide/roster"
	"lapisshelf/internal/httpc"
	"lapisshelf/internal/loop"
)

// Config tells where the registry is and how its list is followed.
type Config struct {
	Kind           Kind
	Endpoints      []netip.AddrPort
	Prefix         string      // of the keys of servers; for etcd and Consul
	Token          string      // sent with each request; empty for none
	TLS            *tls.Config // nil for plain TCP
	TLSFingerprint string      // identifies the content of TLS, for Equal
	MaxBodyBytes   int         // maximum size of an answer, or of one object of a stream
	Roster         roster.Config
}

// Equal reports whether two configurations reach the same registry in the same way and follow it with the same settings.
// MaxBodyBytes is not compared.
func (c *Config) Equal(other *Config) bool {
	return c.Kind == other.Kind && slices.Equal(c.Endpoints, other.Endpoints) && c.Prefix == other.Prefix && c.Token == other.Token &&
		(c.TLS == nil) == (other.TLS == nil) && c.TLSFingerprint == other.TLSFingerprint && c.Roster == other.Roster
}

// newProtocol returns the protocol of c.Kind.
func (c *Config) newProtocol() protocol {
	switch c.Kind {
	case Etcd:
		return etcd{c.Prefix, c.Token}
	case Consul:
		return consul{c.Prefix, c.Token}
	}
	return discovery{}
}

// Client follows the server list of one registry. It must be used on the event loop only.
type Client struct {
	loop     *loop.Loop
	cfg      Config
	protocol protocol
	follower *roster.Follower
	onUpdate func(roster.Update)
	onNote   func(event, why string)
	conn     *endpointConn // to the endpoint in use; nil if there is none
	timer    *loop.Timer
	closed   bool
	// OnAnswer is called after each valid answer, unless it is nil.
	OnAnswer func()
	// BytesReceived counts bytes received, and BadAnswers invalid answers, both since the start.
	BytesReceived, BadAnswers int64
}

// New returns a client that does nothing before Start. onUpdate receives changes of the list; onNote writes log lines.
func New(l *loop.Loop, cfg Config, seed uint64, onUpdate func(roster.Update), onNote func(event, why string)) *Client {
	c := &Client{loop: l, onUpdate: onUpdate, onNote: onNote}
	c.setConfig(&cfg)
	c.follower = roster.New(l.Now(), c.cfg.Roster, seed, c)
	return c
}

// setConfig puts a configuration into effect for later calls.
func (c *Client) setConfig(cfg *Config) {
	c.cfg = *cfg
	c.protocol = c.cfg.newProtocol()
	c.cfg.Roster.Endpoints, c.cfg.Roster.Streaming = len(cfg.Endpoints), cfg.Kind == Etcd
}

// Start begins to follow the registry. It starts from a saved list if revision is above 0 or saved is not empty.
func (c *Client) Start(revision int64, saved []roster.Entry) {
	if revision > 0 || len(saved) > 0 {
		c.follower.Restore(revision, saved)
	}
	c.follower.Start(c.loop.Now())
}

// ChangeRegistry goes over to another configuration and reads the whole list anew: revisions of different registries are not
// comparable, and changes that the old one had not reported yet must not be missed. The current list stays in effect until then.
func (c *Client) ChangeRegistry(cfg Config) {
	c.setConfig(&cfg)
	c.follower.ChangeRegistry(c.loop.Now(), c.cfg.Roster)
}

// Counts returns the follower's event counts since the start.
func (c *Client) Counts() roster.Counts { return c.follower.Counts }

// ListStatus returns the revision of the current list, its number of servers, and how many of these have vanished from the registry
// and are kept for now.
func (c *Client) ListStatus() (revision int64, servers, kept int) {
	return c.follower.Revision(), c.follower.Servers(), c.follower.HeldServers()
}

// Close stops following and closes the connection.
func (c *Client) Close() {
	c.closed = true
	c.timer.Stop()
	c.closeConn()
}

// Apply implements roster.Actions.
func (c *Client) Apply(u roster.Update) { c.onUpdate(u) }

// Note implements roster.Actions.
func (c *Client) Note(event, why string) { c.onNote(event, why) }

// Wake implements roster.Actions.
func (c *Client) Wake(at time.Duration) {
	if c.timer.Stop(); c.closed {
		return
	}
	c.timer = c.loop.After(at-c.loop.Now(), func() { c.follower.Timer(c.loop.Now()) })
}

// Drop implements roster.Actions. It closes the connection, so that a late answer is not taken for that of the next call.
func (c *Client) Drop(uint64) { c.closeConn() }

// closeConn closes the connection, if there is one, without reporting a failure.
func (c *Client) closeConn() {
	if e := c.conn; e != nil {
		c.conn = nil
		e.closed = true
		e.connectTimer.Stop()
		e.conn.Close()
	}
}

// Ask implements roster.Actions.
func (c *Client) Ask(call roster.Call) {
	if c.closed {
		return
	}
	addr := c.cfg.Endpoints[call.Endpoint]
	if e := c.conn; e != nil && (e.addr != addr || e.callPending || e.stale()) {
		c.closeConn()
	}
	if c.conn == nil {
		e := &endpointConn{client: c, addr: addr}
		conn, err := c.dial(addr, e)
		if err != nil {
			c.loop.Defer(func() { c.follower.Failed(c.loop.Now(), call.ID, err.Error()) })
			return
		}
		e.conn, c.conn = conn, e
		e.connectTimer = c.loop.After(connectTimeout, func() { e.fail("connection timeout") })
	}
	c.conn.send(call)
}

// netConn is a TCP connection with or without TLS.
type netConn interface {
	Write([]byte)
	Close()
}

// dial starts a connection, with TLS if configured. Its events go to h.
func (c *Client) dial(addr netip.AddrPort, h loop.Handler) (netConn, error) {
	if c.cfg.TLS != nil {
		return c.loop.DialTLS(addr, c.cfg.TLS, h), nil
	}
	return c.loop.Dial(addr, h)
}

// endpointConn is a connection to an endpoint. It is released by closeConn, or in End.
type endpointConn struct {
	client       *Client
	addr         netip.AddrPort
	conn         netConn
	call         roster.Call // the outstanding or latest call
	callPending  bool        // call is outstanding
	stream       httpc.StreamParser
	body         []byte
	objects      objectSplitter
	bodyStarted  bool // a part of the body other than whitespace was received
	closed       bool
	connectTimer *loop.Timer // fails the call if the connection is not established in time
}

// connectTimeout bounds the establishment of a connection. It is well below the timeout of a call, so that another endpoint is
// tried in time.
const connectTimeout = time.Second

// stale reports whether the idle connection was closed by the peer or holds unsolicited bytes.
func (e *endpointConn) stale() bool {
	s, ok := e.conn.(interface{ Stale() bool })
	return ok && s.Stale()
}

// send sends the request of a call.
func (e *endpointConn) send(call roster.Call) {
	c := e.client
	e.call, e.callPending = call, true
	e.stream, e.body, e.objects, e.bodyStarted = httpc.StreamParser{}, nil, objectSplitter{maxBytes: c.cfg.MaxBodyBytes}, false
	method, target, headers, body := c.protocol.request(call)
	e.conn.Write(httpc.AppendRequest(nil, method, target, e.addr.String(), headers, body))
}

// fail closes the connection and reports the failure of the call.
func (e *endpointConn) fail(why string) {
	if e.closed {
		return
	}
	c, call := e.client, e.call.ID
	c.closeConn()
	c.follower.Failed(c.loop.Now(), call, why)
}

// Connected implements loop.Handler.
func (e *endpointConn) Connected() { e.connectTimer.Stop() }

// Flushed implements loop.Handler.
func (e *endpointConn) Flushed() {}

// End implements loop.Handler.
func (e *endpointConn) End(err error) {
	if e.closed {
		return
	}
	if e.client.conn == e {
		e.client.conn = nil
	}
	e.closed = true
	e.connectTimer.Stop()
	if !e.callPending {
		return
	}
	c, call := e.client, e.call
	if e.stream.HasHead && e.stream.End() == nil && !c.protocol.streams(call) { // the end of the connection may be the end of the answer
		if a, err := c.protocol.parseAnswer(call, &e.stream.ResponseHead, e.body); err == nil {
			a.Call = call.ID
			c.deliver(a)
			return
		}
	}
	c.follower.Failed(c.loop.Now(), call.ID, fmt.Sprint("connection closed: ", err))
}

var errAnswerTooLarge = errors.New("answer too large")

// Data implements loop.Handler.
func (e *endpointConn) Data(data []byte) {
	c := e.client
	c.BytesReceived += int64(len(data))
	if !e.callPending {
		e.fail("data received without a call outstanding")
		return
	}
	call := e.call
	var bad error
	used, err := e.stream.Feed(data, func(piece []byte) {
		e.bodyStarted = e.bodyStarted || len(bytes.TrimSpace(piece)) > 0
		switch {
		case bad != nil || e.closed || e.call.ID != call.ID:
		case c.protocol.streams(call) && e.stream.ResponseHead.Status == 200:
			bad = e.objects.feed(piece, e.handleObject)
		case len(e.body)+len(piece) > c.cfg.MaxBodyBytes:
			bad = errAnswerTooLarge
		default:
			e.body = append(e.body, piece...)
		}
	})
	switch {
	case e.closed || e.call.ID != call.ID: // the call has ended already
	case err != nil:
		e.fail(err.Error())
	case bad != nil:
		c.BadAnswers++
		e.fail(bad.Error())
	case e.stream.Done && used < len(data):
		e.fail("data received after the answer")
	case e.stream.Done && c.protocol.streams(call) && e.stream.ResponseHead.Status == 200:
		e.fail("the watch stream ended")
	case e.stream.Done:
		e.parseBody()
	default:
		c.follower.SetAnswerPending(c.loop.Now(), call.ID, e.answerPending())
	}
}

// answerPending reports whether something was received in part whose rest must follow at once: a head, an answer, or an object of a
// stream. After a complete head, a watch may wait for a change.
func (e *endpointConn) answerPending() bool {
	if e.stream.HasHead && e.client.protocol.streams(e.call) && e.stream.ResponseHead.Status == 200 {
		return e.objects.depth > 0
	}
	return !e.stream.HasHead || e.bodyStarted
}

// handleObject parses one object of a stream and passes it on.
func (e *endpointConn) handleObject(text []byte) error {
	if e.closed {
		return nil
	}
	a, err := e.client.protocol.parseObject(text)
	if err != nil {
		return err
	}
	a.Call = e.call.ID
	e.client.deliver(a)
	return nil
}

// deliver passes an answer to the follower and calls OnAnswer.
func (c *Client) deliver(a roster.Answer) {
	c.follower.Answer(c.loop.Now(), a)
	if c.OnAnswer != nil {
		c.OnAnswer()
	}
}

// offLoopParseBytes is the size of an answer from which it is parsed outside the event loop: a list with thousands of servers takes
// milliseconds to parse, during which no request would be served.
const offLoopParseBytes = 64 << 10

// parseBody parses a complete answer, in a goroutine of its own if it is large.
func (e *endpointConn) parseBody() {
	c, call, head, body := e.client, e.call, e.stream.ResponseHead, e.body
	e.body = nil
	if len(body) < offLoopParseBytes {
		a, err := c.protocol.parseAnswer(call, &head, body)
		e.handleAnswer(a, err)
		return
	}
	proto := c.protocol
	go func() {
		a, err := proto.parseAnswer(call, &head, body)
		c.loop.Post(func() {
			if !e.closed && e.call.ID == call.ID && e.callPending { // otherwise the call was given up
				e.handleAnswer(a, err)
			}
		})
	}()
}

// handleAnswer ends the call with the result of parsing its answer.
func (e *endpointConn) handleAnswer(a roster.Answer, err error) {
	c := e.client
	if err != nil {
		if e.stream.ResponseHead.Status == 200 {
			c.BadAnswers++
		}
		e.fail(err.Error())
		return
	}
	e.callPending = false
	if e.stream.ResponseHead.Close && !e.closed {
		c.closeConn()
	}
	a.Call = e.call.ID
	c.deliver(a)
}
