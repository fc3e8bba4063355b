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
	readyWithin = 60 * time.Second
	pollEvery   = 500 * time.Millisecond
	keysFor     = 24 * time.Hour
	mostMemory  = 12 << 30    // of all processes of a run
	tellWithin  = time.Second // nodes tell of a second when it is over
)

// RunOptions say where a run's programs and files are.
type RunOptions struct {
	Program  string   // lapisshelf
	Self     []string // the command that plays a process of the lab's own, before the name of its part
	Dir      string   // for keys, configurations and logs
	Progress func(line string)
}

// Run goes through all sizes and variants of a file. What was measured so far comes back also with an error.
func Run(ctx context.Context, f *File, o RunOptions) (*Result, error) {
	r := &Result{Name: f.Name, File: f.path, Seed: f.Seed, Sizes: f.Sizes, Begun: time.Now()}
	for _, v := range f.Variants {
		r.Variants = append(r.Variants, v.Name)
	}
	most := slices.MaxFunc(f.Sizes, func(a, b Size) int { return a.Nodes - b.Nodes }).Nodes
	var err error
	if o.Dir, err = filepath.Abs(o.Dir); err != nil { // planners look for files beside theirs
		return r, err
	}
	dir, err := os.MkdirTemp(o.Dir, "keys-") // a folder that keeps runs may hold older ones
	if err != nil {
		return r, err
	}
	if err := makeKeys(dir, most, f.Planners.Count); err != nil {
		return r, err
	}
	for _, size := range f.Sizes {
		for _, v := range f.Variants {
			b := &bench{f: f, size: size, variant: v, o: o, keys: dir, result: r, dir: filepath.Join(o.Dir, size.String()+"-"+v.Name), seconds: map[int64]Second{}}
			err := b.play(ctx)
			b.close()
			if err != nil {
				return r, fmt.Errorf("%s %s: %w", size, v.Name, err)
			}
		}
	}
	return r, nil
}

// makeKeys makes one authority, and a certificate for each node and planner.
func makeKeys(dir string, nodes, planners int) error {
	if err := keys.MakeAuthority(dir, time.Now(), 2*keysFor); err != nil {
		return err
	}
	var wait sync.WaitGroup
	const hands = 2
	errs := make([]error, hands)
	for hand := range hands {
		wait.Go(func() {
			for i := hand; i < nodes && errs[hand] == nil; i += hands {
				errs[hand] = keys.Make(dir, nodeName(i), keys.Forwarder, time.Now(), keysFor, false)
			}
		})
	}
	wait.Wait()
	for i := range planners {
		if err := keys.Make(dir, plannerID(i), keys.Planner, time.Now(), keysFor, false); err != nil {
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

// bench is one size in one variant.
type bench struct {
	f       *File
	size    Size
	variant Variant
	o       RunOptions
	keys    string
	dir     string
	result  *Result
	list    *child
	listAt  string
	hollows []*child
	plans   []*planner
	seconds map[int64]Second
	stands  bool        // all nodes followed a view at the start
	rest    idleFigures // what all but the forwarders costs
}

// snapshot is what all processes say at a moment.
type snapshot struct {
	at       time.Time
	sample   // of all nodes
	planners []planned
	listCPU  time.Duration
	listRSS  int64
}

type planned struct {
	cpu   time.Duration
	rss   int64
	vars  map[string]float64
	lives int // processes so far
}

// grown is by how much a counter of a planner has grown, and whether that is known. A new process begins at none, also one
// that has counted further than the one before.
func (x planned) grown(to planned, counter string) (more float64, known bool) {
	value, known := to.vars[counter]
	if !known {
		return 0, false
	}
	was, is := x.vars[counter]
	switch {
	case to.lives != x.lives:
		return value, true
	case !is || value < was:
		return 0, false // it did not answer before
	}
	return value - was, true
}

func (b *bench) say(format string, args ...any) {
	if b.o.Progress != nil {
		b.o.Progress(fmt.Sprintf("%s %s: ", b.size, b.variant.Name) + fmt.Sprintf(format, args...))
	}
}

func (b *bench) row(phase, measure string, value float64) {
	b.result.Rows = append(b.result.Rows, Row{Size: b.size, Variant: b.variant.Name, Phase: phase, Measure: measure, Unit: units[measure], Value: value})
}

// open starts all processes. Nodes follow the list and talk to no planner yet.
func (b *bench) open() error {
	if err := os.MkdirAll(b.dir, 0o755); err != nil {
		return err
	}
	var r reply
	var err error
	if b.list, r, err = startChild(b.o.Self, ListRole, listConfig{Servers: b.size.Servers, Delay: b.f.List.Delay.D(), Kind: b.f.List.Kind}, filepath.Join(b.dir, "list.log")); err != nil {
		return err
	}
	b.listAt = r.Addr
	var promised []string
	for i := range b.f.Planners.Count {
		p := &planner{id: plannerID(i), program: b.o.Program}
		if b.variant.Planner != "" {
			p.program = b.variant.Planner
		}
		p.file, p.log = filepath.Join(b.dir, p.id+".toml"), filepath.Join(b.dir, p.id+".log")
		for _, to := range []*string{&p.addr, &p.control} {
			if *to, err = stage.FreeAddr("127.0.0.1", promised...); err != nil {
				return err
			}
			promised = append(promised, *to)
		}
		if err := os.WriteFile(p.file, []byte(b.plannerFile(p)), 0o600); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
		b.plans = append(b.plans, p)
	}
	for _, p := range b.plans {
		if err := b.ready(p); err != nil {
			return err
		}
	}
	for i := range b.f.Nodes.Processes {
		first, end := i*b.size.Nodes/b.f.Nodes.Processes, (i+1)*b.size.Nodes/b.f.Nodes.Processes
		if first == end {
			continue
		}
		cfg := hollowConfig{First: first, Count: end - first, Nodes: b.size.Nodes, Rate: b.size.Rate, Talk: b.variant.Talk, Keys: b.keys,
			Every: b.f.Nodes.Every.D(), Fade: b.f.Nodes.Fade.D(), List: b.listAt, Kind: b.f.List.Kind,
			Load: loadConfig{Seed: b.f.Seed, Servers: b.size.Servers, Keys: b.f.Load.Keys, Zipf: b.f.Load.Zipf, Offset: b.f.Load.Offset,
				Bad: b.f.Load.Bad, Misses: b.f.Load.Misses, Tenants: b.f.Load.Tenants}}
		for _, p := range b.plans {
			cfg.Planners = append(cfg.Planners, p.addr)
		}
		self := b.o.Self
		if b.variant.Nodes != "" {
			self = []string{b.variant.Nodes}
		}
		c, _, err := startChild(self, NodesRole, cfg, filepath.Join(b.dir, fmt.Sprintf("nodes-%d.log", i+1)))
		if err != nil {
			return err
		}
		b.hollows = append(b.hollows, c)
	}
	return nil
}

func (b *bench) close() {
	for _, c := range b.hollows {
		c.end()
	}
	for _, p := range b.plans {
		if p.cmd != nil {
			p.cmd.Process.Signal(syscall.SIGCONT)
		}
		p.kill()
	}
	b.list.end()
}

// plannerFile is a planner's operator's file.
func (b *bench) plannerFile(p *planner) string {
	var t strings.Builder
	fmt.Fprintf(&t, "[node]\ncontrol = %q\n", p.control)
	if b.f.List.Kind == "etcd" {
		fmt.Fprintf(&t, "[registry]\nkind = \"etcd\"\nprefix = %q\nendpoints = [%q]\n", listPrefix, b.listAt)
	} else {
		fmt.Fprintf(&t, "discovery = %q\n", b.listAt)
	}
	t.WriteString("[service]\nmode = \"aside\"\norigin_kind = \"origin\"\norigin_falls = true\nweighted = true\n")
	fmt.Fprintf(&t, "cold_from = %g\nwarm_up = %q\nfall_multiple = %d\nfall_window = %q\n", coldFrom, warmUp, fallMultiple, fallWindow)
	t.WriteString("[[class]]\nname = \"read\"\naim = \"600ms\"\ndeadline = \"3s\"\n")
	fmt.Fprintf(&t, "[planner]\nid = %q\nlisten = %q\nevery = %q\nvalid = %q\nlease = \"\"\n", p.id, p.addr, b.f.Planners.Every.D(), b.f.Planners.Valid.D())
	fmt.Fprintf(&t, "ca_file = %q\ncert_file = %q\nkey_file = %q\nsnapshot = %q\n", filepath.Join(b.keys, "ca.pem"), filepath.Join(b.keys, p.id+".pem"),
		filepath.Join(b.keys, p.id+".key"), filepath.Join(b.dir, p.id+".db"))
	return t.String()
}

// ready waits until a planner has the list.
func (b *bench) ready(p *planner) error {
	for end := time.Now().Add(readyWithin); stage.CallControl(p.control, "GET", "/_ready") != nil; time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.done:
			return fmt.Errorf("%s ended: %s", p.id, lastLine(p.log))
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready after %v: %s", p.id, readyWithin, lastLine(p.log))
		}
	}
	return nil
}

// tell tells all processes of nodes the same.
func (b *bench) tell(o order) ([]reply, error) {
	replies, errs := make([]reply, len(b.hollows)), make([]error, len(b.hollows))
	var wait sync.WaitGroup
	for i, c := range b.hollows {
		wait.Go(func() { replies[i], errs[i] = c.ask(o) })
	}
	wait.Wait()
	for i, err := range errs {
		if err != nil {
			return replies, fmt.Errorf("nodes %d: %s: %w", i+1, o.Do, err)
		}
	}
	return replies, nil
}

// look takes a snapshot; settled ones count memory without what nobody uses any more.
func (b *bench) look(settled bool) (*snapshot, error) {
	do := "sample"
	if settled {
		do = "settled"
	}
	replies, err := b.tell(order{Do: do})
	if err != nil {
		return nil, err
	}
	s := &snapshot{at: time.Now(), sample: sample{Low: map[string]int{}}, listCPU: processCPU(b.list.cmd.Process.Pid), listRSS: residentBytes(b.list.cmd.Process.Pid)}
	memory := s.listRSS
	for _, r := range replies {
		x := r.Sample
		s.BytesIn, s.BytesOut, s.Digests, s.Views, s.Errors = s.BytesIn+x.BytesIn, s.BytesOut+x.BytesOut, s.Digests+x.Digests, s.Views+x.Views, s.Errors+x.Errors
		s.Requests, s.Attempts, s.ListBytes, s.ListCalls = s.Requests+x.Requests, s.Attempts+x.Attempts, s.ListBytes+x.ListBytes, s.ListCalls+x.ListCalls
		s.Listed, s.CPU, s.Heap, s.RSS, s.Late, s.Led = s.Listed+x.Listed, s.CPU+x.CPU, s.Heap+x.Heap, s.RSS+x.RSS, max(s.Late, x.Late), s.Led+x.Led
		for id, n := range x.Low {
			s.Low[id] += n
		}
		for _, sec := range x.Seconds {
			b.seconds[sec.At] = b.seconds[sec.At].with(sec)
		}
	}
	memory += s.RSS
	for _, p := range b.plans {
		x := planned{cpu: p.spent, lives: p.lives}
		if p.cmd != nil {
			x.cpu, x.rss = p.spent+processCPU(p.cmd.Process.Pid), residentBytes(p.cmd.Process.Pid)
			x.vars = vars(p.control)
		}
		memory += x.rss
		s.planners = append(s.planners, x)
	}
	if memory > mostMemory {
		return nil, fmt.Errorf("%d MB in all processes, over %d", memory>>20, int64(mostMemory)>>20)
	}
	return s, nil
}

// with adds what other nodes saw in the same second.
func (s Second) with(o Second) Second {
	s.At, s.Nodes, s.In, s.Out, s.Digests, s.Views, s.Led, s.Low = o.At, s.Nodes+o.Nodes, s.In+o.In, s.Out+o.Out, s.Digests+o.Digests, s.Views+o.Views, s.Led+o.Led, s.Low+o.Low
	s.MostIn, s.MostOut, s.MostBoth = max(s.MostIn, o.MostIn), max(s.MostOut, o.MostOut), max(s.MostBoth, o.MostBoth)
	s.Bound += o.Bound
	if len(o.Granted) > 0 {
		sum := maps.Clone(o.Granted)
		for id, rate := range s.Granted {
			sum[id] += rate
		}
		s.Granted = sum
	}
	return s
}

const varsWithin = 2 * time.Second

// vars are a planner's own counters; none where it does not answer.
func vars(control string) map[string]float64 {
	client := http.Client{Timeout: varsWithin, Transport: &http.Transport{DisableKeepAlives: true}}
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

// until looks again and again until what is wanted holds, or the time is over; it tells how long that took.
func (b *bench) until(ctx context.Context, most time.Duration, holds func(*snapshot) bool) (took time.Duration, held bool, last *snapshot, err error) {
	begun := time.Now()
	for {
		if last, err = b.look(false); err != nil {
			return 0, false, last, err
		}
		if took = time.Since(begun); holds(last) {
			return took, true, last, nil
		}
		if took > most {
			return took, false, last, nil
		}
		if err = rest(ctx, pollEvery); err != nil {
			return took, false, last, err
		}
	}
}

func rest(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// settled is a fleet in which all nodes follow a valid view and no factor is below 1.
func (b *bench) settled(s *snapshot) bool { return s.Led == b.size.Nodes && len(s.Low) == 0 }

// play goes through the phases.
func (b *bench) play(ctx context.Context) error {
	b.say("starts")
	b.row("start", "machine_load", machineLoad())
	if err := b.open(); err != nil {
		return err
	}
	if _, held, s, err := b.until(ctx, readyWithin, func(s *snapshot) bool { return s.Listed == b.size.Nodes }); err != nil {
		return err
	} else if !held {
		return fmt.Errorf("%d of %d nodes have the list after %v", s.Listed, b.size.Nodes, readyWithin)
	}
	if _, err := b.tell(order{Do: "load", On: true}); err != nil {
		return err
	}
	idle, err := b.idle(ctx)
	if err != nil {
		return err
	}
	b.rest = idle
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
		if !b.stands {
			break // nothing can be told of how it settles
		}
		if err := b.fault(ctx, name); err != nil {
			return err
		}
	}
	return b.finish()
}

// window is what a span between two snapshots says.
type window struct {
	a, b    *snapshot
	seconds float64
}

func (b *bench) window(ctx context.Context, d time.Duration) (w window, err error) {
	if w.a, err = b.look(false); err != nil {
		return w, err
	}
	if err = rest(ctx, d); err != nil {
		return w, err
	}
	if w.b, err = b.look(false); err != nil {
		return w, err
	}
	w.seconds = w.b.at.Sub(w.a.at).Seconds()
	return w, nil
}

// idleFigures are what the load, the list and the decision modules cost without forwarders.
type idleFigures struct {
	cpu  float64 // cores, of all nodes
	heap int64
}

func (b *bench) idle(ctx context.Context) (i idleFigures, err error) {
	b.say("idle: forwarders off")
	if err = rest(ctx, b.f.Phases.Warm.D()); err != nil {
		return i, err
	}
	w, err := b.window(ctx, b.f.Phases.Idle.D())
	if err != nil {
		return i, err
	}
	i.cpu = (w.b.CPU - w.a.CPU).Seconds() / w.seconds
	s, err := b.look(true)
	if err != nil {
		return i, err
	}
	i.heap = s.Heap
	n := float64(b.size.Nodes)
	b.row("idle", "node_cpu_idle", 100*i.cpu/n)
	b.row("idle", "node_heap_rest", float64(i.heap)/n/1024)
	b.row("idle", "load_share", float64(w.b.Requests-w.a.Requests)/(w.seconds*b.size.Rate*n))
	b.row("idle", "list_bytes", float64(w.b.ListBytes-w.a.ListBytes)/w.seconds/n)
	b.row("idle", "list_calls", float64(w.b.ListCalls-w.a.ListCalls)/w.seconds/n)
	b.row("idle", "list_start_bytes", float64(w.a.ListBytes)/n)
	b.row("idle", "list_rss", float64(w.b.listRSS)/(1<<20))
	return i, nil
}

func (b *bench) calm(ctx context.Context, idle idleFigures) error {
	b.say("forwarders on")
	if _, err := b.tell(order{Do: "forward"}); err != nil {
		return err
	}
	took, held, s, err := b.until(ctx, readyWithin, b.settled)
	if err != nil {
		return err
	}
	if held {
		b.row("start", "followed_after", took.Seconds())
	} else {
		b.say("%d of %d nodes follow a view after %v, factors below 1 of %d servers: no faults are played", s.Led, b.size.Nodes, readyWithin, len(s.Low))
	}
	b.stands = held
	b.row("start", "unled_end", float64(b.size.Nodes-s.Led))
	if err := rest(ctx, 2*b.f.Phases.Warm.D()); err != nil {
		return err
	}
	b.say("calm")
	w, err := b.window(ctx, b.f.Phases.Calm.D())
	if err != nil {
		return err
	}
	n, sec := float64(b.size.Nodes), w.seconds
	in, out := float64(w.b.BytesIn-w.a.BytesIn), float64(w.b.BytesOut-w.a.BytesOut)
	digests, views := float64(w.b.Digests-w.a.Digests), float64(w.b.Views-w.a.Views)
	const phase = "calm"
	b.row(phase, "node_bytes_out", out/sec/n)
	b.row(phase, "node_bytes_in", in/sec/n)
	b.row(phase, "node_bytes", (in+out)/sec/n)
	b.row(phase, "node_messages_out", digests/sec/n)
	b.row(phase, "node_messages_in", views/sec/n)
	if digests > 0 && views > 0 {
		b.row(phase, "digest_bytes", out/digests)
		b.row(phase, "view_bytes", in/views)
	}
	b.row(phase, "node_cpu", 100*((w.b.CPU-w.a.CPU).Seconds()/sec-idle.cpu)/n)
	b.row(phase, "load_share", float64(w.b.Requests-w.a.Requests)/(sec*b.size.Rate*n))
	b.row(phase, "loop_late", w.b.Late.Seconds())
	cpu, taken, refused, rss, shared, told := 0.0, 0.0, 0.0, 0.0, 0.0, true
	for i := range b.plans {
		x, y := w.a.planners[i], w.b.planners[i]
		cpu += (y.cpu - x.cpu).Seconds() / sec
		told = told && x.vars != nil && y.vars != nil // one that is too busy answers its operators late
		taken += y.vars["digests_total"] - x.vars["digests_total"]
		refused += y.vars["digests_refused_total"] - x.vars["digests_refused_total"]
		rss += float64(y.rss)
		shared += y.vars["views_total"] + y.vars["changes_total"] - x.vars["views_total"] - x.vars["changes_total"]
	}
	k := float64(len(b.plans))
	b.row(phase, "planner_cpu", cpu/k)
	b.row(phase, "planner_rss", rss/k/(1<<20))
	if told {
		b.row(phase, "planner_messages_in", taken/k/sec)
		b.row(phase, "planner_messages_out", shared/k/sec)
		b.row(phase, "digests_taken", taken/max(1, digests))
		b.row(phase, "digests_refused", refused)
	}
	b.row(phase, "list_cpu", (w.b.listCPU-w.a.listCPU).Seconds()/sec)
	b.worst(phase, w.a.at, w.b.at)
	s, err = b.look(true)
	if err != nil {
		return err
	}
	b.row(phase, "node_heap", float64(s.Heap-idle.heap)/n/1024)
	b.row(phase, "node_rss", float64(s.RSS)/n/1024)
	return nil
}

// between gives the seconds of a span in order, the one in which it begins among them. Processes of nodes that were late to tell
// of one, in a storm, tell of it with the next: none of its bytes are left out.
func (b *bench) between(from, to time.Time) (list []Second) {
	for _, at := range slices.Sorted(maps.Keys(b.seconds)) {
		if s := b.seconds[at]; at >= from.Unix() && at < to.Unix() {
			list = append(list, s)
		}
	}
	return list
}

// worst tells the worst second of a span: of the mean node, and of any.
func (b *bench) worst(phase string, from, to time.Time) {
	var mean, any, unled, sum float64
	for _, s := range b.between(from, to) {
		mean = max(mean, float64(s.In+s.Out)/float64(b.size.Nodes))
		any = max(any, float64(s.MostBoth))
		unled = max(unled, float64(s.Nodes-s.Led))
		sum += float64(s.Nodes - s.Led)
	}
	b.row(phase, "worst_second_mean", mean)
	b.row(phase, "worst_second_any", any)
	b.row(phase, "unled_most", unled)
	b.row(phase, "unled_seconds", sum/float64(b.size.Nodes))
	for _, s := range b.between(from, to) {
		b.result.Seconds = append(b.result.Seconds, PhaseSecond{b.size, b.variant.Name, phase, s.At - from.Unix(), s})
	}
}

// watch begins to wait for a change of a server at all nodes.
func (b *bench) watch(server int) error {
	_, err := b.tell(order{Do: "watch", Server: serverID(server)})
	return err
}

// told writes when a change came into force, over the nodes; since is when it was made.
func (b *bench) told(phase string, since time.Time) error {
	replies, err := b.tell(order{Do: "stamps"})
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
	b.row(phase, "in_force_never", float64(missing))
	if len(times) == 0 {
		return nil
	}
	slices.Sort(times)
	at := func(part float64) float64 { return times[min(len(times)-1, int(part*float64(len(times))))] }
	b.row(phase, "in_force_first", times[0])
	b.row(phase, "in_force_median", at(0.5))
	b.row(phase, "in_force_p99", at(0.99))
	b.row(phase, "in_force_last", times[len(times)-1])
	return nil
}

// settle waits until all is well again, and tells how long that took.
func (b *bench) settle(ctx context.Context, phase string) error {
	took, held, s, err := b.until(ctx, b.f.Phases.Settle.D(), b.settled)
	if err != nil {
		return err
	}
	if held {
		b.row(phase, "settled_after", took.Seconds())
	}
	wrong := 0
	for _, n := range s.Low {
		wrong += n
	}
	b.row(phase, "wrong_factors", float64(wrong))
	b.row(phase, "unled_end", float64(b.size.Nodes-s.Led))
	return nil
}

// jam has a server answer late everywhere.
func (b *bench) jam(ctx context.Context, d time.Duration) error {
	b.say("jam: a server answers late")
	if err := b.watch(0); err != nil {
		return err
	}
	since := time.Now()
	if _, err := b.tell(order{Do: "late", Servers: []int{0}, On: true}); err != nil {
		return err
	}
	if err := rest(ctx, d); err != nil {
		return err
	}
	if err := b.told("jam", since); err != nil {
		return err
	}
	if _, err := b.tell(order{Do: "late", Servers: []int{0}}); err != nil {
		return err
	}
	err := b.settle(ctx, "jam")
	b.worst("jam", since, time.Now())
	return err
}

// drain has the list say that a server drains.
func (b *bench) drain(ctx context.Context, d time.Duration) error {
	b.say("drain: the list changes")
	if err := b.watch(1); err != nil {
		return err
	}
	since := time.Now()
	before, err := b.look(false)
	if err != nil {
		return err
	}
	if _, err := b.list.ask(order{Do: "drain", Servers: []int{1}, On: true}); err != nil {
		return err
	}
	if err := rest(ctx, d); err != nil {
		return err
	}
	after, err := b.look(false)
	if err != nil {
		return err
	}
	b.row("drain", "list_change_bytes", float64(after.ListBytes-before.ListBytes)/float64(b.size.Nodes))
	b.row("drain", "list_change_calls", float64(after.ListCalls-before.ListCalls)/float64(b.size.Nodes))
	if err := b.told("drain", since); err != nil {
		return err
	}
	if _, err := b.list.ask(order{Do: "drain", Servers: []int{1}}); err != nil {
		return err
	}
	if err := rest(ctx, b.f.List.Delay.D()+time.Second); err != nil {
		return err
	}
	err = b.settle(ctx, "drain")
	b.worst("drain", since, time.Now())
	return err
}

// fault goes through one fault: it begins, lasts, ends and settles.
func (b *bench) fault(ctx context.Context, name string) error {
	b.say("fault: %s", name)
	first := b.plans[0]
	var zone []int
	for i := range b.size.zone() {
		zone = append(zone, min(2, b.size.Servers-1)+i)
	}
	zone = slices.DeleteFunc(zone, func(i int) bool { return i >= b.size.Servers })
	one := func(o order) func() error {
		return func() error {
			_, err := b.tell(o)
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
		begin, end = one(order{Do: "cut", Planner: first.id, Addr: first.addr, On: true}), one(order{Do: "cut", Planner: first.id})
	case NodesTenth:
		begin = one(order{Do: "restart", Every: 10})
	case NodesAll:
		begin = one(order{Do: "restart", Every: 1})
	case ZoneLost:
		begin, end = one(order{Do: "down", Servers: zone, On: true}), one(order{Do: "down", Servers: zone})
	case ZoneCold:
		begin = func() error {
			_, err := b.list.ask(order{Do: "start", Servers: zone})
			return err
		}
		end = func() error { return rest(ctx, warmUp-b.f.Phases.Fault.D()+b.f.List.Delay.D()+time.Second) }
	default:
		return fmt.Errorf("unknown fault %q", name)
	}
	since := time.Now()
	before, err := b.look(false)
	if err != nil {
		return err
	}
	if err := begin(); err != nil {
		return err
	}
	if end != nil {
		if err := rest(ctx, b.f.Phases.Fault.D()); err != nil {
			return err
		}
		if err := end(); err != nil {
			return err
		}
	}
	if name == PlannerKill || name == PlannerCut || name == NodesAll || name == NodesTenth {
		took, held, _, err := b.until(ctx, b.f.Phases.Settle.D(), func(s *snapshot) bool {
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
		if held {
			b.row(name, "connected_after", took.Seconds())
		}
	}
	if err := b.settle(ctx, name); err != nil {
		return err
	}
	if err := rest(ctx, tellWithin); err != nil { // the last second is to be told, too
		return err
	}
	after, err := b.look(false)
	if err != nil {
		return err
	}
	n := float64(b.size.Nodes)
	b.row(name, "node_fault_bytes", float64(after.BytesIn+after.BytesOut-before.BytesIn-before.BytesOut)/n/1024)
	b.row(name, "list_fault_bytes", float64(after.ListBytes-before.ListBytes)/n/1024)
	sec := after.at.Sub(before.at).Seconds()
	if name == ZoneCold {
		b.grants(name, since, len(zone), float64(after.Requests-before.Requests)/sec)
	}
	b.row(name, "fault_seconds", sec)
	b.row(name, "node_cpu", 100*((after.CPU-before.CPU).Seconds()/sec-b.rest.cpu)/n)
	cpu := 0.0
	for i := range b.plans {
		cpu += (after.planners[i].cpu - before.planners[i].cpu).Seconds() / sec
	}
	b.row(name, "planner_cpu", cpu/float64(len(b.plans)))
	for _, pair := range [][2]string{{"states_sent", "states_total"}, {"states_paced", "states_paced_total"}, {"doubts", "doubts_total"}} {
		measure, counter := pair[0], pair[1]
		sum, known := 0.0, true // of all planners, or it is not told
		for i := range b.plans {
			more, is := before.planners[i].grown(after.planners[i], counter)
			sum, known = sum+more, known && is
		}
		if known {
			b.row(name, measure, sum)
		}
	}
	b.worst(name, since, time.Now())
	return nil
}

// grants tells what all nodes together were granted to servers that started then, at so many requests a second: as part of what
// the rule lets a server bear at that moment (N), of which the planners share out half.
func (b *bench) grants(phase string, since time.Time, cold int, requests float64) {
	most, bound := 0.0, 0
	for _, s := range b.between(since, time.Now()) {
		bound = max(bound, s.Bound)
		age := time.Unix(s.At+1, 0).Sub(since)
		warm := coldFrom + (1-coldFrom)*min(1, max(0, age.Seconds()/warmUp.Seconds()))
		budget := fallMultiple * requests * (1 - b.f.Load.Bad) * warm / (float64(b.size.Servers-cold) + float64(cold)*warm)
		for _, rate := range s.Granted {
			most = max(most, rate/budget)
		}
	}
	b.row(phase, "granted_most", most)
	b.row(phase, "bound_most", float64(bound))
}

// finish tells what stands at the end.
func (b *bench) finish() error {
	s, err := b.look(false)
	if err != nil {
		return err
	}
	wrong := 0
	for _, n := range s.Low {
		wrong += n
	}
	b.row("end", "wrong_factors", float64(wrong))
	b.row("end", "unled_end", float64(b.size.Nodes-s.Led))
	rss := 0.0
	for _, p := range s.planners {
		rss += float64(p.rss)
	}
	b.row("end", "planner_rss", rss/float64(len(s.planners))/(1<<20))
	b.row("end", "node_rss", float64(s.RSS)/float64(b.size.Nodes)/1024)
	b.say("done")
	return nil
}

// machineLoad is the system's own mean of the last minute: how many threads ran or wanted to.
func machineLoad() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}
