package commander_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/tamarackscale/tamarackscale/internal/operator/commander"
	"github.com/tamarackscale/tamarackscale/standin/answers"
)

// Commands that ask a node or the platform at ADDRESS.
var (
	nodeCommands     = []string{"node status ADDRESS", "release status ADDRESS", "explain ADDRESS h /"}
	platformCommands = []string{"--platform ADDRESS rollout status", "--platform ADDRESS bundle list"}
)

// checkNoResult checks that commands fail and print no result if what they ask answers so.
func checkNoResult(t *testing.T, answer answers.Handler, commands ...string) {
	address := answers.Start(t, answer)
	for _, command := range commands {
		arguments := strings.ReplaceAll("--timeout 30s "+command, "ADDRESS", address)
		var stdout, stderr bytes.Buffer
		code := commander.Run(context.Background(), "test", strings.Fields(arguments), &stdout, &stderr)
		if code == commander.ExitOK || code == commander.ExitInput || stdout.Len() > 0 {
			t.Errorf("%s: exit code %d, output %q, error %q", arguments, code, stdout.String(), stderr.String())
		}
	}
}

func TestBrokenResponseIsNoResult(t *testing.T) {
	for _, answer := range answers.Broken("") {
		t.Run(answer.Name, func(t *testing.T) {
			checkNoResult(t, answers.Sending(answer.Text), slices.Concat(nodeCommands, platformCommands)...)
		})
	}
}

func TestResponseWithoutEndIsNoResult(t *testing.T) {
	for _, stream := range answers.Endless("") {
		t.Run(stream.Name, func(t *testing.T) {
			var sent atomic.Int64
			checkNoResult(t, stream.Handle(&sent), nodeCommands...)
		})
	}
}

// A node that can't answer says so by its status.
func TestStatusOfNodeThatFailsIsNoResult(t *testing.T) {
	for _, status := range []int{404, 500, 503} {
		checkNoResult(t, answers.Sending(fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: 2\r\n\r\n{}", status)), nodeCommands...)
	}
}
