package soak

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lapisshelf/lab/experiment"
	labjudge "lapisshelf/lab/judge"
	"lapisshelf/lab/seen"
	"lapisshelf/lab/stage"
)

var usualOptions = Options{Length: 20 * time.Second, Processes: 10, Rate: 300, SystemFaults: true}

// Every seed draws a valid experiment, the same each time. Over many seeds, all kinds of faults are drawn, and any two kinds that can
// overlap do.
func TestDraw(t *testing.T) {
	var c Coverage
	calls := 0
	const seeds = 3000
	for seed := range uint64(seeds) {
		p := Draw(seed, usualOptions)
		if again := Draw(seed, usualOptions); again.Text() != p.Text() {
			t.Fatalf("seed %d draws different plans", seed)
		}
		if p.SystemFaults != "" {
			calls++
			if SystemFaultsOf(p.Text()) != p.SystemFaults {
				t.Fatalf("seed %d: the file has the system faults %q, want %q", seed, SystemFaultsOf(p.Text()), p.SystemFaults)
			}
		}
		c.Add(p, usualOptions.Length)
		if seed%20 > 0 {
			continue
		}
		path := filepath.Join(t.TempDir(), "soak.toml")
		if err := os.WriteFile(path, []byte(p.Text()), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := experiment.Read(path, experiment.Options{}); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, p.Text())
		}
	}
	if missing := c.Missing(append(FaultKinds(), SystemFaultsKind)); len(missing) > 1 || len(missing) == 1 && missing[0] != (Pair{SystemFaultsKind, SystemFaultsKind}) {
		t.Errorf("pairs that never overlap: %v", missing)
	}
	if calls < seeds/2 || calls == seeds {
		t.Errorf("system faults in %d of %d plans", calls, seeds)
	}
	var b bytes.Buffer
	if err := c.CSV(&b); err != nil || strings.Count(b.String(), "\n") != len(c.Pairs)+1 {
		t.Errorf("%v: %d lines of %d pairs", err, strings.Count(b.String(), "\n"), len(c.Pairs))
	}
}

// Each check that the soak adds to the rules reports a run that fails it.
func TestFindFailures(t *testing.T) {
	log := filepath.Join(t.TempDir(), "node.log")
	if err := os.WriteFile(log, []byte("x event=start\nx event=violation rule=send why=answered\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(r *stage.Result){
		"":                           func(*stage.Result) {},
		"node_crashes: 1":            func(r *stage.Result) { r.Verdict.Figures["node_crashes"] = 1 },
		"said_overdue: 2":            func(r *stage.Result) { r.Verdict.Figures["said_overdue"] = 2 },
		"said_violations: 1":         func(r *stage.Result) { r.Verdict.Figures["said_violations"] = 1 },
		"rule=send why=answered":     func(r *stage.Result) { r.Record.NodeProcesses[0].LogFile = log },
		"ready within 10s: 0 of 1":   func(r *stage.Result) { r.Record.NodeProcesses[0].ReadyAt = 12 * time.Second },
		"after all faults: 0.50":     func(r *stage.Result) { r.Verdict.Seconds[19].Service = 0 },
		"one_answer lost at 3s: why": func(r *stage.Result) { r.Verdict.Violations = append(r.Verdict.Violations, breach()) },
	} {
		r := &stage.Result{Verdict: &labjudge.Verdict{Figures: map[string]float64{}}, Record: &seen.Record{NodeProcesses: []*seen.NodeProcess{{ReadyAt: time.Second}}}}
		for i := range 20 {
			r.Verdict.Seconds = append(r.Verdict.Seconds, labjudge.Second{At: i, Arrivals: 100, Service: 0.99})
		}
		r.Verdict.Seconds[18].Service, r.Verdict.Seconds[17].Service = 1, 0.5
		r.Verdict.Seconds[19].Service = 1
		change(r)
		got := findFailures(r, 20*time.Second)
		if want == "" && len(got) > 0 || want != "" && (len(got) != 1 || !strings.Contains(got[0], want)) {
			t.Errorf("%q: %q", want, got)
		}
	}
}

func breach() labjudge.Violation {
	return labjudge.Violation{Rule: labjudge.OneAnswer, Kind: labjudge.Lost, At: 3 * time.Second, Reason: "why"}
}
