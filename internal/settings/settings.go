// Package settings decodes the settings object that a balancer gets at its start: the same one on the simulator's
// wire and in a node's configuration.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"lapisshelf/policy"
)

// object is the settings object; what nobody here uses is left out.
type object struct {
	Balancers      int
	Az             string
	Penalties      struct{ CrossZone float64 }
	Models         []string
	MembershipMode string
	Tick           int64
	Weights        string
	Classes        []struct {
		Name, Effect, DedupScope string
		Aim, Deadline, KeyTtl    int64
		Worth                    float64
	}
	Tenants []struct {
		Name      string
		QuotaPerS float64
	}
	Feedback struct {
		How    string
		Fields []string
	}
	FamilyInfo struct {
		Mode               string
		OriginKind         *int
		OriginFallMultiple float64
	}
	Guarantees struct {
		AskWithin, WarmUp, OverloadFor, DrainGrace int64
		ColdFrom, FallMultiple                     float64
	}
	Limits struct {
		Cancel, ParallelTries, RetryAfter, Probes bool
		MaxRetryAfter, ConnIdle, ConnectTimeout   int64
		SendCap, StreamsPerConn, MostHeld         int
	}
}

// Transport is what the settings say of connections and of what may be held; a node needs it, the decisions don't.
type Transport struct {
	ConnIdle       time.Duration // an idle connection is closed by then; 0 when that is not told
	ConnectTimeout time.Duration // a connection that does not stand by then has failed; 0 when that is not told
	PerConn        int           // requests that a connection may carry at once
	MostHeld       int           // requests that a node may hold; 0 when that is not told
	DrainGrace     time.Duration // until then what is sent to a server told to drain is forgiven; 0 when that is not told
	Deadlines      map[string]time.Duration
}

// Decode reads the settings for the decisions and says plainly what makes no sense in them.
func Decode(text json.RawMessage) (policy.Settings, error) {
	set, _, err := DecodeAll(text)
	return set, err
}

// DecodeAll reads what a node needs of the settings besides.
func DecodeAll(text json.RawMessage) (policy.Settings, Transport, error) {
	var w object
	if err := json.Unmarshal(text, &w); err != nil {
		return policy.Settings{}, Transport{}, fmt.Errorf("settings: %w", err)
	}
	set, err := w.decisions()
	return set, w.transport(), err
}

func (w *object) transport() Transport {
	t := Transport{ConnIdle: time.Duration(max(0, w.Limits.ConnIdle)),
		ConnectTimeout: time.Duration(max(0, w.Limits.ConnectTimeout)),
		PerConn:        max(1, w.Limits.StreamsPerConn), MostHeld: max(0, w.Limits.MostHeld),
		DrainGrace: time.Duration(max(0, w.Guarantees.DrainGrace)),
		Deadlines:  map[string]time.Duration{}}
	for _, c := range w.Classes {
		t.Deadlines[c.Name] = time.Duration(c.Deadline)
	}
	return t
}

func (w *object) decisions() (policy.Settings, error) {
	g, l := w.Guarantees, w.Limits
	s := policy.Settings{
		Balancers: w.Balancers, MustAsk: w.MembershipMode == "subscribe",
		AskWithin: time.Duration(g.AskWithin), Tick: time.Duration(w.Tick),
		MaxAttempts: l.SendCap, Parallel: l.ParallelTries, MayCancel: l.Cancel,
		MaxAdvice: time.Duration(l.MaxRetryAfter),
		ColdFrom:  g.ColdFrom, WarmUp: time.Duration(g.WarmUp),
		FallMultiple: g.FallMultiple, FallWindow: time.Duration(g.OverloadFor),
		OriginFalls: w.FamilyInfo.OriginFallMultiple > 0, Weighted: w.Weights != "off",
	}
	// Reports that come with answers cost nothing: probes are for where nothing else tells.
	s.MayProbe = l.Probes && w.Feedback.How == "on_probe" && slices.Contains(w.Feedback.Fields, "depth") &&
		slices.Contains(w.Feedback.Fields, "tps")
	if w.Penalties.CrossZone > 0 {
		s.Zone = w.Az
	}
	if !l.RetryAfter {
		s.MaxAdvice = 0
	}
	if w.FamilyInfo.Mode == "aside" {
		s.Mode = policy.Aside
	}
	if k := w.FamilyInfo.OriginKind; k != nil && *k >= 0 && *k < len(w.Models) {
		s.OriginKind = w.Models[*k]
	}
	effects := map[string]policy.Effect{"retryable": policy.Safe, "dedup": policy.Keyed, "fragile": policy.Unsafe}
	scopes := map[string]policy.Scope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}
	for _, c := range w.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return s, fmt.Errorf("settings: class %q: unknown effect %q", c.Name, c.Effect)
		}
		if c.Aim <= 0 || c.Deadline <= 0 || c.KeyTtl < 0 {
			return s, fmt.Errorf("settings: class %q: times must be positive", c.Name)
		}
		scope, ok := scopes[c.DedupScope]
		if !ok {
			scope = policy.ScopeCell // the narrowest: never wrong
		}
		s.Classes = append(s.Classes, policy.Class{Name: c.Name, Aim: time.Duration(c.Aim),
			Worth: c.Worth, Effect: effect, Scope: scope, Window: time.Duration(c.KeyTtl)})
	}
	if len(s.Classes) == 0 {
		return s, fmt.Errorf("settings: no request class")
	}
	for _, t := range w.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Quota: t.QuotaPerS})
	}
	return s, nil
}
