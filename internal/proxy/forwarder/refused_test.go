package forwarder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

// fullNode grants offers and has no memory for the attempts that follow.
type fullNode struct{ recordingNode }

func (n *fullNode) Offer(args *OfferArgs, reply *OfferReply) error {
	reply.Granted = args.Bytes
	return nil
}

func (n *fullNode) Attempt(*AttemptArgs, *AttemptReply) error { return errors.New("memory is full") }

// Guards against pieces of bodies that occupy a node without memory until their deadline, although their
// sender knows that the attempt has ended.
func TestOfferEndsWithRejectedAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An attempt that was granted is rejected with an error", t, func() {
			far := &fullNode{recordingNode{opened: time.Now()}}
			f := linkTo(far, 0)
			defer f.Close()
			m := balancer.Member{Address: "far", Start: 20, LinkRate: 10}
			reply := f.Forward(context.Background(), m, jobOf("c", 2*largeBodyBytes, time.Second), true)
			So(reply.Result.Outcome, ShouldEqual, carrier.NotRun)
			time.Sleep(10 * time.Millisecond)
			So(far.revocations(), ShouldHaveLength, 1)
		})
	})
}
