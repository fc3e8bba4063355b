// Package registry follows a server list kept elsewhere, on the node's own loop: the platform's discovery, the JSON gateway
// of etcd v3, or blocking reads of a key-value store as Consul has them. What is asked, and what an answer means, is
// decided by decide/roster; here are connections, requests and parsers.
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

// Config says where the list is and how it is followed.
type Config struct {
	Kind           Kind
	Endpoints      []netip.AddrPort
	Prefix         string      // of the keys, for a key-value store
	Token          string      // sent with each request; empty: none
	TLS            *tls.Config // nil: plain
	TLSFingerprint string      // tells one TLS configuration from another
	MaxBodyBytes   int         // bytes of an answer, or of an object of a stream
	Roster         roster.Config
}

// Equal reports whether two configurations name the same registry, reached and read in the same way.
func (c *Config) Equal(o *Config) bool {
	return c.Kind == o.Kind && slices.Equal(c.Endpoints, o.Endpoints) && c.Prefix == o.Prefix && c.Token == o.Token &&
		(c.TLS == nil) == (o.TLS == nil) && c.TLSFingerprint == o.TLSFingerprint && c.Roster == o.Roster
}

// newProtocol makes the Kind's.
func (c *Config) newProtocol() protocol {
	switch c.Kind {
	case Etcd:
		return etcd{c.Prefix, c.Token}
	case Consul:
		return consul{c.Prefix, c.Token}
	}
	return discovery{}
}

// Client follows one registry. All of it runs on the loop.
type Client struct {
	loop     *loop.Loop
	cfg      Config
	protocol protocol
	follower *roster.Follower
	onUpdate func(roster.Update)
	onNote   func(event, why string)
	conn     *endpointConn // to the endpoint in use; nil between calls that failed
	timer    *loop.Timer
	closed   bool
	// Heard is called with each answer that made sense; nil: nobody is.
	OnAnswer func()
	// Bytes that have come, and Bad, answers that made no sense, since the start.
	BytesReceived, BadAnswers int64
}

// New makes a client that does nothing yet. Apply is told of the list, note of what the log should have.
func New(l *loop.Loop, cfg Config, seed uint64, apply func(roster.Update), note func(event, why string)) *Client {
	c := &Client{loop: l, onUpdate: apply, onNote: note}
	c.setConfig(&cfg)
	c.follower = roster.New(l.Now(), c.cfg.Roster, seed, c)
	return c
}

// setConfig makes a configuration the one in force.
func (c *Client) setConfig(cfg *Config) {
	c.cfg = *cfg
	c.protocol = c.cfg.newProtocol()
	c.cfg.Roster.Endpoints, c.cfg.Roster.Streaming = len(cfg.Endpoints), cfg.Kind == Etcd
}

// Start begins to follow, from a list held before if its revision is above 0 or it names servers.
func (c *Client) Start(revision int64, saved []roster.Entry) {
	if revision > 0 || len(saved) > 0 {
		c.follower.Restore(revision, saved)
	}
	c.follower.Start(c.loop.Now())
}

// ChangeRegistry begins anew with another configuration, from a read of the whole list: revisions are a registry's own, and what
// the old one had still to tell must not be missed. The list held stays until then.
func (c *Client) ChangeRegistry(cfg Config) {
	c.setConfig(&cfg)
	c.follower.ChangeRegistry(c.loop.Now(), c.cfg.Roster)
}

// Counts tells what has happened since the start.
func (c *Client) Counts() roster.Counts { return c.follower.Counts }

// ListStatus is the revision of the list held, how many servers it has, and how many of them are kept though they vanished.
func (c *Client) ListStatus() (revision int64, servers, kept int) {
	return c.follower.Revision(), c.follower.Servers(), c.follower.HeldServers()
}

// Close gives back what is held.
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

// Drop implements roster.Actions. A call ends with its connection: an answer on its way must not be taken for the next.
func (c *Client) Drop(uint64) { c.closeConn() }

func (c *Client) closeConn() {
	if l := c.conn; l != nil {
		c.conn = nil
		l.closed = true
		l.connectTimer.Stop()
		l.conn.Close()
	}
}

// Ask implements roster.Actions.
func (c *Client) Ask(call roster.Call) {
	if c.closed {
		return
	}
	addr := c.cfg.Endpoints[call.Endpoint]
	if l := c.conn; l != nil && (l.addr != addr || l.callPending || l.stale()) {
		c.closeConn()
	}
	if c.conn == nil {
		l := &endpointConn{client: c, addr: addr}
		conn, err := c.dial(addr, l)
		if err != nil {
			c.loop.Defer(func() { c.follower.Failed(c.loop.Now(), call.ID, err.Error()) })
			return
		}
		l.conn, c.conn = conn, l
		l.connectTimer = c.loop.After(connectTimeout, func() { l.fail("no connection") })
	}
	c.conn.send(call)
}

// netConn is a connection: plain, or with TLS.
type netConn interface {
	Write([]byte)
	Close()
}

func (c *Client) dial(addr netip.AddrPort, h loop.Handler) (netConn, error) {
	if c.cfg.TLS != nil {
		return c.loop.DialTLS(addr, c.cfg.TLS, h), nil
	}
	return c.loop.Dial(addr, h)
}

// endpointConn is a connection to an endpoint. It is given back in hangUp, or by its End.
type endpointConn struct {
	client       *Client
	addr         netip.AddrPort
	conn         netConn
	call         roster.Call
	callPending  bool // the call is
	stream       httpc.StreamParser
	body         []byte
	objects      objectSplitter
	bodyStarted  bool // a part of what the answer tells has come
	closed       bool
	connectTimer *loop.Timer // until the connection stands
}

// connectTimeout is how long a connection may take to stand: well under a call's own limit, so that another endpoint is asked.
const connectTimeout = time.Second

// stale reports whether an idle connection has ended.
func (l *endpointConn) stale() bool {
	s, ok := l.conn.(interface{ Stale() bool })
	return ok && s.Stale()
}

// send sends a call's request.
func (l *endpointConn) send(call roster.Call) {
	c := l.client
	l.call, l.callPending = call, true
	l.stream, l.body, l.objects, l.bodyStarted = httpc.StreamParser{}, nil, objectSplitter{maxBytes: c.cfg.MaxBodyBytes}, false
	method, target, headers, body := c.protocol.request(call)
	l.conn.Write(httpc.AppendRequest(nil, method, target, l.addr.String(), headers, body))
}

// fail ends the call and its connection.
func (l *endpointConn) fail(why string) {
	if l.closed {
		return
	}
	c, call := l.client, l.call.ID
	c.closeConn()
	c.follower.Failed(c.loop.Now(), call, why)
}

// Connected implements loop.Handler.
func (l *endpointConn) Connected() { l.connectTimer.Stop() }

// Flushed implements loop.Handler.
func (l *endpointConn) Flushed() {}

// End implements loop.Handler.
func (l *endpointConn) End(err error) {
	if l.closed {
		return
	}
	if l.client.conn == l {
		l.client.conn = nil
	}
	l.closed = true
	l.connectTimer.Stop()
	if !l.callPending {
		return
	}
	c, call := l.client, l.call
	if l.stream.HasHead && l.stream.End() == nil && !c.protocol.streams(call) { // an answer may end with its connection
		if a, err := c.protocol.parseAnswer(call, &l.stream.ResponseHead, l.body); err == nil {
			a.Call = call.ID
			c.deliver(a)
			return
		}
	}
	c.follower.Failed(c.loop.Now(), call.ID, fmt.Sprint("the connection has ended: ", err))
}

var errAnswerTooLarge = errors.New("an answer too large")

// Data implements loop.Handler.
func (l *endpointConn) Data(data []byte) {
	c := l.client
	c.BytesReceived += int64(len(data))
	if !l.callPending {
		l.fail("an answer to nothing")
		return
	}
	call := l.call
	var bad error
	used, err := l.stream.Feed(data, func(piece []byte) {
		l.bodyStarted = l.bodyStarted || len(bytes.TrimSpace(piece)) > 0
		switch {
		case bad != nil || l.closed || l.call.ID != call.ID:
		case c.protocol.streams(call) && l.stream.ResponseHead.Status == 200:
			bad = l.objects.feed(piece, l.handleObject)
		case len(l.body)+len(piece) > c.cfg.MaxBodyBytes:
			bad = errAnswerTooLarge
		default:
			l.body = append(l.body, piece...)
		}
	})
	switch {
	case l.closed || l.call.ID != call.ID: // the call is over already
	case err != nil:
		l.fail(err.Error())
	case bad != nil:
		c.BadAnswers++
		l.fail(bad.Error())
	case l.stream.Done && used < len(data):
		l.fail("more than an answer")
	case l.stream.Done && c.protocol.streams(call) && l.stream.ResponseHead.Status == 200:
		l.fail("the watch has ended")
	case l.stream.Done:
		l.parseBody()
	default:
		c.follower.SetAnswerPending(c.loop.Now(), call.ID, l.answerPending())
	}
}

// answerPending reports whether the rest of something that has begun to come is owed: of a head, of an answer, of an object of a stream.
// Behind a whole head a watch may wait.
func (l *endpointConn) answerPending() bool {
	if l.stream.HasHead && l.client.protocol.streams(l.call) && l.stream.ResponseHead.Status == 200 {
		return l.objects.depth > 0
	}
	return !l.stream.HasHead || l.bodyStarted
}

// handleObject takes one object of a stream.
func (l *endpointConn) handleObject(text []byte) error {
	if l.closed {
		return nil
	}
	a, err := l.client.protocol.parseObject(text)
	if err != nil {
		return err
	}
	a.Call = l.call.ID
	l.client.deliver(a)
	return nil
}

// deliver passes an answer on.
func (c *Client) deliver(a roster.Answer) {
	c.follower.Answer(c.loop.Now(), a)
	if c.OnAnswer != nil {
		c.OnAnswer()
	}
}

// offLoopParseBytes is the size of an answer from which it is read beside the loop: a list of thousands takes milliseconds, in which
// no request would be served.
const offLoopParseBytes = 64 << 10

// parseBody takes a whole answer.
func (l *endpointConn) parseBody() {
	c, call, head, body := l.client, l.call, l.stream.ResponseHead, l.body
	l.body = nil
	if len(body) < offLoopParseBytes {
		a, err := c.protocol.parseAnswer(call, &head, body)
		l.handleAnswer(a, err)
		return
	}
	proto := c.protocol
	go func() {
		a, err := proto.parseAnswer(call, &head, body)
		c.loop.Post(func() {
			if !l.closed && l.call.ID == call.ID && l.callPending { // else it has been given up
				l.handleAnswer(a, err)
			}
		})
	}()
}

// handleAnswer takes what an answer was read as.
func (l *endpointConn) handleAnswer(a roster.Answer, err error) {
	c := l.client
	if err != nil {
		if l.stream.ResponseHead.Status == 200 {
			c.BadAnswers++
		}
		l.fail(err.Error())
		return
	}
	l.callPending = false
	if l.stream.ResponseHead.Close && !l.closed {
		c.closeConn()
	}
	a.Call = l.call.ID
	c.deliver(a)
}
