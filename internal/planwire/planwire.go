// Package planwire encodes and decodes the messages between forwarders and planners. A frame is a length of four bytes and
// a message in canonical CBOR. The package does no I/O. docs/planners.md specifies the format.
package planwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisshelf/decide/plan"
	"lapisshelf/policy"
)

// Version is the protocol version that is written. A reader accepts it, the one before and the one after: from one version to
// the next, fields are only added.
const Version = 1

// MaxMessageBytes is the maximum size of a message, without the four bytes of its length.
const MaxMessageBytes = 512 << 10

// Message is a digest, a view or a change. Exactly one of Digest, View and Change is set.
type Message struct {
	Digest     *plan.Digest
	Hold       *plan.Hold // with a digest: the state that the sender holds; nil: the sender does not support changes, only views
	NextChange uint64     // with a hold: number of the next change expected on this connection, from 1; 0: sent by an older forwarder, which does not number them
	View       *plan.View
	Change     *plan.Change
}

type (
	message struct {
		Version uint8           `cbor:"0,keyasint"`
		Digest  *digest         `cbor:"1,keyasint,omitempty"`
		View    *view           `cbor:"2,keyasint,omitempty"`
		Hold    *hold           `cbor:"3,keyasint,omitempty"`
		Change  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
		Grants  []grant         `cbor:"5,keyasint,omitempty"` // with a change
		Answers *answers        `cbor:"6,keyasint,omitempty"` // with grants
	}
	answers struct {
		Seq   uint64 `cbor:"1,keyasint"`
		After int64  `cbor:"2,keyasint"`
	}
	hold struct {
		History  uint64 `cbor:"1,keyasint,omitempty"`
		Revision uint64 `cbor:"2,keyasint,omitempty"`
		Follows  bool   `cbor:"3,keyasint,omitempty"`
		Next     uint64 `cbor:"4,keyasint,omitempty"`
	}
	grant struct {
		ID   string  `cbor:"1,keyasint"`
		Rate float64 `cbor:"2,keyasint"`
	}
	load struct {
		ID     string `cbor:"1,keyasint,omitempty"`
		Sends  int    `cbor:"2,keyasint,omitempty"`
		Timely int    `cbor:"3,keyasint,omitempty"`
		Late   int    `cbor:"4,keyasint,omitempty"`
		Full   int    `cbor:"5,keyasint,omitempty"`
		Failed int    `cbor:"6,keyasint,omitempty"`
		Times  []int  `cbor:"7,keyasint,omitempty"`
	}
	heat struct {
		Key   uint32  `cbor:"1,keyasint"`
		Asked int     `cbor:"2,keyasint,omitempty"`
		Load  float64 `cbor:"3,keyasint,omitempty"`
	}
	use struct {
		Tenant string  `cbor:"1,keyasint"`
		Asked  int     `cbor:"2,keyasint,omitempty"`
		Rate   float64 `cbor:"3,keyasint,omitempty"`
	}
	digest struct {
		From     string `cbor:"1,keyasint"`
		Start    int64  `cbor:"2,keyasint"`
		Seq      uint64 `cbor:"3,keyasint"`
		Span     int64  `cbor:"4,keyasint"`
		Asked    int    `cbor:"5,keyasint,omitempty"`
		Answered int    `cbor:"6,keyasint,omitempty"`
		Servers  []load `cbor:"7,keyasint,omitempty"`
		Origin   load   `cbor:"8,keyasint"`
		Hot      []heat `cbor:"9,keyasint,omitempty"`
		Tenants  []use  `cbor:"10,keyasint,omitempty"`
		Brief    bool   `cbor:"11,keyasint,omitempty"`
		Rest     *load  `cbor:"12,keyasint,omitempty"`
		Bad      []load `cbor:"13,keyasint,omitempty"`
		Past     int    `cbor:"14,keyasint,omitempty"`
	}
	share struct {
		ID     string  `cbor:"1,keyasint"`
		Factor float64 `cbor:"2,keyasint"`
		Allow  float64 `cbor:"3,keyasint,omitempty"`
	}
	view struct {
		Epoch   uint64  `cbor:"1,keyasint,omitempty"`
		Planner string  `cbor:"2,keyasint"`
		Made    int64   `cbor:"3,keyasint"`
		Valid   int64   `cbor:"4,keyasint"`
		Servers []share `cbor:"5,keyasint,omitempty"`
		Admit   float64 `cbor:"6,keyasint,omitempty"`
		Hot     []heat  `cbor:"7,keyasint,omitempty"`
		Tenants []use   `cbor:"8,keyasint,omitempty"`
	}
	// factor is a server's factor, in thousandths.
	factor struct {
		ID     string `cbor:"1,keyasint"`
		Factor uint16 `cbor:"2,keyasint"`
	}
	change struct {
		Epoch      uint64   `cbor:"1,keyasint,omitempty"`
		Planner    string   `cbor:"2,keyasint"`
		Made       int64    `cbor:"3,keyasint"`
		Valid      int64    `cbor:"4,keyasint"`
		History    uint64   `cbor:"5,keyasint"`
		Base       uint64   `cbor:"6,keyasint,omitempty"`
		Revision   uint64   `cbor:"7,keyasint"`
		Count      int      `cbor:"8,keyasint,omitempty"`
		Servers    []factor `cbor:"9,keyasint,omitempty"`
		Admit      uint16   `cbor:"10,keyasint,omitempty"` // in thousandths
		Hot        []heat   `cbor:"11,keyasint,omitempty"`
		HotSet     bool     `cbor:"12,keyasint,omitempty"`
		Tenants    []use    `cbor:"13,keyasint,omitempty"`
		TenantsSet bool     `cbor:"14,keyasint,omitempty"`
		Sum        uint32   `cbor:"15,keyasint"`
	}
)

const thousandths = 1000

var (
	encoder = must(cbor.CanonicalEncOptions().EncMode())
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 2 * plan.MaxServers, MaxMapPairs: 32,
		MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // impossible: the options are constants
	}
	return mode
}

// Append appends a message's frame to buf.
func Append(buf []byte, m Message) ([]byte, error) {
	out := message{Version: Version}
	if d := m.Digest; d != nil {
		x := &digest{From: d.From, Start: d.Start, Seq: d.Seq, Span: int64(d.Span), Asked: d.Asked, Answered: d.Answered, Origin: load(d.Origin)}
		for _, l := range d.Servers {
			x.Servers = append(x.Servers, load(l))
		}
		for _, h := range d.Hot {
			x.Hot = append(x.Hot, heat{Key: h.Key, Asked: h.Asked})
		}
		for _, u := range d.Tenants {
			x.Tenants = append(x.Tenants, use{Tenant: u.Tenant, Asked: u.Asked})
		}
		if x.Brief = d.Brief; d.Brief {
			rest := load(d.Rest)
			x.Rest = &rest
		}
		for _, l := range d.Bad {
			x.Bad = append(x.Bad, load(l))
		}
		x.Past = d.Past
		out.Digest = x
	}
	if h := m.Hold; h != nil {
		out.Hold = &hold{h.History, h.Revision, h.Follows, m.NextChange}
	}
	if v := m.View; v != nil {
		x := &view{Epoch: v.Epoch, Planner: v.Planner, Made: int64(v.Made), Valid: int64(v.Valid), Admit: v.Admit}
		for _, s := range v.Servers {
			x.Servers = append(x.Servers, share(s))
		}
		for _, h := range v.Hot {
			x.Hot = append(x.Hot, heat{Key: h.Key, Load: h.Load})
		}
		for _, u := range v.Tenants {
			x.Tenants = append(x.Tenants, use{Tenant: u.Name, Rate: u.Asked})
		}
		out.View = x
	}
	if c := m.Change; c != nil {
		raw, err := EncodeChange(*c)
		if err != nil {
			return buf, err
		}
		return AppendGrants(buf, raw, c.Grants, c.Answers, c.After)
	}
	return appendMessage(buf, out)
}

// EncodeChange encodes a change without its grants, for AppendChange and AppendGrants. The result is the same for all
// forwarders that hold the same revision.
func EncodeChange(c plan.Change) (cbor.RawMessage, error) {
	x := change{Epoch: c.Epoch, Planner: c.Planner, Made: int64(c.Made), Valid: int64(c.Valid), History: c.History, Base: c.Base, Revision: c.Revision, Count: c.Count,
		Admit: toThousandths(c.Admit), HotSet: c.HotSet, TenantsSet: c.TenantsSet, Sum: c.Sum}
	for _, s := range c.Servers {
		x.Servers = append(x.Servers, factor{s.ID, toThousandths(s.Factor)})
	}
	for _, h := range c.Hot {
		x.Hot = append(x.Hot, heat{Key: h.Key, Load: h.Load})
	}
	for _, u := range c.Tenants {
		x.Tenants = append(x.Tenants, use{Tenant: u.Name, Rate: u.Asked})
	}
	return encoder.Marshal(x)
}

// toThousandths converts a number from 0 to 1 to thousandths. Any other number becomes math.MaxUint16, which readers reject.
func toThousandths(part float64) uint16 {
	if !(part >= 0 && part <= 1) {
		return math.MaxUint16
	}
	return uint16(math.Round(part * thousandths))
}

// AppendChange appends the frame of an encoded change to buf.
func AppendChange(buf []byte, raw cbor.RawMessage) ([]byte, error) {
	return appendMessage(buf, message{Version: Version, Change: raw})
}

// AppendGrants appends the frame of an encoded change with one forwarder's grants to buf. seq is the number of the latest
// digest received from that forwarder, after the time since it arrived.
func AppendGrants(buf []byte, raw cbor.RawMessage, grants []plan.Grant, seq uint64, after time.Duration) ([]byte, error) {
	out := message{Version: Version, Change: raw}
	for _, g := range grants {
		out.Grants = append(out.Grants, grant(g))
	}
	if len(grants) > 0 {
		out.Answers = &answers{seq, int64(after)}
	}
	return appendMessage(buf, out)
}

func appendMessage(buf []byte, out message) ([]byte, error) {
	body, err := encoder.Marshal(out)
	if err != nil {
		return buf, err
	}
	if len(body) > MaxMessageBytes {
		return buf, fmt.Errorf("message of %d bytes is too large", len(body))
	}
	return append(binary.BigEndian.AppendUint32(buf, uint32(len(body))), body...), nil
}

// Next decodes the message at the start of data, and returns the number of bytes that its frame takes; 0 means that the
// frame is incomplete. After an error nothing that follows can be decoded either. The content of the message is not checked:
// see the Check methods of plan.Digest, plan.View and plan.Change.
func Next(data []byte) (m Message, used int, err error) {
	if len(data) < 4 {
		return m, 0, nil
	}
	size := binary.BigEndian.Uint32(data)
	if size == 0 || size > MaxMessageBytes {
		return m, 0, fmt.Errorf("invalid message length of %d bytes", size)
	}
	if used = 4 + int(size); len(data) < used {
		return m, 0, nil
	}
	var in message
	if err := decoder.Unmarshal(data[4:used], &in); err != nil {
		return m, 0, err
	}
	if in.Version < Version-1 || in.Version > Version+1 || in.Version == 0 {
		return m, 0, fmt.Errorf("unsupported version %d, expected %d", in.Version, Version)
	}
	kinds := 0
	for _, present := range []bool{in.Digest != nil, in.View != nil, in.Change != nil} {
		if present {
			kinds++
		}
	}
	if kinds != 1 {
		return m, 0, errors.New("message does not contain exactly one of digest, view and change")
	}
	if in.Change != nil {
		c, err := decodeChange(in.Change, in.Grants)
		if a := in.Answers; err == nil && a != nil {
			c.Answers, c.After = a.Seq, time.Duration(a.After)
		}
		return Message{Change: c}, used, err
	}
	if x := in.Digest; x != nil {
		d := &plan.Digest{From: x.From, Start: x.Start, Seq: x.Seq, Span: time.Duration(x.Span), Asked: x.Asked, Answered: x.Answered, Origin: plan.Load(x.Origin)}
		for _, l := range x.Servers {
			d.Servers = append(d.Servers, plan.Load(l))
		}
		for _, h := range x.Hot {
			d.Hot = append(d.Hot, plan.Heat{Key: h.Key, Asked: h.Asked})
		}
		for _, u := range x.Tenants {
			d.Tenants = append(d.Tenants, plan.Use{Tenant: u.Tenant, Asked: u.Asked})
		}
		if d.Brief = x.Brief; x.Rest != nil {
			d.Rest = plan.Load(*x.Rest)
		}
		for _, l := range x.Bad {
			d.Bad = append(d.Bad, plan.Load(l))
		}
		d.Past = x.Past
		if in.Hold != nil {
			m.Hold = &plan.Hold{History: in.Hold.History, Revision: in.Hold.Revision, Follows: in.Hold.Follows}
			m.NextChange = in.Hold.Next
		}
		m.Digest = d
		return m, used, nil
	}
	x := in.View
	v := &plan.View{Epoch: x.Epoch, Planner: x.Planner, Made: time.Duration(x.Made), Valid: time.Duration(x.Valid), View: policy.View{Admit: x.Admit}}
	for _, s := range x.Servers {
		v.Servers = append(v.Servers, policy.ServerView(s))
	}
	for _, h := range x.Hot {
		v.Hot = append(v.Hot, policy.HotKey{Key: h.Key, Load: h.Load})
	}
	for _, u := range x.Tenants {
		v.Tenants = append(v.Tenants, policy.TenantDemand{Name: u.Tenant, Asked: u.Rate})
	}
	return Message{View: v}, used, nil
}

func decodeChange(raw cbor.RawMessage, grants []grant) (*plan.Change, error) {
	var x change
	if err := decoder.Unmarshal(raw, &x); err != nil {
		return nil, err
	}
	c := &plan.Change{Epoch: x.Epoch, Planner: x.Planner, Made: time.Duration(x.Made), Valid: time.Duration(x.Valid), History: x.History, Base: x.Base, Revision: x.Revision, Count: x.Count,
		Admit: float64(x.Admit) / thousandths, HotSet: x.HotSet, TenantsSet: x.TenantsSet, Sum: x.Sum}
	for _, s := range x.Servers {
		c.Servers = append(c.Servers, policy.ServerView{ID: s.ID, Factor: float64(s.Factor) / thousandths})
	}
	for _, h := range x.Hot {
		c.Hot = append(c.Hot, policy.HotKey{Key: h.Key, Load: h.Load})
	}
	for _, u := range x.Tenants {
		c.Tenants = append(c.Tenants, policy.TenantDemand{Name: u.Tenant, Asked: u.Rate})
	}
	for _, g := range grants {
		c.Grants = append(c.Grants, plan.Grant(g))
	}
	return c, nil
}
