package stage

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lapisshelf/lab/load"
	"lapisshelf/lab/seen"
	"lapisshelf/lab/standin"
	"lapisshelf/lab/world"
)

const (
	sampleInterval    = 100 * time.Millisecond
	readyTimeout      = 15 * time.Second
	earliestKillDelay = 700 * time.Millisecond  // after SIGTERM and the longest deadline, until the platform may kill a process
	maxKillDeadline   = 3 * time.Second         // the longest deadline that the platform waits for
	endKillDelay      = 1500 * time.Millisecond // after SIGTERM and the longest deadline, until the process is killed
)

// NodeOptions configure a node.
type NodeOptions struct {
	Log         *seen.Log
	Number      int // from 0
	Command     string
	Dir         string // for configuration, state and logs
	Listen      string
	ListAddr    string // address of the list service; empty with a registry
	MemoryMB    int
	Sockets     int
	Seed        uint64
	Settings    map[string]any
	Env         []string
	MaxDeadline time.Duration // the longest deadline of all classes
	ConfigText  string        // configuration file; empty: it is made of the other options
	LogOutput   *os.File      // receives the log; nil: a file in Dir, one a process
	KeepState   bool          // a restart keeps the state directory, which the platform would empty
	Controlled  bool          // the node has a control address, and a state directory that is kept in upgrades
}

// Node is a balancer at a fixed address. Its process may be restarted or upgraded.
type Node struct {
	opt        NodeOptions
	mu         sync.Mutex
	cmd        *exec.Cmd
	process    *seen.NodeProcess
	done       chan struct{} // closed when the process has exited
	launches   int           // processes started so far
	configPath string
	stop       chan struct{}

	controlAddr string // control address of the running process; empty: none
}

// NewNode returns a node without a process; Start starts the first.
func NewNode(opt NodeOptions) *Node { return &Node{opt: opt, stop: make(chan struct{})} }

// Addr returns the address for clients.
func (n *Node) Addr() string { return n.opt.Listen }

// Generation returns the number of the current or last process, from 0.
func (n *Node) Generation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(0, n.launches-1)
}

// Process returns the record of the current or last process; nil before the first.
func (n *Node) Process() *seen.NodeProcess {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// UpdateConfig writes the configuration file with a server list.
func (n *Node) UpdateConfig(revision int64, members []world.Member) error {
	config := map[string]any{"name": fmt.Sprintf("n%d", n.opt.Number+1), "listen": n.opt.Listen, "discovery": n.opt.ListAddr,
		"seed":     fmt.Sprintf("%016x", n.opt.Seed+uint64(n.launches)),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": n.opt.MemoryMB, "sockets": n.opt.Sockets},
		"known":    standin.EncodeList(n.opt.Log.StartTime(), revision, true, members),
		"settings": n.opt.Settings}
	if n.controlAddr != "" {
		config["control"] = n.controlAddr
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if n.opt.ConfigText != "" {
		text = []byte(n.opt.ConfigText)
	}
	return n.WriteConfig(text)
}

// WriteConfig atomically replaces the configuration file with any text.
func (n *Node) WriteConfig(text []byte) error {
	n.configPath = filepath.Join(n.opt.Dir, fmt.Sprintf("node%d.json", n.opt.Number+1))
	if err := os.WriteFile(n.configPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(n.configPath+".new", n.configPath)
}

// Pid returns the id of the running process; 0 if there is none.
func (n *Node) Pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

// Start starts a process. It fails if one is running.
func (n *Node) Start(revision int64, members []world.Member) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return errors.New("the node is already running")
	}
	if n.opt.Controlled {
		if !n.opt.KeepState { // a restarted node starts without state, as on the platform
			if err := os.RemoveAll(n.stateDir()); err != nil {
				return err
			}
		}
		if err := os.MkdirAll(n.stateDir(), 0o700); err != nil {
			return err
		}
	}
	return n.launch(revision, members)
}

// stateDir returns the directory that the node's processes have for temporary files.
func (n *Node) stateDir() string {
	return filepath.Join(n.opt.Dir, fmt.Sprintf("state%d", n.opt.Number+1))
}

// launch starts a process, beside the running one in an upgrade. The caller holds n.mu.
func (n *Node) launch(revision int64, members []world.Member) error {
	env := n.opt.Env
	if n.opt.Controlled {
		host, _, err := net.SplitHostPort(n.opt.Listen)
		if err != nil {
			return err
		}
		if n.controlAddr, err = FreeAddr(host, n.opt.Listen); err != nil {
			return err
		}
		env = append([]string{"TMPDIR=" + n.stateDir()}, env...)
	}
	if err := n.UpdateConfig(revision, members); err != nil {
		return err
	}
	logPath := filepath.Join(n.opt.Dir, fmt.Sprintf("node%d.%d.log", n.opt.Number+1, n.launches))
	out := n.opt.LogOutput
	if out == nil {
		var err error
		if out, err = os.Create(logPath); err != nil {
			return err
		}
		defer out.Close()
	}
	// As on the platform, the shell starts the node, with no file descriptors but the standard ones. It is killed when the lab ends.
	cmd := exec.Command("/bin/sh", "-c", "exec "+n.opt.Command)
	cmd.Env = append(append(os.Environ(), "EDGE_CONFIG="+n.configPath), env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	limit := unix.Rlimit{Cur: uint64(n.opt.Sockets), Max: uint64(n.opt.Sockets)}
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return fmt.Errorf("setting the limit of file descriptors: %w", err)
	}
	process := &seen.NodeProcess{Node: n.opt.Number, Generation: n.launches, StartedAt: n.opt.Log.Now(), InitialList: members, LogFile: logPath}
	n.opt.Log.Update(func(r *seen.Record) { r.NodeProcesses = append(r.NodeProcesses, process) })
	n.launches++
	n.cmd, n.process, n.done = cmd, process, make(chan struct{})
	go n.monitor(cmd, process, n.done)
	if n.launches == 1 || n.controlAddr == "" { // older versions have no control address
		go n.awaitReady(process, n.done, func() bool { return load.Ready(n.opt.Listen) })
	} else { // the predecessor may still accept on the address for clients
		control := n.controlAddr
		go n.awaitReady(process, n.done, func() bool { return CallControl(control, "GET", "/_ready") == nil })
	}
	return nil
}

// monitor samples the resources of a process until it exits, kills it if it exceeds its memory limit, and records its end.
func (n *Node) monitor(cmd *exec.Cmd, process *seen.NodeProcess, done chan struct{}) {
	stopped := make(chan struct{})
	go func() {
		t := time.NewTicker(sampleInterval)
		defer t.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-t.C:
				n.sample(cmd.Process, process)
			}
		}
	}()
	err := cmd.Wait()
	close(stopped)
	now := n.opt.Log.Now()
	n.mu.Lock()
	if n.cmd == cmd {
		n.cmd = nil
	}
	n.mu.Unlock()
	n.opt.Log.Update(func(*seen.Record) {
		process.EndedAt = now
		if process.ExitStatus = "exit status 0"; err != nil {
			process.ExitStatus = err.Error()
		}
		process.CPU = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	})
	close(done)
}

func (n *Node) sample(p *os.Process, process *seen.NodeProcess) {
	dir := fmt.Sprintf("/proc/%d", p.Pid)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return
	}
	resident, peak := int64(0), int64(0)
	for _, line := range bytes.Split(status, []byte("\n")) {
		f := strings.Fields(string(line))
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "VmRSS:":
			resident = kb << 10
		case "VmHWM:":
			peak = kb << 10
		}
	}
	descriptors := 0
	if d, err := os.Open(dir + "/fd"); err == nil {
		names, _ := d.Readdirnames(-1)
		d.Close()
		descriptors = len(names)
	}
	n.opt.Log.Update(func(*seen.Record) {
		process.PeakMemory, process.PeakDescriptors = max(process.PeakMemory, peak), max(process.PeakDescriptors, descriptors)
	})
	if resident > int64(n.opt.MemoryMB)<<20 {
		n.opt.Log.AddEvent(fmt.Sprintf("node %d is killed: it uses %d MB of memory, its limit is %d MB", n.opt.Number+1, resident>>20, n.opt.MemoryMB))
		p.Kill()
	}
}

// awaitReady records when a process accepts clients.
func (n *Node) awaitReady(process *seen.NodeProcess, done chan struct{}, ready func() bool) {
	for !ready() {
		select {
		case <-done:
			return
		case <-n.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	now := n.opt.Log.Now()
	n.opt.Log.Update(func(*seen.Record) { process.ReadyAt = now })
}

// Ready waits until the current process is ready. It fails if the process exits or takes too long.
func (n *Node) Ready() error {
	n.mu.Lock()
	process, done := n.process, n.done
	n.mu.Unlock()
	for limit := time.Now().Add(readyTimeout); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		ready := false
		n.opt.Log.Update(func(*seen.Record) { ready = process.ReadyAt > 0 })
		if ready {
			return nil
		}
		select {
		case <-done:
			return fmt.Errorf("node %d ended at its start (%s): %s", n.opt.Number+1, process.ExitStatus, lastLine(process.LogFile))
		default:
		}
	}
	return fmt.Errorf("node %d is not ready after %v: %s", n.opt.Number+1, readyTimeout, lastLine(process.LogFile))
}

func lastLine(path string) string {
	text, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// Signal sends a signal to the running process, if there is one, and records it.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	cmd, process := n.cmd, n.process
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	now := n.opt.Log.Now()
	n.opt.Log.Update(func(*seen.Record) {
		switch s {
		case syscall.SIGKILL:
			process.Killed = true
		case syscall.SIGTERM:
			process.TerminatedAt = now
		case syscall.SIGSTOP:
			process.Frozen = append(process.Frozen, [2]time.Duration{now})
		case syscall.SIGCONT:
			if i := len(process.Frozen) - 1; i >= 0 {
				process.Frozen[i][1] = now
			}
		}
	})
	cmd.Process.Signal(s)
}

// Terminate sends SIGTERM to the running process, and SIGKILL at the earliest time at which the platform may.
func (n *Node) Terminate() {
	n.mu.Lock()
	cmd, process, done := n.cmd, n.process, n.done
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	n.Signal(syscall.SIGTERM)
	go n.killAtEarliest(cmd, process, done)
}

// killAtEarliest waits for the end of a process that has received SIGTERM, and kills it at the earliest time at which the platform may.
func (n *Node) killAtEarliest(cmd *exec.Cmd, process *seen.NodeProcess, done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(min(n.opt.MaxDeadline, maxKillDeadline) + earliestKillDelay):
		n.opt.Log.Update(func(*seen.Record) { process.Replaced = true })
		cmd.Process.Kill()
		<-done
	}
}

// End terminates the running process, kills it if it does not exit in time, and waits for its end.
func (n *Node) End() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	n.Signal(syscall.SIGCONT)
	n.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(n.opt.MaxDeadline + endKillDelay):
		cmd.Process.Kill() // its exit status tells the judge
		<-done
	}
}

// Kill kills the running process and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done != nil {
		<-done
	}
}

// LogText returns the log of the current or last process.
func (n *Node) LogText() string {
	if n.process == nil {
		return ""
	}
	text, _ := os.ReadFile(n.process.LogFile)
	return string(text)
}

// Wait waits until the current process exits and returns its exit status; ended is false after the timeout.
func (n *Node) Wait(timeout time.Duration) (status string, ended bool) {
	n.mu.Lock()
	done, process := n.done, n.process
	n.mu.Unlock()
	select {
	case <-done:
		return process.ExitStatus, true
	case <-time.After(timeout):
		return "", false
	}
}

// FreeAddr returns an address with the given IP address and a free port. It skips the reserved addresses: as long as nothing
// listens on them, the system may offer their ports again.
func FreeAddr(ip string, reserved ...string) (string, error) {
	for {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		addr := ln.Addr().String()
		if !slices.Contains(reserved, addr) {
			return addr, ln.Close()
		}
		defer ln.Close() // keeps the port occupied while further ports are tried
	}
}

// lastCounters returns the values of the last line of counters in a log.
func lastCounters(path string) map[string]float64 {
	text, _ := os.ReadFile(path)
	out := map[string]float64{}
	lines := strings.Split(string(text), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		_, rest, ok := strings.Cut(lines[i], "event=counters ")
		if !ok {
			continue
		}
		for _, pair := range strings.Fields(rest) {
			name, value, _ := strings.Cut(pair, "=")
			if v, err := strconv.ParseFloat(value, 64); err == nil {
				out[name] = v
			}
		}
		break
	}
	return out
}
