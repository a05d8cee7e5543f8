package executor_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
	"github.com/tamarackscale/tamarackscale/platform"
)

// answering returns a Dial to an upstream that answers each call with the same bytes and closes.
func answering(answer string) executor.Dial {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
				_, _ = server.Write([]byte(answer))
			}
		}()
		return client, nil
	}
}

// An upstream ends an answer early, anywhere, and closes the connection. Callers must never get what
// has arrived as a whole answer, and must not be told that the call has not run.
func TestAnswerThatEndsEarlyIsNeverWhole(t *testing.T) {
	const fields = "X-Request-Id: id\r\nX-Server-Stamp: s\r\n"
	answers := map[string]struct {
		text string
	}{
		"with a length": {text: "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\nhello, world"},
		"in chunks":     {text: "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n"},
		"interim first": {text: "HTTP/1.1 103 x\r\n" + fields + "\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok"},
		"to the end":    {text: "HTTP/1.1 200 OK\r\n" + fields + "\r\n"},
		"a failure":     {text: "HTTP/1.1 500 x\r\n" + fields + "Content-Length: 4\r\n\r\nfail"},
	}
	for name, answer := range answers {
		synctest.Test(t, func(t *testing.T) {
			Convey("An answer "+name, t, func() {
				for n := range len(answer.text) {
					e := executor.New(executor.Config{Dialect: platform.HTTP{}, Dial: answering(answer.text[:n]), Changed: func() {}, Observe: observer{}})
					e.Heartbeat(tracker.Heartbeat{Instance: "i", Sequence: 1, Service: "s", Address: "upstream", Slots: 2}, time.Now())
					result, _ := e.Execute(context.Background(), executor.Job{
						Call: carrier.Call{ID: "id", Method: http.MethodGet, Target: "/", Host: "h"}, Service: "s", Kind: "k",
						Objective: time.Second, Remaining: time.Second,
					})
					if result.Outcome != carrier.Unknown {
						t.Errorf("cut after %d bytes: outcome %v, status %d, body %q", n, result.Outcome, result.Answer.Status, result.Answer.Body)
					}
					e.Close()
				}
				synctest.Wait()
			})
		})
	}
}
