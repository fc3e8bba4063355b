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
	ms       = time.Millisecond
	patience = 15 * time.Second
	prefix   = "lapisshelf/servers/"
)

// rig is a client on a loop of its own, before a stand-in registry.
type rig struct {
	t      *testing.T
	reg    *standin.Registry
	loop   *loop.Loop
	client *Client
	mu     sync.Mutex
	told   map[string]roster.Entry
	when   map[string]time.Time
	notes  []string
}

func start(t *testing.T, kind Kind, opt standin.RegistryOptions, change func(*Config)) *rig {
	t.Helper()
	reg, cfg := standIn(t, kind, opt, change)
	r := run(t, cfg, 0, nil)
	r.reg = reg
	return r
}

// standIn starts a stand-in registry, and gives what a client of it is configured with.
func standIn(t *testing.T, kind Kind, opt standin.RegistryOptions, change func(*Config)) (*standin.Registry, Config) {
	t.Helper()
	opt.Addr, opt.Nodes, opt.Prefix = "127.0.0.1:0", 1, prefix
	opt.Endpoints = max(1, opt.Endpoints)
	reg, err := standin.NewRegistry(standin.NewCommon(seen.NewLog(), 1, nil), opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reg.Close)
	cfg := Config{Kind: kind, Prefix: prefix, MostBody: 8 << 20, Roster: roster.Config{Nodes: 1, AskWithin: time.Second, WatchTimeout: time.Second,
		CallTimeout: 700 * ms, PageSize: 100, RewindAfter: 2 * time.Second}}
	for _, a := range reg.Endpoints(0) {
		cfg.Endpoints = append(cfg.Endpoints, netip.MustParseAddrPort(a))
	}
	if change != nil {
		change(&cfg)
	}
	return reg, cfg
}

// run starts a client on a loop of its own, from a list held before; its notes are logged if the test fails.
func run(t *testing.T, cfg Config, revision int64, saved []roster.Entry) *rig {
	t.Helper()
	r := &rig{t: t, told: map[string]roster.Entry{}, when: map[string]time.Time{}}
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
		r.on(func() { r.client.Close(); r.loop.Stop() })
		if err := <-done; err != nil {
			t.Error(err)
		}
		if t.Failed() {
			t.Logf("%q", r.notes)
		}
	})
	return r
}

// on does something on the loop and waits for it.
func (r *rig) on(f func()) {
	done := make(chan struct{})
	r.loop.Post(func() { f(); close(done) })
	<-done
}

func (r *rig) apply(u roster.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Complete {
		clear(r.told)
	}
	for _, e := range u.Entries {
		if r.when[e.ID] = time.Now(); e.State == policy.Gone {
			delete(r.told, e.ID)
		} else {
			r.told[e.ID] = e
		}
	}
}

// is reports whether the list is what the registry has.
func (r *rig) is() bool {
	_, want := r.reg.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range want {
		e, ok := r.told[m.ID]
		if !ok || e.Addr != m.Addr || (e.State == policy.Draining) != (m.Phase == world.Draining) || e.Weight != m.Weight || e.Zone != m.Zone {
			return false
		}
	}
	return len(want) == len(r.told)
}

func (r *rig) counts() (c roster.Counts) {
	r.on(func() { c = r.client.Counts() })
	return c
}

func (r *rig) noted(event string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.notes, func(n string) bool { return strings.HasPrefix(n, event) })
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * ms) {
		if holds() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

func server(i int, phase world.Phase) world.Member {
	return world.Member{ID: fmt.Sprintf("s-%05d", i), Addr: fmt.Sprintf("10.%d.%d.%d:11211", i>>16, i>>8&255, i&255), Zone: "a", Kind: "m2", Phase: phase, Weight: 1.5}
}

func both(t *testing.T, f func(t *testing.T, k Kind)) {
	for _, k := range []Kind{Etcd, Consul} {
		t.Run(string(k), func(t *testing.T) {
			t.Parallel()
			f(t, k)
		})
	}
}

// The list is followed whatever the answers look like on the wire: in pages, split at any byte, told twice, with progress
// ahead of the changes.
func TestFollows(t *testing.T) {
	both(t, func(t *testing.T, k Kind) {
		for _, mangled := range []bool{false, true} {
			r := start(t, k, standin.RegistryOptions{ProgressInterval: 30 * ms}, func(c *Config) { c.Roster.PageSize = 3 })
			if mangled {
				r.reg.RepeatEvents(true)
				r.reg.SplitAnswers(true, 0)
			}
			for i := range 10 {
				r.reg.Set(server(i, world.Serving))
			}
			eventually(t, "all servers are known", r.is)
			for i := range 30 {
				r.reg.Set(server(i%7, []world.Phase{world.Serving, world.Draining, world.Deleted}[i%3]))
				if i%5 == 0 {
					time.Sleep(5 * ms)
				}
			}
			eventually(t, "all changes are known", r.is)
			r.reg.DeleteAll()
			eventually(t, "an empty list is a list", r.is)
			if c := r.counts(); c.Failed > 0 {
				t.Errorf("%+v", c)
			}
		}
	})
}

// A registry that is down, mute or talks nonsense costs calls, not the list; another endpoint is asked.
func TestBadEndpoints(t *testing.T) {
	both(t, func(t *testing.T, k Kind) {
		for name, set := range map[string]func(r *rig, end int, on bool){
			"down":   func(r *rig, end int, on bool) { r.reg.SetDown(end, on) },
			"mute":   func(r *rig, end int, on bool) { r.reg.SetMuted(end, on) },
			"garble": func(r *rig, end int, on bool) { r.reg.SetGarbled(end, on) },
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				r := start(t, k, standin.RegistryOptions{Endpoints: 2}, nil)
				r.reg.Set(server(1, world.Serving))
				eventually(t, "it is known", r.is)
				set(r, 0, true)
				set(r, 1, true)
				failed := r.counts().Failed
				eventually(t, "calls fail", func() bool { return r.counts().Failed > failed+3 })
				if len(r.told) != 1 {
					t.Errorf("%v is left of the list", r.told)
				}
				r.reg.Set(server(1, world.Draining))
				set(r, 1, false)
				eventually(t, "the endpoint that is back tells of the drain", r.is)
				if name == "garble" && r.client.Bad == 0 {
					t.Error("no nonsense was counted")
				}
			})
		}
	})
}

// A resume from a revision that was compacted during a break is one whole reread, with nothing missed.
func TestCompactedDuringABreak(t *testing.T) {
	both(t, func(t *testing.T, k Kind) {
		r := start(t, k, standin.RegistryOptions{}, nil)
		for i := range 5 {
			r.reg.Set(server(i, world.Serving))
		}
		eventually(t, "they are known", r.is)
		r.reg.SetDown(0, true)
		eventually(t, "the break is noticed", func() bool { return r.counts().Failed > 0 })
		r.reg.Set(server(1, world.Deleted))
		r.reg.Set(server(2, world.Draining))
		r.reg.Set(server(7, world.Serving))
		r.reg.Compact(0)
		lists := r.counts().Lists
		r.reg.SetDown(0, false)
		eventually(t, "nothing is missed", r.is)
		if c := r.counts(); k == Etcd && (c.Compacted != 1 || c.Lists != lists+1) {
			t.Errorf("%+v", c)
		}
	})
}

// An endpoint that lags never takes the list back; a registry restored from an old backup is believed after the stated time.
func TestRestored(t *testing.T) {
	both(t, func(t *testing.T, k Kind) {
		r := start(t, k, standin.RegistryOptions{Endpoints: 2}, nil)
		r.reg.Set(server(1, world.Serving))
		r.reg.SaveBackup()
		r.reg.Set(server(1, world.Draining))
		r.reg.Set(server(2, world.Serving))
		eventually(t, "they are known", r.is)
		r.reg.Lag(0, 2)
		r.reg.Lag(1, 2)
		r.reg.RestoreBackup()
		begin := time.Now()
		for time.Since(begin) < time.Second {
			r.mu.Lock()
			if r.told["s-00001"].State != policy.Draining {
				t.Fatal("a drain is taken back")
			}
			r.mu.Unlock()
			time.Sleep(10 * ms)
		}
		r.reg.Lag(0, 0)
		r.reg.Lag(1, 0)
		eventually(t, "the restored list counts", r.is)
		if !r.noted("list_older") || !r.noted("list_rewound") {
			t.Errorf("%q", r.notes)
		}
		r.reg.Set(server(3, world.Serving))
		eventually(t, "and is followed", r.is)
	})
}

func TestTokens(t *testing.T) {
	both(t, func(t *testing.T, k Kind) {
		for token, want := range map[string]string{"": "401", "wrong": "403", "right": ""} {
			r := start(t, k, standin.RegistryOptions{Token: "right"}, func(c *Config) { c.Token = token })
			r.reg.Set(server(1, world.Serving))
			if want == "" {
				eventually(t, "it is known", r.is)
				continue
			}
			eventually(t, "the refusal is noted", func() bool { return r.noted(`list_failed why="status ` + want) })
		}
	})
}

// Entries that make no sense are left out, counted and named once.
func TestBadEntries(t *testing.T) {
	both(t, func(t *testing.T, k Kind) {
		r := start(t, k, standin.RegistryOptions{}, nil)
		r.reg.UpdateStore(func(_ time.Duration, s *world.Store) {
			s.Put(prefix+"bad", []byte("{"), 0)
			s.Put(prefix+"worse", []byte(`{"id":"x","addr":"here"}`), 0)
		})
		r.reg.Set(server(1, world.Serving))
		knows := func(id string) func() bool {
			return func() bool { r.mu.Lock(); defer r.mu.Unlock(); _, ok := r.told[id]; return ok }
		}
		eventually(t, "the good one is known", knows("s-00001"))
		r.reg.Set(server(2, world.Serving))
		eventually(t, "the next too", knows("s-00002"))
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

// Spoken to with TLS, by the authority that is named and no other.
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
		r := start(t, Etcd, standin.RegistryOptions{}, func(c *Config) {
			plain := c.Endpoints[0].String()
			go func() { // ends the TLS before the registry
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
		r.reg.Set(server(1, world.Serving))
		if !trusts {
			eventually(t, "the certificate is refused by name", func() bool { return r.noted(`list_failed why="the connection has ended: tls: `) })
			continue
		}
		eventually(t, "it is known", r.is)
		r.reg.Set(server(1, world.Draining))
		eventually(t, "and followed", r.is)
		open := 0
		r.on(func() { r.client.Close(); open = r.loop.OpenSockets() })
		if open != 0 {
			t.Errorf("%d descriptors are held", open)
		}
	}
}

// A list of thousands is read in pages, within the memory of the smallest node, and what is beyond the bound is left out. The
// heap is the whole process's: one kind runs after the other, and only what the client does falls between the two looks at it.
// The registry is filled before the first, its log emptied before the second, and the client rests in a watch then, with
// limits that a busy machine does not reach.
func TestManyEntries(t *testing.T) {
	const servers, page = 10000, 500
	for _, k := range []Kind{Etcd, Consul} {
		t.Run(string(k), func(t *testing.T) {
			calls := 1 + 1 // one that reads the list, and the watch
			if k == Etcd {
				calls = servers/page + 1
			}
			reg, cfg := standIn(t, k, standin.RegistryOptions{}, func(c *Config) {
				c.Roster.PageSize, c.Roster.MaxEntries, c.Roster.WatchTimeout, c.Roster.CallTimeout = page, servers, time.Minute, time.Minute
			})
			reg.UpdateStore(func(_ time.Duration, s *world.Store) {
				for i := range servers {
					s.Put(prefix+server(i, 0).ID, standin.EncodeEntry(time.Now(), server(i, world.Serving)), 0)
				}
			})
			before := heap()
			r := run(t, cfg, 0, nil)
			r.reg = reg
			eventually(t, "all are known, and changes are waited for", func() bool { return r.is() && reg.WaitCount() > 0 })
			reg.Log.Update(func(rec *seen.Record) { rec.ListUpdates = nil }) // it has each list that was told
			used := heap() - before
			if n, _ := reg.CallCounts(); n != calls {
				t.Errorf("%d calls, not %d", n, calls)
			}
			if used > 10<<20 {
				t.Errorf("%d KB for %d entries", used>>10, servers)
			}
			reg.Set(server(servers, world.Serving))
			eventually(t, "one too many is counted", func() bool { return r.counts().LeftOut > 0 })
			if !r.noted("entries_left_out") {
				t.Errorf("%q", r.notes)
			}
		})
	}
}

// heap is how many bytes are held. What a pool holds goes only as the second collection ends.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// An entry of one's own stands while its process renews it, through a registry that fails for a while and one that forgets
// the lease, and goes at the end; a process that dies leaves it to lapse.
func TestAnnounce(t *testing.T) {
	both(t, func(t *testing.T, k Kind) {
		r := start(t, k, standin.RegistryOptions{Endpoints: 2, Token: "tok"}, func(c *Config) { c.Token = "tok" })
		value := standin.EncodeEntry(time.Now(), server(1, world.Serving))
		announce := func() *Announcer {
			a := NewAnnouncer(r.loop, r.client.cfg, prefix+"s-00001", value, time.Second, 1, func(event, why string) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.notes = append(r.notes, event+" "+why)
			})
			r.on(a.Start)
			return a
		}
		there := func() bool { _, all := r.reg.Members(); return len(all) == 1 }
		gone := func() bool { return !there() }
		a := announce()
		eventually(t, "it is there", there)
		eventually(t, "and known", r.is)
		for range 30 {
			time.Sleep(50 * ms)
			if gone() {
				t.Fatal("it lapsed though it is renewed")
			}
		}
		r.reg.SetDown(0, true)
		r.reg.SetDown(1, true)
		eventually(t, "it lapses while nobody can be reached", gone)
		r.reg.SetDown(0, false)
		eventually(t, "it is back", there)
		r.reg.SetDown(1, false)
		r.reg.UpdateStore(func(now time.Duration, s *world.Store) { s.ExpireLeases(now + time.Hour) }) // the leases are lost
		eventually(t, "the loss is known", gone)
		eventually(t, "it is back under a new lease", there)
		done := make(chan bool)
		r.on(func() { a.Stop(func() { close(done) }) })
		<-done
		if there() {
			t.Error("it outlives its process")
		}
		a = announce()
		eventually(t, "it is there again", there)
		r.on(a.Abandon) // the process dies
		eventually(t, "it lapses", gone)
	})
}
