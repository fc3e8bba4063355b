package loop

import "time"

// Limits for telling since when bytes have been waiting.
const (
	// acceptReadWindow is how soon after its accept a connection is read that had bytes in the listen queue.
	acceptReadWindow = 20 * time.Millisecond
	// minFullWindow is the number of unread bytes from which on the receive window may have been closed: the peer's machine may then
	// hold more that was sent at the same time. Linux opens the window with 64 KiB; a peer may wait until half of it is free.
	minFullWindow = 16 << 10
	// maxUncountedWait is how long bytes may wait without the time being counted for those that the peer's machine held back.
	maxUncountedWait = 50 * time.Millisecond
	// windowReopenMargin is how long, beyond two round trips, a peer's machine takes to send what it held back.
	windowReopenMargin = 10 * time.Millisecond
	// arrivalTimeError is the error of the kernel's times of arrival, which count its clock ticks.
	arrivalTimeError = 10 * time.Millisecond
)

// backlog tells since when the bytes of a connection that are yet to be read may have been waiting. They may stand in the node's
// machine, because reading is paused, the process was stopped or busy, or more had arrived than is read at a time; or in the peer's,
// because the receive window was closed.
type backlog struct {
	possible  bool          // bytes may be waiting
	since     time.Duration // the earliest time at which they may have been sent
	readFrom  time.Duration // when reading it began, or went on after a pause
	size      int           // bytes of it that have been read
	drainedAt time.Duration // when the node's machine first held no more of it, so that the window was open again; 0: it holds some
	lateSize  int           // bytes read since then
}

// begin notes that bytes may be waiting from now on, or since an earlier time.
func (b *backlog) begin(since time.Duration) {
	if !b.possible {
		*b = backlog{possible: true, since: since}
	}
}

// resume notes that reading goes on after a pause, and whether bytes stand in the node's machine.
func (b *backlog) resume(now time.Duration, empty bool) {
	b.readFrom = now
	switch {
	case !empty:
		b.drainedAt = 0
	case b.drainedAt == 0:
		*b = backlog{}
	}
}

// ended reports whether the peer's machine has sent all that it had held back: nothing, or only a little, has come for a while although
// the window was open.
func (b *backlog) ended(now, roundTrip time.Duration) bool {
	return b.drainedAt > 0 && now-b.drainedAt > 2*roundTrip+windowReopenMargin && b.lateSize < minFullWindow
}

// receivedBeforeReading reports whether bytes that arrived at this time, by the kernel's clock, stood in the node's machine before
// reading them opened the receive window: no byte of the backlog before them was held back by the peer's machine.
func receivedBeforeReading(at, readFrom time.Duration) bool { return at+arrivalTimeError < readFrom }

// read notes a read of so many bytes, and returns the earliest time at which they may have been sent, and when reading the backlog that
// they are part of began. earliest is that time for bytes that have just arrived; drained reports that the read took all that stood in
// the node's machine.
func (b *backlog) read(bytes int, drained bool, now, earliest time.Duration) (sentAt, readFrom time.Duration) {
	b.begin(earliest)
	b.since = min(b.since, earliest)
	if b.readFrom == 0 {
		b.readFrom = now
	}
	sentAt, readFrom = b.since, b.readFrom
	b.size += bytes
	b.lateSize += bytes
	switch {
	case !drained:
		b.drainedAt = 0
	case b.size < minFullWindow || now-b.since <= maxUncountedWait:
		*b = backlog{}
	case b.drainedAt == 0 || b.lateSize >= minFullWindow:
		b.drainedAt, b.lateSize = now, 0
	}
	return sentAt, readFrom
}
