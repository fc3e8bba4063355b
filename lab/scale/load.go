package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The load is drawn from precomputed tables. A draw takes some tens of nanoseconds, so that the load of a whole fleet leaves
// enough CPU time for what is measured.

const drawCount = 1 << 18 // precomputed draws of a key and its server

// loadConfig is the configuration of the load, as JSON under the field names; File.Load describes the fields.
type loadConfig struct {
	Seed         uint64
	Servers      int
	Keys         int
	Zipf, Offset float64
	Bad, Misses  float64
	Tenants      int
}

// tables are the precomputed tables of the load, shared by all nodes of a process.
type tables struct {
	cfg       loadConfig
	keys      []string
	tenants   []string
	ids       []string // of the servers
	index     map[string]int32
	draws     []keyDraw
	latencies [256]time.Duration // of answers in time
	badLimit  uint32             // an answer whose 32 random bits are below this is bad
	missLimit uint32             // of the others, one whose bits less badLimit are below this is a miss
	// Faults of the servers in force.
	slow, down []bool
}

// keyDraw is the index of a key and of the server that is asked for it.
type keyDraw struct{ key, server int32 }

// serverID returns the id of the server with index i.
func serverID(i int) string { return fmt.Sprintf("cache-%04d.example", i+1) }

// randomStream returns a random generator for a name, so that each has its own sequence under one seed.
func randomStream(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}

// newTables precomputes the tables from the seed.
func newTables(c loadConfig) *tables {
	t := &tables{cfg: c, index: map[string]int32{}, draws: make([]keyDraw, drawCount), slow: make([]bool, c.Servers), down: make([]bool, c.Servers),
		badLimit: uint32(c.Bad * math.MaxUint32), missLimit: uint32(c.Misses * math.MaxUint32)}
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
	rng := randomStream(c.Seed, "draws")
	for i := range t.draws {
		k := sort.SearchFloat64s(sums, rng.Float64()*sum)
		k = min(k, c.Keys-1)
		// A key with more load than a server can take is spread over several servers, as by the decision module.
		weight := sums[k]
		if k > 0 {
			weight -= sums[k-1]
		}
		spread := 1 + int(2*weight/sum*float64(c.Servers))
		first := int(xxhash.Sum64String(t.keys[k]) % uint64(c.Servers))
		t.draws[i] = keyDraw{int32(k), int32((first + rng.IntN(spread)) % c.Servers)}
	}
	for i := range t.latencies {
		t.latencies[i] = time.Duration(float64(time.Millisecond) * (0.5 + 2*rng.ExpFloat64()))
	}
	return t
}

// poisson draws from a Poisson distribution with the given mean.
func poisson(rng *rand.Rand, mean float64) int {
	if mean > 30 { // where the normal distribution is a good approximation
		return max(0, int(math.Round(mean+math.Sqrt(mean)*rng.NormFloat64())))
	}
	n, left := 0, math.Exp(-mean)
	for p := rng.Float64(); p > left; p *= rng.Float64() {
		n++
	}
	return n
}
