// Package tomlfile reads TOML files strictly and says of each fault which file, line and key it stands in. It knows
// the form of such files and nothing of what is in them.
package tomlfile

import (
	"encoding"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is a decoded file that remembers where each of its keys stands.
type File struct {
	Path  string
	lines map[string]int
}

// Error is a fault in a file. Line is 0 where it is not known.
type Error struct {
	Path   string
	Line   int
	Key    string
	Reason string
}

// Error implements error: one line, FILE:LINE: KEY: WHY.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Path)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Key != "" {
		b.WriteString(": " + e.Key)
	}
	return b.String() + ": " + strings.Join(strings.Fields(e.Reason), " ")
}

// Read reads a file into v, a pointer to a struct; a key that v does not have is an error.
func Read(path string, v any) (*File, error) {
	text, err := ReadText(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, text, v)
}

// ReadText gives what stands in a file.
func ReadText(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	var why *os.PathError
	if errors.As(err, &why) {
		err = why.Err
	}
	if err != nil {
		return nil, &Error{Path: path, Reason: err.Error()}
	}
	return text, nil
}

// Decode reads text, which stands in the file of that path, into v.
func Decode(path string, text []byte, v any) (*File, error) {
	f := &File{Path: path, lines: map[string]int{}}
	var plain *Error // the first bare value where text is wanted, which the decoder would take or not place
	positions(text, f.lines, func(at []string, line int, value *unstable.Node) {
		if plain == nil && value.Kind != unstable.String && wantsText(reflect.TypeOf(v), at) {
			parts := make([]any, len(at))
			for i, p := range at {
				parts[i] = p
				if n, err := strconv.Atoi(p); err == nil { // a place in an array
					parts[i] = n
				}
			}
			plain = &Error{path, line, FormatPath(parts), "must be text in quotes"}
		}
	})
	if plain != nil {
		return nil, plain
	}
	d := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		return f, nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		e := missing.Errors[0]
		line, _ := e.Position()
		return nil, &Error{path, line, key(e.Key()), "no such key"}
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		return nil, &Error{path, line, key(bad.Key()), strings.TrimPrefix(bad.Error(), "toml: ")}
	}
	return nil, &Error{Path: path, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
}

func key(k toml.Key) string { return strings.Join(k, ".") }

// Errorf makes an error about a key of the file, by its path: tables, then the number in an array of tables, from 0, and
// the key itself, as in At("fault", 2, "kind"). What does not stand in the file is looked for at its table.
func (f *File) Errorf(at []any, format string, args ...any) error {
	e := &Error{Path: f.Path, Key: FormatPath(at), Reason: fmt.Sprintf(format, args...)}
	for n := len(at); n > 0 && e.Line == 0; n-- {
		e.Line = f.lines[join(at[:n])]
	}
	return e
}

// Has reports whether the file has the key.
func (f *File) Has(at ...any) bool {
	_, ok := f.lines[join(at)]
	return ok
}

// At builds a path for Errorf.
func At(path ...any) []any { return path }

// FormatPath is a path as a person would write it: fault[2].kind, counted from 1.
func FormatPath(path []any) string {
	var b strings.Builder
	for _, p := range path {
		switch p := p.(type) {
		case int:
			fmt.Fprintf(&b, "[%d]", p+1)
		default:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			fmt.Fprint(&b, p)
		}
	}
	return b.String()
}

func join(path []any) string {
	parts := make([]string, len(path))
	for i, p := range path {
		parts[i] = fmt.Sprint(p)
	}
	return strings.Join(parts, "\x00")
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// wantsText reports whether the value of a key goes into something that is read from text.
func wantsText(t reflect.Type, at []string) bool {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if len(at) == 0 {
		return reflect.PointerTo(t).Implements(textUnmarshaler)
	}
	switch t.Kind() {
	case reflect.Struct:
		for i := range t.NumField() {
			f := t.Field(i)
			name := f.Tag.Get("toml")
			if name == "" {
				name = f.Name
			}
			if f.Anonymous && f.Tag.Get("toml") == "" && wantsText(f.Type, at) || strings.EqualFold(name, at[0]) && f.IsExported() && wantsText(f.Type, at[1:]) {
				return true
			}
		}
	case reflect.Slice, reflect.Array, reflect.Map:
		return wantsText(t.Elem(), at[1:])
	}
	return false
}

// positions finds the line of each table and key and gives each value to look. What does not parse has none: the decoder
// says what is wrong.
func positions(text []byte, lines map[string]int, look func(at []string, line int, value *unstable.Node)) {
	var p unstable.Parser
	p.Reset(text)
	counts := map[string]int{} // elements of each array of tables so far
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			path, line := keys(&p, e.Key())
			if e.Kind == unstable.ArrayTable && len(path) > 0 {
				last := len(path) - 1
				counts[strings.Join(append(elements(path[:last], counts), path[last]), "\x00")]++
			}
			table = elements(path, counts)
			lines[strings.Join(table, "\x00")] = line
		case unstable.KeyValue:
			path, line := keys(&p, e.Key())
			note(&p, lines, append(slices.Clone(table), path...), line, e.Value(), look)
		}
	}
}

// note keeps the line of a key and of what stands inside its value.
func note(p *unstable.Parser, lines map[string]int, path []string, line int, value *unstable.Node,
	look func(at []string, line int, value *unstable.Node)) {
	lines[strings.Join(path, "\x00")] = line
	look(path, line, value)
	switch value.Kind {
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			inner, at := keys(p, it.Node().Key())
			note(p, lines, append(slices.Clone(path), inner...), max(at, line), it.Node().Value(), look)
		}
	case unstable.Array:
		n := 0
		for it := value.Children(); it.Next(); n++ {
			note(p, lines, append(slices.Clone(path), strconv.Itoa(n)), line, it.Node(), look)
		}
	}
}

// keys gives a dotted key's parts and the line of the first.
func keys(p *unstable.Parser, it unstable.Iterator) (path []string, line int) {
	for it.Next() {
		n := it.Node()
		if line == 0 && n.Raw.Length > 0 {
			line = p.Shape(n.Raw).Start.Line
		}
		path = append(path, string(n.Data))
	}
	return path, line
}

// elements puts behind each array of tables on the path the number of its last element.
func elements(path []string, counts map[string]int) []string {
	var out []string
	for _, part := range path {
		out = append(out, part)
		if n := counts[strings.Join(out, "\x00")]; n > 0 {
			out = append(out, strconv.Itoa(n-1))
		}
	}
	return out
}

// Duration is a time span as text: a number and a unit, as in "250ms" or "1m30s". A plain number is none.
type Duration struct{ d time.Duration }

// NewDuration makes one of a time.Duration.
func NewDuration(d time.Duration) Duration { return Duration{d} }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time span: a number and a unit are wanted, such as 250ms or 1.5s", text)
	}
	d.d = v
	return nil
}

// D is the plain duration.
func (d Duration) D() time.Duration { return d.d }
