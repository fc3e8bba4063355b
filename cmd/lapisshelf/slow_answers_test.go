package main

// Answers that servers begin at once and finish slowly, and answers that never end, through the built program.

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"lapisshelf/lab/standin"
)

// startPaced starts a cache server or an origin that reads or answers slowly.
func startPaced(t *testing.T, opt standin.PacedOptions) *standin.PacedServer {
	t.Helper()
	return startPacedAt(t, "127.0.0.1:0", opt)
}

// startPacedAt starts one at an address.
func startPacedAt(t *testing.T, addr string, opt standin.PacedOptions) *standin.PacedServer {
	t.Helper()
	s, err := standin.NewPacedServer(addr, opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// nearServers sets the limits and the connect timeout of a deployment whose servers are near.
func nearServers(config map[string]any) {
	config["limits"] = map[string]any{"memory_mb": 64, "sockets": 384}
	limits := config["settings"].(map[string]any)["Limits"].(map[string]any)
	limits["ConnectTimeout"] = int64(150 * time.Millisecond)
}

// cacheAnswer returns the parts of a cache's answer to a read.
func cacheAnswer(id, value string) (head, body string) {
	return fmt.Sprintf("VA %d O%s h1\r\n", len(value), id), value + "\r\n"
}

// originAnswer returns the parts of an origin's answer to a read.
func originAnswer(value string, chunked bool) (head, body string) {
	if chunked {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(value), value)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(value)), value
}

// missing is an answer of a cache that lacks the key.
func missing(request standin.PacedRequest) []standin.Piece {
	return []standin.Piece{{Data: "EN O" + request.ID + " h0\r\n"}}
}

// ask sends a read and returns its answer and how long that took.
func (n *process) ask(key, id string, deadline time.Duration) (line, value string, took time.Duration) {
	n.t.Helper()
	c := n.dial()
	sentAt := time.Now()
	c.send(fmt.Sprintf("mg %s v O%s Pc=read,d=%d\r\n", key, id, deadline.Milliseconds()))
	line, value = c.readAnswer()
	return line, value, time.Since(sentAt)
}

// A sound answer whose body comes 0.9 s after its head was cut off and asked for again, four or five times.
func TestASoundAnswerThatRestsIsNotCutOff(t *testing.T) {
	const rest, deadline = 900 * time.Millisecond, 2500 * time.Millisecond
	inOnePiece := func(head, body string) []standin.Piece {
		return []standin.Piece{{Data: head}, {Rest: rest, Data: body}}
	}
	inPieces := func(head, body string) []standin.Piece {
		return []standin.Piece{{Data: head + body[:100]}, {Rest: rest / 2, Data: body[100 : len(body)/2]}, {Rest: rest / 2, Data: body[len(body)/2:]}}
	}
	behindItsLine := func(head, body string) []standin.Piece {
		return []standin.Piece{{Data: head[:4]}, {Rest: rest, Data: head[4:] + body}}
	}
	for _, c := range []struct {
		name            string
		origin, chunked bool
		bytes           int
		pieces          func(head, body string) []standin.Piece
	}{
		{"a cache's, long", false, false, 180_000, inOnePiece},
		{"a cache's, long, in pieces", false, false, 180_000, inPieces},
		{"a cache's, short", false, false, 3_000, inOnePiece},
		{"a cache's, short, in pieces", false, false, 3_000, inPieces},
		{"a cache's, within its line", false, false, 3_000, behindItsLine},
		{"the origin's, long", true, false, 180_000, inOnePiece},
		{"the origin's, long, in pieces", true, false, 180_000, inPieces},
		{"the origin's, long, chunked", true, true, 180_000, inOnePiece},
		{"the origin's, short", true, false, 3_000, inOnePiece},
		{"the origin's, short, chunked, in pieces", true, true, 3_000, inPieces},
		{"the origin's, within its head", true, false, 3_000, behindItsLine},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			value := longValue("k", c.bytes)
			cache := standin.PacedOptions{Answer: func(r standin.PacedRequest) []standin.Piece { return c.pieces(cacheAnswer(r.ID, value)) }}
			if c.origin {
				cache.Answer = missing
			}
			first, second := startPaced(t, cache), startPaced(t, cache)
			origin := startPaced(t, standin.PacedOptions{HTTP: true, Answer: func(standin.PacedRequest) []standin.Piece {
				return c.pieces(originAnswer(value, c.chunked))
			}})
			n := startNode(t, startDiscovery(t, servingEntry("s-1", first.Addr(), "m2"), servingEntry("s-2", second.Addr(), "m2"),
				servingEntry("s-0", origin.Addr(), "origin")), nearServers)
			line, got, took := n.ask("k", "slow", deadline)
			if got != value || took > deadline {
				t.Errorf("answered %q with %d bytes after %v, want all %d bytes within %v", line, len(got), took, len(value), deadline)
			}
			inCaches := first.Runs("slow") + second.Runs("slow")
			if inOrigin := origin.Runs("slow"); inCaches != 1 || c.origin != (inOrigin == 1) {
				t.Errorf("%d attempts at caches, %d at the origin", inCaches, inOrigin)
			}
		})
	}
}

// A long value that had begun was cut off after a rest of 3 s, though its client waited for longer.
func TestALongValueThatRestsIsNotCutOffWhileItsClientWaits(t *testing.T) {
	t.Parallel()
	const rest, deadline = 3300 * time.Millisecond, 4500 * time.Millisecond
	value := longValue("k", 180_000)
	cache := startPaced(t, standin.PacedOptions{Answer: func(r standin.PacedRequest) []standin.Piece {
		head, body := cacheAnswer(r.ID, value)
		return []standin.Piece{{Data: head + body[:20_000]}, {Rest: rest, Data: body[20_000:]}}
	}})
	n := startNode(t, startDiscovery(t, servingEntry("s-1", cache.Addr(), "m2")), func(config map[string]any) {
		nearServers(config)
		config["settings"].(map[string]any)["Classes"].([]any)[0].(map[string]any)["Deadline"] = int64(5 * time.Second)
	})
	if line, got, took := n.ask("k", "slow", deadline); got != value || took > deadline {
		t.Errorf("answered %q with %d bytes after %v", line, len(got), took)
	}
}

// An answer that stops for good still leaves a safe or keyed request time for another server or attempt, and none for an unsafe one.
func TestAnAnswerThatNeverEndsLeavesTimeForAnother(t *testing.T) {
	const deadline = 1200 * time.Millisecond
	for _, c := range []struct {
		name, class string
		origin      bool
		stops       func(id string) string
		attempts    int
		answer      string
	}{
		{"safe, a value of a wrong length", "read", false, func(id string) string { return "VA 95 O" + id + " h1\r\nvalue\r\n" }, 2, "VA 5 Ospoilt"},
		{"safe, half a line", "read", false, func(string) string { return "VA 5 O" }, 2, "VA 5 Ospoilt"},
		{"safe, a long value that has hardly begun", "read", false, func(id string) string { return "VA 195000 O" + id + " h1\r\nvalue" }, 2, "VA 5 Ospoilt"},
		{"keyed, half a head", "put", true, func(string) string { return "HTTP/1.1 200 OK\r\nContent-Le" }, 2, "HD Ospoilt cR1"},
		{"keyed, half a receipt", "put", true, func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nR1" }, 2, "HD Ospoilt cR1"},
		{"unsafe, half a receipt", "pay", true, func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nR1" }, 1, "SERVER_ERROR failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			spoilt := make(chan bool, 1)
			spoilt <- true
			answer := func(sound func(standin.PacedRequest) string) func(standin.PacedRequest) []standin.Piece {
				return func(r standin.PacedRequest) []standin.Piece {
					select {
					case <-spoilt:
						return []standin.Piece{{Data: c.stops(r.ID)}}
					default:
						return []standin.Piece{{Data: sound(r)}}
					}
				}
			}
			inCache := answer(func(r standin.PacedRequest) string { return "VA 5 O" + r.ID + " h1\r\nvalue\r\n" })
			first, second := startPaced(t, standin.PacedOptions{Answer: inCache}), startPaced(t, standin.PacedOptions{Answer: inCache})
			origin := startPaced(t, standin.PacedOptions{HTTP: true, Answer: answer(func(standin.PacedRequest) string {
				return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nR1"
			})})
			n := startNode(t, startDiscovery(t, servingEntry("s-1", first.Addr(), "m2"), servingEntry("s-2", second.Addr(), "m2"),
				servingEntry("s-0", origin.Addr(), "origin")), nearServers)
			cl := n.dial()
			sentAt := time.Now()
			if c.origin {
				cl.send(fmt.Sprintf("ms k 5 Ospoilt Pc=%s,d=%d,k=1\r\nvalue\r\n", c.class, deadline.Milliseconds()))
			} else {
				cl.send(fmt.Sprintf("mg k v Ospoilt Pc=%s,d=%d\r\n", c.class, deadline.Milliseconds()))
			}
			line, _ := cl.readAnswer()
			if took := time.Since(sentAt); line != c.answer || took > deadline {
				t.Errorf("answered %q after %v, want %q within %v", line, took, c.answer, deadline)
			}
			if got := first.Runs("spoilt") + second.Runs("spoilt") + origin.Runs("spoilt"); got != c.attempts {
				t.Errorf("%d attempts, want %d", got, c.attempts)
			}
			eventually(t, "the log tells why the answer was given up", func() bool { return strings.Contains(n.log(), "event=answer_given_up id=spoilt ") })
		})
	}
}

// An incomplete answer whose line names another request, and that never ends, is unsound at once: it is not waited for.
func TestAnIncompleteAnswerToAnotherRequestIsNotWaitedFor(t *testing.T) {
	t.Parallel()
	spoilt := make(chan bool, 1)
	spoilt <- true
	answer := func(r standin.PacedRequest) []standin.Piece {
		select {
		case <-spoilt:
			return []standin.Piece{{Data: "VA 500 Oother h1\r\nvalue"}}
		default:
			return valueOf("value")(r)
		}
	}
	first, second := startPaced(t, standin.PacedOptions{Answer: answer}), startPaced(t, standin.PacedOptions{Answer: answer})
	n := startNode(t, startDiscovery(t, servingEntry("s-1", first.Addr(), "m2"), servingEntry("s-2", second.Addr(), "m2")), func(c map[string]any) {
		nearServers(c)
		inThroughMode(c)
	})
	if line, value, _ := n.ask("k", "mine", 2500*time.Millisecond); value != "value" {
		t.Errorf("answered %q", line)
	}
	eventually(t, "the log tells that the answer was unsound", func() bool { return strings.Contains(n.log(), `why="malformed answer"`) })
	if strings.Contains(n.log(), "event=answer_given_up") {
		t.Error("the answer was waited for")
	}
}

// A sound answer that rests is served by a process that is told to end meanwhile, alone or beside its successor.
func TestAnAnswerThatRestsOutlivesTheOrderToEnd(t *testing.T) {
	const rest = 900 * time.Millisecond
	for _, upgraded := range []bool{false, true} {
		for _, size := range []int{3_000, 180_000} {
			t.Run(fmt.Sprintf("%d bytes, upgraded %t", size, upgraded), func(t *testing.T) {
				t.Parallel()
				value := longValue("k", size)
				cache := startPaced(t, standin.PacedOptions{Answer: func(r standin.PacedRequest) []standin.Piece {
					head, body := cacheAnswer(r.ID, value)
					return []standin.Piece{{Data: head}, {Rest: rest, Data: body}}
				}})
				n, _ := startNodeWithControl(t, startDiscovery(t, servingEntry("s-1", cache.Addr(), "m2")), nearServers)
				c := n.dial()
				c.send("mg k v Oslow Pc=read,d=2500\r\n")
				ran(t, cache, "slow")
				if upgraded {
					_, control := n.startSuccessor(nil)
					eventually(t, "the new process takes clients", isReady(t, control))
				}
				n.signal(syscall.SIGTERM)
				if line, got := c.readAnswer(); got != value {
					t.Errorf("answered %q with %d bytes", line, len(got))
				}
				if code := n.waitExit(); code != 0 || cache.Runs("slow") != 1 {
					t.Errorf("it ended with status %d, after %d attempts", code, cache.Runs("slow"))
				}
			})
		}
	}
}
