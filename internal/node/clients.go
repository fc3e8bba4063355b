package node

import (
	"container/list"
	"errors"
	"log"
	"syscall"
	"time"

	"lapisshelf/internal/loop"
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
	withOpening   = 20 * time.Millisecond  // what is read so soon after its connection was accepted may have come with it
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
		s.listener, err = s.node.loop.ListenShared(s.node.cfg.Listen, others, s.accept)
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
		if err = listen(); !errors.Is(err, syscall.EADDRINUSE) && !loop.IsResourceShortage(err) {
			break
		}
		time.Sleep(listenGap)
	}
	return err
}

// accept takes a connection. In a full house it stands in the reserve, to have its request refused: one that waits
// unread in the system's queue is lost.
func (s *clients) accept(fd int) {
	now := s.node.loop.Now()
	c := &client{node: s.node, used: now, since: now, arrived: s.listener.EarliestArrival(), opened: s.node.loop.PolledAt()}
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
	conn.WatchPeerClose()
	s.all[c] = true
	c.rest(s.owing)
	s.node.count.clientsAccepted++
	c.number = uint64(s.node.count.clientsAccepted)
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
