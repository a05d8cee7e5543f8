package assembler

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A process that gets no processor time between two looks sees the end of a call and the
// time it took at once. What the call leaves to be written must still get its idle window.
func TestStallOfTheProcessIsNoIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Only looks that find nothing in flight add to the idle window", t, func() {
			looks := 0
			awaitIdle(time.Now().Add(5*time.Second), idleWindow, func() bool {
				looks++
				if looks == 2 {
					time.Sleep(2 * idleWindow)
				}
				return looks == 1
			})
			So(looks, ShouldBeGreaterThan, int(idleWindow/idlePollInterval))
		})
	})
}
