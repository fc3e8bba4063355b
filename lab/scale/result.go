package scale

import (
	"encoding/csv"
	"fmt"
	"image/color"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// superLinearExponent is the exponent above which a measure is reported to grow faster than its driver.
const superLinearExponent = 1.15

// minFitSizes is the number of sizes that a fit needs.
const minFitSizes = 3

// Drivers: the quantities that measures are expected to grow with.
const (
	byNodes   = "nodes"
	byServers = "servers"
	byBoth    = "nodes x servers"
)

// measures lists all measures in the order of the report, each with its unit and the driver that it should grow with (empty: no
// fit is made).
var measures = []struct{ name, unit, driver, title string }{
	{"node_bytes", "B/s", byServers, "bytes from and to all planners, per node"},
	{"node_bytes_out", "B/s", byServers, "digests to all planners, per node"},
	{"node_bytes_in", "B/s", byServers, "views from all planners, per node"},
	{"node_messages_out", "1/s", "", "digests sent, per node"},
	{"node_messages_in", "1/s", "", "views and changes received, per node"},
	{"digest_bytes", "B", byServers, "bytes sent per digest"},
	{"view_bytes", "B", byServers, "bytes received per view or change"},
	{"worst_second_mean", "B/s", byServers, "bytes per node in the worst second, mean over the nodes"},
	{"worst_second_any", "B/s", byServers, "bytes in the worst second of a single node"},
	{"node_cpu", "% of a core", byServers, "CPU of a node's forwarder: of its process, less that with forwarders off"},
	{"node_cpu_idle", "% of a core", "", "CPU of a node's load, list client and decision module, with forwarders off"},
	{"node_heap", "KB", byServers, "heap and stacks of a node's forwarder"},
	{"node_heap_rest", "KB", byServers, "heap and stacks of a node's list client and decision module"},
	{"node_rss", "KB", "", "resident memory of the nodes' processes, per node"},
	{"planner_cpu", "cores", byNodes, "CPU of a planner's process"},
	{"planner_rss", "MB", byNodes, "a planner's resident memory"},
	{"planner_messages_in", "1/s", byNodes, "digests received, per planner"},
	{"planner_messages_out", "1/s", byNodes, "views and changes sent, per planner"},
	{"digests_taken", "of those sent", "", "digests that planners received"},
	{"digests_refused", "", "", "digests that planners refused"},
	{"list_cpu", "cores", byNodes, "CPU of the list service's process"},
	{"list_rss", "MB", byNodes, "resident memory of the list service"},
	{"list_bytes", "B/s", "", "list bytes per node, while nothing changes"},
	{"list_calls", "1/s", "", "calls to the list service, per node"},
	{"list_start_bytes", "B", byServers, "list bytes at the start, per node"},
	{"list_change_bytes", "B", byServers, "list bytes for one change, per node"},
	{"list_change_calls", "", "", "calls to the list service in that time, per node"},
	{"machine_load", "threads", "", "load average of the machine in the minute before the start: other work and the previous size"},
	{"load_share", "of what is due", "", "requests drawn, of those due at the configured rate"},
	{"loop_late", "s", "", "maximum delay of a timer in the nodes' event loops"},
	{"followed_after", "s", "", "until all nodes follow a view, from the start of the forwarders"},
	{"in_force_first", "s", "", "until a change is in force at the first node"},
	{"in_force_median", "s", "", "at the median node"},
	{"in_force_p99", "s", "", "at 99% of the nodes"},
	{"in_force_last", "s", "", "at the last node"},
	{"in_force_never", "nodes", "", "nodes where it was not in force by the end of the phase"},
	{"connected_after", "s", "", "until all nodes are connected to all planners again, from the fault's end"},
	{"settled_after", "s", "", "until all nodes follow a valid view and no factor is below 1, from the fault's end"},
	{"unled_most", "nodes", "", "maximum number of nodes without a valid view"},
	{"unled_seconds", "s", "", "time without a valid view, per node"},
	{"unled_end", "nodes", "", "nodes without a valid view at the end of settling"},
	{"wrong_factors", "", "", "factors below 1 in force after settling, over nodes and servers"},
	{"node_fault_bytes", "KB", byServers, "bytes from and to planners from the fault to the end of settling, per node"},
	{"list_fault_bytes", "KB", byServers, "list bytes in the same time, per node"},
	{"states_sent", "", byNodes, "whole states that all planners sent in that time"},
	{"states_paced", "", "", "whole states that were delayed to limit their rate"},
	{"doubts", "", "", "states that were sent, but that nodes reported not to have"},
	{"granted_most", "of N", "", "maximum of all nodes' grants to a cold server, relative to its capacity N at that time; planners grant half of N"},
	{"bound_most", "nodes", "", "maximum number of nodes that a grant to a cold server limits"},
	{"fault_seconds", "s", "", "from the fault to the end of settling"},
}

var units = func() map[string]string {
	all := map[string]string{}
	for _, m := range measures {
		all[m.name] = m.unit
	}
	return all
}()

// Row is one measured figure.
type Row struct {
	Size    Size
	Variant string
	Phase   string
	Measure string
	Unit    string
	Value   float64
}

// PhaseSecond holds the totals of all nodes in one second of a phase.
type PhaseSecond struct {
	Size    Size
	Variant string
	Phase   string
	After   int64 // seconds since the start of the phase
	Second
}

// Result holds the figures of a run.
type Result struct {
	Name, File string
	Seed       uint64
	StartedAt  time.Time
	Sizes      []Size
	Variants   []string
	Rows       []Row
	Seconds    []PhaseSecond
}

// Value returns a figure, or NaN where there is none.
func (r *Result) Value(s Size, variant, phase, measure string) float64 {
	for _, x := range r.Rows {
		if x.Size == s && x.Variant == variant && x.Phase == phase && x.Measure == measure {
			return x.Value
		}
	}
	return math.NaN()
}

// Fit is a power law fitted to a measure's values over the sizes, by least squares over logarithms, against each driver.
type Fit struct {
	Variant, Phase, Measure string
	Driver                  string // that the measure should grow with
	Sizes                   []Size
	Nodes, Servers, Both    float64 // exponents
	MinRatio, MaxRatio      float64 // range of the ratio of value to fitted value, against Driver
	SuperLinear             bool    // the exponent against Driver is above superLinearExponent
}

// exponent returns the exponent against f.Driver.
func (f *Fit) exponent() float64 {
	switch f.Driver {
	case byNodes:
		return f.Nodes
	case byServers:
		return f.Servers
	}
	return f.Both
}

// powerLaw fits y = c x^e and returns e and c, or NaN where x does not vary or a value is not above 0.
func powerLaw(x, y []float64) (e, c float64) {
	var lx, ly []float64
	for i := range x {
		if !(x[i] > 0) || !(y[i] > 0) {
			return math.NaN(), math.NaN()
		}
		lx, ly = append(lx, math.Log(x[i])), append(ly, math.Log(y[i]))
	}
	if len(x) < 2 || stat.Variance(lx, nil) == 0 {
		return math.NaN(), math.NaN()
	}
	a, b := stat.LinearRegression(lx, ly, nil, false)
	return b, math.Exp(a)
}

// fitSizes returns the sizes to fit over: the largest group with the same rate, since the request rate is a driver of its own.
func (r *Result) fitSizes() (best []Size) {
	for _, s := range r.Sizes {
		var same []Size
		for _, o := range r.Sizes {
			if o.Rate == s.Rate {
				same = append(same, o)
			}
		}
		if len(same) > len(best) {
			best = same
		}
	}
	return best
}

// Fits returns a fit for each variant, phase and measure that allows one; none if fewer than minFitSizes sizes share a rate.
func (r *Result) Fits() (all []Fit) {
	sizes := r.fitSizes()
	if len(sizes) < minFitSizes {
		return nil
	}
	var nodes, servers, both []float64
	for _, s := range sizes {
		nodes, servers, both = append(nodes, float64(s.Nodes)), append(servers, float64(s.Servers)), append(both, float64(s.Nodes)*float64(s.Servers))
	}
	for _, variant := range r.Variants {
		for _, phase := range r.phases() {
			for _, m := range measures {
				if m.driver == "" {
					continue
				}
				var y []float64
				for _, s := range sizes {
					y = append(y, r.Value(s, variant, phase, m.name))
				}
				f := Fit{Variant: variant, Phase: phase, Measure: m.name, Driver: m.driver, Sizes: sizes}
				f.Nodes, _ = powerLaw(nodes, y)
				f.Servers, _ = powerLaw(servers, y)
				f.Both, _ = powerLaw(both, y)
				if math.IsNaN(f.exponent()) {
					continue
				}
				x := map[string][]float64{byNodes: nodes, byServers: servers, byBoth: both}[m.driver]
				e, c := powerLaw(x, y)
				f.MinRatio, f.MaxRatio = math.Inf(1), 0
				for i := range x {
					ratio := y[i] / (c * math.Pow(x[i], e))
					f.MinRatio, f.MaxRatio = min(f.MinRatio, ratio), max(f.MaxRatio, ratio)
				}
				f.SuperLinear = f.exponent() > superLinearExponent
				all = append(all, f)
			}
		}
	}
	return all
}

// phases returns the phases that have figures, in the order of the run.
func (r *Result) phases() (all []string) {
	for _, x := range r.Rows {
		if !slices.Contains(all, x.Phase) {
			all = append(all, x.Phase)
		}
	}
	return all
}

// formatValue formats a value with a few significant digits.
func formatValue(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "-"
	case v == 0:
		return "0"
	case a >= 1000:
		return strconv.FormatFloat(v, 'f', 0, 64)
	case a >= 100:
		return strconv.FormatFloat(v, 'f', 1, 64)
	case a >= 1:
		return strconv.FormatFloat(v, 'f', 2, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

// Text writes tables for reading: a block for each phase, a line for each measure and variant, a column for each size.
func (r *Result) Text(w io.Writer) {
	fmt.Fprintf(w, "%s: seed %d, started %s, hollow nodes on loopback (%s)\n", r.Name, r.Seed, r.StartedAt.UTC().Format(time.RFC3339), r.File)
	fits := r.Fits()
	for _, phase := range r.phases() {
		fmt.Fprintf(w, "\n%-20s %-14s %-10s", phase, "", "")
		for _, s := range r.Sizes {
			fmt.Fprintf(w, " %12s", s)
		}
		fmt.Fprintf(w, "  grows with\n%-20s %-14s %-10s", "", "", "at each node")
		for _, s := range r.Sizes {
			fmt.Fprintf(w, " %10g/s", s.Rate)
		}
		fmt.Fprintln(w)
		for _, m := range measures {
			for _, v := range r.Variants {
				known := false
				line := fmt.Sprintf("%-20s %-14s %-10s", m.name, m.unit, v)
				for _, s := range r.Sizes {
					x := r.Value(s, v, phase, m.name)
					known = known || !math.IsNaN(x)
					line += fmt.Sprintf(" %12s", formatValue(x))
				}
				if !known {
					continue
				}
				for _, f := range fits {
					if f.Variant == v && f.Phase == phase && f.Measure == m.name {
						line += fmt.Sprintf("  %s^%.2f", f.Driver, f.exponent())
						if f.SuperLinear {
							line += " SUPER-LINEAR"
						}
					}
				}
				fmt.Fprintln(w, line)
			}
		}
	}
	if len(fits) == 0 {
		fmt.Fprintf(w, "\nno fits: at least %d sizes with the same rate are needed\n", minFitSizes)
		return
	}
	var sizes []string
	for _, s := range fits[0].Sizes {
		sizes = append(sizes, s.String())
	}
	fmt.Fprintf(w, "\nfits over %s: exponents against nodes, servers, nodes x servers; min and max ratio of value to fit\n", strings.Join(sizes, ", "))
	super := 0
	for _, f := range fits {
		mark := ""
		if f.SuperLinear {
			super++
			mark = fmt.Sprintf("  SUPER-LINEAR: above %.2f against %s", superLinearExponent, f.Driver)
		}
		fmt.Fprintf(w, "%-10s %-14s %-20s %6.2f %6.2f %6.2f   %.2f to %.2f%s\n", f.Variant, f.Phase, f.Measure, f.Nodes, f.Servers, f.Both, f.MinRatio, f.MaxRatio, mark)
	}
	fmt.Fprintf(w, "%d of %d figures grow super-linearly\n", super, len(fits))
}

// Legend writes the name, unit and description of each measure.
func Legend(w io.Writer) {
	for _, m := range measures {
		fmt.Fprintf(w, "%-20s %-14s %s\n", m.name, m.unit, m.title)
	}
}

// CSV writes a row for each figure and exponent to path, and a row for each second of each phase to NAME-seconds.csv beside it.
func (r *Result) CSV(path string) error {
	rows := [][]string{{"nodes", "servers", "rate", "variant", "phase", "measure", "unit", "value"}}
	number := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
	for _, x := range r.Rows {
		rows = append(rows, []string{strconv.Itoa(x.Size.Nodes), strconv.Itoa(x.Size.Servers), number(x.Size.Rate), x.Variant, x.Phase, x.Measure, x.Unit, number(x.Value)})
	}
	for _, f := range r.Fits() {
		for _, e := range []struct {
			driver string
			value  float64
		}{{byNodes, f.Nodes}, {byServers, f.Servers}, {byBoth, f.Both}} {
			rows = append(rows, []string{"", "", number(f.Sizes[0].Rate), f.Variant, f.Phase, f.Measure, "exponent of " + e.driver, number(e.value)})
		}
	}
	if err := writeCSV(path, rows); err != nil {
		return err
	}
	rows = [][]string{{"nodes", "servers", "variant", "phase", "second", "bytes_in", "bytes_out", "most_both", "digests", "views", "led", "low"}}
	for _, s := range r.Seconds {
		line := []string{strconv.Itoa(s.Size.Nodes), strconv.Itoa(s.Size.Servers), s.Variant, s.Phase}
		for _, n := range []int64{s.After, s.In, s.Out, s.MostBoth, s.Digests, s.Views, int64(s.Following), int64(s.LowFactors)} {
			line = append(line, strconv.FormatInt(n, 10))
		}
		rows = append(rows, line)
	}
	return writeCSV(strings.TrimSuffix(path, ".csv")+"-seconds.csv", rows)
}

func writeCSV(path string, rows [][]string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := csv.NewWriter(f).WriteAll(rows); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

var colors = []color.Color{color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}, color.RGBA{R: 0xb8, G: 0x32, B: 0x2a, A: 0xff},
	color.RGBA{R: 0x2d, G: 0x7d, B: 0x46, A: 0xff}, color.RGBA{R: 0xd0, G: 0x8a, B: 0x1c, A: 0xff}}

// PNG plots each fitted measure on logarithmic axes to PHASE-MEASURE.png in a directory, which it creates.
func (r *Result) PNG(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	drawn := map[string]bool{}
	for _, f := range r.Fits() {
		name := f.Phase + "-" + f.Measure
		if drawn[name] {
			continue
		}
		drawn[name] = true
		if err := r.plot(filepath.Join(dir, name+".png"), f.Phase, f.Measure, f.Driver); err != nil {
			return err
		}
	}
	return nil
}

// plot writes the plot of one measure in one phase, with a line for each variant.
func (r *Result) plot(path, phase, measure, driver string) error {
	g := plot.New()
	g.Title.Text = fmt.Sprintf("%s, %s", measure, phase)
	g.X.Label.Text, g.Y.Label.Text = driver, units[measure]
	g.X.Scale, g.Y.Scale = plot.LogScale{}, plot.LogScale{}
	g.X.Tick.Marker, g.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	g.Legend.Top, g.Legend.Left = true, true
	for i, variant := range r.Variants {
		var xy plotter.XYs
		for _, s := range r.fitSizes() {
			x := map[string]float64{byNodes: float64(s.Nodes), byServers: float64(s.Servers), byBoth: float64(s.Nodes) * float64(s.Servers)}[driver]
			if y := r.Value(s, variant, phase, measure); y > 0 {
				xy = append(xy, plotter.XY{X: x, Y: y})
			}
		}
		if len(xy) == 0 {
			continue
		}
		line, points, err := plotter.NewLinePoints(xy)
		if err != nil {
			return err
		}
		line.Color, line.Width = colors[i%len(colors)], vg.Points(1.5)
		points.Color, points.Shape = colors[i%len(colors)], draw.CircleGlyph{}
		g.Add(line, points)
		label := variant
		for _, f := range r.Fits() {
			if f.Variant == variant && f.Phase == phase && f.Measure == measure {
				label = fmt.Sprintf("%s: %s^%.2f", variant, driver, f.exponent())
			}
		}
		g.Legend.Add(label, line, points)
	}
	return g.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}
