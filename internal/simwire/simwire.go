// Package simwire implements the simulator's protocol of JSON lines. No other package knows its framing and its
// names: events are decoded into the types of package policy, and actions are encoded by method calls.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"lapisshelf/internal/settings"
	"lapisshelf/policy"
)

// Kind is the kind of an event.
type Kind int

// The kinds of events in a batch.
const (
	Start Kind = iota
	Stop
	List
	Request
	FirstByte
	Result
	Abandoned
	Probed
	Peer
	Timer
)

var eventKinds = map[string]Kind{
	"Configure": Start, "Destroy": Stop, "RosterChange": List, "Order": Request, "Begun": FirstByte,
	"ClosedAttempt": Result, "Aborted": Abandoned, "ProbeResult": Probed, "NeighbourSays": Peer, "Ring": Timer,
}

var outcomes = map[int]policy.Outcome{
	100: policy.OK, 101: policy.Miss, 301: policy.Errored, 302: policy.Full, 303: policy.TimedOut,
	304: policy.ConnectFailed, 305: policy.Reset, 306: policy.Cancelled, 307: policy.NotSent,
}

// Event is one event for one instance. Only the fields of its kind are set, as listed with each.
type Event struct {
	Kind     Kind
	Instance string
	Seed     uint64          // Start
	Settings policy.Settings // Start
	ListKind policy.ListKind // List
	Entries  []policy.Server // List
	Request  policy.Request  // Request
	ID       string          // FirstByte, Abandoned
	Attempt  int             // FirstByte: number of the attempt
	Result   policy.Result   // Result
	Token    string          // Timer
	Server   string          // Probed
	Passed   bool            // Probed
	Report   policy.Report   // Probed
}

// Batch holds the events of one point in simulated time.
type Batch struct {
	Now    time.Duration
	Number int64
	Events []Event
}

// message is one line of a batch, with the fields of all kinds of lines. The names of fields without a tag are the
// keys on the wire.
type message struct {
	Kind     string `json:"kind"`
	SimTime  int64
	Frame    int64 `json:"frame"`
	I        string
	Prng     uint64
	Settings json.RawMessage
	Page     int
	Entries  []listEntry
	How      string
	Handle   string
	Grade    string
	Org      any
	Resource json.Number
	Grace    int64
	Write    bool
	N        int
	Server   string
	Ending   int
	Remark   int
	Settled  bool
	Ref      string
	Pressure map[string]float64
}

// listEntry is one server of a list. Its field names are the keys on the wire.
type listEntry struct {
	Server, Az, Hw, Lifecycle string
	Pack                      int
	Scale                     *float64
	Launched                  int64
}

// Reader reads batches. It keeps the numbered server lists, which all instances of the process share.
type Reader struct {
	in         *bufio.Reader
	lineNumber int
	batch      int64
	lists      map[int][]policy.Server
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20), lists: map[int][]policy.Server{}}
}

func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("batch %d, line %d: %w", r.batch, r.lineNumber, fmt.Errorf(format, args...))
}

// readMessage reads the next line that is not empty. It returns io.EOF only if the input ends after a complete line.
func (r *Reader) readMessage() (message, error) {
	var l message
	for {
		text, err := r.in.ReadBytes('\n')
		r.lineNumber++
		text = bytes.TrimSpace(text)
		if len(text) == 0 {
			if err != nil {
				return l, err
			}
			continue
		}
		if err := json.Unmarshal(text, &l); err != nil {
			return l, r.errorf("not a message: %w", err)
		}
		return l, nil
	}
}

// Read returns the next batch, or io.EOF when the input ends between batches.
func (r *Reader) Read() (Batch, error) {
	l, err := r.readMessage()
	if err != nil {
		return Batch{}, err
	}
	if l.Kind != "Batch" {
		return Batch{}, r.errorf("%q where a batch should open", l.Kind)
	}
	b := Batch{Now: time.Duration(l.SimTime), Number: l.Frame}
	r.batch, r.lineNumber = l.Frame, 1
	for {
		l, err := r.readMessage()
		if errors.Is(err, io.EOF) {
			return b, r.errorf("input ends inside the batch")
		}
		if err != nil {
			return b, err
		}
		switch l.Kind {
		case "Eob":
			return b, nil
		case "Census":
			if r.lists[l.Page], err = decodeEntries(l.Entries); err != nil {
				return b, r.errorf("list %d: %w", l.Page, err)
			}
			continue
		}
		e, err := r.decodeEvent(l)
		if err != nil {
			return b, r.errorf("%s: %w", l.Kind, err)
		}
		b.Events = append(b.Events, e)
	}
}

func (r *Reader) decodeEvent(l message) (Event, error) {
	kind, known := eventKinds[l.Kind]
	e := Event{Kind: kind, Instance: l.I, ID: l.Handle, Attempt: l.N, Token: l.Ref, Seed: l.Prng}
	switch {
	case !known:
		return e, errors.New("unknown event")
	case l.I == "":
		return e, errors.New("names no instance")
	}
	var err error
	switch kind {
	case Start:
		e.Settings, err = settings.Decode(l.Settings)
	case List:
		e.ListKind, e.Entries, err = r.decodeList(l)
	case Request:
		e.Request = policy.Request{ID: l.Handle, Class: l.Grade, Key: l.Resource.String(),
			Remaining: time.Duration(l.Grace), Write: l.Write}
		e.Request.Tenant, _ = l.Org.(string)
	case Result:
		e.Result, err = decodeResult(l)
	case Probed:
		e.Server, e.Passed = l.Server, l.Ending == 100
		e.Report = policy.Report{Queue: l.Pressure["depth"], Rate: l.Pressure["tps"]}
	}
	return e, err
}

func (r *Reader) decodeList(l message) (policy.ListKind, []policy.Server, error) {
	kind, known := map[string]policy.ListKind{"Partial": policy.ListChanges, "Complete": policy.ListComplete,
		"Persisted": policy.ListSaved, "Error": policy.ListFailed}[l.How]
	if !known {
		return 0, nil, fmt.Errorf("unknown kind of list %q", l.How)
	}
	if kind == policy.ListFailed {
		return kind, nil, nil
	}
	list, ok := r.lists[l.Page]
	if !ok {
		return kind, nil, fmt.Errorf("list %d was never sent", l.Page)
	}
	return kind, list, nil
}

func decodeEntries(in []listEntry) ([]policy.Server, error) {
	states := map[string]policy.State{"in_service": policy.Ready, "terminating": policy.Draining,
		"terminated": policy.Gone}
	out := make([]policy.Server, 0, len(in))
	for _, x := range in {
		state, ok := states[x.Lifecycle]
		if !ok {
			return nil, fmt.Errorf("server %q: unknown state %q", x.Server, x.Lifecycle)
		}
		s := policy.Server{ID: x.Server, Zone: x.Az, Kind: x.Hw, Cell: x.Pack, State: state, Weight: -1,
			Started: time.Duration(x.Launched)}
		if x.Scale != nil {
			if s.Weight = *x.Scale; s.Weight < 0 {
				return nil, fmt.Errorf("server %q: negative weight %v", x.Server, s.Weight)
			}
		}
		out = append(out, s)
	}
	return out, nil
}

func decodeResult(l message) (policy.Result, error) {
	outcome, ok := outcomes[l.Ending]
	if !ok {
		return policy.Result{}, fmt.Errorf("unknown outcome %d", l.Ending)
	}
	return policy.Result{ID: l.Handle, N: l.N, Server: l.Server, Outcome: outcome, CacheStatus: policy.CacheStatus(l.Remark),
		Final: l.Settled}, nil
}

// Writer buffers the actions of one reply and writes them at once.
type Writer struct {
	out *bufio.Writer
	buf []byte
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, 1<<20)} }

// Close ends the reply to batch n and writes it. No part of the reply is written earlier.
func (w *Writer) Close(n int64) error {
	w.buf = strconv.AppendInt(append(w.buf, `{"kind":"Next","frame":`...), n, 10)
	w.buf = append(w.buf, "}\n"...)
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	if err == nil {
		err = w.out.Flush()
	}
	if err != nil {
		return fmt.Errorf("writing the reply to batch %d: %w", n, err)
	}
	return nil
}

func (w *Writer) stringField(name, value string) {
	quoted, _ := json.Marshal(value) // cannot fail for a string
	w.buf = append(append(append(append(w.buf, `,"`...), name...), `":`...), quoted...)
}

func (w *Writer) intField(name string, value int64) {
	w.buf = strconv.AppendInt(append(append(append(w.buf, `,"`...), name...), `":`...), value, 10)
}

func (w *Writer) beginMessage(kind, instance string) {
	w.buf = append(append(append(w.buf, `{"kind":"`...), kind...), '"')
	w.stringField("I", instance)
}

func (w *Writer) endMessage() { w.buf = append(w.buf, "}\n"...) }

// Actor implements policy.Actions for one instance by writing its actions to the reply.
type Actor struct {
	Writer   *Writer
	Instance string
}

// Send implements policy.Actions.
func (a Actor) Send(id, server string, timeout, _ time.Duration) {
	a.Writer.beginMessage("Place", a.Instance)
	a.Writer.stringField("Handle", id)
	a.Writer.stringField("Server", server)
	if timeout > 0 {
		a.Writer.intField("MaxWait", int64(timeout))
	}
	a.Writer.endMessage()
}

// Refuse implements policy.Actions.
func (a Actor) Refuse(id string, retryAfter time.Duration) {
	a.Writer.beginMessage("SayNo", a.Instance)
	a.Writer.stringField("Handle", id)
	if retryAfter > 0 {
		a.Writer.intField("HoldOff", int64(retryAfter))
	}
	a.Writer.endMessage()
}

// Fail implements policy.Actions.
func (a Actor) Fail(id string) { a.writeMessage("Fail", "Handle", id) }

// Cancel implements policy.Actions.
func (a Actor) Cancel(id string, n int) {
	a.Writer.beginMessage("DropAttempt", a.Instance)
	a.Writer.stringField("Handle", id)
	a.Writer.intField("N", int64(n))
	a.Writer.endMessage()
}

// Timer implements policy.Actions.
func (a Actor) Timer(after time.Duration, token string) {
	a.Writer.beginMessage("WakeAt", a.Instance)
	a.Writer.intField("Span", int64(after))
	a.Writer.stringField("Ref", token)
	a.Writer.endMessage()
}

// Subscribe implements policy.Actions.
func (a Actor) Subscribe() {
	a.Writer.beginMessage("Track", a.Instance)
	a.Writer.buf = append(a.Writer.buf, `,"Want":true`...)
	a.Writer.endMessage()
}

// Probe implements policy.Actions.
func (a Actor) Probe(server string) { a.writeMessage("Ping", "Server", server) }

// Log implements policy.Actions.
func (a Actor) Log(text string) { a.writeMessage("Debug", "NoteText", text) }

// Crash reports that the instance's balancer panicked.
func (a Actor) Crash(text string) { a.writeMessage("Exception", "NoteText", text) }

func (a Actor) writeMessage(kind, name, value string) {
	a.Writer.beginMessage(kind, a.Instance)
	a.Writer.stringField(name, value)
	a.Writer.endMessage()
}
