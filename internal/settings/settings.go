// Package settings decodes the settings object that a balancer gets at its start: the same one on the simulator's
// wire and in a node's configuration.
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
	ConnIdle           time.Duration // an idle connection is closed by then; 0 when that is not told
	ConnectTimeout     time.Duration // a connection that does not stand by then has failed; 0 when that is not told
	MaxRequestsPerConn int           // requests that a connection may carry at once
	MaxRequests        int           // requests that a node may hold; 0 when that is not told
	DrainGrace         time.Duration // until then what is sent to a server told to drain is forgiven; 0 when that is not told
	Deadlines          map[string]time.Duration
}

var (
	effects = map[string]policy.Effect{"retryable": policy.Safe, "dedup": policy.Keyed, "fragile": policy.Unsafe}
	scopes  = map[string]policy.Scope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}
)

// Decode reads the settings for the decisions alone, as the simulator tells them: what is missing has a harmless meaning.
func Decode(text json.RawMessage) (policy.Settings, error) {
	w, err := parse(text)
	if err != nil {
		return policy.Settings{}, err
	}
	return w.decisions()
}

// DecodeAll reads what a node needs of the settings besides, and says plainly, by its key, what is missing or makes no sense.
func DecodeAll(text json.RawMessage) (policy.Settings, Transport, error) {
	w, err := parse(text)
	if err == nil {
		err = w.check()
	}
	if err != nil {
		return policy.Settings{}, Transport{}, err
	}
	set, err := w.decisions()
	return set, w.transport(), err
}

// parse reads the object; a value of the wrong type is named by its key.
func parse(text json.RawMessage) (w object, err error) {
	err = json.Unmarshal(text, &w)
	if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) && wrong.Field != "" {
		return w, &wrongType{wrong}
	} else if err != nil {
		return w, fmt.Errorf("settings: %w", err)
	}
	return w, nil
}

// wrongType names the key of a value of the wrong type; where it stands can be had from what it wraps.
type wrongType struct{ at *json.UnmarshalTypeError }

func (w *wrongType) Error() string {
	return fmt.Sprintf("settings: %s: a %s where %s belongs", w.at.Field, w.at.Value, kindOf(w.at.Type))
}

func (w *wrongType) Unwrap() error { return w.at }

// kindOf names what a value should have been.
func kindOf(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a word"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "an object"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

// The words that the settings may use, beside effects and scopes.
var (
	modes       = []string{"through", "aside"}
	memberships = []string{"automatic", "subscribe"}
	weights     = []string{"", "off", "nominal", "rough", "live"}
	feedbacks   = []string{"", "off", "inline", "on_probe"}
)

// check says, by its key, what a node must not start with: what it needs and is not told, what is out of bounds, and words
// that it does not know. Guards against settings of another customer that are half understood.
func (w *object) check() error {
	g, l := &w.Guarantees, &w.Limits
	if w.Balancers < 1 {
		return fmt.Errorf("settings: Balancers: %d, or missing; there is at least 1", w.Balancers)
	}
	if l.SendCap < 1 {
		return fmt.Errorf("settings: Limits.SendCap: %d, or missing; a request needs at least 1 attempt", l.SendCap)
	}
	for _, c := range []struct {
		key, word string
		known     []string
	}{{"FamilyInfo.Mode", w.FamilyInfo.Mode, modes}, {"MembershipMode", w.MembershipMode, memberships},
		{"Weights", w.Weights, weights}, {"Feedback.How", w.Feedback.How, feedbacks}} {
		if !slices.Contains(c.known, c.word) {
			return fmt.Errorf("settings: %s: %q, or missing; known are %q", c.key, c.word, c.known)
		}
	}
	for _, c := range []struct {
		key  string
		time int64
	}{{"Tick", w.Tick}, {"Guarantees.AskWithin", g.AskWithin}, {"Guarantees.WarmUp", g.WarmUp}, {"Guarantees.OverloadFor", g.OverloadFor},
		{"Guarantees.DrainGrace", g.DrainGrace}, {"Limits.MaxRetryAfter", l.MaxRetryAfter}, {"Limits.ConnIdle", l.ConnIdle},
		{"Limits.ConnectTimeout", l.ConnectTimeout}, {"Limits.StreamsPerConn", int64(l.StreamsPerConn)}, {"Limits.MostHeld", int64(l.MostHeld)}} {
		if c.time < 0 {
			return fmt.Errorf("settings: %s: %d is below 0", c.key, c.time)
		}
	}
	if g.ColdFrom < 0 || g.ColdFrom > 1 {
		return fmt.Errorf("settings: Guarantees.ColdFrom: %g is not between 0 and 1", g.ColdFrom)
	}
	if g.FallMultiple < 0 {
		return fmt.Errorf("settings: Guarantees.FallMultiple: %g is below 0", g.FallMultiple)
	}
	if k := w.FamilyInfo.OriginKind; w.FamilyInfo.Mode == "aside" && (k == nil || *k < 0 || *k >= len(w.Models)) {
		return errors.New("settings: FamilyInfo.OriginKind: missing, or no place in Models; in aside mode nodes go to the origin")
	}
	named := map[string]bool{}
	for i, c := range w.Classes {
		at := fmt.Sprintf("settings: Classes[%d]", i)
		switch {
		case c.Name == "":
			return fmt.Errorf("%s.Name: missing", at)
		case named[c.Name]:
			return fmt.Errorf("%s.Name: %q stands there twice", at, c.Name)
		case c.Worth < 0:
			return fmt.Errorf("%s.Worth: %g is below 0", at, c.Worth)
		case c.Effect == "dedup" && c.KeyTtl <= 0:
			return fmt.Errorf("%s.KeyTtl: %d, or missing; a keyed class needs its window", at, c.KeyTtl)
		}
		if _, known := scopes[c.DedupScope]; c.Effect == "dedup" && !known {
			return fmt.Errorf("%s.DedupScope: %q, or missing; known are all, zone and cell", at, c.DedupScope)
		}
		named[c.Name] = true
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

func (w *object) decisions() (policy.Settings, error) {
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
	// Reports that come with answers cost nothing: probes are for where nothing else tells.
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
