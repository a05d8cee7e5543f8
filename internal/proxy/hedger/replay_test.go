package hedger_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/replayer"
)

// run replays a load with a limit of the extra work, of which 0 means no hedges.
func run(fault replayer.Fault, extraWork, load float64) *replayer.Result {
	sum := &replayer.Result{}
	for seed := range uint64(2) {
		sum.Add(replayer.Run(replayer.Scenario{
			Fault: fault, Policy: replayer.Policy{ExtraWork: extraWork}, Load: load, Seed: seed + 1,
		}))
	}
	return sum
}

// Guards against a policy that costs more than it gains: it has to answer calls that hanging upstreams
// would leave without an answer, within its limit, and must not add work when capacity is short.
func TestReplayOfHedges(t *testing.T) {
	Convey("With hanging upstreams at half load, at most half as many calls are late or lost", t, func() {
		const limit = 0.05
		without, hedged := run(replayer.Hanging, 0, 0.5), run(replayer.Hanging, limit, 0.5)
		So(hedged.Idempotent-hedged.InTime, ShouldBeLessThan, (without.Idempotent-without.InTime)/2)
		So(replayer.Share(hedged.Extra-without.Extra, hedged.Calls), ShouldBeLessThanOrEqualTo, limit)
	})
	Convey("At full load, calls are not hedged", t, func() {
		full := replayer.Run(replayer.Scenario{Policy: replayer.Policy{ExtraWork: 0.1}, Fault: replayer.Healthy, Load: 1, Seed: 1})
		So(replayer.Share(full.Extra, full.Calls), ShouldBeLessThan, 0.01)
	})
}
