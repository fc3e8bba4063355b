//go:build faults

package system

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// FaultsEnabled reports whether this build can make system calls fail.
const FaultsEnabled = true

// PlanVariable names the environment variable with a process's plan, see Parse.
const PlanVariable = "LAPISSHELF_FAULTS"

// documented are the errors that a call is made to fail with, each of which its manual page names.
var documented = map[Call][]unix.Errno{
	CallSocket:    {unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM},
	CallConnect:   {unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EINTR, unix.ETIMEDOUT},
	CallAccept:    {unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EINTR, unix.EPROTO},
	CallEpollWait: {unix.EINTR},
	CallEpollAdd:  {unix.ENOMEM, unix.ENOSPC},
	CallEpollMod:  {unix.ENOMEM},
	CallSend:      {unix.EINTR, unix.ENOBUFS, unix.ENOMEM, unix.ETIMEDOUT, unix.EHOSTUNREACH},
	CallReceive:   {unix.EINTR, unix.ENOMEM, unix.ETIMEDOUT, unix.EHOSTUNREACH},
	CallPeek:      {unix.EINTR, unix.ENOMEM},
	CallOpen:      {unix.ENOSPC, unix.EIO, unix.ENFILE},
	CallRead:      {unix.EIO, unix.ENFILE},
	CallWrite:     {unix.ENOSPC, unix.EIO},
	CallSync:      {unix.ENOSPC, unix.EIO},
	CallRename:    {unix.ENOSPC, unix.EIO},
}

// FaultPlan says which calls fail, how often and when.
type FaultPlan struct {
	Seed     uint64
	Rate     float64       // the part of the calls that fail while failures last, 0 to 1
	After    time.Duration // when they begin, from the process's start
	Interval time.Duration // and begin again; 0: never
	Length   time.Duration // how long they last each time
	Skew     time.Duration // of the wall clock
	Drift    time.Duration // drawn by each process: its wall clock is off by as much at most, either way
	Calls    map[Call]bool
	// BreakConnections has send and receive fail as broken connections do too. Off by default: who is at the other end of a connection that
	// breaks so is not answered, which nobody can tell from a request that was lost.
	BreakConnections bool
}

// ParseFaultPlan reads a plan: name=value pairs between commas, seed, rate, after, every, for, skew, drift, breaks, and calls with names between plus
// signs. An unknown name, call or value is an error.
func ParseFaultPlan(text string) (FaultPlan, error) {
	p := FaultPlan{Rate: 1, Calls: map[Call]bool{}}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		var err error
		switch name {
		case "seed":
			p.Seed, err = strconv.ParseUint(value, 10, 64)
		case "rate":
			p.Rate, err = strconv.ParseFloat(value, 64)
		case "after":
			p.After, err = time.ParseDuration(value)
		case "every":
			p.Interval, err = time.ParseDuration(value)
		case "for":
			p.Length, err = time.ParseDuration(value)
		case "skew":
			p.Skew, err = time.ParseDuration(value)
		case "drift":
			p.Drift, err = time.ParseDuration(value)
		case "breaks":
			p.BreakConnections, err = strconv.ParseBool(value)
		case "calls":
			for _, c := range strings.Split(value, "+") {
				if documented[Call(c)] == nil {
					return p, fmt.Errorf("%s: no call %q", PlanVariable, c)
				}
				p.Calls[Call(c)] = true
			}
		default:
			return p, fmt.Errorf("%s: no setting %q", PlanVariable, name)
		}
		if err != nil {
			return p, fmt.Errorf("%s: %s: %w", PlanVariable, name, err)
		}
	}
	return p, nil
}

// active reports whether failures last so long after the start.
func (p *FaultPlan) active(since time.Duration) bool {
	since -= p.After
	if since < 0 {
		return false
	}
	if p.Interval > 0 {
		since %= p.Interval
	}
	return since < p.Length
}

var injector = struct {
	sync.Mutex
	plan  FaultPlan
	rng   *rand.Rand
	start time.Time
	hook  func(Call) error
	shut  func(Call, int) int
}{start: time.Now()}

func init() {
	text := os.Getenv(PlanVariable)
	if text == "" {
		return
	}
	plan, err := ParseFaultPlan(text)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	injector.plan, injector.rng = plan, rand.New(rand.NewPCG(plan.Seed, uint64(os.Getpid())))
	if plan.Drift > 0 {
		injector.plan.Skew += time.Duration((2*injector.rng.Float64() - 1) * float64(plan.Drift))
	}
}

// InjectFailures has calls fail as fail says, and none for a nil one, in place of the process's plan.
func InjectFailures(fail func(Call) error) {
	injector.Lock()
	defer injector.Unlock()
	injector.hook = fail
}

// LimitTransfers has Send and Receive take so many bytes at most as cut says; a nil one: all.
func LimitTransfers(cut func(Call, int) int) {
	injector.Lock()
	defer injector.Unlock()
	injector.shut = cut
}

func failure(c Call) error {
	injector.Lock()
	defer injector.Unlock()
	if injector.hook != nil {
		return injector.hook(c)
	}
	p := &injector.plan
	if !p.Calls[c] || !p.active(time.Since(injector.start)) || injector.rng.Float64() >= p.Rate {
		return nil
	}
	list := documented[c]
	errno := list[injector.rng.IntN(len(list))]
	if !p.BreakConnections && (c == CallSend || c == CallReceive) && (errno == unix.ETIMEDOUT || errno == unix.EHOSTUNREACH) {
		return nil
	}
	return errno
}

func limit(c Call, length int) int {
	injector.Lock()
	defer injector.Unlock()
	if injector.shut != nil {
		return min(length, max(1, injector.shut(c, length)))
	}
	p := &injector.plan
	if length < 2 || !p.Calls[c] || !p.active(time.Since(injector.start)) || injector.rng.Float64() >= p.Rate {
		return length
	}
	return 1 + injector.rng.IntN(length)
}

func skew() time.Duration { return injector.plan.Skew }
