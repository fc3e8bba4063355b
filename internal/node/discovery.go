package node

import (
	"errors"
	"log"
	"strconv"
	"time"

	"lapisshelf/internal/httpc"
	"lapisshelf/internal/loop"
	"lapisshelf/policy"
)

const (
	watchFor    = 5 * time.Second         // how long a watch may wait for news; with it, how long a cut stays unseen
	callGap     = time.Second             // all nodes together begin no more than a watch in so long
	mostWatch   = 60 * time.Second        // the longest that discovery allows
	callFor     = 1500 * time.Millisecond // how long a call may take besides
	upFor       = time.Second             // how long its connection may take to stand
	restartGap  = 100 * time.Millisecond  // at least so long between a failed call and the next
	readyWithin = 2 * time.Second         // a node that knows a list serves by then, heard or not
	mostList    = 8 << 20                 // bytes of a list
	failLogGap  = time.Minute             // at most so long between log lines of calls that go on failing
)

// discovery follows the server list by a watch: each answer is at once followed by the next call. A call that fails
// is told to the module, which says when to ask again.
type discovery struct {
	node     *Node
	revision int64
	conn     *loop.Conn // nil between calls that failed
	input    []byte
	timer    *loop.Timer   // while a call is out: its time-out
	rise     *loop.Timer   // while its connection does not stand yet: the time-out for that
	out      bool          // a call is out
	due      *loop.Timer   // when the next call begins, where it has to wait
	last     time.Duration // when a call failed last
	whole    bool          // the next call asks for the whole list
	failed   int           // calls that failed since the last answer
	logged   time.Duration // when that was logged last
}

// start begins the first watch, from the list that the node knew before.
func (d *discovery) start(revision int64) {
	d.revision = revision
	d.wanted()
	d.node.loop.After(readyWithin, d.node.nowReady)
}

// nowReady lets clients in; a node without any list goes on waiting for one.
func (n *Node) nowReady() {
	if !n.ready && len(n.pools) > 0 {
		n.ready = true
		log.Printf("event=ready servers=%d", len(n.pools))
	}
}

// wanted begins to watch unless that is under way.
func (d *discovery) wanted() {
	if d.out || d.due != nil {
		return
	}
	d.due = d.node.loop.After(d.last+restartGap-d.node.loop.Now(), func() {
		d.due = nil
		d.call()
	})
}

// move begins anew at the address now configured, with a call for the whole list: versions are a service's own, and
// what the old one had still to tell must not be missed. The list held stays until the answer.
func (d *discovery) move() {
	d.drop()
	d.due.Stop()
	d.due, d.whole = nil, true
	d.call()
}

// call asks for what is newer than the list held.
func (d *discovery) call() {
	if d.conn == nil {
		conn, err := d.node.loop.Dial(d.node.cfg.Discovery, d)
		if err != nil {
			d.fail(err.Error())
			return
		}
		d.conn = conn
		d.rise = d.node.loop.After(upFor, func() { d.fail("no connection") })
	}
	d.out = true
	wait := min(mostWatch, max(watchFor, callGap*time.Duration(d.node.cfg.Settings.Balancers)))
	if d.node.count.lists == 0 || d.whole { // the list known may be old: what is newer is wanted before clients come
		wait = time.Millisecond
	}
	d.timer = d.node.loop.After(wait+callFor, func() { d.fail("no answer") })
	target := "/discovery/hosts"
	if !d.whole {
		target += "?since=" + strconv.FormatInt(d.revision, 10) + "&timeout_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	d.conn.Write(httpc.AppendRequest(nil, "GET", target, d.node.cfg.Discovery.String(), nil, nil))
}

// fail ends a call without an answer.
func (d *discovery) fail(why string) {
	d.drop()
	d.last = d.node.loop.Now()
	d.node.count.listsFailed++
	// Guards against a log full of one outage: the first failure, then each time their number has doubled, or a minute.
	if d.failed++; d.failed&(d.failed-1) == 0 || d.last-d.logged >= failLogGap {
		d.logged = d.last
		log.Printf("event=list_failed why=%q times=%d", why, d.failed)
	}
	d.node.members(policy.ListFailed, serverList{})
}

// drop gives the connection back.
func (d *discovery) drop() {
	d.timer.Stop()
	d.rise.Stop()
	d.out, d.input = false, nil
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
}

// Up implements loop.Handler.
func (d *discovery) Up() { d.rise.Stop() }

// Drained implements loop.Handler.
func (d *discovery) Drained() {}

// End implements loop.Handler.
func (d *discovery) End(err error) {
	d.conn = nil
	if !d.out {
		d.drop()
		return
	}
	if h, used, bad := httpc.Next(d.input, mostList, true); bad == nil && used > 0 {
		d.answered(h)
		return
	}
	d.fail(err.Error())
}

// Data implements loop.Handler.
func (d *discovery) Data(data []byte) {
	d.input = append(d.input, data...)
	h, used, err := httpc.Next(d.input, mostList, false)
	switch {
	case err != nil:
		d.fail(err.Error())
	case used > 0 && (!d.out || used < len(d.input)):
		d.fail("an answer to nothing")
	case used > 0:
		d.answered(h)
	}
}

// answered takes the end of a call.
func (d *discovery) answered(h httpc.Answer) {
	if h.Status != 200 {
		d.fail("status " + strconv.Itoa(h.Status))
		return
	}
	l, err := parseList(h.Body)
	if err == nil && d.whole && !l.whole {
		err = errors.New("not the whole list")
	}
	if err != nil {
		d.node.count.listsBad++
		d.fail(err.Error()) // the list held stays
		return
	}
	d.timer.Stop()
	if d.failed > 1 {
		log.Printf("event=list_back failed=%d", d.failed)
	}
	d.out, d.input, d.whole, d.failed = false, nil, false, 0
	if h.Close {
		d.drop()
	}
	d.node.count.lists++
	d.revision = l.revision
	kind := policy.ListChanges
	if l.whole {
		kind = policy.ListWhole
	}
	d.call() // first: the watch goes on only if the next call comes soon
	d.node.members(kind, l)
	d.node.nowReady()
}
