package operator

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"lapisshelf/policy"
)

var commentedKey = regexp.MustCompile(`^# (\[|[a-z_]+ = )`)

const exampleFile = "../../deploy/lapisshelf.toml"

func TestTheShippedFile(t *testing.T) {
	f, err := Read(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	set, transport, ok := f.Settings()
	if !ok || set.Mode != policy.Aside || len(set.Classes) != 2 || set.Classes[1].Window != 1200*time.Millisecond || set.Classes[0].Worth != 3 ||
		transport.Deadlines["put"] != 600*time.Millisecond || set.Tenants[0].Quota != 50 || !set.MustSubscribe || set.MaxAttempts != 3 {
		t.Errorf("%+v %+v", set, transport)
	}
	// The defaults in the file are those in the code.
	if d := defaults(); *f.Service != d {
		t.Errorf("the file shows %+v, the defaults are %+v", *f.Service, d)
	}
	// So are the defaults of the tables that are commented out.
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(text), "\n# [registry]\n")
	path := filepath.Join(t.TempDir(), "x.toml")
	lines := strings.Split("[registry]\n"+table, "\n")
	for i, l := range lines {
		if commentedKey.MatchString(l) {
			lines[i] = strings.TrimPrefix(l, "# ")
		}
	}
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	if f, err = Read(path); err != nil {
		t.Fatal(err)
	}
	d := registryDefaults()
	d.Endpoints = f.Registry.Endpoints
	if !reflect.DeepEqual(*f.Registry, d) || *f.Announce != announceDefaults() {
		t.Errorf("the file shows %+v %+v, the defaults are %+v", *f.Registry, *f.Announce, d)
	}
	// The file has every key.
	for _, table := range []any{Node{}, Service{}, Class{}, Tenant{}, Registry{}, Announce{}} {
		v := reflect.TypeOf(table)
		for i := range v.NumField() {
			name := v.Field(i).Tag.Get("toml")
			if name == "" {
				name = strings.ToLower(v.Field(i).Name)
			}
			if !strings.Contains(string(text), "\n"+name+" = ") && !strings.Contains(string(text), "\n# "+name+" = ") {
				t.Errorf("%s.%s is not in the shipped file", v.Name(), name)
			}
		}
	}
}

func TestAnEmptyFileSetsNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, ok := f.Settings(); ok || f.Node != (Node{}) {
		t.Errorf("%+v", f)
	}
}

func TestBadFiles(t *testing.T) {
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{"memory_mb = 192", "memory = 192", "x.toml:14: node.memory: no such key"},
		{"memory_mb = 192", "memory_mb = 3", "x.toml:14: node.memory_mb: must be at least 8"},
		{"sockets = 1024", "sockets = 10", "x.toml:15: node.sockets: must be at least 64"},
		{`listen = "127.0.0.1:11211"`, `listen = "here"`, "x.toml:9: node.listen: must be an address"},
		{`control = ""`, `control = "9901"`, "x.toml:11: node.control: must be an address"},
		{`control = ""`, `control = "127.0.0.1:11211"`, "x.toml:11: node.control: must not be the address that clients"},
		{`mode = "aside"`, `mode = "beside"`, "x.toml:19: service.mode: must be aside or through"},
		{`warm_up = "10s"`, `warm_up = 10`, "x.toml:32: service.warm_up: "},
		{`warm_up = "10s"`, `warm_up = "10"`, "x.toml:32: service.warm_up: "},
		{`warm_up = "10s"`, `warm_up = "-1s"`, "x.toml:32: service.warm_up: must be 0s to 1h"},
		{"cold_from = 0.2", "cold_from = nan", "x.toml:33: service.cold_from: must be above 0 and at most 1"},
		{"position = 0", "position = 1", "x.toml:23: service.position: must be 0 to one less than balancers"},
		{`zone = ""`, `zone = "a b"`, "x.toml:24: service.zone: must be a zone's name"},
		{`effect = "safe"`, `effect = "sound"`, "x.toml:44: class[1].effect: must be safe, keyed or unsafe"},
		{`window = "1200ms"`, `window = "0s"`, "x.toml:53: class[2].window: a keyed class needs"},
		{`name = "put"`, `name = "read"`, "x.toml:50: class[2].name: must be a name that no other class has"},
		{"quota = 50.0", "quota = -50.0", "x.toml:60: tenant[1].quota: must be 0 to 1000000000"},
		{"[service]", "[servce]", "x.toml:18: servce"},
	} {
		if strings.Count(string(text), c.from) != 1 {
			t.Fatalf("%q does not occur exactly once in the file", c.from)
		}
		path := filepath.Join(t.TempDir(), "x.toml")
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), c.from, c.to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Read(path)
		if err == nil || !strings.HasPrefix(strings.TrimPrefix(err.Error(), filepath.Dir(path)+"/"), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", c.to, err, c.want)
		}
	}
	for _, c := range []struct{ in, want string }{
		{"[planners]\naddresses = []", "x.toml:2: planners.addresses: must name 1 to 16"},
		{"[planners]\naddresses = [\"127.0.0.1:1\"]", "x.toml:1: planners.cert_file: ca_file, cert_file and key_file are needed"},
		{"[planners]\naddresses = [\"here\"]\nca_file = \"a\"\ncert_file = \"b\"\nkey_file = \"c\"", "x.toml:2: planners.addresses[1]: must be an address"},
		{"[planner]\nid = \"a b\"", "x.toml:2: planner.id: must be a name of its own"},
		{"[planner]\nid = \"a\"\nlisten = \"x\"", "x.toml:3: planner.listen: must be an address"},
		{"[planner]\nid = \"a\"\nlisten = \"127.0.0.1:1\"\njoin = [\"127.0.0.1:2\"]", "x.toml:4: planner.join: needs gossip"},
		{"[planner]\nid = \"a\"\nlisten = \"127.0.0.1:1\"\nca_file = \"a\"\ncert_file = \"b\"\nkey_file = \"c\"\nvalid = \"600ms\"", "x.toml:7: planner.valid: must be twice every"},
		{"[registry]\nkind = \"zoo\"\nendpoints = [\"127.0.0.1:1\"]", "x.toml:2: registry.kind: must be etcd or consul"},
		{"[registry]\n", "x.toml:1: registry.endpoints: must name 1 to 16 addresses"},
		{"[registry]\nendpoints = [\"127.0.0.1:1\",\n\"here\"]", "x.toml:2: registry.endpoints[2]: must be an address"},
		{"[registry]\nendpoints = [\"127.0.0.1:1\"]\nhold = 5", "x.toml:3: registry.hold: must be text in quotes"},
		{"[registry]\nendpoints = [\"127.0.0.1:1\"]\ntls = false\nca_file = \"x\"", "x.toml:3: registry.tls: certificates need tls = true"},
		{"[registry]\nendpoints = [\"127.0.0.1:1\"]\ntoken_file = \"none\"", "x.toml:3: registry.token_file: "},
		{"[node]\ndiscovery = \"127.0.0.1:1\"\n[registry]\nendpoints = [\"127.0.0.1:1\"]", "x.toml:3: registry.kind: the list is kept in one place"},
		{"[announce]\n", "x.toml:1: announce: needs a [registry] table"},
		{"[registry]\nendpoints = [\"127.0.0.1:1\"]\n[announce]\nprefix = \"lapisshelf/servers/x\"", "x.toml:4: announce.prefix: must not lie within"},
	} {
		path := filepath.Join(t.TempDir(), "x.toml")
		if err := os.WriteFile(path, []byte(c.in), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := Read(path)
		if err == nil {
			_, err = f.RegistryConfig()
		}
		if err == nil || !strings.HasPrefix(strings.TrimPrefix(err.Error(), filepath.Dir(path)+"/"), c.want) {
			t.Errorf("%q: %v, want %q", c.in, err, c.want)
		}
	}
	if _, err := Read("none.toml"); err == nil || err.Error() != "none.toml: no such file or directory" {
		t.Errorf("%v", err)
	}
}
