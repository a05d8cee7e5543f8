package executor

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

// A caller takes some statuses as the promise that its call has not run, and sends it again. An
// upstream that does not state it promises nothing.
func TestStatusThatPromisesTooMuchIsNotPassedOn(t *testing.T) {
	cases := []struct {
		head    Head
		outcome carrier.Outcome
	}{
		{Head{Status: http.StatusServiceUnavailable}, carrier.Unknown},
		{Head{Status: http.StatusServiceUnavailable, Stamped: true}, carrier.Unknown},
		{Head{Status: http.StatusTooManyRequests}, carrier.Unknown},
		{Head{Status: http.StatusRequestTimeout}, carrier.Unknown},
		{Head{Status: http.StatusServiceUnavailable, NotExecuted: true}, carrier.NotRun},
		{Head{Status: http.StatusMisdirectedRequest, NotExecuted: true, Misdirected: true}, carrier.NotRun},
		{Head{Status: http.StatusInternalServerError}, carrier.Run},
		{Head{Status: http.StatusGatewayTimeout}, carrier.Run},
	}
	Convey("Only an upstream's own statement is passed on as one", t, func() {
		for _, c := range cases {
			So(classify(c.head, nil).Outcome, ShouldEqual, c.outcome)
		}
	})
}
