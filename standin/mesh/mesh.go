// Package mesh runs proxies, their upstreams and the platform's store in one
// process on a network in memory, for tests on simulated time.
package mesh

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/input/decoder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/assembler"
	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
	"github.com/tamarackscale/tamarackscale/standin/metastore"
	"github.com/tamarackscale/tamarackscale/standin/network"
)

// storeAddress is where the store listens.
const storeAddress = "10.200.0.1:80"

// beatInterval is the pause between reports of an upstream.
const beatInterval = time.Second

// Mesh is a deployment.
type Mesh struct {
	Network *network.Network
	Store   *metastore.Store
	Nodes   []*Node
	ctx     context.Context
}

// Node is a VM with its proxy and upstream.
type Node struct {
	Name     string
	Zone     string
	Upstream *Upstream
	Proxy    *assembler.Proxy
	// Log is what the proxy has written.
	Log *Buffer

	mesh     *Mesh
	index    int
	settings *reader.Settings
	// starts counts the proxy's processes.
	starts  int
	proxy   *network.Host
	machine *network.Host
	cancel  context.CancelFunc
}

// Buffer is a log that may be read while it is written.
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

// String returns what was written.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// New starts a store; the context ends everything.
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

// Add adds a VM whose upstream runs a service, and starts both.
func (m *Mesh) Add(zone, service string, slots int) (*Node, error) {
	index := len(m.Nodes) + 1
	n := &Node{
		Name: fmt.Sprintf("vm-%s-%d", zone, index), Zone: zone, mesh: m, index: index, Log: &Buffer{},
	}
	n.proxy, n.machine = m.Network.Host(n.Name), m.Network.Host(n.Name)
	n.settings = n.newSettings(service)
	m.Nodes = append(m.Nodes, n)
	if err := n.StartUpstream(fmt.Sprintf("i-%d", index), service, slots); err != nil {
		return nil, err
	}
	return n, n.Start()
}

func (n *Node) address(port int) string { return fmt.Sprintf("10.0.0.%d:%d", n.index, port) }

// UpstreamAddress is where the upstream listens.
func (n *Node) UpstreamAddress() string { return n.address(9000) }

// CallerAddress is where the proxy takes calls.
func (n *Node) CallerAddress() string { return n.settings.Listen.Callers }

func (n *Node) newSettings(service string) *reader.Settings {
	return &reader.Settings{
		Node: reader.Node{ID: n.Name, IP: fmt.Sprintf("10.0.0.%d", n.index), AvailabilityZone: n.Zone},
		Listen: reader.Listen{
			Callers: n.address(8001), Readiness: n.address(8002), Control: n.address(8003), Ports: []int{7000, 7015},
		},
		Platform: reader.Platform{Address: storeAddress},
		Upstream: reader.Upstream{Service: service, Address: n.UpstreamAddress()},
		Bounds: reader.Bounds{
			DrainTime: decoder.Duration(2 * time.Second), Grace: decoder.Duration(6 * time.Second),
			RepeatRatio: 0.2, RepeatSlack: 56, RepeatWindow: decoder.Duration(10 * time.Second),
		},
	}
}

// Start starts the proxy.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(n.mesh.ctx)
	n.cancel = cancel
	settings := *n.settings
	settings.FirstStart = n.starts == 0
	n.starts++
	p, err := assembler.New(assembler.Config{Settings: &settings, Output: n.Log, Network: n.proxy})
	if err != nil {
		return err
	}
	n.Proxy = p
	return p.Start(ctx)
}

// Close ends every proxy, for the end of a test.
func (m *Mesh) Close() {
	for _, n := range m.Nodes {
		n.Kill()
		n.machine.Crash()
	}
}

// Seed makes another VM a seed of this one's next proxy.
func (n *Node) Seed(other *Node) { n.settings.Seeds = []string{other.settings.Listen.Control} }

// Kill ends the proxy without warning; the upstream goes on.
func (n *Node) Kill() {
	n.cancel()
	n.proxy.Crash()
	n.Proxy.Close()
	n.proxy = n.mesh.Network.Host(n.Name)
}

// Dialing returns how many attempts of the proxy to connect wait at hosts that
// are cut off.
func (n *Node) Dialing() int64 { return n.proxy.Dialing() }

// StartUpstream starts an upstream in the place of the former one.
func (n *Node) StartUpstream(instance, service string, slots int) error {
	u := &Upstream{
		Instance: instance, Service: service, Slots: slots, node: n,
		born: time.Now().UnixMilli(), runs: map[string]int{},
	}
	l, err := n.machine.Listen(n.UpstreamAddress())
	if err != nil {
		return err
	}
	n.Upstream = u
	server := &http.Server{Handler: u}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(n.mesh.ctx, func() { _ = server.Close() })
	go u.beat(n.mesh.ctx)
	return nil
}

// beat reports until the context ends or another upstream is in its place.
func (u *Upstream) beat(ctx context.Context) {
	for ctx.Err() == nil && u.node.Upstream == u {
		if !u.isSilent() {
			u.Beat(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

func (n *Node) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.machine.Dial(ctx, address)
		},
		DisableKeepAlives: true,
	}, Timeout: 5 * time.Second}
}

// Ready asks the proxy whether it is ready.
func (n *Node) Ready() bool {
	response, err := n.client().Get("http://" + n.settings.Listen.Readiness + "/api/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// Answer is what a caller got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err says that the connection ended without a whole answer.
	Err error
}

// Call makes one call over a connection of its own.
func (n *Node) Call(method, host, path, id string, timeout time.Duration) Answer {
	conn, err := n.Connect()
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = conn.Close() }()
	if err := conn.Send(Request(method, host, path, id, timeout)); err != nil {
		return Answer{Err: err}
	}
	return conn.Receive(method)
}

// Request renders a caller's request.
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

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	reader *bufio.Reader
}

// Connect opens a caller's connection to the proxy.
func (n *Node) Connect() (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := n.machine.Dial(ctx, n.CallerAddress())
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Send writes a request.
func (c *Conn) Send(text string) error {
	_, err := io.WriteString(c.Conn, text)
	return err
}

// Receive reads one answer.
func (c *Conn) Receive(method string) Answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(body), Err: err}
}
