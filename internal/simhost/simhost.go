// Package simhost hosts the decision module on the simulator's wire: one policy.Balancer for each instance,
// none of which can see another.
package simhost

import (
	"errors"
	"fmt"
	"io"
	"time"

	"lapisshelf/internal/simwire"
	"lapisshelf/policy"
)

// balancer is what an instance must handle; policy.Balancer does.
type balancer interface {
	Members(now time.Duration, kind policy.ListKind, list []policy.Server)
	Request(now time.Duration, q policy.Request)
	ResponseStarted(now time.Duration, id string, n int)
	Result(now time.Duration, res policy.Result)
	Abandoned(now time.Duration, id string)
	Timer(now time.Duration, token string)
	Probed(now time.Duration, server string, ok bool, rep policy.Report)
}

// newBalancer starts an instance's balancer; tests put a broken one in its place.
var newBalancer = func(now time.Duration, set policy.Settings, seed uint64, act policy.Actions) balancer {
	return policy.New(now, set, seed, act)
}

// Run answers batches from in on out until the input ends. Malformed input is an error; the batch that
// holds it gets no reply at all.
func Run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), simwire.NewWriter(out)
	nodes := map[string]balancer{}
	for {
		batch, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i, e := range batch.Events {
			if err := deliver(nodes, w, batch.Now, e); err != nil {
				return fmt.Errorf("batch %d, event %d: %w", batch.Number, i+1, err)
			}
		}
		if err := w.Close(batch.Number); err != nil {
			return err
		}
	}
}

// deliver hands one event to its instance. A panic of the module is reported as that instance's crash.
func deliver(nodes map[string]balancer, w *simwire.Writer, now time.Duration, e simwire.Event) error {
	actor := simwire.Actor{Writer: w, Instance: e.Instance}
	defer func() {
		if p := recover(); p != nil {
			actor.Crash(fmt.Sprint("the decision module failed: ", p))
		}
	}()
	if e.Kind == simwire.Start {
		nodes[e.Instance] = newBalancer(now, e.Settings, e.Seed, actor)
		return nil
	}
	b := nodes[e.Instance]
	if b == nil {
		return fmt.Errorf("event for instance %q, which has not started", e.Instance)
	}
	switch e.Kind {
	case simwire.Stop:
		delete(nodes, e.Instance)
	case simwire.List:
		b.Members(now, e.ListKind, e.Entries)
	case simwire.Request:
		b.Request(now, e.Request)
	case simwire.FirstByte:
		b.ResponseStarted(now, e.ID, e.Attempt)
	case simwire.Result:
		b.Result(now, e.Result)
	case simwire.Abandoned:
		b.Abandoned(now, e.ID)
	case simwire.Probed:
		b.Probed(now, e.Server, e.Passed, e.Report)
	case simwire.Timer:
		b.Timer(now, e.Token)
	}
	return nil
}
