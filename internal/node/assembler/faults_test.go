package assembler_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
	"github.com/tamarackscale/tamarackscale/standin/fleet"
	"github.com/tamarackscale/tamarackscale/standin/history"
	"github.com/tamarackscale/tamarackscale/standin/platform"
)

// versionMonitor records the version last seen in force on each VM, and every decrease. A
// restarted VM may begin with a lower version, so last must be reset after restarts.
type versionMonitor struct {
	last      map[*fleet.VM]int64
	decreases []string
}

func (m *versionMonitor) observe(vms []*fleet.VM) {
	for _, vm := range vms {
		version := vm.Version()
		if version < m.last[vm] {
			m.decreases = append(m.decreases, fmt.Sprintf("%s went back from version %d to %d", vm.ID, m.last[vm], version))
		}
		m.last[vm] = version
	}
}

// TestRestartAmongStalePeersServesNewestVersion guards against a restarted node that takes
// an old version from peers that are cut off, and serves it although the platform has a
// newer one.
func TestRestartAmongStalePeersServesNewestVersion(t *testing.T) {
	inBubble(t, threeZones, 3, func(ctx context.Context, f *fleet.Fleet) {
		first := rollOutFirst(ctx, f)
		stale := f.InZone("b")
		f.CutOff(stale)
		second := rollOutNext(ctx, f, decider.Proceed)
		So(fleet.Await(15*time.Second, func() bool { return fleet.AllInForce(f.InZone("a"), second) }), ShouldBeTrue)
		// The restarted node reaches the stale zone and the platform only.
		restarted := f.InZone("a")[0]
		isStale := map[string]bool{}
		for _, vm := range stale {
			isStale[vm.ID] = true
		}
		f.Network.Cut(func(from, to string) bool {
			if from == restarted.ID || to == restarted.ID {
				return !isStale[from] && !isStale[to] && from != fleet.PlatformHost && to != fleet.PlatformHost &&
					from != "client" && to != "client" && from != to
			}
			return from != "client" && to != "client" && isStale[from] != isStale[to]
		})
		restarted.Crash()
		So(restarted.Start(), ShouldBeNil)
		servedStale := false
		for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
			servedStale = servedStale || (restarted.Node.Serving() && restarted.Version() == first)
		}
		So(servedStale, ShouldBeFalse)
		So(restarted.Version(), ShouldEqual, second)
		// The newer version then reaches the stale zone through gossip.
		So(fleet.Await(15*time.Second, func() bool { return fleet.AllInForce(stale, second) }), ShouldBeTrue)
	})
}

// TestBothSidesServeDuringPartitionOfAnHour guards against a long partition that stops one
// side from serving, or leaves the sides with different versions or members once it heals.
func TestBothSidesServeDuringPartitionOfAnHour(t *testing.T) {
	inBubble(t, []string{"a", "b", "c", "d"}, 2, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		east := append(f.InZone("c"), f.InZone("d")...)
		west := append(f.InZone("a"), f.InZone("b")...)
		f.CutOff(east)
		second := rollOutNext(ctx, f, decider.Proceed)
		stopped := west[0]
		for minute := range 60 {
			time.Sleep(time.Minute)
			if minute == 30 {
				So(stopped.Stop(), ShouldBeNil)
			}
			So(f.Call(ctx, east[0], fleet.Browse, fmt.Sprintf("east-%d", minute)).Answered, ShouldBeTrue)
			So(f.Call(ctx, west[1], fleet.Browse, fmt.Sprintf("west-%d", minute)).Answered, ShouldBeTrue)
		}
		So(fleet.AllInForce(west[1:], second), ShouldBeTrue)
		So(fleet.AllInForce(east, second-1), ShouldBeTrue)
		f.Network.Cut(nil)
		So(fleet.Await(15*time.Second, func() bool { return fleet.AllInForce(east, second) }), ShouldBeTrue)
		// The other side sees that an endpoint stopped during the partition.
		So(fleet.Await(15*time.Second, func() bool { return !seesAlive(east[0], stopped.ID) }), ShouldBeTrue)
		So(stopped.Start(), ShouldBeNil)
		So(fleet.Await(15*time.Second, func() bool { return seesAlive(east[0], stopped.ID) }), ShouldBeTrue)
	})
}

func seesAlive(vm *fleet.VM, id string) bool {
	for _, member := range vm.Node.Members("") {
		if member.ID == id && member.Liveness == merger.Alive {
			return true
		}
	}
	return false
}

// TestMassRestartCausesFewPlatformCalls guards against a thundering herd of platform calls
// when most nodes restart at once.
func TestMassRestartCausesFewPlatformCalls(t *testing.T) {
	inBubble(t, threeZones, 8, func(ctx context.Context, f *fleet.Fleet) {
		first := rollOutFirst(ctx, f)
		time.Sleep(10 * time.Second)
		before := f.Platform.Calls()
		for _, vm := range f.VMs[:16] {
			vm.Crash()
		}
		for _, vm := range f.VMs[:16] {
			So(vm.Start(), ShouldBeNil)
		}
		So(fleet.Await(20*time.Second, func() bool { return fleet.AllInForce(f.VMs, first) }), ShouldBeTrue)
		time.Sleep(20 * time.Second)
		platformCalls := totalCalls(f.Platform.Calls()) - totalCalls(before)
		// Each restarted node reads once. The relays make at most 60 calls per zone in
		// 40 s, which does not grow with the number of nodes.
		So(platformCalls, ShouldBeLessThan, 16+3*60)
	})
}

// fault is a fault that begin injects and end removes.
type fault struct {
	name  string
	begin func(f *fleet.Fleet)
	end   func(f *fleet.Fleet)
}

var faults = []fault{
	{
		"platform outage",
		func(f *fleet.Fleet) { f.Platform.SetFaults(platform.Faults{Outage: true}) },
		func(f *fleet.Fleet) { f.Platform.SetFaults(platform.Faults{}) },
	},
	{
		"slow platform that loses responses",
		func(f *fleet.Fleet) {
			f.Platform.SetFaults(platform.Faults{DelayMilliseconds: 700, LoseResponses: 6})
		},
		func(f *fleet.Fleet) { f.Platform.SetFaults(platform.Faults{}) },
	},
	{
		"zone b cut off",
		func(f *fleet.Fleet) { f.CutOff(f.InZone("b")) },
		func(f *fleet.Fleet) { f.Network.Cut(nil) },
	},
	{
		"two crashed nodes",
		func(f *fleet.Fleet) { f.VMs[0].Crash(); f.VMs[4].Crash() },
		restartStopped,
	},
	{
		"slow links",
		func(f *fleet.Fleet) {
			f.Network.Delay(func(from, to string) time.Duration { return time.Duration(len(from)+len(to)) * time.Millisecond / 2 })
		},
		func(f *fleet.Fleet) { f.Network.Delay(func(string, string) time.Duration { return 0 }) },
	},
	{
		"planned restart of a relay",
		func(f *fleet.Fleet) { So(relayOf(f, "c").Stop(), ShouldBeNil) },
		restartStopped,
	},
}

func relayOf(f *fleet.Fleet, zone string) *fleet.VM {
	for _, vm := range f.InZone(zone) {
		for _, member := range vm.Node.Members(zone) {
			if member.ID == vm.ID && member.RelayTerm > 0 {
				return vm
			}
		}
	}
	return f.InZone(zone)[0]
}

func restartStopped(f *fleet.Fleet) {
	for _, vm := range f.VMs {
		if !vm.Running() {
			So(vm.Start(), ShouldBeNil)
		}
	}
}

// TestFaultsAloneAndInPairs rolls out a version during one or two faults under load. It
// checks that no node goes back to an older version, that the responses to callers match
// what the upstreams ran, and that rollouts work again afterwards.
func TestFaultsAloneAndInPairs(t *testing.T) {
	for i, first := range faults {
		for _, second := range faults[i:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				inBubble(t, threeZones, 4, func(ctx context.Context, f *fleet.Fleet) {
					rollOutFirst(ctx, f)
					runWithFaults(ctx, f, first, second)
				})
			})
		}
	}
}

// runWithFaults injects the faults and rolls out a version during them, under load.
func runWithFaults(ctx context.Context, f *fleet.Fleet, first, second fault) {
	monitor := &versionMonitor{last: map[*fleet.VM]int64{}}
	driveDone := make(chan []history.Outcome)
	go func() {
		load := mixedLoad(20*time.Second, "faults")
		load.Scale = 0.3
		_, outcomes := f.Drive(ctx, f.InZone("c")[1:], load)
		driveDone <- outcomes
	}()
	time.Sleep(2 * time.Second)
	first.begin(f)
	time.Sleep(time.Second)
	if second.name != first.name {
		second.begin(f)
	}
	staged := make(chan int64, 1)
	go func() {
		f.Bundle.Ranks[0].MaxQueue++
		bounded, cancel := context.WithTimeout(ctx, 30*time.Second)
		defer cancel()
		version, _ := f.StartRollout(bounded, decider.Proceed)
		staged <- version
	}()
	for range 80 {
		time.Sleep(100 * time.Millisecond)
		monitor.observe(runningVMs(f))
	}
	if second.name != first.name {
		second.end(f)
	}
	first.end(f)
	restartStopped(f)
	monitor.last = map[*fleet.VM]int64{}
	checkHistory(f, <-driveDone)
	<-staged
	awaitRecovery(ctx, f, monitor)
	So(monitor.decreases, ShouldBeEmpty)
}

// awaitRecovery waits until no version is staged any more, rolls out another one and waits
// until it is in force on all nodes.
func awaitRecovery(ctx context.Context, f *fleet.Fleet, monitor *versionMonitor) {
	So(fleet.Await(2*time.Minute, func() bool {
		record, err := f.Publisher.Record(ctx)
		return err == nil && record.Staged == nil
	}), ShouldBeTrue)
	last := rollOutNext(ctx, f, decider.Wait)
	So(fleet.Await(15*time.Second, func() bool {
		monitor.observe(f.VMs)
		return fleet.AllInForce(f.VMs, last)
	}), ShouldBeTrue)
	So(f.Call(ctx, f.VMs[3], fleet.Browse, "last").Answered, ShouldBeTrue)
}

func runningVMs(f *fleet.Fleet) []*fleet.VM {
	var vms []*fleet.VM
	for _, vm := range f.VMs {
		if vm.Running() {
			vms = append(vms, vm)
		}
	}
	return vms
}

// TestPartitionedZoneRecoversAfterHealing partitions one node from the rest of its zone
// until each side counts the other as dead, and then heals the partition. The majority
// lacks at most one of the three replicas of a key, so it keeps a quorum for every key.
func TestPartitionedZoneRecoversAfterHealing(t *testing.T) {
	inBubble(t, []string{"a"}, 6, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		minority := map[string]bool{"vm-00": true}
		f.Network.Cut(func(from, to string) bool {
			return from != "client" && to != "client" && to != fleet.PlatformHost && from != fleet.PlatformHost &&
				minority[from] != minority[to]
		})
		So(fleet.Await(time.Minute, func() bool { return !seesAlive(f.VMs[0], "vm-03") && !seesAlive(f.VMs[3], "vm-00") }), ShouldBeTrue)
		// The minority has no quorum for any key; the majority continues.
		So(f.Call(ctx, f.VMs[0], fleet.Order, "smaller").Answered, ShouldBeFalse)
		time.Sleep(5 * time.Second)
		So(f.Call(ctx, f.VMs[3], fleet.Order, "larger").Answered, ShouldBeTrue)
		f.Network.Cut(nil)
		So(fleet.Await(time.Minute, func() bool { return seesAlive(f.VMs[0], "vm-03") && seesAlive(f.VMs[3], "vm-00") }), ShouldBeTrue)
		// A retry through the node that was cut off is recognised.
		time.Sleep(10 * time.Second)
		So(f.Call(ctx, f.VMs[0], fleet.Order, "larger").Replayed, ShouldBeTrue)
		So(countRuns(f, "larger"), ShouldEqual, 1)
	})
}

// TestCallsToUnreachableNodeLeakNoDials guards against dials to an unreachable node that
// outlive their calls and pile up. It calls a service whose only endpoint is cut off; at
// the end only the few dials of gossip exchanges may be pending.
func TestCallsToUnreachableNodeLeakNoDials(t *testing.T) {
	inBubble(t, []string{"a", "b"}, 1, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		So(f.VMs[1].Service, ShouldEqual, "catalogue")
		f.CutOff(f.VMs[1:])
		for i := range 20 {
			So(f.Call(ctx, f.VMs[0], fleet.Browse, fmt.Sprintf("cut-off-%d", i)).NotRun, ShouldBeTrue)
			// A failing endpoint is ejected for up to ten seconds.
			time.Sleep(11 * time.Second)
		}
		So(f.VMs[0].Dialing(), ShouldBeLessThan, 5)
	})
}
