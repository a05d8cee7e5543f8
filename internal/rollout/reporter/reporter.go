// Package reporter sends the reports of nodes on the progress of a rollout to the
// collectors of their zone.
package reporter

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/cluster/gossiper"
	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/cluster/messenger"
	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
)

const (
	// reportTimeout limits the sending of reports to the next hop.
	reportTimeout = time.Second
	// batchDelay is how long reports are delayed so that several are sent at once.
	batchDelay = 5 * time.Millisecond
	// resendInterval is the time after which a node resends its own report. A
	// report is acknowledged by the next hop only, so one that is lost with that
	// node has to be sent again.
	resendInterval = 3 * time.Second
	// resendPeriod is how long after its last change a report is resent.
	resendPeriod = 7 * time.Second
)

// Reporter sends reports to the collectors of the zone along a tree in which each
// node receives from at most log2(n) others. Sending them directly would cost a
// collector one connection for each member of the zone.
type Reporter struct {
	gossiper  *gossiper.Gossiper
	messenger *messenger.Messenger
	// current returns this node's report.
	current func() messenger.NodeReport
	// collect receives the reports that are addressed to this node.
	collect func(messenger.NodeReport)
	// wake has a capacity of one; a value in it ends Run's wait for the next resend.
	wake chan struct{}

	mu sync.Mutex
	// pending holds the reports to be sent, by the IDs of collector and node.
	pending map[string]map[string]messenger.NodeReport
	// last is this node's last report, changedAt when it last changed, and
	// queuedAt when it was last queued; queuedFor holds the IDs of the collectors
	// that it was queued for.
	last      messenger.NodeReport
	changedAt time.Time
	queuedAt  time.Time
	queuedFor map[string]bool
}

// New returns a reporter. Current returns this node's report; collect receives the
// reports that are addressed to this node as a collector.
func New(
	g *gossiper.Gossiper, m *messenger.Messenger,
	current func() messenger.NodeReport, collect func(messenger.NodeReport),
) *Reporter {
	return &Reporter{
		gossiper: g, messenger: m, current: current, collect: collect, wake: make(chan struct{}, 1),
		pending: map[string]map[string]messenger.NodeReport{}, queuedFor: map[string]bool{},
	}
}

// WakeUp makes Run send reports that are new or have changed.
func (r *Reporter) WakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	for {
		timer := time.NewTimer(resendInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.wake:
			timer.Stop()
			pauser.Pause(ctx, batchDelay)
		case <-timer.C:
		}
		r.queueOwn(time.Now())
		r.flush(ctx)
	}
}

// queueOwn queues this node's report for the collectors that it was not queued for
// yet. Until resendPeriod has passed since its last change, it queues the report for
// all collectors again every resendInterval.
func (r *Reporter) queueOwn(now time.Time) {
	report := r.current()
	collectors := r.gossiper.Collectors()
	r.mu.Lock()
	defer r.mu.Unlock()
	if report != r.last {
		r.last, r.changedAt = report, now
		r.queuedFor = map[string]bool{}
	}
	if now.Sub(r.changedAt) < resendPeriod && now.Sub(r.queuedAt) >= resendInterval {
		r.queuedFor = map[string]bool{}
	}
	for _, collector := range collectors {
		if !r.queuedFor[collector.ID] {
			r.queuedFor[collector.ID], r.queuedAt = true, now
			r.queueReport(collector.ID, report)
		}
	}
}

// queueReport queues a report for a collector, in place of an earlier one of the same
// node. The caller holds the lock.
func (r *Reporter) queueReport(collector string, report messenger.NodeReport) {
	if r.pending[collector] == nil {
		r.pending[collector] = map[string]messenger.NodeReport{}
	}
	r.pending[collector][report.Node] = report
}

// Enqueue queues reports that another member sent to this node, which is their
// collector or a hop towards it.
func (r *Reporter) Enqueue(request messenger.ReportRequest) {
	r.mu.Lock()
	for _, report := range request.Reports {
		r.queueReport(request.Collector, report)
	}
	r.mu.Unlock()
	r.WakeUp()
}

// flush sends the pending reports to all collectors concurrently.
func (r *Reporter) flush(ctx context.Context) {
	r.mu.Lock()
	pending := r.pending
	r.pending = map[string]map[string]messenger.NodeReport{}
	r.mu.Unlock()
	var group sync.WaitGroup
	for collector, reports := range pending {
		group.Go(func() { r.send(ctx, collector, reports) })
	}
	group.Wait()
}

// send sends reports to the next hop towards their collector. If that fails, it
// sends them to the collector directly. If that fails too, or the collector is not
// alive, it drops them and relies on the nodes to resend them.
func (r *Reporter) send(ctx context.Context, id string, reports map[string]messenger.NodeReport) {
	self := r.gossiper.Self()
	if id == self.ID {
		for _, report := range reports {
			r.collect(report)
		}
		return
	}
	collector, known := r.gossiper.Get(id)
	if !known || collector.Liveness != merger.Alive {
		return
	}
	request := messenger.ReportRequest{Collector: id}
	for _, report := range reports {
		request.Reports = append(request.Reports, report)
	}
	hop := merger.NextHop(r.gossiper.Members(self.Zone), self.ID, collector)
	if r.call(ctx, hop, request) == nil || hop.ID == id {
		return
	}
	_ = r.call(ctx, collector, request)
}

func (r *Reporter) call(ctx context.Context, to merger.Entry, request messenger.ReportRequest) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := messenger.Call[messenger.ReportRequest, messenger.Empty](
		ctx, r.messenger, r.gossiper.TargetOf(to), messenger.ReportMethod, request)
	return err
}
