package registry

import "errors"

// objectSplitter splits a stream of concatenated JSON objects into single objects. It recognizes only strings, braces and brackets,
// so its output must still be parsed.
type objectSplitter struct {
	maxBytes int    // maximum size of one object
	buf      []byte // the object received so far
	depth    int    // of nested objects and arrays; 0 between objects
	inString bool
	escaped  bool // the next byte follows a backslash
}

var errBadObject = errors.New("invalid or too large JSON object")

// feed processes received data and calls take with each complete object, which is valid only during the call.
func (o *objectSplitter) feed(data []byte, take func([]byte) error) error {
	for _, b := range data {
		if o.depth == 0 {
			switch b {
			case ' ', '\t', '\r', '\n', ',':
				continue // separator between objects
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
		o.buf = nil // a large buffer is not kept for the lifetime of the stream
	}
	return nil
}
