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

// serverList is the source of the server list: the list service or a registry.
type serverList interface {
	AddrsFor(node int) []string // the addresses that a node connects to
	Set(m world.Member)
	Members() (revision int64, members []world.Member)
	SetGeneration(node, life int)
	SetListDown(on bool)
	SetListGarbled(on bool)
	Lag(d time.Duration)
	Cut(node int, on bool)
	Close()
}

// discoveryList is the list service of the platform.
type discoveryList struct{ *standin.List }

func (s discoveryList) AddrsFor(node int) []string { return []string{s.Addr(node)} }
func (s discoveryList) SetListDown(on bool)        { s.SetDown(on) }
func (s discoveryList) SetListGarbled(on bool)     { s.SetGarbled(on) }

// registryList is a key-value registry.
type registryList struct {
	*standin.Registry
	endpoints   int
	changeDelay time.Duration

	mu         sync.Mutex
	extraDelay time.Duration
}

func (s *registryList) AddrsFor(node int) []string { return s.Endpoints(node) }

func (s *registryList) SetListDown(on bool) {
	for endpoint := range s.endpoints {
		s.SetDown(endpoint, on)
	}
}

func (s *registryList) SetListGarbled(on bool) {
	for endpoint := range s.endpoints {
		s.SetGarbled(endpoint, on)
	}
}

// Lag delays further changes by d, in addition to the usual delay.
func (s *registryList) Lag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraDelay = d
}

// Set changes an entry after the usual delay.
func (s *registryList) Set(m world.Member) {
	s.mu.Lock()
	delay := s.changeDelay + s.extraDelay
	s.mu.Unlock()
	time.AfterFunc(delay, func() { s.Registry.Set(m) })
}

// openList starts the source of the server list with its first entries.
func (d *Deployment) openList(members []world.Member) error {
	x := d.Experiment
	if !x.List.InRegistry() {
		// Planners have their own addresses of the service, after those of the nodes.
		list, err := standin.NewList(d.Common, standin.ListOptions{Addr: d.netPrefix + "201:0", Nodes: x.Nodes.Count + x.Planners.Count, ChangeDelay: x.List.Delay.D(),
			KeptChanges: x.List.Keep, SnapshotsOnly: x.List.Whole, AnswerDelay: x.List.Wait.D()}, members...)
		if err == nil {
			d.list = discoveryList{list}
		}
		return err
	}
	r, err := standin.NewRegistry(d.Common, standin.RegistryOptions{Addr: d.netPrefix + "201:0", Endpoints: x.List.Endpoints, Nodes: x.Nodes.Count + x.Planners.Count,
		Prefix: registryPrefix, Token: x.List.Token, ProgressInterval: x.List.Progress.D()})
	if err != nil {
		return err
	}
	d.list = &registryList{Registry: r, endpoints: x.List.Endpoints, changeDelay: x.List.Delay.D()}
	if x.List.Lease.D() > 0 {
		if d.leases, err = newLeaseKeeper(d, r); err != nil {
			return err
		}
	}
	for i, m := range members {
		if name := x.Servers[min(i, len(x.Servers)-1)].Name; d.leases != nil && m.Kind != "origin" {
			d.leases.setEntry(name, m)
		} else {
			r.Set(m)
		}
	}
	for limit := time.Now().Add(readyTimeout); ; time.Sleep(5 * time.Millisecond) {
		if _, present := r.Members(); len(present) == len(members) {
			return nil
		} else if time.Now().After(limit) {
			return fmt.Errorf("timeout: only %d of %d servers are in the registry", len(present), len(members))
		}
	}
}

const registryPrefix = "lapisshelf/servers/"

// initialList returns the server list for a node's configuration. It is empty with a registry, where a node reads the list itself.
func (d *Deployment) initialList() (int64, []world.Member) {
	if d.Experiment.List.InRegistry() {
		return 0, nil
	}
	return d.list.Members()
}

// writeOperatorFile writes the operator's file of a node and returns its path.
func (d *Deployment) writeOperatorFile(node int) (string, error) {
	var b strings.Builder
	if d.Experiment.List.InRegistry() {
		text, err := d.registryTable(node)
		if err != nil {
			return "", err
		}
		b.WriteString(text)
	}
	b.WriteString(d.plannersTable(node))
	path := filepath.Join(d.opt.Dir, fmt.Sprintf("node%d.toml", node+1))
	return path, os.WriteFile(path, []byte(b.String()), 0o600)
}

// registryTable returns the [registry] table of an operator's file for a node, or for a planner, whose numbers follow those of the
// nodes.
func (d *Deployment) registryTable(node int) (string, error) {
	list := &d.Experiment.List
	var b strings.Builder
	fmt.Fprintf(&b, "[registry]\nkind = %q\nprefix = %q\nhold = %q\nhold_part = %g\nrewind = %q\n", list.Kind, registryPrefix, list.Hold.D(), list.HoldPart, list.Rewind.D())
	fmt.Fprintf(&b, "endpoints = [\"%s\"]\n", strings.Join(d.list.AddrsFor(node), "\", \""))
	if list.Watch.D() > 0 {
		fmt.Fprintf(&b, "watch = %q\n", list.Watch.D())
	}
	if list.Token != "" {
		if err := os.WriteFile(filepath.Join(d.opt.Dir, "token"), []byte(list.Token+"\n"), 0o600); err != nil {
			return "", err
		}
		b.WriteString("token_file = \"token\"\n")
	}
	if list.Announce && node < d.Experiment.Nodes.Count {
		b.WriteString("[announce]\nttl = \"2s\"\n")
	}
	return b.String(), nil
}

// applyToRegistry injects a fault into the registry or ends one.
func (d *Deployment) applyToRegistry(a fault.Action) error {
	r := d.list.(*registryList)
	endpoint, on := a.Endpoint-1, a.Value != 0
	switch a.Kind {
	case fault.RegistryDown:
		r.SetDown(endpoint, on)
	case fault.RegistryMute:
		r.SetMuted(endpoint, on)
	case fault.RegistryGarble:
		r.SetGarbled(endpoint, on)
	case fault.RegistryLag:
		r.Registry.Lag(endpoint, int64(a.Value))
	case fault.RegistryCompact:
		r.Compact(0)
	case fault.RegistryWipe:
		r.DeleteAll()
	case fault.RegistrySave:
		r.SaveBackup()
	case fault.RegistryRestore:
		r.RestoreBackup()
	case fault.RegistryTwice:
		r.RepeatEvents(on)
	case fault.RegistryDrip:
		r.SplitAnswers(on, time.Duration(a.Value*float64(time.Millisecond)))
	}
	return nil
}

// leaseKeeper keeps the registry entries of all servers under leases. It uses the registry's protocol, with a lease for each server,
// as the servers would themselves.
type leaseKeeper struct {
	deployment *Deployment
	loop       *loop.Loop
	cfg        registry.Config
	done       chan error

	mu         sync.Mutex
	announcers map[string]*registry.Announcer // by server name
}

func newLeaseKeeper(d *Deployment, r *standin.Registry) (*leaseKeeper, error) {
	l, err := loop.New()
	if err != nil {
		return nil, err
	}
	k := &leaseKeeper{deployment: d, loop: l, done: make(chan error, 1), announcers: map[string]*registry.Announcer{},
		cfg: registry.Config{Kind: registry.Kind(d.Experiment.List.Kind), Token: d.Experiment.List.Token, MaxBodyBytes: 1 << 20}}
	for _, a := range r.Endpoints(0) {
		addr, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, err
		}
		k.cfg.Endpoints = append(k.cfg.Endpoints, addr)
	}
	go func() { k.done <- l.Run() }()
	return k, nil
}

// setEntry creates, updates or deletes the entry of a server.
func (k *leaseKeeper) setEntry(name string, m world.Member) {
	value := standin.EncodeEntry(k.deployment.Log.StartTime(), m)
	k.loop.Post(func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		a := k.announcers[name]
		switch {
		case a != nil && m.Phase == world.Deleted:
			delete(k.announcers, name)
			a.Stop(func() {})
		case m.Phase == world.Deleted:
		case a != nil:
			a.SetValue(value)
		default:
			a = registry.NewAnnouncer(k.loop, k.cfg, registryPrefix+m.ID, value, k.deployment.Experiment.List.Lease.D(), k.deployment.Experiment.Seed, func(event, why string) {
				k.deployment.Log.AddEvent(fmt.Sprintf("%s: %s %s", name, event, why))
			})
			k.announcers[name] = a
			a.Start()
		}
	})
}

// abandon stops renewing a server's lease, so that it expires.
func (k *leaseKeeper) abandon(name string) {
	k.loop.Post(func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if a := k.announcers[name]; a != nil {
			delete(k.announcers, name)
			a.Abandon()
		}
	})
}

func (k *leaseKeeper) close() {
	k.loop.Post(k.loop.Stop)
	<-k.done
}
