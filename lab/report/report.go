// Package report writes what a run showed: as text, as JSON of a stable form, and as plots.
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

// Schema is the name of the JSON's form; docs/lab.md describes it. It changes when a field changes its meaning or goes.
const Schema = "lapislab/1"

// Run is a run's report.
type Run struct {
	Schema   string                   `json:"schema"`
	Name     string                   `json:"experiment"`
	File     string                   `json:"file"`
	About    string                   `json:"about"`
	Seed     uint64                   `json:"seed"`
	Seconds  float64                  `json:"length_s"`
	Command  string                   `json:"command"`
	Model    bool                     `json:"virtual_time"`
	Verdict  string                   `json:"verdict"` // holds, falls_short, void or cut
	Misses   []string                 `json:"misses"`  // what falls short, one line each
	Rules    map[string]int           `json:"rules_broken"`
	Breaches []judge.Breach           `json:"breaches"`
	Figures  map[string]float64       `json:"figures"`
	Classes  map[string]judge.Service `json:"classes"`
	Tenants  map[string]judge.Service `json:"tenants"`
	Series   []judge.Second           `json:"by_second"`
	Events   []Event                  `json:"events"`
	Lab      stage.LabDelays          `json:"lab"`
	Nodes    []Life                   `json:"nodes"`
}

// Event is something that happened to the deployment.
type Event struct {
	At   float64 `json:"at_s"`
	Text string  `json:"text"`
}

// Life is a node's process.
type Life struct {
	Node     int     `json:"node"`
	Life     int     `json:"life"`
	Start    float64 `json:"start_s"`
	Ready    float64 `json:"ready_s"`
	End      float64 `json:"end_s"`
	Status   string  `json:"status"`
	Killed   bool    `json:"killed_by_plan"`
	MemoryMB float64 `json:"memory_mb"`
	Descs    int     `json:"descriptors"`
	CPU      float64 `json:"cpu_s"`
	Log      string  `json:"log"`
}

// Verdicts.
const (
	Holds      = "holds"
	FallsShort = "falls_short"
	Void       = "void"
	Cut        = "cut"
)

// New makes the report of a run.
func New(x *experiment.Experiment, command string, r *stage.Result) *Run {
	misses, broken := x.Evaluate(r.Verdict)
	out := &Run{Schema: Schema, Name: x.Name, File: x.Path, About: x.Description, Seed: x.Seed, Seconds: x.Length.D().Seconds(),
		Command: command, Verdict: Holds, Misses: []string{}, Rules: r.Verdict.Broken, Breaches: r.Verdict.Breaches, Figures: r.Verdict.Figures,
		Classes: r.Verdict.Classes, Tenants: r.Verdict.Tenants, Series: r.Verdict.Seconds, Lab: r.Lab}
	if out.Breaches == nil {
		out.Breaches = []judge.Breach{}
	}
	for _, b := range broken {
		out.Misses = append(out.Misses, "rule "+b)
	}
	for _, m := range misses {
		out.Misses = append(out.Misses, m.String())
	}
	switch {
	case r.Interrupted:
		out.Verdict = Cut
	case r.Lab.VoidReason != "":
		out.Verdict = Void
	case len(out.Misses) > 0:
		out.Verdict = FallsShort
	}
	for _, m := range r.Record.Events {
		out.Events = append(out.Events, Event{seconds(m.At), m.Text})
	}
	for _, l := range r.Record.NodeProcesses {
		out.Nodes = append(out.Nodes, Life{l.Node + 1, l.Generation, seconds(l.StartedAt), seconds(l.ReadyAt), seconds(l.EndedAt), l.ExitStatus, l.Killed,
			math.Round(float64(l.PeakMemory)/(1<<20)*10) / 10, l.PeakDescriptors, l.CPU.Seconds(), filepath.Base(l.LogFile)})
	}
	return out
}

func seconds(d time.Duration) float64 { return math.Round(d.Seconds()*1000) / 1000 }

// JSON writes the report's stable form.
func (r *Run) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}

// mostStories is how many breaches the text tells in full.
const mostStories = 3

// Text writes the report for a person.
func (r *Run) Text(w io.Writer) {
	f := r.Figures
	where := "bench on loopback"
	if r.Model {
		where = "simulated servers"
	}
	fmt.Fprintf(w, "%s: %s  (seed %d, %g s, %s)\n", r.Name, r.Verdict, r.Seed, r.Seconds, where)
	for _, m := range r.Misses {
		fmt.Fprintln(w, "  "+m)
	}
	if r.Lab.VoidReason != "" {
		fmt.Fprintln(w, "  void: "+r.Lab.VoidReason)
	}
	var rules []string
	for _, name := range judge.RuleNames {
		word := "kept"
		if n := r.Rules[name]; n > 0 {
			word = fmt.Sprintf("BROKEN %d times", n)
		}
		rules = append(rules, name+" "+word)
	}
	fmt.Fprintln(w, "rules    "+strings.Join(rules, ", "))
	fmt.Fprintf(w, "service  %.4f  worst 10 s %.4f  worst class %.4f  worst tenant %.4f\n", f["service"], f["worst_10s"], f["worst_class"], f["worst_tenant"])
	for _, name := range keys(r.Classes) {
		fmt.Fprintf(w, "  %-14s %s\n", name, r.Classes[name].Line())
	}
	for _, name := range keys(r.Tenants) {
		fmt.Fprintf(w, "  %-14s %s\n", name, r.Tenants[name].Line())
	}
	fmt.Fprintf(w, "load     %.0f requests, %.3f attempts each, %.3f at the origin; refused %.4f, failed %.4f, late %.4f\n",
		f["asked"], f["attempts_per_request"], f["origin_per_request"], f["refused_share"], f["failed_share"], f["late_share"])
	if r.Model {
		r.broken(w)
		return
	}
	fmt.Fprintf(w, "nodes    add %.3f ms at the median, %.3f at 99%%, %.3f at 99.9%%; %.1f MB, %.0f descriptors, %.1f ms of CPU for 1,000 requests\n",
		f["added_p50_ms"], f["added_p99_ms"], f["added_p999_ms"], f["node_memory_mb"], f["node_descriptors"], f["node_cpu_ms_per_1000"])
	fmt.Fprintf(w, "the lab  sent %.2f ms behind its plan at the median, %.2f at 99%%, %.1f at most; stand-ins %.2f ms late in the mean, %.1f at most; stood still %.1f ms at most\n",
		r.Lab.SendP50, r.Lab.SendP99, r.Lab.SendMax, r.Lab.StandInMean, r.Lab.StandInMax, r.Lab.StallMax)
	r.broken(w)
}

// broken tells the breaches with their stories.
func (r *Run) broken(w io.Writer) {
	told := map[string]int{}
	for _, b := range r.Breaches {
		if told[b.What]++; told[b.What] > mostStories {
			continue
		}
		fmt.Fprintln(w, "\nbroken: "+b.Summary())
		for _, l := range b.Story {
			fmt.Fprintln(w, "  "+l)
		}
	}
}

func keys[V any](m map[string]V) []string {
	var all []string
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// HTML writes a page with the report and its plots into a folder.
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
	fmt.Fprintf(&b, "<h2>Report</h2><pre>%s</pre>\n<h2>What happened</h2><table>", html.EscapeString(text.String()))
	for _, e := range r.Events {
		fmt.Fprintf(&b, "<tr><td>%.3f s<td>%s\n", e.At, html.EscapeString(e.Text))
	}
	b.WriteString("</table>\n<h2>All figures</h2><table>")
	for _, k := range keys(r.Figures) {
		fmt.Fprintf(&b, "<tr><td>%s<td>%.6g\n", html.EscapeString(k), r.Figures[k])
	}
	b.WriteString("</table>\n")
	return os.WriteFile(filepath.Join(dir, "index.html"), []byte(b.String()), 0o644)
}

// Difference is one figure of two builds or settings, over paired runs: each pair has the same plan.
type Difference struct {
	Figure string    `json:"figure"`
	A      []float64 `json:"a"`
	B      []float64 `json:"b"`
	MeanA  float64   `json:"mean_a"`
	MeanB  float64   `json:"mean_b"`
	Mean   float64   `json:"difference"` // b less a
	Half   float64   `json:"half_width"` // of the confidence interval
	Clear  bool      `json:"clear"`      // the interval does not hold 0
}

// Confidence is the level of the intervals.
const Confidence = 0.95

// Compare sets two series of runs side by side; the interval is Student's, over the differences of the pairs.
func Compare(a, b []*Run, figure string) Difference {
	d := Difference{Figure: figure}
	var diffs []float64
	for i := range a {
		x, y := a[i].Figures[figure], b[i].Figures[figure]
		d.A, d.B = append(d.A, x), append(d.B, y)
		diffs = append(diffs, y-x)
	}
	d.MeanA, d.MeanB = stat.Mean(d.A, nil), stat.Mean(d.B, nil)
	d.Mean, d.Half = Interval(diffs)
	d.Clear = len(diffs) > 1 && math.Abs(d.Mean) > d.Half
	return d
}

// Interval is the mean of a sample and half the width of its confidence interval; with under two values that is NaN.
func Interval(sample []float64) (mean, half float64) {
	mean = stat.Mean(sample, nil)
	if len(sample) < 2 {
		return mean, math.NaN()
	}
	n := float64(len(sample))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(1 - (1-Confidence)/2)
	return mean, t * stat.StdDev(sample, nil) / math.Sqrt(n)
}

// Pair is the report of a comparison.
type Pair struct {
	Schema      string       `json:"schema"`
	Name        string       `json:"experiment"`
	A           string       `json:"command_a"`
	B           string       `json:"command_b"`
	Seeds       []uint64     `json:"seeds"`
	Level       float64      `json:"confidence"`
	Differences []Difference `json:"differences"`
	RunsA       []*Run       `json:"runs_a"`
	RunsB       []*Run       `json:"runs_b"`
}

// JSON writes the comparison's stable form. JSON knows no NaN: an interval of one pair has no width.
func (p *Pair) JSON(w io.Writer) error {
	c := *p
	c.Differences = slices.Clone(p.Differences)
	for i := range c.Differences {
		if math.IsNaN(c.Differences[i].Half) {
			c.Differences[i].Half = -1
		}
	}
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(&c)
}

// Text writes the comparison for a person.
func (p *Pair) Text(w io.Writer) {
	fmt.Fprintf(w, "%s: %d pairs, bench on loopback\na: %s\nb: %s\n", p.Name, len(p.Seeds), p.A, p.B)
	fmt.Fprintf(w, "%-24s %12s %12s %12s %12s\n", "figure", "a", "b", "b - a", "+- at 95%")
	for _, d := range p.Differences {
		mark := ""
		if d.Clear {
			mark = "  *"
		}
		fmt.Fprintf(w, "%-24s %12.4f %12.4f %+12.4f %12.4f%s\n", d.Figure, d.MeanA, d.MeanB, d.Mean, d.Half, mark)
	}
	for _, runs := range [][]*Run{p.RunsA, p.RunsB} {
		for _, r := range runs {
			for _, b := range r.Breaches {
				fmt.Fprintf(w, "broken (%s, seed %d): %s\n", r.Command, r.Seed, b.Summary())
			}
		}
	}
}
