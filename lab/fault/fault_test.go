package fault

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func deployment() Deployment {
	s := Deployment{Length: 20 * time.Second, Nodes: 2, Tenants: []string{"x"}, Endpoints: 3, Planners: 2}
	for i := range 8 {
		s.Servers = append(s.Servers, fmt.Sprintf("c%d", i+1))
	}
	return s
}

func at(text string) (w TimeSpec) {
	if err := w.UnmarshalText([]byte(text)); err != nil {
		panic(err)
	}
	return w
}

func lines(t *testing.T, specs ...Spec) []string {
	t.Helper()
	line, err := Expand(specs, deployment(), 1)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, a := range line.Actions {
		out = append(out, a.String())
	}
	return out
}

func TestFaultActions(t *testing.T) {
	for _, c := range []struct {
		spec Spec
		want []string
	}{
		{Spec{Kind: "crash", At: at("25%"), For: at("3s"), Servers: []string{"c2"}},
			[]string{"5s die server=c2 x=0", "5s leave server=c2 x=0", "8s rise server=c2 x=1"}},
		{Spec{Kind: "crash", At: at("5s"), For: at("3s"), Servers: []string{"c2"}, NewID: true, Warm: true, Quiet: true},
			[]string{"5s die server=c2 x=0", "8s rise server=c2 x=0 as=c2.2"}},
		{Spec{Kind: "slow", At: at("1s"), For: at("1s"), Servers: []string{"c1"}, Factor: 4},
			[]string{"1s slow server=c1 x=4", "2s slow server=c1 x=1"}},
		{Spec{Kind: "slow", At: at("19s"), For: at("5s"), Servers: []string{"c1"}, Factor: 4}, // ends after the run
			[]string{"19s slow server=c1 x=4"}},
		{Spec{Kind: "drain", At: at("1s"), For: at("2s"), Servers: []string{"c1"}},
			[]string{"1s drain server=c1 x=0", "3s leave server=c1 x=0", "3.000000001s die server=c1 x=0"}},
		{Spec{Kind: "grow", At: at("1s"), For: at("4s"), Count: 2}, []string{"1s join server=g1 x=1", "3s join server=g2 x=1"}},
		{Spec{Kind: "node_kill", At: at("1s"), For: at("1s"), Nodes: []int{2}}, []string{"1s node_kill node=2 x=0", "2s node_start node=2 x=0"}},
		{Spec{Kind: "detach", At: at("1s"), For: at("1s"), Servers: []string{"c3"}, Nodes: []int{2}},
			[]string{"1s detach server=c3 node=2 x=1", "2s detach server=c3 node=2 x=0"}},
		{Spec{Kind: "lameduck", At: at("1s"), Nodes: []int{1}}, []string{"1s node_lame node=1 x=1"}},
		{Spec{Kind: "upgrade", At: at("1s"), Nodes: []int{1}}, []string{"1s node_upgrade node=1 x=0"}},
		{Spec{Kind: "node_hup", At: at("1s")}, []string{"1s node_hup node=1 x=0", "1s node_hup node=2 x=0"}},
		{Spec{Kind: "list_down", At: at("50%")}, []string{"10s list_down x=1"}},
		{Spec{Kind: "origin_slow", At: at("1s"), For: at("10%"), Factor: 5}, []string{"1s origin_slow x=5", "3s origin_slow x=1"}},
		{Spec{Kind: "registry_lag", At: at("1s"), For: at("1s"), Endpoints: []int{2}, Factor: 4},
			[]string{"1s registry_lag endpoint=2 x=4", "2s registry_lag endpoint=2 x=0"}},
		{Spec{Kind: "registry_compact", At: at("1s")}, []string{"1s registry_compact x=0"}},
		{Spec{Kind: "rude", At: at("0s"), For: at("1s"), Count: 3}, []string{"0s rude x=3", "1s rude x=0"}},
	} {
		if got := lines(t, c.spec); !slices.Equal(got, c.want) {
			t.Errorf("%s: %q, want %q", c.spec.Kind, got, c.want)
		}
	}
	line, err := Expand([]Spec{{Kind: "surge", At: at("1s"), For: at("2s"), Factor: 3}, {Kind: "hot_tenant", Tenant: "x", Part: 0.3}}, deployment(), 1)
	if err != nil || len(line.Shapes) != 2 || line.Shapes[0].Magnitude != 3 || line.Shapes[0].To != 3*time.Second || line.Shapes[1].Index != 0 {
		t.Errorf("%+v %v", line, err)
	}
}

// A deploy replaces each server once, drains it before its removal, and never takes out more than a batch at once.
func TestDeploy(t *testing.T) {
	out, drained, restarted := map[string]bool{}, 0, 0
	line, err := Expand([]Spec{{Kind: "deploy", At: at("1s"), For: at("16s"), Count: 2, Length: at("2s")}}, deployment(), 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range line.Actions {
		switch a.Kind {
		case Drain:
			out[a.Server] = true
			drained++
		case Restart:
			if !out[a.Server] || a.NewName != a.Server+".2" || a.Value != 1 {
				t.Errorf("%s", a)
			}
			delete(out, a.Server)
			restarted++
		}
		if len(out) > 2 {
			t.Errorf("%v out at once", out)
		}
	}
	if drained != 8 || restarted != 8 {
		t.Errorf("%d drained, %d restarted", drained, restarted)
	}
}

func TestIntermittentFaults(t *testing.T) {
	got := lines(t, Spec{Kind: "pause", At: at("2s"), For: at("10s"), Servers: []string{"c1"}, Every: at("2s"), Length: at("300ms")})
	if len(got) < 6 || len(got)%2 != 0 {
		t.Fatalf("%q", got)
	}
	for i, l := range got {
		if strings.HasSuffix(l, "x=1") != (i%2 == 0) {
			t.Errorf("line %d is %s", i, l)
		}
	}
}

// The same seed gives the same timeline, for any faults. Its actions are in order and within the run.
func TestTimelinesRepeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var specs []Spec
		for range rapid.IntRange(1, 6).Draw(t, "troubles") {
			specs = append(specs, Spec{Kind: rapid.SampledFrom(Kinds()).Draw(t, "kind"), At: TimeSpec{Fraction: rapid.Float64Range(0, 1).Draw(t, "at")},
				For: TimeSpec{Fraction: rapid.Float64Range(0.01, 1).Draw(t, "for"), Set: true}, Count: rapid.IntRange(0, 5).Draw(t, "count"),
				Share: rapid.Float64Range(0, 0.9).Draw(t, "share"), Factor: 2, Part: 0.5, Length: TimeSpec{Duration: time.Second}, Tenant: "x",
				Every: TimeSpec{Duration: 2 * time.Second}, Nodes: []int{1}})
		}
		seed := rapid.Uint64().Draw(t, "seed")
		one, err := Expand(specs, deployment(), seed)
		if err != nil {
			t.Fatal(err)
		}
		two, _ := Expand(specs, deployment(), seed)
		if fmt.Sprint(one) != fmt.Sprint(two) {
			t.Fatal("the same seed gives a different timeline")
		}
		last := time.Duration(0)
		for _, a := range one.Actions {
			if a.At < last || a.At > 20*time.Second {
				t.Fatalf("%s after %v", a, last)
			}
			last = a.At
		}
	})
}

func TestInvalidSpecs(t *testing.T) {
	for _, c := range []struct {
		spec Spec
		key  string
	}{
		{Spec{Kind: "earthquake"}, "kind"},
		{Spec{Kind: "crash", At: at("21s")}, "at"},
		{Spec{Kind: "slow"}, "factor"},
		{Spec{Kind: "garble", Part: 1.5}, "part"},
		{Spec{Kind: "shrink", Share: 0.5}, "for"},
		{Spec{Kind: "shrink", Share: 0.5, For: at("1s")}, "length"},
		{Spec{Kind: "shrink", For: at("1s"), Length: at("1s")}, "share"},
		{Spec{Kind: "crash", Servers: []string{"c9"}}, "servers"},
		{Spec{Kind: "node_kill", Nodes: []int{3}}, "nodes"},
		{Spec{Kind: "registry_mute", Endpoints: []int{4}}, "endpoints"},
		{Spec{Kind: "crash", Share: -1}, "share"},
		{Spec{Kind: "crash", Count: -1}, "count"},
		{Spec{Kind: "hot_tenant", Part: 0.5, Tenant: "nobody"}, "tenant"},
		{Spec{Kind: "hot_node", Part: 0.5}, "nodes"},
		{Spec{Kind: "pause", Every: at("1s"), Length: at("2s")}, "length"},
	} {
		_, err := Expand([]Spec{{Kind: "flush", Part: 0.1}, c.spec}, deployment(), 1)
		var bad *Error
		if !errors.As(err, &bad) || bad.Spec != 1 || bad.Key != c.key {
			t.Errorf("%+v: %v", c.spec, err)
		}
	}
	for _, text := range []string{"", "7", "-1s", "101%", "x%", "-1%"} {
		if err := new(TimeSpec).UnmarshalText([]byte(text)); err == nil {
			t.Errorf("%q is accepted as a time", text)
		}
	}
}
