package judge

import (
	"fmt"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

// Service is what a part of the traffic got.
type Service struct {
	Arrivals    int     `json:"asked"`     // wishes of clients, their retries folded in
	InTime      int     `json:"in_time"`   // served within the aim
	Late        int     `json:"late"`      // served after it
	Refused     int     `json:"refused"`   // whose last try was refused
	Failed      int     `json:"failed"`    // whose last try failed, or had no answer
	Worth       float64 `json:"worth"`     // asked for
	Earned      float64 `json:"worth_got"` // in time, and the part that late answers keep
	EarnedShare float64 `json:"service"`   // got over asked for
	P50         float64 `json:"p50_ms"`    // of the served, from when they were due to the last byte
	P99         float64 `json:"p99_ms"`    // -
	P999        float64 `json:"p999_ms"`   // -
	Max         float64 `json:"max_ms"`    // -
	hist        *hdrhistogram.Histogram
}

// Second is what happened in one second of the plan, by when wishes were due.
type Second struct {
	At             int     `json:"second"`
	Arrivals       int     `json:"asked"`
	Service        float64 `json:"service"`
	Refused        int     `json:"refused"`
	Attempts       int     `json:"attempts"` // at caches and origin, by when they came
	OriginAttempts int     `json:"origin"`   // of those, at the origin
	P50            float64 `json:"p50_ms"`
	P99            float64 `json:"p99_ms"`
	worth          float64
	got            float64
	hist           *hdrhistogram.Histogram
}

// worstSpan is the span of the worst stretch that is told.
const worstSpan = 10

// NewHistogram takes times up to 100 s in microseconds, three digits of them.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(100*time.Second/time.Microsecond), 3)
}

// QuantileMillis is a quantile of a histogram of microseconds, in ms.
func QuantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func (s *Service) finish() {
	if s.EarnedShare = 1; s.Worth > 0 {
		s.EarnedShare = s.Earned / s.Worth
	}
	if s.hist != nil && s.hist.TotalCount() > 0 {
		s.P50, s.P99, s.P999, s.Max = QuantileMillis(s.hist, 50), QuantileMillis(s.hist, 99), QuantileMillis(s.hist, 99.9), float64(s.hist.Max())/1000
	}
}

// service counts the worth answered in time over the worth asked for.
func (c *court) service(arrivals []world.Arrival) {
	r, v := &c.rules, c.v
	seconds := int((r.Length + time.Second - 1) / time.Second)
	v.Seconds = make([]Second, max(1, seconds))
	for i := range v.Seconds {
		v.Seconds[i] = Second{At: i, hist: NewHistogram()}
	}
	at := func(d time.Duration) *Second { return &v.Seconds[min(max(0, int(d/time.Second)), len(v.Seconds)-1)] }
	total := Service{hist: NewHistogram()}
	classes, tenants := make([]Service, len(r.Classes)), make([]Service, len(r.Tenants))
	for i := range classes {
		classes[i].hist = NewHistogram()
	}
	for i := range tenants {
		tenants[i].hist = NewHistogram()
	}
	tries := 0
	for i := range arrivals {
		a := &arrivals[i]
		class := &r.Classes[a.Class]
		worth := class.Worth
		if a.OverQuota {
			worth *= r.OverQuotaWorth
		}
		list := c.wishes[a.N]
		tries += len(list)
		if a.LeaveAfter > 0 && (len(list) == 0 || list[0].Answer == seen.None) {
			continue // who goes away has asked for nothing
		}
		took, got, last := time.Duration(0), 0.0, seen.None
		for _, t := range list {
			last = t.Answer
			if t.Answer == seen.Served && c.made(t) {
				took = t.AnsweredAt - a.At
				switch {
				case took <= class.Aim:
					got = worth
				case took <= class.Deadline:
					got = worth * class.LateShare
				}
				break
			}
		}
		parts := []*Service{&total, &classes[a.Class]}
		if a.Tenant >= 0 && !a.OverQuota {
			parts = append(parts, &tenants[a.Tenant])
		}
		for _, s := range parts {
			s.Arrivals++
			s.Worth += worth
			s.Earned += got
			switch {
			case took > 0 && took <= class.Aim:
				s.InTime++
			case took > 0:
				s.Late++
			case last == seen.Refused:
				s.Refused++
			default:
				s.Failed++
			}
			if took > 0 {
				s.hist.RecordValue(int64(took / time.Microsecond))
			}
		}
		s := at(a.At)
		s.Arrivals++
		s.worth += worth
		s.got += got
		if took > 0 {
			s.hist.RecordValue(int64(took / time.Microsecond))
		} else if last == seen.Refused {
			s.Refused++
		}
	}
	origin := 0
	for _, x := range c.rec.Attempts {
		s := at(x.FirstByteAt)
		s.Attempts++
		if x.Origin {
			s.OriginAttempts++
			origin++
		}
	}
	for i := range v.Seconds {
		s := &v.Seconds[i]
		s.Service = 1
		if s.worth > 0 {
			s.Service = s.got / s.worth
		}
		s.P50, s.P99 = QuantileMillis(s.hist, 50), QuantileMillis(s.hist, 99)
	}
	f := v.Figures
	total.finish()
	f["service"], f["worst_10s"], f["worst_class"], f["worst_tenant"] = total.EarnedShare, c.worst(), 1, 1
	for i := range classes {
		classes[i].finish()
		v.Classes[r.Classes[i].Name] = classes[i]
		if classes[i].Arrivals > 0 {
			f["worst_class"] = math.Min(f["worst_class"], classes[i].EarnedShare)
		}
		f["p50_ms."+r.Classes[i].Name], f["p99_ms."+r.Classes[i].Name] = classes[i].P50, classes[i].P99
		f["service."+r.Classes[i].Name] = classes[i].EarnedShare
	}
	for i := range tenants {
		tenants[i].finish()
		v.Tenants[r.Tenants[i].Name] = tenants[i]
		if tenants[i].Arrivals > 0 {
			f["worst_tenant"] = math.Min(f["worst_tenant"], tenants[i].EarnedShare)
		}
	}
	f["asked"], f["tries"] = float64(total.Arrivals), float64(tries)
	f["p50_ms"], f["p99_ms"], f["p999_ms"], f["max_ms"] = total.P50, total.P99, total.P999, total.Max
	per := func(n int) float64 { return float64(n) / math.Max(1, float64(total.Arrivals)) }
	f["refused_share"], f["failed_share"], f["late_share"] = per(total.Refused), per(total.Failed), per(total.Late)
	f["attempts_per_request"], f["origin_per_request"] = per(len(c.rec.Attempts)), per(origin)
	for _, list := range c.attempts {
		f["attempts_most"] = math.Max(f["attempts_most"], float64(len(list)))
	}
	f["cold_fallen"], f["origin_stops"] = float64(len(c.rec.FallOvers)), float64(len(c.rec.OriginStops))
	f["effects"] = float64(len(c.rec.Effects))
	breaches := 0
	for _, name := range RuleNames {
		f["broken."+name] = float64(v.ViolationCounts[name])
		breaches += v.ViolationCounts[name]
	}
	f["broken"] = float64(breaches)
	c.added()
	c.lives()
}

// worst is the service of the worst ten seconds, or of the whole run if that is shorter.
func (c *court) worst() float64 {
	list := c.v.Seconds
	span := min(worstSpan, len(list))
	worst := 1.0
	for i := 0; i+span <= len(list); i++ {
		worth, got := 0.0, 0.0
		for _, s := range list[i : i+span] {
			worth += s.worth
			got += s.got
		}
		if worth > 0 {
			worst = math.Min(worst, got/worth)
		}
	}
	return worst
}

// added tells what the nodes add to the time of a request that one server served at its first attempt: from the request's
// last byte at the client to its last byte at the server, and back.
func (c *court) added() {
	there, back := NewHistogram(), NewHistogram()
	both := NewHistogram()
	for _, t := range c.rec.Tries {
		list := c.attempts[t.ID]
		if t.Answer != seen.Served || t.Resent || len(list) != 1 || list[0].AnsweredAt == 0 {
			continue
		}
		to, fro := list[0].LastByteAt-t.SentAt, t.AnsweredAt-list[0].AnsweredAt
		there.RecordValue(max(0, int64(to/time.Microsecond)))
		back.RecordValue(max(0, int64(fro/time.Microsecond)))
		both.RecordValue(max(0, int64((to+fro)/time.Microsecond)))
	}
	f := c.v.Figures
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "p999": 99.9} {
		f["added_"+name+"_ms"] = QuantileMillis(both, q)
		f["added_there_"+name+"_ms"], f["added_back_"+name+"_ms"] = QuantileMillis(there, q), QuantileMillis(back, q)
	}
}

// lives tells what the nodes' processes used, and how they ended.
func (c *court) lives() {
	f := c.v.Figures
	var cpu time.Duration
	for _, l := range c.rec.NodeProcesses {
		cpu += l.CPU
		f["node_memory_mb"] = math.Max(f["node_memory_mb"], float64(l.PeakMemory)/(1<<20))
		f["node_descriptors"] = math.Max(f["node_descriptors"], float64(l.PeakDescriptors))
		if l.EndedAt > 0 && !l.Killed && !l.Replaced && (l.TerminatedAt == 0 || l.ExitStatus != "exit status 0") {
			f["node_crashes"]++
		}
	}
	f["node_crashes"] += 0 // stands there in any case
	f["node_cpu_ms_per_1000"] = cpu.Seconds() * 1e6 / math.Max(1, f["asked"])
	f["node_cpu_s"] = cpu.Seconds()
}

// Summary is the service in one line.
func (s Service) Summary() string {
	return fmt.Sprintf("service %.3f  asked %d  in time %d  late %d  refused %d  failed %d  p50 %.1f ms  p99 %.1f ms  p99.9 %.1f ms",
		s.EarnedShare, s.Arrivals, s.InTime, s.Late, s.Refused, s.Failed, s.P50, s.P99, s.P999)
}
