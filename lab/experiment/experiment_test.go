package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lapisshelf/internal/settings"
	"lapisshelf/lab/judge"
	"lapisshelf/policy"
)

const smallExperiment = `# What it guards,
# in two lines.
length = "4s"
[short]
length = "2s"
rate = 50
[fleet]
count = 2
cores = 4
[[group]]
count = 3
kind = "big"
weight = 2.5
[[class]]
name = "read"
aim = "300ms"
deadline = "1s"
[[class]]
name = "put"
effect = "keyed"
scope = "zone"
window = "2s"
aim = "300ms"
deadline = "1s"
write = true
[[tenant]]
name = "t"
share = 1
quota = 10
[[fault]]
kind = "crash"
at = "50%"
for = "1s"
servers = ["c5"]
new_id = true
[expect]
service_min = 0.9
p99_ms_max = 100
broken = ["cold"]
`

func read(t *testing.T, text string, opt Options) (*Experiment, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	x, err := Read(path, opt)
	if err != nil {
		t.Log(err)
		if rest, ok := strings.CutPrefix(err.Error(), path); ok && !strings.Contains(rest, "\n") {
			return nil, errText("x.toml" + rest)
		}
	}
	return x, err
}

type errText string

func (e errText) Error() string { return string(e) }

func TestRead(t *testing.T) {
	x, err := read(t, smallExperiment, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if x.Description != "What it guards, in two lines." || x.Length.D() != 4*time.Second || x.Clients.Rate != 200 {
		t.Errorf("%q %v %v", x.Description, x.Length, x.Clients.Rate)
	}
	if len(x.Servers) != 6 || x.Servers[4].Member.Weight != 2.5 || x.Servers[4].Spec.Cores != 4 || x.Servers[5].Name != "c5.2" ||
		!x.Servers[5].StartsLater || x.Servers[5].ID == x.Servers[4].ID || x.Servers[5].Member.Weight != 2.5 {
		t.Errorf("%+v", x.Servers)
	}
	short, err := read(t, smallExperiment, Options{Short: true, Seed: 9})
	if err != nil || short.Length.D() != 2*time.Second || short.Clients.Rate != 50 || short.Timeline.Actions[0].At != time.Second {
		t.Errorf("%+v %v", short, err)
	}
	if short.Servers[0].ID == x.Servers[0].ID {
		t.Error("two seeds give the same ids")
	}
}

// The settings that are written for a node decode to the file's values.
func TestSettingsReadBack(t *testing.T) {
	x, err := read(t, smallExperiment, Options{})
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(x.Settings(1))
	if err != nil {
		t.Fatal(err)
	}
	set, transport, err := settings.DecodeAll(text)
	if err != nil {
		t.Fatal(err)
	}
	if set.Balancers != 2 || set.Mode != policy.Aside || set.OriginKind != "origin" || set.MaxAttempts != 6 || set.Parallel ||
		len(set.Classes) != 2 || set.Classes[1].Effect != policy.Keyed || set.Classes[1].Scope != policy.ScopeZone ||
		set.Classes[1].Window != 2*time.Second || set.Tenants[0].Quota != 10 || set.WarmUp != x.Service.WarmUp.D() ||
		transport.MaxRequestsPerConn != 8 || transport.Deadlines["read"] != time.Second {
		t.Errorf("%+v %+v", set, transport)
	}
}

func TestEvaluate(t *testing.T) {
	x, err := read(t, smallExperiment, Options{})
	if err != nil {
		t.Fatal(err)
	}
	v := &judge.Verdict{ViolationCounts: map[string]int{judge.Cold: 1, judge.Drains: 2}, Figures: map[string]float64{"service": 0.8}}
	shortfalls, wrongRules := x.Evaluate(v)
	if len(shortfalls) != 2 || len(wrongRules) != 1 || !strings.Contains(shortfalls[1].String(), "service was 0.8, at least 0.9 is wanted") ||
		!strings.Contains(shortfalls[0].String(), `no figure "p99_ms"`) || wrongRules[0] != "drains was broken" {
		t.Errorf("%v %v", shortfalls, wrongRules)
	}
	v = &judge.Verdict{ViolationCounts: map[string]int{}, Figures: map[string]float64{"service": 0.9, "p99_ms": 100}}
	if shortfalls, wrongRules = x.Evaluate(v); len(shortfalls) != 0 || len(wrongRules) != 1 || !strings.Contains(wrongRules[0], "cold was kept") {
		t.Errorf("%v %v", shortfalls, wrongRules)
	}
}

// An error in a file is one line with file, line and key.
func TestBadFiles(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"cores = 4", "cors = 4", "x.toml:9: fleet.cors: no such key"},
		{"cores = 4", "cores = 0", "x.toml:9: fleet.cores: must be 1 to 1024"},
		{"cores = 4", "cores = \"4\"", "x.toml:9: fleet.cores: "},
		{`length = "4s"`, `length = "4"`, "x.toml:3: length: "},
		{`length = "4s"`, `length = "-4s"`, "x.toml:3: length: must be above 0"},
		{"count = 2", "count = -2", "x.toml:8: fleet.count: must be 0 to 1000"},
		{"count = 3", "count = 0", "x.toml:11: group[1].count: must be 1 to 1000"},
		{`kind = "big"`, `kind = "origin"`, "x.toml:12: group[1].kind: "},
		{`effect = "keyed"`, `effect = "maybe"`, "x.toml:20: class[2].effect: \"maybe\" is not one of safe, keyed, unsafe"},
		{`window = "2s"`, "", "x.toml:18: class[2].window: a keyed class needs"},
		{`name = "put"`, `name = "read"`, "x.toml:19: class[2].name: \"read\" is used twice"},
		{`deadline = "1s"`, `deadline = "1ms"`, "x.toml:17: class[1].deadline: must not be below the aim"},
		{"share = 1", "share = 0", "x.toml:28: tenant[1].share: must be above 0"},
		{`kind = "crash"`, `kind = "flood"`, "x.toml:31: fault[1].kind: unknown kind \"flood\""},
		{`servers = ["c5"]`, `servers = ["c1", "c77"]`, "x.toml:34: fault[1].servers: unknown server \"c77\" (number 2)"},
		{`at = "50%"`, `at = "150%"`, "x.toml:32: fault.at: "},
		{`at = "50%"`, `at = "9s"`, "x.toml:32: fault[1].at: 9s is after the end"},
		{"service_min = 0.9", "service = 0.9", "x.toml:37: expect.service: must end in _min or _max"},
		{"service_min = 0.9", "service_min = \"high\"", "x.toml:37: expect.service_min: must be a number"},
		{`broken = ["cold"]`, `broken = ["hot"]`, "x.toml:39: expect.broken: \"hot\" is not a rule"},
		{"rate = 50", "rate = 50\n[clients]\nrate = 0", "x.toml:8: clients.rate: must be above 0"},
		{"rate = 50", "rate = 50\n[nodes]\ncount = 2\nlisten = [\"127.0.0.1:1\"]", "x.toml:9: nodes.listen: must have an address for each node"},
		{"rate = 50", "rate = 50\n[planners]\ncount = 1\ntalk = \"loud\"", "x.toml:9: planners.talk: \"loud\" is neither changes nor whole"},
		{"rate = 50", "rate = 50\n[planners]\ncount = 1\ntalk = \"whole\"", "x.toml:9: planners.talk: only lapislab model supports it"},
		{"[expect]", "[expect", "x.toml:3"},
	} {
		if !strings.Contains(smallExperiment, c.from) {
			t.Fatalf("%q is not in the file", c.from)
		}
		_, err := read(t, strings.Replace(smallExperiment, c.from, c.to, 1), Options{})
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.to, err, c.want)
		}
	}
	if _, err := Read("no/such.toml", Options{}); err == nil || err.Error() != "no/such.toml: no such file or directory" {
		t.Errorf("%v", err)
	}
}
