package fencer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

var now = time.Unix(1000, 0)

// allowed is the time from now until the latest start of attempt.
const allowed = 10 * time.Second

var (
	attempt = AttemptID{Sender: 1, Number: 7}
	latest  = now.Add(allowed)
)

func run() carrier.Result {
	return carrier.Result{Outcome: carrier.Run, Answer: carrier.Answer{Status: 200}}
}

func TestAttemptIsExecutedOnce(t *testing.T) {
	Convey("A message that is sent again joins the execution and gets its result", t, func() {
		f := New()
		first, isNew := f.Begin(attempt, latest, func() {}, now)
		So(isNew, ShouldBeTrue)
		again, isNew := f.Begin(attempt, latest, func() {}, now)
		So(isNew, ShouldBeFalse)
		So(again, ShouldEqual, first)
		f.Finish(first, run(), now)
		<-again.Done
		So(again.Result.Outcome, ShouldEqual, carrier.Run)
	})
	Convey("A message that is sent again after the answer was dropped is not executed again", t, func() {
		f := New()
		e, _ := f.Begin(attempt, latest, func() {}, now)
		f.Finish(e, run(), now)
		again, isNew := f.Begin(attempt, latest, func() {}, now.Add(allowed/2))
		So(isNew, ShouldBeFalse)
		So(again.Result.Outcome, ShouldEqual, carrier.Unknown)
	})
	Convey("A refusal is kept after the retention of answers", t, func() {
		f := New()
		e, _ := f.Begin(attempt, latest, func() {}, now)
		f.Finish(e, carrier.Refuse(carrier.Draining), now)
		again, _ := f.Begin(attempt, latest, func() {}, now.Add(allowed/2))
		So(again.Result.Outcome, ShouldEqual, carrier.NotRun)
	})
}

func TestRevokedAttemptIsNotExecuted(t *testing.T) {
	Convey("An attempt that arrives after its revocation is refused as not run", t, func() {
		f := New()
		So(f.Revoke(attempt, latest, now), ShouldBeNil)
		e, isNew := f.Begin(attempt, latest, func() {}, now)
		So(isNew, ShouldBeFalse)
		So(e.Result.Outcome, ShouldEqual, carrier.NotRun)
	})
	Convey("A running attempt is returned so that it can be cancelled, a finished one is not", t, func() {
		f := New()
		e, _ := f.Begin(attempt, latest, func() {}, now)
		So(f.Revoke(attempt, latest, now), ShouldEqual, e)
		f.Finish(e, run(), now)
		So(f.Revoke(attempt, latest, now), ShouldBeNil)
	})
}

// An attempt of an earlier release has no latest start, one of this release is needed until then.
func TestFinishedAttemptsExpire(t *testing.T) {
	kept := func(latestOf func(begun time.Time) time.Time) int {
		f := New()
		for i := range 1000 {
			begun := now.Add(time.Duration(i) * time.Second)
			e, _ := f.Begin(AttemptID{Sender: 1, Number: uint64(i)}, latestOf(begun), func() {}, begun)
			f.Finish(e, run(), begun)
		}
		return len(f.entries)
	}
	Convey("Finished attempts are kept for a bounded time", t, func() {
		So(kept(func(time.Time) time.Time { return time.Time{} }), ShouldBeLessThanOrEqualTo, int(unboundedRetention/time.Second)+2)
		So(kept(func(begun time.Time) time.Time { return begun.Add(allowed) }), ShouldBeLessThanOrEqualTo, int(allowed/time.Second)+2)
	})
	Convey("An attempt that ran for longer than its latest start is known while its answer is kept", t, func() {
		f := New()
		e, _ := f.Begin(attempt, latest, func() {}, now)
		end := now.Add(2 * allowed)
		f.Finish(e, run(), end)
		again, isNew := f.Begin(attempt, latest, func() {}, end.Add(AnswerRetention))
		So(isNew, ShouldBeFalse)
		So(again.Result.Outcome, ShouldEqual, carrier.Run)
	})
}

// A copy may arrive at any time after the attempt has ended or was revoked. It must not run, and
// its result must not promise that no earlier copy has run.
func TestCopyIsNotExecutedAtAnyAge(t *testing.T) {
	for _, age := range []time.Duration{time.Second, allowed, allowed + 1, 19 * time.Second, 21 * time.Second, time.Minute, time.Hour} {
		Convey("A copy that arrives after "+age.String(), t, func() {
			f := New()
			e, _ := f.Begin(attempt, latest, func() {}, now)
			f.Finish(e, run(), now)
			again, isNew := f.Begin(attempt, latest, func() {}, now.Add(age))
			So(isNew, ShouldBeFalse)
			<-again.Done
			So(again.Result.Outcome, ShouldNotEqual, carrier.NotRun)
			So(again.Expired, ShouldEqual, age > allowed)
		})
		Convey("The first message of a revoked attempt that arrives after "+age.String(), t, func() {
			f := New()
			f.Revoke(attempt, latest, now)
			_, isNew := f.Begin(attempt, latest, func() {}, now.Add(age))
			So(isNew, ShouldBeFalse)
		})
	}
}
