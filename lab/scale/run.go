package scale

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lapisshelf/internal/keys"
	"lapisshelf/lab/stage"
)

const (
	readyTimeout = 60 * time.Second
	pollInterval = 500 * time.Millisecond
	keyValidity  = 24 * time.Hour
	maxMemory    = 12 << 30    // of all processes of a run together
	reportDelay  = time.Second // nodes report a second once it is over
)

// RunOptions name the programs and directories of a run.
type RunOptions struct {
	Program     string            // path of lapisshelf
	SelfCommand []string          // command that runs a child process of the lab; the role is appended
	Dir         string            // for keys, configurations and logs
	Progress    func(line string) // may be nil
}

// Run measures all sizes and variants of a file. On an error it also returns what it has measured so far.
func Run(ctx context.Context, f *File, o RunOptions) (*Result, error) {
	r := &Result{Name: f.Name, File: f.path, Seed: f.Seed, Sizes: f.Sizes, StartedAt: time.Now()}
	for _, v := range f.Variants {
		r.Variants = append(r.Variants, v.Name)
	}
	maxNodes := slices.MaxFunc(f.Sizes, func(a, b Size) int { return a.Nodes - b.Nodes }).Nodes
	var err error
	if o.Dir, err = filepath.Abs(o.Dir); err != nil { // planners resolve paths relative to their own file
		return r, err
	}
	dir, err := os.MkdirTemp(o.Dir, "keys-") // a directory in use for earlier runs may hold older keys
	if err != nil {
		return r, err
	}
	if err := makeKeys(dir, maxNodes, f.Planners.Count); err != nil {
		return r, err
	}
	for _, size := range f.Sizes {
		for _, v := range f.Variants {
			b := &bench{f: f, size: size, variant: v, opt: o, keyDir: dir, result: r, dir: filepath.Join(o.Dir, size.String()+"-"+v.Name), seconds: map[int64]Second{}}
			err := b.run(ctx)
			b.close()
			if err != nil {
				return r, fmt.Errorf("%s %s: %w", size, v.Name, err)
			}
		}
	}
	return r, nil
}

// makeKeys creates a certificate authority, and a certificate for each node and planner.
func makeKeys(dir string, nodes, planners int) error {
	if err := keys.CreateAuthority(dir, time.Now(), 2*keyValidity); err != nil {
		return err
	}
	var wait sync.WaitGroup
	const workers = 2
	errs := make([]error, workers)
	for worker := range workers {
		wait.Go(func() {
			for i := worker; i < nodes && errs[worker] == nil; i += workers {
				errs[worker] = keys.Issue(dir, nodeName(i), keys.Forwarder, time.Now(), keyValidity, false)
			}
		})
	}
	wait.Wait()
	for i := range planners {
		if err := keys.Issue(dir, plannerID(i), keys.Planner, time.Now(), keyValidity, false); err != nil {
			return err
		}
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func plannerID(i int) string { return fmt.Sprintf("planner-%d", i+1) }

// bench measures one size in one variant.
type bench struct {
	f              *File
	size           Size
	variant        Variant
	opt            RunOptions
	keyDir         string
	dir            string
	result         *Result
	listService    *child
	listAddr       string
	nodeProcesses  []*child
	planners       []*planner
	seconds        map[int64]Second
	settledAtStart bool     // the fleet settled after the forwarders' start
	idleCost       idleCost // of everything but the forwarders
}

// snapshot holds the counters of all processes at one time.
type snapshot struct {
	at       time.Time
	sample   // of all nodes
	planners []plannerSample
	listCPU  time.Duration
	listRSS  int64
}

// plannerSample holds the counters of one planner.
type plannerSample struct {
	cpu    time.Duration
	rss    int64
	vars   map[string]float64
	starts int // processes started so far
}

// increase returns by how much a planner's counter has grown, and whether that is known. A new process counts from 0, and may have
// counted further than its predecessor, so that the number of starts decides and not the values.
func (x plannerSample) increase(later plannerSample, counter string) (grown float64, known bool) {
	value, known := later.vars[counter]
	if !known {
		return 0, false
	}
	was, counted := x.vars[counter]
	switch {
	case later.starts != x.starts:
		return value, true
	case !counted || value < was:
		return 0, false // no earlier value is known, or it is higher within one process
	}
	return value - was, true
}

// progress reports a line of progress.
func (b *bench) progress(format string, args ...any) {
	if b.opt.Progress != nil {
		b.opt.Progress(fmt.Sprintf("%s %s: ", b.size, b.variant.Name) + fmt.Sprintf(format, args...))
	}
}

// addRow adds a figure to the result.
func (b *bench) addRow(phase, measure string, value float64) {
	b.result.Rows = append(b.result.Rows, Row{Size: b.size, Variant: b.variant.Name, Phase: phase, Measure: measure, Unit: units[measure], Value: value})
}

// start starts all processes. The nodes follow the list, but do not connect to planners yet.
func (b *bench) start() error {
	if err := os.MkdirAll(b.dir, 0o755); err != nil {
		return err
	}
	var r reply
	var err error
	if b.listService, r, err = startChild(b.opt.SelfCommand, ListRole, listConfig{Servers: b.size.Servers, Delay: b.f.List.Delay.D(), Kind: b.f.List.Kind}, filepath.Join(b.dir, "list.log")); err != nil {
		return err
	}
	b.listAddr = r.Addr
	var taken []string
	for i := range b.f.Planners.Count {
		p := &planner{id: plannerID(i), program: b.opt.Program}
		if b.variant.Planner != "" {
			p.program = b.variant.Planner
		}
		p.configPath, p.logPath = filepath.Join(b.dir, p.id+".toml"), filepath.Join(b.dir, p.id+".log")
		for _, to := range []*string{&p.addr, &p.control} {
			if *to, err = stage.FreeAddr("127.0.0.1", taken...); err != nil {
				return err
			}
			taken = append(taken, *to)
		}
		if err := os.WriteFile(p.configPath, []byte(b.plannerConfig(p)), 0o600); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
		b.planners = append(b.planners, p)
	}
	for _, p := range b.planners {
		if err := b.waitReady(p); err != nil {
			return err
		}
	}
	for i := range b.f.Nodes.Processes {
		first, end := i*b.size.Nodes/b.f.Nodes.Processes, (i+1)*b.size.Nodes/b.f.Nodes.Processes
		if first == end {
			continue
		}
		cfg := hollowConfig{First: first, Count: end - first, Nodes: b.size.Nodes, Rate: b.size.Rate, Talk: b.variant.Talk, Keys: b.keyDir,
			Every: b.f.Nodes.Every.D(), Fade: b.f.Nodes.Fade.D(), List: b.listAddr, Kind: b.f.List.Kind,
			Load: loadConfig{Seed: b.f.Seed, Servers: b.size.Servers, Keys: b.f.Load.Keys, Zipf: b.f.Load.Zipf, Offset: b.f.Load.Offset,
				Bad: b.f.Load.Bad, Misses: b.f.Load.Misses, Tenants: b.f.Load.Tenants}}
		for _, p := range b.planners {
			cfg.Planners = append(cfg.Planners, p.addr)
		}
		nodesCommand := b.opt.SelfCommand
		if b.variant.Nodes != "" {
			nodesCommand = []string{b.variant.Nodes}
		}
		c, _, err := startChild(nodesCommand, NodesRole, cfg, filepath.Join(b.dir, fmt.Sprintf("nodes-%d.log", i+1)))
		if err != nil {
			return err
		}
		b.nodeProcesses = append(b.nodeProcesses, c)
	}
	return nil
}

func (b *bench) close() {
	for _, c := range b.nodeProcesses {
		c.stop()
	}
	for _, p := range b.planners {
		if p.cmd != nil {
			p.cmd.Process.Signal(syscall.SIGCONT)
		}
		p.kill()
	}
	b.listService.stop()
}

// plannerConfig returns the text of a planner's configuration file.
func (b *bench) plannerConfig(p *planner) string {
	var t strings.Builder
	fmt.Fprintf(&t, "[node]\ncontrol = %q\n", p.control)
	if b.f.List.Kind == "etcd" {
		fmt.Fprintf(&t, "[registry]\nkind = \"etcd\"\nprefix = %q\nendpoints = [%q]\n", listPrefix, b.listAddr)
	} else {
		fmt.Fprintf(&t, "discovery = %q\n", b.listAddr)
	}
	t.WriteString("[service]\nmode = \"aside\"\norigin_kind = \"origin\"\norigin_falls = true\nweighted = true\n")
	fmt.Fprintf(&t, "cold_from = %g\nwarm_up = %q\nfall_multiple = %d\nfall_window = %q\n", coldFrom, warmUp, fallMultiple, fallWindow)
	t.WriteString("[[class]]\nname = \"read\"\naim = \"600ms\"\ndeadline = \"3s\"\n")
	fmt.Fprintf(&t, "[planner]\nid = %q\nlisten = %q\nevery = %q\nvalid = %q\nlease = \"\"\n", p.id, p.addr, b.f.Planners.Every.D(), b.f.Planners.Valid.D())
	fmt.Fprintf(&t, "ca_file = %q\ncert_file = %q\nkey_file = %q\nsnapshot = %q\n", filepath.Join(b.keyDir, "ca.pem"), filepath.Join(b.keyDir, p.id+".pem"),
		filepath.Join(b.keyDir, p.id+".key"), filepath.Join(b.dir, p.id+".db"))
	return t.String()
}

// waitReady waits until a planner has the server list.
func (b *bench) waitReady(p *planner) error {
	for end := time.Now().Add(readyTimeout); stage.CallControl(p.control, "GET", "/_ready") != nil; time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.done:
			return fmt.Errorf("%s exited: %s", p.id, lastLine(p.logPath))
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready after %v: %s", p.id, readyTimeout, lastLine(p.logPath))
		}
	}
	return nil
}

// broadcast sends a command to all processes of nodes and returns their replies.
func (b *bench) broadcast(o command) ([]reply, error) {
	replies, errs := make([]reply, len(b.nodeProcesses)), make([]error, len(b.nodeProcesses))
	var wait sync.WaitGroup
	for i, c := range b.nodeProcesses {
		wait.Go(func() { replies[i], errs[i] = c.call(o) })
	}
	wait.Wait()
	for i, err := range errs {
		if err != nil {
			return replies, fmt.Errorf("nodes %d: %s: %w", i+1, o.Do, err)
		}
	}
	return replies, nil
}

// takeSnapshot reads the counters of all processes. If settled is set, the nodes' live memory is measured too.
func (b *bench) takeSnapshot(settled bool) (*snapshot, error) {
	do := "sample"
	if settled {
		do = "settled"
	}
	replies, err := b.broadcast(command{Do: do})
	if err != nil {
		return nil, err
	}
	s := &snapshot{at: time.Now(), sample: sample{LowFactors: map[string]int{}}, listCPU: processCPU(b.listService.cmd.Process.Pid), listRSS: residentBytes(b.listService.cmd.Process.Pid)}
	memory := s.listRSS
	for _, r := range replies {
		x := r.Sample
		s.BytesIn, s.BytesOut, s.Digests, s.Views, s.Errors = s.BytesIn+x.BytesIn, s.BytesOut+x.BytesOut, s.Digests+x.Digests, s.Views+x.Views, s.Errors+x.Errors
		s.Requests, s.Attempts, s.ListBytes, s.ListCalls = s.Requests+x.Requests, s.Attempts+x.Attempts, s.ListBytes+x.ListBytes, s.ListCalls+x.ListCalls
		s.Listed, s.CPU, s.Heap, s.RSS, s.MaxTimerDelay, s.Following = s.Listed+x.Listed, s.CPU+x.CPU, s.Heap+x.Heap, s.RSS+x.RSS, max(s.MaxTimerDelay, x.MaxTimerDelay), s.Following+x.Following
		for id, n := range x.LowFactors {
			s.LowFactors[id] += n
		}
		for _, sec := range x.Seconds {
			b.seconds[sec.At] = b.seconds[sec.At].plus(sec)
		}
	}
	memory += s.RSS
	for _, p := range b.planners {
		x := plannerSample{cpu: p.endedCPU, starts: p.starts}
		if p.cmd != nil {
			x.cpu, x.rss = p.endedCPU+processCPU(p.cmd.Process.Pid), residentBytes(p.cmd.Process.Pid)
			x.vars = plannerVars(p.control)
		}
		memory += x.rss
		s.planners = append(s.planners, x)
	}
	if memory > maxMemory {
		return nil, fmt.Errorf("all processes use %d MB of memory, more than the limit of %d MB", memory>>20, int64(maxMemory)>>20)
	}
	return s, nil
}

// plus returns the totals of two groups of nodes in the same second.
func (s Second) plus(o Second) Second {
	s.At, s.Nodes, s.In, s.Out, s.Digests, s.Views, s.Following, s.LowFactors = o.At, s.Nodes+o.Nodes, s.In+o.In, s.Out+o.Out, s.Digests+o.Digests, s.Views+o.Views, s.Following+o.Following, s.LowFactors+o.LowFactors
	s.MostIn, s.MostOut, s.MostBoth = max(s.MostIn, o.MostIn), max(s.MostOut, o.MostOut), max(s.MostBoth, o.MostBoth)
	s.BoundNodes += o.BoundNodes
	if len(o.Granted) > 0 {
		sum := maps.Clone(o.Granted)
		for id, rate := range s.Granted {
			sum[id] += rate
		}
		s.Granted = sum
	}
	return s
}

const varsTimeout = 2 * time.Second

// plannerVars returns a planner's own counters, or nil if it does not answer.
func plannerVars(control string) map[string]float64 {
	client := http.Client{Timeout: varsTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + control + "/_vars")
	if err != nil {
		return nil
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, 1<<20))
	out := map[string]float64{}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, ok := strings.Cut(line, " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[strings.TrimPrefix(name, "app_planner_")] = v
		}
	}
	return out
}

// poll takes snapshots until one meets the condition or the timeout is over. It returns the time that this took, whether the
// condition was met, and the last snapshot.
func (b *bench) poll(ctx context.Context, timeout time.Duration, condition func(*snapshot) bool) (elapsed time.Duration, met bool, last *snapshot, err error) {
	begun := time.Now()
	for {
		if last, err = b.takeSnapshot(false); err != nil {
			return 0, false, last, err
		}
		if elapsed = time.Since(begun); condition(last) {
			return elapsed, true, last, nil
		}
		if elapsed > timeout {
			return elapsed, false, last, nil
		}
		if err = sleep(ctx, pollInterval); err != nil {
			return elapsed, false, last, err
		}
	}
}

// sleep waits for d, or until the context is done.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// settled reports whether all nodes follow a valid view and no factor is below 1.
func (b *bench) settled(s *snapshot) bool {
	return s.Following == b.size.Nodes && len(s.LowFactors) == 0
}

// run starts the processes and goes through all phases.
func (b *bench) run(ctx context.Context) error {
	b.progress("starting")
	b.addRow("start", "machine_load", machineLoad())
	if err := b.start(); err != nil {
		return err
	}
	if _, met, s, err := b.poll(ctx, readyTimeout, func(s *snapshot) bool { return s.Listed == b.size.Nodes }); err != nil {
		return err
	} else if !met {
		return fmt.Errorf("%d of %d nodes have the server list after %v", s.Listed, b.size.Nodes, readyTimeout)
	}
	if _, err := b.broadcast(command{Do: "load", On: true}); err != nil {
		return err
	}
	idle, err := b.idle(ctx)
	if err != nil {
		return err
	}
	b.idleCost = idle
	if err := b.calm(ctx, idle); err != nil {
		return err
	}
	if d := b.f.Phases.Jam.D(); d > 0 {
		if err := b.jam(ctx, d); err != nil {
			return err
		}
	}
	if d := b.f.Phases.Drain.D(); d > 0 {
		if err := b.drain(ctx, d); err != nil {
			return err
		}
	}
	for _, name := range b.f.Faults {
		if !b.settledAtStart {
			break // how a fleet settles after a fault cannot be measured
		}
		if err := b.fault(ctx, name); err != nil {
			return err
		}
	}
	return b.finish()
}

// window is the time between two snapshots.
type window struct {
	a, b    *snapshot
	seconds float64
}

// window takes snapshots before and after a time d.
func (b *bench) window(ctx context.Context, d time.Duration) (w window, err error) {
	if w.a, err = b.takeSnapshot(false); err != nil {
		return w, err
	}
	if err = sleep(ctx, d); err != nil {
		return w, err
	}
	if w.b, err = b.takeSnapshot(false); err != nil {
		return w, err
	}
	w.seconds = w.b.at.Sub(w.a.at).Seconds()
	return w, nil
}

// idleCost is the cost of the load, the list clients and the decision modules without forwarders.
type idleCost struct {
	cpu  float64 // cores, of all nodes
	heap int64   // bytes, of all nodes
}

// idle measures the cost of the nodes with the forwarders off.
func (b *bench) idle(ctx context.Context) (i idleCost, err error) {
	b.progress("idle: forwarders off")
	if err = sleep(ctx, b.f.Phases.Warm.D()); err != nil {
		return i, err
	}
	w, err := b.window(ctx, b.f.Phases.Idle.D())
	if err != nil {
		return i, err
	}
	i.cpu = (w.b.CPU - w.a.CPU).Seconds() / w.seconds
	s, err := b.takeSnapshot(true)
	if err != nil {
		return i, err
	}
	i.heap = s.Heap
	n := float64(b.size.Nodes)
	b.addRow("idle", "node_cpu_idle", 100*i.cpu/n)
	b.addRow("idle", "node_heap_rest", float64(i.heap)/n/1024)
	b.addRow("idle", "load_share", float64(w.b.Requests-w.a.Requests)/(w.seconds*b.size.Rate*n))
	b.addRow("idle", "list_bytes", float64(w.b.ListBytes-w.a.ListBytes)/w.seconds/n)
	b.addRow("idle", "list_calls", float64(w.b.ListCalls-w.a.ListCalls)/w.seconds/n)
	b.addRow("idle", "list_start_bytes", float64(w.a.ListBytes)/n)
	b.addRow("idle", "list_rss", float64(w.b.listRSS)/(1<<20))
	return i, nil
}

// calm starts the forwarders and measures the fleet without a fault.
func (b *bench) calm(ctx context.Context, idle idleCost) error {
	b.progress("forwarders on")
	if _, err := b.broadcast(command{Do: "forward"}); err != nil {
		return err
	}
	elapsed, met, s, err := b.poll(ctx, readyTimeout, b.settled)
	if err != nil {
		return err
	}
	if met {
		b.addRow("start", "followed_after", elapsed.Seconds())
	} else {
		b.progress("%d of %d nodes follow a view after %v, and %d servers have factors below 1: skipping the faults", s.Following, b.size.Nodes, readyTimeout, len(s.LowFactors))
	}
	b.settledAtStart = met
	b.addRow("start", "unled_end", float64(b.size.Nodes-s.Following))
	if err := sleep(ctx, 2*b.f.Phases.Warm.D()); err != nil {
		return err
	}
	b.progress("calm")
	w, err := b.window(ctx, b.f.Phases.Calm.D())
	if err != nil {
		return err
	}
	n, sec := float64(b.size.Nodes), w.seconds
	in, out := float64(w.b.BytesIn-w.a.BytesIn), float64(w.b.BytesOut-w.a.BytesOut)
	digests, views := float64(w.b.Digests-w.a.Digests), float64(w.b.Views-w.a.Views)
	const phase = "calm"
	b.addRow(phase, "node_bytes_out", out/sec/n)
	b.addRow(phase, "node_bytes_in", in/sec/n)
	b.addRow(phase, "node_bytes", (in+out)/sec/n)
	b.addRow(phase, "node_messages_out", digests/sec/n)
	b.addRow(phase, "node_messages_in", views/sec/n)
	if digests > 0 && views > 0 {
		b.addRow(phase, "digest_bytes", out/digests)
		b.addRow(phase, "view_bytes", in/views)
	}
	b.addRow(phase, "node_cpu", 100*((w.b.CPU-w.a.CPU).Seconds()/sec-idle.cpu)/n)
	b.addRow(phase, "load_share", float64(w.b.Requests-w.a.Requests)/(sec*b.size.Rate*n))
	b.addRow(phase, "loop_late", w.b.MaxTimerDelay.Seconds())
	cpu, received, refused, rss, sent, known := 0.0, 0.0, 0.0, 0.0, 0.0, true
	for i := range b.planners {
		before, after := w.a.planners[i], w.b.planners[i]
		cpu += (after.cpu - before.cpu).Seconds() / sec
		known = known && before.vars != nil && after.vars != nil // a busy planner may not answer in time
		received += after.vars["digests_total"] - before.vars["digests_total"]
		refused += after.vars["digests_refused_total"] - before.vars["digests_refused_total"]
		rss += float64(after.rss)
		sent += after.vars["views_total"] + after.vars["changes_total"] - before.vars["views_total"] - before.vars["changes_total"]
	}
	planners := float64(len(b.planners))
	b.addRow(phase, "planner_cpu", cpu/planners)
	b.addRow(phase, "planner_rss", rss/planners/(1<<20))
	if known {
		b.addRow(phase, "planner_messages_in", received/planners/sec)
		b.addRow(phase, "planner_messages_out", sent/planners/sec)
		b.addRow(phase, "digests_taken", received/max(1, digests))
		b.addRow(phase, "digests_refused", refused)
	}
	b.addRow(phase, "list_cpu", (w.b.listCPU-w.a.listCPU).Seconds()/sec)
	b.recordWorstSecond(phase, w.a.at, w.b.at)
	s, err = b.takeSnapshot(true)
	if err != nil {
		return err
	}
	b.addRow(phase, "node_heap", float64(s.Heap-idle.heap)/n/1024)
	b.addRow(phase, "node_rss", float64(s.RSS)/n/1024)
	return nil
}

// secondsBetween returns the seconds of a span in order, including the one in which it begins. A process of nodes that is late to
// report a second under load reports it with the next one, so that no bytes are left out.
func (b *bench) secondsBetween(from, to time.Time) (list []Second) {
	for _, at := range slices.Sorted(maps.Keys(b.seconds)) {
		if s := b.seconds[at]; at >= from.Unix() && at < to.Unix() {
			list = append(list, s)
		}
	}
	return list
}

// recordWorstSecond records the worst second of a span, over the mean of the nodes and over single nodes, and adds all its seconds
// to the result.
func (b *bench) recordWorstSecond(phase string, from, to time.Time) {
	var maxMean, maxNode, maxUnled, unledSum float64
	for _, s := range b.secondsBetween(from, to) {
		maxMean = max(maxMean, float64(s.In+s.Out)/float64(b.size.Nodes))
		maxNode = max(maxNode, float64(s.MostBoth))
		maxUnled = max(maxUnled, float64(s.Nodes-s.Following))
		unledSum += float64(s.Nodes - s.Following)
	}
	b.addRow(phase, "worst_second_mean", maxMean)
	b.addRow(phase, "worst_second_any", maxNode)
	b.addRow(phase, "unled_most", maxUnled)
	b.addRow(phase, "unled_seconds", unledSum/float64(b.size.Nodes))
	for _, s := range b.secondsBetween(from, to) {
		b.result.Seconds = append(b.result.Seconds, PhaseSecond{b.size, b.variant.Name, phase, s.At - from.Unix(), s})
	}
}

// watch has all nodes record when the next change of a server is in force.
func (b *bench) watch(server int) error {
	_, err := b.broadcast(command{Do: "watch", Server: serverID(server)})
	return err
}

// recordInForce records how long after since the watched change was in force, over the nodes.
func (b *bench) recordInForce(phase string, since time.Time) error {
	replies, err := b.broadcast(command{Do: "stamps"})
	if err != nil {
		return err
	}
	var times []float64
	missing := 0
	for _, r := range replies {
		for _, at := range r.Stamps {
			if at == 0 {
				missing++
			} else {
				times = append(times, time.Unix(0, at).Sub(since).Seconds())
			}
		}
	}
	b.addRow(phase, "in_force_never", float64(missing))
	if len(times) == 0 {
		return nil
	}
	slices.Sort(times)
	at := func(part float64) float64 { return times[min(len(times)-1, int(part*float64(len(times))))] }
	b.addRow(phase, "in_force_first", times[0])
	b.addRow(phase, "in_force_median", at(0.5))
	b.addRow(phase, "in_force_p99", at(0.99))
	b.addRow(phase, "in_force_last", times[len(times)-1])
	return nil
}

// settle waits until the fleet has settled and records how long that took.
func (b *bench) settle(ctx context.Context, phase string) error {
	elapsed, met, s, err := b.poll(ctx, b.f.Phases.Settle.D(), b.settled)
	if err != nil {
		return err
	}
	if met {
		b.addRow(phase, "settled_after", elapsed.Seconds())
	}
	wrongFactors := 0
	for _, n := range s.LowFactors {
		wrongFactors += n
	}
	b.addRow(phase, "wrong_factors", float64(wrongFactors))
	b.addRow(phase, "unled_end", float64(b.size.Nodes-s.Following))
	return nil
}

// jam has one server answer slowly to all nodes.
func (b *bench) jam(ctx context.Context, d time.Duration) error {
	b.progress("jam: a server answers slowly")
	if err := b.watch(0); err != nil {
		return err
	}
	since := time.Now()
	if _, err := b.broadcast(command{Do: "late", Servers: []int{0}, On: true}); err != nil {
		return err
	}
	if err := sleep(ctx, d); err != nil {
		return err
	}
	if err := b.recordInForce("jam", since); err != nil {
		return err
	}
	if _, err := b.broadcast(command{Do: "late", Servers: []int{0}}); err != nil {
		return err
	}
	err := b.settle(ctx, "jam")
	b.recordWorstSecond("jam", since, time.Now())
	return err
}

// drain has the list report that a server drains.
func (b *bench) drain(ctx context.Context, d time.Duration) error {
	b.progress("drain: the list changes")
	if err := b.watch(1); err != nil {
		return err
	}
	since := time.Now()
	before, err := b.takeSnapshot(false)
	if err != nil {
		return err
	}
	if _, err := b.listService.call(command{Do: "drain", Servers: []int{1}, On: true}); err != nil {
		return err
	}
	if err := sleep(ctx, d); err != nil {
		return err
	}
	after, err := b.takeSnapshot(false)
	if err != nil {
		return err
	}
	b.addRow("drain", "list_change_bytes", float64(after.ListBytes-before.ListBytes)/float64(b.size.Nodes))
	b.addRow("drain", "list_change_calls", float64(after.ListCalls-before.ListCalls)/float64(b.size.Nodes))
	if err := b.recordInForce("drain", since); err != nil {
		return err
	}
	if _, err := b.listService.call(command{Do: "drain", Servers: []int{1}}); err != nil {
		return err
	}
	if err := sleep(ctx, b.f.List.Delay.D()+time.Second); err != nil {
		return err
	}
	err = b.settle(ctx, "drain")
	b.recordWorstSecond("drain", since, time.Now())
	return err
}

// fault applies and lifts one fault and waits until the fleet has settled.
func (b *bench) fault(ctx context.Context, name string) error {
	b.progress("fault: %s", name)
	first := b.planners[0]
	var zone []int
	for i := range b.size.zoneServers() {
		zone = append(zone, min(2, b.size.Servers-1)+i)
	}
	zone = slices.DeleteFunc(zone, func(i int) bool { return i >= b.size.Servers })
	broadcast := func(o command) func() error {
		return func() error {
			_, err := b.broadcast(o)
			return err
		}
	}
	var begin, end func() error
	switch name {
	case PlannerKill:
		begin = func() error { first.kill(); return nil }
		end = first.start
	case PlannerFreeze:
		begin = func() error { return first.cmd.Process.Signal(syscall.SIGSTOP) }
		end = func() error { return first.cmd.Process.Signal(syscall.SIGCONT) }
	case PlannerCut:
		begin, end = broadcast(command{Do: "cut", Planner: first.id, Addr: first.addr, On: true}), broadcast(command{Do: "cut", Planner: first.id})
	case NodesTenth:
		begin = broadcast(command{Do: "restart", Every: 10})
	case NodesAll:
		begin = broadcast(command{Do: "restart", Every: 1})
	case ZoneLost:
		begin, end = broadcast(command{Do: "down", Servers: zone, On: true}), broadcast(command{Do: "down", Servers: zone})
	case ZoneCold:
		begin = func() error {
			_, err := b.listService.call(command{Do: "start", Servers: zone})
			return err
		}
		end = func() error { return sleep(ctx, warmUp-b.f.Phases.Fault.D()+b.f.List.Delay.D()+time.Second) }
	default:
		return fmt.Errorf("unknown fault %q", name)
	}
	since := time.Now()
	before, err := b.takeSnapshot(false)
	if err != nil {
		return err
	}
	if err := begin(); err != nil {
		return err
	}
	if end != nil {
		if err := sleep(ctx, b.f.Phases.Fault.D()); err != nil {
			return err
		}
		if err := end(); err != nil {
			return err
		}
	}
	if name == PlannerKill || name == PlannerCut || name == NodesAll || name == NodesTenth {
		elapsed, met, _, err := b.poll(ctx, b.f.Phases.Settle.D(), func(s *snapshot) bool {
			for _, p := range s.planners {
				if p.vars["connections"] < float64(b.size.Nodes) {
					return false
				}
			}
			return true
		})
		if err != nil {
			return err
		}
		if met {
			b.addRow(name, "connected_after", elapsed.Seconds())
		}
	}
	if err := b.settle(ctx, name); err != nil {
		return err
	}
	if err := sleep(ctx, reportDelay); err != nil { // so that the last second is reported, too
		return err
	}
	after, err := b.takeSnapshot(false)
	if err != nil {
		return err
	}
	n := float64(b.size.Nodes)
	b.addRow(name, "node_fault_bytes", float64(after.BytesIn+after.BytesOut-before.BytesIn-before.BytesOut)/n/1024)
	b.addRow(name, "list_fault_bytes", float64(after.ListBytes-before.ListBytes)/n/1024)
	sec := after.at.Sub(before.at).Seconds()
	if name == ZoneCold {
		b.recordGrants(name, since, len(zone), float64(after.Requests-before.Requests)/sec)
	}
	b.addRow(name, "fault_seconds", sec)
	b.addRow(name, "node_cpu", 100*((after.CPU-before.CPU).Seconds()/sec-b.idleCost.cpu)/n)
	cpu := 0.0
	for i := range b.planners {
		cpu += (after.planners[i].cpu - before.planners[i].cpu).Seconds() / sec
	}
	b.addRow(name, "planner_cpu", cpu/float64(len(b.planners)))
	for _, pair := range [][2]string{{"states_sent", "states_total"}, {"states_paced", "states_paced_total"}, {"doubts", "doubts_total"}} {
		measure, counter := pair[0], pair[1]
		sum, known := 0.0, true // the sum is recorded only if the counter of each planner is known
		for i := range b.planners {
			grown, ok := before.planners[i].increase(after.planners[i], counter)
			sum, known = sum+grown, known && ok
		}
		if known {
			b.addRow(name, measure, sum)
		}
	}
	b.recordWorstSecond(name, since, time.Now())
	return nil
}

// recordGrants records the maximum of what all nodes together were granted to send to servers that started at since, while the
// fleet serves the given requests per second. It is relative to N, what the warm-up rule lets such a server take at that time; the
// planners grant half of N.
func (b *bench) recordGrants(phase string, since time.Time, coldServers int, requests float64) {
	maxGranted, maxBound := 0.0, 0
	for _, s := range b.secondsBetween(since, time.Now()) {
		maxBound = max(maxBound, s.BoundNodes)
		age := time.Unix(s.At+1, 0).Sub(since)
		warm := coldFrom + (1-coldFrom)*min(1, max(0, age.Seconds()/warmUp.Seconds()))
		budget := fallMultiple * requests * (1 - b.f.Load.Bad) * warm / (float64(b.size.Servers-coldServers) + float64(coldServers)*warm)
		for _, rate := range s.Granted {
			maxGranted = max(maxGranted, rate/budget)
		}
	}
	b.addRow(phase, "granted_most", maxGranted)
	b.addRow(phase, "bound_most", float64(maxBound))
}

// finish records the state at the end of the run.
func (b *bench) finish() error {
	s, err := b.takeSnapshot(false)
	if err != nil {
		return err
	}
	wrongFactors := 0
	for _, n := range s.LowFactors {
		wrongFactors += n
	}
	b.addRow("end", "wrong_factors", float64(wrongFactors))
	b.addRow("end", "unled_end", float64(b.size.Nodes-s.Following))
	rss := 0.0
	for _, p := range s.planners {
		rss += float64(p.rss)
	}
	b.addRow("end", "planner_rss", rss/float64(len(s.planners))/(1<<20))
	b.addRow("end", "node_rss", float64(s.RSS)/float64(b.size.Nodes)/1024)
	b.progress("done")
	return nil
}

// machineLoad returns the system's load average of the last minute, 0 if unknown.
func machineLoad() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}
