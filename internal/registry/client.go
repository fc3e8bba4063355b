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

// protocol makes the Kind's.
func (c *Config) protocol() protocol {
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
	proto    protocol
	follower *roster.Follower
	apply    func(roster.Update)
	note     func(event, why string)
	link     *link // to the endpoint in use; nil between calls that failed
	wake     *loop.Timer
	closed   bool
	// Heard is called with each answer that made sense; nil: nobody is.
	OnAnswer func()
	// Bytes that have come, and Bad, answers that made no sense, since the start.
	BytesReceived, BadAnswers int64
}

// New makes a client that does nothing yet. Apply is told of the list, note of what the log should have.
func New(l *loop.Loop, cfg Config, seed uint64, apply func(roster.Update), note func(event, why string)) *Client {
	c := &Client{loop: l, apply: apply, note: note}
	c.take(&cfg)
	c.follower = roster.New(l.Now(), c.cfg.Roster, seed, c)
	return c
}

// take makes a configuration the one in force.
func (c *Client) take(cfg *Config) {
	c.cfg = *cfg
	c.proto = c.cfg.protocol()
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
	c.take(&cfg)
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
	c.wake.Stop()
	c.hangUp()
}

// Apply implements roster.Actions.
func (c *Client) Apply(u roster.Update) { c.apply(u) }

// Note implements roster.Actions.
func (c *Client) Note(event, why string) { c.note(event, why) }

// Wake implements roster.Actions.
func (c *Client) Wake(at time.Duration) {
	if c.wake.Stop(); c.closed {
		return
	}
	c.wake = c.loop.After(at-c.loop.Now(), func() { c.follower.Timer(c.loop.Now()) })
}

// Drop implements roster.Actions. A call ends with its connection: an answer on its way must not be taken for the next.
func (c *Client) Drop(uint64) { c.hangUp() }

func (c *Client) hangUp() {
	if l := c.link; l != nil {
		c.link = nil
		l.gone = true
		l.rise.Stop()
		l.conn.Close()
	}
}

// Ask implements roster.Actions.
func (c *Client) Ask(call roster.Call) {
	if c.closed {
		return
	}
	addr := c.cfg.Endpoints[call.Endpoint]
	if l := c.link; l != nil && (l.addr != addr || l.out || l.stale()) {
		c.hangUp()
	}
	if c.link == nil {
		l := &link{client: c, addr: addr}
		conn, err := c.dial(addr, l)
		if err != nil {
			c.loop.Defer(func() { c.follower.Failed(c.loop.Now(), call.ID, err.Error()) })
			return
		}
		l.conn, c.link = conn, l
		l.rise = c.loop.After(upFor, func() { l.fail("no connection") })
	}
	c.link.ask(call)
}

// wire is a connection: plain, or with TLS.
type wire interface {
	Write([]byte)
	Close()
}

func (c *Client) dial(addr netip.AddrPort, h loop.Handler) (wire, error) {
	if c.cfg.TLS != nil {
		return c.loop.DialTLS(addr, c.cfg.TLS, h), nil
	}
	return c.loop.Dial(addr, h)
}

// link is a connection to an endpoint. It is given back in hangUp, or by its End.
type link struct {
	client  *Client
	addr    netip.AddrPort
	conn    wire
	call    roster.Call
	out     bool // the call is
	stream  httpc.StreamParser
	body    []byte
	objects objects
	begun   bool // a part of what the answer tells has come
	gone    bool
	rise    *loop.Timer // until the connection stands
}

// upFor is how long a connection may take to stand: well under a call's own limit, so that another endpoint is asked.
const upFor = time.Second

// stale reports whether an idle connection has ended.
func (l *link) stale() bool {
	s, ok := l.conn.(interface{ Stale() bool })
	return ok && s.Stale()
}

// ask sends a call's request.
func (l *link) ask(call roster.Call) {
	c := l.client
	l.call, l.out = call, true
	l.stream, l.body, l.objects, l.begun = httpc.StreamParser{}, nil, objects{most: c.cfg.MaxBodyBytes}, false
	method, target, headers, body := c.proto.request(call)
	l.conn.Write(httpc.AppendRequest(nil, method, target, l.addr.String(), headers, body))
}

// fail ends the call and its connection.
func (l *link) fail(why string) {
	if l.gone {
		return
	}
	c, call := l.client, l.call.ID
	c.hangUp()
	c.follower.Failed(c.loop.Now(), call, why)
}

// Connected implements loop.Handler.
func (l *link) Connected() { l.rise.Stop() }

// Flushed implements loop.Handler.
func (l *link) Flushed() {}

// End implements loop.Handler.
func (l *link) End(err error) {
	if l.gone {
		return
	}
	if l.client.link == l {
		l.client.link = nil
	}
	l.gone = true
	l.rise.Stop()
	if !l.out {
		return
	}
	c, call := l.client, l.call
	if l.stream.HasHead && l.stream.End() == nil && !c.proto.streams(call) { // an answer may end with its connection
		if a, err := c.proto.answer(call, &l.stream.ResponseHead, l.body); err == nil {
			a.Call = call.ID
			c.answer(a)
			return
		}
	}
	c.follower.Failed(c.loop.Now(), call.ID, fmt.Sprint("the connection has ended: ", err))
}

var errLarge = errors.New("an answer too large")

// Data implements loop.Handler.
func (l *link) Data(data []byte) {
	c := l.client
	c.BytesReceived += int64(len(data))
	if !l.out {
		l.fail("an answer to nothing")
		return
	}
	call := l.call
	var bad error
	used, err := l.stream.Feed(data, func(piece []byte) {
		l.begun = l.begun || len(bytes.TrimSpace(piece)) > 0
		switch {
		case bad != nil || l.gone || l.call.ID != call.ID:
		case c.proto.streams(call) && l.stream.ResponseHead.Status == 200:
			bad = l.objects.feed(piece, l.object)
		case len(l.body)+len(piece) > c.cfg.MaxBodyBytes:
			bad = errLarge
		default:
			l.body = append(l.body, piece...)
		}
	})
	switch {
	case l.gone || l.call.ID != call.ID: // the call is over already
	case err != nil:
		l.fail(err.Error())
	case bad != nil:
		c.BadAnswers++
		l.fail(bad.Error())
	case l.stream.Done && used < len(data):
		l.fail("more than an answer")
	case l.stream.Done && c.proto.streams(call) && l.stream.ResponseHead.Status == 200:
		l.fail("the watch has ended")
	case l.stream.Done:
		l.answered()
	default:
		c.follower.SetAnswerPending(c.loop.Now(), call.ID, l.owes())
	}
}

// owes reports whether the rest of something that has begun to come is owed: of a head, of an answer, of an object of a stream.
// Behind a whole head a watch may wait.
func (l *link) owes() bool {
	if l.stream.HasHead && l.client.proto.streams(l.call) && l.stream.ResponseHead.Status == 200 {
		return l.objects.depth > 0
	}
	return !l.stream.HasHead || l.begun
}

// object takes one object of a stream.
func (l *link) object(text []byte) error {
	if l.gone {
		return nil
	}
	a, err := l.client.proto.object(text)
	if err != nil {
		return err
	}
	a.Call = l.call.ID
	l.client.answer(a)
	return nil
}

// answer passes an answer on.
func (c *Client) answer(a roster.Answer) {
	c.follower.Answer(c.loop.Now(), a)
	if c.OnAnswer != nil {
		c.OnAnswer()
	}
}

// offLoop is the size of an answer from which it is read beside the loop: a list of thousands takes milliseconds, in which
// no request would be served.
const offLoop = 64 << 10

// answered takes a whole answer.
func (l *link) answered() {
	c, call, head, body := l.client, l.call, l.stream.ResponseHead, l.body
	l.body = nil
	if len(body) < offLoop {
		a, err := c.proto.answer(call, &head, body)
		l.read(a, err)
		return
	}
	proto := c.proto
	go func() {
		a, err := proto.answer(call, &head, body)
		c.loop.Post(func() {
			if !l.gone && l.call.ID == call.ID && l.out { // else it has been given up
				l.read(a, err)
			}
		})
	}()
}

// read takes what an answer was read as.
func (l *link) read(a roster.Answer, err error) {
	c := l.client
	if err != nil {
		if l.stream.ResponseHead.Status == 200 {
			c.BadAnswers++
		}
		l.fail(err.Error())
		return
	}
	l.out = false
	if l.stream.ResponseHead.Close && !l.gone {
		c.hangUp()
	}
	a.Call = l.call.ID
	c.answer(a)
}
