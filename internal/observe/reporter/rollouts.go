package reporter

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/release/assigner"
	"github.com/tamarackscale/tamarackscale/internal/release/judger"
	"github.com/tamarackscale/tamarackscale/internal/release/stepper"
)

const (
	// maxVersions bounds the number of pairs of service and version in metrics. Others are counted together
	// under otherVersions.
	maxVersions   = 64
	otherVersions = "other"
)

// rolloutMetrics are the metrics of a node that rolls versions out.
type rolloutMetrics struct {
	attempts *prometheus.CounterVec
	controls prometheus.Gauge
	plans    func() []assigner.Plan
	share    *prometheus.Desc
	phase    *prometheus.Desc
}

// RegisterRollouts adds the metrics of rollouts. Plans returns the plans that the node has received last.
// It must be called before any other method that concerns rollouts.
func (r *Reporter) RegisterRollouts(plans func() []assigner.Plan) {
	labels := []string{"service", "version"}
	r.rollouts = &rolloutMetrics{
		attempts: counter("tamarackscale_version_hand_overs_total", "Hand-overs by version of the upstream and how they ended.", "service", "version", "result"),
		controls: gauge("tamarackscale_rollout_controller", "1 if the node is the rollout controller, else 0."),
		plans:    plans,
		share:    prometheus.NewDesc("tamarackscale_rollout_share", "Share of the calls for the version by the node's last plan.", labels, nil),
		phase:    prometheus.NewDesc("tamarackscale_rollout_phase", "Phase of the rollout of the version by the node's last plan.", labels, nil),
	}
	r.registry.MustRegister(r.rollouts.attempts, r.rollouts.controls, r.rollouts)
}

// Describe implements prometheus.Collector.
func (m *rolloutMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.share
	descriptions <- m.phase
}

// Collect implements prometheus.Collector.
func (m *rolloutMetrics) Collect(metrics chan<- prometheus.Metric) {
	for _, p := range m.plans() {
		metrics <- prometheus.MustNewConstMetric(m.share, prometheus.GaugeValue, p.Share, p.Service, p.Target)
		metrics <- prometheus.MustNewConstMetric(m.phase, prometheus.GaugeValue, float64(p.Phase), p.Service, p.Target)
	}
}

// VersionEnded counts an attempt by the version of its upstream.
func (r *Reporter) VersionEnded(m balancer.Member, o balancer.Outcome) {
	result := "other"
	switch {
	case o.Answered:
		result = "answered"
	case o.Failed && !o.Full:
		result = "failed"
	}
	version := m.Version
	pair := [2]string{m.Service, version}
	r.mu.Lock()
	if !r.versions[pair] {
		if len(r.versions) < maxVersions {
			r.versions[pair] = true
		} else {
			version = otherVersions
		}
	}
	r.mu.Unlock()
	r.rollouts.attempts.WithLabelValues(m.Service, version, result).Inc()
}

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
	value := 0.0
	if controls {
		value = 1
	}
	r.rollouts.controls.Set(value)
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
