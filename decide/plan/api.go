// Package plan decides what a planner tells forwarders: from their digests of what they saw, and the server list, it makes a
// view of the whole fleet: factors of the servers' weights, what may be sent to cold servers and to the origin, how hot
// keys are, what tenants use.
//
// The ordinary path: all is well, every factor is 1 and nothing is limited. The departures: a server that answers worse
// than the middle of the fleet loses weight, step by step (weigh); cold servers and a strained origin get a budget that is
// shared out by grants that run out (grant); keys that outrun a server are named (heat).
//
// It does no I/O and reads no clock: the caller passes the time (since any fixed zero) with each event. It names no server
// for a key: the shared ranking decides, with the weights that a view sets.
package plan

import (
	"errors"
	"fmt"
	"math/bits"
	"time"

	"lapisshelf/policy"
)

// Bounds of what is taken from others.
const (
	MaxServers     = 4096 // in a digest or a view
	MaxHotKeys     = 64
	MaxTenants     = 256
	LatencyBuckets = 14    // parts of a sketch, up to 4 s and beyond
	MaxIDLength    = 256   // bytes of an id
	MaxCount       = 1e6   // of anything in one digest
	MinFactor      = 0.1   // of a server's weight
	MinAdmit       = 0.1   // of the reads that go to the origin
	MaxRate        = 1e9   // of anything a second
	MaxValidity    = 10e10 // nanoseconds for which a view may say it is valid
)

// Load is what a forwarder saw of one server in a digest's span.
type Load struct {
	ID     string
	Sends  int // attempts begun
	Timely int // answered within half of the class's aim
	Late   int // answered after that, or not in time
	Full   int // turned away
	Failed int // connection or answer broken
	// Times is a sketch of its answer times: how many came within 1 ms, 2 ms, 4 ms and so on, the last: all later ones. What
	// is left out behind is 0.
	Times []int
}

// Heat is how often a key was asked for; Key is policy.Digest of it.
type Heat struct {
	Key   uint32
	Asked int
}

// Use is what a tenant asked for.
type Use struct {
	Tenant string
	Asked  int
}

// Digest is what a forwarder saw in a span. Lost and doubled ones are harmless.
type Digest struct {
	From     string        // the forwarder's name
	Start    int64         // when it started, Unix time in ns: a later one is a restart under the name
	Seq      uint64        // grows with each digest since then
	Span     time.Duration // that it tells of
	Asked    int           // requests taken
	Answered int           // reads answered
	Servers  []Load
	Origin   Load
	Hot      []Heat
	Tenants  []Use
	// A brief one names few servers: in Servers those of which all is told, in Bad those of which the bad answers alone are
	// told, and as Sends how many answers of it are remembered from before the span, in tenths; Past is that of all servers in
	// sum. Rest is all others' answers in sum, and the good ones of those in Bad. See Gather.Brief.
	Brief bool
	Rest  Load
	Bad   []Load
	Past  int
}

func validID(id string) bool { return id != "" && len(id) <= MaxIDLength }

func validCounts(list ...int) bool {
	for _, n := range list {
		if n < 0 || n > MaxCount {
			return false
		}
	}
	return true
}

func (l *Load) valid() bool {
	return validCounts(l.Sends, l.Timely, l.Late, l.Full, l.Failed) && len(l.Times) <= LatencyBuckets && validCounts(l.Times...)
}

// bad is how many answers were late, full or failed.
func (l *Load) bad() int { return l.Late + l.Full + l.Failed }

// answers is how many there were, good or bad.
func (l *Load) answers() int { return l.Timely + l.bad() }

// timeOf is the part of a sketch that a time belongs to.
func latencyBucket(took time.Duration) int {
	return min(bits.Len64(uint64(max(0, took-1)/time.Millisecond)), LatencyBuckets-1)
}

// Check says what is wrong with a digest; nil: it makes sense.
func (d *Digest) Check() error {
	switch {
	case !validID(d.From):
		return errors.New("no name, or too long a one")
	case d.Span <= 0 || d.Span > time.Minute:
		return fmt.Errorf("a span of %v", d.Span)
	case len(d.Servers) > MaxServers || len(d.Bad) > MaxServers || len(d.Hot) > MaxHotKeys || len(d.Tenants) > MaxTenants:
		return errors.New("too many entries")
	case !validCounts(d.Asked, d.Answered) || d.Past < 0 || d.Past > pastScale*MaxCount || !d.Origin.valid() || !d.Rest.valid():
		return errors.New("absurd counts")
	case !d.Brief && (len(d.Bad)+d.Past > 0 || d.Rest.answers() > 0):
		return errors.New("a whole one with parts of a brief one")
	}
	seen := make(map[string]bool, len(d.Servers)+len(d.Bad))
	for _, list := range [][]Load{d.Servers, d.Bad} {
		for i := range list {
			l := &list[i]
			if !validID(l.ID) || !l.valid() {
				return fmt.Errorf("absurd counts of server %.40q", l.ID)
			}
			if seen[l.ID] {
				return fmt.Errorf("server %.40q named twice", l.ID)
			}
			seen[l.ID] = true
		}
	}
	for _, h := range d.Hot {
		if !validCounts(h.Asked) {
			return errors.New("absurd counts of keys")
		}
	}
	for _, u := range d.Tenants {
		if !validID(u.Tenant) || !validCounts(u.Asked) {
			return errors.New("absurd counts of tenants")
		}
	}
	return nil
}

// View is what a planner tells one forwarder.
type View struct {
	Epoch   uint64        // Unix second in which who leads took its lease; 0: there is none
	Planner string        // who made it
	Made    time.Duration // by the planner's clock, Unix time; grows with each view of a planner
	Valid   time.Duration // how long it holds from when it comes
	policy.View
}

func validRate(x float64) bool { return x >= 0 && x <= MaxRate } // false for what is no number

// Check says what is wrong with a view by itself; nil: it makes sense.
func (v *View) Check() error {
	switch {
	case !validID(v.Planner):
		return errors.New("no planner's name, or too long a one")
	case v.Valid <= 0 || v.Valid > MaxValidity:
		return fmt.Errorf("valid for %v", v.Valid)
	case len(v.Servers) > MaxServers || len(v.Hot) > MaxHotKeys || len(v.Tenants) > MaxTenants:
		return errors.New("too many entries")
	case !(v.Admit == 0 || v.Admit >= MinAdmit && v.Admit <= 1):
		return errors.New("an absurd part of the reads")
	}
	seen := map[string]bool{}
	for _, s := range v.Servers {
		switch {
		case !validID(s.ID) || seen[s.ID]:
			return fmt.Errorf("server %.40q without a name, or named twice", s.ID)
		case !(s.Factor >= MinFactor && s.Factor <= 1):
			return fmt.Errorf("server %.40q: a factor of %v", s.ID, s.Factor)
		case !validRate(s.Allow):
			return fmt.Errorf("server %.40q: an absurd rate", s.ID)
		}
		seen[s.ID] = true
	}
	for _, h := range v.Hot {
		if !validRate(h.Load) {
			return errors.New("an absurd load of a key")
		}
	}
	for _, t := range v.Tenants {
		if !validID(t.Name) || !validRate(t.Asked) {
			return errors.New("an absurd use of a tenant")
		}
	}
	return nil
}

// Config is what a planner is told at its start. Zero figures take the defaults told with them.
type Config struct {
	ID         string
	History    uint64        // which life of the planner this is: drawn at its start, so that no other life has the same; 0 counts as 1
	Valid      time.Duration // of a view; 3 s
	Silent     time.Duration // a forwarder unheard for so long is forgotten; 5 s
	DecayTime  time.Duration // span in which what was seen fades; 3 s
	Move       float64       // most of the keys that weights move a second; 0.05
	Forwarders int           // most that are followed; 4096
	// As the forwarders' settings tell them.
	Mode         policy.Mode
	OriginKind   string
	Weighted     bool
	ColdFrom     float64
	WarmUp       time.Duration
	FallMultiple float64
	FallWindow   time.Duration
}

// Reason tells why a server has the weight it has.
type Explanation struct {
	ID       string
	Weight   float64 // listed
	Factor   float64
	Allow    float64       // sends a second that the fleet may make; 0: no limit
	Bad      float64       // part of its answers that were late, full or failed
	Answers  float64       // that this was told from
	P50, P99 time.Duration // of its answer times, within a factor of two: the upper bounds of where they lie; 0: none are known
	Reason   string
}
