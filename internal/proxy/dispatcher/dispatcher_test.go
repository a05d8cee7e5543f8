package dispatcher

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
)

func TestStatusPromisesNoMoreThanTheOutcome(t *testing.T) {
	cases := []struct {
		result carrier.Result
		status int
		pause  bool
	}{
		{carrier.Refuse(carrier.NoRoute), http.StatusNotFound, false},
		{carrier.Refuse(carrier.WaitTooLong), http.StatusServiceUnavailable, true},
		{carrier.Refuse(carrier.DeadlineExceeded), http.StatusServiceUnavailable, true},
		{carrier.Fail(carrier.DeadlineExceeded), http.StatusGatewayTimeout, false},
		{carrier.Fail(carrier.PeerLost), http.StatusBadGateway, false},
		{carrier.Fail(carrier.AnswerBroken), http.StatusBadGateway, false},
	}
	Convey("Only what has not run is called so, and told when to come back", t, func() {
		for _, c := range cases {
			So(statusOf(c.result), ShouldEqual, c.status)
			So(pauseOf(c.result, time.Second) > 0, ShouldEqual, c.pause)
		}
	})
}

func TestPauseFitsTheQueueAndTheTimeLeft(t *testing.T) {
	full := func(wait time.Duration) carrier.Result {
		return carrier.Result{Outcome: carrier.NotRun, Reason: carrier.WaitTooLong, Wait: wait}
	}
	Convey("A caller comes back when the work ahead is done, with time to be served", t, func() {
		So(pauseOf(full(200*time.Millisecond), 1200*time.Millisecond), ShouldEqual, 200*time.Millisecond)
		So(pauseOf(full(900*time.Millisecond), 1200*time.Millisecond), ShouldEqual, 400*time.Millisecond)
		So(pauseOf(full(0), 1200*time.Millisecond), ShouldEqual, shortestPause)
		So(pauseOf(carrier.Refuse(carrier.PeerUnreachable), 1200*time.Millisecond), ShouldEqual, repairPause)
	})
}

func TestResultSpeaksForAllHandOvers(t *testing.T) {
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
		{late, soon, soon},
		{soon, late, soon},
		{soon, refused, soon},
	}
	Convey("What may have run is never called unrun, and an answer goes before a failure", t, func() {
		for _, c := range cases {
			So(combine(c.best, c.next, false), ShouldResemble, c.want)
		}
	})
}

func TestCallThatGivesWayToUrgentWorkGoesToNoOtherNode(t *testing.T) {
	p := &placement{
		match:    router.Match{Route: &router.Route{MaxAttempts: 3}},
		received: time.Now(), patience: time.Minute,
	}
	Convey("Every node would hold the call back for the same work", t, func() {
		So(p.goOn(context.Background(), carrier.Refuse(carrier.WaitTooLong)), ShouldBeTrue)
		So(p.goOn(context.Background(), carrier.Refuse(carrier.UrgentFirst)), ShouldBeFalse)
		wait := carrier.Result{Outcome: carrier.NotRun, Reason: carrier.UrgentFirst, Wait: 200 * time.Millisecond}
		So(statusOf(wait), ShouldEqual, http.StatusServiceUnavailable)
		So(pauseOf(wait, time.Second), ShouldEqual, wait.Wait)
	})
}
