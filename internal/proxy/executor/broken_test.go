package executor_test

import (
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/standin/answers"
)

// An upstream in trouble sends bytes that are no answer. Callers must not get any of them as one.
func TestBrokenAnswerIsNotPassedOn(t *testing.T) {
	for _, answer := range answers.Broken(answerFields) {
		t.Run(answer.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				result := execute(answering(answer.Text), nil)
				if result.Outcome != carrier.Unknown || result.Reason != carrier.AnswerBroken {
					t.Errorf("outcome %v, reason %s, status %d, fields %v, body %q",
						result.Outcome, result.Reason, result.Answer.Status, result.Answer.Fields, result.Answer.Body)
				}
				synctest.Wait()
			})
		})
	}
}

// What the protocol allows, or lets a recipient accept, is an answer.
func TestUnusualAnswerIsPassedOn(t *testing.T) {
	for _, answer := range answers.Unusual(answerFields) {
		t.Run(answer.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("The answer", t, func() {
					result := execute(answering(answer.Text), nil)
					So(result.Outcome, ShouldEqual, carrier.Run)
					So(result.Answer.Status, ShouldEqual, answers.UnusualStatus)
					So(string(result.Answer.Body), ShouldEqual, answers.UnusualBody)
				})
				synctest.Wait()
			})
		})
	}
}
