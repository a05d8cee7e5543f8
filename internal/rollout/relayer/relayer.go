// Package relayer connects a zone to the platform. The bridges of a zone (see
// merger.Bridges) contend for one lease. Its holder, the relay, watches the platform,
// distributes the rollout record to the members, writes the report of the zone and
// takes the next step of a rollout. Every write is a compare-and-swap on a revision
// that the relay has read, so a relay that was paused beyond its lease cannot overwrite
// newer data.
package relayer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/tamarackscale/tamarackscale/internal/cluster/gossiper"
	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/cluster/messenger"
	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/platform/resolver"
	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
	"github.com/tamarackscale/tamarackscale/internal/rollout/publisher"
)

const (
	// LeaseTTL is the time after which the platform ends a lease that is not renewed.
	LeaseTTL = 6 * time.Second
	// renewInterval allows for two tries to renew the lease before it expires.
	renewInterval = 2 * time.Second
	// watchTimeout is how long one watch stays open. In the call budget, a watch counts
	// as one call to the platform, however long it waits.
	watchTimeout = 30 * time.Second
	// contendInterval is the mean interval between checks for a relay of the zone.
	contendInterval = time.Second
	// stepDelay is how much longer than the relay of the previous zone the relay
	// of a zone waits before it takes a step, so that usually only the relay of
	// the first zone writes.
	stepDelay = 150 * time.Millisecond
	// reportDelay is how long node reports are collected before the report of
	// the zone is written.
	reportDelay = 20 * time.Millisecond
	// partialDelay is how long an incomplete zone report is delayed at most.
	partialDelay = 500 * time.Millisecond
	// dutyInterval is the minimum interval between two runs of the duties.
	dutyInterval = 500 * time.Millisecond
	// maxNamedNodes is the maximum length of each list of nodes in a report.
	maxNamedNodes = 5
)

// RelayKey returns the key whose lease makes a node the relay of a zone.
func RelayKey(zone string) string { return "relays/" + zone }

// Duty is additional periodic work of the relay of a zone, such as the assignment of
// seats.
type Duty interface {
	// Reset is called when the node becomes the relay.
	Reset()
	// Run is called about every dutyInterval while the lease is held.
	Run(ctx context.Context, store keeper.Store)
}

// Zones returns the zones in which a version must be prepared. It is empty if they
// are unknown.
type Zones func() []string

// Config configures a relayer.
type Config struct {
	Zone   string
	NodeID string
	Zones  Zones
	Duties []Duty
	// SeatsAssigned reports whether the seats of the zone have been assigned. Until
	// they are, the zone does not report the first version as prepared.
	SeatsAssigned func() bool
}

// Relayer implements registrar.Service.
type Relayer struct {
	config   Config
	gossiper *gossiper.Gossiper
	store    keeper.Store
	log      *logrus.Entry
	group    sync.WaitGroup
	cancel   context.CancelFunc
	// wake has a capacity of one; a value in it makes coordinate run once more.
	wake chan struct{}

	mu sync.Mutex
	// nodeReports holds the latest report of each node of the zone.
	nodeReports map[string]messenger.NodeReport
	// lastReport is the last report of this zone that was written or watched;
	// lastReportRevision is its revision on the platform.
	lastReport         decider.Report
	lastReportRevision keeper.Revision
	// record is the newest record that was watched or written.
	record decider.Stamped
	// zoneReports holds the reports of all zones, by zone.
	zoneReports map[string]decider.Report
	// actionableSince is when the pending decision to activate or abort was
	// first made; zero if there is none.
	actionableSince time.Time
	// partialSince is when an incomplete report was first delayed; zero once a
	// report is complete or unchanged.
	partialSince time.Time
}

// New returns a relayer.
func New(config Config, g *gossiper.Gossiper, store keeper.Store, log *logrus.Entry) *Relayer {
	return &Relayer{
		config: config, gossiper: g, store: store, log: log, wake: make(chan struct{}, 1),
		nodeReports: map[string]messenger.NodeReport{}, zoneReports: map[string]decider.Report{},
	}
}

// Name implements registrar.Service.
func (r *Relayer) Name() string { return "relayer" }

// Needs implements registrar.Service.
func (r *Relayer) Needs() []string { return []string{"gossiper", "distributor"} }

// Start implements registrar.Service. It begins to contend for the lease of the zone.
func (r *Relayer) Start(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(ctx)
	r.group.Add(1)
	go r.loop(ctx)
	return nil
}

// Stop implements registrar.Service. It revokes the lease, so that the next relay
// need not wait until it expires.
func (r *Relayer) Stop(context.Context) error {
	r.cancel()
	r.group.Wait()
	return nil
}

// Collect stores the report of a node unless a newer one is known.
func (r *Relayer) Collect(report messenger.NodeReport) {
	r.mu.Lock()
	known := r.nodeReports[report.Node]
	newer := report.Incarnation > known.Incarnation ||
		(report.Incarnation == known.Incarnation && report.Revision >= known.Revision)
	if newer {
		r.nodeReports[report.Node] = report
	}
	r.mu.Unlock()
	r.signal()
}

// signal wakes up coordinate.
func (r *Relayer) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// loop contends for the lease until the context ends.
func (r *Relayer) loop(ctx context.Context) {
	defer r.group.Done()
	for ctx.Err() == nil {
		if r.shouldContend() {
			r.contend(ctx)
		}
		pauser.Pause(ctx, contendInterval/2+rand.N(contendInterval))
	}
}

// shouldContend reports whether this node is a bridge and no other live member of its
// zone is the relay.
func (r *Relayer) shouldContend() bool {
	candidate := false
	for _, bridge := range r.gossiper.Bridges() {
		candidate = candidate || bridge.ID == r.config.NodeID
	}
	if !candidate {
		return false
	}
	for _, member := range r.gossiper.Members(r.config.Zone) {
		if member.RelayTerm > 0 && member.ID != r.config.NodeID {
			return false
		}
	}
	return true
}

// contend tries once to become the relay. If it succeeds, it acts as the relay until
// the lease is lost or the context ends.
func (r *Relayer) contend(ctx context.Context) {
	// A read costs the platform less than the grant of a lease that stays unused
	// because the key is held.
	_, err := r.store.Get(ctx, RelayKey(r.config.Zone))
	var missing *keeper.NotFoundError
	if !errors.As(err, &missing) {
		return
	}
	lease, err := r.store.Grant(ctx, LeaseTTL)
	if err != nil {
		return
	}
	grantedAt := time.Now()
	value, _ := json.Marshal(leaseHolder{Node: r.config.NodeID, Nonce: resolver.Nonce()})
	putCtx, cancel := context.WithTimeout(ctx, LeaseTTL)
	revision, err := resolver.Put(putCtx, r.store, keeper.PutRequest{
		Key: RelayKey(r.config.Zone), Value: value, Lease: lease,
	})
	cancel()
	if err != nil {
		_ = r.store.Revoke(ctx, lease)
		return
	}
	r.log.WithField("term", revision).Info("this node is now the relay of its zone")
	r.gossiper.Update(func(e *merger.Entry) { e.RelayTerm = int64(revision) })
	r.runTerm(ctx, lease, grantedAt)
	r.gossiper.Update(func(e *merger.Entry) { e.RelayTerm = 0 })
	r.log.Info("this node is no longer the relay of its zone")
}

// leaseHolder is the value of the lease key. The nonce makes it unique to one write.
type leaseHolder struct {
	Node  string `json:"node"`
	Nonce string `json:"nonce"`
}

// runTerm does the work of the relay until the lease, which was granted at grantedAt,
// is lost or the context ends.
func (r *Relayer) runTerm(ctx context.Context, lease keeper.LeaseID, grantedAt time.Time) {
	for _, duty := range r.config.Duties {
		duty.Reset()
	}
	leaseCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { r.watch(leaseCtx) })
	group.Go(func() { r.coordinate(leaseCtx) })
	r.renew(leaseCtx, lease, grantedAt)
	cancel()
	group.Wait()
	if ctx.Err() != nil {
		// The process is stopping: spare the next relay the wait until the lease
		// expires.
		revokeCtx, done := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer done()
		_ = r.store.Revoke(revokeCtx, lease)
	}
}

// renew renews the lease until it is lost, may have expired by this node's clock, or
// the context ends. It counts the lease as running for LeaseTTL from renewedAt, the time
// of the grant, and later from when the last successful renewal was sent.
func (r *Relayer) renew(ctx context.Context, lease keeper.LeaseID, renewedAt time.Time) {
	for pauser.Pause(ctx, renewInterval) {
		sent := time.Now()
		renewCtx, cancel := context.WithDeadline(ctx, renewedAt.Add(LeaseTTL))
		err := r.store.Renew(renewCtx, lease)
		cancel()
		var missing *keeper.NotFoundError
		if errors.As(err, &missing) {
			return
		}
		if err == nil {
			renewedAt = sent
		}
		if time.Since(renewedAt) >= LeaseTTL {
			return
		}
	}
}

// watch follows the record and the reports of all zones until the context ends.
func (r *Relayer) watch(ctx context.Context) {
	after := keeper.Revision(0)
	for ctx.Err() == nil {
		change, err := r.store.Watch(ctx, publisher.RolloutPrefix, after, watchTimeout)
		if err != nil {
			// The call budget delays the next watch. This delay only prevents
			// a busy loop on a store without a budget.
			pauser.Pause(ctx, renewInterval/8)
			continue
		}
		after = change.Revision
		if change.Items != nil {
			r.applyItems(change.Items)
		}
	}
}

// applyItems stores the record and the reports returned by a watch.
func (r *Relayer) applyItems(items []keeper.Item) {
	zoneReports := publisher.DecodeReports(items)
	for _, item := range items {
		switch item.Key {
		case publisher.RecordKey:
			r.applyRecord(item)
		case publisher.ReportPrefix + r.config.Zone:
			r.mu.Lock()
			r.lastReport, r.lastReportRevision = zoneReports[r.config.Zone], item.Revision
			r.mu.Unlock()
		}
	}
	r.mu.Lock()
	r.zoneReports = zoneReports
	r.mu.Unlock()
	r.signal()
}

// applyRecord stores the record and distributes it to the members if it is newer than
// the current one.
func (r *Relayer) applyRecord(item keeper.Item) {
	record, err := publisher.DecodeRecord(item)
	if err != nil {
		r.log.WithError(err).Error("ignoring rollout record that cannot be decoded")
		return
	}
	r.mu.Lock()
	updated := record.Revision > r.record.Revision
	if updated {
		r.record = record
		r.actionableSince = time.Time{}
	}
	r.mu.Unlock()
	if updated {
		r.gossiper.PublishDocuments(merger.Document{Key: item.Key, Revision: item.Revision, Value: item.Value})
	}
}

// coordinate writes the report of the zone and takes the next step of the rollout
// whenever something has changed, and after dutyInterval in any case. It runs the
// duties about every dutyInterval.
func (r *Relayer) coordinate(ctx context.Context) {
	var lastDuties time.Time
	for ctx.Err() == nil {
		timer := time.NewTimer(dutyInterval)
		select {
		case <-ctx.Done():
		case <-r.wake:
			pauser.Pause(ctx, reportDelay)
		case <-timer.C:
		}
		timer.Stop()
		if time.Since(lastDuties) >= dutyInterval {
			lastDuties = time.Now()
			for _, duty := range r.config.Duties {
				duty.Run(ctx, r.store)
			}
		}
		r.writeReport(ctx)
		r.advanceRollout(ctx)
	}
}

// aggregate returns the report of the zone from those of its members. The caller
// holds the lock.
func (r *Relayer) aggregate(members []merger.Entry, record decider.Stamped) decider.Report {
	report := decider.Report{Zone: r.config.Zone, Revision: record.Revision, Members: len(members)}
	for _, member := range members {
		node := r.nodeReports[member.ID]
		if node.Incarnation == member.Incarnation && node.InForce == record.Accepted.Version {
			report.Running++
		}
		current := node.Incarnation == member.Incarnation && node.Revision == record.Revision
		switch {
		case record.Staged == nil:
		case current && node.Refusal != "":
			if len(report.Refusals) < maxNamedNodes {
				report.Refusals = append(report.Refusals, decider.Refusal{Node: member.ID, Reason: node.Refusal})
			}
		case current && node.Prepared:
			report.Prepared++
		case len(report.Waiting) < maxNamedNodes:
			report.Waiting = append(report.Waiting, member.ID)
		}
	}
	if record.Accepted.Version == 0 && record.Staged != nil && !r.config.SeatsAssigned() {
		report.Prepared, report.Waiting = 0, []string{"seats of the zone"}
	}
	return report
}

// writeReport writes the report of the zone if it has changed. An incomplete report
// is delayed by up to partialDelay, since most reports are complete by then.
func (r *Relayer) writeReport(ctx context.Context) {
	members := r.gossiper.Members(r.config.Zone)
	r.mu.Lock()
	if r.record.Revision == 0 {
		r.mu.Unlock()
		return
	}
	report := r.aggregate(members, r.record)
	same := sameReport(report, r.lastReport)
	complete := report.Running == report.Members || report.Prepared == report.Members || report.Refusals != nil
	delayed := !same && !complete && r.delayPartial(time.Now())
	if same || complete {
		r.partialSince = time.Time{}
	}
	expected := r.lastReportRevision
	r.mu.Unlock()
	if same || delayed {
		return
	}
	report.Nonce = resolver.Nonce()
	value, _ := json.Marshal(report)
	revision, err := resolver.Put(ctx, r.store, keeper.PutRequest{
		Key: publisher.ReportPrefix + r.config.Zone, Value: value, Expected: expected,
	})
	if err != nil {
		r.log.WithError(err).Info("cannot write zone report")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReport, r.lastReportRevision = report, revision
	r.zoneReports[r.config.Zone] = report
}

// delayPartial reports whether an incomplete report is to be delayed further. The
// caller holds the lock.
func (r *Relayer) delayPartial(now time.Time) bool {
	if r.partialSince.IsZero() {
		r.partialSince = now
		time.AfterFunc(partialDelay, r.signal)
	}
	return now.Sub(r.partialSince) < partialDelay
}

// sameReport reports whether two reports differ in nothing but their nonces.
func sameReport(a, b decider.Report) bool {
	a.Nonce, b.Nonce = "", ""
	first, _ := json.Marshal(a)
	second, _ := json.Marshal(b)
	return string(first) == string(second)
}

// advanceRollout takes the next step of the rollout if it is this relay's turn.
func (r *Relayer) advanceRollout(ctx context.Context) {
	zones := r.config.Zones()
	r.mu.Lock()
	record := r.record
	decision := decider.Decide(record, zones, r.zoneReports, time.Now())
	due := r.due(decision, zones, time.Now())
	r.mu.Unlock()
	if !due {
		return
	}
	next := decider.Apply(record.Record, decision, time.Now())
	written, err := publisher.PutRecord(ctx, r.store, next, record.Revision)
	if err != nil {
		r.log.WithError(err).Info("cannot write rollout step; another relay may have written it")
		return
	}
	r.log.WithFields(logrus.Fields{
		"version": record.Staged.Version, "accepted": decision.Action == decider.Activate, "reason": decision.Reason,
	}).Info("rollout step written")
	value, _ := json.Marshal(written.Record)
	r.applyRecord(keeper.Item{Key: publisher.RecordKey, Value: value, Revision: written.Revision})
}

// due reports whether it is this relay's turn to take the step. From when it first made
// the decision, the relay of each zone waits stepDelay longer than that of the zone
// before. The caller holds the lock.
func (r *Relayer) due(decision decider.Decision, zones []string, now time.Time) bool {
	if decision.Action == decider.Hold {
		r.actionableSince = time.Time{}
		return false
	}
	if r.actionableSince.IsZero() {
		r.actionableSince = now
	}
	wait := time.Duration(0)
	for i, zone := range zones {
		if zone == r.config.Zone {
			wait = time.Duration(i) * stepDelay
		}
	}
	if remaining := wait - now.Sub(r.actionableSince); remaining > 0 {
		time.AfterFunc(remaining, r.signal)
		return false
	}
	return true
}
