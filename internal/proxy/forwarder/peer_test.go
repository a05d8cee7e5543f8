package forwarder

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/clock"
)

// Guards against a jump of the time of day that closes a living connection, with all calls on
// it, or hides a dead one.
func TestStepOfClockIsNoSilenceOfPeer(t *testing.T) {
	for _, seconds := range []int{5, -5} {
		Convey("A connection over which data came 100 ms before is idle for that long", t, func() {
			near, far := net.Pipe()
			opened := time.Now()
			l := newConnection(near, opened)
			defer func() { _, _ = l.Close(), far.Close() }()
			read := opened.Add(time.Second)
			l.conn.received(read)
			now := clock.Step(read.Add(100*time.Millisecond), seconds)
			So(l.conn.idleTime(opened, now), ShouldEqual, 100*time.Millisecond)
		})
		Convey("A silent connection is probed, each probeTimeout", t, func() {
			near, far := net.Pipe()
			opened := time.Now()
			l := newConnection(near, opened)
			defer func() { _, _ = l.Close(), far.Close() }()
			first := opened.Add(probeAfter)
			So(l.probeDue(first), ShouldBeTrue)
			So(l.probeDue(clock.Step(first.Add(probeTimeout-1), seconds)), ShouldBeFalse)
			So(l.probeDue(clock.Step(first.Add(probeTimeout), seconds)), ShouldBeTrue)
		})
	}
}
