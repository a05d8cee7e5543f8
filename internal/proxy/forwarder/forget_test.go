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

	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
)

// silentNode is a receiver that never replies to an attempt.
type silentNode struct{ recordingNode }

func (n *silentNode) Attempt(args *AttemptArgs, _ *AttemptReply) error {
	time.Sleep(args.Job.Remaining)
	return nil
}

// Guards against connections that stay open for as long as the process runs: an attempt that was sent
// again after its member was forgotten opened one that neither Forget nor Close knew.
func TestResendAfterForgetLeavesNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The member is forgotten while a call to it is under way", t, func() {
			var open atomic.Int64
			server := rpc.NewServer()
			far := &silentNode{recordingNode{opened: time.Now(), arrived: map[string]time.Duration{}}}
			So(server.RegisterName(serviceName, far), ShouldBeNil)
			f := New("near", 10, func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				open.Add(1)
				go func() {
					server.ServeCodec(coder.NewServerCodec(far, &atomic.Int64{}))
					open.Add(-1)
				}()
				return near, nil
			})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			go f.Forward(ctx, farMember, jobOf("c", 0, 2*time.Second), false)
			time.Sleep(100 * time.Millisecond)
			f.Forget(farMember.Address)
			time.Sleep(100 * time.Millisecond)
			So(open.Load(), ShouldBeGreaterThan, 0)
			f.Close()
			time.Sleep(3 * time.Second)
			So(open.Load(), ShouldEqual, 0)
		})
	})
}
