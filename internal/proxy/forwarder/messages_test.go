package forwarder

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
)

// The revision that a node passes on must keep its era, or the receiver resumes in another one.
func TestPackedPositionKeepsEraAndOrder(t *testing.T) {
	Convey("Positions in their order", t, func() {
		positions := []keeper.Position{{}, {Revision: 7}, {Era: 1}, {Era: 1, Revision: 1 << 40}, {Era: 2, Revision: 3}}
		for i, p := range positions {
			reply := ConfigurationReply{Revision: Pack(p)}
			So(reply.Position(), ShouldResemble, p)
			if i > 0 {
				So(Pack(p), ShouldBeGreaterThan, Pack(positions[i-1]))
			}
		}
	})
}
