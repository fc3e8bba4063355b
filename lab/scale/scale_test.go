package scale

import (
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lapisshelf/decide/follow"
	"lapisshelf/decide/plan"
	"lapisshelf/internal/planwire"
	"lapisshelf/policy"
)

// waitTimeout is how long tests wait for a condition; it leaves room for a busy machine.
const waitTimeout = 2 * time.Minute

var program string

// TestMain runs a child process of the lab if started with a role; otherwise it builds lapisshelf for the planners and runs the tests.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && (os.Args[1] == NodesRole || os.Args[1] == ListRole) {
		if err := Child(os.Args[1], os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	dir, err := os.MkdirTemp("", "lapisscale-test")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "lapisshelf")
	if out, err := exec.Command("go", "build", "-o", program, "lapisshelf/cmd/lapisshelf").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building lapisshelf: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// smallFile returns a run's file with one small size; more is put at its head.
func smallFile(t *testing.T, more string) *File {
	t.Helper()
	f, err := decode("small.toml", []byte(`name = "small"
seed = 3
`+more+`
[planners]
every = "200ms"
valid = "10s"
[nodes]
processes = 3
every = "300ms"
[load]
keys = 2000
[phases]
warm = "100ms"
idle = "1s"
calm = "2s"
jam = "0s"
drain = "1s"
fault = "1s"
settle = "60s"
[[size]]
nodes = 20
servers = 12
rate = 100
`), Options{})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// startBench starts a bench of the file's first size and variant and waits until all nodes follow a view.
func startBench(t *testing.T, f *File) *bench {
	t.Helper()
	dir := t.TempDir()
	b := &bench{f: f, size: f.Sizes[0], variant: f.Variants[0], keyDir: filepath.Join(dir, "keys"), dir: dir, seconds: map[int64]Second{}, result: &Result{},
		opt: RunOptions{Program: program, SelfCommand: []string{os.Args[0]}}}
	if err := makeKeys(b.keyDir, b.size.Nodes, f.Planners.Count); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.close)
	if err := b.start(); err != nil {
		t.Fatal(err)
	}
	b.wait(t, "all nodes have the list", func(s *snapshot) bool { return s.Listed == b.size.Nodes })
	b.mustBroadcast(t, command{Do: "load", On: true})
	b.mustBroadcast(t, command{Do: "forward"})
	b.wait(t, "all nodes follow a view and no factor is below 1", b.settled)
	return b
}

func (b *bench) mustBroadcast(t *testing.T, o command) {
	t.Helper()
	if _, err := b.broadcast(o); err != nil {
		t.Fatal(err)
	}
}

func (b *bench) wait(t *testing.T, what string, condition func(*snapshot) bool) {
	t.Helper()
	_, met, s, err := b.poll(t.Context(), waitTimeout, condition)
	if err != nil || !met {
		t.Fatalf("timed out waiting until %s (%v); %d of %d nodes follow a view, factors below 1: %v", what, err, s.Following, b.size.Nodes, s.LowFactors)
	}
}

// total returns the sum of a counter over the planners.
func (s *snapshot) total(name string) (sum float64) {
	for _, p := range s.planners {
		sum += p.vars[name]
	}
	return sum
}

// Runs real planners, a real list and hollow nodes on loopback. The messages and bytes that nodes and planners count agree in both
// directions; the factor of a slow server is in force at every node; after all faults no node keeps a factor below 1 or is without
// a valid view.
func TestSmallFleet(t *testing.T) {
	t.Parallel()
	b := startBench(t, smallFile(t, ""))
	all := b.size.Nodes
	b.wait(t, "all nodes are connected to all planners", func(s *snapshot) bool { return s.total("connections") == float64(all*len(b.planners)) })

	// No message is lost or counted twice. Messages in flight make the sums differ for a moment, a lost one makes them differ for good.
	waitEqual := func(what string, nodes func(*snapshot) int64, counter string) {
		t.Helper()
		var a, n, c float64
		for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(7 * time.Millisecond) {
			first, err := b.takeSnapshot(false)
			if err != nil {
				t.Fatal(err)
			}
			second, err := b.takeSnapshot(false)
			if err != nil {
				t.Fatal(err)
			}
			// A snapshot asks the nodes before the planners: the planners' count is the same before and after that of the nodes.
			if a, n, c = first.total(counter), float64(nodes(second)), second.total(counter); a == n && n == c {
				return
			}
		}
		t.Errorf("%s: nodes count %.0f, planners %.0f before and %.0f after", what, n, a, c)
	}
	waitEqual("digests", func(s *snapshot) int64 { return s.Digests }, "digests_total")
	waitEqual("bytes of digests", func(s *snapshot) int64 { return s.BytesOut }, "bytes_in_total")
	waitEqual("bytes of views", func(s *snapshot) int64 { return s.BytesIn }, "bytes_out_total")
	s, err := b.takeSnapshot(false)
	if err != nil {
		t.Fatal(err)
	}
	if s.total("digests_refused_total") != 0 {
		t.Errorf("%.0f digests were refused", s.total("digests_refused_total"))
	}
	if s.Attempts < s.Requests || s.Requests == 0 {
		t.Errorf("%d requests with %d attempts", s.Requests, s.Attempts)
	}

	b.mustBroadcast(t, command{Do: "late", Servers: []int{0}, On: true})
	b.wait(t, "the slow server's factor is in force at all nodes", func(s *snapshot) bool { return s.LowFactors[serverID(0)] == all && len(s.LowFactors) == 1 })
	b.mustBroadcast(t, command{Do: "late", Servers: []int{0}}) // at the end of the first fault it is in force at no node
	if err := b.watch(1); err != nil {
		t.Fatal(err)
	}
	if _, err := b.listService.call(command{Do: "drain", Servers: []int{1}, On: true}); err != nil {
		t.Fatal(err)
	}
	b.wait(t, "all nodes know that a server is draining", func(*snapshot) bool {
		replies, err := b.broadcast(command{Do: "stamps"})
		return err == nil && !slices.ContainsFunc(replies, func(r reply) bool { return slices.Contains(r.Stamps, 0) })
	})
	if _, err := b.listService.call(command{Do: "drain", Servers: []int{1}}); err != nil {
		t.Fatal(err)
	}
	// Guards against a cut without effect: the planner's own count of connections falls to 0, and that of the other one stays.
	b.mustBroadcast(t, command{Do: "cut", Planner: b.planners[0].id, Addr: b.planners[0].addr, On: true})
	b.wait(t, "only the planner that is cut off has no connections", func(s *snapshot) bool {
		n, known := s.planners[0].vars["connections"]
		return known && n == 0 && s.planners[1].vars["connections"] == float64(all)
	})
	b.mustBroadcast(t, command{Do: "cut", Planner: b.planners[0].id})
	for _, name := range Faults() {
		if err := b.fault(t.Context(), name); err != nil {
			t.Fatal(name, err)
		}
		for _, m := range []string{"wrong_factors", "unled_end"} {
			if v := b.result.Value(b.size, b.variant.Name, name, m); v != 0 {
				t.Errorf("%s: %s is %v", name, m, v)
			}
		}
	}
	b.wait(t, "all nodes are connected to all planners again", func(s *snapshot) bool { return s.total("connections") == float64(all*len(b.planners)) })
	b.wait(t, "the fleet has settled", b.settled)
}

// A complete run yields figures for each phase, as text, CSV and plots.
func TestRun(t *testing.T) {
	t.Parallel()
	f := smallFile(t, `faults = ["nodes_all"]`)
	f.Sizes = nil
	for _, k := range []int{1, 2, 3} {
		f.Sizes = append(f.Sizes, Size{Nodes: 4 * k, Servers: 4 * k, Rate: 20})
	}
	dir := t.TempDir()
	r, err := Run(t.Context(), f, RunOptions{Program: program, SelfCommand: []string{os.Args[0]}, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range f.Sizes {
		for phase, names := range map[string][]string{"idle": {"node_heap_rest", "list_start_bytes"}, "calm": {"node_bytes_out", "node_bytes_in", "digest_bytes", "view_bytes", "planner_rss"},
			"nodes_all": {"connected_after", "node_fault_bytes"}, "end": {"wrong_factors"}} {
			for _, name := range names {
				if v := r.Value(s, TalkChanges, phase, name); math.IsNaN(v) || name != "wrong_factors" && v <= 0 || name == "wrong_factors" && v != 0 {
					t.Errorf("%s %s: %s is %v", s, phase, name, v)
				}
			}
		}
	}
	path := filepath.Join(dir, "out.csv")
	if err := r.CSV(path); err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil || len(rows) < len(r.Rows) || slices.ContainsFunc(rows[1:], func(x []string) bool { return x[5] == "" || x[4] == "" }) {
		t.Errorf("%d CSV rows for %d figures, or a row without phase or measure: %v", len(rows), len(r.Rows), err)
	}
	if err := r.PNG(filepath.Join(dir, "png")); err != nil {
		t.Fatal(err)
	}
	if plots, _ := filepath.Glob(filepath.Join(dir, "png", "calm-*.png")); len(plots) < 5 {
		t.Errorf("%d plots of the calm phase, want at least 5", len(plots))
	}
	var text strings.Builder
	r.Text(&text)
	if !strings.Contains(text.String(), "fits over 4x4, 8x8, 12x12") {
		t.Error(text.String())
	}
}

// wireFleet exchanges encoded messages between a planner and nodes without sockets, on a clock that the test advances.
type wireFleet struct {
	size        Size
	now         time.Duration
	tables      *tables
	collectors  []*plan.Collector
	followers   []*follow.Follower
	planner     *plan.Planner
	ready       []follow.Server
	digestBytes []int // size of each node's last digest
}

func newWireFleet(s Size) *wireFleet {
	x := &wireFleet{size: s, now: 1e9 * time.Second, tables: newTables(loadConfig{Seed: 1, Servers: s.Servers, Keys: 1000, Zipf: 0.98, Offset: 5, Tenants: 3})}
	x.planner = plan.New(plan.Config{ID: "p", History: 1 << 63, Mode: policy.Aside, OriginKind: originKind, Weighted: true, ColdFrom: 0.2, WarmUp: 8 * time.Second, FallMultiple: 3, FallWindow: time.Second})
	var list []policy.Server
	for i := range s.Servers {
		list = append(list, policy.Server{ID: serverID(i), Kind: "cache", Weight: 1})
		x.ready = append(x.ready, follow.Server{ID: serverID(i), Weight: 1})
	}
	x.planner.SetServers(x.now, list)
	for i := range s.Nodes {
		x.collectors, x.followers = append(x.collectors, plan.NewCollector(x.now, nodeName(i))), append(x.followers, follow.New(follow.Config{}))
	}
	x.digestBytes = make([]int, s.Nodes)
	return x
}

// exchangeWhole simulates a second in which each node makes `each` attempts at each server, one of which (late) answers slowly, sends
// a whole digest and receives a whole view. It returns the sizes of the views in bytes, by node.
func (x *wireFleet) exchangeWhole(t *testing.T, each int, late int) (views []int) {
	t.Helper()
	x.now += time.Second
	for i, g := range x.collectors {
		for s := range x.size.Servers {
			for range each {
				g.Attempt(serverID(s), false, policy.OK, 2*time.Millisecond, s != late, false)
			}
		}
		frame, err := planwire.Append(nil, planwire.Message{Digest: g.Digest(x.now)})
		if err != nil {
			t.Fatal(err)
		}
		x.digestBytes[i] = len(frame)
		m, used, err := planwire.Next(frame)
		if err != nil || used != len(frame) {
			t.Fatal(used, err)
		}
		if err := x.planner.Digest(x.now, *m.Digest); err != nil {
			t.Fatal(err)
		}
	}
	x.planner.Update(x.now)
	for i, f := range x.followers {
		v := x.planner.View(x.now, x.now, nodeName(i))
		frame, err := planwire.Append(nil, planwire.Message{View: &v})
		if err != nil {
			t.Fatal(err)
		}
		views = append(views, len(frame))
		m, _, err := planwire.Next(frame)
		if err != nil {
			t.Fatal(err)
		}
		if why, err := f.TakeView(x.now, *m.View, x.ready); why != follow.Accepted {
			t.Fatal(why, err)
		}
	}
	return views
}

// The sizes of whole digests and views are linear in the number of servers, to the byte, so that capacity figures may be scaled by
// the size: they follow from the protocol and not from a single run.
func TestWholeTalkGrowsLinearly(t *testing.T) {
	const each = 3 // keeps a server's counts equally long at each size
	sizes := []int{105, 210, 420}
	var digests, views []int
	for _, servers := range sizes {
		x := newWireFleet(Size{Nodes: 4, Servers: servers})
		var got []int
		for range 3 {
			got = x.exchangeWhole(t, each, -1)
		}
		for i := range x.collectors {
			if x.digestBytes[i] != x.digestBytes[0] || got[i] != got[0] {
				t.Errorf("%d servers: node %d sent %d bytes and received %d, the first node %d and %d", servers, i, x.digestBytes[i], got[i], x.digestBytes[0], got[0])
			}
		}
		digests, views = append(digests, x.digestBytes[0]), append(views, got[0])
	}
	// A server is encoded as a map of its id (22 bytes with its CBOR headers), three counts and a sketch; above 255 servers the
	// header of their array grows by a byte.
	for name, list := range map[string][]int{"digest": digests, "view": views} {
		per := (list[1] - list[0]) / (sizes[1] - sizes[0])
		if over := list[1] - list[0] - per*(sizes[1]-sizes[0]); over != 0 {
			t.Errorf("a %s grows by %d bytes per server with a remainder of %d, want 0", name, per, over)
		}
		if over := list[2] - list[1] - per*(sizes[2]-sizes[1]); over != 1 {
			t.Errorf("from 210 to 420 servers a %s grows by %d bytes per server with a remainder of %d, want 1", name, per, over)
		}
		t.Logf("%s: %v bytes at %v servers, %d per server", name, list, sizes, per)
	}
}

// exchangeChanges simulates a second in which each node makes attempts for the given number of requests, spread evenly over the
// servers, one of which (late) answers slowly, sends a brief digest and receives a change. It returns the sizes of the digests and
// changes in bytes, by node.
func (x *wireFleet) exchangeChanges(t *testing.T, requests, late int) (digests, changes []int) {
	t.Helper()
	x.now += time.Second
	holds := make([]plan.Hold, len(x.collectors))
	for i, g := range x.collectors {
		for s := range x.size.Servers {
			for range requests / x.size.Servers {
				g.Attempt(serverID(s), false, policy.OK, 2*time.Millisecond, s != late, false)
			}
		}
		hold := x.followers[i].Hold("p")
		frame, err := planwire.Append(nil, planwire.Message{Digest: g.Brief(g.Digest(x.now)), Hold: &hold})
		if err != nil {
			t.Fatal(err)
		}
		digests = append(digests, len(frame))
		m, used, err := planwire.Next(frame)
		if err != nil || used != len(frame) {
			t.Fatal(used, err)
		}
		if err := x.planner.Digest(x.now, *m.Digest); err != nil {
			t.Fatal(err)
		}
		holds[i] = *m.Hold
	}
	x.planner.Update(x.now)
	for i, f := range x.followers {
		c, _ := x.planner.Change(x.now, holds[i])
		raw, err := planwire.EncodeChange(c)
		if err != nil {
			t.Fatal(err)
		}
		frame, err := planwire.AppendChange(nil, raw)
		if err != nil {
			t.Fatal(err)
		}
		changes = append(changes, len(frame))
		m, used, err := planwire.Next(frame)
		if err != nil || used != len(frame) {
			t.Fatal(used, err)
		}
		if why, err := f.TakeChange(x.now, *m.Change, x.ready); why != follow.Accepted {
			t.Fatal(why, err)
		}
	}
	return digests, changes
}

// The sizes of brief digests and changes do not depend on the number of servers: without a fault and while one server is slow, a
// node with 840 requests a second sends and receives as many bytes with 105, 210 and 420 servers, but for longer numbers. All nodes
// hold the same factors at all times, and none below 1 a minute after the server has recovered.
func TestChangesDoNotGrow(t *testing.T) {
	const requests, longer = 840, 2 // longer: bytes by which the count of servers and the sums may grow
	type talk struct{ digest, change int }
	calm, jam := map[int]talk{}, map[int]talk{}
	sizes := []int{105, 210, 420}
	for _, servers := range sizes {
		x := newWireFleet(Size{Nodes: 5, Servers: servers})
		same := func(when string) {
			t.Helper()
			first, trust := x.followers[0].Now(x.now)
			if trust != 1 {
				t.Errorf("%d servers, %s: trust %v", servers, when, trust)
			}
			for i, f := range x.followers {
				if v, _ := f.Now(x.now); !slices.Equal(v.Servers, first.Servers) {
					t.Errorf("%d servers, %s: node %d holds %v, the first node %v", servers, when, i, v.Servers, first.Servers)
				}
			}
		}
		step := func(late int) (most talk) {
			t.Helper()
			digests, changes := x.exchangeChanges(t, requests, late)
			for i := range digests {
				most.digest, most.change = max(most.digest, digests[i]), max(most.change, changes[i])
			}
			same(fmt.Sprintf("server %d late", late))
			return most
		}
		for range 5 {
			calm[servers] = step(-1)
		}
		if v, _ := x.followers[0].Now(x.now); slices.ContainsFunc(v.Servers, func(s policy.ServerView) bool { return s.Factor < 1 }) {
			t.Errorf("%d servers: factors below 1 without a fault: %v", servers, v.Servers)
		}
		inForce := func() bool {
			v, _ := x.followers[0].Now(x.now)
			return slices.ContainsFunc(v.Servers, func(s policy.ServerView) bool { return s.ID == serverID(0) && s.Factor < 1 })
		}
		for k := 0; k < 10 && !inForce(); k++ {
			jam[servers] = step(0)
		}
		if !inForce() {
			t.Errorf("%d servers: after 10 s the factor of the slow server is not in force", servers)
		}
		for k := 0; k < 60 && inForce(); k++ {
			step(-1)
		}
		if v, _ := x.followers[0].Now(x.now); slices.ContainsFunc(v.Servers, func(s policy.ServerView) bool { return s.Factor < 1 }) {
			t.Errorf("%d servers: factors below 1 a minute after the server has recovered: %v", servers, v.Servers)
		}
	}
	t.Logf("calm %v, jam %v", calm, jam)
	for what, of := range map[string]map[int]talk{"calm": calm, "jam": jam} {
		for _, servers := range sizes[1:] {
			if d, c := of[servers].digest-of[sizes[0]].digest, of[servers].change-of[sizes[0]].change; d > longer || c > longer {
				t.Errorf("%s: from %d to %d servers a digest grows by %d bytes and a change by %d", what, sizes[0], servers, d, c)
			}
		}
	}
}

// The same seed draws the same load, another seed a different one; each server is drawn, and poisson has the requested mean.
func TestDraws(t *testing.T) {
	c := loadConfig{Seed: 7, Servers: 50, Keys: 5000, Zipf: 0.98, Offset: 5, Bad: 0.01, Misses: 0.05, Tenants: 2}
	a, b := newTables(c), newTables(c)
	if !slices.Equal(a.draws, b.draws) || a.latencies != b.latencies {
		t.Error("the same seed drew different loads")
	}
	c.Seed++
	if slices.Equal(a.draws, newTables(c).draws) {
		t.Error("two seeds drew the same load")
	}
	counts := make([]int, c.Servers)
	for _, d := range a.draws {
		counts[d.server]++
	}
	if least := slices.Min(counts); least == 0 {
		t.Error("a server is never drawn")
	}
	for _, mean := range []float64{0.4, 5, 168} {
		rng, sum, n := randomStream(1, "poisson"), 0, 20000
		for range n {
			sum += poisson(rng, mean)
		}
		if got := float64(sum) / float64(n); math.Abs(got-mean) > 5*math.Sqrt(mean/float64(n)) {
			t.Errorf("poisson with mean %v has the mean %v", mean, got)
		}
	}
}

// Fits yield a measure's exponent against its driver and mark super-linear growth.
func TestFits(t *testing.T) {
	r := &Result{Variants: []string{"v"}, Sizes: []Size{{400, 80, 6}, {475, 105, 842}, {950, 210, 842}, {1900, 420, 842}}}
	for _, s := range r.Sizes {
		n, m := float64(s.Nodes), float64(s.Servers)
		for name, v := range map[string]float64{"planner_cpu": 1e-6 * n * m, "node_bytes": 30 * m, "digest_bytes": 500, "in_force_last": 2, "planner_rss": 0} {
			r.Rows = append(r.Rows, Row{Size: s, Variant: "v", Phase: "calm", Measure: name, Value: v})
		}
	}
	got := map[string]Fit{}
	for _, f := range r.Fits() {
		got[f.Measure] = f
	}
	if len(got) != 3 { // no fits for measures without a driver or with a value of 0
		t.Errorf("fits: %v", got)
	}
	near := func(name string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	near("planner_cpu over nodes", got["planner_cpu"].Nodes, 2) // 2, as the servers grow with the nodes
	near("planner_cpu over both", got["planner_cpu"].Both, 1)
	near("node_bytes over servers", got["node_bytes"].Servers, 1)
	near("digest_bytes over servers", got["digest_bytes"].Servers, 0)
	if !got["planner_cpu"].SuperLinear || got["node_bytes"].SuperLinear || got["digest_bytes"].SuperLinear {
		t.Errorf("wrong measures marked as super-linear: %+v", got)
	}
	var text strings.Builder
	r.Text(&text)
	if !strings.Contains(text.String(), "1 of 3 figures grow super-linearly") || !strings.Contains(text.String(), "planner_cpu") {
		t.Error(text.String())
	}
}

// An invalid file or option is rejected with a one-line error, that of a file with file name, line and key.
func TestBadFiles(t *testing.T) {
	const good = "name = \"x\"\n[[size]]\nnodes = 4\nservers = 4\nrate = 1\n"
	for text, want := range map[string]string{
		"name = \"x\"\n":                                                         "x.toml: size: must be 1 to 16 tables",
		good + "servrs = 3\n":                                                    "x.toml:6: size.servrs: no such key",
		good + "[load]\nbad=2\n":                                                 "x.toml:7: load.bad: must be 0 to 1",
		"faults=[\"flood\"]\n" + good:                                            "x.toml:1: faults[1]: must be one of planner_kill,",
		good + "[[size]]\nnodes=5000\nservers=4\nrate=1\n":                       "x.toml:7: size[2].nodes: must be 1 to 4000",
		good + "[[variant]]\nname=\"a\"\ntalk=\"loud\"\n":                        "x.toml:8: variant[1].talk: must be whole or changes",
		good + "[[variant]]\nname=\"a\"\ntalk=\"whole\"\nplanner=\"/no/such\"\n": "x.toml:9: variant[1].planner: must be an executable program",
		good + "[phases]\nidle=\"5\"\n":                                          "x.toml:7: ",
		good + "[phases]\ncalm=\"1h\"\n":                                         "x.toml:7: phases.calm: must be 1s to 2m0s",
		good + "[planners]\nvalid=\"500ms\"\n":                                   "x.toml:7: planners.valid: must be twice every to 100s",
	} {
		_, err := decode("x.toml", []byte(text), Options{})
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	for _, o := range []Options{{Size: "3"}, {Size: "3x"}, {Size: "1x1"}, {Size: "9999x9"}, {Size: "4x4 "}, {Only: []string{"flood"}}} {
		if _, err := decode("x.toml", []byte(good), o); err == nil {
			t.Errorf("%+v was accepted", o)
		}
	}
}

// The project's own capacity experiments are valid and have enough sizes for fits.
func TestFiles(t *testing.T) {
	files, _ := filepath.Glob("../experiments/capacity/*.toml")
	if len(files) == 0 {
		t.Fatal("no files found")
	}
	for _, path := range files {
		f, err := Read(path, Options{})
		if err != nil {
			t.Error(err)
			continue
		}
		if len((&Result{Sizes: f.Sizes}).fitSizes()) < minFitSizes {
			t.Errorf("%s: fewer than %d sizes with the same rate", path, minFitSizes)
		}
	}
}

// A child process answers an unknown command with an error and goes on, and exits at the end of its input. Nodes without
// certificates and unknown roles are errors.
func TestChild(t *testing.T) {
	c, r, err := startChild([]string{os.Args[0]}, ListRole, listConfig{Servers: 2, Kind: "discovery"}, filepath.Join(t.TempDir(), "log"))
	if err != nil || r.Addr == "" {
		t.Fatal(r, err)
	}
	if _, err := c.call(command{Do: "dance"}); err == nil {
		t.Error("an unknown command was accepted")
	}
	if _, err := c.call(command{Do: "drain", Servers: []int{1}, On: true}); err != nil {
		t.Error(err)
	}
	c.stop()
	if !c.cmd.ProcessState.Success() {
		t.Error(c.cmd.ProcessState)
	}
	if _, _, err := startChild([]string{os.Args[0]}, NodesRole, hollowConfig{Count: 1, Load: loadConfig{Servers: 2, Keys: 1}, Keys: t.TempDir()}, filepath.Join(t.TempDir(), "log")); err == nil {
		t.Error("nodes started without certificates")
	}
	if err := Child("dancer", nil, nil); err == nil {
		t.Error("an unknown role was accepted")
	}
}

// The increase of a planner's counter over a fault depends on whether its process was restarted, not on which value is larger.
// Guards against a new process that has sent more whole states than its predecessor: the predecessor's count was subtracted.
func TestCountersOfANewProcess(t *testing.T) {
	sampleOf := func(lives int, value float64) plannerSample {
		return plannerSample{starts: lives, vars: map[string]float64{"states_total": value}}
	}
	for _, x := range []struct {
		before, after plannerSample
		more          float64
		known         bool
	}{
		{sampleOf(1, 400), sampleOf(1, 430), 30, true},
		{sampleOf(1, 400), sampleOf(2, 430), 430, true},
		{sampleOf(1, 400), sampleOf(2, 30), 30, true},
		{sampleOf(1, 400), sampleOf(3, 400), 400, true},
		{plannerSample{starts: 1}, sampleOf(2, 30), 30, true},
		{plannerSample{starts: 1}, sampleOf(1, 430), 0, false},
		{sampleOf(1, 400), plannerSample{starts: 1}, 0, false},
		{sampleOf(1, 400), sampleOf(1, 30), 0, false},
	} {
		if more, known := x.before.increase(x.after, "states_total"); more != x.more || known != x.known {
			t.Errorf("from %+v to %+v: %v, %v", x.before, x.after, more, known)
		}
	}
	p := &planner{program: "true", logPath: filepath.Join(t.TempDir(), "log")}
	for want := range 3 {
		if p.starts != want {
			t.Errorf("%d starts, want %d", p.starts, want)
		}
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
		p.kill()
	}
}

// Both planners grant sends to servers that start: a grant limits every node, and all grants together stay within what such a
// server can take. Guards against a phase that measures no grants.
func TestGrantsToAZoneThatStarts(t *testing.T) {
	b := startBench(t, smallFile(t, ""))
	if err := b.fault(t.Context(), ZoneCold); err != nil {
		t.Fatal(err)
	}
	value := func(measure string) float64 { return b.result.Value(b.size, b.variant.Name, ZoneCold, measure) }
	if got := value("bound_most"); got != float64(b.size.Nodes) {
		t.Errorf("grants limit %v of %d nodes", got, b.size.Nodes)
	}
	if got := value("granted_most"); !(got > 0 && got <= 1) {
		t.Errorf("granted %v of what a server can take, want above 0 and at most 1", got)
	}
	b.wait(t, "no node is limited by a grant any more", func(s *snapshot) bool {
		last := b.secondsBetween(time.Now().Add(-3*time.Second), time.Now())
		return len(last) > 0 && last[len(last)-1].BoundNodes == 0
	})
}
