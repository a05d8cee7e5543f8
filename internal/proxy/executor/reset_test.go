package executor_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
	"github.com/tamarackscale/tamarackscale/platform"
	"github.com/tamarackscale/tamarackscale/standin/answers"
)

// answerFields mark the answer to a call with ID "id" as one of the upstream.
const answerFields = "X-Request-Id: id\r\nX-Server-Stamp: s\r\n"

// execute makes one call with a body at an upstream.
func execute(dial executor.Dial, body []byte) carrier.Result {
	e := executor.New(executor.Config{Dialect: platform.HTTP{}, Dial: dial, Changed: func() {}, Observe: observer{}})
	defer e.Close()
	e.Heartbeat(tracker.Heartbeat{Instance: "i", Sequence: 1, Service: "s", Address: "upstream", Slots: 2}, time.Now())
	result, _ := e.Execute(context.Background(), executor.Job{
		Call:    carrier.Call{ID: "id", Method: http.MethodPost, Target: "/", Host: "h", Body: body},
		Service: "s", Kind: "k", Objective: time.Second, Remaining: 10 * time.Second,
	})
	return result
}

// serving returns a Dial to a stand-in that answers on a real socket.
func serving(t *testing.T, answer answers.Handler) executor.Dial {
	address := answers.Start(t, answer)
	return func(ctx context.Context, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
}

// uploadBytes is the size of a body that no socket takes while its reader has stopped.
const uploadBytes = 9 << 20

// Linux reports a reset once. A write that takes it leaves an ordinary end of the stream to the read,
// which must not end a body that has no other end.
func TestAnswerThatEndsWithResetIsNeverWhole(t *testing.T) {
	heads := map[string]string{
		"200":          "HTTP/1.1 200 OK\r\n" + answerFields + "\r\n",
		"500":          "HTTP/1.1 500 x\r\n" + answerFields + "\r\n",
		"HTTP/1.0":     "HTTP/1.0 200 OK\r\n" + answerFields + "\r\n",
		"with length":  "HTTP/1.1 200 OK\r\n" + answerFields + "Content-Length: 99\r\n\r\n",
		"with chunks":  "HTTP/1.1 200 OK\r\n" + answerFields + "Transfer-Encoding: chunked\r\n\r\n63\r\n",
		"without body": "HTTP/1.1 200 OK\r\n" + answerFields,
	}
	for name, head := range heads {
		for _, reset := range []bool{true, false} {
			Convey("An upload is answered early by "+name, t, func() {
				dial := serving(t, answers.Early(head+"the first part", reset))
				for range 10 {
					result := execute(dial, make([]byte, uploadBytes))
					So(result.Outcome, ShouldEqual, carrier.Unknown)
					So(result.Reason, ShouldEqual, carrier.AnswerBroken)
				}
			})
		}
	}
}

// An endpoint may answer before it has read the request. If it reads on, its answer is whole.
func TestEarlyAnswerIsWholeOnceRequestIsWritten(t *testing.T) {
	Convey("An upload is answered early without a length, and is read to its end afterwards", t, func() {
		result := execute(serving(t, func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+answerFields+"\r\nthe whole")
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		}), make([]byte, uploadBytes))
		So(result.Outcome, ShouldEqual, carrier.Run)
		So(string(result.Answer.Body), ShouldEqual, "the whole")
	})
}
