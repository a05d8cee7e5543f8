// Package fleet runs nodes (of tamarackscale-node), upstreams, callers and the platform in
// one process on an in-memory network, for tests under testing/synctest.
package fleet

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/bundle/signer"
	"github.com/tamarackscale/tamarackscale/internal/node/assembler"
	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
	"github.com/tamarackscale/tamarackscale/internal/rollout/publisher"
	"github.com/tamarackscale/tamarackscale/internal/settings/loader"
	"github.com/tamarackscale/tamarackscale/standin/caller"
	"github.com/tamarackscale/tamarackscale/standin/history"
	"github.com/tamarackscale/tamarackscale/standin/network"
	"github.com/tamarackscale/tamarackscale/standin/platform"
	"github.com/tamarackscale/tamarackscale/standin/upstream"
)

// Operator is the operator who signs in tests. Its key is fixed so that tests are
// reproducible.
const Operator = "tester"

var operatorKey = ed25519.NewKeyFromSeed([]byte("tamarackscale test operator seed"))

// OperatorKey returns the private key of Operator.
func OperatorKey() ed25519.PrivateKey { return operatorKey }

// Fleet is an in-memory deployment.
type Fleet struct {
	Network   *network.Network
	Platform  *platform.Engine
	Publisher *publisher.Publisher
	VMs       []*VM
	Bundle    *parser.Bundle

	zones      []string
	clientHost *network.Host
	transport  *http.Transport
}

// VM is one node with its upstream.
type VM struct {
	ID       string
	Zone     string
	Service  string
	Node     *assembler.Node
	Upstream *upstream.Upstream

	fleet    *Fleet
	settings loader.Settings
	// host is the VM's network stack, replaced at each start.
	host *network.Host
	// server serves the upstream.
	server *http.Server
	// stopHeartbeats ends the upstream's heartbeats, which use upstreamTransport.
	stopHeartbeats    context.CancelFunc
	upstreamTransport *http.Transport
	running           bool
}

// Dialing returns how many connection attempts of the VM are blocked on hosts that are
// cut off.
func (vm *VM) Dialing() int64 { return vm.host.Dialing() }

// Running reports whether the VM was started and has neither crashed nor been stopped.
func (vm *VM) Running() bool { return vm.running }

// New returns a fleet that is not started, with perZone VMs in each availability zone.
// Each VM runs one of the bundle's services in turn. The first VMs, two per zone, are the
// seeds of all.
func New(bundle *parser.Bundle, perZone int) *Fleet {
	f := &Fleet{
		Network: network.New(), Platform: platform.New(platform.Limits{}), Bundle: bundle, zones: bundle.AvailabilityZones,
	}
	f.Publisher = publisher.New(f.Platform, time.Now)
	f.clientHost = f.Network.Host("client")
	f.transport = caller.NewTransport()
	f.transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return f.clientHost.Dial(ctx, address) }
	for i := range perZone * len(f.zones) {
		f.VMs = append(f.VMs, f.newVM(i))
	}
	for _, vm := range f.VMs {
		for _, seed := range f.VMs[:min(len(f.VMs), 2*len(f.zones))] {
			vm.settings.Seeds = append(vm.settings.Seeds, seed.settings.Listen.Control)
		}
	}
	return f
}

func (f *Fleet) newVM(i int) *VM {
	zone := f.zones[i%len(f.zones)]
	// The row i/len(f.zones) is added so that two services alternate within a zone if the
	// number of zones is even. If it is odd, a zone gets only one of two services.
	vm := &VM{ID: fmt.Sprintf("vm-%02d", i), Zone: zone, Service: f.Bundle.Services[(i/len(f.zones)+i)%len(f.Bundle.Services)].Name, fleet: f}
	address := func(port int) string { return fmt.Sprintf("10.0.0.%d:%d", i+1, port) }
	vm.settings = loader.Defaults()
	vm.settings.Logs.Level = "error"
	vm.settings.Node = loader.Node{ID: vm.ID, AvailabilityZone: zone}
	vm.settings.Listen = loader.Listen{Callers: address(1), Peers: address(2), Control: address(3), Admin: address(4)}
	public := operatorKey.Public().(ed25519.PublicKey)
	vm.settings.Operators = []loader.Operator{{Name: Operator, PublicKey: signer.EncodePublic(public)}}
	return vm
}

// Distrust makes the VM's node refuse the versions that Operator signs. It applies from
// the next start.
func (vm *VM) Distrust() {
	otherKey := ed25519.NewKeyFromSeed([]byte("tamarackscale other operatorseed")).Public().(ed25519.PublicKey)
	vm.settings.Operators = []loader.Operator{{Name: Operator, PublicKey: signer.EncodePublic(otherKey)}}
}

// Start starts every VM and stops at the first error.
func (f *Fleet) Start() error {
	for _, vm := range f.VMs {
		if err := vm.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the VM's node and upstream, on a host with a new network stack.
func (vm *VM) Start() error {
	vm.host = vm.fleet.Network.Host(vm.ID)
	node, err := assembler.New(assembler.Config{
		Settings: &vm.settings, Network: vm.host, Store: &hostStore{Engine: vm.fleet.Platform, fleet: vm.fleet, host: vm.ID},
	})
	if err != nil {
		return err
	}
	vm.Node, vm.running = node, true
	if err := node.Start(context.Background()); err != nil {
		return err
	}
	return vm.startUpstream()
}

func (vm *VM) startUpstream() error {
	address := strings.TrimSuffix(vm.settings.Listen.Admin, ":4") + ":5"
	// A restarted VM keeps its upstream, and with it the record of the calls that it ran.
	if vm.Upstream == nil {
		vm.Upstream = upstream.New(upstream.Config{
			Address: address, Service: vm.Service, Slots: 4, Connections: 20, Work: 10 * time.Millisecond, BodyBytes: 64,
		})
	}
	l, err := vm.host.Listen(address)
	if err != nil {
		return err
	}
	vm.server = &http.Server{Handler: vm.Upstream}
	go func() { _ = vm.server.Serve(l) }()
	vm.upstreamTransport = &http.Transport{DialContext: func(ctx context.Context, _, to string) (net.Conn, error) { return vm.host.Dial(ctx, to) }}
	ctx, cancel := context.WithCancel(context.Background())
	vm.stopHeartbeats = cancel
	go vm.Upstream.SendHeartbeats(ctx, &http.Client{Transport: vm.upstreamTransport, Timeout: time.Second}, vm.settings.Listen.Admin)
	return nil
}

// Crash ends the VM without a shutdown: it announces nothing to its peers and writes
// nothing to the platform.
func (vm *VM) Crash() {
	vm.running = false
	vm.stopHeartbeats()
	vm.host.Crash()
	_ = vm.server.Close()
	vm.Node.Kill()
	vm.upstreamTransport.CloseIdleConnections()
}

// Stop shuts the VM's node down as SIGTERM does, for up to 30 seconds, and then ends its
// upstream.
func (vm *VM) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	vm.running = false
	err := vm.Node.Stop(ctx)
	vm.stopHeartbeats()
	_ = vm.server.Close()
	vm.host.Crash()
	vm.upstreamTransport.CloseIdleConnections()
	return err
}

// CrashAll crashes every VM, so that no goroutine remains at the end of the test.
func (f *Fleet) CrashAll() {
	f.transport.CloseIdleConnections()
	for _, vm := range f.VMs {
		vm.Crash()
	}
}

// Publish creates and signs a version of the fleet's bundle, and returns its number.
func (f *Fleet) Publish(ctx context.Context) (int64, error) {
	pointer, err := f.Publisher.Create(ctx, f.Bundle, Operator)
	if err != nil {
		return 0, err
	}
	_, err = f.Publisher.Sign(ctx, pointer.Version, Operator, operatorKey)
	return pointer.Version, err
}

// StartRollout publishes a version of the fleet's bundle, starts its rollout and returns its
// number.
func (f *Fleet) StartRollout(ctx context.Context, policy decider.Policy) (int64, error) {
	version, err := f.Publish(ctx)
	if err != nil {
		return 0, err
	}
	_, err = f.Publisher.Start(ctx, version, decider.Stage{
		Operator: Operator, Timeout: time.Minute, Policy: policy, Grace: 5 * time.Second,
	})
	return version, err
}

// Await polls a condition every 10 ms of the simulated time, for at most a timeout, and
// reports whether it holds.
func Await(timeout time.Duration, condition func() bool) bool {
	for start := time.Now(); time.Since(start) < timeout; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// AllInForce reports whether a version is in force on all the given VMs.
func AllInForce(vms []*VM, version int64) bool {
	for _, vm := range vms {
		if vm.Version() != version {
			return false
		}
	}
	return true
}

// Version returns the version in force on the VM, or zero if there is none.
func (vm *VM) Version() int64 {
	if table := vm.Node.Table(); table != nil {
		return table.Version
	}
	return 0
}

// InZone returns the VMs in an availability zone.
func (f *Fleet) InZone(zone string) []*VM {
	var vms []*VM
	for _, vm := range f.VMs {
		if vm.Zone == zone {
			vms = append(vms, vm)
		}
	}
	return vms
}

// CutOff cuts the given VMs off from all others and from the platform, but not from the
// fleet's client.
func (f *Fleet) CutOff(vms []*VM) {
	isolated := map[string]bool{}
	for _, vm := range vms {
		isolated[vm.ID] = true
	}
	f.Network.Cut(func(from, to string) bool {
		return from != "client" && to != "client" && isolated[from] != isolated[to]
	})
}

// Call sends one request from the fleet's client to a VM's node.
func (f *Fleet) Call(ctx context.Context, vm *VM, stream caller.Stream, echo string) caller.Reply {
	return caller.New(f.transport).Call(ctx, vm.settings.Listen.Callers, stream, echo)
}

// Drive runs open-loop load against the given VMs, in addition to the load's addresses.
func (f *Fleet) Drive(ctx context.Context, vms []*VM, load caller.Load) ([]caller.Result, []history.Outcome) {
	for _, vm := range vms {
		load.Addresses = append(load.Addresses, vm.settings.Listen.Callers)
	}
	return caller.New(f.transport).Run(ctx, load)
}

// Effects returns the calls that all upstreams ran, ordered by VM.
func (f *Fleet) Effects() []history.Effect {
	var all []history.Effect
	for _, vm := range f.VMs {
		all = append(all, vm.Upstream.Effects.All()...)
	}
	return all
}
