package registry

import "errors"

// objectSplitter cuts a stream of JSON objects, one behind the other, into single ones. It knows strings and braces and nothing
// else of JSON; what it cuts out must still be parsed.
type objectSplitter struct {
	maxBytes int // bytes of one object
	buf      []byte
	depth    int
	inString bool
	escaped  bool
}

var errBadObject = errors.New("an endless or senseless object")

// feed takes what has come and gives each whole object to take, which gets it for the time of the call.
func (o *objectSplitter) feed(data []byte, take func([]byte) error) error {
	for _, b := range data {
		if o.depth == 0 {
			switch b {
			case ' ', '\t', '\r', '\n', ',':
				continue // between objects
			case '{':
			default:
				return errBadObject
			}
		}
		if o.buf = append(o.buf, b); len(o.buf) > o.maxBytes {
			return errBadObject
		}
		switch {
		case o.escaped:
			o.escaped = false
		case o.inString:
			o.escaped, o.inString = b == '\\', b != '"'
		case b == '"':
			o.inString = true
		case b == '{', b == '[':
			o.depth++
		case b == '}', b == ']':
			if o.depth--; o.depth == 0 {
				if err := take(o.buf); err != nil {
					return err
				}
				o.buf = o.buf[:0]
			}
		}
	}
	if o.depth == 0 && cap(o.buf) > 64<<10 {
		o.buf = nil // a large one's room is not kept for the stream's life
	}
	return nil
}
