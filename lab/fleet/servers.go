package fleet

import (
	"time"

	"lapisshelf/lab/experiment"
	"lapisshelf/lab/fault"
	"lapisshelf/lab/seen"
	"lapisshelf/lab/world"
	"lapisshelf/policy"
)

// cache is a cache server.
type cache struct {
	sim    *sim
	name   string
	id     string
	model  *world.Cache
	jobs   map[uint64]*job
	serial uint64
	due    time.Duration // when it is looked at next; 0: not planned
	dead   bool
	refuse bool
	silent bool
	hangs  bool
	away   bool
	fell   bool
	member world.Member
}

type job struct {
	node *node
	a    *attempt
}

func (s *sim) addCache(v *experiment.Server, cold bool) *cache {
	c := &cache{sim: s, name: v.Name, id: v.ID, model: world.NewCache(v.Spec, s.x.Seed), jobs: map[uint64]*job{}, member: v.Member}
	s.caches[v.Name], s.byID[v.ID] = c, c
	if cold {
		c.model.Start(s.now, true)
	}
	c.noteStart(v, cold)
	return c
}

func (c *cache) noteStart(v *experiment.Server, cold bool) {
	st := seen.Start{Server: c.id, Name: c.name, Cold: cold, Capacity: float64(v.Spec.Cores) * v.Spec.Speed}
	if cold {
		st.At = c.sim.now
	}
	c.sim.rec.Starts = append(c.sim.rec.Starts, st)
}

// arrive is an attempt at a server.
func (s *sim) arrive(n *node, a *attempt) {
	if s.origin != nil && a.rec.Server == s.x.OriginID() {
		s.origin.arrive(n, a)
		return
	}
	c := s.byID[a.rec.Server]
	switch {
	case c == nil || c.dead || c.refuse || c.id != a.rec.Server:
		s.hop(func() { n.finished(a, policy.ConnectFailed, 0) })
		return
	case c.silent: // a new connection never comes up
		s.after(s.x.Service.ConnectTimeout.D(), func() { n.finished(a, policy.ConnectFailed, 0) })
		return
	case a.done:
		return
	}
	t, r := a.call.try.t, a.rec
	r.First, r.Last = s.now, s.now
	class := a.call.try.class
	r.Work = world.WorkOf(s.x.Seed, class, t.ID)
	r.Capacity, r.Cold = c.model.Capacity(s.now), c.model.Cold(s.now)
	s.rec.Attempts = append(s.rec.Attempts, r)
	if c.hangs {
		return
	}
	if c.away {
		c.reply(n, a, policy.Full, 0, seen.Busy)
		return
	}
	c.serial++
	token := c.serial
	switch c.model.Offer(s.now, world.Job{Token: token, Key: t.Key, Work: r.Work, Write: t.Write, Size: s.valueOf(t, class), Idem: t.Idem}) {
	case world.Taken:
		c.jobs[token] = &job{n, a}
		a.stop = func() {
			if c.jobs[token] != nil {
				delete(c.jobs, token)
				c.model.Cancel(s.now, token)
				c.plan()
			}
		}
	case world.Busy:
		c.reply(n, a, policy.Full, 0, seen.Busy)
	}
	c.look()
}

// reply sends an attempt's answer back.
func (c *cache) reply(n *node, a *attempt, o policy.Outcome, note policy.CacheStatus, said seen.Said) {
	s := c.sim
	if c.silent {
		return
	}
	if a.rec.Closed == 0 {
		a.rec.Said, a.rec.Answered = said, s.now
	}
	s.hop(func() { n.finished(a, o, note) })
}

// look takes what the model has done by now.
func (c *cache) look() {
	s := c.sim
	done, asks := c.model.Advance(s.now)
	for _, d := range done {
		j := c.jobs[d.Token]
		if j == nil {
			continue
		}
		delete(c.jobs, d.Token)
		r := j.a.rec
		switch d.Ending {
		case world.Hit, world.Fetched:
			r.Version = d.Version
			note := policy.CacheHit
			if d.Ending == world.Fetched {
				note = policy.CacheMiss
			}
			c.reply(j.node, j.a, policy.OK, c.tells(note), seen.Value)
		case world.Stored:
			r.Receipt = d.Receipt
			c.reply(j.node, j.a, policy.OK, 0, seen.Receipt)
		case world.Failed:
			c.reply(j.node, j.a, policy.Errored, c.tells(policy.CacheMiss), seen.Error)
		default:
			note := policy.CacheMiss
			if d.Ending == world.Fetching {
				note = policy.CacheFetching
			}
			j.a.call.missed = append(j.a.call.missed, c)
			c.reply(j.node, j.a, policy.Miss, c.tells(note), seen.Absent)
		}
	}
	for _, a := range asks {
		if j := c.jobs[a.Token]; j != nil {
			s.origin.ask(c, a, j)
		}
	}
	if c.model.Fell() && !c.fell {
		c.fell = true
		s.rec.Falls = append(s.rec.Falls, seen.Mark{At: s.now, Text: c.id})
		s.rec.Marks = append(s.rec.Marks, seen.Mark{At: s.now, Text: c.name + " falls over"})
		c.die()
	}
	c.plan()
}

func (c *cache) tells(n policy.CacheStatus) policy.CacheStatus {
	if !*c.sim.x.Service.Hits {
		return policy.CacheUnreported
	}
	return n
}

// plan sees to it that the model is looked at when something happens there.
func (c *cache) plan() {
	at, ok := c.model.Next()
	if !ok || c.due > 0 && c.due <= at {
		return
	}
	c.due = at
	c.sim.at(at, func() {
		if c.due == at {
			c.due = 0
			c.look()
		}
	})
}

// die ends the process: connections are reset.
func (c *cache) die() {
	s := c.sim
	c.dead = true
	c.model.Stop(s.now)
	for _, j := range c.jobs {
		if j.a.rec.Closed == 0 {
			j.a.rec.Closed = s.now
		}
		s.hop(func() { j.node.finished(j.a, policy.Reset, 0) })
	}
	c.jobs = map[uint64]*job{}
}

func (s *sim) onServer(a fault.Action) {
	c := s.caches[a.Server]
	v := s.x.Server(a.Server)
	if a.Verb == fault.Join {
		c = s.addCache(v, a.X != 0)
		s.entry(c, v, world.Serving)
		return
	}
	if c == nil {
		return
	}
	on := a.X != 0
	switch a.Verb {
	case fault.Die:
		c.die()
	case fault.Rise:
		if a.Text != "" {
			v = s.x.Server(a.Text)
			delete(s.byID, c.id)
			c.id = v.ID
			s.caches[a.Text], s.byID[c.id] = c, c
		}
		c.dead, c.refuse, c.silent, c.hangs, c.away, c.fell = false, false, false, false, false, false
		c.model.Start(s.now, on)
		c.noteStart(v, on)
		s.entry(c, v, world.Serving)
	case fault.Silence:
		c.silent = on
		if on {
			for _, j := range c.jobs {
				j.a.rec.Blind = true
			}
			return
		}
		for _, j := range c.jobs { // it is back: all that stood is reset
			s.hop(func() { j.node.finished(j.a, policy.Reset, 0) })
		}
	case fault.Hang:
		c.hangs = on
	case fault.Refuse:
		c.refuse = on
	case fault.TurnAway:
		c.away = on
	case fault.Slow:
		c.model.Slow(s.now, a.X)
	case fault.Steal:
		c.model.Steal(s.now, a.X)
	case fault.Pause:
		c.model.Pause(s.now, on)
	case fault.Void:
		c.model.Flush(a.X)
	case fault.Drain:
		s.entry(c, v, world.Draining)
	case fault.Leave:
		c.model.Drain(s.now, true)
		s.entry(c, v, world.Deleted)
	}
	if !c.dead {
		c.look()
	}
}

// entry changes a server's entry in the list.
func (s *sim) entry(c *cache, v *experiment.Server, phase world.Phase) {
	m := v.Member
	m.ID, m.Phase = c.id, phase
	if began, cold := c.model.Began(); cold {
		m.Started = began
	}
	s.set(m)
}

// origin is what is behind the caches.
type origin struct {
	sim    *sim
	model  *world.Origin
	serial uint64
	due    time.Duration
	jobs   map[uint64]*job
	byWho  map[uint64]string
	asks   map[uint64]func(world.Done, bool)
}

func newOrigin(s *sim) *origin {
	return &origin{sim: s, model: world.NewOrigin(s.x.OriginSpec(), s.x.Seed), jobs: map[uint64]*job{}, byWho: map[uint64]string{},
		asks: map[uint64]func(world.Done, bool){}}
}

// offer brings a job; what becomes of one that is taken is told to end.
func (o *origin) offer(t *seen.Attempt, size int) (uint64, world.Verdict) {
	s := o.sim
	o.serial++
	o.byWho[o.serial] = t.Request
	stops := o.model.Stops()
	v, work := o.model.Offer(s.now, world.Job{Token: o.serial, Key: t.Key, Write: t.Write, Size: size, Idem: t.Idem})
	t.Work, t.Capacity = work, o.model.Capacity()
	if o.model.Stops() > stops {
		s.rec.Stops = append(s.rec.Stops, seen.Mark{At: s.now, Text: "origin"})
		s.rec.Marks = append(s.rec.Marks, seen.Mark{At: s.now, Text: "the origin stops: too much was asked"})
	}
	if v != world.Taken {
		delete(o.byWho, o.serial)
	}
	return o.serial, v
}

// arrive is a node's attempt.
func (o *origin) arrive(n *node, a *attempt) {
	s := o.sim
	if a.done {
		return
	}
	r := a.rec
	r.Origin, r.First, r.Last = true, s.now, s.now
	s.rec.Attempts = append(s.rec.Attempts, r)
	token, v := o.offer(r, 0)
	switch v {
	case world.Taken:
		o.jobs[token] = &job{n, a}
		a.stop = func() {
			if o.jobs[token] != nil {
				delete(o.jobs, token)
				o.model.Cancel(s.now, token)
				o.plan()
			}
		}
	case world.Busy:
		r.Said, r.Answered = seen.Busy, s.now
		s.hop(func() { n.finished(a, policy.Full, 0) })
	default:
		r.Closed = s.now
		s.hop(func() { n.finished(a, policy.ConnectFailed, 0) })
	}
	o.look()
}

// ask is a cache's own request, in through mode.
func (o *origin) ask(c *cache, a world.Ask, j *job) {
	s := o.sim
	t := &seen.Attempt{Server: s.x.OriginID(), Origin: true, Request: j.a.rec.Request, Key: a.Key, Write: a.Write, Idem: a.Idem}
	model := c.model
	end := func(d world.Done, ok bool) {
		if !ok {
			d = world.Done{Ending: world.Failed}
		}
		s.hop(func() {
			if !c.dead && c.model == model {
				c.model.Answer(s.now, a.Token, d)
				c.look()
			}
		})
	}
	token, v := o.offer(t, 0)
	if v == world.Taken {
		o.asks[token] = end
	} else {
		end(world.Done{}, false)
	}
	o.look()
}

func (o *origin) look() {
	s := o.sim
	for _, d := range o.model.Advance(s.now) {
		if d.Fresh {
			s.rec.Effects = append(s.rec.Effects, seen.Effect{At: s.now, Request: o.byWho[d.Token], Key: d.Key, Idem: d.Idem, Receipt: d.Receipt})
			for _, v := range s.x.Servers {
				if c := s.caches[v.Name]; c != nil {
					c.model.Void(d.Key)
				}
			}
		}
		delete(o.byWho, d.Token)
		if end := o.asks[d.Token]; end != nil {
			delete(o.asks, d.Token)
			end(d, true)
		}
		j := o.jobs[d.Token]
		if j == nil {
			continue
		}
		delete(o.jobs, d.Token)
		r := j.a.rec
		if r.Answered = s.now; r.Write {
			r.Said, r.Receipt = seen.Receipt, d.Receipt
		} else {
			r.Said, r.Version = seen.Value, d.Version
			list := j.a.call.missed
			for _, c := range list[:min(2, len(list))] {
				c.model.Store(s.now, r.Key, d.Version, int64(s.valueOf(j.a.call.try.t, j.a.call.try.class)))
			}
		}
		s.hop(func() { j.node.finished(j.a, policy.OK, 0) })
	}
	for _, token := range o.model.Lost() {
		delete(o.byWho, token)
		if end := o.asks[token]; end != nil {
			delete(o.asks, token)
			end(world.Done{}, false)
		}
		if j := o.jobs[token]; j != nil {
			delete(o.jobs, token)
			j.a.rec.Closed = s.now
			s.hop(func() { j.node.finished(j.a, policy.Reset, 0) })
		}
	}
	o.plan()
}

func (o *origin) plan() {
	at, ok := o.model.Next()
	if !ok || o.due > 0 && o.due <= at {
		return
	}
	o.due = at
	o.sim.at(at, func() {
		if o.due == at {
			o.due = 0
			o.look()
		}
	})
}

// detach bans a server at a node by hand, or lifts that.
func (s *sim) detach(number int, name string, on bool) {
	n, id := s.nodes[number], s.x.Server(name).ID
	if c := s.caches[name]; c != nil {
		id = c.id
	}
	if !n.up {
		return
	}
	s.rec.Said(number, id, on, s.now)
	n.policy.Ban(n.clock(), id, on)
	n.settle()
}
