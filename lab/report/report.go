// Package report writes the results of runs and comparisons as text, as JSON with a stable schema, as plots and as HTML.
package report

import (
	"encoding/json"
	"fmt"
	"html"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"lapisshelf/lab/experiment"
	"lapisshelf/lab/judge"
	"lapisshelf/lab/stage"
)

// Schema identifies the JSON schema, which docs/lab.md describes. It changes when a field changes its meaning or is removed.
const Schema = "lapislab/1"

// Run is the report of a run.
type Run struct {
	Schema          string                   `json:"schema"`
	Name            string                   `json:"experiment"`
	File            string                   `json:"file"`
	About           string                   `json:"about"`
	Seed            uint64                   `json:"seed"`
	Seconds         float64                  `json:"length_s"`
	Command         string                   `json:"command"`
	VirtualTime     bool                     `json:"virtual_time"`
	Verdict         string                   `json:"verdict"`      // one of the verdicts below
	Shortfalls      []string                 `json:"misses"`       // violated rules and unmet expectations, one line each
	ViolationCounts map[string]int           `json:"rules_broken"` // by rule
	Violations      []judge.Violation        `json:"breaches"`
	Figures         map[string]float64       `json:"figures"`
	Classes         map[string]judge.Service `json:"classes"`
	Tenants         map[string]judge.Service `json:"tenants"`
	BySecond        []judge.Second           `json:"by_second"`
	Events          []Event                  `json:"events"`
	Lab             stage.LabDelays          `json:"lab"`
	Nodes           []NodeProcess            `json:"nodes"`
}

// Event is something that happened to the deployment.
type Event struct {
	At   float64 `json:"at_s"`
	Text string  `json:"text"`
}

// NodeProcess is one process of a node. Times are in seconds from the start of the run.
type NodeProcess struct {
	Node        int     `json:"node"` // from 1
	Generation  int     `json:"life"` // 0 is the node's first process
	StartedAt   float64 `json:"start_s"`
	ReadyAt     float64 `json:"ready_s"`
	EndedAt     float64 `json:"end_s"`
	ExitStatus  string  `json:"status"`
	Killed      bool    `json:"killed_by_plan"`
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"descriptors"`
	CPU         float64 `json:"cpu_s"`
	Log         string  `json:"log"`
}

// Verdicts.
const (
	Holds       = "holds"       // all rules and expectations hold
	FallsShort  = "falls_short" // a rule was violated or an expectation is unmet
	Void        = "void"        // the lab itself was too slow for the run to count
	Interrupted = "cut"         // the run was stopped early
)

// New returns the report of a run.
func New(x *experiment.Experiment, command string, r *stage.Result) *Run {
	misses, violatedRules := x.Evaluate(r.Verdict)
	out := &Run{Schema: Schema, Name: x.Name, File: x.Path, About: x.Description, Seed: x.Seed, Seconds: x.Length.D().Seconds(),
		Command: command, Verdict: Holds, Shortfalls: []string{}, ViolationCounts: r.Verdict.ViolationCounts, Violations: r.Verdict.Violations, Figures: r.Verdict.Figures,
		Classes: r.Verdict.Classes, Tenants: r.Verdict.Tenants, BySecond: r.Verdict.Seconds, Lab: r.Lab}
	if out.Violations == nil {
		out.Violations = []judge.Violation{}
	}
	for _, b := range violatedRules {
		out.Shortfalls = append(out.Shortfalls, "rule "+b)
	}
	for _, m := range misses {
		out.Shortfalls = append(out.Shortfalls, m.String())
	}
	switch {
	case r.Interrupted:
		out.Verdict = Interrupted
	case r.Lab.VoidReason != "":
		out.Verdict = Void
	case len(out.Shortfalls) > 0:
		out.Verdict = FallsShort
	}
	for _, m := range r.Record.Events {
		out.Events = append(out.Events, Event{seconds(m.At), m.Text})
	}
	for _, l := range r.Record.NodeProcesses {
		out.Nodes = append(out.Nodes, NodeProcess{l.Node + 1, l.Generation, seconds(l.StartedAt), seconds(l.ReadyAt), seconds(l.EndedAt), l.ExitStatus, l.Killed,
			math.Round(float64(l.PeakMemory)/(1<<20)*10) / 10, l.PeakDescriptors, l.CPU.Seconds(), filepath.Base(l.LogFile)})
	}
	return out
}

func seconds(d time.Duration) float64 { return math.Round(d.Seconds()*1000) / 1000 }

// JSON writes the report as JSON with the stable schema.
func (r *Run) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}

// maxDetailedViolations limits how many violations of one kind the text lists.
const maxDetailedViolations = 3

// Text writes the report for people.
func (r *Run) Text(w io.Writer) {
	f := r.Figures
	environment := "bench on loopback"
	if r.VirtualTime {
		environment = "simulated servers"
	}
	fmt.Fprintf(w, "%s: %s  (seed %d, %g s, %s)\n", r.Name, r.Verdict, r.Seed, r.Seconds, environment)
	for _, m := range r.Shortfalls {
		fmt.Fprintln(w, "  "+m)
	}
	if r.Lab.VoidReason != "" {
		fmt.Fprintln(w, "  void: "+r.Lab.VoidReason)
	}
	var rules []string
	for _, name := range judge.RuleNames {
		state := "kept"
		if n := r.ViolationCounts[name]; n > 0 {
			state = fmt.Sprintf("VIOLATED %d times", n)
		}
		rules = append(rules, name+" "+state)
	}
	fmt.Fprintln(w, "rules    "+strings.Join(rules, ", "))
	fmt.Fprintf(w, "service  %.4f  worst 10 s %.4f  worst class %.4f  worst tenant %.4f\n", f["service"], f["worst_10s"], f["worst_class"], f["worst_tenant"])
	for _, name := range sortedKeys(r.Classes) {
		fmt.Fprintf(w, "  %-14s %s\n", name, r.Classes[name].Summary())
	}
	for _, name := range sortedKeys(r.Tenants) {
		fmt.Fprintf(w, "  %-14s %s\n", name, r.Tenants[name].Summary())
	}
	fmt.Fprintf(w, "load     %.0f requests, %.3f attempts each, %.3f of them at the origin; refused %.4f, failed %.4f, late %.4f\n",
		f["asked"], f["attempts_per_request"], f["origin_per_request"], f["refused_share"], f["failed_share"], f["late_share"])
	if r.VirtualTime {
		r.writeViolations(w)
		return
	}
	fmt.Fprintf(w, "nodes    add %.3f ms at the median, %.3f at p99, %.3f at p99.9; max %.1f MB, max %.0f descriptors; %.1f ms of CPU per 1,000 requests\n",
		f["added_p50_ms"], f["added_p99_ms"], f["added_p999_ms"], f["node_memory_mb"], f["node_descriptors"], f["node_cpu_ms_per_1000"])
	fmt.Fprintf(w, "lab      sent %.2f ms late at the median, %.2f at p99, max %.1f; stand-ins %.2f ms late on average, max %.1f; stalled for max %.1f ms\n",
		r.Lab.SendP50, r.Lab.SendP99, r.Lab.SendMax, r.Lab.StandInMean, r.Lab.StandInMax, r.Lab.StallMax)
	r.writeViolations(w)
}

// writeViolations writes the violations with their timelines.
func (r *Run) writeViolations(w io.Writer) {
	listed := map[string]int{}
	for _, b := range r.Violations {
		if listed[b.Kind]++; listed[b.Kind] > maxDetailedViolations {
			continue
		}
		fmt.Fprintln(w, "\nviolation: "+b.Summary())
		for _, l := range b.Timeline {
			fmt.Fprintln(w, "  "+l)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// HTML writes a page with the report and its plots into a directory, which it creates.
func (r *Run) HTML(dir string) error {
	if err := r.PNG(dir); err != nil {
		return err
	}
	var text strings.Builder
	r.Text(&text)
	var b strings.Builder
	fmt.Fprintf(&b, "<!doctype html><meta charset=utf-8><title>%s</title>\n<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}pre{background:#f4f4f4;padding:1em;overflow:auto}img{max-width:100%%}td,th{padding:.1em .8em;text-align:left}</style>\n", html.EscapeString(r.Name))
	fmt.Fprintf(&b, "<h1>%s: %s</h1>\n<p>%s</p>\n", html.EscapeString(r.Name), html.EscapeString(r.Verdict), html.EscapeString(r.About))
	for _, p := range plots {
		fmt.Fprintf(&b, "<h2>%s</h2><img src=%q alt=%q>\n", html.EscapeString(p.title), p.file, html.EscapeString(p.title))
	}
	fmt.Fprintf(&b, "<h2>Report</h2><pre>%s</pre>\n<h2>Events</h2><table>", html.EscapeString(text.String()))
	for _, e := range r.Events {
		fmt.Fprintf(&b, "<tr><td>%.3f s<td>%s\n", e.At, html.EscapeString(e.Text))
	}
	b.WriteString("</table>\n<h2>All figures</h2><table>")
	for _, k := range sortedKeys(r.Figures) {
		fmt.Fprintf(&b, "<tr><td>%s<td>%.6g\n", html.EscapeString(k), r.Figures[k])
	}
	b.WriteString("</table>\n")
	return os.WriteFile(filepath.Join(dir, "index.html"), []byte(b.String()), 0o644)
}

// Difference compares one figure of two builds or settings over paired runs. The two runs of a pair have the same load plan.
type Difference struct {
	Figure         string    `json:"figure"`
	A              []float64 `json:"a"`
	B              []float64 `json:"b"`
	MeanA          float64   `json:"mean_a"`
	MeanB          float64   `json:"mean_b"`
	MeanDifference float64   `json:"difference"` // mean of b - a over the pairs
	HalfWidth      float64   `json:"half_width"` // half the width of the confidence interval of MeanDifference
	Significant    bool      `json:"clear"`      // the interval does not contain 0
}

// ConfidenceLevel is the level of the confidence intervals.
const ConfidenceLevel = 0.95

// Compare compares a figure of two series of paired runs. The interval is Student's t interval of the differences per pair.
func Compare(a, b []*Run, figure string) Difference {
	d := Difference{Figure: figure}
	var diffs []float64
	for i := range a {
		x, y := a[i].Figures[figure], b[i].Figures[figure]
		d.A, d.B = append(d.A, x), append(d.B, y)
		diffs = append(diffs, y-x)
	}
	d.MeanA, d.MeanB = stat.Mean(d.A, nil), stat.Mean(d.B, nil)
	d.MeanDifference, d.HalfWidth = ConfidenceInterval(diffs)
	d.Significant = len(diffs) > 1 && math.Abs(d.MeanDifference) > d.HalfWidth
	return d
}

// ConfidenceInterval returns the mean of a sample and half the width of its confidence interval, which is NaN for fewer than
// two values.
func ConfidenceInterval(sample []float64) (mean, half float64) {
	mean = stat.Mean(sample, nil)
	if len(sample) < 2 {
		return mean, math.NaN()
	}
	n := float64(len(sample))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(1 - (1-ConfidenceLevel)/2)
	return mean, t * stat.StdDev(sample, nil) / math.Sqrt(n)
}

// Comparison is the report of a comparison of two builds or settings.
type Comparison struct {
	Schema      string       `json:"schema"`
	Name        string       `json:"experiment"`
	CommandA    string       `json:"command_a"`
	CommandB    string       `json:"command_b"`
	Seeds       []uint64     `json:"seeds"`
	Confidence  float64      `json:"confidence"`
	Differences []Difference `json:"differences"`
	RunsA       []*Run       `json:"runs_a"`
	RunsB       []*Run       `json:"runs_b"`
}

// JSON writes the comparison as JSON with the stable schema. JSON has no NaN, so an interval without a width is written as -1.
func (p *Comparison) JSON(w io.Writer) error {
	c := *p
	c.Differences = slices.Clone(p.Differences)
	for i := range c.Differences {
		if math.IsNaN(c.Differences[i].HalfWidth) {
			c.Differences[i].HalfWidth = -1
		}
	}
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(&c)
}

// Text writes the comparison for people.
func (p *Comparison) Text(w io.Writer) {
	fmt.Fprintf(w, "%s: %d pairs, bench on loopback\na: %s\nb: %s\n", p.Name, len(p.Seeds), p.CommandA, p.CommandB)
	fmt.Fprintf(w, "%-24s %12s %12s %12s %12s\n", "figure", "a", "b", "b - a", "+- at 95%")
	for _, d := range p.Differences {
		mark := ""
		if d.Significant {
			mark = "  *"
		}
		fmt.Fprintf(w, "%-24s %12.4f %12.4f %+12.4f %12.4f%s\n", d.Figure, d.MeanA, d.MeanB, d.MeanDifference, d.HalfWidth, mark)
	}
	for _, runs := range [][]*Run{p.RunsA, p.RunsB} {
		for _, r := range runs {
			for _, b := range r.Violations {
				fmt.Fprintf(w, "violation (%s, seed %d): %s\n", r.Command, r.Seed, b.Summary())
			}
		}
	}
}
