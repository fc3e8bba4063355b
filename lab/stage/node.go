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
	sampleInterval = 100 * time.Millisecond
	readyTimeout   = 15 * time.Second
	endKillDelay   = 1500 * time.Millisecond // past the longest deadline, after SIGTERM
)

// NodeOptions describe a node's process.
type NodeOptions struct {
	Log         *seen.Log
	Number      int // from 0
	Command     string
	Dir         string // for its files
	Listen      string
	ListAddr    string // the list service's address
	MemoryMB    int
	Sockets     int
	Seed        uint64
	Settings    map[string]any
	Env         []string
	MaxDeadline time.Duration // deadline of any request
	ConfigText  string        // the whole configuration, in place of one made of the above
	LogOutput   *os.File      // takes its log; nil: a file in Dir
	KeepState   bool          // that directory lasts over restarts too, where the platform empties it
	Controlled  bool          // it is told a second address, for operators, and a directory that lasts over upgrades
}

// Node is a balancer: one process after another at one address.
type Node struct {
	opt        NodeOptions
	mu         sync.Mutex
	cmd        *exec.Cmd
	process    *seen.NodeProcess
	done       chan struct{} // closed when the process has ended
	launches   int           // processes so far
	configPath string
	stop       chan struct{}

	controlAddr string // the running process's second address; empty: none
}

// NewNode describes a node; Start begins its first process.
func NewNode(opt NodeOptions) *Node { return &Node{opt: opt, stop: make(chan struct{})} }

// Addr is where clients find it.
func (n *Node) Addr() string { return n.opt.Listen }

// Generation is which process is running, or was last.
func (n *Node) Generation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(0, n.launches-1)
}

// Process is the running process's record.
func (n *Node) Process() *seen.NodeProcess {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// UpdateConfig writes the configuration file, with the list as the node last had it.
func (n *Node) UpdateConfig(revision int64, members []world.Member) error {
	config := map[string]any{"name": fmt.Sprintf("n%d", n.opt.Number+1), "listen": n.opt.Listen, "discovery": n.opt.ListAddr,
		"seed":     fmt.Sprintf("%016x", n.opt.Seed+uint64(n.launches)),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": n.opt.MemoryMB, "sockets": n.opt.Sockets},
		"known":    standin.Wire(n.opt.Log.StartTime(), revision, true, members),
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

// WriteConfig replaces the configuration file, whatever it says.
func (n *Node) WriteConfig(text []byte) error {
	n.configPath = filepath.Join(n.opt.Dir, fmt.Sprintf("node%d.json", n.opt.Number+1))
	if err := os.WriteFile(n.configPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(n.configPath+".new", n.configPath)
}

// Pid is the running process's number; 0 where none runs.
func (n *Node) Pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

// Start begins a process.
func (n *Node) Start(revision int64, members []world.Member) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return errors.New("the node is running")
	}
	if n.opt.Controlled {
		if !n.opt.KeepState { // a node starts with nothing
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

// stateDir is the directory for temporary files of the node's processes.
func (n *Node) stateDir() string {
	return filepath.Join(n.opt.Dir, fmt.Sprintf("state%d", n.opt.Number+1))
}

// launch begins a process, perhaps beside another.
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
	// As the platform does it: by the shell, with no descriptors but the standard ones; it dies with the lab.
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
		return fmt.Errorf("limit of descriptors: %w", err)
	}
	process := &seen.NodeProcess{Node: n.opt.Number, Generation: n.launches, StartedAt: n.opt.Log.Now(), InitialList: members, LogFile: logPath}
	n.opt.Log.Update(func(r *seen.Record) { r.NodeProcesses = append(r.NodeProcesses, process) })
	n.launches++
	n.cmd, n.process, n.done = cmd, process, make(chan struct{})
	go n.monitor(cmd, process, n.done)
	if n.launches == 1 || n.controlAddr == "" { // an older version may have no second address
		go n.awaitReady(process, n.done, func() bool { return load.Ready(n.opt.Listen) })
	} else { // the address for clients may be another process's
		control := n.controlAddr
		go n.awaitReady(process, n.done, func() bool { return CallControl(control, "GET", "/_ready") == nil })
	}
	return nil
}

// monitor samples what a process uses, ends one that uses more memory than it may, and notes its end.
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
		n.opt.Log.AddEvent(fmt.Sprintf("node %d is ended: it uses %d MB of %d", n.opt.Number+1, resident>>20, n.opt.MemoryMB))
		p.Kill()
	}
}

// awaitReady notes when a process takes clients.
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

// Ready waits until the running process is ready.
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

// Signal sends a signal to the running process.
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

// End ends the running process as planned, by force if it does not end in time, and waits for that.
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
		cmd.Process.Kill() // its status tells
		<-done
	}
}

// Kill ends the running process at once.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done != nil {
		<-done
	}
}

// LogText is the log of the running process, or of the last.
func (n *Node) LogText() string {
	if n.process == nil {
		return ""
	}
	text, _ := os.ReadFile(n.process.LogFile)
	return string(text)
}

// Wait waits for the process's end and gives its status.
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

// FreeAddr finds an address on which nothing listens, on an address of the loopback network of its own. Those that are
// promised already, though nobody listens there yet, are passed over: the system may offer one again.
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
		defer ln.Close() // held until another is found
	}
}

// lastCounters are the figures of a log's last line of counters.
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
