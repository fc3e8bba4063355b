package node

import (
	"bytes"
	"time"

	"lapisshelf/internal/meta"
	"lapisshelf/policy"
)

// cacheProtocol is the text protocol of cache servers (package meta).
type cacheProtocol struct{ maxPipelined int }

func (cacheProtocol) namesRequests() bool { return true }

func (p cacheProtocol) canPipeline() bool { return p.maxPipelined > 1 }

// appendRequest forwards the client's command unchanged but for the timeout, which is how long the node waits.
func (cacheProtocol) appendRequest(buf []byte, t *attempt, wait time.Duration) []byte {
	return meta.AppendForwarded(buf, &t.request.command, timeoutMillis(wait))
}

// timeoutMillis converts how long the node waits to the timeout stated in requests: whole milliseconds, at least one.
func timeoutMillis(wait time.Duration) int64 { return max(1, wait.Milliseconds()) }

func (cacheProtocol) bodySuffix() string { return "\r\n" }

func (cacheProtocol) parseAnswer(data []byte, t *attempt, _ int, _ bool) (response, int, error) {
	m, used, err := meta.ParseResponse(data, meta.MaxValue, meta.MaxLongValue)
	if err != nil {
		return response{}, 0, err
	}
	if t != nil { // also while the value is incomplete, which may never end
		c := &t.request.command
		switch {
		case len(m.ID) > 0 && !bytes.Equal(m.ID, c.ID): // another request's answer
			return response{}, 0, meta.ErrResponse
		case m.Status == meta.Value && c.Kind != meta.Get, m.Status == meta.Stored && c.Kind != meta.Set:
			return response{}, 0, meta.ErrResponse // answer to another kind of request
		}
	}
	if used == 0 {
		return response{announced: m.Announced}, 0, nil
	}
	a := response{value: m.Value, receipt: m.Receipt, longSize: m.LongSize, trailer: "\r\n", named: len(m.ID) > 0}
	switch m.Status {
	case meta.Value:
		a.outcome = policy.OK
	case meta.Stored:
		a.outcome, a.stored = policy.OK, true
	case meta.Absent:
		a.outcome = policy.Miss
	case meta.Busy:
		a.outcome = policy.Full
	default:
		a.outcome = policy.Errored
	}
	switch {
	case m.FetchInFlight:
		a.cacheStatus = policy.CacheFetching
	case m.Hit == '1':
		a.cacheStatus = policy.CacheHit
	case m.Hit == '0':
		a.cacheStatus = policy.CacheMiss
	}
	return a, used, nil
}
