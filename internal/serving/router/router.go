// Package router serves the callers' HTTP interface. It matches each request to a
// route of the bundle version in force, applies deadline, depth and rate limits,
// claims the idempotency key of non-idempotent work, picks endpoints and retries.
// The response is the upstream's answer, or a refusal that states whether the call
// was run.
package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarackscale/tamarackscale/internal/bundle/compiler"
	"github.com/tamarackscale/tamarackscale/internal/observe/meter"
	"github.com/tamarackscale/tamarackscale/internal/serving/carrier"
	"github.com/tamarackscale/tamarackscale/internal/serving/claimer"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/internal/serving/picker"
	"github.com/tamarackscale/tamarackscale/internal/serving/recorder"
	"github.com/tamarackscale/tamarackscale/internal/serving/retrier"
)

// anonymous is the tenant of requests without a tenant header.
const anonymous = "anonymous"

// Remote runs calls at other nodes.
type Remote interface {
	// Execute runs a call at the node with the given peer address. The caller closes
	// the body of the answer. The error is a *framer.Refusal or wraps one.
	Execute(ctx context.Context, address string, call *framer.Call) (*framer.Answer, error)
}

// Claims manages the claims of idempotency keys.
type Claims interface {
	// Begin claims a key. It returns exactly one of: a grant to run the work, the
	// stored answer of an earlier request with the key, or a refusal.
	Begin(ctx context.Context, request claimer.Request) (*claimer.Grant, *recorder.StoredAnswer, *framer.Refusal)
	// Settle records how the work under a grant ended. The answer may be nil.
	Settle(ctx context.Context, grant *claimer.Grant, end recorder.End, answer *recorder.StoredAnswer)
}

// Config holds the dependencies of a router.
type Config struct {
	NodeID string
	// Table returns the routing table of the version in force, or nil if the node is
	// not ready to serve.
	Table  func() *compiler.Table
	Picker *picker.Picker
	// Local runs calls at this node's own upstream.
	Local  carrier.Backend
	Remote Remote
	Claims Claims
	Meter  *meter.Meter
	Log    *logrus.Entry
}

// Router is the http.Handler of the callers' interface.
type Router struct {
	Config
	// prefix and counter form request IDs that are unique across the fleet.
	prefix      string
	counter     atomic.Int64
	limits      tenantLimits
	budgets     sync.Map // route name to *retrier.Budget
	settlements sync.WaitGroup
}

// New returns a router. The incarnation is part of its request IDs, so that they
// differ from those issued before a restart of the node.
func New(config Config, incarnation int64) *Router {
	prefix := fmt.Sprintf("%s-%s-", config.NodeID, strconv.FormatInt(incarnation, 36))
	return &Router{Config: config, prefix: prefix}
}

// request is the state of one caller's request.
type request struct {
	http    *http.Request
	table   *compiler.Table
	route   *compiler.Route
	call    *framer.Call
	started time.Time
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	id := r.prefix + strconv.FormatInt(r.counter.Add(1), 36)
	req, refusal := r.prepare(h, id)
	if refusal != nil {
		r.refuse(w, req, id, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(h.Context(), req.call.Deadline)
	defer cancel()
	if req.call.Key != "" && !req.route.Idempotent {
		r.serveWithKey(ctx, w, req)
		return
	}
	answer, refusal := r.executeWithRetries(ctx, req)
	if refusal != nil {
		r.refuse(w, req, id, refusal)
		return
	}
	r.respond(w, req, answer)
}

// prepare matches the route and builds the call. Together with a refusal it
// returns the request with the fields set so far; call is always set.
func (r *Router) prepare(h *http.Request, id string) (*request, *framer.Refusal) {
	req := &request{http: h, started: time.Now()}
	req.call = &framer.Call{
		ID: id, Tenant: anonymous, Method: h.Method, Target: h.URL.RequestURI(), Header: h.Header,
		Key: h.Header.Get(framer.KeyHeader), Node: r.NodeID,
	}
	if tenant := h.Header.Get(framer.TenantHeader); tenant != "" {
		req.call.Tenant = tenant
	}
	if req.table = r.Table(); req.table == nil {
		return req, framer.Refuse(framer.NoVersion, "no bundle version is in force on this node yet")
	}
	if req.route = req.table.Match(h); req.route == nil {
		return req, framer.Refuse(framer.NoRoute, "no route for %s %s", h.Method, h.URL.Path)
	}
	req.call.Version = req.table.Version
	req.call.Service, req.call.Rank = req.route.Service.Name, req.route.Rank
	if refusal := r.applyLimits(req); refusal != nil {
		return req, refusal
	}
	body, refusal := carrier.ReadBody(h)
	req.call.Body = body
	return req, refusal
}

// applyLimits sets the deadline and depth of the call from the request headers and
// the route, and checks the depth, the idempotency key and the tenant's rate limit.
func (r *Router) applyLimits(req *request) *framer.Refusal {
	timeout := req.route.Deadline.Std()
	if text := req.http.Header.Get(framer.TimeoutHeader); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return framer.Refuse(framer.BadRequest, "header %s: %q is not a positive duration", framer.TimeoutHeader, text)
		}
		timeout = min(timeout, requested)
	}
	req.call.Deadline = req.started.Add(timeout)
	if text := req.http.Header.Get(framer.DepthHeader); text != "" {
		depth, err := strconv.Atoi(text)
		if err != nil || depth < 0 {
			return framer.Refuse(framer.BadRequest, "header %s: %q is not a non-negative integer", framer.DepthHeader, text)
		}
		req.call.Depth = depth
	}
	req.call.Depth++
	if req.call.Depth > framer.MaxDepth {
		return framer.Refuse(framer.TooDeep, "the call chain is longer than %d", framer.MaxDepth)
	}
	if req.route.RequireKey && req.call.Key == "" {
		return framer.Refuse(framer.KeyRequired, "route %s requires header %s", req.route.Name, framer.KeyHeader)
	}
	if len(req.call.Key) > recorder.MaxKeyBytes {
		return framer.Refuse(framer.BadRequest, "header %s is longer than %d bytes", framer.KeyHeader, recorder.MaxKeyBytes)
	}
	if !r.limits.allow(req.table, req.call.Tenant, req.call.Rank, req.started) {
		return framer.Refuse(framer.TenantLimit, "tenant %s exceeds its rate limit for rank %s", req.call.Tenant, req.call.Rank)
	}
	return nil
}

// executeWithRetries runs the call at one endpoint after another until one answers
// or no further attempt is allowed. No endpoint is tried twice.
func (r *Router) executeWithRetries(ctx context.Context, req *request) (*framer.Answer, *framer.Refusal) {
	budget := r.budget(req.route.Name)
	budget.Earn(req.route.Retry.Budget)
	tried := map[string]bool{}
	var past attempts
	for {
		endpoint, refusal := r.Picker.Pick(req.call.Service, req.route.RankIndex, tried, time.Now(), rand.IntN)
		if refusal != nil {
			return nil, past.combinedRefusal(refusal)
		}
		answer, refusal := r.attempt(ctx, req, endpoint)
		if refusal == nil {
			return answer, nil
		}
		tried[endpoint.ID] = true
		past.add(refusal)
		failed := retrier.Attempt{
			Number: past.count, MaxAttempts: req.route.Retry.MaxAttempts, Idempotent: req.route.Idempotent,
			Refusal: refusal, Remaining: time.Until(req.call.Deadline),
		}
		if !failed.Allowed() {
			return nil, past.combinedRefusal(refusal)
		}
		if !budget.Spend() {
			refusal.RetriesExhausted = true
			return nil, past.combinedRefusal(refusal)
		}
		r.Meter.Retries.WithLabelValues(req.call.Rank).Inc()
	}
}

// attempts summarises the failed attempts of one call.
type attempts struct {
	count int
	// unknown is the last refusal with an unknown outcome, or nil.
	unknown *framer.Refusal
}

func (a *attempts) add(refusal *framer.Refusal) {
	a.count++
	if refusal.Outcome == framer.Unknown {
		a.unknown = refusal
	}
}

// combinedRefusal returns the refusal for the call as a whole. If the outcome of any
// attempt is unknown, so is that of the call. If the call was retried, the refusal has
// RetriesExhausted set, so that callers further up the chain do not multiply the
// attempts.
func (a *attempts) combinedRefusal(last *framer.Refusal) *framer.Refusal {
	if a.unknown != nil {
		last = a.unknown
	}
	if a.count > 1 {
		last.RetriesExhausted = true
	}
	return last
}

// budget returns the retry budget of a route.
func (r *Router) budget(route string) *retrier.Budget {
	if budget, found := r.budgets.Load(route); found {
		return budget.(*retrier.Budget)
	}
	budget, _ := r.budgets.LoadOrStore(route, retrier.NewBudget())
	return budget.(*retrier.Budget)
}

// attempt runs the call once at an endpoint and reports the result to the picker.
func (r *Router) attempt(
	ctx context.Context, req *request, endpoint *picker.Choice,
) (*framer.Answer, *framer.Refusal) {
	answer, err := r.execute(ctx, req, endpoint)
	result, refusal := classify(answer, err)
	r.Picker.Done(endpoint, result, time.Now())
	return answer, refusal
}

// execute runs the call at this node's upstream or forwards it to another node.
func (r *Router) execute(ctx context.Context, req *request, endpoint *picker.Choice) (*framer.Answer, error) {
	if endpoint.ID == r.NodeID {
		return r.Local.Execute(ctx, req.call)
	}
	answer, err := r.Remote.Execute(ctx, endpoint.PeerAddress, req.call)
	if err != nil {
		return nil, err
	}
	if refusal := bufferAnswer(ctx, answer); refusal != nil {
		return nil, refusal
	}
	return answer, nil
}

// refuse writes a refusal as the response and records it.
func (r *Router) refuse(w http.ResponseWriter, req *request, id string, refusal *framer.Refusal) {
	rank := req.call.Rank
	r.Meter.Refusals.WithLabelValues(rank, string(refusal.Code)).Inc()
	r.observe(req, string(refusal.Outcome), 0)
	if refusal.Outcome == framer.Unknown {
		r.Log.WithFields(logrus.Fields{
			"request": id, "code": refusal.Code, "route": req.call.Service, "detail": refusal.Detail,
		}).Warn("outcome of a call is unknown")
	}
	refusal.Write(w, id)
}

// respond writes the upstream's answer as the response and closes its body.
func (r *Router) respond(w http.ResponseWriter, req *request, answer *framer.Answer) {
	defer answer.Body.Close()
	framer.CopyHeader(w.Header(), answer.Header)
	w.Header().Set(framer.RequestHeader, req.call.ID)
	r.observe(req, "answered", answer.UpstreamTime+answer.QueueTime)
	carrier.SendBody(w, answer)
}

// observe records the total time of a call, and the time that forwarding added to it:
// the total without the excluded time, which is that in the endpoint's queue and at the
// upstream. The added time is not recorded if excluded is zero, as for refusals and
// replays.
func (r *Router) observe(req *request, outcome string, excluded time.Duration) {
	total := time.Since(req.started)
	tenant := r.limits.label(req.table, req.call.Tenant)
	r.Meter.CallTime.WithLabelValues(tenant, req.call.Rank, outcome).Observe(total.Seconds())
	if excluded > 0 {
		r.Meter.AddedTime.WithLabelValues(tenant, req.call.Rank).Observe((total - excluded).Seconds())
	}
}

// Wait blocks until the ends of all served claims are recorded or have timed out.
func (r *Router) Wait() { r.settlements.Wait() }
