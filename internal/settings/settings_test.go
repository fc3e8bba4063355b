package settings

import (
	"strings"
	"testing"
	"time"

	"lapisshelf/policy"
)

const validSettings = `{"Balancers":3,"Position":1,"Tick":5000000,"Weights":"nominal","MembershipMode":"subscribe","New":{"x":1},
	"Models":["fast","origin"],"FamilyInfo":{"Mode":"aside","OriginKind":1},
	"Classes":[{"Name":"read","Effect":"retryable","Aim":600000000,"Deadline":2500000000,"Worth":3},
		{"Name":"pin","Effect":"dedup","DedupScope":"zone","KeyTtl":1200000000,"Aim":300000000,"Deadline":600000000}],
	"Guarantees":{"AskWithin":10000000000,"ColdFrom":0.3,"FallMultiple":3,"OverloadFor":1500000000,"WarmUp":24000000000},
	"Limits":{"Cancel":true,"SendCap":6,"StreamsPerConn":128,"ConnIdle":30000000000,"ConnectTimeout":150000000,"MostHeld":20000,
		"RetryAfter":true,"MaxRetryAfter":1200000000}}`

func TestDecodeAll(t *testing.T) {
	set, tr, err := DecodeAll([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if set.Mode != policy.Aside || set.OriginKind != "origin" || set.Balancers != 3 || !set.MustSubscribe || !set.Weighted ||
		set.MaxAttempts != 6 || !set.MayCancel || set.RetryAfterLimit != 1200*time.Millisecond || len(set.Classes) != 2 {
		t.Errorf("%+v", set)
	}
	if c := set.Classes[1]; c.Effect != policy.Keyed || c.Scope != policy.ScopeZone || c.Window != 1200*time.Millisecond {
		t.Errorf("%+v", c)
	}
	if tr.MaxRequestsPerConn != 128 || tr.ConnIdle != 30*time.Second || tr.ConnectTimeout != 150*time.Millisecond ||
		tr.MaxRequests != 20000 || tr.Deadlines["pin"] != 600*time.Millisecond {
		t.Errorf("%+v", tr)
	}
}

func TestDecodeAllSaysWhatIsWrong(t *testing.T) {
	for name, change := range map[string][2]string{
		"not an object":  {validSettings, `"x"`},
		"cut off":        {validSettings, validSettings[:len(validSettings)/2]},
		"unknown effect": {`"retryable"`, `"maybe"`},
		"no aim":         {`"Aim":600000000`, `"Aim":0`},
		"past deadline":  {`"Deadline":600000000`, `"Deadline":-1`},
		"string for int": {`"Balancers":3`, `"Balancers":"three"`},
	} {
		if _, _, err := DecodeAll([]byte(strings.Replace(validSettings, change[0], change[1], 1))); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	// Missing transport settings get safe defaults.
	_, tr, err := DecodeAll([]byte(strings.Replace(strings.Replace(validSettings, `"StreamsPerConn":128,`, ``, 1),
		`"ConnIdle":30000000000,`, ``, 1)))
	if err != nil || tr.MaxRequestsPerConn != 1 || tr.ConnIdle != 0 {
		t.Errorf("%+v, %v", tr, err)
	}
}

// Guards against a node that starts on another customer's settings and understands only a part of them: each error is one line
// with the key. Values below 0 used to be replaced by defaults without an error.
func TestFaultsAreNamedByTheirKey(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{`"Balancers":3`, `"Balancers":"three"`, "Balancers"},
		{`"Balancers":3`, `"Balancers":0`, "Balancers"},
		{`"Balancers":3,`, ``, "Balancers"},
		{`"SendCap":6`, `"SendCap":0`, "Limits.SendCap"},
		{`"SendCap":6`, `"SendCap":1.5`, "Limits.SendCap"},
		{`"Cancel":true`, `"Cancel":"yes"`, "Limits.Cancel"},
		{`"StreamsPerConn":128`, `"StreamsPerConn":-1`, "Limits.StreamsPerConn"},
		{`"ConnIdle":30000000000`, `"ConnIdle":-5`, "Limits.ConnIdle"},
		{`"MostHeld":20000`, `"MostHeld":-1`, "Limits.MostHeld"},
		{`"Mode":"aside"`, `"Mode":"around"`, "FamilyInfo.Mode"},
		{`"Mode":"aside",`, ``, "FamilyInfo.Mode"},
		{`"OriginKind":1`, `"OriginKind":2`, "FamilyInfo.OriginKind"},
		{`"OriginKind":1`, `"OriginKind":-1`, "FamilyInfo.OriginKind"},
		{`"subscribe"`, `"hearsay"`, "MembershipMode"},
		{`"MembershipMode":"subscribe",`, ``, "MembershipMode"},
		{`"Weights":"nominal"`, `"Weights":"heavy"`, "Weights"},
		{`"Tick":5000000`, `"Tick":-1`, "Tick"},
		{`"ColdFrom":0.3`, `"ColdFrom":1.3`, "Guarantees.ColdFrom"},
		{`"FallMultiple":3`, `"FallMultiple":-3`, "Guarantees.FallMultiple"},
		{`"WarmUp":24000000000`, `"WarmUp":-1`, "Guarantees.WarmUp"},
		{`"retryable"`, `"maybe"`, "Classes[0].Effect"},
		{`"Effect":"retryable",`, ``, "Classes[0].Effect"},
		{`"Aim":600000000,`, ``, "Classes[0]"},
		{`"Name":"read",`, ``, "Classes[0].Name"},
		{`"Name":"pin"`, `"Name":"read"`, "Classes[1].Name"},
		{`"DedupScope":"zone"`, `"DedupScope":"street"`, "Classes[1].DedupScope"},
		{`"DedupScope":"zone",`, ``, "Classes[1].DedupScope"},
		{`"KeyTtl":1200000000,`, ``, "Classes[1].KeyTtl"},
		{`"Worth":3`, `"Worth":-3`, "Classes[0].Worth"},
		{`"Models"`, `"Tenants":[{"Name":"acme","QuotaPerS":-1}],"Models"`, "Tenants[0]"},
	} {
		text := strings.Replace(validSettings, c.old, c.new, 1)
		if text == validSettings {
			t.Fatalf("%s is not in the settings", c.old)
		}
		_, _, err := DecodeAll([]byte(text))
		if err == nil || !strings.Contains(err.Error(), "settings: "+c.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: %v, want one line with %s", c.new, c.old, err, c.key)
		}
	}
}

// A node prefers its own zone only where the settings charge for requests to other zones. Elsewhere the zone must not affect
// its choice.
func TestZonesCountWhereCrossingIsPriced(t *testing.T) {
	for price, want := range map[string]string{"0.2": "east", "0": "", "-1": ""} {
		set, err := Decode([]byte(`{"Az":"east","Penalties":{"CrossZone":` + price + "}," + validSettings[1:]))
		if err != nil || set.Zone != want {
			t.Errorf("CrossZone penalty %s: zone %q, %v", price, set.Zone, err)
		}
	}
}
