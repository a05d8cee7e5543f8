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
		r.RecordRefusal(key, Refused{First: now, Service: "s"}, now.Add(50*time.Millisecond))
		first, known := r.TakeRefusal(key, now.Add(300*time.Millisecond))
		So(known, ShouldBeTrue)
		So(first, ShouldResemble, Refused{First: now, Service: "s"})
		_, known = r.TakeRefusal(key, now.Add(300*time.Millisecond))
		So(known, ShouldBeFalse)
	})
	Convey("Other calls and expired refusals are not recognised", t, func() {
		r := New()
		key := Key{Method: "GET", Host: "h", Target: "/1"}
		r.RecordRefusal(key, Refused{First: now, Service: "s"}, now)
		_, known := r.TakeRefusal(Key{Method: "POST", Host: "h", Target: "/1"}, now)
		So(known, ShouldBeFalse)
		_, known = r.TakeRefusal(key, now.Add(retention+time.Second))
		So(known, ShouldBeFalse)
	})
	Convey("A call that is refused again is recognised until its newest refusal expires", t, func() {
		r := New()
		key := Key{Method: "GET", Host: "h", Target: "/1"}
		again := now.Add(retention - time.Second)
		r.RecordRefusal(key, Refused{First: now, Service: "s"}, now)
		_, _ = r.TakeRefusal(key, again)
		r.RecordRefusal(key, Refused{First: now, Service: "s"}, again)
		first, known := r.TakeRefusal(key, now.Add(retention+time.Second))
		So(known, ShouldBeTrue)
		So(first, ShouldResemble, Refused{First: now, Service: "s"})
	})
	Convey("The number of recorded refusals is bounded", t, func() {
		r := New()
		for i := range 3 * maxRefusals {
			r.RecordRefusal(Key{Target: fmt.Sprint(i)}, Refused{First: now}, now)
		}
		So(len(r.latest), ShouldEqual, maxRefusals)
		r.RecordRefusal(Key{Target: "later"}, Refused{First: now}, now.Add(2*retention))
		So(len(r.latest), ShouldEqual, 1)
	})
}
