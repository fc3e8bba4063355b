package load

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
)

const (
	readsBehind     = 4                      // reads that a pipelining client sends behind a long one
	maxBatchPause   = 100 * time.Millisecond // between two batches of a client
	valueReadPeriod = 2 * time.Second        // for which a client reads on after its last deadline
)

// pipeline runs one pipelining client: it connects, sends a read of a long value and others behind it at once, reads all answers and
// starts over.
func (l *Load) pipeline(n int, stop chan struct{}) {
	long, short := l.readClasses()
	if long == nil {
		return
	}
	rng := world.RandomStream(l.opt.Seed, "pipeline", strconv.Itoa(n))
	for batch := 0; ; batch++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(maxBatchPause)))):
		}
		node := l.chooseNode(rng.IntN(len(l.pools)))
		var tries []*seen.Try
		text := ""
		for i := range 1 + readsBehind {
			class := short
			if i == 0 {
				class = long
			}
			t, command := l.pipelinedRead(class, node, fmt.Sprintf("pipelined-%d.%d.%d", n, batch, i), "pipelined"+strconv.Itoa(rng.IntN(1000)))
			tries = append(tries, t)
			text += command
		}
		l.playBatch(node, text, tries)
	}
}

// readClasses returns the class of the reads with the largest values and that of those with the smallest, or nil.
func (l *Load) readClasses() (long, short *world.Class) {
	for i := range l.opt.Classes {
		class := &l.opt.Classes[i]
		if class.Write || class.Effect != world.Safe {
			continue
		}
		if long == nil || class.Size > long.Size {
			long = class
		}
		if short == nil || class.Size < short.Size {
			short = class
		}
	}
	return long, short
}

// pipelinedRead returns the record of a read that belongs to no arrival, and its command.
func (l *Load) pipelinedRead(class *world.Class, node int, id, key string) (*seen.Try, string) {
	now := l.opt.Log.Now()
	t := &seen.Try{ID: id, ArrivalNumber: -int(l.pipelined.Add(1)), Class: class.Name, Key: key, Node: node, Generation: l.opt.Generation(node),
		DueAt: now, WaitsUntil: now + class.Deadline}
	return t, fmt.Sprintf("mg %s v O%s Pc=%s,d=%d\r\n", key, id, class.Name, class.Deadline.Milliseconds())
}

// playBatch sends a batch on a new connection and records what became of its requests.
func (l *Load) playBatch(node int, text string, tries []*seen.Try) {
	update := func(change func()) { l.opt.Log.Update(func(*seen.Record) { change() }) }
	conn, err := net.DialTimeout("tcp", l.pools[node].addr, dialTimeout)
	l.opt.Log.Update(func(r *seen.Record) { r.Tries = append(r.Tries, tries...) })
	if err == nil {
		defer conn.Close()
		_, err = io.WriteString(conn, text)
	}
	now := l.opt.Log.Now()
	update(func() {
		for _, t := range tries {
			t.ConnectFailed, t.SentAt = err != nil, now
			t.WaitsUntil += now - t.DueAt
		}
	})
	if err != nil {
		return
	}
	conn.SetReadDeadline(time.Now().Add(tries[0].WaitsUntil - now + valueReadPeriod))
	in := bufio.NewReader(conn)
	for i, t := range tries {
		line, value, err := readAnswer(in, func() {
			now := l.opt.Log.Now()
			update(func() { t.LongValueAt = now })
		})
		now := l.opt.Log.Now()
		var timeout net.Error
		switch {
		case err == nil:
			update(func() {
				recordAnswer(t, now, line, value)
				if i+1 < len(tries) {
					tries[i+1].TurnAt = now
				}
			})
		case errors.As(err, &timeout) && timeout.Timeout():
			return
		default:
			update(func() {
				t.Truncated, t.AnswerLine = line != "", line
				for _, rest := range tries[i:] {
					rest.ConnEndedAt, rest.FirstOnConn = now, i == 0
				}
			})
			return
		}
	}
}

// errBadLength is the error of an answer whose length is invalid.
var errBadLength = errors.New("invalid length of a value")

// readAnswer reads a whole answer, and calls onLong once the first line of a long value has come. After an error, line holds what has come
// of that.
func readAnswer(in *bufio.Reader, onLong func()) (line string, value []byte, err error) {
	if line, err = in.ReadString('\n'); err != nil {
		return line, nil, err
	}
	line = strings.TrimRight(line, "\r\n")
	words := strings.Fields(line)
	if len(words) < 2 || words[0] != "VA" {
		return line, nil, nil
	}
	n, err := strconv.Atoi(words[1])
	if err != nil || n < 0 || n > maxAnswerValue {
		return line, nil, errBadLength
	}
	if n > seen.LongValueSize {
		onLong()
	}
	value = make([]byte, n+2)
	if _, err := io.ReadFull(in, value); err != nil {
		return line, nil, err
	}
	return line, value[:n], nil
}
