package main

// New processes at the addresses of ones that have gone, through the built program.

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lapisshelf/lab/standin"
)

// valueOf is the answer of a cache that names itself in its values.
func valueOf(name string) func(standin.PacedRequest) []standin.Piece {
	return func(r standin.PacedRequest) []standin.Piece {
		return []standin.Piece{{Data: fmt.Sprintf("VA %d O%s h1\r\n%s\r\n", len(name), r.ID, name)}}
	}
}

// A new process of the origin, under the same id and address, takes the place of one that has a write and answers nothing: what may have
// run there is not sent to it, unless servers drop repeats; its own requests are.
func TestAWriteIsNotRepeatedAtANewProcessOfItsServer(t *testing.T) {
	for _, c := range []struct {
		class, answer string
		again         int
	}{
		{"pay", "SERVER_ERROR failed", 0},
		{"put", "HD Owrite cR1", 1},
	} {
		t.Run(c.class, func(t *testing.T) {
			t.Parallel()
			hang := func(standin.PacedRequest) []standin.Piece { return []standin.Piece{{Rest: time.Hour}} }
			cache := startPaced(t, standin.PacedOptions{Answer: valueOf("cache")})
			first := startPaced(t, standin.PacedOptions{HTTP: true, Answer: hang})
			n := startNode(t, startDiscovery(t, servingEntry("s-1", cache.Addr(), "m2"), servingEntry("s-0", first.Addr(), "origin")), nearServers)
			client := n.dial()
			client.send(fmt.Sprintf("ms k 5 Owrite Pc=%s,d=2500,k=1\r\nhello\r\n", c.class))
			ran(t, first, "write")
			first.StopListening() // the other one listens before the node hears of the end
			second := startPacedAt(t, first.Addr(), standin.PacedOptions{HTTP: true, Answer: receipt})
			first.Close()
			client.expect(c.answer, "")
			if got := second.Runs("write"); got != c.again {
				t.Errorf("the new process was sent it %d times, want %d", got, c.again)
			}
			client.send("ms k 5 Onext Pc=pay,d=2500\r\nhello\r\n")
			client.expect("HD Onext cR1", "")
		})
	}
}

// A server with a new id takes the address of one that is still listed. What is sent there counts for the new one: a ban of the old id does
// not keep it from the new one, and one of the new id keeps all from the address.
func TestANewServerAtTheAddressOfAListedOneIsNotTakenForIt(t *testing.T) {
	first, other := startPaced(t, standin.PacedOptions{Answer: valueOf("first")}), startPaced(t, standin.PacedOptions{Answer: valueOf("other")})
	d := startDiscovery(t, servingEntry("s-old", first.Addr(), "m2"), servingEntry("s-other", other.Addr(), "m2"))
	n, control := startNodeWithControl(t, d, func(c map[string]any) {
		nearServers(c)
		inThroughMode(c)
	})
	served := map[string]int{}
	ask := func(reads int) {
		for range reads {
			number := served["all"]
			served["all"]++
			_, value, _ := n.ask(fmt.Sprint("key", number), fmt.Sprint("read", number), 2500*time.Millisecond)
			served[value]++
		}
	}
	call := func(path string) {
		t.Helper()
		if status, text := callControl(t, control, "POST", path); status != 200 {
			t.Errorf("%s: %d %s", path, status, text)
		}
	}
	ask(20)
	first.Close()
	second := startPacedAt(t, first.Addr(), standin.PacedOptions{Answer: valueOf("second")})
	fresh := servingEntry("s-new", second.Addr(), "m2")
	fresh.Started = time.Duration(time.Now().Add(-time.Hour).UnixNano())
	d.Replace(servingEntry("s-old", first.Addr(), "m2"), fresh, servingEntry("s-other", other.Addr(), "m2"))
	revision, _ := d.Members()
	eventually(t, "the new list is applied", func() bool { return slices.Contains(d.polledRevisions(), fmt.Sprint(revision)) })
	if got := readMetrics(t, control)["app_cache_servers_known"]; got != 2 {
		t.Errorf("%v servers are known, want the new one and the other", got)
	}
	call("/_cache-servers/detach/s-old")
	ask(40)
	if served["first"] == 0 || served["second"] == 0 || served["other"] == 0 {
		t.Errorf("%v", served)
	}
	call("/_cache-servers/detach/s-new")
	before, _ := second.Counts()
	ask(40)
	if now, _ := second.Counts(); now != before {
		t.Errorf("%d reads went to the address of a banned server", now-before)
	}
}
