package stage

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lapisshelf/internal/loop"
	"lapisshelf/internal/registry"
	"lapisshelf/lab/fault"
	"lapisshelf/lab/standin"
	"lapisshelf/lab/world"
)

// lister is what the nodes have their list from.
type lister interface {
	Where(node int) []string // its addresses, for a node
	Set(m world.Member)
	Members() (revision int64, members []world.Member)
	Lives(node, life int)
	Fail(on bool)
	Nonsense(on bool)
	Lag(d time.Duration)
	Cut(node int, on bool)
	Close()
}

// service is the platform's list service.
type service struct{ *standin.List }

func (s service) Where(node int) []string { return []string{s.Addr(node)} }
func (s service) Fail(on bool)            { s.Down(on) }
func (s service) Nonsense(on bool)        { s.Garble(on) }

// store is a key-value registry.
type store struct {
	*standin.Registry
	ends  int
	delay time.Duration

	mu  sync.Mutex
	lag time.Duration
}

func (s *store) Where(node int) []string { return s.Addrs(node) }

func (s *store) Fail(on bool) {
	for e := range s.ends {
		s.Down(e, on)
	}
}

func (s *store) Nonsense(on bool) {
	for e := range s.ends {
		s.Garble(e, on)
	}
}

// Lag makes changes reach the registry so much later, beyond the usual.
func (s *store) Lag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// Set changes an entry after the usual delay.
func (s *store) Set(m world.Member) {
	s.mu.Lock()
	wait := s.delay + s.lag
	s.mu.Unlock()
	time.AfterFunc(wait, func() { s.Registry.Set(m) })
}

// openList starts what the nodes have their list from.
func (s *Deployment) openList(members []world.Member) error {
	x := s.Experiment
	if !x.List.InRegistry() {
		// Planners have addresses of their own there, behind the nodes'.
		l, err := standin.NewList(s.Common, standin.ListOptions{Addr: s.net + "201:0", Nodes: x.Nodes.Count + x.Planners.Count, Delay: x.List.Delay.D(),
			Keep: x.List.Keep, Whole: x.List.Whole, Wait: x.List.Wait.D()}, members...)
		if err == nil {
			s.list = service{l}
		}
		return err
	}
	r, err := standin.NewRegistry(s.Common, standin.RegistryOptions{Addr: s.net + "201:0", Endpoints: x.List.Endpoints, Nodes: x.Nodes.Count + x.Planners.Count,
		Prefix: registryPrefix, Token: x.List.Token, Progress: x.List.Progress.D()})
	if err != nil {
		return err
	}
	s.list = &store{Registry: r, ends: x.List.Endpoints, delay: x.List.Delay.D()}
	if x.List.Lease.D() > 0 {
		if s.keeper, err = newKeeper(s, r); err != nil {
			return err
		}
	}
	for i, m := range members {
		if name := x.Servers[min(i, len(x.Servers)-1)].Name; s.keeper != nil && m.Kind != "origin" {
			s.keeper.set(name, m)
		} else {
			r.Set(m)
		}
	}
	for end := time.Now().Add(readyWithin); ; time.Sleep(5 * time.Millisecond) {
		if _, all := r.Members(); len(all) == len(members) {
			return nil
		} else if time.Now().After(end) {
			return fmt.Errorf("only %d of %d servers are in the registry", len(all), len(members))
		}
	}
}

const registryPrefix = "lapisshelf/servers/"

// known is the list that a node is started with: none where it is in a registry, which a node asks itself.
func (s *Deployment) known() (int64, []world.Member) {
	if s.Experiment.List.InRegistry() {
		return 0, nil
	}
	return s.list.Members()
}

// operatorFile writes a node's operator's file.
func (s *Deployment) operatorFile(node int) (string, error) {
	var b strings.Builder
	if s.Experiment.List.InRegistry() {
		text, err := s.registryTable(node)
		if err != nil {
			return "", err
		}
		b.WriteString(text)
	}
	b.WriteString(s.plannersTable(node))
	path := filepath.Join(s.opt.Dir, fmt.Sprintf("node%d.toml", node+1))
	return path, os.WriteFile(path, []byte(b.String()), 0o600)
}

// registryTable is what an operator's file says of the registry to a node, or to a planner, whose numbers go on from them.
func (s *Deployment) registryTable(node int) (string, error) {
	l := &s.Experiment.List
	var b strings.Builder
	fmt.Fprintf(&b, "[registry]\nkind = %q\nprefix = %q\nhold = %q\nhold_part = %g\nrewind = %q\n", l.Kind, registryPrefix, l.Hold.D(), l.HoldPart, l.Rewind.D())
	fmt.Fprintf(&b, "endpoints = [\"%s\"]\n", strings.Join(s.list.Where(node), "\", \""))
	if l.Watch.D() > 0 {
		fmt.Fprintf(&b, "watch = %q\n", l.Watch.D())
	}
	if l.Token != "" {
		if err := os.WriteFile(filepath.Join(s.opt.Dir, "token"), []byte(l.Token+"\n"), 0o600); err != nil {
			return "", err
		}
		b.WriteString("token_file = \"token\"\n")
	}
	if l.Announce && node < s.Experiment.Nodes.Count {
		b.WriteString("[announce]\nttl = \"2s\"\n")
	}
	return b.String(), nil
}

// onRegistry breaks a registry.
func (s *Deployment) onRegistry(a fault.Action) error {
	r := s.list.(*store)
	end, on := a.Endpoint-1, a.Value != 0
	switch a.Kind {
	case fault.RegistryDown:
		r.Down(end, on)
	case fault.RegistryMute:
		r.Mute(end, on)
	case fault.RegistryGarble:
		r.Garble(end, on)
	case fault.RegistryLag:
		r.Registry.Lag(end, int64(a.Value))
	case fault.RegistryCompact:
		r.Compact(0)
	case fault.RegistryWipe:
		r.Wipe()
	case fault.RegistrySave:
		r.Save()
	case fault.RegistryRestore:
		r.Restore()
	case fault.RegistryTwice:
		r.Twice(on)
	case fault.RegistryDrip:
		r.Split(on, time.Duration(a.Value*float64(time.Millisecond)))
	}
	return nil
}

// keeper keeps the servers' entries under leases, each as a server of its own would: by the registry's protocol.
type keeper struct {
	stage *Deployment
	loop  *loop.Loop
	cfg   registry.Config
	done  chan error

	mu  sync.Mutex
	all map[string]*registry.Announcer // by the server's name
}

func newKeeper(s *Deployment, r *standin.Registry) (*keeper, error) {
	l, err := loop.New()
	if err != nil {
		return nil, err
	}
	k := &keeper{stage: s, loop: l, done: make(chan error, 1), all: map[string]*registry.Announcer{},
		cfg: registry.Config{Kind: registry.Kind(s.Experiment.List.Kind), Token: s.Experiment.List.Token, MostBody: 1 << 20}}
	for _, a := range r.Addrs(0) {
		addr, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, err
		}
		k.cfg.Endpoints = append(k.cfg.Endpoints, addr)
	}
	go func() { k.done <- l.Run() }()
	return k, nil
}

// set makes a server's entry what it is now, or takes it out.
func (k *keeper) set(name string, m world.Member) {
	value := standin.EntryOf(k.stage.Log.StartTime(), m)
	k.loop.Post(func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		a := k.all[name]
		switch {
		case a != nil && m.Phase == world.Deleted:
			delete(k.all, name)
			a.Stop(func() {})
		case m.Phase == world.Deleted:
		case a != nil:
			a.Change(value)
		default:
			a = registry.NewAnnouncer(k.loop, k.cfg, registryPrefix+m.ID, value, k.stage.Experiment.List.Lease.D(), k.stage.Experiment.Seed, func(event, why string) {
				k.stage.Log.AddEvent(fmt.Sprintf("%s: %s %s", name, event, why))
			})
			k.all[name] = a
			a.Start()
		}
	})
}

// die leaves a server's lease to lapse.
func (k *keeper) die(name string) {
	k.loop.Post(func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if a := k.all[name]; a != nil {
			delete(k.all, name)
			a.Abandon()
		}
	})
}

func (k *keeper) close() {
	k.loop.Post(k.loop.Stop)
	<-k.done
}
