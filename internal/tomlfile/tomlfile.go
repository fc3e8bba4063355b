// Package tomlfile decodes TOML files strictly and reports each error with its file, line and key. It is independent of
// what the files contain.
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

// File is a decoded file with the line of each of its keys.
type File struct {
	Path  string
	lines map[string]int
}

// Error is an error in a file. Line is 0 if it is unknown, and Key is empty if the error concerns no key.
type Error struct {
	Path   string
	Line   int
	Key    string
	Reason string
}

// Error implements error with a single line: FILE:LINE: KEY: REASON.
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

// Read decodes the file at path into v, a pointer to a struct. A key without a field in v is an error.
func Read(path string, v any) (*File, error) {
	text, err := ReadText(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, text, v)
}

// ReadText returns the content of a file. Its errors are of type *Error.
func ReadText(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		err = pathErr.Err
	}
	if err != nil {
		return nil, &Error{Path: path, Reason: err.Error()}
	}
	return text, nil
}

// Decode decodes text, the content of the file at path, into v, a pointer to a struct.
func Decode(path string, text []byte, v any) (*File, error) {
	f := &File{Path: path, lines: map[string]int{}}
	var unquoted *Error // first unquoted value where text is required; the decoder would accept it or report it without a line
	indexLines(text, f.lines, func(at []string, line int, value *unstable.Node) {
		if unquoted == nil && value.Kind != unstable.String && decodesFromText(reflect.TypeOf(v), at) {
			parts := make([]any, len(at))
			for i, p := range at {
				parts[i] = p
				if n, err := strconv.Atoi(p); err == nil { // an array index
					parts[i] = n
				}
			}
			unquoted = &Error{path, line, FormatPath(parts), "must be text in quotes"}
		}
	})
	if unquoted != nil {
		return nil, unquoted
	}
	d := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		return f, nil
	}
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		e := unknownKeys.Errors[0]
		line, _ := e.Position()
		return nil, &Error{path, line, joinKey(e.Key()), "no such key"}
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return nil, &Error{path, line, joinKey(decodeErr.Key()), strings.TrimPrefix(decodeErr.Error(), "toml: ")}
	}
	return nil, &Error{Path: path, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
}

func joinKey(k toml.Key) string { return strings.Join(k, ".") }

// Errorf returns an *Error for the key at a path: the tables, the index from 0 after an array of tables, and the key itself,
// as in At("fault", 2, "kind"). For a key that the file does not have, the line is that of the closest enclosing table.
func (f *File) Errorf(at []any, format string, args ...any) error {
	e := &Error{Path: f.Path, Key: FormatPath(at), Reason: fmt.Sprintf(format, args...)}
	for n := len(at); n > 0 && e.Line == 0; n-- {
		e.Line = f.lines[pathKey(at[:n])]
	}
	return e
}

// Has reports whether the file has the key.
func (f *File) Has(at ...any) bool {
	_, ok := f.lines[pathKey(at)]
	return ok
}

// At returns its arguments as a path for Errorf and FormatPath.
func At(path ...any) []any { return path }

// FormatPath formats a path for messages, with indexes from 1: fault[2].kind.
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

func pathKey(path []any) string {
	parts := make([]string, len(path))
	for i, p := range path {
		parts[i] = fmt.Sprint(p)
	}
	return strings.Join(parts, "\x00")
}

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

// decodesFromText reports whether the value at path at within type t is decoded by an encoding.TextUnmarshaler.
func decodesFromText(t reflect.Type, at []string) bool {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if len(at) == 0 {
		return reflect.PointerTo(t).Implements(textUnmarshalerType)
	}
	switch t.Kind() {
	case reflect.Struct:
		for i := range t.NumField() {
			f := t.Field(i)
			name := f.Tag.Get("toml")
			if name == "" {
				name = f.Name
			}
			if f.Anonymous && f.Tag.Get("toml") == "" && decodesFromText(f.Type, at) || strings.EqualFold(name, at[0]) && f.IsExported() && decodesFromText(f.Type, at[1:]) {
				return true
			}
		}
	case reflect.Slice, reflect.Array, reflect.Map:
		return decodesFromText(t.Elem(), at[1:])
	}
	return false
}

// indexLines records the line of each table and key and calls visit for each value. It stops at the first syntax error, which
// the decoder reports.
func indexLines(text []byte, lines map[string]int, visit func(at []string, line int, value *unstable.Node)) {
	var p unstable.Parser
	p.Reset(text)
	counts := map[string]int{} // number of elements so far of each array of tables
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			path, line := dottedKey(&p, e.Key())
			if e.Kind == unstable.ArrayTable && len(path) > 0 {
				last := len(path) - 1
				counts[strings.Join(append(withIndexes(path[:last], counts), path[last]), "\x00")]++
			}
			table = withIndexes(path, counts)
			lines[strings.Join(table, "\x00")] = line
		case unstable.KeyValue:
			path, line := dottedKey(&p, e.Key())
			indexValue(&p, lines, append(slices.Clone(table), path...), line, e.Value(), visit)
		}
	}
}

// indexValue records the line of a key, and those of the keys and elements inside its value, and calls visit for each value.
func indexValue(p *unstable.Parser, lines map[string]int, path []string, line int, value *unstable.Node,
	visit func(at []string, line int, value *unstable.Node)) {
	lines[strings.Join(path, "\x00")] = line
	visit(path, line, value)
	switch value.Kind {
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			inner, at := dottedKey(p, it.Node().Key())
			indexValue(p, lines, append(slices.Clone(path), inner...), max(at, line), it.Node().Value(), visit)
		}
	case unstable.Array:
		n := 0
		for it := value.Children(); it.Next(); n++ {
			indexValue(p, lines, append(slices.Clone(path), strconv.Itoa(n)), line, it.Node(), visit)
		}
	}
}

// dottedKey returns the parts of a dotted key and the line of the first part.
func dottedKey(p *unstable.Parser, it unstable.Iterator) (path []string, line int) {
	for it.Next() {
		n := it.Node()
		if line == 0 && n.Raw.Length > 0 {
			line = p.Shape(n.Raw).Start.Line
		}
		path = append(path, string(n.Data))
	}
	return path, line
}

// withIndexes inserts the index of the last element after each array of tables on the path.
func withIndexes(path []string, counts map[string]int) []string {
	var out []string
	for _, part := range path {
		out = append(out, part)
		if n := counts[strings.Join(out, "\x00")]; n > 0 {
			out = append(out, strconv.Itoa(n-1))
		}
	}
	return out
}

// Duration is a duration written as text: a number and a unit, as in "250ms" or "1m30s". A number without a unit is an error.
type Duration struct{ d time.Duration }

// NewDuration returns d as a Duration.
func NewDuration(d time.Duration) Duration { return Duration{d} }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration: must be a number and a unit, such as 250ms or 1.5s", text)
	}
	d.d = v
	return nil
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return d.d }
