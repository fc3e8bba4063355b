package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
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

// Child processes of the lab: groups of hollow nodes, and the list service. They read commands as lines of JSON from standard
// input, answer each with a line on standard output, and exit at the end of their input.

// Roles of child processes, as passed to Child.
const (
	NodesRole = "scale-nodes"
	ListRole  = "scale-list"
)

const (
	listPrefix       = "lapisshelf/servers/"
	replyTimeout     = 60 * time.Second // of a child process
	logClearInterval = 2 * time.Second  // between clearings of the list service's log, which would grow without bound
)

// command is one request to a child process. It travels as JSON under the field names, also to programs of other versions.
type command struct {
	Do      string
	On      bool
	Servers []int  // by index
	Server  string // by id
	Planner string // by id
	Addr    string
	Every   int // restart one node in this many
}

// reply is a child process's answer to a command.
type reply struct {
	Error  string  `json:",omitempty"`
	Addr   string  `json:",omitempty"`
	Sample *sample `json:",omitempty"`
	Stamps []int64 `json:",omitempty"` // per node: when the watched change was in force, Unix ns; 0: not yet
}

// Child runs a child process in a role until its input ends.
func Child(role string, in io.Reader, out io.Writer) error {
	decoder, encoder := json.NewDecoder(in), json.NewEncoder(out)
	switch role {
	case NodesRole:
		return nodesChild(decoder, encoder)
	case ListRole:
		return listChild(decoder, encoder)
	}
	return fmt.Errorf("unknown role %q of a lab process", role)
}

func nodesChild(d *json.Decoder, e *json.Encoder) error {
	var cfg hollowConfig
	if err := d.Decode(&cfg); err != nil {
		return err
	}
	h, err := newHollowProcess(cfg)
	if err != nil {
		e.Encode(reply{Error: err.Error()})
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- h.loop.Run() }()
	h.loop.Post(h.start)
	if err := e.Encode(reply{}); err != nil {
		return err
	}
	for {
		var o command
		if err := d.Decode(&o); err != nil {
			h.loop.Post(h.loop.Stop)
			<-ended
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return err
		}
		done := make(chan reply, 1)
		h.loop.Post(func() { done <- h.execute(o) })
		if err := e.Encode(<-done); err != nil {
			return err
		}
	}
}

// execute carries out a command in a process of hollow nodes.
func (h *hollowProcess) execute(o command) (r reply) {
	switch o.Do {
	case "load":
		h.setLoad(o.On)
	case "forward":
		for _, n := range h.nodes {
			n.startForwarder()
		}
	case "sample", "settled":
		r.Sample = h.sample(o.Do == "settled")
	case "late", "down":
		for _, i := range o.Servers {
			if o.Do == "late" {
				h.tables.slow[i] = o.On
			} else {
				h.tables.down[i] = o.On
			}
		}
	case "watch":
		h.watchedServer = o.Server
		for _, n := range h.nodes {
			n.inForceAt = 0
		}
	case "stamps":
		for _, n := range h.nodes {
			r.Stamps = append(r.Stamps, n.inForceAt)
		}
	case "cut":
		if !o.On {
			h.cutPlanners.Delete(o.Planner)
			break
		}
		h.cutPlanners.Store(o.Planner, true)
		addr, err := netip.ParseAddrPort(o.Addr)
		if err != nil {
			return reply{Error: err.Error()}
		}
		closeConnections(addr)
	case "restart":
		for i, n := range h.nodes {
			if o.Every > 0 && (h.cfg.First+i)%o.Every == 0 {
				n.restart()
			}
		}
	default:
		r.Error = "unknown command " + o.Do
	}
	return r
}

// listConfig is the configuration of the list service, as JSON under the field names.
type listConfig struct {
	Servers int
	Delay   time.Duration
	Kind    string
}

// member returns the list entry of a server.
func member(i int) world.Member {
	// Nothing dials the address, but addresses in a list must be distinct.
	return world.Member{ID: serverID(i), Addr: fmt.Sprintf("127.%d.%d.1:11211", 1+i/250, 1+i%250), Zone: fmt.Sprintf("zone-%02d", 1+i%59), Kind: "cache", Weight: 1}
}

func listChild(d *json.Decoder, e *json.Encoder) error {
	var cfg listConfig
	if err := d.Decode(&cfg); err != nil {
		return err
	}
	common := standin.NewCommon(seen.NewLog(), 1, nil)
	// One address serves all nodes: the list service need not know which node calls.
	var members []world.Member
	for i := range cfg.Servers {
		members = append(members, member(i))
	}
	var addr string
	var set func(world.Member)
	if cfg.Kind == "etcd" {
		r, err := standin.NewRegistry(common, standin.RegistryOptions{Addr: "127.0.0.1:0", Endpoints: 1, Nodes: 1, Prefix: listPrefix})
		if err != nil {
			return err
		}
		defer r.Close()
		for _, m := range members {
			r.Set(m)
		}
		addr = r.Endpoints(0)[0]
		set = func(m world.Member) { time.AfterFunc(cfg.Delay, func() { r.Set(m) }) }
	} else {
		l, err := standin.NewList(common, standin.ListOptions{Addr: "127.0.0.1:0", Nodes: 1, ChangeDelay: cfg.Delay}, members...)
		if err != nil {
			return err
		}
		defer l.Close()
		addr, set = l.Addr(0), l.Set
	}
	forget := time.NewTicker(logClearInterval)
	defer forget.Stop()
	go func() {
		for range forget.C { // until the process exits
			common.Log.Update(func(r *seen.Record) { r.ListCalls, r.ListUpdates, r.Events = nil, nil, nil })
		}
	}()
	if err := e.Encode(reply{Addr: addr}); err != nil {
		return err
	}
	for {
		var o command
		if err := d.Decode(&o); err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return err
		}
		var r reply
		switch o.Do {
		case "drain":
			for _, i := range o.Servers {
				m := member(i)
				if o.On {
					m.Phase = world.Draining
				}
				set(m)
			}
		case "start":
			for _, i := range o.Servers {
				m := member(i)
				m.Started = common.Log.Now()
				set(m)
			}
		default:
			r.Error = "unknown command " + o.Do
		}
		if err := e.Encode(r); err != nil {
			return err
		}
	}
}

// child is a running child process.
type child struct {
	cmd  *exec.Cmd
	in   io.WriteCloser
	e    *json.Encoder
	d    *json.Decoder
	done chan struct{}
	mu   sync.Mutex // held during a call: one command at a time
}

// startChild starts a child process, sends its configuration and waits for the first reply.
func startChild(program []string, role string, cfg any, logPath string) (*child, reply, error) {
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, reply{}, err
	}
	defer out.Close()
	c := &child{cmd: exec.Command(program[0], append(program[1:len(program):len(program)], role)...), done: make(chan struct{})}
	c.cmd.Stderr = out
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, reply{}, err
	}
	stdout, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, reply{}, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, reply{}, err
	}
	c.e, c.d = json.NewEncoder(c.in), json.NewDecoder(bufio.NewReader(stdout))
	r, err := c.call(cfg)
	if err != nil {
		c.stop()
		return nil, r, fmt.Errorf("%s: %w: %s", role, err, lastLine(logPath))
	}
	return c, r, nil
}

// lastLine returns the last line of a log file.
func lastLine(path string) string {
	text, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// call sends a configuration or command and waits for the reply.
func (c *child) call(request any) (r reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A process that does not reply in time is killed, which ends the read below.
	timer := time.AfterFunc(replyTimeout, func() { c.cmd.Process.Kill() })
	defer timer.Stop()
	if err := c.e.Encode(request); err != nil {
		return r, err
	}
	if err := c.d.Decode(&r); err != nil {
		return r, fmt.Errorf("process ended or did not reply within %v: %w", replyTimeout, err)
	}
	if r.Error != "" {
		return r, errors.New(r.Error)
	}
	return r, nil
}

// stop closes the process's input and waits for it to exit; it is killed after 5 s.
func (c *child) stop() {
	if c == nil {
		return
	}
	c.in.Close()
	timer := time.AfterFunc(5*time.Second, func() { c.cmd.Process.Kill() })
	defer timer.Stop()
	c.cmd.Wait()
}

// planner is a planner and its current process.
type planner struct {
	id, addr, control, configPath, logPath, program string
	cmd                                             *exec.Cmd
	done                                            chan struct{}
	endedCPU                                        time.Duration // CPU time of its processes that have ended
	starts                                          int           // processes started so far
}

func (p *planner) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.program, "plan", "--config", p.configPath)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		cmd.Wait()
		close(done)
	}()
	p.cmd, p.done = cmd, done
	p.starts++
	return nil
}

// kill ends the process with SIGKILL.
func (p *planner) kill() {
	if p.cmd != nil {
		p.cmd.Process.Kill()
		<-p.done
		p.endedCPU += p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
		p.cmd = nil
	}
}

// processCPU returns the CPU time that a process has used, from /proc, where it counts in 10 ms ticks.
func processCPU(pid int) time.Duration {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
