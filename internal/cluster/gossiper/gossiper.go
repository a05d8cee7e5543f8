// Package gossiper keeps a node's view of the fleet up to date: it announces the
// node, pushes updates, reconciles with peers and detects dead members. Inside a
// zone a node contacts its fingers (see merger.Fingers). The bridges of a zone (see
// merger.Bridges) also contact other zones.
package gossiper

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarackscale/tamarackscale/internal/cluster/batcher"
	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/cluster/messenger"
	"github.com/tamarackscale/tamarackscale/internal/cluster/prober"
)

const (
	// BridgeCount is the number of members of a zone that exchange views with other
	// zones.
	BridgeCount = 2
	// crossZoneTimeout limits an exchange with another zone, a seed or a dead member.
	crossZoneTimeout = time.Second
	// pushTimeout limits the push of one batch, and the pull that follows a push.
	pushTimeout = 2 * time.Second
	// batchDelay is how long updates are collected before they are pushed.
	batchDelay = 5 * time.Millisecond
	// leftRetention is how long entries of nodes that left are kept.
	leftRetention = 10 * time.Minute
	// deadRetention is how long entries of dead nodes are kept. It is the longest
	// partition inside a zone during which at most one side has the majority as
	// defined by merger.Table.Majority.
	deadRetention = 2 * time.Hour
	// seedsPerJoin is how many seeds a joining node contacts at once. The limit keeps
	// the start of a whole fleet from opening a connection from every node to each seed.
	seedsPerJoin = 3
	// reconnectTicks is the number of ticks between exchanges with a dead member or
	// a seed, which detect that a partition has healed.
	reconnectTicks = 5
)

// Config configures a gossiper.
type Config struct {
	// Self is the node's entry at start. Its incarnation must be set.
	Self merger.Entry
	// Seeds are the control addresses (IP:port) of the nodes through which to join.
	Seeds []string
}

// Gossiper implements registrar.Service.
type Gossiper struct {
	config    Config
	messenger *messenger.Messenger
	log       *logrus.Entry
	group     sync.WaitGroup
	// wake has a capacity of one; a value in it makes pushLoop push the pending updates.
	wake   chan struct{}
	joined chan struct{}
	// reconciling is set while an exchange started by ReconcileAsync is running.
	reconciling atomic.Bool

	mu      sync.Mutex
	table   *merger.Table
	tracker *prober.Tracker
	self    merger.Entry
	// tick counts the rounds of exchangeLoop.
	tick      int
	pending   batcher.Batch
	listeners []Listener
	// pullDigest is the digest of the stamps of the pull in flight, or zero.
	pullDigest uint64
}

// Listener is notified of updates after they were merged. Its methods are called
// without the gossiper's lock held and may be called concurrently.
type Listener interface {
	// EntriesChanged is called with new or changed entries.
	EntriesChanged(entries []merger.Entry)
	// DocumentsChanged is called with new or newer documents and the ID of the peer
	// that sent them, which is empty for documents that this node published.
	DocumentsChanged(documents []merger.Document, from string)
}

// New returns a gossiper and registers its RPC receiver with the messenger. It returns
// an error if the registration fails.
func New(config Config, m *messenger.Messenger, log *logrus.Entry) (*Gossiper, error) {
	config.Seeds = slices.DeleteFunc(slices.Clone(config.Seeds), func(seed string) bool {
		return seed == config.Self.ControlAddress
	})
	g := &Gossiper{
		config: config, messenger: m, log: log, table: merger.New(), tracker: prober.New(),
		self: config.Self, wake: make(chan struct{}, 1), joined: make(chan struct{}),
	}
	g.table.Merge(g.self, time.Now())
	return g, m.Handle(messenger.GossipName, &receiver{g})
}

// Name implements registrar.Service.
func (g *Gossiper) Name() string { return "gossiper" }

// Needs implements registrar.Service.
func (g *Gossiper) Needs() []string { return []string{"messenger"} }

// AddListener adds a listener. It must be called before Start.
func (g *Gossiper) AddListener(l Listener) { g.listeners = append(g.listeners, l) }

// Start implements registrar.Service. It joins the fleet and exchanges views in the
// background until the context ends.
func (g *Gossiper) Start(ctx context.Context) error {
	g.group.Add(3)
	go g.join(ctx)
	go g.exchangeLoop(ctx)
	go g.pushLoop(ctx)
	return nil
}

// Stop implements registrar.Service. It announces to the peers that this node has left.
func (g *Gossiper) Stop(ctx context.Context) error {
	g.mu.Lock()
	g.self.Liveness = merger.Left
	g.self.State = merger.Absent
	g.self.RelayTerm = 0
	g.publishSelf()
	pushes := g.pushes(g.pending.Take())
	g.mu.Unlock()
	g.pushAll(ctx, pushes)
	return nil
}

// Joined returns a channel that is closed once a seed has replied, if there is no
// other seed, or when the context of Start ends.
func (g *Gossiper) Joined() <-chan struct{} { return g.joined }

// Self returns the node's own entry.
func (g *Gossiper) Self() merger.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Update changes the node's own entry, and publishes it if it differs.
func (g *Gossiper) Update(change func(e *merger.Entry)) {
	g.mu.Lock()
	before := g.self
	change(&g.self)
	if g.self == before {
		g.mu.Unlock()
		return
	}
	g.publishSelf()
	entry := g.self
	g.mu.Unlock()
	g.notify([]merger.Entry{entry}, nil, "")
}

// publishSelf raises the sequence of the node's entry and enqueues it for the next
// push. The lock must be held.
func (g *Gossiper) publishSelf() {
	g.self.Sequence++
	g.table.Merge(g.self, time.Now())
	g.enqueue([]merger.Entry{g.self}, nil, "")
}

// PublishDocuments publishes documents that this node read from the platform.
func (g *Gossiper) PublishDocuments(documents ...merger.Document) {
	g.merge(nil, documents, "")
}

// Members returns the live members of a zone ordered by ID; an empty zone selects
// all zones.
func (g *Gossiper) Members(zone string) []merger.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Alive(zone)
}

// Majority reports whether this node is on the majority side of its zone, as defined by
// merger.Table.Majority.
func (g *Gossiper) Majority() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Majority(g.self.Zone)
}

// Get returns a node's entry and whether there is one.
func (g *Gossiper) Get(id string) (merger.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Get(id)
}

// Document returns the document of a key; its revision is zero if there is none.
func (g *Gossiper) Document(key string) merger.Document {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Document(key)
}

// Bridges returns the bridges of the node's zone.
func (g *Gossiper) Bridges() []merger.Entry {
	return merger.Bridges(g.Members(g.config.Self.Zone), BridgeCount)
}

// Collectors returns the members of the node's zone that collect node reports: its
// bridges, one of which takes over from a failed relay, and its relay, which is not
// a bridge if it was elected before other members joined.
func (g *Gossiper) Collectors() []merger.Entry {
	collectors := g.Bridges()
	for _, member := range g.Members(g.config.Self.Zone) {
		if member.RelayTerm > 0 && !containsID(collectors, member.ID) {
			collectors = append(collectors, member)
		}
	}
	return collectors
}

func containsID(entries []merger.Entry, id string) bool {
	return slices.ContainsFunc(entries, func(e merger.Entry) bool { return e.ID == id })
}

// TargetOf returns the address of a member and the scope under which its traffic is
// counted.
func (g *Gossiper) TargetOf(e merger.Entry) messenger.Target {
	scope := messenger.Cross
	if e.Zone == g.config.Self.Zone {
		scope = messenger.Zone
	}
	return messenger.Target{Address: e.ControlAddress, Scope: scope}
}

// merge merges entries and documents from a peer. If from is empty, they come from this
// node, which read the documents from the platform or declared a member dead. It enqueues
// those that changed the table for the next push and notifies the listeners.
func (g *Gossiper) merge(entries []merger.Entry, documents []merger.Document, from string) {
	g.mu.Lock()
	var freshEntries []merger.Entry
	for _, entry := range entries {
		if entry.ID == g.self.ID {
			g.refute(entry)
			continue
		}
		if g.table.Merge(entry, time.Now()) {
			freshEntries = append(freshEntries, entry)
		}
	}
	var freshDocuments []merger.Document
	for _, document := range documents {
		if g.table.MergeDocument(document) {
			freshDocuments = append(freshDocuments, document)
		}
	}
	g.enqueue(freshEntries, freshDocuments, from)
	g.mu.Unlock()
	g.notify(freshEntries, freshDocuments, from)
}

// refute raises the incarnation of this node above that of a received entry which states
// that this node has ended or has a later incarnation. It does nothing for older entries,
// or once the node is stopping. The lock must be held.
func (g *Gossiper) refute(received merger.Entry) {
	if g.self.Liveness != merger.Alive {
		return
	}
	stale := received.Incarnation < g.self.Incarnation ||
		(received.Incarnation == g.self.Incarnation && received.Liveness == merger.Alive)
	if stale {
		return
	}
	g.log.WithField("incarnation", received.Incarnation).Info("refuting a conflicting entry about this node")
	g.self.Incarnation = received.Incarnation + 1
	g.publishSelf()
}

// notify calls the listeners. The lock must not be held.
func (g *Gossiper) notify(entries []merger.Entry, documents []merger.Document, from string) {
	for _, listener := range g.listeners {
		if len(entries) > 0 {
			listener.EntriesChanged(entries)
		}
		if len(documents) > 0 {
			listener.DocumentsChanged(documents, from)
		}
	}
}

// exchangeLoop runs onTick at a mean interval of prober.Interval until the context
// ends.
func (g *Gossiper) exchangeLoop(ctx context.Context) {
	defer g.group.Done()
	for {
		// The jitter, half the interval wide, keeps nodes from ticking in step.
		interval := prober.Interval*3/4 + rand.N(prober.Interval/2)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		g.onTick(ctx)
	}
}

// onTick removes expired entries, probes a finger and, if this node is a bridge,
// exchanges views with another zone. Every reconnectTicks it also calls reconnect.
func (g *Gossiper) onTick(ctx context.Context) {
	g.mu.Lock()
	g.tick++
	tick := g.tick
	g.table.Expire(time.Now(), leftRetention, deadRetention)
	finger, found := g.nextFinger()
	g.mu.Unlock()
	if found {
		g.probe(ctx, finger)
	}
	g.exchangeAcrossZones(ctx)
	if tick%reconnectTicks == 0 {
		g.reconnect(ctx)
	}
}

// nextFinger returns the finger to probe in this tick. Ticks rotate through the
// fingers. The lock must be held.
func (g *Gossiper) nextFinger() (merger.Entry, bool) {
	fingers := merger.Fingers(g.table.Alive(g.self.Zone), g.self.ID)
	if len(fingers) == 0 {
		return merger.Entry{}, false
	}
	return fingers[g.tick%len(fingers)], true
}
