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
		if a := b.read(bytes, true, now, now-ms); a.earliest != now-ms {
			t.Errorf("read %d: counts from %v", i, a.earliest)
		}
	}
}

// A read that does not drain the connection leaves bytes that may be as old.
func TestBytesLeftUnreadCountFromTheEarliestArrival(t *testing.T) {
	var b backlog
	b.read(64<<10, false, 100*ms, 99*ms)
	if a := b.read(100, true, 900*ms, 899*ms); a.earliest != 99*ms || a.readFrom != 100*ms {
		t.Errorf("counts from %v, reading began at %v", a.earliest, a.readFrom)
	}
}

// Guards against counting what the peer's machine held back, while the receive window was closed, from when it came.
func TestBytesThatThePeerHeldBackCountFromThePause(t *testing.T) {
	var b backlog
	b.begin(100 * ms)
	b.resume(900*ms, false)
	for at := 900 * ms; at < 1000*ms; at += 5 * ms {
		if a := b.read(32<<10, true, at, at); a.earliest != 100*ms {
			t.Fatalf("at %v: counts from %v", at, a.earliest)
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
		if a := b.read(c.bytes, true, c.now, c.now); a.earliest != 100*ms || b.possible {
			t.Errorf("%s: counts from %v, more expected %t", name, a.earliest, b.possible)
		}
	}
}

// A pause with nothing unread behind it leaves no backlog.
func TestAnEmptyPauseLeavesNoBacklog(t *testing.T) {
	var b backlog
	b.begin(100 * ms)
	b.resume(900*ms, true)
	if a := b.read(64<<10, true, 950*ms, 949*ms); a.earliest != 949*ms {
		t.Errorf("counts from %v", a.earliest)
	}
}

// The kernel's time of arrival tells when the last byte was sent, unless the peer's machine may have held it back. Guards against
// refusing a short request that came just before the process went on.
func TestWhenTheKernelsTimeIsTrusted(t *testing.T) {
	for name, c := range map[string]struct {
		bytes      int
		drained    bool
		receivedAt time.Duration
		trusted    bool
	}{
		"few, just before reading":       {100, true, 899 * ms, true},
		"many, long before reading":      {64 << 10, true, 880 * ms, true},
		"many, just before reading":      {64 << 10, true, 895 * ms, false},
		"many, after reading began":      {64 << 10, true, 905 * ms, false},
		"not the last that has arrived":  {100, false, 880 * ms, false},
		"many, of which some are unread": {64 << 10, false, 880 * ms, false},
	} {
		var b backlog
		b.begin(100 * ms)
		b.resume(900*ms, false)
		if got := b.read(c.bytes, c.drained, 900*ms, 900*ms).sentByArrival(c.receivedAt); got != c.trusted {
			t.Errorf("%s: trusted %t", name, got)
		}
	}
}

// What the peer's machine held back until an earlier part was read, and what then waited through another pause, was taken to have been sent
// as it came: a long write read in turns had its time counted from its last part, seconds late.
func TestWhatWaitedThroughTwoPausesWasNotSentAsItCame(t *testing.T) {
	var b backlog
	b.begin(100 * ms)
	b.resume(900*ms, false)
	b.read(64<<10, false, 900*ms, 900*ms) // the window opens, and the peer's machine sends more of what it holds
	b.resume(2000*ms, false)
	a := b.read(64<<10, true, 2000*ms, 2000*ms)
	if a.earliest != 100*ms || a.sentByArrival(1500*ms) {
		t.Errorf("counts from %v, trusts the time of arrival %t", a.earliest, a.sentByArrival(1500*ms))
	}
	if !a.sentByArrival(800 * ms) {
		t.Error("does not trust what came before any of it was read")
	}
}
