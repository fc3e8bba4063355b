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
	readFrom  time.Duration // when reading it began
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
	if b.size == 0 { // otherwise an earlier read has opened the receive window
		b.readFrom = now
	}
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

// arrival tells what is known of when bytes were sent.
type arrival struct {
	earliest time.Duration // they cannot have been sent before
	last     bool          // no more bytes stand in the node's machine
	few      bool          // too few bytes were waiting to close the receive window
	readFrom time.Duration // when reading the backlog that they are part of began
}

// sentByArrival reports whether the last of the bytes was sent at the time at which the kernel received it: the peer's machine cannot
// have held it back, since the receive window stayed open, or since it came before reading opened the window.
func (a arrival) sentByArrival(receivedAt time.Duration) bool {
	return a.last && (a.few || receivedAt+arrivalTimeError < a.readFrom)
}

// read notes a read of so many bytes, and returns what is known of when they were sent. earliest is the earliest time for bytes that have
// just arrived; drained reports that the read took all that stood in the node's machine.
func (b *backlog) read(bytes int, drained bool, now, earliest time.Duration) arrival {
	b.begin(earliest)
	b.since = min(b.since, earliest)
	if b.readFrom == 0 {
		b.readFrom = now
	}
	b.size += bytes
	a := arrival{earliest: b.since, last: drained, few: b.size < minFullWindow, readFrom: b.readFrom}
	b.lateSize += bytes
	switch {
	case !drained:
		b.drainedAt = 0
	case a.few || now-b.since <= maxUncountedWait:
		*b = backlog{}
	case b.drainedAt == 0 || b.lateSize >= minFullWindow:
		b.drainedAt, b.lateSize = now, 0
	}
	return a
}
