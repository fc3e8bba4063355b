package report

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lapisshelf/lab/experiment"
	"lapisshelf/lab/judge"
	"lapisshelf/lab/seen"
	"lapisshelf/lab/stage"
)

// The Student's t interval agrees with a worked example: mean 5, standard deviation 1.58, n 5, t 2.776.
func TestInterval(t *testing.T) {
	mean, half := ConfidenceInterval([]float64{3, 4, 5, 6, 7})
	if mean != 5 || math.Abs(half-1.9632) > 1e-3 {
		t.Errorf("%v +- %v", mean, half)
	}
	if _, half := ConfidenceInterval([]float64{3}); !math.IsNaN(half) {
		t.Errorf("one value has an interval of half width %v", half)
	}
}

func TestCompare(t *testing.T) {
	runs := func(values ...float64) (all []*Run) {
		for _, v := range values {
			all = append(all, &Run{Figures: map[string]float64{"service": v}})
		}
		return all
	}
	// The values vary much between pairs and little within them: only the paired comparison finds the difference.
	d := Compare(runs(0.1, 0.5, 0.9, 0.3), runs(0.12, 0.52, 0.92, 0.32), "service")
	if math.Abs(d.MeanDifference-0.02) > 1e-9 || !d.Significant {
		t.Errorf("%+v", d)
	}
	if d = Compare(runs(0.1, 0.5, 0.9, 0.3), runs(0.3, 0.4, 0.95, 0.2), "service"); d.Significant {
		t.Errorf("noise counts as a significant difference: %+v", d)
	}
	var out bytes.Buffer
	one := &Comparison{Seeds: []uint64{1}, Differences: []Difference{Compare(runs(1), runs(2), "service")}}
	if err := one.JSON(&out); err != nil {
		t.Error(err)
	}
}

func TestVerdicts(t *testing.T) {
	x := &experiment.Experiment{Expectations: []experiment.Expectation{{Figure: "service", Limit: 0.9, Location: "x.toml:3"}}}
	x.Name = "x"
	result := func(service float64, lab stage.LabDelays, cut bool, broken int) *stage.Result {
		v := &judge.Verdict{ViolationCounts: map[string]int{judge.Drains: broken}, Figures: map[string]float64{"service": service},
			Seconds: []judge.Second{{At: 0, Service: service}, {At: 1, Service: 1}}}
		if broken > 0 {
			v.Violations = []judge.Violation{{Rule: judge.Drains, Kind: judge.SentToDraining, Reason: "why", Timeline: []string{"a line"}}}
		}
		return &stage.Result{Verdict: v, Record: &seen.Record{Events: []seen.Event{{At: time.Second, Text: "c1 <dies>"}}}, Lab: lab, Interrupted: cut}
	}
	for _, c := range []struct {
		r    *stage.Result
		want string
	}{
		{result(0.95, stage.LabDelays{}, false, 0), Holds},
		{result(0.85, stage.LabDelays{}, false, 0), FallsShort},
		{result(0.95, stage.LabDelays{}, false, 1), FallsShort},
		{result(0.85, stage.LabDelays{VoidReason: "late"}, false, 0), Void},
		{result(0.85, stage.LabDelays{VoidReason: "late"}, true, 0), Interrupted},
	} {
		r := New(x, "node", c.r)
		if r.Verdict != c.want {
			t.Errorf("%s, want %s", r.Verdict, c.want)
		}
		var text, data bytes.Buffer
		r.Text(&text)
		if !strings.HasPrefix(text.String(), "x: "+c.want) {
			t.Errorf("%q", text.String())
		}
		var back Run
		if err := r.JSON(&data); err != nil || json.Unmarshal(data.Bytes(), &back) != nil || back.Schema != Schema || back.Verdict != c.want {
			t.Errorf("%v %+v", err, back)
		}
	}
	dir := filepath.Join(t.TempDir(), "page")
	if err := New(x, "node", result(0.95, stage.LabDelays{}, false, 1)).HTML(dir); err != nil {
		t.Fatal(err)
	}
	page, _ := os.ReadFile(filepath.Join(dir, "index.html"))
	if !strings.Contains(string(page), "c1 &lt;dies&gt;") || !strings.Contains(string(page), "a line") {
		t.Errorf("%s", page)
	}
	for _, p := range plots {
		if info, err := os.Stat(filepath.Join(dir, p.file)); err != nil || info.Size() < 2000 {
			t.Errorf("%s: %v", p.file, err)
		}
	}
}
