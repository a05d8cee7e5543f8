package assembler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
	"github.com/tamarackscale/tamarackscale/standin/fleet"
	"github.com/tamarackscale/tamarackscale/standin/platform"
)

// inBubble starts a fleet and runs body on it in the simulated time of a synctest bubble.
func inBubble(t *testing.T, zones []string, perZone int, body func(ctx context.Context, f *fleet.Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey("a fleet", t, func() {
			f := fleet.New(fleet.Bundle(zones...), perZone)
			defer stopFleet(f)
			So(f.Start(), ShouldBeNil)
			// Time for the election of the relays and the assignment of the seats.
			time.Sleep(10 * time.Second)
			body(context.Background(), f)
		})
	})
}

// stopFleet stops the fleet and waits until its background work has ended.
func stopFleet(f *fleet.Fleet) {
	f.CrashAll()
	time.Sleep(time.Minute)
}

var threeZones = []string{"a", "b", "c"}

// rollOutFirst rolls out the first version and waits until it is in force on all VMs.
func rollOutFirst(ctx context.Context, f *fleet.Fleet) int64 {
	version, err := f.StartRollout(ctx, decider.Wait)
	So(err, ShouldBeNil)
	So(fleet.Await(15*time.Second, func() bool { return fleet.AllInForce(f.VMs, version) }), ShouldBeTrue)
	return version
}

// rollOutNext changes the bundle and starts the rollout of a new version.
func rollOutNext(ctx context.Context, f *fleet.Fleet, policy decider.Policy) int64 {
	f.Bundle.Ranks[0].MaxQueue++
	version, err := f.StartRollout(ctx, policy)
	So(err, ShouldBeNil)
	return version
}

func TestVersionComesIntoForceOnAllNodes(t *testing.T) {
	inBubble(t, threeZones, 4, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		second := rollOutNext(ctx, f, decider.Wait)
		So(fleet.Await(2*time.Second, func() bool { return fleet.AllInForce(f.VMs, second) }), ShouldBeTrue)
	})
}

func TestVersionRejectedByOneNodeIsNotActivated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("one node of twelve does not trust the signer", t, func() {
			f := fleet.New(fleet.Bundle(threeZones...), 4)
			defer stopFleet(f)
			f.VMs[7].Distrust()
			So(f.Start(), ShouldBeNil)
			time.Sleep(10 * time.Second)
			version, err := f.StartRollout(context.Background(), decider.Wait)
			So(err, ShouldBeNil)
			time.Sleep(10 * time.Second)
			record, err := f.Publisher.Record(context.Background())
			So(err, ShouldBeNil)
			So(record.Accepted.Version, ShouldEqual, 0)
			So(record.History[0].Version, ShouldEqual, version)
			So(record.History[0].Reason, ShouldContainSubstring, f.VMs[7].ID+" refused")
			So(fleet.AllInForce(f.VMs, 0), ShouldBeTrue)
		})
	})
}

func TestPartitionedZoneCatchesUpAfterHealing(t *testing.T) {
	inBubble(t, threeZones, 4, func(ctx context.Context, f *fleet.Fleet) {
		first := rollOutFirst(ctx, f)
		cut := f.InZone("b")
		f.CutOff(cut)
		second := rollOutNext(ctx, f, decider.Proceed)
		others := append(f.InZone("a"), f.InZone("c")...)
		So(fleet.Await(15*time.Second, func() bool { return fleet.AllInForce(others, second) }), ShouldBeTrue)
		So(fleet.AllInForce(cut, first), ShouldBeTrue)
		reply := f.Call(ctx, cut[0], fleet.Browse, "while-cut")
		So(reply.Answered, ShouldBeTrue)
		f.Network.Cut(nil)
		So(fleet.Await(15*time.Second, func() bool { return fleet.AllInForce(f.VMs, second) }), ShouldBeTrue)
	})
}

func TestWaitPolicyKeepsOldVersionDuringPartition(t *testing.T) {
	inBubble(t, threeZones, 2, func(ctx context.Context, f *fleet.Fleet) {
		first := rollOutFirst(ctx, f)
		f.CutOff(f.InZone("b"))
		rollOutNext(ctx, f, decider.Wait)
		time.Sleep(90 * time.Second)
		So(fleet.AllInForce(f.VMs, first), ShouldBeTrue)
		record, err := f.Publisher.Record(ctx)
		So(err, ShouldBeNil)
		So(record.Staged, ShouldBeNil)
		So(record.History[0].Reason, ShouldContainSubstring, "timeout")
	})
}

func TestServingContinuesDuringPlatformOutage(t *testing.T) {
	inBubble(t, threeZones, 4, func(ctx context.Context, f *fleet.Fleet) {
		first := rollOutFirst(ctx, f)
		f.Platform.SetFaults(platform.Faults{Outage: true})
		before := f.Platform.Calls()
		time.Sleep(10 * time.Minute)
		duringOutage := totalCalls(f.Platform.Calls()) - totalCalls(before)
		// The backoff keeps each of the three zones below one call in two seconds during
		// the outage.
		So(duringOutage, ShouldBeLessThan, 3*300)
		So(f.Call(ctx, f.VMs[0], fleet.Browse, "in-outage").Answered, ShouldBeTrue)
		So(f.Call(ctx, f.VMs[1], fleet.Order, "order-in-outage").Answered, ShouldBeTrue)
		So(fleet.AllInForce(f.VMs, first), ShouldBeTrue)
		f.Platform.SetFaults(platform.Faults{})
		atRecovery := f.Platform.Calls()
		time.Sleep(5 * time.Second)
		// The recovery causes no thundering herd of calls from the twelve nodes.
		So(totalCalls(f.Platform.Calls())-totalCalls(atRecovery), ShouldBeLessThan, 60)
		second := rollOutNext(ctx, f, decider.Wait)
		So(fleet.Await(15*time.Second, func() bool { return fleet.AllInForce(f.VMs, second) }), ShouldBeTrue)
	})
}

func totalCalls(c platform.Calls) int64 { return c.Total() }
