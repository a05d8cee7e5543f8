package coder

import (
	"bytes"
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

// echo is an RPC service whose methods return their argument or fail.
type echo struct{}

func (echo) Job(job *executor.Job, reply *executor.Job) error {
	*reply = *job
	return nil
}

func (echo) Load(load *balancer.Load, reply *balancer.Load) error {
	*reply = *load
	return nil
}

func (echo) Fail(*executor.Job, *executor.Job) error { return errors.New("failed on purpose") }

// connect returns a client of an echo server on an in-memory connection. The server
// ends when the client closes the connection.
func connect() *rpc.Client {
	clientConn, serverConn := net.Pipe()
	server := rpc.NewServer()
	So(server.RegisterName("Echo", echo{}), ShouldBeNil)
	go server.ServeCodec(NewServerCodec(serverConn))
	return rpc.NewClientWithCodec(NewClientCodec(clientConn))
}

func TestMessagesRoundTripUnchanged(t *testing.T) {
	Convey("A connection between two nodes", t, func() {
		client := connect()
		defer func() { _ = client.Close() }()
		job := executor.Job{
			Call: carrier.Call{
				ID: "1", Method: "POST", Target: "/a?b=c", Host: "h",
				Fields: []carrier.Field{{Name: "A", Value: "1"}, {Name: "A", Value: "2"}},
				Body:   bytes.Repeat([]byte("body"), 10*bufferBytes), Timeout: time.Second,
			},
			Kind: "r", Rank: 2, Idempotent: true, Objective: -time.Second, Remaining: 3 * time.Minute,
		}
		var jobReply executor.Job
		So(client.Call("Echo.Job", &job, &jobReply), ShouldBeNil)
		So(jobReply, ShouldResemble, job)
		load := balancer.Load{InUse: 3, Waits: [queuer.Classes]time.Duration{0, time.Second}}
		var loadReply balancer.Load
		So(client.Call("Echo.Load", &load, &loadReply), ShouldBeNil)
		So(loadReply, ShouldResemble, load)
		Convey("An error is returned and the connection stays usable", func() {
			So(client.Call("Echo.Fail", &job, &jobReply), ShouldResemble, rpc.ServerError("failed on purpose"))
			So(client.Call("Echo.None", &job, &jobReply), ShouldNotBeNil)
			So(client.Call("Echo.Load", &load, &loadReply), ShouldBeNil)
		})
	})
}

func TestTypesWithoutEncodingAreRejected(t *testing.T) {
	Convey("The client rejects a type without an encoding and the connection stays usable", t, func() {
		client := connect()
		defer func() { _ = client.Close() }()
		var typeErr *TypeError
		So(client.Call("Echo.Job", 7, &executor.Job{}), ShouldHaveSameTypeAs, typeErr)
		So(client.Call("Echo.Load", &balancer.Load{}, &balancer.Load{}), ShouldBeNil)
	})
}
