package loop

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// What has just arrived counts from then, however much it is and whatever was read before.
func TestBytesReadInTimeCountFromTheirArrival(t *testing.T) {
	var b backlog
	for i, bytes := range []int{100, 64 << 10, 64 << 10, 10, 64 << 10} {
		now := time.Duration(i+1) * 5 * ms
		if sentAt, _ := b.read(bytes, true, now, now-ms); sentAt != now-ms {
			t.Errorf("read %d: counts from %v", i, sentAt)
		}
	}
}

// A read that does not drain the connection leaves bytes that may be as old.
func TestBytesLeftUnreadCountFromTheEarliestArrival(t *testing.T) {
	var b backlog
	b.read(64<<10, false, 100*ms, 99*ms)
	if sentAt, readFrom := b.read(100, true, 900*ms, 899*ms); sentAt != 99*ms || readFrom != 100*ms {
		t.Errorf("counts from %v, reading began at %v", sentAt, readFrom)
	}
}

// Guards against counting what the peer's machine held back, while the receive window was closed, from when it came.
func TestBytesThatThePeerHeldBackCountFromThePause(t *testing.T) {
	var b backlog
	b.begin(100 * ms)
	b.resume(900*ms, false)
	for at := 900 * ms; at < 1000*ms; at += 5 * ms {
		if sentAt, _ := b.read(32<<10, true, at, at); sentAt != 100*ms {
			t.Fatalf("at %v: counts from %v", at, sentAt)
		}
		b.begin(at)
		b.resume(at, true) // pauses of the reader in between change nothing
	}
	if b.ended(1005*ms, 0) || b.ended(1020*ms, 20*ms) {
		t.Error("ended before the peer could send the rest")
	}
	if !b.ended(1020*ms, 0) {
		t.Error("not ended though nothing came")
	}
}

// Guards against counting the whole of a slow upload from a pause long ago: a little at a time is not what was held back.
func TestASlowPeerAfterAPauseCountsAnew(t *testing.T) {
	var b backlog
	b.begin(100 * ms)
	b.resume(900*ms, false)
	b.read(32<<10, true, 900*ms, 900*ms)
	b.read(100, true, 905*ms, 905*ms)
	if !b.ended(915*ms, 0) {
		t.Error("not ended")
	}
}

// What was little cannot have closed the window, and a short wait is not worth counting.
func TestNoMoreIsExpectedBehindASmallOrShortBacklog(t *testing.T) {
	for name, c := range map[string]struct {
		bytes int
		now   time.Duration
	}{"small": {minFullWindow - 1, 900 * ms}, "short": {1 << 20, 100*ms + maxUncountedWait}} {
		var b backlog
		b.begin(100 * ms)
		b.resume(c.now, false)
		if sentAt, _ := b.read(c.bytes, true, c.now, c.now); sentAt != 100*ms || b.possible {
			t.Errorf("%s: counts from %v, more expected %t", name, sentAt, b.possible)
		}
	}
}

// A pause with nothing unread behind it leaves no backlog.
func TestAnEmptyPauseLeavesNoBacklog(t *testing.T) {
	var b backlog
	b.begin(100 * ms)
	b.resume(900*ms, true)
	if sentAt, _ := b.read(64<<10, true, 950*ms, 949*ms); sentAt != 949*ms {
		t.Errorf("counts from %v", sentAt)
	}
}

// The kernel's times are trusted only for bytes that clearly came before reading began.
func TestArrivalBeforeReading(t *testing.T) {
	if receivedBeforeReading(895*ms, 900*ms) || receivedBeforeReading(905*ms, 900*ms) || !receivedBeforeReading(880*ms, 900*ms) {
		t.Error("wrong")
	}
}
