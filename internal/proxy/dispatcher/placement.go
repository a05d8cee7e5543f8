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

// placement is the way of one call.
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
}

// place hands the call over until an upstream has answered or no further
// hand-over is allowed. The result speaks for all of them.
func (p *placement) place(ctx context.Context) carrier.Result {
	p.d.count(p.match.Service)
	best := carrier.Refuse(carrier.NoEndpoint)
	for range maxHandOvers {
		if p.arrivals > 0 && !p.d.mayRepeat(p.match.Service) {
			break
		}
		spent := time.Since(p.received)
		candidate, member := p.d.choose(balancer.Need{
			Service: p.match.Service, Kind: p.match.Name, Rank: p.match.Rank,
			Class:     queuer.ClassOf(p.match.Rank, p.event.Nested),
			Objective: p.match.Objective - spent, Remaining: p.patience - spent, Tried: p.tried,
		})
		if candidate == nil {
			break
		}
		p.tried = append(p.tried, member.Node)
		result := p.handOver(ctx, candidate, member)
		best = combine(best, result, len(p.tried) == 1)
		if !p.goOn(ctx, result) {
			break
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

// goOn says whether the call may be handed over again.
func (p *placement) goOn(ctx context.Context, r carrier.Result) bool {
	if ctx.Err() != nil || r.Reason == carrier.CallerGone || r.Reason == carrier.DeadlineExceeded {
		return false
	}
	if r.Outcome == carrier.Run && !repeatable(r.Answer.Status) {
		return false
	}
	if r.Outcome != carrier.NotRun && !p.match.Idempotent {
		return false
	}
	if p.arrivals >= p.match.MaxAttempts {
		return false
	}
	return p.patience-time.Since(p.received) > leastLeft
}

// repeatable says whether another upstream may do better than one that has
// answered with the status.
func repeatable(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway
}

// handOver hands the call over once and takes in what that taught.
func (p *placement) handOver(ctx context.Context, c *balancer.Candidate, m balancer.Member) carrier.Result {
	began := time.Now()
	spent := began.Sub(p.received)
	job := executor.Job{
		Call: p.call, CallerService: p.d.Service(), Service: p.match.Service, Kind: p.match.Name,
		Rank: p.match.Rank, Nested: p.event.Nested, Idempotent: p.match.Idempotent,
		Objective: p.match.Objective - spent, Remaining: p.patience - spent,
	}
	reply := p.send(ctx, m, job)
	took := time.Since(began)
	if reply.Result.Arrived {
		p.arrivals++
	}
	outcome := outcomeOf(reply, p.match.Name)
	outcome.Bytes = len(p.call.Body) + len(reply.Result.Answer.Body)
	p.d.learn(c, outcome)
	p.d.Observe.HeardVersion(reply.Version)
	p.event.Attempts = append(p.event.Attempts, Attempt{
		Node: m.Node, Instance: m.Instance, Outcome: reply.Result.Outcome, Reason: reply.Result.Reason,
		Status: reply.Result.Answer.Status, Took: took, Service: reply.Service,
	})
	return reply.Result
}

func (p *placement) send(ctx context.Context, m balancer.Member, job executor.Job) forwarder.RunReply {
	if m.Node != p.d.Node {
		return p.d.Forward.Forward(ctx, m, job)
	}
	result, service := p.d.Execute.Execute(ctx, job)
	return forwarder.RunReply{Result: result, Service: service, Load: p.d.Execute.Load(time.Now())}
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
