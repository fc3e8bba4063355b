// Package settings decodes the settings object that a balancer gets at its start. The simulator's protocol and a node's
// configuration use the same object.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"

	"lapisshelf/policy"
)

// object is the settings object, without the keys that are not used. Its field names are the JSON keys.
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

// Transport holds the settings for connections and for the number of requests in flight. Only a node uses it, not the policy.
type Transport struct {
	ConnIdle           time.Duration            // the server closes a connection that is idle for this long; 0: unknown
	ConnectTimeout     time.Duration            // time after which an attempt to connect has failed; 0: unknown
	MaxRequestsPerConn int                      // max requests in flight on one connection
	MaxRequests        int                      // max requests that a node holds; 0: not configured
	DrainGrace         time.Duration            // time after a server begins to drain during which requests sent to it are tolerated; 0: unknown
	Deadlines          map[string]time.Duration // by the name of the class
}

var (
	effects = map[string]policy.Effect{"retryable": policy.Safe, "dedup": policy.Keyed, "fragile": policy.Unsafe}
	scopes  = map[string]policy.Scope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}
)

// Decode decodes the policy's settings from the object that the simulator sends. A missing key gets a safe default.
func Decode(text json.RawMessage) (policy.Settings, error) {
	w, err := parse(text)
	if err != nil {
		return policy.Settings{}, err
	}
	return w.policySettings()
}

// DecodeAll decodes the policy's settings and those of a node's transport. A missing or invalid value is an error that names
// its key.
func DecodeAll(text json.RawMessage) (policy.Settings, Transport, error) {
	w, err := parse(text)
	if err == nil {
		err = w.validate()
	}
	if err != nil {
		return policy.Settings{}, Transport{}, err
	}
	set, err := w.policySettings()
	return set, w.transport(), err
}

// parse decodes the object. The error for a value of the wrong type names its key.
func parse(text json.RawMessage) (w object, err error) {
	err = json.Unmarshal(text, &w)
	if typeErr := (*json.UnmarshalTypeError)(nil); errors.As(err, &typeErr) && typeErr.Field != "" {
		return w, &keyTypeError{typeErr}
	} else if err != nil {
		return w, fmt.Errorf("settings: %w", err)
	}
	return w, nil
}

// keyTypeError reports the key of a value of the wrong type. The error that it wraps has the offset.
type keyTypeError struct{ err *json.UnmarshalTypeError }

func (w *keyTypeError) Error() string {
	return fmt.Sprintf("settings: %s: is a %s, must be %s", w.err.Field, w.err.Value, expectedValue(w.err.Type))
}

func (w *keyTypeError) Unwrap() error { return w.err }

// expectedValue describes the JSON values that type t accepts.
func expectedValue(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "an object"
	case reflect.Float64:
		return "a number"
	}
	return "an integer"
}

// The allowed values of settings other than effects and scopes.
var (
	cacheModes      = []string{"through", "aside"}
	membershipModes = []string{"automatic", "subscribe"}
	weightModes     = []string{"", "off", "nominal", "rough", "live"}
	feedbackModes   = []string{"", "off", "inline", "on_probe"}
)

// validate returns an error with the key of the first setting that a node must not start with: a required one that is missing,
// one out of range, or one with an unknown value. It keeps a node from running on another customer's settings that it
// understands only in part.
func (w *object) validate() error {
	g, l := &w.Guarantees, &w.Limits
	if w.Balancers < 1 {
		return fmt.Errorf("settings: Balancers: %d, or missing; must be at least 1", w.Balancers)
	}
	if l.SendCap < 1 {
		return fmt.Errorf("settings: Limits.SendCap: %d, or missing; a request needs at least 1 attempt", l.SendCap)
	}
	for _, c := range []struct {
		key, value string
		known      []string
	}{{"FamilyInfo.Mode", w.FamilyInfo.Mode, cacheModes}, {"MembershipMode", w.MembershipMode, membershipModes},
		{"Weights", w.Weights, weightModes}, {"Feedback.How", w.Feedback.How, feedbackModes}} {
		if !slices.Contains(c.known, c.value) {
			return fmt.Errorf("settings: %s: %q, or missing; must be one of %q", c.key, c.value, c.known)
		}
	}
	for _, c := range []struct {
		key   string
		value int64
	}{{"Tick", w.Tick}, {"Guarantees.AskWithin", g.AskWithin}, {"Guarantees.WarmUp", g.WarmUp}, {"Guarantees.OverloadFor", g.OverloadFor},
		{"Guarantees.DrainGrace", g.DrainGrace}, {"Limits.MaxRetryAfter", l.MaxRetryAfter}, {"Limits.ConnIdle", l.ConnIdle},
		{"Limits.ConnectTimeout", l.ConnectTimeout}, {"Limits.StreamsPerConn", int64(l.StreamsPerConn)}, {"Limits.MostHeld", int64(l.MostHeld)}} {
		if c.value < 0 {
			return fmt.Errorf("settings: %s: %d is below 0", c.key, c.value)
		}
	}
	if g.ColdFrom < 0 || g.ColdFrom > 1 {
		return fmt.Errorf("settings: Guarantees.ColdFrom: %g is not between 0 and 1", g.ColdFrom)
	}
	if g.FallMultiple < 0 {
		return fmt.Errorf("settings: Guarantees.FallMultiple: %g is below 0", g.FallMultiple)
	}
	if k := w.FamilyInfo.OriginKind; w.FamilyInfo.Mode == "aside" && (k == nil || *k < 0 || *k >= len(w.Models)) {
		return errors.New("settings: FamilyInfo.OriginKind: missing, or not an index of Models; in aside mode nodes fetch from the origin")
	}
	seen := map[string]bool{}
	for i, c := range w.Classes {
		at := fmt.Sprintf("settings: Classes[%d]", i)
		switch {
		case c.Name == "":
			return fmt.Errorf("%s.Name: missing", at)
		case seen[c.Name]:
			return fmt.Errorf("%s.Name: %q is used twice", at, c.Name)
		case c.Worth < 0:
			return fmt.Errorf("%s.Worth: %g is below 0", at, c.Worth)
		case c.Effect == "dedup" && c.KeyTtl <= 0:
			return fmt.Errorf("%s.KeyTtl: %d, or missing; a keyed class needs a window", at, c.KeyTtl)
		}
		if _, known := scopes[c.DedupScope]; c.Effect == "dedup" && !known {
			return fmt.Errorf("%s.DedupScope: %q, or missing; must be all, zone or cell", at, c.DedupScope)
		}
		seen[c.Name] = true
	}
	for i, t := range w.Tenants {
		if t.Name == "" || t.QuotaPerS < 0 {
			return fmt.Errorf("settings: Tenants[%d]: a tenant needs a name, and a quota of at least 0", i)
		}
	}
	return nil
}

func (w *object) transport() Transport {
	t := Transport{ConnIdle: time.Duration(max(0, w.Limits.ConnIdle)),
		ConnectTimeout:     time.Duration(max(0, w.Limits.ConnectTimeout)),
		MaxRequestsPerConn: max(1, w.Limits.StreamsPerConn), MaxRequests: max(0, w.Limits.MostHeld),
		DrainGrace: time.Duration(max(0, w.Guarantees.DrainGrace)),
		Deadlines:  map[string]time.Duration{}}
	for _, c := range w.Classes {
		t.Deadlines[c.Name] = time.Duration(c.Deadline)
	}
	return t
}

func (w *object) policySettings() (policy.Settings, error) {
	g, l := w.Guarantees, w.Limits
	s := policy.Settings{
		Balancers: w.Balancers, MustSubscribe: w.MembershipMode == "subscribe",
		AskWithin: time.Duration(g.AskWithin), Tick: time.Duration(w.Tick),
		MaxAttempts: l.SendCap, Parallel: l.ParallelTries, MayCancel: l.Cancel,
		RetryAfterLimit: time.Duration(l.MaxRetryAfter),
		ColdFrom:        g.ColdFrom, WarmUp: time.Duration(g.WarmUp),
		FallMultiple: g.FallMultiple, FallWindow: time.Duration(g.OverloadFor),
		OriginFalls: w.FamilyInfo.OriginFallMultiple > 0, Weighted: w.Weights != "off",
	}
	// Load reports that come with answers are free, so probes are sent only where nothing else reports the load.
	s.MayProbe = l.Probes && w.Feedback.How == "on_probe" && slices.Contains(w.Feedback.Fields, "depth") &&
		slices.Contains(w.Feedback.Fields, "tps")
	if w.Penalties.CrossZone > 0 {
		s.Zone = w.Az
	}
	if !l.RetryAfter {
		s.RetryAfterLimit = 0
	}
	if w.FamilyInfo.Mode == "aside" {
		s.Mode = policy.Aside
	}
	if k := w.FamilyInfo.OriginKind; k != nil && *k >= 0 && *k < len(w.Models) {
		s.OriginKind = w.Models[*k]
	}
	for i, c := range w.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return s, fmt.Errorf("settings: Classes[%d].Effect: unknown effect %q of class %q", i, c.Effect, c.Name)
		}
		if c.Aim <= 0 || c.Deadline <= 0 || c.KeyTtl < 0 {
			return s, fmt.Errorf("settings: Classes[%d]: Aim, Deadline, KeyTtl of class %q: times must be positive", i, c.Name)
		}
		scope, ok := scopes[c.DedupScope]
		if !ok {
			scope = policy.ScopeCell // the narrowest scope is correct for every server
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
