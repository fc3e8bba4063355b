package node

import (
	"slices"
	"time"

	"lapisshelf/internal/meta"
)

// Limits of long values that are streamed from a client to a server: clients and servers that make no progress, and clients whose time may
// be over before all of the value is read.

const (
	maxUploadTime       = 30 * time.Second // how long a long value may take to arrive
	uploadCheckInterval = 500 * time.Millisecond
)

// checkStalled ends an upload whose client sends nothing although it is read, and an attempt whose server takes nothing of the
// value.
func (u *upload) checkStalled() {
	now := u.client.node.loop.Now()
	if t := u.attempt; t != nil && u.serverStalled(now) {
		u.logGivenUp(now, "the server takes nothing")
		t.pool.timeout(t)
	}
	if u.shouldPause() {
		u.lastProgress = now
	}
	if now-u.lastProgress >= commandTimeout || now-u.startedAt >= maxUploadTime {
		u.abandon()
		return
	}
	if u.submitted && !u.request.answered {
		u.client.node.keepID(u.request) // its value may take longer than ids are remembered
	}
	u.stallTimer = u.client.node.loop.After(uploadCheckInterval, u.checkStalled)
}

// serverStalled reports whether the server has taken nothing of what it was sent for bodyStallTimeout.
func (u *upload) serverStalled(now time.Duration) bool {
	conn := u.attempt.link.conn
	if written := conn.Written(); written != u.writtenBytes || conn.Pending() == 0 {
		u.writtenBytes, u.writeProgressAt = written, now
	}
	return now-u.writeProgressAt >= bodyStallTimeout
}

// abandon ends a value that its client does not finish. Its connection closes once the requests before it are answered.
func (u *upload) abandon() {
	c := u.client
	c.node.count.clientsBad++
	u.stopTimers()
	c.upload = nil
	if u.submitted && !u.request.answered {
		c.requests = slices.DeleteFunc(c.requests, func(k *request) bool { return k == u.request })
		c.node.abandon(u.request)
	}
	if len(c.requests) == 0 && c.conn.Pending() == 0 {
		c.closeGracefully(closedIncomplete)
		return
	}
	c.noMoreInput = true
	c.flush()
}

// dueAt returns when the write has to be answered at the latest. The node does not see when its client sends the last byte while it does
// not read; it may have been sent as soon as bytes are unread.
func (u *upload) dueAt() time.Duration {
	n := u.client.node
	due := u.client.conn.EarliestUnread() + u.timeout
	if n.shuttingDown {
		due = min(due, n.answerDeadline)
	}
	return due - min(deadlineMargin, u.timeout/2)
}

// checkDeadline refuses a write whose client may have sent all of it so long ago that it stops waiting now.
func (u *upload) checkDeadline() {
	u.deadlineTimer.Stop()
	if u.complete || u.request.answered || u.client.upload != u {
		return
	}
	n := u.client.node
	now := n.loop.Now()
	if due := u.dueAt(); now < due {
		u.deadlineTimer = n.loop.After(due-now, u.checkDeadline)
		return
	}
	u.refuse("its time may be over")
}

// refuse refuses a write whose value has not gone to a server whole, so that it has not run. What is still to come of it is discarded.
func (u *upload) refuse(why string) {
	k, n := u.request, u.client.node
	now := n.loop.Now()
	u.logGivenUp(now, why)
	n.count.longWritesRefused++
	n.guard("body", func() { n.policy.BodyTimedOut(now, k.id) })
	if !k.answered { // the policy does not know it
		n.reply(k, meta.AppendBusy(nil, 0), refused)
	}
	u.buffered = nil
	u.updatePaused()
}

// logGivenUp logs what is known of a write that is given up, or of its attempt.
func (u *upload) logGivenUp(now time.Duration, why string) {
	server, attempt, written, pending := "", -1, int64(0), 0
	if t := u.attempt; t != nil {
		server, attempt, pending = t.pool.id, t.number, t.link.conn.Pending()
		written = t.link.conn.Written() - t.startOffset
	}
	size := u.request.command.LongSize
	u.client.node.logRequest("event=write_given_up id=%s server=%s attempt=%d read=%d of=%d written=%d pending=%d server_idle=%s client_idle=%s left=%s why=%q", u.request.id, server,
		attempt, size-u.remaining, size, written, pending, now-max(u.writeProgressAt, u.startedAt), now-u.lastProgress, u.dueAt()-now, why)
}

// stopTimers stops the checks of a value that is complete or given up.
func (u *upload) stopTimers() {
	u.stallTimer.Stop()
	u.deadlineTimer.Stop()
}
