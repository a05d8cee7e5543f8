package retrier

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRepeatsOfAllNodesStayWithinTheBudget(t *testing.T) {
	budget := Budget{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	Convey("Sixteen nodes that all fail repeat less than the shared budget in any window", t, func() {
		const nodes, perSecond, seconds = 16, 10, 40
		all := make([]*Retrier, nodes)
		for i := range all {
			all[i] = New(budget)
		}
		var repeats []time.Time
		begin := time.Unix(1000, 0)
		for tick := range seconds * perSecond {
			now := begin.Add(time.Duration(tick) * time.Second / perSecond)
			for _, r := range all {
				r.Called("s", now)
				if r.Allow("s", nodes, now) {
					repeats = append(repeats, now)
				}
			}
		}
		So(len(repeats), ShouldBeGreaterThan, 0)
		for i := range repeats {
			inWindow := 0
			for _, at := range repeats[i:] {
				if at.Sub(repeats[i]) < budget.Window {
					inWindow++
				}
			}
			allowed := budget.Ratio*nodes*perSecond*budget.Window.Seconds() + budget.Slack
			So(float64(inWindow), ShouldBeLessThanOrEqualTo, allowed)
		}
	})
	Convey("Services have budgets of their own, and a silent hour resets them", t, func() {
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
