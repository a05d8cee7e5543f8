// Package auditor exports the use of an account of memory as metrics.
package auditor

import (
	"math"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
)

// Auditor collects the metrics of an account when they are read. It implements prometheus.Collector.
type Auditor struct {
	account                                                      *accountant.Account
	used, limit, refused, open, connectionLimit, closedForOthers *prometheus.Desc
}

// New returns the metrics of an account.
func New(a *accountant.Account) *Auditor {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("tamarackscale_"+name, help, labels, nil)
	}
	return &Auditor{
		account:         a,
		used:            describe("memory_used_bytes", "Memory reserved, by purpose.", "purpose"),
		limit:           describe("memory_limit_bytes", "Memory that may be reserved, by purpose; +Inf without a limit.", "purpose"),
		refused:         describe("memory_refusals_total", "Requests, messages and connections refused for lack of memory or place, by purpose.", "purpose"),
		open:            describe("connections", "Open connections, by listener.", "listener"),
		connectionLimit: describe("connections_limit", "Connections that may be open, by listener.", "listener"),
		closedForOthers: describe("connections_closed_for_others_total", "Connections without progress that were closed because others needed their memory or place."),
	}
}

// Describe implements prometheus.Collector.
func (a *Auditor) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(a, descriptions)
}

// Collect implements prometheus.Collector.
func (a *Auditor) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	shares := []accountant.Usage{a.account.Pool()}
	for _, p := range accountant.Purposes() {
		shares = append(shares, a.account.Usage(p))
	}
	for _, usage := range shares {
		gauge(a.used, float64(usage.Used), usage.Name)
		gauge(a.limit, limitValue(usage.Limit), usage.Name)
		metrics <- prometheus.MustNewConstMetric(a.refused, prometheus.CounterValue, float64(usage.Refused), usage.Name)
	}
	for _, l := range a.account.Listeners() {
		gauge(a.open, float64(l.Open()), l.Name)
		gauge(a.connectionLimit, float64(l.Limit()), l.Name)
	}
	metrics <- prometheus.MustNewConstMetric(a.closedForOthers, prometheus.CounterValue, float64(a.account.Closed()))
}

func limitValue(limit int64) float64 {
	if limit == 0 {
		return math.Inf(1)
	}
	return float64(limit)
}
