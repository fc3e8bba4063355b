// Package simhost runs the policy behind the simulator's protocol, with a separate policy.Balancer for each
// instance.
package simhost

import (
	"errors"
	"fmt"
	"io"
	"time"

	"lapisshelf/internal/simwire"
	"lapisshelf/policy"
)

// balancer handles the events of one instance. policy.Balancer implements it.
type balancer interface {
	Members(now time.Duration, kind policy.ListKind, list []policy.Server)
	Request(now time.Duration, q policy.Request)
	ResponseStarted(now time.Duration, id string, n int)
	Result(now time.Duration, res policy.Result)
	Abandoned(now time.Duration, id string)
	Timer(now time.Duration, token string)
	Probed(now time.Duration, server string, ok bool, rep policy.Report)
}

// newBalancer returns an instance's balancer. Tests replace it.
var newBalancer = func(now time.Duration, set policy.Settings, seed uint64, act policy.Actions) balancer {
	return policy.New(now, set, seed, act)
}

// Run reads batches from in and writes the replies to out until the input ends. Malformed input is an error, and the
// batch that contains it gets no reply.
func Run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), simwire.NewWriter(out)
	instances := map[string]balancer{}
	for {
		batch, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i, e := range batch.Events {
			if err := deliver(instances, w, batch.Now, e); err != nil {
				return fmt.Errorf("batch %d, event %d: %w", batch.Number, i+1, err)
			}
		}
		if err := w.Close(batch.Number); err != nil {
			return err
		}
	}
}

// deliver passes one event to its instance. A panic of the balancer is reported as a crash of that instance alone.
func deliver(instances map[string]balancer, w *simwire.Writer, now time.Duration, e simwire.Event) error {
	actor := simwire.Actor{Writer: w, Instance: e.Instance}
	defer func() {
		if p := recover(); p != nil {
			actor.Crash(fmt.Sprint("the decision module failed: ", p))
		}
	}()
	if e.Kind == simwire.Start {
		instances[e.Instance] = newBalancer(now, e.Settings, e.Seed, actor)
		return nil
	}
	b := instances[e.Instance]
	if b == nil {
		return fmt.Errorf("event for instance %q, which has not started", e.Instance)
	}
	switch e.Kind {
	case simwire.Stop:
		delete(instances, e.Instance)
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
