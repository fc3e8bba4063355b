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

// superLinear is the exponent from which growth is called more than in line with its driver.
const superLinear = 1.15

// leastSizes are those that a fit needs.
const leastSizes = 3

// Drivers of growth.
const (
	byNodes   = "nodes"
	byServers = "servers"
	byBoth    = "nodes x servers"
)

// measures are all there are, in the order of the report: the unit, and what should carry the growth (empty: no fit is made).
var measures = []struct{ name, unit, driver, title string }{
	{"node_bytes", "B/s", byServers, "talk with all planners, both ways, each node"},
	{"node_bytes_out", "B/s", byServers, "digests to all planners, each node"},
	{"node_bytes_in", "B/s", byServers, "views of all planners, each node"},
	{"node_messages_out", "1/s", "", "digests sent, each node"},
	{"node_messages_in", "1/s", "", "views and changes taken, each node"},
	{"digest_bytes", "B", byServers, "bytes out for each digest"},
	{"view_bytes", "B", byServers, "bytes in for each view or change"},
	{"worst_second_mean", "B/s", byServers, "the worst second's bytes, the mean node"},
	{"worst_second_any", "B/s", byServers, "the worst second's bytes of any node"},
	{"node_cpu", "% of a core", byServers, "control work of a node: less the same process with forwarders off"},
	{"node_cpu_idle", "% of a core", "", "load, list and decision module, forwarders off"},
	{"node_heap", "KB", byServers, "heap and stacks of a node's forwarder"},
	{"node_heap_rest", "KB", byServers, "heap and stacks of a node's list and decision module"},
	{"node_rss", "KB", "", "resident memory of the nodes' processes, a node"},
	{"planner_cpu", "cores", byNodes, "a planner's process"},
	{"planner_rss", "MB", byNodes, "a planner's resident memory"},
	{"planner_messages_in", "1/s", byNodes, "digests taken, a planner"},
	{"planner_messages_out", "1/s", byNodes, "views and changes sent, a planner"},
	{"digests_taken", "of those sent", "", "digests that planners took"},
	{"digests_refused", "", "", "digests that planners refused"},
	{"list_cpu", "cores", byNodes, "the list service's process"},
	{"list_rss", "MB", byNodes, "its resident memory"},
	{"list_bytes", "B/s", "", "list, each node, nothing changing"},
	{"list_calls", "1/s", "", "calls of the list, each node"},
	{"list_start_bytes", "B", byServers, "list at the start, each node"},
	{"list_change_bytes", "B", byServers, "list for one change, each node"},
	{"list_change_calls", "", "", "calls in that time, each node"},
	{"machine_load", "threads", "", "the machine's load in the minute before: of other work, and of the size before"},
	{"load_share", "of what is due", "", "requests that were drawn"},
	{"loop_late", "s", "", "a timer of the lab's nodes was late, at most"},
	{"followed_after", "s", "", "all nodes follow a view after the first start"},
	{"in_force_first", "s", "", "the change is in force at the first node"},
	{"in_force_median", "s", "", "at the middle one"},
	{"in_force_p99", "s", "", "at 99 in 100"},
	{"in_force_last", "s", "", "at the last"},
	{"in_force_never", "nodes", "", "where it never was, in the time of the phase"},
	{"connected_after", "s", "", "all connections stand again, from the fault's end"},
	{"settled_after", "s", "", "all nodes follow a valid view and no factor is below 1, from the fault's end"},
	{"unled_most", "nodes", "", "without a valid view, most at a time"},
	{"unled_seconds", "s", "", "without a valid view, a node"},
	{"unled_end", "nodes", "", "without a valid view when the time to settle was over"},
	{"wrong_factors", "", "", "factors below 1 standing when all was well again, over nodes and servers"},
	{"node_fault_bytes", "KB", byServers, "talk from the fault to the end of settling, each node"},
	{"list_fault_bytes", "KB", byServers, "list in the same time, each node"},
	{"states_sent", "", byNodes, "whole states that planners sent in that time, in all"},
	{"states_paced", "", "", "times that one had to wait for its turn"},
	{"doubts", "", "", "states that nodes said they don't have, though sent"},
	{"granted_most", "of N", "", "all nodes' grants to a cold server, most at a time, of what it bears then; planners share out half"},
	{"bound_most", "nodes", "", "that a grant to a cold server binds, most at a time"},
	{"fault_seconds", "s", "", "from the fault to the end of settling"},
}

var units = func() map[string]string {
	all := map[string]string{}
	for _, m := range measures {
		all[m.name] = m.unit
	}
	return all
}()

// Row is one figure.
type Row struct {
	Size    Size
	Variant string
	Phase   string
	Measure string
	Unit    string
	Value   float64
}

// PhaseSecond is what all nodes saw in a second of a phase.
type PhaseSecond struct {
	Size    Size
	Variant string
	Phase   string
	After   int64 // seconds from the phase's begin
	Second
}

// Result is what a run measured.
type Result struct {
	Name, File string
	Seed       uint64
	StartedAt  time.Time
	Sizes      []Size
	Variants   []string
	Rows       []Row
	Seconds    []PhaseSecond
}

// Value is a figure; NaN where there is none.
func (r *Result) Value(s Size, variant, phase, measure string) float64 {
	for _, x := range r.Rows {
		if x.Size == s && x.Variant == variant && x.Phase == phase && x.Measure == measure {
			return x.Value
		}
	}
	return math.NaN()
}

// Fit is a power law through a figure's values over the sizes: the exponents against each driver, least squares over logarithms.
type Fit struct {
	Variant, Phase, Measure string
	Driver                  string // what should carry the growth
	Sizes                   []Size
	Nodes, Servers, Both    float64 // exponents
	MinRatio, MaxRatio      float64 // ratio of value to fitted value, against the driver
	SuperLinear             bool    // the exponent against the driver is over 1.15
}

// exponent is that of the driver that should carry the growth.
func (f *Fit) exponent() float64 {
	switch f.Driver {
	case byNodes:
		return f.Nodes
	case byServers:
		return f.Servers
	}
	return f.Both
}

// powerLaw fits y = c x^e: e, c, and NaN where x does not vary or a value is not above 0.
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

// fitted are the sizes that a fit goes over: the most that share one rate, since the rate of requests is a driver of its own.
func (r *Result) fitted() (best []Size) {
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

// Fits are all that can be made; none with under three sizes of one rate.
func (r *Result) Fits() (all []Fit) {
	sizes := r.fitted()
	if len(sizes) < leastSizes {
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
				f.SuperLinear = f.exponent() > superLinear
				all = append(all, f)
			}
		}
	}
	return all
}

// phases are those that have figures, in their order.
func (r *Result) phases() (all []string) {
	for _, x := range r.Rows {
		if !slices.Contains(all, x.Phase) {
			all = append(all, x.Phase)
		}
	}
	return all
}

// figure writes a value in a few digits.
func figure(v float64) string {
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

// Text writes tables for a person: a block a phase, a line a measure and variant, a column a size.
func (r *Result) Text(w io.Writer) {
	fmt.Fprintf(w, "%s: seed %d, begun %s, hollow nodes on loopback (%s)\n", r.Name, r.Seed, r.StartedAt.UTC().Format(time.RFC3339), r.File)
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
					line += fmt.Sprintf(" %12s", figure(x))
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
		fmt.Fprintf(w, "\nno fits: they want %d sizes or more of one rate\n", leastSizes)
		return
	}
	var sizes []string
	for _, s := range fits[0].Sizes {
		sizes = append(sizes, s.String())
	}
	fmt.Fprintf(w, "\nfits over %s: exponents against nodes, servers, nodes x servers; value over fit at the least and the most\n", strings.Join(sizes, ", "))
	super := 0
	for _, f := range fits {
		mark := ""
		if f.SuperLinear {
			super++
			mark = fmt.Sprintf("  SUPER-LINEAR: over %.2f against %s", superLinear, f.Driver)
		}
		fmt.Fprintf(w, "%-10s %-14s %-20s %6.2f %6.2f %6.2f   %.2f to %.2f%s\n", f.Variant, f.Phase, f.Measure, f.Nodes, f.Servers, f.Both, f.MinRatio, f.MaxRatio, mark)
	}
	fmt.Fprintf(w, "%d of %d figures grow super-linearly\n", super, len(fits))
}

// Legend tells what the measures are.
func Legend(w io.Writer) {
	for _, m := range measures {
		fmt.Fprintf(w, "%-20s %-14s %s\n", m.name, m.unit, m.title)
	}
}

// CSV writes a row a figure, and beside it, under NAME-seconds.csv, one a second of each phase.
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

// PNG writes a plot of each slope into a folder, which it makes: PHASE-MEASURE.png, both axes logarithmic.
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

func (r *Result) plot(path, phase, measure, driver string) error {
	g := plot.New()
	g.Title.Text = fmt.Sprintf("%s, %s", measure, phase)
	g.X.Label.Text, g.Y.Label.Text = driver, units[measure]
	g.X.Scale, g.Y.Scale = plot.LogScale{}, plot.LogScale{}
	g.X.Tick.Marker, g.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	g.Legend.Top, g.Legend.Left = true, true
	for i, variant := range r.Variants {
		var xy plotter.XYs
		for _, s := range r.fitted() {
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
