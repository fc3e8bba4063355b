package planwire

import (
	"bytes"
	"encoding/hex"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lapisshelf/decide/plan"
	"lapisshelf/policy"
)

func samples() []Message {
	return []Message{
		{Digest: &plan.Digest{From: "f", Start: 5, Seq: 7, Span: time.Second, Asked: 3, Answered: 2, Servers: []plan.Load{{ID: "c1", Sends: 3, Timely: 1, Late: 1, Failed: 1, Times: []int{0, 1, 0, 1}}},
			Origin: plan.Load{Sends: 1, Timely: 1}, Hot: []plan.Heat{{Key: 8, Asked: 3}}, Tenants: []plan.Use{{Tenant: "a", Asked: 3}}}},
		{View: &plan.View{Epoch: 3, Planner: "p", Made: 9 * time.Second, Valid: time.Second, View: policy.View{Admit: 0.5, Servers: []policy.Share{{ID: "c1", Factor: 0.3, Allow: 4}},
			Hot: []policy.Heat{{Key: 8, Load: 1.5}}, Tenants: []policy.Use{{Name: "a", Asked: 20}}}}},
		{View: &plan.View{Planner: "p", Valid: time.Second, View: policy.View{Servers: []policy.Share{{ID: "c1", Factor: math.Inf(1)}}}}},
	}
}

// What is written is read, piece by piece, one message after the other.
func TestThereAndBack(t *testing.T) {
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
		for n := 0; used == 0; n++ { // until it is whole
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

// The form on the wire is the documented one, by hand.
func TestTheForm(t *testing.T) {
	got, err := Append(nil, Message{View: &plan.View{Epoch: 3, Planner: "p", Made: 9, Valid: 10, View: policy.View{Servers: []policy.Share{{ID: "c", Factor: 0.5}}}}})
	// length 24; {0: 1, 2: {1: 3, 2: "p", 3: 9, 4: 10, 5: [{1: "c", 2: 0.5}]}}
	if want := "00000018" + "a2" + "0001" + "02a5" + "0103" + "026170" + "0309" + "040a" + "0581a2016163" + "02f93800"; err != nil || hex.EncodeToString(got) != want {
		t.Errorf("%x, %v, want %s", got, err, want)
	}
}

// Neighbouring versions are read, with fields that this one does not know; others are not, nor is what is no message.
func TestVersionsAndNoise(t *testing.T) {
	for text, good := range map[string]bool{
		"0000000a" + "a3000202a2026170" + "0401" + "0901":                             false, // shorter than its length says: not whole
		"00000010" + "a3" + "0002" + "02a3026170" + "0401" + "186301" + "1863" + "01": true,  // version 2, unknown fields
		"0000000c" + "a2" + "0003" + "02a2026170" + "0401" + "00":                     false, // version 3, and bytes behind
		"00000003" + "a10001":     false, // neither
		"ffffffff":                false,
		"00000000":                false,
		"00000001ff":              false,
		"00000005" + "a200010001": false, // a key twice
	} {
		data, _ := hex.DecodeString(text)
		m, used, err := Next(data)
		if (used > 0 && err == nil) != good {
			t.Errorf("%s: %+v, %d, %v", text, m, used, err)
		}
	}
}

// Whatever comes neither panics nor takes more than it is; what is read is written the same way again.
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
			return // too large in this form
		}
		again, used, err := Next(first)
		if err != nil || used != len(first) {
			t.Fatalf("its own form: %v", err)
		}
		if second, err := Append(nil, again); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%x, then %x, %v", first, second, err)
		}
	})
}
