package forwarder

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// An estimate above the receiver's clock would let an attempt start after its caller's deadline.
func TestClockEstimateIsNeverAheadOfReceiver(t *testing.T) {
	Convey("Replies that are delayed at random, with clocks that drift apart", t, func() {
		for _, drift := range []float64{-maxClockDrift, 0, maxClockDrift} {
			random := rand.New(rand.NewSource(1))
			receiverAt := func(sender time.Duration) time.Duration {
				return 5*time.Second + sender + time.Duration(drift*float64(sender))
			}
			c := clockEstimate{}
			for at := time.Duration(0); at < 10*time.Minute; at += time.Duration(random.Int63n(int64(2 * time.Second))) {
				sent, there := at, at+time.Duration(random.Int63n(int64(time.Second)))
				received := there + time.Duration(random.Int63n(int64(time.Second)))
				c.observe(receiverAt(there), sent, received)
				later := received + readingLifetime
				So(received+c.offsetAt(received), ShouldBeLessThanOrEqualTo, receiverAt(received))
				So(later+c.offsetAt(later), ShouldBeLessThanOrEqualTo, receiverAt(later))
			}
		}
	})
	Convey("The reading with the shortest way back counts", t, func() {
		c := clockEstimate{}
		c.observe(10*time.Second, 0, 300*time.Millisecond)
		c.observe(11*time.Second, time.Second, 1010*time.Millisecond)
		c.observe(12*time.Second, 2*time.Second, 2500*time.Millisecond)
		So(c.offsetAt(c.takenAt), ShouldEqual, 9990*time.Millisecond)
	})
	Convey("A receiver that was suspended for 10 s is found at its next reply", t, func() {
		c := clockEstimate{}
		c.observe(20*time.Second, 0, time.Millisecond)
		c.observe(21*time.Second, 11*time.Second, 11*time.Second+time.Millisecond)
		So(11*time.Second+c.offsetAt(11*time.Second), ShouldBeLessThanOrEqualTo, 21*time.Second)
	})
}

// A restarted receiver has another clock.
func TestClockBelongsToProcess(t *testing.T) {
	Convey("The clock of another process, or an old reading, is not relied on", t, func() {
		c := remoteClock{}
		c.observe(1, time.Minute, 0, 0)
		_, known := c.convert(2, time.Second, 0)
		So(known, ShouldBeFalse)
		So(c.isCurrent(2, 0), ShouldBeFalse)
		So(c.isCurrent(1, readingLifetime), ShouldBeTrue)
		So(c.isCurrent(1, readingLifetime+1), ShouldBeFalse)
		at, known := c.convert(1, time.Second, 0)
		So(known, ShouldBeTrue)
		So(at, ShouldEqual, time.Minute+time.Second)
	})
}
