package clock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a step that a later release of Go stores elsewhere, so that the tests of
// steps would check nothing.
func TestStepMovesTimeOfDayOnly(t *testing.T) {
	Convey("The time of day is stepped, the steady clock is not", t, func() {
		now := time.Now()
		for _, seconds := range []int{5, -5} {
			stepped := Step(now, seconds)
			So(stepped.Unix()-now.Unix(), ShouldEqual, seconds)
			So(stepped.Sub(now), ShouldEqual, 0)
		}
	})
}
