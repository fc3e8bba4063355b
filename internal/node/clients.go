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
	maxPipelined          = 32        // requests of one connection that are open at once; more wait unread
	maxUnsentBytes        = 256 << 10 // bytes of answers that a connection may leave unread before it is not read either
	slowReaderTimeout     = 5 * time.Second
	lingerTimeout         = time.Second
	shortLingerTimeout    = 100 * time.Millisecond // and with no room left, of which the answers have all been acknowledged
	quietPeriod           = 700 * time.Millisecond // idle for so long, a connection has no request on its way
	capacityCheckInterval = 50 * time.Millisecond  // how often a full house and a leaving node look for what can be closed
	commandTimeout        = 2 * time.Second        // how long a connection may owe the rest of a command, its first included
	shortCommandTimeout   = 50 * time.Millisecond  // and in a full house, with nothing unread
	maxIdleTimeout        = 5 * time.Second        // how long a connection with nothing open is kept
	shortIdleTimeout      = 2 * time.Second        // and with half of the room taken, or of what clients may hold
	minIdleTimeout        = 100 * time.Millisecond // and with nearly all that clients may hold taken
	clientSocketsDivisor  = 3                      // clients hold that part of the descriptors at most for requests
	timeoutCheckInterval  = 50 * time.Millisecond  // how often those are looked for
	maxBadCommands        = 16                     // bad commands after which a connection is closed
	acceptReadWindow      = 20 * time.Millisecond  // what is read so soon after its connection was accepted may have come with it
	maxListenTries        = 20
	listenRetryInterval   = 100 * time.Millisecond
)

// clients owns the listener and the connections of clients.
type clients struct {
	node       *Node
	listener   *loop.Listener
	all        map[*client]bool
	idle       *list.List  // those with nothing open, longest unused first
	incomplete *list.List  // those that owe the rest of a command, longest first
	lingering  *list.List  // those that only wait for the other end to finish, longest first
	recentIDs  idSet       // of requests lately
	closing    bool        // connections close between requests
	reserved   int         // descriptors held in the reserve, by those too that only wait for the other end
	drainTimer *loop.Timer // the next step of sending clients away
	retryTimer *loop.Timer
}

// client is one connection of a client. It is given back in drop alone.
type client struct {
	node            *Node
	conn            *loop.Conn
	input           []byte
	skip            int           // bytes still to come of a bad command
	upload          *upload       // the long value that comes next
	requests        []*request    // in the order in which they came; the first unanswered one holds up the others
	listElem        *list.Element // among the idle or the owing
	list            *list.List    // the one of them that place is in
	lingerElem      *list.Element // among those that wait for the other end
	lastActive      time.Duration // when bytes last went either way
	incompleteSince time.Duration // when it came to owe the rest of a command
	arrivedAt       time.Duration // since when what is being taken may have been there
	openedAt        time.Duration // as epoll told of the connection
	number          uint64        // in the order of opening
	badCommands     int           // commands that were none
	sentCommand     bool          // a whole command has come
	slowTimer       *loop.Timer   // set while answers stand unread
	acknowledged    int64         // what the client had taken when last looked at
	progressAt      time.Duration // when that was seen to grow
	heldBytes       int           // bytes held for it, answers not taken and commands not whole, as counted by the node
	queuedBytes     int           // of these, what waits for answers before them
	noMoreInput     bool          // nothing more is taken: it closes after the answers owed
	inReserve       bool          // accepted into the reserve
	closeWhenIdle   bool          // it closes after an answer
	sendBufferBytes int           // bytes for which the system was asked to make room, see deepen
	closed          bool
	parsing         bool // commands are being taken
	parseScheduled  bool // what had to wait will be looked at
}

func (s *clients) init() {
	s.recentIDs = newIDSet(s.node.cfg.MemoryMB)
	s.all, s.idle, s.incomplete, s.lingering = map[*client]bool{}, list.New(), list.New(), list.New()
	s.node.loop.After(timeoutCheckInterval, s.closeTimedOut)
}

// listenBeside opens the node's address beside so many others of its processes.
func (s *clients) listenBeside(others int) (err error) {
	if others == 0 {
		s.listener, err = s.node.loop.Listen(s.node.cfg.Listen, s.accept)
	} else {
		s.listener, err = s.node.loop.ListenShared(s.node.cfg.Listen, others, s.accept)
	}
	return err
}

// listen opens the node's address.
func (s *clients) listen() error {
	return retryListen(func() (err error) {
		s.listener, err = s.node.loop.Listen(s.node.cfg.Listen, s.accept)
		return err
	})
}

// retryListen tries to listen, again while the process that had the address before may still be going, or the system is short of
// descriptors or memory.
func retryListen(listen func() error) (err error) {
	for range maxListenTries {
		if err = listen(); !errors.Is(err, syscall.EADDRINUSE) && !loop.IsResourceShortage(err) {
			break
		}
		time.Sleep(listenRetryInterval)
	}
	return err
}

// accept takes a connection. In a full house it stands in the reserve, to have its request refused: one that waits
// unread in the system's queue is lost.
func (s *clients) accept(fd int) {
	now := s.node.loop.Now()
	c := &client{node: s.node, lastActive: now, incompleteSince: now, arrivedAt: s.listener.EarliestArrival(), openedAt: s.node.loop.PolledAt()}
	shed := s.closing && s.reserveFull() // of a listen queue that is taken whole as the listener closes
	conn, err := s.node.loop.Accept(fd, c)
	if err != nil {
		log.Printf("event=accept_failed error=%q", err)
		return
	}
	c.conn = conn
	if shed {
		s.node.count.clientsShed++
		s.node.recordClose(c, closedUnaccepted)
		conn.Close()
		return
	}
	// Guards against a client that leaves while nothing is read from it: its end would stand behind what it had sent, and
	// what it asked for would be sent on as if it waited.
	conn.WatchPeerClose()
	s.all[c] = true
	c.moveTo(s.incomplete)
	s.node.count.clientsIn++
	c.number = uint64(s.node.count.clientsIn)
	s.node.recorder.add(record{at: now, transition: clientOpened, client: c.number})
	s.enforceLimits()
	c.setInReserve(s.full())
	conn.OnRelease(func() {
		c.setInReserve(false)
		if c.lingerElem != nil {
			s.lingering.Remove(c.lingerElem)
		}
	})
}
