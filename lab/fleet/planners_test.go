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

const jammed = `length = "20s"
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

func play(t *testing.T, planners int, more string) (*judge.Verdict, []string) {
	t.Helper()
	return playText(t, strings.Replace(jammed, "[fleet]", fmt.Sprintf("[planners]\ncount = %d\n[fleet]", planners), 1)+more)
}

func playText(t *testing.T, text string) (*judge.Verdict, []string) {
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
	for _, b := range r.Verdict.Breaches {
		t.Errorf("%s", b.Summary())
	}
	for _, l := range r.Logs {
		if strings.Contains(l, "overdue") || strings.Contains(l, "refused") {
			t.Error(l)
		}
	}
	return r.Verdict, r.Logs
}

const noise = 0.002 // of the service, by other random choices

// With two jammed caches planners answer more in time than nodes that each think alone; the same seed gives the same run.
func TestPlannersSeeAJam(t *testing.T) {
	alone, _ := play(t, 0, "")
	with, logs := play(t, 4, "")
	if a, w := alone.Figures["late_share"], with.Figures["late_share"]; w > 0.7*a {
		t.Errorf("late: %.4f alone, %.4f with planners", a, w)
	}
	again, logsAgain := play(t, 4, "")
	if diff := cmp.Diff(with.Figures, again.Figures) + cmp.Diff(logs, logsAgain); diff != "" {
		t.Errorf("the same seed gives another run: %s", diff)
	}
}

// A planner killed in the midst, and one restarted: no read misses its aim for it, and all nodes follow another.
func TestAPlannerKilledCostsNoRead(t *testing.T) {
	whole, _ := play(t, 4, "")
	killed, logs := play(t, 4, "[[fault]]\nkind = \"planner_kill\"\nat = \"40%\"\nfor = \"30%\"\nplanners = [1]\n")
	if a, b := whole.Figures["service"], killed.Figures["service"]; b < a-noise {
		t.Errorf("service %.4f, %.4f with a planner killed", a, b)
	}
	moved := 0
	for _, l := range logs {
		if strings.Contains(l, "follows p") && !strings.HasPrefix(l, "0s") {
			moved++
		}
	}
	if moved < 60 {
		t.Errorf("followed anew %d times by 60 nodes", moved)
	}
}

// With all planners silent from some moment on, frozen or dead, service is not under that of nodes without planners.
func TestAllPlannersSilent(t *testing.T) {
	alone, _ := play(t, 0, "")
	for _, kind := range []string{"planner_kill", "planner_freeze"} {
		for _, at := range []string{"10%", "30%", "50%"} {
			v, _ := play(t, 2, fmt.Sprintf("[[fault]]\nkind = %q\nat = %q\n", kind, at))
			if a, b := alone.Figures["service"], v.Figures["service"]; b < a-noise {
				t.Errorf("%s at %s: service %.4f, %.4f alone", kind, at, b, a)
			}
		}
	}
}

// Few nodes with much traffic each, whose brief digests name a part of the servers: a jam costs no more than by whole digests
// and views, also with a planner killed in it and a cache that comes back cold.
func TestChangesServeAsWholeViews(t *testing.T) {
	service := map[string]float64{}
	for _, talk := range []string{"whole", "changes"} {
		text := strings.Replace(jammed, "count = 60", "count = 4", 1)
		text = strings.Replace(text, "rate = 500", "rate = 1500", 1)
		text = strings.Replace(text, "[fleet]", fmt.Sprintf("[planners]\ncount = 2\ntalk = %q\n[fleet]", talk), 1)
		v, _ := playText(t, text+"[[fault]]\nkind = \"planner_kill\"\nat = \"40%\"\nfor = \"30%\"\nplanners = [1]\n[[fault]]\nkind = \"crash\"\nat = \"50%\"\nfor = \"1s\"\nservers = [\"c5\"]\n")
		service[talk] = v.Figures["service"]
		t.Logf("%s: service %.4f, late %.4f", talk, v.Figures["service"], v.Figures["late_share"])
	}
	if service["changes"] < service["whole"]-noise {
		t.Errorf("service %v", service)
	}
}

// Two planners cut off from each other's forwarders disagree: no node goes to and fro between them, and service holds.
func TestPlannersThatDisagree(t *testing.T) {
	alone, _ := play(t, 0, "")
	half := func(from int) string {
		var list []string
		for i := range 30 {
			list = append(list, fmt.Sprint(from+i))
		}
		return strings.Join(list, ", ")
	}
	v, logs := play(t, 2, fmt.Sprintf("[[fault]]\nkind = \"planner_cut\"\nat = \"30%%\"\nplanners = [1]\nnodes = [%s]\n[[fault]]\nkind = \"planner_cut\"\nat = \"30%%\"\nplanners = [2]\nnodes = [%s]\n",
		half(1), half(31)))
	if a, b := alone.Figures["service"], v.Figures["service"]; b < a-noise {
		t.Errorf("service %.4f, %.4f alone", b, a)
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
			t.Errorf("%s went to and fro: %d times", node, n)
		}
	}
}
