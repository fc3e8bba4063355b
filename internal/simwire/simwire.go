// Package simwire speaks the simulator's wire: its framing, its JSON lines and its words, none of which
// appear anywhere else. Events come out as the types of package policy, actions go in as plain calls.
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

// Kind names an event.
type Kind int

// The events of a batch.
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

var kinds = map[string]Kind{
	"Configure": Start, "Destroy": Stop, "RosterChange": List, "Order": Request, "Begun": FirstByte,
	"ClosedAttempt": Result, "Aborted": Abandoned, "ProbeResult": Probed, "NeighbourSays": Peer, "Ring": Timer,
}

var outcomes = map[int]policy.Outcome{
	100: policy.OK, 101: policy.Miss, 301: policy.Errored, 302: policy.Full, 303: policy.TimedOut,
	304: policy.ConnectFailed, 305: policy.Reset, 306: policy.Cancelled, 307: policy.NotSent,
}

// Event is one event for one instance; only the fields of its kind are set.
type Event struct {
	Kind     Kind
	Instance string
	Seed     uint64          // Start
	Settings policy.Settings // Start
	ListKind policy.ListKind // List
	Entries  []policy.Server // List
	Request  policy.Request  // Request
	ID       string          // FirstByte, Abandoned
	Attempt  int             // FirstByte
	Result   policy.Result   // Result
	Token    string          // Timer
	Server   string          // Probed
	Passed   bool            // Probed
	Report   policy.Report   // Probed
}

// Batch is what happened at one moment.
type Batch struct {
	Now    time.Duration
	Number int64
	Events []Event
}

// line is the union of all lines of a batch.
type line struct {
	Kind     string `json:"kind"`
	SimTime  int64
	Frame    int64 `json:"frame"`
	I        string
	Prng     uint64
	Settings json.RawMessage
	Page     int
	Entries  []entry
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

type entry struct {
	Server, Az, Hw, Lifecycle string
	Pack                      int
	Scale                     *float64
	Launched                  int64
}

// Reader reads batches. It remembers the numbered lists, which belong to the process.
type Reader struct {
	in    *bufio.Reader
	row   int
	batch int64
	lists map[int][]policy.Server
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20), lists: map[int][]policy.Server{}}
}

func (r *Reader) bad(format string, args ...any) error {
	return fmt.Errorf("batch %d, line %d: %w", r.batch, r.row, fmt.Errorf(format, args...))
}

// next reads one line; it gives io.EOF only at a clean end of the input.
func (r *Reader) next() (line, error) {
	var l line
	for {
		text, err := r.in.ReadBytes('\n')
		r.row++
		text = bytes.TrimSpace(text)
		if len(text) == 0 {
			if err != nil {
				return l, err
			}
			continue
		}
		if err := json.Unmarshal(text, &l); err != nil {
			return l, r.bad("not a message: %w", err)
		}
		return l, nil
	}
}

// Read returns the next batch, or io.EOF when the input ends between batches.
func (r *Reader) Read() (Batch, error) {
	l, err := r.next()
	if err != nil {
		return Batch{}, err
	}
	if l.Kind != "Batch" {
		return Batch{}, r.bad("%q where a batch should open", l.Kind)
	}
	b := Batch{Now: time.Duration(l.SimTime), Number: l.Frame}
	r.batch, r.row = l.Frame, 1
	for {
		l, err := r.next()
		if errors.Is(err, io.EOF) {
			return b, r.bad("input ends inside the batch")
		}
		if err != nil {
			return b, err
		}
		switch l.Kind {
		case "Eob":
			return b, nil
		case "Census":
			if r.lists[l.Page], err = entries(l.Entries); err != nil {
				return b, r.bad("list %d: %w", l.Page, err)
			}
			continue
		}
		e, err := r.event(l)
		if err != nil {
			return b, r.bad("%s: %w", l.Kind, err)
		}
		b.Events = append(b.Events, e)
	}
}

func (r *Reader) event(l line) (Event, error) {
	kind, known := kinds[l.Kind]
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
		e.ListKind, e.Entries, err = r.list(l)
	case Request:
		e.Request = policy.Request{ID: l.Handle, Class: l.Grade, Key: l.Resource.String(),
			Remaining: time.Duration(l.Grace), Write: l.Write}
		e.Request.Tenant, _ = l.Org.(string)
	case Result:
		e.Result, err = result(l)
	case Probed:
		e.Server, e.Passed = l.Server, l.Ending == 100
		e.Report = policy.Report{Queue: l.Pressure["depth"], Rate: l.Pressure["tps"]}
	}
	return e, err
}

func (r *Reader) list(l line) (policy.ListKind, []policy.Server, error) {
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

func entries(in []entry) ([]policy.Server, error) {
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

func result(l line) (policy.Result, error) {
	end, ok := outcomes[l.Ending]
	if !ok {
		return policy.Result{}, fmt.Errorf("unknown outcome %d", l.Ending)
	}
	return policy.Result{ID: l.Handle, N: l.N, Server: l.Server, Outcome: end, CacheStatus: policy.CacheStatus(l.Remark),
		Final: l.Settled}, nil
}

// Writer collects the actions of one reply and sends it.
type Writer struct {
	out *bufio.Writer
	buf []byte
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, 1<<20)} }

// Close ends the reply to batch number n and flushes it; until then nothing of the reply is written.
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

func (w *Writer) text(name, value string) {
	quoted, _ := json.Marshal(value) // a string always encodes
	w.buf = append(append(append(append(w.buf, `,"`...), name...), `":`...), quoted...)
}

func (w *Writer) number(name string, value int64) {
	w.buf = strconv.AppendInt(append(append(append(w.buf, `,"`...), name...), `":`...), value, 10)
}

func (w *Writer) open(kind, instance string) {
	w.buf = append(append(append(w.buf, `{"kind":"`...), kind...), '"')
	w.text("I", instance)
}

func (w *Writer) end() { w.buf = append(w.buf, "}\n"...) }

// Actor writes the actions of one instance; it is that instance's policy.Actions.
type Actor struct {
	Writer   *Writer
	Instance string
}

// Send implements policy.Actions.
func (a Actor) Send(id, server string, wait, _ time.Duration) {
	a.Writer.open("Place", a.Instance)
	a.Writer.text("Handle", id)
	a.Writer.text("Server", server)
	if wait > 0 {
		a.Writer.number("MaxWait", int64(wait))
	}
	a.Writer.end()
}

// Refuse implements policy.Actions.
func (a Actor) Refuse(id string, comeBack time.Duration) {
	a.Writer.open("SayNo", a.Instance)
	a.Writer.text("Handle", id)
	if comeBack > 0 {
		a.Writer.number("HoldOff", int64(comeBack))
	}
	a.Writer.end()
}

// Fail implements policy.Actions.
func (a Actor) Fail(id string) { a.one("Fail", "Handle", id) }

// Cancel implements policy.Actions.
func (a Actor) Cancel(id string, n int) {
	a.Writer.open("DropAttempt", a.Instance)
	a.Writer.text("Handle", id)
	a.Writer.number("N", int64(n))
	a.Writer.end()
}

// Timer implements policy.Actions.
func (a Actor) Timer(after time.Duration, token string) {
	a.Writer.open("WakeAt", a.Instance)
	a.Writer.number("Span", int64(after))
	a.Writer.text("Ref", token)
	a.Writer.end()
}

// Subscribe implements policy.Actions.
func (a Actor) Subscribe() {
	a.Writer.open("Track", a.Instance)
	a.Writer.buf = append(a.Writer.buf, `,"Want":true`...)
	a.Writer.end()
}

// Probe implements policy.Actions.
func (a Actor) Probe(server string) { a.one("Ping", "Server", server) }

// Log implements policy.Actions.
func (a Actor) Log(text string) { a.one("Debug", "NoteText", text) }

// Crash reports that the instance's module failed.
func (a Actor) Crash(text string) { a.one("Exception", "NoteText", text) }

func (a Actor) one(kind, name, value string) {
	a.Writer.open(kind, a.Instance)
	a.Writer.text(name, value)
	a.Writer.end()
}
