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

// faultsEnv names the plan of failing calls to the nodes, see internal/system.
const faultsEnv = "LAPISSHELF_FAULTS"

// Outcome is what came of one run.
type Outcome struct {
	Plan        *Plan
	Findings    []string // what is wrong
	VoidReason  string   // why the run says nothing; empty: it does
	Requests    int
	Attempts    int
	Processes   int           // that were started
	ProcessTime time.Duration // of all processes together
	WorthShare  float64       // of the worth that was served
	Dir         string        // with logs and the experiment file
}

// Failed reports whether the run found something.
func (o *Outcome) Failed() bool { return o.VoidReason == "" && len(o.Findings) > 0 }

// Runner plays plans.
type Runner struct {
	Command string // that runs a node
	Dir     string // for the files of runs
}

// Run plays a plan once.
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

// RunFile plays an experiment file as a soak; the plan may tell only its seed.
func (r *Runner) RunFile(ctx context.Context, path, dir string, p *Plan) (*Outcome, error) {
	x, err := experiment.Read(path, experiment.Options{})
	if err != nil {
		return nil, err
	}
	if err := os.Setenv(faultsEnv, p.SystemFaults); err != nil {
		return nil, err
	}
	defer os.Unsetenv(faultsEnv)
	s, err := stage.Open(x, stage.Options{Command: r.Command, Dir: dir, KeepState: true})
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", p.Seed, err)
	}
	defer s.Close()
	result := s.Run(ctx)
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
		worthServed += c.Got
	}
	if worth > 0 {
		o.WorthShare = worthServed / worth
	}
	o.Findings = findFailures(result, length)
	return o, nil
}

// SystemFaultsOf reads the plan of failing calls off an experiment file that a soak has kept.
func SystemFaultsOf(text string) string {
	for _, line := range strings.Split(text, "\n") {
		if rest, ok := strings.CutPrefix(line, "# faults: "); ok {
			return rest
		}
	}
	return ""
}

// Shrink drops troubles while the plan still fails, with so many runs at most, and gives the smallest plan that failed.
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
