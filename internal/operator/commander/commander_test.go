package commander_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/operator/commander"
)

func TestInvalidArgumentsAreRejectedBeforePlatformCalls(t *testing.T) {
	cases := []struct{ arguments, message string }{
		{"nothing", "unexpected argument nothing"},
		{"--platform nonsense rollout status", `--platform: "nonsense" is not an address of the form IP:port`},
		{"--timeout 0s rollout status", "--timeout must be above 0s"},
		{"rollout start abc", `expected a valid 64 bit int but got "abc"`},
		{"rollout start 1", "--operator (or TAMARACKSCALE_OPERATOR) is required"},
		{"--operator eva rollout start 1 --unreachable maybe", `--unreachable must be one of "wait","proceed"`},
		{"--operator eva rollout start 1 --deadline 0s", "--deadline must be above 0s"},
		{"--operator eva bundle create", "give either a bundle file or --from-version"},
		{"--operator eva bundle sign 1 --key /nonexistent.pem", "no such file"},
		{"bundle check /nonexistent.yaml", "no such file"},
		{"bundle check ../../bundle/checker/testdata/types.yaml", "types.yaml:3: field availabilityZone not found"},
		{"release status nonsense", `"nonsense" is not an address of the form IP:port`},
		{"settings check ../../settings/loader/testdata/types.yaml /nonexistent.yaml", "nonexistent.yaml"},
	}
	t.Setenv("TAMARACKSCALE_OPERATOR", "")
	for _, c := range cases {
		Convey("tamarackscale "+c.arguments, t, func() {
			var stdout, stderr bytes.Buffer
			code := commander.Run(context.Background(), "test", strings.Fields(c.arguments), &stdout, &stderr)
			So(code, ShouldEqual, commander.ExitInput)
			So(stderr.String(), ShouldContainSubstring, c.message)
		})
	}
}

// Guards against a state that operators can't see, or only at the controller.
func TestReleaseStatusShowsWhatRolloutWaitsFor(t *testing.T) {
	page := `{"followed":[{"service":"a","target":"v2","phase":"canary","share":0.06,"why":"too few answers on route r","inForce":true},
		{"service":"b","target":"v3","phase":"whole","share":1,"why":"","inForce":false}],
		"controlled":[{"service":"a","target":"v2","phase":"rollingBack","share":0,"elapsedSeconds":3.5,"limitSeconds":16,
		"why":"the version answers badly","calls":900,"targetCalls":50,"evidence":{"Route":"r","Upstreams":3,"Answers":20,"Bad":9,"Expected":1.5}}]}`
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rollouts", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(page)) })
	server := httptest.NewServer(mux)
	defer server.Close()
	Convey("The rows have the reasons", t, func() {
		var stdout, stderr bytes.Buffer
		address := strings.TrimPrefix(server.URL, "http://")
		code := commander.Run(context.Background(), "test", []string{"release", "status", address}, &stdout, &stderr)
		So(stderr.String(), ShouldBeEmpty)
		So(code, ShouldEqual, commander.ExitOK)
		So(stdout.String(), ShouldContainSubstring, "9 of 20 answers of 3 upstreams are bad, 1.5 expected")
		So(stdout.String(), ShouldContainSubstring, "plan has expired")
		So(strings.Count(stdout.String(), "v2"), ShouldEqual, 1)
	})
}
