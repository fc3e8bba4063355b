// Package migrate converts the configuration of a node that served a pool of clients into that of a node that runs beside a
// single client process. It accepts an operator's file or a node's configuration, changes the keys that differ in the new
// deployment, drops those that must not be the same on many nodes, and returns the reason for each. It writes no files.
package migrate

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"lapisshelf/internal/node"
	"lapisshelf/internal/operator"
	"lapisshelf/internal/settings"
	"lapisshelf/internal/tomlfile"
)

// Deployment describes the new deployment and the converted node's place in it.
type Deployment struct {
	Nodes    int    // number of nodes in the fleet, one for each client process; 1 to 100000
	Position int    // index of this node in the fleet, from 0
	Name     string // name of this node; empty: none
	Zone     string // zone of this node; empty: none
	Listen   string // address and port for the client; empty: the old port on 127.0.0.1
}

// KeyChange is a key that was dropped or has a new value, with the reason.
type KeyChange struct{ Key, Reason string }

// Result is a converted configuration.
type Result struct {
	Text    []byte
	Dropped []KeyChange // keys that the new configuration lacks
	Changed []KeyChange // keys with a new value
}

func (r *Result) drop(key, reason string) { r.Dropped = append(r.Dropped, KeyChange{key, reason}) }

func (r *Result) change(key string, from, to any, reason string) {
	if fmt.Sprint(from) != fmt.Sprint(to) {
		r.Changed = append(r.Changed, KeyChange{key, fmt.Sprintf("%v, was %v: %s", to, from, reason)})
	}
}

const (
	reasonSeed     = "nodes with one seed would make the same random choices and wait equally long"
	reasonControl  = "several nodes on one machine would use the same address; set one for each node that operators query"
	reasonName     = "a name belongs to one node; give --name"
	reasonStateDir = "a directory belongs to one node; set one where upgrades in place are wanted"
	reasonNodes    = "each client process has its own node"
	reasonZone     = "a node runs in its client's zone; give --zone"
	reasonListen   = "a node runs on its client's machine"
	reasonPlanners = "each node needs a certificate in its own name: make them with lapisshelf keys, then add the table again"
)

// header is the first line of each converted operator's file.
const header = "# Written by lapisshelf migrate: a node beside one client process.\n"

// listenAddress returns the address on which the new node listens. It serves a client on the same machine, so an address other
// than a loopback one becomes 127.0.0.1 with the same port.
func (s Deployment) listenAddress(old string) string {
	if s.Listen != "" {
		return s.Listen
	}
	if a, err := netip.ParseAddrPort(old); err == nil && !a.Addr().IsLoopback() {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), a.Port()).String()
	}
	return old
}

func (s Deployment) validate() error {
	if _, err := netip.ParseAddrPort(s.Listen); s.Listen != "" && err != nil {
		return fmt.Errorf("listen %q must be an address and a port, such as 127.0.0.1:11211", s.Listen)
	}
	if s.Nodes < 1 || s.Nodes > 100000 {
		return fmt.Errorf("%d nodes: must be 1 to 100000", s.Nodes)
	}
	if !operator.ValidZone(s.Zone) {
		return fmt.Errorf("zone %q: must be a zone's name of at most 64 bytes, without blanks", s.Zone)
	}
	if s.Position < 0 || s.Position >= s.Nodes {
		return fmt.Errorf("position %d: must be 0 to one less than the number of nodes, %d", s.Position, s.Nodes)
	}
	return nil
}

// Convert converts text, the content of the file at path, for a new file at target. Both paths end in .toml for an operator's
// file, or in .json for a node's configuration. An error is one line, with file, line and key where they are known.
func Convert(path string, text []byte, target string, s Deployment) (Result, error) {
	if err := s.validate(); err != nil {
		return Result{}, err
	}
	ext := filepath.Ext(path)
	if ext != filepath.Ext(target) || ext != ".toml" && ext != ".json" {
		return Result{}, fmt.Errorf("%s and %s: must both end in .toml, operator's files, or in .json, nodes' configurations", path, target)
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return Result{}, fmt.Errorf("%s: is empty", path)
	}
	if ext == ".toml" {
		return convertOperatorFile(path, text, target, s)
	}
	return convertNodeConfig(path, text, s)
}

// convertOperatorFile converts an operator's file.
func convertOperatorFile(path string, text []byte, target string, s Deployment) (Result, error) {
	var r Result
	f, err := operator.Decode(path, text)
	if err != nil {
		return r, err
	}
	n := &f.Node
	if n.Listen != "" || s.Listen != "" {
		to := s.listenAddress(n.Listen)
		r.change("node.listen", n.Listen, to, reasonListen)
		n.Listen = to
	}
	dropIf := func(key string, set bool, clear func(), reason string) {
		if set {
			r.drop(key, reason)
			clear()
		}
	}
	dropIf("node.seed", n.Seed != 0, func() { n.Seed = 0 }, reasonSeed)
	dropIf("node.control", n.Control != "", func() { n.Control = "" }, reasonControl)
	dropIf("node.state_dir", n.StateDir != "", func() { n.StateDir = "" }, reasonStateDir)
	if s.Name != "" {
		r.change("node.name", n.Name, s.Name, "as asked")
		n.Name = s.Name
	} else {
		dropIf("node.name", n.Name != "", func() { n.Name = "" }, reasonName)
		dropIf("announce", f.Announce != nil, func() { f.Announce = nil }, "a node that announces itself needs a name; give --name")
	}
	dropIf("planners", f.Planners != nil, func() { f.Planners = nil }, reasonPlanners)
	if service := f.Service; service != nil {
		r.change("service.balancers", service.Balancers, s.Nodes, reasonNodes)
		r.change("service.position", service.Position, s.Position, reasonNodes)
		service.Balancers, service.Position = s.Nodes, s.Position
		if s.Zone != "" {
			r.change("service.zone", service.Zone, s.Zone, "as asked")
			service.Zone = s.Zone
		} else {
			dropIf("service.zone", service.Zone != "", func() { service.Zone = "" }, reasonZone)
		}
	}
	if from, to := filepath.Dir(path), filepath.Dir(target); from != to {
		f.EachFile(func(key string, file *string) {
			if *file != "" && !filepath.IsAbs(*file) {
				moved, err := filepath.Rel(to, filepath.Join(from, *file))
				if err != nil {
					moved = filepath.Join(from, *file)
				}
				r.change(key, *file, moved, "the new file is in another folder")
				*file = moved
			}
		})
	}
	if strings.Contains(strings.TrimPrefix(string(text), header), "#") {
		r.drop("comments", "the new file is generated from the decoded values")
	}
	var b bytes.Buffer
	b.WriteString(header)
	writeTOML(&b, "", reflect.ValueOf(f).Elem())
	r.Text = b.Bytes()
	if _, err := operator.Decode(target, r.Text); err != nil {
		return r, fmt.Errorf("the converted file is not valid: %w", err)
	}
	return r, nil
}

// writeTOML writes a struct as TOML: its plain keys first, then its tables. It omits missing tables, and zero values in [node].
func writeTOML(b *bytes.Buffer, table string, v reflect.Value) {
	var tables []func()
	for i := range v.NumField() {
		t, x := v.Type().Field(i), v.Field(i)
		if !t.IsExported() {
			continue
		}
		key := cmp.Or(t.Tag.Get("toml"), strings.ToLower(t.Name))
		for x.Kind() == reflect.Pointer && !x.IsNil() {
			x = x.Elem()
		}
		_, isDuration := x.Interface().(tomlfile.Duration)
		switch {
		case x.Kind() == reflect.Pointer:
		case x.Kind() == reflect.Struct && !isDuration:
			tables = append(tables, func() {
				fmt.Fprintf(b, "\n[%s]\n", key)
				writeTOML(b, key, x)
			})
		case x.Kind() == reflect.Slice && x.Type().Elem().Kind() == reflect.Struct:
			tables = append(tables, func() {
				for j := range x.Len() {
					fmt.Fprintf(b, "\n[[%s]]\n", key)
					writeTOML(b, key, x.Index(j))
				}
			})
		case x.IsZero() && table == "node":
		case isDuration:
			fmt.Fprintf(b, "%s = %q\n", key, x.Interface().(tomlfile.Duration).D())
		case x.Kind() == reflect.Slice:
			list := make([]string, x.Len())
			for j := range list {
				list[j] = quote(x.Index(j).String())
			}
			fmt.Fprintf(b, "%s = [%s]\n", key, strings.Join(list, ", "))
		case x.Kind() == reflect.String:
			fmt.Fprintf(b, "%s = %s\n", key, quote(x.String()))
		case x.Kind() == reflect.Float64:
			text := strconv.FormatFloat(x.Float(), 'f', -1, 64)
			if !strings.Contains(text, ".") {
				text += ".0"
			}
			fmt.Fprintf(b, "%s = %s\n", key, text)
		default:
			fmt.Fprintf(b, "%s = %v\n", key, x.Interface())
		}
	}
	for _, w := range tables {
		w()
	}
}

// quote formats text as a basic string of TOML. The escapes of JSON strings are valid there.
func quote(text string) string {
	out, _ := json.Marshal(text) // cannot fail for a string
	return string(out)
}

// member is one key of a node's configuration with its value.
type member struct {
	key    string
	value  json.RawMessage
	offset int // of the value, in bytes from the start of the file
}

// knownKeys are the keys of a node's configuration. The conversion requires strings as the values of the first four.
var knownKeys = []string{"name", "listen", "discovery", "control", "seed", "limits", "known", "settings"}

// convertNodeConfig converts a node's configuration.
func convertNodeConfig(path string, text []byte, s Deployment) (Result, error) {
	var r Result
	members, err := parseMembers(path, text)
	if err != nil {
		return r, err
	}
	var out []member
	hasName := false
	for _, p := range members {
		var old string
		if slices.Contains(knownKeys[:4], p.key) && json.Unmarshal(p.value, &old) != nil {
			return r, errorAt(path, text, p.offset, p.key, "must be text")
		}
		switch p.key {
		case "name":
			if hasName = true; s.Name == "" {
				r.drop(p.key, reasonName)
				continue
			}
			r.change(p.key, old, s.Name, "as asked")
			p.value, _ = json.Marshal(s.Name)
		case "listen":
			if _, err := netip.ParseAddrPort(old); err != nil {
				return r, errorAt(path, text, p.offset, p.key, "must be an address and a port")
			}
			to := s.listenAddress(old)
			r.change(p.key, old, to, reasonListen)
			p.value, _ = json.Marshal(to)
		case "control":
			r.drop(p.key, reasonControl)
			continue
		case "seed":
			r.drop(p.key, reasonSeed)
			continue
		case "known":
			r.drop(p.key, "the server list that the old node had; a new node fetches its own")
			continue
		case "settings":
			if p.value, err = convertSettings(path, text, p, s, &r); err != nil {
				return r, err
			}
		}
		out = append(out, p)
	}
	if s.Name != "" && !hasName {
		name, _ := json.Marshal(s.Name)
		out = append([]member{{key: "name", value: name}}, out...)
		r.change("name", "none", s.Name, "as asked")
	}
	var b bytes.Buffer
	for i, p := range out {
		b.WriteString(map[bool]string{true: "{", false: ","}[i == 0] + quote(p.key) + ":")
		b.Write(p.value)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, append(b.Bytes(), '}'), "", "  "); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	r.Text = append(indented.Bytes(), '\n')
	if _, err := node.ParseConfig(r.Text, func(string) string { return "" }, nil); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// convertSettings converts the settings object. The object belongs to the platform, so unknown keys stay unchanged.
func convertSettings(path string, text []byte, p member, s Deployment, r *Result) (json.RawMessage, error) {
	if _, _, err := settings.DecodeAll(p.value); err != nil {
		offset, key := p.offset, p.key
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			offset, key = offset+int(typeErr.Offset)-1, key+"."+typeErr.Field
		}
		return nil, errorAt(path, text, offset, key, strings.TrimPrefix(err.Error(), "settings: "))
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(p.value, &object); err != nil {
		return nil, errorAt(path, text, p.offset, p.key, err.Error())
	}
	for key, to := range map[string]int{"Balancers": s.Nodes, "Position": s.Position} {
		var old int
		_ = json.Unmarshal(object[key], &old) // DecodeAll has validated Balancers; an invalid Position counts as 0
		object[key] = json.RawMessage(strconv.Itoa(to))
		r.change("settings."+key, old, to, reasonNodes)
	}
	var zone string
	_ = json.Unmarshal(object["Az"], &zone)
	switch {
	case s.Zone != "":
		object["Az"], _ = json.Marshal(s.Zone) // cannot fail for a string
		r.change("settings.Az", zone, s.Zone, "as asked")
	case zone != "":
		delete(object, "Az")
		r.drop("settings.Az", reasonZone)
	}
	slices.SortFunc(r.Changed, func(x, y KeyChange) int { return strings.Compare(x.Key, y.Key) })
	return json.Marshal(object)
}

// parseMembers splits a configuration into its keys and their values, in order.
func parseMembers(path string, text []byte) ([]member, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	syntaxError := func(err error) error {
		offset, reason := int(d.InputOffset()), "is not JSON"
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			offset = int(syntax.Offset) - 1
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			reason = "ends before the object is complete"
		}
		return errorAt(path, text, offset, "", reason)
	}
	if token, err := d.Token(); err != nil || token != json.Delim('{') {
		if err == nil {
			return nil, errorAt(path, text, 0, "", "must be an object")
		}
		return nil, syntaxError(err)
	}
	var members []member
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return nil, syntaxError(err)
		}
		key, _ := token.(string)
		offset := int(d.InputOffset())
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return nil, syntaxError(err)
		}
		if !slices.Contains(knownKeys, key) {
			return nil, errorAt(path, text, offset, key, "no such key")
		}
		if slices.ContainsFunc(members, func(p member) bool { return p.key == key }) {
			return nil, errorAt(path, text, offset, key, "is set twice")
		}
		members = append(members, member{key, value, int(d.InputOffset()) - len(value)})
	}
	if _, err := d.Token(); err != nil {
		return nil, syntaxError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errorAt(path, text, int(d.InputOffset()), "", "has more text after the object")
	}
	return members, nil
}

// errorAt returns an error of one line for an offset in a file.
func errorAt(path string, text []byte, offset int, key, reason string) error {
	line := 1 + bytes.Count(text[:min(max(0, offset), len(text))], []byte("\n"))
	return &tomlfile.Error{Path: path, Line: line, Key: key, Reason: reason}
}
