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
	// maxNodes bounds the number of nodes that one call is sent to.
	maxNodes = 6
	// minRemaining is the minimum time before the deadline for another attempt to be
	// of use.
	minRemaining = 10 * time.Millisecond
)

// placement tracks the attempts of one call. They follow one another, except that a
// hedge runs in parallel with the first.
type placement struct {
	d        *Dispatcher
	match    router.Match
	call     carrier.Call
	received time.Time
	timeout  time.Duration
	// objective is the time from received within which an answer has its full value.
	objective time.Duration
	event     *Event

	// mu guards the fields below and event.Attempts.
	mu sync.Mutex
	// tried holds the names of the nodes chosen so far.
	tried []string
	// delivered counts the upstreams that received the call.
	delivered int
	// inFlight counts the attempts without a result.
	inFlight int
	// full means that an upstream lacked capacity for the call.
	full bool
}

// pendingAttempt is an attempt whose result is not known yet.
type pendingAttempt struct {
	candidate *balancer.Candidate
	member    balancer.Member
	began     time.Time
	// hedge reports whether the attempt is a hedge, and cost is what a retry or hedge has taken
	// from the budgets.
	hedge bool
	cost  cost
	// repeat means that an upstream may have received the call, or its parent, before.
	repeat bool
	// last means that no further upstream may receive the call if this one does.
	last bool
}

// place makes attempts until an upstream has answered or no further attempt is allowed.
// It returns one result for all attempts.
func (p *placement) place(ctx context.Context) carrier.Result {
	p.d.countCall(p.match.Service, p.event.Repeat)
	best := carrier.Refuse(carrier.NoEndpoint)
	hedgeAfter := p.hedgeDelay()
	for first := true; ; first = false {
		a, found := p.nextAttempt()
		if !found {
			return best
		}
		var result carrier.Result
		if hedgeAfter < p.remaining() {
			result = p.runHedged(ctx, a, hedgeAfter)
		} else {
			result = p.run(ctx, a)
		}
		hedgeAfter = noHedge
		best = combine(best, result, first)
		if p.isFinal(result) || !p.mayRetry(ctx, result) {
			return best
		}
	}
}

// combine returns the one of two results that holds for all attempts: a success takes
// precedence over an error of the caller, that over an error of the upstream, any answer over a
// failure, and a later refusal never hides that the call may have run. Of two refusals, the one
// with the shorter known wait is returned.
func combine(best, next carrier.Result, first bool) carrier.Result {
	if first {
		return next
	}
	bestGrade, nextGrade := gradeOf(best), gradeOf(next)
	switch {
	case bestGrade != nextGrade:
		if bestGrade > nextGrade {
			return best
		}
		return next
	case bestGrade != refused:
		if bestGrade == transientError {
			return next
		}
		return best
	case best.Wait > 0 && (next.Wait == 0 || best.Wait < next.Wait):
		return best
	default:
		return next
	}
}

// grade orders results by how much they are worth to the caller.
type grade int

// The grades. Results of attempts that ran in parallel are compared by them, since either may
// have ended first.
const (
	// refused: the call has not run.
	refused grade = iota
	// unknown: the call may have run.
	unknown
	// transientError: the upstream's error, which another upstream may not have.
	transientError
	upstreamError
	callerError
	success
)

func gradeOf(r carrier.Result) grade {
	switch {
	case r.Outcome == carrier.NotRun:
		return refused
	case r.Outcome == carrier.Unknown:
		return unknown
	case retryable(r.Answer.Status):
		return transientError
	case r.Answer.Status >= http.StatusInternalServerError:
		return upstreamError
	case r.Answer.Status >= http.StatusBadRequest:
		return callerError
	default:
		return success
	}
}

// isFinal reports whether the result is an answer that no further attempt may replace.
func (p *placement) isFinal(r carrier.Result) bool {
	return r.Outcome == carrier.Run && !(p.match.Idempotent && retryable(r.Answer.Status))
}

// mayRetry reports whether another attempt is allowed after a result. A call that may
// have run is only retried if it is idempotent. None is retried after UrgentFirst, since
// every node would refuse the call in favour of the same urgent work.
func (p *placement) mayRetry(ctx context.Context, r carrier.Result) bool {
	if ctx.Err() != nil || r.Reason == carrier.CallerGone || r.Reason == carrier.DeadlineExceeded || r.Reason == carrier.UrgentFirst {
		return false
	}
	if r.Outcome != carrier.NotRun && !p.match.Idempotent {
		return false
	}
	return p.mayAttemptAgain()
}

// mayAttemptAgain reports whether the limits and the deadline of the call allow one more
// attempt.
func (p *placement) mayAttemptAgain() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delivered+p.inFlight < p.match.MaxAttempts && len(p.tried) < maxNodes && p.remaining() > minRemaining
}

// remaining returns the time until the call's deadline.
func (p *placement) remaining() time.Duration { return p.timeout - time.Since(p.received) }

// retryable reports whether another upstream may succeed after one has answered with
// the status.
func retryable(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway
}

// pickInfo describes the call to the balancer as of now. The caller must hold p.mu.
func (p *placement) pickInfo() balancer.PickInfo {
	return balancer.PickInfo{
		Service: p.match.Service, Kind: p.match.Name, Rank: p.match.Rank,
		Class:     p.class(),
		Objective: p.objective - time.Since(p.received), Remaining: p.remaining(), Tried: p.tried,
		SkipFull: p.full,
	}
}

func (p *placement) class() queuer.Class { return queuer.ClassOf(p.match.Rank, p.event.Nested) }

// nextAttempt chooses the node for the next attempt and reports whether there is one.
// Once an upstream has received the call or an attempt is in flight, the attempt counts
// as a retry and must fit the retry budget.
func (p *placement) nextAttempt() (pendingAttempt, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tried) >= maxNodes {
		return pendingAttempt{}, false
	}
	a, found := p.d.choose(p.pickInfo(), p.delivered+p.inFlight > 0)
	if !found {
		return pendingAttempt{}, false
	}
	return p.begin(a), true
}

// begin begins an attempt at the upstream that was chosen for it. The caller must hold p.mu.
func (p *placement) begin(a pendingAttempt) pendingAttempt {
	p.tried = append(p.tried, a.member.Node)
	a.repeat = p.delivered+p.inFlight > 0 || p.event.Repeat
	p.inFlight++
	a.began = time.Now()
	a.last = !p.match.Idempotent || p.delivered+p.inFlight >= p.match.MaxAttempts
	return a
}

// run makes the attempt and records its outcome.
func (p *placement) run(ctx context.Context, a pendingAttempt) carrier.Result {
	job := p.job()
	job.Repeat = a.repeat
	return p.recordOutcome(ctx, a, p.send(ctx, a, job))
}

// job returns the job of an attempt that begins now.
func (p *placement) job() executor.Job {
	spent := time.Since(p.received)
	return executor.Job{
		Call: p.call, CallerService: p.d.Service(), Service: p.match.Service, Kind: p.match.Name,
		Rank: p.match.Rank, Nested: p.event.Nested, Idempotent: p.match.Idempotent,
		Objective: p.objective - spent, Remaining: p.timeout - spent, Waited: p.event.Waited + spent,
		LargeBodies: p.d.hasLargeBodies(p.match.Name),
	}
}

func (p *placement) send(ctx context.Context, a pendingAttempt, job executor.Job) forwarder.RunReply {
	if a.member.Node != p.d.Node {
		return p.d.Forward.Forward(ctx, a.member, job, !a.last)
	}
	job.Local = true
	result, upstreamTime := p.d.Execute.Execute(ctx, job)
	return forwarder.RunReply{Result: result, UpstreamTime: upstreamTime, Load: p.d.Execute.Load(time.Now())}
}

// recordOutcome updates the balancer and the placement with the reply to an attempt, and
// returns the result. The context is that of the attempt. An attempt that was withdrawn shows
// neither a failure nor a service time of its upstream.
func (p *placement) recordOutcome(ctx context.Context, a pendingAttempt, reply forwarder.RunReply) carrier.Result {
	r := reply.Result
	outcome := outcomeOf(reply, p.match.Name)
	outcome.Class = p.class()
	switch {
	case r.Reason == carrier.CallerGone:
		outcome.Overtaken = context.Cause(ctx) == errOvertaken
	case r.Outcome == carrier.Unknown:
		outcome.Elapsed = time.Since(a.began)
	default:
		outcome.Elapsed = reply.UpstreamTime
	}
	outcome.Bytes = len(p.call.Body) + len(r.Answer.Body)
	p.d.recordOutcome(a.candidate, outcome)
	p.recordDuration(a, outcome)
	if r.Outcome == carrier.NotRun && !r.Arrived {
		p.d.returnCost(a.cost)
	}
	if p.d.Versions != nil {
		if outcome.Overtaken {
			// A slow version would never show if its answers were only those that no hedge overtakes.
			outcome.Elapsed = time.Since(a.began)
		}
		p.d.Versions.Ended(a.member, outcome, time.Now())
	}
	p.d.Observe.ObserveVersion(reply.Version, a.member.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	p.full = p.full || outcome.Full
	if r.Arrived {
		p.delivered++
	}
	p.event.Attempts = append(p.event.Attempts, Attempt{
		Node: a.member.Node, Instance: a.member.Instance, Hedge: a.hedge, Outcome: r.Outcome, Reason: r.Reason,
		Status: r.Answer.Status, Took: time.Since(a.began), UpstreamTime: reply.UpstreamTime,
		Load: reply.Load,
	})
	return r
}

// outcomeOf returns what a reply shows about the state of its upstream.
func outcomeOf(reply forwarder.RunReply, kind string) balancer.Outcome {
	o := balancer.Outcome{Kind: kind, UpstreamTime: reply.UpstreamTime}
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
	case carrier.AnswerBroken:
		o.Failed = true
	case carrier.DeadlineExceeded:
		// A call whose deadline passed in the queue says nothing about the upstream.
		o.Failed = r.Outcome != carrier.NotRun
	case carrier.LinkBusy:
		o.LinkWait = r.Wait
	case carrier.CallerGone, carrier.UrgentFirst:
	default:
		o.Unreachable = true
	}
	return o
}
