package commander_test

import (
	"bytes"
	"context"
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
