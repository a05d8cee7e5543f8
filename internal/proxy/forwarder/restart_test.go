package forwarder

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
)

// processNode is the RPC service of one process of a node, which runs every attempt for it.
type processNode struct{ start int64 }

func (n processNode) Clock(_ *Empty, reply *ClockReply) error {
	reply.Start, reply.Reading = n.start, time.Second
	return nil
}

func (n processNode) Attempt(args *AttemptArgs, reply *AttemptReply) error {
	reply.Run.OtherProcess = args.Start != n.start
	reply.Run.Result = carrier.Result{Outcome: carrier.Run}
	return nil
}

// Guards against a connection to a process that has ended which is kept since no attempt for the next
// process uses it: a node counted as unreachable for eleven seconds after its restart.
func TestAttemptReachesRestartedProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The first attempt for the new process opens a connection to it", t, func() {
			process := int64(20)
			var open []net.Conn
			f := New("near", 10, func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				open = append(open, far)
				server := rpc.NewServer()
				if err := server.RegisterName(serviceName, processNode{process}); err != nil {
					return nil, err
				}
				go server.ServeCodec(coder.NewServerCodec(far, &atomic.Int64{}))
				return near, nil
			})
			forward := func(start int64) carrier.Outcome {
				m := balancer.Member{Address: "far", Start: start}
				return f.Forward(context.Background(), m, jobOf("c", 0, time.Second), false).Result.Outcome
			}
			So(forward(20), ShouldEqual, carrier.Run)
			process = 30
			_ = open[0].Close()
			synctest.Wait()
			So(forward(30), ShouldEqual, carrier.Run)
			// One for the former process does not run, and leaves the connection open.
			So(forward(20), ShouldEqual, carrier.NotRun)
			So(forward(30), ShouldEqual, carrier.Run)
			So(open, ShouldHaveLength, 2)
			f.Close()
			_ = open[len(open)-1].Close()
			synctest.Wait()
		})
	})
}
