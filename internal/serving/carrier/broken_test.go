package carrier_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/serving/carrier"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/standin/answers"
)

// answerFields mark the answer to the call with ID "id" as one of another node.
const answerFields = framer.RequestHeader + ": id\r\n" + framer.LoadHeader + ": 0/1/0/-1/0\r\n"

// patience bounds the waits for an answer. No check depends on it.
const patience = 30 * time.Second

// execute runs a call at another node and reads the body of its answer.
func execute(c *carrier.Client, address string) (*framer.Answer, []byte, error) {
	answer, err := c.Execute(context.Background(), address, &framer.Call{
		ID: "id", Method: http.MethodPost, Target: "/", Header: http.Header{}, Deadline: time.Now().Add(patience),
	})
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return answer, body, err
}

// What answers at the address of a node may be something else, or a node in trouble.
func TestBrokenAnswerOfNodeIsNotPassedOn(t *testing.T) {
	client := carrier.NewClient(carrier.NewTransport(nil))
	for _, answer := range answers.Broken(answerFields) {
		t.Run(answer.Name, func(t *testing.T) {
			got, body, err := execute(client, answers.Start(t, answers.Sending(answer.Text)))
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

func TestUnusualAnswerOfNodeIsPassedOn(t *testing.T) {
	client := carrier.NewClient(carrier.NewTransport(nil))
	for _, answer := range answers.Unusual(answerFields) {
		Convey("The answer with "+answer.Name, t, func() {
			got, body, err := execute(client, answers.Start(t, answers.Sending(answer.Text)))
			So(err, ShouldBeNil)
			So(got.Status, ShouldEqual, answers.UnusualStatus)
			So(string(body), ShouldEqual, answers.UnusualBody)
		})
	}
}
