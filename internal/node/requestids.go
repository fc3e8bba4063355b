package node

import (
	"errors"
	"slices"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/internal/handover"
)

// Request ids. Each request has its own id, also a retry by the client: servers would take one that comes again for the first one. Of a
// request that may have an effect, the id is remembered for as long as the request may run or its effect be repeated, by this process and
// by the others of the node; without room for it the request is refused. Of all others the latest ids are remembered.

// effectIDsPerMB is how many ids of requests that may have an effect are remembered, per megabyte of the memory limit.
const effectIDsPerMB = 512

// errIDInUse is the error of a request whose id another one has.
var errIDInUse = errors.New("request id in use")

// checkUniqueID returns an error if another request has or recently had this id, at this process or at another of the node.
func (n *Node) checkUniqueID(id []byte) error {
	// Guards against a client that sends the id of another's request: servers would take an open one for that request, and a
	// refusal would count for it.
	n.effectIDs.Expire(n.loop.Now())
	member := n.succession.member
	if n.requests[string(id)] != nil || n.clients.recentIDs.has(id) || n.effectIDs.Has(id) || member != nil && member.HasID(id) {
		n.count.duplicateIDs++
		return errIDInUse
	}
	return nil
}

// registerID remembers a request's id and counts the request.
func (n *Node) registerID(id []byte) {
	n.clients.recentIDs.add(id, n.loop.Now())
	n.count.taken++
}

// keepID remembers the id of a request that may have an effect, from now on. It reports false if there is no room for it, or if the ids of
// another process are not known.
func (n *Node) keepID(c *request) bool {
	if c.class.effect == safety.Safe {
		return true
	}
	if member := n.succession.member; member != nil && !member.KnowsAllIDs() {
		return false
	}
	until := n.loop.Now() + n.effectRetention()
	if c.idKept {
		c.idSlot, c.idKept = n.effectIDs.Renew(c.idSlot, c.command.ID, until)
	} else {
		c.idSlot, c.idKept = n.effectIDs.Add(c.command.ID, until)
	}
	return c.idKept
}

// releaseID forgets the id of a request that has ended, if it has not run.
func (n *Node) releaseID(c *request) {
	if c.idKept && !slices.ContainsFunc(c.attempts, func(t *attempt) bool { return t.mayHaveRun }) {
		n.effectIDs.Remove(c.idSlot, c.command.ID)
	}
}

// effectRetention returns how long the id of a request that may have an effect is remembered: while its client may wait for it, and while
// servers drop repeats of it.
func (n *Node) effectRetention() time.Duration {
	longest := idRetention
	for _, class := range n.classes {
		if class.effect != safety.Safe {
			longest = max(longest, class.maxDeadline+class.window)
		}
	}
	return longest + safety.StallAllowance
}

// idOptions returns what the processes of this node remember of requests.
func (n *Node) idOptions() handover.IDOptions {
	return handover.IDOptions{Capacity: max(1, n.cfg.MemoryMB*effectIDsPerMB), Retention: n.effectRetention()}
}

// shareIDs has this process remember ids where the node's other processes see them, if there can be any.
func (n *Node) shareIDs() {
	if n.succession.member == nil {
		n.effectIDs = handover.NewIDTable(n.idOptions().Capacity)
		return
	}
	n.effectIDs = n.succession.member.IDs()
}
