package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"time"
)

// ClientSpec configures the clients.
type ClientSpec struct {
	Rate         float64 // first tries per second
	Keys         int     // number of keys
	Zipf         float64 // the popularity of the key of rank n is proportional to 1/(n+Offset)^Zipf
	Offset       float64
	Drift        float64       // fraction of the keys that is replaced by new ones each second
	TimeoutRange [2]float64    // lowest and highest timeout of a try, as fractions of the class deadline
	MaxRetries   int           // further tries per arrival
	RetryDelay   time.Duration // minimum delay before a further try
	MarksRetry   bool
	LeaveShare   float64 // fraction of first tries whose client disconnects before its timeout
	RepeatShare  float64 // fraction of the answered writes that are not safe whose id comes again
	Nodes        int
	NodeShares   []float64 // relative traffic of each node; empty: all equal
}

// ShapeKind is a kind of deviation from even traffic.
type ShapeKind int

// Kinds of shapes.
const (
	Surge     ShapeKind = iota // the rate is multiplied by Magnitude
	HotKeys                    // Count keys receive the fraction Magnitude of all requests
	HotTenant                  // the tenant Index sends the fraction Magnitude
	HotNode                    // the node Index receives the fraction Magnitude
)

// Shape is a deviation from even traffic within an interval.
type Shape struct {
	Kind      ShapeKind
	From, To  time.Duration
	Magnitude float64
	Count     int
	Index     int
}

func (s Shape) active(at time.Duration) bool { return at >= s.From && at < s.To }

// Arrival is a request of a client, drawn before the run: its first try, and what the client does if that fails.
// Nothing that happens in a run changes it.
type Arrival struct {
	N          int
	At         time.Duration
	Class      int
	Tenant     int // -1: none
	Node       int
	Key        string
	Size       int    // bytes of the value of a write
	Idem       string // idempotency key, for a keyed class
	Timeout    time.Duration
	MaxTries   int           // including the first
	LeaveAfter time.Duration // after which the client disconnects; 0: it stays
	OverQuota  bool          // beyond its tenant's quota
}

// ID returns the request ID of a try; try 0 is the first.
func (a *Arrival) ID(seed uint64, try int) string {
	return fmt.Sprintf("%016x", hash(seed, "id", strconv.Itoa(a.N), strconv.Itoa(try)))
}

// String returns the arrival as a line of a plan.
func (a *Arrival) String() string {
	return fmt.Sprintf("%d at=%s class=%d tenant=%d node=%d key=%s size=%d idem=%s patience=%s tries=%d leave=%s over=%t",
		a.N, a.At, a.Class, a.Tenant, a.Node, a.Key, a.Size, a.Idem, a.Timeout, a.MaxTries, a.LeaveAfter, a.OverQuota)
}

// Source draws arrivals in order of time. Equal parameters and an equal seed give equal arrivals.
type Source struct {
	spec             ClientSpec
	classes          []Class
	tenants          []Tenant
	shapes           []Shape
	seed             uint64
	end              time.Duration
	now              time.Duration
	count            int
	maxRate          float64 // highest rate of the run
	gapRand          *rand.Rand
	choiceRand       *rand.Rand
	keyWeights       []float64    // cumulative, by rank
	cumulativeShares [3][]float64 // of classes, tenants and nodes
	quotaCounters    []quotaCounter
}

// quotaCounter counts a tenant's requests within one second.
type quotaCounter struct {
	second int64
	count  float64
}

// NewSource returns a source of arrivals from 0 until end.
func NewSource(spec ClientSpec, classes []Class, tenants []Tenant, shapes []Shape, seed uint64, end time.Duration) *Source {
	s := &Source{spec: spec, classes: classes, tenants: tenants, shapes: shapes, seed: seed, end: end, maxRate: spec.Rate,
		gapRand: RandomStream(seed, "gaps"), choiceRand: RandomStream(seed, "picks"), quotaCounters: make([]quotaCounter, len(tenants))}
	for _, x := range shapes {
		if x.Kind == Surge && x.Magnitude > 1 {
			s.maxRate *= x.Magnitude // shapes may overlap
		}
	}
	s.keyWeights = make([]float64, max(1, spec.Keys))
	sum := 0.0
	for i := range s.keyWeights {
		sum += math.Pow(float64(i+1)+spec.Offset, -spec.Zipf)
		s.keyWeights[i] = sum
	}
	for _, c := range classes {
		s.cumulativeShares[0] = append(s.cumulativeShares[0], c.Share)
	}
	for _, t := range tenants {
		s.cumulativeShares[1] = append(s.cumulativeShares[1], t.Share)
	}
	for i := range max(1, spec.Nodes) {
		share := 1.0
		if i < len(spec.NodeShares) {
			share = spec.NodeShares[i]
		}
		s.cumulativeShares[2] = append(s.cumulativeShares[2], share)
	}
	for _, list := range s.cumulativeShares {
		for i := 1; i < len(list); i++ {
			list[i] += list[i-1]
		}
	}
	return s
}

// Rate returns the rate of arrivals at a time, per second.
func (s *Source) Rate(at time.Duration) float64 {
	r := s.spec.Rate
	for _, x := range s.shapes {
		if x.Kind == Surge && x.active(at) {
			r *= x.Magnitude
		}
	}
	return r
}

// draw returns a random index, weighted by cumulative shares, or -1 if there are none.
func (s *Source) draw(shares []float64) int {
	if len(shares) == 0 {
		return -1
	}
	x := s.choiceRand.Float64() * shares[len(shares)-1]
	return min(sort.SearchFloat64s(shares, x), len(shares)-1)
}

// Next draws the next arrival. It returns false at the end of the run.
func (s *Source) Next() (Arrival, bool) {
	if s.maxRate <= 0 {
		return Arrival{}, false
	}
	for {
		s.now += time.Duration(s.gapRand.ExpFloat64() / s.maxRate * float64(time.Second))
		if s.now >= s.end {
			return Arrival{}, false
		}
		if s.gapRand.Float64()*s.maxRate < s.Rate(s.now) {
			break
		}
	}
	a := Arrival{N: s.count, At: s.now, Class: s.draw(s.cumulativeShares[0]), Tenant: s.draw(s.cumulativeShares[1]), Node: s.draw(s.cumulativeShares[2])}
	s.count++
	rank := sort.SearchFloat64s(s.keyWeights, s.choiceRand.Float64()*s.keyWeights[len(s.keyWeights)-1])
	key := s.keyName(min(rank, len(s.keyWeights)-1))
	for i, x := range s.shapes {
		if x.Kind == Surge || !x.active(s.now) || s.choiceRand.Float64() >= x.Magnitude {
			continue
		}
		switch x.Kind {
		case HotKeys:
			key = fmt.Sprintf("hot%d-%d", i, s.choiceRand.IntN(max(1, x.Count)))
		case HotTenant:
			a.Tenant = x.Index
		case HotNode:
			a.Node = x.Index
		}
	}
	c := &s.classes[a.Class]
	a.Key = s.keyText(key)
	if c.Write {
		a.Size = SizeOf(s.seed, c, a.Key)
	}
	if c.Effect == Keyed {
		a.Idem = fmt.Sprintf("%016x", hash(s.seed, "idem", strconv.Itoa(a.N)))
	}
	lo, hi := s.spec.TimeoutRange[0], s.spec.TimeoutRange[1]
	a.Timeout = max(time.Millisecond, time.Duration((lo+(hi-lo)*s.choiceRand.Float64())*float64(c.Deadline)).Truncate(time.Millisecond))
	a.MaxTries = 1 + s.spec.MaxRetries
	if leave, part := s.choiceRand.Float64(), s.choiceRand.Float64(); leave < s.spec.LeaveShare {
		a.LeaveAfter = time.Duration(part * float64(a.Timeout))
	}
	if a.Tenant >= 0 {
		a.OverQuota = s.exceedsQuota(a.Tenant)
	}
	return a, true
}

// keyText returns the text of a key. It begins with a hash, so that keys of similar rank share no prefix.
func (s *Source) keyText(key string) string {
	return fmt.Sprintf("%x-%s", hash(s.seed, "key", key)>>40, key)
}

// PopularKeys returns the keys in use at the current time, the most popular first, at most limit of them.
func (s *Source) PopularKeys(limit int) []string {
	keys := make([]string, 0, min(limit, len(s.keyWeights)))
	for rank := range min(limit, len(s.keyWeights)) {
		keys = append(keys, s.keyText(s.keyName(rank)))
	}
	return keys
}

// keyName names the key of a rank. With drift, each rank changes its key periodically, at a phase of its own.
func (s *Source) keyName(rank int) string {
	if s.spec.Drift <= 0 {
		return "k" + strconv.Itoa(rank)
	}
	turn := math.Floor(s.now.Seconds()*s.spec.Drift + unitInterval(hash(s.seed, "turn", strconv.Itoa(rank))))
	return fmt.Sprintf("k%d.%d", rank, int(turn))
}

// exceedsQuota counts a request of a tenant and reports whether it is beyond the quota of the current second.
func (s *Source) exceedsQuota(tenant int) bool {
	quota := s.tenants[tenant].Quota
	if quota <= 0 {
		return false
	}
	t := &s.quotaCounters[tenant]
	if second := int64(s.now / time.Second); second != t.second {
		*t = quotaCounter{second: second}
	}
	t.count++
	return t.count > quota
}

// Plan draws all arrivals.
func (s *Source) Plan() []Arrival {
	var all []Arrival
	for a, ok := s.Next(); ok; a, ok = s.Next() {
		all = append(all, a)
	}
	return slices.Clip(all)
}
