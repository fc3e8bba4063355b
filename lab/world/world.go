// Package world holds deterministic models of what surrounds a balancer: cache servers, the origin behind them, the
// server list and the clients. The models open no socket, start no goroutine and read no clock: each call passes the
// time, counted from the start of a run, and random draws depend on a seed, so equal calls give equal results. The
// stand-ins run these models on sockets in real time; the fleet simulation runs them in virtual time.
//
// Work is counted in seconds of a standard core: a core of speed 1 does one second of work per second.
package world

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Effect says what a repeat of a request may do.
type Effect int

// Effects, from the least to the most restrictive.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // servers drop repeats for a while, recognized by the idempotency key
	Unsafe               // may be repeated only if it provably never ran
)

// Scope is the set of servers that drop each other's repeats of a keyed request.
type Scope int

// Scopes.
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
	Sigma     float64       // standard deviation of the logarithm of the work; 0: always the mean
	Size      int           // mean bytes of a value
	SizeSigma float64
	Aim       time.Duration // answers within it earn the full worth
	Deadline  time.Duration // longest time that a client waits over all its tries
	Worth     float64
	LateShare float64 // fraction of the worth that an answer between aim and deadline earns
	Write     bool
}

// Tenant is one of the users that share the service.
type Tenant struct {
	Name  string
	Share float64 // of all requests
	Quota float64 // requests per second that earn the full worth; 0: all
}

// RandomStream returns the random numbers for one purpose. Draws for one purpose do not affect those for another.
func RandomStream(seed uint64, purpose ...string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, hash(0, purpose...)))
}

// hash hashes a seed and words; the result is the same on all machines.
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

// unitInterval turns a hash into a number between 0 and 1, both excluded.
func unitInterval(h uint64) float64 { return (float64(h>>12) + 0.5) / (1 << 52) }

// normal turns a hash into a draw from the standard normal distribution (Box-Muller transform).
func normal(h uint64) float64 {
	u, v := unitInterval(h), unitInterval(h*0x9e3779b97f4a7c15+0x7f4a7c15)
	return math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*v)
}

// logNormal turns a hash into a log-normal factor with mean 1.
func logNormal(h uint64, sigma float64) float64 {
	if sigma <= 0 {
		return 1
	}
	return math.Exp(sigma*normal(h) - sigma*sigma/2)
}

// WorkOf returns the work of a request. It depends on the seed, the class and the request ID alone.
func WorkOf(seed uint64, c *Class, id string) time.Duration {
	return max(time.Microsecond, time.Duration(float64(c.Work)*logNormal(hash(seed, "work", id), c.Sigma)))
}

// SizeOf returns the bytes of a key's value. It depends on the seed, the class and the key alone.
func SizeOf(seed uint64, c *Class, key string) int {
	return max(1, int(float64(c.Size)*logNormal(hash(seed, "size", key), c.SizeSigma)))
}
