// Package mesh runs proxies (processes of tamarackscale-proxy), their upstreams and the
// platform's metadata store in one process on an in-memory network, for tests on simulated
// time.
package mesh

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/input/decoder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/assembler"
	"github.com/tamarackscale/tamarackscale/internal/proxy/explainer"
	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
	"github.com/tamarackscale/tamarackscale/standin/metastore"
	"github.com/tamarackscale/tamarackscale/standin/network"
)

// storeAddress is the address at which the store listens.
const storeAddress = "10.200.0.1:80"

// heartbeatInterval is the interval between heartbeats of an upstream.
const heartbeatInterval = time.Second

// Mesh is a store and the VMs that use it.
type Mesh struct {
	Network *network.Network
	Store   *metastore.Store
	Nodes   []*Node
	// Rollouts is the section of the settings of nodes that start from now on; nil if it is absent.
	Rollouts *reader.Rollouts
	// Hedging is the setting of the nodes that are added later; nil if it is absent.
	Hedging *reader.Hedging
	// Quotas is the section of that name in the settings of the VMs that are added later.
	Quotas *reader.Quotas
	// ctx ends the store, the upstreams and the proxies.
	ctx context.Context
}

// Node is a VM with its proxy and upstream.
type Node struct {
	Name     string
	Zone     string
	Upstream *Upstream
	Proxy    *assembler.Proxy
	// Log holds the log output of all the proxy's processes.
	Log *Buffer

	mesh *Mesh
	// index is the position of the VM, from 1; its IP is derived from it.
	index    int
	settings *reader.Settings
	// starts is the number of times that the proxy was started.
	starts int
	// proxyHost is the network stack of the proxy, replaced when the proxy is killed;
	// vmHost is that of the upstream and of callers on the VM.
	proxyHost *network.Host
	vmHost    *network.Host
	// cancel ends the current proxy.
	cancel context.CancelFunc
	// removed is set by Remove.
	removed atomic.Bool
}

// Buffer is a bytes.Buffer that is safe for concurrent use.
type Buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// String returns everything written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// New starts a store without VMs. The end of the context ends the store and every VM
// that is added.
func New(ctx context.Context) (*Mesh, error) {
	m := &Mesh{Network: network.New(), Store: metastore.New(), ctx: ctx}
	l, err := m.Network.Host("store").Listen(storeAddress)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: m.Store.Handler()}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return m, nil
}

// Add adds a VM in a zone, and starts its proxy and an upstream of a service. On an
// error of the proxy the VM is returned nevertheless.
func (m *Mesh) Add(zone, service string, slots int) (*Node, error) {
	return m.AddVersion(zone, service, "v1", slots)
}

// AddVersion is Add for an upstream of a version.
func (m *Mesh) AddVersion(zone, service, version string, slots int) (*Node, error) {
	index := len(m.Nodes) + 1
	n := &Node{
		Name: fmt.Sprintf("vm-%s-%d", zone, index), Zone: zone, mesh: m, index: index, Log: &Buffer{},
	}
	n.proxyHost, n.vmHost = m.Network.Host(n.Name), m.Network.Host(n.Name)
	n.settings = n.newSettings(service)
	m.Nodes = append(m.Nodes, n)
	if err := n.StartVersion(fmt.Sprintf("i-%d", index), service, version, slots); err != nil {
		return nil, err
	}
	return n, n.Start()
}

func (n *Node) address(port int) string { return fmt.Sprintf("10.0.0.%d:%d", n.index, port) }

// UpstreamAddress returns the address at which the upstream listens.
func (n *Node) UpstreamAddress() string { return n.address(9000) }

// CallerAddress returns the address at which the proxy accepts calls.
func (n *Node) CallerAddress() string { return n.settings.Listen.Callers }

func (n *Node) newSettings(service string) *reader.Settings {
	return &reader.Settings{
		Node: reader.Node{ID: n.Name, IP: fmt.Sprintf("10.0.0.%d", n.index), AvailabilityZone: n.Zone},
		Listen: reader.Listen{
			Callers: n.address(8001), Readiness: n.address(8002), Control: n.address(8003), Metrics: n.address(9464), Ports: []int{7000, 7015},
		},
		Platform: reader.Platform{Address: storeAddress},
		Upstream: reader.Upstream{Service: service, Address: n.UpstreamAddress()},
		Quotas:   n.mesh.Quotas,
		Bounds: reader.Bounds{
			DrainTime: decoder.Duration(2 * time.Second), Grace: decoder.Duration(6 * time.Second),
			RetryRatio: 0.2, RetrySlack: 56, RetryWindow: decoder.Duration(10 * time.Second),
		},
		Hedging: n.mesh.Hedging,
	}
}

// Start starts a new process of the proxy. Only its first process starts with FirstStart
// set.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(n.mesh.ctx)
	n.cancel = cancel
	settings := *n.settings
	settings.FirstStart = n.starts == 0
	settings.Rollouts = n.mesh.Rollouts
	n.starts++
	p, err := assembler.New(assembler.Config{Settings: &settings, Output: n.Log, Network: n.proxyHost})
	if err != nil {
		return err
	}
	n.Proxy = p
	return p.Start(ctx)
}

// Close kills every proxy and closes the listeners and connections of every VM.
func (m *Mesh) Close() {
	for _, n := range m.Nodes {
		n.Kill()
		n.vmHost.Crash()
	}
}

// SetSeed makes another VM the only seed of this VM's next proxy process.
func (n *Node) SetSeed(other *Node) { n.settings.Seeds = []string{other.settings.Listen.Control} }

// SetLinkRate sets the link rate in Mbit/s that the VM's next proxy process knows.
func (n *Node) SetLinkRate(rate float64) { n.settings.Node.LinkRate = rate }

// Kill ends the proxy without a shutdown. The upstream keeps running.
func (n *Node) Kill() {
	n.cancel()
	n.proxyHost.Crash()
	n.Proxy.Close()
	n.proxyHost = n.mesh.Network.Host(n.Name)
}

// Remove ends the VM with its proxy and upstream.
func (n *Node) Remove() {
	n.removed.Store(true)
	n.Kill()
	n.vmHost.Crash()
}

// Removed reports whether the VM has been removed.
func (n *Node) Removed() bool { return n.removed.Load() }

// Dialing returns how many connection attempts of the proxy are blocked on hosts that
// are cut off.
func (n *Node) Dialing() int64 { return n.proxyHost.Dialing() }

// StartUpstream starts an upstream, which replaces the VM's previous one. It returns an
// error if the address is still in use.
func (n *Node) StartUpstream(instance, service string, slots int) error {
	return n.StartVersion(instance, service, "v1", slots)
}

// StartVersion is StartUpstream for an upstream of a version.
func (n *Node) StartVersion(instance, service, version string, slots int) error {
	u := &Upstream{
		Instance: instance, Service: service, Slots: slots, Version: version, node: n,
		startedAt: time.Now().UnixMilli(), runs: map[string]int{},
	}
	l, err := n.vmHost.Listen(n.UpstreamAddress())
	if err != nil {
		return err
	}
	n.Upstream = u
	server := &http.Server{Handler: u}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(n.mesh.ctx, func() { _ = server.Close() })
	go u.sendHeartbeats(n.mesh.ctx)
	return nil
}

// sendHeartbeats sends heartbeats until the context ends or another upstream replaces
// this one.
func (u *Upstream) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil && u.node.Upstream == u {
		if !u.heartbeatsStopped() {
			u.Heartbeat(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// client returns a client on the VM that opens a new connection for each request and has a
// timeout of five seconds.
func (n *Node) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.vmHost.Dial(ctx, address)
		},
		DisableKeepAlives: true,
	}, Timeout: 5 * time.Second}
}

// Ready reports whether the proxy's readiness endpoint returns status 200.
func (n *Node) Ready() bool {
	response, err := n.client().Get("http://" + n.settings.Listen.Readiness + "/api/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// Explain asks the proxy what it would do with a request now, over its metrics listener.
func (n *Node) Explain(q explainer.Question) (explainer.Explanation, error) {
	var e explainer.Explanation
	response, err := n.client().Get("http://" + n.settings.Listen.Metrics + explainer.Path + "?" + q.Values().Encode())
	if err != nil {
		return e, err
	}
	defer func() { _ = response.Body.Close() }()
	return e, json.NewDecoder(response.Body).Decode(&e)
}

// Response is the response that a caller received.
type Response struct {
	Status int
	Header http.Header
	Body   string
	// Err is the error that prevented a complete response, or nil.
	Err error
}

// Call makes one call from the VM to its proxy, over a new connection. The call carries the
// request ID and the timeout; Call itself waits for the response without a timeout.
func (n *Node) Call(method, host, path, id string, timeout time.Duration) Response {
	conn, err := n.Connect()
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = conn.Close() }()
	if err := conn.Send(Request(method, host, path, id, timeout)); err != nil {
		return Response{Err: err}
	}
	return conn.Receive(method)
}

// Request returns the text of a caller's HTTP/1.1 request with a request ID and a timeout,
// which is sent in whole milliseconds. A POST has the body "body".
func Request(method, host, path, id string, timeout time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\n",
		method, path, host, id, timeout.Milliseconds())
	if method == http.MethodPost {
		b.WriteString("Content-Length: 4\r\n\r\nbody")
	} else {
		b.WriteString("\r\n")
	}
	return b.String()
}

// Conn is a caller's connection to a proxy.
type Conn struct {
	net.Conn
	buffered *bufio.Reader
}

// Connect opens a caller's connection from the VM to its proxy, with a timeout of one
// second.
func (n *Node) Connect() (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := n.vmHost.Dial(ctx, n.CallerAddress())
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, buffered: bufio.NewReader(conn)}, nil
}

// Send writes the text of a request.
func (c *Conn) Send(text string) error {
	_, err := io.WriteString(c.Conn, text)
	return err
}

// Receive reads the response to a request of the given method.
func (c *Conn) Receive(method string) Response {
	response, err := http.ReadResponse(c.buffered, &http.Request{Method: method})
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: string(body), Err: err}
}
