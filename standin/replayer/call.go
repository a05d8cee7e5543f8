package replayer

import (
	"math/rand/v2"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/hedger"
	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

// kind is the name of the only route.
const kind = "k"

// call is a call of a caller on the VM of a node.
type call struct {
	r *replay
	// number identifies the call in the replay.
	number     int
	at         *node
	began      time.Time
	idempotent bool
	// work is the part of the service time that belongs to the call.
	work  time.Duration
	tried []string
	// arrivals counts the upstreams that received the call, open the attempts without a result.
	arrivals int
	open     []*attempt
	full     bool
	done     bool
}

// begin makes the first attempt, or both of a tied call.
func (c *call) begin() {
	c.at.retrier.RecordCall(service, c.r.now)
	c.at.hedger.RecordCall(service, c.r.now)
	c.r.after(deadline, func() { c.end(false) })
	first := c.attempt(c.info(), false)
	if !c.idempotent {
		return
	}
	switch policy := c.r.Policy; {
	case policy.Tied:
		if second := c.attempt(c.info(), true); second != nil {
			first.twin, second.twin = second, first
		}
	case policy.ByDeviation:
		if mean, deviation := c.at.balancer.MeanServiceTime(service, kind); mean > 0 {
			c.hedgeAfter(time.Duration((1 + hedgeDeviations*deviation) * float64(mean)))
		}
	case policy.ExtraWork > 0:
		if delay := c.at.hedger.Delay(hedger.Kind{Service: service, Name: kind}, c.r.now); delay > 0 {
			c.hedgeAfter(delay)
		}
	}
}

func (c *call) info() balancer.PickInfo {
	elapsed := c.r.now.Sub(c.began)
	return balancer.PickInfo{
		Service: service, Kind: kind, Rank: 1, Class: queuer.ClassOf(1, false), Objective: objective - elapsed,
		Remaining: deadline - elapsed, Tried: c.tried, SkipFull: c.full,
	}
}

// attempt sends the call to the upstream that the balancer picks; nil if there is none.
func (c *call) attempt(info balancer.PickInfo, hedge bool) *attempt {
	candidate := c.at.balancer.Pick(info, c.r.now)
	if candidate == nil {
		return nil
	}
	a := &attempt{call: c, candidate: candidate, sent: c.r.now, hedge: hedge}
	for _, n := range c.r.nodes {
		if n.name == candidate.Node {
			a.to = n
		}
	}
	c.tried = append(c.tried, candidate.Node)
	c.open = append(c.open, a)
	c.r.after(a.delay(), a.arrive)
	return a
}

// hedgeAfter makes a second attempt after a delay if the first has no result by then.
func (c *call) hedgeAfter(delay time.Duration) {
	first := c.open[0]
	c.r.after(delay, func() {
		if c.done || first.ended {
			return
		}
		info := c.info()
		if c.r.Policy.ExtraWork > 0 {
			info = c.at.balancer.ForHedge(info, c.r.now)
		}
		if !c.at.balancer.HasCapacity(info, c.r.now) || !c.at.retrier.Allow(service, upstreams, c.r.now) {
			return
		}
		if c.r.Policy.ExtraWork > 0 {
			if _, denied := c.at.hedger.Take(service, c.at.balancer.Utilisation(service, c.r.now), c.r.now); denied != "" {
				return
			}
		}
		c.attempt(info, true)
	})
}

// receive handles the result of an attempt.
func (c *call) receive(a *attempt, o balancer.Outcome) {
	c.close(a)
	o.Kind, o.Class = kind, queuer.ClassOf(1, false)
	load := a.to.load(c.r.now)
	o.Load = &load
	c.at.balancer.Done(a.candidate, o, c.r.now)
	c.full = c.full || o.Full
	if o.Answered {
		c.record(a)
		c.end(true)
		return
	}
	refused := o.Full && a.started.IsZero()
	mayRetry := (c.idempotent || refused) && c.arrivals < maxAttempts && len(c.tried) < maxNodes
	if c.done || len(c.open) > 0 || !mayRetry {
		if len(c.open) == 0 {
			c.end(false)
		}
		return
	}
	if c.arrivals > 0 && !c.at.retrier.Allow(service, upstreams, c.r.now) {
		c.end(false)
		return
	}
	if c.attempt(c.info(), false) == nil {
		c.end(false)
	}
}

// record passes the duration of an attempt to the hedger.
func (c *call) record(a *attempt) {
	c.at.hedger.RecordDuration(hedger.Kind{Service: service, Name: kind}, a.to.name, c.r.now.Sub(a.sent), c.r.now)
}

func (c *call) close(a *attempt) {
	a.ended = true
	for i, other := range c.open {
		if other == a {
			c.open = append(c.open[:i:i], c.open[i+1:]...)
			return
		}
	}
}

// end ends the call, and cancels the attempts that have no result.
func (c *call) end(served bool) {
	if c.done {
		return
	}
	c.done = true
	c.r.result.count(c, served, c.r.now.Sub(c.began))
	for _, a := range c.open {
		a.ended = true
		overtaken := served && !a.hedge
		o := balancer.Outcome{Kind: kind, Overtaken: overtaken}
		if !served {
			o = balancer.Outcome{Kind: kind, Failed: true, Elapsed: c.r.now.Sub(a.sent)}
		} else if overtaken {
			c.record(a)
		}
		c.at.balancer.Done(a.candidate, o, c.r.now)
		c.r.after(a.delay(), a.cancel)
	}
	c.open = nil
}

// attempt is one attempt of a call at an upstream.
type attempt struct {
	call      *call
	to        *node
	candidate *balancer.Candidate
	sent      time.Time
	hedge     bool
	// twin is the other attempt of a tied call.
	twin   *attempt
	ticket *queuer.Ticket
	// started is when the upstream got the call; zero before.
	started time.Time
	// ended reports whether the callers' node needs no result any more, stopped whether the
	// upstream's node has none to give.
	ended   bool
	stopped bool
}

// delay is the one-way delay between the nodes.
func (a *attempt) delay() time.Duration {
	switch {
	case a.to == a.call.at:
		return 0
	case a.to.zone == a.call.at.zone:
		return nearDelay
	default:
		return farDelay
	}
}

// arrive offers the attempt to the queue of its upstream.
func (a *attempt) arrive() {
	if a.stopped {
		return
	}
	r := a.call.r
	a.ticket = queuer.NewTicket(kind, 1, false, a.call.began.Add(objective), a.call.began.Add(deadline))
	a.ticket.Arrived = a.call.began
	a.to.waiting = append(a.to.waiting, a)
	a.to.queue.Offer(a.ticket, r.now)
	r.settle(a.to)
}

// settle starts the calls that got slots and returns the refusals of those that were shed.
func (r *replay) settle(n *node) {
	waiting := n.waiting
	n.waiting = nil
	for _, a := range waiting {
		select {
		case refusal := <-a.ticket.Settled:
			if refusal == nil {
				a.start()
			} else {
				a.stopped = true
				r.after(a.delay(), func() { a.reply(balancer.Outcome{Full: true}) })
			}
		default:
			n.waiting = append(n.waiting, a)
		}
	}
}

// start runs the attempt at its upstream.
func (a *attempt) start() {
	r := a.call.r
	a.started = r.now
	a.call.arrivals++
	if a.twin != nil && a.twin.started.IsZero() {
		a.twin.call.close(a.twin)
		r.after(a.delay()+a.twin.delay(), a.twin.withdraw)
	}
	// What an upstream makes of a call does not depend on the policy.
	random := rand.New(rand.NewPCG(r.Seed+uint64(a.call.number)<<16, uint64(a.to.index)))
	work := time.Duration(float64(a.call.work) * spread(random, attemptSpread))
	outcome := balancer.Outcome{Answered: true}
	if r.faulty(a.to) {
		switch r.Fault {
		case Slow:
			work *= 4
		case Noisy:
			work = work * 5 / 2
		case Hanging:
			return
		case Failing:
			if random.Float64() < 0.4 {
				work, outcome = work/5, balancer.Outcome{Failed: true}
			}
		case Losing:
			if random.Float64() < 0.4 {
				return
			}
		}
	}
	r.after(work, func() { a.finish(work, outcome) })
}

// finish frees the slot and returns the result.
func (a *attempt) finish(work time.Duration, o balancer.Outcome) {
	if a.stopped {
		return
	}
	r := a.call.r
	a.stopped = true
	a.to.queue.Release(a.ticket, o.Answered, r.now)
	r.settle(a.to)
	o.UpstreamTime = work
	r.after(a.delay(), func() { a.reply(o) })
}

func (a *attempt) reply(o balancer.Outcome) {
	if !a.ended {
		a.call.receive(a, o)
	}
}

// withdraw cancels the twin of an attempt that has started.
func (a *attempt) withdraw() {
	a.ended = true
	a.call.at.balancer.Done(a.candidate, balancer.Outcome{Kind: kind}, a.call.r.now)
	a.cancel()
}

// cancel ends the attempt at its upstream.
func (a *attempt) cancel() {
	if a.stopped {
		return
	}
	a.stopped = true
	if a.ticket == nil {
		return
	}
	r := a.call.r
	if a.to.queue.Withdraw(a.ticket) {
		for i, other := range a.to.waiting {
			if other == a {
				a.to.waiting = append(a.to.waiting[:i:i], a.to.waiting[i+1:]...)
				break
			}
		}
		return
	}
	a.to.queue.Abandon(a.ticket, r.now)
	r.settle(a.to)
}

// load is the load of the upstream that its node states.
func (n *node) load(now time.Time) balancer.Load {
	return balancer.Load{InUse: n.queue.InUse(), Waiting: n.queue.Waiting(), Slots: slots, Waits: n.queue.Waits(now)}
}
