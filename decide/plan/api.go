// Package plan computes what a planner sends to forwarders. From the forwarders' digests and the server list it builds a
// view of the whole fleet: factors for the servers' weights, limits on sends to cold servers and on reads that go to the
// origin, the load of hot keys, and the tenants' request rates.
//
// Normally every factor is 1 and nothing is limited. There are three exceptions: a server whose share of bad answers is
// well above the fleet's median loses weight step by step (updateFactors); cold servers and an overloaded origin get a
// budget, which is divided among the forwarders by grants that expire (updateBudgets, Grants); keys whose load exceeds
// half a cache's mean load are reported (hotKeysAndTenants).
//
// The package does no I/O and reads no clock: the caller passes the time, counted from any fixed zero, with each event. It
// assigns no server to a key: the shared ranking does that, with the weights that a view sets.
package plan

import (
	"errors"
	"fmt"
	"math/bits"
	"time"

	"lapisshelf/policy"
)

// Limits on received messages.
const (
	MaxServers     = 4096 // in a digest or a view
	MaxHotKeys     = 64
	MaxTenants     = 256
	LatencyBuckets = 14    // of a latency histogram, up to 4 s and beyond
	MaxIDLength    = 256   // bytes
	MaxCount       = 1e6   // of any count in one digest
	MinFactor      = 0.1   // of a server's weight
	MinAdmit       = 0.1   // of the reads that go to the origin
	MaxRate        = 1e9   // per second, of anything
	MaxValidity    = 10e10 // ns, of a view
)

// Load holds a forwarder's counts for one server, or for the origin, over a digest's span.
type Load struct {
	ID     string
	Sends  int // attempts started
	Timely int // answered within half of the class's aim
	Late   int // answered later than that, or timed out
	Full   int // refused as overloaded
	Failed int // connection or answer failed
	// Times is a latency histogram: the number of answers within 1 ms, 2 ms, 4 ms and so on; the last bucket takes all
	// slower ones. Trailing zero buckets may be omitted.
	Times []int
}

// Heat is the number of requests for a key; Key is its policy.Digest.
type Heat struct {
	Key   uint32
	Asked int
}

// Use is the number of a tenant's requests.
type Use struct {
	Tenant string
	Asked  int
}

// Digest reports what a forwarder saw in a span of time. Lost or duplicated digests do no harm.
type Digest struct {
	From     string        // the forwarder's name
	Start    int64         // when the forwarder's process started, Unix time in ns; a different value under the same name means a restart
	Seq      uint64        // increases with each digest of the process
	Span     time.Duration // the time that the counts cover
	Asked    int           // requests taken
	Answered int           // reads answered
	Servers  []Load
	Origin   Load
	Hot      []Heat
	Tenants  []Use
	// A brief digest (see Collector.Brief) names few servers. Servers holds those reported in full. Bad holds those of which
	// only the bad answers are reported; its Sends is the number of answers remembered from before the span, in tenths. Past
	// is the sum of that number over all servers. Rest is the sum of all other answers, including the good ones of the
	// servers in Bad.
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

// bad returns the number of late, refused and failed answers.
func (l *Load) bad() int { return l.Late + l.Full + l.Failed }

// answers returns the number of answers, good and bad.
func (l *Load) answers() int { return l.Timely + l.bad() }

// latencyBucket returns the index of the histogram bucket for a latency.
func latencyBucket(took time.Duration) int {
	return min(bits.Len64(uint64(max(0, took-1)/time.Millisecond)), LatencyBuckets-1)
}

// Check returns an error if the digest is malformed.
func (d *Digest) Check() error {
	switch {
	case !validID(d.From):
		return errors.New("sender name is missing or too long")
	case d.Span <= 0 || d.Span > time.Minute:
		return fmt.Errorf("span %v is out of range", d.Span)
	case len(d.Servers) > MaxServers || len(d.Bad) > MaxServers || len(d.Hot) > MaxHotKeys || len(d.Tenants) > MaxTenants:
		return errors.New("too many entries")
	case !validCounts(d.Asked, d.Answered) || d.Past < 0 || d.Past > pastScale*MaxCount || !d.Origin.valid() || !d.Rest.valid():
		return errors.New("counts are out of range")
	case !d.Brief && (len(d.Bad)+d.Past > 0 || d.Rest.answers() > 0):
		return errors.New("full digest with fields of a brief one")
	}
	seen := make(map[string]bool, len(d.Servers)+len(d.Bad))
	for _, list := range [][]Load{d.Servers, d.Bad} {
		for i := range list {
			l := &list[i]
			if !validID(l.ID) || !l.valid() {
				return fmt.Errorf("server %.40q: id or counts are invalid", l.ID)
			}
			if seen[l.ID] {
				return fmt.Errorf("server %.40q is listed twice", l.ID)
			}
			seen[l.ID] = true
		}
	}
	for _, h := range d.Hot {
		if !validCounts(h.Asked) {
			return errors.New("counts of keys are out of range")
		}
	}
	for _, u := range d.Tenants {
		if !validID(u.Tenant) || !validCounts(u.Asked) {
			return errors.New("tenant with an invalid name or count")
		}
	}
	return nil
}

// View is the complete state that a planner sends to one forwarder.
type View struct {
	Epoch   uint64        // Unix second in which the leader took its lease; 0: there is no leader
	Planner string        // the sender
	Made    time.Duration // Unix time by the planner's clock; increases with each view of a planner
	Valid   time.Duration // validity, counted from arrival
	policy.View
}

func validRate(x float64) bool { return x >= 0 && x <= MaxRate } // false for NaN

// Check returns an error if the view is malformed. It does not compare the view with a server list.
func (v *View) Check() error {
	switch {
	case !validID(v.Planner):
		return errors.New("planner name is missing or too long")
	case v.Valid <= 0 || v.Valid > MaxValidity:
		return fmt.Errorf("validity %v is out of range", v.Valid)
	case len(v.Servers) > MaxServers || len(v.Hot) > MaxHotKeys || len(v.Tenants) > MaxTenants:
		return errors.New("too many entries")
	case !(v.Admit == 0 || v.Admit >= MinAdmit && v.Admit <= 1):
		return errors.New("part of the reads admitted to the origin is out of range")
	}
	seen := map[string]bool{}
	for _, s := range v.Servers {
		switch {
		case !validID(s.ID) || seen[s.ID]:
			return fmt.Errorf("server %.40q: id is invalid or listed twice", s.ID)
		case !(s.Factor >= MinFactor && s.Factor <= 1):
			return fmt.Errorf("server %.40q: factor %v is out of range", s.ID, s.Factor)
		case !validRate(s.Allow):
			return fmt.Errorf("server %.40q: rate is out of range", s.ID)
		}
		seen[s.ID] = true
	}
	for _, h := range v.Hot {
		if !validRate(h.Load) {
			return errors.New("load of a key is out of range")
		}
	}
	for _, t := range v.Tenants {
		if !validID(t.Name) || !validRate(t.Asked) {
			return errors.New("tenant with an invalid name or rate")
		}
	}
	return nil
}

// Config configures a planner. A zero value of a field with a stated default takes the default.
type Config struct {
	ID         string
	History    uint64        // identifies one run of the planner: drawn at its start, so that no two runs share it; 0 counts as 1
	Valid      time.Duration // validity of a view; 3 s
	Silent     time.Duration // a forwarder that sends nothing for this long is forgotten; 5 s
	DecayTime  time.Duration // time constant of the exponential decay of all counts; 3 s
	Move       float64       // largest part of the keys that changes of weights may move in a second; 0.05
	Forwarders int           // largest number of forwarders; 4096
	// The same as in the forwarders' settings.
	Mode         policy.Mode
	OriginKind   string
	Weighted     bool
	ColdFrom     float64
	WarmUp       time.Duration
	FallMultiple float64
	FallWindow   time.Duration
}

// Explanation reports a server's weight and the reason for it.
type Explanation struct {
	ID       string
	Weight   float64 // as listed
	Factor   float64
	Allow    float64       // sends per second allowed to the whole fleet; 0: no limit
	Bad      float64       // share of its answers that were late, refused or failed
	Answers  float64       // number of answers behind Bad, decayed
	P50, P99 time.Duration // upper bounds of the latency quantiles, exact to a factor of two; 0: unknown
	Reason   string
}
