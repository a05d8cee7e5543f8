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

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
)

// offeredNode is the RPC service of a receiver that settles offers as reply states.
type offeredNode struct {
	*recordingNode
	offer OfferReply
	// offered holds the sizes that were offered, and bodies those that came with an offer.
	offered []int
	bodies  int
}

func (n *offeredNode) Offer(args *OfferArgs, reply *OfferReply) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.offered = append(n.offered, args.Bytes)
	n.bodies += len(args.Attempt.Job.Call.Body)
	*reply = n.offer
	return nil
}

func newOfferedNode(offer OfferReply) *offeredNode {
	return &offeredNode{recordingNode: &recordingNode{opened: time.Now(), arrived: map[string]time.Duration{}}, offer: offer}
}

// A refused upload must cost a header and not a body, and small calls and links of unknown rate no
// offer.
func TestBodyIsSentAfterGrantOnly(t *testing.T) {
	refused := OfferReply{Attempt: AttemptReply{Run: RunReply{Result: carrier.Refuse(carrier.LinkBusy)}}}
	cases := []struct {
		name    string
		rate    float64
		bytes   int
		offer   OfferReply
		offers  int
		arrives bool
	}{
		{"granted", 10, 60_000, OfferReply{Granted: 1 << 30}, 1, true},
		{"refused", 10, 60_000, refused, 1, false},
		{"small", 10, largeBodyBytes, refused, 0, true},
		{"unknown rate", 0, 60_000, refused, 0, true},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey("An attempt: "+c.name, t, func() {
				far := newOfferedNode(c.offer)
				f := linkTo(far, 0)
				defer f.Close()
				m := farMember
				m.LinkRate = c.rate
				reply := f.Forward(context.Background(), m, jobOf("call", c.bytes, time.Second), false)
				synctest.Wait()
				_, arrived := far.arrival("call")
				So(arrived, ShouldEqual, c.arrives)
				So(len(far.offered), ShouldEqual, c.offers)
				So(far.bodies, ShouldEqual, 0)
				if !c.arrives {
					So(reply.Result, ShouldResemble, carrier.Refuse(carrier.LinkBusy))
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("A receiver of the previous release", t, func() {
			far := earlierNode{runs: &atomic.Int64{}, cancels: &atomic.Int64{}}
			f := linkTo(far, 0)
			defer f.Close()
			m := farMember
			m.LinkRate = 10
			So(f.Forward(context.Background(), m, jobOf("call", 60_000, time.Second), false).Result.Outcome, ShouldEqual, carrier.Run)
		})
	})
}

// A body of many megabytes must not be written to its end for a caller who has left.
func TestLongBodyIsAbandonedWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A body of 10 MB over a link of 8 Mbit/s, whose caller leaves after a second", t, func() {
			far := newOfferedNode(OfferReply{Granted: 1 << 30})
			f := linkTo(far, time.Microsecond)
			defer f.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			start := time.Now()
			reply := f.Forward(ctx, farMember, jobOf("long", 10_000_000, 4*time.Second), false)
			So(reply.Result.Outcome, ShouldEqual, carrier.Unknown)
			So(time.Since(start), ShouldBeLessThan, 1100*time.Millisecond)
			So(f.Forward(context.Background(), farMember, jobOf("next", 20_000, 4*time.Second), false).Result.Reason, ShouldBeEmpty)
			_, arrived := far.arrival("long")
			So(arrived, ShouldBeFalse)
		})
	})
}

// BenchmarkForward measures an attempt over an in-memory connection, to a receiver that runs
// nothing: the cost of what the forwarder adds to a call.
func BenchmarkForward(b *testing.B) {
	for name, bytes := range map[string]int{"small": 1000, "offered": 60_000} {
		b.Run(name, func(b *testing.B) {
			server := rpc.NewServer()
			if err := server.RegisterName(serviceName, newOfferedNode(OfferReply{Granted: 1 << 30})); err != nil {
				b.Fatal(err)
			}
			f := New("near", 10, func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go server.ServeCodec(coder.NewServerCodec(far, &atomic.Int64{}))
				return near, nil
			})
			defer f.Close()
			m := farMember
			m.LinkRate = 10
			job := jobOf("call", bytes, time.Minute)
			b.ReportAllocs()
			for b.Loop() {
				f.Forward(context.Background(), m, job, false)
			}
		})
	}
}
