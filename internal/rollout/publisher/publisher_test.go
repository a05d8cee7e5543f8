package publisher_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
	"github.com/tamarackscale/tamarackscale/internal/rollout/publisher"
	"github.com/tamarackscale/tamarackscale/standin/fleet"
	"github.com/tamarackscale/tamarackscale/standin/platform"
)

// inBubble runs body with a platform in simulated time.
func inBubble(t *testing.T, body func(ctx context.Context, engine *platform.Engine, p *publisher.Publisher)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey("publishing on a platform", t, func() {
			engine := platform.New(platform.Limits{})
			body(context.Background(), engine, publisher.New(&timeoutStore{engine}, time.Now))
		})
	})
}

// timeoutStore is a platform whose writes time out after a second.
type timeoutStore struct{ *platform.Engine }

// Put implements keeper.Store.
func (h *timeoutStore) Put(ctx context.Context, r keeper.PutRequest) (keeper.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return h.Engine.Put(ctx, r)
}

func stage(operator string) decider.Stage {
	return decider.Stage{Operator: operator, Timeout: time.Minute, Policy: decider.Wait}
}

// TestOneOperatorWinsEachConcurrentStep guards against two operators who act at the same
// time getting the same version number, both signing a version or both starting a rollout.
// Those who lose must get an error that names the operator who won.
func TestOneOperatorWinsEachConcurrentStep(t *testing.T) {
	inBubble(t, func(ctx context.Context, _ *platform.Engine, p *publisher.Publisher) {
		const operators = 8
		versions := make([]int64, operators)
		var group sync.WaitGroup
		for i := range operators {
			group.Go(func() {
				pointer, err := p.Create(ctx, fleet.Bundle("a"), fmt.Sprint("op", i))
				if err == nil {
					versions[i] = pointer.Version
				}
			})
		}
		group.Wait()
		seen := map[int64]bool{}
		for _, version := range versions {
			So(version, ShouldBeBetween, 0, operators+1)
			So(seen[version], ShouldBeFalse)
			seen[version] = true
		}
		signed := race(operators, func(i int) error {
			_, err := p.Sign(ctx, 1, fmt.Sprint("op", i), fleet.OperatorKey())
			return err
		})
		So(len(signed.winners), ShouldEqual, 1)
		for _, err := range signed.failures {
			var already *publisher.AlreadySignedError
			So(errors.As(err, &already), ShouldBeTrue)
			So(already.Operator, ShouldEqual, fmt.Sprint("op", signed.winners[0]))
		}
		started := race(operators, func(i int) error {
			_, err := p.Start(ctx, 1, stage(fmt.Sprint("op", i)))
			return err
		})
		So(len(started.winners), ShouldEqual, 1)
		for _, err := range started.failures {
			var active *decider.ActiveError
			So(errors.As(err, &active), ShouldBeTrue)
			So(active.Stage.Operator, ShouldEqual, fmt.Sprint("op", started.winners[0]))
		}
	})
}

// raceResult holds the numbers of the calls that succeeded and the errors of the others.
type raceResult struct {
	winners  []int
	failures []error
}

// race runs step concurrently for each number below count.
func race(count int, step func(i int) error) raceResult {
	errs := make([]error, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { errs[i] = step(i) })
	}
	group.Wait()
	var result raceResult
	for i, err := range errs {
		if err == nil {
			result.winners = append(result.winners, i)
		} else {
			result.failures = append(result.failures, err)
		}
	}
	return result
}

// TestLostRepliesHaveNoSecondEffect guards against a write being done twice, or reported
// as a conflict with itself, when the platform executes it but its reply is lost.
func TestLostRepliesHaveNoSecondEffect(t *testing.T) {
	inBubble(t, func(ctx context.Context, engine *platform.Engine, p *publisher.Publisher) {
		engine.SetFaults(platform.Faults{LoseResponses: 100})
		pointer, err := p.Create(ctx, fleet.Bundle("a"), "eva")
		So(err, ShouldBeNil)
		So(pointer.Version, ShouldEqual, 1)
		_, err = p.Sign(ctx, 1, "eva", fleet.OperatorKey())
		So(err, ShouldBeNil)
		record, err := p.Start(ctx, 1, stage("eva"))
		So(err, ShouldBeNil)
		So(record.Staged.Operator, ShouldEqual, "eva")
		engine.SetFaults(platform.Faults{})
		entries, err := p.Index(ctx)
		So(err, ShouldBeNil)
		So(len(entries), ShouldEqual, 1)
	})
}

// overtakenStore is a platform that loses the response to the first write of the record and
// calls overtake before the writer can read the record back.
type overtakenStore struct {
	*platform.Engine
	overtake func()
}

// Put implements keeper.Store.
func (o *overtakenStore) Put(ctx context.Context, r keeper.PutRequest) (keeper.Revision, error) {
	revision, err := o.Engine.Put(ctx, r)
	overtake := o.overtake
	if r.Key != publisher.RecordKey || overtake == nil {
		return revision, err
	}
	o.overtake = nil
	overtake()
	return 0, &keeper.UnknownOutcomeError{Operation: "put", Cause: errors.New("lost in this test")}
}

// TestOvertakenWriteIsNotDoneAgain guards against a rollout that starts a second time because
// the response to its start was lost and others have written the record since.
func TestOvertakenWriteIsNotDoneAgain(t *testing.T) {
	for _, laterWrites := range []int{1, decider.MaxNonces - 1} {
		inBubble(t, func(ctx context.Context, engine *platform.Engine, other *publisher.Publisher) {
			_, err := other.Create(ctx, fleet.Bundle("a"), "eva")
			So(err, ShouldBeNil)
			_, err = other.Sign(ctx, 1, "eva", fleet.OperatorKey())
			So(err, ShouldBeNil)
			store := &overtakenStore{Engine: engine, overtake: func() {
				record, err := other.Abort(ctx, 1, "ida")
				So(err, ShouldBeNil)
				for range laterWrites - 1 {
					record, err = publisher.PutRecord(ctx, engine, record.Record, record.Revision)
					So(err, ShouldBeNil)
				}
			}}
			_, err = publisher.New(store, time.Now).Start(ctx, 1, stage("eva"))
			So(err, ShouldBeNil)
			So(store.overtake, ShouldBeNil)
			record, err := other.Record(ctx)
			So(err, ShouldBeNil)
			So(record.Staged, ShouldBeNil)
			So(record.Nonces, ShouldHaveLength, laterWrites+1)
		})
	}
}

// TestCompareHomesDetectsMovedTenants guards against a version that moves a tenant's
// idempotency records to another zone, where a retried call would be run a second time.
func TestCompareHomesDetectsMovedTenants(t *testing.T) {
	Convey("a version that moves the home zone of a tenant is rejected", t, func() {
		before, after := fleet.Bundle("a", "b"), fleet.Bundle("b", "a")
		So(publisher.CompareHomes(before, before), ShouldBeNil)
		So(publisher.CompareHomes(before, after), ShouldNotBeNil)
	})
}

// TestHomesMoveOnlyIfOperatorConfirms guards against a rollout that moves idempotency
// records without the operator's confirmation, and against a confirmation that is ignored
// or not recorded.
func TestHomesMoveOnlyIfOperatorConfirms(t *testing.T) {
	inBubble(t, func(ctx context.Context, engine *platform.Engine, p *publisher.Publisher) {
		for i, bundle := range []*parser.Bundle{fleet.Bundle("a", "b"), fleet.Bundle("b", "a")} {
			_, err := p.Create(ctx, bundle, "eva")
			So(err, ShouldBeNil)
			_, err = p.Sign(ctx, int64(i+1), "eva", fleet.OperatorKey())
			So(err, ShouldBeNil)
		}
		record, err := p.Start(ctx, 1, stage("eva"))
		So(err, ShouldBeNil)
		accepted := decider.Apply(record.Record, decider.Decision{Action: decider.Activate}, time.Now())
		_, err = publisher.PutRecord(ctx, engine, accepted, record.Revision)
		So(err, ShouldBeNil)
		_, err = p.Start(ctx, 2, stage("eva"))
		var moved *publisher.HomeMovedError
		So(errors.As(err, &moved), ShouldBeTrue)
		confirmed := stage("eva")
		confirmed.HomesMoved = true
		record, err = p.Start(ctx, 2, confirmed)
		So(err, ShouldBeNil)
		So(record.Staged.HomesMoved, ShouldBeTrue)
	})
}

// step is an operator's call that changes the record, as input of the
// linearizability checker.
type step struct {
	start   bool
	version int64
}

// recordModel is the sequential specification of the record: at most one version
// is staged at a time, and only the staged version can be aborted.
var recordModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		staged, in, succeeded := state.(int64), input.(step), output.(bool)
		allowed := staged == 0
		next := in.version
		if !in.start {
			allowed, next = staged == in.version, 0
		}
		if !succeeded {
			return !allowed, staged
		}
		return allowed, next
	},
}

// TestConcurrentHistoriesAreLinearizable guards against concurrent starts and aborts that
// contradict each other, such as two staged versions or an abort of a version that is not
// staged, also while the platform is slow or loses replies.
func TestConcurrentHistoriesAreLinearizable(t *testing.T) {
	for _, faults := range []platform.Faults{{}, {DelayMilliseconds: 20}, {LoseResponses: 12}} {
		inBubble(t, func(ctx context.Context, engine *platform.Engine, p *publisher.Publisher) {
			for version := range int64(4) {
				_, err := p.Create(ctx, fleet.Bundle("a"), "eva")
				So(err, ShouldBeNil)
				_, err = p.Sign(ctx, version+1, "eva", fleet.OperatorKey())
				So(err, ShouldBeNil)
			}
			engine.SetFaults(faults)
			var mu sync.Mutex
			var operations []porcupine.Operation
			var group sync.WaitGroup
			for client := range 4 {
				group.Go(func() {
					for i := range 6 {
						s := step{start: (client+i)%2 == 0, version: int64((client*i)%4) + 1}
						called := time.Now()
						err := execute(ctx, p, s)
						mu.Lock()
						operations = append(operations, porcupine.Operation{
							ClientId: client, Input: s, Output: err == nil,
							Call: called.UnixNano(), Return: time.Now().UnixNano(),
						})
						mu.Unlock()
						time.Sleep(time.Duration(client+1) * 3 * time.Millisecond)
					}
				})
			}
			group.Wait()
			t.Logf("faults %+v", faults)
			So(porcupine.CheckOperations(recordModel, operations), ShouldBeTrue)
		})
	}
}

// execute starts or aborts the rollout of a version.
func execute(ctx context.Context, p *publisher.Publisher, s step) error {
	if s.start {
		_, err := p.Start(ctx, s.version, stage("eva"))
		return err
	}
	_, err := p.Abort(ctx, s.version, "eva")
	return err
}
