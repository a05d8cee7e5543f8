package reporter

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackscale/tamarackscale/internal/proxy/dispatcher"
)

// hedgeMetrics counts hedges.
type hedgeMetrics struct {
	// started counts by service, ended also by how the hedge ended and by whether the attempt
	// that did not win was cancelled in time, denied by why there was no hedge.
	started *prometheus.CounterVec
	ended   *prometheus.CounterVec
	denied  *prometheus.CounterVec
}

// newHedgeMetrics returns the metrics, registered.
func newHedgeMetrics(registry *prometheus.Registry) hedgeMetrics {
	m := hedgeMetrics{
		started: counter("tamarackscale_hedges_started_total", "Calls that were sent to a second upstream before the first had answered.", "service"),
		ended: counter("tamarackscale_hedges_ended_total",
			"Hedges by how they ended and by whether the other attempt was cancelled before its answer.", "service", "result", "cancelled"),
		denied: counter("tamarackscale_hedges_denied_total", "Calls that were due for a hedge and got none.", "service", "reason"),
	}
	registry.MustRegister(m.started, m.ended, m.denied)
	return m
}

// record counts the hedge of a call that has ended.
func (m hedgeMetrics) record(e dispatcher.Event) {
	if e.Hedge == nil {
		return
	}
	if e.Hedge.Denied != "" {
		m.denied.WithLabelValues(e.Service, string(e.Hedge.Denied)).Inc()
	}
	if e.Hedge.Result != "" {
		m.started.WithLabelValues(e.Service).Inc()
		m.ended.WithLabelValues(e.Service, string(e.Hedge.Result), strconv.FormatBool(e.Hedge.Cancelled)).Inc()
	}
}

// hedgeRecord is the log record of a hedge.
type hedgeRecord struct {
	AfterMs   int64  `json:"afterMs"`
	Denied    string `json:"denied,omitempty"`
	Result    string `json:"result,omitempty"`
	Cancelled bool   `json:"cancelled"`
}

// recordOfHedge returns the record of a hedge.
func recordOfHedge(h *dispatcher.Hedge) hedgeRecord {
	return hedgeRecord{
		AfterMs: h.After.Milliseconds(), Denied: string(h.Denied), Result: string(h.Result), Cancelled: h.Cancelled,
	}
}
