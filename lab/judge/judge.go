// Package judge tells from what clients, servers, the origin and the list saw of a run whether the four rules were kept,
// and how good the service was. It does no I/O, and it takes nothing from the nodes' own words.
//
// Times on sockets are those at which the lab's processes noticed, so each limit is longer by Rules.Tolerance. What cannot
// be seen (an attempt lost on its way, a connection given up towards a machine that says nothing) is never held against a
// node.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

// Rules are the figures of the rules and of the service, as the nodes are told them.
type Rules struct {
	Seed             uint64
	Classes          []world.Class
	Tenants          []world.Tenant
	Servers          map[string]world.Member // every server that ever was, by id
	ParallelAttempts bool                    // a request may have two attempts out
	MaxAttempts      int                     // attempts for a request
	AnswerSlack      time.Duration           // after the client's deadline, in which a final answer still counts
	DrainGrace       time.Duration
	AskWithin        time.Duration // a node that has not asked for so long counts as told; 0: never
	HoldTime         time.Duration // servers that vanish in a mass without draining count as told only after it; 0: at once
	HoldPart         float64
	OverQuotaWorth   float64 // part of its worth that a request beyond its tenant's quota keeps
	Tolerance        time.Duration

	ColdFrom             float64
	WarmUp               time.Duration
	FallMultiple         float64 // 0: cold servers don't fall over
	FallWindow           time.Duration
	OriginOverloadWindow time.Duration // what was asked in so long before the origin stopped made it stop
	OriginKind           string

	Length time.Duration
}

// The names of the rules.
const (
	OneAnswer = "one_answer" // each request taken gets exactly one final answer in time
	NoDouble  = "no_double"  // no effect twice
	Drains    = "drains"     // nothing new to a draining or gone server after the grace
	Cold      = "cold"       // no cold server pushed over, no origin stopped by cold misses
)

// RuleNames are the four, in order.
var RuleNames = []string{OneAnswer, NoDouble, Drains, Cold}

// Violation is one way in which a rule was broken.
type Violation struct {
	Rule     string        `json:"rule"`
	Kind     string        `json:"what"` // its name: one of the words below
	Reason   string        `json:"why"`
	At       time.Duration `json:"at_ns"`
	Node     int           `json:"node"` // from 1; 0: none or several
	Request  string        `json:"request,omitempty"`
	Server   string        `json:"server,omitempty"`
	Timeline []string      `json:"story,omitempty"` // all that was seen of the request, in order
}

// What can be broken.
const (
	Lost                = "lost"            // no whole answer
	Late                = "late"            // the final answer came after the deadline and its slack
	ExtraAnswer         = "twice"           // more than one answer
	WrongValue          = "wrong_value"     // served with what was not made for this request
	SentAfterEnd        = "sent_after_end"  // an attempt begun after the final answer
	Altered             = "altered"         // a server was sent what no client had asked in this form
	UnsafeRepeat        = "repeat_may_run"  // sent again though an earlier attempt may have run
	PastWindow          = "past_window"     // a keyed repeat after its window, or outside its group
	ConcurrentAttempts  = "two_at_once"     // two attempts out where one is allowed
	FalseRefusal        = "false_refusal"   // a refusal though an attempt may have run
	DoubledEffect       = "doubled_effect"  // one wish took effect twice
	SentToDraining      = "sent_to_drained" // a new attempt after the grace
	SentToBanned        = "sent_to_banned"  // a new attempt after the grace at a server banned by hand
	NotDrained          = "not_drained"     // a node that was drained by hand keeps its clients
	ExcessRemainingTime = "told_too_much"   // an attempt told its server of more time than its client had left
	ColdOverload        = "cold_pushed"     // a cold server fell over
	OriginStopped       = "origin_stopped"  // by misses at cold servers
)

// Verdict is what the judge says of a run.
type Verdict struct {
	Violations      []Violation
	ViolationCounts map[string]int // by rule; every rule stands in it
	Figures         map[string]float64
	Classes         map[string]Service
	Tenants         map[string]Service
	Seconds         []Second
}

// Passed reports whether no rule was broken.
func (v *Verdict) Passed() bool { return len(v.Violations) == 0 }

// mostBreaches bounds how many breaches of one kind are told in full.
const mostBreaches = 20

// court is a judgement under way.
type court struct {
	rules    Rules
	rec      *seen.Record
	classes  map[string]*world.Class
	tries    map[string]*seen.Try
	attempts map[string][]*seen.Attempt // by request, by first byte
	wishes   map[int][]*seen.Try        // by arrival, in order
	kinds    map[string]int
	v        *Verdict
}

// Judge looks at a run that is over. Arrivals are the whole plan.
func Judge(rec *seen.Record, rules Rules, arrivals []world.Arrival) *Verdict {
	c := &court{rules: rules, rec: rec, classes: map[string]*world.Class{}, tries: map[string]*seen.Try{},
		attempts: map[string][]*seen.Attempt{}, wishes: map[int][]*seen.Try{}, kinds: map[string]int{},
		v: &Verdict{ViolationCounts: map[string]int{}, Figures: map[string]float64{}, Classes: map[string]Service{},
			Tenants: map[string]Service{}}}
	for _, name := range RuleNames {
		c.v.ViolationCounts[name] = 0
	}
	for i := range rules.Classes {
		c.classes[rules.Classes[i].Name] = &rules.Classes[i]
	}
	for _, t := range rec.Tries {
		c.tries[t.ID] = t
		c.wishes[t.ArrivalNumber] = append(c.wishes[t.ArrivalNumber], t)
	}
	for _, a := range rec.Attempts {
		c.attempts[a.Request] = append(c.attempts[a.Request], a)
	}
	for _, list := range c.attempts {
		slices.SortStableFunc(list, func(a, b *seen.Attempt) int { return cmp.Compare(a.FirstByteAt, b.FirstByteAt) })
	}
	for _, t := range rec.Tries {
		c.oneAnswer(t)
		c.noDouble(t)
	}
	c.strangers()
	c.effects()
	c.drains()
	c.hands()
	c.cold()
	c.originStops()
	c.service(arrivals)
	slices.SortStableFunc(c.v.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.v
}

// breach notes that a rule was broken.
func (c *court) breach(rule, what string, at time.Duration, t *seen.Try, server, format string, args ...any) {
	c.v.ViolationCounts[rule]++
	c.kinds[what]++
	if c.kinds[what] > mostBreaches {
		return
	}
	b := Violation{Rule: rule, Kind: what, Reason: fmt.Sprintf(format, args...), At: at, Server: server}
	if t != nil {
		b.Request, b.Node = t.ID, t.Node+1
		b.Timeline = c.story(t.ArrivalNumber, server)
	}
	c.v.Violations = append(c.v.Violations, b)
}

// life finds a node's process.
func (c *court) life(node, life int) *seen.NodeProcess {
	for _, l := range c.rec.NodeProcesses {
		if l.Node == node && l.Generation == life {
			return l
		}
	}
	return &seen.NodeProcess{Node: node, Generation: life}
}
