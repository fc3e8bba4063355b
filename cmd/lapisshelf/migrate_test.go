package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"lapisshelf/lab/load"
)

// runMigrate runs the built program's migrate command and returns its output and exit code.
func runMigrate(t *testing.T, args ...string) (out string, status int) {
	t.Helper()
	cmd := exec.Command(binary, append([]string{"migrate"}, args...)...)
	text, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(text), cmd.ProcessState.ExitCode()
}

func writeTestFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func readTestFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

const poolNodeConfig = `# the pool's
[node]
name = "pool-1"
listen = "10.0.0.4:11211"
discovery = "%s"
control = "10.0.0.4:9901"
seed = 7
[service]
balancers = 6
position = 5
zone = "east"
probes = true
[[class]]
name = "read"
aim = "600ms"
deadline = "3s"
worth = 2.0
[[tenant]]
name = "acme"
quota = 50.0
`

// The operator's file of a node that served a pool is converted, and the built program serves with the result.
func TestMigratedFileServes(t *testing.T) {
	cache, origin := startCache(t, answerValue("held")), startOrigin(t, respondText("fetched"))
	d := startDiscovery(t, servingEntry("s-1", cache.Addr(), "m2"), servingEntry("s-0", origin.Addr(), "origin"))
	dir, addr := t.TempDir(), unusedAddr(t)
	source, target := writeTestFile(t, dir, "pool.toml", fmt.Sprintf(poolNodeConfig, d.Addr(0))), filepath.Join(dir, "own.toml")
	args := []string{source, target, "--nodes", "176", "--position", "9", "--listen", addr, "--zone", "west"}

	out, status := runMigrate(t, append(args, "--dry-run")...)
	if status != 0 || !strings.Contains(out, "balancers = 176\n") || !strings.Contains(out, "own.toml: not written") {
		t.Errorf("dry run: status %d, %q", status, out)
	}
	if list, _ := os.ReadDir(dir); len(list) != 1 {
		t.Errorf("a dry run left %v", list)
	}
	out, status = runMigrate(t, args...)
	if status != 0 {
		t.Fatalf("status %d: %s", status, out)
	}
	for _, want := range []string{"changed: node.listen: " + addr + ", was 10.0.0.4:11211", "changed: service.balancers: 176, was 6",
		"changed: service.position: 9, was 5", "changed: service.zone: west, was east", "not carried over: node.name: ", "not carried over: node.seed: ",
		"not carried over: node.control: ", "not carried over: comments: "} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is not reported in\n%s", want, out)
		}
	}
	if text, err := exec.Command(binary, "check", target).CombinedOutput(); err != nil {
		t.Errorf("check: %s", text)
	}
	text := readTestFile(t, target)
	if out, status = runMigrate(t, args...); status != 1 || readTestFile(t, target) != text || !strings.Contains(out, "already exists") {
		t.Errorf("an existing target: status %d, %q", status, out)
	}
	again := filepath.Join(dir, "again.toml") // converting the result again changes and drops nothing
	if out, _ = runMigrate(t, append([]string{target, again}, args[2:]...)...); readTestFile(t, again) != text || out != again+": written\n" {
		t.Errorf("converted twice: %q and\n%s", out, readTestFile(t, again))
	}
	if _, status = runMigrate(t, append([]string{source, again, "--force"}, args[2:]...)...); status != 0 || readTestFile(t, again) != text {
		t.Errorf("--force: status %d", status)
	}

	n := startProcess(t, "{}", addr, nil, "serve", "--config", target)
	eventually(t, "the node answers mn with MN", func() bool { return load.Ready(n.addr) })
	cl := n.dial()
	cl.send("mg k v O1a Pc=read,t=acme,d=480 q\r\n")
	cl.expect("VA 4 O1a", "held")
	if !strings.Contains(n.log(), "event=no_probes") {
		t.Error("a node that cannot probe does not log that at its start")
	}
}

// A node's configuration is converted with the platform's other settings kept, and the built program serves with the result.
func TestMigratedConfigurationServes(t *testing.T) {
	cache, origin := startCache(t, answerMiss), startOrigin(t, respondText("fetched"))
	d := startDiscovery(t, servingEntry("s-1", cache.Addr(), "m2"), servingEntry("s-0", origin.Addr(), "origin"))
	dir, addr := t.TempDir(), unusedAddr(t)
	set := testSettings()
	set["Az"] = "east"
	set["Goal"] = map[string]any{"Whole": 0.5}
	text, err := json.MarshalIndent(map[string]any{"name": "pool-1", "listen": addr, "discovery": d.Addr(0), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"memory_mb": 64, "sockets": 256}, "settings": set,
		"known": map[string]any{"revision": 3, "complete": true, "members": []any{}}}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	source, target := writeTestFile(t, dir, "pool.json", string(text)), filepath.Join(dir, "own.json")
	out, status := runMigrate(t, source, target, "--nodes", "900", "--name", "beside-7")
	if status != 0 {
		t.Fatalf("status %d: %s", status, out)
	}
	for _, want := range []string{"changed: settings.Balancers: 900, was 1", "changed: name: beside-7, was pool-1", "not carried over: seed: ",
		"not carried over: known: ", "not carried over: settings.Az: "} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is not reported in\n%s", want, out)
		}
	}
	if text, err := exec.Command(binary, "check", target).CombinedOutput(); err != nil {
		t.Errorf("check: %s", text)
	}
	again := filepath.Join(dir, "again.json")
	if out, _ = runMigrate(t, target, again, "--nodes", "900", "--name", "beside-7"); readTestFile(t, again) != readTestFile(t, target) || out != again+": written\n" {
		t.Errorf("converted twice: %q and\n%s", out, readTestFile(t, again))
	}
	if !strings.Contains(readTestFile(t, target), `"Whole": 0.5`) {
		t.Error("the platform's own settings were lost")
	}
	n := startProcess(t, readTestFile(t, target), addr, nil)
	eventually(t, "the node answers mn with MN", func() bool { return load.Ready(n.addr) })
	cl := n.dial()
	cl.send("mg k v O1a Pc=read,d=480 q\r\n")
	cl.expect("VA 7 O1a", "fetched")
}

// An invalid source or target is reported in one line with file, line and key and the usual exit code, and no file is left behind.
func TestMigrateNamesFaults(t *testing.T) {
	good := strings.Replace(poolNodeConfig, "%s", "127.0.0.1:8500", 1)
	whole, err := json.MarshalIndent(map[string]any{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": testSettings()}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	config := string(whole)
	for _, c := range []struct {
		name, text, want string
		status           int
		args             []string
	}{
		{"a.toml", strings.Replace(good, "seed = 7", "sed = 7", 1), "a.toml:7: node.sed: no such key", 1, nil},
		{"b.toml", strings.Replace(good, "seed = 7", `seed = "x"`, 1), "b.toml:7: node.seed: ", 1, nil},
		{"c.toml", strings.Replace(good, "balancers = 6", "balancers = 5", 1), "c.toml:10: service.position: must be", 1, nil},
		{"d.toml", good[:len(good)-20], "d.toml:", 1, nil},
		{"e.toml", " \n", "e.toml: is empty", 1, nil},
		{"f.json", "", "f.json: is empty", 1, nil},
		{"g.json", config[:len(config)/2], "g.json:", 1, nil},
		{"h.json", strings.Replace(config, `"listen"`, `"lisen"`, 1), `h.json:3: lisen: no such key`, 1, nil},
		{"i.json", strings.Replace(config, `"127.0.0.1:2"`, `2`, 1), "i.json:2: discovery: must be text", 1, nil},
		{"j.json", strings.Replace(config, `"Balancers": 1`, `"Balancers": "1"`, 1), "j.json:5: settings.Balancers: ", 1, nil},
		{"k.json", strings.Replace(config, `"retryable"`, `"perhaps"`, 1), `unknown effect "perhaps"`, 1, nil},
		{"l.json", config + "{}", "l.json:", 1, nil},
		{"m.json", "[1]", "m.json:1: must be an object", 1, nil},
		{"n.yaml", config, "must both end in .toml", 1, nil},
		{"o.toml", good, "0 nodes: must be 1 to 100000", 1, []string{"--nodes", "0"}},
		{"z.toml", good, "zone \"a b\": must be a zone's name", 1, []string{"--nodes", "4", "--zone", "a b"}},
		{"p.toml", good, "position 4: must be 0 to one less", 1, []string{"--nodes", "4", "--position", "4"}},
		{"q.toml", good, "listen \"here\" must be an address", 1, []string{"--nodes", "4", "--listen", "here"}},
		{"r.toml", good, "migrate requires --nodes", 2, []string{"--dry-run"}},
	} {
		dir := t.TempDir()
		args := c.args
		if args == nil {
			args = []string{"--nodes", "4"}
		}
		target := filepath.Join(dir, "new"+filepath.Ext(c.name))
		out, status := runMigrate(t, append([]string{writeTestFile(t, dir, c.name, c.text), target}, args...)...)
		if status != c.status || strings.Count(out, "\n") != 1 || !strings.Contains(out, c.want) {
			t.Errorf("%s: status %d, %q; want %d and one line with %q", c.name, status, out, c.status, c.want)
		}
		if list, _ := os.ReadDir(dir); len(list) != 1 {
			t.Errorf("%s: left %v", c.name, list)
		}
	}
	if out, status := runMigrate(t, filepath.Join(t.TempDir(), "none.toml"), "x.toml", "--nodes", "4"); status != 1 || strings.Count(out, "\n") != 1 {
		t.Errorf("an unreadable file: status %d, %q", status, out)
	}
	if out, status := runMigrate(t, writeTestFile(t, t.TempDir(), "s.toml", good), "/nowhere/at/all/x.toml", "--nodes", "4"); status != 1 || strings.Count(out, "\n") != 1 {
		t.Errorf("a target that cannot be written: status %d, %q", status, out)
	}
}
