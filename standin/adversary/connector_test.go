package adversary

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/verifier"
	"github.com/tamarackscale/tamarackscale/internal/operator/commander"
	platform "github.com/tamarackscale/tamarackscale/internal/platform/connector"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/internal/upstream/connector"
	"github.com/tamarackscale/tamarackscale/standin/answers"
)

// The calls run in a process of their own, which is this program. Its environment names what calls and the
// address that it calls.
const (
	callerVariable  = "TAMARACKSCALE_TEST_CALLER"
	addressVariable = "TAMARACKSCALE_TEST_ADDRESS"
)

// callers make calls that get answers without end, all at the same time.
var callers = map[string]func(address string){"upstream": callUpstream, "store": callStore, "operator": callNode}

const (
	// upstreamCalls is the number of calls to an upstream.
	upstreamCalls = 64
	// readBytes is how much each reads of a body, which is passed on as it comes.
	readBytes = 1 << 20
)

func callUpstream(address string) {
	invoker := connector.New(connector.NewTransport(upstreamCalls, nil))
	var calls sync.WaitGroup
	defer calls.Wait()
	for range upstreamCalls {
		calls.Go(func() {
			answer, err := invoker.Invoke(context.Background(), address, &framer.Call{
				ID: "id", Method: http.MethodGet, Target: "/", Header: http.Header{}, Deadline: time.Now().Add(patience),
			})
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, answer.Body, readBytes)
			_ = answer.Body.Close()
		})
	}
}

// callStore makes the calls that a node has in flight at the same time.
func callStore(address string) {
	store := platform.New(platform.Config{Address: address, Timeout: patience}, verifier.New(&http.Transport{}))
	ctx := context.Background()
	var calls sync.WaitGroup
	defer calls.Wait()
	calls.Go(func() { _, _ = store.Watch(ctx, "rollout/", 0, 0) })
	calls.Go(func() { _, _ = store.Get(ctx, "key") })
	calls.Go(func() { _ = store.Renew(ctx, 1) })
	calls.Go(func() { _, _ = store.Grant(ctx, time.Second) })
}

// callNode runs an operator's command that asks a node.
func callNode(address string) {
	commander.Run(context.Background(), "test", []string{"node", "status", address}, io.Discard, io.Discard)
}

// checkCaller checks the memory of a process whose calls get answers without end.
func checkCaller(t *testing.T, caller, fields string) {
	for _, stream := range answers.Endless(fields) {
		t.Run(stream.Name, func(t *testing.T) {
			var sent atomic.Int64
			process := exec.Command(os.Args[0])
			process.Env = append(os.Environ(), callerVariable+"="+caller, addressVariable+"="+answers.Start(t, stream.Handle(&sent)))
			output, err := process.CombinedOutput()
			if err != nil {
				t.Fatalf("the process has ended: %v, %s", err, output)
			}
			peak, err := strconv.Atoi(strings.TrimSpace(string(output)))
			if err != nil || peak <= 0 || peak > memoryLimit {
				t.Errorf("resident memory of %d MB, output %q", peak, output)
			}
			t.Logf("peak of resident memory: %d MB", peak)
		})
	}
}

// A process with 8 such calls had 1,235 MB with header lines: net/http reads heads of 10 MB, of which each
// line costs many times its bytes.
func TestUpstreamConnectorTakesBoundedMemory(t *testing.T) {
	checkCaller(t, "upstream", framer.RequestHeader+": id\r\n")
}

func TestStoreConnectorTakesBoundedMemory(t *testing.T) { checkCaller(t, "store", "") }

func TestOperatorsCommandTakesBoundedMemory(t *testing.T) { checkCaller(t, "operator", "") }
