// Package executor runs calls at the upstream beside the node. Only this node
// reaches the upstream, so it alone knows which instance answers, the slots in
// use and what waits.
package executor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
)

const (
	// leavingShare is the part of the allowed time for which an upstream that
	// leaves still gets calls that no other can take.
	leavingShare = 0.6
	// unreachableMemory is how long an upstream that refused a connection gets
	// no call.
	unreachableMemory = 100 * time.Millisecond
	// deadlineMargin lets an upstream's own answer at the deadline arrive.
	deadlineMargin = 15 * time.Millisecond
	// maxTries bounds the connections on which one call is tried while it is
	// certain that it has not run.
	maxTries = 3
)

// Config is what an executor needs.
type Config struct {
	Dialect Dialect
	Dial    Dial
	// DrainTime is how long after its acknowledged leaving an upstream may get calls.
	DrainTime time.Duration
	// Admit says whether a call of a kind and rank that no upstream made may begin;
	// if not, how long the more urgent work waits that goes first. Nil admits all.
	Admit func(kind string, rank int, now time.Time) (time.Duration, bool)
	// Changed is called when the node has something new to tell of its upstream.
	Changed func()
}

// Executor owns the upstream beside the node.
type Executor struct {
	config  Config
	dialect Dialect
	pool    *pool

	mu      sync.Mutex
	tracker *tracker.Tracker
	queue   *queuer.Queue
	// running holds the calls that the upstream runs, by their IDs.
	running          map[string]*running
	unreachableUntil time.Time
	stopping         bool
}

// New returns an executor that knows no upstream.
func New(config Config) *Executor {
	return &Executor{
		config: config, dialect: config.Dialect, pool: newPool(config.Dial), tracker: tracker.New(), queue: queuer.New(),
		running: map[string]*running{},
	}
}

// running is a call that the upstream runs; one ID may stand for several.
type running struct {
	count int
	kind  string
}

// Report takes in a heartbeat and returns what it changed.
func (e *Executor) Report(r tracker.Report, now time.Time) tracker.Verdict {
	e.mu.Lock()
	before := e.tracker.Current()
	verdict := e.tracker.Accept(r, now)
	if verdict != tracker.Outdated {
		e.follow(before, now)
	}
	e.mu.Unlock()
	if verdict == tracker.Changed {
		e.config.Changed()
	}
	return verdict
}

// SignOff takes in that an instance ends.
func (e *Executor) SignOff(instance string, born int64, now time.Time) tracker.Verdict {
	e.mu.Lock()
	before := e.tracker.Current()
	verdict := e.tracker.SignOff(instance, born, now)
	if verdict == tracker.Changed {
		e.follow(before, now)
	}
	e.mu.Unlock()
	if verdict == tracker.Changed {
		e.config.Changed()
	}
	return verdict
}

// Left takes in that a start of an upstream has left at some time before.
func (e *Executor) Left(s tracker.Start, since, now time.Time) {
	e.mu.Lock()
	before := e.tracker.Current()
	verdict := e.tracker.Left(s, since, now)
	if verdict == tracker.Changed {
		e.follow(before, now)
	}
	e.mu.Unlock()
	if verdict == tracker.Changed {
		e.config.Changed()
	}
}

// follow applies the newest state of the upstream to queue and connections.
func (e *Executor) follow(before tracker.Upstream, now time.Time) {
	current := e.tracker.Current()
	e.queue.Slots = current.Slots
	if before.Instance != current.Instance || before.Born != current.Born {
		e.pool.drop()
		e.unreachableUntil = time.Time{}
	}
	if current.State == tracker.Leaving && before.State != tracker.Leaving {
		e.queue.RefuseAll()
	}
	e.queue.Advance(now)
}

// Upstream returns what is known of the upstream.
func (e *Executor) Upstream() tracker.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Current()
}

// Load returns the upstream's load.
func (e *Executor) Load(now time.Time) balancer.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.tracker.Current()
	return balancer.Load{
		InUse: e.queue.InUse(), Waiting: e.queue.Waiting(), Slots: current.Slots,
		Leaving: current.State == tracker.Leaving, Waits: e.queue.Waits(now),
	}
}

// Busy says whether calls run or wait.
func (e *Executor) Busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue.InUse()+e.queue.Waiting() > 0
}

// Execute runs a call and returns its result and its time at the upstream. The
// context ends when the caller is gone.
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
	if refusal, refused := e.enter(ticket, job, now); refused {
		return refusal, 0
	}
	if refusal, refused := e.await(ctx, ticket); refused {
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
	e.queue.Release(ticket, isTypical(result), now)
	e.mu.Unlock()
	return result, now.Sub(started)
}

// isTypical says whether a result tells how long its kind of call takes: one that
// failed ended early or at its deadline.
func isTypical(r carrier.Result) bool {
	return r.Outcome == carrier.Run && r.Answer.Status < http.StatusInternalServerError
}

func (e *Executor) started(id, kind string) {
	r := e.running[id]
	if r == nil {
		r = &running{kind: kind}
		e.running[id] = r
	}
	r.count++
}

func (e *Executor) finished(id string) {
	r := e.running[id]
	r.count--
	if r.count == 0 {
		delete(e.running, id)
	}
}

// Runs returns the kind of the call with the ID, and whether the upstream runs it.
func (e *Executor) Runs(id string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, runs := e.running[id]
	if !runs {
		return "", false
	}
	return r.kind, true
}

// enter puts the ticket into the queue unless the upstream can't take the call.
func (e *Executor) enter(ticket *queuer.Ticket, job Job, now time.Time) (carrier.Result, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.unfit(job.Service, now); reason != "" {
		return carrier.Refuse(reason), true
	}
	e.queue.Offer(ticket, now)
	return carrier.Result{}, false
}

// unfit returns why the upstream can't take calls of a service now; empty if it can.
func (e *Executor) unfit(service string, now time.Time) carrier.Reason {
	current := e.tracker.Current()
	switch {
	case e.stopping:
		return carrier.Stopping
	case current.State == tracker.Absent:
		return carrier.NoEndpoint
	case current.Service != service:
		return carrier.WrongEndpoint
	case current.State == tracker.Leaving && now.Sub(current.LeavingSince) > e.leavingTime():
		return carrier.Draining
	case now.Before(e.unreachableUntil):
		return carrier.UpstreamUnreachable
	}
	return ""
}

func (e *Executor) leavingTime() time.Duration {
	return time.Duration(leavingShare * float64(e.config.DrainTime))
}

// await waits for the ticket's turn.
func (e *Executor) await(ctx context.Context, ticket *queuer.Ticket) (carrier.Result, bool) {
	select {
	case refusal := <-ticket.Settled:
		return refused(refusal)
	case <-ctx.Done():
	}
	e.mu.Lock()
	withdrawn := e.queue.Withdraw(ticket)
	e.mu.Unlock()
	if withdrawn {
		return carrier.Refuse(reasonOf(ctx)), true
	}
	result, wasRefused := refused(<-ticket.Settled)
	if wasRefused {
		return result, true
	}
	e.mu.Lock()
	e.queue.Release(ticket, false, time.Now())
	e.mu.Unlock()
	return carrier.Refuse(reasonOf(ctx)), true
}

func refused(refusal *queuer.Refusal) (carrier.Result, bool) {
	if refusal == nil {
		return carrier.Result{}, false
	}
	if refusal.Closed {
		return carrier.Refuse(carrier.Draining), true
	}
	return carrier.Result{Outcome: carrier.NotRun, Reason: carrier.WaitTooLong, Wait: refusal.Wait}, true
}

// run sends a call that has a slot, on another connection as long as it is
// certain that it has not run.
func (e *Executor) run(ctx context.Context, job Job, deadline time.Time) carrier.Result {
	for range maxTries {
		now := time.Now()
		e.mu.Lock()
		reason := e.unfit(job.Service, now)
		upstream := e.tracker.Current()
		e.mu.Unlock()
		if reason != "" {
			return carrier.Refuse(reason)
		}
		c, err := e.pool.get(ctx, upstream.Address, now)
		if err != nil {
			return e.unreachable(ctx, now)
		}
		v := e.exchange(ctx, c, upstream.Address, Outgoing{
			Call: job.Call, Instance: upstream.Instance, CallerService: job.CallerService, Remaining: time.Until(deadline),
		})
		if v.Reason == carrier.WrongEndpoint {
			e.lost(upstream.Instance)
		}
		if v.stale && job.Idempotent && ctx.Err() == nil {
			continue
		}
		return v.Result
	}
	return carrier.Fail(carrier.AnswerBroken)
}

func (e *Executor) unreachable(ctx context.Context, now time.Time) carrier.Result {
	if ctx.Err() != nil {
		return carrier.Refuse(reasonOf(ctx))
	}
	e.mu.Lock()
	e.unreachableUntil = now.Add(unreachableMemory)
	e.mu.Unlock()
	return carrier.Refuse(carrier.UpstreamUnreachable)
}

// lost takes in that another instance has the upstream's address.
func (e *Executor) lost(instance string) {
	e.mu.Lock()
	e.tracker.Lost(instance)
	e.queue.RefuseAll()
	e.mu.Unlock()
	e.config.Changed()
}

// Stop refuses calls from now on; those that run are finished.
func (e *Executor) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
	e.queue.RefuseAll()
}

// Close ends the idle connections.
func (e *Executor) Close() { e.pool.drop() }
