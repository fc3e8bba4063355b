package safety

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestReuse(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *Reuse)
		want   Reason
	}{
		{"settled", func(*Reuse) {}, Allowed},
		{"still arriving", func(r *Reuse) { r.Quiet = r.SettleTime - 1 }, Unsettled},
		{"still arriving, named answers", func(r *Reuse) { r.Quiet, r.LastNamed = 0, true }, Allowed},
		{"still arriving, a read behind a refusal", func(r *Reuse) { r.Quiet, r.ServerNames = 0, true }, Allowed},
		{"still arriving, a write behind a refusal", func(r *Reuse) { r.Quiet, r.ServerNames, r.Effect = 0, true, Keyed }, Unsettled},
		{"surplus lately", func(r *Reuse) { r.SurplusSeen, r.SinceSurplus = true, SurplusMemory-1 }, SurplusExpected},
		{"surplus lately, named answers", func(r *Reuse) { r.SurplusSeen, r.LastNamed = true, true }, Allowed},
		{"surplus long ago", func(r *Reuse) { r.SurplusSeen, r.SinceSurplus = true, SurplusMemory }, Allowed},
	} {
		r := Reuse{Quiet: 250 * ms, SettleTime: 250 * ms}
		c.change(&r)
		if got := CheckReuse(r); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// A write never goes out behind an unnamed answer that bytes may still follow, and a refusal that may be a copy proves nothing for it.
func TestCopiesProveNothingForWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effect := Effect(rapid.IntRange(int(Safe), int(Unsafe)).Draw(t, "effect"))
		settle := time.Duration(rapid.IntRange(1, 1000).Draw(t, "settle")) * ms
		quiet := time.Duration(rapid.IntRange(-500, 1500).Draw(t, "quiet")) * ms
		names := rapid.Bool().Draw(t, "names")
		r := Reuse{ServerNames: names, Effect: effect, Quiet: quiet, SettleTime: settle, SurplusSeen: rapid.Bool().Draw(t, "surplus")}
		unsafeToUse := (effect != Safe || !names) && (quiet < settle || r.SurplusSeen)
		if got := CheckReuse(r) == Allowed; got == unsafeToUse {
			t.Fatalf("%+v: %v", r, got)
		}
		if got := TrustRefusal(effect, true, quiet, settle); got != (effect == Safe || quiet >= settle) {
			t.Fatalf("trusted %t", got)
		}
	})
}

// An unnamed answer proves the end of its attempt unless an earlier one may still be copied: for as long as the connection settles, and
// without end at a server that sends copies.
func TestAPossibleCopyProvesNoEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settle := time.Duration(rapid.IntRange(1, 1000).Draw(t, "settle")) * ms
		since := time.Duration(rapid.IntRange(-500, 1500).Draw(t, "since")) * ms
		earlier, surplus := rapid.Bool().Draw(t, "earlier"), rapid.Bool().Draw(t, "surplus")
		mayBeCopy := earlier && (surplus || since < settle)
		if got := ProvesEnd(earlier, surplus, since, settle); got == mayBeCopy {
			t.Fatalf("earlier %t, surplus %t, %v of %v: %t", earlier, surplus, since, settle, got)
		}
	})
}
