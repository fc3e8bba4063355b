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
	maxPipelined          = 32        // open requests of one connection; further ones stay unread
	maxUnsentBytes        = 256 << 10 // unsent bytes of answers above which a connection is not read
	slowReaderTimeout     = 5 * time.Second
	lingerTimeout         = time.Second
	shortLingerTimeout    = 100 * time.Millisecond // in a full node, once the client has acknowledged all
	quietPeriod           = 700 * time.Millisecond // after this long without traffic, no request should be on its way
	capacityCheckInterval = 50 * time.Millisecond  // how often a full or closing node looks for connections to close
	commandTimeout        = 2 * time.Second        // how long a command may stay incomplete, also a connection's first
	shortCommandTimeout   = 50 * time.Millisecond  // in a full node, with nothing unread
	maxIdleTimeout        = 5 * time.Second        // how long an idle connection is kept
	shortIdleTimeout      = 2 * time.Second        // with half of the node's room, or of the clients' part, in use
	minIdleTimeout        = 100 * time.Millisecond // with nearly all of the clients' part in use
	clientSocketsDivisor  = 3                      // clients may use this fraction of the descriptors for requests
	timeoutCheckInterval  = 50 * time.Millisecond  // how often idle and incomplete connections are checked
	maxBadCommands        = 16                     // malformed commands after which a connection is closed
	lateRead              = 20 * time.Millisecond  // data read this long after its earliest arrival is worth a look when it came
	maxListenTries        = 20
	listenRetryInterval   = 100 * time.Millisecond
)

// clients holds the listener and the connections of clients.
type clients struct {
	node       *Node
	listener   *loop.Listener
	all        map[*client]bool
	idle       *list.List  // connections without an open request, longest unused first
	incomplete *list.List  // connections with an incomplete command or none yet, oldest first
	lingering  *list.List  // closed on this side and waiting for the client, oldest first
	recentIDs  idSet       // ids of recent requests
	closing    bool        // connections are being closed between requests
	reserved   int         // descriptors of the reserve in use, including those of lingering connections
	drainTimer *loop.Timer // the next step of a drain
	retryTimer *loop.Timer
}

// client is one connection of a client. Only release removes it.
type client struct {
	node            *Node
	conn            *loop.Conn
	input           []byte
	skip            int           // bytes of a rejected command still to be skipped
	upload          *upload       // the long value being received
	requests        []*request    // in the order of arrival; the first unanswered one holds up the others
	listElem        *list.Element // its element in clients.idle or clients.incomplete
	list            *list.List    // the list that listElem belongs to
	lingerElem      *list.Element // its element in clients.lingering
	lastActive      time.Duration // when bytes last went in either direction
	incompleteSince time.Duration // since when its command is incomplete, or its value has made no progress
	valueSince      time.Duration // when the value of an incomplete command began to arrive; 0: there is none
	arrivedAt       time.Duration // the earliest time at which the data being read may have arrived
	lastByteAt      time.Duration // the same of its last byte
	number          uint64        // counts connections in the order of opening
	badCommands     int           // malformed commands
	sentCommand     bool          // it has sent a whole command
	slowTimer       *loop.Timer   // runs while answers are unsent
	acknowledged    int64         // bytes that the client had acknowledged at the last check
	progressAt      time.Duration // when acknowledged last grew
	heldBytes       int           // bytes held for it: unsent answers and incomplete commands; included in Node.clientBytes
	queuedBytes     int           // of these, answers that wait for earlier ones
	noMoreInput     bool          // no more input is read; it closes after the outstanding answers
	inReserve       bool          // it counts against the reserve
	closeWhenIdle   bool          // it closes once nothing is open on it
	sendBufferBytes int           // bytes by which its kernel send buffer was grown, see growSendBuffer
	closed          bool
	parsing         bool // parse is running
	parseScheduled  bool // parseBuffered is scheduled
}

func (s *clients) init() {
	s.recentIDs = newIDSet(s.node.cfg.MemoryMB)
	s.all, s.idle, s.incomplete, s.lingering = map[*client]bool{}, list.New(), list.New(), list.New()
	s.node.loop.After(timeoutCheckInterval, s.closeTimedOut)
}

// listenBeside listens on the node's address, shared with this many other processes of the node.
func (s *clients) listenBeside(others int) (err error) {
	if others == 0 {
		s.listener, err = s.node.loop.Listen(s.node.cfg.Listen, s.accept)
	} else {
		s.listener, err = s.node.loop.ListenShared(s.node.cfg.Listen, others, s.accept)
	}
	return err
}

// listen listens on the node's address.
func (s *clients) listen() error {
	return retryListen(func() (err error) {
		s.listener, err = s.node.loop.Listen(s.node.cfg.Listen, s.accept)
		return err
	})
}

// retryListen calls listen, and retries while a previous process may still hold the address or while the system is short of
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

// accept takes a new connection. In a full node it counts against the reserve, and its request is refused: a request left unread
// in the listen queue would be lost.
func (s *clients) accept(fd int) {
	now := s.node.loop.Now()
	c := &client{node: s.node, lastActive: now, incompleteSince: now}
	shed := s.closing && s.reserveFull() // the whole listen queue is accepted when the listener closes
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
	// Guards against a client that leaves while its connection is not read: the end of the stream would stay behind its unread
	// requests, and these would be sent on as if it still waited.
	conn.WatchPeerClose()
	conn.MayHaveWaited(s.listener.EarliestArrival())
	s.all[c] = true
	c.moveTo(s.incomplete)
	s.node.count.clientsAccepted++
	c.number = uint64(s.node.count.clientsAccepted)
	s.node.recorder.add(record{at: now, transition: clientOpened, client: c.number})
	s.enforceLimits()
	c.setInReserve(s.full())
	conn.OnRelease(func() {
		c.setInReserve(false)
		if c.lingerElem != nil {
			s.lingering.Remove(c.lingerElem)
		}
		s.node.loop.Defer(s.resumeAccepting)
	})
}

// resumeAccepting accepts clients again as soon as there is a descriptor for one. Guards against clients that wait for the next look, up
// to capacityCheckInterval, for each place that becomes free.
func (s *clients) resumeAccepting() { s.listener.SetPaused(s.reserveFull()) }
