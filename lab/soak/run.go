package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lapisshelf/lab/experiment"
	"lapisshelf/lab/stage"
)

// faultsEnv is the environment variable with the system faults of a node, see internal/system.
const faultsEnv = "LAPISSHELF_FAULTS"

// Outcome is the outcome of a run.
type Outcome struct {
	Plan        *Plan
	Findings    []string // failures, one a line
	VoidReason  string   // why the run cannot be judged; empty: it can
	Requests    int
	Attempts    int
	Processes   int           // node processes that were started
	ProcessTime time.Duration // total running time of these processes
	WorthShare  float64       // fraction of the worth that was served
	Dir         string        // holds the logs and the experiment file
}

// Failed reports whether the run can be judged and has failures.
func (o *Outcome) Failed() bool { return o.VoidReason == "" && len(o.Findings) > 0 }

// Runner runs plans.
type Runner struct {
	Command string // runs a node
	Dir     string // holds a folder for each run
}

// Run runs a plan once, with its files in the folder name.
func (r *Runner) Run(ctx context.Context, p *Plan, name string) (*Outcome, error) {
	dir := filepath.Join(r.Dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "soak.toml")
	if err := os.WriteFile(path, []byte(p.Text()), 0o644); err != nil {
		return nil, err
	}
	return r.RunFile(ctx, path, dir, p)
}

// RunFile runs an experiment file as a soak. Of the plan, it needs the seed and the system faults.
func (r *Runner) RunFile(ctx context.Context, path, dir string, p *Plan) (*Outcome, error) {
	x, err := experiment.Read(path, experiment.Options{})
	if err != nil {
		return nil, err
	}
	if err := os.Setenv(faultsEnv, p.SystemFaults); err != nil {
		return nil, err
	}
	defer os.Unsetenv(faultsEnv)
	deployment, err := stage.Open(x, stage.Options{Command: r.Command, Dir: dir, KeepState: true})
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", p.Seed, err)
	}
	defer deployment.Close()
	result := deployment.Run(ctx)
	length := x.Length.D()
	o := &Outcome{Plan: p, VoidReason: result.Lab.VoidReason, Requests: len(result.Record.Tries), Attempts: len(result.Record.Attempts), Processes: len(result.Record.NodeProcesses), Dir: dir}
	if result.Interrupted {
		o.VoidReason = "interrupted"
	}
	for _, l := range result.Record.NodeProcesses {
		end := l.EndedAt
		if end == 0 {
			end = length
		}
		o.ProcessTime += end - l.StartedAt
	}
	worth, worthServed := 0.0, 0.0
	for _, c := range result.Verdict.Classes {
		worth += c.Worth
		worthServed += c.Earned
	}
	if worth > 0 {
		o.WorthShare = worthServed / worth
	}
	o.Findings = findFailures(result, length)
	return o, nil
}

// SystemFaultsOf returns the system faults of a plan from its experiment file; it is empty if there are none.
func SystemFaultsOf(text string) string {
	for _, line := range strings.Split(text, "\n") {
		if rest, ok := strings.CutPrefix(line, "# faults: "); ok {
			return rest
		}
	}
	return ""
}

// Shrink removes faults from a failing plan, one by one, as long as it still fails. It takes maxRuns runs at most and returns the
// smallest plan that failed.
func (r *Runner) Shrink(ctx context.Context, p *Plan, maxRuns int) (*Plan, error) {
	smallest := p
	for i := 0; i < len(smallest.Faults) && maxRuns > 0 && ctx.Err() == nil; maxRuns-- {
		candidate := *smallest
		candidate.Faults = append(append([]Fault{}, smallest.Faults[:i]...), smallest.Faults[i+1:]...)
		o, err := r.Run(ctx, &candidate, fmt.Sprintf("shrink-%d-%d", p.Seed, maxRuns))
		if err != nil {
			return smallest, err
		}
		if o.Failed() {
			smallest = &candidate
		} else {
			i++
		}
	}
	return smallest, nil
}
