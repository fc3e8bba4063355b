package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"lapisshelf/policy"
)

// wireSettings is the settings object of a starting instance; what the module does not use is left out.
type wireSettings struct {
	Balancers      int
	Position       int
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
	FamilyInfo struct {
		Mode               string
		OriginKind         *int
		OriginFallMultiple float64
	}
	Guarantees struct {
		AskWithin, WarmUp, OverloadFor int64
		ColdFrom, FallMultiple         float64
	}
	Limits struct {
		Cancel, ParallelTries, RetryAfter, MayTell bool
		MaxRetryAfter                              int64
		SendCap                                    int
	}
}

// settings turns the wire's settings into the module's and says plainly what makes no sense in them.
func settings(text json.RawMessage) (policy.Settings, error) {
	var w wireSettings
	if err := json.Unmarshal(text, &w); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	g, l := w.Guarantees, w.Limits
	s := policy.Settings{
		Balancers: w.Balancers, Position: w.Position, MayTell: l.MayTell, MustAsk: w.MembershipMode == "subscribe",
		AskWithin: time.Duration(g.AskWithin), Tick: time.Duration(w.Tick),
		MaxAttempts: l.SendCap, Parallel: l.ParallelTries, MayCancel: l.Cancel,
		MaxAdvice: time.Duration(l.MaxRetryAfter),
		ColdFrom:  g.ColdFrom, WarmUp: time.Duration(g.WarmUp),
		FallMultiple: g.FallMultiple, FallWindow: time.Duration(g.OverloadFor),
		OriginFalls: w.FamilyInfo.OriginFallMultiple > 0, Weighted: w.Weights != "off",
	}
	s.MayTell = s.MayTell && s.Position >= 0 && s.Position < s.Balancers // else it is unclear who the others are
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
