// Package assembler builds a proxy node from its components and runs it.
package assembler

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/account/granter"
	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/kernel/dialer"
	"github.com/tamarackscale/tamarackscale/internal/kernel/verifier"
	"github.com/tamarackscale/tamarackscale/internal/observe/reporter"
	"github.com/tamarackscale/tamarackscale/internal/proxy/acceptor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/dispatcher"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/finder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/recorder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/retrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/subscriber"
	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
	"github.com/tamarackscale/tamarackscale/platform"
	"github.com/tamarackscale/tamarackscale/platform/connector"
)

// storeTimeout is the timeout of one call to the store, watchGrace how long a watch may be overdue.
const (
	storeTimeout = time.Second
	watchGrace   = 500 * time.Millisecond
)

// Config configures a proxy.
type Config struct {
	Settings *reader.Settings
	// Output receives the log.
	Output io.Writer
	// Network dials and listens; nil means TCP with keep-alive probes.
	Network dialer.Network
}

// bytesPerMegabit converts Mbit/s to bytes per second.
const bytesPerMegabit = 1e6 / 8

// keepAlive detects within 3 seconds that the peer of an idle connection is gone or
// unreachable: after one idle second, two probes follow at intervals of a second.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Proxy is one node of the mesh.
type Proxy struct {
	settings atomic.Pointer[reader.Settings]
	bounds   reader.Bounds
	network  dialer.Network
	// incarnation is the start time of the process, in Unix nanoseconds. It identifies
	// the process among those that run on the VM one after another.
	incarnation int64

	account    *accountant.Account
	telemetry  *reporter.Reporter
	executor   *executor.Executor
	forwarder  *forwarder.Forwarder
	receiver   *forwarder.Receiver
	dispatcher *dispatcher.Dispatcher
	acceptor   *acceptor.Acceptor
	subscriber *subscriber.Subscriber
	finder     *finder.Finder
	// messenger exchanges member records with other nodes.
	messenger finder.Messenger
	// rollouts is nil unless the settings switch rollouts on.
	rollouts *rollouts
	// granter is nil if accounts have no quotas.
	granter   *granter.Granter
	isolation *isolation

	transport *verifier.Transport
	servers   []*http.Server
	// control serves the heartbeats of the upstream; nil before Start. It is among servers.
	control   *http.Server
	listeners []net.Listener
	closeOnce sync.Once
	// sequence counts the changes of this node's member record.
	sequence atomic.Uint64
	// stopping is set when Stop begins, draining when Stop announces the drain to the
	// other nodes.
	stopping atomic.Bool
	draining atomic.Bool
	// stopStart is when Stop began; nil before.
	stopStart atomic.Pointer[time.Time]
	// discovered is set once the finder has read the other nodes' entries or failed to.
	discovered atomic.Bool
	// known is closed after the first accepted heartbeat or deregistration of the upstream.
	known     chan struct{}
	knownOnce sync.Once
	// ownDrains holds the drains of the upstreams on this VM, peerDrains those of others.
	ownDrains  *recorder.Recorder
	peerDrains *recorder.Recorder
	// drainQueried is set once all nodes that may have the record of a former drain have replied.
	drainQueried atomic.Bool
}

// New builds a proxy; Start runs it. It returns an error if the RPC methods for other
// nodes can't be registered.
func New(config Config) (*Proxy, error) {
	p := newBase(config)
	s := config.Settings
	p.buildExecutor(s)
	if err := p.buildPeerTransport(s); err != nil {
		return nil, err
	}
	p.isolation = p.newIsolation()
	p.buildStoreClients(s)
	if err := p.buildQuotas(s.Quotas); err != nil {
		return nil, errors.Wrap(err, "register the service of quotas")
	}
	p.buildCallPath(s)
	p.UpdateMember(p.Self())
	return p, nil
}

// newBase returns a proxy that has its state, its account of memory and its reporter, but no other
// components.
func newBase(config Config) *Proxy {
	s := config.Settings
	p := &Proxy{
		bounds: s.Bounds, network: config.Network, incarnation: time.Now().UnixNano(), known: make(chan struct{}),
		ownDrains: recorder.New(recorder.MaxOwnDrains), peerDrains: recorder.New(maxPeerDrains),
	}
	if p.network == nil {
		p.network = dialer.TCP{KeepAlive: keepAlive}
	}
	p.settings.Store(s)
	p.sequence.Store(1)
	p.account = accountant.New(int64(s.Limits.MemoryOrDefault()) << 20)
	p.telemetry = reporter.New(s.Node.ID, s.Node.AvailabilityZone, config.Output)
	p.telemetry.ObserveAccount(p.account)
	return p
}

// buildExecutor builds the executor of calls at the upstream beside the node.
func (p *Proxy) buildExecutor(s *reader.Settings) {
	p.executor = executor.New(executor.Config{
		Dialect: platform.HTTP{}, Dial: p.network.Dial, DrainTime: p.bounds.DrainTime.Std(), Changed: p.publishSelf,
		Observe: p.telemetry, Restarted: !s.FirstStart, Account: p.account,
		Budget: budgetOf(p.bounds), Members: p.memberCount, LinkRate: s.Node.LinkRate * bytesPerMegabit,
		// The dispatcher is built after the executor.
		Admit: func(kind string, rank int, now time.Time) (time.Duration, bool) {
			return p.dispatcher.Admit(kind, rank, now)
		},
	})
}

// buildPeerTransport builds the components that exchange messages with other nodes, including those of
// rollouts. It returns an error if the RPC methods can't be registered.
func (p *Proxy) buildPeerTransport(s *reader.Settings) error {
	p.forwarder = forwarder.New(s.Node.ID, p.incarnation, p.network.Dial)
	var err error
	p.receiver, err = forwarder.NewReceiver(p.incarnation, p.executor, p)
	if err != nil {
		return errors.Wrap(err, "register RPC methods for other nodes")
	}
	p.receiver.ShapeLink(s.Node.LinkRate)
	p.receiver.UseAccount(p.account)
	p.messenger = p.forwarder
	if s.Rollouts == nil {
		return nil
	}
	return p.buildRollouts()
}

// buildCallPath builds the components that calls of callers pass. Those that it uses must exist.
func (p *Proxy) buildCallPath(s *reader.Settings) {
	p.dispatcher = dispatcher.New(p.dispatcherConfig(s))
	p.acceptor = acceptor.New(platform.HTTP{}, p.dispatcher, p.telemetry, p.account)
	p.telemetry.OnVersion(p.subscriber.Hint)
	p.forwarder.OnUnresponsive(func(address string) {
		p.dispatcher.WithBalancer(func(b *balancer.Balancer) { b.Suspect(address, time.Now()) })
	})
}

// dispatcherConfig returns the dependencies of the dispatcher.
func (p *Proxy) dispatcherConfig(s *reader.Settings) dispatcher.Config {
	config := dispatcher.Config{
		Node: s.Node.ID, Service: func() string { return p.settings.Load().Upstream.Service },
		Table: p.subscriber.Table, Forward: p.forwarder, Execute: p.executor, Observe: p.telemetry, Identities: platform.HTTP{},
		Balancer: balancer.New(s.Node.AvailabilityZone).WithLink(s.Node.ID, s.Node.LinkRate), End: p.callsEnd,
		Budget: budgetOf(p.bounds), ExtraWork: extraWork(s),
	}
	// A nil pointer in these interfaces would count as present.
	if p.rollouts != nil {
		config.Versions = countedVersions{p.rollouts.assigner, p.telemetry}
	}
	if p.granter != nil {
		config.Quotas = p.granter
	}
	return config
}

// extraWork returns the limit of hedges; nil if the settings name none.
func extraWork(s *reader.Settings) *float64 {
	if s.Hedging == nil {
		return nil
	}
	return &s.Hedging.ExtraWork
}

// budgetOf returns the retry budget that the bounds name.
func budgetOf(b reader.Bounds) retrier.Budget {
	return retrier.Budget{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow.Std()}
}

// memberCount returns the number of members, this node included.
func (p *Proxy) memberCount() int {
	count := 0
	p.dispatcher.WithBalancer(func(b *balancer.Balancer) { count = b.Size() })
	return count
}

// buildStoreClients builds the components that use the platform's store.
func (p *Proxy) buildStoreClients(s *reader.Settings) {
	p.transport = verifier.New(&http.Transport{
		DialContext:        p.dialStore,
		DisableCompression: true, MaxIdleConnsPerHost: 2,
	})
	store := connector.New(connector.Config{
		Address: s.Platform.Address, Timeout: storeTimeout, WatchGrace: watchGrace,
		Observe: p.telemetry.StoreCall, EraBegan: p.telemetry.StoreEra,
	}, p.transport)
	p.finder = finder.New(finder.Config{
		Store: store, Directory: p, Messenger: p.messenger, Observe: p.isolation,
		Seeds: s.SeedAddresses(), FirstStart: s.FirstStart, UpstreamKnown: p.known,
	})
	p.subscriber = subscriber.New(subscriber.Config{
		Orders: p.buildController(s, store),
		Store:  store, Key: platform.ConfigurationKey, Decode: platform.DecodeConfiguration,
		Peers: p.peers, RemotePeers: p.remotePeers, Relays: p.relays, OwnAddress: s.PeerAddress(), Request: p.forwarder.Configuration, Observe: p.telemetry,
		Discovered: p.finder.Discovered(), FirstStart: s.FirstStart, Seed: p.forwarder.Sender(),
	})
}

// dialStore opens a connection to the store. The transport continues a dial after the call that
// needed the connection was cancelled, so the dial has a timeout of its own.
func (p *Proxy) dialStore(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return p.network.Dial(ctx, address)
}

// Start opens the listeners and serves in the background. Cancelling the context ends
// the finder and the subscriber; Close or Stop ends the rest. It returns an error if a
// listener can't be opened; what was started until then runs until Close.
func (p *Proxy) Start(ctx context.Context) error {
	s := p.settings.Load()
	callers, err := p.listen(s.Listen.Callers)
	if err != nil {
		return err
	}
	peers, err := p.listen(s.PeerAddress())
	if err != nil {
		return err
	}
	control, err := p.listen(s.Listen.Control)
	if err != nil {
		return err
	}
	readiness, err := p.listen(s.Listen.Readiness)
	if err != nil {
		return err
	}
	parts := accountant.Divide(s.Limits.Descriptors)
	go p.receiver.Serve(p.account.Listen(peers, "peers", min(parts.Peers, p.account.MaxConnections(peerConnections)), ""))
	go p.acceptor.Serve(p.account.Listen(callers, "callers", min(parts.Callers, p.account.MaxConnections(callerConnections)), connectionRefusal()))
	p.control = p.serveHTTP(p.account.Listen(control, "control", parts.Small, "").Exempt(), platform.ControlHandler(p))
	p.serveHTTP(p.account.Listen(readiness, "readiness", parts.Small, "").Exempt(), platform.ReadinessHandler(p.ready))
	if s.Listen.Metrics != "" {
		metrics, err := p.listen(s.Listen.Metrics)
		if err != nil {
			return err
		}
		p.serveHTTP(p.account.Listen(metrics, "metrics", parts.Small, "").Exempt(), p.operatorHandler())
	}
	if p.rollouts != nil {
		go p.rollouts.controller.Run(ctx)
	}
	go p.subscriber.Run(ctx)
	go p.finder.Run(ctx)
	go func() {
		<-p.finder.Discovered()
		p.discovered.Store(true)
	}()
	p.telemetry.Started(s.PeerAddress())
	return nil
}

func (p *Proxy) listen(address string) (net.Listener, error) {
	l, err := p.network.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	p.listeners = append(p.listeners, l)
	return l, nil
}

// ready reports whether the node takes calls: it has a configuration, has discovered
// the other nodes, and is not stopping.
func (p *Proxy) ready() bool {
	return p.subscriber.Table() != nil && p.discovered.Load() && !p.stopping.Load()
}

// Close ends the proxy without draining it. It does not end the finder and the
// subscriber, for which the caller cancels the context of Start.
func (p *Proxy) Close() {
	p.closeOnce.Do(func() {
		close(p.isolation.done)
		p.closeListeners()
		for _, server := range p.servers {
			_ = server.Close()
		}
		p.acceptor.Close()
		p.receiver.Close()
		p.forwarder.Close()
		p.executor.Close()
		p.transport.CloseIdleConnections()
		p.telemetry.Close()
	})
}

// closeListeners ends the accepting of connections. Those that are open stay open.
func (p *Proxy) closeListeners() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
}

// Reload replaces the settings. The node keeps its name and addresses, and listeners, bounds
// and store clients the settings with which they were built.
func (p *Proxy) Reload(s *reader.Settings) {
	inUse := p.settings.Load()
	next := *s
	next.Node.ID, next.Node.IP, next.Listen = inUse.Node.ID, inUse.Node.IP, inUse.Listen
	p.settings.Store(&next)
}

// Reporter returns the writer of the proxy's log and metrics.
func (p *Proxy) Reporter() *reporter.Reporter { return p.telemetry }
