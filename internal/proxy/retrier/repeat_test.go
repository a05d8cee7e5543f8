package retrier

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against retries that use a budget which the nested calls of repeated calls have used already:
// where each parent makes more calls than its service gets directly, half of the budget is not enough
// for them.
func TestRepeatsOfNestedCallsLeaveLessForRetries(t *testing.T) {
	Convey("Retries and repeats of a service with a thousand calls, of which 100 are repeats", t, func() {
		r, now := New(Budget{Ratio: 0.2, Slack: 0, Window: 10 * time.Second}), time.Unix(1000, 0)
		for i := range 1000 {
			r.RecordCall("s", now)
			if i < 100 {
				r.RecordRepeat("s", now)
			}
		}
		retries := 0
		for r.Allow("s", 1, now) {
			retries++
		}
		So(retries, ShouldEqual, 30)
		Convey("They leave the window with the calls", func() {
			now = now.Add(time.Minute)
			for range 1000 {
				r.RecordCall("s", now)
			}
			for range 72 {
				So(r.Allow("s", 1, now), ShouldBeTrue)
			}
			So(r.Allow("s", 1, now), ShouldBeFalse)
		})
	})
}
