// Package meta parses and writes the meta commands of the memcached text protocol, as far as a balancer needs them.
// It does no I/O: it is given received bytes and returns how many of them it has used.
package meta

import (
	"bytes"
	"errors"
	"iter"
	"strconv"
)

// Limits of received messages.
const (
	MaxLine       = 4096     // bytes of a line, without its end
	MaxKey        = 250      // bytes of a key
	MaxValue      = 64 << 10 // usual limit of a value held in memory, in bytes; callers pass the limit that they have room for
	MaxLongValue  = 4 << 20  // bytes of a value that is streamed
	MaxSkipFactor = 4        // multiple of the size limit up to which a value that is too large is skipped
	MaxID         = 64       // bytes of a request ID
)

// Errors of the parsers.
var (
	ErrLine     = errors.New("bad command line format") // the next command follows
	ErrFraming  = errors.New("line too long")           // the start of the next command is unknown
	ErrLarge    = errors.New("object too large for cache")
	ErrHuge     = errors.New("object far too large") // too large to be skipped
	ErrChunk    = errors.New("bad data chunk")       // the value does not end after its stated length
	ErrResponse = errors.New("malformed answer")
)

// Kind is the type of a command.
type Kind int

// The commands that clients send.
const (
	Get  Kind = iota + 1 // mg
	Set                  // ms
	Noop                 // mn
)

// Command is a parsed command. Its slices refer to the parsed bytes.
type Command struct {
	Kind       Kind
	Line       []byte // as received, without its end
	Key        []byte
	ID         []byte // value of flag O
	Info       []byte // value of flag P: comma-separated name=value pairs
	Value      []byte // of a Set
	InfoOffset int    // position of Info in Line
	LongSize   int    // length of a Set's long value, which is not in Value: it follows, and a line end after it
	// SkipBytes is the number of further bytes that belong to a bad command and must be skipped.
	SkipBytes int
}

// ParseCommand parses the first command. It returns the number of bytes used, which is 0 if the command is incomplete. A value of
// more than maxInline bytes is not waited for: only the line is used, and LongSize is the number of bytes that follow, at most
// maxValue. With an error, the bytes used are those of a bad command; if there are none, the start of the next command is unknown or
// too far away.
func ParseCommand(data []byte, maxInline, maxValue int) (c Command, used int, err error) {
	line, used, err := cutLine(data)
	if used == 0 || err != nil {
		return Command{}, 0, err
	}
	c.Line = line
	if !isPrintable(line) { // a stray carriage return could end a header line of a request to the origin
		return c, used, ErrLine
	}
	var size int
	var duplicate bool
	switch name, rest := cutWord(line); string(name) {
	case "mn":
		c.Kind = Noop
		return c, used, nil
	case "mg":
		c.Kind = Get
		c.Key, rest = cutWord(rest)
		duplicate = c.parseFlags(rest)
	case "ms":
		c.Kind = Set
		c.Key, rest = cutWord(rest)
		var length []byte
		length, rest = cutWord(rest)
		n, ok := parseLength(length)
		if !ok {
			return c, used, ErrLine // without a length, what follows is parsed as a line
		}
		size = n
		duplicate = c.parseFlags(rest)
	default:
		return c, used, ErrLine
	}
	if len(c.Key) == 0 || len(c.Key) > MaxKey || len(c.ID) == 0 || len(c.ID) > MaxID || duplicate {
		err = ErrLine
	}
	if size > maxValue {
		err = ErrLarge
	}
	if size > MaxSkipFactor*maxValue {
		return c, 0, ErrHuge
	}
	if c.Kind != Set {
		return c, used, err
	}
	if err != nil {
		c.SkipBytes = size + 2
		return c, used, err
	}
	if size > maxInline {
		c.LongSize = size
		return c, used, nil
	}
	if len(data) < used+size+2 {
		return Command{}, 0, nil
	}
	c.Value = data[used : used+size]
	if string(data[used+size:used+size+2]) != "\r\n" {
		return c, 0, ErrChunk
	}
	return c, used + size + 2, nil
}

// parseFlags reads the flags that the balancer uses and reports whether one of them occurs twice: a server could use the other
// occurrence.
func (c *Command) parseFlags(rest []byte) (duplicate bool) {
	for f := range words(rest) {
		switch {
		case f[0] == 'O':
			duplicate = duplicate || c.ID != nil
			c.ID = f[1:]
		case f[0] == 'P':
			duplicate = duplicate || c.Info != nil
			c.Info = f[1:]
			// All slices of a line share the end of its buffer, so the difference of their capacities is the offset. Counting back from the
			// rest of the line was off by the spaces after P when a flag followed it, and d was forwarded as another number.
			c.InfoOffset = cap(c.Line) - cap(c.Info)
		}
	}
	return duplicate
}

// cutLine returns the first line; used is 0 if it is incomplete.
func cutLine(data []byte) (line []byte, used int, err error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		if len(data) > MaxLine+1 {
			return nil, 0, ErrFraming
		}
		return nil, 0, nil
	}
	line = data[:end]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	if len(line) > MaxLine {
		return nil, 0, ErrFraming
	}
	return line, end + 1, nil
}

// cutWord splits off the first word of a line; the rest begins with the next word.
func cutWord(line []byte) (first, rest []byte) {
	for len(line) > 0 && line[0] == ' ' {
		line = line[1:]
	}
	end := bytes.IndexByte(line, ' ')
	if end < 0 {
		return line, nil
	}
	first, rest = line[:end], line[end:]
	for len(rest) > 0 && rest[0] == ' ' {
		rest = rest[1:]
	}
	return first, rest
}

// words iterates over the words of a line; none is empty.
func words(rest []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(rest) > 0 {
			var f []byte
			if f, rest = cutWord(rest); len(f) > 0 && !yield(f) {
				return
			}
		}
	}
}

// isPrintable reports whether a line is printable ASCII: servers close the connection on other bytes, whatever is outstanding on it.
func isPrintable(line []byte) bool {
	for _, b := range line {
		if b < ' ' || b >= 0x7f {
			return false
		}
	}
	return true
}

// parseLength parses a length: digits only, without a sign, and few enough that the value could be skipped.
func parseLength(text []byte) (int, bool) {
	if len(text) == 0 || len(text) > 9 {
		return 0, false
	}
	n := 0
	for _, d := range text {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = n*10 + int(d-'0')
	}
	return n, true
}

// FindField finds a name in a list of name=value pairs and returns the position of its value, -1 if it is missing.
func FindField(info []byte, name string) (from, to int) {
	for at := 0; at < len(info); {
		end := len(info)
		if comma := bytes.IndexByte(info[at:], ','); comma >= 0 {
			end = at + comma
		}
		if pair := info[at:end]; len(pair) > len(name) && pair[len(name)] == '=' && string(pair[:len(name)]) == name {
			return at + len(name) + 1, end
		}
		at = end + 1
	}
	return -1, -1
}

// FieldValue returns the value of a field, empty if it is missing.
func FieldValue(info []byte, name string) string {
	from, to := FindField(info, name)
	if from < 0 {
		return ""
	}
	return string(info[from:to])
}

// AppendForwarded appends a command as received, except that the value of the field d becomes remaining. The caller writes a long
// value, and the line end after it.
func AppendForwarded(buf []byte, c *Command, remaining int64) []byte {
	buf = append(buf, c.Line[:c.InfoOffset]...)
	buf = AppendInfo(buf, c.Info, remaining)
	buf = append(append(buf, c.Line[c.InfoOffset+len(c.Info):]...), "\r\n"...)
	if c.Kind == Set && c.LongSize == 0 {
		buf = append(append(buf, c.Value...), "\r\n"...)
	}
	return buf
}

// AppendInfo appends a list of name=value pairs as received, except that the value of the field d becomes remaining.
func AppendInfo(buf, info []byte, remaining int64) []byte {
	from, to := FindField(info, "d")
	if from < 0 {
		return append(buf, info...)
	}
	buf = strconv.AppendInt(append(buf, info[:from]...), remaining, 10)
	return append(buf, info[to:]...)
}

// Status is the result that a response reports.
type Status int

// The results.
const (
	Value  Status = iota + 1 // VA
	Stored                   // HD
	Absent                   // EN
	Busy                     // SERVER_ERROR busy
	Failed                   // any other error line
)

// Response is a parsed response. Its slices refer to the parsed bytes.
type Response struct {
	Status        Status
	ID            []byte // value of flag O
	Value         []byte
	Receipt       []byte // value of flag c
	Hit           byte   // '1' or '0' if the cache reports it, else 0
	FetchInFlight bool   // flag Z: another client already fetches the key
	LongSize      int    // length of a long value, which is not in Value: it follows, and a line end after it
	Announced     int    // length of a value that has yet to arrive whole; the response is incomplete
}

// ParseResponse parses the first response. It returns the number of bytes used, which is 0 if the response is incomplete; if its line is
// complete, the response has what that says. A value of
// more than maxInline bytes is not waited for: only the line is used, and LongSize is the number of bytes that follow, at most
// maxValue.
func ParseResponse(data []byte, maxInline, maxValue int) (a Response, used int, err error) {
	line, used, err := cutLine(data)
	if err != nil {
		return a, 0, ErrResponse
	}
	if used == 0 {
		return a, 0, nil
	}
	name, rest := cutWord(line)
	size := -1
	switch string(name) {
	case "VA":
		var length []byte
		length, rest = cutWord(rest)
		n, ok := parseLength(length)
		if !ok || n > maxValue {
			return a, 0, ErrResponse
		}
		a.Status, size = Value, n
	case "HD":
		a.Status = Stored
	case "EN":
		a.Status = Absent
	case "SERVER_ERROR":
		a.Status = Failed
		var reason []byte
		if reason, rest = cutWord(rest); string(reason) == "busy" {
			a.Status = Busy
		}
	case "ERROR", "CLIENT_ERROR":
		a.Status = Failed
		return a, used, nil
	default:
		return a, 0, ErrResponse
	}
	if !a.parseFlags(rest) {
		return a, 0, ErrResponse
	}
	if (a.Status == Value || a.Status == Stored || a.Status == Absent) && len(a.ID) == 0 {
		return a, 0, ErrResponse // without an ID, its request is unknown
	}
	if size > maxInline {
		a.LongSize = size
		return a, used, nil
	}
	if size >= 0 {
		if len(data) < used+size+2 {
			a.Announced = size
			return a, 0, nil
		}
		a.Value = data[used : used+size]
		if string(data[used+size:used+size+2]) != "\r\n" {
			return a, 0, ErrResponse
		}
		used += size + 2
	}
	return a, used, nil
}

// parseFlags reads the flags up to the load report, which ends the line and may contain anything. It reports whether they are valid:
// none of those read here may occur twice.
func (a *Response) parseFlags(rest []byte) bool {
	for f := range words(rest) {
		switch {
		case f[0] == 'L':
			return true
		case f[0] == 'O':
			if a.ID != nil {
				return false
			}
			a.ID = f[1:]
		case f[0] == 'c':
			if a.Receipt != nil {
				return false
			}
			a.Receipt = f[1:]
		case f[0] == 'h' && len(f) == 2 && (f[1] == '0' || f[1] == '1'):
			a.Hit = f[1]
		case f[0] == 'Z':
			a.FetchInFlight = len(f) == 1
		}
	}
	return true
}

// AppendValue appends the successful response to a read.
func AppendValue(buf, id, value []byte) []byte {
	return append(append(AppendValueLine(buf, id, len(value)), value...), "\r\n"...)
}

// AppendValueLine appends the first line of such a response; the value and a line end follow.
func AppendValueLine(buf, id []byte, size int) []byte {
	buf = strconv.AppendInt(append(buf, "VA "...), int64(size), 10)
	return append(append(append(buf, " O"...), id...), "\r\n"...)
}

// AppendStored appends the successful response to a write.
func AppendStored(buf, id, receipt []byte) []byte {
	buf = append(append(buf, "HD O"...), id...)
	buf = append(append(buf, " c"...), receipt...)
	return append(buf, "\r\n"...)
}

// AppendBusy appends a refusal, with the number of milliseconds after which the client should retry if it is positive.
func AppendBusy(buf []byte, retryAfterMS int64) []byte {
	buf = append(buf, "SERVER_ERROR busy"...)
	if retryAfterMS > 0 {
		buf = strconv.AppendInt(append(buf, ' '), retryAfterMS, 10)
	}
	return append(buf, "\r\n"...)
}
