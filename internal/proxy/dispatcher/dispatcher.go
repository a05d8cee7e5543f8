// Package dispatcher takes a caller's call to an upstream: it looks up the route,
// chooses a node, retries or hedges the call where that is safe and within the budget,
// and turns the outcome into the response, which states when the caller may try again if
// the call has not run.
package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/acceptor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/gater"
	"github.com/tamarackscale/tamarackscale/internal/proxy/hedger"
	"github.com/tamarackscale/tamarackscale/internal/proxy/recognizer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/retrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
)

const (
	// defaultTimeout applies to calls for which neither the caller nor the route sets
	// a timeout.
	defaultTimeout = 60 * time.Second
	// answerMargin extends the deadline, so that an answer which the upstream sends at
	// the deadline still reaches the caller.
	answerMargin = 30 * time.Millisecond
)

// Forwarder forwards attempts to other nodes.
type Forwarder interface {
	// Forward sends an attempt to a member and waits for its result. The flag
	// retryElsewhere means that another node may still receive the call if this one
	// does not answer.
	Forward(ctx context.Context, m balancer.Member, job executor.Job, retryElsewhere bool) forwarder.RunReply
}

// Executor runs calls at the local upstream, which is the one on the node's VM.
type Executor interface {
	// Execute runs a call and returns its result and its time at the upstream.
	Execute(ctx context.Context, job executor.Job) (carrier.Result, time.Duration)
	// Load returns the load of the upstream.
	Load(now time.Time) balancer.Load
	// InFlight returns the call with the ID, and whether the upstream is running it.
	InFlight(id string) (executor.Parent, bool)
}

// Observer is notified of ended calls and of configuration versions.
type Observer interface {
	// Ended is called once for each call, after its outcome is known.
	Ended(e Event)
	// ObserveVersion is called with the configuration version in force at the node that
	// replied to an attempt, 0 if it is unknown, and the node's peer address.
	ObserveVersion(version int64, address string)
}

// Event describes a call that has ended.
type Event struct {
	Call carrier.Call
	// Nested means that the local upstream makes the call for one that it is running.
	Nested bool
	// Repeat means that the call it is made for is a repeat.
	Repeat bool
	// Account is the name of the account on whose behalf the call is made; empty if there is none.
	Account string
	// Route, Service and Rank have their zero values if no route was found.
	Route   string
	Service string
	Rank    int
	// Version is the configuration version that routed the call; 0 if there was none.
	Version int64
	// Attempts is in the order in which the attempts ended.
	Attempts []Attempt
	// Hedge describes the hedge; nil if there was to be none.
	Hedge  *Hedge
	Result carrier.Result
	// Status is the status of the response, and RetryAfter the time after which the
	// caller may send the call again; 0 if the response states none.
	Status     int
	RetryAfter time.Duration
	// Waited is the time since the caller's first request for the call, if that was
	// refused; 0 otherwise.
	Waited time.Duration
	// Took is the time from the last byte of the request to the response.
	Took time.Duration

	// hasToken means that the call has taken a token of its account's quota, overQuota that the
	// account has lately asked for more.
	hasToken  bool
	overQuota bool
}

// Attempt is one try of a call at one node.
type Attempt struct {
	Node     string
	Instance string
	// Hedge reports whether the attempt was a hedge.
	Hedge   bool
	Outcome carrier.Outcome
	Reason  carrier.Reason
	// Status is the status of the answer; 0 if there is none.
	Status int
	// Took is the duration of the attempt, and Service the time of it that was spent at
	// the upstream.
	Took         time.Duration
	UpstreamTime time.Duration
	// Load is the load of the upstream that the node sent with the result.
	Load balancer.Load
}

// Config holds the dependencies of a Dispatcher.
type Config struct {
	// Node is the name of this node.
	Node string
	// Service returns the name of the local upstream's service.
	Service func() string
	// Table returns the routing table in force, or nil if there is none yet.
	Table   func() *router.Table
	Forward Forwarder
	Execute Executor
	// Identities is needed only if a configuration has accounts.
	Identities Identities
	// Quotas is nil if accounts have no quotas.
	Quotas   Quotas
	Observe  Observer
	Balancer *balancer.Balancer
	Budget   retrier.Budget
	// ExtraWork limits hedges to a share of the calls to a service; nil if only the retry budget
	// limits them.
	ExtraWork *float64
	// End returns the time by which calls must have ended; zero if there is none. Nil
	// means that there never is.
	End func() time.Time
	// Versions assigns attempts to versions of a service; nil if versions do not matter.
	Versions Versions
}

// Versions assigns attempts to versions of a service and is notified of them.
type Versions interface {
	// Restrict returns the versions that an attempt may go to. It is called with the balancer's lock
	// held.
	Restrict(b *balancer.Balancer, info balancer.PickInfo, now time.Time) balancer.VersionFilter
	// Began is called when an attempt has been assigned to a member, Ended when it has ended.
	Began(m balancer.Member)
	Ended(m balancer.Member, o balancer.Outcome, now time.Time)
}

// Dispatcher dispatches calls to upstreams. It implements acceptor.Handler and is safe
// for concurrent use.
type Dispatcher struct {
	Config

	// mu guards the balancer as well as the fields below.
	mu      sync.Mutex
	gate    *gater.Gate
	retrier *retrier.Retrier
	// hedger is nil without ExtraWork.
	hedger     *hedger.Hedger
	recognizer *recognizer.Recognizer
}

// New returns a Dispatcher.
func New(config Config) *Dispatcher {
	d := &Dispatcher{
		Config: config, gate: gater.New(), retrier: retrier.New(config.Budget), recognizer: recognizer.New(),
	}
	if config.ExtraWork != nil {
		d.hedger = hedger.New(*config.ExtraWork)
	}
	return d
}

// defaultLimits applies until a configuration is in force.
var defaultLimits = router.Limits{
	MaxHeaderBytes: 64 << 10, MaxBodyBytes: 16 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
}

// maxBodyBytes caps the configured limit, since a node holds whole bodies in memory.
const maxBodyBytes = 16 << 20

// Limits implements acceptor.Handler.
func (d *Dispatcher) Limits() router.Limits {
	t := d.Table()
	if t == nil {
		return defaultLimits
	}
	limits := t.Limits
	limits.MaxBodyBytes = min(limits.MaxBodyBytes, maxBodyBytes)
	return limits
}

// Handle implements acceptor.Handler.
func (d *Dispatcher) Handle(ctx context.Context, call carrier.Call, received time.Time) acceptor.Response {
	table := d.Table()
	parent, nested := d.parentOf(call)
	event := Event{Call: call, Nested: nested, Repeat: parent.Repeat}
	if table == nil {
		return d.respond(event, carrier.Refuse(carrier.NoConfiguration), received, defaultTimeout)
	}
	event.Version = table.Version
	account, reason := d.authenticate(table, &event, parent)
	if reason != "" {
		return d.respond(event, carrier.Refuse(reason), received, defaultTimeout)
	}
	if result, over := d.ration(ctx, table, &event, account); over {
		return d.respond(event, result, received, defaultTimeout)
	}
	call = event.Call
	refused := d.takeRefusal(call, received)
	event.Waited = received.Sub(refused.First)
	match, found := table.Lookup(call.Host, call.Target, refused.Service)
	if !found {
		return d.respond(event, carrier.Refuse(carrier.NoRoute), received, defaultTimeout)
	}
	match = table.Ranked(match, account)
	event.Route, event.Service, event.Rank = match.Name, match.Service, match.Rank
	d.recordDemand(event, parent.Kind, match.Objective, received)
	timeout := d.untilEnd(timeoutOf(call, match), received)
	if timeout <= 0 {
		return d.respond(event, carrier.Refuse(carrier.Stopping), received, defaultTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, received.Add(timeout+answerMargin))
	defer cancel()
	p := &placement{
		d: d, match: match, call: call, received: received, timeout: timeout,
		objective: objectiveOf(match, &event), event: &event,
	}
	result := p.place(ctx)
	if result.Outcome == carrier.NotRun {
		d.recordRefusal(call, recognizer.Refused{First: refused.First, Service: match.Service})
	}
	return d.respond(event, result, received, timeout-time.Since(received))
}

func keyOf(call carrier.Call) recognizer.Key {
	return recognizer.Key{Method: call.Method, Host: call.Host, Target: call.Target}
}

// takeRefusal returns the refusal of a call that was refused before. That of another call begins
// when it was received.
func (d *Dispatcher) takeRefusal(call carrier.Call, received time.Time) recognizer.Refused {
	d.mu.Lock()
	defer d.mu.Unlock()
	if refused, known := d.recognizer.TakeRefusal(keyOf(call), received); known {
		return refused
	}
	return recognizer.Refused{First: received}
}

// recordRefusal records the refusal of a call.
func (d *Dispatcher) recordRefusal(call carrier.Call, refused recognizer.Refused) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recognizer.RecordRefusal(keyOf(call), refused, time.Now())
}

// timeoutOf returns the timeout of a call: the caller's, capped by the route's.
func timeoutOf(call carrier.Call, match router.Match) time.Duration {
	timeout := defaultTimeout
	if call.Timeout > 0 {
		timeout = call.Timeout
	}
	if match.Timeout > 0 {
		timeout = min(timeout, match.Timeout)
	}
	return timeout
}

// untilEnd caps the timeout of a call so that it ends before the node does. Its upstream is
// told the shorter time, and its answer at that time still reaches the caller.
func (d *Dispatcher) untilEnd(timeout time.Duration, received time.Time) time.Duration {
	if d.End == nil {
		return timeout
	}
	end := d.End()
	if end.IsZero() {
		return timeout
	}
	return min(timeout, end.Sub(received))
}

// respond notifies the observer of the end of a call and returns the caller's response.
// The remaining time is what is left until the call's deadline.
func (d *Dispatcher) respond(e Event, r carrier.Result, received time.Time, remaining time.Duration) acceptor.Response {
	e.Result, e.Took = r, time.Since(received)
	d.returnToken(e)
	response := acceptor.Response{Answer: r.Answer}
	e.Status = r.Answer.Status
	if r.Outcome != carrier.Run {
		e.Status = statusOf(r)
		e.RetryAfter = retryAfter(r, remaining)
		response = acceptor.Response{Refused: true, Status: e.Status, Reason: string(r.Reason), RetryAfter: e.RetryAfter}
	}
	d.Observe.Ended(e)
	return response
}

// statusOf returns the status of a response without an answer. Only a call that has
// certainly not run gets 401, 404, 429 or 503; one that may have run gets 502 or 504.
func statusOf(r carrier.Result) int {
	switch {
	case r.Reason == carrier.NoRoute:
		return http.StatusNotFound
	case r.Reason == carrier.KeyMissing || r.Reason == carrier.KeyUnknown:
		return http.StatusUnauthorized
	case r.Reason == carrier.OverQuota:
		return http.StatusTooManyRequests
	case r.Outcome == carrier.NotRun:
		return http.StatusServiceUnavailable
	case r.Reason == carrier.DeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// choose picks the node for the next attempt, and reports whether there is one. A retry must
// fit the retry budget of the service, and counts against it if there is a node for it.
func (d *Dispatcher) choose(info balancer.PickInfo, retry bool) (pendingAttempt, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	info.Versions = d.versions(info, now)
	var a pendingAttempt
	if retry {
		allowed := d.Balancer.Available(info, now)
		if allowed {
			a.cost.retry, allowed = d.retrier.Take(info.Service, d.Balancer.Size(), now)
		}
		if !allowed {
			return pendingAttempt{}, false
		}
	}
	if a.candidate = d.Balancer.Pick(info, now); a.candidate == nil {
		return pendingAttempt{}, false
	}
	if d.Versions != nil {
		d.Versions.Began(a.candidate.Member)
	}
	a.member = a.candidate.Member
	return a, true
}

// recordOutcome passes the outcome of an attempt to the balancer.
func (d *Dispatcher) recordOutcome(c *balancer.Candidate, o balancer.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Balancer.Done(c, o, time.Now())
}

// countCall counts a call to a service. A call for one that is a repeat counts against the retry budget
// of its service, although it can't be refused for that.
func (d *Dispatcher) countCall(service string, repeat bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.retrier.RecordCall(service, now)
	if repeat {
		d.retrier.RecordRepeat(service, now)
	}
	if d.hedger != nil {
		d.hedger.RecordCall(service, now)
	}
}

// hasLargeBodies reports whether the calls of a kind have large bodies.
func (d *Dispatcher) hasLargeBodies(kind string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Balancer.MeanBytes(kind) >= largeBodyBytes
}

// largeBodyBytes is the mean size from which the bodies of a kind of call travel apart from small
// messages, which would wait behind them.
const largeBodyBytes = 16 << 10

// WithBalancer calls f with the balancer while holding its lock.
func (d *Dispatcher) WithBalancer(f func(b *balancer.Balancer)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.Balancer)
}

// meanServiceTime returns the mean service time of a kind of call over the upstreams of a
// service, and its mean deviation as a fraction of it. Both are zero if no service time is
// known.
func (d *Dispatcher) meanServiceTime(service, kind string) (time.Duration, float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Balancer.MeanServiceTime(service, kind)
}

// versions returns the versions that an attempt may go to. The caller holds the lock.
func (d *Dispatcher) versions(info balancer.PickInfo, now time.Time) balancer.VersionFilter {
	if d.Versions == nil {
		return balancer.VersionFilter{}
	}
	return d.Versions.Restrict(d.Balancer, info, now)
}
