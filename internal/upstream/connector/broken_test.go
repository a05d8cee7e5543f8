package connector_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/internal/upstream/connector"
	"github.com/tamarackscale/tamarackscale/standin/answers"
)

// answerFields mark the answer to the call with ID "id".
const answerFields = framer.RequestHeader + ": id\r\n"

// invoke makes one call at an upstream and reads the body of its answer.
func invoke(i connector.Invoker, address string, body []byte, timeout time.Duration) (*framer.Answer, []byte, error) {
	answer, err := i.Invoke(context.Background(), address, &framer.Call{
		ID: "id", Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: body, Deadline: time.Now().Add(timeout),
	})
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	read, err := io.ReadAll(answer.Body)
	return answer, read, err
}

// patience bounds the waits for an answer. No check depends on it.
const patience = 30 * time.Second

// An upstream in trouble sends bytes that are no answer. The call must fail, and not as one that was not run.
func TestBrokenAnswerIsNotPassedOn(t *testing.T) {
	invoker := connector.New(connector.NewTransport(1, nil))
	for _, answer := range answers.Broken(answerFields) {
		t.Run(answer.Name, func(t *testing.T) {
			got, body, err := invoke(invoker, answers.Start(t, answers.Sending(answer.Text)), nil, patience)
			if err == nil {
				t.Errorf("status %d, header %q, body %q", got.Status, got.Header, body)
			}
			var refusal *framer.Refusal
			if errors.As(err, &refusal) && refusal.Outcome == framer.NotRun {
				t.Error("reported as not run: ", err)
			}
		})
	}
}

func TestUnusualAnswerIsPassedOn(t *testing.T) {
	invoker := connector.New(connector.NewTransport(1, nil))
	for _, answer := range answers.Unusual(answerFields) {
		Convey("The answer with "+answer.Name, t, func() {
			got, body, err := invoke(invoker, answers.Start(t, answers.Sending(answer.Text)), nil, patience)
			So(err, ShouldBeNil)
			So(got.Status, ShouldEqual, answers.UnusualStatus)
			So(string(body), ShouldEqual, answers.UnusualBody)
		})
	}
}

// See the test of the same name in package executor.
func TestAnswerThatEndsWithResetIsNeverWhole(t *testing.T) {
	invoker := connector.New(connector.NewTransport(1, nil))
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 x\r\n", "HTTP/1.0 200 OK\r\n"} {
		for _, reset := range []bool{true, false} {
			Convey("An upload is answered early by "+head, t, func() {
				address := answers.Start(t, answers.Early(head+answerFields+"\r\nthe first part", reset))
				for range 10 {
					_, _, err := invoke(invoker, address, make([]byte, 9<<20), patience)
					So(err, ShouldNotBeNil)
				}
			})
		}
	}
}

func TestEarlyAnswerIsWholeOnceRequestIsWritten(t *testing.T) {
	invoker := connector.New(connector.NewTransport(1, nil))
	Convey("A request is read to its end after an answer without a length", t, func() {
		address := answers.Start(t, func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+answerFields+"\r\n")
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, "the whole")
		})
		_, body, err := invoke(invoker, address, make([]byte, 9<<20), patience)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "the whole")
	})
}
