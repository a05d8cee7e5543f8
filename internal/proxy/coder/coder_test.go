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

// echo answers with what it was asked.
type echo struct{}

func (echo) Job(job *executor.Job, reply *executor.Job) error {
	*reply = *job
	return nil
}

func (echo) Load(load *balancer.Load, reply *balancer.Load) error {
	*reply = *load
	return nil
}

func (echo) Fail(*executor.Job, *executor.Job) error { return errors.New("refused on purpose") }

// connect returns a client whose server ends with the test.
func connect() *rpc.Client {
	near, far := net.Pipe()
	server := rpc.NewServer()
	So(server.RegisterName("Echo", echo{}), ShouldBeNil)
	go server.ServeCodec(NewServer(far))
	return rpc.NewClientWithCodec(NewClient(near))
}

func TestMessagesArriveAsTheyWereSent(t *testing.T) {
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
		var answer executor.Job
		So(client.Call("Echo.Job", &job, &answer), ShouldBeNil)
		So(answer, ShouldResemble, job)
		load := balancer.Load{InUse: 3, Waits: [queuer.Classes]time.Duration{0, time.Second}}
		var loaded balancer.Load
		So(client.Call("Echo.Load", &load, &loaded), ShouldBeNil)
		So(loaded, ShouldResemble, load)
		Convey("An error is told and the connection goes on", func() {
			So(client.Call("Echo.Fail", &job, &answer), ShouldResemble, rpc.ServerError("refused on purpose"))
			So(client.Call("Echo.None", &job, &answer), ShouldNotBeNil)
			So(client.Call("Echo.Load", &load, &loaded), ShouldBeNil)
		})
	})
}

func TestValuesWithoutAFormAreRefused(t *testing.T) {
	Convey("Neither side takes a type that has no form", t, func() {
		client := connect()
		defer func() { _ = client.Close() }()
		var wrong *TypeError
		So(client.Call("Echo.Job", 7, &executor.Job{}), ShouldHaveSameTypeAs, wrong)
		So(client.Call("Echo.Load", &balancer.Load{}, &balancer.Load{}), ShouldBeNil)
	})
}
