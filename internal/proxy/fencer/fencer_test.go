package fencer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

var now = time.Unix(1000, 0)

var attempt = AttemptID{Sender: 1, Number: 7}

func run() carrier.Result {
	return carrier.Result{Outcome: carrier.Run, Answer: carrier.Answer{Status: 200}}
}

func TestAttemptIsExecutedOnce(t *testing.T) {
	Convey("A message that is sent again joins the execution and gets its result", t, func() {
		f := New()
		first, isNew := f.Begin(attempt, func() {}, now)
		So(isNew, ShouldBeTrue)
		again, isNew := f.Begin(attempt, func() {}, now)
		So(isNew, ShouldBeFalse)
		So(again, ShouldEqual, first)
		f.Finish(first, run(), now)
		<-again.Done
		So(again.Result.Outcome, ShouldEqual, carrier.Run)
	})
	Convey("A message that is sent again after the answer was dropped is not executed again", t, func() {
		f := New()
		e, _ := f.Begin(attempt, func() {}, now)
		f.Finish(e, run(), now)
		again, isNew := f.Begin(attempt, func() {}, now.Add(attemptRetention/2))
		So(isNew, ShouldBeFalse)
		So(again.Result.Outcome, ShouldEqual, carrier.Unknown)
	})
	Convey("A refusal is kept after the retention of answers", t, func() {
		f := New()
		e, _ := f.Begin(attempt, func() {}, now)
		f.Finish(e, carrier.Refuse(carrier.Draining), now)
		again, _ := f.Begin(attempt, func() {}, now.Add(attemptRetention/2))
		So(again.Result.Outcome, ShouldEqual, carrier.NotRun)
	})
}

func TestRevokedAttemptIsNotExecuted(t *testing.T) {
	Convey("An attempt that arrives after its revocation is refused as not run", t, func() {
		f := New()
		So(f.Revoke(attempt, now), ShouldBeNil)
		e, isNew := f.Begin(attempt, func() {}, now)
		So(isNew, ShouldBeFalse)
		So(e.Result.Outcome, ShouldEqual, carrier.NotRun)
	})
	Convey("A running attempt is returned so that it can be cancelled, a finished one is not", t, func() {
		f := New()
		e, _ := f.Begin(attempt, func() {}, now)
		So(f.Revoke(attempt, now), ShouldEqual, e)
		f.Finish(e, run(), now)
		So(f.Revoke(attempt, now), ShouldBeNil)
	})
}

func TestFinishedAttemptsExpire(t *testing.T) {
	Convey("Finished attempts are kept for a bounded time", t, func() {
		f := New()
		for i := range 1000 {
			e, _ := f.Begin(AttemptID{Sender: 1, Number: uint64(i)}, func() {}, now.Add(time.Duration(i)*time.Second))
			f.Finish(e, run(), now.Add(time.Duration(i)*time.Second))
		}
		So(len(f.entries), ShouldBeLessThanOrEqualTo, int(attemptRetention/time.Second)+2)
	})
}
