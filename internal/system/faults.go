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

// FaultsEnabled reports whether this build can inject failures into system calls.
const FaultsEnabled = true

// PlanVariable is the environment variable that holds a process's fault plan, see ParseFaultPlan.
const PlanVariable = "LAPISSHELF_FAULTS"

// documentedErrors are the errors that are injected into each call; its manual page documents them.
var documentedErrors = map[Call][]unix.Errno{
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

// FaultPlan describes which calls fail, how often and when.
type FaultPlan struct {
	Seed     uint64
	Rate     float64       // share of the calls that fail during a fault period, 0 to 1
	After    time.Duration // start of the first fault period, from the process's start
	Interval time.Duration // time between the starts of fault periods; 0: there is only one
	Length   time.Duration // length of each fault period
	Skew     time.Duration // offset of the wall clock
	Drift    time.Duration // bound of a further wall clock offset, in either direction, that each process draws at random
	Calls    map[Call]bool
	// BreakConnections also injects errors of broken connections into send and receive. Off by default: the peer of such a connection
	// gets no response, which cannot be distinguished from a lost request.
	BreakConnections bool
}

// ParseFaultPlan parses a plan of comma-separated name=value pairs: seed, rate, after, every, for, skew, drift, breaks, and calls with
// names separated by plus signs. An unknown name, call or value is an error.
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
				if documentedErrors[Call(c)] == nil {
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

// active reports whether a fault period is in progress at a time since the process's start.
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
	plan      FaultPlan
	rng       *rand.Rand
	start     time.Time
	failHook  func(Call) error
	limitHook func(Call, int) int
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

// InjectFailures replaces the process's plan by a function that returns the error of each call; nil restores the plan.
func InjectFailures(hook func(Call) error) {
	injector.Lock()
	defer injector.Unlock()
	injector.failHook = hook
}

// LimitTransfers limits the bytes that Send and Receive transfer per call to what the function returns; nil restores the plan.
func LimitTransfers(limit func(Call, int) int) {
	injector.Lock()
	defer injector.Unlock()
	injector.limitHook = limit
}

// injectedFailure returns the error that a call is to fail with, or nil.
func injectedFailure(c Call) error {
	injector.Lock()
	defer injector.Unlock()
	if injector.failHook != nil {
		return injector.failHook(c)
	}
	p := &injector.plan
	if !p.Calls[c] || !p.active(time.Since(injector.start)) || injector.rng.Float64() >= p.Rate {
		return nil
	}
	list := documentedErrors[c]
	errno := list[injector.rng.IntN(len(list))]
	if !p.BreakConnections && (c == CallSend || c == CallReceive) && (errno == unix.ETIMEDOUT || errno == unix.EHOSTUNREACH) {
		return nil
	}
	return errno
}

// transferLimit returns how many of length bytes a call may transfer.
func transferLimit(c Call, length int) int {
	injector.Lock()
	defer injector.Unlock()
	if injector.limitHook != nil {
		return min(length, max(1, injector.limitHook(c, length)))
	}
	p := &injector.plan
	if length < 2 || !p.Calls[c] || !p.active(time.Since(injector.start)) || injector.rng.Float64() >= p.Rate {
		return length
	}
	return 1 + injector.rng.IntN(length)
}

// wallClockSkew returns the offset of the wall clock.
func wallClockSkew() time.Duration { return injector.plan.Skew }
