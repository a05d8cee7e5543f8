package recognizer

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var now = time.Unix(1000, 0)

func TestRefusedCallIsKnownAgainOnce(t *testing.T) {
	Convey("The first attempt's time is told to the next one only", t, func() {
		r := New()
		key := Key{Method: "GET", Host: "h", Target: "/1"}
		r.Refused(key, now, now.Add(50*time.Millisecond))
		first, known := r.Returned(key, now.Add(300*time.Millisecond))
		So(known, ShouldBeTrue)
		So(first, ShouldEqual, now)
		_, known = r.Returned(key, now.Add(300*time.Millisecond))
		So(known, ShouldBeFalse)
	})
	Convey("Other calls and old refusals are not known", t, func() {
		r := New()
		key := Key{Method: "GET", Host: "h", Target: "/1"}
		r.Refused(key, now, now)
		_, known := r.Returned(Key{Method: "POST", Host: "h", Target: "/1"}, now)
		So(known, ShouldBeFalse)
		_, known = r.Returned(key, now.Add(memory+time.Second))
		So(known, ShouldBeFalse)
	})
	Convey("What is remembered is bounded", t, func() {
		r := New()
		for i := range 3 * capacity {
			r.Refused(Key{Target: fmt.Sprint(i)}, now, now)
		}
		So(len(r.first), ShouldEqual, capacity)
		r.Refused(Key{Target: "later"}, now, now.Add(2*memory))
		So(len(r.first), ShouldEqual, 1)
	})
}
