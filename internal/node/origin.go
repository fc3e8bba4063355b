package node

import (
	"bytes"
	"net/url"
	"strconv"
	"time"

	"lapisshelf/internal/httpc"
	"lapisshelf/internal/meta"
	"lapisshelf/policy"
)

// originProtocol is HTTP/1.1 without pipelining, for the origin.
type originProtocol struct{ host string }

func (originProtocol) namesRequests() bool { return false }

func (originProtocol) canPipeline() bool { return false }

// appendRequest appends a GET or PUT of the key. The request's name=value fields are forwarded unchanged but for the timeout, which is
// how long the node waits: a fetch begins only after a cache has answered, and with the client's own timeout the origin would work
// for clients that have left.
func (p originProtocol) appendRequest(buf []byte, t *attempt, wait time.Duration) []byte {
	c := &t.request.command
	target := "/" + url.PathEscape(string(c.Key))
	headers := []httpc.Header{{Name: "Request-Id", Value: string(c.ID)}, {Name: "Request-Info", Value: string(meta.AppendInfo(nil, c.Info, timeoutMillis(wait)))}}
	if c.LongSize > 0 {
		headers = append(headers, httpc.Header{Name: "Content-Length", Value: strconv.Itoa(c.LongSize)})
		return httpc.AppendRequest(buf, "PUT", target, p.host, headers, nil)
	}
	if c.Kind == meta.Set {
		body := c.Value
		if body == nil {
			body = []byte{}
		}
		return httpc.AppendRequest(buf, "PUT", target, p.host, headers, body)
	}
	return httpc.AppendRequest(buf, "GET", target, p.host, headers, nil)
}

func (originProtocol) bodySuffix() string { return "" }

func (originProtocol) parseAnswer(data []byte, t *attempt, maxValue int, eof bool) (response, int, error) {
	h, length, used, err := httpc.ResponseHead(data)
	if err == nil && used > 0 && h.Status == 200 && length > meta.MaxValue && length <= meta.MaxLongValue && (t == nil || t.request.command.Kind == meta.Get) {
		return response{outcome: policy.OK, longSize: length, close: h.Close}, used, nil
	}
	if h, used, err = httpc.ParseResponse(data, maxValue, eof); err != nil || used == 0 {
		return response{announced: max(0, length)}, 0, err
	}
	a := response{close: h.Close}
	switch {
	case h.Status == 200 && t != nil && t.request.command.Kind == meta.Set:
		a.outcome, a.stored, a.receipt = policy.OK, true, bytes.TrimSpace(h.Body)
		if bytes.ContainsFunc(a.receipt, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
			return response{}, 0, meta.ErrResponse // a receipt with spaces or control characters would break the answer line to the client
		}
	case h.Status == 200:
		a.outcome, a.value = policy.OK, h.Body
	case (h.Status == 503 || h.Status == 504) && string(h.Header("Not-Started")) == "1":
		a.outcome = policy.Full
	default: // 500 and all others: no promise that nothing ran
		a.outcome = policy.Errored
	}
	return a, used, nil
}
