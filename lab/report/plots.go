package report

import (
	"image/color"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"lapisshelf/lab/judge"
)

// plotLine is one line of a plot.
type plotLine struct {
	name  string
	value func(s *judge.Second) float64
	color color.Color
}

var (
	blue  = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	red   = color.RGBA{R: 0xb8, G: 0x32, B: 0x2a, A: 0xff}
	green = color.RGBA{R: 0x2d, G: 0x7d, B: 0x46, A: 0xff}
	grey  = color.RGBA{R: 0xbb, G: 0xbb, B: 0xbb, A: 0xff}
)

// plots lists the plots of a run.
var plots = []struct {
	file, title, unit string
	yMax              float64 // end of the y axis; 0: chosen from the data
	lines             []plotLine
}{
	{"service.png", "Service by second", "earned worth over total worth", 1.02, []plotLine{
		{"service", func(s *judge.Second) float64 { return s.Service }, blue}}},
	{"latency.png", "Latency of served requests by second", "ms", 0, []plotLine{
		{"median", func(s *judge.Second) float64 { return s.P50 }, blue},
		{"99%", func(s *judge.Second) float64 { return s.P99 }, red}}},
	{"attempts.png", "Requests, attempts and fetches by second", "per second", 0, []plotLine{
		{"requests", func(s *judge.Second) float64 { return float64(s.Arrivals) }, grey},
		{"attempts", func(s *judge.Second) float64 { return float64(s.Attempts) }, blue},
		{"at the origin", func(s *judge.Second) float64 { return float64(s.OriginAttempts) }, green},
		{"refused", func(s *judge.Second) float64 { return float64(s.Refused) }, red}}},
}

// PNG writes the plots into a directory, which it creates.
func (r *Run) PNG(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, p := range plots {
		g := plot.New()
		g.Title.Text = r.Name + ": " + p.title
		g.X.Label.Text = "second"
		g.Y.Label.Text = p.unit
		g.Y.Min = 0
		g.Legend.Top = true
		for _, l := range p.lines {
			xy := make(plotter.XYs, len(r.BySecond))
			for i := range r.BySecond {
				xy[i].X, xy[i].Y = float64(r.BySecond[i].At)+0.5, l.value(&r.BySecond[i])
			}
			curve, err := plotter.NewLine(xy)
			if err != nil {
				return err
			}
			curve.Color, curve.Width = l.color, vg.Points(1.5)
			g.Add(curve)
			g.Legend.Add(l.name, curve)
		}
		if p.yMax > 0 {
			g.Y.Max = p.yMax
		}
		for _, e := range r.Events { // a dashed vertical line for each
			if e.At < 0 || e.At > r.Seconds {
				continue
			}
			bar, err := plotter.NewLine(plotter.XYs{{X: e.At, Y: 0}, {X: e.At, Y: g.Y.Max}})
			if err != nil {
				return err
			}
			bar.Color, bar.Dashes, bar.Width = grey, []vg.Length{vg.Points(2), vg.Points(3)}, vg.Points(0.5)
			g.Add(bar)
		}
		if err := g.Save(22*vg.Centimeter, 9*vg.Centimeter, filepath.Join(dir, p.file)); err != nil {
			return err
		}
	}
	return nil
}
