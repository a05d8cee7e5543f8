package admitter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/serving/admitter"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/standin/fleet"
)

// readyAdmitter returns an admitter for a ready upstream of service orders with one
// slot.
func readyAdmitter() (*admitter.Admitter, admitter.Heartbeat) {
	table, err := fleet.Compile(fleet.Bundle("a"))
	So(err, ShouldBeNil)
	a := admitter.New(admitter.ByRank)
	upstream := admitter.Heartbeat{Service: "orders", Slots: 1}
	a.Configure(table)
	a.SetUpstream(upstream, merger.Ready, table)
	return a, upstream
}

func codeOf(err error) framer.Code {
	var refusal *framer.Refusal
	So(errors.As(err, &refusal), ShouldBeTrue)
	So(refusal.Outcome, ShouldEqual, framer.NotRun)
	return refusal.Code
}

func TestDrainingEndpointRefusesCallsThatDoNotRun(t *testing.T) {
	for _, cause := range []string{"upstream drains", "node stops"} {
		synctest.Test(t, func(t *testing.T) {
			Convey(cause, t, func() {
				a, upstream := readyAdmitter()
				ctx, deadline := context.Background(), time.Now().Add(time.Minute)
				_, err := a.Admit(ctx, "orders", "order", deadline)
				So(err, ShouldBeNil)
				waiting := make(chan error, 1)
				go func() {
					_, err := a.Admit(ctx, "orders", "order", deadline)
					waiting <- err
				}()
				synctest.Wait()
				if cause == "node stops" {
					a.Drain()
				}
				a.SetUpstream(upstream, merger.Draining, nil)
				So(codeOf(<-waiting), ShouldEqual, framer.NodeDraining)
				_, err = a.Admit(ctx, "orders", "order", deadline)
				So(codeOf(err), ShouldEqual, framer.NodeDraining)
				idle := make(chan error, 1)
				go func() { idle <- a.WaitIdle(ctx) }()
				synctest.Wait()
				So(idle, ShouldBeEmpty)
				a.Release(time.Millisecond, false)
				So(<-idle, ShouldBeNil)
			})
		})
	}
}

func TestSlotsDoNotExceedConnections(t *testing.T) {
	Convey("an upstream whose heartbeat has more slots than connections", t, func() {
		a, upstream := readyAdmitter()
		upstream.Slots, upstream.Connections = 4, 2
		a.SetUpstream(upstream, merger.Ready, nil)
		So(a.Load().Slots, ShouldEqual, 2)
	})
}

func TestAdmitRefusesWrongServiceAndDisconnectedCaller(t *testing.T) {
	Convey("a call for another service, and one whose caller disconnected", t, func() {
		a, _ := readyAdmitter()
		_, err := a.Admit(context.Background(), "catalogue", "order", time.Now().Add(time.Minute))
		So(codeOf(err), ShouldEqual, framer.WrongEndpoint)
		_, err = a.Admit(context.Background(), "orders", "order", time.Now().Add(time.Minute))
		So(err, ShouldBeNil)
		disconnected, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = a.Admit(disconnected, "orders", "order", time.Now().Add(time.Minute))
		So(codeOf(err), ShouldEqual, framer.Cancelled)
		So(a.Load().Waiting, ShouldEqual, 0)
	})
}
