package node

import (
	"testing"

	"lapisshelf/internal/handover"
)

// The list of another process counts where it is newer, by the same registry: revisions of two compare with nothing.
func TestWhichListOfTwoProcessesIsNewer(t *testing.T) {
	own := handover.List{Source: "a", Revision: 7}
	for _, c := range []struct {
		l    handover.List
		want bool
	}{
		{handover.List{Source: "a", Revision: 8}, true},
		{handover.List{Source: "a", Revision: 7}, false},
		{handover.List{Source: "a", Revision: 6}, false},
		{handover.List{Source: "b", Revision: 900}, false}, // discovery was moved between the two
		{handover.List{Revision: 8}, true},                 // a process of a version that does not tell
	} {
		if got := newer(c.l, own); got != c.want {
			t.Errorf("%+v: %t", c.l, got)
		}
	}
	b := newBench(t)
	if l := b.node.succession.list(); l.Source != b.node.succession.source().Source || l.Source == "" {
		t.Errorf("tells %q", l.Source)
	}
}
