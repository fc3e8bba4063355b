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

// The lab's own processes: hollow nodes and the list service. They are told what to do in lines of JSON on their standard
// input and answer each with one on their standard output; they end with their input.

// Roles of the lab's own processes, as Child takes them.
const (
	NodesRole = "scale-nodes"
	ListRole  = "scale-list"
)

const (
	listPrefix  = "lapisshelf/servers/"
	answerLimit = 60 * time.Second // of a process of the lab's own
	forgetEvery = 2 * time.Second  // what the list service has seen
)

// order is what a process is told.
type order struct {
	Do      string
	On      bool
	Servers []int  // by number
	Server  string // by id
	Planner string // its id
	Addr    string
	Every   int // one node in so many
}

// reply is what it answers.
type reply struct {
	Error  string  `json:",omitempty"`
	Addr   string  `json:",omitempty"`
	Sample *sample `json:",omitempty"`
	Stamps []int64 `json:",omitempty"`
}

// Child is the whole life of a process of the lab's own.
func Child(role string, in io.Reader, out io.Writer) error {
	d, e := json.NewDecoder(in), json.NewEncoder(out)
	switch role {
	case NodesRole:
		return nodesChild(d, e)
	case ListRole:
		return listChild(d, e)
	}
	return fmt.Errorf("%q is no part that a process of the lab plays", role)
}

func nodesChild(d *json.Decoder, e *json.Encoder) error {
	var cfg hollowConfig
	if err := d.Decode(&cfg); err != nil {
		return err
	}
	h, err := newHollow(cfg)
	if err != nil {
		e.Encode(reply{Error: err.Error()})
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- h.loop.Run() }()
	h.loop.Post(h.begin)
	if err := e.Encode(reply{}); err != nil {
		return err
	}
	for {
		var o order
		if err := d.Decode(&o); err != nil {
			h.loop.Post(h.loop.Stop)
			<-ended
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return err
		}
		done := make(chan reply, 1)
		h.loop.Post(func() { done <- h.obey(o) })
		if err := e.Encode(<-done); err != nil {
			return err
		}
	}
}

// obey does what a process of hollow nodes is told.
func (h *hollow) obey(o order) (r reply) {
	switch o.Do {
	case "load":
		h.load(o.On)
	case "forward":
		for _, n := range h.nodes {
			n.forward()
		}
	case "sample", "settled":
		r.Sample = h.sample(o.Do == "settled")
	case "late", "down":
		for _, i := range o.Servers {
			if o.Do == "late" {
				h.tables.late[i] = o.On
			} else {
				h.tables.down[i] = o.On
			}
		}
	case "watch":
		h.watched = o.Server
		for _, n := range h.nodes {
			n.stamp = 0
		}
	case "stamps":
		for _, n := range h.nodes {
			r.Stamps = append(r.Stamps, n.stamp)
		}
	case "cut":
		if !o.On {
			h.cut.Delete(o.Planner)
			break
		}
		h.cut.Store(o.Planner, true)
		addr, err := netip.ParseAddrPort(o.Addr)
		if err != nil {
			return reply{Error: err.Error()}
		}
		hangUp(addr)
	case "restart":
		for i, n := range h.nodes {
			if o.Every > 0 && (h.cfg.First+i)%o.Every == 0 {
				n.restart()
			}
		}
	default:
		r.Error = "unknown order " + o.Do
	}
	return r
}

// listConfig is what the list service is told.
type listConfig struct {
	Servers int
	Delay   time.Duration
	Kind    string
}

func member(i int) world.Member {
	// Nobody dials them; an address of its own each must have.
	return world.Member{ID: serverID(i), Addr: fmt.Sprintf("127.%d.%d.1:11211", 1+i/250, 1+i%250), Zone: fmt.Sprintf("zone-%02d", 1+i%59), Kind: "cache", Weight: 1}
}

func listChild(d *json.Decoder, e *json.Encoder) error {
	var cfg listConfig
	if err := d.Decode(&cfg); err != nil {
		return err
	}
	common := standin.NewCommon(seen.NewLog(), 1, nil)
	// One address for all: who asks makes no difference here.
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
	forget := time.NewTicker(forgetEvery)
	defer forget.Stop()
	go func() {
		for range forget.C { // until the process ends
			common.Log.Update(func(r *seen.Record) { r.ListCalls, r.ListUpdates, r.Events = nil, nil, nil })
		}
	}()
	if err := e.Encode(reply{Addr: addr}); err != nil {
		return err
	}
	for {
		var o order
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
			r.Error = "unknown order " + o.Do
		}
		if err := e.Encode(r); err != nil {
			return err
		}
	}
}

// child is a process of the lab's own, as the run holds it.
type child struct {
	cmd  *exec.Cmd
	in   io.WriteCloser
	e    *json.Encoder
	d    *json.Decoder
	done chan struct{}
	mu   sync.Mutex // one order at a time
}

// startChild starts one with its configuration and waits until it answers.
func startChild(self []string, role string, cfg any, log string) (*child, reply, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, reply{}, err
	}
	defer out.Close()
	c := &child{cmd: exec.Command(self[0], append(self[1:len(self):len(self)], role)...), done: make(chan struct{})}
	c.cmd.Stderr = out
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, reply{}, err
	}
	from, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, reply{}, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, reply{}, err
	}
	c.e, c.d = json.NewEncoder(c.in), json.NewDecoder(bufio.NewReader(from))
	r, err := c.ask(cfg)
	if err != nil {
		c.end()
		return nil, r, fmt.Errorf("%s: %w: %s", role, err, lastLine(log))
	}
	return c, r, nil
}

func lastLine(path string) string {
	text, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// ask tells a process something and waits for its answer.
func (c *child) ask(what any) (r reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// One that answers nothing is ended, so that reading from it ends.
	limit := time.AfterFunc(answerLimit, func() { c.cmd.Process.Kill() })
	defer limit.Stop()
	if err := c.e.Encode(what); err != nil {
		return r, err
	}
	if err := c.d.Decode(&r); err != nil {
		return r, fmt.Errorf("it ended, or said nothing for %v: %w", answerLimit, err)
	}
	if r.Error != "" {
		return r, errors.New(r.Error)
	}
	return r, nil
}

// end ends a process.
func (c *child) end() {
	if c == nil {
		return
	}
	c.in.Close()
	limit := time.AfterFunc(5*time.Second, func() { c.cmd.Process.Kill() })
	defer limit.Stop()
	c.cmd.Wait()
}

// planner is a planner's process.
type planner struct {
	id, addr, control, file, log, program string
	cmd                                   *exec.Cmd
	done                                  chan struct{}
	spent                                 time.Duration // CPU of its processes that have ended
	lives                                 int           // processes that it has had
}

func (p *planner) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.program, "plan", "--config", p.file)
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
	p.lives++
	return nil
}

// kill ends the process at once.
func (p *planner) kill() {
	if p.cmd != nil {
		p.cmd.Process.Kill()
		<-p.done
		p.spent += p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
		p.cmd = nil
	}
}

// processCPU is the processor time that a process has used, in steps of the system's hundredths.
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

// residentBytes is the memory that a process holds.
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
