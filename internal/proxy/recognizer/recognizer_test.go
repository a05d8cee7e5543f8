package recognizer

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var now = time.Unix(1000, 0)

// Guards against calls whose time starts anew with each request of their caller, and
// against refusals that are kept without a bound.
func TestRefusedCallIsRecognizedOnce(t *testing.T) {
	Convey("The time of the first request is returned for the next request only", t, func() {
		r := New()
		key := Key{Method: "GET", Host: "h", Target: "/1"}
		r.RecordRefusal(key, now, now.Add(50*time.Millisecond))
		first, known := r.TakeFirstRequest(key, now.Add(300*time.Millisecond))
		So(known, ShouldBeTrue)
		So(first, ShouldEqual, now)
		_, known = r.TakeFirstRequest(key, now.Add(300*time.Millisecond))
		So(known, ShouldBeFalse)
	})
	Convey("Other calls and expired refusals are not recognised", t, func() {
		r := New()
		key := Key{Method: "GET", Host: "h", Target: "/1"}
		r.RecordRefusal(key, now, now)
		_, known := r.TakeFirstRequest(Key{Method: "POST", Host: "h", Target: "/1"}, now)
		So(known, ShouldBeFalse)
		_, known = r.TakeFirstRequest(key, now.Add(retention+time.Second))
		So(known, ShouldBeFalse)
	})
	Convey("A call that is refused again is recognised until its newest refusal expires", t, func() {
		r := New()
		key := Key{Method: "GET", Host: "h", Target: "/1"}
		again := now.Add(retention - time.Second)
		r.RecordRefusal(key, now, now)
		_, _ = r.TakeFirstRequest(key, again)
		r.RecordRefusal(key, now, again)
		first, known := r.TakeFirstRequest(key, now.Add(retention+time.Second))
		So(known, ShouldBeTrue)
		So(first, ShouldEqual, now)
	})
	Convey("The number of recorded refusals is bounded", t, func() {
		r := New()
		for i := range 3 * maxRefusals {
			r.RecordRefusal(Key{Target: fmt.Sprint(i)}, now, now)
		}
		So(len(r.latest), ShouldEqual, maxRefusals)
		r.RecordRefusal(Key{Target: "later"}, now, now.Add(2*retention))
		So(len(r.latest), ShouldEqual, 1)
	})
}
