// Package assembler builds a node out of its services.
package assembler

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/bundle/compiler"
	"github.com/tamarackscale/tamarackscale/internal/cluster/gossiper"
	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/cluster/messenger"
	"github.com/tamarackscale/tamarackscale/internal/kernel/dialer"
	"github.com/tamarackscale/tamarackscale/internal/kernel/registrar"
	"github.com/tamarackscale/tamarackscale/internal/node/administrator"
	"github.com/tamarackscale/tamarackscale/internal/node/listener"
	"github.com/tamarackscale/tamarackscale/internal/observe/logger"
	"github.com/tamarackscale/tamarackscale/internal/observe/meter"
	"github.com/tamarackscale/tamarackscale/internal/platform/budgeter"
	"github.com/tamarackscale/tamarackscale/internal/platform/connector"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/rollout/distributor"
	"github.com/tamarackscale/tamarackscale/internal/rollout/publisher"
	"github.com/tamarackscale/tamarackscale/internal/rollout/relayer"
	"github.com/tamarackscale/tamarackscale/internal/serving/admitter"
	"github.com/tamarackscale/tamarackscale/internal/serving/carrier"
	"github.com/tamarackscale/tamarackscale/internal/serving/claimer"
	"github.com/tamarackscale/tamarackscale/internal/serving/executor"
	"github.com/tamarackscale/tamarackscale/internal/serving/picker"
	"github.com/tamarackscale/tamarackscale/internal/serving/router"
	"github.com/tamarackscale/tamarackscale/internal/serving/seater"
	"github.com/tamarackscale/tamarackscale/internal/settings/loader"
	upstream "github.com/tamarackscale/tamarackscale/internal/upstream/connector"
)

// upstreamConnections bounds the connections to the upstream; the slots of the
// endpoint's policy bound the calls.
const upstreamConnections = 110

// dialTimeout bounds an attempt to connect to a peer, upstream or the platform.
const dialTimeout = time.Second

// callerIdleTimeout ends idle connections of callers.
const callerIdleTimeout = 2 * time.Minute

// Config says what a node is built from. The zero value of each field but
// Settings stands for the real thing.
type Config struct {
	Settings *loader.Settings
	// Network is TCP if nil.
	Network dialer.Network
	// Store is the platform over HTTP if nil.
	Store keeper.Store
	// Output takes the logs; nil discards them.
	Output io.Writer
	// Discipline and Policy are the baselines of measurements if not zero.
	Discipline admitter.Discipline
	Policy     picker.Policy
}

// Node is an assembled process.
type Node struct {
	settings *loader.Settings
	network  dialer.Network
	registry *registrar.Registry
	meter    *meter.Meter
	logs     *logger.Loggers

	messenger   *messenger.Messenger
	gossiper    *gossiper.Gossiper
	distributor *distributor.Distributor
	claimer     *claimer.Claimer
	relayer     *relayer.Relayer
	admitter    *admitter.Admitter
	executor    *executor.Executor
	picker      *picker.Picker
	router      *router.Router
	admin       *administrator.Administrator
	servers     []*listener.Listener
	transports  []*http.Transport
}

// New assembles a node; nothing runs before Start.
func New(config Config) (*Node, error) {
	if config.Network == nil {
		config.Network = dialer.TCP{}
	}
	if config.Output == nil {
		config.Output = io.Discard
	}
	n := &Node{
		settings: config.Settings, network: config.Network, registry: registrar.New(),
		meter: meter.New(), logs: logger.New(config.Settings.LogConfig(), config.Output),
	}
	store := config.Store
	if store == nil {
		store = n.newPlatform()
	}
	store = budgeter.New(store, budgeter.Default())
	if err := n.buildControl(store); err != nil {
		return nil, err
	}
	n.buildServing(config)
	return n, n.register()
}

func (n *Node) newPlatform() keeper.Store {
	platform := n.settings.Platform
	return connector.New(connector.Config{
		Address: platform.Address, Timeout: platform.Timeout.Std(), Observe: n.countPlatformCall,
	}, &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DialContext: n.dial})
}

func (n *Node) countPlatformCall(operation, result string) {
	n.meter.PlatformCalls.WithLabelValues(operation, result).Inc()
}

// dial bounds an attempt to connect: the HTTP transport lets it go on after the
// call that needed it has ended, so attempts at a node that is cut off would pile up.
func (n *Node) dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return n.network.Dial(ctx, address)
}

// buildControl builds what distributes versions and membership.
func (n *Node) buildControl(store keeper.Store) error {
	s, started := n.settings, time.Now().UnixMilli()
	n.messenger = messenger.New(n.network, s.Listen.Control, &byteCounter{n.meter})
	var err error
	n.gossiper, err = gossiper.New(gossiper.Config{
		Self: merger.Entry{
			ID: s.Node.ID, Zone: s.Node.AvailabilityZone, ControlAddress: s.Listen.Control,
			PeerAddress: s.Listen.Peers, Incarnation: started, Started: started,
		},
		Seeds: s.Seeds,
	}, n.messenger, n.logs.For(logger.Gossip))
	if err != nil {
		return err
	}
	n.gossiper.Listen(&memberListener{n})
	n.claimer, err = claimer.New(claimer.Config{
		Zone: s.Node.AvailabilityZone, Window: s.Idempotency.Window.Std(),
		Observe: func(result string) { n.meter.Claims.WithLabelValues(result).Inc() },
	}, n.gossiper, n.messenger, n.logs.For(logger.Claims))
	if err != nil {
		return err
	}
	n.distributor, err = distributor.New(distributor.Config{
		Keys: s.PublicKeys(), OnSwap: n.onSwap,
	}, n.gossiper, n.messenger, store, n.logs.For(logger.Rollout))
	if err != nil {
		return err
	}
	seats := seater.New(s.Node.AvailabilityZone, n.gossiper, unserved(store), n.logs.For(logger.Claims))
	n.relayer = relayer.New(relayer.Config{
		Zone: s.Node.AvailabilityZone, NodeID: s.Node.ID, Zones: n.zones,
		Duties: []relayer.Duty{seats}, SeatsAssigned: n.claimer.SeatsAssigned,
	}, n.gossiper, store, n.logs.For(logger.Relay))
	n.distributor.Collect(n.relayer.Collect)
	return nil
}

// unserved returns the question whether no version was ever accepted.
func unserved(store keeper.Store) func(ctx context.Context) (bool, bool) {
	return func(ctx context.Context) (bool, bool) {
		item, err := store.Get(ctx, publisher.RecordKey)
		var missing *keeper.NotFoundError
		if errors.As(err, &missing) {
			return true, true
		}
		if err != nil {
			return false, false
		}
		record, err := publisher.DecodeRecord(item)
		return record.Accepted.Version == 0, err == nil
	}
}

// zones returns the zones in which the staged version must be prepared. A node
// that does not hold that version goes by the one in force, and before the
// first one by the members that it sees.
func (n *Node) zones() []string {
	if bundle := n.distributor.StagedBundle(); bundle != nil {
		return bundle.AvailabilityZones
	}
	if table := n.distributor.Table(); table != nil {
		return table.Bundle.AvailabilityZones
	}
	return merger.OtherZones(n.gossiper.Members(""), "")
}

func (n *Node) onSwap(table *compiler.Table) {
	n.admitter.Configure(table)
	n.meter.SetVersion(table.Version, time.Now())
}

// buildServing builds what serves calls.
func (n *Node) buildServing(config Config) {
	n.admitter = admitter.New(config.Discipline)
	n.picker = picker.New(n.settings.Node.AvailabilityZone, config.Policy)
	toUpstream := upstream.NewTransport(upstreamConnections)
	toUpstream.DialContext = n.dial
	toPeers := carrier.NewTransport()
	toPeers.DialContext = n.dial
	n.transports = []*http.Transport{toUpstream, toPeers}
	n.executor = executor.New(n.admitter, upstream.New(toUpstream), func(rank string, queued time.Duration) {
		n.meter.QueueTime.WithLabelValues(rank).Observe(queued.Seconds())
	})
	n.router = router.New(router.Config{
		NodeID: n.settings.Node.ID, Table: n.servingTable, Picker: n.picker, Local: n.executor,
		Remote: carrier.NewClient(toPeers), Claims: n.claimer, Meter: n.meter, Log: n.logs.For(logger.Routing),
	}, n.gossiper.Self().Started)
	n.admin = administrator.New(administrator.Config{
		Gossiper: n.gossiper, Admitter: n.admitter, Meter: n.meter, Log: n.logs.For(logger.Upstream),
		Table: n.distributor.Table, Record: n.distributor.Record, Ready: n.distributor.Ready,
	})
}

// servingTable returns the version in force once the node is ready.
func (n *Node) servingTable() *compiler.Table {
	if !n.distributor.Ready() {
		return nil
	}
	return n.distributor.Table()
}

// register puts the services under the kernel.
func (n *Node) register() error {
	listen := n.settings.Listen
	n.servers = []*listener.Listener{
		listener.New(listener.Config{
			Name: "peerServer", Needs: []string{"distributor", "claimer"}, Listen: n.listen(listen.Peers),
			IdleTimeout: carrier.ServerIdleTimeout,
			Handler:     carrier.NewServer(n.executor, n.admitter.Load, n.distributor.ObserveVersion),
		}),
		listener.New(listener.Config{
			Name: "callerServer", Needs: []string{"peerServer"}, Listen: n.listen(listen.Callers),
			IdleTimeout: callerIdleTimeout, Handler: n.router, AfterStop: n.router.Wait,
		}),
		listener.New(listener.Config{
			Name: "adminServer", Needs: []string{"administrator"}, Listen: n.listen(listen.Admin),
			IdleTimeout: callerIdleTimeout, Handler: n.admin,
		}),
	}
	services := []registrar.Service{
		n.messenger, n.gossiper, n.claimer, n.distributor, n.relayer, n.admin,
		&drainer{admin: n.admin, admitter: n.admitter, claimer: n.claimer, log: n.logs.For(logger.Kernel)},
	}
	for _, server := range n.servers {
		services = append(services, server)
	}
	for _, service := range services {
		if err := n.registry.Register(service); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) listen(address string) func() (net.Listener, error) {
	return func() (net.Listener, error) { return n.network.Listen(address) }
}

// Start starts all services.
func (n *Node) Start(ctx context.Context) error {
	if err := n.registry.Start(ctx); err != nil {
		return err
	}
	n.picker.Replace(n.gossiper.Members(""))
	n.logs.For(logger.Kernel).Info("node is running")
	return nil
}

// Stop drains the node and stops all services in reverse order.
func (n *Node) Stop(ctx context.Context) error {
	n.logs.For(logger.Kernel).Info("node is stopping")
	return n.registry.Stop(ctx)
}

// Kill ends all background work at once, as the end of the process would. It is
// for tests, which cannot end a process.
func (n *Node) Kill() {
	n.registry.Kill()
	_ = n.messenger.Stop(context.Background())
	for _, server := range n.servers {
		server.Close()
	}
	for _, transport := range n.transports {
		transport.CloseIdleConnections()
	}
}

// Table returns the version in force, or nil.
func (n *Node) Table() *compiler.Table { return n.distributor.Table() }

// Serving says whether the node answers callers by a version.
func (n *Node) Serving() bool { return n.servingTable() != nil }

// Members returns the living members of a zone as the node sees them; an empty
// zone stands for all.
func (n *Node) Members(zone string) []merger.Entry { return n.gossiper.Members(zone) }

// byteCounter counts control traffic.
type byteCounter struct{ meter *meter.Meter }

// CountBytes implements messenger.Counter.
func (c *byteCounter) CountBytes(scope messenger.Scope, out bool, bytes int) {
	direction := "in"
	if out {
		direction = "out"
	}
	c.meter.ControlBytes.WithLabelValues(direction, string(scope)).Add(float64(bytes))
}

// CountMessage implements messenger.Counter.
func (c *byteCounter) CountMessage(method string) {
	c.meter.ControlMessages.WithLabelValues(method).Inc()
}

// memberListener keeps the picker and the gauges up to date.
type memberListener struct{ n *Node }

// EntriesChanged implements gossiper.Listener.
func (l *memberListener) EntriesChanged([]merger.Entry) {
	members := l.n.gossiper.Members("")
	l.n.picker.Replace(members)
	counts := map[string]int{}
	for _, member := range members {
		counts[member.Zone]++
	}
	for zone, count := range counts {
		l.n.meter.Members.WithLabelValues(zone).Set(float64(count))
	}
}

// DocumentsChanged implements gossiper.Listener.
func (l *memberListener) DocumentsChanged([]merger.Document, string) {}
