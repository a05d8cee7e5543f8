package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/operator/commander"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/explainer"
)

// explain runs the command against a node that knows one upstream of the path /read/.
func explain(arguments ...string) (int, string, string) {
	node := httptest.NewServer(explainer.Handler(func(q explainer.Question) explainer.Explanation {
		e := explainer.Explanation{Node: "n-1", Version: 7, Path: q.Path, Candidates: []explainer.Candidate{}}
		if !strings.HasPrefix(q.Path, "/read/") {
			e.Refusal = &explainer.Refusal{Status: 404, Reason: carrier.NoRoute}
			return e
		}
		e.Route, e.Service, e.Hedge = "read", "s", &explainer.Hedge{AfterMs: 58.4, Utilisation: 0.25}
		e.Candidates = []explainer.Candidate{
			{Node: "n-2", Instance: "i-2", Zone: "x", Chosen: true, Utility: 0.98, ExpectedMs: 20, ServiceMs: 20, MeasuredAgeMs: 40, Slots: 4},
			{Node: "n-3", Instance: "i-3", Zone: "y", RuledOut: "draining", MeasuredAgeMs: explainer.Never, LoadAgeMs: explainer.Never},
		}
		return e
	}))
	defer node.Close()
	var stdout, stderr bytes.Buffer
	arguments = append([]string{"explain", strings.TrimPrefix(node.URL, "http://")}, arguments...)
	code := commander.Run(context.Background(), "test", arguments, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Guards against scripts that take a refused request for one that would be served.
func TestExplainReportsRefusalByItsExitCode(t *testing.T) {
	Convey("The table names what is chosen and what rules the others out", t, func() {
		code, output, _ := explain("h", "/read/1?token=secret")
		So(code, ShouldEqual, commander.ExitOK)
		want, err := os.ReadFile(filepath.Join("testdata", "explain.golden"))
		So(err, ShouldBeNil)
		So(output, ShouldEqual, string(want))
	})
	Convey("JSON output is the explanation, without the query of the path", t, func() {
		code, output, _ := explain("h", "/read/1?token=secret", "-o", "json")
		So(code, ShouldEqual, commander.ExitOK)
		var e explainer.Explanation
		So(json.Unmarshal([]byte(output), &e), ShouldBeNil)
		So(e.Candidates, ShouldHaveLength, 2)
		So(output, ShouldNotContainSubstring, "secret")
	})
	Convey("A refusal, a bad path and an unreachable node have codes of their own", t, func() {
		code, _, message := explain("h", "/none")
		So(code, ShouldEqual, commander.ExitRefused)
		So(message, ShouldContainSubstring, "status 404, noRoute")
		code, _, _ = explain("h", "read")
		So(code, ShouldEqual, commander.ExitInput)
		var none bytes.Buffer
		So(commander.Run(context.Background(), "test", []string{"explain", "127.0.0.1:1", "h", "/"}, &none, &none), ShouldEqual, commander.ExitFailure)
	})
}
