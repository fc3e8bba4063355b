package stage

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"lapisshelf/lab/load"
	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

// What operators do by hand, and how it is watched.

const (
	callTimeout       = time.Second            // how long an operator waits for an answer
	frontPollInterval = 100 * time.Millisecond // how often a front asks a node whether it takes clients
	drainCheckDelay   = 4 * time.Second        // from the call to the moment by which no client is kept
	upgradeKillDelay  = 700 * time.Millisecond // past the longest deadline, after SIGTERM: when an old process is killed
)

// CallControl makes an operator's call; nil means yes.
func CallControl(addr, method, path string) error {
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(req)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: %s: %s", method, path, response.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// ControlAddr is the running process's second address.
func (n *Node) ControlAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.controlAddr
}

// setBan bans a server at a node, or lifts that.
func (d *Deployment) setBan(node int, name string, on bool) error {
	id := d.Experiment.Server(name).ID
	if c := d.cache(name); c != nil {
		id = c.ID()
	}
	at := d.Log.Now() // a ban may end with the call, and begins with its answer
	verb := map[bool]string{true: "detach", false: "attach"}[on]
	if err := CallControl(d.Nodes[node].ControlAddr(), "POST", "/_cache-servers/"+verb+"/"+id); err != nil {
		if !on { // a call that was not answered may be carried out all the same, by a node that was stopped
			d.Log.Update(func(r *seen.Record) { r.SetBan(node, id, on, at) })
		}
		return err
	}
	if on {
		at = d.Log.Now()
	}
	d.Log.Update(func(r *seen.Record) { r.SetBan(node, id, on, at) })
	return nil
}

// setLameDuck drains a node or takes that back. A front follows what the node says, and looks whether it lets its clients go.
func (d *Deployment) setLameDuck(node int, on bool) error {
	n := d.Nodes[node]
	state := map[bool]string{true: "on", false: "off"}[on]
	if err := CallControl(n.ControlAddr(), "POST", "/_lameduck/"+state); err != nil {
		return err
	}
	now := d.Log.Now()
	check := &seen.LameDuckCheck{Node: node, From: now}
	d.mu.Lock()
	previous := d.lameDuckChecks[node]
	if d.lameDuckChecks[node] = nil; on {
		d.lameDuckChecks[node] = check
	}
	d.mu.Unlock()
	if !on || previous != nil {
		return nil
	}
	d.Log.Update(func(r *seen.Record) { r.LameDuckChecks = append(r.LameDuckChecks, check) })
	d.operatorTasks.Go(func() {
		for {
			select {
			case <-d.loadDone:
				return
			case <-time.After(frontPollInterval):
			}
			ready := load.Ready(n.Addr())
			d.load.SetUnavailable(node, !ready)
			d.mu.Lock()
			ended := d.lameDuckChecks[node] != check
			d.mu.Unlock()
			if ended && ready {
				return
			}
			if at := d.Log.Now(); !ended && check.CheckedAt == 0 && at >= now+drainCheckDelay {
				d.Log.Update(func(*seen.Record) { check.CheckedAt, check.Ready, check.IdleConns = at, ready, d.load.IdleConns(node) })
			}
		}
	})
	return nil
}

// upgrade has a new process take the place of a node's running one.
func (d *Deployment) upgrade(node int) error {
	rev, members := d.initialList()
	n := d.Nodes[node]
	return n.Upgrade(rev, members, func() { d.list.Lives(node, n.Generation()) })
}

// Upgrade starts a process beside the running one; when it is ready, the old one is told to end, and killed in the end as
// the platform does it. Once both run, and the new one counts as the node, begun is called.
func (n *Node) Upgrade(revision int64, members []world.Member, started func()) error {
	n.mu.Lock()
	old, process, done := n.cmd, n.process, n.done
	if old == nil || !n.opt.Controlled {
		n.mu.Unlock()
		return fmt.Errorf("node %d does not run, or has no second address", n.opt.Number+1)
	}
	err := n.launch(revision, members)
	n.mu.Unlock()
	if err != nil {
		return err
	}
	started()
	if err := n.Ready(); err != nil {
		return err
	}
	now := n.opt.Log.Now()
	n.opt.Log.Update(func(*seen.Record) { process.TerminatedAt = now })
	old.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(n.opt.MaxDeadline + upgradeKillDelay):
		n.opt.Log.Update(func(*seen.Record) { process.Replaced = true })
		old.Process.Kill()
		<-done
	}
	return nil
}
