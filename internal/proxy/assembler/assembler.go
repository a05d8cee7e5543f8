// Package assembler puts a proxy together and runs it.
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

	"github.com/tamarackscale/tamarackscale/internal/kernel/dialer"
	"github.com/tamarackscale/tamarackscale/internal/observe/reporter"
	"github.com/tamarackscale/tamarackscale/internal/proxy/acceptor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/dispatcher"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/finder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/retrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/subscriber"
	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
	"github.com/tamarackscale/tamarackscale/platform"
	"github.com/tamarackscale/tamarackscale/platform/connector"
)

// storeTimeout bounds one call to the store.
const storeTimeout = time.Second

// Config is what a proxy needs.
type Config struct {
	Settings *reader.Settings
	Output   io.Writer
	// Network opens and takes connections; nil is TCP.
	Network dialer.Network
}

// keepAlive finds within seconds that the other end of an idle connection is
// gone, or that nothing gets through any more.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Proxy is one node.
type Proxy struct {
	settings atomic.Pointer[reader.Settings]
	bounds   reader.Bounds
	network  dialer.Network
	start    int64

	report     *reporter.Reporter
	executor   *executor.Executor
	forwarder  *forwarder.Forwarder
	receiver   *forwarder.Receiver
	dispatcher *dispatcher.Dispatcher
	acceptor   *acceptor.Acceptor
	subscriber *subscriber.Subscriber
	finder     *finder.Finder

	transport *http.Transport
	servers   []*http.Server
	listeners []net.Listener
	ended     sync.Once
	sequence  atomic.Uint64
	// stopping says that the process is about to end, leaving that the others know.
	stopping  atomic.Bool
	leaving   atomic.Bool
	found     atomic.Bool
	known     chan struct{}
	knownOnce sync.Once
	leavings  *leavings
}

// New builds a proxy that does not run yet.
func New(config Config) (*Proxy, error) {
	s := config.Settings
	p := &Proxy{bounds: s.Bounds, network: config.Network, start: time.Now().UnixNano(), known: make(chan struct{}), leavings: newLeavings()}
	if p.network == nil {
		p.network = dialer.TCP{KeepAlive: keepAlive}
	}
	p.settings.Store(s)
	p.sequence.Store(1)
	p.report = reporter.New(s.Node.ID, s.Node.AvailabilityZone, config.Output)
	p.executor = executor.New(executor.Config{
		Dialect: platform.HTTP{}, Dial: p.network.Dial, DrainTime: p.bounds.DrainTime.Std(), Changed: p.upstreamChanged,
		Admit: func(kind string, rank int, now time.Time) (time.Duration, bool) {
			return p.dispatcher.Admit(kind, rank, now)
		},
	})
	p.forwarder = forwarder.New(s.Node.ID, p.start, p.network.Dial)
	var err error
	p.receiver, err = forwarder.NewReceiver(p.start, p.executor, p)
	if err != nil {
		return nil, errors.Wrap(err, "export methods to other nodes")
	}
	p.buildControl(s)
	p.dispatcher = dispatcher.New(dispatcher.Config{
		Node: s.Node.ID, Service: func() string { return p.settings.Load().Upstream.Service },
		Table: p.subscriber.Table, Forward: p.forwarder, Execute: p.executor, Observe: p.report,
		Balancer: balancer.New(s.Node.AvailabilityZone),
		Budget: retrier.Budget{
			Ratio: p.bounds.RepeatRatio, Slack: p.bounds.RepeatSlack, Window: p.bounds.RepeatWindow.Std(),
		},
	})
	p.acceptor = acceptor.New(platform.HTTP{}, p.dispatcher)
	p.report.OnHint(p.subscriber.Hint)
	p.forwarder.OnSilent(func(address string) {
		p.dispatcher.Members(func(b *balancer.Balancer) { b.Suspect(address, time.Now()) })
	})
	p.Learn(p.Own())
	return p, nil
}

// buildControl builds what talks to the platform's store.
func (p *Proxy) buildControl(s *reader.Settings) {
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			// The transport goes on dialling for a call that was given up.
			ctx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			return p.network.Dial(ctx, address)
		},
		DisableCompression: true, MaxIdleConnsPerHost: 2,
	}
	store := connector.New(connector.Config{
		Address: s.Platform.Address, Timeout: storeTimeout, Observe: p.report.StoreCall,
	}, p.transport)
	p.finder = finder.New(finder.Config{
		Store: store, Directory: p, Messenger: p.forwarder, Observe: p.report,
		Seeds: s.SeedAddresses(), Known: p.known,
	})
	p.subscriber = subscriber.New(subscriber.Config{
		Store: store, Key: platform.ConfigurationKey, Decode: platform.DecodeConfiguration,
		Peers: p.peers, Relays: p.relays, Own: s.PeerAddress(), Ask: p.forwarder.Configuration, Observe: p.report,
		Found: p.finder.Found(), FirstStart: s.FirstStart,
	})
}

// Start opens the listeners and begins to serve. The context ends the
// background work.
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
	go p.receiver.Serve(peers)
	go p.acceptor.Serve(callers)
	p.serveHTTP(control, platform.ControlHandler(p))
	p.serveHTTP(readiness, platform.ReadinessHandler(p.ready))
	if s.Listen.Metrics != "" {
		metrics, err := p.listen(s.Listen.Metrics)
		if err != nil {
			return err
		}
		p.serveHTTP(metrics, p.report.Handler())
	}
	go p.subscriber.Run(ctx)
	go p.finder.Run(ctx)
	go func() {
		<-p.finder.Found()
		p.found.Store(true)
	}()
	p.report.Started(s.PeerAddress())
	return nil
}

// controlIdle ends connections of the platform and the upstream that are not used.
const controlIdle = 30 * time.Second

func (p *Proxy) serveHTTP(l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, IdleTimeout: controlIdle, ReadHeaderTimeout: controlIdle}
	p.servers = append(p.servers, server)
	// Serve returns when the proxy ends.
	go func() { _ = server.Serve(l) }()
}

func (p *Proxy) listen(address string) (net.Listener, error) {
	l, err := p.network.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	p.listeners = append(p.listeners, l)
	return l, nil
}

// ready says whether the node takes calls: it has a configuration, has looked
// for the other nodes, and does not stop.
func (p *Proxy) ready() bool {
	return p.subscriber.Table() != nil && p.found.Load() && !p.stopping.Load()
}

// Close ends the proxy at once. The context of Start must have ended, or end soon.
func (p *Proxy) Close() {
	p.ended.Do(func() {
		for _, l := range p.listeners {
			_ = l.Close()
		}
		for _, server := range p.servers {
			_ = server.Close()
		}
		p.acceptor.Close()
		p.receiver.Close()
		p.forwarder.Close()
		p.executor.Close()
		p.transport.CloseIdleConnections()
		p.report.Close()
	})
}

// Reload takes in changed settings.
func (p *Proxy) Reload(s *reader.Settings) { p.settings.Store(s) }

// Reporter returns what tells operators of the proxy.
func (p *Proxy) Reporter() *reporter.Reporter { return p.report }
