package retrier

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/clock"
)

// Guards against retry storms: each node decides on retries alone, so that its share of
// the budget must be small enough for the sum over all nodes.
func TestRetriesOfAllNodesStayWithinTheBudget(t *testing.T) {
	budget := Budget{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	Convey("Sixteen nodes whose calls all fail stay within the shared budget in any window", t, func() {
		const nodes, perSecond, seconds = 16, 10, 40
		all := make([]*Retrier, nodes)
		for i := range all {
			all[i] = New(budget)
		}
		var retries []time.Time
		begin := time.Unix(1000, 0)
		for tick := range seconds * perSecond {
			now := begin.Add(time.Duration(tick) * time.Second / perSecond)
			for _, r := range all {
				r.RecordCall("s", now)
				if r.Allow("s", nodes, now) {
					retries = append(retries, now)
				}
			}
		}
		So(len(retries), ShouldBeGreaterThan, 0)
		for i := range retries {
			inWindow := 0
			for _, at := range retries[i:] {
				if at.Sub(retries[i]) < budget.Window {
					inWindow++
				}
			}
			allowed := budget.Ratio*nodes*perSecond*budget.Window.Seconds() + budget.Slack
			So(float64(inWindow), ShouldBeLessThanOrEqualTo, allowed)
		}
	})
	Convey("Each service has a budget of its own, which is full again after an hour without calls", t, func() {
		r := New(budget)
		now := time.Unix(1000, 0)
		granted := 0
		for range 100 {
			if r.Allow("a", 1, now) {
				granted++
			}
		}
		So(granted, ShouldEqual, 28)
		So(r.Allow("b", 1, now), ShouldBeTrue)
		So(r.Allow("a", 1, now.Add(time.Hour)), ShouldBeTrue)
	})
}

// Guards against charges that are returned after they have left the window, which would allow
// more retries than the budget.
func TestReturnedChargeCountsOnceAtMost(t *testing.T) {
	budget := Budget{Slack: 4, Window: 10 * time.Second}
	Convey("A returned charge is available again, one of an earlier window is not", t, func() {
		r := New(budget)
		now := time.Unix(1000, 0)
		first, _ := r.Take("s", 1, now)
		So(r.Allow("s", 1, now), ShouldBeTrue)
		So(r.Allow("s", 1, now), ShouldBeFalse)
		now = now.Add(2 * time.Second)
		r.Return(first, now)
		second, allowed := r.Take("s", 1, now)
		So(allowed, ShouldBeTrue)
		So(r.Allow("s", 1, now), ShouldBeFalse)
		now = now.Add(2 * budget.Window)
		r.Return(second, now)
		r.Return(Charge{}, now)
		So(r.Allow("s", 1, now), ShouldBeTrue)
		So(r.Allow("s", 1, now), ShouldBeTrue)
		So(r.Allow("s", 1, now), ShouldBeFalse)
	})
}

// Guards against a jump of the time of day that renews a spent budget or keeps it spent.
func TestStepOfClockDoesNotChangeTheBudget(t *testing.T) {
	budget := Budget{Slack: 56, Window: 10 * time.Second}
	cases := []struct {
		seconds int
		after   time.Duration
		allowed bool
	}{
		{5, 7 * time.Second, false},
		{-5, 12 * time.Second, true},
	}
	for _, c := range cases {
		Convey("A spent budget is renewed after a window by the steady clock", t, func() {
			r := New(budget)
			now := time.Now()
			for r.Allow("s", 1, now) {
			}
			So(r.Allow("s", 1, clock.Step(now.Add(c.after), c.seconds)), ShouldEqual, c.allowed)
		})
	}
}
