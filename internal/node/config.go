package node

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"time"

	"lapisshelf/decide/roster"
	"lapisshelf/internal/forwarder"
	"lapisshelf/internal/operator"
	"lapisshelf/internal/registry"
	"lapisshelf/internal/settings"
	"lapisshelf/policy"
)

// Config is the configuration of a node.
type Config struct {
	Name         string
	Listen       netip.AddrPort
	Control      netip.AddrPort    // control address for operators; none if invalid
	StateDir     string            // shared by the processes of this node for handovers; empty if there are none
	Registry     registry.Config   // source of the server list
	Announce     *Announce         // the node's own entry in the registry; nil if there is none
	Planners     *forwarder.Config // nil if there are no planners
	Seed         uint64
	MemoryMB     int                // memory limit
	Sockets      int                // limit of file descriptors
	SavedList    registry.SavedList // server list to start with, until the registry answers
	SavedListErr error              // why the saved list is ignored
	Settings     policy.Settings
	Transport    settings.Transport
}

// Announce is the entry that a node keeps for itself in the registry.
type Announce struct {
	Key   string
	Value []byte
	TTL   time.Duration // of the lease
}

// Limits that apply if the configuration has none, and the minimum of a configured one.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 64 // fewer do not suffice for servers and clients together
)

// ReadConfig reads the configuration file that EDGE_CONFIG names. What the file leaves out is taken from the other environment
// variables, then from the operator's file op, if there is one; with an operator's file EDGE_CONFIG is optional.
func ReadConfig(getenv func(string) string, op *operator.File) (Config, error) {
	path := getenv("EDGE_CONFIG")
	text := []byte("{}")
	switch {
	case path != "":
		var err error
		if text, err = os.ReadFile(path); err != nil {
			return Config{}, fmt.Errorf("configuration: %w", err)
		}
	case op == nil:
		return Config{}, errors.New("EDGE_CONFIG names no file, and there is no operator's file (--config or LAPISSHELF_CONFIG)")
	}
	c, err := ParseConfig(text, getenv, op)
	if err != nil && path != "" {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return c, err
}

// ParseConfig parses the text of a configuration file; op may be nil.
func ParseConfig(text []byte, getenv func(string) string, op *operator.File) (Config, error) {
	if op == nil {
		op = &operator.File{}
	}
	var file struct {
		Name, Listen, Discovery, Control string
		Seed                             json.RawMessage
		Limits                           struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	configError := func(what string, err error) (Config, error) {
		return Config{}, fmt.Errorf("configuration: %s: %w", what, err)
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return configError("invalid JSON", err)
	}
	c := Config{Name: cmp.Or(file.Name, getenv("EDGE_NAME"), op.Node.Name), MemoryMB: cmp.Or(file.Limits.MemoryMB, op.Node.MemoryMB),
		Sockets: cmp.Or(file.Limits.Sockets, op.Node.Sockets)}
	var err error
	if c.Listen, err = netip.ParseAddrPort(cmp.Or(file.Listen, getenv("EDGE_LISTEN"), op.Node.Listen)); err != nil {
		return configError("listen", err)
	}
	if control := cmp.Or(file.Control, getenv("EDGE_CONTROL"), op.Node.Control); control != "" {
		if c.Control, err = netip.ParseAddrPort(control); err != nil {
			return configError("control", err)
		}
		if file.Control != "" || getenv("EDGE_CONTROL") != "" { // the platform runs the new process of an upgrade beside the old one
			c.StateDir = getenv("TMPDIR")
		}
		if c.Control == c.Listen && c.Listen.Port() != 0 {
			return configError("control", errors.New("same address as listen"))
		}
	}
	c.StateDir = cmp.Or(op.Node.StateDir, c.StateDir)
	discovery := cmp.Or(file.Discovery, getenv("EDGE_DISCOVERY"), op.Node.Discovery)
	if registryConfig, err := op.RegistryConfig(); err != nil {
		return Config{}, err
	} else if registryConfig != nil && discovery == "" {
		c.Registry = *registryConfig
		if a := op.Announce; a != nil {
			if c.Name == "" {
				return configError("announce", errors.New("a node that announces itself needs a name"))
			}
			own := roster.Entry{Addr: c.Listen.String(), Server: policy.Server{ID: c.Name, Kind: "node", Weight: -1}}
			c.Announce = &Announce{Key: a.Prefix + c.Name, Value: registry.FormatEntry(own), TTL: a.TTL.D()}
		}
	} else {
		addr, err := netip.ParseAddrPort(discovery)
		if err != nil {
			return configError("discovery", err)
		}
		c.Registry = registry.Config{Kind: registry.Discovery, Endpoints: []netip.AddrPort{addr}}
	}
	if c.Planners, err = op.ForwarderConfig(); err != nil {
		return Config{}, err
	} else if c.Planners != nil {
		if c.Planners.Name = c.Name; c.Name == "" {
			return configError("planners", errors.New("a node that talks to planners needs a name"))
		}
	}
	if c.Seed, err = parseSeed(file.Seed); err != nil {
		return configError("seed", err)
	}
	if len(file.Seed) == 0 {
		c.Seed = cmp.Or(op.Node.Seed, rand.Uint64())
	}
	if c.MemoryMB < 0 || c.Sockets < 0 || c.Sockets > 0 && c.Sockets < minSockets {
		return configError("limits", fmt.Errorf("memory_mb %d, sockets %d", c.MemoryMB, c.Sockets))
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		// An invalid saved list does not prevent the start: discovery provides a current one.
		c.SavedList, c.SavedListErr = registry.ParseSavedList(file.Known)
	}
	if len(file.Settings) == 0 {
		var found bool
		if c.Settings, c.Transport, found = op.Settings(); !found {
			return configError("settings", errors.New("missing, and there is no [service] in an operator's file"))
		}
		return c, nil
	}
	if c.Settings, c.Transport, err = settings.DecodeAll(file.Settings); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// parseSeed parses a JSON string of up to 64 bits in hexadecimal, or a JSON number.
func parseSeed(text json.RawMessage) (uint64, error) {
	if len(text) == 0 {
		return 0, nil
	}
	var hex string
	if json.Unmarshal(text, &hex) == nil {
		return strconv.ParseUint(hex, 16, 64)
	}
	var n uint64
	err := json.Unmarshal(text, &n)
	return n, err
}
