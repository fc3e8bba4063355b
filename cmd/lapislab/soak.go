package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"lapisshelf/lab/experiment"
	"lapisshelf/lab/soak"
)

// soakFlags holds the flags of the command soak.
type soakFlags struct {
	seed          uint64
	seeds         int
	length        time.Duration
	processes     int
	rate          float64
	nodeCommand   string
	faults        bool
	replay        string
	filesDir      string
	csvPath       string
	maxShrinkRuns int
}

func soakCommand() *cobra.Command {
	var f soakFlags
	c := &cobra.Command{Use: "soak", Short: "Run randomly drawn deployments with overlapping faults on real processes, and judge them", Args: cobra.NoArgs,
		Long: "Each seed draws a deployment and a schedule in which two or three faults overlap: processes that end, stop, are upgraded or reloaded, a\n" +
			"server list that is down or wrong, servers and clients that misbehave, and, with --faults, system calls, disks and wall clocks that fail\n" +
			"in the nodes. The rules are judged by what clients and servers recorded. The schedule of a seed that fails is shrunk, and its files are\n" +
			"kept. Status 1: a seed failed; 3: no seed could be judged, because the machine was too busy.",
		RunE: func(c *cobra.Command, _ []string) error { return f.runSeeds(c.Context(), c.OutOrStdout()) }}
	l := c.Flags()
	l.Uint64Var(&f.seed, "seed", 1, "the first seed")
	l.IntVar(&f.seeds, "seeds", 1, "number of seeds, run one after the other")
	l.DurationVar(&f.length, "for", 20*time.Second, "duration of the load of a seed")
	l.IntVar(&f.processes, "processes", 10, "number of nodes, 2 to 40")
	l.Float64Var(&f.rate, "rate", 300, "first tries per second")
	l.StringVar(&f.nodeCommand, "node", "", "command that runs a node (default: one built from this module)")
	l.BoolVar(&f.faults, "faults", true, "let system calls, disks and clocks fail: the node is built with the tag faults")
	l.StringVar(&f.replay, "replay", "", "run this file, which a soak has kept, instead of seeds")
	l.StringVar(&f.filesDir, "files", "", "folder that keeps the files of seeds that fail (default: a temporary one, whose name is printed)")
	l.StringVar(&f.csvPath, "csv", "", "write which pairs of faults overlapped to this file")
	l.IntVar(&f.maxShrinkRuns, "shrink", 6, "maximum number of runs to shrink the schedule of a seed that fails")
	return c
}

// buildNode builds a node, with the tag faults if system faults are enabled, and returns its command.
func (f *soakFlags) buildNode(ctx context.Context, dir string) (string, error) {
	if f.nodeCommand != "" {
		return f.nodeCommand, checkCommand(f.nodeCommand)
	}
	out := filepath.Join(dir, "lapisshelf")
	args := []string{"build", "-o", out}
	if f.faults {
		args = append(args, "-tags", "faults")
	}
	if text, err := exec.CommandContext(ctx, "go", append(args, "lapisshelf/cmd/lapisshelf")...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("building a node: %v: %s", err, text)
	}
	return out, nil
}

// totals sums up the outcomes of all seeds.
type totals struct {
	judged, void, failed, requests, attempts, processes int
	processTime                                         time.Duration
	coverage                                            soak.Coverage
}

func (f *soakFlags) runSeeds(ctx context.Context, out io.Writer) error {
	if f.processes < 2 || f.processes > 40 || f.seeds < 1 || f.length < 2*time.Second || f.length > 10*time.Minute || f.rate <= 0 {
		return fmt.Errorf("--processes must be 2 to 40, --seeds at least 1, --for 2s to 10m, and --rate above 0")
	}
	dir := f.filesDir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "lapissoak"); err != nil {
			return err
		}
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	command, err := f.buildNode(ctx, dir)
	if err != nil {
		return err
	}
	r := &soak.Runner{Command: command, Dir: dir}
	if f.replay != "" {
		return f.replayFile(ctx, out, r)
	}
	var sum totals
	for i := range f.seeds {
		if ctx.Err() != nil {
			break
		}
		p := soak.Draw(f.seed+uint64(i), soak.Options{Length: f.length, Processes: f.processes, Rate: f.rate, SystemFaults: f.faults})
		o, err := r.Run(ctx, p, fmt.Sprintf("seed-%d", p.Seed))
		if err != nil {
			return err
		}
		f.printOutcome(out, o)
		sum.add(o, f.length)
		if o.Failed() && f.maxShrinkRuns > 0 {
			smallest, err := r.Shrink(ctx, p, f.maxShrinkRuns)
			if err != nil {
				return err
			}
			path := filepath.Join(o.Dir, "shrunk.toml")
			if err := os.WriteFile(path, []byte(smallest.Text()), 0o644); err != nil {
				return err
			}
			fmt.Fprintf(out, "  %d of %d faults are enough; replay: lapislab soak --replay %s\n", len(smallest.Faults), len(p.Faults), path)
		}
		if !o.Failed() {
			os.RemoveAll(o.Dir)
		}
	}
	return sum.finish(out, f.csvPath)
}

// replayFile runs a file that a soak has kept.
func (f *soakFlags) replayFile(ctx context.Context, out io.Writer, r *soak.Runner) error {
	text, err := os.ReadFile(f.replay)
	if err != nil {
		return err
	}
	x, err := experiment.Read(f.replay, experiment.Options{})
	if err != nil {
		return err
	}
	var sum totals
	o, err := r.RunFile(ctx, f.replay, r.Dir, &soak.Plan{Seed: x.Seed, SystemFaults: soak.SystemFaultsOf(string(text))})
	if err != nil {
		return err
	}
	f.printOutcome(out, o)
	sum.add(o, x.Length.D())
	return sum.finish(out, "")
}

// printOutcome prints the outcome of a seed, with failures and schedule if it failed.
func (f *soakFlags) printOutcome(out io.Writer, o *soak.Outcome) {
	verdict := "held"
	switch {
	case o.VoidReason != "":
		verdict = "void: " + o.VoidReason
	case o.Failed():
		verdict = "FAILED"
	}
	fmt.Fprintf(out, "seed %d: %s; %d requests, %d attempts, %d processes, served %.3f, %d faults\n", o.Plan.Seed, verdict, o.Requests, o.Attempts, o.Processes, o.WorthShare,
		len(o.Plan.Faults))
	if !o.Failed() {
		return
	}
	for _, x := range o.Findings {
		fmt.Fprintf(out, "  %s\n", x)
	}
	for _, t := range o.Plan.Faults {
		fmt.Fprintf(out, "  fault %s at %v for %v\n", t.Kind, t.At, t.For)
	}
	if o.Plan.SystemFaults != "" {
		fmt.Fprintf(out, "  system faults: %s\n", o.Plan.SystemFaults)
	}
	fmt.Fprintf(out, "  files: %s\n", o.Dir)
}

func (s *totals) add(o *soak.Outcome, length time.Duration) {
	if o.VoidReason != "" {
		s.void++
		return
	}
	s.judged++
	if o.Failed() {
		s.failed++
	}
	s.requests += o.Requests
	s.attempts += o.Attempts
	s.processes += o.Processes
	s.processTime += o.ProcessTime
	s.coverage.Add(o.Plan, length)
}

// finish prints the totals, writes the coverage, and returns the exit status.
func (s *totals) finish(out io.Writer, csvPath string) error {
	missing := s.coverage.Missing(append(soak.FaultKinds(), soak.SystemFaultsKind))
	fmt.Fprintf(out, "%d seeds judged, %d failed, %d void; %d requests, %d attempts, %d processes, %.2f process hours; %d pairs of faults overlapped, %d never\n",
		s.judged, s.failed, s.void, s.requests, s.attempts, s.processes, s.processTime.Hours(), len(s.coverage.Pairs), len(missing))
	if csvPath != "" {
		f, err := os.Create(csvPath)
		if err != nil {
			return err
		}
		if err := s.coverage.CSV(f); err != nil {
			f.Close()
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	switch {
	case s.failed > 0:
		return exitError(statusFallsShort)
	case s.judged == 0:
		return exitError(statusVoid)
	}
	return nil
}
