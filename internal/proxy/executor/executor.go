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
	"github.com/tamarackscale/tamarackscale/internal/proxy/retrier"
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
	// LinkRate is the rate of the VM's network link in bytes per second; 0 if unknown.
	LinkRate float64
	// Budget is the retry budget of a service, of which resends use a part, and Members returns
	// the number of nodes that share it.
	Budget  retrier.Budget
	Members func() int
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
	// resends counts the calls that the node has received, and their resends.
	resends *retrier.Retrier
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
	queue := queuer.New()
	queue.LimitLink(config.LinkRate)
	return &Executor{
		config: config, dialect: config.Dialect, memory: &answerMemory{account: config.Account}, pool: newPool(config.Dial),
		tracker: tracker.New(), queue: queue,
		running: map[string]*running{}, unproven: config.Restarted, resends: retrier.NewResender(config.Budget),
	}
}

// running is a call in flight at the upstream. Its count is the number of attempts in
// flight with the call's ID.
type running struct {
	count int
	Parent
}

// Parent describes a call in flight at the upstream, which may make nested calls for it.
type Parent struct {
	Kind string
	// Account is the name of the account on whose behalf the call is made; empty if there is none.
	Account string
	// Repeat reports whether an upstream had received the call before.
	Repeat bool
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
	ticket.Arrived, ticket.Local = now.Add(-job.Waited), job.Local
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
	e.started(job.Call.ID, Parent{Kind: job.Kind, Account: e.dialect.Account(job.Call.Fields), Repeat: job.Repeat})
	e.mu.Unlock()
	result := e.run(ctx, job, deadline)
	now = time.Now()
	e.mu.Lock()
	e.finished(job.Call.ID)
	e.queue.RecordAnswer(ticket, len(result.Answer.Body))
	if result.Reason == carrier.CallerGone {
		e.abandon(ticket, now)
	} else {
		e.release(ticket, isServiceTimeSample(result), now)
	}
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
func (e *Executor) started(id string, parent Parent) {
	call := e.running[id]
	if call == nil {
		call = &running{Parent: parent}
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

// InFlight returns the call with the ID and reports whether it is in flight at the upstream.
func (e *Executor) InFlight(id string) (Parent, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	call, found := e.running[id]
	if !found {
		return Parent{}, false
	}
	return call.Parent, true
}

// run sends a call that has a slot. If a reused connection fails before any byte of an answer, the
// call is sent once more, on a new connection: without condition if no byte of it was written, since
// the upstream can't have received it, else if the call is idempotent and the retry budget allows
// it. An upstream that runs calls and resets the connections would otherwise get each of them
// again. Once a call was sent, a refusal no longer states that it has not run.
func (e *Executor) run(ctx context.Context, job Job, deadline time.Time) carrier.Result {
	e.countReceived(job.Service)
	result := e.runOnce(ctx, job, deadline, e.pool.get)
	switch {
	case ctx.Err() != nil && result.unsent:
		// The end of the context may have interrupted the write, which shows nothing of the upstream.
		return carrier.Refuse(reasonOf(ctx))
	case !result.stale, ctx.Err() != nil:
		return result.Result
	case result.unsent:
		return e.runOnce(ctx, job, deadline, e.pool.open).Result
	}
	if !job.Idempotent || !e.allowResend(job.Service) {
		return result.Result
	}
	again := e.runOnce(ctx, job, deadline, e.pool.open).Result
	if again.Outcome == carrier.NotRun {
		return carrier.Fail(again.Reason)
	}
	return again
}

// countReceived counts a call that the upstream gets towards the budget for its resends.
func (e *Executor) countReceived(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resends.RecordCall(service, time.Now())
}

// allowResend reports whether the retry budget allows a call to be sent once more. If so, that
// counts against the budget and against the rate limit.
func (e *Executor) allowResend(service string) bool {
	members := 1
	if e.config.Members != nil {
		members = e.config.Members()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.resends.Allow(service, members, now) {
		return false
	}
	e.queue.CountResend(now)
	return true
}

// connect returns a connection to an address for the call with an ID.
type connect func(ctx context.Context, address, id string, now time.Time) (*connection, error)

// runOnce sends a call on one connection.
func (e *Executor) runOnce(ctx context.Context, job Job, deadline time.Time, connect connect) exchangeResult {
	now := time.Now()
	e.mu.Lock()
	reason := e.refusalReason(job.Service, now)
	upstream := e.tracker.Current()
	e.mu.Unlock()
	if reason != "" {
		return exchangeResult{Result: carrier.Refuse(reason)}
	}
	c, err := connect(ctx, upstream.Address, job.Call.ID, now)
	if err != nil {
		return exchangeResult{Result: e.markUnreachable(ctx, upstream.Incarnation(), now)}
	}
	if !time.Now().Before(deadline) {
		// The slot was granted after the deadline, within deadlineMargin, or the dial took long.
		_ = c.Close()
		return exchangeResult{Result: carrier.Refuse(carrier.DeadlineExceeded)}
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
	return result
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
