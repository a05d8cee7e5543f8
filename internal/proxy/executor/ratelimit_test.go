package executor

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Answers overtake each other, and a limit may be unreadable. Neither must end a limit that is in
// force, and nothing must prolong one that has ended.
func TestLimitHoldsAsLongAsAnswersNameIt(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	rate := func(perSecond float64) RateLimit { return RateLimit{Stated: true, Valid: true, PerSecond: perSecond} }
	Convey("An upstream has named a limit of 9 in an answer that arrived at 100 ms", t, func() {
		var l limitState
		So(l.update(RateLimit{}, at(0), at(50)), ShouldBeFalse)
		So(l.update(rate(9), at(0), at(100)), ShouldBeTrue)
		Convey("which an answer to an earlier call does not end", func() {
			So(l.update(RateLimit{}, at(90), at(150)), ShouldBeFalse)
			So(l.RateLimit, ShouldResemble, rate(9))
		})
		Convey("nor an unreadable one", func() {
			So(l.update(RateLimit{Stated: true}, at(110), at(150)), ShouldBeFalse)
			So(l.RateLimit, ShouldResemble, rate(9))
		})
		Convey("an answer to a later call ends it", func() {
			So(l.update(RateLimit{}, at(101), at(150)), ShouldBeTrue)
			So(l.RateLimit, ShouldResemble, RateLimit{})
		})
		Convey("another limit replaces it", func() {
			So(l.update(rate(0), at(90), at(150)), ShouldBeTrue)
			So(l.RateLimit, ShouldResemble, rate(0))
		})
	})
}
