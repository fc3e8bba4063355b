package loop

import "slices"

// outBuffer holds the bytes that were written to a connection and not yet passed to the kernel. Taking bytes off its front costs no more
// than they are, however many stay.
type outBuffer struct {
	data []byte
	head int // bytes at the front of data that have been passed on
}

// size returns the number of bytes held.
func (b *outBuffer) size() int { return len(b.data) - b.head }

// bytes returns the bytes held.
func (b *outBuffer) bytes() []byte { return b.data[b.head:] }

// append adds a copy of data at the end.
func (b *outBuffer) append(data []byte) { b.data = append(b.data, data...) }

// appendOwned adds what follows the first sent bytes of data at the end. Nobody else uses data any more: it becomes the buffer if that is
// empty and most of it has yet to be sent.
func (b *outBuffer) appendOwned(data []byte, sent int) {
	if b.size() > 0 || sent >= len(data)-sent {
		b.append(data[sent:])
		return
	}
	b.data, b.head = data, sent
}

// replace replaces the bytes between two positions by data.
func (b *outBuffer) replace(from, to int, data []byte) {
	b.data = slices.Replace(b.data, b.head+from, b.head+to, data...)
}

// discard drops so many bytes from the front, and the memory that they took once that is half of it.
func (b *outBuffer) discard(count int) {
	b.head += count
	switch {
	case b.size() == 0:
		b.data, b.head = nil, 0 // a large buffer is not kept for the lifetime of the connection
	case b.head >= b.size():
		b.data, b.head = slices.Clone(b.bytes()), 0
	}
}
