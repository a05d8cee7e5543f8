// Package executor runs calls at the node's local upstream. Only this node sends calls
// to the upstream, so it has exact knowledge of the instance that answers, the slots
// in use and the calls that wait.
package executor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
)

const (
	// drainingFraction is the fraction of the drain time during which a draining
	// upstream still gets calls that no other upstream can take.
	drainingFraction = 0.6
	// unreachableBackoff is how long an upstream gets no calls after a connection to
	// it could not be opened.
	unreachableBackoff = 100 * time.Millisecond
	// deadlineMargin extends the deadline so that an answer which the upstream sends
	// at the deadline still arrives.
	deadlineMargin = 15 * time.Millisecond
	// maxConnectionsTried is the maximum number of connections on which one call is
	// sent. Only an idempotent call is sent again, and only if the previous
	// connection failed before any byte of an answer.
	maxConnectionsTried = 3
	// unprovenSlots is how many calls a restarted node sends at once until the first one has
	// ended: the upstream may have named a rate limit before, which the new process does not know.
	unprovenSlots = 3
)

// Config is the configuration of an executor.
type Config struct {
	Dialect Dialect
	Dial    Dial
	// DrainTime is how long an upstream may get calls after the node has acknowledged
	// that it is draining. The executor uses drainingFraction of it.
	DrainTime time.Duration
	// Admit reports whether a call of a kind and rank that is not nested may begin. If
	// not, it returns how long the more urgent calls that have precedence wait. Nil
	// admits every call.
	Admit func(kind string, rank int, now time.Time) (time.Duration, bool)
	// Changed is called when the published state of the upstream has changed.
	Changed func()
	Observe Observer
	// Account is the account from which memory for answers is reserved.
	Account *accountant.Account
	// Restarted reports whether a former process of the node may have sent calls to the
	// upstream.
	Restarted bool
}

// Observer is notified of what the answers of the upstream state about it.
type Observer interface {
	// RateLimited is called when the upstream names another rate limit than before, or none
	// any more.
	RateLimited(l RateLimit)
	// DrainStated is called when an answer states that the upstream is draining, which the node
	// did not know.
	DrainStated(u tracker.Upstream)
}

// Executor manages the calls and connections to the node's local upstream. It is safe
// for concurrent use.
type Executor struct {
	config  Config
	dialect Dialect
	pool    *pool
	memory  *answerMemory

	mu      sync.Mutex
	tracker *tracker.Tracker
	queue   *queuer.Queue
	// running holds the calls in flight at the upstream, by ID.
	running          map[string]*running
	unreachableUntil time.Time
	limit            limitState
	// unproven holds until the first call after a restart of the node has ended.
	unproven bool
	// wake advances the queue when the rate limit lets the next call start; nil before the first
	// use.
	wake     *time.Timer
	stopping bool
}

// New returns an executor without an upstream.
func New(config Config) *Executor {
	if config.Account == nil {
		config.Account = accountant.New(0)
	}
	return &Executor{
		config: config, dialect: config.Dialect, memory: &answerMemory{account: config.Account}, pool: newPool(config.Dial), tracker: tracker.New(), queue: queuer.New(),
		running: map[string]*running{}, unproven: config.Restarted,
	}
}

// running is a call in flight at the upstream. Its count is the number of attempts in
// flight with the call's ID.
type running struct {
	count int
	kind  string
}

// Load returns the current load of the upstream.
func (e *Executor) Load(now time.Time) balancer.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.tracker.Current()
	return balancer.Load{
		InUse: e.queue.InUse(), Waiting: e.queue.Waiting(), Slots: current.Slots,
		Draining: current.State == tracker.Draining, Waits: e.queue.Waits(now),
	}
}

// Busy reports whether any call is in flight or queued.
func (e *Executor) Busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue.InUse()+e.queue.Waiting() > 0
}

// Execute runs a call at the upstream, once a slot is free. It returns the result and
// the time that the call took at the upstream. The context ends when the caller
// disconnects.
func (e *Executor) Execute(ctx context.Context, job Job) (carrier.Result, time.Duration) {
	now := time.Now()
	deadline := now.Add(job.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(deadlineMargin))
	defer cancel()
	ticket := queuer.NewTicket(job.Kind, job.Rank, job.Nested, now.Add(job.Objective), deadline)
	ticket.Arrived = now.Add(-job.Waited)
	if !job.Nested && e.config.Admit != nil {
		if wait, admitted := e.config.Admit(job.Kind, job.Rank, now); !admitted {
			return carrier.Result{Outcome: carrier.NotRun, Reason: carrier.UrgentFirst, Wait: wait}, 0
		}
	}
	if refusal, refused := e.enqueue(ticket, job, now); refused {
		return refusal, 0
	}
	if refusal, refused := e.awaitSlot(ctx, ticket); refused {
		return refusal, 0
	}
	started := time.Now()
	e.mu.Lock()
	e.started(job.Call.ID, job.Kind)
	e.mu.Unlock()
	result := e.run(ctx, job, deadline)
	now = time.Now()
	e.mu.Lock()
	e.finished(job.Call.ID)
	e.release(ticket, isServiceTimeSample(result), now)
	e.mu.Unlock()
	return result, now.Sub(started)
}

// isServiceTimeSample reports whether the duration of a call counts as a sample of the
// service time of its kind. A call that failed ended early or at its deadline, so it
// does not count.
func isServiceTimeSample(r carrier.Result) bool {
	return r.Outcome == carrier.Run && r.Answer.Status < http.StatusInternalServerError
}

// started records that a call has got a slot. The caller holds the lock.
func (e *Executor) started(id, kind string) {
	call := e.running[id]
	if call == nil {
		call = &running{kind: kind}
		e.running[id] = call
	}
	call.count++
}

// finished records that a call has ended. The caller holds the lock.
func (e *Executor) finished(id string) {
	call := e.running[id]
	call.count--
	if call.count == 0 {
		delete(e.running, id)
	}
}

// InFlightKind returns the kind of the call with the ID and reports whether it is in flight at
// the upstream.
func (e *Executor) InFlightKind(id string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	call, found := e.running[id]
	if !found {
		return "", false
	}
	return call.kind, true
}

// run sends a call that has a slot. An idempotent call is sent again on another
// connection if a reused one failed before any byte of an answer. Once it was sent, a
// refusal no longer states that it has not run.
func (e *Executor) run(ctx context.Context, job Job, deadline time.Time) carrier.Result {
	sent := false
	for range maxConnectionsTried {
		result, stale := e.runOnce(ctx, job, deadline)
		if sent && result.Outcome == carrier.NotRun {
			return carrier.Fail(result.Reason)
		}
		if !stale || !job.Idempotent || ctx.Err() != nil {
			return result
		}
		sent = true
		e.countResend()
	}
	return carrier.Fail(carrier.AnswerBroken)
}

// runOnce sends a call on one connection. It also reports whether that was a reused one that
// failed before any byte of an answer.
func (e *Executor) runOnce(ctx context.Context, job Job, deadline time.Time) (carrier.Result, bool) {
	now := time.Now()
	e.mu.Lock()
	reason := e.refusalReason(job.Service, now)
	upstream := e.tracker.Current()
	e.mu.Unlock()
	if reason != "" {
		return carrier.Refuse(reason), false
	}
	c, err := e.pool.get(ctx, upstream.Address, job.Call.ID, now)
	if err != nil {
		return e.markUnreachable(ctx, upstream.Incarnation(), now), false
	}
	result := e.exchange(ctx, c, upstream.Address, UpstreamRequest{
		Call: job.Call, Instance: upstream.Instance, CallerService: job.CallerService, Remaining: time.Until(deadline),
	})
	if result.answered() {
		e.recordLimit(upstream.Incarnation(), result.head.RateLimit, now)
		e.recordDrain(upstream, result.head.Draining)
	}
	e.prove()
	if result.Reason == carrier.WrongEndpoint {
		e.markAbsent(upstream.Incarnation())
	}
	return result.Result, result.stale
}

// Stop refuses new and queued calls. Calls in flight continue.
func (e *Executor) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
	e.queue.RefuseAll()
}

// Close closes the idle connections. Calls that wait for the rate limit start no more.
func (e *Executor) Close() {
	e.pool.drop()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.wake != nil {
		e.wake.Stop()
	}
}
