package assembler_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/input/decoder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/assembler"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
	"github.com/tamarackscale/tamarackscale/standin/mesh"
	"github.com/tamarackscale/tamarackscale/standin/network"
)

// slowConn makes a pause in the middle of each write.
type slowConn struct {
	net.Conn
	pause time.Duration
}

// Write implements net.Conn.
func (c *slowConn) Write(b []byte) (int, error) {
	half := len(b) / 2
	if _, err := c.Conn.Write(b[:half]); err != nil {
		return 0, err
	}
	time.Sleep(c.pause)
	n, err := c.Conn.Write(b[half:])
	return half + n, err
}

// A node that stops may have nothing to do at its upstream while an attempt arrives or the
// reply to one leaves over a slow link. It must still reply.
func TestStoppingNodeCompletesMessagesOnSlowLinks(t *testing.T) {
	cases := []struct {
		name string
		// sendAt is when the attempt is sent, counted from the start of the stop.
		sendAt, sendPause, readPause time.Duration
		outcome                      carrier.Outcome
	}{
		{"the reply leaves slowly", 2 * time.Second, 0, 2 * time.Second, carrier.Run},
		{"the attempt arrives slowly", 2400 * time.Millisecond, time.Second, 0, carrier.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
				far := nodesOf(m, "b")[0]
				far.Upstream.SetBehaviour(time.Second, nil)
				m.Network.Delay(func(string, string) time.Duration { return 0 })
				conn, err := m.Network.Host("sender").Dial(context.Background(), far.Proxy.Self().Address)
				So(err, ShouldBeNil)
				defer func() { _ = conn.Close() }()
				codec := coder.NewClientCodec(&slowConn{conn, c.sendPause})
				args := forwarder.RunArgs{
					AttemptID: fencer.AttemptID{Sender: 1, Number: 1}, Start: far.Proxy.Self().Start,
					Job: executor.Job{
						Call:    carrier.Call{ID: "slow", Method: http.MethodPost, Target: orderPrefix, Host: host},
						Service: "b", Kind: "r", Objective: time.Second, Remaining: 3 * time.Second,
					},
				}
				go far.Proxy.Stop("test")
				time.Sleep(c.sendAt)
				So(codec.WriteRequest(&rpc.Request{ServiceMethod: "Node.Run", Seq: 1}, &args), ShouldBeNil)
				time.Sleep(c.readPause)
				So(codec.ReadResponseHeader(&rpc.Response{}), ShouldBeNil)
				var reply forwarder.RunReply
				So(codec.ReadResponseBody(&reply), ShouldBeNil)
				So(reply.Result.Outcome, ShouldEqual, c.outcome)
			})
		})
	}
}

// hookedNetwork calls closing before a listener at an address is closed for the first time.
type hookedNetwork struct {
	*network.Host
	address string
	closing func()
}

// Listen implements dialer.Network.
func (n hookedNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.Host.Listen(address)
	if address == n.address {
		l = &hookedListener{Listener: l, closing: n.closing}
	}
	return l, err
}

type hookedListener struct {
	net.Listener
	once    sync.Once
	closing func()
}

// Close implements net.Listener.
func (l *hookedListener) Close() error {
	l.once.Do(l.closing)
	return l.Listener.Close()
}

// A request arrives after the stopping node has looked for calls in flight for the last time.
// The node has read it, so it must still respond.
func TestRequestReadAfterLastLookGetsResponse(t *testing.T) {
	const callers = "10.0.0.1:8001"
	synctest.Test(t, func(t *testing.T) {
		Convey("A node that stops", t, func() {
			n := network.New()
			conns, sent := make(chan io.Writer, 1), make(chan error, 1)
			hooked := hookedNetwork{Host: n.Host("vm-1"), address: callers, closing: func() {
				_, err := io.WriteString(<-conns, mesh.Request(http.MethodGet, host, readPrefix, "late", time.Second))
				// The response is ready now, and waits for the caller to read it.
				synctest.Wait()
				sent <- err
			}}
			p, err := assembler.New(assembler.Config{Output: io.Discard, Network: hooked, Settings: &reader.Settings{
				Node:     reader.Node{ID: "vm-1", IP: "10.0.0.1", AvailabilityZone: "x"},
				Listen:   reader.Listen{Callers: callers, Readiness: "10.0.0.1:8002", Control: "10.0.0.1:8003", Ports: []int{7000, 7015}},
				Platform: reader.Platform{Address: "10.200.0.1:80"},
				Bounds:   reader.Bounds{DrainTime: decoder.Duration(2 * time.Second), Grace: decoder.Duration(6 * time.Second)},
			}})
			So(err, ShouldBeNil)
			ctx, cancel := context.WithCancel(context.Background())
			defer time.Sleep(time.Minute)
			defer cancel()
			So(p.Start(ctx), ShouldBeNil)
			stopped := make(chan struct{})
			go func() {
				p.Stop("test")
				close(stopped)
			}()
			time.Sleep(2400 * time.Millisecond)
			conn, err := n.Host("vm-1").Dial(ctx, callers)
			So(err, ShouldBeNil)
			conns <- conn
			So(<-sent, ShouldBeNil)
			time.Sleep(100 * time.Millisecond)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
			So(conn.Close(), ShouldBeNil)
			<-stopped
		})
	})
}

// A deregistration reaches a node at the end of its stop and takes a while, since the node
// records it at others that are unreachable. Without the acknowledgement the upstream would
// not know that no more calls come.
func TestStoppingNodeAcknowledgesDeregistration(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		near := nodesOf(m, "a")[0]
		go near.Proxy.Stop("test")
		time.Sleep(2450 * time.Millisecond)
		m.Network.Cut(func(from, to string) bool { return from == near.Name && to != near.Name && to != "store" })
		So(near.Upstream.Deregister(context.Background()), ShouldEqual, http.StatusOK)
	})
}

// A call has more time left than the node that stops. Its upstream must be told the shorter
// time, so that its answer can still be passed on.
func TestCallOfStoppingNodeIsAnsweredWithinGraceTime(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		near, far := nodesOf(m, "a")[0], nodesOf(m, "b")[0]
		far.Upstream.SetBehaviour(0, func(w http.ResponseWriter, r *http.Request) bool {
			timeout, err := time.ParseDuration(r.Header.Get("X-Timeout-Ms") + "ms")
			if err != nil {
				return false
			}
			time.Sleep(timeout)
			w.Header().Set("X-Server-Stamp", "late")
			w.WriteHeader(http.StatusGatewayTimeout)
			return true
		})
		go near.Proxy.Stop("test")
		time.Sleep(2 * time.Second)
		a := near.Call(http.MethodPost, host, orderPrefix, "long", 5*time.Second)
		So(a.Err, ShouldBeNil)
		So(a.Status, ShouldEqual, http.StatusGatewayTimeout)
		So(a.Header.Get("X-Server-Stamp"), ShouldEqual, "late")
	})
}

// workUntilTimeout makes an upstream run each call for the given time, but no longer than the call's
// timeout, at which it answers with status 504.
func workUntilTimeout(work time.Duration) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		timeout, err := time.ParseDuration(r.Header.Get("X-Timeout-Ms") + "ms")
		if err != nil {
			return false
		}
		w.Header().Set("X-Server-Stamp", "s")
		if work > timeout {
			time.Sleep(timeout)
			w.WriteHeader(http.StatusGatewayTimeout)
			return true
		}
		time.Sleep(work)
		return true
	}
}

// sentDuringStop is a call that was sent while a node stopped.
type sentDuringStop struct {
	id       string
	response mesh.Response
}

// sendDuringStop stops a node and makes calls at it each interval until it has ended: half of them
// on new connections, the others on kept ones.
func sendDuringStop(n *mesh.Node, method, path string, interval time.Duration) []sentDuringStop {
	var mu sync.Mutex
	var sent []sentDuringStop
	record := func(id string, response mesh.Response) {
		mu.Lock()
		defer mu.Unlock()
		sent = append(sent, sentDuringStop{id, response})
	}
	ended := make(chan struct{})
	var calls sync.WaitGroup
	for i := range 4 {
		calls.Go(func() { callOnKeptConnection(n, method, path, fmt.Sprintf("kept-%d", i), ended, record) })
	}
	go func() {
		defer close(ended)
		n.Proxy.Stop("test")
	}()
	for i := 0; ; i++ {
		select {
		case <-ended:
			calls.Wait()
			return sent
		case <-time.After(interval):
		}
		calls.Go(func() {
			id := fmt.Sprintf("new-%d", i)
			record(id, n.Call(method, host, path, id, 5*time.Second))
		})
	}
}

// callOnKeptConnection makes one call after the other on a connection, and on a new one if that ends,
// until the node has ended.
func callOnKeptConnection(n *mesh.Node, method, path, name string, ended <-chan struct{}, record func(string, mesh.Response)) {
	for i := 0; ; i++ {
		conn, err := n.Connect()
		if err != nil {
			return
		}
		for response := (mesh.Response{}); response.Err == nil && response.Header.Get("Connection") != "close"; i++ {
			select {
			case <-ended:
				_ = conn.Close()
				return
			case <-time.After(30 * time.Millisecond):
			}
			id := fmt.Sprintf("%s-%d", name, i)
			if err := conn.Send(mesh.Request(method, host, path, id, 5*time.Second)); err != nil {
				break
			}
			response = conn.Receive(method)
			record(id, response)
		}
		_ = conn.Close()
	}
}

// A node stops as planned, and calls come until it is gone, also late in its grace period, some of
// them longer than what is left. Each one that an upstream got has that upstream's answer, and none
// is cut off; each one that is refused has not run.
func TestCallsSentUntilTheEndOfStopAreNotCutOff(t *testing.T) {
	for _, work := range []time.Duration{10 * time.Millisecond, 900 * time.Millisecond, 2500 * time.Millisecond, 4500 * time.Millisecond} {
		for _, call := range []struct{ method, path string }{{http.MethodGet, readPrefix}, {http.MethodPost, orderPrefix}} {
			inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
				for _, n := range m.Nodes {
					n.Upstream.SetBehaviour(0, workUntilTimeout(work))
				}
				near := m.Nodes[0]
				for _, s := range sendDuringStop(near, call.method, call.path, 40*time.Millisecond) {
					ran, r := runCount(m, s.id), s.response
					stamped := r.Header.Get("X-Server-Stamp") != ""
					switch {
					case ran > 0 && (r.Err != nil || !stamped):
						t.Errorf("%v, %s %s: ran %d times, status %d, error %v", work, call.method, s.id, ran, r.Status, r.Err)
					case ran == 0 && r.Err == nil && r.Status != http.StatusServiceUnavailable:
						t.Errorf("%v, %s %s: not run, status %d", work, call.method, s.id, r.Status)
					}
				}
			})
		}
	}
}
