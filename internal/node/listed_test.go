package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lapisshelf/decide/roster"
	"lapisshelf/policy"
)

// entriesOf returns list entries of servers, all ready.
func entriesOf(ids ...string) (list []roster.Entry) {
	for i, id := range ids {
		list = append(list, roster.Entry{Server: policy.Server{ID: id, State: policy.Ready}, Addr: fmt.Sprintf("127.0.%d.%d:9", 1+i/250, 1+i%250)})
	}
	return list
}

// idsOf returns so many ids that begin with a prefix.
func idsOf(prefix string, count int) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprintf("%s-%05d", prefix, i))
	}
	return ids
}

// newListHarness returns a node with so much memory that follows no list but the test's.
func newListHarness(t *testing.T, memoryMB int) *harness {
	b := newHarness(t)
	b.node.cfg.MemoryMB = memoryMB
	b.node.everListed = newListedServers(memoryMB)
	return b
}

// expectBan checks that a server can be taken out and gets nothing from then on, and be called back.
func (b *harness) expectBan(id string) {
	b.t.Helper()
	calledAt := time.Now()
	if reply := b.node.setBan(id, true); reply.Status != 200 || !b.node.isBanned(id) || b.node.pools[id] != nil && b.node.pools[id].available() {
		b.t.Errorf("%s is taken out: %d %s", id, reply.Status, reply.Body)
	}
	if took := time.Since(calledAt); took > time.Second {
		b.t.Errorf("the call took %v", took)
	}
	if reply := b.node.setBan(id, false); reply.Status != 200 || b.node.isBanned(id) {
		b.t.Errorf("%s is called back: %d %s", id, reply.Status, reply.Body)
	}
}

// A server that the list names could not be taken out if more servers were listed than were remembered.
func TestEveryListedServerOfALargeFleetCanBeTakenOut(t *testing.T) {
	b := newListHarness(t, 32)
	ids := idsOf("s", 3200)
	for _, kind := range []policy.ListKind{policy.ListComplete, policy.ListChanges} {
		b.node.applyList(kind, entriesOf(ids...))
		for _, id := range []string{ids[0], ids[1], ids[1600], ids[3199]} {
			b.expectBan(id)
		}
	}
	if reply := b.node.setBan("never", true); reply.Status != 404 || !strings.Contains(string(reply.Body), "ever listed") {
		t.Errorf("a server that was never listed: %d %s", reply.Status, reply.Body)
	}
}

// A server that had been listed all along could not be taken out once many others had come and gone.
func TestAServerThatStaysCanBeTakenOutHoweverManyLeft(t *testing.T) {
	for _, whole := range []bool{true, false} {
		b := newListHarness(t, 32)
		b.node.applyList(policy.ListComplete, entriesOf("stays"))
		for round := range 20 {
			others := entriesOf(idsOf(fmt.Sprintf("r%d", round), 1000)...)
			if whole {
				b.node.applyList(policy.ListComplete, append(entriesOf("stays"), others...))
				b.node.applyList(policy.ListComplete, entriesOf("stays"))
				continue
			}
			b.node.applyList(policy.ListChanges, others)
			for i := range others {
				others[i].State = policy.Gone
			}
			b.node.applyList(policy.ListChanges, others)
		}
		b.expectBan("stays")
		b.expectBan("r19-00999")
		b.expectBan("r13-00000") // more than the 8,192 that are always remembered have not left since
		reply := b.node.setBan("r0-00000", true)
		if reply.Status != 404 || !strings.Contains(string(reply.Body), "not remembered") {
			t.Errorf("a server that was forgotten: %d %s", reply.Status, reply.Body)
		}
	}
}

// A server that had left the list before an upgrade could not be taken out at the next process, if 256 others had left after it.
func TestServersThatLeftAreKnownToTheNextProcess(t *testing.T) {
	first, next := newListHarness(t, 32), newListHarness(t, 32)
	left := idsOf("left", 3200)
	first.node.applyList(policy.ListComplete, entriesOf(append(left, "stays")...))
	first.node.applyList(policy.ListComplete, entriesOf("stays"))
	published := first.node.succession.publishedList()
	next.node.everListed.adopt(published.Departed, published.DepartedMore)
	for _, id := range []string{left[0], left[1600], left[3199]} {
		next.expectBan(id)
	}
	if again := first.node.succession.publishedList(); string(again.Departed) != string(published.Departed) {
		t.Error("the same servers are published in another order")
	}
	if reply := next.node.setBan("never", true); reply.Status != 404 || !strings.Contains(string(reply.Body), "ever listed") {
		t.Errorf("a server that was never listed: %d %s", reply.Status, reply.Body)
	}
	first.node.applyList(policy.ListComplete, entriesOf(idsOf("more", 3200)...))
	first.node.applyList(policy.ListComplete, nil)
	published = first.node.succession.publishedList()
	next.node.everListed.adopt(published.Departed, published.DepartedMore)
	if reply := next.node.setBan("never", true); reply.Status != 404 || !strings.Contains(string(reply.Body), "not remembered") {
		t.Errorf("with more than are handed over: %d %s", reply.Status, reply.Body)
	}
}
