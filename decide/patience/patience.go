// Package patience decides how long the rest of an answer is waited for that has begun and stands still. It is pure: it maps the facts of
// an attempt to a time.
//
// Silence does not tell an answer whose server is slow from one that was cut short and never ends. What has begun soundly is therefore
// waited for as long as its client waits. Where the request may be sent again, as much time is kept back as another server usually takes.
package patience

import "time"

// maxReserveDivisor bounds the time that is kept back for another attempt to this part of the time left.
const maxReserveDivisor = 4

// MaxHold bounds the time for which the beginning of a long value may be kept from its client. The wire protocol has a request lost whose
// value is held back for 2 s.
const MaxHold = 1750 * time.Millisecond

// stoppedDivisor is the part of its time after which a long value counts as stopped if nothing more of it has come.
const stoppedDivisor = 4

// Stopped reports whether a long value that began to arrive this long ago has stopped, if its server has sent nothing for so long.
func Stopped(silence, since time.Duration) bool { return silence >= since/stoppedDivisor }

// Answer describes an answer that has begun.
type Answer struct {
	Remaining  time.Duration // until attempts of the request must have ended
	Repeatable bool          // the request may be sent again after this attempt
	AnswerTime time.Duration // within which servers answer most requests
}

// Wait returns how long the rest of the answer is waited for; 0 if no time is left.
func Wait(a Answer) time.Duration {
	remaining := max(0, a.Remaining)
	if !a.Repeatable {
		return remaining
	}
	return remaining - min(a.AnswerTime, remaining/maxReserveDivisor)
}
