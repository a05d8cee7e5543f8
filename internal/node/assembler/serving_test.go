package assembler_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/standin/caller"
	"github.com/tamarackscale/tamarackscale/standin/fleet"
	"github.com/tamarackscale/tamarackscale/standin/history"
	"github.com/tamarackscale/tamarackscale/standin/upstream"
)

// countRuns returns how often the upstreams ran the call that sent the given echo header.
func countRuns(f *fleet.Fleet, echo string) int {
	count := 0
	for _, effect := range f.Effects() {
		if effect.Echo == echo {
			count++
		}
	}
	return count
}

func TestRetryThroughAnotherNodeIsNotRunTwice(t *testing.T) {
	inBubble(t, threeZones, 4, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		So(f.Call(ctx, f.VMs[0], fleet.Order, "order-1").Answered, ShouldBeTrue)
		time.Sleep(time.Second)
		for _, vm := range f.VMs {
			reply := f.Call(ctx, vm, fleet.Order, "order-1")
			So(reply.Answered, ShouldBeTrue)
			So(reply.Mismatch, ShouldBeFalse)
			So(reply.Replayed, ShouldBeTrue)
		}
		So(countRuns(f, "order-1"), ShouldEqual, 1)
	})
}

func TestRetryAfterCrashOfFirstNodeIsRefusedAsUnknown(t *testing.T) {
	inBubble(t, threeZones, 4, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		slowUpstreams(f, 500*time.Millisecond)
		go f.Call(ctx, f.VMs[0], fleet.Order, "order-2")
		time.Sleep(100 * time.Millisecond)
		f.VMs[0].Crash()
		reply := f.Call(ctx, f.VMs[5], fleet.Order, "order-2")
		So(reply.Answered, ShouldBeFalse)
		So(reply.Unknown, ShouldBeTrue)
		So(reply.Code, ShouldEqual, string(framer.KeyInProgress))
		time.Sleep(time.Second)
		So(countRuns(f, "order-2"), ShouldBeLessThanOrEqualTo, 1)
		So(f.VMs[0].Start(), ShouldBeNil)
	})
}

func TestKeyReusedForAnotherRequestIsRefused(t *testing.T) {
	inBubble(t, threeZones, 2, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		So(f.Call(ctx, f.VMs[0], fleet.Order, "order-3").Answered, ShouldBeTrue)
		time.Sleep(time.Second)
		other := fleet.Order
		other.Path = "/orders/other"
		reply := f.Call(ctx, f.VMs[1], other, "order-3")
		So(reply.Code, ShouldEqual, string(framer.KeyReused))
		So(reply.NotRun, ShouldBeTrue)
		So(countRuns(f, "order-3"), ShouldEqual, 1)
	})
}

func slowUpstreams(f *fleet.Fleet, by time.Duration) {
	for _, vm := range f.VMs {
		vm.Upstream.SetFaults(upstream.Faults{SlowBy: by})
	}
}

// TestKeysSurviveRollingRestart guards against idempotency records that are lost when all
// nodes crash and restart one at a time, after which retried orders would run twice.
func TestKeysSurviveRollingRestart(t *testing.T) {
	inBubble(t, threeZones, 4, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		for i := range 20 {
			So(f.Call(ctx, f.VMs[i%12], fleet.Order, fmt.Sprintf("kept-%d", i)).Answered, ShouldBeTrue)
		}
		for _, vm := range f.VMs {
			vm.Crash()
			time.Sleep(5 * time.Second)
			So(vm.Start(), ShouldBeNil)
			time.Sleep(5 * time.Second)
		}
		for i := range 20 {
			echo := fmt.Sprintf("kept-%d", i)
			So(f.Call(ctx, f.VMs[(i+5)%12], fleet.Order, echo).Replayed, ShouldBeTrue)
			So(countRuns(f, echo), ShouldEqual, 1)
		}
	})
}

func TestKeysLostWithTwoReplicasAreRefused(t *testing.T) {
	inBubble(t, []string{"a"}, 6, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		for i := range 20 {
			So(f.Call(ctx, f.VMs[i%6], fleet.Order, fmt.Sprintf("lost-%d", i)).Answered, ShouldBeTrue)
		}
		time.Sleep(time.Second)
		// Five of six nodes crash at once, so every shard loses at least two of its
		// three seats.
		for _, vm := range f.VMs[1:] {
			vm.Crash()
		}
		for _, vm := range f.VMs[1:] {
			So(vm.Start(), ShouldBeNil)
		}
		time.Sleep(10 * time.Second)
		refused := 0
		for i := range 20 {
			echo := fmt.Sprintf("lost-%d", i)
			reply := f.Call(ctx, f.VMs[i%6], fleet.Order, echo)
			So(reply.Answered && !reply.Replayed, ShouldBeFalse)
			if reply.NotRun {
				refused++
			}
			So(countRuns(f, echo), ShouldEqual, 1)
		}
		So(refused, ShouldBeGreaterThan, 0)
		// New keys are accepted once the idempotency window of the lost claims is over.
		time.Sleep(10 * time.Minute)
		for i := range 20 {
			So(f.Call(ctx, f.VMs[i%6], fleet.Order, fmt.Sprintf("new-%d", i)).Answered, ShouldBeTrue)
		}
	})
}

// checkHistory checks that the responses to callers match what the upstreams ran.
func checkHistory(f *fleet.Fleet, outcomes []history.Outcome) {
	So(history.Check(outcomes, f.Effects()), ShouldBeEmpty)
}

// mixedLoad returns load on both routes, at about a third of the capacity of twelve VMs.
func mixedLoad(duration time.Duration, prefix string) caller.Load {
	order, browse := fleet.Order, fleet.Browse
	order.Rate, browse.Rate = 100, 300
	return caller.Load{Streams: []caller.Stream{order, browse}, Duration: duration, Scale: 1, Seed: 7, Prefix: prefix}
}

// TestTruncatedAndForeignAnswersNeverReachCaller guards against a caller that gets
// an answer that was cut short or that belongs to another call.
func TestTruncatedAndForeignAnswersNeverReachCaller(t *testing.T) {
	inBubble(t, threeZones, 4, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		for _, vm := range f.VMs {
			vm.Upstream.SetFaults(upstream.Faults{CutBodies: 5, CrossAnswers: 7})
		}
		results, outcomes := f.Drive(ctx, f.VMs, mixedLoad(5*time.Second, "whole"))
		checkHistory(f, outcomes)
		So(results[0].Failed+results[1].Failed, ShouldEqual, 0)
		// Orders that hit a fault are refused as unknown; browse calls are retried.
		So(results[0].Unknown, ShouldBeGreaterThan, 0)
		So(results[1].FractionInTime(), ShouldBeGreaterThan, 0.8)
	})
}

func TestDrainingUpstreamGetsNoNewCalls(t *testing.T) {
	inBubble(t, threeZones, 4, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		draining := f.VMs[4]
		done := make(chan []history.Outcome)
		go func() {
			_, outcomes := f.Drive(ctx, f.VMs, mixedLoad(10*time.Second, "drain"))
			done <- outcomes
		}()
		time.Sleep(2 * time.Second)
		So(len(draining.Upstream.Effects.All()), ShouldBeGreaterThan, 0)
		draining.Upstream.Drain()
		time.Sleep(3 * time.Second)
		afterDrain := len(draining.Upstream.Effects.All())
		checkHistory(f, <-done)
		So(len(draining.Upstream.Effects.All()), ShouldEqual, afterDrain)
	})
}

func TestGracefulStopFailsNoRequest(t *testing.T) {
	inBubble(t, threeZones, 4, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		done := make(chan struct{})
		var results []caller.Result
		var outcomes []history.Outcome
		others := append(append([]*fleet.VM(nil), f.VMs[:4]...), f.VMs[5:]...)
		go func() {
			results, outcomes = f.Drive(ctx, others, mixedLoad(10*time.Second, "stop"))
			close(done)
		}()
		time.Sleep(3 * time.Second)
		So(f.VMs[4].Stop(), ShouldBeNil)
		<-done
		checkHistory(f, outcomes)
		for _, result := range results {
			So(result.Failed+result.Unknown, ShouldEqual, 0)
			So(result.NotRun, ShouldEqual, 0)
		}
		So(f.VMs[4].Start(), ShouldBeNil)
	})
}

func TestCallsAvoidCrashedEndpoints(t *testing.T) {
	inBubble(t, threeZones, 4, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		done := make(chan struct{})
		var results []caller.Result
		var outcomes []history.Outcome
		go func() {
			results, outcomes = f.Drive(ctx, f.VMs[6:], mixedLoad(10*time.Second, "crash"))
			close(done)
		}()
		time.Sleep(3 * time.Second)
		for _, vm := range f.VMs[:3] {
			vm.Crash()
		}
		<-done
		checkHistory(f, outcomes)
		// Only calls in flight at the crashed endpoints may fail.
		So(results[0].FractionInTime(), ShouldBeGreaterThan, 0.97)
		So(results[1].FractionInTime(), ShouldBeGreaterThan, 0.99)
		for _, vm := range f.VMs[:3] {
			So(vm.Start(), ShouldBeNil)
		}
	})
}

func TestGracefulStopFinishesAcceptedCalls(t *testing.T) {
	inBubble(t, threeZones, 4, func(ctx context.Context, f *fleet.Fleet) {
		rollOutFirst(ctx, f)
		slowUpstreams(f, 1500*time.Millisecond)
		replies := make(chan caller.Reply, 4)
		for i := range 4 {
			go func() { replies <- f.Call(ctx, f.VMs[4], fleet.Order, fmt.Sprintf("entered-%d", i)) }()
		}
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan error)
		go func() { stopped <- f.VMs[4].Stop() }()
		// A call during the drain is either served to the end or refused as not run.
		time.Sleep(500 * time.Millisecond)
		late := f.Call(ctx, f.VMs[4], fleet.Order, "late")
		So(late.Answered || late.NotRun, ShouldBeTrue)
		for range 4 {
			reply := <-replies
			So(reply.Answered, ShouldBeTrue)
			So(reply.Mismatch, ShouldBeFalse)
		}
		So(<-stopped, ShouldBeNil)
		So(f.VMs[4].Start(), ShouldBeNil)
	})
}
