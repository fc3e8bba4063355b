package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lapisshelf/lab/experiment"
	"lapisshelf/lab/judge"
)

const slowCaches = `length = "20s"
[nodes]
count = 60
[fleet]
count = 20
[origin]
cores = 16
slots = 100
room = 100
[[class]]
name = "read"
work = "8ms"
sigma = 0.3
size = 800
aim = "300ms"
deadline = "1200ms"
[clients]
rate = 500
keys = 10000
[[fault]]
kind = "slow"
at = "20%"
for = "60%"
servers = ["c3", "c7"]
factor = 15
`

func runSlowCaches(t *testing.T, planners int, more string) (*judge.Verdict, []string) {
	t.Helper()
	return runText(t, strings.Replace(slowCaches, "[fleet]", fmt.Sprintf("[planners]\ncount = %d\n[fleet]", planners), 1)+more)
}

func runText(t *testing.T, text string) (*judge.Verdict, []string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	x, err := experiment.Read(path, experiment.Options{VirtualTime: true})
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(x, Options{})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Verdict.Violations {
		t.Errorf("%s", b.Summary())
	}
	for _, l := range r.Logs {
		if strings.Contains(l, "overdue") || strings.Contains(l, "refused") {
			t.Error(l)
		}
	}
	return r.Verdict, r.Logs
}

const seedNoise = 0.002 // tolerance of the service figure for different random choices

// With two slow caches, nodes with planners answer more requests in time than nodes without; the same seed reproduces the run.
func TestPlannersSeeAJam(t *testing.T) {
	baseline, _ := runSlowCaches(t, 0, "")
	with, logs := runSlowCaches(t, 4, "")
	if a, w := baseline.Figures["late_share"], with.Figures["late_share"]; w > 0.7*a {
		t.Errorf("late_share: %.4f without planners, %.4f with planners", a, w)
	}
	again, logsAgain := runSlowCaches(t, 4, "")
	if diff := cmp.Diff(with.Figures, again.Figures) + cmp.Diff(logs, logsAgain); diff != "" {
		t.Errorf("the same seed gave a different run: %s", diff)
	}
}

// A planner is killed and later restarted: no read misses its aim because of it, and all nodes switch to another planner.
func TestAPlannerKilledCostsNoRead(t *testing.T) {
	baseline, _ := runSlowCaches(t, 4, "")
	killed, logs := runSlowCaches(t, 4, "[[fault]]\nkind = \"planner_kill\"\nat = \"40%\"\nfor = \"30%\"\nplanners = [1]\n")
	if a, b := baseline.Figures["service"], killed.Figures["service"]; b < a-seedNoise {
		t.Errorf("service %.4f without a fault, %.4f with a planner killed", a, b)
	}
	switches := 0
	for _, l := range logs {
		if strings.Contains(l, "follows p") && !strings.HasPrefix(l, "0s") {
			switches++
		}
	}
	if switches < 60 {
		t.Errorf("60 nodes started to follow a planner %d times after the start, want at least 60", switches)
	}
}

// When all planners are killed or frozen during the run, the service figure is no lower than that of nodes without planners.
func TestAllPlannersSilent(t *testing.T) {
	baseline, _ := runSlowCaches(t, 0, "")
	for _, kind := range []string{"planner_kill", "planner_freeze"} {
		for _, at := range []string{"10%", "30%", "50%"} {
			v, _ := runSlowCaches(t, 2, fmt.Sprintf("[[fault]]\nkind = %q\nat = %q\n", kind, at))
			if a, b := baseline.Figures["service"], v.Figures["service"]; b < a-seedNoise {
				t.Errorf("%s at %s: service %.4f, %.4f without planners", kind, at, b, a)
			}
		}
	}
}

// Four nodes with much traffic each, so that their brief digests name only a part of the servers: with two slow caches, a killed
// planner and a cache that restarts cold, the service figure is no lower than with whole digests and views.
func TestChangesServeAsWholeViews(t *testing.T) {
	service := map[string]float64{}
	for _, talk := range []string{"whole", "changes"} {
		text := strings.Replace(slowCaches, "count = 60", "count = 4", 1)
		text = strings.Replace(text, "rate = 500", "rate = 1500", 1)
		text = strings.Replace(text, "[fleet]", fmt.Sprintf("[planners]\ncount = 2\ntalk = %q\n[fleet]", talk), 1)
		v, _ := runText(t, text+"[[fault]]\nkind = \"planner_kill\"\nat = \"40%\"\nfor = \"30%\"\nplanners = [1]\n[[fault]]\nkind = \"crash\"\nat = \"50%\"\nfor = \"1s\"\nservers = [\"c5\"]\n")
		service[talk] = v.Figures["service"]
		t.Logf("%s: service %.4f, late %.4f", talk, v.Figures["service"], v.Figures["late_share"])
	}
	if service["changes"] < service["whole"]-seedNoise {
		t.Errorf("service by kind of talk: %v", service)
	}
}

// Each of two planners is cut off from one half of the nodes, so that their views disagree: no node alternates between them, and
// the service figure is no lower than that of nodes without planners.
func TestPlannersThatDisagree(t *testing.T) {
	baseline, _ := runSlowCaches(t, 0, "")
	half := func(from int) string {
		var list []string
		for i := range 30 {
			list = append(list, fmt.Sprint(from+i))
		}
		return strings.Join(list, ", ")
	}
	v, logs := runSlowCaches(t, 2, fmt.Sprintf("[[fault]]\nkind = \"planner_cut\"\nat = \"30%%\"\nplanners = [1]\nnodes = [%s]\n[[fault]]\nkind = \"planner_cut\"\nat = \"30%%\"\nplanners = [2]\nnodes = [%s]\n",
		half(1), half(31)))
	if a, b := baseline.Figures["service"], v.Figures["service"]; b < a-seedNoise {
		t.Errorf("service %.4f, %.4f without planners", b, a)
	}
	follows := map[string]int{}
	for _, l := range logs {
		if _, rest, ok := strings.Cut(l, " "); ok && strings.Contains(rest, "follows p") {
			node, _, _ := strings.Cut(rest, ":")
			follows[node]++
		}
	}
	for node, n := range follows {
		if n > 2 {
			t.Errorf("%s switched between planners: it followed one %d times, want at most 2", node, n)
		}
	}
}
