package dispatcher

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/retrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
)

// Guards against a response that invites the caller to send a call again which may have
// run already.
func TestStatusOfResultsWithoutAnAnswer(t *testing.T) {
	cases := []struct {
		result carrier.Result
		status int
		delay  bool
	}{
		{carrier.Refuse(carrier.NoRoute), http.StatusNotFound, false},
		{carrier.Refuse(carrier.WaitTooLong), http.StatusServiceUnavailable, true},
		{carrier.Refuse(carrier.DeadlineExceeded), http.StatusServiceUnavailable, true},
		{carrier.Fail(carrier.DeadlineExceeded), http.StatusGatewayTimeout, false},
		{carrier.Fail(carrier.PeerLost), http.StatusBadGateway, false},
		{carrier.Fail(carrier.AnswerBroken), http.StatusBadGateway, false},
	}
	Convey("Only a call that has certainly not run gets 503 and a retry delay", t, func() {
		for _, c := range cases {
			So(statusOf(c.result), ShouldEqual, c.status)
			So(retryAfter(c.result, time.Second) > 0, ShouldEqual, c.delay)
		}
	})
}

// Guards against a caller that sends a refused call again while the queue is still full, or
// too late for the call to be served before its deadline.
func TestRetryAfterFitsTheQueueAndTheRemainingTime(t *testing.T) {
	full := func(wait time.Duration) carrier.Result {
		return carrier.Result{Outcome: carrier.NotRun, Reason: carrier.WaitTooLong, Wait: wait}
	}
	Convey("The delay covers the queue's wait but leaves time for the call to be served", t, func() {
		So(retryAfter(full(200*time.Millisecond), 1200*time.Millisecond), ShouldEqual, 200*time.Millisecond)
		So(retryAfter(full(900*time.Millisecond), 1200*time.Millisecond), ShouldEqual, 400*time.Millisecond)
		So(retryAfter(full(0), 1200*time.Millisecond), ShouldEqual, minRetryAfter)
		So(retryAfter(carrier.Refuse(carrier.PeerUnreachable), 1200*time.Millisecond), ShouldEqual, failureRetryAfter)
	})
}

// Guards against a refusal that hides an earlier attempt which may have run: the caller
// would send a call again that is not safe to retry.
func TestCombinedResultHoldsForAllAttempts(t *testing.T) {
	run := carrier.Result{Outcome: carrier.Run, Answer: carrier.Answer{Status: http.StatusOK}}
	failed := carrier.Result{Outcome: carrier.Run, Answer: carrier.Answer{Status: http.StatusInternalServerError}}
	unknown := carrier.Fail(carrier.PeerLost)
	refused := carrier.Refuse(carrier.Draining)
	soon := carrier.Result{Outcome: carrier.NotRun, Reason: carrier.WaitTooLong, Wait: 100 * time.Millisecond}
	late := carrier.Result{Outcome: carrier.NotRun, Reason: carrier.WaitTooLong, Wait: 300 * time.Millisecond}
	cases := []struct{ best, next, want carrier.Result }{
		{unknown, refused, unknown},
		{refused, unknown, unknown},
		{unknown, run, run},
		{failed, unknown, failed},
		{failed, refused, failed},
		{failed, run, run},
		{run, failed, run},
		{run, unknown, run},
		{late, soon, soon},
		{soon, late, soon},
		{soon, refused, soon},
	}
	Convey("A call that may have run is never reported as not run, and an answer takes precedence over a failure", t, func() {
		for _, c := range cases {
			So(combine(c.best, c.next, false), ShouldResemble, c.want)
		}
	})
}

// Guards against an error that hides the success of an attempt that ran in parallel, whichever of
// the two ended first: the call of a deletion that has been hedged may be answered 200 and 404.
func TestCombinedResultLosesNoSuccess(t *testing.T) {
	answered := func(status int) carrier.Result {
		return carrier.Result{Outcome: carrier.Run, Answer: carrier.Answer{Status: status}}
	}
	// Ordered by what the caller gets if it is one of two results.
	results := []carrier.Result{
		carrier.Refuse(carrier.Draining), carrier.Fail(carrier.PeerLost), answered(http.StatusInternalServerError),
		answered(http.StatusGatewayTimeout), answered(http.StatusNotFound), answered(http.StatusOK),
	}
	Convey("In both orders of each pair, the better result is returned", t, func() {
		for i, worse := range results {
			for _, better := range results[i:] {
				So(combine(worse, better, false), ShouldResemble, better)
				So(combine(better, worse, false), ShouldResemble, better)
			}
		}
	})
}

// Guards against attempts at further nodes after a refusal in favour of more urgent work:
// every node would refuse the call for the same reason.
func TestCallRefusedForUrgentWorkIsNotRetried(t *testing.T) {
	p := &placement{
		match:    router.Match{Route: &router.Route{MaxAttempts: 3}},
		received: time.Now(), timeout: time.Minute,
	}
	Convey("The call is not retried, and its caller may send it again after the wait", t, func() {
		So(p.mayRetry(context.Background(), carrier.Refuse(carrier.WaitTooLong)), ShouldBeTrue)
		So(p.mayRetry(context.Background(), carrier.Refuse(carrier.UrgentFirst)), ShouldBeFalse)
		wait := carrier.Result{Outcome: carrier.NotRun, Reason: carrier.UrgentFirst, Wait: 200 * time.Millisecond}
		So(statusOf(wait), ShouldEqual, http.StatusServiceUnavailable)
		So(retryAfter(wait, time.Second), ShouldEqual, wait.Wait)
	})
}

// Guards against a queue that is too long being taken for a failing upstream.
func TestDeadlineInQueueIsNoFailureOfUpstream(t *testing.T) {
	Convey("Only a call that the upstream had may count as its failure", t, func() {
		queued := outcomeOf(forwarder.RunReply{Result: carrier.Refuse(carrier.DeadlineExceeded)}, "k")
		So(queued.Failed, ShouldBeFalse)
		sent := outcomeOf(forwarder.RunReply{Result: carrier.Fail(carrier.DeadlineExceeded)}, "k")
		So(sent.Failed, ShouldBeTrue)
	})
}

// Guards against a retry budget that is spent on retries for which there is no node.
func TestRetryWithoutNodeIsNotCharged(t *testing.T) {
	Convey("The budget is left for a retry that has a node", t, func() {
		d := New(Config{
			Balancer: balancer.New("x"), Budget: retrier.Budget{Slack: 2, Window: 10 * time.Second},
		})
		info := balancer.PickInfo{Service: "s", Kind: "k", Objective: time.Second, Remaining: time.Second}
		for range 10 {
			_, found := d.choose(info, true)
			So(found, ShouldBeFalse)
		}
		d.Balancer.Update(balancer.Member{Node: "n", Start: 1, Sequence: 1, Zone: "x", Service: "s", Instance: "i", Slots: 4})
		_, found := d.choose(info, true)
		So(found, ShouldBeTrue)
	})
}

// Guards against a retry budget that is spent at nodes that pass no call to an upstream: full and
// unreachable ones are tried as a last resort.
func TestRetryThatReachesNoUpstreamIsNotCharged(t *testing.T) {
	Convey("Calls that one upstream has failed and the other nodes refuse leave the budget whole", t, func() {
		d := New(Config{
			Node: "own", Service: func() string { return "caller" }, Observe: noObserver{}, Forward: refusingForwarder{failing: "n-1"},
			Balancer: balancer.New("x"), Budget: retrier.Budget{Slack: 4, Window: 10 * time.Second},
		})
		for _, node := range []string{"n-1", "n-2"} {
			d.Balancer.Update(balancer.Member{Node: node, Start: 1, Sequence: 1, Zone: "x", Service: "s", Instance: "i", Slots: 4})
		}
		for range 10 {
			p := &placement{
				d: d, match: router.Match{Service: "s", Route: &router.Route{Name: "k", Idempotent: true, MaxAttempts: 3}},
				received: time.Now(), timeout: time.Minute, objective: time.Second, event: &Event{},
			}
			p.place(context.Background())
			So(p.event.Attempts, ShouldHaveLength, 2)
		}
	})
}

// refusingForwarder returns a failure of the upstream for attempts to one node, and refuses all
// others before they reach an upstream.
type refusingForwarder struct{ failing string }

func (f refusingForwarder) Forward(_ context.Context, m balancer.Member, _ executor.Job, _ bool) forwarder.RunReply {
	if m.Node == f.failing {
		return forwarder.RunReply{Result: carrier.Fail(carrier.AnswerBroken)}
	}
	return forwarder.RunReply{Result: carrier.Refuse(carrier.PeerUnreachable)}
}

// Guards against callers that disconnect early, or hedges that are faster, making an upstream seem
// slow or failing.
func TestWithdrawnAttemptSaysNothingAboutUpstream(t *testing.T) {
	Convey("Neither mean service time nor utility of the upstream change", t, func() {
		reply := forwarder.RunReply{Result: carrier.Fail(carrier.CallerGone), UpstreamTime: time.Minute}
		d := New(Config{Observe: noObserver{}, Balancer: balancer.New("x")})
		d.Balancer.Update(balancer.Member{Node: "n", Start: 1, Sequence: 1, Zone: "x", Service: "s", Instance: "i", Slots: 4})
		p := &placement{
			d: d, match: router.Match{Service: "s", Route: &router.Route{Name: "k", Idempotent: true, MaxAttempts: 3}},
			timeout: time.Minute, event: &Event{},
		}
		record := func(began time.Time, reply forwarder.RunReply) {
			a, _ := d.choose(balancer.PickInfo{Service: "s", Kind: "k"}, false)
			a.began = began
			p.recordOutcome(context.Background(), a, reply)
		}
		answer := carrier.Result{Outcome: carrier.Run, Answer: carrier.Answer{Status: http.StatusOK}, Arrived: true}
		record(time.Now(), forwarder.RunReply{Result: answer, UpstreamTime: 20 * time.Millisecond})
		for range 20 {
			record(time.Now().Add(-time.Minute), reply)
		}
		mean, _ := d.meanServiceTime("s", "k")
		So(mean, ShouldEqual, 20*time.Millisecond)
		So(d.Balancer.HasCapacity(balancer.PickInfo{Service: "s", Kind: "k", Remaining: time.Second}, time.Now()), ShouldBeTrue)
	})
}

// noObserver ignores all events.
type noObserver struct{}

func (noObserver) Ended(Event)                  {}
func (noObserver) ObserveVersion(int64, string) {}
