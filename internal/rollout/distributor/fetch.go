package distributor

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/bundle/differ"
	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/cluster/messenger"
	"github.com/tamarackscale/tamarackscale/internal/rollout/publisher"
)

// maxSources is the maximum number of peers that are asked before the platform is.
const maxSources = 4

// maxOlderSources is the maximum number of those peers that are chosen from the
// node's own zone because they started earlier. The rest are chosen from all members:
// in a zone that is cut off, the version may be held only by one node that fetched
// it from outside, whenever that node started.
const maxOlderSources = 2

// olderMargin is how much earlier than this node a peer must have started to be
// preferred. Nodes whose starts are closer count as started together.
const olderMargin = 3 * time.Second

// NotHeldError is returned if a peer does not have the requested version.
type NotHeldError struct {
	Peer    string
	Version int64
}

func (e *NotHeldError) Error() string { return "peer " + e.Peer + " does not have the version" }

// fetchAndPrepare fetches, verifies and prepares a version. It returns false if the
// fetch failed and is to be retried. A version that the node rejects is not fetched
// again.
func (d *Distributor) fetchAndPrepare(ctx context.Context, wanted parser.Pointer) bool {
	log := d.log.WithField("version", wanted.Version)
	for _, peer := range d.sources() {
		envelope, signOff, err := d.fetch(ctx, peer, wanted)
		if err != nil {
			log.WithError(err).Debug("cannot fetch version from peer")
			continue
		}
		// Content that fails verification was altered by the peer or in transit.
		// The next source may have valid content. Only content from the
		// platform can lead to a rejection for a failed verification.
		if err := d.verify(envelope, signOff); err != nil {
			log.WithError(err).WithField("peer", peer.ID).Warn("version from peer fails verification; trying the next source")
			continue
		}
		return d.prepareFetched(envelope, signOff)
	}
	envelope, signOff, err := d.fetchFromPlatform(ctx, wanted)
	if err != nil {
		log.WithError(err).Info("cannot fetch version from platform; retrying")
		return false
	}
	return d.prepareFetched(envelope, signOff)
}

// verify checks the digest and the sign-off of an envelope.
func (d *Distributor) verify(e parser.Envelope, s parser.SignOff) error {
	return d.config.Keys.Verify(e.Pointer, s, e.Content)
}

// prepareFetched prepares a fetched version and logs if the node rejects it. It
// returns true in either case, as fetching again would not help.
func (d *Distributor) prepareFetched(e parser.Envelope, s parser.SignOff) bool {
	if err := d.prepare(e, s); err != nil {
		d.log.WithError(err).WithField("version", e.Version).Error("version is rejected")
	}
	return true
}

// sources lists the peers to ask, in this order, before the platform. It is empty
// at the relay of a zone, which fetches from the platform, so that the content is
// transferred into the zone once.
func (d *Distributor) sources() []merger.Entry {
	if d.gossiper.Self().RelayTerm > 0 {
		return nil
	}
	d.mu.Lock()
	source := d.source
	d.mu.Unlock()
	self := d.gossiper.Self()
	var peers []merger.Entry
	seen := map[string]bool{self.ID: true}
	add := func(entries ...merger.Entry) {
		for _, entry := range entries {
			if !seen[entry.ID] && len(peers) < maxSources {
				seen[entry.ID] = true
				peers = append(peers, entry)
			}
		}
	}
	if entry, known := d.gossiper.Get(source); known && entry.Liveness == merger.Alive {
		add(entry)
	}
	for _, member := range d.gossiper.Members(self.Zone) {
		if member.RelayTerm > 0 {
			add(member)
		}
	}
	// Few of the nodes that started together with this one have a version yet.
	older := shuffled(startedBefore(d.gossiper.Members(self.Zone), self.Started))
	add(older[:min(len(older), maxOlderSources)]...)
	add(shuffled(d.gossiper.Members(""))...)
	return peers
}

func shuffled(entries []merger.Entry) []merger.Entry {
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries
}

// startedBefore returns the members that started at least olderMargin before start,
// which is in Unix milliseconds.
func startedBefore(entries []merger.Entry, start int64) []merger.Entry {
	var older []merger.Entry
	for _, entry := range entries {
		if entry.Started < start-olderMargin.Milliseconds() {
			older = append(older, entry)
		}
	}
	return older
}

// base returns the envelope of the version in force, to which deltas are applied. The
// envelope is empty if no version is in force.
func (d *Distributor) base() parser.Envelope {
	table := d.table.Load()
	if table == nil {
		return parser.Envelope{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.envelopes[table.Version]
}

// fetch requests a version from a peer, as a delta if the peer can compute one. Its
// error is a *NotHeldError if the peer does not have the version.
func (d *Distributor) fetch(
	ctx context.Context, peer merger.Entry, wanted parser.Pointer,
) (parser.Envelope, parser.SignOff, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	base := d.base()
	request := messenger.FetchRequest{Wanted: wanted, Have: base.Pointer}
	to := d.gossiper.TargetOf(peer)
	reply, err := messenger.Call[messenger.FetchRequest, messenger.FetchReply](
		ctx, d.messenger, to, messenger.FetchMethod, request)
	if err != nil {
		return parser.Envelope{}, parser.SignOff{}, err
	}
	if !reply.Found {
		return parser.Envelope{}, parser.SignOff{}, &NotHeldError{Peer: peer.ID, Version: wanted.Version}
	}
	envelope := parser.Envelope{Pointer: wanted, Content: reply.Content}
	if reply.Delta != nil {
		envelope.Content, err = differ.Apply(base.Content, *reply.Delta)
	}
	return envelope, reply.SignOff, err
}

// fetchFromPlatform reads the sign-off and the delta, or the whole content if the
// delta does not apply to the version in force.
func (d *Distributor) fetchFromPlatform(
	ctx context.Context, wanted parser.Pointer,
) (parser.Envelope, parser.SignOff, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var signOff parser.SignOff
	if err := d.read(ctx, publisher.SignOffKey(wanted.Version), &signOff); err != nil {
		return parser.Envelope{}, signOff, err
	}
	if base := d.base(); base.Version > 0 {
		var delta differ.Delta
		if d.read(ctx, publisher.DeltaKey(wanted.Version), &delta) == nil {
			content, err := differ.Apply(base.Content, delta)
			if err == nil && parser.Digest(content) == wanted.Digest {
				return parser.Envelope{Pointer: wanted, Content: content}, signOff, nil
			}
		}
	}
	var envelope parser.Envelope
	err := d.read(ctx, publisher.BundleKey(wanted.Version), &envelope)
	envelope.Pointer = wanted
	return envelope, signOff, err
}

// read reads a key of the platform and decodes its JSON value into target.
func (d *Distributor) read(ctx context.Context, key string, target any) error {
	item, err := d.store.Get(ctx, key)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(item.Value, target), "key %s", key)
}

// receiver holds the RPC methods that peers call.
type receiver struct{ d *Distributor }

// Fetch returns a version to a peer. If this node does not have it, the call waits
// up to fetchWait for it.
func (r *receiver) Fetch(request messenger.FetchRequest, reply *messenger.FetchReply) error {
	timeout := time.After(fetchWait)
	for {
		envelope, signOff, held, changed := r.d.lookup(request.Wanted)
		if held {
			reply.Found, reply.SignOff = true, signOff
			r.d.fillReply(request.Have, envelope, reply)
			return nil
		}
		select {
		case <-timeout:
			return nil
		case <-changed:
		}
	}
}

// lookup returns the envelope and sign-off of a version, whether they are held, and
// a channel that is closed when that may have changed.
func (d *Distributor) lookup(p parser.Pointer) (parser.Envelope, parser.SignOff, bool, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	envelope, held := d.envelopes[p.Version]
	return envelope, d.signOffs[p.Version], held && envelope.Digest == p.Digest, d.changed
}

// fillReply puts a delta into the reply if this node has the version that the peer
// has and the lines that the delta adds are smaller than the content. Otherwise it
// puts the content into the reply.
func (d *Distributor) fillReply(have parser.Pointer, wanted parser.Envelope, reply *messenger.FetchReply) {
	base, _, held, _ := d.lookup(have)
	if !held || have.Version == 0 {
		reply.Content = wanted.Content
		return
	}
	delta := differ.Diff(base.Content, wanted.Content)
	size := 0
	for _, line := range delta.Added {
		size += len(line)
	}
	if size >= len(wanted.Content) {
		reply.Content = wanted.Content
		return
	}
	reply.Delta = &delta
}

// Report queues reports for this node, or for another collector that this node is a
// hop towards.
func (r *receiver) Report(request messenger.ReportRequest, _ *messenger.Empty) error {
	r.d.reporter.Enqueue(request)
	return nil
}
