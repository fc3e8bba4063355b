package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load is drawn from tables that are made once: a draw costs some tens of nanoseconds, so that the load of a whole fleet
// leaves room for what is measured.

const drawn = 1 << 18 // prepared draws of a key and its server

// loadConfig is what the tables are made from.
type loadConfig struct {
	Seed         uint64
	Servers      int
	Keys         int
	Zipf, Offset float64
	Bad, Misses  float64
	Tenants      int
}

// tables are shared by all nodes of a process.
type tables struct {
	cfg     loadConfig
	keys    []string
	tenants []string
	ids     []string // of the servers
	index   map[string]int32
	draws   []hit
	took    [256]time.Duration // of timely answers
	bad     uint32             // below it, of 32 bits, an answer is bad
	miss    uint32
	// What is wrong with servers now.
	late, down []bool
}

type hit struct{ key, server int32 }

// serverID names a server.
func serverID(i int) string { return fmt.Sprintf("cache-%04d.example", i+1) }

func stream(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}

// newTables draws them from the seed.
func newTables(c loadConfig) *tables {
	t := &tables{cfg: c, index: map[string]int32{}, draws: make([]hit, drawn), late: make([]bool, c.Servers), down: make([]bool, c.Servers),
		bad: uint32(c.Bad * math.MaxUint32), miss: uint32(c.Misses * math.MaxUint32)}
	for i := range c.Servers {
		t.ids = append(t.ids, serverID(i))
		t.index[t.ids[i]] = int32(i)
	}
	for i := range c.Tenants {
		t.tenants = append(t.tenants, fmt.Sprintf("tenant-%d", i+1))
	}
	sums, sum := make([]float64, c.Keys), 0.0
	for i := range c.Keys {
		t.keys = append(t.keys, fmt.Sprintf("item:%d:price", i*7919))
		sum += math.Pow(float64(i+1)+c.Offset, -c.Zipf)
		sums[i] = sum
	}
	rng := stream(c.Seed, "draws")
	for i := range t.draws {
		k := sort.SearchFloat64s(sums, rng.Float64()*sum)
		k = min(k, c.Keys-1)
		// A key that outruns a server is spread over several, as the decision module spreads it.
		weight := sums[k]
		if k > 0 {
			weight -= sums[k-1]
		}
		spread := 1 + int(2*weight/sum*float64(c.Servers))
		home := int(xxhash.Sum64String(t.keys[k]) % uint64(c.Servers))
		t.draws[i] = hit{int32(k), int32((home + rng.IntN(spread)) % c.Servers)}
	}
	for i := range t.took {
		t.took[i] = time.Duration(float64(time.Millisecond) * (0.5 + 2*rng.ExpFloat64()))
	}
	return t
}

// poisson draws how many come when mean are expected.
func poisson(rng *rand.Rand, mean float64) int {
	if mean > 30 { // where the normal distribution is as good
		return max(0, int(math.Round(mean+math.Sqrt(mean)*rng.NormFloat64())))
	}
	n, left := 0, math.Exp(-mean)
	for p := rng.Float64(); p > left; p *= rng.Float64() {
		n++
	}
	return n
}
