package assembler_test

import (
	"context"
	"net"
	"net/http"
	"net/rpc"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/standin/mesh"
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
