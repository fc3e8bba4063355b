package node

import (
	"bytes"
	"time"

	"lapisshelf/internal/meta"
	"lapisshelf/policy"
)

// cacheProtocol speaks the meta commands to a cache server.
type cacheProtocol struct{ perConn int }

func (p cacheProtocol) pipelines() bool { return p.perConn > 1 }

// request is the client's command as it came, with the node's own wait.
func (cacheProtocol) request(buf []byte, t *attempt, wait time.Duration) []byte {
	return meta.AppendForwarded(buf, &t.request.command, told(wait))
}

// told is how long the node waits, as an attempt tells it: in whole milliseconds, at least one.
func told(wait time.Duration) int64 { return max(1, wait.Milliseconds()) }

func (cacheProtocol) behind() string { return "\r\n" }

func (cacheProtocol) answer(data []byte, t *attempt, _ int, _ bool) (response, int, error) {
	m, used, err := meta.ParseResponse(data, meta.MaxValue, meta.MaxLongValue)
	if err != nil || used == 0 {
		return response{}, 0, err
	}
	if t != nil {
		c := &t.request.command
		switch {
		case len(m.ID) > 0 && !bytes.Equal(m.ID, c.ID): // another request's answer
			return response{}, 0, meta.ErrResponse
		case m.Status == meta.Value && c.Kind != meta.Get, m.Status == meta.Stored && c.Kind != meta.Set:
			return response{}, 0, meta.ErrResponse // an answer to another kind of request
		}
	}
	a := response{value: m.Value, receipt: m.Receipt, longSize: m.LongSize, trailer: "\r\n"}
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
