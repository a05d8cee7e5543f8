package connector_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/internal/upstream/connector"
)

func TestRefusalOfAnUpstreamKeepsWhetherItWasRetried(t *testing.T) {
	for _, retried := range []bool{false, true} {
		Convey("an upstream forwards a refusal that it received for a nested call", t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(framer.OutcomeHeader, string(framer.NotRun))
				if retried {
					w.Header().Set(framer.RetriesExhaustedHeader, "true")
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer server.Close()
			invoker := connector.New(connector.NewTransport(1, nil))
			call := &framer.Call{ID: "1", Method: http.MethodGet, Target: "/", Header: http.Header{}, Deadline: time.Now().Add(time.Minute)}
			_, err := invoker.Invoke(context.Background(), strings.TrimPrefix(server.URL, "http://"), call)
			var refusal *framer.Refusal
			So(errors.As(err, &refusal), ShouldBeTrue)
			So(refusal.Outcome, ShouldEqual, framer.NotRun)
			So(refusal.RetriesExhausted, ShouldEqual, retried)
		})
	}
}
