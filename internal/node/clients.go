package node

import (
	"container/list"
	"errors"
	"log"
	"strconv"
	"strings"
	"syscall"
	"time"

	"lapisshelf/decide/safety"
	"lapisshelf/internal/loop"
	"lapisshelf/internal/meta"
)

const (
	mostPipelined = 32        // requests of one connection that are open at once; more wait unread
	mostUnsent    = 256 << 10 // bytes of answers that a connection may leave unread before it is not read either
	slowFor       = 5 * time.Second
	lingerFor     = time.Second
	partShort     = 100 * time.Millisecond // and with no room left, of which the answers have all been acknowledged
	restFor       = 700 * time.Millisecond // idle for so long, a connection has no request on its way
	lookEvery     = 50 * time.Millisecond  // how often a full house and a leaving node look for what can be closed
	owesFor       = 2 * time.Second        // how long a connection may owe the rest of a command, its first included
	owesShort     = 50 * time.Millisecond  // and in a full house, with nothing unread
	idleFor       = 5 * time.Second        // how long a connection with nothing open is kept
	idleShort     = 2 * time.Second        // and with half of the room taken, or of what clients may hold
	idleLeast     = 100 * time.Millisecond // and with nearly all that clients may hold taken
	heldByClients = 3                      // clients hold that part of the descriptors at most for requests
	tidyEvery     = 50 * time.Millisecond  // how often those are looked for
	mostBad       = 16                     // bad commands after which a connection is closed
	listenTries   = 20
	listenGap     = 100 * time.Millisecond
)

// clients owns the listener and the connections of clients.
type clients struct {
	node     *Node
	listener *loop.Listener
	all      map[*client]bool
	idle     *list.List  // those with nothing open, longest unused first
	owing    *list.List  // those that owe the rest of a command, longest first
	parted   *list.List  // those that only wait for the other end to finish, longest first
	seen     ids         // of requests lately
	closing  bool        // connections close between requests
	reserved int         // descriptors held in the reserve, by those too that only wait for the other end
	drained  *loop.Timer // the next step of sending clients away
	retry    *loop.Timer
}

// client is one connection of a client. It is given back in drop alone.
type client struct {
	node    *Node
	conn    *loop.Conn
	input   []byte
	skip    int           // bytes still to come of a bad command
	up      *upload       // the long value that comes next
	calls   []*call       // in the order in which they came; the first unanswered one holds up the others
	place   *list.Element // among the idle or the owing
	list    *list.List    // the one of them that place is in
	parts   *list.Element // among those that wait for the other end
	used    time.Duration // when bytes last went either way
	since   time.Duration // when it came to owe the rest of a command
	arrived time.Duration // since when what is being taken may have been there
	opened  time.Duration // as epoll told of the connection
	number  uint64        // in the order of opening
	bad     int           // commands that were none
	asked   bool          // a whole command has come
	slow    *loop.Timer   // set while answers stand unread
	taken   int64         // what the client had taken when last looked at
	moved   time.Duration // when that was seen to grow
	owed    int           // bytes held for it, answers not taken and commands not whole, as counted by the node
	waiting int           // of these, what waits for answers before them
	last    bool          // nothing more is taken: it closes after the answers owed
	excess  bool          // accepted into the reserve
	parting bool          // it closes after an answer
	deep    int           // bytes for which the system was asked to make room, see deepen
	gone    bool
	parsing bool // commands are being taken
	again   bool // what had to wait will be looked at
}

func (s *clients) init() {
	s.seen = newIDs(s.node.cfg.MemoryMB)
	s.all, s.idle, s.owing, s.parted = map[*client]bool{}, list.New(), list.New(), list.New()
	s.node.loop.After(tidyEvery, s.tidy)
}

// join opens the node's address beside so many others of its processes.
func (s *clients) join(others int) (err error) {
	if others == 0 {
		s.listener, err = s.node.loop.Listen(s.node.cfg.Listen, s.accept)
	} else {
		s.listener, err = s.node.loop.Join(s.node.cfg.Listen, others, s.accept)
	}
	return err
}

// listen opens the node's address.
func (s *clients) listen() error {
	return persist(func() (err error) {
		s.listener, err = s.node.loop.Listen(s.node.cfg.Listen, s.accept)
		return err
	})
}

// persist tries to listen, again while the process that had the address before may still be going, or the system is short of
// descriptors or memory.
func persist(listen func() error) (err error) {
	for range listenTries {
		if err = listen(); !errors.Is(err, syscall.EADDRINUSE) && !loop.Momentary(err) {
			break
		}
		time.Sleep(listenGap)
	}
	return err
}

// full reports whether there is no room for one more client: they may have all that servers don't hold or must have.
// Guards against clients who are refused and stay, each for as long as its connection lingers: with those counted the house
// was full of them for as long as others came, and nobody was served.
func (s *clients) full() bool {
	n := s.node
	return n.open()-s.reserved-n.links >= n.room()-max(n.links, n.linkLeast())
}

// brimful reports whether not even the reserve has a descriptor left for a client: what servers must have and a call for
// the list are none of theirs.
func (s *clients) brimful() bool {
	n := s.node
	return n.open()-n.links >= n.brim()-max(n.links, n.linkLeast())-listSockets
}

// crowded reports whether one more client would find no room, or no descriptor at all.
func (s *clients) crowded() bool { return s.full() || s.brimful() }

// accept takes a connection. In a full house it stands in the reserve, to have its request refused: one that waits
// unread in the system's queue is lost.
func (s *clients) accept(fd int) {
	now := s.node.loop.Now()
	c := &client{node: s.node, used: now, since: now, arrived: s.node.loop.Came(), opened: s.node.loop.Told()}
	away := s.closing && s.brimful() // of a listen queue that is taken whole as the listener closes
	conn, err := s.node.loop.Accept(fd, c)
	if err != nil {
		log.Printf("event=accept_failed error=%q", err)
		return
	}
	c.conn = conn
	if away {
		s.node.count.clientsShed++
		s.node.noteClosed(c, closedUnaccepted)
		conn.Close()
		return
	}
	// Guards against a client that leaves while nothing is read from it: its end would stand behind what it had sent, and
	// what it asked for would be sent on as if it waited.
	conn.HeedEnd()
	s.all[c] = true
	c.rest(s.owing)
	s.node.count.clientsIn++
	c.number = uint64(s.node.count.clientsIn)
	s.node.recorder.add(record{at: now, transition: clientOpened, client: c.number})
	s.thin()
	c.seat(s.full())
	conn.OnRelease(func() {
		c.seat(false)
		if c.parts != nil {
			s.parted.Remove(c.parts)
		}
	})
}

// seat has a connection stand in the reserve, or no more.
func (c *client) seat(reserve bool) {
	switch s := &c.node.clients; {
	case reserve && !c.excess:
		s.reserved++
	case !reserve && c.excess:
		s.reserved--
	}
	c.excess = reserve
}

// thin keeps the number of connections, those included that are closing, within the room.
func (s *clients) thin() {
	if s.closing {
		// Guards against idle clients that take all descriptors of a node that sends its clients away: servers and the list had
		// none left (129 held where 64 were allowed).
		s.listener.Pause(s.brimful())
		return
	}
	// Guards against requests that wait unread for a descriptor, and are lost by it, while others are idle. First go
	// those who connect and say nothing, or half of something: clients send as soon as they are connected.
	for s.crowded() && (s.evict(owesShort) || s.part()) {
	}
	if s.full() {
		// One used a moment ago is not idle: clients open another when all they have are busy, so its next request is
		// likely on its way, and closing would lose it (787 of 19119 on an overload day with 80 descriptors).
		if oldest := front(s.idle); oldest != nil && oldest.rested() {
			s.node.count.clientsShed++
			oldest.finish(closedForRoom)
		} else if s.node.links > s.node.linkLeast() {
			s.node.shed()
		}
	}
	s.listener.Pause(s.brimful())
	if s.crowded() && s.retry == nil {
		s.retry = s.node.loop.After(lookEvery, func() {
			s.retry = nil
			s.thin()
		})
	}
}

// front is the first of a list, nil where it is empty.
func front(l *list.List) *client {
	if e := l.Front(); e != nil {
		return e.Value.(*client)
	}
	return nil
}

// evict closes the connection that has owed the rest of a command longest, if that is as long as told and nothing of
// it has come unread.
func (s *clients) evict(owed time.Duration) bool {
	c := front(s.owing)
	if c == nil || s.node.loop.Now()-c.since < owed || c.conn.Stale() {
		return false
	}
	s.node.count.clientsShed++
	c.cut(closedForRoom)
	return true
}

// part gives up the connection that has waited longest for its client to finish, if that is over partShort and the client
// has acknowledged all that it was sent.
func (s *clients) part() bool {
	c := front(s.parted)
	if c == nil || s.node.loop.Now()-c.used < partShort || c.conn.Taken() < c.conn.Queued() {
		return false
	}
	c.conn.Close()
	return true
}

// tidy closes connections that have owed the rest of a command or been idle for too long, so that neither those who say
// nothing nor those who ask once and stay take the descriptors of others.
func (s *clients) tidy() {
	now := s.node.loop.Now()
	for c := front(s.owing); c != nil && now-c.since >= owesFor; c = front(s.owing) {
		if c.conn.Stale() && now-c.since < owesFor+2*tidyEvery {
			break // the rest may have come: it is read next
		}
		s.node.count.clientsBad++
		c.cut(closedOwing)
	}
	most := s.idleMost()
	for c := front(s.idle); c != nil && now-c.used >= most; c = front(s.idle) {
		if !c.mayClose() {
			break // its next request has come, or its end: either is read next
		}
		s.node.count.clientsIdle++
		c.finish(closedIdle)
	}
	s.node.loop.After(tidyEvery, s.tidy)
}

// idleMost is how long a connection with nothing open is kept. It shrinks evenly as clients near what they may hold.
// Guards against clients who ask once and stay: with all that they may hold idle, no request comes any more, though the
// node has room (launceston-platform rfa7819: three in four, at 128 idle connections closed after 2 s each).
func (s *clients) idleMost() time.Duration {
	n := s.node
	// With few descriptors servers, the reserve and the operators' address leave clients less than their part: a second
	// process with places for two to five kept each idle for 2 s, and requests waited unread for over 10 s.
	places := min(n.room(), n.brim()-listSockets) - max(n.links, n.linkLeast()) - listenSockets
	most := max(1, min(n.sockets()/heldByClients, places))
	used := float64(len(s.all)-s.owing.Len()) / float64(most)
	switch {
	case used > 0.5:
		return max(idleLeast, time.Duration(float64(idleShort)*(0.875-used)/0.375))
	case 2*n.open() > n.room():
		return idleShort
	}
	return idleFor
}

// drain sends the clients away, at a planned end or when an operator says so: for a while all goes on, then a connection
// closes with its next answer, so that its client learns of it before it sends again, and those that get no request
// close once they have rested. At an end the listener closes too.
// With a successor that takes clients already there is nothing to wait for.
func (s *clients) drain(succeeded bool) {
	switch {
	case succeeded:
		s.listener.Close()
		s.drained.Stop()
		s.node.loop.Later(s.empty)
	case s.drained == nil:
		s.drained = s.node.loop.After(lameFor, s.empty)
	}
}

// empty begins to close connections.
func (s *clients) empty() {
	s.closing = true
	s.retire()
}

// retire closes connections that have rested, and comes back while there may be others. At an end, each unanswered
// request belongs to one of them, so after the last the loop stops; closing between requests takes a moment.
func (s *clients) retire() {
	n := s.node
	if n.leaving {
		s.listener.Close()
	}
	due := n.lame && n.loop.Now() >= n.lameUntil
	for c := range s.all {
		if n.leaving {
			c.deepen()
		}
		if len(c.calls) > 0 || c.conn.Pending() > 0 {
			// Guards against ending the connection of a slow reader before the system has taken the end of its answer
			// (launceston-platform, bulk+drain 3: one long value in 250 cut off in its last bytes).
			continue
		}
		// Guards against a connection that a drained node still holds after the time it has for that.
		if c.rested() || due && c.mayClose() {
			c.finish(closedAtEnd)
		}
	}
	if n.leaving && len(s.all) == 0 && (s.listener.Closed() || n.loop.Now() >= n.lastAnswer) {
		n.loop.After(lingerFor/4, n.loop.Stop)
		return
	}
	s.thin()
	s.drained = n.loop.After(lookEvery, s.retire)
}

// resume takes a drain back: connections that have begun to close between requests do close.
func (s *clients) resume() {
	s.drained.Stop()
	s.drained, s.closing = nil, false
	for c := range s.all {
		c.node.loop.Later(c.flush)
	}
	s.thin() // the listener may rest
}

// rested reports whether nothing has gone either way for so long that nothing should be on its way, nor has come.
func (c *client) rested() bool { return c.node.loop.Now()-c.used >= restFor && c.mayClose() }

// Up implements loop.Handler.
func (c *client) Up() {}

// Data implements loop.Handler.
func (c *client) Data(data []byte) {
	if c.last {
		return
	}
	c.used = c.node.loop.Now()
	// What came with the connection may have been there as long as that: it is read in the turn behind.
	if came := c.node.loop.Came(); came > c.opened {
		c.arrived = came
	}
	if c.skip > 0 {
		n := min(c.skip, len(data))
		c.skip -= n
		data = data[n:]
	}
	if len(c.input) > 0 {
		c.input = append(c.input, data...)
		data = c.input
	}
	c.keepRest(c.parse(data))
	c.flush()
}

// keepRest keeps what has not been taken yet.
func (c *client) keepRest(rest []byte) {
	switch {
	case c.gone || c.last || len(rest) == 0:
		c.input = nil
	case len(rest) != len(c.input): // else it is all of the input
		c.input = append([]byte(nil), rest...)
	}
}

// parse takes commands off data as long as there is room for them and returns what is left.
func (c *client) parse(data []byte) []byte {
	c.parsing = true
	defer func() { c.parsing = false }()
	for len(data) > 0 && !c.gone && !c.last && (c.up != nil || len(c.calls) < mostPipelined && c.conn.Pending() < mostUnsent) {
		if u := c.up; u != nil {
			used, ok := u.take(data)
			data = data[used:]
			if !ok {
				u.spoilt()
				return nil
			}
			if u.left == 0 && u.end == "" {
				c.up = nil
				u.came()
			}
			continue
		}
		m, used, err := meta.Next(data, meta.MaxValue, meta.MaxLong)
		switch {
		case err != nil:
			c.reject(err)
			if used == 0 || c.last {
				c.last = true
				return nil
			}
			data = c.pass(data[used:], m.Skip)
		case used == 0:
			return data
		default:
			data = data[used:]
			if c.command(m); m.Long > 0 && c.up == nil { // turned away, as is its value
				data = c.pass(data, m.Long+len("\r\n"))
			}
		}
	}
	return data
}

// pass passes over so many bytes, those too that have yet to come.
func (c *client) pass(data []byte, bytes int) []byte {
	n := min(bytes, len(data))
	c.skip = bytes - n
	return data[n:]
}

// command handles one whole command.
func (c *client) command(m meta.Command) {
	n := c.node
	c.asked = true
	c.unrest() // it owes nothing, whatever room is made below
	if m.Kind == meta.Noop {
		switch {
		case n.lame:
			c.say("SERVER_ERROR draining\r\n")
		case n.ready:
			c.say("MN\r\n")
		default:
			c.say("SERVER_ERROR starting\r\n")
		}
		return
	}
	kind, wait, err := n.patience(m.Info)
	if err == nil {
		err = n.used(m.ID)
	}
	if err != nil {
		c.reject(err)
		return
	}
	if m.Long == 0 {
		n.register(m.ID)
	}
	// Whoever asks goes before those who may be about to.
	if c.seat(c.excess && n.clients.full() && !n.clients.evict(0)); c.excess {
		c.refuse(kind)
		c.parting = true // its descriptor is wanted
		return
	}
	if n.full(len(m.Value) + min(m.Long, bodyKept)) {
		c.refuse(kind)
		return
	}
	now := n.loop.Now()
	// Guards against telling servers of time that has passed while the request stood unread, in a process that was stopped or
	// busy: they would work for a client that has stopped waiting.
	if m.Long == 0 {
		wait -= now - c.arrived
		if safety.Start(safety.Request{Left: wait}) != safety.Allowed {
			n.count.tooLate++
			c.refuse(kind)
			return
		}
	}
	k := &call{id: string(m.ID), class: kind, client: c, command: keep(m)}
	if m.Long > 0 {
		c.upload(k, m.Long, wait)
		return
	}
	c.calls = append(c.calls, k)
	k.deadline = now + n.within(wait, now)
	n.held += len(m.Value)
	n.take(k, now)
}

// used says what is wrong with an id that another request has.
func (n *Node) used(id []byte) error {
	// Guards against one who sends the id of another's request: an open one would be taken for that request, and a
	// refusal would be taken for that request's. Each request has an id of its own, also a retry.
	if n.calls[string(id)] != nil || n.clients.seen.has(id) {
		n.count.sameID++
		return errors.New("request id in use")
	}
	return nil
}

// register notes that a request has come.
func (n *Node) register(id []byte) {
	n.clients.seen.add(id, n.loop.Now())
	n.count.taken++
}

// reject answers what is no request, and ends a connection on which there is nothing else.
func (c *client) reject(err error) {
	c.node.count.badLines++
	c.say("CLIENT_ERROR " + err.Error() + "\r\n")
	if c.bad++; c.bad >= mostBad {
		c.node.count.clientsBad++
		c.last = true
	}
}

// refuse turns a request away that the module has not seen.
func (c *client) refuse(kind *class) {
	c.node.count.full++
	c.node.end(kind, refused)
	c.say(string(meta.AppendBusy(nil, 0)))
}

// full reports whether the node holds as much as it may.
func (n *Node) full(value int) bool {
	most := n.cfg.Transport.MostHeld
	return most > 0 && len(n.calls) >= most || n.held+n.owed+value > n.most()
}

// most is how many bytes of values the node may hold, and of answers as many again.
func (n *Node) most() int { return n.memoryMB() << 20 / heldPart }

// valueMost is how many bytes an answer may hold that is kept whole, one of a length that is not told ahead: many must have
// room at once. Values over the usual size do come (launceston-platform, rate+silent+leave: up to 360 KB, each taken for a
// spoilt answer, and the servers skipped for it).
func (n *Node) valueMost() int { return max(meta.MaxValue, n.cfg.MemoryMB<<20/valuePart) }

// patience is the request's class and how long the client waits, as the request tells; no longer than its class allows.
func (n *Node) patience(info []byte) (*class, time.Duration, error) {
	kind := n.classes[meta.Text(info, "c")]
	if kind == nil {
		// Guards against what servers turn away: each such answer told against a healthy server, and three skipped it
		// (launceston-platform, rude+garble 3: all nine caches skipped at once).
		return nil, 0, errors.New("no such class")
	}
	text := meta.Text(info, "d") // an empty one is no number either: servers turn it away
	if whole, _, ok := strings.Cut(text, "."); ok {
		text = whole
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return nil, 0, errors.New("bad deadline")
	}
	return kind, min(time.Duration(ms)*time.Millisecond, kind.longest), nil
}

// keep copies a command out of the buffer it was parsed from.
func keep(m meta.Command) meta.Command {
	text := make([]byte, 0, len(m.Line)+len(m.Value))
	text = append(append(text, m.Line...), m.Value...)
	at := func(part []byte) []byte {
		if len(part) == 0 {
			return nil
		}
		from := cap(m.Line) - cap(part) // parts of one line end where its buffer ends
		return text[from : from+len(part)]
	}
	k := meta.Command{Kind: m.Kind, Line: text[:len(m.Line)], InfoPos: m.InfoPos, Long: m.Long}
	k.Key, k.ID, k.Info = at(m.Key), at(m.ID), at(m.Info)
	if m.Kind == meta.Set && m.Long == 0 {
		k.Value = text[len(m.Line):]
	}
	return k
}

// say answers, in its turn, what is no request.
func (c *client) say(text string) {
	c.calls = append(c.calls, &call{client: c, answered: true, answer: []byte(text)})
	c.waiting += len(text)
}

// flush writes the answers whose turn it is, then goes on with what had to wait for them.
func (c *client) flush() {
	if c.gone {
		return
	}
	for len(c.calls) > 0 && c.calls[0].answered {
		k := c.calls[0]
		c.calls[0] = nil
		c.calls = c.calls[1:]
		c.waiting -= len(k.answer)
		c.used = c.node.loop.Now()
		c.conn.Write(k.answer)
		k.answer, k.client = nil, nil
	}
	if len(c.calls) > 0 && c.calls[0].body != nil {
		if b := c.calls[0].body; b.begun {
			b.flow()
		} else {
			b.begin(c)
		}
		c.used = c.node.loop.Now()
	}
	c.account()
	c.watch()
	if c.parsing {
		return // the rest is done when that is over
	}
	closing := c.last || c.parting || c.node.clients.closing
	owes := len(c.input) > 0 || c.skip > 0 || c.up != nil || !c.asked // the rest of a command
	switch {
	case len(c.calls) > 0 || c.conn.Pending() > 0:
		c.unrest()
	case c.last || closing && !owes && c.mayClose():
		// Guards against closing on a request that has come but was not read yet, which would lose it.
		c.finish(closedAfterAnswers)
		return
	case owes:
		c.rest(c.node.clients.owing)
	default:
		c.rest(c.node.clients.idle)
	}
	if len(c.calls) == 0 {
		c.calls = nil
	}
	blocked := len(c.calls) >= mostPipelined || c.conn.Pending() >= mostUnsent
	if c.up != nil {
		c.up.flow()
		return
	}
	c.conn.Pause(blocked || closing && len(c.calls) > 0)
	if !blocked && len(c.input) > 0 && !c.again && c.waits() {
		c.again = true
		c.node.loop.Later(c.more)
	}
}

// waits reports whether the input begins with a whole command, which had to wait.
func (c *client) waits() bool {
	_, used, err := meta.Next(c.input, meta.MaxValue, meta.MaxLong)
	return used > 0 || err != nil
}

// more takes what had to wait.
func (c *client) more() {
	c.again = false
	if c.gone {
		return
	}
	c.keepRest(c.parse(c.input))
	c.flush()
}

// rest puts the connection among the idle or the owing ones. Who comes to owe is given time from then on, who just
// connected from then.
func (c *client) rest(l *list.List) {
	if c.list == l && l == c.node.clients.owing {
		return
	}
	if c.unrest(); l == c.node.clients.owing && c.asked {
		c.since = c.node.loop.Now()
	}
	c.list, c.place = l, l.PushBack(c)
}

// unrest takes the connection off the list it is in.
func (c *client) unrest() {
	if c.place != nil {
		c.list.Remove(c.place)
		c.list, c.place = nil, nil
	}
}

// watch closes a connection that takes nothing of what it is owed for long: its answers fill the memory.
func (c *client) watch() {
	if c.conn.Pending() == 0 {
		c.slow.Stop()
		c.slow = nil
		return
	}
	if c.slow != nil {
		return
	}
	c.taken, c.moved = c.conn.Taken(), c.node.loop.Now()
	c.look()
}

// look gives up a client that has taken nothing for long.
func (c *client) look() {
	c.slow = c.node.loop.After(slowFor/5, func() {
		// Guards against taking a slow reader for a dead one: the system hands over what it holds long before it asks
		// for more, so only what the client has acknowledged tells.
		now, taken := c.node.loop.Now(), c.conn.Taken()
		if taken != c.taken {
			c.taken, c.moved = taken, now
		}
		if now-c.moved >= slowFor {
			c.giveUp()
			return
		}
		c.look()
	})
}

// giveUp closes a connection that does not take what it is owed.
func (c *client) giveUp() {
	c.node.count.clientsSlow++
	log.Printf("event=client_slow pending=%d held=%d", c.conn.Pending(), c.owed)
	c.node.noteClosed(c, closedSlow)
	c.conn.Close()
	c.ended()
}

// account keeps the node's count of what is held for clients, answers that they have yet to take and commands that
// they have yet to end, and, past its bound, gives up the one for which most is held.
func (c *client) account() {
	n := c.node
	owed := c.waiting + c.conn.Pending() + cap(c.input)
	if c.up != nil {
		owed += c.up.holds()
	}
	if c.gone {
		owed = 0
	}
	n.owed += owed - c.owed
	c.owed = owed
	if n.owed <= n.most() || n.shedding {
		return
	}
	n.shedding = true
	n.loop.Later(func() {
		n.shedding = false
		worst := c
		for x := range n.clients.all {
			if x.owed > worst.owed {
				worst = x
			}
		}
		if n.owed > n.most() && !worst.gone {
			worst.giveUp()
		}
	})
}

// Drained implements loop.Handler.
func (c *client) Drained() { c.flush() }

// End implements loop.Handler: the client has gone away, and nobody waits for what it had asked.
func (c *client) End(error) {
	if !c.gone {
		c.node.noteClosed(c, closedByClient)
	}
	c.ended()
}

// ended lets go of a connection that has ended, and of what nobody waits for any more.
func (c *client) ended() {
	calls := c.calls
	c.drop()
	// Guards against an attempt for one of its requests as another of them ends, whose fetch it had waited for.
	for _, k := range calls {
		k.client = nil
	}
	for _, k := range calls {
		k.answer = nil
		c.node.abandon(k)
	}
}

// away ends the connection of a client that has left, though its end has not come by yet.
func (c *client) away() {
	if !c.gone {
		c.conn.Close()
		c.End(nil)
	}
}

// cut closes a connection that is owed nothing at once, whatever may still come on it.
func (c *client) cut(why closing) {
	c.node.checkClose(c, true)
	c.node.noteClosed(c, why)
	c.conn.Close()
	c.drop()
}

// finish closes the connection between requests.
func (c *client) finish(why closing) {
	if !c.gone {
		c.node.checkClose(c, c.last)
		c.node.noteClosed(c, why)
		linger := lingerFor
		if c.bad > 0 || !c.asked { // whose next bytes nobody wants
			linger /= 4
		}
		c.conn.Finish(linger)
		c.used, c.parts = c.node.loop.Now(), c.node.clients.parted.PushBack(c)
		c.drop()
	}
}

// drop lets go of the connection, which the loop has given back or will after Finish.
func (c *client) drop() {
	if c.gone {
		return
	}
	c.gone = true
	c.slow.Stop()
	c.unrest()
	c.node.deep -= c.deep
	if c.up != nil {
		c.up.timer.Stop()
	}
	c.input, c.calls, c.up, c.waiting = nil, nil, nil, 0
	c.account()
	delete(c.node.clients.all, c)
	c.node.clients.thin()
}
