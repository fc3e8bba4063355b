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

// entry is the JSON form of a server in the value of a key. docs/registry.md describes it.
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

// The phases of an entry. An entry without a phase is serving.
const (
	phaseServing  = "serving"
	phaseDraining = "draining"
)

// ParseEntry parses the value of a key. If the value has no id, the last segment of the key is the server's id.
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
		return invalid("addr is not an IP address and port")
	}
	if in.ID == "" || len(in.ID) > maxIDBytes {
		return invalid("id is missing or too long")
	}
	if in.Weight != nil {
		if e.Weight = *in.Weight; !(e.Weight >= 0 && e.Weight < math.MaxFloat32) {
			return invalid("weight out of range")
		}
	}
	if in.Start < 0 || in.Start > math.MaxInt64/int64(time.Millisecond) {
		return invalid("start_ms out of range")
	}
	e.Started = time.Duration(in.Start) * time.Millisecond // the event clock is Unix time
	return e, nil
}

// maxIDBytes limits the length of a server's id.
const maxIDBytes = 256

// lastSegment returns the part of a key after its last slash.
func lastSegment(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '/' {
			return key[i+1:]
		}
	}
	return key
}

// FormatEntry returns the value of an entry in the form that ParseEntry reads. It returns nil if the weight is infinite.
func FormatEntry(e roster.Entry) []byte {
	out := entry{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Start: e.Started.Milliseconds()}
	if e.State == policy.Draining {
		out.Phase = phaseDraining
	}
	if e.Weight >= 0 {
		out.Weight = &e.Weight
	}
	text, err := json.Marshal(out)
	if err != nil { // the weight is infinite
		return nil
	}
	return text
}

// SavedList is a server list that was saved before a restart.
type SavedList struct {
	Revision int64
	Entries  []roster.Entry
}

// ParseSavedList parses a saved list, which has the form of the platform's discovery. Servers that are gone are left out.
func ParseSavedList(text []byte) (SavedList, error) {
	revision, _, entries, err := ParseList(text)
	if err != nil {
		return SavedList{}, err
	}
	return SavedList{revision, slices.DeleteFunc(entries, func(e roster.Entry) bool { return e.State == policy.Gone })}, nil
}

// ParseList parses a list in the form of the platform's discovery. A list with any invalid member is refused as a whole: servers
// missing from it would be taken for gone.
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
		return 0, false, nil, errors.New("revision is missing")
	}
	phases := map[string]policy.State{"SERVING": policy.Ready, "DRAINING": policy.Draining, "DELETED": policy.Gone}
	seen := map[string]bool{}
	for _, m := range in.Members {
		state, known := phases[m.Phase]
		_, addrErr := netip.ParseAddrPort(m.HostPort)
		switch {
		case m.ID == "" || seen[m.ID]:
			err = fmt.Errorf("id %q is empty or not unique", m.ID)
		case !known:
			err = fmt.Errorf("server %s: unknown phase %q", m.ID, m.Phase)
		case addrErr != nil && state != policy.Gone:
			err = fmt.Errorf("server %s: %w", m.ID, addrErr)
		case m.Size != nil && *m.Size < 0:
			err = fmt.Errorf("server %s: negative size", m.ID)
		case m.UpSince < 0 || m.UpSince > math.MaxInt64/int64(time.Millisecond):
			err = fmt.Errorf("server %s: up_since_ms out of range", m.ID)
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
