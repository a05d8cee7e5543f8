package assembler

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
)

// Guards against the loss of a drain that a node with a slow clock announced, and against
// records that are kept for ever because its clock is fast.
func TestDrainRecordsExpireByOwnClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The clocks of the nodes that drain are slow and fast", t, func() {
			d := newDrainRecords()
			slow, fast, other := tracker.Incarnation{Instance: "slow"}, tracker.Incarnation{Instance: "fast"}, tracker.Incarnation{Instance: "other"}
			began := time.Now()
			behind, ahead := began.Add(-2*drainRecordTTL).UnixMilli(), began.Add(time.Hour).UnixMilli()
			d.record(slow, behind)
			d.record(fast, ahead)
			time.Sleep(drainRecordTTL / 2)
			d.record(other, time.Now().UnixMilli())
			So([]int64{d.lookup(slow), d.lookup(fast)}, ShouldResemble, []int64{behind, ahead})
			time.Sleep(drainRecordTTL)
			d.record(other, time.Now().UnixMilli())
			So([]int64{d.lookup(slow), d.lookup(fast)}, ShouldResemble, []int64{0, 0})
		})
	})
}
