package tomlfile

import (
	"strings"
	"testing"
	"time"
)

type inner struct {
	Kind string
	For  Duration
	List []string
}

type document struct {
	Name  string
	Span  Duration
	Table struct {
		Count int
		Inner inner
	}
	Fault []inner
}

const validFile = `# a file
name = "x"
span = "1.5s"

[table]
count = 3
inner = { kind = "a" }

[[fault]]
kind = "one"

[[fault]]
kind = "two"
for = "2s"
list = ["a",
  "b"]
`

func TestErrorsNameLinesAndKeys(t *testing.T) {
	var d document
	f, err := Decode("f.toml", []byte(validFile), &d)
	if err != nil {
		t.Fatal(err)
	}
	if d.Span.D() != 1500*time.Millisecond || len(d.Fault) != 2 || d.Fault[1].For.D() != 2*time.Second {
		t.Errorf("%+v", d)
	}
	for _, c := range []struct {
		at   []any
		want string
	}{
		{At("name"), "f.toml:2: name: no"},
		{At("table", "count"), "f.toml:6: table.count: no"},
		{At("table", "inner", "kind"), "f.toml:7: table.inner.kind: no"},
		{At("fault", 0, "kind"), "f.toml:10: fault[1].kind: no"},
		{At("fault", 1, "for"), "f.toml:14: fault[2].for: no"},
		{At("fault", 1, "missing"), "f.toml:12: fault[2].missing: no"},
		{At("fault", 1, "list", 1), "f.toml:15: fault[2].list[2]: no"},
		{At("nowhere"), "f.toml: nowhere: no"},
	} {
		if got := f.Errorf(c.at, "no").Error(); got != c.want {
			t.Errorf("%q, want %q", got, c.want)
		}
	}
	if !f.Has("fault", 1, "for") || f.Has("fault", 0, "for") {
		t.Error("Has does not report which keys the file has")
	}
}

func TestFaultsAreOneLineWithItsPlace(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{"name = 7\n", "f.toml:1: name: "},
		{"name = \"x\"\nnmae = 7\n", "f.toml:2: nmae: no such key"},
		{"[table]\ncount = \"x\"\n", "f.toml:2: table.count: "},
		{"span = 7\n", "f.toml:1: span: must be text in quotes"},
		{"\n[[fault]]\nfor = 1.5\n", "f.toml:3: fault[1].for: must be text in quotes"},
		{"\n[[fault]]\nfor = \"7\"\n", "f.toml:3: fault.for: "},
		{"[table]\ninner = { kid = 1 }\n", "f.toml:2: table."},
		{"name = \n", "f.toml:1: "},
		{"[table\n", "f.toml:1: "},
		{"name = \"a\"\nname = \"b\"\n", "f.toml:2: name: "},
	} {
		_, err := Decode("f.toml", []byte(c.in), &document{})
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", c.in, err, c.want)
		}
	}
	if _, err := Read("none.toml", &document{}); err == nil || !strings.HasPrefix(err.Error(), "none.toml: ") {
		t.Errorf("%v", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(validFile)
	f.Add("[a.b]\nc.d = {e = [1,{f=2}]}\n[[a.x]]\n[[a.x.y]]\nz=1\n")
	f.Fuzz(func(t *testing.T, text string) {
		var d document
		Decode("f", []byte(text), &d)
	})
}
