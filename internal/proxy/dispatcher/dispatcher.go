// Package dispatcher takes a caller's call to an upstream: it finds the route,
// places the call, repeats it where that is safe and allowed, and says what the
// caller may do if no upstream answered.
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
	"github.com/tamarackscale/tamarackscale/internal/proxy/recognizer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/retrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
)

const (
	// longestWait stands for the time-out of a call that has none.
	longestWait = 60 * time.Second
	// answerMargin lets an upstream's own answer at the deadline come through.
	answerMargin = 30 * time.Millisecond
)

// Forwarder hands calls over to other nodes.
type Forwarder interface {
	Forward(ctx context.Context, m balancer.Member, job executor.Job, elsewhere bool) forwarder.RunReply
}

// Executor runs calls at the upstream beside the node.
type Executor interface {
	Execute(ctx context.Context, job executor.Job) (carrier.Result, time.Duration)
	Load(now time.Time) balancer.Load
	// Runs returns the kind of the call with the ID, and whether the upstream runs it.
	Runs(id string) (string, bool)
}

// Observer is told how each call ended.
type Observer interface {
	Ended(e Event)
	// HeardVersion takes in the configuration version of another node.
	HeardVersion(version int64)
}

// Event is one call as it ended.
type Event struct {
	Call     carrier.Call
	Nested   bool
	Route    string
	Service  string
	Rank     int
	Version  int64
	Attempts []Attempt
	Result   carrier.Result
	// Status is what the caller was told, Pause when it may come back.
	Status int
	Pause  time.Duration
	// Waited is how long ago the call was refused for the first time.
	Waited time.Duration
	// Took is the time from the request's last byte to the answer.
	Took time.Duration
}

// Attempt is one hand-over of a call.
type Attempt struct {
	Node     string
	Instance string
	Outcome  carrier.Outcome
	Reason   carrier.Reason
	Status   int
	// Took is the whole time, Service the part at the upstream.
	Took    time.Duration
	Service time.Duration
	// Load is what the node said of its upstream with the result.
	Load balancer.Load
}

// Config is what a dispatcher needs.
type Config struct {
	// Node and Service are the node's name and the service on its VM.
	Node     string
	Service  func() string
	Table    func() *router.Table
	Forward  Forwarder
	Execute  Executor
	Observe  Observer
	Balancer *balancer.Balancer
	Budget   retrier.Budget
}

// Dispatcher implements acceptor.Handler.
type Dispatcher struct {
	Config

	mu         sync.Mutex
	gate       *gater.Gate
	retrier    *retrier.Retrier
	recognizer *recognizer.Recognizer
}

// New returns a dispatcher.
func New(config Config) *Dispatcher {
	return &Dispatcher{
		Config: config, gate: gater.New(), retrier: retrier.New(config.Budget), recognizer: recognizer.New(),
	}
}

// defaultLimits hold until a configuration is in force.
var defaultLimits = router.Limits{
	MaxHeaderBytes: 64 << 10, MaxBodyBytes: 16 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
}

// maxBody bounds the bodies that a node holds in memory.
const maxBody = 16 << 20

// Limits implements acceptor.Handler.
func (d *Dispatcher) Limits() router.Limits {
	t := d.Table()
	if t == nil {
		return defaultLimits
	}
	limits := t.Limits
	limits.MaxBodyBytes = min(limits.MaxBodyBytes, maxBody)
	return limits
}

// Handle implements acceptor.Handler.
func (d *Dispatcher) Handle(ctx context.Context, call carrier.Call, received time.Time) acceptor.Response {
	table := d.Table()
	kind, nested := d.parentKind(call)
	event := Event{Call: call, Nested: nested}
	if table == nil {
		return d.end(event, carrier.Refuse(carrier.NoConfiguration), received, longestWait)
	}
	event.Version = table.Version
	match, found := table.Lookup(call.Host, call.Target)
	if !found {
		return d.end(event, carrier.Refuse(carrier.NoRoute), received, longestWait)
	}
	event.Route, event.Service, event.Rank = match.Name, match.Service, match.Rank
	d.learnDemand(event, kind, match.Objective, received)
	patience := patienceOf(call, match)
	ctx, cancel := context.WithDeadline(ctx, received.Add(patience+answerMargin))
	defer cancel()
	event.Waited = d.waited(call, received)
	p := &placement{
		d: d, match: match, call: call, received: received, patience: patience,
		objective: match.Objective - event.Waited, event: &event,
	}
	result := p.place(ctx)
	if result.Outcome == carrier.NotRun {
		d.remember(call, received.Add(-event.Waited))
	}
	return d.end(event, result, received, patience-time.Since(received))
}

func keyOf(call carrier.Call) recognizer.Key {
	return recognizer.Key{Method: call.Method, Host: call.Host, Target: call.Target}
}

// waited is how long ago the call was refused for the first time; zero if it is new.
func (d *Dispatcher) waited(call carrier.Call, received time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	first, returned := d.recognizer.TakeFirstRequest(keyOf(call), received)
	if !returned {
		return 0
	}
	return received.Sub(first)
}

// remember keeps in mind that a call was refused.
func (d *Dispatcher) remember(call carrier.Call, first time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recognizer.RecordRefusal(keyOf(call), first, time.Now())
}

// patienceOf is how long the call may take: the caller's wait, capped by the route.
func patienceOf(call carrier.Call, match router.Match) time.Duration {
	patience := longestWait
	if call.Timeout > 0 {
		patience = call.Timeout
	}
	if match.Timeout > 0 {
		patience = min(patience, match.Timeout)
	}
	return patience
}

// end turns a result into the caller's response.
func (d *Dispatcher) end(e Event, r carrier.Result, received time.Time, left time.Duration) acceptor.Response {
	e.Result, e.Took = r, time.Since(received)
	response := acceptor.Response{Answer: r.Answer}
	e.Status = r.Answer.Status
	if r.Outcome != carrier.Run {
		e.Status = statusOf(r)
		e.Pause = pauseOf(r, left)
		response = acceptor.Response{Own: true, Status: e.Status, Reason: string(r.Reason), Pause: e.Pause}
	}
	d.Observe.Ended(e)
	return response
}

// statusOf returns the status that promises no more than the outcome.
func statusOf(r carrier.Result) int {
	switch {
	case r.Reason == carrier.NoRoute:
		return http.StatusNotFound
	case r.Outcome == carrier.NotRun:
		return http.StatusServiceUnavailable
	case r.Reason == carrier.DeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// choose picks the node for the next hand-over.
func (d *Dispatcher) choose(n balancer.Need) (*balancer.Candidate, balancer.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	c := d.Balancer.Pick(n, now)
	if c == nil {
		return nil, balancer.Member{}
	}
	return c, c.Member
}

// learn tells the balancer how a hand-over ended.
func (d *Dispatcher) learn(c *balancer.Candidate, o balancer.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Balancer.Done(c, o, time.Now())
}

// mayRepeat asks the shared budget for one repeat.
func (d *Dispatcher) mayRepeat(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retrier.Allow(service, d.Balancer.Size(), time.Now())
}

func (d *Dispatcher) count(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retrier.RecordCall(service, time.Now())
}

// Members runs f with the balancer under its lock.
func (d *Dispatcher) Members(f func(b *balancer.Balancer)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.Balancer)
}

// expected returns the mean time of a kind of call over the upstreams of its
// service, and its deviation as a part of that; zero if nothing is known.
func (d *Dispatcher) expected(service, kind string) (time.Duration, float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Balancer.Expected(service, kind)
}

// hasRoom says whether an upstream that was not tried could answer the call in
// time without a wait.
func (d *Dispatcher) hasRoom(n balancer.Need) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Balancer.HasRoom(n, time.Now())
}
