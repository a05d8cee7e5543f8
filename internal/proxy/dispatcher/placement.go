package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
)

const (
	// maxHandOvers bounds the nodes that one call visits.
	maxHandOvers = 6
	// leastLeft is the time below which another hand-over is of no use.
	leastLeft = 10 * time.Millisecond
)

// placement is the way of one call. A hedge runs beside its first hand-over.
type placement struct {
	d        *Dispatcher
	match    router.Match
	call     carrier.Call
	received time.Time
	patience time.Duration
	// objective is the time from received until the answer loses part of its use.
	objective time.Duration
	event     *Event

	mu    sync.Mutex
	tried []string
	// arrivals counts the upstreams that got the call.
	arrivals int
	// open counts the hand-overs without a result.
	open int
	// full says that a node had no room for the call.
	full bool
}

// handOver is one hand-over of a call to a node.
type handOver struct {
	candidate *balancer.Candidate
	member    balancer.Member
	began     time.Time
	// last says that no further upstream may get the call if this one does.
	last bool
}

// place hands the call over until an upstream has answered or no further
// hand-over is allowed. The result speaks for all of them.
func (p *placement) place(ctx context.Context) carrier.Result {
	p.d.count(p.match.Service)
	best := carrier.Refuse(carrier.NoEndpoint)
	hedgeAfter := p.hedgeDelay()
	for first := true; ; first = false {
		h, found := p.next()
		if !found {
			return best
		}
		var result carrier.Result
		if hedgeAfter < p.left() {
			result = p.runHedged(ctx, h, hedgeAfter)
		} else {
			result = p.run(ctx, h)
		}
		hedgeAfter = never
		best = combine(best, result, first)
		if p.isFinal(result) || !p.goOn(ctx, result) {
			return best
		}
	}
}

// combine keeps what speaks for all hand-overs: an answer goes before a failure,
// and what may have run is never called unrun by a later refusal.
func combine(best, next carrier.Result, first bool) carrier.Result {
	switch {
	case first || next.Outcome == carrier.Run:
		return next
	case best.Outcome == carrier.Run || best.Outcome == carrier.Unknown:
		return best
	case next.Outcome == carrier.Unknown:
		return next
	case best.Wait > 0 && (next.Wait == 0 || best.Wait < next.Wait):
		return best
	default:
		return next
	}
}

// isFinal says whether nothing better can come than a result.
func (p *placement) isFinal(r carrier.Result) bool {
	return r.Outcome == carrier.Run && !(p.match.Idempotent && repeatable(r.Answer.Status))
}

// goOn says whether the call may be handed over again after a result.
func (p *placement) goOn(ctx context.Context, r carrier.Result) bool {
	if ctx.Err() != nil || r.Reason == carrier.CallerGone || r.Reason == carrier.DeadlineExceeded || r.Reason == carrier.UrgentFirst {
		return false
	}
	if r.Outcome != carrier.NotRun && !p.match.Idempotent {
		return false
	}
	return p.mayArriveAgain()
}

// mayArriveAgain says whether the call may be sent to one more upstream.
func (p *placement) mayArriveAgain() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrivals+p.open < p.match.MaxAttempts && len(p.tried) < maxHandOvers && p.left() > leastLeft
}

// left is the time until the call's deadline.
func (p *placement) left() time.Duration { return p.patience - time.Since(p.received) }

// repeatable says whether another upstream may do better than one that has
// answered with the status.
func repeatable(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway
}

// need describes the call as it stands now. It is used under the lock.
func (p *placement) need() balancer.Need {
	return balancer.Need{
		Service: p.match.Service, Kind: p.match.Name, Rank: p.match.Rank,
		Class:     p.class(),
		Objective: p.objective - time.Since(p.received), Remaining: p.left(), Tried: p.tried,
		SkipFull: p.full,
	}
}

func (p *placement) class() queuer.Class { return queuer.ClassOf(p.match.Rank, p.event.Nested) }

// next chooses the node for the next hand-over, within the budget of repeats.
func (p *placement) next() (handOver, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tried) >= maxHandOvers {
		return handOver{}, false
	}
	if p.arrivals+p.open > 0 && !p.d.mayRepeat(p.match.Service) {
		return handOver{}, false
	}
	candidate, member := p.d.choose(p.need())
	if candidate == nil {
		return handOver{}, false
	}
	p.tried = append(p.tried, member.Node)
	p.open++
	last := !p.match.Idempotent || p.arrivals+p.open >= p.match.MaxAttempts
	return handOver{candidate: candidate, member: member, began: time.Now(), last: last}, true
}

// run hands the call over and takes in how that ended.
func (p *placement) run(ctx context.Context, h handOver) carrier.Result {
	return p.learn(h, p.send(ctx, h, p.job()))
}

func (p *placement) job() executor.Job {
	spent := time.Since(p.received)
	return executor.Job{
		Call: p.call, CallerService: p.d.Service(), Service: p.match.Service, Kind: p.match.Name,
		Rank: p.match.Rank, Nested: p.event.Nested, Idempotent: p.match.Idempotent,
		Objective: p.objective - spent, Remaining: p.patience - spent, Waited: p.event.Waited + spent,
	}
}

func (p *placement) send(ctx context.Context, h handOver, job executor.Job) forwarder.RunReply {
	if h.member.Node != p.d.Node {
		return p.d.Forward.Forward(ctx, h.member, job, !h.last)
	}
	result, service := p.d.Execute.Execute(ctx, job)
	return forwarder.RunReply{Result: result, Service: service, Load: p.d.Execute.Load(time.Now())}
}

// learn takes in how a hand-over ended.
func (p *placement) learn(h handOver, reply forwarder.RunReply) carrier.Result {
	r := reply.Result
	outcome := outcomeOf(reply, p.match.Name)
	outcome.Class = p.class()
	outcome.Waited = reply.Service
	if r.Outcome == carrier.Unknown {
		outcome.Waited = time.Since(h.began)
	}
	outcome.Bytes = len(p.call.Body) + len(r.Answer.Body)
	p.d.learn(h.candidate, outcome)
	p.d.Observe.HeardVersion(reply.Version)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.full = p.full || outcome.Full
	if r.Arrived {
		p.arrivals++
	}
	p.event.Attempts = append(p.event.Attempts, Attempt{
		Node: h.member.Node, Instance: h.member.Instance, Outcome: r.Outcome, Reason: r.Reason,
		Status: r.Answer.Status, Took: time.Since(h.began), Service: reply.Service,
		Load: reply.Load,
	})
	return r
}

// outcomeOf says what a reply teaches about its upstream.
func outcomeOf(reply forwarder.RunReply, kind string) balancer.Outcome {
	o := balancer.Outcome{Kind: kind, Service: reply.Service}
	if reply.Load.Slots > 0 {
		o.Load = &reply.Load
	}
	r := reply.Result
	switch r.Reason {
	case "":
		o.Answered = r.Answer.Status < http.StatusInternalServerError
		o.Failed = !o.Answered
	case carrier.WaitTooLong:
		o.Full = true
	case carrier.UpstreamShed:
		o.Full, o.Failed = true, true
	case carrier.AnswerBroken, carrier.DeadlineExceeded:
		o.Failed = true
	case carrier.CallerGone, carrier.UrgentFirst:
	default:
		o.Unreachable = true
	}
	return o
}
