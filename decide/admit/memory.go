// Package admit decides what a node takes on while the bytes that it holds for clients grow. It is pure: it maps the bytes held and
// their limit to a decision.
//
// Ordinarily every request is admitted, bytes are read in large pieces, and clients are read ahead of slow servers. Beyond a quarter of the
// limit (MayReadAhead) they are not. Beyond half of the limit (Scarce) bytes are read in small
// pieces, so that each slow client holds little, and a request is refused whose answer would have to wait for others on its connection.
// Beyond the limit every request is refused, and answers of which nothing has been written are given up.
package admit

const (
	// LargePiece is how many bytes are read from a connection at a time.
	LargePiece = 64 << 10
	// SmallPiece is how many bytes are read at a time while memory is scarce. A client that does not take them holds no more than this.
	SmallPiece = 4 << 10
	// scarceDivisor is the part of the limit beyond which memory is scarce.
	scarceDivisor = 2
	// readAheadDivisor is the part of the limit beyond which clients are not read ahead of the servers that their values go to.
	readAheadDivisor = 4
)

// Memory is the state of a budget of bytes.
type Memory struct {
	Limit int // bytes that may be held
	Held  int // bytes that are held now
}

// Scarce reports whether so much is held that more must be taken on with care.
func (m Memory) Scarce() bool { return m.Held > m.Limit/scarceDivisor }

// MayReadAhead reports whether a client may be read although its server has yet to take what was read before.
func (m Memory) MayReadAhead() bool { return m.Held <= m.Limit/readAheadDivisor }

// Admit decides whether a request that brings so many bytes may be taken. queued reports that its answer has to wait for earlier ones
// on its connection, which holds the answer for as long as its client reads those.
func (m Memory) Admit(bytes int, queued bool) bool {
	limit := m.Limit
	if queued {
		limit /= scarceDivisor
	}
	return m.Held+bytes <= limit
}

// MayHold decides whether a long value of so many bytes may be buffered whole before its client gets any of it.
func (m Memory) MayHold(bytes int) bool { return m.Held+bytes <= m.Limit/scarceDivisor }

// PieceSize returns how many bytes may be read from a connection at a time.
func (m Memory) PieceSize() int {
	if m.Scarce() {
		return SmallPiece
	}
	return LargePiece
}
