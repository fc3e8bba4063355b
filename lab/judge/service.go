package judge

import (
	"fmt"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

// Service is the service that a part of the traffic received. An arrival is a request of a client together with its retries.
type Service struct {
	Arrivals    int     `json:"asked"`     // without those whose client disconnected early and was not answered
	InTime      int     `json:"in_time"`   // served within the aim
	Late        int     `json:"late"`      // served after the aim
	Refused     int     `json:"refused"`   // the last try was refused
	Failed      int     `json:"failed"`    // the last try failed or had no answer
	Worth       float64 `json:"worth"`     // of all arrivals
	Earned      float64 `json:"worth_got"` // by answers in time, and in part by late ones
	EarnedShare float64 `json:"service"`   // Earned over Worth
	P50         float64 `json:"p50_ms"`    // latency of served arrivals, from the scheduled time to the last byte
	P99         float64 `json:"p99_ms"`    // as P50
	P999        float64 `json:"p999_ms"`   // as P50
	Max         float64 `json:"max_ms"`    // as P50
	hist        *hdrhistogram.Histogram
}

// Second holds the figures of one second of the plan. Arrivals count in the second for which they were scheduled.
type Second struct {
	At             int     `json:"second"`
	Arrivals       int     `json:"asked"`
	Service        float64 `json:"service"`
	Refused        int     `json:"refused"`
	Attempts       int     `json:"attempts"` // at caches and origin, by their first byte
	OriginAttempts int     `json:"origin"`   // those at the origin
	P50            float64 `json:"p50_ms"`
	P99            float64 `json:"p99_ms"`
	worth          float64
	earned         float64
	hist           *hdrhistogram.Histogram
}

// worstSpanSeconds is the length of the span for which the worst service is reported.
const worstSpanSeconds = 10

// NewHistogram returns a histogram of microseconds, for up to 100 s with three significant digits.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(100*time.Second/time.Microsecond), 3)
}

// QuantileMillis returns a quantile, in percent, of a histogram of microseconds, in milliseconds.
func QuantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func (s *Service) computeShareAndLatency() {
	if s.EarnedShare = 1; s.Worth > 0 {
		s.EarnedShare = s.Earned / s.Worth
	}
	if s.hist != nil && s.hist.TotalCount() > 0 {
		s.P50, s.P99, s.P999, s.Max = QuantileMillis(s.hist, 50), QuantileMillis(s.hist, 99), QuantileMillis(s.hist, 99.9), float64(s.hist.Max())/1000
	}
}

// computeService computes the service of the run, its classes, tenants and seconds, and all figures of the verdict.
func (c *evaluation) computeService(arrivals []world.Arrival) {
	r, v := &c.rules, c.verdict
	seconds := int((r.Length + time.Second - 1) / time.Second)
	v.Seconds = make([]Second, max(1, seconds))
	for i := range v.Seconds {
		v.Seconds[i] = Second{At: i, hist: NewHistogram()}
	}
	secondOf := func(d time.Duration) *Second { return &v.Seconds[min(max(0, int(d/time.Second)), len(v.Seconds)-1)] }
	total := Service{hist: NewHistogram()}
	classes, tenants := make([]Service, len(r.Classes)), make([]Service, len(r.Tenants))
	for i := range classes {
		classes[i].hist = NewHistogram()
	}
	for i := range tenants {
		tenants[i].hist = NewHistogram()
	}
	tryCount := 0
	for i := range arrivals {
		a := &arrivals[i]
		class := &r.Classes[a.Class]
		worth := class.Worth
		if a.OverQuota {
			worth *= r.OverQuotaWorth
		}
		list := c.triesByArrival[a.N]
		tryCount += len(list)
		if a.LeaveAfter > 0 && (len(list) == 0 || list[0].Answer == seen.None) {
			continue // a client that disconnected before its answer does not count
		}
		latency, earned, lastAnswer := time.Duration(0), 0.0, seen.None
		for _, t := range list {
			lastAnswer = t.Answer
			if t.Answer == seen.Served && c.producedByServer(t) {
				latency = t.AnsweredAt - a.At
				switch {
				case latency <= class.Aim:
					earned = worth
				case latency <= class.Deadline:
					earned = worth * class.LateShare
				}
				break
			}
		}
		services := []*Service{&total, &classes[a.Class]}
		if a.Tenant >= 0 && !a.OverQuota {
			services = append(services, &tenants[a.Tenant])
		}
		for _, s := range services {
			s.Arrivals++
			s.Worth += worth
			s.Earned += earned
			switch {
			case latency > 0 && latency <= class.Aim:
				s.InTime++
			case latency > 0:
				s.Late++
			case lastAnswer == seen.Refused:
				s.Refused++
			default:
				s.Failed++
			}
			if latency > 0 {
				s.hist.RecordValue(int64(latency / time.Microsecond))
			}
		}
		s := secondOf(a.At)
		s.Arrivals++
		s.worth += worth
		s.earned += earned
		if latency > 0 {
			s.hist.RecordValue(int64(latency / time.Microsecond))
		} else if lastAnswer == seen.Refused {
			s.Refused++
		}
	}
	originAttempts := 0
	for _, x := range c.record.Attempts {
		s := secondOf(x.FirstByteAt)
		s.Attempts++
		if x.Origin {
			s.OriginAttempts++
			originAttempts++
		}
	}
	for i := range v.Seconds {
		s := &v.Seconds[i]
		s.Service = 1
		if s.worth > 0 {
			s.Service = s.earned / s.worth
		}
		s.P50, s.P99 = QuantileMillis(s.hist, 50), QuantileMillis(s.hist, 99)
	}
	f := v.Figures
	total.computeShareAndLatency()
	f["service"], f["worst_10s"], f["worst_class"], f["worst_tenant"] = total.EarnedShare, c.worstSpanService(), 1, 1
	for i := range classes {
		classes[i].computeShareAndLatency()
		v.Classes[r.Classes[i].Name] = classes[i]
		if classes[i].Arrivals > 0 {
			f["worst_class"] = math.Min(f["worst_class"], classes[i].EarnedShare)
		}
		f["p50_ms."+r.Classes[i].Name], f["p99_ms."+r.Classes[i].Name] = classes[i].P50, classes[i].P99
		f["service."+r.Classes[i].Name] = classes[i].EarnedShare
	}
	for i := range tenants {
		tenants[i].computeShareAndLatency()
		v.Tenants[r.Tenants[i].Name] = tenants[i]
		if tenants[i].Arrivals > 0 {
			f["worst_tenant"] = math.Min(f["worst_tenant"], tenants[i].EarnedShare)
		}
	}
	f["asked"], f["tries"] = float64(total.Arrivals), float64(tryCount)
	f["p50_ms"], f["p99_ms"], f["p999_ms"], f["max_ms"] = total.P50, total.P99, total.P999, total.Max
	perArrival := func(n int) float64 { return float64(n) / math.Max(1, float64(total.Arrivals)) }
	f["refused_share"], f["failed_share"], f["late_share"] = perArrival(total.Refused), perArrival(total.Failed), perArrival(total.Late)
	f["attempts_per_request"], f["origin_per_request"] = perArrival(len(c.record.Attempts)), perArrival(originAttempts)
	for _, list := range c.attempts {
		f["attempts_most"] = math.Max(f["attempts_most"], float64(len(list)))
	}
	f["cold_fallen"], f["origin_stops"] = float64(len(c.record.FallOvers)), float64(len(c.record.OriginStops))
	f["effects"] = float64(len(c.record.Effects))
	violations := 0
	for _, name := range RuleNames {
		f["broken."+name] = float64(v.ViolationCounts[name])
		violations += v.ViolationCounts[name]
	}
	f["broken"] = float64(violations)
	c.computeAddedLatency()
	c.computeProcessFigures()
}

// worstSpanService returns the service of the worst worstSpanSeconds, or of the whole run if that is shorter.
func (c *evaluation) worstSpanService() float64 {
	list := c.verdict.Seconds
	span := min(worstSpanSeconds, len(list))
	worst := 1.0
	for i := 0; i+span <= len(list); i++ {
		worth, earned := 0.0, 0.0
		for _, s := range list[i : i+span] {
			worth += s.worth
			earned += s.earned
		}
		if worth > 0 {
			worst = math.Min(worst, earned/worth)
		}
	}
	return worst
}

// computeAddedLatency computes what the nodes add to the latency of requests that their first attempt served: the time from
// the request's last byte at the client to its last byte at the server, and the same for the answer on its way back.
func (c *evaluation) computeAddedLatency() {
	outbound, inbound := NewHistogram(), NewHistogram()
	roundTrip := NewHistogram()
	for _, t := range c.record.Tries {
		list := c.attempts[t.ID]
		if t.Answer != seen.Served || t.Resent || t.ArrivalNumber < 0 || len(list) != 1 || list[0].AnsweredAt == 0 {
			continue
		}
		outboundTime, inboundTime := list[0].LastByteAt-t.SentAt, t.AnsweredAt-list[0].AnsweredAt
		outbound.RecordValue(max(0, int64(outboundTime/time.Microsecond)))
		inbound.RecordValue(max(0, int64(inboundTime/time.Microsecond)))
		roundTrip.RecordValue(max(0, int64((outboundTime+inboundTime)/time.Microsecond)))
	}
	f := c.verdict.Figures
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "p999": 99.9} {
		f["added_"+name+"_ms"] = QuantileMillis(roundTrip, q)
		f["added_there_"+name+"_ms"], f["added_back_"+name+"_ms"] = QuantileMillis(outbound, q), QuantileMillis(inbound, q)
	}
}

// computeProcessFigures computes what the nodes' processes used, and how many of them crashed.
func (c *evaluation) computeProcessFigures() {
	f := c.verdict.Figures
	var cpu time.Duration
	for _, l := range c.record.NodeProcesses {
		cpu += l.CPU
		f["node_memory_mb"] = math.Max(f["node_memory_mb"], float64(l.PeakMemory)/(1<<20))
		f["node_descriptors"] = math.Max(f["node_descriptors"], float64(l.PeakDescriptors))
		if l.EndedAt > 0 && !l.Killed && !l.Replaced && (l.TerminatedAt == 0 || l.ExitStatus != "exit status 0") {
			f["node_crashes"]++
		}
	}
	f["node_crashes"] += 0 // makes the figure exist in any case
	f["node_cpu_ms_per_1000"] = cpu.Seconds() * 1e6 / math.Max(1, f["asked"])
	f["node_cpu_s"] = cpu.Seconds()
}

// Summary returns the service as one line.
func (s Service) Summary() string {
	return fmt.Sprintf("service %.3f  asked %d  in time %d  late %d  refused %d  failed %d  p50 %.1f ms  p99 %.1f ms  p99.9 %.1f ms",
		s.EarnedShare, s.Arrivals, s.InTime, s.Late, s.Refused, s.Failed, s.P50, s.P99, s.P999)
}
