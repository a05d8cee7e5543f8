// Package meter defines the Prometheus metrics of a node.
package meter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Meter holds the metrics of one node. All durations are in seconds.
type Meter struct {
	registry *prometheus.Registry

	// CallTime is the total time of a call, by tenant, rank and outcome.
	CallTime *prometheus.HistogramVec
	// QueueTime is the time that a call waits for a slot at the upstream's node, by rank.
	QueueTime *prometheus.HistogramVec
	// AddedTime is the time of a call, less the time in the queue and at the upstream, by
	// tenant and rank. Calls without an upstream time, such as refusals, are left out.
	AddedTime *prometheus.HistogramVec
	// Refusals counts refused calls, by rank and code.
	Refusals *prometheus.CounterVec
	// Retries counts attempts after the first, by rank.
	Retries *prometheus.CounterVec
	// ControlBytes counts control traffic in bytes, by direction (in, out) and scope
	// (zone, cross).
	ControlBytes *prometheus.CounterVec
	// ControlMessages counts control calls sent, by method.
	ControlMessages *prometheus.CounterVec
	// PlatformCalls counts calls to the platform, by operation and result.
	PlatformCalls *prometheus.CounterVec
	// VersionInForce is the version in force at the node; 0 if there is none.
	VersionInForce prometheus.Gauge
	// VersionSince is the Unix time in seconds at which that version came into force at
	// the node.
	VersionSince prometheus.Gauge
	// Members is the number of live members in the node's view, by availability zone.
	Members *prometheus.GaugeVec
	// Claims counts decisions on idempotency keys, by result.
	Claims *prometheus.CounterVec
}

// latencyBuckets are in seconds, from 0.1 ms to 15 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.0001, 2.5, 14)

// New returns a Meter whose metrics are registered in a registry of its own.
func New() *Meter {
	m := &Meter{registry: prometheus.NewRegistry()}
	m.CallTime = histogram("service_seconds", "Whole time of a call.", "tenant", "rank", "outcome")
	m.QueueTime = histogram("queue_seconds", "Wait for a slot.", "rank")
	m.AddedTime = histogram("added_seconds", "Time of a call less the time in the queue and at its upstream.", "tenant", "rank")
	m.Refusals = counter("refusals_total", "Refused calls.", "rank", "code")
	m.Retries = counter("retries_total", "Attempts after the first.", "rank")
	m.ControlBytes = counter("control_bytes_total", "Control traffic in bytes.", "direction", "scope")
	m.ControlMessages = counter("control_messages_total", "Control calls sent.", "method")
	m.PlatformCalls = counter("platform_calls_total", "Calls to the platform.", "operation", "result")
	m.Claims = counter("claims_total", "Decisions on idempotency keys.", "result")
	m.VersionInForce = gauge("version_in_force", "Version by which the node serves.")
	m.VersionSince = gauge("version_since_seconds", "Unix time at which the version came into force.")
	m.Members = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "members", Help: "Members seen alive.",
	}, []string{"zone"})
	m.registry.MustRegister(
		m.CallTime, m.QueueTime, m.AddedTime, m.Refusals, m.Retries, m.ControlBytes, m.ControlMessages,
		m.PlatformCalls, m.Claims, m.VersionInForce, m.VersionSince, m.Members,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

const namespace = "tamarackscale"

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	options := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}
	return prometheus.NewHistogramVec(options, labels)
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// Handler serves the metrics in the Prometheus text format. It does not compress them,
// because the buffers for compression would take a tenth of a node's memory limit.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}

// SetVersion records that a version came into force at the given time.
func (m *Meter) SetVersion(version int64, at time.Time) {
	m.VersionInForce.Set(float64(version))
	m.VersionSince.Set(float64(at.UnixMilli()) / 1000)
}
