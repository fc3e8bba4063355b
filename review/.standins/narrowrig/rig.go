// Command narrowrig plays the stand-ins of the cases in review/6 to review/10: cache servers, an origin, discovery and clients on
// loopback addresses. It starts the node with the command of the deploy file and judges what clients and servers have seen.
//
//	narrowrig CASE RECORD TROUBLE
//
// It is run from the repository's root. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(*rig) bool{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: narrowrig CASE RECORD TROUBLE")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "narrowrig")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &rig{out: bufio.NewWriter(out), start: time.Now(), dir: dir, trouble: os.Args[3] != "0",
		host: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))}
	code := 2
	func() {
		defer func() {
			if p := recover(); p != nil {
				r.note("cannot run: %v", p)
			}
		}()
		if broken := cases[os.Args[1]](r); broken {
			code = 1
		} else {
			code = 0
		}
	}()
	r.end()
	r.note("exit %d", code)
	r.out.Flush()
	out.Close()
	os.RemoveAll(dir)
	os.Exit(code)
}

// rig holds the record and what has been started.
type rig struct {
	mu      sync.Mutex
	out     *bufio.Writer
	start   time.Time
	dir     string
	host    string // the first three numbers of the addresses of this run
	trouble bool
	nodes   []*node
}

func (r *rig) at() float64 { return time.Since(r.start).Seconds() }

// note writes a line to the record, and to standard error.
func (r *rig) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", r.at()) + fmt.Sprintf(format, args...)
	r.log(line)
	fmt.Fprintln(os.Stderr, line)
}

// record writes a line to the record alone.
func (r *rig) record(format string, args ...any) {
	r.log(fmt.Sprintf("%8.3f ", r.at()) + fmt.Sprintf(format, args...))
}

func (r *rig) log(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.out, line)
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// freeAddr returns a loopback address with a free port.
func (r *rig) freeAddr() string {
	ln, err := net.Listen("tcp", r.host+".1:0")
	check(err)
	defer ln.Close()
	return ln.Addr().String()
}

// end ends all processes that were started.
func (r *rig) end() {
	for _, n := range r.nodes {
		if !n.exited() {
			n.cmd.Process.Kill()
			<-n.done
		}
		r.record("--- log of %s", n.name)
		if text, err := os.ReadFile(n.logFile); err == nil {
			r.log(string(text))
		}
	}
}

// Settings.

func ms(n int) int64 { return int64(n) * int64(time.Millisecond) }

// settings are those of a small deployment of the kind of launceston-platform, with caches that get values from the origin
// themselves.
func settings() map[string]any {
	return map[string]any{
		"Balancers": 2, "Position": 0, "Tick": ms(5), "Weights": "nominal", "MembershipMode": "subscribe",
		"Models": []string{"std-2", "origin"}, "Family": "cache",
		"Classes": []any{
			map[string]any{"Name": "price-read", "Effect": "retryable", "Aim": ms(600), "Deadline": ms(2500), "Worth": 3.0, "LateShare": 0.2},
			map[string]any{"Name": "price-pin", "Effect": "dedup", "DedupScope": "all", "KeyTtl": ms(1200), "Aim": ms(300), "Deadline": ms(600), "Worth": 2.0, "LateShare": 0.2},
		},
		"FamilyInfo": map[string]any{"Mode": "through", "OriginKind": -1},
		"Feedback":   map[string]any{"How": "off"},
		"Guarantees": map[string]any{"AnswerSlack": ms(20), "AskWithin": ms(4000), "WarmUp": ms(24000), "OverloadFor": ms(1500), "DrainGrace": ms(400),
			"ColdFrom": 0.13, "FallMultiple": 3.0},
		"Limits": map[string]any{"Cancel": true, "ParallelTries": false, "SendCap": 6, "StreamsPerConn": 8, "MostHeld": 1000, "RetryAfter": true,
			"MaxRetryAfter": ms(1200), "ConnIdle": ms(30000), "ConnectTimeout": ms(300)},
	}
}

// Nodes.

type node struct {
	r       *rig
	name    string
	addr    string
	control string
	cmd     *exec.Cmd
	done    chan struct{}
	status  string
	logFile string
	config  map[string]any
	tmp     string
}

// startNode starts a node as the deploy file does and waits until it is ready.
func (r *rig) startNode(d *discovery, change func(config map[string]any)) *node {
	addr, control := r.freeAddr(), r.freeAddr()
	config := map[string]any{"name": fmt.Sprintf("n%d", len(r.nodes)+1), "listen": addr, "control": control, "discovery": d.addr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"revision": 0, "complete": true, "members": []any{}},
		"settings": settings()}
	if change != nil {
		change(config)
	}
	tmp, err := os.MkdirTemp(r.dir, "tmp")
	check(err)
	return r.launch(config, tmp)
}

// launch starts a process with a configuration and a folder for temporary files.
func (r *rig) launch(config map[string]any, tmp string) *node {
	n := &node{r: r, name: config["name"].(string), addr: config["listen"].(string), control: config["control"].(string), config: config, tmp: tmp, done: make(chan struct{})}
	text, err := json.Marshal(config)
	check(err)
	file := filepath.Join(r.dir, fmt.Sprintf("config%d.json", len(r.nodes)))
	check(os.WriteFile(file, text, 0o600))
	n.logFile = filepath.Join(r.dir, fmt.Sprintf("log%d", len(r.nodes)))
	log, err := os.Create(n.logFile)
	check(err)
	n.cmd = exec.Command("/bin/sh", "-c", "exec bin/lapisshelf")
	n.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+file, "EDGE_NAME="+n.name, "EDGE_LISTEN="+n.addr, "EDGE_CONTROL="+n.control, "TMPDIR="+tmp)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	check(n.cmd.Start())
	log.Close()
	r.nodes = append(r.nodes, n)
	r.note("started %s as process %d on %s", n.name, n.cmd.Process.Pid, n.addr)
	go func() {
		n.cmd.Wait()
		n.status = n.cmd.ProcessState.String()
		close(n.done)
	}()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if status, _ := n.call("GET", "/_ready"); status == 200 {
			break
		}
		if time.Now().After(end) {
			panic(n.name + " is not ready")
		}
	}
	r.note("%s is ready", n.name)
	return n
}

func (n *node) exited() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

func (n *node) signal(s syscall.Signal) {
	n.r.note("%v to %s", s, n.name)
	n.cmd.Process.Signal(s)
}

// call makes an operator's call.
func (n *node) call(method, path string) (status int, text string) {
	req, err := http.NewRequest(method, "http://"+n.control+path, nil)
	check(err)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(body))
}

// Discovery.

type member struct {
	ID       string  `json:"id"`
	Addr     string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type discovery struct {
	r        *rig
	addr     string
	mu       sync.Mutex
	revision int64
	members  map[string]member
	changed  map[string]int64 // by id, the revision of the last change
	news     chan struct{}    // closed with the next change
}

func (r *rig) startDiscovery(members ...member) *discovery {
	d := &discovery{r: r, revision: 1, members: map[string]member{}, changed: map[string]int64{}, news: make(chan struct{})}
	for _, m := range members {
		d.members[m.ID], d.changed[m.ID] = m, 1
	}
	ln, err := net.Listen("tcp", r.host+".2:0")
	check(err)
	d.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", d.serve)
	go (&http.Server{Handler: mux}).Serve(ln)
	return d
}

// set changes entries; one with the phase DELETED leaves the list.
func (d *discovery) set(members ...member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, m := range members {
		d.members[m.ID], d.changed[m.ID] = m, d.revision
	}
	close(d.news)
	d.news = make(chan struct{})
}

func (d *discovery) serve(w http.ResponseWriter, req *http.Request) {
	since, watch := int64(0), req.URL.Query().Has("since")
	if watch {
		since, _ = strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
		wait, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
		d.mu.Lock()
		news, revision := d.news, d.revision
		d.mu.Unlock()
		if revision <= since {
			select {
			case <-news:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-req.Context().Done():
				return
			}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []member{}
	for id, m := range d.members {
		if d.changed[id] > since && (watch || m.Phase != "DELETED") {
			list = append(list, m)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"revision": d.revision, "complete": !watch, "members": list})
}

// Cache servers.

type cache struct {
	r     *rig
	id    string
	addr  string
	delay func() time.Duration // how long a command takes
	begun func(c *cache, line string)
}

// member returns the server's entry in the list.
func (c *cache) member(phase string) member {
	return member{ID: c.id, Addr: c.addr, Locality: "a", Flavor: "std-2", Cell: 1, Phase: phase, Size: 1}
}

func (c *cache) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go c.serve(conn)
	}
}

// serve answers commands in order, each one begun as it comes.
func (c *cache) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	answers := make(chan chan string, 64)
	defer close(answers)
	go func() {
		for a := range answers {
			io.WriteString(conn, <-a)
		}
	}()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		words := strings.Fields(line)
		if len(words) == 0 {
			return
		}
		if words[0] == "mn" {
			a := make(chan string, 1)
			a <- "MN\r\n"
			answers <- a
			continue
		}
		if words[0] == "ms" {
			size, err := strconv.Atoi(words[2])
			if err != nil {
				return
			}
			if _, err := io.CopyN(io.Discard, in, int64(size)+2); err != nil {
				return
			}
		}
		id := flag(line, 'O')
		if c.begun != nil {
			c.begun(c, line)
		}
		c.r.record("%s begins %s", c.id, line)
		a := make(chan string, 1)
		answers <- a
		go func() {
			time.Sleep(c.delay())
			if words[0] == "ms" {
				a <- "HD O" + id + " cR" + id + "\r\n"
			} else {
				a <- fmt.Sprintf("VA %d O%s h1\r\n%s\r\n", len(id)+2, id, "v-"+id)
			}
		}()
	}
}

// flag returns the value of a flag of a command's line.
func flag(line string, name byte) string {
	for i, w := range strings.Fields(line) {
		if i > 1 && w[0] == name {
			return w[1:]
		}
	}
	return ""
}

// Clients.

// request is a client's request and what became of it.
type request struct {
	id       string
	sent     time.Time
	answered time.Time
	answer   string
}

// client is a connection of a client, on which several commands may be out at once.
type client struct {
	r      *rig
	name   string
	conn   net.Conn
	mu     sync.Mutex
	out    []*request // sent and not answered, in order
	all    []*request
	closed time.Time // when the connection ended
	ended  chan struct{}
	number int
}

func (r *rig) dial(n *node, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{r: r, name: name, conn: conn, ended: make(chan struct{})}
	go c.read()
	return c, nil
}

// send sends reads of random keys in one write. It reports whether the connection took them.
func (c *client) send(count int, deadline time.Duration) bool {
	var text strings.Builder
	c.mu.Lock()
	if !c.closed.IsZero() {
		c.mu.Unlock()
		return false
	}
	now := time.Now()
	for range count {
		c.number++
		q := &request{id: fmt.Sprintf("%s.%d", c.name, c.number), sent: now}
		c.out, c.all = append(c.out, q), append(c.all, q)
		fmt.Fprintf(&text, "mg %016x v O%s Pc=price-read,t=acme,d=%d\r\n", rand.Uint64(), q.id, deadline.Milliseconds())
		c.r.record("%s sends %s", c.name, q.id)
	}
	c.mu.Unlock()
	_, err := io.WriteString(c.conn, text.String())
	return err == nil
}

// read reads answers until the connection ends.
func (c *client) read() {
	in := bufio.NewReader(c.conn)
	for {
		line, err := in.ReadString('\n')
		if err == nil && strings.HasPrefix(line, "VA ") {
			size, _ := strconv.Atoi(strings.Fields(line)[1])
			_, err = io.CopyN(io.Discard, in, int64(size)+2)
		}
		c.mu.Lock()
		if err != nil {
			c.closed = time.Now()
			c.r.record("%s: connection ended (%v) with %d commands out", c.name, err, len(c.out))
			c.mu.Unlock()
			c.conn.Close()
			close(c.ended)
			return
		}
		if len(c.out) > 0 {
			q := c.out[0]
			c.out = c.out[1:]
			q.answered, q.answer = time.Now(), strings.TrimRight(line, "\r\n")
			c.r.record("%s is answered %s after %d ms", q.id, q.answer, q.answered.Sub(q.sent).Milliseconds())
		}
		c.mu.Unlock()
	}
}
