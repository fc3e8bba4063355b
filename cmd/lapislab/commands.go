package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lapisshelf/lab/experiment"
	"lapisshelf/lab/fleet"
	"lapisshelf/lab/report"
	"lapisshelf/lab/stage"
)

// runFlags holds the flags of the commands that read an experiment.
type runFlags struct {
	experiment.Options
	nodeCommand string
	filesDir    string // where the files of runs are kept; empty: they are deleted
	quiet       bool
}

func (s *runFlags) flags(c *cobra.Command) {
	f := c.Flags()
	f.Uint64Var(&s.Seed, "seed", 0, "draw arrivals, keys and faults from this seed (default: the file's)")
	f.BoolVar(&s.Short, "short", false, "use the length and rate of the file's [short] table")
	f.DurationVar(&s.Length, "length", 0, "another length; times that are given as parts of it follow")
	f.Float64Var(&s.Rate, "rate", 0, "another rate, in requests per second")
}

func (s *runFlags) nodeFlags(c *cobra.Command) {
	c.Flags().StringVar(&s.nodeCommand, "node", "", "command that runs a node (default: the file's, else lapisshelf in the folder of lapislab, else one built from this module)")
	c.Flags().StringVar(&s.filesDir, "files", "", "folder that keeps the nodes' configurations and logs")
	c.Flags().BoolVar(&s.quiet, "quiet", false, "no progress on the terminal")
}

func (s *runFlags) read(path string) (*experiment.Experiment, error) {
	if s.Rate < 0 || s.Length < 0 {
		return nil, errors.New("--rate and --length must not be negative")
	}
	x, err := experiment.Read(path, s.Options)
	if err == nil && x.Name == "" {
		x.Name = strings.TrimSuffix(filepath.Base(path), ".toml")
	}
	return x, err
}

// runDir creates the folder for the files of a run. cleanup removes it unless --files is set.
func (s *runFlags) runDir() (dir string, cleanup func(), err error) {
	if s.filesDir != "" {
		return s.filesDir, func() {}, os.MkdirAll(s.filesDir, 0o755)
	}
	dir, err = os.MkdirTemp("", "lapislab")
	return dir, func() { os.RemoveAll(dir) }, err
}

// progressPrinter returns a function that prints the progress of a run. It is nil with --quiet, or if standard error is no terminal.
func (s *runFlags) progressPrinter(prefix string) func(stage.Progress) {
	info, err := os.Stderr.Stat()
	if s.quiet || err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(m stage.Progress) {
		fmt.Fprintf(os.Stderr, "\r\x1b[K%s%.0f of %.0f s  %d tries  %d attempts  %s", prefix, m.Elapsed.Seconds(), m.Length.Seconds(),
			m.TriesSent, m.Attempts, m.LastEvent)
	}
}

// runExperiment starts a deployment, runs the experiment and stops it.
func runExperiment(ctx context.Context, x *experiment.Experiment, opt stage.Options) (*report.Run, error) {
	deployment, err := stage.Open(x, opt)
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	if opt.Progress != nil {
		defer fmt.Fprint(os.Stderr, "\r\x1b[K")
	}
	return report.New(x, opt.Command, deployment.Run(ctx)), nil
}

func runCommand() *cobra.Command {
	var s runFlags
	var jsonPath, htmlDir, pngDir string
	c := &cobra.Command{Use: "run FILE", Short: "Run an experiment and judge it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			x, err := s.read(args[0])
			if err != nil {
				return err
			}
			dir, cleanup, err := s.runDir()
			if err != nil {
				return err
			}
			defer cleanup()
			command, err := nodeCommand(c.Context(), s.nodeCommand, x, dir)
			if err != nil {
				return err
			}
			r, err := runExperiment(c.Context(), x, stage.Options{Command: command, Dir: dir, Progress: s.progressPrinter("")})
			if err != nil {
				return err
			}
			r.Text(c.OutOrStdout())
			if err := writeReport(r, jsonPath, htmlDir, pngDir); err != nil {
				return err
			}
			return exitStatus(r)
		}}
	s.flags(c)
	s.nodeFlags(c)
	c.Flags().StringVar(&jsonPath, "json", "", "write the report as JSON to this file; - is standard output")
	c.Flags().StringVar(&htmlDir, "html", "", "write a page with plots into this folder")
	c.Flags().StringVar(&pngDir, "png", "", "write the plots into this folder")
	return c
}

// exitStatus returns the exit status for the verdict of a run.
func exitStatus(r *report.Run) error {
	switch r.Verdict {
	case report.Holds:
		return nil
	case report.Void:
		return exitError(statusVoid)
	case report.Interrupted:
		return exitError(statusInterrupted)
	}
	return exitError(statusFallsShort)
}

// jsonWriter is a report with a stable JSON form.
type jsonWriter interface{ JSON(io.Writer) error }

func writeJSON(r jsonWriter, path string) error {
	if path == "-" {
		return r.JSON(os.Stdout)
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := r.JSON(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func writeReport(r *report.Run, jsonPath, htmlDir, pngDir string) error {
	if jsonPath != "" {
		if err := writeJSON(r, jsonPath); err != nil {
			return err
		}
	}
	if htmlDir != "" {
		if err := r.HTML(htmlDir); err != nil {
			return err
		}
	}
	if pngDir != "" {
		return r.PNG(pngDir)
	}
	return nil
}

func compareCommand() *cobra.Command {
	var s runFlags
	var a, b, jsonPath string
	var pairs int
	var figures []string
	c := &cobra.Command{Use: "compare FILE --a CMD --b CMD", Args: cobra.ExactArgs(1),
		Short: "Run an experiment with two builds or settings, in pairs of the same seed, and report the differences",
		RunE: func(c *cobra.Command, args []string) error {
			if a == "" || b == "" {
				return errors.New("compare needs --a and --b: the commands that run a node")
			}
			if pairs < 1 || pairs > 1000 {
				return fmt.Errorf("--pairs %d: must be 1 to 1000", pairs)
			}
			p := &report.Comparison{Schema: report.Schema, CommandA: a, CommandB: b, Confidence: report.ConfidenceLevel}
			dir, cleanup, err := s.runDir()
			if err != nil {
				return err
			}
			defer cleanup()
			interrupted := false
			for i := range pairs {
				first, err := s.read(args[0])
				if err != nil {
					return err
				}
				seed := first.Seed + uint64(i)
				p.Name = first.Name
				var runs [2]*report.Run
				// The order alternates between pairs, so that drift of the machine favours neither side.
				for k := range 2 {
					side := (i + k) % 2
					pairFlags := s
					pairFlags.Seed = seed
					x, err := pairFlags.read(args[0])
					if err != nil {
						return err
					}
					command := []string{a, b}[side]
					if err := checkCommand(command); err != nil {
						return err
					}
					sideDir := filepath.Join(dir, fmt.Sprintf("%d%c", i+1, 'a'+side))
					if err := os.MkdirAll(sideDir, 0o755); err != nil {
						return err
					}
					prefix := fmt.Sprintf("pair %d of %d, %c: ", i+1, pairs, 'a'+side)
					if runs[side], err = runUntilValid(c.Context(), x, stage.Options{Command: command, Dir: sideDir, Progress: s.progressPrinter(prefix)}); err != nil {
						return err
					}
					interrupted = interrupted || runs[side].Verdict == report.Interrupted
				}
				if interrupted {
					break
				}
				p.Seeds = append(p.Seeds, seed)
				p.RunsA, p.RunsB = append(p.RunsA, runs[0]), append(p.RunsB, runs[1])
			}
			if len(p.Seeds) == 0 {
				return exitError(statusInterrupted)
			}
			for _, f := range figures {
				if _, ok := p.RunsA[0].Figures[f]; !ok {
					return fmt.Errorf("--figures: no figure %q", f)
				}
				p.Differences = append(p.Differences, report.Compare(p.RunsA, p.RunsB, f))
			}
			p.Text(c.OutOrStdout())
			if jsonPath != "" {
				if err := writeJSON(p, jsonPath); err != nil {
					return err
				}
			}
			switch {
			case interrupted:
				return exitError(statusInterrupted)
			case slices.ContainsFunc(append(p.RunsA, p.RunsB...), func(r *report.Run) bool { return r.Verdict == report.Void }):
				return exitError(statusVoid)
			case slices.ContainsFunc(append(p.RunsA, p.RunsB...), func(r *report.Run) bool { return r.Verdict == report.FallsShort }):
				return exitError(statusFallsShort)
			}
			return nil
		}}
	s.flags(c)
	s.nodeFlags(c)
	c.Flags().Lookup("node").Hidden = true
	c.Flags().StringVar(&a, "a", "", "command that runs a node")
	c.Flags().StringVar(&b, "b", "", "command that runs the other node")
	c.Flags().IntVar(&pairs, "pairs", 5, "number of pairs")
	c.Flags().StringSliceVar(&figures, "figures", []string{"service", "worst_10s", "p50_ms", "p99_ms", "p999_ms", "refused_share",
		"attempts_per_request", "origin_per_request", "added_p50_ms", "added_p99_ms", "node_memory_mb", "node_cpu_ms_per_1000", "broken"},
		"figures to report")
	c.Flags().StringVar(&jsonPath, "json", "", "write the comparison as JSON to this file; - is standard output")
	return c
}

// maxVoidRuns is how often a run is attempted as long as it is void.
const maxVoidRuns = 3

// runUntilValid runs an experiment, again if the lab was late and the run is void.
func runUntilValid(ctx context.Context, x *experiment.Experiment, opt stage.Options) (r *report.Run, err error) {
	for range maxVoidRuns {
		if r, err = runExperiment(ctx, x, opt); err != nil || r.Verdict != report.Void {
			break
		}
	}
	return r, err
}

func upCommand() *cobra.Command {
	var s runFlags
	c := &cobra.Command{Use: "up FILE", Short: "Run a deployment without load, for manual use, until interrupted", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			x, err := s.read(args[0])
			if err != nil {
				return err
			}
			dir, cleanup, err := s.runDir()
			if err != nil {
				return err
			}
			defer cleanup()
			command, err := nodeCommand(c.Context(), s.nodeCommand, x, dir)
			if err != nil {
				return err
			}
			deployment, err := stage.Open(x, stage.Options{Command: command, Dir: dir})
			if err != nil {
				return err
			}
			defer deployment.Close()
			out := c.OutOrStdout()
			for _, line := range deployment.Addresses() {
				fmt.Fprintln(out, line)
			}
			fmt.Fprintf(out, "files       %s\n", dir)
			class := x.Classes[0]
			if len(deployment.Nodes) > 0 {
				fmt.Fprintf(out, "try         printf 'mg some-key v O%x Pc=%s,d=%d\\r\\n' | nc -q1 %s\n", time.Now().UnixNano(), class.Name,
					class.Deadline.Milliseconds(), strings.Replace(deployment.Nodes[0].Addr(), ":", " ", 1))
			}
			<-c.Context().Done()
			for _, n := range deployment.Nodes {
				n.End()
			}
			return nil
		}}
	s.flags(c)
	s.nodeFlags(c)
	return c
}

func listCommand() *cobra.Command {
	return &cobra.Command{Use: "list [FOLDER]", Short: "List the experiments of a folder with their descriptions", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			dir := filepath.Join("lab", "experiments")
			if len(args) > 0 {
				dir = args[0]
			}
			files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
			if err != nil {
				return err
			}
			if len(files) == 0 {
				return fmt.Errorf("%s has no experiments", dir)
			}
			for _, path := range files {
				x, err := experiment.Read(path, experiment.Options{})
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%-34s %4.0f s  %s\n", path, x.Length.D().Seconds(), x.Description)
			}
			return nil
		}}
}

func planCommand() *cobra.Command {
	var s runFlags
	c := &cobra.Command{Use: "plan FILE", Short: "Print the plan of a run: its faults and arrivals, as the seed draws them", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			x, err := s.read(args[0])
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			for _, v := range x.Servers {
				fmt.Fprintf(out, "server %s id=%s later=%t\n", v.Name, v.ID, v.StartsLater)
			}
			io.WriteString(out, stage.TimelineText(x))
			for _, a := range x.Arrivals() {
				fmt.Fprintf(out, "%s %s\n", a.ID(x.Seed, 0), a.String())
			}
			return nil
		}}
	s.flags(c)
	return c
}

func modelCommand() *cobra.Command {
	var s runFlags
	var jsonPath, htmlDir, pngDir string
	c := &cobra.Command{Use: "model FILE", Short: "Run an experiment in virtual time: the decisions with models around them, hundreds of nodes in seconds", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s.VirtualTime = true
			x, err := s.read(args[0])
			if err != nil {
				return err
			}
			r, err := fleet.Run(x, fleet.Options{})
			if err != nil {
				return err
			}
			out := report.New(x, "model", &stage.Result{Verdict: r.Verdict, Record: r.Record})
			out.VirtualTime = true
			out.Text(c.OutOrStdout())
			if err := writeReport(out, jsonPath, htmlDir, pngDir); err != nil {
				return err
			}
			return exitStatus(out)
		}}
	s.flags(c)
	c.Flags().StringVar(&jsonPath, "json", "", "write the report as JSON to this file; - is standard output")
	c.Flags().StringVar(&htmlDir, "html", "", "write a page with plots into this folder")
	c.Flags().StringVar(&pngDir, "png", "", "write the plots into this folder")
	return c
}
