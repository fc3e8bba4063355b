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

// The actions of operators, and the checks of their effects.

const (
	callTimeout       = time.Second            // for the response of a control address
	frontPollInterval = 100 * time.Millisecond // how often a front checks whether a node accepts clients
	drainCheckDelay   = 4 * time.Second        // from the call until all idle clients must be disconnected
)

// CallControl sends a request to a control address. It returns an error unless the response has a 2xx status.
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

// ControlAddr returns the control address of the running process; it is empty if there is none.
func (n *Node) ControlAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.controlAddr
}

// setBan bans a server at a node, or lifts its ban.
func (d *Deployment) setBan(node int, name string, on bool) error {
	id := d.Experiment.Server(name).ID
	if c := d.cache(name); c != nil {
		id = c.ID()
	}
	at := d.Log.Now() // a ban can end as soon as the call is sent, and has begun once it is answered
	verb := map[bool]string{true: "detach", false: "attach"}[on]
	if err := CallControl(d.Nodes[node].ControlAddr(), "POST", "/_cache-servers/"+verb+"/"+id); err != nil {
		if !on { // a node that was stopped may carry out the call later, although it did not answer
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

// setLameDuck starts or ends the lame duck of a node. Meanwhile a front polls whether the node is ready, keeps clients away while it
// is not, and records drainCheckDelay after the call whether the node has closed its idle connections.
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

// upgrade replaces the running process of a node by a new one.
func (d *Deployment) upgrade(node int) error {
	rev, members := d.initialList()
	n := d.Nodes[node]
	return n.Upgrade(rev, members, func() { d.list.SetGeneration(node, n.Generation()) })
}

// Upgrade starts a successor beside the running process. When it is ready, the predecessor receives SIGTERM, and SIGKILL if it takes
// too long, as on the platform. Upgrade calls started once both processes run and the new one counts as the node's process.
func (n *Node) Upgrade(revision int64, members []world.Member, started func()) error {
	n.mu.Lock()
	old, process, done := n.cmd, n.process, n.done
	if old == nil || !n.opt.Controlled {
		n.mu.Unlock()
		return fmt.Errorf("node %d does not run, or has no control address", n.opt.Number+1)
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
	n.killAtEarliest(old, process, done)
	return nil
}
