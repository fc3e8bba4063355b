// Package migrate turns the configuration of a node that served a pool of clients into that of a node that stands
// beside one client process. It reads an operator's file or a node's configuration, changes what the new shape needs
// changed, leaves out what must not be the same at many nodes, and says of each such key why. It writes nothing.
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

// Deployment is what the new deployment is like, as far as a configuration tells it.
type Deployment struct {
	Nodes    int    // in the fleet, one for each client process; 1 to 100000
	Position int    // this one's number among them, from 0
	Name     string // this one's name; empty: it is told none
	Zone     string // this one's zone; empty: it is told none
	Listen   string // address and port for its client; empty: the old port on 127.0.0.1
}

// KeyChange is a key that was not carried over as it was, and the reason.
type KeyChange struct{ Key, Reason string }

// Result is a converted configuration.
type Result struct {
	Text    []byte
	Dropped []KeyChange // keys that the new configuration does not have
	Changed []KeyChange // keys that it has with another value
}

func (r *Result) lost(key, why string) { r.Dropped = append(r.Dropped, KeyChange{key, why}) }

func (r *Result) changed(key string, from, to any, why string) {
	if fmt.Sprint(from) != fmt.Sprint(to) {
		r.Changed = append(r.Changed, KeyChange{key, fmt.Sprintf("%v, was %v: %s", to, from, why)})
	}
}

const (
	whySeed    = "with one seed all nodes would draw alike and wait alike"
	whyControl = "nodes beside each other would claim one address; set one for each that operators look at"
	whyName    = "a name is one node's own; give --name"
	whyState   = "a directory of one node's own; set one where upgrades in place are wanted"
	whyNodes   = "each client process has a node of its own"
	whyZone    = "a node stands in its client's zone; give --zone"
	whyListen  = "a node listens beside its client"
	whyPlanner = "each node needs a certificate in its own name: make them with lapisshelf keys, then put the table back"
)

// header begins each converted operator's file.
const header = "# Written by lapisshelf migrate: a node beside one client process.\n"

// listen gives the address that the new node listens at.
func (s Deployment) listen(old string) string {
	if s.Listen != "" {
		return s.Listen
	}
	if a, err := netip.ParseAddrPort(old); err == nil && !a.Addr().IsLoopback() {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), a.Port()).String()
	}
	return old
}

func (s Deployment) check() error {
	if _, err := netip.ParseAddrPort(s.Listen); s.Listen != "" && err != nil {
		return fmt.Errorf("listen %q must be an address and a port, such as 127.0.0.1:11211", s.Listen)
	}
	if s.Nodes < 1 || s.Nodes > 100000 {
		return fmt.Errorf("%d nodes: must be 1 to 100000", s.Nodes)
	}
	if !operator.ValidZone(s.Zone) {
		return fmt.Errorf("zone %q: must be a zone's name of 64 bytes at most, without blanks", s.Zone)
	}
	if s.Position < 0 || s.Position >= s.Nodes {
		return fmt.Errorf("position %d: must be 0 to one less than the number of nodes, %d", s.Position, s.Nodes)
	}
	return nil
}

// Convert converts the text of the file at path, which is to stand at target; both end in .toml, an operator's file, or
// in .json, a node's configuration. A fault in it is one line with file, line and key where it has them.
func Convert(path string, text []byte, target string, s Deployment) (Result, error) {
	if err := s.check(); err != nil {
		return Result{}, err
	}
	form := filepath.Ext(path)
	if form != filepath.Ext(target) || form != ".toml" && form != ".json" {
		return Result{}, fmt.Errorf("%s and %s: must both end in .toml, operator's files, or in .json, nodes' configurations", path, target)
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return Result{}, fmt.Errorf("%s: is empty", path)
	}
	if form == ".toml" {
		return operators(path, text, target, s)
	}
	return configuration(path, text, s)
}

// operators converts an operator's file.
func operators(path string, text []byte, target string, s Deployment) (Result, error) {
	var r Result
	f, err := operator.Decode(path, text)
	if err != nil {
		return r, err
	}
	n := &f.Node
	if n.Listen != "" || s.Listen != "" {
		to := s.listen(n.Listen)
		r.changed("node.listen", n.Listen, to, whyListen)
		n.Listen = to
	}
	leave := func(key string, stands bool, clear func(), why string) {
		if stands {
			r.lost(key, why)
			clear()
		}
	}
	leave("node.seed", n.Seed != 0, func() { n.Seed = 0 }, whySeed)
	leave("node.control", n.Control != "", func() { n.Control = "" }, whyControl)
	leave("node.state_dir", n.StateDir != "", func() { n.StateDir = "" }, whyState)
	if s.Name != "" {
		r.changed("node.name", n.Name, s.Name, "as asked")
		n.Name = s.Name
	} else {
		leave("node.name", n.Name != "", func() { n.Name = "" }, whyName)
		leave("announce", f.Announce != nil, func() { f.Announce = nil }, "a node that announces itself needs a name; give --name")
	}
	leave("planners", f.Planners != nil, func() { f.Planners = nil }, whyPlanner)
	if v := f.Service; v != nil {
		r.changed("service.balancers", v.Balancers, s.Nodes, whyNodes)
		r.changed("service.position", v.Position, s.Position, whyNodes)
		v.Balancers, v.Position = s.Nodes, s.Position
		if s.Zone != "" {
			r.changed("service.zone", v.Zone, s.Zone, "as asked")
			v.Zone = s.Zone
		} else {
			leave("service.zone", v.Zone != "", func() { v.Zone = "" }, whyZone)
		}
	}
	if from, to := filepath.Dir(path), filepath.Dir(target); from != to {
		f.EachFile(func(key string, file *string) {
			if *file != "" && !filepath.IsAbs(*file) {
				moved, err := filepath.Rel(to, filepath.Join(from, *file))
				if err != nil {
					moved = filepath.Join(from, *file)
				}
				r.changed(key, *file, moved, "the new file stands elsewhere")
				*file = moved
			}
		})
	}
	if strings.Contains(strings.TrimPrefix(string(text), header), "#") {
		r.lost("comments", "the new file is written from the values")
	}
	var b bytes.Buffer
	b.WriteString(header)
	write(&b, "", reflect.ValueOf(f).Elem())
	r.Text = b.Bytes()
	if _, err := operator.Decode(target, r.Text); err != nil {
		return r, fmt.Errorf("the converted file would not do: %w", err)
	}
	return r, nil
}

// write writes a struct as TOML: its plain keys, then its tables. What is empty is left out.
func write(b *bytes.Buffer, table string, v reflect.Value) {
	var later []func()
	for i := range v.NumField() {
		t, x := v.Type().Field(i), v.Field(i)
		if !t.IsExported() {
			continue
		}
		key := cmp.Or(t.Tag.Get("toml"), strings.ToLower(t.Name))
		for x.Kind() == reflect.Pointer && !x.IsNil() {
			x = x.Elem()
		}
		_, span := x.Interface().(tomlfile.Duration)
		switch {
		case x.Kind() == reflect.Pointer:
		case x.Kind() == reflect.Struct && !span:
			later = append(later, func() {
				fmt.Fprintf(b, "\n[%s]\n", key)
				write(b, key, x)
			})
		case x.Kind() == reflect.Slice && x.Type().Elem().Kind() == reflect.Struct:
			later = append(later, func() {
				for j := range x.Len() {
					fmt.Fprintf(b, "\n[[%s]]\n", key)
					write(b, key, x.Index(j))
				}
			})
		case x.IsZero() && table == "node":
		case span:
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
	for _, w := range later {
		w()
	}
}

// quote writes text as a basic string of TOML, whose escapes are those of JSON.
func quote(text string) string {
	out, _ := json.Marshal(text) // a string always encodes
	return string(out)
}

// part is a key of a node's configuration.
type part struct {
	key   string
	value json.RawMessage
	at    int // where the value begins
}

var known = []string{"name", "listen", "discovery", "control", "seed", "limits", "known", "settings"}

// configuration converts a node's configuration.
func configuration(path string, text []byte, s Deployment) (Result, error) {
	var r Result
	parts, err := split(path, text)
	if err != nil {
		return r, err
	}
	var out []part
	named := false
	for _, p := range parts {
		var old string
		if slices.Contains(known[:4], p.key) && json.Unmarshal(p.value, &old) != nil {
			return r, fault(path, text, p.at, p.key, "must be text")
		}
		switch p.key {
		case "name":
			if named = true; s.Name == "" {
				r.lost(p.key, whyName)
				continue
			}
			r.changed(p.key, old, s.Name, "as asked")
			p.value, _ = json.Marshal(s.Name)
		case "listen":
			if _, err := netip.ParseAddrPort(old); err != nil {
				return r, fault(path, text, p.at, p.key, "must be an address and a port")
			}
			to := s.listen(old)
			r.changed(p.key, old, to, whyListen)
			p.value, _ = json.Marshal(to)
		case "control":
			r.lost(p.key, whyControl)
			continue
		case "seed":
			r.lost(p.key, whySeed)
			continue
		case "known":
			r.lost(p.key, "the list that the old node held; a new one asks for its own")
			continue
		case "settings":
			if p.value, err = resettle(path, text, p, s, &r); err != nil {
				return r, err
			}
		}
		out = append(out, p)
	}
	if s.Name != "" && !named {
		name, _ := json.Marshal(s.Name)
		out = append([]part{{key: "name", value: name}}, out...)
		r.changed("name", "none", s.Name, "as asked")
	}
	var b bytes.Buffer
	for i, p := range out {
		b.WriteString(map[bool]string{true: "{", false: ","}[i == 0] + quote(p.key) + ":")
		b.Write(p.value)
	}
	var told bytes.Buffer
	if err := json.Indent(&told, append(b.Bytes(), '}'), "", "  "); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	r.Text = append(told.Bytes(), '\n')
	if _, err := node.ParseConfig(r.Text, func(string) string { return "" }, nil); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// resettle changes the settings object, which is the platform's: what nobody here knows of stays as it is.
func resettle(path string, text []byte, p part, s Deployment, r *Result) (json.RawMessage, error) {
	if _, _, err := settings.DecodeAll(p.value); err != nil {
		at, key := p.at, p.key
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			at, key = at+int(wrong.Offset)-1, key+"."+wrong.Field
		}
		return nil, fault(path, text, at, key, strings.TrimPrefix(err.Error(), "settings: "))
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(p.value, &all); err != nil {
		return nil, fault(path, text, p.at, p.key, err.Error())
	}
	for key, to := range map[string]int{"Balancers": s.Nodes, "Position": s.Position} {
		var old int
		_ = json.Unmarshal(all[key], &old) // Decode has read it
		all[key] = json.RawMessage(strconv.Itoa(to))
		r.changed("settings."+key, old, to, whyNodes)
	}
	var zone string
	_ = json.Unmarshal(all["Az"], &zone)
	switch {
	case s.Zone != "":
		all["Az"], _ = json.Marshal(s.Zone) // a string
		r.changed("settings.Az", zone, s.Zone, "as asked")
	case zone != "":
		delete(all, "Az")
		r.lost("settings.Az", whyZone)
	}
	slices.SortFunc(r.Changed, func(x, y KeyChange) int { return strings.Compare(x.Key, y.Key) })
	return json.Marshal(all)
}

// split reads the keys of a configuration and what they are set to.
func split(path string, text []byte) ([]part, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	broken := func(err error) error {
		at, why := int(d.InputOffset()), "is not JSON"
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			at = int(syntax.Offset) - 1
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			why = "ends too soon"
		}
		return fault(path, text, at, "", why)
	}
	if open, err := d.Token(); err != nil || open != json.Delim('{') {
		if err == nil {
			return nil, fault(path, text, 0, "", "must be an object")
		}
		return nil, broken(err)
	}
	var parts []part
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, broken(err)
		}
		key, _ := t.(string)
		at := int(d.InputOffset())
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return nil, broken(err)
		}
		if !slices.Contains(known, key) {
			return nil, fault(path, text, at, key, "no such key")
		}
		if slices.ContainsFunc(parts, func(p part) bool { return p.key == key }) {
			return nil, fault(path, text, at, key, "stands there twice")
		}
		parts = append(parts, part{key, value, int(d.InputOffset()) - len(value)})
	}
	if _, err := d.Token(); err != nil {
		return nil, broken(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, fault(path, text, int(d.InputOffset()), "", "more stands behind the object")
	}
	return parts, nil
}

// fault is a plain line about a place in a file.
func fault(path string, text []byte, at int, key, why string) error {
	line := 1 + bytes.Count(text[:min(max(0, at), len(text))], []byte("\n"))
	return &tomlfile.Error{Path: path, Line: line, Key: key, Reason: why}
}
