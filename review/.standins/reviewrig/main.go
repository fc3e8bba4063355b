// Command reviewrig plays the cases of review/: it starts the built node as a process of its own, stands in for clients, cache
// servers, the origin and discovery on loopback addresses, and judges what clients and servers saw.
//
//	reviewrig CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/standin"
	"lapisshelf/lab/world"
)

// errCannotRun marks an error of the rig: it says nothing about the node.
var errCannotRun = errors.New("the case could not run")

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// seed returns the seed of the run: SEED, or 1.
func seed() uint64 {
	n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return n
}

// cases maps the names of the cases, and of further probes that REPORT.md names, to what plays them. The result is the number of requests for which the rule was broken.
var cases = map[string]func(r *rig) (broken int, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewrig CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	r := &rig{start: time.Now(), record: bufio.NewWriter(file), dir: dir, rng: rand.New(rand.NewPCG(seed(), 43))}
	defer r.record.Flush()
	defer r.stopNode()
	guard := time.AfterFunc(110*time.Second, func() {
		r.note("result: could not run: it took too long")
		r.stopNode()
		r.mu.Lock()
		r.record.Flush()
		os.RemoveAll(dir)
		os.Exit(2)
	})
	defer guard.Stop()
	r.note("case %s trouble=%t seed=%d", name, trouble(), seed())
	broken, err := cases[name](r)
	r.stopNode()
	status := 0
	switch {
	case err != nil:
		r.note("result: could not run: %v", err)
		status = 2
	case broken > 0:
		r.note("result: the rule was broken %d times", broken)
		status = 1
	default:
		r.note("result: the rule held")
	}
	fmt.Println(r.last)
	return status
}

// rig holds what one run has started.
type rig struct {
	start  time.Time
	mu     sync.Mutex
	record *bufio.Writer
	last   string
	dir    string
	rng    *rand.Rand // used by one goroutine only
	node   *exec.Cmd
	listen string
}

// now is the time since the start of the run.
func (r *rig) now() time.Duration { return time.Since(r.start) }

// note writes a line to the record, with the time since the start.
func (r *rig) note(format string, args ...any) {
	at := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = fmt.Sprintf(format, args...)
	fmt.Fprintf(r.record, "%9.4f %s\n", at.Seconds(), r.last)
}

// class returns a class of the settings. Times are in milliseconds.
func class(name, effect string, aim, deadline, window int64) map[string]any {
	ms := int64(time.Millisecond)
	return map[string]any{"Name": name, "Effect": effect, "DedupScope": "all", "Aim": aim * ms, "Deadline": deadline * ms, "KeyTtl": window * ms, "Worth": 1}
}

// site is what differs between the settings of the deployments, as their site files have it.
type site struct {
	mode                                                 string // of membership
	attempts, streams                                    int
	parallel                                             bool
	drainGrace, warmUp, fall, idle, connect, advice, ask time.Duration
	coldFrom, multiple, originFalls                      float64
	classes                                              []any
}

// The deployments, each with one node here.
var (
	burnie = site{mode: "automatic", attempts: 5, streams: 1, parallel: true, drainGrace: 500 * time.Millisecond, warmUp: 24 * time.Second,
		fall: 3 * time.Second, idle: 30 * time.Second, connect: 250 * time.Millisecond, advice: 2 * time.Second, coldFrom: 0.15, multiple: 2.5, originFalls: 3,
		classes: []any{class("latest-price", "retryable", 750, 2500, 0), class("price-history", "retryable", 1000, 2000, 0), class("price-correction", "dedup", 1200, 2500, 5000)}}
	kyushu = site{mode: "subscribe", attempts: 6, streams: 32, drainGrace: time.Second, warmUp: 8800 * time.Millisecond,
		fall: time.Second, idle: time.Minute, connect: 250 * time.Millisecond, advice: 2 * time.Second, ask: 4 * time.Second, coldFrom: 0.32, multiple: 3,
		classes: []any{class("read-level", "retryable", 1500, 6000, 0), class("send-alert", "fragile", 2500, 6000, 0), class("ack-warning", "dedup", 1500, 3000, 6000)}}
	launceston = site{mode: "subscribe", attempts: 6, streams: 128, drainGrace: 400 * time.Millisecond, warmUp: 24 * time.Second,
		fall: 1500 * time.Millisecond, idle: 30 * time.Second, connect: 150 * time.Millisecond, advice: 1200 * time.Millisecond, ask: 4 * time.Second, coldFrom: 0.13, multiple: 3,
		classes: []any{class("price-read", "retryable", 600, 2500, 0), class("price-pin", "dedup", 300, 600, 1200)}}
)

// settings returns the settings object of a deployment.
func (s site) settings() map[string]any {
	return map[string]any{
		"Balancers": 1, "Position": 0, "Tick": int64(5 * time.Millisecond), "Weights": "nominal",
		"MembershipMode": s.mode, "Models": []string{"m2", "origin"}, "Classes": s.classes,
		"FamilyInfo": map[string]any{"Mode": "aside", "OriginKind": 1, "OriginFallMultiple": s.originFalls},
		"Guarantees": map[string]any{"AskWithin": int64(s.ask), "WarmUp": int64(s.warmUp), "OverloadFor": int64(s.fall),
			"DrainGrace": int64(s.drainGrace), "ColdFrom": s.coldFrom, "FallMultiple": s.multiple},
		"Limits": map[string]any{"Cancel": true, "ParallelTries": s.parallel, "SendCap": s.attempts, "StreamsPerConn": s.streams, "MostHeld": 20000,
			"RetryAfter": true, "MaxRetryAfter": int64(s.advice), "ConnIdle": int64(s.idle), "ConnectTimeout": int64(s.connect)},
	}
}

// startList starts discovery with a list of servers, all serving for long, and returns its address.
func (r *rig) startList(members ...world.Member) (string, error) {
	l, err := standin.NewList(standin.NewCommon(seen.NewLog(), seed(), nil), standin.ListOptions{Addr: "127.0.0.1:0", Nodes: 1}, members...)
	if err != nil {
		return "", err
	}
	return l.Addr(0), nil
}

// startCache starts a cache server that answers each command with script.
func (r *rig) startCache(script standin.Script) (string, error) {
	c, err := standin.NewCache(standin.NewCommon(seen.NewLog(), seed(), nil), standin.CacheOptions{Addr: "127.0.0.1:0", Script: script})
	if err != nil {
		return "", err
	}
	return c.Addr(), nil
}

// opaque returns the O flag of a command.
func opaque(line string) string {
	for _, w := range strings.Fields(line) {
		if w[0] == 'O' {
			return w
		}
	}
	return "O"
}

// field returns a field of a list of names and values.
func field(info, name string) string {
	for pair := range strings.SplitSeq(info, ",") {
		if k, v, ok := strings.Cut(pair, "="); ok && k == name {
			return v
		}
	}
	return ""
}

// member returns an entry of the list.
func member(id, addr, kind string) world.Member {
	return world.Member{ID: id, Addr: addr, Zone: "a", Kind: kind, Weight: 1}
}

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startNode starts the node and waits until it answers mn with MN.
func (r *rig) startNode(discovery string, memoryMB, sockets int, s site) (err error) {
	if r.listen, err = freeAddr(); err != nil {
		return err
	}
	config := map[string]any{"name": "n1", "listen": r.listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", seed()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known":    map[string]any{"revision": 0, "complete": true, "members": []any{}},
		"settings": s.settings()}
	if err := r.launch(config); err != nil {
		return err
	}
	for range 200 {
		if conn, err := net.Dial("tcp", r.listen); err == nil {
			conn.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprint(conn, "mn\r\n")
			line, _ := bufio.NewReader(conn).ReadString('\n')
			conn.Close()
			if line == "MN\r\n" {
				r.note("node ready, limits memory_mb=%d sockets=%d", memoryMB, sockets)
				return nil
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
	return fmt.Errorf("%w: the node is not ready", errCannotRun)
}

// launch starts the node's process with the command of the deploy file.
func (r *rig) launch(config map[string]any) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	path, tmp := filepath.Join(r.dir, "config.json"), filepath.Join(r.dir, "tmp")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return err
	}
	logFile, err := os.Create(r.logPath())
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", "-c", "exec bin/lapisshelf") // run, as in the deploy file
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, "TMPDIR="+tmp)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.node = cmd
	r.mu.Unlock()
	return nil
}

// logPath is where the node's log goes.
func (r *rig) logPath() string { return filepath.Join(r.dir, "node.log") }

// stopNode ends the node's process and copies its log to the record.
func (r *rig) stopNode() {
	r.mu.Lock()
	cmd := r.node
	r.node = nil
	r.mu.Unlock()
	if cmd == nil {
		return
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if strings.HasPrefix(line, "VmHWM:") {
			r.note("node's peak memory: %s", strings.Join(strings.Fields(line)[1:], " "))
		}
	}
	cmd.Process.Signal(syscall.SIGUSR1)
	time.Sleep(100 * time.Millisecond)
	cmd.Process.Kill()
	cmd.Wait()
	text, _ := os.ReadFile(r.logPath())
	for line := range strings.Lines(string(text)) {
		if _, after, ok := strings.Cut(line, "event="); ok && !strings.HasPrefix(after, "start") {
			r.note("node's log: event=%s", strings.TrimSpace(after))
		}
	}
}
