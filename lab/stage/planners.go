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

// Planners run as processes beside the nodes.

// planner is a planner at fixed addresses. At most one process runs at a time.
type planner struct {
	id, addr, controlAddr, configFile, logFile string
	command                                    string
	cmd                                        *exec.Cmd
	done                                       chan struct{}
}

const certValidity = 24 * time.Hour

// startPlanners creates the keys and certificates of planners and nodes, and starts the planners. When it returns without an error,
// all planners are ready.
func (d *Deployment) startPlanners() error {
	x := d.Experiment
	if x.Planners.Count == 0 {
		return nil
	}
	dir := d.keysDir()
	if err := keys.CreateAuthority(dir, time.Now(), 2*certValidity); err != nil {
		return err
	}
	for i := range x.Nodes.Count {
		if err := keys.Issue(dir, fmt.Sprintf("n%d", i+1), keys.Forwarder, time.Now(), certValidity, false); err != nil {
			return err
		}
	}
	var gossip []string
	for i := range x.Planners.Count {
		p := &planner{id: fmt.Sprintf("p%d", i+1), command: d.opt.Command, logFile: filepath.Join(d.opt.Dir, fmt.Sprintf("planner%d.log", i+1)),
			configFile: filepath.Join(d.opt.Dir, fmt.Sprintf("planner%d.toml", i+1))}
		if err := keys.Issue(dir, p.id, keys.Planner, time.Now(), certValidity, false); err != nil {
			return err
		}
		var gossipAddr string
		for _, addr := range []*string{&p.addr, &p.controlAddr, &gossipAddr} {
			var err error
			if *addr, err = FreeAddr(fmt.Sprintf("%s%d", d.netPrefix, 202+i), p.addr, p.controlAddr); err != nil {
				return err
			}
		}
		gossip = append(gossip, gossipAddr)
		text, err := d.plannerConfig(p, i, gossip)
		if err != nil {
			return err
		}
		if err := os.WriteFile(p.configFile, []byte(text), 0o600); err != nil {
			return err
		}
		d.planners = append(d.planners, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range d.planners {
		for limit := time.Now().Add(readyTimeout); CallControl(p.controlAddr, "GET", "/_ready") != nil; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(limit) {
				return fmt.Errorf("planner %s is not ready after %v: %s", p.id, readyTimeout, lastLine(p.logFile))
			}
		}
	}
	return nil
}

func (d *Deployment) keysDir() string { return filepath.Join(d.opt.Dir, "keys") }

// plannerConfig returns the operator's file of a planner.
func (d *Deployment) plannerConfig(p *planner, number int, gossip []string) (string, error) {
	x := d.Experiment
	var b strings.Builder
	fmt.Fprintf(&b, "[node]\ncontrol = %q\n", p.controlAddr)
	if x.List.InRegistry() {
		table, err := d.registryTable(x.Nodes.Count + number)
		if err != nil {
			return "", err
		}
		b.WriteString(table)
	} else {
		fmt.Fprintf(&b, "discovery = %q\n", d.list.AddrsFor(x.Nodes.Count + number)[0])
	}
	originFalls := x.Service.FallMultiple > 0
	fmt.Fprintf(&b, "[service]\nmode = %q\norigin_kind = \"origin\"\norigin_falls = %t\nweighted = %t\nwarm_up = %q\ncold_from = %g\nfall_window = %q\n", x.Service.Mode, originFalls,
		x.Service.Weights != "off", x.Service.WarmUp.D(), x.Service.ColdFrom, x.Service.FallWindow.D())
	if originFalls {
		fmt.Fprintf(&b, "fall_multiple = %g\n", x.Service.FallMultiple)
	}
	for _, c := range x.Classes {
		fmt.Fprintf(&b, "[[class]]\nname = %q\naim = %q\ndeadline = %q\nworth = %g\n", c.Name, c.Aim, c.Deadline, c.Worth)
		if c.Effect == world.Keyed {
			fmt.Fprintf(&b, "effect = \"keyed\"\nwindow = %q\n", c.Window)
		}
	}
	fmt.Fprintf(&b, "[planner]\nid = %q\nlisten = %q\ngossip = %q\njoin = [%q]\nevery = %q\nvalid = %q\n", p.id, p.addr, gossip[number], gossip[0], x.Planners.Every.D(), x.Planners.Valid.D())
	fmt.Fprintf(&b, "gossip_key_file = %q\nca_file = %q\ncert_file = %q\nkey_file = %q\nsnapshot = %q\n", filepath.Join(d.keysDir(), "gossip.key"), filepath.Join(d.keysDir(), "ca.pem"),
		filepath.Join(d.keysDir(), p.id+".pem"), filepath.Join(d.keysDir(), p.id+".key"), filepath.Join(d.opt.Dir, p.id+".db"))
	return b.String(), nil
}

// plannersTable returns the [planners] table of a node's operator's file; it is empty without planners.
func (d *Deployment) plannersTable(node int) string {
	if len(d.planners) == 0 {
		return ""
	}
	var addrs []string
	for _, p := range d.planners {
		addrs = append(addrs, p.addr)
	}
	name := fmt.Sprintf("n%d", node+1)
	return fmt.Sprintf("[planners]\naddresses = [\"%s\"]\nca_file = %q\ncert_file = %q\nkey_file = %q\nevery = %q\nfade = %q\n", strings.Join(addrs, `", "`),
		filepath.Join(d.keysDir(), "ca.pem"), filepath.Join(d.keysDir(), name+".pem"), filepath.Join(d.keysDir(), name+".key"), d.Experiment.Planners.Every.D(), d.Experiment.Planners.Fade.D())
}

// start starts a process, which appends to the same log file.
func (p *planner) start() error {
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("exec %s plan --config '%s'", p.command, p.configFile))
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

// kill kills the process and waits for its end.
func (p *planner) kill() {
	if p.cmd != nil {
		p.cmd.Process.Kill()
		<-p.done
		p.cmd = nil
	}
}

// applyToPlanner kills, starts, stops or continues the process of a planner.
func (d *Deployment) applyToPlanner(a fault.Action) error {
	p := d.planners[a.Planner-1]
	switch {
	case a.Kind == fault.PlannerCut:
		return fmt.Errorf("only lapislab model can cut nodes off from planners")
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
