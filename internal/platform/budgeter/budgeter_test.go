package budgeter_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/platform/budgeter"
)

var start = time.Unix(1_700_000_000, 0)

// countCalls makes calls one after another, each of which takes no time, until span has
// elapsed, and returns their number.
func countCalls(p *budgeter.Pacer, failed bool, span time.Duration) int {
	count := 0
	for now := start; now.Before(start.Add(span)); count++ {
		now = now.Add(p.Reserve(now))
		p.Done(failed, now, 0.5)
	}
	return count
}

func TestBackoffSpacesCallsAfterFailures(t *testing.T) {
	Convey("within ten minutes", t, func() {
		config := budgeter.Default()
		Convey("a failing platform is called once in four to eight seconds", func() {
			So(countCalls(budgeter.NewPacer(config, start), true, 10*time.Minute), ShouldBeLessThan, 160)
		})
		Convey("a healthy platform is called at most at the configured rate", func() {
			// 40 calls of the burst, 6000 at 10 calls per second, and one for rounding.
			So(countCalls(budgeter.NewPacer(config, start), false, 10*time.Minute), ShouldBeLessThanOrEqualTo, 6041)
		})
		Convey("the first success ends the backoff", func() {
			p := budgeter.NewPacer(config, start)
			p.Done(true, start, 0.5)
			So(p.Reserve(start), ShouldBeGreaterThan, 0)
			p.Done(false, start, 0.5)
			So(p.Reserve(start), ShouldEqual, 0)
		})
	})
}
