package main

// Long values that break off or stop, with other requests behind them on their client's connection, through the built program.

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lapisshelf/lab/standin"
	"lapisshelf/lab/world"
)

const (
	followers     = 4                       // reads behind a long value
	valueDeadline = 2500 * time.Millisecond // of the long read and those behind it
	lateness      = 550 * time.Millisecond  // by which a final answer may be late
)

// valueScript is how servers answer reads of "long"; attempt counts these from 1, over all servers.
type valueScript func(attempt int, head, body string) []standin.Piece

// thenReset breaks each value off in its middle, after a rest.
func thenReset(rest time.Duration) valueScript {
	return func(_ int, head, body string) []standin.Piece {
		return []standin.Piece{{Data: head + body[:len(body)/2]}, {Rest: rest, Reset: true}}
	}
}

// thenSilent stops each value in its middle.
func thenSilent(_ int, head, body string) []standin.Piece {
	return []standin.Piece{{Data: head + body[:len(body)/2]}, {Rest: time.Minute}}
}

// firstOnly has only the first attempt follow a script; all others give the whole value.
func firstOnly(script valueScript) valueScript {
	return func(attempt int, head, body string) []standin.Piece {
		if attempt == 1 {
			return script(attempt, head, body)
		}
		return []standin.Piece{{Data: head + body}}
	}
}

// longValueRig is a node with servers whose long values follow a script; they answer all else at once.
type longValueRig struct {
	t       *testing.T
	node    *process
	value   string
	servers []*standin.PacedServer
}

// startLongValueRig starts a node of 32 MB, three cache servers and an origin; atOrigin has the caches lack the long value.
func startLongValueRig(t *testing.T, size int, atOrigin bool, script valueScript) *longValueRig {
	r := &longValueRig{t: t, value: longValue("long", size)}
	var attempts atomic.Int64
	answerLong := func(head, body string) []standin.Piece { return script(int(attempts.Add(1)), head, body) }
	cache := standin.PacedOptions{Answer: func(request standin.PacedRequest) []standin.Piece {
		switch {
		case request.Key != "long":
			head, body := cacheAnswer(request.ID, "v-"+request.ID)
			return []standin.Piece{{Data: head + body}}
		case atOrigin:
			return missing(request)
		}
		return answerLong(cacheAnswer(request.ID, r.value))
	}}
	origin := standin.PacedOptions{HTTP: true, Answer: func(request standin.PacedRequest) []standin.Piece {
		if request.Method == "PUT" {
			head, body := originAnswer("R"+request.ID, false)
			return []standin.Piece{{Data: head + body}}
		}
		return answerLong(originAnswer(r.value, false))
	}}
	var list []world.Member
	for i, opt := range []standin.PacedOptions{origin, cache, cache, cache} {
		s := startPaced(t, opt)
		kind := "m2"
		if opt.HTTP {
			kind = "origin"
		}
		r.servers = append(r.servers, s)
		list = append(list, servingEntry(fmt.Sprintf("s-%d", i), s.Addr(), kind))
	}
	r.node = startNode(t, startDiscovery(t, list...), func(config map[string]any) {
		nearServers(config)
		config["limits"] = map[string]any{"memory_mb": 32, "sockets": 256}
	})
	return r
}

// runs returns how often a request has arrived at servers.
func (r *longValueRig) runs(id string) (runs int) {
	for _, s := range r.servers {
		runs += s.Runs(id)
	}
	return runs
}

// longRead is a read of the long value.
func longRead() string {
	return fmt.Sprintf("mg long v Ofirst Pc=read,d=%d\r\n", valueDeadline.Milliseconds())
}

// behind is what is sent behind the long read: reads of other keys, and a write that must not run twice.
func behind() (text string) {
	for i := range followers {
		text += fmt.Sprintf("mg k%d v Or%d Pc=read,d=%d\r\n", i, i, valueDeadline.Milliseconds())
	}
	return text + fmt.Sprintf("ms w 5 Ow Pc=put,d=%d\r\nhello\r\n", valueDeadline.Milliseconds())
}

// expectBehind checks that what was sent behind the long read is answered in order, from one attempt each.
func (r *longValueRig) expectBehind(c *client) {
	r.t.Helper()
	for i := range followers {
		id := fmt.Sprintf("r%d", i)
		c.expect(fmt.Sprintf("VA %d O%s", len("v-"+id), id), "v-"+id)
		if runs := r.runs(id); runs != 1 {
			r.t.Errorf("%s was sent to servers %d times", id, runs)
		}
	}
	c.expect("HD Ow cRw", "")
	if runs := r.runs("w"); runs != 1 {
		r.t.Errorf("the write was sent to servers %d times", runs)
	}
}

// Requests behind a long value that broke off, or stopped, were lost with it: their connection was closed, though all of them had run.
func TestRequestsBehindAValueThatBreaksOffAreAnswered(t *testing.T) {
	for _, c := range []struct {
		name     string
		size     int
		atOrigin bool
		script   valueScript
	}{
		{"reset", 1 << 20, false, thenReset(300 * time.Millisecond)},
		{"reset, a tenth of the memory", 3 << 20, false, thenReset(300 * time.Millisecond)},
		{"silent", 1 << 20, false, thenSilent},
		{"the origin's, reset", 1 << 20, true, thenReset(300 * time.Millisecond)},
		{"the origin's, silent", 1 << 20, true, thenSilent},
		{"longer than it says", 1 << 20, false, func(_ int, head, body string) []standin.Piece {
			return []standin.Piece{{Data: head + body[:len(body)/2]}, {Rest: 100 * time.Millisecond, Data: strings.TrimSuffix(body[len(body)/2:], "\r\n") + "surplus\r\n"}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := startLongValueRig(t, c.size, c.atOrigin, c.script)
			client := r.node.dial()
			sentAt := time.Now()
			client.send(longRead() + behind())
			if line, value := client.readAnswer(); !strings.HasPrefix(line, "SERVER_ERROR ") && value != r.value {
				t.Errorf("the long read is answered %q", line)
			}
			r.expectBehind(client)
			if took := time.Since(sentAt); took > valueDeadline+lateness {
				t.Errorf("answered within %v", took)
			}
		})
	}
}

// Requests that came while a long value was passed on were lost when it broke off, though another server had all of it.
func TestRequestsThatComeDuringAValueThatBreaksOffAreAnswered(t *testing.T) {
	for _, c := range []struct {
		name     string
		atOrigin bool
		script   valueScript
	}{
		{"reset", false, thenReset(500 * time.Millisecond)},
		{"silent", false, thenSilent},
		{"the origin's, reset", true, thenReset(500 * time.Millisecond)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := startLongValueRig(t, 1<<20, c.atOrigin, firstOnly(c.script))
			client := r.node.dial()
			client.send(longRead())
			if line, err := client.in.Peek(3); err != nil || string(line) != "VA " {
				t.Fatalf("%q, %v", line, err)
			}
			time.Sleep(150 * time.Millisecond)
			client.send(behind())
			client.expect(fmt.Sprintf("VA %d Ofirst", len(r.value)), r.value)
			r.expectBehind(client)
		})
	}
}

// A long value that broke off failed its request, though another server had all of it and there was time to ask.
func TestAValueThatBreaksOffIsFetchedFromTheNextServer(t *testing.T) {
	for _, c := range []struct {
		name     string
		commands string
	}{
		{"nothing had been passed on", longRead() + behind()},
		{"a part had been passed on", longRead()},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := startLongValueRig(t, 3<<20, false, firstOnly(thenReset(300*time.Millisecond)))
			client := r.node.dial()
			client.send(c.commands)
			client.expect(fmt.Sprintf("VA %d Ofirst", len(r.value)), r.value)
			if runs := r.runs("first"); runs != 2 {
				t.Errorf("%d attempts", runs)
			}
		})
	}
}

// A sound value whose second half takes 4 s is begun in time although other requests stand behind it, and is whole.
func TestASlowValueBeforeOtherRequestsBeginsInTime(t *testing.T) {
	t.Parallel()
	const parts, slowHalf = 20, 4 * time.Second
	r := startLongValueRig(t, 1<<20, false, func(_ int, head, body string) []standin.Piece {
		half := len(body) / 2
		pieces := []standin.Piece{{Data: head + body[:half]}}
		for i := range parts {
			rest := body[half:]
			pieces = append(pieces, standin.Piece{Rest: slowHalf / parts, Data: rest[i*len(rest)/parts : (i+1)*len(rest)/parts]})
		}
		return pieces
	})
	client := r.node.dial()
	sentAt := time.Now()
	client.send(longRead() + behind())
	client.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	if line, err := client.in.Peek(3); err != nil || string(line) != "VA " {
		t.Fatalf("%q, %v", line, err)
	}
	if took := time.Since(sentAt); took > 2*time.Second {
		t.Errorf("its beginning was held back for %v", took)
	}
	client.expect(fmt.Sprintf("VA %d Ofirst", len(r.value)), r.value)
	r.expectBehind(client)
	if runs := r.runs("first"); runs != 1 {
		t.Errorf("%d attempts", runs)
	}
}

// An answer never has bytes of two values: where another server has another value, the first one breaks off, or the other one is whole.
func TestAnAnswerHasBytesOfOneValueOnly(t *testing.T) {
	const size = 1 << 20
	const breakAt = (size + len("\r\n")) / 2
	for _, c := range []struct {
		name   string
		change func(value string) string // gives the value of all servers but the first that is asked
		whole  bool                      // the client gets that value
	}{
		{"another length", func(value string) string { return value + "x" }, false},
		{"another first byte", func(value string) string { return "#" + value[1:] }, false},
		{"another byte before the break", func(value string) string { return value[:breakAt-1] + "#" + value[breakAt:] }, false},
		{"another byte at the break", func(value string) string { return value[:breakAt] + "#" + value[breakAt+1:] }, true},
		{"a short value", func(string) string { return "short" }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var other string
			r := startLongValueRig(t, size, false, func(attempt int, head, body string) []standin.Piece {
				if attempt == 1 {
					return thenReset(300*time.Millisecond)(attempt, head, body)
				}
				return []standin.Piece{{Data: fmt.Sprintf("VA %d Ofirst h1\r\n%s\r\n", len(other), other)}}
			})
			other = c.change(r.value)
			client := r.node.dial()
			client.send(longRead())
			client.conn.SetReadDeadline(time.Now().Add(waitTimeout))
			line, _ := client.in.ReadString('\n')
			if line != fmt.Sprintf("VA %d Ofirst\r\n", size) {
				t.Fatalf("%q", line)
			}
			if c.whole {
				got := make([]byte, size+2)
				if _, err := io.ReadFull(client.in, got); err != nil || string(got) != other+"\r\n" {
					t.Errorf("the value is not that of the second server: %v", err)
				}
				return
			}
			got, err := io.ReadAll(client.in)
			if netErr, timeout := err.(net.Error); timeout && netErr.Timeout() {
				t.Fatalf("the answer neither ends nor breaks off: %v", err)
			}
			if len(got) >= size || !strings.HasPrefix(r.value, string(got)) {
				t.Errorf("%d bytes that are not the beginning of the first server's value", len(got))
			}
		})
	}
}
