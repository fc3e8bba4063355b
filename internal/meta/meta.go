// Package meta parses and writes the meta commands of the memcache text protocol, as far as a balancer needs them.
// It does no I/O: it is given the bytes that have come and says how many it has used.
package meta

import (
	"bytes"
	"errors"
	"iter"
	"strconv"
)

// Limits of what is taken in.
const (
	MaxLine       = 4096     // bytes of a line, without its end
	MaxKey        = 250      // bytes of a key
	MaxValue      = 64 << 10 // bytes of a value, usually; the caller says how many it has room for
	MaxLongValue  = 4 << 20  // bytes of a value that goes through in pieces
	MaxSkipFactor = 4        // times that room: a larger value is not passed over
	MaxID         = 64       // bytes of a request's id
)

// What can be wrong with a command.
var (
	ErrLine     = errors.New("bad command line format") // the next command follows
	ErrFraming  = errors.New("line too long")           // where the next command begins is not known
	ErrLarge    = errors.New("object too large for cache")
	ErrHuge     = errors.New("object far too large") // not worth reading to its end
	ErrChunk    = errors.New("bad data chunk")       // the value did not end where it should
	ErrResponse = errors.New("malformed answer")
)

// Kind is a command's name.
type Kind int

// The commands that clients send.
const (
	Get  Kind = iota + 1 // mg
	Set                  // ms
	Noop                 // mn
)

// Command is one command. Its slices are parts of the bytes that were parsed.
type Command struct {
	Kind       Kind
	Line       []byte // as it came, without its end
	Key        []byte
	ID         []byte // what O holds
	Info       []byte // what P holds: names and values
	Value      []byte // of a Set
	InfoOffset int    // where Info stands in Line
	LongSize   int    // bytes of a Set's long value, which is not in Value: it follows, and a line end behind it
	// SkipBytes is the number of further bytes that belong to a bad command and are to be passed over.
	SkipBytes int
}

// ParseCommand parses the first command. It returns how many bytes that took: 0 when more must come first. A value of more than
// whole bytes is not waited for: only the line is used, and Long says how many follow; there may be most. With an error the bytes hold a bad command, which has been used up; where used is 0 nobody
// knows where the next one begins, or it is too far off.
func ParseCommand(data []byte, whole, most int) (c Command, used int, err error) {
	line, used, err := cutLine(data)
	if used == 0 || err != nil {
		return Command{}, 0, err
	}
	c.Line = line
	if !plain(line) { // a stray carriage return could end a header line towards the origin
		return c, used, ErrLine
	}
	var size int
	var twice bool
	switch name, rest := word(line); string(name) {
	case "mn":
		c.Kind = Noop
		return c, used, nil
	case "mg":
		c.Kind = Get
		c.Key, rest = word(rest)
		twice = c.flags(rest)
	case "ms":
		c.Kind = Set
		c.Key, rest = word(rest)
		var length []byte
		length, rest = word(rest)
		n, ok := number(length)
		if !ok {
			return c, used, ErrLine // no length: what follows is taken for a line
		}
		size = n
		twice = c.flags(rest)
	default:
		return c, used, ErrLine
	}
	if len(c.Key) == 0 || len(c.Key) > MaxKey || len(c.ID) == 0 || len(c.ID) > MaxID || twice {
		err = ErrLine
	}
	if size > most {
		err = ErrLarge
	}
	if size > MaxSkipFactor*most {
		return c, 0, ErrHuge
	}
	if c.Kind != Set {
		return c, used, err
	}
	if err != nil {
		c.SkipBytes = size + 2
		return c, used, err
	}
	if size > whole {
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

// flags takes the flags that the balancer reads and reports whether one of them stands twice: a server could take the
// other for the one that is meant.
func (c *Command) flags(rest []byte) (twice bool) {
	for f := range words(rest) {
		switch {
		case f[0] == 'O':
			twice = twice || c.ID != nil
			c.ID = f[1:]
		case f[0] == 'P':
			twice = twice || c.Info != nil
			c.Info = f[1:]
			// Parts of one line end where its buffer ends. Guards against counting back from the rest of the line, which
			// was off by the spaces behind P when a flag follows it: d then went on as another number.
			c.InfoOffset = cap(c.Line) - cap(c.Info)
		}
	}
	return twice
}

// cutLine takes the first line; used is 0 when it has not come whole.
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

// word takes the first word off a line; the rest begins with the next word.
func word(line []byte) (first, rest []byte) {
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

// words gives the words of the rest of a line one by one; none is empty.
func words(rest []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(rest) > 0 {
			var f []byte
			if f, rest = word(rest); len(f) > 0 && !yield(f) {
				return
			}
		}
	}
}

// plain reports whether a line is printable ASCII: servers close on what they can't read, whatever else waits there.
func plain(line []byte) bool {
	for _, b := range line {
		if b < ' ' || b >= 0x7f {
			return false
		}
	}
	return true
}

// number reads a length; no sign, and nothing that a value could not be skipped by.
func number(text []byte) (int, bool) {
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

// FindField finds a name among names and values and tells where its value stands in info: -1 where it is not there.
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

// FieldValue is a field's value, empty where it is not there.
func FieldValue(info []byte, name string) string {
	from, to := FindField(info, name)
	if from < 0 {
		return ""
	}
	return string(info[from:to])
}

// AppendForwarded writes a command as it came, but for the value of the field d, which becomes wait. A long value is the
// caller's to write, and the line end behind it.
func AppendForwarded(buf []byte, c *Command, wait int64) []byte {
	buf = append(buf, c.Line[:c.InfoOffset]...)
	buf = AppendInfo(buf, c.Info, wait)
	buf = append(append(buf, c.Line[c.InfoOffset+len(c.Info):]...), "\r\n"...)
	if c.Kind == Set && c.LongSize == 0 {
		buf = append(append(buf, c.Value...), "\r\n"...)
	}
	return buf
}

// AppendInfo writes a list of names and values as it came, but for the value of the field d, which becomes wait.
func AppendInfo(buf, info []byte, wait int64) []byte {
	from, to := FindField(info, "d")
	if from < 0 {
		return append(buf, info...)
	}
	buf = strconv.AppendInt(append(buf, info[:from]...), wait, 10)
	return append(buf, info[to:]...)
}

// Status is what a cache's answer says.
type Status int

// The answers.
const (
	Value  Status = iota + 1 // VA
	Stored                   // HD
	Absent                   // EN
	Busy                     // SERVER_ERROR busy
	Failed                   // any other error line
)

// Response is one answer. Its slices are parts of the bytes that were parsed.
type Response struct {
	Status        Status
	ID            []byte
	Value         []byte
	Receipt       []byte
	Hit           byte // '1' or '0' where the cache tells, else 0
	FetchInFlight bool // Z: another fetch of the key is out
	LongSize      int  // bytes of a long value, which is not in Value: it follows, and a line end behind it
}

// ParseResponse parses the first answer. It returns how many bytes that took: 0 when more must come first. A value of more
// than whole bytes is not waited for: only the line is used, and Long says how many follow; there may be most.
func ParseResponse(data []byte, whole, most int) (a Response, used int, err error) {
	line, used, err := cutLine(data)
	if err != nil {
		return a, 0, ErrResponse
	}
	if used == 0 {
		return a, 0, nil
	}
	name, rest := word(line)
	size := -1
	switch string(name) {
	case "VA":
		var length []byte
		length, rest = word(rest)
		n, ok := number(length)
		if !ok || n > most {
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
		if reason, rest = word(rest); string(reason) == "busy" {
			a.Status = Busy
		}
	case "ERROR", "CLIENT_ERROR":
		a.Status = Failed
		return a, used, nil
	default:
		return a, 0, ErrResponse
	}
	if !a.flags(rest) {
		return a, 0, ErrResponse
	}
	if (a.Status == Value || a.Status == Stored || a.Status == Absent) && len(a.ID) == 0 {
		return a, 0, ErrResponse // which request it answers must be told
	}
	if size > whole {
		a.LongSize = size
		return a, used, nil
	}
	if size >= 0 {
		if len(data) < used+size+2 {
			return Response{}, 0, nil
		}
		a.Value = data[used : used+size]
		if string(data[used+size:used+size+2]) != "\r\n" {
			return a, 0, ErrResponse
		}
		used += size + 2
	}
	return a, used, nil
}

// flags takes the flags up to the load report, which ends the line and may hold anything. It reports whether they make
// sense: none of those read here stands twice.
func (a *Response) flags(rest []byte) bool {
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

// AppendValue writes the answer that serves a read.
func AppendValue(buf, id, value []byte) []byte {
	return append(append(AppendValueLine(buf, id, len(value)), value...), "\r\n"...)
}

// AppendValueLine writes the line of such an answer, behind which the value follows and a line end.
func AppendValueLine(buf, id []byte, size int) []byte {
	buf = strconv.AppendInt(append(buf, "VA "...), int64(size), 10)
	return append(append(append(buf, " O"...), id...), "\r\n"...)
}

// AppendStored writes the answer that serves a write.
func AppendStored(buf, id, receipt []byte) []byte {
	buf = append(append(buf, "HD O"...), id...)
	buf = append(append(buf, " c"...), receipt...)
	return append(buf, "\r\n"...)
}

// AppendBusy writes a refusal, with the milliseconds after which the client should come again if there are any.
func AppendBusy(buf []byte, comeBack int64) []byte {
	buf = append(buf, "SERVER_ERROR busy"...)
	if comeBack > 0 {
		buf = strconv.AppendInt(append(buf, ' '), comeBack, 10)
	}
	return append(buf, "\r\n"...)
}
