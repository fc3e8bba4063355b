package fleet

import (
	"time"

	"lapisshelf/lab/experiment"
	"lapisshelf/lab/fault"
	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
	"lapisshelf/policy"
)

// cache is one simulated cache server.
type cache struct {
	sim         *sim
	name        string
	id          string
	model       *world.Cache
	jobs        map[uint64]*job
	serial      uint64
	nextAt      time.Duration // time of the scheduled advance; 0: none
	stopped     bool
	refusing    bool
	silent      bool
	hung        bool
	answersBusy bool
	fellOver    bool
	member      world.Member
}

type job struct {
	node *node
	a    *attempt
}

func (s *sim) addCache(v *experiment.Server, cold bool) *cache {
	c := &cache{sim: s, name: v.Name, id: v.ID, model: world.NewCache(v.Spec, s.exp.Seed), jobs: map[uint64]*job{}, member: v.Member}
	s.caches[v.Name], s.byID[v.ID] = c, c
	if cold {
		c.model.Start(s.now, true)
	}
	c.recordStart(v, cold)
	return c
}

func (c *cache) recordStart(v *experiment.Server, cold bool) {
	st := seen.ServerStart{Server: c.id, Name: c.name, Cold: cold, Capacity: float64(v.Spec.Cores) * v.Spec.Speed}
	if cold {
		st.At = c.sim.now
	}
	c.sim.record.ServerStarts = append(c.sim.record.ServerStarts, st)
}

// arrive handles an attempt that reaches a server.
func (s *sim) arrive(n *node, a *attempt) {
	if s.origin != nil && a.record.Server == s.exp.OriginID() {
		s.origin.arrive(n, a)
		return
	}
	c := s.byID[a.record.Server]
	switch {
	case c == nil || c.stopped || c.refusing || c.id != a.record.Server:
		s.deliver(func() { n.attemptEnded(a, policy.ConnectFailed, 0) })
		return
	case c.silent: // a new connection is never established
		s.scheduleAfter(s.exp.Service.ConnectTimeout.D(), func() { n.attemptEnded(a, policy.ConnectFailed, 0) })
		return
	case a.done:
		return
	}
	t, r := a.request.try.record, a.record
	r.FirstByteAt, r.LastByteAt = s.now, s.now
	class := a.request.try.class
	r.Work = world.WorkOf(s.exp.Seed, class, t.ID)
	r.Capacity, r.Cold = c.model.Capacity(s.now), c.model.Cold(s.now)
	s.record.Attempts = append(s.record.Attempts, r)
	if c.hung {
		return
	}
	if c.answersBusy {
		c.reply(n, a, policy.Full, 0, seen.Busy)
		return
	}
	c.serial++
	token := c.serial
	switch c.model.Offer(s.now, world.Job{Token: token, Key: t.Key, Work: r.Work, Write: t.Write, Size: s.valueSize(t, class), Idem: t.Idem}) {
	case world.Accepted:
		c.jobs[token] = &job{n, a}
		a.cancelAtServer = func() {
			if c.jobs[token] != nil {
				delete(c.jobs, token)
				c.model.Cancel(s.now, token)
				c.scheduleNext()
			}
		}
	case world.Busy:
		c.reply(n, a, policy.Full, 0, seen.Busy)
	}
	c.advance()
}

// reply sends an attempt's answer back.
func (c *cache) reply(n *node, a *attempt, o policy.Outcome, status policy.CacheStatus, answer seen.ServerAnswer) {
	s := c.sim
	if c.silent {
		return
	}
	if a.record.ClosedAt == 0 {
		a.record.Answer, a.record.AnsweredAt = answer, s.now
	}
	s.deliver(func() { n.attemptEnded(a, o, status) })
}

// advance advances the model to now and handles what it has completed.
func (c *cache) advance() {
	s := c.sim
	completions, originRequests := c.model.Advance(s.now)
	for _, d := range completions {
		j := c.jobs[d.Token]
		if j == nil {
			continue
		}
		delete(c.jobs, d.Token)
		r := j.a.record
		switch d.Outcome {
		case world.Hit, world.Fetched:
			r.Version = d.Version
			status := policy.CacheHit
			if d.Outcome == world.Fetched {
				status = policy.CacheMiss
			}
			c.reply(j.node, j.a, policy.OK, c.reportedStatus(status), seen.Value)
		case world.Stored:
			r.Receipt = d.Receipt
			c.reply(j.node, j.a, policy.OK, 0, seen.Receipt)
		case world.Failed:
			c.reply(j.node, j.a, policy.Errored, c.reportedStatus(policy.CacheMiss), seen.Error)
		default:
			status := policy.CacheMiss
			if d.Outcome == world.Fetching {
				status = policy.CacheFetching
			}
			j.a.request.missedAt = append(j.a.request.missedAt, c)
			c.reply(j.node, j.a, policy.Miss, c.reportedStatus(status), seen.NoValue)
		}
	}
	for _, a := range originRequests {
		if j := c.jobs[a.Token]; j != nil {
			s.origin.fetch(c, a, j)
		}
	}
	if c.model.FellOver() && !c.fellOver {
		c.fellOver = true
		s.record.FallOvers = append(s.record.FallOvers, seen.Event{At: s.now, Text: c.id})
		s.record.Events = append(s.record.Events, seen.Event{At: s.now, Text: c.name + " falls over"})
		c.crash()
	}
	c.scheduleNext()
}

func (c *cache) reportedStatus(n policy.CacheStatus) policy.CacheStatus {
	if !*c.sim.exp.Service.Hits {
		return policy.CacheUnreported
	}
	return n
}

// scheduleNext schedules an advance at the model's next event.
func (c *cache) scheduleNext() {
	at, ok := c.model.Next()
	if !ok || c.nextAt > 0 && c.nextAt <= at {
		return
	}
	c.nextAt = at
	c.sim.schedule(at, func() {
		if c.nextAt == at {
			c.nextAt = 0
			c.advance()
		}
	})
}

// crash ends the process; its connections are reset.
func (c *cache) crash() {
	s := c.sim
	c.stopped = true
	c.model.Stop(s.now)
	for _, j := range c.jobs {
		if j.a.record.ClosedAt == 0 {
			j.a.record.ClosedAt = s.now
		}
		s.deliver(func() { j.node.attemptEnded(j.a, policy.Reset, 0) })
	}
	c.jobs = map[uint64]*job{}
}

func (s *sim) applyToServer(a fault.Action) {
	c := s.caches[a.Server]
	v := s.exp.Server(a.Server)
	if a.Kind == fault.StartNew {
		c = s.addCache(v, a.Value != 0)
		s.setEntry(c, v, world.Serving)
		return
	}
	if c == nil {
		return
	}
	on := a.Value != 0
	switch a.Kind {
	case fault.Kill:
		c.crash()
	case fault.Restart:
		if a.NewName != "" {
			v = s.exp.Server(a.NewName)
			delete(s.byID, c.id)
			c.id = v.ID
			s.caches[a.NewName], s.byID[c.id] = c, c
		}
		c.stopped, c.refusing, c.silent, c.hung, c.answersBusy, c.fellOver = false, false, false, false, false, false
		c.model.Start(s.now, on)
		c.recordStart(v, on)
		s.setEntry(c, v, world.Serving)
	case fault.Silent:
		c.silent = on
		if on {
			for _, j := range c.jobs {
				j.a.record.ConnStateUnknown = true
			}
			return
		}
		for _, j := range c.jobs { // when the server is back, its old connections are reset
			s.deliver(func() { j.node.attemptEnded(j.a, policy.Reset, 0) })
		}
	case fault.Hang:
		c.hung = on
	case fault.Refuse:
		c.refusing = on
	case fault.AnswerBusy:
		c.answersBusy = on
	case fault.Slow:
		c.model.Slow(s.now, a.Value)
	case fault.Steal:
		c.model.Steal(s.now, a.Value)
	case fault.Pause:
		c.model.Pause(s.now, on)
	case fault.Flush:
		c.model.Flush(a.Value)
	case fault.Drain:
		s.setEntry(c, v, world.Draining)
	case fault.ListRemove:
		c.model.Drain(s.now, true)
		s.setEntry(c, v, world.Deleted)
	}
	if !c.stopped {
		c.advance()
	}
}

// setEntry changes a server's entry in the list.
func (s *sim) setEntry(c *cache, v *experiment.Server, phase world.Phase) {
	m := v.Member
	m.ID, m.Phase = c.id, phase
	if began, cold := c.model.Started(); cold {
		m.Started = began
	}
	s.setMember(m)
}

// origin is the simulated origin behind the caches.
type origin struct {
	sim        *sim
	model      *world.Origin
	serial     uint64
	nextAt     time.Duration
	jobs       map[uint64]*job
	requestIDs map[uint64]string
	fetches    map[uint64]func(world.Completion, bool)
}

func newOrigin(s *sim) *origin {
	return &origin{sim: s, model: world.NewOrigin(s.exp.OriginSpec(), s.exp.Seed), jobs: map[uint64]*job{}, requestIDs: map[uint64]string{},
		fetches: map[uint64]func(world.Completion, bool){}}
}

// offer submits a job to the model and returns its token and whether it was accepted.
func (o *origin) offer(t *seen.Attempt, size int) (uint64, world.Admission) {
	s := o.sim
	o.serial++
	o.requestIDs[o.serial] = t.Request
	stops := o.model.StopCount()
	admission, work := o.model.Offer(s.now, world.Job{Token: o.serial, Key: t.Key, Write: t.Write, Size: size, Idem: t.Idem})
	t.Work, t.Capacity = work, o.model.Capacity()
	if o.model.StopCount() > stops {
		s.record.OriginStops = append(s.record.OriginStops, seen.Event{At: s.now, Text: "origin"})
		s.record.Events = append(s.record.Events, seen.Event{At: s.now, Text: "the origin stops: too much was asked"})
	}
	if admission != world.Accepted {
		delete(o.requestIDs, o.serial)
	}
	return o.serial, admission
}

// arrive handles a node's attempt at the origin.
func (o *origin) arrive(n *node, a *attempt) {
	s := o.sim
	if a.done {
		return
	}
	r := a.record
	r.Origin, r.FirstByteAt, r.LastByteAt = true, s.now, s.now
	s.record.Attempts = append(s.record.Attempts, r)
	token, admission := o.offer(r, 0)
	switch admission {
	case world.Accepted:
		o.jobs[token] = &job{n, a}
		a.cancelAtServer = func() {
			if o.jobs[token] != nil {
				delete(o.jobs, token)
				o.model.Cancel(s.now, token)
				o.scheduleNext()
			}
		}
	case world.Busy:
		r.Answer, r.AnsweredAt = seen.Busy, s.now
		s.deliver(func() { n.attemptEnded(a, policy.Full, 0) })
	default:
		r.ClosedAt = s.now
		s.deliver(func() { n.attemptEnded(a, policy.ConnectFailed, 0) })
	}
	o.advance()
}

// fetch handles a cache's own request, in through mode.
func (o *origin) fetch(c *cache, a world.OriginRequest, j *job) {
	s := o.sim
	t := &seen.Attempt{Server: s.exp.OriginID(), Origin: true, Request: j.a.record.Request, Key: a.Key, Write: a.Write, Idem: a.Idem}
	model := c.model
	end := func(d world.Completion, ok bool) {
		if !ok {
			d = world.Completion{Outcome: world.Failed}
		}
		s.deliver(func() {
			if !c.stopped && c.model == model {
				c.model.OriginAnswered(s.now, a.Token, d)
				c.advance()
			}
		})
	}
	token, admission := o.offer(t, 0)
	if admission == world.Accepted {
		o.fetches[token] = end
	} else {
		end(world.Completion{}, false)
	}
	o.advance()
}

// advance advances the model to now and handles the jobs that it has completed or lost.
func (o *origin) advance() {
	s := o.sim
	for _, d := range o.model.Advance(s.now) {
		if d.Applied {
			s.record.Effects = append(s.record.Effects, seen.Effect{At: s.now, Request: o.requestIDs[d.Token], Key: d.Key, Idem: d.Idem, Receipt: d.Receipt})
			for _, v := range s.exp.Servers {
				if c := s.caches[v.Name]; c != nil {
					c.model.Invalidate(d.Key)
				}
			}
		}
		delete(o.requestIDs, d.Token)
		if end := o.fetches[d.Token]; end != nil {
			delete(o.fetches, d.Token)
			end(d, true)
		}
		j := o.jobs[d.Token]
		if j == nil {
			continue
		}
		delete(o.jobs, d.Token)
		r := j.a.record
		if r.AnsweredAt = s.now; r.Write {
			r.Answer, r.Receipt = seen.Receipt, d.Receipt
		} else {
			r.Answer, r.Version = seen.Value, d.Version
			list := j.a.request.missedAt
			for _, c := range list[:min(2, len(list))] {
				c.model.Store(s.now, r.Key, d.Version, int64(s.valueSize(j.a.request.try.record, j.a.request.try.class)))
			}
		}
		s.deliver(func() { j.node.attemptEnded(j.a, policy.OK, 0) })
	}
	for _, token := range o.model.TakeLost() {
		delete(o.requestIDs, token)
		if end := o.fetches[token]; end != nil {
			delete(o.fetches, token)
			end(world.Completion{}, false)
		}
		if j := o.jobs[token]; j != nil {
			delete(o.jobs, token)
			j.a.record.ClosedAt = s.now
			s.deliver(func() { j.node.attemptEnded(j.a, policy.Reset, 0) })
		}
	}
	o.scheduleNext()
}

// scheduleNext schedules an advance at the model's next event.
func (o *origin) scheduleNext() {
	at, ok := o.model.Next()
	if !ok || o.nextAt > 0 && o.nextAt <= at {
		return
	}
	o.nextAt = at
	o.sim.schedule(at, func() {
		if o.nextAt == at {
			o.nextAt = 0
			o.advance()
		}
	})
}

// setBan sets or lifts an operator's ban of a server at one node.
func (s *sim) setBan(number int, name string, on bool) {
	n, id := s.nodes[number], s.exp.Server(name).ID
	if c := s.caches[name]; c != nil {
		id = c.id
	}
	if !n.up {
		return
	}
	s.record.SetBan(number, id, on, s.now)
	n.policy.Ban(n.clock(), id, on)
	n.runDeferred()
}
