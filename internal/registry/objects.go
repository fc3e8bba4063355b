package registry

import "errors"

// objects cuts a stream of JSON objects, one behind the other, into single ones. It knows strings and braces and nothing
// else of JSON; what it cuts out must still be parsed.
type objects struct {
	most  int // bytes of one object
	kept  []byte
	depth int
	quote bool
	slash bool
}

var errObject = errors.New("an endless or senseless object")

// feed takes what has come and gives each whole object to take, which gets it for the time of the call.
func (o *objects) feed(data []byte, take func([]byte) error) error {
	for _, b := range data {
		if o.depth == 0 {
			switch b {
			case ' ', '\t', '\r', '\n', ',':
				continue // between objects
			case '{':
			default:
				return errObject
			}
		}
		if o.kept = append(o.kept, b); len(o.kept) > o.most {
			return errObject
		}
		switch {
		case o.slash:
			o.slash = false
		case o.quote:
			o.slash, o.quote = b == '\\', b != '"'
		case b == '"':
			o.quote = true
		case b == '{', b == '[':
			o.depth++
		case b == '}', b == ']':
			if o.depth--; o.depth == 0 {
				if err := take(o.kept); err != nil {
					return err
				}
				o.kept = o.kept[:0]
			}
		}
	}
	if o.depth == 0 && cap(o.kept) > 64<<10 {
		o.kept = nil // a large one's room is not kept for the stream's life
	}
	return nil
}
