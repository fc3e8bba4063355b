package admit

import (
	"testing"

	"pgregory.net/rapid"
)

// What is admitted is within the limit, an answer that waits for others within half of it, and pieces are small from there on.
func TestMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Memory{Limit: rapid.IntRange(0, 1<<28).Draw(t, "limit"), Held: rapid.IntRange(0, 1<<29).Draw(t, "held")}
		bytes := rapid.IntRange(0, 1<<22).Draw(t, "bytes")
		if got := m.Admit(bytes, false); got != (m.Held+bytes <= m.Limit) || got && m.Held > m.Limit {
			t.Fatalf("%+v admits %d: %t", m, bytes, got)
		}
		if got := m.Admit(bytes, true); got != (m.Held+bytes <= m.Limit/2) || got && m.Scarce() {
			t.Fatalf("%+v admits %d behind others: %t", m, bytes, got)
		}
		if got := m.MayHold(bytes); got != (m.Held+bytes <= m.Limit/2) || got && m.Scarce() {
			t.Fatalf("%+v holds a value of %d: %t", m, bytes, got)
		}
		if got := m.MayReadAhead(); got != (m.Held <= m.Limit/4) || got && m.Scarce() && m.Limit >= 4 {
			t.Fatalf("%+v reads ahead: %t", m, got)
		}
		if got := m.PieceSize(); got != SmallPiece && m.Scarce() || got != LargePiece && !m.Scarce() {
			t.Fatalf("%+v: pieces of %d", m, got)
		}
	})
}

// Every client that may connect can hold a small piece of a value without exceeding the smallest budget of the deployments: a quarter
// of 32 MB, and a third of 1,024 descriptors.
func TestSmallPiecesFitTheSmallestBudget(t *testing.T) {
	const budget, clients = 32 << 20 / 4, 1024 / 3
	if held := budget/scarceDivisor + clients*SmallPiece; held > budget {
		t.Errorf("%d clients may hold %d bytes, beyond %d", clients, held, budget)
	}
}
