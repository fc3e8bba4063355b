package planwire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"lapisshelf/decide/plan"
	"lapisshelf/policy"
)

func samples() []Message {
	return []Message{
		{Digest: &plan.Digest{From: "f", Start: 5, Seq: 7, Span: time.Second, Asked: 3, Answered: 2, Servers: []plan.Load{{ID: "c1", Sends: 3, Timely: 1, Late: 1, Failed: 1, Times: []int{0, 1, 0, 1}}},
			Origin: plan.Load{Sends: 1, Timely: 1}, Hot: []plan.Heat{{Key: 8, Asked: 3}}, Tenants: []plan.Use{{Tenant: "a", Asked: 3}}}},
		{View: &plan.View{Epoch: 3, Planner: "p", Made: 9 * time.Second, Valid: time.Second, View: policy.View{Admit: 0.5, Servers: []policy.ServerView{{ID: "c1", Factor: 0.3, Allow: 4}},
			Hot: []policy.HotKey{{Key: 8, Load: 1.5}}, Tenants: []policy.TenantDemand{{Name: "a", Asked: 20}}}}},
		{View: &plan.View{Planner: "p", Valid: time.Second, View: policy.View{Servers: []policy.ServerView{{ID: "c1", Factor: math.Inf(1)}}}}},
		{Digest: &plan.Digest{From: "f", Start: 5, Seq: 8, Span: time.Second, Asked: 9, Brief: true, Rest: plan.Load{Sends: 5, Timely: 5, Times: []int{5}}, Bad: []plan.Load{{ID: "c2", Sends: 24, Late: 1}}, Past: 310},
			Hold: &plan.Hold{History: 1 << 63, Revision: 4, Follows: true}, NextChange: 1 << 40},
		{Digest: &plan.Digest{From: "f", Start: 5, Seq: 9, Span: time.Second}, Hold: &plan.Hold{}},
		{Change: &plan.Change{Epoch: 3, Planner: "p", Made: 9 * time.Second, Valid: time.Second, History: 1 << 63, Base: 4, Revision: 6, Count: 20, Servers: []policy.ServerView{{ID: "c1", Factor: 0.537}, {ID: "c2", Factor: 1}},
			Admit: 0.8, Hot: []policy.HotKey{{Key: 8, Load: 1.5}}, HotSet: true, TenantsSet: true, Sum: 77, Grants: []plan.Grant{{ID: "c3", Rate: 0.25}}, Answers: 8, After: time.Second}},
		{Change: &plan.Change{Planner: "p", History: 1, Revision: 1, Tenants: []policy.TenantDemand{{Name: "a", Asked: 20}}, TenantsSet: true, HotSet: true}},
	}
}

// Encoded messages decode to the same values, one after the other, also when a frame arrives in pieces.
func TestRoundTrip(t *testing.T) {
	var all []byte
	for _, m := range samples() {
		var err error
		if all, err = Append(all, m); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range samples() {
		var got Message
		used := 0
		for n := 0; used == 0; n++ { // until the frame is complete
			var err error
			if got, used, err = Next(all[:n]); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		all = all[used:]
	}
	if len(all) > 0 {
		t.Errorf("%d bytes left", len(all))
	}
}

// The encoding of a view has the documented format, written out by hand.
func TestViewEncoding(t *testing.T) {
	got, err := Append(nil, Message{View: &plan.View{Epoch: 3, Planner: "p", Made: 9, Valid: 10, View: policy.View{Servers: []policy.ServerView{{ID: "c", Factor: 0.5}}}}})
	// length 24; {0: 1, 2: {1: 3, 2: "p", 3: 9, 4: 10, 5: [{1: "c", 2: 0.5}]}}
	if want := "00000018" + "a2" + "0001" + "02a5" + "0103" + "026170" + "0309" + "040a" + "0581a2016163" + "02f93800"; err != nil || hex.EncodeToString(got) != want {
		t.Errorf("%x, %v, want %s", got, err, want)
	}
}

// The encodings of a brief digest with a hold and of a change with grants have the documented format.
func TestDigestAndChangeEncoding(t *testing.T) {
	for name, c := range map[string]struct {
		m    Message
		want string
	}{
		// {0: 1, 1: {1: "f", 2: 1, 3: 2, 4: 3, 8: {}, 11: true, 12: {3: 9}, 13: [{1: "c", 2: 24, 4: 1}], 14: 20}, 3: {1: 7, 2: 5, 3: true}}
		"digest": {Message{Digest: &plan.Digest{From: "f", Start: 1, Seq: 2, Span: 3, Brief: true, Rest: plan.Load{Timely: 9}, Bad: []plan.Load{{ID: "c", Sends: 24, Late: 1}}, Past: 20},
			Hold: &plan.Hold{History: 7, Revision: 5, Follows: true}},
			"0000002b" + "a3" + "0001" + "01a9" + "016166" + "0201" + "0302" + "0403" + "08a0" + "0bf5" + "0ca10309" + "0d81a3016163" + "021818" + "0401" + "0e14" + "03a3" + "0107" + "0205" + "03f5"},
		// {0: 1, 3: {}} with the digest: nothing is held
		"nothing held": {Message{Digest: &plan.Digest{From: "f", Start: 1, Seq: 2, Span: 3}, Hold: &plan.Hold{}},
			"00000012" + "a3" + "0001" + "01a5" + "016166" + "0201" + "0302" + "0403" + "08a0" + "03a0"},
		// {0: 1, 3: {4: 3}} with the digest: the third change is expected, and nothing of the first two is held
		"a change expected": {Message{Digest: &plan.Digest{From: "f", Start: 1, Seq: 2, Span: 3}, Hold: &plan.Hold{}, NextChange: 3},
			"00000014" + "a3" + "0001" + "01a5" + "016166" + "0201" + "0302" + "0403" + "08a0" + "03a10403"},
		// {0: 1, 4: {2: "p", 3: 9, 4: 10, 5: 7, 6: 5, 7: 6, 8: 4, 9: [{1: "c", 2: 500}], 10: 800, 15: 1}, 5: [{1: "d", 2: 0.5}], 6: {1: 9, 2: 2}}
		"change": {Message{Change: &plan.Change{Planner: "p", Made: 9, Valid: 10, History: 7, Base: 5, Revision: 6, Count: 4, Servers: []policy.ServerView{{ID: "c", Factor: 0.5}}, Admit: 0.8, Sum: 1,
			Grants: []plan.Grant{{ID: "d", Rate: 0.5}}, Answers: 9, After: 2}},
			"00000034" + "a4" + "0001" + "04aa" + "026170" + "0309" + "040a" + "0507" + "0605" + "0706" + "0804" + "0981a20161630219" + "01f4" + "0a190320" + "0f01" + "0581a2016164" + "02f93800" + "06a2" + "0109" + "0202"},
	} {
		got, err := Append(nil, c.m)
		if err != nil || hex.EncodeToString(got) != c.want {
			t.Errorf("%s: %x, %v, want %s", name, got, err, c.want)
		}
	}
}

// A change that is encoded once gives the same frames, with any grants, as one that is encoded with its grants.
func TestSharedChangeEncoding(t *testing.T) {
	c := *samples()[6].Change
	raw, err := EncodeChange(c)
	if err != nil {
		t.Fatal(err)
	}
	for _, grants := range [][]plan.Grant{nil, {{ID: "x", Rate: 3}}} {
		got, err := AppendGrants([]byte("before"), raw, grants, 8, 9)
		if c.Grants, c.Answers, c.After = grants, 8, 9; grants == nil {
			got, err = AppendChange([]byte("before"), raw)
		}
		want, wrong := Append([]byte("before"), Message{Change: &c})
		if err != nil || wrong != nil || !bytes.Equal(got, want) {
			t.Errorf("%x, %v, want %x, %v", got, err, want, wrong)
		}
	}
}

// The wire format of version 1 before changes were added.
type (
	legacyMessage struct {
		Version uint8         `cbor:"0,keyasint"`
		Digest  *legacyDigest `cbor:"1,keyasint,omitempty"`
		View    *legacyView   `cbor:"2,keyasint,omitempty"`
	}
	legacyLoad struct {
		ID     string `cbor:"1,keyasint,omitempty"`
		Sends  int    `cbor:"2,keyasint,omitempty"`
		Timely int    `cbor:"3,keyasint,omitempty"`
		Late   int    `cbor:"4,keyasint,omitempty"`
		Full   int    `cbor:"5,keyasint,omitempty"`
		Failed int    `cbor:"6,keyasint,omitempty"`
		Times  []int  `cbor:"7,keyasint,omitempty"`
	}
	legacyHeat struct {
		Key   uint32  `cbor:"1,keyasint"`
		Asked int     `cbor:"2,keyasint,omitempty"`
		Load  float64 `cbor:"3,keyasint,omitempty"`
	}
	legacyUse struct {
		Tenant string  `cbor:"1,keyasint"`
		Asked  int     `cbor:"2,keyasint,omitempty"`
		Rate   float64 `cbor:"3,keyasint,omitempty"`
	}
	legacyDigest struct {
		From     string       `cbor:"1,keyasint"`
		Start    int64        `cbor:"2,keyasint"`
		Seq      uint64       `cbor:"3,keyasint"`
		Span     int64        `cbor:"4,keyasint"`
		Asked    int          `cbor:"5,keyasint,omitempty"`
		Answered int          `cbor:"6,keyasint,omitempty"`
		Servers  []legacyLoad `cbor:"7,keyasint,omitempty"`
		Origin   legacyLoad   `cbor:"8,keyasint"`
		Hot      []legacyHeat `cbor:"9,keyasint,omitempty"`
		Tenants  []legacyUse  `cbor:"10,keyasint,omitempty"`
	}
	legacyShare struct {
		ID     string  `cbor:"1,keyasint"`
		Factor float64 `cbor:"2,keyasint"`
		Allow  float64 `cbor:"3,keyasint,omitempty"`
	}
	legacyView struct {
		Epoch   uint64        `cbor:"1,keyasint,omitempty"`
		Planner string        `cbor:"2,keyasint"`
		Made    int64         `cbor:"3,keyasint"`
		Valid   int64         `cbor:"4,keyasint"`
		Servers []legacyShare `cbor:"5,keyasint,omitempty"`
		Admit   float64       `cbor:"6,keyasint,omitempty"`
		Hot     []legacyHeat  `cbor:"7,keyasint,omitempty"`
		Tenants []legacyUse   `cbor:"8,keyasint,omitempty"`
	}
)

// A planner older than changes decodes a newer forwarder's full digest with a hold, and a forwarder older than changes decodes
// a newer planner's view. Messages from these older peers decode without a hold.
func TestPeersWithoutChanges(t *testing.T) {
	decode := must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 2 * plan.MaxServers, MaxMapPairs: 32,
		MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
	encode := must(cbor.CanonicalEncOptions().EncMode())
	old := []legacyMessage{
		{Version: 1, Digest: &legacyDigest{From: "f", Start: 5, Seq: 7, Span: 1e9, Asked: 3, Answered: 2, Servers: []legacyLoad{{ID: "c1", Sends: 3, Timely: 1, Late: 1, Failed: 1, Times: []int{0, 1, 0, 1}}},
			Origin: legacyLoad{Sends: 1, Timely: 1}, Hot: []legacyHeat{{Key: 8, Asked: 3}}, Tenants: []legacyUse{{Tenant: "a", Asked: 3}}}},
		{Version: 1, View: &legacyView{Epoch: 3, Planner: "p", Made: 9e9, Valid: 1e9, Servers: []legacyShare{{ID: "c1", Factor: 0.3, Allow: 4}}, Admit: 0.5, Hot: []legacyHeat{{Key: 8, Load: 1.5}},
			Tenants: []legacyUse{{Tenant: "a", Rate: 20}}}},
	}
	now := samples()[:2]
	for i, m := range now {
		if m.Digest != nil {
			m.Hold = &plan.Hold{History: 9, Revision: 2, Follows: true}
		}
		frame, err := Append(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		var got legacyMessage
		if err := decode.Unmarshal(frame[4:], &got); err != nil {
			t.Fatalf("a legacy peer cannot decode it: %v", err)
		}
		if diff := cmp.Diff(old[i], got); diff != "" {
			t.Error(diff)
		}
		body, err := encode.Marshal(old[i])
		if err != nil {
			t.Fatal(err)
		}
		read, used, err := Next(append([]byte{0, 0, byte(len(body) >> 8), byte(len(body))}, body...))
		if err != nil || used != 4+len(body) || read.Hold != nil {
			t.Errorf("from a legacy peer: %+v, %d, %v", read, used, err)
		}
		if diff := cmp.Diff(samples()[i], read); diff != "" {
			t.Error(diff)
		}
	}
	// An older planner decodes a brief digest as one that omits most servers. For this reason forwarders send brief digests only
	// to planners that have sent a change.
	frame, _ := Append(nil, samples()[3])
	var got legacyMessage
	if err := decode.Unmarshal(frame[4:], &got); err != nil || got.Digest == nil || len(got.Digest.Servers) > 0 {
		t.Errorf("%+v, %v", got.Digest, err)
	}
}

// Without faults, the sizes of a brief digest and of a change do not depend on the number of servers.
func TestIdleMessageSizes(t *testing.T) {
	const node, maxBytes = "forwarder-site-079-0024", 700
	sizes := map[int]int{}
	for _, servers := range []int{100, 420, 2000} {
		rng := rand.New(rand.NewPCG(1, uint64(servers)))
		g := plan.NewCollector(100*time.Second, node)
		now := 100 * time.Second
		worst := 0
		for range 20 {
			for range 842 {
				latency, timely := time.Duration(1+rng.IntN(40))*time.Millisecond, rng.IntN(100) > 0
				if !timely {
					latency = time.Second
				}
				g.Request(fmt.Sprint("k", rng.IntN(1e7)), "")
				g.Attempt(fmt.Sprintf("cache-zone-%02d-%04d", servers%59, rng.IntN(servers)), false, policy.OK, latency, timely, false)
				if rng.IntN(20) == 0 {
					g.Attempt("origin", true, policy.OK, latency, timely, false)
				}
			}
			now += time.Second
			full := g.Digest(now)
			d := g.Brief(full)
			if err := d.Check(); err != nil {
				t.Fatal(err)
			}
			frame, err := Append(nil, Message{Digest: d, Hold: &plan.Hold{History: math.MaxUint64, Revision: 1e6, Follows: true}, NextChange: 1e6})
			if err != nil {
				t.Fatal(err)
			}
			worst = max(worst, len(frame))
			if all, _ := Append(nil, Message{Digest: full}); len(all) < 3*len(frame) {
				t.Errorf("%d servers: brief digest of %d bytes, full digest of %d", servers, len(frame), len(all))
			}
		}
		sizes[servers] = worst
		if worst > maxBytes {
			t.Errorf("%d servers: digest of %d bytes", servers, worst)
		}
		p := plan.New(plan.Config{ID: "planner-1", History: math.MaxUint64})
		var list []policy.Server
		for i := range servers {
			list = append(list, policy.Server{ID: fmt.Sprint("c", i)})
		}
		p.SetServers(now, list)
		p.Update(now)
		for _, base := range []plan.Hold{{}, {History: math.MaxUint64, Revision: 1}} {
			c, full := p.Change(1764000000*time.Second, base)
			frame, err := Append(nil, Message{Change: &c})
			if err != nil || len(frame) > 80 {
				t.Errorf("%d servers, full state %v: a change of %d bytes, %v", servers, full, len(frame), err)
			}
		}
	}
	t.Logf("largest of twenty digests by number of servers: %v", sizes)
	if sizes[2000] > sizes[100]*5/4 {
		t.Errorf("%v: the size grows with the number of servers", sizes)
	}
}

// Messages of the next version decode, with unknown fields ignored. Other versions and malformed frames are rejected.
func TestVersionsAndMalformedFrames(t *testing.T) {
	for frame, valid := range map[string]bool{
		"0000000a" + "a3000202a2026170" + "0401" + "0901":                             false, // incomplete: shorter than its length says
		"00000010" + "a3" + "0002" + "02a3026170" + "0401" + "186301" + "1863" + "01": true,  // version 2, with unknown fields
		"0000000c" + "a2" + "0003" + "02a2026170" + "0401" + "00":                     false, // version 3, with trailing bytes
		"00000003" + "a10001":         false, // no content
		"00000007" + "a3000103a004a0": true,  // an empty change, which plan.Change.Check rejects
		"00000005" + "a2000103a0":     false, // a hold without a digest
		"00000013" + "a3" + "0001" + "02a2026170" + "0401" + "04a3" + "026170" + "0401" + "0500": false, // a view and a change
		"00000006" + "a2" + "0001" + "0481a0":                                                    false, // a change encoded as a list
		"00000014" + "a2" + "0001" + "04a2" + "026170" + "0981a2016163021a00010000":              false, // a factor out of range
		"ffffffff":                false,
		"00000000":                false,
		"00000001ff":              false,
		"00000005" + "a200010001": false, // a duplicate key
	} {
		data, _ := hex.DecodeString(frame)
		m, used, err := Next(data)
		if (used > 0 && err == nil) != valid {
			t.Errorf("%s: %+v, %d, %v", frame, m, used, err)
		}
	}
}

// No input causes a panic, and none is decoded beyond its end. A decoded message that is encoded, decoded and encoded again
// gives the same bytes.
func FuzzNext(f *testing.F) {
	for _, m := range samples() {
		data, _ := Append(nil, m)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, used, err := Next(data)
		if err != nil || used == 0 {
			return
		}
		if used > len(data) {
			t.Fatalf("%d of %d bytes", used, len(data))
		}
		first, err := Append(nil, m)
		if err != nil {
			return // the canonical form can exceed the maximum size
		}
		again, used, err := Next(first)
		if err != nil || used != len(first) {
			t.Fatalf("cannot decode the encoded message: %v", err)
		}
		if second, err := Append(nil, again); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%x, then %x, %v", first, second, err)
		}
	})
}
