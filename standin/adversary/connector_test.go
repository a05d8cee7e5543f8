package adversary

import (
	"context"
	"fmt"
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

	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/internal/upstream/connector"
	"github.com/tamarackscale/tamarackscale/standin/answers"
)

const (
	// endlessCalls is the number of calls that get an answer without end at the same time.
	endlessCalls = 64
	// readBytes is how much each reads of a body, which is passed on as it comes.
	readBytes = 1 << 20
	// addressVariable names the upstream in the environment of the process that makes the calls, which is
	// this program.
	addressVariable = "TAMARACKSCALE_TEST_UPSTREAM"
)

// callEndlessUpstream makes endlessCalls at the same time and prints the peak of the memory in megabytes.
func callEndlessUpstream(address string) {
	invoker := connector.New(connector.NewTransport(endlessCalls, nil))
	var calls sync.WaitGroup
	for range endlessCalls {
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
	calls.Wait()
	fmt.Println(peakMegabytes("self"))
}

// A process with 8 such calls had 1,235 MB with header lines: net/http reads heads of 10 MB, of which each
// line costs many times its bytes.
func TestConnectorTakesBoundedMemory(t *testing.T) {
	for _, stream := range answers.Endless(framer.RequestHeader + ": id\r\n") {
		t.Run(stream.Name, func(t *testing.T) {
			var sent atomic.Int64
			process := exec.Command(os.Args[0])
			process.Env = append(os.Environ(), addressVariable+"="+answers.Start(t, stream.Handle(&sent)))
			output, err := process.CombinedOutput()
			if err != nil {
				t.Fatalf("the process has ended: %v, %s", err, output)
			}
			peak, err := strconv.Atoi(strings.TrimSpace(string(output)))
			if err != nil || peak <= 0 || peak > memoryLimit {
				t.Errorf("resident memory of %d MB, output %q", peak, output)
			}
		})
	}
}
