// Package world holds pure models of what a balancer meets: cache servers, the origin behind them, the list that names
// them and the clients in front. Nothing here opens a socket, starts a goroutine or reads a clock: time, counted from the
// start of a run, comes in with each call, and chance comes from a seed, so the same calls give the same answers. The
// stand-ins on sockets run these models in real time; a model of a whole fleet can run them in time of its own.
//
// Work is counted in seconds of a standard core: a core of speed 1 does one second of work in a second.
package world

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Effect says what repeating a request of a class may do.
type Effect int

// The effects, from the freest to the strictest.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // servers drop a repeat for a while, told by its idempotency key
	Unsafe               // may be repeated only when it provably never ran
)

// Scope is the set of servers that drop each other's repeats of a keyed request.
type Scope int

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is a class of requests.
type Class struct {
	Name      string
	Effect    Effect
	Scope     Scope
	Window    time.Duration // how long repeats are dropped, for Keyed
	Share     float64       // of all requests; shares need not add up to 1
	Work      time.Duration // mean, on a standard core
	Sigma     float64       // of the logarithm of the work; 0: always the mean
	Size      int           // mean bytes of a value
	SizeSigma float64
	Aim       time.Duration // answers within it earn the full worth
	Deadline  time.Duration // the longest that a client waits, all its tries together
	Worth     float64
	LateShare float64 // of the worth, for an answer between aim and deadline
	Write     bool
}

// Tenant is one of those who share the service.
type Tenant struct {
	Name  string
	Share float64 // of all requests
	Quota float64 // requests a second that count in full; 0: all
}

// Stream gives the random numbers of one purpose: draws for one never shift those for another.
func RandomStream(seed uint64, purpose ...string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, hash(0, purpose...)))
}

// digest is a hash of words, stable over runs and machines.
func hash(seed uint64, words ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	d.Write(b[:])
	for _, w := range words {
		d.WriteString(w)
		d.Write([]byte{0})
	}
	return d.Sum64()
}

// unit turns a digest into a number between 0 and 1, neither included.
func unitInterval(h uint64) float64 { return (float64(h>>12) + 0.5) / (1 << 52) }

// normal turns a digest into a draw of the standard normal distribution (Box and Muller).
func normal(h uint64) float64 {
	u, v := unitInterval(h), unitInterval(h*0x9e3779b97f4a7c15+0x7f4a7c15)
	return math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*v)
}

// logNormal is a factor with mean 1.
func logNormal(h uint64, sigma float64) float64 {
	if sigma <= 0 {
		return 1
	}
	return math.Exp(sigma*normal(h) - sigma*sigma/2)
}

// WorkOf is the work of a request, the same whoever asks: it hangs on the seed, the class and the request's id.
func WorkOf(seed uint64, c *Class, id string) time.Duration {
	return max(time.Microsecond, time.Duration(float64(c.Work)*logNormal(hash(seed, "work", id), c.Sigma)))
}

// SizeOf is how many bytes the value of a key holds, the same whoever asks.
func SizeOf(seed uint64, c *Class, key string) int {
	return max(1, int(float64(c.Size)*logNormal(hash(seed, "size", key), c.SizeSigma)))
}
