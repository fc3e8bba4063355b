package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"lapisshelf/decide/roster"
	"lapisshelf/policy"
)

// entry is a server as a registry's value has it: a JSON object. docs/registry.md describes it.
type entry struct {
	ID     string   `json:"id"`
	Addr   string   `json:"addr"`
	Zone   string   `json:"zone,omitempty"`
	Kind   string   `json:"kind,omitempty"`
	Cell   int      `json:"cell,omitempty"`
	Phase  string   `json:"phase,omitempty"`
	Weight *float64 `json:"weight,omitempty"`
	Start  int64    `json:"start_ms,omitempty"`
}

// The phases of an entry; one that is left out serves.
const (
	phaseServing  = "serving"
	phaseDraining = "draining"
)

// ParseEntry reads the value of a key; without an id of its own the server has the key's last part.
func ParseEntry(key string, value []byte) (roster.Entry, error) {
	var in entry
	if err := json.Unmarshal(value, &in); err != nil {
		return roster.Entry{}, fmt.Errorf("key %q: %w", key, err)
	}
	invalid := func(problem string) (roster.Entry, error) {
		return roster.Entry{}, fmt.Errorf("key %q: %s", key, problem)
	}
	if in.ID == "" {
		in.ID = lastSegment(key)
	}
	e := roster.Entry{Addr: in.Addr, Server: policy.Server{ID: in.ID, Zone: in.Zone, Kind: in.Kind, Cell: in.Cell, Weight: -1}}
	switch in.Phase {
	case "", phaseServing:
	case phaseDraining:
		e.State = policy.Draining
	default:
		return invalid("unknown phase " + in.Phase)
	}
	if _, err := netip.ParseAddrPort(in.Addr); err != nil {
		return invalid("addr is no address and port")
	}
	if in.ID == "" || len(in.ID) > maxIDBytes {
		return invalid("no id, or too long a one")
	}
	if in.Weight != nil {
		if e.Weight = *in.Weight; !(e.Weight >= 0 && e.Weight < math.MaxFloat32) {
			return invalid("weight is negative or absurd")
		}
	}
	if in.Start < 0 || in.Start > math.MaxInt64/int64(time.Millisecond) {
		return invalid("no such start")
	}
	e.Started = time.Duration(in.Start) * time.Millisecond // the event clock is Unix time
	return e, nil
}

// maxIDBytes bounds a server's id, in bytes.
const maxIDBytes = 256

func lastSegment(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '/' {
			return key[i+1:]
		}
	}
	return key
}

// FormatEntry writes an entry's value, as ParseEntry reads it.
func FormatEntry(e roster.Entry) []byte {
	out := entry{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Start: e.Started.Milliseconds()}
	if e.State == policy.Draining {
		out.Phase = phaseDraining
	}
	if e.Weight >= 0 {
		out.Weight = &e.Weight
	}
	text, err := json.Marshal(out)
	if err != nil { // a weight that is no number
		return nil
	}
	return text
}

// SavedList is a list that a node had before.
type SavedList struct {
	Revision int64
	Entries  []roster.Entry
}

// ParseSavedList reads one in the form of the platform's discovery.
func ParseSavedList(text []byte) (SavedList, error) {
	revision, _, entries, err := ParseList(text)
	if err != nil {
		return SavedList{}, err
	}
	return SavedList{revision, slices.DeleteFunc(entries, func(e roster.Entry) bool { return e.State == policy.Gone })}, nil
}

// ParseList reads a list in the form of the platform's discovery. A list that holds anything senseless is refused whole:
// half a list would be taken for servers that have gone.
func ParseList(text []byte) (revision int64, complete bool, entries []roster.Entry, err error) {
	var in struct {
		Revision *int64
		Complete bool
		Members  []struct {
			ID       string
			HostPort string `json:"host_port"`
			Locality string
			Flavor   string
			Cell     int
			Phase    string
			Size     *float64
			UpSince  int64 `json:"up_since_ms"`
		}
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return 0, false, nil, err
	}
	if in.Revision == nil {
		return 0, false, nil, errors.New("no revision")
	}
	phases := map[string]policy.State{"SERVING": policy.Ready, "DRAINING": policy.Draining, "DELETED": policy.Gone}
	seen := map[string]bool{}
	for _, m := range in.Members {
		state, known := phases[m.Phase]
		_, addrErr := netip.ParseAddrPort(m.HostPort)
		switch {
		case m.ID == "" || seen[m.ID]:
			err = fmt.Errorf("id %q is empty or told twice", m.ID)
		case !known:
			err = fmt.Errorf("server %s: unknown phase %q", m.ID, m.Phase)
		case addrErr != nil && state != policy.Gone:
			err = fmt.Errorf("server %s: %w", m.ID, addrErr)
		case m.Size != nil && *m.Size < 0:
			err = fmt.Errorf("server %s: negative size", m.ID)
		case m.UpSince < 0 || m.UpSince > math.MaxInt64/int64(time.Millisecond):
			err = fmt.Errorf("server %s: no such start", m.ID)
		}
		if err != nil {
			return 0, false, nil, err
		}
		seen[m.ID] = true
		e := roster.Entry{Addr: m.HostPort, Server: policy.Server{ID: m.ID, Zone: m.Locality, Kind: m.Flavor, Cell: m.Cell, State: state,
			Weight: -1, Started: time.Duration(m.UpSince) * time.Millisecond}}
		if m.Size != nil {
			e.Weight = *m.Size
		}
		entries = append(entries, e)
	}
	return *in.Revision, in.Complete, entries, nil
}
