package stage

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"lapisshelf/internal/keys"
	"lapisshelf/lab/fault"
	"lapisshelf/lab/world"
)

// Planners as processes beside the nodes.

// planner is one process after another at one address.
type planner struct {
	id, addr, control, file, log string
	command                      string
	cmd                          *exec.Cmd
	done                         chan struct{}
}

const keysFor = 24 * time.Hour

// startPlanners makes certificates for all parts and starts the planners. When it returns they have the list.
func (s *Deployment) startPlanners() error {
	x := s.Experiment
	if x.Planners.Count == 0 {
		return nil
	}
	dir := s.keys()
	if err := keys.MakeAuthority(dir, time.Now(), 2*keysFor); err != nil {
		return err
	}
	for i := range x.Nodes.Count {
		if err := keys.Make(dir, fmt.Sprintf("n%d", i+1), keys.Forwarder, time.Now(), keysFor, false); err != nil {
			return err
		}
	}
	var gossip []string
	for i := range x.Planners.Count {
		p := &planner{id: fmt.Sprintf("p%d", i+1), command: s.opt.Command, log: filepath.Join(s.opt.Dir, fmt.Sprintf("planner%d.log", i+1)),
			file: filepath.Join(s.opt.Dir, fmt.Sprintf("planner%d.toml", i+1))}
		if err := keys.Make(dir, p.id, keys.Planner, time.Now(), keysFor, false); err != nil {
			return err
		}
		var talk string
		for _, to := range []*string{&p.addr, &p.control, &talk} {
			var err error
			if *to, err = FreeAddr(fmt.Sprintf("%s%d", s.net, 202+i), p.addr, p.control); err != nil {
				return err
			}
		}
		gossip = append(gossip, talk)
		text, err := s.plannerFile(p, i, gossip)
		if err != nil {
			return err
		}
		if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
			return err
		}
		s.plans = append(s.plans, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range s.plans {
		for end := time.Now().Add(readyWithin); CallControl(p.control, "GET", "/_ready") != nil; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("planner %s is not ready after %v: %s", p.id, readyWithin, lastLine(p.log))
			}
		}
	}
	return nil
}

func (s *Deployment) keys() string { return filepath.Join(s.opt.Dir, "keys") }

// plannerFile is a planner's operator's file.
func (s *Deployment) plannerFile(p *planner, number int, gossip []string) (string, error) {
	x := s.Experiment
	var b strings.Builder
	fmt.Fprintf(&b, "[node]\ncontrol = %q\n", p.control)
	if x.List.InRegistry() {
		table, err := s.registryTable(x.Nodes.Count + number)
		if err != nil {
			return "", err
		}
		b.WriteString(table)
	} else {
		fmt.Fprintf(&b, "discovery = %q\n", s.list.Where(x.Nodes.Count + number)[0])
	}
	falls := x.Service.FallMultiple > 0
	fmt.Fprintf(&b, "[service]\nmode = %q\norigin_kind = \"origin\"\norigin_falls = %t\nweighted = %t\nwarm_up = %q\ncold_from = %g\nfall_window = %q\n", x.Service.Mode, falls,
		x.Service.Weights != "off", x.Service.WarmUp.D(), x.Service.ColdFrom, x.Service.FallWindow.D())
	if falls {
		fmt.Fprintf(&b, "fall_multiple = %g\n", x.Service.FallMultiple)
	}
	for _, c := range x.Classes {
		fmt.Fprintf(&b, "[[class]]\nname = %q\naim = %q\ndeadline = %q\nworth = %g\n", c.Name, c.Aim, c.Deadline, c.Worth)
		if c.Effect == world.Keyed {
			fmt.Fprintf(&b, "effect = \"keyed\"\nwindow = %q\n", c.Window)
		}
	}
	fmt.Fprintf(&b, "[planner]\nid = %q\nlisten = %q\ngossip = %q\njoin = [%q]\nevery = %q\nvalid = %q\n", p.id, p.addr, gossip[number], gossip[0], x.Planners.Every.D(), x.Planners.Valid.D())
	fmt.Fprintf(&b, "gossip_key_file = %q\nca_file = %q\ncert_file = %q\nkey_file = %q\nsnapshot = %q\n", filepath.Join(s.keys(), "gossip.key"), filepath.Join(s.keys(), "ca.pem"),
		filepath.Join(s.keys(), p.id+".pem"), filepath.Join(s.keys(), p.id+".key"), filepath.Join(s.opt.Dir, p.id+".db"))
	return b.String(), nil
}

// plannersTable is what an operator's file says of the planners to a node.
func (s *Deployment) plannersTable(node int) string {
	if len(s.plans) == 0 {
		return ""
	}
	var addrs []string
	for _, p := range s.plans {
		addrs = append(addrs, p.addr)
	}
	name := fmt.Sprintf("n%d", node+1)
	return fmt.Sprintf("[planners]\naddresses = [\"%s\"]\nca_file = %q\ncert_file = %q\nkey_file = %q\nevery = %q\nfade = %q\n", strings.Join(addrs, `", "`),
		filepath.Join(s.keys(), "ca.pem"), filepath.Join(s.keys(), name+".pem"), filepath.Join(s.keys(), name+".key"), s.Experiment.Planners.Every.D(), s.Experiment.Planners.Fade.D())
}

// start begins a process, whose log goes on in the same file.
func (p *planner) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("exec %s plan --config '%s'", p.command, p.file))
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		p.cmd = nil
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// kill ends the process at once.
func (p *planner) kill() {
	if p.cmd != nil {
		p.cmd.Process.Kill()
		<-p.done
		p.cmd = nil
	}
}

// onPlanner breaks a planner.
func (s *Deployment) onPlanner(a fault.Action) error {
	p := s.plans[a.Planner-1]
	switch {
	case a.Kind == fault.PlannerCut:
		return fmt.Errorf("nodes are parted from planners in the model alone (lapislab model)")
	case a.Kind == fault.PlannerStart && p.cmd == nil:
		return p.start()
	case a.Kind == fault.PlannerKill:
		p.kill()
	case p.cmd == nil:
		return fmt.Errorf("planner %s does not run", p.id)
	case a.Value != 0:
		return p.cmd.Process.Signal(syscall.SIGSTOP)
	default:
		return p.cmd.Process.Signal(syscall.SIGCONT)
	}
	return nil
}
