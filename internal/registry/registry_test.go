package registry

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lapisshelf/decide/roster"
	"lapisshelf/internal/loop"
	"lapisshelf/lab/seen"
	"lapisshelf/lab/standin"
	"lapisshelf/lab/world"
	"lapisshelf/policy"
)

const (
	ms                = time.Millisecond
	eventuallyTimeout = 15 * time.Second
	prefix            = "lapisshelf/servers/"
)

// testClient is a client on an event loop of its own, which records the updates and log lines that it receives.
type testClient struct {
	t         *testing.T
	registry  *standin.Registry
	loop      *loop.Loop
	client    *Client
	mu        sync.Mutex
	entries   map[string]roster.Entry // the current list by id
	updatedAt map[string]time.Time    // time of the latest update by id
	notes     []string
}

// startClient starts a stand-in registry and a client that follows it.
func startClient(t *testing.T, kind Kind, opt standin.RegistryOptions, change func(*Config)) *testClient {
	t.Helper()
	reg, cfg := startRegistry(t, kind, opt, change)
	r := runClient(t, cfg, 0, nil)
	r.registry = reg
	return r
}

// startRegistry starts a stand-in registry and returns the configuration of a client that follows it.
func startRegistry(t *testing.T, kind Kind, opt standin.RegistryOptions, change func(*Config)) (*standin.Registry, Config) {
	t.Helper()
	opt.Addr, opt.Nodes, opt.Prefix = "127.0.0.1:0", 1, prefix
	opt.Endpoints = max(1, opt.Endpoints)
	reg, err := standin.NewRegistry(standin.NewCommon(seen.NewLog(), 1, nil), opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reg.Close)
	cfg := Config{Kind: kind, Prefix: prefix, MaxBodyBytes: 8 << 20, Roster: roster.Config{Nodes: 1, AskWithin: time.Second, WatchTimeout: time.Second,
		CallTimeout: 700 * ms, PageSize: 100, RewindAfter: 2 * time.Second}}
	for _, a := range reg.Endpoints(0) {
		cfg.Endpoints = append(cfg.Endpoints, netip.MustParseAddrPort(a))
	}
	if change != nil {
		change(&cfg)
	}
	return reg, cfg
}

// runClient starts a client on an event loop of its own, with a saved list. Its log lines are printed if the test fails.
func runClient(t *testing.T, cfg Config, revision int64, saved []roster.Entry) *testClient {
	t.Helper()
	r := &testClient{t: t, entries: map[string]roster.Entry{}, updatedAt: map[string]time.Time{}}
	var err error
	if r.loop, err = loop.New(); err != nil {
		t.Fatal(err)
	}
	r.client = New(r.loop, cfg, 1, r.apply, func(event, why string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.notes = append(r.notes, event+" "+why)
	})
	done := make(chan error, 1)
	r.loop.Defer(func() { r.client.Start(revision, saved) })
	go func() { done <- r.loop.Run() }()
	t.Cleanup(func() {
		r.onLoop(func() { r.client.Close(); r.loop.Stop() })
		if err := <-done; err != nil {
			t.Error(err)
		}
		if t.Failed() {
			t.Logf("%q", r.notes)
		}
	})
	return r
}

// onLoop runs f on the client's event loop and waits for it.
func (r *testClient) onLoop(f func()) {
	done := make(chan struct{})
	r.loop.Post(func() { f(); close(done) })
	<-done
}

func (r *testClient) apply(u roster.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Complete {
		clear(r.entries)
	}
	for _, e := range u.Entries {
		if r.updatedAt[e.ID] = time.Now(); e.State == policy.Gone {
			delete(r.entries, e.ID)
		} else {
			r.entries[e.ID] = e
		}
	}
}

// matchesRegistry reports whether the client's list equals that of the registry.
func (r *testClient) matchesRegistry() bool {
	_, want := r.registry.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range want {
		e, ok := r.entries[m.ID]
		if !ok || e.Addr != m.Addr || (e.State == policy.Draining) != (m.Phase == world.Draining) || e.Weight != m.Weight || e.Zone != m.Zone {
			return false
		}
	}
	return len(want) == len(r.entries)
}

func (r *testClient) counts() (c roster.Counts) {
	r.onLoop(func() { c = r.client.Counts() })
	return c
}

func (r *testClient) hasNote(event string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.notes, func(n string) bool { return strings.HasPrefix(n, event) })
}

// eventually waits until a condition holds, and fails the test after eventuallyTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(2 * ms) {
		if holds() {
			return
		}
	}
	t.Fatalf("timeout: %s", what)
}

// testServer returns the i-th server of a list.
func testServer(i int, phase world.Phase) world.Member {
	return world.Member{ID: fmt.Sprintf("s-%05d", i), Addr: fmt.Sprintf("10.%d.%d.%d:11211", i>>16, i>>8&255, i&255), Zone: "a", Kind: "m2", Phase: phase, Weight: 1.5}
}

// forBothKinds runs a test with both kinds of registries that have a key-value store.
func forBothKinds(t *testing.T, f func(t *testing.T, k Kind)) {
	for _, k := range []Kind{Etcd, Consul} {
		t.Run(string(k), func(t *testing.T) {
			t.Parallel()
			f(t, k)
		})
	}
}

// The client follows the list whatever the answers look like on the wire: in pages, split at any byte, with duplicated changes, and
// with progress notifications ahead of the changes.
func TestFollows(t *testing.T) {
	forBothKinds(t, func(t *testing.T, k Kind) {
		for _, mangled := range []bool{false, true} {
			r := startClient(t, k, standin.RegistryOptions{ProgressInterval: 30 * ms}, func(c *Config) { c.Roster.PageSize = 3 })
			if mangled {
				r.registry.RepeatEvents(true)
				r.registry.SplitAnswers(true, 0)
			}
			for i := range 10 {
				r.registry.Set(testServer(i, world.Serving))
			}
			eventually(t, "all servers are known", r.matchesRegistry)
			for i := range 30 {
				r.registry.Set(testServer(i%7, []world.Phase{world.Serving, world.Draining, world.Deleted}[i%3]))
				if i%5 == 0 {
					time.Sleep(5 * ms)
				}
			}
			eventually(t, "all changes are known", r.matchesRegistry)
			r.registry.DeleteAll()
			eventually(t, "an empty list is applied", r.matchesRegistry)
			if c := r.counts(); c.Failed > 0 {
				t.Errorf("%+v", c)
			}
		}
	})
}

// If endpoints are down, do not answer or answer garbage, calls fail but the list is kept, and another endpoint is asked.
func TestBadEndpoints(t *testing.T) {
	forBothKinds(t, func(t *testing.T, k Kind) {
		for name, set := range map[string]func(r *testClient, end int, on bool){
			"down":   func(r *testClient, end int, on bool) { r.registry.SetDown(end, on) },
			"mute":   func(r *testClient, end int, on bool) { r.registry.SetMuted(end, on) },
			"garble": func(r *testClient, end int, on bool) { r.registry.SetGarbled(end, on) },
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				r := startClient(t, k, standin.RegistryOptions{Endpoints: 2}, nil)
				r.registry.Set(testServer(1, world.Serving))
				eventually(t, "it is known", r.matchesRegistry)
				set(r, 0, true)
				set(r, 1, true)
				failed := r.counts().Failed
				eventually(t, "calls fail", func() bool { return r.counts().Failed > failed+3 })
				if len(r.entries) != 1 {
					t.Errorf("the list is %v", r.entries)
				}
				r.registry.Set(testServer(1, world.Draining))
				set(r, 1, false)
				eventually(t, "the drain is known from the endpoint that is back", r.matchesRegistry)
				if name == "garble" && r.client.BadAnswers == 0 {
					t.Error("no invalid answer was counted")
				}
			})
		}
	})
}

// If the client's revision is compacted while the registry is unreachable, the client reads the whole list once and misses nothing.
func TestCompactedDuringABreak(t *testing.T) {
	forBothKinds(t, func(t *testing.T, k Kind) {
		r := startClient(t, k, standin.RegistryOptions{}, nil)
		for i := range 5 {
			r.registry.Set(testServer(i, world.Serving))
		}
		eventually(t, "they are known", r.matchesRegistry)
		r.registry.SetDown(0, true)
		eventually(t, "the outage is noticed", func() bool { return r.counts().Failed > 0 })
		r.registry.Set(testServer(1, world.Deleted))
		r.registry.Set(testServer(2, world.Draining))
		r.registry.Set(testServer(7, world.Serving))
		r.registry.Compact(0)
		lists := r.counts().Lists
		r.registry.SetDown(0, false)
		eventually(t, "nothing is missed", r.matchesRegistry)
		if c := r.counts(); k == Etcd && (c.Compacted != 1 || c.Lists != lists+1) {
			t.Errorf("%+v", c)
		}
	})
}

// A lagging endpoint never reverts the list. A registry restored from an old backup is accepted after Config.Roster.RewindAfter.
func TestRestored(t *testing.T) {
	forBothKinds(t, func(t *testing.T, k Kind) {
		r := startClient(t, k, standin.RegistryOptions{Endpoints: 2}, nil)
		r.registry.Set(testServer(1, world.Serving))
		r.registry.SaveBackup()
		r.registry.Set(testServer(1, world.Draining))
		r.registry.Set(testServer(2, world.Serving))
		eventually(t, "they are known", r.matchesRegistry)
		r.registry.Lag(0, 2)
		r.registry.Lag(1, 2)
		r.registry.RestoreBackup()
		begin := time.Now()
		for time.Since(begin) < time.Second {
			r.mu.Lock()
			if r.entries["s-00001"].State != policy.Draining {
				t.Fatal("a drain is reverted")
			}
			r.mu.Unlock()
			time.Sleep(10 * ms)
		}
		r.registry.Lag(0, 0)
		r.registry.Lag(1, 0)
		eventually(t, "the restored list is applied", r.matchesRegistry)
		if !r.hasNote("list_older") || !r.hasNote("list_rewound") {
			t.Errorf("%q", r.notes)
		}
		r.registry.Set(testServer(3, world.Serving))
		eventually(t, "and is followed", r.matchesRegistry)
	})
}

func TestTokens(t *testing.T) {
	forBothKinds(t, func(t *testing.T, k Kind) {
		for token, want := range map[string]string{"": "401", "wrong": "403", "right": ""} {
			r := startClient(t, k, standin.RegistryOptions{Token: "right"}, func(c *Config) { c.Token = token })
			r.registry.Set(testServer(1, world.Serving))
			if want == "" {
				eventually(t, "it is known", r.matchesRegistry)
				continue
			}
			eventually(t, "the refusal is noted", func() bool { return r.hasNote(`list_failed why="status ` + want) })
		}
	})
}

// Invalid entries are left out and logged once each.
func TestBadEntries(t *testing.T) {
	forBothKinds(t, func(t *testing.T, k Kind) {
		r := startClient(t, k, standin.RegistryOptions{}, nil)
		r.registry.UpdateStore(func(_ time.Duration, s *world.Store) {
			s.Put(prefix+"bad", []byte("{"), 0)
			s.Put(prefix+"worse", []byte(`{"id":"x","addr":"here"}`), 0)
		})
		r.registry.Set(testServer(1, world.Serving))
		knows := func(id string) func() bool {
			return func() bool { r.mu.Lock(); defer r.mu.Unlock(); _, ok := r.entries[id]; return ok }
		}
		eventually(t, "the valid entry is known", knows("s-00001"))
		r.registry.Set(testServer(2, world.Serving))
		eventually(t, "the next one is known", knows("s-00002"))
		named := 0
		for _, n := range r.notes {
			if strings.HasPrefix(n, "entry_bad ") {
				named++
			}
		}
		if named != 2 {
			t.Errorf("%q", r.notes)
		}
	})
}

// With TLS, the client accepts only a certificate of the configured authority.
func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "registry"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	for _, trusts := range []bool{true, false} {
		ln, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		r := startClient(t, Etcd, standin.RegistryOptions{}, func(c *Config) {
			plain := c.Endpoints[0].String()
			go func() { // terminates TLS in front of the registry
				for {
					in, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						defer in.Close()
						out, err := net.Dial("tcp", plain)
						if err != nil {
							return
						}
						defer out.Close()
						go io.Copy(out, in)
						io.Copy(in, out)
					}()
				}
			}()
			c.Endpoints = []netip.AddrPort{netip.MustParseAddrPort(ln.Addr().String())}
			if c.TLS = (&tls.Config{ServerName: "127.0.0.1"}); trusts {
				c.TLS.RootCAs = roots
			}
		})
		r.registry.Set(testServer(1, world.Serving))
		if !trusts {
			eventually(t, "the refusal of the certificate is noted", func() bool { return r.hasNote(`list_failed why="connection closed: tls: `) })
			continue
		}
		eventually(t, "it is known", r.matchesRegistry)
		r.registry.Set(testServer(1, world.Draining))
		eventually(t, "and followed", r.matchesRegistry)
		open := 0
		r.onLoop(func() { r.client.Close(); open = r.loop.OpenSockets() })
		if open != 0 {
			t.Errorf("%d descriptors are still open", open)
		}
	}
}

// A list of thousands of servers is read in pages, within the memory of the smallest node, and entries beyond the limit are left
// out. The heap is that of the whole process, so the kinds run one after the other, and only the work of the client happens between
// the two measurements: the registry is filled before the first and its log is emptied before the second, while the client waits in
// a watch. The timeouts are long enough for a busy machine.
func TestManyEntries(t *testing.T) {
	const servers, page = 10000, 500
	for _, k := range []Kind{Etcd, Consul} {
		t.Run(string(k), func(t *testing.T) {
			calls := 1 + 1 // one read of the list, and the watch
			if k == Etcd {
				calls = servers/page + 1
			}
			reg, cfg := startRegistry(t, k, standin.RegistryOptions{}, func(c *Config) {
				c.Roster.PageSize, c.Roster.MaxEntries, c.Roster.WatchTimeout, c.Roster.CallTimeout = page, servers, time.Minute, time.Minute
			})
			reg.UpdateStore(func(_ time.Duration, s *world.Store) {
				for i := range servers {
					s.Put(prefix+testServer(i, 0).ID, standin.EncodeEntry(time.Now(), testServer(i, world.Serving)), 0)
				}
			})
			before := heapBytes()
			r := runClient(t, cfg, 0, nil)
			r.registry = reg
			eventually(t, "all are known, and the watch is waiting", func() bool { return r.matchesRegistry() && reg.WaitCount() > 0 })
			reg.Log.Update(func(rec *seen.Record) { rec.ListUpdates = nil }) // the log holds each list that was sent
			used := heapBytes() - before
			if n, _ := reg.CallCounts(); n != calls {
				t.Errorf("%d calls, not %d", n, calls)
			}
			if used > 10<<20 {
				t.Errorf("%d KB for %d entries", used>>10, servers)
			}
			reg.Set(testServer(servers, world.Serving))
			eventually(t, "the entry beyond the limit is counted", func() bool { return r.counts().LeftOut > 0 })
			if !r.hasNote("entries_left_out") {
				t.Errorf("%q", r.notes)
			}
		})
	}
}

// heapBytes returns the size of the live heap. The content of a sync.Pool is freed only by the second collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// An announced entry stays in the registry while its lease is renewed, returns after an outage and after the loss of its lease, and
// is removed by Stop. If the process dies, the entry expires.
func TestAnnounce(t *testing.T) {
	forBothKinds(t, func(t *testing.T, k Kind) {
		r := startClient(t, k, standin.RegistryOptions{Endpoints: 2, Token: "tok"}, func(c *Config) { c.Token = "tok" })
		value := standin.EncodeEntry(time.Now(), testServer(1, world.Serving))
		announce := func() *Announcer {
			a := NewAnnouncer(r.loop, r.client.cfg, prefix+"s-00001", value, time.Second, 1, func(event, why string) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.notes = append(r.notes, event+" "+why)
			})
			r.onLoop(a.Start)
			return a
		}
		there := func() bool { _, all := r.registry.Members(); return len(all) == 1 }
		gone := func() bool { return !there() }
		a := announce()
		eventually(t, "it is there", there)
		eventually(t, "and known", r.matchesRegistry)
		for range 30 {
			time.Sleep(50 * ms)
			if gone() {
				t.Fatal("the entry expired although it is renewed")
			}
		}
		r.registry.SetDown(0, true)
		r.registry.SetDown(1, true)
		eventually(t, "it expires while no endpoint can be reached", gone)
		r.registry.SetDown(0, false)
		eventually(t, "it is back", there)
		r.registry.SetDown(1, false)
		r.registry.UpdateStore(func(now time.Duration, s *world.Store) { s.ExpireLeases(now + time.Hour) }) // the leases are lost
		eventually(t, "the loss is known", gone)
		eventually(t, "it is back under a new lease", there)
		done := make(chan bool)
		r.onLoop(func() { a.Stop(func() { close(done) }) })
		<-done
		if there() {
			t.Error("the entry remains after Stop")
		}
		a = announce()
		eventually(t, "it is there again", there)
		r.onLoop(a.Abandon) // the process dies
		eventually(t, "it expires", gone)
	})
}
