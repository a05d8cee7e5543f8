// Package distributor keeps a node at the version that the rollout record asks for:
// it follows the record, fetches and prepares versions, swaps the table in force
// and reports progress to the collectors of the zone.
package distributor

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/tamarackscale/tamarackscale/internal/bundle/compiler"
	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/bundle/signer"
	"github.com/tamarackscale/tamarackscale/internal/cluster/gossiper"
	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/cluster/messenger"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
	"github.com/tamarackscale/tamarackscale/internal/rollout/orderer"
	"github.com/tamarackscale/tamarackscale/internal/rollout/publisher"
	"github.com/tamarackscale/tamarackscale/internal/rollout/reporter"
)

const (
	// fetchTimeout limits one fetch from a peer or from the platform.
	fetchTimeout = 3 * time.Second
	// fetchWait is how long a peer that does not have a requested version waits
	// for it to arrive before it replies that it has none.
	fetchWait = time.Second
	// retryInterval is the mean delay before failed fetches are retried.
	retryInterval = time.Second
	// initialReadsPerSecond limits the load on the platform when many nodes
	// start together: n nodes spread their first reads of the record over
	// n/initialReadsPerSecond seconds.
	initialReadsPerSecond = 500
	// bootTimeout limits the wait for a seed at start and, separately, the first
	// read from the platform. If that read fails, the node serves with the record
	// that its peers send.
	bootTimeout = 3 * time.Second
)

// Config configures a distributor.
type Config struct {
	// Keys verify the sign-offs of versions.
	Keys signer.PublicKeys
	// OnSwap is called after each swap of the table, without the distributor's lock
	// held; it may be nil. Calls for two swaps may overlap.
	OnSwap func(table *compiler.Table)
}

// Distributor implements registrar.Service.
type Distributor struct {
	config    Config
	gossiper  *gossiper.Gossiper
	messenger *messenger.Messenger
	store     keeper.Store
	log       *logrus.Entry
	group     sync.WaitGroup
	// wake has a capacity of one; a value in it makes loop run once more.
	wake chan struct{}
	// table is the table in force; each request loads it once.
	table atomic.Pointer[compiler.Table]
	// booted is set once the first read from the platform has succeeded or failed.
	booted atomic.Bool
	// ready is set once the node may serve and is never reset.
	ready atomic.Bool

	mu      sync.Mutex
	orderer *orderer.Orderer
	// envelopes and signOffs hold what peers may fetch, by version.
	envelopes map[int64]parser.Envelope
	signOffs  map[int64]parser.SignOff
	// source is the ID of the peer that sent the newest record. It is empty if this
	// node read the record from the platform.
	source string
	// changed is closed and replaced whenever a version is prepared or rejected.
	changed chan struct{}
	// collect receives the reports that reach this node as a collector.
	collect  func(messenger.NodeReport)
	reporter *reporter.Reporter
}

// New returns a distributor and registers its RPC methods with the messenger. It
// returns an error if the registration fails.
func New(
	config Config, g *gossiper.Gossiper, m *messenger.Messenger, store keeper.Store, log *logrus.Entry,
) (*Distributor, error) {
	d := &Distributor{
		config: config, gossiper: g, messenger: m, store: store, log: log,
		wake: make(chan struct{}, 1), changed: make(chan struct{}), orderer: orderer.New(),
		envelopes: map[int64]parser.Envelope{}, signOffs: map[int64]parser.SignOff{},
		collect: func(messenger.NodeReport) {},
	}
	d.reporter = reporter.New(g, m, d.report, func(report messenger.NodeReport) { d.collect(report) })
	g.AddListener(d)
	return d, m.Handle(messenger.BundlesName, &receiver{d})
}

// SetReportHandler sets the function that receives the reports that reach this node as a
// collector. It must be called before Start.
func (d *Distributor) SetReportHandler(collect func(messenger.NodeReport)) { d.collect = collect }

// Name implements registrar.Service.
func (d *Distributor) Name() string { return "distributor" }

// Needs implements registrar.Service.
func (d *Distributor) Needs() []string { return []string{"gossiper"} }

// Start implements registrar.Service. It reads the record once from the platform,
// and from then on receives it by gossip.
func (d *Distributor) Start(ctx context.Context) error {
	d.group.Add(2)
	go d.boot(ctx)
	go d.loop(ctx)
	d.group.Go(func() { d.reporter.Run(ctx) })
	return nil
}

// Stop implements registrar.Service. It does nothing, as the goroutines end with the
// context passed to Start.
func (d *Distributor) Stop(context.Context) error { return nil }

// Table returns the table in force, or nil if there is none yet.
func (d *Distributor) Table() *compiler.Table { return d.table.Load() }

// Ready reports whether the node may serve: it has asked the platform and its peers
// for the record, and the accepted version of the newest record has been in force
// since. A node that starts next to stale peers thus does not serve with their
// version while it fetches the newer one that the platform returned.
func (d *Distributor) Ready() bool {
	if d.ready.Load() {
		return true
	}
	if !d.booted.Load() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	table := d.orderer.InForce()
	current := table != nil && table.Version >= d.orderer.Record().Accepted.Version
	if current {
		d.ready.Store(true)
	}
	return current
}

// Record returns the newest record known.
func (d *Distributor) Record() decider.Stamped {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.orderer.Record()
}

// EntriesChanged implements gossiper.Listener. It triggers a report, since the zone
// may have a new collector.
func (d *Distributor) EntriesChanged([]merger.Entry) { d.signal() }

// DocumentsChanged implements gossiper.Listener.
func (d *Distributor) DocumentsChanged(documents []merger.Document, source string) {
	for _, document := range documents {
		if document.Key == publisher.RecordKey {
			d.updateRecord(document, source)
		}
	}
}

// updateRecord passes a rollout record to the orderer and, if it is newer, acts on it.
func (d *Distributor) updateRecord(document merger.Document, source string) {
	record, err := publisher.DecodeRecord(keeper.Item{Key: document.Key, Value: document.Value, Revision: document.Revision})
	if err != nil {
		d.log.WithError(err).Error("ignoring rollout record that cannot be decoded")
		return
	}
	d.mu.Lock()
	updated := d.orderer.UpdateRecord(record)
	if updated {
		d.source = source
	}
	d.mu.Unlock()
	if updated {
		// If the accepted version is prepared already, it comes into force at once.
		d.advance()
		d.signal()
	}
}

// ObserveVersion is called with the version that a call from a peer carried. If it is
// newer than the one in force, this node lags behind and gossips with the peer at once.
func (d *Distributor) ObserveVersion(version int64, peer string) {
	table := d.table.Load()
	if table != nil && version <= table.Version {
		return
	}
	d.gossiper.ReconcileAsync(peer)
}

// signal wakes up loop.
func (d *Distributor) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// boot reads the record from the platform, after a seed has replied or
// bootTimeout has passed.
func (d *Distributor) boot(ctx context.Context) {
	defer d.group.Done()
	select {
	case <-ctx.Done():
		return
	case <-d.gossiper.Joined():
	case <-time.After(bootTimeout):
	}
	spread := time.Duration(len(d.gossiper.Members(""))) * time.Second / initialReadsPerSecond
	select {
	case <-ctx.Done():
		return
	case <-time.After(rand.N(spread + time.Millisecond)):
	}
	readCtx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	item, err := d.store.Get(readCtx, publisher.RecordKey)
	var missing *keeper.NotFoundError
	switch {
	case err == nil:
		d.gossiper.PublishDocuments(merger.Document{Key: item.Key, Revision: item.Revision, Value: item.Value})
	case !errors.As(err, &missing):
		d.log.WithError(err).Warn("cannot read rollout record from platform at start; using that of peers")
	}
	d.booted.Store(true)
	d.signal()
}

// loop fetches wanted versions and triggers reports until the context ends.
func (d *Distributor) loop(ctx context.Context) {
	defer d.group.Done()
	for {
		complete := d.fetchWanted(ctx)
		var retry <-chan time.Time
		if !complete {
			retry = time.After(retryInterval/2 + rand.N(retryInterval))
		}
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-retry:
		}
	}
}

// fetchWanted fetches and prepares the wanted versions and triggers a report. It
// reports whether nothing is left to fetch.
func (d *Distributor) fetchWanted(ctx context.Context) bool {
	d.mu.Lock()
	wanted := d.orderer.Wanted()
	d.mu.Unlock()
	complete := true
	for _, pointer := range wanted {
		complete = d.fetchAndPrepare(ctx, pointer) && complete
		d.advance()
	}
	d.reporter.WakeUp()
	return complete
}

// advance puts the accepted version into force, by a swap of the table, if it is
// prepared and newer than the one in force.
func (d *Distributor) advance() {
	d.mu.Lock()
	table, swapped := d.orderer.Advance()
	if swapped {
		d.table.Store(table)
		d.pruneEnvelopes()
	}
	d.mu.Unlock()
	if !swapped {
		return
	}
	d.log.WithFields(logrus.Fields{"version": table.Version, "digest": table.Digest}).Info("version is in force")
	if d.config.OnSwap != nil {
		d.config.OnSwap(table)
	}
	d.signal()
}

// pruneEnvelopes drops the envelopes of versions that are neither in force nor in
// the record. The caller holds the lock.
func (d *Distributor) pruneEnvelopes() {
	for version := range d.envelopes {
		if d.orderer.PreparedTable(version) == nil {
			delete(d.envelopes, version)
			delete(d.signOffs, version)
		}
	}
}

// prepare verifies and compiles an envelope and stores it if the record asks for it.
// If either fails, the version is rejected and the error returned.
func (d *Distributor) prepare(e parser.Envelope, s parser.SignOff) error {
	table, err := compiler.Compile(e, s, d.config.Keys)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.orderer.Reject(e.Pointer, err.Error())
	} else if d.orderer.Prepare(table) {
		d.envelopes[e.Version], d.signOffs[e.Version] = e, s
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return err
}

// StagedBundle returns the prepared bundle of the staged version, or nil.
func (d *Distributor) StagedBundle() *parser.Bundle {
	d.mu.Lock()
	defer d.mu.Unlock()
	staged := d.orderer.Record().Staged
	if staged == nil {
		return nil
	}
	table := d.orderer.PreparedTable(staged.Version)
	if table == nil {
		return nil
	}
	return table.Bundle
}

// report returns the progress of this node.
func (d *Distributor) report() messenger.NodeReport {
	self := d.gossiper.Self()
	d.mu.Lock()
	defer d.mu.Unlock()
	report := messenger.NodeReport{
		Node: self.ID, Incarnation: self.Incarnation, Revision: d.orderer.Record().Revision,
		Prepared: d.orderer.Prepared(), Refusal: d.orderer.Refusal(),
	}
	if table := d.orderer.InForce(); table != nil {
		report.InForce = table.Version
	}
	return report
}
