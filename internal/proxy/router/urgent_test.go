package router

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against memory that is kept for urgent calls and goes to calls of other routes, or to none.
func TestUrgentRequestsAreThoseOfMostUrgentNonIdempotentRoutes(t *testing.T) {
	Convey("Of routes of the ranks 1 and 2", t, func() {
		route := func(prefix string, rank int, idempotent bool) Route {
			return Route{Host: "h", Prefix: prefix, Rank: rank, Idempotent: idempotent, Backends: []Backend{{Service: "s", Weight: 1}}}
		}
		table := New(Configuration{Routes: []Route{
			route("/order", 1, false), route("/order/list", 1, true), route("/report", 2, false),
		}}, nil, 1)
		for target, urgent := range map[string]bool{
			"/order": true, "/order?a=/report": true, "/order/list": false, "/report": false, "/other": false,
		} {
			So(table.IsUrgent("h", target), ShouldEqual, urgent)
		}
		So(New(Configuration{}, nil, 1).IsUrgent("h", "/order"), ShouldBeFalse)
	})
}
