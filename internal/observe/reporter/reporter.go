// Package reporter tells operators what a proxy decides: a JSON line for each
// decision that went wrong for a call or changed what the node believes, and
// counters and histograms of all calls. Its volume is bounded under load.
package reporter

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/dispatcher"
	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
)

// callLinesPerSecond and memberLinesPerSecond bound the lines about single calls and
// about single members.
const (
	callLinesPerSecond   = 60
	memberLinesPerSecond = 20
)

// callsSummed and membersSummed are the events that stand for those without a line.
const (
	callsSummed   = "callsSummed"
	membersSummed = "membersSummed"
)

// Reporter implements the observers of the parts of a proxy.
type Reporter struct {
	log      *logrus.Entry
	writer   *Writer
	registry *prometheus.Registry
	calls    *prometheus.HistogramVec
	upstream *prometheus.HistogramVec
	queue    *prometheus.HistogramVec
	ends     *prometheus.CounterVec
	attempts *prometheus.CounterVec
	store    *prometheus.CounterVec
	version  prometheus.Gauge

	hint atomic.Pointer[func(int64)]

	mu      sync.Mutex
	calling *limiter
	joining *limiter
}

// latencyBuckets are in seconds.
var latencyBuckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4}

// New returns a reporter that writes to output.
func New(node, zone string, output io.Writer) *Reporter {
	writer := NewWriter(output)
	logger := logrus.New()
	logger.SetOutput(writer)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	r := &Reporter{
		log:      logger.WithFields(logrus.Fields{"node": node, "zone": zone}),
		writer:   writer,
		registry: prometheus.NewRegistry(),
		calling:  newLimiter(callLinesPerSecond),
		joining:  newLimiter(memberLinesPerSecond),
	}
	r.calls = histogram("tamarackscale_call_seconds", "Whole time of a call.", "service", "rank", "outcome")
	r.upstream = histogram("tamarackscale_upstream_seconds", "Time of a hand-over at the upstream.", "service")
	r.queue = histogram("tamarackscale_queue_seconds", "Time of a hand-over in queues and between nodes.", "service")
	r.ends = counter("tamarackscale_calls_total", "Calls by how they ended.", "service", "status", "reason")
	r.attempts = counter("tamarackscale_hand_overs_total", "Hand-overs by how they ended.", "service", "outcome", "reason")
	r.store = counter("tamarackscale_store_calls_total", "Calls to the platform's store.", "operation", "result")
	r.version = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "tamarackscale_configuration_version", Help: "Configuration version in force.",
	})
	r.registry.MustRegister(r.calls, r.upstream, r.queue, r.ends, r.attempts, r.store, r.version)
	return r
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets}, labels)
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// Handler serves the metrics as text.
func (r *Reporter) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{DisableCompression: true})
}

// OnVersion sets who takes in the versions of other nodes.
func (r *Reporter) OnVersion(hint func(int64)) { r.hint.Store(&hint) }

// ObserveVersion implements dispatcher.Observer.
func (r *Reporter) ObserveVersion(version int64) {
	if hint := r.hint.Load(); hint != nil {
		(*hint)(version)
	}
}

// Ended implements dispatcher.Observer.
func (r *Reporter) Ended(e dispatcher.Event) {
	r.calls.WithLabelValues(e.Service, strconv.Itoa(e.Rank), e.Result.Outcome.String()).Observe(e.Took.Seconds())
	r.ends.WithLabelValues(e.Service, strconv.Itoa(e.Status), string(e.Result.Reason)).Inc()
	for _, a := range e.Attempts {
		r.upstream.WithLabelValues(e.Service).Observe(a.Service.Seconds())
		r.queue.WithLabelValues(e.Service).Observe((a.Took - a.Service).Seconds())
		r.attempts.WithLabelValues(e.Service, a.Outcome.String(), string(a.Reason)).Inc()
	}
	plain := e.Result.Outcome == carrier.Run && e.Status < http.StatusInternalServerError && len(e.Attempts) == 1
	if plain || !r.admit(r.calling, callsSummed, string(e.Result.Reason)) {
		return
	}
	r.log.WithFields(logrus.Fields{
		"event": "callEnded", "request": e.Call.ID, "route": e.Route, "service": e.Service, "rank": e.Rank,
		"nested": e.Nested, "version": e.Version, "outcome": e.Result.Outcome.String(),
		"reason": string(e.Result.Reason), "status": e.Status, "pauseMs": e.RetryAfter.Milliseconds(),
		"callerTimeoutMs": e.Call.Timeout.Milliseconds(), "tookMs": e.Took.Milliseconds(),
		"waitedMs": e.Waited.Milliseconds(), "handOvers": describe(e.Attempts),
	}).Info("call ended")
}

// handOver is one hand-over as it stands in a line. Times are in milliseconds.
type handOver struct {
	Node     string `json:"node"`
	Instance string `json:"instance"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason,omitempty"`
	Status   int    `json:"status,omitempty"`
	TookMs   int64  `json:"tookMs"`
	// UpstreamMs is the part of TookMs at the upstream.
	UpstreamMs int64 `json:"upstreamMs"`
	// InUse, Slots and Waiting are the load when the result was sent.
	InUse   int `json:"inUse"`
	Slots   int `json:"slots"`
	Waiting int `json:"waiting"`
}

func describe(attempts []dispatcher.Attempt) []handOver {
	handOvers := make([]handOver, 0, len(attempts))
	for _, a := range attempts {
		handOvers = append(handOvers, handOver{
			Node: a.Node, Instance: a.Instance, Outcome: a.Outcome.String(), Reason: string(a.Reason), Status: a.Status,
			TookMs: a.Took.Milliseconds(), UpstreamMs: a.Service.Milliseconds(),
			InUse: a.Load.InUse, Slots: a.Load.Slots, Waiting: a.Load.Waiting,
		})
	}
	return handOvers
}

// admit says whether another line of a kind may be written in this second, and tells
// the sums of those that were not, as the given event.
func (r *Reporter) admit(l *limiter, event, reason string) bool {
	r.mu.Lock()
	admitted, sums := l.admit(reason, time.Now())
	r.mu.Unlock()
	r.tellSums(event, sums)
	if sums != nil {
		r.tellDropped()
	}
	return admitted
}

// tellSums says how many events of a kind have no line of their own, by reason.
func (r *Reporter) tellSums(event string, sums map[string]int) {
	for reason, count := range sums {
		r.log.WithFields(logrus.Fields{"event": event, "reason": reason, "count": count}).Info("events without a line")
	}
}

func (r *Reporter) tellDropped() {
	if dropped := r.writer.Dropped(); dropped > 0 {
		r.log.WithFields(logrus.Fields{"event": "linesDropped", "count": dropped}).Warn("log lines were dropped")
	}
}

// Started says that the process runs.
func (r *Reporter) Started(address string) {
	r.log.WithFields(logrus.Fields{"event": "started", "address": address}).Info("process started")
}

// Stopping says why the process stops.
func (r *Reporter) Stopping(why string) {
	r.log.WithFields(logrus.Fields{"event": "stopping", "why": why}).Info("process stops")
}

// Stopped says that the process has stopped.
func (r *Reporter) Stopped(inFlight int) {
	r.log.WithFields(logrus.Fields{"event": "stopped", "inFlight": inFlight}).Info("process stopped")
}

// Close writes what is pending; later lines are dropped.
func (r *Reporter) Close() {
	r.mu.Lock()
	calls, members := r.calling.suppressed, r.joining.suppressed
	r.calling.suppressed, r.joining.suppressed = map[string]int{}, map[string]int{}
	r.mu.Unlock()
	r.tellSums(callsSummed, calls)
	r.tellSums(membersSummed, members)
	r.writer.Close()
}

// Reloaded says that the settings were read again.
func (r *Reporter) Reloaded(err error) {
	line := r.log.WithField("event", "reloaded")
	if err != nil {
		line.WithError(err).Error("settings can't be used, the former ones hold")
		return
	}
	line.Info("settings reloaded")
}

// InForce implements subscriber.Observer.
func (r *Reporter) InForce(version int64, source string, routes int) {
	r.version.Set(float64(version))
	r.log.WithFields(logrus.Fields{
		"event": "inForce", "version": version, "source": source, "routes": routes,
	}).Info("configuration in force")
}

// Unusable implements subscriber.Observer.
func (r *Reporter) Unusable(source string, err error) {
	r.log.WithFields(logrus.Fields{"event": "unusable", "source": source}).WithError(err).Error("configuration can't be used")
}

// StoreLost implements subscriber.Observer.
func (r *Reporter) StoreLost(err error) {
	r.log.WithField("event", "storeLost").WithError(err).Warn("store does not answer")
}

// StoreRegained implements subscriber.Observer.
func (r *Reporter) StoreRegained() { r.log.WithField("event", "storeRegained").Info("store answers") }

// StoreCall counts a call to the store.
func (r *Reporter) StoreCall(operation, result string) {
	r.store.WithLabelValues(operation, result).Inc()
}

// Registered implements finder.Observer.
func (r *Reporter) Registered(members int) {
	r.log.WithFields(logrus.Fields{"event": "registered", "members": members}).Info("node registered")
}

// RegistrationFailed implements finder.Observer.
func (r *Reporter) RegistrationFailed(err error) {
	r.log.WithField("event", "registrationFailed").WithError(err).Warn("node can't register or read the members")
}

// RegistrationRegained implements finder.Observer.
func (r *Reporter) RegistrationRegained() {
	r.log.WithField("event", "registrationRegained").Info("node registers and reads the members again")
}

// MemberFound implements finder.Observer.
func (r *Reporter) MemberFound(m balancer.Member, source string) {
	if !r.admit(r.joining, membersSummed, source) {
		return
	}
	r.log.WithFields(logrus.Fields{
		"event": "memberFound", "member": m.Node, "instance": m.Instance, "service": m.Service,
		"leaving": m.Draining, "sequence": m.Sequence, "source": source,
	}).Info("member has news")
}

// MemberLost implements finder.Observer.
func (r *Reporter) MemberLost(m balancer.Member) {
	r.log.WithFields(logrus.Fields{"event": "memberLost", "member": m.Node}).Info("member is gone")
}

// EntryUnusable implements finder.Observer.
func (r *Reporter) EntryUnusable(key string, err error) {
	r.log.WithFields(logrus.Fields{"event": "entryUnusable", "key": key}).WithError(err).Warn("entry names no member")
}

// Upstream says what the upstream beside the node told.
func (r *Reporter) Upstream(u tracker.Upstream, verdict tracker.Verdict) {
	if verdict != tracker.Changed {
		return
	}
	r.log.WithFields(logrus.Fields{
		"event": "upstreamChanged", "instance": u.Instance, "service": u.Service, "sequence": u.Sequence,
		"leaving": u.State == tracker.Draining, "slots": u.Slots,
	}).Info("upstream changed")
}

// HeartbeatRejected says that the upstream's report can't be used.
func (r *Reporter) HeartbeatRejected(err error) {
	r.log.WithField("event", "reportRefused").WithError(err).Warn("report names no upstream")
}
