package reporter

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarackscale/tamarackscale/internal/release/judger"
	"github.com/tamarackscale/tamarackscale/internal/release/stepper"
)

// OrderSeen implements controller.Observer.
func (r *Reporter) OrderSeen(o stepper.Order) {
	r.log.WithFields(orderFields("rolloutOrdered", o)).WithField("limitSeconds", o.Limit.Seconds()).Info("order to roll a version out")
}

func orderFields(event string, o stepper.Order) logrus.Fields {
	return logrus.Fields{"event": event, "service": o.Service, "target": o.Target}
}

// OrderUnusable implements controller.Observer. It logs an order that can't be followed, subject to the
// rate limit of input.
func (r *Reporter) OrderUnusable(key string, err error) {
	if !r.allow(r.inputLimiter, inputsSuppressedEvent, "order") {
		return
	}
	r.log.WithFields(logrus.Fields{"event": "orderUnusable", "key": key}).WithError(err).Warn("order can't be followed")
}

// Controls implements controller.Observer.
func (r *Reporter) Controls(controls bool) {
	r.log.WithFields(logrus.Fields{"event": "rolloutController", "controls": controls}).Info("node has become the rollout controller or ceased to be it")
}

// Stepped implements controller.Observer.
func (r *Reporter) Stepped(o stepper.Order, step stepper.Step, calls, targetCalls int) {
	r.log.WithFields(orderFields("rolloutStepped", o)).WithFields(logrus.Fields{
		"phase": step.Phase.String(), "share": step.Share, "why": step.Why, "calls": calls, "targetCalls": targetCalls,
	}).Info("rollout entered a phase")
}

// Judged implements controller.Observer.
func (r *Reporter) Judged(o stepper.Order, e judger.Evidence) {
	r.log.WithFields(orderFields("rolloutJudged", o)).WithFields(logrus.Fields{
		"route": e.Route, "upstreams": e.Upstreams, "answers": e.Answers, "bad": e.Bad, "expected": e.Expected,
	}).Warn("version answers badly")
}

// Recorded implements controller.Observer.
func (r *Reporter) Recorded(s stepper.Status) {
	r.log.WithFields(logrus.Fields{
		"event": "rolloutRecorded", "service": s.Service, "target": s.Target, "state": string(s.State),
	}).Info("status of a rollout written")
}
