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
	callWithin   = time.Second            // how long an operator waits for an answer
	frontEvery   = 100 * time.Millisecond // how often a front asks a node whether it takes clients
	drainedAfter = 4 * time.Second        // from the call to the moment by which no client is kept
	killBehind   = 700 * time.Millisecond // past the longest deadline, after SIGTERM: when an old process is killed
)

// CallControl makes an operator's call; nil means yes.
func CallControl(addr, method, path string) error {
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: callWithin, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, 1<<10))
	if answer.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: %s: %s", method, path, answer.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// ControlAddr is the running process's second address.
func (n *Node) ControlAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control
}

// detach bans a server at a node, or lifts that.
func (s *Deployment) detach(node int, name string, on bool) error {
	id := s.Experiment.Server(name).ID
	if c := s.cache(name); c != nil {
		id = c.ID()
	}
	at := s.Log.Now() // a ban may end with the call, and begins with its answer
	word := map[bool]string{true: "detach", false: "attach"}[on]
	if err := CallControl(s.Nodes[node].ControlAddr(), "POST", "/_cache-servers/"+word+"/"+id); err != nil {
		if !on { // a call that was not answered may be carried out all the same, by a node that was stopped
			s.Log.Update(func(r *seen.Record) { r.SetBan(node, id, on, at) })
		}
		return err
	}
	if on {
		at = s.Log.Now()
	}
	s.Log.Update(func(r *seen.Record) { r.SetBan(node, id, on, at) })
	return nil
}

// lameduck drains a node or takes that back. A front follows what the node says, and looks whether it lets its clients go.
func (s *Deployment) lameduck(node int, on bool) error {
	n := s.Nodes[node]
	word := map[bool]string{true: "on", false: "off"}[on]
	if err := CallControl(n.ControlAddr(), "POST", "/_lameduck/"+word); err != nil {
		return err
	}
	now := s.Log.Now()
	l := &seen.LameDuckCheck{Node: node, From: now}
	s.mu.Lock()
	old := s.lames[node]
	if s.lames[node] = nil; on {
		s.lames[node] = l
	}
	s.mu.Unlock()
	if !on || old != nil {
		return nil
	}
	s.Log.Update(func(r *seen.Record) { r.LameDuckChecks = append(r.LameDuckChecks, l) })
	s.hands.Go(func() {
		for {
			select {
			case <-s.quit:
				return
			case <-time.After(frontEvery):
			}
			ready := load.Ready(n.Addr())
			s.load.SetUnavailable(node, !ready)
			s.mu.Lock()
			over := s.lames[node] != l
			s.mu.Unlock()
			if over && ready {
				return
			}
			if at := s.Log.Now(); !over && l.CheckedAt == 0 && at >= now+drainedAfter {
				s.Log.Update(func(*seen.Record) { l.CheckedAt, l.Ready, l.IdleConns = at, ready, s.load.IdleConns(node) })
			}
		}
	})
	return nil
}

// upgrade has a new process take the place of a node's running one.
func (s *Deployment) upgrade(node int) error {
	rev, members := s.known()
	n := s.Nodes[node]
	return n.Upgrade(rev, members, func() { s.list.Lives(node, n.Generation()) })
}

// Upgrade starts a process beside the running one; when it is ready, the old one is told to end, and killed in the end as
// the platform does it. Once both run, and the new one counts as the node, begun is called.
func (n *Node) Upgrade(revision int64, members []world.Member, begun func()) error {
	n.mu.Lock()
	old, life, done := n.cmd, n.life, n.done
	if old == nil || !n.opt.Controlled {
		n.mu.Unlock()
		return fmt.Errorf("node %d does not run, or has no second address", n.opt.Number+1)
	}
	err := n.launch(revision, members)
	n.mu.Unlock()
	if err != nil {
		return err
	}
	begun()
	if err := n.Ready(); err != nil {
		return err
	}
	now := n.opt.Log.Now()
	n.opt.Log.Update(func(*seen.Record) { life.TerminatedAt = now })
	old.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(n.opt.MaxDeadline + killBehind):
		n.opt.Log.Update(func(*seen.Record) { life.Replaced = true })
		old.Process.Kill()
		<-done
	}
	return nil
}
