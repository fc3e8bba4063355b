package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"lapisshelf/lab/load"
	"lapisshelf/lab/standin"
	"lapisshelf/lab/world"
)

// slowDiscovery is a discovery service, with an address for each node, that answers one read at a time and rejects others meanwhile.
// Watches time out without a change.
type slowDiscovery struct {
	answer   []byte
	readTime time.Duration // duration of a read
	addrs    []string

	mu            sync.Mutex
	down          bool
	busy          bool
	calls         []int // by node, since the start or restore
	callsToAnswer []int // for each answered read, the number of calls its node had made, in order of the answers
}

func startSlowDiscovery(t *testing.T, nodes int, down bool, each time.Duration, members ...world.Member) *slowDiscovery {
	t.Helper()
	answer, err := json.Marshal(standin.EncodeList(time.Now(), 1, true, members))
	if err != nil {
		t.Fatal(err)
	}
	s := &slowDiscovery{answer: answer, readTime: each, down: down, calls: make([]int, nodes)}
	for node := range nodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(node, w, r) })}
		go server.Serve(ln)
		t.Cleanup(func() { server.Close() })
		s.addrs = append(s.addrs, ln.Addr().String())
	}
	return s
}

func (s *slowDiscovery) handle(node int, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[node]++
	calls := s.calls[node]
	watch := r.URL.Query().Has("since")
	if s.down || s.busy && !watch {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.busy = s.busy || !watch
	s.mu.Unlock()
	if watch {
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
		}
		fmt.Fprint(w, `{"revision":1,"complete":false,"members":[]}`)
		return
	}
	time.Sleep(s.readTime)
	s.mu.Lock()
	s.busy = false
	s.callsToAnswer = append(s.callsToAnswer, calls)
	s.mu.Unlock()
	w.Write(s.answer)
}

// restore ends the outage and resets the number of calls.
func (s *slowDiscovery) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	clear(s.calls)
}

// minCalls returns the smallest number of calls that any node has made.
func (s *slowDiscovery) minCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Min(s.calls)
}

// startAll starts a process for each address of the service, without waiting until they are ready.
func startAll(t *testing.T, s *slowDiscovery, change func(config map[string]any)) (all []*process) {
	t.Helper()
	for i, addr := range s.addrs {
		config := map[string]any{"name": fmt.Sprintf("n%d", i+1), "listen": unusedAddr(t), "discovery": addr, "seed": fmt.Sprintf("%016x", i+1),
			"limits": map[string]any{"memory_mb": 64, "sockets": 64}, "settings": testSettings()}
		config["settings"].(map[string]any)["Balancers"] = len(s.addrs)
		if change != nil {
			change(config)
		}
		text, err := json.Marshal(config)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, startProcess(t, string(text), config["listen"].(string), nil))
	}
	return all
}

// waitAllReady waits until each process accepts clients.
func waitAllReady(t *testing.T, all []*process) {
	t.Helper()
	for i, n := range all {
		eventually(t, fmt.Sprintf("process %d is ready", i), func() bool { return load.Ready(n.addr) })
	}
}

// 90% of the processes that start together are ready within 10 s, without a known list and with a discovery service that answers one
// read at a time, either from the start or after an outage. The test counts calls instead of measuring time: a process whose Kth
// call is answered has paused K - 1 times, with these settings for at most 1 s if it polls for the list (a quarter of AskWithin),
// and for 0.1 s if the list is pushed to it.
func TestProcessesThatStartTogether(t *testing.T) {
	const nodes, maxCalls = 30, 9
	for _, mode := range []string{"subscribe", "automatic"} {
		for _, back := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, just back %t", mode, back), func(t *testing.T) {
				c := startCache(t, answerValue("v"))
				s := startSlowDiscovery(t, nodes, back, 20*time.Millisecond, servingEntry("s-1", c.Addr(), "m2"))
				all := startAll(t, s, func(config map[string]any) { config["settings"].(map[string]any)["MembershipMode"] = mode })
				if back {
					eventually(t, "each node has been rejected several times", func() bool { return s.minCalls() >= 3 })
					s.restore()
				}
				waitAllReady(t, all)
				s.mu.Lock()
				defer s.mu.Unlock()
				slices.Sort(s.callsToAnswer)
				limit := maxCalls
				if mode == "automatic" {
					limit = 10 * maxCalls
				}
				if got := s.callsToAnswer[len(s.callsToAnswer)*9/10-1]; len(s.callsToAnswer) < nodes || got > limit {
					t.Errorf("90%% of %d were answered within %d calls, more than %d: %v", len(s.callsToAnswer), got, limit, s.callsToAnswer)
				}
				t.Logf("calls until an answer: %v", s.callsToAnswer)
			})
		}
	}
}

// Processes that start together with a known list, while discovery rejects calls or hangs, become ready two seconds after their
// start with the known list, before discovery has answered.
func TestProcessesThatStartTogetherByAKnownList(t *testing.T) {
	const nodes = 30
	c := startCache(t, answerValue("v"))
	entry := servingEntry("s-1", c.Addr(), "m2")
	for _, outage := range []string{"turned away", "hanging"} {
		t.Run(outage, func(t *testing.T) {
			s := startSlowDiscovery(t, nodes, true, 0, entry)
			if outage == "hanging" {
				s.addrs = slices.Repeat([]string{blackholeAddr(t)}, nodes)
			}
			all := startAll(t, s, func(config map[string]any) {
				config["known"] = standin.EncodeList(time.Now(), 3, true, []world.Member{entry})
			})
			waitAllReady(t, all)
			s.mu.Lock()
			if len(s.callsToAnswer) > 0 {
				t.Error("discovery has answered")
			}
			s.mu.Unlock()
			for i, n := range all {
				cl := n.dial()
				cl.send(fmt.Sprintf("mg k v O%d Pc=read,d=2500\r\n", i))
				cl.expect(fmt.Sprintf("VA 1 O%d", i), "v")
			}
		})
	}
}
