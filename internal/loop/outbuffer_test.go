package loop

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// The buffer gives back what was appended and replaced, in order, and holds at most twice as many bytes as are left.
func TestOutBuffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b outBuffer
		var want []byte
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				data := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "data")
				b.append(data)
				want = append(want, data...)
			case 1:
				data := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "owned")
				sent := rapid.IntRange(0, len(data)).Draw(t, "sent")
				empty := len(b.data) == 0
				b.appendOwned(data, sent)
				want = append(want, data[sent:]...)
				if empty && len(b.data) > 2*len(want) {
					t.Fatalf("%d bytes are held for %d", len(b.data), len(want))
				}
			case 2:
				count := rapid.IntRange(0, len(want)).Draw(t, "count")
				b.discard(count)
				want = want[count:]
				if len(b.data) > 2*len(want) {
					t.Fatalf("%d bytes are held for %d", len(b.data), len(want))
				}
			default:
				from := rapid.IntRange(0, len(want)).Draw(t, "from")
				to := rapid.IntRange(from, len(want)).Draw(t, "to")
				data := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "replacement")
				b.replace(from, to, data)
				want = append(append(append([]byte(nil), want[:from]...), data...), want[to:]...)
			}
			if !bytes.Equal(b.bytes(), want) || b.size() != len(want) {
				t.Fatalf("holds %q, want %q", b.bytes(), want)
			}
		}
	})
}
