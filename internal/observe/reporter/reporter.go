// Package reporter writes the log and the metrics of a proxy. The log has a JSON line for
// each call that was not routine and for each change in the state of the node, its
// members and its upstream. The metrics count all calls. Lines about calls, about members and
// about unusable input are rate-limited, so that the log stays small under load.
package reporter

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/acceptor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/dispatcher"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/finder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/recorder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
	"github.com/tamarackscale/tamarackscale/internal/proxy/subscriber"
	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
)

// callLinesPerSecond, memberLinesPerSecond and inputLinesPerSecond are the maximum rates of lines
// about calls, about new, changed or lost members, and about unusable configurations, entries and
// heartbeats.
const (
	callLinesPerSecond   = 60
	memberLinesPerSecond = 20
	inputLinesPerSecond  = 20
)

// The events of lines that count the lines suppressed by a rate limit.
const (
	callsSuppressedEvent   = "callsSummed"
	membersSuppressedEvent = "membersSummed"
	inputsSuppressedEvent  = "inputsSummed"
)

// Reporter implements the observers of a proxy's components. It is safe for concurrent
// use.
type Reporter struct {
	log          *logrus.Entry
	writer       *Writer
	registry     *prometheus.Registry
	callTime     *prometheus.HistogramVec
	upstreamTime *prometheus.HistogramVec
	queueTime    *prometheus.HistogramVec
	endedCalls   *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	unanswered   *prometheus.CounterVec
	// unusableEntries counts by the source of the entry or record.
	unusableEntries *prometheus.CounterVec
	// recordedDrains counts by whether other nodes and the store have the drain.
	recordedDrains *prometheus.CounterVec
	storeCalls     *prometheus.CounterVec
	hedges         hedgeMetrics
	storeEra       prometheus.Gauge
	version        prometheus.Gauge
	unknownKinds   prometheus.Gauge
	rejected       prometheus.Gauge
	// upstreamLimit is in calls per second.
	upstreamLimit prometheus.Gauge
	// limited reports whether the upstream names a rate limit.
	limited atomic.Bool
	// accounts counts calls by account.
	accounts *accountMetrics

	// rollouts is nil unless the node rolls versions out.
	rollouts *rolloutMetrics

	onVersion atomic.Pointer[func(int64, string)]

	// mu protects the fields below.
	mu            sync.Mutex
	callLimiter   *limiter
	memberLimiter *limiter
	inputLimiter  *limiter
	// versions holds the pairs of service and version that have metrics of their own.
	versions map[[2]string]bool
}

// latencyBuckets are in seconds.
var latencyBuckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4}

// New returns a reporter that writes its log to output. Every line has the node and the
// availability zone as fields. The caller must close the reporter.
func New(node, zone string, output io.Writer) *Reporter {
	writer := NewWriter(output)
	r := &Reporter{
		log:           newLog(writer, logrus.Fields{"node": node, "zone": zone}),
		writer:        writer,
		registry:      prometheus.NewRegistry(),
		callLimiter:   newLimiter(callLinesPerSecond),
		memberLimiter: newLimiter(memberLinesPerSecond),
		inputLimiter:  newLimiter(inputLinesPerSecond),
		versions:      map[[2]string]bool{},
	}
	r.callTime = histogram("tamarackscale_call_seconds", "Whole time of a call.", "service", "rank", "outcome")
	r.upstreamTime = histogram("tamarackscale_upstream_seconds", "Time of a hand-over at the upstream.", "service")
	r.queueTime = histogram("tamarackscale_queue_seconds", "Time of a hand-over in queues and between nodes.", "service")
	r.endedCalls = counter("tamarackscale_calls_total", "Calls by how they ended.", "service", "status", "reason")
	r.attempts = counter("tamarackscale_hand_overs_total", "Hand-overs by how they ended.", "service", "outcome", "reason")
	r.unanswered = counter("tamarackscale_unanswered_calls_total", "Calls that were read and got no response, by cause.", "cause")
	r.unusableEntries = counter("tamarackscale_unusable_entries_total", "Entries and records that do not describe a member, at each read.", "source")
	r.recordedDrains = counter("tamarackscale_recorded_drains_total", "Drains of the upstream by where they are recorded.", "replicated", "stored")
	r.storeCalls = counter("tamarackscale_store_calls_total", "Calls to the platform's store.", "operation", "result")
	r.storeEra = gauge("tamarackscale_store_era", "Latest era that a response of the store has stated.")
	r.version = gauge("tamarackscale_configuration_version", "Configuration version in force.")
	r.unknownKinds = gauge("tamarackscale_configuration_unknown_kinds", "Routes in force of a kind that this release does not know.")
	r.rejected = gauge("tamarackscale_configuration_rejected", "1 if the store's newest configuration can't be decoded, else 0.")
	r.upstreamLimit = gauge("tamarackscale_upstream_limit_calls_per_second", "Rate of calls that the upstream beside the node takes, as it states; +Inf without a limit.")
	r.upstreamLimit.Set(math.Inf(1))
	r.accounts = newAccountMetrics(r.registry)
	r.registry.MustRegister(
		r.callTime, r.upstreamTime, r.queueTime, r.endedCalls, r.attempts, r.unanswered, r.storeCalls, r.storeEra, r.version, r.unknownKinds, r.rejected,
		r.upstreamLimit, r.recordedDrains, r.unusableEntries,
	)
	r.hedges = newHedgeMetrics(r.registry)
	return r
}

// newLog returns a log to output whose lines have the given fields.
func newLog(output io.Writer, fields logrus.Fields) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return logger.WithFields(fields)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets}, labels)
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// Handler serves the metrics in the Prometheus text format, uncompressed.
func (r *Reporter) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{DisableCompression: true})
}

// OnVersion sets the function that ObserveVersion calls with the configuration versions of
// other nodes and their addresses.
func (r *Reporter) OnVersion(onVersion func(int64, string)) { r.onVersion.Store(&onVersion) }

// ObserveVersion implements dispatcher.Observer. It passes the version to the function
// set by OnVersion.
func (r *Reporter) ObserveVersion(version int64, address string) {
	if onVersion := r.onVersion.Load(); onVersion != nil {
		(*onVersion)(version, address)
	}
}

// Ended implements dispatcher.Observer. It updates the metrics, and logs the call unless
// it is routine: run at its first attempt, with a response status below 500.
func (r *Reporter) Ended(e dispatcher.Event) {
	r.callTime.WithLabelValues(e.Service, strconv.Itoa(e.Rank), e.Result.Outcome.String()).Observe(e.Took.Seconds())
	r.accounts.ended(e)
	r.endedCalls.WithLabelValues(e.Service, strconv.Itoa(e.Status), string(e.Result.Reason)).Inc()
	for _, a := range e.Attempts {
		r.upstreamTime.WithLabelValues(e.Service).Observe(a.UpstreamTime.Seconds())
		r.queueTime.WithLabelValues(e.Service).Observe((a.Took - a.UpstreamTime).Seconds())
		r.attempts.WithLabelValues(e.Service, a.Outcome.String(), string(a.Reason)).Inc()
	}
	r.hedges.record(e)
	routine := e.Result.Outcome == carrier.Run && e.Status < http.StatusInternalServerError && len(e.Attempts) == 1
	if routine || !r.allow(r.callLimiter, callsSuppressedEvent, string(e.Result.Reason)) {
		return
	}
	line := r.log
	if e.Account != "" {
		line = line.WithField("account", e.Account)
	}
	if e.Hedge != nil {
		line = line.WithField("hedge", recordOfHedge(e.Hedge))
	}
	line.WithFields(logrus.Fields{
		"event": "callEnded", "request": e.Call.ID, "route": e.Route, "service": e.Service, "rank": e.Rank,
		"nested": e.Nested, "version": e.Version, "outcome": e.Result.Outcome.String(),
		"reason": string(e.Result.Reason), "status": e.Status, "pauseMs": e.RetryAfter.Milliseconds(),
		"callerTimeoutMs": e.Call.Timeout.Milliseconds(), "tookMs": e.Took.Milliseconds(),
		"waitedMs": e.Waited.Milliseconds(), "handOvers": attemptRecords(e.Attempts),
	}).Info("call ended")
}

// Unanswered implements acceptor.Observer. It counts and logs a call that was read and whose
// response was not written, subject to the rate limit of calls.
func (r *Reporter) Unanswered(call carrier.Call, cause acceptor.Cause) {
	r.unanswered.WithLabelValues(string(cause)).Inc()
	if !r.allow(r.callLimiter, callsSuppressedEvent, string(cause)) {
		return
	}
	r.log.WithFields(logrus.Fields{
		"event": "callUnanswered", "request": call.ID, "cause": string(cause),
	}).Warn("call was read and got no response")
}

// attemptRecord is the log record of an attempt. Times are in milliseconds.
type attemptRecord struct {
	Node     string `json:"node"`
	Instance string `json:"instance"`
	Hedge    bool   `json:"hedge,omitempty"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason,omitempty"`
	Status   int    `json:"status,omitempty"`
	TookMs   int64  `json:"tookMs"`
	// UpstreamMs is the time of TookMs that was spent at the upstream.
	UpstreamMs int64 `json:"upstreamMs"`
	// InUse, Slots and Waiting are the load of the upstream when the node sent the result.
	InUse   int `json:"inUse"`
	Slots   int `json:"slots"`
	Waiting int `json:"waiting"`
}

func attemptRecords(attempts []dispatcher.Attempt) []attemptRecord {
	records := make([]attemptRecord, 0, len(attempts))
	for _, a := range attempts {
		records = append(records, attemptRecord{
			Node: a.Node, Instance: a.Instance, Hedge: a.Hedge, Outcome: a.Outcome.String(), Reason: string(a.Reason), Status: a.Status,
			TookMs: a.Took.Milliseconds(), UpstreamMs: a.UpstreamTime.Milliseconds(),
			InUse: a.Load.InUse, Slots: a.Load.Slots, Waiting: a.Load.Waiting,
		})
	}
	return records
}

// allow reports whether the limiter permits another line now. With the first line of a
// new second it logs, as the given event, how many lines were suppressed before.
func (r *Reporter) allow(l *limiter, event, reason string) bool {
	r.mu.Lock()
	allowed, suppressed := l.allow(reason, time.Now())
	r.mu.Unlock()
	logSuppressed(r.log, event, suppressed)
	if suppressed != nil && r.writer.HasSpace() {
		logDropped(r.log, r.writer.Dropped())
	}
	return allowed
}

// logSuppressed logs how many lines the rate limit suppressed, one line per reason.
func logSuppressed(log *logrus.Entry, event string, suppressed map[string]int) {
	for reason, count := range suppressed {
		log.WithFields(logrus.Fields{"event": event, "reason": reason, "count": count}).Info("lines suppressed by the rate limit")
	}
}

// logDropped logs how many lines the writer dropped because its buffer was full.
func logDropped(log *logrus.Entry, dropped int64) {
	if dropped > 0 {
		log.WithFields(logrus.Fields{"event": "linesDropped", "count": dropped}).Warn("log lines were dropped")
	}
}

// Started logs that the process has started; address is its peer address.
func (r *Reporter) Started(address string) {
	r.log.WithFields(logrus.Fields{"event": "started", "address": address}).Info("process started")
}

// Stopping logs that the process begins to stop, and the reason.
func (r *Reporter) Stopping(reason string) {
	r.log.WithFields(logrus.Fields{"event": "stopping", "why": reason}).Info("process is stopping")
}

// Stopped logs that the process has stopped, with the number of calls still in flight.
func (r *Reporter) Stopped(inFlight int) {
	r.log.WithFields(logrus.Fields{"event": "stopped", "inFlight": inFlight}).Info("process stopped")
}

// Close writes the pending lines, ends the writer and logs the counts of suppressed and dropped
// lines. These are written past the writer's buffer, which may be full. Lines logged later are
// lost.
func (r *Reporter) Close() {
	r.mu.Lock()
	calls, members, inputs := r.callLimiter.take(), r.memberLimiter.take(), r.inputLimiter.take()
	r.mu.Unlock()
	r.writer.Close()
	log := newLog(r.writer.output, r.log.Data)
	logSuppressed(log, callsSuppressedEvent, calls)
	logSuppressed(log, membersSuppressedEvent, members)
	logSuppressed(log, inputsSuppressedEvent, inputs)
	logDropped(log, r.writer.Dropped())
}

// Reloaded logs that the settings were read again. If err is not nil, they could not be
// read or are invalid, and the previous settings stay in use.
func (r *Reporter) Reloaded(err error) {
	line := r.log.WithField("event", "reloaded")
	if err != nil {
		line.WithError(err).Error("failed to reload the settings; the previous ones stay in use")
		return
	}
	line.Info("settings reloaded")
}

// InForce implements subscriber.Observer. It logs the configuration version that came
// into force and sets its metrics.
func (r *Reporter) InForce(c router.Configuration, source string) {
	r.version.Set(float64(c.Version))
	r.unknownKinds.Set(float64(len(c.UnknownKinds)))
	r.log.WithFields(logrus.Fields{
		"event": "inForce", "version": c.Version, "source": source, "routes": len(c.Routes),
	}).Info("configuration in force")
	if len(c.UnknownKinds) == 0 {
		return
	}
	first := c.UnknownKinds[0]
	r.log.WithFields(logrus.Fields{
		"event": "unknownKinds", "version": c.Version, "count": len(c.UnknownKinds), "route": first.Route, "kind": first.Kind,
	}).Warn("routes have a kind that this release does not know; their calls are never repeated")
}

// Rejected implements subscriber.Observer.
func (r *Reporter) Rejected(rejected bool) {
	value := 0.0
	if rejected {
		value = 1
	}
	r.rejected.Set(value)
}

// Unusable implements subscriber.Observer. It logs a configuration that could not be
// encoded or decoded, subject to the rate limit of input.
func (r *Reporter) Unusable(source string, err error) {
	if !r.allow(r.inputLimiter, inputsSuppressedEvent, source) {
		return
	}
	r.log.WithFields(logrus.Fields{"event": "unusable", "source": source}).WithError(err).Error("configuration is unusable")
}

// StoreLost implements subscriber.Observer. It logs a failure to watch the store.
func (r *Reporter) StoreLost(err error) {
	r.log.WithField("event", "storeLost").WithError(err).Warn("failed to watch the store")
}

// StoreRegained implements subscriber.Observer. It logs that the node watches the store.
func (r *Reporter) StoreRegained() { r.log.WithField("event", "storeRegained").Info("watching store") }

// Following implements subscriber.Observer. It logs where the node receives configuration
// changes from.
func (r *Reporter) Following(source subscriber.Source) {
	r.log.WithFields(logrus.Fields{"event": "following", "source": source}).Info("source of configuration changes has changed")
}

// StoreCall counts a call to the platform's store by operation and result.
func (r *Reporter) StoreCall(operation, result string) {
	r.storeCalls.WithLabelValues(operation, result).Inc()
}

// StoreEra records the era of the store. It logs that the store has come back from an older copy,
// unless the era is the first one that the process has seen.
func (r *Reporter) StoreEra(era, former keeper.Era) {
	r.storeEra.Set(float64(era))
	if former == 0 {
		return
	}
	r.log.WithFields(logrus.Fields{
		"event": "storeRestored", "era": era, "former": former,
	}).Warn("store has come back from an older copy and lost its latest writes")
}

// Registered implements finder.Observer. It logs the number of known members.
func (r *Reporter) Registered(members int) {
	r.log.WithFields(logrus.Fields{"event": "registered", "members": members}).Info("node registered")
}

// RegistrationFailed implements finder.Observer. It logs the first failure in a row.
func (r *Reporter) RegistrationFailed(err error) {
	r.log.WithField("event", "registrationFailed").WithError(err).Warn("failed to register the node or to read the members")
}

// RegistrationRegained implements finder.Observer.
func (r *Reporter) RegistrationRegained() {
	r.log.WithField("event", "registrationRegained").Info("registering the node and reading the members works again")
}

// MemberFound implements finder.Observer. It logs a new or changed member record and the
// source that it came from, subject to the rate limit.
func (r *Reporter) MemberFound(m balancer.Member, source finder.Source) {
	if !r.allow(r.memberLimiter, membersSuppressedEvent, string(source)) {
		return
	}
	r.log.WithFields(logrus.Fields{
		"event": "memberFound", "member": m.Node, "instance": m.Instance, "service": m.Service,
		"leaving": m.Draining, "sequence": m.Sequence, "source": source,
	}).Info("member is new or has changed")
}

// MemberLost implements finder.Observer. It logs the removal of a member, subject to the rate
// limit.
func (r *Reporter) MemberLost(m balancer.Member) {
	if !r.allow(r.memberLimiter, membersSuppressedEvent, "lost") {
		return
	}
	r.log.WithFields(logrus.Fields{"event": "memberLost", "member": m.Node}).Info("unresponsive or replaced member removed")
}

// EntryUnusable implements finder.Observer. It counts an entry or a record that does not describe a
// member and logs its key, subject to the rate limit of input.
func (r *Reporter) EntryUnusable(key string, source finder.Source, err error) {
	r.unusableEntries.WithLabelValues(string(source)).Inc()
	if !r.allow(r.inputLimiter, inputsSuppressedEvent, "entry") {
		return
	}
	r.log.WithFields(logrus.Fields{"event": "entryUnusable", "key": key, "source": source}).WithError(err).Warn("entry or record does not describe a member")
}

// Upstream logs the state of the local upstream if the verdict is tracker.Changed.
func (r *Reporter) Upstream(u tracker.Upstream, verdict tracker.Verdict) {
	if verdict != tracker.Changed {
		return
	}
	r.log.WithFields(logrus.Fields{
		"event": "upstreamChanged", "instance": u.Instance, "service": u.Service, "sequence": u.Sequence,
		"leaving": u.State == tracker.Draining, "slots": u.Slots,
	}).Info("upstream changed")
}

// RateLimited implements executor.Observer. It sets the metric of the upstream's rate limit, and
// logs that a limit begins or ends, subject to the rate limit of input.
func (r *Reporter) RateLimited(l executor.RateLimit) {
	rate := math.Inf(1)
	if l.Valid {
		rate = l.PerSecond
	}
	r.upstreamLimit.Set(rate)
	if r.limited.Swap(l.Valid) == l.Valid || !r.allow(r.inputLimiter, inputsSuppressedEvent, "rateLimit") {
		return
	}
	r.log.WithFields(logrus.Fields{"event": "upstreamLimited", "limited": l.Valid, "callsPerSecond": l.PerSecond}).
		Info("the upstream limits the rate of calls, or does not any more")
}

// DrainStated implements executor.Observer. It logs that an answer of the upstream states its
// drain.
func (r *Reporter) DrainStated(u tracker.Upstream) { r.Upstream(u, tracker.Changed) }

// DrainRecorded logs and counts that a drain was recorded, by how many other nodes and whether the
// node's entry in the store has it, subject to the rate limit of input.
func (r *Reporter) DrainRecorded(d recorder.Drain, replicas int, stored bool) {
	r.recordedDrains.WithLabelValues(strconv.FormatBool(replicas > 0), strconv.FormatBool(stored)).Inc()
	if !r.allow(r.inputLimiter, inputsSuppressedEvent, "drain") {
		return
	}
	r.log.WithFields(logrus.Fields{
		"event": "drainRecorded", "instance": d.Instance, "born": d.Born, "replicas": replicas, "stored": stored,
	}).Info("drain of the upstream recorded outside of the process")
}

// DrainRecovered logs a drain that a former process of the node acknowledged, subject to the rate
// limit of input.
func (r *Reporter) DrainRecovered(d recorder.Drain) {
	if !r.allow(r.inputLimiter, inputsSuppressedEvent, "drain") {
		return
	}
	r.log.WithFields(logrus.Fields{"event": "drainRecovered", "instance": d.Instance, "born": d.Born}).
		Info("drain that a former process acknowledged is in force again")
}

// HeartbeatRejected logs that a heartbeat or a deregistration of the local upstream was
// rejected, subject to the rate limit of input.
func (r *Reporter) HeartbeatRejected(err error) {
	if !r.allow(r.inputLimiter, inputsSuppressedEvent, "heartbeat") {
		return
	}
	r.log.WithField("event", "reportRefused").WithError(err).Warn("heartbeat or deregistration rejected")
}
