package router_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/bundle/compiler"
	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/observe/meter"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/internal/serving/picker"
	"github.com/tamarackscale/tamarackscale/internal/serving/router"
	"github.com/tamarackscale/tamarackscale/standin/fleet"
)

// scriptedRemote is a Remote that returns the given refusals in order, then answers.
type scriptedRemote struct {
	refusals []*framer.Refusal
	attempts int
}

func (s *scriptedRemote) Execute(_ context.Context, _ string, call *framer.Call) (*framer.Answer, error) {
	s.attempts++
	if s.attempts <= len(s.refusals) {
		return nil, s.refusals[s.attempts-1]
	}
	body := io.NopCloser(strings.NewReader(call.ID))
	return &framer.Answer{Status: http.StatusOK, Header: http.Header{}, Body: body, Length: int64(len(call.ID))}, nil
}

// newRouter returns a router with three endpoints per service, all reached by the
// remote.
func newRouter(remote router.Remote) *router.Router {
	endpoints := picker.New("a", picker.PowerOfTwo)
	var members []merger.Entry
	for _, service := range []string{"orders", "catalogue"} {
		for _, id := range []string{"1", "2", "3"} {
			members = append(members, merger.Entry{ID: service + id, Zone: "a", Service: service, State: merger.Ready, Slots: 4})
		}
	}
	endpoints.Replace(members)
	table, err := fleet.Compile(fleet.Bundle("a"))
	So(err, ShouldBeNil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return router.New(router.Config{
		NodeID: "n", Table: func() *compiler.Table { return table }, Picker: endpoints, Remote: remote,
		Meter: meter.New(), Log: logrus.NewEntry(log),
	}, 1)
}

func TestCombinedRefusalHoldsForAllAttempts(t *testing.T) {
	notRun := func() *framer.Refusal { return framer.Refuse(framer.QueueFull, "full") }
	unknown := func() *framer.Refusal { return framer.RefuseUnknown(framer.PeerAnswerBroken, "broken") }
	cases := []struct {
		name     string
		refusals []*framer.Refusal
		outcome  framer.Outcome
		attempts int
	}{
		{"a refused call is retried", []*framer.Refusal{notRun()}, "", 2},
		{"an idempotent call with a broken answer is retried", []*framer.Refusal{unknown()}, "", 2},
		{"not run at any endpoint", []*framer.Refusal{notRun(), notRun()}, framer.NotRun, 2},
		{"unknown outcome first, then not run", []*framer.Refusal{unknown(), notRun()}, framer.Unknown, 2},
		{"not run first, then unknown outcome", []*framer.Refusal{notRun(), unknown()}, framer.Unknown, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			Convey("GET /catalogue with at most two attempts", t, func() {
				remote := &scriptedRemote{refusals: c.refusals}
				r := newRouter(remote)
				response := httptest.NewRecorder()
				r.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/catalogue", nil))
				So(response.Header().Get(framer.OutcomeHeader), ShouldEqual, string(c.outcome))
				So(remote.attempts, ShouldEqual, c.attempts)
				if c.outcome != "" {
					var refusal framer.Refusal
					So(json.Unmarshal(response.Body.Bytes(), &refusal), ShouldBeNil)
					So(refusal.RetriesExhausted, ShouldBeTrue)
				}
			})
		})
	}
}

func TestNonIdempotentCallIsNotRetriedAfterUnknownOutcome(t *testing.T) {
	Convey("a non-idempotent route that requires no key", t, func() {
		remote := &scriptedRemote{refusals: []*framer.Refusal{framer.RefuseUnknown(framer.PeerAnswerBroken, "broken")}}
		r := newRouter(remote)
		response := httptest.NewRecorder()
		r.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/notes", strings.NewReader("x")))
		So(response.Header().Get(framer.OutcomeHeader), ShouldEqual, string(framer.Unknown))
		So(remote.attempts, ShouldEqual, 1)
	})
}

func TestBadRequestsAreRefusedAsNotRun(t *testing.T) {
	cases := []struct {
		name, method, path, header, value string
		code                              framer.Code
		status                            int
	}{
		{"no route", "GET", "/nowhere", "", "", framer.NoRoute, 404},
		{"a path prefix matches whole segments", "GET", "/catalogues", "", "", framer.NoRoute, 404},
		{"timeout is not a duration", "GET", "/catalogue", framer.TimeoutHeader, "soon", framer.BadRequest, 400},
		{"negative timeout", "GET", "/catalogue", framer.TimeoutHeader, "-1s", framer.BadRequest, 400},
		{"depth is not a number", "GET", "/catalogue", framer.DepthHeader, "deep", framer.BadRequest, 400},
		{"call loop", "GET", "/catalogue", framer.DepthHeader, "32", framer.TooDeep, 508},
		{"missing key", "POST", "/orders", "", "", framer.KeyRequired, 400},
		{"key too long", "POST", "/orders", framer.KeyHeader, strings.Repeat("k", 129), framer.BadRequest, 400},
		{"body too large", "POST", "/notes", "X-Size", "large", framer.BodyTooLarge, 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			Convey(c.method+" "+c.path, t, func() {
				remote := &scriptedRemote{}
				var body io.Reader
				if c.value == "large" {
					body = strings.NewReader(strings.Repeat("x", 1<<20+1))
				}
				request := httptest.NewRequest(c.method, c.path, body)
				if c.header != "" {
					request.Header.Set(c.header, c.value)
				}
				response := httptest.NewRecorder()
				newRouter(remote).ServeHTTP(response, request)
				So(response.Code, ShouldEqual, c.status)
				So(response.Body.String(), ShouldContainSubstring, string(c.code))
				So(response.Header().Get(framer.OutcomeHeader), ShouldEqual, string(framer.NotRun))
				So(remote.attempts, ShouldEqual, 0)
			})
		})
	}
}

// BenchmarkServeHTTP measures the cost of the router itself per call.
func BenchmarkServeHTTP(b *testing.B) {
	var r *router.Router
	Convey("a router", b, func() { r = newRouter(&scriptedRemote{}) })
	b.ReportAllocs()
	for b.Loop() {
		r.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/catalogue", nil))
	}
}
