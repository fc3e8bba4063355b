package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lapisshelf/lab/judge"
	"lapisshelf/lab/report"
)

const interruptTimeout = 90 * time.Second

var (
	binDir     string // holds the built programs
	moduleRoot string // root folder of the module
	runSlots   = make(chan bool, 4)
)

func TestMain(m *testing.M) {
	testscript.Main(suite{m}, map[string]func(){"lapislab": func() { os.Exit(run(os.Args[1:])) }})
}

// suite builds the programs before the tests. The subprocesses that are commands of scripts do without them.
type suite struct{ m *testing.M }

func (t suite) Run() int {
	dir, err := os.MkdirTemp("", "lapislab-test")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
	if moduleRoot, err = filepath.Abs("../.."); err != nil {
		panic(err)
	}
	for _, name := range []string{"lapislab", "lapisshelf"} {
		if out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), "lapisshelf/cmd/"+name).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "building %s: %v\n%s", name, err, out)
			return 1
		}
	}
	return t.m.Run()
}

// The scripts in testdata check the output and status of the command line, for valid and invalid arguments and files.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(e *testscript.Env) error {
		e.Setenv("ROOT", moduleRoot)
		e.Setenv("NODE", filepath.Join(binDir, "lapisshelf"))
		return nil
	}, Cmds: map[string]func(*testscript.TestScript, bool, []string){"play": playCommand}})
}

const (
	maxAttempts   = 12          // runs of an experiment, as long as they are void because the lab was late
	minTimeForRun = time.Minute // left until the deadline of the tests, for another run to start
)

// playCommand is the command play of the scripts: exec lapislab, repeated while the run is void. It keeps scripts from failing
// because the machine was busy.
func playCommand(ts *testscript.TestScript, neg bool, args []string) {
	var err error
	for range maxAttempts {
		var exit *exec.ExitError
		if err = ts.Exec("lapislab", args...); !errors.As(err, &exit) || exit.ExitCode() != statusVoid {
			break
		}
	}
	if neg != (err != nil) {
		ts.Fatalf("lapislab %s: %v", strings.Join(args, " "), err)
	}
}

// judgedRun runs an experiment with the built program until the run is not void, and returns its report.
func judgedRun(t *testing.T, file string, args ...string) *report.Run {
	t.Helper()
	runSlots <- true
	defer func() { <-runSlots }()
	to := filepath.Join(t.TempDir(), "report.json")
	for range maxAttempts {
		if end, ok := t.Deadline(); ok && time.Until(end) < minTimeForRun {
			break
		}
		cmd := exec.Command(filepath.Join(binDir, "lapislab"), append([]string{"run", file, "--json", to, "--quiet"}, args...)...)
		out, err := cmd.CombinedOutput()
		text, bad := os.ReadFile(to)
		var r report.Run
		if bad != nil || json.Unmarshal(text, &r) != nil {
			t.Fatalf("%v: %s", err, out)
		}
		if r.Verdict == report.Void {
			t.Logf("void, running again: %s", r.Lab.VoidReason)
			continue
		}
		if code := cmd.ProcessState.ExitCode(); code != map[string]int{report.Holds: 0, report.FallsShort: statusFallsShort}[r.Verdict] {
			t.Errorf("status %d with the verdict %s", code, r.Verdict)
		}
		if t.Failed() || testing.Verbose() {
			t.Logf("%s", out)
		}
		return &r
	}
	t.Fatal("no run could be judged: the machine is too busy")
	return nil
}

// All experiments of the repository hold in their short form.
func TestExperiments(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(moduleRoot, "lab", "experiments", "*.toml"))
	if err != nil || len(files) < 10 {
		t.Fatalf("%d experiments, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
			t.Parallel()
			if r := judgedRun(t, file, "--short"); r.Verdict != report.Holds {
				for _, b := range r.Violations {
					t.Logf("%s\n  %s", b.Summary(), strings.Join(b.Timeline, "\n  "))
				}
				t.Errorf("%s: %q", r.Verdict, r.Shortfalls)
			}
		})
	}
}

const plantedClasses = `
[[class]]
name = "read"
share = 0.7
work = "5ms"
size = 300
aim = "300ms"
deadline = "900ms"
[[class]]
name = "put"
effect = "keyed"
window = "60ms"
share = 0.15
write = true
aim = "300ms"
deadline = "900ms"
[[class]]
name = "pay"
effect = "unsafe"
share = 0.15
write = true
aim = "300ms"
deadline = "900ms"
[fleet]
count = 4
cores = 1
`

// Each mistake that is planted in a copy of the node is reported as a breach of its rule and kind, and the same run with the unchanged
// node keeps the rules. Guards against a judge that misses breaches or reports false ones.
func TestPlantedMistakes(t *testing.T) {
	const calm = "[clients]\nrate = 150\n"
	const spoilt = calm + "[origin]\nwork = \"100ms\"\ncores = 40\nfall_multiple = 0\n[[fault]]\nkind = \"origin_garble\"\nat = \"10%\"\npart = 0.4\n"
	const drain = calm + "[[fault]]\nkind = \"drain\"\nat = \"20%\"\nservers = [\"c2\"]\n"
	const banned = calm + "[[fault]]\nkind = \"detach\"\nat = \"20%\"\nservers = [\"c2\"]\n"
	const lame = calm + "[[fault]]\nkind = \"lameduck\"\nat = \"10%\"\nnodes = [1]\n"
	const cold = "[clients]\nrate = 500\nkeys = 300\n[service]\nfall_multiple = 0.6\nfall_window = \"500ms\"\nwarm_up = \"20s\"\ncold_from = 0.1\n" +
		"[[fault]]\nkind = \"crash\"\nat = \"20%\"\nfor = \"20%\"\nservers = [\"c1\"]\n"
	var clean sync.Map // runs of the unchanged node, by experiment
	for _, c := range []struct {
		name, file, from, to, with, rule, what string
	}{
		{"an answer twice", "internal/node/connection.go", "	c.conn.WriteOwned(k.answer)\n",
			"	c.conn.Write(k.answer)\n	if k.id != \"\" && k.id[0] == '7' {\n		c.conn.Write(k.answer)\n	}\n", calm, "one_answer", "twice"},
		{"no answer", "internal/node/node.go", "	n.stopClock(c)\n	c.answer = text\n",
			"	n.stopClock(c)\n	if c.id != \"\" && c.id[0] == '7' {\n		return\n	}\n	c.answer = text\n", calm, "one_answer", "lost"},
		{"a value cut short", "internal/node/node.go", "text := meta.AppendValue(make([]byte, 0, len(a.value)+len(id)+24), id, a.value)",
			"text := meta.AppendValue(nil, id, a.value[:len(a.value)-min(len(a.value), int(c.id[0]&1)*290)])", calm, "one_answer", "wrong_value"},
		{"another id goes on", "internal/meta/meta.go", "	buf = append(buf, c.Line[:c.InfoOffset]...)",
			"	buf = append(buf, bytes.Replace(c.Line[:c.InfoOffset], []byte(\" O7\"), []byte(\" O8\"), 1)...)", calm, "one_answer", "altered"},
		{"sent after the answer", "internal/node/node.go", "	c := t.request\n	c.openAttempts--\n", "	c := t.request\n	c.openAttempts--\n" +
			"	if x := *c; x.id[0] == '7' && t.number < 9 && a.outcome == policy.OK && x.command.Kind == meta.Get {\n		x.openAttempts, x.answered, x.deadline, x.attemptsUntil = 9, false, n.loop.Now()+9*time.Second, n.loop.Now()+9*time.Second\n" +
			"		n.loop.After(150*time.Millisecond, func() { t.pool.send(&attempt{request: &x, number: 9, pool: t.pool, startedAt: n.loop.Now()}, time.Second) })\n	}\n",
			calm, "one_answer", "sent_after_end"},
		{"a keyed repeat past its window", "decide/safety/safety.go", "	case e.Age >= window-StallAllowance:\n		return WindowExpired\n", "", spoilt, "no_double", "past_window"},
		{"an unsafe repeat", "decide/safety/safety.go", "		return MayHaveRun\n", "		return Allowed\n", spoilt,
			"no_double", "repeat_may_run"},
		{"and the effects of it", "decide/safety/safety.go", "		return MayHaveRun\n", "		return Allowed\n", spoilt,
			"no_double", "doubled_effect"},
		{"a refusal that is not true", "policy/policy.go", "return r.class.Effect == Safe || !slices", "return true || !slices", spoilt, "no_double", "false_refusal"},
		{"two attempts at once", "internal/node/pool.go", "		l.closeAndFail()\n	}\n	p.node.attemptFinished(t, end)\n",
			"	}\n	p.node.attemptFinished(t, end)\n", calm + "[[fault]]\nkind = \"hang\"\nat = \"10%\"\nservers = [\"c1\"]\n", "no_double", "two_at_once"},
		{"a send after the drain's grace", "internal/registry/entry.go", `"DRAINING": policy.Draining`, `"DRAINING": policy.Ready`, drain, "drains", "sent_to_drained"},
		{"a ban that is only said", "internal/node/operate.go", "	n.guard(\"ban\", func() { n.policy.Ban(n.loop.Now(), id, on) })\n", "", banned, "drains", "sent_to_banned"},
		{"a drain that keeps its clients", "internal/node/operate.go", "		n.clients.drain(false)\n", "", lame, "one_answer", "not_drained"},
		{"a drain that is not told", "internal/node/commands.go", "		case n.draining:\n", "		case false:\n", lame, "one_answer", "not_drained"},
		{"a burst at a cold cache", "policy/policy.go", "	age := b.now - s.warmingSince\n	if s.warmingSince == 0 || age >= b.set.WarmUp {",
			"	age := b.now - s.warmingSince\n	if s.warmingSince == 0 || age >= 0 {", cold, "cold", "cold_pushed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			file, length := filepath.Join(dir, "x.toml"), "length = \"3s\"\n"
			if c.with == lame { // the check of a lame duck follows four seconds after the call
				length = "length = \"7s\"\n"
			}
			if err := os.WriteFile(file, []byte(length+plantedClasses+c.with), 0o600); err != nil {
				t.Fatal(err)
			}
			once, _ := clean.LoadOrStore(c.with, sync.OnceFunc(func() {
				if r := judgedRun(t, file); len(r.Violations) > 0 {
					t.Errorf("breach without the mistake: %s", r.Violations[0].Summary())
				}
			}))
			once.(func())()
			r := judgedRun(t, file, "--node", buildPlanted(t, dir, c.file, c.from, c.to))
			if !slices.ContainsFunc(r.Violations, func(b judge.Violation) bool { return b.Rule == c.rule && b.Kind == c.what }) || r.Verdict != report.FallsShort {
				t.Errorf("mistake not found: %s, %v", r.Verdict, r.ViolationCounts)
			}
		})
	}
}

// buildPlanted builds a copy of the node with a replacement in one file. It fails unless the replaced text occurs exactly once.
func buildPlanted(t *testing.T, dir, file, from, to string) string {
	t.Helper()
	path := filepath.Join(moduleRoot, file)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(text), from) != 1 {
		t.Fatalf("%s does not have exactly one occurrence of %q", file, from)
	}
	changed := filepath.Join(dir, "changed.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), from, to, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "overlay.json"), overlay, 0o600); err != nil {
		t.Fatal(err)
	}
	built := filepath.Join(dir, "lapisshelf")
	if out, err := exec.Command("go", "build", "-overlay", filepath.Join(dir, "overlay.json"), "-o", built, "lapisshelf/cmd/lapisshelf").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return built
}

// An interrupted run ends all its processes and prints the report so far.
func TestInterrupted(t *testing.T) {
	cmd := exec.Command(filepath.Join(binDir, "lapislab"), "run", filepath.Join(moduleRoot, "lab", "experiments", "calm.toml"), "--length", "60s")
	var out strings.Builder
	cmd.Stdout = &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	children := childrenOf(cmd.Process.Pid)
	cmd.Process.Signal(syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case <-done:
	case <-time.After(interruptTimeout):
		cmd.Process.Kill()
		t.Fatal("lapislab does not exit after SIGINT")
	}
	if code := cmd.ProcessState.ExitCode(); code != statusInterrupted {
		t.Errorf("status %d", code)
	}
	if !strings.Contains(out.String(), "calm: cut") || !strings.Contains(out.String(), "service  1.0") {
		t.Errorf("unexpected output %q", out.String())
	}
	if len(children) != 2 {
		t.Errorf("%d nodes were running, want 2", len(children))
	}
	for _, pid := range children {
		if syscall.Kill(pid, 0) == nil {
			t.Errorf("the node with pid %d still runs", pid)
		}
	}
}

// childrenOf returns the ids of the child processes of a process.
func childrenOf(pid int) (all []int) {
	lists, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	for _, path := range lists {
		text, _ := os.ReadFile(path)
		for _, word := range strings.Fields(string(text)) {
			var child int
			fmt.Sscan(word, &child)
			all = append(all, child)
		}
	}
	return all
}
