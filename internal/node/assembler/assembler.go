// Package assembler builds a node from its services and runs it.
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
	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/kernel/dialer"
	"github.com/tamarackscale/tamarackscale/internal/kernel/registrar"
	"github.com/tamarackscale/tamarackscale/internal/kernel/verifier"
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

// maxUpstreamConnections limits the connections to the upstream, whatever the endpoint
// policy permits; the policies of the example deployments have the same maxConnections. The
// calls in flight are limited by the slots of the policy.
const maxUpstreamConnections = 110

// dialTimeout is the timeout of one attempt to connect to a peer, the upstream or the
// platform.
const dialTimeout = time.Second

// callerIdleTimeout is how long an idle connection of a caller or of a client of the
// admin server is kept open.
const callerIdleTimeout = 2 * time.Minute

// Config configures a node. Settings is required; the zero values of the other fields are
// the defaults of a node in production, except that the log is discarded.
type Config struct {
	Settings *loader.Settings
	// Network dials and listens; nil means TCP.
	Network dialer.Network
	// Store is the store of the platform; nil means the one at the address in Settings,
	// over HTTP.
	Store keeper.Store
	// Output receives the log; nil discards it.
	Output io.Writer
	// Discipline and Policy select the queue discipline and the choice of endpoints.
	// Only measurements set them, to compare the defaults with a baseline.
	Discipline admitter.Discipline
	Policy     picker.Policy
}

// Node is one node of the cluster with all its services.
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
	transports  []*verifier.Transport
}

// New builds a node. It runs nothing until Start is called. It returns an error if a
// service cannot be created or registered.
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
		store = n.newPlatformStore()
	}
	store = budgeter.New(store, budgeter.Default())
	if err := n.buildControl(store); err != nil {
		return nil, err
	}
	n.buildServing(config)
	return n, n.register()
}

// newPlatformStore returns a client of the platform that counts its calls.
func (n *Node) newPlatformStore() keeper.Store {
	platform := n.settings.Platform
	return connector.New(connector.Config{
		Address: platform.Address, Timeout: platform.Timeout.Std(), Observe: n.countPlatformCall,
	}, verifier.New(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DialContext: n.dial}))
}

func (n *Node) countPlatformCall(operation, result string) {
	n.meter.PlatformCalls.WithLabelValues(operation, result).Inc()
}

// dial connects to an address within dialTimeout. An HTTP transport does not cancel a dial
// when the call that needed it ends, so without the timeout dials to an unreachable node
// would pile up.
func (n *Node) dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return n.network.Dial(ctx, address)
}

// buildControl builds the services that distribute membership and configuration versions.
func (n *Node) buildControl(store keeper.Store) error {
	s, started := n.settings, time.Now().UnixMilli()
	n.messenger = messenger.New(n.network, s.Listen.Control, &trafficCounter{n.meter})
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
	n.gossiper.AddListener(&memberListener{n})
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
	seats := seater.New(s.Node.AvailabilityZone, n.gossiper, noVersionAccepted(store), n.logs.For(logger.Claims))
	n.relayer = relayer.New(relayer.Config{
		Zone: s.Node.AvailabilityZone, NodeID: s.Node.ID, Zones: n.zones,
		Duties: []relayer.Duty{seats}, SeatsAssigned: n.claimer.SeatsAssigned,
	}, n.gossiper, store, n.logs.For(logger.Relay))
	n.distributor.SetReportHandler(n.relayer.Collect)
	return nil
}

// noVersionAccepted returns a function that asks the platform whether no configuration
// version was ever accepted. Its second result is false if the platform did not respond
// or the record cannot be decoded.
func noVersionAccepted(store keeper.Store) func(ctx context.Context) (bool, bool) {
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

// zones returns the availability zones in which the staged version must be prepared. If
// the node does not hold that version, they are those of the version in force, and before
// the first version those of the live members.
func (n *Node) zones() []string {
	if bundle := n.distributor.StagedBundle(); bundle != nil {
		return bundle.AvailabilityZones
	}
	if table := n.distributor.Table(); table != nil {
		return table.Bundle.AvailabilityZones
	}
	return merger.OtherZones(n.gossiper.Members(""), "")
}

// onSwap applies a version that has come into force to the admitter and the metrics.
func (n *Node) onSwap(table *compiler.Table) {
	n.admitter.Configure(table)
	n.meter.SetVersion(table.Version, time.Now())
}

// buildServing builds the services that serve calls, and the administrator.
func (n *Node) buildServing(config Config) {
	n.admitter = admitter.New(config.Discipline)
	n.picker = picker.New(n.settings.Node.AvailabilityZone, config.Policy)
	upstreamTransport := upstream.NewTransport(maxUpstreamConnections, n.dial)
	peerTransport := carrier.NewTransport(n.dial)
	n.transports = []*verifier.Transport{upstreamTransport, peerTransport}
	n.executor = executor.New(n.admitter, upstream.New(upstreamTransport), func(rank string, queued time.Duration) {
		n.meter.QueueTime.WithLabelValues(rank).Observe(queued.Seconds())
	})
	n.router = router.New(router.Config{
		NodeID: n.settings.Node.ID, Table: n.servingTable, Picker: n.picker, Local: n.executor,
		Remote: carrier.NewClient(peerTransport), Claims: n.claimer, Meter: n.meter, Log: n.logs.For(logger.Routing),
	}, n.gossiper.Self().Started)
	n.admin = administrator.New(administrator.Config{
		Gossiper: n.gossiper, Admitter: n.admitter, Meter: n.meter, Log: n.logs.For(logger.Upstream),
		Table: n.distributor.Table, Record: n.distributor.Record, Ready: n.distributor.Ready,
	})
}

// servingTable returns the routing table of the version in force, or nil if the node is
// not ready.
func (n *Node) servingTable() *compiler.Table {
	if !n.distributor.Ready() {
		return nil
	}
	return n.distributor.Table()
}

// register creates the servers and registers all services with the micro-kernel.
func (n *Node) register() error {
	listen := n.settings.Listen
	limits := n.settings.Limits
	account, parts := accountant.New(int64(limits.Memory)<<20), accountant.Divide(limits.Descriptors)
	n.meter.ObserveAccount(account)
	n.servers = []*listener.Listener{
		listener.New(listener.Config{
			Name: "peerServer", Needs: []string{"distributor", "claimer"}, Listen: n.listen(listen.Peers),
			IdleTimeout: carrier.ServerIdleTimeout, Account: account, Connections: parts.Peers,
			Handler: carrier.NewServer(n.executor, n.admitter.Load, n.distributor.ObserveVersion),
		}),
		listener.New(listener.Config{
			Name: "callerServer", Needs: []string{"peerServer"}, Listen: n.listen(listen.Callers),
			IdleTimeout: callerIdleTimeout, Handler: n.router, AfterStop: n.router.Wait, Account: account, Connections: parts.Callers,
		}),
		listener.New(listener.Config{
			Name: "adminServer", Needs: []string{"administrator"}, Listen: n.listen(listen.Admin),
			IdleTimeout: callerIdleTimeout, Handler: n.admin, Account: account, Connections: parts.Small,
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

// Start starts all services in the order of their dependencies. It returns the error of
// the first one that fails, after stopping those that were started.
func (n *Node) Start(ctx context.Context) error {
	if err := n.registry.Start(ctx); err != nil {
		return err
	}
	// memberListener is not notified of the first entry of the node itself.
	n.picker.Replace(n.gossiper.Members(""))
	n.logs.For(logger.Kernel).Info("node is running")
	return nil
}

// Stop drains the node and stops all services in reverse order. It returns the errors of
// the services; ctx limits how long they may wait.
func (n *Node) Stop(ctx context.Context) error {
	n.logs.For(logger.Kernel).Info("node is stopping")
	return n.registry.Stop(ctx)
}

// Kill ends all background work at once and without a drain, as a crash of the process
// would. It is for tests, which run many nodes in one process.
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

// Table returns the routing table of the version in force, or nil if there is none.
func (n *Node) Table() *compiler.Table { return n.distributor.Table() }

// Serving reports whether the node is ready and serves callers with a version.
func (n *Node) Serving() bool { return n.servingTable() != nil }

// Members returns the live members of a zone in this node's view; an empty zone selects
// all zones.
func (n *Node) Members(zone string) []merger.Entry { return n.gossiper.Members(zone) }

// trafficCounter counts control traffic in the metrics.
type trafficCounter struct{ meter *meter.Meter }

// CountBytes implements messenger.Counter.
func (c *trafficCounter) CountBytes(scope messenger.Scope, out bool, bytes int) {
	direction := "in"
	if out {
		direction = "out"
	}
	c.meter.ControlBytes.WithLabelValues(direction, string(scope)).Add(float64(bytes))
}

// CountMessage implements messenger.Counter.
func (c *trafficCounter) CountMessage(method string) {
	c.meter.ControlMessages.WithLabelValues(method).Inc()
}

// memberListener passes membership changes to the picker and the metrics.
type memberListener struct{ node *Node }

// EntriesChanged implements gossiper.Listener.
func (l *memberListener) EntriesChanged([]merger.Entry) {
	members := l.node.gossiper.Members("")
	l.node.picker.Replace(members)
	counts := map[string]int{}
	for _, member := range members {
		counts[member.Zone]++
	}
	for zone, count := range counts {
		l.node.meter.Members.WithLabelValues(zone).Set(float64(count))
	}
}

// DocumentsChanged implements gossiper.Listener. It does nothing.
func (l *memberListener) DocumentsChanged([]merger.Document, string) {}
