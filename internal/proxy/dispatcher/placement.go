package dispatcher

import (
	"context"
	"net/http"
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

// placement is the way of one call. All of it but send runs in one goroutine.
type placement struct {
	d        *Dispatcher
	match    router.Match
	call     carrier.Call
	received time.Time
	patience time.Duration
	event    *Event

	tried []string
	// arrivals counts the upstreams that got the call.
	arrivals int
	// open counts the hand-overs without a result.
	open    int
	hedged  bool
	results chan handOver
}

// handOver is one hand-over, with its result once there is one.
type handOver struct {
	candidate *balancer.Candidate
	member    balancer.Member
	began     time.Time
	reply     forwarder.RunReply
}

// place hands the call over until an upstream has answered or no further
// hand-over is allowed. The result speaks for all of them.
func (p *placement) place(ctx context.Context) carrier.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.d.count(p.match.Service)
	p.results = make(chan handOver, maxHandOvers)
	best := carrier.Refuse(carrier.NoEndpoint)
	if !p.next(ctx) {
		return best
	}
	hedge := time.NewTimer(p.hedgeDelay())
	defer hedge.Stop()
	for first := true; p.open > 0; {
		select {
		case h := <-p.results:
			p.open--
			result := p.learn(h)
			best = combine(best, result, first)
			first = false
			if p.isFinal(result) {
				return best
			}
			if p.goOn(ctx, result) {
				p.next(ctx)
			}
		case <-hedge.C:
			p.hedge(ctx)
		}
	}
	return best
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
	if ctx.Err() != nil || r.Reason == carrier.CallerGone || r.Reason == carrier.DeadlineExceeded {
		return false
	}
	if r.Outcome != carrier.NotRun && !p.match.Idempotent {
		return false
	}
	return p.mayArriveAgain()
}

// mayArriveAgain says whether the call may be sent to one more upstream.
func (p *placement) mayArriveAgain() bool {
	return p.arrivals+p.open < p.match.MaxAttempts && len(p.tried) < maxHandOvers && p.left() > leastLeft
}

// left is the time until the call's deadline.
func (p *placement) left() time.Duration { return p.patience - time.Since(p.received) }

// repeatable says whether another upstream may do better than one that has
// answered with the status.
func repeatable(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway
}

// need describes the call as it stands now.
func (p *placement) need() balancer.Need {
	return balancer.Need{
		Service: p.match.Service, Kind: p.match.Name, Rank: p.match.Rank,
		Class:     queuer.ClassOf(p.match.Rank, p.event.Nested),
		Objective: p.match.Objective - time.Since(p.received), Remaining: p.left(), Tried: p.tried,
	}
}

// next hands the call over to the best node that was not tried, within the
// budget of repeats, and says whether it did.
func (p *placement) next(ctx context.Context) bool {
	if p.arrivals+p.open > 0 && !p.d.mayRepeat(p.match.Service) {
		return false
	}
	candidate, member := p.d.choose(p.need())
	if candidate == nil {
		return false
	}
	p.tried = append(p.tried, member.Node)
	p.open++
	job := p.job()
	began := time.Now()
	go func() {
		p.results <- handOver{candidate: candidate, member: member, began: began, reply: p.send(ctx, member, job)}
	}()
	return true
}

func (p *placement) job() executor.Job {
	spent := time.Since(p.received)
	return executor.Job{
		Call: p.call, CallerService: p.d.Service(), Service: p.match.Service, Kind: p.match.Name,
		Rank: p.match.Rank, Nested: p.event.Nested, Idempotent: p.match.Idempotent,
		Objective: p.match.Objective - spent, Remaining: p.patience - spent,
	}
}

func (p *placement) send(ctx context.Context, m balancer.Member, job executor.Job) forwarder.RunReply {
	if m.Node != p.d.Node {
		return p.d.Forward.Forward(ctx, m, job)
	}
	result, service := p.d.Execute.Execute(ctx, job)
	return forwarder.RunReply{Result: result, Service: service, Load: p.d.Execute.Load(time.Now())}
}

// learn takes in how a hand-over ended.
func (p *placement) learn(h handOver) carrier.Result {
	r := h.reply.Result
	if r.Arrived {
		p.arrivals++
	}
	outcome := outcomeOf(h.reply, p.match.Name)
	outcome.Bytes = len(p.call.Body) + len(r.Answer.Body)
	p.d.learn(h.candidate, outcome)
	p.d.Observe.HeardVersion(h.reply.Version)
	p.event.Attempts = append(p.event.Attempts, Attempt{
		Node: h.member.Node, Instance: h.member.Instance, Outcome: r.Outcome, Reason: r.Reason,
		Status: r.Answer.Status, Took: time.Since(h.began), Service: h.reply.Service,
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
	case carrier.CallerGone:
	default:
		o.Unreachable = true
	}
	return o
}
