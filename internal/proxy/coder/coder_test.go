package coder

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
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
	go server.ServeCodec(NewServerCodec(serverConn, &atomic.Int64{}))
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

// A peer may send bytes that are no message. Neither side may allocate what they declare or
// read on without end.
func TestBytesThatAreNoMessageEndConnection(t *testing.T) {
	cases := map[string][]byte{
		"text":                 bytes.Repeat([]byte("nonsense "), 1000),
		"a string of 4 GB":     {0xdb, 0xff, 0xff, 0xff, 0xff, 'x'},
		"a method of 2 MB":     append([]byte{0xdb, 0, 0x20, 0, 0}, make([]byte, 2<<20)...),
		"a byte string of 4GB": append([]byte{0xa8, 'E', 'c', 'h', 'o', '.', 'J', 'o', 'b', 1, 0xa0, 0x9a, 0x98, 0xa1, '1'}, 0xc6, 0xff, 0xff, 0xff, 0xff),
	}
	for name, sent := range cases {
		Convey("A server that receives "+name, t, func() {
			near, far := net.Pipe()
			server := rpc.NewServer()
			So(server.RegisterName("Echo", echo{}), ShouldBeNil)
			done := make(chan struct{})
			go func() {
				server.ServeCodec(NewServerCodec(far, &atomic.Int64{}))
				close(done)
			}()
			// The server may close the connection before all is sent.
			go func() { _, _ = near.Write(sent) }()
			go func() { _, _ = io.Copy(io.Discard, near) }()
			<-done
			So(near.Close(), ShouldBeNil)
		})
	}
}

// The body of a call declares an array of 16 million elements, and bytes that are none follow.
func TestArrayWithoutContentEndsOnlyItsConnection(t *testing.T) {
	Convey("A server with two connections", t, func() {
		server := rpc.NewServer()
		So(server.RegisterName("Echo", echo{}), ShouldBeNil)
		near, far := net.Pipe()
		otherNear, otherFar := net.Pipe()
		done := make(chan struct{})
		go func() {
			server.ServeCodec(NewServerCodec(far, &atomic.Int64{}))
			close(done)
		}()
		go server.ServeCodec(NewServerCodec(otherFar, &atomic.Int64{}))
		other := rpc.NewClientWithCodec(NewClientCodec(otherNear))
		defer func() { _ = other.Close() }()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		go func() {
			_, _ = near.Write([]byte("\xa8Echo.Job\x01\xa0\x9a\x98\xa0\xa0\xa0\xa0\xdd\x00\xf4\x24\x00\xc1"))
		}()
		<-done
		So(near.Close(), ShouldBeNil)
		So(other.Call("Echo.Load", &balancer.Load{}, &balancer.Load{}), ShouldBeNil)
	})
}

// The body of a call is malformed and holds the bytes of another call. That must not run.
func TestCallInsideMalformedBodyIsNotRun(t *testing.T) {
	Convey("A server ends the connection after a malformed body", t, func() {
		near, far := net.Pipe()
		server := rpc.NewServer()
		counter := &counted{}
		So(server.RegisterName("Counted", counter), ShouldBeNil)
		done := make(chan struct{})
		go func() {
			server.ServeCodec(NewServerCodec(far, &atomic.Int64{}))
			close(done)
		}()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		var hidden bytes.Buffer
		So(newCodec(pipeOf(&hidden)).write("Counted.Run", 2, "", &carrier.Field{Name: "n"}), ShouldBeNil)
		var outer bytes.Buffer
		So(newCodec(pipeOf(&outer)).write("Counted.Run", 1, "", &carrier.Field{}), ShouldBeNil)
		// The empty field is an array of two empty texts; it becomes one of three elements.
		const fieldBytes = 3
		head := outer.Bytes()[:outer.Len()-fieldBytes]
		go func() { _, _ = near.Write(append(append(head, 0x93), hidden.Bytes()...)) }()
		<-done
		So(counter.runs.Load(), ShouldEqual, 0)
		So(near.Close(), ShouldBeNil)
	})
}

// counted is an RPC service that counts its calls.
type counted struct{ runs atomic.Int64 }

func (c *counted) Run(*carrier.Field, *carrier.Field) error {
	c.runs.Add(1)
	return nil
}

// bufferConn is a connection that writes to a buffer.
type bufferConn struct{ *bytes.Buffer }

func (bufferConn) Close() error { return nil }

func pipeOf(b *bytes.Buffer) io.ReadWriteCloser { return bufferConn{b} }
